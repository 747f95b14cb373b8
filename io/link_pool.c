/*
** link_pool.c
** The number of connections to each endpoint, and which of them are idle
*/

#include "io/link_pool.h"

/* the connections to one endpoint */
typedef struct PoolEntry {
  guint connections;
  GQueue idle; /* links, the one that became idle last first */
} PoolEntry;

struct LinkPool {
  LinkPoolHooks hooks;
  GHashTable *entries; /* endpoint id -> PoolEntry with connections */
  guint idle;          /* sum over all endpoints */
};

static void entry_free(gpointer p) {
  PoolEntry *entry = p;
  g_queue_clear(&entry->idle);
  g_free(entry);
}

LinkPool *link_pool_new(const LinkPoolHooks *hooks) {
  LinkPool *pool = g_new0(LinkPool, 1);
  pool->hooks = *hooks;
  pool->entries =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
  return pool;
}

void link_pool_free(LinkPool *pool) {
  g_hash_table_destroy(pool->entries);
  g_free(pool);
}

static void report_counts(const LinkPool *pool, const char *endpoint,
                          const PoolEntry *entry) {
  pool->hooks.counted(pool->hooks.data, endpoint, entry->connections,
                      entry->idle.length);
}

void link_pool_opened(LinkPool *pool, const char *endpoint) {
  PoolEntry *entry = g_hash_table_lookup(pool->entries, endpoint);
  if (entry == NULL) {
    entry = g_new0(PoolEntry, 1);
    g_queue_init(&entry->idle);
    g_hash_table_insert(pool->entries, g_strdup(endpoint), entry);
  }
  entry->connections++;
  report_counts(pool, endpoint, entry);
}

void link_pool_closed(LinkPool *pool, const char *endpoint, gpointer link) {
  PoolEntry *entry = g_hash_table_lookup(pool->entries, endpoint);
  g_assert(entry != NULL);
  if (g_queue_remove(&entry->idle, link))
    pool->idle--;
  entry->connections--;
  report_counts(pool, endpoint, entry);
  if (entry->connections == 0)
    g_hash_table_remove(pool->entries, endpoint);
}

void link_pool_put_idle(LinkPool *pool, const char *endpoint, gpointer link) {
  PoolEntry *entry = g_hash_table_lookup(pool->entries, endpoint);
  g_assert(entry != NULL);
  g_queue_push_head(&entry->idle, link);
  pool->idle++;
  report_counts(pool, endpoint, entry);
}

gpointer link_pool_take_idle(LinkPool *pool, const char *endpoint) {
  PoolEntry *entry = g_hash_table_lookup(pool->entries, endpoint);
  gpointer link = entry != NULL ? g_queue_pop_head(&entry->idle) : NULL;
  if (link == NULL)
    return NULL;
  pool->idle--;
  report_counts(pool, endpoint, entry);
  return link;
}

gpointer link_pool_longest_idle(const LinkPool *pool, const char *endpoint) {
  PoolEntry *entry = g_hash_table_lookup(pool->entries, endpoint);
  return entry != NULL ? g_queue_peek_tail(&entry->idle) : NULL;
}

guint link_pool_idle_count(const LinkPool *pool) {
  return pool->idle;
}

GPtrArray *link_pool_idle_endpoints(const LinkPool *pool) {
  GPtrArray *found = g_ptr_array_new();
  GHashTableIter iterator;
  gpointer endpoint;
  gpointer value;
  g_hash_table_iter_init(&iterator, pool->entries);
  while (g_hash_table_iter_next(&iterator, &endpoint, &value)) {
    if (((const PoolEntry *)value)->idle.length > 0)
      g_ptr_array_add(found, endpoint);
  }
  return found;
}
