/*
** origin_query.h
** Asks a stream's replicas where it began, and answers such questions
**
** The replicas (stream_replicas.h) were told the origin of the stream, unless
** it began while its service had one version only. So a stream goes on at
** that version if this instance's list has had no other one and enough
** replicas that did not learn of an origin say the same now. A version that
** appeared since this list was last read is seen by a replica whose list is
** newer, and a stream that began there was told to the replicas. One instance
** that is out of step, or a data centre that is cut off, can't decide alone.
**
** Invariants:
** 1. What decides was said after the request arrived: replies name the number
**    of the query, which no other query has.
** 2. A version counts as the only one by CONFIRMATIONS_MIN replicas, or all if
**    the stream has fewer, of which FAR_CONFIRMATIONS_MIN are of other data
**    centres, or as many as there are instances in those; every replica that
**    replied by then must vouch for this version.
*/

#ifndef ROUTER_ORIGIN_QUERY_H
#define ROUTER_ORIGIN_QUERY_H

#include "router/state.h"

/* Replicas that have not replied are asked again after QUERY_REPEAT, and not
** waited for after QUERY_TIMEOUT. */
#define QUERY_REPEAT (60 * MP_MS)
#define QUERY_TIMEOUT (200 * MP_MS)

/* the reply of an instance that was asked for a stream's origin */
typedef enum OriginVerdict {
  ORIGIN_UNKNOWN,
  ORIGIN_KNOWN,
  ORIGIN_ONLY,   /* not known, but the service has had this version only */
  ORIGIN_SEVERAL /* not known, and the service has had several; an instance of
                 ** an earlier release takes it as ORIGIN_UNKNOWN */
} OriginVerdict;

/* Sends a new query to the stream's replicas. Returns FALSE if there are none.
 */
gboolean origin_query_begin(Router *router, Request *request);
/* Sends the query to the replicas that have not replied. */
void origin_query_send(const Router *router, const Request *request);
/* Counts a replica's reply. Returns the request that waits for it; NULL: none
** does, or the replica was not asked or has replied before. */
Request *origin_query_count(const Router *router, mp_Addr from,
                            const mp_StreamReply *reply);
/* Returns the only version of the request's service by the replies that have
** come (invariant 2); 0: they do not say so. */
guint64 origin_query_only(const Router *router, const Request *request,
                          gint64 now);
/* Replies to a query of another instance. */
void origin_query_reply(const Router *router, mp_Addr from,
                        const mp_StreamQuery *query, gint64 now);

#endif
