/*
** retry_budget.c
** Sliding-window counts of requests and of extra arrivals
*/

#include "router/retry_budget.h"

/* parts of the bound that are really used: instances' windows differ by
** messages on their way, and the slack is shared by a count that lags */
#define RATIO_MARGIN 0.75
#define SLACK_MARGIN 0.6

static guint slot(RetryBudget *budget, const RetryPolicy *policy, gint64 now) {
  gint64 span = policy->window / (RETRY_BUDGET_BUCKETS - 1);
  gint64 number = now / MAX(span, 1);
  guint i = (guint)(number % RETRY_BUDGET_BUCKETS);
  if (budget->bucket[i] != number) {
    budget->bucket[i] = number;
    budget->requests[i] = 0;
    budget->extras[i] = 0;
  }
  return i;
}

void retry_budget_request(RetryBudget *budget, const RetryPolicy *policy,
                          gint64 now) {
  budget->requests[slot(budget, policy, now)]++;
}

void retry_budget_spend(RetryBudget *budget, const RetryPolicy *policy,
                        gint64 now) {
  budget->extras[slot(budget, policy, now)]++;
}

gboolean retry_budget_take(RetryBudget *budget, const RetryPolicy *policy,
                           gint64 now) {
  guint at = slot(budget, policy, now);
  gint64 newest = budget->bucket[at];
  double requests = 0;
  double extras = 0;
  double allowed;
  guint i;
  for (i = 0; i < RETRY_BUDGET_BUCKETS; i++) {
    if (budget->bucket[i] <= newest - RETRY_BUDGET_BUCKETS)
      continue;
    requests += budget->requests[i];
    extras += budget->extras[i];
  }
  allowed = policy->ratio * RATIO_MARGIN * requests;
  if (now - policy->born >= policy->window)
    allowed += policy->slack * SLACK_MARGIN;
  if (extras + 1 > allowed)
    return FALSE;
  budget->extras[at]++;
  return TRUE;
}
