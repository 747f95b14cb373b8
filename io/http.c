/*
** http.c
** One HTTP call as a client, over evhttp
*/

#include <string.h>
#include <sys/queue.h>

#include "io/http.h"

#include <event2/http_struct.h> /* needs event2/http.h */

#define MAX_REPLY_BYTES (16 << 20)
/* evhttp has no limit of its own; http_parser, which reads the other responses
** (http/reader.c), ends a head at as many bytes. */
#define MAX_HEAD_BYTES (80 << 10)
/*
** Seconds without any data after which the connection is freed. The core
** abandons a call long before.
*/
#define IDLE_TIMEOUT_S 120

struct HttpCall {
  struct event_base *base;
  struct evhttp_connection *conn;
  struct evhttp_request *req; /* NULL once evhttp has freed it */
  const HttpHooks *hooks;
  void *ud;
  int has_head;  /* the header of the response was received */
  int has_error; /* evhttp reported an error on an established connection */
  int is_making; /* http_call has not returned yet */
  int is_failed; /* evhttp ended the call while it was made */
  int is_ended;  /* no callback is called any more */
};

/* Frees a call from the event loop: evhttp forbids it in its callbacks. */
static void free_call(evutil_socket_t fd, short what, void *arg) {
  HttpCall *c = arg;
  (void)fd;
  (void)what;
  if (c->req != NULL)
    evhttp_cancel_request(c->req);
  evhttp_connection_free(c->conn);
  g_free(c);
}

static void free_call_later(HttpCall *c) {
  struct timeval now = {0, 0};
  c->is_ended = 1;
  event_base_once(c->base, -1, EV_TIMEOUT, free_call, c, &now);
}

/*
** Does the head say where the body ends, in a way that is known here? evhttp
** reads a body of another transfer coding than "chunked" by its Content-Length
** or up to the close, and takes the first of several lengths. HTTP/1.0 has no
** transfer codings (RFC 9112, 6.1 and 6.3).
*/
static int is_framing_known(struct evhttp_request *req) {
  const struct evkeyvalq *q = evhttp_request_get_input_headers(req);
  const struct evkeyval *kv;
  unsigned lengths = 0;
  unsigned codings = 0;
  TAILQ_FOREACH(kv, q, next) {
    if (g_ascii_strcasecmp(kv->key, "Content-Length") == 0)
      lengths++;
    else if (g_ascii_strcasecmp(kv->key, "Transfer-Encoding") == 0) {
      codings++;
      if (g_ascii_strcasecmp(kv->value, "chunked") != 0 || req->major != 1 ||
          req->minor < 1)
        return 0;
    }
  }
  return lengths + codings <= 1;
}

/* evhttp calls this for interim responses too. It waits for the response to
** follow one of status 100, and ends the call at any other. */
static int on_head(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  int status = evhttp_request_get_response_code(req);
  if (status == 100)
    return 0;
  if (status < 200 || status > 599 || !is_framing_known(req))
    return -1; /* the call ends with an error */
  c->has_head = 1;
  if (!c->is_ended && c->hooks->head != NULL)
    c->hooks->head(c->ud, status, evhttp_request_get_input_headers(req));
  return 0;
}

static void on_data(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  struct evbuffer *b = evhttp_request_get_input_buffer(req);
  size_t n = evbuffer_get_length(b);
  if (c->is_ended || c->hooks->data == NULL || n == 0)
    return;
  c->hooks->data(c->ud, (const char *)evbuffer_pullup(b, -1), n);
}

static void on_error(enum evhttp_request_error e, void *arg) {
  HttpCall *c = arg;
  (void)e;
  c->has_error = 1;
}

static void on_done(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  HttpEnd end = HTTP_END_OK;
  int status = req != NULL ? evhttp_request_get_response_code(req) : 0;
  c->req = NULL; /* evhttp frees it after this */
  if (c->is_making)
    c->is_failed = 1;
  if (c->is_ended || c->is_making)
    return;
  if (c->has_error || (status == 0 && c->has_head))
    end = HTTP_END_BROKEN;
  else if (status == 0)
    end = HTTP_END_CONNECT;
  free_call_later(c);
  c->hooks->end(c->ud, end, status);
}

static void add_headers(struct evkeyvalq *q, mp_Addr to, const HttpHeader *h) {
  char host[24];
  mp_addr_text(to, host);
  evhttp_add_header(q, "Host", host);
  evhttp_add_header(q, "Connection", "close");
  for (; h != NULL && h->name != NULL; h++)
    evhttp_add_header(q, h->name, h->value);
}

HttpCall *http_call(struct event_base *base, mp_Addr to,
                    enum evhttp_cmd_type method, const char *uri,
                    const HttpHeader *headers, const char *body, size_t n,
                    const HttpHooks *hooks, void *ud) {
  HttpCall *c = g_new0(HttpCall, 1);
  char host[24];
  mp_addr_text(to, host);
  *strchr(host, ':') = '\0';
  c->base = base;
  c->hooks = hooks;
  c->ud = ud;
  c->conn =
      evhttp_connection_base_new(base, NULL, host, (uint16_t)(to & 0xffff));
  evhttp_connection_set_max_body_size(c->conn, MAX_REPLY_BYTES);
  evhttp_connection_set_max_headers_size(c->conn, MAX_HEAD_BYTES);
  evhttp_connection_set_timeout(c->conn, IDLE_TIMEOUT_S);
  c->req = evhttp_request_new(on_done, c);
  evhttp_request_set_header_cb(c->req, on_head);
  evhttp_request_set_chunked_cb(c->req, on_data);
  evhttp_request_set_error_cb(c->req, on_error);
  add_headers(evhttp_request_get_output_headers(c->req), to, headers);
  if (n > 0)
    evbuffer_add(evhttp_request_get_output_buffer(c->req), body, n);
  /* evhttp ends a call at once for which it gets no socket */
  c->is_making = 1;
  c->is_failed |= evhttp_make_request(c->conn, c->req, method, uri) != 0;
  c->is_making = 0;
  if (c->is_failed) {
    c->req = NULL; /* freed by evhttp */
    free_call_later(c);
    return NULL;
  }
  return c;
}

void http_abort(HttpCall *c) {
  if (!c->is_ended)
    free_call_later(c);
}
