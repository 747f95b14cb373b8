/*
** directory.h
** Keeps the router's configuration and endpoints in
** step with the store, and enters this instance there
**
** The news come from the store or from relays (io/following.h); at a start
** without the store, from the instances that the settings name. An object
** never goes back to an older position within a life, nor the configuration
** to an older version.
*/

#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"
#include "io/news_codec.h"
#include "router/relay_group.h"

typedef struct Directory Directory;

typedef struct DirectoryOptions {
  const char *instance; /* this instance's own name */
  const char *zone;     /* its data centre */
  guint32 capacity;     /* InstanceRecord.capacity */
  mp_Addr exchange;     /* where it hears from the others */
  mp_Addr control;      /* where it tells them what it knows; 0: nowhere */
  mp_Addr callers;      /* where callers reach it */
  mp_Addr store;
  const mp_Addr *seeds; /* instances to ask while there is no store */
  unsigned seeds_count;
  gint64 watch_wait;     /* longest wait of one watch */
  gint64 proof_wait_max; /* of the configuration; as in NewsSource */
} DirectoryOptions;

typedef struct DirectoryHooks {
  void *data;
  void (*configuration)(void *data, RouteTable *table);
  /* the addresses (mp_Addr) of the other instances, and those of this data
  ** centre among them */
  void (*instances)(void *data, const GArray *all, const GArray *near);
  /* the store has answered, perhaps with news */
  void (*news)(void *data);
} DirectoryHooks;

Directory *directory_new(struct event_base *base, const Dialect *dialect,
                         const DirectoryOptions *options, Router *router,
                         RelayGroup *group, Log *log,
                         const DirectoryHooks *hooks);
void directory_free(Directory *directory);

/* who may be asked has changed: look for news */
void directory_poll(Directory *directory);

/* what this instance knows of a kind, to answer others with */
void directory_answer_query(const Directory *directory, const NewsQuery *query,
                            StoreReply *out);
/* the position of the newest change known, by kind */
void directory_newest_changes(const Directory *directory,
                              StorePosition changed[MP_RELAY_KINDS]);
/* configuration and endpoints have been read, from whoever */
gboolean directory_is_loaded(const Directory *directory);

/* endpoints have been listed, by the store or by an instance */
gboolean directory_has_endpoints(const Directory *directory);
guint64 directory_store_calls(const Directory *directory);
/* of them, those given up for news known elsewhere */
guint64 directory_abandoned_store_calls(const Directory *directory);
/* objects of a kind that could not be read for this field: each once a
** revision, and those without a name as often as they were listed */
guint64 directory_bad_objects(const Directory *directory, StoreKind kind,
                              RecordField field);

#endif
