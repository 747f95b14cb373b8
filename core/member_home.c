/*
** member_home.c
** The home of a key: rendezvous hash over the live instances
*/

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "member.h"

uint64_t member_hash_weight(mp_Addr a, uint64_t key) {
  uint64_t both[2];
  both[0] = a;
  both[1] = key;
  return XXH3_64bits(both, sizeof both);
}

/* the address with the highest weight; of equal ones the lowest address.
** 0 when there is none */
static mp_Addr highest_weight(const mp_Addr *a, guint n, uint64_t key) {
  mp_Addr best = 0;
  uint64_t best_weight = 0;
  guint i;
  for (i = 0; i < n; i++) {
    uint64_t weight = member_hash_weight(a[i], key);
    if (best == 0 || weight > best_weight ||
        (weight == best_weight && a[i] < best)) {
      best = a[i];
      best_weight = weight;
    }
  }
  return best;
}

mp_Addr member_home(const mp_State *state, uint32_t dc, uint64_t key) {
  mp_Addr best = 0;
  uint64_t best_weight = 0;
  guint i;
  if (dc == state->dc_hash && !state->draining) {
    best = state->self;
    best_weight = member_hash_weight(best, key);
  }
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    uint64_t weight;
    if (m->dc != dc || !member_is_serving(m))
      continue;
    weight = member_hash_weight(m->addr, key);
    if (best == 0 || weight > best_weight ||
        (weight == best_weight && m->addr < best)) {
      best = m->addr;
      best_weight = weight;
    }
  }
  return best;
}

mp_Addr member_previous_home(const mp_State *state, uint64_t key) {
  const GArray *b = state->previous_live_set;
  return highest_weight((const mp_Addr *)(const void *)b->data, b->len, key);
}

int member_is_among_first(const mp_State *state, uint64_t key, unsigned n) {
  uint64_t own = member_hash_weight(state->self, key);
  unsigned higher = 0;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (!m->is_remote && member_is_serving(m) &&
        member_hash_weight(m->addr, key) > own)
      higher++;
  }
  return higher < n;
}
