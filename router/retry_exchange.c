/*
** retry_exchange.c
** Exchanges the counts of retry budgets between instances
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/retry_exchange.h"

static guint32 name_hash(const char *service) {
  return (guint32)XXH3_64bits(service, strlen(service));
}

void retry_exchange_write(const Router *router, mp_LoadDigest *out) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  out->retry_count = 0;
  g_hash_table_iter_init(&iterator, router->services);
  while (out->retry_count < MP_LOAD_DIGEST_SERVICES &&
         g_hash_table_iter_next(&iterator, &name, &value)) {
    const ServiceState *state = value;
    mp_RetryRow *row = &out->retry[out->retry_count++];
    row->service = name_hash(name);
    row->requests = state->budget.total.requests;
    row->extras = state->budget.total.extras;
  }
}

void retry_exchange_write_sum(const Router *router, mp_LoadDigest *out) {
  GHashTableIter iterator;
  gpointer value;
  unsigned i = 0;
  retry_exchange_write(router, out);
  g_hash_table_iter_init(&iterator, router->services);
  while (i < out->retry_count &&
         g_hash_table_iter_next(&iterator, NULL, &value)) {
    const ServiceState *state = value;
    out->retry[i].requests += state->budget.near.requests;
    out->retry[i].extras += state->budget.near.extras;
    i++;
  }
}

static const mp_RetryRow *find_row(const mp_LoadDigest *digest,
                                   guint32 service) {
  unsigned i;
  for (i = 0; digest != NULL && i < digest->retry_count; i++) {
    if (digest->retry[i].service == service)
      return &digest->retry[i];
  }
  return NULL;
}

static guint32 counter_growth(guint32 before, guint32 after) {
  return after >= before ? after - before : after;
}

static ServiceState *find_service_state(const Router *router,
                                        guint32 service) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init(&iterator, router->services);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    if (name_hash(name) == service)
      return value;
  }
  return NULL;
}

/*
** What an instance that has just started hears first from a peer was spent
** before its own start.
*/
static gboolean is_before_start(const Router *router,
                                const mp_LoadDigest *before, gint64 now) {
  return before == NULL && now - router->retry.born < router->retry.window;
}

static void add_counts(RetryCounts *to, const RetryCounts *more) {
  to->requests += more->requests;
  to->extras += more->extras;
}

void retry_exchange_receive(Router *router, const mp_LoadDigest *before,
                            const mp_LoadDigest *after, gint64 now) {
  unsigned i;
  if (is_before_start(router, before, now))
    return;
  for (i = 0; i < after->retry_count; i++) {
    const mp_RetryRow *row = &after->retry[i];
    const mp_RetryRow *old = find_row(before, row->service);
    ServiceState *state = find_service_state(router, row->service);
    RetryCounts more;
    if (state == NULL)
      continue;
    more.requests =
        counter_growth(old != NULL ? old->requests : 0, row->requests);
    more.extras = counter_growth(old != NULL ? old->extras : 0, row->extras);
    add_counts(&state->budget.near, &more);
    retry_budget_add_others(&state->budget, &router->retry, &more, now);
  }
}

/* Sums shrink only when a relay starts to count anew. */
static guint32 sum_growth(guint32 before, guint32 after) {
  return after >= before ? after - before : 0;
}

void retry_exchange_receive_sum(Router *router, const mp_LoadDigest *before,
                                const mp_LoadDigest *after, gint64 now) {
  unsigned i;
  for (i = 0; before != NULL && i < after->retry_count; i++) {
    const mp_RetryRow *row = &after->retry[i];
    const mp_RetryRow *old = find_row(before, row->service);
    ServiceState *state = find_service_state(router, row->service);
    RetryCounts more;
    if (state == NULL)
      continue;
    more.requests = sum_growth(old != NULL ? old->requests : 0, row->requests);
    more.extras = sum_growth(old != NULL ? old->extras : 0, row->extras);
    retry_budget_add_others(&state->budget, &router->retry, &more, now);
  }
}

static RetrySharers sharers_of(Router *router, gint64 now) {
  RetrySharers sharers;
  sharers.instances = router->instances;
  sharers.heard = 1 + peer_loads_count_reachable(router->endpoints->peers,
                                                 PEER_LOAD_TIMEOUT, now);
  sharers.in_summaries = router->near < router->instances;
  sharers.draw = g_rand_double(router->random);
  return sharers;
}

gboolean retry_exchange_has_extra(Router *router, const char *service,
                                  gint64 now) {
  RetrySharers sharers = sharers_of(router, now);
  return retry_budget_has_extra(router_retry_budget(router, service),
                                &router->retry, &sharers, now);
}

gboolean retry_exchange_try_take(Router *router, const char *service,
                                 gint64 now) {
  RetrySharers sharers = sharers_of(router, now);
  return retry_budget_try_take(router_retry_budget(router, service),
                               &router->retry, &sharers, now);
}
