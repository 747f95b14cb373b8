/*
** shard.h
** Durable claims: the platform's object of each shard (see claim.h)
**
** A durable claim is one that is written to the platform, the system that also
** stores the configuration, before it is granted. The platform has one object
** for each shard and home data centre.
**
** Reads and writes: claims. Writes the platform's objects
** "claims/DC/SHARD".
*/

#ifndef SHARD_H
#define SHARD_H

#include "state.h"

void shard_init(mp_State *state);
void shard_free(mp_State *state);

/*
** Handle a CLAIM that must be durable; 'dc' is the home data centre of its
** ID. It is answered when the platform has written it, or with MP_DENIED when
** the object gives the ID to another request, or with MP_UNAVAILABLE when the
** platform can't be asked, the object is malformed, or claims of another data
** centre are still open in the shard.
*/
void shard_claim(mp_State *state, mp_Addr from, const mp_Msg *m,
                 const char *dc);

/* row 'r' is about to be freed: the next write of its object leaves it out */
void shard_mark_freed(mp_State *state, const ClaimRow *r);

/* write the objects from which rows were freed and that no claim is about to
** write */
void shard_write_freed(mp_State *state);

/*
** {==================================================================
** Functions of claim.c that only shard.c shares
** ===================================================================
*/

/* the rows kept here as home: id -> ClaimRow, owned by the table */
GHashTable *claim_rows(const mp_State *state);
/* the row of an ID, or NULL */
ClaimRow *claim_find_row(const mp_State *state, const uint64_t id[2]);
/* add a row, in place of one with the same ID; it is not durable yet */
ClaimRow *claim_add_row(mp_State *state, const mp_Claim *c, mp_Ran ran);
/* a GEqualFunc for IDs */
gboolean claim_id_equal(gconstpointer a, gconstpointer b);
unsigned claim_shard_of(const uint64_t id[2]);

/* answer a CLAIM */
void claim_answer(mp_State *state, mp_Addr from, const mp_Msg *call,
                  mp_Verdict v, mp_Ran ran);

/* }================================================================== */

#endif
