/*
** loads.c
** Exchanges loads with other instances
**
** A load digest is an instance's message with the dispatches and the memory
** that it has open at each endpoint. A load summary is the sum of the digests
** of one data centre, which a relay sends to other data centres. This file
** writes both, and applies those of other instances.
*/

#include <string.h>

#include "router/connections.h"
#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/state.h"
#include "router/waiting_order.h"

/* An endpoint counts as failing from this share of failures on, in percent.
** Either this instance alone has it (100 while it avoids the endpoint as
** unreachable, or while the endpoint rests at its own request), or the shares
** that the near instances report add up to it. */
#define FAILING_PERCENT_MIN 90
/* Smaller shares of failures are not reported, in percent. */
#define REPORTED_FAILING_PERCENT_MIN 5
/* The largest share reported for an endpoint that answers, in percent. It is
** the largest multiple of 4, to which the encoding rounds up, below 100, which
** means that the endpoint cannot be reached. */
#define ANSWERING_PERCENT_MAX 96
/* An endpoint that could not be reached is reported for this long after its
** pause unless it has answered since. Otherwise all other instances would take
** it as up as soon as the pause ends, and try it at the same time. The limit
** frees an endpoint for which this instance has no request. */
#define TRIAL_REPORT_TIME (2 * MP_SEC)

guint64 router_load_version(const Router *router) {
  return router->load_version;
}

guint64 router_plain_version(const Router *router) {
  return router->plain_version;
}

/* Returns TRUE if the endpoint could not be reached a short time ago and has
** not answered since. */
static gboolean is_awaiting_answer(const Endpoint *endpoint, gint64 now) {
  return endpoint->unreachable_streak > 0 &&
         endpoint->evidence.heard_at == 0 &&
         now - endpoint->avoid_until < TRIAL_REPORT_TIME;
}

/*
** Returns the recent share of failures at the endpoint, in percent. It is 100
** for an endpoint that this instance avoids as unreachable, and for one that
** asked this instance for a rest: the other instances, which were not asked,
** then prefer other endpoints while they have a choice. With overload_control
** an endpoint that answers is reported with ANSWERING_PERCENT_MAX instead.
*/
static guint failing_percent(const Router *router, const Endpoint *endpoint,
                             gint64 now) {
  guint rate = (guint)(100 * endpoint_failure_rate(endpoint, now));
  gboolean is_avoided =
      endpoint->avoid_until > now ||
      availability_rest_remaining(&endpoint->availability, now) > 0;
  if (!router->overload_control)
    return is_avoided ? 100 : rate;
  if (is_awaiting_answer(endpoint, now))
    return 100;
  return is_avoided ? ANSWERING_PERCENT_MAX : MIN(rate, ANSWERING_PERCENT_MAX);
}

/* Returns the value of mp_LoadRow.tokens for the endpoint. */
static guint64 reported_tokens(const Endpoint *endpoint) {
  if (endpoint->record.stage != STAGE_NONE)
    return endpoint->tokens;
  return (guint64)endpoint->connections * MP_TOKEN_BLOCK;
}

void router_set_connections(Router *router, const char *id, guint connections,
                            guint idle) {
  Endpoint *endpoint = endpoint_table_get(router->endpoints, id);
  if (endpoint == NULL)
    return;
  endpoint->connections = connections;
  endpoint->idle = idle;
}

gboolean router_keeps_connection(const Router *router, const char *id) {
  const Endpoint *endpoint = endpoint_table_get(router->endpoints, id);
  const Service *service;
  if (endpoint == NULL || endpoint_is_leaving(endpoint) ||
      router->routes == NULL)
    return FALSE;
  service = route_table_find_service(router->routes, endpoint->record.service);
  if (service == NULL || service->is_engine)
    return TRUE;
  return gate_keeps_connection(router->endpoints, endpoint,
                               service->max_connections, router->instances);
}

static gboolean is_unreachable(const Endpoint *endpoint, gint64 now) {
  return endpoint->avoid_until > now || endpoint->path.state == PATH_NONE;
}

guint router_unreachable_endpoints(const Router *router, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++)
    count += is_unreachable(all->pdata[i], now);
  return count;
}

guint router_indirect_endpoints(const Router *router) {
  const GPtrArray *all = router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len; i++)
    count += ((const Endpoint *)all->pdata[i])->path.state == PATH_INDIRECT;
  return count;
}

static void write_row(const Endpoint *endpoint, mp_LoadDigest *out,
                      guint failing) {
  mp_LoadRow *row = &out->row[out->n++];
  row->endpoint = endpoint->hash;
  row->tokens = (uint32_t)reported_tokens(endpoint);
  row->open = endpoint->open;
  row->failing = failing;
}

/* Returns TRUE if this instance has work or failures at the endpoint, which
** the other instances need to know in any case. Whether an endpoint that has
** only idle connections is reported, connections_must_report decides. */
static gboolean has_reportable_load(const Endpoint *endpoint, guint failing) {
  return endpoint->open > 0 || endpoint->tokens > 0 ||
         failing >= REPORTED_FAILING_PERCENT_MIN;
}

/* Fills the rows of the digest. Endpoints that have only idle connections come
** last, so it is these that are left out when there is no more room. */
static void write_rows(const Router *router, mp_LoadDigest *out, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  ConnectionsView view = {0};
  guint i;
  out->n = 0;
  for (i = 0; i < all->len && out->n < MP_LOAD_DIGEST_ROWS; i++) {
    const Endpoint *endpoint = all->pdata[i];
    guint failing = failing_percent(router, endpoint, now);
    if (has_reportable_load(endpoint, failing))
      write_row(endpoint, out, failing);
  }
  for (i = 0; i < all->len && out->n < MP_LOAD_DIGEST_ROWS; i++) {
    const Endpoint *endpoint = all->pdata[i];
    guint failing = failing_percent(router, endpoint, now);
    if (!has_reportable_load(endpoint, failing) &&
        connections_must_report(router, endpoint, &view))
      write_row(endpoint, out, failing);
  }
}

void router_load_digest(const Router *router, mp_LoadDigest *out, gint64 now) {
  out->waiting = router->waiting->len;
  out->in_time = waiting_order_count_in_time(router, now);
  out->oldest_ms = (uint32_t)(waiting_order_oldest_wait(router, now) / MP_MS);
  waiting_order_write_digest(router, out, now);
  write_rows(router, out, now);
  retry_exchange_write(router, out);
  account_limits_write(router->limits, out, now);
  out->changing_count = stages_list_changing(router->stages, out->changing,
                                             MP_LOAD_DIGEST_CHANGING, now);
  signals_write_digest(router, out, now);
  out->stopping = router->stop_ends_at != 0;
}

void router_load_summary(const Router *router, mp_LoadSummary *out,
                         gint64 now) {
  memset(out, 0, sizeof *out);
  router_load_digest(router, &out->loads, now);
  out->instances = 1;
  peer_loads_add_to_summary(router->endpoints->peers, out, now);
  retry_exchange_write_sum(router, &out->loads);
  account_limits_write_summary(router->limits, &out->loads, now);
}

/* The number is a sum, so the order of the endpoints doesn't matter. A failing
** endpoint adds the square of its hash and a leaving one the hash itself, so
** the two reasons change it differently. */
guint64 router_urgent_set(const Router *router, gint64 now) {
  const GPtrArray *all = router->endpoints->all;
  guint64 set = 0;
  guint i;
  for (i = 0; i < all->len; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (failing_percent(router, endpoint, now) >= FAILING_PERCENT_MIN ||
        peer_loads_failure_shares(router->endpoints->peers, endpoint->hash) >=
            FAILING_PERCENT_MIN / 100.0)
      set += (guint64)endpoint->hash * endpoint->hash;
    if (endpoint->availability.leaving_since != 0)
      set += endpoint->hash;
  }
  return set;
}

double router_limits_unreported(const Router *router) {
  return account_limits_unreported_share(router->limits);
}

void router_receive_summary(Router *router, guint32 sequence,
                            const mp_LoadSummary *summary, gint64 now) {
  PeerLoads *peers = router->endpoints->peers;
  const mp_LoadDigest *known =
      peer_loads_latest_summary(peers, summary->relay);
  mp_LoadDigest before; /* valid if 'known' is not NULL; the update overwrites
                        ** what 'known' points to */
  LimitSharers sharers;
  if (known != NULL)
    before = *known;
  if (!peer_loads_update_summary(peers, sequence, summary, now))
    return;
  retry_exchange_receive_sum(router, known != NULL ? &before : NULL,
                             &summary->loads, now);
  sharers = accounts_sharers(router, now);
  account_limits_receive_summary(router->limits, summary->relay,
                                 &summary->loads, &sharers, now);
  accounts_update_levels(router, now);
  /* the endpoints that announced that they are leaving */
  signals_read_digest(router, &summary->loads, now);
  endpoint_health_update(router, now);
  admission_start_waiting_requests(router, now);
}

void router_peer_load(Router *router, mp_Addr peer, guint32 sequence,
                      const mp_LoadDigest *digest, gint64 now) {
  PeerLoads *peers = router->endpoints->peers;
  const mp_LoadDigest *known = peer_loads_latest_digest(peers, peer);
  mp_LoadDigest before; /* as in router_receive_summary */
  LimitSharers sharers;
  if (known != NULL)
    before = *known;
  if (!peer_loads_update(peers, peer, sequence, digest, now))
    return;
  retry_exchange_receive(router, known != NULL ? &before : NULL, digest, now);
  sharers = accounts_sharers(router, now);
  account_limits_receive(router->limits, peer, digest, &sharers, now);
  accounts_update_levels(router, now);
  signals_read_digest(router, digest, now);
  endpoint_health_update(router, now);
  admission_start_waiting_requests(router, now);
}

void router_peer_reservation(Router *router, mp_Addr peer,
                             const mp_LoadNote *note) {
  peer_loads_add_reservation(router->endpoints->peers, peer, note);
}
