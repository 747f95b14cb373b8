/*
** test_streams_after_restart.cc
** Instances that have just started: where they begin streams, and whom they
** believe about streams that are taken up
*/

#include <algorithm>

#include <gtest/gtest.h>

#include "stream_fleet.h"

extern "C" {
#include "router/origin_recorder.h"
#include "router/relay_members.h"
}

using namespace streaming;

namespace {

constexpr unsigned members = 3;

mp_Addr member_at(unsigned i) {
  return mp_addr_parse(("10.0.1." + std::to_string(i + 1) + ":1").c_str());
}

guint64 digest_of(const char *software) {
  EndpointRecord record = {};
  record.service = const_cast<char *>("llm");
  record.software = const_cast<char *>(software);
  return endpoint_software_digest(&record);
}

/* One life of an instance; the engines "old-*" have v1, "new-*" v2. */
struct Life {
  World world;

  explicit Life(guint64 seed) : world(0, 10.0, 0, "10.0.0.5:1", 0, "a", seed) {
    GArray *others = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (unsigned i = 0; i < members; i++) {
      RelayMember other = {member_at(i), g_str_hash("a"), 1};
      g_array_append_val(others, other);
    }
    world.configure();
    world.started_unix_ms = 1;
    router_set_members(world.router, others);
    g_array_free(others, TRUE);
    add("pre-1", "v1", STAGE_PREFILL);
    add("old-1", "v1");
    add("old-2", "v1");
  }

  void add(const char *id, const char *software,
           EndpointStage stage = STAGE_DECODE) {
    world.software = software;
    world.endpoint({id, "llm", "a", stage});
  }

  /* Answers the prefill; returns the engine of the request's run, or "". */
  std::string engine_of(guint64 request) {
    if (world.dispatches.empty() || world.last().request != request)
      return "";
    if (world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    return world.last().kind == DISPATCH_RUN ? world.last().endpoint : "";
  }

  /* Returns the number of the newest query; 0: none was sent. */
  guint32 last_query() const {
    guint32 number = 0;
    for (const auto &one : world.messages) {
      if (one.second.kind == MP_MSG_STREAM_QUERY)
        number = one.second.u.query.number;
    }
    return number;
  }
};

/* Guards against a stream that goes on at the version of another one: a
** replica that was frozen answers what the instance asked before its restart.
*/
TEST(StreamsAfterRestart, ReplyToAQueryOfAnEarlierLifeDecidesNothing) {
  mp_Msg late = {};
  {
    Life before(7);
    before.add("new-1", "v2");
    before.world.request_resumption("/resume/x", 0, "began-at-v2", "1");
    ASSERT_NE(before.last_query(), 0u);
    late.kind = MP_MSG_STREAM_REPLY;
    late.u.reply.number = before.last_query();
    late.u.reply.verdict = 1; /* known */
    late.u.reply.software = digest_of("v2");
    late.u.reply.service = g_str_hash("llm");
  }
  Life after(8);
  after.add("new-1", "v2");
  guint64 again =
      after.world.request_resumption("/resume/x", 0, "began-at-v1", "1");
  ASSERT_NE(after.last_query(), 0u);
  router_stream_message(after.world.router, member_at(0), &late,
                        after.world.now);
  EXPECT_EQ(after.engine_of(again), "");
}

/* Guards against streams at a version that the set lacks, while engines of a
** version that it holds can run them: an instance that vouches by the set does
** not know of them. */
TEST(StreamsAfterRestart, YoungInstanceBeginsStreamsAtAllowedVersionsOnly) {
  Life life(7);
  World &world = life.world;
  SoftwareSetCall call = {};
  SoftwareSetRecord record = {};
  gint64 due;
  world.advance(10 * ms);
  ASSERT_TRUE(router_next_software_call(world.router, &call, &due, world.now));
  record.count = 1;
  record.entries[0] = {digest_of("v1"), FALSE};
  SoftwareSetReply reply = {STORE_OK, store_position(1, 1), &record};
  router_software_reply(world.router, &call, &reply, 1, world.now);
  world.advance(10 * ms);
  router_store_answered(world.router, world.now);
  life.add("new-1", "v2");
  life.add("new-2", "v2");
  unsigned began_at_new = 0;
  for (int i = 0; i < 20; i++) {
    world.id = "first" + std::to_string(i);
    guint64 request = world.request("/resume/x");
    std::string engine = life.engine_of(request);
    ASSERT_NE(engine, "");
    began_at_new += engine.substr(0, 3) == "new";
    world.hangup(request);
  }
  EXPECT_EQ(began_at_new, 0u) << "of 20";
}

/* Guards against a stream that goes on at the version that the set holds
** alone, by a list that lacks a version which a replica's list has. */
TEST(StreamsAfterRestart, ReplicaThatSeesSeveralVersionsOutweighsTheSet) {
  constexpr unsigned unknown = 0;
  constexpr unsigned several = 3;
  for (unsigned verdict : {unknown, several}) {
    Life life(7);
    World &world = life.world;
    SoftwareSetCall call = {};
    SoftwareSetRecord record = {};
    gint64 due;
    record.count = 1;
    record.entries[0] = {digest_of("v1"), FALSE};
    SoftwareSetReply reply = {STORE_OK, store_position(1, 1), &record};
    world.advance(10 * ms);
    ASSERT_TRUE(
        router_next_software_call(world.router, &call, &due, world.now));
    router_software_reply(world.router, &call, &reply, 1, world.now);
    world.advance(10 * ms);
    router_store_answered(world.router, world.now);
    guint64 again = world.request_resumption("/resume/x", 0, "began", "1");
    mp_Msg message = {};
    message.kind = MP_MSG_STREAM_REPLY;
    message.u.reply.number = life.last_query();
    message.u.reply.verdict = static_cast<uint8_t>(verdict);
    for (unsigned i = 0; i < members; i++)
      router_stream_message(world.router, member_at(i), &message, world.now);
    for (int i = 0; i < 100 && world.end(again).refusals == 0; i++) {
      world.advance(5 * ms);
      if (router_next_software_call(world.router, &call, &due, world.now))
        router_software_reply(world.router, &call, &reply, 1, world.now);
    }
    EXPECT_EQ(life.engine_of(again).empty(), verdict == several) << verdict;
  }
}

FleetOptions options_of(unsigned seed) {
  FleetOptions options;
  options.seed = seed;
  options.instances = 8;
  options.streams_per_s = 20;
  options.contact_time = 0;
  options.has_store = true;
  return options;
}

/* Guards against two instances that have just started, of which one begins
** streams at a version that has just appeared, and the other, whose list is
** within news_age_max of it, vouches for the version before by the set. */
TEST(StreamsAfterRestart, VersionThatAppearsAfterAKillOfAllJoinsNoStream) {
  unsigned mixed = 0;
  for (unsigned seed = 1; seed <= 8; seed++) {
    Fleet fleet(options_of(seed));
    fleet.advance(30 * second);
    fleet.kill_instances(1.0);
    fleet.advance(1300 * ms);
    fleet.cut_from_list({0, 1, 2, 3});
    fleet.add_engines("v1.1", 12);
    fleet.advance(700 * ms);
    fleet.break_callers({4, 5, 6, 7});
    fleet.advance(second);
    fleet.cut_from_list({});
    fleet.advance(3 * second);
    mixed += fleet.mixed_streams();
    EXPECT_EQ(fleet.disordered_streams(), 0u) << seed;
  }
  EXPECT_EQ(mixed, 0u);
}

/* The same without any list that lags: the version's engines end when all
** instances are killed for a second time, before the set holds it. */
TEST(StreamsAfterRestart, VersionOfTheTimeBetweenTwoKillsIsNotForgotten) {
  unsigned mixed = 0;
  for (unsigned seed = 1; seed <= 8; seed++) {
    Fleet fleet(options_of(seed));
    fleet.advance(30 * second);
    fleet.kill_instances(1.0);
    fleet.advance(1300 * ms);
    fleet.software_store.delay_max = 200 * ms;
    fleet.add_engines("v1.1", 12);
    fleet.advance(200 * ms);
    fleet.kill_instances(1.0);
    fleet.end_version("v1.1");
    fleet.advance(6 * second);
    mixed += fleet.mixed_streams();
  }
  EXPECT_EQ(mixed, 0u);
}

/* Guards against trust in the set of a store that was restored from a copy by
** instances that started after that, so that none of them saw the era change.
*/
TEST(StreamsAfterRestart, StoreRestoredWhileAllAreDownJoinsNoStream) {
  unsigned mixed = 0;
  for (unsigned seed = 1; seed <= 4; seed++) {
    Fleet fleet(options_of(seed));
    fleet.advance(30 * second);
    auto copy = fleet.software_store.objects;
    fleet.add_engines("v1.1", 12);
    fleet.advance(6 * second);
    fleet.kill_instances(1.0);
    fleet.software_store.restore(copy);
    fleet.end_version("v1.1");
    fleet.advance(8 * second);
    mixed += fleet.mixed_streams();
  }
  EXPECT_EQ(mixed, 0u);
}

/* How the store's calls about sets and origins fail; the list of engines is
** delivered all the same. */
struct StoreFault {
  const char *name;
  bool set_is_away;
  bool origins_are_away;
  bool turns_away; /* origins: at once */
  gint64 set_delay_max;
  unsigned lost_percent; /* of the set's answers */
};

const StoreFault store_faults[] = {
    {"away", true, true, false, 20 * ms, 0},
    {"turns away", true, false, true, 20 * ms, 0},
    {"set is away", true, false, false, 20 * ms, 0},
    {"origins are away", false, true, false, 20 * ms, 0},
    {"slow", false, true, false, 900 * ms, 0},
    {"loses answers", false, true, false, 20 * ms, 100},
};

void apply(Fleet &fleet, const StoreFault &fault) {
  fleet.software_store.is_away = fault.set_is_away;
  fleet.software_store.delay_max = fault.set_delay_max;
  fleet.software_store.lost_percent = fault.lost_percent;
  fleet.store.is_away = fault.origins_are_away;
  fleet.store.turns_away = fault.turns_away;
}

const StoreFault no_fault = {"none", false, false, false, 20 * ms, 0};

/* A second version appears, with 'kills_before' while all instances are down,
** and the store fails from then until all are killed, 'span' later. Adds the
** takings-up to 'taken_up'; returns the number of streams that are joined. */
unsigned joined_after(const StoreFault &fault, bool kills_before, gint64 span,
                      unsigned &taken_up) {
  FleetOptions options = options_of(1 + static_cast<unsigned>(span / second));
  Fleet fleet(options);
  fleet.advance(30 * second);
  if (kills_before)
    fleet.kill_instances(1.0);
  apply(fleet, fault);
  fleet.add_engines("v1.1", options.engines);
  fleet.advance(span);
  fleet.kill_instances(1.0);
  apply(fleet, no_fault);
  fleet.advance(6 * second);
  taken_up += fleet.count().taken_up;
  EXPECT_EQ(fleet.disordered_streams(), 0u) << fault.name;
  return fleet.mixed_streams();
}

/* Guards against trust in a set that lacks a version which is listed. While
** the store does not answer, streams begin at a version that has just
** appeared, and neither the set nor an origin says so after a kill of all. To
** the instances that start then, the store looks as if the version had
** appeared while all were down. */
TEST(StreamsAfterRestart, StoreThatFailsWhileAVersionAppearsJoinsNoStream) {
  for (const StoreFault &fault : store_faults) {
    unsigned mixed = 0;
    unsigned taken_up = 0;
    for (gint64 span = 0; span <= 6 * second; span += second)
      mixed += joined_after(fault, false, span, taken_up);
    EXPECT_EQ(mixed, 0u) << fault.name;
    EXPECT_GE(taken_up, 100u) << fault.name;
  }
}

/* Guards against the same after two kills: instances that can't read the set
** begin streams at a version that appeared while all were down. A rule that
** holds only once the set has been read does not bind them. */
TEST(StreamsAfterRestart, StoreThatFailsBetweenTwoKillsJoinsNoStream) {
  for (const StoreFault &fault : store_faults) {
    unsigned mixed = 0;
    unsigned taken_up = 0;
    for (gint64 span = 2 * second; span <= 6 * second; span += second)
      mixed += joined_after(fault, true, span, taken_up);
    EXPECT_EQ(mixed, 0u) << fault.name;
    EXPECT_GE(taken_up, 100u) << fault.name;
  }
}

/* Guards against trust in a set that lacks a version which is listed: the
** store returns, while all are down, from a copy of the time before the
** version appeared, so that it has lost the origins too. */
TEST(StreamsAfterRestart, StoreRestoredWithoutAListedVersionJoinsNoStream) {
  unsigned mixed = 0;
  for (unsigned seed = 1; seed <= 4; seed++) {
    FleetOptions options = options_of(seed);
    Fleet fleet(options);
    fleet.advance(30 * second);
    auto copy = fleet.software_store.objects;
    fleet.add_engines("v1.1", options.engines);
    fleet.advance(6 * second);
    fleet.kill_instances(1.0);
    fleet.software_store.restore(copy);
    fleet.store.restore_empty();
    fleet.advance(8 * second);
    mixed += fleet.mixed_streams();
    EXPECT_EQ(fleet.disordered_streams(), 0u) << seed;
  }
  EXPECT_EQ(mixed, 0u);
}

/* Guards against a rule that lets no stream begin without an origin in the
** store: instances that have just started can't read which versions the set
** holds, and still serve. */
TEST(StreamsAfterRestart, StreamsBeginAfterAKillOfAllWithoutTheStore) {
  for (bool turns_away : {false, true}) {
    Fleet fleet(options_of(1));
    fleet.advance(30 * second);
    fleet.software_store.is_away = true;
    fleet.store.is_away = !turns_away;
    fleet.store.turns_away = turns_away;
    fleet.kill_instances(1.0);
    fleet.advance(3 * second);
    unsigned began = fleet.count().began;
    unsigned sent = fleet.count().sent;
    fleet.advance(5 * second);
    EXPECT_GE((fleet.count().began - began) * 10,
              (fleet.count().sent - sent) * 9)
        << turns_away;
    EXPECT_LE(fleet.longest_hold(), 85 * ms) << turns_away;
    EXPECT_EQ(fleet.mixed_streams(), 0u) << turns_away;
    EXPECT_EQ(fleet.disordered_streams(), 0u) << turns_away;
  }
}

/* Guards against an acknowledgement of an origin that was left out of the
** write, since the object was full. */
TEST(StreamsAfterRestart, RecorderAcknowledgesOnlyWhatItsWriteHolds) {
  OriginRecorder *recorder = origin_recorder_new();
  gint64 now = 100 * second;
  OriginsSave save = {};
  gboolean is_written = FALSE;
  for (guint32 i = 1; i <= RECORDED_ORIGINS_MAX + 1; i++) {
    StreamOrigin origin = {};
    origin.key.digest[0] = i;
    origin.software = 1;
    origin.expires = (i == 1 ? 105 : 110) * second;
    OriginAck ack = {5, i == 1 ? 1U : 0U, 0};
    origin_recorder_add(recorder, &origin, ack, now);
  }
  ASSERT_TRUE(origin_recorder_next_call(recorder, &save, now));
  ASSERT_EQ(save.operation, STORE_READ);
  g_array_free(origin_recorder_handle_reply(recorder, STORE_NOT_FOUND,
                                            store_position_none(), nullptr,
                                            &is_written, now),
               TRUE);
  now += 50 * ms;
  ASSERT_TRUE(origin_recorder_next_call(recorder, &save, now));
  auto *rows = reinterpret_cast<StoredOrigin *>(save.record.origins->data);
  bool holds_first = std::any_of(
      rows, rows + save.record.origins->len,
      [](const StoredOrigin &row) { return row.key.digest[0] == 1; });
  stream_origins_record_clear(&save.record);
  GArray *acks = origin_recorder_handle_reply(
      recorder, STORE_OK, store_position(1, 1), nullptr, &is_written, now);
  bool says_written = acks->len == 1 && is_written != FALSE;
  EXPECT_EQ(says_written, holds_first);
  g_array_free(acks, TRUE);
  origin_recorder_free(recorder);
}

} // namespace
