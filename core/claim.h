/*
** claim.h
** Claims on request IDs: one ID is answered once, and run at most once
**
** An ID is the hash of a client account and the idempotency key that its
** caller gave. A claim ties an ID to one request. Claims are granted by the
** ID's home, which is one instance. IDs are divided into MP_CLAIM_SHARDS
** shards. A rendezvous hash of the ID picks the home's data centre among those
** configured, and one of the shard picks the instance there. The home grants
** an ID once. For a class that must not be repeated it writes the claim to the
** platform first (a durable claim, shard.h). When the home can't be asked, the
** request is refused and not run.
**
** Reads: members, config. Writes: claims.
*/

#ifndef CLAIM_H
#define CLAIM_H

#include "state.h"

/* 'ran': with MP_DENIED, what is known of the request that has the ID */
typedef void (*ClaimCallback)(mp_State *state, void *ud, mp_Verdict v,
                              mp_Ran ran);

void claim_init(mp_State *state);
void claim_free(mp_State *state);

/* make the ID of an account and idempotency key */
void claim_make_id(const char *account, const char *key, uint64_t id[2]);

/*
** Ask the home for a claim that lasts 'ttl' (us) from when the home learns of
** it. 'fn' gets MP_GRANTED, MP_DENIED or MP_UNAVAILABLE, the last at latest
** about MP_STORE_TIMEOUT + MP_HOME_SETTLE_TIME from now. Returns a number,
** never 0, for claim_cancel_request.
*/
uint64_t claim_request(mp_State *state, const uint64_t id[2],
                       const mp_Token *t, mp_Time ttl, int durable,
                       ClaimCallback fn, void *ud);
/* forget the request: 'fn' is not called. The home may have granted it */
void claim_cancel_request(mp_State *state, uint64_t number);

/*
** Tell the home how the claimed request ended; MP_RAN_NO frees the ID. When
** the message is lost, the ID stays taken until its time is over.
*/
void claim_settle(mp_State *state, const uint64_t id[2], const mp_Token *t,
                  mp_Ran ran, int durable);

/*
** Handle CLAIM and SETTLE as home. A CLAIM is answered MP_GRANTED, MP_DENIED,
** MP_WRONG_HOME when this instance is not the home, MP_QUEUED when it became
** the home so lately that the caller has to ask again, or as shard_claim
** says. An announcement, which is a CLAIM that tells of a claim granted by an
** earlier home, is always accepted.
*/
void claim_on_claim(mp_State *state, mp_Addr from, const mp_Msg *m);
void claim_on_settle(mp_State *state, mp_Addr from, const mp_Msg *m);

/* the set of live instances changed: announce the claims held here to homes
** that are new, with the next run of the timers */
void claim_on_homes_changed(mp_State *state);

/*
** Draining: send the rows kept here to their new homes and drop them.
** Returns the number of rows sent; 0: none was left that another home takes.
*/
unsigned claim_hand_over(mp_State *state);

/* the number of rows kept here as home */
unsigned claim_count(const mp_State *state);

#endif
