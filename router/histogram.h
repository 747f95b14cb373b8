/*
** histogram.h
** A histogram of durations with logarithmic buckets
**
** The bucket bounds grow by the square root of two, so a quantile read from
** the histogram is off by at most a factor of 1.42. The router keeps one for
** each RouterDuration, and the metrics page prints them. A Histogram that is
** all zero is empty; nothing has to be freed.
*/

#ifndef ROUTER_HISTOGRAM_H
#define ROUTER_HISTOGRAM_H

#include <glib.h>

/* Number of bounds: from 5 ms to about 20 s. One more bucket takes what is
** above the last bound. */
#define HISTOGRAM_BOUNDS 25

typedef struct Histogram {
  guint64 counts[HISTOGRAM_BOUNDS + 1]; /* durations in each bucket alone, not
                                        ** cumulative */
  guint64 count;                        /* of all durations */
  double sum;                           /* of all durations, in seconds */
} Histogram;

/* Returns the inclusive upper bound of a bucket, in seconds. */
double histogram_bound(unsigned bucket);
/* Adds one duration. */
void histogram_add(Histogram *histogram, gint64 microseconds);

#endif
