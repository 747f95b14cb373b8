/*
** news_source.c
** Chooses whom an instance asks for changes of one kind of objects
*/

#include <string.h>

#include "router/news_source.h"

/*
** An answer to a watch may come this much later than its wait: a slow store.
*/
#define WATCH_ANSWER_MARGIN (700 * MP_MS)
/* Other calls to the store are given up after this. */
#define CALL_TIMEOUT (1000 * MP_MS)
/*
** Before anything is known, the first call is given up this early, so that
** another instance is asked instead. The wait doubles with each further call,
** up to CALL_TIMEOUT.
*/
#define FIRST_CALL_TIMEOUT (400 * MP_MS)
/*
** An instance answers from memory; sending a large configuration over its link
** takes some hundred milliseconds.
*/
#define INSTANCE_CALL_TIMEOUT (1000 * MP_MS)
/*
** A store that is silent for this long while another instance has changes is
** abandoned for a relay; a slow store answers within 200 ms.
*/
#define STORE_SILENCE_MAX (300 * MP_MS)

/*
** Longest waits after failures. Instances change rarely, and news of requests
** that crash endpoints is sent between instances as well. An instance that
** substitutes for relays that the store does not answer is one of many that
** ask.
*/
#define RARE_RETRY_WAIT_MAX (5 * MP_SEC)
#define SUBSTITUTE_RETRY_WAIT (1400 * MP_MS)
/*
** The quarantine is watched this long after it was listed, which leaves the
** first second of a start to the calls that requests depend on. Changes in
** between are in the watch's answer, and instances tell each other of them.
*/
#define QUARANTINE_WATCH_DELAY (1 * MP_SEC)

void news_source_init(NewsSource *source, RelayGroup *group,
                      const NewsSourceHost *host, const mp_Addr *seeds,
                      unsigned seeds_count) {
  source->group = group;
  source->host = *host;
  source->seeds = seeds;
  source->seeds_count = seeds_count;
  if (source->follower.kind == STORE_INSTANCES ||
      source->follower.kind == STORE_QUARANTINE)
    source->follower.retry_wait_max = RARE_RETRY_WAIT_MAX;
}

static gboolean is_synced(const NewsSource *source) {
  return follower_is_synced(&source->follower);
}

static mp_Addr relay_with_news(const NewsSource *source, gint64 now) {
  return relay_group_choose_source(source->group, source->follower.kind,
                                   source->follower.known, now);
}

/*
** Returns a relay that has news; while everything is to be listed, any relay
** that knows something.
*/
static mp_Addr choose_relay(const NewsSource *source, gint64 now) {
  if (source->follower.watching)
    return relay_with_news(source, now);
  return relay_group_choose_source(source->group, source->follower.kind,
                                   store_position_none(), now);
}

/*
** Asks a relay that has news, and returns FALSE when none can be asked. A
** relay that is not listed yet has no known address: another one is asked, or
** the store.
*/
static gboolean ask_relay(NewsSource *source, gint64 now, NewsAction *out) {
  mp_Addr relay;
  while ((relay = choose_relay(source, now)) != 0) {
    out->instance = source->host.control_of(source->host.data, relay);
    if (out->instance != 0) {
      source->asked = relay;
      source->must_ask_store = FALSE;
      out->step = NEWS_ASK_INSTANCE;
      return TRUE;
    }
    relay_group_suspend_relay(source->group, relay);
    source->must_ask_store = TRUE;
  }
  return FALSE;
}

/*
** Asks a seed after each odd number of failures of the store in a row, while
** nothing is known. When the last seed knew nothing either, the store is asked
** at once. Otherwise the store's turn comes 1.2 s later, and an instance that
** started 0.3 s before the store registers that late.
*/
static gboolean ask_seed(NewsSource *source, NewsAction *out) {
  gboolean has_failed = source->seed_failed;
  source->seed_failed = FALSE;
  if (has_failed || is_synced(source) || source->seeds_count == 0 ||
      source->follower.failures % 2 == 0)
    return FALSE;
  out->instance = source->seeds[source->next_seed++ % source->seeds_count];
  out->step = NEWS_ASK_INSTANCE;
  return TRUE;
}

static void ask_store(NewsAction *out) {
  out->step = NEWS_ASK_STORE;
}

/*
** Chooses for an instance that follows the store: it asks another one only
** when the store has not answered.
*/
static void choose_for_store_reader(NewsSource *source, gint64 now,
                                    NewsAction *out) {
  gboolean is_behind = source->is_behind || source->follower.failures > 0;
  source->is_behind = FALSE;
  if (is_behind && !source->must_ask_store && ask_relay(source, now, out))
    return;
  if (!ask_seed(source, out))
    ask_store(out);
}

/*
** An instance that starts reads the store once, before it knows who follows
** it: a relay's link would take seconds for all instances that start at once.
** A stale list suffices and costs less: changes after it arrive at once from a
** watch or from a relay. The quarantine is short and waits for the relay.
*/
static gboolean is_first_list(const NewsSource *source, RelayRole role) {
  return !is_synced(source) && source->follower.kind != STORE_QUARANTINE &&
         (role == RELAY_ROLE_STARTING || role == RELAY_ROLE_MEMBER);
}

/*
** One of many substitutes for relays asks for the instances and the quarantine
** only once the store answers it about what matters more, because a failed
** call costs, too.
*/
static gboolean should_defer_call(const NewsSource *source, gint64 now) {
  return (source->follower.kind == STORE_QUARANTINE ||
          source->follower.kind == STORE_INSTANCES) &&
         relay_group_is_substitute(source->group, now) &&
         !relay_group_is_store_answering(source->group, now);
}

static void choose_target(NewsSource *source, gint64 now, NewsAction *out) {
  RelayRole role = relay_group_role(source->group, now);
  if (should_defer_call(source, now))
    return;
  if (is_first_list(source, role))
    choose_for_store_reader(source, now, out);
  else if (role == RELAY_ROLE_STARTING)
    return; /* there is nobody to ask yet */
  else if (role != RELAY_ROLE_MEMBER || source->must_ask_store)
    choose_for_store_reader(source, now, out);
  else if (!ask_relay(source, now, out) && source->must_ask_store)
    ask_store(out);
}

static gint64 store_timeout(const NewsSource *source, const StoreCall *call) {
  gint64 timeout = CALL_TIMEOUT;
  if (call->operation == STORE_WATCH)
    return call->wait + WATCH_ANSWER_MARGIN;
  if (!is_synced(source))
    timeout = FIRST_CALL_TIMEOUT << MIN(source->follower.failures, 2);
  return MIN(timeout, CALL_TIMEOUT);
}

void news_source_progress(NewsSource *source, gint64 now) {
  source->progress_at = MAX(source->progress_at, now);
}

/*
** Returns how long a silent store is waited for while another instance has
** news: 0 when the store has not answered this instance recently.
*/
static gint64 store_silence_allowed(const NewsSource *source, gint64 now) {
  gboolean answers = source->progress_at > source->asked_at ||
                     relay_group_is_store_answering(source->group, now);
  return answers ? STORE_SILENCE_MAX : 0;
}

static void abandon_store_call(NewsSource *source, gint64 now,
                               NewsAction *out) {
  source->behind_since = 0;
  follower_abandon_store_call(&source->follower, now);
  out->step = NEWS_ABANDON_STORE_CALL;
}

/*
** A watch from an older era than one that was named since then tells nothing.
*/
static gboolean is_watch_of_older_era(const NewsSource *source) {
  return source->at_store && source->asked_for == STORE_WATCH &&
         source->asked_era < relay_group_era(source->group);
}

/*
** Checks an open call. When another instance knows more than a call to the
** store has brought, the store should answer any moment; one that is silent is
** abandoned. A call is not given up while its answer is arriving, however long
** it takes.
*/
static void check_open_call(NewsSource *source, gint64 now, NewsAction *out) {
  if (is_watch_of_older_era(source)) {
    abandon_store_call(source, now, out);
    return;
  }
  if (!source->at_store || relay_with_news(source, now) == 0) {
    source->behind_since = 0;
    return;
  }
  if (source->behind_since == 0)
    source->behind_since = now;
  out->at = MAX(source->behind_since, source->progress_at) +
            store_silence_allowed(source, now);
  if (now < out->at)
    return;
  source->is_behind = TRUE;
  /* A relay that failed before may answer now. */
  source->must_ask_store = FALSE;
  abandon_store_call(source, now, out);
}

static void record_call(NewsSource *source, StoreCall *call, gint64 now) {
  if (source->follower.relist_at > now)
    call->wait = MIN(call->wait, source->follower.relist_at - now);
  if (source->proof_wait_max > 0)
    call->wait = MIN(call->wait, source->proof_wait_max);
  if (!source->follower.from_stale_list &&
      (call->kind == STORE_CONFIGURATION || call->kind == STORE_ENDPOINTS))
    call->wait = MIN(call->wait,
                     relay_group_watch_wait(source->group, call->kind, now));
  source->asked_at = now;
  if (call->operation == STORE_LIST && call->after == NULL)
    source->list_asked_at = now;
  source->asked_for = call->operation;
  source->asked_wait = call->wait;
  source->asked_stale = call->stale;
  source->asked_as_relay =
      relay_group_role(source->group, now) == RELAY_ROLE_RELAY;
  source->asked_era = relay_group_era(source->group);
}

static gboolean is_empty(const StoreReply *reply) {
  return reply->objects == NULL || reply->objects->len == 0;
}

/*
** Returns the latest time in us at which the store certainly had nothing newer
** than its reply, whenever that is read. A list shows the objects as they were
** when its first page was requested, a watch all changes up to its request. A
** watch that ended without changes after its whole wait shows that there were
** none until then. One that is read later than such an answer comes may have
** been cut short.
*/
static gint64 proved_time(const NewsSource *source, const StoreReply *reply,
                          gint64 now) {
  gint64 end = source->asked_at + source->asked_wait;
  if (source->asked_for == STORE_LIST)
    return source->list_asked_at;
  if (is_empty(reply) && now >= end && now <= end + WATCH_ANSWER_MARGIN)
    return end;
  return source->asked_at;
}

/* Records what a reply of the store proves of the configuration's age. */
static void record_proof(NewsSource *source, const StoreReply *reply,
                         gint64 now) {
  if (source->follower.kind != STORE_CONFIGURATION || source->asked_stale ||
      source->follower.failures > 0 || !source->follower.watching)
    return;
  config_proof_confirm_by_store(relay_group_proof(source->group),
                                reply->at.era, proved_time(source, reply, now),
                                now);
}

/*
** An instance that begins to follow the store after its relays were lost may
** have missed several changes. A watch would return each of them whole.
*/
static void check_missed_changes(NewsSource *source, gboolean was_at_store,
                                 gint64 now) {
  if (source->at_store && !was_at_store &&
      relay_group_news_age(source->group, now) >
          relay_group_lag_max(source->group))
    follower_prefer_list(&source->follower);
}

/*
** A relay that knows the objects only from a list that may be stale lists them
** again at once: until then it is not fresh, and members would take over. The
** age of instances and of the quarantine does not count (relay_group_age).
*/
static void check_stale_list(NewsSource *source, gint64 now) {
  gboolean is_age_told = source->follower.kind == STORE_CONFIGURATION ||
                         source->follower.kind == STORE_ENDPOINTS;
  if (source->follower.from_stale_list && is_age_told &&
      relay_group_role(source->group, now) == RELAY_ROLE_RELAY)
    follower_hasten_relist(&source->follower, now);
}

void news_source_next(NewsSource *source, gint64 now, NewsAction *out) {
  gint64 due = follower_next_call_time(&source->follower);
  gboolean was_at_store = source->at_store;
  memset(out, 0, sizeof *out);
  out->at = G_MAXINT64;
  if (source->follower.is_handling_reply)
    return;
  check_stale_list(source, now);
  follower_check_relist(&source->follower, now);
  if (due == G_MAXINT64) {
    check_open_call(source, now, out);
    return;
  }
  source->behind_since = 0;
  /* The pause after a failure of the store does not delay calls to relays. */
  if (due > now &&
      (source->follower.failures == 0 || relay_with_news(source, now) == 0)) {
    out->at = due;
    return;
  }
  source->asked = 0;
  choose_target(source, now, out);
  if (out->step == NEWS_WAIT)
    return;
  source->at_store = out->step == NEWS_ASK_STORE;
  check_missed_changes(source, was_at_store, now);
  if (source->at_store)
    follower_observe_era(&source->follower, relay_group_era(source->group));
  follower_begin_call(&source->follower, !source->at_store, &out->call);
  source->progress_at = now;
  out->call.stale =
      out->call.operation == STORE_LIST && source->proof_wait_max == 0 &&
      is_first_list(source, relay_group_role(source->group, now));
  source->follower.open_list_is_stale = out->call.stale;
  record_call(source, &out->call, now);
  out->patience = source->at_store ? store_timeout(source, &out->call)
                                   : INSTANCE_CALL_TIMEOUT;
}

/*
** Returns TRUE when the store says that nothing has changed up to a position,
** and another instance has announced a change at or before it.
*/
static gboolean misses_change(const NewsSource *source,
                              const StoreReply *reply) {
  const NewsState *news =
      relay_group_news(source->group, source->follower.kind);
  return source->at_store && source->asked_for == STORE_WATCH &&
         reply->status == STORE_OK && is_empty(reply) &&
         news_state_is_behind(news) &&
         !store_position_is_before(reply->at, news->newest);
}

/*
** Records up to when the store's objects are known, after the reply was
** handled. What is known only from a list that may be stale is of unknown age,
** and so is what a watch adds to it. A watch that ended in another era says
** nothing of the present objects.
*/
static void confirm_store(NewsSource *source, const StoreReply *reply,
                          gint64 now) {
  Follower *follower = &source->follower;
  if (follower->from_stale_list)
    return;
  if (source->asked_for == STORE_LIST ? reply->more
                                      : reply->at.era != follower->known.era)
    return;
  relay_group_confirm_store(source->group, follower->kind,
                            proved_time(source, reply, now));
  /* The pause after changes must not make the objects too old. */
  follower->retry_at =
      MIN(follower->retry_at,
          relay_group_watch_due(source->group, follower->kind, now));
}

/*
** Returns TRUE for an answer of an instance that knows an older era than this
** one, or that knows only a stale list when this one knows better.
*/
static gboolean is_outdated_answer(const NewsSource *source,
                                   const StoreReply *reply) {
  const Follower *follower = &source->follower;
  if (source->at_store)
    return FALSE;
  return reply->at.era < follower->known.era ||
         (reply->from_stale_list && follower_is_synced(follower) &&
          !follower->from_stale_list);
}

void news_source_reply(NewsSource *source, const StoreReply *reply,
                       gint64 now) {
  static const StoreReply relist_reply = {.status = STORE_HISTORY_GONE};
  gboolean by_relay = source->asked != 0;
  gboolean is_answer = reply->status != STORE_FAILED;
  relay_group_observe_era(source->group, reply->at.era);
  if (is_outdated_answer(source, reply))
    is_answer = FALSE;
  if (misses_change(source, reply)) {
    source->missed++;
    follower_handle_reply(&source->follower, &relist_reply, now);
    return;
  }
  if (source->at_store)
    source->must_ask_store = FALSE;
  if (!source->at_store && !by_relay && !is_answer) {
    /* This is no failure of the store. */
    source->seed_failed = TRUE;
    follower_abandon_call(&source->follower, now);
    return;
  }
  if (by_relay && !is_answer) {
    /* This is no outage of the store. */
    relay_group_suspend_relay(source->group, source->asked);
    source->must_ask_store = TRUE;
    follower_abandon_call(&source->follower, now);
    return;
  }
  follower_handle_reply(&source->follower, reply, now);
  relay_group_advance_held(source->group, source->follower.kind,
                           source->follower.known, now);
  if (source->at_store && reply->status == STORE_OK) {
    confirm_store(source, reply, now);
    record_proof(source, reply, now);
    if (source->asked_as_relay)
      relay_group_advance_learned(source->group, source->follower.kind,
                                  source->follower.changed, now);
  }
  if (source->follower.kind == STORE_QUARANTINE &&
      source->asked_for == STORE_LIST && reply->status == STORE_OK &&
      !reply->more)
    source->follower.retry_at = now + QUARANTINE_WATCH_DELAY;
  if (source->at_store && reply->status == STORE_FAILED &&
      relay_group_is_substitute(source->group, now))
    source->follower.retry_at =
        MAX(source->follower.retry_at, now + SUBSTITUTE_RETRY_WAIT);
}
