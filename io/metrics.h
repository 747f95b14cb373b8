/*
** metrics.h
** The metrics of one instance as text, in the Prometheus format
** (version 0.0.4), with durations in seconds
**
** gateway.c collects the numbers, and status_server.c serves the text. The
** names of the metrics in metrics.c are an interface to operators' tools.
*/

#ifndef METRICS_H
#define METRICS_H

#include "dialect/dialect.h"
#include "router/router.h"

/*
** The numbers that do not come from the router's own counters. A guint64 is a
** total since the start, and any other number the present value, unless its
** comment says otherwise.
*/
typedef struct AdapterCounts {
  guint64 endpoint_connections;
  guint64 store_calls;
  guint64 abandoned_store_calls; /* calls abandoned for newer news elsewhere */
  gint64 news_lag[MP_RELAY_KINDS]; /* by StoreKind: how long this instance has
                                   ** lagged behind a known change, us */
  guint64 log_lines_left_out;      /* log_left_out */
  guint64 log_lines_lost;          /* log_lost */
  unsigned idle_endpoint_connections;
  const char *news_role;   /* relay_role_name of this instance */
  gint64 news_age;         /* us since the store has answered this instance or
                           ** a relay that it hears */
  gboolean ready;          /* readiness checks succeed */
  guint suspects;          /* requests that endpoints crashed under lately */
  guint held;              /* those of them that are not sent any more */
  guint64 rate_skips;      /* choices that excluded an endpoint by its rate */
  guint limited_endpoints; /* endpoints that limit the rate of requests */
  guint leaving_endpoints; /* endpoints whose responses said that they leave */
  guint resting_endpoints; /* endpoints that want no request from here now */
  guint waiting;           /* queued requests */
  guint waiting_in_time; /* those of them that can still be answered in time */
  /* objects of the store that could not be read, by StoreKind and by the field
  ** that is wrong */
  guint64 bad_objects[MP_RELAY_KINDS][RECORD_FIELD_COUNT];
  StorePosition
      known_positions[MP_RELAY_KINDS]; /* by StoreKind: position up to which
                                        ** changes are known */
  guint64 store_era; /* latest era of the store that is known; 0: none */
} AdapterCounts;

/* Returns the text, which the caller frees by g_string_free. */
GString *metrics_text(const Router *router, const AdapterCounts *counts);

#endif
