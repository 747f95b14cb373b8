/*
** load_exchange.h
** Tells the other instances what is open here, and hears it from them
** Datagrams, ONC RPC calls without a reply. A digest goes out soon after
** a change, at most once in a time that grows with the number of
** instances that hear it, so that what each receives stays bounded; and now
** and then without a change, since datagrams get lost.
*/

#ifndef LOAD_EXCHANGE_H
#define LOAD_EXCHANGE_H

#include <event2/event.h>

#include "router/router.h"

typedef struct LoadExchange LoadExchange;

/* what came beside notes: a message of another kind, or a digest */
typedef struct LoadExchangeHooks {
  void *data;
  void (*crashes)(void *data); /* news of requests that end endpoints came */
  void (*rates)(void *data);   /* of endpoints that name rates: sent or came */
  void (*relay)(void *data, mp_Addr from, const mp_Msg *message);
  void (*digest)(void *data); /* a digest was taken */
} LoadExchangeHooks;

/* NULL and an error when the address cannot be bound */
LoadExchange *load_exchange_new(struct event_base *base, mp_Addr address,
                                Router *router, const LoadExchangeHooks *hooks,
                                GError **error);
void load_exchange_free(LoadExchange *exchange);

/* the addresses of the instances that hear the digests; copied. 'only':
** digests of others are not taken, since summaries hold them already */
void load_exchange_set_peers(LoadExchange *exchange, const GArray *addresses,
                             gboolean only);

/* a message of another kind, to one instance */
void load_exchange_send(LoadExchange *exchange, mp_Addr to,
                        const mp_Msg *message);

/* what is open here may have changed */
void load_exchange_send_changes(LoadExchange *exchange);
/* room was reserved: told to the others without waiting for a digest */
void load_exchange_send_note(LoadExchange *exchange, guint32 endpoint,
                             guint32 tokens);

#endif
