/*
** bucket.h
** A token bucket: what a limit of a rate and a burst still allows
**
** The owner subtracts what is spent. The level may be below zero: what was
** overspent is paid back first.
*/

#ifndef ACCOUNT_BUCKET_H
#define ACCOUNT_BUCKET_H

#include <glib.h>

typedef struct Bucket {
  double level; /* in units of the limit: requests or tokens */
  gint64 at;    /* time of the last refill, by the owner's clock; us */
} Bucket;

/*
** Adds what has come since the last refill: 'rate_per_s' units a second, up
** to a level of 'max_level'. 'now' is in microseconds, by the same clock as
** 'at'; a clock that went back adds nothing.
*/
void bucket_refill(Bucket *bucket, double rate_per_s, double max_level,
                   gint64 now);

#endif
