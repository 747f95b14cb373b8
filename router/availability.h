/*
** availability.h
** What one life of an endpoint has said about taking requests
**
**   said      whom it binds                until
**   leaving   every instance               a later life of the endpoint
**   rest      the instance that was told   its own time, at most
*REST_DURATION_MAX
**
** A rate binds all instances together: router/rate_limits.h.
**
** Invariants. What the platform lists (EndpointRecord.ready) is a fact of its
** own, often an older one: it neither sets nor clears what stands here. A
** rest ends with its time alone: not with a request that ends well, not with
** a shorter rest, not with a connection that fails. Several rests count each
** for its own time, so the latest end holds.
*/

#ifndef ROUTER_AVAILABILITY_H
#define ROUTER_AVAILABILITY_H

#include <glib.h>

#include "madderpier.h"

/* a longer rest is believed for so long: a mistaken value must not keep an
** endpoint out of use for good. The request after it finds out whether the
** endpoint still wants rest */
#define REST_DURATION_MAX (3600 * MP_SEC)

/* kept for so much longer than was asked: the endpoint counts the time by a
** clock of its own */
#define REST_CLOCK_MARGIN (50 * MP_MS)

/* all zero: it has said nothing */
typedef struct Availability {
  gint64 leaving_since; /* known since then; 0: it did not say so */
  gint64 rest_until;
  gboolean has_dispatch_in_rest; /* something was sent to it in this rest */
  gboolean is_logged;            /* that it sends unreadable signals */
} Availability;

/* an answer said so, here or at another instance; TRUE: that is new */
gboolean availability_set_leaving(Availability *known, gint64 now);
/* an answer to this instance asked for rest; TRUE: it did not rest before */
gboolean availability_extend_rest(Availability *known, gint64 time,
                                  gint64 now);
/* how long it still wants no request; 0: it takes them */
gint64 availability_rest_remaining(const Availability *known, gint64 now);

#endif
