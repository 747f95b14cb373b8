/*
** account_limits.h
** The rate limits of client accounts, which all instances enforce together
**
** A limit is a rate and a burst over all instances. Each instance keeps a
** whole token bucket for each account: the rate fills it, and it is charged
** for what this instance admits and for what the other instances report that
** they admitted. These totals travel with the load digests (peer_loads.h),
** and between data centres with the summaries of relays, which add up the
** digests of one data centre. So no instance owns a limit, none has to be
** replaced when it fails, and no request waits for a call to another one. A
** fixed share of the limit for each instance would be too small: a request
** takes some hundredth of what a limit gives in a second, and less than one
** request falls on an instance in that time.
**
** What others admitted becomes known late, so the level of a bucket may fall
** below zero. There a request is admitted by chance; the probability falls
** from 1 at level 0 to 0 at the floor, a level below zero that is part of the
** tolerance of the limit. All instances slow down together in this way, and
** none has to know how many requests the others receive.
**
** Invariants:
** 1. What an instance may admit is scaled by the share of instances that it
**    can reach. If a partition cuts the instances in two, the halves together
**    admit one limit.
** 2. What a peer admitted while it was unreachable is not charged afterwards,
**    since the rate was lowered for that time.
** 3. A new instance does not know what was admitted before its start. It takes
**    over the level of the first peer that knows it. Until then it admits at
**    most one request of each account, which passes by an even chance. When
**    all instances in reach have just started, no one knows the level, and the
**    buckets begin empty once nearly all instances are reachable, or after
**    ACCOUNT_PEER_TIMEOUT: by then each peer in reach has told its level, and
**    an empty bucket that fills with the share of the instances in reach holds
**    no more than what invariant 1 allows.
** 4. What runs in a window, summed over all instances, stays within the limit
**    and its tolerance, although a request may run some seconds after it was
**    charged. A cost is pending from its charge until the request runs or the
**    cost is given up. Pending requests may run at any time, so a bucket holds
**    at most the burst and a part of the tolerance, less what is pending at
**    all reachable instances. Without this, buckets refill while charged
**    requests wait, and these run on top of a full window: 1.34 to 1.46 times
**    the bound when all that was charged in 6 s of a flood ran at once.
** 5. A refund may be spent again here without being reported. It is pending
**    until it is spent, or given up after REFUND_LIFETIME. When refunds could
**    be spent at any time without being pending, a window got those of the
**    window before on top of its own limit: 1.34 to 1.63 times the bound.
**
** A Router owns one AccountLimits: accounts.c charges requests, and loads.c
** exchanges the totals. Amounts are in units of the limit (requests or
** tokens), times in microseconds of this instance's steady clock.
*/

#ifndef ROUTER_ACCOUNT_LIMITS_H
#define ROUTER_ACCOUNT_LIMITS_H

#include "madderpier.h"
#include "router/account_shares.h"
#include "router/records.h"
#include "router/shared_totals.h"

/* Totals of limits in tokens are reported in steps of this many tokens; totals
** of limits in requests are exact. */
#define ACCOUNT_TOKENS_PER_STEP 64
/* A peer that was silent for longer than this counts as unreachable. Digests
** come at least every 0.5 s, summaries at least every 0.2 s. */
#define ACCOUNT_PEER_TIMEOUT (700 * MP_MS)

/* From this share of reachable instances on, the level known here counts as
** complete: the bucket gets the extra rate, and a level that was unknown is
** used as it is. */
#define ACCOUNT_COMPLETE_VIEW_SHARE 0.9

/* how much more than a limit may be admitted within a window, over all
** instances: 'share' of what the limit allows in the window, and 'slack' */
typedef struct LimitTolerance {
  double share; /* of window * rate + burst */
  double slack; /* units of the limit */
  gint64 window;
} LimitTolerance;

typedef struct AccountLimits AccountLimits;

/* The instance starts at 'now'. The caller frees the result with
** account_limits_free. */
AccountLimits *account_limits_new(const LimitTolerance *tolerance, gint64 now);
void account_limits_free(AccountLimits *limits);

/* A configuration comes into force. Limits that it keeps continue from their
** present level; limits that it lacks are removed. */
void account_limits_configure(AccountLimits *limits, const RouteTable *table,
                              gint64 now);

/*
** Returns TRUE and charges 'cost' if a request of this cost is admitted, which
** is always so for an account without a limit. Otherwise it stores in
** '*retry_delay' the time after which a retry is likely to be admitted.
** 'draw' is a random number from 0 to 1.
*/
gboolean account_limits_admit(AccountLimits *limits, const Account *account,
                              double cost, const LimitSharers *sharers,
                              double draw, gint64 now, gint64 *retry_delay);
/* Notes that an admitted request runs, so that its cost is not pending any
** more. Called once for a request at most, and not after its refund. */
void account_limits_note_run(AccountLimits *limits, const char *account,
                             double cost);
/* Gives back the cost of an admitted request that was not run. 'is_pending' is
** FALSE if account_limits_note_run was called for it. */
void account_limits_refund(AccountLimits *limits, const char *account,
                           double cost, gboolean is_pending);
/* Returns what the bucket held when it was last updated; below 0 if too much
** was admitted, and 0 if the account has no limit. */
double account_limits_level(const AccountLimits *limits, const char *account);
/* Returns TRUE if the account has a limit whose level is unknown (invariant
** 3). */
gboolean account_limits_is_unknown(const AccountLimits *limits,
                                   const char *account);
/* Returns how many limits have an unknown level. */
guint account_limits_unknown_count(const AccountLimits *limits);

/*
** Returns TRUE if the account uses more than its share (account_shares.h), by
** what all instances reported; FALSE for an account without a limit. Its use
** is what was recently charged less what is pending, and its demand is both.
** Only accounts whose limits have the same unit share with each other. An
** account without a limit is not reported, so the others share what it leaves.
*/
gboolean account_limits_is_over_share(AccountLimits *limits,
                                      const char *account, gint64 now);
/* Returns the name of the limit with this index, in the configuration's order,
** and stores in '*share' what account_limits_is_over_share found last. NULL:
** there are no more limits. */
const char *account_limits_get_share(const AccountLimits *limits, guint index,
                                     AccountShare *share);

/* Writes what this instance has admitted since its start, and what is pending
** here, into a digest for the instances that receive its digests. If not all
** accounts fit, the next digest or summary continues with the following ones.
*/
void account_limits_write(AccountLimits *limits, mp_LoadDigest *out,
                          gint64 now);
/* Writes a summary for other data centres: what this instance and the
** instances whose digests it receives have admitted, and what is pending
** there. */
void account_limits_write_summary(AccountLimits *limits, mp_LoadDigest *out,
                                  gint64 now);
/* Returns the largest part of a bucket (burst plus floor) that was spent since
** the last summary was written, over all accounts. When it is large, the other
** data centres should get a summary soon. */
double account_limits_unreported_share(const AccountLimits *limits);

/* Charges what another instance reports in its digest. */
void account_limits_receive(AccountLimits *limits, mp_Addr peer,
                            const mp_LoadDigest *digest,
                            const LimitSharers *sharers, gint64 now);
/* Charges what a relay reports for its data centre. */
void account_limits_receive_summary(AccountLimits *limits, mp_Addr relay,
                                    const mp_LoadDigest *digest,
                                    const LimitSharers *sharers, gint64 now);

#endif
