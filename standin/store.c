/*
** store.c
** Stand-in for the platform's metadata store
**
**   GET  /objects/KIND[?after=NAME]         items, more, at
**   GET  /objects/KIND/NAME                 one object; 404
**   GET  /objects/KIND?watch=REV&WaitMs=N   events, at; 410
**   POST /objects/KIND                      creates; 409
**   PUT  /objects/KIND/NAME                 replaces; 409 with the object
*/

#include <string.h>

#include "standin/store.h"

/* the revision of a store that nothing was written to */
#define FIRST_REVISION 100
/* a restored store: what the operator and the workers wrote comes again after
** this */
#define AGAIN_MS 300L
/* objects in one page of a list: few, so that pages are met */
#define PAGE 5

typedef struct Object {
  char *kind;
  char *name;
  json_t *spec;
  int64_t revision;
  int gone;
} Object;

/* a write, as a restored store needs it */
typedef struct Change {
  gint64 at; /* us */
  char *kind;
  char *name;
  json_t *spec; /* NULL: it was removed */
  int64_t revision;
} Change;

typedef struct Watch {
  struct evhttp_request *request;
  char *kind;
  int64_t since;
  struct event *timer;
} Watch;

static struct event_base *base;
static GPtrArray *objects; /* Object; those gone stay as history */
static GPtrArray *watches; /* Watch */
static int64_t revision = FIRST_REVISION;
static int64_t oldest = FIRST_REVISION; /* no history before this */
static unsigned calls;
static int down, silent, lose;
static GPtrArray *changes; /* Change, the oldest one first */
static int64_t era = 1;    /* rises when the store is restored */
static GPtrArray *again;   /* Change: lost, and to be written again */
static struct event *again_timer;
static int64_t copied; /* the revision of the copy */

/* every answer names the era in which it was given */
static void answer(struct evhttp_request *request, int status, json_t *body) {
  char text[24];
  g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, era);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                    text);
  serve_json(request, status, body);
}

static json_t *write_object(const Object *object) {
  return json_pack("{s:{s:s, s:I}, s:O, s:n}", "Metadata", "Name",
                   object->name, "Rev", (json_int_t)object->revision, "Spec",
                   object->spec, "Status");
}

static Object *find(const char *kind, const char *name) {
  guint i;
  for (i = 0; i < objects->len; i++) {
    Object *object = objects->pdata[i];
    if (!object->gone && strcmp(object->kind, kind) == 0 &&
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

static json_t *events_since(const char *kind, int64_t since) {
  json_t *events = json_array();
  guint i;
  for (i = 0; i < objects->len; i++) {
    const Object *object = objects->pdata[i];
    if (object->revision > since && strcmp(object->kind, kind) == 0)
      json_array_append_new(events,
                            json_pack("{s:b, s:o}", "gone", object->gone,
                                      "object", write_object(object)));
  }
  return events;
}

static void watch_end(Watch *watch, int cut) {
  struct evhttp_request *request = watch->request;
  json_t *events = events_since(watch->kind, watch->since);
  g_ptr_array_remove(watches, watch);
  evhttp_request_set_on_complete_cb(request, NULL, NULL);
  if (cut || watch->since < oldest) {
    json_decref(events);
    answer(request, 410, json_object());
  } else
    answer(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)revision));
  event_free(watch->timer);
  g_free(watch->kind);
  g_free(watch);
}

/* the store ended under it */
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

static void on_wait_over(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  watch_end(data, 0);
}

/* the caller closed its connection while its watch waited */
static void on_closed(struct evhttp_connection *connection, void *data) {
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

static void changed(const char *kind) {
  guint i = 0;
  while (i < watches->len) {
    Watch *watch = watches->pdata[i];
    if (!silent && strcmp(watch->kind, kind) == 0)
      watch_end(watch, 0);
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
  if (since < oldest || since > revision) {
    json_decref(events);
    answer(request, 410, json_object());
    return;
  }
  if (json_array_size(events) > 0) {
    answer(
        request, 200,
        json_pack("{s:o, s:I}", "events", events, "at", (json_int_t)revision));
    return;
  }
  json_decref(events);
  watch = g_new0(Watch, 1);
  watch->request = request;
  watch->kind = g_strdup(kind);
  watch->since = since;
  watch->timer = evtimer_new(base, on_wait_over, watch);
  event_add(watch->timer, &time);
  g_ptr_array_add(watches, watch);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                on_closed, NULL);
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

static void note(const char *kind, const char *name, json_t *spec) {
  Change *change = g_new0(Change, 1);
  change->at = g_get_monotonic_time();
  change->kind = g_strdup(kind);
  change->name = g_strdup(name);
  change->spec = json_incref(spec);
  change->revision = revision;
  g_ptr_array_add(changes, change);
}

static void set_object(const char *kind, const char *name, json_t *spec,
                       int64_t at) {
  Object *object = find(kind, name);
  if (object == NULL)
    object = object_new(kind, name);
  json_decref(object->spec);
  object->spec = spec;
  object->revision = at;
}

static void remove_object(const char *kind, const char *name, int64_t at) {
  Object *object = find(kind, name);
  if (object == NULL)
    return;
  object->gone = 1;
  object->revision = at;
}

void store_put_object(const char *kind, const char *name, json_t *spec) {
  set_object(kind, name, spec, ++revision);
  note(kind, name, spec);
  changed(kind);
}

void store_remove_object(const char *kind, const char *name) {
  if (find(kind, name) == NULL)
    return;
  remove_object(kind, name, ++revision);
  note(kind, name, NULL);
  changed(kind);
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
    if (!object->gone && strcmp(object->kind, kind) == 0 &&
        (after == NULL || strcmp(object->name, after) > 0))
      g_ptr_array_add(found, object);
  }
  g_ptr_array_sort(found, by_name);
  for (i = 0; i < found->len && i < PAGE; i++)
    json_array_append_new(items, write_object(found->pdata[i]));
  answer(request, 200,
         json_pack("{s:o, s:b, s:I}", "items", items, "more",
                   found->len > PAGE, "at", (json_int_t)revision));
  g_ptr_array_free(found, TRUE);
}

static void on_read(struct evhttp_request *request, const char *kind,
                    const char *name) {
  const Object *object = find(kind, name);
  answer(request, object != NULL ? 200 : 404,
         object != NULL ? write_object(object) : json_object());
}

static void on_create(struct evhttp_request *request, const char *kind) {
  json_t *body = serve_body(request);
  const char *name = json_string_value(
      json_object_get(json_object_get(body, "Metadata"), "Name"));
  if (name == NULL)
    answer(request, 400, json_object());
  else if (find(kind, name) != NULL)
    answer(request, 409, write_object(find(kind, name)));
  else {
    store_put_object(kind, name, json_incref(json_object_get(body, "Spec")));
    if (lose)
      serve_cut(request);
    else
      answer(request, 200, write_object(find(kind, name)));
  }
  json_decref(body);
}

static void on_replace(struct evhttp_request *request, const char *kind,
                       const char *name) {
  json_t *body = serve_body(request);
  Object *object = find(kind, name);
  int64_t expected = json_integer_value(
      json_object_get(json_object_get(body, "Metadata"), "Rev"));
  if (object == NULL)
    answer(request, 404, json_object());
  else if (expected != 0 && expected != object->revision)
    answer(request, 409, write_object(object));
  else {
    store_put_object(kind, name, json_incref(json_object_get(body, "Spec")));
    if (lose)
      serve_cut(request);
    else
      answer(request, 200, write_object(object));
  }
  json_decref(body);
}

static void on_remove(struct evhttp_request *request, const char *kind,
                      const char *name) {
  const Object *object = find(kind, name);
  int64_t expected = serve_query_number(request, "Rev", 0);
  if (object == NULL)
    answer(request, 404, json_object());
  else if (expected != 0 && expected != object->revision)
    answer(request, 409, write_object(object));
  else {
    store_remove_object(kind, name);
    if (lose)
      serve_cut(request);
    else
      answer(request, 200, json_object());
  }
}

/* }================================================================== */

/* a parameter of the query as text; the caller frees it */
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
  if (silent)
    return; /* and nothing further on this connection */
  if (down || !g_str_has_prefix(uri, "/objects/")) {
    answer(request, down ? 503 : 404, json_object());
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
  down = strcmp(mode, "down") == 0;
  silent = strcmp(mode, "silent") == 0;
  lose = strcmp(mode, "lose") == 0;
  if (strcmp(mode, "compact") == 0) {
    oldest = revision + 1;
    while (watches->len > 0)
      watch_end(watches->pdata[0], 1);
    revision++;
  }
  return 1;
}

/*
** {==================================================================
** A store that comes back from an older copy
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

/* the system's own kinds are the system's to write again */
static int is_others(const Change *change) {
  return strcmp(change->kind, "config") == 0 ||
         strcmp(change->kind, "servers") == 0;
}

/* only how it stood at last */
static void write_again_later(Change *lost) {
  guint i;
  for (i = 0; i < again->len; i++) {
    const Change *other = again->pdata[i];
    if (strcmp(other->kind, lost->kind) == 0 &&
        strcmp(other->name, lost->name) == 0)
      break;
  }
  if (i < again->len)
    g_ptr_array_remove_index(again, i);
  g_ptr_array_add(again, lost);
}

static void on_again(evutil_socket_t fd, short what, void *data) {
  guint i;
  (void)fd;
  (void)what;
  (void)data;
  for (i = 0; i < again->len; i++) {
    const Change *change = again->pdata[i];
    const Object *stands = find(change->kind, change->name);
    if (stands != NULL && stands->revision > copied)
      continue; /* its writer has said something else since */
    if (change->spec != NULL)
      store_put_object(change->kind, change->name, json_incref(change->spec));
    else
      store_remove_object(change->kind, change->name);
  }
  g_ptr_array_set_size(again, 0);
}

static void apply(const Change *change) {
  if (change->spec != NULL)
    set_object(change->kind, change->name, json_incref(change->spec),
               change->revision);
  else
    remove_object(change->kind, change->name, change->revision);
  revision = change->revision;
}

/* what changed after 'then' is lost */
static void lose_after(gint64 then) {
  while (changes->len > 0) {
    Change *last = changes->pdata[changes->len - 1];
    if (last->at <= then)
      return;
    g_ptr_array_steal_index(changes, changes->len - 1);
    if (is_others(last))
      write_again_later(last);
    else
      change_free(last);
  }
}

void store_restore(int64_t age_ms) {
  struct timeval soon = {0, AGAIN_MS * 1000};
  guint i;
  lose_after(g_get_monotonic_time() - age_ms * 1000);
  g_ptr_array_set_size(objects, 0);
  revision = FIRST_REVISION;
  for (i = 0; i < changes->len; i++)
    apply(changes->pdata[i]);
  copied = revision;
  oldest = MIN(oldest, revision);
  era++;
  while (watches->len > 0)
    watch_cut(watches->pdata[0]);
  event_add(again_timer, &soon);
}

/* }================================================================== */

unsigned store_calls(void) {
  return calls;
}

void store_start(struct event_base *event_base, mp_Addr at) {
  base = event_base;
  objects = g_ptr_array_new_with_free_func(object_free);
  changes = g_ptr_array_new_with_free_func(change_free);
  again = g_ptr_array_new_with_free_func(change_free);
  again_timer = evtimer_new(base, on_again, NULL);
  watches = g_ptr_array_new();
  serve_new(base, at, on_call, NULL);
}
