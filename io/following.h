/*
** following.h
** Follows one kind of the store's objects: carries the calls that a
** NewsSource asks for (router/news_source.h)
*/

#ifndef FOLLOWING_H
#define FOLLOWING_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"
#include "router/news_source.h"

typedef struct Following Following;

typedef struct FollowingOptions {
  StoreKind kind;
  gint64 watch_wait;     /* longest wait of one watch */
  gint64 pause;          /* after news */
  gint64 proof_wait_max; /* as in NewsSource */
  mp_Addr store;
  const mp_Addr *seeds; /* asked when the store is away at a start; they
                        ** outlive the Following */
  unsigned seeds_count;
} FollowingOptions;

typedef struct FollowingHost {
  FollowerHost objects;
  /* the address where a relay answers news; 0: not known */
  mp_Addr (*control_of)(void *data, mp_Addr relay);
  /* the store has answered */
  void (*answered)(void *data);
} FollowingHost;

/* makes no call before following_poll */
Following *following_new(struct event_base *base, const Dialect *dialect,
                         const FollowingOptions *options, RelayGroup *group,
                         const FollowingHost *host, Log *log);
void following_free(Following *following);

/* who may be asked has changed, or a relay has news */
void following_poll(Following *following);

const Follower *following_follower(const Following *following);
/* objects without a name that can be read, in all answers of the store */
guint64 following_nameless_objects(const Following *following);
/* calls to the store that were given up for news known elsewhere */
guint64 following_abandoned_calls(const Following *following);
/* calls made to the store; those to instances are not counted */
guint64 following_store_calls(const Following *following);

#endif
