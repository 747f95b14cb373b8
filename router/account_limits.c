/*
** account_limits.c
** The rate limits of client accounts, which all instances enforce together
*/

#include "router/account_limit.h"

/* Shares are computed at most this often, for all accounts at once. */
#define SHARES_INTERVAL (100 * MP_MS)
/* A message closes this part of the gap between the level here and the
** sender's, in the first STARTUP_TIME of this instance and later. The part is
** the same in both directions, because an instance that saw more spent than
** the others is as wrong as one that saw less. */
#define STARTUP_CORRECTION 0.3
#define LATER_CORRECTION 0.03
#define STARTUP_TIME (3 * MP_SEC)
/* bits of a total in mp_AccountRow */
#define SPENT_MASK 0xffffffu

struct AccountLimits {
  LimitTolerance tolerance;
  gint64 started_at;
  GPtrArray *all;         /* AccountLimit, in the configuration's order */
  GHashTable *by_hash;    /* hash of the name -> AccountLimit */
  SharedTotals *peers;    /* what they reported as spent */
  PendingTotals *pending; /* what they have pending */
  gint64 shares_at;       /* when shares were computed last; 0: never */
  guint next_row;         /* index in 'all' of the next digest's first row */
};

/*
** {==================================================================
** Creation and configuration
** ===================================================================
*/

static void limit_free(gpointer limit) {
  account_limit_free(limit);
}

AccountLimits *account_limits_new(const LimitTolerance *tolerance,
                                  gint64 now) {
  AccountLimits *limits = g_new0(AccountLimits, 1);
  limits->tolerance = *tolerance;
  limits->started_at = now;
  limits->all = g_ptr_array_new_with_free_func(limit_free);
  limits->by_hash = g_hash_table_new(NULL, NULL);
  limits->peers = shared_totals_new(ACCOUNT_PEER_TIMEOUT);
  limits->pending = pending_totals_new(ACCOUNT_PEER_TIMEOUT);
  return limits;
}

void account_limits_free(AccountLimits *limits) {
  g_hash_table_destroy(limits->by_hash);
  shared_totals_free(limits->peers);
  pending_totals_free(limits->pending);
  g_ptr_array_free(limits->all, TRUE);
  g_free(limits);
}

static AccountLimit *limit_of(const AccountLimits *limits,
                              const char *account) {
  return g_hash_table_lookup(limits->by_hash,
                             GUINT_TO_POINTER(g_str_hash(account)));
}

static gboolean is_in_first_window(const AccountLimits *limits, gint64 now) {
  return now - limits->started_at < limits->tolerance.window;
}

/* An instance that has run for a window knows that the account is new; in its
** first window the level is unknown. */
static AccountLimit *limit_new(AccountLimits *limits, const Account *account,
                               gint64 now) {
  const PendingSum *pending =
      pending_totals_sum(limits->pending, g_str_hash(account->name));
  return account_limit_new(account, pending, is_in_first_window(limits, now),
                           now);
}

/* Returns the state of the account's limit from the configuration before,
** taken out of the tables, or a new one. The caller owns it. */
static AccountLimit *reuse_or_add_limit(AccountLimits *limits,
                                        const Account *account, gint64 now) {
  AccountLimit *old = limit_of(limits, account->name);
  guint place;
  if (old == NULL)
    return limit_new(limits, account, now);
  g_hash_table_remove(limits->by_hash, GUINT_TO_POINTER(old->hash));
  if (g_ptr_array_find(limits->all, old, &place))
    g_ptr_array_steal_index(limits->all, place);
  return old;
}

void account_limits_configure(AccountLimits *limits, const RouteTable *table,
                              gint64 now) {
  GPtrArray *all = g_ptr_array_new_with_free_func(limit_free);
  guint i;
  for (i = 0; table->accounts != NULL && i < table->accounts->len; i++) {
    const Account *account = table->accounts->pdata[i];
    AccountLimit *limit;
    if (account->rate <= 0)
      continue;
    limit = reuse_or_add_limit(limits, account, now);
    account_limit_set_rates(limit, account, &limits->tolerance);
    g_ptr_array_add(all, limit);
  }
  g_ptr_array_free(limits->all, TRUE);
  g_hash_table_remove_all(limits->by_hash);
  limits->all = all;
  limits->next_row = 0;
  for (i = 0; i < all->len; i++) {
    AccountLimit *limit = all->pdata[i];
    g_hash_table_insert(limits->by_hash, GUINT_TO_POINTER(limit->hash), limit);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Admitting requests
** ===================================================================
*/

gboolean account_limits_admit(AccountLimits *limits, const Account *account,
                              double cost, const LimitSharers *sharers,
                              double draw, gint64 now, gint64 *retry_delay) {
  AccountLimit *limit = limit_of(limits, account->name);
  double share = limit_share(sharers);
  if (limit == NULL)
    return TRUE; /* the account has no limit */
  pending_totals_expire(limits->pending, now);
  return account_limit_admit(limit, cost, share, draw, now, retry_delay);
}

void account_limits_note_run(AccountLimits *limits, const char *account,
                             double cost) {
  AccountLimit *limit = limit_of(limits, account);
  if (limit != NULL)
    account_limit_end_wait(limit, cost);
}

void account_limits_refund(AccountLimits *limits, const char *account,
                           double cost, gboolean is_pending) {
  AccountLimit *limit = limit_of(limits, account);
  if (limit == NULL)
    return; /* a newer configuration has removed the limit */
  if (is_pending)
    account_limit_end_wait(limit, cost);
  account_limit_refund(limit, cost);
}

double account_limits_level(const AccountLimits *limits, const char *account) {
  const AccountLimit *limit = limit_of(limits, account);
  return limit != NULL ? limit->bucket.level : 0;
}

gboolean account_limits_is_unknown(const AccountLimits *limits,
                                   const char *account) {
  const AccountLimit *limit = limit_of(limits, account);
  return limit != NULL && limit->is_unknown;
}

guint account_limits_unknown_count(const AccountLimits *limits) {
  guint count = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const AccountLimit *limit = limits->all->pdata[i];
    count += limit->is_unknown;
  }
  return count;
}

/* }================================================================== */

/*
** {==================================================================
** Shares of what engines complete
** ===================================================================
*/

/* Computes the shares of the limits in one unit; 'buffer' has room for all
** limits. */
static void compute_shares(AccountLimits *limits, double step,
                           AccountShare *buffer) {
  guint count = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const AccountLimit *limit = limits->all->pdata[i];
    if (limit->step == step)
      buffer[count++] = limit->share;
  }
  account_shares_compute(buffer, count);
  count = 0;
  for (i = 0; i < limits->all->len; i++) {
    AccountLimit *limit = limits->all->pdata[i];
    if (limit->step == step)
      limit->share = buffer[count++];
  }
}

static void update_shares(AccountLimits *limits, gint64 now) {
  AccountShare *buffer;
  guint i;
  if (limits->shares_at != 0 && now - limits->shares_at < SHARES_INTERVAL)
    return;
  limits->shares_at = now;
  pending_totals_expire(limits->pending, now);
  for (i = 0; i < limits->all->len; i++) {
    AccountLimit *limit = limits->all->pdata[i];
    double pending;
    account_limit_expire_refunds(limit, now);
    account_limit_add_recent(limit, 0, now);
    pending = account_limit_pending(limit);
    limit->share.weight = limit->rate;
    limit->share.use = MAX(limit->recent - pending, 0);
    limit->share.demand = MAX(limit->recent, pending);
  }
  buffer = g_new(AccountShare, limits->all->len);
  compute_shares(limits, ACCOUNT_TOKENS_PER_STEP, buffer);
  compute_shares(limits, 1, buffer);
  g_free(buffer);
}

gboolean account_limits_is_over_share(AccountLimits *limits,
                                      const char *account, gint64 now) {
  const AccountLimit *limit = limit_of(limits, account);
  if (limit == NULL)
    return FALSE;
  update_shares(limits, now);
  return limit->share.is_over;
}

const char *account_limits_get_share(const AccountLimits *limits, guint index,
                                     AccountShare *share) {
  const AccountLimit *limit;
  if (index >= limits->all->len)
    return NULL;
  limit = limits->all->pdata[index];
  *share = limit->share;
  return limit->name;
}

/* }================================================================== */

/*
** {==================================================================
** Exchange with other instances
** ===================================================================
*/

static void write_row(mp_LoadDigest *out, const AccountLimit *limit,
                      double spent, double pending) {
  mp_AccountRow *row = &out->account[out->account_count++];
  out->pending[out->pending_count++] =
      (guint32)CLAMP(pending / limit->step, 0, G_MAXUINT32);
  row->account = limit->hash;
  row->spent = (guint32)(guint64)(spent / limit->step) & SPENT_MASK;
  row->level = account_limit_encode_level(limit);
}

/* Writes as many rows as fit. If the limits need more, the next call goes on
** with the rows that follow. */
static void write_page(AccountLimits *limits, mp_LoadDigest *out,
                       gboolean with_peers, gint64 now) {
  guint count = MIN(limits->all->len, MP_LOAD_DIGEST_ACCOUNTS);
  guint i;
  out->account_count = 0;
  out->pending_count = 0;
  for (i = 0; i < count; i++) {
    AccountLimit *limit =
        limits->all->pdata[(limits->next_row + i) % limits->all->len];
    account_limit_expire_refunds(limit, now);
    write_row(out, limit,
              limit->own_spent + (with_peers ? limit->peers_spent : 0),
              account_limit_pending_near(limit, with_peers));
  }
  if (limits->all->len > count)
    limits->next_row = (limits->next_row + count) % limits->all->len;
}

void account_limits_write(AccountLimits *limits, mp_LoadDigest *out,
                          gint64 now) {
  write_page(limits, out, FALSE, now);
}

void account_limits_write_summary(AccountLimits *limits, mp_LoadDigest *out,
                                  gint64 now) {
  guint i;
  pending_totals_expire(limits->pending, now);
  write_page(limits, out, TRUE, now);
  for (i = 0; i < limits->all->len; i++) {
    AccountLimit *limit = limits->all->pdata[i];
    limit->summarized = limit->own_spent + limit->peers_spent;
  }
}

double account_limits_unreported_share(const AccountLimits *limits) {
  double most = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const AccountLimit *limit = limits->all->pdata[i];
    double spent = limit->own_spent + limit->peers_spent - limit->summarized;
    most = MAX(most, spent / MAX(limit->burst + limit->floor, 1));
  }
  return most;
}

static void receive(AccountLimits *limits, guint64 address,
                    gboolean is_instance, const mp_LoadDigest *digest,
                    const LimitSharers *sharers, gint64 now) {
  PeerTotals *peer = shared_totals_receive(limits->peers, address, now);
  double share = limit_share(sharers);
  double correction = now - limits->started_at < STARTUP_TIME
                          ? STARTUP_CORRECTION
                          : LATER_CORRECTION;
  guint i;
  for (i = 0; i < digest->account_count; i++) {
    const mp_AccountRow *row = &digest->account[i];
    double increase = peer_totals_increase(peer, row->account, row->spent);
    AccountLimit *limit =
        g_hash_table_lookup(limits->by_hash, GUINT_TO_POINTER(row->account));
    if (limit == NULL)
      continue;
    account_limit_refill(limit, share, now);
    limit->bucket.level -= increase * limit->step;
    if (increase > 0)
      account_limit_add_recent(limit, increase * limit->step, now);
    account_limit_correct_level(limit, row->level, correction);
    limit->peers_spent += is_instance ? increase * limit->step : 0;
  }
  /* after the charges: a bucket at its largest level is lowered once */
  pending_totals_receive(limits->pending, address, is_instance, digest, now);
}

void account_limits_receive(AccountLimits *limits, mp_Addr peer,
                            const mp_LoadDigest *digest,
                            const LimitSharers *sharers, gint64 now) {
  receive(limits, peer, TRUE, digest, sharers, now);
}

void account_limits_receive_summary(AccountLimits *limits, mp_Addr relay,
                                    const mp_LoadDigest *digest,
                                    const LimitSharers *sharers, gint64 now) {
  /* A relay's summaries and its digests report separate totals, so they are
  ** stored under different addresses. */
  receive(limits, relay | 1ULL << 63, FALSE, digest, sharers, now);
}

/* }================================================================== */
