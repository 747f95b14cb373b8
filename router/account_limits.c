/*
** account_limits.c
** The limits of client accounts, kept by all instances together
*/

#include <string.h>

#include "account/bucket.h"
#include "router/account_limits.h"

/* part of the tolerance that is used on purpose: the rest is for what is spent
** while it is on its way to the others (a flood of six times the limit spends
** 0.6 s of the limit in the 0.1 s between two summaries) */
#define FLOOR_SHARE 0.1
/* part of what the tolerance allows in a window that is given out on purpose,
** as a higher rate, while all are heard: a request that is refused within it
** is one that could have been served. The rest is for what is on its way when
** a flood and a cut begin at once (test_account_limits.cc) */
#define USED_SHARE 0.82
/* requests that cost less than this part of the burst pass before larger
** ones: in a bucket that large ones keep empty there is nearly always enough
** left for them (a day with two floods, prompts of 5,000 tokens and plain
** requests of 200: 10.3% of the requests refused without it, 3.2% with it) */
#define SMALL_REQUEST_SHARE 0.02
/* and so many floors lower: what is on its way in a flood */
#define SMALL_FLOORS 2
/* the chance of the one request that passes before the level is known: in the
** 0.6 s that a start of all takes, a flood of six times the limit so spends
** 1.8 s of it, of which the time that all were away pays for one */
#define UNKNOWN_CHANCE 0.5
/* part of the instances that must be heard for the level to be one's own */
#define HEARD_ENOUGH 0.9
/* parts of the difference to another's level that one message takes away, in
** an instance's first seconds and later. An instance that saw more spent than
** the others is as wrong as one that saw less: drawn to the lower by 0.15 and
** to the higher by 0.03, 0.04 more of all requests were refused below
** the limit */
#define DRAWN_YOUNG 0.3
#define DRAWN_OLD 0.03
#define YOUNG (3 * MP_SEC)
/* totals and levels that are told */
#define SPENT_MASK 0xffffffu
#define LEVEL_STEPS 254
/* who is refused comes back when a request passes by this chance */
#define COME_BACK_CHANCE 0.6
/* a part of the rate is reckoned with while nobody is heard, for a wait */
#define LEAST_SHARE 1e-3
/* least and longest time until then, and the random part on top */
#define COME_BACK_LEAST (100 * MP_MS)
#define COME_BACK_MOST (3 * MP_SEC)
#define COME_BACK_SPREAD (400 * MP_MS)

/* one account's limit */
typedef struct Limit {
  char *name;
  guint32 hash;
  double rate, burst;
  double extra; /* beside the rate, while all instances are heard */
  double floor; /* the level may fall so far below zero */
  double step;  /* units in one step of a total that is told */
  Bucket bucket;
  gboolean is_unknown; /* the level: this instance is young */
  gboolean has_passed; /* one request, while it was unknown */
  double own;          /* spent here since the start */
  double near;         /* and told by instances that are heard themselves */
  double returned;     /* of 'own', free to be spent again here */
  double summed;       /* own and near in the last sum that was written */
} Limit;

struct AccountLimits {
  LimitTolerance tolerance;
  gint64 born;
  GPtrArray *all;      /* Limit, in the configuration's order */
  GHashTable *by_hash; /* hash of the name -> Limit */
  SharedTotals *peers; /* what they spent */
  guint page;          /* first row of the next digest */
};

/*
** {==================================================================
** Life
** ===================================================================
*/

static void limit_free(gpointer p) {
  Limit *limit = p;
  g_free(limit->name);
  g_free(limit);
}

AccountLimits *account_limits_new(const LimitTolerance *tolerance,
                                  gint64 now) {
  AccountLimits *limits = g_new0(AccountLimits, 1);
  limits->tolerance = *tolerance;
  limits->born = now;
  limits->all = g_ptr_array_new_with_free_func(limit_free);
  limits->by_hash = g_hash_table_new(NULL, NULL);
  limits->peers = shared_totals_new(ACCOUNT_PEER_TIMEOUT);
  return limits;
}

void account_limits_free(AccountLimits *limits) {
  g_hash_table_destroy(limits->by_hash);
  shared_totals_free(limits->peers);
  g_ptr_array_free(limits->all, TRUE);
  g_free(limits);
}

static Limit *limit_of(const AccountLimits *limits, const char *account) {
  return g_hash_table_lookup(limits->by_hash,
                             GUINT_TO_POINTER(g_str_hash(account)));
}

static gboolean is_young(const AccountLimits *limits, gint64 now) {
  return now - limits->born < limits->tolerance.window;
}

/* an old instance has seen that the account is new: nothing was spent yet */
static Limit *limit_new(const AccountLimits *limits, const Account *account,
                        gint64 now) {
  Limit *limit = g_new0(Limit, 1);
  limit->name = g_strdup(account->name);
  limit->hash = g_str_hash(account->name);
  limit->is_unknown = is_young(limits, now);
  limit->bucket.level = limit->is_unknown ? 0 : account->burst;
  limit->bucket.at = now;
  return limit;
}

static void set_figures(const AccountLimits *limits, Limit *limit,
                        const Account *account) {
  double seconds = (double)limits->tolerance.window / MP_SEC;
  double whole = account->rate * seconds + account->burst;
  double tolerated = limits->tolerance.share * whole + limits->tolerance.slack;
  double used = USED_SHARE * (whole + tolerated);
  limit->rate = account->rate;
  limit->burst = account->burst;
  limit->step = account->unit == ACCOUNT_TOKENS ? ACCOUNT_TOKENS_PER_STEP : 1;
  limit->floor = FLOOR_SHARE * tolerated;
  limit->extra = MAX(used - whole - limit->floor, 0) / seconds;
  limit->bucket.level = MIN(limit->bucket.level, account->burst);
}

/* take the limit's old state over, or begin one */
static Limit *carry_over(AccountLimits *limits, const Account *account,
                         gint64 now) {
  Limit *old = limit_of(limits, account->name);
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
    Limit *limit;
    if (account->rate <= 0)
      continue;
    limit = carry_over(limits, account, now);
    set_figures(limits, limit, account);
    g_ptr_array_add(all, limit);
  }
  g_ptr_array_free(limits->all, TRUE);
  g_hash_table_remove_all(limits->by_hash);
  limits->all = all;
  limits->page = 0;
  for (i = 0; i < all->len; i++) {
    Limit *limit = all->pdata[i];
    g_hash_table_insert(limits->by_hash, GUINT_TO_POINTER(limit->hash), limit);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Spending
** ===================================================================
*/

static void refill(Limit *limit, double share, gint64 now) {
  double extra = share >= HEARD_ENOUGH ? limit->extra : 0;
  bucket_refill(&limit->bucket, limit->rate * share + extra,
                limit->burst * share, now);
  if (share >= HEARD_ENOUGH)
    limit->is_unknown = FALSE;
}

/* before the level is known */
static double unknown_chance(const Limit *limit) {
  return limit->has_passed ? 0 : UNKNOWN_CHANCE;
}

/* the chance that a request of this cost passes */
static double chance(const Limit *limit, double share, double cost) {
  double floor = limit->floor * share;
  double level = limit->bucket.level;
  if (limit->is_unknown)
    return unknown_chance(limit);
  if (cost <= SMALL_REQUEST_SHARE * limit->burst)
    level += SMALL_FLOORS * floor; /* where no large one passes any more */
  return CLAMP((level + floor) / MAX(floor, cost), 0, 1);
}

/* until the chance is large enough that coming back makes sense */
static gint64 time_until(const Limit *limit, double share, double cost,
                         double draw) {
  double floor = limit->floor * share;
  double wanted = COME_BACK_CHANCE * MAX(floor, cost) - floor;
  double seconds =
      (wanted - limit->bucket.level) / (limit->rate * MAX(share, LEAST_SHARE));
  double wait = MAX(seconds, 0) * MP_SEC + draw * (double)COME_BACK_SPREAD;
  /* bounded before it is converted: a limit that hardly fills takes longer
  ** than 64 bits tell, and the caller would be asked back at once */
  return (gint64)CLAMP(wait, (double)COME_BACK_LEAST, (double)COME_BACK_MOST);
}

/* what came back here is spent first: the others have counted it already */
static void spend(Limit *limit, double cost) {
  double again = MIN(limit->returned, cost);
  limit->bucket.level -= cost;
  limit->returned -= again;
  limit->own += cost - again;
}

gboolean account_limits_admit(AccountLimits *limits, const Account *account,
                              double cost, const LimitSharers *sharers,
                              double draw, gint64 now, gint64 *come_back) {
  Limit *limit = limit_of(limits, account->name);
  double share = limit_share(sharers);
  if (limit == NULL)
    return TRUE; /* it has none */
  refill(limit, share, now);
  if (draw < chance(limit, share, cost)) {
    limit->has_passed = TRUE;
    spend(limit, cost);
    return TRUE;
  }
  *come_back = time_until(limit, share, cost, draw);
  return FALSE;
}

void account_limits_refund(AccountLimits *limits, const char *account,
                           double cost) {
  Limit *limit = limit_of(limits, account);
  if (limit == NULL)
    return; /* a newer configuration has no such limit */
  limit->bucket.level = MIN(limit->bucket.level + cost, limit->burst);
  limit->returned += cost;
}

double account_limits_level(const AccountLimits *limits, const char *account) {
  const Limit *limit = limit_of(limits, account);
  return limit != NULL ? limit->bucket.level : 0;
}

/* }================================================================== */

/*
** {==================================================================
** Telling and hearing
** ===================================================================
*/

/* from the floor to the burst */
static guint32 told_level(const Limit *limit) {
  double whole = MAX(limit->burst + limit->floor, 1);
  double part = (limit->bucket.level + limit->floor) / whole;
  if (limit->is_unknown)
    return MP_LEVEL_UNKNOWN;
  return (guint32)(CLAMP(part, 0, 1) * LEVEL_STEPS);
}

/*
** Views of a bucket drift apart: a young instance misses what was spent
** before it heard each peer for the first time (at 300 instances started one
** after the other the limit was passed by 9% of its bound), others miss lost
** messages. Each is drawn towards what it hears.
*/
static void take_level(Limit *limit, guint32 told, double drawn) {
  double whole = limit->burst + limit->floor;
  double level = whole * told / LEVEL_STEPS - limit->floor;
  double gap = level - limit->bucket.level;
  if (told == MP_LEVEL_UNKNOWN)
    return;
  if (limit->is_unknown)
    limit->bucket.level = level;
  else
    limit->bucket.level += gap * drawn;
  limit->is_unknown = FALSE;
}

static void write_row(mp_LoadDigest *out, const Limit *limit, double spent) {
  mp_AccountRow *row = &out->account[out->account_count++];
  row->account = limit->hash;
  row->spent = (guint32)(guint64)(spent / limit->step) & SPENT_MASK;
  row->level = told_level(limit);
}

/* all of them in one digest, or a page of them in each */
static void write_page(AccountLimits *limits, mp_LoadDigest *out,
                       gboolean with_near) {
  guint count = MIN(limits->all->len, MP_LOAD_DIGEST_ACCOUNTS);
  guint i;
  out->account_count = 0;
  for (i = 0; i < count; i++) {
    const Limit *limit =
        limits->all->pdata[(limits->page + i) % limits->all->len];
    write_row(out, limit, limit->own + (with_near ? limit->near : 0));
  }
  if (limits->all->len > count)
    limits->page = (limits->page + count) % limits->all->len;
}

void account_limits_write(AccountLimits *limits, mp_LoadDigest *out) {
  write_page(limits, out, FALSE);
}

void account_limits_write_summary(AccountLimits *limits, mp_LoadDigest *out) {
  guint i;
  write_page(limits, out, TRUE);
  for (i = 0; i < limits->all->len; i++) {
    Limit *limit = limits->all->pdata[i];
    limit->summed = limit->own + limit->near;
  }
}

double account_limits_unreported_share(const AccountLimits *limits) {
  double most = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const Limit *limit = limits->all->pdata[i];
    double spent = limit->own + limit->near - limit->summed;
    most = MAX(most, spent / MAX(limit->burst + limit->floor, 1));
  }
  return most;
}

static void hear(AccountLimits *limits, guint64 address, gboolean is_near,
                 const mp_LoadDigest *digest, const LimitSharers *sharers,
                 gint64 now) {
  PeerTotals *peer = shared_totals_receive(limits->peers, address, now);
  double share = limit_share(sharers);
  double drawn = now - limits->born < YOUNG ? DRAWN_YOUNG : DRAWN_OLD;
  guint i;
  for (i = 0; i < digest->account_count; i++) {
    const mp_AccountRow *row = &digest->account[i];
    double more = peer_totals_increase(peer, row->account, row->spent);
    Limit *limit =
        g_hash_table_lookup(limits->by_hash, GUINT_TO_POINTER(row->account));
    if (limit == NULL)
      continue;
    refill(limit, share, now);
    limit->bucket.level -= more * limit->step;
    take_level(limit, row->level, drawn);
    limit->near += is_near ? more * limit->step : 0;
  }
}

void account_limits_receive(AccountLimits *limits, mp_Addr peer,
                            const mp_LoadDigest *digest,
                            const LimitSharers *sharers, gint64 now) {
  hear(limits, peer, TRUE, digest, sharers, now);
}

void account_limits_receive_summary(AccountLimits *limits, mp_Addr relay,
                                    const mp_LoadDigest *digest,
                                    const LimitSharers *sharers, gint64 now) {
  /* a relay's sums have an address of their own, beside its digests */
  hear(limits, relay | 1ULL << 63, FALSE, digest, sharers, now);
}

/* }================================================================== */
