/*
** plan.c
** Decides when a KV transfer between data centres may start
**
** A link is shared by all instances, which do not coordinate: each plans its
** own transfers, and at most STARTED_PER_LINK_MAX of them are under way on a
** link at once, so that the first ones are through before the last ones
** expire. Transfers within a data centre do not wait.
*/

#include <string.h>

#include "fx.h"
#include "plan.h"

/* Transfers of this instance under way on one link, at most. */
#define STARTED_PER_LINK_MAX 2

/* One transfer, queued or under way. */
typedef struct Transfer {
  char from[MP_NAME_MAX + 1];
  char to[MP_NAME_MAX + 1];
  mp_Time latest_start; /* a later start misses the KV's expiry */
  int is_started;       /* under way; 0: queued */
  LinkStartFn fn;
  void *ud;
} Transfer;

struct Links {
  GPtrArray *transfers; /* Transfer, in order of request */
};

/*
** Returns the link's rate in megabytes a second: the configured one, or
** MP_LINK_MBYTES_PER_S_DEFAULT.
*/
static uint32_t link_mbytes_per_s(const mp_State *state, const char *from,
                                  const char *to) {
  unsigned i;
  for (i = 0; state->config != NULL && i < state->config->links_count; i++) {
    const mp_Link *l = &state->config->links[i];
    if (strcmp(l->from, from) == 0 && strcmp(l->to, to) == 0)
      return l->mbytes_per_s;
  }
  return MP_LINK_MBYTES_PER_S_DEFAULT;
}

mp_Time link_transfer_time(const mp_State *state, const char *from,
                           const char *to, uint64_t bytes) {
  /* Bytes over megabytes per second are microseconds. */
  return (mp_Time)(bytes / MAX(link_mbytes_per_s(state, from, to), 1));
}

static int is_same_link(const Transfer *a, const Transfer *b) {
  return strcmp(a->from, b->from) == 0 && strcmp(a->to, b->to) == 0;
}

/* Returns whether a queued transfer may start now. */
static int may_start(const mp_State *state, const Transfer *transfer) {
  unsigned started = 0;
  guint i;
  if (state->config == NULL || !state->config->policy->transfer_plan ||
      strcmp(transfer->from, transfer->to) == 0)
    return 1;
  for (i = 0; i < state->links->transfers->len; i++) {
    const Transfer *other = state->links->transfers->pdata[i];
    if (is_same_link(other, transfer) && other->is_started)
      started++;
    if (is_same_link(other, transfer) && !other->is_started &&
        other->latest_start < transfer->latest_start)
      return 0; /* 'other' must start earlier, so it goes first */
  }
  return started < STARTED_PER_LINK_MAX;
}

/* The function called here may add and remove transfers. */
static void start_transfer(mp_State *state, Transfer *transfer) {
  transfer->is_started = 1;
  transfer->fn(state, transfer->ud);
}

void link_request(mp_State *state, const char *from, const char *to,
                  uint64_t bytes, mp_Time until, LinkStartFn fn, void *ud) {
  Transfer *transfer = g_new0(Transfer, 1);
  g_strlcpy(transfer->from, from, sizeof transfer->from);
  g_strlcpy(transfer->to, to, sizeof transfer->to);
  transfer->latest_start = until - link_transfer_time(state, from, to, bytes);
  transfer->fn = fn;
  transfer->ud = ud;
  g_ptr_array_add(state->links->transfers, transfer);
  if (may_start(state, transfer))
    start_transfer(state, transfer);
}

void link_release(mp_State *state, void *ud) {
  GPtrArray *a = state->links->transfers;
  guint i;
  for (i = 0; i < a->len; i++) {
    if (((Transfer *)a->pdata[i])->ud == ud)
      break;
  }
  if (i == a->len)
    return;
  g_ptr_array_remove_index(a, i);
  for (i = 0; i < a->len; i++) {
    Transfer *transfer = a->pdata[i];
    if (!transfer->is_started && may_start(state, transfer)) {
      start_transfer(state, transfer);
      return; /* 'transfers' may have changed during the call */
    }
  }
}

void link_init(mp_State *state) {
  state->links = g_new0(Links, 1);
  state->links->transfers = g_ptr_array_new_with_free_func(g_free);
}

void link_free(mp_State *state) {
  g_ptr_array_unref(state->links->transfers);
  g_free(state->links);
}
