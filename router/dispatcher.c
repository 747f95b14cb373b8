/*
** dispatcher.c
** The one place from which dispatches go out
**
** Invariant: nothing is sent to an endpoint that the gate (gate.h) forbids. An
** endpoint is chosen by the same gate, so that a dispatch that is held back
** here means that a choice went round it: E2016 shows which.
*/

#include "router/gate.h"
#include "router/state.h"

static const char *kind_name(DispatchKind kind) {
  static const char *const names[] = {"run",    "prefill", "release",
                                      "report", "check",   "order"};
  return names[kind];
}

/* memory that is not freed now lapses by itself */
static gboolean is_optional(const Dispatch *dispatch) {
  return dispatch->kind == DISPATCH_RELEASE;
}

static void hold_back(Router *router, const Dispatch *dispatch,
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
    hold_back(router, dispatch, endpoint, verdict);
    return 0;
  }
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
