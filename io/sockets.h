/*
** sockets.h
** Socket addresses, and TCP connections as bufferevents
*/

#ifndef IO_SOCKETS_H
#define IO_SOCKETS_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <netinet/in.h>

#include "madderpier.h"

/* Converts an IPv4 address and port to the form that socket calls take. */
struct sockaddr_in socket_address(mp_Addr address);

/*
** Begins to connect to 'address'. Returns FALSE when that fails at once;
** otherwise the event callback of the bufferevent reports the outcome.
*/
gboolean socket_connect(struct bufferevent *events, mp_Addr address);

/*
** Sets the options of an established connection: small writes are sent
** without delay (TCP_NODELAY), and the connection fails when data that was
** sent has not been acknowledged for 'unacked_ms' milliseconds
** (TCP_USER_TIMEOUT), because a broken network path reports no error.
*/
void socket_set_options(struct bufferevent *events, int unacked_ms);

/*
** Has the system probe the connection when nothing was received for a second.
** The connection fails when a probe stays unacknowledged for the time that
** socket_set_options was given, because TCP_USER_TIMEOUT bounds probes too.
*/
void socket_set_keepalive(struct bufferevent *events);

/*
** Returns TRUE if the system has sent the peer of a TCP connection data or a
** probe and has received no acknowledgement since, and none for 'ms'
** milliseconds. A peer that does not read acknowledges too.
*/
gboolean socket_is_unanswered(evutil_socket_t fd, guint32 ms);

/*
** Called with the arguments of a bufferevent's event callback: may reading the
** connection miss a reset from now on? A reset is reported once. When writing
** finds it, reading sees the end of the stream as after an orderly close, so a
** body that extends to the end of the stream must not count as whole. Only
** EPIPE says that the peer had closed before in an orderly way; the error of
** writing is not known when reading ended in the same call.
*/
gboolean socket_may_miss_reset(short what);

/*
** Called with the arguments of a bufferevent's event callback for the end of a
** connection. Returns what ended it, as logs have it: "orderly" (the peer
** closed it), "reset", "timeout" (the peer acknowledged nothing, or took no
** byte) or "error".
*/
const char *socket_end_name(short what);

/* Returns how many bytes the kernel holds that the peer of a TCP connection
** has not acknowledged; 0 when it cannot tell. */
guint64 socket_unacknowledged(evutil_socket_t fd);

/* Returns the address of the peer of a connection; 0 when it cannot tell. */
mp_Addr socket_peer(evutil_socket_t fd);

/* Returns TRUE if the kernel holds bytes that the peer of a TCP connection has
** sent and this process has not read. */
gboolean socket_has_input(evutil_socket_t fd);

/* Returns TRUE if connections wait to be accepted at a listening socket. Their
** requests may be complete in the kernel. */
gboolean socket_has_unaccepted(evutil_socket_t listener);

/* Returns TRUE if the peer of a TCP connection has closed it, or its side of
** it. Bytes that it has sent before may be unread. */
gboolean socket_is_peer_closed(evutil_socket_t fd);

#endif
