/*
** admit.h
** Admission: checks a caller's request and adds it to the request table
**
** The account must be known by its key, the model or path must belong to a
** service, the class must be open to the account, some placement rule must
** cover class and account, and the account's limit must allow the request.
** Reads the configuration; adds rows to the request table. state.c calls
** it.
*/

#ifndef ADMIT_H
#define ADMIT_H

#include "state.h"

/*
** Handles a caller's request. It is answered with an error at once when it
** is refused, or later when the account's limit has to be asked for.
** Nothing of 'c' is referred to after the return.
*/
void admit_call(mp_State *state, const mp_Call *c);

#endif
