/*
** quota.c
** Limits of client accounts, by slices lent from the account's home
*/

#include <string.h>

#include "bucket.h"
#include "fx.h"
#include "member.h"
#include "quota.h"

/* a slice is at least this many requests, to spare messages */
#define SLICE_LEAST 2
/* slices a second that one instance asks for, about */
#define SLICES_PER_S 4

/* one that waits for a slice */
typedef struct Waiter {
  QuotaFn fn;
  void *ud;
} Waiter;

/* requests this instance may still admit for an account */
typedef struct Slice {
  mp_State *state;
  uint32_t account;
  mp_Account copy; /* limits only; names stay NULL */
  double left;
  mp_Time until;
  mp_Time denied; /* the home had nothing: not asked before */
  double recent;  /* requests a second, decaying */
  mp_Time at;     /* of 'recent' */
  uint32_t rpc;
  GArray *waiters; /* Waiter */
} Slice;

struct Quotas {
  GHashTable *slices;  /* hash of the account's name -> Slice */
  GHashTable *buckets; /* the same -> Bucket: the whole limit, at its home */
};

/*
** {==================================================================
** The home
** ===================================================================
*/

static const mp_Account *account(const mp_State *state, uint32_t hash) {
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->accounts_count;
       i++) {
    if (state_name_hash(state->config->accounts[i].name) == hash)
      return &state->config->accounts[i];
  }
  return NULL;
}

static mp_Addr homeof(const mp_State *state, uint32_t hash) {
  uint64_t top = 0;
  uint32_t dc = 0;
  unsigned i;
  for (i = 0; i < state->config->data_centres_count; i++) {
    uint32_t d = state_name_hash(state->config->data_centres[i].name);
    uint64_t w = member_hash_weight(d, hash);
    if (dc == 0 || w > top) {
      dc = d;
      top = w;
    }
  }
  return member_is_dc_reachable(state, dc) ? member_home(state, dc, hash) : 0;
}

static void refill(const mp_State *state, Bucket *b, const mp_Account *a) {
  bucket_refill(b, a->requests_per_s, (double)a->requests_per_s + a->burst,
                state->now);
}

void quota_handle_message(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Account *a = account(state, m->u.quota.account);
  mp_Msg r = {0};
  Bucket *b;
  r.u.quota = m->u.quota;
  if (a == NULL || homeof(state, m->u.quota.account) != state->self) {
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
  refill(state, b, a);
  r.u.quota.given = (uint32_t)MIN((double)m->u.quota.want, b->level);
  b->level -= r.u.quota.given;
  r.u.quota.for_ms = MP_SLICE_TIME / MP_MS;
  r.u.quota.verdict = r.u.quota.given > 0 ? MP_GRANTED : MP_DENIED;
  effect_rpc_reply(state, from, m, &r);
}

/* }================================================================== */

/*
** {==================================================================
** The borrower
** ===================================================================
*/

static void freeslice(void *p) {
  Slice *s = p;
  g_array_unref(s->waiters);
  g_free(s);
}

static Slice *slice(mp_State *state, const mp_Account *a) {
  uint32_t h = state_name_hash(a->name);
  Slice *s = state_table_get(state->quotas->slices, h);
  if (s == NULL) {
    s = g_new0(Slice, 1);
    s->state = state;
    s->account = h;
    s->waiters = g_array_new(FALSE, FALSE, sizeof(Waiter));
    state_table_set(state->quotas->slices, h, s);
  }
  s->copy.requests_per_s = a->requests_per_s;
  s->copy.burst = a->burst;
  return s;
}

static void serve(mp_State *state, Slice *s) {
  while (s->waiters->len > 0) {
    Waiter w = g_array_index(s->waiters, Waiter, 0);
    int ok = s->left >= 1;
    g_array_remove_index(s->waiters, 0);
    if (ok)
      s->left -= 1;
    w.fn(state, w.ud, ok);
  }
}

static void lent(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Slice *s = ud;
  const mp_Quota *q = m != NULL ? &m->u.quota : NULL;
  s->rpc = 0;
  if (q == NULL)
    member_mark_unresponsive(state, from);
  if (q == NULL || q->verdict == MP_WRONG_HOME) {
    /* the home is out of reach: an even share of the limit */
    double share = (double)s->copy.requests_per_s / member_count(state, 1);
    s->left = MAX(1.0, share);
    s->until = state->now + MP_SLICE_TIME;
  } else if (q->verdict == MP_GRANTED) {
    s->left = q->given;
    s->until = state->now + (mp_Time)q->for_ms * MP_MS;
  } else {
    s->left = 0;
    s->until = state->now;
    s->denied = state->now + MP_SEC / SLICES_PER_S;
  }
  serve(state, s);
}

static void borrow(mp_State *state, Slice *s) {
  int slices = state->config->policy->quota_slices;
  mp_Addr home = slices ? homeof(state, s->account) : 0;
  mp_Msg m = {0};
  double want = s->recent / SLICES_PER_S;
  if (home == 0) {
    lent(state, s, 0, NULL);
    return;
  }
  m.kind = MP_MSG_QUOTA;
  m.u.quota.account = s->account;
  m.u.quota.want = (uint32_t)MAX(want, s->waiters->len + SLICE_LEAST);
  s->rpc = effect_rpc_call(state, home, &m, 3 * MP_RPC_WAIT, lent, s);
}

/* requests a second of late, for the size of the next slice */
static void note(const mp_State *state, Slice *s) {
  double secs = (double)(state->now - s->at) / MP_SEC;
  s->recent = s->recent / (1 + secs) + 1;
  s->at = state->now;
}

int quota_admit(mp_State *state, const mp_Account *a, QuotaFn fn, void *ud) {
  Slice *s;
  Waiter w = {fn, ud};
  if (a->requests_per_s == 0)
    return 1;
  s = slice(state, a);
  note(state, s);
  if (s->until > state->now && s->left >= 1) {
    s->left -= 1;
    return 1;
  }
  if (s->denied > state->now)
    return 0;
  g_array_append_val(s->waiters, w);
  if (s->rpc == 0)
    borrow(state, s);
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
  state->quotas->slices = state_table_new(freeslice);
  state->quotas->buckets = state_table_new(g_free);
}

void quota_free(mp_State *state) {
  g_hash_table_destroy(state->quotas->slices);
  g_hash_table_destroy(state->quotas->buckets);
  g_free(state->quotas);
}
