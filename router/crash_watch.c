/*
** crash_watch.c
** Finds out whether an endpoint's process ended when a connection broke off
*/

#include <string.h>

#include "router/crash_watch.h"

/* A proof counts if it comes less than this after the last broken run. The
** list drops an endpoint three heartbeats after its end, 3.6 s with the
** platform's heartbeat, and the endpoint may start again within some seconds.
*/
#define CRASH_PROOF_TIMEOUT (6 * MP_SEC)
/* Where the process has ended, a connection is refused within a round trip,
** some milliseconds. */
#define CHECK_TIMEOUT (300 * MP_MS)
/* A check that fails this late or later timed out and was not refused. */
#define REFUSAL_TIME_MAX (250 * MP_MS)
/* the least time between two checks of one life: a faulty endpoint may break
** runs off all the time, and each check costs a connection */
#define CHECK_INTERVAL_MIN (500 * MP_MS)
/* Of one life, at most this many requests are stored: as many as all instances
** together run at one engine. */
#define SUSPECTS_MAX 256

/* an owned copy of a QuarantineSuspect */
typedef struct Suspect {
  guint64 content;
  gint64 at;
  char *request, *route, *account;
  gint64 began_at;
} Suspect;

/* one life of an endpoint at which runs broke off */
typedef struct WatchedIncarnation {
  char *endpoint;         /* its id */
  guint32 life;           /* Endpoint.hash */
  GArray *suspects;       /* Suspect, each content once */
  gint64 broken_at;       /* when a run last broke off */
  gint64 checked_at;      /* when the last check began; 0: never */
  guint64 check_dispatch; /* the dispatch that checks it; 0: none is open */
  const char *proof;      /* that this life has ended; NULL: not proved */
} WatchedIncarnation;

struct CrashWatch {
  CrashWatchHost host;
  GPtrArray *all; /* WatchedIncarnation */
};

static void suspect_clear(gpointer p) {
  Suspect *suspect = p;
  g_free(suspect->request);
  g_free(suspect->route);
  g_free(suspect->account);
}

static void watched_free(gpointer p) {
  WatchedIncarnation *watched = p;
  g_array_free(watched->suspects, TRUE);
  g_free(watched->endpoint);
  g_free(watched);
}

CrashWatch *crash_watch_new(const CrashWatchHost *host) {
  CrashWatch *watch = g_new0(CrashWatch, 1);
  watch->host = *host;
  watch->all = g_ptr_array_new_with_free_func(watched_free);
  return watch;
}

void crash_watch_free(CrashWatch *watch) {
  g_ptr_array_free(watch->all, TRUE);
  g_free(watch);
}

static WatchedIncarnation *
find_incarnation(const CrashWatch *watch, const char *endpoint, guint32 life) {
  guint i;
  for (i = 0; i < watch->all->len; i++) {
    WatchedIncarnation *watched = watch->all->pdata[i];
    if (watched->life == life && strcmp(watched->endpoint, endpoint) == 0)
      return watched;
  }
  return NULL;
}

static WatchedIncarnation *get_or_add_incarnation(CrashWatch *watch,
                                                  const Endpoint *endpoint) {
  WatchedIncarnation *watched =
      find_incarnation(watch, endpoint->record.id, endpoint->hash);
  if (watched != NULL)
    return watched;
  watched = g_new0(WatchedIncarnation, 1);
  watched->endpoint = g_strdup(endpoint->record.id);
  watched->life = endpoint->hash;
  watched->suspects = g_array_new(FALSE, FALSE, sizeof(Suspect));
  g_array_set_clear_func(watched->suspects, suspect_clear);
  g_ptr_array_add(watch->all, watched);
  return watched;
}

static gboolean has_suspect(const WatchedIncarnation *watched,
                            guint64 content) {
  guint i;
  for (i = 0; i < watched->suspects->len; i++) {
    if (g_array_index(watched->suspects, Suspect, i).content == content)
      return TRUE;
  }
  return FALSE;
}

static void add_suspect(WatchedIncarnation *watched,
                        const QuarantineSuspect *suspect) {
  Suspect copy = {suspect->content,           suspect->at,
                  g_strdup(suspect->request), g_strdup(suspect->route),
                  g_strdup(suspect->account), suspect->began_at};
  g_array_append_val(watched->suspects, copy);
}

/* Reports the suspects from index 'from' on to the host. */
static void report_suspects(const CrashWatch *watch,
                            const WatchedIncarnation *watched, guint from,
                            gint64 now) {
  guint count = watched->suspects->len - from;
  QuarantineSuspect *reported = g_new(QuarantineSuspect, MAX(count, 1));
  guint i;
  for (i = 0; i < count; i++) {
    const Suspect *suspect =
        &g_array_index(watched->suspects, Suspect, from + i);
    reported[i].content = suspect->content;
    reported[i].at = suspect->at;
    reported[i].request = suspect->request;
    reported[i].route = suspect->route;
    reported[i].account = suspect->account;
    reported[i].began_at = suspect->began_at;
  }
  if (count > 0)
    watch->host.ended(watch->host.data, watched->endpoint, watched->life,
                      reported, count, watched->proof, now);
  g_free(reported);
}

/* Starts a check, unless one is open or the last one began too recently. */
static void check_if_due(const CrashWatch *watch, WatchedIncarnation *watched,
                         const Endpoint *endpoint, gint64 now) {
  if (watched->check_dispatch != 0 ||
      (watched->checked_at != 0 &&
       now - watched->checked_at < CHECK_INTERVAL_MIN))
    return;
  watched->checked_at = now;
  watched->check_dispatch =
      watch->host.check(watch->host.data, endpoint, CHECK_TIMEOUT, now);
}

void crash_watch_run_broken(CrashWatch *watch, const Endpoint *endpoint,
                            const QuarantineSuspect *suspect, gint64 now) {
  WatchedIncarnation *watched;
  if (endpoint_is_leaving(endpoint))
    return; /* the endpoint ends by plan, so no request is to blame */
  watched = get_or_add_incarnation(watch, endpoint);
  watched->broken_at = now;
  if (watched->suspects->len >= SUSPECTS_MAX ||
      has_suspect(watched, suspect->content))
    return;
  add_suspect(watched, suspect);
  if (watched->proof != NULL)
    report_suspects(watch, watched, watched->suspects->len - 1, now);
  else
    check_if_due(watch, watched, endpoint, now);
}

/* The life has ended: reports its suspects, unless an earlier proof did. */
static void set_proof(CrashWatch *watch, WatchedIncarnation *watched,
                      const char *how, gint64 now) {
  if (watched->proof != NULL)
    return;
  watched->proof = how;
  report_suspects(watch, watched, 0, now);
}

gboolean crash_watch_outcome(CrashWatch *watch, const Outcome *outcome,
                             gint64 now) {
  guint i;
  for (i = 0; i < watch->all->len; i++) {
    WatchedIncarnation *watched = watch->all->pdata[i];
    if (watched->check_dispatch == 0 ||
        watched->check_dispatch != outcome->dispatch)
      continue;
    watched->check_dispatch = 0;
    if (outcome->kind == OUTCOME_UNREACHABLE &&
        now - watched->checked_at < REFUSAL_TIME_MAX)
      set_proof(watch, watched, "refused", now);
    return TRUE;
  }
  return FALSE;
}

void crash_watch_incarnation_ended(CrashWatch *watch, const char *endpoint,
                                   guint32 life, const char *how, gint64 now) {
  WatchedIncarnation *watched = find_incarnation(watch, endpoint, life);
  if (watched != NULL && now - watched->broken_at < CRASH_PROOF_TIMEOUT)
    set_proof(watch, watched, how, now);
}

void crash_watch_expire(CrashWatch *watch, gint64 now) {
  guint i = 0;
  while (i < watch->all->len) {
    const WatchedIncarnation *watched = watch->all->pdata[i];
    gboolean has_check =
        watched->check_dispatch != 0 &&
        now - watched->checked_at < CRASH_PROOF_TIMEOUT; /* it never ends */
    if (!has_check && now - watched->broken_at >= CRASH_PROOF_TIMEOUT)
      g_ptr_array_remove_index_fast(watch->all, i);
    else
      i++;
  }
}
