/*
** admit.h
** Admission: is this caller's request known, permitted and within limits?
** Reads: config. Writes: requests (new rows).
*/

#ifndef ADMIT_H
#define ADMIT_H

#include "state.h"

/* handle a caller's request; it is answered at once when refused */
void admit_call(mp_State *state, const mp_Call *c);

#endif
