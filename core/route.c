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
/* engines of other data centres are taken when emptier by this share */
#define AWAY_COST 0.08

static const mp_Rule *rule(const mp_State *M, const Request *r) {
  return mpP_rule(M->config, r->class_name, r->account);
}

/*
** {==================================================================
** Candidates
** ===================================================================
*/

/* does the pool of this service and role hold the model? */
static int holds(const mp_State *M, const Request *r, mp_Role role) {
  const mp_Config *c = M->config;
  unsigned i;
  unsigned k;
  for (i = 0; i < c->pools_count; i++) {
    const mp_Pool *p = &c->pools[i];
    if (p->role != role || strcmp(p->service, r->service) != 0)
      continue;
    for (k = 0; k < p->models_count; k++) {
      if (strcmp(p->models[k], r->model) == 0)
        return 1;
    }
  }
  return 0;
}

int mpR_allowed(const mp_State *M, const Request *r, const Endpoint *e) {
  if (strcmp(e->service, r->service) != 0)
    return 0;
  if (!mpP_runs(M->config, rule(M, r), e->dc))
    return 0;
  return e->role == MP_ROLE_PLAIN || holds(M, r, e->role);
}

static int avoided(const Request *r, const Endpoint *e) {
  unsigned i;
  for (i = 0; i < r->navoid; i++) {
    if (r->avoid[i] == e->addr)
      return 1;
  }
  return 0;
}

/* a live keeper is needed for all but plain endpoints */
static int reachable(const mp_State *M, const Endpoint *e) {
  const Member *k;
  mp_Addr a;
  if (e->dchash == M->dchash)
    return 1;
  if (e->role == MP_ROLE_PLAIN)
    return 1;
  if (!mpM_reach(M, e->dchash))
    return 0;
  a = mpM_home(M, e->dchash, e->addr);
  k = a != 0 ? mpM_get(M, a) : NULL;
  return k != NULL && k->avoid <= M->now;
}

static GPtrArray *candidates(const mp_State *M, const Request *r,
                             mp_Role role) {
  GPtrArray *a = g_ptr_array_new();
  guint i;
  for (i = 0; i < M->endpoints->len; i++) {
    Endpoint *e = M->endpoints->pdata[i];
    if (e->role == role && mpE_open(M, e) && !avoided(r, e) &&
        mpR_allowed(M, r, e) && reachable(M, e))
      g_ptr_array_add(a, e);
  }
  return a;
}

/* keep those between whose data centre and 'dc' the KV may move */
static void keepmovable(const mp_State *M, const Request *r, GPtrArray *a,
                        const char *dc) {
  guint i = 0;
  while (i < a->len) {
    const Endpoint *e = a->pdata[i];
    if (mpP_moves(M->config, rule(M, r), e->dc, dc))
      i++;
    else
      g_ptr_array_remove_index(a, i);
  }
}

/* keep those to (or from) which some engine of 'others' can move KV */
static void keeppaired(const mp_State *M, const Request *r, GPtrArray *a,
                       const GPtrArray *others, int from) {
  guint i = 0;
  guint k;
  while (i < a->len) {
    const Endpoint *e = a->pdata[i];
    for (k = 0; k < others->len; k++) {
      const Endpoint *o = others->pdata[k];
      if (mpP_moves(M->config, rule(M, r), from ? e->dc : o->dc,
                    from ? o->dc : e->dc))
        break;
    }
    if (k < others->len)
      i++;
    else
      g_ptr_array_remove_index(a, i);
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

uint32_t mpR_prefilltime(const Endpoint *e, uint32_t tokens) {
  uint64_t sum = (uint64_t)tokens + e->pledged;
  return e->wait + (uint32_t)(sum * 1000 / prefillrate(e));
}

/* smaller is better; about 0 to 1 for decode, milliseconds for the rest */
static double score(const mp_State *M, const Endpoint *e) {
  double away = e->dchash != M->dchash ? AWAY_COST : 0;
  switch (e->role) {
  case MP_ROLE_DECODE:
    return ((double)e->used + e->pledged) / MAX(e->slots, 1) + away;
  case MP_ROLE_PREFILL:
    return mpR_prefilltime(e, 0);
  default:
    return e->mine + away;
  }
}

static Endpoint *draw(mp_State *M, const GPtrArray *a) {
  return a->pdata[g_rand_int_range(M->rand, 0, (gint32)a->len)];
}

/* the best of 'n' drawn at random */
static Endpoint *bestof(mp_State *M, const GPtrArray *a, guint n) {
  Endpoint *win = draw(M, a);
  guint i;
  for (i = 1; i < n; i++) {
    Endpoint *e = draw(M, a);
    if (score(M, e) < score(M, win))
      win = e;
  }
  return win;
}

static Endpoint *least(const mp_State *M, const GPtrArray *a) {
  Endpoint *win = a->pdata[0];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (score(M, e) < score(M, win))
      win = e;
  }
  return win;
}

static Endpoint *bypolicy(mp_State *M, const GPtrArray *a) {
  if (a->len == 0)
    return NULL;
  switch (M->config->policy->pick) {
  case MP_PICK_RANDOM:
    return draw(M, a);
  case MP_PICK_ROUND_ROBIN:
    return a->pdata[M->robin++ % a->len];
  case MP_PICK_LEAST_LOADED:
    return least(M, a);
  case MP_PICK_TWO_CHOICES:
    return bestof(M, a, 2);
  default:
    return bestof(M, a, 2 + a->len / 2);
  }
}

/* bytes of KV that this request's prefill makes */
static uint64_t kvbytes(const mp_State *M, const Request *r) {
  const mp_Config *c = M->config;
  unsigned i;
  for (i = 0; i < c->models_count; i++) {
    if (strcmp(c->models[i].name, r->model) == 0)
      return (uint64_t)c->models[i].kv_bytes_per_token * r->prompt_tokens;
  }
  return 0;
}

/*
** Milliseconds until a KV made at 'e' is at data centre 'dc'. A link
** between data centres is shared with all other instances, so its time
** counts twice; within a data centre nothing waits.
*/
static uint32_t cost(const mp_State *M, const Request *r, const Endpoint *e,
                     const char *dc) {
  uint32_t ms = mpR_prefilltime(e, 0);
  if (dc != NULL && strcmp(dc, e->dc) != 0 && M->config->policy->transfer_plan)
    ms += (uint32_t)(2 * mpL_time(M, e->dc, dc, kvbytes(M, r)) / MP_MS);
  return ms;
}

static Endpoint *cheapest(const mp_State *M, const Request *r,
                          const GPtrArray *a, const char *dc) {
  Endpoint *win = a->pdata[0];
  guint i;
  for (i = 1; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    if (cost(M, r, e, dc) < cost(M, r, win, dc))
      win = e;
  }
  return win;
}

/* the first by weight for the prefix whose cost is within the bound */
static Endpoint *byprefix(const mp_State *M, const Request *r,
                          const GPtrArray *a, const char *dc) {
  Endpoint *win = NULL;
  uint64_t top = 0;
  uint32_t bound = cost(M, r, cheapest(M, r, a, dc), dc);
  guint i;
  bound = MAX(bound + BOUND_LEAST, bound * BOUND_OVER / 100);
  for (i = 0; i < a->len; i++) {
    Endpoint *e = a->pdata[i];
    uint64_t w = mpM_weight(e->addr, r->prefix);
    if (cost(M, r, e, dc) <= bound && (win == NULL || w > top)) {
      win = e;
      top = w;
    }
  }
  return win;
}

/* }================================================================== */

Endpoint *mpR_decode(mp_State *M, const Request *r) {
  GPtrArray *a = candidates(M, r, MP_ROLE_DECODE);
  const Endpoint *src = r->kv != NULL ? mpE_get(M, r->kv_at) : NULL;
  Endpoint *e;
  if (src != NULL)
    keepmovable(M, r, a, src->dc);
  else {
    GPtrArray *p = candidates(M, r, MP_ROLE_PREFILL);
    keeppaired(M, r, a, p, 0);
    g_ptr_array_unref(p);
  }
  e = bypolicy(M, a);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *mpR_prefill(mp_State *M, const Request *r, const char *dc) {
  const mp_Policy *p = M->config->policy;
  GPtrArray *a = candidates(M, r, MP_ROLE_PREFILL);
  Endpoint *e;
  if (dc != NULL)
    keepmovable(M, r, a, dc);
  else {
    GPtrArray *d = candidates(M, r, MP_ROLE_DECODE);
    keeppaired(M, r, a, d, 1);
    g_ptr_array_unref(d);
  }
  if (a->len == 0 || p->pick != MP_PICK_MADDERPIER)
    e = bypolicy(M, a);
  else if (p->prefix_affinity && r->prefix != 0)
    e = byprefix(M, r, a, dc);
  else
    e = cheapest(M, r, a, dc);
  g_ptr_array_unref(a);
  return e;
}

Endpoint *mpR_plain(mp_State *M, const Request *r) {
  GPtrArray *a = candidates(M, r, MP_ROLE_PLAIN);
  Endpoint *e = bypolicy(M, a);
  g_ptr_array_unref(a);
  return e;
}
