/*
** fx.c
** How controllers ask for effects, and get the answers
*/

#include <stdio.h>
#include <string.h>

#include "fx.h"

typedef struct Rpc {
  mp_State *state;
  uint32_t seq;
  mp_Addr to;
  mp_Msg msg;
  mp_Time wait;
  mp_Time until;
  Timer timer;
  RpcCallback fn;
  void *ud;
} Rpc;

typedef struct Xopen {
  EndpointCallback fn;
  void *ud;
} Xopen;

typedef struct Stopen {
  mp_State *state;
  uint64_t op;
  int write;
  Timer timer;
  StoreCallback fn;
  void *ud;
} Stopen;

/*
** {==================================================================
** The queue of effects
** ===================================================================
*/

static QueuedEffect *push(mp_State *state, mp_EffectKind kind) {
  QueuedEffect *f = g_new0(QueuedEffect, 1);
  f->e.kind = kind;
  g_queue_push_tail(&state->fx, f);
  return f;
}

static void freefx(QueuedEffect *f) {
  if (f == NULL)
    return;
  g_free(f->own[0]);
  g_free(f->own[1]);
  g_free(f);
}

/* a copy of 'n' bytes with a zero behind them, owned by the effect */
static const char *keep(QueuedEffect *f, int i, const char *s, size_t n) {
  char *d;
  if (s == NULL)
    return NULL;
  d = g_malloc(n + 1);
  memcpy(d, s, n);
  d[n] = '\0';
  f->own[i] = d;
  return d;
}

static const char *keepz(QueuedEffect *f, int i, const char *s) {
  return keep(f, i, s, s == NULL ? 0 : strlen(s));
}

int mp_take(mp_State *state, mp_Effect *out) {
  freefx(state->taken);
  state->taken = g_queue_pop_head(&state->fx);
  if (state->taken == NULL)
    return 0;
  *out = state->taken->e;
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
    g_queue_push_tail(&state->loop, g_memdup2(m, sizeof *m));
    return;
  }
  {
    QueuedEffect *f = push(state, MP_FX_SEND);
    f->e.u.send.to = to;
    f->e.u.send.msg = *m;
    state_count(state, MSG_OUT);
  }
}

int effect_take_loopback(mp_State *state, mp_Msg *m) {
  mp_Msg *first = g_queue_pop_head(&state->loop);
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

static void rpcagain(mp_State *state, void *ud) {
  Rpc *c = ud;
  if (state->now >= c->until) {
    RpcCallback fn = c->fn;
    void *fud = c->ud;
    mp_Addr to = c->to;
    effect_rpc_cancel(state, c->seq);
    fn(state, fud, to, NULL);
    return;
  }
  effect_send(state, c->to, &c->msg);
  c->wait *= 2;
  timer_arm(&state->timers, &c->timer, MIN(state->now + c->wait, c->until),
            rpcagain, c);
}

uint32_t effect_rpc_call(mp_State *state, mp_Addr to, const mp_Msg *m,
                         mp_Time patience, RpcCallback fn, void *ud) {
  Rpc *c = g_new0(Rpc, 1);
  c->state = state;
  if (++state->last_rpc_seq == 0) /* 0 means "no call" */
    state->last_rpc_seq = 1;
  c->seq = state->last_rpc_seq;
  c->to = to;
  c->msg = *m;
  c->msg.seq = c->seq;
  c->msg.reply = 0;
  c->wait = MP_RPC_WAIT;
  c->until = state->now + patience;
  c->fn = fn;
  c->ud = ud;
  state_table_set(state->rpcs, c->seq, c);
  effect_send(state, to, &c->msg);
  timer_arm(&state->timers, &c->timer, MIN(state->now + c->wait, c->until),
            rpcagain, c);
  return c->seq;
}

void effect_rpc_cancel(mp_State *state, uint32_t seq) {
  state_table_remove(state->rpcs, seq);
}

mp_MsgKind mp_pending(const mp_State *state, uint32_t seq) {
  const Rpc *c = state_table_get(state->rpcs, seq);
  return c != NULL ? c->msg.kind : (mp_MsgKind)0;
}

static void freerpc(void *p) {
  Rpc *c = p;
  timer_stop(&c->state->timers, &c->timer);
  g_free(c);
}

void effect_on_rpc_reply(mp_State *state, mp_Addr from, const mp_Msg *m) {
  Rpc *c = state_table_get(state->rpcs, m->seq);
  RpcCallback fn;
  void *ud;
  /* an answer counts only from the instance that was asked */
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
** Endpoints
** ===================================================================
*/

uint64_t effect_endpoint_call(mp_State *state, mp_Xcall *x,
                              EndpointCallback fn, void *ud) {
  Xopen *o = g_new0(Xopen, 1);
  QueuedEffect *f = push(state, MP_FX_XCALL);
  x->xcall = ++state->last_call_number;
  o->fn = fn;
  o->ud = ud;
  state_table_set(state->xcalls, x->xcall, o);
  f->e.u.xcall = *x;
  f->e.u.xcall.kv = keepz(f, 0, x->kv);
  f->e.u.xcall.partial = keepz(f, 1, x->partial);
  return x->xcall;
}

void effect_endpoint_abort(mp_State *state, uint64_t xcall) {
  if (state_table_get(state->xcalls, xcall) == NULL)
    return;
  state_table_remove(state->xcalls, xcall);
  push(state, MP_FX_XABORT)->e.u.xabort = xcall;
}

int effect_on_endpoint_event(mp_State *state, const mp_EndpointEvent *e) {
  Xopen *o = state_table_get(state->xcalls, e->xcall);
  EndpointCallback fn;
  void *ud;
  if (o == NULL)
    return 0;
  fn = o->fn;
  ud = o->ud;
  if (e->what == MP_EP_DONE || e->what == MP_EP_FAIL)
    state_table_remove(state->xcalls, e->xcall);
  fn(state, ud, e);
  return 1;
}

/* }================================================================== */

/*
** {==================================================================
** The platform
** ===================================================================
*/

static void storelate(mp_State *state, void *ud) {
  Stopen *o = ud;
  mp_StoreEvent e = {0};
  e.op = o->op;
  /* a read has no effect; a write may still have had its own */
  e.status = o->write ? MP_STORE_UNKNOWN : MP_STORE_DOWN;
  effect_on_store_event(state, &e);
}

uint64_t effect_store_call(mp_State *state, mp_StoreOp what, const char *key,
                           uint64_t version, const char *value, size_t len,
                           mp_Time patience, StoreCallback fn, void *ud) {
  Stopen *o = g_new0(Stopen, 1);
  QueuedEffect *f = push(state, MP_FX_STORE);
  mp_StoreCall *s = &f->e.u.store;
  o->state = state;
  o->op = ++state->last_call_number;
  o->write = what == MP_ST_PUT;
  o->fn = fn;
  o->ud = ud;
  state_table_set(state->stores, o->op, o);
  timer_arm(&state->timers, &o->timer, state->now + patience, storelate, o);
  s->op = o->op;
  s->what = what;
  s->key = keepz(f, 0, key);
  s->version = version;
  s->value = keep(f, 1, value, len);
  s->len = len;
  state_count(state, STORE_CALLS);
  if (o->write)
    state_count(state, STORE_WRITES);
  return o->op;
}

static void freestore(void *p) {
  Stopen *o = p;
  timer_stop(&o->state->timers, &o->timer);
  g_free(o);
}

int effect_on_store_event(mp_State *state, const mp_StoreEvent *e) {
  Stopen *o = state_table_get(state->stores, e->op);
  StoreCallback fn;
  void *ud;
  int down = e->status == MP_STORE_DOWN || e->status == MP_STORE_UNKNOWN;
  if (o == NULL)
    return 0;
  fn = o->fn;
  ud = o->ud;
  state_table_remove(state->stores, e->op);
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
** Answers, logs
** ===================================================================
*/

void effect_caller_reply(mp_State *state, const mp_Reply *r) {
  QueuedEffect *f = push(state, MP_FX_REPLY);
  f->e.u.reply = *r;
  f->e.u.reply.text = keep(f, 0, r->text, r->len);
}

void effect_log(mp_State *state, mp_EventNo no, const char *fmt, ...) {
  QueuedEffect *f = push(state, MP_FX_LOG);
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
  push(state, MP_FX_DRAINED);
}

/* }================================================================== */

void effect_init(mp_State *state) {
  g_queue_init(&state->fx);
  g_queue_init(&state->loop);
  state->rpcs = state_table_new(freerpc);
  state->xcalls = state_table_new(g_free);
  state->stores = state_table_new(freestore);
}

void effect_free(mp_State *state) {
  QueuedEffect *f;
  g_hash_table_destroy(state->rpcs);
  g_hash_table_destroy(state->xcalls);
  g_hash_table_destroy(state->stores);
  while ((f = g_queue_pop_head(&state->fx)) != NULL)
    freefx(f);
  freefx(state->taken);
  g_queue_clear_full(&state->loop, g_free);
}
