/*
** outcomes.c
** What becomes of a request when its dispatch ends, or says nothing
**
** The invariants of path.c hold here: what may be sent again, and what the
** retry budget has to allow first.
*/

#include <string.h>

#include "router/retry_exchange.h"
#include "router/silence.h"
#include "router/state.h"

/* endpoints that may be out of reach before a request gives up */
#define MOST_UNREACHABLE 6
/* runs that may be turned away before a request gives up */
#define MOST_ARRIVALS 4
/* a silent run that may not be left now is looked at again after this */
#define STALL_AGAIN (500 * MP_MS)
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

void outcomes_retry(Router *router, Request *request, gboolean may_have_run,
                    gint64 now) {
  gboolean allowed = may_try_again(request, may_have_run, now);
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

/* is there an endpoint beside those that failed and the open run's own? */
static gboolean has_other_endpoint(Router *router, Request *request,
                                   gint64 now) {
  EndpointQuery wish =
      path_query(router, request, path_run_stage(request), now);
  const char *others[EXCLUDED_ENDPOINTS_MAX + 1];
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
      !has_other_endpoint(router, request, now) ||
      !retry_exchange_try_take(router, request->service->name, now))
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
void outcomes_handle_stall(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (endpoint != NULL)
    endpoint_note_failure(endpoint, now);
  if (!leave_for_another(router, request, TRUE, now))
    request->stall_at = now + STALL_AGAIN;
}

/* no connection stood: the next endpoint, and no retry is spent */
static void unreachable(Router *router, Request *request, Endpoint *endpoint,
                        gint64 now) {
  router_count(router, UNREACHABLE);
  if (endpoint != NULL)
    endpoint_note_unreachable(endpoint, now);
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
  request->was_rejected = TRUE;
  if (endpoint != NULL) {
    endpoint_note_failure(endpoint, now);
    if (outcome->misdirected)
      endpoint_note_unreachable(endpoint, now);
  }
  path_close_dispatch(router, request, FALSE);
  outcomes_retry(router, request, FALSE, now);
}

static void broken(Router *router, Request *request, Endpoint *endpoint,
                   gint64 now) {
  router_count(router, BROKEN);
  request->arrivals++;
  request->runs++;
  if (endpoint != NULL) {
    endpoint_note_failure(endpoint, now);
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

/* the endpoint's own failure: pass it on, or try another one */
static void answered(Router *router, Request *request, Endpoint *endpoint,
                     const Outcome *outcome, gint64 now) {
  gboolean failed = outcome->status >= 500;
  if (endpoint != NULL && failed)
    endpoint_note_failure(endpoint, now);
  else if (endpoint != NULL)
    endpoint_note_success(endpoint, now);
  suspects_note_success(router, request);
  if (failed && leave_for_another(router, request, FALSE, now))
    return;
  if (request->head_sent) { /* a resumed stream got no stream */
    request->runs++;
    finish_give_up(router, request, now);
    return;
  }
  router_record_duration(router, request, DURATION_PLAIN, now);
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
                              request->service->tokens_per_event);
    count_memory(router, request);
  }
  if (request->stall_at != 0)
    request->stall_at = now + silence_piece_timeout(request);
  router->host.answer(router->host.data, request->number, outcome);
}

/* the run goes on; only the next choices are told */
void outcomes_mark_suspect(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  request->suspect_at = 0;
  if (endpoint == NULL)
    return;
  endpoint_note_failure(endpoint, now);
  router->load_version++;
}

static void stream_head(Router *router, Request *request,
                        const Outcome *outcome, gint64 now) {
  request->suspect_at = 0;
  if (request->stall_at != 0)
    request->stall_at = now + silence_head_timeout(request);
  if (request->head_sent)
    return; /* resumed: the caller keeps its first head */
  request->head_sent = TRUE;
  router_record_duration(router, request, DURATION_FIRST_PIECE, now);
  router->host.answer(router->host.data, request->number, outcome);
}

/* two engines refused the handle: the one that gave it loses them early */
static void blame_prefill(Router *router, const Request *request, gint64 now) {
  Endpoint *prefill =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  if (prefill != NULL)
    endpoint_note_failure(prefill, now);
}

void outcomes_handle(Router *router, Request *request, const Outcome *outcome,
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
      endpoint_note_success(endpoint, now);
    estimate_observe_output(router, request);
    suspects_note_success(router, request);
    router_record_duration(router, request, DURATION_STREAM, now);
    admission_note_run_end(router, now);
    finish_answered(router, request, outcome);
    break;
  }
}

/* }================================================================== */
