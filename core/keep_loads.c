/*
** keep_loads.c
** Loads of endpoints that travel with probes: what keepers observed is told
** to the other instances, least told first
*/

#include "fleet.h"
#include "keep.h"
#include "member.h"

static void putload(mp_Probe *p, const Endpoint *e) {
  mp_LoadNews *n = &p->load[p->nload++];
  n->addr = e->addr;
  n->stamp = e->stamp;
  n->slots = (uint16_t)MIN(e->slots, 65535);
  n->used = (uint16_t)MIN(e->used, 65535);
  n->running = (uint16_t)MIN(e->running, 65535);
  n->wait = e->wait;
  n->rate = e->rate;
  n->role = (uint8_t)e->role;
  n->flags = (uint8_t)((e->leaving ? MP_LOAD_LEAVING : 0) |
                       (e->down ? MP_LOAD_DOWN : 0));
}

/* those told the fewest times; of this data centre first */
static Endpoint *leasttold(mp_State *state, const mp_Probe *p) {
  Endpoint *win = NULL;
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    unsigned k;
    if (e->stamp == 0 || e->told >= member_gossip_limit(state))
      continue;
    for (k = 0; k < p->nload && p->load[k].addr != e->addr; k++)
      ;
    if (k < p->nload)
      continue;
    if (win == NULL || e->told < win->told ||
        (e->told == win->told && e->dc_hash == state->dc_hash &&
         win->dc_hash != state->dc_hash))
      win = e;
  }
  return win;
}

void keeper_fill_loads(mp_State *state, mp_Probe *p, const Member *to) {
  (void)to;
  while (p->nload < MP_GOSSIP_LOADS) {
    Endpoint *e = leasttold(state, p);
    if (e == NULL)
      break;
    putload(p, e);
    e->told++;
  }
}

void keeper_merge_load(mp_State *state, const mp_LoadNews *n) {
  Endpoint *e = fleet_get(state, n->addr);
  if (e == NULL || n->stamp <= e->stamp || n->role > MP_ROLE_PLAIN)
    return;
  e->stamp = n->stamp;
  e->slots = n->slots;
  e->used = n->used;
  e->running = n->running;
  e->wait = n->wait;
  e->rate = n->rate;
  e->role = (mp_Role)n->role;
  e->seen = state->now;
  e->told = 0;
  e->reserved_since_load = 0;
  if (n->flags & MP_LOAD_LEAVING)
    e->leaving = 1;
  keeper_set_down(state, e, (n->flags & MP_LOAD_DOWN) != 0);
}
