/*
** connections.c
** Decides which idle connections to plain endpoints are reported
*/

#include <string.h>

#include "router/connections.h"

/* Idle connections are reported once an endpoint has this share of its limit
** or more. The first share applies to the estimate, which assumes that every
** instance has as many connections as this one; the second applies to the
** connections that are known from this instance and from the digests. */
#define ESTIMATE_REPORT_SHARE 0.4
#define KNOWN_REPORT_SHARE 0.3

/* Returns how many connections each endpoint of the service accepts from all
** instances together; 0 when that is unlimited or the service is unknown or
** has engines. */
static guint endpoint_limit_of(const Router *router, const char *name) {
  const Service *service = router->routes != NULL
                               ? route_table_find_service(router->routes, name)
                               : NULL;
  return service != NULL && !service->is_engine ? service->max_connections : 0;
}

/* Returns the connections of all instances at one endpoint of the service,
** taking the mean of this instance for every other one. */
static double estimate_connections(const Router *router, const char *service) {
  const GPtrArray *all = router->endpoints->all;
  guint own = 0;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->record.stage != STAGE_NONE ||
        strcmp(endpoint->record.service, service) != 0)
      continue;
    own += endpoint->connections;
    count++;
  }
  return (double)own * router->instances / MAX(count, 1);
}

/* Fills the view in for the service, unless it holds that service already. */
static void view_service(const Router *router, const char *service,
                         ConnectionsView *view) {
  if (view->service != NULL && strcmp(view->service, service) == 0)
    return;
  view->service = service;
  view->endpoint_limit = endpoint_limit_of(router, service);
  view->estimate =
      view->endpoint_limit > 0 ? estimate_connections(router, service) : 0;
}

gboolean connections_must_report(const Router *router,
                                 const Endpoint *endpoint,
                                 ConnectionsView *view) {
  guint known;
  if (endpoint->connections == 0 || endpoint->record.stage != STAGE_NONE)
    return FALSE;
  view_service(router, endpoint->record.service, view);
  if (view->endpoint_limit == 0)
    return FALSE;
  known = endpoint_connections(router->endpoints, endpoint);
  return view->estimate >= ESTIMATE_REPORT_SHARE * view->endpoint_limit ||
         known >= KNOWN_REPORT_SHARE * view->endpoint_limit;
}
