/*
** order.h
** Role orders: one holder per data centre, by a lease in the platform
** Reads: config, endpoints, holds. Writes: the lease.
*/

#ifndef ORDER_H
#define ORDER_H

#include "state.h"

void mpO_init(mp_State *M);
void mpO_free(mp_State *M);

/* draining: give the lease back */
void mpO_release(mp_State *M);

/* this core stood still for long: the lease is not trusted any more */
void mpO_paused(mp_State *M);

#endif
