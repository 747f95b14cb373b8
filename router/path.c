/*
** path.c
** Chooses endpoints for a request and sends its dispatches
**
** Invariants:
** - A request that is not repeatable is sent again only after its endpoint
**   stated that it did not run it, or if no connection was made.
** - Among the dispatches of a request there are at most Route.attempts of
**   which it is not certain that they did not run.
** - Every arrival (dispatch that reaches an endpoint) after the first is taken
**   from the service's retry budget before it is sent; prefill.c says how
**   prefills count.
*/

#include <string.h>

#include "router/continuation.h"
#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/silence.h"
#include "router/silent_run.h"
#include "router/state.h"
#include "router/stream_software.h"

/* The connect timeout is Route.objective, the time within which an answer of
** the route has its full value, within these bounds.
** Connecting takes some milliseconds, and a lost first packet is sent again
** only after a second, so waiting longer gains nothing. */
#define CONNECT_TIMEOUT_MIN (100 * MP_MS)
#define CONNECT_TIMEOUT_MAX (400 * MP_MS)

EndpointQuery path_query(Router *router, const Request *request,
                         EndpointStage stage, gint64 now) {
  EndpointQuery query = {0};
  query.service = request->service->name;
  query.stage = stage;
  query.capacity = request->service->kv_tokens;
  query.tokens = estimate_memory(router, request);
  query.excluded = (const char *const *)request->excluded;
  query.excluded_count = request->excluded_count;
  query.is_unsafe = router->overload_control && !request->repeatable &&
                    !request->service->is_engine;
  query.spread = (guint64)g_rand_int(router->random) + 1;
  query.limits = rates_limits(router, request->service, now);
  suspects_list_crashed(router, request, &query, now);
  if (stage != path_run_stage(request))
    return query; /* any version may read the prompt */
  query.software = request->software;
  stream_software_restrict(router, &query, request, now);
  return query;
}

void path_exclude(Request *request, const char *endpoint) {
  if (request->excluded_count == EXCLUDED_ENDPOINTS_MAX)
    return;
  request->excluded[request->excluded_count++] = g_strdup(endpoint);
}

gboolean path_is_excluded(const Request *request, const char *endpoint) {
  guint i;
  for (i = 0; i < request->excluded_count; i++) {
    if (strcmp(request->excluded[i], endpoint) == 0)
      return TRUE;
  }
  return FALSE;
}

/*
** {==================================================================
** Dispatches
** ===================================================================
*/

Endpoint *path_open_endpoint(const Router *router, const Request *request) {
  const OpenDispatch *open = &request->open;
  return endpoint_table_get_incarnation(router->endpoints, open->endpoint,
                                        open->life);
}

/* Marks a change of what is open as to be reported. What is open at an
** engine is memory that other instances may plan too, so they are told at
** once; at a plain endpoint it only shows how busy that is, and is told a
** little later. */
static void mark_load_changed(Router *router, const Request *request) {
  if (request->service->is_engine)
    router->load_version++;
  else
    router->plain_version++;
}

void path_close_dispatch(Router *router, Request *request, gboolean cancel) {
  OpenDispatch *open = &request->open;
  Endpoint *endpoint;
  if (open->number == 0)
    return;
  endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL) {
    endpoint->open -= MIN(endpoint->open, 1);
    endpoint->tokens -= MIN(endpoint->tokens, open->tokens);
  }
  mark_load_changed(router, request);
  g_hash_table_remove(router->requests_by_dispatch, &open->number);
  if (cancel)
    router->host.cancel(router->host.data, open->number);
  open->number = 0;
  g_clear_pointer(&open->endpoint, g_free);
  request->stall_at = 0;
  request->suspect_at = 0;
  request->path_check_at = 0;
}

/* Logs a dispatch with what was known of the endpoint when it was chosen. */
static void log_dispatch(Router *router, const Request *request,
                         const Dispatch *dispatch, const Endpoint *endpoint) {
  const EndpointTable *table = router->endpoints;
  char via[24] = "-";
  if (dispatch->via != 0)
    mp_addr_text(dispatch->via, via);
  router_log(router, MP_LOG_ROUTE_DISPATCH,
             " request=%s kind=%s endpoint=%s zone=%s software=%.24s open=%u "
             "tokens=%u "
             "failures=%.2f config=%u left_ms=%d handle=%s resume_after=%s "
             "via=%s",
             request->id, dispatch->kind == DISPATCH_RUN ? "run" : "prefill",
             endpoint->record.id, endpoint->record.zone,
             endpoint_software_text(endpoint),
             endpoint_open_count(table, endpoint) - 1,
             (guint)endpoint_tokens(table, endpoint), endpoint->failures,
             (guint)request->table->version, (int)dispatch->deadline_ms,
             dispatch->handle != NULL ? dispatch->handle : "-",
             dispatch->last_event != NULL ? dispatch->last_event : "-", via);
}

/* Makes the dispatch that was sent the open one of the request. */
static void open_dispatch(Router *router, Request *request,
                          const Dispatch *dispatch, Endpoint *endpoint,
                          guint64 tokens, gint64 now) {
  OpenDispatch *open = &request->open;
  open->number = dispatch->number;
  open->via = dispatch->via;
  open->endpoint = g_strdup(endpoint->record.id);
  open->life = endpoint->hash;
  open->software = endpoint->software;
  open->tokens = tokens;
  open->sent = now;
  request->run_piece_at = 0;
  request->is_acquitting = FALSE;
  endpoint->open++;
  endpoint->tokens += tokens;
  mark_load_changed(router, request);
  g_hash_table_insert(router->requests_by_dispatch, &open->number, request);
}

/* Returns TRUE if the run would go on with a stream at another version than
** the one that began it; no choice returns such an endpoint. */
static gboolean is_other_version(Router *router, const Request *request,
                                 DispatchKind kind, const Endpoint *endpoint) {
  if (kind != DISPATCH_RUN || request->software == 0 ||
      request->software == endpoint->software)
    return FALSE;
  router_count(router, HELD_BACK);
  router_log(router, MP_LOG_DISPATCH_HELD_BACK,
             " endpoint=%s kind=run reason=software request=%s",
             endpoint->record.id, request->id);
  return TRUE;
}

gboolean path_send(Router *router, Request *request, DispatchKind kind,
                   Endpoint *endpoint, guint64 tokens, gint64 now) {
  Dispatch dispatch = {0};
  dispatch.kind = kind;
  dispatch.request = request->number;
  dispatch.account = request->account != NULL ? request->account->name : NULL;
  dispatch.has_urgency = request->service->has_priorities;
  dispatch.urgency = request->priority;
  dispatch.deadline_ms = MAX((request->caller_deadline - now) / MP_MS, 1);
  dispatch.connect_timeout = CLAMP(request->route->objective,
                                   CONNECT_TIMEOUT_MIN, CONNECT_TIMEOUT_MAX);
  if (kind == DISPATCH_RUN) {
    dispatch.stream = request->route->kind == ROUTE_STREAM;
    dispatch.handle = request->handle;
    dispatch.handle_address = request->handle_address;
    dispatch.last_event = request->last_event;
  }
  if (is_other_version(router, request, kind, endpoint) ||
      dispatcher_send(router, &dispatch, endpoint, now) == 0)
    return FALSE;
  open_dispatch(router, request, &dispatch, endpoint, tokens, now);
  if (kind == DISPATCH_RUN)
    accounts_note_run(router, request);
  router_count(router, DISPATCHES);
  log_dispatch(router, request, &dispatch, endpoint);
  return TRUE;
}

/* Returns the decode engine where memory is reserved, if it can still be used;
** else NULL. */
static Endpoint *reserved_decode(Router *router, const Request *request,
                                 gint64 now) {
  Endpoint *endpoint;
  if (request->decode == NULL)
    return NULL;
  endpoint = endpoint_table_get_incarnation(router->endpoints, request->decode,
                                            request->decode_incarnation);
  if (endpoint == NULL || gate_check(endpoint, DISPATCH_RUN, now) != GATE_OPEN)
    return NULL;
  return endpoint;
}

EndpointStage path_run_stage(const Request *request) {
  return request->service->is_engine ? STAGE_DECODE : STAGE_NONE;
}

/* Returns TRUE if other instances reserved the same memory of the engine at
** the same moment, so that more is planned than it has. */
static gboolean is_overbooked(const Router *router, const Request *request,
                              const Endpoint *endpoint) {
  return request->service->kv_tokens > 0 &&
         endpoint_tokens(router->endpoints, endpoint) >
             request->service->kv_tokens;
}

/* Returns the reserved endpoint unless it is overbooked, else another one with
** room; NULL if none has room. */
static Endpoint *choose_with_room(Router *router, const Request *request,
                                  gint64 now) {
  EndpointStage stage = path_run_stage(request);
  EndpointQuery query = path_query(router, request, stage, now);
  Endpoint *endpoint = reserved_decode(router, request, now);
  if (endpoint != NULL &&
      (request->preempts || !is_overbooked(router, request, endpoint)) &&
      !endpoint_has_crashed_under(&query, endpoint))
    return endpoint;
  query.must_fit = stage == STAGE_DECODE;
  return endpoint_table_choose(router->endpoints, &query, now);
}

/* Returns the endpoint for a run: one with room, else the reserved one, else
** any; NULL if there is none. */
static Endpoint *choose_endpoint(Router *router, const Request *request,
                                 gint64 now) {
  EndpointQuery query =
      path_query(router, request, path_run_stage(request), now);
  Endpoint *endpoint = reserved_decode(router, request, now);
  Endpoint *other = choose_with_room(router, request, now);
  if (other != NULL)
    return other;
  if (endpoint != NULL)
    return endpoint;
  query.must_fit = FALSE;
  return endpoint_table_choose(router->endpoints, &query, now);
}

/* Returns TRUE if the request may wait again with its prefilled prompt. */
static gboolean may_requeue(const Router *router, const Request *request) {
  return request->handle != NULL && request->runs == 0 &&
         !request->head_sent && !router->stopping;
}

gboolean path_return_to_queue(Router *router, Request *request, gint64 now) {
  if (!router->overload_control || !may_requeue(router, request) ||
      now >= request->handle_until)
    return FALSE;
  prefill_release_reservation(router, request);
  admission_requeue(router, request, now);
  return TRUE;
}

/*
** Queues the request again if its prompt is prefilled and no decode engine has
** room for it: it waits for room while the handle is valid, instead of being
** rejected by a full engine. Returns FALSE if it was not queued.
*/
static gboolean requeue_with_handle(Router *router, Request *request,
                                    gint64 now) {
  if (!may_requeue(router, request) ||
      choose_with_room(router, request, now) != NULL)
    return FALSE;
  prefill_release_reservation(router, request);
  admission_requeue(router, request, now);
  return TRUE;
}

gboolean path_may_dispatch(Router *router, Request *request, RefusalKind *why,
                           gint64 now) {
  if (now >= request->expires) {
    *why = REFUSAL_NOT_RUN; /* events may come before the timer of this */
    return FALSE;
  }
  return accounts_may_dispatch(router, request, why, now) &&
         suspects_may_dispatch(router, request, why, now);
}

void path_run(Router *router, Request *request, gint64 now) {
  RefusalKind why;
  if (path_may_dispatch(router, request, &why, now))
    path_run_allowed(router, request, now);
  else
    finish_forbidden(router, request, why, now);
}

void path_run_allowed(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint;
  guint64 tokens = 0;
  gboolean is_reserved;
  request->phase = PHASE_RUN;
  if (!continuation_is_possible(router, request)) {
    finish_give_up(router, request, now);
    return;
  }
  if (request->service->is_engine &&
      admission_is_too_late(router, request, now)) {
    admission_refuse_too_late(router, request, now);
    return;
  }
  if (request->handle != NULL && now >= request->handle_until)
    prefill_drop_handle(router, request, now);
  if (requeue_with_handle(router, request, now) ||
      prefill_repeat(router, request, now))
    return;
  endpoint = choose_endpoint(router, request, now);
  if (endpoint == NULL) {
    shortage_record(router, request, now);
    finish_give_up(router, request, now);
    return;
  }
  is_reserved = request->decode != NULL &&
                strcmp(request->decode, endpoint->record.id) == 0;
  prefill_release_reservation(router, request);
  if (request->service->is_engine)
    tokens = estimate_memory(router, request);
  if (request->service->is_engine && !is_reserved)
    router->host.note(router->host.data, endpoint->hash, (guint32)tokens);
  if (!path_send(router, request, DISPATCH_RUN, endpoint, tokens, now)) {
    finish_give_up(router, request, now);
    return;
  }
  if (request->service->is_engine && request->handle == NULL)
    router_count(router, PREFILLS_AT_DECODE);
  silent_run_note_heard(request);
  request->stall_at = silence_deadline(request, now);
  request->suspect_at = now + silence_suspect_after(request);
}

void path_start_on_engine(Router *router, Request *request, Endpoint *decode,
                          gint64 now) {
  router_record_duration(router, request, DURATION_WAIT, now);
  prefill_reserve(router, request, decode);
  /* A second prefill is an extra arrival, for which path_run asks the
  ** budget. */
  if (request->prefills > 0 || !prefill_begin(router, request, now))
    path_run(router, request, now);
}

void path_start(Router *router, Request *request, gint64 now) {
  if (request->service->is_engine)
    estimate_observe_prompt(router, request);
  if (request->service->is_engine)
    admission_enter(router, request, now);
  else
    path_run(router, request, now);
}

/* }================================================================== */
