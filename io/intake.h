/*
** intake.h
** Takes callers' connections in, as many as this instance can serve
**
** The server for callers asks for each connection that it has accepted whether
** it is admitted (connection_limit.h); one that is not is closed unread, at
** once, so that its caller can turn to another instance. The server reports
** the requests on admitted connections. A connection is "awaited" from its
** acceptance until its first request was received, "busy" while a request on
** it is open, and "idle" otherwise. One that is awaited for long counts as
** idle too, because callers may open connections before they need them.
** While a connection is awaited or busy, the lag of the event loop is measured
** (loop_lag.h).
** Used by front.c and callers.c, which own one each.
*/

#ifndef INTAKE_H
#define INTAKE_H

#include "io/connection_limit.h"
#include "io/log.h"
#include "io/path_delay.h"

typedef struct Intake Intake;

typedef enum IntakeState {
  INTAKE_IDLE,
  INTAKE_AWAITED,
  INTAKE_BUSY,
  INTAKE_STATE_COUNT
} IntakeState;

/* A planned stop closes no connection as idle that was accepted this recently
** and has had no request: its first bytes may be under way. */
#define INTAKE_FIRST_BYTES_MAX (100 * MP_MS)

/* A connection, as its server keeps it; all zero before intake_admit. */
typedef struct IntakeConnection {
  IntakeState state;
  gint64 accepted_at;
  GList link; /* in Intake.awaited while the state is INTAKE_AWAITED */
} IntakeConnection;

/* 'base' is borrowed, and so is 'log', which may be NULL. */
Intake *intake_new(struct event_base *base, Log *log);
/* No connection may be counted any more. */
void intake_free(Intake *intake);

/* A connection was accepted. Returns FALSE if it has to be closed unread. */
gboolean intake_admit(Intake *intake, IntakeConnection *connection);
/* A request was received on the connection, or has ended there. */
void intake_begin_request(Intake *intake, IntakeConnection *connection);
void intake_end_request(Intake *intake, IntakeConnection *connection);
/* The connection is closed. */
void intake_remove(Intake *intake, IntakeConnection *connection);

/* May the first bytes of the connection be under way (INTAKE_FIRST_BYTES_MAX)?
 */
gboolean intake_awaits_first_bytes(const IntakeConnection *connection,
                                   gint64 now);

/* A connection to an endpoint was made, or given up, after this time (us). */
void intake_note_connect(Intake *intake, gint64 took);

/* Returns TRUE while this instance has all the work that it can do: kept
** connections should be closed after their responses, and no work be accepted
** for other instances. */
gboolean intake_is_full(const Intake *intake);

/* Connections in this state. */
guint intake_count(const Intake *intake, IntakeState state);
/* Connections since the start that were accepted, and those of them that were
** closed unread. */
guint64 intake_accepted(const Intake *intake);
guint64 intake_closed_unread(const Intake *intake);
/* The limit of connections that are awaited or busy; 0: none. */
guint intake_limit(const Intake *intake);
/* As path_delay_take() last had it. */
gint64 intake_path_delay(const Intake *intake);
const LoopLag *intake_loop_lag(const Intake *intake);

#endif
