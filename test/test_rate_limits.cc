/*
** test_rate_limits.cc
** One instance and the rates that endpoints name: whose word counts, what is
** counted, and what engines, reservations and waiting requests make of it
*/

#include <gtest/gtest.h>

#include "router_world.h"

using namespace routing;

namespace {

/*
** {==================================================================
** Buckets and news
** ===================================================================
*/

constexpr guint32 endpoint = 77;
constexpr mp_Addr peer = 9;

struct Rate : ::testing::Test {
  RateLimits *limits = rate_limits_new(1);
  RateSharers alone = {{1, 1}, 0, RATE_REPORT_DELAY};
  gint64 now = 100 * second;

  ~Rate() override {
    rate_limits_free(limits);
  }
  void hear(double rate, guint32 age_ms, guint32 sent = 0, guint32 zone = 0,
            mp_Addr from = peer) {
    mp_RateUpdate news = {};
    news.zone = zone;
    news.relay = from;
    news.n = 1;
    news.row[0] = {endpoint,
                   rate < 0 ? MP_RATE_UNLIMITED
                            : static_cast<guint32>(rate * 1000),
                   age_ms, sent};
    rate_limits_receive(limits, from, &news, &alone, now);
  }
  mp_RateRow told(bool sums = false) {
    mp_RateUpdate news = {};
    if (sums)
      rate_limits_write_summary(limits, &news, now);
    else
      rate_limits_write(limits, &news, now);
    return news.n == 1 ? news.row[0] : mp_RateRow{};
  }
  /* how many of them one after the other are allowed */
  unsigned allowed() {
    unsigned n = 0;
    while (n < 1000 && rate_limits_allow(limits, endpoint, &alone, now)) {
      rate_limits_count_sent(limits, endpoint);
      n++;
    }
    return n;
  }
};

TEST_F(Rate, WithoutOneAllIsAllowed) {
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
  EXPECT_EQ(allowed(), 1000u);
  EXPECT_EQ(rate_limits_count(limits), 0u);
}

TEST_F(Rate, NothingIsSavedUpWhenItIsNamedAndLittleLater) {
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(rate_limits_count(limits), 1u);
  EXPECT_EQ(allowed(), 0u);
  now += 60 * second;
  EXPECT_LE(allowed(), 4u); /* one, and half a second of the rate */
  EXPECT_GT(rate_limits_skips(limits), 0u);
}

TEST_F(Rate, TheNewestAnswerIsRight) {
  rate_limits_set(limits, endpoint, 4, now);
  now += 20 * ms;
  hear(9, 100);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4); /* said before that */
  hear(RATE_UNLIMITED, 100);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
  hear(9, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 9);
  now += second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
  hear(9, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
}

TEST_F(Rate, ItIsKnownFromAnotherInstanceAlone) {
  hear(4, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
  EXPECT_EQ(allowed(), 0u);
}

/* answers overtake one another: one without it among those that name it is no
** end, and does not set the limit aside until the next */
TEST_F(Rate, OneAnswerWithoutItAmongOthersEndsNothing) {
  rate_limits_set(limits, endpoint, 4, now);
  for (int i = 0; i < 20; i++) {
    now += 40 * ms;
    rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
    EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
    now += 10 * ms;
    rate_limits_set(limits, endpoint, 4, now);
  }
  now += 600 * ms; /* none has named it for a while */
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
}

TEST_F(Rate, ThatItIsOverIsToldForAWhile) {
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(told().rate, 4000u);
  now += second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(told().rate, MP_RATE_UNLIMITED);
  EXPECT_EQ(told().endpoint, endpoint);
  now += 6 * second;
  EXPECT_EQ(told().endpoint, 0u);
}

/* what an endpoint has taken before it is overloaded again is not known */
TEST_F(Rate, NamedAgainNothingIsSavedUp) {
  rate_limits_set(limits, endpoint, 4, now);
  now += 10 * second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  now += 10 * second;
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(allowed(), 0u);
}

TEST_F(Rate, WhatPeersSendIsTakenOff) {
  rate_limits_set(limits, endpoint, 4, now);
  hear(4, 0, 100);
  now += second;
  hear(4, 0, 104); /* on top of 100 */
  EXPECT_EQ(allowed(), 0u);
  now += 2 * second;
  EXPECT_GT(allowed(), 0u);
}

TEST_F(Rate, SumsHoldWhatPeersOfTheDataCentreSent) {
  rate_limits_set(limits, endpoint, 4, now);
  rate_limits_count_sent(limits, endpoint);
  hear(4, 0, 10);
  hear(4, 0, 13);
  hear(4, 0, 500, 3, 20); /* sums of another one are not handed on in ours */
  hear(4, 0, 510, 3, 20);
  EXPECT_EQ(told().sent, 1u);
  EXPECT_EQ(told(true).sent, 4u);
}

/* a place that was not used is free here, and the others counted it already */
TEST_F(Rate, WhatIsReturnedIsNotToldTwice) {
  rate_limits_set(limits, endpoint, 4, now);
  rate_limits_count_sent(limits, endpoint);
  rate_limits_refund(limits, endpoint);
  EXPECT_EQ(told().sent, 1u);
  rate_limits_count_sent(limits, endpoint);
  EXPECT_EQ(told().sent, 1u);
  rate_limits_count_sent(limits, endpoint);
  EXPECT_EQ(told().sent, 2u);
}

/* cut off with an eighth of the instances, an eighth of the rate is left */
TEST_F(Rate, TheShareIsOfThoseHeard) {
  unsigned whole = 0;
  unsigned part = 0;
  RateLimits *other = rate_limits_new(1);
  RateSharers cut = {{8, 1}, 0, RATE_REPORT_DELAY};
  rate_limits_set(limits, endpoint, 8, now);
  rate_limits_set(other, endpoint, 8, now);
  for (int i = 0; i < 2000; i++) {
    now += 10 * ms;
    if (rate_limits_allow(limits, endpoint, &alone, now)) {
      rate_limits_count_sent(limits, endpoint);
      whole++;
    }
    if (rate_limits_allow(other, endpoint, &cut, now)) {
      rate_limits_count_sent(other, endpoint);
      part++;
    }
  }
  rate_limits_free(other);
  EXPECT_NEAR(whole, 160, 6);
  EXPECT_NEAR(part, 20, 3);
}

TEST_F(Rate, AWaitIsLongerTheLessIsLeft) {
  rate_limits_set(limits, endpoint, 2, now);
  gint64 one = rate_limits_retry_delay(limits, endpoint, &alone, now);
  rate_limits_count_sent(limits, endpoint);
  gint64 two = rate_limits_retry_delay(limits, endpoint, &alone, now);
  EXPECT_GT(one, 0);
  EXPECT_NEAR(static_cast<double>(two - one), 0.5 * second, 1000);
  rate_limits_set(limits, endpoint, 0, now);
  EXPECT_LE(rate_limits_retry_delay(limits, endpoint, &alone, now),
            3 * second);
}

/* }================================================================== */

/*
** {==================================================================
** The router
** ===================================================================
*/

struct RateWorld : ::testing::Test {
  World world;

  void SetUp() override {
    world.add_default_endpoints();
  }
  /* the open dispatch's answer names this rate, or none */
  void name(double rate) {
    world.signal(world.last().number, routing::signals_rate(rate));
  }
  bool logged(mp_EventNo number) const {
    for (const std::string &line : world.log) {
      if (line.compare(0, 4, std::to_string(static_cast<int>(number))) == 0)
        return true;
    }
    return false;
  }
  /* a request of this path ends, and names this rate; its endpoint */
  std::string served(const char *path, double rate) {
    guint64 number = world.request(path);
    if (world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    EXPECT_EQ(world.runs(number), 1u);
    name(rate);
    std::string at = world.last().endpoint;
    world.outcome(world.last().number,
                  world.last().stream ? OUTCOME_STREAM_END : OUTCOME_ANSWER);
    return at;
  }
};

TEST_F(RateWorld, WhatIsSaidIsLogged) {
  world.request("/safe/x");
  EndpointSignals bad = {};
  bad.rate = SIGNAL_UNREADABLE;
  world.signal(world.last().number, bad);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE_BAD));
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
  name(4);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE));
  EXPECT_EQ(router_limited_endpoints(world.router), 1u);
  world.signal(world.last().number, bad);
  EXPECT_EQ(router_limited_endpoints(world.router), 1u); /* it holds on */
  world.advance(second);
  name(-1);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE_OVER));
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RateWorld, PlainRequestsGoElsewhere) {
  std::string limited = served("/safe/x", 1);
  for (int i = 0; i < 5; i++)
    EXPECT_NE(served("/safe/x", -1), limited);
}

TEST_F(RateWorld, WhereAllNameOneTheRestIsRefusedAtOnce) {
  served("/safe/x", 1);
  served("/safe/x", 1);
  guint64 number = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(number), 0u);
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_RATE);
  EXPECT_GE(world.end(number).retry_after_ms, 100);
  EXPECT_EQ(world.end(number).at, world.now);
}

TEST_F(RateWorld, ALaterLifeHasNone) {
  world.started_unix_ms = 1000;
  world.add_default_endpoints();
  std::string limited = served("/safe/x", 1);
  EXPECT_EQ(router_limited_endpoints(world.router), 1u);
  world.started_unix_ms = 2000;
  world.endpoint({limited.c_str(), "app", "a", STAGE_NONE});
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RateWorld, OneThatIsGoneHasNone) {
  std::string limited = served("/safe/x", 1);
  world.endpoint({limited.c_str(), "app", "a", STAGE_NONE}, true, true);
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RateWorld, ADecodeEngineThatNamesOneGetsNoMoreReservations) {
  std::string limited = served("/stream/x", 0.5);
  for (int i = 0; i < 4; i++)
    EXPECT_NE(served("/stream/x", -1), limited);
}

/* a place is counted when it is reserved, and not again when the run is sent
 */
TEST_F(RateWorld, ARunIsCountedOnce) {
  served("/stream/x", 50);
  served("/stream/x", 50);
  world.advance(5 * second);
  mp_RateUpdate before = {};
  router_report_rates(world.router, FALSE, &before, world.now);
  world.request("/stream/x");
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  mp_RateUpdate reserved = {};
  router_report_rates(world.router, FALSE, &reserved, world.now);
  world.prefilled(world.last().number);
  ASSERT_EQ(world.last().kind, DISPATCH_RUN);
  mp_RateUpdate sent = {};
  router_report_rates(world.router, FALSE, &sent, world.now);
  auto sum = [](const mp_RateUpdate &news) {
    guint32 all = 0;
    for (unsigned i = 0; i < news.n; i++)
      all += news.row[i].sent;
    return all;
  };
  EXPECT_EQ(sum(reserved), sum(before) + 1);
  EXPECT_EQ(sum(sent), sum(before) + 1);
}

/* prompts are read by the decode engine where the prefill engine takes none */
TEST_F(RateWorld, APrefillEngineThatNamesOneIsLeftOut) {
  world.request("/stream/x");
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  name(0.5);
  world.prefilled(world.last().number);
  world.outcome(world.last().number, OUTCOME_STREAM_END);
  world.request("/stream/x");
  EXPECT_EQ(world.last().kind, DISPATCH_RUN);
}

/* with both decode engines overloaded a request waits, and starts by itself
** when one of them takes it: before it would be looked at for its own sake, a
** fifth of its objective after it came */
TEST_F(RateWorld, WhoWaitsStartsWhenTheRateAllowsIt) {
  constexpr gint64 looked_at = 198 * ms;
  served("/stream/x", 20);
  served("/stream/x", 20);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).ends(), 0);
  size_t sent = world.dispatches.size();
  world.advance(looked_at - ms);
  EXPECT_GT(world.dispatches.size(), sent);
}

/* }================================================================== */

} // namespace
