/*
** status_server.h
** What others may ask of an instance by HTTP: the platform whether it is
** ready, operators its metrics, other instances what it knows of the store
*/

#ifndef STATUS_SERVER_H
#define STATUS_SERVER_H

#include <event2/event.h>

#include "io/log.h"
#include "io/news_codec.h"

typedef struct StatusServer StatusServer;

typedef struct StatusServerHooks {
  void *data;
  gboolean (*ready)(void *data);
  /* the caller frees it: g_string_free */
  GString *(*metrics)(void *data);
  /* objects of a kind that have changed since that revision; 0: all */
  void (*news)(void *data, const NewsQuery *query, StoreReply *out);
} StatusServerHooks;

/* addresses; 0: this is not served */
typedef struct StatusServerOptions {
  mp_Addr ready, control, metrics;
} StatusServerOptions;

/* NULL: an address can't be bound, as the error says. Without metrics alone
** the others are served, and the log says so */
StatusServer *status_server_new(struct event_base *base,
                                const StatusServerOptions *options,
                                const StatusServerHooks *hooks, Log *log,
                                GError **error);
void status_server_free(StatusServer *server);

#endif
