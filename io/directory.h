/*
** directory.h
** Keeps the router's configuration, endpoints and count of instances in
** step with the store; asks other instances while there is no store
**
** The store's newest word always wins: what a peer handed over serves
** only until the store has been read. A configuration never goes back to
** an older version within a life.
*/

#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct Directory Directory;

typedef struct DirectoryOptions {
  const char *instance; /* this instance's own name */
  mp_Addr exchange;     /* where it hears from the others */
  mp_Addr store;
  const mp_Addr *peers; /* instances to ask for a snapshot */
  unsigned peers_count;
  gint64 watch_wait; /* longest wait of one watch */
} DirectoryOptions;

typedef struct DirectoryHooks {
  void *data;
  void (*configuration)(void *data, RouteTable *table);
  /* the addresses (mp_Addr) of the other instances */
  void (*instances)(void *data, const GArray *addresses);
} DirectoryHooks;

Directory *directory_new(struct event_base *base, const Dialect *dialect,
                         const DirectoryOptions *options, Router *router,
                         Log *log, const DirectoryHooks *hooks);
void directory_free(Directory *directory);

/* what a peer is handed; free it */
char *directory_snapshot(const Directory *directory);

/* endpoints have been listed, by the store or by a peer */
gboolean directory_has_endpoints(const Directory *directory);
guint64 directory_store_calls(const Directory *directory);

#endif
