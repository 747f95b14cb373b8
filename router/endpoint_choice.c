/*
** endpoint_choice.c
** The choice of an endpoint for a dispatch
*/

#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/endpoint_choice.h"
#include "router/gate.h"

/* The costs of choosing an endpoint are added up, and the endpoint with the
** lowest sum is chosen. At a plain service the sum begins with the number of
** open dispatches at the endpoint, so one open dispatch costs 1. */
/* cost of a plain endpoint in another data centre than preferred */
#define COST_OTHER_ZONE 1.5
/* Cost of an engine in another data centre than preferred. It is twice that of
** a plain endpoint, because moving the KV memory of a prompt to another data
** centre takes twice as long as within one. */
#define COST_OTHER_ZONE_ENGINE 3.0
/* Cost of a decode engine in another data centre when the loads there are
** known from summaries alone. These arrive some tenths of a second late, so
** several instances may promise the same memory; the high cost keeps requests
** at home. A cost twice as high brings nothing more. Where all loads are
** known at once, so high a cost does harm: a data centre with few engines,
** such as four, must be able to use those of the others. */
#define COST_OTHER_ZONE_LATE 8.0
/* cost of an endpoint that is reached through another instance */
#define COST_INDIRECT 1.0
/* cost per unit of the failure rate that this instance saw */
#define COST_FAILURES 12.0
/* Cost per unit of the sum of the failure rates that the other instances saw;
** the sum counts up to PEERS_FAILURES_MAX. They weigh less than an instance's
** own view, because a single instance may have a bad network path. */
#define COST_PEERS_FAILURES 6.0
#define PEERS_FAILURES_MAX 4.0
/* cost of an endpoint that is still warming up */
#define COST_COLD 3.0
/* Cost of an engine whose memory is planned in full, and in proportion for
** less of it. It takes the place of the number of open dispatches. */
#define COST_MEMORY 12.0
/* share of an engine's memory up to which dispatches are planned there */
#define PLANNED_MEMORY_SHARE 1.0
/* Engines whose cost is at most this much above the lowest count as equal and
** are chosen at random, because many instances choose at the same moment from
** the same loads. */
#define SPREAD_COST_RANGE 1.0
/* Affinity decides among endpoints whose cost is at most this much above the
** lowest. */
#define AFFINITY_COST_RANGE 1.6

static gboolean is_excluded(const EndpointQuery *query, const char *id) {
  guint i;
  for (i = 0; i < query->excluded_count; i++) {
    if (strcmp(query->excluded[i], id) == 0)
      return TRUE;
  }
  return FALSE;
}

static gboolean is_in_allowed(const EndpointQuery *query, guint64 software) {
  guint i;
  for (i = 0; i < query->allowed_count; i++) {
    if (query->allowed[i] == software)
      return TRUE;
  }
  return FALSE;
}

/* Returns TRUE if the endpoint has a version of the software that the query
** allows. */
static gboolean has_allowed_software(const Endpoint *endpoint,
                                     const EndpointQuery *query) {
  if (query->software != 0 && endpoint->software != query->software)
    return FALSE;
  if (query->allowed != NULL && !is_in_allowed(query, endpoint->software))
    return FALSE;
  return query->software_before == 0 ||
         endpoint->software_since <= query->software_before;
}

/* Returns TRUE if the endpoint may run a dispatch, apart from the limits that
** all instances share: they are checked last, because that check draws. */
static gboolean is_eligible(const EndpointTable *table,
                            const EndpointQuery *query,
                            const Endpoint *endpoint, gint64 now) {
  return endpoint->record.stage == query->stage &&
         strcmp(endpoint->record.service, query->service) == 0 &&
         has_allowed_software(endpoint, query) &&
         gate_check(endpoint, DISPATCH_RUN, now) == GATE_OPEN &&
         !endpoint_is_changing_stage(table, endpoint, now);
}

/* Returns TRUE if the query's tokens fit into the engine's memory, or its size
** is not known. */
static gboolean has_room(const EndpointTable *table,
                         const EndpointQuery *query,
                         const Endpoint *endpoint) {
  double planned = (double)(endpoint_tokens(table, endpoint) + query->tokens);
  return query->capacity == 0 ||
         planned <= PLANNED_MEMORY_SHARE * (double)query->capacity;
}

/* Returns TRUE if the limits that all instances share allow one more. */
static gboolean is_within_limits(const EndpointTable *table,
                                 const EndpointQuery *query,
                                 const Endpoint *endpoint, gint64 now) {
  return gate_check_limits(table, endpoint, &query->limits, now) == GATE_OPEN;
}

/* Returns the cost of an endpoint in another data centre. */
static double distance_cost(const EndpointTable *table,
                            const EndpointQuery *query) {
  if (query->capacity == 0)
    return COST_OTHER_ZONE;
  if (query->stage == STAGE_PREFILL || !table->has_late_loads)
    return COST_OTHER_ZONE_ENGINE;
  return COST_OTHER_ZONE_LATE;
}

/* Returns the cost of choosing the endpoint; lower is better. */
static double cost(const EndpointTable *table, const EndpointQuery *query,
                   const Endpoint *endpoint, gint64 now) {
  const char *zone = query->zone != NULL ? query->zone : table->zone;
  double sum = endpoint_open_count(table, endpoint);
  if (query->capacity > 0)
    sum = COST_MEMORY *
          (double)(endpoint_tokens(table, endpoint) + query->tokens) /
          (double)query->capacity;
  if (strcmp(endpoint->record.zone, zone) != 0)
    sum += distance_cost(table, query);
  if (endpoint->record.warmup_left > 0)
    sum += COST_COLD;
  if (endpoint->path.state == PATH_INDIRECT)
    sum += COST_INDIRECT;
  sum += COST_FAILURES * endpoint_failure_rate(endpoint, now);
  sum += COST_PEERS_FAILURES *
         MIN(peer_loads_failure_shares(table->peers, endpoint->hash),
             PEERS_FAILURES_MAX);
  return sum;
}

/* Returns the endpoint's weight in rendezvous hashing: the endpoint with the
** largest one is preferred for this affinity. */
static guint64 affinity_weight(const Endpoint *endpoint, guint64 affinity) {
  return XXH3_64bits_withSeed(endpoint->record.id, strlen(endpoint->record.id),
                              affinity);
}

gboolean endpoint_has_crashed_under(const EndpointQuery *query,
                                    const Endpoint *endpoint) {
  guint i;
  for (i = 0; i < query->crashed_count; i++) {
    if (query->crashed[i] == endpoint->hash)
      return TRUE;
  }
  return FALSE;
}

/* Returns TRUE if the endpoint gets no request while there is another choice:
** it is down, or one request of this instance is trying it already. */
static gboolean is_avoided(const EndpointTable *table,
                           const Endpoint *endpoint, gint64 now) {
  OutlierVerdict verdict;
  if (!table->overload_control)
    return endpoint->avoid_until > now;
  verdict = endpoint_verdict(endpoint, now);
  return verdict == OUTLIER_DOWN ||
         (verdict == OUTLIER_TRIAL &&
          (endpoint->open > 0 || endpoint->tokens > 0));
}

/* Returns TRUE if the endpoint can run the query's request now, apart from its
** room and the limits that all instances share. */
static gboolean is_usable(const EndpointTable *table,
                          const EndpointQuery *query, const Endpoint *endpoint,
                          gint64 now) {
  return is_eligible(table, query, endpoint, now) &&
         !is_excluded(query, endpoint->record.id) &&
         !is_avoided(table, endpoint, now);
}

/* Returns TRUE if the query's crashed incarnations are to be left out, because
** another endpoint can run the request, now or when it has room. */
static gboolean must_skip_crashed(const EndpointTable *table,
                                  const EndpointQuery *query, gint64 now) {
  guint i;
  for (i = 0; query->crashed_count > 0 && i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (is_usable(table, query, endpoint, now) &&
        !endpoint_has_crashed_under(query, endpoint))
      return TRUE;
  }
  return FALSE;
}

gboolean endpoint_table_has_only_crashed(const EndpointTable *table,
                                         const EndpointQuery *query,
                                         gint64 now) {
  gboolean has_crashed = FALSE;
  guint i;
  for (i = 0; query->crashed_count > 0 && i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (!is_eligible(table, query, endpoint, now))
      continue;
    if (!endpoint_has_crashed_under(query, endpoint))
      return FALSE;
    has_crashed = TRUE;
  }
  return has_crashed;
}

typedef struct Candidate {
  Endpoint *endpoint;
  double cost;
} Candidate;

/* Returns the endpoints that the query may choose, with their costs; the
** caller frees the array. 'avoided_too' includes those that are avoided after
** they were unreachable. */
static GArray *candidates(const EndpointTable *table,
                          const EndpointQuery *query, gboolean avoided_too,
                          gint64 now) {
  GArray *found = g_array_new(FALSE, FALSE, sizeof(Candidate));
  gboolean skip_crashed = must_skip_crashed(table, query, now);
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    Candidate candidate;
    if (!is_eligible(table, query, endpoint, now) ||
        is_excluded(query, endpoint->record.id))
      continue;
    if (!avoided_too && is_avoided(table, endpoint, now))
      continue;
    if (query->is_unsafe &&
        outlier_is_unsafe(&endpoint->evidence, endpoint->unreachable_streak,
                          endpoint->avoid_until, now))
      continue;
    if (skip_crashed && endpoint_has_crashed_under(query, endpoint))
      continue;
    if (query->load_limit != NULL &&
        !endpoint_is_within_load(table, endpoint, query->load_limit))
      continue;
    if ((query->must_fit && !has_room(table, query, endpoint)) ||
        !is_within_limits(table, query, endpoint, now))
      continue;
    candidate.endpoint = endpoint;
    candidate.cost = cost(table, query, endpoint, now);
    g_array_append_val(found, candidate);
  }
  return found;
}

/* Returns the candidate with the largest rendezvous weight among those whose
** cost is at most a range above the lowest one; NULL if there is no
** candidate. */
static Endpoint *best_of(const GArray *found, const EndpointQuery *query) {
  double cost_range = query->affinity_overrides_load ? HUGE_VAL
                      : query->affinity != 0         ? AFFINITY_COST_RANGE
                      : query->must_fit              ? SPREAD_COST_RANGE
                                                     : 0.01;
  guint64 seed = query->affinity != 0 ? query->affinity : query->spread;
  double least = HUGE_VAL;
  Endpoint *best = NULL;
  guint64 best_weight = 0;
  guint i;
  for (i = 0; i < found->len; i++)
    least = MIN(least, g_array_index(found, Candidate, i).cost);
  for (i = 0; i < found->len; i++) {
    const Candidate *candidate = &g_array_index(found, Candidate, i);
    guint64 weight = affinity_weight(candidate->endpoint, seed);
    if (candidate->cost > least + cost_range)
      continue;
    if (best == NULL || weight > best_weight) {
      best = candidate->endpoint;
      best_weight = weight;
    }
  }
  return best;
}

Endpoint *endpoint_table_choose(const EndpointTable *table,
                                const EndpointQuery *query, gint64 now) {
  GArray *found = candidates(table, query, FALSE, now);
  Endpoint *best;
  if (found->len == 0 &&
      !query->must_fit) { /* an avoided endpoint is better than none */
    g_array_free(found, TRUE);
    found = candidates(table, query, TRUE, now);
  }
  best = best_of(found, query);
  g_array_free(found, TRUE);
  return best;
}

/* Returns how many dispatches like the query's fit at an engine with 'planned'
** tokens; at most one if the engine names a rate or is on trial. */
static guint count_fitting_at(const EndpointTable *table,
                              const EndpointQuery *query,
                              const Endpoint *endpoint, guint64 planned,
                              gint64 now) {
  guint64 count = (query->capacity - planned) / MAX(query->tokens, 1);
  if (table->overload_control &&
      endpoint_verdict(endpoint, now) == OUTLIER_TRIAL)
    count = MIN(count, 1);
  if (query->limits.rates != NULL &&
      rate_limits_rate(query->limits.rates, endpoint->hash) >= 0)
    count = MIN(count, is_within_limits(table, query, endpoint, now) ? 1 : 0);
  return (guint)count;
}

guint endpoint_table_count_fitting(const EndpointTable *table,
                                   const EndpointQuery *query, gint64 now) {
  guint count = 0;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    guint64 planned = endpoint_tokens(table, endpoint);
    if (is_eligible(table, query, endpoint, now) &&
        !is_avoided(table, endpoint, now) && planned < query->capacity)
      count += count_fitting_at(table, query, endpoint, planned, now);
  }
  return count;
}

gboolean endpoint_table_has_allowed_software(const EndpointTable *table,
                                             const EndpointQuery *query,
                                             gint64 now) {
  guint i;
  for (i = 0; i < table->all->len; i++) {
    if (is_usable(table, query, table->all->pdata[i], now))
      return TRUE;
  }
  return FALSE;
}

gboolean endpoint_table_has_usable(const EndpointTable *table,
                                   const char *service, EndpointStage stage,
                                   gint64 now) {
  EndpointQuery query = {0};
  guint i;
  query.service = service;
  query.stage = stage;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (is_eligible(table, &query, endpoint, now) &&
        !is_avoided(table, endpoint, now))
      return TRUE;
  }
  return FALSE;
}
