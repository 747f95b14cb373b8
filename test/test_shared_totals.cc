/*
** test_shared_totals.cc
** Totals that instances tell of limits that they share
*/

#include <gtest/gtest.h>

extern "C" {
#include "router/shared_totals.h"
}

namespace {

constexpr gint64 ms = 1000;
constexpr gint64 silence = 700 * ms;
constexpr guint64 peer = 9;
constexpr guint32 limit = 5;

struct SharedTotal : ::testing::Test {
  SharedTotals *totals = shared_totals_new(silence);
  gint64 now = 1000000 * ms;

  ~SharedTotal() override {
    shared_totals_free(totals);
  }
  guint32 hear(guint32 total, gint64 after = 100 * ms) {
    now += after;
    return peer_totals_increase(shared_totals_receive(totals, peer, now),
                                limit, total);
  }
};

TEST_F(SharedTotal, WhatCameOnTopCounts) {
  EXPECT_EQ(hear(40), 0u);
  EXPECT_EQ(hear(47), 7u);
  EXPECT_EQ(hear(47), 0u);
}

TEST_F(SharedTotal, AfterASilenceNothingCounts) {
  hear(40);
  EXPECT_EQ(hear(90, 701 * ms), 0u);
  EXPECT_EQ(hear(92), 2u);
}

TEST_F(SharedTotal, ASmallerTotalIsOfANewLife) {
  hear(40);
  EXPECT_EQ(hear(3), 3u);
}

TEST_F(SharedTotal, PeersOfFormerAddressesAreForgotten) {
  for (guint64 address = 1; address <= 500; address++) {
    now += 300 * ms;
    shared_totals_receive(totals, address, now);
  }
  EXPECT_LE(shared_totals_peer_count(totals), 6u);
}

TEST_F(SharedTotal, TheShareIsOfThoseHeard) {
  LimitSharers sharers = {0, 1};
  EXPECT_EQ(limit_share(&sharers), 0);
  sharers = {8, 2};
  EXPECT_EQ(limit_share(&sharers), 0.25);
  sharers = {2, 3};
  EXPECT_EQ(limit_share(&sharers), 1);
}

} // namespace
