/*
** gate.h
** Decides whether a dispatch may go to an endpoint now
**
** The gate applies what an endpoint has announced (router/availability.h) and
** the limits that all instances share. Every choice of an endpoint asks it,
** and dispatcher.c asks gate_check again for each dispatch before it goes out,
** so the announcements of an endpoint are enforced in one place, whoever wants
** to send something.
**
** Which dispatches may go to an endpoint that ...
**
**                   is leaving  rests                     names a rate
**   RUN, PREFILL    no          no                        within the rate
**   ORDER, REPORT   no          no                        yes, and counted
**   RELEASE         yes         only as the first         yes, and counted
**                               dispatch of a rest
**   CHECK           yes         yes                       yes, not counted
**
** Nothing but a CHECK goes to an endpoint to which no path is known now
** (router/endpoint_path.h). An ORDER, and the REPORT before it, goes directly
** only: engines tell the holders of the lease apart by where orders come from.
**
** A RELEASE frees memory, which is worth one dispatch in a rest (a CHECK does
** not count); handles that are not released expire by themselves. A CHECK only
** opens a connection and sends no request.
**
** The gate owns nothing and changes nothing.
*/

#ifndef ROUTER_GATE_H
#define ROUTER_GATE_H

#include "router/endpoint_table.h"
#include "router/router.h"

typedef enum GateVerdict {
  GATE_OPEN,        /* the dispatch may go out */
  GATE_LEAVING,     /* the endpoint is leaving, as it announced or as the
                    ** platform lists */
  GATE_RESTING,     /* the endpoint wants no request from this instance */
  GATE_RATE,        /* the rate that the endpoint names is used up */
  GATE_CONNECTIONS, /* the endpoint has about as many connections as it
                    ** accepts */
  GATE_PATH         /* no path is known that such a dispatch may take */
} GateVerdict;

/* Checks a dispatch of this kind against what the endpoint has announced:
** GATE_OPEN, GATE_LEAVING, GATE_RESTING or GATE_PATH. Every dispatch has to
** pass it. */
GateVerdict gate_check(const Endpoint *endpoint, DispatchKind kind,
                       gint64 now);
/* Checks a RUN or PREFILL against the rates and connection limits that all
** instances share: GATE_OPEN, GATE_RATE or GATE_CONNECTIONS. The result may
** depend on a pseudo-random draw; it stays valid until something is sent to
** the endpoint. */
GateVerdict gate_check_limits(const EndpointTable *table,
                              const Endpoint *endpoint,
                              const GateLimits *limits, gint64 now);
/* Returns TRUE if this instance should keep a connection to the endpoint that
** is idle now, FALSE if it should close it so that other instances can open
** one. 'connections_max' is what each endpoint of the service accepts from all
** instances (0: unlimited), 'instances' how many share it. */
gboolean gate_keeps_connection(const EndpointTable *table,
                               const Endpoint *endpoint, guint connections_max,
                               guint instances);
/* Returns the static name of a verdict, as logs and traces have it. */
const char *gate_verdict_name(GateVerdict verdict);

#endif
