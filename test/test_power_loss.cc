/*
** test_power_loss.cc
** What all instances know alone, and forget together when all are killed at
** once (docs/design/knowledge-at-power-loss.md)
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "router_world.h"

using routing::ms;
using routing::second;
using routing::World;

namespace {

constexpr unsigned INSTANCES = 10;
constexpr double RATIO = 0.2;
constexpr guint32 SLACK = 50;
constexpr size_t WINDOW_STEPS = 100; /* of 0.1 s: a window of 10 s */

/* Instances that exchange load digests each 0.1 s, and may all be killed. */
struct RetriesAcrossAPowerLoss : ::testing::Test {
  std::vector<std::unique_ptr<World>> all;
  guint32 sequence = 0;
  std::vector<unsigned> requests, extras; /* in each step */

  void SetUp() override {
    start_all();
  }
  void start_all() {
    all.clear();
    for (unsigned i = 0; i < INSTANCES; i++) {
      all.push_back(std::make_unique<World>(SLACK, RATIO));
      all.back()->add_default_endpoints();
      router_set_instances(all.back()->router, INSTANCES, INSTANCES);
    }
  }
  void exchange() {
    mp_LoadDigest digest;
    sequence++;
    for (size_t from = 0; from < all.size(); from++) {
      router_load_digest(all[from]->router, &digest, all[from]->now);
      for (size_t to = 0; to < all.size(); to++) {
        if (to != from)
          router_peer_load(all[to]->router, 0x0a00000000010001 + from,
                           sequence, &digest, all[to]->now);
      }
    }
    for (auto &world : all)
      world->advance(100 * ms);
  }
  /* Each step each instance has 'rate' requests, which are all turned away as
  ** often as they are sent if 'fails'. */
  void run(int steps, bool fails, int rate = 1) {
    for (int i = 0; i < steps; i++) {
      requests.push_back(0);
      extras.push_back(0);
      for (auto &world : all) {
        for (int k = 0; k < rate; k++) {
          guint64 request = world->request("/unsafe/x");
          requests.back()++;
          while (fails && world->end(request).ends() == 0)
            world->outcome(world->last().number, OUTCOME_NOT_RUN, 503);
          extras.back() += fails ? world->runs(request) - 1 : 0;
        }
      }
      exchange();
    }
  }
  void expect_within_budget() {
    auto sum = [](const std::vector<unsigned> &of, size_t from) {
      unsigned total = 0;
      for (size_t i = from; i < from + WINDOW_STEPS; i++)
        total += of[i];
      return total;
    };
    for (size_t from = 0; from + WINDOW_STEPS <= extras.size(); from++)
      EXPECT_LE(sum(extras, from), RATIO * sum(requests, from) + SLACK)
          << "window from step " << from;
  }
};

/* Guards against a slack that is spent again by instances that do not know
** what was spent before they started. */
TEST_F(RetriesAcrossAPowerLoss, StayWithinTheBudgetAfterOne) {
  run(150, false);
  run(30, true); /* the slack is spent */
  start_all();
  run(250, true);
  unsigned spent = 0;
  for (unsigned one : extras)
    spent += one;
  EXPECT_GT(spent, SLACK);
  expect_within_budget();
}

/* Guards against a slack that each further power loss gives anew. */
TEST_F(RetriesAcrossAPowerLoss, StayWithinTheBudgetAfterSeveral) {
  run(150, false);
  for (int loss = 0; loss < 5; loss++) {
    run(20, true, 2);
    start_all();
  }
  run(150, true);
  expect_within_budget();
}

/* Guards against a retry that costs a request its refusal: an instance that
** has just started has no budget, and still tells its callers that nothing
** ran. */
TEST_F(RetriesAcrossAPowerLoss, ARequestWithoutBudgetIsRefusedAsNotRun) {
  World &world = *all[0];
  guint64 request = world.request("/unsafe/x");
  world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
  EXPECT_EQ(world.runs(request), 1u);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_BUSY);
}

void ignore_log(void *, mp_EventNo, const char *) {
}

/* Guards against keys that are accepted by a configuration that may be old:
** after a power loss the clock of a machine is about 0, which is no proof. */
TEST(ProofAfterAPowerLoss, NothingIsProvedUntilTheStoreAnswers) {
  RouterHost host = {};
  RouterOptions options = {};
  gint64 now = 1 * second; /* since the machine has booted */
  host.log = ignore_log;
  options.zone = "a";
  options.instance = "me";
  options.self = mp_addr_parse("10.0.0.5:1");
  options.retry_window = 10 * second;
  options.limits = {0.1, 1000, 8 * second};
  options.proof_age_max = 3900 * ms;
  Router *router = router_new(&options, &host, now);
  RouteTable *table = route_table_new();
  Account *account = route_table_add_account(table);
  account->name = g_strdup("first");
  route_table_add_key(table, "key-1");
  table->version = 1;
  router_set_routes(router, table, now);
  route_table_unref(table);
  EXPECT_FALSE(router_is_configured(router, now));
  EXPECT_FALSE(router_is_configured(router, now + 2 * second));
  router_configuration_proved(router, now);
  EXPECT_TRUE(router_is_configured(router, now));
  EXPECT_TRUE(router_is_configured(router, now + options.proof_age_max));
  EXPECT_FALSE(router_is_configured(router, now + options.proof_age_max + 1));
  router_free(router);
}

} // namespace
