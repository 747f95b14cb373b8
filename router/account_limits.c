/*
** account_limits.c
** The rate limits of client accounts, which all instances enforce together
*/

#include <math.h>
#include <string.h>

#include "account/bucket.h"
#include "router/account_limits.h"
#include "router/pending_totals.h"

/* The floor is this part of the tolerance. The rest is for what is admitted
** while reports are on their way to the other instances: a flood of six times
** the limit spends 0.6 s of the limit in the 0.1 s between two summaries. */
#define FLOOR_TOLERANCE_SHARE 0.1
/* This part of what the limit and its tolerance allow in a window is given out
** on purpose, as a higher rate, while all instances are reachable, because a
** request that is refused within the tolerance could have been served. The
** rest is for what is on its way when a flood and a partition begin at once.
*/
#define USED_TOLERANCE_SHARE 0.82
/* What is pending lowers the largest level of a bucket only as far as it
** exceeds this part of the tolerance, so that accounts below their limit lose
** nothing while their requests wait. The rest is for the floor and for what is
** on its way. With 0.7 the bound was just exceeded with one of 13 seeds of the
** tests; with 0.4, an account at 0.56 of a limit of 185,000 tokens a second
** whose requests waited for up to 5 s was refused 6%. */
#define PENDING_TOLERANCE_SHARE 0.65
/* A refund that was not spent after this time is given up. The bound does not
** depend on it: until then the refund counts as pending. A request of one
** account reaches an instance every 1 to 3 s in a flood at 71 instances. */
#define REFUND_LIFETIME (1 * MP_SEC)
/* Use of a share is what was charged within about this time: loads above the
** normal one last 4 to 6 s, and an account's share has to bind within that. */
#define RECENT_TIME (2 * MP_SEC)
/* Shares are computed at most this often, for all accounts at once. Between
** data centres, reports are up to 0.2 s old. */
#define SHARES_INTERVAL (100 * MP_MS)
/* Requests that cost at most this part of the burst are admitted before larger
** ones: in a bucket that large ones keep empty there is nearly always enough
** left for them. (With two floods, prompts of 5,000 tokens and plain requests
** of 200 tokens, 10.3% of the requests were refused without it, and 3.2% with
** it.) */
#define SMALL_REQUEST_SHARE 0.02
/* The level may fall by this many floors more before small requests are
** refused, which is about what is on its way in a flood. */
#define SMALL_REQUEST_FLOORS 2
/* The probability that a request is admitted before the level is known, until
** one was. A start of all instances takes 0.6 s; a flood of six times the
** limit then spends 1.8 s of the limit, and the time in which all instances
** were away pays for one second of it. */
#define UNKNOWN_LEVEL_CHANCE 0.5
/* The level stops being unknown this long after the number of instances became
** known: by then each peer in reach has sent a digest. */
#define UNKNOWN_LEVEL_TIMEOUT ACCOUNT_PEER_TIMEOUT
/* A message closes this part of the gap between the level here and the
** sender's, in the first STARTUP_TIME of this instance and later. The part is
** the same in both directions, because an instance that saw more spent than
** the others is as wrong as one that saw less: with 0.15 towards lower levels
** and 0.03 towards higher ones, 0.04 more of all requests were refused below
** the limit. */
#define STARTUP_CORRECTION 0.3
#define LATER_CORRECTION 0.03
#define STARTUP_TIME (3 * MP_SEC)
/* bits of a total and steps of a level in mp_AccountRow */
#define SPENT_MASK 0xffffffu
#define LEVEL_STEPS 254
/* A refused caller is asked to come back when its request would be admitted
** with this probability. */
#define RETRY_ADMIT_CHANCE 0.6
/* The retry delay is computed with at least this share of the rate, which
** would otherwise be 0 while no instance count is known. */
#define SHARE_MIN 1e-3
/* bounds of the retry delay, which includes a random part of up to the jitter
 */
#define RETRY_DELAY_MIN (100 * MP_MS)
#define RETRY_DELAY_MAX (3 * MP_SEC)
#define RETRY_DELAY_JITTER (400 * MP_MS)

/* one account's limit; amounts are in its units */
typedef struct Limit {
  char *name;
  guint32 hash;       /* of the name */
  double rate, burst; /* as configured: units a second, and units */
  double extra;       /* units a second on top of the rate, while
                      ** ACCOUNT_COMPLETE_VIEW_SHARE of the instances are
                      ** reachable */
  gint64 window;      /* LimitTolerance.window, us */
  /* no extra rate is given before this time */
  gint64 extra_paused_until;
  double floor; /* depth below level 0 at which no request is admitted
                ** any more, except for small ones */
  double step;  /* units in one step of a reported total */
  Bucket bucket;
  gboolean is_unknown;   /* the level: nothing tells what was spent before this
                         ** instance started */
  gint64 known_from;     /* the level is used as it is from this time on;
                         ** G_MAXINT64: the number of instances is not known
                         ** yet */
  gboolean has_admitted; /* a request, since the limit was added */
  double own_spent;      /* spent by this instance since the limit was added */
  double peers_spent;    /* spent by instances whose digests come here */
  double waiting;        /* charged here for requests that don't run yet */
  double refunded;       /* part of 'own_spent' that may be spent again here */
  gint64 refunded_at;    /* when the newest refund was first seen by
                         ** expire_refunds; 0: not yet */
  const PendingSum *pending; /* elsewhere, in steps */
  double headroom;       /* what may be pending before the largest level of the
                         ** bucket is lowered */
  double extra_headroom; /* what may be pending before no extra rate is given,
                         ** in this window and the next: the tolerance does not
                         ** suffice for both */
  double recent;         /* charged at all instances, decaying with
                         ** RECENT_TIME */
  gint64 recent_at;      /* when 'recent' was updated */
  AccountShare share;    /* of what engines complete */
  double summarized;     /* own_spent + peers_spent in the last summary */
} Limit;

struct AccountLimits {
  LimitTolerance tolerance;
  gint64 started_at;
  GPtrArray *all;         /* Limit, in the configuration's order */
  GHashTable *by_hash;    /* hash of the name -> Limit */
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

static void limit_free(gpointer p) {
  Limit *limit = p;
  g_free(limit->name);
  g_free(limit);
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

static Limit *limit_of(const AccountLimits *limits, const char *account) {
  return g_hash_table_lookup(limits->by_hash,
                             GUINT_TO_POINTER(g_str_hash(account)));
}

static gboolean is_in_first_window(const AccountLimits *limits, gint64 now) {
  return now - limits->started_at < limits->tolerance.window;
}

/* Creates the state of a limit. An instance that has run for a window knows
** that the account is new, so nothing was spent yet and the bucket is full; in
** its first window the level is unknown. */
static Limit *limit_new(AccountLimits *limits, const Account *account,
                        gint64 now) {
  Limit *limit = g_new0(Limit, 1);
  limit->name = g_strdup(account->name);
  limit->hash = g_str_hash(account->name);
  limit->pending = pending_totals_sum(limits->pending, limit->hash);
  limit->is_unknown = is_in_first_window(limits, now);
  limit->known_from = G_MAXINT64;
  limit->bucket.level = limit->is_unknown ? 0 : account->burst;
  limit->bucket.at = now;
  return limit;
}

/* Derives the rates and bounds of the limit from the configuration and the
** tolerance. */
static void set_rates(const AccountLimits *limits, Limit *limit,
                      const Account *account) {
  double seconds = (double)limits->tolerance.window / MP_SEC;
  double allowed = account->rate * seconds + account->burst;
  double tolerated =
      limits->tolerance.share * allowed + limits->tolerance.slack;
  double used = USED_TOLERANCE_SHARE * (allowed + tolerated);
  limit->window = limits->tolerance.window;
  limit->rate = account->rate;
  limit->burst = account->burst;
  limit->step = account->unit == ACCOUNT_TOKENS ? ACCOUNT_TOKENS_PER_STEP : 1;
  limit->floor = FLOOR_TOLERANCE_SHARE * tolerated;
  limit->extra = MAX(used - allowed - limit->floor, 0) / seconds;
  limit->headroom = PENDING_TOLERANCE_SHARE * tolerated;
  limit->extra_headroom = MAX(limit->headroom - limit->extra * seconds, 0);
  limit->bucket.level = MIN(limit->bucket.level, account->burst);
}

/* Returns the state of the account's limit from the configuration before,
** taken out of the tables, or a new one. The caller owns it. */
static Limit *reuse_or_add_limit(AccountLimits *limits, const Account *account,
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
    limit = reuse_or_add_limit(limits, account, now);
    set_rates(limits, limit, account);
    g_ptr_array_add(all, limit);
  }
  g_ptr_array_free(limits->all, TRUE);
  g_hash_table_remove_all(limits->by_hash);
  limits->all = all;
  limits->next_row = 0;
  for (i = 0; i < all->len; i++) {
    Limit *limit = all->pdata[i];
    g_hash_table_insert(limits->by_hash, GUINT_TO_POINTER(limit->hash), limit);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Admitting requests
** ===================================================================
*/

/* Gives up the refunds that were not spent in time. */
static void expire_refunds(Limit *limit, gint64 now) {
  if (limit->refunded_at == 0)
    limit->refunded_at = now;
  else if (now - limit->refunded_at > REFUND_LIFETIME)
    limit->refunded = 0;
}

/* Returns what is pending here, and also at the other instances whose digests
** come here if 'with_peers' is set. */
static double pending_near(const Limit *limit, gboolean with_peers) {
  double peers = with_peers ? (double)limit->pending->instances : 0;
  return limit->waiting + limit->refunded + peers * limit->step;
}

/* Returns what is pending at all reachable instances. */
static double pending_amount(const Limit *limit) {
  return pending_near(limit, TRUE) +
         (double)limit->pending->zones * limit->step;
}

/* Returns the largest level of the bucket (invariant 4). */
static double max_level(const Limit *limit, double share) {
  return MIN(limit->burst * share,
             (limit->burst + limit->headroom) * share - pending_amount(limit));
}

/* An unknown level ends when nearly all instances are reachable, and at the
** latest after UNKNOWN_LEVEL_TIMEOUT. */
static void end_unknown_level(Limit *limit, double share, gint64 now) {
  if (share > 0 && limit->known_from == G_MAXINT64)
    limit->known_from = now + UNKNOWN_LEVEL_TIMEOUT;
  if (share >= ACCOUNT_COMPLETE_VIEW_SHARE || now >= limit->known_from)
    limit->is_unknown = FALSE;
}

static void refill(Limit *limit, double share, gint64 now) {
  gboolean has_extra;
  expire_refunds(limit, now);
  if (pending_amount(limit) > limit->extra_headroom * share)
    limit->extra_paused_until = now + limit->window;
  has_extra =
      share >= ACCOUNT_COMPLETE_VIEW_SHARE && now >= limit->extra_paused_until;
  bucket_refill(&limit->bucket,
                limit->rate * share + (has_extra ? limit->extra : 0),
                max_level(limit, share), now);
  if (limit->is_unknown)
    end_unknown_level(limit, share, now);
}

/* the probability of admission before the level is known */
static double unknown_level_chance(const Limit *limit) {
  return limit->has_admitted ? 0 : UNKNOWN_LEVEL_CHANCE;
}

/*
** Returns the probability that a request of this cost is admitted: the height
** of the level above the floor, as a part of the cost or of the floor's depth,
** whichever is larger. So it falls to 0 at the floor, and a request that costs
** no more than the floor's depth is certain to pass at level 0.
*/
static double admit_chance(const Limit *limit, double share, double cost) {
  double floor = limit->floor * share;
  double level = limit->bucket.level;
  if (limit->is_unknown)
    return unknown_level_chance(limit);
  if (cost <= SMALL_REQUEST_SHARE * limit->burst)
    level +=
        SMALL_REQUEST_FLOORS * floor; /* small ones pass below the floor too */
  return CLAMP((level + floor) / MAX(floor, cost), 0, 1);
}

/* Returns the time until the level is known; 0 if it is, or if nothing tells
** when it will be. */
static gint64 time_to_known(const Limit *limit, gint64 now) {
  if (!limit->is_unknown || limit->known_from == G_MAXINT64)
    return 0;
  return MAX(limit->known_from - now, 0);
}

/* Returns the time until the probability of admission is RETRY_ADMIT_CHANCE,
** plus a random part, within the bounds. */
static gint64 retry_delay_of(const Limit *limit, double share, double cost,
                             double draw, gint64 now) {
  double floor = limit->floor * share;
  double wanted = RETRY_ADMIT_CHANCE * MAX(floor, cost) - floor;
  double seconds =
      (wanted - limit->bucket.level) / (limit->rate * MAX(share, SHARE_MIN));
  double earliest = MAX(seconds * MP_SEC, (double)time_to_known(limit, now));
  double wait = earliest + draw * (double)RETRY_DELAY_JITTER;
  /* The bounds apply before the conversion: the time of a limit that hardly
  ** fills does not fit into 64 bits, and the caller would be asked to come
  ** back at once. */
  return (gint64)CLAMP(wait, (double)RETRY_DELAY_MIN, (double)RETRY_DELAY_MAX);
}

/* Adds an amount that was charged here or at another instance. */
static void add_recent(Limit *limit, double amount, gint64 now) {
  double elapsed = (double)MAX(now - limit->recent_at, 0);
  limit->recent = limit->recent * exp(-elapsed / RECENT_TIME) + amount;
  limit->recent_at = now;
}

/* Charges the cost. What was refunded here is spent first, without adding to
** 'own_spent', because the other instances have counted it already. */
static void charge(Limit *limit, double cost, gint64 now) {
  double refunded = MIN(limit->refunded, cost);
  limit->bucket.level -= cost;
  limit->refunded -= refunded;
  limit->waiting += cost;
  limit->own_spent += cost - refunded;
  add_recent(limit, cost - refunded, now);
}

gboolean account_limits_admit(AccountLimits *limits, const Account *account,
                              double cost, const LimitSharers *sharers,
                              double draw, gint64 now, gint64 *retry_delay) {
  Limit *limit = limit_of(limits, account->name);
  double share = limit_share(sharers);
  if (limit == NULL)
    return TRUE; /* the account has no limit */
  pending_totals_expire(limits->pending, now);
  refill(limit, share, now);
  if (draw < admit_chance(limit, share, cost)) {
    limit->has_admitted = TRUE;
    charge(limit, cost, now);
    return TRUE;
  }
  *retry_delay = retry_delay_of(limit, share, cost, draw, now);
  return FALSE;
}

/* Stops counting a cost as waiting. If the limit was removed and added again
** since the charge, 'waiting' does not contain the cost. */
static void end_wait(Limit *limit, double cost) {
  limit->waiting = MAX(limit->waiting - cost, 0);
}

void account_limits_note_run(AccountLimits *limits, const char *account,
                             double cost) {
  Limit *limit = limit_of(limits, account);
  if (limit != NULL)
    end_wait(limit, cost);
}

void account_limits_refund(AccountLimits *limits, const char *account,
                           double cost, gboolean is_pending) {
  Limit *limit = limit_of(limits, account);
  if (limit == NULL)
    return; /* a newer configuration has removed the limit */
  if (is_pending)
    end_wait(limit, cost);
  limit->bucket.level = MIN(limit->bucket.level + cost, limit->burst);
  limit->refunded += cost;
  limit->refunded_at = 0;
}

double account_limits_level(const AccountLimits *limits, const char *account) {
  const Limit *limit = limit_of(limits, account);
  return limit != NULL ? limit->bucket.level : 0;
}

gboolean account_limits_is_unknown(const AccountLimits *limits,
                                   const char *account) {
  const Limit *limit = limit_of(limits, account);
  return limit != NULL && limit->is_unknown;
}

guint account_limits_unknown_count(const AccountLimits *limits) {
  guint count = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const Limit *limit = limits->all->pdata[i];
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
    const Limit *limit = limits->all->pdata[i];
    if (limit->step == step)
      buffer[count++] = limit->share;
  }
  account_shares_compute(buffer, count);
  count = 0;
  for (i = 0; i < limits->all->len; i++) {
    Limit *limit = limits->all->pdata[i];
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
    Limit *limit = limits->all->pdata[i];
    double pending;
    expire_refunds(limit, now);
    add_recent(limit, 0, now);
    pending = pending_amount(limit);
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
  const Limit *limit = limit_of(limits, account);
  if (limit == NULL)
    return FALSE;
  update_shares(limits, now);
  return limit->share.is_over;
}

const char *account_limits_get_share(const AccountLimits *limits, guint index,
                                     AccountShare *share) {
  const Limit *limit;
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

/* Returns the level as mp_AccountRow.level has it: 0 stands for the floor,
** LEVEL_STEPS for a full burst. */
static guint32 encode_level(const Limit *limit) {
  double range = MAX(limit->burst + limit->floor, 1);
  double part = (limit->bucket.level + limit->floor) / range;
  if (limit->is_unknown)
    return MP_LEVEL_UNKNOWN;
  return (guint32)(CLAMP(part, 0, 1) * LEVEL_STEPS);
}

/*
** Moves the level towards the level that a peer reports, or takes that over
** if the level is unknown. Levels of one bucket drift apart between instances:
** a new one misses what was spent before the first message of each peer (with
** 300 instances started one after the other the limit was exceeded by 9% of
** its bound), and others miss lost messages. A reported level of 0 says "the
** floor or lower", so it raises no level that is below the floor.
*/
static void correct_level(Limit *limit, guint32 reported, double correction) {
  double range = limit->burst + limit->floor;
  double level = range * reported / LEVEL_STEPS - limit->floor;
  double gap = level - limit->bucket.level;
  if (reported == MP_LEVEL_UNKNOWN ||
      (reported == 0 && gap > 0 && !limit->is_unknown))
    return;
  if (limit->is_unknown)
    limit->bucket.level = level;
  else
    limit->bucket.level += gap * correction;
  limit->is_unknown = FALSE;
}

static void write_row(mp_LoadDigest *out, const Limit *limit, double spent,
                      double pending) {
  mp_AccountRow *row = &out->account[out->account_count++];
  out->pending[out->pending_count++] =
      (guint32)CLAMP(pending / limit->step, 0, G_MAXUINT32);
  row->account = limit->hash;
  row->spent = (guint32)(guint64)(spent / limit->step) & SPENT_MASK;
  row->level = encode_level(limit);
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
    Limit *limit =
        limits->all->pdata[(limits->next_row + i) % limits->all->len];
    expire_refunds(limit, now);
    write_row(out, limit,
              limit->own_spent + (with_peers ? limit->peers_spent : 0),
              pending_near(limit, with_peers));
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
    Limit *limit = limits->all->pdata[i];
    limit->summarized = limit->own_spent + limit->peers_spent;
  }
}

double account_limits_unreported_share(const AccountLimits *limits) {
  double most = 0;
  guint i;
  for (i = 0; i < limits->all->len; i++) {
    const Limit *limit = limits->all->pdata[i];
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
    Limit *limit =
        g_hash_table_lookup(limits->by_hash, GUINT_TO_POINTER(row->account));
    if (limit == NULL)
      continue;
    refill(limit, share, now);
    limit->bucket.level -= increase * limit->step;
    if (increase > 0)
      add_recent(limit, increase * limit->step, now);
    correct_level(limit, row->level, correction);
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
