/*
** platform.c
** Stand-in for the platform: objects with versions, and the instance list
**
**   platform ADDRESS [LIST.json]
**
** LIST.json becomes the object "instances". The calls are:
**   GET /objects/KEY[?watch=VERSION]   with 'watch', the answer waits until
**       the object has another version; 304 after 20 s. 404 without an object
**   PUT /objects/KEY[?version=VERSION]   409 when the object has another
**       version (0: it must not exist); 413 when it is larger than 1 MiB
**   GET /keys/PREFIX   keys that begin so
**   GET /stats         counts of calls
**   POST /fault {"mode": M}   "ok", "down" (503 to all), "hang" (no answer),
**       "slow" (answers "ms" late), "lose" (the next "count" writes take
**       effect, and their connection is cut without a reply)
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/serve.h"

/* An object; its version is that of the last write to any object. */
typedef struct Object {
  char *key;
  uint64_t version;
  char *value;
  size_t len;
} Object;

/* A watch that waits for a change. */
typedef struct Watch {
  struct evhttp_request *req;
  char *key;
  struct event *timer;
} Watch;

typedef enum Mode { MODE_OK, MODE_DOWN, MODE_HANG, MODE_SLOW } Mode;

static struct event_base *base;
static GHashTable *objects; /* key -> Object, which owns the key */
static GPtrArray *watches;  /* Watch */
static uint64_t version;    /* last version given */
static Mode mode;
static int slow_ms; /* delay of answers in mode "slow" */
static int replies_to_lose;
static uint64_t reads, writes, conflicts, refused; /* calls, for /stats */

/* A watch without a change is answered with 304 after this. */
#define WATCH_TIMEOUT_S 20

/*
** {==================================================================
** Objects and watches
** ===================================================================
*/

static void free_object(void *p) {
  Object *o = p;
  g_free(o->key);
  g_free(o->value);
  g_free(o);
}

static void send_object(struct evhttp_request *r, const Object *o) {
  struct evbuffer *b = evbuffer_new();
  char v[32];
  g_snprintf(v, sizeof v, "%" G_GUINT64_FORMAT, (guint64)o->version);
  evhttp_add_header(evhttp_request_get_output_headers(r), "X-Resource-Version",
                    v);
  evbuffer_add(b, o->value, o->len);
  evhttp_send_reply(r, 200, NULL, b);
  evbuffer_free(b);
}

/* Frees the watch; its request stays to be answered. */
static void free_watch(Watch *w) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(w->req), NULL,
                                NULL);
  event_free(w->timer);
  g_ptr_array_remove_fast(watches, w);
  g_free(w->key);
  g_free(w);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg) {
  Watch *w = arg;
  struct evhttp_request *r = w->req;
  (void)fd;
  (void)what;
  free_watch(w);
  evhttp_send_reply(r, 304, NULL, NULL);
}

static void on_watch_closed(struct evhttp_connection *c, void *arg) {
  (void)c;
  free_watch(arg);
}

static void add_watch(struct evhttp_request *r, const char *key) {
  Watch *w = g_new0(Watch, 1);
  struct timeval t = {WATCH_TIMEOUT_S, 0};
  w->req = r;
  w->key = g_strdup(key);
  w->timer = evtimer_new(base, on_watch_timeout, w);
  event_add(w->timer, &t);
  g_ptr_array_add(watches, w);
  evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                on_watch_closed, w);
}

/* Answers the watches of the object. */
static void answer_watches(const Object *o) {
  guint i = 0;
  while (i < watches->len) {
    Watch *w = watches->pdata[i];
    struct evhttp_request *r = w->req;
    if (strcmp(w->key, o->key) != 0) {
      i++;
      continue;
    }
    free_watch(w);
    send_object(r, o);
  }
}

/* Creates or replaces an object, whose value is copied. */
static Object *put_object(const char *key, const char *s, size_t n) {
  Object *o = g_hash_table_lookup(objects, key);
  if (o == NULL) {
    o = g_new0(Object, 1);
    o->key = g_strdup(key);
    g_hash_table_insert(objects, o->key, o);
  }
  g_free(o->value);
  o->value = g_memdup2(s, n);
  o->len = n;
  o->version = ++version;
  return o;
}

/* }================================================================== */

/*
** {==================================================================
** The API
** ===================================================================
*/

static void handle_get(struct evhttp_request *r, const char *key) {
  const Object *o = g_hash_table_lookup(objects, key);
  int64_t watch = serve_query_number(r, "watch", -1);
  reads++;
  if (watch >= 0 && (o == NULL || o->version == (uint64_t)watch))
    add_watch(r, key);
  else if (o == NULL)
    evhttp_send_reply(r, 404, NULL, NULL);
  else
    send_object(r, o);
}

static void handle_put(struct evhttp_request *r, const char *key) {
  const Object *o = g_hash_table_lookup(objects, key);
  int64_t expect = serve_query_number(r, "version", -1);
  uint64_t have = o != NULL ? o->version : 0;
  struct evbuffer *b = evhttp_request_get_input_buffer(r);
  size_t n = evbuffer_get_length(b);
  writes++;
  if (n > 1 << 20) {
    evhttp_send_reply(r, 413, NULL, NULL);
    return;
  }
  if (expect >= 0 && have != (uint64_t)expect) {
    conflicts++;
    evhttp_send_reply(r, 409, NULL, NULL);
    return;
  }
  o = put_object(key, (const char *)evbuffer_pullup(b, -1), n);
  if (replies_to_lose > 0) {
    replies_to_lose--;
    serve_cut(r); /* the fault "lose" */
  } else
    send_object(r, o);
  answer_watches(o);
}

static void handle_keys(struct evhttp_request *r, const char *prefix) {
  GList *all = g_hash_table_get_keys(objects);
  GList *l;
  json_t *a = json_array();
  reads++;
  all = g_list_sort(all, (GCompareFunc)strcmp);
  for (l = all; l != NULL; l = l->next) {
    if (g_str_has_prefix(l->data, prefix))
      json_array_append_new(a, json_string(l->data));
  }
  g_list_free(all);
  serve_json(r, 200, json_pack("{s:o}", "keys", a));
}

static void handle_stats(struct evhttp_request *r) {
  serve_json(r, 200,
             json_pack("{s:I, s:I, s:I, s:I, s:i}", "reads", (json_int_t)reads,
                       "writes", (json_int_t)writes, "conflicts",
                       (json_int_t)conflicts, "refused", (json_int_t)refused,
                       "watches", (int)watches->len));
}

static void handle_fault(struct evhttp_request *r) {
  json_t *j = serve_body(r);
  const char *m = json_string_value(json_object_get(j, "mode"));
  m = m != NULL ? m : "ok";
  mode = MODE_OK;
  replies_to_lose = 0;
  if (strcmp(m, "down") == 0)
    mode = MODE_DOWN;
  else if (strcmp(m, "hang") == 0)
    mode = MODE_HANG;
  else if (strcmp(m, "slow") == 0)
    mode = MODE_SLOW;
  else if (strcmp(m, "lose") == 0)
    replies_to_lose = (int)json_integer_value(json_object_get(j, "count"));
  slow_ms = (int)json_integer_value(json_object_get(j, "ms"));
  serve_json(r, 200, json_pack("{s:s}", "mode", m));
  json_decref(j); /* 'm' points into it */
}

static void handle_api(struct evhttp_request *r) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  if (g_str_has_prefix(path, "/keys/"))
    handle_keys(r, path + 6);
  else if (!g_str_has_prefix(path, "/objects/"))
    evhttp_send_reply(r, 404, NULL, NULL);
  else if (evhttp_request_get_command(r) == EVHTTP_REQ_PUT)
    handle_put(r, path + 9);
  else
    handle_get(r, path + 9);
}

static void on_slow_timer(evutil_socket_t fd, short what, void *arg) {
  (void)fd;
  (void)what;
  handle_api(arg);
}

static void on_request(struct evhttp_request *r, void *arg) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  struct timeval t;
  (void)arg;
  if (strcmp(path, "/fault") == 0) {
    handle_fault(r);
    return;
  }
  if (strcmp(path, "/stats") == 0) {
    handle_stats(r);
    return;
  }
  switch (mode) {
  case MODE_DOWN:
    refused++;
    evhttp_send_reply(r, 503, NULL, NULL);
    break;
  case MODE_HANG:
    break; /* never answered */
  case MODE_SLOW:
    t.tv_sec = slow_ms / 1000;
    t.tv_usec = (suseconds_t)(slow_ms % 1000) * 1000;
    event_base_once(base, -1, EV_TIMEOUT, on_slow_timer, r, &t);
    break;
  case MODE_OK:
    handle_api(r);
    break;
  }
}

/* }================================================================== */

int main(int argc, char **argv) {
  mp_Addr at = argc > 1 ? mp_addr_parse(argv[1]) : 0;
  if (at == 0) {
    fprintf(stderr, "usage: platform ADDRESS:PORT [LIST.json]\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  base = event_base_new();
  objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_object);
  watches = g_ptr_array_new();
  if (argc > 2) {
    size_t n;
    char *s = serve_read_file(argv[2], &n);
    put_object("instances", s, n);
    g_free(s);
  }
  serve_new(base, at, on_request, NULL);
  event_base_dispatch(base);
  return 0;
}
