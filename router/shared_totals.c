/*
** shared_totals.c
** What instances took of limits that they share
*/

#include "router/shared_totals.h"

struct PeerTotals {
  gint64 heard;
  gboolean was_silent; /* before its last message */
  GHashTable *totals;  /* hash of a limit -> its total */
};

struct SharedTotals {
  gint64 silence;
  gint64 swept;      /* when silent peers were forgotten last */
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

SharedTotals *shared_totals_new(gint64 silence) {
  SharedTotals *totals = g_new0(SharedTotals, 1);
  totals->silence = silence;
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

/* nothing follows from the totals of a peer that was silent, so they need not
** be kept: an instance that comes back has another address each time */
static void sweep(SharedTotals *totals, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now - totals->swept <= totals->silence)
    return;
  totals->swept = now;
  g_hash_table_iter_init(&iterator, totals->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    if (now - ((PeerTotals *)value)->heard > totals->silence)
      g_hash_table_iter_remove(&iterator);
  }
}

PeerTotals *shared_totals_receive(SharedTotals *totals, guint64 address,
                                  gint64 now) {
  PeerTotals *peer = g_hash_table_lookup(totals->peers, &address);
  if (peer == NULL) {
    sweep(totals, now);
    peer = g_new0(PeerTotals, 1);
    peer->heard = now;
    peer->totals = g_hash_table_new(NULL, NULL);
    g_hash_table_insert(totals->peers, g_memdup2(&address, sizeof address),
                        peer);
  }
  peer->was_silent = now - peer->heard > totals->silence;
  peer->heard = now;
  return peer;
}

guint32 peer_totals_increase(PeerTotals *peer, guint32 limit, guint32 total) {
  gpointer key = GUINT_TO_POINTER(limit);
  gpointer before;
  gboolean known =
      g_hash_table_lookup_extended(peer->totals, key, NULL, &before);
  g_hash_table_insert(peer->totals, key, GUINT_TO_POINTER(total));
  if (!known || peer->was_silent)
    return 0;
  return total >= GPOINTER_TO_UINT(before) ? total - GPOINTER_TO_UINT(before)
                                           : total;
}
