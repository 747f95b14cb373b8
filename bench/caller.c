/*
** caller.c
** One caller of the load tool: sends, times and verifies
** The prompt is made from the seed; the whole answer follows from it by
** standin/model.c, so every piece can be checked.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bench/load.h"
#include "io/http.h"
#include "standin/model.h"

#define PATIENCE_S 75

typedef struct Caller {
  struct event_base *base;
  const MixClass *c;
  Result r;
  uint64_t hash;
  uint32_t expect; /* tokens of the whole answer */
  GString *buf;
  size_t parsed;
  int status, error, finished, hangup;
  mp_Time sent, first, last;
  HttpCall *call;
  struct event *timer;
  CallerDone done;
  void *ud;
} Caller;

static mp_Time now(void) {
  return g_get_monotonic_time();
}

static void finish(Caller *c) {
  if (c->r.tokens > 1)
    c->r.gap_ms = (double)(c->last - c->first) / 1000 / (c->r.tokens - 1);
  if (c->first > 0)
    c->r.first_ms = (double)(c->first - c->sent) / 1000;
  c->done(c->ud, &c->r);
  event_free(c->timer);
  g_string_free(c->buf, TRUE);
  g_free(c);
}

/*
** {==================================================================
** Verifying
** ===================================================================
*/

static void adderror(Caller *c, const json_t *e) {
  const char *kind = json_string_value(json_object_get(e, "kind"));
  const char *ran = json_string_value(json_object_get(e, "ran"));
  const char *id = json_string_value(json_object_get(e, "request"));
  c->error = 1;
  g_strlcpy(c->r.kind, kind != NULL ? kind : "untyped", sizeof c->r.kind);
  c->r.ran = ran == NULL || strcmp(ran, "unknown") == 0 ? MP_RAN_UNKNOWN
             : strcmp(ran, "no") == 0                   ? MP_RAN_NO
                                                        : MP_RAN_YES;
  if (id != NULL)
    g_strlcpy(c->r.id, id, sizeof c->r.id);
}

static void addtext(Caller *c, const char *s) {
  char want[32];
  model_text(c->hash, c->r.tokens, want);
  if (strcmp(s, want) != 0)
    c->r.wrong = 1;
  c->last = now();
  if (c->first == 0)
    c->first = c->last;
  c->r.tokens++;
}

static void event(Caller *c, const char *line) {
  json_t *j;
  const char *id;
  const char *text;
  if (strcmp(line, "data: [DONE]") == 0) {
    c->finished = 1;
    return;
  }
  if (!g_str_has_prefix(line, "data: "))
    return;
  j = json_loads(line + 6, 0, NULL);
  id = json_string_value(json_object_get(j, "id"));
  text = json_string_value(json_object_get(
      json_array_get(json_object_get(j, "choices"), 0), "text"));
  if (json_object_get(j, "error") != NULL)
    adderror(c, json_object_get(j, "error"));
  if (id != NULL)
    g_strlcpy(c->r.id, id, sizeof c->r.id);
  if (text != NULL)
    addtext(c, text);
  json_decref(j);
}

static void lines(Caller *c) {
  char *nl;
  while ((nl = memchr(c->buf->str + c->parsed, '\n',
                      c->buf->len - c->parsed)) != NULL) {
    *nl = '\0';
    event(c, c->buf->str + c->parsed);
    c->parsed = (size_t)(nl - c->buf->str) + 1;
  }
}

static void verify(Caller *c) {
  json_t *j;
  if (c->c->model != NULL && c->status == 200) {
    c->r.ended = c->finished && !c->error;
    if (c->r.ended && c->r.tokens != c->expect)
      c->r.wrong = 1;
    return;
  }
  j = json_loadb(c->buf->str, c->buf->len, 0, NULL);
  if (c->status == 200) {
    const char *id = json_string_value(json_object_get(j, "request"));
    c->r.ended = id != NULL;
    if (id != NULL)
      g_strlcpy(c->r.id, id, sizeof c->r.id);
    c->first = c->last = now();
  } else
    adderror(c, json_object_get(j, "error"));
  json_decref(j);
}

/* }================================================================== */

/*
** {==================================================================
** Sending
** ===================================================================
*/

static void head(void *ud, int status, struct evkeyvalq *h) {
  Caller *c = ud;
  (void)h;
  c->status = status;
}

static void data(void *ud, const char *s, size_t n) {
  Caller *c = ud;
  g_string_append_len(c->buf, s, (gssize)n);
  if (c->c->model != NULL && c->status == 200)
    lines(c);
  if (c->hangup && c->r.tokens >= c->expect / 2 && c->r.tokens > 0) {
    struct timeval t = {0, 0};
    event_add(c->timer, &t);
  }
}

static void end(void *ud, HttpEnd e, int status) {
  Caller *c = ud;
  c->status = status;
  c->call = NULL;
  if (e == HTTP_END_OK)
    verify(c);
  /* cut off without a word, or never connected */
  c->r.silent = !c->r.ended && !c->error;
  finish(c);
}

static void late(evutil_socket_t fd, short what, void *arg) {
  Caller *c = arg;
  (void)fd;
  (void)what;
  http_abort(c->call);
  c->r.hung = c->hangup;
  c->r.silent = !c->hangup;
  finish(c);
}

/* shared beginning, then text of the seed's own */
static char *prompt(const MixClass *c, uint64_t seed) {
  GRand *g = g_rand_new_with_seed((guint32)(seed * 2654435761U));
  uint32_t mean = MAX(c->prompt_tokens - c->shared_tokens, 2);
  uint32_t own = mean / 2 + (uint32_t)(g_rand_double(g) * mean);
  GString *s = g_string_new(NULL);
  guint32 i;
  while (s->len < (gsize)c->shared_tokens * MODEL_BYTES_PER_TOKEN)
    g_string_append_printf(s, "%s rulebook %zu; ", c->class_name, s->len);
  g_string_truncate(s, (gsize)c->shared_tokens * MODEL_BYTES_PER_TOKEN);
  g_string_append_printf(s, "%016" G_GINT64_MODIFIER "x", (guint64)seed);
  for (i = 0; i < own; i++)
    g_string_append_printf(s, "%03x ", g_rand_int(g) & 0xfff);
  g_rand_free(g);
  return g_string_free(s, FALSE);
}

static char *body(const MixClass *c, uint64_t seed, Caller *o) {
  char *p = prompt(c, seed);
  GString g = {p, strlen(p), 0};
  json_t *j;
  char *s;
  o->hash = model_hash(&g);
  o->expect = model_length(o->hash, c->max_tokens);
  j = json_pack("{s:s, s:s, s:i, s:b}", "model", c->model, "prompt", p,
                "max_tokens", (int)c->max_tokens, "stream", 1);
  s = json_dumps(j, JSON_COMPACT);
  json_decref(j);
  g_free(p);
  return s;
}

void caller_start(struct event_base *base, mp_Addr to, const MixClass *c,
                  unsigned class_no, uint64_t seed, const char *key,
                  int hangup, CallerDone done, void *ud) {
  static const HttpHooks hooks = {head, data, end};
  Caller *o = g_new0(Caller, 1);
  char auth[128];
  HttpHeader h[] = {{"Authorization", auth},
                    {"X-Request-Class", c->class_name},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", key},
                    {NULL, NULL}};
  struct timeval t = {PATIENCE_S, 0};
  char *s = c->model != NULL ? body(c, seed, o) : strdup("{\"card\": 1}");
  g_snprintf(auth, sizeof auth, "Bearer %s", c->key);
  if (key == NULL)
    h[3].name = NULL;
  o->base = base;
  o->c = c;
  o->r.class_no = class_no;
  o->hangup = hangup;
  o->buf = g_string_new(NULL);
  o->done = done;
  o->ud = ud;
  o->sent = now();
  if (key != NULL)
    g_strlcpy(o->r.key, key, sizeof o->r.key);
  o->timer = evtimer_new(base, late, o);
  event_add(o->timer, &t);
  o->call = http_call(base, to, EVHTTP_REQ_POST,
                      c->model != NULL ? "/v1/completions" : c->path, h, s,
                      strlen(s), &hooks, o);
  free(s);
  if (o->call == NULL) {
    o->r.silent = 1;
    finish(o);
  }
}

/* }================================================================== */
