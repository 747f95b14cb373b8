/*
** route.c
** Chooses the endpoint that takes a piece of work
**
** Prefill, by default: a bounded-load rendezvous hash of the prompt's prefix
** (Mirrokni et al. 2018), so that equal prefixes meet the same cache while no
** engine runs far ahead of the others. Decode and plain services, by default:
** the least loaded of a few drawn at random, since all instances see the same
** loads, and late, and would otherwise all choose the same endpoint. The other
** policies are baselines to compare with.
*/

#include <string.h>

#include "fleet.h"
#include "member.h"
#include "place.h"
#include "plan.h"
#include "route.h"

/*
** An engine whose cost is at most this much above the lowest, in milliseconds,
** is always within the load bound, so that little work ahead never turns a
** prompt away from its cache.
*/
#define BOUND_SLACK_MIN_MS 150
/* The load bound, in percent of the lowest cost, where that is more. */
#define BOUND_PERCENT 125
/*
** Endpoints drawn at random to compare: 2, and half of the candidates but at
** most this many.
*/
#define EXTRA_DRAWS_MAX 8
/*
** An engine of another data centre is taken only when it is emptier than the
** local ones by more than this share of its slots. Between plain endpoints,
** whose score counts calls, it only decides between equal ones.
*/
#define REMOTE_PENALTY 0.08
/*
** An engine that this instance is the keeper of (whose reservations it grants)
** may be fuller than the others by this share of its slots: its load is known
** exactly, and reserving there costs no message.
*/
#define KEPT_BONUS 0.15

/*
** {==================================================================
** Candidates
** ===================================================================
*/

/*
** The data centres in which a request may run and which are in reach, by name
** and by the hash of the name ('dc').
*/
typedef struct Scope {
  const mp_Rule *rule;
  unsigned n;
  const char *name[MP_DCS_MAX];
  uint32_t dc[MP_DCS_MAX];
} Scope;

/*
** Returns whether some pool of the request's service and this role has the
** model, or an adapter of its name. Plain services have no models.
*/
static int pool_has_model(const mp_State *state, const Request *r,
                          mp_Role role) {
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
  return pool_has_model(state, r, e->role);
}

/*
** Returns the data centres that the placement rules permit and that are in
** reach. Refers to names of the configuration.
*/
static Scope find_scope(const mp_State *state, const Request *r) {
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

static int is_in_scope(const Scope *s, uint32_t dc) {
  unsigned i;
  for (i = 0; i < s->n; i++) {
    if (s->dc[i] == dc)
      return 1;
  }
  return 0;
}

static int is_avoided(const Request *r, const Endpoint *e) {
  unsigned i;
  for (i = 0; i < r->avoid_count; i++) {
    if (r->avoid[i] == e->addr)
      return 1;
  }
  return 0;
}

/* Returns whether 'e' can take the request's work of this role now. */
static int is_candidate(const mp_State *state, const Request *r,
                        const Scope *s, const Endpoint *e, mp_Role role) {
  return e->role == role && is_in_scope(s, e->dc_hash) &&
         fleet_is_open(state, e) && !is_avoided(r, e) &&
         strcmp(e->service, r->service) == 0;
}

/*
** Returns the endpoints that can take the work, in the table's order; the
** caller frees the array, not the rows. It is empty when no pool has the
** model.
*/
static GPtrArray *find_candidates(const mp_State *state, const Request *r,
                                  const Scope *s, mp_Role role) {
  GPtrArray *a = g_ptr_array_new();
  guint i;
  if (!pool_has_model(state, r, role))
    return a;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    if (is_candidate(state, r, s, e, role))
      g_ptr_array_add(a, e);
  }
  return a;
}

/*
** Keeps those data centres of the scope that may exchange KV with a data
** centre of the scope where an endpoint of 'role' fits: with 'is_receiver'
** those that may receive KV from there, otherwise those that may send KV
** there.
*/
static void narrow_to_partners(const mp_State *state, const Request *r,
                               Scope *s, mp_Role role, int is_receiver) {
  GPtrArray *partners = find_candidates(state, r, s, role);
  Scope unnarrowed = *s;
  unsigned i;
  guint k;
  s->n = 0;
  for (i = 0; i < unnarrowed.n; i++) {
    for (k = 0; k < partners->len; k++) {
      const Endpoint *o = partners->pdata[k];
      if (place_may_move_kv(state->config, s->rule,
                            is_receiver ? o->dc : unnarrowed.name[i],
                            is_receiver ? unnarrowed.name[i] : o->dc))
        break;
    }
    if (k == partners->len)
      continue;
    s->name[s->n] = unnarrowed.name[i];
    s->dc[s->n++] = unnarrowed.dc[i];
  }
  g_ptr_array_unref(partners);
}

/*
** Narrows the scope to the data centres that may receive KV from 'dc'
** ('is_receiver') or may send KV to it.
*/
static void narrow_to_dc(const mp_State *state, Scope *s, const char *dc,
                         int is_receiver) {
  unsigned i = 0;
  while (i < s->n) {
    if (place_may_move_kv(state->config, s->rule,
                          is_receiver ? dc : s->name[i],
                          is_receiver ? s->name[i] : dc)) {
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

/* Returns prompt tokens a second, as measured or, until then, estimated. */
static uint32_t prefill_rate(const Endpoint *e) {
  return e->rate > 0 ? e->rate : MP_PREFILL_RATE_DEFAULT;
}

/*
** An adapter's KV is taken to be as large as that of its service's largest
** model.
*/
uint64_t choice_kv_bytes(const mp_State *state, const Request *r) {
  const mp_Config *c = state->config;
  uint32_t bytes_per_token = 0;
  unsigned i;
  for (i = 0; i < c->models_count; i++) {
    const mp_Model *m = &c->models[i];
    if (strcmp(m->service, r->service) != 0)
      continue;
    if (strcmp(m->name, r->model) == 0)
      return (uint64_t)m->kv_bytes_per_token * r->prompt_tokens;
    bytes_per_token = MAX(bytes_per_token, m->kv_bytes_per_token);
  }
  return (uint64_t)bytes_per_token * r->prompt_tokens;
}

/* 'pledged' counts the tokens sent there since the load was last reported. */
uint32_t choice_prefill_ms(const Endpoint *e, uint32_t tokens) {
  uint64_t sum = (uint64_t)tokens + e->reserved_since_load;
  return e->wait + (uint32_t)(sum * 1000 / prefill_rate(e));
}

/*
** Returns how loaded an endpoint is; smaller is better. The unit depends on
** the role: for decode the share of slots in use (about 0 to 1), for prefill
** milliseconds, for plain services the number of this instance's calls there.
*/
static double load_score(const mp_State *state, const Endpoint *e) {
  double adjustment = e->dc_hash != state->dc_hash ? REMOTE_PENALTY : 0;
  switch (e->role) {
  case MP_ROLE_DECODE:
    if (state_table_get(state->kept, e->addr) != NULL)
      adjustment -= KEPT_BONUS;
    return ((double)e->used + e->reserved_since_load) / MAX(e->slots, 1) +
           adjustment;
  case MP_ROLE_PREFILL:
    return choice_prefill_ms(e, 0);
  default:
    return e->own_attempts + adjustment;
  }
}

/* Returns one of the endpoints, each as likely; there must be one. */
static Endpoint *pick_random(mp_State *state, const GPtrArray *a) {
  return a->pdata[g_rand_int_range(state->rand, 0, (gint32)a->len)];
}

/* Returns the best of 'n' drawn at random, with repetition. */
static Endpoint *best_of_random(mp_State *state, const GPtrArray *a, guint n) {
  Endpoint *best = pick_random(state, a);
  guint i;
  for (i = 1; i < n; i++) {
    Endpoint *e = pick_random(state, a);
    if (load_score(state, e) < load_score(state, best))
      best = e;
  }
  return best;
}

/*
** Returns the first of the endpoints with the lowest score; there must be one.
*/
static Endpoint *least_loaded(const mp_State *state, const GPtrArray *a) {
  Endpoint *best = a->pdata[0];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (load_score(state, e) < load_score(state, best))
      best = e;
  }
  return best;
}

/*
** Returns an endpoint that this instance is the keeper of, if it is fuller by
** less than KEPT_BONUS than the best of a few drawn at random, and otherwise
** that best one. The few are drawn because all instances see the same loads
** late.
*/
static Endpoint *own_or_best_of_random(mp_State *state, const GPtrArray *a) {
  Endpoint *best =
      best_of_random(state, a, 2 + MIN(a->len / 2, EXTRA_DRAWS_MAX));
  guint i;
  for (i = 0; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (state_table_get(state->kept, e->addr) != NULL &&
        load_score(state, e) < load_score(state, best))
      best = e;
  }
  return best;
}

/* Returns NULL when there are no candidates. */
static Endpoint *pick_by_policy(mp_State *state, const GPtrArray *a) {
  if (a->len == 0)
    return NULL;
  switch (state->config->policy->pick) {
  case MP_PICK_RANDOM:
    return pick_random(state, a);
  case MP_PICK_ROUND_ROBIN:
    return a->pdata[state->round_robin_next++ % a->len];
  case MP_PICK_LEAST_LOADED:
    return least_loaded(state, a);
  case MP_PICK_TWO_CHOICES:
    return best_of_random(state, a, 2);
  default:
    return own_or_best_of_random(state, a);
  }
}

/*
** Returns the estimated milliseconds until a KV result made at 'e' is at data
** centre 'dc' (NULL: until it is made), without the time of this prefill
** itself. Long prompts wait for each other at an engine, so for a long one
** those that are there count too, each taken to be as long as this one. With
** the policy 'transfer_plan' on, a transfer between data centres counts twice
** its time, since the link is shared with all other instances; a transfer
** within a data centre does not wait.
*/
static uint32_t prefill_cost_ms(const mp_State *state, const Request *r,
                                const Endpoint *e, const char *dc) {
  uint32_t ms = choice_prefill_ms(e, 0);
  if (r->prompt_tokens >= MP_LONG_PROMPT_MIN)
    ms += (uint32_t)((uint64_t)e->used * r->prompt_tokens * 1000 /
                     prefill_rate(e));
  if (dc != NULL && strcmp(dc, e->dc) != 0 &&
      state->config->policy->transfer_plan)
    ms += (uint32_t)(2 *
                     link_transfer_time(state, e->dc, dc,
                                        choice_kv_bytes(state, r)) /
                     MP_MS);
  return ms;
}

/*
** Returns the candidate of lowest cost. The search starts at a random one,
** since with equal costs all instances would otherwise take the first.
*/
static Endpoint *lowest_cost(const mp_State *state, const Request *r,
                             const GPtrArray *a, const char *dc) {
  guint first = (guint)g_rand_int_range(state->rand, 0, (gint32)a->len);
  Endpoint *best = a->pdata[first];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[(first + i) % a->len];
    if (prefill_cost_ms(state, r, e, dc) < prefill_cost_ms(state, r, best, dc))
      best = e;
  }
  return best;
}

/*
** Returns the candidate with the highest rendezvous weight for the prompt's
** prefix among those whose cost is within the load bound.
*/
static Endpoint *pick_by_prefix(const mp_State *state, const Request *r,
                                const GPtrArray *a, const char *dc) {
  Endpoint *best = NULL;
  uint64_t best_weight = 0;
  uint32_t bound = prefill_cost_ms(state, r, lowest_cost(state, r, a, dc), dc);
  guint i;
  bound = MAX(bound + BOUND_SLACK_MIN_MS, bound * BOUND_PERCENT / 100);
  for (i = 0; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    uint64_t w = member_hash_weight(e->addr, r->prefix);
    if (prefill_cost_ms(state, r, e, dc) <= bound &&
        (best == NULL || w > best_weight)) {
      best = e;
      best_weight = w;
    }
  }
  return best;
}

/* }================================================================== */

Endpoint *choice_decode_endpoint(mp_State *state, const Request *r) {
  const Endpoint *source =
      r->kv != NULL ? fleet_get(state, r->kv_source) : NULL;
  Scope s = find_scope(state, r);
  GPtrArray *a;
  Endpoint *e;
  if (source != NULL)
    narrow_to_dc(state, &s, source->dc, 1);
  else
    narrow_to_partners(state, r, &s, MP_ROLE_PREFILL, 1);
  a = find_candidates(state, r, &s, MP_ROLE_DECODE);
  e = pick_by_policy(state, a);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *choice_prefill_endpoint(mp_State *state, const Request *r,
                                  const char *dc) {
  const mp_Policy *p = state->config->policy;
  Scope s = find_scope(state, r);
  GPtrArray *a;
  Endpoint *e;
  if (dc != NULL)
    narrow_to_dc(state, &s, dc, 0);
  else
    narrow_to_partners(state, r, &s, MP_ROLE_DECODE, 0);
  a = find_candidates(state, r, &s, MP_ROLE_PREFILL);
  if (a->len == 0 || p->pick != MP_PICK_MADDERPIER)
    e = pick_by_policy(state, a);
  else if (p->prefix_affinity && r->prefix != 0)
    e = pick_by_prefix(state, r, a, dc);
  else
    e = lowest_cost(state, r, a, dc);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *choice_plain_endpoint(mp_State *state, const Request *r) {
  Scope s = find_scope(state, r);
  GPtrArray *a = find_candidates(state, r, &s, MP_ROLE_PLAIN);
  Endpoint *e = pick_by_policy(state, a);
  g_ptr_array_unref(a);
  return e;
}
