/*
** holder.h
** Reservations as their holder sees them: asking, renewing, releasing
**
** The holder is the instance whose request needs the endpoint. The endpoint's
** keeper (keep.h) is the one instance that grants reservations there. Reads:
** requests, members, endpoints. Writes: the attempts and keeper_rpc of
** requests, and the own_attempts, reserved_since_load and load of endpoints.
*/

#ifndef HOLDER_H
#define HOLDER_H

#include "state.h"

/*
** Ask the keeper for the reservation of 'a', an attempt that has its number
** and endpoint. 'slack_ms' is the time in milliseconds that is left until the
** work must start. 'start_ms' is the time in milliseconds until the slot is
** needed, and counts for decode only. The verdict comes through
** flow_on_reservation. MP_WRONG_HOME there means that no keeper gave one:
** none is known, or it does not answer, or the instance asked is not the
** keeper or has no configuration. When no keeper can be asked, the verdict
** comes before this function returns, so the request may be gone after this
** call.
*/
void holder_reserve(mp_State *state, Request *r, Attempt *a, uint32_t slack_ms,
                    uint32_t start_ms);

/*
** Release the reservation. With 'keep_kv', for a prefill that is done, only
** the engine's time is given back: the memory of the KV result stays reserved,
** and the attempt goes on.
*/
void holder_release(mp_State *state, Request *r, Attempt *a, int keep_kv);

/* handle a GRANT message: a keeper's later verdict on a queued reservation,
** which is a grant or a denial. The answer tells the keeper whether the
** attempt still exists */
void holder_on_grant(mp_State *state, mp_Addr from, const mp_Msg *m);

/* starts the timer that renews reservations */
void holder_init(mp_State *state);

/* cancel the request's open call to a keeper, if there is one */
void holder_cancel_call(mp_State *state, Request *r);

#endif
