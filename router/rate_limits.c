/*
** rate_limits.c
** Rates that overloaded endpoints name, kept by all instances together
*/

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "account/bucket.h"
#include "router/rate_limits.h"

/* seconds of the rate that may be saved up, beside one request: a caller who
** comes after a pause finds room, and 4 s hold 4.5 s of the rate at most */
#define BURST_SECONDS 0.5
/* requests a second at least, whatever was named: an endpoint that names 0, or
** one in a minute, says that this is over in an answer alone */
#define RATE_MIN 0.25
/* a peer that was not heard for so long is out of reach: three times its
** refresh (io/load_exchange.c) */
#define SILENCE (1500 * MP_MS)
/* an answer without a rate ends it when none has named it for so long: answers
** overtake one another, by some tens of milliseconds */
#define RATE_END_DELAY (500 * MP_MS)
/* that a rate is over is told to the others for so long */
#define RATE_END_REPORT_TIME (5 * MP_SEC)
/* who is refused comes back when a request passes by this chance */
#define COME_BACK_CHANCE 0.6
/* a rate that is not this side's at all, for a wait */
#define LEAST_SHARE 1e-3
/* longest wait: the endpoint may name another rate by then */
#define WAIT_MOST (3 * MP_SEC)
/* what is told is older than its age by the way of the message */
#define WAY_MS 2
/* steps of a rate that travels */
#define STEPS_PER_UNIT 1000.0

/* one endpoint that names a rate, or did so lately */
typedef struct Limit {
  double rate; /* requests a second; RATE_UNLIMITED: it names none any more */
  gint64 said_at;  /* when an answer said so, here or at a peer */
  Bucket bucket;   /* requests */
  guint32 own;     /* sent by this instance since the entry is there */
  guint32 near;    /* and told by instances that are heard themselves */
  guint32 unused;  /* of 'own', not sent after all: free to be sent again */
  guint64 counted; /* 'own' and what peers told: a new draw for each */
} Limit;

struct RateLimits {
  guint64 seed;
  GHashTable *all; /* Endpoint.hash -> Limit */
  guint limited;   /* of them, that name a rate */
  guint64 skips;
  SharedTotals *peers;
  guint64 version;
};

/*
** {==================================================================
** Life
** ===================================================================
*/

RateLimits *rate_limits_new(guint64 seed) {
  RateLimits *limits = g_new0(RateLimits, 1);
  limits->seed = seed;
  limits->all = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  limits->peers = shared_totals_new(SILENCE);
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
  return limits->limited;
}

static void count_limited(RateLimits *limits) {
  GHashTableIter iterator;
  gpointer value;
  limits->limited = 0;
  g_hash_table_iter_init(&iterator, limits->all);
  while (g_hash_table_iter_next(&iterator, NULL, &value))
    limits->limited += is_limited(value);
}

/* an overloaded endpoint has nothing saved up for it */
static void begin(Limit *limit, gint64 now) {
  limit->bucket.level = MIN(limit->bucket.level, 0);
  limit->bucket.at = now;
}

static gboolean is_overtaken(const Limit *limit, double rate, gint64 at) {
  gint64 newer = at - limit->said_at;
  return newer < 0 ||
         (rate < 0 && is_limited(limit) && newer < RATE_END_DELAY);
}

/* an answer said so at that time; news that were overtaken change nothing */
static void take_saying(RateLimits *limits, guint32 endpoint, double rate,
                        gint64 at, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double before = is_limited(limit) ? limit->rate : RATE_UNLIMITED;
  if (limit == NULL && rate < 0)
    return;
  if (limit == NULL) {
    limit = g_new0(Limit, 1);
    g_hash_table_insert(limits->all, GUINT_TO_POINTER(endpoint), limit);
  } else if (is_overtaken(limit, rate, at))
    return;
  limit->said_at = at;
  limit->rate = rate;
  if (rate == before)
    return;
  if (before < 0)
    begin(limit, now);
  limits->version++;
  count_limited(limits);
}

void rate_limits_set(RateLimits *limits, guint32 endpoint, double rate,
                     gint64 now) {
  take_saying(limits, endpoint, rate, now, now);
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
  count_limited(limits);
}

/* }================================================================== */

/*
** {==================================================================
** Sending
** ===================================================================
*/

static double rate_of(const Limit *limit) {
  return MAX(limit->rate, RATE_MIN);
}

static void refill(Limit *limit, const RateSharers *sharers, gint64 now) {
  double share = limit_share(&sharers->instances);
  double rate = rate_of(limit) * share;
  bucket_refill(&limit->bucket, rate, share + BURST_SECONDS * rate, now);
}

/* from 0 to 1; another one for each request that was counted, and after each
** delay */
static double draw(const RateLimits *limits, const Limit *limit,
                   guint32 endpoint, gint64 delay, gint64 now) {
  guint64 from[3] = {endpoint, limit->counted, (guint64)(now / delay)};
  guint64 drawn = XXH3_64bits_withSeed(from, sizeof from, limits->seed);
  return (double)(drawn >> 11) / (double)(1ULL << 53);
}

gboolean rate_limits_allow(RateLimits *limits, guint32 endpoint,
                           const RateSharers *sharers, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double chance;
  if (!is_limited(limit))
    return TRUE;
  refill(limit, sharers, now);
  chance = limit->bucket.level / (1 + sharers->rivals);
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
  limit->counted++;
  if (limit->unused > 0) { /* the others have counted it already */
    limit->unused--;
    return TRUE;
  }
  limit->own++;
  limits->version += is_limited(limit);
  return TRUE;
}

void rate_limits_refund(RateLimits *limits, guint32 endpoint) {
  Limit *limit = limit_of(limits, endpoint);
  if (limit == NULL)
    return;
  limit->bucket.level++;
  limit->unused++;
}

gint64 rate_limits_retry_delay(RateLimits *limits, guint32 endpoint,
                               const RateSharers *sharers, gint64 now) {
  Limit *limit = limit_of(limits, endpoint);
  double share = MAX(limit_share(&sharers->instances), LEAST_SHARE);
  double wanted = COME_BACK_CHANCE * (1 + sharers->rivals);
  double seconds;
  if (!is_limited(limit))
    return 0;
  refill(limit, sharers, now);
  seconds = (wanted - limit->bucket.level) / (rate_of(limit) * share);
  return (gint64)CLAMP(seconds * MP_SEC, 0, (double)WAIT_MOST);
}

/* }================================================================== */

/*
** {==================================================================
** What instances tell each other
** ===================================================================
*/

guint64 rate_limits_version(const RateLimits *limits) {
  return limits->version;
}

static guint32 steps_of(double rate) {
  double steps = rate * STEPS_PER_UNIT;
  return rate < 0 ? MP_RATE_UNLIMITED
                  : (guint32)MIN(steps, MP_RATE_UNLIMITED - 1);
}

static double rate_of_steps(guint32 steps) {
  return steps == MP_RATE_UNLIMITED ? RATE_UNLIMITED : steps / STEPS_PER_UNIT;
}

static void write_rows(const RateLimits *limits, gboolean with_near,
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
    gint64 age = now - limit->said_at;
    if (!is_limited(limit) && age > RATE_END_REPORT_TIME)
      continue;
    row->endpoint = GPOINTER_TO_UINT(key);
    row->rate = steps_of(limit->rate);
    row->age_ms = (guint32)CLAMP(age / MP_MS + WAY_MS, 0, G_MAXINT32);
    row->sent = limit->own + (with_near ? limit->near : 0);
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

/* sums and a relay's own news have an address each */
static guint64 address_of(mp_Addr peer, const mp_RateUpdate *news) {
  return news->zone != 0 ? news->relay | 1ULL << 63 : peer;
}

void rate_limits_receive(RateLimits *limits, mp_Addr peer,
                         const mp_RateUpdate *news, const RateSharers *sharers,
                         gint64 now) {
  PeerTotals *totals =
      shared_totals_receive(limits->peers, address_of(peer, news), now);
  unsigned i;
  for (i = 0; i < news->n; i++) {
    const mp_RateRow *row = &news->row[i];
    guint32 more = peer_totals_increase(totals, row->endpoint, row->sent);
    Limit *limit;
    take_saying(limits, row->endpoint, rate_of_steps(row->rate),
                now - (gint64)row->age_ms * MP_MS, now);
    limit = limit_of(limits, row->endpoint);
    if (limit == NULL || more == 0)
      continue;
    if (is_limited(limit))
      refill(limit, sharers, now);
    limit->bucket.level -= more;
    limit->counted += more;
    limit->near += news->zone == 0 ? more : 0;
  }
}

/* }================================================================== */
