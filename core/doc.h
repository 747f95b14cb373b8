/*
** doc.h
** The configuration and the instance list: getting the newest, everywhere
** Reads: members. Writes: doc, config, list. A document is taken only
** whole, valid and with a higher version than the one in force.
*/

#ifndef DOC_H
#define DOC_H

#include "state.h"

/* platform keys of the documents and sections */
#define DOC_KEY_CONFIG "config/manifest"
#define DOC_KEY_LIST "instances"
#define DOC_KEY_SECTION "config/section/"

void document_init(mp_State *state);
void document_free(mp_State *state);

/* instance 'from' has these versions */
void document_on_offer(mp_State *state, mp_Addr from,
                       const uint64_t *versions);

/* handle FETCH: hand out a part of a document */
void document_on_fetch(mp_State *state, mp_Addr from, const mp_Msg *m);

#endif
