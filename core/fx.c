/*
** fx.c
** The queue of effects, and the calls that wait for an answer
*/

#include <stdio.h>
#include <string.h>

#include "fx.h"

/* an open call to an instance */
typedef struct RpcCall {
  mp_State *state;
  uint32_t seq;
  mp_Addr to;
  mp_Msg msg;
  mp_Time resend_wait; /* until the message is sent again */
  mp_Time deadline;    /* the call ends without a reply then */
  Timer timer;
  RpcCallback fn;
  void *ud;
} RpcCall;

/* an open call to an endpoint */
typedef struct EndpointCall {
  EndpointCallback fn;
  void *ud;
} EndpointCall;

/* an open call to the platform */
typedef struct StoreCall {
  mp_State *state;
  uint64_t op;
  int is_write;
  Timer timer;
  StoreCallback fn;
  void *ud;
} StoreCall;

/*
** {==================================================================
** The queue of effects
** ===================================================================
*/

static QueuedEffect *push_effect(mp_State *state, mp_EffectKind kind) {
  QueuedEffect *f = g_new0(QueuedEffect, 1);
  f->e.kind = kind;
  g_queue_push_tail(&state->effects, f);
  return f;
}

static void free_effect(QueuedEffect *f) {
  if (f == NULL)
    return;
  g_free(f->own[0]);
  g_free(f->own[1]);
  g_free(f);
}

/*
** A copy of 'n' bytes with a zero byte appended, owned by the effect as
** own[i]; NULL for NULL.
*/
static const char *copy_text(QueuedEffect *f, int i, const char *s, size_t n) {
  char *d;
  if (s == NULL)
    return NULL;
  d = g_malloc(n + 1);
  memcpy(d, s, n);
  d[n] = '\0';
  f->own[i] = d;
  return d;
}

static const char *copy_string(QueuedEffect *f, int i, const char *s) {
  return copy_text(f, i, s, s == NULL ? 0 : strlen(s));
}

int mp_next_effect(mp_State *state, mp_Effect *out) {
  free_effect(state->taken_effect);
  state->taken_effect = g_queue_pop_head(&state->effects);
  if (state->taken_effect == NULL)
    return 0;
  *out = state->taken_effect->e;
  return 1;
}

/* }================================================================== */

/*
** {==================================================================
** Messages
** ===================================================================
*/

void effect_send(mp_State *state, mp_Addr to, const mp_Msg *m) {
  if (to == state->self) {
    g_queue_push_tail(&state->loopback, g_memdup2(m, sizeof *m));
    return;
  }
  {
    QueuedEffect *f = push_effect(state, MP_FX_SEND);
    f->e.u.send.to = to;
    f->e.u.send.msg = *m;
    state_count(state, MSG_OUT);
  }
}

int effect_take_loopback(mp_State *state, mp_Msg *m) {
  mp_Msg *first = g_queue_pop_head(&state->loopback);
  if (first == NULL)
    return 0;
  *m = *first;
  g_free(first);
  return 1;
}

void effect_rpc_reply(mp_State *state, mp_Addr to, const mp_Msg *call,
                      mp_Msg *m) {
  m->kind = call->kind;
  m->seq = call->seq;
  m->reply = 1;
  effect_send(state, to, m);
}

/* timer function: send the message again, or end the call */
static void resend_rpc(mp_State *state, void *ud) {
  RpcCall *c = ud;
  if (state->now >= c->deadline) {
    RpcCallback fn = c->fn;
    void *callback_ud = c->ud;
    mp_Addr to = c->to;
    effect_rpc_cancel(state, c->seq);
    fn(state, callback_ud, to, NULL);
    return;
  }
  effect_send(state, c->to, &c->msg);
  c->resend_wait *= 2;
  timer_arm(&state->timers, &c->timer,
            MIN(state->now + c->resend_wait, c->deadline), resend_rpc, c);
}

uint32_t effect_rpc_call(mp_State *state, mp_Addr to, const mp_Msg *m,
                         mp_Time patience, RpcCallback fn, void *ud) {
  RpcCall *c = g_new0(RpcCall, 1);
  c->state = state;
  if (++state->last_rpc_seq == 0) /* 0 means "no call" */
    state->last_rpc_seq = 1;
  c->seq = state->last_rpc_seq;
  c->to = to;
  c->msg = *m;
  c->msg.seq = c->seq;
  c->msg.reply = 0;
  c->resend_wait = MP_RPC_RETRY_DELAY;
  c->deadline = state->now + patience;
  c->fn = fn;
  c->ud = ud;
  state_table_set(state->rpcs, c->seq, c);
  effect_send(state, to, &c->msg);
  timer_arm(&state->timers, &c->timer,
            MIN(state->now + c->resend_wait, c->deadline), resend_rpc, c);
  return c->seq;
}

void effect_rpc_cancel(mp_State *state, uint32_t seq) {
  state_table_remove(state->rpcs, seq);
}

mp_MsgKind mp_pending_call_kind(const mp_State *state, uint32_t seq) {
  const RpcCall *c = state_table_get(state->rpcs, seq);
  return c != NULL ? c->msg.kind : (mp_MsgKind)0;
}

static void free_rpc_call(void *p) {
  RpcCall *c = p;
  timer_stop(&c->state->timers, &c->timer);
  g_free(c);
}

void effect_on_rpc_reply(mp_State *state, mp_Addr from, const mp_Msg *m) {
  RpcCall *c = state_table_get(state->rpcs, m->seq);
  RpcCallback fn;
  void *ud;
  /* only a reply of the instance that was called counts */
  if (c == NULL || c->to != from || c->msg.kind != m->kind)
    return;
  fn = c->fn;
  ud = c->ud;
  effect_rpc_cancel(state, m->seq);
  fn(state, ud, from, m);
}

/* }================================================================== */

/*
** {==================================================================
** Calls to endpoints
** ===================================================================
*/

uint64_t effect_endpoint_call(mp_State *state, mp_EndpointCall *x,
                              EndpointCallback fn, void *ud) {
  EndpointCall *o = g_new0(EndpointCall, 1);
  QueuedEffect *f = push_effect(state, MP_FX_ENDPOINT_CALL);
  x->xcall = ++state->last_call_number;
  o->fn = fn;
  o->ud = ud;
  state_table_set(state->endpoint_calls, x->xcall, o);
  f->e.u.xcall = *x;
  f->e.u.xcall.kv = copy_string(f, 0, x->kv);
  f->e.u.xcall.partial = copy_string(f, 1, x->partial);
  return x->xcall;
}

void effect_endpoint_abort(mp_State *state, uint64_t xcall) {
  if (state_table_get(state->endpoint_calls, xcall) == NULL)
    return;
  state_table_remove(state->endpoint_calls, xcall);
  push_effect(state, MP_FX_ENDPOINT_ABORT)->e.u.xabort = xcall;
}

int effect_on_endpoint_event(mp_State *state, const mp_EndpointEvent *e) {
  EndpointCall *o = state_table_get(state->endpoint_calls, e->xcall);
  EndpointCallback fn;
  void *ud;
  if (o == NULL)
    return 0;
  fn = o->fn;
  ud = o->ud;
  if (e->what == MP_EP_DONE || e->what == MP_EP_FAIL)
    state_table_remove(state->endpoint_calls, e->xcall);
  fn(state, ud, e);
  return 1;
}

/* }================================================================== */

/*
** {==================================================================
** Calls to the platform
** ===================================================================
*/

/* timer function: end a call that the platform left unanswered */
static void on_store_timeout(mp_State *state, void *ud) {
  StoreCall *o = ud;
  mp_StoreEvent e = {0};
  e.op = o->op;
  /* a read changes nothing; a write may have been carried out */
  e.status = o->is_write ? MP_STORE_UNKNOWN : MP_STORE_DOWN;
  effect_on_store_event(state, &e);
}

uint64_t effect_store_call(mp_State *state, mp_StoreOp what, const char *key,
                           uint64_t version, const char *value, size_t len,
                           mp_Time patience, StoreCallback fn, void *ud) {
  StoreCall *o = g_new0(StoreCall, 1);
  QueuedEffect *f = push_effect(state, MP_FX_STORE);
  mp_StoreCall *s = &f->e.u.store;
  o->state = state;
  o->op = ++state->last_call_number;
  o->is_write = what == MP_ST_PUT;
  o->fn = fn;
  o->ud = ud;
  state_table_set(state->store_calls, o->op, o);
  timer_arm(&state->timers, &o->timer, state->now + patience, on_store_timeout,
            o);
  s->op = o->op;
  s->what = what;
  s->key = copy_string(f, 0, key);
  s->version = version;
  s->value = copy_text(f, 1, value, len);
  s->len = len;
  state_count(state, STORE_CALLS);
  if (o->is_write)
    state_count(state, STORE_WRITES);
  return o->op;
}

static void free_store_call(void *p) {
  StoreCall *o = p;
  timer_stop(&o->state->timers, &o->timer);
  g_free(o);
}

int effect_on_store_event(mp_State *state, const mp_StoreEvent *e) {
  StoreCall *o = state_table_get(state->store_calls, e->op);
  StoreCallback fn;
  void *ud;
  int down = e->status == MP_STORE_DOWN || e->status == MP_STORE_UNKNOWN;
  if (o == NULL)
    return 0;
  fn = o->fn;
  ud = o->ud;
  state_table_remove(state->store_calls, e->op);
  if (down != state->is_store_down) {
    state->is_store_down = down;
    effect_log(state, down ? MP_LOG_STORE_DOWN : MP_LOG_STORE_UP, "%s", "");
  }
  fn(state, ud, e);
  return 1;
}

/* }================================================================== */

/*
** {==================================================================
** Answers to callers, log events, drain
** ===================================================================
*/

void effect_caller_reply(mp_State *state, const mp_Reply *r) {
  QueuedEffect *f = push_effect(state, MP_FX_REPLY);
  f->e.u.reply = *r;
  f->e.u.reply.text = copy_text(f, 0, r->text, r->len);
}

void effect_log(mp_State *state, mp_EventNo no, const char *fmt, ...) {
  QueuedEffect *f = push_effect(state, MP_FX_LOG);
  mp_Log *l = &f->e.u.log;
  va_list ap;
  l->no = no;
  l->level = mp_event_level(no);
  l->text = mp_event_text(no);
  va_start(ap, fmt);
  f->own[0] = g_strdup_vprintf(fmt, ap);
  va_end(ap);
  l->fields = f->own[0];
}

void effect_drained(mp_State *state) {
  push_effect(state, MP_FX_DRAINED);
}

/* }================================================================== */

void effect_init(mp_State *state) {
  g_queue_init(&state->effects);
  g_queue_init(&state->loopback);
  state->rpcs = state_table_new(free_rpc_call);
  state->endpoint_calls = state_table_new(g_free);
  state->store_calls = state_table_new(free_store_call);
}

void effect_free(mp_State *state) {
  QueuedEffect *f;
  g_hash_table_destroy(state->rpcs);
  g_hash_table_destroy(state->endpoint_calls);
  g_hash_table_destroy(state->store_calls);
  while ((f = g_queue_pop_head(&state->effects)) != NULL)
    free_effect(f);
  free_effect(state->taken_effect);
  g_queue_clear_full(&state->loopback, g_free);
}
