/*
** front_request.c
** Receives requests of callers, and refuses those that are not taken in
*/

#include <string.h>

#include <event2/buffer.h>

#include "io/clock.h"
#include "io/front_memory.h"
#include "io/front_request.h"
#include "io/front_response.h"

void connection_reject(Connection *connection, int status,
                       const char *detail) {
  Front *front = connection->front;
  char *body = NULL;
  HttpHead *head = front->dialect->write_bad_input(status, detail, &body);
  front->hooks.bad_input(front->hooks.data, status, detail);
  connection->lingers = TRUE;
  connection_write_response(connection, head, body, strlen(body), TRUE);
  http_head_free(head);
  g_free(body);
  connection_drop_input(connection);
  http_head_free(connection->head);
  connection->head = NULL;
  connection_close_when_flushed(connection);
}

static void on_head(void *data, HttpHead *head) {
  Connection *connection = data;
  http_head_free(connection->head);
  connection->head = head;
  if (connection->state !=
      CONNECTION_LINGERING) /* otherwise it is discarded */
    connection_begin_body(connection);
}

static void on_body(void *data, const char *bytes, size_t size) {
  Connection *connection = data;
  if (connection->state == CONNECTION_LINGERING)
    return;
  g_byte_array_append(connection->body, (const guint8 *)bytes, (guint)size);
  connection_count_body(connection);
}

/* Hands a request that was received completely to the user of the server. */
static void submit_request(Connection *connection) {
  Front *front = connection->front;
  connection->state = CONNECTION_OPEN;
  connection->held_until = 0;
  connection->request_unread_since = connection->unread_since;
  if (connection->unread_since != 0 && !connection_has_input(connection))
    connection->unread_since = 0; /* what comes now has not waited */
  connection_end_arrival(connection);
  connection->began_at = 0;
  connection->arrives_until = 0;
  connection->number = ++front->last_number;
  g_hash_table_insert(front->open, &connection->number, connection);
  intake_begin_request(front->intake, &connection->intake);
  connection_set_flow_request(connection, connection->number);
  connection_set_read_timeout(connection, 0);
  front->hooks.request(front->hooks.data, connection->number,
                       connection->head);
}

/* Answers a request that the reader has rejected. */
static void reject_fault(Connection *connection) {
  switch (http_reader_error(connection->reader)) {
  case HTTP_ERROR_HEAD_TOO_LARGE:
    connection_reject(connection, 431, "the head is larger than the limit");
    break;
  case HTTP_ERROR_BODY_TOO_LARGE:
    connection_reject(connection, 413, "the body is larger than the limit");
    break;
  default:
    connection_reject(connection, 400, "not an HTTP/1.1 request");
  }
}

/*
** Refuses a request that has not arrived whole, as not run, and closes its
** connection. 'id' is NULL if it is not known.
*/
static void refuse_partial(Connection *connection, const Refusal *refusal,
                           const char *id) {
  char *body = NULL;
  HttpHead *head =
      connection->front->dialect->write_refusal(refusal, id, &body);
  connection->lingers = TRUE;
  connection_write_response(connection, head, body, strlen(body), TRUE);
  http_head_free(head);
  g_free(body);
  connection_set_answered(connection);
  connection_close_when_flushed(connection);
}

void connection_refuse_busy(Connection *connection, gint64 retry_ms) {
  Refusal refusal = {REFUSAL_BUSY, retry_ms};
  CallerHead parsed = {0};
  const char *id = NULL;
  if (connection->head != NULL &&
      connection->front->dialect->read_caller(connection->head, &parsed, NULL))
    id = parsed.request.id;
  connection->body_held_at = 0;
  bufferevent_enable(connection->events, EV_READ);
  connection_drop_input(connection);
  refuse_partial(connection, &refusal, id);
  caller_head_clear(&parsed);
  http_head_free(connection->answered);
  connection->answered = NULL;
}

void connection_refuse_for_stop(Connection *connection) {
  Refusal refusal = {REFUSAL_DRAINING, DRAINING_RETRY_MS};
  Front *front = connection->front;
  CallerHead parsed = {0};
  const char *id = NULL;
  if (connection->head != NULL &&
      front->dialect->read_caller(connection->head, &parsed, NULL))
    id = parsed.request.id;
  front->hooks.stopped(front->hooks.data, id);
  connection->body_held_at = 0;
  bufferevent_enable(connection->events, EV_READ);
  refuse_partial(connection, &refusal, id);
  caller_head_clear(&parsed);
}

/* Returns how long the caller waits for the response, at most; 0: its head is
** invalid, or states no deadline. */
static gint64 caller_wait(const Connection *connection) {
  CallerHead parsed = {0};
  gint64 wait = 0;
  if (connection->front->dialect->read_caller(connection->head, &parsed, NULL))
    wait = parsed.request.deadline_ms * MP_MS;
  caller_head_clear(&parsed);
  return wait;
}

/* Returns when the request must be whole: no response can be in time for a
** caller that has given up by then. */
static gint64 arrives_until(Connection *connection, gint64 now) {
  gint64 latest = connection->began_at + connection->front->request_timeout;
  gint64 wait;
  if (connection->head == NULL)
    return latest;
  if (connection->arrives_until == 0) {
    wait = caller_wait(connection);
    connection->arrives_until = wait > 0 ? MIN(now + wait, latest) : latest;
  }
  return connection->arrives_until;
}

/* Waits for the rest of a request, whose callers may not send as slowly as
** they like, or rejects it. */
static void await_more(Connection *connection) {
  gint64 now = clock_now();
  gint64 left;
  if (connection->began_at == 0)
    connection->began_at = now;
  left = arrives_until(connection, now) - now;
  if (left <= 0 && !connection_has_input(connection)) {
    connection_reject(connection, 408, "the request did not arrive in time");
    return;
  }
  connection_set_read_timeout(
      connection, MIN(connection->limits.head_timeout, MAX(left, 1)));
}

void connection_read_request(Connection *connection) {
  struct evbuffer *in = bufferevent_get_input(connection->events);
  HttpReader *reader = connection->reader;
  if (connection_waits_for_reader(connection)) {
    connection_rest_when_full(connection);
    return; /* on_write goes on */
  }
  while (connection->state == CONNECTION_READING &&
         connection->body_held_at == 0 && evbuffer_get_length(in) > 0) {
    size_t size = evbuffer_get_contiguous_space(in);
    const char *bytes = (const char *)evbuffer_pullup(in, (ev_ssize_t)size);
    size_t used = http_reader_feed(reader, bytes, size);
    evbuffer_drain(in, used);
    if (connection->flow != NULL)
      flow_arrived(connection->flow, used);
    if (http_reader_state(reader) == HTTP_READER_FAILED) {
      reject_fault(connection);
      return;
    }
    if (http_reader_state(reader) == HTTP_READER_DONE) {
      if (connection_count_input(connection))
        submit_request(connection);
      return;
    }
  }
  if (connection->front->is_refusing && connection->head != NULL) {
    connection_refuse_for_stop(connection);
    return;
  }
  if (connection->has_ended) { /* the rest of the request never comes */
    connection_close(connection, CLOSE_CALLER);
    return;
  }
  if (!connection_count_input(connection))
    return;
  if (connection->body_held_at != 0) {
    bufferevent_disable(connection->events, EV_READ);
    return;
  }
  if (http_reader_state(reader) == HTTP_READER_PARTIAL)
    await_more(connection);
  else if (connection->unread_since != 0 && !connection_has_input(connection))
    connection->unread_since =
        0; /* what lay unread was no part of a request */
}

/* Lets larger limits bind on a request that has begun to arrive. */
static void raise_limits(Connection *connection) {
  const CallerLimits *in_force = &connection->front->limits;
  CallerLimits *limits = &connection->limits;
  CallerLimits before = *limits;
  guint64 announced =
      connection->head != NULL ? connection_announced_body(connection) : 0;
  limits->max_head_bytes =
      MAX(before.max_head_bytes, in_force->max_head_bytes);
  limits->max_body_bytes =
      MAX(before.max_body_bytes, in_force->max_body_bytes);
  limits->head_timeout = MAX(before.head_timeout, in_force->head_timeout);
  http_reader_set_limits(connection->reader, limits->max_head_bytes,
                         limits->max_body_bytes);
  if (connection->body_held_at != 0)
    return; /* it is reviewed by the new limits, without a timeout till then */
  connection_change_read_timeout(connection, before.head_timeout,
                                 limits->head_timeout);
  if (connection->head != NULL &&
      connection_announced_body(connection) > announced)
    connection_begin_body(connection);
}

void connection_adopt_limits(Connection *connection) {
  gint64 before = connection->limits.idle_timeout;
  if (connection->state != CONNECTION_READING)
    return; /* connection_end_response does it */
  if (http_reader_state(connection->reader) == HTTP_READER_PARTIAL) {
    raise_limits(connection);
    return;
  }
  connection_begin_limits(connection);
  if (connection_unsent(connection) == 0 && /* otherwise it does not run yet */
      connection->held_until == 0)
    connection_change_read_timeout(connection, before,
                                   connection->limits.idle_timeout);
}

gboolean connection_is_receiving(const Connection *connection) {
  return connection->state == CONNECTION_READING &&
         (http_reader_state(connection->reader) == HTTP_READER_PARTIAL ||
          connection_has_input(connection));
}

const HttpReaderCallbacks front_reader_callbacks = {on_head, on_body};
