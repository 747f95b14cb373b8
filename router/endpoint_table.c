/*
** endpoint_table.c
** The endpoints that an instance knows, and which one takes a dispatch
*/

#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/endpoint_table.h"
#include "router/gate.h"

/* ids up to so many bytes: a seed is mixed into the hash of one so short by
** XOR alone, and ids and seeds that differ in the same bits share a hash */
#define SHORT_ID 8
/* an endpoint out of reach is left alone this long, doubled each time */
#define AVOID_FIRST (500 * MP_MS)
#define AVOID_MOST (4 * MP_SEC)
/* recent failures lose their weight with this time constant */
#define FAILURE_MEMORY (3.0 * MP_SEC)
/* weight of one dispatch among the recent ones */
#define FAILURE_STEP 0.3

/* scores are in open dispatches of a service with few slots */
#define COST_OTHER_ZONE 1.5
/* an engine elsewhere: moving a prompt's memory there takes twice as long. 3
** in place of 1.5 earned +0.007 to +0.022 of the worth on three deployments
** of 7 to 9 instances (20 days each, paired) */
#define COST_OTHER_ZONE_ENGINE 3.0
/* the same where loads elsewhere are known from summaries alone, some tenths
** of a second late: engines there are promised twice. 8 in place of 1.5
** earned +0.03 to +0.09 of the worth on three deployments of 58 to 68
** instances (five days each, paired) and +0.15 on a day of 295; 16 no more
** than that. Where all loads are heard at once, 8 lost 0.06 on the
** deployment with four engines a data centre */
#define COST_OTHER_ZONE_LATE 8.0
#define COST_FAILURES 12.0
/* what others saw of an endpoint, together, up to so many of them: one
** that stands alone may have a bad path of its own */
#define COST_PEERS_FAILURES 6.0
#define MOST_PEERS_FAILURES 4.0
#define COST_COLD 3.0
/* an engine's share of memory in use, as open dispatches */
#define COST_MEMORY 12.0
/* an engine's memory is planned up to this share of what it has */
#define MEMORY_FILL 1.0
/* engines within this of the best are equals: many instances choose at the
** same moment from the same loads */
#define SPREAD_REACH 1.0
/* affinity turns the choice while the load is within this of the best */
#define AFFINITY_REACH 1.6

/* what a life has said is kept so long after the list lost it: while the store
** is away entries lapse, and come back, of endpoints that serve on */
#define UNLISTED_KEPT (600 * MP_SEC)
#define UNLISTED_MOST 1024
/* one that had gone, and that a restored store lists again, is left alone for
** so long: whoever removed it does so again within this */
#define RETURN_DOUBTED (2500 * MP_MS)

/* a life that is not listed now */
typedef struct UnlistedLife {
  gint64 started_unix_ms;
  StorePosition position; /* as in its last record */
  gboolean ready;         /* likewise */
  Availability availability;
  gint64 since;
} UnlistedLife;

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
  table->peers = peer_loads_new();
  return table;
}

void endpoint_table_free(EndpointTable *table) {
  g_hash_table_destroy(table->by_id);
  g_hash_table_destroy(table->unlisted);
  g_ptr_array_free(table->all, TRUE);
  g_free(table->zone);
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

guint32 endpoint_incarnation_hash(const EndpointRecord *record) {
  gsize size = strlen(record->id);
  guint64 seed = (guint64)record->started_unix_ms;
  guint64 message[2] = {0};
  if (size > SHORT_ID)
    return (guint32)XXH3_64bits_withSeed(record->id, size, seed);
  memcpy(message, record->id, size);
  message[1] = seed;
  return (guint32)XXH3_64bits(message, sizeof message);
}

static void record_copy(EndpointRecord *to, const EndpointRecord *from) {
  endpoint_record_clear(to);
  *to = *from;
  to->id = g_strdup(from->id);
  to->service = g_strdup(from->service);
  to->zone = g_strdup(from->zone);
}

/* a start that is not said tells nothing of another life */
static gboolean is_same_life(const EndpointRecord *one,
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
** The store's position tells which of two records is later. A start is told by
** the endpoint's own clock, or by another writer: it tells lives apart, and
** orders those alone whose positions are not known, or that a restored store
** has from its copy. (Ordered by it, an endpoint whose clock stood ahead at
** its first start was locked out for as long as its id was listed.)
*/
static gboolean is_later(const EndpointRecord *record,
                         const EndpointRecord *known) {
  if (!store_position_is_none(record->position) &&
      !store_position_is_none(known->position) &&
      !endpoint_record_is_restored(record, known))
    return !store_position_is_before(record->position, known->position);
  return record->started_unix_ms >= known->started_unix_ms ||
         is_same_life(record, known);
}

EndpointComparison endpoint_table_compare(const EndpointTable *table,
                                          const EndpointRecord *record) {
  const Endpoint *known = endpoint_table_get(table, record->id);
  if (known == NULL)
    return ENDPOINT_NEW;
  if (!is_later(record, &known->record))
    return ENDPOINT_OUTDATED;
  return is_same_life(record, &known->record) ? ENDPOINT_SAME
                                              : ENDPOINT_RESTARTED;
}

/*
** {==================================================================
** Lives that the list has lost
** ===================================================================
*/

static gboolean has_said_something(const Availability *known) {
  return known->leaving_since != 0 || known->rest_until != 0;
}

static gboolean is_outlived(gpointer id, gpointer life, gpointer now) {
  (void)id;
  return *(gint64 *)now - ((UnlistedLife *)life)->since >= UNLISTED_KEPT;
}

/* the endpoint goes off the list, which proves no end: what this life has said
** holds on if the list has it again */
static void keep_unlisted(EndpointTable *table, const Endpoint *endpoint,
                          gint64 now) {
  gboolean is_silent = !has_said_something(&endpoint->availability);
  guint most = is_silent ? UNLISTED_MOST / 2 : UNLISTED_MOST;
  UnlistedLife *life;
  if (is_silent && store_position_is_none(endpoint->record.position))
    return;
  g_hash_table_foreach_remove(table->unlisted, is_outlived, &now);
  if (g_hash_table_size(table->unlisted) >= most)
    return;
  life = g_new(UnlistedLife, 1);
  life->started_unix_ms = endpoint->record.started_unix_ms;
  life->position = endpoint->record.position;
  life->ready = endpoint->record.ready;
  life->availability = endpoint->availability;
  life->since = now;
  g_hash_table_insert(table->unlisted, g_strdup(endpoint->record.id), life);
}

/* a restored store lists it from before it went: it is used again if nobody
** has removed it by then, unless it had said that it leaves */
static void doubt_return(Endpoint *endpoint, const UnlistedLife *life,
                         gint64 now) {
  if (!life->ready)
    availability_set_leaving(&endpoint->availability, now);
  else
    availability_extend_rest(&endpoint->availability, RETURN_DOUBTED, now);
}

static void restore_unlisted(EndpointTable *table, Endpoint *endpoint,
                             const EndpointRecord *record, gint64 now) {
  const UnlistedLife *life = g_hash_table_lookup(table->unlisted, record->id);
  if (life != NULL &&
      (life->started_unix_ms == record->started_unix_ms ||
       life->started_unix_ms == 0 || record->started_unix_ms == 0)) {
    endpoint->availability = life->availability;
    if (record->position.era > life->position.era)
      doubt_return(endpoint, life, now);
  }
  g_hash_table_remove(table->unlisted, record->id);
}

/* }================================================================== */

static Endpoint *add(EndpointTable *table, const EndpointRecord *record,
                     gint64 now) {
  Endpoint *endpoint = g_new0(Endpoint, 1);
  restore_unlisted(table, endpoint, record, now);
  g_ptr_array_add(table->all, endpoint);
  return endpoint;
}

static void drop(EndpointTable *table, Endpoint *endpoint) {
  g_hash_table_remove(table->by_id, endpoint->record.id);
  g_ptr_array_remove(table->all, endpoint);
}

void endpoint_table_set(EndpointTable *table, const EndpointRecord *record,
                        gint64 now) {
  Endpoint *endpoint = endpoint_table_get(table, record->id);
  EndpointComparison news = endpoint_table_compare(table, record);
  gint64 born;
  if (news == ENDPOINT_OUTDATED)
    return;
  if (news == ENDPOINT_RESTARTED)
    drop(table, endpoint);
  else if (news == ENDPOINT_SAME)
    g_hash_table_remove(table->by_id, record->id);
  if (news != ENDPOINT_SAME)
    endpoint = add(table, record, now);
  if (endpoint->changing_until != 0 && record->stage == endpoint->changing_to)
    endpoint->changing_until = 0;
  born = record->started_unix_ms != 0 ? record->started_unix_ms
                                      : endpoint->record.started_unix_ms;
  record_copy(&endpoint->record, record);
  endpoint->record.started_unix_ms = born;
  endpoint->hash = endpoint_incarnation_hash(&endpoint->record);
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
  drop(table, endpoint);
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

static gboolean is_excluded(const EndpointQuery *wish, const char *id) {
  guint i;
  for (i = 0; i < wish->excluded_count; i++) {
    if (strcmp(wish->excluded[i], id) == 0)
      return TRUE;
  }
  return FALSE;
}

gboolean endpoint_is_changing_stage(const EndpointTable *table,
                                    const Endpoint *endpoint, gint64 now) {
  return endpoint->changing_until > now ||
         peer_loads_is_changing_stage(table->peers, endpoint->hash);
}

/* no rate is asked: that is done last, for it draws */
static gboolean fits(const EndpointTable *table, const Endpoint *endpoint,
                     const char *service, EndpointStage stage, gint64 now) {
  return endpoint->record.stage == stage &&
         strcmp(endpoint->record.service, service) == 0 &&
         gate_check(endpoint, DISPATCH_RUN, now) == GATE_OPEN &&
         !endpoint_is_changing_stage(table, endpoint, now);
}

double endpoint_failure_rate(const Endpoint *endpoint, gint64 now) {
  double age = (double)(now - endpoint->failed_at);
  if (endpoint->failures == 0)
    return 0; /* most endpoints, asked with each choice and each digest */
  return endpoint->failures * exp(-age / FAILURE_MEMORY);
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

static gboolean has_room(const EndpointTable *table, const EndpointQuery *wish,
                         const Endpoint *endpoint) {
  double planned = (double)(endpoint_tokens(table, endpoint) + wish->tokens);
  return wish->capacity == 0 ||
         planned <= MEMORY_FILL * (double)wish->capacity;
}

static gboolean is_within_limits(const EndpointTable *table,
                                 const EndpointQuery *wish,
                                 const Endpoint *endpoint, gint64 now) {
  return gate_check_limits(table, endpoint, &wish->limits, now) == GATE_OPEN;
}

static double cost_of_distance(const EndpointTable *table,
                               const EndpointQuery *wish) {
  if (wish->capacity == 0)
    return COST_OTHER_ZONE;
  if (wish->stage == STAGE_PREFILL || !table->is_late)
    return COST_OTHER_ZONE_ENGINE;
  return COST_OTHER_ZONE_LATE;
}

/* smaller is better */
static double cost(const EndpointTable *table, const EndpointQuery *wish,
                   const Endpoint *endpoint, gint64 now) {
  const char *zone = wish->zone != NULL ? wish->zone : table->zone;
  double sum = endpoint_open_count(table, endpoint);
  if (wish->capacity > 0)
    sum = COST_MEMORY *
          (double)(endpoint_tokens(table, endpoint) + wish->tokens) /
          (double)wish->capacity;
  if (strcmp(endpoint->record.zone, zone) != 0)
    sum += cost_of_distance(table, wish);
  if (endpoint->record.warmup_left > 0)
    sum += COST_COLD;
  sum += COST_FAILURES * endpoint_failure_rate(endpoint, now);
  sum += COST_PEERS_FAILURES *
         MIN(peer_loads_failure_shares(table->peers, endpoint->hash),
             MOST_PEERS_FAILURES);
  return sum;
}

/* rendezvous hash: the endpoint with the largest weight is the home */
static guint64 affinity_weight(const Endpoint *endpoint, guint64 affinity) {
  return XXH3_64bits_withSeed(endpoint->record.id, strlen(endpoint->record.id),
                              affinity);
}

typedef struct Candidate {
  Endpoint *endpoint;
  double cost;
} Candidate;

static GArray *candidates(const EndpointTable *table,
                          const EndpointQuery *wish, gboolean avoided_too,
                          gint64 now) {
  GArray *found = g_array_new(FALSE, FALSE, sizeof(Candidate));
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    Candidate candidate;
    if (!fits(table, endpoint, wish->service, wish->stage, now) ||
        is_excluded(wish, endpoint->record.id))
      continue;
    if (!avoided_too && endpoint->avoid_until > now)
      continue;
    if ((wish->must_fit && !has_room(table, wish, endpoint)) ||
        !is_within_limits(table, wish, endpoint, now))
      continue;
    candidate.endpoint = endpoint;
    candidate.cost = cost(table, wish, endpoint, now);
    g_array_append_val(found, candidate);
  }
  return found;
}

static Endpoint *best_of(const GArray *found, const EndpointQuery *wish) {
  double reach = wish->affinity_overrides_load ? HUGE_VAL
                 : wish->affinity != 0         ? AFFINITY_REACH
                 : wish->must_fit              ? SPREAD_REACH
                                               : 0.01;
  guint64 seed = wish->affinity != 0 ? wish->affinity : wish->spread;
  double least = HUGE_VAL;
  Endpoint *best = NULL;
  guint64 best_weight = 0;
  guint i;
  for (i = 0; i < found->len; i++)
    least = MIN(least, g_array_index(found, Candidate, i).cost);
  for (i = 0; i < found->len; i++) {
    const Candidate *candidate = &g_array_index(found, Candidate, i);
    guint64 weight = affinity_weight(candidate->endpoint, seed);
    if (candidate->cost > least + reach)
      continue;
    if (best == NULL || weight > best_weight) {
      best = candidate->endpoint;
      best_weight = weight;
    }
  }
  return best;
}

Endpoint *endpoint_table_choose(const EndpointTable *table,
                                const EndpointQuery *wish, gint64 now) {
  GArray *found = candidates(table, wish, FALSE, now);
  Endpoint *best;
  if (found->len == 0 && !wish->must_fit) { /* better a doubtful one */
    g_array_free(found, TRUE);
    found = candidates(table, wish, TRUE, now);
  }
  best = best_of(found, wish);
  g_array_free(found, TRUE);
  return best;
}

static guint rooms_at(const EndpointTable *table, const EndpointQuery *wish,
                      const Endpoint *endpoint, guint64 planned, gint64 now) {
  guint64 rooms = (wish->capacity - planned) / MAX(wish->tokens, 1);
  if (wish->limits.rates != NULL &&
      rate_limits_rate(wish->limits.rates, endpoint->hash) >= 0)
    rooms = MIN(rooms, is_within_limits(table, wish, endpoint, now) ? 1 : 0);
  return (guint)rooms;
}

guint endpoint_table_count_fitting(const EndpointTable *table,
                                   const EndpointQuery *wish, gint64 now) {
  guint rooms = 0;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    guint64 planned = endpoint_tokens(table, endpoint);
    if (fits(table, endpoint, wish->service, wish->stage, now) &&
        endpoint->avoid_until <= now && planned < wish->capacity)
      rooms += rooms_at(table, wish, endpoint, planned, now);
  }
  return rooms;
}

gboolean endpoint_table_has_usable(const EndpointTable *table,
                                   const char *service, EndpointStage stage,
                                   gint64 now) {
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (fits(table, endpoint, service, stage, now) &&
        endpoint->avoid_until <= now)
      return TRUE;
  }
  return FALSE;
}

/* }================================================================== */

gboolean endpoint_is_leaving(const Endpoint *endpoint) {
  return !endpoint->record.ready || endpoint->availability.leaving_since != 0;
}

static void count_failure(Endpoint *endpoint, double failed, gint64 now) {
  double recent = endpoint_failure_rate(endpoint, now);
  endpoint->failures = recent + FAILURE_STEP * (failed - recent);
  endpoint->failed_at = now;
}

void endpoint_note_success(Endpoint *endpoint, gint64 now) {
  count_failure(endpoint, 0, now);
  endpoint->misses = 0;
  endpoint->avoid_until = 0;
}

void endpoint_note_failure(Endpoint *endpoint, gint64 now) {
  count_failure(endpoint, 1, now);
}

void endpoint_note_unreachable(Endpoint *endpoint, gint64 now) {
  gint64 wait = AVOID_FIRST << MIN(endpoint->misses, 3);
  endpoint->misses++;
  endpoint->avoid_until = now + MIN(wait, AVOID_MOST);
}
