/*
** planned_stop.c
** Decides how far a planned stop of an instance has come
*/

#include "io/planned_stop.h"
#include "mpconf.h"

/* How long the last responses may take to be sent after requests were ended:
** half of what is left until the kill (GRACE_MARGIN_MS in settings.c). */
#define STOP_FLUSH_TIME (200 * MP_MS)
/* How long a stop with nothing else left waits for callers that keep their
** connections open after their last responses. */
#define STOP_LINGER_TIME (1 * MP_SEC)

gboolean planned_stop_accepts(const PlannedStop *stop, gint64 now) {
  return stop->began_at == 0 || now - stop->began_at < stop->least;
}

static gboolean is_finished(const StopWork *work) {
  return work->requests == 0 && work->carried == 0 && work->sending == 0;
}

/* Does the stop still wait for callers to close their connections? */
static gboolean waits_for_callers(PlannedStop *stop, const StopWork *work,
                                  gint64 now) {
  if (stop->finished_at == 0)
    stop->finished_at = now;
  return work->lingering > 0 && now - stop->finished_at < STOP_LINGER_TIME &&
         now - stop->began_at < stop->most;
}

StopPhase planned_stop_review(PlannedStop *stop, const StopWork *work,
                              gint64 now) {
  if (planned_stop_accepts(stop, now))
    return STOP_ACCEPTING;
  if (is_finished(work))
    return waits_for_callers(stop, work, now) ? STOP_FINISHING : STOP_DRAINED;
  if (now - stop->began_at < stop->most)
    return STOP_FINISHING;
  if (stop->ended_at == 0) {
    stop->ended_at = now;
    return STOP_ENDING;
  }
  return now - stop->ended_at < STOP_FLUSH_TIME ? STOP_FLUSHING : STOP_CUTTING;
}
