/*
** cancel.h
** Cancels of work at endpoints, repeated until confirmed
** Reads nothing, writes nothing of the blackboard. What is not confirmed
** in time is left to the endpoint's keeper (see keep.c, orphans).
*/

#ifndef CANCEL_H
#define CANCEL_H

#include "state.h"

void cancel_init(mp_State *state);
void cancel_free(mp_State *state);

/* end the attempt at the endpoint and free all that it holds there */
void cancel_start(mp_State *state, mp_Addr ep, const mp_Token *t,
                  uint32_t attempt);

/* cancels not yet confirmed */
unsigned cancel_pending_count(const mp_State *state);

#endif
