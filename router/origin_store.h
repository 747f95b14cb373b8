/*
** origin_store.h
** Origins of streams in the store, which outlives all instances
**
** The replicas of a stream's origin (continuation.h) are processes: when all
** instances are killed at once, none of them knows it. So an instance that
** does not vouch for a version also sends the origin to the recorder of its
** data centre (origin_slices.h), which writes it to the store. An instance
** that no replica could help lists what all recorders have written, once for
** all requests that wait.
**
** Invariants:
** 1. The first piece of a new stream is held back until its origin is written,
**    but not longer than RECORD_WAIT, and not at all while the store does not
**    answer. Whatever is passed on later stays behind it. The version is bound
**    when the piece is held: a run that breaks off meanwhile goes on after it,
**    at the same version.
** 2. A response that ends is not held any more.
** 3. A request is decided by a list that began after it arrived and that was
**    read to its end. What two versions are named for, or none, is refused.
**
** Used by router/, and by io/origin_links.c, which makes the calls. Times are
** microseconds of the steady clock.
*/

#ifndef ROUTER_ORIGIN_STORE_H
#define ROUTER_ORIGIN_STORE_H

#include "router/origin_slices.h"
#include "router/router.h"

struct Request;
struct PieceHold;
typedef struct OriginStore OriginStore;

/*
** {==================================================================
** For the code that makes the calls
** ===================================================================
*/

/* Uses the store from now on; without it nothing is recorded, held or listed.
 */
void router_use_origin_store(Router *router);
/* Begins the next call about this instance's own objects if one is due; the
** caller frees what 'out' holds. */
gboolean router_next_origins_save(Router *router, OriginsSave *out,
                                  gint64 now);
/* Handles its end (origin_recorder_handle_reply). 'error' is for the log;
** NULL: there was none. */
void router_origins_saved(Router *router, StoreStatus status,
                          StorePosition position,
                          const StreamOriginsRecord *record, const char *error,
                          gint64 now);
/* Begins a list of all recorders' objects if requests wait for one. */
gboolean router_next_origins_list(Router *router, gint64 now);
/* Handles one object of the open list; 'own_slice': its number if it is of
** this instance, else -1. */
void router_origins_listed(Router *router, const StreamOriginsRecord *record,
                           gint own_slice, gint64 now);
/* The list has ended; 'is_complete': every object of it was readable. */
void router_origins_list_ended(Router *router, gboolean is_complete,
                               gint64 now);
/* Returns when one of the next two calls is due; G_MAXINT64: none is. */
gint64 router_next_origins_time(const Router *router);

/* }================================================================== */

/*
** {==================================================================
** For the router
** ===================================================================
*/

void origin_store_free(OriginStore *store);
/* Sends an origin to the recorder. */
void origin_store_record(Router *router, const StreamOrigin *origin,
                         gint64 now);
/* Sends the origin of a stream that begins to the recorder, and has the host
** hold the first piece back until it is written. */
void origin_store_record_first(Router *router, struct Request *request,
                               const StreamOrigin *origin, gint64 now);
/* Returns when a hold needs attention next. */
gint64 origin_store_hold_timer(const struct PieceHold *hold);
void origin_store_handle_hold_timer(Router *router, struct Request *request,
                                    gint64 now);
/* Passes on what is held, if anything is; the request is about to end. */
void origin_store_release(Router *router, struct Request *request);
/* Handles STREAM_RECORD and STREAM_RECORDED of another instance. */
void origin_store_handle_message(Router *router, mp_Addr from,
                                 const mp_Msg *message, gint64 now);
void origin_store_expire(Router *router, gint64 now);
/* The store was restored from a copy. */
void origin_store_restored(Router *router);

/* }================================================================== */

#endif
