/*
** account_limit.h
** The rate limit of one client account, as one instance sees it
**
** A token bucket that stands for the whole limit, with what this instance and
** its peers have charged to it. account_limits.h says how instances keep their
** buckets alike, and has the invariants that the functions refer to by number.
**
** AccountLimits owns each AccountLimit and is the only user. Amounts are in
** units of the limit (requests or tokens), times in microseconds of this
** instance's steady clock. 'share' is limit_share() of the instances.
*/

#ifndef ROUTER_ACCOUNT_LIMIT_H
#define ROUTER_ACCOUNT_LIMIT_H

#include "account/bucket.h"
#include "router/account_limits.h"
#include "router/pending_totals.h"

typedef struct AccountLimit {
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
                         ** account_limit_expire_refunds; 0: not yet */
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
} AccountLimit;

/* Creates the state of the account's limit. If 'is_unknown' is FALSE, nothing
** was spent yet, and the bucket is full. 'pending' is what the peers have
** pending of it, and has to outlive the limit. The caller frees the result
** with account_limit_free. */
AccountLimit *account_limit_new(const Account *account,
                                const PendingSum *pending, gboolean is_unknown,
                                gint64 now);
void account_limit_free(AccountLimit *limit);
/* Derives the rates and bounds of the limit from the configuration and the
** tolerance. */
void account_limit_set_rates(AccountLimit *limit, const Account *account,
                             const LimitTolerance *tolerance);

/* Adds what the rate gave since the last call, up to the largest level. */
void account_limit_refill(AccountLimit *limit, double share, gint64 now);
/* Charges the cost and returns TRUE if a request of this cost is admitted;
** else stores in '*retry_delay' when a retry is likely to be admitted. 'draw'
** is a random number from 0 to 1. */
gboolean account_limit_admit(AccountLimit *limit, double cost, double share,
                             double draw, gint64 now, gint64 *retry_delay);
/* Stops counting a cost as waiting. If the limit was removed and added again
** since the charge, 'waiting' does not contain the cost. */
void account_limit_end_wait(AccountLimit *limit, double cost);
/* Gives back the cost of a request that did not run. */
void account_limit_refund(AccountLimit *limit, double cost);
/* Gives up the refunds that were not spent in time. */
void account_limit_expire_refunds(AccountLimit *limit, gint64 now);

/* Adds an amount that was charged here or at another instance to what was
** recently charged. */
void account_limit_add_recent(AccountLimit *limit, double amount, gint64 now);
/* Returns what is pending here, and also at the other instances whose digests
** come here if 'with_peers' is set. */
double account_limit_pending_near(const AccountLimit *limit,
                                  gboolean with_peers);
/* Returns what is pending at all reachable instances. */
double account_limit_pending(const AccountLimit *limit);

/* Returns the level as mp_AccountRow.level has it. */
guint32 account_limit_encode_level(const AccountLimit *limit);
/*
** Moves the level by the part 'correction' of the gap to the level that a peer
** reports, or takes that over if the level is unknown. Levels of one bucket
** drift apart between instances: a new one misses what was spent before the
** first message of each peer, and others miss lost messages. A reported level
** of 0 says "the floor or lower", so it raises no level that is below the
** floor.
*/
void account_limit_correct_level(AccountLimit *limit, guint32 reported,
                                 double correction);

#endif
