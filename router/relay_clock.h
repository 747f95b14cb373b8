/*
** relay_clock.h
** When, by the clock of this instance, a relay's heartbeat was sent
**
** A heartbeat says how old the sender's knowledge was when it was sent. Its
** arrival does not tell when that was: it may have waited in a queue for
** seconds, or this instance may have been stopped since it came. So every age
** that a heartbeat carries is counted from the time of its sending, which is
** converted from the relay's clock to the one of this instance.
**
** The offset between the two clocks is bounded by a request and its answer:
** the relay's clock showed the time in the answer after the request had been
** sent. However late the request is answered or the answer is read, the bound
** is true, but it may be loose; the best one is kept.
**
** Invariants: the time returned is never later than the true one, as long as
** the clocks drift apart by RELAY_CLOCK_DRIFT_MAX at most. A relay whose clock
** has become another one (its machine was rebooted, or another machine has its
** address) has no bound until it has answered a request again: once a time by
** its old bound would lie in the future, or it shows an earlier time than
** before.
*/

#ifndef ROUTER_RELAY_CLOCK_H
#define ROUTER_RELAY_CLOCK_H

#include <glib.h>

#include "madderpier.h"

/*
** The offset to a relay's clock is bounded anew when it is older than this,
** us. A request and its answer in that time are less than 1 % of the relay's
** heartbeats, of which there are five a second; the drift adds 4 ms.
*/
#define RELAY_CLOCK_AGE_MAX (40 * MP_SEC)
/*
** A bound whose request was answered more slowly than this, us, is loose: the
** relay may have stood still. It is bounded anew after RELAY_CLOCK_RETRY_WAIT,
** because a list that seems older by that much may count as too old.
*/
#define RELAY_CLOCK_SLACK_MAX (200 * MP_MS)
#define RELAY_CLOCK_RETRY_WAIT (1 * MP_SEC)
/* A heartbeat whose clock shows this much less than an earlier one, us, is of
** another clock; datagrams overtake each other by less. */
#define RELAY_CLOCK_SET_BACK_MIN (5 * MP_SEC)
/* Largest drift of two clocks, in us for each second. */
#define RELAY_CLOCK_DRIFT_MAX 100

typedef struct RelayClocks {
  GHashTable *clocks; /* address of a relay -> RelayClock */
} RelayClocks;

/* 'clocks' is the caller's; relay_clocks_clear frees what it holds. */
void relay_clocks_init(RelayClocks *clocks);
void relay_clocks_clear(RelayClocks *clocks);

/* Bounds the offset to the relay's clock if the heartbeat is an answer. */
void relay_clocks_observe(RelayClocks *clocks, mp_Addr relay,
                          const mp_RelayHeartbeat *beat, gint64 now);
/*
** Writes to 'out' the time in us, by the clock of this instance, at which what
** has this age by the heartbeat was true. Returns FALSE if the relay's clock
** is not bounded.
*/
gboolean relay_clocks_time_of(const RelayClocks *clocks, mp_Addr relay,
                              const mp_RelayHeartbeat *beat, guint32 age_ms,
                              gint64 now, gint64 *out);
/*
** Returns TRUE when the relay should be sent a request so that the offset to
** its clock can be bounded.
*/
gboolean relay_clocks_must_bound(const RelayClocks *clocks, mp_Addr relay,
                                 gint64 now);
/* Returns an age for a heartbeat in ms, rounded up, so that no instance is
** told a later time than the true one. */
guint32 relay_clock_age_ms(gint64 age);

#endif
