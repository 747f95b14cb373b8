/*
** link_pool.c
** The number of connections to each endpoint, and which of them are idle
*/

#include "io/link_pool.h"

/* the connections to one endpoint */
typedef struct EndpointPool {
  guint connections;
  GQueue idle; /* links, the one that became idle last first */
} EndpointPool;

struct LinkPool {
  LinkPoolHooks hooks;
  GHashTable *endpoint_pools; /* endpoint id -> Place, which has 1 connection
                                 or more */
  guint idle;                 /* sum over all endpoints */
};

static void endpoint_pool_free(gpointer p) {
  EndpointPool *endpoint_pool = p;
  g_queue_clear(&endpoint_pool->idle);
  g_free(endpoint_pool);
}

LinkPool *link_pool_new(const LinkPoolHooks *hooks) {
  LinkPool *pool = g_new0(LinkPool, 1);
  pool->hooks = *hooks;
  pool->endpoint_pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               endpoint_pool_free);
  return pool;
}

void link_pool_free(LinkPool *pool) {
  g_hash_table_destroy(pool->endpoint_pools);
  g_free(pool);
}

static void report_counts(const LinkPool *pool, const char *endpoint,
                          const EndpointPool *endpoint_pool) {
  pool->hooks.counted(pool->hooks.data, endpoint, endpoint_pool->connections,
                      endpoint_pool->idle.length);
}

void link_pool_opened(LinkPool *pool, const char *endpoint) {
  EndpointPool *endpoint_pool =
      g_hash_table_lookup(pool->endpoint_pools, endpoint);
  if (endpoint_pool == NULL) {
    endpoint_pool = g_new0(EndpointPool, 1);
    g_queue_init(&endpoint_pool->idle);
    g_hash_table_insert(pool->endpoint_pools, g_strdup(endpoint),
                        endpoint_pool);
  }
  endpoint_pool->connections++;
  report_counts(pool, endpoint, endpoint_pool);
}

void link_pool_closed(LinkPool *pool, const char *endpoint, gpointer link) {
  EndpointPool *endpoint_pool =
      g_hash_table_lookup(pool->endpoint_pools, endpoint);
  g_assert(endpoint_pool != NULL);
  if (g_queue_remove(&endpoint_pool->idle, link))
    pool->idle--;
  endpoint_pool->connections--;
  report_counts(pool, endpoint, endpoint_pool);
  if (endpoint_pool->connections == 0)
    g_hash_table_remove(pool->endpoint_pools, endpoint);
}

void link_pool_put_idle(LinkPool *pool, const char *endpoint, gpointer link) {
  EndpointPool *endpoint_pool =
      g_hash_table_lookup(pool->endpoint_pools, endpoint);
  g_assert(endpoint_pool != NULL);
  g_queue_push_head(&endpoint_pool->idle, link);
  pool->idle++;
  report_counts(pool, endpoint, endpoint_pool);
}

gpointer link_pool_take_idle(LinkPool *pool, const char *endpoint) {
  EndpointPool *endpoint_pool =
      g_hash_table_lookup(pool->endpoint_pools, endpoint);
  gpointer link =
      endpoint_pool != NULL ? g_queue_pop_head(&endpoint_pool->idle) : NULL;
  if (link == NULL)
    return NULL;
  pool->idle--;
  report_counts(pool, endpoint, endpoint_pool);
  return link;
}

gpointer link_pool_longest_idle(const LinkPool *pool, const char *endpoint) {
  EndpointPool *endpoint_pool =
      g_hash_table_lookup(pool->endpoint_pools, endpoint);
  return endpoint_pool != NULL ? g_queue_peek_tail(&endpoint_pool->idle)
                               : NULL;
}

guint link_pool_idle_count(const LinkPool *pool) {
  return pool->idle;
}

GPtrArray *link_pool_idle_endpoints(const LinkPool *pool) {
  GPtrArray *found = g_ptr_array_new();
  GHashTableIter iterator;
  gpointer endpoint;
  gpointer value;
  g_hash_table_iter_init(&iterator, pool->endpoint_pools);
  while (g_hash_table_iter_next(&iterator, &endpoint, &value)) {
    if (((const EndpointPool *)value)->idle.length > 0)
      g_ptr_array_add(found, endpoint);
  }
  return found;
}
