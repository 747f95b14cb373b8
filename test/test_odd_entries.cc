/*
** test_odd_entries.cc
** One odd entry of another writer among the sound ones: a number too large, a
** port out of range, an event without an end
**
** Each test guards against an entry that costs more than itself: an object
** that no later change replaces, a list that removes what it could not name,
** a watch that costs a list each time the entry changes.
*/

#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "platform/platform.h"
#include "router/follower.h"
}

namespace {

std::string object(const std::string &name, const std::string &revision,
                   const std::string &spec) {
  return R"({"Metadata":{"Name":")" + name + R"(","Rev":)" + revision +
         R"(},"Spec":)" + spec + "}";
}

std::string event(const std::string &object, bool gone = false) {
  return std::string(R"({"gone":)") + (gone ? "true" : "false") +
         R"(,"object":)" + object + "}";
}

std::string list(const std::string &items, int at, bool more = false) {
  return R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false") +
         R"(,"at":)" + std::to_string(at) + "}";
}

std::string events(const std::string &events, int at) {
  return R"({"events":[)" + events + R"(],"at":)" + std::to_string(at) + "}";
}

const std::string far = "9223372036854775807";

/* A follower of endpoints, whose calls are answered with bodies of the store
 */
struct OddEntries : ::testing::Test {
  Follower follower;
  std::map<std::string, std::string> objects; /* name -> text */
  gint64 now = MP_SEC;
  int lists = 0; /* calls of each kind that were answered */
  int watches = 0;

  void SetUp() override {
    FollowerHost host = {this, on_object, on_listed, on_change, on_change};
    follower_init(&follower, STORE_ENDPOINTS, 3 * MP_SEC, 0, &host);
  }
  void TearDown() override {
    follower_clear(&follower);
  }

  static void on_object(void *data, StoreKind, const StoreObject *object) {
    auto *self = static_cast<OddEntries *>(data);
    if (object->gone)
      self->objects.erase(object->name);
    else
      self->objects[object->name] = object->text;
  }
  static void on_listed(void *data, StoreKind, GHashTable *names) {
    auto *self = static_cast<OddEntries *>(data);
    std::erase_if(self->objects, [names](const auto &one) {
      return !g_hash_table_contains(names, one.first.c_str());
    });
  }
  static void on_change(void *, StoreKind) {
  }

  /* Answers the call that is due, in which a list is answered with 'listed'
  ** and a watch with 'watched'; returns which it was. */
  StoreOperation answer(const std::string &listed,
                        const std::string &watched = "") {
    StoreCall call;
    StoreReply reply;
    GError *error = nullptr;
    follower_check_relist(&follower, now);
    EXPECT_LE(follower_next_call_time(&follower), now);
    follower_begin_call(&follower, FALSE, &call);
    bool is_list = call.operation == STORE_LIST;
    const std::string &body = is_list ? listed : watched;
    if (!platform_read_store_reply(&call, 200, body.data(), body.size(),
                                   &reply, &error))
      reply.status = STORE_FAILED;
    g_clear_error(&error);
    (is_list ? lists : watches)++;
    follower_handle_reply(&follower, &reply, now);
    store_reply_clear(&reply);
    return call.operation;
  }
};

/* The worker's next sound record is used, though an odd one stood there. */
TEST_F(OddEntries, ARevisionBeyondTheStoresDoesNotLockItsObject) {
  answer(list(object("a", "5", "{}") + "," + object("odd", far, "{}"), 500));
  ASSERT_EQ(objects.size(), 2u);
  answer("", events(event(object("odd", "501", R"({"Slots":2})")), 501));
  EXPECT_EQ(objects["odd"], R"({"Slots":2})");
  answer("", events(event(object("a", far, "{}")), 502));
  answer("", events(event(object("a", "503", R"({"Slots":3})")), 503));
  EXPECT_EQ(objects["a"], R"({"Slots":3})");
}

/* Instances that hear of a change that none can have would count as late. */
TEST_F(OddEntries, ARevisionBeyondTheStoresIsNotAnnounced) {
  answer(list(object("a", "5", "{}") + "," + object("odd", far, "{}"), 500));
  EXPECT_LE(follower.changed.revision, 500);
  answer("", events(event(object("odd", far, R"({"Slots":2})")), 501));
  EXPECT_LE(follower.changed.revision, 501);
  EXPECT_EQ(follower.known.revision, 501);
}

/* The rest of a list must not count as gone when a page has no name with
** which to ask for the next one. */
TEST_F(OddEntries, APageOfUnreadableObjectsRemovesNone) {
  answer(list(object("a", "5", "{}") + "," + object("z", "6", "{}"), 500));
  ASSERT_EQ(objects.size(), 2u);
  now += 10 * MP_SEC;
  StoreCall call;
  StoreReply gone = {};
  follower_begin_call(&follower, FALSE, &call);
  gone.status = STORE_HISTORY_GONE;
  follower_handle_reply(&follower, &gone, now);
  answer(list(object("a", "5", "{}"), 510, true));
  answer(list(R"({"Metadata":{"Name":7,"Rev":8},"Spec":{}})", 510, true));
  EXPECT_EQ(objects.count("z"), 1u);
  EXPECT_NE(follower.relist_at, 0);
}

std::string endpoint(const std::string &address, const std::string &born) {
  return R"({"Service":"s","Addr":")" + address +
         R"(","Zone":"a","Slots":8,"State":"ready","born":)" + born + "}";
}

bool is_usable(const std::string &text) {
  EndpointRecord record;
  if (!platform_read_endpoint_record("i-1", text.c_str(), &record, nullptr))
    return false;
  endpoint_record_clear(&record);
  return true;
}

/* A record that others read otherwise would send requests elsewhere: a leading
** zero means octal to some. */
TEST(OddRecords, AnAddressIsFourDecimalNumbersAndAPort) {
  for (const char *good : {"10.0.0.2:80", "10.0.0.2:1", "10.0.0.2:65535",
                           "127.0.0.1:8080", "223.255.255.255:80"})
    EXPECT_TRUE(is_usable(endpoint(good, "1"))) << good;
  for (const char *odd :
       {"010.0.0.2:80", "10.0.0.2:080", "10.00.0.2:80", "10.0.0.002:80",
        "10.0.0.2:0", "10.0.0.2:-1", "10.0.0.2:65536", "10.0.0.2:70000",
        "10.0.0.2:4294967376", "10.0.0.2:", "10.0.0.256:80", "10.0.0:80",
        "10.0.0.2:80 ", "0x0a.0.0.2:80"})
    EXPECT_FALSE(is_usable(endpoint(odd, "1"))) << odd;
}

/* A start time after all others would outlast the worker's own record in a
** store that was restored from a copy. */
TEST(OddRecords, AStartTimeIsADate) {
  EXPECT_TRUE(is_usable(endpoint("10.0.0.2:80", "1700000000000")));
  EXPECT_TRUE(is_usable(endpoint("10.0.0.2:80", "253402300799999")));
  for (const char *odd :
       {"253402300800000", "9223372036854775807", "-1", "1e300", "1.5"})
    EXPECT_FALSE(is_usable(endpoint("10.0.0.2:80", odd))) << odd;
}

const std::string unclosed =
    R"({"gone":false,"object":{"Metadata":{"Name":"odd","Rev":7},"Spec":{"a":[)";

/* What stands before and behind it is used at once, removals too. */
TEST_F(OddEntries, AWatchIsReadAroundAnEventWithoutAnEnd) {
  answer(list(object("a", "5", "{}") + "," + object("b", "6", "{}"), 6));
  EXPECT_EQ(
      answer("", events(event(object("a", "8", "{}"), true) + "," + unclosed +
                            "," + event(object("c", "9", "{}")) + "," +
                            event(object("b", "10", R"({"Slots":1})")),
                        10)),
      STORE_WATCH);
  EXPECT_EQ(objects.count("a"), 0u);
  EXPECT_EQ(objects.count("c"), 1u);
  EXPECT_EQ(objects["b"], R"({"Slots":1})");
  EXPECT_EQ(follower.known.revision, 10);
}

/* An entry that changes ten times a second must not cost ten lists. */
TEST_F(OddEntries, AnEventWithoutAnEndCostsAListEachFiveSecondsAtMost) {
  std::string sound = object("a", "5", "{}");
  answer(list(sound, 6));
  for (int i = 0; i < 200; i++) {
    std::string at = std::to_string(7 + i);
    std::string odd = unclosed;
    odd.replace(odd.find(R"("Rev":7)"), 7, R"("Rev":)" + at);
    answer(list(sound, 7 + i), events(odd, 7 + i));
    now += 100 * MP_MS;
  }
  EXPECT_GE(lists, 2); /* what an event without an end hid is looked for */
  EXPECT_LE(lists, 6);
}

/* Changes of an entry without a readable name share a call, as others do. */
TEST_F(OddEntries, AnEventWithoutANameIsFollowedByThePause) {
  follower.pause = 400 * MP_MS;
  answer(list(object("a", "5", "{}"), 6));
  answer("", events(event(object("odd", "7", "{}")), 7));
  EXPECT_EQ(follower_next_call_time(&follower), now + 400 * MP_MS);
  now += 400 * MP_MS;
  answer("", events(event(R"({"Metadata":{"Name":7,"Rev":8},"Spec":{}})"), 8));
  EXPECT_EQ(follower_next_call_time(&follower), now + 400 * MP_MS);
}

/* What such an event hid is seen within the same time: here, a removal. */
TEST_F(OddEntries, ARemovalHiddenInAWatchIsFoundByTheNextList) {
  answer(list(object("a", "5", "{}") + "," + object("b", "6", "{}"), 6));
  answer("", events(unclosed, 8));
  EXPECT_EQ(answer(list(object("a", "5", "{}"), 9), events("", 9)),
            STORE_LIST);
  EXPECT_EQ(objects.count("b"), 0u);
  answer("", events(unclosed, 10));
  now += 5 * MP_SEC;
  EXPECT_EQ(answer(list("", 11), events("", 11)), STORE_LIST);
  EXPECT_EQ(objects.count("a"), 0u);
}

} // namespace
