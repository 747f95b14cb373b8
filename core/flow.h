/*
** flow.h
** The path of one request from admission to its end
**
** A request of an engine service claims its ID (when the caller gave one),
** reserves a decode slot and prefill time (in the order that the policy
** 'decode_first' sets), runs the prefill, moves the KV result to the decode
** engine and passes the decode stream to the caller. A request of a plain
** service goes to one endpoint. The module reads the configuration and the
** endpoint table and is the only writer of the request table. Functions
** that only its own files share are declared in step.h.
**
** A function marked "frees" has freed the request when it returns; one
** marked "may free" perhaps has. The caller must not use the request after
** either.
*/

#ifndef FLOW_H
#define FLOW_H

#include "state.h"

/*
** Starts an admitted request: arms its deadline timer and enters its first
** step. admit.c calls it. May free.
*/
void flow_begin(mp_State *state, Request *r);

/*
** Handles the verdict on the reservation of attempt 'a'. The verdict comes
** from the endpoint's keeper, the instance that grants its reservations, or
** from holder.c when no keeper answered. 'wait_ms' is the estimated wait in
** milliseconds; it counts with MP_DENIED only. holder.c calls this function,
** and slots.c when a queued reservation was not granted in time. May free.
*/
void flow_on_reservation(mp_State *state, Request *r, Attempt *a, mp_Verdict v,
                         uint32_t wait_ms);

/* Ends a request whose caller closed its connection, with no reply. Frees. */
void flow_hangup(mp_State *state, Request *r);

/*
** Ends the request at once with error 'e'. The reply carries what is known
** of whether the request ran ('r->ran') and 'retry_s', the seconds after
** which the caller may send it again; 0 names no time. Frees.
*/
void flow_refuse(mp_State *state, Request *r, mp_Error e, int retry_s);

#endif
