/*
** retry_budget.h
** Limits how many extra arrivals the instances cause at one service
**
** An extra arrival is any arrival of a request at an endpoint beyond its
** first. The limit holds over all instances together, in every sliding window:
** extra arrivals <= ratio * requests + slack. Each instance counts its own
** requests and extra arrivals and those that other instances report in their
** load digests, and uses only a part of the limit, which leaves room for
** reports that are still in transit. In each period it takes no more than an
** equal share of what remains, because all instances may see the same failure
** at once; a period is longer than a digest travels. Instances that are not
** heard from keep their share of the slack; their requests don't count.
**
** An instance that has just started does not know what was spent before. Until
** one window has passed it spends against its own requests alone.
*/

#ifndef ROUTER_RETRY_BUDGET_H
#define ROUTER_RETRY_BUDGET_H

#include <glib.h>

#define RETRY_BUDGET_BUCKETS 20

/* Settings of the budget, and the start of this instance. */
typedef struct RetryPolicy {
  double ratio; /* Extra arrivals allowed per request. */
  /* Extra arrivals allowed beyond the ratio, over all instances. */
  double slack;
  gint64 window; /* Length of the sliding window, us. */
  gint64 born;   /* Time at which this instance started, us. */
} RetryPolicy;

/* The instances that share the budget, as this one sees them now. */
typedef struct RetrySharers {
  unsigned instances; /* Number of all instances. */
  /* Number of those heard from recently, this one included. */
  unsigned heard;
  double draw; /* Random number, uniform from 0 to 1. */
  /* Some are heard from only through summaries of their data centres. */
  gboolean in_summaries;
} RetrySharers;

/* Numbers of requests and of extra arrivals. */
typedef struct RetryCounts {
  guint32 requests;
  guint32 extras;
} RetryCounts;

/* Counts for one service; a zeroed one is valid. */
typedef struct RetryBudget {
  /* Number of the time span that each bucket counts. */
  gint64 bucket[RETRY_BUDGET_BUCKETS];
  RetryCounts own[RETRY_BUDGET_BUCKETS];    /* This instance's counts. */
  RetryCounts others[RETRY_BUDGET_BUCKETS]; /* As other instances report. */
  /* Own counts since the start, which are reported to the others. */
  RetryCounts total;
  /* Counts reported by instances, not by summaries, since the start. */
  RetryCounts near;
  gint64 period; /* Number of the present period. */
  /* Extra arrivals that this instance may cause in the period. */
  guint32 period_quota;
  guint32 period_taken; /* Those that it has caused in the period. */
} RetryBudget;

/* Counts a request for the service. */
void retry_budget_count_request(RetryBudget *budget, const RetryPolicy *policy,
                                gint64 now);
/* Counts an extra arrival that could not be avoided. */
void retry_budget_count_extra(RetryBudget *budget, const RetryPolicy *policy,
                              gint64 now);
/* Adds what another instance has reported beyond its last report. */
void retry_budget_add_others(RetryBudget *budget, const RetryPolicy *policy,
                             const RetryCounts *more, gint64 now);
/*
** Returns the requests per second that other instances receive: recently, or
** over the window if that is more, because they may return at once after a
** pause.
*/
double retry_budget_others_rate(const RetryBudget *budget,
                                const RetryPolicy *policy, gint64 now);
/* Returns TRUE when one more extra arrival remains, by the limit alone. */
gboolean retry_budget_has_extra(RetryBudget *budget, const RetryPolicy *policy,
                                const RetrySharers *sharers, gint64 now);
/* Returns TRUE when one more extra arrival is allowed now, and counts it. */
gboolean retry_budget_try_take(RetryBudget *budget, const RetryPolicy *policy,
                               const RetrySharers *sharers, gint64 now);

#endif
