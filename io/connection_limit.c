/*
** connection_limit.c
** Decides how many callers' connections an instance takes in
*/

#include "io/connection_limit.h"

/* A busy loop whose turns are shorter harms nobody: a request passes some six
** of them. */
#define OVERLOAD_TURN_MIN (50 * MP_MS)
/* Packets that queue for longer delay a request by several times as much. */
#define OVERLOAD_PATH_MIN (50 * MP_MS)
/* Turns above this delay answers by seconds, and the limit falls faster. */
#define SEVERE_TURN_MIN (250 * MP_MS)
/* What the limit falls to, as a share of the connections under way. */
#define FALL_SHARE 0.7
#define SEVERE_FALL_SHARE 0.5
/* Time for a lower limit to take effect. */
#define FALL_INTERVAL (200 * MP_MS)
/* The limit grows by this share of it with each sample, or by 1. */
#define GROWTH_DIVISOR 20
/* A quota that is used up by chance must not shut callers out. */
#define LIMIT_MIN 8
/* The limit while the loop is behind, as a multiple of ConnectionLimit.usual.
** What is usual varies by chance. */
#define USUAL_FACTOR 2
/* ConnectionLimit.usual decays by this with each measurement, to a third in
** ten seconds. */
#define USUAL_DECAY 0.99

static gboolean is_behind(const LoopSample *sample, gint64 path_delay) {
  return path_delay >= OVERLOAD_PATH_MIN ||
         (sample->busy >= LOOP_LAG_INTERVAL &&
          sample->turn >= OVERLOAD_TURN_MIN);
}

/* Remembers what is under way while the loop keeps up. */
static void learn_usual(ConnectionLimit *limit, guint under_way) {
  limit->usual = MAX(USUAL_DECAY * limit->usual, (double)under_way);
}

static void lower(ConnectionLimit *limit, guint to, gint64 now) {
  limit->limit = MAX(to, LIMIT_MIN);
  limit->lowered_at = now;
}

static void grow(ConnectionLimit *limit) {
  limit->limit += MAX(limit->limit / GROWTH_DIVISOR, 1);
}

/* Returns TRUE if no more is under way than the limit allows, and its last
** fall has had time to show. */
static gboolean may_fall(const ConnectionLimit *limit,
                         const LoopSample *sample, guint under_way) {
  return under_way <= limit->limit &&
         sample->at - limit->lowered_at >= FALL_INTERVAL + sample->turn;
}

/* The instance is behind. */
static void fall(ConnectionLimit *limit, const LoopSample *sample,
                 guint under_way) {
  guint most = (guint)(USUAL_FACTOR * limit->usual);
  double share =
      sample->turn >= SEVERE_TURN_MIN ? SEVERE_FALL_SHARE : FALL_SHARE;
  if (limit->limit == 0 || limit->limit > MAX(most, LIMIT_MIN))
    lower(limit, most, sample->at);
  else if (may_fall(limit, sample, under_way))
    lower(limit, (guint)(share * under_way), sample->at);
}

void connection_limit_measure(ConnectionLimit *limit, const LoopSample *sample,
                              gint64 path_delay, guint under_way) {
  limit->is_behind = is_behind(sample, path_delay);
  if (limit->is_behind)
    fall(limit, sample, under_way);
  else {
    learn_usual(limit, under_way);
    if (limit->has_bound)
      grow(limit);
  }
  limit->has_bound = FALSE;
}

gboolean connection_limit_is_reached(const ConnectionLimit *limit,
                                     guint under_way) {
  return limit->limit != 0 && under_way >= limit->limit;
}

gboolean connection_limit_admit(ConnectionLimit *limit, guint under_way,
                                gint64 now) {
  if (connection_limit_is_reached(limit, under_way) &&
      now - limit->admitted_at < ADMIT_INTERVAL_MAX) {
    limit->has_bound = TRUE;
    return FALSE;
  }
  limit->admitted_at = now;
  return TRUE;
}
