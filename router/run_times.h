/*
** run_times.h
** How long the requests of a service take, and which of them should not be
** started before a planned stop
**
** The durations are kept in buckets whose bounds grow by RUN_TIMES_GROWTH. Old
** ones lose weight as new ones come, so a change of the service is followed
** after some RUN_TIMES_WEIGHT_MAX requests. The module does no I/O and reads
** no clock; it needs a fixed amount of memory. All times are in microseconds.
** Used by router.c and stop_choice.c.
*/

#ifndef ROUTER_RUN_TIMES_H
#define ROUTER_RUN_TIMES_H

#include "madderpier.h"

/* Upper bound of the first bucket. */
#define RUN_TIMES_FIRST (50 * MP_MS)
/* A bucket is 0.25 s wide at 5 s: a tail between 3 and 8 s is resolved, which
** router/histogram.h, with steps of 1.42, cannot do. */
#define RUN_TIMES_GROWTH 1.05
/* The last bucket takes what is above 56 s. */
#define RUN_TIMES_BUCKETS 145
/* Beyond this weight of all durations, each one's weight is halved. */
#define RUN_TIMES_WEIGHT_MAX 1024
/* With fewer durations than this the share of long ones is not known, and no
** request is refused for it. A wrong refusal costs some hundredths of a
** second, a wrong start seconds, so few durations are enough. */
#define RUN_TIMES_SAMPLES_MIN 10

/* One that is all zero is empty; nothing has to be freed. */
typedef struct RunTimes {
  float weights[RUN_TIMES_BUCKETS];
  double weight; /* sum of 'weights' */
  guint samples; /* durations seen, at most RUN_TIMES_SAMPLES_MIN */
} RunTimes;

/* Adds the duration of a request that got its whole answer, from its
** acceptance to its end. */
void run_times_add(RunTimes *times, gint64 duration);
/* Returns which share of the requests is expected to take longer than
** 'duration'; 0 if too few are known, or none of them did. */
double run_times_share_longer(const RunTimes *times, gint64 duration);
/* Returns an upper bound of that share (95 % confidence); 0 if too
** few durations are known, or all requests take far less time. */
double run_times_share_longer_max(const RunTimes *times, gint64 duration);
/*
** Returns TRUE if a request should be refused when this much time is left
** until the end of the stop. A refusal costs its caller 'retry_cost'. A
** request that is started and outlasts the stop costs the time left and then
** the same retry. The request is refused if that is the higher expectation,
** or if no time is left.
*/
gboolean run_times_should_refuse(const RunTimes *times, gint64 left,
                                 gint64 retry_cost);
/* Does the same where 'share' of the requests take longer than 'left'. */
gboolean run_times_is_refused(double share, gint64 left, gint64 retry_cost);

#endif
