/*
** caller_bounds.h
** Bounds what callers of the product's own interface hold: memory, time and
** connections
**
** Counts requests that are still arriving on the connections of libevhtp
** against one bound (flow_control.h), ends those that take too long, and
** closes a connection for a new one when there are too many. A connection that
** is ended here is answered first, and freed from the event loop.
** Used by callers.c. Invariant: a CallerHold is in CallerBounds from
** caller_bounds_add until caller_bounds_remove.
*/

#ifndef CALLER_BOUNDS_H
#define CALLER_BOUNDS_H

#include <evhtp/evhtp.h>

#include "io/flow_control.h"
#include "io/log.h"

typedef struct CallerBounds CallerBounds;

typedef struct CallerBoundsOptions {
  guint64 memory;       /* bytes that requests may hold; 0: not bounded */
  guint connections;    /* at most; 0: as many as come */
  mp_Time request_time; /* longest time for a request to arrive whole */
} CallerBoundsOptions;

/* What one connection holds. */
typedef struct CallerHold {
  CallerBounds *bounds;
  evhtp_connection_t *connection;
  FlowConnection *flow; /* NULL: memory is not bounded */
  GList link;           /* in CallerBounds.all */
  guint64 head;         /* bytes of the head of the request that arrives */
  unsigned fields;      /* of that head */
  mp_Time began_at;     /* when that request began to arrive; 0: none does */
  mp_Time rests_since;  /* since when no request arrives or is open */
  gboolean is_open;     /* its request is whole, and not answered yet */
  gboolean is_ending;   /* it is freed from the event loop */
} CallerHold;

/* 'base' and 'log' are borrowed. */
CallerBounds *caller_bounds_new(struct event_base *base,
                                const CallerBoundsOptions *options, Log *log);
/* All holds must have been removed. */
void caller_bounds_free(CallerBounds *bounds);

/* Returns TRUE if a new connection may be kept beside 'others' that are not
** held here. May close one for it. */
gboolean caller_bounds_make_place(CallerBounds *bounds, guint others);
/* Adds a new connection; 'hold' is all zero. */
void caller_bounds_add(CallerBounds *bounds, CallerHold *hold,
                       evhtp_connection_t *connection);
/* The connection is being freed. */
void caller_bounds_remove(CallerHold *hold);

/* A field of a head was read. Returns FALSE if there is no memory for it. */
gboolean caller_hold_field(CallerHold *hold, const evhtp_header_t *field);
/* The request that arrives has a body of 'size' bytes by now, of which 'more'
** have just come. Returns FALSE if there is no memory for it. */
gboolean caller_hold_body(CallerHold *hold, guint64 size, guint64 more);
/* The request is whole. */
void caller_hold_whole(CallerHold *hold);
/* The request has been answered, or given up. */
void caller_hold_clear(CallerHold *hold);

#endif
