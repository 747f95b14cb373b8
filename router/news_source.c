/*
** news_source.c
** Whom an instance asks for the news of one kind of the store's objects
*/

#include <string.h>

#include "router/news_source.h"

/* an answer may come so much later than a watch's wait: a slow store */
#define WATCH_SLACK (700 * MP_MS)
/* other calls to the store are given up after this */
#define CALL_PATIENCE (1000 * MP_MS)
/* before anything is known, the first call is given up so soon that another
** instance is asked in its place; each further one has twice the time */
#define FIRST_PATIENCE (400 * MP_MS)
/* an instance answers from memory; a large configuration takes its link some
** hundred milliseconds */
#define INSTANCE_PATIENCE (1000 * MP_MS)
/* a store that is silent for so long while another instance has news is left
** for a relay; a slow one answers within 200 ms */
#define STORE_SILENCE_MAX (300 * MP_MS)

/* longest waits after failures: instances change rarely, and what ends
** endpoints is told between instances besides; and who stands in for relays
** that the store does not answer is one of many that ask */
#define RARE_RETRY (5 * MP_SEC)
#define STAND_IN_RETRY (1400 * MP_MS)

void news_source_init(NewsSource *source, RelayGroup *group,
                      const NewsSourceHost *host, const mp_Addr *seeds,
                      unsigned seeds_count) {
  source->group = group;
  source->host = *host;
  source->seeds = seeds;
  source->seeds_count = seeds_count;
  if (source->follower.kind == STORE_INSTANCES ||
      source->follower.kind == STORE_QUARANTINE)
    source->follower.retry_wait_max = RARE_RETRY;
}

static gboolean knows(const NewsSource *source) {
  return follower_is_synced(&source->follower);
}

static mp_Addr relay_with_news(const NewsSource *source, gint64 now) {
  return relay_group_choose_source(source->group, source->follower.kind,
                                   source->follower.known, now);
}

/* the same, or any relay that knows something while all is to be listed */
static mp_Addr relay_to_ask(const NewsSource *source, gint64 now) {
  if (source->follower.watching)
    return relay_with_news(source, now);
  return relay_group_choose_source(source->group, source->follower.kind,
                                   store_position_none(), now);
}

/*
** Ask a relay that has news; FALSE when none can be asked. One that is not
** listed yet has no known address: another one is asked, or the store.
*/
static gboolean ask_relay(NewsSource *source, gint64 now, NewsAction *out) {
  mp_Addr relay;
  while ((relay = relay_to_ask(source, now)) != 0) {
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
** After every second failure of the store, of one that knows nothing. A seed
** that knows nothing either has the store asked at once: its turn was put off
** by 1.2 s otherwise, and an instance that started 0.3 s before the store
** entered itself that late.
*/
static gboolean ask_seed(NewsSource *source, NewsAction *out) {
  gboolean has_failed = source->seed_failed;
  source->seed_failed = FALSE;
  if (has_failed || knows(source) || source->seeds_count == 0 ||
      source->follower.failures % 2 == 0)
    return FALSE;
  out->instance = source->seeds[source->next_seed++ % source->seeds_count];
  out->step = NEWS_ASK_INSTANCE;
  return TRUE;
}

static void ask_store(NewsAction *out) {
  out->step = NEWS_ASK_STORE;
}

/* one that follows the store: others only when the store has not answered */
static void choose_for_follower(NewsSource *source, gint64 now,
                                NewsAction *out) {
  gboolean is_behind = source->is_behind || source->follower.failures > 0;
  source->is_behind = FALSE;
  if (is_behind && !source->must_ask_store && ask_relay(source, now, out))
    return;
  if (!ask_seed(source, out))
    ask_store(out);
}

/*
** One that starts reads the store once, before it knows who follows it: a
** relay's link would take seconds for all that start at once. An old list
** will do, and costs less: changes after it are heard in a moment, from a
** watch or from a relay. The quarantine is short and waits for the relay.
*/
static gboolean is_first_list(const NewsSource *source, RelayRole role) {
  return !knows(source) && source->follower.kind != STORE_QUARANTINE &&
         (role == RELAY_ROLE_STARTING || role == RELAY_ROLE_MEMBER);
}

/* One of many that stand in for relays asks for the quarantine once the store
** answers it about what matters more: a call that fails is a call */
static gboolean may_wait(const NewsSource *source, gint64 now) {
  return source->follower.kind == STORE_QUARANTINE &&
         relay_group_is_substitute(source->group, now) &&
         !relay_group_is_store_answering(source->group, now);
}

static void choose(NewsSource *source, gint64 now, NewsAction *out) {
  RelayRole role = relay_group_role(source->group, now);
  if (may_wait(source, now))
    return;
  if (is_first_list(source, role))
    choose_for_follower(source, now, out);
  else if (role == RELAY_ROLE_STARTING)
    return; /* nobody to ask yet */
  else if (role != RELAY_ROLE_MEMBER || source->must_ask_store)
    choose_for_follower(source, now, out);
  else if (!ask_relay(source, now, out) && source->must_ask_store)
    ask_store(out);
}

static gint64 store_patience(const NewsSource *source, const StoreCall *call) {
  gint64 patience = CALL_PATIENCE;
  if (call->operation == STORE_WATCH)
    return call->wait + WATCH_SLACK;
  if (!knows(source))
    patience = FIRST_PATIENCE << MIN(source->follower.failures, 2);
  return MIN(patience, CALL_PATIENCE);
}

void news_source_progress(NewsSource *source, gint64 now) {
  source->progress_at = MAX(source->progress_at, now);
}

/* how long a silent store is waited for while another instance has news: not
** at all when it has not answered this instance lately */
static gint64 silence_most(const NewsSource *source, gint64 now) {
  gboolean answers = source->progress_at > source->asked_at ||
                     relay_group_is_store_answering(source->group, now);
  return answers ? STORE_SILENCE_MAX : 0;
}

static void leave_store(NewsSource *source, gint64 now, NewsAction *out) {
  source->behind_since = 0;
  follower_abandon_store_call(&source->follower, now);
  out->step = NEWS_ABANDON_STORE_CALL;
}

/* a watch of an older era than one that was heard of since tells nothing */
static gboolean is_in_vain(const NewsSource *source) {
  return source->at_store && source->asked_for == STORE_WATCH &&
         source->asked_era < relay_group_era(source->group);
}

/*
** A call to the store is out, and another instance knows more than it has
** brought. It should answer any moment; one that is silent is lost. An answer
** that arrives is not given up, however long it takes.
*/
static void look_behind(NewsSource *source, gint64 now, NewsAction *out) {
  if (is_in_vain(source)) {
    leave_store(source, now, out);
    return;
  }
  if (!source->at_store || relay_with_news(source, now) == 0) {
    source->behind_since = 0;
    return;
  }
  if (source->behind_since == 0)
    source->behind_since = now;
  out->at = MAX(source->behind_since, source->progress_at) +
            silence_most(source, now);
  if (now < out->at)
    return;
  source->is_behind = TRUE;
  source->must_ask_store =
      FALSE; /* a relay that failed before may answer now */
  leave_store(source, now, out);
}

static void note_call(NewsSource *source, StoreCall *call, gint64 now) {
  if (source->follower.relist_at > now)
    call->wait = MIN(call->wait, source->follower.relist_at - now);
  if (source->proof_wait_max > 0)
    call->wait = MIN(call->wait, source->proof_wait_max);
  if (call->kind == STORE_CONFIGURATION || call->kind == STORE_ENDPOINTS)
    call->wait = MIN(call->wait,
                     relay_group_watch_wait(source->group, call->kind, now));
  source->asked_at = now;
  source->asked_for = call->operation;
  source->asked_wait = call->wait;
  source->asked_stale = call->stale;
  source->asked_era = relay_group_era(source->group);
}

static gboolean is_empty(const StoreReply *reply) {
  return reply->objects == NULL || reply->objects->len == 0;
}

/*
** What an answer of the store proves: that it had nothing newer when it was
** asked, or, for a watch that waited its whole time in vain, at its end.
*/
static void prove(NewsSource *source, const StoreReply *reply, gint64 now) {
  gint64 at = source->asked_at;
  if (source->follower.kind != STORE_CONFIGURATION || source->asked_stale ||
      source->follower.failures > 0 || !source->follower.watching)
    return;
  if (source->asked_for == STORE_WATCH && is_empty(reply) &&
      now - source->asked_at >= source->asked_wait)
    at += source->asked_wait;
  config_proof_confirm_by_store(relay_group_proof(source->group), at);
}

void news_source_next(NewsSource *source, gint64 now, NewsAction *out) {
  gint64 due = follower_next_call_time(&source->follower);
  memset(out, 0, sizeof *out);
  out->at = G_MAXINT64;
  if (source->follower.taking)
    return;
  follower_check_relist(&source->follower, now);
  if (due == G_MAXINT64) {
    look_behind(source, now, out);
    return;
  }
  source->behind_since = 0;
  /* the pause after a failure of the store is none of the relays' */
  if (due > now &&
      (source->follower.failures == 0 || relay_with_news(source, now) == 0)) {
    out->at = due;
    return;
  }
  source->asked = 0;
  choose(source, now, out);
  if (out->step == NEWS_WAIT)
    return;
  source->at_store = out->step == NEWS_ASK_STORE;
  if (source->at_store)
    follower_observe_era(&source->follower, relay_group_era(source->group));
  follower_begin_call(&source->follower, !source->at_store, &out->call);
  source->progress_at = now;
  out->call.stale =
      out->call.operation == STORE_LIST && source->proof_wait_max == 0 &&
      is_first_list(source, relay_group_role(source->group, now));
  source->follower.open_list_is_stale = out->call.stale;
  note_call(source, &out->call, now);
  out->patience = source->at_store ? store_patience(source, &out->call)
                                   : INSTANCE_PATIENCE;
}

/* the store says that nothing has changed up to a revision before which
** another instance has named a change */
static gboolean misses_change(const NewsSource *source,
                              const StoreReply *reply) {
  const NewsState *news =
      relay_group_news(source->group, source->follower.kind);
  return source->at_store && source->asked_for == STORE_WATCH &&
         reply->status == STORE_OK && is_empty(reply) &&
         news_state_is_behind(news) &&
         !store_position_is_before(reply->at, news->newest);
}

/* a watch that ended in another era says nothing of what stands now */
static gboolean tells_present(const NewsSource *source,
                              const StoreReply *reply) {
  return reply->status == STORE_OK &&
         (source->asked_for != STORE_WATCH ||
          reply->at.era == source->follower.known.era);
}

/* an instance that knows an older era than this one has no news for it, nor
** has one that knows an old list alone for one that knows better */
static gboolean is_of_past(const NewsSource *source, const StoreReply *reply) {
  const Follower *follower = &source->follower;
  if (source->at_store)
    return FALSE;
  return reply->at.era < follower->known.era ||
         (reply->from_stale_list && follower_is_synced(follower) &&
          !follower->from_stale_list);
}

void news_source_reply(NewsSource *source, const StoreReply *reply,
                       gint64 now) {
  static const StoreReply list_again = {.status = STORE_HISTORY_GONE};
  gboolean by_relay = source->asked != 0;
  gboolean is_answer = reply->status != STORE_FAILED;
  relay_group_observe_era(source->group, reply->at.era);
  if (is_of_past(source, reply))
    is_answer = FALSE;
  if (misses_change(source, reply)) {
    source->missed++;
    follower_handle_reply(&source->follower, &list_again, now);
    return;
  }
  if (source->at_store) {
    source->must_ask_store = FALSE;
    if (tells_present(source, reply))
      relay_group_confirm_store(source->group, source->follower.kind, now);
  }
  if (!source->at_store && !by_relay && !is_answer) {
    source->seed_failed = TRUE; /* that is no failure of the store */
    follower_abandon_call(&source->follower, now);
    return;
  }
  if (by_relay && !is_answer) {
    /* that is no outage of the store */
    relay_group_suspend_relay(source->group, source->asked);
    source->must_ask_store = TRUE;
    follower_abandon_call(&source->follower, now);
    return;
  }
  follower_handle_reply(&source->follower, reply, now);
  relay_group_advance_held(source->group, source->follower.kind,
                           source->follower.known, now);
  if (source->at_store && reply->status == STORE_OK)
    prove(source, reply, now);
  if (source->at_store && reply->status == STORE_FAILED &&
      relay_group_is_substitute(source->group, now))
    source->follower.retry_at =
        MAX(source->follower.retry_at, now + STAND_IN_RETRY);
}
