/*
** order.c
** Role orders: one holder per data centre, by a lease in the platform
**
** The lease is an object "lease/<dc>" that names its holder. It is taken
** by conditional update, and its version is the fence that orders carry.
** Who does not hold it watches the version: unchanged for MP_ORDER_LEASE
** by the watcher's own clock, it may be taken. Engines that check fences
** refuse an older one. For those that do not, a new holder waits out the
** old lease, the longest order and a margin before its first order, and
** keeps one order outstanding.
*/

#include <stdio.h>
#include <string.h>

#include "fleet.h"
#include "fx.h"
#include "keep.h"
#include "member.h"
#include "order.h"

#define LEASE_KEY 0x6c65617365ULL /* rendezvous key of the candidates */
#define CANDIDATES 2

/* pressure: seconds of prefill waiting, or share of decode slots running */
#define PRESSURE_HIGH 1.0
#define PRESSURE_LOW 0.5
#define DECODE_HIGH 0.9

struct Orders {
  Timer timer;
  int asking;
  int held;
  uint64_t version; /* of the lease object, as last seen */
  mp_Time changed;  /* when that version was first seen */
  mp_Time until;    /* own lease: not acted on after this */
  mp_Time begun;    /* own lease: since when */
  mp_Time asked;    /* when the renewal under way was sent */
  mp_Time pressing; /* since when one pool is pressed; 0: none is */
  mp_Role pressed;  /* the role that engines are wanted for */
  mp_Role from;     /* the role of the engine that is ordered */
  uint64_t xcall;   /* the one order outstanding */
  mp_Addr target;
  Timer late;
};

static void step(mp_State *state, void *ud);

static void rearm(mp_State *state, mp_Time wait) {
  timer_arm(&state->timers, &state->orders->timer, state->now + wait, step,
            NULL);
}

static int wanted(const mp_State *state) {
  return state->config != NULL && state->config->policy->role_orders &&
         !state->draining &&
         member_is_among_first(state, LEASE_KEY, CANDIDATES);
}

static void leasekey(const mp_State *state, char out[96]) {
  snprintf(out, 96, "lease/%s", state->dc);
}

/*
** {==================================================================
** The lease
** ===================================================================
*/

static void lose(mp_State *state) {
  if (state->orders->held)
    effect_log(state, MP_LOG_LEASE_LOST, " fence=%" G_GUINT64_FORMAT,
               (guint64)state->orders->version);
  state->orders->held = 0;
}

static void seenlease(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Orders *O = state->orders;
  (void)ud;
  O->asking = 0;
  if (e->status == MP_STORE_OK || e->status == MP_STORE_ABSENT) {
    uint64_t v = e->status == MP_STORE_OK ? e->version : 0;
    if (v != O->version || O->changed == 0)
      O->changed = state->now;
    O->version = v;
  }
  rearm(state, MP_ORDER_RENEW);
}

static void readlease(mp_State *state) {
  char key[96];
  state->orders->asking = 1;
  leasekey(state, key);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    seenlease, NULL);
}

static void tookit(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Orders *O = state->orders;
  (void)ud;
  O->asking = 0;
  if (e->status != MP_STORE_OK) {
    /* a lost reply counts as lost: the new version is waited out */
    lose(state);
    readlease(state);
    return;
  }
  if (!O->held) {
    O->held = 1;
    O->begun = state->now;
    effect_log(state, MP_LOG_LEASE_HELD, " fence=%" G_GUINT64_FORMAT,
               (guint64)e->version);
  }
  O->version = e->version;
  O->changed = state->now;
  O->until = O->asked + MP_ORDER_LEASE;
  rearm(state, MP_ORDER_RENEW);
}

static void takelease(mp_State *state) {
  char key[96];
  char who[24];
  leasekey(state, key);
  mp_addr_text(state->self, who);
  state->orders->asking = 1;
  state->orders->asked = state->now;
  effect_store_call(state, MP_ST_PUT, key, state->orders->version, who,
                    strlen(who), MP_STORE_TIMEOUT, tookit, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Orders
** ===================================================================
*/

/* one role of one service in this data centre */
typedef struct PoolLoad {
  unsigned n; /* engines open */
  double pressure;
  Endpoint *idlest;
} PoolLoad;

/*
** Decode: streams that run, not slots that are promised. Since slots are
** promised before the prefill starts, a pressed prefill pool fills them.
*/
static double loadof(const Endpoint *e) {
  if (e->role == MP_ROLE_DECODE)
    return (double)e->running / MAX(e->slots, 1);
  return e->wait / 1000.0;
}

static PoolLoad measure(const mp_State *state, const char *service,
                        mp_Role role) {
  PoolLoad p = {0};
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (e->dc_hash != state->dc_hash || e->role != role ||
        !fleet_is_open(state, e) || strcmp(e->service, service) != 0)
      continue;
    p.n++;
    p.pressure += loadof(e);
    if (p.idlest == NULL || loadof(e) < loadof(p.idlest))
      p.idlest = e;
  }
  if (p.n > 0)
    p.pressure /= p.n;
  return p;
}

static unsigned leastof(const mp_State *state, const char *service,
                        mp_Role role) {
  unsigned i;
  for (i = 0; i < state->config->pools_count; i++) {
    const mp_Pool *p = &state->config->pools[i];
    if (p->role == role && strcmp(p->service, service) == 0)
      return MAX(p->least, 1);
  }
  return G_MAXUINT; /* no such pool: never ordered away */
}

static int trusted(const mp_State *state) {
  return state->orders->held && state->now < state->orders->until;
}

/* may this service's engines be given an order yet? */
static int waitedout(const mp_State *state, const mp_Service *s) {
  if (s->checks_fence)
    return 1;
  return state->now - state->orders->begun >
         MP_ORDER_LEASE + MP_ORDER_MAX + MP_ORDER_MARGIN;
}

static void audited(mp_State *state, void *ud, const mp_StoreEvent *e) {
  (void)state;
  (void)ud;
  (void)e; /* a lost record is in the log all the same (E6004, E6005) */
}

/* every order leaves a record beside those of the operators' changes */
static void audit(mp_State *state, const char *outcome) {
  const Orders *O = state->orders;
  char key[96];
  char who[24];
  char at[24];
  char text[256];
  int n;
  mp_addr_text(state->self, who);
  mp_addr_text(O->target, at);
  snprintf(key, sizeof key, "audit/order-%s-%010" G_GUINT64_FORMAT, state->dc,
           (guint64)O->version);
  n = snprintf(text, sizeof text,
               "{\"who\":\"%s\",\"what\":\"order %s\",\"from\":%d,"
               "\"to\":%d,\"outcome\":\"%s\"}",
               who, at, (int)O->from, (int)O->pressed, outcome);
  effect_store_call(state, MP_ST_PUT, key, 0, text, (size_t)n,
                    MP_STORE_TIMEOUT, audited, NULL);
}

static void orderdone(mp_State *state, int ok) {
  Orders *O = state->orders;
  const Endpoint *e = fleet_get(state, O->target);
  timer_stop(&state->timers, &O->late);
  O->xcall = 0;
  effect_log(state, ok ? MP_LOG_ORDER_DONE : MP_LOG_ORDER_FAIL, " endpoint=%s",
             e != NULL ? e->name : "gone");
  audit(state, ok ? "done" : "failed or unknown");
}

static void ordered(mp_State *state, void *ud, const mp_EndpointEvent *e) {
  (void)ud;
  if (e->what == MP_EP_DONE || e->what == MP_EP_FAIL)
    orderdone(state, e->what == MP_EP_DONE);
}

/* the reply is lost: the next load answer shows the role in force */
static void orderlate(mp_State *state, void *ud) {
  (void)ud;
  effect_endpoint_abort(state, state->orders->xcall);
  orderdone(state, 0);
}

static void order(mp_State *state, Endpoint *e, mp_Role role) {
  Orders *O = state->orders;
  mp_Xcall x = {0};
  if (!trusted(state)) /* right before it goes out */
    return;
  x.op = MP_X_ORDER;
  x.endpoint = e->addr;
  x.role = role;
  x.fence = O->version;
  x.valid_ms = (uint32_t)(MIN(MP_ORDER_MAX, O->until - state->now) / MP_MS);
  O->target = e->addr;
  O->from = e->role;
  O->xcall = effect_endpoint_call(state, &x, ordered, NULL);
  timer_arm(&state->timers, &O->late, state->now + MP_ORDER_MAX, orderlate,
            NULL);
  state_count(state, ORDERS);
  effect_log(state, MP_LOG_ORDER_SENT,
             " endpoint=%s role=%d fence=%" G_GUINT64_FORMAT, e->name,
             (int)role, (guint64)O->version);
}

/* has 'role' of some service been pressed long enough? */
static void balance(mp_State *state, const mp_Service *s) {
  Orders *O = state->orders;
  PoolLoad p = measure(state, s->name, MP_ROLE_PREFILL);
  PoolLoad d = measure(state, s->name, MP_ROLE_DECODE);
  int toprefill = p.pressure > PRESSURE_HIGH && d.pressure < PRESSURE_LOW;
  int todecode = d.pressure > DECODE_HIGH && p.pressure < PRESSURE_LOW;
  mp_Role want = toprefill ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  const PoolLoad *giver = toprefill ? &d : &p;
  mp_Role from = toprefill ? MP_ROLE_DECODE : MP_ROLE_PREFILL;
  if (!toprefill && !todecode) {
    O->pressing = 0;
    return;
  }
  if (O->pressing == 0 || O->pressed != want) {
    O->pressing = state->now;
    O->pressed = want;
    return;
  }
  if (state->now - O->pressing < MP_ROLE_PATIENCE || !waitedout(state, s))
    return;
  if (giver->idlest == NULL || giver->n <= leastof(state, s->name, from))
    return;
  O->pressing = 0;
  order(state, giver->idlest, want);
}

/* }================================================================== */

static void step(mp_State *state, void *ud) {
  Orders *O = state->orders;
  unsigned i;
  (void)ud;
  if (!wanted(state)) {
    lose(state);
    rearm(state, MP_ORDER_RENEW);
    return;
  }
  if (O->asking)
    return;
  if (O->held && state->now >= O->until)
    lose(state);
  for (i = 0;
       trusted(state) && O->xcall == 0 && i < state->config->services_count;
       i++) {
    if (state->config->services[i].kind == MP_SVC_ENGINE)
      balance(state, &state->config->services[i]);
  }
  if (O->held ||
      (O->changed != 0 &&
       (O->version == 0 || state->now - O->changed > MP_ORDER_LEASE)))
    takelease(state);
  else
    readlease(state);
}

void order_drop_lease(mp_State *state) {
  lose(state); /* it runs out by itself; nothing is ordered any more */
}

void order_paused(mp_State *state) {
  lose(state);
  state->orders->changed = 0; /* watch the lease anew */
}

void order_init(mp_State *state) {
  state->orders = g_new0(Orders, 1);
  rearm(state, MP_ORDER_RENEW);
}

void order_free(mp_State *state) {
  g_free(state->orders);
}
