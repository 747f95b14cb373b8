/*
** test_matrix.cc
** The cells of the fault matrix that every test run checks
**
** They guard against promises broken by a fault at some step of a request:
** each step with each fault, once and twice, for both classes, and pairs of
** different faults, of which a fixed share runs here and all in 'make matrix'.
*/

#include <gtest/gtest.h>

#include "matrix.h"

using namespace matrix;

namespace {

void expect_promises_kept(const Cell &c) {
  Outcome o = run_cell(c);
  for (auto &b : o.broken)
    ADD_FAILURE() << name(c) << ": " << b;
}

struct Matrix : ::testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(Matrix, SingleFaultBreaksNoPromise) {
  auto step = static_cast<Step>(std::get<0>(GetParam()));
  auto fault = static_cast<Fault>(std::get<1>(GetParam()));
  for (int kind = 0; kind < KIND_COUNT; kind++) {
    for (int twice = 0; twice < 2; twice++)
      expect_promises_kept(
          {static_cast<Kind>(kind), step, fault, FAULT_COUNT, twice, 1, 0});
  }
}

/* The same with all switches of the policy off. */
TEST_P(Matrix, FaultWithPolicyOffBreaksNoPromise) {
  auto step = static_cast<Step>(std::get<0>(GetParam()));
  auto fault = static_cast<Fault>(std::get<1>(GetParam()));
  expect_promises_kept({KIND_ASK, step, fault, FAULT_COUNT, 1, 1, 1});
}

/* Pairs of faults: each pair at one of the eleven steps. */
TEST_P(Matrix, PairOfFaultsBreaksNoPromise) {
  int step = std::get<0>(GetParam());
  int first = std::get<1>(GetParam());
  for (int second = 0; second < FAULT_COUNT; second++) {
    if (second == first || (first * 31 + second) % STEP_COUNT != step)
      continue;
    expect_promises_kept({static_cast<Kind>((first + second) % KIND_COUNT),
                          static_cast<Step>(step), static_cast<Fault>(first),
                          static_cast<Fault>(second), 0, 1, 0});
  }
}

INSTANTIATE_TEST_SUITE_P(
    Every, Matrix,
    ::testing::Combine(::testing::Range(0, (int)STEP_COUNT),
                       ::testing::Range(0, (int)FAULT_COUNT)));

/* A cell whose request does not reach the step tests nothing. */
TEST(MatrixCoverage, EveryStepIsReached) {
  for (int step = 0; step < STEP_COUNT; step++) {
    Outcome o = run_cell({KIND_ONCE, static_cast<Step>(step), FAULT_TWICE,
                          FAULT_COUNT, 0, 1, 0});
    EXPECT_TRUE(o.struck) << step_names[step];
    EXPECT_EQ(o.end, "answered") << step_names[step];
  }
}

} // namespace
