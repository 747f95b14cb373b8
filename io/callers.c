/*
** callers.c
** Callers: HTTP in, by libevhtp
**
** One request at a time on a connection; a second one sent before the
** first is answered closes it, so answers never mix. libevhtp ends a
** connection without a word on malformed or oversized input; the hooks
** here answer first, in the same JSON as every other refusal.
** A Caller lives from its request's arrival until libevhtp frees that
** request (the one place where it is freed).
*/

#include <string.h>
#include <sys/socket.h>

#include <event2/keyvalq_struct.h>
#include <evhtp/evhtp.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "io/adapters.h"
#include "io/caller_errors.h"

/* bytes of a prompt whose hash is its prefix, for cache affinity */
#define PREFIX_BYTES 2048
/* a caller that leaves this much unread is given up */
#define MAXUNREAD (4 << 20)
/* bytes of text counted as one token, until the engine counts */
#define BYTES_PER_TOKEN 4
#define DEFAULT_MAX_TOKENS 256

struct Callers {
  Node *node;
  evhtp_t *htp;
  uint64_t last;
  GHashTable *open;   /* call -> Caller */
  GHashTable *byconn; /* connection -> its Caller; not owned */
  uint32_t max_body, max_headers;
  struct timeval timeout;
};

typedef struct Caller {
  Callers *C;
  uint64_t call;
  evhtp_request_t *req; /* NULL once libevhtp has freed it */
  CallBody body;
  char *uri;
  int known; /* the core has the request */
  int stream, chat, plain;
  int started; /* the head of the answer is out */
  int ended;
  GString *text; /* answers that are not streamed */
} Caller;

/*
** {==================================================================
** Life of a caller
** ===================================================================
*/

typedef struct Gone {
  Node *node;
  uint64_t call;
} Gone;

static void tellgone(evutil_socket_t fd, short what, void *arg) {
  Gone *g = arg;
  mp_Event e = {0};
  (void)fd;
  (void)what;
  e.kind = MP_EV_HANGUP;
  e.u.hangup = g->call;
  node_feed(g->node, &e);
  g_free(g);
}

static void freecaller(void *p) {
  Caller *c = p;
  json_decref(c->body.json);
  if (c->body.raw != NULL)
    evbuffer_free(c->body.raw);
  g_free((char *)c->body.method);
  g_free((char *)c->body.content_type);
  g_free(c->uri);
  g_string_free(c->text, TRUE);
  g_free(c);
}

/* libevhtp frees the request: after its answer, or because of a hang-up */
static evhtp_res onfini(evhtp_request_t *r, void *arg) {
  Caller *c = arg;
  struct timeval now = {0, 0};
  g_hash_table_remove(c->C->byconn, r->conn);
  c->req = NULL;
  if (c->known && !c->ended) {
    Gone *g = g_new0(Gone, 1);
    g->node = c->C->node;
    g->call = c->call;
    event_base_once(c->C->node->base, -1, EV_TIMEOUT, tellgone, g, &now);
  }
  g_hash_table_remove(c->C->open, &c->call);
  return EVHTP_RES_OK;
}

const CallBody *callers_body(Callers *C, uint64_t call) {
  const Caller *c = g_hash_table_lookup(C->open, &call);
  return c != NULL ? &c->body : NULL;
}

unsigned callers_count(const Callers *C) {
  return g_hash_table_size(C->open);
}

/* }================================================================== */

/*
** {==================================================================
** A request comes in
** ===================================================================
*/

static const char *header(evhtp_request_t *r, const char *k) {
  return evhtp_header_find(r->headers_in, k);
}

static const char *methodname(evhtp_request_t *r) {
  static const struct {
    htp_method m;
    const char *name;
  } all[] = {{htp_method_GET, "GET"},        {htp_method_POST, "POST"},
             {htp_method_PUT, "PUT"},        {htp_method_DELETE, "DELETE"},
             {htp_method_HEAD, "HEAD"},      {htp_method_PATCH, "PATCH"},
             {htp_method_OPTIONS, "OPTIONS"}};
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(all); i++) {
    if (r->method == all[i].m)
      return all[i].name;
  }
  return NULL;
}

/* length in bytes of all texts of a prompt or of chat messages */
static size_t promptlen(const json_t *j, XXH3_state_t *h, size_t sofar) {
  size_t n = 0;
  size_t i;
  if (json_is_string(j)) {
    n = json_string_length(j);
    if (sofar < PREFIX_BYTES)
      XXH3_64bits_update(h, json_string_value(j),
                         MIN(n, PREFIX_BYTES - sofar));
    return n;
  }
  for (i = 0; i < json_array_size(j); i++) {
    const json_t *m = json_array_get(j, i);
    const json_t *t = json_is_object(m) ? json_object_get(m, "content") : m;
    n += promptlen(t, h, sofar + n);
  }
  return n;
}

static void measure(const json_t *prompt, mp_Call *q) {
  XXH3_state_t *h = XXH3_createState();
  size_t n;
  XXH3_64bits_reset(h);
  n = promptlen(prompt, h, 0);
  q->prompt_tokens = (uint32_t)(n / BYTES_PER_TOKEN + 1);
  /* a short prompt shares nothing worth the detour */
  q->prefix = n >= PREFIX_BYTES ? XXH3_64bits_digest(h) : 0;
  XXH3_freeState(h);
}

/* NULL when all is well; else what is wrong */
static const char *readengine(Caller *c, mp_Call *q) {
  evhtp_request_t *r = c->req;
  size_t n = evbuffer_get_length(r->buffer_in);
  const char *s = (const char *)evbuffer_pullup(r->buffer_in, -1);
  const json_t *prompt;
  const json_t *max;
  c->body.json = n > 0 ? json_loadb(s, n, JSON_REJECT_DUPLICATES, NULL) : NULL;
  if (!json_is_object(c->body.json))
    return "the body is no JSON object";
  q->model = json_string_value(json_object_get(c->body.json, "model"));
  if (q->model == NULL || strlen(q->model) > MP_NAME_MAX)
    return "'model' must be a string of at most 63 bytes";
  prompt = json_object_get(c->body.json, c->chat ? "messages" : "prompt");
  if (c->chat ? !json_is_array(prompt) : !json_is_string(prompt))
    return c->chat ? "'messages' must be a list" : "'prompt' must be a string";
  max = json_object_get(c->body.json, "max_tokens");
  if (max != NULL &&
      (json_integer_value(max) < 1 || json_integer_value(max) > 1 << 20))
    return "'max_tokens' must be a whole number from 1 to 1048576";
  q->max_tokens =
      max != NULL ? (uint32_t)json_integer_value(max) : DEFAULT_MAX_TOKENS;
  c->stream = json_is_true(json_object_get(c->body.json, "stream"));
  measure(prompt, q);
  return NULL;
}

static void readplain(Caller *c) {
  c->plain = 1;
  c->body.raw = evbuffer_new();
  evbuffer_add_buffer(c->body.raw, c->req->buffer_in);
  c->body.content_type = g_strdup(header(c->req, "Content-Type"));
}

static const char *bearer(evhtp_request_t *r) {
  const char *a = header(r, "Authorization");
  if (a == NULL || g_ascii_strncasecmp(a, "Bearer ", 7) != 0)
    return NULL;
  return a + 7;
}

static void newcaller(Callers *C, evhtp_request_t *r) {
  Caller *c = g_new0(Caller, 1);
  const char *path = r->uri->path->full;
  const unsigned char *query = r->uri->query_raw;
  c->C = C;
  c->call = ++C->last;
  c->req = r;
  c->text = g_string_new(NULL);
  if (query != NULL && query[0] != '\0')
    c->uri = g_strdup_printf("%s?%s", path, (const char *)query);
  else
    c->uri = g_strdup(path);
  c->body.uri = c->uri;
  c->body.method = g_strdup(methodname(r));
  g_hash_table_insert(C->open, &c->call, c);
  g_hash_table_insert(C->byconn, r->conn, c);
  evhtp_request_set_hook(r, evhtp_hook_on_request_fini, (evhtp_hook)onfini, c);
}

/* the timer for slow callers ends with the request's arrival */
static void arrived(Caller *c) {
  bufferevent_set_timeouts(evhtp_request_get_bev(c->req), NULL,
                           &c->C->timeout);
}

static void refuse(Caller *c, mp_Error e, const char *detail) {
  c->ended = 1;
  caller_send_error(c->req, e, MP_RAN_NO, mp_error_retry_after_s(e), detail,
                    NULL);
}

static void onrequest(evhtp_request_t *r, void *arg) {
  Callers *C = arg;
  Caller *c = g_hash_table_lookup(C->byconn, r->conn);
  const char *path = r->uri->path->full;
  const char *wrong = NULL;
  mp_Event e = {0};
  mp_Call *q = &e.u.call;
  g_assert(c != NULL); /* made by onheaders */
  if (c->body.method == NULL) {
    refuse(c, MP_ERR_METHOD, NULL);
    return;
  }
  c->chat = strcmp(path, "/v1/chat/completions") == 0;
  if (c->chat || strcmp(path, "/v1/completions") == 0) {
    if (r->method != htp_method_POST) {
      refuse(c, MP_ERR_METHOD, "use POST");
      return;
    }
    wrong = readengine(c, q);
  } else
    readplain(c);
  if (wrong != NULL) {
    refuse(c, MP_ERR_BAD_REQUEST, wrong);
    return;
  }
  arrived(c);
  e.kind = MP_EV_CALL;
  q->call = c->call;
  q->path = path;
  q->bearer = bearer(r);
  q->class_name = header(r, "X-Request-Class");
  q->key = header(r, "Idempotency-Key");
  c->known = 1;
  node_feed(C->node, &e);
}

/* }================================================================== */

/*
** {==================================================================
** Bad input
** ===================================================================
*/

typedef struct Seen {
  unsigned all, length, key, encoding;
} Seen;

static int countheader(evhtp_kv_t *kv, void *arg) {
  Seen *s = arg;
  s->all++;
  s->length += g_ascii_strcasecmp(kv->key, "Content-Length") == 0;
  s->key += g_ascii_strcasecmp(kv->key, "Idempotency-Key") == 0;
  s->encoding += g_ascii_strcasecmp(kv->key, "Transfer-Encoding") == 0;
  return 0;
}

static evhtp_res onheaders(evhtp_request_t *r, evhtp_headers_t *h, void *arg) {
  Callers *C = arg;
  Seen s = {0};
  const char *len = header(r, "Content-Length");
  evhtp_kvs_for_each(h, countheader, &s);
  if (s.all > C->max_headers) {
    caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "too many headers");
    return EVHTP_RES_ERROR;
  }
  if (s.length > 1 || s.key > 1 || s.encoding > 1 ||
      (s.length > 0 && s.encoding > 0)) {
    caller_send_before_close(
        r->conn, MP_ERR_BAD_REQUEST,
        "Content-Length, Transfer-Encoding and Idempotency-Key may "
        "stand once, and not the first two together");
    return EVHTP_RES_ERROR;
  }
  if (len != NULL && g_ascii_strtoull(len, NULL, 10) > C->max_body) {
    caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "Content-Length");
    return EVHTP_RES_ERROR;
  }
  if (r->uri == NULL || r->uri->path == NULL || r->uri->path->full == NULL) {
    caller_send_before_close(r->conn, MP_ERR_BAD_REQUEST, "no path");
    return EVHTP_RES_ERROR;
  }
  /* now, since libevhtp takes a form's body for the query later on */
  newcaller(C, r);
  return EVHTP_RES_OK;
}

/* a body without a length is measured as it comes */
static evhtp_res onread(evhtp_request_t *r, struct evbuffer *b, void *arg) {
  Callers *C = arg;
  if (evbuffer_get_length(r->buffer_in) + evbuffer_get_length(b) <=
      C->max_body)
    return EVHTP_RES_OK;
  caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "body");
  return EVHTP_RES_ERROR;
}

/* the connection's timer: a caller that is too slow to send */
static void onevent(evhtp_connection_t *conn, short events, void *arg) {
  Callers *C = arg;
  const Caller *c = g_hash_table_lookup(C->byconn, conn);
  if (c != NULL && (c->known || c->ended))
    return; /* words would mix with the answer */
  if ((events & BEV_EVENT_TIMEOUT) && (events & BEV_EVENT_READING))
    caller_send_before_close(conn, MP_ERR_TIMEOUT, NULL);
}

/* closed by the parser, and not by one of the hooks above */
static evhtp_res onclose(evhtp_connection_t *conn, void *arg) {
  Callers *C = arg;
  const Caller *c = g_hash_table_lookup(C->byconn, conn);
  htpparse_error e = htparser_get_error(conn->parser);
  if (c != NULL && (c->known || c->ended))
    return EVHTP_RES_OK;
  if (e != htparse_error_none && e != htparse_error_user)
    caller_send_before_close(conn, MP_ERR_BAD_REQUEST, "not HTTP");
  return EVHTP_RES_OK;
}

/* a new request on a connection whose last one is not answered yet */
static evhtp_res onstart(evhtp_request_t *r, void *arg) {
  Callers *C = arg;
  if (g_hash_table_contains(C->byconn, r->conn))
    return EVHTP_RES_ERROR;
  bufferevent_set_timeouts(evhtp_connection_get_bev(r->conn), &C->timeout,
                           &C->timeout);
  return EVHTP_RES_OK;
}

static evhtp_res onaccept(evhtp_connection_t *c, void *arg) {
  evhtp_connection_set_hook(c, evhtp_hook_on_headers_start,
                            (evhtp_hook)onstart, arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_headers, (evhtp_hook)onheaders,
                            arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_read, (evhtp_hook)onread, arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_event,
                            (evhtp_hook)(void (*)(void))onevent, arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_connection_fini,
                            (evhtp_hook)onclose, arg);
  return EVHTP_RES_OK;
}

/* }================================================================== */

/*
** {==================================================================
** Answers
** ===================================================================
*/

/* headers of a plain endpoint that its caller gets */
static int passed(const char *k) {
  static const char *const not [] = {"Connection", "Content-Length",
                                     "Transfer-Encoding", "Keep-Alive"};
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(not ); i++) {
    if (g_ascii_strcasecmp(k, not [i]) == 0)
      return 0;
  }
  return 1;
}

static void starthead(Caller *c, const mp_Reply *p) {
  c->started = 1;
  if (p->head != NULL) {
    const struct evkeyvalq *q = p->head;
    struct evkeyval *kv;
    TAILQ_FOREACH(kv, q, next) {
      if (passed(kv->key))
        caller_set_header(c->req, kv->key, kv->value);
    }
  } else
    caller_set_header(c->req, "Content-Type", "text/event-stream");
  caller_set_header(c->req, "X-Request-Id", p->id);
  evhtp_send_reply_chunk_start(c->req, (evhtp_res)p->status);
}

static void onhead(Caller *c, const mp_Reply *p) {
  if (c->plain || c->stream)
    starthead(c, p);
}

static void chunk(Caller *c, const char *s, size_t n) {
  struct evbuffer *b = evbuffer_new();
  evbuffer_add(b, s, n);
  evhtp_send_reply_chunk(c->req, b);
  evbuffer_free(b);
}

static void sse(Caller *c, json_t *j) {
  char *s = json_dumps(j, JSON_COMPACT);
  gchar *line = g_strdup_printf("data: %s\n\n", s);
  chunk(c, line, strlen(line));
  g_free(line);
  free(s);
  json_decref(j);
}

static json_t *choice(const Caller *c, const char *s, size_t n, int whole) {
  json_t *t = json_stringn(s, n);
  if (t == NULL)
    t = json_string("");
  if (!c->chat)
    return json_pack("{s:i, s:o}", "index", 0, "text", t);
  return json_pack("{s:i, s:{s:s, s:o}}", "index", 0,
                   whole ? "message" : "delta", "role", "assistant", "content",
                   t);
}

/* a caller that does not read is given up */
static int unread(Caller *c) {
  struct evbuffer *b = bufferevent_get_output(evhtp_request_get_bev(c->req));
  return evbuffer_get_length(b) > MAXUNREAD;
}

static void onpiece(Caller *c, const mp_Reply *p) {
  if (c->plain)
    chunk(c, p->text, p->len);
  else if (c->stream)
    sse(c, json_pack("{s:s, s:[o]}", "object",
                     c->chat ? "chat.completion.chunk" : "text_completion",
                     "choices", choice(c, p->text, p->len, 0)));
  else
    g_string_append_len(c->text, p->text, (gssize)p->len);
  if (unread(c))
    shutdown(c->req->conn->sock, SHUT_RDWR);
}

static json_t *summary(const Caller *c, const mp_Reply *p) {
  char prefill[24];
  char decode[24];
  json_t *j;
  mp_addr_text(p->prefill, prefill);
  mp_addr_text(p->decode, decode);
  j = json_pack("{s:s, s:s, s:{s:i}, s:{s:s, s:s}}", "id", p->id, "object",
                c->chat ? "chat.completion" : "text_completion", "usage",
                "completion_tokens", (int)p->tokens, "madderpier", "prefill",
                prefill, "decode", decode);
  json_object_set(j, "model", json_object_get(c->body.json, "model"));
  return j;
}

static void onend(Caller *c, const mp_Reply *p) {
  json_t *j;
  c->ended = 1;
  if (c->plain) {
    evhtp_send_reply_chunk_end(c->req);
    return;
  }
  j = summary(c, p);
  if (c->stream) {
    sse(c, j);
    chunk(c, "data: [DONE]\n\n", 14);
    evhtp_send_reply_chunk_end(c->req);
    return;
  }
  json_object_set_new(
      j, "choices",
      json_pack("[o]", choice(c, c->text->str, c->text->len, 1)));
  caller_set_header(c->req, "X-Request-Id", p->id);
  caller_send_json(c->req, 200, j);
}

/* an answer that broke off never looks like a whole one */
static void cutoff(Caller *c, const mp_Reply *p) {
  if (c->stream) {
    sse(c, caller_error_body(p->error, p->ran, p->retry_s, NULL, p->id));
    evhtp_send_reply_chunk_end(c->req);
  } else
    /* no last chunk: the caller's HTTP library sees the break */
    shutdown(c->req->conn->sock, SHUT_RDWR);
}

static void onerrorreply(Caller *c, const mp_Reply *p) {
  c->ended = 1;
  if (c->started)
    cutoff(c, p);
  else
    caller_send_error(c->req, p->error, p->ran, p->retry_s, NULL, p->id);
}

void callers_reply(Callers *C, const mp_Reply *p) {
  Caller *c = g_hash_table_lookup(C->open, &p->call);
  if (c == NULL || c->req == NULL)
    return; /* gone; the core hears of it */
  switch (p->what) {
  case MP_REPLY_HEAD:
    onhead(c, p);
    break;
  case MP_REPLY_CHUNK:
    onpiece(c, p);
    break;
  case MP_REPLY_END:
    onend(c, p);
    break;
  case MP_REPLY_ERROR:
    onerrorreply(c, p);
    break;
  }
}

/* }================================================================== */

Callers *callers_new(Node *node, const NodeOptions *o, GError **err) {
  Callers *C = g_new0(Callers, 1);
  char host[24];
  C->node = node;
  C->open =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, freecaller);
  C->byconn = g_hash_table_new(NULL, NULL);
  C->max_body = o->max_body;
  C->max_headers = o->max_headers;
  C->timeout.tv_sec = o->caller_timeout_s;
  C->htp = evhtp_new(node->base, NULL);
  evhtp_set_gencb(C->htp, onrequest, C);
  evhtp_set_post_accept_cb(C->htp, onaccept, C);
  mp_addr_text(o->callers, host);
  *strchr(host, ':') = '\0';
  if (evhtp_bind_socket(C->htp, host, (uint16_t)(o->callers & 0xffff), 1024) !=
      0) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "callers: cannot bind %s:%u; choose a free address of this "
                "instance",
                host, (unsigned)(o->callers & 0xffff));
    callers_free(C);
    return NULL;
  }
  return C;
}

void callers_free(Callers *C) {
  evhtp_unbind_socket(C->htp);
  evhtp_free(C->htp);
  g_hash_table_destroy(C->byconn);
  g_hash_table_destroy(C->open);
  g_free(C);
}
