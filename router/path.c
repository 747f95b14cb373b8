/*
** path.c
** The path of one request over the endpoints
**
** Invariants. A request that is not repeatable is sent again only after
** its endpoint said that it did not run it, or was never connected to. At
** most Route.attempts dispatches of a request may have run. Every arrival
** after the first is drawn from the service's retry budget before it is
** sent.
*/

#include <string.h>

#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/state.h"

/* patience with endpoints that do not take a connection: one objective, within
** these bounds. A connection takes some milliseconds; the first packet that is
** lost is sent again after a second */
#define CONNECT_LEAST (100 * MP_MS)
#define CONNECT_MOST (400 * MP_MS)
/* endpoints that may be out of reach before a request gives up */
#define MOST_UNREACHABLE 6
/* runs that may be turned away before a request gives up */
#define MOST_ARRIVALS 4
/* repeatable streams are resumed after this silence: so many objectives
** before the first piece, so many of the longest pauses between pieces */
#define HEAD_SILENCE_OBJECTIVES 1.7
#define PIECE_SILENCE_GAPS 3
#define SILENCE_LEAST (500 * MP_MS)
/* a silent run that may not be left now is looked at again after this */
#define STALL_AGAIN (500 * MP_MS)
/* an engine that says nothing of a run for so long is in doubt: with the
** prompt read, a head comes within some ten milliseconds */
#define SUSPECT_SILENCE (400 * MP_MS)
/* so is a plain endpoint after so many objectives; without it one that hangs
** kept its share of the requests that must not be repeated */
#define PLAIN_SUSPECT_OBJECTIVES 2
/* plain repeatable requests: silence of so many objectives */
#define SAFE_SILENCE_OBJECTIVES 2.5
/* memory is counted anew each time a stream has made so many tokens */
#define COUNT_STEP 64
/* time that must be left for another try to make sense */
#define LEAST_TIME_LEFT (30 * MP_MS)

/* a stream has grown: count its memory anew */
static void count_memory(Router *router, Request *request) {
  OpenDispatch *open = &request->open;
  Endpoint *endpoint = path_open_endpoint(router, request);
  guint64 tokens = estimate_memory(router, request);
  if (endpoint == NULL || tokens < open->tokens + COUNT_STEP)
    return;
  /* no version of its own: the next digest tells it */
  endpoint->tokens += tokens - open->tokens;
  open->tokens = tokens;
}

EndpointWish path_wish(Router *router, const Request *request,
                       EndpointStage stage, gint64 now) {
  EndpointWish wish = {0};
  wish.service = request->service->name;
  wish.stage = stage;
  wish.capacity = request->service->kv_tokens;
  wish.tokens = estimate_memory(router, request);
  wish.excluded = (const char *const *)request->excluded;
  wish.excluded_count = request->excluded_count;
  wish.spread = (guint64)g_rand_int(router->random) + 1;
  wish.limits = rates_limits(router, request->service, now);
  return wish;
}

void path_exclude(Request *request, const char *endpoint) {
  if (request->excluded_count == MAX_EXCLUDED)
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
  return endpoint_table_get_life(router->endpoints, open->endpoint,
                                 open->life);
}

/* what is open at an engine is memory that others may promise too: they hear
*at
** once. At a plain endpoint it tells them how busy that is, a little later */
static void count_change(Router *router, const Request *request) {
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
  count_change(router, request);
  g_hash_table_remove(router->dispatched, &open->number);
  if (cancel)
    router->host.cancel(router->host.data, open->number);
  open->number = 0;
  g_clear_pointer(&open->endpoint, g_free);
  request->stall_at = 0;
  request->suspect_at = 0;
}

/* what was known of the endpoint when it was chosen */
static void log_dispatch(Router *router, const Request *request,
                         const Dispatch *dispatch, const Endpoint *endpoint) {
  const EndpointTable *table = router->endpoints;
  router_log(router, MP_LOG_ROUTE_DISPATCH,
             " request=%s kind=%s endpoint=%s zone=%s open=%u tokens=%u "
             "failures=%.2f config=%u left_ms=%d handle=%s resume_after=%s",
             request->id, dispatch->kind == DISPATCH_RUN ? "run" : "prefill",
             endpoint->record.id, endpoint->record.zone,
             endpoint_open(table, endpoint) - 1,
             (guint)endpoint_tokens(table, endpoint), endpoint->failures,
             (guint)request->table->version, (int)dispatch->deadline_ms,
             dispatch->handle != NULL ? dispatch->handle : "-",
             dispatch->last_event != NULL ? dispatch->last_event : "-");
}

/* the dispatch that went out is the one that the request waits for */
static void open_dispatch(Router *router, Request *request, guint64 number,
                          Endpoint *endpoint, guint64 tokens, gint64 now) {
  OpenDispatch *open = &request->open;
  open->number = number;
  open->endpoint = g_strdup(endpoint->record.id);
  open->life = endpoint->hash;
  open->tokens = tokens;
  open->sent = now;
  endpoint->open++;
  endpoint->tokens += tokens;
  count_change(router, request);
  g_hash_table_insert(router->dispatched, &open->number, request);
}

gboolean path_send(Router *router, Request *request, DispatchKind kind,
                   Endpoint *endpoint, guint64 tokens, gint64 now) {
  Dispatch dispatch = {0};
  guint64 number;
  dispatch.kind = kind;
  dispatch.request = request->number;
  dispatch.account = request->account != NULL ? request->account->name : NULL;
  dispatch.deadline_ms = MAX((request->caller_deadline - now) / MP_MS, 1);
  dispatch.connect_timeout =
      CLAMP(request->route->objective, CONNECT_LEAST, CONNECT_MOST);
  if (kind == DISPATCH_RUN) {
    dispatch.stream = request->route->kind == ROUTE_STREAM;
    dispatch.handle = request->handle;
    dispatch.handle_address = request->handle_address;
    dispatch.last_event = request->last_event;
  }
  number = dispatcher_send(router, &dispatch, endpoint, now);
  if (number == 0)
    return FALSE;
  open_dispatch(router, request, number, endpoint, tokens, now);
  router_count(router, DISPATCHES);
  log_dispatch(router, request, &dispatch, endpoint);
  return TRUE;
}

/* the engine that was reserved, if it can still be used */
static Endpoint *reserved_decode(Router *router, const Request *request,
                                 gint64 now) {
  Endpoint *endpoint;
  if (request->decode == NULL)
    return NULL;
  endpoint = endpoint_table_get_life(router->endpoints, request->decode,
                                     request->decode_life);
  if (endpoint == NULL || gate_ask(endpoint, DISPATCH_RUN, now) != GATE_OPEN)
    return NULL;
  return endpoint;
}

EndpointStage path_run_stage(const Request *request) {
  return request->service->is_engine ? STAGE_DECODE : STAGE_NONE;
}

/* others reserved the same room at the same moment */
static gboolean is_overbooked(const Router *router, const Request *request,
                              const Endpoint *endpoint) {
  return request->service->kv_tokens > 0 &&
         endpoint_tokens(router->endpoints, endpoint) >
             request->service->kv_tokens;
}

/* the reserved endpoint, or another one with room; NULL when none has any */
static Endpoint *choose_with_room(Router *router, const Request *request,
                                  gint64 now) {
  EndpointStage stage = path_run_stage(request);
  EndpointWish wish = path_wish(router, request, stage, now);
  Endpoint *endpoint = reserved_decode(router, request, now);
  if (endpoint != NULL && !is_overbooked(router, request, endpoint))
    return endpoint;
  wish.must_fit = stage == STAGE_DECODE;
  return endpoint_table_choose(router->endpoints, &wish, now);
}

static Endpoint *choose(Router *router, const Request *request, gint64 now) {
  EndpointWish wish = path_wish(router, request, path_run_stage(request), now);
  Endpoint *endpoint = reserved_decode(router, request, now);
  Endpoint *other = choose_with_room(router, request, now);
  if (other != NULL)
    return other;
  if (endpoint != NULL)
    return endpoint;
  wish.must_fit = FALSE;
  return endpoint_table_choose(router->endpoints, &wish, now);
}

static gint64 head_silence(const Request *request) {
  double wait = HEAD_SILENCE_OBJECTIVES * (double)request->route->objective;
  return MAX((gint64)wait, SILENCE_LEAST);
}

static gint64 piece_silence(const Request *request) {
  return MAX(PIECE_SILENCE_GAPS * request->route->gap, SILENCE_LEAST);
}

/* when silence of the endpoint is taken for a failure; 0: never */
static gint64 silence_limit(const Request *request, gint64 now) {
  gint64 wait;
  if (!request->repeatable || request->runs + 1 >= request->route->attempts)
    return 0;
  if (request->route->kind == ROUTE_STREAM)
    return now + head_silence(request);
  wait = (gint64)(SAFE_SILENCE_OBJECTIVES * (double)request->route->objective);
  return now + MAX(wait, 100 * MP_MS);
}

/*
** The prompt is read and no decode engine has room for it: wait for room as
** long as the handle lives, instead of being turned away by a full engine.
*/
static gboolean waits_with_handle(Router *router, Request *request,
                                  gint64 now) {
  if (request->handle == NULL || request->runs > 0 || request->head_sent ||
      router->stopping || choose_with_room(router, request, now) != NULL)
    return FALSE;
  prefill_unreserve(router, request);
  admission_return(router, request, now);
  return TRUE;
}

static gint64 suspect_silence(const Request *request) {
  gint64 objectives = PLAIN_SUSPECT_OBJECTIVES * request->route->objective;
  return request->service->is_engine ? SUSPECT_SILENCE
                                     : MAX(objectives, CONNECT_LEAST);
}

gboolean path_may_send(Router *router, Request *request, RefusalKind *why,
                       gint64 now) {
  return accounts_may_dispatch(router, request, why, now) &&
         suspects_may_send(router, request, why, now);
}

void path_run(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint;
  guint64 tokens = 0;
  gboolean is_reserved;
  RefusalKind why;
  if (!path_may_send(router, request, &why, now)) {
    finish_forbidden(router, request, why, now);
    return;
  }
  request->phase = PHASE_RUN;
  if (request->handle != NULL && now >= request->handle_until)
    prefill_drop_handle(router, request, now);
  if (waits_with_handle(router, request, now) ||
      prefill_again(router, request, now))
    return;
  endpoint = choose(router, request, now);
  if (endpoint == NULL) {
    shortage_note(router, request, now);
    finish_give_up(router, request, now);
    return;
  }
  is_reserved = request->decode != NULL &&
                strcmp(request->decode, endpoint->record.id) == 0;
  prefill_unreserve(router, request);
  if (request->service->is_engine)
    tokens = estimate_memory(router, request);
  if (request->service->is_engine && !is_reserved)
    router->host.note(router->host.data, endpoint->hash, (guint32)tokens);
  if (!path_send(router, request, DISPATCH_RUN, endpoint, tokens, now)) {
    finish_give_up(router, request, now);
    return;
  }
  request->stall_at = silence_limit(request, now);
  request->suspect_at = now + suspect_silence(request);
}

void path_place(Router *router, Request *request, Endpoint *decode,
                gint64 now) {
  router_time(router, request, DURATION_WAIT, now);
  prefill_reserve(router, request, decode);
  /* a second reading is an extra arrival: path_run asks the budget */
  if (request->prefills > 0 || !prefill_begin(router, request, now))
    path_run(router, request, now);
}

void path_begin(Router *router, Request *request, gint64 now) {
  if (request->service->is_engine)
    estimate_learn_prompt(router, request);
  if (request->service->is_engine)
    admission_enter(router, request, now);
  else
    path_run(router, request, now);
}

/* }================================================================== */

/*
** {==================================================================
** Trying again
** ===================================================================
*/

static gboolean may_try_again(const Request *request, gboolean may_have_run,
                              gint64 now) {
  if (now + LEAST_TIME_LEFT >= request->expires ||
      request->arrivals >= MOST_ARRIVALS)
    return FALSE;
  if (!may_have_run)
    return TRUE;
  return request->repeatable && request->runs < request->route->attempts;
}

static void log_retry(Router *router, const Request *request, gboolean again,
                      gboolean may_have_run) {
  router_log(router, MP_LOG_ROUTE_RETRY,
             " request=%s again=%d may_have_run=%d runs=%u arrivals=%u",
             request->id, again, may_have_run, request->runs,
             request->arrivals);
}

/* a handle serves once, whatever became of the run that was offered it */
static void drop_used_handle(Request *request) {
  g_clear_pointer(&request->handle, g_free);
  g_clear_pointer(&request->handle_endpoint, g_free);
}

void path_run_again(Router *router, Request *request, gboolean may_have_run,
                    gint64 now) {
  gboolean allowed = may_try_again(request, may_have_run, now);
  if (allowed && !retry_exchange_take(router, request->service->name, now)) {
    router_count(router, RETRIES_DENIED);
    allowed = FALSE;
  }
  log_retry(router, request, allowed, may_have_run);
  if (!allowed) {
    finish_give_up(router, request, now);
    return;
  }
  router_count(router, RETRIES);
  path_run(router, request, now);
}

/* is there an endpoint beside those that failed and the open run's own? */
static gboolean has_elsewhere(Router *router, Request *request, gint64 now) {
  EndpointWish wish = path_wish(router, request, path_run_stage(request), now);
  const char *others[MAX_EXCLUDED + 1];
  guint i;
  for (i = 0; i < request->excluded_count; i++)
    others[i] = request->excluded[i];
  others[i++] = request->open.endpoint;
  wish.excluded = others;
  wish.excluded_count = i;
  return endpoint_table_choose(router->endpoints, &wish, now) != NULL;
}

/*
** Leave the open run, which has perhaps run, and send another one. FALSE,
** and nothing is changed, unless the route, the time, the endpoints and
** the retry budget allow that; the budget is paid then. May end.
*/
static gboolean leave_for_another(Router *router, Request *request,
                                  gboolean cancel, gint64 now) {
  if (request->runs + 1 >= request->route->attempts ||
      request->arrivals + 1 >= MOST_ARRIVALS ||
      !may_try_again(request, TRUE, now) ||
      !has_elsewhere(router, request, now) ||
      !retry_exchange_take(router, request->service->name, now))
    return FALSE;
  request->arrivals++;
  request->runs++;
  log_retry(router, request, TRUE, TRUE);
  router_count(router, RETRIES);
  path_exclude(request, request->open.endpoint);
  drop_used_handle(request);
  path_close_dispatch(router, request, cancel);
  path_run(router, request, now);
  return TRUE;
}

/* silence alone ends no answer: without another run this one goes on */
void path_stalled(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL)
    endpoint_failed(endpoint, now);
  if (!leave_for_another(router, request, TRUE, now))
    request->stall_at = now + STALL_AGAIN;
}

/* no connection stood: the next endpoint, and no retry is spent */
static void unreachable(Router *router, Request *request, Endpoint *endpoint,
                        gint64 now) {
  router_count(router, UNREACHABLE);
  if (endpoint != NULL)
    endpoint_unreachable(endpoint, now);
  path_close_dispatch(router, request, FALSE);
  if (++request->unreachable >= MOST_UNREACHABLE ||
      now + LEAST_TIME_LEFT >= request->expires)
    finish_give_up(router, request, now);
  else
    path_run(router, request, now);
}

static void not_run(Router *router, Request *request, Endpoint *endpoint,
                    const Outcome *outcome, gint64 now) {
  router_count(router, NOT_RUN);
  request->arrivals++;
  request->was_busy = TRUE;
  if (endpoint != NULL) {
    endpoint_failed(endpoint, now);
    if (outcome->misdirected)
      endpoint_unreachable(endpoint, now);
  }
  path_close_dispatch(router, request, FALSE);
  path_run_again(router, request, FALSE, now);
}

static void broken(Router *router, Request *request, Endpoint *endpoint,
                   gint64 now) {
  router_count(router, BROKEN);
  request->arrivals++;
  request->runs++;
  if (endpoint != NULL) {
    endpoint_failed(endpoint, now);
    suspects_broken(router, request, endpoint, now);
  }
  path_close_dispatch(router, request, FALSE);
  if (request->head_sent)
    router_count(router, RESUMED);
  path_run_again(router, request, TRUE, now);
}

/* }================================================================== */

/*
** {==================================================================
** Outcomes
** ===================================================================
*/

/* the endpoint's own failure: pass it on, or try another one */
static void answered(Router *router, Request *request, Endpoint *endpoint,
                     const Outcome *outcome, gint64 now) {
  gboolean failed = outcome->status >= 500;
  if (endpoint != NULL && failed)
    endpoint_failed(endpoint, now);
  else if (endpoint != NULL)
    endpoint_succeeded(endpoint, now);
  suspects_succeeded(router, request);
  if (failed && leave_for_another(router, request, FALSE, now))
    return;
  if (request->head_sent) { /* a resumed stream got no stream */
    request->runs++;
    finish_give_up(router, request, now);
    return;
  }
  router_time(router, request, DURATION_PLAIN, now);
  finish_answered(router, request, outcome);
}

static void note_pause(Request *request, gint64 now) {
  gint64 pause = request->last_piece != 0 ? now - request->last_piece : 0;
  request->longest_pause = MAX(request->longest_pause, pause);
  request->last_piece = now;
}

static void piece(Router *router, Request *request, const Outcome *outcome,
                  gint64 now) {
  note_pause(request, now);
  if (outcome->event != NULL) {
    g_free(request->last_event);
    request->last_event = g_strdup(outcome->event);
    request->made = (guint32)(g_ascii_strtoull(outcome->event, NULL, 10) *
                              request->service->event_tokens);
    count_memory(router, request);
  }
  if (request->stall_at != 0)
    request->stall_at = now + piece_silence(request);
  router->host.answer(router->host.data, request->number, outcome);
}

/* the run goes on; only the next choices are told */
void path_suspect(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  request->suspect_at = 0;
  if (endpoint == NULL)
    return;
  endpoint_failed(endpoint, now);
  router->load_version++;
}

static void stream_head(Router *router, Request *request,
                        const Outcome *outcome, gint64 now) {
  request->suspect_at = 0;
  if (request->stall_at != 0)
    request->stall_at = now + head_silence(request);
  if (request->head_sent)
    return; /* resumed: the caller keeps its first head */
  request->head_sent = TRUE;
  router_time(router, request, DURATION_FIRST_PIECE, now);
  router->host.answer(router->host.data, request->number, outcome);
}

/* two engines refused the handle: the one that gave it loses them early */
static void blame_prefill(Router *router, const Request *request, gint64 now) {
  Endpoint *prefill =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  if (prefill != NULL)
    endpoint_failed(prefill, now);
}

void path_outcome(Router *router, Request *request, const Outcome *outcome,
                  gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (outcome->kind != OUTCOME_STREAM_PIECE)
    router_log(router, MP_LOG_ROUTE_OUTCOME,
               " request=%s endpoint=%s outcome=%s status=%d after_ms=%d "
               "last_event=%s longest_pause_ms=%d",
               request->id, request->open.endpoint,
               outcome_name(outcome->kind), outcome->status,
               (int)((now - request->open.sent) / MP_MS),
               request->last_event != NULL ? request->last_event : "-",
               (int)(request->longest_pause / MP_MS));
  if (request->handle != NULL && outcome->kind == OUTCOME_NOT_RUN &&
      request->arrivals > 0) {
    blame_prefill(router, request, now);
    g_clear_pointer(&request->read_by, g_free);
  }
  if (outcome->kind != OUTCOME_UNREACHABLE &&
      (outcome->kind != OUTCOME_NOT_RUN || request->arrivals > 0)) {
    drop_used_handle(request); /* one that two engines refused is gone */
  }
  if (outcome->kind == OUTCOME_UNREACHABLE ||
      outcome->kind == OUTCOME_NOT_RUN || outcome->kind == OUTCOME_BROKEN)
    path_exclude(request, request->open.endpoint);
  switch (outcome->kind) {
  case OUTCOME_UNREACHABLE:
    unreachable(router, request, endpoint, now);
    break;
  case OUTCOME_NOT_RUN:
    not_run(router, request, endpoint, outcome, now);
    break;
  case OUTCOME_BROKEN:
    broken(router, request, endpoint, now);
    break;
  case OUTCOME_ANSWER:
    answered(router, request, endpoint, outcome, now);
    break;
  case OUTCOME_STREAM_HEAD:
    stream_head(router, request, outcome, now);
    break;
  case OUTCOME_STREAM_PIECE:
    piece(router, request, outcome, now);
    break;
  case OUTCOME_STREAM_END:
    if (endpoint != NULL)
      endpoint_succeeded(endpoint, now);
    estimate_learn_output(router, request);
    suspects_succeeded(router, request);
    router_time(router, request, DURATION_STREAM, now);
    admission_ended(router, now);
    finish_answered(router, request, outcome);
    break;
  }
}

/* }================================================================== */
