/*
** keep.c
** The keeper of an endpoint: grants reservations and polls the load
**
** The table of holds has one row (Hold) for each reservation at an endpoint
** that this instance keeps.
**
** Decode: from the number of granted holds, that of the decodes expected to
** end before the slot is needed is subtracted, at most OVERBOOK_SHARE_MAX of
** all slots. A slot is granted while the result is below the number of slots.
** With all slots granted, any expectation above 0 thus suffices for one more.
**
** Prefill: a prompt shorter than MP_LONG_PROMPT_MIN is granted while the
** granted prompts that are shorter than that too take the engine less than
** MP_PREFILL_AHEAD. This bound is small so that the order of waiting work is
** decided here and not by the engine. Whether a long prompt is granted depends
** only on the number of long prompts that are granted there.
**
** With the policy 'slack_order' on, waiting work is ordered by the last moment
** at which it can start and still meet its target; since that moment is
** absolute, work that waits long moves up by itself. With it off, work is
** granted in the order in which it was queued.
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

/* is this instance the endpoint's keeper? */
static int is_kept_here(const mp_State *state, const Endpoint *e) {
  return e->dc_hash == state->dc_hash &&
         keeper_of_endpoint(state, e) == state->self;
}

/* the policy in force, or NULL */
static const mp_Policy *policy(const mp_State *state) {
  return state->config != NULL ? state->config->policy : NULL;
}

/* how many slots may be granted because decodes are expected to end, at most,
** as a share of all slots */
#define OVERBOOK_SHARE_MAX 0.06

/* with the policy 'long_cap' off, another long prompt is granted on an engine
** while at most this many are granted there; with it on, only while none is */
#define LONG_PROMPTS_AHEAD_MAX 4

/*
** {==================================================================
** Holds
** ===================================================================
*/

/* the hold of an attempt at an endpoint, or NULL */
static Hold *find_hold(const mp_State *state, const mp_Token *t,
                       uint32_t attempt, mp_Addr ep) {
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    Hold *h = state->holds->pdata[i];
    if (h->endpoint == ep && h->attempt == attempt &&
        state_token_equal(&h->token, t))
      return h;
  }
  return NULL;
}

static void drop_hold(mp_State *state, Hold *h) {
  g_ptr_array_remove_fast(state->holds, h); /* frees the row */
}

/* what the granted holds at an endpoint use */
typedef struct EndpointUse {
  unsigned busy;         /* granted holds */
  uint32_t tokens;       /* their tokens, without those of long prompts */
  int long_prompts;      /* prefill: long prompts among them */
  double ending_decodes; /* decode: how many are expected to end before the
                         ** slot is needed */
} EndpointUse;

/* decode: us per token, measured or estimated */
static mp_Time token_time(const Endpoint *e) {
  return e->rate > 0 ? (mp_Time)e->rate : MP_TOKEN_TIME_DEFAULT;
}

/* prefill: tokens a second, measured or estimated */
static uint32_t prefill_rate(const Endpoint *e) {
  return e->rate > 0 ? e->rate : MP_PREFILL_RATE_DEFAULT;
}

/*
** Estimates the probability that the decode of a granted hold ends within
** 'within' (us). It takes the decode to have begun when the hold was granted
** or learned by a renewal, though the prefill may still have to run, and to
** make all tokens that were reserved. It is 1 when 'within' covers the time
** that is then left; otherwise, since a decode may end with fewer tokens, it
** grows in proportion to 'within'. A decode that is past its whole time has
** the time of one token left.
*/
static double end_probability(const mp_State *state, const Endpoint *e,
                              const Hold *h, mp_Time within) {
  mp_Time all = (mp_Time)h->tokens * token_time(e);
  mp_Time elapsed = state->now - h->since;
  mp_Time left = all > elapsed ? all - elapsed : token_time(e);
  return within >= left ? 1.0 : (double)within / (double)(left + all);
}

/*
** Engines run by priority, so a long prompt lets shorter ones pass and doesn't
** count as work ahead of them; long prompts wait for each other.
*/
static int is_long_prompt(const Hold *h) {
  return h->role == MP_ROLE_PREFILL && h->tokens >= MP_LONG_PROMPT_MIN;
}

/* 'within': ending_decodes counts the decodes expected to end within this time
** (us); 0: it counts none */
static EndpointUse endpoint_use(const mp_State *state, const Endpoint *e,
                                mp_Time within) {
  EndpointUse u = {0};
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    if (h->endpoint != e->addr || h->state != MP_HOLD_BUSY)
      continue;
    u.busy++;
    if (is_long_prompt(h))
      u.long_prompts++;
    else
      u.tokens += h->tokens;
    if (e->role == MP_ROLE_DECODE && within > 0)
      u.ending_decodes += end_probability(state, e, h, within);
  }
  return u;
}

/* is this instance so new as keeper that it may not know all reservations yet?
** It does after one renewal period and half a second */
static int is_rebuilding(const mp_State *state, const Endpoint *e) {
  const mp_Time *since = state_table_get(state->kept_since, e->addr);
  return since == NULL || state->now - *since < MP_RENEW_PERIOD + MP_SEC / 2;
}

/*
** May work of so many tokens be granted now? 'within' is the time (us) until a
** decode slot is needed, and counts for decode only. While a keeper rebuilds
** its holds, e->used counts instead of the granted holds when it is higher.
** That is the engine's own count of used slots from the reply to a load call
** until update_load, at the end of the same event, sets it to the granted
** holds.
*/
static int may_start(const mp_State *state, const Endpoint *e, uint32_t tokens,
                     mp_Time within) {
  EndpointUse u = endpoint_use(state, e, within);
  if (e->role == MP_ROLE_DECODE) {
    double n = u.busy;
    if (is_rebuilding(state, e) && e->used > u.busy)
      n = e->used;
    return n - MIN(u.ending_decodes, e->slots * OVERBOOK_SHARE_MAX) <
           (double)e->slots;
  }
  if (tokens >= MP_LONG_PROMPT_MIN)
    return policy(state)->long_cap ? u.long_prompts == 0
                                   : u.long_prompts <= LONG_PROMPTS_AHEAD_MAX;
  if (u.tokens == 0)
    return 1;
  return (mp_Time)u.tokens * MP_SEC / prefill_rate(e) < MP_PREFILL_AHEAD;
}

/* }================================================================== */

/*
** {==================================================================
** Estimates
** ===================================================================
*/

/*
** Milliseconds until new work that must start by 'start_by' would start, after
** the granted holds and the waiting ones that go first. Long prompts don't
** count as work ahead.
*/
static uint32_t estimated_wait_ms(const mp_State *state, const Endpoint *e,
                                  mp_Time start_by) {
  EndpointUse u = endpoint_use(state, e, 0);
  uint64_t tokens = u.tokens;
  unsigned ahead = 0;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    if (h->endpoint != e->addr || h->state != MP_HOLD_WAIT)
      continue;
    if (policy(state)->slack_order && h->start_by > start_by)
      continue;
    if (is_long_prompt(h))
      continue;
    ahead++;
    tokens += h->tokens;
  }
  if (e->role == MP_ROLE_PREFILL)
    return (uint32_t)(tokens * 1000 / prefill_rate(e));
  if (u.busy == 0 || u.busy + ahead < e->slots)
    return 0;
  /* assumes that the granted decodes end evenly spread over their time */
  {
    uint64_t each = (uint64_t)u.tokens / u.busy * (uint64_t)token_time(e);
    return (uint32_t)(each * (ahead + 1) / MAX(e->slots, 1) / 1000);
  }
}

/* long prompts at a prefill engine, granted or waiting */
static uint32_t count_long_prompts(const mp_State *state, const Endpoint *e) {
  uint32_t n = 0;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    const Hold *h = state->holds->pdata[i];
    n += h->endpoint == e->addr && h->state != MP_HOLD_KEPT &&
         is_long_prompt(h);
  }
  return n;
}

/* did the load change enough to be gossiped? It did when it is the first one,
** when the wait changed by more than 20 ms, or when the slots used or in all,
** the role, 'leaving' or 'down' changed at all. 'rate' and 'running' are not
** compared */
static int is_load_changed(const Endpoint *e, const Endpoint *old) {
  uint32_t d = e->wait > old->wait ? e->wait - old->wait : old->wait - e->wait;
  return e->used != old->used || e->slots != old->slots || d > 20 ||
         e->role != old->role || e->leaving != old->leaving ||
         e->down != old->down || e->stamp == 0;
}

/*
** Update the load in the endpoint's row; 'old' is the row before the event. A
** load that changed gets a new stamp and goes out with the next probes.
*/
static void update_load(mp_State *state, Endpoint *e, const Endpoint *old) {
  e->wait = estimated_wait_ms(state, e, INT64_MAX);
  e->used = e->role == MP_ROLE_DECODE ? endpoint_use(state, e, 0).busy
                                      : count_long_prompts(state, e);
  e->load_received_at = state->now;
  e->reserved_since_load = 0;
  if (!is_load_changed(e, old))
    return;
  e->stamp++;
  e->gossip_count = 0;
}

/* }================================================================== */

/*
** {==================================================================
** Granting
** ===================================================================
*/

/* the holder's reply to GRANT, or NULL when none came; by MP_DENIED it says
** that it doesn't want the reservation any more */
static void on_grant_reply(mp_State *state, void *ud, mp_Addr from,
                           const mp_Msg *m) {
  Hold *h;
  (void)ud;
  (void)from;
  if (m == NULL || m->u.reserve.verdict == MP_GRANTED)
    return;
  h = find_hold(state, &m->u.reserve.token, m->u.reserve.attempt,
                m->u.reserve.endpoint);
  if (h != NULL)
    drop_hold(state, h);
}

/* send the holder a later verdict on its queued reservation */
static void send_verdict(mp_State *state, const Endpoint *e, const Hold *h,
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
  r->wait_ms = estimated_wait_ms(state, e, INT64_MAX);
  effect_rpc_call(state, h->token.owner, &m, MP_RESERVATION_LEASE / 2,
                  on_grant_reply, NULL);
}

/*
** The waiting hold to grant next, or NULL. With the policy 'slack_order' on,
** it is the one with the earliest start_by among those that may start now, so
** shorter prompts pass a long one that can't start. With it off, it is the one
** queued first, whether or not it may start. Of equals, the one with the
** larger weight.
*/
static Hold *next_waiting(const mp_State *state, const Endpoint *e) {
  int slack = policy(state)->slack_order;
  Hold *best = NULL;
  guint i;
  for (i = 0; i < state->holds->len; i++) {
    Hold *h = state->holds->pdata[i];
    mp_Time a;
    mp_Time b;
    if (h->endpoint != e->addr || h->state != MP_HOLD_WAIT)
      continue;
    if (slack &&
        !may_start(state, e, h->tokens, h->slot_needed_at - state->now))
      continue;
    if (best == NULL) {
      best = h;
      continue;
    }
    a = slack ? h->start_by : h->since;
    b = slack ? best->start_by : best->since;
    if (a < b || (a == b && h->weight > best->weight))
      best = h;
  }
  return best;
}

/* deny the waiting holds that can't start in time any more */
static void deny_late(mp_State *state, Endpoint *e) {
  guint i = 0;
  while (i < state->holds->len) {
    Hold *h = state->holds->pdata[i];
    if (h->endpoint == e->addr && h->state == MP_HOLD_WAIT &&
        state->now > h->start_by) {
      send_verdict(state, e, h, MP_DENIED);
      drop_hold(state, h);
    } else
      i++;
  }
}

static void grant_hold(mp_State *state, Hold *h) {
  h->state = MP_HOLD_BUSY;
  h->since = state->now;
  h->lease_end = state->now + MP_RESERVATION_LEASE;
}

/* grant what may start, then update the load; 'old' is the endpoint's row
** before the event */
static void grant_waiting(mp_State *state, Endpoint *e, const Endpoint *old) {
  if (policy(state) == NULL)
    return;
  if (policy(state)->refuse_early)
    deny_late(state, e);
  for (;;) {
    Hold *h = next_waiting(state, e);
    if (h == NULL ||
        !may_start(state, e, h->tokens, h->slot_needed_at - state->now))
      break;
    grant_hold(state, h);
    send_verdict(state, e, h, MP_GRANTED);
  }
  update_load(state, e, old);
}

/* }================================================================== */

/*
** {==================================================================
** Messages
** ===================================================================
*/

/* a new hold, waiting, which is dropped after MP_WAITING_LEASE unless renewed
 */
static Hold *add_hold(mp_State *state, const mp_Token *t, uint32_t attempt,
                      const Endpoint *e, uint32_t tokens) {
  Hold *h = g_new0(Hold, 1);
  h->token = *t;
  h->attempt = attempt;
  h->endpoint = e->addr;
  h->role = e->role;
  h->tokens = tokens;
  h->since = state->now;
  h->start_by = INT64_MAX;
  h->slot_needed_at = state->now;
  h->lease_end = state->now + MP_WAITING_LEASE;
  g_ptr_array_add(state->holds, h);
  return h;
}

/* decide a RESERVE call; fills in r->wait_ms, the estimated wait */
static mp_Verdict decide_reservation(mp_State *state, Endpoint *e,
                                     mp_Reserve *r) {
  Hold *h = find_hold(state, &r->token, r->attempt, r->endpoint);
  mp_Time start_by = state->now + (mp_Time)r->slack_ms * MP_MS;
  if (h != NULL) /* the call was sent again */
    return h->state == MP_HOLD_WAIT ? MP_QUEUED : MP_GRANTED;
  r->wait_ms = estimated_wait_ms(state, e, start_by);
  if (e->role == MP_ROLE_PREFILL && r->tokens >= MP_LONG_PROMPT_MIN)
    r->wait_ms += (uint32_t)((uint64_t)count_long_prompts(state, e) *
                             r->tokens * 1000 / prefill_rate(e));
  if (!fleet_is_available(state, e) || e->role != (mp_Role)r->role)
    return MP_DENIED;
  h = add_hold(state, &r->token, r->attempt, e, r->tokens);
  h->weight = r->weight;
  h->start_by = start_by;
  h->slot_needed_at = state->now + (mp_Time)r->start_ms * MP_MS;
  if (next_waiting(state, e) == h &&
      may_start(state, e, r->tokens, (mp_Time)r->start_ms * MP_MS)) {
    grant_hold(state, h);
    return MP_GRANTED;
  }
  if (policy(state)->refuse_early && r->wait_ms > r->slack_ms) {
    drop_hold(state, h);
    return MP_DENIED;
  }
  return MP_QUEUED;
}

void keeper_on_reserve(mp_State *state, mp_Addr from, const mp_Msg *m) {
  Endpoint *e = fleet_get(state, m->u.reserve.endpoint);
  mp_Msg a = {0};
  mp_Reserve *r = &a.u.reserve;
  *r = m->u.reserve;
  if (e == NULL || policy(state) == NULL || !is_kept_here(state, e))
    r->verdict = MP_WRONG_HOME;
  else {
    Endpoint old = *e;
    r->verdict = (uint8_t)decide_reservation(state, e, r);
    update_load(state, e, &old);
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
    if (e == NULL || !is_kept_here(state, e))
      continue;
    h = find_hold(state, &t, w->attempt, w->endpoint);
    if (h == NULL)
      /* it was made with an earlier keeper, or has expired here */
      h = add_hold(state, &t, w->attempt, e, w->tokens);
    if (w->state != MP_HOLD_WAIT)
      h->state = (mp_HoldState)w->state;
    h->lease_end = state->now + MP_RESERVATION_LEASE;
  }
}

void keeper_on_release(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Release *r = &m->u.release;
  Endpoint *e = fleet_get(state, r->endpoint);
  Hold *h = find_hold(state, &r->token, r->attempt, r->endpoint);
  if (from != r->token.owner)
    return;
  if (h != NULL && r->kept) /* only the KV result stays at the engine */
    h->state = MP_HOLD_KEPT;
  else if (h != NULL)
    drop_hold(state, h);
  if (e != NULL && is_kept_here(state, e)) {
    Endpoint old = *e;
    grant_waiting(state, e, &old);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Polling the endpoints: load, leases, orphans
** ===================================================================
*/

/* drop the holds that were not renewed in time */
static void drop_expired(mp_State *state) {
  guint i = 0;
  while (i < state->holds->len) {
    Hold *h = state->holds->pdata[i];
    if (state->now > h->lease_end) {
      effect_log(state, MP_LOG_EXPIRE, " seq=%08x attempt=%u", h->token.seq,
                 h->attempt);
      drop_hold(state, h);
    } else
      i++;
  }
}

/*
** Orphans are work that the endpoint reports and no row in the table of holds
** covers. They are cancelled MP_ORPHAN_GRACE after this keeper first saw them,
** since a live holder has renewed its reservation here by then, whichever
** instance was the keeper before.
*/
static void cancel_orphans(mp_State *state, const Endpoint *e,
                           const mp_LoadReport *l) {
  unsigned i;
  for (i = 0; i < l->nhold; i++) {
    const mp_HoldReport *w = &l->hold[i];
    char key[64];
    mp_Time *first;
    mp_token_text(&w->token, w->attempt, key);
    if (find_hold(state, &w->token, w->attempt, e->addr) != NULL) {
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

/* a GHRFunc: true of an orphan recorded so long ago that it must have ended by
** itself: while an endpoint reports one, it stays MP_ORPHAN_GRACE at most */
static gboolean is_stale_orphan(gpointer key, gpointer value, gpointer ud) {
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

/* an open load call; the endpoint's row may be freed before it ends */
typedef struct LoadCall {
  mp_State *state;
  mp_Addr ep;
  uint64_t xcall;
  Timer timer;
} LoadCall;

/* timer function: the endpoint left a load call unanswered */
static void on_load_timeout(mp_State *state, void *ud) {
  LoadCall *g = ud;
  Endpoint *e = fleet_get(state, g->ep);
  effect_endpoint_abort(state, g->xcall);
  if (e != NULL) {
    Endpoint old = *e;
    keeper_set_down(state, e, 1);
    update_load(state, e, &old);
  }
  state_table_remove(state->open_load_calls, g->ep);
}

/* the reply to a load call: update the row, cancel orphans, grant */
static void on_load_event(mp_State *state, void *ud,
                          const mp_EndpointEvent *ev) {
  LoadCall *g = ud;
  Endpoint *e = fleet_get(state, g->ep);
  const mp_LoadReport *l = ev->what == MP_EP_DONE ? ev->load : NULL;
  Endpoint old;
  if (ev->what != MP_EP_DONE && ev->what != MP_EP_FAIL)
    return;
  state_table_remove(state->open_load_calls, g->ep);
  if (e == NULL)
    return;
  old = *e;
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
    cancel_orphans(state, e, l);
  }
  grant_waiting(state, e, &old);
}

static void free_load_call(void *p) {
  LoadCall *g = p;
  timer_stop(&g->state->timers, &g->timer);
  g_free(g);
}

/* call the endpoint for its load unless such a call is open */
static void request_load(mp_State *state, Endpoint *e) {
  LoadCall *g;
  mp_EndpointCall x = {0};
  if (state_table_get(state->open_load_calls, e->addr) != NULL)
    return;
  g = g_new0(LoadCall, 1);
  g->state = state;
  g->ep = e->addr;
  state_table_set(state->open_load_calls, e->addr, g);
  x.op = MP_X_LOAD;
  x.endpoint = e->addr;
  timer_arm(&state->timers, &g->timer, state->now + MP_LOAD_TIMEOUT,
            on_load_timeout, g);
  g->xcall = effect_endpoint_call(state, &x, on_load_event, g);
}

/* timer function: runs each MP_LOAD_PERIOD */
static void poll_endpoints(mp_State *state, void *ud) {
  guint i;
  (void)ud;
  drop_expired(state);
  g_hash_table_foreach_remove(state->orphans, is_stale_orphan, state);
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (!is_kept_here(state, e)) {
      state_table_remove(state->kept_since, e->addr);
      continue;
    }
    if (state_table_get(state->kept_since, e->addr) == NULL)
      state_table_set(state->kept_since, e->addr,
                      g_memdup2(&state->now, sizeof state->now));
    {
      Endpoint old = *e;
      grant_waiting(state, e, &old);
    }
    request_load(state, e);
  }
  timer_arm(&state->timers, &state->load_poll_timer,
            state->now + MP_LOAD_PERIOD, poll_endpoints, NULL);
}

/* }================================================================== */

void keeper_init(mp_State *state) {
  state->kept_since = state_table_new(g_free);
  state->open_load_calls = state_table_new(free_load_call);
  state->orphans =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  timer_arm(&state->timers, &state->load_poll_timer,
            state->now + MP_LOAD_PERIOD, poll_endpoints, NULL);
}

void keeper_free(mp_State *state) {
  g_hash_table_destroy(state->kept_since);
  g_hash_table_destroy(state->open_load_calls);
  g_hash_table_destroy(state->orphans);
}
