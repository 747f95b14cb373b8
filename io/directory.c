/*
** directory.c
** Keeps the router in step with the store
*/

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "io/directory.h"
#include "io/http.h"
#include "io/node.h"
#include "io/store_link.h"

/* an answer may come so much later than a watch's wait */
#define WATCH_SLACK (700 * MP_MS)
/* other calls are given up after this */
#define CALL_PATIENCE (1000 * MP_MS)
/* a young instance without a configuration asks a peer this often */
#define PEER_FIRST (600 * MP_MS)
#define PEER_AGAIN (400 * MP_MS)
/* the wait before an instance tries again to enter its own object */
#define REGISTER_RETRY (2 * MP_SEC)
/* pauses after news of a kind, so that more news cost no call each */
#define CONFIGURATION_PAUSE (300 * MP_MS)
#define ENDPOINTS_PAUSE (400 * MP_MS)
#define INSTANCES_PAUSE (2 * MP_SEC)
/* longest wait of a watch of the instances: they change rarely */
#define INSTANCES_WAIT (12 * MP_SEC)

/* one kind that is followed */
typedef struct Following {
  Directory *directory;
  Follower follower;
  StoreLink *link;
  struct event *timer;
} Following;

struct Directory {
  struct event_base *base;
  const Dialect *dialect;
  Router *router;
  Log *log;
  DirectoryHooks hooks;
  char *instance;
  mp_Addr *peers;
  unsigned peers_count, next_peer;
  Following configuration, endpoints;
  /* texts as the store holds them, for peers */
  char *configuration_text;
  GHashTable *endpoint_texts; /* id -> text */
  gboolean has_endpoints;
  /* the other instances */
  Following following_instances;
  GHashTable *instances; /* name -> mp_Addr */
  gboolean instances_listed;
  mp_Addr exchange; /* this instance's own address among them */
  StoreLink *registration;
  struct event *register_timer;
  /* asking a peer */
  struct event *peer_timer;
  HttpCall *peer_call;
  GString *peer_text;
};

static void start_timer(struct event *timer, gint64 wait) {
  struct timeval time = {MAX(wait, 0) / MP_SEC, MAX(wait, 0) % MP_SEC};
  event_add(timer, &time);
}

/*
** {==================================================================
** Objects
** ===================================================================
*/

static void bad_record(const Directory *directory, const char *name,
                       GError *error) {
  log_numbered(directory->log, MP_LOG_STORE_RECORD_BAD,
               " name=%s error=\"%s\"", name,
               error != NULL ? error->message : "unreadable");
  g_clear_error(&error);
}

static void take_configuration(Directory *directory, const char *name,
                               const char *text) {
  GError *error = NULL;
  RouteTable *table = directory->dialect->read_configuration(text, &error);
  if (table == NULL) {
    bad_record(directory, name, error);
    return;
  }
  g_free(directory->configuration_text);
  directory->configuration_text = g_strdup(text);
  router_set_routes(directory->router, table, node_now());
  directory->hooks.configuration(directory->hooks.data, table);
  route_table_unref(table);
}

static void take_endpoint(Directory *directory, const char *name,
                          const char *text) {
  EndpointRecord record;
  GError *error = NULL;
  if (!directory->dialect->read_record(name, text, &record, &error)) {
    bad_record(directory, name, error);
    return;
  }
  g_hash_table_replace(directory->endpoint_texts, g_strdup(name),
                       g_strdup(text));
  router_set_endpoint(directory->router, &record, FALSE, node_now());
  endpoint_record_clear(&record);
}

static void drop_endpoint(Directory *directory, const char *name) {
  EndpointRecord record = {0};
  record.id = (char *)name;
  g_hash_table_remove(directory->endpoint_texts, name);
  router_set_endpoint(directory->router, &record, TRUE, node_now());
}

static void take_instance(Directory *directory, const StoreObject *object);
static void tell_instances(Directory *directory);

static void on_object(void *data, StoreKind kind, const StoreObject *object) {
  Directory *directory = data;
  if (kind == STORE_INSTANCES)
    take_instance(directory, object);
  else if (kind == STORE_CONFIGURATION) {
    if (!object->gone) /* without one, the last one stays in force */
      take_configuration(directory, object->name, object->text);
  } else if (object->gone)
    drop_endpoint(directory, object->name);
  else
    take_endpoint(directory, object->name, object->text);
}

static gboolean is_unlisted(gpointer name, gpointer text, gpointer names) {
  (void)text;
  return !g_hash_table_contains(names, name);
}

static void on_listed(void *data, StoreKind kind, GHashTable *names) {
  Directory *directory = data;
  log_numbered(directory->log, MP_LOG_STORE_LIST, " kind=%d objects=%u",
               (int)kind, g_hash_table_size(names));
  if (kind == STORE_INSTANCES) {
    directory->instances_listed = TRUE;
    g_hash_table_foreach_remove(directory->instances, is_unlisted, names);
    tell_instances(directory);
  }
  if (kind != STORE_ENDPOINTS)
    return;
  directory->has_endpoints = TRUE;
  g_hash_table_foreach_remove(directory->endpoint_texts, is_unlisted, names);
  router_keep_endpoints(directory->router, names, node_now());
}

static void on_lost(void *data, StoreKind kind) {
  log_numbered(((Directory *)data)->log, MP_LOG_STORE_DOWN, " kind=%d",
               (int)kind);
}

static void on_regained(void *data, StoreKind kind) {
  log_numbered(((Directory *)data)->log, MP_LOG_STORE_UP, " kind=%d",
               (int)kind);
}

/* }================================================================== */

/*
** {==================================================================
** Following
** ===================================================================
*/

static void on_follow_timer(evutil_socket_t fd, short what, void *data) {
  Following *following = data;
  StoreCall call;
  gint64 patience = CALL_PATIENCE;
  (void)fd;
  (void)what;
  follower_begin(&following->follower, &call);
  if (call.operation == STORE_WATCH)
    patience = call.wait + WATCH_SLACK;
  store_link_call(following->link, &call, patience);
}

static void on_follow_reply(void *data, const StoreReply *reply,
                            const GError *error) {
  Following *following = data;
  gint64 now = node_now();
  if (reply->status == STORE_HISTORY_GONE)
    log_numbered(following->directory->log, MP_LOG_STORE_HISTORY_GONE,
                 " kind=%d", (int)following->follower.kind);
  (void)error;
  follower_reply(&following->follower, reply, now);
  start_timer(following->timer,
              follower_next_call(&following->follower) - now);
}

static void follow(Directory *directory, Following *following, StoreKind kind,
                   const DirectoryOptions *options, gint64 watch_wait,
                   gint64 pause) {
  FollowerHost host = {directory, on_object, on_listed, on_lost, on_regained};
  following->directory = directory;
  follower_init(&following->follower, kind, watch_wait, pause, &host);
  following->link =
      store_link_new(directory->base, options->store, directory->dialect,
                     on_follow_reply, following);
  following->timer = evtimer_new(directory->base, on_follow_timer, following);
  start_timer(following->timer, 0);
}

static void unfollow(Following *following) {
  event_free(following->timer);
  store_link_free(following->link);
  follower_clear(&following->follower);
}

/* }================================================================== */

/*
** {==================================================================
** Instances: each keeps one object under its own name
** ===================================================================
*/

static void tell_instances(Directory *directory) {
  GArray *addresses = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  unsigned count = g_hash_table_size(directory->instances);
  GHashTableIter iterator;
  gpointer name;
  gpointer address;
  g_hash_table_iter_init(&iterator, directory->instances);
  while (g_hash_table_iter_next(&iterator, &name, &address)) {
    mp_Addr at = *(mp_Addr *)address;
    if (at != 0 && strcmp(name, directory->instance) != 0)
      g_array_append_val(addresses, at);
  }
  log_numbered(directory->log, MP_LOG_INSTANCES, " count=%u", count);
  /* until this one is listed, it counts beside the others */
  router_set_instances(directory->router, MAX(count, 1));
  directory->hooks.instances(directory->hooks.data, addresses);
  g_array_free(addresses, TRUE);
}

static void take_instance(Directory *directory, const StoreObject *object) {
  mp_Addr *address;
  if (object->gone)
    g_hash_table_remove(directory->instances, object->name);
  else {
    address = g_new(mp_Addr, 1);
    *address = directory->dialect->read_instance(object->text);
    g_hash_table_replace(directory->instances, g_strdup(object->name),
                         address);
  }
  if (directory->instances_listed)
    tell_instances(directory);
}

static void on_register_timer(evutil_socket_t fd, short what, void *data) {
  Directory *directory = data;
  StoreCall call = {0};
  (void)fd;
  (void)what;
  call.kind = STORE_INSTANCES;
  call.operation = STORE_CREATE;
  call.name = directory->instance;
  call.address = directory->exchange;
  store_link_call(directory->registration, &call, CALL_PATIENCE);
}

static void on_register_reply(void *data, const StoreReply *reply,
                              const GError *error) {
  Directory *directory = data;
  (void)error;
  if (reply->status != STORE_OK && reply->status != STORE_EXISTS)
    start_timer(directory->register_timer, REGISTER_RETRY);
}

/* }================================================================== */

/*
** {==================================================================
** Snapshots between instances
** ===================================================================
*/

char *directory_snapshot(const Directory *directory) {
  json_t *endpoints = json_object();
  json_t *snapshot;
  GHashTableIter iterator;
  gpointer name;
  gpointer text;
  char *dumped;
  char *out;
  g_hash_table_iter_init(&iterator, directory->endpoint_texts);
  while (g_hash_table_iter_next(&iterator, &name, &text))
    json_object_set_new(endpoints, name, json_string(text));
  snapshot = json_pack("{s:o}", "endpoints", endpoints);
  if (directory->configuration_text != NULL)
    json_object_set_new(snapshot, "configuration",
                        json_string(directory->configuration_text));
  dumped = json_dumps(snapshot, JSON_COMPACT);
  out = g_strdup(dumped);
  free(dumped);
  json_decref(snapshot);
  return out;
}

static void take_snapshot(Directory *directory, const char *text) {
  json_t *json = json_loads(text, 0, NULL);
  json_t *endpoints = json_object_get(json, "endpoints");
  const char *configuration =
      json_string_value(json_object_get(json, "configuration"));
  const char *name;
  json_t *value;
  if (configuration != NULL && !router_configured(directory->router)) {
    log_numbered(directory->log, MP_LOG_PEER_SNAPSHOT, " endpoints=%zu",
                 json_object_size(endpoints));
    take_configuration(directory, "peer", configuration);
    json_object_foreach(endpoints, name, value) {
      if (!directory->has_endpoints && json_is_string(value))
        take_endpoint(directory, name, json_string_value(value));
    }
    directory->has_endpoints = TRUE;
  }
  json_decref(json);
}

static void on_peer_data(void *data, const char *bytes, size_t size) {
  Directory *directory = data;
  g_string_append_len(directory->peer_text, bytes, (gssize)size);
}

static void on_peer_end(void *data, HttpEnd end, int status) {
  Directory *directory = data;
  directory->peer_call = NULL;
  if (end == HTTP_END_OK && status == 200)
    take_snapshot(directory, directory->peer_text->str);
}

/* until there is a configuration: one peer after the other */
static void on_peer_timer(evutil_socket_t fd, short what, void *data) {
  static const HttpHooks hooks = {NULL, on_peer_data, on_peer_end};
  Directory *directory = data;
  mp_Addr peer;
  (void)fd;
  (void)what;
  if (directory->peer_call != NULL)
    http_abort(directory->peer_call);
  directory->peer_call = NULL;
  if (router_configured(directory->router) || directory->peers_count == 0)
    return;
  peer = directory->peers[directory->next_peer++ % directory->peers_count];
  g_string_truncate(directory->peer_text, 0);
  directory->peer_call =
      http_call(directory->base, peer, EVHTTP_REQ_GET, "/snapshot", NULL, NULL,
                0, &hooks, directory);
  start_timer(directory->peer_timer, PEER_AGAIN);
}

/* }================================================================== */

Directory *directory_new(struct event_base *base, const Dialect *dialect,
                         const DirectoryOptions *options, Router *router,
                         Log *log, const DirectoryHooks *hooks) {
  Directory *directory = g_new0(Directory, 1);
  directory->base = base;
  directory->dialect = dialect;
  directory->router = router;
  directory->log = log;
  directory->hooks = *hooks;
  directory->instance = g_strdup(options->instance);
  directory->peers =
      g_memdup2(options->peers, options->peers_count * sizeof *options->peers);
  directory->peers_count = options->peers_count;
  directory->endpoint_texts =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  directory->instances =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  directory->exchange = options->exchange;
  directory->peer_text = g_string_new(NULL);
  follow(directory, &directory->configuration, STORE_CONFIGURATION, options,
         options->watch_wait, CONFIGURATION_PAUSE);
  follow(directory, &directory->endpoints, STORE_ENDPOINTS, options,
         options->watch_wait, ENDPOINTS_PAUSE);
  follow(directory, &directory->following_instances, STORE_INSTANCES, options,
         INSTANCES_WAIT, INSTANCES_PAUSE);
  directory->registration = store_link_new(base, options->store, dialect,
                                           on_register_reply, directory);
  directory->register_timer = evtimer_new(base, on_register_timer, directory);
  start_timer(directory->register_timer, 0);
  directory->peer_timer = evtimer_new(base, on_peer_timer, directory);
  start_timer(directory->peer_timer, PEER_FIRST);
  return directory;
}

void directory_free(Directory *directory) {
  unfollow(&directory->configuration);
  unfollow(&directory->endpoints);
  unfollow(&directory->following_instances);
  store_link_free(directory->registration);
  event_free(directory->register_timer);
  g_hash_table_destroy(directory->instances);
  event_free(directory->peer_timer);
  if (directory->peer_call != NULL)
    http_abort(directory->peer_call);
  g_string_free(directory->peer_text, TRUE);
  g_hash_table_destroy(directory->endpoint_texts);
  g_free(directory->configuration_text);
  g_free(directory->instance);
  g_free(directory->peers);
  g_free(directory);
}

gboolean directory_has_endpoints(const Directory *directory) {
  return directory->has_endpoints;
}

guint64 directory_store_calls(const Directory *directory) {
  return store_link_calls(directory->configuration.link) +
         store_link_calls(directory->endpoints.link) +
         store_link_calls(directory->following_instances.link) +
         store_link_calls(directory->registration);
}
