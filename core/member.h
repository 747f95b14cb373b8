/*
** member.h
** Which instances are alive (after the SWIM protocol, Das et al. 2002)
** Reads: the instance list. Writes: members; merges endpoint loads that
** come along with probes. Cost per instance is constant: one probe a
** period inside the data centre, one to another data centre.
*/

#ifndef MEMBER_H
#define MEMBER_H

#include "state.h"

void member_init(mp_State *state);
void member_free(mp_State *state);

/* ask an instance that the settings name, before a list is there */
void member_probe_seed(mp_State *state, mp_Addr a, const mp_Msg *m);

/* this core stood still for long: what it knows of others may be old */
void member_on_pause(mp_State *state);

/* an answer or call came straight from 'a': it is alive */
void member_mark_responsive(mp_State *state, mp_Addr a);
/* 'a' did not answer a call: leave it alone for a while */
void member_mark_unresponsive(mp_State *state, mp_Addr a);

/* handle PROBE and PROBE_VIA */
void member_on_probe(mp_State *state, mp_Addr from, const mp_Msg *m);
void member_on_probe_via(mp_State *state, mp_Addr from, const mp_Msg *m);

/* take over the entries of a new instance list */
void member_apply_list(mp_State *state);

/* this instance is leaving: say so at once */
void member_announce_leave(mp_State *state);

/* does the address belong to the set of instances? */
int member_is_trusted(const mp_State *state, mp_Addr a);

/*
** The instance of data centre 'dc' that answers for 'key', by rendezvous
** hash over the live ones; 0 when none is in reach.
*/
mp_Addr member_home(const mp_State *state, uint32_t dc, uint64_t key);

/* the same over the set that was there before the last change; own centre */
mp_Addr member_previous_home(const mp_State *state, uint64_t key);

/* is this instance among the 'n' first for 'key' in its data centre? */
int member_is_among_first(const mp_State *state, uint64_t key, unsigned n);

/* live instances here (with this one), and in all data centres */
unsigned member_count(const mp_State *state, int all);

/* was anything heard from the data centre lately? */
int member_is_dc_reachable(const mp_State *state, uint32_t dc);

Member *member_get(const mp_State *state, mp_Addr a);
/* does it take work: alive, or suspected and not dead yet? */
int member_is_serving(const Member *m);

/* news told so often has reached everyone, with near certainty */
unsigned member_gossip_limit(const mp_State *state);

/* weight of an address for a key in a rendezvous hash */
uint64_t member_hash_weight(mp_Addr a, uint64_t key);

#endif
