/*
** dispatcher.c
** Sends dispatches; no other file calls RouterHost.dispatch
**
** Invariant: a dispatch that the gate (gate.h) forbids is not sent. Endpoints
** are chosen by the same gate, so a dispatch that is held back here shows that
** a choice did not ask it; the event E2016 names the dispatch.
*/

#include "router/gate.h"
#include "router/state.h"

/* Returns the name of a kind, as logs have it. */
static const char *kind_name(DispatchKind kind) {
  static const char *const names[] = {"run",    "prefill", "release",
                                      "report", "check",   "order"};
  return names[kind];
}

/* Returns TRUE if the dispatch may be left out silently: an engine frees the
** memory by itself when the handle expires. */
static gboolean is_optional(const Dispatch *dispatch) {
  return dispatch->kind == DISPATCH_RELEASE;
}

/* Counts and logs a dispatch that the gate forbids, unless it is optional. */
static void report_held_back(Router *router, const Dispatch *dispatch,
                             const Endpoint *endpoint, GateVerdict verdict) {
  if (is_optional(dispatch))
    return;
  router_count(router, HELD_BACK);
  router_log(router, MP_LOG_DISPATCH_HELD_BACK,
             " endpoint=%s kind=%s reason=%s request=%" G_GUINT64_FORMAT,
             endpoint->record.id, kind_name(dispatch->kind),
             gate_verdict_name(verdict), dispatch->request);
}

guint64 dispatcher_send(Router *router, Dispatch *dispatch, Endpoint *endpoint,
                        gint64 now) {
  GateVerdict verdict = gate_check(endpoint, dispatch->kind, now);
  if (verdict != GATE_OPEN) {
    report_held_back(router, dispatch, endpoint, verdict);
    return 0;
  }
  if (dispatch->kind != DISPATCH_CHECK)
    dispatch->via = reach_choose_carrier(router->reach, endpoint, now);
  dispatch->number = ++router->last_dispatch;
  dispatch->address = endpoint->record.address;
  dispatch->endpoint = endpoint->record.id;
  dispatch->life = endpoint->hash;
  if (dispatch->kind != DISPATCH_CHECK) {
    rate_limits_count_sent(router->rates, endpoint->hash);
    endpoint->availability.has_dispatch_in_rest = TRUE;
  }
  router->host.dispatch(router->host.data, dispatch);
  return dispatch->number;
}
