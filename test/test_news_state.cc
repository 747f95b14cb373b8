/*
** test_news_state.cc
** How an instance's knowledge compares to what any instance has named
*/

#include <gtest/gtest.h>

extern "C" {
#include "router/news_state.h"
}

namespace {

TEST(NewsState, LagsFromTheNamingToTheHolding) {
  NewsState state = {};
  news_state_hold(&state, 10, 100);
  news_state_name(&state, 10, 200);
  EXPECT_EQ(news_state_lag(&state, 300), 0);
  news_state_name(&state, 12, 400);
  news_state_name(&state, 14, 500);
  EXPECT_EQ(news_state_lag(&state, 600), 200);
  news_state_hold(&state, 12, 700);
  EXPECT_EQ(news_state_lag(&state, 800), 400);
  news_state_hold(&state, 14, 900);
  EXPECT_EQ(news_state_lag(&state, 1000), 0);
}

TEST(NewsState, NeverGoesBack) {
  NewsState state = {};
  news_state_hold(&state, 10, 100);
  news_state_hold(&state, 7, 200);
  news_state_name(&state, 9, 300);
  EXPECT_EQ(state.held, 10);
  EXPECT_EQ(news_state_lag(&state, 400), 0);
}

} // namespace
