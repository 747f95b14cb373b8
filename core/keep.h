/*
** keep.h
** The keeper of an endpoint: it grants reservations and polls the load
**
** Each endpoint has one keeper, the instance of its data centre with the
** highest rendezvous hash for the endpoint's address. The reservations
** (Hold) are soft state: holders renew them each MP_RENEW_PERIOD, so a new
** keeper knows them all after one period. While two instances both take
** themselves for the keeper they can at worst promise too much, and then the
** endpoint itself refuses.
**
** Reads: members, config. Writes: holds, and the load of endpoints.
*/

#ifndef KEEP_H
#define KEEP_H

#include "state.h"

/* arms the timer that polls the endpoints each MP_LOAD_PERIOD */
void keeper_init(mp_State *state);
void keeper_free(mp_State *state);

/*
** Handle RESERVE, RENEW and RELEASE. A RESERVE is answered MP_GRANTED,
** MP_QUEUED (a GRANT message with the verdict follows), MP_DENIED, or
** MP_WRONG_HOME when this instance is not the keeper or has no configuration.
** The other two get no answer, and count only from the holder itself.
*/
void keeper_on_reserve(mp_State *state, mp_Addr from, const mp_Msg *m);
void keeper_on_renew(mp_State *state, mp_Addr from, const mp_Msg *m);
void keeper_on_release(mp_State *state, mp_Addr from, const mp_Msg *m);

/* the endpoint's keeper; 0 when no instance of its data centre is live */
mp_Addr keeper_of_endpoint(const mp_State *state, const Endpoint *e);

/*
** Gossip of loads (keep_loads.c): add up to MP_GOSSIP_LOADS loads to a probe
** that goes to 'to', which may be NULL and has no influence; and merge a
** load that came with a probe, when it is newer than the known one.
*/
void keeper_fill_loads(mp_State *state, mp_Probe *p, const Member *to);
void keeper_merge_load(mp_State *state, const mp_LoadUpdate *n);

/* record and log whether the endpoint is down; logs only a change */
void keeper_set_down(mp_State *state, Endpoint *e, int down);

#endif
