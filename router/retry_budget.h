/*
** retry_budget.h
** How many extra arrivals the instances may cause at one service
**
** The bound holds over all instances together, in every sliding window:
** extra arrivals <= ratio * requests + slack. Each instance counts its own
** requests and extra arrivals and those that the others tell with their
** digests, and keeps to a part of the bound that leaves room for what is
** on its way. Of what remains, it takes no more than an equal part in
** each period, a period being longer than a digest travels: so many of
** them may see the same failure at once. Instances that are not heard
** from keep their share of the slack; their requests count nothing.
**
** A young instance does not know what was spent before its life, so until
** one window has passed it spends against its own requests alone.
*/

#ifndef ROUTER_RETRY_BUDGET_H
#define ROUTER_RETRY_BUDGET_H

#include <glib.h>

#define RETRY_BUDGET_BUCKETS 20

typedef struct RetryPolicy {
  double ratio;
  double slack;  /* over all instances */
  gint64 window; /* microseconds */
  gint64 born;   /* when this instance started */
} RetryPolicy;

/* who shares the budget, as this instance sees it now */
typedef struct RetrySharers {
  unsigned instances;    /* that there are */
  unsigned heard;        /* of them, heard from lately; this one included */
  double draw;           /* random, from 0 to 1 */
  gboolean in_summaries; /* some are heard in summaries alone */
} RetrySharers;

typedef struct RetryCounts {
  guint32 requests;
  guint32 extras;
} RetryCounts;

typedef struct RetryBudget {
  gint64 bucket[RETRY_BUDGET_BUCKETS]; /* which span of time it counts */
  RetryCounts own[RETRY_BUDGET_BUCKETS];
  RetryCounts others[RETRY_BUDGET_BUCKETS];
  RetryCounts total; /* own, since the start; told to the others */
  RetryCounts near;  /* heard of instances, not of data centres, since then */
  gint64 period;     /* the present one's number */
  guint32 period_quota; /* extra arrivals it allows here */
  guint32 period_taken;
} RetryBudget;

/* a request for the service came */
void retry_budget_count_request(RetryBudget *budget, const RetryPolicy *policy,
                                gint64 now);
/* an extra arrival that could not be helped */
void retry_budget_count_extra(RetryBudget *budget, const RetryPolicy *policy,
                              gint64 now);
/* another instance has told so many more */
void retry_budget_add_others(RetryBudget *budget, const RetryPolicy *policy,
                             const RetryCounts *more, gint64 now);
/* requests a second that other instances get: lately, or over the window if
** that is more, since after a pause they may come back at once */
double retry_budget_others_rate(const RetryBudget *budget,
                                const RetryPolicy *policy, gint64 now);
/* would there be one more extra arrival left, by the bound alone? */
gboolean retry_budget_has_extra(RetryBudget *budget, const RetryPolicy *policy,
                                const RetrySharers *sharers, gint64 now);
/* may there be one more extra arrival? Spends it when so */
gboolean retry_budget_try_take(RetryBudget *budget, const RetryPolicy *policy,
                               const RetrySharers *sharers, gint64 now);

#endif
