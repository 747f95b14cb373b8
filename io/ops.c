/*
** ops.c
** HTTP interface for operators, by evhttp: liveness, readiness, metrics,
** status, and the start of a drain
*/

#include <string.h>

#include <event2/bufferevent.h>
#include <event2/http.h>

#include "conf/conf.h"
#include "io/adapters.h"
#include "io/sockets.h"

/* Largest head and body of a request of an operator (bytes). */
#define REQUEST_HEAD_MAX (16 << 10)
#define REQUEST_BODY_MAX 4096

struct Ops {
  Node *node;
  struct evhttp *http;
  GHashTable *sending; /* set of connections with a reply that the operator has
                       ** not acknowledged, or with a request that was read */
};

static void on_closed(struct evhttp_connection *conn, void *arg) {
  const Ops *O = arg;
  g_hash_table_remove(O->sending, conn);
}

/* Is nothing left to send on a connection, or to reply to? The kernel discards
** what is not acknowledged if the operator sends on after the process has
** ended. */
static gboolean is_acknowledged(gpointer conn, gpointer value, gpointer data) {
  struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
  (void)value;
  (void)data;
  return evbuffer_get_length(bufferevent_get_input(bev)) == 0 &&
         evbuffer_get_length(bufferevent_get_output(bev)) == 0 &&
         socket_unacknowledged(bufferevent_getfd(bev)) == 0;
}

static void reply_text(const Ops *O, struct evhttp_request *r, int status,
                       const char *type, const char *s) {
  struct evhttp_connection *conn = evhttp_request_get_connection(r);
  struct evbuffer *b = evbuffer_new();
  g_hash_table_add(O->sending, conn);
  evhttp_connection_set_closecb(conn, on_closed, (void *)O);
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type",
                    type);
  evbuffer_add(b, s, strlen(s));
  evhttp_send_reply(r, status, NULL, b);
  evbuffer_free(b);
}

static void reply_json(const Ops *O, struct evhttp_request *r, json_t *j) {
  char *s = json_dumps(j, JSON_INDENT(1) | JSON_SORT_KEYS);
  reply_text(O, r, 200, "application/json", s);
  free(s);
  json_decref(j);
}

/* GET /live: answering at all shows that the event loop runs. */
static void on_live(struct evhttp_request *r, void *arg) {
  const Ops *O = arg;
  reply_text(O, r, 200, "text/plain", "live\n");
}

/* GET /ready: 200 when new requests may be sent to this instance, else 503. */
static void on_ready(struct evhttp_request *r, void *arg) {
  const Ops *O = arg;
  mp_Status s;
  mp_status(O->node->state, &s);
  reply_text(O, r, s.ready ? 200 : 503, "text/plain",
             s.ready ? "ready\n" : "not ready\n");
}

/* GET /metrics, in the text format of Prometheus. */
static void on_metrics(struct evhttp_request *r, void *arg) {
  const Ops *O = arg;
  const Intake *intake = O->node->intake;
  GString *g = g_string_new(NULL);
  mp_Status s;
  int i;
  g_string_append_printf(
      g,
      "madderpier_caller_connections_accepted_total %" G_GUINT64_FORMAT "\n"
      "madderpier_caller_connections_closed_unread_total "
      "%" G_GUINT64_FORMAT "\n"
      "madderpier_connection_limit %u\n",
      intake_accepted(intake), intake_closed_unread(intake),
      intake_limit(intake));
  for (i = 0; i < MP_C_COUNT; i++)
    g_string_append_printf(g, "madderpier_%s %" G_GUINT64_FORMAT "\n",
                           mp_counter_name((mp_Counter)i),
                           (guint64)mp_counter(O->node->state, (mp_Counter)i));
  mp_status(O->node->state, &s);
  g_string_append_printf(g,
                         "madderpier_config_version %" G_GUINT64_FORMAT "\n"
                         "madderpier_requests_open %u\n"
                         "madderpier_reservations_kept %u\n"
                         "madderpier_claims_kept %u\n"
                         "madderpier_instances %u\n",
                         (guint64)s.config_version, s.requests, s.holds,
                         s.claims, s.members);
  reply_text(O, r, 200, "text/plain", g->str);
  g_string_free(g, TRUE);
}

static json_t *endpoints_json(const mp_State *state) {
  json_t *a = json_array();
  mp_EndpointInfo e;
  char addr[24];
  char keeper[24];
  unsigned i;
  for (i = 0; mp_endpoint(state, i, &e); i++) {
    mp_addr_text(e.addr, addr);
    mp_addr_text(e.keeper, keeper);
    json_array_append_new(
        a, json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b, s:b, "
                     "s:b, s:s}",
                     "name", e.name, "address", addr, "data_centre", e.dc,
                     "service", e.service, "role", mp_role_name(e.role),
                     "slots", (int)e.slots, "used", (int)e.used, "wait_ms",
                     (int)e.wait_ms, "leaving", e.leaving, "down", e.down,
                     "ejected", e.ejected, "keeper", keeper));
  }
  return a;
}

static json_t *members_json(const mp_State *state) {
  static const char *const states[] = {"alive", "suspect", "leaving", "dead"};
  json_t *a = json_array();
  mp_MemberInfo m;
  char addr[24];
  unsigned i;
  for (i = 0; mp_member(state, i, &m); i++) {
    mp_addr_text(m.addr, addr);
    json_array_append_new(a,
                          json_pack("{s:s, s:s, s:I}", "address", addr,
                                    "state", states[m.state], "config_version",
                                    (json_int_t)m.config_version));
  }
  return a;
}

/* GET /status: the instance, the other instances and the endpoints as JSON. */
static void on_status(struct evhttp_request *r, void *arg) {
  const Ops *O = arg;
  mp_Status s;
  mp_status(O->node->state, &s);
  reply_json(O, r,
             json_pack("{s:I, s:I, s:i, s:i, s:b, s:b, s:o, s:o}",
                       "config_version", (json_int_t)s.config_version,
                       "list_version", (json_int_t)s.list_version, "requests",
                       (int)s.requests, "reservations", (int)s.holds,
                       "draining", s.draining, "ready", s.ready, "instances",
                       members_json(O->node->state), "endpoints",
                       endpoints_json(O->node->state)));
}

/* POST /drain: begins a planned stop. */
static void on_drain(struct evhttp_request *r, void *arg) {
  Ops *O = arg;
  mp_Event e = {0};
  if (evhttp_request_get_command(r) != EVHTTP_REQ_POST) {
    reply_text(O, r, 405, "text/plain", "use POST\n");
    return;
  }
  e.kind = MP_EV_DRAIN;
  node_feed(O->node, &e);
  reply_text(O, r, 202, "text/plain", "draining\n");
}

static void on_unknown_path(struct evhttp_request *r, void *arg) {
  const Ops *O = arg;
  reply_text(O, r, 404, "text/plain",
             "use /live, /ready, /metrics, /status or POST /drain\n");
}

Ops *ops_new(Node *node, mp_Addr at, GError **err) {
  Ops *O = g_new0(Ops, 1);
  char host[24];
  O->node = node;
  O->http = evhttp_new(node->base);
  O->sending = g_hash_table_new(NULL, NULL);
  mp_addr_text(at, host);
  *strchr(host, ':') = '\0';
  if (evhttp_bind_socket(O->http, host, (uint16_t)(at & 0xffff)) != 0) {
    g_set_error(err, MP_ERROR, MP_ERR_SETTINGS,
                "operators: cannot bind %s:%u; choose a free address of this "
                "instance",
                host, (unsigned)(at & 0xffff));
    ops_free(O);
    return NULL;
  }
  evhttp_set_max_headers_size(O->http, REQUEST_HEAD_MAX);
  evhttp_set_max_body_size(O->http, REQUEST_BODY_MAX);
  evhttp_set_timeout(O->http, 10);
  evhttp_set_cb(O->http, "/live", on_live, O);
  evhttp_set_cb(O->http, "/ready", on_ready, O);
  evhttp_set_cb(O->http, "/metrics", on_metrics, O);
  evhttp_set_cb(O->http, "/status", on_status, O);
  evhttp_set_cb(O->http, "/drain", on_drain, O);
  evhttp_set_gencb(O->http, on_unknown_path, O);
  return O;
}

unsigned ops_sending(const Ops *O) {
  g_hash_table_foreach_remove(O->sending, is_acknowledged, NULL);
  return g_hash_table_size(O->sending);
}

void ops_free(Ops *O) {
  evhttp_free(O->http); /* calls on_closed */
  g_hash_table_destroy(O->sending);
  g_free(O);
}
