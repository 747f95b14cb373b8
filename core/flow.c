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

const mp_Policy *mpW_policy(const mp_State *M) {
  return M->config->policy;
}

static Step first(const mp_State *M, const Request *r) {
  if (r->plain)
    return ST_PLAIN;
  return mpW_policy(M)->decode_first ? ST_DECODE_SLOT : ST_PREFILL_SLOT;
}

static void claimed(mp_State *M, void *ud, mp_Verdict v, mp_Ran ran) {
  Request *r = ud;
  r->asking = 0;
  if (v == MP_GRANTED) {
    r->claimed = 1;
    mpW_enter(M, r, first(M, r));
    return;
  }
  if (v == MP_UNAVAILABLE) {
    mpW_refuse(M, r, MP_ERR_CLAIM, mp_error_retry(MP_ERR_CLAIM));
    return;
  }
  /* the answer is about the request of this ID that came before */
  r->ran = ran == MP_RAN_NO ? MP_RAN_UNKNOWN : ran;
  mpW_refuse(M, r, MP_ERR_DUPLICATE, 0);
}

static void claim(mp_State *M, Request *r) {
  mp_Time ttl = r->deadline - M->now + MP_CLAIM_GRACE;
  r->durable = !r->repeatable;
  r->asking = mpI_claim(M, r->id, &r->token, ttl, r->durable, claimed, r);
}

void mpW_enter(mp_State *M, Request *r, Step s) {
  r->step = s;
  mpX_log(M, MP_LOG_STEP, " seq=%08x step=%d", r->token.seq, (int)s);
  switch (s) {
  case ST_CLAIM:
    claim(M, r);
    break;
  case ST_DECODE_SLOT:
    mpW_decodeslot(M, r);
    break;
  case ST_PREFILL_SLOT:
    mpW_prefillslot(M, r);
    break;
  case ST_PREFILL:
    mpW_prefill(M, r);
    break;
  case ST_TRANSFER:
    mpW_transfer(M, r);
    break;
  case ST_DECODE:
    r->resumed = 0;
    mpW_decode(M, r, MP_X_DECODE);
    break;
  case ST_PLAIN:
    mpW_plain(M, r);
    break;
  case ST_WAIT:
    g_assert_not_reached();
  }
}

void mpW_begin(mp_State *M, Request *r) {
  mpT_arm(&M->timers, &r->limit, r->deadline, mpW_late, r);
  mpW_enter(M, r, r->keyed ? ST_CLAIM : first(M, r));
}

/* }================================================================== */
