/*
** gate.h
** May something be sent to an endpoint now?
**
** Every choice of an endpoint asks here, and dispatcher.c asks again for each
** dispatch that goes out: what an endpoint has said forbids a dispatch in one
** place, whoever wants to send it.
**
**                   it leaves   it rests                 it names a rate
**   RUN, PREFILL    no          no                       as that allows
**   ORDER, REPORT   no          no                       yes, and counted
**   RELEASE         yes         one in a rest: it frees  yes, and counted
**                               memory, the next ones
**                               lapse by themselves
**   CHECK           yes         yes: no request is sent  yes
*/

#ifndef ROUTER_GATE_H
#define ROUTER_GATE_H

#include "router/endpoint_table.h"
#include "router/router.h"

typedef enum GateVerdict {
  GATE_OPEN,
  GATE_LEAVING,    /* the endpoint leaves, by its own word or the list's */
  GATE_RESTING,    /* it wants no request from this instance */
  GATE_RATE,       /* it takes no more by the rate it names */
  GATE_CONNECTIONS /* it takes no more connections */
} GateVerdict;

/* by what the endpoint forbids; what is sent must pass this */
GateVerdict gate_check(const Endpoint *endpoint, DispatchKind kind,
                       gint64 now);
/* by what all instances together may send there: for choices of runs and
** prompts. The answer holds until something is sent */
GateVerdict gate_check_limits(const EndpointTable *table,
                              const Endpoint *endpoint,
                              const GateLimits *limits, gint64 now);
/* is a connection that is free now kept, or closed so that others may open
** one? */
gboolean gate_keeps_connection(const EndpointTable *table,
                               const Endpoint *endpoint, guint connections_max,
                               guint instances);
/* as logs and traces have it */
const char *gate_verdict_name(GateVerdict verdict);

#endif
