/*
** timer.c
** The binary heap of timers
**
** Timer.pos is the timer's index in the heap plus 1, so that 0 can stand for
** "not armed".
*/

#include "timer.h"

/* store 't' at index 'i' */
static void set_entry(TimerHeap *T, unsigned i, Timer *t) {
  T->heap[i] = t;
  t->pos = i + 1;
}

/* move the entry at 'i' towards the root while it is earlier */
static void sift_up(TimerHeap *T, unsigned i) {
  Timer *t = T->heap[i];
  while (i > 0) {
    unsigned p = (i - 1) / 2;
    if (T->heap[p]->when <= t->when)
      break;
    set_entry(T, i, T->heap[p]);
    i = p;
  }
  set_entry(T, i, t);
}

/* move the entry at 'i' towards the leaves while it is later */
static void sift_down(TimerHeap *T, unsigned i) {
  Timer *t = T->heap[i];
  for (;;) {
    unsigned c = 2 * i + 1;
    if (c >= T->n)
      break;
    if (c + 1 < T->n && T->heap[c + 1]->when < T->heap[c]->when)
      c++;
    if (t->when <= T->heap[c]->when)
      break;
    set_entry(T, i, T->heap[c]);
    i = c;
  }
  set_entry(T, i, t);
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
  set_entry(T, T->n, t);
  T->n++;
  sift_up(T, T->n - 1);
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
  /*
  ** The last entry takes the free place. It may come from another subtree, so
  ** it can be later than its children there or earlier than its parent. When
  ** it is earlier, sift_down leaves it where it is and sift_up moves it.
  */
  set_entry(T, i, last);
  sift_down(T, i);
  sift_up(T, last->pos - 1);
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
    T->heap[i]->pos = 0; /* their owners free them later */
  g_free(T->heap);
  T->heap = NULL;
  T->n = T->size = 0;
}
