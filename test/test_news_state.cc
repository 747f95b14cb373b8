/*
** test_news_state.cc
** Tests of how far the position that an instance holds is behind the newest
** one that any instance has reported
*/

#include <gtest/gtest.h>

extern "C" {
#include "router/news_state.h"
}

namespace {

TEST(NewsStateTest, LagCountsFromAReportUntilTheRevisionIsHeld) {
  NewsState state = {};
  news_state_advance_held(&state, store_position(0, 10), 100);
  news_state_advance_newest(&state, store_position(0, 10), 200);
  EXPECT_EQ(news_state_lag(&state, 300), 0);
  news_state_advance_newest(&state, store_position(0, 12), 400);
  news_state_advance_newest(&state, store_position(0, 14), 500);
  EXPECT_EQ(news_state_lag(&state, 600), 200);
  news_state_advance_held(&state, store_position(0, 12), 700);
  EXPECT_EQ(news_state_lag(&state, 800), 400);
  news_state_advance_held(&state, store_position(0, 14), 900);
  EXPECT_EQ(news_state_lag(&state, 1000), 0);
}

TEST(NewsStateTest, PositionsNeverMoveBack) {
  NewsState state = {};
  news_state_advance_held(&state, store_position(0, 10), 100);
  news_state_advance_held(&state, store_position(0, 7), 200);
  news_state_advance_newest(&state, store_position(0, 9), 300);
  EXPECT_EQ(state.held.revision, 10);
  EXPECT_EQ(news_state_lag(&state, 400), 0);
}

TEST(NewsStateTest, PositionOfAnOlderEraIsBehindANewerOne) {
  NewsState state = {};
  news_state_advance_held(&state, store_position(1, 40), 100);
  news_state_advance_newest(&state, store_position(2, 31), 200);
  EXPECT_TRUE(news_state_is_behind(&state));
  news_state_advance_held(&state, store_position(2, 31), 300);
  EXPECT_FALSE(news_state_is_behind(&state));
  /* from an instance that is cut off from the restored store */
  news_state_advance_newest(&state, store_position(1, 90), 400);
  EXPECT_FALSE(news_state_is_behind(&state));
}

} // namespace
