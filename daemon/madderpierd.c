/*
** madderpierd.c
** The daemon: runs one instance from a settings file
**
** Exit codes: 0 stopped after all work had ended and every reply was sent,
** 1 stopped with work aborted or a reply cut off, 2 invalid settings or
** addresses that cannot be used.
*/

#include <argp.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#include "daemon/settings.h"
#include "io/adapters.h"
#include "io/front.h"
#include "io/gateway.h"
#include "io/node.h"
#include "io/stop_signals.h"
#include "platform/platform.h"

#define EXIT_ABORTED 1
#define EXIT_SETTINGS 2

const char *argp_program_version = "madderpierd " MP_VERSION;

static const struct argp_option options[] = {
    {"check", 'c', NULL, 0, "Check the settings file and exit", 0}, {0}};

typedef struct Args {
  const char *path;
  int check;
} Args;

static error_t parse(int key, char *arg, struct argp_state *state) {
  Args *a = state->input;
  switch (key) {
  case 'c':
    a->check = 1;
    return 0;
  case ARGP_KEY_ARG:
    if (a->path != NULL)
      argp_usage(state);
    a->path = arg;
    return 0;
  case ARGP_KEY_END:
    if (a->path == NULL)
      argp_usage(state);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static const struct argp argp = {
    options,
    parse,
    "SETTINGS.yaml",
    "Run one entry instance of madderpier.\v"
    "SIGTERM and SIGINT drain: the instance accepts no new work, finishes "
    "all work in flight, sends the last replies and exits with 0. With the "
    "dialect 'own', a second signal stops it at once; with 'platform', the "
    "drain ends after drain_most_ms. Either exits with 1 if it aborted work "
    "or cut a reply off. SIGHUP reopens the log file.",
    NULL,
    NULL,
    NULL};

static Node *node;       /* set with the dialect "own" */
static Gateway *gateway; /* set with the dialect "platform" */
static Log *logger;

static void on_terminate(void *data, mp_Time at) {
  mp_Status s;
  (void)data;
  if (gateway != NULL) {
    gateway_drain(gateway, at);
    return;
  }
  mp_status(node->state, &s);
  if (s.draining)
    node_stop_now(node);
  else {
    mp_Event e = {0};
    e.kind = MP_EV_DRAIN;
    node_feed(node, &e);
  }
}

static void on_hangup(evutil_socket_t sig, short what, void *arg) {
  (void)sig;
  (void)what;
  (void)arg;
  log_reopen(logger);
  if (gateway != NULL)
    gateway_reload(gateway);
}

#define BYTES_PER_MB 1048576

/* bytes that connections of callers may hold; 0: not bounded */
static uint64_t memory_bound(const Settings *s) {
  return (uint64_t)(s->memory_share * s->memory_mb * BYTES_PER_MB);
}

/* how many connections callers may have */
static unsigned connections_max(const Settings *s) {
  struct rlimit limit;
  unsigned descriptors = s->max_descriptors;
  uint64_t memory =
      s->memory_share > 0 ? (uint64_t)s->memory_mb * BYTES_PER_MB : 0;
  if (s->max_connections > 0)
    return s->max_connections;
  if (descriptors == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0)
    descriptors = (unsigned)MIN(limit.rlim_cur, G_MAXINT);
  return front_places(descriptors, memory);
}

static void set_node_options(NodeOptions *o, const Settings *s,
                             mp_Addr *seeds) {
  unsigned i;
  o->dc = s->data_centre;
  o->callers = mp_addr_parse(s->callers);
  o->rpc = mp_addr_parse(s->rpc);
  o->ops = mp_addr_parse(s->operators);
  o->platform = mp_addr_parse(s->platform);
  for (i = 0; i < s->peers_count; i++)
    seeds[i] = mp_addr_parse(s->peers[i]);
  o->seeds = seeds;
  o->nseed = s->peers_count;
  if (s->instance_network != NULL)
    settings_network(s->instance_network, &o->net, &o->mask);
  o->max_body = s->max_body_bytes;
  o->max_headers = s->max_headers;
  o->caller_timeout_s = s->caller_timeout_s;
  o->memory_bound = memory_bound(s);
  o->connections_max = connections_max(s);
}

/* runs until the instance stops; returns the exit code */
static int run_loop(struct event_base *base) {
  StopSignals *stop = stop_signals_new(base, on_terminate, NULL);
  struct event *hup = evsignal_new(base, SIGHUP, on_hangup, NULL);
  if (stop == NULL) {
    fprintf(stderr, "madderpierd: signals: %s\n", strerror(errno));
    event_free(hup);
    return EXIT_ABORTED;
  }
  event_add(hup, NULL);
  event_base_dispatch(base);
  stop_signals_free(stop);
  event_free(hup);
  if (gateway != NULL)
    return gateway_is_drained(gateway) ? 0 : EXIT_ABORTED;
  return node->is_clean ? 0 : EXIT_ABORTED;
}

static mp_Addr optional_address(const char *s) {
  return s != NULL ? mp_addr_parse(s) : 0;
}

/* units of InstanceRecord.capacity: one is a thousandth of a core, and ten are
** counted for a megabit per second of the link */
#define MILLICORES 1000
#define MILLICORES_PER_MBPS 10

/* the smaller of the two capacities that are known; 0: none is */
static guint32 capacity_of(const Settings *s) {
  double processor = s->processor_share * MILLICORES;
  double link = s->link_mbps * MILLICORES_PER_MBPS;
  if (link <= 0)
    return (guint32)processor;
  return (guint32)(processor > 0 ? MIN(processor, link) : link);
}

static void set_gateway_options(GatewayOptions *o, const Settings *s,
                                mp_Addr *peers) {
  unsigned i;
  for (i = 0; i < s->peers_count; i++)
    peers[i] = mp_addr_parse(s->peers[i]);
  o->instance = s->instance;
  o->zone = s->data_centre;
  o->capacity = capacity_of(s);
  o->callers = mp_addr_parse(s->callers);
  o->ready = optional_address(s->ready);
  o->control = optional_address(s->control);
  o->metrics = optional_address(s->metrics);
  o->exchange = mp_addr_parse(s->exchange);
  o->store = mp_addr_parse(s->platform);
  o->peers = peers;
  o->peers_count = s->peers_count;
  o->retry_ratio = s->retry_ratio;
  o->retry_slack = s->retry_slack;
  o->retry_window = s->retry_window_s * MP_SEC;
  o->watch_wait = s->watch_wait_ms * MP_MS;
  o->propagation_max = MIN(s->apply_ms, s->leave_ms) * MP_MS;
  o->lease_length = s->lease_ms * MP_MS;
  o->revoke_within = s->revoke_ms * MP_MS;
  o->unread_bound = memory_bound(s);
  o->request_timeout = s->request_timeout_s * MP_SEC;
  o->connections_max = connections_max(s);
  o->overload_control = s->overload_control;
  o->limits.share = s->limit_over;
  o->limits.slack = s->limit_slack;
  o->limits.window = s->limit_window_s * MP_SEC;
  o->drain_least = s->drain_least_ms * MP_MS;
  o->drain_most = s->drain_most_ms * MP_MS;
}

/* creates the node or the gateway, by the settings' dialect */
static gboolean create_instance(struct event_base *base, const Settings *s,
                                GError **err) {
  mp_Addr peers[64];
  NodeOptions o = {0};
  GatewayOptions g = {0};
  if (settings_dialect(s) == DIALECT_PLATFORM) {
    set_gateway_options(&g, s, peers);
    gateway = gateway_new(base, &platform_dialect, &g, logger, err);
    return gateway != NULL;
  }
  set_node_options(&o, s, peers);
  node = node_new(base, &o, logger, err);
  return node != NULL;
}

static int run(const Settings *s) {
  GError *err = NULL;
  mp_Level level = MP_INFO;
  struct event_base *base;
  int code;
  if (s->log_level != NULL && !log_level(s->log_level, &level)) {
    fprintf(stderr, "madderpierd: log_level: use debug, info, warn or "
                    "fault\n");
    return EXIT_SETTINGS;
  }
  logger = log_new(s->log_file, level, &err);
  base = event_base_new();
  if (logger == NULL || !create_instance(base, s, &err)) {
    fprintf(stderr, "madderpierd: %s\n", err->message);
    g_error_free(err);
    return EXIT_SETTINGS;
  }
  code = run_loop(base);
  if (gateway != NULL)
    gateway_free(gateway);
  else
    node_free(node);
  event_base_loop(base, EVLOOP_NONBLOCK); /* runs deferred frees */
  event_base_free(base);
  log_free(logger);
  return code;
}

int main(int argc, char **argv) {
  Args a = {0};
  GError *err = NULL;
  Settings *s;
  int code = 0;
  signal(SIGHUP, SIG_IGN); /* until run_loop handles it */
  argp_parse(&argp, argc, argv, 0, NULL, &a);
  signal(SIGPIPE, SIG_IGN);
  s = settings_read(a.path, &err);
  if (s == NULL) {
    fprintf(stderr, "madderpierd: %s\n", err->message);
    g_error_free(err);
    return EXIT_SETTINGS;
  }
  if (!a.check)
    code = run(s);
  else
    printf("%s: settings are valid\n", a.path);
  settings_free(s);
  return code;
}
