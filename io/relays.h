/*
** relays.h
** The messages of relays (router/relay_group.h)
**
** A relay is an instance that watches the store for others of its data centre.
** It announces the changes that it knows in heartbeats. This module sends the
** heartbeats of this instance and receives those of others. It has the
** directory (directory.h) ask for changes when a heartbeat may have announced
** some.
**
** A summary is the sum of the load digests (load_exchange.h) of a data centre.
** Summaries are used when there are many instances, each of which then
** receives the digests of its own data centre only. With each heartbeat, the
** first relay (relay_group_is_first_relay) sends its summary to the relays of
** the other data centres. It forwards the summaries that it receives from
** there to its own data centre. Used by gateway.c.
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
} RelaysOptions;

/* The pointers are borrowed, except for 'options', which is copied. */
Relays *relays_new(struct event_base *base, const RelaysOptions *options,
                   RelayGroup *group, Router *router, Directory *directory,
                   LoadExchange *exchange, Log *log);
void relays_free(Relays *relays);

/*
** Handles a message: a heartbeat, a request for one, or a summary of loads or
** of rates. Messages of other kinds are ignored.
*/
void relays_receive(Relays *relays, mp_Addr from, const mp_Msg *message);
/*
** To be called when the members of the relay group have been set. With
** 'uses_summaries', data centres exchange loads as summaries.
*/
void relays_set_members(Relays *relays, gboolean uses_summaries);
/*
** To be called when a load digest was received. If it changes the set of
** endpoints that fail or leave service, or a large part of an account's burst
** was used, the first relay sends an extra summary to the other data centres
** at once.
*/
void relays_on_loads(Relays *relays);
/*
** To be called when crash reports were received. The first relay sends them to
** the other data centres and to the members of this one at once.
*/
void relays_on_crashes(Relays *relays);
/*
** To be called when rates were sent or received. The first relay sends their
** sums to the other data centres, unless it did so within SUMMARY_INTERVAL_MIN
** (relays.c).
*/
void relays_on_rates(Relays *relays);
/*
** To be called when the store has answered. A relay that knows newer changes
** than it announced in its last heartbeat sends another one at once.
*/
void relays_on_news(Relays *relays);

#endif
