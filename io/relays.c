/*
** relays.c
** Heartbeats of the relays of a data centre
*/

#include <string.h>

#include "io/clock.h"
#include "io/relays.h"

/* members that are asked for a heartbeat: the relays there should be, and as
** many that take their place when they are lost */
#define ASKED 4
/* relays whose clocks are asked for at once: all of a few data centres */
#define CLOCKS_AT_ONCE 8
/* least time between two summaries: an engine that turns all away looks idle,
** and in the 0.2 s between heartbeats 61 prompts of other data centres were
** sent to one of them in vain (58 instances, a burst with a quarter of the
** engines lost) */
#define SUMMARY_LEAST (30 * MP_MS)

/* a part of an account's burst that the other data centres learn about with
** the next summary, 0.2 s later at the most; more is told at once */
#define UNTOLD_MOST 0.1

struct Relays {
  mp_Addr self;
  guint32 zone; /* hash of the data centre's name */
  gboolean proving;
  RelayGroup *group;
  Router *router;
  Directory *directory;
  LoadExchange *exchange;
  Log *log;
  struct event *timer;
  RelayRole role;
  StorePosition told[MP_RELAY_KINDS]; /* in the last heartbeat */
  gboolean summing;                   /* loads are told in summaries */
  guint32 sequence;                   /* of the last summary */
  gint64 summary_at;                  /* when it was sent */
  guint64 urgent;                     /* router_urgent_set in it */
  gint64 rates_at;                    /* when sums of rates were sent */
};

static void start_timer(Relays *relays) {
  gint64 now = clock_now();
  gint64 wait = CLAMP(relay_group_next_check(relays->group, now) - now, MP_MS,
                      RELAY_HEARTBEAT_INTERVAL);
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(relays->timer, &time);
}

static mp_Msg beat(const Relays *relays, gint64 now) {
  mp_Msg message;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_RELAY_HEARTBEAT;
  message.u.beat.age_ms =
      (guint32)(relay_group_age(relays->group, now) / MP_MS);
  message.u.beat.sent_us = (guint64)now;
  message.u.beat.proof_ms =
      config_proof_age_ms(relay_group_proof(relays->group), now);
  directory_newest_changes(relays->directory, message.u.beat.changed);
  return message;
}

static gboolean may_beat(const Relays *relays) {
  return relays->role == RELAY_ROLE_RELAY &&
         directory_is_loaded(relays->directory);
}

static void send_to_all(Relays *relays, const GArray *addresses,
                        const mp_Msg *message) {
  guint i;
  for (i = 0; i < addresses->len; i++)
    load_exchange_send(relays->exchange, g_array_index(addresses, mp_Addr, i),
                       message);
}

/* to the relays of the other data centres */
static void send_far(Relays *relays, const mp_Msg *message, gint64 now) {
  GArray *far = relay_group_remote_targets(relays->group, now);
  send_to_all(relays, far, message);
  g_array_free(far, TRUE);
}

/* does this instance tell others what its data centre does? */
static gboolean is_teller(const Relays *relays, gint64 now) {
  return relays->summing && relay_group_is_first_relay(relays->group, now);
}

static void send_beats(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!may_beat(relays))
    return;
  message = beat(relays, now);
  memcpy(relays->told, message.u.beat.changed, sizeof relays->told);
  send_to_all(relays, relay_group_members(relays->group), &message);
  send_far(relays, &message, now);
}

/* what this data centre has open, for the relays of the others */
static void send_summary(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!is_teller(relays, now))
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
** With many instances each tells its own data centre alone. The first relay
** hands on to the others, and from them to its members, what it has learned
** lately, and again with each heartbeat for some seconds.
*/
static void send_crashes(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!is_teller(relays, now))
    return;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_CRASHES;
  router_report_crashes(relays->router, TRUE, &message.u.crashes, now);
  if (message.u.crashes.n == 0 && message.u.crashes.suspected_n == 0)
    return;
  send_far(relays, &message, now);
  send_to_all(relays, relay_group_members(relays->group), &message);
}

void relays_on_crashes(Relays *relays) {
  send_crashes(relays, clock_now());
}

/* what this data centre sends to endpoints that name rates */
static void send_rates(Relays *relays, gint64 now) {
  mp_Msg message;
  if (!is_teller(relays, now))
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
  if (now - relays->rates_at >= SUMMARY_LEAST)
    send_rates(relays, now);
}

static void ask_all(Relays *relays, const mp_Addr *asked, unsigned count) {
  mp_Msg message;
  unsigned i;
  memset(&message, 0, sizeof message);
  message.kind = MP_MSG_HEARTBEAT_REQUEST;
  message.u.ask.asked_us = (guint64)clock_now();
  for (i = 0; i < count; i++)
    load_exchange_send(relays->exchange, asked[i], &message);
}

/* an instance that knows nothing yet does not wait to be found */
static void ask(Relays *relays) {
  mp_Addr asked[ASKED];
  unsigned count = relay_group_first_members(relays->group, asked, ASKED);
  ask_all(relays, asked, count);
}

/* whose clocks are not known, or were looked at too long ago */
static void ask_clocks(Relays *relays, gint64 now) {
  mp_Addr asked[CLOCKS_AT_ONCE];
  unsigned count =
      relay_group_clocks_to_bound(relays->group, now, asked, CLOCKS_AT_ONCE);
  ask_all(relays, asked, count);
}

static void take_role(Relays *relays, gint64 now) {
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

static void look(Relays *relays) {
  gint64 now = clock_now();
  take_role(relays, now);
  send_beats(relays, now);
  send_summary(relays, now);
  send_crashes(relays, now);
  send_rates(relays, now);
  if (relays->role == RELAY_ROLE_MEMBER &&
      !directory_is_loaded(relays->directory))
    ask(relays);
  if (relays->proving)
    ask_clocks(relays, now);
  directory_poll(relays->directory);
  start_timer(relays);
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  look(data);
}

void relays_set_members(Relays *relays, gboolean summing) {
  relays->summing = summing;
  look(relays);
}

void relays_on_loads(Relays *relays) {
  gint64 now = clock_now();
  if (!relays->summing || now - relays->summary_at < SUMMARY_LEAST ||
      !relay_group_is_first_relay(relays->group, now))
    return;
  if (router_urgent_set(relays->router, now) != relays->urgent ||
      router_limits_unreported(relays->router) > UNTOLD_MOST)
    send_summary(relays, now);
}

void relays_on_news(Relays *relays) {
  StorePosition changed[MP_RELAY_KINDS];
  gint64 now = clock_now();
  directory_newest_changes(relays->directory, changed);
  if (memcmp(changed, relays->told, sizeof changed) != 0)
    send_beats(relays, now);
}

static void take_beat(Relays *relays, mp_Addr from, const mp_Msg *message,
                      gint64 now) {
  relay_group_receive_heartbeat(relays->group, from, &message->u.beat, now);
  router_configuration_proved(relays->router,
                              relay_group_proof(relays->group)->at);
  router_store_answered(relays->router,
                        now - relay_group_news_age(relays->group, now));
  take_role(relays, now);
  directory_poll(relays->directory);
}

static void take_wish(Relays *relays, mp_Addr from, const mp_Msg *message,
                      gint64 now) {
  mp_Msg answer;
  if (!may_beat(relays))
    return;
  answer = beat(relays, now);
  answer.u.beat.asked_us = message->u.ask.asked_us;
  load_exchange_send(relays->exchange, from, &answer);
}

/* of another data centre; who hears it from there hands it on here */
static void take_summary(Relays *relays, mp_Addr from, const mp_Msg *message,
                         gint64 now) {
  if (message->u.summary.zone == relays->zone)
    return;
  router_zone_load(relays->router, message->seq, &message->u.summary, now);
  if (from == message->u.summary.relay &&
      relay_group_is_first_relay(relays->group, now))
    send_to_all(relays, relay_group_members(relays->group), message);
}

/* the same of rates */
static void take_rates(Relays *relays, mp_Addr from, const mp_Msg *message,
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
    take_beat(relays, from, message, now);
    break;
  case MP_MSG_HEARTBEAT_REQUEST:
    take_wish(relays, from, message, now);
    break;
  case MP_MSG_LOAD_SUMMARY:
    take_summary(relays, from, message, now);
    break;
  case MP_MSG_RATES:
    take_rates(relays, from, message, now);
    break;
  default:
    break; /* not for relays */
  }
}

Relays *relays_new(struct event_base *base, const RelaysOptions *options,
                   RelayGroup *group, Router *router, Directory *directory,
                   LoadExchange *exchange, Log *log) {
  Relays *relays = g_new0(Relays, 1);
  relays->self = options->self;
  relays->zone = g_str_hash(options->zone);
  relays->proving = options->proving;
  relays->router = router;
  relays->sequence = g_random_int(); /* another life starts elsewhere */
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
