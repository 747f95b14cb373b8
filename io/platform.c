/*
** platform.c
** Calls of the platform's object API, by evhttp
**
**   GET  /objects/KEY            200 with X-Resource-Version, or 404
**   GET  /objects/KEY?watch=V    the same as soon as the version differs from
**                                V, or 304
**   PUT  /objects/KEY?version=V  200 when V was the current version (0 when
**                                there was no object), otherwise 409
** 429 and 503 mean that nothing was changed. A different object API needs a
** replacement for this file alone.
*/

#include <string.h>

#include "io/adapters.h"
#include "io/http.h"

struct Platform {
  Node *node;
  mp_Addr at;
  GHashTable *open; /* calls in progress: set of StoreRequest */
};

/* a call in progress */
typedef struct StoreRequest {
  Platform *P;
  uint64_t op;
  int write;        /* a PUT; otherwise a GET */
  uint64_t version; /* X-Resource-Version of the response; 0: none */
  GString *value;   /* body of the response */
  HttpCall *call;   /* NULL once it has ended, or if it could not be made */
} StoreRequest;

static void free_store_request(void *p) {
  StoreRequest *s = p;
  g_string_free(s->value, TRUE);
  g_free(s);
}

/* Feeds the outcome of a call to the core and frees the call. */
static void feed_outcome(StoreRequest *s, mp_StoreStatus status) {
  mp_Event e = {0};
  Platform *P = s->P;
  e.kind = MP_EV_STORE;
  e.u.store.op = s->op;
  e.u.store.status = status;
  e.u.store.version = s->version;
  e.u.store.value = s->value->str;
  e.u.store.len = s->value->len;
  node_feed(P->node, &e);
  g_hash_table_remove(P->open, s);
}

static void on_head(void *ud, int status, struct evkeyvalq *headers) {
  StoreRequest *s = ud;
  const char *v = evhttp_find_header(headers, "X-Resource-Version");
  (void)status;
  if (v != NULL)
    s->version = g_ascii_strtoull(v, NULL, 10);
}

static void on_data(void *ud, const char *b, size_t n) {
  StoreRequest *s = ud;
  g_string_append_len(s->value, b, (gssize)n);
}

/*
** The outcome of a call. A PUT whose response is missing or unexpected is
** MP_STORE_UNKNOWN, because it may have taken effect. A GET in that case is
** MP_STORE_DOWN, because it changes nothing.
*/
static mp_StoreStatus call_outcome(const StoreRequest *s, HttpEnd end,
                                   int code) {
  if (end == HTTP_END_CONNECT || code == 429 || code == 503)
    return MP_STORE_DOWN;
  if (end == HTTP_END_OK && code == 200 && s->version > 0)
    return MP_STORE_OK;
  if (end == HTTP_END_OK && (code == 404 || code == 304))
    return MP_STORE_ABSENT;
  if (end == HTTP_END_OK && code == 409)
    return MP_STORE_CONFLICT;
  return s->write ? MP_STORE_UNKNOWN : MP_STORE_DOWN;
}

static void on_end(void *ud, HttpEnd end, int code) {
  StoreRequest *s = ud;
  s->call = NULL;
  feed_outcome(s, call_outcome(s, end, code));
}

/* Reports a call that could not be made, from the event loop. */
static void on_not_made(evutil_socket_t fd, short what, void *arg) {
  (void)fd;
  (void)what;
  feed_outcome(arg, MP_STORE_DOWN);
}

void platform_call(Platform *P, const mp_StoreCall *c) {
  static const HttpHooks hooks = {on_head, on_data, on_end};
  StoreRequest *s = g_new0(StoreRequest, 1);
  struct timeval now = {0, 0};
  char uri[256];
  int n = g_snprintf(uri, sizeof uri, "/objects/%s", c->key);
  s->P = P;
  s->op = c->op;
  s->write = c->what == MP_ST_PUT;
  s->value = g_string_new(NULL);
  g_hash_table_add(P->open, s);
  if (c->what != MP_ST_GET)
    g_snprintf(uri + n, sizeof uri - (size_t)n, "?%s=%" G_GUINT64_FORMAT,
               s->write ? "version" : "watch", (guint64)c->version);
  s->call = http_call(P->node->base, P->at,
                      s->write ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET, uri, NULL,
                      c->value, c->len, &hooks, s);
  if (s->call == NULL)
    event_base_once(P->node->base, -1, EV_TIMEOUT, on_not_made, s, &now);
}

Platform *platform_new(Node *node, mp_Addr at) {
  Platform *P = g_new0(Platform, 1);
  P->node = node;
  P->at = at;
  P->open = g_hash_table_new_full(NULL, NULL, free_store_request, NULL);
  return P;
}

void platform_free(Platform *P) {
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, P->open);
  while (g_hash_table_iter_next(&it, &k, NULL)) {
    StoreRequest *s = k;
    if (s->call != NULL)
      http_abort(s->call);
  }
  g_hash_table_destroy(P->open);
  g_free(P);
}
