/*
** status_server.h
** HTTP server for queries about an instance: load balancers ask whether it is
** ready (/readyz), operators for its metrics (/metrics), and other instances
** for its copy of the store's objects (news_codec.h)
**
** Each of these three paths is served at an address of its own. Used by
** gateway.c.
*/

#ifndef STATUS_SERVER_H
#define STATUS_SERVER_H

#include <event2/event.h>

#include "io/log.h"
#include "io/news_codec.h"

typedef struct StatusServer StatusServer;

typedef struct StatusServerHooks {
  void *data;
  /* Should load balancers send new requests to this instance? */
  gboolean (*ready)(void *data);
  /* Returns the text of the metrics, which the server frees. */
  GString *(*metrics)(void *data);
  /* Fills in '*out' with the objects that the query asks for; the server
  ** clears it. */
  void (*news)(void *data, const NewsQuery *query, StoreReply *out);
} StatusServerHooks;

/* The addresses to listen on; 0: the path is not served. */
typedef struct StatusServerOptions {
  mp_Addr ready, control, metrics;
} StatusServerOptions;

/*
** Returns NULL and sets an error when the address 'ready' or 'control' cannot
** be bound. When 'metrics' cannot be bound, that is logged, and the others are
** served. 'hooks' is copied; 'base' and 'log' are borrowed.
*/
StatusServer *status_server_new(struct event_base *base,
                                const StatusServerOptions *options,
                                const StatusServerHooks *hooks, Log *log,
                                GError **error);
void status_server_free(StatusServer *server);

#endif
