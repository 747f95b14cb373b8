/*
** claim.c
** Claims on request IDs: the home, and the holder of a claim
**
** The holder is the instance whose request has the ID. The home's rows are
** soft state. They are rebuilt from two sources: holders announce their
** claims when the home changes, and durable claims are in the platform's
** object of the shard. A new home grants no ID that it was not the home of
** before until MP_HOME_SETTLE_TIME is over, which gives the holders time to
** announce.
**
** A row ends ttl_ms after its home learned of it, by the home's monotonic
** clock and never by a date, so that a jump of the wall clock frees nothing.
** For a durable row this time starts again when the platform's object is read
** again. Durable claims are written by shard.c.
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

/* an open request for a claim */
typedef struct ClaimRequest {
  mp_State *state;
  uint64_t number;
  mp_Claim claim;
  mp_Time expires_at; /* no retry after this: the claim is unavailable */
  uint32_t rpc;       /* open call to the home; 0: none */
  Timer timer;
  ClaimCallback fn;
  void *ud;
} ClaimRequest;

/* a claim that this instance holds, to announce to a new home */
typedef struct HeldClaim {
  mp_Claim claim;
  mp_Ran ran;
  mp_Time expires_at;
  mp_Addr home; /* the last one that granted it or was told of it */
} HeldClaim;

struct Claims {
  GHashTable *rows;     /* id -> ClaimRow, where this instance is the home */
  GHashTable *requests; /* number -> ClaimRequest */
  GHashTable *held;     /* id -> HeldClaim */
  Timer timer;          /* of run_periodic */
};

/*
** {==================================================================
** Rows and homes
** ===================================================================
*/

static guint id_hash(gconstpointer p) {
  return (guint)(*(const uint64_t *)p);
}

gboolean claim_id_equal(gconstpointer a, gconstpointer b) {
  return memcmp(a, b, 2 * sizeof(uint64_t)) == 0;
}

void claim_make_id(const char *account, const char *key, uint64_t id[2]) {
  XXH3_state_t *s = XXH3_createState();
  XXH128_hash_t h;
  XXH3_128bits_reset(s);
  /* the zero byte between them makes ("a","bc") and ("ab","c") differ */
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

/*
** The name of the ID's home data centre: one of those configured, also when it
** is unreachable, so that an ID never has two. NULL without a configuration.
*/
static const char *home_dc(const mp_State *state, const uint64_t id[2]) {
  const char *best = NULL;
  uint64_t best_weight = 0;
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->data_centres_count;
       i++) {
    const char *name = state->config->data_centres[i].name;
    uint64_t w = member_hash_weight(state_name_hash(name), id[0]);
    if (best == NULL || w > best_weight) {
      best = name;
      best_weight = w;
    }
  }
  return best;
}

/* the ID's home; 0 when there is none now */
static mp_Addr home_of(const mp_State *state, const uint64_t id[2]) {
  const char *dc = home_dc(state, id);
  if (dc == NULL)
    return 0;
  return member_home(state, state_name_hash(dc),
                     SHARD_KEY + claim_shard_of(id));
}

/*
** Does this home know whether the ID is claimed? It does when it was the home
** before the last change of the live set too, or when that change was at least
** MP_HOME_SETTLE_TIME ago, so that every holder has announced.
*/
static int is_home_settled(const mp_State *state, const uint64_t id[2]) {
  if (state->now - state->set_changed_at >= MP_HOME_SETTLE_TIME)
    return 1;
  return state->set_change_count == 1 &&
         member_previous_home(state, SHARD_KEY + claim_shard_of(id)) ==
             state->self;
}

ClaimRow *claim_add_row(mp_State *state, const mp_Claim *c, mp_Ran ran) {
  ClaimRow *r = g_new0(ClaimRow, 1);
  memcpy(r->id, c->id, sizeof r->id);
  r->token = c->token;
  r->ran = ran;
  r->ttl_ms = c->ttl_ms;
  r->first_seen_at = state->now;
  g_hash_table_replace(state->claims->rows, r->id, r);
  return r;
}

ClaimRow *claim_find_row(const mp_State *state, const uint64_t id[2]) {
  return g_hash_table_lookup(state->claims->rows, id);
}

/* }================================================================== */

/*
** {==================================================================
** The home: replies
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

/* a holder announces its claim; the claim that is known first stays */
static void on_announcement(mp_State *state, const mp_Claim *c) {
  ClaimRow *r = claim_find_row(state, c->id);
  if (r == NULL)
    claim_add_row(state, c, (mp_Ran)c->ran);
  else if (state_token_equal(&r->token, &c->token))
    r->ran = (mp_Ran)c->ran;
}

void claim_on_claim(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Claim *c = &m->u.claim;
  const char *dc = home_dc(state, c->id);
  const ClaimRow *r;
  if (c->announce) {
    on_announcement(state, c);
    claim_answer(state, from, m, MP_GRANTED, MP_RAN_UNKNOWN);
    return;
  }
  if (dc == NULL || home_of(state, c->id) != state->self) {
    claim_answer(state, from, m, MP_WRONG_HOME, MP_RAN_NO);
    return;
  }
  r = claim_find_row(state, c->id);
  if (r != NULL && state_token_equal(&r->token, &c->token) &&
      r->durable >= c->durable) {
    /* the call was sent again */
    claim_answer(state, from, m, MP_GRANTED, MP_RAN_NO);
    return;
  }
  if (r != NULL && !state_token_equal(&r->token, &c->token)) {
    claim_answer(state, from, m, MP_DENIED, r->ran);
    return;
  }
  if (!is_home_settled(state, c->id)) {
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
      /* freed here at once; the platform's object with its next write */
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

static void ask_home(mp_State *state, void *ud);

static void free_request(void *p) {
  ClaimRequest *a = p;
  if (a->rpc != 0)
    effect_rpc_cancel(a->state, a->rpc);
  timer_stop(&a->state->timers, &a->timer);
  g_free(a);
}

/*
** End a request for a claim and call its callback. 'home' is the instance that
** granted; if the home changed since, the claim is announced to the new one.
** An unavailable claim may have been granted all the same, so it is released.
*/
static void finish_request(mp_State *state, ClaimRequest *a, mp_Verdict v,
                           mp_Ran ran, mp_Addr home) {
  ClaimCallback fn = a->fn;
  void *ud = a->ud;
  if (v == MP_GRANTED) {
    HeldClaim *held = g_new0(HeldClaim, 1);
    held->claim = a->claim;
    held->ran = MP_RAN_UNKNOWN;
    held->expires_at = state->now + (mp_Time)a->claim.ttl_ms * MP_MS;
    held->home = home;
    g_hash_table_replace(state->claims->held, held->claim.id, held);
    if (home_of(state, a->claim.id) != home)
      claim_on_homes_changed(state);
  } else if (v == MP_UNAVAILABLE)
    claim_settle(state, a->claim.id, &a->claim.token, MP_RAN_NO,
                 a->claim.durable);
  state_table_remove(state->claims->requests, a->number);
  fn(state, ud, v, ran);
}

/* reply to CLAIM, or NULL when none came */
static void on_claim_reply(mp_State *state, void *ud, mp_Addr from,
                           const mp_Msg *m) {
  ClaimRequest *a = ud;
  mp_Verdict v = m != NULL ? (mp_Verdict)m->u.claim.verdict : MP_UNAVAILABLE;
  a->rpc = 0;
  if (m == NULL)
    member_mark_unresponsive(state, from);
  if (v == MP_GRANTED || v == MP_DENIED ||
      (v == MP_UNAVAILABLE && m != NULL)) {
    finish_request(state, a, v, (mp_Ran)m->u.claim.ran, from);
    return;
  }
  /* no reply, not the home, or a home that is not settled: ask again */
  timer_arm(&state->timers, &a->timer, state->now + 2 * MP_RPC_RETRY_DELAY,
            ask_home, a);
}

/* timer function: ask the home, or end the request when its time is over */
static void ask_home(mp_State *state, void *ud) {
  ClaimRequest *a = ud;
  mp_Addr home = home_of(state, a->claim.id);
  mp_Msg m = {0};
  if (state->now >= a->expires_at) {
    finish_request(state, a, MP_UNAVAILABLE, MP_RAN_NO, 0);
    return;
  }
  if (home == 0) {
    timer_arm(&state->timers, &a->timer, state->now + 2 * MP_RPC_RETRY_DELAY,
              ask_home, a);
    return;
  }
  m.kind = MP_MSG_CLAIM;
  m.u.claim = a->claim;
  a->rpc = effect_rpc_call(state, home, &m,
                           a->claim.durable ? a->expires_at - state->now
                                            : 8 * MP_RPC_RETRY_DELAY,
                           on_claim_reply, a);
}

uint64_t claim_request(mp_State *state, const uint64_t id[2],
                       const mp_Token *t, mp_Time ttl, int durable,
                       ClaimCallback fn, void *ud) {
  ClaimRequest *a = g_new0(ClaimRequest, 1);
  a->state = state;
  a->number = ++state->last_call_number;
  memcpy(a->claim.id, id, sizeof a->claim.id);
  a->claim.token = *t;
  a->claim.ttl_ms = (uint32_t)(ttl / MP_MS);
  a->claim.durable = (uint8_t)(durable != 0);
  a->expires_at = state->now + MP_STORE_TIMEOUT + MP_HOME_SETTLE_TIME;
  a->fn = fn;
  a->ud = ud;
  state_table_set(state->claims->requests, a->number, a);
  ask_home(state, a);
  return a->number;
}

void claim_cancel_request(mp_State *state, uint64_t number) {
  state_table_remove(state->claims->requests, number);
}

/* replies to SETTLE and announcements only stop their being sent again. A lost
** SETTLE leaves the ID taken until its time is over */
static void ignore_reply(mp_State *state, void *ud, mp_Addr from,
                         const mp_Msg *m) {
  (void)state;
  (void)ud;
  (void)from;
  (void)m;
}

void claim_settle(mp_State *state, const uint64_t id[2], const mp_Token *t,
                  mp_Ran ran, int durable) {
  mp_Addr home = home_of(state, id);
  HeldClaim *held = g_hash_table_lookup(state->claims->held, id);
  mp_Msg m = {0};
  if (held != NULL && state_token_equal(&held->claim.token, t)) {
    held->ran = ran;
    if (ran == MP_RAN_NO)
      g_hash_table_remove(state->claims->held, id);
  }
  if (home == 0)
    return;
  m.kind = MP_MSG_SETTLE;
  memcpy(m.u.settle.id, id, sizeof m.u.settle.id);
  m.u.settle.token = *t;
  m.u.settle.ran = (uint8_t)ran;
  m.u.settle.durable = (uint8_t)(durable != 0);
  effect_rpc_call(state, home, &m, MP_SEC, ignore_reply, NULL);
}

/* tell 'home' of a claim that another home granted */
static void send_announcement(mp_State *state, mp_Addr home, const mp_Claim *c,
                              mp_Ran ran) {
  mp_Msg m = {0};
  m.kind = MP_MSG_CLAIM;
  m.u.claim = *c;
  m.u.claim.announce = 1;
  m.u.claim.ran = (uint8_t)ran;
  effect_rpc_call(state, home, &m, MP_SEC, ignore_reply, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Announcing, handing over, dropping old rows
** ===================================================================
*/

/* announce each claim held here whose home has changed */
static void announce_held(mp_State *state) {
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init(&it, state->claims->held);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    HeldClaim *held = v;
    mp_Addr home = home_of(state, held->claim.id);
    if (state->now > held->expires_at) {
      g_hash_table_iter_remove(&it);
      continue;
    }
    if (home == 0 || home == held->home)
      continue;
    held->home = home;
    send_announcement(state, home, &held->claim, held->ran);
  }
}

/* timer function: announce, drop the rows whose time is over, and have their
** shards written; runs each third of MP_HOME_SETTLE_TIME, and at once when the
** set of live instances changed */
static void run_periodic(mp_State *state, void *ud) {
  GHashTableIter it;
  gpointer v;
  (void)ud;
  announce_held(state);
  g_hash_table_iter_init(&it, state->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    if (state->now - r->first_seen_at <= (mp_Time)r->ttl_ms * MP_MS)
      continue;
    shard_mark_freed(state, r);
    g_hash_table_iter_remove(&it);
  }
  shard_write_freed(state);
  timer_arm(&state->timers, &state->claims->timer,
            state->now + MP_HOME_SETTLE_TIME / 3, run_periodic, NULL);
}

void claim_on_homes_changed(mp_State *state) {
  if (state->claims != NULL) /* NULL while the state is being created */
    timer_arm(&state->timers, &state->claims->timer, state->now, run_periodic,
              NULL);
}

unsigned claim_hand_over(mp_State *state) {
  GHashTableIter it;
  gpointer v;
  unsigned sent = 0;
  g_hash_table_iter_init(&it, state->claims->rows);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    const ClaimRow *r = v;
    mp_Claim c = {0};
    mp_Addr home = home_of(state, r->id);
    if (home == 0 || home == state->self)
      continue; /* no other instance can take it */
    memcpy(c.id, r->id, sizeof c.id);
    c.token = r->token;
    c.ttl_ms = r->ttl_ms;
    send_announcement(state, home, &c, r->ran);
    g_hash_table_iter_remove(&it);
    sent++;
  }
  return sent;
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
  C->rows = g_hash_table_new_full(id_hash, claim_id_equal, NULL, g_free);
  C->held = g_hash_table_new_full(id_hash, claim_id_equal, NULL, g_free);
  C->requests = state_table_new(free_request);
  shard_init(state);
  timer_arm(&state->timers, &C->timer, state->now + MP_HOME_SETTLE_TIME / 3,
            run_periodic, NULL);
}

void claim_free(mp_State *state) {
  Claims *C = state->claims;
  g_hash_table_destroy(C->requests);
  g_hash_table_destroy(C->rows);
  g_hash_table_destroy(C->held);
  shard_free(state);
  g_free(C);
}
