/*
** relays.h The messages of the relays of a data centre (router/relay_group.h)
**
** A relay is an instance that watches the store for others of its data centre.
** Heartbeats: this module sends those of this instance, receives the others',
** and has the directory poll for news when their source may have changed.
** Summaries: when there are many instances, each receives the load digests
** (load_exchange.h) of its own data centre only. With each heartbeat, the
** first relay (relay_group_is_first_relay) sends their sums to the relays of
** the other data centres, and it forwards the sums that it receives from there
** to its own data centre. Used by gateway.c.
*/

#ifndef RELAYS_H
#define RELAYS_H

#include <event2/event.h>

#include "io/directory.h"
#include "io/load_exchange.h"

typedef struct Relays Relays;

typedef struct RelaysOptions {
  mp_Addr self;     /* address of this instance's load exchange */
  const char *zone; /* its data centre */
  /* The age of the configuration is bounded, so that the clocks of relays
  ** have to be compared. */
  gboolean bounds_config_age;
} RelaysOptions;

/* The pointers are borrowed, except for 'options', which is copied. */
Relays *relays_new(struct event_base *base, const RelaysOptions *options,
                   RelayGroup *group, Router *router, Directory *directory,
                   LoadExchange *exchange, Log *log);
void relays_free(Relays *relays);

/*
** Handles a message: a heartbeat, a request for one, or a summary of loads or
** rates. Messages of other kinds are ignored.
*/
void relays_receive(Relays *relays, mp_Addr from, const mp_Msg *message);
/*
** The relay group has got its members, or they have changed. With
** 'uses_summaries', data centres exchange loads as summaries.
*/
void relays_set_members(Relays *relays, gboolean uses_summaries);
/*
** Loads were received. If they change the set of endpoints that fail or leave,
** or a large part of an account's burst was used, the first relay sends an
** extra summary to the other data centres at once.
*/
void relays_on_loads(Relays *relays);
/*
** Crash reports were received. The first relay sends them to the other data
** centres and to the members of this one at once.
*/
void relays_on_crashes(Relays *relays);
/*
** Rates were sent or received. The first relay sends their sums to the other
** data centres, unless it did so within SUMMARY_INTERVAL_MIN (relays.c).
*/
void relays_on_rates(Relays *relays);
/*
** The store has answered. A relay that knows newer changes than it named in
** its last heartbeat sends another one at once.
*/
void relays_on_news(Relays *relays);

#endif
