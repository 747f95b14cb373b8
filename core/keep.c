/*
** keep.c
** The keeper: reservations at the endpoints of this data centre
**
** Decode: a slot is promised while the holds in use are fewer than the
** slots, or when enough of them should end before the slot is needed.
** Prefill: work is granted a little ahead (MP_PREFILL_AHEAD) of what the
** engine computes, so that the order of the waiting is decided here.
** Waiting work goes by the latest moment at which it can start and still
** meet its target, which ages by itself.
*/

#include <string.h>

#include "cancel.h"
#include "fleet.h"
#include "fx.h"
#include "keep.h"
#include "member.h"

mp_Addr keeper_of_endpoint(const mp_State *state, const Endpoint *e) {
  return member_home(state, e->dc_hash, e->addr);
}

static int minetokeep(const mp_State *state, const Endpoint *e) {
  return e->dc_hash == state->dc_hash &&
         keeper_of_endpoint(state, e) == state->self;
}

static const mp_Policy *policy(const mp_State *state) {
  return state->config != NULL ? state->config->policy : NULL;
}

/* share of the slots promised ahead of their being free, at the most */
#define OVERBOOK 0.06

/* long prompts granted at once on one engine when long_cap is off */
#define LONGS_AHEAD 4

/*
** {==================================================================
** Holds
** ===================================================================
*/

static Hold *find(const mp_State *state, const mp_Token *t, uint32_t attempt,
                  mp_Addr ep) {
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    Hold *h = state->holds->pdata[i];
    if (h->endpoint == ep && h->attempt == attempt &&
        state_token_equal(&h->token, t))
      return h;
  }
  return NULL;
}

static void drop(mp_State *state, Hold *h) {
  g_ptr_array_remove_fast(state->holds, h); /* frees the row */
}

/* what is in use or promised at an endpoint */
typedef struct Use {
  unsigned busy;
  uint32_t tokens; /* of granted work, without long prompts */
  int longs;       /* prefill: long prompts among it */
  double ending;   /* decode: share of the busy that should end in time */
} Use;

static mp_Time tokentime(const Endpoint *e) {
  return e->rate > 0 ? (mp_Time)e->rate : MP_TOKEN_TIME;
}

static uint32_t prefillrate(const Endpoint *e) {
  return e->rate > 0 ? e->rate : MP_PREFILL_RATE;
}

/* chance that a running decode ends within 'soon' */
static double ends(const mp_State *state, const Endpoint *e, const Hold *h,
                   mp_Time soon) {
  mp_Time all = (mp_Time)h->tokens * tokentime(e);
  mp_Time gone = state->now - h->since;
  mp_Time left = all > gone ? all - gone : tokentime(e);
  return soon >= left ? 1.0 : (double)soon / (double)(left + all);
}

/*
** Engines honour priorities, so a long prompt yields to shorter ones and
** is no work ahead of them; long ones wait for each other.
*/
static int islong(const Hold *h) {
  return h->role == MP_ROLE_PREFILL && h->tokens >= MP_LONG_PROMPT;
}

static Use use(const mp_State *state, const Endpoint *e, mp_Time soon) {
  Use u = {0};
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    if (h->endpoint != e->addr || h->state != MP_HOLD_BUSY)
      continue;
    u.busy++;
    if (islong(h))
      u.longs++;
    else
      u.tokens += h->tokens;
    if (e->role == MP_ROLE_DECODE && soon > 0)
      u.ending += ends(state, e, h, soon);
  }
  return u;
}

/* a new keeper does not yet know every hold: it trusts the engine more */
static int rebuilding(const mp_State *state, const Endpoint *e) {
  const mp_Time *since = state_table_get(state->kept, e->addr);
  return since == NULL || state->now - *since < MP_RENEW_PERIOD + MP_SEC / 2;
}

/* may 'tokens' more start now? */
static int fits(const mp_State *state, const Endpoint *e, uint32_t tokens,
                mp_Time soon) {
  Use u = use(state, e, soon);
  if (e->role == MP_ROLE_DECODE) {
    double n = u.busy;
    if (rebuilding(state, e) && e->used > u.busy)
      n = e->used;
    return n - MIN(u.ending, e->slots * OVERBOOK) < (double)e->slots;
  }
  if (tokens >= MP_LONG_PROMPT)
    return policy(state)->long_cap ? u.longs == 0 : u.longs <= LONGS_AHEAD;
  if (u.tokens == 0)
    return 1;
  return (mp_Time)u.tokens * MP_SEC / prefillrate(e) < MP_PREFILL_AHEAD;
}

/* }================================================================== */

/*
** {==================================================================
** Estimates
** ===================================================================
*/

/* milliseconds until a newcomer that must start by 'latest' would start */
static uint32_t waitfor(const mp_State *state, const Endpoint *e,
                        mp_Time latest) {
  Use u = use(state, e, 0);
  uint64_t tokens = u.tokens;
  unsigned ahead = 0;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    if (h->endpoint != e->addr || h->state != MP_HOLD_WAIT)
      continue;
    if (policy(state)->slack_order && h->latest > latest)
      continue;
    if (islong(h))
      continue;
    ahead++;
    tokens += h->tokens;
  }
  if (e->role == MP_ROLE_PREFILL)
    return (uint32_t)(tokens * 1000 / prefillrate(e));
  if (u.busy == 0 || u.busy + ahead < e->slots)
    return 0;
  /* busy decodes end one after the other, evenly spread */
  {
    uint64_t each = (uint64_t)u.tokens / u.busy * (uint64_t)tokentime(e);
    return (uint32_t)(each * (ahead + 1) / MAX(e->slots, 1) / 1000);
  }
}

/* long prompts at a prefill engine, granted or waiting */
static uint32_t longs(const mp_State *state, const Endpoint *e) {
  uint32_t n = 0;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    n += h->endpoint == e->addr && h->state != MP_HOLD_KEPT && islong(h);
  }
  return n;
}

/* is the load worth telling the others? */
static int changed(const Endpoint *e, const Endpoint *was) {
  uint32_t d = e->wait > was->wait ? e->wait - was->wait : was->wait - e->wait;
  return e->used != was->used || e->slots != was->slots || d > 20 ||
         e->role != was->role || e->leaving != was->leaving ||
         e->down != was->down || e->stamp == 0;
}

/*
** Bring the endpoint's row up to date; 'was' is the row before the event.
** A new stamp goes out with the next probes, an unchanged row does not.
*/
static void observe(mp_State *state, Endpoint *e, const Endpoint *was) {
  e->wait = waitfor(state, e, INT64_MAX);
  e->used =
      e->role == MP_ROLE_DECODE ? use(state, e, 0).busy : longs(state, e);
  e->seen = state->now;
  e->reserved_since_load = 0;
  if (!changed(e, was))
    return;
  e->stamp++;
  e->told = 0;
}

/* }================================================================== */

/*
** {==================================================================
** Granting
** ===================================================================
*/

static void heard(mp_State *state, void *ud, mp_Addr from, const mp_Msg *m) {
  Hold *h;
  (void)ud;
  (void)from;
  if (m == NULL || m->u.reserve.verdict == MP_GRANTED)
    return;
  /* the holder does not want it any more */
  h = find(state, &m->u.reserve.token, m->u.reserve.attempt,
           m->u.reserve.endpoint);
  if (h != NULL)
    drop(state, h);
}

static void tell(mp_State *state, const Endpoint *e, const Hold *h,
                 mp_Verdict v) {
  mp_Msg m = {0};
  mp_Reserve *r = &m.u.reserve;
  m.kind = MP_MSG_GRANT;
  r->token = h->token;
  r->attempt = h->attempt;
  r->endpoint = e->addr;
  r->role = (uint8_t)h->role;
  r->verdict = (uint8_t)v;
  r->slots = e->slots;
  r->used = e->used;
  r->wait_ms = waitfor(state, e, INT64_MAX);
  effect_rpc_call(state, h->token.owner, &m, MP_LEASE / 2, heard, NULL);
}

/* the waiting hold that goes next: by slack, or first come */
static Hold *nextup(const mp_State *state, const Endpoint *e) {
  int slack = policy(state)->slack_order;
  Hold *win = NULL;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    Hold *h = state->holds->pdata[i];
    mp_Time a;
    mp_Time b;
    if (h->endpoint != e->addr || h->state != MP_HOLD_WAIT)
      continue;
    if (slack && !fits(state, e, h->tokens, h->needed - state->now))
      continue; /* a long one waits; shorter ones may pass */
    if (win == NULL) {
      win = h;
      continue;
    }
    a = slack ? h->latest : h->since;
    b = slack ? win->latest : win->since;
    if (a < b || (a == b && h->weight > win->weight))
      win = h;
  }
  return win;
}

/* those that can no longer start in time are told so at once */
static void denylate(mp_State *state, Endpoint *e) {
  guint i = 0;
  while (i < state->holds->len) {
    Hold *h = state->holds->pdata[i];
    if (h->endpoint == e->addr && h->state == MP_HOLD_WAIT &&
        state->now > h->latest) {
      tell(state, e, h, MP_DENIED);
      drop(state, h);
    } else
      i++;
  }
}

static void grant(mp_State *state, Hold *h) {
  h->state = MP_HOLD_BUSY;
  h->since = state->now;
  h->lease = state->now + MP_LEASE;
}

static void pump(mp_State *state, Endpoint *e, const Endpoint *was) {
  if (policy(state) == NULL)
    return;
  if (policy(state)->refuse_early)
    denylate(state, e);
  for (;;) {
    Hold *h = nextup(state, e);
    if (h == NULL || !fits(state, e, h->tokens, h->needed - state->now))
      break;
    grant(state, h);
    tell(state, e, h, MP_GRANTED);
  }
  observe(state, e, was);
}

/* }================================================================== */

/*
** {==================================================================
** Messages
** ===================================================================
*/

static Hold *addhold(mp_State *state, const mp_Token *t, uint32_t attempt,
                     const Endpoint *e, uint32_t tokens) {
  Hold *h = g_new0(Hold, 1);
  h->token = *t;
  h->attempt = attempt;
  h->endpoint = e->addr;
  h->role = e->role;
  h->tokens = tokens;
  h->since = state->now;
  h->latest = INT64_MAX;
  h->needed = state->now;
  h->lease = state->now + MP_QUEUE_LEASE;
  g_ptr_array_add(state->holds, h);
  return h;
}

static mp_Verdict consider(mp_State *state, Endpoint *e, mp_Reserve *r) {
  Hold *h = find(state, &r->token, r->attempt, r->endpoint);
  mp_Time latest = state->now + (mp_Time)r->slack_ms * MP_MS;
  if (h != NULL) /* sent again */
    return h->state == MP_HOLD_WAIT ? MP_QUEUED : MP_GRANTED;
  r->wait_ms = waitfor(state, e, latest);
  if (e->role == MP_ROLE_PREFILL && r->tokens >= MP_LONG_PROMPT)
    r->wait_ms += (uint32_t)((uint64_t)longs(state, e) * r->tokens * 1000 /
                             prefillrate(e));
  if (!fleet_is_open(state, e) || e->role != (mp_Role)r->role)
    return MP_DENIED;
  h = addhold(state, &r->token, r->attempt, e, r->tokens);
  h->weight = r->weight;
  h->latest = latest;
  h->needed = state->now + (mp_Time)r->start_ms * MP_MS;
  if (nextup(state, e) == h &&
      fits(state, e, r->tokens, (mp_Time)r->start_ms * MP_MS)) {
    grant(state, h);
    return MP_GRANTED;
  }
  if (policy(state)->refuse_early && r->wait_ms > r->slack_ms) {
    drop(state, h);
    return MP_DENIED;
  }
  return MP_QUEUED;
}

void keeper_on_reserve(mp_State *state, mp_Addr from, const mp_Msg *m) {
  Endpoint *e = fleet_get(state, m->u.reserve.endpoint);
  mp_Msg a = {0};
  mp_Reserve *r = &a.u.reserve;
  *r = m->u.reserve;
  if (e == NULL || policy(state) == NULL || !minetokeep(state, e))
    r->verdict = MP_WRONG_HOME;
  else {
    Endpoint was = *e;
    r->verdict = (uint8_t)consider(state, e, r);
    observe(state, e, &was);
    r->slots = e->slots;
    r->used = e->used;
    effect_log(state, r->verdict == MP_DENIED ? MP_LOG_DENY : MP_LOG_GRANT,
               " endpoint=%s seq=%08x attempt=%u verdict=%u wait_ms=%u",
               e->name, r->token.seq, r->attempt, r->verdict, r->wait_ms);
  }
  effect_rpc_reply(state, from, m, &a);
}

void keeper_on_renew(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Renew *n = &m->u.renew;
  unsigned i;
  if (from != n->owner)
    return;
  for (i = 0; i < n->n; i++) {
    const mp_Renewal *w = &n->row[i];
    Endpoint *e = fleet_get(state, w->endpoint);
    mp_Token t = {n->owner, n->start, w->seq};
    Hold *h;
    if (e == NULL || !minetokeep(state, e))
      continue;
    h = find(state, &t, w->attempt, w->endpoint);
    if (h == NULL)
      h = addhold(state, &t, w->attempt, e, w->tokens); /* rebuilt */
    if (w->state != MP_HOLD_WAIT)
      h->state = (mp_HoldState)w->state;
    h->lease = state->now + MP_LEASE;
  }
}

void keeper_on_release(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Release *r = &m->u.release;
  Endpoint *e = fleet_get(state, r->endpoint);
  Hold *h = find(state, &r->token, r->attempt, r->endpoint);
  if (from != r->token.owner)
    return;
  if (h != NULL && r->kept)
    h->state = MP_HOLD_KEPT;
  else if (h != NULL)
    drop(state, h);
  if (e != NULL && minetokeep(state, e)) {
    Endpoint was = *e;
    pump(state, e, &was);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Looking after the endpoints: load, leases, orphans
** ===================================================================
*/

static void expire(mp_State *state) {
  guint i = 0;
  while (i < state->holds->len) {
    Hold *h = state->holds->pdata[i];
    if (state->now > h->lease) {
      effect_log(state, MP_LOG_EXPIRE, " seq=%08x attempt=%u", h->token.seq,
                 h->attempt);
      drop(state, h);
    } else
      i++;
  }
}

/*
** Work at the endpoint that no reservation covers is cancelled after
** MP_ORPHAN_GRACE, counted from when this keeper first saw it: a live
** holder has renewed by then, whoever kept before.
*/
static void orphans(mp_State *state, const Endpoint *e,
                    const mp_LoadAnswer *l) {
  unsigned i;
  for (i = 0; i < l->nhold; i++) {
    const mp_HoldNews *w = &l->hold[i];
    char key[64];
    mp_Time *first;
    mp_token_text(&w->token, w->attempt, key);
    if (find(state, &w->token, w->attempt, e->addr) != NULL) {
      g_hash_table_remove(state->orphans, key);
      continue;
    }
    first = g_hash_table_lookup(state->orphans, key);
    if (first == NULL) {
      g_hash_table_insert(state->orphans, g_strdup(key),
                          g_memdup2(&state->now, sizeof state->now));
      continue;
    }
    if (state->now - *first < MP_ORPHAN_GRACE)
      continue;
    g_hash_table_remove(state->orphans, key);
    state_count(state, ORPHANS);
    effect_log(state, MP_LOG_ORPHAN, " endpoint=%s attempt=%s", e->name, key);
    cancel_start(state, e->addr, &w->token, w->attempt);
  }
}

/* a hold that ended by itself is not reported again */
static gboolean stale(gpointer key, gpointer value, gpointer ud) {
  const mp_State *state = ud;
  (void)key;
  return state->now - *(mp_Time *)value > 2 * MP_ORPHAN_GRACE;
}

void keeper_set_down(mp_State *state, Endpoint *e, int down) {
  if (e->down == down)
    return;
  e->down = down;
  effect_log(state, down ? MP_LOG_EP_DOWN : MP_LOG_EP_UP, " endpoint=%s",
             e->name);
}

/* an open load call; the endpoint's row may be gone when it ends */
typedef struct Loading {
  mp_State *state;
  mp_Addr ep;
  uint64_t xcall;
  Timer timer;
} Loading;

static void loadlate(mp_State *state, void *ud) {
  Loading *g = ud;
  Endpoint *e = fleet_get(state, g->ep);
  effect_endpoint_abort(state, g->xcall);
  if (e != NULL) {
    Endpoint was = *e;
    keeper_set_down(state, e, 1);
    observe(state, e, &was);
  }
  state_table_remove(state->open_load_calls, g->ep);
}

static void loaded(mp_State *state, void *ud, const mp_EndpointEvent *ev) {
  Loading *g = ud;
  Endpoint *e = fleet_get(state, g->ep);
  const mp_LoadAnswer *l = ev->what == MP_EP_DONE ? ev->load : NULL;
  Endpoint was;
  if (ev->what != MP_EP_DONE && ev->what != MP_EP_FAIL)
    return;
  state_table_remove(state->open_load_calls, g->ep);
  if (e == NULL)
    return;
  was = *e;
  keeper_set_down(state, e, l == NULL);
  if (l != NULL) {
    e->role = l->role;
    e->slots = l->slots;
    e->running = l->used;
    if (e->role == MP_ROLE_DECODE)
      e->used = l->used;
    e->rate = l->rate;
    if (l->leaving && !e->leaving) {
      e->leaving = 1;
      effect_log(state, MP_LOG_EP_LEAVING, " endpoint=%s", e->name);
    }
    orphans(state, e, l);
  }
  pump(state, e, &was);
}

static void freeloading(void *p) {
  Loading *g = p;
  timer_stop(&g->state->timers, &g->timer);
  g_free(g);
}

static void askload(mp_State *state, Endpoint *e) {
  Loading *g;
  mp_Xcall x = {0};
  if (state_table_get(state->open_load_calls, e->addr) != NULL)
    return;
  g = g_new0(Loading, 1);
  g->state = state;
  g->ep = e->addr;
  state_table_set(state->open_load_calls, e->addr, g);
  x.op = MP_X_LOAD;
  x.endpoint = e->addr;
  timer_arm(&state->timers, &g->timer, state->now + MP_LOAD_TIMEOUT, loadlate,
            g);
  g->xcall = effect_endpoint_call(state, &x, loaded, g);
}

static void lookafter(mp_State *state, void *ud) {
  guint i;
  (void)ud;
  expire(state);
  g_hash_table_foreach_remove(state->orphans, stale, state);
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (!minetokeep(state, e)) {
      state_table_remove(state->kept, e->addr);
      continue;
    }
    if (state_table_get(state->kept, e->addr) == NULL)
      state_table_set(state->kept, e->addr,
                      g_memdup2(&state->now, sizeof state->now));
    {
      Endpoint was = *e;
      pump(state, e, &was);
    }
    askload(state, e);
  }
  timer_arm(&state->timers, &state->load_poll_timer,
            state->now + MP_LOAD_PERIOD, lookafter, NULL);
}

/* }================================================================== */

void keeper_init(mp_State *state) {
  state->kept = state_table_new(g_free);
  state->open_load_calls = state_table_new(freeloading);
  state->orphans =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  timer_arm(&state->timers, &state->load_poll_timer,
            state->now + MP_LOAD_PERIOD, lookafter, NULL);
}

void keeper_free(mp_State *state) {
  g_hash_table_destroy(state->kept);
  g_hash_table_destroy(state->open_load_calls);
  g_hash_table_destroy(state->orphans);
}
