/*
** work.c
** Work at engines: prefill, and the transfer of its result
**
** 'ran' leaves MP_RAN_NO at the instant of dispatch, and comes back only
** when the endpoint certainly did not run the work.
*/

#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "holder.h"
#include "place.h"
#include "plan.h"
#include "retry.h"
#include "route.h"
#include "step.h"

/*
** {==================================================================
** Work at endpoints
** ===================================================================
*/

/* the work goes out now: from here on it may have run */
void flow_mark_dispatched(Request *r, Attempt *a) {
  r->before = r->ran;
  if (r->ran == MP_RAN_NO)
    r->ran = MP_RAN_UNKNOWN;
  a->sent = 1;
}

mp_Xcall flow_make_endpoint_call(const Request *r, const Attempt *a,
                                 mp_XcallOp op) {
  mp_Xcall x = {0};
  x.op = op;
  x.endpoint = a->endpoint;
  x.token = r->token;
  x.attempt = a->no;
  x.call = r->call;
  x.from_token = r->got;
  x.partial = r->got > 0 ? r->text->str : NULL;
  x.max_tokens = r->max_tokens;
  x.priority = r->first_ms / MAX(r->weight, 1);
  return x;
}

/* the endpoint certainly did not run it */
void flow_mark_not_run(Request *r) {
  r->ran = r->before;
}

CallFailure flow_call_failure(const mp_EndpointEvent *e) {
  switch (e->fail) {
  case MP_EPF_CONNECT:
    return CALL_FAILURE_CONNECT;
  case MP_EPF_REFUSED:
    return CALL_FAILURE_REFUSED;
  default:
    return CALL_FAILURE_BROKEN;
  }
}

/* was the work certainly not run? */
int flow_is_not_run(CallFailure w) {
  return w == CALL_FAILURE_REFUSED || w == CALL_FAILURE_CONNECT;
}

/* the attempt is over without an answer; begin again elsewhere */
void flow_attempt_failed(mp_State *state, Request *r, Attempt *a,
                         CallFailure why) {
  static const char *const names[] = {"refused", "connect", "broken",
                                      "silent"};
  mp_Addr ep = a->endpoint;
  int cleanly = flow_is_not_run(why);
  char text[24];
  mp_addr_text(ep, text);
  effect_log(state, MP_LOG_FAILED, " seq=%08x endpoint=%s step=%d why=%s",
             r->token.seq, text, (int)r->step, names[why]);
  if (cleanly) {
    flow_mark_not_run(r);
    a->sent = a->role == MP_ROLE_DECODE && r->step == FLOW_STEP_DECODE;
  }
  if (why != CALL_FAILURE_REFUSED) /* one that refuses is well, but busy */
    fleet_call_failed(state, ep);
  flow_avoid_endpoint(r, ep);
  flow_end_attempt(state, r, a);
  flow_retry_step(state, r, flow_restart_step(state, r), cleanly);
}

void flow_request_rejected(mp_State *state, Request *r) {
  flow_mark_not_run(r);
  flow_refuse(state, r, MP_ERR_REJECTED, 0);
}

/* the gate, asked again at the instant of dispatch */
Endpoint *flow_check_place(mp_State *state, const Request *r,
                           const Attempt *a) {
  Endpoint *e = fleet_get(state, a->endpoint);
  if (e == NULL || !choice_is_allowed(state, r, e))
    return NULL;
  return e;
}

/* the same for work that the endpoint has nothing of yet */
static Endpoint *gatenew(mp_State *state, const Request *r, const Attempt *a) {
  Endpoint *e = flow_check_place(state, r, a);
  return e != NULL && !e->leaving && !e->drained ? e : NULL;
}

/* a rule changed under way: nothing goes there any more */
void flow_place_denied(mp_State *state, Request *r, Attempt *a) {
  flow_avoid_endpoint(r, a->endpoint);
  flow_end_attempt(state, r, a);
  flow_retry_step(state, r, flow_restart_step(state, r), 1);
}

/* an attempt that was asked nothing more: its endpoint is silent */
static void prefilllate(mp_State *state, void *ud) {
  Request *r = ud;
  flow_attempt_failed(state, r, &r->prefill, CALL_FAILURE_TIMEOUT);
}

static void prefilled(mp_State *state, Request *r, const mp_EndpointEvent *e) {
  Attempt *a = &r->prefill;
  a->xcall = 0;
  timer_stop(&state->timers, &r->timer);
  fleet_call_succeeded(state, a->endpoint);
  r->ran = MP_RAN_YES;
  r->kv = g_strndup(e->text, e->len);
  r->kv_source = a->endpoint;
  r->kv_expires_at = state->now + (mp_Time)e->life_ms * MP_MS;
  r->is_kv_used = 0;
  r->kv_tokens = a->tokens - MIN(e->cached, a->tokens);
  r->tries = 0;
  r->avoid_count = 0;
  state->count[MP_C_PREFILL_TOKENS] += r->kv_tokens;
  holder_release(state, r, a, 1);
  flow_enter_step(state, r,
                  r->decode.granted ? FLOW_STEP_TRANSFER
                                    : FLOW_STEP_RESERVE_DECODE);
}

static void onprefill(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  if (e->what == MP_EP_DONE) {
    prefilled(state, r, e);
    return;
  }
  if (e->what != MP_EP_FAIL)
    return;
  r->prefill.xcall = 0;
  timer_stop(&state->timers, &r->timer);
  if (e->fail == MP_EPF_REJECTED)
    flow_request_rejected(state, r);
  else
    flow_attempt_failed(state, r, &r->prefill, flow_call_failure(e));
}

void flow_start_prefill(mp_State *state, Request *r) {
  Attempt *a = &r->prefill;
  Endpoint *e = gatenew(state, r, a);
  mp_Xcall x;
  mp_Time expect;
  if (e == NULL) {
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, MP_X_PREFILL);
  flow_mark_dispatched(r, a);
  state_count(state, PREFILLS);
  a->xcall = effect_endpoint_call(state, &x, onprefill, r);
  expect = (mp_Time)choice_prefill_ms(e, r->prompt_tokens) * MP_MS;
  timer_arm(&state->timers, &r->timer, state->now + 4 * expect + MP_STALL_TIME,
            prefilllate, r);
}

/* }================================================================== */

/*
** {==================================================================
** Transfer
** ===================================================================
*/

/* the KV result ran out, or its engine is gone: prefill anew */
static void kvlost(mp_State *state, Request *r) {
  r->kv_expires_at = 0;
  flow_retry_step(state, r, flow_restart_step(state, r), 0);
}

/*
** The engine had no slot after all: its keeper promised too much. The
** result is there, so the request queues for a slot again, at another
** engine first, for as long as the result lives.
*/
static void noslot(mp_State *state, Request *r) {
  mp_Addr ep = r->decode.endpoint;
  mp_Time wait = retry_backoff(state, 1);
  flow_mark_not_run(r);
  r->decode.sent = 0;
  r->avoid_count = 0;
  flow_avoid_endpoint(r, ep);
  flow_end_attempt(state, r, &r->decode);
  if (!flow_policy(state)->keep_prefill ||
      state->now + wait >= MIN(r->kv_expires_at, r->deadline)) {
    flow_retry_step(state, r, flow_restart_step(state, r), 1);
    return;
  }
  flow_enter_step_after(state, r, FLOW_STEP_RESERVE_DECODE, wait);
}

static void importlate(mp_State *state, void *ud) {
  Request *r = ud;
  link_release(state, r);
  flow_attempt_failed(state, r, &r->decode, CALL_FAILURE_TIMEOUT);
}

static void onimport(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  Attempt *a = &r->decode;
  if (e->what != MP_EP_DONE && e->what != MP_EP_FAIL)
    return;
  a->xcall = 0;
  timer_stop(&state->timers, &r->timer);
  link_release(state, r);
  if (e->what == MP_EP_DONE) {
    state_count(state, TRANSFERS);
    flow_enter_step(state, r, FLOW_STEP_DECODE);
  } else if (e->fail == MP_EPF_REJECTED) {
    a->sent = 0; /* the source knows no such KV: nothing is held here */
    kvlost(state, r);
  } else if (e->fail == MP_EPF_REFUSED)
    noslot(state, r);
  else
    flow_attempt_failed(state, r, a, flow_call_failure(e));
}

/* the link is free: the gate once more, for this very move */
static void import(mp_State *state, void *ud) {
  Request *r = ud;
  Attempt *a = &r->decode;
  const Endpoint *d = gatenew(state, r, a);
  const Endpoint *p = fleet_get(state, r->kv_source);
  const mp_Rule *rule =
      place_find_rule(state->config, r->class_name, r->account);
  mp_Xcall x;
  mp_Time expect;
  if (d == NULL || p == NULL ||
      !place_may_move_kv(state->config, rule, p->dc, d->dc)) {
    link_release(state, r);
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, MP_X_IMPORT);
  x.kv = r->kv;
  x.kv_from = r->kv_source;
  flow_mark_dispatched(r, a);
  a->xcall = effect_endpoint_call(state, &x, onimport, r);
  expect = link_transfer_time(state, p->dc, d->dc, choice_kv_bytes(state, r));
  timer_arm(&state->timers, &r->timer,
            MIN(state->now + 4 * expect + MP_STALL_TIME / 2,
                MAX(r->kv_expires_at, state->now) + MP_SEC / 2),
            importlate, r);
}

void flow_start_transfer(mp_State *state, Request *r) {
  const Endpoint *d = fleet_get(state, r->decode.endpoint);
  const Endpoint *p = fleet_get(state, r->kv_source);
  uint64_t bytes = choice_kv_bytes(state, r);
  if (d == NULL) {
    flow_place_denied(state, r, &r->decode);
    return;
  }
  if (p == NULL ||
      state->now + link_transfer_time(state, p->dc, d->dc, bytes) >
          r->kv_expires_at) {
    kvlost(state, r);
    return;
  }
  link_request(state, p->dc, d->dc, bytes, r->kv_expires_at, import, r);
}

/* }================================================================== */
