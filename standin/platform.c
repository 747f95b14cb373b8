/*
** platform.c
** Stand-in for the platform: object API and instance list
**
**   platform ADDRESS [LIST.json]
**
** Objects with versions, conditional PUT, GET with watch, GET /keys with a
** prefix, GET /stats (calls counted). "instances" is the list. Faults by
** POST /fault {"mode": M}: "ok", "down" (503 to all), "hang" (no answer),
** "slow" (answers late by "ms"), "lose" (the next "count" writes take
** effect, and their connection is closed without a reply).
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/serve.h"

typedef struct Object {
  char *key;
  uint64_t version;
  char *value;
  size_t len;
} Object;

typedef struct Waiting {
  struct evhttp_request *req;
  char *key;
  struct event *timer;
} Waiting;

typedef enum Mode { MODE_OK, MODE_DOWN, MODE_HANG, MODE_SLOW } Mode;

static struct event_base *base;
static GHashTable *objects;
static GPtrArray *watches;
static uint64_t version;
static Mode mode;
static int slowms;
static int lose;
static uint64_t reads, writes, conflicts, refused;

#define WATCH_S 20

/*
** {==================================================================
** Objects and watches
** ===================================================================
*/

static void freeobject(void *p) {
  Object *o = p;
  g_free(o->key);
  g_free(o->value);
  g_free(o);
}

static void sendobject(struct evhttp_request *r, const Object *o) {
  struct evbuffer *b = evbuffer_new();
  char v[32];
  g_snprintf(v, sizeof v, "%" G_GUINT64_FORMAT, (guint64)o->version);
  evhttp_add_header(evhttp_request_get_output_headers(r), "X-Resource-Version",
                    v);
  evbuffer_add(b, o->value, o->len);
  evhttp_send_reply(r, 200, NULL, b);
  evbuffer_free(b);
}

static void endwatch(Waiting *w) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(w->req), NULL,
                                NULL);
  event_free(w->timer);
  g_ptr_array_remove_fast(watches, w);
  g_free(w->key);
  g_free(w);
}

static void watchlate(evutil_socket_t fd, short what, void *arg) {
  Waiting *w = arg;
  struct evhttp_request *r = w->req;
  (void)fd;
  (void)what;
  endwatch(w);
  evhttp_send_reply(r, 304, NULL, NULL);
}

static void watchgone(struct evhttp_connection *c, void *arg) {
  (void)c;
  endwatch(arg);
}

static void addwatch(struct evhttp_request *r, const char *key) {
  Waiting *w = g_new0(Waiting, 1);
  struct timeval t = {WATCH_S, 0};
  w->req = r;
  w->key = g_strdup(key);
  w->timer = evtimer_new(base, watchlate, w);
  event_add(w->timer, &t);
  g_ptr_array_add(watches, w);
  evhttp_connection_set_closecb(evhttp_request_get_connection(r), watchgone,
                                w);
}

static void wake(const Object *o) {
  guint i = 0;
  while (i < watches->len) {
    Waiting *w = watches->pdata[i];
    struct evhttp_request *r = w->req;
    if (strcmp(w->key, o->key) != 0) {
      i++;
      continue;
    }
    endwatch(w);
    sendobject(r, o);
  }
}

static Object *put(const char *key, const char *s, size_t n) {
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

static void get(struct evhttp_request *r, const char *key) {
  const Object *o = g_hash_table_lookup(objects, key);
  int64_t watch = serve_query_number(r, "watch", -1);
  reads++;
  if (watch >= 0 && (o == NULL || o->version == (uint64_t)watch))
    addwatch(r, key);
  else if (o == NULL)
    evhttp_send_reply(r, 404, NULL, NULL);
  else
    sendobject(r, o);
}

static void putreq(struct evhttp_request *r, const char *key) {
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
  o = put(key, (const char *)evbuffer_pullup(b, -1), n);
  if (lose > 0) {
    lose--;
    serve_cut(r); /* the reply is lost */
  } else
    sendobject(r, o);
  wake(o);
}

static void keys(struct evhttp_request *r, const char *prefix) {
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

static void stats(struct evhttp_request *r) {
  serve_json(r, 200,
             json_pack("{s:I, s:I, s:I, s:I, s:i}", "reads", (json_int_t)reads,
                       "writes", (json_int_t)writes, "conflicts",
                       (json_int_t)conflicts, "refused", (json_int_t)refused,
                       "watches", (int)watches->len));
}

static void fault(struct evhttp_request *r) {
  json_t *j = serve_body(r);
  const char *m = json_string_value(json_object_get(j, "mode"));
  m = m != NULL ? m : "ok";
  mode = MODE_OK;
  lose = 0;
  if (strcmp(m, "down") == 0)
    mode = MODE_DOWN;
  else if (strcmp(m, "hang") == 0)
    mode = MODE_HANG;
  else if (strcmp(m, "slow") == 0)
    mode = MODE_SLOW;
  else if (strcmp(m, "lose") == 0)
    lose = (int)json_integer_value(json_object_get(j, "count"));
  slowms = (int)json_integer_value(json_object_get(j, "ms"));
  serve_json(r, 200, json_pack("{s:s}", "mode", m));
  json_decref(j); /* 'm' was its text */
}

static void api(struct evhttp_request *r) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  if (g_str_has_prefix(path, "/keys/"))
    keys(r, path + 6);
  else if (!g_str_has_prefix(path, "/objects/"))
    evhttp_send_reply(r, 404, NULL, NULL);
  else if (evhttp_request_get_command(r) == EVHTTP_REQ_PUT)
    putreq(r, path + 9);
  else
    get(r, path + 9);
}

static void slow(evutil_socket_t fd, short what, void *arg) {
  (void)fd;
  (void)what;
  api(arg);
}

static void request(struct evhttp_request *r, void *arg) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  struct timeval t;
  (void)arg;
  if (strcmp(path, "/fault") == 0) {
    fault(r);
    return;
  }
  if (strcmp(path, "/stats") == 0) {
    stats(r);
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
    t.tv_sec = slowms / 1000;
    t.tv_usec = (suseconds_t)(slowms % 1000) * 1000;
    event_base_once(base, -1, EV_TIMEOUT, slow, r, &t);
    break;
  case MODE_OK:
    api(r);
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
  objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, freeobject);
  watches = g_ptr_array_new();
  if (argc > 2) {
    size_t n;
    char *s = serve_read_file(argv[2], &n);
    put("instances", s, n);
    g_free(s);
  }
  serve_new(base, at, request, NULL);
  event_base_dispatch(base);
  return 0;
}
