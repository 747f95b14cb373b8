/*
** timer.h
** Timers in the core's own time
*/

#ifndef TIMER_H
#define TIMER_H

#include "madderpier.h"

typedef void (*TimerCallback)(mp_State *state, void *ud);

/* lives inside its owner's row; all zero is "not armed" */
typedef struct Timer {
  mp_Time when;
  TimerCallback fn;
  void *ud;
  unsigned pos; /* place in the heap plus 1; 0 when not armed */
} Timer;

/* binary heap, earliest first; heap[i]->pos == i + 1 */
typedef struct TimerHeap {
  Timer **heap;
  unsigned n, size;
} TimerHeap;

/* arm 't', or move it when it is armed */
void timer_arm(TimerHeap *T, Timer *t, mp_Time when, TimerCallback fn,
               void *ud);
void timer_stop(TimerHeap *T, Timer *t);

/* run all that are due; a timer is disarmed before its function runs */
void timer_run(mp_State *state, TimerHeap *T, mp_Time now);

/* when the earliest is due, or INT64_MAX */
mp_Time timer_next(const TimerHeap *T);

void timer_free(TimerHeap *T);

#endif
