/*
** relays.c
** The messages of relays
*/

#include <string.h>

#include "io/clock.h"
#include "io/relays.h"

/* most instances that are asked for a heartbeat at once: those that should be
** relays, and as many more that take over when these are lost */
#define HEARTBEATS_ASKED_MAX 4
/* Minimum interval between two summaries. Waiting for the next heartbeat is
** too long: an engine that rejects all requests looks idle, and in the 0.2 s
** between heartbeats, 61 prompts of other data centres were sent to one such
** engine in vain (58 instances, a burst with a quarter of the engines lost).
*/
#define SUMMARY_INTERVAL_MIN (30 * MP_MS)

/* The part of an account's burst whose use may wait for the next regular
** summary, 0.2 s later at most. A larger use is sent by an extra summary. */
#define UNREPORTED_BURST_MAX 0.1

struct Relays {
  mp_Addr self;
  guint32 zone; /* hash of the data centre's name */
  RelayGroup *group;
  Router *router;
  Directory *directory;
  LoadExchange *exchange;
  Log *log;
  struct event *timer;
  RelayRole role; /* of this instance, as last logged */
  StorePosition sent_changes[MP_RELAY_KINDS]; /* in the last heartbeat */
  gboolean uses_summaries; /* data centres exchange loads as summaries */
  guint32 sequence;        /* number of the last summary */
  gint64 summary_at;       /* when it was sent */
  guint64 urgent;          /* value of router_urgent_set when it was sent */
  gint64 rates_at;         /* when sums of rates were last sent */
};

static void start_timer(Relays *relays) {
  gint64 now = clock_now();
  gint64 wait = CLAMP(relay_group_next_check(relays->group, now) - now, MP_MS,
                      RELAY_HEARTBEAT_INTERVAL);
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(relays->timer, &time);
}

/* The heartbeat of this instance. */
static mp_Msg make_heartbeat(const Relays *relays, gint64 now) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_RELAY_HEARTBEAT;
  message.u.beat.age_ms =
      relay_clock_age_ms(relay_group_age(relays->group, now));
  message.u.beat.sent_us = (guint64)now;
  message.u.beat.proof_ms =
      config_proof_age_ms(relay_group_proof(relays->group), now);
  directory_newest_changes(relays->directory, message.u.beat.changed);
  return message;
}

/* Does this instance send heartbeats? It must have a copy of all objects. */
static gboolean may_send_heartbeats(const Relays *relays, gint64 now) {
  return relay_group_sends_heartbeats(relays->group, now) &&
         directory_is_loaded(relays->directory);
}

static void send_to_all(Relays *relays, const GArray *addresses,
                        const mp_Msg *message) {
  guint i;
  for (i = 0; i < addresses->len; i++)
    load_exchange_send(relays->exchange, g_array_index(addresses, mp_Addr, i),
                       message);
}

/* Sends a message to the relays of the other data centres. */
static void send_far(Relays *relays, const mp_Msg *message, gint64 now) {
  GArray *far = relay_group_remote_targets(relays->group, now);
  send_to_all(relays, far, message);
  g_array_free(far, TRUE);
}

/* Does this instance send the summaries of its data centre? */
static gboolean sends_summaries(const Relays *relays, gint64 now) {
  return relays->uses_summaries &&
         relay_group_is_first_relay(relays->group, now);
}

static void send_heartbeats(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!may_send_heartbeats(relays, now))
    return;
  message = make_heartbeat(relays, now);
  memcpy(relays->sent_changes, message.u.beat.changed,
         sizeof relays->sent_changes);
  send_to_all(relays, relay_group_members(relays->group), &message);
  send_far(relays, &message, now);
}

/* Sends the sum of this data centre's loads to the relays of the others. */
static void send_summary(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!sends_summaries(relays, now))
    return;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_LOAD_SUMMARY;
  message.seq = ++relays->sequence;
  relays->summary_at = now;
  relays->urgent = router_urgent_set(relays->router, now);
  router_load_summary(relays->router, &message.u.summary, now);
  message.u.summary.relay = relays->self;
  message.u.summary.zone = relays->zone;
  send_far(relays, &message, now);
}

/*
** Sends the recent crash reports of all instances that are known here to the
** relays of the other data centres and to the members of this one. That is
** needed when there are many instances, because each then sends its reports
** within its own data centre only. A report is repeated with each heartbeat
** for some seconds.
*/
static void send_crashes(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!sends_summaries(relays, now))
    return;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CRASHES;
  router_report_crashes(relays->router, TRUE, &message.u.crashes, now);
  if (message.u.crashes.n == 0 && message.u.crashes.suspected_n == 0 &&
      message.u.crashes.acquitted_n == 0)
    return;
  send_far(relays, &message, now);
  send_to_all(relays, relay_group_members(relays->group), &message);
}

void relays_on_crashes(Relays *relays) {
  send_crashes(relays, clock_now());
}

/*
** Sends the sums of the rates at which this data centre sends to endpoints
** that limit them.
*/
static void send_rates(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!sends_summaries(relays, now))
    return;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_RATES;
  router_report_rates(relays->router, TRUE, &message.u.rates, now);
  if (message.u.rates.n == 0)
    return;
  relays->rates_at = now;
  message.u.rates.relay = relays->self;
  message.u.rates.zone = relays->zone;
  send_far(relays, &message, now);
}

void relays_on_rates(Relays *relays) {
  gint64 now = clock_now();
  if (now - relays->rates_at >= SUMMARY_INTERVAL_MIN)
    send_rates(relays, now);
}

static void send_requests(Relays *relays, const mp_Addr *asked,
                          unsigned count) {
  mp_Msg message;
  unsigned i;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_HEARTBEAT_REQUEST;
  message.u.ask.asked_us = (guint64)clock_now();
  for (i = 0; i < count; i++)
    load_exchange_send(relays->exchange, asked[i], &message);
}

/* Asks for heartbeats if this instance needs to hear other relays. */
static void ask_heartbeats(Relays *relays, gint64 now) {
  mp_Addr asked[HEARTBEATS_ASKED_MAX];
  unsigned count = relay_group_heartbeat_sources(
      relays->group, directory_is_loaded(relays->directory), now, asked,
      HEARTBEATS_ASKED_MAX);
  send_requests(relays, asked, count);
}

/* Updates the role of this instance, and logs a change. */
static void update_role(Relays *relays, gint64 now) {
  RelayRole role = relay_group_role(relays->group, now);
  RelaysBefore before;
  if (role == relays->role)
    return;
  relays->role = role;
  before = relay_group_relays_before(relays->group, now);
  log_numbered(relays->log, MP_LOG_RELAY_ROLE,
               " role=%s members=%u relays_heard=%u relays_fresh=%u age_ms=%d",
               relay_role_name(role), relay_group_members(relays->group)->len,
               before.heard, before.fresh,
               (int)(relay_group_news_age(relays->group, now) / MP_MS));
}

/*
** Sends all messages that are due, has the directory make the calls that are
** due, and starts the timer.
*/
static void send_due_messages(Relays *relays) {
  gint64 now = clock_now();
  update_role(relays, now);
  send_heartbeats(relays, now);
  send_summary(relays, now);
  send_crashes(relays, now);
  send_rates(relays, now);
  ask_heartbeats(relays, now);
  directory_poll(relays->directory);
  start_timer(relays);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  send_due_messages(data);
}

void relays_set_members(Relays *relays, gboolean uses_summaries) {
  relays->uses_summaries = uses_summaries;
  send_due_messages(relays);
}

void relays_on_loads(Relays *relays) {
  gint64 now = clock_now();
  if (!relays->uses_summaries ||
      now - relays->summary_at < SUMMARY_INTERVAL_MIN ||
      !relay_group_is_first_relay(relays->group, now))
    return;
  if (router_urgent_set(relays->router, now) != relays->urgent ||
      router_limits_unreported(relays->router) > UNREPORTED_BURST_MAX)
    send_summary(relays, now);
}

void relays_on_news(Relays *relays) {
  StorePosition changed[MP_RELAY_KINDS];
  gint64 now = clock_now();
  directory_newest_changes(relays->directory, changed);
  if (memcmp(changed, relays->sent_changes, sizeof changed) != 0)
    send_heartbeats(relays, now);
}

static void handle_heartbeat(Relays *relays, mp_Addr from,
                             const mp_Msg *message, gint64 now) {
  const mp_RelayHeartbeat *beat = &message->u.beat;
  relay_group_receive_heartbeat(relays->group, from, beat, now);
  if (relay_group_must_bound_clock(relays->group, from, beat, now))
    send_requests(relays, &from, 1);
  router_configuration_proved(relays->router,
                              relay_group_proof(relays->group)->at);
  router_store_answered(relays->router,
                        now - relay_group_news_age(relays->group, now));
  update_role(relays, now);
  directory_poll(relays->directory);
}

static void handle_heartbeat_request(Relays *relays, mp_Addr from,
                                     const mp_Msg *message, gint64 now) {
  mp_Msg answer;
  if (!may_send_heartbeats(relays, now))
    return;
  answer = make_heartbeat(relays, now);
  answer.u.beat.asked_us = message->u.ask.asked_us;
  load_exchange_send(relays->exchange, from, &answer);
}

/*
** Handles a load summary of another data centre. The first relay forwards it
** to the members, if it came from the relay that made it and was not
** forwarded.
*/
static void handle_summary(Relays *relays, mp_Addr from, const mp_Msg *message,
                           gint64 now) {
  if (message->u.summary.zone == relays->zone)
    return;
  router_receive_summary(relays->router, message->seq, &message->u.summary,
                         now);
  if (from == message->u.summary.relay &&
      relay_group_is_first_relay(relays->group, now))
    send_to_all(relays, relay_group_members(relays->group), message);
}

/* Handles the rates of another data centre, as handle_summary() does loads. */
static void handle_rates(Relays *relays, mp_Addr from, const mp_Msg *message,
                         gint64 now) {
  const mp_RateUpdate *news = &message->u.rates;
  if (news->zone == relays->zone)
    return;
  router_receive_rates(relays->router, from, news, now);
  if (from == news->relay && relay_group_is_first_relay(relays->group, now))
    send_to_all(relays, relay_group_members(relays->group), message);
}

void relays_receive(Relays *relays, mp_Addr from, const mp_Msg *message) {
  gint64 now = clock_now();
  switch (message->kind) {
  case MP_MSG_RELAY_HEARTBEAT:
    handle_heartbeat(relays, from, message, now);
    break;
  case MP_MSG_HEARTBEAT_REQUEST:
    handle_heartbeat_request(relays, from, message, now);
    break;
  case MP_MSG_LOAD_SUMMARY:
    handle_summary(relays, from, message, now);
    break;
  case MP_MSG_RATES:
    handle_rates(relays, from, message, now);
    break;
  default:
    break; /* not a message of relays */
  }
}

Relays *relays_new(struct event_base *base, const RelaysOptions *options,
                   RelayGroup *group, Router *router, Directory *directory,
                   LoadExchange *exchange, Log *log) {
  Relays *relays = g_new0(Relays, 1);
  relays->self = options->self;
  relays->zone = g_str_hash(options->zone);
  relays->router = router;
  /* a random start, so that a restarted instance does not use the numbers of
  ** its previous run again */
  relays->sequence = g_random_int();
  relays->group = group;
  relays->directory = directory;
  relays->exchange = exchange;
  relays->log = log;
  relays->timer = evtimer_new(base, on_timer, relays);
  start_timer(relays);
  return relays;
}

void relays_free(Relays *relays) {
  event_free(relays->timer);
  g_free(relays);
}
