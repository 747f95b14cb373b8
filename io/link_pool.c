/*
** link_pool.c
** Connections by endpoint
*/

#include "io/link_pool.h"

/* the connections to one endpoint */
typedef struct Place {
  guint connections;
  GQueue resting; /* links, newest first */
} Place;

struct LinkPool {
  LinkPoolHooks hooks;
  GHashTable *places; /* endpoint id -> Place; none without connections */
  guint resting;
};

static void place_free(gpointer p) {
  Place *place = p;
  g_queue_clear(&place->resting);
  g_free(place);
}

LinkPool *link_pool_new(const LinkPoolHooks *hooks) {
  LinkPool *pool = g_new0(LinkPool, 1);
  pool->hooks = *hooks;
  pool->places =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, place_free);
  return pool;
}

void link_pool_free(LinkPool *pool) {
  g_hash_table_destroy(pool->places);
  g_free(pool);
}

static void tell(const LinkPool *pool, const char *endpoint,
                 const Place *place) {
  pool->hooks.counted(pool->hooks.data, endpoint, place->connections,
                      place->resting.length);
}

void link_pool_opened(LinkPool *pool, const char *endpoint) {
  Place *place = g_hash_table_lookup(pool->places, endpoint);
  if (place == NULL) {
    place = g_new0(Place, 1);
    g_queue_init(&place->resting);
    g_hash_table_insert(pool->places, g_strdup(endpoint), place);
  }
  place->connections++;
  tell(pool, endpoint, place);
}

void link_pool_closed(LinkPool *pool, const char *endpoint, gpointer link) {
  Place *place = g_hash_table_lookup(pool->places, endpoint);
  g_assert(place != NULL);
  if (g_queue_remove(&place->resting, link))
    pool->resting--;
  place->connections--;
  tell(pool, endpoint, place);
  if (place->connections == 0)
    g_hash_table_remove(pool->places, endpoint);
}

void link_pool_put_idle(LinkPool *pool, const char *endpoint, gpointer link) {
  Place *place = g_hash_table_lookup(pool->places, endpoint);
  g_assert(place != NULL);
  g_queue_push_head(&place->resting, link);
  pool->resting++;
  tell(pool, endpoint, place);
}

gpointer link_pool_take_idle(LinkPool *pool, const char *endpoint) {
  Place *place = g_hash_table_lookup(pool->places, endpoint);
  gpointer link = place != NULL ? g_queue_pop_head(&place->resting) : NULL;
  if (link == NULL)
    return NULL;
  pool->resting--;
  tell(pool, endpoint, place);
  return link;
}

gpointer link_pool_longest_idle(const LinkPool *pool, const char *endpoint) {
  Place *place = g_hash_table_lookup(pool->places, endpoint);
  return place != NULL ? g_queue_peek_tail(&place->resting) : NULL;
}

guint link_pool_idle_count(const LinkPool *pool) {
  return pool->resting;
}

GPtrArray *link_pool_idle_endpoints(const LinkPool *pool) {
  GPtrArray *found = g_ptr_array_new();
  GHashTableIter iterator;
  gpointer endpoint;
  gpointer value;
  g_hash_table_iter_init(&iterator, pool->places);
  while (g_hash_table_iter_next(&iterator, &endpoint, &value)) {
    if (((const Place *)value)->resting.length > 0)
      g_ptr_array_add(found, endpoint);
  }
  return found;
}
