/*
** front_connection.c
** A connection of a caller: its state, its timeouts, and how it ends
*/

#include <sys/socket.h>

#include <event2/buffer.h>

#include "io/clock.h"
#include "io/front_connection.h"
#include "io/sockets.h"

/* After a response that ends the connection, input is read and discarded until
** the caller closes the connection or sends nothing for this long: closing the
** socket with unread input, or before further input arrives, could reset the
** connection before the caller has read that response. */
#define LINGER_SECONDS 1
/* A caller that goes on sending is closed after this time: a body of the
** largest size takes 3.4 s at 10 Mbit/s. */
#define LINGER_MAX (10 * MP_SEC)

/* How long a held connection still waits for a request when its caller has
** acknowledged all, at least: its next request may take a round trip. It is
** also the time between two looks at what is acknowledged. */
#define HOLD_STEP (100 * MP_MS)
/* A held connection is closed after this time, as one that lingers; what the
** kernel has it sends on. */
#define HOLD_MAX LINGER_MAX

/* Send buffer of a caller's connection while flow control is on, in bytes; the
** kernel reserves twice as many. By default it reserves up to 4 MB, which
** count as memory of the instance. This size carries 10 Mbit/s at a round-trip
** time of 100 ms. */
#define SEND_BUFFER (128 << 10)

/* A head is kept after its response to name the request in a report, unless it
** takes more than this (bytes). */
#define ANSWERED_HEAD_MAX (8 << 10)

void connection_count_cut(Connection *connection) {
  if (connection->is_cut)
    return;
  connection->is_cut = TRUE;
  connection->front->cut++;
}

/* Reports what was added to the output of a connection, or has left it. */
static void on_output_change(struct evbuffer *out,
                             const struct evbuffer_cb_info *info, void *data) {
  const Connection *connection = data;
  FlowControl *flow = connection->front->flow;
  gint64 now = clock_now();
  (void)out;
  flow_wrote(flow, connection->flow, info->n_added, now);
  flow_read(flow, connection->flow, info->n_deleted, now);
}

void connection_begin_flow_control(Connection *connection,
                                   evutil_socket_t fd) {
  int size = SEND_BUFFER;
  if (connection->front->flow == NULL)
    return;
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  size = RECEIVE_BUFFER;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  connection->flow = flow_add(connection->front->flow, connection);
  evbuffer_add_cb(bufferevent_get_output(connection->events), on_output_change,
                  connection);
}

static void end_flow_control(Connection *connection) {
  if (connection->flow == NULL)
    return;
  evbuffer_remove_cb(bufferevent_get_output(connection->events),
                     on_output_change, connection);
  flow_remove(connection->front->flow, connection->flow);
}

void connection_set_flow_request(const Connection *connection,
                                 guint64 number) {
  if (connection->flow != NULL)
    flow_set_request(connection->front->flow, connection->flow, number, 0);
}

gboolean connection_is_aborted(const Connection *connection) {
  return connection->flow != NULL && flow_is_aborted(connection->flow);
}

void connection_abort(void *data, gpointer owner, guint64 number,
                      FlowReason reason, const FlowReader *reader,
                      guint64 total) {
  const Front *front = data;
  Connection *connection = owner;
  struct linger discard = {1, 0};
  evutil_socket_t fd = bufferevent_getfd(connection->events);
  connection_count_cut(connection);
  front->flow_hooks.aborted(front->flow_hooks.data, number, reason, reader,
                            total);
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  connection_shut_down(connection, CLOSE_FLOW);
}

void connection_free(gpointer p) {
  Connection *connection = p;
  end_flow_control(connection);
  intake_remove(connection->front->intake, &connection->intake);
  bufferevent_free(connection->events);
  http_reader_free(connection->reader);
  http_head_free(connection->head);
  http_head_free(connection->answered);
  g_byte_array_unref(connection->body);
  g_free(connection);
}

/* Would the caller lose a part of a response now? What the kernel holds it
** sends on, unless further input resets the connection. */
static gboolean is_loss(const FrontCut *cut) {
  gboolean may_be_reset =
      cut->reason == CLOSE_SENDS_ON || cut->reason == CLOSE_PROCESS_END;
  return cut->is_unfinished || cut->unsent > 0 ||
         (may_be_reset && cut->unacknowledged > 0);
}

/* Returns why a response is lost when its connection is closed: what this
** instance has done to it before goes before the reason given. */
static CloseReason first_reason(const Connection *connection,
                                CloseReason reason) {
  if (connection->reason != CLOSE_FINISHED)
    return connection->reason;
  return connection->is_broken_off ? CLOSE_BROKEN_OFF : reason;
}

/* Reports a request, or the part of one that has arrived, that is read and
** discarded. */
static void report_discarded(const Connection *connection) {
  Front *front = connection->front;
  FrontCut cut = {CLOSE_DISCARDED, connection->head, TRUE, 0, 0};
  front->lost[cut.reason]++;
  front->hooks.cut(front->hooks.data, &cut);
}

void connection_report_loss(const Connection *connection, CloseReason reason) {
  Front *front = connection->front;
  gboolean is_open = connection->number != 0;
  FrontCut cut = {0};
  if (connection->discards_requests &&
      http_reader_state(connection->reader) == HTTP_READER_PARTIAL)
    report_discarded(connection);
  cut.reason = first_reason(connection, reason);
  cut.head = is_open ? connection->head : connection->answered;
  cut.is_unfinished = is_open || connection->is_broken_off;
  cut.unsent = connection_unsent(connection);
  cut.unacknowledged = connection_unacknowledged(connection);
  if (!is_loss(&cut))
    return;
  front->lost[cut.reason]++;
  front->hooks.cut(front->hooks.data, &cut);
}

void connection_shut_down(Connection *connection, CloseReason reason) {
  if (connection->reason == CLOSE_FINISHED)
    connection->reason = reason;
  shutdown(bufferevent_getfd(connection->events), SHUT_RDWR);
}

void connection_reset(Connection *connection, CloseReason reason) {
  struct linger discard = {1, 0};
  setsockopt(bufferevent_getfd(connection->events), SOL_SOCKET, SO_LINGER,
             &discard, sizeof discard);
  connection_shut_down(connection, reason);
  /* a full input buffer is not read, so the end would not be noticed */
  bufferevent_disable(connection->events, EV_READ);
  bufferevent_trigger_event(connection->events,
                            BEV_EVENT_READING | BEV_EVENT_ERROR,
                            BEV_TRIG_DEFER_CALLBACKS);
}

void connection_close(Connection *connection, CloseReason reason) {
  Front *front = connection->front;
  guint64 number = connection->number;
  connection_report_loss(connection, reason);
  if (number != 0)
    g_hash_table_remove(front->open, &connection->number);
  g_hash_table_remove(front->connections, connection);
  if (number != 0)
    front->hooks.hangup(front->hooks.data, number);
}

/* Sets the timeouts of libevent; 0: no read timeout. */
static void set_timeouts(const Connection *connection, gint64 wait) {
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  struct timeval write_time = {10, 0};
  bufferevent_set_timeouts(connection->events, wait > 0 ? &time : NULL,
                           &write_time);
}

void connection_set_read_timeout(Connection *connection, gint64 wait) {
  connection->read_began_at = clock_now();
  connection->read_until = connection->read_began_at + wait;
  set_timeouts(connection, wait);
}

void connection_change_read_timeout(Connection *connection, gint64 before,
                                    gint64 wait) {
  gint64 now = clock_now();
  if (wait == before)
    return;
  if (wait > before)
    connection->read_until =
        MAX(connection->read_until, connection->read_began_at + wait);
  else
    connection->read_until = MIN(connection->read_until, now + wait);
  set_timeouts(connection, MAX(connection->read_until - now, 1));
}

void connection_begin_limits(Connection *connection) {
  connection->limits = connection->front->limits;
  http_reader_set_limits(connection->reader, connection->limits.max_head_bytes,
                         connection->limits.max_body_bytes);
}

void connection_drop_body(Connection *connection) {
  if (connection->body->len == 0)
    return;
  g_byte_array_unref(connection->body);
  connection->body = g_byte_array_new();
}

void connection_forget_request(Connection *connection) {
  if (connection->number != 0)
    g_hash_table_remove(connection->front->open, &connection->number);
  intake_end_request(connection->front->intake, &connection->intake);
  connection_set_flow_request(connection, 0);
  connection->number = 0;
  if (connection->flow != NULL)
    flow_set_body(connection->front->flow, connection->flow, 0, FALSE);
  connection_set_answered(connection);
  connection_drop_body(connection);
}

void connection_set_answered(Connection *connection) {
  http_head_free(connection->answered);
  connection->answered = NULL;
  if (connection->head != NULL &&
      http_head_size(connection->head) <= ANSWERED_HEAD_MAX)
    connection->answered = connection->head;
  else
    http_head_free(connection->head);
  connection->head = NULL;
}

size_t connection_unsent(const Connection *connection) {
  return evbuffer_get_length(bufferevent_get_output(connection->events));
}

guint64 connection_unacknowledged(const Connection *connection) {
  guint64 size = socket_unacknowledged(bufferevent_getfd(connection->events));
  if (connection->state == CONNECTION_LINGERING && size > 0)
    size--; /* its end, which the kernel counts as a byte */
  return size;
}

gboolean connection_waits_for_reader(const Connection *connection) {
  return connection->state == CONNECTION_READING &&
         connection_unsent(connection) > 0;
}

gboolean connection_has_input(const Connection *connection) {
  return evbuffer_get_length(bufferevent_get_input(connection->events)) > 0 ||
         socket_has_input(bufferevent_getfd(connection->events));
}

gboolean connection_is_yet_to_read(const Connection *connection) {
  return connection->state == CONNECTION_READING &&
         connection_has_input(connection);
}

void connection_discard_input(Connection *connection) {
  struct evbuffer *in = bufferevent_get_input(connection->events);
  HttpReader *reader = connection->reader;
  while (connection->discards_requests && evbuffer_get_length(in) > 0) {
    size_t size = evbuffer_get_contiguous_space(in);
    const char *bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)size);
    evbuffer_drain(in, http_reader_feed(reader, bytes, size));
    if (http_reader_state(reader) == HTTP_READER_FAILED)
      connection->discards_requests = FALSE;
    if (http_reader_state(reader) != HTTP_READER_DONE)
      continue;
    report_discarded(connection);
    http_head_free(connection->head);
    connection->head = NULL;
    http_reader_start_next(reader);
  }
  evbuffer_drain(in, evbuffer_get_length(in));
}

void connection_rest_when_full(const Connection *connection) {
  struct evbuffer *in = bufferevent_get_input(connection->events);
  if (evbuffer_get_length(in) >= READ_AHEAD)
    bufferevent_disable(connection->events, EV_READ);
}

void connection_read_on(const Connection *connection) {
  if (!connection->has_ended)
    bufferevent_enable(connection->events, EV_READ);
}

/* Half-closes a connection, and begins to discard its input. */
static void linger(Connection *connection) {
  HttpReaderState state = http_reader_state(connection->reader);
  connection->state = CONNECTION_LINGERING;
  if (connection->flow != NULL) {
    flow_end_arrival(connection->flow);
    flow_set_input(connection->front->flow, connection->flow, 0);
  }
  if (state == HTTP_READER_DONE)
    http_reader_start_next(connection->reader);
  connection->discards_requests =
      state == HTTP_READER_DONE || state == HTTP_READER_IDLE;
  connection->lingers_until = clock_now() + LINGER_MAX;
  shutdown(bufferevent_getfd(connection->events), SHUT_WR);
  connection_set_read_timeout(connection, LINGER_SECONDS * MP_SEC);
  bufferevent_enable(connection->events, EV_READ); /* a timeout disables it */
  connection_discard_input(connection);
}

/* Reads the next request, after the response to the one before. */
static void read_next(Connection *connection) {
  connection->state = CONNECTION_READING;
  connection->may_continue = FALSE;
  if (connection->flow != NULL) {
    flow_end_arrival(connection->flow);
    flow_set_input(
        connection->front->flow, connection->flow,
        evbuffer_get_length(bufferevent_get_input(connection->events)));
  }
  connection->held_until = 0;
  connection->began_at = 0;
  connection->arrives_until = 0;
  if (http_reader_state(connection->reader) == HTTP_READER_DONE)
    http_reader_start_next(connection->reader);
  connection_begin_limits(connection);
  connection_set_read_timeout(connection, connection->limits.idle_timeout);
  connection_read_on(connection);
  if (evbuffer_get_length(bufferevent_get_input(connection->events)) > 0)
    bufferevent_trigger(connection->events, EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

static void begin_hold(Connection *connection) {
  connection->held_until = clock_now() + HOLD_MAX;
  connection->is_acknowledged = FALSE;
  connection_set_read_timeout(connection, HOLD_STEP);
}

gboolean connection_hold(Connection *connection) {
  gboolean was_acknowledged = connection->is_acknowledged;
  gboolean is_acknowledged = connection_unacknowledged(connection) == 0;
  if (connection->held_until == 0 && is_acknowledged)
    return FALSE;
  if (connection->held_until == 0)
    begin_hold(connection);
  else if (was_acknowledged || clock_now() >= connection->held_until)
    return FALSE;
  connection->is_acknowledged = is_acknowledged;
  bufferevent_enable(connection->events, EV_READ); /* a timeout disables it */
  return TRUE;
}

void connection_close_idle(Connection *connection) {
  if (connection->held_until == 0 && !connection_hold(connection))
    connection_close_when_flushed(connection);
}

/* Has the caller sent a next request, because the response that is written did
** not announce the end of the connection? */
static gboolean has_next_request(const Connection *connection) {
  return connection->may_continue && connection_has_input(connection);
}

void connection_end_if_flushed(Connection *connection) {
  if (connection_unsent(connection) > 0)
    return;
  if (has_next_request(connection))
    read_next(connection);
  else if (connection->may_continue && !connection->has_ended) {
    read_next(connection);
    begin_hold(connection);
  } else if (connection->lingers)
    linger(connection);
  else
    connection_close(connection, CLOSE_FINISHED);
}

void connection_close_when_flushed(Connection *connection) {
  connection->state = CONNECTION_FLUSHING;
  if (connection->flow != NULL)
    flow_end_arrival(connection->flow);
  connection_set_read_timeout(connection, 0); /* only the writing counts now */
  connection_end_if_flushed(connection);
}

void connection_end_response(Connection *connection, gboolean close) {
  connection_forget_request(connection);
  if (close) {
    connection->lingers |= http_reader_keep_alive(connection->reader);
    connection_close_when_flushed(connection);
    return;
  }
  read_next(connection);
}

gboolean connection_is_still_read(const Connection *connection) {
  if (connection->state == CONNECTION_READING)
    return connection_unsent(connection) > 0;
  return connection->state == CONNECTION_LINGERING &&
         clock_now() < connection->lingers_until &&
         connection_unacknowledged(connection) > 0;
}
