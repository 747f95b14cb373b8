/*
** plan.c
** When a KV transfer may start: links at their rate, earliest expiry first
**
** A link is shared by all instances; each plans its own transfers, at most
** LINK_OPEN at once between two data centres, so that the first ones are
** through before the last ones expire. Within a data centre nothing waits.
*/

#include <string.h>

#include "fx.h"
#include "plan.h"

#define LINK_OPEN 2

typedef struct Move {
  char from[MP_MAXNAME + 1];
  char to[MP_MAXNAME + 1];
  mp_Time until;
  int open;
  LinkStartFn fn;
  void *ud;
} Move;

struct Links {
  GPtrArray *moves; /* Move, in order of asking */
};

static uint32_t rate(const mp_State *state, const char *from, const char *to) {
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->links_count; i++) {
    const mp_Link *l = &state->config->links[i];
    if (strcmp(l->from, from) == 0 && strcmp(l->to, to) == 0)
      return l->mbytes_per_s;
  }
  return MP_LINK_MBYTES;
}

mp_Time link_transfer_time(const mp_State *state, const char *from,
                           const char *to, uint64_t bytes) {
  /* bytes by megabytes a second are microseconds */
  return (mp_Time)(bytes / MAX(rate(state, from, to), 1));
}

static int samelink(const Move *a, const Move *b) {
  return strcmp(a->from, b->from) == 0 && strcmp(a->to, b->to) == 0;
}

static int mayopen(const mp_State *state, const Move *m) {
  unsigned open = 0;
  guint i;
  if (state->config == NULL || !state->config->policy->transfer_plan ||
      strcmp(m->from, m->to) == 0)
    return 1;
  for (i = 0; i < state->links->moves->len; i++) {
    const Move *o = state->links->moves->pdata[i];
    if (samelink(o, m) && o->open)
      open++;
    if (samelink(o, m) && !o->open && o->until < m->until)
      return 0; /* that one goes first */
  }
  return open < LINK_OPEN;
}

static void start(mp_State *state, Move *m) {
  m->open = 1;
  m->fn(state, m->ud);
}

void link_request(mp_State *state, const char *from, const char *to,
                  uint64_t bytes, mp_Time until, LinkStartFn fn, void *ud) {
  Move *m = g_new0(Move, 1);
  g_strlcpy(m->from, from, sizeof m->from);
  g_strlcpy(m->to, to, sizeof m->to);
  m->until = until - link_transfer_time(state, from, to, bytes);
  m->fn = fn;
  m->ud = ud;
  g_ptr_array_add(state->links->moves, m);
  if (mayopen(state, m))
    start(state, m);
}

void link_release(mp_State *state, void *ud) {
  GPtrArray *a = state->links->moves;
  guint i;
  for (i = 0; i < a->len; i++) {
    if (((Move *)a->pdata[i])->ud == ud)
      break;
  }
  if (i == a->len)
    return;
  g_ptr_array_remove_index(a, i);
  for (i = 0; i < a->len; i++) {
    Move *m = a->pdata[i];
    if (!m->open && mayopen(state, m)) {
      start(state, m);
      return; /* 'start' may have changed the table */
    }
  }
}

void link_init(mp_State *state) {
  state->links = g_new0(Links, 1);
  state->links->moves = g_ptr_array_new_with_free_func(g_free);
}

void link_free(mp_State *state) {
  g_ptr_array_unref(state->links->moves);
  g_free(state->links);
}
