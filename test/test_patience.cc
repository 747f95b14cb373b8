/*
** test_patience.cc
** The longest time that callers of a route had lately
*/

#include <gtest/gtest.h>

extern "C" {
#include "router/patience.h"
}

namespace {

constexpr gint64 second = MP_SEC;

struct Patience : ::testing::Test {
  PatienceTable *table = patience_table_new();
  ~Patience() override {
    patience_table_free(table);
  }
  gint64 note(const char *route, gint64 patience, gint64 now) {
    return patience_table_observe(table, route, patience, now);
  }
};

TEST_F(Patience, TheLongestOfARouteCounts) {
  EXPECT_EQ(note("a", 6 * second, second), 6 * second);
  EXPECT_EQ(note("a", 14 * second, second), 14 * second);
  EXPECT_EQ(note("a", 5 * second, second), 14 * second);
  EXPECT_EQ(note("b", 5 * second, second), 5 * second);
}

TEST_F(Patience, LastsForAWindowAndTwoAtMost) {
  note("a", 14 * second, 0);
  EXPECT_EQ(note("a", 5 * second, PATIENCE_WINDOW - 1), 14 * second);
  EXPECT_EQ(note("a", 5 * second, PATIENCE_WINDOW + second), 14 * second);
  EXPECT_EQ(note("a", 5 * second, 2 * PATIENCE_WINDOW + 2 * second),
            5 * second);
}

TEST_F(Patience, AfterASilenceNothingIsKnown) {
  note("a", 14 * second, 0);
  EXPECT_EQ(note("a", 5 * second, 2 * PATIENCE_WINDOW), 5 * second);
}

} // namespace
