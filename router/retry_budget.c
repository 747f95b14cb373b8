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
/* the same where others are heard in summaries: what they spend is known
** later, and in 0.3 s some hundred prompts may be turned away, which nothing
** can refuse beforehand (58 instances, a quarter of the engines lost in a
** burst: 408 to 504 extra arrivals of 395 to 416 allowed with 0.75 and 0.6) */
#define RATIO_MARGIN_SUMMED 0.6
#define SLACK_MARGIN_SUMMED 0.45
/* longer than a digest is on its way, its wait for its turn included; and the
** same for a summary of another data centre: 0.2 s until the next one, and a
** way over two relays */
#define PERIOD (300 * MP_MS)
#define PERIOD_SUMMED (800 * MP_MS)

/* whole buckets that tell what comes now: some 2 s of a window of 10 s */
#define LATELY_BUCKETS 4

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

void retry_budget_count_request(RetryBudget *budget, const RetryPolicy *policy,
                                gint64 now) {
  budget->own[slot(budget, policy, now)].requests++;
  budget->total.requests++;
}

void retry_budget_count_extra(RetryBudget *budget, const RetryPolicy *policy,
                              gint64 now) {
  budget->own[slot(budget, policy, now)].extras++;
  budget->total.extras++;
}

void retry_budget_add_others(RetryBudget *budget, const RetryPolicy *policy,
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
  double slack;
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
  requests *= policy->ratio *
              (sharers->in_summaries ? RATIO_MARGIN_SUMMED : RATIO_MARGIN);
  if (is_young(policy, now))
    return requests - extras;
  slack = policy->slack *
          (sharers->in_summaries ? SLACK_MARGIN_SUMMED : SLACK_MARGIN);
  return requests + slack * MIN(heard, 1.0) - extras;
}

/* of others, a second, over so many whole buckets before the present one */
static double others_over(const RetryBudget *budget, const RetryPolicy *policy,
                          gint64 buckets, gint64 now) {
  gint64 span = MAX(policy->window / (RETRY_BUDGET_BUCKETS - 1), 1);
  gint64 newest = now / span;
  double requests = 0;
  guint i;
  for (i = 0; i < RETRY_BUDGET_BUCKETS; i++) {
    gint64 age = newest - budget->bucket[i];
    if (age > 0 && age <= buckets)
      requests += budget->others[i].requests;
  }
  return requests * MP_SEC / (double)(buckets * span);
}

double retry_budget_others_rate(const RetryBudget *budget,
                                const RetryPolicy *policy, gint64 now) {
  double lately = others_over(budget, policy, LATELY_BUCKETS, now);
  double window = others_over(budget, policy, RETRY_BUDGET_BUCKETS - 1, now);
  return MAX(lately, window);
}

static gint64 period_of(const RetrySharers *sharers, gint64 now) {
  return now / (sharers->in_summaries ? PERIOD_SUMMED : PERIOD);
}

/* an equal part of what remains; a fraction by lot, once a period */
static void begin_period(RetryBudget *budget, const RetryPolicy *policy,
                         const RetrySharers *sharers, double left,
                         gint64 now) {
  unsigned among = is_young(policy, now) ? 1 : MAX(sharers->heard, 1);
  double part = MAX(left, 0) / among;
  budget->period = period_of(sharers, now);
  budget->period_taken = 0;
  budget->period_quota = (guint32)part;
  budget->period_quota += sharers->draw < part - budget->period_quota;
}

gboolean retry_budget_has_extra(RetryBudget *budget, const RetryPolicy *policy,
                                const RetrySharers *sharers, gint64 now) {
  return remaining(budget, policy, sharers, now) >= 1;
}

gboolean retry_budget_try_take(RetryBudget *budget, const RetryPolicy *policy,
                               const RetrySharers *sharers, gint64 now) {
  double left = remaining(budget, policy, sharers, now);
  if (budget->period != period_of(sharers, now))
    begin_period(budget, policy, sharers, left, now);
  if (left < 1 || budget->period_taken >= budget->period_quota)
    return FALSE;
  budget->period_taken++;
  retry_budget_count_extra(budget, policy, now);
  return TRUE;
}
