/*
** directory.h
** Keeps the router's configuration, endpoints, instances and quarantine in
** step with the store, and registers this instance there
**
** The store is the platform's database. Changes of its objects (news) are read
** from the store or from relays, the instances that watch it for others
** (following.h). At a start without the store they are read from the instances
** that the settings name (seeds). An object's position says which of two of
** its states is the newer one (router/store_position.h). Invariant: while the
** process runs, an object is never replaced by an older state of itself, nor
** the configuration by an older version. Used by gateway.c and relays.c. Times
** are in microseconds.
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
  guint32 capacity;     /* of its machine; unit: InstanceRecord.capacity */
  mp_Addr exchange;     /* its address for datagrams of other instances */
  mp_Addr control; /* its address for queries of other instances; 0: none */
  mp_Addr callers; /* its address for callers */
  mp_Addr ready;   /* its address for readiness checks; 0: none */
  mp_Addr metrics; /* its address for scrapes of metrics; 0: none */
  mp_Addr store;
  const mp_Addr *seeds; /* 'control' addresses of the instances to query at
                        ** the start while the store is not available */
  unsigned seeds_count;
  gint64 watch_wait;     /* longest time for which the store may hold back the
                         ** response to one watch */
  gint64 proof_wait_max; /* the same for watches of the configuration, if that
                         ** is less, because each watch that ends without a
                         ** change proves that the configuration is current
                         ** (router/config_proof.h); 0: no proof is needed */
} DirectoryOptions;

typedef struct DirectoryHooks {
  void *data;
  /* The router uses a new configuration from now on. 'table' is borrowed. */
  void (*configuration)(void *data, RouteTable *table);
  /* The set of instances may have changed. 'all' are the addresses (mp_Addr,
  ** InstanceRecord.exchange) of all other instances. 'near' are those of them
  ** that are in this data centre and answer queries for the store's objects;
  ** it is empty when this instance does not answer such queries itself.
  ** 'carriers' has a RelayMember for each of 'all'. The arrays are valid
  ** during the callback. */
  void (*instances)(void *data, const GArray *all, const GArray *near,
                    const GArray *carriers);
  /* The store has answered a call, with or without changes. */
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
** Makes the calls for changes that are due. To be called when another instance
** may answer from now on, or has announced changes.
*/
void directory_poll(Directory *directory);

/*
** Answers another instance's query from the copy of the objects. The caller
** clears '*out' by store_reply_clear().
*/
void directory_answer_query(const Directory *directory, const NewsQuery *query,
                            StoreReply *out);
/* Sets changed[K] to the position of the newest known change of kind K. */
void directory_newest_changes(const Directory *directory,
                              StorePosition changed[MP_RELAY_KINDS]);
/*
** Have both the configuration and the endpoints been listed, by the store or
** by another instance?
*/
gboolean directory_is_loaded(const Directory *directory);

/* Have the endpoints been listed, by the store or by another instance? */
gboolean directory_has_endpoints(const Directory *directory);
/* The number of calls to the store since the start. */
guint64 directory_store_calls(const Directory *directory);
/* The sum of following_abandoned_calls() over all kinds. */
guint64 directory_abandoned_store_calls(const Directory *directory);
/*
** The number of objects of a kind that could not be read because this field
** was missing or invalid. An object counts once for each of its revisions, but
** one without a name each time that it is listed.
*/
guint64 directory_bad_objects(const Directory *directory, StoreKind kind,
                              RecordField field);
/*
** The number of objects of a kind that have a readable name and cannot be used
** now, BAD_RECORDS_MAX at most (io/bad_records.h).
*/
guint directory_unusable_objects(const Directory *directory, StoreKind kind);

#endif
