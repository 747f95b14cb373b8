/*
** pending_totals.h
** What peers report as pending of the limits of client accounts
**
** Each digest says how much of a limit is charged at its sender for requests
** that don't run yet, in steps (mp_LoadDigest.pending). The latest message of
** a peer replaces what it reported before; a peer that is silent for longer
** than the timeout has nothing pending, because it then has its own share of
** the limit (shared_totals.h).
**
** Invariant: a PendingSum is the sum over the latest messages of all peers
** that are not silent, as of the last call of pending_totals_expire.
** Times are in microseconds of this instance's steady clock. A limit is named
** by a 32-bit hash. Used by account_limits.c.
*/

#ifndef ROUTER_PENDING_TOTALS_H
#define ROUTER_PENDING_TOTALS_H

#include <glib.h>

#include "madderpier.h"

/* what peers have pending of one limit, in steps */
typedef struct PendingSum {
  guint64 instances; /* those whose digests come here */
  guint64 zones;     /* other data centres, in the summaries of their relays */
} PendingSum;

typedef struct PendingTotals PendingTotals;

/* The caller frees the result with pending_totals_free. */
PendingTotals *pending_totals_new(gint64 timeout);
void pending_totals_free(PendingTotals *totals);

/* Returns the sum of a limit, which belongs to 'totals', changes with later
** calls and is valid as long as 'totals'. */
const PendingSum *pending_totals_sum(PendingTotals *totals, guint32 limit);
/* Replaces what the peer has pending by what its message says. 'is_instance'
** is FALSE for a summary. */
void pending_totals_receive(PendingTotals *totals, guint64 peer,
                            gboolean is_instance, const mp_LoadDigest *digest,
                            gint64 now);
/* Forgets silent peers; called at any time, it acts once in each timeout. */
void pending_totals_expire(PendingTotals *totals, gint64 now);

#endif
