/*
** test_flow_control.cc
** Flow control for slow callers: the decisions, the counts, and what the
** router makes of a pause
*/

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "router_world.h"

extern "C" {
#include "io/flow_control.h"
}

using namespace routing;

namespace {

constexpr guint64 kb = 1024;
constexpr guint64 mb = 1024 * kb;

FlowReader slow(guint64 unread, guint priority = 0) {
  return {unread, 0, priority, 1 * second, 0, 0};
}

struct Choice {
  int index;
  FlowReason reason;
};

Choice choose(const std::vector<FlowReader> &readers, guint64 bound,
              gint64 now = 2 * second) {
  FlowLimits limits = flow_limits(bound);
  std::vector<const FlowReader *> pointers;
  guint64 total = 0;
  FlowReason reason = FLOW_REASON_COUNT;
  for (const FlowReader &one : readers) {
    pointers.push_back(&one);
    total += one.unread;
  }
  int index =
      flow_choose(&limits, pointers.data(),
                  static_cast<guint>(pointers.size()), total, now, &reason);
  return {index, reason};
}

/* Without hysteresis, an answer would be paused and resumed for each piece. */
TEST(FlowDecision, PausesAboveTheHighMarkUntilBelowTheLowMark) {
  FlowLimits limits = flow_limits(22 * mb);
  FlowReader reader = slow(limits.high);
  EXPECT_EQ(limits.high, 256 * kb);
  EXPECT_FALSE(flow_pauses(&limits, &reader, reader.unread));
  reader.unread++;
  EXPECT_TRUE(flow_pauses(&limits, &reader, reader.unread));
  reader.paused_since = 1;
  reader.unread = limits.low + 1;
  EXPECT_TRUE(flow_pauses(&limits, &reader, reader.unread));
  reader.unread = limits.low;
  EXPECT_FALSE(flow_pauses(&limits, &reader, reader.unread));
}

/* Many connections below the mark can still fill the memory together. */
TEST(FlowDecision, PausesEarlierWhenTheBoundIsNear) {
  FlowLimits limits = flow_limits(22 * mb);
  FlowReader reader = slow(100 * kb);
  EXPECT_FALSE(flow_pauses(&limits, &reader, 16 * mb));
  EXPECT_TRUE(flow_pauses(&limits, &reader, 17 * mb));
}

TEST(FlowDecision, NobodyIsAbortedBelowTheBound) {
  EXPECT_EQ(choose({slow(mb), slow(2 * mb)}, 3 * mb).index, -1);
}

TEST(FlowDecision, AtTheBoundTheLeastUrgentThenTheLargestIsAborted) {
  Choice largest = choose({slow(mb), slow(3 * mb), slow(2 * mb)}, 4 * mb);
  EXPECT_EQ(largest.index, 1);
  EXPECT_EQ(largest.reason, FLOW_BOUND);
  EXPECT_EQ(
      choose({slow(mb), slow(3 * mb), slow(2 * mb, 2), slow(mb, 2)}, 4 * mb)
          .index,
      2);
}

/* Large bodies beside large answers would exceed the memory; but one must
** always be taken, or a small bound would refuse it for ever. */
TEST(FlowDecision, ABodyIsTakenInIfItsCopiesFit) {
  FlowLimits limits = flow_limits(10 * mb);
  EXPECT_TRUE(flow_takes_body(&limits, 2 * mb, mb, 4 * mb));
  EXPECT_FALSE(flow_takes_body(&limits, 2 * mb + 1, mb, 4 * mb));
  EXPECT_TRUE(flow_takes_body(&limits, 9 * mb, 0, 8 * mb));
}

/* A caller that has just been sent a large answer, or that reads it at a good
** rate, must not pay for the slow ones. */
TEST(FlowDecision, QuickCallersAreNeverAborted) {
  FlowReader fresh = slow(8 * mb);
  FlowReader reading = slow(8 * mb);
  fresh.unread_since = 2 * second - 400 * ms;
  reading.read = FLOW_QUICK_BYTES;
  EXPECT_EQ(choose({fresh, reading}, 4 * mb).index, -1);
  EXPECT_EQ(choose({fresh, slow(kb), reading}, 4 * mb).index, 1);
  reading.paused_since = 1;
  EXPECT_EQ(choose({reading}, 40 * mb, 60 * second).index, -1);
}

/* Otherwise the endpoint would cut the answer off, and no log line would give
** the reason. */
TEST(FlowDecision, AConnectionThatHoldsItsEndpointBackForTooLongIsAborted) {
  FlowReader held = slow(300 * kb);
  held.paused_since = 1500 * ms;
  EXPECT_EQ(choose({slow(mb), held}, 22 * mb, 3499 * ms).index, -1);
  Choice choice = choose({slow(mb), held}, 22 * mb, 3500 * ms);
  EXPECT_EQ(choice.index, 1);
  EXPECT_EQ(choice.reason, FLOW_HELD);
}

/* A caller that reads a byte per second would hold its bytes for hours. */
TEST(FlowDecision, AConnectionThatIsReadTooSlowlyIsAbortedInTheEnd) {
  EXPECT_EQ(choose({slow(kb)}, 22 * mb, 20 * second).index, -1);
  Choice choice = choose({slow(kb)}, 22 * mb, 21 * second);
  EXPECT_EQ(choice.index, 0);
  EXPECT_EQ(choice.reason, FLOW_SLOW);
}

/* An answer that is ready is delivered even if that takes long. */
TEST(FlowDecision, AConnectionThatIsReadSteadilyIsNotAborted) {
  FlowReader reader = slow(4 * mb);
  reader.delivered = 59 * FLOW_SLOW_RATE;
  EXPECT_EQ(choose({reader}, 22 * mb, 60 * second).index, -1);
  EXPECT_EQ(choose({reader}, 22 * mb, 61 * second).index, 0);
}

/* the counts of one instance, whose hooks record what is asked for */
struct FlowCounts : ::testing::Test {
  FlowLimits limits = flow_limits(4 * mb);
  FlowControl *flow = nullptr;
  std::map<guint64, bool> pauses;
  std::map<guint64, int> reports;
  std::vector<guint64> aborted;
  std::vector<FlowConnection *> connections;

  void SetUp() override {
    FlowHooks hooks = {this, on_pause, on_paused, on_abort, nullptr};
    flow = flow_control_new(&limits, &hooks, this);
  }
  void TearDown() override {
    for (FlowConnection *one : connections)
      flow_remove(flow, one);
    EXPECT_EQ(flow_total(flow), 0u);
    EXPECT_EQ(flow_paused(flow), 0u);
    flow_control_free(flow);
  }
  static void on_pause(void *data, guint64 request, gboolean pauses) {
    static_cast<FlowCounts *>(data)->pauses[request] = pauses != FALSE;
  }
  static void on_paused(void *data, guint64 request, gint64) {
    static_cast<FlowCounts *>(data)->reports[request]++;
  }
  static void on_abort(void *data, gpointer, guint64 request, FlowReason,
                       const FlowReader *, guint64) {
    static_cast<FlowCounts *>(data)->aborted.push_back(request);
  }
  FlowConnection *add(guint64 request) {
    FlowConnection *one = flow_add(flow, this);
    flow_set_request(flow, one, request, 0);
    connections.push_back(one);
    return one;
  }
};

TEST_F(FlowCounts, APauseIsReportedUntilItsCallerHasRead) {
  FlowConnection *one = add(1);
  flow_wrote(flow, one, limits.high + 1, second);
  EXPECT_TRUE(pauses[1]);
  EXPECT_EQ(flow_paused(flow), 1u);
  flow_tick(flow, second + 100 * ms);
  EXPECT_EQ(reports[1], 1);
  flow_read(flow, one, limits.high + 1 - limits.low, second + 200 * ms);
  EXPECT_FALSE(pauses[1]);
  EXPECT_EQ(flow_paused(flow), 0u);
}

/* The end of a request must not leave its endpoint's connection unread. */
TEST_F(FlowCounts, APauseEndsWithItsRequest) {
  FlowConnection *one = add(1);
  flow_wrote(flow, one, limits.high + 1, second);
  flow_set_request(flow, one, 0, 0);
  EXPECT_FALSE(pauses[1]);
  EXPECT_EQ(flow_paused(flow), 0u);
  EXPECT_EQ(flow_total(flow), limits.high + 1);
}

TEST_F(FlowCounts, TheBytesOfAnAbortedConnectionAreNotCounted) {
  FlowConnection *one = add(1);
  FlowConnection *two = add(2);
  flow_wrote(flow, one, 3 * mb, second);
  flow_wrote(flow, two, 2 * mb, 2 * second);
  EXPECT_EQ(aborted, std::vector<guint64>{1});
  EXPECT_EQ(flow_total(flow), 2 * mb);
  EXPECT_EQ(flow_aborts(flow, FLOW_BOUND), 1u);
  flow_wrote(flow, one, mb, 2 * second);
  flow_read(flow, one, mb, 2 * second);
  EXPECT_EQ(flow_total(flow), 2 * mb);
}

TEST_F(FlowCounts, WhateverIsWrittenAndReadTheSumIsThatOfTheConnections) {
  guint64 expected = 0;
  std::vector<guint64> unread(20);
  for (guint64 i = 0; i < 20; i++)
    add(i + 1);
  for (guint64 i = 0; i < 2000; i++) {
    size_t at = i * 7 % 20;
    guint64 size = i * 31 % 500;
    flow_wrote(flow, connections[at], size, second);
    unread[at] += size;
    guint64 taken = unread[at] / 2;
    flow_read(flow, connections[at], taken, second);
    unread[at] -= taken;
  }
  for (guint64 one : unread)
    expected += one;
  EXPECT_EQ(flow_total(flow), expected);
}

FlowArrival arrival(guint64 bytes, gint64 since, guint64 received = 0) {
  return {bytes, received, since, FALSE};
}

int choose_arrival(const std::vector<FlowArrival> &arrivals, guint64 need,
                   gint64 now) {
  std::vector<const FlowArrival *> pointers;
  for (const FlowArrival &one : arrivals)
    pointers.push_back(&one);
  return flow_arrival_choose(pointers.data(),
                             static_cast<guint>(pointers.size()), need, now);
}

/* Guards against callers that are refused although they send quickly, have
** just begun, or are not read by the instance. */
TEST(FlowInput, OnlyAStalledArrivalGivesWay) {
  const gint64 now = 10 * second;
  FlowArrival quick = arrival(mb, 1 * second, FLOW_QUICK_BYTES);
  FlowArrival young = arrival(mb, now - FLOW_QUICK_TIME + 1);
  FlowArrival waiting = arrival(mb, 1 * second);
  waiting.is_waiting = TRUE;
  EXPECT_EQ(choose_arrival({quick, young, waiting, arrival(mb, 0)}, 1, now),
            -1);
  EXPECT_EQ(choose_arrival({quick, arrival(kb, 1 * second)}, 1, now), 1);
}

TEST(FlowInput, TheLargestGivesWayFirstThenTheOldest) {
  const gint64 now = 10 * second;
  EXPECT_EQ(
      choose_arrival({arrival(kb, 1), arrival(mb, 3), arrival(mb, 2)}, 1, now),
      2);
}

/* Guards against refusals that help nobody. */
TEST(FlowInput, NoneGivesWayIfAllTogetherAreTooSmall) {
  const gint64 now = 10 * second;
  std::vector<FlowArrival> two = {arrival(kb, 1), arrival(kb, 2)};
  EXPECT_EQ(choose_arrival(two, 2 * kb, now), 0);
  EXPECT_EQ(choose_arrival(two, 2 * kb + 1, now), -1);
}

/* the same counts, with requests that give way */
struct FlowArrivals : FlowCounts {
  std::vector<FlowConnection *> gave_way;
  std::map<gpointer, FlowConnection *> by_owner;
  std::vector<int> owners = std::vector<int>(100);

  void SetUp() override {
    FlowHooks hooks = {this, on_pause, on_paused, on_abort, on_give_way};
    flow = flow_control_new(&limits, &hooks, this);
  }
  static void on_give_way(void *data, gpointer owner, guint64) {
    auto *self = static_cast<FlowArrivals *>(data);
    self->gave_way.push_back(self->by_owner[owner]);
  }
  FlowConnection *arriving(gint64 since) {
    gpointer owner = &owners[connections.size()];
    FlowConnection *one = flow_add(flow, owner);
    by_owner[owner] = one;
    connections.push_back(one);
    flow_begin_arrival(one, since);
    return one;
  }
};

TEST_F(FlowArrivals, InputCountsAndGoesWithItsConnection) {
  FlowConnection *one = arriving(second);
  flow_set_input(flow, one, 3000);
  EXPECT_EQ(flow_used(flow), 3000u + FLOW_CONNECTION_BYTES);
  EXPECT_EQ(flow_held(flow), 0u);
  flow_remove(flow, one);
  connections.clear();
  EXPECT_EQ(flow_used(flow), 0u);
}

TEST_F(FlowArrivals, StalledOnesGiveWayToAnOrdinaryRequest) {
  for (int i = 0; i < 5; i++)
    flow_set_input(flow, arriving(second + i), mb);
  FlowConnection *ordinary = arriving(5 * second);
  flow_set_input(flow, ordinary, kb);
  EXPECT_FALSE(flow_make_room(flow, ordinary, 0, second + 100 * ms));
  EXPECT_TRUE(flow_make_room(flow, ordinary, 0, 5 * second));
  EXPECT_EQ(gave_way, std::vector<FlowConnection *>{connections[0]});
  EXPECT_LE(flow_used(flow), limits.bound + limits.bound / FLOW_RESERVE_SHARE);
}

/* Guards against a body alone, within the limits of the configuration, that is
** refused because the bound is small. */
TEST_F(FlowArrivals, OneBodyIsTakenInWhateverItsSize) {
  FlowConnection *alone = arriving(second);
  EXPECT_TRUE(flow_set_body(flow, alone, limits.bound, TRUE));
  flow_set_input(flow, alone, kb);
  EXPECT_TRUE(flow_make_room(flow, alone, 0, second));
  flow_set_body(flow, alone, 0, FALSE);
  EXPECT_TRUE(flow_grow_body(flow, alone, limits.bound, limits.bound, second));
  EXPECT_TRUE(flow_make_room(flow, alone, 0, second));
}

/* Guards against large requests that shut small ones out. */
TEST_F(FlowArrivals, OnlySmallRequestsUseTheReserve) {
  FlowConnection *large = arriving(second);
  FlowConnection *small = arriving(second);
  flow_set_input(flow, large, limits.bound);
  EXPECT_FALSE(flow_make_room(flow, large, 0, second));
  EXPECT_TRUE(flow_make_room(flow, small, kb, second));
  EXPECT_FALSE(flow_make_room(flow, small, limits.bound, second));
}

/* A whole request, or the body of one, must not be given up. */
TEST_F(FlowArrivals, AWholeRequestDoesNotGiveWay) {
  FlowConnection *whole = arriving(second);
  FlowConnection *asker = arriving(5 * second);
  flow_set_body(flow, whole, 2 * mb, FALSE);
  flow_end_arrival(whole);
  flow_set_request(flow, whole, 7, 0);
  flow_set_input(flow, asker, mb);
  EXPECT_FALSE(flow_make_room(flow, asker, 0, 5 * second));
  EXPECT_TRUE(gave_way.empty());
}

/* Bodies of unknown size must not wait for each other: whatever they hold, the
** oldest can become as large as it may. */
TEST_F(FlowArrivals, TheOldestGrowingBodyIsNeverHeldBack) {
  const guint64 size_max = mb;
  for (int i = 0; i < 12; i++)
    arriving(second + i);
  std::vector<guint64> sizes(connections.size());
  for (int round = 0; round < 400; round++) {
    for (size_t i = connections.size(); i-- > 0;) {
      flow_arrived(connections[i], FLOW_QUICK_BYTES);
      guint64 more = MIN(sizes[i] + 16 * kb, size_max);
      if (flow_grow_body(flow, connections[i], more, size_max, second))
        sizes[i] = more;
      EXPECT_LE(flow_used(flow), limits.bound);
    }
  }
  EXPECT_EQ(sizes[0], size_max);
  EXPECT_TRUE(gave_way.empty());
}

/* Runs a stream that may be resumed elsewhere until its first event, lets it
** be silent, and returns how many runs there were. */
size_t runs_of_a_silent_stream(bool is_paused) {
  World world;
  world.add_default_endpoints();
  guint64 number = world.request("/resume/x");
  while (world.last().kind == DISPATCH_PREFILL)
    world.prefilled(world.last().number);
  guint64 run = world.last().number;
  world.outcome(run, OUTCOME_STREAM_HEAD);
  world.piece(run, "1");
  size_t sent = world.dispatches.size();
  for (int i = 0; i < 19; i++) {
    world.advance(100 * ms);
    if (is_paused)
      router_reading_paused(world.router, number, world.now);
  }
  return world.dispatches.size() - sent;
}

/* Bytes that this instance does not read are no silence of the endpoint: it
** must neither be counted as failed nor lose the stream. */
TEST(FlowPause, IsNoSilenceOfTheEndpoint) {
  EXPECT_GT(runs_of_a_silent_stream(false), 0u);
  EXPECT_EQ(runs_of_a_silent_stream(true), 0u);
}

/* An endpoint that is silent after a pause is still found out. */
TEST(FlowPause, SilenceAfterItCounts) {
  World world;
  world.add_default_endpoints();
  guint64 number = world.request("/resume/x");
  while (world.last().kind == DISPATCH_PREFILL)
    world.prefilled(world.last().number);
  guint64 run = world.last().number;
  world.outcome(run, OUTCOME_STREAM_HEAD);
  world.piece(run, "1");
  size_t sent = world.dispatches.size();
  router_reading_paused(world.router, number, world.now);
  world.advance(2 * second);
  EXPECT_GT(world.dispatches.size(), sent);
}

} // namespace
