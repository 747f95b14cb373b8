/*
** datagram.h
** UDP between instances: one bound socket, addresses as mp_Addr
*/

#ifndef DATAGRAM_H
#define DATAGRAM_H

#include <sys/types.h>

#include "madderpier.h"

/* a bound socket that never waits; -1 and an error that names 'what' */
int datagram_open(mp_Addr address, const char *what, GError **error);

/* one that cannot be sent now is lost like any other */
void datagram_send(int fd, mp_Addr to, const char *bytes, size_t size);

/* bytes of the next datagram and its sender; negative when there is none */
ssize_t datagram_receive(int fd, char *bytes, size_t size, mp_Addr *from);

#endif
