/*
** order.h
** Role orders: moves engines between prefill and decode under pressure
**
** In each data centre one instance at a time, the holder of a lease in the
** platform's store, orders engines to change role when one role of a service
** is under lasting pressure and the other has engines to spare. Reads the
** configuration and the endpoint table; writes the lease object and one
** audit record per order to the platform. The module runs by its own timer;
** state.c calls the functions below.
*/

#ifndef ORDER_H
#define ORDER_H

#include "state.h"

/* Arms the timer that contends for the lease and gives the orders. */
void order_init(mp_State *state);
void order_free(mp_State *state);

/*
** Stops acting on the lease because this instance drains. The lease object
** is not written; the lease expires by itself.
*/
void order_drop_lease(mp_State *state);

/*
** Stops acting on the lease because this process stood still for long, so
** that the lease may have expired unnoticed. The lease object's version is
** watched anew before the lease may be taken again.
*/
void order_paused(mp_State *state);

#endif
