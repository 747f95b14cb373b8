/*
** retry_budget.h
** How many extra arrivals an instance may cause at one service
**
** The bound holds over all instances together, in every sliding window:
** extra arrivals <= ratio * requests + slack. Each instance keeps to its
** own requests' part of the first term and to an equal share of the
** second, with a margin on both, so the sum holds without messages. A
** young instance does not know what its forerunner spent, so it gets no
** share of the slack until one window has passed.
*/

#ifndef ROUTER_RETRY_BUDGET_H
#define ROUTER_RETRY_BUDGET_H

#include <glib.h>

#define RETRY_BUDGET_BUCKETS 20

typedef struct RetryPolicy {
  double ratio;
  double slack;  /* this instance's share */
  gint64 window; /* microseconds */
  gint64 born;   /* when this instance started */
} RetryPolicy;

typedef struct RetryBudget {
  gint64 bucket[RETRY_BUDGET_BUCKETS]; /* which span of time it counts */
  guint32 requests[RETRY_BUDGET_BUCKETS];
  guint32 extras[RETRY_BUDGET_BUCKETS];
} RetryBudget;

/* a request for the service came */
void retry_budget_request(RetryBudget *budget, const RetryPolicy *policy,
                          gint64 now);
/* an extra arrival that could not be helped */
void retry_budget_spend(RetryBudget *budget, const RetryPolicy *policy,
                        gint64 now);
/* may there be one more? Spends it when so */
gboolean retry_budget_take(RetryBudget *budget, const RetryPolicy *policy,
                           gint64 now);

#endif
