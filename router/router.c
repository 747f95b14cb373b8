/*
** router.c
** Creation of the router, entry points for events, and the timer
*/

#include <stdarg.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/admission_order.h"
#include "router/continuation.h"
#include "router/origin_store.h"
#include "router/retry_exchange.h"
#include "router/silence.h"
#include "router/silent_run.h"
#include "router/software_set.h"
#include "router/state.h"
#include "router/waiting_order.h"

/* A request is ended this long before its caller stops waiting, so that the
** answer still reaches the caller. */
#define ANSWER_MARGIN (15 * MP_MS)
/* Retry-After of a request that may have waited too long to be read, in ms.
** What waited beside it is read within some milliseconds. */
#define STANDSTILL_RETRY_MS 20

/*
** {==================================================================
** Creation and destruction
** ===================================================================
*/

static void request_free(gpointer p) {
  Request *request = p;
  guint i;
  route_table_unref(request->table);
  g_free(request->id);
  g_free(request->open.endpoint);
  g_free(request->last_event);
  g_free(request->decode);
  g_free(request->handle);
  g_free(request->handle_endpoint);
  g_free(request->read_by);
  for (i = 0; i < request->excluded_count; i++)
    g_free(request->excluded[i]);
  g_free(request);
}

Router *router_new(const RouterOptions *options, const RouterHost *host,
                   gint64 now) {
  Router *router = g_new0(Router, 1);
  router->host = *host;
  router->retry.ratio = options->retry_ratio;
  router->retry.window = options->retry_window;
  router->retry.born = now;
  router->retry.slack = options->retry_slack;
  router->random = g_rand_new_with_seed((guint32)options->seed);
  router->endpoints = endpoint_table_new(options->zone);
  router->services =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  router->patience_table = patience_table_new();
  router->requests =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, request_free);
  router->instances = 1;
  router->near = 1;
  router->waiting = g_ptr_array_new();
  router->limits = account_limits_new(&options->limits, now);
  router->started_at = now;
  router->seed = options->seed ^ options->self;
  router->self = options->self;
  router->rates = rate_limits_new(router->seed);
  router->crashes = lives_new_crash_watch(router);
  router->quarantine = quarantine_new(options->unix_offset, options->seed);
  router->suspicions = suspicions_new();
  router->unproved_runs = unproved_runs_new();
  router->unknown_fields =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  router->overload_control = options->overload_control;
  router->endpoints->overload_control = options->overload_control;
  router->proof_age_max = options->proof_age_max;
  /* Nothing is proved yet. 0 would be a proof of moments ago on a machine that
  ** has just booted, since the clock counts from there. */
  router->proved_at = G_MININT64 / 2;
  router->news_age_max = options->news_age_max;
  router->requests_by_dispatch = g_hash_table_new(g_int64_hash, g_int64_equal);
  router->reach = reach_new(router, g_str_hash(options->zone));
  router->continuation = continuation_new();
  router->software_sets = software_sets_new(router->seed);
  router->stages = stages_new(router, options->instance, options->self,
                              options->lease_length, now);
  return router;
}

void router_free(Router *router) {
  stages_free(router->stages);
  reach_free(router->reach);
  continuation_free(router->continuation);
  origin_store_free(router->origin_store);
  software_sets_free(router->software_sets);
  account_limits_free(router->limits);
  rate_limits_free(router->rates);
  crash_watch_free(router->crashes);
  quarantine_free(router->quarantine);
  suspicions_free(router->suspicions);
  unproved_runs_free(router->unproved_runs);
  g_hash_table_destroy(router->unknown_fields);
  g_hash_table_destroy(router->requests_by_dispatch);
  g_ptr_array_free(router->waiting, TRUE);
  g_hash_table_destroy(router->requests);
  g_hash_table_destroy(router->services);
  patience_table_free(router->patience_table);
  endpoint_table_free(router->endpoints);
  route_table_unref(router->routes);
  g_rand_free(router->random);
  g_free(router);
}

void router_log(Router *router, mp_EventNo number, const char *format, ...) {
  char fields[512];
  va_list arguments;
  va_start(arguments, format);
  g_vsnprintf(fields, sizeof fields, format, arguments);
  va_end(arguments);
  router->host.log(router->host.data, number, fields);
}

ServiceState *router_service_state(Router *router, const char *service) {
  ServiceState *state = g_hash_table_lookup(router->services, service);
  if (state == NULL) {
    state = g_new0(ServiceState, 1);
    g_hash_table_insert(router->services, g_strdup(service), state);
  }
  return state;
}

RetryBudget *router_retry_budget(Router *router, const char *service) {
  return &router_service_state(router, service)->budget;
}

/* }================================================================== */

/*
** {==================================================================
** Configuration and endpoints
** ===================================================================
*/

const RouteTable *router_routes(const Router *router) {
  return router->routes;
}

/* Finds out which services have requests of several priorities, and logs
** priorities that are none. */
static void rank_services(Router *router, RouteTable *routes) {
  guint bad = route_table_rank_services(routes);
  if (bad > 0)
    router_log(router, MP_LOG_PRIORITY_BAD,
               " version=%" G_GUINT64_FORMAT " count=%u taken_as=%d",
               routes->version, bad, PRIORITY_LOWEST);
}

gboolean router_set_routes(Router *router, RouteTable *routes, gint64 now) {
  if (router->routes != NULL && routes->version <= router->routes->version)
    return FALSE; /* an instance never goes back to an older one */
  route_table_ref(routes);
  route_table_unref(router->routes);
  router->routes = routes;
  rank_services(router, routes);
  account_limits_configure(router->limits, routes, now);
  router_log(router, MP_LOG_CONFIG_NEW,
             " version=%" G_GUINT64_FORMAT " routes=%u services=%u",
             routes->version, routes->routes->len, routes->services->len);
  return TRUE;
}

void router_configuration_proved(Router *router, gint64 at) {
  router->proved_at = MAX(router->proved_at, at);
}

void router_store_answered(Router *router, gint64 at) {
  if (at <= router->store_answered_at)
    return;
  continuation_list_confirmed(router, router->store_answered_at, at);
  router->store_answered_at = at;
}

void router_set_news_state(Router *router, const NewsState *news) {
  router->news = news;
}

void router_keep_endpoints(Router *router, GHashTable *names, gint64 now) {
  endpoint_table_keep(router->endpoints, names, now);
  rates_endpoints_changed(router);
}

void router_set_instances(Router *router, unsigned count, unsigned near) {
  router->has_instance_list = TRUE;
  router->instances = MAX(count, 1);
  router->near = CLAMP(near, 1, router->instances);
  router->endpoints->has_late_loads = router->near < router->instances;
}

void router_set_members(Router *router, const GArray *members) {
  reach_set_carriers(router->reach, members);
  continuation_set_members(router->continuation, members);
}

guint router_stream_origins(const Router *router) {
  return continuation_count(router->continuation);
}

CarryVerdict router_may_carry(const Router *router, guint32 hash,
                              mp_Addr *address, gint64 now) {
  const Endpoint *endpoint =
      endpoint_table_get_by_hash(router->endpoints, hash);
  if (router->stopping)
    return CARRY_DRAINING;
  if (endpoint == NULL)
    return CARRY_UNKNOWN;
  if (endpoint->path.state == PATH_NONE)
    return CARRY_UNREACHABLE;
  if (endpoint->path.state != PATH_DIRECT || endpoint->avoid_until > now)
    return CARRY_NO_PATH;
  *address = endpoint->record.address;
  return CARRY_CONNECTED;
}

/* }================================================================== */

/*
** {==================================================================
** Requests
** ===================================================================
*/

/* Returns the hash by which the quarantine (router/quarantine.h) knows a
** request: Request.content. It includes the client account, so that a request
** that is held, which no endpoint gets, for one account is not held for
** others. */
static guint64 quarantine_key(const CallerRequest *call,
                              const Account *account) {
  guint64 key = call->content;
  if (account != NULL)
    key = XXH3_64bits_withSeed(account->name, strlen(account->name), key);
  return key & ~QUARANTINE_PART_BIT;
}

/* Creates a request; its caller sets the account and the service. */
static Request *request_new(const CallerRequest *call, RouteTable *table,
                            const Route *route, const Account *account,
                            gint64 now) {
  Request *request = g_new0(Request, 1);
  gint64 patience = call->deadline_ms > 0
                        ? call->deadline_ms * MP_MS - call->waited_unread
                        : route->timeout;
  request->number = call->number;
  request->id = g_strdup(call->id);
  request->table = route_table_ref(table);
  request->route = route;
  request->repeatable = route_is_repeatable(route);
  request->prompt_tokens = call->prompt_tokens;
  request->output_tokens = call->output_tokens;
  request->expected_output =
      admission_order_expected_output(call->length_hint, call->output_tokens);
  request->priority = request_priority(account, route);
  request->session = call->session;
  request->content = quarantine_key(call, account);
  request->arrived = now;
  request->caller_deadline = now + patience;
  request->expires = now + patience - ANSWER_MARGIN;
  if (route->timeout > 0)
    request->expires = MIN(request->expires, now + route->timeout);
  return request;
}

gint64 router_news_age(const Router *router, gint64 now) {
  return router->store_answered_at != 0 ? now - router->store_answered_at
                                        : G_MAXINT32;
}

/*
** "No such route" and "no such key" are final for a caller. While a newer
** configuration is known elsewhere, or the store's last answer is older than
** at any instance that the store answers, the route or key may have been added
** since: the caller is told to retry, and reaches another instance, or this
** one later.
*/
gboolean router_may_be_outdated(const Router *router, gint64 now) {
  if (router->news != NULL && router->news->lags_since != 0)
    return TRUE;
  return router->news_age_max > 0 &&
         router_news_age(router, now) > router->news_age_max;
}

/* Returns the refusal for a request that matches no route. */
static RefusalKind unmatched_refusal(const Router *router, gint64 now) {
  return router_may_be_outdated(router, now) ? REFUSAL_OLD_CONFIGURATION
                                             : REFUSAL_NO_ROUTE;
}

/* Returns for how long a newer configuration has been known elsewhere; 0 if
** none is. */
static gint64 news_lag(const Router *router, gint64 now) {
  return router->news != NULL ? news_state_lag(router->news, now) : 0;
}

/* Refuses a request before it is created. */
static void refuse_unrouted(Router *router, const CallerRequest *call,
                            RefusalKind kind, gint64 now) {
  Refusal refusal = {kind, finish_default_retry_ms(kind)};
  guint64 version = router->routes != NULL ? router->routes->version : 0;
  finish_count_refusal(router, kind);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s host=%s config=%" G_GUINT64_FORMAT
             " news_age_ms=%d lag_ms=%d",
             call->id, finish_refusal_name(kind), call->host, version,
             (int)(router_news_age(router, now) / MP_MS),
             (int)(news_lag(router, now) / MP_MS));
  router->host.refuse(router->host.data, call->number, &refusal);
}

/* Writes the digests of the prompt's shared parts, the first few, for logs. */
static const char *parts_text(const CallerRequest *call, char *buffer,
                              gsize size) {
  gsize at = 0;
  guint i;
  g_strlcpy(buffer, "-", size);
  for (i = 0; i < call->parts_count && at + 18 < size; i++)
    at += (gsize)g_snprintf(buffer + at, size - at,
                            "%s%016" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                            call->parts[i]);
  return buffer;
}

/* Returns which stream the request takes up, for logs: the attempt that began
** it, "unknown" if that is not stated, or "-" if it takes none up. */
static const char *resumed_attempt_text(const CallerRequest *call) {
  if (!call->resumes)
    return "-";
  return call->resumed_attempt != NULL ? call->resumed_attempt : "unknown";
}

/* Returns TRUE if the request may have waited unread until its deadline. */
static gboolean was_unread_too_long(const CallerRequest *call) {
  return call->deadline_ms > 0 && call->waited_unread > 0 &&
         call->deadline_ms * MP_MS - call->waited_unread <= ANSWER_MARGIN;
}

/* Refuses a request that may have waited unread until its deadline. It may
** also have come just now, so its caller may retry at once. */
static void refuse_unread_too_long(Router *router, const CallerRequest *call) {
  Refusal refusal = {REFUSAL_NOT_RUN, STANDSTILL_RETRY_MS};
  finish_count_refusal(router, refusal.kind);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s deadline_ms=%d unread_ms=%d", call->id,
             finish_refusal_name(refusal.kind), (int)call->deadline_ms,
             (int)(call->waited_unread / MP_MS));
  router->host.refuse(router->host.data, call->number, &refusal);
}

void router_request(Router *router, const CallerRequest *call, gint64 now) {
  const Route *route;
  const Account *account;
  Request *request;
  const char *service;
  Refusal refusal = {0};
  char parts[64]; /* three digests */
  router_count(router, REQUESTS);
  if (router->routes == NULL) {
    refuse_unrouted(router, call, REFUSAL_NO_CONFIGURATION, now);
    return;
  }
  if (router->stopping) {
    refuse_unrouted(router, call, REFUSAL_DRAINING, now);
    return;
  }
  if (was_unread_too_long(call)) {
    refuse_unread_too_long(router, call);
    return;
  }
  route = route_table_find_route(router->routes, call->host, call->path);
  if (route == NULL) {
    refuse_unrouted(router, call, unmatched_refusal(router, now), now);
    return;
  }
  if (!accounts_admit(router, call, route, &account, &refusal, now)) {
    finish_count_refusal(router, refusal.kind);
    router->host.refuse(router->host.data, call->number, &refusal);
    return;
  }
  service = route_choose_service(route, g_rand_int(router->random));
  request = request_new(call, router->routes, route, account, now);
  accounts_attach(request, call, account);
  continuation_attach(request, call);
  request->service = route_table_find_service(router->routes, service);
  g_hash_table_insert(router->requests, &request->number, request);
  if (request->service != NULL)
    suspects_attach_parts(request, call);
  if (request->service == NULL) {
    finish_refuse(router, request, REFUSAL_NO_ENDPOINT);
    return;
  }
  if (!suspects_may_dispatch(router, request, &refusal.kind, now)) {
    finish_refuse(router, request, refusal.kind);
    return;
  }
  if (finish_outlasting(router, request, now))
    return;
  retry_budget_count_request(router_retry_budget(router, service),
                             &router->retry, now);
  router_log(router, MP_LOG_ROUTE_ACCEPT,
             " request=%s route=%s service=%s prompt=%u output=%u left_ms=%d "
             "objective_ms=%d session=%" G_GINT64_MODIFIER
             "x parts=%s resumes=%s account=%s over_share=%d "
             "config_age_ms=%d content=%016" G_GINT64_MODIFIER "x priority=%u",
             request->id, route->name, service, request->prompt_tokens,
             request->output_tokens, (int)((request->expires - now) / MP_MS),
             (int)(route->objective / MP_MS), request->session,
             parts_text(call, parts, sizeof parts), resumed_attempt_text(call),
             account != NULL ? account->name : "-",
             accounts_is_over_share(router, request, now),
             (int)(accounts_configuration_age(router, now) / MP_MS),
             request->content, request->priority);
  continuation_start(router, request, now);
}

void router_begin_stop(Router *router, gint64 ends_at, gint64 now) {
  router->stop_ends_at = MAX(ends_at, now);
  router->load_version++; /* the next digest tells the other instances */
}

void router_stop_accepting(Router *router, gint64 now) {
  router->stopping = TRUE;
  while (router->waiting->len > 0) {
    Request *request = router->waiting->pdata[0];
    prefill_drop_handle(router, request, now);
    finish_refuse(router, request, REFUSAL_DRAINING);
  }
}

void router_end_requests(Router *router, gint64 now) {
  GList *requests = g_hash_table_get_values(router->requests);
  GList *one;
  for (one = requests; one != NULL; one = one->next)
    finish_stop(router, one->data, now);
  g_list_free(requests);
}

void router_hangup(Router *router, guint64 number, gint64 now) {
  Request *request = g_hash_table_lookup(router->requests, &number);
  if (request == NULL)
    return;
  finish_hangup(router, request, now);
  admission_start_waiting_requests(router, now);
}

/* Returns TRUE if the outcome shows that the endpoint itself answered. */
static gboolean is_answer_of_endpoint(const Outcome *outcome) {
  return outcome->kind != OUTCOME_UNREACHABLE &&
         outcome->kind != OUTCOME_BROKEN && !outcome->misdirected;
}

void router_outcome(Router *router, const Outcome *outcome, gint64 now) {
  Request *request;
  if (stages_handle_outcome(router->stages, outcome, now))
    return;
  if (reach_handle_outcome(router->reach, outcome, now)) {
    admission_start_waiting_requests(router, now);
    return;
  }
  request =
      g_hash_table_lookup(router->requests_by_dispatch, &outcome->dispatch);
  if (request == NULL)
    return; /* the request no longer waits for it */
  if (is_answer_of_endpoint(outcome))
    suspects_note_answer(router, request, now);
  if (request->phase == PHASE_PREFILL)
    prefill_handle_outcome(router, request, outcome, now);
  else
    outcomes_handle(router, request, outcome, now);
  admission_start_waiting_requests(router, now);
}

void router_reading_paused(Router *router, guint64 number, gint64 now) {
  Request *request = g_hash_table_lookup(router->requests, &number);
  if (request == NULL || request->phase != PHASE_RUN || !request->head_sent)
    return;
  silent_run_note_heard(request);
  if (request->stall_at != 0)
    request->stall_at =
        MAX(request->stall_at, now + silence_piece_timeout(request));
  if (request->path_check_at != 0)
    request->path_check_at = now + silence_check_after(request);
}

/* }================================================================== */

/*
** {==================================================================
** Timer
** ===================================================================
*/

/* Returns when the request needs attention next. */
static gint64 wake_time(const Request *request) {
  gint64 wake = request->expires;
  if (request->stall_at != 0)
    wake = MIN(wake, request->stall_at);
  if (request->start_at != 0)
    wake = MIN(wake, request->start_at);
  if (request->suspect_at != 0)
    wake = MIN(wake, request->suspect_at);
  if (request->path_check_at != 0)
    wake = MIN(wake, request->path_check_at);
  if (request->hold.since != 0)
    wake = MIN(wake, origin_store_hold_timer(&request->hold));
  return wake;
}

gint64 router_next_tick(const Router *router) {
  gint64 next =
      MIN(stages_next_tick(router->stages), reach_next_tick(router->reach));
  if (router->shortage_recheck_at != 0)
    next = MIN(next, router->shortage_recheck_at);
  if (router->judge_at != 0)
    next = MIN(next, router->judge_at);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    next = MIN(next, wake_time(value));
  return next;
}

/* Handles Request.stall_at. */
static void handle_stall(Router *router, Request *request, gint64 now) {
  if (request->phase == PHASE_ORIGIN)
    continuation_handle_timer(router, request, now);
  else if (request->phase == PHASE_WAIT)
    admission_review(router, request, now);
  else if (request->phase == PHASE_PREFILL)
    prefill_handle_stall(router, request, now);
  else
    outcomes_handle_stall(router, request, now);
}

/* Handles Request.path_check_at. */
static void check_path(Router *router, Request *request, gint64 now) {
  if (request->phase == PHASE_PREFILL)
    prefill_check_path(router, request, now);
  else
    outcomes_check_path(router, request, now);
}

/* Handles one request that needs attention now; FALSE if there is none. The
** caller repeats this, because handling a request may change the table. */
static gboolean handle_one_due(Router *router, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (wake_time(request) > now)
      continue;
    if (request->expires <= now)
      finish_expire(router, request, now);
    else if (request->hold.since != 0 &&
             origin_store_hold_timer(&request->hold) <= now)
      origin_store_handle_hold_timer(router, request, now);
    else if (request->suspect_at != 0 && request->suspect_at <= now)
      outcomes_mark_suspect(router, request, now);
    else if (request->path_check_at != 0 && request->path_check_at <= now)
      check_path(router, request, now);
    else if (request->start_at != 0 && request->start_at <= now)
      admission_take_turn(router, request, now);
    else
      handle_stall(router, request, now);
    return TRUE;
  }
  return FALSE;
}

void router_tick(Router *router, gint64 now) {
  gboolean has_expired = peer_loads_expire(router->endpoints->peers, now);
  endpoint_health_update(router, now);
  if (has_expired)
    admission_start_waiting_requests(router, now);
  while (handle_one_due(router, now)) {
  }
  stages_tick(router->stages, now);
  reach_tick(router->reach, now);
  crash_watch_expire(router->crashes, now);
  quarantine_expire(router->quarantine, now);
  suspicions_expire(router->suspicions, now);
  unproved_runs_expire(router->unproved_runs, now);
  continuation_tick(router, now);
  origin_store_expire(router, now);
  admission_start_waiting_requests(router, now);
}

/* }================================================================== */

void router_observe_era(Router *router, guint64 era, gint64 now) {
  gboolean had_era = router->era != 0;
  if (era <= router->era)
    return;
  router->era = era;
  stages_observe_era(router->stages, era, now);
  if (!had_era)
    return;
  quarantine_store_restored(router->quarantine, era);
  origin_store_restored(router);
  software_sets_store_restored(router->software_sets, now);
}

void router_lease_reply(Router *router, const LeaseReply *reply, gint64 now) {
  stages_lease_reply(router->stages, reply, now);
}

guint64 router_refusals(const Router *router, RefusalKind kind) {
  return router->refusals[kind];
}

const char *router_refusal_name(RefusalKind kind) {
  return finish_refusal_name(kind);
}

gint64 router_oldest_digest(const Router *router, gint64 now) {
  return peer_loads_oldest(router->endpoints->peers, now);
}

unsigned router_open_requests(const Router *router) {
  return g_hash_table_size(router->requests);
}

void router_count_waiting(const Router *router, gint64 now, guint *waiting,
                          guint *in_time) {
  *waiting = router->waiting->len;
  *in_time = waiting_order_count_in_time(router, now);
}

PriorityCounts router_priority_counts(const Router *router, guint priority) {
  PriorityCounts counts = {0};
  guint i;
  if (priority > PRIORITY_LOWEST)
    return counts;
  counts.started = router->started_by_priority[priority];
  counts.refused = router->refused_by_priority[priority];
  for (i = 0; i < router->waiting->len; i++) {
    const Request *request = router->waiting->pdata[i];
    counts.waiting += request->priority == priority;
  }
  return counts;
}

unsigned router_instances(const Router *router) {
  return router->instances;
}

gboolean router_is_configured(const Router *router, gint64 now) {
  if (router->routes == NULL)
    return FALSE;
  return router->routes->accounts == NULL || router->proof_age_max == 0 ||
         now - router->proved_at <= router->proof_age_max;
}

guint64 router_counter(const Router *router, unsigned counter) {
  return counter < ROUTER_COUNTER_COUNT ? router->counters[counter] : 0;
}

const char *router_counter_name(unsigned counter) {
  static const char *const names[] = {
#define X(symbol, name) name,
      ROUTER_COUNTERS(X)
#undef X
  };
  return counter < ROUTER_COUNTER_COUNT ? names[counter] : NULL;
}

void router_record_duration(Router *router, const Request *request,
                            RouterDuration which, gint64 now) {
  gint64 duration = now - request->arrived;
  histogram_add(&router->durations[which], duration);
  if (which == DURATION_STREAM || which == DURATION_PLAIN)
    run_times_add(
        &router_service_state(router, request->service->name)->run_times,
        duration);
}

const Histogram *router_duration(const Router *router, RouterDuration which) {
  return &router->durations[which];
}

const char *router_duration_name(RouterDuration which) {
  static const char *const names[] = {"wait", "first_piece", "stream",
                                      "plain"};
  return names[which];
}

const char *outcome_name(OutcomeKind kind) {
  static const char *const names[] = {
      "unreachable", "not_run",      "broken",    "answer",
      "stream_head", "stream_piece", "stream_end"};
  return names[kind];
}
