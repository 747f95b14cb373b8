/*
** rates.c
** Rates that endpoints name: what the router does about them
*/

#include "router/state.h"

static void log_rate(Router *router, const Endpoint *endpoint, double rate,
                     double before) {
  if (rate < 0)
    router_log(router, MP_LOG_EP_RATE_OVER, " endpoint=%s before=%.3f open=%u",
               endpoint->record.id, before,
               endpoint_open(router->endpoints, endpoint));
  else
    router_log(router, MP_LOG_EP_RATE,
               " endpoint=%s rate=%.3f before=%.3f open=%u",
               endpoint->record.id, rate, before,
               endpoint_open(router->endpoints, endpoint));
}

void router_endpoint_rate(Router *router, guint64 dispatch,
                          const EndpointRate *rate, gint64 now) {
  const Request *request = g_hash_table_lookup(router->dispatched, &dispatch);
  const Endpoint *endpoint =
      request != NULL ? path_open_endpoint(router, request) : NULL;
  double named = rate->saying == RATE_NAMED ? rate->per_second : RATE_ANY;
  double before;
  (void)now;
  if (endpoint == NULL)
    return; /* given up, or that life is over */
  if (rate->saying == RATE_UNREADABLE) {
    router_count(router, RATES_BAD);
    router_log(router, MP_LOG_EP_RATE_BAD, " endpoint=%s",
               endpoint->record.id);
    return;
  }
  before = rate_limits_of(router->rates, endpoint->hash);
  if (named == before)
    return;
  rate_limits_named(router->rates, endpoint->hash, named);
  log_rate(router, endpoint, named, before);
}

guint router_limited_endpoints(const Router *router) {
  return rate_limits_count(router->rates);
}
