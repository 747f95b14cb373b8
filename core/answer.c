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

static void ondecode(mp_State *M, void *ud, const mp_EndpointEvent *e);
static void broke(mp_State *M, Request *r, Why why);

static void stalled(mp_State *M, void *ud) {
  Request *r = ud;
  effect_xabort(M, r->decode.xcall);
  r->decode.xcall = 0;
  broke(M, r, WHY_SILENT);
}

static void watch(mp_State *M, Request *r) {
  timer_arm(&M->timers, &r->timer, M->now + MP_STALL_TIME, stalled, r);
}

void flow_decode(mp_State *M, Request *r, mp_XcallOp op) {
  Attempt *a = &r->decode;
  mp_Xcall x;
  if (flow_gate(M, r, a) == NULL) {
    flow_gated(M, r, a);
    return;
  }
  x = flow_call(r, a, op);
  flow_dispatched(r, a);
  if (op == MP_X_DECODE)
    mpcount(M, DECODES);
  a->xcall = effect_xcall(M, &x, ondecode, r);
  watch(M, r);
}

/* the stream broke: resume it once where it is, then go elsewhere */
static void broke(mp_State *M, Request *r, Why why) {
  const Endpoint *e = fleet_get(M, r->decode.endpoint);
  int there = e != NULL && !e->down;
  timer_stop(&M->timers, &r->timer);
  if (!flow_clean(why) && !r->resumed && there) {
    r->resumed = 1;
    flow_decode(M, r, MP_X_RESUME);
    return;
  }
  /* after a resume that was refused, the first call still ran */
  flow_failed(M, r, &r->decode,
              flow_clean(why) && r->resumed ? WHY_BROKEN : why);
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
  effect_reply(M, &p);
}

static void pass(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  mp_Reply p = {0};
  p.call = r->call;
  p.what = MP_REPLY_PIECE;
  p.text = e->text;
  p.len = e->len;
  effect_reply(M, &p);
}

/* the first token is there: the prefill's copy has done its work */
static void firsttoken(mp_State *M, Request *r) {
  r->ran = MP_RAN_YES;
  r->kv_used = 1;
  r->prefill_at = r->prefill.endpoint;
  fleet_good(M, r->decode.endpoint);
  flow_endattempt(M, r, &r->prefill);
}

static void piece(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  if (e->index < r->got) {
    mpcount(M, STALE); /* the caller has it already */
    return;
  }
  if (e->index > r->got) {
    effect_xabort(M, r->decode.xcall);
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
    flow_complete(M, r);
    break;
  case MP_EP_FAIL:
    r->decode.xcall = 0;
    broke(M, r, flow_whyof(e));
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
    flow_giveup(M, r); /* a part of the answer is out: no second one */
  else
    flow_failed(M, r, &r->decode, WHY_SILENT);
}

static void plainfail(mp_State *M, Request *r, const mp_EndpointEvent *e) {
  r->decode.xcall = 0;
  timer_stop(&M->timers, &r->timer);
  if (r->head)
    flow_refuse(M, r, MP_ERR_INCOMPLETE, 0);
  else if (e->fail == MP_EPF_REJECTED)
    flow_rejected(M, r);
  else
    flow_failed(M, r, &r->decode, flow_whyof(e));
}

static void onplain(mp_State *M, void *ud, const mp_EndpointEvent *e) {
  Request *r = ud;
  switch (e->what) {
  case MP_EP_HEAD:
    r->ran = MP_RAN_YES;
    fleet_good(M, r->decode.endpoint);
    timer_arm(&M->timers, &r->timer, r->deadline, plainlate, r);
    head(M, r, e->status, e->head);
    break;
  case MP_EP_PIECE:
    pass(M, r, e);
    break;
  case MP_EP_DONE:
    r->decode.xcall = 0;
    flow_complete(M, r);
    break;
  case MP_EP_FAIL:
    plainfail(M, r, e);
    break;
  }
}

void flow_plain(mp_State *M, Request *r) {
  Endpoint *e = choice_plain(M, r);
  Attempt *a = &r->decode;
  mp_Xcall x;
  if (e == NULL) {
    flow_nowhere(M, r);
    return;
  }
  flow_attempt(r, a, e, MP_ROLE_PLAIN, 0);
  e->mine++;
  a->granted = 1;
  a->begun = M->now;
  x = flow_call(r, a, MP_X_PLAIN);
  flow_dispatched(r, a);
  a->xcall = effect_xcall(M, &x, onplain, r);
  /* time to fail over is left where the class allows it */
  timer_arm(&M->timers, &r->timer,
            M->now + (r->deadline - M->now) / (r->repeatable ? 2 : 1),
            plainlate, r);
}

/* }================================================================== */
