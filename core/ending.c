/*
** ending.c
** How a request ends, and how a step is tried again
**
** A function that may end the request is the last thing that its caller does:
** after it the row may have been freed.
*/

#include <string.h>

#include "cancel.h"
#include "claim.h"
#include "flow.h"
#include "fx.h"
#include "holder.h"
#include "plan.h"
#include "quota.h"
#include "retry.h"
#include "step.h"

/*
** {==================================================================
** Ending
** ===================================================================
*/

static void count_wasted_tokens(mp_State *state, uint32_t tokens) {
  state->count[MP_C_PREFILL_WASTED] += tokens;
}

/*
** Forgets the KV result; one that gave no answer counts as wasted. The engine
** frees it on the cancel of the prefill's attempt.
*/
static void drop_kv(mp_State *state, Request *r) {
  if (r->kv != NULL && !r->is_kv_used)
    count_wasted_tokens(state, r->kv_tokens);
  g_free(r->kv);
  r->kv = NULL;
  r->kv_source = 0;
}

/*
** Ends an attempt and clears it: closes its call, cancels its work at the
** endpoint where some was sent, and releases its reservation. An attempt at a
** plain service is ended by its closed connection alone. A prefill cut short
** counts as wasted.
*/
void flow_end_attempt(mp_State *state, Request *r, Attempt *a) {
  if (a->xcall != 0)
    effect_endpoint_abort(state, a->xcall);
  a->xcall = 0;
  if (a->sent && a->role != MP_ROLE_PLAIN)
    cancel_start(state, a->endpoint, &r->token, a->no);
  if (a == &r->prefill) {
    if (a->sent && r->kv == NULL && r->step == FLOW_STEP_PREFILL)
      count_wasted_tokens(state, a->tokens);
    drop_kv(state, r);
  }
  holder_release(state, r, a, 0);
  memset(a, 0, sizeof *a);
}

/*
** Drops everything that waits on behalf of the request, ends its attempts and
** frees it.
*/
static void free_request(mp_State *state, Request *r) {
  timer_stop(&state->timers, &r->timer);
  timer_stop(&state->timers, &r->deadline_timer);
  holder_cancel_call(state, r);
  link_release(state, r);
  quota_cancel_wait(state, r);
  if (r->open_claim != 0)
    claim_cancel_request(state, r->open_claim);
  flow_end_attempt(state, r, &r->prefill);
  flow_end_attempt(state, r, &r->decode);
  g_string_free(r->text, TRUE);
  state_table_remove(state->request_by_call, r->call);
  state_table_remove(state->request_by_seq, r->token.seq);
  g_ptr_array_remove_fast(state->requests, r); /* frees the row */
}

/*
** Tells the home of the request's ID (claim.h) how the request ended, if it
** claimed the ID or is asking for it.
*/
static void settle_claim(mp_State *state, Request *r, mp_Ran ran) {
  if (r->claimed || r->open_claim != 0)
    claim_settle(state, r->id, &r->token, ran, r->durable);
}

/*
** Logs the request's last event. 'kind' is how it ended; 'ms' counts from its
** arrival.
*/
static void log_end(mp_State *state, const Request *r, mp_EventNo no,
                    const char *kind) {
  char id[64];
  mp_token_text(&r->token, 0, id);
  effect_log(state, no,
             " request=%s class=%s account=%s kind=%s ran=%s tokens=%u ms=%d",
             id, r->class_name, r->account, kind, mp_ran_name(r->ran), r->got,
             (int)((state->now - r->arrived) / MP_MS));
}

/*
** An error counts as a refusal when the work was not run, and otherwise as a
** failure. A duplicate is always a refusal: its 'ran' tells of the earlier
** request.
*/
void flow_refuse(mp_State *state, Request *r, mp_Error e, int retry_s) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_ERROR;
  p.error = e;
  p.ran = r->ran;
  p.retry_s = retry_s;
  mp_token_text(&r->token, 0, p.id);
  settle_claim(state, r, r->ran);
  if (r->ran == MP_RAN_NO || e == MP_ERR_DUPLICATE) {
    state_count(state, REFUSED);
    log_end(state, r, MP_LOG_REFUSE, mp_error_name(e));
  } else {
    state_count(state, FAILED);
    log_end(state, r, MP_LOG_BROKE, mp_error_name(e));
  }
  effect_caller_reply(state, &p);
  free_request(state, r);
}

void flow_hangup(mp_State *state, Request *r) {
  state_count(state, HANGUPS);
  log_end(state, r, MP_LOG_GONE, "caller_gone");
  settle_claim(state, r, r->ran);
  free_request(state, r);
}

void flow_complete(mp_State *state, Request *r) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_END;
  p.tokens = r->got;
  p.prefill = r->prefill_engine;
  p.decode = r->decode.endpoint;
  p.ran = MP_RAN_YES;
  mp_token_text(&r->token, 0, p.id);
  r->ran = MP_RAN_YES;
  settle_claim(state, r, MP_RAN_YES);
  state_count(state, ANSWERED);
  log_end(state, r, MP_LOG_ANSWERED, "ok");
  effect_caller_reply(state, &p);
  r->decode.sent = 0; /* it ended by itself: nothing to cancel */
  free_request(state, r);
}

/*
** Ends a request for which no way is left, with an error that says whether it
** may have run and, where sending it again makes sense, after which time.
*/
void flow_give_up(mp_State *state, Request *r) {
  if (r->ran == MP_RAN_NO)
    flow_refuse(state, r, MP_ERR_PLACE_AWAY,
                mp_error_retry_after_s(MP_ERR_PLACE_AWAY));
  else if (r->repeatable)
    flow_refuse(state, r, MP_ERR_INCOMPLETE,
                mp_error_retry_after_s(MP_ERR_INCOMPLETE));
  else
    flow_refuse(state, r, MP_ERR_LOST, 0);
}

/* Timer: the request's deadline passed. */
void flow_on_deadline(mp_State *state, void *ud) {
  flow_refuse(state, ud, MP_ERR_DEADLINE,
              mp_error_retry_after_s(MP_ERR_DEADLINE));
}

/* }================================================================== */

/*
** {==================================================================
** Retries
** ===================================================================
*/

/* Endpoints beyond the first MP_STEP_ATTEMPTS_MAX are not remembered. */
void flow_avoid_endpoint(Request *r, mp_Addr a) {
  if (r->avoid_count < MP_STEP_ATTEMPTS_MAX)
    r->avoid[r->avoid_count++] = a;
}

/* Timer: the wait before a step is over. */
static void enter_next_step(mp_State *state, void *ud) {
  Request *r = ud;
  flow_enter_step(state, r, r->next);
}

/* Enters step 's' after 'wait' microseconds. */
void flow_enter_step_after(mp_State *state, Request *r, Step s, mp_Time wait) {
  r->step = FLOW_STEP_RETRY_WAIT;
  r->next = s;
  timer_arm(&state->timers, &r->timer, state->now + wait, enter_next_step, r);
}

/*
** Goes back to step 's' after a failure and a backoff. Gives up when the
** tries, the time until the deadline or the retry budget are used up. 'clean'
** says that the failed work was certainly not run, so that even a class whose
** work may not be repeated goes on.
*/
void flow_retry_step(mp_State *state, Request *r, Step s, int clean) {
  mp_Time wait;
  r->tries++;
  wait = retry_backoff(state, r->tries);
  if ((!clean && !r->repeatable) || r->tries >= MP_STEP_ATTEMPTS_MAX ||
      state->now + wait >= r->deadline || !retry_budget_try_withdraw(state)) {
    flow_give_up(state, r);
    return;
  }
  effect_log(state, MP_LOG_RETRY, " seq=%08x step=%d try=%u", r->token.seq,
             (int)s, r->tries);
  flow_enter_step_after(state, r, s, wait);
}

/*
** Returns the step to begin again from, given what is still there. A prefill
** whose result cannot be used any more is ended first, since a request has one
** prefill attempt at a time.
*/
Step flow_restart_step(mp_State *state, Request *r) {
  if (r->plain)
    return FLOW_STEP_PLAIN;
  if (r->kv != NULL && flow_policy(state)->keep_prefill &&
      state->now < r->kv_expires_at)
    return r->decode.granted ? FLOW_STEP_TRANSFER : FLOW_STEP_RESERVE_DECODE;
  flow_end_attempt(state, r, &r->prefill);
  if (!flow_policy(state)->decode_first || r->decode.granted)
    return FLOW_STEP_RESERVE_PREFILL;
  return FLOW_STEP_RESERVE_DECODE;
}

/* }================================================================== */
