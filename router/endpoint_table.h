/*
** endpoint_table.h
** The endpoints that an instance knows, and which one takes a dispatch
**
** What the platform lists (EndpointRecord) stands beside what this
** instance has seen itself: its own open dispatches and recent failures.
*/

#ifndef ROUTER_ENDPOINT_TABLE_H
#define ROUTER_ENDPOINT_TABLE_H

#include "router/availability.h"
#include "router/peer_loads.h"
#include "router/rate_limits.h"
#include "router/records.h"

/* most endpoints that one request leaves out after they failed it */
#define EXCLUDED_ENDPOINTS_MAX 8

typedef struct Endpoint {
  EndpointRecord record;
  guint32 hash;              /* of its id and life, as digests name it */
  guint open;                /* this instance's dispatches there */
  guint connections;         /* this instance's, resting ones too */
  guint resting;             /* of them */
  guint64 tokens;            /* prompt and output tokens of those */
  double failures;           /* recent share of failed dispatches, 0 to 1 */
  gint64 failed_at;          /* when 'failures' was last changed */
  gint64 avoid_until;        /* out of reach: not chosen before then */
  unsigned misses;           /* out of reach so many times in a row */
  Availability availability; /* what this life of it has said */
  EndpointStage changing_to; /* ordered by this instance */
  gint64 changing_until;     /* such an order counts until then; 0: none */
  gint64 no_order_before;    /* it gets no order before then */
} Endpoint;

typedef struct EndpointTable {
  GHashTable *by_id;    /* id -> Endpoint */
  GHashTable *unlisted; /* id -> UnlistedLife */
  GPtrArray *all;       /* Endpoint, in the order they came */
  char *zone;           /* this instance's */
  PeerLoads *peers;     /* what the other instances have open */
  gboolean is_late;     /* loads in other zones are known late */
} EndpointTable;

/* what all instances together may send to the endpoints of a service */
typedef struct GateLimits {
  RateLimits *rates;     /* NULL: no endpoint names one */
  guint connections_max; /* at each endpoint; 0: none is near what it takes */
  RateSharers sharers;   /* of both; not filled in where there is neither */
  guint64 seed;          /* another one at each instance */
} GateLimits;

/* what is asked of an endpoint */
typedef struct EndpointQuery {
  const char *service;
  EndpointStage stage;
  const char *zone; /* preferred; NULL: this instance's */
  guint64 affinity; /* equal ones meet the same endpoint; 0: none */
  gboolean affinity_overrides_load; /* affinity turns the choice whatever the
                                       load */
  guint64 spread;    /* random: tells equals apart where there is none */
  guint64 capacity;  /* engines: tokens of memory, 0: unknown */
  guint64 tokens;    /* tokens that the dispatch adds */
  gboolean must_fit; /* only where these find room now */
  GateLimits limits;
  const char *const *excluded; /* ids */
  guint excluded_count;
} EndpointQuery;

EndpointTable *endpoint_table_new(const char *zone);
void endpoint_table_free(EndpointTable *table);

/* what a record is to what was known of the endpoint */
typedef enum EndpointComparison {
  ENDPOINT_NEW,
  ENDPOINT_SAME,      /* the same life; it may say something else */
  ENDPOINT_RESTARTED, /* a later life: what was held of the earlier is gone */
  ENDPOINT_OUTDATED   /* of an earlier life: it changes nothing */
} EndpointComparison;

EndpointComparison endpoint_table_compare(const EndpointTable *table,
                                          const EndpointRecord *record);
/* as compared: an outdated one is left out */
void endpoint_table_set(EndpointTable *table, const EndpointRecord *record,
                        gint64 now);
/* it was ENDPOINT_OUTDATED: what the store writes after it is later */
void endpoint_table_advance_position(EndpointTable *table,
                                     const EndpointRecord *record);
/* does it stem from a newer era of the store than the one known? Its content
** may be older all the same */
gboolean endpoint_record_is_restored(const EndpointRecord *record,
                                     const EndpointRecord *known);
/* the list has lost it; what its life has said is kept for a while, in case
** the list has it again */
void endpoint_table_remove(EndpointTable *table, const char *id, gint64 now);
/* the same of every endpoint whose id is no key of 'names' */
void endpoint_table_keep(EndpointTable *table, GHashTable *names, gint64 now);

/* of an id and the start of a life, as digests name it */
guint32 endpoint_incarnation_hash(const EndpointRecord *record);
/* NULL when it is not listed (any more) */
Endpoint *endpoint_table_get(const EndpointTable *table, const char *id);
/* the same, and NULL when another life of it is listed (Endpoint.hash) */
Endpoint *endpoint_table_get_incarnation(const EndpointTable *table,
                                         const char *id, guint32 hash);

/* the best endpoint for a wish, or NULL */
Endpoint *endpoint_table_choose(const EndpointTable *table,
                                const EndpointQuery *wish, gint64 now);
/* how many such dispatches would find room now, over all endpoints */
guint endpoint_table_count_fitting(const EndpointTable *table,
                                   const EndpointQuery *wish, gint64 now);
/* are there endpoints of this service and stage that could be chosen? */
gboolean endpoint_table_has_usable(const EndpointTable *table,
                                   const char *service, EndpointStage stage,
                                   gint64 now);

/* tokens and dispatches of all instances at an endpoint */
guint64 endpoint_tokens(const EndpointTable *table, const Endpoint *endpoint);
guint endpoint_open_count(const EndpointTable *table,
                          const Endpoint *endpoint);
/* connections of all instances at a plain endpoint, resting ones too */
guint endpoint_connections(const EndpointTable *table,
                           const Endpoint *endpoint);

/* is it changing its stage, on this or another instance's order? */
gboolean endpoint_is_changing_stage(const EndpointTable *table,
                                    const Endpoint *endpoint, gint64 now);

/* does it leave, by its own answers or by the list? */
gboolean endpoint_is_leaving(const Endpoint *endpoint);

/* recent share of failures that this instance saw, 0 to 1 */
double endpoint_failure_rate(const Endpoint *endpoint, gint64 now);

/* what became of a dispatch */
void endpoint_note_success(Endpoint *endpoint, gint64 now);
void endpoint_note_failure(Endpoint *endpoint, gint64 now);
void endpoint_note_unreachable(Endpoint *endpoint, gint64 now);

#endif
