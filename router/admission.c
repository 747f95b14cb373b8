/*
** admission.c
** Requests for engines wait here until a decode engine has room
**
** Memory at the decode engines is the scarce thing: a request that is
** sent there without room is turned away after its prompt was read, or
** pushes another one out. So a request starts only once some engine has
** room for all of it, counted over all instances. One that would wait past
** its objective is refused at once, with when to come back, which serves it
** better than a late answer.
**
** Invariant: what is late already takes room that nobody needs who can still
** be answered in time. Else an overload outlives its cause: late requests fill
** the engines, fresh ones wait behind them or are refused, and come back late.
** (Virtual time, a burst of twice the load for 6 s: of the callers who came 5
** to 15 s after it, 0.30 to 0.99 were answered in time when those who came
** back went first, 0.96 to 1.00 now; test_overload.cc.) Time counts from the
** caller's first try. Those whose prompt is read go first of all.
**
** When room appears, all instances hear of it at about the same time. Each
** request that waits takes its turn by its place among all that wait: as
** many as there is room for start at once, the next ones one turn later,
** if there is room left by then. A turn is about as long as it takes to
** hear what the others have started.
*/

#include <string.h>

#include "router/state.h"

/* a fresh request waits about so many objectives for room: reading its prompt
** takes another 0.2 to 0.3 of them (1.0 and 0.7 measured worse, ROUNDS.md) */
#define WAIT_FRESH_OBJECTIVES 0.55
/* an early refusal leaves before this share of the objective */
#define EARLY_SHARE 0.22
/* callers give a stream without a first piece up after the longest of these;
** nobody waits longer than a share of that */
#define GIVE_UP_LEAST (2 * MP_SEC)
#define GIVE_UP_OBJECTIVES 4
#define GIVE_UP_GAPS 8
#define WAIT_MOST_SHARE 0.78
/* refused callers come back after this share of their time, and a random
** part of SPREAD; they heed what is asked up to a third of it */
#define COME_BACK_SHARE 0.13
#define COME_BACK_SPREAD 0.14
/* a caller with less than this share of what others have has come back */
#define FRESH_SHARE 0.97
/* one whose caller has waited less than this share of its objective is in
** time: reading its prompt takes another 0.2 to 0.3 of it */
#define IN_TIME_SHARE 0.7
/* a turn: at least this, and so much for each instance whose digests are
** heard: what the others start is known after about that time */
#define TURN_LEAST (3 * MP_MS)
#define TURN_PER_INSTANCE 1000LL
/* one whose prompt is read goes before those that came this much earlier */
#define READ_AHEAD (1 * MP_SEC)
/* weight of the newest end among the intervals between ends */
#define INTERVAL_STEP 0.15

static void note_first_try(Router *router, Request *request) {
  const Route *route = request->route;
  const char *name = route->name != NULL ? route->name : route->prefix;
  gint64 patience = request->caller_deadline - request->arrived;
  gint64 usual = patience_table_observe(router->patience_table, name, patience,
                                        request->arrived);
  usual = MIN(usual, route->timeout); /* who allows more is fresh as well */
  request->returned = (double)patience < FRESH_SHARE * (double)usual;
  request->first_attempt_at = request->arrived;
  if (request->returned)
    request->first_attempt_at -= usual - patience;
}

/* longest expected wait of one that has not been refused before */
static gint64 wait_fresh(const Request *request) {
  return (gint64)(WAIT_FRESH_OBJECTIVES * (double)request->route->objective);
}

static gint64 wait_most(const Request *request) {
  gint64 gives_up =
      MAX(GIVE_UP_LEAST, GIVE_UP_OBJECTIVES * request->route->objective);
  gives_up = MAX(gives_up, GIVE_UP_GAPS * request->route->gap);
  return (gint64)(WAIT_MOST_SHARE * (double)gives_up);
}

/*
** How long until the one at this place among those that are in time here may
** start: room that appears anywhere is for all, and ends at other instances
** are as frequent as here.
*/
static gint64 expected_wait(const Router *router, guint place) {
  guint ahead = place + peer_loads_waiting_in_time(router->endpoints->peers);
  return (gint64)((ahead + 1) * router->mean_end_interval / router->near);
}

void admission_note_run_end(Router *router, gint64 now) {
  double interval = (double)(now - router->last_run_end);
  if (router->last_run_end != 0)
    router->mean_end_interval += INTERVAL_STEP * (MIN(interval, 1.0 * MP_SEC) -
                                                  router->mean_end_interval);
  router->last_run_end = now;
}

static Endpoint *engine_with_room(Router *router, const Request *request,
                                  gint64 now) {
  EndpointQuery wish = path_query(router, request, STAGE_DECODE, now);
  wish.must_fit = TRUE;
  return endpoint_table_choose(router->endpoints, &wish, now);
}

static gint64 come_back(Router *router, const Request *request) {
  double share =
      COME_BACK_SHARE + g_rand_double(router->random) * COME_BACK_SPREAD;
  return (gint64)(share *
                  (double)(request->caller_deadline - request->arrived));
}

static void refuse(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  request->was_rejected = TRUE;
  request->come_back = come_back(router, request);
  finish_refuse(router, request, REFUSAL_BUSY);
}

/* engines rest for longer than it could wait: it is told when the first of
** them takes requests again */
static void refuse_for_rest(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  shortage_record(router, request, now);
  finish_refuse(router, request, REFUSAL_REST);
}

/* can its first token still come within the objective? */
static gboolean is_in_time(const Request *request, gint64 now) {
  return request->handle != NULL ||
         (double)(now - request->first_attempt_at) <
             IN_TIME_SHARE * (double)request->route->objective;
}

/* behind all whose prompt is read when its own is, else at the end */
static void enqueue(Router *router, Request *request) {
  guint at = router->waiting->len;
  if (request->handle != NULL) {
    for (at = 0; at < router->waiting->len; at++) {
      const Request *other = router->waiting->pdata[at];
      if (other->handle == NULL)
        break;
    }
  }
  g_ptr_array_insert(router->waiting, (gint)at, request);
}

/* when the next look at a waiting request is due */
static gint64 next_look(const Request *request, gint64 now) {
  gint64 early = request->arrived +
                 (gint64)(EARLY_SHARE * (double)request->route->objective);
  gint64 last = request->arrived + wait_most(request);
  return !request->returned && now < early ? early : last;
}

/* when it came, for the order among those that are in time */
static gint64 seniority(const Request *request) {
  if (request->handle != NULL)
    return request->arrived - READ_AHEAD;
  return request->first_attempt_at;
}

gint64 admission_oldest_wait(const Router *router, gint64 now) {
  gint64 first = now;
  guint i;
  for (i = 0; i < router->waiting->len; i++) {
    const Request *request = router->waiting->pdata[i];
    if (is_in_time(request, now))
      first = MIN(first, seniority(request));
  }
  return now - first;
}

/* how many in time stand before this one here; NULL: in all */
static guint in_time_before(const Router *router, const Request *request,
                            gint64 now) {
  guint count = 0;
  guint i;
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    if (other == request)
      break;
    count += is_in_time(other, now);
  }
  return count;
}

guint admission_count_in_time(const Router *router, gint64 now) {
  return in_time_before(router, NULL, now);
}

/* does the other one go before this one, which is in time or is not? */
static gboolean goes_before(const Request *other, const Request *request,
                            gboolean in_time, gint64 now) {
  if (is_in_time(other, now) != in_time)
    return !in_time;
  return in_time ? seniority(other) < seniority(request)
                 : other->arrived < request->arrived;
}

/* how many wait, here and at the others, that go before this one; of the late
** ones elsewhere it is not known since when they wait */
static guint ahead_of(const Router *router, const Request *request,
                      gint64 now) {
  const PeerLoads *peers = router->endpoints->peers;
  gboolean in_time = is_in_time(request, now);
  guint count =
      in_time ? peer_loads_count_waiting_longer(peers, seniority(request))
              : peer_loads_count_with_waiting(peers);
  guint i;
  for (i = 0; i < router->waiting->len; i++)
    count += goes_before(router->waiting->pdata[i], request, in_time, now);
  return count;
}

/* how long a request waits for its turn, now that there is some room */
static gint64 turn_wait(Router *router, const Request *request, gint64 now) {
  EndpointQuery wish = path_query(router, request, STAGE_DECODE, now);
  guint rooms = endpoint_table_count_fitting(router->endpoints, &wish, now);
  gint64 turn = TURN_LEAST + TURN_PER_INSTANCE * router->near;
  return ahead_of(router, request, now) / MAX(rooms, 1) * turn;
}

/* once each: who waits again with its prompt read has started before */
static void count_start(Router *router, const Request *request, gint64 now) {
  if (request->handle != NULL)
    return;
  router_count(router, STARTED);
  if (!is_in_time(request, now))
    router_count(router, STARTED_LATE);
}

static void start(Router *router, Request *request, Endpoint *engine,
                  gint64 now) {
  admission_leave(router, request);
  count_start(router, request, now);
  request->stall_at = 0;
  request->start_at = 0;
  path_start_on_engine(router, request, engine, now);
}

/* room that somebody in time waits for, perhaps a larger one than there is, is
** not for who is late */
static gboolean must_yield(const Router *router, const Request *request,
                           gint64 now) {
  return !is_in_time(request, now) && admission_count_in_time(router, now) > 0;
}

void admission_take_turn(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  request->start_at = 0;
  if (engine != NULL && !must_yield(router, request, now))
    start(router, request, engine, now);
}

/* start it now or at its turn; FALSE when there is no room; may end */
static gboolean try_start(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  gint64 wait;
  if (engine == NULL) {
    request->start_at = 0;
    return FALSE;
  }
  wait = turn_wait(router, request, now);
  if (wait == 0)
    start(router, request, engine, now);
  else if (request->start_at == 0)
    request->start_at = now + wait;
  return TRUE;
}

/* the longest that it would wait for room, from now on */
static gint64 wait_left_max(const Request *request, gint64 now) {
  gint64 limit = request->returned ? wait_most(request) : wait_fresh(request);
  return MIN(request->arrived + limit, request->expires) - now;
}

void admission_enter(Router *router, Request *request, gint64 now) {
  guint place;
  note_first_try(router, request);
  if (shortage_outlasts(router, request, wait_left_max(request, now), now)) {
    refuse_for_rest(router, request, now);
    return;
  }
  if (!request->returned &&
      expected_wait(router, admission_count_in_time(router, now)) >
          wait_fresh(request) &&
      engine_with_room(router, request, now) == NULL) {
    refuse(router, request, now);
    return;
  }
  request->phase = PHASE_WAIT;
  enqueue(router, request);
  request->stall_at = next_look(request, now);
  router->load_version++;
  if (!must_yield(router, request, now) && try_start(router, request, now))
    return;
  shortage_schedule_recheck(router, now);
  place = in_time_before(router, request, now);
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u expected_ms=%d came_back=%d", request->id,
             place, (int)(expected_wait(router, place) / MP_MS),
             request->returned);
}

void admission_requeue(Router *router, Request *request, gint64 now) {
  request->phase = PHASE_WAIT;
  enqueue(router, request);
  request->stall_at = request->handle_until;
  router->load_version++;
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u handle=%s left_ms=%d", request->id,
             router->waiting->len, request->handle,
             (int)((request->handle_until - now) / MP_MS));
}

void admission_leave(Router *router, Request *request) {
  if (request->phase == PHASE_WAIT &&
      g_ptr_array_remove(router->waiting, request))
    router->load_version++;
}

void admission_review(Router *router, Request *request, gint64 now) {
  gint64 waited = now - request->arrived;
  guint place = in_time_before(router, request, now);
  if (request->handle != NULL && now >= request->handle_until)
    prefill_drop_handle(router, request, now); /* it is read anew */
  if (shortage_outlasts(router, request, wait_left_max(request, now), now)) {
    refuse_for_rest(router, request, now);
    return;
  }
  if (waited >= wait_most(request) ||
      (!request->returned &&
       waited + expected_wait(router, place) > wait_fresh(request))) {
    refuse(router, request, now);
    return;
  }
  request->stall_at = request->arrived + wait_most(request);
}

/* start what fits among those in time, or among the others */
static guint start_some(Router *router, gboolean in_time, gint64 now) {
  guint left = 0;
  guint i = 0;
  while (i < router->waiting->len) {
    Request *request = router->waiting->pdata[i];
    if (is_in_time(request, now) == in_time)
      left += !try_start(router, request, now);
    if (i < router->waiting->len && router->waiting->pdata[i] == request)
      i++;
  }
  return left;
}

/* who is late anyway starts only when nobody in time waits for the room */
void admission_start_waiting(Router *router, gint64 now) {
  if (router->waiting->len > 0 && start_some(router, TRUE, now) == 0)
    start_some(router, FALSE, now);
  shortage_schedule_recheck(router, now);
}
