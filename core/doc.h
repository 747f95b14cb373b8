/*
** doc.h
** Distribution of the configuration and of the instance list
**
** Every instance gets the newest version of both documents, from the
** platform or from another instance. Reads: members. Writes: doc, config,
** keys, list. A document comes into force only when it is complete, valid
** and of a higher version than the one in force; one that is invalid is
** logged as MP_LOG_CONFIG_BAD, and the old one stays.
*/

#ifndef DOC_H
#define DOC_H

#include "state.h"

/* platform keys of the manifest and the list; the digest of a section's text
** follows the last one */
#define DOC_KEY_CONFIG "config/manifest"
#define DOC_KEY_LIST "instances"
#define DOC_KEY_SECTION "config/section/"

/* reads both documents from the platform at once, then polls it */
void document_init(mp_State *state);
void document_free(mp_State *state);

/*
** Instance 'from' has these versions in force: fetch from it what is newer
** than here. 'versions' holds MP_DOC_COUNT numbers.
*/
void document_on_offer(mp_State *state, mp_Addr from,
                       const uint64_t *versions);

/* handle FETCH: answer with one part of a document or section, at most
** MP_CHUNK_SIZE bytes; its 'total' is 0 when this instance doesn't have it */
void document_on_fetch(mp_State *state, mp_Addr from, const mp_Msg *m);

#endif
