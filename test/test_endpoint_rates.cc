/*
** test_endpoint_rates.cc
** Endpoints that name the rate they accept from all instances together
**
** Guards against instances that together send more than the rate that an
** endpoint names: two of three plain endpoints, overloaded, named 5.3 and 4.3
** requests a second, and in the next four seconds got 52 and 66 requests where
** 37 and 31 are the most allowed (1.5 times the rate, and 5 more). They came
** from seven and eight of eight instances; no instance alone sent more than
** the rate (18 in four seconds, where 5.3 a second are 21), so a limit within
** each instance does not help. It comes about when an instance drops the rate
** of an answer or tells it to no other instance: the endpoints then get as
** many requests as before (71 and 56 in the four seconds before). Retries were
** only 11 of the 52 and 3 of the 66: without them both numbers are too high
** still.
*/

#include <gtest/gtest.h>

#include "rate_fleet.h"

using namespace rates;

namespace {

/*
** In any four seconds an endpoint may get this multiple of what its rate
** allows, plus the slack. It holds from news_delay_max after the first answer
** with a rate on.
*/
constexpr double tolerance = 1.5;
constexpr double slack = 5;
constexpr gint64 news_delay_max = 3 * second;

struct Case {
  unsigned instances;
  double rate;
  double demand;   /* requests per second, over all instances */
  double at_first; /* share of it at the first instance */
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
  void expect_rate_kept(const Fleet &fleet, unsigned endpoint,
                        unsigned seed) const {
    const PlainEndpoint &plain = fleet.endpoints[endpoint];
    ASSERT_NE(plain.rate_named_at, 0);
    EXPECT_LE(fleet.max_rate_excess(endpoint,
                                    plain.rate_named_at + news_delay_max,
                                    fleet.now, tolerance, false),
              slack)
        << "seed " << seed;
  }
};

TEST_P(EndpointRates, AllInstancesTogetherKeepTheRate) {
  double rate = GetParam().rate;
  Fleet fleet(options(5));
  fleet.pass(3 * second);
  fleet.set_rate(0, rate);
  fleet.set_rate(1, 1.3 * rate);
  fleet.pass(12 * second);
  expect_rate_kept(fleet, 0, 5);
  expect_rate_kept(fleet, 1, 5);
}

/* The sizes at which the rate matters for several instances. */
struct SeveralInstances : EndpointRates {};

/* Without rate news each instance sends as if it had the whole rate. */
TEST_P(SeveralInstances, ExceedTheRateWithoutNewsFromEachOther) {
  Fleet fleet(options(5));
  fleet.has_rate_news = false;
  fleet.pass(3 * second);
  fleet.set_rate(0, GetParam().rate);
  fleet.pass(12 * second);
  EXPECT_GT(fleet.max_rate_excess(
                0, fleet.endpoints[0].rate_named_at + news_delay_max,
                fleet.now, tolerance, false),
            slack);
}

/* The other endpoints take what a limited one does not. */
TEST_P(SeveralInstances, RefuseNobodyWhileOtherEndpointsHaveRoom) {
  Fleet fleet(options(6));
  fleet.pass(3 * second);
  fleet.set_rate(0, GetParam().rate);
  fleet.pass(6 * second);
  EXPECT_EQ(fleet.refused, 0u);
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

INSTANTIATE_TEST_SUITE_P(Sizes, SeveralInstances,
                         ::testing::Values(Case{8, 4.4, 60, 0},
                                           Case{8, 0.5, 60, 0.5},
                                           Case{20, 4.4, 150, 0.5},
                                           Case{90, 4.4, 300, 0.3}));

/* Where demand exceeds the rates, most of each rate is used. */
struct RateUse : EndpointRates {};

TEST_P(RateUse, NineTenthsOfARateAreUsed) {
  constexpr gint64 span = 10 * second;
  double rate = GetParam().rate;
  Fleet fleet(options(7));
  for (unsigned i = 0; i < 3; i++)
    fleet.set_rate(i, rate);
  fleet.pass(4 * second);
  gint64 from = fleet.now;
  fleet.pass(span);
  for (unsigned i = 0; i < 3; i++)
    EXPECT_GE(fleet.arrived(i, from, fleet.now), 0.9 * rate * span / second);
}

INSTANTIATE_TEST_SUITE_P(Sizes, RateUse,
                         ::testing::Values(Case{1, 4.4, 60, 0},
                                           Case{8, 4.4, 60, 0.5},
                                           Case{8, 20, 90, 0.5},
                                           Case{20, 4.4, 150, 0.5},
                                           Case{20, 4.4, 20, 0.5}));

/* Demand below the sum of the rates: at most 2 % are refused. */
TEST(EndpointRateCases, DemandBelowTheRatesIsServed) {
  FleetOptions options;
  options.demand = 8;
  Fleet fleet(options);
  for (unsigned i = 0; i < 3; i++)
    fleet.set_rate(i, 4.4);
  fleet.pass(4 * second);
  unsigned refused = fleet.refused;
  unsigned asked = fleet.asked;
  fleet.pass(20 * second);
  EXPECT_LE(fleet.refused - refused, 0.02 * (fleet.asked - asked));
}

/*
** The endpoints together accept less than the demand: the other requests are
** refused with a time to retry after (100 to 3,500 ms).
*/
TEST(EndpointRateCases, ShortageIsRefusedWithRetryAfter) {
  Fleet fleet({});
  for (unsigned i = 0; i < 3; i++)
    fleet.set_rate(i, 4.4);
  fleet.pass(4 * second);
  unsigned answered = fleet.answered;
  fleet.retry_after_ms.clear();
  fleet.pass(10 * second);
  EXPECT_GE(fleet.answered - answered, 0.9 * 3 * 4.4 * 10);
  ASSERT_FALSE(fleet.retry_after_ms.empty());
  for (gint64 wait : fleet.retry_after_ms) {
    EXPECT_GE(wait, 100);
    EXPECT_LE(wait, 3500);
  }
}

/* An answer without a rate ends the limit. */
TEST(EndpointRateCases, EndedLimitLeavesNoTrace) {
  Fleet fleet({});
  fleet.pass(5 * second);
  unsigned before = fleet.arrived(0, fleet.now - 4 * second, fleet.now);
  fleet.set_rate(0, 2);
  fleet.pass(8 * second);
  EXPECT_LE(fleet.arrived(0, fleet.now - 4 * second, fleet.now), 16u);
  fleet.set_rate(0, RATE_UNLIMITED);
  fleet.pass(6 * second);
  EXPECT_GE(fleet.arrived(0, fleet.now - 4 * second, fleet.now), before / 2);
}

/* An endpoint with the rate 0 still gets a rare request that may lift it. */
TEST(EndpointRateCases, RateZeroIsProbed) {
  Fleet fleet({});
  fleet.pass(second);
  fleet.set_rate(0, 0);
  fleet.pass(5 * second);
  gint64 from = fleet.now;
  fleet.pass(20 * second);
  unsigned asked = fleet.arrived(0, from, fleet.now);
  EXPECT_GE(asked, 2u);
  EXPECT_LE(asked, 8u);
  fleet.set_rate(0, RATE_UNLIMITED);
  fleet.pass(10 * second);
  EXPECT_GE(fleet.arrived(0, fleet.now - 2 * second, fleet.now), 10u);
}

/*
** Callers that all come back at once after a pause find instances without
** recent news of each other. The case was exceeded (0.5 a second, 3,000
** requests a second, 90 instances: 6.0 over 1.5 times the rate, where 5 are
** the most) when only the last 2 s told how many requests to expect.
*/
TEST(EndpointRateCases, BurstAfterAPauseKeepsTheRate) {
  FleetOptions options;
  options.seed = 5;
  options.instances = 90;
  options.demand = 3000;
  options.at_first = 0;
  options.loss = 0.1;
  Fleet fleet(options);
  fleet.pass(2 * second);
  fleet.set_rate(0, 0.5);
  fleet.pass(6 * second);
  fleet.has_callers = false;
  fleet.pass(5 * second);
  fleet.has_callers = true;
  fleet.pass(6 * second);
  EXPECT_LE(fleet.max_rate_excess(
                0, fleet.endpoints[0].rate_named_at + news_delay_max,
                fleet.now, tolerance, false),
            slack);
}

/*
** With rate news 50 ms late all instances would use at once what the bucket
** holds, unless each admits requests by chance.
*/
TEST(EndpointRateCases, LateNewsDoesNotExceedTheRate) {
  for (unsigned seed = 1; seed <= 3; seed++) {
    FleetOptions options;
    options.seed = seed;
    options.instances = 20;
    options.demand = 2000;
    options.at_first = 0;
    options.rate_news_delay = 50 * ms;
    Fleet fleet(options);
    fleet.pass(2 * second);
    fleet.set_rate(0, 4.4);
    fleet.pass(5 * second);
    fleet.has_callers = false;
    fleet.pass(2 * second);
    fleet.has_callers = true;
    fleet.pass(5 * second);
    EXPECT_LE(fleet.max_rate_excess(
                  0, fleet.endpoints[0].rate_named_at + news_delay_max,
                  fleet.now, tolerance, false),
              slack)
        << "seed " << seed;
  }
}

/*
** Random schedules of kills of half of the instances, partitions, freezes,
** lost messages, changed rates, bursts and pauses: instances that are not
** disturbed keep the rate.
*/
struct RateSchedules : ::testing::TestWithParam<unsigned> {};

void inject_fault(Fleet &fleet, std::mt19937 &random, unsigned instances,
                  double rate, int *frozen) {
  switch (random() % 9) {
  case 0:
    fleet.kill(0.5);
    break;
  case 1:
    fleet.set_partition(static_cast<unsigned>(random() % instances));
    break;
  case 2:
    fleet.set_partition(0);
    break;
  case 3:
    if (*frozen < 0 && instances > 1) {
      *frozen = static_cast<int>(random() % instances);
      fleet.set_frozen(static_cast<unsigned>(*frozen), true);
    }
    break;
  case 4:
    if (*frozen >= 0)
      fleet.set_frozen(static_cast<unsigned>(*frozen), false);
    *frozen = -1;
    break;
  case 5:
    fleet.set_rate(0, rate * static_cast<double>(1 + random() % 4) / 2);
    break;
  case 6:
    fleet.demand = 5 + static_cast<double>(random() % 120);
    break;
  case 7:
    fleet.has_callers = !fleet.has_callers;
    break;
  default:
    break;
  }
}

/* Returns the number of schedules (seeds) for each size and rate: 20, or what
** the environment variable MADDERPIER_SCHEDULES says. */
unsigned schedule_count() {
  const char *text = g_getenv("MADDERPIER_SCHEDULES");
  return text != nullptr ? static_cast<unsigned>(atoi(text)) : 20;
}

TEST_P(RateSchedules, UndisturbedInstancesKeepTheRate) {
  constexpr unsigned events = 30;
  unsigned instances = GetParam();
  for (double rate : {0.5, 2.0, 4.4, 20.0}) {
    for (unsigned seed = 1; seed <= schedule_count(); seed++) {
      std::mt19937 random(1000 * instances + seed);
      FleetOptions options;
      int frozen = -1;
      options.seed = seed;
      options.instances = instances;
      options.loss = 0.05;
      options.at_first = static_cast<double>(random() % 10) / 10;
      options.demand = 30 + static_cast<double>(random() % 100);
      Fleet fleet(options);
      fleet.pass(2 * second);
      fleet.set_rate(0, rate);
      gint64 named = fleet.now;
      for (unsigned i = 0; i < events; i++) {
        fleet.pass(static_cast<gint64>(200 + random() % 800) * ms);
        inject_fault(fleet, random, instances, rate, &frozen);
      }
      EXPECT_LE(fleet.max_rate_excess(0, named + news_delay_max, fleet.now,
                                      tolerance, false),
                slack)
          << "rate " << rate << " seed " << seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, RateSchedules, ::testing::Values(1, 4, 8, 20));

} // namespace
