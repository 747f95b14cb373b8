/*
** test_endpoint_rates.cc
** Endpoints that name the rate they take of all instances together
**
** What was seen: two of three plain endpoints, in need, named 5.3 and 4.3
** requests a second in their answers. In the next four seconds they got 52 and
** 66 requests, from seven and eight of eight instances, where 37 and 31 are the
** most; so an endpoint that asks for relief gets none. No instance alone sent
** more than was named: 18 in four seconds, where 5.3 a second are 21. Each
** instance that keeps to the rate by itself would change nothing.
*/

#include <gtest/gtest.h>

#include "rate_fleet.h"

using namespace rates;

namespace {

/* of what a named rate allows in four seconds, and on top of that: the most
** that an endpoint may get, and the time after which that holds */
constexpr double tolerance = 1.5;
constexpr double slack = 5;
constexpr gint64 window = 4 * second;
constexpr gint64 contact = 3 * second;

unsigned allowed(double rate) {
  return static_cast<unsigned>(tolerance * rate * window / second + slack);
}

struct Case {
  unsigned instances;
  double rate;
  double demand;   /* a second, over all instances */
  double at_first; /* share of it at one instance */
};

class EndpointRates : public ::testing::TestWithParam<Case> {
protected:
  FleetOptions options(unsigned seed) const {
    FleetOptions out;
    out.seed = seed;
    out.instances = GetParam().instances;
    out.demand = GetParam().demand;
    out.at_first = GetParam().at_first;
    return out;
  }
  void expect_kept(const Fleet &fleet, unsigned endpoint, double rate,
                   unsigned seed) const {
    const Plain &plain = fleet.endpoints[endpoint];
    ASSERT_NE(plain.named_at, 0);
    EXPECT_LE(
        fleet.worst_window(endpoint, plain.named_at + contact, fleet.now),
        allowed(rate))
        << "seed " << seed;
  }
};

TEST_P(EndpointRates, AllInstancesTogetherKeepToThem) {
  double rate = GetParam().rate;
  Fleet fleet(options(5));
  fleet.pass(3 * second);
  fleet.name(0, rate);
  fleet.name(1, 1.3 * rate);
  fleet.pass(12 * second);
  expect_kept(fleet, 0, rate, 5);
  expect_kept(fleet, 1, 1.3 * rate, 5);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, EndpointRates,
    ::testing::Values(Case{8, 4.4, 60, 0}, Case{8, 4.4, 60, 0.5},
                      Case{8, 0.5, 60, 0.5}, Case{20, 4.4, 150, 0.5},
                      Case{90, 4.4, 300, 0.3}, Case{300, 4.4, 600, 0.3},
                      Case{300, 0.5, 600, 0}),
    [](const auto &info) {
      return "At" + std::to_string(info.param.instances) + "Rate" +
             std::to_string(static_cast<int>(info.param.rate * 10)) +
             "Uneven" +
             std::to_string(static_cast<int>(info.param.at_first * 10));
    });

} // namespace
