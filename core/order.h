/*
** order.h
** Role orders: moves engines between prefill and decode under pressure
**
** An order is a command to one engine to change its role. With the policy
** 'role_orders' on, one instance at a time in each data centre gives orders:
** the holder of a lease, which is an object in the store of the platform (the
** system that also holds the configuration and the instance list).
**
** An engine is ordered to another role when the pressure on the one role of
** its service has been high, and that on the other low, for
** MP_ROLE_CHANGE_DELAY,
** and the other role's pool has more engines than the configuration says that
** it must keep. The pressure is the seconds of prefill work that wait, or the
** share of decode slots in which streams run, as a mean over the role's
** engines. All services share one start of this time: any engine service that
** is not under such pressure sets it back when it is checked.
**
** Reads: the configuration, members, endpoints. Writes the lease object and
** one audit record per order to the platform. The module runs by its own
** timer; state.c calls the functions below.
*/

#ifndef ORDER_H
#define ORDER_H

#include "state.h"

/* Arms the timer that takes or renews the lease and gives the orders. */
void order_init(mp_State *state);
void order_free(mp_State *state);

/*
** Stops giving orders because this instance drains. The lease object is
** not written; the lease expires by itself.
*/
void order_drop_lease(mp_State *state);

/*
** Stops giving orders until the lease is taken again, because this process
** stood still for long and the lease may have expired unnoticed. Before this
** instance may take the lease again, it must see the lease object's version
** unchanged for more than MP_ORDER_LEASE, counted from the next read, or see
** that there is no such object.
*/
void order_paused(mp_State *state);

#endif
