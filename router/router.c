/*
** router.c
** The router: its tables, and the doors through which events come in
*/

#include <stdarg.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/retry_exchange.h"
#include "router/state.h"

/* the last word leaves this long before the caller stops waiting */
#define ANSWER_MARGIN (15 * MP_MS)

/*
** {==================================================================
** Life
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
  router->seed = options->seed ^ options->self;
  router->rates = rate_limits_new(router->seed);
  router->crashes = lives_new_crash_watch(router);
  router->quarantine = quarantine_new(options->unix_offset, options->seed);
  router->suspicions = suspicions_new();
  router->unknown_fields =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  router->proof_age_max = options->proof_age_max;
  router->news_age_max = options->news_age_max;
  router->dispatched = g_hash_table_new(g_int64_hash, g_int64_equal);
  router->stages = stages_new(router, options->instance, options->self,
                              options->lease_length, now);
  return router;
}

void router_free(Router *router) {
  stages_free(router->stages);
  account_limits_free(router->limits);
  rate_limits_free(router->rates);
  crash_watch_free(router->crashes);
  quarantine_free(router->quarantine);
  suspicions_free(router->suspicions);
  g_hash_table_destroy(router->unknown_fields);
  g_hash_table_destroy(router->dispatched);
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

gboolean router_set_routes(Router *router, RouteTable *routes, gint64 now) {
  if (router->routes != NULL && routes->version <= router->routes->version)
    return FALSE; /* never back within a life */
  route_table_ref(routes);
  route_table_unref(router->routes);
  router->routes = routes;
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
  router->heard_at = MAX(router->heard_at, at);
}

void router_set_news_state(Router *router, const NewsState *news) {
  router->news = news;
}

void router_keep_endpoints(Router *router, GHashTable *names, gint64 now) {
  endpoint_table_keep(router->endpoints, names, now);
  rates_endpoints_changed(router);
}

void router_set_instances(Router *router, unsigned count, unsigned near) {
  router->is_listed = TRUE;
  router->instances = MAX(count, 1);
  router->near = CLAMP(near, 1, router->instances);
  router->endpoints->is_late = router->near < router->instances;
}

/* }================================================================== */

/*
** {==================================================================
** Requests
** ===================================================================
*/

/* what one client account sends is held against that account alone */
static guint64 content_of(const CallerRequest *call, const Account *account) {
  if (account == NULL)
    return call->content;
  return XXH3_64bits_withSeed(account->name, strlen(account->name),
                              call->content);
}

static Request *request_new(const CallerRequest *call, RouteTable *table,
                            const Route *route, const Account *account,
                            gint64 now) {
  Request *request = g_new0(Request, 1);
  gint64 patience =
      call->deadline_ms > 0 ? call->deadline_ms * MP_MS : route->timeout;
  request->number = call->number;
  request->id = g_strdup(call->id);
  request->table = route_table_ref(table);
  request->route = route;
  request->repeatable = route_is_repeatable(route);
  request->prompt_tokens = call->prompt_tokens;
  request->output_tokens = call->output_tokens;
  request->session = call->session;
  request->content = content_of(call, account);
  request->resumes = call->resumes;
  request->arrived = now;
  request->caller_deadline = now + patience;
  request->expires = now + patience - ANSWER_MARGIN;
  if (route->timeout > 0)
    request->expires = MIN(request->expires, now + route->timeout);
  return request;
}

static gint64 news_age(const Router *router, gint64 now) {
  return router->heard_at != 0 ? now - router->heard_at : G_MAXINT32;
}

/*
** "No such route" and "no such key" are final for a caller. While a newer
** configuration is known elsewhere, or the news are older than they are at any
** instance that the store answers, the route may have come since: the caller
** is told to try again, and reaches another instance, or this one later.
*/
gboolean router_may_be_outdated(const Router *router, gint64 now) {
  if (router->news != NULL && router->news->lags_since != 0)
    return TRUE;
  return router->news_age_max > 0 &&
         news_age(router, now) > router->news_age_max;
}

static RefusalKind no_route(const Router *router, gint64 now) {
  return router_may_be_outdated(router, now) ? REFUSAL_OLD_CONFIGURATION
                                             : REFUSAL_NO_ROUTE;
}

static gint64 news_lag(const Router *router, gint64 now) {
  return router->news != NULL ? news_state_lag(router->news, now) : 0;
}

static void refuse_unrouted(Router *router, const CallerRequest *call,
                            RefusalKind kind, gint64 now) {
  Refusal refusal = {kind, finish_default_retry_ms(kind)};
  guint64 version = router->routes != NULL ? router->routes->version : 0;
  router_count(router, REFUSED);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s host=%s config=%" G_GUINT64_FORMAT
             " news_age_ms=%d lag_ms=%d",
             call->id, finish_refusal_name(kind), call->host, version,
             (int)(news_age(router, now) / MP_MS),
             (int)(news_lag(router, now) / MP_MS));
  router->host.refuse(router->host.data, call->number, &refusal);
}

void router_request(Router *router, const CallerRequest *call, gint64 now) {
  const Route *route;
  const Account *account;
  Request *request;
  const char *service;
  Refusal refusal = {0};
  router_count(router, REQUESTS);
  if (router->routes == NULL) {
    refuse_unrouted(router, call, REFUSAL_NO_CONFIGURATION, now);
    return;
  }
  if (router->stopping) {
    refuse_unrouted(router, call, REFUSAL_DRAINING, now);
    return;
  }
  route = route_table_find_route(router->routes, call->host, call->path);
  if (route == NULL) {
    refuse_unrouted(router, call, no_route(router, now), now);
    return;
  }
  if (!accounts_admit(router, call, route, &account, &refusal, now)) {
    router_count(router, REFUSED);
    router->host.refuse(router->host.data, call->number, &refusal);
    return;
  }
  service = route_choose_service(route, g_rand_int(router->random));
  request = request_new(call, router->routes, route, account, now);
  accounts_attach(request, call, account);
  request->service = route_table_find_service(router->routes, service);
  g_hash_table_insert(router->requests, &request->number, request);
  if (request->service == NULL) {
    finish_refuse(router, request, REFUSAL_NO_ENDPOINT);
    return;
  }
  if (!suspects_may_dispatch(router, request, &refusal.kind, now)) {
    finish_refuse(router, request, refusal.kind);
    return;
  }
  retry_budget_count_request(router_retry_budget(router, service),
                             &router->retry, now);
  router_log(router, MP_LOG_ROUTE_ACCEPT,
             " request=%s route=%s service=%s prompt=%u output=%u left_ms=%d "
             "objective_ms=%d session=%" G_GINT64_MODIFIER
             "x account=%s config_age_ms=%d content=%016" G_GINT64_MODIFIER
             "x",
             request->id, route->name, service, request->prompt_tokens,
             request->output_tokens, (int)((request->expires - now) / MP_MS),
             (int)(route->objective / MP_MS), request->session,
             account != NULL ? account->name : "-",
             (int)(accounts_configuration_age(router, now) / MP_MS),
             request->content);
  path_start(router, request, now);
}

void router_stop_accepting(Router *router, gint64 now) {
  router->stopping = TRUE;
  while (router->waiting->len > 0) {
    Request *request = router->waiting->pdata[0];
    prefill_drop_handle(router, request, now);
    finish_refuse(router, request, REFUSAL_DRAINING);
  }
}

void router_hangup(Router *router, guint64 number, gint64 now) {
  Request *request = g_hash_table_lookup(router->requests, &number);
  if (request == NULL)
    return;
  finish_hangup(router, request, now);
  admission_start_waiting(router, now);
}

/* the endpoint itself has said something */
static gboolean is_answer_of_endpoint(const Outcome *outcome) {
  return outcome->kind != OUTCOME_UNREACHABLE &&
         outcome->kind != OUTCOME_BROKEN && !outcome->misdirected;
}

void router_outcome(Router *router, const Outcome *outcome, gint64 now) {
  Request *request;
  if (stages_handle_outcome(router->stages, outcome, now) ||
      crash_watch_outcome(router->crashes, outcome, now))
    return;
  request = g_hash_table_lookup(router->dispatched, &outcome->dispatch);
  if (request == NULL)
    return; /* given up before */
  if (is_answer_of_endpoint(outcome))
    suspects_note_answer(router, request, now);
  if (request->phase == PHASE_PREFILL)
    prefill_handle_outcome(router, request, outcome, now);
  else
    outcomes_handle(router, request, outcome, now);
  admission_start_waiting(router, now);
}

/* }================================================================== */

/*
** {==================================================================
** Time
** ===================================================================
*/

static gint64 wake_time(const Request *request) {
  gint64 wake = request->expires;
  if (request->stall_at != 0)
    wake = MIN(wake, request->stall_at);
  if (request->start_at != 0)
    wake = MIN(wake, request->start_at);
  if (request->suspect_at != 0)
    wake = MIN(wake, request->suspect_at);
  return wake;
}

gint64 router_next_tick(const Router *router) {
  gint64 next = stages_next_tick(router->stages);
  if (router->shortage_recheck_at != 0)
    next = MIN(next, router->shortage_recheck_at);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    next = MIN(next, wake_time(value));
  return next;
}

static void stalled(Router *router, Request *request, gint64 now) {
  if (request->phase == PHASE_WAIT)
    admission_review(router, request, now);
  else if (request->phase == PHASE_PREFILL)
    prefill_handle_stall(router, request, now);
  else
    outcomes_handle_stall(router, request, now);
}

/* one request whose time has come; 0 when there is none */
static gboolean tick_one(Router *router, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (wake_time(request) > now)
      continue;
    if (request->expires <= now)
      finish_expire(router, request, now);
    else if (request->suspect_at != 0 && request->suspect_at <= now)
      outcomes_mark_suspect(router, request, now);
    else if (request->start_at != 0 && request->start_at <= now)
      admission_take_turn(router, request, now);
    else
      stalled(router, request, now);
    return TRUE;
  }
  return FALSE;
}

void router_tick(Router *router, gint64 now) {
  if (peer_loads_expire(router->endpoints->peers, now))
    admission_start_waiting(router, now);
  while (tick_one(router, now)) {
  }
  stages_tick(router->stages, now);
  crash_watch_expire(router->crashes, now);
  quarantine_expire(router->quarantine, now);
  suspicions_expire(router->suspicions, now);
  admission_start_waiting(router, now);
}

/* }================================================================== */

void router_observe_era(Router *router, guint64 era, gint64 now) {
  gboolean is_return = router->era != 0;
  if (era <= router->era)
    return;
  router->era = era;
  stages_observe_era(router->stages, era, now);
  if (is_return)
    quarantine_store_restored(router->quarantine, era);
}

void router_lease_reply(Router *router, const LeaseReply *reply, gint64 now) {
  stages_lease_reply(router->stages, reply, now);
}

unsigned router_open_requests(const Router *router) {
  return g_hash_table_size(router->requests);
}

void router_count_waiting(const Router *router, gint64 now, guint *waiting,
                          guint *in_time) {
  *waiting = router->waiting->len;
  *in_time = admission_count_in_time(router, now);
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
  histogram_add(&router->durations[which], now - request->arrived);
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
