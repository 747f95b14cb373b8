/*
** histogram.h
** Counts of durations in buckets whose bounds grow by the root of two
** A quantile read from it is off by at most a factor of 1.42.
*/

#ifndef ROUTER_HISTOGRAM_H
#define ROUTER_HISTOGRAM_H

#include <glib.h>

/* from 5 ms to 20 s, and one bucket above all bounds */
#define HISTOGRAM_BOUNDS 25

typedef struct Histogram {
  guint64 counts[HISTOGRAM_BOUNDS + 1];
  guint64 count;
  double sum; /* seconds */
} Histogram;

/* upper bound of a bucket, in seconds */
double histogram_bound(unsigned bucket);
void histogram_add(Histogram *histogram, gint64 microseconds);

#endif
