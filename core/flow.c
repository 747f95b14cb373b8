/*
** flow.c
** The path of a request: its first step, the claim, the entry into each step
**
** The steps themselves are in slots.c, work.c and answer.c; how a request
** ends, or tries a step again, is in ending.c.
*/

#include "claim.h"
#include "flow.h"
#include "fx.h"
#include "step.h"

/*
** {==================================================================
** The path
** ===================================================================
*/

/* Returns the policy in force; a configuration must be there. */
const mp_Policy *flow_policy(const mp_State *state) {
  return state->config->policy;
}

/* Returns the step that comes after the claim. */
static Step first_step(const mp_State *state, const Request *r) {
  if (r->plain)
    return FLOW_STEP_PLAIN;
  return flow_policy(state)->decode_first ? FLOW_STEP_RESERVE_DECODE
                                          : FLOW_STEP_RESERVE_PREFILL;
}

/* Handles the home's answer to the claim on the request's ID. */
static void on_claim_answer(mp_State *state, void *ud, mp_Verdict v,
                            mp_Ran ran) {
  Request *r = ud;
  r->open_claim = 0;
  if (v == MP_GRANTED) {
    r->claimed = 1;
    flow_enter_step(state, r, first_step(state, r));
    return;
  }
  if (v == MP_UNAVAILABLE) {
    flow_refuse(state, r, MP_ERR_CLAIM, mp_error_retry_after_s(MP_ERR_CLAIM));
    return;
  }
  /*
  ** The ID was claimed before, and 'ran' tells of that earlier request. This
  ** caller may have sent it, so the reply never says MP_RAN_NO.
  */
  r->ran = ran == MP_RAN_NO ? MP_RAN_UNKNOWN : ran;
  flow_refuse(state, r, MP_ERR_DUPLICATE, 0);
}

/*
** Asks the home of the request's ID to claim it (claim.h), until
** MP_CLAIM_RETENTION after the deadline. The claim is durable where the work
** must not be repeated.
*/
static void request_claim(mp_State *state, Request *r) {
  mp_Time ttl = r->deadline - state->now + MP_CLAIM_RETENTION;
  r->durable = !r->repeatable;
  r->open_claim = claim_request(state, r->id, &r->token, ttl, r->durable,
                                on_claim_answer, r);
}

/*
** Makes 's' the current step and starts it. FLOW_STEP_RETRY_WAIT is not
** entered here but by flow_enter_step_after.
*/
void flow_enter_step(mp_State *state, Request *r, Step s) {
  r->step = s;
  effect_log(state, MP_LOG_STEP, " seq=%08x step=%d", r->token.seq, (int)s);
  switch (s) {
  case FLOW_STEP_CLAIM:
    request_claim(state, r);
    break;
  case FLOW_STEP_RESERVE_DECODE:
    flow_reserve_decode(state, r);
    break;
  case FLOW_STEP_RESERVE_PREFILL:
    flow_reserve_prefill(state, r);
    break;
  case FLOW_STEP_PREFILL:
    flow_start_prefill(state, r);
    break;
  case FLOW_STEP_TRANSFER:
    flow_start_transfer(state, r);
    break;
  case FLOW_STEP_DECODE:
    r->resumed = 0;
    flow_start_decode(state, r, MP_X_DECODE);
    break;
  case FLOW_STEP_PLAIN:
    flow_start_plain(state, r);
    break;
  case FLOW_STEP_RETRY_WAIT:
    g_assert_not_reached();
  }
}

/* A request whose caller gave no ID needs no claim. */
void flow_begin(mp_State *state, Request *r) {
  timer_arm(&state->timers, &r->deadline_timer, r->deadline, flow_on_deadline,
            r);
  flow_enter_step(state, r, r->keyed ? FLOW_STEP_CLAIM : first_step(state, r));
}

/* }================================================================== */
