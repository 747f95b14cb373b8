/*
** test_broken_lists.cc
** Lists of the store in which an item can't be cut out by its brackets
**
** What was measured: a Spec cut short, a stray quote, one bracket too many or
** too few in one item lost the whole list of five; an empty item lost all that
** stood behind it, and the list counted as whole, so that they were taken as
** gone. An instance that starts then knows no endpoint, or only the first.
*/

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "platform/platform.h"
}

namespace {

std::string item(int i) {
  std::string n = std::to_string(i);
  return R"({"Metadata":{"Name":"i-)" + n + R"(","Rev":)" + n +
         R"(,"finalizers":[]},"Spec":{"Service":"s","Addr":"10.0.0.)" + n +
         R"(:80","Zone":"a","Slots":8,"State":"ready"},"Status":null})";
}

struct Form {
  const char *name;
  std::string text; /* in the place of the third of five */
  bool has_name;    /* it is known by its name still */
};

std::vector<Form> forms() {
  std::string good = item(3);
  std::string metadata = good.substr(0, good.find(",\"Spec\""));
  return {
      {"SpecCutShort", metadata + R"(,"Spec":{"Service":"s","Ad)", true},
      {"StrayQuote", metadata + R"(,"Spec":{"Service":"s"","Slots":8}})",
       true},
      {"StrayQuoteInMetadata",
       R"({"Metadata":{"Name":"i-3"","Rev":3},"Spec":{}})", false},
      {"BraceTooMany", good + "}", true},
      {"BracketTooMany", good + "]", true},
      {"BraceMissing", good.substr(0, good.size() - 1), true},
      {"BracketForABrace", good.substr(0, good.size() - 1) + "]", true},
      {"Empty", "", false},
      {"Garbage", "\\\"\x01{[\"", false},
      {"CutInAString", R"({"Metadata":{"Name":"i-)", false},
  };
}

StoreReply read(const std::string &body, bool *good) {
  StoreCall call = {};
  StoreReply out;
  call.kind = STORE_ENDPOINTS;
  call.operation = STORE_LIST;
  *good = platform_read_store_reply(&call, 200, body.data(), body.size(), &out,
                                    nullptr);
  return out;
}

/* the object of this name, if it can be used; else NULL */
const StoreObject *usable(const StoreReply &reply, const std::string &name) {
  for (guint i = 0; reply.objects != nullptr && i < reply.objects->len; i++) {
    const StoreObject *one = &g_array_index(reply.objects, StoreObject, i);
    if (name == one->name && one->text != nullptr && one->text[0] != '\0')
      return one;
  }
  return nullptr;
}

std::string list(const std::vector<std::string> &items,
                 const std::string &tail = R"(],"more":true,"at":530})") {
  std::string body = R"({"items":[)";
  for (size_t i = 0; i < items.size(); i++)
    body += (i > 0 ? "," : "") + items[i];
  return body + tail;
}

struct BrokenLists : ::testing::TestWithParam<Form> {};

TEST_P(BrokenLists, CostTheBrokenItemAlone) {
  const Form &form = GetParam();
  bool good;
  StoreReply reply =
      read(list({item(1), item(2), form.text, item(4), item(5)}), &good);
  ASSERT_TRUE(good);
  for (int i : {1, 2, 4, 5}) {
    const StoreObject *one = usable(reply, "i-" + std::to_string(i));
    ASSERT_NE(one, nullptr) << i;
    EXPECT_EQ(one->position.revision, i);
  }
  EXPECT_TRUE(reply.more);
  EXPECT_EQ(reply.at.revision, 530);
  bool named = false;
  for (guint i = 0; i < reply.objects->len; i++)
    named |= std::string("i-3") ==
             g_array_index(reply.objects, StoreObject, i).name;
  EXPECT_EQ(named, form.has_name);
  /* what it may hide is told, and one that could be cut out is counted */
  EXPECT_TRUE(form.has_name || form.text.empty() || reply.partial ||
              reply.unreadable_names == 1);
  EXPECT_FALSE(reply.partial && form.has_name);
  std::string name = form.name;
  EXPECT_EQ(reply.partial,
            name == "StrayQuoteInMetadata" || name == "CutInAString");
  store_reply_clear(&reply);
}

TEST_P(BrokenLists, FirstAndLastPlacesAreNoWorse) {
  bool good;
  for (bool first : {true, false}) {
    std::vector<std::string> items = {item(1), item(2)};
    items.insert(first ? items.begin() : items.end(), GetParam().text);
    StoreReply reply = read(list(items), &good);
    ASSERT_TRUE(good) << first;
    EXPECT_NE(usable(reply, "i-1"), nullptr) << first;
    EXPECT_NE(usable(reply, "i-2"), nullptr) << first;
    EXPECT_EQ(reply.at.revision, 530) << first;
    store_reply_clear(&reply);
  }
}

INSTANTIATE_TEST_SUITE_P(Forms, BrokenLists, ::testing::ValuesIn(forms()),
                         [](const auto &info) { return info.param.name; });

/* two stray quotes: brackets and strings agree again behind the second one,
** and all between the two looks like one item */
TEST(BrokenListsAlone, WhatStandsBetweenTwoBrokenItemsStands) {
  auto broken = [](const char *name) {
    return std::string(R"({"Metadata":{"Name":")") + name +
           R"(","Rev":9},"Spec":{"Slots":1},"Status":"x""})";
  };
  bool good;
  StoreReply reply = read(
      list({item(1), broken("i-2"), item(3), broken("i-4"), item(5)}), &good);
  ASSERT_TRUE(good);
  for (const char *name : {"i-1", "i-3", "i-5"})
    EXPECT_NE(usable(reply, name), nullptr) << name;
  EXPECT_EQ(reply.objects->len, 5u);
  store_reply_clear(&reply);
}

/* bytes that are no item, and more than separators */
TEST(BrokenListsAlone, WhatIsSkippedMayHideAnObject) {
  bool good;
  StoreReply reply = read(list({item(1), "{x\"", item(2)}), &good);
  ASSERT_TRUE(good);
  EXPECT_NE(usable(reply, "i-2"), nullptr);
  EXPECT_TRUE(reply.partial);
  store_reply_clear(&reply);
}

TEST(BrokenListsAlone, ASoundListIsWhole) {
  bool good;
  StoreReply reply = read(list({item(1), item(2)}), &good);
  ASSERT_TRUE(good);
  EXPECT_FALSE(reply.partial);
  EXPECT_EQ(reply.unreadable_names, 0u);
  store_reply_clear(&reply);
}

/* without its revision a list can't be gone on from */
TEST(BrokenListsAlone, OneThatEndsEarlyIsNone) {
  bool good;
  read(list({item(1), item(2)}, ""), &good);
  EXPECT_FALSE(good);
  read(list({item(1), "{", item(2)}, "]"), &good);
  EXPECT_FALSE(good);
}

/* any bytes in the place of one item: the others stand */
TEST(BrokenListsAlone, AnyBytesCostOneItem) {
  const std::string alphabet = "{}[]\",:\\ \n0aN\x80" + std::string(1, '\0');
  std::mt19937 random(11);
  for (int round = 0; round < 20000; round++) {
    std::string bytes;
    size_t length = random() % 24;
    for (size_t i = 0; i < length; i++)
      bytes += alphabet[random() % alphabet.size()];
    if (round % 3 == 0) { /* a sound one, cut or with bytes in its middle */
      std::string whole = item(3);
      size_t at = random() % whole.size();
      bytes = whole.substr(0, at) + bytes +
              (round % 2 == 0 ? whole.substr(at) : "");
    }
    bool good;
    StoreReply reply =
        read(list({item(1), item(2), bytes, item(4), item(5)}), &good);
    ASSERT_TRUE(good) << bytes;
    for (int i : {1, 2, 4, 5})
      ASSERT_NE(usable(reply, "i-" + std::to_string(i)), nullptr)
          << i << " beside " << bytes;
    ASSERT_EQ(reply.at.revision, 530) << bytes;
    store_reply_clear(&reply);
  }
}

/* thousands of broken items are read in about the time of sound ones */
TEST(BrokenListsAlone, ManyBrokenItemsAreReadInOnePass) {
  std::vector<std::string> items;
  bool good;
  for (int i = 0; i < 5000; i++)
    items.push_back(R"({"Metadata":{"Name":"i","Rev":1},"Spec":{"a":")" +
                    std::string(100, '{'));
  items.push_back(item(7));
  gint64 began = g_get_monotonic_time();
  StoreReply reply = read(list(items), &good);
  gint64 took = g_get_monotonic_time() - began;
  ASSERT_TRUE(good);
  EXPECT_NE(usable(reply, "i-7"), nullptr);
  EXPECT_LT(took, 2 * MP_SEC);
  store_reply_clear(&reply);
}

StoreReply read_watch(const std::string &body) {
  StoreCall call = {};
  StoreReply out;
  call.kind = STORE_ENDPOINTS;
  call.operation = STORE_WATCH;
  call.position.revision = 500;
  EXPECT_TRUE(platform_read_store_reply(&call, 200, body.data(), body.size(),
                                        &out, nullptr));
  return out;
}

/* the sound event holds, and the reply tells that others may be hidden */
TEST(BrokenListsAlone, AWatchThatCannotBeCutTellsWhatItMayHide) {
  StoreReply reply = read_watch(
      R"({"events":[{"gone":false,"object":)" + item(1) +
      R"(},{"gone":false,"object":{"Metadata":{"Name":")" + R"(],"at":533})");
  EXPECT_EQ(reply.status, STORE_OK);
  EXPECT_TRUE(reply.partial);
  EXPECT_NE(usable(reply, "i-1"), nullptr);
  EXPECT_EQ(reply.unreadable_names, 1u);
  EXPECT_EQ(reply.at.revision, 533);
  store_reply_clear(&reply);
}

/* an event behind an array that closes too early is not lost silently */
TEST(BrokenListsAlone, AnEventBehindTheArrayIsRead) {
  StoreReply reply =
      read_watch(R"({"at":533,"events":[{"gone":false,"object":)" + item(1) +
                 R"(}],{"gone":false,"object":)" + item(2) + "}]}");
  EXPECT_TRUE(reply.partial);
  EXPECT_NE(usable(reply, "i-2"), nullptr);
  store_reply_clear(&reply);
}

/* an unreadable watch is no news: the list is read again */
TEST(BrokenListsAlone, AWatchWithoutARevisionHasTheListReadAgain) {
  for (const std::string &body :
       {R"({"events":[{"gone":false,"object":)" + item(1) + "}]}",
        std::string(R"({"events":7,"at":533})"), std::string("x")}) {
    StoreReply reply = read_watch(body);
    EXPECT_EQ(reply.status, STORE_HISTORY_GONE) << body;
    EXPECT_EQ(reply.objects, nullptr) << body;
    store_reply_clear(&reply);
  }
}

} // namespace
