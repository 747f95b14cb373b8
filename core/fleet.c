/*
** fleet.c
** The table of endpoints, made from the instance list and configuration
**
** A row whose endpoint left the list stays, as leaving, while this
** instance has work there. Ejection: MP_EJECT_FAILS failures in a row
** close an endpoint for a while that doubles; it never closes more than
** the share of the pool that MP_EJECT_FLOOR leaves open. When the time is
** over the next request is the probe: its failure ejects again at once.
*/

#include <string.h>

#include "fleet.h"
#include "fx.h"
#include "place.h"

Endpoint *fleet_get(const mp_State *state, mp_Addr a) {
  return state_table_get(state->endpoint_by_addr, a);
}

int fleet_is_open(const mp_State *state, const Endpoint *e) {
  return !e->leaving && !e->drained && !e->down && e->ejected <= state->now;
}

static Endpoint *add(mp_State *state, const mp_Instance *in) {
  Endpoint *e = g_new0(Endpoint, 1);
  e->addr = in->addr;
  e->role = in->role;
  e->slots = MP_SLOTS;
  g_strlcpy(e->name, in->name, sizeof e->name);
  g_strlcpy(e->dc, in->dc, sizeof e->dc);
  g_strlcpy(e->service, in->service, sizeof e->service);
  e->dc_hash = state_name_hash(in->dc);
  g_ptr_array_add(state->endpoints, e);
  state_table_set(state->endpoint_by_addr, e->addr, e);
  return e;
}

static const mp_Instance *inlist(const mp_State *state, const Endpoint *e) {
  unsigned i;
  for (i = 0; i < state->list->n; i++) {
    const mp_Instance *in = &state->list->inst[i];
    if (in->kind == MP_INST_ENDPOINT && in->addr == e->addr)
      return in;
  }
  return NULL;
}

static void leaving(mp_State *state, Endpoint *e) {
  if (e->leaving)
    return;
  e->leaving = 1;
  effect_log(state, MP_LOG_EP_LEAVING, " endpoint=%s", e->name);
}

static void dropgone(mp_State *state) {
  guint i = 0;
  while (i < state->endpoints->len) {
    Endpoint *e = state->endpoints->pdata[i];
    if (inlist(state, e) != NULL) {
      i++;
      continue;
    }
    leaving(state, e);
    if (e->mine > 0) {
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
      e = add(state, in);
    if (in->leaving)
      leaving(state, e);
    e->drained = place_is_drained(state->config, e->name) ||
                 place_is_drained(state->config, e->dc);
  }
  dropgone(state);
}

void fleet_call_succeeded(mp_State *state, mp_Addr a) {
  Endpoint *e = fleet_get(state, a);
  if (e == NULL)
    return;
  e->fails = 0;
  e->ejections = 0;
}

/* would closing 'e' leave enough of its pool open? */
static int spare(const mp_State *state, const Endpoint *e) {
  unsigned all = 0;
  unsigned open = 0;
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    const Endpoint *o = state->endpoints->pdata[i];
    if (o->role != e->role || strcmp(o->service, e->service) != 0)
      continue;
    all++;
    if (o != e && fleet_is_open(state, o))
      open++;
  }
  return open > 0 && open * 100 >= all * MP_EJECT_FLOOR;
}

void fleet_call_failed(mp_State *state, mp_Addr a) {
  Endpoint *e = fleet_get(state, a);
  mp_Time t;
  if (e == NULL)
    return;
  e->fails++;
  if (e->fails < MP_EJECT_FAILS && e->ejections == 0)
    return;
  if (e->ejected > state->now || !spare(state, e))
    return;
  t = MP_EJECT_TIME << MIN(e->ejections, 4);
  e->ejected = state->now + MIN(t, MP_EJECT_MAX);
  e->ejections++;
  state_count(state, EJECTIONS);
  effect_log(state, MP_LOG_EJECT, " endpoint=%s seconds=%d", e->name,
             (int)((e->ejected - state->now) / MP_SEC));
}
