/*
** relay_timing.h
** How long watches of the store wait, and how old what they bring may be
**
** What an instance knows ages from the time that an answer of the store proves
** (news_source.c) until the next answer. Watches wait as long as the age
** allows that is left, so that the age stays below a limit: that of fresh
** relays (relay_group.h), or that of lists by which an instance decides for
** itself. Times are in us. Used by relay_group.c.
**
** Invariant: while nothing changes and the store answers at once, each watch
** waits as long as the one before.
*/

#ifndef ROUTER_RELAY_TIMING_H
#define ROUTER_RELAY_TIMING_H

#include <glib.h>

#include "madderpier.h"

/*
** Interval in us between a relay's heartbeats. Two in a row may be lost before
** a member takes the relay for lost.
*/
#define RELAY_HEARTBEAT_INTERVAL (200 * MP_MS)
/*
** Each member that may take over from relays waits this much longer than the
** one before it, so that a heartbeat of that one arrives first.
*/
#define RELAY_TAKEOVER_STEP (RELAY_HEARTBEAT_INTERVAL + 50 * MP_MS)

typedef struct RelayTiming {
  gint64 watch_wait; /* Longest wait of a watch of the store, us. */
  /* A change of the store is known at all instances within this time, us. */
  gint64 propagation_max;
} RelayTiming;

/*
** Returns an upper bound in us for the age of what an instance knows while the
** store answers it.
*/
gint64 relay_news_age_max(const RelayTiming *times);
/* Returns the largest age, inclusive, of a fresh relay's knowledge. */
gint64 relay_freshness_max(const RelayTiming *times);
/*
** Returns the age of the store's last answer, at a relay or at an instance
** that follows the store for itself, at which the next watch must be made at
** the latest.
*/
gint64 relay_watch_due_age(const RelayTiming *times, gboolean is_relay);
/*
** Returns for how long a watch may wait that is made when the store's last
** answer has this age.
*/
gint64 relay_watch_wait(const RelayTiming *times, gboolean is_relay,
                        gint64 age);

#endif
