/*
** cancel.h
** Cancels attempts at endpoints, and repeats each cancel until confirmed
**
** The module owns the list of cancels that are not confirmed yet and uses
** none of the shared tables (board.h). Each cancel is sent at most
** MP_CANCEL_TRIES times; the wait after the n-th is n times
** MP_CANCEL_PERIOD. One that was never confirmed is dropped: the endpoint's
** keeper (the instance that grants its reservations) later finds the
** attempt there with no reservation and cancels it again (orphans in
** keep.c).
*/

#ifndef CANCEL_H
#define CANCEL_H

#include "state.h"

void cancel_init(mp_State *state);
void cancel_free(mp_State *state);

/*
** Starts to cancel attempt number 'attempt' of request 't' at 'endpoint';
** the endpoint ends it and frees all that it holds for it. '*t' is copied.
*/
void cancel_start(mp_State *state, mp_Addr endpoint, const mp_Token *t,
                  uint32_t attempt);

/*
** Returns how many cancels are neither confirmed nor dropped. A draining
** instance waits until there are none.
*/
unsigned cancel_pending_count(const mp_State *state);

#endif
