/*
** accounts.c
** Client accounts: whose request is it, may it run, is it within the limit?
**
** Invariant: no dispatch of a request with a key leaves unless the newest
** configuration known here has the key, and was certainly the newest one at
** most RouterOptions.proof_age_max ago (router/config_proof.h).
*/

#include <string.h>

#include "router/state.h"

/* callers turned away for the age of the configuration reach another instance
** at their next try, or this one once it hears from a relay again */
#define RETRY_AFTER_OLD_MS 300

static gboolean is_too_old(const Router *router, gint64 now) {
  return router->proof_age_max > 0 &&
         now - router->proved_at > router->proof_age_max;
}

gint64 accounts_configuration_age(const Router *router, gint64 now) {
  return router->proved_at > 0 ? now - router->proved_at : -1;
}

LimitSharers accounts_sharers(const Router *router, gint64 now) {
  LimitSharers sharers = {0, 1};
  if (!router->is_listed)
    return sharers;
  sharers.instances = router->instances;
  sharers.heard = 1 + peer_loads_count_reachable(router->endpoints->peers,
                                                 ACCOUNT_PEER_TIMEOUT, now);
  return sharers;
}

static void log_refused(Router *router, const CallerRequest *call,
                        const Account *account, const Refusal *refusal,
                        gint64 now) {
  const char *name = account != NULL ? account->name : "-";
  double level =
      account != NULL ? account_limits_level(router->limits, name) : 0;
  router_log(router, MP_LOG_ROUTE_REFUSED,
             " request=%s reason=%s account=%s config=%" G_GUINT64_FORMAT
             " config_age_ms=%d level=%.0f retry_after_ms=%d",
             call->id, finish_refusal_name(refusal->kind), name,
             router->routes->version,
             (int)(accounts_configuration_age(router, now) / MP_MS), level,
             (int)refusal->retry_after_ms);
}

/* the account's limit; spends the request's cost */
static gboolean is_within_limit(Router *router, const CallerRequest *call,
                                const Account *account, Refusal *refusal,
                                gint64 now) {
  LimitSharers sharers = accounts_sharers(router, now);
  double cost =
      account_cost(account, call->prompt_tokens, call->output_tokens);
  gint64 come_back = 0;
  if (account_limits_admit(router->limits, account, cost, &sharers,
                           g_rand_double(router->random), now, &come_back))
    return TRUE;
  refusal->kind = REFUSAL_LIMIT;
  refusal->retry_after_ms = come_back / MP_MS;
  router_count(router, REFUSED_LIMIT);
  return FALSE;
}

static void refuse_as_old(Router *router, Refusal *refusal) {
  refusal->kind = REFUSAL_OLD_CONFIGURATION;
  refusal->retry_after_ms = RETRY_AFTER_OLD_MS;
  router_count(router, REFUSED_OLD);
}

/* without a key, with two, or with an unknown one there is no account */
static const Account *find_account(Router *router, const CallerRequest *call,
                                   Refusal *refusal, gint64 now) {
  char digest[MP_SHA256_HEX + 1];
  const Account *account = NULL;
  /* an old configuration does not know which keys are new: 503, not 401 */
  if (is_too_old(router, now)) {
    refuse_as_old(router, refusal);
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
    refuse_as_old(router, refusal);
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
  if (*account != NULL &&
      is_within_limit(router, call, *account, refusal, now))
    return TRUE;
  log_refused(router, call, *account, refusal, now);
  return FALSE;
}

void accounts_attach(Request *request, const CallerRequest *call,
                     const Account *account) {
  if (account == NULL)
    return;
  request->account = account;
  request->cost =
      account_cost(account, request->prompt_tokens, request->output_tokens);
  mp_digest(call->key, strlen(call->key), request->key_digest);
}

gboolean accounts_may_dispatch(Router *router, const Request *request,
                               RefusalKind *why, gint64 now) {
  if (request->account == NULL)
    return TRUE;
  *why = REFUSAL_OLD_CONFIGURATION;
  if (is_too_old(router, now))
    return FALSE;
  *why = REFUSAL_KEY;
  return request->table == router->routes ||
         router->routes->accounts == NULL ||
         route_table_find_account(router->routes, request->key_digest) != NULL;
}

void accounts_refund(Router *router, const Request *request) {
  if (request->account != NULL)
    account_limits_refund(router->limits, request->account->name,
                          request->cost);
}
