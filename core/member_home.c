/*
** member_home.c
** Which instance answers for a key: rendezvous hash over the live ones
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

static mp_Addr best(const mp_Addr *a, guint n, uint64_t key) {
  mp_Addr win = 0;
  uint64_t top = 0;
  guint i;
  for (i = 0; i < n; i++) {
    uint64_t w = member_hash_weight(a[i], key);
    if (win == 0 || w > top || (w == top && a[i] < win)) {
      win = a[i];
      top = w;
    }
  }
  return win;
}

mp_Addr member_home(const mp_State *state, uint32_t dc, uint64_t key) {
  mp_Addr win = 0;
  uint64_t top = 0;
  guint i;
  if (dc == state->dc_hash && !state->draining) {
    win = state->self;
    top = member_hash_weight(win, key);
  }
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    uint64_t w;
    if (m->dc != dc || !member_is_serving(m))
      continue;
    w = member_hash_weight(m->addr, key);
    if (win == 0 || w > top || (w == top && m->addr < win)) {
      win = m->addr;
      top = w;
    }
  }
  return win;
}

mp_Addr member_previous_home(const mp_State *state, uint64_t key) {
  const GArray *b = state->previous_live_set;
  return best((const mp_Addr *)(const void *)b->data, b->len, key);
}

int member_is_among_first(const mp_State *state, uint64_t key, unsigned n) {
  uint64_t own = member_hash_weight(state->self, key);
  unsigned before = 0;
  guint i;
  for (i = 0; i < state->members->len; i++) {
    const Member *m = state->members->pdata[i];
    if (!m->remote && member_is_serving(m) &&
        member_hash_weight(m->addr, key) > own)
      before++;
  }
  return before < n;
}
