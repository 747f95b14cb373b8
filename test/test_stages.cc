/*
** test_stages.cc
** Tests of orders that make engines change between the prefill and the decode
** stage: how many engines, when, and which instance sends the orders
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "router_world.h"

extern "C" {
#include "router/stage_plan.h"
}

using namespace routing;

namespace {

/*
** The number of engines that should change their stage
*/

StageUse usage(guint prefill, guint decode, double busy, double full) {
  StageUse one = {prefill, decode, 1, busy, busy, full, FALSE};
  return one;
}

TEST(StagePlan, IdlePrefillEnginesMoveToAFullDecodeStage) {
  StageUse one = usage(21, 39, 5.25, 28.0);
  EXPECT_EQ(stage_plan(&one), 12); /* 9 can prefill for 51 that decode */
}

TEST(StagePlan, PlanDependsOnTheMixOfTrafficNotOnItsAmount) {
  StageUse calm = usage(21, 39, 5.25, 28.0);
  StageUse busy = usage(21, 39, 7.0, 28.0 * 7.0 / 5.25);
  EXPECT_EQ(stage_plan(&calm), stage_plan(&busy));
}

TEST(StagePlan, NothingMovesWhenBothStagesHaveCapacity) {
  StageUse idle = usage(21, 39, 0.5, 2.0);
  StageUse balanced = usage(4, 8, 3.2, 7.0);
  StageUse empty = usage(21, 39, 0, 0);
  EXPECT_EQ(stage_plan(&idle), 0);
  EXPECT_EQ(stage_plan(&balanced), 0);
  EXPECT_EQ(stage_plan(&empty), 0);
}

TEST(StagePlan, EachZoneKeepsAPrefillEngineAndOneEngineDecodes) {
  StageUse one = usage(6, 6, 0.1, 6.0);
  one.zones = 3;
  EXPECT_EQ(stage_plan(&one), 3);
  one.zones = 0;
  EXPECT_EQ(stage_plan(&one), 5);
  StageUse few = usage(1, 1, 1.0, 1.0);
  EXPECT_EQ(stage_plan(&few), 0);
}

TEST(StagePlan, EnginesReturnToPrefillWhenPromptsQueue) {
  StageUse one = usage(4, 16, 4.0, 3.0);
  one.prompts = 12.0;
  EXPECT_LE(stage_plan(&one), -2);
  one.prompts = 5.0; /* the prefill engines are fast enough */
  EXPECT_GE(stage_plan(&one), 0);
}

TEST(StagePlan, BurstOfPromptsMovesNothingWhileBothStagesAreFull) {
  StageUse one = usage(13, 47, 13.0, 40.0); /* both stages are full */
  one.prompts = 60.0;
  one.waiting = TRUE;
  EXPECT_EQ(stage_plan(&one), 0);
}

TEST(StagePlan, SmallServicesKeepALargerShareOfPrefillEngines) {
  StageUse few = usage(4, 8, 2.4, 6.5);
  StageUse many = usage(40, 80, 24.0, 65.0);
  EXPECT_EQ(stage_plan(&few), 0);   /* 4 of 12 stay */
  EXPECT_EQ(stage_plan(&many), 11); /* 29 of 120 stay, a smaller share */
}

TEST(StagePlan, QueuedPromptsKeepTheirEnginesHoweverFullDecodeIs) {
  StageUse one = usage(12, 48, 11.0, 47.0);
  one.waiting = TRUE;
  one.prompts = 30.0;
  EXPECT_LE(stage_plan(&one), 0);
}

/*
** Sending the orders
*/

constexpr gint64 lease_length = 3 * second;

struct StageOrderTest : ::testing::Test {
  World world{0, 10.0, lease_length};

  void SetUp() override {
    world.configure();
    for (const char *id : {"pre-1", "pre-2", "pre-3", "pre-4"})
      world.endpoint({id, "llm", "a", STAGE_PREFILL});
    for (const char *id : {"dec-1", "dec-2"})
      world.endpoint({id, "llm", "a", STAGE_DECODE});
  }

  /* Starts so many runs; 16 nearly fill both decode engines. */
  void start_runs(int runs = 16) {
    for (int i = 0; i < runs; i++) {
      world.request("/stream/x", 100000, 1000);
      world.prefilled(world.last().number);
      world.outcome(world.last().number, OUTCOME_STREAM_HEAD);
    }
  }
  /* Sends a prompt every 140 ms, whose prefill takes 30 ms. */
  void run_prefill_traffic(gint64 span) {
    for (gint64 end = world.now + span; world.now < end;) {
      guint64 request = world.request("/stream/x", 100000, 1000);
      guint64 prefill = world.last().number;
      world.advance(30 * ms);
      if (world.last().number == prefill)
        world.prefilled(prefill);
      world.hangup(request);
      world.advance(110 * ms);
    }
  }
  std::vector<SentDispatch> dispatches_of(DispatchKind kind) const {
    std::vector<SentDispatch> found;
    for (const auto &one : world.dispatches) {
      if (one.kind == kind)
        found.push_back(one);
    }
    return found;
  }
  /* Keeps the engines loaded until the router requests the lease, and grants
  ** it. */
  void load_and_take_lease() {
    start_runs();
    run_prefill_traffic(9 * second);
    ASSERT_EQ(world.lease_calls.size(), 1u);
    EXPECT_EQ(world.lease_calls[0].operation, STORE_READ);
    world.lease(STORE_NOT_FOUND, 0, nullptr);
    world.advance(300 * ms);
    ASSERT_EQ(world.lease_calls.size(), 2u);
    EXPECT_EQ(world.lease_calls[1].operation, STORE_CREATE);
    world.lease(STORE_OK, 70, "me");
  }
  /* Takes the lease; returns the dispatches that ask the chosen engines for
  ** their state. */
  std::vector<SentDispatch> reports_after_lease() {
    load_and_take_lease();
    world.advance(500 * ms);
    return dispatches_of(DISPATCH_REPORT);
  }
};

TEST_F(StageOrderTest, NothingIsSentWithoutTheLease) {
  start_runs();
  run_prefill_traffic(8 * second);
  EXPECT_TRUE(dispatches_of(DISPATCH_REPORT).empty());
  EXPECT_TRUE(dispatches_of(DISPATCH_ORDER).empty());
}

/* While the store is down, no requests with keys are accepted for some
** seconds. The prefill engines become idle at once, and the runs that they
** have prefilled go on. */
TEST_F(StageOrderTest, PauseOfPromptsMovesNothing) {
  start_runs(10);
  for (gint64 end = world.now + 3500 * ms; world.now < end;) {
    std::vector<guint64> requests, prefills;
    for (int i = 0; i < 4; i++) {
      requests.push_back(world.request("/stream/x", 100000, 1000));
      prefills.push_back(world.last().number);
    }
    world.advance(130 * ms);
    for (guint64 prefill : prefills)
      world.prefilled(prefill);
    for (guint64 request : requests)
      world.hangup(request);
    world.advance(10 * ms);
  }
  EXPECT_TRUE(world.lease_calls.empty());
  world.advance(6 * second); /* the runs have not reached their timeout */
  EXPECT_TRUE(world.lease_calls.empty());
}

TEST_F(StageOrderTest, OrderCarriesFenceAndSequence) {
  auto reports = reports_after_lease();
  ASSERT_FALSE(reports.empty());
  world.reported(reports[0].number, STAGE_PREFILL, 4);
  auto orders = dispatches_of(DISPATCH_ORDER);
  ASSERT_EQ(orders.size(), 1u);
  EXPECT_EQ(orders[0].endpoint, reports[0].endpoint);
  EXPECT_EQ(orders[0].order_stage, STAGE_DECODE);
  EXPECT_EQ(orders[0].fence, 70);
  EXPECT_EQ(orders[0].sequence, 4);
}

TEST_F(StageOrderTest, ChosenEngineGetsNoWorkHereOrFromPeers) {
  load_and_take_lease();
  world.advance(50 * ms);
  EXPECT_TRUE(dispatches_of(DISPATCH_REPORT).empty()); /* peers know first */
  mp_LoadDigest digest;
  router_load_digest(world.router, &digest, world.now);
  ASSERT_GT(digest.changing_count, 0u);
  World other;
  other.configure();
  for (const char *id : {"pre-1", "pre-2", "pre-3", "pre-4"})
    other.endpoint({id, "llm", "a", STAGE_PREFILL});
  other.endpoint({"dec-1", "llm", "a", STAGE_DECODE});
  router_peer_load(other.router, mp_addr_parse("10.0.0.5:1"), 1, &digest,
                   other.now);
  world.advance(500 * ms);
  std::set<std::string> chosen;
  for (const auto &one : dispatches_of(DISPATCH_REPORT))
    chosen.insert(one.endpoint);
  ASSERT_EQ(chosen.size(), digest.changing_count);
  for (int i = 0; i < 8; i++) {
    guint64 request = other.request("/stream/x", 10000, 500);
    EXPECT_EQ(other.last().kind, DISPATCH_PREFILL);
    EXPECT_EQ(chosen.count(other.last().endpoint), 0u);
    other.hangup(request);
  }
}

TEST_F(StageOrderTest, BusyOrChangedEngineGetsNoOrder) {
  auto reports = reports_after_lease();
  ASSERT_GE(reports.size(), 2u);
  world.reported(reports[0].number, STAGE_PREFILL, 0, true);
  world.reported(reports[1].number, STAGE_DECODE, 0);
  EXPECT_TRUE(dispatches_of(DISPATCH_ORDER).empty());
}

TEST_F(StageOrderTest, NothingIsOrderedOnceTheLeaseMayHaveExpired) {
  auto reports = reports_after_lease();
  ASSERT_FALSE(reports.empty());
  world.now += lease_length; /* this process was suspended */
  world.reported(reports[0].number, STAGE_PREFILL, 0);
  EXPECT_TRUE(dispatches_of(DISPATCH_ORDER).empty());
}

TEST_F(StageOrderTest, NewerFenceStopsAllOrders) {
  auto reports = reports_after_lease();
  ASSERT_GE(reports.size(), 2u);
  world.reported(reports[0].number, STAGE_PREFILL, 0);
  world.outcome(dispatches_of(DISPATCH_ORDER)[0].number, OUTCOME_ANSWER, 412);
  world.reported(reports[1].number, STAGE_PREFILL, 0);
  run_prefill_traffic(4 * second);
  EXPECT_EQ(dispatches_of(DISPATCH_ORDER).size(), 1u);
}

TEST_F(StageOrderTest, ChangedEngineIsNotOrderedAgain) {
  auto reports = reports_after_lease();
  for (const auto &report : reports) {
    world.reported(report.number, STAGE_PREFILL, 0);
    world.outcome(dispatches_of(DISPATCH_ORDER).back().number, OUTCOME_ANSWER,
                  202);
    world.endpoint({report.endpoint.c_str(), "llm", "a", STAGE_DECODE});
  }
  size_t orders = dispatches_of(DISPATCH_ORDER).size();
  run_prefill_traffic(4 * second);
  EXPECT_EQ(dispatches_of(DISPATCH_ORDER).size(), orders);
  mp_LoadDigest digest;
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.changing_count, 0u);
}

TEST_F(StageOrderTest, UnansweredOrderIsNotRepeatedAtOnce) {
  auto reports = reports_after_lease();
  ASSERT_FALSE(reports.empty());
  world.reported(reports[0].number, STAGE_PREFILL, 0);
  world.outcome(dispatches_of(DISPATCH_ORDER)[0].number, OUTCOME_BROKEN);
  run_prefill_traffic(6 * second);
  for (const auto &one : dispatches_of(DISPATCH_REPORT)) {
    if (one.number != reports[0].number) {
      EXPECT_NE(one.endpoint, reports[0].endpoint);
    }
  }
}

TEST_F(StageOrderTest, AtMostADigestsWorthOfEnginesChangeAtATime) {
  std::vector<std::string> names;
  for (int i = 0; i < 40; i++)
    names.push_back("more-" + std::to_string(i));
  for (const auto &name : names)
    world.endpoint({name.c_str(), "llm", "a", STAGE_PREFILL});
  auto reports = reports_after_lease();
  EXPECT_LE(reports.size(), static_cast<size_t>(MP_LOAD_DIGEST_CHANGING));
  for (const auto &report : reports) {
    world.reported(report.number, STAGE_PREFILL, 0);
    world.outcome(dispatches_of(DISPATCH_ORDER).back().number, OUTCOME_ANSWER,
                  202);
  }
  /* another round would be due, but no engine has changed yet */
  run_prefill_traffic(2500 * ms);
  while (world.lease_calls.size() > 2 && world.now < 130 * second) {
    world.lease(STORE_OK, 71, "me", 2);
    run_prefill_traffic(second);
    break;
  }
  EXPECT_EQ(dispatches_of(DISPATCH_REPORT).size(), reports.size());
}

TEST_F(StageOrderTest, NothingIsOrderedUntilUsageIsMeasuredAfterAStart) {
  start_runs();
  run_prefill_traffic(4 * second);
  EXPECT_TRUE(world.lease_calls.empty());
}

TEST_F(StageOrderTest, InstanceBehindLivePeersWaitsLonger) {
  mp_LoadDigest idle = {};
  start_runs();
  /* for 4 s; an instance without peers of a smaller address would act by now
   */
  for (guint32 i = 1; i <= 8; i++) {
    router_peer_load(world.router, mp_addr_parse("10.0.0.1:1"), i, &idle,
                     world.now);
    run_prefill_traffic(500 * ms);
  }
  EXPECT_TRUE(world.lease_calls.empty());
  for (guint32 i = 9; i <= 16; i++) { /* the peer does not act */
    router_peer_load(world.router, mp_addr_parse("10.0.0.1:1"), i, &idle,
                     world.now);
    run_prefill_traffic(500 * ms);
  }
  EXPECT_FALSE(world.lease_calls.empty());
}

} // namespace
