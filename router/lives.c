/*
** lives.c
** Incarnations of endpoints: from one start of a process to its end
**
** An incarnation ("life" in names) is identified by the endpoint's id and a
** hash of its start time.
**
** Invariant: what an earlier incarnation held (runs, prompts, reservations,
** orders) is gone when a later one is known, whether the connections to the
** earlier one have broken yet or not.
*/

#include <string.h>

#include "router/continuation.h"
#include "router/state.h"

/* Callback of the crash watch: has the endpoint checked, by other instances
** too; returns the number of the check or 0. */
static guint64 send_check(void *data, const Endpoint *endpoint, gint64 timeout,
                          gint64 now) {
  Router *router = data;
  Endpoint *target = endpoint_table_get_incarnation(
      router->endpoints, endpoint->record.id, endpoint->hash);
  return target != NULL ? reach_verify(router->reach, target, timeout, now)
                        : 0;
}

/* Callback of the crash watch: counts the end against the suspects. */
static void handle_endpoint_end(void *data, const char *endpoint, guint32 life,
                                const QuarantineSuspect *suspects, guint count,
                                const char *how, gint64 now) {
  Router *router = data;
  guint requests = 0;
  guint i;
  for (i = 0; i < count; i++)
    requests += (suspects[i].content & QUARANTINE_PART_BIT) == 0;
  router_count(router, ENDPOINT_ENDS);
  router_log(router, MP_LOG_EP_ENDED,
             " endpoint=%s requests=%u parts=%u proof=%s", endpoint, requests,
             count - requests, how);
  for (i = 0; i < count; i++)
    suspects_add_strike(router, &suspects[i], life, now);
  suspects_refuse_held(router, now);
}

CrashWatch *lives_new_crash_watch(Router *router) {
  CrashWatchHost host = {router, send_check, handle_endpoint_end};
  return crash_watch_new(&host);
}

/*
** Returns the number of an open dispatch to this incarnation; 0: there is
** none.
*/
static guint64 find_open_dispatch(const Router *router, const char *endpoint,
                                  guint32 life) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const OpenDispatch *open = &((const Request *)value)->open;
    if (open->number != 0 && open->life == life &&
        strcmp(open->endpoint, endpoint) == 0)
      return open->number;
  }
  return 0;
}

/*
** Forgets, in all requests, the prompts that the endpoint had processed and
** the reservations of it for the decode stage: they are gone.
*/
static void drop_prompts(Router *router, const char *endpoint) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    if (g_strcmp0(request->handle_endpoint, endpoint) == 0) {
      g_clear_pointer(&request->handle, g_free);
      g_clear_pointer(&request->handle_endpoint, g_free);
    }
    if (g_strcmp0(request->read_by, endpoint) == 0)
      g_clear_pointer(&request->read_by, g_free);
    if (g_strcmp0(request->decode, endpoint) == 0)
      g_clear_pointer(&request->decode, g_free);
  }
}

/*
** Ends an incarnation after a record shows that the endpoint's process has
** restarted. Runs on it have ended, whether their connections have broken yet
** or not: they are retried, or not, by the same rules as other broken runs.
*/
static void end_incarnation(Router *router, Endpoint *endpoint, gint64 now) {
  char *id = g_strdup(endpoint->record.id);
  guint32 life = endpoint->hash;
  guint64 number;
  router_log(router, MP_LOG_EP_RESTARTED, " endpoint=%s", id);
  drop_prompts(router, id);
  stages_drop_changes(router->stages, id);
  endpoint->avoid_until = G_MAXINT64; /* nothing is sent there any more */
  while ((number = find_open_dispatch(router, id, life)) != 0) {
    Outcome outcome = {0};
    outcome.dispatch = number;
    outcome.kind = OUTCOME_BROKEN;
    router->host.cancel(router->host.data, number);
    router_outcome(router, &outcome, now);
  }
  crash_watch_incarnation_ended(router->crashes, id, life, "restarted", now);
  g_free(id);
}

static void remove_endpoint(Router *router, const Endpoint *known,
                            gint64 now) {
  char *id;
  guint32 life;
  if (known == NULL)
    return;
  id = g_strdup(known->record.id);
  life = known->hash;
  router_log(router, MP_LOG_EP_LEAVING, " endpoint=%s gone=1", id);
  endpoint_table_remove(router->endpoints, id, now);
  rates_endpoints_changed(router);
  crash_watch_incarnation_ended(router->crashes, id, life, "gone", now);
  g_free(id);
}

/*
** A restored store may hold the record from before the endpoint announced that
** it leaves; it stays leaving.
*/
static void keep_leaving_state(Endpoint *known, const EndpointRecord *record,
                               gint64 now) {
  if (endpoint_record_is_restored(record, &known->record) &&
      !known->record.ready)
    availability_set_leaving(&known->availability, now);
}

void router_set_endpoint(Router *router, const EndpointRecord *record,
                         gboolean gone, gint64 now) {
  Endpoint *known = endpoint_table_get(router->endpoints, record->id);
  gboolean was_ready = known != NULL && known->record.ready;
  EndpointComparison news;
  if (gone) {
    remove_endpoint(router, known, now);
    return;
  }
  news = endpoint_table_compare(router->endpoints, record);
  if (news == ENDPOINT_OUTDATED) {
    endpoint_table_advance_position(router->endpoints, record);
    return;
  }
  if (known != NULL && news == ENDPOINT_RESTARTED)
    end_incarnation(router, known, now);
  if (known != NULL && news == ENDPOINT_SAME)
    keep_leaving_state(known, record, now);
  endpoint_table_set(router->endpoints, record, now);
  continuation_tick(router, now); /* its version may be a second one */
  if (news == ENDPOINT_RESTARTED)
    rates_endpoints_changed(router);
  if (news != ENDPOINT_SAME || was_ready != record->ready)
    router_log(router, record->ready ? MP_LOG_EP_UP : MP_LOG_EP_LEAVING,
               " endpoint=%s service=%s zone=%s stage=%d", record->id,
               record->service, record->zone, (int)record->stage);
}
