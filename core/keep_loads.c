/*
** keep_loads.c
** Gossip of endpoint loads: what keepers observed travels with probes to the
** other instances, the least gossiped first
*/

#include "fleet.h"
#include "keep.h"
#include "member.h"

static void add_load(mp_Probe *p, const Endpoint *e) {
  mp_LoadUpdate *n = &p->load[p->nload++];
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

/*
** The endpoint whose load was gossiped least and is not in 'p' yet; of equals
** one of this data centre. NULL when all known loads have reached the limit.
*/
static Endpoint *least_gossiped(mp_State *state, const mp_Probe *p) {
  Endpoint *best = NULL;
  guint i;
  for (i = 0; i < state->endpoints->len; i++) {
    Endpoint *e = state->endpoints->pdata[i];
    unsigned k;
    if (e->stamp == 0 || e->gossip_count >= member_gossip_limit(state))
      continue;
    for (k = 0; k < p->nload && p->load[k].addr != e->addr; k++)
      ;
    if (k < p->nload)
      continue;
    if (best == NULL || e->gossip_count < best->gossip_count ||
        (e->gossip_count == best->gossip_count &&
         e->dc_hash == state->dc_hash && best->dc_hash != state->dc_hash))
      best = e;
  }
  return best;
}

void keeper_fill_loads(mp_State *state, mp_Probe *p, const Member *to) {
  (void)to;
  while (p->nload < MP_GOSSIP_LOADS) {
    Endpoint *e = least_gossiped(state, p);
    if (e == NULL)
      break;
    add_load(p, e);
    e->gossip_count++;
  }
}

void keeper_merge_load(mp_State *state, const mp_LoadUpdate *n) {
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
  e->load_received_at = state->now;
  e->gossip_count = 0;
  e->reserved_since_load = 0;
  if (n->flags & MP_LOAD_LEAVING)
    e->leaving = 1;
  keeper_set_down(state, e, (n->flags & MP_LOAD_DOWN) != 0);
}
