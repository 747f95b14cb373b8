/*
** peer_loads.c
** What the other instances have open at each endpoint
*/

#include <string.h>

#include "router/peer_loads.h"

/* a sequence number this far behind is a peer that started anew */
#define REORDER_WINDOW 64

typedef struct Peer {
  mp_Addr address;
  guint32 zone;    /* a summary of this data centre; 0: one instance */
  guint instances; /* that it stands for */
  guint32 sequence;
  gint64 heard;
  gint64 oldest; /* when its first waiting request came */
  mp_LoadDigest digest;
  GArray *notes; /* mp_LoadRow: room reserved since that digest */
} Peer;

typedef struct LoadSum {
  guint64 tokens;
  guint open;
  guint failing;  /* percent */
  guint changing; /* so many say that it changes its stage */
} LoadSum;

struct PeerLoads {
  GHashTable *peers; /* address -> Peer */
  GHashTable *sums;  /* endpoint hash -> LoadSum */
};

static void peer_free(gpointer p) {
  Peer *peer = p;
  g_array_free(peer->notes, TRUE);
  g_free(peer);
}

PeerLoads *peer_loads_new(void) {
  PeerLoads *loads = g_new0(PeerLoads, 1);
  loads->peers =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, peer_free);
  loads->sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return loads;
}

void peer_loads_free(PeerLoads *loads) {
  g_hash_table_destroy(loads->peers);
  g_hash_table_destroy(loads->sums);
  g_free(loads);
}

static LoadSum *need_sum(PeerLoads *loads, guint32 endpoint) {
  gpointer key = GUINT_TO_POINTER(endpoint);
  LoadSum *sum = g_hash_table_lookup(loads->sums, key);
  if (sum == NULL) {
    sum = g_new0(LoadSum, 1);
    g_hash_table_insert(loads->sums, key, sum);
  }
  return sum;
}

static void drop_empty(PeerLoads *loads, guint32 endpoint,
                       const LoadSum *sum) {
  if (sum->tokens == 0 && sum->open == 0 && sum->failing == 0 &&
      sum->changing == 0)
    g_hash_table_remove(loads->sums, GUINT_TO_POINTER(endpoint));
}

static void add(PeerLoads *loads, const mp_LoadRow *row) {
  LoadSum *sum = need_sum(loads, row->endpoint);
  sum->tokens += row->tokens;
  sum->open += row->open;
  sum->failing += row->failing;
}

static void subtract(PeerLoads *loads, const mp_LoadRow *row) {
  LoadSum *sum = need_sum(loads, row->endpoint);
  sum->tokens -= row->tokens;
  sum->open -= row->open;
  sum->failing -= row->failing;
  drop_empty(loads, row->endpoint, sum);
}

static void add_all(PeerLoads *loads, const Peer *peer) {
  unsigned i;
  for (i = 0; i < peer->digest.n; i++)
    add(loads, &peer->digest.row[i]);
  for (i = 0; i < peer->digest.changing_count; i++)
    need_sum(loads, peer->digest.changing[i])->changing++;
}

static void subtract_notes(PeerLoads *loads, Peer *peer) {
  guint i;
  for (i = 0; i < peer->notes->len; i++)
    subtract(loads, &g_array_index(peer->notes, mp_LoadRow, i));
  g_array_set_size(peer->notes, 0);
}

static void subtract_all(PeerLoads *loads, Peer *peer) {
  unsigned i;
  subtract_notes(loads, peer);
  for (i = 0; i < peer->digest.n; i++)
    subtract(loads, &peer->digest.row[i]);
  for (i = 0; i < peer->digest.changing_count; i++) {
    LoadSum *sum = need_sum(loads, peer->digest.changing[i]);
    sum->changing--;
    drop_empty(loads, peer->digest.changing[i], sum);
  }
}

/* an older digest that was overtaken; not one of a new life */
static gboolean is_late(const Peer *peer, guint32 sequence) {
  guint32 behind = peer->sequence - sequence;
  return behind < REORDER_WINDOW;
}

static Peer *need_peer(PeerLoads *loads, mp_Addr address) {
  Peer *peer = g_hash_table_lookup(loads->peers, &address);
  if (peer != NULL)
    return peer;
  peer = g_new0(Peer, 1);
  peer->address = address;
  peer->instances = 1;
  peer->notes = g_array_new(FALSE, FALSE, sizeof(mp_LoadRow));
  g_hash_table_insert(loads->peers, &peer->address, peer);
  return peer;
}

static gboolean take(PeerLoads *loads, Peer *peer, guint32 sequence,
                     const mp_LoadDigest *digest, gint64 now) {
  if (peer->heard != 0 && is_late(peer, sequence))
    return FALSE;
  subtract_all(loads, peer);
  peer->sequence = sequence;
  peer->heard = now;
  peer->digest = *digest;
  peer->oldest = now - digest->oldest_ms * MP_MS;
  add_all(loads, peer);
  return TRUE;
}

gboolean peer_loads_update(PeerLoads *loads, mp_Addr address, guint32 sequence,
                           const mp_LoadDigest *digest, gint64 now) {
  return take(loads, need_peer(loads, address), sequence, digest, now);
}

/* another relay told of that data centre before */
static void drop_other_relays(PeerLoads *loads, const Peer *kept) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Peer *peer = value;
    if (peer == kept || peer->zone != kept->zone)
      continue;
    subtract_all(loads, peer);
    g_hash_table_iter_remove(&iterator);
  }
}

/* summaries do not share an address with the relay's own digest */
static mp_Addr summary_address(mp_Addr relay) {
  return relay | 1ULL << 63;
}

gboolean peer_loads_update_summary(PeerLoads *loads, guint32 sequence,
                                   const mp_LoadSummary *summary, gint64 now) {
  Peer *peer = need_peer(loads, summary_address(summary->relay));
  if (!take(loads, peer, sequence, &summary->loads, now))
    return FALSE;
  peer->zone = summary->zone;
  peer->instances = summary->instances;
  drop_other_relays(loads, peer);
  return TRUE;
}

static void sum_row(mp_LoadDigest *out, const mp_LoadRow *row) {
  unsigned i;
  for (i = 0; i < out->n; i++) {
    if (out->row[i].endpoint == row->endpoint)
      break;
  }
  if (i ==
      MP_LOAD_DIGEST_ROWS) /* those with the most load came first, mostly */
    return;
  if (i == out->n) {
    out->row[out->n++] = *row;
    return;
  }
  out->row[i].tokens += row->tokens;
  out->row[i].open += row->open;
  out->row[i].failing += row->failing;
}

static void sum_changing(mp_LoadDigest *out, guint32 endpoint) {
  unsigned i;
  for (i = 0; i < out->changing_count; i++) {
    if (out->changing[i] == endpoint)
      return;
  }
  if (out->changing_count < MP_LOAD_DIGEST_CHANGING)
    out->changing[out->changing_count++] = endpoint;
}

static void sum_digest(mp_LoadDigest *out, const mp_LoadDigest *digest) {
  unsigned i;
  out->waiting += digest->waiting;
  out->in_time += digest->in_time;
  out->oldest_ms = MAX(out->oldest_ms, digest->oldest_ms);
  for (i = 0; i < digest->n; i++)
    sum_row(out, &digest->row[i]);
  for (i = 0; i < digest->changing_count; i++)
    sum_changing(out, digest->changing[i]);
}

void peer_loads_add_to_summary(const PeerLoads *loads, mp_LoadSummary *out,
                               gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    if (peer->zone != 0 || now - peer->heard >= PEER_LOAD_TIMEOUT)
      continue;
    out->instances++;
    sum_digest(&out->loads, &peer->digest);
  }
}

void peer_loads_add_reservation(PeerLoads *loads, mp_Addr address,
                                const mp_LoadNote *note) {
  Peer *peer = g_hash_table_lookup(loads->peers, &address);
  mp_LoadRow row = {note->endpoint, note->tokens, 0, 0};
  /* a digest that is newer has it already */
  if (peer == NULL || peer->sequence != note->after ||
      peer->notes->len >= MP_LOAD_DIGEST_ROWS)
    return;
  g_array_append_val(peer->notes, row);
  add(loads, &row);
}

const mp_LoadDigest *peer_loads_latest_digest(const PeerLoads *loads,
                                              mp_Addr address) {
  const Peer *peer = g_hash_table_lookup(loads->peers, &address);
  return peer != NULL ? &peer->digest : NULL;
}

const mp_LoadDigest *peer_loads_latest_summary(const PeerLoads *loads,
                                               mp_Addr relay) {
  return peer_loads_latest_digest(loads, summary_address(relay));
}

guint peer_loads_count_reachable(const PeerLoads *loads, gint64 silence,
                                 gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    count += now - peer->heard < silence ? peer->instances : 0;
  }
  return count;
}

gboolean peer_loads_expire(PeerLoads *loads, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  gboolean found = FALSE;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Peer *peer = value;
    if (now - peer->heard < PEER_LOAD_TIMEOUT ||
        (peer->digest.n == 0 && peer->digest.waiting == 0 &&
         peer->digest.changing_count == 0 && peer->notes->len == 0))
      continue;
    subtract_all(loads, peer);
    peer->digest.n = 0;
    peer->digest.changing_count = 0;
    peer->digest.waiting = 0;
    peer->digest.in_time = 0;
    found = TRUE;
  }
  return found;
}

static const LoadSum *sum_of(const PeerLoads *loads, guint32 endpoint) {
  return g_hash_table_lookup(loads->sums, GUINT_TO_POINTER(endpoint));
}

guint64 peer_loads_tokens(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = sum_of(loads, endpoint);
  return sum != NULL ? sum->tokens : 0;
}

double peer_loads_failure_shares(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = sum_of(loads, endpoint);
  return sum != NULL ? sum->failing / 100.0 : 0;
}

guint peer_loads_open_dispatches(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = sum_of(loads, endpoint);
  return sum != NULL ? sum->open : 0;
}

guint peer_loads_count_waiting_longer(const PeerLoads *loads, gint64 came) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    count += peer->digest.in_time > 0 && peer->oldest < came;
  }
  return count;
}

guint peer_loads_waiting_in_time(const PeerLoads *loads) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    count += ((const Peer *)value)->digest.in_time;
  return count;
}

guint peer_loads_count_with_waiting(const PeerLoads *loads) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    count += ((const Peer *)value)->digest.waiting > 0;
  return count;
}

gboolean peer_loads_is_changing_stage(const PeerLoads *loads,
                                      guint32 endpoint) {
  const LoadSum *sum = sum_of(loads, endpoint);
  return sum != NULL && sum->changing > 0;
}

guint peer_loads_waiting_requests(const PeerLoads *loads) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    count += ((const Peer *)value)->digest.waiting;
  return count;
}

guint peer_loads_count_lower_addresses(const PeerLoads *loads, mp_Addr address,
                                       gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    count += peer->zone == 0 && peer->address < address &&
             now - peer->heard < PEER_LOAD_TIMEOUT;
  }
  return count;
}
