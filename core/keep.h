/*
** keep.h
** The keeper: reservations at the endpoints of this data centre
** Reads: members, config. Writes: holds, and the load of endpoints.
**
** Each endpoint has one keeper, an instance of its data centre chosen by
** rendezvous hash. Its state is soft: holders renew what they hold, so a
** new keeper knows all after one renewal period. Two keepers at once can
** only promise too much, and then the endpoint itself refuses.
*/

#ifndef KEEP_H
#define KEEP_H

#include "state.h"

void keeper_init(mp_State *state);
void keeper_free(mp_State *state);

/* handle RESERVE, RENEW and RELEASE */
void keeper_on_reserve(mp_State *state, mp_Addr from, const mp_Msg *m);
void keeper_on_renew(mp_State *state, mp_Addr from, const mp_Msg *m);
void keeper_on_release(mp_State *state, mp_Addr from, const mp_Msg *m);

/* the endpoint's keeper, or 0 when none is in reach */
mp_Addr keeper_of_endpoint(const mp_State *state, const Endpoint *e);

/* loads that travel with probes; 'to' may be NULL */
void keeper_fill_loads(mp_State *state, mp_Probe *p, const Member *to);
void keeper_merge_load(mp_State *state, const mp_LoadNews *n);

/* the endpoint does not answer, or answers again */
void keeper_set_down(mp_State *state, Endpoint *e, int down);

#endif
