/*
** front.c
** The HTTP/1.1 server for callers, on bufferevents and http_parser
**
** The platform's rules for callers' connections cannot be satisfied with
** libevhtp, which callers.c uses; docs/design/style.md names these rules. This
** file therefore does without an HTTP server library.
*/

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "io/clock.h"
#include "io/front.h"
#include "io/front_connection.h"
#include "io/front_memory.h"
#include "io/front_places.h"
#include "io/front_request.h"
#include "io/front_response.h"
#include "io/sockets.h"

/* bytes of unsent response above which a connection is closed */
#define MAX_UNREAD (4 << 20)
#define LISTEN_BACKLOG 512
/* time after which a connection is accepted again that could not be (us) */
#define ACCEPT_RETRY_TIME (100 * MP_MS)

/* limits that hold until a configuration sets them */
#define DEFAULT_HEAD_BYTES (16 << 10)
#define DEFAULT_BODY_BYTES (4 << 20)
/* CallerLimits.head_timeout: longest time without further bytes of a request
** that has begun to arrive, in its head or its body */
#define DEFAULT_HEAD_TIMEOUT (3 * MP_SEC)
/* CallerLimits.idle_timeout: longest wait for the first bytes of a request */
#define DEFAULT_IDLE_TIMEOUT (15 * MP_SEC)
/* front_set_request_timeout: callers wait for 14 s at most */
#define DEFAULT_REQUEST_TIMEOUT (30 * MP_SEC)

/*
** {==================================================================
** Events of connections
** ===================================================================
*/

static void on_read(struct bufferevent *events, void *data) {
  Connection *connection = data;
  (void)events;
  if (connection->state == CONNECTION_READING)
    connection_read_request(connection);
  else if (connection->state == CONNECTION_LINGERING) {
    connection_discard_input(connection);
    if (clock_now() >= connection->lingers_until)
      connection_close(connection, CLOSE_SENDS_ON);
  } else if (connection_count_input(connection))
    connection_rest_when_full(connection);
}

static void on_flow_timer(evutil_socket_t fd, short what, void *data) {
  Front *front = data;
  gint64 now = clock_now();
  (void)fd;
  (void)what;
  flow_tick(front->flow, now);
  front_review_bodies(front, now);
}

static void on_write(struct bufferevent *events, void *data) {
  Connection *connection = data;
  (void)events;
  /* libevent also calls this for a write before the last one */
  if (connection_unsent(connection) > 0)
    return;
  if (connection->state == CONNECTION_FLUSHING) {
    connection_end_if_flushed(connection);
    return;
  }
  if (connection->state == CONNECTION_READING && connection->held_until == 0 &&
      http_reader_state(connection->reader) == HTTP_READER_IDLE)
    connection_set_read_timeout(connection, connection->limits.idle_timeout);
  if (connection->state == CONNECTION_READING &&
      evbuffer_get_length(bufferevent_get_input(connection->events)) > 0) {
    connection_read_on(connection);
    connection_read_request(connection);
  }
}

/* Returns why a connection is closed after this event of libevent. */
static CloseReason reason_of(const Connection *connection, short what) {
  if (!(what & BEV_EVENT_TIMEOUT))
    return CLOSE_CALLER;
  if (what & BEV_EVENT_WRITING)
    return CLOSE_NOT_READ;
  return connection_unacknowledged(connection) > 0 ? CLOSE_NOT_READ
                                                   : CLOSE_FINISHED;
}

static void on_event(struct bufferevent *events, short what, void *data) {
  Connection *connection = data;
  gboolean timeout = (what & BEV_EVENT_TIMEOUT) && (what & BEV_EVENT_READING);
  if (timeout && (connection_is_still_read(connection) ||
                  connection_is_yet_to_read(connection))) {
    bufferevent_enable(events, EV_READ); /* the timeout begins anew */
    return;
  }
  if (timeout && connection->state == CONNECTION_READING &&
      http_reader_state(connection->reader) == HTTP_READER_PARTIAL) {
    connection_reject(connection, 408, "the request did not arrive in time");
    return;
  }
  if (timeout && connection->state == CONNECTION_READING &&
      connection_hold(connection))
    return;
  /* libevent may report the end together with a failure to write, after which
  ** it writes no more */
  if ((what & BEV_EVENT_EOF) &&
      !(what & (BEV_EVENT_ERROR | BEV_EVENT_WRITING)) &&
      connection->number == 0 && connection_unsent(connection) > 0) {
    /* the caller has ended its side, and may still read a whole response */
    connection->lingers = FALSE;
    connection->has_ended = TRUE;
    connection->may_continue |= connection->state == CONNECTION_READING;
    connection_close_when_flushed(connection);
    return;
  }
  if ((what & BEV_EVENT_TIMEOUT) && (what & BEV_EVENT_WRITING))
    connection_count_cut(connection);
  connection_close(connection, reason_of(connection, what));
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int size, void *data) {
  Front *front = data;
  Connection *connection = g_new0(Connection, 1);
  gint64 backlog_since = front->backlog_since;
  int on = 1;
  (void)listener;
  (void)address;
  (void)size;
  if (backlog_since != 0 && !front_has_unaccepted(front))
    front->backlog_since = 0; /* this is the last one that has waited */
  if (!front_make_place(front)) {
    front->places_taken++;
    evutil_closesocket(fd);
    g_free(connection);
    return;
  }
  if (!intake_admit(front->intake, &connection->intake)) {
    evutil_closesocket(fd);
    g_free(connection);
    return;
  }
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (backlog_since != 0 && socket_has_input(fd))
    connection->unread_since = backlog_since;
  connection->front = front;
  connection->body = g_byte_array_new();
  connection->reader =
      http_reader_new(HTTP_REQUESTS, &front_reader_callbacks, connection);
  connection_begin_limits(connection);
  connection->events = bufferevent_socket_new(
      front->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setwatermark(connection->events, EV_READ, 0, READ_AHEAD);
  bufferevent_setcb(connection->events, on_read, on_write, on_event,
                    connection);
  connection_begin_flow_control(connection, fd);
  g_hash_table_add(front->connections, connection);
  connection_set_read_timeout(connection, connection->limits.idle_timeout);
  bufferevent_enable(connection->events, EV_READ | EV_WRITE);
}

static void on_accept_timer(evutil_socket_t fd, short what, void *data) {
  Front *front = data;
  (void)fd;
  (void)what;
  evconnlistener_enable(front->listener);
}

/* No connection can be accepted, for want of descriptors or of memory. It
** would be tried again at once, without an end. */
static void on_accept_error(struct evconnlistener *listener, void *data) {
  const Front *front = data;
  struct timeval wait = {0, ACCEPT_RETRY_TIME};
  if (front->log != NULL)
    log_numbered(front->log, MP_LOG_NOT_ACCEPTED, " error=\"%s\"",
                 evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  evconnlistener_disable(listener);
  event_add(front->accept_timer, &wait);
}

/* }================================================================== */

/*
** {==================================================================
** Responses
** ===================================================================
*/

static Connection *find_connection(const Front *front, guint64 number) {
  return g_hash_table_lookup(front->open, &number);
}

const HttpHead *front_request_head(const Front *front, guint64 number) {
  const Connection *connection = find_connection(front, number);
  return connection != NULL ? connection->head : NULL;
}

GByteArray *front_request_body(const Front *front, guint64 number) {
  const Connection *connection = find_connection(front, number);
  return connection != NULL ? connection->body : NULL;
}

void front_send_response(Front *front, guint64 number, const HttpHead *head,
                         const char *body, gsize size) {
  Connection *connection = find_connection(front, number);
  gboolean close;
  if (connection == NULL)
    return;
  close = connection_closes_after_response(connection);
  connection_write_response(connection, head, body, size, close);
  connection_end_response(connection, close);
}

void front_begin_response(Front *front, guint64 number, const HttpHead *from) {
  Connection *connection = find_connection(front, number);
  HttpHead *head;
  if (connection == NULL)
    return;
  connection->says_close = connection_closes_after_response(connection);
  head = connection_response_head(from, connection->says_close);
  http_head_add(head, "Transfer-Encoding", "chunked");
  connection_write_head(connection, head);
  http_head_free(head);
  connection->state = CONNECTION_ANSWERING;
}

void front_send_piece(Front *front, guint64 number, const char *bytes,
                      gsize size) {
  Connection *connection = find_connection(front, number);
  struct evbuffer *out;
  if (connection == NULL || size == 0 || connection_is_aborted(connection))
    return;
  out = bufferevent_get_output(connection->events);
  evbuffer_add_printf(out, "%zx\r\n", (size_t)size);
  evbuffer_add(out, bytes, size);
  evbuffer_add(out, "\r\n", 2);
  if (evbuffer_get_length(out) > MAX_UNREAD) {
    connection_count_cut(connection);
    connection_shut_down(connection, CLOSE_UNREAD_MAX);
  }
}

void front_hold_response(Front *front, guint64 number, gboolean holds) {
  const Connection *connection = find_connection(front, number);
  if (connection == NULL)
    return;
  if (holds)
    bufferevent_disable(connection->events, EV_WRITE);
  else
    bufferevent_enable(connection->events, EV_WRITE);
}

void front_end_response(Front *front, guint64 number) {
  Connection *connection = find_connection(front, number);
  if (connection == NULL)
    return;
  bufferevent_write(connection->events, "0\r\n\r\n", 5);
  connection->may_continue = !connection->says_close;
  connection_end_response(connection,
                          connection_closes_after_stream(connection));
}

void front_abort_response(Front *front, guint64 number) {
  Connection *connection = find_connection(front, number);
  if (connection == NULL)
    return;
  connection->is_broken_off = TRUE;
  connection_forget_request(connection);
  connection->lingers |= http_reader_keep_alive(connection->reader);
  connection_close_when_flushed(connection); /* the last chunk is not sent */
}

/* }================================================================== */

static void set_bind_error(mp_Addr address, GError **error) {
  char text[24];
  mp_addr_text(address, text);
  g_set_error(error, MP_ERROR, MP_ERR_SETTINGS,
              "callers: cannot bind %s; choose a free address of this "
              "instance",
              text);
}

Front *front_new(struct event_base *base, mp_Addr address,
                 const Dialect *dialect, const FrontHooks *hooks, Log *log,
                 GError **error) {
  static const CallerLimits defaults = {DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES,
                                        DEFAULT_HEAD_TIMEOUT,
                                        DEFAULT_IDLE_TIMEOUT};
  Front *front = g_new0(Front, 1);
  struct sockaddr_in at = socket_address(address);
  front->base = base;
  front->dialect = dialect;
  front->hooks = *hooks;
  front->limits = defaults;
  front->request_timeout = DEFAULT_REQUEST_TIMEOUT;
  front->log = log;
  front->intake = intake_new(base, log);
  front->accept_timer = evtimer_new(base, on_accept_timer, front);
  front->connections =
      g_hash_table_new_full(NULL, NULL, connection_free, NULL);
  front->open = g_hash_table_new(g_int64_hash, g_int64_equal);
  front->listener = evconnlistener_new_bind(
      base, on_accept, front, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (front->listener == NULL) {
    set_bind_error(address, error);
    front_free(front);
    return NULL;
  }
  evconnlistener_set_error_cb(front->listener, on_accept_error);
  return front;
}

/* Reports the responses that are lost with the server. */
static void report_losses(Front *front) {
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init(&iterator, front->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL))
    connection_report_loss(key, CLOSE_PROCESS_END);
}

void front_free(Front *front) {
  report_losses(front);
  if (front->listener != NULL)
    evconnlistener_free(front->listener);
  event_free(front->accept_timer);
  g_hash_table_destroy(front->open);
  g_hash_table_destroy(front->connections);
  intake_free(front->intake);
  if (front->flow != NULL) {
    event_free(front->flow_timer);
    flow_control_free(front->flow);
  }
  g_free(front);
}

void front_control_flow(Front *front, const FlowLimits *limits,
                        const FrontFlowHooks *hooks) {
  FlowHooks own = {hooks->data, hooks->pause, hooks->paused, connection_abort,
                   connection_give_way};
  struct timeval interval = {0, FLOW_TICK_INTERVAL};
  g_assert(front->flow == NULL);
  g_assert(g_hash_table_size(front->connections) == 0);
  front->flow_hooks = *hooks;
  front->flow = flow_control_new(limits, &own, front);
  front->flow_timer =
      event_new(front->base, -1, EV_PERSIST, on_flow_timer, front);
  event_add(front->flow_timer, &interval);
}

Intake *front_intake(const Front *front) {
  return front->intake;
}

guint64 front_bodies_refused(const Front *front) {
  return front->bodies_refused;
}

void front_set_request_timeout(Front *front, gint64 timeout) {
  front->request_timeout = timeout;
}

void front_set_places(Front *front, guint places) {
  front->places = places;
}

guint64 front_places_taken(const Front *front) {
  return front->places_taken;
}

guint64 front_input_refused(const Front *front) {
  return front->input_refused;
}

const FlowControl *front_flow(const Front *front) {
  return front->flow;
}

static gboolean may_hold_request(const Connection *connection) {
  return connection_has_input(connection) ||
         http_reader_state(connection->reader) == HTTP_READER_PARTIAL;
}

void front_stood_still(Front *front, gint64 since) {
  GHashTableIter iterator;
  gpointer key;
  if (front->backlog_since == 0 && front_has_unaccepted(front))
    front->backlog_since = since;
  g_hash_table_iter_init(&iterator, front->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    Connection *connection = key;
    if (connection->unread_since == 0 && may_hold_request(connection))
      connection->unread_since = since;
    /* the standstill may be found as a request is handed on that was read
    ** after it: one that stood in the middle of a turn of the loop */
    if (connection->number != 0 && connection->request_unread_since == 0)
      connection->request_unread_since = since;
  }
}

gint64 front_request_unread(const Front *front, guint64 number, gint64 now) {
  const Connection *connection = find_connection(front, number);
  if (connection == NULL || connection->request_unread_since == 0)
    return 0;
  return now - connection->request_unread_since;
}

void front_set_limits(Front *front, const CallerLimits *limits) {
  GHashTableIter iterator;
  gpointer key;
  if (limits->max_head_bytes > 0)
    front->limits.max_head_bytes = limits->max_head_bytes;
  if (limits->max_body_bytes > 0)
    front->limits.max_body_bytes = limits->max_body_bytes;
  if (limits->head_timeout > 0)
    front->limits.head_timeout = limits->head_timeout;
  if (limits->idle_timeout > 0)
    front->limits.idle_timeout = limits->idle_timeout;
  g_hash_table_iter_init(&iterator, front->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL))
    connection_adopt_limits(key);
}

void front_drain(Front *front) {
  front->is_draining = TRUE;
}

/* Has the connection had no request yet, and may one be under way? */
static gboolean awaits_first_bytes(const Connection *connection) {
  return connection->state == CONNECTION_READING &&
         intake_awaits_first_bytes(&connection->intake, clock_now());
}

/* Does a stop wait for the first bytes of the connection? Not for those of
** connections that came later than this: one after the other, as from checks
** by connecting, would hold it to its latest end. */
static gboolean holds_stop(const Connection *connection) {
  return awaits_first_bytes(connection) &&
         connection->intake.accepted_at <
             connection->front->refusing_since + INTAKE_FIRST_BYTES_MAX;
}

/* Refuses a request that still arrives, unless its head may be in the bytes
** that are read next; closes a connection without one, a new one soon. */
static void stop_receiving(Connection *connection) {
  if (connection->state != CONNECTION_READING)
    return;
  if (connection->head == NULL && connection_has_input(connection))
    return;
  if (connection_is_receiving(connection))
    connection_refuse_for_stop(connection);
  else if (awaits_first_bytes(connection))
    connection_set_read_timeout(connection, INTAKE_FIRST_BYTES_MAX);
  else if (connection_unsent(connection) == 0)
    connection_close_idle(connection);
}

void front_stop_receiving(Front *front) {
  GList *all = g_hash_table_get_keys(front->connections);
  GList *one;
  if (!front->is_refusing)
    front->refusing_since = clock_now();
  front->is_refusing = TRUE;
  for (one = all; one != NULL; one = one->next)
    stop_receiving(one->data);
  g_list_free(all);
}

unsigned front_open_requests(const Front *front) {
  return g_hash_table_size(front->open);
}

guint64 front_responses_cut(const Front *front) {
  return front->cut;
}

guint64 front_responses_lost(const Front *front, CloseReason reason) {
  return front->lost[reason];
}

/* Counts a half-closed or held connection. What the kernel holds is discarded
** if the caller sends on after the process has ended. */
static void count_ending(const Connection *connection, FrontUnsent *unsent) {
  guint64 size = connection_unacknowledged(connection);
  unsent->unacknowledged += size;
  if (size > 0)
    unsent->connections++;
  else
    unsent->lingering++;
}

gboolean front_has_unaccepted(const Front *front) {
  return socket_has_unaccepted(evconnlistener_get_fd(front->listener));
}

FrontUnsent front_unsent(const Front *front) {
  FrontUnsent unsent = {0};
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init(&iterator, front->connections);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    const Connection *connection = key;
    size_t size = connection_unsent(connection);
    if (connection->state == CONNECTION_LINGERING)
      count_ending(connection, &unsent);
    else if (size > 0 || connection->state == CONNECTION_FLUSHING)
      unsent.connections++;
    else if (front->is_refusing &&
             (connection_is_receiving(connection) || holds_stop(connection)))
      unsent.receiving++;
    else if (connection->held_until != 0)
      count_ending(connection, &unsent);
    unsent.bytes += size;
  }
  if (front->is_refusing && front_has_unaccepted(front))
    unsent.receiving++;
  return unsent;
}