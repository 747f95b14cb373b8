/*
** test_rate_limits.cc
** Tests of the rates that overloaded endpoints name, at one instance: which
** answer determines the rate, which requests are charged, and how engines,
** reservations and waiting requests are treated
*/

#include <gtest/gtest.h>

#include "router_world.h"

using namespace routing;

namespace {

/*
** {==================================================================
** Token buckets and messages between instances
** ===================================================================
*/

constexpr guint32 endpoint = 77;
constexpr mp_Addr peer = 9;

struct RateLimitsTest : ::testing::Test {
  RateLimits *limits = rate_limits_new(1);
  RateSharers alone = {{1, 1}, 0, RATE_REPORT_DELAY};
  gint64 now = 100 * second;

  ~RateLimitsTest() override {
    rate_limits_free(limits);
  }
  void receive_news(double rate, guint32 age_ms, guint32 sent = 0,
                    guint32 zone = 0, mp_Addr from = peer) {
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
  mp_RateRow reported_row(bool sums = false) {
    mp_RateUpdate news = {};
    if (sums)
      rate_limits_write_summary(limits, &news, now);
    else
      rate_limits_write(limits, &news, now);
    return news.n == 1 ? news.row[0] : mp_RateRow{};
  }
  /* Sends requests until one is not allowed; returns their number (1000 at the
  ** most). */
  unsigned send_all_allowed() {
    unsigned n = 0;
    while (n < 1000 && rate_limits_allow(limits, endpoint, &alone, now)) {
      rate_limits_count_sent(limits, endpoint);
      n++;
    }
    return n;
  }
};

TEST_F(RateLimitsTest, EndpointWithoutARateIsUnlimited) {
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
  EXPECT_EQ(send_all_allowed(), 1000u);
  EXPECT_EQ(rate_limits_count(limits), 0u);
}

TEST_F(RateLimitsTest, BucketBeginsEmptyAndHoldsLittle) {
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(rate_limits_count(limits), 1u);
  EXPECT_EQ(send_all_allowed(), 0u);
  now += 60 * second;
  /* one, and what half a second of the rate gives */
  EXPECT_LE(send_all_allowed(), 4u);
  EXPECT_GT(rate_limits_skips(limits), 0u);
}

TEST_F(RateLimitsTest, NewestAnswerDeterminesTheRate) {
  rate_limits_set(limits, endpoint, 4, now);
  now += 20 * ms;
  receive_news(9, 100);
  /* the answer that the peer received is older */
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
  receive_news(RATE_UNLIMITED, 100);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
  receive_news(9, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 9);
  now += second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
  receive_news(9, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
}

TEST_F(RateLimitsTest, RateReportedByAPeerAppliesHere) {
  receive_news(4, 5);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
  EXPECT_EQ(send_all_allowed(), 0u);
}

/* Answers may arrive out of order. One without a rate among those that name it
** neither ends the limit nor suspends it until the next answer. */
TEST_F(RateLimitsTest, SingleAnswerWithoutARateDoesNotEndTheLimit) {
  rate_limits_set(limits, endpoint, 4, now);
  for (int i = 0; i < 20; i++) {
    now += 40 * ms;
    rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
    EXPECT_EQ(rate_limits_rate(limits, endpoint), 4);
    now += 10 * ms;
    rate_limits_set(limits, endpoint, 4, now);
  }
  now += 600 * ms; /* no answer has named a rate for a while */
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(rate_limits_rate(limits, endpoint), RATE_UNLIMITED);
}

TEST_F(RateLimitsTest, EndOfALimitIsReportedForAWhile) {
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(reported_row().rate, 4000u);
  now += second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  EXPECT_EQ(reported_row().rate, MP_RATE_UNLIMITED);
  EXPECT_EQ(reported_row().endpoint, endpoint);
  now += 6 * second;
  EXPECT_EQ(reported_row().endpoint, 0u);
}

/* How many requests an endpoint got while it named no rate is not known. */
TEST_F(RateLimitsTest, BucketBeginsEmptyWhenARateIsNamedAgain) {
  rate_limits_set(limits, endpoint, 4, now);
  now += 10 * second;
  rate_limits_set(limits, endpoint, RATE_UNLIMITED, now);
  now += 10 * second;
  rate_limits_set(limits, endpoint, 4, now);
  EXPECT_EQ(send_all_allowed(), 0u);
}

TEST_F(RateLimitsTest, RequestsOfPeersAreCharged) {
  rate_limits_set(limits, endpoint, 4, now);
  receive_news(4, 0, 100);
  now += second;
  receive_news(4, 0, 104); /* four more than 100 */
  EXPECT_EQ(send_all_allowed(), 0u);
  now += 2 * second;
  EXPECT_GT(send_all_allowed(), 0u);
}

TEST_F(RateLimitsTest, SummaryCountsPeersOfTheOwnDataCentreOnly) {
  rate_limits_set(limits, endpoint, 4, now);
  rate_limits_count_sent(limits, endpoint);
  receive_news(4, 0, 10);
  receive_news(4, 0, 13);
  /* sums of another data centre are not passed on */
  receive_news(4, 0, 500, 3, 20);
  receive_news(4, 0, 510, 3, 20);
  EXPECT_EQ(reported_row().sent, 1u);
  EXPECT_EQ(reported_row(true).sent, 4u);
}

/* A refunded request can be sent again here; it was reported already, so it is
** not reported a second time. */
TEST_F(RateLimitsTest, RefundedRequestIsNotReportedTwice) {
  rate_limits_set(limits, endpoint, 4, now);
  rate_limits_count_sent(limits, endpoint);
  rate_limits_refund(limits, endpoint);
  EXPECT_EQ(reported_row().sent, 1u);
  rate_limits_count_sent(limits, endpoint);
  EXPECT_EQ(reported_row().sent, 1u);
  rate_limits_count_sent(limits, endpoint);
  EXPECT_EQ(reported_row().sent, 2u);
}

/* An instance that reaches an eighth of the instances has an eighth of the
** rate. */
TEST_F(RateLimitsTest, RateIsScaledByTheShareOfReachableInstances) {
  unsigned full_share_sent = 0;
  unsigned partial_share_sent = 0;
  RateLimits *other = rate_limits_new(1);
  RateSharers cut = {{8, 1}, 0, RATE_REPORT_DELAY};
  rate_limits_set(limits, endpoint, 8, now);
  rate_limits_set(other, endpoint, 8, now);
  for (int i = 0; i < 2000; i++) {
    now += 10 * ms;
    if (rate_limits_allow(limits, endpoint, &alone, now)) {
      rate_limits_count_sent(limits, endpoint);
      full_share_sent++;
    }
    if (rate_limits_allow(other, endpoint, &cut, now)) {
      rate_limits_count_sent(other, endpoint);
      partial_share_sent++;
    }
  }
  rate_limits_free(other);
  EXPECT_NEAR(full_share_sent, 160, 6);
  EXPECT_NEAR(partial_share_sent, 20, 3);
}

TEST_F(RateLimitsTest, RetryDelayGrowsAsTheBucketEmpties) {
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

struct RouterRateLimitTest : ::testing::Test {
  World world;

  void SetUp() override {
    world.add_default_endpoints();
  }
  /* The answer to the last dispatch names this rate; below 0: none. */
  void signal_rate(double rate) {
    world.signal(world.last().number, routing::signals_rate(rate));
  }
  bool logged(mp_EventNo number) const {
    for (const std::string &line : world.log) {
      if (line.compare(0, 4, std::to_string(static_cast<int>(number))) == 0)
        return true;
    }
    return false;
  }
  /* Sends a request of this path, whose answer names this rate and ends it;
  ** returns the endpoint that it ran at. */
  std::string serve_request(const char *path, double rate) {
    guint64 number = world.request(path);
    if (world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    EXPECT_EQ(world.runs(number), 1u);
    signal_rate(rate);
    std::string at = world.last().endpoint;
    world.outcome(world.last().number,
                  world.last().stream ? OUTCOME_STREAM_END : OUTCOME_ANSWER);
    return at;
  }
};

TEST_F(RouterRateLimitTest, RateChangesAndUnreadableRatesAreLogged) {
  world.request("/safe/x");
  EndpointSignals bad = {};
  bad.rate = SIGNAL_UNREADABLE;
  world.signal(world.last().number, bad);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE_BAD));
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
  signal_rate(4);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE));
  EXPECT_EQ(router_limited_endpoints(world.router), 1u);
  world.signal(world.last().number, bad);
  EXPECT_EQ(router_limited_endpoints(world.router), 1u); /* the limit stays */
  world.advance(second);
  signal_rate(-1);
  EXPECT_TRUE(logged(MP_LOG_EP_RATE_OVER));
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RouterRateLimitTest, PlainRequestsAvoidALimitedEndpoint) {
  std::string limited = serve_request("/safe/x", 1);
  for (int i = 0; i < 5; i++)
    EXPECT_NE(serve_request("/safe/x", -1), limited);
}

TEST_F(RouterRateLimitTest, ExcessIsRefusedAtOnceWhenAllEndpointsAreLimited) {
  serve_request("/safe/x", 1);
  serve_request("/safe/x", 1);
  guint64 number = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(number), 0u);
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_RATE);
  EXPECT_GE(world.end(number).retry_after_ms, 100);
  EXPECT_EQ(world.end(number).at, world.now);
}

TEST_F(RouterRateLimitTest, LaterIncarnationHasNoLimit) {
  world.started_unix_ms = 1000;
  world.add_default_endpoints();
  std::string limited = serve_request("/safe/x", 1);
  EXPECT_EQ(router_limited_endpoints(world.router), 1u);
  world.started_unix_ms = 2000;
  world.endpoint({limited.c_str(), "app", "a", STAGE_NONE});
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RouterRateLimitTest, RemovedEndpointHasNoLimit) {
  std::string limited = serve_request("/safe/x", 1);
  world.endpoint({limited.c_str(), "app", "a", STAGE_NONE}, true, true);
  EXPECT_EQ(router_limited_endpoints(world.router), 0u);
}

TEST_F(RouterRateLimitTest, LimitedDecodeEngineGetsNoReservation) {
  std::string limited = serve_request("/stream/x", 0.5);
  for (int i = 0; i < 4; i++)
    EXPECT_NE(serve_request("/stream/x", -1), limited);
}

/* A run is counted when its engine is reserved, not again when it is sent. */
TEST_F(RouterRateLimitTest, ReservationAndItsRunAreCountedOnce) {
  serve_request("/stream/x", 50);
  serve_request("/stream/x", 50);
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

/* The decode engine prefills where the only prefill engine is limited. */
TEST_F(RouterRateLimitTest, LimitedPrefillEngineIsSkipped) {
  world.request("/stream/x");
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  signal_rate(0.5);
  world.prefilled(world.last().number);
  world.outcome(world.last().number, OUTCOME_STREAM_END);
  world.request("/stream/x");
  EXPECT_EQ(world.last().kind, DISPATCH_RUN);
}

/* While both decode engines are overloaded a request waits. It starts as soon
** as the rate of one engine allows it, before the queue would be checked for
** its sake a fifth of its objective after its arrival. */
TEST_F(RouterRateLimitTest, WaitingRequestStartsOnceTheRateAllowsIt) {
  constexpr gint64 next_queue_check = 198 * ms;
  serve_request("/stream/x", 20);
  serve_request("/stream/x", 20);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).ends(), 0);
  size_t sent = world.dispatches.size();
  world.advance(next_queue_check - ms);
  EXPECT_GT(world.dispatches.size(), sent);
}

/* }================================================================== */

} // namespace
