/*
** outcomes.c
** Handles the outcomes and the silence of a request's RUN dispatches
**
** The invariants of path.c apply: they say what may be sent again, and that
** the retry budget has to allow it first.
*/

#include <string.h>

#include "router/continuation.h"
#include "router/retry_exchange.h"
#include "router/silence.h"
#include "router/silent_run.h"
#include "router/state.h"

/* A request ends after this many RUN dispatches that reached no endpoint,
** unless it returns to the queue with a prefilled prompt. */
#define UNREACHABLE_MAX 6
/* A request ends after this many RUN dispatches that reached an endpoint and
** failed. */
#define ARRIVALS_MAX 4
/* A silent run that may not be replaced now is checked again after this. */
#define STALL_RECHECK (500 * MP_MS)
/* The memory of a stream is estimated anew when the estimate has grown by this
** many tokens. */
#define MEMORY_UPDATE_TOKENS 64
/* A retry is sent only if more time than this is left. */
#define RETRY_TIME_MIN (30 * MP_MS)

/* Updates the memory planned for a stream that has grown. */
static void update_memory(Router *router, Request *request) {
  OpenDispatch *open = &request->open;
  Endpoint *endpoint = path_open_endpoint(router, request);
  guint64 tokens = estimate_memory(router, request);
  if (endpoint == NULL || tokens < open->tokens + MEMORY_UPDATE_TOKENS)
    return;
  /* load_version does not change: the next digest reports it soon enough */
  endpoint->tokens += tokens - open->tokens;
  open->tokens = tokens;
}

/*
** {==================================================================
** Retries
** ===================================================================
*/

/* Returns TRUE if the time left, the number of arrivals and, where the request
** may have run, its route allow a retry. */
static gboolean may_retry(const Request *request, gboolean may_have_run,
                          gint64 now) {
  if (now + RETRY_TIME_MIN >= request->expires ||
      request->arrivals >= ARRIVALS_MAX)
    return FALSE;
  if (!may_have_run)
    return TRUE;
  return request->repeatable && request->runs < request->route->attempts;
}

/* Logs whether a retry is allowed. 'again': it is. Of the logged numbers,
** 'runs' counts the RUN dispatches that may have run, and 'arrivals' those
** that reached an endpoint. */
static void log_retry(Router *router, const Request *request, gboolean again,
                      gboolean may_have_run) {
  router_log(router, MP_LOG_ROUTE_RETRY,
             " request=%s again=%d may_have_run=%d runs=%u arrivals=%u",
             request->id, again, may_have_run, request->runs,
             request->arrivals);
}

/* Forgets the handle without a release: a handle serves once, whatever became
** of the run that was given it. */
static void drop_used_handle(Request *request) {
  g_clear_pointer(&request->handle, g_free);
  g_clear_pointer(&request->handle_endpoint, g_free);
}

void outcomes_retry(Router *router, Request *request, gboolean may_have_run,
                    gint64 now) {
  gboolean allowed = may_retry(request, may_have_run, now);
  if (allowed &&
      !retry_exchange_try_take(router, request->service->name, now)) {
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

/* Returns TRUE if there is an endpoint other than those that failed and that
** of the open run. */
static gboolean has_other_endpoint(Router *router, Request *request,
                                   gint64 now) {
  EndpointQuery query =
      path_query(router, request, path_run_stage(request), now);
  const char *others[EXCLUDED_ENDPOINTS_MAX + 1];
  guint i;
  for (i = 0; i < request->excluded_count; i++)
    others[i] = request->excluded[i];
  others[i++] = request->open.endpoint;
  query.excluded = others;
  query.excluded_count = i;
  return endpoint_table_choose(router->endpoints, &query, now) != NULL;
}

/*
** Replaces the open run, which may have run, by another one, if the route, the
** time, the endpoints, the configuration and the retry budget allow that; a
** retry is taken from the budget then. Otherwise returns FALSE and changes
** nothing: the open run is only given up for one that may be sent. 'cancel'
** cancels the open run at the host. May end.
*/
static gboolean replace_run(Router *router, Request *request, gboolean cancel,
                            gint64 now) {
  RefusalKind why;
  if (request->runs + 1 >= request->route->attempts ||
      request->arrivals + 1 >= ARRIVALS_MAX ||
      !may_retry(request, TRUE, now) ||
      !has_other_endpoint(router, request, now) ||
      !path_may_dispatch(router, request, &why, now) ||
      !retry_exchange_try_take(router, request->service->name, now))
    return FALSE;
  request->arrivals++;
  request->runs++;
  log_retry(router, request, TRUE, TRUE);
  router_count(router, RETRIES);
  path_exclude(request, request->open.endpoint);
  drop_used_handle(request);
  path_close_dispatch(router, request, cancel);
  path_run_allowed(router, request, now);
  return TRUE;
}

/* Silence alone ends no request: the run goes on if it cannot be replaced. */
void outcomes_handle_stall(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  gboolean is_new = silent_run_is_new(request);
  gboolean is_awaited = silent_run_is_awaited(router, request, now);
  if (endpoint != NULL && (is_new || !is_awaited))
    endpoint_note_failure(endpoint, now);
  if (!is_awaited && !replace_run(router, request, TRUE, now))
    request->stall_at = now + STALL_RECHECK;
}

/* No connection was made: tries the next endpoint, or another path to this
** one, which costs no retry. */
static void handle_unreachable(Router *router, Request *request,
                               Endpoint *endpoint, gboolean is_path_lost,
                               gint64 now) {
  router_count(router, UNREACHABLE);
  if (!is_path_lost)
    path_exclude(request, request->open.endpoint);
  if (endpoint != NULL && !is_path_lost)
    endpoint_note_unreachable(endpoint, now);
  path_close_dispatch(router, request, FALSE);
  request->unreachable++;
  if (request->unreachable >= UNREACHABLE_MAX &&
      now + RETRY_TIME_MIN < request->expires &&
      path_return_to_queue(router, request, now))
    return;
  if (request->unreachable >= UNREACHABLE_MAX ||
      now + RETRY_TIME_MIN >= request->expires)
    finish_give_up(router, request, now);
  else
    path_run(router, request, now);
}

/* The endpoint rejected the run. */
static void handle_not_run(Router *router, Request *request,
                           Endpoint *endpoint, const Outcome *outcome,
                           gint64 now) {
  router_count(router, NOT_RUN);
  request->arrivals++;
  request->was_rejected = TRUE;
  if (endpoint != NULL) {
    endpoint_note_failure(endpoint, now);
    if (outcome->misdirected && router->overload_control)
      endpoint_note_ended(endpoint, now);
    else if (outcome->misdirected)
      endpoint_note_unreachable(endpoint, now);
  }
  path_close_dispatch(router, request, FALSE);
  outcomes_retry(router, request, FALSE, now);
}

/* Avoids a plain endpoint that breaks off nearly everything. */
static void note_break(Router *router, const Request *request,
                       Endpoint *endpoint, gint64 now) {
  if (!router->overload_control || request->service->is_engine ||
      request->head_sent)
    return;
  if (outlier_note_break(&endpoint->evidence, now - request->open.sent, now))
    endpoint_note_unreachable(endpoint, now);
}

/* The run broke off without a complete answer. */
static void handle_broken(Router *router, Request *request, Endpoint *endpoint,
                          gint64 now) {
  router_count(router, BROKEN);
  request->arrivals++;
  request->runs++;
  if (endpoint != NULL) {
    endpoint_note_failure(endpoint, now);
    note_break(router, request, endpoint, now);
    suspects_note_broken(router, request, endpoint, now);
  }
  path_close_dispatch(router, request, FALSE);
  if (request->head_sent)
    router_count(router, RESUMED);
  outcomes_retry(router, request, TRUE, now);
}

/* }================================================================== */

/*
** {==================================================================
** Outcomes
** ===================================================================
*/

/* How the run of a complete answer has ended. */
static RunEnd run_end_of(const Outcome *outcome) {
  return outcome->ends_with_close ? RUN_UNPROVED : RUN_WRITTEN;
}

/* A complete answer came. An answer with a status of 500 or more counts as
** a failure of the endpoint: it is passed on only if no other run may be
** sent. */
static void handle_answer(Router *router, Request *request, Endpoint *endpoint,
                          const Outcome *outcome, gint64 now) {
  gboolean failed = outcome->status >= 500;
  if (endpoint != NULL && failed)
    endpoint_note_failure(endpoint, now);
  else if (endpoint != NULL)
    endpoint_note_success(endpoint, now);
  suspects_note_success(
      router, request,
      outcome->status < 300 ? run_end_of(outcome) : RUN_FAILED, now);
  if (failed && replace_run(router, request, FALSE, now))
    return;
  if (request->head_sent) { /* the resumed run answered without a stream */
    request->runs++;
    finish_give_up(router, request, now);
    return;
  }
  router_record_duration(router, request, DURATION_PLAIN, now);
  finish_answered(router, request, outcome);
}

/* Updates the longest pause between pieces. */
static void update_longest_pause(Request *request, gint64 now) {
  gint64 pause = request->last_piece != 0 ? now - request->last_piece : 0;
  request->longest_pause = MAX(request->longest_pause, pause);
  request->last_piece = now;
}

/* Has the path checked if the stream pauses from now on. */
static void expect_piece(Request *request, gint64 now) {
  silent_run_note_heard(request);
  request->path_check_at = now + silence_check_after(request);
}

/* Only the path is in question: engines pause for other reasons too. */
void outcomes_check_path(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL && request->open.via == 0)
    reach_note_silence(router->reach, endpoint,
                       now - silence_check_after(request), now);
  request->path_check_at = now + silence_check_after(request);
}

/* Passes a piece of a stream on. */
static void handle_piece(Router *router, Request *request,
                         const Outcome *outcome, gint64 now) {
  continuation_note_piece(router, request, now);
  suspects_note_piece(router, request, now);
  update_longest_pause(request, now);
  expect_piece(request, now);
  if (outcome->event != NULL) {
    g_free(request->last_event);
    request->last_event = g_strdup(outcome->event);
    request->tokens_made =
        (guint32)(g_ascii_strtoull(outcome->event, NULL, 10) *
                  request->service->tokens_per_event);
    update_memory(router, request);
  }
  if (request->stall_at != 0)
    request->stall_at = now + silence_piece_timeout(request);
  router->host.answer(router->host.data, request->number, outcome);
}

/* The run goes on; only later choices of endpoints take the failure into
** account. */
void outcomes_mark_suspect(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  request->suspect_at = 0;
  if (endpoint == NULL)
    return;
  endpoint_note_failure(endpoint, now);
  if (request->open.via == 0)
    reach_note_silence(router->reach, endpoint, request->open.sent, now);
  router->load_version++;
}

/* Passes the head of a stream on, unless the stream was resumed. */
static void handle_stream_head(Router *router, Request *request,
                               const Outcome *outcome, gint64 now) {
  request->suspect_at = 0;
  expect_piece(request, now);
  if (request->stall_at != 0)
    request->stall_at = now + silence_head_timeout(request);
  if (request->head_sent)
    return; /* resumed: the caller has had its head */
  request->head_sent = TRUE;
  router_record_duration(router, request, DURATION_FIRST_PIECE, now);
  router->host.answer(router->host.data, request->number, outcome);
}

/* Records a failure of the prefill engine, because two decode engines rejected
** its handle: it drops handles too early. */
static void blame_prefill(Router *router, const Request *request, gint64 now) {
  Endpoint *prefill =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  if (prefill != NULL)
    endpoint_note_failure(prefill, now);
}

/* Returns TRUE if the outcome shows that the endpoint's process answered. */
static gboolean is_sign_of_life(const Outcome *outcome) {
  return outcome->kind != OUTCOME_UNREACHABLE &&
         outcome->kind != OUTCOME_BROKEN && !outcome->misdirected;
}

void outcomes_handle(Router *router, Request *request, const Outcome *outcome,
                     gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  gboolean is_path_lost = reach_note_outcome(router->reach, endpoint,
                                             request->open.via, outcome, now);
  if (outcome->kind != OUTCOME_STREAM_PIECE)
    router_log(router, MP_LOG_ROUTE_OUTCOME,
               " request=%s endpoint=%s software=%.24s outcome=%s status=%d "
               "connection=%s after_ms=%d last_event=%s longest_pause_ms=%d "
               "framing=%s connection_end=%s",
               request->id, request->open.endpoint,
               endpoint_software_text(endpoint), outcome_name(outcome->kind),
               outcome->status, outcome->was_kept ? "kept" : "new",
               (int)((now - request->open.sent) / MP_MS),
               request->last_event != NULL ? request->last_event : "-",
               (int)(request->longest_pause / MP_MS),
               outcome->framing != NULL ? outcome->framing : "-",
               outcome->connection_end != NULL ? outcome->connection_end
                                               : "-");
  if (endpoint != NULL && is_sign_of_life(outcome))
    endpoint_note_heard(endpoint, now);
  if (request->handle != NULL && outcome->kind == OUTCOME_NOT_RUN &&
      request->arrivals > 0) {
    blame_prefill(router, request, now);
    g_clear_pointer(&request->read_by, g_free);
  }
  if (outcome->kind != OUTCOME_UNREACHABLE &&
      (outcome->kind != OUTCOME_NOT_RUN || request->arrivals > 0)) {
    drop_used_handle(request); /* no longer valid if two engines rejected it */
  }
  if (outcome->kind == OUTCOME_NOT_RUN || outcome->kind == OUTCOME_BROKEN)
    path_exclude(request, request->open.endpoint);
  switch (outcome->kind) {
  case OUTCOME_UNREACHABLE:
    handle_unreachable(router, request, endpoint, is_path_lost, now);
    break;
  case OUTCOME_NOT_RUN:
    handle_not_run(router, request, endpoint, outcome, now);
    break;
  case OUTCOME_BROKEN:
    handle_broken(router, request, endpoint, now);
    break;
  case OUTCOME_ANSWER:
    handle_answer(router, request, endpoint, outcome, now);
    break;
  case OUTCOME_STREAM_HEAD:
    handle_stream_head(router, request, outcome, now);
    break;
  case OUTCOME_STREAM_PIECE:
    handle_piece(router, request, outcome, now);
    break;
  case OUTCOME_STREAM_END:
    if (endpoint != NULL)
      endpoint_note_success(endpoint, now);
    estimate_observe_output(router, request);
    suspects_note_success(router, request, run_end_of(outcome), now);
    router_record_duration(router, request, DURATION_STREAM, now);
    admission_note_run_end(router, request, now);
    finish_answered(router, request, outcome);
    break;
  }
}

/* }================================================================== */
