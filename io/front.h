/*
** front.h
** The frontend: the HTTP/1.1 server for callers
**
** It transports heads and bodies, which the dialect and the router interpret.
** A connection carries one request at a time. The request is received
** completely before it is handed to the user of the server (FrontHooks). It is
** identified by a number, which is valid until its response has ended, its
** caller has disconnected or flow control has aborted it; functions that get a
** number that is not valid do nothing. Invariants: bytes of a response are
** written only to the connection of their request, and a connection whose
** response was aborted is closed.
** Used by gateway.c.
*/

#ifndef FRONT_H
#define FRONT_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/close_reason.h"
#include "io/flow_control.h"
#include "io/intake.h"

typedef struct Front Front;

/* A connection that is closed although its caller has not been sent a whole
** response. */
typedef struct FrontCut {
  CloseReason reason;
  const HttpHead *head;   /* of the request; NULL: it is not known */
  gboolean is_unfinished; /* the response was not complete */
  guint64 unsent;         /* bytes of it that the kernel had not taken */
  guint64 unacknowledged; /* bytes that the kernel had sent or not, and the
                          ** caller had not acknowledged */
} FrontCut;

typedef struct FrontHooks {
  void *data;
  /* A request was received completely. Its head and body are valid until its
  ** response has ended. */
  void (*request)(void *data, guint64 number, const HttpHead *head);
  /* The caller has disconnected before its response ended. The number is not
  ** valid any more. */
  void (*hangup)(void *data, guint64 number);
  /* Invalid input was answered with this HTTP status. 'detail' says what was
  ** wrong. */
  void (*bad_input)(void *data, int status, const char *detail);
  /* A request that had not arrived whole was refused because of a planned
  ** stop. 'id' is NULL if its head had not arrived or is invalid. */
  void (*stopped)(void *data, const char *id);
  /* A response is lost with its connection. If its request is open, 'hangup'
  ** follows, but not when the server is freed. Also for a request that a
  ** half-closed connection has read and discarded (CLOSE_DISCARDED). */
  void (*cut)(void *data, const FrontCut *cut);
} FrontHooks;

/*
** Listens on 'address'. Returns NULL and sets an error when the address cannot
** be bound. 'base', 'dialect' and 'log' are borrowed, 'log' may be NULL;
** 'hooks' is copied.
*/
Front *front_new(struct event_base *base, mp_Addr address,
                 const Dialect *dialect, const FrontHooks *hooks, Log *log,
                 GError **error);
/* Closes all connections, without calling 'hangup'. Before it, the functions
** of the hooks must still be usable. */
void front_free(Front *front);

/*
** Sets the limits that are above 0 in 'limits', and leaves the others as they
** are. They bind at once on connections that wait for a request, and on others
** from the next request on. For a request that has begun to arrive, the larger
** limit holds. 'head_timeout' is the longest time without further bytes of a
** request that has begun to arrive, in its head or its body; 'idle_timeout' is
** the longest wait for its first bytes. A wait under way that becomes shorter
** ends no earlier than this time after the change, or when it would have ended
** before it.
*/
void front_set_limits(Front *front, const CallerLimits *limits);

/* Sets the longest time for a request to become whole, from its first byte.
** The deadline that its caller states ends it sooner. */
void front_set_request_timeout(Front *front, gint64 timeout);
/* Returns how many connections callers may have for a process that may have
** so many descriptors, on a machine with so many bytes of memory (0: it does
** not matter). */
guint front_places(guint descriptors, guint64 memory);
/* Lets callers have so many connections at most (front_places.h); before this,
** as many as come. */
void front_set_places(Front *front, guint places);
/* The number of connections that were closed for new ones, or were closed as
** they came, since the start. */
guint64 front_places_taken(const Front *front);

/* What callers have under way; valid while the server exists. */
Intake *front_intake(const Front *front);

/* A request that was not taken in, because callers hold too much. */
typedef struct FrontRefusal {
  const char *id;    /* NULL: its head has not arrived, or is invalid */
  mp_Addr caller;    /* 0: its connection has ended */
  guint64 bytes;     /* that it held */
  guint64 used;      /* flow_used */
  gboolean gave_way; /* it had stalled and gave way to another one */
} FrontRefusal;

/* Valid while the server exists. These are called while the user of the server
** sends a response, or from the event loop. */
typedef struct FrontFlowHooks {
  void *data;
  void (*pause)(void *data, guint64 number, gboolean pauses); /* FlowHooks */
  void (*paused)(void *data, guint64 number, gint64 now);     /* FlowHooks */
  /* A connection is aborted; 'number' is 0 if its response was complete. If it
  ** was not, 'hangup' follows. */
  void (*aborted)(void *data, guint64 number, FlowReason reason,
                  const FlowReader *reader, guint64 total);
  /* A request was refused because there was no memory for its body. 'id' is
  ** NULL if its head is invalid. */
  void (*body_refused)(void *data, const char *id, guint64 size, guint64 held);
  /* A request was refused, or the connection of a caller that sends on behind
  ** its request is closed, because callers hold too much. NULL: nobody wants
  ** to know. */
  void (*input_refused)(void *data, const FrontRefusal *refusal);
} FrontFlowHooks;

/* Switches flow control on (flow_control.h), before the event loop runs. */
void front_control_flow(Front *front, const FlowLimits *limits,
                        const FrontFlowHooks *hooks);
/* The number of requests refused since the start for lack of memory for their
** bodies. */
guint64 front_bodies_refused(const Front *front);
/* The number of requests refused, and connections closed, since the start
** because callers held too much (FrontFlowHooks.input_refused). */
guint64 front_input_refused(const Front *front);
/* The state of flow control; NULL: it is off. */
const FlowControl *front_flow(const Front *front);

/*
** The process stood still since this time. Requests whose bytes lie unread in
** the kernel may have arrived at its beginning, on open connections and on
** those that wait to be accepted.
*/
void front_stood_still(Front *front, gint64 since);
/* Returns for how long, in microseconds, the request may have waited to be
** read because of that. */
gint64 front_request_unread(const Front *front, guint64 number, gint64 now);

/* The head or body of a request; NULL when the number is not valid. */
const HttpHead *front_request_head(const Front *front, guint64 number);
GByteArray *front_request_body(const Front *front, guint64 number);

/* Sends a whole response, which ends the request. */
void front_send_response(Front *front, guint64 number, const HttpHead *head,
                         const char *body, gsize size);
/*
** Sends a chunked response: its head, any number of pieces, and its end, which
** ends the request. A caller that leaves more than 4 MB of it unread is
** disconnected.
*/
void front_begin_response(Front *front, guint64 number, const HttpHead *head);
void front_send_piece(Front *front, guint64 number, const char *bytes,
                      gsize size);
/* Holds back what is sent to the caller from now on ('holds'), or sends it and
** what follows. What the connection still had to send before is held back too.
** A response must not end while it is held. */
void front_hold_response(Front *front, guint64 number, gboolean holds);
void front_end_response(Front *front, guint64 number);
/*
** Ends a request and closes its connection without the last chunk, so that the
** caller cannot take the response as complete.
*/
void front_abort_response(Front *front, guint64 number);

/*
** Begins a planned stop: from now on each response has "Connection: close",
** and its connection is closed after it. New connections are still accepted.
*/
void front_drain(Front *front);
/*
** From now on, only requests that arrive whole at once are handed to the user
** of the server; others are refused as not run (REFUSAL_DRAINING), by their
** heads if these arrive. Closes the connections that wait for the first byte
** of a request: at once, or soon after their callers have acknowledged all. It
** is called again and again until the stop has ended.
*/
void front_stop_receiving(Front *front);
/* The number of requests whose responses have not ended. */
unsigned front_open_requests(const Front *front);

/* Responses that are complete or not, and have not been sent whole. */
typedef struct FrontUnsent {
  guint connections; /* those that have unsent or unacknowledged bytes, or are
                     ** not half-closed or held yet */
  guint64 bytes;     /* that the kernel has not taken */
  guint64 unacknowledged; /* that the kernel holds on half-closed and held
                          ** connections and their callers have not
                          ** acknowledged */
  guint lingering; /* further connections, whose callers have not closed them
                   ** after their last responses, or may send one more request
                   ** for a moment */
  guint receiving; /* further connections on which a request has begun to
                   ** arrive, after front_stop_receiving(); 0 before it. All
                   ** that wait to be accepted count as one. */
} FrontUnsent;

FrontUnsent front_unsent(const Front *front);
/* Do connections wait to be accepted? Their requests may be complete in the
** kernel. */
gboolean front_has_unaccepted(const Front *front);
/* The number of responses since the start that were cut off because their
** callers did not read them in time. */
guint64 front_responses_cut(const Front *front);
/* The number of responses since the start that were lost with their
** connections (FrontHooks.cut) for this reason. */
guint64 front_responses_lost(const Front *front, CloseReason reason);

#endif
