/*
** state.c
** The state of one decision core: creating, feeding and inspecting it
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

/*
** A core that was fed no event for longer than this (us) counts as paused:
** what it knows about the other instances may be out of date.
*/
#define PAUSE_MIN (MP_PROBE_PERIOD + MP_SUSPECT_TIMEOUT / 2)

/*
** {==================================================================
** Helpers for all controllers
** ===================================================================
*/

uint32_t state_name_hash(const char *s) {
  uint32_t h = XXH32(s, strlen(s), 0);
  return h != 0 ? h : 1; /* 0 means "none" */
}

GHashTable *state_table_new(GDestroyNotify free_row) {
  return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_row);
}

void *state_table_get(GHashTable *t, uint64_t key) {
  return g_hash_table_lookup(t, &key);
}

void state_table_set(GHashTable *t, uint64_t key, void *row) {
  g_hash_table_replace(t, g_memdup2(&key, sizeof key), row);
}

void state_table_remove(GHashTable *t, uint64_t key) {
  g_hash_table_remove(t, &key);
}

int state_token_equal(const mp_Token *a, const mp_Token *b) {
  return a->owner == b->owner && a->start == b->start && a->seq == b->seq;
}

/* }================================================================== */

/*
** {==================================================================
** Creating and freeing
** ===================================================================
*/

static void free_request(void *p) {
  g_free(p); /* ending.c has freed what it owns */
}

static void create_tables(mp_State *state) {
  state->members = g_ptr_array_new_with_free_func(g_free);
  state->member_by_addr = state_table_new(NULL);
  state->endpoints = g_ptr_array_new_with_free_func(g_free);
  state->endpoint_by_addr = state_table_new(NULL);
  state->requests = g_ptr_array_new_with_free_func(free_request);
  state->request_by_call = state_table_new(NULL);
  state->request_by_seq = state_table_new(NULL);
  state->holds = g_ptr_array_new_with_free_func(g_free);
}

/* probe the instances that the settings name, except this one */
static void probe_seeds(mp_State *state, const mp_Options *o) {
  unsigned i;
  for (i = 0; i < o->nseed; i++) {
    mp_Msg m = {0};
    if (o->seeds[i] == state->self)
      continue;
    m.kind = MP_MSG_PROBE;
    m.u.probe.start = state->start;
    m.u.probe.dc = state->dc_hash;
    member_probe_seed(state, o->seeds[i], &m);
  }
}

mp_State *mp_new(const mp_Options *o, mp_Time now) {
  mp_State *state;
  if (o->self == 0 || o->dc == NULL || o->codec == NULL)
    return NULL;
  state = g_new0(mp_State, 1);
  state->now = now;
  state->self = o->self;
  g_strlcpy(state->dc, o->dc, sizeof state->dc);
  state->dc_hash = state_name_hash(o->dc);
  state->start = o->start;
  state->net = o->net;
  state->mask = o->mask;
  state->codec = o->codec;
  state->rand = g_rand_new_with_seed((guint32)(o->seed ^ (o->seed >> 32)));
  state->retry_budget_updated_at = now;
  effect_init(state);
  create_tables(state);
  member_init(state);
  document_init(state);
  keeper_init(state);
  cancel_init(state);
  claim_init(state);
  quota_init(state);
  link_init(state);
  holder_init(state);
  order_init(state);
  probe_seeds(state, o);
  return state;
}

void mp_free(mp_State *state) {
  if (state == NULL)
    return;
  while (state->requests->len > 0) {
    Request *r = state->requests->pdata[0];
    flow_hangup(state, r);
  }
  timer_free(&state->timers);
  order_free(state);
  link_free(state);
  quota_free(state);
  claim_free(state);
  cancel_free(state);
  keeper_free(state);
  document_free(state);
  member_free(state);
  g_hash_table_destroy(state->member_by_addr);
  g_hash_table_destroy(state->endpoint_by_addr);
  g_hash_table_destroy(state->request_by_call);
  g_hash_table_destroy(state->request_by_seq);
  g_ptr_array_unref(state->members);
  g_ptr_array_unref(state->endpoints);
  g_ptr_array_unref(state->requests);
  g_ptr_array_unref(state->holds);
  if (state->config != NULL)
    state->codec->free_config(state->config);
  key_table_free(state->keys);
  if (state->list != NULL)
    state->codec->free_list(state->list);
  effect_free(state);
  g_rand_free(state->rand);
  g_free(state);
}

/* }================================================================== */

/*
** {==================================================================
** Draining
** ===================================================================
*/

/*
** Timer function: ends the drain when no request and no unconfirmed cancel
** is left, MP_DRAIN_ADMIT_TIME has passed since the drain began, and all claim
** rows were sent to their new homes. Else it checks again after half a second.
** The linger is there because load balancers that lag still send calls.
*/
static void check_drained(mp_State *state, void *ud) {
  (void)ud;
  if (state->requests->len == 0 && cancel_pending_count(state) == 0 &&
      state->now - state->drain_started_at >= MP_DRAIN_ADMIT_TIME &&
      claim_hand_over(state) == 0) {
    effect_log(state, MP_LOG_DRAINED, "%s", "");
    effect_drained(state);
    return;
  }
  timer_arm(&state->timers, &state->drain_check_timer, state->now + MP_SEC / 2,
            check_drained, NULL);
}

/* does nothing when the drain has begun already */
static void start_drain(mp_State *state) {
  if (state->draining)
    return;
  state->drain_started_at = state->now;
  effect_log(state, MP_LOG_DRAIN, " requests=%u", state->requests->len);
  member_announce_leave(state);
  order_drop_lease(state);
  timer_arm(&state->timers, &state->drain_check_timer, state->now + MP_SEC / 2,
            check_drained, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Events
** ===================================================================
*/

/* a message from outside the set of instances is logged and dropped */
static void drop_untrusted(mp_State *state, mp_Addr from) {
  char a[24];
  mp_addr_text(from, a);
  state_count(state, STRANGERS);
  effect_log(state, MP_LOG_STRANGER, " from=%s", a);
}

static void handle_message(mp_State *state, mp_Addr from, const mp_Msg *m) {
  if (m->reply) {
    member_mark_responsive(state, from);
    effect_on_rpc_reply(state, from, m);
    return;
  }
  switch (m->kind) {
  case MP_MSG_PROBE:
    member_on_probe(state, from, m);
    break;
  case MP_MSG_PROBE_VIA:
    member_on_probe_via(state, from, m);
    break;
  case MP_MSG_RESERVE:
    keeper_on_reserve(state, from, m);
    break;
  case MP_MSG_GRANT:
    holder_on_grant(state, from, m);
    break;
  case MP_MSG_RENEW:
    keeper_on_renew(state, from, m);
    break;
  case MP_MSG_RELEASE:
    keeper_on_release(state, from, m);
    break;
  case MP_MSG_CLAIM:
    claim_on_claim(state, from, m);
    break;
  case MP_MSG_SETTLE:
    claim_on_settle(state, from, m);
    break;
  case MP_MSG_QUOTA:
    quota_handle_message(state, from, m);
    break;
  case MP_MSG_FETCH:
    document_on_fetch(state, from, m);
    break;
  case MP_MSG_LOAD_DIGEST: /* from here on: messages of router/ alone */
  case MP_MSG_LOAD_NOTE:
  case MP_MSG_RELAY_HEARTBEAT:
  case MP_MSG_HEARTBEAT_REQUEST:
  case MP_MSG_LOAD_SUMMARY:
  case MP_MSG_CRASHES:
  case MP_MSG_CARRY:
  case MP_MSG_RATES:
  case MP_MSG_STREAM_ORIGIN:
  case MP_MSG_STREAM_QUERY:
  case MP_MSG_STREAM_REPLY:
  case MP_MSG_STREAM_RECORD:
  case MP_MSG_STREAM_RECORDED:
  case MP_MSG_LAST:
    break;
  }
}

static void handle_hangup(mp_State *state, uint64_t call) {
  Request *r = state_table_get(state->request_by_call, call);
  if (r != NULL)
    flow_hangup(state, r);
}

static void handle_event(mp_State *state, const mp_Event *e) {
  switch (e->kind) {
  case MP_EV_TICK:
    break;
  case MP_EV_CALL:
    admit_call(state, &e->u.call);
    break;
  case MP_EV_HANGUP:
    handle_hangup(state, e->u.hangup);
    break;
  case MP_EV_MSG:
    state_count(state, MSG_IN);
    if (member_is_trusted(state, e->u.msg.from))
      handle_message(state, e->u.msg.from, e->u.msg.msg);
    else
      drop_untrusted(state, e->u.msg.from);
    break;
  case MP_EV_ENDPOINT:
    if (!effect_on_endpoint_event(state, &e->u.endpoint))
      state_count(state, STALE); /* the attempt of this call is over */
    break;
  case MP_EV_STORE:
    effect_on_store_event(state, &e->u.store);
    break;
  case MP_EV_DRAIN:
    start_drain(state);
    break;
  }
}

/* handle the messages that this instance sent to itself, also new ones */
static void deliver_loopback(mp_State *state) {
  mp_Msg m;
  while (effect_take_loopback(state, &m))
    handle_message(state, state->self, &m);
}

void mp_feed(mp_State *state, mp_Time now, const mp_Event *e) {
  g_assert(now >= state->now);
  if (now - state->now > PAUSE_MIN) {
    state->now = now;
    /* before a timer or message acts on what is out of date */
    member_on_pause(state);
    order_paused(state);
  }
  state->now = now;
  timer_run(state, &state->timers, now);
  deliver_loopback(state);
  handle_event(state, e);
  deliver_loopback(state);
}

mp_Time mp_next_tick(const mp_State *state) {
  return timer_next(&state->timers);
}

/* }================================================================== */

/*
** {==================================================================
** Status and counters
** ===================================================================
*/

static const char *const counter_names[MP_C_COUNT] = {
#define X(sym, name) name,
    MP_COUNTERS(X)
#undef X
};

uint64_t mp_counter(const mp_State *state, mp_Counter c) {
  g_assert(c < MP_C_COUNT);
  return state->count[c];
}

const char *mp_counter_name(mp_Counter c) {
  g_assert(c < MP_C_COUNT);
  return counter_names[c];
}

void mp_status(const mp_State *state, mp_Status *out) {
  memset(out, 0, sizeof *out);
  out->config_version = state->doc[MP_DOC_CONFIG].version;
  out->list_version = state->doc[MP_DOC_LIST].version;
  out->requests = state->requests->len;
  out->holds = state->holds->len;
  out->claims = claim_count(state);
  out->members = member_count(state, 1);
  out->endpoints = state->endpoints->len;
  out->draining = state->draining;
  out->ready =
      state->config != NULL && state->list != NULL && !state->draining;
}

int mp_endpoint(const mp_State *state, unsigned i, mp_EndpointInfo *out) {
  const Endpoint *e;
  if (i >= state->endpoints->len)
    return 0;
  e = state->endpoints->pdata[i];
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
  out->ejected = e->ejected_until > state->now;
  out->keeper = keeper_of_endpoint(state, e);
  return 1;
}

int mp_member(const mp_State *state, unsigned i, mp_MemberInfo *out) {
  const Member *m;
  if (i >= state->members->len)
    return 0;
  m = state->members->pdata[i];
  out->addr = m->addr;
  out->start = m->start;
  out->state = m->state;
  out->config_version = m->doc[MP_DOC_CONFIG];
  return 1;
}

/* }================================================================== */
