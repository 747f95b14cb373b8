/*
** waiting_order.h
** Which waiting requests go before which: the order of admission_order.h,
** applied to those that wait here and, by the load digests, to those of other
** instances
**
** Reads the router's queue and changes nothing. Times are microseconds of the
** host's steady clock.
*/

#ifndef ROUTER_WAITING_ORDER_H
#define ROUTER_WAITING_ORDER_H

#include "router/admission_order.h"
#include "router/state.h"

/* Returns TRUE if the priorities of the request's service decide about it. */
gboolean waiting_order_is_ranked(const Request *request);
/* Returns TRUE if the limits for late requests apply to this one; a route
** without an objective has no limit to go by. */
gboolean waiting_order_has_late_limits(const Router *router,
                                       const Request *request);
/* Do both requests need endpoints of the same service? */
gboolean waiting_order_is_same_service(const Request *one,
                                       const Request *other);
/* Returns the request's place in the order. */
AdmissionRank waiting_order_rank(const Router *router, const Request *request,
                                 gint64 now);
/* Returns TRUE if the first token can still come within the objective. */
gboolean waiting_order_is_in_time(const Router *router, const Request *request,
                                  gint64 now);

/* Returns how many waiting requests here are in time. */
guint waiting_order_count_in_time(const Router *router, gint64 now);
/* Returns how many requests here go before this one, which may not be in the
** queue yet. */
guint waiting_order_count_before(const Router *router, const Request *request,
                                 gint64 now);
/* Returns how many requests at other instances go before this one, whose rank
** is given, as far as the digests tell; of the late ones all, since they do
** not tell their order. */
guint waiting_order_count_peers(const Router *router, const Request *request,
                                const AdmissionRank *rank);
/* Returns how many waiting requests, here and at other instances, start before
** this one. Requests that go on with a stream, and the others, count their own
** kind alone, since they do not need the same room. Without priorities only
** one request is counted at each other instance: the most senior one in time
** if it is more senior, or for a late request any. */
guint waiting_order_count_ahead(const Router *router, const Request *request,
                                gint64 now);

/* Returns for how long the most senior request in time has waited, us; 0: none
** waits. */
gint64 waiting_order_oldest_wait(const Router *router, gint64 now);
/* Adds the waiting requests in time to the digest, by service and priority. */
void waiting_order_write_digest(const Router *router, mp_LoadDigest *out,
                                gint64 now);

#endif
