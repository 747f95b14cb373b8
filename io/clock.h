/*
** clock.h
** The monotonic clock of an instance
*/

#ifndef IO_CLOCK_H
#define IO_CLOCK_H

#include "madderpier.h"

/*
** The time in microseconds since an arbitrary point. It never decreases, and
** it includes the time during which the machine was suspended
** (CLOCK_BOOTTIME). Every age and deadline is taken from this clock. With a
** clock that stops during suspension, an instance that resumes after eight
** seconds would not notice that its endpoints, lease and configuration are
** eight seconds older, and that callers' deadlines are eight seconds nearer.
**
** Timers of the event loop do stop during suspension. What has become due
** meanwhile is handled by the next timer, at most MAX_TICK_WAIT (gateway.c)
** after the machine resumes.
*/
mp_Time clock_now(void);

/* The processor time in microseconds that this process has used. */
mp_Time clock_processor_time(void);

#endif
