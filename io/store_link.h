/*
** store_link.h
** One call at a time to the store, or to an instance that answers for it,
** over a kept connection
** A call that gets no answer in time ends its connection, since a store
** that lost an answer says nothing more there.
*/

#ifndef STORE_LINK_H
#define STORE_LINK_H

#include <event2/event.h>

#include "dialect/dialect.h"

typedef struct StoreLink StoreLink;

/* never called from within store_link_call; 'reply' is cleared after it */
typedef void (*StoreLinkReply)(void *data, const StoreReply *reply,
                               const GError *error);

StoreLink *store_link_new(struct event_base *base, mp_Addr address,
                          const StoreCodec *codec, StoreLinkReply on_reply,
                          void *data);
void store_link_free(StoreLink *link);

/* call there from now on; no call may be open */
void store_link_set_address(StoreLink *link, mp_Addr address);

/* no call may be open; 'patience' is how long an answer may be silent: each
** piece of it that comes begins that time anew */
void store_link_call(StoreLink *link, const StoreCall *call, gint64 patience);

/* a call is out */
gboolean store_link_is_open(const StoreLink *link);
/* forget the open call; nothing is told of it */
void store_link_abandon(StoreLink *link);

guint64 store_link_calls(const StoreLink *link);
/* when the last piece of the open call's answer came; 0: none has */
gint64 store_link_received_at(const StoreLink *link);
/* bytes of the open call's answer so far; 0: none is open */
gsize store_link_received_bytes(const StoreLink *link);

#endif
