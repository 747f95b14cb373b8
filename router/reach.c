/*
** reach.c
** Finds out how each endpoint is reached, and finds carriers where a direct
** path is lost
*/

#include <string.h>

#include "router/carried_paths.h"
#include "router/carriers.h"
#include "router/reach.h"
#include "router/state.h"

/* Connecting takes some milliseconds; a check that takes longer than this has
** failed, directly or through a carrier. */
#define DIRECT_CHECK_TIMEOUT (250 * MP_MS)
#define CARRIED_CHECK_TIMEOUT (250 * MP_MS)
/* While a direct path is lost, it is tried again after RECHECK_WAIT_MIN, which
** doubles with each failure up to RECHECK_WAIT_MAX. */
#define RECHECK_WAIT_MIN (500 * MP_MS)
#define RECHECK_WAIT_MAX (2 * MP_SEC)
/* A path that is lost again this soon after it came back is tried again less
** often: the wait is not reset. */
#define STABLE_TIME (10 * MP_SEC)
/* An endpoint that this many carriers cannot connect to is out of reach. A
** carrier that has lost its own path says so and does not count. */
#define REFUSALS_MAX 3
/* Direct checks that are open at a time: this many, or one for this many
** endpoints if that is more, so that finding out takes about as long with many
** endpoints as with few. */
#define OPEN_CHECKS_MIN 16
#define ENDPOINTS_PER_OPEN_CHECK 8
/* After a path is lost, those of the other endpoints are checked unless a
** direct connection to them was made less than this ago. */
#define SURVEY_AGE (1 * MP_SEC)
/* The least time between two checks of one endpoint that is silent. */
#define SILENCE_CHECK_INTERVAL (1 * MP_SEC)
/* A direct dispatch counts as lost with its path if the endpoint was not heard
** from for this long when the path was found lost. */
#define LOST_SILENCE (300 * MP_MS)

/* What an open check dispatch is about. */
typedef struct Check {
  char *endpoint;          /* id */
  guint32 life;            /* Endpoint.hash */
  mp_Addr via;             /* the carrier; 0: it is direct */
  gboolean is_of_dispatch; /* it checks the path of a carried dispatch, and is
                           ** not EndpointPath.check */
} Check;

struct Reach {
  Router *router;
  Carriers *carriers;
  CarriedPaths *carried;
  GHashTable *checks; /* dispatch number -> Check; both owned */
  guint direct_open;  /* open direct checks */
  gint64 surveyed_at; /* when the other paths were last checked */
  gint64 next_due;    /* the earliest EndpointPath.check_due */
};

static void check_free(gpointer p) {
  Check *check = p;
  g_free(check->endpoint);
  g_free(check);
}

Reach *reach_new(Router *router, guint32 zone) {
  Reach *reach = g_new0(Reach, 1);
  reach->router = router;
  reach->carriers = carriers_new(zone);
  reach->carried = carried_paths_new();
  reach->checks =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, check_free);
  reach->next_due = G_MAXINT64;
  return reach;
}

void reach_free(Reach *reach) {
  carriers_free(reach->carriers);
  carried_paths_free(reach->carried);
  g_hash_table_destroy(reach->checks);
  g_free(reach);
}

void reach_set_carriers(Reach *reach, const GArray *members) {
  carriers_set(reach->carriers, members);
}

mp_Addr reach_choose_carrier(const Reach *reach, const Endpoint *endpoint,
                             gint64 now) {
  const Router *router = reach->router;
  if (endpoint->path.state != PATH_INDIRECT)
    return 0;
  return carriers_choose(reach->carriers, NULL, 0, router->endpoints->peers,
                         router->random, now);
}

/*
** {==================================================================
** Checks
** ===================================================================
*/

static guint open_checks_max(const Reach *reach) {
  return MAX(OPEN_CHECKS_MIN,
             reach->router->endpoints->all->len / ENDPOINTS_PER_OPEN_CHECK);
}

/* Sends a check of the endpoint, and returns its dispatch; 0: it was not
** sent. */
static guint64 open_check(Reach *reach, Endpoint *endpoint, mp_Addr via,
                          gboolean is_of_dispatch, gint64 timeout,
                          gint64 now) {
  Dispatch dispatch = {0};
  guint64 number;
  Check *check;
  dispatch.kind = DISPATCH_CHECK;
  dispatch.via = via;
  dispatch.connect_timeout = timeout;
  number = dispatcher_send(reach->router, &dispatch, endpoint, now);
  if (number == 0)
    return 0;
  check = g_new0(Check, 1);
  check->endpoint = g_strdup(endpoint->record.id);
  check->life = endpoint->hash;
  check->via = via;
  check->is_of_dispatch = is_of_dispatch;
  g_hash_table_insert(reach->checks, g_memdup2(&number, sizeof number), check);
  return number;
}

/* Sends the endpoint's own check; 'via' is 0 for a direct one. */
static gboolean send_check(Reach *reach, Endpoint *endpoint, mp_Addr via,
                           gint64 timeout, gint64 now) {
  EndpointPath *path = &endpoint->path;
  path->check = open_check(reach, endpoint, via, FALSE, timeout, now);
  if (path->check == 0)
    return FALSE;
  if (via == 0) {
    path->checked_at = now;
    path->check_due = 0;
    reach->direct_open++;
  }
  return TRUE;
}

static void schedule_check(Reach *reach, EndpointPath *path, gint64 at) {
  path->check_due = at;
  reach->next_due = MIN(reach->next_due, at);
}

/* Schedules the next direct check of a lost path. */
static void schedule_recheck(Reach *reach, EndpointPath *path, gint64 now) {
  gint64 wait = CLAMP(path->recheck_wait, RECHECK_WAIT_MIN, RECHECK_WAIT_MAX);
  double spread = 0.75 + 0.5 * g_rand_double(reach->router->random);
  path->recheck_wait = 2 * wait;
  schedule_check(reach, path, now + (gint64)(spread * (double)wait));
}

void reach_tick(Reach *reach, gint64 now) {
  const GPtrArray *all = reach->router->endpoints->all;
  gint64 next = G_MAXINT64;
  guint i;
  if (now < reach->next_due)
    return;
  for (i = 0; i < all->len; i++) {
    Endpoint *endpoint = all->pdata[i];
    EndpointPath *path = &endpoint->path;
    if (path->check_due == 0)
      continue;
    if (path->check_due <= now && path->check == 0 &&
        reach->direct_open < open_checks_max(reach))
      send_check(reach, endpoint, 0, DIRECT_CHECK_TIMEOUT, now);
    if (path->check_due > now)
      next = MIN(next, path->check_due);
  }
  reach->next_due = next;
}

/* Sends checks that are overdue, after one has ended. */
static void send_overdue(Reach *reach, gint64 now) {
  reach->next_due = MIN(reach->next_due, now);
  reach_tick(reach, now);
}

gint64 reach_next_tick(const Reach *reach) {
  return reach->next_due;
}

/* Passes the result of a verification on to the crash watch, if it waits. */
static void deliver(Reach *reach, EndpointPath *path, OutcomeKind kind,
                    gint64 now) {
  Outcome outcome = {0};
  outcome.dispatch = path->ticket;
  outcome.kind = kind;
  path->ticket = 0;
  if (outcome.dispatch != 0)
    crash_watch_outcome(reach->router->crashes, &outcome, now);
}

/* }================================================================== */

/*
** {==================================================================
** States
** ===================================================================
*/

static void set_state(EndpointPath *path, PathState state, gint64 now) {
  if (path->state == state)
    return;
  path->state = state;
  path->since = now;
}

/* Has the direct paths of the other endpoints checked. */
static void survey(Reach *reach, gint64 now) {
  const GPtrArray *all = reach->router->endpoints->all;
  guint i;
  if (reach->surveyed_at != 0 && now - reach->surveyed_at < SURVEY_AGE)
    return;
  reach->surveyed_at = now;
  for (i = 0; i < all->len; i++) {
    Endpoint *endpoint = all->pdata[i];
    EndpointPath *path = &endpoint->path;
    if (path->state == PATH_DIRECT && path->check == 0 &&
        now - path->connected_at >= SURVEY_AGE &&
        !endpoint_is_leaving(endpoint))
      schedule_check(reach, path, now);
  }
}

/* Direct dispatches on a path that was found lost count as stalled if their
** endpoint is silent: open connections may live on, or hang. */
static void stall_silent_dispatches(const Reach *reach,
                                    const Endpoint *endpoint, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now - endpoint->path.heard_at < LOST_SILENCE)
    return;
  g_hash_table_iter_init(&iterator, reach->router->requests);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    Request *request = value;
    const OpenDispatch *open = &request->open;
    if (open->number != 0 && open->via == 0 && open->life == endpoint->hash &&
        request->stall_at != 0)
      request->stall_at = now;
  }
}

/* A carrier has connected to the endpoint. Failures that were counted against
** the endpoint while its path was lost say nothing about it. */
static void set_indirect(Reach *reach, Endpoint *endpoint, mp_Addr via,
                         gint64 now) {
  EndpointPath *path = &endpoint->path;
  char carrier[24];
  set_state(path, PATH_INDIRECT, now);
  endpoint->avoid_until = 0;
  endpoint->unreachable_streak = 0;
  endpoint->failures = 0;
  if (now - path->regained_at >= STABLE_TIME)
    path->recheck_wait = RECHECK_WAIT_MIN;
  schedule_recheck(reach, path, now);
  mp_addr_text(via, carrier);
  router_log(reach->router, MP_LOG_PATH_LOST,
             " endpoint=%s via=%s indirect=%u endpoints=%u",
             endpoint->record.id, carrier,
             router_indirect_endpoints(reach->router),
             reach->router->endpoints->all->len);
  stall_silent_dispatches(reach, endpoint, now);
  survey(reach, now);
}

/* Has all lost paths checked, because one is back. */
static void check_lost_paths(Reach *reach, gint64 now) {
  const GPtrArray *all = reach->router->endpoints->all;
  guint i;
  for (i = 0; i < all->len; i++) {
    EndpointPath *path = &((Endpoint *)all->pdata[i])->path;
    if (path->state == PATH_INDIRECT)
      schedule_check(reach, path, now);
  }
}

static void set_direct(Reach *reach, Endpoint *endpoint, gint64 now) {
  EndpointPath *path = &endpoint->path;
  PathState before = path->state;
  gint64 lost = now - path->since;
  set_state(path, PATH_DIRECT, now);
  path->connected_at = now;
  path->check_due = 0;
  if (before == PATH_DIRECT)
    return;
  endpoint->avoid_until = 0;
  endpoint->unreachable_streak = 0;
  if (before == PATH_SEARCHING)
    return;
  router_log(reach->router, MP_LOG_PATH_BACK,
             " endpoint=%s lost_ms=%d indirect=%u", endpoint->record.id,
             (int)(lost / MP_MS), router_indirect_endpoints(reach->router));
  if (before == PATH_INDIRECT) {
    path->regained_at = now;
    check_lost_paths(reach, now);
  }
}

/* No carrier that was asked has connected to the endpoint. */
static void set_none(Reach *reach, Endpoint *endpoint, gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (path->state != PATH_NONE) {
    path->recheck_wait = RECHECK_WAIT_MIN;
    router_log(reach->router, MP_LOG_PATH_NONE, " endpoint=%s asked=%u",
               endpoint->record.id, path->asked_count);
  }
  set_state(path, PATH_NONE, now);
  endpoint_note_unreachable(endpoint, now);
  schedule_recheck(reach, path, now);
  deliver(reach, path, OUTCOME_UNREACHABLE, now);
}

/* }================================================================== */

/*
** {==================================================================
** Searches
** ===================================================================
*/

static void ask_next_carrier(Reach *reach, Endpoint *endpoint, gint64 now) {
  EndpointPath *path = &endpoint->path;
  const Router *router = reach->router;
  mp_Addr via = 0;
  if (path->asked_count < CARRIERS_ASKED_MAX &&
      path->refusals < path->refusals_max)
    via = carriers_choose(reach->carriers, path->asked, path->asked_count,
                          router->endpoints->peers, router->random, now);
  if (via != 0) {
    path->asked[path->asked_count++] = via;
    if (send_check(reach, endpoint, via, CARRIED_CHECK_TIMEOUT, now))
      return;
  }
  set_none(reach, endpoint, now);
}

static void begin_search(Reach *reach, Endpoint *endpoint, gint64 now) {
  EndpointPath *path = &endpoint->path;
  path->asked_count = 0;
  path->refusals = 0;
  path->refusals_max = path->state == PATH_NONE ? 1 : REFUSALS_MAX;
  if (path->state != PATH_NONE)
    set_state(path, PATH_SEARCHING, now);
  ask_next_carrier(reach, endpoint, now);
}

/* A check through a carrier has ended that a search sent. */
static void handle_carried_check(Reach *reach, Endpoint *endpoint, mp_Addr via,
                                 const Outcome *outcome, gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (outcome->kind == OUTCOME_ANSWER) {
    carriers_note_connected(reach->carriers, via, now);
    set_indirect(reach, endpoint, via, now);
    deliver(reach, path, OUTCOME_ANSWER, now);
    return;
  }
  if (outcome->carrier_failed)
    carriers_avoid(reach->carriers, via, now);
  else
    path->refusals++;
  ask_next_carrier(reach, endpoint, now);
}

/* A direct check has ended. */
static void handle_direct_check(Reach *reach, Endpoint *endpoint,
                                const Outcome *outcome, gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (outcome->kind == OUTCOME_ANSWER) {
    set_direct(reach, endpoint, now);
    deliver(reach, path, OUTCOME_ANSWER, now);
  } else if (carriers_count(reach->carriers) == 0) {
    if (path->state != PATH_DIRECT)
      schedule_recheck(reach, path, now);
    deliver(reach, path, OUTCOME_UNREACHABLE, now);
  } else if (path->state == PATH_INDIRECT && path->ticket == 0)
    schedule_recheck(reach, path, now);
  else
    begin_search(reach, endpoint, now);
}

/* Handles the outcome of the endpoint's open check, which went through 'via'
** (0: directly). */
static void handle_check(Reach *reach, Endpoint *endpoint, mp_Addr via,
                         const Outcome *outcome, gint64 now) {
  endpoint->path.check = 0;
  if (via == 0)
    handle_direct_check(reach, endpoint, outcome, now);
  else
    handle_carried_check(reach, endpoint, via, outcome, now);
}

/* The check of a carried dispatch's path has ended. It changes nothing about
** how the endpoint is reached: the dispatches through this carrier alone
** depend on it. */
static void handle_carried_path(Reach *reach, const Check *check,
                                const Outcome *outcome, gint64 now) {
  gboolean has_connected = outcome->kind == OUTCOME_ANSWER;
  if (has_connected)
    carriers_note_connected(reach->carriers, check->via, now);
  else if (outcome->carrier_failed)
    carriers_avoid(reach->carriers, check->via, now);
  carried_paths_end_check(reach->carried, check->life, check->via,
                          has_connected, now);
}

gboolean reach_handle_outcome(Reach *reach, const Outcome *outcome,
                              gint64 now) {
  const Check *check = g_hash_table_lookup(reach->checks, &outcome->dispatch);
  Endpoint *endpoint;
  mp_Addr via;
  if (check == NULL)
    return FALSE;
  if (check->is_of_dispatch) {
    handle_carried_path(reach, check, outcome, now);
    g_hash_table_remove(reach->checks, &outcome->dispatch);
    return TRUE;
  }
  endpoint = endpoint_table_get_incarnation(reach->router->endpoints,
                                            check->endpoint, check->life);
  via = check->via;
  g_hash_table_remove(reach->checks, &outcome->dispatch);
  if (via == 0)
    reach->direct_open--;
  if (endpoint != NULL && endpoint->path.check == outcome->dispatch)
    handle_check(reach, endpoint, via, outcome, now);
  send_overdue(reach, now);
  return TRUE;
}

/* }================================================================== */

/*
** {==================================================================
** What dispatches show
** ===================================================================
*/

/* A dispatch reached no endpoint; returns as reach_note_outcome. */
static gboolean note_unreachable(Reach *reach, Endpoint *endpoint, mp_Addr via,
                                 gboolean carrier_failed, gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (carriers_count(reach->carriers) == 0)
    return FALSE;
  if (via != 0 && carrier_failed)
    carriers_avoid(reach->carriers, via, now);
  else if ((via == 0 && path->state == PATH_DIRECT && path->check == 0) ||
           (via != 0 && path->state == PATH_INDIRECT && path->check == 0))
    begin_search(reach, endpoint, now);
  return TRUE;
}

gboolean reach_note_outcome(Reach *reach, Endpoint *endpoint, mp_Addr via,
                            const Outcome *outcome, gint64 now) {
  if (endpoint == NULL)
    return FALSE;
  if (outcome->kind == OUTCOME_UNREACHABLE)
    return note_unreachable(reach, endpoint, via, outcome->carrier_failed,
                            now);
  if (via != 0 && !outcome->was_kept)
    carriers_note_connected(reach->carriers, via, now);
  if (outcome->kind == OUTCOME_BROKEN || via != 0)
    return FALSE;
  endpoint->path.heard_at = now;
  if (!outcome->was_kept)
    endpoint->path.connected_at = now;
  return FALSE;
}

void reach_note_silence(Reach *reach, Endpoint *endpoint, gint64 since,
                        gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (carriers_count(reach->carriers) == 0 || path->state != PATH_DIRECT ||
      path->check != 0 || path->heard_at >= since ||
      (path->checked_at != 0 &&
       now - path->checked_at < SILENCE_CHECK_INTERVAL))
    return;
  send_check(reach, endpoint, 0, DIRECT_CHECK_TIMEOUT, now);
}

/* Checks the path of dispatches to the endpoint through this carrier. */
static void check_carried_path(Reach *reach, Endpoint *endpoint, mp_Addr via,
                               gint64 now) {
  if (carried_paths_checking_since(reach->carried, endpoint->hash, via) ==
          G_MININT64 &&
      open_check(reach, endpoint, via, TRUE, CARRIED_CHECK_TIMEOUT, now) != 0)
    carried_paths_begin_check(reach->carried, endpoint->hash, via, now);
}

void reach_check_path(Reach *reach, Endpoint *endpoint, mp_Addr via,
                      gint64 now) {
  const EndpointPath *path = &endpoint->path;
  if (via != 0)
    check_carried_path(reach, endpoint, via, now);
  else if (path->check == 0 && path->state == PATH_DIRECT)
    send_check(reach, endpoint, 0, DIRECT_CHECK_TIMEOUT, now);
}

gboolean reach_is_checking(const Reach *reach, const Endpoint *endpoint,
                           mp_Addr via, gint64 since) {
  const EndpointPath *path = &endpoint->path;
  if (via != 0)
    return carried_paths_checking_since(reach->carried, endpoint->hash, via) >
           since;
  return path->check != 0 && path->checked_at > since;
}

gboolean reach_has_connected(const Reach *reach, const Endpoint *endpoint,
                             mp_Addr via, gint64 since) {
  const EndpointPath *path = &endpoint->path;
  if (via == 0)
    return path->state == PATH_DIRECT && path->connected_at >= since;
  return carried_paths_connected_at(reach->carried, endpoint->hash, via) >=
         since;
}

guint64 reach_verify(Reach *reach, Endpoint *endpoint, gint64 timeout,
                     gint64 now) {
  EndpointPath *path = &endpoint->path;
  if (path->check != 0) { /* the open check tells */
    path->ticket = ++reach->router->last_dispatch;
    return path->ticket;
  }
  if (!send_check(reach, endpoint, 0, timeout, now))
    return 0;
  path->ticket = path->check;
  return path->ticket;
}

/* }================================================================== */
