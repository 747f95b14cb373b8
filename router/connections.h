/*
** connections.h
** Decides which idle connections to plain endpoints this instance reports to
** the other instances
**
** A plain endpoint (one that is no engine) accepts a limited number of
** connections from all instances together (Service.max_connections), so each
** instance has to know about how many the others hold. Connections at which a
** dispatch is open are reported in the load digests together with it. Idle
** ones are reported only where they may bring an endpoint near its limit:
** elsewhere they would fill the digests with rows that change nothing when
** many instances face many endpoints.
**
** loads.c calls this while it writes a digest. The module owns nothing.
*/

#ifndef ROUTER_CONNECTIONS_H
#define ROUTER_CONNECTIONS_H

#include "router/state.h"

/* The result for the service that was asked about last, so that a loop over
** endpoints computes it once for neighbours of the same service. It starts all
** zero and is valid during one such loop only. */
typedef struct ConnectionsView {
  const char *service;  /* borrowed from an EndpointRecord; NULL: none yet */
  guint endpoint_limit; /* connections that each endpoint of it accepts from
                        ** all instances; 0: unlimited */
  double estimate;      /* connections at each endpoint if every instance has
                        ** as many as this one */
} ConnectionsView;

/* Returns TRUE if this instance must report its idle connections to the
** endpoint: the endpoint is a plain one with a limit, this instance has a
** connection to it, and either the estimate or the known count is near the
** limit. */
gboolean connections_must_report(const Router *router,
                                 const Endpoint *endpoint,
                                 ConnectionsView *view);

#endif
