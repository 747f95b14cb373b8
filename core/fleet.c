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

Endpoint *fleet_get(const mp_State *M, mp_Addr a) {
  return state_get(M->endpointby, a);
}

int fleet_open(const mp_State *M, const Endpoint *e) {
  return !e->leaving && !e->drained && !e->down && e->ejected <= M->now;
}

static Endpoint *add(mp_State *M, const mp_Instance *in) {
  Endpoint *e = g_new0(Endpoint, 1);
  e->addr = in->addr;
  e->role = in->role;
  e->slots = MP_SLOTS;
  g_strlcpy(e->name, in->name, sizeof e->name);
  g_strlcpy(e->dc, in->dc, sizeof e->dc);
  g_strlcpy(e->service, in->service, sizeof e->service);
  e->dchash = state_hash(in->dc);
  g_ptr_array_add(M->endpoints, e);
  state_set(M->endpointby, e->addr, e);
  return e;
}

static const mp_Instance *inlist(const mp_State *M, const Endpoint *e) {
  unsigned i;
  for (i = 0; i < M->list->n; i++) {
    const mp_Instance *in = &M->list->inst[i];
    if (in->kind == MP_INST_ENDPOINT && in->addr == e->addr)
      return in;
  }
  return NULL;
}

static void leaving(mp_State *M, Endpoint *e) {
  if (e->leaving)
    return;
  e->leaving = 1;
  effect_log(M, MP_LOG_EP_LEAVING, " endpoint=%s", e->name);
}

static void dropgone(mp_State *M) {
  guint i = 0;
  while (i < M->endpoints->len) {
    Endpoint *e = M->endpoints->pdata[i];
    if (inlist(M, e) != NULL) {
      i++;
      continue;
    }
    leaving(M, e);
    if (e->mine > 0) {
      i++;
      continue;
    }
    state_del(M->endpointby, e->addr);
    g_ptr_array_remove_index(M->endpoints, i); /* frees the row */
  }
}

void fleet_refresh(mp_State *M) {
  unsigned i;
  if (M->list == NULL)
    return;
  for (i = 0; i < M->list->n; i++) {
    const mp_Instance *in = &M->list->inst[i];
    Endpoint *e;
    if (in->kind != MP_INST_ENDPOINT)
      continue;
    e = fleet_get(M, in->addr);
    if (e == NULL)
      e = add(M, in);
    if (in->leaving)
      leaving(M, e);
    e->drained =
        place_drained(M->config, e->name) || place_drained(M->config, e->dc);
  }
  dropgone(M);
}

void fleet_good(mp_State *M, mp_Addr a) {
  Endpoint *e = fleet_get(M, a);
  if (e == NULL)
    return;
  e->fails = 0;
  e->ejections = 0;
}

/* would closing 'e' leave enough of its pool open? */
static int spare(const mp_State *M, const Endpoint *e) {
  unsigned all = 0;
  unsigned open = 0;
  guint i;
  for (i = 0; i < M->endpoints->len; i++) {
    const Endpoint *o = M->endpoints->pdata[i];
    if (o->role != e->role || strcmp(o->service, e->service) != 0)
      continue;
    all++;
    if (o != e && fleet_open(M, o))
      open++;
  }
  return open > 0 && open * 100 >= all * MP_EJECT_FLOOR;
}

void fleet_bad(mp_State *M, mp_Addr a) {
  Endpoint *e = fleet_get(M, a);
  mp_Time t;
  if (e == NULL)
    return;
  e->fails++;
  if (e->fails < MP_EJECT_FAILS && e->ejections == 0)
    return;
  if (e->ejected > M->now || !spare(M, e))
    return;
  t = MP_EJECT_TIME << MIN(e->ejections, 4);
  e->ejected = M->now + MIN(t, MP_EJECT_MAX);
  e->ejections++;
  mpcount(M, EJECTIONS);
  effect_log(M, MP_LOG_EJECT, " endpoint=%s seconds=%d", e->name,
             (int)((e->ejected - M->now) / MP_SEC));
}
