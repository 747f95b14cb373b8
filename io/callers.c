/*
** callers.c
** Callers: the HTTP server for requests, by libevhtp
**
** A connection carries one request at a time. A second request that arrives
** before the first one is answered closes the connection, so responses are
** never mixed up. On malformed or oversized input libevhtp closes a
** connection without a response; the hooks here send one first, in the same
** JSON as every other error. A Caller exists from the end of its request's
** header until libevhtp frees that request, and is freed there only.
**
** libevhtp closes a connection as soon as the kernel has the response. Bytes
** that arrive at a closed socket, as a next request, make the kernel reset the
** connection and discard what it has not sent yet. So a connection that its
** caller would keep is half-closed instead, and its input is discarded for a
** while (Lingering).
*/

#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/keyvalq_struct.h>
#include <evhtp/evhtp.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "io/adapters.h"
#include "io/caller_bounds.h"
#include "io/caller_errors.h"
#include "io/clock.h"
#include "io/sockets.h"

/* length of the prompt prefix whose hash is used for cache affinity */
#define PREFIX_BYTES 2048
/* bytes of unsent response above which a connection is closed */
#define MAX_UNREAD_BYTES (4 << 20)
/* estimate of a token's length, used until the engine reports the count */
#define BYTES_PER_TOKEN 4
/* limit of output tokens for requests that name none */
#define DEFAULT_MAX_TOKENS 256
/* A half-closed connection is closed when its caller has acknowledged all and
** was silent for this long, as in front_connection.c. */
#define LINGER_TIMEOUT_S 1
/* It is closed after this time in any case, as in front_connection.c. */
#define LINGER_MAX (10 * MP_SEC)
/* A planned stop closes the listening socket when no connection waits to be
** accepted; after this time in any case, because new ones may come all the
** time. */
#define ACCEPT_MAX (1 * MP_SEC)
/* Time after which a connection is accepted again that could not be (us). */
#define ACCEPT_RETRY_TIME (100 * MP_MS)

struct Callers {
  Node *node;
  evhtp_t *htp;
  uint64_t last_call;        /* number of the newest call */
  GHashTable *open;          /* call -> Caller */
  GHashTable *by_connection; /* connection -> its Caller; not owned */
  uint32_t max_body, max_headers;
  struct timeval timeout;
  GHashTable *connections; /* connection -> Connection, owned */
  GHashTable *lingering;   /* set of Lingering, owned */
  GQueue hung_up;          /* numbers of calls, of which the core is yet to be
                           ** told that their callers have disconnected */
  struct event *hangup_event; /* tells it */
  CallerBounds *bounds;
  struct event *accept_timer; /* accepts again after a failure */
  int is_listening;
  mp_Time refusing_since; /* the first callers_stop_accepting */
  int is_draining;        /* a planned stop has begun */
  unsigned cut;           /* as CallersUnsent has it */
  int is_freeing;         /* callers_free ends all connections */
};

typedef struct Connection {
  IntakeConnection intake;
  CallerHold hold;
  int lingers; /* its caller would keep it, but it is closed */
  int is_lost; /* the caller has closed it, or does not read */
} Connection;

/* A half-closed connection, of which libevhtp knows no longer. */
typedef struct Lingering {
  Callers *C;
  evutil_socket_t fd; /* a duplicate of the one that libevhtp has closed */
  struct event *input;
  mp_Time until; /* it is closed then in any case */
} Lingering;

typedef struct Caller {
  Callers *C;
  uint64_t call;
  evhtp_request_t *req; /* NULL once libevhtp has freed it */
  CallBody body;
  char *uri;
  int is_submitted; /* the request was handed to the core */
  int is_stream;    /* the caller wants a streamed response */
  int is_chat;      /* a chat completion, rather than a completion */
  int is_plain;     /* for a plain service, rather than an engine */
  int is_started;   /* the header of the response was sent */
  int is_ended;     /* the whole response was sent */
  GString *text;    /* the response so far, when it is not streamed */
} Caller;

/*
** {==================================================================
** Lifetime of a caller
** ===================================================================
*/

static void feed_hangups(evutil_socket_t fd, short what, void *arg) {
  Callers *C = arg;
  uint64_t *call;
  mp_Event e = {0};
  (void)fd;
  (void)what;
  e.kind = MP_EV_HANGUP;
  while ((call = g_queue_pop_head(&C->hung_up)) != NULL) {
    e.u.hangup = *call;
    g_free(call);
    node_feed(C->node, &e);
  }
}

static void free_caller(void *p) {
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

static void end_request(const Callers *C, const evhtp_connection_t *conn) {
  Connection *connection = g_hash_table_lookup(C->connections, conn);
  if (connection == NULL)
    return;
  intake_end_request(C->node->intake, &connection->intake);
  caller_hold_clear(&connection->hold);
}

/*
** libevhtp frees the request, after its response or because the caller has
** disconnected. The core is told of the latter from the event loop, because
** this may run while effects are performed.
*/
static evhtp_res on_request_freed(evhtp_request_t *r, void *arg) {
  Caller *c = arg;
  Callers *C = c->C;
  struct timeval now = {0, 0};
  g_hash_table_remove(C->by_connection, r->conn);
  end_request(C, r->conn);
  if (g_hash_table_contains(C->connections, r->conn)) /* it is kept */
    bufferevent_enable(evhtp_request_get_bev(r), EV_READ);
  c->req = NULL;
  if (c->is_submitted && !c->is_ended && !C->is_freeing) {
    g_queue_push_tail(&C->hung_up, g_memdup2(&c->call, sizeof c->call));
    event_add(C->hangup_event, &now);
  }
  g_hash_table_remove(C->open, &c->call);
  return EVHTP_RES_OK;
}

const CallBody *callers_body(Callers *C, uint64_t call) {
  const Caller *c = g_hash_table_lookup(C->open, &call);
  return c != NULL ? &c->body : NULL;
}

unsigned callers_count(const Callers *C) {
  return g_hash_table_size(C->open);
}

/* The response ends its connection, although the caller may want to keep it.
 */
static void end_connection(const Callers *C, evhtp_request_t *r) {
  Connection *connection = g_hash_table_lookup(C->connections, r->conn);
  if (connection != NULL && (r->flags & EVHTP_REQ_FLAG_KEEPALIVE))
    connection->lingers = 1;
  evhtp_request_set_keepalive(r, 0);
}

static void end_connection_when_draining(const Caller *c) {
  if (c->C->is_draining)
    end_connection(c->C, c->req);
}

/*
** The response is complete. What the caller sends on stays in the kernel until
** all of it is sent: libevhtp would close the connection for input that it
** rejects, and would discard what is not sent. A caller that disconnects is
** noticed by the write that fails or does not progress.
*/
static void end_response(Caller *c) {
  c->is_ended = 1;
  bufferevent_disable(evhtp_request_get_bev(c->req), EV_READ);
}

/* A response is cut off because its caller does not read on. */
static void count_cut(Callers *C) {
  C->cut += C->is_draining != 0;
}

/* }================================================================== */

/*
** {==================================================================
** Incoming requests
** ===================================================================
*/

static const char *request_header(evhtp_request_t *r, const char *k) {
  return evhtp_header_find(r->headers_in, k);
}

static const char *method_name(evhtp_request_t *r) {
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

/*
** The length in bytes of all texts of a prompt or of chat messages. It also
** adds those texts to the hash 'h' as far as they are within the first
** PREFIX_BYTES; 'length_before' is the length of the texts before this one.
*/
static size_t prompt_length(const json_t *j, XXH3_state_t *h,
                            size_t length_before) {
  size_t n = 0;
  size_t i;
  if (json_is_string(j)) {
    n = json_string_length(j);
    if (length_before < PREFIX_BYTES)
      XXH3_64bits_update(h, json_string_value(j),
                         MIN(n, PREFIX_BYTES - length_before));
    return n;
  }
  for (i = 0; i < json_array_size(j); i++) {
    const json_t *m = json_array_get(j, i);
    const json_t *t = json_is_object(m) ? json_object_get(m, "content") : m;
    n += prompt_length(t, h, length_before + n);
  }
  return n;
}

static void measure_prompt(const json_t *prompt, mp_Call *q) {
  XXH3_state_t *h = XXH3_createState();
  size_t n;
  XXH3_64bits_reset(h);
  n = prompt_length(prompt, h, 0);
  q->prompt_tokens = (uint32_t)(n / BYTES_PER_TOKEN + 1);
  /* a shorter prompt has no prefix: what it could share in a cache is not
  ** worth preferring an endpoint for */
  q->prefix = n >= PREFIX_BYTES ? XXH3_64bits_digest(h) : 0;
  XXH3_freeState(h);
}

/*
** Parses a request for an engine into '*q'. Returns NULL, or the text of what
** is wrong with it.
*/
static const char *parse_engine_request(Caller *c, mp_Call *q) {
  evhtp_request_t *r = c->req;
  size_t n = evbuffer_get_length(r->buffer_in);
  const char *s = (const char *)evbuffer_pullup(r->buffer_in, -1);
  const json_t *prompt;
  const json_t *max;
  c->body.json = n > 0 ? json_loadb(s, n, JSON_REJECT_DUPLICATES, NULL) : NULL;
  if (!json_is_object(c->body.json))
    return "the body must be a JSON object";
  q->model = json_string_value(json_object_get(c->body.json, "model"));
  if (q->model == NULL || strlen(q->model) > MP_NAME_MAX)
    return "'model' must be a string of at most 63 bytes";
  prompt = json_object_get(c->body.json, c->is_chat ? "messages" : "prompt");
  if (c->is_chat ? !json_is_array(prompt) : !json_is_string(prompt))
    return c->is_chat ? "'messages' must be a list"
                      : "'prompt' must be a string";
  max = json_object_get(c->body.json, "max_tokens");
  if (max != NULL &&
      (json_integer_value(max) < 1 || json_integer_value(max) > 1 << 20))
    return "'max_tokens' must be a whole number from 1 to 1048576";
  q->max_tokens =
      max != NULL ? (uint32_t)json_integer_value(max) : DEFAULT_MAX_TOKENS;
  c->is_stream = json_is_true(json_object_get(c->body.json, "stream"));
  measure_prompt(prompt, q);
  return NULL;
}

static void take_plain_request(Caller *c) {
  c->is_plain = 1;
  c->body.raw = evbuffer_new();
  evbuffer_add_buffer(c->body.raw, c->req->buffer_in);
  c->body.content_type = g_strdup(request_header(c->req, "Content-Type"));
}

static const char *bearer_token(evhtp_request_t *r) {
  const char *a = request_header(r, "Authorization");
  if (a == NULL || g_ascii_strncasecmp(a, "Bearer ", 7) != 0)
    return NULL;
  return a + 7;
}

static void begin_request(const Callers *C, evhtp_request_t *r) {
  Connection *connection = g_hash_table_lookup(C->connections, r->conn);
  if (connection != NULL)
    intake_begin_request(C->node->intake, &connection->intake);
  if (intake_is_full(C->node->intake))
    end_connection(C, r);
}

static void add_caller(Callers *C, evhtp_request_t *r) {
  Caller *c = g_new0(Caller, 1);
  const char *path = r->uri->path->full;
  const unsigned char *query = r->uri->query_raw;
  c->C = C;
  c->call = ++C->last_call;
  c->req = r;
  c->text = g_string_new(NULL);
  if (query != NULL && query[0] != '\0')
    c->uri = g_strdup_printf("%s?%s", path, (const char *)query);
  else
    c->uri = g_strdup(path);
  c->body.uri = c->uri;
  c->body.method = g_strdup(method_name(r));
  g_hash_table_insert(C->open, &c->call, c);
  g_hash_table_insert(C->by_connection, r->conn, c);
  begin_request(C, r);
  evhtp_request_set_hook(r, evhtp_hook_on_request_fini,
                         (evhtp_hook)on_request_freed, c);
}

/* The request is complete, so the timeout for reading it ends. */
static void end_read_timeout(Caller *c) {
  bufferevent_set_timeouts(evhtp_request_get_bev(c->req), NULL,
                           &c->C->timeout);
}

static void reject(Caller *c, mp_Error e, const char *detail) {
  end_response(c);
  end_connection_when_draining(c);
  caller_send_error(c->req, e, MP_RAN_NO, mp_error_retry_after_s(e), detail,
                    NULL);
}

static void end_arrival(const Callers *C, const evhtp_connection_t *conn) {
  Connection *connection = g_hash_table_lookup(C->connections, conn);
  if (connection != NULL)
    caller_hold_whole(&connection->hold);
}

static void on_request(evhtp_request_t *r, void *arg) {
  Callers *C = arg;
  Caller *c = g_hash_table_lookup(C->by_connection, r->conn);
  const char *path = r->uri->path->full;
  const char *wrong = NULL;
  mp_Event e = {0};
  mp_Call *q = &e.u.call;
  g_assert(c != NULL); /* added by on_headers */
  end_arrival(C, r->conn);
  if (c->body.method == NULL) {
    reject(c, MP_ERR_METHOD, NULL);
    return;
  }
  c->is_chat = strcmp(path, "/v1/chat/completions") == 0;
  if (c->is_chat || strcmp(path, "/v1/completions") == 0) {
    if (r->method != htp_method_POST) {
      reject(c, MP_ERR_METHOD, "use POST");
      return;
    }
    wrong = parse_engine_request(c, q);
  } else
    take_plain_request(c);
  if (wrong != NULL) {
    reject(c, MP_ERR_BAD_REQUEST, wrong);
    return;
  }
  end_read_timeout(c);
  e.kind = MP_EV_CALL;
  q->call = c->call;
  q->path = path;
  q->bearer = bearer_token(r);
  q->class_name = request_header(r, "X-Request-Class");
  q->key = request_header(r, "Idempotency-Key");
  c->is_submitted = 1;
  node_feed(C->node, &e);
}

/* }================================================================== */

/*
** {==================================================================
** Invalid input, and connections
** ===================================================================
*/

/* how often header fields occur in a request */
typedef struct HeaderCounts {
  unsigned all, length, key, encoding;
} HeaderCounts;

static int count_header(evhtp_kv_t *kv, void *arg) {
  HeaderCounts *s = arg;
  s->all++;
  s->length += g_ascii_strcasecmp(kv->key, "Content-Length") == 0;
  s->key += g_ascii_strcasecmp(kv->key, "Idempotency-Key") == 0;
  s->encoding += g_ascii_strcasecmp(kv->key, "Transfer-Encoding") == 0;
  return 0;
}

static evhtp_res refuse_for_memory(evhtp_request_t *r) {
  caller_send_before_close(r->conn, MP_ERR_OVERLOAD, "callers hold too much");
  return EVHTP_RES_ERROR;
}

/* Bounds a head as it arrives, since it may have no end. */
static evhtp_res on_header(evhtp_request_t *r, evhtp_header_t *field,
                           void *arg) {
  const Callers *C = arg;
  Connection *connection = g_hash_table_lookup(C->connections, r->conn);
  if (connection == NULL)
    return EVHTP_RES_OK;
  if (!caller_hold_field(&connection->hold, field))
    return refuse_for_memory(r);
  if (connection->hold.fields <= C->max_headers)
    return EVHTP_RES_OK;
  caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "too many headers");
  return EVHTP_RES_ERROR;
}

static evhtp_res on_headers(evhtp_request_t *r, evhtp_headers_t *h,
                            void *arg) {
  Callers *C = arg;
  HeaderCounts s = {0};
  const char *len = request_header(r, "Content-Length");
  evhtp_kvs_for_each(h, count_header, &s);
  if (s.all > C->max_headers) {
    caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "too many headers");
    return EVHTP_RES_ERROR;
  }
  if (s.length > 1 || s.key > 1 || s.encoding > 1 ||
      (s.length > 0 && s.encoding > 0)) {
    caller_send_before_close(
        r->conn, MP_ERR_BAD_REQUEST,
        "Content-Length, Transfer-Encoding and Idempotency-Key must not be "
        "repeated, and the first two must not be combined");
    return EVHTP_RES_ERROR;
  }
  if (len != NULL && g_ascii_strtoull(len, NULL, 10) > C->max_body) {
    caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "Content-Length");
    return EVHTP_RES_ERROR;
  }
  if (r->uri == NULL || r->uri->path == NULL || r->uri->path->full == NULL) {
    caller_send_before_close(r->conn, MP_ERR_BAD_REQUEST,
                             "the request has no path");
    return EVHTP_RES_ERROR;
  }
  /* the URI is copied now, because libevhtp later replaces the query by the
  ** body of a form */
  add_caller(C, r);
  return EVHTP_RES_OK;
}

/* Enforces max_body as a body arrives, since it may lack a Content-Length. */
static evhtp_res on_body_data(evhtp_request_t *r, struct evbuffer *b,
                              void *arg) {
  const Callers *C = arg;
  Connection *connection = g_hash_table_lookup(C->connections, r->conn);
  size_t more = evbuffer_get_length(b);
  size_t size = evbuffer_get_length(r->buffer_in) + more;
  if (size > C->max_body) {
    caller_send_before_close(r->conn, MP_ERR_TOO_LARGE, "body");
    return EVHTP_RES_ERROR;
  }
  if (connection != NULL && !caller_hold_body(&connection->hold, size, more))
    return refuse_for_memory(r);
  return EVHTP_RES_OK;
}

/* An event of the connection: answers callers that send too slowly. */
static void on_connection_event(evhtp_connection_t *conn, short events,
                                void *arg) {
  Callers *C = arg;
  const Caller *c = g_hash_table_lookup(C->by_connection, conn);
  Connection *connection = g_hash_table_lookup(C->connections, conn);
  if (connection != NULL)
    connection->is_lost = 1;
  if ((events & BEV_EVENT_TIMEOUT) && (events & BEV_EVENT_WRITING))
    count_cut(C);
  if (c != NULL && (c->is_submitted || c->is_ended))
    return; /* an error here would be mixed into the response */
  if ((events & BEV_EVENT_TIMEOUT) && (events & BEV_EVENT_READING))
    caller_send_before_close(conn, MP_ERR_TIMEOUT, NULL);
}

static void free_lingering(void *p) {
  Lingering *l = p;
  event_free(l->input);
  close(l->fd);
  g_free(l);
}

static void on_lingering_input(evutil_socket_t fd, short what, void *arg) {
  Lingering *l = arg;
  char discarded[4096];
  int has_unread = socket_unacknowledged(fd) > 0;
  int is_kept = (what & EV_READ) ? recv(fd, discarded, sizeof discarded, 0) > 0
                                 : has_unread;
  if (is_kept && clock_now() < l->until)
    return; /* the timeout begins anew */
  if (is_kept && has_unread)
    count_cut(l->C);
  g_hash_table_remove(l->C->lingering, l);
}

/* Half-closes a connection, whose socket libevhtp is about to close. */
static void linger(Callers *C, evutil_socket_t sock) {
  struct timeval t = {LINGER_TIMEOUT_S, 0};
  evutil_socket_t fd = fcntl(sock, F_DUPFD_CLOEXEC, 0);
  Lingering *l;
  if (fd < 0)
    return; /* no descriptor is free: it is closed as any other */
  l = g_new0(Lingering, 1);
  l->C = C;
  l->fd = fd;
  l->until = clock_now() + LINGER_MAX;
  l->input = event_new(C->node->base, fd, EV_READ | EV_PERSIST,
                       on_lingering_input, l);
  event_add(l->input, &t);
  g_hash_table_add(C->lingering, l);
  shutdown(fd, SHUT_WR);
}

/* Answers a connection that the parser closes, rather than a hook above. */
static evhtp_res on_connection_close(evhtp_connection_t *conn, void *arg) {
  Callers *C = arg;
  const Caller *c = g_hash_table_lookup(C->by_connection, conn);
  Connection *connection = g_hash_table_lookup(C->connections, conn);
  htpparse_error e = htparser_get_error(conn->parser);
  if (connection != NULL) {
    intake_remove(C->node->intake, &connection->intake);
    caller_bounds_remove(&connection->hold);
    if (connection->lingers && !connection->is_lost && !C->is_freeing)
      linger(C, conn->sock);
  }
  g_hash_table_remove(C->connections, conn);
  if (c != NULL && (c->is_submitted || c->is_ended))
    return EVHTP_RES_OK;
  if (e != htparse_error_none && e != htparse_error_user)
    caller_send_before_close(conn, MP_ERR_BAD_REQUEST,
                             "the request is not valid HTTP");
  return EVHTP_RES_OK;
}

/* Rejects a request on a connection whose previous one is still open. */
static evhtp_res on_request_start(evhtp_request_t *r, void *arg) {
  Callers *C = arg;
  if (g_hash_table_contains(C->by_connection, r->conn))
    return EVHTP_RES_ERROR;
  bufferevent_set_timeouts(evhtp_connection_get_bev(r->conn), &C->timeout,
                           &C->timeout);
  return EVHTP_RES_OK;
}

/* Returns EVHTP_RES_ERROR for a connection that is to be closed unread. */
static evhtp_res on_accept(evhtp_connection_t *c, void *arg) {
  const Callers *C = arg;
  Connection *connection;
  if (!caller_bounds_make_place(C->bounds, g_hash_table_size(C->lingering)))
    return EVHTP_RES_ERROR;
  connection = g_new0(Connection, 1);
  if (!intake_admit(C->node->intake, &connection->intake)) {
    g_free(connection);
    return EVHTP_RES_ERROR;
  }
  g_hash_table_insert(C->connections, c, connection);
  caller_bounds_add(C->bounds, &connection->hold, c);
  evhtp_connection_set_hook(c, evhtp_hook_on_header, (evhtp_hook)on_header,
                            arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_headers_start,
                            (evhtp_hook)on_request_start, arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_headers, (evhtp_hook)on_headers,
                            arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_read, (evhtp_hook)on_body_data,
                            arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_event,
                            (evhtp_hook)(void (*)(void))on_connection_event,
                            arg);
  evhtp_connection_set_hook(c, evhtp_hook_on_connection_fini,
                            (evhtp_hook)on_connection_close, arg);
  return EVHTP_RES_OK;
}

/* }================================================================== */

/*
** {==================================================================
** Responses
** ===================================================================
*/

/* Is this header field of a plain endpoint's response for the caller? */
static int is_forwarded_header(const char *k) {
  static const char *const not [] = {"Connection", "Content-Length",
                                     "Transfer-Encoding", "Keep-Alive"};
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(not ); i++) {
    if (g_ascii_strcasecmp(k, not [i]) == 0)
      return 0;
  }
  return 1;
}

static void start_response(Caller *c, const mp_Reply *p) {
  c->is_started = 1;
  if (p->head != NULL) {
    const struct evkeyvalq *q = p->head;
    struct evkeyval *kv;
    TAILQ_FOREACH(kv, q, next) {
      if (is_forwarded_header(kv->key))
        caller_set_header(c->req, kv->key, kv->value);
    }
  } else
    caller_set_header(c->req, "Content-Type", "text/event-stream");
  caller_set_header(c->req, "X-Request-Id", p->id);
  evhtp_send_reply_chunk_start(c->req, (evhtp_res)p->status);
}

static void reply_head(Caller *c, const mp_Reply *p) {
  if (c->is_plain || c->is_stream)
    start_response(c, p);
}

static void send_chunk(Caller *c, const char *s, size_t n) {
  struct evbuffer *b = evbuffer_new();
  evbuffer_add(b, s, n);
  evhtp_send_reply_chunk(c->req, b);
  evbuffer_free(b);
}

static void send_event(Caller *c, json_t *j) {
  char *s = json_dumps(j, JSON_COMPACT);
  gchar *line = g_strdup_printf("data: %s\n\n", s);
  send_chunk(c, line, strlen(line));
  g_free(line);
  free(s);
  json_decref(j);
}

static json_t *choice_json(const Caller *c, const char *s, size_t n,
                           int whole) {
  json_t *t = json_stringn(s, n);
  if (t == NULL)
    t = json_string("");
  if (!c->is_chat)
    return json_pack("{s:i, s:o}", "index", 0, "text", t);
  return json_pack("{s:i, s:{s:s, s:o}}", "index", 0,
                   whole ? "message" : "delta", "role", "assistant", "content",
                   t);
}

/* Has the caller left too much of the response unread? */
static int is_too_far_behind(Caller *c) {
  struct evbuffer *b = bufferevent_get_output(evhtp_request_get_bev(c->req));
  return evbuffer_get_length(b) > MAX_UNREAD_BYTES;
}

static void reply_piece(Caller *c, const mp_Reply *p) {
  if (c->is_plain)
    send_chunk(c, p->text, p->len);
  else if (c->is_stream)
    send_event(
        c, json_pack("{s:s, s:[o]}", "object",
                     c->is_chat ? "chat.completion.chunk" : "text_completion",
                     "choices", choice_json(c, p->text, p->len, 0)));
  else
    g_string_append_len(c->text, p->text, (gssize)p->len);
  if (is_too_far_behind(c)) {
    count_cut(c->C);
    shutdown(c->req->conn->sock, SHUT_RDWR);
  }
}

static json_t *summary_json(const Caller *c, const mp_Reply *p) {
  char prefill[24];
  char decode[24];
  json_t *j;
  mp_addr_text(p->prefill, prefill);
  mp_addr_text(p->decode, decode);
  j = json_pack("{s:s, s:s, s:{s:i}, s:{s:s, s:s}}", "id", p->id, "object",
                c->is_chat ? "chat.completion" : "text_completion", "usage",
                "completion_tokens", (int)p->tokens, "madderpier", "prefill",
                prefill, "decode", decode);
  json_object_set(j, "model", json_object_get(c->body.json, "model"));
  return j;
}

static void reply_end(Caller *c, const mp_Reply *p) {
  json_t *j;
  end_response(c);
  if (c->is_plain) {
    evhtp_send_reply_chunk_end(c->req);
    return;
  }
  j = summary_json(c, p);
  if (c->is_stream) {
    send_event(c, j);
    send_chunk(c, "data: [DONE]\n\n", 14);
    evhtp_send_reply_chunk_end(c->req);
    return;
  }
  json_object_set_new(
      j, "choices",
      json_pack("[o]", choice_json(c, c->text->str, c->text->len, 1)));
  caller_set_header(c->req, "X-Request-Id", p->id);
  caller_send_json(c->req, 200, j);
}

/* Ends a response that broke off so that it cannot be taken as complete. */
static void abort_response(Caller *c, const mp_Reply *p) {
  if (c->is_stream) {
    end_response(c);
    send_event(c,
               caller_error_body(p->error, p->ran, p->retry_s, NULL, p->id));
    evhtp_send_reply_chunk_end(c->req);
  } else
    /* without a last chunk, the caller's HTTP library detects the break */
    shutdown(c->req->conn->sock, SHUT_RDWR);
}

static void reply_error(Caller *c, const mp_Reply *p) {
  c->is_ended = 1;
  if (c->is_started)
    abort_response(c, p);
  else {
    end_response(c);
    caller_send_error(c->req, p->error, p->ran, p->retry_s, NULL, p->id);
  }
}

void callers_reply(Callers *C, const mp_Reply *p) {
  Caller *c = g_hash_table_lookup(C->open, &p->call);
  if (c == NULL || c->req == NULL)
    return; /* disconnected; the core is told of it */
  end_connection_when_draining(c);
  switch (p->what) {
  case MP_REPLY_HEAD:
    reply_head(c, p);
    break;
  case MP_REPLY_CHUNK:
    reply_piece(c, p);
    break;
  case MP_REPLY_END:
    reply_end(c, p);
    break;
  case MP_REPLY_ERROR:
    reply_error(c, p);
    break;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Planned stop
** ===================================================================
*/

void callers_drain(Callers *C) {
  C->is_draining = 1;
}

/* Has a request arrived on the connection that is yet to be read, or may the
** first one be under way? */
static int awaits_request(const Callers *C, evhtp_connection_t *conn) {
  const Connection *connection = g_hash_table_lookup(C->connections, conn);
  struct bufferevent *bev = evhtp_connection_get_bev(conn);
  return conn->request == NULL &&
         (evbuffer_get_length(bufferevent_get_input(bev)) > 0 ||
          socket_has_input(conn->sock) ||
          intake_awaits_first_bytes(&connection->intake, clock_now()));
}

/* A connection is not idle while its caller has not acknowledged the last
** response: the next request may be sent before the caller knows that the
** connection ends. */
static int is_idle(const Callers *C, evhtp_connection_t *conn) {
  return conn->request == NULL && !awaits_request(C, conn) &&
         socket_unacknowledged(conn->sock) == 0;
}

static int has_unaccepted(const Callers *C) {
  return C->is_listening &&
         socket_has_unaccepted(evconnlistener_get_fd(C->htp->server));
}

/* Connections that the kernel has made have requests that are to be refused: a
** closed listening socket would reset them. */
static void stop_listening(Callers *C) {
  if (!C->is_listening ||
      (has_unaccepted(C) && clock_now() - C->refusing_since < ACCEPT_MAX))
    return;
  evhtp_unbind_socket(C->htp);
  C->is_listening = 0;
}

void callers_stop_accepting(Callers *C) {
  GList *all = g_hash_table_get_keys(C->connections);
  GList *one;
  if (C->refusing_since == 0)
    C->refusing_since = clock_now();
  stop_listening(C);
  for (one = all; one != NULL; one = one->next) {
    if (is_idle(C, one->data))
      evhtp_connection_free(one->data);
  }
  g_list_free(all);
}

void callers_unsent(const Callers *C, CallersUnsent *unsent) {
  GHashTableIter iterator;
  gpointer key;
  unsent->open = has_unaccepted(C) != 0;
  unsent->sending = g_hash_table_size(C->lingering);
  unsent->bytes = 0;
  unsent->cut = C->cut;
  g_hash_table_iter_init(&iterator, C->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    /* libevhtp frees the request, and with it the Caller, once the whole
    ** response is in the kernel */
    const Caller *c = g_hash_table_lookup(C->by_connection, key);
    evhtp_connection_t *conn = key;
    size_t n = evbuffer_get_length(
        bufferevent_get_output(evhtp_connection_get_bev(conn)));
    if ((c != NULL && !c->is_ended) || awaits_request(C, conn))
      unsent->open++;
    else if (c != NULL || n > 0 || socket_unacknowledged(conn->sock) > 0)
      unsent->sending++;
    unsent->bytes += n;
  }
}

/* }================================================================== */

static void on_accept_timer(evutil_socket_t fd, short what, void *arg) {
  const Callers *C = arg;
  (void)fd;
  (void)what;
  if (C->is_listening)
    evconnlistener_enable(C->htp->server);
}

/* No connection can be accepted, as in front.c. */
static void on_accept_error(struct evconnlistener *listener, void *arg) {
  const Callers *C = ((const evhtp_t *)arg)->arg;
  struct timeval wait = {0, ACCEPT_RETRY_TIME};
  log_numbered(C->node->log, MP_LOG_NOT_ACCEPTED, " error=\"%s\"",
               evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  evconnlistener_disable(listener);
  event_add(C->accept_timer, &wait);
}

static CallerBounds *make_bounds(const Node *node, const NodeOptions *o) {
  CallerBoundsOptions options = {o->memory_bound, o->connections_max,
                                 o->caller_timeout_s * MP_SEC};
  return caller_bounds_new(node->base, &options, node->log);
}

Callers *callers_new(Node *node, const NodeOptions *o, GError **err) {
  Callers *C = g_new0(Callers, 1);
  char host[24];
  C->node = node;
  C->open =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_caller);
  C->by_connection = g_hash_table_new(NULL, NULL);
  C->connections = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  C->lingering = g_hash_table_new_full(NULL, NULL, free_lingering, NULL);
  C->max_body = o->max_body;
  C->max_headers = o->max_headers;
  C->timeout.tv_sec = o->caller_timeout_s;
  g_queue_init(&C->hung_up);
  C->hangup_event = evtimer_new(node->base, feed_hangups, C);
  C->bounds = make_bounds(node, o);
  C->accept_timer = evtimer_new(node->base, on_accept_timer, C);
  C->htp = evhtp_new(node->base, C);
  evhtp_set_gencb(C->htp, on_request, C);
  evhtp_set_post_accept_cb(C->htp, on_accept, C);
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
  evconnlistener_set_error_cb(C->htp->server, on_accept_error);
  C->is_listening = 1;
  return C;
}

/* libevhtp keeps no list of its connections, and does not free them. */
static void free_connections(Callers *C) {
  GList *all = g_hash_table_get_keys(C->connections);
  GList *one;
  C->is_freeing = 1;
  for (one = all; one != NULL; one = one->next)
    evhtp_connection_free(one->data);
  g_list_free(all);
}

void callers_free(Callers *C) {
  if (C->is_listening)
    evhtp_unbind_socket(C->htp);
  free_connections(C);
  g_queue_clear_full(&C->hung_up, g_free);
  event_free(C->hangup_event);
  event_free(C->accept_timer);
  caller_bounds_free(C->bounds);
  evhtp_free(C->htp);
  g_hash_table_destroy(C->by_connection);
  g_hash_table_destroy(C->open);
  g_hash_table_destroy(C->connections);
  g_hash_table_destroy(C->lingering);
  g_free(C);
}
