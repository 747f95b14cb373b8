/*
** carried_paths.c
** What checks have shown of the paths to endpoints through carriers
*/

#include "router/carried_paths.h"

typedef struct CarriedPath {
  guint32 endpoint;
  mp_Addr via;
  gboolean is_checking;
  gint64 checked_at;   /* when the last check began */
  gint64 connected_at; /* G_MININT64: not known to have connected */
} CarriedPath;

struct CarriedPaths {
  GHashTable *all; /* set of CarriedPath, which it owns */
};

static guint path_hash(gconstpointer p) {
  const CarriedPath *path = p;
  gint64 key = (gint64)(path->via ^ (guint64)path->endpoint << 32);
  return g_int64_hash(&key);
}

static gboolean path_equal(gconstpointer one, gconstpointer other) {
  const CarriedPath *a = one;
  const CarriedPath *b = other;
  return a->endpoint == b->endpoint && a->via == b->via;
}

CarriedPaths *carried_paths_new(void) {
  CarriedPaths *paths = g_new0(CarriedPaths, 1);
  paths->all = g_hash_table_new_full(path_hash, path_equal, g_free, NULL);
  return paths;
}

void carried_paths_free(CarriedPaths *paths) {
  g_hash_table_destroy(paths->all);
  g_free(paths);
}

static CarriedPath *find(const CarriedPaths *paths, guint32 endpoint,
                         mp_Addr via) {
  CarriedPath wanted = {0};
  wanted.endpoint = endpoint;
  wanted.via = via;
  return g_hash_table_lookup(paths->all, &wanted);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now) {
  const CarriedPath *path = key;
  (void)value;
  return !path->is_checking &&
         *(const gint64 *)now - path->checked_at > CARRIED_PATH_RETENTION;
}

void carried_paths_begin_check(CarriedPaths *paths, guint32 endpoint,
                               mp_Addr via, gint64 now) {
  CarriedPath *path;
  g_hash_table_foreach_remove(paths->all, is_forgotten, &now);
  path = find(paths, endpoint, via);
  if (path == NULL) {
    path = g_new0(CarriedPath, 1);
    path->endpoint = endpoint;
    path->via = via;
    path->connected_at = G_MININT64;
    g_hash_table_add(paths->all, path);
  }
  path->is_checking = TRUE;
  path->checked_at = now;
}

void carried_paths_end_check(CarriedPaths *paths, guint32 endpoint,
                             mp_Addr via, gboolean has_connected, gint64 now) {
  CarriedPath *path = find(paths, endpoint, via);
  if (path == NULL)
    return;
  path->is_checking = FALSE;
  if (has_connected)
    path->connected_at = now;
}

gint64 carried_paths_checking_since(const CarriedPaths *paths,
                                    guint32 endpoint, mp_Addr via) {
  const CarriedPath *path = find(paths, endpoint, via);
  return path != NULL && path->is_checking ? path->checked_at : G_MININT64;
}

gint64 carried_paths_connected_at(const CarriedPaths *paths, guint32 endpoint,
                                  mp_Addr via) {
  const CarriedPath *path = find(paths, endpoint, via);
  return path != NULL ? path->connected_at : G_MININT64;
}
