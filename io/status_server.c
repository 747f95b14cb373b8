/*
** status_server.c
** HTTP server for queries about an instance, by evhttp
*/

#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "io/status_server.h"
#include "io/news_codec.h"

/* Largest head and body of a query (bytes). Queries have no body; evhttp would
** take in whatever comes. */
#define QUERY_HEAD_MAX (16 << 10)
#define QUERY_BODY_MAX 4096

struct StatusServer {
  struct event_base *base;
  StatusServerHooks hooks;
  Log *log;
  struct evhttp *ready, *control, *metrics;
};

static void reply_bytes(struct evhttp_request *request, int status,
                        const char *type, const void *bytes, gsize size) {
  struct evbuffer *body = evbuffer_new();
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    type);
  evbuffer_add(body, bytes, size);
  evhttp_send_reply(request, status, NULL, body);
  evbuffer_free(body);
}

static void reply(struct evhttp_request *request, int status, const char *type,
                  const char *text) {
  reply_bytes(request, status, type, text, strlen(text));
}

/* GET /readyz */
static void on_ready(struct evhttp_request *request, void *data) {
  const StatusServer *server = data;
  gboolean ready = server->hooks.ready(server->hooks.data);
  reply(request, ready ? 200 : 503, "text/plain",
        ready ? "ready\n" : "not ready\n");
}

/* GET /metrics */
static void on_metrics(struct evhttp_request *request, void *data) {
  const StatusServer *server = data;
  GString *text = server->hooks.metrics(server->hooks.data);
  reply(request, 200, "text/plain; version=0.0.4", text->str);
  g_string_free(text, TRUE);
}

/* GET NEWS_PATH: the copy of the store's objects, for other instances. */
static void on_news(struct evhttp_request *request, void *data) {
  const StatusServer *server = data;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
  NewsQuery query;
  StoreReply known;
  GBytes *body;
  if (!news_read_query(evhttp_uri_get_query(uri), &query)) {
    reply(request, HTTP_BADREQUEST, "text/plain",
          "ask for kind=0, 1, 2 or 3, and since=REVISION or full=1\n");
    return;
  }
  server->hooks.news(server->hooks.data, &query, &known);
  body = news_write_reply(&known);
  reply_bytes(request, news_reply_status(&known), "application/json",
              g_bytes_get_data(body, NULL), g_bytes_get_size(body));
  store_reply_clear(&known);
  g_bytes_unref(body);
}

/*
** Starts a server for one path. Returns NULL when the address is 0, and NULL
** with an error when it cannot be bound.
*/
static struct evhttp *serve(StatusServer *server, mp_Addr address,
                            const char *path,
                            void (*handler)(struct evhttp_request *, void *),
                            GError **error) {
  struct evhttp *http;
  char host[24];
  if (address == 0)
    return NULL;
  http = evhttp_new(server->base);
  evhttp_set_max_headers_size(http, QUERY_HEAD_MAX);
  evhttp_set_max_body_size(http, QUERY_BODY_MAX);
  evhttp_set_cb(http, path, handler, server);
  mp_addr_text(address, host);
  *strchr(host, ':') = '\0';
  if (evhttp_bind_socket(http, host, (uint16_t)(address & 0xffff)) == 0)
    return http;
  evhttp_free(http);
  g_set_error(error, MP_ERROR, MP_ERR_SETTINGS,
              "%s: cannot bind %s:%u; choose a free address of this instance",
              path, host, (unsigned)(address & 0xffff));
  return NULL;
}

/* Serves metrics. A failure is logged, since the instance can run without. */
static void serve_metrics(StatusServer *server, mp_Addr address) {
  GError *failed = NULL;
  server->metrics = serve(server, address, "/metrics", on_metrics, &failed);
  if (failed == NULL)
    return;
  log_numbered(server->log, MP_LOG_NO_METRICS, " error=\"%s\"",
               failed->message);
  g_error_free(failed);
}

static gboolean serve_all(StatusServer *server,
                          const StatusServerOptions *options, GError **error) {
  GError *failed = NULL;
  server->ready = serve(server, options->ready, "/readyz", on_ready, &failed);
  if (failed == NULL)
    server->control =
        serve(server, options->control, NEWS_PATH, on_news, &failed);
  if (failed == NULL) {
    serve_metrics(server, options->metrics);
    return TRUE;
  }
  g_propagate_error(error, failed);
  return FALSE;
}

StatusServer *status_server_new(struct event_base *base,
                                const StatusServerOptions *options,
                                const StatusServerHooks *hooks, Log *log,
                                GError **error) {
  StatusServer *server = g_new0(StatusServer, 1);
  server->base = base;
  server->hooks = *hooks;
  server->log = log;
  if (serve_all(server, options, error))
    return server;
  status_server_free(server);
  return NULL;
}

static void stop_serving(struct evhttp *http) {
  if (http != NULL)
    evhttp_free(http);
}

void status_server_free(StatusServer *server) {
  stop_serving(server->ready);
  stop_serving(server->control);
  stop_serving(server->metrics);
  g_free(server);
}
