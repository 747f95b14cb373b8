/*
** accounts.c
** Client accounts: finds the account of a request by its key, checks that it
** may run, and charges the account's limit
**
** Invariant: a request with a key is dispatched only if the newest
** configuration known here has the key. Besides, this instance must have proof
** that no newer configuration existed at some time in the last
** RouterOptions.proof_age_max (router/config_proof.h), so that a revoked key
** stops working within that time. A proof_age_max of 0 sets no bound.
*/

#include <math.h>
#include <string.h>

#include "router/state.h"

/* A caller that is refused because the configuration is too old comes back
** after this time: its retry reaches another instance, or this one after it
** has heard from a relay again. */
#define OLD_CONFIGURATION_RETRY_AFTER_MS 300

static gboolean is_configuration_too_old(const Router *router, gint64 now) {
  return router->proof_age_max > 0 &&
         now - router->proved_at > router->proof_age_max;
}

gint64 accounts_configuration_age(const Router *router, gint64 now) {
  return router->proved_at > 0 ? now - router->proved_at : -1;
}

LimitSharers accounts_sharers(const Router *router, gint64 now) {
  LimitSharers sharers = {0, 1};
  if (!router->has_instance_list)
    return sharers;
  sharers.instances = router->instances;
  sharers.heard = 1 + peer_loads_count_reachable(router->endpoints->peers,
                                                 ACCOUNT_PEER_TIMEOUT, now);
  return sharers;
}

/* Logs an event about the levels of the limits, with what their instance waits
** for. */
static void log_levels(Router *router, mp_EventNo event, gint64 now) {
  LimitSharers sharers = accounts_sharers(router, now);
  double needed = ceil(ACCOUNT_COMPLETE_VIEW_SHARE * sharers.instances);
  router_log(router, event,
             " unknown=%u heard=%u needed=%.0f instances=%u since_ms=%d",
             account_limits_unknown_count(router->limits), sharers.heard,
             needed, sharers.instances,
             (int)((now - router->started_at) / MP_MS));
}

static void note_unknown_level(Router *router, gint64 now) {
  if (router->is_limits_unknown)
    return;
  router->is_limits_unknown = TRUE;
  log_levels(router, MP_LOG_LEVELS_UNKNOWN, now);
}

void accounts_update_levels(Router *router, gint64 now) {
  if (!router->is_limits_unknown ||
      account_limits_unknown_count(router->limits) > 0)
    return;
  router->is_limits_unknown = FALSE;
  log_levels(router, MP_LOG_LEVELS_KNOWN, now);
}

guint router_unknown_limits(const Router *router) {
  return account_limits_unknown_count(router->limits);
}

static void log_refusal(Router *router, const CallerRequest *call,
                        const Account *account, const Refusal *refusal,
                        gint64 now) {
  const char *name = account != NULL ? account->name : "-";
  gboolean is_unknown =
      account != NULL && account_limits_is_unknown(router->limits, name);
  double level =
      account != NULL ? account_limits_level(router->limits, name) : 0;
  LimitSharers sharers = accounts_sharers(router, now);
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s account=%s config=%" G_GUINT64_FORMAT
             " config_age_ms=%d level=%.0f known=%d heard=%u instances=%u"
             " retry_after_ms=%d",
             call->id, finish_refusal_name(refusal->kind), name,
             router->routes->version,
             (int)(accounts_configuration_age(router, now) / MP_MS), level,
             !is_unknown, sharers.heard, sharers.instances,
             (int)refusal->retry_after_ms);
}

/* Charges the request's cost to the account's limit and returns TRUE. If the
** limit does not admit the request, fills in the refusal and returns FALSE. */
static gboolean charge_limit(Router *router, const CallerRequest *call,
                             const Account *account, Refusal *refusal,
                             gint64 now) {
  LimitSharers sharers = accounts_sharers(router, now);
  double cost =
      account_cost(account, call->prompt_tokens, call->output_tokens);
  gint64 retry_delay = 0;
  if (account_limits_admit(router->limits, account, cost, &sharers,
                           g_rand_double(router->random), now, &retry_delay))
    return TRUE;
  if (account_limits_is_unknown(router->limits, account->name))
    note_unknown_level(router, now);
  refusal->kind = REFUSAL_LIMIT;
  refusal->retry_after_ms = retry_delay / MP_MS;
  router_count(router, REFUSED_LIMIT);
  return FALSE;
}

static void refuse_for_old_configuration(Router *router, Refusal *refusal) {
  refusal->kind = REFUSAL_OLD_CONFIGURATION;
  refusal->retry_after_ms = OLD_CONFIGURATION_RETRY_AFTER_MS;
  router_count(router, REFUSED_OLD);
}

/* Returns the account that the request's key belongs to. A request without a
** key, with several, or with an unknown one has no account: the result is NULL
** then, with the refusal filled in. */
static const Account *find_account(Router *router, const CallerRequest *call,
                                   Refusal *refusal, gint64 now) {
  char digest[MP_SHA256_HEX + 1];
  const Account *account = NULL;
  /* An old configuration may lack a new key, so the caller gets a 503 (come
  ** back) and not a 401 (unknown key). */
  if (is_configuration_too_old(router, now)) {
    refuse_for_old_configuration(router, refusal);
    return NULL;
  }
  if (call->keys == 1) {
    mp_digest(call->key, strlen(call->key), digest);
    account = route_table_find_account(router->routes, digest);
  }
  if (account != NULL)
    return account;
  refusal->kind = REFUSAL_KEY;
  if (call->keys == 1 && router_may_be_outdated(router, now))
    refuse_for_old_configuration(router, refusal);
  else
    router_count(router, REFUSED_KEY);
  return NULL;
}

gboolean accounts_admit(Router *router, const CallerRequest *call,
                        const Route *route, const Account **account,
                        Refusal *refusal, gint64 now) {
  *account = NULL;
  if (router->routes->accounts == NULL || route->is_public)
    return TRUE;
  *account = find_account(router, call, refusal, now);
  if (*account != NULL && charge_limit(router, call, *account, refusal, now))
    return TRUE;
  log_refusal(router, call, *account, refusal, now);
  return FALSE;
}

void accounts_attach(Request *request, const CallerRequest *call,
                     const Account *account) {
  if (account == NULL)
    return;
  request->account = account;
  request->cost =
      account_cost(account, request->prompt_tokens, request->output_tokens);
  request->is_cost_pending = TRUE;
  mp_digest(call->key, strlen(call->key), request->key_digest);
}

gboolean accounts_may_dispatch(Router *router, const Request *request,
                               RefusalKind *why, gint64 now) {
  if (request->account == NULL)
    return TRUE;
  *why = REFUSAL_OLD_CONFIGURATION;
  if (is_configuration_too_old(router, now))
    return FALSE;
  *why = REFUSAL_KEY;
  return request->table == router->routes ||
         router->routes->accounts == NULL ||
         route_table_find_account(router->routes, request->key_digest) != NULL;
}

gboolean accounts_is_over_share(Router *router, const Request *request,
                                gint64 now) {
  if (request->account == NULL)
    return FALSE;
  if (router->waiting->len == 0 &&
      peer_loads_waiting_requests(router->endpoints->peers) == 0)
    return FALSE;
  return account_limits_is_over_share(router->limits, request->account->name,
                                      now);
}

const char *router_account_share(const Router *router, guint index,
                                 AccountShare *share) {
  return account_limits_get_share(router->limits, index, share);
}

void accounts_note_run(Router *router, Request *request) {
  if (request->account == NULL || !request->is_cost_pending)
    return;
  request->is_cost_pending = FALSE;
  account_limits_note_run(router->limits, request->account->name,
                          request->cost);
}

void accounts_refund(Router *router, Request *request) {
  if (request->account == NULL)
    return;
  account_limits_refund(router->limits, request->account->name, request->cost,
                        request->is_cost_pending);
  request->is_cost_pending = FALSE;
}
