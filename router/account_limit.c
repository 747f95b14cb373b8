/*
** account_limit.c
** The rate limit of one client account, as one instance sees it
*/

#include <math.h>

#include "router/account_limit.h"

/* The floor is this part of the tolerance. The rest is for what is admitted
** while reports are on their way to the other instances. */
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
** on its way. */
#define PENDING_TOLERANCE_SHARE 0.65
/* A refund that was not spent after this time is given up. The bound does not
** depend on it: until then the refund counts as pending. */
#define REFUND_LIFETIME (1 * MP_SEC)
/* Use of a share is what was charged within about this time, which is less
** than a burst of load lasts. */
#define RECENT_TIME (2 * MP_SEC)
/* Requests that cost at most this part of the burst are admitted before larger
** ones: in a bucket that large ones keep empty there is nearly always enough
** left for them. */
#define SMALL_REQUEST_SHARE 0.02
/* The level may fall by this many floors more before small requests are
** refused, which is about what is on its way in a flood. */
#define SMALL_REQUEST_FLOORS 2
/* The probability that a request is admitted before the level is known, until
** one was. */
#define UNKNOWN_LEVEL_CHANCE 0.5
/* The level stops being unknown this long after the number of instances became
** known: by then each peer in reach has sent a digest. */
#define UNKNOWN_LEVEL_TIMEOUT ACCOUNT_PEER_TIMEOUT
/* steps of a level in mp_AccountRow: 0 stands for the floor, LEVEL_STEPS for a
** full burst */
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

AccountLimit *account_limit_new(const Account *account,
                                const PendingSum *pending, gboolean is_unknown,
                                gint64 now) {
  AccountLimit *limit = g_new0(AccountLimit, 1);
  limit->name = g_strdup(account->name);
  limit->hash = g_str_hash(account->name);
  limit->pending = pending;
  limit->is_unknown = is_unknown;
  limit->known_from = G_MAXINT64;
  limit->bucket.level = is_unknown ? 0 : account->burst;
  limit->bucket.at = now;
  return limit;
}

void account_limit_free(AccountLimit *limit) {
  g_free(limit->name);
  g_free(limit);
}

void account_limit_set_rates(AccountLimit *limit, const Account *account,
                             const LimitTolerance *tolerance) {
  double seconds = (double)tolerance->window / MP_SEC;
  double allowed = account->rate * seconds + account->burst;
  double tolerated = tolerance->share * allowed + tolerance->slack;
  double used = USED_TOLERANCE_SHARE * (allowed + tolerated);
  limit->window = tolerance->window;
  limit->rate = account->rate;
  limit->burst = account->burst;
  limit->step = account->unit == ACCOUNT_TOKENS ? ACCOUNT_TOKENS_PER_STEP : 1;
  limit->floor = FLOOR_TOLERANCE_SHARE * tolerated;
  limit->extra = MAX(used - allowed - limit->floor, 0) / seconds;
  limit->headroom = PENDING_TOLERANCE_SHARE * tolerated;
  limit->extra_headroom = MAX(limit->headroom - limit->extra * seconds, 0);
  limit->bucket.level = MIN(limit->bucket.level, account->burst);
}

/*
** {==================================================================
** Admitting requests
** ===================================================================
*/

void account_limit_expire_refunds(AccountLimit *limit, gint64 now) {
  if (limit->refunded_at == 0)
    limit->refunded_at = now;
  else if (now - limit->refunded_at > REFUND_LIFETIME)
    limit->refunded = 0;
}

double account_limit_pending_near(const AccountLimit *limit,
                                  gboolean with_peers) {
  double peers = with_peers ? (double)limit->pending->instances : 0;
  return limit->waiting + limit->refunded + peers * limit->step;
}

double account_limit_pending(const AccountLimit *limit) {
  return account_limit_pending_near(limit, TRUE) +
         (double)limit->pending->zones * limit->step;
}

/* Returns the largest level of the bucket (invariant 4). */
static double max_level(const AccountLimit *limit, double share) {
  return MIN(limit->burst * share, (limit->burst + limit->headroom) * share -
                                       account_limit_pending(limit));
}

/* An unknown level ends when nearly all instances are reachable, and at the
** latest after UNKNOWN_LEVEL_TIMEOUT. */
static void end_unknown_level(AccountLimit *limit, double share, gint64 now) {
  if (share > 0 && limit->known_from == G_MAXINT64)
    limit->known_from = now + UNKNOWN_LEVEL_TIMEOUT;
  if (share >= ACCOUNT_COMPLETE_VIEW_SHARE || now >= limit->known_from)
    limit->is_unknown = FALSE;
}

void account_limit_refill(AccountLimit *limit, double share, gint64 now) {
  gboolean has_extra;
  account_limit_expire_refunds(limit, now);
  if (account_limit_pending(limit) > limit->extra_headroom * share)
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
static double unknown_level_chance(const AccountLimit *limit) {
  return limit->has_admitted ? 0 : UNKNOWN_LEVEL_CHANCE;
}

/*
** Returns the probability that a request of this cost is admitted: the height
** of the level above the floor, as a part of the cost or of the floor's depth,
** whichever is larger. So it falls to 0 at the floor, and a request that costs
** no more than the floor's depth is certain to pass at level 0.
*/
static double admit_chance(const AccountLimit *limit, double share,
                           double cost) {
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
static gint64 time_to_known(const AccountLimit *limit, gint64 now) {
  if (!limit->is_unknown || limit->known_from == G_MAXINT64)
    return 0;
  return MAX(limit->known_from - now, 0);
}

/* Returns the time until the probability of admission is RETRY_ADMIT_CHANCE,
** plus a random part, within the bounds. */
static gint64 retry_delay_of(const AccountLimit *limit, double share,
                             double cost, double draw, gint64 now) {
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

void account_limit_add_recent(AccountLimit *limit, double amount, gint64 now) {
  double elapsed = (double)MAX(now - limit->recent_at, 0);
  limit->recent = limit->recent * exp(-elapsed / RECENT_TIME) + amount;
  limit->recent_at = now;
}

/* Charges the cost. What was refunded here is spent first, without adding to
** 'own_spent', because the other instances have counted it already. */
static void charge(AccountLimit *limit, double cost, gint64 now) {
  double refunded = MIN(limit->refunded, cost);
  limit->bucket.level -= cost;
  limit->refunded -= refunded;
  limit->waiting += cost;
  limit->own_spent += cost - refunded;
  account_limit_add_recent(limit, cost - refunded, now);
}

gboolean account_limit_admit(AccountLimit *limit, double cost, double share,
                             double draw, gint64 now, gint64 *retry_delay) {
  account_limit_refill(limit, share, now);
  if (draw < admit_chance(limit, share, cost)) {
    limit->has_admitted = TRUE;
    charge(limit, cost, now);
    return TRUE;
  }
  *retry_delay = retry_delay_of(limit, share, cost, draw, now);
  return FALSE;
}

void account_limit_end_wait(AccountLimit *limit, double cost) {
  limit->waiting = MAX(limit->waiting - cost, 0);
}

void account_limit_refund(AccountLimit *limit, double cost) {
  limit->bucket.level = MIN(limit->bucket.level + cost, limit->burst);
  limit->refunded += cost;
  limit->refunded_at = 0;
}

/* }================================================================== */

/*
** {==================================================================
** Levels in messages
** ===================================================================
*/

guint32 account_limit_encode_level(const AccountLimit *limit) {
  double range = MAX(limit->burst + limit->floor, 1);
  double part = (limit->bucket.level + limit->floor) / range;
  if (limit->is_unknown)
    return MP_LEVEL_UNKNOWN;
  return (guint32)(CLAMP(part, 0, 1) * LEVEL_STEPS);
}

void account_limit_correct_level(AccountLimit *limit, guint32 reported,
                                 double correction) {
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

/* }================================================================== */
