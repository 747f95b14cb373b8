/*
** flow_input.c
** Decides which arriving requests give way
*/

#include "io/flow_control.h"
#include "io/flow_input.h"

gboolean flow_arrival_is_stalled(const FlowArrival *arrival, gint64 now) {
  return arrival->since != 0 && !arrival->is_waiting &&
         now - arrival->since >= FLOW_QUICK_TIME &&
         arrival->received < FLOW_QUICK_BYTES;
}

static gboolean goes_before(const FlowArrival *a, const FlowArrival *b) {
  if (a->bytes != b->bytes)
    return a->bytes > b->bytes;
  return a->since < b->since;
}

int flow_arrival_choose(const FlowArrival *const *arrivals, guint count,
                        guint64 need, gint64 now) {
  guint64 stalled_bytes = 0;
  int first = -1;
  guint i;
  for (i = 0; i < count; i++) {
    if (!flow_arrival_is_stalled(arrivals[i], now))
      continue;
    stalled_bytes += arrivals[i]->bytes;
    if (first < 0 || goes_before(arrivals[i], arrivals[first]))
      first = (int)i;
  }
  return stalled_bytes >= need ? first : -1;
}
