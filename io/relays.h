/*
** relays.h
** Heartbeats of the relays of a data centre, and what follows from them
** (router/relay_group.h): sends this instance's own, hears the others',
** and has the directory look for news when its source may have changed.
*/

#ifndef RELAYS_H
#define RELAYS_H

#include <event2/event.h>

#include "io/directory.h"
#include "io/load_exchange.h"

typedef struct Relays Relays;

Relays *relays_new(struct event_base *base, RelayGroup *group,
                   Directory *directory, LoadExchange *exchange, Log *log);
void relays_free(Relays *relays);

/* a heartbeat, or the wish for one */
void relays_take(Relays *relays, mp_Addr from, const mp_Msg *message);
/* the members are known, or have changed */
void relays_look(Relays *relays);
/* the store has answered; news are told to the others at once */
void relays_news(Relays *relays);

#endif
