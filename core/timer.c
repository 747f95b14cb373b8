/*
** timer.c
** Timers in the core's own time
*/

#include "timer.h"

static void put(TimerHeap *T, unsigned i, Timer *t) {
  T->heap[i] = t;
  t->pos = i + 1;
}

static void up(TimerHeap *T, unsigned i) {
  Timer *t = T->heap[i];
  while (i > 0) {
    unsigned p = (i - 1) / 2;
    if (T->heap[p]->when <= t->when)
      break;
    put(T, i, T->heap[p]);
    i = p;
  }
  put(T, i, t);
}

static void down(TimerHeap *T, unsigned i) {
  Timer *t = T->heap[i];
  for (;;) {
    unsigned c = 2 * i + 1;
    if (c >= T->n)
      break;
    if (c + 1 < T->n && T->heap[c + 1]->when < T->heap[c]->when)
      c++;
    if (t->when <= T->heap[c]->when)
      break;
    put(T, i, T->heap[c]);
    i = c;
  }
  put(T, i, t);
}

void timer_arm(TimerHeap *T, Timer *t, mp_Time when, TimerCallback fn,
               void *ud) {
  timer_stop(T, t);
  if (T->n == T->size) {
    T->size = T->size ? 2 * T->size : 64;
    T->heap = g_renew(Timer *, T->heap, T->size);
  }
  t->when = when;
  t->fn = fn;
  t->ud = ud;
  put(T, T->n, t);
  T->n++;
  up(T, T->n - 1);
}

void timer_stop(TimerHeap *T, Timer *t) {
  unsigned i;
  Timer *last;
  if (t->pos == 0)
    return;
  i = t->pos - 1;
  g_assert(T->heap[i] == t);
  t->pos = 0;
  T->n--;
  if (i == T->n)
    return;
  last = T->heap[T->n];
  put(T, i, last);
  down(T, i);
  up(T, last->pos - 1);
}

void timer_run(mp_State *state, TimerHeap *T, mp_Time now) {
  while (T->n > 0 && T->heap[0]->when <= now) {
    Timer *t = T->heap[0];
    timer_stop(T, t);
    t->fn(state, t->ud);
  }
}

mp_Time timer_next(const TimerHeap *T) {
  return T->n > 0 ? T->heap[0]->when : INT64_MAX;
}

void timer_free(TimerHeap *T) {
  unsigned i;
  for (i = 0; i < T->n; i++)
    T->heap[i]->pos = 0; /* their rows are freed later */
  g_free(T->heap);
  T->heap = NULL;
  T->n = T->size = 0;
}
