/*
** claim.h
** Claims on request IDs: answered once, and run at most once
** Reads: members, config. Writes: claims.
**
** An ID that the caller gives has a home: the instance that rendezvous
** picks for the ID's shard, in the data centre that rendezvous picks for
** the shard among those configured. The home grants an ID once. For a
** class that must not be repeated the grant is written to the platform
** first. A home that cannot be asked means "refused, not run".
*/

#ifndef CLAIM_H
#define CLAIM_H

#include "state.h"

typedef void (*ClaimCallback)(mp_State *state, void *ud, mp_Verdict v,
                              mp_Ran ran);

void claim_init(mp_State *state);
void claim_free(mp_State *state);

/* the ID of an account's key */
void claim_make_id(const char *account, const char *key, uint64_t id[2]);

/*
** Ask for the claim; 'fn' gets MP_GRANTED, MP_DENIED (with what is known
** of the earlier request) or MP_UNAVAILABLE. Returns a number for
** claim_cancel_request.
*/
uint64_t claim_request(mp_State *state, const uint64_t id[2],
                       const mp_Token *t, mp_Time ttl, int durable,
                       ClaimCallback fn, void *ud);
void claim_cancel_request(mp_State *state, uint64_t asking);

/* tell the home how the claimed request ended; MP_RAN_NO frees the ID */
void claim_settle(mp_State *state, const uint64_t id[2], const mp_Token *t,
                  mp_Ran ran, int durable);

/* handle CLAIM and SETTLE */
void claim_on_claim(mp_State *state, mp_Addr from, const mp_Msg *m);
void claim_on_settle(mp_State *state, mp_Addr from, const mp_Msg *m);

/* the set of instances changed: holders announce to new homes at once */
void claim_on_homes_changed(mp_State *state);

/* draining: hand the rows kept here to their new homes; 0 when done */
unsigned claim_hand_over(mp_State *state);

unsigned claim_count(const mp_State *state);

#endif
