/*
** waiting_order.c
** Which waiting requests go before which
*/

#include <string.h>

#include "router/waiting_order.h"

gboolean waiting_order_is_ranked(const Request *request) {
  return request->service->has_priorities;
}

gboolean waiting_order_has_late_limits(const Router *router,
                                       const Request *request) {
  return router->overload_control && request->route->objective > 0;
}

static guint32 service_hash(const Request *request) {
  return g_str_hash(request->service->name);
}

gboolean waiting_order_is_same_service(const Request *one,
                                       const Request *other) {
  return one->service == other->service ||
         strcmp(one->service->name, other->service->name) == 0;
}

AdmissionRank waiting_order_rank(const Router *router, const Request *request,
                                 gint64 now) {
  AdmissionInput input = {0};
  input.arrived = request->arrived;
  input.first_attempt_at = request->first_attempt_at;
  input.objective = request->route->objective;
  input.is_prefilled = request->handle != NULL;
  input.priority = waiting_order_is_ranked(request) ? request->priority : 0;
  input.over_share = request->over_share;
  input.expected_output =
      router->overload_control ? request->expected_output : 0;
  return admission_order_rank(&input, now);
}

gboolean waiting_order_is_in_time(const Router *router, const Request *request,
                                  gint64 now) {
  return !waiting_order_rank(router, request, now).is_late;
}

/* Compares two waiting requests as admission_order_compare does. Priorities
** order the requests of one service alone. */
static int compare(const Router *router, const Request *one,
                   const Request *other, gint64 now) {
  AdmissionRank ranks[2] = {waiting_order_rank(router, one, now),
                            waiting_order_rank(router, other, now)};
  if (!waiting_order_is_same_service(one, other))
    ranks[0].priority = ranks[1].priority = 0;
  return admission_order_compare(&ranks[0], &ranks[1]);
}

guint waiting_order_count_in_time(const Router *router, gint64 now) {
  guint count = 0;
  guint i;
  for (i = 0; i < router->waiting->len; i++)
    count += waiting_order_is_in_time(router, router->waiting->pdata[i], now);
  return count;
}

/* Returns how many requests in time are before this one in the queue here. */
static guint count_queued_before(const Router *router, const Request *request,
                                 gint64 now) {
  guint count = 0;
  guint i;
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    if (other == request)
      break;
    count += waiting_order_is_in_time(router, other, now);
  }
  return count;
}

guint waiting_order_count_before(const Router *router, const Request *request,
                                 gint64 now) {
  gboolean is_later = FALSE; /* in the queue than this one */
  guint count = 0;
  guint i;
  if (!waiting_order_is_ranked(request) &&
      !waiting_order_has_late_limits(router, request))
    return count_queued_before(router, request, now);
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    int order = compare(router, other, request, now);
    is_later |= other == request;
    count += order < 0 || (order == 0 && !is_later);
  }
  return count;
}

guint waiting_order_count_peers(const Router *router, const Request *request,
                                const AdmissionRank *rank) {
  const PeerLoads *peers = router->endpoints->peers;
  if (rank->is_late && waiting_order_has_late_limits(router, request))
    return peer_loads_waiting_requests(peers);
  if (waiting_order_is_ranked(request))
    return peer_loads_waiting_ranked(peers, service_hash(request),
                                     rank->priority);
  return peer_loads_waiting_in_time(peers);
}

/* Returns how many requests at other instances start before this one. The
** digests tell no order of the late ones, so one is counted for each instance
** that has any waiting. */
static guint count_peers_ahead(const Router *router, const Request *request,
                               gint64 now) {
  const PeerLoads *peers = router->endpoints->peers;
  AdmissionRank rank = waiting_order_rank(router, request, now);
  if (rank.is_late)
    return peer_loads_count_with_waiting(peers);
  if (waiting_order_is_ranked(request))
    return peer_loads_count_before(peers, service_hash(request), rank.priority,
                                   rank.came);
  return peer_loads_count_waiting_longer(peers, rank.came);
}

guint waiting_order_count_ahead(const Router *router, const Request *request,
                                gint64 now) {
  guint count = 0;
  guint i;
  if (request->software == 0)
    count = count_peers_ahead(router, request, now);
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    count += other->software == request->software &&
             compare(router, other, request, now) < 0;
  }
  return count;
}

gint64 waiting_order_oldest_wait(const Router *router, gint64 now) {
  gint64 first = now;
  guint i;
  for (i = 0; i < router->waiting->len; i++) {
    AdmissionRank rank =
        waiting_order_rank(router, router->waiting->pdata[i], now);
    if (!rank.is_late)
      first = MIN(first, rank.came);
  }
  return now - first;
}

void waiting_order_write_digest(const Router *router, mp_LoadDigest *out,
                                gint64 now) {
  guint i;
  out->ranked_count = 0;
  for (i = 0; i < router->waiting->len; i++) {
    const Request *request = router->waiting->pdata[i];
    AdmissionRank rank = waiting_order_rank(router, request, now);
    mp_WaitingRow row = {service_hash(request), rank.priority, 1, 0};
    row.oldest_ms = (uint32_t)(MAX(now - rank.came, 0) / MP_MS);
    if (!rank.is_late)
      peer_loads_add_waiting(out, &row);
  }
}
