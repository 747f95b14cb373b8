/*
** gateway.c
** One instance for an external protocol: connects the router to the adapters
** that do its input and output
*/

#include <string.h>

#include "http/content.h"
#include "io/carry_server.h"
#include "io/directory.h"
#include "io/status_server.h"
#include "io/endpoint_links.h"
#include "io/front.h"
#include "io/gateway.h"
#include "io/lease_reply.h"
#include "io/load_exchange.h"
#include "io/metrics.h"
#include "io/planned_stop.h"
#include "io/clock.h"
#include "io/standstill.h"
#include "io/origin_links.h"
#include "io/quarantine_writer.h"
#include "io/software_set_writer.h"
#include "io/relays.h"
#include "io/store_link.h"

/* how often a drain checks whether it has ended */
#define DRAIN_POLL_INTERVAL (50 * MP_MS)
/* how long the store may stay silent in a call about the lease on changing the
** stages of engines (router/lease.h) */
#define LEASE_CALL_TIMEOUT (800 * MP_MS)
/* A request with a key is accepted only while the configuration is younger
** than revoke_within less this margin. 1 s of it is for a watch of the store,
** which may receive no changes for that long before the store discards its
** history. 0.1 s is the time that a request may take to reach its endpoint. */
#define REVOKE_MARGIN (1100 * MP_MS)
/* lower limit of that age, for short values of revoke_within */
#define REVOKE_BOUND_MIN (500 * MP_MS)
/* The longest wait of a watch of the configuration is revoke_within divided by
** this. An instance that is cut off from the store must go on to accept keys
** for 0.6 of revoke_within. The time at which its configuration was last
** proved current, by the end of a watch, may already be one such wait ago. */
#define WATCHES_PER_REVOKE 6
/* Minimum time between two trims of idle connections to endpoints, which limit
** their connections and may need them for other instances. A trim follows a
** load digest of another instance; digests arrive more often than this. */
#define TRIM_INTERVAL_MIN (100 * MP_MS)
/* With flow control, a dispatch is broken off when its endpoint takes nothing
** of its body for this long (us). Endpoints pause for 1 s or 2 s when they are
** stopped and continued; callers wait 14 s, which leaves time for a retry. */
#define BODY_TIMEOUT (5 * MP_SEC)
/* longest time between two calls of router_tick() */
#define MAX_TICK_WAIT (1 * MP_SEC)

struct Gateway {
  struct event_base *base;
  const Dialect *dialect;
  Log *log;
  Router *router;
  Front *front;
  EndpointLinks *links;
  CarryServer *carrying; /* for instances that lost their paths to endpoints */
  Directory *directory;
  LoadExchange *exchange;
  RelayGroup *group; /* knows which instances watch the store for others */
  Relays *relays;
  StoreLink *lease_link; /* calls to the store about the lease */
  QuarantineWriter *quarantine;
  OriginLinks *origins; /* calls to the store about streams */
  SoftwareSetWriter *software_sets;
  StatusServer *status_server;
  Standstill *standstill;
  struct event *tick;
  struct event *drain_timer;
  gint64 trim_at; /* earliest time of the next trim of idle connections */
  PlannedStop stop;
  guint64 cut_before;           /* front_responses_cut when the drain began */
  guint64 closed_unread_before; /* intake_closed_unread then */
  guint ended_requests; /* those that the end of a drain left no time for */
  gboolean is_drained;  /* a drain has ended and cut nothing off */
  gboolean was_ready;   /* the last answer to a readiness check */
};

/*
** Has the load exchange and the writers send what has changed, and starts the
** timer for the router's next tick. It runs after every event that may have
** changed the router.
*/
static void schedule_tick(Gateway *gateway) {
  gint64 wait = router_next_tick(gateway->router) - clock_now();
  struct timeval time;
  load_exchange_send_changes(gateway->exchange);
  quarantine_writer_poll(gateway->quarantine);
  origin_links_poll(gateway->origins);
  software_set_writer_poll(gateway->software_sets);
  wait = CLAMP(wait, 0, MAX_TICK_WAIT);
  time.tv_sec = wait / MP_SEC;
  time.tv_usec = wait % MP_SEC;
  event_add(gateway->tick, &time);
}

static void on_tick(evutil_socket_t fd, short what, void *data) {
  Gateway *gateway = data;
  (void)fd;
  (void)what;
  router_tick(gateway->router, standstill_check(gateway->standstill));
  schedule_tick(gateway);
}

/*
** {==================================================================
** Effects that the router requests (RouterHost)
** ===================================================================
*/

static void host_dispatch(void *data, const Dispatch *dispatch) {
  Gateway *gateway = data;
  endpoint_links_send(gateway->links, dispatch,
                      front_request_head(gateway->front, dispatch->request),
                      front_request_body(gateway->front, dispatch->request));
}

static void host_cancel(void *data, guint64 dispatch) {
  Gateway *gateway = data;
  endpoint_links_cancel(gateway->links, dispatch);
}

static void host_answer(void *data, guint64 request, const Outcome *outcome) {
  Gateway *gateway = data;
  const EndpointResponse *answer = outcome->payload;
  switch (outcome->kind) {
  case OUTCOME_STREAM_HEAD:
    front_begin_response(gateway->front, request, answer->head);
    break;
  case OUTCOME_STREAM_PIECE:
    front_send_piece(gateway->front, request, answer->bytes, answer->size);
    break;
  case OUTCOME_STREAM_END:
    front_end_response(gateway->front, request);
    break;
  default:
    front_send_response(gateway->front, request, answer->head, answer->bytes,
                        answer->size);
  }
}

static void host_refuse(void *data, guint64 request, const Refusal *refusal) {
  Gateway *gateway = data;
  const HttpHead *caller = front_request_head(gateway->front, request);
  CallerHead parsed;
  char *body = NULL;
  HttpHead *head;
  if (caller == NULL)
    return; /* the caller has disconnected */
  if (!gateway->dialect->read_caller(caller, &parsed, NULL))
    return; /* does not happen: on_request() has parsed the same head */
  head = gateway->dialect->write_refusal(refusal, parsed.request.id, &body);
  front_send_response(gateway->front, request, head, body, strlen(body));
  caller_head_clear(&parsed);
  http_head_free(head);
  g_free(body);
}

static void host_break_off(void *data, guint64 request) {
  Gateway *gateway = data;
  front_abort_response(gateway->front, request);
}

static void host_log(void *data, mp_EventNo number, const char *fields) {
  const Gateway *gateway = data;
  log_numbered(gateway->log, number, "%s", fields);
}

static void host_note(void *data, guint32 endpoint, guint32 tokens) {
  Gateway *gateway = data;
  load_exchange_send_note(gateway->exchange, endpoint, tokens);
}

static void host_message(void *data, mp_Addr to, const mp_Msg *message) {
  const Gateway *gateway = data;
  load_exchange_send(gateway->exchange, to, message);
}

static void host_hold(void *data, guint64 request, gboolean holds) {
  Gateway *gateway = data;
  front_hold_response(gateway->front, request, holds);
}

static void host_lease_call(void *data, const StoreCall *call) {
  Gateway *gateway = data;
  store_link_call(gateway->lease_link, call, LEASE_CALL_TIMEOUT);
}

/* }================================================================== */

/*
** {==================================================================
** Events of the adapters
** ===================================================================
*/

static void on_request(void *data, guint64 number, const HttpHead *head) {
  Gateway *gateway = data;
  GError *error = NULL;
  CallerHead parsed;
  if (!gateway->dialect->read_caller(head, &parsed, &error)) {
    char *body = NULL;
    HttpHead *refused =
        gateway->dialect->write_bad_input(400, error->message, &body);
    log_numbered(gateway->log, MP_LOG_CALLER_BAD, " status=400 detail=\"%s\"",
                 error->message);
    front_send_response(gateway->front, number, refused, body, strlen(body));
    http_head_free(refused);
    g_free(body);
    g_error_free(error);
  } else {
    gint64 now = standstill_check(gateway->standstill);
    parsed.request.number = number;
    parsed.request.waited_unread =
        front_request_unread(gateway->front, number, now);
    parsed.request.content = request_content_digest(
        head, front_request_body(gateway->front, number));
    router_request(gateway->router, &parsed.request, now);
    schedule_tick(gateway);
  }
  caller_head_clear(&parsed);
}

static void on_hangup(void *data, guint64 number) {
  Gateway *gateway = data;
  router_hangup(gateway->router, number, clock_now());
  schedule_tick(gateway);
}

static void on_bad_input(void *data, int status, const char *detail) {
  const Gateway *gateway = data;
  log_numbered(gateway->log, MP_LOG_CALLER_BAD, " status=%d detail=\"%s\"",
               status, detail);
}

/* A request that did not reach the router is refused as those that it refuses
** in a stop. */
static void on_stopped(void *data, const char *id) {
  const Gateway *gateway = data;
  log_numbered(gateway->log, MP_LOG_ROUTE_REFUSED,
               " request=%s reason=draining detail=\"not received whole\"",
               id != NULL ? id : "-");
}

static void on_cut(void *data, const FrontCut *cut) {
  const Gateway *gateway = data;
  CallerHead parsed = {0};
  gboolean is_known = cut->head != NULL &&
                      gateway->dialect->read_caller(cut->head, &parsed, NULL);
  log_numbered(gateway->log, MP_LOG_RESPONSE_LOST,
               " request=%s reason=%s unfinished=%d unsent=%" G_GUINT64_FORMAT
               " unacknowledged=%" G_GUINT64_FORMAT,
               is_known ? parsed.request.id : "-",
               close_reason_name(cut->reason), cut->is_unfinished, cut->unsent,
               cut->unacknowledged);
  if (cut->head != NULL)
    caller_head_clear(&parsed);
}

static void on_outcome(void *data, const Outcome *outcome) {
  Gateway *gateway = data;
  router_outcome(gateway->router, outcome,
                 standstill_check(gateway->standstill));
  schedule_tick(gateway);
}

static void on_signals(void *data, const char *endpoint, guint32 life,
                       const EndpointSignals *signals) {
  const Gateway *gateway = data;
  router_endpoint_signals(gateway->router, endpoint, life, signals,
                          clock_now());
}

static void on_connections(void *data, const char *endpoint, guint connections,
                           guint idle) {
  const Gateway *gateway = data;
  router_set_connections(gateway->router, endpoint, connections, idle);
}

static gboolean keeps_connection(void *data, const char *endpoint) {
  const Gateway *gateway = data;
  return router_keeps_connection(gateway->router, endpoint);
}

static void on_connected(void *data, gint64 took) {
  const Gateway *gateway = data;
  intake_note_connect(front_intake(gateway->front), took);
}

static void on_lease_reply(void *data, const StoreReply *reply,
                           const GError *error) {
  Gateway *gateway = data;
  LeaseReply parsed = {0};
  (void)error;
  relay_group_observe_era(gateway->group, reply->at.era);
  lease_reply_read(gateway->dialect, gateway->log, reply, &parsed);
  router_lease_reply(gateway->router, &parsed,
                     standstill_check(gateway->standstill));
  lease_record_clear(&parsed.record);
  schedule_tick(gateway);
}

/*
** The set of instances has changed. When there are few, each sends its load
** digests (load_exchange.h) to all others. When there are many
** (relay_group_uses_summaries), each sends them within its data centre, and
** relays send their sums to the other data centres.
*/
static void on_instances(void *data, const GArray *all, const GArray *near,
                         const GArray *carriers) {
  Gateway *gateway = data;
  gboolean uses_summaries = relay_group_uses_summaries(gateway->group);
  const GArray *hearing = uses_summaries ? near : all;
  load_exchange_set_peers(gateway->exchange, hearing, uses_summaries);
  router_set_instances(gateway->router, all->len + 1, hearing->len + 1);
  router_set_members(gateway->router, carriers);
  carry_server_set_peers(gateway->carrying, all);
  relays_set_members(gateway->relays, uses_summaries);
}

static CarryVerdict on_carry_call(void *data, guint32 endpoint,
                                  mp_Addr *address) {
  const Gateway *gateway = data;
  if (intake_is_full(front_intake(gateway->front)))
    return CARRY_BUSY;
  return router_may_carry(gateway->router, endpoint, address, clock_now());
}

static void on_relay_message(void *data, mp_Addr from, const mp_Msg *message) {
  const Gateway *gateway = data;
  if (gateway->relays != NULL)
    relays_receive(gateway->relays, from, message);
}

static void on_crashes(void *data) {
  const Gateway *gateway = data;
  if (gateway->relays != NULL)
    relays_on_crashes(gateway->relays);
}

static void on_rates(void *data) {
  const Gateway *gateway = data;
  if (gateway->relays != NULL)
    relays_on_rates(gateway->relays);
}

static void on_digest(void *data) {
  Gateway *gateway = data;
  gint64 now = standstill_check(gateway->standstill);
  if (now >= gateway->trim_at) {
    gateway->trim_at = now + TRIM_INTERVAL_MIN;
    endpoint_links_trim(gateway->links);
  }
  if (gateway->relays != NULL)
    relays_on_loads(gateway->relays);
}

static void on_stream(void *data) {
  Gateway *gateway = data;
  schedule_tick(gateway);
}

static void on_store_answer(void *data) {
  const Gateway *gateway = data;
  gint64 now = clock_now();
  router_configuration_proved(gateway->router,
                              relay_group_proof(gateway->group)->at);
  router_store_answered(gateway->router,
                        now - relay_group_news_age(gateway->group, now));
  software_set_writer_poll(gateway->software_sets);
  relays_on_news(gateway->relays);
}

static void on_standstill(void *data, gint64 since, gint64 now) {
  const Gateway *gateway = data;
  gint64 length_ms = (now - since) / MP_MS;
  gint64 since_unix_ms = g_get_real_time() / MP_MS - length_ms;
  log_numbered(gateway->log, MP_LOG_STOOD_STILL,
               " length_ms=%" G_GINT64_FORMAT " since=%" G_GINT64_FORMAT,
               length_ms, since_unix_ms);
  router_stood_still(gateway->router, since, now);
  front_stood_still(gateway->front, since);
}

static void on_configuration(void *data, RouteTable *table) {
  Gateway *gateway = data;
  front_set_limits(gateway->front, &table->limits);
}

/* }================================================================== */

/*
** {==================================================================
** Flow control (FrontFlowHooks)
** ===================================================================
*/

static void on_flow_pause(void *data, guint64 request, gboolean pauses) {
  const Gateway *gateway = data;
  endpoint_links_pause(gateway->links, request, pauses);
}

static void on_flow_paused(void *data, guint64 request, gint64 now) {
  const Gateway *gateway = data;
  router_reading_paused(gateway->router, request, now);
}

/* The router is told of it by on_hangup(). */
static void on_flow_aborted(void *data, guint64 request, FlowReason reason,
                            const FlowReader *reader, guint64 total) {
  const Gateway *gateway = data;
  const HttpHead *head = front_request_head(gateway->front, request);
  gint64 now = clock_now();
  CallerHead parsed = {0};
  gboolean is_known =
      head != NULL && gateway->dialect->read_caller(head, &parsed, NULL);
  log_numbered(gateway->log, MP_LOG_CALLER_SLOW,
               " request=%s reason=%s unread=%" G_GUINT64_FORMAT
               " total=%" G_GUINT64_FORMAT " held_ms=%d unread_ms=%d",
               is_known ? parsed.request.id : "-", flow_reason_name(reason),
               reader->unread, total,
               reader->paused_since != 0
                   ? (int)((now - reader->paused_since) / MP_MS)
                   : 0,
               (int)((now - reader->unread_since) / MP_MS));
  if (head != NULL)
    caller_head_clear(&parsed);
}

static void on_body_refused(void *data, const char *id, guint64 size,
                            guint64 held) {
  const Gateway *gateway = data;
  log_numbered(gateway->log, MP_LOG_BODY_REFUSED,
               " request=%s size=%" G_GUINT64_FORMAT
               " held=%" G_GUINT64_FORMAT,
               id != NULL ? id : "-", size, held);
}

static void on_input_refused(void *data, const FrontRefusal *refusal) {
  const Gateway *gateway = data;
  char caller[24];
  mp_addr_text(refusal->caller, caller);
  log_numbered(gateway->log, MP_LOG_INPUT_REFUSED,
               " request=%s caller=%s bytes=%" G_GUINT64_FORMAT
               " used=%" G_GUINT64_FORMAT " gave_way=%d",
               refusal->id != NULL ? refusal->id : "-", caller, refusal->bytes,
               refusal->used, refusal->gave_way);
}

static void control_flow(Gateway *gateway, const GatewayOptions *options) {
  FrontFlowHooks hooks = {gateway,         on_flow_pause,   on_flow_paused,
                          on_flow_aborted, on_body_refused, on_input_refused};
  FlowLimits limits = flow_limits(options->unread_bound);
  if (limits.bound == 0)
    return;
  front_control_flow(gateway->front, &limits, &hooks);
  endpoint_links_limit_writing(gateway->links, BODY_TIMEOUT);
}

/* }================================================================== */

/*
** {==================================================================
** Queries of operators, the platform and other instances
** ===================================================================
*/

/* Should load balancers send new requests to this instance? */
static gboolean is_ready(const Gateway *gateway) {
  return gateway->stop.began_at == 0 &&
         router_is_configured(gateway->router, clock_now()) &&
         directory_has_endpoints(gateway->directory);
}

static gboolean on_ready_query(void *data) {
  Gateway *gateway = data;
  gboolean ready = is_ready(gateway);
  if (ready && !gateway->was_ready)
    log_numbered(gateway->log, MP_LOG_READY, "%s", "");
  gateway->was_ready = ready;
  return ready;
}

static void count_flow(const Gateway *gateway, AdapterCounts *counts) {
  const FlowControl *flow = front_flow(gateway->front);
  int reason;
  counts->unread_bytes = flow != NULL ? flow_total(flow) : 0;
  counts->body_bytes = flow != NULL ? flow_held(flow) - flow_total(flow) : 0;
  counts->bodies_refused = front_bodies_refused(gateway->front);
  counts->input_refused = front_input_refused(gateway->front);
  counts->places_taken = front_places_taken(gateway->front);
  counts->caller_bytes = flow != NULL ? flow_used(flow) : 0;
  for (reason = 0; reason < CLOSE_REASON_COUNT; reason++)
    counts->responses_lost[reason] =
        front_responses_lost(gateway->front, (CloseReason)reason);
  counts->paused_reads = flow != NULL ? flow_paused(flow) : 0;
  for (reason = 0; reason < FLOW_REASON_COUNT; reason++)
    counts->flow_aborts[reason] =
        flow != NULL ? flow_aborts(flow, (FlowReason)reason) : 0;
}

static AdapterCounts adapter_counts(const Gateway *gateway) {
  FrontUnsent unsent = front_unsent(gateway->front);
  AdapterCounts counts;
  int kind;
  int field;
  counts.endpoint_connections = endpoint_links_opened_count(gateway->links);
  counts.store_calls = directory_store_calls(gateway->directory) +
                       store_link_calls(gateway->lease_link) +
                       quarantine_writer_store_calls(gateway->quarantine) +
                       origin_links_store_calls(gateway->origins) +
                       software_set_writer_store_calls(gateway->software_sets);
  counts.abandoned_store_calls =
      directory_abandoned_store_calls(gateway->directory);
  counts.log_lines_left_out = log_left_out(gateway->log);
  counts.log_lines_lost = log_lost(gateway->log);
  counts.idle_endpoint_connections = endpoint_links_idle_count(gateway->links);
  counts.news_role =
      relay_role_name(relay_group_role(gateway->group, clock_now()));
  counts.store_era = relay_group_era(gateway->group);
  counts.news_age = relay_group_news_age(gateway->group, clock_now());
  counts.ready = is_ready(gateway);
  router_quarantine_count(gateway->router, clock_now(),
                          &counts.struck_requests, &counts.held_requests);
  counts.rate_skips = router_rate_skips(gateway->router);
  counts.unreachable_endpoints =
      router_unreachable_endpoints(gateway->router, clock_now());
  counts.down_endpoints = router_down_endpoints(gateway->router);
  counts.indirect_endpoints = router_indirect_endpoints(gateway->router);
  counts.carried_connections = carry_server_count(gateway->carrying);
  counts.carried_connections_total = carry_server_total(gateway->carrying);
  counts.stream_origins = router_stream_origins(gateway->router);
  counts.limited_endpoints = router_limited_endpoints(gateway->router);
  counts.leaving_endpoints = router_leaving_endpoints(gateway->router);
  counts.resting_endpoints =
      router_resting_endpoints(gateway->router, clock_now());
  count_flow(gateway, &counts);
  counts.sending_connections = unsent.connections;
  counts.unsent_bytes = unsent.bytes;
  counts.intake = front_intake(gateway->front);
  counts.processor_time = clock_processor_time();
  counts.standstills = standstill_count(gateway->standstill);
  counts.standstill_time = standstill_total(gateway->standstill);
  counts.oldest_digest = router_oldest_digest(gateway->router, clock_now());
  router_count_waiting(gateway->router, clock_now(), &counts.waiting,
                       &counts.waiting_in_time);
  for (kind = 0; kind < MP_RELAY_KINDS; kind++) {
    const NewsState *news = relay_group_news(gateway->group, (StoreKind)kind);
    counts.news_lag[kind] = news_state_lag(news, clock_now());
    counts.known_positions[kind] = news->held;
    counts.unusable_objects[kind] =
        directory_unusable_objects(gateway->directory, (StoreKind)kind);
    for (field = 0; field < RECORD_FIELD_COUNT; field++)
      counts.bad_objects[kind][field] = directory_bad_objects(
          gateway->directory, (StoreKind)kind, (RecordField)field);
  }
  return counts;
}

static GString *on_metrics_query(void *data) {
  const Gateway *gateway = data;
  AdapterCounts counts = adapter_counts(gateway);
  return metrics_text(gateway->router, &counts);
}

static void on_news_query(void *data, const NewsQuery *query,
                          StoreReply *out) {
  const Gateway *gateway = data;
  directory_answer_query(gateway->directory, query, out);
}

static gboolean make_status_server(Gateway *gateway,
                                   const GatewayOptions *options,
                                   GError **error) {
  StatusServerHooks hooks = {gateway, on_ready_query, on_metrics_query,
                             on_news_query};
  StatusServerOptions where = {options->ready, options->control,
                               options->metrics};
  gateway->status_server =
      status_server_new(gateway->base, &where, &hooks, gateway->log, error);
  return gateway->status_server != NULL;
}

/* }================================================================== */

/*
** {==================================================================
** Planned stop
** ===================================================================
*/

static void start_drain_timer(Gateway *gateway) {
  struct timeval time = {0, DRAIN_POLL_INTERVAL};
  event_add(gateway->drain_timer, &time);
}

static StopWork work_left(const Gateway *gateway) {
  FrontUnsent unsent = front_unsent(gateway->front);
  StopWork work;
  work.requests = front_open_requests(gateway->front) + unsent.receiving +
                  endpoint_links_open_releases(gateway->links);
  work.carried = carry_server_count(gateway->carrying);
  work.sending = unsent.connections;
  work.lingering = unsent.lingering;
  return work;
}

/* Responses that were cut off since the drain began. */
static guint64 cut_count(const Gateway *gateway) {
  return front_responses_cut(gateway->front) - gateway->cut_before;
}

/* Connections that were closed unread since the drain began. */
static guint64 closed_unread_count(const Gateway *gateway) {
  return intake_closed_unread(front_intake(gateway->front)) -
         gateway->closed_unread_before;
}

static void end_requests(Gateway *gateway) {
  gateway->ended_requests = front_open_requests(gateway->front);
  router_end_requests(gateway->router, clock_now());
}

static void on_drain_timer(evutil_socket_t fd, short what, void *data) {
  Gateway *gateway = data;
  gint64 now = clock_now();
  StopWork work;
  StopPhase phase;
  (void)fd;
  (void)what;
  if (!planned_stop_accepts(&gateway->stop, now)) {
    router_stop_accepting(gateway->router, now);
    front_stop_receiving(gateway->front);
  }
  work = work_left(gateway);
  phase = planned_stop_review(&gateway->stop, &work, now);
  if (phase == STOP_ENDING)
    end_requests(gateway);
  gateway->is_drained = phase == STOP_DRAINED &&
                        gateway->ended_requests == 0 &&
                        cut_count(gateway) == 0;
  if (phase == STOP_DRAINED || phase == STOP_CUTTING)
    event_base_loopbreak(gateway->base);
  else
    start_drain_timer(gateway);
}

void gateway_drain(Gateway *gateway, gint64 at) {
  gint64 now = standstill_check(gateway->standstill);
  if (gateway->stop.began_at != 0)
    return;
  gateway->stop.began_at = at;
  gateway->cut_before = front_responses_cut(gateway->front);
  gateway->closed_unread_before =
      intake_closed_unread(front_intake(gateway->front));
  router_begin_stop(gateway->router,
                    gateway->stop.began_at + gateway->stop.most, now);
  load_exchange_send_changes(gateway->exchange);
  log_numbered(gateway->log, MP_LOG_DRAIN, " late_ms=%d",
               (int)((now - at) / MP_MS));
  front_drain(gateway->front);
  carry_server_drain(gateway->carrying);
  start_drain_timer(gateway);
}

gboolean gateway_is_drained(const Gateway *gateway) {
  return gateway->is_drained;
}

/* }================================================================== */

/*
** Returns how long ago, in microseconds, the configuration may have been
** proved current when a request with a key is accepted; 0: without a limit.
*/
static gint64 proof_age_max(const GatewayOptions *options) {
  if (options->revoke_within == 0)
    return 0;
  return MAX(options->revoke_within - REVOKE_MARGIN, REVOKE_BOUND_MIN);
}

static RelayTiming relay_times(const GatewayOptions *options) {
  RelayTiming times = {options->watch_wait, options->propagation_max};
  return times;
}

static void make_router(Gateway *gateway, const GatewayOptions *options) {
  RelayTiming times = relay_times(options);
  RouterHost host = {gateway,      host_dispatch,  host_cancel,    host_answer,
                     host_refuse,  host_break_off, host_log,       host_note,
                     host_message, host_hold,      host_lease_call};
  RouterOptions settings = {0};
  settings.zone = options->zone;
  settings.seed = (guint64)clock_now() ^ options->callers * 2654435761u;
  settings.retry_ratio = options->retry_ratio;
  settings.retry_slack = options->retry_slack;
  settings.retry_window = options->retry_window;
  settings.instance = options->instance;
  settings.self = options->exchange;
  settings.lease_length = options->lease_length;
  settings.limits = options->limits;
  settings.overload_control = options->overload_control;
  settings.unix_offset = g_get_real_time() - clock_now();
  settings.proof_age_max = proof_age_max(options);
  settings.news_age_max = relay_news_age_max(&times);
  gateway->router = router_new(&settings, &host, clock_now());
}

static void make_directory(Gateway *gateway, const GatewayOptions *options) {
  DirectoryHooks hooks = {gateway, on_configuration, on_instances,
                          on_store_answer};
  RelaysOptions relays = {options->exchange, options->zone};
  DirectoryOptions settings = {0};
  settings.instance = options->instance;
  settings.zone = options->zone;
  settings.capacity = options->capacity;
  settings.exchange = options->exchange;
  settings.control = options->control;
  settings.callers = options->callers;
  settings.ready = options->ready;
  settings.metrics = options->metrics;
  settings.store = options->store;
  settings.seeds = options->peers;
  settings.seeds_count = options->peers_count;
  settings.watch_wait = options->watch_wait;
  settings.proof_wait_max = options->revoke_within / WATCHES_PER_REVOKE;
  gateway->directory =
      directory_new(gateway->base, gateway->dialect, &settings,
                    gateway->router, gateway->group, gateway->log, &hooks);
  gateway->relays =
      relays_new(gateway->base, &relays, gateway->group, gateway->router,
                 gateway->directory, gateway->exchange, gateway->log);
}

/* Listens for instances that ask for a connection to an endpoint, at the same
** address as for their datagrams. */
static gboolean make_carrying(Gateway *gateway, const GatewayOptions *options,
                              GError **error) {
  CarryServerHooks hooks = {gateway, on_carry_call};
  gateway->carrying = carry_server_new(gateway->base, options->exchange,
                                       &hooks, gateway->log, error);
  return gateway->carrying != NULL;
}

static gboolean make_exchange(Gateway *gateway, const GatewayOptions *options,
                              GError **error) {
  LoadExchangeHooks hooks = {gateway,          on_crashes, on_rates,
                             on_relay_message, on_digest,  on_stream};
  gateway->exchange = load_exchange_new(gateway->base, options->exchange,
                                        gateway->router, &hooks, error);
  return gateway->exchange != NULL;
}

Gateway *gateway_new(struct event_base *base, const Dialect *dialect,
                     const GatewayOptions *options, Log *log, GError **error) {
  Gateway *gateway = g_new0(Gateway, 1);
  FrontHooks front = {gateway,      on_request, on_hangup,
                      on_bad_input, on_stopped, on_cut};
  EndpointLinksHooks links = {gateway,        on_outcome,       on_signals,
                              on_connections, keeps_connection, on_connected};
  RelayTiming times = relay_times(options);
  gateway->base = base;
  gateway->dialect = dialect;
  gateway->log = log;
  gateway->stop.least = options->drain_least;
  gateway->stop.most = options->drain_most;
  gateway->tick = evtimer_new(base, on_tick, gateway);
  gateway->drain_timer = evtimer_new(base, on_drain_timer, gateway);
  gateway->links = endpoint_links_new(base, dialect, &links);
  gateway->lease_link = store_link_new(base, options->store, &dialect->store,
                                       on_lease_reply, gateway);
  make_router(gateway, options);
  gateway->quarantine = quarantine_writer_new(base, dialect, options->store,
                                              gateway->router, log);
  gateway->origins =
      origin_links_new(base, dialect, options->store, options->instance,
                       gateway->router, log, on_stream, gateway);
  gateway->software_sets = software_set_writer_new(
      base, dialect, options->store, gateway->router, log, on_stream, gateway);
  gateway->front =
      front_new(base, options->callers, dialect, &front, log, error);
  gateway->standstill = standstill_new(base, on_standstill, gateway);
  gateway->group = relay_group_new(options->exchange, options->capacity,
                                   &times, clock_now());
  router_set_news_state(gateway->router,
                        relay_group_news(gateway->group, STORE_CONFIGURATION));
  if (gateway->front == NULL || !make_exchange(gateway, options, error) ||
      !make_carrying(gateway, options, error) ||
      !make_status_server(gateway, options, error)) {
    gateway_free(gateway);
    return NULL;
  }
  control_flow(gateway, options);
  front_set_places(gateway->front, options->connections_max);
  front_set_request_timeout(gateway->front, options->request_timeout);
  make_directory(gateway, options);
  log_numbered(gateway->log, MP_LOG_START, "%s", "");
  schedule_tick(gateway);
  return gateway;
}

void gateway_reload(Gateway *gateway) {
  log_numbered(gateway->log, MP_LOG_RELOAD, "%s", "");
}

/* Logs what the end of the process cuts off. */
static void log_stop(const Gateway *gateway) {
  FrontUnsent unsent = front_unsent(gateway->front);
  log_numbered(
      gateway->log, MP_LOG_STOP,
      " drained=%d ended=%u cut=%" G_GUINT64_FORMAT
      " open=%u carried=%u sending=%u unsent=%" G_GUINT64_FORMAT
      " unacknowledged=%" G_GUINT64_FORMAT " closed_unread=%" G_GUINT64_FORMAT
      " unaccepted=%d",
      gateway->is_drained, gateway->ended_requests, cut_count(gateway),
      front_open_requests(gateway->front) + unsent.receiving,
      carry_server_count(gateway->carrying), unsent.connections, unsent.bytes,
      unsent.unacknowledged, closed_unread_count(gateway),
      front_has_unaccepted(gateway->front));
}

void gateway_free(Gateway *gateway) {
  if (gateway->front != NULL && gateway->carrying != NULL)
    log_stop(gateway);
  if (gateway->status_server != NULL)
    status_server_free(gateway->status_server);
  if (gateway->relays != NULL)
    relays_free(gateway->relays);
  if (gateway->directory != NULL)
    directory_free(gateway->directory);
  relay_group_free(gateway->group);
  if (gateway->front != NULL)
    front_free(gateway->front);
  if (gateway->exchange != NULL)
    load_exchange_free(gateway->exchange);
  if (gateway->carrying != NULL)
    carry_server_free(gateway->carrying);
  endpoint_links_free(gateway->links);
  store_link_free(gateway->lease_link);
  quarantine_writer_free(gateway->quarantine);
  origin_links_free(gateway->origins);
  software_set_writer_free(gateway->software_sets);
  router_free(gateway->router);
  standstill_free(gateway->standstill);
  event_free(gateway->tick);
  event_free(gateway->drain_timer);
  g_free(gateway);
}
