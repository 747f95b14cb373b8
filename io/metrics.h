/*
** metrics.h
** The metrics of one instance as text, in the Prometheus format
** (version 0.0.4), with durations in seconds
**
** gateway.c collects the numbers, and status_server.c serves the text.
** Operators' tools rely on the names of the metrics and on their labels. The
** names are in metrics.c, except for those of the router's counters and
** durations (router_counter_name, router_duration_name). The values of the
** label 'field' are in dialect/dialect.h (RECORD_FIELDS).
**
** Terms: the store is the platform's database, from which an instance learns
** its configuration and its endpoints. A relay is an instance that watches the
** store for others of its data centre (router/relay_group.h). The store
** numbers its changes with revisions; its era grows by one whenever it is
** restored from a copy, and a position is an era and a revision
** (router/store_position.h). News are changes of the store's objects.
*/

#ifndef METRICS_H
#define METRICS_H

#include "dialect/dialect.h"
#include "io/close_reason.h"
#include "io/flow_control.h"
#include "io/intake.h"
#include "router/router.h"

/*
** The numbers that metrics_text() does not read from the router itself. A
** guint64 is a total since the start, and any other number the present value,
** unless its comment says otherwise. Arrays of MP_RELAY_KINDS elements have
** one for each StoreKind, in that order.
*/
typedef struct AdapterCounts {
  guint64 endpoint_connections;
  guint64 store_calls;
  guint64 abandoned_store_calls;   /* as following_abandoned_calls() */
  gint64 news_lag[MP_RELAY_KINDS]; /* time in us since another instance
                                   ** announced a change that is not known
                                   ** here; 0: there is none */
  guint64 log_lines_left_out;      /* log_left_out */
  guint64 log_lines_lost;          /* log_lost */
  unsigned idle_endpoint_connections;
  const char *news_role; /* relay_role_name of this instance */
  gint64 news_age;       /* time in us since the store last answered this
                         ** instance or one of the relays whose heartbeats
                         ** it receives, whichever was last. For this
                         ** instance, the older one of the last answers about
                         ** the configuration and the endpoints counts. */
  gboolean ready;        /* readiness checks succeed */
  guint struck_requests; /* requests with a strike: an endpoint crashed while
                         ** it ran them, and the strike still counts
                         ** (router/quarantine.h) */
  guint held_requests;   /* those of them that are quarantined: they are not
                         ** sent to endpoints until the hold ends */
  guint64 rate_skips;    /* choices of an endpoint for a request that left
                         ** another one out because of its rate limit; the
                         ** router's running total */
  guint unreachable_endpoints; /* endpoints that are avoided because
                               ** connections from here to them failed */
  guint down_endpoints;        /* endpoints that are taken as down, by own
                               ** results or reports of other instances */
  guint indirect_endpoints;    /* endpoints that are reached through another
                               ** instance */
  guint carried_connections;   /* connections to endpoints that this instance
                               ** holds for others now */
  guint64 carried_connections_total;
  guint stream_origins;    /* streams of which it is known where they began */
  guint limited_endpoints; /* endpoints that limit the rate of requests */
  guint leaving_endpoints; /* endpoints whose responses announced that they
                           ** are leaving service */
  guint resting_endpoints; /* endpoints that have asked this instance to pause
                           ** its requests, for a time that is not over */
  guint64 unread_bytes;    /* bytes of answers that callers have not read; the
                           ** present value */
  guint64 body_bytes;      /* bytes of requests' bodies, two copies of each;
                           ** the present value */
  guint64 bodies_refused;  /* requests refused for lack of memory for their
                           ** bodies */
  guint sending_connections; /* callers' connections that have such bytes as
                             ** the next number counts */
  guint64 unsent_bytes;      /* bytes written for callers that the kernel has
                             ** not taken; the present value */
  guint paused_reads; /* endpoints' answers that are not read on, because
                      ** their callers read slowly */
  guint64 flow_aborts[FLOW_REASON_COUNT]; /* connections of slow callers that
                                          ** were aborted, by FlowReason */
  guint64 responses_lost[CLOSE_REASON_COUNT]; /* with the connections of their
                                              ** callers, by CloseReason */
  guint waiting;                              /* queued requests */
  guint waiting_in_time; /* those of them that can still be answered in time */
  /* objects of the store that could not be read, by the field that is missing
  ** or invalid */
  guint64 bad_objects[MP_RELAY_KINDS][RECORD_FIELD_COUNT];
  guint unusable_objects[MP_RELAY_KINDS]; /* directory_unusable_objects() */
  /* positions up to which this instance knows all changes */
  StorePosition known_positions[MP_RELAY_KINDS];
  guint64 store_era; /* latest era of the store that is known, not a total; 0:
                     ** none */
  const Intake *intake;   /* of callers; NULL: left out */
  gint64 processor_time;  /* us, of this process */
  gint64 oldest_digest;   /* as router_oldest_digest() */
  guint64 standstills;    /* io/standstill.h */
  gint64 standstill_time; /* us, how long they were together */
  guint64 caller_bytes;   /* all that connections of callers hold, as far as it
                          ** is bounded (flow_used); the present value */
  guint64 input_refused;  /* requests refused because callers held too much */
  guint64 places_taken;   /* connections of callers closed for new ones */
} AdapterCounts;

/* Returns the text, which the caller frees by g_string_free. */
GString *metrics_text(const Router *router, const AdapterCounts *counts);

#endif
