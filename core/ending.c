/*
** ending.c
** How a request ends, and how a step is tried again
**
** A function that may end the request is the last thing its caller does:
** the row is gone after it.
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

static void waste(mp_State *M, uint32_t tokens) {
  M->count[MP_C_PREFILL_WASTED] += tokens;
}

/* forget the KV result; the engine is told by the attempt's cancel */
static void dropkv(mp_State *M, Request *r) {
  if (r->kv != NULL && !r->kv_used)
    waste(M, r->kv_tokens);
  g_free(r->kv);
  r->kv = NULL;
  r->kv_at = 0;
}

/* end an attempt: close its call, free what it holds, give it back */
void flow_endattempt(mp_State *M, Request *r, Attempt *a) {
  if (a->xcall != 0)
    effect_xabort(M, a->xcall);
  a->xcall = 0;
  if (a->sent && a->role != MP_ROLE_PLAIN)
    cancel_cancel(M, a->endpoint, &r->token, a->no);
  if (a == &r->prefill) {
    if (a->sent && r->kv == NULL && r->step == ST_PREFILL)
      waste(M, a->tokens);
    dropkv(M, r);
  }
  holder_release(M, r, a, 0);
  memset(a, 0, sizeof *a);
}

static void forget(mp_State *M, Request *r) {
  timer_stop(&M->timers, &r->timer);
  timer_stop(&M->timers, &r->limit);
  holder_forget(M, r);
  link_done(M, r);
  quota_forget(M, r);
  if (r->asking != 0)
    claim_forget(M, r->asking);
  flow_endattempt(M, r, &r->prefill);
  flow_endattempt(M, r, &r->decode);
  g_string_free(r->text, TRUE);
  state_del(M->requestby, r->call);
  state_del(M->requestseq, r->token.seq);
  g_ptr_array_remove_fast(M->requests, r); /* frees the row */
}

static void settle(mp_State *M, Request *r, mp_Ran ran) {
  if (r->claimed || r->asking != 0)
    claim_settle(M, r->id, &r->token, ran, r->durable);
}

static void logend(mp_State *M, const Request *r, mp_EventNo no,
                   const char *kind) {
  char id[64];
  mp_token_text(&r->token, 0, id);
  effect_log(M, no,
             " request=%s class=%s account=%s kind=%s ran=%s tokens=%u ms=%d",
             id, r->class_name, r->account, kind, mp_ran_name(r->ran), r->got,
             (int)((M->now - r->arrived) / MP_MS));
}

void flow_refuse(mp_State *M, Request *r, mp_Error e, int retry_s) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_ERROR;
  p.error = e;
  p.ran = r->ran;
  p.retry_s = retry_s;
  mp_token_text(&r->token, 0, p.id);
  settle(M, r, r->ran);
  if (r->ran == MP_RAN_NO || e == MP_ERR_DUPLICATE) {
    mpcount(M, REFUSED);
    logend(M, r, MP_LOG_REFUSE, mp_error_name(e));
  } else {
    mpcount(M, FAILED);
    logend(M, r, MP_LOG_BROKE, mp_error_name(e));
  }
  effect_reply(M, &p);
  forget(M, r);
}

void flow_hangup(mp_State *M, Request *r) {
  mpcount(M, HANGUPS);
  logend(M, r, MP_LOG_GONE, "caller_gone");
  settle(M, r, r->ran);
  forget(M, r);
}

void flow_complete(mp_State *M, Request *r) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_END;
  p.tokens = r->got;
  p.prefill = r->prefill_at;
  p.decode = r->decode.endpoint;
  p.ran = MP_RAN_YES;
  mp_token_text(&r->token, 0, p.id);
  r->ran = MP_RAN_YES;
  settle(M, r, MP_RAN_YES);
  mpcount(M, ANSWERED);
  logend(M, r, MP_LOG_ANSWERED, "ok");
  effect_reply(M, &p);
  r->decode.sent = 0; /* it ended by itself: nothing to cancel */
  forget(M, r);
}

/* no way on: say what is known, and when to come back */
void flow_giveup(mp_State *M, Request *r) {
  if (r->ran == MP_RAN_NO)
    flow_refuse(M, r, MP_ERR_PLACE_AWAY, mp_error_retry(MP_ERR_PLACE_AWAY));
  else if (r->repeatable)
    flow_refuse(M, r, MP_ERR_INCOMPLETE, mp_error_retry(MP_ERR_INCOMPLETE));
  else
    flow_refuse(M, r, MP_ERR_LOST, 0);
}

void flow_late(mp_State *M, void *ud) {
  flow_refuse(M, ud, MP_ERR_DEADLINE, mp_error_retry(MP_ERR_DEADLINE));
}

/* }================================================================== */

/*
** {==================================================================
** Trying again
** ===================================================================
*/

void flow_avoid(Request *r, mp_Addr a) {
  if (r->navoid < MP_MAXTRIES)
    r->avoid[r->navoid++] = a;
}

static void goon(mp_State *M, void *ud) {
  Request *r = ud;
  flow_enter(M, r, r->next);
}

void flow_later(mp_State *M, Request *r, Step s, mp_Time wait) {
  r->step = ST_WAIT;
  r->next = s;
  timer_arm(&M->timers, &r->timer, M->now + wait, goon, r);
}

/*
** Go back to 's' after a failure. 'clean' says that the failed work was
** certainly not run, so even a class that may not be repeated goes on.
*/
void flow_again(mp_State *M, Request *r, Step s, int clean) {
  mp_Time wait;
  r->tries++;
  wait = retry_wait(M, r->tries);
  if ((!clean && !r->repeatable) || r->tries >= MP_MAXTRIES ||
      M->now + wait >= r->deadline || !retry_spend(M)) {
    flow_giveup(M, r);
    return;
  }
  effect_log(M, MP_LOG_RETRY, " seq=%08x step=%d try=%u", r->token.seq, (int)s,
             r->tries);
  flow_later(M, r, s, wait);
}

/*
** Where to begin again, given what is still there. A prefill whose result
** cannot be used any more is ended first: there is one at a time.
*/
Step flow_restart(mp_State *M, Request *r) {
  if (r->plain)
    return ST_PLAIN;
  if (r->kv != NULL && flow_policy(M)->keep_prefill && M->now < r->kv_until)
    return r->decode.granted ? ST_TRANSFER : ST_DECODE_SLOT;
  flow_endattempt(M, r, &r->prefill);
  if (!flow_policy(M)->decode_first || r->decode.granted)
    return ST_PREFILL_SLOT;
  return ST_DECODE_SLOT;
}

/* }================================================================== */
