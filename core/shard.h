/*
** shard.h
** Durable claims, between claim.c and the platform
** Reads and writes: claims. Writes: the platform's "claims/DC/SHARD".
*/

#ifndef SHARD_H
#define SHARD_H

#include "state.h"

void shard_init(mp_State *state);
void shard_free(mp_State *state);

/* a CLAIM that must last; 'dc' is the home data centre of its ID */
void shard_claim(mp_State *state, mp_Addr from, const mp_Msg *m,
                 const char *dc);

/* a row is about to go: its object follows with the next write */
void shard_mark_freed(mp_State *state, const ClaimRow *r);

/* write objects from which rows were freed, and nothing else was written */
void shard_write_freed(mp_State *state);

/*
** {==================================================================
** What claim.c lends
** ===================================================================
*/

/* rows by ID */
GHashTable *claim_rows(const mp_State *state);
ClaimRow *claim_find_row(const mp_State *state, const uint64_t id[2]);
ClaimRow *claim_add_row(mp_State *state, const mp_Claim *c, mp_Ran ran);
gboolean claim_id_equal(gconstpointer a, gconstpointer b);
unsigned claim_shard_of(const uint64_t id[2]);

/* answer a CLAIM */
void claim_answer(mp_State *state, mp_Addr from, const mp_Msg *call,
                  mp_Verdict v, mp_Ran ran);

/* }================================================================== */

#endif
