/*
** histogram.c
** Counts of durations in buckets
*/

#include "router/histogram.h"

#define FIRST_BOUND 0.005

double histogram_bound(unsigned bucket) {
  double bound = FIRST_BOUND;
  unsigned i;
  for (i = 0; i < bucket; i++)
    bound *= G_SQRT2;
  return bound;
}

void histogram_add(Histogram *histogram, gint64 microseconds) {
  double seconds = (double)microseconds / G_USEC_PER_SEC;
  double bound = FIRST_BOUND;
  unsigned bucket = 0;
  while (bucket < HISTOGRAM_BOUNDS && seconds > bound) {
    bound *= G_SQRT2;
    bucket++;
  }
  histogram->counts[bucket]++;
  histogram->count++;
  histogram->sum += seconds;
}
