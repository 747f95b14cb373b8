/*
** gate.c
** May something be sent to an endpoint now?
*/

#include "router/gate.h"

GateVerdict gate_ask(const Endpoint *endpoint, DispatchKind kind, gint64 now) {
  (void)now;
  if (kind == DISPATCH_RELEASE || kind == DISPATCH_CHECK)
    return GATE_OPEN;
  return endpoint_leaves(endpoint) ? GATE_LEAVING : GATE_OPEN;
}

const char *gate_verdict_name(GateVerdict verdict) {
  static const char *const names[] = {"open", "leaving"};
  return names[verdict];
}
