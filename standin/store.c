/*
** store.c
** Stand-in for the platform's metadata store
**
**   GET    /objects/KIND[?after=NAME]         items, more, at
**   GET    /objects/KIND/NAME                 one object; 404
**   GET    /objects/KIND?watch=REV&WaitMs=N   events, at; 410 if the history
**                                             does not reach back to REV
**   POST   /objects/KIND                      creates; 409
**   PUT    /objects/KIND/NAME                 replaces; 404, 409
**   DELETE /objects/KIND/NAME[?Rev=REV]       removes; 404, 409
**
** A 409 carries the object as it is. PUT and DELETE are unconditional when
** their revision is missing or 0. A watch waits at most WaitMs, 1000 by
** default, and is then answered without events.
*/

#include <string.h>

#include "standin/store.h"
#include "standin/store_raw.h"
#include "standin/store_view.h"

/* The revision of a store to which nothing was written. */
#define FIRST_REVISION 100
/* After a restore, the operator and the workers write again after this. */
#define REWRITE_DELAY_MS 300L
/* Objects in one page of a list: few, so that lists need several pages. */
#define PAGE_OBJECTS_MAX 5

/* An object. Its revision is that of the store at the last write. */
typedef struct Object {
  char *kind;
  char *name;
  json_t *spec;
  int64_t revision; /* of the last write */
  int is_removed;   /* kept for the history that watches read */
} Object;

/* A write, from which the store can be restored. */
typedef struct Change {
  gint64 at; /* monotonic clock, us */
  char *kind;
  char *name;
  json_t *spec; /* NULL: the object was removed */
  int64_t revision;
} Change;

/* A watch that waits; it is answered once, by a change or its timeout. */
typedef struct Watch {
  struct evhttp_request *request;
  char *kind;
  int64_t since; /* revision that the caller has */
  struct event *timer;
} Watch;

static struct event_base *base;
static GPtrArray *objects; /* Object, removed ones as well */
static GPtrArray *watches; /* Watch */
static int64_t revision = FIRST_REVISION;
/* The oldest revision from which a watch may start. */
static int64_t oldest_revision = FIRST_REVISION;
static unsigned calls;
static int is_down, is_silent, loses_replies;
static GPtrArray *changes;    /* Change, the oldest first */
static int64_t era = 1;       /* rises when the store is restored */
static GPtrArray *to_rewrite; /* Change: lost by the restore */
static struct event *rewrite_timer;
static int64_t copy_revision; /* of the copy at its restore */

/* Replies with 'body', which it takes over, and the present era. */
static void reply_in_era(struct evhttp_request *request, int status,
                         json_t *body) {
  char text[24];
  body = store_view_apply(request, body);
  g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, era);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                    text);
  store_raw_reply(request, status, body);
}

/* Returns the object as JSON; the caller frees it. */
static json_t *object_json(const Object *object) {
  const char *raw = json_string_value(json_object_get(object->spec, "raw"));
  if (raw != NULL)
    return store_raw_object(raw, object->revision);
  return json_pack("{s:{s:s, s:I}, s:O, s:n}", "Metadata", "Name",
                   object->name, "Rev", (json_int_t)object->revision, "Spec",
                   object->spec, "Status");
}

/* Returns the object, or NULL when there is none or it was removed. */
static Object *find_object(const char *kind, const char *name) {
  guint i;
  for (i = 0; i < objects->len; i++) {
    Object *object = objects->pdata[i];
    if (!object->is_removed && strcmp(object->kind, kind) == 0 &&
        strcmp(object->name, name) == 0)
      return object;
  }
  return NULL;
}

/*
** {==================================================================
** Watches
** ===================================================================
*/

/* Returns the last change of each object of the kind, later than 'since'. */
static json_t *events_since(const char *kind, int64_t since) {
  json_t *events = json_array();
  guint i;
  for (i = 0; i < objects->len; i++) {
    const Object *object = objects->pdata[i];
    if (object->revision > since && strcmp(object->kind, kind) == 0)
      json_array_append_new(events,
                            json_pack("{s:b, s:o}", "gone", object->is_removed,
                                      "object", object_json(object)));
  }
  return events;
}

/*
** Answers the watch with its events and frees it. The answer is 410 when its
** history was deleted, or 'cut' is set.
*/
static void watch_answer(Watch *watch, int cut) {
  struct evhttp_request *request = watch->request;
  json_t *events = events_since(watch->kind, watch->since);
  g_ptr_array_remove(watches, watch);
  evhttp_request_set_on_complete_cb(request, NULL, NULL);
  if (cut || watch->since < oldest_revision) {
    json_decref(events);
    reply_in_era(request, 410, json_object());
  } else
    reply_in_era(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)revision));
  event_free(watch->timer);
  g_free(watch->kind);
  g_free(watch);
}

/* Cuts the connection of the watch and frees it. */
static void watch_cut(Watch *watch) {
  struct evhttp_request *request = watch->request;
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), NULL,
                                NULL);
  g_ptr_array_remove(watches, watch);
  event_free(watch->timer);
  g_free(watch->kind);
  g_free(watch);
  serve_cut(request);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  watch_answer(data, 0);
}

/* The caller closed its connection while its watch waited. */
static void on_watch_closed(struct evhttp_connection *connection, void *data) {
  guint i;
  (void)data;
  for (i = 0; i < watches->len; i++) {
    Watch *watch = watches->pdata[i];
    if (evhttp_request_get_connection(watch->request) != connection)
      continue;
    g_ptr_array_remove(watches, watch);
    event_free(watch->timer);
    g_free(watch->kind);
    g_free(watch);
    return;
  }
}

/* Answers the watches of the kind, after a change. */
static void answer_watches(const char *kind) {
  guint i = 0;
  while (i < watches->len) {
    Watch *watch = watches->pdata[i];
    if (!is_silent && strcmp(watch->kind, kind) == 0)
      watch_answer(watch, 0);
    else
      i++;
  }
}

static void on_watch(struct evhttp_request *request, const char *kind) {
  int64_t since = serve_query_number(request, "watch", 0);
  int64_t wait = serve_query_number(request, "WaitMs", 1000);
  struct timeval time = {wait / 1000, wait % 1000 * 1000};
  json_t *events = events_since(kind, since);
  Watch *watch;
  if (since < oldest_revision || since > revision) {
    json_decref(events);
    reply_in_era(request, 410, json_object());
    return;
  }
  if (json_array_size(events) > 0) {
    reply_in_era(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)revision));
    return;
  }
  json_decref(events);
  watch = g_new0(Watch, 1);
  watch->request = request;
  watch->kind = g_strdup(kind);
  watch->since = since;
  watch->timer = evtimer_new(base, on_watch_timeout, watch);
  event_add(watch->timer, &time);
  g_ptr_array_add(watches, watch);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                on_watch_closed, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Objects
** ===================================================================
*/

static Object *object_new(const char *kind, const char *name) {
  Object *object = g_new0(Object, 1);
  object->kind = g_strdup(kind);
  object->name = g_strdup(name);
  g_ptr_array_add(objects, object);
  return object;
}

/* Records a write, at the present revision; NULL 'spec': a removal. */
static void record_change(const char *kind, const char *name, json_t *spec) {
  Change *change = g_new0(Change, 1);
  change->at = g_get_monotonic_time();
  change->kind = g_strdup(kind);
  change->name = g_strdup(name);
  change->spec = json_incref(spec);
  change->revision = revision;
  g_ptr_array_add(changes, change);
}

/* Creates or replaces an object at the revision 'at'; takes over 'spec'. */
static void set_object(const char *kind, const char *name, json_t *spec,
                       int64_t at) {
  Object *object = find_object(kind, name);
  if (object == NULL)
    object = object_new(kind, name);
  json_decref(object->spec);
  object->spec = spec;
  object->revision = at;
}

static void remove_object(const char *kind, const char *name, int64_t at) {
  Object *object = find_object(kind, name);
  if (object == NULL)
    return;
  object->is_removed = 1;
  object->revision = at;
}

void store_put_object(const char *kind, const char *name, json_t *spec) {
  set_object(kind, name, spec, ++revision);
  record_change(kind, name, spec);
  answer_watches(kind);
}

void store_remove_object(const char *kind, const char *name) {
  if (find_object(kind, name) == NULL)
    return;
  remove_object(kind, name, ++revision);
  record_change(kind, name, NULL);
  answer_watches(kind);
}

static gint by_name(gconstpointer a, gconstpointer b) {
  const Object *const *x = a;
  const Object *const *y = b;
  return strcmp((*x)->name, (*y)->name);
}

static void on_list(struct evhttp_request *request, const char *kind,
                    const char *after) {
  GPtrArray *found = g_ptr_array_new();
  json_t *items = json_array();
  guint i;
  for (i = 0; i < objects->len; i++) {
    Object *object = objects->pdata[i];
    if (!object->is_removed && strcmp(object->kind, kind) == 0 &&
        (after == NULL || strcmp(object->name, after) > 0))
      g_ptr_array_add(found, object);
  }
  g_ptr_array_sort(found, by_name);
  for (i = 0; i < found->len && i < PAGE_OBJECTS_MAX; i++)
    json_array_append_new(items, object_json(found->pdata[i]));
  reply_in_era(request, 200,
               json_pack("{s:o, s:b, s:I}", "items", items, "more",
                         found->len > PAGE_OBJECTS_MAX, "at",
                         (json_int_t)revision));
  g_ptr_array_free(found, TRUE);
}

static void on_read(struct evhttp_request *request, const char *kind,
                    const char *name) {
  const Object *object = find_object(kind, name);
  reply_in_era(request, object != NULL ? 200 : 404,
               object != NULL ? object_json(object) : json_object());
}

static void on_create(struct evhttp_request *request, const char *kind) {
  json_t *body = serve_body(request);
  const char *name = json_string_value(
      json_object_get(json_object_get(body, "Metadata"), "Name"));
  if (name == NULL)
    reply_in_era(request, 400, json_object());
  else if (find_object(kind, name) != NULL)
    reply_in_era(request, 409, object_json(find_object(kind, name)));
  else {
    store_put_object(kind, name, json_incref(json_object_get(body, "Spec")));
    if (loses_replies)
      serve_cut(request);
    else
      reply_in_era(request, 200, object_json(find_object(kind, name)));
  }
  json_decref(body);
}

static void on_replace(struct evhttp_request *request, const char *kind,
                       const char *name) {
  json_t *body = serve_body(request);
  Object *object = find_object(kind, name);
  int64_t expected = json_integer_value(
      json_object_get(json_object_get(body, "Metadata"), "Rev"));
  if (object == NULL)
    reply_in_era(request, 404, json_object());
  else if (expected != 0 && expected != object->revision)
    reply_in_era(request, 409, object_json(object));
  else {
    store_put_object(kind, name, json_incref(json_object_get(body, "Spec")));
    if (loses_replies)
      serve_cut(request);
    else
      reply_in_era(request, 200, object_json(object));
  }
  json_decref(body);
}

static void on_remove(struct evhttp_request *request, const char *kind,
                      const char *name) {
  const Object *object = find_object(kind, name);
  int64_t expected = serve_query_number(request, "Rev", 0);
  if (object == NULL)
    reply_in_era(request, 404, json_object());
  else if (expected != 0 && expected != object->revision)
    reply_in_era(request, 409, object_json(object));
  else {
    store_remove_object(kind, name);
    if (loses_replies)
      serve_cut(request);
    else
      reply_in_era(request, 200, json_object());
  }
}

/* }================================================================== */

/* Returns a parameter of the query as text, or NULL; the caller frees it. */
static char *query_text(struct evhttp_request *request, const char *key) {
  struct evkeyvalq query;
  const char *uri = evhttp_request_get_uri(request);
  char *value = NULL;
  evhttp_parse_query(uri, &query);
  value = g_strdup(evhttp_find_header(&query, key));
  evhttp_clear_headers(&query);
  return value;
}

static void on_call(struct evhttp_request *request, void *data) {
  const char *uri = evhttp_request_get_uri(request);
  gchar **parts;
  char *after;
  (void)data;
  calls++;
  if (is_silent)
    return; /* evhttp then reads nothing more from this connection */
  if (is_down || !g_str_has_prefix(uri, "/objects/")) {
    reply_in_era(request, is_down ? 503 : 404, json_object());
    return;
  }
  parts = g_strsplit_set(uri + strlen("/objects/"), "/?", 3);
  after = query_text(request, "after");
  if (strstr(uri, "watch=") != NULL)
    on_watch(request, parts[0]);
  else if (evhttp_request_get_command(request) == EVHTTP_REQ_POST)
    on_create(request, parts[0]);
  else if (evhttp_request_get_command(request) == EVHTTP_REQ_PUT)
    on_replace(request, parts[0], parts[1]);
  else if (evhttp_request_get_command(request) == EVHTTP_REQ_DELETE)
    on_remove(request, parts[0], parts[1]);
  else if (parts[1] != NULL && strchr(uri, '?') == NULL)
    on_read(request, parts[0], parts[1]);
  else
    on_list(request, parts[0], after);
  g_free(after);
  g_strfreev(parts);
}

int store_set_fault(const char *mode) {
  static const char *const modes[] = {"ok", "down", "silent", "lose",
                                      "compact"};
  gsize i;
  for (i = 0; i < G_N_ELEMENTS(modes); i++) {
    if (strcmp(mode, modes[i]) == 0)
      break;
  }
  if (i == G_N_ELEMENTS(modes))
    return 0;
  is_down = strcmp(mode, "down") == 0;
  is_silent = strcmp(mode, "silent") == 0;
  loses_replies = strcmp(mode, "lose") == 0;
  if (strcmp(mode, "compact") == 0) {
    oldest_revision = revision + 1;
    while (watches->len > 0)
      watch_answer(watches->pdata[0], 1);
    revision++;
  }
  return 1;
}

/*
** {==================================================================
** Restoring the store from an older copy
** ===================================================================
*/

static void change_free(gpointer p) {
  Change *change = p;
  g_free(change->kind);
  g_free(change->name);
  json_decref(change->spec);
  g_free(change);
}

static void object_free(gpointer p) {
  Object *object = p;
  g_free(object->kind);
  g_free(object->name);
  json_decref(object->spec);
  g_free(object);
}

/*
** Returns whether the operator or a worker wrote the change. The router writes
** objects of its own kinds again by itself.
*/
static int has_other_writer(const Change *change) {
  return strcmp(change->kind, "config") == 0 ||
         strcmp(change->kind, "servers") == 0;
}

/*
** Queues a lost change to be written again; 'lost' is taken over. Changes are
** given from the newest to the oldest, and each replaces the one of the same
** object that is queued, so the oldest lost change of an object stays.
*/
static void queue_rewrite(Change *lost) {
  guint i;
  for (i = 0; i < to_rewrite->len; i++) {
    const Change *other = to_rewrite->pdata[i];
    if (strcmp(other->kind, lost->kind) == 0 &&
        strcmp(other->name, lost->name) == 0)
      break;
  }
  if (i < to_rewrite->len)
    g_ptr_array_remove_index(to_rewrite, i);
  g_ptr_array_add(to_rewrite, lost);
}

/* Writes the queued changes, in place of their writers. */
static void on_rewrite_timer(evutil_socket_t fd, short what, void *data) {
  guint i;
  (void)fd;
  (void)what;
  (void)data;
  for (i = 0; i < to_rewrite->len; i++) {
    const Change *change = to_rewrite->pdata[i];
    const Object *stands = find_object(change->kind, change->name);
    if (stands != NULL && stands->revision > copy_revision)
      continue; /* its writer has written it since the restore */
    if (change->spec != NULL)
      store_put_object(change->kind, change->name, json_incref(change->spec));
    else
      store_remove_object(change->kind, change->name);
  }
  g_ptr_array_set_size(to_rewrite, 0);
}

/* Repeats a write on the restored copy, without watches or records. */
static void apply_change(const Change *change) {
  if (change->spec != NULL)
    set_object(change->kind, change->name, json_incref(change->spec),
               change->revision);
  else
    remove_object(change->kind, change->name, change->revision);
  revision = change->revision;
}

/* Drops the changes that are later than 'then' (monotonic clock, us). */
static void lose_after(gint64 then) {
  while (changes->len > 0) {
    Change *last = changes->pdata[changes->len - 1];
    if (last->at <= then)
      return;
    g_ptr_array_steal_index(changes, changes->len - 1);
    if (has_other_writer(last))
      queue_rewrite(last);
    else
      change_free(last);
  }
}

void store_restore(int64_t age_ms) {
  struct timeval soon = {0, REWRITE_DELAY_MS * 1000};
  guint i;
  lose_after(g_get_monotonic_time() - age_ms * 1000);
  g_ptr_array_set_size(objects, 0);
  revision = FIRST_REVISION;
  for (i = 0; i < changes->len; i++)
    apply_change(changes->pdata[i]);
  copy_revision = revision;
  oldest_revision = MIN(oldest_revision, revision);
  era++;
  while (watches->len > 0)
    watch_cut(watches->pdata[0]);
  event_add(rewrite_timer, &soon);
}

/* }================================================================== */

unsigned store_count_calls(void) {
  return calls;
}

void store_start(struct event_base *event_base, mp_Addr at) {
  base = event_base;
  objects = g_ptr_array_new_with_free_func(object_free);
  changes = g_ptr_array_new_with_free_func(change_free);
  to_rewrite = g_ptr_array_new_with_free_func(change_free);
  rewrite_timer = evtimer_new(base, on_rewrite_timer, NULL);
  watches = g_ptr_array_new();
  serve_new(base, at, on_call, NULL);
}

void store_start_view(mp_Addr at, json_t *addresses) {
  store_view_add(at, addresses);
  serve_new(base, at, on_call, NULL);
}
