/*
** order.h
** Role orders: one holder per data centre, by a lease in the platform
** Reads: config, endpoints, holds. Writes: the lease.
*/

#ifndef ORDER_H
#define ORDER_H

#include "state.h"

void order_init(mp_State *state);
void order_free(mp_State *state);

/* draining: give the lease back */
void order_drop_lease(mp_State *state);

/* this core stood still for long: the lease is not trusted any more */
void order_paused(mp_State *state);

#endif
