/*
** loop_lag.h
** Measures how far the event loop lags behind, and whether it is ever idle
**
** The lag is the time from the moment when a timer is due until its callback
** runs: it is how long an event waits before it is handled. One large lag does
** not show an overload, because a process that got no processor time for a
** while has one as well. So the time for which the loop has been busy is
** measured too: an event of a low priority, which runs only when nothing else
** is ready, is activated with each measurement. While it does not run, work
** arrives at least as fast as it is done. Until it runs, a timer with a short
** interval shows how long the turns of the loop are.
** All times are in microseconds. Used by intake.c.
*/

#ifndef LOOP_LAG_H
#define LOOP_LAG_H

#include <event2/event.h>

#include "mpconf.h"
#include "router/histogram.h"

/* Time between two measurements. */
#define LOOP_LAG_INTERVAL (100 * MP_MS)

typedef struct LoopLag LoopLag;

typedef struct LoopSample {
  gint64 at;
  gint64 lag;
  gint64 busy; /* for how long the loop has not been idle; 0: it was idle since
               ** the last measurement */
  gint64 turn; /* the longest turn of the loop in that time */
} LoopSample;

/* Called with each measurement, from the event loop. */
typedef void (*LoopLagCallback)(void *data, const LoopSample *sample);

/*
** Does not measure yet. 'base' is borrowed. If it has one priority, it is
** given three, so no event may be active yet.
*/
LoopLag *loop_lag_new(struct event_base *base, LoopLagCallback on_measured,
                      void *data);
void loop_lag_free(LoopLag *loop_lag);

/* Measures from now on, until loop_lag_stop. May be called repeatedly. */
void loop_lag_start(LoopLag *loop_lag);
void loop_lag_stop(LoopLag *loop_lag);

/* The last measurement, all 0 before the first one. */
const LoopSample *loop_lag_last(const LoopLag *loop_lag);
/* All measured lags. */
const Histogram *loop_lag_histogram(const LoopLag *loop_lag);

#endif
