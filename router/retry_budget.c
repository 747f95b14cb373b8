/*
** retry_budget.c
** Counts requests and extra arrivals in a sliding window
*/

#include "madderpier.h"
#include "router/retry_budget.h"

/*
** Shares of the limit's two parts that are used: the windows of two instances
** differ by the messages in transit.
*/
#define RATIO_MARGIN 0.75
#define SLACK_MARGIN 0.6
/*
** The same where others are heard from through summaries: what they spend is
** known later, and in 0.3 s some hundred prompts may be refused, which nothing
** can prevent beforehand. (58 instances, a quarter of the engines lost in a
** burst: 408 to 504 extra arrivals of 395 to 416 allowed, with 0.75 and 0.6.)
*/
#define RATIO_MARGIN_SUMMED 0.6
#define SLACK_MARGIN_SUMMED 0.45
/*
** Length of a period: longer than a digest takes to arrive, its wait for its
** turn included; the same for a summary of another data centre, which waits up
** to 0.2 s and travels over two relays.
*/
#define QUOTA_PERIOD (300 * MP_MS)
#define QUOTA_PERIOD_SUMMED (800 * MP_MS)

/*
** Number of complete buckets that show the present rate: some 2 s of a window
** of 10 s.
*/
#define RECENT_BUCKETS 4

/*
** Returns the index of the bucket for 'now', and clears the bucket when it
** counted an earlier span of time.
*/
static guint current_bucket(RetryBudget *budget, const RetryPolicy *policy,
                            gint64 now) {
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
  budget->own[current_bucket(budget, policy, now)].requests++;
  budget->total.requests++;
}

void retry_budget_count_extra(RetryBudget *budget, const RetryPolicy *policy,
                              gint64 now) {
  budget->own[current_bucket(budget, policy, now)].extras++;
  budget->total.extras++;
}

void retry_budget_add_others(RetryBudget *budget, const RetryPolicy *policy,
                             const RetryCounts *more, gint64 now) {
  RetryCounts *others = &budget->others[current_bucket(budget, policy, now)];
  others->requests += more->requests;
  others->extras += more->extras;
}

static gboolean is_in_first_window(const RetryPolicy *policy, gint64 now) {
  return now - policy->born < policy->window;
}

/* Returns the extra arrivals that the window still allows. */
static double remaining_extras(RetryBudget *budget, const RetryPolicy *policy,
                               const RetrySharers *sharers, gint64 now) {
  gint64 newest = budget->bucket[current_bucket(budget, policy, now)];
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
    if (is_in_first_window(policy, now))
      continue;
    requests += budget->others[i].requests;
    extras += budget->others[i].extras;
  }
  requests *= policy->ratio *
              (sharers->in_summaries ? RATIO_MARGIN_SUMMED : RATIO_MARGIN);
  if (is_in_first_window(policy, now))
    return requests - extras;
  slack = policy->slack *
          (sharers->in_summaries ? SLACK_MARGIN_SUMMED : SLACK_MARGIN);
  return requests + slack * MIN(heard, 1.0) - extras;
}

/*
** Returns the requests per second of other instances over so many complete
** buckets before the present one.
*/
static double others_rate_over(const RetryBudget *budget,
                               const RetryPolicy *policy, gint64 buckets,
                               gint64 now) {
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
  double recent = others_rate_over(budget, policy, RECENT_BUCKETS, now);
  double window =
      others_rate_over(budget, policy, RETRY_BUDGET_BUCKETS - 1, now);
  return MAX(recent, window);
}

static gint64 quota_period(const RetrySharers *sharers, gint64 now) {
  return now / (sharers->in_summaries ? QUOTA_PERIOD_SUMMED : QUOTA_PERIOD);
}

/*
** Begins a period with an equal share of what remains; its fraction is rounded
** up or down at random, once a period.
*/
static void begin_period(RetryBudget *budget, const RetryPolicy *policy,
                         const RetrySharers *sharers, double left,
                         gint64 now) {
  unsigned sharing =
      is_in_first_window(policy, now) ? 1 : MAX(sharers->heard, 1);
  double share = MAX(left, 0) / sharing;
  budget->period = quota_period(sharers, now);
  budget->period_taken = 0;
  budget->period_quota = (guint32)share;
  budget->period_quota += sharers->draw < share - budget->period_quota;
}

gboolean retry_budget_has_extra(RetryBudget *budget, const RetryPolicy *policy,
                                const RetrySharers *sharers, gint64 now) {
  return remaining_extras(budget, policy, sharers, now) >= 1;
}

gboolean retry_budget_try_take(RetryBudget *budget, const RetryPolicy *policy,
                               const RetrySharers *sharers, gint64 now) {
  double left = remaining_extras(budget, policy, sharers, now);
  if (budget->period != quota_period(sharers, now))
    begin_period(budget, policy, sharers, left, now);
  if (left < 1 || budget->period_taken >= budget->period_quota)
    return FALSE;
  budget->period_taken++;
  retry_budget_count_extra(budget, policy, now);
  return TRUE;
}
