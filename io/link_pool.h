/*
** link_pool.h
** Connections by endpoint: how many there are, and which of them rest
** The pool owns no connection; whoever opens and closes them tells it.
*/

#ifndef LINK_POOL_H
#define LINK_POOL_H

#include <glib.h>

typedef struct LinkPool LinkPool;

typedef struct LinkPoolHooks {
  void *data;
  /* the counts at an endpoint have changed */
  void (*counted)(void *data, const char *endpoint, guint connections,
                  guint resting);
} LinkPoolHooks;

LinkPool *link_pool_new(const LinkPoolHooks *hooks);
void link_pool_free(LinkPool *pool);

/* a connection to the endpoint is there, in use; or it is gone, from use or
** from rest */
void link_pool_opened(LinkPool *pool, const char *endpoint);
void link_pool_closed(LinkPool *pool, const char *endpoint, gpointer link);

/* a connection rests until it is taken */
void link_pool_put_idle(LinkPool *pool, const char *endpoint, gpointer link);
/* the one that rested last, for use; NULL: none rests */
gpointer link_pool_take_idle(LinkPool *pool, const char *endpoint);
/* the one that rests longest, which stays; NULL: none rests */
gpointer link_pool_longest_idle(const LinkPool *pool, const char *endpoint);

/* resting connections, over all endpoints */
guint link_pool_idle_count(const LinkPool *pool);
/* ids of the endpoints at which some rest; free the array, not the ids */
GPtrArray *link_pool_idle_endpoints(const LinkPool *pool);

#endif
