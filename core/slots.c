/*
** slots.c
** The reservation steps: which endpoint a request asks for, and what follows
** from the keeper's verdict
**
** With the policy decode_first the decode slot is reserved before the
** prefill. A request whose KV result exists queues for a decode slot again
** until the result expires.
*/

#include "fleet.h"
#include "flow.h"
#include "holder.h"
#include "route.h"
#include "step.h"

/*
** {==================================================================
** Reservations
** ===================================================================
*/

void flow_init_attempt(Request *r, Attempt *a, const Endpoint *e, mp_Role role,
                       uint32_t tokens) {
  g_assert(a->no == 0);
  a->no = ++r->attempts;
  a->endpoint = e->addr;
  a->role = role;
  a->tokens = tokens;
}

/*
** Milliseconds left until the work must start to meet its target; 0 when that
** time is past. 'need': milliseconds of work still to come before the target.
** A request with a KV result may start as late as the result lives, since to
** use it late is better than to lose it. Else, under refuse_early and before
** the first token, the target is refuse_at percent of the time to the first
** token. The deadline bounds both.
*/
static uint32_t slack_ms(const mp_State *state, const Request *r,
                         uint32_t need) {
  mp_Time by = r->deadline;
  mp_Time left;
  if (r->kv != NULL)
    by = MIN(by, r->kv_expires_at);
  else if (flow_policy(state)->refuse_early && r->got == 0)
    by = MIN(by, r->arrived + (mp_Time)r->first_ms * MP_MS *
                                  flow_policy(state)->refuse_at / 100);
  left = by - state->now - (mp_Time)need * MP_MS;
  return left > 0 ? (uint32_t)(left / MP_MS) : 0;
}

/*
** Keepers denied because the estimated wait is too long: refuse as overloaded
** when nothing may have run, with a time to come back that covers the longest
** estimate, at most 30 s; else give up. Ends.
*/
static void refuse_overloaded(mp_State *state, Request *r) {
  int s = MAX(mp_error_retry_after_s(MP_ERR_OVERLOAD),
              (int)(r->wait_ms / 1000) + 1);
  if (r->ran != MP_RAN_NO)
    flow_give_up(state, r);
  else
    flow_refuse(state, r, MP_ERR_OVERLOAD, MIN(s, 30));
}

void flow_refuse_no_endpoint(mp_State *state, Request *r) {
  if (r->wait_ms > 0)
    refuse_overloaded(state, r);
  else if (r->ran == MP_RAN_NO)
    flow_refuse(state, r, MP_ERR_PLACE_AWAY,
                mp_error_retry_after_s(MP_ERR_PLACE_AWAY));
  else
    flow_give_up(state, r);
}

/* timer function: the keeper neither granted nor denied in time */
static void on_queue_timeout(mp_State *state, void *ud) {
  Request *r = ud;
  Attempt *a = r->step == FLOW_STEP_RESERVE_PREFILL ? &r->prefill : &r->decode;
  flow_on_reservation(state, r, a, MP_DENIED, slack_ms(state, r, 0));
}

void flow_reserve_decode(mp_State *state, Request *r) {
  Endpoint *e = choice_decode_endpoint(state, r);
  uint32_t need = 0;
  if (e == NULL) {
    flow_refuse_no_endpoint(state, r);
    return;
  }
  if (r->kv == NULL) {
    const Endpoint *p = choice_prefill_endpoint(state, r, e->dc);
    need = p != NULL ? choice_prefill_ms(p, r->prompt_tokens) : 0;
  }
  flow_init_attempt(r, &r->decode, e, MP_ROLE_DECODE, r->max_tokens - r->got);
  holder_reserve(state, r, &r->decode, slack_ms(state, r, need), need);
}

void flow_reserve_prefill(mp_State *state, Request *r) {
  const Endpoint *d =
      r->decode.no != 0 ? fleet_get(state, r->decode.endpoint) : NULL;
  Endpoint *e = choice_prefill_endpoint(state, r, d != NULL ? d->dc : NULL);
  uint32_t need;
  if (e == NULL) {
    flow_refuse_no_endpoint(state, r);
    return;
  }
  need = (uint32_t)((uint64_t)r->prompt_tokens * 1000 /
                    MAX(e->rate > 0 ? e->rate : MP_PREFILL_RATE_DEFAULT, 1));
  flow_init_attempt(r, &r->prefill, e, MP_ROLE_PREFILL,
                    r->prompt_tokens + r->got);
  holder_reserve(state, r, &r->prefill, slack_ms(state, r, need), 0);
}

/* go on to the step that the reservation was for; may end */
static void on_granted(mp_State *state, Request *r, Attempt *a) {
  a->granted = 1;
  a->waiting = 0;
  a->granted_at = state->now;
  r->avoid_count = 0;
  r->wait_ms = 0;
  timer_stop(&state->timers, &r->timer);
  if (a == &r->prefill)
    flow_enter_step(state, r, FLOW_STEP_PREFILL);
  else
    flow_enter_step(state, r,
                    r->kv != NULL ? FLOW_STEP_TRANSFER
                                  : FLOW_STEP_RESERVE_PREFILL);
}

void flow_on_reservation(mp_State *state, Request *r, Attempt *a, mp_Verdict v,
                         uint32_t wait_ms) {
  Step s =
      a == &r->prefill ? FLOW_STEP_RESERVE_PREFILL : FLOW_STEP_RESERVE_DECODE;
  g_assert(a->no != 0);
  if (a->granted)
    return;
  if (v == MP_GRANTED) {
    on_granted(state, r, a);
    return;
  }
  if (v == MP_QUEUED) {
    a->waiting = 1;
    timer_arm(&state->timers, &r->timer,
              state->now + (mp_Time)slack_ms(state, r, 0) * MP_MS +
                  MP_RPC_RETRY_DELAY,
              on_queue_timeout, r);
    return;
  }
  timer_stop(&state->timers, &r->timer);
  holder_cancel_call(state, r);
  flow_avoid_endpoint(r, a->endpoint);
  flow_end_attempt(state, r, a);
  if (v == MP_DENIED) {
    r->wait_ms = MAX(r->wait_ms, MAX(wait_ms, 1));
    if (r->avoid_count >= MP_STEP_ATTEMPTS_MAX)
      refuse_overloaded(state, r);
    else
      flow_enter_step(state, r, s);
    return;
  }
  flow_retry_step(state, r, s, 1); /* no keeper answered: certainly not run */
}

/* }================================================================== */
