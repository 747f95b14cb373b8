/*
** test_endpoint_paths.cc
** Instances that lose their paths to endpoints, while callers and the other
** instances still reach them, in virtual time
*/

#include <gtest/gtest.h>

#include "path_fleet.h"

extern "C" {
#include "router/carriers.h"
#include "router/gate.h"
#include "router/relay_members.h"
}

using namespace paths;

namespace {

/* after a cut began, callers of the cut instances are served again within
** this time */
constexpr gint64 contact_time = 3 * second;
constexpr gint64 cut_time = 12 * second;

struct CutCase {
  const char *name;
  unsigned instances; /* of the first data centre, which has three */
  Cut how;
};

std::ostream &operator<<(std::ostream &out, const CutCase &one) {
  return out << one.name;
}

std::set<unsigned> first_of(const std::set<unsigned> &all, unsigned count) {
  std::set<unsigned> some;
  for (unsigned one : all) {
    if (some.size() < count)
      some.insert(one);
  }
  return some;
}

class CutFromEndpointsTest : public testing::TestWithParam<CutCase> {};

TEST_P(CutFromEndpointsTest, CallersOfCutInstancesAreServed) {
  Fleet fleet({});
  std::set<unsigned> cut =
      first_of(fleet.instances_of(0), GetParam().instances);
  fleet.advance(2 * second);
  gint64 began = fleet.now;
  fleet.cut(cut, GetParam().how);
  fleet.advance(cut_time);
  fleet.heal();
  fleet.advance(3 * second);
  EXPECT_FALSE(fleet.cut_callers_are_worse_served(began + contact_time,
                                                  began + cut_time, cut));
  EXPECT_LE(fleet.most_runs(), 1u);
  EXPECT_EQ(fleet.false_not_run(), 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, CutFromEndpointsTest,
    testing::Values(
        CutCase{"OneHangs", 1, Cut::HANG}, CutCase{"OneReset", 1, Cut::RESET},
        CutCase{"OneRefused", 1, Cut::REFUSE_NEW},
        CutCase{"MostHang", 2, Cut::HANG}, CutCase{"MostReset", 2, Cut::RESET},
        CutCase{"MostRefused", 2, Cut::REFUSE_NEW},
        CutCase{"AllHang", 3, Cut::HANG}, CutCase{"AllReset", 3, Cut::RESET},
        CutCase{"AllRefused", 3, Cut::REFUSE_NEW}),
    [](const testing::TestParamInfo<CutCase> &info) {
      return std::string(info.param.name);
    });

TEST(EndpointPaths, CutInstanceAccusesNoEndpointOfAnEnd) {
  for (unsigned cut = 1; cut <= 3; cut++) {
    Fleet fleet({});
    fleet.advance(2 * second);
    std::set<unsigned> instances = first_of(fleet.instances_of(0), cut);
    fleet.cut(instances, Cut::RESET);
    fleet.advance(5 * second);
    for (unsigned i : instances)
      EXPECT_EQ(fleet.logged(i, MP_LOG_EP_ENDED), 0u) << cut << " cut";
  }
}

TEST(EndpointPaths, CutInstanceServesAfterHalfTheTime) {
  for (Cut how : {Cut::HANG, Cut::RESET, Cut::REFUSE_NEW}) {
    Fleet fleet({});
    fleet.advance(2 * second);
    std::set<unsigned> cut = fleet.instances_of(0);
    gint64 began = fleet.now;
    fleet.cut(cut, how);
    fleet.advance(6 * second);
    Count served = fleet.count(began + contact_time / 2, began + 4 * second,
                               [&](unsigned i) { return cut.count(i) > 0; });
    EXPECT_GE(served.served, served.sent * 98 / 100);
  }
}

TEST(EndpointPaths, PartlyCutInstanceServesWithAllEndpoints) {
  for (Cut how : {Cut::HANG, Cut::RESET, Cut::REFUSE_NEW}) {
    Fleet fleet({});
    fleet.advance(2 * second);
    std::set<unsigned> cut = {0, 1, 3, 5};
    gint64 began = fleet.now;
    fleet.cut(cut, how, [](unsigned endpoint) { return endpoint % 3 != 0; });
    fleet.advance(10 * second);
    Count served = fleet.count(began + contact_time / 2, began + 8 * second,
                               [&](unsigned i) { return cut.count(i) > 0; });
    EXPECT_GE(served.served, served.sent * 98 / 100);
    EXPECT_LE(fleet.most_runs(), 1u);
    EXPECT_EQ(fleet.false_not_run(), 0u);
  }
}

TEST(EndpointPaths, NothingIsSentOrCarriedWhileNoPathIsLost) {
  Fleet fleet({});
  fleet.advance(10 * second);
  EXPECT_EQ(fleet.carried, 0u);
  EXPECT_EQ(fleet.checks, 0u);
}

TEST(EndpointPaths, EndedServiceIsRefusedAtOnceAndSearchedRarely) {
  for (bool silent : {false, true}) {
    Fleet fleet({});
    fleet.advance(2 * second);
    gint64 began = fleet.now;
    for (unsigned endpoint = 0; endpoint < 3; endpoint++)
      fleet.end_endpoint(endpoint, silent);
    fleet.advance(3 * second);
    unsigned carried = fleet.carried;
    fleet.advance(5 * second);
    /* of 8 instances, each asks one carrier for each of 3 endpoints, at least
    ** 375 ms apart */
    EXPECT_LE(fleet.carried - carried, 8u * 3 * 14);
    EXPECT_LE(fleet.longest_refusal(began + 2 * second), 20 * ms);
  }
}

TEST(EndpointPaths, DirectPathsAreUsedAgainSoonAfterACut) {
  for (Cut how : {Cut::HANG, Cut::RESET, Cut::REFUSE_NEW}) {
    Fleet fleet({});
    std::set<unsigned> cut = fleet.instances_of(0);
    fleet.advance(2 * second);
    fleet.cut(cut, how);
    fleet.advance(8 * second);
    fleet.heal();
    fleet.advance(5 * second);
    unsigned carried = fleet.carried;
    unsigned connects = fleet.connects;
    fleet.advance(2 * second);
    EXPECT_EQ(fleet.carried, carried);
    EXPECT_LE(fleet.connects - connects, 8u * 2 * 25);
    for (unsigned i : cut)
      EXPECT_EQ(router_indirect_endpoints(fleet.world(i).router), 0u);
  }
}

TEST(EndpointPaths, LoadOfALargeCutSpreadsOverTheCarriers) {
  FleetOptions options;
  options.instances = 60;
  options.decode = 24;
  options.plain = 12;
  options.plain_per_s = 5;
  options.streams_per_s = 1;
  Fleet fleet(options);
  std::set<unsigned> cut = fleet.instances_of(0);
  fleet.advance(2 * second);
  fleet.cut(cut, Cut::HANG);
  fleet.advance(6 * second);
  unsigned most = 0;
  for (const auto &[carrier, count] : fleet.carried_by) {
    EXPECT_TRUE(cut.count(carrier) == 0 || count < 200);
    most = std::max(most, count);
  }
  EXPECT_LE(most, 3 * fleet.carried / 40);
}

TEST(EndpointPaths, LargeDataCentreThatIsCutOffServes) {
  FleetOptions options;
  options.instances = 60;
  options.plain_per_s = 3;
  options.streams_per_s = 1;
  Fleet fleet(options);
  std::set<unsigned> cut = fleet.instances_of(0);
  fleet.advance(1 * second);
  gint64 began = fleet.now;
  fleet.cut(cut, Cut::HANG);
  fleet.advance(5 * second);
  Count served = fleet.count(began + contact_time / 2, began + 4 * second,
                             [&](unsigned i) { return cut.count(i) > 0; });
  EXPECT_GE(served.served, served.sent * 98 / 100);
}

TEST(EndpointPaths, SoundEndpointThatFallsSilentIsNotCutOff) {
  Fleet fleet({});
  fleet.advance(2 * second);
  gint64 began = fleet.now;
  fleet.freeze_endpoint(0, 1200 * ms);
  fleet.advance(6 * second);
  Count all =
      fleet.count(began, began + 4 * second, [](unsigned) { return true; });
  EXPECT_GE(all.served, all.sent * 95 / 100);
  for (unsigned i = 0; i < 8; i++)
    EXPECT_EQ(router_unreachable_endpoints(fleet.world(i).router, fleet.now),
              0u);
}

/* Answers the one open check of the world. */
void answer_check(World &world, OutcomeKind kind) {
  ASSERT_EQ(world.checks.size(), 1u);
  guint64 number = world.checks[0].number;
  world.checks.clear();
  world.outcome(number, kind);
}

void set_carriers(World &world, guint count) {
  RelayMember one = {mp_addr_parse("10.0.0.9:1"), 1, 1};
  GArray *members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  g_array_append_vals(members, &one, count);
  router_set_members(world.router, members);
  g_array_free(members, TRUE);
}

TEST(EndpointPaths, LostPathIsCheckedOnWhenNoCarrierIsLeft) {
  World world;
  world.configure();
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  set_carriers(world, 1);
  world.request("/unsafe/x");
  world.outcome(world.last().number, OUTCOME_UNREACHABLE);
  answer_check(world, OUTCOME_UNREACHABLE);
  EXPECT_EQ(router_unreachable_endpoints(world.router, world.now), 1u);
  set_carriers(world, 0);
  for (int i = 0; i < 3; i++) {
    world.advance(3 * second);
    answer_check(world, OUTCOME_UNREACHABLE);
  }
  world.advance(3 * second);
  answer_check(world, OUTCOME_ANSWER);
  EXPECT_EQ(router_unreachable_endpoints(world.router, world.now), 0u);
  guint64 number = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(number), 1u);
}

TEST(Carriers, DeadOneIsTriedLessAndLessOften) {
  RelayMember members[] = {{1, 1, 1}, {2, 1, 1}};
  GArray *all = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  Carriers *carriers = carriers_new(1);
  PeerLoads *loads = peer_loads_new();
  GRand *random = g_rand_new_with_seed(1);
  unsigned tried = 0;
  g_array_append_vals(all, members, 2);
  carriers_set(carriers, all);
  for (gint64 now = 0; now < 60 * second; now += 100 * ms) {
    if (carriers_choose(carriers, nullptr, 0, loads, random, now) == 1) {
      tried++;
      carriers_avoid(carriers, 1, now);
    } else
      carriers_note_connected(carriers, 2, now);
  }
  EXPECT_LE(tried, 8u);
  EXPECT_GE(tried, 4u);
  g_rand_free(random);
  peer_loads_free(loads);
  carriers_free(carriers);
  g_array_free(all, TRUE);
}

TEST(EndpointPaths, OrdersAreNeverCarried) {
  Endpoint endpoint = {};
  endpoint.record.ready = TRUE;
  for (PathState state : {PATH_SEARCHING, PATH_INDIRECT, PATH_NONE}) {
    endpoint.path.state = state;
    EXPECT_EQ(gate_check(&endpoint, DISPATCH_ORDER, 0), GATE_PATH);
    EXPECT_EQ(gate_check(&endpoint, DISPATCH_REPORT, 0), GATE_PATH);
    EXPECT_EQ(gate_check(&endpoint, DISPATCH_CHECK, 0), GATE_OPEN);
  }
  endpoint.path.state = PATH_INDIRECT;
  EXPECT_EQ(gate_check(&endpoint, DISPATCH_RUN, 0), GATE_OPEN);
  EXPECT_EQ(gate_check(&endpoint, DISPATCH_RELEASE, 0), GATE_OPEN);
}

} // namespace
