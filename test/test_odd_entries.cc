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
#include <vector>

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

/* A name is kept whole whatever its length, and only an object without one is
** left out. */
TEST_F(OddEntries, NamesOfAnyLengthAreNames) {
  std::string items = object("a", "5", "{}");
  for (size_t size : {64, 65, 4000})
    items += "," + object(std::string(size, 'n'), "6", "{}");
  items += "," + object("", "7", "{}") + "," + object("z", "8", "{}");
  answer(list(items, 500));
  EXPECT_EQ(objects.size(), 5u);
  for (size_t size : {64, 65, 4000})
    EXPECT_EQ(objects.count(std::string(size, 'n')), 1u) << size;
  EXPECT_EQ(objects.count("z"), 1u);
}

/* Which of two objects of a name is used must not depend on their order. */
TEST_F(OddEntries, OfANameThatIsListedTwiceTheLaterRevisionIsUsed) {
  std::string older = object("odd", "5", R"({"Slots":1})");
  std::string newer = object("odd", "7", R"({"Slots":2})");
  std::string other = "," + object("z", "6", "{}");
  answer(list(older + "," + newer + other, 500));
  EXPECT_EQ(objects["odd"], R"({"Slots":2})");
  EXPECT_EQ(objects.size(), 2u);
  TearDown();
  SetUp();
  objects.clear();
  answer(list(newer + "," + older + other, 500));
  EXPECT_EQ(objects["odd"], R"({"Slots":2})");
  EXPECT_EQ(objects.size(), 2u);
}

/* the number of known objects that are read as endpoints */
size_t count_usable(const std::map<std::string, std::string> &objects) {
  size_t count = 0;
  for (const auto &[name, text] : objects)
    count += is_usable(text);
  return count;
}

/* The size of a list must not let an odd object reach the others. */
TEST_F(OddEntries, OneOfThreeThousandCostsItselfAlone) {
  const std::string sound = endpoint("10.0.0.2:80", "1700000000000");
  const std::string deep(100000, '[');
  for (const std::string &odd :
       {object("odd", "9", endpoint("10.0.0.2:70000", "1")),
        object("odd", "9", endpoint("10.0.0.2:80", far)),
        object("odd", far, endpoint("10.0.0.2:0", "1")),
        object("odd", "9", deep + std::string(deep.size(), ']')),
        object("odd", "9", "{\"Slots\":" + std::string(400, '9') + "}"),
        object("odd", "9", deep), object("", "9", sound),
        object(std::string(4000, 'o'), "9", "{}")}) {
    for (int place : {0, 1500, 2999}) {
      std::string items;
      TearDown();
      SetUp();
      objects.clear();
      for (int i = 0; i < 3000; i++)
        items +=
            (i > 0 ? "," : "") +
            (i == place ? odd : object("i-" + std::to_string(i), "5", sound));
      answer(list(items, 500));
      EXPECT_EQ(count_usable(objects), 2999u)
          << odd.substr(0, 80) << " at " << place;
    }
  }
}

/* What the readers of the other kinds make of a text. A record that they read
** is cleared. */
bool reads_instance(const std::string &text) {
  InstanceRecord record = {};
  bool valid = platform_read_instance(text.c_str(), &record, nullptr);
  instance_record_clear(&record);
  return valid;
}
bool reads_lease(const std::string &text) {
  LeaseRecord record = {};
  bool valid = platform_read_lease(text.c_str(), &record, nullptr);
  lease_record_clear(&record);
  return valid;
}
bool reads_quarantine(const std::string &text) {
  QuarantineRecord record = {};
  return platform_read_quarantine("00112233", text.c_str(), &record, nullptr);
}
bool reads_software_set(const std::string &text) {
  SoftwareSetRecord record = {};
  return platform_read_software_set(text.c_str(), &record, nullptr);
}
bool reads_origins(const std::string &text) {
  StreamOriginsRecord record = {};
  bool valid = platform_read_stream_origins(text.c_str(), &record, nullptr);
  stream_origins_record_clear(&record);
  return valid;
}
bool reads_configuration(const std::string &text) {
  RouteTable *table =
      platform_read_configuration(text.c_str(), nullptr, nullptr);
  if (table == nullptr)
    return false;
  route_table_unref(table);
  return true;
}

struct OtherKind {
  const char *what;
  bool (*reads)(const std::string &);
  /* a sound text up to a value and from there on, and that value */
  std::string before, after, sound;
  std::vector<std::string> far; /* values that the kind does not allow */
};

const std::string digest = R"("0123456789abcdef")";

const OtherKind other_kinds[] = {
    {"instance",
     reads_instance,
     R"({"DataCentre":"a","Capacity":1,"Address":)",
     "}",
     R"("10.0.0.1:9000")",
     {R"("10.0.0.1:70000")", far}},
    {"lease",
     reads_lease,
     R"({"Term":1,"Holder":)",
     "}",
     R"("i-1")",
     {far, "1e300"}},
    {"quarantine",
     reads_quarantine,
     R"({"LastUnixMs":1,"Crashes":[)",
     "]}",
     R"("1f")",
     {R"("1ffffffff")", far}},
    {"software versions",
     reads_software_set,
     R"({"Expiring":[],"Versions":[)",
     "]}",
     digest,
     {R"("10123456789abcdef")", far}},
    {"origins",
     reads_origins,
     R"({"Origins":[["0123456789abcdef0123456789abcdef",)" + digest + ",1,2,",
     "]]}",
     "3",
     {"4294967296", far, "-1", "1e3"}},
    {"configuration",
     reads_configuration,
     R"({"Services":[],"Routes":[],"Version":)",
     "}",
     "7",
     {"-1", "-" + far, "1e300", far + "0"}},
    {"route",
     reads_configuration,
     R"({"Services":[],"Version":7,"Routes":[)",
     "]}",
     "",
     {far}},
};

/* A reader that recursed without bound would end the process, and a number
** that is cut to fewer bits would name something else. */
TEST(OddRecords, OtherKindsAreRefusedWithADeepNestOrAFarNumber) {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  for (const OtherKind &kind : other_kinds) {
    EXPECT_TRUE(kind.reads(kind.before + kind.sound + kind.after))
        << kind.what;
    EXPECT_FALSE(kind.reads(kind.before + deep + kind.after)) << kind.what;
    EXPECT_FALSE(kind.reads(deep)) << kind.what;
    for (const std::string &value : kind.far)
      EXPECT_FALSE(kind.reads(kind.before + value + kind.after))
          << kind.what << " " << value;
  }
}

} // namespace
