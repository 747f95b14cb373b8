/*
** test_text_history.cc
** Texts as their changes: patches, and histories of them
*/

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "router/text_history.h"
#include "router/text_patch.h"
}

namespace {

std::string text_of(unsigned lines, unsigned seed) {
  std::minstd_rand random(seed);
  std::string text;
  for (unsigned i = 0; i < lines; i++)
    text += "{\"Path\":\"/p" + std::to_string(random()) +
            "/\",\"Limit\":" + std::to_string(random() % 1000) + "}\n";
  return text;
}

std::string patched(const std::string &from, GBytes *patch) {
  char *text = text_patch_apply(from.c_str(), g_bytes_get_data(patch, nullptr),
                                g_bytes_get_size(patch));
  std::string out = text != nullptr ? text : "none";
  g_free(text);
  return out;
}

TEST(TextPatch, MakesTheNewTextOfTheOldOneAlone) {
  std::minstd_rand random(1);
  for (unsigned lines : {0u, 1u, 50u, 8000u}) {
    std::string older = text_of(lines, 3);
    std::string newer = older;
    newer.insert(random() % (newer.size() + 1), "another line\n");
    newer.erase(random() % newer.size(), 7);
    GBytes *patch = text_patch_new(older.c_str(), newer.c_str());
    EXPECT_EQ(patched(older, patch), newer);
    EXPECT_LE(g_bytes_get_size(patch), 200u) << lines;
    if (lines > 0) {
      EXPECT_EQ(patched(older + "x", patch), "none");
    }
    g_bytes_unref(patch);
  }
}

TEST(TextPatch, ASpoiltOneMakesNoOtherText) {
  std::string older = text_of(40, 5);
  std::string newer = older + "more\n";
  GBytes *patch = text_patch_new(older.c_str(), newer.c_str());
  gsize size;
  auto *bytes = static_cast<const char *>(g_bytes_get_data(patch, &size));
  ASSERT_TRUE(text_patch_is_patch(bytes, size));
  EXPECT_FALSE(text_patch_is_patch("{\"at\":5}", 8));
  for (gsize i = 0; i < size; i++) {
    std::string spoilt(bytes, size);
    spoilt[i] = static_cast<char>(spoilt[i] ^ 0x20);
    char *made = text_patch_apply(older.c_str(), spoilt.data(), size);
    EXPECT_TRUE(made == nullptr || newer == made) << i;
    g_free(made);
    EXPECT_EQ(text_patch_apply(older.c_str(), bytes, i), nullptr) << i;
  }
  g_bytes_unref(patch);
}

struct Kept : ::testing::Test {
  TextHistory *history = text_history_new();

  void TearDown() override {
    text_history_free(history);
  }
  void add(gint64 from, gint64 to, gsize size = 10) {
    std::string bytes(size, 'x');
    GBytes *patch = g_bytes_new(bytes.data(), size);
    text_history_add(history, store_position(0, from), store_position(0, to),
                     patch);
    g_bytes_unref(patch);
  }
  /* revisions at which the changes since begin; empty: it does not reach */
  std::vector<gint64> since(gint64 revision) {
    std::vector<gint64> out;
    GArray *changes = text_history_since(history, store_position(0, revision));
    for (guint i = 0; changes != nullptr && i < changes->len; i++)
      out.push_back(g_array_index(changes, TextChange, i).from.revision);
    if (changes != nullptr)
      g_array_free(changes, TRUE);
    return out;
  }
};

using Froms = std::vector<gint64>;

TEST_F(Kept, TellsWhatChangedSinceARevisionOfTheStore) {
  add(10, 14);
  add(14, 20);
  EXPECT_EQ(since(10), (Froms{10, 14}));
  EXPECT_EQ(since(13), (Froms{10, 14})); /* the text of 10 stood then */
  EXPECT_EQ(since(14), (Froms{14}));
  EXPECT_EQ(since(9), Froms{});
  EXPECT_EQ(since(20), Froms{});
}

TEST_F(Kept, BeginsAnewBehindAGap) {
  add(10, 14);
  add(16, 20);
  EXPECT_EQ(since(10), Froms{});
  EXPECT_EQ(since(16), (Froms{16}));
}

TEST_F(Kept, ForgetsTheOldestWhenItHasTooMany) {
  for (gint64 i = 0; i < 500; i++)
    add(i, i + 1);
  EXPECT_EQ(since(0), Froms{});
  EXPECT_EQ(since(499 - 127).size(), 128u);
  add(500, 501, 1 << 20);
  EXPECT_EQ(since(500), Froms{});
}

} // namespace
