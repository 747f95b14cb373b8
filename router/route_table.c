/*
** route_table.c
** One configuration: routes, services, client accounts and keys
** (router/records.h)
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/records.h"

static void target_clear(gpointer p) {
  RouteTarget *target = p;
  g_free(target->service);
}

static void route_unref(gpointer p) {
  Route *route = p;
  if (--route->refs > 0)
    return;
  g_free(route->name);
  g_free(route->host);
  g_free(route->prefix);
  g_array_free(route->targets, TRUE);
  g_free(route);
}

static void account_free(gpointer p) {
  Account *account = p;
  g_free(account->name);
  g_free(account);
}

static void service_free(gpointer p) {
  Service *service = p;
  g_free(service->name);
  g_free(service->health_path);
  g_free(service);
}

/* Returns the digest of the text that a route was written as. */
static TextDigest text_digest(const char *text, gsize size) {
  XXH128_hash_t hash = XXH3_128bits(text, size);
  TextDigest digest = {hash.low64, hash.high64};
  return digest;
}

static guint digest_hash(gconstpointer p) {
  const TextDigest *digest = p;
  return (guint)digest->low;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, sizeof(TextDigest)) == 0;
}

RouteTable *route_table_new(void) {
  RouteTable *table = g_new0(RouteTable, 1);
  table->refs = 1;
  table->routes = g_ptr_array_new_with_free_func(route_unref);
  table->by_text = g_hash_table_new(digest_hash, digest_equal);
  table->services = g_ptr_array_new_with_free_func(service_free);
  return table;
}

RouteTable *route_table_ref(RouteTable *table) {
  table->refs++;
  return table;
}

void route_table_unref(RouteTable *table) {
  if (table == NULL || --table->refs > 0)
    return;
  g_hash_table_destroy(table->by_text);
  g_ptr_array_free(table->routes, TRUE);
  g_ptr_array_free(table->services, TRUE);
  if (table->accounts != NULL)
    g_ptr_array_free(table->accounts, TRUE);
  key_table_free(table->keys);
  g_free(table);
}

/* Appends a route, which is shared by reference between tables. */
static void append_route(RouteTable *table, Route *route) {
  route->refs++;
  g_ptr_array_add(table->routes, route);
  g_hash_table_replace(table->by_text, &route->digest, route);
}

Route *route_table_add_route(RouteTable *table, const char *text, gsize size) {
  Route *route = g_new0(Route, 1);
  route->digest = text_digest(text, size);
  route->targets = g_array_new(FALSE, TRUE, sizeof(RouteTarget));
  g_array_set_clear_func(route->targets, target_clear);
  append_route(table, route);
  return route;
}

gboolean route_table_share_route(RouteTable *table, const RouteTable *older,
                                 const char *text, gsize size) {
  TextDigest digest;
  Route *route;
  if (older == NULL)
    return FALSE;
  digest = text_digest(text, size);
  route = g_hash_table_lookup(older->by_text, &digest);
  if (route != NULL)
    append_route(table, route);
  return route != NULL;
}

Service *route_table_add_service(RouteTable *table) {
  Service *service = g_new0(Service, 1);
  g_ptr_array_add(table->services, service);
  return service;
}

void route_table_require_keys(RouteTable *table) {
  if (table->accounts != NULL)
    return;
  table->accounts = g_ptr_array_new_with_free_func(account_free);
  table->keys = key_table_new();
}

Account *route_table_add_account(RouteTable *table) {
  Account *account = g_new0(Account, 1);
  route_table_require_keys(table);
  g_ptr_array_add(table->accounts, account);
  return account;
}

void route_table_add_key(RouteTable *table, const char *key) {
  char digest[MP_SHA256_HEX + 1];
  mp_digest(key, strlen(key), digest);
  key_table_add(table->keys, digest, table->accounts->len - 1);
}

const Account *route_table_find_account(const RouteTable *table,
                                        const char *digest) {
  guint index;
  if (table->keys == NULL || !key_table_find(table->keys, digest, &index))
    return NULL;
  return table->accounts->pdata[index];
}

double account_cost(const Account *account, guint32 prompt_tokens,
                    guint32 output_tokens) {
  double tokens = (double)prompt_tokens + output_tokens;
  if (account->unit == ACCOUNT_REQUESTS)
    return 1;
  return tokens > 0 ? tokens : account->plain_tokens;
}

guint request_priority(const Account *account, const Route *route) {
  guint priority = account != NULL && account->has_priority ? account->priority
                                                            : route->priority;
  return MIN(priority, PRIORITY_LOWEST);
}

/* Returns the priorities that accounts state, one bit for each, and adds those
** that are none to '*bad'. */
static guint account_priorities(const RouteTable *table, guint *bad) {
  guint found = 0;
  guint i;
  for (i = 0; table->accounts != NULL && i < table->accounts->len; i++) {
    const Account *account = table->accounts->pdata[i];
    if (!account->has_priority)
      continue;
    found |= 1u << MIN(account->priority, PRIORITY_LOWEST);
    *bad += account->priority > PRIORITY_LOWEST;
  }
  return found;
}

/* Returns the priorities of the routes of each service, by its name, in the
** form of account_priorities; the caller frees the table. */
static GHashTable *route_priorities(const RouteTable *table, guint *bad) {
  GHashTable *found = g_hash_table_new(g_str_hash, g_str_equal);
  guint i;
  guint k;
  for (i = 0; i < table->routes->len; i++) {
    const Route *route = table->routes->pdata[i];
    guint bit = 1u << request_priority(NULL, route);
    *bad += route->priority > PRIORITY_LOWEST;
    for (k = 0; k < route->targets->len; k++) {
      char *name = g_array_index(route->targets, RouteTarget, k).service;
      guint known = GPOINTER_TO_UINT(g_hash_table_lookup(found, name));
      if ((known | bit) != known)
        g_hash_table_insert(found, name, GUINT_TO_POINTER(known | bit));
    }
  }
  return found;
}

guint route_table_rank_services(RouteTable *table) {
  guint bad = 0;
  guint of_accounts = account_priorities(table, &bad);
  GHashTable *of_routes = route_priorities(table, &bad);
  guint i;
  for (i = 0; i < table->services->len; i++) {
    Service *service = table->services->pdata[i];
    guint found =
        GPOINTER_TO_UINT(g_hash_table_lookup(of_routes, service->name));
    found |= of_accounts;
    service->has_priorities = (found & (found - 1)) != 0;
  }
  g_hash_table_destroy(of_routes);
  return bad;
}

void route_add_target(Route *route, const char *service, guint32 weight) {
  RouteTarget target = {g_strdup(service), weight};
  g_array_append_val(route->targets, target);
}

const Route *route_table_find_route(const RouteTable *table, const char *host,
                                    const char *path) {
  const Route *best = NULL;
  gsize best_length = 0;
  guint i;
  for (i = 0; i < table->routes->len; i++) {
    const Route *route = table->routes->pdata[i];
    gsize length = strlen(route->prefix);
    if (best != NULL && length <= best_length)
      continue;
    if (g_ascii_strcasecmp(route->host, host) != 0 ||
        strncmp(path, route->prefix, length) != 0)
      continue;
    best = route;
    best_length = length;
  }
  return best;
}

const Service *route_table_find_service(const RouteTable *table,
                                        const char *name) {
  guint i;
  for (i = 0; i < table->services->len; i++) {
    const Service *service = table->services->pdata[i];
    if (strcmp(service->name, name) == 0)
      return service;
  }
  return NULL;
}

const char *route_choose_service(const Route *route, guint32 draw) {
  guint64 total = 0;
  guint64 draw_at;
  guint i;
  for (i = 0; i < route->targets->len; i++)
    total += g_array_index(route->targets, RouteTarget, i).weight;
  draw_at = total * draw >> 32;
  for (i = 0; i + 1 < route->targets->len; i++) {
    const RouteTarget *target = &g_array_index(route->targets, RouteTarget, i);
    if (draw_at < target->weight)
      return target->service;
    draw_at -= target->weight;
  }
  return g_array_index(route->targets, RouteTarget, i).service;
}

gboolean route_is_repeatable(const Route *route) {
  return route->kind == ROUTE_SAFE ||
         (route->kind == ROUTE_STREAM && route->resumable);
}

void endpoint_record_clear(EndpointRecord *record) {
  g_free(record->id);
  g_free(record->service);
  g_free(record->zone);
  g_free(record->software);
  memset(record, 0, sizeof *record);
}

void instance_record_clear(InstanceRecord *record) {
  g_free(record->zone);
  memset(record, 0, sizeof *record);
}
