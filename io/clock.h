/*
** clock.h
** The one clock of an instance
*/

#ifndef IO_CLOCK_H
#define IO_CLOCK_H

#include "madderpier.h"

/*
** Microseconds that only grow, the time that the machine was suspended
** included. Every age and deadline comes from here: with a clock that stands
** still meanwhile, an instance that wakes after eight seconds would take its
** endpoints, its lease, its configuration and what callers' deadlines leave
** for eight seconds younger than they are.
**
** Timers of the event loop do stand still: what is due is found at the next
** look, TICK_MOST of gateway.c after waking at the latest.
*/
mp_Time clock_now(void);

#endif
