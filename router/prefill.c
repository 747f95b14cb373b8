/*
** prefill.c
** Has the prompt of a request read by a prefill engine before the run
**
** The decode engine is chosen first and memory is reserved there. The prompt
** is then read by a prefill engine near it, and the run fetches the result by
** its handle. A handle is valid for a short time and for one fetch. If no
** prefill engine can read the prompt, the decode engine reads it itself.
**
** Invariant: of the dispatches of a request that arrive at endpoints, the
** first run and the one prefill that reads the prompt cost no retry. Each
** other one is an extra arrival, which the retry budget has to allow before it
** is sent. It is charged then, except when it follows a PREFILL that was
** rejected: the rejected one was charged when it was rejected, so it is only
** checked that retries are left.
** A run that replaces a prefill which an engine lost is an extra arrival too.
** Without that charge, with half of the engines dropping connections, there
** were 102 to 138 extra arrivals in ten seconds where 100 to 113 are allowed,
** and 0.69 to 0.92 of them followed a lost prompt.
*/

#include <string.h>

#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/state.h"

/* prefill pace assumed until a prompt was read, in tokens a millisecond */
#define INITIAL_PACE 12.0
/* weight of the newest prompt in the moving mean of the pace */
#define PACE_STEP 0.1
/* A prefill counts as stalled after PREFILL_TIMES_MAX times the expected time
** plus PREFILL_GRACE. */
#define PREFILL_TIMES_MAX 4
#define PREFILL_GRACE (300 * MP_MS)
/* A stalled prefill that may not be replaced is checked again after this, as a
** silent run is (outcomes.c). */
#define STALL_RECHECK (500 * MP_MS)
/* the most PREFILL dispatches of one request */
#define PREFILLS_MAX 3
/* A handle counts as expired this long before it does, because a fetch would
** come too late. */
#define HANDLE_MARGIN (60 * MP_MS)
/* connect timeout of a RELEASE */
#define RELEASE_CONNECT_TIMEOUT (300 * MP_MS)

void prefill_release_reservation(Router *router, Request *request) {
  Endpoint *endpoint;
  if (request->decode == NULL)
    return;
  endpoint = endpoint_table_get_incarnation(router->endpoints, request->decode,
                                            request->decode_incarnation);
  if (endpoint != NULL) {
    endpoint->tokens -= MIN(endpoint->tokens, request->decode_tokens);
    if (request->is_decode_counted)
      rate_limits_refund(router->rates, endpoint->hash);
  }
  router->load_version++;
  g_clear_pointer(&request->decode, g_free);
}

void prefill_reserve(Router *router, Request *request, Endpoint *decode) {
  request->decode = g_strdup(decode->record.id);
  request->decode_incarnation = decode->hash;
  request->decode_tokens = estimate_memory(router, request);
  decode->tokens += request->decode_tokens;
  /* The run is counted in the engine's rate now, so that its place in the rate
  ** is given to no other request while the prompt is read. */
  request->is_decode_counted =
      rate_limits_count_sent(router->rates, decode->hash);
  router->load_version++;
  router->host.note(router->host.data, decode->hash,
                    (guint32)request->decode_tokens);
}

/* Returns how long the prefill is expected to take, us. */
static gint64 expected_time(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  double pace = state->prefill_pace > 0 ? state->prefill_pace : INITIAL_PACE;
  return (gint64)(request->prompt_tokens / pace * MP_MS);
}

/* Updates the service's prefill pace from the time since the PREFILL was sent;
** time in the engine's queue is included. */
static void update_pace(Router *router, const Request *request, gint64 now) {
  ServiceState *state = router_service_state(router, request->service->name);
  double ms = MAX((double)(now - request->open.sent) / MP_MS, 1.0);
  double pace = request->prompt_tokens / ms;
  if (state->prefill_pace <= 0)
    state->prefill_pace = INITIAL_PACE;
  state->prefill_pace += PACE_STEP * (pace - state->prefill_pace);
}

/* Returns the engine that prefilled the prompt last, if it can do so again;
** else NULL. */
static Endpoint *reusable_prefill_engine(Router *router,
                                         const Request *request, gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  Endpoint *endpoint;
  if (request->read_by == NULL || path_is_excluded(request, request->read_by))
    return NULL;
  endpoint = endpoint_table_get(router->endpoints, request->read_by);
  if (endpoint == NULL || endpoint->record.stage != STAGE_PREFILL ||
      endpoint->avoid_until > now ||
      endpoint_is_changing_stage(router->endpoints, endpoint, now) ||
      gate_check(endpoint, DISPATCH_PREFILL, now) != GATE_OPEN ||
      gate_check_limits(router->endpoints, endpoint, &limits, now) !=
          GATE_OPEN)
    return NULL;
  return endpoint;
}

/*
** Returns TRUE if no PREFILL should be sent because it might be rejected. A
** rejected PREFILL is an extra arrival that cannot be prevented beforehand. So
** if the retry budget is used up, and the engines of other data centres are
** known only late, the decode engine reads the prompt, which risks no extra
** arrival.
*/
static gboolean is_too_risky(Router *router, const Request *request,
                             gint64 now) {
  return router->near < router->instances &&
         now - router->retry.born >= router->retry.window &&
         !retry_exchange_has_extra(router, request->service->name, now);
}

gboolean prefill_begin(Router *router, Request *request, gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_PREFILL, now);
  const Endpoint *decode =
      request->decode != NULL
          ? endpoint_table_get(router->endpoints, request->decode)
          : NULL;
  Endpoint *prefill;
  RefusalKind why;
  gint64 expected;
  if (!path_may_dispatch(router, request, &why, now))
    return FALSE; /* path_run refuses the request */
  if (request->prefills_sent >= PREFILLS_MAX ||
      is_too_risky(router, request, now) ||
      !endpoint_table_has_usable(router->endpoints, request->service->name,
                                 STAGE_PREFILL, now))
    return FALSE;
  query.tokens = request->prompt_tokens;
  query.zone = decode != NULL ? decode->record.zone : NULL;
  query.affinity = request->session;
  query.affinity_overrides_load = request->resumes;
  prefill = reusable_prefill_engine(router, request, now);
  if (prefill == NULL)
    prefill = endpoint_table_choose(router->endpoints, &query, now);
  if (prefill == NULL || !path_send(router, request, DISPATCH_PREFILL, prefill,
                                    request->prompt_tokens, now))
    return FALSE;
  router_count(router, PREFILLS);
  request->prefills_sent++;
  expected = expected_time(router, request);
  request->phase = PHASE_PREFILL;
  request->stall_at = now + PREFILL_TIMES_MAX * expected + PREFILL_GRACE;
  return TRUE;
}

/*
** After a run was lost, the engine that read the prompt has it in its cache
** for some seconds more. Reading it there again takes some ten milliseconds; a
** decode engine would have to read all of it, which slows its runs. It is an
** extra arrival, so the retry budget must allow it.
*/
gboolean prefill_repeat(Router *router, Request *request, gint64 now) {
  return request->handle == NULL && request->read_by != NULL &&
         reusable_prefill_engine(router, request, now) != NULL &&
         retry_exchange_try_take(router, request->service->name, now) &&
         prefill_begin(router, request, now);
}

/* Keeps the handle of a prompt that was read. */
static void store_handle(Request *request, const Outcome *outcome,
                         const Endpoint *endpoint, gint64 now) {
  gint64 lifetime = outcome->handle_lifetime > 0
                        ? outcome->handle_lifetime
                        : request->service->handle_lifetime;
  request->handle = g_strdup(outcome->handle);
  request->handle_endpoint = g_strdup(endpoint->record.id);
  g_free(request->read_by);
  request->read_by = g_strdup(endpoint->record.id);
  request->handle_address = endpoint->record.address;
  request->handle_until = now + lifetime - HANDLE_MARGIN;
}

/*
** Returns TRUE if the retry budget allows another arrival after a prefill that
** failed with this outcome. If the prompt may have been read or may wait in
** the engine's queue, a retry is taken from the budget now; a rejected PREFILL
** was charged when it was rejected, so it is only checked that retries are
** left.
*/
static gboolean may_send_again(Router *router, const Request *request,
                               OutcomeKind kind, gint64 now) {
  const char *service = request->service->name;
  if (kind == OUTCOME_UNREACHABLE)
    return TRUE; /* it reached no endpoint */
  if (kind == OUTCOME_NOT_RUN)
    return retry_exchange_has_extra(router, service, now);
  return retry_exchange_try_take(router, service, now);
}

/* Logs whether the retry budget allows another arrival ('again'). */
static void log_prompt_retry(Router *router, const Request *request,
                             gboolean again) {
  router_log(router, MP_LOG_ROUTE_RETRY,
             " request=%s again=%d prompt=1 prefills=%u", request->id, again,
             request->prefills_sent);
}

/* Sends the prompt to another prefill engine, or else the request to a decode
** engine; the retry budget has allowed it; may end. */
static void prefill_elsewhere(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, TRUE);
  if (!prefill_begin(router, request, now))
    path_run(router, request, now);
}

/* Ends a request for which the retry budget allows no more arrivals. */
static void deny_retry(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, FALSE);
  router_count(router, RETRIES_DENIED);
  request->was_rejected = TRUE;
  finish_give_up(router, request, now);
}

/* Records a failed prefill at the engine, and charges a rejected one to the
** retry budget. */
static void record_failure(Router *router, Request *request,
                           const Outcome *outcome, gboolean is_path_lost,
                           gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (outcome->kind == OUTCOME_UNREACHABLE)
    router_count(router, UNREACHABLE);
  if (is_path_lost)
    return;
  path_exclude(request, request->open.endpoint);
  if (outcome->kind == OUTCOME_NOT_RUN)
    retry_budget_count_extra(
        router_retry_budget(router, request->service->name), &router->retry,
        now);
  if (endpoint == NULL)
    return;
  /* an engine that rejects a prompt may be about to change its stage */
  if (outcome->misdirected && router->overload_control)
    endpoint_note_ended(endpoint, now);
  else if (outcome->kind == OUTCOME_UNREACHABLE)
    endpoint_note_unreachable(endpoint, now);
  else if (outcome->kind == OUTCOME_NOT_RUN)
    endpoint_note_rejected(endpoint, now);
  else
    endpoint_note_failure(endpoint, now);
  if (outcome->kind == OUTCOME_BROKEN)
    suspects_note_broken(router, request, endpoint, now);
}

static void log_prefill(Router *router, const Request *request,
                        const char *outcome, gint64 now) {
  router_log(router, MP_LOG_ROUTE_PREFILL,
             " request=%s endpoint=%s outcome=%s handle=%s after_ms=%d",
             request->id, request->open.endpoint, outcome,
             request->handle != NULL ? request->handle : "-",
             (int)((now - request->open.sent) / MP_MS));
}

void prefill_handle_outcome(Router *router, Request *request,
                            const Outcome *outcome, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  gboolean is_read =
      outcome->kind == OUTCOME_ANSWER && outcome->handle != NULL;
  gboolean is_path_lost = reach_note_outcome(router->reach, endpoint,
                                             request->open.via, outcome, now);
  if (is_read) {
    request->prefills++;
    update_pace(router, request, now);
    if (endpoint != NULL) {
      endpoint_note_success(endpoint, now);
      store_handle(request, outcome, endpoint, now);
    }
  } else {
    record_failure(router, request, outcome, is_path_lost, now);
  }
  log_prefill(router, request, outcome_name(outcome->kind), now);
  path_close_dispatch(router, request, FALSE);
  if (is_read)
    path_run(router, request, now);
  else if (may_send_again(router, request, outcome->kind, now))
    prefill_elsewhere(router, request, now);
  else
    deny_retry(router, request, now);
}

/*
** If the retry budget allows no other arrival, the request goes on waiting:
** the prompt may still reach the head of the engine's queue, and replacing it
** would be an extra arrival.
*/
void prefill_handle_stall(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL)
    endpoint_note_failure(endpoint, now);
  update_pace(router, request, now); /* the pace is at most this */
  if (!may_send_again(router, request, OUTCOME_BROKEN, now)) {
    request->stall_at = now + STALL_RECHECK;
    return;
  }
  log_prefill(router, request, "stalled", now);
  path_exclude(request, request->open.endpoint);
  path_close_dispatch(router, request, TRUE);
  prefill_elsewhere(router, request, now);
}

/* Sends a RELEASE for the handle. It is left out if the endpoint is no longer
** listed or the handle has expired; the engine then frees the memory by
** itself. */
static void release_handle(Router *router, const Request *request,
                           gint64 now) {
  Endpoint *endpoint =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  Dispatch release = {0};
  if (endpoint == NULL || now >= request->handle_until)
    return;
  release.kind = DISPATCH_RELEASE;
  release.handle = request->handle;
  release.connect_timeout = RELEASE_CONNECT_TIMEOUT;
  dispatcher_send(router, &release, endpoint, now);
}

void prefill_drop_handle(Router *router, Request *request, gint64 now) {
  if (request->handle == NULL)
    return;
  release_handle(router, request, now);
  g_clear_pointer(&request->handle, g_free);
  g_clear_pointer(&request->handle_endpoint, g_free);
}
