/*
** stream_software.c
** At which versions of the endpoints' software new streams may begin, and for
** which version the set in the store speaks
*/

#include "router/continuation.h"
#include "router/state.h"
#include "router/stream_software.h"

/* margin for messages that are under way (continuation.h, invariant 3) */
#define NEW_SOFTWARE_MARGIN (500 * MP_MS)

static gboolean is_first(gconstpointer data, guint32 key) {
  return continuation_is_first(data, key);
}

static SoftwareView view_of(const Router *router) {
  SoftwareView view = {0};
  view.history = router->endpoints->software;
  view.followed_since = continuation_followed_since(router->continuation);
  view.confirmed_at = router->store_answered_at;
  view.news_age_max = router->news_age_max;
  view.is_first = is_first;
  view.data = router;
  return view;
}

void stream_software_restrict(Router *router, EndpointQuery *query,
                              const Request *request, gint64 now) {
  SoftwareView view = view_of(router);
  gint64 before;
  if (request->software != 0 || request->route->kind != ROUTE_STREAM ||
      !request->repeatable || router->news_age_max == 0)
    return;
  query->software_before = now - router->news_age_max - NEW_SOFTWARE_MARGIN;
  query->allowed = software_sets_allowed(router->software_sets,
                                         g_str_hash(request->service->name),
                                         &view, &query->allowed_count);
  before = query->software_before;
  if (endpoint_table_has_allowed_software(router->endpoints, query, now))
    return;
  if (query->allowed != NULL) {
    query->software_before = 0;
    if (endpoint_table_has_allowed_software(router->endpoints, query, now))
      return;
    query->allowed = NULL;
    query->software_before = before;
    if (endpoint_table_has_allowed_software(router->endpoints, query, now))
      return;
  }
  query->software_before = 0;
}

guint64 stream_software_only(const Router *router, guint32 service,
                             gint64 read_since, gint64 now) {
  SoftwareView view = view_of(router);
  return software_sets_only(router->software_sets, service, &view, read_since,
                            now);
}

gboolean stream_software_want_read(Router *router, guint32 service,
                                   gint64 since) {
  SoftwareView view = view_of(router);
  return software_sets_want_read(router->software_sets, service, &view, since);
}

/*
** {==================================================================
** Calls to the store
** ===================================================================
*/

/* Names the services of resumable routes. */
static void name_services(Router *router) {
  SoftwareSets *sets = router->software_sets;
  guint i;
  guint j;
  if (!software_sets_begin_services(sets, router->routes->version))
    return;
  for (i = 0; i < router->routes->routes->len; i++) {
    const Route *route = router->routes->routes->pdata[i];
    if (route->kind != ROUTE_STREAM || !route->resumable)
      continue;
    for (j = 0; j < route->targets->len; j++)
      software_sets_add_service(
          sets, g_array_index(route->targets, RouteTarget, j).service,
          continuation_route_lifetime(route));
  }
  software_sets_end_services(sets);
}

gboolean router_next_software_call(Router *router, SoftwareSetCall *out,
                                   gint64 *due, gint64 now) {
  SoftwareView view = view_of(router);
  *due = G_MAXINT64;
  if (router->routes == NULL)
    return FALSE;
  name_services(router);
  return software_sets_next_call(router->software_sets, &view, out, due, now);
}

/* Decides about the requests that wait for a read of the service's set. A
** decision may end other requests, so they are found by number. */
static void recheck(Router *router, guint32 service, gint64 now) {
  GArray *numbers = g_array_new(FALSE, FALSE, sizeof(guint64));
  GHashTableIter iterator;
  gpointer value;
  guint i;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Request *request = value;
    if (request->phase == PHASE_ORIGIN && request->query.is_listed &&
        g_str_hash(request->service->name) == service)
      g_array_append_val(numbers, request->number);
  }
  for (i = 0; i < numbers->len; i++) {
    Request *request = g_hash_table_lookup(
        router->requests, &g_array_index(numbers, guint64, i));
    if (request != NULL && request->phase == PHASE_ORIGIN)
      continuation_recheck(router, request, now);
  }
  g_array_free(numbers, TRUE);
  admission_start_waiting_requests(router, now);
}

/* Logs and counts what a write of this instance has changed. */
static void note_changes(Router *router, const SoftwareSetCall *call) {
  static const char *const names[] = {"added", "unmarked", "marked",
                                      "removed"};
  guint i;
  for (i = 0; i < call->change_count; i++) {
    const SoftwareChange *change = &call->changes[i];
    router_log(router, MP_LOG_SOFTWARE_SET,
               " service=%s change=%s software=%016" G_GINT64_MODIFIER
               "x versions=%u",
               call->service, names[change->kind], change->software,
               call->record.count);
    if (change->kind == SOFTWARE_ADDED)
      router_count(router, VERSIONS_ADDED);
    else if (change->kind == SOFTWARE_REMOVED)
      router_count(router, VERSIONS_REMOVED);
  }
}

void router_software_reply(Router *router, const SoftwareSetCall *call,
                           const SoftwareSetReply *reply, guint64 era,
                           gint64 now) {
  SoftwareSetReply taken = *reply;
  guint32 service = g_str_hash(call->service);
  gboolean is_first_read;
  guint64 only;
  router_observe_era(router, era, now);
  if (era < router->era)
    taken.status = STORE_FAILED; /* it predates what is known */
  if (taken.status == STORE_OK && call->operation != STORE_READ)
    note_changes(router, call);
  is_first_read = stream_software_want_read(router, service, 0);
  software_sets_reply(router->software_sets, &taken, now);
  only = stream_software_only(router, service, 0, now);
  if (is_first_read && only != 0)
    router_log(router, MP_LOG_SOFTWARE_ONLY,
               " service=%s software=%016" G_GINT64_MODIFIER "x",
               call->service, only);
  recheck(router, service, now);
}

/* }================================================================== */
