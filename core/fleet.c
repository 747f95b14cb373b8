/*
** fleet.c
** The table of endpoints, built from the instance list and configuration
**
** A row whose endpoint is not in the instance list any more is marked as
** leaving, and stays while this instance, the router process that runs this
** core, has attempts there.
**
** Ejection: after MP_EJECT_FAILURES failures in a row an endpoint gets no new
** work for MP_EJECT_TIME; this time doubles with each ejection since the last
** success, up to MP_EJECT_TIME_MAX. An endpoint is ejected only if, without
** it, at
** least one endpoint of its pool (the same service and role) and at least
** MP_EJECT_OPEN_PERCENT_MIN percent of them are still available for new work.
** When the
** time is over, the endpoint gets new work as before, not just one trial
** request; until one call succeeds, any single failure ejects it again.
*/

#include <string.h>

#include "fleet.h"
#include "fx.h"
#include "place.h"

Endpoint *fleet_get(const mp_State *state, mp_Addr a) {
  return state_table_get(state->endpoint_by_addr, a);
}

int fleet_is_available(const mp_State *state, const Endpoint *e) {
  return !e->leaving && !e->drained && !e->down &&
         e->ejected_until <= state->now;
}

static Endpoint *add_endpoint(mp_State *state, const mp_Instance *in) {
  Endpoint *e = g_new0(Endpoint, 1);
  e->addr = in->addr;
  e->role = in->role;
  e->slots = MP_SLOTS_DEFAULT; /* an estimate, until the first load is known */
  g_strlcpy(e->name, in->name, sizeof e->name);
  g_strlcpy(e->dc, in->dc, sizeof e->dc);
  g_strlcpy(e->service, in->service, sizeof e->service);
  e->dc_hash = state_name_hash(in->dc);
  g_ptr_array_add(state->endpoints, e);
  state_table_set(state->endpoint_by_addr, e->addr, e);
  return e;
}

/* the endpoint's row in the instance list, or NULL */
static const mp_Instance *find_in_list(const mp_State *state,
                                       const Endpoint *e) {
  unsigned i;
  for (i = 0; i < state->list->n; i++) {
    const mp_Instance *in = &state->list->inst[i];
    if (in->kind == MP_INST_ENDPOINT && in->addr == e->addr)
      return in;
  }
  return NULL;
}

static void mark_leaving(mp_State *state, Endpoint *e) {
  if (e->leaving)
    return;
  e->leaving = 1;
  effect_log(state, MP_LOG_EP_LEAVING, " endpoint=%s", e->name);
}

/* free the rows of endpoints that the instance list doesn't name, once this
** instance has no attempts there */
static void drop_unlisted(mp_State *state) {
  guint i = 0;
  while (i < state->endpoints->len) {
    Endpoint *e = state->endpoints->pdata[i];
    if (find_in_list(state, e) != NULL) {
      i++;
      continue;
    }
    mark_leaving(state, e);
    if (e->own_attempts > 0) {
      i++;
      continue;
    }
    state_table_remove(state->endpoint_by_addr, e->addr);
    g_ptr_array_remove_index(state->endpoints, i); /* frees the row */
  }
}

void fleet_refresh(mp_State *state) {
  unsigned i;
  if (state->list == NULL)
    return;
  for (i = 0; i < state->list->n; i++) {
    const mp_Instance *in = &state->list->inst[i];
    Endpoint *e;
    if (in->kind != MP_INST_ENDPOINT)
      continue;
    e = fleet_get(state, in->addr);
    if (e == NULL)
      e = add_endpoint(state, in);
    if (in->leaving)
      mark_leaving(state, e);
    e->drained = place_is_drained(state->config, e->name) ||
                 place_is_drained(state->config, e->dc);
  }
  drop_unlisted(state);
}

void fleet_call_succeeded(mp_State *state, mp_Addr a) {
  Endpoint *e = fleet_get(state, a);
  if (e == NULL)
    return;
  e->consecutive_failures = 0;
  e->ejection_count = 0;
}

/* would enough of its pool (service and role) be available without 'e'? */
static int may_eject(const mp_State *state, const Endpoint *e) {
  unsigned all = 0;
  unsigned available = 0;
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    const Endpoint *o = state->endpoints->pdata[i];
    if (o->role != e->role || strcmp(o->service, e->service) != 0)
      continue;
    all++;
    if (o != e && fleet_is_available(state, o))
      available++;
  }
  return available > 0 && available * 100 >= all * MP_EJECT_OPEN_PERCENT_MIN;
}

void fleet_call_failed(mp_State *state, mp_Addr a) {
  Endpoint *e = fleet_get(state, a);
  mp_Time t;
  if (e == NULL)
    return;
  e->consecutive_failures++;
  if (e->consecutive_failures < MP_EJECT_FAILURES && e->ejection_count == 0)
    return;
  if (e->ejected_until > state->now || !may_eject(state, e))
    return;
  t = MP_EJECT_TIME << MIN(e->ejection_count, 4);
  e->ejected_until = state->now + MIN(t, MP_EJECT_TIME_MAX);
  e->ejection_count++;
  state_count(state, EJECTIONS);
  effect_log(state, MP_LOG_EJECT, " endpoint=%s seconds=%d", e->name,
             (int)((e->ejected_until - state->now) / MP_SEC));
}
