/*
** flow.h
** The path of one request from admission to its end
**
** A request whose caller gave an idempotency key first claims the ID that is
** made from it, so that no other request with the same key is run (claim.h).
** What follows depends on the service:
**
** - An engine service runs a language model in two stages, at separate
**   engines. The request reserves a decode slot and prefill time, in the order
**   that the policy 'decode_first' sets. A prefill engine computes the
**   attention keys and values of the prompt (the KV result); they are moved
**   to the decode engine, which streams the answer, and the stream is passed
**   to the caller.
** - A plain service is any other HTTP service. The request goes to one of its
**   endpoints, with no reservation.
**
** In both, work that fails may be tried again, also at another endpoint
** (flow_retry_step). The module is the writer of the request table, apart
** from admit.c, which adds the rows, and holder.c, which writes their
** attempts and keeper_rpc. It reads the configuration and the endpoint table;
** in the latter it counts own_attempts up for a plain service. Functions that
** only its own files share are declared in step.h.
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
** from holder.c when no keeper answered. 'wait_ms' counts with MP_DENIED
** only: it is the wait in milliseconds that the keeper estimated. holder.c
** calls this function. So does slots.c, with MP_DENIED, when a queued
** reservation was not granted in time; 'wait_ms' is then the time left until
** the work must start. May free.
*/
void flow_on_reservation(mp_State *state, Request *r, Attempt *a, mp_Verdict v,
                         uint32_t wait_ms);

/* Ends a request whose caller closed its connection, with no reply. Frees. */
void flow_hangup(mp_State *state, Request *r);

/*
** Ends the request at once with error 'e', also when a part of its answer has
** gone to the caller. The error carries what is known of whether the request
** ran ('r->ran'). It also carries 'retry_s', the seconds after which the
** caller may send the request again; with 0 it names no such time. Frees.
*/
void flow_refuse(mp_State *state, Request *r, mp_Error e, int retry_s);

#endif
