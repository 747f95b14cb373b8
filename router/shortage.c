/*
** shortage.c
** Handles a shortage: endpoints accept fewer requests than there are
**
** Endpoints announce a rest (router/availability.h) or name a rate
** (router/rate_limits.h). A caller that cannot be served in time for this
** reason is refused at once and told when an endpoint is likely to accept a
** request. These times are spread at random over about as long as the caller
** has to wait, so that the callers do not come back to the endpoints in one
** wave.
*/

#include <string.h>

#include "router/gate.h"
#include "router/state.h"

/* Requests that wait for an engine are checked again this often while any
** endpoint rests or names a rate: no event tells when that ends. */
#define RECHECK_INTERVAL (50 * MP_MS)
/* A refused caller is told to come back after the expected wait, at least
** RETRY_AFTER_MIN, plus a random part of that wait or of RETRY_SPREAD_MIN,
** whichever is longer. */
#define RETRY_AFTER_MIN (100 * MP_MS)
#define RETRY_SPREAD_MIN (400 * MP_MS)

/* Returns TRUE if the endpoint could run the request, apart from its rest,
** rate and connections. */
static gboolean could_run(const Endpoint *endpoint, const Request *request) {
  return strcmp(endpoint->record.service, request->service->name) == 0 &&
         endpoint->record.stage == path_run_stage(request) &&
         (request->software == 0 || endpoint->software == request->software) &&
         !endpoint_is_leaving(endpoint);
}

/* Returns for how long the endpoint is likely to accept no request, in us; 0
** if it has announced neither a rest nor a rate that forbids one now. */
static gint64 endpoint_wait(Router *router, const Endpoint *endpoint,
                            const GateLimits *limits, gint64 now) {
  gint64 wait = availability_rest_remaining(&endpoint->availability, now);
  if (limits->rates == NULL ||
      rate_limits_rate(limits->rates, endpoint->hash) < 0)
    return wait;
  return MAX(wait, rate_limits_retry_delay(router->rates, endpoint->hash,
                                           &limits->sharers, now));
}

/* Returns the endpoint that is likely to accept a request first, and sets
** '*wait' to the time until then, among those that make the request wait; NULL
** if none does. */
static const Endpoint *first_to_accept(Router *router, const Request *request,
                                       gint64 *wait, gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  const GPtrArray *all = router->endpoints->all;
  const Endpoint *first = NULL;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    gint64 own_wait;
    if (!could_run(endpoint, request))
      continue;
    own_wait = endpoint_wait(router, endpoint, &limits, now);
    if (own_wait == 0 || (first != NULL && own_wait >= *wait))
      continue;
    first = endpoint;
    *wait = own_wait;
  }
  return first;
}

/* Returns TRUE if an endpoint that could run the request accepts no more
** connections. */
static gboolean has_full_endpoint(Router *router, const Request *request,
                                  gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  const GPtrArray *all = router->endpoints->all;
  guint i;
  if (limits.connections_max == 0)
    return FALSE;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (could_run(endpoint, request) &&
        gate_check_limits(router->endpoints, endpoint, &limits, now) ==
            GATE_CONNECTIONS)
      return TRUE;
  }
  return FALSE;
}

void shortage_record(Router *router, Request *request, gint64 now) {
  gint64 wait = 0;
  const Endpoint *first = first_to_accept(router, request, &wait, now);
  double spread = g_rand_double(router->random);
  request->has_shortage = first != NULL;
  if (first == NULL) {
    request->was_rejected |= has_full_endpoint(router, request, now);
    return;
  }
  request->shortage_reason =
      availability_rest_remaining(&first->availability, now) > 0
          ? REFUSAL_REST
          : REFUSAL_RATE;
  request->come_back = MAX(wait, RETRY_AFTER_MIN) +
                       (gint64)(spread * (double)MAX(wait, RETRY_SPREAD_MIN));
}

gboolean shortage_outlasts(const Router *router, const Request *request,
                           gint64 duration, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  gboolean found = FALSE;
  gint64 remaining;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (!could_run(endpoint, request))
      continue;
    remaining = availability_rest_remaining(&endpoint->availability, now);
    if (remaining == 0 || remaining <= duration)
      return FALSE;
    found = TRUE;
  }
  return found;
}

void shortage_schedule_recheck(Router *router, gint64 now) {
  gboolean needed =
      router->waiting->len > 0 && (rate_limits_count(router->rates) > 0 ||
                                   router_resting_endpoints(router, now) > 0);
  if (!needed)
    router->shortage_recheck_at = 0;
  else if (router->shortage_recheck_at <= now)
    router->shortage_recheck_at = now + RECHECK_INTERVAL;
}
