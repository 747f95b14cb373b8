/*
** flow.c
** The path of one request: claim, reserve, prefill, transfer, decode
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

const mp_Policy *flow_policy(const mp_State *state) {
  return state->config->policy;
}

static Step first(const mp_State *state, const Request *r) {
  if (r->plain)
    return FLOW_STEP_PLAIN;
  return flow_policy(state)->decode_first ? FLOW_STEP_RESERVE_DECODE
                                          : FLOW_STEP_RESERVE_PREFILL;
}

static void claimed(mp_State *state, void *ud, mp_Verdict v, mp_Ran ran) {
  Request *r = ud;
  r->asking = 0;
  if (v == MP_GRANTED) {
    r->claimed = 1;
    flow_enter_step(state, r, first(state, r));
    return;
  }
  if (v == MP_UNAVAILABLE) {
    flow_refuse(state, r, MP_ERR_CLAIM, mp_error_retry(MP_ERR_CLAIM));
    return;
  }
  /* the answer is about the request of this ID that came before */
  r->ran = ran == MP_RAN_NO ? MP_RAN_UNKNOWN : ran;
  flow_refuse(state, r, MP_ERR_DUPLICATE, 0);
}

static void claim(mp_State *state, Request *r) {
  mp_Time ttl = r->deadline - state->now + MP_CLAIM_GRACE;
  r->durable = !r->repeatable;
  r->asking =
      claim_request(state, r->id, &r->token, ttl, r->durable, claimed, r);
}

void flow_enter_step(mp_State *state, Request *r, Step s) {
  r->step = s;
  effect_log(state, MP_LOG_STEP, " seq=%08x step=%d", r->token.seq, (int)s);
  switch (s) {
  case FLOW_STEP_CLAIM:
    claim(state, r);
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

void flow_begin(mp_State *state, Request *r) {
  timer_arm(&state->timers, &r->limit, r->deadline, flow_on_deadline, r);
  flow_enter_step(state, r, r->keyed ? FLOW_STEP_CLAIM : first(state, r));
}

/* }================================================================== */
