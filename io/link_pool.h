/*
** link_pool.h
** The number of connections to each endpoint, and which of them are idle
**
** The pool does not own connections: endpoint_links.c does, and reports each
** one that it opens, closes or ceases to use. A 'link' is the pointer by which
** endpoint_links.c identifies a connection. An endpoint is named by its id.
*/

#ifndef LINK_POOL_H
#define LINK_POOL_H

#include <glib.h>

typedef struct LinkPool LinkPool;

typedef struct LinkPoolHooks {
  void *data;
  /* The numbers of an endpoint's connections have changed: 'connections' in
  ** all, 'idle' of them idle. */
  void (*counted)(void *data, const char *endpoint, guint connections,
                  guint idle);
} LinkPoolHooks;

LinkPool *link_pool_new(const LinkPoolHooks *hooks);
void link_pool_free(LinkPool *pool);

/* Adds a connection to the endpoint. It is in use. */
void link_pool_opened(LinkPool *pool, const char *endpoint);
/* Removes a connection, in use or idle. */
void link_pool_closed(LinkPool *pool, const char *endpoint, gpointer link);

/* Makes a connection in use idle, until it is taken. */
void link_pool_put_idle(LinkPool *pool, const char *endpoint, gpointer link);
/*
** Returns the connection that became idle last, which is in use from then on;
** NULL when none is idle.
*/
gpointer link_pool_take_idle(LinkPool *pool, const char *endpoint);
/*
** Returns the connection that has been idle longest, which stays idle; NULL
** when none is idle.
*/
gpointer link_pool_longest_idle(const LinkPool *pool, const char *endpoint);

/* The number of idle connections to all endpoints. */
guint link_pool_idle_count(const LinkPool *pool);
/*
** The ids of the endpoints that have idle connections. The caller frees the
** array, but not the ids, which are valid while such an endpoint has any
** connection.
*/
GPtrArray *link_pool_idle_endpoints(const LinkPool *pool);

#endif
