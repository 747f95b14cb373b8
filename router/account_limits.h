/*
** account_limits.h
** The limits of client accounts, kept by all instances together
**
** A limit is a rate and a burst over all instances. Each instance keeps the
** whole bucket of each account: it fills by the rate, and is emptied by what
** this instance spends and by what the others tell. Totals of what was spent
** travel with the load digests, and between data centres with their summaries,
** so there is no home to lose and no call on the path of a request. A request
** is some hundredth of a limit's second and less than one falls on an instance
** in that time: a fixed share for each would be none.
**
** What others spent is known late, so the level may fall below zero. There a
** request passes by a chance that falls from one at zero to none at the floor:
** all instances slow down together, and none of them needs to know how much is
** asked at the others. The floor is a part of the tolerance of the limit.
**
** Invariants. What an instance may spend is scaled by the share of instances
** that it hears: cut in two, the halves have one limit together. What a peer
** spent while it was not heard is not charged afterwards, since the rate was
** lowered for that time. A young instance does not know what was spent before
** its life: it takes the level of the first peer that knows it, and until then
** one request passes by an even chance. When all have just started nobody
** knows it, and the buckets begin empty once nearly all are heard.
*/

#ifndef ROUTER_ACCOUNT_LIMITS_H
#define ROUTER_ACCOUNT_LIMITS_H

#include "madderpier.h"
#include "router/records.h"
#include "router/shared_totals.h"

/* tokens in one step of a total that is told; requests are told one by one */
#define ACCOUNT_TOKENS_PER_STEP 64
/* a peer that is silent this long is taken as out of reach: digests come every
** 0.5 s at least, summaries every 0.2 s */
#define ACCOUNT_PEER_TIMEOUT (700 * MP_MS)

typedef struct LimitTolerance {
  double share; /* of a limit over the window */
  double slack; /* and beside that, in units of the limit */
  gint64 window;
} LimitTolerance;

typedef struct AccountLimits AccountLimits;

AccountLimits *account_limits_new(const LimitTolerance *tolerance, gint64 now);
void account_limits_free(AccountLimits *limits);

/* a configuration is in force; accounts that it lacks are forgotten */
void account_limits_configure(AccountLimits *limits, const RouteTable *table,
                              gint64 now);

/*
** May a request of this cost (units of the limit) pass? Spends it when so;
** else '*come_back' is when it is likely to. 'draw' is random, from 0 to 1.
*/
gboolean account_limits_admit(AccountLimits *limits, const Account *account,
                              double cost, const LimitSharers *sharers,
                              double draw, gint64 now, gint64 *come_back);
/* what was taken reached no endpoint */
void account_limits_refund(AccountLimits *limits, const char *account,
                           double cost);
/* what the bucket held when it was looked at last; 0: no such limit */
double account_limits_level(const AccountLimits *limits, const char *account);

/* what was spent here, for the instances that hear this one's digests */
void account_limits_write(AccountLimits *limits, mp_LoadDigest *out);
/* the same and what those spent, for other data centres */
void account_limits_write_summary(AccountLimits *limits, mp_LoadDigest *out);
/* the largest part of a burst that was spent since the last sum was written:
** the other data centres should know soon when it is large */
double account_limits_unreported_share(const AccountLimits *limits);

/* another instance told what it has spent since its start */
void account_limits_receive(AccountLimits *limits, mp_Addr peer,
                            const mp_LoadDigest *digest,
                            const LimitSharers *sharers, gint64 now);
/* a relay told what its data centre has spent */
void account_limits_receive_summary(AccountLimits *limits, mp_Addr relay,
                                    const mp_LoadDigest *digest,
                                    const LimitSharers *sharers, gint64 now);

#endif
