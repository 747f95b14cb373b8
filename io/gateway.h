/*
** gateway.h
** One instance that routes requests in a dialect: the router, and the
** carriers that perform what it asks for
*/

#ifndef GATEWAY_H
#define GATEWAY_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct Gateway Gateway;

typedef struct GatewayOptions {
  const char *instance; /* its own name */
  const char *zone;
  guint32 capacity; /* InstanceRecord.capacity */
  mp_Addr callers;
  mp_Addr ready;    /* asked by the balancer */
  mp_Addr control;  /* asked by other instances; 0: none */
  mp_Addr metrics;  /* 0: none */
  mp_Addr exchange; /* datagrams between instances */
  mp_Addr store;
  const mp_Addr *peers; /* control addresses of other instances */
  unsigned peers_count;
  double retry_ratio;
  unsigned retry_slack;
  gint64 retry_window;
  gint64 lease_length;    /* of orders to engines; 0: none are given */
  gint64 watch_wait;      /* longest wait of one watch of the store */
  gint64 propagation_max; /* changes of the store are known after this */
  LimitTolerance limits;  /* of client accounts */
  gint64 revoke_within;   /* a key that was taken away is served so long at the
                          ** most; 0: until the news is heard */
  gint64 drain_least;     /* a planned stop takes connections so long */
  gint64 drain_most;      /* and ends after this, whatever is open */
} GatewayOptions;

/* NULL and an error when an address cannot be bound */
Gateway *gateway_new(struct event_base *base, const Dialect *dialect,
                     const GatewayOptions *options, Log *log, GError **error);
void gateway_free(Gateway *gateway);

/* the settings may have changed: what can change in a life takes effect */
void gateway_reload(Gateway *gateway);

/* planned stop: the loop is broken once nothing is open */
void gateway_drain(Gateway *gateway);
/* the last drain left nothing open */
gboolean gateway_is_drained(const Gateway *gateway);

#endif
