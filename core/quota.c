/*
** quota.c
** Request limits of client accounts, shared by all instances
*/

#include <string.h>

#include "bucket.h"
#include "fx.h"
#include "member.h"
#include "quota.h"

/*
** An instance asks for at least this many requests beyond those that wait, to
** save messages.
*/
#define SLICE_REQUESTS_MIN 2
/*
** Slices that one instance asks for in a second, about. A slice is sized for
** the requests of 1 s divided by this at the recent rate, and a refusal holds
** for that time.
*/
#define SLICE_ASKS_PER_S 4

/* A request that waits for a slice. */
typedef struct Waiter {
  QuotaFn fn;
  void *ud;
} Waiter;

/* The requests that this instance may still admit for one account. */
typedef struct Slice {
  mp_State *state;
  uint32_t account;     /* hash of the account's name */
  mp_Account limits;    /* only the rate and the burst are set */
  double remaining;     /* requests */
  mp_Time valid_until;  /* 'remaining' counts before this time only */
  mp_Time denied_until; /* the home had nothing: not asked again before */
  double recent_per_s;  /* requests a second, older ones counting less */
  mp_Time at;           /* when 'recent_per_s' was updated */
  uint32_t rpc;         /* open call to the home, 0: none */
  GArray *waiters;      /* Waiter */
} Slice;

struct Quotas {
  GHashTable *slices;  /* hash of the account's name -> Slice */
  GHashTable *buckets; /* the same -> Bucket of the whole limit, at its home */
};

/*
** {==================================================================
** The home
** ===================================================================
*/

/* Returns the configured account with this hash of its name, or NULL. */
static const mp_Account *find_account(const mp_State *state, uint32_t hash) {
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->accounts_count;
       i++) {
    if (state_name_hash(state->config->accounts[i].name) == hash)
      return &state->config->accounts[i];
  }
  return NULL;
}

/*
** Returns the account's home: a rendezvous hash picks one of the configured
** data centres, then one of its live instances. 0 when that data centre or the
** home is out of reach.
*/
static mp_Addr home_of(const mp_State *state, uint32_t hash) {
  uint64_t best_weight = 0;
  uint32_t dc = 0;
  unsigned i;
  for (i = 0; i < state->config->data_centres_count; i++) {
    uint32_t d = state_name_hash(state->config->data_centres[i].name);
    uint64_t w = member_hash_weight(d, hash);
    if (dc == 0 || w > best_weight) {
      dc = d;
      best_weight = w;
    }
  }
  return member_is_dc_reachable(state, dc) ? member_home(state, dc, hash) : 0;
}

static void refill_bucket(const mp_State *state, Bucket *b,
                          const mp_Account *a) {
  bucket_refill(b, a->requests_per_s, (double)a->requests_per_s + a->burst,
                state->now);
}

void quota_handle_message(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Account *a = find_account(state, m->u.quota.account);
  mp_Msg r = {0};
  Bucket *b;
  r.u.quota = m->u.quota;
  if (a == NULL || home_of(state, m->u.quota.account) != state->self) {
    r.u.quota.verdict = MP_WRONG_HOME;
    effect_rpc_reply(state, from, m, &r);
    return;
  }
  b = state_table_get(state->quotas->buckets, m->u.quota.account);
  if (b == NULL) {
    b = g_new0(Bucket, 1);
    b->level = a->requests_per_s; /* a new home starts without the burst */
    b->at = state->now;
    state_table_set(state->quotas->buckets, m->u.quota.account, b);
  }
  refill_bucket(state, b, a);
  r.u.quota.given = (uint32_t)MIN((double)m->u.quota.want, b->level);
  b->level -= r.u.quota.given;
  r.u.quota.for_ms = MP_QUOTA_SLICE_TIME / MP_MS;
  r.u.quota.verdict = r.u.quota.given > 0 ? MP_GRANTED : MP_DENIED;
  effect_rpc_reply(state, from, m, &r);
}

/* }================================================================== */

/*
** {==================================================================
** Instances that admit requests
** ===================================================================
*/

static void free_slice(void *p) {
  Slice *s = p;
  g_array_unref(s->waiters);
  g_free(s);
}

/*
** Returns the account's slice, with its limits brought up to date; an empty
** one is added when there is none.
*/
static Slice *get_slice(mp_State *state, const mp_Account *a) {
  uint32_t h = state_name_hash(a->name);
  Slice *s = state_table_get(state->quotas->slices, h);
  if (s == NULL) {
    s = g_new0(Slice, 1);
    s->state = state;
    s->account = h;
    s->waiters = g_array_new(FALSE, FALSE, sizeof(Waiter));
    state_table_set(state->quotas->slices, h, s);
  }
  s->limits.requests_per_s = a->requests_per_s;
  s->limits.burst = a->burst;
  return s;
}

/*
** Admits the waiting requests, in order, as far as the slice reaches, and
** refuses the others.
*/
static void answer_waiters(mp_State *state, Slice *s) {
  while (s->waiters->len > 0) {
    Waiter w = g_array_index(s->waiters, Waiter, 0);
    int is_admitted = s->remaining >= 1;
    g_array_remove_index(s->waiters, 0);
    if (is_admitted)
      s->remaining -= 1;
    w.fn(state, w.ud, is_admitted);
  }
}

/*
** Handles the home's answer. 'm' is NULL when the home did not answer, or,
** with 'from' 0, when there was none to ask.
*/
static void on_slice_answer(mp_State *state, void *ud, mp_Addr from,
                            const mp_Msg *m) {
  Slice *s = ud;
  const mp_Quota *q = m != NULL ? &m->u.quota : NULL;
  s->rpc = 0;
  if (q == NULL)
    member_mark_unresponsive(state, from);
  if (q == NULL || q->verdict == MP_WRONG_HOME) {
    /*
    ** Without its home an account gets an even share of its limit: the rate
    ** over the number of live instances in all data centres, but at least 1.
    */
    double share = (double)s->limits.requests_per_s / member_count(state, 1);
    s->remaining = MAX(1.0, share);
    s->valid_until = state->now + MP_QUOTA_SLICE_TIME;
  } else if (q->verdict == MP_GRANTED) {
    s->remaining = q->given;
    s->valid_until = state->now + (mp_Time)q->for_ms * MP_MS;
  } else {
    s->remaining = 0;
    s->valid_until = state->now;
    s->denied_until = state->now + MP_SEC / SLICE_ASKS_PER_S;
  }
  answer_waiters(state, s);
}

/*
** Asks the home for a slice. Without a home, or with the policy 'quota_slices'
** off, the even share is taken at once.
*/
static void request_slice(mp_State *state, Slice *s) {
  int use_slices = state->config->policy->quota_slices;
  mp_Addr home = use_slices ? home_of(state, s->account) : 0;
  mp_Msg m = {0};
  double want = s->recent_per_s / SLICE_ASKS_PER_S;
  if (home == 0) {
    on_slice_answer(state, s, 0, NULL);
    return;
  }
  m.kind = MP_MSG_QUOTA;
  m.u.quota.account = s->account;
  m.u.quota.want = (uint32_t)MAX(want, s->waiters->len + SLICE_REQUESTS_MIN);
  s->rpc = effect_rpc_call(state, home, &m, 3 * MP_RPC_RETRY_DELAY,
                           on_slice_answer, s);
}

/* Counts a request in 'recent_per_s', which sizes the next slice. */
static void update_recent(const mp_State *state, Slice *s) {
  double seconds = (double)(state->now - s->at) / MP_SEC;
  s->recent_per_s = s->recent_per_s / (1 + seconds) + 1;
  s->at = state->now;
}

int quota_admit(mp_State *state, const mp_Account *a, QuotaFn fn, void *ud) {
  Slice *s;
  Waiter w = {fn, ud};
  if (a->requests_per_s == 0)
    return 1;
  s = get_slice(state, a);
  update_recent(state, s);
  if (s->valid_until > state->now && s->remaining >= 1) {
    s->remaining -= 1;
    return 1;
  }
  if (s->denied_until > state->now)
    return 0;
  g_array_append_val(s->waiters, w);
  if (s->rpc == 0)
    request_slice(state, s);
  return -1;
}

void quota_cancel_wait(mp_State *state, void *ud) {
  GHashTableIter it;
  gpointer v;
  guint i;
  g_hash_table_iter_init(&it, state->quotas->slices);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Slice *s = v;
    for (i = 0; i < s->waiters->len; i++) {
      if (g_array_index(s->waiters, Waiter, i).ud != ud)
        continue;
      g_array_remove_index(s->waiters, i);
      return;
    }
  }
}

/* }================================================================== */

void quota_init(mp_State *state) {
  state->quotas = g_new0(Quotas, 1);
  state->quotas->slices = state_table_new(free_slice);
  state->quotas->buckets = state_table_new(g_free);
}

void quota_free(mp_State *state) {
  g_hash_table_destroy(state->quotas->slices);
  g_hash_table_destroy(state->quotas->buckets);
  g_free(state->quotas);
}
