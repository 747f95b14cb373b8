/*
** answer.c
** The answer: decode streams, and plain services
**
** A piece passes only when its number is the one the caller has next; an
** end only when all were passed.
*/

#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "route.h"
#include "step.h"

/*
** {==================================================================
** Decode and answer
** ===================================================================
*/

static void ondecode(mp_State *state, void *ud, const mp_EndpointEvent *e);
static void broke(mp_State *state, Request *r, CallFailure why);

static void stalled(mp_State *state, void *ud) {
  Request *r = ud;
  effect_endpoint_abort(state, r->decode.xcall);
  r->decode.xcall = 0;
  broke(state, r, CALL_FAILURE_TIMEOUT);
}

static void watch(mp_State *state, Request *r) {
  timer_arm(&state->timers, &r->timer, state->now + MP_STALL_TIME, stalled, r);
}

void flow_start_decode(mp_State *state, Request *r, mp_XcallOp op) {
  Attempt *a = &r->decode;
  mp_Xcall x;
  if (flow_check_place(state, r, a) == NULL) {
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, op);
  flow_mark_dispatched(r, a);
  if (op == MP_X_DECODE)
    state_count(state, DECODES);
  a->xcall = effect_endpoint_call(state, &x, ondecode, r);
  watch(state, r);
}

/* the stream broke: resume it once where it is, then go elsewhere */
static void broke(mp_State *state, Request *r, CallFailure why) {
  const Endpoint *e = fleet_get(state, r->decode.endpoint);
  int there = e != NULL && !e->down;
  timer_stop(&state->timers, &r->timer);
  if (!flow_is_not_run(why) && !r->resumed && there) {
    r->resumed = 1;
    flow_start_decode(state, r, MP_X_RESUME);
    return;
  }
  /* after a resume that was refused, the first call still ran */
  flow_attempt_failed(state, r, &r->decode,
                      flow_is_not_run(why) && r->resumed ? CALL_FAILURE_BROKEN
                                                         : why);
}

static void head(mp_State *state, Request *r, int status, void *h) {
  mp_Reply p = {0};
  if (r->head)
    return;
  r->head = 1;
  p.call = r->call;
  p.what = MP_REPLY_HEAD;
  p.status = status;
  p.head = h;
  mp_token_text(&r->token, 0, p.id);
  effect_caller_reply(state, &p);
}

static void pass(mp_State *state, Request *r, const mp_EndpointEvent *e) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_PIECE;
  p.text = e->text;
  p.len = e->len;
  effect_caller_reply(state, &p);
}

/* the first token is there: the prefill's copy has done its work */
static void firsttoken(mp_State *state, Request *r) {
  r->ran = MP_RAN_YES;
  r->is_kv_used = 1;
  r->prefill_engine = r->prefill.endpoint;
  fleet_call_succeeded(state, r->decode.endpoint);
  flow_end_attempt(state, r, &r->prefill);
}

static void piece(mp_State *state, Request *r, const mp_EndpointEvent *e) {
  if (e->index < r->got) {
    state_count(state, STALE); /* the caller has it already */
    return;
  }
  if (e->index > r->got) {
    effect_endpoint_abort(state, r->decode.xcall);
    r->decode.xcall = 0;
    broke(state, r,
          CALL_FAILURE_BROKEN); /* a gap: nothing behind it may pass */
    return;
  }
  if (r->prefill.no != 0)
    firsttoken(state, r);
  head(state, r, 200, NULL);
  r->got += e->tokens;
  r->tries = 0;
  g_string_append_len(r->text, e->text, (gssize)e->len);
  pass(state, r, e);
  watch(state, r);
}

static void ondecode(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    break;
  case MP_EP_PIECE:
    piece(state, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    if (e->tokens != r->got) {
      broke(state, r, CALL_FAILURE_BROKEN); /* the end without the whole */
      return;
    }
    if (r->prefill.no != 0)
      firsttoken(state, r);
    head(state, r, 200, NULL);
    flow_complete(state, r);
    break;
  case MP_EP_FAIL:
    r->decode.xcall = 0;
    broke(state, r, flow_call_failure(e));
    break;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Plain services
** ===================================================================
*/

static void plainlate(mp_State *state, void *ud) {
  Request *r = ud;
  if (r->head)
    flow_give_up(state, r); /* a part of the answer is out: no second one */
  else
    flow_attempt_failed(state, r, &r->decode, CALL_FAILURE_TIMEOUT);
}

static void plainfail(mp_State *state, Request *r, const mp_EndpointEvent *e) {
  r->decode.xcall = 0;
  timer_stop(&state->timers, &r->timer);
  if (r->head)
    flow_refuse(state, r, MP_ERR_INCOMPLETE, 0);
  else if (e->fail == MP_EPF_REJECTED)
    flow_request_rejected(state, r);
  else
    flow_attempt_failed(state, r, &r->decode, flow_call_failure(e));
}

static void onplain(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    r->ran = MP_RAN_YES;
    fleet_call_succeeded(state, r->decode.endpoint);
    timer_arm(&state->timers, &r->timer, r->deadline, plainlate, r);
    head(state, r, e->status, e->head);
    break;
  case MP_EP_PIECE:
    pass(state, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    flow_complete(state, r);
    break;
  case MP_EP_FAIL:
    plainfail(state, r, e);
    break;
  }
}

void flow_start_plain(mp_State *state, Request *r) {
  Endpoint *e = choice_plain_endpoint(state, r);
  Attempt *a = &r->decode;
  mp_Xcall x;
  if (e == NULL) {
    flow_refuse_no_endpoint(state, r);
    return;
  }
  flow_init_attempt(r, a, e, MP_ROLE_PLAIN, 0);
  e->mine++;
  a->granted = 1;
  a->begun = state->now;
  x = flow_make_endpoint_call(r, a, MP_X_PLAIN);
  flow_mark_dispatched(r, a);
  a->xcall = effect_endpoint_call(state, &x, onplain, r);
  /* time to fail over is left where the class allows it */
  timer_arm(&state->timers, &r->timer,
            state->now + (r->deadline - state->now) / (r->repeatable ? 2 : 1),
            plainlate, r);
}

/* }================================================================== */
