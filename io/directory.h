/*
** directory.h
** Keeps the router's configuration, endpoints, instances and quarantine in
** step with the store, and registers this instance there
**
** Changes of the store's objects (news) come from the store or from relays
** (following.h), and at a start without the store from the instances that the
** settings name. Invariant: within the life of the process, an object never
** goes back to an older position, nor the configuration to an older version.
** Used by gateway.c and relays.c. Times are in microseconds.
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
  const char *instance; /* name of this instance */
  const char *zone;     /* its data centre */
  guint32 capacity;     /* InstanceRecord.capacity */
  mp_Addr exchange;     /* its address for datagrams of other instances */
  mp_Addr control; /* its address for queries of other instances; 0: none */
  mp_Addr callers; /* its address for callers */
  mp_Addr store;
  const mp_Addr *seeds; /* 'control' addresses of the instances to query while
                        ** the store is not available */
  unsigned seeds_count;
  gint64 watch_wait;     /* longest wait of one watch of the store */
  gint64 proof_wait_max; /* NewsSource.proof_wait_max for the configuration */
} DirectoryOptions;

typedef struct DirectoryHooks {
  void *data;
  /* The router has taken over a new configuration, which is borrowed. */
  void (*configuration)(void *data, RouteTable *table);
  /* The set of instances may have changed. 'all' are the addresses (mp_Addr,
  ** InstanceRecord.exchange) of the other instances, and 'near' those of them
  ** in this data centre that answer news queries, if this instance does too.
  ** Both are valid during the callback. */
  void (*instances)(void *data, const GArray *all, const GArray *near);
  /* The store has answered, with or without news. */
  void (*news)(void *data);
} DirectoryHooks;

/*
** Begins to register this instance and to follow the store. 'options' and
** 'hooks' are copied; the other pointers are borrowed.
*/
Directory *directory_new(struct event_base *base, const Dialect *dialect,
                         const DirectoryOptions *options, Router *router,
                         RelayGroup *group, Log *log,
                         const DirectoryHooks *hooks);
void directory_free(Directory *directory);

/*
** Polls for news. To be called when another instance may answer from now on,
** or has news.
*/
void directory_poll(Directory *directory);

/*
** Answers another instance's query from the copy of the objects. The caller
** clears '*out' by store_reply_clear().
*/
void directory_answer_query(const Directory *directory, const NewsQuery *query,
                            StoreReply *out);
/* Stores the position of the newest known change of each StoreKind. */
void directory_newest_changes(const Directory *directory,
                              StorePosition changed[MP_RELAY_KINDS]);
/*
** Have the configuration and the endpoints been read, from the store or from
** another instance?
*/
gboolean directory_is_loaded(const Directory *directory);

/* Have the endpoints been listed, by the store or by another instance? */
gboolean directory_has_endpoints(const Directory *directory);
/* The number of calls to the store since the start. */
guint64 directory_store_calls(const Directory *directory);
/* As following_abandoned_calls(), for all kinds. */
guint64 directory_abandoned_store_calls(const Directory *directory);
/*
** The number of objects of a kind that could not be read because of this
** field. An object counts once for each revision; one without a name, each
** time that it is listed.
*/
guint64 directory_bad_objects(const Directory *directory, StoreKind kind,
                              RecordField field);

#endif
