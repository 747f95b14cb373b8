/*
** pause.c
** Pauses of this instance: it stood still, and what it knows may be outdated
*/

#include "router/state.h"

void router_stood_still(Router *router, gint64 since, gint64 now) {
  if (since >= now)
    return;
  router->stood_still_until = MAX(router->stood_still_until, now);
}

gboolean pause_is_list_confirmed(const Router *router) {
  return router->store_answered_at >= router->stood_still_until;
}
