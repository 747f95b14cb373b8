/*
** following.h
** Follows one kind of the store's objects: keeps a copy of them up to date
**
** News are changes of the store's objects. They are read from the store or,
** where a relay watches the store for this instance, from that relay. A
** NewsSource (router/news_source.h) decides which call to make next, and to
** which of them; this module makes the calls, and hands their replies back.
** directory.c has one Following for each kind. Times are in microseconds.
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
  gint64 watch_wait;     /* longest wait of one watch of the store */
  gint64 pause;          /* wait between a reply with changes and the next
                         ** call */
  gint64 proof_wait_max; /* the same as watch_wait, if that is less, for the
                         ** configuration when its age is bounded: a watch that
                         ** ends without a change proves that it is current;
                         ** 0: its age is not bounded */
  mp_Addr store;
  const mp_Addr *seeds; /* instances to query when the store is not available
                        ** at the start; they outlive the Following */
  unsigned seeds_count;
} FollowingOptions;

typedef struct FollowingHost {
  FollowerHost objects; /* its 'data' is passed to the callbacks below too */
  /* The address at which a relay answers queries for news; 0: not known. */
  mp_Addr (*control_of)(void *data, mp_Addr relay);
  /* The store has answered a call. */
  void (*answered)(void *data);
} FollowingHost;

/*
** Makes no call before following_poll(). 'host' is copied; the other pointers
** are borrowed.
*/
Following *following_new(struct event_base *base, const Dialect *dialect,
                         const FollowingOptions *options, RelayGroup *group,
                         const FollowingHost *host, Log *log);
void following_free(Following *following);

/*
** Makes the next call if one is due. To be called when another instance may
** answer from now on, or when a relay has announced changes; following.c
** itself calls it after each reply and timeout.
*/
void following_poll(Following *following);

/* The copy of the objects, owned by 'following'. */
const Follower *following_follower(const Following *following);
/*
** The number of objects without a readable name in all replies of the store
** since the start; an object counts each time that it is listed.
*/
guint64 following_nameless_objects(const Following *following);
/*
** The number of calls to the store that were abandoned, because a relay had
** announced changes that the call did not deliver in time.
*/
guint64 following_abandoned_calls(const Following *following);
/* The number of calls to the store; calls to instances are not counted. */
guint64 following_store_calls(const Following *following);

#endif
