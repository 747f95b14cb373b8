/*
** front_connection.h
** A connection of a caller: its state, its timeouts, and how it ends
**
** Internal to the server for callers (front.c, front_request.c and
** front_response.c). A connection reads a request, is open while its response
** is awaited, and ends or reads the next request. Invariants: a connection is
** in Front.connections until connection_close frees it; connection_close and
** the functions that may call it, which say so, leave no valid connection. All
** times are in microseconds of one steady clock.
*/

#ifndef FRONT_CONNECTION_H
#define FRONT_CONNECTION_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "http/reader.h"
#include "io/front.h"

/* bytes that are read from a caller and buffered beyond its present request,
** while that request is open */
#define READ_AHEAD (16 << 10)
/* Receive buffer of a caller's connection while flow control is on, in bytes.
** By default it grows up to 6 MB, which count as memory of the instance. */
#define RECEIVE_BUFFER (64 << 10)
/* What the kernel reserves for it, and holds at the most. */
#define RECEIVE_BYTES_MAX ((guint64)2 * RECEIVE_BUFFER)

struct Front {
  struct event_base *base;
  struct evconnlistener *listener;
  const Dialect *dialect;
  FrontHooks hooks;
  CallerLimits limits;
  guint64 last_number;     /* of the newest request */
  gboolean is_draining;    /* a planned stop has begun: front_drain */
  gboolean is_refusing;    /* front_stop_receiving */
  gint64 refusing_since;   /* its first call */
  GHashTable *connections; /* set of Connection, which it owns */
  GHashTable *open;        /* number of an open request -> Connection */
  /* since when connections may have waited to be accepted, with bytes of a
  ** request; 0: none has */
  gint64 backlog_since;
  Intake *intake;
  FlowControl *flow; /* NULL: flow control is off */
  FrontFlowHooks flow_hooks;
  guint64 bodies_refused;
  guint64 input_refused;
  gint64 request_timeout; /* front_set_request_timeout */
  Log *log;               /* may be NULL */
  guint places;           /* connections at most; 0: as many as come */
  guint64 places_taken;   /* connections closed for new ones, and new ones that
                          ** found no place */
  struct event *accept_timer;       /* accepts again after a failure */
  guint64 cut;                      /* front_responses_cut */
  guint64 lost[CLOSE_REASON_COUNT]; /* front_responses_lost */
  gboolean holds_bodies;    /* a connection may have body_held_at set */
  struct event *flow_timer; /* NULL: flow control is off */
};

typedef enum ConnectionState {
  CONNECTION_READING,   /* waits for a request, or for the rest of one */
  CONNECTION_OPEN,      /* a request is open; no response has begun */
  CONNECTION_ANSWERING, /* a chunked response has begun */
  CONNECTION_FLUSHING,  /* is closed, held or lingers, when all output is
                        ** written */
  CONNECTION_LINGERING /* discards input until it is closed (LINGER_SECONDS) */
} ConnectionState;

typedef struct Connection {
  Front *front;
  struct bufferevent *events;
  HttpReader *reader;
  ConnectionState state;
  CallerLimits limits;  /* of the request that is awaited or read: each the
                        ** largest one in force since its first byte */
  gint64 began_at;      /* when the first byte of a request that is not whole
                        ** yet was read; 0: none was */
  gint64 arrives_until; /* when it must be whole; 0: its head has not arrived,
                        ** or its caller's deadline is not known yet */
  gint64 read_began_at; /* when the read timeout began to run */
  gint64 read_until;    /* when it ends */
  guint64 number;       /* of the open request; 0: none */
  HttpHead *head;       /* of the request; NULL until it is received */
  HttpHead *answered;   /* of the last request whose response was written */
  GByteArray *body;     /* of the request */
  gboolean lingers;     /* discard what still arrives after the response */
  gboolean is_cut;      /* counted in Front.cut */
  gboolean is_broken_off; /* its response ended without its last chunk */
  CloseReason reason; /* why this instance has shut it down; CLOSE_FINISHED: it
                      ** has not */
  gboolean says_close;   /* the head of its response has "Connection: close" */
  gboolean may_continue; /* it is being closed after a response that did not
                         ** say so: a next request may still come */
  gboolean has_ended; /* the caller has ended its side: nothing more comes, and
                      ** libevent reports neither a timeout nor a close */
  FlowConnection *flow; /* NULL: flow control is off */
  gint64 body_held_at;  /* since when its body is held back; 0: it is not */
  gint64 held_until;    /* when a connection that is held (connection_hold) is
                        ** closed at the latest; 0: it is not held */
  gboolean is_acknowledged; /* it is held, and its caller had acknowledged all
                            ** at the last look */
  gint64 lingers_until; /* when a connection that discards input is closed */
  gboolean discards_requests; /* it lingers after a whole request, so that its
                              ** input is a next request */
  gint64 unread_since; /* bytes of its next request may have waited to be read
                        ** since then; 0: they have not */
  gint64 request_unread_since; /* the same of its open request */
  IntakeConnection intake;
} Connection;

/*
** {==================================================================
** How it ends
** ===================================================================
*/

/* Frees a connection. It closes its socket and calls no hook. */
void connection_free(gpointer p);
/* Counts and reports a response that is lost if the connection is closed now.
** If this instance has shut the connection down or broken its response off
** before, that reason goes before the one given. */
void connection_report_loss(const Connection *connection, CloseReason reason);
/*
** Closes and frees a connection. It reports a response that is lost, and the
** hangup if a request is open on it.
*/
void connection_close(Connection *connection, CloseReason reason);
/* Shuts a connection down, so that the event loop closes it soon: this may be
** called while the user of the server sends a response. */
void connection_shut_down(Connection *connection, CloseReason reason);
/*
** Decides whether a connection that waits for a request is not closed yet: its
** caller has not acknowledged all of a response that did not announce the end,
** and may send its next request before it has read that. It is then held: it
** waits for a request as before until all is acknowledged and some more time
** has passed without one (HOLD_STEP), at most for HOLD_MAX. Calls itself again
** by the read timeout. Returns FALSE if the connection is to be closed now; a
** request that comes later meets a closed socket, unread, and the reset that
** it causes discards nothing.
*/
gboolean connection_hold(Connection *connection);
/* Closes a connection that waits for a request, now or when it is no longer
** held. */
void connection_close_idle(Connection *connection);
/* Closes a connection once all of its output is written, which may be at once:
** holds it if its response did not announce that, or half-closes it so that it
** lingers. */
void connection_close_when_flushed(Connection *connection);
/* Does the second part of connection_close_when_flushed, when output has been
** written. */
void connection_end_if_flushed(Connection *connection);
/*
** Ends a request whose response is complete: closes the connection as above,
** or reads the next request. A caller that would keep the connection may send
** its next request before it has read the response, so the connection lingers.
*/
void connection_end_response(Connection *connection, gboolean close);
/* Closes a connection from the event loop soon, as connection_shut_down, and
** has the kernel discard what it holds: its caller sees a reset. */
void connection_reset(Connection *connection, CloseReason reason);
/* Forgets the body. A dispatch that is being sent keeps its reference. */
void connection_drop_body(Connection *connection);
/* Forgets the request and what it holds, but for its head. */
void connection_forget_request(Connection *connection);
/* Counts a response that this instance cuts off because its caller does not
** read it. */
void connection_count_cut(Connection *connection);

/* }================================================================== */

/*
** Sets how long, in microseconds, the connection may receive nothing; 0:
** without a limit. Output may stay unsent for 10 s in any case.
*/
void connection_set_read_timeout(Connection *connection, gint64 wait);
/* Lets the limits of the server bind on the next request. */
void connection_begin_limits(Connection *connection);
/*
** Changes the read timeout while it runs. A longer one counts from when the
** timeout began, a shorter one from now; it does not end later for that.
*/
void connection_change_read_timeout(Connection *connection, gint64 before,
                                    gint64 wait);
/* The response to the request whose head was received is written: keeps this
** head, unless it is large, until the next response, to name the request in a
** report of a loss. */
void connection_set_answered(Connection *connection);
/* Bytes of responses that the kernel has not taken. */
size_t connection_unsent(const Connection *connection);
/* Bytes that the kernel holds and the caller has not acknowledged. */
guint64 connection_unacknowledged(const Connection *connection);
/* Does the caller still read a complete response, which must not be cut by a
** timeout of what it sends? */
gboolean connection_is_still_read(const Connection *connection);
/*
** Must the next request wait until the response before it has left? Its own
** response would be held back by that one, and flow control would then reset
** the connection and discard both.
*/
gboolean connection_waits_for_reader(const Connection *connection);
/* Stops reading until the next request is read, if there is as much input as
** may be: libevent would report it again and again. */
void connection_rest_when_full(const Connection *connection);
/* Reads again after connection_rest_when_full, unless the caller has ended its
** side: its end would be reported once more. */
void connection_read_on(const Connection *connection);
/* Discards the input of a connection that lingers. A next request in it is
** reported (CLOSE_DISCARDED) when it is whole, or a part of it when the
** connection is closed: its caller hears nothing of it. */
void connection_discard_input(Connection *connection);
/* Has the caller sent bytes that are not parsed yet? */
gboolean connection_has_input(const Connection *connection);
/* Have bytes of a request arrived that are yet to be read? When the event loop
** is late, libevent reports the timeout alone. */
gboolean connection_is_yet_to_read(const Connection *connection);

/*
** {==================================================================
** Flow control, if it is on
** ===================================================================
*/

/* Begins to count the unread bytes of a new connection. */
void connection_begin_flow_control(Connection *connection, evutil_socket_t fd);
/* Sets the request whose response is counted from now on; 0: none. */
void connection_set_flow_request(const Connection *connection, guint64 number);
/* Returns TRUE if flow control has aborted the connection. It is then closed
** from the event loop soon. */
gboolean connection_is_aborted(const Connection *connection);
/*
** Aborts a connection (FlowHooks). The kernel discards what it holds for the
** caller, which sees a reset. The connection is closed from the event loop,
** because this is called while the user of the server sends a response.
*/
void connection_abort(void *front, gpointer owner, guint64 number,
                      FlowReason reason, const FlowReader *reader,
                      guint64 total);

/* }================================================================== */

#endif
