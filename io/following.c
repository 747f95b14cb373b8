/*
** following.c
** Follows one kind of the store's objects
*/

#include "io/following.h"
#include "io/news_codec.h"
#include "io/clock.h"
#include "io/store_link.h"

struct Following {
  Log *log;
  FollowingHost host;
  NewsSource source;
  StoreLink *store;
  StoreLink *instance; /* a relay, or a seed */
  struct event *timer;
  gint64 asked_at;    /* the open call's, or the last one's */
  guint64 calls_left; /* as following_abandoned_calls */
  gboolean lag_told;  /* the log has a line that this instance lags */
  gint64 lagged_from; /* lag_told: since then */
  guint64 unreadable_names;
  gint64 nameless_told; /* when the log had a line about them */
};

/* a list that holds objects without a name tells of them each time it is read
 */
#define NAMELESS_PAUSE (60 * MP_SEC)

static void start_timer(Following *following, gint64 at) {
  gint64 wait = MAX(at - clock_now(), 0);
  struct timeval time = {wait / MP_SEC, wait % MP_SEC};
  event_add(following->timer, &time);
}

static const NewsState *news_of(const Following *following) {
  return relay_group_news(following->source.group,
                          following->source.follower.kind);
}

/* one line when this instance lags for long, and one when it does no more */
static void note_lag(Following *following) {
  const NewsState *news = news_of(following);
  gint64 now = clock_now();
  int kind = (int)following->source.follower.kind;
  char held[STORE_POSITION_TEXT_SIZE];
  char newest[STORE_POSITION_TEXT_SIZE];
  if (following->lag_told && news->lags_since == 0) {
    following->lag_told = FALSE;
    log_numbered(following->log, MP_LOG_NEWS_LEVEL,
                 " kind=%d held=%s lagged_ms=%d", kind,
                 store_position_format(news->held, held),
                 (int)((now - following->lagged_from) / MP_MS));
  }
  if (following->lag_told || news_state_lag(news, now) <=
                                 relay_group_lag_max(following->source.group))
    return;
  following->lag_told = TRUE;
  following->lagged_from = news->lags_since;
  log_numbered(following->log, MP_LOG_NEWS_LAG,
               " kind=%d held=%s newest=%s lag_ms=%d asked=%s open_ms=%d"
               " bytes=%" G_GSIZE_FORMAT,
               kind, store_position_format(news->held, held),
               store_position_format(news->newest, newest),
               (int)(news_state_lag(news, now) / MP_MS),
               following->source.at_store ? "store" : "instance",
               (int)((now - following->asked_at) / MP_MS),
               store_link_received_bytes(following->source.at_store
                                             ? following->store
                                             : following->instance));
}

static void leave_store(Following *following) {
  const NewsState *news = news_of(following);
  char held[STORE_POSITION_TEXT_SIZE];
  char newest[STORE_POSITION_TEXT_SIZE];
  following->calls_left++;
  log_numbered(following->log, MP_LOG_STORE_CALL_LEFT,
               " kind=%d held=%s newest=%s open_ms=%d bytes=%" G_GSIZE_FORMAT,
               (int)following->source.follower.kind,
               store_position_format(news->held, held),
               store_position_format(news->newest, newest),
               (int)((clock_now() - following->asked_at) / MP_MS),
               store_link_received_bytes(following->store));
  store_link_abandon(following->store);
  start_timer(following, 0);
}

void following_poll(Following *following) {
  NewsAction wanted;
  note_lag(following);
  if (store_link_received_at(following->store) != 0)
    news_source_progress(&following->source,
                         store_link_received_at(following->store));
  news_source_next(&following->source, clock_now(), &wanted);
  if (wanted.step == NEWS_ASK_STORE || wanted.step == NEWS_ASK_INSTANCE)
    following->asked_at = clock_now();
  switch (wanted.step) {
  case NEWS_WAIT:
    if (wanted.at != G_MAXINT64)
      start_timer(following, wanted.at);
    break;
  case NEWS_ASK_STORE:
    store_link_call(following->store, &wanted.call, wanted.patience);
    break;
  case NEWS_ASK_INSTANCE:
    store_link_set_address(following->instance, wanted.instance);
    store_link_call(following->instance, &wanted.call, wanted.patience);
    break;
  case NEWS_ABANDON_STORE_CALL:
    leave_store(following);
    break;
  }
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  following_poll(data);
}

static void note_overtaken(const Following *following,
                           const StoreReply *reply) {
  const Follower *follower = &following->source.follower;
  char at[STORE_POSITION_TEXT_SIZE];
  char known[STORE_POSITION_TEXT_SIZE];
  log_numbered(following->log, MP_LOG_ANSWER_OVERTAKEN,
               " kind=%d at=%s known=%s", (int)follower->kind,
               store_position_format(reply->at, at),
               store_position_format(follower->known, known));
}

/* one line when a kind is first known in a newer era */
static void note_restored(const Following *following, StorePosition was) {
  const Follower *follower = &following->source.follower;
  char from[STORE_POSITION_TEXT_SIZE];
  char to[STORE_POSITION_TEXT_SIZE];
  if (store_position_is_none(was) || follower->known.era == was.era)
    return;
  log_numbered(following->log, MP_LOG_STORE_RESTORED,
               " kind=%d was=%s is=%s heard_from=%s", (int)follower->kind,
               store_position_format(was, from),
               store_position_format(follower->known, to),
               following->source.at_store ? "store" : "instance");
}

static void take_reply(Following *following, const StoreReply *reply) {
  guint missed = following->source.missed;
  guint overtaken = following->source.follower.overtaken;
  StorePosition known = following->source.follower.known;
  char at[STORE_POSITION_TEXT_SIZE];
  if (reply->status == STORE_HISTORY_GONE)
    log_numbered(following->log, MP_LOG_STORE_HISTORY_GONE, " kind=%d",
                 (int)following->source.follower.kind);
  news_source_reply(&following->source, reply, clock_now());
  if (following->source.missed != missed)
    log_numbered(following->log, MP_LOG_WATCH_MISSED, " kind=%d at=%s",
                 (int)following->source.follower.kind,
                 store_position_format(reply->at, at));
  if (following->source.follower.overtaken != overtaken)
    note_overtaken(following, reply);
  note_restored(following, known);
}

static void note_nameless(Following *following, const StoreReply *reply) {
  gint64 now = clock_now();
  if (reply->unreadable_names == 0)
    return;
  following->unreadable_names += reply->unreadable_names;
  if (following->nameless_told != 0 &&
      now - following->nameless_told < NAMELESS_PAUSE)
    return;
  following->nameless_told = now;
  log_numbered(following->log, MP_LOG_STORE_NAMELESS, " kind=%d objects=%u",
               (int)following->source.follower.kind, reply->unreadable_names);
}

static void on_store_reply(void *data, const StoreReply *reply,
                           const GError *error) {
  Following *following = data;
  (void)error; /* the follower tells its host of the loss */
  note_nameless(following, reply);
  take_reply(following, reply);
  if (reply->status == STORE_OK)
    following->host.answered(following->host.objects.data);
  start_timer(following, 0);
}

static void log_instance(const Following *following, const StoreReply *reply,
                         const GError *error) {
  int kind = (int)following->source.follower.kind;
  char relay[24];
  if (reply->status == STORE_OK && following->source.asked == 0)
    log_numbered(following->log, MP_LOG_PEER_SNAPSHOT, " kind=%d objects=%u",
                 kind, reply->objects->len);
  if (reply->status != STORE_FAILED || following->source.asked == 0)
    return;
  mp_addr_text(following->source.asked, relay);
  log_numbered(following->log, MP_LOG_RELAY_FAILED,
               " kind=%d relay=%s error=\"%s\"", kind, relay,
               error != NULL ? error->message : "it knows nothing");
}

static void on_instance_reply(void *data, const StoreReply *reply,
                              const GError *error) {
  Following *following = data;
  log_instance(following, reply, error);
  take_reply(following, reply);
  start_timer(following, 0);
}

Following *following_new(struct event_base *base, const Dialect *dialect,
                         const FollowingOptions *options, RelayGroup *group,
                         const FollowingHost *host, Log *log) {
  Following *following = g_new0(Following, 1);
  NewsSourceHost source = {host->objects.data, host->control_of};
  following->log = log;
  following->host = *host;
  follower_init(&following->source.follower, options->kind,
                options->watch_wait, options->pause, &host->objects);
  news_source_init(&following->source, group, &source, options->seeds,
                   options->seeds_count);
  following->source.proof_wait_max = options->proof_wait_max;
  following->store = store_link_new(base, options->store, &dialect->store,
                                    on_store_reply, following);
  following->instance =
      store_link_new(base, 0, &news_codec, on_instance_reply, following);
  following->timer = evtimer_new(base, on_timer, following);
  return following;
}

void following_free(Following *following) {
  event_free(following->timer);
  store_link_free(following->store);
  store_link_free(following->instance);
  follower_clear(&following->source.follower);
  g_free(following);
}

const Follower *following_follower(const Following *following) {
  return &following->source.follower;
}

guint64 following_nameless_objects(const Following *following) {
  return following->unreadable_names;
}

guint64 following_abandoned_calls(const Following *following) {
  return following->calls_left;
}

guint64 following_store_calls(const Following *following) {
  return store_link_calls(following->store);
}
