/*
** intake.c
** Takes callers' connections in, as many as this instance can serve
*/

#include "io/clock.h"
#include "io/intake.h"

/* Callers send their requests within some round trips after they connected. A
** connection that is silent for longer counts as idle. */
#define AWAITED_MAX (500 * MP_MS)
/* An overload is over, for the log, when no connection was closed unread for
** this long. */
#define OVER_TIME (2 * MP_SEC)

struct Intake {
  LoopLag *loop_lag;
  Log *log; /* may be NULL */
  ConnectionLimit limit;
  PathDelay connects; /* to endpoints */
  gint64 path_delay;  /* as of the last measurement */
  guint counts[INTAKE_STATE_COUNT];
  GQueue awaited; /* IntakeConnection, the oldest one first; not owned */
  guint64 accepted;
  guint64 closed_unread;
  gint64 closed_at;      /* when the last one was closed unread */
  gint64 overload_began; /* 0: there is none */
  guint64 closed_before; /* closed_unread when it began */
};

/*
** {==================================================================
** Log
** ===================================================================
*/

static void log_begin(Intake *intake, gint64 now) {
  const LoopSample *sample = loop_lag_last(intake->loop_lag);
  if (intake->overload_began != 0)
    return;
  intake->overload_began = now;
  intake->closed_before = intake->closed_unread;
  if (intake->log != NULL)
    log_numbered(intake->log, MP_LOG_OVERLOADED,
                 " limit=%u awaited=%u busy=%u turn_ms=%d busy_ms=%d "
                 "path_delay_ms=%d",
                 intake->limit.limit, intake->counts[INTAKE_AWAITED],
                 intake->counts[INTAKE_BUSY], (int)(sample->turn / MP_MS),
                 (int)(sample->busy / MP_MS),
                 (int)(intake->path_delay / MP_MS));
}

static void log_end(Intake *intake, gint64 now) {
  if (intake->overload_began == 0 || now - intake->closed_at < OVER_TIME)
    return;
  if (intake->log != NULL)
    log_numbered(intake->log, MP_LOG_OVERLOAD_OVER,
                 " limit=%u closed=%" G_GUINT64_FORMAT " lasted_ms=%d",
                 intake->limit.limit,
                 intake->closed_unread - intake->closed_before,
                 (int)((intake->closed_at - intake->overload_began) / MP_MS));
  intake->overload_began = 0;
}

/* }================================================================== */

static guint under_way(const Intake *intake) {
  return intake->counts[INTAKE_AWAITED] + intake->counts[INTAKE_BUSY];
}

static void leave_state(Intake *intake, IntakeConnection *connection) {
  intake->counts[connection->state]--;
  if (connection->state == INTAKE_AWAITED)
    g_queue_unlink(&intake->awaited, &connection->link);
}

static void set_state(Intake *intake, IntakeConnection *connection,
                      IntakeState state) {
  leave_state(intake, connection);
  connection->state = state;
  intake->counts[state]++;
}

static void drop_silent(Intake *intake, gint64 now) {
  IntakeConnection *oldest;
  while ((oldest = g_queue_peek_head(&intake->awaited)) != NULL &&
         now - oldest->accepted_at >= AWAITED_MAX)
    set_state(intake, oldest, INTAKE_IDLE);
}

static void on_sample(void *data, const LoopSample *sample) {
  Intake *intake = data;
  /* a loop that lags has not read yet what they sent */
  drop_silent(intake, sample->at - sample->busy);
  intake->path_delay = path_delay_take(&intake->connects);
  connection_limit_measure(&intake->limit, sample, intake->path_delay,
                           under_way(intake));
  log_end(intake, sample->at);
  if (under_way(intake) == 0 && intake->overload_began == 0)
    loop_lag_stop(intake->loop_lag);
}

Intake *intake_new(struct event_base *base, Log *log) {
  Intake *intake = g_new0(Intake, 1);
  intake->log = log;
  intake->loop_lag = loop_lag_new(base, on_sample, intake);
  return intake;
}

void intake_free(Intake *intake) {
  loop_lag_free(intake->loop_lag);
  g_free(intake);
}

gboolean intake_admit(Intake *intake, IntakeConnection *connection) {
  gint64 now = clock_now();
  intake->accepted++;
  loop_lag_start(intake->loop_lag);
  if (!connection_limit_admit(&intake->limit, under_way(intake), now)) {
    log_begin(intake, now);
    intake->closed_unread++;
    intake->closed_at = now;
    return FALSE;
  }
  connection->accepted_at = now;
  connection->link.data = connection;
  connection->state = INTAKE_AWAITED;
  intake->counts[INTAKE_AWAITED]++;
  g_queue_push_tail_link(&intake->awaited, &connection->link);
  return TRUE;
}

void intake_begin_request(Intake *intake, IntakeConnection *connection) {
  loop_lag_start(intake->loop_lag);
  set_state(intake, connection, INTAKE_BUSY);
}

void intake_end_request(Intake *intake, IntakeConnection *connection) {
  set_state(intake, connection, INTAKE_IDLE);
}

void intake_remove(Intake *intake, IntakeConnection *connection) {
  leave_state(intake, connection);
  connection->state = INTAKE_IDLE;
}

gboolean intake_awaits_first_bytes(const IntakeConnection *connection,
                                   gint64 now) {
  return connection->state == INTAKE_AWAITED &&
         now - connection->accepted_at < INTAKE_FIRST_BYTES_MAX;
}

void intake_note_connect(Intake *intake, gint64 took) {
  path_delay_add(&intake->connects, took);
}

gboolean intake_is_full(const Intake *intake) {
  return intake->limit.is_behind ||
         connection_limit_is_reached(&intake->limit, under_way(intake));
}

guint intake_count(const Intake *intake, IntakeState state) {
  return intake->counts[state];
}

guint64 intake_accepted(const Intake *intake) {
  return intake->accepted;
}

guint64 intake_closed_unread(const Intake *intake) {
  return intake->closed_unread;
}

guint intake_limit(const Intake *intake) {
  return intake->limit.limit;
}

gint64 intake_path_delay(const Intake *intake) {
  return intake->path_delay;
}

const LoopLag *intake_loop_lag(const Intake *intake) {
  return intake->loop_lag;
}
