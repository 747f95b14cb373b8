/*
** shortage.c
** Endpoints want fewer requests than there are
**
** They ask for rest, or name a rate. Who can't be served for it hears so at
** once, with when an endpoint is likely to take a request; callers who are
** told the same moment come back spread over as long as they were held off, so
** that they do not meet the endpoints as one wave.
*/

#include <string.h>

#include "router/gate.h"
#include "router/state.h"

/* requests that wait for an engine look again this often while one of them
** rests or names a rate: that ends with time alone */
#define LOOK_AGAIN (50 * MP_MS)
/* who is refused comes back after this at least, and each at another moment */
#define COME_BACK_LEAST (100 * MP_MS)
#define RETRY_SPREAD_MIN (400 * MP_MS)

/* an endpoint that could run the request, but for what it said */
static gboolean is_member(const Endpoint *endpoint, const Request *request) {
  return strcmp(endpoint->record.service, request->service->name) == 0 &&
         endpoint->record.stage == path_run_stage(request) &&
         !endpoint_is_leaving(endpoint);
}

/* until the endpoint is likely to take a request; 0: it said nothing */
static gint64 wait_at(Router *router, const Endpoint *endpoint,
                      const GateLimits *limits, gint64 now) {
  gint64 wait = availability_rest_remaining(&endpoint->availability, now);
  if (limits->rates == NULL ||
      rate_limits_rate(limits->rates, endpoint->hash) < 0)
    return wait;
  return MAX(wait, rate_limits_retry_delay(router->rates, endpoint->hash,
                                           &limits->sharers, now));
}

/* the endpoint that is likely to take a request first, of those that said
** something; NULL: none did */
static const Endpoint *first_to_take(Router *router, const Request *request,
                                     gint64 *wait, gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  const GPtrArray *all = router->endpoints->all;
  const Endpoint *first = NULL;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    gint64 own;
    if (!is_member(endpoint, request))
      continue;
    own = wait_at(router, endpoint, &limits, now);
    if (own == 0 || (first != NULL && own >= *wait))
      continue;
    first = endpoint;
    *wait = own;
  }
  return first;
}

/* does an endpoint that could run it take no more connections? */
static gboolean is_crowded(Router *router, const Request *request,
                           gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  const GPtrArray *all = router->endpoints->all;
  guint i;
  if (limits.connections_max == 0)
    return FALSE;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (is_member(endpoint, request) &&
        gate_check_limits(router->endpoints, endpoint, &limits, now) ==
            GATE_CONNECTIONS)
      return TRUE;
  }
  return FALSE;
}

void shortage_record(Router *router, Request *request, gint64 now) {
  gint64 wait = 0;
  const Endpoint *first = first_to_take(router, request, &wait, now);
  double spread = g_rand_double(router->random);
  request->has_shortage = first != NULL;
  if (first == NULL) {
    request->was_rejected |= is_crowded(router, request, now);
    return;
  }
  request->shortage_reason =
      availability_rest_remaining(&first->availability, now) > 0
          ? REFUSAL_REST
          : REFUSAL_RATE;
  request->come_back = MAX(wait, COME_BACK_LEAST) +
                       (gint64)(spread * (double)MAX(wait, RETRY_SPREAD_MIN));
}

gboolean shortage_outlasts(const Router *router, const Request *request,
                           gint64 span, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  gboolean found = FALSE;
  gint64 left;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (!is_member(endpoint, request))
      continue;
    left = availability_rest_remaining(&endpoint->availability, now);
    if (left == 0 || left <= span)
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
    router->shortage_recheck_at = now + LOOK_AGAIN;
}
