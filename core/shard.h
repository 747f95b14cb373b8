/*
** shard.h
** Durable claims, between claim.c and the platform
** Reads and writes: claims. Writes: the platform's "claims/DC/SHARD".
*/

#ifndef SHARD_H
#define SHARD_H

#include "state.h"

void mpD_init(mp_State *M);
void mpD_free(mp_State *M);

/* a CLAIM that must last; 'dc' is the home data centre of its ID */
void mpD_claim(mp_State *M, mp_Addr from, const mp_Msg *m, const char *dc);

/* a row is about to go: its object follows with the next write */
void mpD_freed(mp_State *M, const ClaimRow *r);

/* write objects from which rows were freed, and nothing else was written */
void mpD_tidy(mp_State *M);

/*
** {==================================================================
** What claim.c lends
** ===================================================================
*/

/* rows by ID */
GHashTable *mpI_rows(const mp_State *M);
ClaimRow *mpI_getrow(const mp_State *M, const uint64_t id[2]);
ClaimRow *mpI_addrow(mp_State *M, const mp_Claim *c, mp_Ran ran);
gboolean mpI_sameid(gconstpointer a, gconstpointer b);
unsigned mpI_shardof(const uint64_t id[2]);

/* answer a CLAIM */
void mpI_answer(mp_State *M, mp_Addr from, const mp_Msg *call, mp_Verdict v,
                mp_Ran ran);

/* }================================================================== */

#endif
