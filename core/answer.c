/*
** answer.c
** The answer to the caller: decode streams and plain services
**
** Invariants: a piece of a decode stream goes to the caller only when its
** index (the number of its first token, from 0) equals the number of tokens
** that the caller already has. The end of a stream goes there only after all
** tokens of the stream.
*/

#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "route.h"
#include "step.h"

/*
** {==================================================================
** Decode streams
** ===================================================================
*/

static void on_decode_event(mp_State *state, void *ud,
                            const mp_EndpointEvent *e);
static void resume_or_fail(mp_State *state, Request *r, CallFailure why);

/*
** Timer: no new piece came for MP_STREAM_TIMEOUT since the call or the last
** piece.
*/
static void on_stall_timeout(mp_State *state, void *ud) {
  Request *r = ud;
  effect_endpoint_abort(state, r->decode.xcall);
  r->decode.xcall = 0;
  resume_or_fail(state, r, CALL_FAILURE_TIMEOUT);
}

static void arm_stall_timer(mp_State *state, Request *r) {
  timer_arm(&state->timers, &r->timer, state->now + MP_STREAM_TIMEOUT,
            on_stall_timeout, r);
}

/*
** Calls the decode endpoint after a check of the placement rules; 'op' is
** MP_X_DECODE or MP_X_RESUME.
*/
void flow_start_decode(mp_State *state, Request *r, mp_EndpointOp op) {
  Attempt *a = &r->decode;
  mp_EndpointCall x;
  if (flow_check_place(state, r, a) == NULL) {
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, op);
  flow_mark_dispatched(r, a);
  if (op == MP_X_DECODE)
    state_count(state, DECODES);
  a->xcall = effect_endpoint_call(state, &x, on_decode_event, r);
  arm_stall_timer(state, r);
}

/*
** Handles a stream that broke or stalled: resumes it once at the same
** endpoint, and otherwise fails the attempt, which may go to another one. A
** call that certainly did not run is not resumed.
*/
static void resume_or_fail(mp_State *state, Request *r, CallFailure why) {
  const Endpoint *e = fleet_get(state, r->decode.endpoint);
  int is_reachable = e != NULL && !e->down;
  timer_stop(&state->timers, &r->timer);
  if (!flow_is_not_run(why) && !r->resumed && is_reachable) {
    r->resumed = 1;
    flow_start_decode(state, r, MP_X_RESUME);
    return;
  }
  /* When the resume was refused, the first call did run. */
  flow_attempt_failed(state, r, &r->decode,
                      flow_is_not_run(why) && r->resumed ? CALL_FAILURE_BROKEN
                                                         : why);
}

/*
** Sends the head of the answer to the caller, once. 'host_head' is the host's
** own head of a plain call and NULL for a decode stream.
*/
static void send_head(mp_State *state, Request *r, int status,
                      void *host_head) {
  mp_Reply p = {0};
  if (r->head)
    return;
  r->head = 1;
  p.call = r->call;
  p.what = MP_REPLY_HEAD;
  p.status = status;
  p.head = host_head;
  mp_token_text(&r->token, 0, p.id);
  effect_caller_reply(state, &p);
}

static void send_piece(mp_State *state, Request *r,
                       const mp_EndpointEvent *e) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_CHUNK;
  p.text = e->text;
  p.len = e->len;
  effect_caller_reply(state, &p);
}

/*
** Called at the first piece of a decode stream, or at its end when it has no
** piece: the decode engine has read the KV result, so the prefill's attempt
** ends and the prefill engine may free the KV. Ending the attempt clears
** r->prefill.no; the callers test that number, so that this is called once for
** each prefill.
*/
static void on_kv_used(mp_State *state, Request *r) {
  r->ran = MP_RAN_YES;
  r->is_kv_used = 1;
  r->prefill_engine = r->prefill.endpoint;
  fleet_call_succeeded(state, r->decode.endpoint);
  flow_end_attempt(state, r, &r->prefill);
}

/*
** Handles a piece of the stream. e->index is the number of its first token,
** and e->tokens is the number of tokens in the piece.
*/
static void on_piece(mp_State *state, Request *r, const mp_EndpointEvent *e) {
  if (e->index < r->got) {
    state_count(state, STALE); /* the caller has it already */
    return;
  }
  /* A piece is missing, and nothing after it may go to the caller. */
  if (e->index > r->got) {
    effect_endpoint_abort(state, r->decode.xcall);
    r->decode.xcall = 0;
    resume_or_fail(state, r, CALL_FAILURE_BROKEN);
    return;
  }
  if (r->prefill.no != 0) /* nothing of this stream has come before */
    on_kv_used(state, r);
  send_head(state, r, 200, NULL);
  r->got += e->tokens;
  r->tries = 0;
  g_string_append_len(r->text, e->text, (gssize)e->len);
  send_piece(state, r, e);
  arm_stall_timer(state, r);
}

/* Handles what comes back from the decode endpoint. */
static void on_decode_event(mp_State *state, void *ud,
                            const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    break; /* the caller gets its head with the first piece or the end */
  case MP_EP_CHUNK:
    on_piece(state, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    /*
    ** Here e->tokens is the number of tokens of the whole answer. When it is
    ** not what the caller got, pieces are missing.
    */
    if (e->tokens != r->got) {
      resume_or_fail(state, r, CALL_FAILURE_BROKEN);
      return;
    }
    if (r->prefill.no != 0) /* it ended without a new piece */
      on_kv_used(state, r);
    send_head(state, r, 200, NULL);
    flow_complete(state, r);
    break;
  case MP_EP_FAIL:
    r->decode.xcall = 0;
    resume_or_fail(state, r, flow_call_failure(e));
    break;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Plain services
** ===================================================================
*/

/*
** Timer: the plain service did not answer in time. When a part of its answer
** has gone to the caller, no second answer may begin.
*/
static void on_plain_timeout(mp_State *state, void *ud) {
  Request *r = ud;
  if (r->head)
    flow_give_up(state, r);
  else
    flow_attempt_failed(state, r, &r->decode, CALL_FAILURE_TIMEOUT);
}

/*
** Handles a failed call to a plain service. When a part of the answer has gone
** to the caller, no second answer may begin.
*/
static void on_plain_failure(mp_State *state, Request *r,
                             const mp_EndpointEvent *e) {
  r->decode.xcall = 0;
  timer_stop(&state->timers, &r->timer);
  if (r->head)
    flow_refuse(state, r, MP_ERR_INCOMPLETE, 0);
  else if (e->fail == MP_EPF_REJECTED)
    flow_request_rejected(state, r);
  else
    flow_attempt_failed(state, r, &r->decode, flow_call_failure(e));
}

/* Handles what comes back from a plain service. */
static void on_plain_event(mp_State *state, void *ud,
                           const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    r->ran = MP_RAN_YES;
    fleet_call_succeeded(state, r->decode.endpoint);
    timer_arm(&state->timers, &r->timer, r->deadline, on_plain_timeout, r);
    send_head(state, r, e->status, e->head);
    break;
  case MP_EP_CHUNK:
    send_piece(state, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    flow_complete(state, r);
    break;
  case MP_EP_FAIL:
    on_plain_failure(state, r, e);
    break;
  }
}

/* Calls an endpoint of the plain service. Nothing is reserved there. */
void flow_start_plain(mp_State *state, Request *r) {
  Endpoint *e = choice_plain_endpoint(state, r);
  Attempt *a = &r->decode;
  mp_EndpointCall x;
  if (e == NULL) {
    flow_refuse_no_endpoint(state, r);
    return;
  }
  flow_init_attempt(r, a, e, MP_ROLE_PLAIN, 0);
  e->own_attempts++;
  a->granted = 1;
  a->granted_at = state->now;
  x = flow_make_endpoint_call(r, a, MP_X_PLAIN);
  flow_mark_dispatched(r, a);
  a->xcall = effect_endpoint_call(state, &x, on_plain_event, r);
  /*
  ** Half of the time left is kept for another endpoint where the class allows
  ** a second run.
  */
  timer_arm(&state->timers, &r->timer,
            state->now + (r->deadline - state->now) / (r->repeatable ? 2 : 1),
            on_plain_timeout, r);
}

/* }================================================================== */
