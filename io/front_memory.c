/*
** front_memory.c
** What the requests of callers hold
*/

#include <event2/buffer.h>

#include "io/clock.h"
#include "io/front_memory.h"
#include "io/front_request.h"
#include "io/sockets.h"

/* Retry-After of a request for which there was no memory (ms): one that holds
** much is in most cases done by then, and one that stalls has given way. */
#define MEMORY_RETRY_MS 1000

guint64 connection_announced_body(const Connection *connection) {
  const char *length = http_head_get(connection->head, "Content-Length");
  guint64 size = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
  return MIN(size, connection->limits.max_body_bytes);
}

/* Bytes that the connection holds for a request besides its body. */
static guint64 input_size(const Connection *connection) {
  size_t unread =
      evbuffer_get_length(bufferevent_get_input(connection->events));
  guint64 size = unread + http_reader_size(connection->reader);
  if (connection->head != NULL)
    size += http_head_size(connection->head);
  if (connection->body_held_at != 0 || unread >= READ_AHEAD)
    size +=
        RECEIVE_BYTES_MAX; /* it is not read, so the kernel's may be full */
  return size;
}

/*
** {==================================================================
** Refusals
** ===================================================================
*/

static void report_refusal(const Connection *connection, guint64 bytes,
                           guint64 used, gboolean gave_way) {
  Front *front = connection->front;
  const FrontFlowHooks *hooks = &front->flow_hooks;
  FrontRefusal refusal = {0};
  CallerHead parsed = {0};
  gboolean is_known =
      connection->head != NULL &&
      front->dialect->read_caller(connection->head, &parsed, NULL);
  refusal.id = is_known ? parsed.request.id : NULL;
  refusal.caller = socket_peer(bufferevent_getfd(connection->events));
  refusal.bytes = bytes;
  refusal.used = used;
  refusal.gave_way = gave_way;
  front->input_refused++;
  if (hooks->input_refused != NULL)
    hooks->input_refused(hooks->data, &refusal);
  if (connection->head != NULL)
    caller_head_clear(&parsed);
}

/* Refuses the request that arrives, or ends a connection that sends on behind
** an open request: a refusal would come before the response to that one. */
static void refuse(Connection *connection, guint64 used, gboolean gave_way) {
  guint64 bytes = input_size(connection) + connection->body->len;
  report_refusal(connection, bytes, used, gave_way);
  if (connection->state != CONNECTION_READING) {
    connection_reset(connection, CLOSE_MEMORY);
    return;
  }
  connection_refuse_busy(connection, MEMORY_RETRY_MS);
}

void connection_give_way(void *data, gpointer owner, guint64 used) {
  (void)data;
  refuse(owner, used, TRUE);
}

/* Refuses a request whose body was held back for too long. */
static void refuse_body(Connection *connection) {
  guint64 size =
      MAX(connection_announced_body(connection), connection->body->len);
  Front *front = connection->front;
  const FrontFlowHooks *hooks = &front->flow_hooks;
  CallerHead parsed;
  const char *id = front->dialect->read_caller(connection->head, &parsed, NULL)
                       ? parsed.request.id
                       : NULL;
  hooks->body_refused(hooks->data, id, size, flow_used(front->flow));
  front->bodies_refused++;
  caller_head_clear(&parsed);
  connection_refuse_busy(connection, MEMORY_RETRY_MS);
}

/* }================================================================== */

/*
** {==================================================================
** Bodies
** ===================================================================
*/

static gboolean reserve_announced(const Connection *connection, guint64 size,
                                  gint64 now) {
  FlowControl *flow = connection->front->flow;
  gboolean must_fit = size > FLOW_SMALL_BYTES;
  if (flow_set_body(flow, connection->flow, size, must_fit))
    return TRUE;
  return flow_make_room(flow, connection->flow, FLOW_BODY_COPIES * size,
                        now) &&
         flow_set_body(flow, connection->flow, size, must_fit);
}

/* Reserves memory for the body as it is announced, or for more than what has
** come of it. Returns FALSE if there is none now. */
static gboolean reserve_body(const Connection *connection, gint64 now) {
  guint64 announced = connection_announced_body(connection);
  guint64 size = connection->body->len;
  if (size <= announced)
    return reserve_announced(connection, announced, now);
  return flow_grow_body(connection->front->flow, connection->flow, size,
                        connection->limits.max_body_bytes, now);
}

static void take_body_in(Connection *connection) {
  gint64 now = clock_now();
  if (connection->flow == NULL || reserve_body(connection, now))
    return;
  connection->body_held_at = now;
  connection->front->holds_bodies = TRUE;
  flow_set_waiting(connection->flow, TRUE);
}

void connection_begin_body(Connection *connection) {
  take_body_in(connection);
}

void connection_count_body(Connection *connection) {
  if (connection->body_held_at == 0 &&
      connection->body->len > connection_announced_body(connection))
    take_body_in(connection);
}

static void read_on(Connection *connection) {
  connection->body_held_at = 0;
  flow_set_waiting(connection->flow, FALSE);
  bufferevent_enable(connection->events, EV_READ);
}

/* Takes a body in that was held back, or refuses its request. */
static void review_body(Connection *connection, gint64 now) {
  gboolean fits = reserve_body(connection, now);
  if (!fits && now - connection->body_held_at < FLOW_HELD_MAX)
    return;
  read_on(connection);
  if (fits)
    bufferevent_trigger(connection->events, EV_READ,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  else
    refuse_body(connection);
}

void front_review_bodies(Front *front, gint64 now) {
  GList *all;
  GList *one;
  if (!front->holds_bodies)
    return;
  front->holds_bodies = FALSE;
  all = g_hash_table_get_keys(front->connections);
  for (one = all; one != NULL; one = one->next) {
    Connection *connection = one->data;
    if (connection->body_held_at == 0 ||
        connection->state != CONNECTION_READING)
      continue;
    review_body(connection, now);
    front->holds_bodies = TRUE; /* it may still be held back */
  }
  g_list_free(all);
}

/* }================================================================== */

/*
** {==================================================================
** Input
** ===================================================================
*/

/* Does a request arrive, or a next one behind an open one as fast as it can?
** A caller that is quick with its next request sends no more than a head. */
static gboolean has_arrival(const Connection *connection) {
  size_t unread =
      evbuffer_get_length(bufferevent_get_input(connection->events));
  if (connection->state == CONNECTION_READING)
    return connection_is_receiving(connection);
  return connection->number != 0 && unread >= READ_AHEAD;
}

gboolean connection_count_input(Connection *connection) {
  FlowControl *flow = connection->front->flow;
  gint64 now = clock_now();
  if (connection->flow == NULL || connection->state == CONNECTION_LINGERING)
    return TRUE;
  flow_set_input(flow, connection->flow, input_size(connection));
  if (!has_arrival(connection))
    return TRUE;
  flow_begin_arrival(connection->flow, now);
  if (flow_make_room(flow, connection->flow, 0, now))
    return TRUE;
  refuse(connection, flow_used(flow), FALSE);
  return FALSE;
}

void connection_end_arrival(Connection *connection) {
  if (connection->flow != NULL)
    flow_end_arrival(connection->flow);
}

void connection_drop_input(Connection *connection) {
  struct evbuffer *in = bufferevent_get_input(connection->events);
  FlowControl *flow = connection->front->flow;
  connection_end_arrival(connection);
  connection_drop_body(connection);
  http_reader_discard(connection->reader);
  evbuffer_drain(in, evbuffer_get_length(in));
  if (connection->flow == NULL)
    return;
  flow_set_body(flow, connection->flow, 0, FALSE);
  flow_set_input(flow, connection->flow, 0);
}

/* }================================================================== */
