/*
** rate_limits.c
** Rates that endpoints in need name
*/

#include "router/rate_limits.h"

/* one endpoint that names a rate */
typedef struct Limit {
  double rate; /* requests a second */
} Limit;

struct RateLimits {
  GHashTable *all; /* Endpoint.hash -> Limit */
};

RateLimits *rate_limits_new(void) {
  RateLimits *limits = g_new0(RateLimits, 1);
  limits->all = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return limits;
}

void rate_limits_free(RateLimits *limits) {
  g_hash_table_destroy(limits->all);
  g_free(limits);
}

static Limit *limit_of(const RateLimits *limits, guint32 endpoint) {
  return g_hash_table_lookup(limits->all, GUINT_TO_POINTER(endpoint));
}

double rate_limits_of(const RateLimits *limits, guint32 endpoint) {
  const Limit *limit = limit_of(limits, endpoint);
  return limit != NULL ? limit->rate : RATE_ANY;
}

guint rate_limits_count(const RateLimits *limits) {
  return g_hash_table_size(limits->all);
}

void rate_limits_named(RateLimits *limits, guint32 endpoint, double rate) {
  Limit *limit = limit_of(limits, endpoint);
  if (rate < 0) {
    g_hash_table_remove(limits->all, GUINT_TO_POINTER(endpoint));
    return;
  }
  if (limit == NULL) {
    limit = g_new0(Limit, 1);
    g_hash_table_insert(limits->all, GUINT_TO_POINTER(endpoint), limit);
  }
  limit->rate = rate;
}
