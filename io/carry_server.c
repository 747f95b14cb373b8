/*
** carry_server.c
** Carries bytes to endpoints for instances that have lost their own paths
*/

#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "io/carry_server.h"
#include "io/record_stream.h"
#include "io/sockets.h"
#include "wire/rpc.h"

#define LISTEN_BACKLOG 128
/* longest wait for a call on a new connection */
#define CALL_TIMEOUT (1 * MP_SEC)
/* longest time for which a connection to an endpoint may be tried */
#define CONNECT_TIMEOUT_MAX (400 * MP_MS)
/* the connection to an endpoint fails when sent data stays unacknowledged this
** long */
#define UNACKED_MS 2500
/* a side that does not read for this long is closed */
#define WRITE_TIMEOUT_SECONDS 10
/* An asker that acknowledges nothing in UNANSWERED_MAX checks in a row is
** lost: 2.5 s to 3.5 s after the first byte that it does not acknowledge.
** UNACKED_MS would also end a connection whose asker acknowledges and does not
** read. */
#define ANSWER_CHECK_INTERVAL_MS 500
#define UNANSWERED_MAX 6
/* After the last byte for the asker, what it still sends is discarded until it
** closes, or has acknowledged that byte and sends nothing for this long, but
** no longer than LINGER_MAX: closing a socket with unread input, or before
** further input arrives, resets the connection, and the kernel discards what
** the asker has not acknowledged. */
#define LINGER_SECONDS 1
#define LINGER_MAX (10 * MP_SEC)

struct CarryServer {
  struct event_base *base;
  struct evconnlistener *listener;
  struct event *answer_timer; /* pending while connections are carried */
  CarryServerHooks hooks;
  Log *log;
  GHashTable *peers; /* set of hosts, as mp_Addr with port 0 */
  GHashTable *all;   /* set of Carried, which it owns */
  gboolean is_draining;
  guint64 total;
};

typedef enum CarriedState {
  CARRIED_CALLED,     /* the call has not arrived whole */
  CARRIED_CONNECTING, /* to the endpoint */
  CARRIED_OPEN,
  CARRIED_CLOSING,  /* what is left to write goes to the asker */
  CARRIED_LINGERING /* discards what the asker sends */
} CarriedState;

/* one carried connection */
typedef struct Carried {
  CarryServer *server;
  CarriedState state;
  mp_Addr from;                 /* host of the asker, port 0 */
  mp_Addr to;                   /* the address of the endpoint */
  guint32 sequence;             /* of the call */
  struct bufferevent *asker;    /* the instance that asked */
  struct bufferevent *endpoint; /* NULL before the call */
  RecordReader reader;          /* of what the asker sends */
  struct evbuffer *call;        /* of the call, what has arrived */
  struct event *timer;          /* of the call, and of connecting */
  guint unanswered; /* checks in a row that found the asker silent */
  gboolean is_cut;  /* writing to the endpoint may have found a reset: the
                    ** end of its stream is not told to the asker */
} Carried;

static void carried_free(gpointer p) {
  Carried *carried = p;
  bufferevent_free(carried->asker);
  if (carried->endpoint != NULL)
    bufferevent_free(carried->endpoint);
  evbuffer_free(carried->call);
  event_free(carried->timer);
  g_free(carried);
}

static void close_carried(Carried *carried) {
  g_hash_table_remove(carried->server->all, carried);
}

static void start_timer(const Carried *carried, gint64 wait) {
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(carried->timer, &time);
}

static void discard_input(const Carried *carried) {
  struct evbuffer *in = bufferevent_get_input(carried->asker);
  evbuffer_drain(in, evbuffer_get_length(in));
}

/* Half-closes the connection to the asker, and ends that to the endpoint. */
static void linger(Carried *carried) {
  struct timeval silence = {LINGER_SECONDS, 0};
  carried->state = CARRIED_LINGERING;
  if (carried->endpoint != NULL)
    bufferevent_free(carried->endpoint);
  carried->endpoint = NULL;
  shutdown(bufferevent_getfd(carried->asker), SHUT_WR);
  start_timer(carried, LINGER_MAX);
  discard_input(carried);
  bufferevent_set_timeouts(carried->asker, &silence, NULL);
  bufferevent_enable(carried->asker, EV_READ);
}

/* Closes the connection when all that is left is written to the asker. */
static void close_when_written(Carried *carried) {
  carried->state = CARRIED_CLOSING;
  bufferevent_disable(carried->asker, EV_READ);
  if (evbuffer_get_length(bufferevent_get_output(carried->asker)) == 0)
    linger(carried);
}

/*
** {==================================================================
** The call
** ===================================================================
*/

static void write_record(const Carried *carried, const char *bytes,
                         size_t size) {
  struct evbuffer *record = evbuffer_new();
  evbuffer_add(record, bytes, size);
  record_write(bufferevent_get_output(carried->asker), record, TRUE);
  evbuffer_free(record);
}

static void write_verdict(const Carried *carried, CarryVerdict verdict) {
  mp_Msg message;
  char bytes[MP_DATAGRAM_MAX];
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CARRY;
  message.reply = 1;
  message.seq = carried->sequence;
  message.u.carry.verdict = (uint8_t)verdict;
  write_record(carried, bytes, rpc_encode(&message, bytes, sizeof bytes));
}

static void refuse(Carried *carried, CarryVerdict verdict) {
  write_verdict(carried, verdict);
  close_when_written(carried);
}

/* The call is invalid: 'error' is the reply to it, if there is one. */
static void reject_call(Carried *carried, const char *error, size_t size) {
  log_numbered(carried->server->log, MP_LOG_CARRY_BAD, " detail=\"%s\"",
               "no valid call");
  if (size > 0)
    write_record(carried, error, size);
  close_when_written(carried);
}

static void on_endpoint_read(struct bufferevent *events, void *data);
static void on_endpoint_written(struct bufferevent *events, void *data);
static void on_endpoint_event(struct bufferevent *events, short what,
                              void *data);

static void connect_endpoint(Carried *carried, mp_Addr address,
                             gint64 timeout) {
  carried->state = CARRIED_CONNECTING;
  carried->to = address;
  carried->endpoint =
      bufferevent_socket_new(carried->server->base, -1,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(carried->endpoint, on_endpoint_read, on_endpoint_written,
                    on_endpoint_event, carried);
  start_timer(carried, MIN(timeout, CONNECT_TIMEOUT_MAX));
  if (!socket_connect(carried->endpoint, address))
    start_timer(carried, 0); /* the failure is reported from the event loop */
}

static void handle_call(Carried *carried, const mp_Msg *call) {
  CarryServer *server = carried->server;
  const mp_Carry *wanted = &call->u.carry;
  mp_Addr address = 0;
  CarryVerdict verdict = CARRY_DRAINING;
  carried->sequence = call->seq;
  if (!server->is_draining)
    verdict = server->hooks.may_carry(server->hooks.data, wanted->endpoint,
                                      &address);
  if (verdict == CARRY_CONNECTED &&
      g_hash_table_size(server->all) > CARRIED_MAX)
    verdict = CARRY_BUSY;
  if (verdict != CARRY_CONNECTED)
    refuse(carried, verdict);
  else
    connect_endpoint(carried, address, wanted->timeout_ms * MP_MS);
}

static mp_MsgKind no_reply_expected(void *data, uint32_t sequence) {
  (void)data;
  (void)sequence;
  return (mp_MsgKind)0;
}

static void read_call(Carried *carried) {
  mp_Msg call;
  char error[MP_DATAGRAM_MAX];
  size_t error_size = 0;
  RecordState state = record_read(
      &carried->reader, bufferevent_get_input(carried->asker), carried->call);
  size_t size = evbuffer_get_length(carried->call);
  if (state == RECORD_MORE && size <= MP_DATAGRAM_MAX)
    return;
  event_del(carried->timer);
  if (state != RECORD_END || size > MP_DATAGRAM_MAX)
    reject_call(carried, NULL, 0);
  else if (rpc_decode((const char *)evbuffer_pullup(carried->call, -1), size,
                      no_reply_expected, NULL, &call, error, sizeof error,
                      &error_size) != RPC_CALL ||
           call.kind != MP_MSG_CARRY)
    reject_call(carried, error, error_size);
  else
    handle_call(carried, &call);
}

/* }================================================================== */

/*
** {==================================================================
** Bytes of both sides
** ===================================================================
*/

/* Stops reading from one side while the other one does not take more. */
static void limit_reading(struct bufferevent *from, struct bufferevent *to) {
  if (evbuffer_get_length(bufferevent_get_output(to)) >= CARRIED_BUFFER)
    bufferevent_disable(from, EV_READ);
}

static void pass_to_asker(const Carried *carried, gboolean is_last) {
  record_write(bufferevent_get_output(carried->asker),
               bufferevent_get_input(carried->endpoint), is_last);
  limit_reading(carried->endpoint, carried->asker);
}

/* Logs the request whose bytes follow, as the asker names it. */
static void log_request(Carried *carried) {
  char from[24];
  char to[24];
  mp_addr_text(carried->from, from);
  mp_addr_text(carried->to, to);
  log_numbered(carried->server->log, MP_LOG_CARRIED,
               " request=%s from=%s address=%s", carried->reader.note, from,
               to);
  carried->reader.note[0] = '\0';
}

static void pass_to_endpoint(Carried *carried) {
  RecordState state =
      record_read(&carried->reader, bufferevent_get_input(carried->asker),
                  bufferevent_get_output(carried->endpoint));
  if (carried->reader.note[0] != '\0')
    log_request(carried);
  if (state == RECORD_MORE) {
    limit_reading(carried->asker, carried->endpoint);
    return;
  }
  log_numbered(carried->server->log, MP_LOG_CARRY_BAD, " detail=\"%s\"",
               "invalid bytes of a request");
  close_carried(carried);
}

static void on_endpoint_read(struct bufferevent *events, void *data) {
  const Carried *carried = data;
  (void)events;
  pass_to_asker(carried, FALSE);
}

static void on_endpoint_written(struct bufferevent *events, void *data) {
  const Carried *carried = data;
  (void)events;
  if (carried->state == CARRIED_OPEN)
    bufferevent_enable(carried->asker, EV_READ);
}

/* Sets the options and limits of a connected side. */
static void set_limits(struct bufferevent *events, int unacked_ms) {
  struct timeval time = {WRITE_TIMEOUT_SECONDS, 0};
  socket_set_options(events, unacked_ms);
  socket_set_keepalive(events);
  bufferevent_setwatermark(events, EV_READ, 0, CARRIED_BUFFER);
  bufferevent_set_timeouts(events, NULL, &time);
}

static void begin_carrying(Carried *carried) {
  event_del(carried->timer);
  set_limits(carried->endpoint, UNACKED_MS);
  carried->state = CARRIED_OPEN;
  carried->server->total++;
  write_verdict(carried, CARRY_CONNECTED);
  bufferevent_enable(carried->endpoint, EV_READ | EV_WRITE);
  bufferevent_enable(carried->asker, EV_READ);
}

static void on_endpoint_event(struct bufferevent *events, short what,
                              void *data) {
  Carried *carried = data;
  carried->is_cut |= socket_may_miss_reset(what);
  if (what & BEV_EVENT_CONNECTED) {
    if (carried->state == CARRIED_CONNECTING)
      begin_carrying(carried);
    return;
  }
  if (carried->state == CARRIED_CONNECTING) {
    event_del(carried->timer);
    refuse(carried, CARRY_UNREACHABLE);
    return;
  }
  if (carried->state != CARRIED_OPEN)
    return;
  if ((what & BEV_EVENT_ERROR) && (what & BEV_EVENT_WRITING)) {
    /* a response that was sent before the request was read is passed on */
    bufferevent_disable(events, EV_WRITE);
    bufferevent_enable(events, EV_READ);
    return;
  }
  pass_to_asker(carried, (what & BEV_EVENT_EOF) != 0 && !carried->is_cut);
  close_when_written(carried);
}

/* An asker closes its connection when it gives its request up, at the deadline
** of the caller at the latest. What it sent before may have waited unread in
** the kernel while this process stood still; it is not passed on. */
static void on_asker_read(struct bufferevent *events, void *data) {
  Carried *carried = data;
  if ((carried->state == CARRIED_CALLED || carried->state == CARRIED_OPEN) &&
      socket_is_peer_closed(bufferevent_getfd(events))) {
    close_carried(carried);
    return;
  }
  if (carried->state == CARRIED_CALLED)
    read_call(carried);
  else if (carried->state == CARRIED_OPEN)
    pass_to_endpoint(carried);
  else if (carried->state == CARRIED_CONNECTING)
    bufferevent_disable(events, EV_READ);
  else if (carried->state == CARRIED_LINGERING)
    discard_input(carried);
}

static void on_asker_written(struct bufferevent *events, void *data) {
  Carried *carried = data;
  if (evbuffer_get_length(bufferevent_get_output(events)) > 0)
    return; /* more was added since this callback was queued */
  if (carried->state == CARRIED_CLOSING)
    linger(carried);
  else if (carried->state == CARRIED_OPEN)
    bufferevent_enable(carried->endpoint, EV_READ);
}

static void on_asker_event(struct bufferevent *events, short what,
                           void *data) {
  Carried *carried = data;
  gboolean is_silent =
      (what & BEV_EVENT_TIMEOUT) && (what & BEV_EVENT_READING);
  if (is_silent && socket_unacknowledged(bufferevent_getfd(events)) > 0)
    bufferevent_enable(events, EV_READ); /* the timeout begins anew */
  else
    close_carried(carried);
}

static void start_answer_timer(const CarryServer *server) {
  struct timeval time = {0, ANSWER_CHECK_INTERVAL_MS * MP_MS};
  event_add(server->answer_timer, &time);
}

/* Closes the connections whose asker is lost. */
static void on_answer_timer(evutil_socket_t fd, short what, void *data) {
  CarryServer *server = data;
  GHashTableIter iterator;
  gpointer key;
  (void)fd;
  (void)what;
  g_hash_table_iter_init(&iterator, server->all);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    Carried *carried = key;
    evutil_socket_t asker = bufferevent_getfd(carried->asker);
    if (!socket_is_unanswered(asker, ANSWER_CHECK_INTERVAL_MS))
      carried->unanswered = 0;
    else if (++carried->unanswered >= UNANSWERED_MAX)
      g_hash_table_iter_remove(&iterator);
  }
  if (g_hash_table_size(server->all) > 0)
    start_answer_timer(server);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  Carried *carried = data;
  (void)fd;
  (void)what;
  if (carried->state == CARRIED_CONNECTING)
    refuse(carried, CARRY_UNREACHABLE);
  else
    close_carried(carried); /* no call came, or the asker sends on */
}

/* }================================================================== */

static gboolean is_peer(const CarryServer *server, mp_Addr host) {
  return g_hash_table_contains(server->peers, &host);
}

/* Returns the host of a socket address, as mp_Addr with port 0. */
static mp_Addr host_of(const struct sockaddr *address) {
  const struct sockaddr_in *in = (const struct sockaddr_in *)address;
  return (mp_Addr)ntohl(in->sin_addr.s_addr) << 16;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int length, void *data) {
  CarryServer *server = data;
  Carried *carried;
  (void)listener;
  (void)length;
  if (!is_peer(server, host_of(address))) {
    char from[24];
    mp_addr_text(host_of(address), from);
    log_numbered(server->log, MP_LOG_STRANGER, " from=%s", from);
    evutil_closesocket(fd);
    return;
  }
  carried = g_new0(Carried, 1);
  carried->server = server;
  carried->from = host_of(address);
  carried->call = evbuffer_new();
  carried->timer = evtimer_new(server->base, on_timer, carried);
  carried->asker = bufferevent_socket_new(
      server->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  g_hash_table_add(server->all, carried);
  if (!event_pending(server->answer_timer, EV_TIMEOUT, NULL))
    start_answer_timer(server);
  set_limits(carried->asker, WRITE_TIMEOUT_SECONDS * 1000);
  bufferevent_setcb(carried->asker, on_asker_read, on_asker_written,
                    on_asker_event, carried);
  bufferevent_enable(carried->asker, EV_READ | EV_WRITE);
  start_timer(carried, CALL_TIMEOUT);
}

CarryServer *carry_server_new(struct event_base *base, mp_Addr address,
                              const CarryServerHooks *hooks, Log *log,
                              GError **error) {
  struct sockaddr_in at = socket_address(address);
  struct evconnlistener *listener;
  CarryServer *server = g_new0(CarryServer, 1);
  listener = evconnlistener_new_bind(
      base, on_accept, server,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (listener == NULL) {
    char text[24];
    mp_addr_text(address, text);
    g_set_error(error, MP_ERROR, MP_ERR_SETTINGS,
                "exchange: cannot listen on %s; free the address or name "
                "another one",
                text);
    g_free(server);
    return NULL;
  }
  server->base = base;
  server->listener = listener;
  server->answer_timer = evtimer_new(base, on_answer_timer, server);
  server->hooks = *hooks;
  server->log = log;
  server->peers =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  server->all = g_hash_table_new_full(NULL, NULL, carried_free, NULL);
  return server;
}

void carry_server_free(CarryServer *server) {
  evconnlistener_free(server->listener);
  event_free(server->answer_timer);
  g_hash_table_destroy(server->all);
  g_hash_table_destroy(server->peers);
  g_free(server);
}

void carry_server_set_peers(CarryServer *server, const GArray *addresses) {
  guint i;
  g_hash_table_remove_all(server->peers);
  for (i = 0; i < addresses->len; i++) {
    mp_Addr host = g_array_index(addresses, mp_Addr, i) & ~(mp_Addr)0xffff;
    g_hash_table_add(server->peers, g_memdup2(&host, sizeof host));
  }
}

void carry_server_drain(CarryServer *server) {
  GHashTableIter iterator;
  gpointer key;
  server->is_draining = TRUE;
  g_hash_table_iter_init(&iterator, server->all);
  while (g_hash_table_iter_next(&iterator, &key, NULL)) {
    const Carried *carried = key;
    if (carried->state == CARRIED_OPEN)
      record_write_leaving(bufferevent_get_output(carried->asker));
  }
}

guint carry_server_count(const CarryServer *server) {
  return g_hash_table_size(server->all);
}

guint64 carry_server_total(const CarryServer *server) {
  return server->total;
}
