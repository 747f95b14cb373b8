/*
** test_accounts.cc
** Tests of client accounts as requests meet them: keys, revoked keys, the age
** of the configuration, limits
*/

#include <gtest/gtest.h>

#include "router_world.h"

using namespace routing;

namespace {

constexpr gint64 configuration_age_max = 3900 * ms;

struct AccountTest : ::testing::Test {
  World world{0, 10.0, 0, "10.0.0.5:1", configuration_age_max};

  void SetUp() override {
    world.clients = {{"first", {"key-1", "key-2"}}, {"second", {"key-3"}}};
    world.add_default_endpoints();
    prove_configuration();
    world.key = "key-1";
  }
  void prove_configuration() {
    router_configuration_proved(world.router, world.now);
  }
  void revoke_first_accounts_keys() {
    world.clients = {{"first", {}}, {"second", {"key-3"}}};
    world.configure(2);
    prove_configuration();
  }
  RefusalKind refusal_of(guint64 request) {
    EXPECT_EQ(world.end(request).refusals, 1);
    return world.end(request).refusal;
  }
};

TEST_F(AccountTest, EveryDispatchNamesTheAccountOfTheKey) {
  world.request("/safe/x");
  EXPECT_EQ(world.last().account, "first");
  world.key = "key-3";
  world.request("/stream/x");
  EXPECT_EQ(world.last().kind, DISPATCH_PREFILL);
  EXPECT_EQ(world.last().account, "second");
  world.prefilled(world.last().number);
  EXPECT_EQ(world.last().kind, DISPATCH_RUN);
  EXPECT_EQ(world.last().account, "second");
}

TEST_F(AccountTest, MissingConfigurationChangeDoesNotRefuseAKeyAsUnknown) {
  NewsState news = {};
  router_set_news_state(world.router, &news);
  news_state_advance_newest(&news, store_position(0, 101), world.now);
  world.key = "key-4";
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_OLD_CONFIGURATION);
  news_state_advance_held(&news, store_position(0, 101), world.now);
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
}

TEST_F(AccountTest, MissingRepeatedAndUnknownKeysAreRefused) {
  world.key = nullptr;
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
  world.key = "key-4";
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
  world.key = "";
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
  world.key = "key-1";
  world.keys = 2;
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(AccountTest, PublicRouteNeedsNoKeyAndNamesNoAccount) {
  world.key = nullptr;
  world.request("/public/x");
  ASSERT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(world.last().account, "");
  world.outcome(world.last().number, OUTCOME_ANSWER);
  /* an old configuration is good enough for it */
  world.advance(configuration_age_max + 1 * second);
  world.request("/public/x");
  EXPECT_EQ(world.dispatches.size(), 2u);
}

TEST_F(AccountTest, WithoutAccountsNoKeyIsNeeded) {
  World open;
  open.add_default_endpoints();
  open.request("/safe/x");
  EXPECT_EQ(open.dispatches.size(), 1u);
}

TEST_F(AccountTest, RevokedKeyIsRefused) {
  revoke_first_accounts_keys();
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_KEY);
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(AccountTest, RevokedKeyGetsNoRetry) {
  guint64 request = world.request("/safe/x");
  guint64 first = world.last().number;
  revoke_first_accounts_keys();
  world.outcome(first, OUTCOME_NOT_RUN);
  EXPECT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(refusal_of(request), REFUSAL_KEY);
}

TEST_F(AccountTest, RevokedKeyIsRefusedAsOutcomeUnknownAfterABrokenRun) {
  guint64 request = world.request("/safe/x");
  guint64 first = world.last().number;
  revoke_first_accounts_keys();
  world.outcome(first, OUTCOME_BROKEN);
  EXPECT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(refusal_of(request), REFUSAL_OUTCOME_UNKNOWN);
}

TEST_F(AccountTest, RevokedKeyGetsNoRunAfterItsPrefill) {
  guint64 request = world.request("/stream/x");
  guint64 prefill = world.last().number;
  revoke_first_accounts_keys();
  world.prefilled(prefill);
  EXPECT_EQ(world.runs(request), 0u);
  EXPECT_EQ(refusal_of(request), REFUSAL_KEY);
}

TEST_F(AccountTest, RevokedKeyGetsNoSecondPrefill) {
  world.endpoint({"pre-2", "llm", "a", STAGE_PREFILL});
  guint64 request = world.request("/stream/x");
  guint64 prefill = world.last().number;
  revoke_first_accounts_keys();
  world.outcome(prefill, OUTCOME_UNREACHABLE);
  EXPECT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(refusal_of(request), REFUSAL_KEY);
}

TEST_F(AccountTest, StreamOfARevokedKeyIsNotResumed) {
  guint64 request = world.request("/resume/x");
  world.prefilled(world.last().number);
  guint64 run = world.last().number;
  world.outcome(run, OUTCOME_STREAM_HEAD);
  world.piece(run, "1");
  revoke_first_accounts_keys();
  world.outcome(run, OUTCOME_BROKEN);
  EXPECT_EQ(world.runs(request), 1u);
  EXPECT_EQ(world.end(request).broken_off, 1);
}

TEST_F(AccountTest, OldConfigurationAcceptsNoKeys) {
  world.advance(configuration_age_max);
  guint64 last = world.request("/safe/x");
  EXPECT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(world.end(last).refusals, 0);
  world.advance(1 * ms);
  EXPECT_FALSE(router_is_configured(world.router, world.now));
  guint64 late = world.request("/safe/x");
  EXPECT_EQ(refusal_of(late), REFUSAL_OLD_CONFIGURATION);
  EXPECT_GT(world.end(late).retry_after_ms, 0);
  /* the key may be newer than this configuration */
  world.key = "key-unknown";
  EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_OLD_CONFIGURATION);
  EXPECT_EQ(world.dispatches.size(), 1u);
  prove_configuration();
  world.key = "key-1";
  world.request("/safe/x");
  EXPECT_EQ(world.dispatches.size(), 2u);
}

TEST_F(AccountTest, OldConfigurationAllowsNoFurtherDispatch) {
  guint64 request = world.request("/stream/x");
  guint64 prefill = world.last().number;
  world.now += configuration_age_max + 1 * ms; /* this process was suspended */
  world.prefilled(prefill);
  EXPECT_EQ(world.runs(request), 0u);
  EXPECT_EQ(refusal_of(request), REFUSAL_OLD_CONFIGURATION);
}

/* Guards against a cancel, for silence, of a run that may not be replaced. */
TEST_F(AccountTest, SilenceUnderAnOldConfigurationBreaksNoStreamOff) {
  guint64 request = world.request("/resume/x");
  world.prefilled(world.last().number);
  guint64 run = world.last().number;
  world.outcome(run, OUTCOME_STREAM_HEAD);
  int pieces = 0;
  for (gint64 age = 0; age <= configuration_age_max; age += 300 * ms) {
    world.piece(run, std::to_string(++pieces).c_str());
    world.advance(300 * ms);
  }
  EXPECT_FALSE(router_is_configured(world.router, world.now));
  world.advance(1200 * ms);
  EXPECT_EQ(world.end(request).ends(), 0);
  EXPECT_FALSE(world.sent(run).cancelled);
  world.piece(run, std::to_string(++pieces).c_str());
  world.outcome(run, OUTCOME_STREAM_END);
  EXPECT_EQ(world.runs(request), 1u);
  EXPECT_EQ(world.end(request).answers, 1);
}

TEST_F(AccountTest, ProofTimeNeverMovesBack) {
  router_configuration_proved(world.router, world.now - 2 * second);
  world.advance(configuration_age_max);
  world.request("/safe/x");
  EXPECT_EQ(world.dispatches.size(), 1u);
}

/* Each request costs 1,500 tokens. The router has run for 10 s, so buckets
** begin full. */
struct AccountLimitTest : AccountTest {
  void SetUp() override {
    AccountTest::SetUp();
    world.advance(10 * second);
    world.clients = {{"first", {"key-1"}, 1500, 6000},
                     {"second", {"key-3"}, 1500, 6000}};
    world.configure(2);
    prove_configuration();
  }
  unsigned count_admitted(unsigned requests) {
    unsigned count = 0;
    for (unsigned i = 0; i < requests; i++) {
      guint64 one = world.request("/stream/x");
      count += world.end(one).refusals == 0;
      if (world.end(one).refusals > 0) {
        EXPECT_EQ(refusal_of(one), REFUSAL_LIMIT);
        EXPECT_GE(world.end(one).retry_after_ms, 100);
      }
    }
    return count;
  }
};

TEST_F(AccountLimitTest, RequestsBeyondTheBurstAreRefusedAtOnce) {
  /* four of the burst; the floor is 0.2 x (0.1 x 18,000 + 1,000) = 560 */
  EXPECT_GE(count_admitted(30), 4u);
  EXPECT_LE(count_admitted(30), 5u);
  world.key = "key-3"; /* another account is not affected */
  EXPECT_GE(count_admitted(4), 4u);
}

TEST_F(AccountLimitTest, RequestsThatReachNoEndpointAreRefunded) {
  world.endpoint({"dec-1", "llm", "a", STAGE_DECODE}, true, true);
  world.endpoint({"dec-2", "llm", "a", STAGE_DECODE}, true, true);
  world.endpoint({"pre-1", "llm", "a", STAGE_PREFILL}, true, true);
  for (int i = 0; i < 40; i++) {
    guint64 request = world.request("/stream/x", 10000);
    world.hangup(request); /* it waits or is refused, and never runs */
    if (world.end(request).refusals > 0) {
      EXPECT_NE(refusal_of(request), REFUSAL_LIMIT) << i;
    }
  }
}

TEST_F(AccountLimitTest, RequestsRefusedWithoutAnEndpointAreRefunded) {
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.endpoint({"app-2", "app", "b", STAGE_NONE}, true, true);
  for (int i = 0; i < 40; i++)
    EXPECT_EQ(refusal_of(world.request("/safe/x")), REFUSAL_NO_ENDPOINT) << i;
}

TEST_F(AccountLimitTest, RequestsThatRanAreNotRefunded) {
  unsigned limited = 0;
  for (int i = 0; i < 10; i++) {
    guint64 request = world.request("/stream/x");
    if (world.end(request).refusals > 0) {
      limited++;
      continue;
    }
    world.prefilled(world.last().number);
    world.hangup(request);
  }
  EXPECT_GE(limited, 4u);
}

/* Guards against a cost that stays pending for good after its request ran or
** was refused, or that is not pending while the request waits for its run:
** either makes what all instances may admit wrong. */
TEST_F(AccountLimitTest, CostIsPendingUntilTheRequestRuns) {
  mp_LoadDigest digest = {};
  guint64 request = world.request("/stream/x");
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  router_load_digest(world.router, &digest, world.now);
  ASSERT_EQ(digest.pending_count, 2u);
  EXPECT_EQ(digest.pending[0], 1500u / ACCOUNT_TOKENS_PER_STEP);
  EXPECT_EQ(digest.pending[1], 0u);
  world.prefilled(world.last().number);
  ASSERT_EQ(world.last().kind, DISPATCH_RUN);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.pending[0], 0u);
  world.hangup(request);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.pending[0], 0u);
}

TEST_F(AccountLimitTest, RefundIsPendingUntilItIsSpentOrGivenUp) {
  mp_LoadDigest digest = {};
  world.hangup(world.request("/stream/x")); /* during its prefill */
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.pending[0], 1500u / ACCOUNT_TOKENS_PER_STEP);
  guint32 spent = digest.account[0].spent;
  guint64 second_request = world.request("/stream/x");
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.account[0].spent, spent); /* the refund was spent */
  EXPECT_EQ(digest.pending[0], 1500u / ACCOUNT_TOKENS_PER_STEP);
  world.hangup(second_request);
  router_load_digest(world.router, &digest, world.now);
  world.advance(2 * second);
  prove_configuration();
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.pending[0], 0u);
  world.request("/stream/x");
  router_load_digest(world.router, &digest, world.now);
  EXPECT_GT(digest.account[0].spent, spent); /* it was given up */
}

/* Guards against shares that cost time or change decisions while no request
** waits for room. */
TEST_F(AccountLimitTest, SharesAreComputedOnlyWhileRequestsWait) {
  AccountShare share = {};
  world.request("/stream/x");
  ASSERT_STREQ(router_account_share(world.router, 0, &share), "first");
  EXPECT_EQ(share.weight, 0);
  mp_LoadDigest digest = {};
  digest.waiting = 1;
  router_peer_load(world.router, 99, 1, &digest, world.now);
  world.request("/stream/x");
  router_account_share(world.router, 0, &share);
  EXPECT_EQ(share.weight, 1500);
  EXPECT_FALSE(share.is_over);
}

TEST_F(AccountLimitTest, AccountWithoutALimitIsUnlimited) {
  world.clients = {{"first", {"key-1"}}};
  world.configure(3);
  unsigned limited = 0;
  for (int i = 0; i < 50; i++)
    limited += world.end(world.request("/safe/x")).refusals;
  EXPECT_EQ(limited, 0u);
}

TEST_F(AccountLimitTest, ChangedLimitsTakeEffect) {
  world.clients = {{"first", {"key-1"}, 150, 600}};
  world.configure(3);
  EXPECT_LE(count_admitted(20), 2u);
  world.clients = {{"first", {"key-1"}, 15000, 60000}};
  world.configure(4);
  world.advance(1 * second);
  prove_configuration();
  EXPECT_GE(count_admitted(9), 8u);
}

} // namespace
