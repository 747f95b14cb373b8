/*
** load_exchange.c
** Sends the loads of this instance to other instances, and receives theirs
*/

#include <string.h>
#include <unistd.h>

#include "io/datagram.h"
#include "io/load_exchange.h"
#include "io/clock.h"
#include "wire/rpc.h"

/* limit of datagrams read before other events of the loop are handled */
#define READ_BURST 64
/* minimum interval between two digests, in us for each receiver */
#define INTERVAL_PER_PEER (700LL)
/* minimum interval when only the loads of plain endpoints have changed: a
** request there takes some tens of milliseconds, and each digest costs every
** receiver a datagram */
#define PLAIN_INTERVAL_MIN (25 * MP_MS)
/* interval of digests when nothing changes, and of reports that are repeated
** because a datagram may be lost */
#define REFRESH_INTERVAL (500 * MP_MS)

struct LoadExchange {
  Router *router;
  LoadExchangeHooks hooks;
  evutil_socket_t fd;
  struct event *readable;
  struct event *timer;
  GArray *peers;              /* mp_Addr: receivers of digests */
  gboolean only_peers;        /* loads of others than 'peers' are ignored */
  guint32 sequence;           /* number of the newest digest */
  guint64 sent_load_version;  /* router_load_version in that digest */
  guint64 sent_plain_version; /* router_plain_version in that digest */
  guint64 sent_crash_version; /* router_crash_version when last sent */
  gboolean has_crash_news;    /* the last crash report was not empty */
  gint64 crashes_sent_at;
  guint64 sent_rates_version; /* router_rates_version when last sent */
  gint64 rates_sent_at;
  gint64 sent_at;  /* when the newest digest was sent */
  gint64 timer_at; /* when the timer expires */
};

/* The minimum interval between two digests. */
static gint64 min_interval(const LoadExchange *exchange) {
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
  exchange->sent_load_version = router_load_version(exchange->router);
  exchange->sent_plain_version = router_plain_version(exchange->router);
  exchange->sent_at = clock_now();
}

/* Sends the crash reports, if there are any. Mostly there are none. */
static void send_crashes(LoadExchange *exchange) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CRASHES;
  exchange->sent_crash_version = router_crash_version(exchange->router);
  exchange->crashes_sent_at = clock_now();
  router_report_crashes(exchange->router, FALSE, &message.u.crashes,
                        clock_now());
  exchange->has_crash_news = message.u.crashes.n > 0 ||
                             message.u.crashes.suspected_n > 0 ||
                             message.u.crashes.acquitted_n > 0;
  if (exchange->has_crash_news)
    send_to_all(exchange, &message);
}

/*
** Sends the rates at which this instance sends to endpoints that limit them,
** because the other instances count them against those limits. They follow a
** change as soon as a digest would. Usually there are no such endpoints, and
** nothing is sent.
*/
static void send_rates(LoadExchange *exchange) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_RATES;
  exchange->sent_rates_version = router_rates_version(exchange->router);
  exchange->rates_sent_at = clock_now();
  router_report_rates(exchange->router, FALSE, &message.u.rates, clock_now());
  if (message.u.rates.n > 0)
    send_to_all(exchange, &message);
}

/* Starts the timer unless it expires earlier. */
static void start_timer(LoadExchange *exchange, gint64 wait) {
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  gint64 at = clock_now() + wait;
  if (at >= exchange->timer_at)
    return;
  exchange->timer_at = at;
  event_add(exchange->timer, &time);
}

/*
** Sends the crash reports if there are new ones, or if the last ones are to be
** repeated. The interval between two messages is as long as that between two
** digests, since one endpoint may break off many runs. Returns the time in
** microseconds until the next check.
*/
static gint64 update_crashes(LoadExchange *exchange) {
  gint64 interval = REFRESH_INTERVAL;
  gint64 due;
  if (router_crash_version(exchange->router) != exchange->sent_crash_version)
    interval = min_interval(exchange);
  else if (!exchange->has_crash_news)
    return REFRESH_INTERVAL;
  due = exchange->crashes_sent_at + interval - clock_now();
  if (due > 0)
    return due;
  send_crashes(exchange);
  return REFRESH_INTERVAL;
}

/*
** Sends the rates if they have changed and may be sent, or if they are to be
** repeated. Returns the time in microseconds until the next check.
*/
static gint64 update_rates(LoadExchange *exchange) {
  gboolean has_changed =
      router_rates_version(exchange->router) != exchange->sent_rates_version;
  gint64 interval = has_changed ? min_interval(exchange) : REFRESH_INTERVAL;
  gint64 due = exchange->rates_sent_at + interval - clock_now();
  if (due > 0)
    return due;
  send_rates(exchange);
  if (has_changed)
    exchange->hooks.rates(exchange->hooks.data);
  return REFRESH_INTERVAL;
}

/* Returns the least interval between the newest digest and the next one. */
static gint64 digest_interval(const LoadExchange *exchange) {
  const Router *router = exchange->router;
  if (router_load_version(router) != exchange->sent_load_version)
    return min_interval(exchange);
  if (router_plain_version(router) != exchange->sent_plain_version)
    return MAX(min_interval(exchange), PLAIN_INTERVAL_MIN);
  return REFRESH_INTERVAL;
}

/*
** Sends a digest if loads have changed and it may be sent, or if it is to be
** repeated. Returns the time in microseconds until the next check.
*/
static gint64 update_loads(LoadExchange *exchange) {
  gint64 due = exchange->sent_at + digest_interval(exchange) - clock_now();
  if (due > 0)
    return due;
  send_digest(exchange);
  return REFRESH_INTERVAL;
}

void load_exchange_send_changes(LoadExchange *exchange) {
  gint64 wait = update_crashes(exchange);
  wait = MIN(wait, update_rates(exchange));
  wait = MIN(wait, update_loads(exchange));
  start_timer(exchange, wait);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  LoadExchange *exchange = data;
  (void)fd;
  (void)what;
  exchange->timer_at = G_MAXINT64;
  load_exchange_send_changes(exchange);
}

static mp_MsgKind no_reply_expected(void *data, uint32_t sequence) {
  (void)data;
  (void)sequence;
  return (mp_MsgKind)0;
}

/* Are load messages from the instance at the address 'peer' accepted? */
static gboolean accepts_loads_of(const LoadExchange *exchange, mp_Addr peer) {
  guint i;
  if (!exchange->only_peers)
    return TRUE;
  for (i = 0; i < exchange->peers->len; i++) {
    if (g_array_index(exchange->peers, mp_Addr, i) == peer)
      return TRUE;
  }
  return FALSE;
}

static void handle_load(LoadExchange *exchange, mp_Addr peer,
                        const mp_Msg *message) {
  if (!accepts_loads_of(exchange, peer))
    return;
  if (message->kind == MP_MSG_LOAD_NOTE) {
    router_peer_reservation(exchange->router, peer, &message->u.note);
    return;
  }
  router_peer_load(exchange->router, peer, message->seq, &message->u.digest,
                   clock_now());
  exchange->hooks.digest(exchange->hooks.data);
}

static void handle_crashes(LoadExchange *exchange,
                           const mp_CrashUpdate *news) {
  if (router_receive_crashes(exchange->router, news, clock_now()))
    exchange->hooks.crashes(exchange->hooks.data);
}

static void handle_rates(LoadExchange *exchange, mp_Addr peer,
                         const mp_RateUpdate *news) {
  if (!accepts_loads_of(exchange, peer))
    return;
  router_receive_rates(exchange->router, peer, news, clock_now());
  exchange->hooks.rates(exchange->hooks.data);
}

static void handle_stream(LoadExchange *exchange, mp_Addr peer,
                          const mp_Msg *message) {
  router_stream_message(exchange->router, peer, message, clock_now());
  exchange->hooks.stream(exchange->hooks.data);
}

static void handle_datagram(LoadExchange *exchange, mp_Addr peer,
                            const char *bytes, size_t size) {
  mp_Msg message;
  char answer[MP_DATAGRAM_MAX];
  size_t answer_size;
  if (rpc_decode(bytes, size, no_reply_expected, NULL, &message, answer,
                 sizeof answer, &answer_size) != RPC_CALL)
    return;
  if (message.kind == MP_MSG_LOAD_DIGEST || message.kind == MP_MSG_LOAD_NOTE)
    handle_load(exchange, peer, &message);
  else if (message.kind == MP_MSG_CRASHES)
    handle_crashes(exchange, &message.u.crashes);
  else if (message.kind == MP_MSG_RATES && message.u.rates.zone == 0)
    handle_rates(exchange, peer, &message.u.rates);
  else if (message.kind >= MP_MSG_STREAM_ORIGIN &&
           message.kind <= MP_MSG_STREAM_RECORDED)
    handle_stream(exchange, peer, &message);
  else
    exchange->hooks.relay(exchange->hooks.data, peer, &message);
}

static void on_readable(evutil_socket_t fd, short what, void *data) {
  LoadExchange *exchange = data;
  int i;
  (void)what;
  for (i = 0; i < READ_BURST; i++) {
    char bytes[MP_DATAGRAM_MAX +
               1]; /* 1 more, to detect ones that are longer */
    mp_Addr from;
    ssize_t size = datagram_receive(fd, bytes, sizeof bytes, &from);
    if (size < 0)
      break;
    handle_datagram(exchange, from, bytes, (size_t)size);
  }
  load_exchange_send_changes(exchange); /* queued requests may have started */
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
  /* a random start, so that a restarted instance does not use the numbers of
  ** its previous run again */
  exchange->sequence = g_random_int();
  exchange->readable =
      event_new(base, fd, EV_READ | EV_PERSIST, on_readable, exchange);
  exchange->timer = evtimer_new(base, on_timer, exchange);
  exchange->timer_at = G_MAXINT64;
  event_add(exchange->readable, NULL);
  start_timer(exchange, REFRESH_INTERVAL);
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
                             gboolean only_peers) {
  exchange->only_peers = only_peers;
  g_array_set_size(exchange->peers, 0);
  g_array_append_vals(exchange->peers, addresses->data, addresses->len);
}
