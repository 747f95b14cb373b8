/*
** rates.c
** Rates that endpoints name: applies answers and messages to the rate limits,
** and tells the gate what may be sent
**
** Invariant: each dispatch that sends an endpoint a request of any kind (all
** but checks) is counted there in dispatcher.c, and a reservation at a decode
** engine counts like the run until the run itself is sent (prefill.c). No run
** or prefill is sent to an endpoint whose rate does not allow it
** (gate_check_limits).
*/

#include <string.h>

#include "router/retry_exchange.h"
#include "router/state.h"

/* The limit of connections is applied only once an endpoint of the service has
** more than this share of the connections that it takes. */
#define CONNECTIONS_CHECKED_SHARE 0.4
/* RateSharers are computed anew after this time. Each look at a waiting
** request asks for them, and computing them walks over all reachable
** instances. (300 instances, 100 requests that wait for engines that name
** rates: handling a digest took 628 us without this, 25 us with it, on one
** core.) */
#define SHARERS_CACHE_TIME (5 * MP_MS)

/*
** {==================================================================
** Rates as endpoints name them
** ===================================================================
*/

static const Endpoint *find_listed(const Router *router, guint32 hash) {
  const GPtrArray *all = router->endpoints->all;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->hash == hash)
      return endpoint;
  }
  return NULL;
}

static gboolean is_listed(void *data, guint32 endpoint) {
  return find_listed(data, endpoint) != NULL;
}

void rates_endpoints_changed(Router *router) {
  rate_limits_keep_listed(router->rates, is_listed, router);
}

/* Logs a rate that differs from the one before. 'said_by' is "answer" or
** "instance": how this instance learned it; 'age_ms' is the time since the
** answer. */
static void log_change(Router *router, const Endpoint *endpoint, double before,
                       const char *said_by, guint age_ms, gint64 now) {
  double rate = rate_limits_rate(router->rates, endpoint->hash);
  LimitSharers sharers = accounts_sharers(router, now);
  if (rate == before)
    return;
  router_log(router, rate < 0 ? MP_LOG_EP_RATE_OVER : MP_LOG_EP_RATE,
             " endpoint=%s rate=%.3f before=%.3f said_by=%s age_ms=%u "
             "heard=%u instances=%u open=%u",
             endpoint->record.id, rate, before, said_by, age_ms, sharers.heard,
             sharers.instances,
             endpoint_open_count(router->endpoints, endpoint));
}

static void log_unreadable(Router *router, const Endpoint *endpoint) {
  router_count(router, RATES_BAD);
  router_log(router, MP_LOG_EP_RATE_BAD, " endpoint=%s", endpoint->record.id);
}

void rates_apply_signal(Router *router, const Endpoint *endpoint,
                        const EndpointSignals *signals, gint64 now) {
  gboolean given = signals->rate == SIGNAL_GIVEN;
  double named = given ? signals->rate_per_second : RATE_UNLIMITED;
  double before;
  if (signals->rate == SIGNAL_UNREADABLE) {
    log_unreadable(router, endpoint);
    return;
  }
  if (!given && !signals->served)
    return;
  before = rate_limits_rate(router->rates, endpoint->hash);
  rate_limits_set(router->rates, endpoint->hash, named, now);
  log_change(router, endpoint, before, "answer", 0, now);
}

guint router_limited_endpoints(const Router *router) {
  return rate_limits_count(router->rates);
}

guint64 router_rate_skips(const Router *router) {
  return rate_limits_skips(router->rates);
}

/* }================================================================== */

/*
** {==================================================================
** Sending
** ===================================================================
*/

/* Returns how many requests the other instances may send to the service before
** this one hears of them: at most one each, because an instance draws anew
** after each request. */
static double competing_requests(Router *router, const Service *service,
                                 const RateSharers *sharers, gint64 now) {
  const PeerLoads *peers = router->endpoints->peers;
  double others = sharers->instances.heard - 1;
  double arrivals = retry_budget_others_rate(
      router_retry_budget(router, service->name), &router->retry, now);
  double expected = arrivals * (double)sharers->delay / MP_SEC;
  if (service->is_engine)
    expected += peer_loads_waiting_requests(peers);
  return MIN(others, expected);
}

static RateSharers compute_sharers(Router *router, const Service *service,
                                   gint64 now) {
  RateSharers sharers = {0};
  gboolean is_summed = router->near < router->instances;
  sharers.instances = accounts_sharers(router, now);
  sharers.delay = is_summed ? RATE_SUMMARY_DELAY : RATE_REPORT_DELAY;
  if (service != NULL)
    sharers.competing_requests =
        competing_requests(router, service, &sharers, now);
  return sharers;
}

RateSharers rates_sharers(Router *router, const Service *service, gint64 now) {
  RateView *view = &router->rates_view;
  if (view->service != service || now - view->at >= SHARERS_CACHE_TIME) {
    view->sharers = compute_sharers(router, service, now);
    view->service = service;
    view->at = now;
  }
  return view->sharers;
}

/* Returns TRUE if some endpoint of a plain service is close enough to its
** limit of connections that the limit has to be applied. Connections to
** engines are not limited, since their memory bounds them. */
static gboolean is_connection_limit_near(const Router *router,
                                         const Service *service) {
  const GPtrArray *all = router->endpoints->all;
  guint i;
  if (service->is_engine || service->max_connections == 0)
    return FALSE;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->record.stage == STAGE_NONE &&
        strcmp(endpoint->record.service, service->name) == 0 &&
        endpoint_connections(router->endpoints, endpoint) >
            CONNECTIONS_CHECKED_SHARE * service->max_connections)
      return TRUE;
  }
  return FALSE;
}

GateLimits rates_limits(Router *router, const Service *service, gint64 now) {
  GateLimits limits = {0};
  if (is_connection_limit_near(router, service))
    limits.connections_max = service->max_connections;
  if (rate_limits_count(router->rates) > 0)
    limits.rates = router->rates;
  if (limits.connections_max == 0 && limits.rates == NULL)
    return limits;
  limits.sharers = rates_sharers(router, service, now);
  limits.seed = router->seed;
  return limits;
}

/* }================================================================== */

/*
** {==================================================================
** Exchange with other instances
** ===================================================================
*/

guint64 router_rates_version(const Router *router) {
  return rate_limits_version(router->rates);
}

void router_report_rates(const Router *router, gboolean sums,
                         mp_RateUpdate *out, gint64 now) {
  if (sums)
    rate_limits_write_summary(router->rates, out, now);
  else
    rate_limits_write(router->rates, out, now);
}

/* Removes the rows of endpoints that are not listed here, which come again
** with later messages, and stores the present rate of each row that stays. */
static void keep_listed(const Router *router, mp_RateUpdate *news,
                        double before[MP_RATE_ROWS]) {
  unsigned n = 0;
  unsigned i;
  for (i = 0; i < news->n; i++) {
    if (find_listed(router, news->row[i].endpoint) == NULL)
      continue;
    before[n] = rate_limits_rate(router->rates, news->row[i].endpoint);
    news->row[n++] = news->row[i];
  }
  news->n = n;
}

void router_receive_rates(Router *router, mp_Addr peer,
                          const mp_RateUpdate *message, gint64 now) {
  RateSharers sharers = rates_sharers(router, NULL, now);
  double before[MP_RATE_ROWS];
  mp_RateUpdate news = *message;
  unsigned i;
  keep_listed(router, &news, before);
  rate_limits_receive(router->rates, peer, &news, &sharers, now);
  for (i = 0; i < news.n; i++)
    log_change(router, find_listed(router, news.row[i].endpoint), before[i],
               "instance", news.row[i].age_ms, now);
  admission_start_waiting_requests(router, now);
}

/* }================================================================== */
