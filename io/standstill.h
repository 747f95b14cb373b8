/*
** standstill.h
** Finds out that this process stood still
**
** A process stands still while it is stopped, its machine is suspended, or it
** gets no processor time. Meanwhile bytes arrive in the kernel, and their age
** is not known when they are read. gateway.c calls standstill_check() as it
** handles requests, outcomes, load digests and ticks, and a timer does at
** least each STANDSTILL_INTERVAL. A longer time between two calls in which the
** process used next to no processor time was a standstill.
**
** A loop that is late because it is busy has used processor time since the
** last call, or has called in between. This holds for a process that gets
** only some ms of each 100 ms, too: it calls in each of them.
**
** The timer has the highest priority of its base, so that it runs before what
** sockets have brought when the process goes on after it was stopped. Timers
** do not advance while a machine is suspended; there the first event that
** calls standstill_check() finds the standstill.
** All times are in microseconds of clock_now(), which counts suspension.
** Used by gateway.c.
*/

#ifndef IO_STANDSTILL_H
#define IO_STANDSTILL_H

#include <event2/event.h>
#include <glib.h>

#include "mpconf.h"

/* Longest time between two calls while the loop is not late. It costs five
** wake-ups a second at rest. */
#define STANDSTILL_INTERVAL (200 * MP_MS)
/* A shorter time between two calls is no standstill: it is twice
** STANDSTILL_INTERVAL, and four times what a process waits that gets a share
** of each 100 ms. */
#define STANDSTILL_MIN (400 * MP_MS)
/* In a standstill at most this part of the time is processor time, which was
** used before and after it. A process that gets 3 ms of each 100 ms uses one
** part in 33. */
#define STANDSTILL_PROCESSOR_PART 40

/* The two clocks at the last call. */
typedef struct StandstillMark {
  gint64 at;
  gint64 processor_time;
} StandstillMark;

/* Moves the mark to the present. Returns TRUE if the process stood still in
** between: from some moment after the previous mark on. */
gboolean standstill_mark(StandstillMark *mark, gint64 now,
                         gint64 processor_time);

typedef struct Standstill Standstill;

/* The process stood still from 'since', or somewhat later, until 'now'. */
typedef void (*StandstillCallback)(void *data, gint64 since, gint64 now);

/* 'base' is borrowed and must have its priorities already. */
Standstill *standstill_new(struct event_base *base,
                           StandstillCallback on_standstill, void *data);
void standstill_free(Standstill *standstill);

/* Returns the time. If the process stood still, calls the callback first. */
gint64 standstill_check(Standstill *standstill);

/* The number of standstills since the start, and how long they were. */
guint64 standstill_count(const Standstill *standstill);
gint64 standstill_total(const Standstill *standstill);

#endif
