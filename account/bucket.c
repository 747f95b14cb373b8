/*
** bucket.c
** A token bucket: what a limit of a rate and a burst still allows
*/

#include "bucket.h"

#define MICROSECONDS_PER_S 1e6

void bucket_refill(Bucket *bucket, double rate_per_s, double max_level,
                   gint64 now) {
  double seconds = (double)MAX(now - bucket->at, 0) / MICROSECONDS_PER_S;
  bucket->level = MIN(max_level, bucket->level + seconds * rate_per_s);
  bucket->at = now;
}
