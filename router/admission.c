/*
** admission.c
** The queue of requests for engines that wait until a decode engine has room
**
** Memory at the decode engines is the scarce resource: a request that is sent
** to one without room is rejected after its prompt was read, or evicts another
** one. So a request starts only when some engine has room for all of it,
** counted over all instances. A request that would wait past its objective
** (Route.objective, the time within which an answer has its full value) is
** refused at once and told when to retry, which is better for its caller than
** a late answer.
**
** Invariant: a late request takes only room that no request needs which can
** still be answered in time. Otherwise an overload outlives its cause: late
** requests fill the engines, fresh ones wait behind them or are refused, and
** come back late. In a simulated burst of twice the load for 6 s, 0.30 to 0.99
** of the callers that came 5 to 15 s after it were answered in time when
** retries went first; with this rule 0.96 to 1.00 are. The time of a request
** counts from its caller's first try. Requests whose prompt is prefilled go
** before all others.
**
** When room appears, all instances learn of it at about the same time. So each
** waiting request computes its rank among all that wait at any instance: as
** many as there is room for start at once, the next ones one turn later if
** there is room left by then, and so on. A turn is about as long as it takes
** to learn what the other instances have started.
*/

#include <string.h>

#include "router/continuation.h"
#include "router/state.h"

/* A first try waits for room for at most this many objectives, because reading
** its prompt takes another 0.2 to 0.3 of them. 0.7 and 1.0 gave worse
** results. */
#define FIRST_TRY_WAIT_OBJECTIVES 0.55
/* A waiting first try is reviewed once after this share of the objective, so
** that a refusal comes early. */
#define EARLY_REVIEW_SHARE 0.22
/* Callers give a stream without a first piece up after the longest of these
** three; no request waits longer than WAIT_MAX_SHARE of that. */
#define GIVE_UP_MIN (2 * MP_SEC)
#define GIVE_UP_OBJECTIVES 4
#define GIVE_UP_GAPS 8
#define WAIT_MAX_SHARE 0.78
/* Refused callers are told to retry after RETRY_AFTER_SHARE of their time plus
** a random part of RETRY_SPREAD_SHARE; they follow that up to a third of their
** time. */
#define RETRY_AFTER_SHARE 0.13
#define RETRY_SPREAD_SHARE 0.14
/* A caller with less time than this share of what other callers of the route
** have is taken for a retry (router/patience.h). */
#define FIRST_TRY_SHARE 0.97
/* A request is in time while its caller has waited for less than this share of
** the objective, because reading its prompt takes another 0.2 to 0.3 of it. */
#define IN_TIME_SHARE 0.7
/* A turn lasts TURN_MIN plus TURN_PER_INSTANCE (us) for each near instance:
** what the others start is known after about that time. */
#define TURN_MIN (3 * MP_MS)
#define TURN_PER_INSTANCE 1000LL
/* A request whose prompt is prefilled counts as having come this much
** earlier. */
#define PREFILLED_ADVANCE (1 * MP_SEC)
/* weight of the newest interval in the moving mean of the time between ends of
** streams */
#define INTERVAL_STEP 0.15

/* Estimates when the caller first tried: if it has clearly less time than
** other callers of the route, by the difference earlier. */
static void estimate_first_attempt(Router *router, Request *request) {
  const Route *route = request->route;
  const char *name = route->name != NULL ? route->name : route->prefix;
  gint64 patience = request->caller_deadline - request->arrived;
  gint64 longest = patience_table_observe(router->patience_table, name,
                                          patience, request->arrived);
  /* a caller with all the time that the route allows is no retry, even if
  ** others have more */
  longest = MIN(longest, route->timeout);
  request->is_caller_retry =
      (double)patience < FIRST_TRY_SHARE * (double)longest;
  request->first_attempt_at = request->arrived;
  if (request->is_caller_retry)
    request->first_attempt_at -= longest - patience;
}

/* Returns the longest wait for room that a first try is let expect, us. */
static gint64 first_try_wait_max(const Request *request) {
  return (gint64)(FIRST_TRY_WAIT_OBJECTIVES *
                  (double)request->route->objective);
}

/* Returns the longest time that any request waits for room, us. */
static gint64 wait_max(const Request *request) {
  gint64 gives_up =
      MAX(GIVE_UP_MIN, GIVE_UP_OBJECTIVES * request->route->objective);
  gives_up = MAX(gives_up, GIVE_UP_GAPS * request->route->gap);
  return (gint64)(WAIT_MAX_SHARE * (double)gives_up);
}

/*
** Returns how long the request at this place (from 0) among those in time here
** is expected to wait, us. Room that appears at any engine serves all
** instances, and streams are taken to end as often at the near instances as
** here.
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

/* Returns a decode engine with room for the request, or NULL. */
static Endpoint *engine_with_room(Router *router, const Request *request,
                                  gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_DECODE, now);
  query.must_fit = TRUE;
  query.load_limit = prefill_decode_limit(router, request, now);
  return endpoint_table_choose(router->endpoints, &query, now);
}

/* Returns after how long the refused caller should retry, us. */
static gint64 draw_retry_after(Router *router, const Request *request) {
  double share =
      RETRY_AFTER_SHARE + g_rand_double(router->random) * RETRY_SPREAD_SHARE;
  return (gint64)(share *
                  (double)(request->caller_deadline - request->arrived));
}

/* Refuses the request for lack of room. */
static void refuse_busy(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  request->was_rejected = TRUE;
  request->come_back = draw_retry_after(router, request);
  finish_refuse(router, request, REFUSAL_BUSY);
}

/* Refuses the request because the engines rest for longer than it could wait;
** its caller is told when the first of them accepts requests again. */
static void refuse_for_rest(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  shortage_record(router, request, now);
  finish_refuse(router, request, REFUSAL_REST);
}

/* Returns TRUE if the first token can still come within the objective. */
static gboolean is_in_time(const Request *request, gint64 now) {
  return request->handle != NULL ||
         (double)(now - request->first_attempt_at) <
             IN_TIME_SHARE * (double)request->route->objective;
}

/* Adds the request to the queue: after all those whose prompt is prefilled if
** its own is, else at the end. */
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

/* Returns when a waiting request is to be reviewed next. */
static gint64 next_review(const Request *request, gint64 now) {
  gint64 early =
      request->arrived +
      (gint64)(EARLY_REVIEW_SHARE * (double)request->route->objective);
  gint64 last = request->arrived + wait_max(request);
  return !request->is_caller_retry && now < early ? early : last;
}

/* Returns the time by which requests in time are ordered; the earliest starts
** first. */
static gint64 seniority(const Request *request) {
  if (request->handle != NULL)
    return request->arrived - PREFILLED_ADVANCE;
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

/* Returns how many requests in time are before this one in the queue here;
** with NULL, how many there are. */
static guint count_in_time_before(const Router *router, const Request *request,
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
  return count_in_time_before(router, NULL, now);
}

/* Returns TRUE if the other request starts before this one; 'in_time' is
** is_in_time of this one. */
static gboolean goes_before(const Request *other, const Request *request,
                            gboolean in_time, gint64 now) {
  if (is_in_time(other, now) != in_time)
    return !in_time;
  return in_time ? seniority(other) < seniority(request)
                 : other->arrived < request->arrived;
}

/* Returns how many waiting requests, here and at other instances, start before
** this one. Requests that go on with a stream, and the others, count their own
** kind alone, since they do not need the same room. At other instances only
** one request each is counted, since the digests tell no more: the most senior
** one in time if it is more senior, or for a late request any. */
static guint count_ahead(const Router *router, const Request *request,
                         gint64 now) {
  const PeerLoads *peers = router->endpoints->peers;
  gboolean in_time = is_in_time(request, now);
  guint count = 0;
  guint i;
  if (request->software == 0)
    count = in_time
                ? peer_loads_count_waiting_longer(peers, seniority(request))
                : peer_loads_count_with_waiting(peers);
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    count += other->software == request->software &&
             goes_before(other, request, in_time, now);
  }
  return count;
}

/* Returns how long the request waits for its turn, us, if there is room
** now. */
static gint64 time_to_turn(Router *router, const Request *request,
                           gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_DECODE, now);
  guint fitting = endpoint_table_count_fitting(router->endpoints, &query, now);
  gint64 turn = TURN_MIN + TURN_PER_INSTANCE * router->near;
  fitting = MIN(fitting, prefill_count_places(router, request, now));
  return count_ahead(router, request, now) / MAX(fitting, 1) * turn;
}

/* Counts a start. A request that waits again with its prompt prefilled was
** counted before. */
static void count_start(Router *router, const Request *request, gint64 now) {
  if (request->handle != NULL)
    return;
  router_count(router, STARTED);
  if (!is_in_time(request, now))
    router_count(router, STARTED_LATE);
}

/* Starts the request with room at this engine; may end. */
static void start_request(Router *router, Request *request, Endpoint *engine,
                          gint64 now) {
  admission_leave(router, request);
  count_start(router, request, now);
  request->stall_at = 0;
  request->start_at = 0;
  path_start_on_engine(router, request, engine, now);
}

/* Returns TRUE if a waiting request in time may need room that this one would
** take: one that goes on with a stream needs room at one version only, and
** keeps others from none elsewhere. */
static gboolean needs_room_of(const Request *other, const Request *request) {
  return other->software == 0 || other->software == request->software;
}

/* Returns TRUE if the request is late and must leave the room to requests in
** time that wait here, even if these need more room than there is. */
static gboolean must_yield(const Router *router, const Request *request,
                           gint64 now) {
  guint i;
  if (is_in_time(request, now))
    return FALSE;
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    if (is_in_time(other, now) && needs_room_of(other, request))
      return TRUE;
  }
  return FALSE;
}

void admission_take_turn(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  request->start_at = 0;
  if (engine != NULL && !must_yield(router, request, now))
    start_request(router, request, engine, now);
}

/* Starts the request if its turn has come, else sets the time of its turn.
** Returns FALSE if there is no room; may end. */
static gboolean try_start(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  gint64 wait;
  if (engine == NULL) {
    request->start_at = 0;
    return FALSE;
  }
  wait = time_to_turn(router, request, now);
  if (wait == 0)
    start_request(router, request, engine, now);
  else if (request->start_at == 0)
    request->start_at = now + wait;
  return TRUE;
}

/* Returns how much longer the request would wait for room at most, us. */
static gint64 wait_left_max(const Request *request, gint64 now) {
  gint64 limit = request->is_caller_retry ? wait_max(request)
                                          : first_try_wait_max(request);
  return MIN(request->arrived + limit, request->expires) - now;
}

void admission_enter(Router *router, Request *request, gint64 now) {
  guint place;
  estimate_first_attempt(router, request);
  if (!continuation_is_possible(router, request)) {
    finish_give_up(router, request, now);
    return;
  }
  if (shortage_outlasts(router, request, wait_left_max(request, now), now)) {
    refuse_for_rest(router, request, now);
    return;
  }
  if (!request->is_caller_retry &&
      expected_wait(router, admission_count_in_time(router, now)) >
          first_try_wait_max(request) &&
      engine_with_room(router, request, now) == NULL) {
    refuse_busy(router, request, now);
    return;
  }
  request->phase = PHASE_WAIT;
  enqueue(router, request);
  request->stall_at = next_review(request, now);
  router->load_version++;
  if (!must_yield(router, request, now) && try_start(router, request, now))
    return;
  shortage_schedule_recheck(router, now);
  place = count_in_time_before(router, request, now);
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u expected_ms=%d came_back=%d short=%s",
             request->id, place, (int)(expected_wait(router, place) / MP_MS),
             request->is_caller_retry,
             prefill_short_stage(router, request, now));
}

void admission_requeue(Router *router, Request *request, gint64 now) {
  request->phase = PHASE_WAIT;
  enqueue(router, request);
  request->stall_at = request->handle_until;
  router->load_version++;
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u handle=%s left_ms=%d", request->id,
             router->waiting->len,
             request->handle != NULL ? request->handle : "-",
             (int)(MAX(request->handle_until - now, 0) / MP_MS));
}

void admission_leave(Router *router, Request *request) {
  if (request->phase == PHASE_WAIT &&
      g_ptr_array_remove(router->waiting, request))
    router->load_version++;
}

void admission_review(Router *router, Request *request, gint64 now) {
  gint64 waited = now - request->arrived;
  guint place = count_in_time_before(router, request, now);
  if (request->handle != NULL && now >= request->handle_until)
    prefill_drop_handle(router, request, now); /* the prompt will be read
                                               ** again */
  if (shortage_outlasts(router, request, wait_left_max(request, now), now)) {
    refuse_for_rest(router, request, now);
    return;
  }
  if (waited >= wait_max(request) ||
      (!request->is_caller_retry &&
       waited + expected_wait(router, place) > first_try_wait_max(request))) {
    refuse_busy(router, request, now);
    return;
  }
  request->stall_at = request->arrived + wait_max(request);
}

/* Refuses, and so ends, the waiting requests that go on with a stream whose
** version has no endpoint any more. */
static void refuse_impossible(Router *router, gint64 now) {
  guint i = 0;
  while (i < router->waiting->len) {
    Request *request = router->waiting->pdata[i];
    if (continuation_is_possible(router, request))
      i++;
    else
      finish_give_up(router, request, now);
  }
}

/* Starts what fits among the requests in time, or among the late ones. Returns
** how many found no room; one that goes on with a stream does not count, since
** it needs room at one version only. */
static guint start_some(Router *router, gboolean in_time, gint64 now) {
  guint without_room = 0;
  guint i = 0;
  while (i < router->waiting->len) {
    Request *request = router->waiting->pdata[i];
    gboolean is_counted = request->software == 0;
    if (is_in_time(request, now) == in_time &&
        !try_start(router, request, now))
      without_room += is_counted;
    if (i < router->waiting->len && router->waiting->pdata[i] == request)
      i++;
  }
  return without_room;
}

/* Late requests start only if every request in time has found room. */
void admission_start_waiting_requests(Router *router, gint64 now) {
  refuse_impossible(router, now);
  if (router->waiting->len > 0 && start_some(router, TRUE, now) == 0)
    start_some(router, FALSE, now);
  shortage_schedule_recheck(router, now);
}
