/*
** flow.c
** The path of one request: claim, reserve, prefill, transfer, decode
**
** The decode slot is reserved before the prefill starts. A step that
** fails is tried again only where the work was certainly not run, or the
** class may be repeated; within the budget, the deadline and MP_MAXTRIES.
** 'ran' says what the caller may be told: it leaves MP_RAN_NO at the
** instant of dispatch, and comes back only when the endpoint certainly
** did not run the work.
**
** A function that may end the request is the last thing its caller does:
** the row is gone after it.
*/

#include <string.h>

#include "cancel.h"
#include "claim.h"
#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "holder.h"
#include "member.h"
#include "place.h"
#include "plan.h"
#include "quota.h"
#include "retry.h"
#include "route.h"

static void enter(mp_State *M, Request *r, Step s);
static void endwith(mp_State *M, Request *r, mp_Error e, int retry_s);

static const mp_Policy *policy(const mp_State *M) {
  return M->config->policy;
}

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
static void endattempt(mp_State *M, Request *r, Attempt *a) {
  if (a->xcall != 0)
    mpX_xabort(M, a->xcall);
  a->xcall = 0;
  if (a->sent && a->role != MP_ROLE_PLAIN)
    mpC_cancel(M, a->endpoint, &r->token, a->no);
  if (a == &r->prefill) {
    if (a->sent && r->kv == NULL && r->step == ST_PREFILL)
      waste(M, a->tokens);
    dropkv(M, r);
  }
  mpH_release(M, r, a, 0);
  memset(a, 0, sizeof *a);
}

static void forget(mp_State *M, Request *r) {
  mpT_stop(&M->timers, &r->timer);
  mpT_stop(&M->timers, &r->limit);
  mpH_forget(M, r);
  mpL_done(M, r);
  mpQ_forget(M, r);
  if (r->asking != 0)
    mpI_forget(M, r->asking);
  endattempt(M, r, &r->prefill);
  endattempt(M, r, &r->decode);
  g_string_free(r->text, TRUE);
  mpS_del(M->requestby, r->call);
  mpS_del(M->requestseq, r->token.seq);
  g_ptr_array_remove_fast(M->requests, r); /* frees the row */
}

static void settle(mp_State *M, Request *r, mp_Ran ran) {
  if (r->claimed || r->asking != 0)
    mpI_settle(M, r->id, &r->token, ran, r->durable);
}

static void logend(mp_State *M, const Request *r, mp_EventNo no,
                   const char *kind) {
  char id[64];
  mp_token_text(&r->token, 0, id);
  mpX_log(M, no,
          " request=%s class=%s account=%s kind=%s ran=%s tokens=%u ms=%d", id,
          r->class_name, r->account, kind, mp_ran_name(r->ran), r->got,
          (int)((M->now - r->arrived) / MP_MS));
}

static void endwith(mp_State *M, Request *r, mp_Error e, int retry_s) {
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
  mpX_reply(M, &p);
  forget(M, r);
}

void mpW_refuse(mp_State *M, Request *r, mp_Error e, int retry_s) {
  endwith(M, r, e, retry_s);
}

void mpW_hangup(mp_State *M, Request *r) {
  mpcount(M, HANGUPS);
  logend(M, r, MP_LOG_GONE, "caller_gone");
  settle(M, r, r->ran);
  forget(M, r);
}

static void complete(mp_State *M, Request *r) {
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
  mpX_reply(M, &p);
  r->decode.sent = 0; /* it ended by itself: nothing to cancel */
  forget(M, r);
}

/* no way on: say what is known, and when to come back */
static void giveup(mp_State *M, Request *r) {
  if (r->ran == MP_RAN_NO)
    endwith(M, r, MP_ERR_PLACE_AWAY, mp_error_retry(MP_ERR_PLACE_AWAY));
  else if (r->repeatable)
    endwith(M, r, MP_ERR_INCOMPLETE, mp_error_retry(MP_ERR_INCOMPLETE));
  else
    endwith(M, r, MP_ERR_LOST, 0);
}

static void late(mp_State *M, void *ud) {
  endwith(M, ud, MP_ERR_DEADLINE, mp_error_retry(MP_ERR_DEADLINE));
}

/* }================================================================== */

/*
** {==================================================================
** Trying again
** ===================================================================
*/

static void avoid(Request *r, mp_Addr a) {
  if (r->navoid < MP_MAXTRIES)
    r->avoid[r->navoid++] = a;
}

static void goon(mp_State *M, void *ud) {
  Request *r = ud;
  enter(M, r, r->next);
}

/*
** Go back to 's' after a failure. 'clean' says that the failed work was
** certainly not run, so even a class that may not be repeated goes on.
*/
static void again(mp_State *M, Request *r, Step s, int clean) {
  mp_Time wait;
  r->tries++;
  wait = mpB_wait(M, r->tries);
  if ((!clean && !r->repeatable) || r->tries >= MP_MAXTRIES ||
      M->now + wait >= r->deadline || !mpB_spend(M)) {
    giveup(M, r);
    return;
  }
  mpX_log(M, MP_LOG_RETRY, " seq=%08x step=%d try=%u", r->token.seq, (int)s,
          r->tries);
  r->step = ST_WAIT;
  r->next = s;
  mpT_arm(&M->timers, &r->timer, M->now + wait, goon, r);
}

/*
** Where to begin again, given what is still there. A prefill whose result
** cannot be used any more is ended first: there is one at a time.
*/
static Step restart(mp_State *M, Request *r) {
  if (r->plain)
    return ST_PLAIN;
  if (r->kv != NULL && policy(M)->keep_prefill && M->now < r->kv_until)
    return r->decode.granted ? ST_TRANSFER : ST_DECODE_SLOT;
  endattempt(M, r, &r->prefill);
  if (!policy(M)->decode_first || r->decode.granted)
    return ST_PREFILL_SLOT;
  return ST_DECODE_SLOT;
}

/* }================================================================== */

/*
** {==================================================================
** Reservations
** ===================================================================
*/

static void begin(Request *r, Attempt *a, const Endpoint *e, mp_Role role,
                  uint32_t tokens) {
  g_assert(a->no == 0);
  a->no = ++r->attempts;
  a->endpoint = e->addr;
  a->role = role;
  a->tokens = tokens;
}

/* milliseconds left until the work must start to meet its target */
static uint32_t slack(const mp_State *M, const Request *r, uint32_t need) {
  mp_Time by = r->deadline;
  mp_Time left;
  if (r->kv != NULL) /* a result that is there is used late rather than lost */
    by = MIN(by, r->kv_until);
  else if (policy(M)->refuse_early && r->got == 0)
    by = MIN(by, r->arrived + (mp_Time)r->first_ms * MP_MS *
                                  policy(M)->refuse_at / 100);
  left = by - M->now - (mp_Time)need * MP_MS;
  return left > 0 ? (uint32_t)(left / MP_MS) : 0;
}

/* the estimate said no everywhere: refuse at once */
static void full(mp_State *M, Request *r) {
  int s = MAX(mp_error_retry(MP_ERR_OVERLOAD), (int)(r->wait_ms / 1000) + 1);
  if (r->ran != MP_RAN_NO)
    giveup(M, r);
  else
    endwith(M, r, MP_ERR_OVERLOAD, MIN(s, 30));
}

static void nowhere(mp_State *M, Request *r) {
  if (r->wait_ms > 0)
    full(M, r);
  else if (r->ran == MP_RAN_NO)
    endwith(M, r, MP_ERR_PLACE_AWAY, mp_error_retry(MP_ERR_PLACE_AWAY));
  else
    giveup(M, r);
}

static void slotlate(mp_State *M, void *ud) {
  Request *r = ud;
  Attempt *a = r->step == ST_PREFILL_SLOT ? &r->prefill : &r->decode;
  mpW_reserved(M, r, a, MP_DENIED, slack(M, r, 0));
}

static void decodeslot(mp_State *M, Request *r) {
  Endpoint *e = mpR_decode(M, r);
  uint32_t need = 0;
  if (e == NULL) {
    nowhere(M, r);
    return;
  }
  if (r->kv == NULL) {
    const Endpoint *p = mpR_prefill(M, r, e->dc);
    need = p != NULL ? mpR_prefilltime(p, r->prompt_tokens) : 0;
  }
  begin(r, &r->decode, e, MP_ROLE_DECODE, r->max_tokens - r->got);
  mpH_reserve(M, r, &r->decode, slack(M, r, need), need);
}

static void prefillslot(mp_State *M, Request *r) {
  const Endpoint *d =
      r->decode.no != 0 ? mpE_get(M, r->decode.endpoint) : NULL;
  Endpoint *e = mpR_prefill(M, r, d != NULL ? d->dc : NULL);
  uint32_t need;
  if (e == NULL) {
    nowhere(M, r);
    return;
  }
  need = (uint32_t)((uint64_t)r->prompt_tokens * 1000 /
                    MAX(e->rate > 0 ? e->rate : MP_PREFILL_RATE, 1));
  begin(r, &r->prefill, e, MP_ROLE_PREFILL, r->prompt_tokens + r->got);
  mpH_reserve(M, r, &r->prefill, slack(M, r, need), 0);
}

static void granted(mp_State *M, Request *r, Attempt *a) {
  a->granted = 1;
  a->waiting = 0;
  a->begun = M->now;
  r->navoid = 0;
  r->wait_ms = 0;
  mpT_stop(&M->timers, &r->timer);
  if (a == &r->prefill)
    enter(M, r, ST_PREFILL);
  else
    enter(M, r, r->kv != NULL ? ST_TRANSFER : ST_PREFILL_SLOT);
}

void mpW_reserved(mp_State *M, Request *r, Attempt *a, mp_Verdict v,
                  uint32_t wait_ms) {
  Step s = a == &r->prefill ? ST_PREFILL_SLOT : ST_DECODE_SLOT;
  g_assert(a->no != 0);
  if (a->granted)
    return;
  if (v == MP_GRANTED) {
    granted(M, r, a);
    return;
  }
  if (v == MP_QUEUED) {
    a->waiting = 1;
    mpT_arm(&M->timers, &r->timer,
            M->now + (mp_Time)slack(M, r, 0) * MP_MS + MP_RPC_WAIT, slotlate,
            r);
    return;
  }
  mpT_stop(&M->timers, &r->timer);
  mpH_forget(M, r);
  avoid(r, a->endpoint);
  endattempt(M, r, a);
  if (v == MP_DENIED) {
    r->wait_ms = MAX(r->wait_ms, MAX(wait_ms, 1));
    if (r->navoid >= MP_MAXTRIES)
      full(M, r);
    else
      enter(M, r, s);
    return;
  }
  again(M, r, s, 1); /* no keeper answered: nothing was run */
}

/* }================================================================== */

/*
** {==================================================================
** Work at endpoints
** ===================================================================
*/

/* the work goes out now: from here on it may have run */
static void dispatched(Request *r, Attempt *a) {
  r->before = r->ran;
  if (r->ran == MP_RAN_NO)
    r->ran = MP_RAN_UNKNOWN;
  a->sent = 1;
}

/* the endpoint certainly did not run it */
static void notrun(Request *r) {
  r->ran = r->before;
}

/* how a call to an endpoint ended */
typedef enum Why { WHY_REFUSED, WHY_CONNECT, WHY_BROKEN, WHY_SILENT } Why;

static Why whyof(const mp_EndpointEvent *e) {
  switch (e->fail) {
  case MP_EPF_CONNECT:
    return WHY_CONNECT;
  case MP_EPF_REFUSED:
    return WHY_REFUSED;
  default:
    return WHY_BROKEN;
  }
}

/* was the work certainly not run? */
static int clean(Why w) {
  return w == WHY_REFUSED || w == WHY_CONNECT;
}

/* the attempt is over without an answer; begin again elsewhere */
static void failed(mp_State *M, Request *r, Attempt *a, Why why) {
  static const char *const names[] = {"refused", "connect", "broken",
                                      "silent"};
  mp_Addr ep = a->endpoint;
  int cleanly = clean(why);
  char text[24];
  mp_addr_text(ep, text);
  mpX_log(M, MP_LOG_FAILED, " seq=%08x endpoint=%s step=%d why=%s",
          r->token.seq, text, (int)r->step, names[why]);
  if (cleanly) {
    notrun(r);
    a->sent = a->role == MP_ROLE_DECODE && r->step == ST_DECODE;
  }
  if (why != WHY_REFUSED) /* one that refuses is well, but busy */
    mpE_bad(M, ep);
  avoid(r, ep);
  endattempt(M, r, a);
  again(M, r, restart(M, r), cleanly);
}

static void rejected(mp_State *M, Request *r) {
  notrun(r);
  endwith(M, r, MP_ERR_REJECTED, 0);
}

/* the gate, asked again at the instant of dispatch */
static Endpoint *gate(mp_State *M, const Request *r, const Attempt *a) {
  Endpoint *e = mpE_get(M, a->endpoint);
  if (e == NULL || !mpR_allowed(M, r, e))
    return NULL;
  return e;
}

/* the same for work that the endpoint has nothing of yet */
static Endpoint *gatenew(mp_State *M, const Request *r, const Attempt *a) {
  Endpoint *e = gate(M, r, a);
  return e != NULL && !e->leaving && !e->drained ? e : NULL;
}

/* a rule changed under way: nothing goes there any more */
static void gated(mp_State *M, Request *r, Attempt *a) {
  avoid(r, a->endpoint);
  endattempt(M, r, a);
  again(M, r, restart(M, r), 1);
}

/* an attempt that was asked nothing more: its endpoint is silent */
static void prefilllate(mp_State *M, void *ud) {
  Request *r = ud;
  failed(M, r, &r->prefill, WHY_SILENT);
}

static void prefilled(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  Attempt *a = &r->prefill;
  a->xcall = 0;
  mpT_stop(&M->timers, &r->timer);
  mpE_good(M, a->endpoint);
  r->ran = MP_RAN_YES;
  r->kv = g_strndup(e->text, e->len);
  r->kv_at = a->endpoint;
  r->kv_until = M->now + (mp_Time)e->life_ms * MP_MS;
  r->kv_used = 0;
  r->kv_tokens = a->tokens - MIN(e->cached, a->tokens);
  r->tries = 0;
  r->navoid = 0;
  M->count[MP_C_PREFILL_TOKENS] += r->kv_tokens;
  mpH_release(M, r, a, 1);
  enter(M, r, r->decode.granted ? ST_TRANSFER : ST_DECODE_SLOT);
}

static void onprefill(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  if (e->what == MP_EP_DONE) {
    prefilled(M, r, e);
    return;
  }
  if (e->what != MP_EP_FAIL)
    return;
  r->prefill.xcall = 0;
  mpT_stop(&M->timers, &r->timer);
  if (e->fail == MP_EPF_REJECTED)
    rejected(M, r);
  else
    failed(M, r, &r->prefill, whyof(e));
}

static void prefill(mp_State *M, Request *r) {
  Attempt *a = &r->prefill;
  Endpoint *e = gatenew(M, r, a);
  mp_Xcall x = {0};
  mp_Time expect;
  if (e == NULL) {
    gated(M, r, a);
    return;
  }
  x.op = MP_X_PREFILL;
  x.endpoint = a->endpoint;
  x.token = r->token;
  x.attempt = a->no;
  x.call = r->call;
  x.from_token = r->got;
  x.partial = r->got > 0 ? r->text->str : NULL;
  x.priority = r->first_ms / MAX(r->weight, 1);
  dispatched(r, a);
  mpcount(M, PREFILLS);
  a->xcall = mpX_xcall(M, &x, onprefill, r);
  expect = (mp_Time)mpR_prefilltime(e, r->prompt_tokens) * MP_MS;
  mpT_arm(&M->timers, &r->timer, M->now + 4 * expect + MP_STALL_TIME,
          prefilllate, r);
}

/* }================================================================== */

/*
** {==================================================================
** Transfer
** ===================================================================
*/

/* the KV result ran out, or its engine is gone: prefill anew */
static void kvlost(mp_State *M, Request *r) {
  r->kv_until = 0;
  again(M, r, restart(M, r), 0);
}

/*
** The engine had no slot after all: its keeper promised too much. The
** result is there, so the request queues for a slot again, at another
** engine first, for as long as the result lives.
*/
static void noslot(mp_State *M, Request *r) {
  mp_Addr ep = r->decode.endpoint;
  mp_Time wait = mpB_wait(M, 1);
  notrun(r);
  r->decode.sent = 0;
  r->navoid = 0;
  avoid(r, ep);
  endattempt(M, r, &r->decode);
  if (!policy(M)->keep_prefill ||
      M->now + wait >= MIN(r->kv_until, r->deadline)) {
    again(M, r, restart(M, r), 1);
    return;
  }
  r->step = ST_WAIT;
  r->next = ST_DECODE_SLOT;
  mpT_arm(&M->timers, &r->timer, M->now + wait, goon, r);
}

static void importlate(mp_State *M, void *ud) {
  Request *r = ud;
  mpL_done(M, r);
  failed(M, r, &r->decode, WHY_SILENT);
}

static void onimport(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  Attempt *a = &r->decode;
  if (e->what != MP_EP_DONE && e->what != MP_EP_FAIL)
    return;
  a->xcall = 0;
  mpT_stop(&M->timers, &r->timer);
  mpL_done(M, r);
  if (e->what == MP_EP_DONE) {
    mpcount(M, TRANSFERS);
    enter(M, r, ST_DECODE);
  } else if (e->fail == MP_EPF_REJECTED) {
    a->sent = 0; /* the source knows no such KV: nothing is held here */
    kvlost(M, r);
  } else if (e->fail == MP_EPF_REFUSED)
    noslot(M, r);
  else
    failed(M, r, a, whyof(e));
}

/* the link is free: the gate once more, for this very move */
static void import(mp_State *M, void *ud) {
  Request *r = ud;
  Attempt *a = &r->decode;
  const Endpoint *d = gatenew(M, r, a);
  const Endpoint *p = mpE_get(M, r->kv_at);
  const mp_Rule *rule = mpP_rule(M->config, r->class_name, r->account);
  mp_Xcall x = {0};
  mp_Time expect;
  if (d == NULL || p == NULL || !mpP_moves(M->config, rule, p->dc, d->dc)) {
    mpL_done(M, r);
    gated(M, r, a);
    return;
  }
  x.op = MP_X_IMPORT;
  x.endpoint = a->endpoint;
  x.token = r->token;
  x.attempt = a->no;
  x.kv = r->kv;
  x.kv_from = r->kv_at;
  dispatched(r, a);
  a->xcall = mpX_xcall(M, &x, onimport, r);
  expect = mpL_time(M, p->dc, d->dc, mpR_kvbytes(M, r));
  mpT_arm(&M->timers, &r->timer,
          MIN(M->now + 4 * expect + MP_STALL_TIME / 2,
              MAX(r->kv_until, M->now) + MP_SEC / 2),
          importlate, r);
}

static void transfer(mp_State *M, Request *r) {
  const Endpoint *d = mpE_get(M, r->decode.endpoint);
  const Endpoint *p = mpE_get(M, r->kv_at);
  uint64_t bytes = mpR_kvbytes(M, r);
  if (d == NULL) {
    gated(M, r, &r->decode);
    return;
  }
  if (p == NULL || M->now + mpL_time(M, p->dc, d->dc, bytes) > r->kv_until) {
    kvlost(M, r);
    return;
  }
  mpL_ask(M, p->dc, d->dc, bytes, r->kv_until, import, r);
}

/* }================================================================== */

/*
** {==================================================================
** Decode and answer
** ===================================================================
*/

static void ondecode(mp_State *M, void *ud, const mp_EndpointEvent *e);
static void broke(mp_State *M, Request *r, Why why);

static void stalled(mp_State *M, void *ud) {
  Request *r = ud;
  mpX_xabort(M, r->decode.xcall);
  r->decode.xcall = 0;
  broke(M, r, WHY_SILENT);
}

static void watch(mp_State *M, Request *r) {
  mpT_arm(&M->timers, &r->timer, M->now + MP_STALL_TIME, stalled, r);
}

static void decode(mp_State *M, Request *r, mp_XcallOp op) {
  Attempt *a = &r->decode;
  mp_Xcall x = {0};
  if (gate(M, r, a) == NULL) {
    gated(M, r, a);
    return;
  }
  x.op = op;
  x.endpoint = a->endpoint;
  x.token = r->token;
  x.attempt = a->no;
  x.call = r->call;
  x.from_token = r->got;
  x.partial = r->got > 0 ? r->text->str : NULL;
  x.max_tokens = r->max_tokens;
  x.priority = r->first_ms / MAX(r->weight, 1);
  dispatched(r, a);
  if (op == MP_X_DECODE)
    mpcount(M, DECODES);
  a->xcall = mpX_xcall(M, &x, ondecode, r);
  watch(M, r);
}

/* the stream broke: resume it once where it is, then go elsewhere */
static void broke(mp_State *M, Request *r, Why why) {
  const Endpoint *e = mpE_get(M, r->decode.endpoint);
  int there = e != NULL && !e->down;
  mpT_stop(&M->timers, &r->timer);
  if (!clean(why) && !r->resumed && there) {
    r->resumed = 1;
    decode(M, r, MP_X_RESUME);
    return;
  }
  /* after a resume that was refused, the first call still ran */
  failed(M, r, &r->decode, clean(why) && r->resumed ? WHY_BROKEN : why);
}

static void head(mp_State *M, Request *r, int status, void *h) {
  mp_Reply p = {0};
  if (r->head)
    return;
  r->head = 1;
  p.call = r->call;
  p.what = MP_REPLY_HEAD;
  p.status = status;
  p.head = h;
  mp_token_text(&r->token, 0, p.id);
  mpX_reply(M, &p);
}

static void pass(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_PIECE;
  p.text = e->text;
  p.len = e->len;
  mpX_reply(M, &p);
}

/* the first token is there: the prefill's copy has done its work */
static void firsttoken(mp_State *M, Request *r) {
  r->ran = MP_RAN_YES;
  r->kv_used = 1;
  r->prefill_at = r->prefill.endpoint;
  mpE_good(M, r->decode.endpoint);
  endattempt(M, r, &r->prefill);
}

static void piece(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  if (e->index < r->got) {
    mpcount(M, STALE); /* the caller has it already */
    return;
  }
  if (e->index > r->got) {
    mpX_xabort(M, r->decode.xcall);
    r->decode.xcall = 0;
    broke(M, r, WHY_BROKEN); /* a gap: nothing behind it may pass */
    return;
  }
  if (r->prefill.no != 0)
    firsttoken(M, r);
  head(M, r, 200, NULL);
  r->got += e->tokens;
  r->tries = 0;
  g_string_append_len(r->text, e->text, (gssize)e->len);
  pass(M, r, e);
  watch(M, r);
}

static void ondecode(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    break;
  case MP_EP_PIECE:
    piece(M, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    if (e->tokens != r->got) {
      broke(M, r, WHY_BROKEN); /* the end without the whole */
      return;
    }
    if (r->prefill.no != 0)
      firsttoken(M, r);
    head(M, r, 200, NULL);
    complete(M, r);
    break;
  case MP_EP_FAIL:
    r->decode.xcall = 0;
    broke(M, r, whyof(e));
    break;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Plain services
** ===================================================================
*/

static void plainlate(mp_State *M, void *ud) {
  Request *r = ud;
  if (r->head)
    giveup(M, r); /* a part of the answer is out: no second one */
  else
    failed(M, r, &r->decode, WHY_SILENT);
}

static void plainfail(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  r->decode.xcall = 0;
  mpT_stop(&M->timers, &r->timer);
  if (r->head)
    endwith(M, r, MP_ERR_INCOMPLETE, 0);
  else if (e->fail == MP_EPF_REJECTED)
    rejected(M, r);
  else
    failed(M, r, &r->decode, whyof(e));
}

static void onplain(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    r->ran = MP_RAN_YES;
    mpE_good(M, r->decode.endpoint);
    mpT_arm(&M->timers, &r->timer, r->deadline, plainlate, r);
    head(M, r, e->status, e->head);
    break;
  case MP_EP_PIECE:
    pass(M, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    complete(M, r);
    break;
  case MP_EP_FAIL:
    plainfail(M, r, e);
    break;
  }
}

static void plain(mp_State *M, Request *r) {
  Endpoint *e = mpR_plain(M, r);
  Attempt *a = &r->decode;
  mp_Xcall x = {0};
  if (e == NULL) {
    nowhere(M, r);
    return;
  }
  begin(r, a, e, MP_ROLE_PLAIN, 0);
  e->mine++;
  a->granted = 1;
  a->begun = M->now;
  x.op = MP_X_PLAIN;
  x.endpoint = a->endpoint;
  x.token = r->token;
  x.attempt = a->no;
  x.call = r->call;
  dispatched(r, a);
  a->xcall = mpX_xcall(M, &x, onplain, r);
  /* time to fail over is left where the class allows it */
  mpT_arm(&M->timers, &r->timer,
          M->now + (r->deadline - M->now) / (r->repeatable ? 2 : 1), plainlate,
          r);
}

/* }================================================================== */

/*
** {==================================================================
** The path
** ===================================================================
*/

static Step first(const mp_State *M, const Request *r) {
  if (r->plain)
    return ST_PLAIN;
  return policy(M)->decode_first ? ST_DECODE_SLOT : ST_PREFILL_SLOT;
}

static void claimed(mp_State *M, void *ud, mp_Verdict v, mp_Ran ran) {
  Request *r = ud;
  r->asking = 0;
  if (v == MP_GRANTED) {
    r->claimed = 1;
    enter(M, r, first(M, r));
    return;
  }
  if (v == MP_UNAVAILABLE) {
    endwith(M, r, MP_ERR_CLAIM, mp_error_retry(MP_ERR_CLAIM));
    return;
  }
  /* the answer is about the request of this ID that came before */
  r->ran = ran == MP_RAN_NO ? MP_RAN_UNKNOWN : ran;
  endwith(M, r, MP_ERR_DUPLICATE, 0);
}

static void claim(mp_State *M, Request *r) {
  mp_Time ttl = r->deadline - M->now + MP_CLAIM_GRACE;
  r->durable = !r->repeatable;
  r->asking = mpI_claim(M, r->id, &r->token, ttl, r->durable, claimed, r);
}

static void enter(mp_State *M, Request *r, Step s) {
  r->step = s;
  mpX_log(M, MP_LOG_STEP, " seq=%08x step=%d", r->token.seq, (int)s);
  switch (s) {
  case ST_CLAIM:
    claim(M, r);
    break;
  case ST_DECODE_SLOT:
    decodeslot(M, r);
    break;
  case ST_PREFILL_SLOT:
    prefillslot(M, r);
    break;
  case ST_PREFILL:
    prefill(M, r);
    break;
  case ST_TRANSFER:
    transfer(M, r);
    break;
  case ST_DECODE:
    r->resumed = 0;
    decode(M, r, MP_X_DECODE);
    break;
  case ST_PLAIN:
    plain(M, r);
    break;
  case ST_WAIT:
    g_assert_not_reached();
  }
}

void mpW_begin(mp_State *M, Request *r) {
  mpT_arm(&M->timers, &r->limit, r->deadline, late, r);
  enter(M, r, r->keyed ? ST_CLAIM : first(M, r));
}

/* }================================================================== */
