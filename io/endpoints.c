/*
** endpoints.c
** Engines and plain services, by evhttp
**
** The engine's HTTP, as docs/design/interfaces.md has it:
**   POST /v1/completions, /v1/chat/completions   prefill and decode, told
**        apart by "kv_transfer_params" as published engines do
**   POST /v1/kv/import, /v1/cancel, /v1/order; GET /v1/load, /v1/streams/ID
** 429 and 503 and 409 say "refused, not run"; 400, 404, 413 and 422 that
** the request is at fault; anything else unexpected leaves it unknown.
*/

#include <string.h>

#include "conf/conf.h"
#include "io/adapters.h"
#include "io/http.h"

struct Endpoints {
  Node *node;
  GHashTable *open; /* xcall -> Calling */
};

typedef struct Calling {
  Endpoints *E;
  uint64_t xcall;
  mp_EndpointOp op;
  char id[64]; /* token and attempt, as the engine knows them */
  HttpCall *call;
  int status;
  GString *buf;    /* reply, or the event that is coming in */
  int done;        /* the stream said that it is whole */
  uint32_t tokens; /* as its last event counted */
} Calling;

static void freecalling(void *p) {
  Calling *c = p;
  if (c->call != NULL)
    http_abort(c->call);
  g_string_free(c->buf, TRUE);
  g_free(c);
}

/*
** {==================================================================
** What comes back
** ===================================================================
*/

static void feed(const Calling *c, mp_EndpointEvent *x) {
  mp_Event e = {0};
  e.kind = MP_EV_ENDPOINT;
  x->xcall = c->xcall;
  e.u.endpoint = *x;
  node_feed(c->E->node, &e);
}

/* the call is over; the row goes first, since feeding may reach it */
static void finish(Calling *c, mp_EndpointEvent *x) {
  Endpoints *E = c->E;
  g_hash_table_steal(E->open, &c->xcall);
  feed(c, x);
  freecalling(c);
}

static void fail(Calling *c, mp_EndpointFailure f) {
  mp_EndpointEvent x = {0};
  x.what = MP_EP_FAIL;
  x.fail = f;
  x.status = c->status;
  finish(c, &x);
}

static mp_EndpointFailure failof(int status) {
  switch (status) {
  case 409:
  case 429:
  case 503:
    return MP_EPF_REFUSED;
  case 400:
  case 404:
  case 413:
  case 422:
    return MP_EPF_REJECTED;
  default:
    return MP_EPF_BROKEN;
  }
}

static uint32_t num(const json_t *j, const char *key) {
  json_int_t v = json_integer_value(json_object_get(j, key));
  return (uint32_t)CLAMP(v, 0, UINT32_MAX);
}

static const char *str(const json_t *j, const char *key) {
  return json_string_value(json_object_get(j, key));
}

/* }================================================================== */

/*
** {==================================================================
** Streams: server-sent events
** ===================================================================
*/

/* one event's JSON; 0 when the stream can't be trusted any more */
static int piece(Calling *c, const json_t *j) {
  mp_EndpointEvent x = {0};
  const json_t *usage = json_object_get(j, "usage");
  const json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
  const char *id = str(j, "id");
  const char *text = str(choice, "text");
  if (id == NULL || strcmp(id, c->id) != 0)
    return 0; /* not this attempt's */
  if (json_is_object(usage))
    c->tokens = num(usage, "completion_tokens");
  if (text == NULL)
    return 1;
  x.what = MP_EP_CHUNK;
  x.index = num(j, "index");
  x.tokens = num(j, "tokens");
  x.text = text;
  x.len = strlen(text);
  feed(c, &x);
  return 1;
}

static int event(Calling *c, const char *line) {
  json_t *j;
  int ok;
  if (!g_str_has_prefix(line, "data: "))
    return 1; /* comments and other fields */
  if (strcmp(line + 6, "[DONE]") == 0) {
    c->done = 1;
    return 1;
  }
  j = json_loads(line + 6, JSON_REJECT_DUPLICATES, NULL);
  if (j == NULL)
    return 0;
  ok = piece(c, j);
  json_decref(j);
  return ok;
}

/* feed whole lines; feeding may end the call, so look it up each time */
static void stream(Endpoints *E, uint64_t xcall) {
  for (;;) {
    Calling *c = g_hash_table_lookup(E->open, &xcall);
    char *nl = c != NULL ? memchr(c->buf->str, '\n', c->buf->len) : NULL;
    char *line;
    int ok;
    if (nl == NULL)
      return;
    line = g_strndup(c->buf->str, (gsize)(nl - c->buf->str));
    g_string_erase(c->buf, 0, nl + 1 - c->buf->str);
    g_strchomp(line);
    ok = event(c, line);
    g_free(line);
    if (!ok) {
      c = g_hash_table_lookup(E->open, &xcall);
      if (c != NULL)
        fail(c, MP_EPF_BROKEN);
      return;
    }
  }
}

static int streams(const Calling *c) {
  return (c->op == MP_X_DECODE || c->op == MP_X_RESUME) && c->status == 200;
}

/* }================================================================== */

/*
** {==================================================================
** Whole replies
** ===================================================================
*/

static int prefilled(const json_t *j, mp_EndpointEvent *x) {
  const json_t *kv = json_object_get(j, "kv_transfer_params");
  const char *id = str(kv, "kv_id");
  if (id == NULL)
    return 0;
  x->text = id;
  x->len = strlen(id);
  x->life_ms = num(kv, "expires_ms");
  x->cached = num(json_object_get(j, "usage"), "cached_tokens");
  return 1;
}

static mp_Role role(const char *s) {
  if (s != NULL && strcmp(s, "prefill") == 0)
    return MP_ROLE_PREFILL;
  if (s != NULL && strcmp(s, "decode") == 0)
    return MP_ROLE_DECODE;
  return MP_ROLE_PLAIN;
}

static int load(const json_t *j, mp_LoadReport *l, mp_HoldReport *hold,
                unsigned most) {
  const json_t *holds = json_object_get(j, "holds");
  size_t i;
  if (str(j, "role") == NULL)
    return 0;
  l->role = role(str(j, "role"));
  l->slots = num(j, "slots");
  l->used = num(j, "used");
  l->queued_tokens = num(j, "queued_tokens");
  l->rate = num(j, "rate");
  l->fence = (uint64_t)json_integer_value(json_object_get(j, "fence"));
  l->leaving = json_is_true(json_object_get(j, "leaving"));
  for (i = 0; i < json_array_size(holds) && l->nhold < most; i++) {
    const char *s = json_string_value(json_array_get(holds, i));
    mp_HoldReport *h = &hold[l->nhold];
    if (s != NULL && mp_token_parse(s, &h->token, &h->attempt))
      l->nhold++;
  }
  l->hold = hold;
  return 1;
}

#define MAXHOLDS 512 /* holds read from one load answer */

static void whole(Calling *c) {
  mp_EndpointEvent x = {0};
  mp_LoadReport l = {0};
  mp_HoldReport *hold = NULL;
  json_t *j = json_loadb(c->buf->str, c->buf->len, 0, NULL);
  int ok = 1;
  x.what = MP_EP_DONE;
  if (c->op == MP_X_PREFILL)
    ok = prefilled(j, &x);
  else if (c->op == MP_X_LOAD) {
    hold = g_new0(mp_HoldReport, MAXHOLDS);
    ok = load(j, &l, hold, MAXHOLDS);
    x.load = &l;
  }
  if (ok)
    finish(c, &x);
  else
    fail(c, MP_EPF_BROKEN);
  g_free(hold);
  json_decref(j);
}

/* }================================================================== */

/*
** {==================================================================
** Hooks
** ===================================================================
*/

static void onhead(void *ud, int status, struct evkeyvalq *headers) {
  Calling *c = ud;
  mp_EndpointEvent x = {0};
  c->status = status;
  x.what = MP_EP_HEAD;
  x.status = status;
  x.head = headers;
  if (c->op == MP_X_PLAIN || streams(c))
    feed(c, &x);
}

static void ondata(void *ud, const char *s, size_t n) {
  Calling *c = ud;
  mp_EndpointEvent x = {0};
  if (c->op == MP_X_PLAIN) {
    x.what = MP_EP_CHUNK;
    x.text = s;
    x.len = n;
    feed(c, &x);
    return;
  }
  g_string_append_len(c->buf, s, (gssize)n);
  if (streams(c))
    stream(c->E, c->xcall);
}

static void onend(void *ud, HttpEnd end, int status) {
  Calling *c = ud;
  mp_EndpointEvent x = {0};
  c->call = NULL;
  c->status = status;
  if (end == HTTP_END_CONNECT)
    fail(c, MP_EPF_CONNECT);
  else if (end == HTTP_END_BROKEN)
    fail(c, MP_EPF_BROKEN);
  else if (c->op == MP_X_PLAIN) {
    x.what = MP_EP_DONE;
    finish(c, &x);
  } else if (status != 200)
    fail(c, failof(status));
  else if (!streams(c))
    whole(c);
  else if (c->done) {
    x.what = MP_EP_DONE;
    x.tokens = c->tokens;
    finish(c, &x);
  } else
    fail(c, MP_EPF_BROKEN); /* it ended without saying so */
}

/* }================================================================== */

/*
** {==================================================================
** What goes out
** ===================================================================
*/

/* the caller's own JSON with what the engine needs beside it */
static json_t *work(const Calling *c, const CallBody *b,
                    const mp_EndpointCall *x) {
  json_t *j = json_copy(b->json);
  int prefill = x->op == MP_X_PREFILL;
  json_object_set_new(j, "request_id", json_string(c->id));
  json_object_set_new(j, "priority", json_integer(x->priority));
  json_object_set_new(j, "stream", json_boolean(!prefill));
  json_object_set_new(
      j, "kv_transfer_params",
      json_pack("{s:b}", prefill ? "do_remote_decode" : "do_remote_prefill",
                1));
  if (x->from_token > 0) {
    json_object_set_new(j, "resume_from", json_integer(x->from_token));
    json_object_set_new(j, "partial", json_string(x->partial));
  }
  return j;
}

static json_t *control(const Calling *c, const mp_EndpointCall *x) {
  char from[24];
  switch (x->op) {
  case MP_X_IMPORT:
    mp_addr_text(x->kv_from, from);
    return json_pack("{s:s, s:s, s:s}", "request_id", c->id, "kv_id", x->kv,
                     "from", from);
  case MP_X_CANCEL:
    return json_pack("{s:s}", "request_id", c->id);
  case MP_X_ORDER:
    return json_pack("{s:s, s:I, s:i}", "role", mp_role_name(x->role), "fence",
                     (json_int_t)x->fence, "valid_ms", (int)x->valid_ms);
  default:
    return NULL;
  }
}

static enum evhttp_cmd_type method(const char *s) {
  static const struct {
    const char *name;
    enum evhttp_cmd_type m;
  } all[] = {{"GET", EVHTTP_REQ_GET},        {"POST", EVHTTP_REQ_POST},
             {"PUT", EVHTTP_REQ_PUT},        {"DELETE", EVHTTP_REQ_DELETE},
             {"HEAD", EVHTTP_REQ_HEAD},      {"PATCH", EVHTTP_REQ_PATCH},
             {"OPTIONS", EVHTTP_REQ_OPTIONS}};
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(all); i++) {
    if (strcmp(all[i].name, s) == 0)
      return all[i].m;
  }
  return EVHTTP_REQ_POST;
}

static const HttpHooks hooks = {onhead, ondata, onend};

static void sendplain(Calling *c, const CallBody *b,
                      const mp_EndpointCall *x) {
  HttpHeader h[] = {{"X-Request-Id", c->id},
                    {"Content-Type", b->content_type},
                    {NULL, NULL}};
  size_t n = evbuffer_get_length(b->raw);
  if (b->content_type == NULL)
    h[1].name = NULL;
  c->call =
      http_call(c->E->node->base, x->endpoint, method(b->method), b->uri, h,
                (const char *)evbuffer_pullup(b->raw, -1), n, &hooks, c);
}

static void sendjson(Calling *c, const mp_EndpointCall *x, const char *uri,
                     json_t *j) {
  static const HttpHeader h[] = {{"Content-Type", "application/json"},
                                 {NULL, NULL}};
  char *s = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;
  c->call = http_call(c->E->node->base, x->endpoint,
                      j != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, uri, h, s,
                      s != NULL ? strlen(s) : 0, &hooks, c);
  free(s);
  json_decref(j);
}

static void sendwork(Calling *c, const mp_EndpointCall *x) {
  const CallBody *b = callers_body(c->E->node->callers, x->call);
  if (b == NULL)
    return; /* the caller is gone; the core hears of it by itself */
  if (x->op == MP_X_PLAIN)
    sendplain(c, b, x);
  else
    sendjson(c, x, b->uri, work(c, b, x));
}

static void sendout(Calling *c, const mp_EndpointCall *x) {
  char uri[128];
  switch (x->op) {
  case MP_X_PREFILL:
  case MP_X_DECODE:
  case MP_X_PLAIN:
    sendwork(c, x);
    break;
  case MP_X_RESUME:
    g_snprintf(uri, sizeof uri, "/v1/streams/%s?from=%u", c->id,
               x->from_token);
    sendjson(c, x, uri, NULL);
    break;
  case MP_X_IMPORT:
    sendjson(c, x, "/v1/kv/import", control(c, x));
    break;
  case MP_X_CANCEL:
    sendjson(c, x, "/v1/cancel", control(c, x));
    break;
  case MP_X_LOAD:
    sendjson(c, x, "/v1/load", NULL);
    break;
  case MP_X_ORDER:
    sendjson(c, x, "/v1/order", control(c, x));
    break;
  }
}

/* it could not even be begun */
typedef struct Stillborn {
  Endpoints *E;
  uint64_t xcall;
} Stillborn;

static void failnow(evutil_socket_t fd, short what, void *arg) {
  Stillborn *b = arg;
  Calling *c = g_hash_table_lookup(b->E->open, &b->xcall);
  (void)fd;
  (void)what;
  if (c != NULL)
    fail(c, MP_EPF_CONNECT);
  g_free(b);
}

void endpoints_call(Endpoints *E, const mp_EndpointCall *x) {
  Calling *c = g_new0(Calling, 1);
  c->E = E;
  c->xcall = x->xcall;
  c->op = x->op;
  c->buf = g_string_new(NULL);
  mp_token_text(&x->token, x->attempt, c->id);
  g_hash_table_insert(E->open, &c->xcall, c);
  sendout(c, x);
  if (c->call == NULL) {
    Stillborn *b = g_new0(Stillborn, 1);
    struct timeval now = {0, 0};
    b->E = E;
    b->xcall = x->xcall;
    event_base_once(E->node->base, -1, EV_TIMEOUT, failnow, b, &now);
  }
}

void endpoints_abort(Endpoints *E, uint64_t xcall) {
  g_hash_table_remove(E->open, &xcall);
}

/* }================================================================== */

Endpoints *endpoints_new(Node *node) {
  Endpoints *E = g_new0(Endpoints, 1);
  E->node = node;
  E->open =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, freecalling);
  return E;
}

void endpoints_free(Endpoints *E) {
  g_hash_table_destroy(E->open);
  g_free(E);
}
