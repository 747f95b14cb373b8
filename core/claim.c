/*
** claim.c
** Claims on request IDs
**
** The home's rows are soft, with two sources to rebuild them from: the
** holders, which announce what they claimed when the home changes, and
** for durable claims the shard's object in the platform. A new home
** grants nothing that it was not the home of before until it has heard
** them out (MP_HOME_SETTLE).
**
** Rows end by the monotonic clock of the home that saw them, never by a
** date: a wall clock that jumps frees nothing. Claims that must last are
** written by shard.c.
*/

#include <stdio.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "claim.h"
#include "fx.h"
#include "member.h"
#include "shard.h"

#define SHARD_KEY 0x7368617264ULL /* rendezvous key of shards */

/* a claim that this instance asked for */
typedef struct Asking {
  mp_State *state;
  uint64_t no;
  mp_Claim claim;
  mp_Time until;
  uint32_t rpc;
  Timer timer;
  ClaimCallback fn;
  void *ud;
} Asking;

/* what this instance holds, to announce to a new home */
typedef struct Mine {
  mp_Claim claim;
  mp_Ran ran;
  mp_Time until;
  mp_Addr home; /* that was told last */
} Mine;

struct Claims {
  GHashTable *rows;   /* id -> ClaimRow, where this instance is the home */
  GHashTable *asking; /* number -> Asking */
  GHashTable *mine;   /* id -> Mine */
  Timer tidy;
};

/*
** {==================================================================
** Rows and homes
** ===================================================================
*/

static guint idhash(gconstpointer p) {
  return (guint)(*(const uint64_t *)p);
}

gboolean claim_id_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, 2 * sizeof(uint64_t)) == 0;
}

void claim_make_id(const char *account, const char *key, uint64_t id[2]) {
  XXH3_state_t *s = XXH3_createState();
  XXH128_hash_t h;
  XXH3_128bits_reset(s);
  /* the zero byte between keeps ("a","bc") and ("ab","c") apart */
  XXH3_128bits_update(s, account, strlen(account) + 1);
  XXH3_128bits_update(s, key, strlen(key));
  h = XXH3_128bits_digest(s);
  XXH3_freeState(s);
  id[0] = h.low64;
  id[1] = h.high64;
}

unsigned claim_shard_of(const uint64_t id[2]) {
  return (unsigned)(id[1] % MP_CLAIM_SHARDS);
}

/* every ID has one data centre as home, whatever can be reached */
static const char *homedc(const mp_State *state, const uint64_t id[2]) {
  const char *win = NULL;
  uint64_t top = 0;
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->data_centres_count;
       i++) {
    const char *name = state->config->data_centres[i].name;
    uint64_t w = member_hash_weight(state_name_hash(name), id[0]);
    if (win == NULL || w > top) {
      win = name;
      top = w;
    }
  }
  return win;
}

static mp_Addr homeof(const mp_State *state, const uint64_t id[2]) {
  const char *dc = homedc(state, id);
  if (dc == NULL)
    return 0;
  return member_home(state, state_name_hash(dc),
                     SHARD_KEY + claim_shard_of(id));
}

/*
** Has this home heard all that was claimed under this ID? It has when it
** was the home before the last change of the set too, or when that change
** is long enough ago for every holder to have announced.
*/
static int settled(const mp_State *state, const uint64_t id[2]) {
  if (state->now - state->settled >= MP_HOME_SETTLE)
    return 1;
  return state->changes == 1 &&
         member_previous_home(state, SHARD_KEY + claim_shard_of(id)) ==
             state->self;
}

ClaimRow *claim_add_row(mp_State *state, const mp_Claim *c, mp_Ran ran) {
  ClaimRow *r = g_new0(ClaimRow, 1);
  memcpy(r->id, c->id, sizeof r->id);
  r->token = c->token;
  r->ran = ran;
  r->ttl_ms = c->ttl_ms;
  r->seen = state->now;
  g_hash_table_replace(state->claims->rows, r->id, r);
  return r;
}

ClaimRow *claim_find_row(const mp_State *state, const uint64_t id[2]) {
  return g_hash_table_lookup(state->claims->rows, id);
}

/* }================================================================== */

/*
** {==================================================================
** The home: answers
** ===================================================================
*/

void claim_answer(mp_State *state, mp_Addr from, const mp_Msg *call,
                  mp_Verdict v, mp_Ran ran) {
  mp_Msg a = {0};
  a.u.claim = call->u.claim;
  a.u.claim.verdict = (uint8_t)v;
  a.u.claim.ran = (uint8_t)ran;
  effect_rpc_reply(state, from, call, &a);
}

/* }================================================================== */

/*
** {==================================================================
** The home: messages
** ===================================================================
*/

/* a holder tells what it has; the first one to have it keeps it */
static void announced(mp_State *state, const mp_Claim *c) {
  ClaimRow *r = claim_find_row(state, c->id);
  if (r == NULL)
    claim_add_row(state, c, (mp_Ran)c->ran);
  else if (state_token_equal(&r->token, &c->token))
    r->ran = (mp_Ran)c->ran;
}

void claim_on_claim(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Claim *c = &m->u.claim;
  const char *dc = homedc(state, c->id);
  const ClaimRow *r;
  if (c->announce) {
    announced(state, c);
    claim_answer(state, from, m, MP_GRANTED, MP_RAN_UNKNOWN);
    return;
  }
  if (dc == NULL || homeof(state, c->id) != state->self) {
    claim_answer(state, from, m, MP_WRONG_HOME, MP_RAN_NO);
    return;
  }
  r = claim_find_row(state, c->id);
  if (r != NULL && state_token_equal(&r->token, &c->token) &&
      r->durable >= c->durable) {
    claim_answer(state, from, m, MP_GRANTED, MP_RAN_NO); /* sent again */
    return;
  }
  if (r != NULL && !state_token_equal(&r->token, &c->token)) {
    claim_answer(state, from, m, MP_DENIED, r->ran);
    return;
  }
  if (!settled(state, c->id)) {
    claim_answer(state, from, m, MP_QUEUED, MP_RAN_NO); /* ask again soon */
    return;
  }
  if (c->durable) {
    shard_claim(state, from, m, dc);
    return;
  }
  claim_add_row(state, c, MP_RAN_UNKNOWN);
  claim_answer(state, from, m, MP_GRANTED, MP_RAN_NO);
}

void claim_on_settle(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Settle *t = &m->u.settle;
  ClaimRow *r = claim_find_row(state, t->id);
  mp_Msg a = {0};
  if (r != NULL && state_token_equal(&r->token, &t->token)) {
    if (t->ran != MP_RAN_NO)
      r->ran = (mp_Ran)t->ran;
    else {
      /* free at once here; the object follows with its next write */
      shard_mark_freed(state, r);
      g_hash_table_remove(state->claims->rows, t->id);
    }
  }
  a.u.settle = *t;
  effect_rpc_reply(state, from, m, &a);
}

/* }================================================================== */

/*
** {==================================================================
** The holder
** ===================================================================
*/

static void askhome(mp_State *state, void *ud);

static void freeasking(void *p) {
  Asking *a = p;
  if (a->rpc != 0)
    effect_rpc_cancel(a->state, a->rpc);
  timer_stop(&a->state->timers, &a->timer);
  g_free(a);
}

/* 'home' is who granted: when another one is home by now, it is told */
static void conclude(mp_State *state, Asking *a, mp_Verdict v, mp_Ran ran,
                     mp_Addr home) {
  ClaimCallback fn = a->fn;
  void *ud = a->ud;
  if (v == MP_GRANTED) {
    Mine *mine = g_new0(Mine, 1);
    mine->claim = a->claim;
    mine->ran = MP_RAN_UNKNOWN;
    mine->until = state->now + (mp_Time)a->claim.ttl_ms * MP_MS;
    mine->home = home;
    g_hash_table_replace(state->claims->mine, mine->claim.id, mine);
    if (homeof(state, a->claim.id) != home)
      claim_on_homes_changed(state);
  } else if (v == MP_UNAVAILABLE)
    /* it may have been granted all the same: give it back */
    claim_settle(state, a->claim.id, &a->claim.token, MP_RAN_NO,
                 a->claim.durable);
  state_table_remove(state->claims->asking, a->no);
  fn(state, ud, v, ran);
}

static void verdict(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Asking *a = ud;
  mp_Verdict v = m != NULL ? (mp_Verdict)m->u.claim.verdict : MP_UNAVAILABLE;
  a->rpc = 0;
  if (m == NULL)
    member_mark_unresponsive(state, from);
  if (v == MP_GRANTED || v == MP_DENIED ||
      (v == MP_UNAVAILABLE && m != NULL)) {
    conclude(state, a, v, (mp_Ran)m->u.claim.ran, from);
    return;
  }
  /* no answer, another home, or one that settles: ask again */
  timer_arm(&state->timers, &a->timer, state->now + 2 * MP_RPC_WAIT, askhome,
            a);
}

static void askhome(mp_State *state, void *ud) {
  Asking *a = ud;
  mp_Addr home = homeof(state, a->claim.id);
  mp_Msg m = {0};
  if (state->now >= a->until) {
    conclude(state, a, MP_UNAVAILABLE, MP_RAN_NO, 0);
    return;
  }
  if (home == 0) {
    timer_arm(&state->timers, &a->timer, state->now + 2 * MP_RPC_WAIT, askhome,
              a);
    return;
  }
  m.kind = MP_MSG_CLAIM;
  m.u.claim = a->claim;
  a->rpc = effect_rpc_call(
      state, home, &m,
      a->claim.durable ? a->until - state->now : 8 * MP_RPC_WAIT, verdict, a);
}

uint64_t claim_request(mp_State *state, const uint64_t id[2],
                       const mp_Token *t, mp_Time ttl, int durably,
                       ClaimCallback fn, void *ud) {
  Asking *a = g_new0(Asking, 1);
  a->state = state;
  a->no = ++state->last_call_number;
  memcpy(a->claim.id, id, sizeof a->claim.id);
  a->claim.token = *t;
  a->claim.ttl_ms = (uint32_t)(ttl / MP_MS);
  a->claim.durable = (uint8_t)(durably != 0);
  a->until = state->now + MP_STORE_TIMEOUT + MP_HOME_SETTLE;
  a->fn = fn;
  a->ud = ud;
  state_table_set(state->claims->asking, a->no, a);
  askhome(state, a);
  return a->no;
}

void claim_cancel_request(mp_State *state, uint64_t asking) {
  state_table_remove(state->claims->asking, asking);
}

static void settledone(mp_State *state, void *ud, mp_Addr from,
                       const mp_Msg *m) {
  (void)state;
  (void)ud;
  (void)from;
  (void)m; /* a lost one leaves the ID taken until its time is over */
}

void claim_settle(mp_State *state, const uint64_t id[2], const mp_Token *t,
                  mp_Ran ran, int durably) {
  mp_Addr home = homeof(state, id);
  Mine *mine = g_hash_table_lookup(state->claims->mine, id);
  mp_Msg m = {0};
  if (mine != NULL && state_token_equal(&mine->claim.token, t)) {
    mine->ran = ran;
    if (ran == MP_RAN_NO)
      g_hash_table_remove(state->claims->mine, id);
  }
  if (home == 0)
    return;
  m.kind = MP_MSG_SETTLE;
  memcpy(m.u.settle.id, id, sizeof m.u.settle.id);
  m.u.settle.token = *t;
  m.u.settle.ran = (uint8_t)ran;
  m.u.settle.durable = (uint8_t)(durably != 0);
  effect_rpc_call(state, home, &m, MP_SEC, settledone, NULL);
}

static void announceto(mp_State *state, mp_Addr home, const mp_Claim *c,
                       mp_Ran ran) {
  mp_Msg m = {0};
  m.kind = MP_MSG_CLAIM;
  m.u.claim = *c;
  m.u.claim.announce = 1;
  m.u.claim.ran = (uint8_t)ran;
  effect_rpc_call(state, home, &m, MP_SEC, settledone, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Announcing, handing over, tidying
** ===================================================================
*/

static void announce(mp_State *state) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, state->claims->mine);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Mine *mine = v;
    mp_Addr home = homeof(state, mine->claim.id);
    if (state->now > mine->until) {
      g_hash_table_iter_remove(&it);
      continue;
    }
    if (home == 0 || home == mine->home)
      continue;
    mine->home = home;
    announceto(state, home, &mine->claim, mine->ran);
  }
}

static void tidy(mp_State *state, void *ud) {
  GHashTableIter it;
  gpointer v;
  (void)ud;
  announce(state);
  g_hash_table_iter_init(&it, state->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (state->now - r->seen <= (mp_Time)r->ttl_ms * MP_MS)
      continue;
    shard_mark_freed(state, r);
    g_hash_table_iter_remove(&it);
  }
  shard_write_freed(state);
  timer_arm(&state->timers, &state->claims->tidy,
            state->now + MP_HOME_SETTLE / 3, tidy, NULL);
}

void claim_on_homes_changed(mp_State *state) {
  if (state->claims != NULL) /* not while the state is being made */
    timer_arm(&state->timers, &state->claims->tidy, state->now, tidy, NULL);
}

unsigned claim_hand_over(mp_State *state) {
  GHashTableIter it;
  gpointer v;
  unsigned left = 0;
  g_hash_table_iter_init(&it, state->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    mp_Claim c = {0};
    mp_Addr home = homeof(state, r->id);
    if (home == 0 || home == state->self)
      continue; /* nobody is there to take it */
    memcpy(c.id, r->id, sizeof c.id);
    c.token = r->token;
    c.ttl_ms = r->ttl_ms;
    announceto(state, home, &c, r->ran);
    g_hash_table_iter_remove(&it);
    left++;
  }
  return left;
}

GHashTable *claim_rows(const mp_State *state) {
  return state->claims->rows;
}

unsigned claim_count(const mp_State *state) {
  return g_hash_table_size(state->claims->rows);
}

/* }================================================================== */

void claim_init(mp_State *state) {
  Claims *C = g_new0(Claims, 1);
  state->claims = C;
  C->rows = g_hash_table_new_full(idhash, claim_id_equal, NULL, g_free);
  C->mine = g_hash_table_new_full(idhash, claim_id_equal, NULL, g_free);
  C->asking = state_table_new(freeasking);
  shard_init(state);
  timer_arm(&state->timers, &C->tidy, state->now + MP_HOME_SETTLE / 3, tidy,
            NULL);
}

void claim_free(mp_State *state) {
  Claims *C = state->claims;
  g_hash_table_destroy(C->asking);
  g_hash_table_destroy(C->rows);
  g_hash_table_destroy(C->mine);
  shard_free(state);
  g_free(C);
}
