/*
** test_endpoint_leaving.cc
** Endpoints that say with their answers that they leave
**
** What was seen: one of three plain endpoints said with its answers that it
** leaves, while the store answered nobody. For the next 13 s it got as many
** requests as before, 92 of them, from all eight instances: 3 s after an
** answer had told the instance that sent them, where 2 s are the most. Once
** the store was back, and listed it as draining, it got none.
*/

#include <algorithm>

#include <gtest/gtest.h>

#include "rate_fleet.h"

using namespace rates;

namespace {

/* requests that an instance takes later than this behind the first answer
** that it passed on, and that said so, do not reach the endpoint */
constexpr gint64 most_after = 2 * second;

FleetOptions options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned sizes[] = {1, 8, 20, 90, 300};

TEST(EndpointLeaving, NoInstanceThatHeardItSendsMore) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    Fleet fleet(options(instances, 5));
    fleet.pass(2 * second);
    fleet.endpoints[0].is_leaving = true;
    fleet.pass(8 * second);
    ASSERT_FALSE(fleet.endpoints[0].leavings.empty());
    EXPECT_EQ(fleet.after_leaving(0, most_after, false), 0u);
  }
}

} // namespace
