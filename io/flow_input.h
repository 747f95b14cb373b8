/*
** flow_input.h
** Decides which requests that are still arriving give way when callers hold
** more memory than they may
**
** An arrival is a request that has begun to arrive on a connection and is not
** whole. One whose caller sends quickly, or which has just begun, is never
** chosen, and neither is one that this instance itself does not read on. So
** callers that send a request up to shortly before its end and stop make room
** for those that go on. The functions are pure; times are in microseconds of
** one steady clock.
** Used by flow_control.c.
*/

#ifndef FLOW_INPUT_H
#define FLOW_INPUT_H

#include <glib.h>

/* What a decision knows of one arrival. */
typedef struct FlowArrival {
  guint64 bytes;       /* that are freed if it gives way */
  guint64 received;    /* bytes that came in the last window (FlowReader) */
  gint64 since;        /* when its first byte was read; 0: none arrives */
  gboolean is_waiting; /* this instance does not read it on */
} FlowArrival;

/* Returns whether the caller of an arrival has stopped or sends too slowly to
** be spared: less than FLOW_QUICK_BYTES in a window, after FLOW_QUICK_TIME. */
gboolean flow_arrival_is_stalled(const FlowArrival *arrival, gint64 now);
/*
** Chooses the stalled arrival that gives way first: the one with the most
** bytes, and among equals the one that began first. Returns its index, or -1
** if all stalled ones together have fewer bytes than 'need'.
*/
int flow_arrival_choose(const FlowArrival *const *arrivals, guint count,
                        guint64 need, gint64 now);

#endif
