/*
** member.h
** Membership: which instances are alive, and which is responsible for a key
**
** Failure detection and gossip follow the SWIM protocol (Das et al. 2002).
** Reads: the instance list. Writes: members; hands the endpoint loads that
** come with probes to keep_loads.c. The cost per instance is constant: one
** probe each MP_PROBE_PERIOD inside the data centre, and one to another data
** centre each MP_REMOTE_EVERY periods.
**
** A live member is alive or suspected; one that is leaving or dead is not.
** The home of a key is the live instance with the highest rendezvous hash
** for it; it keeps the state that belongs to the key.
*/

#ifndef MEMBER_H
#define MEMBER_H

#include "state.h"

/* arms the timer of the probe periods */
void member_init(mp_State *state);
void member_free(mp_State *state);

/* probe 'a', which the settings name, before an instance list is in force */
void member_probe_seed(mp_State *state, mp_Addr a, const mp_Msg *m);

/*
** This core was not run for so long that others may have called it dead:
** what it knows about the live set may be old. It distrusts that as after a
** start and announces itself to all members.
*/
void member_on_pause(mp_State *state);

/* a probe or reply came directly from 'a': it is responsive */
void member_mark_responsive(mp_State *state, mp_Addr a);
/* 'a' left a call unanswered: avoid it for one MP_PROBE_PERIOD */
void member_mark_unresponsive(mp_State *state, mp_Addr a);

/* handle PROBE and PROBE_VIA; a PROBE_VIA whose target is untrusted, or is
** this instance, is not answered */
void member_on_probe(mp_State *state, mp_Addr from, const mp_Msg *m);
void member_on_probe_via(mp_State *state, mp_Addr from, const mp_Msg *m);

/* add the members that a new instance list names */
void member_apply_list(mp_State *state);

/* this instance starts to drain: set 'draining', so that it is no home any
** more, and tell all live members at once */
void member_announce_leave(mp_State *state);

/* may messages from this address be acted on? It may when it is a member,
** this instance itself, or inside the network of the instances */
int member_is_trusted(const mp_State *state, mp_Addr a);

/*
** The home of 'key' in data centre 'dc' (hash of its name); 0 when no
** instance is live there. This instance counts unless it is draining.
*/
mp_Addr member_home(const mp_State *state, uint32_t dc, uint64_t key);

/* the home of 'key' in the previous live set of this data centre; 0: none */
mp_Addr member_previous_home(const mp_State *state, uint64_t key);

/*
** Is this instance among the 'n' of its data centre with the highest
** rendezvous hashes for 'key'? A draining instance counts itself, too.
*/
int member_is_among_first(const mp_State *state, uint64_t key, unsigned n);

/*
** The number of live instances, with this one: of this data centre, or with
** 'all' of every data centre.
*/
unsigned member_count(const mp_State *state, int all);

/*
** Did a probe or reply come directly from a member of the data centre less
** than MP_DC_TIMEOUT ago? Always true of this instance's own data centre.
*/
int member_is_dc_reachable(const mp_State *state, uint32_t dc);

/* the row of 'a', or NULL; this instance itself has none */
Member *member_get(const mp_State *state, mp_Addr a);
/* is it live, that is alive or suspected? */
int member_is_serving(const Member *m);

/*
** The number of probes that carry one update. It grows with the logarithm of
** the number of members, so that nearly every update reaches everyone.
*/
unsigned member_gossip_limit(const mp_State *state);

/* the rendezvous hash of an address for a key */
uint64_t member_hash_weight(mp_Addr a, uint64_t key);

#endif
