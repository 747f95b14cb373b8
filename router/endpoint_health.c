/*
** endpoint_health.c
** Applies the reports of other instances to the judgement of endpoints
**
** The judgement itself is a pure function (router/outlier.h). It is computed
** at most once per JUDGE_INTERVAL, because choices run for each waiting
** request while an instance may have a tenth of a core. While no instance
** reports an unreachable endpoint, only changes by own evidence are looked
** for.
*/

#include <string.h>

#include "router/state.h"

/* With many instances, digests arrive more often than this. A judgement at
** each of them would cost time in proportion to instances times endpoints. */
#define JUDGE_INTERVAL (10 * MP_MS)
/* While an endpoint is down, the judgement is repeated at this interval at
** least, so that reports of instances that have ended are dropped. */
#define REVIEW_INTERVAL (500 * MP_MS)

/* Judges all endpoints of the service to which the one with this index
** belongs. */
static void judge_service(Router *router, guint index, gint64 now) {
  const EndpointTable *table = router->endpoints;
  const Endpoint *one = table->all->pdata[index];
  GPtrArray *group = g_ptr_array_new();
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    if (strcmp(endpoint->record.service, one->record.service) != 0)
      continue;
    endpoint->judged_at = now;
    g_ptr_array_add(group, &endpoint->evidence);
  }
  outlier_judge_reports((OutlierEvidence *const *)group->pdata, group->len,
                        now);
  g_ptr_array_free(group, TRUE);
}

/* Copies the numbers of reports from the digests into the evidence. */
static void read_reports(Router *router) {
  const EndpointTable *table = router->endpoints;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    endpoint->evidence.reports =
        peer_loads_unreachable_reports(table->peers, endpoint->hash);
  }
}

/* Judges the services that have a reported endpoint, or had one. */
static void judge_reported(Router *router, gint64 now) {
  const EndpointTable *table = router->endpoints;
  guint i;
  read_reports(router);
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (endpoint->judged_at != now &&
        (endpoint->evidence.reports >= OUTLIER_REPORTS_MIN ||
         endpoint->evidence.reported_since != 0))
      judge_service(router, i, now);
  }
}

/* Logs the endpoints whose judgement has changed, and counts those that are
** down or on trial. A prefill engine that is avoided because it rejected a
** prompt is not one of them, since it answers. */
static void note_changes(Router *router, gint64 now) {
  const EndpointTable *table = router->endpoints;
  guint i;
  router->down_endpoints = 0;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    const OutlierEvidence *evidence = &endpoint->evidence;
    gboolean is_down = endpoint_verdict(endpoint, now) != OUTLIER_UP &&
                       !endpoint_is_rejecting(endpoint, now);
    router->down_endpoints += is_down;
    if (is_down == endpoint->is_logged_down)
      continue;
    endpoint->is_logged_down = is_down;
    router_log(
        router, is_down ? MP_LOG_EP_OUTLIER : MP_LOG_EP_OUTLIER_OVER,
        " endpoint=%s service=%s own_failures=%u reports=%u heard_ms=%d "
        "down=%u",
        endpoint->record.id, endpoint->record.service,
        endpoint->unreachable_streak, evidence->reports,
        evidence->heard_at != 0 ? (int)((now - evidence->heard_at) / MP_MS)
                                : -1,
        router->down_endpoints);
  }
}

void endpoint_health_update(Router *router, gint64 now) {
  gboolean has_reports;
  if (!router->overload_control)
    return;
  if (now - router->judged_at < JUDGE_INTERVAL) {
    router->judge_at = router->judged_at + JUDGE_INTERVAL;
    return;
  }
  router->judged_at = now;
  has_reports = peer_loads_has_unreachable_reports(router->endpoints->peers);
  if (has_reports || router->has_judged_reports)
    judge_reported(router, now);
  router->has_judged_reports = has_reports;
  note_changes(router, now);
  router->judge_at =
      has_reports || router->down_endpoints > 0 ? now + REVIEW_INTERVAL : 0;
}

guint router_down_endpoints(const Router *router) {
  return router->down_endpoints;
}
