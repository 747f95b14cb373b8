/*
** work.c
** Work at endpoints: the prefill, and the transfer of its KV result
**
** Invariant: 'ran', what is known of whether the request ran, leaves MP_RAN_NO
** right before a call is sent, and goes back to what it was only when the
** endpoint certainly did not run the work.
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
** Dispatch, failure and prefill
** ===================================================================
*/

/* Records that work is about to be sent: from here on it may have run. */
void flow_mark_dispatched(Request *r, Attempt *a) {
  r->ran_before_dispatch = r->ran;
  if (r->ran == MP_RAN_NO)
    r->ran = MP_RAN_UNKNOWN;
  a->sent = 1;
}

/*
** Fills in what the calls of an attempt have in common, whatever 'op' is. A
** smaller 'priority' goes first at the engine: the class's time to the first
** token in milliseconds over its weight.
*/
mp_EndpointCall flow_make_endpoint_call(const Request *r, const Attempt *a,
                                        mp_EndpointOp op) {
  mp_EndpointCall x = {0};
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

/* Takes flow_mark_dispatched back: the endpoint certainly did not run the
 * work. */
void flow_mark_not_run(Request *r) {
  r->ran = r->ran_before_dispatch;
}

/*
** Returns the reason for a failed call. MP_EPF_REJECTED counts as
** CALL_FAILURE_BROKEN here.
*/
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

/*
** Returns whether a call that failed for this reason certainly did not run the
** work.
*/
int flow_is_not_run(CallFailure w) {
  return w == CALL_FAILURE_REFUSED || w == CALL_FAILURE_CONNECT;
}

/*
** Ends an attempt that failed without an answer, and tries again at another
** endpoint where that is allowed. Work that was not run is not cancelled at
** the endpoint, except in FLOW_STEP_DECODE: there the endpoint holds the
** imported KV, which the cancel frees.
*/
void flow_attempt_failed(mp_State *state, Request *r, Attempt *a,
                         CallFailure why) {
  static const char *const why_names[] = {"refused", "connect", "broken",
                                          "silent"};
  mp_Addr endpoint = a->endpoint;
  int was_not_run = flow_is_not_run(why);
  char address[24];
  mp_addr_text(endpoint, address);
  effect_log(state, MP_LOG_FAILED, " seq=%08x endpoint=%s step=%d why=%s",
             r->token.seq, address, (int)r->step, why_names[why]);
  if (was_not_run) {
    flow_mark_not_run(r);
    a->sent = a->role == MP_ROLE_DECODE && r->step == FLOW_STEP_DECODE;
  }
  /* An endpoint that refuses is healthy, but busy. */
  if (why != CALL_FAILURE_REFUSED)
    fleet_call_failed(state, endpoint);
  flow_avoid_endpoint(r, endpoint);
  flow_end_attempt(state, r, a);
  flow_retry_step(state, r, flow_restart_step(state, r), was_not_run);
}

/* The endpoint found the request itself at fault; it was not run. */
void flow_request_rejected(mp_State *state, Request *r) {
  flow_mark_not_run(r);
  flow_refuse(state, r, MP_ERR_REJECTED, 0);
}

/*
** Checks the placement rules again right before dispatch. Returns the
** attempt's endpoint, or NULL when it left the table or the request may not
** run there any more.
*/
Endpoint *flow_check_place(mp_State *state, const Request *r,
                           const Attempt *a) {
  Endpoint *e = fleet_get(state, a->endpoint);
  if (e == NULL || !choice_is_allowed(state, r, e))
    return NULL;
  return e;
}

/*
** Like flow_check_place, for work that the endpoint has no part of yet: such
** work does not go to an endpoint that is leaving or drained.
*/
static Endpoint *gate_new_work(mp_State *state, const Request *r,
                               const Attempt *a) {
  Endpoint *e = flow_check_place(state, r, a);
  return e != NULL && !e->leaving && !e->drained ? e : NULL;
}

/*
** Ends an attempt that the check right before dispatch stopped, as after a
** change of the configuration, and tries another endpoint. The call was not
** sent, so the retry counts as one of work that was not run. This holds for a
** stopped resume too, although an earlier call of the attempt may have run.
*/
void flow_place_denied(mp_State *state, Request *r, Attempt *a) {
  flow_avoid_endpoint(r, a->endpoint);
  flow_end_attempt(state, r, a);
  flow_retry_step(state, r, flow_restart_step(state, r), 1);
}

/* Timer: the prefill's endpoint has not answered in time. */
static void on_prefill_timeout(mp_State *state, void *ud) {
  Request *r = ud;
  flow_attempt_failed(state, r, &r->prefill, CALL_FAILURE_TIMEOUT);
}

/*
** The prefill is done: keeps its KV result until it expires at the endpoint,
** gives back the prefill time not needed, and goes on. 'kv_tokens' counts the
** tokens computed, without those found in the cache.
*/
static void finish_prefill(mp_State *state, Request *r,
                           const mp_EndpointEvent *e) {
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

/* Handles what comes back from the prefill call. */
static void on_prefill_event(mp_State *state, void *ud,
                             const mp_EndpointEvent *e) {
  Request *r = ud;
  if (e->what == MP_EP_DONE) {
    finish_prefill(state, r, e);
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

/*
** Sends the prefill to the reserved endpoint. Its timeout is 4 times the
** estimated time plus MP_STREAM_TIMEOUT.
*/
void flow_start_prefill(mp_State *state, Request *r) {
  Attempt *a = &r->prefill;
  Endpoint *e = gate_new_work(state, r, a);
  mp_EndpointCall x;
  mp_Time expected;
  if (e == NULL) {
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, MP_X_PREFILL);
  flow_mark_dispatched(r, a);
  state_count(state, PREFILLS);
  a->xcall = effect_endpoint_call(state, &x, on_prefill_event, r);
  expected = (mp_Time)choice_prefill_ms(e, r->prompt_tokens) * MP_MS;
  timer_arm(&state->timers, &r->timer,
            state->now + 4 * expected + MP_STREAM_TIMEOUT, on_prefill_timeout,
            r);
}

/* }================================================================== */

/*
** {==================================================================
** Transfer
** ===================================================================
*/

/*
** The KV result expired, or the endpoint that holds it is gone: starts again
** with a new prefill. The first one ran, so only a repeatable class may.
*/
static void restart_without_kv(mp_State *state, Request *r) {
  r->kv_expires_at = 0;
  flow_retry_step(state, r, flow_restart_step(state, r), 0);
}

/*
** The engine refused the import for want of a slot: its keeper granted more
** than the engine has. The KV result is there, so the request queues for a
** slot again, at another engine first, for as long as the result lives. With
** the policy 'keep_prefill' off, or when the result or the request would
** expire during the wait, it tries again from the step that flow_restart_step
** names.
*/
static void requeue_for_decode_slot(mp_State *state, Request *r) {
  mp_Addr endpoint = r->decode.endpoint;
  mp_Time wait = retry_backoff(state, 1);
  flow_mark_not_run(r);
  r->decode.sent = 0;
  r->avoid_count = 0;
  flow_avoid_endpoint(r, endpoint);
  flow_end_attempt(state, r, &r->decode);
  if (!flow_policy(state)->keep_prefill ||
      state->now + wait >= MIN(r->kv_expires_at, r->deadline)) {
    flow_retry_step(state, r, flow_restart_step(state, r), 1);
    return;
  }
  flow_enter_step_after(state, r, FLOW_STEP_RESERVE_DECODE, wait);
}

/* Timer: the decode endpoint has not finished the import in time. */
static void on_import_timeout(mp_State *state, void *ud) {
  Request *r = ud;
  link_release(state, r);
  flow_attempt_failed(state, r, &r->decode, CALL_FAILURE_TIMEOUT);
}

/* Handles what comes back from the import call. */
static void on_import_event(mp_State *state, void *ud,
                            const mp_EndpointEvent *e) {
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
    /*
    ** The source does not know this KV, so the target holds nothing that a
    ** cancel would have to free.
    */
    a->sent = 0;
    restart_without_kv(state, r);
  } else if (e->fail == MP_EPF_REFUSED)
    requeue_for_decode_slot(state, r);
  else
    flow_attempt_failed(state, r, a, flow_call_failure(e));
}

/*
** The link is free: checks the placement rules once more, for this very move,
** then tells the target to pull the KV from the source. The timeout is 4 times
** the estimated time plus half of MP_STREAM_TIMEOUT, but at most 0.5 s after
** the KV expires (or from now, when it has expired already).
*/
static void start_import(mp_State *state, void *ud) {
  Request *r = ud;
  Attempt *a = &r->decode;
  const Endpoint *target = gate_new_work(state, r, a);
  const Endpoint *source = fleet_get(state, r->kv_source);
  const mp_Rule *rule =
      place_find_rule(state->config, r->class_name, r->account);
  mp_EndpointCall x;
  mp_Time expected;
  if (target == NULL || source == NULL ||
      !place_may_move_kv(state->config, rule, source->dc, target->dc)) {
    link_release(state, r);
    flow_place_denied(state, r, a);
    return;
  }
  x = flow_make_endpoint_call(r, a, MP_X_IMPORT);
  x.kv = r->kv;
  x.kv_from = r->kv_source;
  flow_mark_dispatched(r, a);
  a->xcall = effect_endpoint_call(state, &x, on_import_event, r);
  expected = link_transfer_time(state, source->dc, target->dc,
                                choice_kv_bytes(state, r));
  timer_arm(&state->timers, &r->timer,
            MIN(state->now + 4 * expected + MP_STREAM_TIMEOUT / 2,
                MAX(r->kv_expires_at, state->now) + MP_SEC / 2),
            on_import_timeout, r);
}

/*
** Asks for the link to the decode endpoint, unless the KV result would expire
** before its transfer ended.
*/
void flow_start_transfer(mp_State *state, Request *r) {
  const Endpoint *target = fleet_get(state, r->decode.endpoint);
  const Endpoint *source = fleet_get(state, r->kv_source);
  uint64_t bytes = choice_kv_bytes(state, r);
  if (target == NULL) {
    flow_place_denied(state, r, &r->decode);
    return;
  }
  if (source == NULL ||
      state->now + link_transfer_time(state, source->dc, target->dc, bytes) >
          r->kv_expires_at) {
    restart_without_kv(state, r);
    return;
  }
  link_request(state, source->dc, target->dc, bytes, r->kv_expires_at,
               start_import, r);
}

/* }================================================================== */
