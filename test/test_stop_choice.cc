/*
** test_stop_choice.cc
** Which requests are started after the signal of a planned stop, by what is
** known of their durations and of the other instances
*/

#include <gtest/gtest.h>

#include "router_world.h"

extern "C" {
#include "router/peer_loads.h"
#include "router/stop_choice.h"
}

namespace {

using routing::ms;
using routing::second;
using routing::World;

/*
** The decision by itself
*/

struct StopChoiceTest : ::testing::Test {
  RunTimes times = {};
  void add(unsigned count, gint64 duration) {
    for (unsigned i = 0; i < count; i++)
      run_times_add(&times, duration);
  }
  StopChoice choose(gint64 left, guint others, guint stopping) const {
    StopInput input = {&times, left, others, stopping};
    return stop_choice_make(&input);
  }
};

/* 150 requests of up to 4 s do not show that one in fifty takes 6 s to 8 s. */
TEST_F(StopChoiceTest, AnUnseenTailIsRefusedWhereOthersTakeCallers) {
  add(150, 4 * second);
  EXPECT_TRUE(choose(7 * second, 7, 0).refuses);
  EXPECT_TRUE(choose(7 * second, 7, 5).refuses);
  EXPECT_FALSE(choose(7 * second, 7, 6).refuses);
  EXPECT_FALSE(choose(7 * second, 7, 7).refuses);
}

/* An instance that has just started refused all requests in its stop. */
TEST_F(StopChoiceTest, FewDurationsRefuseNobody) {
  add(RUN_TIMES_SAMPLES_MIN - 1, 4 * second);
  EXPECT_FALSE(choose(7 * second, 7, 0).refuses);
  EXPECT_FALSE(choose(7 * second, 7, 7).refuses);
  EXPECT_FALSE(choose(7 * second, 0, 0).refuses);
}

/* The share of the others that stop decides, not their number. */
TEST_F(StopChoiceTest, FourFifthsOfTheOthersMayStop) {
  add(150, 4 * second);
  EXPECT_TRUE(choose(7 * second, 20, 16).refuses);
  EXPECT_FALSE(choose(7 * second, 20, 17).refuses);
  EXPECT_TRUE(choose(7 * second, 1, 0).refuses);
  EXPECT_FALSE(choose(7 * second, 1, 1).refuses);
}

/* The strict bound must not refuse all requests of a quick service. */
TEST_F(StopChoiceTest, RequestsThatTakeFarLessTimeAreStarted) {
  add(20, 100 * ms);
  EXPECT_FALSE(choose(5 * second, 7, 0).refuses);
  EXPECT_TRUE(choose(300 * ms, 7, 0).refuses);
}

/* With a refusal of 220 ms, one in fifty is cut; where others go on, none. */
TEST_F(StopChoiceTest, RefusalsCostMoreWhereNearlyAllStop) {
  add(980, second);
  add(20, 7 * second);
  EXPECT_TRUE(choose(6 * second, 7, 0).refuses);
  EXPECT_FALSE(choose(6 * second, 7, 7).refuses);
  add(50, 7 * second);
  EXPECT_TRUE(choose(6 * second, 7, 7).refuses);
}

/* Three tries within 60 ms all met instances that refused them. */
TEST_F(StopChoiceTest, RefusedCallersWaitLongerWhereNearlyAllStop) {
  add(100, 7 * second);
  EXPECT_EQ(choose(5 * second, 7, 0).retry_after, 10 * ms);
  EXPECT_EQ(choose(5 * second, 7, 7).retry_after, 200 * ms);
  EXPECT_EQ(choose(5 * second, 0, 0).retry_after, 10 * ms);
}

/* A caller without another instance waits for the end of the stop anyway. */
TEST_F(StopChoiceTest, WithoutOthersWhatProbablyEndsIsStarted) {
  add(60, second);
  add(40, 7 * second);
  EXPECT_FALSE(choose(6 * second, 0, 0).refuses);
  add(40, 7 * second);
  EXPECT_TRUE(choose(6 * second, 0, 0).refuses);
}

TEST_F(StopChoiceTest, NothingStartsWithoutTimeLeft) {
  add(1000, 50 * ms);
  for (guint others : {0u, 7u}) {
    for (guint stopping = 0; stopping <= others; stopping++) {
      EXPECT_TRUE(choose(0, others, stopping).refuses);
      EXPECT_TRUE(choose(-second, others, stopping).refuses);
    }
  }
}

/* One long request must not make a service strict for ever. */
TEST_F(StopChoiceTest, OldLongRequestsAreForgotten) {
  add(1, 7 * second);
  add(1000, 100 * ms);
  EXPECT_GT(run_times_share_longer_max(&times, 5 * second), 0);
  add(4 * RUN_TIMES_WEIGHT_MAX, 100 * ms);
  EXPECT_EQ(run_times_share_longer_max(&times, 5 * second), 0);
}

/*
** What instances tell each other
*/

struct StopNewsTest : ::testing::Test {
  World world;
  guint32 sequence = 0;
  StopNewsTest() {
    world.add_default_endpoints();
    for (unsigned i = 0; i < 100; i++) {
      world.request("/unsafe/x");
      guint64 dispatch = world.last().number;
      world.now += 3 * second;
      world.outcome(dispatch, OUTCOME_ANSWER);
    }
  }
  void hear(unsigned stopping, unsigned others) {
    sequence++;
    for (unsigned i = 0; i < others; i++) {
      mp_LoadDigest digest = {};
      digest.stopping = i < stopping;
      router_peer_load(world.router, 0x0a00000000010001 + i, sequence, &digest,
                       world.now);
    }
  }
  gint64 retry_ms_of_refused() {
    guint64 request = world.request("/unsafe/x");
    EXPECT_EQ(world.end(request).refusal, REFUSAL_DRAINING);
    return world.end(request).retry_after_ms;
  }
};

/* Instances did not tell each other that they stop. */
TEST_F(StopNewsTest, TheDigestTellsOfAStopAtOnce) {
  mp_LoadDigest digest = {};
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.stopping, 0u);
  guint64 version = router_load_version(world.router);
  router_begin_stop(world.router, world.now + 2 * second, world.now);
  EXPECT_NE(router_load_version(world.router), version);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.stopping, 1u);
}

TEST_F(StopNewsTest, OthersThatStopAreCountedUntilTheyAreBack) {
  hear(7, 7);
  router_begin_stop(world.router, world.now + 2 * second, world.now);
  EXPECT_EQ(retry_ms_of_refused(), 200);
  hear(5, 7);
  EXPECT_EQ(retry_ms_of_refused(), 10);
}

/* An instance that has ended says nothing; it neither stops nor takes callers.
 */
TEST_F(StopNewsTest, SilentInstancesAreNotCounted) {
  hear(1, 7);
  world.now += second;
  hear(1, 1);
  router_begin_stop(world.router, world.now + 2 * second, world.now);
  EXPECT_EQ(retry_ms_of_refused(), 10);
  world.now += second;
  EXPECT_EQ(retry_ms_of_refused(), 200);
}

/* Instances of other data centres hear of stops by summaries only. */
TEST_F(StopNewsTest, SummariesAddStoppingInstancesUp) {
  mp_LoadSummary summary = {};
  hear(5, 7);
  router_begin_stop(world.router, world.now + 2 * second, world.now);
  router_load_summary(world.router, &summary, world.now);
  EXPECT_EQ(summary.instances, 8u);
  EXPECT_EQ(summary.loads.stopping, 6u);
  summary.relay = 0x0a00000000020001;
  summary.zone = 77;
  PeerLoads *peers = peer_loads_new();
  peer_loads_update_summary(peers, 1, &summary, world.now);
  EXPECT_EQ(peer_loads_count_stopping(peers, second, world.now), 6u);
  peer_loads_free(peers);
}

} // namespace
