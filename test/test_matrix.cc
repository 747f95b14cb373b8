/*
** test_matrix.cc
** The cells of the fault matrix that every run checks
** Every step with every fault, alone and twice, for both kinds of class;
** and pairs of different faults, of which a fixed share is run here and
** all by 'make matrix'.
*/

#include <gtest/gtest.h>

#include "matrix.h"

using namespace matrix;

namespace {

void expect(const Cell &c) {
  Outcome o = play(c);
  for (auto &b : o.broken)
    ADD_FAILURE() << name(c) << ": " << b;
}

struct Matrix : ::testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(Matrix, Single) {
  auto step = static_cast<Step>(std::get<0>(GetParam()));
  auto fault = static_cast<Fault>(std::get<1>(GetParam()));
  for (int kind = 0; kind < KINDS; kind++) {
    for (int twice = 0; twice < 2; twice++)
      expect({static_cast<Kind>(kind), step, fault, FAULTS, twice, 1, 0});
  }
}

/* the same with every switch of the policy off */
TEST_P(Matrix, Baseline) {
  auto step = static_cast<Step>(std::get<0>(GetParam()));
  auto fault = static_cast<Fault>(std::get<1>(GetParam()));
  expect({KIND_ASK, step, fault, FAULTS, 1, 1, 1});
}

/* pairs: one step in eleven for each pair, turning with the pair */
TEST_P(Matrix, Pairs) {
  int step = std::get<0>(GetParam());
  int first = std::get<1>(GetParam());
  for (int second = 0; second < FAULTS; second++) {
    if (second == first || (first * 31 + second) % STEP_COUNT != step)
      continue;
    expect({static_cast<Kind>((first + second) % KINDS),
            static_cast<Step>(step), static_cast<Fault>(first),
            static_cast<Fault>(second), 0, 1, 0});
  }
}

INSTANTIATE_TEST_SUITE_P(Every, Matrix,
                         ::testing::Combine(::testing::Range(0,
                                                             (int)STEP_COUNT),
                                            ::testing::Range(0, (int)FAULTS)));

/* the step must be reached, else a cell shows nothing */
TEST(MatrixSense, EveryStepIsStruck) {
  for (int step = 0; step < STEP_COUNT; step++) {
    Outcome o = play(
        {KIND_ONCE, static_cast<Step>(step), FAULT_TWICE, FAULTS, 0, 1, 0});
    EXPECT_TRUE(o.struck) << step_names[step];
    EXPECT_EQ(o.end, "answered") << step_names[step];
  }
}

} // namespace
