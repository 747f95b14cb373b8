/*
** endpoint_choice.h
** The choice of an endpoint for a dispatch
**
** A query states what the dispatch needs. Endpoints that the gate (gate.h),
** the query or the limits shared by all instances rule out are left out; of
** the others the one with the lowest cost is chosen, and those of about equal
** cost are told apart by rendezvous hashing.
*/

#ifndef ROUTER_ENDPOINT_CHOICE_H
#define ROUTER_ENDPOINT_CHOICE_H

#include "router/endpoint_table.h"

/* What an endpoint is wanted for. */
typedef struct EndpointQuery {
  const char *service;
  EndpointStage stage;
  guint64 software;       /* Endpoint.software that it must have; 0: any */
  gint64 software_before; /* its version must have been known then; 0: any */
  const guint64 *allowed; /* versions (Endpoint.software) that it may have;
                          ** NULL: any; borrowed */
  guint allowed_count;
  const char *zone; /* preferred data centre; NULL: this instance's */
  guint64 affinity; /* queries with the same value prefer the same endpoint;
                    ** 0: no preference */
  gboolean affinity_overrides_load; /* the preferred endpoint is chosen even if
                                    ** others have less load */
  guint64 spread;   /* random; breaks ties where there is no affinity */
  guint64 capacity; /* engines: memory of one engine, in tokens; 0: unknown or
                    ** no engine */
  guint64 tokens;   /* engines: tokens that the dispatch adds */
  gboolean is_unsafe; /* a run must not be repeated: leave out endpoints that
                      ** break off nearly everything */
  gboolean must_fit;  /* choose only where 'tokens' fit into 'capacity' now */
  const PrefillLimit *load_limit; /* engines: choose only where the load is
                                  ** within it; NULL: any; borrowed */
  GateLimits limits;
  const char *const *excluded; /* ids of endpoints to leave out; borrowed */
  guint excluded_count;
  /* Incarnations (Endpoint.hash) that ended, or may have ended, while they ran
  ** the request: they are chosen only if no other endpoint can run it. */
  guint32 crashed[CRASHED_INCARNATIONS_MAX];
  guint crashed_count;
} EndpointQuery;

/* Returns the best endpoint for a query, or NULL if there is none. */
Endpoint *endpoint_table_choose(const EndpointTable *table,
                                const EndpointQuery *query, gint64 now);
/* Returns TRUE if the endpoint is one of the query's crashed incarnations. */
gboolean endpoint_has_crashed_under(const EndpointQuery *query,
                                    const Endpoint *endpoint);
/* Returns TRUE if endpoints can run the query's request, but only crashed
** incarnations can. */
gboolean endpoint_table_has_only_crashed(const EndpointTable *table,
                                         const EndpointQuery *query,
                                         gint64 now);
/* Returns how many dispatches like the query's would fit now, summed over all
** endpoints; 'excluded' is not considered. */
guint endpoint_table_count_fitting(const EndpointTable *table,
                                   const EndpointQuery *query, gint64 now);
/* Returns TRUE if an endpoint of a version that the query allows can run its
** request. Rates and load are not considered. */
gboolean endpoint_table_has_allowed_software(const EndpointTable *table,
                                             const EndpointQuery *query,
                                             gint64 now);
/* Returns TRUE if there is an endpoint of this service and stage that can be
** chosen and was not unreachable lately. Rates and load are not considered. */
gboolean endpoint_table_has_usable(const EndpointTable *table,
                                   const char *service, EndpointStage stage,
                                   gint64 now);

#endif
