/*
** shared_totals.h
** The totals that peers report of what they used of shared limits
**
** Instances share limits: those of client accounts (account_limits.c) and the
** rates that endpoints name (rate_limits.c). Each instance reports the total
** that it has used of a limit since its start, so the next message makes good
** a lost one. The receiver charges the increase over the total before.
**
** Invariant: the first total of a limit that a peer reports charges nothing,
** and neither do the totals in its first message after a silence longer than
** the timeout, because they don't say how much was used lately. While a peer
** is not heard from, the part of the limit that is available here is smaller
** instead (limit_share).
**
** Times are in microseconds of this instance's steady clock. A limit is named
** by a 32-bit hash, which account_limits.c computes of the account's name and
** rate_limits.c of the endpoint's incarnation.
*/

#ifndef ROUTER_SHARED_TOTALS_H
#define ROUTER_SHARED_TOTALS_H

#include <glib.h>

/* how many instances share the limits, as this instance sees it now */
typedef struct LimitSharers {
  unsigned instances; /* all of them, this one included; 0: not known yet */
  unsigned heard;     /* of these, heard from within ACCOUNT_PEER_TIMEOUT, and
                      ** this one */
} LimitSharers;

/* Returns the share of a limit that the reachable instances may use together,
** 0 to 1. It is 0 while the number of instances is unknown. */
double limit_share(const LimitSharers *sharers);

/* the totals of all peers */
typedef struct SharedTotals SharedTotals;
/* the totals of one peer; they belong to their SharedTotals */
typedef struct PeerTotals PeerTotals;

/* The first message of a peer after a silence longer than 'timeout' charges
** nothing, and the totals of a peer that stays silent for longer are removed.
** (LimitSharers.heard, from which limit_share follows, doesn't depend on
** 'timeout'.) The caller frees the result with shared_totals_free. */
SharedTotals *shared_totals_new(gint64 timeout);
void shared_totals_free(SharedTotals *totals);

/* Returns the number of peers whose totals are stored. */
guint shared_totals_peer_count(const SharedTotals *totals);

/* Notes that a message of this peer has arrived, and returns the peer's entry
** for peer_totals_increase. The entry stays valid until the next call. */
PeerTotals *shared_totals_receive(SharedTotals *totals, guint64 peer,
                                  gint64 now);
/*
** Stores the total that the peer reports for a limit, and returns the increase
** over its total before, or 0 where the invariant says so. A total smaller
** than the one before has wrapped around, or the peer counts from 0 again;
** then the whole of it is returned. At a wrap-around this misses what was used
** before the counter passed 0: a little, and only once in some hours, which a
** busy account's counter of 24 bits takes.
*/
guint32 peer_totals_increase(PeerTotals *peer, guint32 limit, guint32 total);

#endif
