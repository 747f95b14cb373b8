/*
** order.c
** Role orders: moves engines between prefill and decode under pressure
**
** The lease is the object "lease/<dc>" in the platform's store, which names
** its holder. It is taken and renewed by conditional update, and its version
** is the fence that orders carry: a number that grows, by which an engine
** tells an older order from a newer one. The instances that contend for it and
** do not hold it watch the version: when it has not changed for more than
** MP_ORDER_LEASE by the watcher's own clock, the lease has expired and may be
** taken.
**
** Engines that check fences refuse an order with an older fence than the last
** one. For services whose engines do not, a new holder waits until the old
** lease, the longest order and a margin are over before its first order. A
** holder has one order outstanding at a time.
*/

#include <stdio.h>
#include <string.h>

#include "fleet.h"
#include "fx.h"
#include "keep.h"
#include "member.h"
#include "order.h"

/* Rendezvous key that picks the instances which contend for the lease. */
#define CANDIDATE_KEY 0x6c65617365ULL
/* Instances of the data centre that contend for the lease, at most. */
#define CANDIDATES_MAX 2

/*
** The pressure on a pool (the engines of one role of a service) is the mean
** over those available for new work: for prefill the seconds of work that
** wait, for decode the share of slots in which streams run. A role needs
** engines when its pressure is above its HIGH bound while that of the other
** role is below PRESSURE_LOW.
*/
#define PREFILL_PRESSURE_HIGH 1.0
#define PRESSURE_LOW 0.5
#define DECODE_PRESSURE_HIGH 0.9

/*
** What this instance knows of the lease, and its last order. Times are of its
** own clock.
*/
struct Orders {
  Timer timer;
  int is_store_call_open; /* a read or write of the lease */
  int is_held;            /* this instance has the lease */
  uint64_t version; /* of the lease object, as last seen; 0: no such object */
  mp_Time version_seen;  /* first time 'version' was read; 0: not known */
  mp_Time valid_until;   /* own lease: no orders from then on */
  mp_Time held_since;    /* own lease: when it was taken */
  mp_Time write_sent;    /* time of the last write of the lease */
  mp_Time pressed_since; /* since when a role needs engines; 0: none does.
                         ** One time for all services */
  mp_Role wanted_role;   /* the role that engines are needed for */
  mp_Role old_role;      /* the role of the ordered engine before the order */
  uint64_t xcall;        /* the one order outstanding; 0: none */
  mp_Addr target;        /* the engine that was ordered last */
  Timer timeout;         /* of the order outstanding */
};

static void run_step(mp_State *state, void *ud);

static void arm_step_timer(mp_State *state, mp_Time wait) {
  timer_arm(&state->timers, &state->orders->timer, state->now + wait, run_step,
            NULL);
}

/* Returns whether this instance contends for the lease. */
static int is_candidate(const mp_State *state) {
  return state->config != NULL && state->config->policy->role_orders &&
         !state->draining &&
         member_is_among_first(state, CANDIDATE_KEY, CANDIDATES_MAX);
}

static void format_lease_key(const mp_State *state, char out[96]) {
  snprintf(out, 96, "lease/%s", state->dc);
}

/*
** {==================================================================
** The lease
** ===================================================================
*/

/*
** Stops giving orders under the lease, if it is held. The lease object is left
** as it is.
*/
static void drop_lease(mp_State *state) {
  if (state->orders->is_held)
    effect_log(state, MP_LOG_LEASE_LOST, " fence=%" G_GUINT64_FORMAT,
               (guint64)state->orders->version);
  state->orders->is_held = 0;
}

/* Notes the version of the lease, and since when it has been seen. */
static void on_lease_read(mp_State *state, void *ud, const mp_StoreEvent *e) {
  Orders *orders = state->orders;
  (void)ud;
  orders->is_store_call_open = 0;
  if (e->status == MP_STORE_OK || e->status == MP_STORE_ABSENT) {
    uint64_t v = e->status == MP_STORE_OK ? e->version : 0;
    if (v != orders->version || orders->version_seen == 0)
      orders->version_seen = state->now;
    orders->version = v;
  }
  arm_step_timer(state, MP_ORDER_RENEW_INTERVAL);
}

static void read_lease(mp_State *state) {
  char key[96];
  state->orders->is_store_call_open = 1;
  format_lease_key(state, key);
  effect_store_call(state, MP_ST_GET, key, 0, NULL, 0, MP_STORE_TIMEOUT,
                    on_lease_read, NULL);
}

/*
** The lease was taken or renewed, or not. It is valid for MP_ORDER_LEASE from
** the moment when the write was sent, so that a slow answer does not prolong
** it.
*/
static void on_lease_written(mp_State *state, void *ud,
                             const mp_StoreEvent *e) {
  Orders *orders = state->orders;
  (void)ud;
  orders->is_store_call_open = 0;
  if (e->status != MP_STORE_OK) {
    /*
    ** Without an answer the write may still have had effect. It counts as
    ** failed, and the version that it may have made is watched until it
    ** expires.
    */
    drop_lease(state);
    read_lease(state);
    return;
  }
  if (!orders->is_held) {
    orders->is_held = 1;
    orders->held_since = state->now;
    effect_log(state, MP_LOG_LEASE_HELD, " fence=%" G_GUINT64_FORMAT,
               (guint64)e->version);
  }
  orders->version = e->version;
  orders->version_seen = state->now;
  orders->valid_until = orders->write_sent + MP_ORDER_LEASE;
  arm_step_timer(state, MP_ORDER_RENEW_INTERVAL);
}

/*
** Takes or renews the lease: the write succeeds only when the version is still
** the one last seen (0: when there is no such object).
*/
static void write_lease(mp_State *state) {
  char key[96];
  char who[24];
  format_lease_key(state, key);
  mp_addr_text(state->self, who);
  state->orders->is_store_call_open = 1;
  state->orders->write_sent = state->now;
  effect_store_call(state, MP_ST_PUT, key, state->orders->version, who,
                    strlen(who), MP_STORE_TIMEOUT, on_lease_written, NULL);
}

/* }================================================================== */

/*
** {==================================================================
** Orders
** ===================================================================
*/

/*
** The engines of one role of one service in this data centre that are
** available for new work.
*/
typedef struct PoolLoad {
  unsigned engines; /* how many */
  double pressure;  /* mean load; 0 with no engine */
  Endpoint *idlest; /* NULL with no engine */
} PoolLoad;

/*
** Returns seconds of prefill work that wait, or the share of decode slots in
** which streams run. Slots that are only granted do not count: they are
** granted before the prefill starts, so a prefill pool under pressure fills
** them.
*/
static double engine_load(const Endpoint *e) {
  if (e->role == MP_ROLE_DECODE)
    return (double)e->running / MAX(e->slots, 1);
  return e->wait / 1000.0;
}

static PoolLoad measure_pool(const mp_State *state, const char *service,
                             mp_Role role) {
  PoolLoad p = {0};
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (e->dc_hash != state->dc_hash || e->role != role ||
        !fleet_is_available(state, e) || strcmp(e->service, service) != 0)
      continue;
    p.engines++;
    p.pressure += engine_load(e);
    if (p.idlest == NULL || engine_load(e) < engine_load(p.idlest))
      p.idlest = e;
  }
  if (p.engines > 0)
    p.pressure /= p.engines;
  return p;
}

/*
** Returns how many engines the pool must keep: its configured 'least', but at
** least 1.
*/
static unsigned engines_min(const mp_State *state, const char *service,
                            mp_Role role) {
  unsigned i;
  for (i = 0; i < state->config->pools_count; i++) {
    const mp_Pool *p = &state->config->pools[i];
    if (p->role == role && strcmp(p->service, service) == 0)
      return MAX(p->least, 1);
  }
  return G_MAXUINT; /* no such pool: none of its engines may be ordered away */
}

/* Returns whether orders may be given under the lease now. */
static int is_lease_valid(const mp_State *state) {
  return state->orders->is_held && state->now < state->orders->valid_until;
}

/*
** Returns whether this service's engines may be given an order yet (see the
** head of the file).
*/
static int may_order_service(const mp_State *state, const mp_Service *s) {
  if (s->checks_fence)
    return 1;
  return state->now - state->orders->held_since >
         MP_ORDER_LEASE + MP_ORDER_TIMEOUT + MP_ORDER_MARGIN;
}

static void on_audit_written(mp_State *state, void *ud,
                             const mp_StoreEvent *e) {
  (void)state;
  (void)ud;
  /* Without its record an order is still in the log (E6004, E6005). */
  (void)e;
}

/*
** Writes a record of the last order to the platform, where the records of the
** operators' changes are.
*/
static void write_audit_record(mp_State *state, const char *outcome) {
  const Orders *orders = state->orders;
  char key[96];
  char who[24];
  char at[24];
  char text[256];
  int length;
  mp_addr_text(state->self, who);
  mp_addr_text(orders->target, at);
  snprintf(key, sizeof key, "audit/order-%s-%010" G_GUINT64_FORMAT, state->dc,
           (guint64)orders->version);
  length = snprintf(text, sizeof text,
                    "{\"who\":\"%s\",\"what\":\"order %s\",\"from\":%d,"
                    "\"to\":%d,\"outcome\":\"%s\"}",
                    who, at, (int)orders->old_role, (int)orders->wanted_role,
                    outcome);
  effect_store_call(state, MP_ST_PUT, key, 0, text, (size_t)length,
                    MP_STORE_TIMEOUT, on_audit_written, NULL);
}

/* Logs and records how the order ended; 'ok' 0 is a failure or unknown. */
static void finish_order(mp_State *state, int ok) {
  Orders *orders = state->orders;
  const Endpoint *e = fleet_get(state, orders->target);
  timer_stop(&state->timers, &orders->timeout);
  orders->xcall = 0;
  effect_log(state, ok ? MP_LOG_ORDER_DONE : MP_LOG_ORDER_FAIL, " endpoint=%s",
             e != NULL ? e->name : "gone");
  write_audit_record(state, ok ? "done" : "failed or unknown");
}

static void on_order_event(mp_State *state, void *ud,
                           const mp_EndpointEvent *e) {
  (void)ud;
  if (e->what == MP_EP_DONE || e->what == MP_EP_FAIL)
    finish_order(state, e->what == MP_EP_DONE);
}

/*
** Timer: no answer within MP_ORDER_TIMEOUT. The engine's next load report
** shows which role it has.
*/
static void on_order_timeout(mp_State *state, void *ud) {
  (void)ud;
  effect_endpoint_abort(state, state->orders->xcall);
  finish_order(state, 0);
}

/*
** Orders an engine to change its role. The order is valid for
** MP_ORDER_TIMEOUT, but not beyond the lease.
*/
static void send_order(mp_State *state, Endpoint *e, mp_Role role) {
  Orders *orders = state->orders;
  mp_EndpointCall x = {0};
  if (!is_lease_valid(state)) /* checked right before the order goes out */
    return;
  x.op = MP_X_ORDER;
  x.endpoint = e->addr;
  x.role = role;
  x.fence = orders->version;
  x.valid_ms =
      (uint32_t)(MIN(MP_ORDER_TIMEOUT, orders->valid_until - state->now) /
                 MP_MS);
  orders->target = e->addr;
  orders->old_role = e->role;
  orders->xcall = effect_endpoint_call(state, &x, on_order_event, NULL);
  timer_arm(&state->timers, &orders->timeout, state->now + MP_ORDER_TIMEOUT,
            on_order_timeout, NULL);
  state_count(state, ORDERS);
  effect_log(state, MP_LOG_ORDER_SENT,
             " endpoint=%s role=%d fence=%" G_GUINT64_FORMAT, e->name,
             (int)role, (guint64)orders->version);
}

/*
** Orders one engine of the service to change its role when a role has needed
** engines for MP_ROLE_CHANGE_DELAY, the service may be given orders, and the
** other
** role's pool has more engines than it must keep. 'pressed_since' belongs to
** all services: one that needs no engines sets it back for the others too.
*/
static void balance_service(mp_State *state, const mp_Service *s) {
  Orders *orders = state->orders;
  PoolLoad p = measure_pool(state, s->name, MP_ROLE_PREFILL);
  PoolLoad d = measure_pool(state, s->name, MP_ROLE_DECODE);
  int needs_prefill =
      p.pressure > PREFILL_PRESSURE_HIGH && d.pressure < PRESSURE_LOW;
  int needs_decode =
      d.pressure > DECODE_PRESSURE_HIGH && p.pressure < PRESSURE_LOW;
  mp_Role want = needs_prefill ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  const PoolLoad *donor = needs_prefill ? &d : &p;
  mp_Role from = needs_prefill ? MP_ROLE_DECODE : MP_ROLE_PREFILL;
  if (!needs_prefill && !needs_decode) {
    orders->pressed_since = 0;
    return;
  }
  if (orders->pressed_since == 0 || orders->wanted_role != want) {
    orders->pressed_since = state->now;
    orders->wanted_role = want;
    return;
  }
  if (state->now - orders->pressed_since < MP_ROLE_CHANGE_DELAY ||
      !may_order_service(state, s))
    return;
  if (donor->idlest == NULL ||
      donor->engines <= engines_min(state, s->name, from))
    return;
  orders->pressed_since = 0;
  send_order(state, donor->idlest, want);
}

/* }================================================================== */

/*
** Timer, MP_ORDER_RENEW_INTERVAL after the last read or write of the lease
** ended: gives
** orders under the lease, then renews it, takes it when it has expired, or
** reads it again.
*/
static void run_step(mp_State *state, void *ud) {
  Orders *orders = state->orders;
  unsigned i;
  (void)ud;
  if (!is_candidate(state)) {
    drop_lease(state);
    arm_step_timer(state, MP_ORDER_RENEW_INTERVAL);
    return;
  }
  if (orders->is_store_call_open)
    return;
  if (orders->is_held && state->now >= orders->valid_until)
    drop_lease(state);
  for (i = 0; is_lease_valid(state) && orders->xcall == 0 &&
              i < state->config->services_count;
       i++) {
    if (state->config->services[i].kind == MP_SVC_ENGINE)
      balance_service(state, &state->config->services[i]);
  }
  if (orders->is_held ||
      (orders->version_seen != 0 &&
       (orders->version == 0 ||
        state->now - orders->version_seen > MP_ORDER_LEASE)))
    write_lease(state);
  else
    read_lease(state);
}

void order_drop_lease(mp_State *state) {
  drop_lease(state);
}

void order_paused(mp_State *state) {
  drop_lease(state);
  state->orders->version_seen = 0; /* the next read of the lease sets it */
}

void order_init(mp_State *state) {
  state->orders = g_new0(Orders, 1);
  arm_step_timer(state, MP_ORDER_RENEW_INTERVAL);
}

void order_free(mp_State *state) {
  g_free(state->orders);
}
