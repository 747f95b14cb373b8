/*
** endpoints.c
** Calls to engines and plain services, by evhttp
**
** The engine's HTTP interface, which docs/design/interfaces.md describes:
**   POST /v1/completions, /v1/chat/completions   prefill and decode, which
**        "kv_transfer_params" distinguishes, as in published engines
**   POST /v1/kv/import, /v1/cancel, /v1/order; GET /v1/load, /v1/streams/ID
** The statuses 409, 429 and 503 mean that the engine refused the request and
** did not run it; 400, 404, 413 and 422 that the request is invalid. Any other
** unexpected status leaves unknown whether the request has run.
*/

#include <string.h>

#include "conf/conf.h"
#include "io/adapters.h"
#include "io/http.h"

struct Endpoints {
  Node *node;
  GHashTable *open; /* xcall -> EndpointRequest, which it owns */
};

/* a call in progress */
typedef struct EndpointRequest {
  Endpoints *E;
  uint64_t xcall;
  mp_EndpointOp op;
  char id[64];     /* token and attempt: the request's id at the engine */
  HttpCall *call;  /* NULL once it has ended, or if it could not be made */
  int status;      /* HTTP status; 0: no response was received */
  GString *buf;    /* the body, or the part of a stream's last line so far */
  int is_done;     /* the stream contained its end mark */
  uint32_t tokens; /* output tokens according to the stream's last event */
} EndpointRequest;

static void free_request(void *p) {
  EndpointRequest *c = p;
  if (c->call != NULL)
    http_abort(c->call);
  g_string_free(c->buf, TRUE);
  g_free(c);
}

/*
** {==================================================================
** Results
** ===================================================================
*/

static void feed_event(const EndpointRequest *c, mp_EndpointEvent *x) {
  mp_Event e = {0};
  e.kind = MP_EV_ENDPOINT;
  x->xcall = c->xcall;
  e.u.endpoint = *x;
  node_feed(c->E->node, &e);
}

/*
** Ends a call with its last event. The call leaves the table first, because
** feeding the event may look it up or abort it.
*/
static void finish_call(EndpointRequest *c, mp_EndpointEvent *x) {
  Endpoints *E = c->E;
  g_hash_table_steal(E->open, &c->xcall);
  feed_event(c, x);
  free_request(c);
}

static void fail_call(EndpointRequest *c, mp_EndpointFailure f) {
  mp_EndpointEvent x = {0};
  x.what = MP_EP_FAIL;
  x.fail = f;
  x.status = c->status;
  finish_call(c, &x);
}

/* The kind of failure that a status other than 200 means. */
static mp_EndpointFailure failure_of_status(int status) {
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

/* A member that is a number, limited to 32 bits; 0 when it is missing. */
static uint32_t json_uint32(const json_t *j, const char *key) {
  json_int_t v = json_integer_value(json_object_get(j, key));
  return (uint32_t)CLAMP(v, 0, UINT32_MAX);
}

static const char *json_text(const json_t *j, const char *key) {
  return json_string_value(json_object_get(j, key));
}

/* }================================================================== */

/*
** {==================================================================
** Streams: server-sent events
** ===================================================================
*/

/*
** Feeds the text of one event. Returns 0 when the event is of another request
** or attempt, and the stream therefore cannot be trusted.
*/
static int feed_piece(EndpointRequest *c, const json_t *j) {
  mp_EndpointEvent x = {0};
  const json_t *usage = json_object_get(j, "usage");
  const json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
  const char *id = json_text(j, "id");
  const char *text = json_text(choice, "text");
  if (id == NULL || strcmp(id, c->id) != 0)
    return 0; /* another request or attempt */
  if (json_is_object(usage))
    c->tokens = json_uint32(usage, "completion_tokens");
  if (text == NULL)
    return 1;
  x.what = MP_EP_CHUNK;
  x.index = json_uint32(j, "index");
  x.tokens = json_uint32(j, "tokens");
  x.text = text;
  x.len = strlen(text);
  feed_event(c, &x);
  return 1;
}

/* Handles one line of a stream. Returns 0 when it is invalid. */
static int handle_line(EndpointRequest *c, const char *line) {
  json_t *j;
  int ok;
  if (!g_str_has_prefix(line, "data: "))
    return 1; /* comments and other fields */
  if (strcmp(line + 6, "[DONE]") == 0) {
    c->is_done = 1;
    return 1;
  }
  j = json_loads(line + 6, JSON_REJECT_DUPLICATES, NULL);
  if (j == NULL)
    return 0;
  ok = feed_piece(c, j);
  json_decref(j);
  return ok;
}

/*
** Handles the complete lines received so far. Feeding an event may end the
** call, so it is looked up again for each line.
*/
static void handle_lines(Endpoints *E, uint64_t xcall) {
  for (;;) {
    EndpointRequest *c = g_hash_table_lookup(E->open, &xcall);
    char *nl = c != NULL ? memchr(c->buf->str, '\n', c->buf->len) : NULL;
    char *line;
    int ok;
    if (nl == NULL)
      return;
    line = g_strndup(c->buf->str, (gsize)(nl - c->buf->str));
    g_string_erase(c->buf, 0, nl + 1 - c->buf->str);
    g_strchomp(line);
    ok = handle_line(c, line);
    g_free(line);
    if (!ok) {
      c = g_hash_table_lookup(E->open, &xcall);
      if (c != NULL)
        fail_call(c, MP_EPF_BROKEN);
      return;
    }
  }
}

/* Is the response of this call a stream? */
static int is_streamed(const EndpointRequest *c) {
  return (c->op == MP_X_DECODE || c->op == MP_X_RESUME) && c->status == 200;
}

/* }================================================================== */

/*
** {==================================================================
** Responses that are not streamed
** ===================================================================
*/

/* Reads the response to a prefill; 0 when it is invalid. */
static int parse_prefill(const json_t *j, mp_EndpointEvent *x) {
  const json_t *kv = json_object_get(j, "kv_transfer_params");
  const char *id = json_text(kv, "kv_id");
  if (id == NULL)
    return 0;
  x->text = id;
  x->len = strlen(id);
  x->life_ms = json_uint32(kv, "expires_ms");
  x->cached = json_uint32(json_object_get(j, "usage"), "cached_tokens");
  return 1;
}

static mp_Role parse_role(const char *s) {
  if (s != NULL && strcmp(s, "prefill") == 0)
    return MP_ROLE_PREFILL;
  if (s != NULL && strcmp(s, "decode") == 0)
    return MP_ROLE_DECODE;
  return MP_ROLE_PLAIN;
}

/*
** Reads the response to a load query; 0 when it is invalid. At most 'most' of
** the reservations that it lists are stored in 'hold', which '*l' then refers
** to.
*/
static int parse_load(const json_t *j, mp_LoadReport *l, mp_HoldReport *hold,
                      unsigned most) {
  const json_t *holds = json_object_get(j, "holds");
  size_t i;
  if (json_text(j, "role") == NULL)
    return 0;
  l->role = parse_role(json_text(j, "role"));
  l->slots = json_uint32(j, "slots");
  l->used = json_uint32(j, "used");
  l->queued_tokens = json_uint32(j, "queued_tokens");
  l->rate = json_uint32(j, "rate");
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

/* limit of reservations read from one response to a load query */
#define MAX_HOLDS 512

/* Ends a call whose response is complete and has status 200. */
static void finish_whole_response(EndpointRequest *c) {
  mp_EndpointEvent x = {0};
  mp_LoadReport l = {0};
  mp_HoldReport *hold = NULL;
  json_t *j = json_loadb(c->buf->str, c->buf->len, 0, NULL);
  int ok = 1;
  x.what = MP_EP_DONE;
  if (c->op == MP_X_PREFILL)
    ok = parse_prefill(j, &x);
  else if (c->op == MP_X_LOAD) {
    hold = g_new0(mp_HoldReport, MAX_HOLDS);
    ok = parse_load(j, &l, hold, MAX_HOLDS);
    x.load = &l;
  }
  if (ok)
    finish_call(c, &x);
  else
    fail_call(c, MP_EPF_BROKEN);
  g_free(hold);
  json_decref(j);
}

/* }================================================================== */

/*
** {==================================================================
** Callbacks of the HTTP call
** ===================================================================
*/

static void on_head(void *ud, int status, struct evkeyvalq *headers) {
  EndpointRequest *c = ud;
  mp_EndpointEvent x = {0};
  c->status = status;
  x.what = MP_EP_HEAD;
  x.status = status;
  x.head = headers;
  if (c->op == MP_X_PLAIN || is_streamed(c))
    feed_event(c, &x);
}

static void on_data(void *ud, const char *s, size_t n) {
  EndpointRequest *c = ud;
  mp_EndpointEvent x = {0};
  if (c->op == MP_X_PLAIN) {
    x.what = MP_EP_CHUNK;
    x.text = s;
    x.len = n;
    feed_event(c, &x);
    return;
  }
  g_string_append_len(c->buf, s, (gssize)n);
  if (is_streamed(c))
    handle_lines(c->E, c->xcall);
}

static void on_end(void *ud, HttpEnd end, int status) {
  EndpointRequest *c = ud;
  mp_EndpointEvent x = {0};
  c->call = NULL;
  c->status = status;
  if (end == HTTP_END_CONNECT)
    fail_call(c, MP_EPF_CONNECT);
  else if (end == HTTP_END_BROKEN)
    fail_call(c, MP_EPF_BROKEN);
  else if (c->op == MP_X_PLAIN) {
    x.what = MP_EP_DONE;
    finish_call(c, &x);
  } else if (status != 200)
    fail_call(c, failure_of_status(status));
  else if (!is_streamed(c))
    finish_whole_response(c);
  else if (c->is_done) {
    x.what = MP_EP_DONE;
    x.tokens = c->tokens;
    finish_call(c, &x);
  } else
    fail_call(c, MP_EPF_BROKEN); /* the stream ended without its end mark */
}

/* }================================================================== */

/*
** {==================================================================
** Requests
** ===================================================================
*/

/* The caller's JSON with the members that the engine needs in addition. */
static json_t *work_json(const EndpointRequest *c, const CallBody *b,
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

/* The body of a request that has no caller; NULL for other operations. */
static json_t *control_json(const EndpointRequest *c,
                            const mp_EndpointCall *x) {
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

static enum evhttp_cmd_type method_code(const char *s) {
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

static const HttpHooks hooks = {on_head, on_data, on_end};

static void send_plain(EndpointRequest *c, const CallBody *b,
                       const mp_EndpointCall *x) {
  HttpHeader h[] = {{"X-Request-Id", c->id},
                    {"Content-Type", b->content_type},
                    {NULL, NULL}};
  size_t n = evbuffer_get_length(b->raw);
  if (b->content_type == NULL)
    h[1].name = NULL;
  c->call =
      http_call(c->E->node->base, x->endpoint, method_code(b->method), b->uri,
                h, (const char *)evbuffer_pullup(b->raw, -1), n, &hooks, c);
}

/* Sends a POST with the body 'j', whose reference it takes over; or a GET. */
static void send_json(EndpointRequest *c, const mp_EndpointCall *x,
                      const char *uri, json_t *j) {
  static const HttpHeader h[] = {{"Content-Type", "application/json"},
                                 {NULL, NULL}};
  char *s = j != NULL ? json_dumps(j, JSON_COMPACT) : NULL;
  c->call = http_call(c->E->node->base, x->endpoint,
                      j != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, uri, h, s,
                      s != NULL ? strlen(s) : 0, &hooks, c);
  free(s);
  json_decref(j);
}

static void send_work(EndpointRequest *c, const mp_EndpointCall *x) {
  const CallBody *b = callers_body(c->E->node->callers, x->call);
  if (b == NULL)
    return; /* the caller has disconnected; callers.c tells the core */
  if (x->op == MP_X_PLAIN)
    send_plain(c, b, x);
  else
    send_json(c, x, b->uri, work_json(c, b, x));
}

static void send_call(EndpointRequest *c, const mp_EndpointCall *x) {
  char uri[128];
  switch (x->op) {
  case MP_X_PREFILL:
  case MP_X_DECODE:
  case MP_X_PLAIN:
    send_work(c, x);
    break;
  case MP_X_RESUME:
    g_snprintf(uri, sizeof uri, "/v1/streams/%s?from=%u", c->id,
               x->from_token);
    send_json(c, x, uri, NULL);
    break;
  case MP_X_IMPORT:
    send_json(c, x, "/v1/kv/import", control_json(c, x));
    break;
  case MP_X_CANCEL:
    send_json(c, x, "/v1/cancel", control_json(c, x));
    break;
  case MP_X_LOAD:
    send_json(c, x, "/v1/load", NULL);
    break;
  case MP_X_ORDER:
    send_json(c, x, "/v1/order", control_json(c, x));
    break;
  }
}

/* a call that could not be made */
typedef struct UnsentCall {
  Endpoints *E;
  uint64_t xcall;
} UnsentCall;

/* Reports a call that could not be made, unless it was aborted meanwhile. */
static void fail_unsent_call(evutil_socket_t fd, short what, void *arg) {
  UnsentCall *b = arg;
  EndpointRequest *c = g_hash_table_lookup(b->E->open, &b->xcall);
  (void)fd;
  (void)what;
  if (c != NULL)
    fail_call(c, MP_EPF_CONNECT);
  g_free(b);
}

void endpoints_call(Endpoints *E, const mp_EndpointCall *x) {
  EndpointRequest *c = g_new0(EndpointRequest, 1);
  c->E = E;
  c->xcall = x->xcall;
  c->op = x->op;
  c->buf = g_string_new(NULL);
  mp_token_text(&x->token, x->attempt, c->id);
  g_hash_table_insert(E->open, &c->xcall, c);
  send_call(c, x);
  if (c->call == NULL) {
    UnsentCall *b = g_new0(UnsentCall, 1);
    struct timeval now = {0, 0};
    b->E = E;
    b->xcall = x->xcall;
    event_base_once(E->node->base, -1, EV_TIMEOUT, fail_unsent_call, b, &now);
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
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
  return E;
}

void endpoints_free(Endpoints *E) {
  g_hash_table_destroy(E->open);
  g_free(E);
}
