/*
** gate.h
** May something be sent to an endpoint now?
**
** Every choice of an endpoint asks here, and dispatcher.c asks again for each
** dispatch that goes out: what an endpoint has said forbids a dispatch in one
** place, whoever wants to send it.
**
**                   the endpoint leaves
**   RUN, PREFILL      no
**   ORDER, REPORT     no
**   RELEASE           yes: it frees memory
**   CHECK             yes: no request is sent
*/

#ifndef ROUTER_GATE_H
#define ROUTER_GATE_H

#include "router/endpoint_table.h"
#include "router/router.h"

typedef enum GateVerdict {
  GATE_OPEN,
  GATE_LEAVING /* the endpoint leaves, by its own word or the list's */
} GateVerdict;

GateVerdict gate_ask(const Endpoint *endpoint, DispatchKind kind, gint64 now);
/* as logs and traces have it */
const char *gate_verdict_name(GateVerdict verdict);

#endif
