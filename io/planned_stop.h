/*
** planned_stop.h
** Decides how far a planned stop of an instance has come
**
** A stop first accepts requests for a while, because load balancers notice it
** late. Then it refuses new ones and finishes what is left. Work is finished
** once its caller has acknowledged the last byte, not once its response is
** complete: bytes that still wait in this process are lost when it ends, and
** so are those that the kernel holds if the caller sends on. A caller that
** asked for "Connection: close" is an exception: it sends nothing more, and
** its connection is closed once the kernel has the last byte.
**
** Invariant: at STOP_DRAINED, the end of the process cuts off no response.
** The module does no I/O and reads no clock. All times are in microseconds of
** one steady clock. Used by gateway.c.
*/

#ifndef PLANNED_STOP_H
#define PLANNED_STOP_H

#include <glib.h>

typedef struct PlannedStop {
  gint64 least;       /* requests are accepted for this time */
  gint64 most;        /* then the requests that are left are ended */
  gint64 began_at;    /* 0: no stop has begun */
  gint64 finished_at; /* when only lingering connections were left for the
                      ** first time; 0: not yet */
  gint64 ended_at;    /* when requests were ended; 0: not yet */
} PlannedStop;

/* What is left to finish. Connections are those of callers. */
typedef struct StopWork {
  guint requests;  /* whose responses are not complete */
  guint carried;   /* connections that are carried for other instances */
  guint sending;   /* connections that have not been sent everything */
  guint lingering; /* connections that were, and that are still open */
} StopWork;

typedef enum StopPhase {
  STOP_ACCEPTING, /* requests are still accepted */
  STOP_FINISHING, /* new requests are refused */
  STOP_DRAINED,   /* nothing is left: the process can end */
  STOP_ENDING,    /* now requests are ended, and their callers told; once */
  STOP_FLUSHING,  /* what tells them is sent */
  STOP_CUTTING    /* the process ends and cuts off what is left */
} StopPhase;

/* Are requests still accepted? They are while no stop has begun. */
gboolean planned_stop_accepts(const PlannedStop *stop, gint64 now);
/* Returns the phase of a stop that has begun. */
StopPhase planned_stop_review(PlannedStop *stop, const StopWork *work,
                              gint64 now);

#endif
