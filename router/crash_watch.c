/*
** crash_watch.c
** Did an endpoint end, or was a connection lost?
*/

#include <string.h>

#include "router/crash_watch.h"

/* the list drops an endpoint that ended after three heartbeats, 3.6 s with the
** platform's; and it may start again within some seconds */
#define CRASH_PROOF (6 * MP_SEC)
/* a process that ended refuses within a round trip, some milliseconds */
#define CHECK_PATIENCE (300 * MP_MS)
/* an outcome later than this is silence, not a refusal */
#define REFUSAL_TIME_MAX (250 * MP_MS)
/* between two checks of an endpoint: with faulty ones that break off runs all
** the time a check costs a connection each */
#define CHECK_PAUSE (500 * MP_MS)
/* requests noted for one life: what an engine runs at once, by all instances
 */
#define SUSPECTS_MOST 256

typedef struct Suspect {
  guint64 content;
  char *request, *route, *account;
} Suspect;

/* runs that one life of an endpoint broke off */
typedef struct Watched {
  char *endpoint;
  guint32 life;
  GArray *suspects;
  gint64 since;      /* the last one of them */
  gint64 checked_at; /* 0: never */
  guint64 check;     /* the dispatch that checks it; 0: none is out */
  const char *proof; /* it has ended; NULL: that is not known */
} Watched;

struct CrashWatch {
  CrashWatchHost host;
  GPtrArray *all; /* Watched */
};

static void suspect_clear(gpointer p) {
  Suspect *suspect = p;
  g_free(suspect->request);
  g_free(suspect->route);
  g_free(suspect->account);
}

static void watched_free(gpointer p) {
  Watched *watched = p;
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

static Watched *find(const CrashWatch *watch, const char *endpoint,
                     guint32 life) {
  guint i;
  for (i = 0; i < watch->all->len; i++) {
    Watched *watched = watch->all->pdata[i];
    if (watched->life == life && strcmp(watched->endpoint, endpoint) == 0)
      return watched;
  }
  return NULL;
}

static Watched *need(CrashWatch *watch, const Endpoint *endpoint) {
  Watched *watched = find(watch, endpoint->record.id, endpoint->hash);
  if (watched != NULL)
    return watched;
  watched = g_new0(Watched, 1);
  watched->endpoint = g_strdup(endpoint->record.id);
  watched->life = endpoint->hash;
  watched->suspects = g_array_new(FALSE, FALSE, sizeof(Suspect));
  g_array_set_clear_func(watched->suspects, suspect_clear);
  g_ptr_array_add(watch->all, watched);
  return watched;
}

static gboolean is_noted(const Watched *watched, guint64 content) {
  guint i;
  for (i = 0; i < watched->suspects->len; i++) {
    if (g_array_index(watched->suspects, Suspect, i).content == content)
      return TRUE;
  }
  return FALSE;
}

static void note(Watched *watched, const QuarantineSuspect *suspect) {
  Suspect copy = {suspect->content, g_strdup(suspect->request),
                  g_strdup(suspect->route), g_strdup(suspect->account)};
  g_array_append_val(watched->suspects, copy);
}

/* tell of the suspects behind the first 'from' */
static void tell(const CrashWatch *watch, const Watched *watched, guint from,
                 gint64 now) {
  guint count = watched->suspects->len - from;
  QuarantineSuspect *told = g_new(QuarantineSuspect, MAX(count, 1));
  guint i;
  for (i = 0; i < count; i++) {
    const Suspect *one = &g_array_index(watched->suspects, Suspect, from + i);
    told[i].content = one->content;
    told[i].request = one->request;
    told[i].route = one->route;
    told[i].account = one->account;
  }
  if (count > 0)
    watch->host.ended(watch->host.data, watched->endpoint, watched->life, told,
                      count, watched->proof, now);
  g_free(told);
}

static void check(const CrashWatch *watch, Watched *watched,
                  const Endpoint *endpoint, gint64 now) {
  if (watched->check != 0 ||
      (watched->checked_at != 0 && now - watched->checked_at < CHECK_PAUSE))
    return;
  watched->checked_at = now;
  watched->check =
      watch->host.check(watch->host.data, endpoint, CHECK_PATIENCE, now);
}

void crash_watch_run_broken(CrashWatch *watch, const Endpoint *endpoint,
                            const QuarantineSuspect *suspect, gint64 now) {
  Watched *watched;
  if (endpoint_is_leaving(endpoint))
    return; /* its planned end is nobody's doing */
  watched = need(watch, endpoint);
  watched->since = now;
  if (watched->suspects->len >= SUSPECTS_MOST ||
      is_noted(watched, suspect->content))
    return;
  note(watched, suspect);
  if (watched->proof != NULL)
    tell(watch, watched, watched->suspects->len - 1, now);
  else
    check(watch, watched, endpoint, now);
}

static void prove(CrashWatch *watch, Watched *watched, const char *how,
                  gint64 now) {
  if (watched->proof != NULL)
    return;
  watched->proof = how;
  tell(watch, watched, 0, now);
}

gboolean crash_watch_outcome(CrashWatch *watch, const Outcome *outcome,
                             gint64 now) {
  guint i;
  for (i = 0; i < watch->all->len; i++) {
    Watched *watched = watch->all->pdata[i];
    if (watched->check == 0 || watched->check != outcome->dispatch)
      continue;
    watched->check = 0;
    if (outcome->kind == OUTCOME_UNREACHABLE &&
        now - watched->checked_at < REFUSAL_TIME_MAX)
      prove(watch, watched, "refused", now);
    return TRUE;
  }
  return FALSE;
}

void crash_watch_life_ended(CrashWatch *watch, const char *endpoint,
                            guint32 life, const char *how, gint64 now) {
  Watched *watched = find(watch, endpoint, life);
  if (watched != NULL && now - watched->since < CRASH_PROOF)
    prove(watch, watched, how, now);
}

void crash_watch_expire(CrashWatch *watch, gint64 now) {
  guint i = 0;
  while (i < watch->all->len) {
    const Watched *watched = watch->all->pdata[i];
    if (watched->check == 0 && now - watched->since >= CRASH_PROOF)
      g_ptr_array_remove_index_fast(watch->all, i);
    else
      i++;
  }
}
