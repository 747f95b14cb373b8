/*
** continuation.c
** Streams that go on: which endpoints may continue a stream, and who knows it
*/

#include <string.h>

#include "router/continuation.h"
#include "router/origin_query.h"
#include "router/origin_store.h"
#include "router/relay_members.h"
#include "router/stream_origins.h"
#include "router/stream_replicas.h"
#include "router/stream_software.h"

/* A run may last as long as its route lets it, and its endpoint may have left
** the list meanwhile; a caller that lost it takes the stream up within this
** time after that. */
#define TAKE_UP_TIME (2 * MP_SEC)
/* the same as both for a route without a limit */
#define LIFETIME_UNLIMITED (30 * MP_SEC)
/* An origin is kept for this much longer than the caller waits. */
#define EXPIRY_MARGIN (2 * MP_SEC)
/* A request whose stream no instance knows waits for the store until this time
** after it arrived. */
#define STORE_TIMEOUT (500 * MP_MS)
/* the most origins told at once when an instance can no longer vouch */
#define TOLD_AT_ONCE_MAX 64

struct Continuation {
  StreamOrigins *origins;
  GArray *members;       /* RelayMember: the other instances */
  guint32 last_query;    /* number of the newest query */
  gint64 followed_since; /* since when the list of endpoints has been followed
                         ** without a gap; 0: it has not been read */
};

Continuation *continuation_new(void) {
  Continuation *continuation = g_new0(Continuation, 1);
  continuation->origins = stream_origins_new();
  continuation->members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  return continuation;
}

void continuation_free(Continuation *continuation) {
  stream_origins_free(continuation->origins);
  g_array_free(continuation->members, TRUE);
  g_free(continuation);
}

guint continuation_count(const Continuation *continuation) {
  return stream_origins_count(continuation->origins);
}

/*
** {==================================================================
** Replicas
** ===================================================================
*/

void continuation_set_members(Continuation *continuation,
                              const GArray *members) {
  g_array_set_size(continuation->members, 0);
  g_array_append_vals(continuation->members, members->data, members->len);
}

const GArray *continuation_members(const Continuation *continuation) {
  return continuation->members;
}

static gboolean is_member(const Continuation *continuation, mp_Addr address) {
  guint i;
  for (i = 0; i < continuation->members->len; i++) {
    if (g_array_index(continuation->members, RelayMember, i).address ==
        address)
      return TRUE;
  }
  return FALSE;
}

gboolean continuation_is_first(const Router *router, guint64 key) {
  const Continuation *continuation = router->continuation;
  return stream_replicas_is_first(continuation->members, router->self, key);
}

static void send(const Router *router, mp_Addr to, const mp_Msg *message) {
  router->host.message(router->host.data, to, message);
}

/* }================================================================== */

/*
** {==================================================================
** Vouching for a version
** ===================================================================
*/

gint64 continuation_route_lifetime(const Route *route) {
  return route->timeout > 0 ? route->timeout + TAKE_UP_TIME
                            : LIFETIME_UNLIMITED;
}

gint64 continuation_followed_since(const Continuation *continuation) {
  return continuation->followed_since;
}

void continuation_list_confirmed(Router *router, gint64 before, gint64 at) {
  Continuation *continuation = router->continuation;
  gboolean has_gap = before == 0 || (router->news_age_max > 0 &&
                                     at - before > router->news_age_max);
  if (has_gap)
    continuation->followed_since = at;
}

guint64 continuation_vouched(const Router *router, guint32 service,
                             gint64 lifetime, gint64 now) {
  const Continuation *continuation = router->continuation;
  if (continuation->followed_since == 0 || !pause_is_list_confirmed(router) ||
      now - continuation->followed_since < lifetime ||
      (router->news_age_max > 0 &&
       now - router->store_answered_at > router->news_age_max))
    return 0;
  return software_history_only(router->endpoints->software, service,
                               now - lifetime);
}

/* }================================================================== */

/*
** {==================================================================
** Telling origins
** ===================================================================
*/

static void tell(Router *router, const StreamOrigin *origin, gint64 now) {
  mp_Addr replicas[STREAM_REPLICAS_MAX];
  guint count = stream_replicas_list(router->continuation->members,
                                     &origin->key, replicas);
  mp_Msg message;
  guint i;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_STREAM_ORIGIN;
  message.u.origin = stream_origin_row(origin, now);
  for (i = 0; i < count; i++)
    send(router, replicas[i], &message);
}

/* Returns the origin of the stream to which the open run of the request
** belongs. */
static StreamOrigin own_origin(const Request *request, gint64 now) {
  StreamOrigin origin = {0};
  origin.key = request->stream;
  origin.software = request->software;
  origin.service = g_str_hash(request->service->name);
  if (request->account != NULL)
    origin.account = g_str_hash(request->account->name);
  origin.began = now;
  origin.expires = MIN(request->caller_deadline + EXPIRY_MARGIN,
                       now + STREAM_LEFT_MS_MAX * MP_MS);
  return origin;
}

/* Remembers where the stream began, or with a stream that is taken up that it
** still goes on, and tells the replicas unless this instance vouches. */
static void record_origin(Router *router, Request *request, gint64 now) {
  Continuation *continuation = router->continuation;
  StreamOrigin origin = own_origin(request, now);
  gint64 lifetime = continuation_route_lifetime(request->route);
  gboolean is_only =
      stream_software_only(router, origin.service, 0, now) == origin.software;
  origin.is_told = !is_only && continuation_vouched(router, origin.service,
                                                    lifetime, now) == 0;
  if (!stream_origins_add(continuation->origins, &origin, now))
    router_count(router, ORIGINS_LEFT_OUT);
  if (origin.is_told)
    tell(router, &origin, now);
  if (is_only)
    return; /* an instance that starts learns that from the set */
  if (request->resumes)
    origin_store_record(router, &origin, now);
  else
    origin_store_record_first(router, request, &origin, now);
}

void continuation_note_piece(Router *router, Request *request, gint64 now) {
  if (request->has_piece)
    return;
  request->has_piece = TRUE;
  if (request->software == 0)
    request->software = request->open.software;
  if (request->repeatable && request->has_stream)
    record_origin(router, request, now);
}

/* Tells the origins of a service for which this instance no longer vouches. */
static void tell_untold(Router *router, const Service *service, gint64 now) {
  StreamOrigin told[TOLD_AT_ONCE_MAX];
  guint32 hash = g_str_hash(service->name);
  guint count;
  guint i;
  if (stream_software_only(router, hash, 0, now) != 0 ||
      continuation_vouched(router, hash, LIFETIME_UNLIMITED, now) != 0)
    return;
  count = stream_origins_take_untold(router->continuation->origins, hash, told,
                                     TOLD_AT_ONCE_MAX, now);
  for (i = 0; i < count; i++) {
    tell(router, &told[i], now);
    origin_store_record(router, &told[i], now);
  }
}

void continuation_tick(Router *router, gint64 now) {
  Continuation *continuation = router->continuation;
  guint i;
  stream_origins_expire(continuation->origins, now);
  if (router->routes == NULL ||
      !stream_origins_has_untold(continuation->origins))
    return;
  for (i = 0; i < router->routes->services->len; i++)
    tell_untold(router, router->routes->services->pdata[i], now);
}

/* }================================================================== */

/*
** {==================================================================
** Taking a stream up
** ===================================================================
*/

void continuation_attach(Request *request, const CallerRequest *call) {
  const char *account =
      request->account != NULL ? request->account->name : NULL;
  const char *first = call->resumes ? call->resumed_attempt : call->id;
  request->resumes = call->resumes;
  request->has_stream = first != NULL;
  request->stream = stream_key(account, first != NULL ? first : call->id);
}

/* Returns the target of the route whose name has this hash; NULL: none has. */
static const Service *target_with_hash(const Request *request, guint32 hash) {
  const GArray *targets = request->route->targets;
  guint i;
  for (i = 0; i < targets->len; i++) {
    const char *name = g_array_index(targets, RouteTarget, i).service;
    if (g_str_hash(name) == hash)
      return route_table_find_service(request->table, name);
  }
  return NULL;
}

/* Returns the text of a version for logs: that of an endpoint which has it,
** else its digest, written to 'buffer'. */
static const char *software_text(const Router *router, guint64 software,
                                 char *buffer, gsize size) {
  const GPtrArray *all = router->endpoints->all;
  guint i;
  for (i = 0; software != 0 && i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->software == software)
      return endpoint_software_text(endpoint);
  }
  g_snprintf(buffer, size, "%016" G_GINT64_MODIFIER "x", software);
  return buffer;
}

/* Logs what is known of the stream that the request takes up. 'source' says
** from whom: "here", an instance's address, or "list". */
static void log_origin(Router *router, const Request *request,
                       guint64 software, const char *source, gint64 age,
                       gint64 now) {
  char digest[20];
  router_log(router, MP_LOG_STREAM_ORIGIN,
             " request=%s software=%.24s source=%s age_ms=%d list_age_ms=%d "
             "asked=%u replied=%u after_ms=%d",
             request->id,
             software_text(router, software, digest, sizeof digest), source,
             (int)(age / MP_MS), (int)(router_news_age(router, now) / MP_MS),
             request->query.asked, request->query.replied,
             (int)((now - request->arrived) / MP_MS));
}

/* Refuses a request whose stream's origin is not known. */
static void refuse_unknown(Router *router, Request *request, gint64 now) {
  log_origin(router, request, 0, "none", 0, now);
  router_count(router, REFUSED_ORIGIN);
  /* replicas that did not reply may know it later */
  if (request->query.replied < request->query.asked)
    request->come_back = finish_default_retry_ms(REFUSAL_NO_ENDPOINT) * MP_MS;
  finish_refuse(router, request, REFUSAL_STREAM_UNKNOWN);
}

/* Starts the request, which goes on at this version only. */
static void start_at(Router *router, Request *request, guint64 software,
                     gint64 now) {
  request->software = software;
  request->stall_at = 0;
  router_count(router, TAKEN_UP);
  if (router->stopping)
    finish_refuse(router, request, REFUSAL_DRAINING);
  else
    path_start(router, request, now);
}

/* Starts the request at the version of its stream's origin, or refuses it. */
static void start_at_origin(Router *router, Request *request,
                            const StreamOrigin *origin, gint64 now) {
  const Service *service = target_with_hash(request, origin->service);
  char source[24] = "here";
  if (origin->told_by == ORIGIN_TOLD_BY_STORE)
    g_strlcpy(source, "store", sizeof source);
  else if (origin->told_by != 0)
    mp_addr_text(origin->told_by, source);
  if (origin->software == 0 || service == NULL) {
    refuse_unknown(router, request, now);
    return;
  }
  log_origin(router, request, origin->software, source, now - origin->began,
             now);
  request->service = service;
  start_at(router, request, origin->software, now);
}

/* Starts the request at the only version that its service has had. */
static void start_at_only(Router *router, Request *request, guint64 software,
                          gint64 now) {
  log_origin(router, request, software, "list", 0, now);
  start_at(router, request, software, now);
}

void continuation_recheck(Router *router, Request *request, gint64 now) {
  guint32 service = g_str_hash(request->service->name);
  guint64 software = 0;
  /* A version that a replica's list has had, and the list here has not, may
  ** have begun streams before it is in the set. */
  if (request->route->targets->len == 1 && !request->query.has_several)
    software = stream_software_only(router, service, request->arrived, now);
  if (software != 0)
    start_at_only(router, request, software, now);
  else if (request->route->targets->len != 1 ||
           !stream_software_want_read(router, service, request->arrived))
    refuse_unknown(router, request, now);
}

/* No instance knows the origin of the request's stream: asks the store. */
static void ask_store(Router *router, Request *request, gint64 now) {
  const StreamOrigin *origin = NULL;
  if (request->has_stream)
    origin = stream_origins_find(router->continuation->origins,
                                 &request->stream, now);
  if (origin != NULL) { /* it was told meanwhile */
    start_at_origin(router, request, origin, now);
    return;
  }
  if (request->query.asks_store)
    return;
  request->phase = PHASE_ORIGIN;
  request->query.asks_store = TRUE;
  request->stall_at = request->arrived + STORE_TIMEOUT;
  if (request->has_stream && router->origin_store != NULL) {
    stream_software_want_read(router, g_str_hash(request->service->name),
                              request->arrived);
    return;
  }
  request->query.is_listed = TRUE;
  continuation_recheck(router, request, now);
}

void continuation_handle_stored(Router *router, Request *request,
                                const StreamOrigins *found, gint64 now) {
  const StreamOrigin *origin =
      found != NULL ? stream_origins_find(found, &request->stream, now) : NULL;
  if (origin != NULL) {
    router_count(router, ORIGINS_STORED);
    stream_origins_add(router->continuation->origins, origin, now);
    start_at_origin(router, request, origin, now);
    return;
  }
  if (found == NULL) { /* the store may know it later */
    request->come_back = finish_default_retry_ms(REFUSAL_NO_ENDPOINT) * MP_MS;
    refuse_unknown(router, request, now);
    return;
  }
  request->query.is_listed = TRUE;
  continuation_recheck(router, request, now);
}

const StreamOrigin *continuation_find(const Router *router,
                                      const StreamKey *key, gint64 now) {
  return stream_origins_find(router->continuation->origins, key, now);
}

void continuation_keep_stored(Router *router, const StreamOrigin *origin,
                              gint64 now) {
  StreamOrigins *origins = router->continuation->origins;
  if (stream_origins_count(origins) < ORIGINS_MAX / 2)
    stream_origins_add(origins, origin, now);
}

guint32 continuation_next_query(Router *router) {
  Continuation *continuation = router->continuation;
  if (continuation->last_query == 0)
    continuation->last_query = g_rand_int(router->random);
  return ++continuation->last_query;
}

void continuation_start(Router *router, Request *request, gint64 now) {
  const StreamOrigin *origin = NULL;
  guint64 software;
  if (!request->resumes || request->route->kind != ROUTE_STREAM) {
    path_start(router, request, now);
    return;
  }
  if (request->has_stream)
    origin = continuation_find(router, &request->stream, now);
  if (origin != NULL) {
    start_at_origin(router, request, origin, now);
    return;
  }
  if (origin_query_begin(router, request)) {
    request->phase = PHASE_ORIGIN;
    request->stall_at = now + QUERY_REPEAT;
    return;
  }
  /* there is no other instance where the stream can have begun */
  software =
      continuation_vouched(router, g_str_hash(request->service->name),
                           continuation_route_lifetime(request->route), now);
  if (software != 0 && request->route->targets->len == 1)
    start_at_only(router, request, software, now);
  else
    ask_store(router, request, now);
}

/* Decides by the replies that have come, if they do: starts the request, or
** has the store asked if no more replies are waited for. */
static void conclude(Router *router, Request *request, gint64 now) {
  const OriginQuery *query = &request->query;
  gboolean is_last = query->replied == query->asked ||
                     now >= request->arrived + QUERY_TIMEOUT;
  guint64 software = is_last || now >= request->arrived + QUERY_REPEAT
                         ? origin_query_only(router, request, now)
                         : 0;
  if (software != 0)
    start_at_only(router, request, software, now);
  else if (is_last)
    ask_store(router, request, now);
}

void continuation_handle_timer(Router *router, Request *request, gint64 now) {
  guint64 number = request->number;
  if (request->query.asks_store) {
    continuation_handle_stored(router, request, NULL, now);
    return;
  }
  request->stall_at = request->arrived + QUERY_TIMEOUT;
  conclude(router, request, now);
  request = g_hash_table_lookup(router->requests, &number);
  if (request == NULL || request->phase != PHASE_ORIGIN ||
      request->query.asks_store)
    return;
  origin_query_send(router, request);
  /* so that the set is known if the replicas do not reply */
  stream_software_want_read(router, g_str_hash(request->service->name),
                            request->arrived);
}

gboolean continuation_is_possible(const Router *router,
                                  const Request *request) {
  const GPtrArray *all = router->endpoints->all;
  EndpointStage stage = path_run_stage(request);
  guint i;
  if (request->software == 0)
    return TRUE;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->software == request->software &&
        endpoint->record.stage == stage && !endpoint_is_leaving(endpoint))
      return TRUE;
  }
  return FALSE;
}

/* }================================================================== */

/*
** {==================================================================
** Messages of other instances
** ===================================================================
*/

static void handle_reply(Router *router, mp_Addr from,
                         const mp_StreamReply *reply, gint64 now) {
  Request *request = origin_query_count(router, from, reply);
  StreamOrigin origin = {0};
  if (request == NULL)
    return;
  if (reply->verdict != ORIGIN_KNOWN) {
    conclude(router, request, now);
    return;
  }
  origin.software = reply->software;
  origin.service = reply->service;
  origin.began = now - reply->age_ms * MP_MS;
  origin.told_by = from;
  start_at_origin(router, request, &origin, now);
}

void router_stream_message(Router *router, mp_Addr from, const mp_Msg *message,
                           gint64 now) {
  if (!is_member(router->continuation, from))
    return;
  if (message->kind == MP_MSG_STREAM_ORIGIN) {
    StreamOrigin origin =
        stream_origin_received(&message->u.origin, from, now);
    if (!stream_origins_add(router->continuation->origins, &origin, now))
      router_count(router, ORIGINS_LEFT_OUT);
  } else if (message->kind == MP_MSG_STREAM_QUERY) {
    origin_query_reply(router, from, &message->u.query, now);
  } else if (message->kind == MP_MSG_STREAM_REPLY) {
    handle_reply(router, from, &message->u.reply, now);
    admission_start_waiting_requests(router, now);
  } else if (router->origin_store != NULL) {
    origin_store_handle_message(router, from, message, now);
  }
}

/* }================================================================== */
