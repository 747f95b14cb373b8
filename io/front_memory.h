/*
** front_memory.h
** What the requests of callers hold: takes their bodies in as memory allows,
** and refuses requests for which there is none
**
** Internal to the server for callers. Without flow control, nothing is counted
** and nothing refused. Invariants: a request that is refused here has not been
** handed to the user of the server; a connection is not closed at once, so the
** functions leave valid connections.
*/

#ifndef FRONT_MEMORY_H
#define FRONT_MEMORY_H

#include "io/front_connection.h"

/* Begins to take in the body whose head has arrived, or holds it back while
** there is no memory. */
void connection_begin_body(Connection *connection);
/* Counts bytes that were added to the body, and holds the rest back while
** there is no memory. */
void connection_count_body(Connection *connection);
/* The largest body that the head announces and that is read; 0: none, or its
** size is not known. */
guint64 connection_announced_body(const Connection *connection);
/*
** Counts what the connection holds for a request that has not been handed on.
** Refuses the request if callers hold too much and none of them gives way, or
** shuts the connection down if its caller sends on behind an open request.
** Returns FALSE then.
*/
gboolean connection_count_input(Connection *connection);
/* A request has been read whole, or is given up. */
void connection_end_arrival(Connection *connection);
/* Frees what the connection holds for a request that is refused. */
void connection_drop_input(Connection *connection);
/* FlowHooks.give_way */
void connection_give_way(void *front, gpointer owner, guint64 used);
/* Reviews the bodies that are held back for want of memory. */
void front_review_bodies(Front *front, gint64 now);

#endif
