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

void mpK_init(mp_State *M);
void mpK_free(mp_State *M);

/* handle RESERVE, RENEW and RELEASE */
void mpK_reserve(mp_State *M, mp_Addr from, const mp_Msg *m);
void mpK_renew(mp_State *M, mp_Addr from, const mp_Msg *m);
void mpK_release(mp_State *M, mp_Addr from, const mp_Msg *m);

/* the endpoint's keeper, or 0 when none is in reach */
mp_Addr mpK_keeper(const mp_State *M, const Endpoint *e);

/* loads that travel with probes; 'to' may be NULL */
void mpK_fillloads(mp_State *M, mp_Probe *p, const Member *to);
void mpK_learn(mp_State *M, const mp_LoadNews *n);

#endif
