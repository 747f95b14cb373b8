/*
** gateway.h
** One instance of madderpierd that speaks a dialect: the router (router/) and
** the libevent adapters that perform its effects
**
** The daemon creates one gateway for each process. Times are in microseconds.
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
  guint32 capacity;     /* InstanceRecord.capacity */
  mp_Addr callers;      /* listens for callers (HTTP) */
  mp_Addr ready;        /* listens for readiness checks of load balancers
                        ** (HTTP); 0: does not */
  mp_Addr control;      /* listens for queries of other instances (HTTP);
                        ** 0: does not */
  mp_Addr metrics;  /* listens for scrapes of metrics (HTTP); 0: does not */
  mp_Addr exchange; /* sends and receives datagrams of instances (UDP) */
  mp_Addr store;    /* the platform's store (HTTP) */
  const mp_Addr *peers; /* 'control' addresses of other instances */
  unsigned peers_count;
  double retry_ratio; /* this and the next two: RouterOptions */
  unsigned retry_slack;
  gint64 retry_window;
  gint64 lease_length;    /* of the lease on giving orders to engines; 0: this
                          ** instance gives none */
  gint64 watch_wait;      /* longest wait of one watch of the store */
  gint64 propagation_max; /* a change of the store is known to all instances
                           ** within this time */
  LimitTolerance limits;  /* of client accounts */
  gint64 revoke_within;   /* longest time for which a revoked key is accepted;
                          ** 0: until its removal is known here */
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

/* Logs that the settings were reloaded. No setting can change in a process. */
void gateway_reload(Gateway *gateway);

/*
** Begins a planned stop. The event loop is ended when no request is open, at
** the earliest after 'drain_least', or after 'drain_most'. It has no effect
** when a stop has begun already.
*/
void gateway_drain(Gateway *gateway);
/* Has a planned stop ended with no request open? */
gboolean gateway_is_drained(const Gateway *gateway);

#endif
