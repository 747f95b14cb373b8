/*
** test_crashing_parts.cc
** Requests that are all different, but have one part of their prompts in
** common that crashes every engine which runs them, in virtual time
*/

#include <gtest/gtest.h>

#include "crash_fleet.h"

using namespace crashing;

namespace {

constexpr guint64 part = 77;
constexpr guint64 other_part = 78;
/* every instance is expected to know of the fifth crash after this time */
constexpr gint64 contact_time = 3 * second;
/* dispatches that may reach engines after that */
constexpr unsigned arrivals_max = 3;

struct CrashingPart : ::testing::TestWithParam<unsigned> {
  FleetOptions options;
  CrashingPart() {
    options.seed = GetParam();
    options.first_parts = 3;
    options.second_parts = 200;
  }
};

/* Sends requests with the part, 0.2 to 1.2 s apart. */
void send(Fleet &fleet, guint64 which, gint64 span, unsigned seed) {
  std::mt19937 random(seed);
  for (gint64 until = fleet.now + span; fleet.now < until;) {
    fleet.send_request_with_crashing_part(Fleet::first_part(0), which);
    fleet.advance((200 + random() % 1000) * ms);
  }
}

void expect_limited(const Fleet &fleet, guint64 which) {
  EXPECT_LE(fleet.arrivals_after_fifth_crash(which, contact_time),
            arrivals_max)
      << fleet.part_crashes(which) << " crashes";
}

/* Sound requests with the same first part begin at least half as often as
** before, from twice the contact time after the fifth crash or the last. */
void expect_sound_served(const Fleet &fleet, gint64 before, gint64 from) {
  guint64 first = Fleet::first_part(0);
  double usual = fleet.share_begun(first, 0, before);
  EXPECT_GE(fleet.share_begun(first, from + 2 * contact_time, fleet.now),
            usual / 2);
}

TEST_P(CrashingPart, IsSentThreeTimesAtMostAfterTheFifthCrash) {
  Fleet fleet(options);
  fleet.advance(6 * second);
  gint64 began = fleet.now;
  send(fleet, part, 40 * second, GetParam());
  EXPECT_GE(fleet.part_crashes(part), 3u);
  expect_limited(fleet, part);
  expect_sound_served(fleet, began, began + 10 * second);
}

TEST_P(CrashingPart, TwoAtOnceAreToldApartFromTheFirstPartTheyShare) {
  Fleet fleet(options);
  fleet.advance(6 * second);
  gint64 began = fleet.now;
  std::mt19937 random(GetParam());
  for (int i = 0; i < 50; i++) {
    fleet.send_request_with_crashing_part(Fleet::first_part(0),
                                          i % 2 == 0 ? part : other_part);
    fleet.advance((200 + random() % 1000) * ms);
  }
  expect_limited(fleet, part);
  expect_limited(fleet, other_part);
  expect_sound_served(fleet, began, began + 15 * second);
}

TEST_P(CrashingPart, IsFoundWhileEnginesCrashForOtherReasons) {
  options.engine_crash_interval = 3 * second;
  Fleet fleet(options);
  fleet.advance(6 * second);
  gint64 began = fleet.now;
  send(fleet, part, 40 * second, GetParam());
  expect_limited(fleet, part);
  expect_sound_served(fleet, began, began + 10 * second);
  EXPECT_LE(fleet.harmless_refused_as_suspect(), fleet.harmless_requests / 50);
}

TEST_P(CrashingPart, IsSentThreeTimesAtMostWhileInstancesAreKilled) {
  Fleet fleet(options);
  fleet.advance(6 * second);
  for (int i = 0; i < 12; i++) {
    send(fleet, part, 3 * second, GetParam() + 100 * i);
    fleet.kill_and_restart(i % 3 == 0 ? 1 : 0.5);
  }
  expect_limited(fleet, part);
}

TEST_P(CrashingPart, IsSentThreeTimesAtMostWhileTheStoreIsDown) {
  Fleet fleet(options);
  fleet.advance(6 * second);
  gint64 began = fleet.now;
  fleet.store_up = false;
  send(fleet, part, 30 * second, GetParam());
  expect_limited(fleet, part);
  expect_sound_served(fleet, began, began + 10 * second);
}

TEST_P(CrashingPart, IsSentThreeTimesAtMostWhereCrashedEnginesAreSilent) {
  Fleet fleet(options);
  fleet.advance(6 * second);
  fleet.crashed_engines_refuse = false;
  gint64 began = fleet.now;
  send(fleet, part, 40 * second, GetParam());
  expect_limited(fleet, part);
  expect_sound_served(fleet, began, began + 20 * second);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashingPart, testing::Range(1u, 9u));

/* Guards against a shared part that a few separate crashes hold for an hour,
** though hundreds of good runs came between them: their answers end with their
** connections within a second (review/4). */
TEST_P(CrashingPart, IsNotAPartOfGoodRunsThatEndWithTheirConnections) {
  options.ends_with_close = true;
  options.run_time_min = 300 * ms;
  options.run_time_max = 700 * ms;
  options.engine_crash_interval = 2600 * ms;
  Fleet fleet(options);
  fleet.advance(60 * second);
  for (unsigned i = 0; i < options.first_parts; i++)
    EXPECT_GE(fleet.share_begun(Fleet::first_part(i), 30 * second, fleet.now),
              0.8)
        << "part " << i;
}

/* The same with a part that does crash engines. */
TEST_P(CrashingPart, IsFoundWhereAnswersEndWithTheirConnections) {
  options.ends_with_close = true;
  options.run_time_min = 300 * ms;
  options.run_time_max = 700 * ms;
  Fleet fleet(options);
  fleet.advance(6 * second);
  gint64 began = fleet.now;
  send(fleet, part, 40 * second, GetParam());
  EXPECT_GE(fleet.part_crashes(part), 3u);
  expect_limited(fleet, part);
  expect_sound_served(fleet, began, began + 10 * second);
}

TEST(CrashingParts, AreHeldByManyInstances) {
  for (unsigned instances : {20u, 88u}) {
    FleetOptions options;
    options.instances = instances;
    options.decode = instances;
    options.prefill = instances / 4;
    options.harmless_per_s = 2 * instances;
    options.first_parts = 3;
    options.second_parts = 1000;
    Fleet fleet(options);
    fleet.advance(6 * second);
    gint64 began = fleet.now;
    send(fleet, part, 20 * second, instances);
    expect_limited(fleet, part);
    expect_sound_served(fleet, began, began + 8 * second);
  }
}

/* The first part is new, too: until now it came with the crashing one only. */
TEST(CrashingParts, SoundPartThatCameWithNoOtherComesFree) {
  for (unsigned seed = 1; seed <= 8; seed++) {
    FleetOptions options;
    options.seed = seed;
    options.harmless_per_s = 0;
    options.first_parts = 1;
    options.second_parts = 50;
    Fleet fleet(options);
    send(fleet, part, 8 * second, seed);
    gint64 began = fleet.now;
    fleet.resume_harmless(6);
    for (int i = 0; i < 20; i++)
      send(fleet, part, second, seed + 100 + i);
    expect_limited(fleet, part);
    EXPECT_GE(fleet.share_begun(Fleet::first_part(0), began + 10 * second,
                                fleet.now),
              0.5)
        << "seed " << seed;
  }
}

/* A run of a request with this part at a router alone. */
guint64 run_with_part(World &world) {
  world.parts = {part};
  guint64 number = world.request("/resume/x");
  if (world.last().kind == DISPATCH_PREFILL)
    world.prefilled(world.last().number);
  EXPECT_EQ(world.last().request, number);
  world.outcome(world.last().number, OUTCOME_STREAM_HEAD);
  return world.last().number;
}

guint acquittals_of(World &world) {
  mp_CrashUpdate news = {};
  router_report_crashes(world.router, FALSE, &news, world.now);
  return news.acquitted_n;
}

/* A strike of the part, so that acquittals of it are told. */
void strike_part(World &world) {
  guint64 run = run_with_part(world);
  world.was_kept = true;
  std::string engine = world.sent(run).endpoint;
  world.outcome(run, OUTCOME_BROKEN);
  world.endpoint({engine.c_str(), "llm", "a", STAGE_DECODE}, true, true);
  world.endpoint({"dec-9", "llm", "a", STAGE_DECODE});
}

TEST(CrashingParts, AnswerThatEndsWithItsConnectionAcquitsNothingAtOnce) {
  for (bool is_framed : {false, true}) {
    World world;
    world.add_default_endpoints();
    strike_part(world);
    guint64 run = run_with_part(world);
    world.piece(run, "1");
    world.ends_with_close = !is_framed;
    world.outcome(run, OUTCOME_STREAM_END);
    EXPECT_EQ(acquittals_of(world), is_framed ? 1u : 0u);
  }
}

/* Runs one stream, whose answer ends with its connection, to its end. Returns
** its endpoint. */
std::string run_to_close(World &world) {
  guint64 run = run_with_part(world);
  std::string engine = world.sent(run).endpoint;
  world.piece(run, "1");
  world.ends_with_close = true;
  world.outcome(run, OUTCOME_STREAM_END);
  return engine;
}

/* Guards against good runs that count for nothing where answers end with their
** connections: an endpoint that answers what it was sent after one lived on.
*/
TEST(CrashingParts, NextAnswerOfTheEndpointAcquits) {
  World world;
  world.add_default_endpoints();
  strike_part(world);
  std::string engine = run_to_close(world);
  world.parts = {};
  EXPECT_EQ(acquittals_of(world), 0u);
  for (int i = 0; i < 20 && acquittals_of(world) == 0; i++) {
    world.advance(10 * ms);
    guint64 next = run_with_part(world);
    bool is_same = world.sent(next).endpoint == engine;
    world.piece(next, "1");
    EXPECT_EQ(acquittals_of(world), is_same ? 1u : 0u);
  }
  EXPECT_EQ(acquittals_of(world), 1u);
}

/* An answer to what was sent before the end of the run may have been written
** before the endpoint crashed, and another endpoint's says nothing. */
TEST(CrashingParts, AnswerToAnEarlierDispatchAcquitsNothing) {
  World world;
  world.add_default_endpoints();
  strike_part(world);
  std::vector<guint64> earlier;
  for (int i = 0; i < 8; i++)
    earlier.push_back(run_with_part(world));
  world.advance(10 * ms);
  run_to_close(world);
  for (guint64 run : earlier) {
    world.piece(run, "1");
    EXPECT_EQ(acquittals_of(world), 0u);
  }
}

TEST(CrashingParts, EndpointThatHasWrittenForASecondAcquits) {
  World world;
  world.add_default_endpoints();
  strike_part(world);
  guint64 run = run_with_part(world);
  for (int i = 0; i < 10; i++) {
    world.piece(run, std::to_string(i + 1).c_str());
    EXPECT_EQ(acquittals_of(world), 0u);
    world.advance(100 * ms);
  }
  world.piece(run, "11");
  EXPECT_EQ(acquittals_of(world), 1u);
}

TEST(CrashingParts, FailureOfAnEndpointAcquitsNothing) {
  World world;
  world.add_default_endpoints();
  strike_part(world);
  world.parts = {part};
  world.request("/resume/x");
  world.prefilled(world.last().number);
  world.outcome(world.last().number, OUTCOME_ANSWER, 500);
  EXPECT_EQ(acquittals_of(world), 0u);
}

} // namespace
