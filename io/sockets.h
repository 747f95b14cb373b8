/*
** sockets.h
** Socket addresses, and outgoing TCP connections as bufferevents
*/

#ifndef IO_SOCKETS_H
#define IO_SOCKETS_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <netinet/in.h>

#include "madderpier.h"

/* an address as socket calls take it */
struct sockaddr_in socket_address(mp_Addr address);

/* begin to connect; FALSE: that failed at once. Otherwise an event tells */
gboolean socket_connect(struct bufferevent *events, mp_Addr address);

/* a connection that stands: no delay for small writes, and it ends when the
** peer's kernel has not taken data for so long, milliseconds (a cut path says
** nothing) */
void socket_set_options(struct bufferevent *events, int unacked_ms);

#endif
