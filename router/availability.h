/*
** availability.h
** What one incarnation of an endpoint has announced about accepting requests
**
** An incarnation is one run of an endpoint's process, from its start to its
** end. With the head of an answer (signals.c) it may announce:
**
**   announced   who has to obey it          until
**   leaving     every instance              a later incarnation starts
**   rest        the instance that got the   the time given, at most
**               answer                      REST_DURATION_MAX
**
** A rest is a period in which the endpoint wants no request. A rate is the
** third announcement; it limits all instances together, so it is kept in
** router/rate_limits.h. The gate (router/gate.h) and the module shortage.c
** read this state; signals.c, the endpoint table and dispatcher.c write it.
**
** Invariants:
** - What the platform lists (EndpointRecord.ready) is a separate fact, and
**   often an older one. It neither sets nor clears anything here.
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

/* Records that the endpoint is leaving, as announced in an answer to this or
** another instance. Returns TRUE if that was not known before. */
gboolean availability_set_leaving(Availability *known, gint64 now);
/* Records a rest of 'time' microseconds from 'now', announced in an answer to
** this instance. A 'time' of 0 or less extends nothing. Returns TRUE if the
** endpoint was not resting before and is now. */
gboolean availability_extend_rest(Availability *known, gint64 time,
                                  gint64 now);
/* Returns for how many microseconds more the endpoint wants no request; 0 when
** it is not resting. */
gint64 availability_rest_remaining(const Availability *known, gint64 now);

#endif
