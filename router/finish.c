/*
** finish.c
** Ends requests: answers, refusals and broken answers
**
** Invariant: a caller is told "not run" only if no dispatch of its request may
** have run and none can run any more.
*/

#include "router/continuation.h"
#include "router/origin_store.h"
#include "router/state.h"
#include "router/stop_choice.h"

/* after how long a refused caller is told to come back, in ms */
#define RETRY_AFTER_BUSY_MS 400
#define RETRY_AFTER_ABSENT_MS 700

/* Frees the request and everything that it holds elsewhere. */
static void request_drop(Router *router, Request *request) {
  path_close_dispatch(router, request, TRUE);
  admission_leave(router, request);
  prefill_release_reservation(router, request);
  g_hash_table_remove(router->requests, &request->number);
}

void finish_answered(Router *router, Request *request,
                     const Outcome *outcome) {
  router_count(router, ANSWERED);
  origin_store_release(router, request);
  router->host.answer(router->host.data, request->number, outcome);
  path_close_dispatch(router, request, FALSE);
  request_drop(router, request);
}

gint64 finish_default_retry_ms(RefusalKind kind) {
  switch (kind) {
  case REFUSAL_BUSY:
  case REFUSAL_LIMIT:
  case REFUSAL_OLD_CONFIGURATION:
  case REFUSAL_NOT_RUN:
  case REFUSAL_RATE:
  case REFUSAL_REST:
    return RETRY_AFTER_BUSY_MS;
  case REFUSAL_NO_CONFIGURATION:
  case REFUSAL_NO_ENDPOINT:
  case REFUSAL_VERSION_GONE:
    return RETRY_AFTER_ABSENT_MS;
  case REFUSAL_DRAINING:
    return DRAINING_RETRY_MS;
  case REFUSAL_HELD:
  case REFUSAL_SUSPECTED:
  case REFUSAL_STREAM_UNKNOWN: /* Request.come_back says when */
  default:
    return 0;
  }
}

const char *finish_refusal_name(RefusalKind kind) {
  static const char *const names[] = {"no_configuration",
                                      "no_route",
                                      "no_endpoint",
                                      "busy",
                                      "not_run",
                                      "draining",
                                      "outcome_unknown",
                                      "timeout",
                                      "key",
                                      "limit",
                                      "old_configuration",
                                      "held",
                                      "endpoint_rate",
                                      "endpoint_rest",
                                      "suspected",
                                      "stream_unknown",
                                      "version_gone"};
  return names[kind];
}

void finish_count_refusal(Router *router, RefusalKind kind) {
  router_count(router, REFUSED);
  router->refusals[kind]++;
}

/* Returns TRUE if the refusal tells the caller that the request did not run,
** so that its account is charged nothing. */
static gboolean is_told_not_run(RefusalKind kind) {
  return kind != REFUSAL_OUTCOME_UNKNOWN && kind != REFUSAL_TIMEOUT;
}

/* Refuses the request; 'details' is more text for the log line. */
static void refuse(Router *router, Request *request, RefusalKind kind,
                   const char *details) {
  Refusal refusal = {kind, finish_default_retry_ms(kind)};
  if (is_told_not_run(kind))
    accounts_refund(router, request);
  if (request->come_back != 0 && is_told_not_run(kind))
    refusal.retry_after_ms = request->come_back / MP_MS;
  finish_count_refusal(router, kind);
  if (request->service != NULL && request->service->is_engine)
    router->refused_by_priority[request->priority]++;
  if (kind == REFUSAL_HELD)
    router_count(router, REFUSED_HELD);
  if (kind == REFUSAL_REST)
    router_count(router, REFUSED_REST);
  if (kind == REFUSAL_VERSION_GONE)
    router_count(router, REFUSED_VERSION);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s runs=%u arrivals=%u unreachable=%u "
             "content=%016" G_GINT64_MODIFIER "x priority=%u%s",
             request->id, finish_refusal_name(kind), request->runs,
             request->arrivals, request->unreachable, request->content,
             request->priority, details);
  path_close_dispatch(router, request, TRUE);
  router->host.refuse(router->host.data, request->number, &refusal);
  request_drop(router, request);
}

void finish_refuse(Router *router, Request *request, RefusalKind kind) {
  refuse(router, request, kind, "");
}

gboolean finish_outlasting(Router *router, Request *request, gint64 now) {
  const PeerLoads *peers = router->endpoints->peers;
  StopInput input;
  StopChoice choice;
  char details[96];
  if (router->stop_ends_at == 0 || request->expires <= router->stop_ends_at)
    return FALSE;
  input.durations =
      &router_service_state(router, request->service->name)->run_times;
  input.left = router->stop_ends_at - now;
  input.others = peer_loads_count_reachable(peers, PEER_LOAD_TIMEOUT, now);
  input.others_stopping =
      peer_loads_count_stopping(peers, PEER_LOAD_TIMEOUT, now);
  choice = stop_choice_make(&input);
  if (!choice.refuses)
    return FALSE;
  g_snprintf(details, sizeof details,
             " left_ms=%d share=%.4f others=%u others_stopping=%u",
             (int)(input.left / MP_MS), choice.share, input.others,
             input.others_stopping);
  request->come_back = choice.retry_after;
  router_count(router, REFUSED_STOP);
  prefill_drop_handle(router, request, now);
  refuse(router, request, REFUSAL_DRAINING, details);
  return TRUE;
}

/* Ends an answer that has begun, so that the caller sees it is incomplete. */
static void break_off(Router *router, Request *request, const char *reason) {
  router_count(router, BROKEN_OFF);
  router_log(router, MP_LOG_ROUTE_BROKEN_OFF,
             " request=%s reason=%s runs=%u last_event=%s", request->id,
             reason, request->runs,
             request->last_event != NULL ? request->last_event : "-");
  origin_store_release(router, request);
  path_close_dispatch(router, request, TRUE);
  router->host.break_off(router->host.data, request->number);
  request_drop(router, request);
}

void finish_give_up(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, "endpoint_lost");
  else if (request->runs > 0)
    finish_refuse(router, request, REFUSAL_OUTCOME_UNKNOWN);
  else if (!continuation_is_possible(router, request))
    finish_refuse(router, request, REFUSAL_VERSION_GONE);
  else if (request->has_shortage)
    finish_refuse(router, request, request->shortage_reason);
  else if (request->was_rejected)
    finish_refuse(router, request, REFUSAL_BUSY);
  else
    finish_refuse(router, request, REFUSAL_NO_ENDPOINT);
}

/* Returns TRUE if the request may have run, or its open dispatch may run. */
static gboolean may_have_run(const Request *request) {
  return request->runs > 0 ||
         (request->phase == PHASE_RUN && request->open.number != 0);
}

void finish_expire(Router *router, Request *request, gint64 now) {
  gboolean may_run = may_have_run(request);
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, "timeout");
  else if (may_run)
    finish_refuse(router, request, REFUSAL_TIMEOUT);
  else
    finish_refuse(router, request, REFUSAL_NOT_RUN);
}

void finish_stop(Router *router, Request *request, gint64 now) {
  gboolean may_run = may_have_run(request);
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, "stopping");
  else if (may_run)
    finish_refuse(router, request, REFUSAL_OUTCOME_UNKNOWN);
  else
    finish_refuse(router, request, REFUSAL_DRAINING);
}

void finish_forbidden(Router *router, Request *request, RefusalKind why,
                      gint64 now) {
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, finish_refusal_name(why));
  else if (request->runs > 0)
    finish_refuse(router, request, REFUSAL_OUTCOME_UNKNOWN);
  else
    finish_refuse(router, request, why);
}

void finish_hangup(Router *router, Request *request, gint64 now) {
  if (!may_have_run(request))
    accounts_refund(router, request);
  router_count(router, HANGUPS);
  router_log(router, MP_LOG_ROUTE_HANGUP, " request=%s after_ms=%d runs=%u",
             request->id, (int)((now - request->arrived) / MP_MS),
             request->runs);
  prefill_drop_handle(router, request, now);
  request_drop(router, request);
}
