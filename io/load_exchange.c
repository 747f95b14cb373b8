/*
** load_exchange.c
** Tells the other instances what is open here, and hears it from them
*/

#include <string.h>
#include <unistd.h>

#include "io/datagram.h"
#include "io/load_exchange.h"
#include "io/clock.h"
#include "wire/rpc.h"

/* datagrams read in one go, before others get their turn */
#define READ_BURST 64
/* least time between two digests, for each instance that hears them; us */
#define INTERVAL_PER_PEER (700LL)
/* the same where only what is open at plain endpoints has changed: a request
** there takes some tens of milliseconds, and each digest costs all instances a
** datagram */
#define INTERVAL_PLAIN (25 * MP_MS)
/* a digest goes out this often even when nothing changed */
#define REFRESH (500 * MP_MS)

struct LoadExchange {
  Router *router;
  LoadExchangeHooks hooks;
  evutil_socket_t fd;
  struct event *readable;
  struct event *timer;
  GArray *peers; /* mp_Addr */
  gboolean only; /* digests of others are not taken */
  guint32 sequence;
  guint64 told; /* the versions that were sent last */
  guint64 plain_told;
  guint64 crashes_told; /* router_crash_version that was sent last */
  guint64 rates_told;   /* router_rates_version that was sent last */
  gint64 rates_at;      /* when that was */
  gint64 sent_at;
};

static gint64 least_interval(const LoadExchange *exchange) {
  return INTERVAL_PER_PEER * (gint64)exchange->peers->len;
}

static void send_to_all(LoadExchange *exchange, const mp_Msg *message) {
  char bytes[MP_DATAGRAM_MAX];
  size_t size = rpc_encode(message, bytes, sizeof bytes);
  guint i;
  for (i = 0; i < exchange->peers->len; i++) {
    datagram_send(exchange->fd, g_array_index(exchange->peers, mp_Addr, i),
                  bytes, size);
  }
}

void load_exchange_send(LoadExchange *exchange, mp_Addr to,
                        const mp_Msg *message) {
  char bytes[MP_DATAGRAM_MAX];
  size_t size = rpc_encode(message, bytes, sizeof bytes);
  datagram_send(exchange->fd, to, bytes, size);
}

void load_exchange_send_note(LoadExchange *exchange, guint32 endpoint,
                             guint32 tokens) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_LOAD_NOTE;
  message.seq = exchange->sequence;
  message.u.note.after = exchange->sequence;
  message.u.note.endpoint = endpoint;
  message.u.note.tokens = tokens;
  send_to_all(exchange, &message);
}

static void send_digest(LoadExchange *exchange) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_LOAD_DIGEST;
  message.seq = ++exchange->sequence;
  router_load_digest(exchange->router, &message.u.digest, clock_now());
  send_to_all(exchange, &message);
  exchange->told = router_load_version(exchange->router);
  exchange->plain_told = router_plain_version(exchange->router);
  exchange->sent_at = clock_now();
}

/*
** Requests that end endpoints are told at once, and again with each refresh
** for some seconds: a datagram may be lost. There are none to tell mostly.
*/
static void send_crashes(LoadExchange *exchange) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CRASHES;
  exchange->crashes_told = router_crash_version(exchange->router);
  router_report_crashes(exchange->router, FALSE, &message.u.crashes,
                        clock_now());
  if (message.u.crashes.n > 0 || message.u.crashes.suspected_n > 0)
    send_to_all(exchange, &message);
}

/*
** What is sent to an endpoint that names a rate is told as soon as a digest
** would be: the others count it against that rate. There is none mostly.
*/
static void send_rates(LoadExchange *exchange) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_RATES;
  exchange->rates_told = router_rates_version(exchange->router);
  exchange->rates_at = clock_now();
  router_report_rates(exchange->router, FALSE, &message.u.rates, clock_now());
  if (message.u.rates.n > 0)
    send_to_all(exchange, &message);
}

static void start_timer(LoadExchange *exchange, gint64 wait) {
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(exchange->timer, &time);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  LoadExchange *exchange = data;
  (void)fd;
  (void)what;
  send_digest(exchange);
  send_crashes(exchange);
  send_rates(exchange);
  start_timer(exchange, REFRESH);
}

/* send what is new, or be back when it may be sent: the time until then */
static gint64 notice_rates(LoadExchange *exchange) {
  gint64 due = exchange->rates_at + least_interval(exchange) - clock_now();
  if (router_rates_version(exchange->router) == exchange->rates_told)
    return REFRESH;
  if (due > 0)
    return due;
  send_rates(exchange);
  exchange->hooks.rates(exchange->hooks.data);
  return REFRESH;
}

static gint64 notice_loads(LoadExchange *exchange) {
  const Router *router = exchange->router;
  gint64 interval = least_interval(exchange);
  gint64 due;
  if (router_load_version(router) == exchange->told) {
    if (router_plain_version(router) == exchange->plain_told)
      return REFRESH;
    interval = MAX(interval, INTERVAL_PLAIN);
  }
  due = exchange->sent_at + interval - clock_now();
  if (due > 0)
    return due;
  send_digest(exchange);
  return REFRESH;
}

void load_exchange_send_changes(LoadExchange *exchange) {
  gint64 sent_at = exchange->sent_at;
  gint64 wait;
  if (router_crash_version(exchange->router) != exchange->crashes_told)
    send_crashes(exchange);
  wait = notice_rates(exchange);
  wait = MIN(wait, notice_loads(exchange));
  if (wait < REFRESH || exchange->sent_at != sent_at)
    start_timer(exchange, wait);
}

static mp_MsgKind no_reply_expected(void *data, uint32_t sequence) {
  (void)data;
  (void)sequence;
  return (mp_MsgKind)0;
}

static gboolean is_heard(const LoadExchange *exchange, mp_Addr peer) {
  guint i;
  if (!exchange->only)
    return TRUE;
  for (i = 0; i < exchange->peers->len; i++) {
    if (g_array_index(exchange->peers, mp_Addr, i) == peer)
      return TRUE;
  }
  return FALSE;
}

static void take_load(LoadExchange *exchange, mp_Addr peer,
                      const mp_Msg *message) {
  if (!is_heard(exchange, peer))
    return;
  if (message->kind == MP_MSG_LOAD_NOTE) {
    router_peer_reservation(exchange->router, peer, &message->u.note);
    return;
  }
  router_peer_load(exchange->router, peer, message->seq, &message->u.digest,
                   clock_now());
  exchange->hooks.digest(exchange->hooks.data);
}

static void take_crashes(LoadExchange *exchange, const mp_CrashUpdate *news) {
  if (router_receive_crashes(exchange->router, news, clock_now()))
    exchange->hooks.crashes(exchange->hooks.data);
}

static void take_rates(LoadExchange *exchange, mp_Addr peer,
                       const mp_RateUpdate *news) {
  if (!is_heard(exchange, peer))
    return;
  router_receive_rates(exchange->router, peer, news, clock_now());
  exchange->hooks.rates(exchange->hooks.data);
}

static void take(LoadExchange *exchange, mp_Addr peer, const char *bytes,
                 size_t size) {
  mp_Msg message;
  char answer[MP_DATAGRAM_MAX];
  size_t answer_size;
  if (rpc_decode(bytes, size, no_reply_expected, NULL, &message, answer,
                 sizeof answer, &answer_size) != RPC_CALL)
    return;
  if (message.kind == MP_MSG_LOAD_DIGEST || message.kind == MP_MSG_LOAD_NOTE)
    take_load(exchange, peer, &message);
  else if (message.kind == MP_MSG_CRASHES)
    take_crashes(exchange, &message.u.crashes);
  else if (message.kind == MP_MSG_RATES && message.u.rates.zone == 0)
    take_rates(exchange, peer, &message.u.rates);
  else
    exchange->hooks.relay(exchange->hooks.data, peer, &message);
}

static void on_readable(evutil_socket_t fd, short what, void *data) {
  LoadExchange *exchange = data;
  int i;
  (void)what;
  for (i = 0; i < READ_BURST; i++) {
    char bytes[MP_DATAGRAM_MAX + 1]; /* one more, so that too long ones show */
    mp_Addr from;
    ssize_t size = datagram_receive(fd, bytes, sizeof bytes, &from);
    if (size < 0)
      break;
    take(exchange, from, bytes, (size_t)size);
  }
  load_exchange_send_changes(exchange); /* waiting requests may have started */
}

LoadExchange *load_exchange_new(struct event_base *base, mp_Addr address,
                                Router *router, const LoadExchangeHooks *hooks,
                                GError **error) {
  LoadExchange *exchange;
  int fd = datagram_open(address, "exchange", error);
  if (fd < 0)
    return NULL;
  exchange = g_new0(LoadExchange, 1);
  exchange->router = router;
  exchange->hooks = *hooks;
  exchange->fd = fd;
  exchange->peers = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  exchange->sequence = g_random_int(); /* another life starts elsewhere */
  exchange->readable =
      event_new(base, fd, EV_READ | EV_PERSIST, on_readable, exchange);
  exchange->timer = evtimer_new(base, on_timer, exchange);
  event_add(exchange->readable, NULL);
  start_timer(exchange, REFRESH);
  return exchange;
}

void load_exchange_free(LoadExchange *exchange) {
  event_free(exchange->readable);
  event_free(exchange->timer);
  close(exchange->fd);
  g_array_free(exchange->peers, TRUE);
  g_free(exchange);
}

void load_exchange_set_peers(LoadExchange *exchange, const GArray *addresses,
                             gboolean only) {
  exchange->only = only;
  g_array_set_size(exchange->peers, 0);
  g_array_append_vals(exchange->peers, addresses->data, addresses->len);
}
