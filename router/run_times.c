/*
** run_times.c
** How long the requests of a service take, and which of them should not be
** started before a planned stop
*/

#include <math.h>

#include "router/run_times.h"

/* Added to the number of the longer durations, and to that of the shorter
** ones: of few durations hardly any is in the tail, which then seems shorter
** than it is. */
#define UNSEEN_DURATIONS 0.5

/* Of durations that all were shorter than a given one, a share of up to 3 in
** their number may be longer (95 % confidence). */
#define UNSEEN_DURATIONS_MAX 3
/* Durations that were never seen are assumed up to this multiple of the
** longest one that was: a service whose requests take 0.1 s is not expected to
** take 7 s. Of 20 requests with a tail up to 8 s, the longest takes 2.5 s. */
#define UNSEEN_RATIO_MAX 4
/* Weights below this, of durations that came some 3000 requests ago, do not
** tell how long requests take. */
#define FORGOTTEN_WEIGHT 0.02

/* Returns the position of a duration on the scale of the buckets: bucket i
** covers positions from i to i + 1. */
static double position_of(gint64 duration) {
  double ratio = (double)MAX(duration, 1) / (double)RUN_TIMES_FIRST;
  double position = 1 + log(ratio) / log(RUN_TIMES_GROWTH);
  return CLAMP(position, 0.0, RUN_TIMES_BUCKETS - 1.0);
}

void run_times_add(RunTimes *times, gint64 duration) {
  guint i;
  times->weights[(guint)position_of(duration)] += 1;
  times->weight += 1;
  times->samples = MIN(times->samples + 1, RUN_TIMES_SAMPLES_MIN);
  if (times->weight <= RUN_TIMES_WEIGHT_MAX)
    return;
  times->weight = 0;
  for (i = 0; i < RUN_TIMES_BUCKETS; i++) {
    times->weights[i] /= 2;
    times->weight += times->weights[i];
  }
}

/* Returns the weight of the durations that are longer than this one. They are
** taken to be spread evenly over their bucket. */
static double weight_longer(const RunTimes *times, gint64 duration) {
  double position = position_of(duration);
  guint bucket = (guint)position;
  double longer = times->weights[bucket] * (bucket + 1 - position);
  guint i;
  for (i = bucket + 1; i < RUN_TIMES_BUCKETS; i++)
    longer += times->weights[i];
  return longer;
}

double run_times_share_longer(const RunTimes *times, gint64 duration) {
  double longer = weight_longer(times, duration);
  if (times->samples < RUN_TIMES_SAMPLES_MIN)
    return 0;
  if (longer <= 0)
    return 0; /* such a duration was never seen */
  return (longer + UNSEEN_DURATIONS) / (times->weight + 2 * UNSEEN_DURATIONS);
}

double run_times_share_longer_max(const RunTimes *times, gint64 duration) {
  double longer = weight_longer(times, duration);
  if (times->samples < RUN_TIMES_SAMPLES_MIN ||
      weight_longer(times, duration / UNSEEN_RATIO_MAX) < FORGOTTEN_WEIGHT)
    return 0;
  return (longer + UNSEEN_DURATIONS_MAX) /
         (times->weight + UNSEEN_DURATIONS_MAX);
}

gboolean run_times_should_refuse(const RunTimes *times, gint64 left,
                                 gint64 retry_cost) {
  return run_times_is_refused(run_times_share_longer(times, left), left,
                              retry_cost);
}

gboolean run_times_is_refused(double share, gint64 left, gint64 retry_cost) {
  return left <= 0 || share * (double)(left + retry_cost) > (double)retry_cost;
}
