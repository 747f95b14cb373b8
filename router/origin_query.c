/*
** origin_query.c
** Asks a stream's replicas where it began, and answers such questions
*/

#include <string.h>

#include "router/continuation.h"
#include "router/origin_query.h"
#include "router/relay_members.h"
#include "router/stream_replicas.h"

/* With four in ten instances killed at once, so many of five replicas reply
** for two streams in three. Datagrams that are lost, 2 in 100, hide an origin
** from so many replicas for one stream in 100,000. */
#define CONFIRMATIONS_MIN 3
/* The instances of one data centre may be cut off together; one reply from
** outside may be of an instance that was cut off alone. */
#define FAR_CONFIRMATIONS_MIN 2

static void send(const Router *router, mp_Addr to, const mp_Msg *message) {
  router->host.message(router->host.data, to, message);
}

/* Returns TRUE if the instance is of another data centre than this one. */
static gboolean is_far(const Router *router, mp_Addr address) {
  const GArray *members = continuation_members(router->continuation);
  guint32 zone = g_str_hash(router->endpoints->zone);
  guint i;
  for (i = 0; i < members->len; i++) {
    const RelayMember *member = &g_array_index(members, RelayMember, i);
    if (member->address == address)
      return member->zone != zone;
  }
  return FALSE;
}

/* Returns how many instances of other data centres there are, at most 'most'.
 */
static guint count_far(const Router *router, guint most) {
  const GArray *members = continuation_members(router->continuation);
  guint32 zone = g_str_hash(router->endpoints->zone);
  guint count = 0;
  guint i;
  for (i = 0; i < members->len && count < most; i++)
    count += g_array_index(members, RelayMember, i).zone != zone;
  return count;
}

/*
** {==================================================================
** Asking
** ===================================================================
*/

void origin_query_send(const Router *router, const Request *request) {
  const OriginQuery *query = &request->query;
  mp_Msg message;
  guint i;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_QUERY;
  message.u.query.number = query->number;
  message.u.query.key[0] = request->stream.digest[0];
  message.u.query.key[1] = request->stream.digest[1];
  message.u.query.service = g_str_hash(request->service->name);
  message.u.query.lifetime_ms =
      (guint32)(continuation_route_lifetime(request->route) / MP_MS);
  for (i = 0; i < query->asked; i++) {
    if (!query->has_replied[i])
      send(router, query->replicas[i], &message);
  }
}

gboolean origin_query_begin(Router *router, Request *request) {
  OriginQuery *query = &request->query;
  query->asked =
      stream_replicas_list(continuation_members(router->continuation),
                           &request->stream, query->replicas);
  if (query->asked == 0)
    return FALSE;
  query->number = continuation_next_query(router);
  origin_query_send(router, request);
  return TRUE;
}

/* }================================================================== */

/*
** {==================================================================
** Replies
** ===================================================================
*/

/* Returns the request that waits for replies to this query; NULL: none does
** any more. */
static Request *find_asking(const Router *router, guint32 query) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (request->phase == PHASE_ORIGIN && request->query.number == query)
      return request;
  }
  return NULL;
}

/* Returns FALSE if the replica was not asked or has replied before. */
static gboolean mark_replied(OriginQuery *query, mp_Addr from) {
  guint i;
  for (i = 0; i < query->asked; i++) {
    if (query->replicas[i] != from || query->has_replied[i])
      continue;
    query->has_replied[i] = TRUE;
    query->replied++;
    return TRUE;
  }
  return FALSE;
}

Request *origin_query_count(const Router *router, mp_Addr from,
                            const mp_StreamReply *reply) {
  Request *request = find_asking(router, reply->number);
  OriginQuery *query;
  if (request == NULL || !mark_replied(&request->query, from))
    return NULL;
  query = &request->query;
  if (reply->verdict == ORIGIN_ONLY && reply->software != 0 &&
      (query->only == 0 || query->only == reply->software)) {
    query->only = reply->software;
    query->confirmed++;
    query->confirmed_far += is_far(router, from);
  } else if (reply->verdict != ORIGIN_KNOWN) {
    query->is_disputed = TRUE;
    query->has_several |= reply->verdict != ORIGIN_UNKNOWN;
  }
  return request;
}

guint64 origin_query_only(const Router *router, const Request *request,
                          gint64 now) {
  const OriginQuery *query = &request->query;
  gint64 lifetime = continuation_route_lifetime(request->route);
  guint64 listed = software_history_only(router->endpoints->software,
                                         g_str_hash(request->service->name),
                                         now - lifetime);
  if (query->is_disputed || request->route->targets->len != 1 ||
      query->confirmed < MIN(CONFIRMATIONS_MIN, query->asked) ||
      query->confirmed_far < count_far(router, FAR_CONFIRMATIONS_MIN))
    return 0;
  return listed == query->only ? listed : 0;
}

void origin_query_reply(const Router *router, mp_Addr from,
                        const mp_StreamQuery *query, gint64 now) {
  StreamKey key = {{query->key[0], query->key[1]}};
  const StreamOrigin *origin = continuation_find(router, &key, now);
  gint64 lifetime = query->lifetime_ms * MP_MS;
  ListedSoftware listed[2];
  mp_Msg message;
  mp_StreamReply *reply = &message.u.reply;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_REPLY;
  reply->number = query->number;
  if (origin != NULL) {
    reply->verdict = ORIGIN_KNOWN;
    reply->software = origin->software;
    reply->service = origin->service;
    reply->age_ms = (guint32)((now - origin->began) / MP_MS);
  } else {
    reply->software =
        continuation_vouched(router, query->service, lifetime, now);
    if (reply->software != 0)
      reply->verdict = ORIGIN_ONLY;
    else
      reply->verdict =
          software_history_list(router->endpoints->software, query->service,
                                now - lifetime, listed, 2) > 1
              ? ORIGIN_SEVERAL
              : ORIGIN_UNKNOWN;
  }
  send(router, from, &message);
}

/* }================================================================== */
