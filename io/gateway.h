/*
** gateway.h
** One instance of madderpierd for an external protocol: the router (router/),
** and the adapters that do its input and output on libevent
**
** A dialect (dialect/dialect.h) translates between that protocol and the
** records of the router. An instance with madderpier's own protocol is a Node
** (node.h) instead, which shares none of these adapters. The daemon creates
** one of the two in each process. Times are in microseconds.
*/

#ifndef GATEWAY_H
#define GATEWAY_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct Gateway Gateway;

typedef struct GatewayOptions {
  const char *instance; /* name of this instance */
  const char *zone;     /* its data centre */
  guint32 capacity;     /* of its machine; unit: InstanceRecord.capacity */
  mp_Addr callers;      /* listens for callers (HTTP) */
  mp_Addr ready;        /* listens for readiness checks of load balancers
                        ** (HTTP); 0: does not */
  mp_Addr control;      /* listens for queries of other instances (HTTP);
                        ** 0: does not */
  mp_Addr metrics;  /* listens for scrapes of metrics (HTTP); 0: does not */
  mp_Addr exchange; /* exchanges datagrams with other instances (UDP) */
  mp_Addr store;    /* the platform's store (HTTP), a database of the
                    ** configuration, the endpoints and the instances */
  const mp_Addr *peers; /* 'control' addresses of some other instances, which
                        ** are queried at the start while the store is not
                        ** available */
  unsigned peers_count;
  double retry_ratio; /* this and the next two: as in RouterOptions */
  unsigned retry_slack;
  gint64 retry_window;
  gint64 lease_length;    /* duration of the lease in the store whose holder
                          ** orders engines (endpoints that run models) to
                          ** change between prefill and decode
                          ** (router/stages.h); 0: this instance never takes
                          ** the lease */
  gint64 watch_wait;      /* longest time for which the store may hold back the
                          ** response to one watch, a call that waits for
                          ** changes */
  gint64 propagation_max; /* target: all instances know a change within this
                          ** time after the store has confirmed it; timeouts
                          ** of relays follow from it (router/relay_group.h) */
  gboolean overload_control; /* as in RouterOptions */
  guint64 unread_bound; /* bytes of answers that callers have not read, and of
                        ** bodies of requests, over all connections
                        ** (io/flow_control.h); 0: flow control is off */
  gint64 request_timeout; /* longest time for a request to arrive whole */
  guint connections_max;  /* of callers; 0: as many as come */
  LimitTolerance limits;  /* by how much the limits of client accounts may be
                          ** exceeded over all instances */
  gint64 revoke_within;   /* longest time for which a revoked key of a client
                          ** account is accepted, even while the store is not
                          ** available; 0: until its removal is known here */
  gint64 drain_least;     /* a planned stop accepts requests for this time */
  gint64 drain_most;      /* a planned stop ends after this time, even if
                          ** requests are open */
} GatewayOptions;

/*
** Starts an instance. Returns NULL and sets an error when an address cannot be
** bound, except for 'metrics' (status_server.h). 'base', 'dialect' and 'log'
** are borrowed and have to outlive the gateway; 'options' is copied where it
** is needed.
*/
Gateway *gateway_new(struct event_base *base, const Dialect *dialect,
                     const GatewayOptions *options, Log *log, GError **error);
/* Ends the instance, and closes all its connections. */
void gateway_free(Gateway *gateway);

/*
** Logs a reload (SIGHUP). The settings are not read again: a changed setting
** takes effect when the process is restarted.
*/
void gateway_reload(Gateway *gateway);

/*
** Begins a planned stop, whose signal arrived 'at' (clock_now()); the times of
** the stop count from then. The event loop is ended once 'drain_least' has
** passed and all responses are sent, and soon after 'drain_most' in any case
** (planned_stop.h). A call has no effect when a stop has begun already.
*/
void gateway_drain(Gateway *gateway, gint64 at);
/* Has a planned stop ended and cut nothing off? */
gboolean gateway_is_drained(const Gateway *gateway);

#endif
