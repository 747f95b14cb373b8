/*
** holder.c
** Reservations as their holder sees them: asking, renewing, releasing
*/

#include "fleet.h"
#include "flow.h"
#include "fx.h"
#include "holder.h"
#include "keep.h"
#include "member.h"

/*
** The keeper's reply to RESERVE, or NULL when none came. Unless the instance
** asked is not the keeper, the reply carries the endpoint's slots and those in
** use; unless it grants, also the estimated wait.
*/
static void on_reserve_reply(mp_State *state, void *ud, mp_Addr from,
                             const mp_Msg *m) {
  Request *r = ud;
  Attempt *a;
  Endpoint *e;
  const mp_Reserve *v = m != NULL ? &m->u.reserve : NULL;
  a = r->step == FLOW_STEP_RESERVE_PREFILL ? &r->prefill : &r->decode;
  r->keeper_rpc = 0;
  e = fleet_get(state, a->endpoint);
  if (v == NULL)
    member_mark_unresponsive(state, from);
  else if (e != NULL && v->verdict != MP_WRONG_HOME) {
    e->slots = v->slots > 0 ? v->slots : e->slots;
    e->used = v->used;
    if (v->verdict != MP_GRANTED)
      e->wait = v->wait_ms;
  }
  flow_on_reservation(state, r, a,
                      v != NULL ? (mp_Verdict)v->verdict : MP_WRONG_HOME,
                      v != NULL ? v->wait_ms : 0);
}

void holder_reserve(mp_State *state, Request *r, Attempt *a, uint32_t slack_ms,
                    uint32_t start_ms) {
  Endpoint *e = fleet_get(state, a->endpoint);
  mp_Addr keeper = e != NULL ? keeper_of_endpoint(state, e) : 0;
  const Member *k;
  mp_Msg m = {0};
  mp_Reserve *v = &m.u.reserve;
  if (keeper != 0 && (k = member_get(state, keeper)) != NULL &&
      k->avoid_until > state->now)
    keeper = 0; /* it left a call unanswered shortly before */
  if (keeper == 0) {
    flow_on_reservation(state, r, a, MP_WRONG_HOME, 0);
    return;
  }
  m.kind = MP_MSG_RESERVE;
  v->token = r->token;
  v->attempt = a->no;
  v->endpoint = a->endpoint;
  v->role = (uint8_t)a->role;
  v->tokens = a->tokens;
  v->slack_ms = slack_ms;
  v->start_ms = start_ms;
  v->weight = r->weight;
  e->own_attempts++;
  e->reserved_since_load += a->role == MP_ROLE_DECODE ? 1 : a->tokens;
  r->keeper_rpc = effect_rpc_call(state, keeper, &m, 4 * MP_RPC_RETRY_DELAY,
                                  on_reserve_reply, r);
}

void holder_release(mp_State *state, Request *r, Attempt *a, int kept) {
  Endpoint *e;
  mp_Addr keeper;
  mp_Msg m = {0};
  if (a->no == 0)
    return;
  e = fleet_get(state, a->endpoint);
  keeper = e != NULL ? keeper_of_endpoint(state, e) : 0;
  if (e != NULL && !kept && e->own_attempts > 0)
    e->own_attempts--;
  if (keeper != 0 && a->role != MP_ROLE_PLAIN) {
    m.kind = MP_MSG_RELEASE;
    m.u.release.token = r->token;
    m.u.release.attempt = a->no;
    m.u.release.endpoint = a->endpoint;
    m.u.release.kept = (uint8_t)(kept != 0);
    m.u.release.took_ms = (uint32_t)((state->now - a->granted_at) / MP_MS);
    effect_send(state, keeper, &m); /* if it is lost, the lease runs out */
  }
  if (!kept)
    a->no = 0;
}

void holder_cancel_call(mp_State *state, Request *r) {
  if (r->keeper_rpc != 0)
    effect_rpc_cancel(state, r->keeper_rpc);
  r->keeper_rpc = 0;
}

/* the attempt of the request with this number, or NULL */
static Attempt *find_attempt(Request *r, uint32_t no) {
  if (no != 0 && r->prefill.no == no)
    return &r->prefill;
  if (no != 0 && r->decode.no == no)
    return &r->decode;
  return NULL;
}

void holder_on_grant(mp_State *state, mp_Addr from, const mp_Msg *m) {
  const mp_Reserve *v = &m->u.reserve;
  Request *r = NULL;
  Attempt *a = NULL;
  mp_Msg ans = {0};
  if (v->token.owner == state->self && v->token.start == state->start)
    r = state_table_get(state->request_by_seq, v->token.seq);
  if (r != NULL)
    a = find_attempt(r, v->attempt);
  ans.u.reserve = *v;
  ans.u.reserve.verdict = a != NULL ? MP_GRANTED : MP_DENIED;
  effect_rpc_reply(state, from, m, &ans);
  if (a == NULL || !a->waiting)
    return;
  /* a reply to the RESERVE call itself would be out of date */
  holder_cancel_call(state, r);
  flow_on_reservation(state, r, a, (mp_Verdict)v->verdict, v->wait_ms);
}

/*
** {==================================================================
** Renewing
** ===================================================================
*/

/*
** Add an attempt to the message for its keeper. 'batches' holds one message
** for each keeper, by address; a full one is sent and emptied.
*/
static void add_renewal(mp_State *state, GHashTable *batches, const Request *r,
                        const Attempt *a, mp_HoldState hold) {
  const Endpoint *e = a->no != 0 ? fleet_get(state, a->endpoint) : NULL;
  mp_Addr keeper = e != NULL ? keeper_of_endpoint(state, e) : 0;
  mp_Msg *m;
  mp_Renewal *w;
  if (keeper == 0 || a->role == MP_ROLE_PLAIN)
    return;
  m = state_table_get(batches, keeper);
  if (m == NULL) {
    m = g_new0(mp_Msg, 1);
    m->kind = MP_MSG_RENEW;
    m->u.renew.owner = state->self;
    m->u.renew.start = state->start;
    state_table_set(batches, keeper, m);
  }
  w = &m->u.renew.row[m->u.renew.n++];
  w->seq = r->token.seq;
  w->attempt = a->no;
  w->endpoint = a->endpoint;
  w->role = (uint8_t)a->role;
  w->state = (uint8_t)hold;
  w->tokens = a->tokens;
  if (m->u.renew.n == MP_RENEW_BATCH) {
    effect_send(state, keeper, m);
    m->u.renew.n = 0;
  }
}

/* what the attempt's reservation holds at the endpoint now */
static mp_HoldState hold_state(const Request *r, const Attempt *a) {
  if (!a->granted)
    return MP_HOLD_WAIT;
  if (a == &r->prefill && r->kv != NULL)
    return MP_HOLD_KEPT;
  return MP_HOLD_BUSY;
}

/* timer function: renew all reservations of this instance */
static void send_renewals(mp_State *state, void *ud) {
  GHashTable *batches = state_table_new(g_free);
  GHashTableIter it;
  gpointer k;
  gpointer v;
  guint i;
  (void)ud;
  for (i = 0; i < state->requests->len; i++) {
    const Request *r = state->requests->pdata[i];
    add_renewal(state, batches, r, &r->prefill, hold_state(r, &r->prefill));
    add_renewal(state, batches, r, &r->decode, hold_state(r, &r->decode));
  }
  g_hash_table_iter_init(&it, batches);
  while (g_hash_table_iter_next(&it, &k, &v)) {
    if (((mp_Msg *)v)->u.renew.n > 0)
      effect_send(state, (mp_Addr)(*(gint64 *)k), v);
  }
  g_hash_table_destroy(batches);
  timer_arm(&state->timers, &state->renew_timer, state->now + MP_RENEW_PERIOD,
            send_renewals, NULL);
}

/* }================================================================== */

void holder_init(mp_State *state) {
  timer_arm(&state->timers, &state->renew_timer, state->now + MP_RENEW_PERIOD,
            send_renewals, NULL);
}
