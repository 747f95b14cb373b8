/*
** endpoint_table.c
** The endpoints that an instance knows
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

gboolean endpoint_is_changing_stage(const EndpointTable *table,
                                    const Endpoint *endpoint, gint64 now) {
  return endpoint->changing_until > now ||
         peer_loads_is_changing_stage(table->peers, endpoint->hash);
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

OutlierVerdict endpoint_verdict(const Endpoint *endpoint, gint64 now) {
  return outlier_verdict(&endpoint->evidence, endpoint->unreachable_streak,
                         endpoint->avoid_until, now);
}

gboolean endpoint_is_down_by_reports(const Endpoint *endpoint, gint64 now) {
  return endpoint->avoid_until <= now &&
         endpoint_verdict(endpoint, now) == OUTLIER_DOWN;
}

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
