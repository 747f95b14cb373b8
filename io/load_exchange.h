/*
** load_exchange.h
** Sends the loads of this instance to other instances, and receives theirs
**
** The load of an endpoint is the work that an instance has open there, in
** requests and tokens. Messages are ONC RPC calls without a reply, each in one
** UDP datagram:
**   digest        all loads of an instance. It is sent soon after a change, at
**                 most once in an interval that grows with the number of
**                 receivers, so that the traffic that each receives stays
**                 bounded. Without a change it is sent every 0.5 s, because
**                 datagrams get lost.
**   note          one reservation of tokens at an endpoint, made since the
**                 last digest
**   crash report  endpoints that crashed while they ran a request
**                 (router/quarantine.h)
**   rates         the rates at which an instance sends requests to endpoints
**                 that limit them
** Messages of relays (relays.h) are sent and received here as well. Used by
** gateway.c and relays.c.
*/

#ifndef LOAD_EXCHANGE_H
#define LOAD_EXCHANGE_H

#include <event2/event.h>

#include "router/router.h"

typedef struct LoadExchange LoadExchange;

typedef struct LoadExchangeHooks {
  void *data;
  /* A crash report contained something that was not known here. */
  void (*crashes)(void *data);
  /* Rates at endpoints that limit them were sent or received. */
  void (*rates)(void *data);
  /* A message for relays was received, valid during the callback. */
  void (*relay)(void *data, mp_Addr from, const mp_Msg *message);
  /* A digest was received and handed to the router. */
  void (*digest)(void *data);
  /* A message about a stream's origin was handed to the router, which may have
  ** started or refused a request. */
  void (*stream)(void *data);
} LoadExchangeHooks;

/*
** Sends and receives on 'address'. Returns NULL and sets an error when it
** cannot be bound. 'hooks' is copied.
*/
LoadExchange *load_exchange_new(struct event_base *base, mp_Addr address,
                                Router *router, const LoadExchangeHooks *hooks,
                                GError **error);
void load_exchange_free(LoadExchange *exchange);

/*
** Sets the peers, which are the instances that receive the digests: an array
** of mp_Addr, which is copied. With 'only_peers', digests, notes and rates
** from instances that are not peers are ignored, because the summaries of
** other data centres (relays.h) contain them already.
*/
void load_exchange_set_peers(LoadExchange *exchange, const GArray *addresses,
                             gboolean only_peers);

/* Sends a message of any kind to one instance. */
void load_exchange_send(LoadExchange *exchange, mp_Addr to,
                        const mp_Msg *message);

/*
** Sends what has changed since it was last sent, or starts a timer until it
** may be sent. To be called when the router's state may have changed.
*/
void load_exchange_send_changes(LoadExchange *exchange);
/*
** Sends a note at once: 'tokens' were reserved at 'endpoint', which is named
** as in mp_LoadNote.
*/
void load_exchange_send_note(LoadExchange *exchange, guint32 endpoint,
                             guint32 tokens);

#endif
