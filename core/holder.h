/*
** holder.h
** Reservations as their holder sees them: asking, renewing, releasing
**
** The holder is the instance whose request needs the endpoint; the keeper
** (keep.h) is the one that grants. Reads: requests, members. Writes: the
** attempts of requests, and the own_attempts, reserved_since_load and load of
** endpoints.
*/

#ifndef HOLDER_H
#define HOLDER_H

#include "state.h"

/*
** Ask the keeper for the reservation of 'a', an attempt that has its number
** and endpoint. 'slack_ms': time left until the work must start; 'start_ms':
** decode: how long until the slot is needed. The verdict comes through
** flow_on_reservation, at once with MP_WRONG_HOME when no keeper can be asked,
** so the request may be gone after this call.
*/
void holder_reserve(mp_State *state, Request *r, Attempt *a, uint32_t slack_ms,
                    uint32_t start_ms);

/*
** Release the reservation. With 'kept' only the prefill's time is given
** back: its KV result stays reserved and the attempt goes on.
*/
void holder_release(mp_State *state, Request *r, Attempt *a, int kept);

/* handle GRANT: a keeper's later verdict on a queued reservation. The answer
** tells the keeper whether the attempt still exists */
void holder_on_grant(mp_State *state, mp_Addr from, const mp_Msg *m);

/* starts the timer that renews reservations */
void holder_init(mp_State *state);

/* cancel the request's open call to a keeper, if there is one */
void holder_cancel_call(mp_State *state, Request *r);

#endif
