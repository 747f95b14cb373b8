/*
** connections.c
** Connections at plain endpoints: whose resting ones the others have to know
*/

#include <string.h>

#include "router/connections.h"

/* shares of what an endpoint takes, from which on resting ones are told: of
** what it has if all instances have as many as this one, and of what is known
** to be there */
#define USUAL_SHARE 0.4
#define KNOWN_SHARE 0.3

static guint most_of(const Router *router, const char *name) {
  const Service *service = router->routes != NULL
                               ? route_table_find_service(router->routes, name)
                               : NULL;
  return service != NULL && !service->is_engine ? service->max_connections : 0;
}

static double usual(const Router *router, const char *service) {
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

static void look_at(const Router *router, const char *service,
                    ConnectionsView *view) {
  if (view->service != NULL && strcmp(view->service, service) == 0)
    return;
  view->service = service;
  view->most = most_of(router, service);
  view->usual = view->most > 0 ? usual(router, service) : 0;
}

gboolean connections_must_report(const Router *router,
                                 const Endpoint *endpoint,
                                 ConnectionsView *view) {
  guint known;
  if (endpoint->connections == 0 || endpoint->record.stage != STAGE_NONE)
    return FALSE;
  look_at(router, endpoint->record.service, view);
  if (view->most == 0)
    return FALSE;
  known = endpoint_connections(router->endpoints, endpoint);
  return view->usual >= USUAL_SHARE * view->most ||
         known >= KNOWN_SHARE * view->most;
}
