/*
** availability.c
** What one life of an endpoint has said about taking requests
*/

#include "router/availability.h"

gboolean availability_set_leaving(Availability *known, gint64 now) {
  if (known->leaving_since != 0)
    return FALSE;
  known->leaving_since = MAX(now, 1);
  return TRUE;
}

gboolean availability_extend_rest(Availability *known, gint64 time,
                                  gint64 now) {
  gboolean rested = known->rest_until > now;
  gint64 until =
      time > 0 ? now + MIN(time, REST_DURATION_MAX) + REST_CLOCK_MARGIN : now;
  known->rest_until = MAX(known->rest_until, until);
  if (!rested)
    known->has_dispatch_in_rest = FALSE;
  return !rested && known->rest_until > now;
}

gint64 availability_rest_remaining(const Availability *known, gint64 now) {
  return MAX(known->rest_until - now, 0);
}
