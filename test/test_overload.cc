/*
** test_overload.cc
** Test that an overload ends with the burst that caused it, in virtual time
**
** Guards against an overload that sustains itself. After a burst of twice the
** load for six seconds, during which engines are lost, the remaining engines
** can carry the usual load, yet few answers come in time for the rest of the
** day. It comes about when callers that were refused retry with less time left
** than others and are served first, though they are late already. They take
** all capacity, so that new callers, who could be in time, are refused and
** become the next late ones.
*/

#include <gtest/gtest.h>

#include "overload_service.h"

using overload::OverloadedService;
using overload::second;
using overload::ServiceSize;

namespace {

struct OverloadTest : ::testing::TestWithParam<ServiceSize> {};

/* Shares of callers served in time, by the time of their first attempt. */
struct InTimeShares {
  double before, during, next_5_s, following_10_s;
};

/* Simulates a burst of twice the load, six seconds long. Outside of it the
** engines can start 1 / 0.85 of the requests that arrive. next_5_s covers the
** 5 s after the burst, following_10_s the 10 s after those. */
InTimeShares simulate_burst(const ServiceSize &size, unsigned seed) {
  OverloadedService fleet(size, seed);
  gint64 start = fleet.now;
  fleet.run(10 * second, 0.85);
  gint64 burst_start = fleet.now;
  fleet.run(6 * second, 1.7);
  gint64 over = fleet.now;
  fleet.run(18 * second, 0.85);
  return {fleet.in_time_share(start, burst_start),
          fleet.in_time_share(burst_start, over),
          fleet.in_time_share(over, over + 5 * second),
          fleet.in_time_share(over + 5 * second, over + 15 * second)};
}

TEST_P(OverloadTest, BurstLeavesNoOverloadBehind) {
  const ServiceSize &size = GetParam();
  for (unsigned seed = 1; seed <= size.seeds; seed++) {
    InTimeShares shares = simulate_burst(size, seed);
    EXPECT_GE(shares.following_10_s, 0.9 * shares.before)
        << "seed " << seed << ", in time " << shares.before << " before, "
        << shares.during << " in the burst, " << shares.next_5_s
        << " in the next 5 s";
    /* The engines can start 1 / 1.7 = 0.59 of the requests in the burst. */
    EXPECT_GE(shares.during, 0.5) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(ServiceSizes, OverloadTest,
                         ::testing::Values(ServiceSize{1, 3, 3, 3},
                                           ServiceSize{7, 4, 3, 6},
                                           ServiceSize{20, 12, 8, 3},
                                           ServiceSize{40, 20, 12, 1}));

} // namespace
