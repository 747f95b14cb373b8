/*
** test_continuation.cc
** What an instance knows of where streams began, and what it does without
*/

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "router_world.h"

extern "C" {
#include "router/relay_members.h"
#include "router/stream_origins.h"
}

using namespace routing;

namespace {

/* the time-out of the fixture's route, and two seconds for a caller to come
** back */
constexpr gint64 lifetime = 12 * second;
/* a version is new for news_age_max and half a second */
constexpr gint64 new_time = news_age_max + 500 * ms;

class ContinuationTest : public testing::Test {
protected:
  World world;

  void SetUp() override {
    world.configure();
    world.started_unix_ms = 1;
    add("pre-1", "v1", STAGE_PREFILL);
    add("old-1", "v1");
    add("old-2", "v1");
  }

  void add(const char *id, const char *software,
           EndpointStage stage = STAGE_DECODE, bool is_ready = true) {
    world.software = software;
    world.endpoint({id, "llm", "a", stage}, is_ready);
  }

  void remove(const char *id) {
    world.endpoint({id, "llm", "a", STAGE_DECODE}, true, true);
  }

  /* Lets time pass while the list is confirmed twice a second. */
  void pass(gint64 span) {
    for (gint64 until = world.now + span; world.now < until;) {
      world.advance(std::min(500 * ms, until - world.now));
      router_store_answered(world.router, world.now);
    }
  }

  void set_members(unsigned count) {
    GArray *members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (unsigned i = 0; i < count; i++) {
      RelayMember member = {member_at(i), g_str_hash("a"), 1};
      g_array_append_val(members, member);
    }
    router_set_members(world.router, members);
    g_array_free(members, TRUE);
  }

  static mp_Addr member_at(unsigned i) {
    return mp_addr_parse(("10.0.1." + std::to_string(i + 1) + ":1").c_str());
  }

  /* Answers the open prefill, if there is one. Returns the open run. */
  SentDispatch run_of(guint64 request) {
    if (world.dispatches.empty() || world.last().request != request)
      return {};
    if (world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    return world.last();
  }

  /* Begins a stream as this attempt and returns its run. */
  SentDispatch begin(const char *attempt, unsigned events = 1) {
    world.id = attempt;
    SentDispatch run = run_of(world.request("/resume/x"));
    world.outcome(run.number, OUTCOME_STREAM_HEAD);
    for (unsigned i = 1; i <= events; i++)
      world.piece(run.number, std::to_string(i).c_str());
    return run;
  }

  /* The caller of this stream loses its connection and takes it up again. */
  guint64 take_up(const SentDispatch &run, const char *attempt) {
    world.hangup(run.request);
    return world.request_resumption("/resume/x", 0, attempt, "1");
  }

  std::string software_of(const std::string &endpoint) {
    return endpoint.substr(0, 3) == "new" ? "v2" : "v1";
  }

  guint count_messages(mp_MsgKind kind) {
    return static_cast<guint>(std::count_if(
        world.messages.begin(), world.messages.end(),
        [=](const auto &one) { return one.second.kind == kind; }));
  }

  void reply(unsigned member, unsigned verdict, guint64 software = 0) {
    mp_Msg message = {};
    message.kind = MP_MSG_STREAM_REPLY;
    for (const auto &one : world.messages) {
      if (one.second.kind == MP_MSG_STREAM_QUERY)
        message.u.reply.number = one.second.u.query.number;
    }
    message.u.reply.verdict = static_cast<uint8_t>(verdict);
    message.u.reply.software = software;
    message.u.reply.service = g_str_hash("llm");
    router_stream_message(world.router, member_at(member), &message,
                          world.now);
  }

  /* Another instance plans all memory of these engines. */
  void fill(const std::vector<const char *> &engines) {
    mp_LoadDigest digest = {};
    for (const char *engine : engines)
      digest.row[digest.n++] = {incarnation_hash_of(engine, 1), 10000, 1, 0};
    router_peer_load(world.router, member_at(0), 1, &digest, world.now);
  }

  static guint64 digest_of(const char *software) {
    EndpointRecord record = {};
    record.service = const_cast<char *>("llm");
    record.software = const_cast<char *>(software);
    return endpoint_software_digest(&record);
  }
};

constexpr unsigned reply_unknown = 0;
constexpr unsigned reply_known = 1;
constexpr unsigned reply_only = 2;

TEST_F(ContinuationTest, StreamGoesOnAtItsVersionOnly) {
  add("new-1", "v2");
  add("new-2", "v2");
  pass(new_time);
  for (int i = 0; i < 20; i++) {
    std::string attempt = "first" + std::to_string(i);
    SentDispatch run = begin(attempt.c_str());
    guint64 again = take_up(run, attempt.c_str());
    SentDispatch next = run_of(again);
    ASSERT_EQ(next.request, again);
    EXPECT_EQ(software_of(next.endpoint), software_of(run.endpoint));
    world.hangup(again);
  }
}

TEST_F(ContinuationTest, ThirdTakingUpNamesTheFirstAttempt) {
  add("new-1", "v2");
  add("new-2", "v2");
  pass(new_time);
  SentDispatch run = begin("first");
  std::string software = software_of(run.endpoint);
  for (int i = 0; i < 3; i++) {
    guint64 again = take_up(run, "first");
    run = run_of(again);
    ASSERT_EQ(run.request, again);
    EXPECT_EQ(software_of(run.endpoint), software);
    world.outcome(run.number, OUTCOME_STREAM_HEAD);
    world.piece(run.number, "2");
  }
}

TEST_F(ContinuationTest, RunThatBrokeOffGoesOnAtItsVersionOrEnds) {
  add("new-1", "v2");
  pass(new_time);
  SentDispatch run = begin("first");
  bool is_new = software_of(run.endpoint) == "v2";
  world.outcome(run.number, OUTCOME_BROKEN);
  if (is_new) {
    EXPECT_EQ(world.end(run.request).broken_off, 1);
    return;
  }
  SentDispatch next = run_of(run.request);
  EXPECT_EQ(software_of(next.endpoint), "v1");
  EXPECT_EQ(next.last_event, "1");
}

TEST_F(ContinuationTest, HeadWithoutAPieceBindsNothing) {
  remove("old-2");
  SentDispatch run = begin("first", 0);
  remove("old-1");
  add("new-1", "v2");
  world.outcome(run.number, OUTCOME_BROKEN);
  SentDispatch next = run_of(run.request);
  EXPECT_EQ(next.endpoint, "new-1");
}

TEST_F(ContinuationTest, UnknownStreamIsRefusedAtOnce) {
  add("new-1", "v2");
  for (const char *attempt : {"other", static_cast<const char *>(nullptr)}) {
    guint64 again = world.request_resumption("/resume/x", 0, attempt, "1");
    EXPECT_EQ(world.end(again).refusals, 1);
    EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
  }
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(ContinuationTest, StreamOfAnotherAccountIsUnknown) {
  world.clients = {{"one", {"key-1"}}, {"two", {"key-2"}}};
  world.configure(2);
  world.key = "key-1";
  SentDispatch run = begin("first");
  world.key = "key-2";
  guint64 again = take_up(run, "first");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
}

TEST_F(ContinuationTest, TwoVersionsUnderOneAttemptAreAmbiguous) {
  SentDispatch run = begin("first");
  set_members(2);
  mp_Msg message = {};
  StreamKey key = stream_key(nullptr, "first");
  message.kind = MP_MSG_STREAM_ORIGIN;
  message.u.origin = {{key.digest[0], key.digest[1]},
                      digest_of("v2"),
                      g_str_hash("llm"),
                      0,
                      0,
                      9000};
  router_stream_message(world.router, member_at(0), &message, world.now);
  guint64 again = take_up(run, "first");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
}

TEST_F(ContinuationTest, OriginIsForgottenWhenTheCallerHasStoppedWaiting) {
  SentDispatch run = begin("first");
  EXPECT_EQ(router_stream_origins(world.router), 1u);
  world.hangup(run.request);
  pass(13 * second);
  router_tick(world.router, world.now);
  EXPECT_EQ(router_stream_origins(world.router), 0u);
}

/* {== The only version ==================================================== */

TEST_F(ContinuationTest, OnlyVersionNeedsNoMessageAndNoMemory) {
  set_members(8);
  pass(lifetime + second);
  begin("first");
  EXPECT_EQ(world.messages.size(), 0u);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusals, 0);
  EXPECT_EQ(run_of(again).request, again);
  EXPECT_EQ(world.messages.size(), 0u);
}

TEST_F(ContinuationTest, YoungInstanceVouchesForNoVersion) {
  pass(lifetime - 2 * second);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
}

TEST_F(ContinuationTest, StaleListVouchesForNoVersion) {
  pass(lifetime + second);
  world.advance(news_age_max + ms);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
}

/* Guards against a version vouched for by an old list that no line shows. */
TEST_F(ContinuationTest, LogTellsTheAgeOfTheListThatDecided) {
  pass(lifetime + second);
  world.advance(1200 * ms);
  world.request_resumption("/resume/x", 0, nullptr, "1");
  bool is_told = false;
  for (const std::string &line : world.log)
    is_told |= line.find("8013") == 0 &&
               line.find(" list_age_ms=1200 ") != std::string::npos;
  EXPECT_TRUE(is_told);
}

TEST_F(ContinuationTest, GapInTheListMayHaveHeldAnotherVersion) {
  pass(lifetime + second);
  world.advance(news_age_max + second);
  pass(lifetime - 2 * second);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
  pass(3 * second);
  again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusals, 0);
}

TEST_F(ContinuationTest, VersionThatHasLeftCountsForAsLongAsItsStreams) {
  pass(lifetime);
  add("new-1", "v2");
  remove("new-1");
  pass(lifetime - second);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
  pass(2 * second);
  again = world.request_resumption("/resume/x", 0, nullptr, "1");
  EXPECT_EQ(world.end(again).refusals, 0);
}

TEST_F(ContinuationTest, StreamsBegunInQuietTimesAreToldOfWhenAVersionComes) {
  set_members(8);
  pass(31 * second);
  begin("first");
  ASSERT_EQ(world.messages.size(), 0u);
  add("new-1", "v2");
  EXPECT_EQ(count_messages(MP_MSG_STREAM_ORIGIN), 5u);
  pass(2 * second);
  EXPECT_EQ(count_messages(MP_MSG_STREAM_ORIGIN), 5u);
}

TEST_F(ContinuationTest, NewStreamsBeginAtANewVersionOnlyWhenAllKnowIt) {
  pass(lifetime);
  add("new-1", "v2");
  add("new-2", "v2");
  std::set<std::string> early;
  for (int i = 0; i < 20; i++) {
    SentDispatch run = begin("first");
    early.insert(software_of(run.endpoint));
    world.hangup(run.request);
  }
  EXPECT_EQ(early, std::set<std::string>{"v1"});
  pass(new_time);
  std::set<std::string> late;
  for (int i = 0; i < 20; i++) {
    SentDispatch run = begin("first");
    late.insert(software_of(run.endpoint));
    world.hangup(run.request);
  }
  EXPECT_EQ(late, (std::set<std::string>{"v1", "v2"}));
}

TEST_F(ContinuationTest, NewVersionServesAtOnceWhereNoOtherIsLeft) {
  pass(lifetime);
  add("new-1", "v2");
  add("old-1", "v1", STAGE_DECODE, false);
  remove("old-2");
  SentDispatch run = begin("first");
  EXPECT_EQ(run.endpoint, "new-1");
}

/* }== The only version ==================================================== */

/* {== Replicas =============================================================
 */

TEST_F(ContinuationTest, ReplicasAreToldBeforeTheFirstPieceIsPassedOn) {
  set_members(8);
  world.id = "first";
  SentDispatch run = run_of(world.request("/resume/x"));
  world.outcome(run.number, OUTCOME_STREAM_HEAD);
  EXPECT_EQ(count_messages(MP_MSG_STREAM_ORIGIN), 0u);
  world.piece(run.number, "1");
  EXPECT_EQ(count_messages(MP_MSG_STREAM_ORIGIN), 5u);
  world.piece(run.number, "2");
  EXPECT_EQ(count_messages(MP_MSG_STREAM_ORIGIN), 5u);
}

TEST_F(ContinuationTest, ReplicaThatKnowsTheStreamDecides) {
  add("new-1", "v2");
  set_members(3);
  pass(new_time);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  EXPECT_EQ(count_messages(MP_MSG_STREAM_QUERY), 3u);
  EXPECT_TRUE(world.dispatches.empty());
  reply(0, reply_unknown);
  reply(1, reply_known, digest_of("v2"));
  SentDispatch run = run_of(again);
  EXPECT_EQ(run.endpoint, "new-1");
}

TEST_F(ContinuationTest, ReplicaMayVouchForTheOnlyVersion) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  reply(2, reply_only, digest_of("v1"));
  EXPECT_EQ(software_of(run_of(again).endpoint), "v1");
}

TEST_F(ContinuationTest, YoungInstanceAsksAboutAStreamThatIsNotNamed) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, nullptr, "1");
  reply(0, reply_unknown);
  EXPECT_EQ(world.end(again).refusals, 0);
  reply(1, reply_only, digest_of("v1"));
  EXPECT_EQ(software_of(run_of(again).endpoint), "v1");
}

TEST_F(ContinuationTest, StreamThatNoReplicaKnowsIsRefusedAtTheLastReply) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  reply(0, reply_unknown);
  reply(0, reply_unknown);
  reply(1, reply_unknown);
  EXPECT_EQ(world.end(again).refusals, 0);
  reply(2, reply_unknown);
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
  EXPECT_EQ(world.end(again).retry_after_ms, 0);
}

TEST_F(ContinuationTest, SilentReplicasAreAskedTwiceAndThenNotWaitedFor) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  reply(0, reply_unknown);
  world.advance(100 * ms);
  EXPECT_EQ(count_messages(MP_MSG_STREAM_QUERY), 5u);
  world.advance(100 * ms);
  EXPECT_EQ(world.end(again).refusal, REFUSAL_STREAM_UNKNOWN);
  EXPECT_GT(world.end(again).retry_after_ms, 0);
}

TEST_F(ContinuationTest, StrangersAreNotBelieved) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  reply(7, reply_known, digest_of("v1"));
  EXPECT_TRUE(world.dispatches.empty());
  EXPECT_EQ(world.end(again).refusals, 0);
}

TEST_F(ContinuationTest, RequestThatAsksReplicasMayBeGivenUp) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  world.hangup(again);
  reply(0, reply_known, digest_of("v1"));
  EXPECT_TRUE(world.dispatches.empty());
  EXPECT_EQ(router_open_requests(world.router), 0u);
}

TEST_F(ContinuationTest, StoppingInstanceStartsNoneThatAsks) {
  set_members(3);
  guint64 again = world.request_resumption("/resume/x", 0, "first", "1");
  router_stop_accepting(world.router, world.now);
  reply(0, reply_known, digest_of("v1"));
  EXPECT_EQ(world.end(again).refusal, REFUSAL_DRAINING);
}

TEST_F(ContinuationTest, ReplicaAnswersWhatItWasTold) {
  set_members(3);
  mp_Msg message = {};
  message.kind = MP_MSG_STREAM_ORIGIN;
  message.u.origin = {{1, 2}, 77, 9, 0, 100, 9000};
  router_stream_message(world.router, member_at(0), &message, world.now);
  message = {};
  message.kind = MP_MSG_STREAM_QUERY;
  message.u.query = {{1, 2}, 5, 9, 30000};
  router_stream_message(world.router, member_at(1), &message, world.now);
  ASSERT_EQ(count_messages(MP_MSG_STREAM_REPLY), 1u);
  const mp_StreamReply &reply = world.messages.back().second.u.reply;
  EXPECT_EQ(world.messages.back().first, member_at(1));
  EXPECT_EQ(reply.number, 5u);
  EXPECT_EQ(reply.verdict, reply_known);
  EXPECT_EQ(reply.software, 77u);
  EXPECT_EQ(reply.age_ms, 100u);
}

/* }== Replicas =============================================================
 */

/* {== No endpoint of the version ========================================== */

TEST_F(ContinuationTest, StreamWhoseVersionIsLeavingIsRefusedAtOnce) {
  SentDispatch run = begin("first");
  add("new-1", "v2");
  add("old-1", "v1", STAGE_DECODE, false);
  add("old-2", "v1", STAGE_DECODE, false);
  size_t before = world.dispatches.size();
  guint64 again = take_up(run, "first");
  EXPECT_EQ(world.end(again).refusal, REFUSAL_VERSION_GONE);
  EXPECT_EQ(world.end(again).retry_after_ms, 700);
  EXPECT_EQ(world.dispatches.size(), before);
}

TEST_F(ContinuationTest, WaitForOneVersionHoldsUpNoOthers) {
  SentDispatch run = begin("first");
  add("new-1", "v2");
  pass(new_time);
  fill({"old-1", "old-2"});
  guint64 again = take_up(run, "first");
  EXPECT_NE(world.last().request, again);
  SentDispatch other = run_of(world.request("/resume/x"));
  EXPECT_EQ(other.endpoint, "new-1");
  EXPECT_EQ(world.end(again).refusals, 0);
}

TEST_F(ContinuationTest, WaitForAVersionEndsWhenItsLastEndpointLeaves) {
  SentDispatch run = begin("first");
  add("new-1", "v2");
  fill({"old-1", "old-2"});
  guint64 again = take_up(run, "first");
  add("old-1", "v1", STAGE_DECODE, false);
  router_tick(world.router, world.now);
  EXPECT_EQ(world.end(again).refusals, 0);
  remove("old-2");
  router_tick(world.router, world.now);
  EXPECT_EQ(world.end(again).refusal, REFUSAL_VERSION_GONE);
}

/* }== No endpoint of the version ========================================== */

} // namespace
