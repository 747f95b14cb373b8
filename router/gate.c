/*
** gate.c
** May something be sent to an endpoint now?
*/

#include "router/gate.h"

static gboolean may_leave(DispatchKind kind) {
  return kind == DISPATCH_RELEASE || kind == DISPATCH_CHECK;
}

static gboolean may_disturb(const Availability *known, DispatchKind kind) {
  return kind == DISPATCH_CHECK ||
         (kind == DISPATCH_RELEASE && !known->is_disturbed);
}

GateVerdict gate_ask(const Endpoint *endpoint, DispatchKind kind,
                     const GateRates *rates, gint64 now) {
  const Availability *known = &endpoint->availability;
  if (endpoint_leaves(endpoint) && !may_leave(kind))
    return GATE_LEAVING;
  if (availability_rest_left(known, now) > 0 && !may_disturb(known, kind))
    return GATE_RESTING;
  if (rates == NULL || rates->limits == NULL ||
      rate_limits_allow(rates->limits, endpoint->hash, &rates->sharers, now))
    return GATE_OPEN;
  return GATE_RATE;
}

const char *gate_verdict_name(GateVerdict verdict) {
  static const char *const names[] = {"open", "leaving", "resting", "rate"};
  return names[verdict];
}
