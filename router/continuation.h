/*
** continuation.h
** Streams that go on: which endpoints may continue a stream, and who knows it
**
** A stream may go on only at the version of the endpoints' software that began
** it (stream_origins.h). Within one request the version is kept in
** Request.software from the first piece on. A caller that takes a stream up
** again may reach any instance, so the instance that begins a stream tells its
** origin to a few others, the stream's replicas, before the first event goes
** to the caller. Each instance computes a stream's replicas from the list of
** instances by rendezvous hashing; one that does not know the origin of a
** stream asks them.
**
** While a service has had one version only, no origin is told: instances vouch
** for that version alone. A request that takes a stream up goes on there if
** the stream's replicas, asked after it arrived, vouch for it too
** (origin_query.h). At rest nothing is sent.
**
** Invariants:
** 1. A request that takes a stream up is sent to endpoints of the version that
**    began the stream, or to none. What is not known is refused, not guessed.
** 2. An instance vouches for a version only if it has followed the list of
**    endpoints without a gap for longer than a run may last and its caller
**    takes to come back, has seen no other version in that time, and its list
**    was complete less than Router.news_age_max ago, and after the last time
**    for which it stood still. It decides alone only if there is no other
**    instance. What no replica knows is looked up in the store, in its origins
**    (origin_store.h) and in the set of versions (software_set.h), both read
**    after the taking-up arrived.
** 3. New streams begin at a version that has just appeared only after
**    news_age_max and a margin, if endpoints of an allowed version that is
**    known for longer can run them (stream_software.h). So no stream has begun
**    at a version of which a vouching instance does not know, unless those
**    endpoints were full or left: then its replicas were told.
** 4. The origin of a stream that began while its instance could vouch is told
**    when it no longer can.
*/

#ifndef ROUTER_CONTINUATION_H
#define ROUTER_CONTINUATION_H

#include "router/state.h"

typedef struct Continuation Continuation;

Continuation *continuation_new(void);
void continuation_free(Continuation *continuation);

/* Sets the other instances, an array of RelayMember, which is copied. */
void continuation_set_members(Continuation *continuation,
                              const GArray *members);
/* The list of endpoints was complete at the time 'at', and before that at the
** time 'before' (0: never). */
void continuation_list_confirmed(Router *router, gint64 before, gint64 at);

/* Sets what a new request says about the stream that it belongs to. */
void continuation_attach(Request *request, const CallerRequest *call);
/* Starts a new request (path_start), at once or when the origin of its stream
** is known, or refuses it; may end. */
void continuation_start(Router *router, Request *request, gint64 now);
/* Handles Request.stall_at in PHASE_ORIGIN; may end. */
void continuation_handle_timer(Router *router, Request *request, gint64 now);
/* The first piece of the open run arrives, and is passed on after this. */
void continuation_note_piece(Router *router, Request *request, gint64 now);
/* Returns TRUE unless the request continues a stream and no endpoint of the
** version that began it is listed as ready. */
gboolean continuation_is_possible(const Router *router,
                                  const Request *request);
/* Returns how long before a stream of the route is taken up the endpoint that
** ran it last was listed, at most. */
gint64 continuation_route_lifetime(const Route *route);
/* Returns the version for which this instance vouches by what it has followed
** (invariant 2); 0: it vouches for none. */
guint64 continuation_vouched(const Router *router, guint32 service,
                             gint64 lifetime, gint64 now);
/* Returns a number that no query of this instance has had, nor probably one
** of its earlier lives, to which replies may still come. */
guint32 continuation_next_query(Router *router);
/* Returns since when the list of endpoints has been followed without a gap; 0:
** it has not been read. */
gint64 continuation_followed_since(const Continuation *continuation);
/* Decides about a request whose stream no instance and none of the store's
** origins knows: starts it at the version that the set of its service, read
** after the request arrived, holds alone, or refuses it; waits for such a read
** if there may be one. May end. */
void continuation_recheck(Router *router, Request *request, gint64 now);

/* Tells the origins that are due (invariant 4) and drops expired ones. */
void continuation_tick(Router *router, gint64 now);
/* Returns TRUE if this instance is the first one by rendezvous hashing for
** this key, among all that it knows. */
gboolean continuation_is_first(const Router *router, guint64 key);
/* Returns the other instances, an array of RelayMember that is borrowed. */
const GArray *continuation_members(const Continuation *continuation);
/* Decides a request that waits for the store: 'found' holds what the store
** knows, NULL: it did not answer in time; may end. */
void continuation_handle_stored(Router *router, Request *request,
                                const StreamOrigins *found, gint64 now);
/* Returns what is known here of a stream; NULL: nothing. */
const StreamOrigin *continuation_find(const Router *router,
                                      const StreamKey *key, gint64 now);
/* Keeps an origin that the store has named, if the table is half empty. */
void continuation_keep_stored(Router *router, const StreamOrigin *origin,
                              gint64 now);
/* Returns how many origins are remembered. */
guint continuation_count(const Continuation *continuation);

#endif
