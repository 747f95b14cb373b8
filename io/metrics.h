/*
** metrics.h
** Counters and histograms of one instance as text, in the Prometheus
** format (version 0.0.4). Durations are in seconds.
*/

#ifndef METRICS_H
#define METRICS_H

#include "dialect/dialect.h"
#include "router/router.h"

/* what the carriers count; totals since the start unless said otherwise */
typedef struct AdapterCounts {
  guint64 endpoint_connections;
  guint64 store_calls;
  guint64 abandoned_store_calls;   /* given up for news known elsewhere */
  gint64 news_lag[MP_RELAY_KINDS]; /* by StoreKind; us */
  guint64 log_lines_left_out;
  guint64 log_lines_lost;
  unsigned idle_endpoint_connections; /* now */
  const char *news_role;   /* who follows the store for it: relay_role_name */
  gint64 news_age;         /* since the store answered it or a relay; us */
  gboolean ready;          /* now */
  guint suspects;          /* requests under which endpoints ended lately */
  guint held;              /* of them, those that are not sent any more */
  guint64 rate_skips;      /* choices that left one of these out */
  guint limited_endpoints; /* that name the rate they take */
  guint leaving_endpoints; /* whose answers said that they leave */
  guint resting_endpoints; /* that want no request from this instance now */
  guint waiting;           /* requests that wait for room now */
  guint waiting_in_time;   /* of them, that can still be answered in time */
  /* of the store, by StoreKind and by the field that is wrong */
  guint64 bad_objects[MP_RELAY_KINDS][RECORD_FIELD_COUNT];
  StorePosition
      known_positions[MP_RELAY_KINDS]; /* by StoreKind: known up to there */
  guint64 store_era;                   /* the latest heard of; 0: none */
} AdapterCounts;

/* the caller frees it: g_string_free */
GString *metrics_text(const Router *router, const AdapterCounts *carriers);

#endif
