/*
** relay_clock.c
** When, by the clock of this instance, a relay's heartbeat was sent
*/

#include "router/relay_clock.h"
#include "router/follower.h"

/* What is known of a relay's clock. */
typedef struct RelayClock {
  /* Lower bound of this clock's time less the relay's at 'bounded_at', us. */
  gint64 offset_min;
  gint64 bounded_at; /* Time at which a request was answered last. */
  gboolean is_loose; /* That request was answered slowly. */
  guint64 sent_us;   /* what the relay's clock showed last */
} RelayClock;

void relay_clocks_init(RelayClocks *clocks) {
  clocks->clocks =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void relay_clocks_clear(RelayClocks *clocks) {
  g_hash_table_destroy(clocks->clocks);
}

/* Returns the bound as it is now: the clocks may have drifted apart. */
static gint64 offset_now(const RelayClock *clock, gint64 now) {
  return clock->offset_min -
         (now - clock->bounded_at) * RELAY_CLOCK_DRIFT_MAX / MP_SEC;
}

/*
** The relay's clock showed 'sent_us' after the request had been sent at
** 'asked_us' of this clock, so the difference bounds the offset from below.
** So does the bound that was known before.
*/
static void bound_clock(RelayClocks *clocks, mp_Addr relay, RelayClock *clock,
                        const mp_RelayHeartbeat *beat, gint64 now) {
  gint64 offset = (gint64)beat->asked_us - (gint64)beat->sent_us;
  if (clock == NULL) {
    clock = g_new0(RelayClock, 1);
    g_hash_table_insert(clocks->clocks, g_memdup2(&relay, sizeof relay),
                        clock);
  } else
    offset = MAX(offset, offset_now(clock, now));
  clock->offset_min = offset;
  clock->sent_us = MAX(clock->sent_us, beat->sent_us);
  clock->bounded_at = now;
  clock->is_loose = now - (gint64)beat->asked_us > RELAY_CLOCK_SLACK_MAX;
}

/* Returns TRUE if the heartbeat is of another clock than the one known: by the
** bound it comes from the future, or it was set back. */
static gboolean is_other_clock(const RelayClock *clock,
                               const mp_RelayHeartbeat *beat, gint64 now) {
  return (gint64)beat->sent_us + offset_now(clock, now) > now ||
         beat->sent_us + RELAY_CLOCK_SET_BACK_MIN < clock->sent_us;
}

void relay_clocks_observe(RelayClocks *clocks, mp_Addr relay,
                          const mp_RelayHeartbeat *beat, gint64 now) {
  RelayClock *clock = g_hash_table_lookup(clocks->clocks, &relay);
  if (clock != NULL && is_other_clock(clock, beat, now)) {
    g_hash_table_remove(clocks->clocks, &relay);
    clock = NULL;
  }
  if (clock != NULL)
    clock->sent_us = MAX(clock->sent_us, beat->sent_us);
  if (beat->asked_us != 0 && (gint64)beat->asked_us <= now)
    bound_clock(clocks, relay, clock, beat, now);
}

gboolean relay_clocks_time_of(const RelayClocks *clocks, mp_Addr relay,
                              const mp_RelayHeartbeat *beat, guint32 age_ms,
                              gint64 now, gint64 *out) {
  const RelayClock *clock = g_hash_table_lookup(clocks->clocks, &relay);
  if (clock == NULL)
    return FALSE;
  *out = MIN((gint64)beat->sent_us + offset_now(clock, now), now) -
         age_ms * MP_MS;
  return TRUE;
}

gboolean relay_clocks_must_bound(const RelayClocks *clocks, mp_Addr relay,
                                 gint64 now) {
  const RelayClock *clock = g_hash_table_lookup(clocks->clocks, &relay);
  if (clock == NULL)
    return TRUE;
  return now - clock->bounded_at >
         (clock->is_loose ? RELAY_CLOCK_RETRY_WAIT : RELAY_CLOCK_AGE_MAX);
}

guint32 relay_clock_age_ms(gint64 age) {
  return (guint32)CLAMP(age / MP_MS + 1, 0, G_MAXINT32);
}
