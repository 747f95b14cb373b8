/*
** test_text_history.cc
** Tests of patches, which turn one version of a text into the next, and of the
** history of them
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

std::string random_text(unsigned lines, unsigned seed) {
  std::minstd_rand random(seed);
  std::string text;
  for (unsigned i = 0; i < lines; i++)
    text += "{\"Path\":\"/p" + std::to_string(random()) +
            "/\",\"Limit\":" + std::to_string(random() % 1000) + "}\n";
  return text;
}

std::string apply_patch(const std::string &from, GBytes *patch) {
  char *text = text_patch_apply(from.c_str(), g_bytes_get_data(patch, nullptr),
                                g_bytes_get_size(patch));
  std::string out = text != nullptr ? text : "none";
  g_free(text);
  return out;
}

TEST(TextPatchTest, AppliesToTheOldTextOnly) {
  std::minstd_rand random(1);
  for (unsigned lines : {0u, 1u, 50u, 8000u}) {
    std::string older = random_text(lines, 3);
    std::string newer = older;
    newer.insert(random() % (newer.size() + 1), "another line\n");
    newer.erase(random() % newer.size(), 7);
    GBytes *patch = text_patch_new(older.c_str(), newer.c_str());
    EXPECT_EQ(apply_patch(older, patch), newer);
    EXPECT_LE(g_bytes_get_size(patch), 200u) << lines;
    if (lines > 0) {
      EXPECT_EQ(apply_patch(older + "x", patch), "none");
    }
    g_bytes_unref(patch);
  }
}

TEST(TextPatchTest, CorruptPatchProducesNoOtherText) {
  std::string older = random_text(40, 5);
  std::string newer = older + "more\n";
  GBytes *patch = text_patch_new(older.c_str(), newer.c_str());
  gsize size;
  auto *bytes = static_cast<const char *>(g_bytes_get_data(patch, &size));
  ASSERT_TRUE(text_patch_is_patch(bytes, size));
  EXPECT_FALSE(text_patch_is_patch("{\"at\":5}", 8));
  for (gsize i = 0; i < size; i++) {
    std::string corrupt(bytes, size);
    corrupt[i] = static_cast<char>(corrupt[i] ^ 0x20);
    char *result = text_patch_apply(older.c_str(), corrupt.data(), size);
    EXPECT_TRUE(result == nullptr || newer == result) << i;
    g_free(result);
    EXPECT_EQ(text_patch_apply(older.c_str(), bytes, i), nullptr) << i;
  }
  g_bytes_unref(patch);
}

struct TextHistoryTest : ::testing::Test {
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
  /* Returns the revision at which each change since 'revision' begins; empty
  ** if the history does not reach back so far or there is no change. */
  std::vector<gint64> changes_since(gint64 revision) {
    std::vector<gint64> out;
    GArray *changes = text_history_since(history, store_position(0, revision));
    for (guint i = 0; changes != nullptr && i < changes->len; i++)
      out.push_back(g_array_index(changes, TextChange, i).from.revision);
    if (changes != nullptr)
      g_array_free(changes, TRUE);
    return out;
  }
};

using Revisions = std::vector<gint64>;

TEST_F(TextHistoryTest, ReturnsTheChangesSinceARevision) {
  add(10, 14);
  add(14, 20);
  EXPECT_EQ(changes_since(10), (Revisions{10, 14}));
  /* at 13 the text was still that of 10 */
  EXPECT_EQ(changes_since(13), (Revisions{10, 14}));
  EXPECT_EQ(changes_since(14), (Revisions{14}));
  EXPECT_EQ(changes_since(9), Revisions{});
  EXPECT_EQ(changes_since(20), Revisions{});
}

TEST_F(TextHistoryTest, StartsAgainAfterAGap) {
  add(10, 14);
  add(16, 20);
  EXPECT_EQ(changes_since(10), Revisions{});
  EXPECT_EQ(changes_since(16), (Revisions{16}));
}

TEST_F(TextHistoryTest, DropsTheOldestChangesBeyondItsBounds) {
  for (gint64 i = 0; i < 500; i++)
    add(i, i + 1);
  EXPECT_EQ(changes_since(0), Revisions{});
  EXPECT_EQ(changes_since(499 - 127).size(), 128u);
  add(500, 501, 1 << 20);
  EXPECT_EQ(changes_since(500), Revisions{});
}

} // namespace
