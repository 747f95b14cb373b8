/*
** retry_budget.c
** Sliding-window counts of requests and of extra arrivals
*/

#include "madderpier.h"
#include "router/retry_budget.h"

/* parts of the bound that are really used: instances' windows differ by
** messages on their way */
#define RATIO_MARGIN 0.75
#define SLACK_MARGIN 0.6
/* longer than a digest is on its way, its wait for its turn included */
#define PERIOD (300 * MP_MS)

static guint slot(RetryBudget *budget, const RetryPolicy *policy, gint64 now) {
  static const RetryCounts none = {0, 0};
  gint64 span = policy->window / (RETRY_BUDGET_BUCKETS - 1);
  gint64 number = now / MAX(span, 1);
  guint i = (guint)(number % RETRY_BUDGET_BUCKETS);
  if (budget->bucket[i] != number) {
    budget->bucket[i] = number;
    budget->own[i] = none;
    budget->others[i] = none;
  }
  return i;
}

void retry_budget_request(RetryBudget *budget, const RetryPolicy *policy,
                          gint64 now) {
  budget->own[slot(budget, policy, now)].requests++;
  budget->total.requests++;
}

void retry_budget_spend(RetryBudget *budget, const RetryPolicy *policy,
                        gint64 now) {
  budget->own[slot(budget, policy, now)].extras++;
  budget->total.extras++;
}

void retry_budget_hear(RetryBudget *budget, const RetryPolicy *policy,
                       const RetryCounts *more, gint64 now) {
  RetryCounts *others = &budget->others[slot(budget, policy, now)];
  others->requests += more->requests;
  others->extras += more->extras;
}

static gboolean is_young(const RetryPolicy *policy, gint64 now) {
  return now - policy->born < policy->window;
}

/* extra arrivals that the window still allows */
static double remaining(RetryBudget *budget, const RetryPolicy *policy,
                        const RetrySharers *sharers, gint64 now) {
  gint64 newest = budget->bucket[slot(budget, policy, now)];
  double heard = (double)sharers->heard / MAX(sharers->instances, 1);
  double requests = 0;
  double extras = 0;
  guint i;
  for (i = 0; i < RETRY_BUDGET_BUCKETS; i++) {
    if (budget->bucket[i] <= newest - RETRY_BUDGET_BUCKETS)
      continue;
    requests += budget->own[i].requests;
    extras += budget->own[i].extras;
    if (is_young(policy, now))
      continue;
    requests += budget->others[i].requests;
    extras += budget->others[i].extras;
  }
  requests *= policy->ratio * RATIO_MARGIN;
  if (is_young(policy, now))
    return requests - extras;
  return requests + policy->slack * SLACK_MARGIN * MIN(heard, 1.0) - extras;
}

/* an equal part of what remains; a fraction by lot, once a period */
static void begin_period(RetryBudget *budget, const RetryPolicy *policy,
                         const RetrySharers *sharers, double left,
                         gint64 now) {
  unsigned among = is_young(policy, now) ? 1 : MAX(sharers->heard, 1);
  double part = MAX(left, 0) / among;
  budget->period = now / PERIOD;
  budget->period_taken = 0;
  budget->period_quota = (guint32)part;
  budget->period_quota += sharers->draw < part - budget->period_quota;
}

gboolean retry_budget_left(RetryBudget *budget, const RetryPolicy *policy,
                           const RetrySharers *sharers, gint64 now) {
  return remaining(budget, policy, sharers, now) >= 1;
}

gboolean retry_budget_take(RetryBudget *budget, const RetryPolicy *policy,
                           const RetrySharers *sharers, gint64 now) {
  double left = remaining(budget, policy, sharers, now);
  if (budget->period != now / PERIOD)
    begin_period(budget, policy, sharers, left, now);
  if (left < 1 || budget->period_taken >= budget->period_quota)
    return FALSE;
  budget->period_taken++;
  retry_budget_spend(budget, policy, now);
  return TRUE;
}
