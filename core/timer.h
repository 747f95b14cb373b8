/*
** timer.h
** Timers on the core's own time (mp_State.now), not on a system clock
**
** mp_feed runs those that are due; mp_next_tick tells the host when the next
** one is.
*/

#ifndef TIMER_H
#define TIMER_H

#include "madderpier.h"

typedef void (*TimerCallback)(mp_State *state, void *ud);

/*
** One timer, a member of its owner's row. All zero means "not armed". The
** owner stops it before it frees the row.
*/
typedef struct Timer {
  mp_Time when;
  TimerCallback fn;
  void *ud;
  unsigned pos; /* index in the heap plus 1; 0: not armed */
} Timer;

/* binary heap, earliest first; heap[i]->pos == i + 1 */
typedef struct TimerHeap {
  Timer **heap;
  unsigned n, size; /* entries used, and allocated */
} TimerHeap;

/* arm 't' for 'when', also when it is armed already */
void timer_arm(TimerHeap *T, Timer *t, mp_Time when, TimerCallback fn,
               void *ud);
/* disarm 't'; one that is not armed is left as it is */
void timer_stop(TimerHeap *T, Timer *t);

/*
** Run every timer whose 'when' is at or before 'now', also those that a
** callback arms. A timer is disarmed before its callback runs.
*/
void timer_run(mp_State *state, TimerHeap *T, mp_Time now);

/* when the earliest timer is due; INT64_MAX when none is armed */
mp_Time timer_next(const TimerHeap *T);

/* disarm all timers and free the heap; the timers stay their owners' */
void timer_free(TimerHeap *T);

#endif
