/*
** stream_origins.c
** Remembers at which version of the endpoints' software streams began
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/stream_origins.h"

/* time between two searches for expired origins */
#define EXPIRE_INTERVAL (1 * MP_SEC)

struct StreamOrigins {
  GHashTable *rows;     /* StreamOrigin.key -> StreamOrigin (owned) */
  GHashTable *accounts; /* StreamOrigin.account -> number of its rows */
  guint untold;         /* rows that began here and were not told */
  gint64 next_expiry_at;
};

StreamKey stream_key(const char *account, const char *attempt) {
  XXH128_hash_t hash = XXH3_128bits(attempt, strlen(attempt));
  StreamKey key;
  if (account != NULL)
    hash = XXH3_128bits_withSeed(account, strlen(account),
                                 hash.low64 ^ XXH3_64bits(&hash, sizeof hash));
  key.digest[0] = hash.low64;
  key.digest[1] = hash.high64;
  return key;
}

mp_StreamOrigin stream_origin_row(const StreamOrigin *origin, gint64 now) {
  mp_StreamOrigin row = {0};
  row.key[0] = origin->key.digest[0];
  row.key[1] = origin->key.digest[1];
  row.software = origin->software;
  row.service = origin->service;
  row.account = origin->account;
  row.age_ms = (guint32)((now - origin->began) / MP_MS);
  row.left_ms = (guint32)((origin->expires - now) / MP_MS);
  return row;
}

StreamOrigin stream_origin_received(const mp_StreamOrigin *row, mp_Addr from,
                                    gint64 now) {
  StreamOrigin origin = {0};
  origin.key.digest[0] = row->key[0];
  origin.key.digest[1] = row->key[1];
  origin.software = row->software;
  origin.service = row->service;
  origin.account = row->account;
  origin.began = now - row->age_ms * MP_MS;
  origin.expires = now + MIN(row->left_ms, STREAM_LEFT_MS_MAX) * MP_MS;
  origin.told_by = from;
  return origin;
}

static guint key_hash(gconstpointer p) {
  return (guint)((const StreamKey *)p)->digest[0];
}

static gboolean key_equal(gconstpointer one, gconstpointer other) {
  return memcmp(one, other, sizeof(StreamKey)) == 0;
}

StreamOrigins *stream_origins_new(void) {
  StreamOrigins *origins = g_new0(StreamOrigins, 1);
  origins->rows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
  origins->accounts = g_hash_table_new(g_direct_hash, g_direct_equal);
  return origins;
}

void stream_origins_free(StreamOrigins *origins) {
  g_hash_table_destroy(origins->rows);
  g_hash_table_destroy(origins->accounts);
  g_free(origins);
}

static gboolean is_untold(const StreamOrigin *origin) {
  return origin->told_by == 0 && !origin->is_told;
}

static guint count_of_account(const StreamOrigins *origins, guint32 account) {
  return GPOINTER_TO_UINT(
      g_hash_table_lookup(origins->accounts, GUINT_TO_POINTER(account)));
}

static void set_count_of_account(StreamOrigins *origins, guint32 account,
                                 guint count) {
  if (count == 0)
    g_hash_table_remove(origins->accounts, GUINT_TO_POINTER(account));
  else
    g_hash_table_insert(origins->accounts, GUINT_TO_POINTER(account),
                        GUINT_TO_POINTER(count));
}

static gboolean has_room(const StreamOrigins *origins, guint32 account) {
  return g_hash_table_size(origins->rows) < ORIGINS_MAX &&
         count_of_account(origins, account) < ORIGINS_PER_ACCOUNT_MAX;
}

/* Merges what is told of a stream that is known already. */
static void merge(StreamOrigins *origins, StreamOrigin *known,
                  const StreamOrigin *origin) {
  gboolean was_untold = is_untold(known);
  if (known->software != origin->software || known->service != origin->service)
    known->software = 0;
  known->expires = MAX(known->expires, origin->expires);
  if (origin->told_by == 0) {
    known->told_by = 0;
    known->is_told = origin->is_told;
  }
  origins->untold += is_untold(known);
  origins->untold -= was_untold;
}

gboolean stream_origins_add(StreamOrigins *origins, const StreamOrigin *origin,
                            gint64 now) {
  StreamOrigin *row = g_hash_table_lookup(origins->rows, &origin->key);
  if (row != NULL && row->expires > now) {
    merge(origins, row, origin);
    return TRUE;
  }
  if (row == NULL && !has_room(origins, origin->account))
    return FALSE;
  if (row == NULL) {
    row = g_new(StreamOrigin, 1);
    row->key = origin->key;
    g_hash_table_insert(origins->rows, &row->key, row);
  } else {
    origins->untold -= is_untold(row);
    set_count_of_account(origins, row->account,
                         count_of_account(origins, row->account) - 1);
  }
  *row = *origin;
  origins->untold += is_untold(row);
  set_count_of_account(origins, row->account,
                       count_of_account(origins, row->account) + 1);
  return TRUE;
}

const StreamOrigin *stream_origins_find(const StreamOrigins *origins,
                                        const StreamKey *key, gint64 now) {
  const StreamOrigin *row = g_hash_table_lookup(origins->rows, key);
  return row != NULL && row->expires > now ? row : NULL;
}

guint stream_origins_take_untold(StreamOrigins *origins, guint32 service,
                                 StreamOrigin *out, guint most, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, origins->rows);
  while (count < most && origins->untold > 0 &&
         g_hash_table_iter_next(&iterator, NULL, &value)) {
    StreamOrigin *row = value;
    if (!is_untold(row) || row->service != service || row->expires <= now)
      continue;
    row->is_told = TRUE;
    origins->untold--;
    out[count++] = *row;
  }
  return count;
}

void stream_origins_each(const StreamOrigins *origins,
                         void (*function)(gpointer data,
                                          const StreamOrigin *origin,
                                          gint64 now),
                         gpointer data, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, origins->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    function(data, value, now);
}

gboolean stream_origins_has_untold(const StreamOrigins *origins) {
  return origins->untold > 0;
}

guint stream_origins_count(const StreamOrigins *origins) {
  return g_hash_table_size(origins->rows);
}

void stream_origins_expire(StreamOrigins *origins, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now < origins->next_expiry_at)
    return;
  origins->next_expiry_at = now + EXPIRE_INTERVAL;
  g_hash_table_iter_init(&iterator, origins->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const StreamOrigin *row = value;
    if (row->expires > now)
      continue;
    origins->untold -= is_untold(row);
    set_count_of_account(origins, row->account,
                         count_of_account(origins, row->account) - 1);
    g_hash_table_iter_remove(&iterator);
  }
}
