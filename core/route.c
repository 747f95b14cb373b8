/*
** route.c
** Which endpoint takes a piece of work
**
** Prefill, by default: bounded-load rendezvous hash on the prompt's
** prefix (Mirrokni et al. 2018), so that equal prefixes meet the same
** cache while no engine runs far ahead of the others. Decode, by default:
** the least loaded of a few drawn at random, since loads are seen late
** and everyone sees the same ones. The other policies are baselines.
*/

#include <string.h>

#include "fleet.h"
#include "member.h"
#include "place.h"
#include "plan.h"
#include "route.h"

/* work ahead that never turns a prompt away from its cache, in ms */
#define BOUND_LEAST 150
/* how far above the cheapest the bound lies, in percent */
#define BOUND_OVER 125
/* decode engines drawn at random to compare, at the most */
#define DRAWN 8
/* engines of other data centres are taken when emptier by this share */
#define AWAY_COST 0.08
/* and engines that this instance keeps may be fuller by this share: their
** load is known exactly, and reserving there costs no message */
#define KEPT_GAIN 0.15

/*
** {==================================================================
** Candidates
** ===================================================================
*/

/* data centres, as hashes of their names, in which a request may run */
typedef struct Scope {
  const mp_Rule *rule;
  unsigned n;
  const char *name[MP_MAXDCS];
  uint32_t dc[MP_MAXDCS];
} Scope;

/* does the pool of this service and role hold the model? */
static int holds(const mp_State *state, const Request *r, mp_Role role) {
  const mp_Config *c = state->config;
  unsigned i;
  unsigned k;
  if (role == MP_ROLE_PLAIN)
    return 1;
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (p->role != role || strcmp(p->service, r->service) != 0)
      continue;
    for (k = 0; k < p->models_count; k++) {
      if (strcmp(p->models[k], r->model) == 0)
        return 1;
    }
    for (k = 0; k < p->adapters_count; k++) {
      if (strcmp(p->adapters[k], r->model) == 0)
        return 1;
    }
  }
  return 0;
}

int choice_is_allowed(const mp_State *state, const Request *r,
                      const Endpoint *e) {
  const mp_Rule *rule =
      place_find_rule(state->config, r->class_name, r->account);
  if (strcmp(e->service, r->service) != 0)
    return 0;
  if (!place_may_run(state->config, rule, e->dc))
    return 0;
  return holds(state, r, e->role);
}

/* what the place gate permits, and what is in reach */
static Scope scope(const mp_State *state, const Request *r) {
  const mp_Config *c = state->config;
  Scope s;
  unsigned i;
  s.rule = place_find_rule(c, r->class_name, r->account);
  s.n = 0;
  for (i = 0; i < c->data_centres_count; i++) {
    const char *dc = c->data_centres[i].name;
    uint32_t h = state_name_hash(dc);
    if (!place_may_run(c, s.rule, dc) || !member_is_dc_reachable(state, h))
      continue;
    s.name[s.n] = dc;
    s.dc[s.n++] = h;
  }
  return s;
}

static int inscope(const Scope *s, uint32_t dc) {
  unsigned i;
  for (i = 0; i < s->n; i++) {
    if (s->dc[i] == dc)
      return 1;
  }
  return 0;
}

static int avoided(const Request *r, const Endpoint *e) {
  unsigned i;
  for (i = 0; i < r->avoid_count; i++) {
    if (r->avoid[i] == e->addr)
      return 1;
  }
  return 0;
}

static int fit(const mp_State *state, const Request *r, const Scope *s,
               const Endpoint *e, mp_Role role) {
  return e->role == role && inscope(s, e->dc_hash) &&
         fleet_is_open(state, e) && !avoided(r, e) &&
         strcmp(e->service, r->service) == 0;
}

static GPtrArray *candidates(const mp_State *state, const Request *r,
                             const Scope *s, mp_Role role) {
  GPtrArray *a = g_ptr_array_new();
  guint i;
  if (!holds(state, r, role))
    return a;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (fit(state, r, s, e, role))
      g_ptr_array_add(a, e);
  }
  return a;
}

/*
** Narrow the scope to data centres that KV may come from (or, with 'to',
** go to) in one of those where an endpoint of 'role' fits.
*/
static void narrow(const mp_State *state, const Request *r, Scope *s,
                   mp_Role role, int to) {
  GPtrArray *others = candidates(state, r, s, role);
  Scope all = *s;
  unsigned i;
  guint k;
  s->n = 0;
  for (i = 0; i < all.n; i++) {
    for (k = 0; k < others->len; k++) {
      const Endpoint *o = others->pdata[k];
      if (place_may_move_kv(state->config, s->rule, to ? o->dc : all.name[i],
                            to ? all.name[i] : o->dc))
        break;
    }
    if (k == others->len)
      continue;
    s->name[s->n] = all.name[i];
    s->dc[s->n++] = all.dc[i];
  }
  g_ptr_array_unref(others);
}

/* the same for one data centre: KV comes from there (to), or goes there */
static void narrowto(const mp_State *state, Scope *s, const char *dc, int to) {
  unsigned i = 0;
  while (i < s->n) {
    if (place_may_move_kv(state->config, s->rule, to ? dc : s->name[i],
                          to ? s->name[i] : dc)) {
      i++;
      continue;
    }
    s->n--;
    s->name[i] = s->name[s->n];
    s->dc[i] = s->dc[s->n];
  }
}

/* }================================================================== */

/*
** {==================================================================
** Choices
** ===================================================================
*/

static uint32_t prefillrate(const Endpoint *e) {
  return e->rate > 0 ? e->rate : MP_PREFILL_RATE;
}

/* an adapter's KV is as large as that of its service's largest model */
uint64_t choice_kv_bytes(const mp_State *state, const Request *r) {
  const mp_Config *c = state->config;
  uint32_t each = 0;
  unsigned i;
  for (i = 0; i < c->models_count; i++) {
    const mp_Model *m = &c->models[i];
    if (strcmp(m->service, r->service) != 0)
      continue;
    if (strcmp(m->name, r->model) == 0)
      return (uint64_t)m->kv_bytes_per_token * r->prompt_tokens;
    each = MAX(each, m->kv_bytes_per_token);
  }
  return (uint64_t)each * r->prompt_tokens;
}

uint32_t choice_prefill_ms(const Endpoint *e, uint32_t tokens) {
  uint64_t sum = (uint64_t)tokens + e->reserved_since_load;
  return e->wait + (uint32_t)(sum * 1000 / prefillrate(e));
}

/* smaller is better; about 0 to 1 for decode, milliseconds for the rest */
static double score(const mp_State *state, const Endpoint *e) {
  double away = e->dc_hash != state->dc_hash ? AWAY_COST : 0;
  switch (e->role) {
  case MP_ROLE_DECODE:
    if (state_table_get(state->kept, e->addr) != NULL)
      away -= KEPT_GAIN;
    return ((double)e->used + e->reserved_since_load) / MAX(e->slots, 1) +
           away;
  case MP_ROLE_PREFILL:
    return choice_prefill_ms(e, 0);
  default:
    return e->mine + away;
  }
}

static Endpoint *draw(mp_State *state, const GPtrArray *a) {
  return a->pdata[g_rand_int_range(state->rand, 0, (gint32)a->len)];
}

/* the best of 'n' drawn at random */
static Endpoint *bestof(mp_State *state, const GPtrArray *a, guint n) {
  Endpoint *win = draw(state, a);
  guint i;
  for (i = 1; i < n; i++) {
    Endpoint *e = draw(state, a);
    if (score(state, e) < score(state, win))
      win = e;
  }
  return win;
}

static Endpoint *least(const mp_State *state, const GPtrArray *a) {
  Endpoint *win = a->pdata[0];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (score(state, e) < score(state, win))
      win = e;
  }
  return win;
}

/*
** One that is kept here, if it is no fuller than KEPT_GAIN above the best
** of a few others; those are drawn at random, since everyone sees the same
** loads late.
*/
static Endpoint *mine(mp_State *state, const GPtrArray *a) {
  Endpoint *win = bestof(state, a, 2 + MIN(a->len / 2, DRAWN));
  guint i;
  for (i = 0; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (state_table_get(state->kept, e->addr) != NULL &&
        score(state, e) < score(state, win))
      win = e;
  }
  return win;
}

static Endpoint *bypolicy(mp_State *state, const GPtrArray *a) {
  if (a->len == 0)
    return NULL;
  switch (state->config->policy->pick) {
  case MP_PICK_RANDOM:
    return draw(state, a);
  case MP_PICK_ROUND_ROBIN:
    return a->pdata[state->round_robin_next++ % a->len];
  case MP_PICK_LEAST_LOADED:
    return least(state, a);
  case MP_PICK_TWO_CHOICES:
    return bestof(state, a, 2);
  default:
    return mine(state, a);
  }
}

/*
** Milliseconds until a KV made at 'e' is at data centre 'dc'. A link
** between data centres is shared with all other instances, so its time
** counts twice; within a data centre nothing waits.
*/
static uint32_t cost(const mp_State *state, const Request *r,
                     const Endpoint *e, const char *dc) {
  uint32_t ms = choice_prefill_ms(e, 0);
  if (r->prompt_tokens >= MP_LONG_PROMPT) /* long ones wait for each other */
    ms += (uint32_t)((uint64_t)e->used * r->prompt_tokens * 1000 /
                     prefillrate(e));
  if (dc != NULL && strcmp(dc, e->dc) != 0 &&
      state->config->policy->transfer_plan)
    ms += (uint32_t)(2 *
                     link_transfer_time(state, e->dc, dc,
                                        choice_kv_bytes(state, r)) /
                     MP_MS);
  return ms;
}

/* of equals, any: everyone would take the first one otherwise */
static Endpoint *cheapest(const mp_State *state, const Request *r,
                          const GPtrArray *a, const char *dc) {
  guint from = (guint)g_rand_int_range(state->rand, 0, (gint32)a->len);
  Endpoint *win = a->pdata[from];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[(from + i) % a->len];
    if (cost(state, r, e, dc) < cost(state, r, win, dc))
      win = e;
  }
  return win;
}

/* the first by weight for the prefix whose cost is within the bound */
static Endpoint *byprefix(const mp_State *state, const Request *r,
                          const GPtrArray *a, const char *dc) {
  Endpoint *win = NULL;
  uint64_t top = 0;
  uint32_t bound = cost(state, r, cheapest(state, r, a, dc), dc);
  guint i;
  bound = MAX(bound + BOUND_LEAST, bound * BOUND_OVER / 100);
  for (i = 0; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    uint64_t w = member_hash_weight(e->addr, r->prefix);
    if (cost(state, r, e, dc) <= bound && (win == NULL || w > top)) {
      win = e;
      top = w;
    }
  }
  return win;
}

/* }================================================================== */

Endpoint *choice_decode_endpoint(mp_State *state, const Request *r) {
  const Endpoint *src = r->kv != NULL ? fleet_get(state, r->kv_source) : NULL;
  Scope s = scope(state, r);
  GPtrArray *a;
  Endpoint *e;
  if (src != NULL)
    narrowto(state, &s, src->dc, 1);
  else
    narrow(state, r, &s, MP_ROLE_PREFILL, 1);
  a = candidates(state, r, &s, MP_ROLE_DECODE);
  e = bypolicy(state, a);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *choice_prefill_endpoint(mp_State *state, const Request *r,
                                  const char *dc) {
  const mp_Policy *p = state->config->policy;
  Scope s = scope(state, r);
  GPtrArray *a;
  Endpoint *e;
  if (dc != NULL)
    narrowto(state, &s, dc, 0);
  else
    narrow(state, r, &s, MP_ROLE_DECODE, 0);
  a = candidates(state, r, &s, MP_ROLE_PREFILL);
  if (a->len == 0 || p->pick != MP_PICK_MADDERPIER)
    e = bypolicy(state, a);
  else if (p->prefix_affinity && r->prefix != 0)
    e = byprefix(state, r, a, dc);
  else
    e = cheapest(state, r, a, dc);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *choice_plain_endpoint(mp_State *state, const Request *r) {
  Scope s = scope(state, r);
  GPtrArray *a = candidates(state, r, &s, MP_ROLE_PLAIN);
  Endpoint *e = bypolicy(state, a);
  g_ptr_array_unref(a);
  return e;
}
