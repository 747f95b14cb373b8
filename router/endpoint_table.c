/*
** endpoint_table.c
** The endpoints that an instance knows, and the choice among them
*/

#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/endpoint_table.h"
#include "router/gate.h"

/* Ids of up to this many bytes are hashed together with the start time as one
** message. XXH3 mixes a seed into so short an input by XOR alone, so ids and
** seeds that differ in the same bits would share a hash. */
#define SHORT_ID_BYTES 8
/* An unreachable endpoint is avoided for AVOID_TIME_MIN, which doubles with
** each further attempt in a row up to AVOID_TIME_MAX. */
#define AVOID_TIME_MIN (500 * MP_MS)
#define AVOID_TIME_MAX (4 * MP_SEC)
/* An incarnation that has ended is avoided for this long. It never comes back,
** but a wrong answer must not take an endpoint away for good; new incarnations
** are listed within 2 to 3 s. */
#define ENDED_AVOID_TIME (5 * MP_SEC)
/* time constant of the exponential decay of the failure rate */
#define FAILURE_DECAY (3.0 * MP_SEC)
/* weight of the newest dispatch in the moving failure rate */
#define FAILURE_STEP 0.3

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

/* What an incarnation has announced is kept this long after the list has lost
** it, because entries of endpoints that go on serving expire and come back
** while the store is unreachable. */
#define UNLISTED_KEEP_TIME (600 * MP_SEC)
/* The most such incarnations kept. One that has announced nothing is kept only
** if fewer than half of this are in the table, so that it leaves room for
** those that have. */
#define UNLISTED_MAX 1024
/* A store that was restored from a copy may list an endpoint again that was
** removed after the copy was made. Such an endpoint rests for this long.
** Whoever removed it is expected to remove it again in this time; it is as
** long as alive endpoints get to register again (RECONCILE_DELAY in
** follower.c). */
#define RELISTED_REST_TIME (2500 * MP_MS)

/* an incarnation that is not listed now */
typedef struct UnlistedIncarnation {
  gint64 started_unix_ms;
  StorePosition position; /* of its last record */
  gboolean ready;         /* in its last record */
  Availability availability;
  gint64 since; /* when the list lost it */
} UnlistedIncarnation;

static void endpoint_free(gpointer p) {
  Endpoint *endpoint = p;
  endpoint_record_clear(&endpoint->record);
  g_free(endpoint);
}

EndpointTable *endpoint_table_new(const char *zone) {
  EndpointTable *table = g_new0(EndpointTable, 1);
  table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
  table->unlisted =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  table->all = g_ptr_array_new_with_free_func(endpoint_free);
  table->zone = g_strdup(zone);
  table->software = software_history_new();
  table->peers = peer_loads_new();
  return table;
}

void endpoint_table_free(EndpointTable *table) {
  g_hash_table_destroy(table->by_id);
  g_hash_table_destroy(table->unlisted);
  g_ptr_array_free(table->all, TRUE);
  g_free(table->zone);
  software_history_free(table->software);
  peer_loads_free(table->peers);
  g_free(table);
}

Endpoint *endpoint_table_get(const EndpointTable *table, const char *id) {
  return g_hash_table_lookup(table->by_id, id);
}

Endpoint *endpoint_table_get_incarnation(const EndpointTable *table,
                                         const char *id, guint32 hash) {
  Endpoint *endpoint = endpoint_table_get(table, id);
  return endpoint != NULL && endpoint->hash == hash ? endpoint : NULL;
}

Endpoint *endpoint_table_get_by_hash(const EndpointTable *table,
                                     guint32 hash) {
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    if (endpoint->hash == hash)
      return endpoint;
  }
  return NULL;
}

guint32 endpoint_incarnation_hash(const EndpointRecord *record) {
  gsize size = strlen(record->id);
  guint64 seed = (guint64)record->started_unix_ms;
  guint64 message[2] = {0};
  if (size > SHORT_ID_BYTES)
    return (guint32)XXH3_64bits_withSeed(record->id, size, seed);
  memcpy(message, record->id, size);
  message[1] = seed;
  return (guint32)XXH3_64bits(message, sizeof message);
}

guint64 endpoint_software_digest(const EndpointRecord *record) {
  const char *text = record->software != NULL ? record->software : "";
  guint64 service = XXH3_64bits(record->service, strlen(record->service));
  return MAX(XXH3_64bits_withSeed(text, strlen(text), service), 1);
}

/* Replaces '*to', which is freed, by a deep copy. */
static void record_copy(EndpointRecord *to, const EndpointRecord *from) {
  endpoint_record_clear(to);
  *to = *from;
  to->id = g_strdup(from->id);
  to->service = g_strdup(from->service);
  to->zone = g_strdup(from->zone);
  to->software = g_strdup(from->software);
}

/* Returns TRUE unless both start times are known and differ. */
static gboolean is_same_incarnation(const EndpointRecord *one,
                                    const EndpointRecord *other) {
  return one->started_unix_ms == 0 || other->started_unix_ms == 0 ||
         one->started_unix_ms == other->started_unix_ms;
}

gboolean endpoint_record_is_restored(const EndpointRecord *record,
                                     const EndpointRecord *known) {
  return record->position.era > known->position.era &&
         !store_position_is_none(known->position);
}

/*
** Returns TRUE if the record is at least as new as the known one. The position
** in the store decides. The start time comes from the endpoint's own clock or
** from another writer, so it tells incarnations apart but orders only records
** whose position is unknown or that a restored store has from its copy. If it
** decided always, an endpoint whose clock ran ahead at its first start would
** be locked out for as long as its id is listed.
*/
static gboolean is_later(const EndpointRecord *record,
                         const EndpointRecord *known) {
  if (!store_position_is_none(record->position) &&
      !store_position_is_none(known->position) &&
      !endpoint_record_is_restored(record, known))
    return !store_position_is_before(record->position, known->position);
  return record->started_unix_ms >= known->started_unix_ms ||
         is_same_incarnation(record, known);
}

EndpointComparison endpoint_table_compare(const EndpointTable *table,
                                          const EndpointRecord *record) {
  const Endpoint *known = endpoint_table_get(table, record->id);
  if (known == NULL)
    return ENDPOINT_NEW;
  if (!is_later(record, &known->record))
    return ENDPOINT_OUTDATED;
  return is_same_incarnation(record, &known->record) ? ENDPOINT_SAME
                                                     : ENDPOINT_RESTARTED;
}

/*
** {==================================================================
** Incarnations that the list has lost
** ===================================================================
*/

/* Returns TRUE if anything was announced. */
static gboolean has_announced(const Availability *known) {
  return known->leaving_since != 0 || known->rest_until != 0;
}

/* Matches entries that have been kept long enough. */
static gboolean is_expired(gpointer id, gpointer lost, gpointer now) {
  (void)id;
  return *(gint64 *)now - ((UnlistedIncarnation *)lost)->since >=
         UNLISTED_KEEP_TIME;
}

/* Keeps what the incarnation has announced. An endpoint that is no longer
** listed has not necessarily ended, and its announcements hold if it is listed
** again. Nothing is kept if the table of unlisted incarnations is too full, or
** if the endpoint has announced nothing and its position in the store is
** unknown. */
static void keep_unlisted(EndpointTable *table, const Endpoint *endpoint,
                          gint64 now) {
  gboolean is_silent = !has_announced(&endpoint->availability);
  guint most = is_silent ? UNLISTED_MAX / 2 : UNLISTED_MAX;
  UnlistedIncarnation *lost;
  if (is_silent && store_position_is_none(endpoint->record.position))
    return;
  g_hash_table_foreach_remove(table->unlisted, is_expired, &now);
  if (g_hash_table_size(table->unlisted) >= most)
    return;
  lost = g_new(UnlistedIncarnation, 1);
  lost->started_unix_ms = endpoint->record.started_unix_ms;
  lost->position = endpoint->record.position;
  lost->ready = endpoint->record.ready;
  lost->availability = endpoint->availability;
  lost->since = now;
  g_hash_table_insert(table->unlisted, g_strdup(endpoint->record.id), lost);
}

/* Handles an endpoint that had been removed and that a restored store lists
** again, because the copy it was restored from was made before the removal. It
** is used again after RELISTED_REST_TIME if it is still listed then, unless
** its last record before the removal said that it was leaving. */
static void pause_relisted(Endpoint *endpoint, const UnlistedIncarnation *lost,
                           gint64 now) {
  if (!lost->ready)
    availability_set_leaving(&endpoint->availability, now);
  else
    availability_extend_rest(&endpoint->availability, RELISTED_REST_TIME, now);
}

/* Gives a listed endpoint back what its incarnation had announced before the
** list lost it. */
static void restore_unlisted(EndpointTable *table, Endpoint *endpoint,
                             const EndpointRecord *record, gint64 now) {
  const UnlistedIncarnation *lost =
      g_hash_table_lookup(table->unlisted, record->id);
  if (lost != NULL &&
      (lost->started_unix_ms == record->started_unix_ms ||
       lost->started_unix_ms == 0 || record->started_unix_ms == 0)) {
    endpoint->availability = lost->availability;
    if (record->position.era > lost->position.era)
      pause_relisted(endpoint, lost, now);
  }
  g_hash_table_remove(table->unlisted, record->id);
}

/* }================================================================== */

/* Adds an endpoint without its record. */
static Endpoint *add_endpoint(EndpointTable *table,
                              const EndpointRecord *record, gint64 now) {
  Endpoint *endpoint = g_new0(Endpoint, 1);
  restore_unlisted(table, endpoint, record, now);
  g_ptr_array_add(table->all, endpoint);
  return endpoint;
}

/* Removes and frees an endpoint. */
static void drop_endpoint(EndpointTable *table, Endpoint *endpoint,
                          gint64 now) {
  software_history_remove(table->software, endpoint->software, now);
  g_hash_table_remove(table->by_id, endpoint->record.id);
  g_ptr_array_remove(table->all, endpoint);
}

/* Sets the version of the endpoint's software by its record. */
static void update_software(EndpointTable *table, Endpoint *endpoint,
                            gint64 now) {
  guint64 software = endpoint_software_digest(&endpoint->record);
  guint64 before = endpoint->software;
  if (software == before)
    return;
  endpoint->software = software;
  software_history_add(table->software, g_str_hash(endpoint->record.service),
                       software, now);
  if (before != 0)
    software_history_remove(table->software, before, now);
  endpoint->software_since =
      software_history_known_since(table->software, software);
}

void endpoint_table_set(EndpointTable *table, const EndpointRecord *record,
                        gint64 now) {
  Endpoint *endpoint = endpoint_table_get(table, record->id);
  EndpointComparison comparison = endpoint_table_compare(table, record);
  gint64 born;
  if (comparison == ENDPOINT_OUTDATED)
    return;
  if (comparison == ENDPOINT_RESTARTED)
    drop_endpoint(table, endpoint, now);
  else if (comparison == ENDPOINT_SAME)
    /* The key is borrowed from the known record, which record_copy frees. */
    g_hash_table_remove(table->by_id, record->id);
  if (comparison != ENDPOINT_SAME)
    endpoint = add_endpoint(table, record, now);
  if (endpoint->changing_until != 0 && record->stage == endpoint->changing_to)
    endpoint->changing_until = 0;
  born = record->started_unix_ms != 0 ? record->started_unix_ms
                                      : endpoint->record.started_unix_ms;
  record_copy(&endpoint->record, record);
  endpoint->record.started_unix_ms = born;
  endpoint->hash = endpoint_incarnation_hash(&endpoint->record);
  update_software(table, endpoint, now);
  g_hash_table_insert(table->by_id, endpoint->record.id, endpoint);
}

void endpoint_table_advance_position(EndpointTable *table,
                                     const EndpointRecord *record) {
  Endpoint *known = endpoint_table_get(table, record->id);
  known->record.position =
      store_position_later(known->record.position, record->position);
}

void endpoint_table_remove(EndpointTable *table, const char *id, gint64 now) {
  Endpoint *endpoint = endpoint_table_get(table, id);
  if (endpoint == NULL)
    return;
  keep_unlisted(table, endpoint, now);
  drop_endpoint(table, endpoint, now);
}

void endpoint_table_keep(EndpointTable *table, GHashTable *names, gint64 now) {
  guint i = 0;
  while (i < table->all->len) {
    Endpoint *endpoint = table->all->pdata[i];
    if (g_hash_table_contains(names, endpoint->record.id))
      i++;
    else
      endpoint_table_remove(table, endpoint->record.id, now);
  }
}

/*
** {==================================================================
** Choice
** ===================================================================
*/

static gboolean is_excluded(const EndpointQuery *query, const char *id) {
  guint i;
  for (i = 0; i < query->excluded_count; i++) {
    if (strcmp(query->excluded[i], id) == 0)
      return TRUE;
  }
  return FALSE;
}

gboolean endpoint_is_changing_stage(const EndpointTable *table,
                                    const Endpoint *endpoint, gint64 now) {
  return endpoint->changing_until > now ||
         peer_loads_is_changing_stage(table->peers, endpoint->hash);
}

/* Returns TRUE if the endpoint has a version of the software that the query
** allows. */
static gboolean has_allowed_software(const Endpoint *endpoint,
                                     const EndpointQuery *query) {
  if (query->software != 0 && endpoint->software != query->software)
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

double endpoint_failure_rate(const Endpoint *endpoint, gint64 now) {
  double age = (double)(now - endpoint->failed_at);
  if (endpoint->failures == 0)
    return 0; /* the common case, in each choice and each digest */
  return endpoint->failures * exp(-age / FAILURE_DECAY);
}

guint64 endpoint_tokens(const EndpointTable *table, const Endpoint *endpoint) {
  return endpoint->tokens + peer_loads_tokens(table->peers, endpoint->hash);
}

guint endpoint_connections(const EndpointTable *table,
                           const Endpoint *endpoint) {
  guint64 blocks =
      peer_loads_tokens(table->peers, endpoint->hash) / MP_TOKEN_BLOCK;
  return endpoint->connections + (guint)blocks;
}

guint endpoint_open_count(const EndpointTable *table,
                          const Endpoint *endpoint) {
  return endpoint->open +
         peer_loads_open_dispatches(table->peers, endpoint->hash);
}

PrefillLoad endpoint_load(const EndpointTable *table,
                          const Endpoint *endpoint) {
  PrefillLoad load = {endpoint->record.slots,
                      endpoint_open_count(table, endpoint),
                      endpoint_tokens(table, endpoint)};
  return load;
}

gboolean endpoint_is_within_load(const EndpointTable *table,
                                 const Endpoint *endpoint,
                                 const PrefillLimit *limit) {
  PrefillLoad load = endpoint_load(table, endpoint);
  return prefill_capacity_allows(&load, limit);
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

OutlierVerdict endpoint_verdict(const Endpoint *endpoint, gint64 now) {
  return outlier_verdict(&endpoint->evidence, endpoint->unreachable_streak,
                         endpoint->avoid_until, now);
}

gboolean endpoint_is_down_by_reports(const Endpoint *endpoint, gint64 now) {
  return endpoint->avoid_until <= now &&
         endpoint_verdict(endpoint, now) == OUTLIER_DOWN;
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

gboolean endpoint_table_has_older_software(const EndpointTable *table,
                                           const EndpointQuery *query,
                                           gint64 before, gint64 now) {
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (endpoint->software_since <= before &&
        is_usable(table, query, endpoint, now))
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

/* }================================================================== */

gboolean endpoint_is_leaving(const Endpoint *endpoint) {
  return !endpoint->record.ready || endpoint->availability.leaving_since != 0;
}

const char *endpoint_software_text(const Endpoint *endpoint) {
  if (endpoint == NULL || endpoint->record.software == NULL)
    return "-";
  return endpoint->record.software;
}

/* Updates the moving failure rate; 'failed' is 1 or 0. */
static void count_failure(Endpoint *endpoint, double failed, gint64 now) {
  double recent = endpoint_failure_rate(endpoint, now);
  endpoint->failures = recent + FAILURE_STEP * (failed - recent);
  endpoint->failed_at = now;
}

void endpoint_note_success(Endpoint *endpoint, gint64 now) {
  count_failure(endpoint, 0, now);
  endpoint->unreachable_streak = 0;
  endpoint->avoid_until = 0;
  endpoint_note_heard(endpoint, now);
}

void endpoint_note_heard(Endpoint *endpoint, gint64 now) {
  endpoint->evidence.heard_at = now;
  endpoint->evidence.breaks = 0;
}

void endpoint_note_failure(Endpoint *endpoint, gint64 now) {
  count_failure(endpoint, 1, now);
}

void endpoint_note_unreachable(Endpoint *endpoint, gint64 now) {
  gint64 wait = AVOID_TIME_MIN << MIN(endpoint->unreachable_streak, 3);
  endpoint->unreachable_streak++;
  endpoint->avoid_until = now + MIN(wait, AVOID_TIME_MAX);
  endpoint->evidence.heard_at = 0;
}

void endpoint_note_rejected(Endpoint *endpoint, gint64 now) {
  endpoint_note_unreachable(endpoint, now);
  endpoint_note_heard(endpoint, now);
}

gboolean endpoint_is_rejecting(const Endpoint *endpoint, gint64 now) {
  return endpoint->avoid_until > now && endpoint->evidence.heard_at != 0;
}

void endpoint_note_ended(Endpoint *endpoint, gint64 now) {
  endpoint_note_unreachable(endpoint, now);
  endpoint->avoid_until = now + ENDED_AVOID_TIME;
}
