/*
** flow_control.h
** Flow control for callers: counts what their connections hold, pauses reading
** from endpoints, aborts connections of slow readers, and decides which
** requests are taken in
**
** The user (front.c) reports for each connection of a caller what is added to
** its output buffer and what leaves it. Unread bytes are those in this buffer;
** what the kernel holds of them is not counted. Bodies of requests, heads,
** input that is not parsed yet and the connections themselves count against
** the same bound: a large body that does not fit is not taken in, and when the
** bound is reached, requests that are still arriving give way. The module does
** no I/O and reads no clock: it acts through FlowHooks, and every time is
** given, in microseconds of one steady clock.
**
** Invariants:
** - The answer to a connection's request is paused from the moment when its
**   unread bytes exceed the high-water mark until they are at most the
**   low-water mark, its request ends, or it is aborted. Above three quarters
**   of the bound both marks are lower (flow_pauses).
** - A connection of a quick caller (FLOW_QUICK_TIME, FLOW_QUICK_BYTES) is
**   never aborted. So the bound over all connections may be exceeded by what
**   quick callers are sent, for FLOW_QUICK_TIME.
** - A connection is aborted once; its unread bytes are not counted from then
**   on. Its body is counted until flow_remove or flow_set_body.
** - A request that is whole is never chosen to give way, nor one that arrives
**   quickly (flow_input.h). Small requests may use FLOW_RESERVE_SHARE of the
**   bound beyond it, so that large ones cannot shut them out.
*/

#ifndef FLOW_CONTROL_H
#define FLOW_CONTROL_H

#include "mpconf.h"

#include <glib.h>

#include "io/flow_input.h"

/* An endpoint cuts off an answer that stays unread for some seconds. So a
** connection is aborted when its endpoint was held back for this long (us). */
#define FLOW_HELD_MAX (2 * MP_SEC)
/* A caller that has had unread bytes for this long (us) must have read
** FLOW_SLOW_RATE bytes per second on average since then. Callers wait 14 s, so
** one that is slower by then has most likely given up. */
#define FLOW_SLOW_MAX (20 * MP_SEC)
#define FLOW_SLOW_RATE (16 << 10)
/* A caller is quick if its output was empty within this time (us), or if it
** has read FLOW_QUICK_BYTES in the last window of this length (us). At that
** rate, it reads from the high-water mark down to the low one within
** FLOW_HELD_MAX. */
#define FLOW_QUICK_TIME (500 * MP_MS)
#define FLOW_QUICK_BYTES (64 << 10)

/* A body is kept until its request ends, for a retry, and copied to the output
** towards its endpoint. */
#define FLOW_BODY_COPIES 2

/* A request up to this size (bytes) is small: it arrives within some reads and
** is not held back. */
#define FLOW_SMALL_BYTES (64 << 10)
/* Part of the bound that only small requests may use beyond it. */
#define FLOW_RESERVE_SHARE 8
/* What a connection holds besides its request and its output (bytes). */
#define FLOW_CONNECTION_BYTES (4 << 10)

/* Interval of flow_tick (us). It is well below the 500 ms of silence after
** which the router resumes a stream elsewhere (router/silence.c). */
#define FLOW_TICK_INTERVAL (100 * MP_MS)

typedef enum FlowReason {
  FLOW_BOUND, /* the bytes of all connections exceed the bound */
  FLOW_HELD,  /* its endpoint was held back for FLOW_HELD_MAX */
  FLOW_SLOW,  /* the caller reads at less than FLOW_SLOW_RATE */
  FLOW_REASON_COUNT
} FlowReason;

/* Returns the static name of a reason, as logs and metrics have it. */
const char *flow_reason_name(FlowReason reason);

/* In bytes. All are 0 without flow control. */
typedef struct FlowLimits {
  guint64 bound; /* of what all connections hold: flow_used */
  guint64 high;  /* of one connection: reading from its endpoint pauses */
  guint64 low;   /* and resumes */
} FlowLimits;

/* Returns the limits for a bound; 0: no flow control. */
FlowLimits flow_limits(guint64 bound);

/* What a decision knows of one connection. */
typedef struct FlowReader {
  guint64 unread;
  guint64 read;        /* bytes that the caller has read in the last window */
  guint priority;      /* of its request; 0 is the most urgent */
  gint64 unread_since; /* since when it has had unread bytes */
  guint64 delivered;   /* bytes that the caller has read since then */
  gint64 paused_since; /* since when its endpoint is held back; 0: it is not */
} FlowReader;

/*
** Returns whether reading from the endpoint of this connection is paused while
** 'total' bytes are held altogether (flow_used). Above three quarters of the
** bound, the marks are a quarter of what they are otherwise.
*/
gboolean flow_pauses(const FlowLimits *limits, const FlowReader *reader,
                     guint64 total);
/* Returns whether the caller is quick. */
gboolean flow_is_quick(const FlowReader *reader, gint64 now);
/*
** Returns whether a body of a request can be taken in, while 'held' bytes are
** held, of which 'bodies' are for other bodies. One body is always taken in.
*/
gboolean flow_takes_body(const FlowLimits *limits, guint64 held,
                         guint64 bodies, guint64 size);
/*
** Chooses the connection to abort now, and the reason. Returns its index, or
** -1 for none; 'total' is flow_used. Connections of quick callers are never
** chosen, and those over a limit of time come first. If 'total' exceeds the
** bound, it is the one with the least urgent priority, and among these the one
** with the most unread bytes. 'reason' is meaningful only if a connection was
** chosen.
*/
int flow_choose(const FlowLimits *limits, const FlowReader *const *readers,
                guint count, guint64 total, gint64 now, FlowReason *reason);

/*
** {==================================================================
** The connections of one instance
** ===================================================================
*/

typedef struct FlowControl FlowControl;
typedef struct FlowConnection FlowConnection;

/* 'pause' and 'abort' may be called from within any function below, except
** flow_remove. */
typedef struct FlowHooks {
  void *data; /* passed to 'pause' and 'paused'; 'abort' gets 'owner_data' */
  /* Pauses reading the answer to this request, or resumes it. A pause is
  ** repeated with each piece that arrives nevertheless. It may be called while
  ** the user handles an answer. */
  void (*pause)(void *data, guint64 request, gboolean pauses);
  /* Reports, within flow_tick only, that the answer to this request is
  ** paused. */
  void (*paused)(void *data, guint64 request, gint64 now);
  /* Reports that a connection is to be aborted. 'request' is 0 if its answer
  ** was complete, 'total' what flow_held was. 'owner' has to be closed, but
  ** not before this returns. */
  void (*abort)(void *data, gpointer owner, guint64 request, FlowReason reason,
                const FlowReader *reader, guint64 total);
  /* Reports that the request which arrives on a connection gives way. It is
  ** not counted any more; 'owner' has to refuse it and to free what it holds,
  ** and must not be closed before this returns. NULL: none gives way. */
  void (*give_way)(void *data, gpointer owner, guint64 used);
} FlowHooks;

/* 'owner_data' is passed to FlowHooks.abort; the limits and the hooks are
** copied. */
FlowControl *flow_control_new(const FlowLimits *limits, const FlowHooks *hooks,
                              void *owner_data);
/* All connections must have been removed. */
void flow_control_free(FlowControl *flow);

/* Adds a connection, which 'owner' identifies in FlowHooks.abort. */
FlowConnection *flow_add(FlowControl *flow, gpointer owner);
/* Removes a connection that is closed. */
void flow_remove(FlowControl *flow, FlowConnection *connection);
/* Sets the request whose answer the connection carries from now on; 0: none.
** A pause ends. */
void flow_set_request(FlowControl *flow, FlowConnection *connection,
                      guint64 request, guint priority);
/* Reports that bytes were added to the output of the connection. */
void flow_wrote(FlowControl *flow, FlowConnection *connection, guint64 size,
                gint64 now);
/* Reports that bytes have left the output of the connection. */
void flow_read(FlowControl *flow, FlowConnection *connection, guint64 size,
               gint64 now);
/*
** Sets the size of the request body that the connection has or is receiving.
** With 'must_fit', nothing is changed and FALSE is returned if it cannot be
** taken in now.
*/
gboolean flow_set_body(FlowControl *flow, FlowConnection *connection,
                       guint64 size, gboolean must_fit);
/*
** Reserves memory for a body of unknown size that has 'size' bytes by now and
** may become 'size_max': up to twice of what it has, so that it is asked for
** seldom. Among such bodies, room is left for the one that began first to
** become as large as it may, so that they never wait for each other. Returns
** FALSE if it cannot grow now.
*/
gboolean flow_grow_body(FlowControl *flow, FlowConnection *connection,
                        guint64 size, guint64 size_max, gint64 now);
/* Sets what the connection holds besides its body and its output: the head of
** its request, and input that is not parsed yet. */
void flow_set_input(FlowControl *flow, FlowConnection *connection,
                    guint64 size);
/* A request has begun to arrive, unless one arrives already. */
void flow_begin_arrival(FlowConnection *connection, gint64 now);
/* Reports bytes of a request that arrives. */
void flow_arrived(FlowConnection *connection, guint64 size);
/* The instance does not read the request on, or does so again. */
void flow_set_waiting(FlowConnection *connection, gboolean is_waiting);
/* The request is whole, refused or given up by its caller. */
void flow_end_arrival(FlowConnection *connection);
/*
** Returns whether what the request of this connection holds fits into what
** callers may hold, with 'more' bytes in place of its body, or 0: with its
** body, unless memory was reserved for that. Other requests that arrive give
** way before it is FALSE.
*/
gboolean flow_make_room(FlowControl *flow, const FlowConnection *connection,
                        guint64 more, gint64 now);
/* Returns whether the connection was aborted. */
gboolean flow_is_aborted(const FlowConnection *connection);
/*
** Applies the limits of time, and reports each pause again, so that the router
** does not take it for a silence of the endpoint. To be called every
** FLOW_TICK_INTERVAL.
*/
void flow_tick(FlowControl *flow, gint64 now);

/* Returns the unread bytes of all connections. */
guint64 flow_total(const FlowControl *flow);
/* Returns the unread bytes and FLOW_BODY_COPIES of each body. */
guint64 flow_held(const FlowControl *flow);
/* Returns all that counts against the bound: flow_held, the input of all
** connections, and the connections themselves. */
guint64 flow_used(const FlowControl *flow);
/* Returns the number of answers that are paused now. */
guint flow_paused(const FlowControl *flow);
/* Returns the number of connections aborted for this reason. */
guint64 flow_aborts(const FlowControl *flow, FlowReason reason);

/* }================================================================== */

#endif
