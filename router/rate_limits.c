/*
** rate_limits.c
** The rates that overloaded endpoints name, which all instances enforce
** together
*/

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "account/bucket.h"
#include "router/rate_limits.h"

/* The bucket saves up one request and this many seconds of the rate, so a
** caller who comes after a pause finds room; any 4 s then hold at most 4.5 s
** of the rate, beside that request. */
#define BURST_SECONDS 0.5
/* A lower named rate is treated as this one, in requests a second. An endpoint
** that names 0, or one request a minute, can only end that in an answer, and
** it answers only what is sent to it. */
#define RATE_MIN 0.25
/* A peer that was silent for longer than this counts as unreachable. It is
** three times the interval at which peers repeat their messages
** (io/load_exchange.c). */
#define PEER_TIMEOUT (1500 * MP_MS)
/* An answer without a rate ends the limit only when the last answer that named
** one is at least this much older, because answers overtake one another by
** some tens of milliseconds. */
#define RATE_END_DELAY (500 * MP_MS)
/* The end of a rate is reported to the other instances for this long. */
#define RATE_END_REPORT_TIME (5 * MP_SEC)
/* A refused caller is asked to come back when its request would be allowed
** with this probability. */
#define RETRY_ALLOW_CHANCE 0.6
/* The retry delay is computed with at least this share of the rate, since the
** share is 0 while the number of instances is unknown. */
#define SHARE_MIN 1e-3
/* The retry delay is no longer than this: the endpoint may name another rate
** by then. */
#define RETRY_DELAY_MAX (3 * MP_SEC)
/* A report is older than its age says by about the time it travels. */
#define TRANSIT_MS 2
/* steps of mp_RateRow.rate in one request a second */
#define RATE_STEPS_PER_UNIT 1000.0

/* one endpoint that names a rate, or named one earlier in its life */
typedef struct Limit {
  double rate; /* requests a second; RATE_UNLIMITED: no more named */
  gint64
      answered_at;  /* when the answer that says so came, here or at a peer */
  Bucket bucket;    /* in requests */
  guint32 own_sent; /* by this instance since this entry was made */
  guint32 peers_sent; /* reported since then by instances whose messages come
                      ** here */
  guint32 refunded;   /* part of own_sent that was not sent after all and may
                      ** be sent again */
  guint64 seen;       /* requests counted here or reported: each one changes
                      ** the random draw */
} Limit;

struct RateLimits {
  guint64 seed;
  GHashTable *all;     /* Endpoint.hash -> Limit */
  guint limited_count; /* of these, the ones that name a rate */
  guint64 skips;
  SharedTotals *peers; /* what they reported as sent */
  guint64 version;
};

/*
** {==================================================================
** Rates as endpoints name them
** ===================================================================
*/

RateLimits *rate_limits_new(guint64 seed) {
  RateLimits *limits = g_new0(RateLimits, 1);
  limits->seed = seed;
  limits->all = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  limits->peers = shared_totals_new(PEER_TIMEOUT);
  return limits;
}

void rate_limits_free(RateLimits *limits) {
  g_hash_table_destroy(limits->all);
  shared_totals_free(limits->peers);
  g_free(limits);
}

static Limit *limit_of(const RateLimits *limits, guint32 endpoint) {
  return g_hash_table_lookup(limits->all, GUINT_TO_POINTER(endpoint));
}

static gboolean is_limited(const Limit *limit) {
  return limit != NULL && limit->rate >= 0;
}

double rate_limits_rate(const RateLimits *limits, guint32 endpoint) {
  const Limit *limit = limit_of(limits, endpoint);
  return is_limited(limit) ? limit->rate : RATE_UNLIMITED;
}

guint rate_limits_count(const RateLimits *limits) {
  return limits->limited_count;
}

static void update_limited_count(RateLimits *limits) {
  GHashTableIter iterator;
  gpointer value;
  limits->limited_count = 0;
  g_hash_table_iter_init(&iterator, limits->all);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    limits->limited_count += is_limited(value);
}

/* A rate begins: the bucket starts empty, because an endpoint that names a
** rate is overloaded. A level below 0 stays. */
static void reset_bucket(Limit *limit, gint64 now) {
  limit->bucket.level = MIN(limit->bucket.level, 0);
  limit->bucket.at = now;
}

/* Returns TRUE if an answer of the time 'at' with this rate must not replace
** what is known. */
static gboolean is_outdated(const Limit *limit, double rate, gint64 at) {
  gint64 newer_by = at - limit->answered_at;
  return newer_by < 0 ||
         (rate < 0 && is_limited(limit) && newer_by < RATE_END_DELAY);
}

/* Applies an answer that came at the time 'at' here or at a peer. Outdated
** answers change nothing. */
static void apply_rate(RateLimits *limits, guint32 endpoint, double rate,
                       gint64 at, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double before = is_limited(limit) ? limit->rate : RATE_UNLIMITED;
  if (limit == NULL && rate < 0)
    return;
  if (limit == NULL) {
    limit = g_new0(Limit, 1);
    g_hash_table_insert(limits->all, GUINT_TO_POINTER(endpoint), limit);
  } else if (is_outdated(limit, rate, at))
    return;
  limit->answered_at = at;
  limit->rate = rate;
  if (rate == before)
    return;
  if (before < 0)
    reset_bucket(limit, now);
  limits->version++;
  update_limited_count(limits);
}

void rate_limits_set(RateLimits *limits, guint32 endpoint, double rate,
                     gint64 now) {
  apply_rate(limits, endpoint, rate, now, now);
}

void rate_limits_keep_listed(RateLimits *limits,
                             gboolean (*is_listed)(void *data,
                                                   guint32 endpoint),
                             void *data) {
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init(&iterator, limits->all);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    if (!is_listed(data, GPOINTER_TO_UINT(key)))
      g_hash_table_iter_remove(&iterator);
  }
  update_limited_count(limits);
}

/* }================================================================== */

/*
** {==================================================================
** Sending
** ===================================================================
*/

static double effective_rate(const Limit *limit) {
  return MAX(limit->rate, RATE_MIN);
}

static void refill(Limit *limit, const RateSharers *sharers, gint64 now) {
  double share = limit_share(&sharers->instances);
  double rate = effective_rate(limit) * share;
  bucket_refill(&limit->bucket, rate, share + BURST_SECONDS * rate, now);
}

/* Returns a number from 0 (inclusive) to 1 (exclusive). It changes with each
** request that is counted, and once in each 'delay'. */
static double draw(const RateLimits *limits, const Limit *limit,
                   guint32 endpoint, gint64 delay, gint64 now) {
  guint64 input[3] = {endpoint, limit->seen, (guint64)(now / delay)};
  guint64 hash = XXH3_64bits_withSeed(input, sizeof input, limits->seed);
  return (double)(hash >> 11) / (double)(1ULL << 53);
}

gboolean rate_limits_allow(RateLimits *limits, guint32 endpoint,
                           const RateSharers *sharers, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double chance;
  if (!is_limited(limit))
    return TRUE;
  refill(limit, sharers, now);
  chance = limit->bucket.level / (1 + sharers->competing_requests);
  if (draw(limits, limit, endpoint, sharers->delay, now) < chance)
    return TRUE;
  limits->skips++;
  return FALSE;
}

guint64 rate_limits_skips(const RateLimits *limits) {
  return limits->skips;
}

gboolean rate_limits_count_sent(RateLimits *limits, guint32 endpoint) {
  Limit *limit = limit_of(limits, endpoint);
  if (limit == NULL)
    return FALSE;
  limit->bucket.level--;
  limit->seen++;
  if (limit->refunded > 0) { /* the other instances have counted it already */
    limit->refunded--;
    return TRUE;
  }
  limit->own_sent++;
  limits->version += is_limited(limit);
  return TRUE;
}

void rate_limits_refund(RateLimits *limits, guint32 endpoint) {
  Limit *limit = limit_of(limits, endpoint);
  if (limit == NULL)
    return;
  limit->bucket.level++;
  limit->refunded++;
}

gint64 rate_limits_retry_delay(RateLimits *limits, guint32 endpoint,
                               const RateSharers *sharers, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double share = MAX(limit_share(&sharers->instances), SHARE_MIN);
  double wanted = RETRY_ALLOW_CHANCE * (1 + sharers->competing_requests);
  double seconds;
  if (!is_limited(limit))
    return 0;
  refill(limit, sharers, now);
  seconds = (wanted - limit->bucket.level) / (effective_rate(limit) * share);
  return (gint64)CLAMP(seconds * MP_SEC, 0, (double)RETRY_DELAY_MAX);
}

/* }================================================================== */

/*
** {==================================================================
** Exchange with other instances
** ===================================================================
*/

guint64 rate_limits_version(const RateLimits *limits) {
  return limits->version;
}

static guint32 encode_rate(double rate) {
  double steps = rate * RATE_STEPS_PER_UNIT;
  return rate < 0 ? MP_RATE_UNLIMITED
                  : (guint32)MIN(steps, MP_RATE_UNLIMITED - 1);
}

static double decode_rate(guint32 steps) {
  return steps == MP_RATE_UNLIMITED ? RATE_UNLIMITED
                                    : steps / RATE_STEPS_PER_UNIT;
}

static void write_rows(const RateLimits *limits, gboolean with_peers,
                       mp_RateUpdate *out, gint64 now) {
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  out->n = 0;
  g_hash_table_iter_init(&iterator, limits->all);
  while (out->n < MP_RATE_ROWS &&
         g_hash_table_iter_next(&iterator, &key, &value)) {
    const Limit *limit = value;
    mp_RateRow *row = &out->row[out->n];
    gint64 age = now - limit->answered_at;
    if (!is_limited(limit) && age > RATE_END_REPORT_TIME)
      continue;
    row->endpoint = GPOINTER_TO_UINT(key);
    row->rate = encode_rate(limit->rate);
    row->age_ms = (guint32)CLAMP(age / MP_MS + TRANSIT_MS, 0, G_MAXINT32);
    row->sent = limit->own_sent + (with_peers ? limit->peers_sent : 0);
    out->n++;
  }
}

void rate_limits_write(const RateLimits *limits, mp_RateUpdate *out,
                       gint64 now) {
  write_rows(limits, FALSE, out, now);
}

void rate_limits_write_summary(const RateLimits *limits, mp_RateUpdate *out,
                               gint64 now) {
  write_rows(limits, TRUE, out, now);
}

/* Returns the key of the sender's totals. A relay's sums and its own totals
** are stored under different keys. */
static guint64 sender_address(mp_Addr peer, const mp_RateUpdate *news) {
  return news->zone != 0 ? news->relay | 1ULL << 63 : peer;
}

void rate_limits_receive(RateLimits *limits, mp_Addr peer,
                         const mp_RateUpdate *news, const RateSharers *sharers,
                         gint64 now) {
  PeerTotals *totals =
      shared_totals_receive(limits->peers, sender_address(peer, news), now);
  unsigned i;
  for (i = 0; i < news->n; i++) {
    const mp_RateRow *row = &news->row[i];
    guint32 increase = peer_totals_increase(totals, row->endpoint, row->sent);
    Limit *limit;
    apply_rate(limits, row->endpoint, decode_rate(row->rate),
               now - (gint64)row->age_ms * MP_MS, now);
    limit = limit_of(limits, row->endpoint);
    if (limit == NULL || increase == 0)
      continue;
    if (is_limited(limit))
      refill(limit, sharers, now);
    limit->bucket.level -= increase;
    limit->seen += increase;
    limit->peers_sent += news->zone == 0 ? increase : 0;
  }
}

/* }================================================================== */
