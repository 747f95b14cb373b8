/*
** peer_loads.c
** The loads that the other instances report for each endpoint
*/

#include <string.h>

#include "router/peer_loads.h"

/* A sequence number this far or further behind the last one means that the
** peer has restarted; one less far behind is a digest that arrived late. */
#define REORDER_WINDOW 64

/* mp_LoadRow.failing of an endpoint that an instance avoids as unreachable */
#define UNREACHABLE_PERCENT 100

/* the last digest of one instance, or the last summary of one relay */
typedef struct Peer {
  mp_Addr address; /* for a summary as summary_address has it */
  guint32 zone;    /* hash of the data centre that is summed up; 0: the digest
                   ** of a single instance */
  guint instances; /* how many the digest covers */
  guint32 sequence;
  gint64 received_at;    /* 0: nothing was received yet */
  gint64 oldest_in_time; /* when its first waiting request in time came */
  mp_LoadDigest digest;
  GArray *reservations; /* mp_LoadRow: reported since that digest */
} Peer;

/* the sum over all peers for one endpoint */
typedef struct LoadSum {
  guint64 tokens;
  guint open;             /* dispatches */
  guint unreachable;      /* peers that report it as unreachable */
  guint failing_percent;  /* sum of the peers' shares of failures */
  guint changing_reports; /* peers that report a change of its stage */
} LoadSum;

struct PeerLoads {
  GHashTable *peers; /* address -> Peer */
  GHashTable *sums;  /* endpoint hash -> LoadSum */
  guint unreachable; /* sum of LoadSum.unreachable */
};

static void peer_free(gpointer p) {
  Peer *peer = p;
  g_array_free(peer->reservations, TRUE);
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

static LoadSum *get_or_add_sum(PeerLoads *loads, guint32 endpoint) {
  gpointer key = GUINT_TO_POINTER(endpoint);
  LoadSum *sum = g_hash_table_lookup(loads->sums, key);
  if (sum == NULL) {
    sum = g_new0(LoadSum, 1);
    g_hash_table_insert(loads->sums, key, sum);
  }
  return sum;
}

static void remove_if_zero(PeerLoads *loads, guint32 endpoint,
                           const LoadSum *sum) {
  if (sum->tokens == 0 && sum->open == 0 && sum->failing_percent == 0 &&
      sum->changing_reports == 0)
    g_hash_table_remove(loads->sums, GUINT_TO_POINTER(endpoint));
}

/* Returns 1 if the row reports the endpoint as unreachable, else 0. A row of a
** data centre's summary counts as one report, because a data centre that is
** cut off is one fault. It is the sum of the shares of its instances, so it
** may reach 100 without any instance that reports 100. */
static guint row_unreachable(const mp_LoadRow *row) {
  return row->failing >= UNREACHABLE_PERCENT;
}

static void add_row(PeerLoads *loads, const mp_LoadRow *row) {
  LoadSum *sum = get_or_add_sum(loads, row->endpoint);
  sum->tokens += row->tokens;
  sum->open += row->open;
  sum->failing_percent += row->failing;
  sum->unreachable += row_unreachable(row);
  loads->unreachable += row_unreachable(row);
}

static void subtract_row(PeerLoads *loads, const mp_LoadRow *row) {
  LoadSum *sum = get_or_add_sum(loads, row->endpoint);
  sum->tokens -= row->tokens;
  sum->open -= row->open;
  sum->failing_percent -= row->failing;
  sum->unreachable -= row_unreachable(row);
  loads->unreachable -= row_unreachable(row);
  remove_if_zero(loads, row->endpoint, sum);
}

static void add_digest(PeerLoads *loads, const Peer *peer) {
  unsigned i;
  for (i = 0; i < peer->digest.n; i++)
    add_row(loads, &peer->digest.row[i]);
  for (i = 0; i < peer->digest.changing_count; i++)
    get_or_add_sum(loads, peer->digest.changing[i])->changing_reports++;
}

static void subtract_reservations(PeerLoads *loads, Peer *peer) {
  guint i;
  for (i = 0; i < peer->reservations->len; i++)
    subtract_row(loads, &g_array_index(peer->reservations, mp_LoadRow, i));
  g_array_set_size(peer->reservations, 0);
}

static void subtract_peer(PeerLoads *loads, Peer *peer) {
  unsigned i;
  subtract_reservations(loads, peer);
  for (i = 0; i < peer->digest.n; i++)
    subtract_row(loads, &peer->digest.row[i]);
  for (i = 0; i < peer->digest.changing_count; i++) {
    LoadSum *sum = get_or_add_sum(loads, peer->digest.changing[i]);
    sum->changing_reports--;
    remove_if_zero(loads, peer->digest.changing[i], sum);
  }
}

/* Returns TRUE for a digest that is a duplicate of the stored one or older
** than it. A larger step back is a restarted peer, whose digest is accepted.
*/
static gboolean is_outdated(const Peer *peer, guint32 sequence) {
  guint32 behind = peer->sequence - sequence;
  return behind < REORDER_WINDOW;
}

static Peer *get_or_add_peer(PeerLoads *loads, mp_Addr address) {
  Peer *peer = g_hash_table_lookup(loads->peers, &address);
  if (peer != NULL)
    return peer;
  peer = g_new0(Peer, 1);
  peer->address = address;
  peer->instances = 1;
  peer->reservations = g_array_new(FALSE, FALSE, sizeof(mp_LoadRow));
  g_hash_table_insert(loads->peers, &peer->address, peer);
  return peer;
}

static gboolean replace_digest(PeerLoads *loads, Peer *peer, guint32 sequence,
                               const mp_LoadDigest *digest, gint64 now) {
  if (peer->received_at != 0 && is_outdated(peer, sequence))
    return FALSE;
  subtract_peer(loads, peer);
  peer->sequence = sequence;
  peer->received_at = now;
  peer->digest = *digest;
  peer->oldest_in_time = now - digest->oldest_ms * MP_MS;
  add_digest(loads, peer);
  return TRUE;
}

gboolean peer_loads_update(PeerLoads *loads, mp_Addr address, guint32 sequence,
                           const mp_LoadDigest *digest, gint64 now) {
  return replace_digest(loads, get_or_add_peer(loads, address), sequence,
                        digest, now);
}

/* Removes the summaries that other relays sent for the same data centre. */
static void remove_other_relays(PeerLoads *loads, const Peer *kept) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Peer *peer = value;
    if (peer == kept || peer->zone != kept->zone)
      continue;
    subtract_peer(loads, peer);
    g_hash_table_iter_remove(&iterator);
  }
}

/* Returns the key under which a relay's summary is stored. It differs from
** the relay's address, under which its own digest is stored. */
static mp_Addr summary_address(mp_Addr relay) {
  return relay | 1ULL << 63;
}

gboolean peer_loads_update_summary(PeerLoads *loads, guint32 sequence,
                                   const mp_LoadSummary *summary, gint64 now) {
  Peer *peer = get_or_add_peer(loads, summary_address(summary->relay));
  if (!replace_digest(loads, peer, sequence, &summary->loads, now))
    return FALSE;
  peer->zone = summary->zone;
  peer->instances = summary->instances;
  remove_other_relays(loads, peer);
  return TRUE;
}

static void add_row_to_summary(mp_LoadDigest *out, const mp_LoadRow *row) {
  unsigned i;
  for (i = 0; i < out->n; i++) {
    if (out->row[i].endpoint == row->endpoint)
      break;
  }
  if (i == MP_LOAD_DIGEST_ROWS)
    return; /* no room: the rows with the most load mostly came first */
  if (i == out->n) {
    out->row[out->n++] = *row;
    return;
  }
  out->row[i].tokens += row->tokens;
  out->row[i].open += row->open;
  out->row[i].failing += row->failing;
}

static void add_changing_to_summary(mp_LoadDigest *out, guint32 endpoint) {
  unsigned i;
  for (i = 0; i < out->changing_count; i++) {
    if (out->changing[i] == endpoint)
      return;
  }
  if (out->changing_count < MP_LOAD_DIGEST_CHANGING)
    out->changing[out->changing_count++] = endpoint;
}

void peer_loads_add_waiting(mp_LoadDigest *out, const mp_WaitingRow *row) {
  unsigned at = 0;
  while (at < out->ranked_count && out->ranked[at].priority < row->priority)
    at++;
  for (; at < out->ranked_count && out->ranked[at].priority == row->priority;
       at++) {
    mp_WaitingRow *known = &out->ranked[at];
    if (known->service != row->service)
      continue;
    known->count += row->count;
    known->oldest_ms = MAX(known->oldest_ms, row->oldest_ms);
    return;
  }
  if (at == MP_LOAD_DIGEST_PRIORITIES)
    return; /* no room: higher priorities come first */
  out->ranked_count =
      MIN(out->ranked_count + 1, (unsigned)MP_LOAD_DIGEST_PRIORITIES);
  memmove(&out->ranked[at + 1], &out->ranked[at],
          (out->ranked_count - at - 1) * sizeof out->ranked[0]);
  out->ranked[at] = *row;
}

static void add_digest_to_summary(mp_LoadDigest *out,
                                  const mp_LoadDigest *digest) {
  unsigned i;
  out->waiting += digest->waiting;
  out->in_time += digest->in_time;
  out->oldest_ms = MAX(out->oldest_ms, digest->oldest_ms);
  out->stopping += digest->stopping;
  for (i = 0; i < digest->n; i++)
    add_row_to_summary(out, &digest->row[i]);
  for (i = 0; i < digest->changing_count; i++)
    add_changing_to_summary(out, digest->changing[i]);
  for (i = 0; i < digest->ranked_count; i++)
    peer_loads_add_waiting(out, &digest->ranked[i]);
}

void peer_loads_add_to_summary(const PeerLoads *loads, mp_LoadSummary *out,
                               gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    if (peer->zone != 0 || now - peer->received_at >= PEER_LOAD_TIMEOUT)
      continue;
    out->instances++;
    add_digest_to_summary(&out->loads, &peer->digest);
  }
}

void peer_loads_add_reservation(PeerLoads *loads, mp_Addr address,
                                const mp_LoadNote *note) {
  Peer *peer = g_hash_table_lookup(loads->peers, &address);
  mp_LoadRow row = {note->endpoint, note->tokens, 0, 0};
  /* A newer digest includes the reservation already. */
  if (peer == NULL || peer->sequence != note->after ||
      peer->reservations->len >= MP_LOAD_DIGEST_ROWS)
    return;
  g_array_append_val(peer->reservations, row);
  add_row(loads, &row);
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

guint peer_loads_count_reachable(const PeerLoads *loads, gint64 timeout,
                                 gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    count += now - peer->received_at < timeout ? peer->instances : 0;
  }
  return count;
}

guint peer_loads_count_stopping(const PeerLoads *loads, gint64 timeout,
                                gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    if (now - peer->received_at < timeout)
      count += MIN(peer->digest.stopping, peer->instances);
  }
  return count;
}

gint64 peer_loads_oldest(const PeerLoads *loads, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  gint64 oldest = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    gint64 age = now - peer->received_at;
    if (peer->zone == 0 && peer->received_at != 0 && age < PEER_LOAD_TIMEOUT)
      oldest = MAX(oldest, age);
  }
  return oldest;
}

gboolean peer_loads_expire(PeerLoads *loads, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  gboolean found = FALSE;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Peer *peer = value;
    if (now - peer->received_at < PEER_LOAD_TIMEOUT ||
        (peer->digest.n == 0 && peer->digest.waiting == 0 &&
         peer->digest.changing_count == 0 && peer->reservations->len == 0))
      continue;
    subtract_peer(loads, peer);
    peer->digest.n = 0;
    peer->digest.changing_count = 0;
    peer->digest.waiting = 0;
    peer->digest.in_time = 0;
    peer->digest.ranked_count = 0;
    found = TRUE;
  }
  return found;
}

static const LoadSum *find_sum(const PeerLoads *loads, guint32 endpoint) {
  return g_hash_table_lookup(loads->sums, GUINT_TO_POINTER(endpoint));
}

guint64 peer_loads_tokens(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = find_sum(loads, endpoint);
  return sum != NULL ? sum->tokens : 0;
}

double peer_loads_failure_shares(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = find_sum(loads, endpoint);
  return sum != NULL ? sum->failing_percent / 100.0 : 0;
}

guint peer_loads_unreachable_reports(const PeerLoads *loads,
                                     guint32 endpoint) {
  const LoadSum *sum;
  if (loads->unreachable == 0)
    return 0; /* the common case */
  sum = find_sum(loads, endpoint);
  return sum != NULL ? sum->unreachable : 0;
}

gboolean peer_loads_has_unreachable_reports(const PeerLoads *loads) {
  return loads->unreachable > 0;
}

guint peer_loads_open_dispatches(const PeerLoads *loads, guint32 endpoint) {
  const LoadSum *sum = find_sum(loads, endpoint);
  return sum != NULL ? sum->open : 0;
}

/* Returns TRUE if the oldest request in time at the peer is more senior than
** 'came'. */
static gboolean has_waiting_longer(const Peer *peer, gint64 came) {
  return peer->digest.in_time > 0 && peer->oldest_in_time < came;
}

/* Returns how many requests that the row stands for go before one of this
** priority that came at 'came'. */
static guint row_count_before(const Peer *peer, const mp_WaitingRow *row,
                              guint priority, gint64 came) {
  if (row->priority != priority)
    return row->priority < priority ? row->count : 0;
  return peer->received_at - row->oldest_ms * MP_MS < came;
}

guint peer_loads_count_before(const PeerLoads *loads, guint32 service,
                              guint priority, gint64 came) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  guint i;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    const mp_LoadDigest *digest = &peer->digest;
    if (digest->ranked_count == 0)
      count += has_waiting_longer(peer, came);
    for (i = 0; i < digest->ranked_count; i++) {
      if (digest->ranked[i].service == service)
        count += row_count_before(peer, &digest->ranked[i], priority, came);
    }
  }
  return count;
}

guint peer_loads_waiting_ranked(const PeerLoads *loads, guint32 service,
                                guint priority) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  guint i;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const mp_LoadDigest *digest = &((const Peer *)value)->digest;
    if (digest->ranked_count == 0)
      count += digest->in_time;
    for (i = 0; i < digest->ranked_count; i++) {
      if (digest->ranked[i].service == service &&
          digest->ranked[i].priority <= priority)
        count += digest->ranked[i].count;
    }
  }
  return count;
}

guint peer_loads_count_waiting_longer(const PeerLoads *loads, gint64 came) {
  GHashTableIter iterator;
  gpointer value;
  guint count = 0;
  g_hash_table_iter_init(&iterator, loads->peers);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Peer *peer = value;
    count += has_waiting_longer(peer, came);
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
  const LoadSum *sum = find_sum(loads, endpoint);
  return sum != NULL && sum->changing_reports > 0;
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
             now - peer->received_at < PEER_LOAD_TIMEOUT;
  }
  return count;
}
