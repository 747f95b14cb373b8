/*
** preemption.c
** Finds an engine where an urgent request may displace a less urgent run
*/

#include "router/gate.h"
#include "router/state.h"
#include "router/waiting_order.h"

/* Returns TRUE if a run at this engine can be displaced for the request: 'run'
** is less urgent, and without its memory the request fits. */
static gboolean can_displace(Router *router, const Request *request,
                             const EndpointQuery *query, const Request *run,
                             const Endpoint *engine, gint64 now) {
  const EndpointTable *table = router->endpoints;
  return engine->avoid_until <= now && engine->record.stage == STAGE_DECODE &&
         !path_is_excluded(request, engine->record.id) &&
         !endpoint_is_changing_stage(table, engine, now) &&
         !endpoint_has_crashed_under(query, engine) &&
         gate_check(engine, DISPATCH_RUN, now) == GATE_OPEN &&
         gate_check_limits(table, engine, &query->limits, now) == GATE_OPEN &&
         endpoint_tokens(table, engine) + query->tokens <=
             query->capacity + run->open.tokens;
}

/* Returns TRUE if the open dispatch of the other request is a run of the same
** service with a lower priority. */
static gboolean is_less_urgent_run(const Request *other,
                                   const Request *request) {
  return other->phase == PHASE_RUN && other->open.number != 0 &&
         other->priority > request->priority &&
         waiting_order_is_same_service(other, request);
}

Endpoint *preemption_find_engine(Router *router, const Request *request,
                                 gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_DECODE, now);
  Endpoint *best = NULL;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Request *run = value;
    Endpoint *engine;
    if (!is_less_urgent_run(run, request))
      continue;
    engine = path_open_endpoint(router, run);
    if (engine == NULL ||
        !can_displace(router, request, &query, run, engine, now))
      continue;
    if (best == NULL || endpoint_tokens(router->endpoints, engine) <
                            endpoint_tokens(router->endpoints, best))
      best = engine;
  }
  return best;
}
