/*
** prefill.c
** Reading the prompt at a prefill engine before the run
**
** The decode engine is chosen first and its memory reserved; the prompt
** is then read near it, and the run fetches the result by its handle. A
** handle lives shortly and serves once. Where no prefill engine can read the
** prompt, a decode engine reads it itself.
**
** Invariant: of the arrivals that a request causes, its first run and the one
** prefill that reads its prompt cost no retry; for each other one the retry
** budget is asked before the next arrival is sent. (A run in the place of a
** prompt that an engine had lost was taken for a first arrival: half of the
** engines dropping connections, 102 to 138 extra arrivals came in ten seconds
** where 100 to 113 are allowed; 0.69 to 0.92 of them followed a lost prompt.)
*/

#include <string.h>

#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/state.h"

/* pace of reading prompts until some were read, in tokens a millisecond */
#define FIRST_PACE 12.0
/* weight of the newest prompt in the pace */
#define PACE_STEP 0.1
/* one may take so many times as long as usual, and this on top */
#define PREFILL_PATIENCE 4
#define PREFILL_GRACE (300 * MP_MS)
/* a prefill that is late and may not be left for another is looked at again
** after this, as a silent run is (path.c) */
#define LOOK_AGAIN (500 * MP_MS)
/* prefill engines that one request tries */
#define MOST_PREFILLS 3
/* a handle with less time left than this is not worth the fetch */
#define HANDLE_MARGIN (60 * MP_MS)
/* patience with an engine that is told to free a handle */
#define RELEASE_CONNECT (300 * MP_MS)

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
  /* the run will come there: counted now, so that nobody else is given the
  ** same place in the engine's rate while the prompt is read */
  request->is_decode_counted =
      rate_limits_count_sent(router->rates, decode->hash);
  router->load_version++;
  router->host.note(router->host.data, decode->hash,
                    (guint32)request->decode_tokens);
}

static gint64 expected_time(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  double pace = state->prefill_pace > 0 ? state->prefill_pace : FIRST_PACE;
  return (gint64)(request->prompt_tokens / pace * MP_MS);
}

/* learn how fast prompts are read, their waiting included */
static void learn_pace(Router *router, const Request *request, gint64 now) {
  ServiceState *state = router_service_state(router, request->service->name);
  double ms = MAX((double)(now - request->open.sent) / MP_MS, 1.0);
  double pace = request->prompt_tokens / ms;
  if (state->prefill_pace <= 0)
    state->prefill_pace = FIRST_PACE;
  state->prefill_pace += PACE_STEP * (pace - state->prefill_pace);
}

/* the engine that read the prompt, if it can read it again */
static Endpoint *earlier_reader(Router *router, const Request *request,
                                gint64 now) {
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
** A prompt that is turned away is an extra arrival that nothing can refuse
** beforehand. With the retry budget used up, and the engines of other data
** centres known late, the decode engine reads it, which risks none.
*/
static gboolean is_too_risky(Router *router, const Request *request,
                             gint64 now) {
  return router->near < router->instances &&
         now - router->retry.born >= router->retry.window &&
         !retry_exchange_has_extra(router, request->service->name, now);
}

gboolean prefill_begin(Router *router, Request *request, gint64 now) {
  EndpointQuery wish = path_query(router, request, STAGE_PREFILL, now);
  const Endpoint *decode =
      request->decode != NULL
          ? endpoint_table_get(router->endpoints, request->decode)
          : NULL;
  Endpoint *prefill;
  RefusalKind why;
  gint64 expected;
  if (!path_may_dispatch(router, request, &why, now))
    return FALSE; /* the run that comes in its place is refused */
  if (request->prefills_sent >= MOST_PREFILLS ||
      is_too_risky(router, request, now) ||
      !endpoint_table_has_usable(router->endpoints, request->service->name,
                                 STAGE_PREFILL, now))
    return FALSE;
  wish.tokens = request->prompt_tokens;
  wish.zone = decode != NULL ? decode->record.zone : NULL;
  wish.affinity = request->session;
  wish.affinity_overrides_load = request->resumes;
  prefill = earlier_reader(router, request, now);
  if (prefill == NULL)
    prefill = endpoint_table_choose(router->endpoints, &wish, now);
  if (prefill == NULL || !path_send(router, request, DISPATCH_PREFILL, prefill,
                                    request->prompt_tokens, now))
    return FALSE;
  router_count(router, PREFILLS);
  request->prefills_sent++;
  expected = expected_time(router, request);
  request->phase = PHASE_PREFILL;
  request->stall_at = now + PREFILL_PATIENCE * expected + PREFILL_GRACE;
  return TRUE;
}

/*
** A run that is lost leaves the prompt in the memory of the engine that read
** it, for some seconds. Reading it there once more takes some ten
** milliseconds; a decode engine would read all of it and slow its runs. It is
** an extra arrival, which the retry budget must allow.
*/
gboolean prefill_repeat(Router *router, Request *request, gint64 now) {
  return request->handle == NULL && request->read_by != NULL &&
         earlier_reader(router, request, now) != NULL &&
         retry_exchange_try_take(router, request->service->name, now) &&
         prefill_begin(router, request, now);
}

/* the prompt was read: run where it can be fetched */
static void take_handle(Request *request, const Outcome *outcome,
                        const Endpoint *endpoint, gint64 now) {
  gint64 life = outcome->handle_life > 0 ? outcome->handle_life
                                         : request->service->handle_life;
  request->handle = g_strdup(outcome->handle);
  request->handle_endpoint = g_strdup(endpoint->record.id);
  g_free(request->read_by);
  request->read_by = g_strdup(endpoint->record.id);
  request->handle_address = endpoint->record.address;
  request->handle_until = now + life - HANDLE_MARGIN;
}

/*
** What the arrival costs that follows on a lost prompt. One that may have
** been read, or may wait in the engine's queue, is paid for now; one that was
** turned away has been counted when it came.
*/
static gboolean may_send_again(Router *router, const Request *request,
                               OutcomeKind kind, gint64 now) {
  const char *service = request->service->name;
  if (kind == OUTCOME_UNREACHABLE)
    return TRUE; /* it arrived nowhere */
  if (kind == OUTCOME_NOT_RUN)
    return retry_exchange_has_extra(router, service, now);
  return retry_exchange_try_take(router, service, now);
}

static void log_prompt_retry(Router *router, const Request *request,
                             gboolean again) {
  router_log(router, MP_LOG_ROUTE_RETRY,
             " request=%s again=%d prompt=1 prefills=%u", request->id, again,
             request->prefills_sent);
}

/* the next arrival is paid for: another prefill engine, or a decode engine */
static void read_elsewhere(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, TRUE);
  if (!prefill_begin(router, request, now))
    path_run(router, request, now);
}

/* nothing more may arrive for this request; it has not run since */
static void give_up(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, FALSE);
  router_count(router, RETRIES_DENIED);
  request->was_rejected = TRUE;
  finish_give_up(router, request, now);
}

/* judge the engine by how the prefill ended */
static void judge_engine(Router *router, Request *request,
                         const Outcome *outcome, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (outcome->kind == OUTCOME_UNREACHABLE)
    router_count(router, UNREACHABLE);
  if (outcome->kind == OUTCOME_NOT_RUN)
    retry_budget_count_extra(
        router_retry_budget(router, request->service->name), &router->retry,
        now);
  if (endpoint == NULL)
    return;
  /* one that turns a prompt away may be about to change its stage */
  if (outcome->kind == OUTCOME_UNREACHABLE || outcome->kind == OUTCOME_NOT_RUN)
    endpoint_note_unreachable(endpoint, now);
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
  if (is_read) {
    request->prefills++;
    learn_pace(router, request, now);
    if (endpoint != NULL) {
      endpoint_note_success(endpoint, now);
      take_handle(request, outcome, endpoint, now);
    }
  } else {
    judge_engine(router, request, outcome, now);
    path_exclude(request, request->open.endpoint);
  }
  log_prefill(router, request, outcome_name(outcome->kind), now);
  path_close_dispatch(router, request, FALSE);
  if (is_read)
    path_run(router, request, now);
  else if (may_send_again(router, request, outcome->kind, now))
    read_elsewhere(router, request, now);
  else
    give_up(router, request, now);
}

/*
** Without a retry to spend it waits on: the prompt may come up in the engine's
** queue, and to leave it would be an arrival more.
*/
void prefill_handle_stall(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL)
    endpoint_note_failure(endpoint, now);
  learn_pace(router, request, now); /* it is no faster than this */
  if (!may_send_again(router, request, OUTCOME_BROKEN, now)) {
    request->stall_at = now + LOOK_AGAIN;
    return;
  }
  log_prefill(router, request, "stalled", now);
  path_exclude(request, request->open.endpoint);
  path_close_dispatch(router, request, TRUE);
  read_elsewhere(router, request, now);
}

/* an endpoint that is not listed any more lets it lapse by itself */
static void release_handle(Router *router, const Request *request,
                           gint64 now) {
  Endpoint *endpoint =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  Dispatch release = {0};
  if (endpoint == NULL || now >= request->handle_until)
    return;
  release.kind = DISPATCH_RELEASE;
  release.handle = request->handle;
  release.connect_timeout = RELEASE_CONNECT;
  dispatcher_send(router, &release, endpoint, now);
}

void prefill_drop_handle(Router *router, Request *request, gint64 now) {
  if (request->handle == NULL)
    return;
  release_handle(router, request, now);
  g_clear_pointer(&request->handle, g_free);
  g_clear_pointer(&request->handle_endpoint, g_free);
}
