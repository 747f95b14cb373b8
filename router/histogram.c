/*
** histogram.c
** A histogram of durations with logarithmic buckets
*/

#include "router/histogram.h"

/* upper bound of the first bucket, in seconds */
#define FIRST_BOUND_S 0.005

double histogram_bound(unsigned bucket) {
  double bound = FIRST_BOUND_S;
  unsigned i;
  for (i = 0; i < bucket; i++)
    bound *= G_SQRT2;
  return bound;
}

void histogram_add(Histogram *histogram, gint64 microseconds) {
  double seconds = (double)microseconds / G_USEC_PER_SEC;
  double bound = FIRST_BOUND_S;
  unsigned bucket = 0;
  while (bucket < HISTOGRAM_BOUNDS && seconds > bound) {
    bound *= G_SQRT2;
    bucket++;
  }
  histogram->counts[bucket]++;
  histogram->count++;
  histogram->sum += seconds;
}
