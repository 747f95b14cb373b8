/*
** step.h
** What the files of a request's path share with each other (flow.c,
** slots.c, work.c, answer.c, ending.c) and with nobody else
** A function marked "may end" may free the request: it is the last thing
** that its caller does.
*/

#ifndef STEP_H
#define STEP_H

#include "state.h"

/* how a call to an endpoint ended */
typedef enum CallFailure {
  CALL_FAILURE_REFUSED,
  CALL_FAILURE_CONNECT,
  CALL_FAILURE_BROKEN,
  CALL_FAILURE_TIMEOUT
} CallFailure;

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

/* the answer is whole; ends */
void flow_complete(mp_State *state, Request *r);

/* no way on: say what is known, and when to come back; ends */
void flow_give_up(mp_State *state, Request *r);

/* timer: the deadline passed; ends */
void flow_on_deadline(mp_State *state, void *ud);

/* end an attempt: close its call, free what it holds, give it back */
void flow_end_attempt(mp_State *state, Request *r, Attempt *a);

/* do not choose this endpoint for the step again */
void flow_avoid_endpoint(Request *r, mp_Addr a);

/* enter a step after a wait */
void flow_enter_step_after(mp_State *state, Request *r, Step s, mp_Time wait);

/* back to a step after a failure, if that is allowed; may end */
void flow_retry_step(mp_State *state, Request *r, Step s, int clean);

/* where to begin again, given what is still there */
Step flow_restart_step(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** slots.c: reservations
** ===================================================================
*/

/* number an attempt and give it its endpoint */
void flow_init_attempt(Request *r, Attempt *a, const Endpoint *e, mp_Role role,
                       uint32_t tokens);

/* no endpoint can be chosen; ends */
void flow_refuse_no_endpoint(mp_State *state, Request *r);

/* the two steps; may end */
void flow_reserve_decode(mp_State *state, Request *r);
void flow_reserve_prefill(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** work.c: work at endpoints
** ===================================================================
*/

/* the work goes out now: from here on it may have run */
void flow_mark_dispatched(Request *r, Attempt *a);

/* the call of an attempt, with all that every kind of work says */
mp_Xcall flow_make_endpoint_call(const Request *r, const Attempt *a,
                                 mp_XcallOp op);

/* the endpoint certainly did not run it */
void flow_mark_not_run(Request *r);

CallFailure flow_call_failure(const mp_EndpointEvent *e);

/* was the work certainly not run? */
int flow_is_not_run(CallFailure w);

/* the attempt is over without an answer; begin again elsewhere; may end */
void flow_attempt_failed(mp_State *state, Request *r, Attempt *a,
                         CallFailure why);

/* the endpoint found the request at fault; ends */
void flow_request_rejected(mp_State *state, Request *r);

/* the place gate at the instant of dispatch; NULL: forbidden */
Endpoint *flow_check_place(mp_State *state, const Request *r,
                           const Attempt *a);

/* a rule changed under way: nothing goes there any more; may end */
void flow_place_denied(mp_State *state, Request *r, Attempt *a);

/* the two steps; may end */
void flow_start_prefill(mp_State *state, Request *r);
void flow_start_transfer(mp_State *state, Request *r);

/* }================================================================== */

/*
** {==================================================================
** answer.c: decode and plain services
** ===================================================================
*/

/* MP_X_DECODE or MP_X_RESUME; may end */
void flow_start_decode(mp_State *state, Request *r, mp_XcallOp op);
void flow_start_plain(mp_State *state, Request *r);

/* }================================================================== */

#endif
