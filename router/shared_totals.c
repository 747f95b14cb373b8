/*
** shared_totals.c
** The totals that peers report of what they used of shared limits
*/

#include "router/shared_totals.h"

struct PeerTotals {
  gint64 received_at;  /* its last message */
  gboolean was_silent; /* for longer than the timeout before that message */
  GHashTable *totals;  /* hash of a limit -> the peer's total of it */
};

struct SharedTotals {
  gint64 timeout;
  gint64 swept_at;   /* when silent peers were removed last */
  GHashTable *peers; /* address -> PeerTotals */
};

double limit_share(const LimitSharers *sharers) {
  if (sharers->instances == 0)
    return 0;
  return MIN((double)sharers->heard / sharers->instances, 1.0);
}

static void peer_free(gpointer p) {
  PeerTotals *peer = p;
  g_hash_table_destroy(peer->totals);
  g_free(peer);
}

SharedTotals *shared_totals_new(gint64 timeout) {
  SharedTotals *totals = g_new0(SharedTotals, 1);
  totals->timeout = timeout;
  totals->peers =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, peer_free);
  return totals;
}

void shared_totals_free(SharedTotals *totals) {
  g_hash_table_destroy(totals->peers);
  g_free(totals);
}

guint shared_totals_peer_count(const SharedTotals *totals) {
  return g_hash_table_size(totals->peers);
}

/* Removes the silent peers, at most once in each timeout. Their totals would
** charge nothing any more, and without this the table would grow: an instance
** that restarts has another address each time. */
static void remove_silent_peers(SharedTotals *totals, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now - totals->swept_at <= totals->timeout)
    return;
  totals->swept_at = now;
  g_hash_table_iter_init(&iterator, totals->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    if (now - ((PeerTotals *)value)->received_at > totals->timeout)
      g_hash_table_iter_remove(&iterator);
  }
}

PeerTotals *shared_totals_receive(SharedTotals *totals, guint64 address,
                                  gint64 now) {
  PeerTotals *peer = g_hash_table_lookup(totals->peers, &address);
  if (peer == NULL) {
    remove_silent_peers(totals, now);
    peer = g_new0(PeerTotals, 1);
    peer->received_at = now;
    peer->totals = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(totals->peers, g_memdup2(&address, sizeof address),
                        peer);
  }
  peer->was_silent = now - peer->received_at > totals->timeout;
  peer->received_at = now;
  return peer;
}

guint32 peer_totals_increase(PeerTotals *peer, guint32 limit, guint32 total) {
  gpointer key = GUINT_TO_POINTER(limit);
  gpointer previous;
  gboolean is_known =
      g_hash_table_lookup_extended(peer->totals, key, NULL, &previous);
  g_hash_table_insert(peer->totals, key, GUINT_TO_POINTER(total));
  if (!is_known || peer->was_silent)
    return 0;
  return total >= GPOINTER_TO_UINT(previous)
             ? total - GPOINTER_TO_UINT(previous)
             : total;
}
