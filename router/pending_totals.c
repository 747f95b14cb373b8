/*
** pending_totals.c
** What peers report as pending of the limits of client accounts
*/

#include "router/pending_totals.h"

struct PendingTotals {
  gint64 timeout;
  GHashTable *peers; /* address -> PeerPending (owned) */
  GHashTable *sums;  /* hash of a limit -> PendingSum (owned) */
  gint64 swept_at;   /* when silent peers were removed last */
};

/* what one peer has pending */
typedef struct PeerPending {
  gint64 received_at;   /* its last message */
  gboolean is_instance; /* not a relay's summary */
  GHashTable *steps;    /* hash of a limit -> its steps */
} PeerPending;

static PeerPending *peer_pending_new(gboolean is_instance) {
  PeerPending *peer = g_new0(PeerPending, 1);
  peer->is_instance = is_instance;
  peer->steps = g_hash_table_new(NULL, NULL);
  return peer;
}

static void peer_pending_free(gpointer p) {
  PeerPending *peer = p;
  g_hash_table_destroy(peer->steps);
  g_free(peer);
}

PendingTotals *pending_totals_new(gint64 timeout) {
  PendingTotals *totals = g_new0(PendingTotals, 1);
  totals->timeout = timeout;
  totals->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        peer_pending_free);
  totals->sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return totals;
}

void pending_totals_free(PendingTotals *totals) {
  g_hash_table_destroy(totals->peers);
  g_hash_table_destroy(totals->sums);
  g_free(totals);
}

static PendingSum *sum_of(PendingTotals *totals, gpointer limit) {
  PendingSum *sum = g_hash_table_lookup(totals->sums, limit);
  if (sum == NULL) {
    sum = g_new0(PendingSum, 1);
    g_hash_table_insert(totals->sums, limit, sum);
  }
  return sum;
}

const PendingSum *pending_totals_sum(PendingTotals *totals, guint32 limit) {
  return sum_of(totals, GUINT_TO_POINTER(limit));
}

/* Replaces what a peer has pending of one limit. */
static void set_steps(PendingTotals *totals, PeerPending *peer, guint32 limit,
                      guint32 steps) {
  gpointer key = GUINT_TO_POINTER(limit);
  guint before = GPOINTER_TO_UINT(g_hash_table_lookup(peer->steps, key));
  PendingSum *sum;
  if (steps == before)
    return;
  g_hash_table_insert(peer->steps, key, GUINT_TO_POINTER(steps));
  sum = sum_of(totals, key);
  if (peer->is_instance)
    sum->instances += (guint64)steps - before;
  else
    sum->zones += (guint64)steps - before;
}

/* Subtracts all that a peer has pending, before the peer is removed. */
static void subtract_peer(PendingTotals *totals, const PeerPending *peer) {
  GHashTableIter iterator;
  gpointer key;
  gpointer steps;
  g_hash_table_iter_init(&iterator, peer->steps);
  while (g_hash_table_iter_next(&iterator, &key, &steps)) {
    PendingSum *sum = sum_of(totals, key);
    if (peer->is_instance)
      sum->instances -= GPOINTER_TO_UINT(steps);
    else
      sum->zones -= GPOINTER_TO_UINT(steps);
  }
}

void pending_totals_expire(PendingTotals *totals, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now - totals->swept_at <= totals->timeout)
    return;
  totals->swept_at = now;
  g_hash_table_iter_init(&iterator, totals->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const PeerPending *peer = value;
    if (now - peer->received_at <= totals->timeout)
      continue;
    subtract_peer(totals, peer);
    g_hash_table_iter_remove(&iterator);
  }
}

void pending_totals_receive(PendingTotals *totals, guint64 address,
                            gboolean is_instance, const mp_LoadDigest *digest,
                            gint64 now) {
  guint count = MIN(digest->pending_count, digest->account_count);
  PeerPending *peer;
  guint i;
  pending_totals_expire(totals, now);
  peer = g_hash_table_lookup(totals->peers, &address);
  if (peer == NULL && count == 0)
    return; /* an earlier release */
  if (peer != NULL && count == 0) {
    subtract_peer(totals, peer);
    g_hash_table_remove(totals->peers, &address);
    return; /* the peer reports none, or its digest had no room for them */
  }
  if (peer == NULL) {
    peer = peer_pending_new(is_instance);
    g_hash_table_insert(totals->peers, g_memdup2(&address, sizeof address),
                        peer);
  }
  peer->received_at = now;
  for (i = 0; i < count; i++)
    set_steps(totals, peer, digest->account[i].account, digest->pending[i]);
}
