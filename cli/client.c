/*
** client.c
** The operators' command as a client
*/

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "cli/client.h"
#include "io/http.h"

#define TRIES 5
#define PATIENCE_S 5

static struct event_base *base;
static mp_Addr platform;

typedef struct Call {
  Reply reply;
  HttpEnd end;
  int done;
  HttpCall *open; /* NULL once it has ended */
} Call;

void client_init(mp_Addr at) {
  base = event_base_new();
  platform = at;
}

static void head(void *ud, int status, struct evkeyvalq *headers) {
  Call *c = ud;
  const char *v = evhttp_find_header(headers, "X-Resource-Version");
  (void)status;
  if (v != NULL)
    c->reply.version = g_ascii_strtoull(v, NULL, 10);
}

static void data(void *ud, const char *s, size_t n) {
  Call *c = ud;
  g_string_append_len(c->reply.text, s, (gssize)n);
}

static void end(void *ud, HttpEnd e, int status) {
  Call *c = ud;
  c->end = e;
  c->reply.status = status;
  c->done = 1;
  c->open = NULL;
}

static void late(evutil_socket_t fd, short what, void *arg) {
  Call *c = arg;
  (void)fd;
  (void)what;
  c->end = HTTP_END_BROKEN;
  c->done = 1;
}

/* one call, waited for */
static void call(mp_Addr to, enum evhttp_cmd_type m, const char *uri,
                 const char *body, size_t n, Call *c) {
  static const HttpHooks hooks = {head, data, end};
  struct timeval t = {PATIENCE_S, 0};
  struct event *timer = evtimer_new(base, late, c);
  memset(c, 0, sizeof *c);
  c->reply.text = g_string_new(NULL);
  c->end = HTTP_END_CONNECT;
  event_add(timer, &t);
  c->open = http_call(base, to, m, uri, NULL, body, n, &hooks, c);
  c->done = c->open == NULL;
  while (!c->done)
    event_base_loop(base, EVLOOP_ONCE);
  if (c->open != NULL) /* too late: nothing may come for 'c' any more */
    http_abort(c->open);
  event_free(timer);
  event_base_loop(base, EVLOOP_NONBLOCK); /* what was deferred is freed */
}

static void setdown(GError **err, const char *what) {
  char at[24];
  mp_addr_text(platform, at);
  g_set_error(err, MP_ERROR, MP_ERR_STORE, "platform at %s, %s: %s", at, what,
              mp_error_text(MP_ERR_STORE));
}

GString *client_get(const char *key, uint64_t *version, int *absent,
                    GError **err) {
  gchar *uri = g_strdup_printf("/objects/%s", key);
  Call c;
  int i;
  for (i = 0; i < TRIES; i++) {
    call(platform, EVHTTP_REQ_GET, uri, NULL, 0, &c);
    if (c.end == HTTP_END_OK &&
        (c.reply.status == 200 || c.reply.status == 404))
      break;
    g_string_free(c.reply.text, TRUE);
    c.reply.text = NULL;
  }
  g_free(uri);
  *absent = c.reply.text != NULL && c.reply.status == 404;
  if (c.reply.text == NULL) {
    setdown(err, key);
    return NULL;
  }
  if (*absent) {
    g_string_free(c.reply.text, TRUE);
    return NULL;
  }
  if (version != NULL)
    *version = c.reply.version;
  return c.reply.text;
}

PutResult client_put(const char *key, uint64_t version, const char *s,
                     size_t n) {
  gchar *uri = g_strdup_printf("/objects/%s?version=%" G_GUINT64_FORMAT, key,
                               (guint64)version);
  Call c;
  PutResult r = PUT_UNKNOWN;
  call(platform, EVHTTP_REQ_PUT, uri, s, n, &c);
  if (c.end == HTTP_END_OK && c.reply.status == 200)
    r = PUT_DONE;
  else if (c.end == HTTP_END_OK && c.reply.status == 409)
    r = PUT_CONFLICT;
  else if (c.end == HTTP_END_CONNECT || c.reply.status == 503 ||
           c.reply.status == 429)
    r = PUT_UNAVAILABLE;
  g_string_free(c.reply.text, TRUE);
  g_free(uri);
  return r;
}

GPtrArray *client_keys(const char *prefix, GError **err) {
  gchar *uri = g_strdup_printf("/keys/%s", prefix);
  GPtrArray *a = NULL;
  json_t *j;
  Call c;
  size_t i;
  call(platform, EVHTTP_REQ_GET, uri, NULL, 0, &c);
  g_free(uri);
  j = json_loads(c.reply.text->str, 0, NULL);
  g_string_free(c.reply.text, TRUE);
  if (j == NULL)
    setdown(err, prefix);
  else {
    const json_t *keys = json_object_get(j, "keys");
    a = g_ptr_array_new_with_free_func(g_free);
    for (i = 0; i < json_array_size(keys); i++)
      g_ptr_array_add(a, g_strdup(json_string_value(json_array_get(keys, i))));
  }
  json_decref(j);
  return a;
}

GString *client_ops(mp_Addr at, int post, const char *path, GError **err) {
  Call c;
  char text[24];
  call(at, post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path, NULL, 0, &c);
  if (c.end == HTTP_END_OK && c.reply.status < 300)
    return c.reply.text;
  mp_addr_text(at, text);
  g_set_error(err, MP_ERROR, MP_ERR_STORE,
              "instance at %s does not answer; check that it runs and that "
              "this is its operators' address",
              text);
  g_string_free(c.reply.text, TRUE);
  return NULL;
}
