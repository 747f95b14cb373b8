/*
** test_crash_fleet.cc
** Requests that end engines, before several instances under faults: few are
** sent after the third end, and nobody else is held
*/

#include <gtest/gtest.h>

#include "crash_fleet.h"

using namespace crashing;

namespace {

constexpr guint64 deadly = 7;
constexpr gint64 contact = 3 * second;
constexpr unsigned most_retries = 3;

/* it comes again at random moments, as callers sent it: 0.2 to 2.5 s apart */
void come_again(Fleet &fleet, gint64 span, unsigned seed) {
  std::mt19937 random(seed);
  for (gint64 until = fleet.now + span; fleet.now < until;) {
    fleet.send_deadly(deadly);
    fleet.pass((200 + random() % 2300) * ms);
  }
}

void expect_bound(const Fleet &fleet, unsigned seed) {
  EXPECT_GE(fleet.crashes(deadly), 3u) << "seed " << seed;
  EXPECT_LE(fleet.runs_after_third(deadly, contact), most_retries)
      << "seed " << seed;
}

struct CrashFleet : ::testing::TestWithParam<unsigned> {
  FleetOptions options;
  CrashFleet() {
    options.seed = GetParam();
  }
};

TEST_P(CrashFleet, ADeadlyRequestEndsThreeEnginesAtMostWhenAllIsCalm) {
  Fleet fleet(options);
  fleet.pass(2 * second);
  come_again(fleet, 40 * second, GetParam());
  expect_bound(fleet, GetParam());
  EXPECT_LE(fleet.crashes(deadly), 4u); /* two may be under way at once */
  EXPECT_EQ(fleet.innocents_held(), 0u);
}

TEST_P(CrashFleet, ThreeRetriesAtMostWhileMostInstancesAreKilledInBetween) {
  Fleet fleet(options);
  fleet.pass(2 * second);
  for (int i = 0; i < 12; i++) {
    come_again(fleet, 3 * second, GetParam() + 100 * i);
    fleet.kill(0.9);
  }
  expect_bound(fleet, GetParam());
}

TEST_P(CrashFleet, ThreeRetriesAtMostWhileDatagramsBetweenHalvesAreLost) {
  Fleet fleet(options);
  fleet.pass(2 * second);
  fleet.is_cut = true;
  come_again(fleet, 20 * second, GetParam());
  fleet.is_cut = false;
  come_again(fleet, 20 * second, GetParam());
  expect_bound(fleet, GetParam());
}

TEST_P(CrashFleet, ThreeRetriesAtMostWhileTheStoreIsAway) {
  Fleet fleet(options);
  fleet.pass(2 * second);
  fleet.store_up = false;
  come_again(fleet, 15 * second, GetParam());
  fleet.store_up = true;
  come_again(fleet, 15 * second, GetParam());
  expect_bound(fleet, GetParam());
}

/* half of the datagrams lost, and engines that end in silence: the list tells
 */
TEST_P(CrashFleet, ThreeRetriesAtMostWhenOnlyTheListTellsOfEnds) {
  options.loss = 0.5;
  Fleet fleet(options);
  fleet.ends_are_refused = false;
  fleet.pass(2 * second);
  come_again(fleet, 60 * second, GetParam());
  EXPECT_LE(fleet.runs_after_third(deadly, contact + 4 * second),
            most_retries);
}

/* engines that end by themselves, one in two seconds */
TEST_P(CrashFleet, NobodyIsHeldForEnginesThatEndByThemselves) {
  options.own_end_every = 2 * second;
  Fleet fleet(options);
  fleet.pass(120 * second);
  EXPECT_GT(fleet.innocents_broken(), 20u);
  EXPECT_EQ(fleet.innocents_held(), 0u);
}

/*
** Engines that end in silence: nothing refuses a connection, and the list
*tells
** of an end 3.5 s after it.
**
** What was seen: a request that ends engines ran eight times where six are the
** most. Two ends had been proved; in the 1.45 s until the list proved the
*third
** one, four instances sent the request on to an engine each.
**
** Cause: a run that broke off counted against its request once the end was
** proved, and for nothing until then. Evidence: in the log of that run the
** fourth to seventh dispatch lie between the third break and its proof
** (proof=gone, 1.45 s later); with ends that refuse connections, proved within
** some milliseconds, the same callers end three engines.
*/
TEST(SuspectedEnds, CountWhileTheyAreNotProved) {
  for (unsigned seed = 1; seed <= 12; seed++) {
    SCOPED_TRACE(seed);
    FleetOptions options;
    options.seed = seed;
    Fleet fleet(options);
    std::mt19937 random(seed);
    fleet.ends_are_refused = false;
    fleet.pass(2 * second);
    for (int i = 0; i < 40; i++) {
      fleet.send_deadly(deadly);
      fleet.pass((100 + random() % 500) * ms);
    }
    EXPECT_GE(fleet.crashes(deadly), 3u);
    EXPECT_LE(fleet.crashes(deadly), 3 + most_retries);
    EXPECT_EQ(fleet.innocents_held(), 0u);
  }
}

/* engines that break answers off, and live: what they answer takes the
** suspicion away before it defers anybody */
TEST(SuspectedEnds, DeferNobodyWhoseEnginesOnlyBreakAnswersOff) {
  for (unsigned seed = 1; seed <= 4; seed++) {
    FleetOptions options;
    options.seed = seed;
    options.garbled = 0.4;
    Fleet fleet(options);
    fleet.pass(60 * second);
    EXPECT_GT(fleet.innocents_broken(), 300u);
    EXPECT_EQ(fleet.innocents_held(), 0u);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashFleet, ::testing::Range(1u, 6u));

} // namespace
