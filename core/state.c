/*
** state.c
** The state of one decision core: making it, feeding it, looking in
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "admit.h"
#include "cancel.h"
#include "claim.h"
#include "doc.h"
#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "holder.h"
#include "keep.h"
#include "member.h"
#include "order.h"
#include "plan.h"
#include "quota.h"

/* a core that was not run this long was paused: others moved on */
#define PAUSED (MP_PROBE_PERIOD + MP_SUSPECT_TIME / 2)

/*
** {==================================================================
** Small helpers for all controllers
** ===================================================================
*/

uint32_t state_hash(const char *s) {
  uint32_t h = XXH32(s, strlen(s), 0);
  return h != 0 ? h : 1; /* 0 is "none" */
}

GHashTable *state_table(GDestroyNotify freerow) {
  return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, freerow);
}

void *state_get(GHashTable *t, uint64_t key) {
  return g_hash_table_lookup(t, &key);
}

void state_set(GHashTable *t, uint64_t key, void *row) {
  g_hash_table_replace(t, g_memdup2(&key, sizeof key), row);
}

void state_del(GHashTable *t, uint64_t key) {
  g_hash_table_remove(t, &key);
}

int state_sametoken(const mp_Token *a, const mp_Token *b) {
  return a->owner == b->owner && a->start == b->start && a->seq == b->seq;
}

/* }================================================================== */

/*
** {==================================================================
** Making and freeing
** ===================================================================
*/

static void freerequest(void *p) {
  g_free(p); /* what it owns was freed when its path ended */
}

static void tables(mp_State *M) {
  M->members = g_ptr_array_new_with_free_func(g_free);
  M->memberby = state_table(NULL);
  M->endpoints = g_ptr_array_new_with_free_func(g_free);
  M->endpointby = state_table(NULL);
  M->requests = g_ptr_array_new_with_free_func(freerequest);
  M->requestby = state_table(NULL);
  M->requestseq = state_table(NULL);
  M->holds = g_ptr_array_new_with_free_func(g_free);
}

static void seed(mp_State *M, const mp_Options *o) {
  unsigned i;
  for (i = 0; i < o->nseed; i++) {
    mp_Msg m = {0};
    if (o->seeds[i] == M->self)
      continue;
    m.kind = MP_MSG_PROBE;
    m.u.probe.start = M->start;
    m.u.probe.dc = M->dchash;
    member_seed(M, o->seeds[i], &m);
  }
}

mp_State *mp_new(const mp_Options *o, mp_Time now) {
  mp_State *M;
  if (o->self == 0 || o->dc == NULL || o->codec == NULL)
    return NULL;
  M = g_new0(mp_State, 1);
  M->now = now;
  M->self = o->self;
  g_strlcpy(M->dc, o->dc, sizeof M->dc);
  M->dchash = state_hash(o->dc);
  M->start = o->start;
  M->net = o->net;
  M->mask = o->mask;
  M->codec = o->codec;
  M->rand = g_rand_new_with_seed((guint32)(o->seed ^ (o->seed >> 32)));
  M->retryat = now;
  effect_init(M);
  tables(M);
  member_init(M);
  document_init(M);
  keeper_init(M);
  cancel_init(M);
  claim_init(M);
  quota_init(M);
  link_init(M);
  holder_init(M);
  order_init(M);
  seed(M, o);
  return M;
}

void mp_free(mp_State *M) {
  if (M == NULL)
    return;
  while (M->requests->len > 0) {
    Request *r = M->requests->pdata[0];
    flow_hangup(M, r);
  }
  timer_free(&M->timers);
  order_free(M);
  link_free(M);
  quota_free(M);
  claim_free(M);
  cancel_free(M);
  keeper_free(M);
  document_free(M);
  member_free(M);
  g_hash_table_destroy(M->memberby);
  g_hash_table_destroy(M->endpointby);
  g_hash_table_destroy(M->requestby);
  g_hash_table_destroy(M->requestseq);
  g_ptr_array_unref(M->members);
  g_ptr_array_unref(M->endpoints);
  g_ptr_array_unref(M->requests);
  g_ptr_array_unref(M->holds);
  if (M->config != NULL)
    M->codec->free_config(M->config);
  if (M->list != NULL)
    M->codec->free_list(M->list);
  effect_free(M);
  g_rand_free(M->rand);
  g_free(M);
}

/* }================================================================== */

/*
** {==================================================================
** Draining
** ===================================================================
*/

/*
** Empty means: no caller, no cancel unconfirmed, the time for lagging
** balancers over, and the rows of claims told to their new homes.
*/
static void drained(mp_State *M, void *ud) {
  (void)ud;
  if (M->requests->len == 0 && cancel_open(M) == 0 &&
      M->now - M->drainsince >= MP_DRAIN_LINGER && claim_handover(M) == 0) {
    effect_log(M, MP_LOG_DRAINED, "%s", "");
    effect_drained(M);
    return;
  }
  timer_arm(&M->timers, &M->draintimer, M->now + MP_SEC / 2, drained, NULL);
}

static void drain(mp_State *M) {
  if (M->draining)
    return;
  M->drainsince = M->now;
  effect_log(M, MP_LOG_DRAIN, " requests=%u", M->requests->len);
  member_leave(M);
  order_release(M);
  timer_arm(&M->timers, &M->draintimer, M->now + MP_SEC / 2, drained, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Events
** ===================================================================
*/

static void stranger(mp_State *M, mp_Addr from) {
  char a[24];
  mp_addr_text(from, a);
  mpcount(M, STRANGERS);
  effect_log(M, MP_LOG_STRANGER, " from=%s", a);
}

static void message(mp_State *M, mp_Addr from, const mp_Msg *m) {
  if (m->reply) {
    member_heard(M, from);
    effect_gotreply(M, from, m);
    return;
  }
  switch (m->kind) {
  case MP_MSG_PROBE:
    member_probe(M, from, m);
    break;
  case MP_MSG_PROBE_VIA:
    member_probevia(M, from, m);
    break;
  case MP_MSG_RESERVE:
    keeper_reserve(M, from, m);
    break;
  case MP_MSG_GRANT:
    holder_ongrant(M, from, m);
    break;
  case MP_MSG_RENEW:
    keeper_renew(M, from, m);
    break;
  case MP_MSG_RELEASE:
    keeper_release(M, from, m);
    break;
  case MP_MSG_CLAIM:
    claim_onclaim(M, from, m);
    break;
  case MP_MSG_SETTLE:
    claim_onsettle(M, from, m);
    break;
  case MP_MSG_QUOTA:
    quota_onquota(M, from, m);
    break;
  case MP_MSG_FETCH:
    document_fetch(M, from, m);
    break;
  case MP_MSG_LOAD_DIGEST: /* between routers of another dialect */
  case MP_MSG_LAST:
    break;
  }
}

static void hangup(mp_State *M, uint64_t call) {
  Request *r = state_get(M->requestby, call);
  if (r != NULL)
    flow_hangup(M, r);
}

static void dispatch(mp_State *M, const mp_Event *e) {
  switch (e->kind) {
  case MP_EV_TICK:
    break;
  case MP_EV_CALL:
    admit_call(M, &e->u.call);
    break;
  case MP_EV_HANGUP:
    hangup(M, e->u.hangup);
    break;
  case MP_EV_MSG:
    mpcount(M, MSG_IN);
    if (member_trusted(M, e->u.msg.from))
      message(M, e->u.msg.from, e->u.msg.msg);
    else
      stranger(M, e->u.msg.from);
    break;
  case MP_EV_ENDPOINT:
    if (!effect_gotxcall(M, &e->u.endpoint))
      mpcount(M, STALE); /* of an attempt that is over */
    break;
  case MP_EV_STORE:
    effect_gotstore(M, &e->u.store);
    break;
  case MP_EV_DRAIN:
    drain(M);
    break;
  }
}

/* what this instance sent to itself is handled before it waits again */
static void loop(mp_State *M) {
  mp_Msg m;
  while (effect_looped(M, &m))
    message(M, M->self, &m);
}

void mp_feed(mp_State *M, mp_Time now, const mp_Event *e) {
  g_assert(now >= M->now);
  if (now - M->now > PAUSED) {
    M->now = now;
    member_paused(M); /* before any timer or message acts on what is old */
    order_paused(M);
  }
  M->now = now;
  timer_run(M, &M->timers, now);
  loop(M);
  dispatch(M, e);
  loop(M);
}

mp_Time mp_wake(const mp_State *M) {
  return timer_next(&M->timers);
}

/* }================================================================== */

/*
** {==================================================================
** Looking in
** ===================================================================
*/

static const char *const counternames[MP_C_COUNT] = {
#define X(sym, name) name,
    MP_COUNTERS(X)
#undef X
};

uint64_t mp_counter(const mp_State *M, mp_Counter c) {
  g_assert(c < MP_C_COUNT);
  return M->count[c];
}

const char *mp_counter_name(mp_Counter c) {
  g_assert(c < MP_C_COUNT);
  return counternames[c];
}

void mp_status(const mp_State *M, mp_Status *out) {
  memset(out, 0, sizeof *out);
  out->config_version = M->doc[MP_DOC_CONFIG].version;
  out->list_version = M->doc[MP_DOC_LIST].version;
  out->requests = M->requests->len;
  out->holds = M->holds->len;
  out->claims = claim_count(M);
  out->members = member_count(M, 1);
  out->endpoints = M->endpoints->len;
  out->draining = M->draining;
  out->ready = M->config != NULL && M->list != NULL && !M->draining;
}

int mp_endpoint(const mp_State *M, unsigned i, mp_EndpointInfo *out) {
  const Endpoint *e;
  if (i >= M->endpoints->len)
    return 0;
  e = M->endpoints->pdata[i];
  out->addr = e->addr;
  out->name = e->name;
  out->dc = e->dc;
  out->service = e->service;
  out->role = e->role;
  out->slots = e->slots;
  out->used = e->used;
  out->wait_ms = e->wait;
  out->leaving = e->leaving || e->drained;
  out->down = e->down;
  out->ejected = e->ejected > M->now;
  out->keeper = keeper_keeper(M, e);
  return 1;
}

int mp_member(const mp_State *M, unsigned i, mp_MemberInfo *out) {
  const Member *m;
  if (i >= M->members->len)
    return 0;
  m = M->members->pdata[i];
  out->addr = m->addr;
  out->start = m->start;
  out->state = m->state;
  out->config_version = m->doc[MP_DOC_CONFIG];
  return 1;
}

/* }================================================================== */
