/*
** test_priorities.cc
** Tests of priority admission, in virtual time
*/

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "overload_service.h"

extern "C" {
#include "router/peer_loads.h"
}

using namespace routing;
using overload::Caller;
using overload::OverloadedService;
using overload::ServiceSize;
using overload::Traffic;

namespace {

/*
** Bursts
*/

/* Shares of the callers in a burst of twice the load, 6 s long. */
struct BurstShares {
  double urgent_in_time, other_in_time, all_in_time, after;
};

BurstShares play_burst(const ServiceSize &size, unsigned seed,
                       const Traffic &traffic) {
  OverloadedService fleet(size, seed, traffic);
  fleet.run(10 * second, 0.85);
  gint64 from = fleet.now;
  fleet.run(6 * second, 1.7);
  gint64 until = fleet.now;
  fleet.run(18 * second, 0.85);
  auto in_time = [](const Caller &caller) { return caller.is_in_time; };
  auto urgent = [](const Caller &caller) { return caller.is_urgent; };
  auto other = [](const Caller &caller) { return !caller.is_urgent; };
  return {fleet.share(from, until, urgent, in_time),
          fleet.share(from, until, other, in_time),
          fleet.in_time_share(from, until),
          fleet.in_time_share(until + 5 * second, until + 15 * second)};
}

struct PriorityBurstTest : ::testing::TestWithParam<bool> {};

/* Guards against a priority that is read and not used: without priorities 0.54
** to 0.85 of the urgent callers are served in time here, as of the others. */
TEST_P(PriorityBurstTest, UrgentCallersAreServedInTime) {
  Traffic traffic;
  traffic.urgent_share = 0.15;
  traffic.overload_control = GetParam();
  for (const ServiceSize &size :
       {ServiceSize{1, 3, 3, 3}, ServiceSize{7, 4, 3, 4},
        ServiceSize{20, 12, 8, 2}}) {
    for (unsigned seed = 1; seed <= size.seeds; seed++) {
      BurstShares shares = play_burst(size, seed, traffic);
      std::string text = std::to_string(size.instances) + " instances, seed " +
                         std::to_string(seed);
      EXPECT_GE(shares.urgent_in_time, 0.95) << text;
      /* The engines can start 0.59 of the requests in the burst: 0.15 urgent
      ** ones, and 0.52 of the others. */
      EXPECT_GE(shares.other_in_time, 0.45) << text;
      EXPECT_GE(shares.all_in_time, 0.55) << text;
      EXPECT_GE(shares.after, 0.9) << text;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(OverloadControl, PriorityBurstTest,
                         ::testing::Bool());

/* Guards against an order by length that starves long outputs. */
TEST(PriorityTest, LongestTenthIsServedHalfAsOftenAsAllAtLeast) {
  Traffic traffic;
  traffic.overload_control = true;
  traffic.varied_lengths = true;
  for (unsigned seed = 1; seed <= 4; seed++) {
    OverloadedService fleet({7, 4, 3, 1}, seed, traffic);
    fleet.run(5 * second, 0.85);
    gint64 from = fleet.now;
    fleet.run(12 * second, 1.7);
    gint64 until = fleet.now;
    fleet.run(10 * second, 0.85);
    auto served = [](const Caller &caller) { return caller.is_served; };
    double all = fleet.share(
        from, until, [](const Caller &) { return true; }, served);
    double longest = fleet.share(
        from, until, [](const Caller &caller) { return caller.output >= 905; },
        served);
    EXPECT_GE(longest, 0.5 * all) << "seed " << seed;
  }
}

/* Guards against a wait that outlasts the objective: the caller could have
** tried again. */
TEST(PriorityTest, NoRefusalComesLaterThanMostOfTheObjective) {
  Traffic traffic;
  traffic.overload_control = true;
  for (unsigned seed = 1; seed <= 3; seed++) {
    OverloadedService fleet({7, 4, 3, 1}, seed, traffic);
    fleet.run(3 * second, 0.85);
    fleet.run(6 * second, 2.5);
    fleet.run(10 * second, 0.85);
    /* A prompt that was prefilled meanwhile is not waiting for room. */
    EXPECT_LE(fleet.longest_wait,
              0.8 * overload::objective + overload::prompt_time + 10 * ms)
        << "seed " << seed;
  }
}

/*
** Guards against another order where nothing has priorities. The hashes are
** those of the release before priorities: one for each number of instances.
** They cover a burst with refusals, retries and late requests.
*/
TEST(PriorityTest, WithoutPrioritiesDispatchesAreAsBefore) {
  struct Expected {
    ServiceSize size;
    unsigned dispatches;
    guint64 trace;
  };
  const Expected all[] = {{{1, 3, 3, 1}, 343, 17132099748352320062ULL},
                          {{7, 4, 3, 1}, 473, 11040845234649757754ULL},
                          {{20, 12, 8, 1}, 1350, 11223560786951456971ULL}};
  for (const Expected &expected : all) {
    OverloadedService fleet(expected.size, 5);
    fleet.run(3 * second, 0.85);
    fleet.run(6 * second, 1.7);
    fleet.run(6 * second, 0.85);
    EXPECT_EQ(fleet.dispatches, expected.dispatches)
        << expected.size.instances << " instances";
    EXPECT_EQ(fleet.trace, expected.trace)
        << expected.size.instances << " instances";
  }
}

/*
** Single decisions
*/

/* One instance with two decode engines of 10,000 tokens; a request plans about
** 1,060 of them. */
struct PriorityWorldTest : ::testing::Test {
  World plain;
  World controlled{0, 10.0, 0, "10.0.0.5:1", 0, "a", 7, true};
  guint32 peer_sequence = 0;

  /* Sets the priorities of the two routes for streams. */
  static void start(World &world, guint32 stream, guint32 resume) {
    world.priorities["/stream/"] = stream;
    world.priorities["/resume/"] = resume;
    world.add_default_endpoints();
    world.configure(2, 60 * second);
  }

  /* Another instance has planned these tokens at the engines, and has requests
  ** of this row waiting; row.count 0: it states no row. */
  void peer(World &world, guint32 first, guint32 second_engine,
            mp_WaitingRow row = {0, 0, 0, 0}) {
    mp_LoadDigest digest = {};
    digest.n = 2;
    digest.row[0] = {incarnation_hash_of("dec-1"), first, 1, 0};
    digest.row[1] = {incarnation_hash_of("dec-2"), second_engine, 1, 0};
    digest.waiting = digest.in_time = row.count;
    digest.ranked_count = row.count > 0;
    digest.ranked[0] = row;
    router_peer_load(world.router, mp_addr_parse("10.0.0.9:1"),
                     ++peer_sequence, &digest, world.now);
  }

  /* Starts a request up to its run; returns the dispatch of the run. */
  static guint64 start_run(World &world, const char *path) {
    world.request(path, 60000);
    world.prefilled(world.last().number);
    EXPECT_EQ(world.last().kind, DISPATCH_RUN);
    return world.last().number;
  }

  /* Fills both engines with runs of /stream/ that take 9 s and end once a
  ** second, so that a request without room waits for about 0.7 s. */
  static void fill_slowly(World &world) {
    std::vector<guint64> open;
    for (int i = 0; i < 18; i++)
      open.push_back(start_run(world, "/stream/x"));
    world.advance(1 * second);
    for (size_t i = 0; i < 8; i++) {
      world.advance(1 * second);
      world.outcome(open[i], OUTCOME_STREAM_HEAD);
      world.outcome(open[i], OUTCOME_STREAM_END);
      start_run(world, "/stream/x");
    }
  }

  static int count_logged(const World &world, const char *number) {
    int count = 0;
    for (const std::string &line : world.log)
      count += line.rfind(number, 0) == 0;
    return count;
  }
};

TEST_F(PriorityWorldTest, DispatchesCarryThePriority) {
  start(plain, 0, 2);
  plain.request("/resume/x");
  EXPECT_EQ(plain.last().kind, DISPATCH_PREFILL);
  EXPECT_EQ(plain.last().urgency, 2);
  plain.prefilled(plain.last().number);
  EXPECT_EQ(plain.last().kind, DISPATCH_RUN);
  EXPECT_EQ(plain.last().urgency, 2);
  plain.request("/stream/x");
  EXPECT_EQ(plain.last().urgency, 0);
  plain.request("/safe/x"); /* a service with one priority */
  EXPECT_EQ(plain.last().urgency, -1);
  EXPECT_EQ(count_logged(plain, "8020"), 0);
}

/* Engines take 5 where the field is absent, so it must not be sent where
** nothing has a priority. */
TEST_F(PriorityWorldTest, OnePriorityIsNotSent) {
  start(plain, 3, 3);
  plain.request("/resume/x");
  EXPECT_EQ(plain.last().urgency, -1);
}

TEST_F(PriorityWorldTest, PriorityAboveNineCountsAsNineAndIsLoggedOnce) {
  start(plain, 0, 4000000000u);
  plain.request("/resume/x");
  plain.request("/resume/x");
  EXPECT_EQ(plain.last().urgency, 9);
  EXPECT_EQ(count_logged(plain, "8020"), 2); /* start() configures twice */
  plain.configure(3);
  EXPECT_EQ(count_logged(plain, "8020"), 3);
}

/* Guards against an account without a priority that makes its requests the
** most urgent. */
TEST_F(PriorityWorldTest, PriorityOfTheAccountReplacesThatOfTheRoute) {
  plain.clients = {{"stated", {"k1"}, 0, 0, 3},
                   {"none", {"k2"}, 0, 0, -1},
                   {"zero", {"k3"}, 0, 0, 0}};
  start(plain, 1, 1);
  const std::pair<const char *, int> expected[] = {
      {"k1", 3}, {"k2", 1}, {"k3", 0}};
  for (const auto &[key, urgency] : expected) {
    plain.key = key;
    plain.request("/stream/x");
    EXPECT_EQ(plain.last().urgency, urgency) << key;
  }
}

TEST_F(PriorityWorldTest, UrgentRequestStartsBeforeAnEarlierOne) {
  start(plain, 0, 2);
  peer(plain, 9500, 9500);
  guint64 other = plain.request("/resume/x", 60000);
  plain.advance(100 * ms);
  guint64 urgent = plain.request("/stream/x", 60000);
  ASSERT_TRUE(plain.dispatches.empty());
  peer(plain, 8900, 9500);
  ASSERT_EQ(plain.dispatches.size(), 1u);
  EXPECT_EQ(plain.last().request, urgent);
  EXPECT_EQ(plain.end(other).ends(), 0);
}

/* Guards against small requests of a low priority that take the room a larger
** urgent one waits for. */
TEST_F(PriorityWorldTest, RoomIsKeptForALargeUrgentRequest) {
  start(plain, 0, 2);
  peer(plain, 9500, 9500);
  guint64 urgent = plain.request("/stream/x", 60000, 3000);
  plain.request("/resume/x", 60000, 1000);
  peer(plain, 7200, 9500); /* two small ones would fit */
  plain.advance(50 * ms);
  EXPECT_TRUE(plain.dispatches.empty());
  peer(plain, 5000, 9500);
  ASSERT_FALSE(plain.dispatches.empty());
  EXPECT_EQ(plain.dispatches[0].request, urgent);
}

/* Guards against instances that start less urgent requests while urgent ones
** wait elsewhere. A turn takes 4 ms here. */
TEST_F(PriorityWorldTest, YieldsToUrgentRequestsOfOtherInstances) {
  start(plain, 0, 2);
  peer(plain, 9500, 9500);
  plain.request("/resume/x", 60000);
  peer(plain, 8900, 9500, {g_str_hash("llm"), 0, 5, 0});
  EXPECT_TRUE(plain.dispatches.empty());
  plain.advance(19 * ms);
  EXPECT_TRUE(plain.dispatches.empty());
  plain.advance(1 * ms);
  EXPECT_EQ(plain.dispatches.size(), 1u);
}

TEST_F(PriorityWorldTest, LessUrgentOnesElsewhereDelayNothing) {
  const mp_WaitingRow rows[] = {{g_str_hash("llm"), 9, 5, 0},
                                {g_str_hash("other"), 0, 5, 0}};
  for (const mp_WaitingRow &row : rows) {
    World world;
    start(world, 0, 2);
    peer(world, 9500, 9500);
    world.request("/resume/x", 60000);
    peer(world, 8900, 9500, row);
    EXPECT_EQ(world.dispatches.size(), 1u);
  }
}

TEST_F(PriorityWorldTest, DigestStatesWaitingRequestsByPriority) {
  start(plain, 0, 2);
  peer(plain, 9500, 9500);
  plain.request("/resume/x", 60000);
  plain.advance(100 * ms);
  plain.request("/stream/x", 60000);
  plain.request("/resume/x", 60000);
  plain.advance(50 * ms);
  mp_LoadDigest digest = {};
  router_load_digest(plain.router, &digest, plain.now);
  ASSERT_EQ(digest.ranked_count, 2u);
  EXPECT_EQ(digest.ranked[0].priority, 0u);
  EXPECT_EQ(digest.ranked[0].count, 1u);
  EXPECT_EQ(digest.ranked[0].oldest_ms, 50u);
  EXPECT_EQ(digest.ranked[1].priority, 2u);
  EXPECT_EQ(digest.ranked[1].count, 2u);
  EXPECT_EQ(digest.ranked[1].oldest_ms, 150u);
  EXPECT_EQ(digest.in_time, 3u);
  EXPECT_EQ(digest.oldest_ms, 150u);
  EXPECT_EQ(router_priority_counts(plain.router, 2).waiting, 2u);
  EXPECT_EQ(router_priority_counts(plain.router, 10).waiting, 0u);
}

TEST(PeerLoadsTest, RowsByPriorityKeepTheHighest) {
  mp_LoadDigest digest = {};
  for (uint32_t i = 0; i < 20; i++) {
    mp_WaitingRow row = {100 + i, (i * 7) % 10, 1, i};
    peer_loads_add_waiting(&digest, &row);
  }
  ASSERT_EQ(digest.ranked_count, (unsigned)MP_LOAD_DIGEST_PRIORITIES);
  for (unsigned i = 0; i < digest.ranked_count; i++)
    EXPECT_EQ(digest.ranked[i].priority, i / 2);
  mp_WaitingRow same = digest.ranked[3];
  same.oldest_ms = 1000;
  peer_loads_add_waiting(&digest, &same);
  EXPECT_EQ(digest.ranked[3].count, 2u);
  EXPECT_EQ(digest.ranked[3].oldest_ms, 1000u);
}

/* Guards against a less urgent request that is preferred, and against engines
** of which all runs are displaced at once. */
TEST_F(PriorityWorldTest, UrgentRequestWithoutRoomDisplacesARunPerEngine) {
  start(plain, 2, 0);
  fill_slowly(plain);
  guint64 refused = plain.request("/stream/x", 60000);
  EXPECT_EQ(plain.end(refused).refusal, REFUSAL_BUSY);
  EXPECT_EQ(plain.end(refused).refusals, 1);
  std::string engines[2];
  for (std::string &engine : engines) {
    guint64 urgent = plain.request("/resume/x", 60000);
    ASSERT_EQ(plain.last().request, urgent);
    EXPECT_EQ(plain.last().kind, DISPATCH_PREFILL);
    plain.prefilled(plain.last().number);
    ASSERT_EQ(plain.last().request, urgent);
    EXPECT_EQ(plain.last().kind, DISPATCH_RUN);
    engine = plain.last().endpoint;
  }
  EXPECT_NE(engines[0], engines[1]);
  EXPECT_EQ(count_logged(plain, "8021"), 2);
  guint64 third = plain.request("/resume/x", 60000);
  EXPECT_EQ(plain.end(third).refusals, 1);
}

/* Guards against preemption where all runs are as urgent. */
TEST_F(PriorityWorldTest, RequestOfTheSamePriorityDisplacesNothing) {
  start(plain, 2, 0);
  fill_slowly(plain);
  plain.request("/stream/x", 60000);
  EXPECT_EQ(count_logged(plain, "8021"), 0);
}

/* Guards against late requests that wait for seconds and are then refused. */
TEST_F(PriorityWorldTest, LateRequestThatWouldWaitTooLongIsRefusedAtOnce) {
  for (World *world : {&plain, &controlled}) {
    start(*world, 0, 0);
    fill_slowly(*world);
    guint64 late = world->request("/stream/x", 30000);
    EXPECT_EQ(world->end(late).refusals, world == &controlled ? 1 : 0);
  }
}

/* Guards against retries that return into the burst that refused them. */
TEST_F(PriorityWorldTest, RetryAfterIsAFifthToAThirdOfTheTimeLeft) {
  start(controlled, 0, 0);
  fill_slowly(controlled);
  for (int i = 0; i < 30; i++) {
    guint64 refused = controlled.request("/stream/x", 60000);
    ASSERT_EQ(controlled.end(refused).refusals, 1);
    EXPECT_GE(controlled.end(refused).retry_after_ms, 12000);
    EXPECT_LE(controlled.end(refused).retry_after_ms, 19800);
  }
}

/* Guards against runs that are cut off at their deadline: mean runs take 3 s
** here. */
TEST_F(PriorityWorldTest, RequestThatCannotEndInTimeIsRefused) {
  for (World *world : {&plain, &controlled}) {
    start(*world, 0, 0);
    guint64 run = start_run(*world, "/stream/x");
    world->advance(3 * second);
    world->outcome(run, OUTCOME_STREAM_HEAD);
    world->outcome(run, OUTCOME_STREAM_END);
    size_t before = world->dispatches.size();
    guint64 late = world->request("/stream/x", 2900);
    EXPECT_EQ(world->end(late).refusals, world == &controlled ? 1 : 0);
    EXPECT_EQ(world->dispatches.size() - before,
              world == &controlled ? 0u : 1u);
    if (world == &controlled) {
      EXPECT_EQ(world->end(late).refusal, REFUSAL_NOT_RUN);
    }
    guint64 in_time = world->request("/stream/x", 3100);
    EXPECT_EQ(world->end(in_time).refusals, 0);
  }
}

/* Guards against a prompt whose run is started too late: it was prefilled
** while enough time was left. */
TEST_F(PriorityWorldTest, NoRunIsStartedThatCannotEndInTime) {
  start(controlled, 0, 0);
  guint64 run = start_run(controlled, "/stream/x");
  controlled.advance(3 * second);
  controlled.outcome(run, OUTCOME_STREAM_HEAD);
  controlled.outcome(run, OUTCOME_STREAM_END);
  guint64 late = controlled.request("/stream/x", 3100);
  ASSERT_EQ(controlled.last().kind, DISPATCH_PREFILL);
  controlled.advance(150 * ms);
  controlled.prefilled(controlled.last().number);
  EXPECT_EQ(controlled.runs(late), 0u);
  EXPECT_EQ(controlled.end(late).refusal, REFUSAL_NOT_RUN);
}

/* Guards against a service whose mean run refuses every request of a route
** with less time. */
TEST_F(PriorityWorldTest, RouteWithLittleTimeIsServed) {
  start(controlled, 0, 0);
  guint64 run = start_run(controlled, "/stream/x");
  controlled.advance(3 * second);
  controlled.outcome(run, OUTCOME_STREAM_HEAD);
  controlled.outcome(run, OUTCOME_STREAM_END);
  guint64 other = controlled.request("/resume/x", 2900);
  EXPECT_EQ(controlled.end(other).refusals, 0);
}

/* 490 tokens of expected output are 343 ms of seniority. */
TEST_F(PriorityWorldTest, ShorterOutputStartsEarlierWithOverloadControl) {
  for (World *world : {&plain, &controlled}) {
    start(*world, 0, 0);
    peer(*world, 9500, 9500);
    world->length_hint = 500;
    guint64 longer = world->request("/stream/x", 60000);
    world->advance(50 * ms);
    world->length_hint = 10;
    guint64 shorter = world->request("/stream/x", 60000);
    peer(*world, 8700, 9500); /* room for one */
    world->advance(10 * ms);
    ASSERT_EQ(world->dispatches.size(), 1u);
    EXPECT_EQ(world->last().request, world == &controlled ? shorter : longer);
  }
}

} // namespace
