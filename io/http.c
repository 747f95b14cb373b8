/*
** http.c
** One HTTP call as a client, over evhttp
*/

#include <string.h>

#include "io/http.h"

#define MAXREPLY (16 << 20)
/* seconds; the core gives up long before, this only frees the connection */
#define MAXSILENCE 120

struct HttpCall {
  struct event_base *base;
  struct evhttp_connection *conn;
  struct evhttp_request *req; /* NULL once evhttp has freed it */
  const HttpHooks *hooks;
  void *ud;
  int headed;
  int errored; /* evhttp reported an error after the connection stood */
  int dead;    /* no callback any more */
};

/* never free a connection inside its own callback */
static void freelater(evutil_socket_t fd, short what, void *arg) {
  HttpCall *c = arg;
  (void)fd;
  (void)what;
  if (c->req != NULL)
    evhttp_cancel_request(c->req);
  evhttp_connection_free(c->conn);
  g_free(c);
}

static void release(HttpCall *c) {
  struct timeval now = {0, 0};
  c->dead = 1;
  event_base_once(c->base, -1, EV_TIMEOUT, freelater, c, &now);
}

static int onhead(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  c->headed = 1;
  if (!c->dead && c->hooks->head != NULL)
    c->hooks->head(c->ud, evhttp_request_get_response_code(req),
                   evhttp_request_get_input_headers(req));
  return 0;
}

static void ondata(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  struct evbuffer *b = evhttp_request_get_input_buffer(req);
  size_t n = evbuffer_get_length(b);
  if (c->dead || c->hooks->data == NULL || n == 0)
    return;
  c->hooks->data(c->ud, (const char *)evbuffer_pullup(b, -1), n);
}

static void onerror(enum evhttp_request_error e, void *arg) {
  HttpCall *c = arg;
  (void)e;
  c->errored = 1;
}

static void ondone(struct evhttp_request *req, void *arg) {
  HttpCall *c = arg;
  HttpEnd end = HTTP_END_OK;
  int status = req != NULL ? evhttp_request_get_response_code(req) : 0;
  c->req = NULL; /* evhttp frees it after this */
  if (c->dead)
    return;
  if (c->errored || (status == 0 && c->headed))
    end = HTTP_END_BROKEN;
  else if (status == 0)
    end = HTTP_END_CONNECT;
  release(c);
  c->hooks->end(c->ud, end, status);
}

static void addheaders(struct evkeyvalq *q, mp_Addr to, const HttpHeader *h) {
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
  evhttp_connection_set_max_body_size(c->conn, MAXREPLY);
  evhttp_connection_set_timeout(c->conn, MAXSILENCE);
  c->req = evhttp_request_new(ondone, c);
  evhttp_request_set_header_cb(c->req, onhead);
  evhttp_request_set_chunked_cb(c->req, ondata);
  evhttp_request_set_error_cb(c->req, onerror);
  addheaders(evhttp_request_get_output_headers(c->req), to, headers);
  if (n > 0)
    evbuffer_add(evhttp_request_get_output_buffer(c->req), body, n);
  if (evhttp_make_request(c->conn, c->req, method, uri) != 0) {
    c->req = NULL; /* freed by evhttp */
    release(c);
    return NULL;
  }
  return c;
}

void http_abort(HttpCall *c) {
  if (!c->dead)
    release(c);
}
