/*
** test_out_of_step.cc
** Tests of instances that are out of step: relays whose clocks change, answers
** and requests that lay unread, odd answers of the store, uneven data centres
*/

#include <gtest/gtest.h>
#include <signal.h>

#include "loopback.h"
#include "router_world.h"

extern "C" {
#include "io/clock.h"
#include "io/front.h"
#include "io/standstill.h"
#include "platform/platform.h"
#include "router/news_source.h"
#include "router/relay_clock.h"
#include "router/relay_members.h"
}

namespace {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;

/*
** {==================================================================
** Clocks of relays
** ===================================================================
*/

constexpr mp_Addr relay = 99;

/* Guards against members that take what a relay says for days old, and vouch
** for nothing, after the relay's machine was rebooted: its clock begins anew,
** and the bound of the earlier one is kept for RELAY_CLOCK_AGE_MAX. */
TEST(RelayClockOfARebootedMachine, IsBoundedAnewAtItsFirstHeartbeat) {
  RelayClocks clocks;
  gint64 now = 1000 * second;
  gint64 at = 0;
  mp_RelayHeartbeat beat = {};
  relay_clocks_init(&clocks);
  beat.asked_us = static_cast<guint64>(now);
  beat.sent_us = static_cast<guint64>(90000 * second);
  relay_clocks_observe(&clocks, relay, &beat, now + 2 * ms);
  now += 15 * second;
  beat.asked_us = 0;
  beat.sent_us = static_cast<guint64>(12 * second);
  relay_clocks_observe(&clocks, relay, &beat, now);
  bool is_known = relay_clocks_time_of(&clocks, relay, &beat, 100, now, &at);
  EXPECT_TRUE(relay_clocks_must_bound(&clocks, relay, now));
  EXPECT_TRUE(!is_known || now - at < second)
      << "age " << (now - at) / second << " s";
  relay_clocks_clear(&clocks);
}

/* }================================================================== */

/*
** {==================================================================
** Odd objects of the store
** ===================================================================
*/

struct OddReplies : ::testing::Test {
  Follower follower = {};
  std::map<std::string, std::string> objects;
  gint64 now = second;

  void SetUp() override {
    FollowerHost host = {this,
                         [](void *data, StoreKind, const StoreObject *object) {
                           auto *self = static_cast<OddReplies *>(data);
                           if (object->gone)
                             self->objects.erase(object->name);
                           else
                             self->objects[object->name] = object->text;
                         },
                         [](void *, StoreKind, GHashTable *) {},
                         [](void *, StoreKind) {}, [](void *, StoreKind) {}};
    follower_init(&follower, STORE_ENDPOINTS, 3 * second, 150 * ms, &host);
  }
  void TearDown() override {
    follower_clear(&follower);
  }
  void answer(StoreOperation operation, const std::string &body) {
    StoreCall call;
    StoreReply reply;
    GError *error = nullptr;
    follower_begin_call(&follower, FALSE, &call);
    ASSERT_EQ(call.operation, operation);
    ASSERT_TRUE(platform_read_store_reply(&call, 200, body.data(), body.size(),
                                          &reply, &error));
    follower_handle_reply(&follower, &reply, now);
    store_reply_clear(&reply);
  }
};

std::string object(const char *name, const char *revision, const char *spec) {
  return std::string(R"({"Metadata":{"Name":")") + name + R"(","Rev":)" +
         revision + R"(},"Spec":)" + spec + "}";
}

std::string event(const std::string &changed) {
  return R"({"object":)" + changed + R"(,"gone":false})";
}

/* Guards against a sound state of an object that is never applied because an
** earlier state with an odd revision came in the same answer: the odd one is
** taken for as new as the answer. */
TEST_F(OddReplies, SoundStateBehindAnOddRevisionInOneAnswerIsApplied) {
  answer(STORE_LIST,
         R"({"items":[)" + object("a", "5", R"({"n":1})") + R"(],"at":10})");
  answer(STORE_WATCH,
         R"({"events":[)" +
             event(object("a", "9223372036854775807", R"({"n":2})")) + "," +
             event(object("a", "12", R"({"n":3})")) + "," +
             event(object("b", "13", R"({"n":4})")) + R"(],"at":13})");
  EXPECT_EQ(objects["b"], R"({"n":4})");
  EXPECT_EQ(objects["a"], R"({"n":3})");
  /* nor does a list correct it */
  follower.watching = FALSE;
  answer(STORE_LIST, R"({"items":[)" + object("a", "12", R"({"n":3})") + "," +
                         object("b", "13", R"({"n":4})") + R"(],"at":20})");
  EXPECT_EQ(objects["a"], R"({"n":3})");
}

/* }================================================================== */

/*
** {==================================================================
** What counts as confirmed
** ===================================================================
*/

struct Confirmations : ::testing::Test {
  RelayTiming times = {1800 * ms, 2 * second};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  NewsSource source = {};
  gint64 now = 10 * second;

  void SetUp() override {
    FollowerHost host = {nullptr,
                         [](void *, StoreKind, const StoreObject *) {},
                         [](void *, StoreKind, GHashTable *) {},
                         [](void *, StoreKind) {}, [](void *, StoreKind) {}};
    NewsSourceHost control = {
        nullptr, [](void *, mp_Addr address) -> mp_Addr { return address; }};
    follower_init(&source.follower, STORE_ENDPOINTS, times.watch_wait, 0,
                  &host);
    news_source_init(&source, group, &control, nullptr, 0);
    relay_group_skip_start_wait(group);
  }
  void TearDown() override {
    follower_clear(&source.follower);
    relay_group_free(group);
  }
  StoreOperation ask() {
    NewsAction action;
    news_source_next(&source, now, &action);
    EXPECT_EQ(action.step, NEWS_ASK_STORE);
    return action.call.operation;
  }
  void answer(gint64 revision, gboolean partial) {
    StoreReply reply = {STORE_OK, store_objects_new(),
                        FALSE,    store_position(0, revision),
                        FALSE,    0,
                        partial,  FALSE};
    news_source_reply(&source, &reply, now);
    store_reply_clear(&reply);
    /* the other kind is always young */
    relay_group_confirm_store(group, STORE_CONFIGURATION, now);
  }
};

/* Guards against an instance that vouches by a list that may lack a version:
** a partial answer to a watch may hide an endpoint, which only the list finds
** that follows up to PARTIAL_RELIST_DELAY later. */
TEST_F(Confirmations, PartialWatchDoesNotConfirmTheList) {
  gint64 complete_at = now;
  EXPECT_EQ(ask(), STORE_LIST);
  answer(100, FALSE);
  EXPECT_EQ(ask(), STORE_WATCH);
  now += 10 * ms;
  answer(101, TRUE); /* an odd entry; the list follows at once */
  complete_at = now;
  EXPECT_EQ(ask(), STORE_LIST);
  now += 10 * ms;
  answer(101, FALSE);
  for (gint64 revision = 102; now < 14 * second; revision++) {
    if (ask() != STORE_WATCH)
      break;
    now += 200 * ms;
    answer(revision, TRUE); /* the odd entry changes again */
  }
  EXPECT_GE(relay_group_news_age(group, now), now - complete_at - 50 * ms)
      << "the last complete list was asked for " << (now - complete_at) / ms
      << " ms ago";
}

/* }================================================================== */

/*
** {==================================================================
** Requests that waited unread
** ===================================================================
*/

struct UnreadMark : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  std::unique_ptr<loopback::Peer> caller;
  std::vector<guint64> requests;
  std::vector<gint64> unread;

  void SetUp() override {
    mp_Addr address;
    signal(SIGPIPE, SIG_IGN);
    {
      loopback::Listener free_port;
      address = free_port.address;
    }
    FrontHooks hooks = {this,
                        [](void *data, guint64 number, const HttpHead *) {
                          auto *self = static_cast<UnreadMark *>(data);
                          self->requests.push_back(number);
                          self->unread.push_back(front_request_unread(
                              self->front, number, clock_now()));
                        },
                        [](void *, guint64) {},
                        [](void *, int, const char *) {},
                        [](void *, const char *) {},
                        [](void *, const FrontCut *) {}};
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
    caller = loopback::call(address);
  }
  void TearDown() override {
    front_free(front);
    event_base_free(base);
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { caller->read_some(); }, done);
  }
  void turns(int count) {
    wait([&] { return --count <= 0; });
  }
  bool ask(size_t count) {
    caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n");
    return wait([&] { return requests.size() == count; });
  }
  void answer() {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests.back(), head, "x", 1);
    http_head_free(head);
    turns(10);
  }
};

/* Guards against a mark that outlives the bytes it is about: an empty line
** between two requests, which the reader skips, lies unread as the process
** stands still, and the next request, much later, counts as old. */
TEST_F(UnreadMark, IsClearedWithAnEmptyLineBetweenRequests) {
  ASSERT_TRUE(ask(1));
  answer();
  caller->send_text("\r\n");
  usleep(20 * ms);
  front_stood_still(front, clock_now() - 500 * ms);
  turns(20);
  usleep(300 * ms);
  ASSERT_TRUE(ask(2));
  EXPECT_LT(unread[1], 100 * ms);
}

/* }================================================================== */

/*
** {==================================================================
** Standstills
** ===================================================================
*/

/* Guards against a pause that is not noticed because the process had worked
** since its last check: a turn of 30 ms in which no checked event was handled,
** such as the reading of a large list, and a stop of one second. */
TEST(StandstillAfterWork, IsNoticed) {
  StandstillMark mark = {10 * second, 0};
  EXPECT_TRUE(standstill_mark(&mark, 11 * second + 30 * ms, 30 * ms));
}

/* }================================================================== */

/*
** {==================================================================
** Data centres of uneven sizes
** ===================================================================
*/

/* Guards against quiet times in which streams that are taken up depend on the
** store, because few instances of the other data centre are among five
** replicas: all replicas vouch for the version. */
TEST(UnevenDataCentres, StreamsOfQuietTimesGoOnWithoutTheStore) {
  constexpr gint64 lifetime = 12 * routing::second;
  constexpr unsigned streams = 100;
  for (unsigned far : {1u, 2u, 3u}) {
    routing::World world;
    unsigned went_on = 0;
    world.configure();
    world.started_unix_ms = 1;
    world.software = "v1";
    world.endpoint({"pre-1", "llm", "a", STAGE_PREFILL}, true);
    world.endpoint({"old-1", "llm", "a", STAGE_DECODE}, true);
    GArray *members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (unsigned i = 0; i < 19; i++) {
      RelayMember member = {
          mp_addr_parse(("10.0.1." + std::to_string(i + 1) + ":1").c_str()),
          g_str_hash(i < far ? "b" : "a"), 1};
      g_array_append_val(members, member);
    }
    router_set_members(world.router, members);
    g_array_free(members, TRUE);
    for (gint64 until = world.now + lifetime + second; world.now < until;) {
      world.advance(500 * ms);
      router_store_answered(world.router, world.now);
    }
    EndpointRecord record = {};
    record.service = const_cast<char *>("llm");
    record.software = const_cast<char *>("v1");
    for (unsigned i = 0; i < streams; i++) {
      world.messages.clear();
      guint64 again = world.request_resumption(
          "/resume/x", 0, ("s" + std::to_string(i)).c_str(), "1");
      auto asked = world.messages;
      ASSERT_EQ(asked.size(), 5u);
      for (const auto &one : asked) {
        mp_Msg message = {};
        message.kind = MP_MSG_STREAM_REPLY;
        message.u.reply.number = one.second.u.query.number;
        message.u.reply.verdict = 2; /* ORIGIN_ONLY */
        message.u.reply.software = endpoint_software_digest(&record);
        message.u.reply.service = g_str_hash("llm");
        router_stream_message(world.router, one.first, &message, world.now);
      }
      went_on += world.end(again).refusals == 0;
      world.hangup(again);
    }
    EXPECT_GE(went_on, streams * 9 / 10)
        << far
        << " of 19 other instances in the other data centre: " << went_on
        << " of " << streams;
  }
}

/* }================================================================== */

} // namespace
