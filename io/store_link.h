/*
** store_link.h
** HTTP client for calls to the store, or to another instance that answers from
** its copy of the store's objects
**
** The store is the platform's database of configuration, endpoints, instances
** and quarantine records. A link makes one call at a time, over a connection
** that is kept between calls. When a response does not arrive in time, the
** link closes the connection, because a store that has lost a response sends
** nothing more on it. Used by directory.c, following.c, gateway.c and
** quarantine_writer.c. Times are in microseconds.
*/

#ifndef STORE_LINK_H
#define STORE_LINK_H

#include <event2/event.h>

#include "dialect/dialect.h"

typedef struct StoreLink StoreLink;

/*
** Reports the end of a call. It is never called from within store_link_call(),
** and may make the next call. 'reply' and 'error' are valid during the
** callback. 'error' is set when the status is STORE_FAILED.
*/
typedef void (*StoreLinkReply)(void *data, const StoreReply *reply,
                               const GError *error);

/*
** 'codec' writes the requests and reads the responses: that of the dialect for
** the store, news_codec for an instance. It is borrowed. No connection is made
** before the first call.
*/
StoreLink *store_link_new(struct event_base *base, mp_Addr address,
                          const StoreCodec *codec, StoreLinkReply on_reply,
                          void *data);
/* Closes the connection. The end of an open call is not reported. */
void store_link_free(StoreLink *link);

/* Sets the address to which calls go from now on. No call may be open. */
void store_link_set_address(StoreLink *link, mp_Addr address);

/*
** Begins a call; none may be open. 'call' is not needed after the function
** returns. 'timeout' is how long the call may take. A call whose response has
** a body that goes on arriving, at 16 KB/s or more, may take up to 60 s
** longer, as long as no pause is longer than 'timeout'. Nothing else that
** arrives extends it.
*/
void store_link_call(StoreLink *link, const StoreCall *call, gint64 timeout);

/* Is a call open? */
gboolean store_link_is_open(const StoreLink *link);
/*
** Aborts the open call, if there is one, and closes the connection. The end of
** the call is not reported.
*/
void store_link_abandon(StoreLink *link);

/* The number of calls begun since the start. */
guint64 store_link_calls(const StoreLink *link);
/*
** The time (clock_now) at which a part of the body of the response to the
** newest call was last received; 0: none was.
*/
gint64 store_link_received_at(const StoreLink *link);
/* Bytes of the body received in the open call; 0 when none is open. */
gsize store_link_received_bytes(const StoreLink *link);

#endif
