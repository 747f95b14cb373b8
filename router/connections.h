/*
** connections.h
** Connections at plain endpoints, which take so many from all instances
** together: whose resting ones the others have to know
**
** Connections at which something is open are told with what is open. Those
** that only rest are told where, with them, an endpoint may be near what it
** takes: elsewhere they would fill the digests of many instances before many
** endpoints with rows that change nothing.
*/

#ifndef ROUTER_CONNECTIONS_H
#define ROUTER_CONNECTIONS_H

#include "router/state.h"

/* what is known of the service that was asked about last */
typedef struct ConnectionsView {
  const char *service; /* NULL: none was asked about */
  guint most;          /* at each of its endpoints; 0: any */
  double usual;        /* at each, if all instances have as many as this one */
} ConnectionsView;

/* must the others know this instance's resting connections there? */
gboolean connections_must_report(const Router *router,
                                 const Endpoint *endpoint,
                                 ConnectionsView *view);

#endif
