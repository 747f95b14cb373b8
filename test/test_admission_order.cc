/*
** test_admission_order.cc
** Tests of the order in which waiting requests start
*/

#include <gtest/gtest.h>

extern "C" {
#include "router/admission_order.h"
}

namespace {

constexpr gint64 ms = 1000;
constexpr gint64 now = 100000 * ms;

/* Returns a request of this priority that came this long ago; its objective is
** 1 s. */
AdmissionInput waiting(guint priority, gint64 waited) {
  AdmissionInput input = {};
  input.arrived = now - waited;
  input.first_attempt_at = now - waited;
  input.objective = 1000 * ms;
  input.priority = priority;
  return input;
}

int compare(const AdmissionInput &one, const AdmissionInput &other) {
  AdmissionRank first = admission_order_rank(&one, now);
  AdmissionRank second = admission_order_rank(&other, now);
  EXPECT_EQ(admission_order_compare(&first, &second),
            -admission_order_compare(&second, &first));
  return admission_order_compare(&first, &second);
}

bool yields(const AdmissionInput &one, const AdmissionInput &other) {
  AdmissionRank first = admission_order_rank(&one, now);
  AdmissionRank second = admission_order_rank(&other, now);
  return admission_order_yields(&first, &second);
}

/* Guards against late requests that take room from those in time: the overload
** then outlives its cause. */
TEST(AdmissionOrder, InTimeBeforeLateWhateverThePriority) {
  EXPECT_LT(compare(waiting(9, 100 * ms), waiting(0, 700 * ms)), 0);
  EXPECT_TRUE(yields(waiting(0, 700 * ms), waiting(9, 100 * ms)));
  EXPECT_FALSE(yields(waiting(9, 100 * ms), waiting(0, 700 * ms)));
}

/* Guards against a priority that is read and not used. */
TEST(AdmissionOrder, HigherPriorityBeforeSeniority) {
  EXPECT_LT(compare(waiting(0, 0), waiting(2, 400 * ms)), 0);
  EXPECT_LT(compare(waiting(0, 700 * ms), waiting(2, 900 * ms)), 0);
  EXPECT_TRUE(yields(waiting(2, 400 * ms), waiting(0, 0)));
  EXPECT_FALSE(yields(waiting(2, 400 * ms), waiting(2, 450 * ms)));
}

TEST(AdmissionOrder, AccountWithinItsShareBeforeOneOverIt) {
  AdmissionInput over = waiting(2, 400 * ms);
  over.over_share = TRUE;
  EXPECT_LT(compare(waiting(2, 0), over), 0);
  over.priority = 1;
  EXPECT_GT(compare(waiting(2, 0), over), 0);
}

/* Guards against starvation by a steady load of higher priorities, and against
** an aged request that passes those of the highest priority. */
TEST(AdmissionOrder, AgedRequestCountsAsOnePriorityHigherButNotAsZero) {
  EXPECT_GT(compare(waiting(2, 499 * ms), waiting(1, 0)), 0);
  EXPECT_LT(compare(waiting(2, 500 * ms), waiting(1, 0)), 0);
  EXPECT_GT(compare(waiting(1, 600 * ms), waiting(0, 0)), 0);
  EXPECT_GT(compare(waiting(3, 600 * ms), waiting(1, 0)), 0);
}

TEST(AdmissionOrder, PrefilledRequestIsASecondMoreSeniorAndNeverLate) {
  AdmissionInput prefilled = waiting(0, 800 * ms);
  prefilled.is_prefilled = TRUE;
  EXPECT_LT(compare(prefilled, waiting(0, 100 * ms)), 0);
  prefilled.arrived = now - 100 * ms;
  EXPECT_LT(compare(prefilled, waiting(0, 600 * ms)), 0);
}

/* Guards against an order of late requests by their first try: the one that is
** late for longest would always go first. */
TEST(AdmissionOrder, LateRequestsInOrderOfArrival) {
  AdmissionInput retry = waiting(0, 100 * ms);
  retry.first_attempt_at = now - 3000 * ms;
  EXPECT_GT(compare(retry, waiting(0, 800 * ms)), 0);
}

/* A token of expected output weighs 0.7 ms: 200 tokens are 140 ms. */
TEST(AdmissionOrder, LongerOutputIsLessSenior) {
  AdmissionInput longer = waiting(0, 239 * ms);
  longer.expected_output = 200;
  EXPECT_GT(compare(longer, waiting(0, 100 * ms)), 0);
  longer = waiting(0, 241 * ms);
  longer.expected_output = 200;
  EXPECT_LT(compare(longer, waiting(0, 100 * ms)), 0);
}

/* Guards against hints that are absent or larger than what may be
** generated. */
TEST(AdmissionOrder, ExpectedOutputIsBounded) {
  EXPECT_EQ(admission_order_expected_output(0, 500), 250u);
  EXPECT_EQ(admission_order_expected_output(30, 500), 30u);
  EXPECT_EQ(admission_order_expected_output(9000, 500), 500u);
  EXPECT_EQ(admission_order_expected_output(9000, 0), 0u);
}

/* An objective of 0 makes a request late at once, as before. */
TEST(AdmissionOrder, NoObjectiveIsLate) {
  AdmissionInput input = waiting(0, 0);
  input.objective = 0;
  EXPECT_TRUE(admission_order_rank(&input, now).is_late);
}

} // namespace
