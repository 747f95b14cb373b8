/*
** reach.h
** Finds out how each endpoint is reached, and finds carriers where a direct
** path is lost
**
** That this instance cannot connect to an endpoint does not show that the
** endpoint cannot be reached. So when a direct connection is not made, other
** instances are asked, one after the other, to connect to it (a search). If
** one can, dispatches go through carriers from then on (endpoint_path.h), and
** the other endpoints are checked, because their paths may be lost too. Direct
** connections are tried again in the background, by few checks at a time.
**
** Invariants:
** 1. A dispatch goes through at most one carrier: a carrier uses its direct
**    path only.
** 2. Where no other instance is known, nothing is searched, and an endpoint
**    that this instance cannot connect to is handled as unreachable.
** 3. A search asks at most CARRIERS_ASKED_MAX carriers, one after the other;
**    while an endpoint has no path, no request is sent to it.
** 4. While no connection fails, and no dispatch is silent, nothing is sent.
**
** A Router owns one Reach. Times are in microseconds of the router's steady
** clock.
*/

#ifndef ROUTER_REACH_H
#define ROUTER_REACH_H

#include "router/endpoint_table.h"
#include "router/router.h"

typedef struct Reach Reach;

/* The caller frees the result with reach_free. */
Reach *reach_new(Router *router, guint32 zone);
void reach_free(Reach *reach);

/* As router_set_members. */
void reach_set_carriers(Reach *reach, const GArray *members);
/* Returns the carrier for a dispatch to this endpoint; 0: it goes directly. */
mp_Addr reach_choose_carrier(const Reach *reach, const Endpoint *endpoint,
                             gint64 now);

/*
** A dispatch that went to the endpoint through 'via' (0: directly) has this
** outcome. Returns TRUE if it reached no endpoint and the path is at fault, or
** may be: then the endpoint must not be blamed for it, and the request may use
** the endpoint again.
*/
gboolean reach_note_outcome(Reach *reach, Endpoint *endpoint, mp_Addr via,
                            const Outcome *outcome, gint64 now);
/* A direct dispatch has heard nothing of the endpoint since 'since': checks
** the direct path, unless other dispatches have heard of it. */
void reach_note_silence(Reach *reach, Endpoint *endpoint, gint64 since,
                        gint64 now);
/* A dispatch that went through 'via' (0: directly) is silent: checks whether
** its path still leads to the endpoint, unless that is being checked.
** reach_has_connected tells the result. The checks of a carried dispatch's
** path are apart from those that find out how the endpoint is reached, and one
** through another carrier says nothing of it. */
void reach_check_path(Reach *reach, Endpoint *endpoint, mp_Addr via,
                      gint64 now);
/* Returns TRUE if a check of this path is open that began after 'since'. */
gboolean reach_is_checking(const Reach *reach, const Endpoint *endpoint,
                           mp_Addr via, gint64 since);
/* Returns TRUE if the endpoint has been connected to through 'via' (0:
** directly) since 'since', and that path has not been found lost. */
gboolean reach_has_connected(const Reach *reach, const Endpoint *endpoint,
                             mp_Addr via, gint64 since);
/*
** Finds out whether the endpoint accepts connections from this instance or
** from another one. Returns the number of a dispatch whose outcome is passed
** to crash_watch_outcome: OUTCOME_UNREACHABLE if none of those asked could
** connect. Returns 0 if nothing was sent.
*/
guint64 reach_verify(Reach *reach, Endpoint *endpoint, gint64 timeout,
                     gint64 now);

/* Handles the outcome of a check. Returns FALSE if the dispatch is none. */
gboolean reach_handle_outcome(Reach *reach, const Outcome *outcome,
                              gint64 now);
/* Returns when reach_tick is due next; G_MAXINT64: not at all. */
gint64 reach_next_tick(const Reach *reach);
/* Sends the checks that are due. */
void reach_tick(Reach *reach, gint64 now);

#endif
