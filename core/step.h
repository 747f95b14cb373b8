/*
** step.h
** What the files of a request's path (flow.c, slots.c, work.c, answer.c,
** ending.c) share with each other and with no other file
**
** A function marked "may end" may free the request, and one marked "ends"
** frees it: the caller must not touch the request after such a call.
*/

#ifndef STEP_H
#define STEP_H

#include "state.h"

/* how a call to an endpoint failed; also an index into words for the log */
typedef enum CallFailure {
  CALL_FAILURE_REFUSED, /* refused before the work ran: certainly not run */
  CALL_FAILURE_CONNECT, /* no connection: certainly not run */
  CALL_FAILURE_BROKEN,  /* connection lost or answer invalid: may have run */
  CALL_FAILURE_TIMEOUT  /* no answer in time: may have run */
} CallFailure;

/* the policy of the configuration in force; there must be one */
const mp_Policy *flow_policy(const mp_State *state);

/*
** {==================================================================
** flow.c: the path
** ===================================================================
*/

/* go to a step; may end */
void flow_enter_step(mp_State *state, Request *r, Step s);

/* }================================================================== */

/*
** {==================================================================
** ending.c: ending, and trying again
** ===================================================================
*/

/* the answer is complete: tell the caller; ends */
void flow_complete(mp_State *state, Request *r);

/*
** There is no way to go on: refuse with the error that fits what is known
** about the run, and with the time after which to come back; ends.
*/
void flow_give_up(mp_State *state, Request *r);

/* timer function of Request.deadline_timer: the deadline passed; ends */
void flow_on_deadline(mp_State *state, void *ud);

/*
** End an attempt: abort its call, cancel what it may hold at the endpoint
** and release its reservation. '*a' is all zero afterwards.
*/
void flow_end_attempt(mp_State *state, Request *r, Attempt *a);

/* do not choose this endpoint for the step again */
void flow_avoid_endpoint(Request *r, mp_Addr a);

/* enter step 's' after 'wait' */
void flow_enter_step_after(mp_State *state, Request *r, Step s, mp_Time wait);

/*
** Enter 's' again after a failure, if the class, the number of tries, the
** deadline and the retry budget allow that; else give up. 'clean': the
** failed work was certainly not run. May end.
*/
void flow_retry_step(mp_State *state, Request *r, Step s, int clean);

/* the step from which to start again, given the results that still exist */
Step flow_restart_step(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** slots.c: reservations
** ===================================================================
*/

/* give an unused attempt the next number and its endpoint */
void flow_init_attempt(Request *r, Attempt *a, const Endpoint *e, mp_Role role,
                       uint32_t tokens);

/* no endpoint can be chosen: refuse or give up; ends */
void flow_refuse_no_endpoint(mp_State *state, Request *r);

/* FLOW_STEP_RESERVE_DECODE and FLOW_STEP_RESERVE_PREFILL; may end */
void flow_reserve_decode(mp_State *state, Request *r);
void flow_reserve_prefill(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** work.c: work at endpoints
** ===================================================================
*/

/* record that the work is sent now: from here on it may have run */
void flow_mark_dispatched(Request *r, Attempt *a);

/* the call of an attempt, with the fields that every kind of work fills */
mp_EndpointCall flow_make_endpoint_call(const Request *r, const Attempt *a,
                                        mp_EndpointOp op);

/* record that the endpoint certainly did not run the newest dispatch */
void flow_mark_not_run(Request *r);

/* the kind of failure that an event MP_EP_FAIL reports */
CallFailure flow_call_failure(const mp_EndpointEvent *e);

/* after this failure, is it certain that the work was not run? */
int flow_is_not_run(CallFailure w);

/* the attempt failed without an answer: try again elsewhere; may end */
void flow_attempt_failed(mp_State *state, Request *r, Attempt *a,
                         CallFailure why);

/* the endpoint found the request itself invalid; ends */
void flow_request_rejected(mp_State *state, Request *r);

/*
** The placement rules (place.h), checked again at the instant of dispatch.
** Returns the attempt's endpoint, or NULL when it is gone or the request may
** not run there.
*/
Endpoint *flow_check_place(mp_State *state, const Request *r,
                           const Attempt *a);

/* a placement rule changed after the choice: go elsewhere; may end */
void flow_place_denied(mp_State *state, Request *r, Attempt *a);

/* FLOW_STEP_PREFILL and FLOW_STEP_TRANSFER; may end */
void flow_start_prefill(mp_State *state, Request *r);
void flow_start_transfer(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** answer.c: decode and plain services
** ===================================================================
*/

/* FLOW_STEP_DECODE; 'op' is MP_X_DECODE or MP_X_RESUME; may end */
void flow_start_decode(mp_State *state, Request *r, mp_EndpointOp op);
/* FLOW_STEP_PLAIN; may end */
void flow_start_plain(mp_State *state, Request *r);

/* }================================================================== */

#endif
