/*
** finish.c
** How a request ends
** Invariant: a caller is told "not run" only while no dispatch of the
** request has perhaps run, and none can any more.
*/

#include "router/state.h"

/* when a refused caller may come back */
#define RETRY_AFTER_BUSY_MS 400
#define RETRY_AFTER_ABSENT_MS 700
#define RETRY_AFTER_DRAINING_MS 50

static void forget(Router *router, Request *request) {
  path_close_dispatch(router, request, TRUE);
  admission_leave(router, request);
  prefill_release_reservation(router, request);
  g_hash_table_remove(router->requests, &request->number);
}

void finish_answered(Router *router, Request *request,
                     const Outcome *outcome) {
  router_count(router, ANSWERED);
  router->host.answer(router->host.data, request->number, outcome);
  path_close_dispatch(router, request, FALSE);
  forget(router, request);
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
    return RETRY_AFTER_ABSENT_MS;
  case REFUSAL_DRAINING:
    return RETRY_AFTER_DRAINING_MS;
  case REFUSAL_HELD:
  case REFUSAL_SUSPECTED: /* the request says when: suspects_may_dispatch */
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
                                      "suspected"};
  return names[kind];
}

/* the caller is told that it did not run, so it spent nothing */
static gboolean is_told_not_run(RefusalKind kind) {
  return kind != REFUSAL_OUTCOME_UNKNOWN && kind != REFUSAL_TIMEOUT;
}

void finish_refuse(Router *router, Request *request, RefusalKind kind) {
  Refusal refusal = {kind, finish_default_retry_ms(kind)};
  if (is_told_not_run(kind))
    accounts_refund(router, request);
  if (request->come_back != 0 && is_told_not_run(kind))
    refusal.retry_after_ms = request->come_back / MP_MS;
  router_count(router, REFUSED);
  if (kind == REFUSAL_HELD)
    router_count(router, REFUSED_HELD);
  if (kind == REFUSAL_REST)
    router_count(router, REFUSED_REST);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s runs=%u arrivals=%u unreachable=%u "
             "content=%016" G_GINT64_MODIFIER "x",
             request->id, finish_refusal_name(kind), request->runs,
             request->arrivals, request->unreachable, request->content);
  path_close_dispatch(router, request, TRUE);
  router->host.refuse(router->host.data, request->number, &refusal);
  forget(router, request);
}

static void break_off(Router *router, Request *request, const char *reason) {
  router_count(router, BROKEN_OFF);
  router_log(router, MP_LOG_ROUTE_BROKEN_OFF,
             " request=%s reason=%s runs=%u last_event=%s", request->id,
             reason, request->runs,
             request->last_event != NULL ? request->last_event : "-");
  path_close_dispatch(router, request, TRUE);
  router->host.break_off(router->host.data, request->number);
  forget(router, request);
}

void finish_give_up(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, "endpoint_lost");
  else if (request->runs > 0)
    finish_refuse(router, request, REFUSAL_OUTCOME_UNKNOWN);
  else if (request->has_shortage)
    finish_refuse(router, request, request->shortage_reason);
  else if (request->was_rejected)
    finish_refuse(router, request, REFUSAL_BUSY);
  else
    finish_refuse(router, request, REFUSAL_NO_ENDPOINT);
}

/* a run that is still out may be at work, or begin to */
static gboolean may_have_run(const Request *request) {
  return request->runs > 0 ||
         (request->phase == PHASE_RUN && request->open.number != 0);
}

void finish_expire(Router *router, Request *request, gint64 now) {
  gboolean may = may_have_run(request);
  prefill_drop_handle(router, request, now);
  if (request->head_sent)
    break_off(router, request, "timeout");
  else if (may)
    finish_refuse(router, request, REFUSAL_TIMEOUT);
  else
    finish_refuse(router, request, REFUSAL_NOT_RUN);
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
  forget(router, request);
}
