/*
** platform.c
** The platform's object API, by evhttp
**
**   GET  /objects/KEY            200 and X-Resource-Version, or 404
**   GET  /objects/KEY?watch=V    the same once the version is not V, or 304
**   PUT  /objects/KEY?version=V  200 when V is the version (0: absent), or
**                                409
** 429 and 503 say that nothing was done. This is the one file to write
** anew for another API.
*/

#include <string.h>

#include "io/adapters.h"
#include "io/http.h"

struct Platform {
  Node *node;
  mp_Addr at;
  GHashTable *open; /* Storing, as a set */
};

typedef struct Storing {
  Platform *P;
  uint64_t op;
  int write;
  uint64_t version;
  GString *value;
  HttpCall *call;
} Storing;

static void freestoring(void *p) {
  Storing *s = p;
  g_string_free(s->value, TRUE);
  g_free(s);
}

static void feed(Storing *s, mp_StoreStatus status) {
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

static void head(void *ud, int status, struct evkeyvalq *headers) {
  Storing *s = ud;
  const char *v = evhttp_find_header(headers, "X-Resource-Version");
  (void)status;
  if (v != NULL)
    s->version = g_ascii_strtoull(v, NULL, 10);
}

static void data(void *ud, const char *b, size_t n) {
  Storing *s = ud;
  g_string_append_len(s->value, b, (gssize)n);
}

static mp_StoreStatus status(const Storing *s, HttpEnd end, int code) {
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

static void done(void *ud, HttpEnd end, int code) {
  Storing *s = ud;
  s->call = NULL;
  feed(s, status(s, end, code));
}

static void failed(evutil_socket_t fd, short what, void *arg) {
  (void)fd;
  (void)what;
  feed(arg, MP_STORE_DOWN);
}

void platform_call(Platform *P, const mp_StoreCall *c) {
  static const HttpHooks hooks = {head, data, done};
  Storing *s = g_new0(Storing, 1);
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
    event_base_once(P->node->base, -1, EV_TIMEOUT, failed, s, &now);
}

Platform *platform_new(Node *node, mp_Addr at) {
  Platform *P = g_new0(Platform, 1);
  P->node = node;
  P->at = at;
  P->open = g_hash_table_new_full(NULL, NULL, freestoring, NULL);
  return P;
}

void platform_free(Platform *P) {
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init(&it, P->open);
  while (g_hash_table_iter_next(&it, &k, NULL)) {
    Storing *s = k;
    if (s->call != NULL)
      http_abort(s->call);
  }
  g_hash_table_destroy(P->open);
  g_free(P);
}
