/*
** relays.h
** What the relays of a data centre tell (router/relay_group.h)
**
** Heartbeats: sends this instance's own, hears the others', and has the
** directory look for news when its source may have changed. Summaries of
** loads: with many instances, each hears the digests of its own data centre
** alone; the first relay sums these up for the relays of the other data
** centres with each heartbeat, and hands theirs on.
*/

#ifndef RELAYS_H
#define RELAYS_H

#include <event2/event.h>

#include "io/directory.h"
#include "io/load_exchange.h"

typedef struct Relays Relays;

typedef struct RelaysOptions {
  mp_Addr self;     /* where datagrams reach this instance */
  const char *zone; /* its data centre */
  gboolean proving; /* the age of the configuration matters */
} RelaysOptions;

Relays *relays_new(struct event_base *base, const RelaysOptions *options,
                   RelayGroup *group, Router *router, Directory *directory,
                   LoadExchange *exchange, Log *log);
void relays_free(Relays *relays);

/* a heartbeat, the wish for one, or a summary */
void relays_receive(Relays *relays, mp_Addr from, const mp_Msg *message);
/* the members are known, or have changed; 'summing': loads are told between
** data centres in summaries */
void relays_set_members(Relays *relays, gboolean summing);
/* loads were heard: endpoints that begin to fail are told to the other data
** centres at once */
void relays_on_loads(Relays *relays);
/* requests that end endpoints were heard of: told to the other data centres,
** and here, at once */
void relays_on_crashes(Relays *relays);
/* the same of endpoints that name rates */
void relays_on_rates(Relays *relays);
/* the store has answered; news are told to the others at once */
void relays_on_news(Relays *relays);

#endif
