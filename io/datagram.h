/*
** datagram.h
** UDP datagrams between instances, over IPv4 and without blocking
*/

#ifndef DATAGRAM_H
#define DATAGRAM_H

#include <sys/types.h>

#include "madderpier.h"

/*
** Returns a non-blocking socket that is bound to 'address' and that the caller
** closes; or returns -1 and sets an error, whose text begins with 'what' (the
** name of the setting).
*/
int datagram_open(mp_Addr address, const char *what, GError **error);

/*
** Sends one datagram. It is dropped when it cannot be sent at once; the
** network may drop datagrams as well.
*/
void datagram_send(int fd, mp_Addr to, const char *bytes, size_t size);

/*
** Receives the next datagram. Returns its length in bytes, truncated to
** 'size', and stores its sender in '*from'; returns a negative number when
** there is none.
*/
ssize_t datagram_receive(int fd, char *bytes, size_t size, mp_Addr *from);

#endif
