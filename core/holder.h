/*
** holder.h
** The holder's side of reservations: asking, renewing, giving back
** Reads: requests, members. Writes: the attempts of requests.
*/

#ifndef HOLDER_H
#define HOLDER_H

#include "state.h"

/* 'a' is set up and numbered; flow.c hears through flow_on_reservation */
void holder_reserve(mp_State *state, Request *r, Attempt *a, uint32_t slack_ms,
                    uint32_t start_ms);

/* give it back; with 'kept' only the prefill's time */
void holder_release(mp_State *state, Request *r, Attempt *a, int kept);

/* handle GRANT */
void holder_on_grant(mp_State *state, mp_Addr from, const mp_Msg *m);

void holder_init(mp_State *state);

/* drop calls that wait on behalf of this request */
void holder_cancel_call(mp_State *state, Request *r);

#endif
