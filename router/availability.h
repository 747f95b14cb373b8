/*
** availability.h
** What one incarnation of an endpoint has announced about accepting requests
**
** An incarnation is one run of an endpoint's process, from its start to its
** end. In the head (the header fields) of an answer it may announce the
** following, which signals.c records here:
**
**   announced   who has to obey it          until
**   leaving     every instance              a later incarnation starts
**   rest        the instance that got the   the time given, at most
**               answer                      REST_DURATION_MAX
**
** A rest is a period in which the endpoint wants no request. A rate is the
** third announcement; it limits all instances together, so it is kept in
** router/rate_limits.h. The gate (router/gate.h), shortage.c, loads.c and
** signals.c read this state; signals.c, lives.c, the endpoint table and
** dispatcher.c write it.
**
** Invariants:
** - What the platform lists (EndpointRecord.ready) is a separate fact, and
**   often an older one. It never clears anything here. It sets something only
**   after the store was restored from a copy, which may list an endpoint as it
**   was before it left: if its last record before that was not ready, the
**   endpoint is recorded as leaving (lives.c and the endpoint table). If it
**   had been removed while it was ready, the endpoint table records a short
**   rest.
** - Only the passing of time ends a rest. A request that succeeds, a later and
**   shorter rest, or a failed connection does not end it.
** - Each of several rests counts for its own duration, so the latest end
**   holds.
**
** Times are microseconds of the router's steady clock. No call fails or
** allocates.
*/

#ifndef ROUTER_AVAILABILITY_H
#define ROUTER_AVAILABILITY_H

#include <glib.h>

#include "madderpier.h"

/* A rest longer than this (1 h) is cut to it, so that a wrong value cannot
** keep an endpoint out of use for good. The first request after that finds out
** whether the endpoint still wants rest. */
#define REST_DURATION_MAX (3600 * MP_SEC)

/* A rest is kept this much longer than announced (50 ms), because the endpoint
** measures it by its own clock. */
#define REST_CLOCK_MARGIN (50 * MP_MS)

/* All members zero: the incarnation has announced nothing. */
typedef struct Availability {
  gint64 leaving_since;          /* when "leaving" became known here; 0: it was
                                 ** not announced */
  gint64 rest_until;             /* end of the rest; 0: none was announced */
  gboolean has_dispatch_in_rest; /* during a rest: a dispatch other than CHECK
                                 ** was sent since it began */
  gboolean is_logged; /* its unreadable signals have been logged once */
} Availability;

/* Records that the endpoint is leaving, as it announced in an answer to this
** or another instance, or as its record said before the store was restored.
** Returns TRUE if that was not known before. */
gboolean availability_set_leaving(Availability *known, gint64 now);
/* Records a rest of 'time' microseconds from 'now': announced in an answer to
** this instance, or assumed by the endpoint table after a restore of the
** store. A 'time' of 0 or less extends nothing. Returns TRUE if the endpoint
** was not resting before and is now. */
gboolean availability_extend_rest(Availability *known, gint64 time,
                                  gint64 now);
/* Returns for how many microseconds more the endpoint wants no request; 0 when
** it is not resting. */
gint64 availability_rest_remaining(const Availability *known, gint64 now);

#endif
