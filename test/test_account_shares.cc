/*
** test_account_shares.cc
** Tests of the shares that client accounts have in what engines complete
*/

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "router/account_limits.h"
#include "router/account_shares.h"
}

namespace {

constexpr unsigned account_count = 16;

/* 16 accounts with equal limits that use all that they ask for */
std::vector<AccountShare> equal_accounts() {
  return std::vector<AccountShare>(account_count,
                                   AccountShare{1000, 100, 100, 0, FALSE});
}

std::vector<AccountShare> computed(std::vector<AccountShare> accounts) {
  account_shares_compute(accounts.data(), static_cast<guint>(accounts.size()));
  return accounts;
}

unsigned count_over(const std::vector<AccountShare> &accounts) {
  unsigned count = 0;
  for (const auto &account : accounts)
    count += account.is_over;
  return count;
}

/* Guards against one account that sends seven times its usual amount and
** takes the room of all others while requests wait: engines complete 1,600,
** and in order of arrival all get 0.73 of what they ask for. */
TEST(AccountShares, AnAccountThatSendsSevenTimesItsUsualAmountIsOver) {
  auto accounts = equal_accounts();
  accounts[3].demand = 700;
  for (auto &account : accounts)
    account.use = account.demand * 1600 / 2200;
  accounts = computed(accounts);
  EXPECT_EQ(count_over(accounts), 1u);
  EXPECT_TRUE(accounts[3].is_over);
  EXPECT_NEAR(accounts[3].share, 100, 1);
}

/* Guards against room that is left unused: fifteen accounts ask for little,
** and the one that takes the rest is within its share. */
TEST(AccountShares, WhatAnAccountLeavesIsSharedByTheOthers) {
  auto accounts = equal_accounts();
  for (auto &account : accounts)
    account.use = account.demand = 20;
  accounts[0].use = 1300;
  accounts[0].demand = 5000;
  accounts = computed(accounts);
  EXPECT_EQ(count_over(accounts), 0u);
  EXPECT_NEAR(accounts[0].share, 1300, 1);
}

TEST(AccountShares, NoneIsOverWhileNoRequestWaits) {
  auto accounts = equal_accounts();
  accounts[3].use = accounts[3].demand = 700;
  accounts = computed(accounts);
  EXPECT_EQ(count_over(accounts), 0u);
  EXPECT_EQ(accounts[3].share, G_MAXDOUBLE);
}

TEST(AccountShares, SharesAreInProportionToTheLimits) {
  std::vector<AccountShare> accounts = {{3000, 750, 2000, 0, FALSE},
                                        {1000, 250, 2000, 0, FALSE}};
  accounts = computed(accounts);
  EXPECT_EQ(count_over(accounts), 0u);
  accounts[0].use = accounts[1].use = 500;
  accounts = computed(accounts);
  EXPECT_FALSE(accounts[0].is_over);
  EXPECT_TRUE(accounts[1].is_over);
  EXPECT_NEAR(accounts[0].share, 750, 1);
}

/* An account without a limit takes part with the mean weight, and no share is
** enforced on it. */
TEST(AccountShares, NoShareIsEnforcedWithoutALimit) {
  std::vector<AccountShare> accounts = {{1000, 100, 500, 0, FALSE},
                                        {1000, 200, 500, 0, FALSE},
                                        {0, 600, 900, 0, FALSE}};
  accounts = computed(accounts);
  EXPECT_NEAR(accounts[2].share, 300, 1);
  EXPECT_EQ(count_over(accounts), 0u);
  accounts[1].use = 600;
  accounts[1].demand = 900;
  EXPECT_TRUE(computed(accounts)[1].is_over);
}

TEST(AccountShares, EqualWeightsWhereNoLimitIsStated) {
  std::vector<AccountShare> accounts = {{0, 100, 500, 0, FALSE},
                                        {0, 300, 500, 0, FALSE}};
  accounts = computed(accounts);
  EXPECT_NEAR(accounts[0].share, 200, 1);
  EXPECT_NEAR(accounts[1].share, 200, 1);
  EXPECT_EQ(count_over(accounts), 0u);
}

TEST(AccountShares, NothingUsedAndNoAccounts) {
  account_shares_compute(nullptr, 0);
  std::vector<AccountShare> accounts = {{1000, 0, 500, 0, FALSE}};
  EXPECT_EQ(count_over(computed(accounts)), 0u);
}

/* One instance with 16 accounts, and a peer whose digests the test makes up.
** The peer has most of the load, as 70 other instances have. */
struct AccountSharesOfAnInstance : ::testing::Test {
  static constexpr gint64 step_time = 100 * 1000;
  LimitTolerance tolerance{0.1, 190000, 8 * 1000000};
  LimitSharers sharers{2, 2};
  RouteTable *table = route_table_new();
  gint64 now = 1000 * 1000;
  AccountLimits *limits = account_limits_new(&tolerance, now);
  mp_LoadDigest digest = {};

  AccountSharesOfAnInstance() {
    for (unsigned i = 0; i < account_count; i++) {
      Account *account = route_table_add_account(table);
      account->name = g_strdup(name(i).c_str());
      account->unit = ACCOUNT_TOKENS;
      account->rate = account->burst = 47000;
      digest.account[i] = {g_str_hash(account->name), 0, MP_LEVEL_UNKNOWN};
    }
    digest.account_count = digest.pending_count = account_count;
    account_limits_configure(limits, table, now);
  }
  AccountSharesOfAnInstance(const AccountSharesOfAnInstance &) = delete;
  AccountSharesOfAnInstance &
  operator=(const AccountSharesOfAnInstance &) = delete;
  ~AccountSharesOfAnInstance() override {
    account_limits_free(limits);
    route_table_unref(table);
  }
  static std::string name(unsigned i) {
    return "account-" + std::to_string(i);
  }
  /* For 4 s the peer charges 20 steps of each account in 0.1 s, and 'factor'
  ** times as many of account 5; this part of them runs, and the rest waits. */
  void report(unsigned factor, double run_share) {
    for (gint64 until = now + 40 * step_time; now < until; now += step_time) {
      for (unsigned i = 0; i < account_count; i++) {
        unsigned charged = i == 5 ? 20 * factor : 20;
        digest.account[i].spent += charged;
        digest.pending[i] +=
            static_cast<guint32>(charged * (1 - run_share) + 0.5);
      }
      account_limits_receive(limits, 99, &digest, &sharers, now);
    }
  }
  bool is_over(unsigned i) {
    return account_limits_is_over_share(limits, name(i).c_str(), now) != FALSE;
  }
};

TEST_F(AccountSharesOfAnInstance, AccountOfAFloodIsOverItsShare) {
  report(7, 0.7);
  for (unsigned i = 0; i < account_count; i++)
    EXPECT_EQ(is_over(i), i == 5) << i;
}

/* Guards against an account that stays over its share after its flood. */
TEST_F(AccountSharesOfAnInstance, AccountIsWithinAgainAfterItsFlood) {
  report(7, 0.7);
  report(1, 1);
  for (guint32 &pending : digest.pending)
    pending = 0;
  report(1, 1);
  EXPECT_FALSE(is_over(5));
}

TEST_F(AccountSharesOfAnInstance, NoAccountIsOverWhileNothingIsPending) {
  report(7, 1);
  for (unsigned i = 0; i < account_count; i++)
    EXPECT_FALSE(is_over(i)) << i;
}

TEST_F(AccountSharesOfAnInstance, UnknownAccountsAndThoseWithoutALimitAreNot) {
  report(7, 0.7);
  EXPECT_FALSE(account_limits_is_over_share(limits, "unknown", now));
  static_cast<Account *>(table->accounts->pdata[5])->rate = 0;
  account_limits_configure(limits, table, now);
  EXPECT_FALSE(is_over(5));
}

TEST_F(AccountSharesOfAnInstance, SharesAreListedByAccount) {
  AccountShare share = {};
  report(7, 0.7);
  is_over(5);
  EXPECT_STREQ(account_limits_get_share(limits, 5, &share), "account-5");
  EXPECT_TRUE(share.is_over);
  EXPECT_GT(share.use, 1.1 * share.share);
  EXPECT_EQ(account_limits_get_share(limits, account_count, &share), nullptr);
}

} // namespace
