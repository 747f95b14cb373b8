/*
** test_limits_after_loss.cc
** The limits of client accounts after instances were restarted while others
** stay away: what is served, and that the limit holds
*/

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "test/limit_cluster.h"

namespace {

using namespace limit_cluster;

enum Restart { ALL, ALL_BUT_ONE, ONE, ROLLING };
const char *const restart_names[] = {"All", "AllButOne", "One", "Rolling"};

/* the part of the limit that callers ask for where it is below the limit */
constexpr double usual_demand = 0.56;

struct LossCase {
  unsigned zones, instances;
  double rate, slack;
  unsigned away_percent; /* of the instances, which never come back */
  Restart restart;
};

struct LimitsAfterLossTest : ::testing::TestWithParam<LossCase> {
  std::unique_ptr<LimitCluster> cluster =
      std::make_unique<LimitCluster>(GetParam().zones, GetParam().instances,
                                     GetParam().rate, GetParam().slack);
  double rate = GetParam().rate;
  size_t away =
      std::min<size_t>(GetParam().instances * GetParam().away_percent / 100,
                       GetParam().instances - 1);

  double share_in_touch() const {
    return 1 - static_cast<double>(away) /
                   static_cast<double>(cluster->all.size());
  }
  /* Instances that stay away are listed, and send nothing. */
  void lose_instances() {
    for (size_t i = 0; i < away; i++)
      cluster->all[i].is_frozen = true;
  }
  /* Restarts the others. 'demand' is that of callers meanwhile. */
  void restart(double demand) {
    size_t last = cluster->all.size();
    if (GetParam().restart == ALL_BUT_ONE)
      last--;
    if (GetParam().restart == ONE)
      last = away + 1;
    if (GetParam().restart != ROLLING)
      cluster->now += 1 * second;
    for (size_t i = away; i < last; i++) {
      cluster->start(cluster->all[i]);
      if (GetParam().restart == ROLLING)
        cluster->run(100 * ms, demand);
    }
  }
  /* Returns the part of the requests in the next 'span' that are admitted; 1
  ** if there are none. */
  double served(gint64 span, double demand) {
    unsigned requested = cluster->requested;
    unsigned admitted = cluster->admitted;
    cluster->run(span, demand);
    if (cluster->requested == requested)
      return 1;
    return static_cast<double>(cluster->admitted - admitted) /
           (cluster->requested - requested);
  }
  /* FALSE: one request costs more than the instances in touch may save up, so
  ** most are refused also without a restart */
  bool holds_a_request() const {
    return rate * share_in_touch() >= 2 * request_tokens;
  }
};

TEST_P(LimitsAfterLossTest, RequestsBelowTheLimitAreServedAgain) {
  cluster->run(4 * second, usual_demand * rate);
  lose_instances();
  cluster->run(2 * second, usual_demand * rate);
  restart(usual_demand * rate);
  cluster->run(1 * second, usual_demand * rate);
  if (!holds_a_request())
    return;
  EXPECT_GE(served(1 * second, usual_demand * rate), 0.25);
  cluster->run(6 * second, usual_demand * rate);
  EXPECT_GE(served(16 * second, usual_demand * rate), 0.9);
}

TEST_P(LimitsAfterLossTest, InstancesInTouchServeTheirShareOfTheLimit) {
  lose_instances();
  restart(2 * rate);
  cluster->run(window, 2 * rate);
  unsigned before = cluster->admitted;
  cluster->run(16 * second, 2 * rate);
  if (!holds_a_request())
    return;
  EXPECT_GE((cluster->admitted - before) * request_tokens,
            0.9 * 16 * rate * share_in_touch());
}

TEST_P(LimitsAfterLossTest, LimitHoldsInAFlood) {
  cluster->run(6 * second, 6 * rate);
  lose_instances();
  restart(6 * rate);
  cluster->run(12 * second, 6 * rate);
  EXPECT_LE(cluster->most_admitted_in_a_window(),
            cluster->admission_bound(rate));
}

std::vector<LossCase> loss_cases() {
  std::vector<LossCase> out;
  for (Restart restart : {ALL, ALL_BUT_ONE, ONE, ROLLING})
    for (unsigned percent :
         {0u, 5u, 10u, 11u, 20u, 34u, 50u, 67u, 90u, 100u}) {
      out.push_back({3, 8, least_rate, slack, percent, restart});
      out.push_back({3, 20, least_rate, slack, percent, restart});
    }
  for (Restart restart : {ALL, ROLLING})
    for (unsigned percent : {11u, 34u, 67u, 90u}) {
      out.push_back(
          {3, 71, rate_71_instances, slack_71_instances, percent, restart});
      out.push_back({3, 88, least_rate, slack, percent, restart});
    }
  for (unsigned percent : {11u, 34u, 90u})
    out.push_back({5, 300, large_rate, slack_300_instances, percent, ALL});
  return out;
}

std::string name_of(const ::testing::TestParamInfo<LossCase> &info) {
  const LossCase &loss = info.param;
  return restart_names[loss.restart] + std::to_string(loss.instances) +
         "Away" + std::to_string(loss.away_percent);
}

INSTANTIATE_TEST_SUITE_P(Losses, LimitsAfterLossTest,
                         ::testing::ValuesIn(loss_cases()), name_of);

} // namespace
