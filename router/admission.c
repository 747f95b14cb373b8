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
** come back late. The time of a request counts from its caller's first try.
**
** waiting_order.h states which request starts first. Where a service has
** requests of several priorities, one that finds no room keeps the room that
** appears from those of lower priority, here and (by the load digests) at
** other instances. As the last resort an urgent request is sent to an engine
** without room for it, which then displaces a less urgent run.
**
** RouterOptions.overload_control adds limits for late requests and for
** requests that cannot end before their deadline, and makes shorter outputs
** more senior.
**
** When room appears, all instances learn of it at about the same time. So each
** waiting request computes its rank among all that wait at any instance: as
** many as there is room for start at once, the next ones one turn later if
** there is room left by then, and so on. A turn is about as long as it takes
** to learn what the other instances have started.
*/

#include <string.h>

#include "router/continuation.h"
#include "router/waiting_order.h"

/* A first try waits for room for at most this many objectives, because reading
** its prompt takes another 0.2 to 0.3 of them. */
#define FIRST_TRY_WAIT_OBJECTIVES 0.55
/* A waiting first try is reviewed once after this share of the objective, so
** that a refusal comes early. */
#define EARLY_REVIEW_SHARE 0.22
/* Callers give up a stream without a first piece after the longest of
** GIVE_UP_MIN, GIVE_UP_OBJECTIVES times the objective, and GIVE_UP_GAPS times
** Route.gap. No request waits longer than WAIT_MAX_SHARE of that. */
#define GIVE_UP_MIN (2 * MP_SEC)
#define GIVE_UP_OBJECTIVES 4
#define GIVE_UP_GAPS 8
#define WAIT_MAX_SHARE 0.78
/* With overload control no request waits longer than this share of the
** objective: the caller then still has time for another attempt. */
#define WAIT_MAX_OBJECTIVES 0.8
/* With overload control or several priorities a waiting request is reviewed
** each time this share of the objective has passed: within it a refusal is to
** come once the outcome is known. */
#define REVIEW_SHARE 0.125
/* Reviews of one request are at least this far apart, however short its
** objective is. */
#define REVIEW_INTERVAL_MIN (20 * MP_MS)
/* After this share of the objective such a review refuses a request only if
** its wait is over. */
#define LAST_EARLY_REVIEW_SHARE 0.26
/* Refused callers are told to retry after RETRY_AFTER_SHARE of the time that
** they had on arrival, plus a random part of RETRY_SPREAD_SHARE of it. They
** follow a Retry-After of up to a third of their time. */
#define RETRY_AFTER_SHARE 0.13
#define RETRY_SPREAD_SHARE 0.14
/* The same with overload control, as shares of the time that is left: bursts
** last 4 to 6 s, so an earlier retry returns into the same burst. */
#define OVERLOAD_RETRY_AFTER_SHARE 0.20
#define OVERLOAD_RETRY_SPREAD_SHARE 0.13
/* A caller with less time than this share of what other callers of the route
** have is taken for a retry (router/patience.h). */
#define FIRST_TRY_SHARE 0.97
/* A turn lasts TURN_MIN plus TURN_PER_INSTANCE (us) for each near instance:
** what the others start is known after about that time. */
#define TURN_MIN (3 * MP_MS)
#define TURN_PER_INSTANCE 1000LL
/* weight of the newest run in the moving mean of the duration of runs */
#define RUN_STEP 0.05
/* A mean duration of runs above this share of all the time that a caller gives
** comes from other, longer requests of the service: refusing by it would
** refuse all requests of such a caller. */
#define MEAN_RUN_MAX_SHARE 0.75
/* weight of the newest interval in the moving mean of the time between ends of
** streams (Router.mean_end_interval) */
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

/* Returns the longest expected wait for room with which a first try may
** wait, us. */
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
** Returns how long the request with 'place' requests before it here is
** expected to wait, us. Room that appears at any engine serves all instances,
** and streams are taken to end as often at the near instances as here.
*/
static gint64 expected_wait(const Router *router, const Request *request,
                            guint place, gint64 now) {
  AdmissionRank rank = waiting_order_rank(router, request, now);
  guint ahead = place + waiting_order_count_peers(router, request, &rank);
  return (gint64)((ahead + 1) * router->mean_end_interval / router->near);
}

/* Records how long the run of a whole stream took. */
static void observe_run(Router *router, const Request *request, gint64 now) {
  ServiceState *state = router_service_state(router, request->service->name);
  double duration = (double)(now - request->open.sent);
  if (!request->service->is_engine || request->resumes || request->runs > 0)
    return; /* a part of a stream */
  if (state->mean_run <= 0)
    state->mean_run = duration;
  state->mean_run += RUN_STEP * (duration - state->mean_run);
}

void admission_note_run_end(Router *router, const Request *request,
                            gint64 now) {
  double interval = (double)(now - router->last_run_end);
  if (router->last_run_end != 0)
    router->mean_end_interval += INTERVAL_STEP * (MIN(interval, 1.0 * MP_SEC) -
                                                  router->mean_end_interval);
  router->last_run_end = now;
  observe_run(router, request, now);
}

gboolean admission_is_too_late(Router *router, const Request *request,
                               gint64 now) {
  gint64 patience = request->caller_deadline - request->first_attempt_at;
  double mean;
  if (!router->overload_control || request->runs > 0 || request->resumes ||
      request->last_event != NULL)
    return FALSE; /* what is left of a stream takes less than a whole one */
  mean = router_service_state(router, request->service->name)->mean_run;
  return (double)(request->expires - now) < mean &&
         mean <= MEAN_RUN_MAX_SHARE * (double)patience;
}

void admission_refuse_too_late(Router *router, Request *request, gint64 now) {
  router_count(router, REFUSED_DEADLINE);
  prefill_drop_handle(router, request, now);
  finish_refuse(router, request, REFUSAL_NOT_RUN);
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
static gint64 draw_retry_after(Router *router, const Request *request,
                               gint64 now) {
  double draw = g_rand_double(router->random);
  if (router->overload_control)
    return (gint64)((OVERLOAD_RETRY_AFTER_SHARE +
                     draw * OVERLOAD_RETRY_SPREAD_SHARE) *
                    (double)(request->caller_deadline - now));
  return (gint64)((RETRY_AFTER_SHARE + draw * RETRY_SPREAD_SHARE) *
                  (double)(request->caller_deadline - request->arrived));
}

/* Refuses the request for lack of room. */
static void refuse_busy(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  request->was_rejected = TRUE;
  request->come_back = draw_retry_after(router, request, now);
  finish_refuse(router, request, REFUSAL_BUSY);
}

/* Refuses the request because the engines rest for longer than it could wait;
** its caller is told when the first of them accepts requests again. */
static void refuse_for_rest(Router *router, Request *request, gint64 now) {
  prefill_drop_handle(router, request, now);
  shortage_record(router, request, now);
  finish_refuse(router, request, REFUSAL_REST);
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

/* Returns when the request has waited for as long as any request may. */
static gint64 wait_end(const Router *router, const Request *request) {
  gint64 end = request->arrived + wait_max(request);
  if (waiting_order_has_late_limits(router, request))
    end = MIN(end, request->queued_at - request->waited +
                       (gint64)(WAIT_MAX_OBJECTIVES *
                                (double)request->route->objective));
  return end;
}

/* Returns TRUE if the request is refused when its expected wait is too
** long. */
static gboolean is_limited(const Router *router, const Request *request) {
  return !request->is_caller_retry ||
         waiting_order_has_late_limits(router, request);
}

/* Returns TRUE if the request is reviewed each REVIEW_SHARE. */
static gboolean has_frequent_reviews(const Router *router,
                                     const Request *request) {
  return waiting_order_has_late_limits(router, request) ||
         waiting_order_is_ranked(request);
}

/* Returns when a waiting request is to be reviewed next. */
static gint64 next_review(const Router *router, const Request *request,
                          gint64 now) {
  gint64 last = wait_end(router, request);
  gint64 early =
      request->arrived +
      (gint64)(EARLY_REVIEW_SHARE * (double)request->route->objective);
  gint64 interval = (gint64)(REVIEW_SHARE * (double)request->route->objective);
  if (!is_limited(router, request))
    return last;
  if (has_frequent_reviews(router, request))
    return MIN(last, now + MAX(interval, REVIEW_INTERVAL_MIN));
  return now < early ? early : last;
}

/* Returns how long the request waits for its turn, us, if there is room
** now. */
static gint64 time_to_turn(Router *router, const Request *request,
                           gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_DECODE, now);
  guint fitting = endpoint_table_count_fitting(router->endpoints, &query, now);
  gint64 turn = TURN_MIN + TURN_PER_INSTANCE * router->near;
  fitting = MIN(fitting, prefill_count_places(router, request, now));
  return waiting_order_count_ahead(router, request, now) / MAX(fitting, 1) *
         turn;
}

/* Counts a start. A request that waits again with its prompt prefilled was
** counted before. */
static void count_start(Router *router, const Request *request, gint64 now) {
  if (request->handle != NULL)
    return;
  router_count(router, STARTED);
  router->started_by_priority[request->priority]++;
  if (!waiting_order_is_in_time(router, request, now))
    router_count(router, STARTED_LATE);
}

/* Starts the request with room at this engine, unless a planned stop comes too
** early for that; may end. */
static void start_request(Router *router, Request *request, Endpoint *engine,
                          gint64 now) {
  if (finish_outlasting(router, request, now))
    return;
  admission_leave(router, request);
  request->waited += now - request->queued_at;
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

/* Returns TRUE if the request yields (admission_order_yields) to another one
** that waits here for the same service and has no time set for its turn. One
** that has found room has such a time (Request.start_at). */
static gboolean yields_to_priority(const Router *router,
                                   const Request *request, gint64 now) {
  AdmissionRank rank = waiting_order_rank(router, request, now);
  guint i;
  for (i = 0; waiting_order_is_ranked(request) && i < router->waiting->len;
       i++) {
    const Request *other = router->waiting->pdata[i];
    AdmissionRank other_rank;
    if (other->start_at != 0 ||
        !waiting_order_is_same_service(other, request) ||
        !needs_room_of(other, request))
      continue;
    other_rank = waiting_order_rank(router, other, now);
    if (admission_order_yields(&rank, &other_rank))
      return TRUE;
  }
  return FALSE;
}

/* Returns TRUE if the request must leave the room to others that wait here,
** even if these need more room than there is: a late one to those in time, and
** one of a lower priority to those of higher ones. */
static gboolean must_yield(const Router *router, const Request *request,
                           gint64 now) {
  guint i;
  if (waiting_order_is_in_time(router, request, now))
    return yields_to_priority(router, request, now);
  for (i = 0; i < router->waiting->len; i++) {
    const Request *other = router->waiting->pdata[i];
    if (waiting_order_is_in_time(router, other, now) &&
        needs_room_of(other, request))
      return TRUE;
  }
  return yields_to_priority(router, request, now);
}

/*
** Starts an urgent request that would be late at an engine without room for
** it, which displaces a less urgent run there. This costs that run its
** prefill, so it is the last resort, and only done while enough of the
** objective is left for the prompt to be read. Returns FALSE if nothing was
** started; may end.
*/
static gboolean try_preempt(Router *router, Request *request, gint64 now) {
  Endpoint *engine;
  if (!waiting_order_is_ranked(request) || request->software != 0 ||
      request->service->kv_tokens == 0 || router->stopping ||
      now - request->first_attempt_at > first_try_wait_max(request) ||
      prefill_decode_limit(router, request, now) != NULL)
    return FALSE; /* the last: no prefill engine can take its prompt now */
  engine = preemption_find_engine(router, request, now);
  if (engine == NULL)
    return FALSE;
  if (finish_outlasting(router, request, now))
    return TRUE; /* before the displacement is counted */
  request->preempts = TRUE;
  router_count(router, PREEMPTIONS);
  router_log(router, MP_LOG_PREEMPTION,
             " request=%s priority=%u endpoint=%s waited_ms=%d", request->id,
             request->priority, engine->record.id,
             (int)((now - request->first_attempt_at) / MP_MS));
  start_request(router, request, engine, now);
  return TRUE;
}

void admission_take_turn(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  request->start_at = 0;
  if (engine != NULL && !must_yield(router, request, now))
    start_request(router, request, engine, now);
}

/* Starts the request if its turn has come, else sets the time of its turn; one
** that cannot end before its deadline is refused. Returns FALSE if there is no
** room; may end. */
static gboolean try_start(Router *router, Request *request, gint64 now) {
  Endpoint *engine = engine_with_room(router, request, now);
  gint64 wait;
  if (admission_is_too_late(router, request, now)) {
    admission_refuse_too_late(router, request, now);
    return TRUE;
  }
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
static gint64 wait_left_max(const Router *router, const Request *request,
                            gint64 now) {
  gint64 end = request->is_caller_retry
                   ? wait_end(router, request)
                   : request->arrived + first_try_wait_max(request);
  return MIN(end, request->expires) - now;
}

/* Returns TRUE if a request that has waited for this time is expected to wait
** for longer than it may. */
static gboolean waits_too_long(const Router *router, const Request *request,
                               gint64 waited, gint64 now) {
  guint place = waiting_order_count_before(router, request, now);
  return is_limited(router, request) &&
         waited + expected_wait(router, request, place, now) >
             first_try_wait_max(request);
}

/* Refuses a new request, and so ends it, if it cannot be served in time.
** Returns FALSE if it may wait. */
static gboolean refuse_at_entry(Router *router, Request *request, gint64 now) {
  if (!continuation_is_possible(router, request))
    finish_give_up(router, request, now);
  else if (shortage_outlasts(router, request,
                             wait_left_max(router, request, now), now))
    refuse_for_rest(router, request, now);
  else if (admission_is_too_late(router, request, now))
    admission_refuse_too_late(router, request, now);
  else if (!waits_too_long(router, request, 0, now) ||
           engine_with_room(router, request, now) != NULL)
    return FALSE;
  else if (!try_preempt(router, request, now))
    refuse_busy(router, request, now);
  return TRUE;
}

void admission_enter(Router *router, Request *request, gint64 now) {
  guint place;
  request->queued_at = now;
  request->over_share = accounts_is_over_share(router, request, now);
  estimate_first_attempt(router, request);
  if (refuse_at_entry(router, request, now))
    return;
  request->phase = PHASE_WAIT;
  enqueue(router, request);
  request->stall_at = next_review(router, request, now);
  router->load_version++;
  if (!must_yield(router, request, now) && try_start(router, request, now))
    return;
  shortage_schedule_recheck(router, now);
  place = waiting_order_count_before(router, request, now);
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u priority=%u expected_ms=%d came_back=%d "
             "short=%s",
             request->id, place, request->priority,
             (int)(expected_wait(router, request, place, now) / MP_MS),
             request->is_caller_retry,
             prefill_short_stage(router, request, now));
}

void admission_requeue(Router *router, Request *request, gint64 now) {
  request->phase = PHASE_WAIT;
  request->preempts = FALSE;
  enqueue(router, request);
  request->queued_at = now;
  request->stall_at = request->handle_until;
  if (waiting_order_has_late_limits(router, request))
    request->stall_at = MIN(request->stall_at, wait_end(router, request));
  router->load_version++;
  router_log(router, MP_LOG_ROUTE_WAIT,
             " request=%s place=%u priority=%u handle=%s left_ms=%d",
             request->id, router->waiting->len, request->priority,
             request->handle != NULL ? request->handle : "-",
             (int)(MAX(request->handle_until - now, 0) / MP_MS));
}

void admission_leave(Router *router, Request *request) {
  if (request->phase == PHASE_WAIT &&
      g_ptr_array_remove(router->waiting, request))
    router->load_version++;
}

/* Returns TRUE if a request whose expected wait is too long is still refused
** for it: later the estimate is about as likely to be wrong as right, and the
** refusal would come late. */
static gboolean is_early(const Request *request, gint64 now) {
  return (double)(now - request->arrived) <=
         LAST_EARLY_REVIEW_SHARE * (double)request->route->objective;
}

/* Starts or refuses, and so ends its wait, a request whose wait is over or is
** expected to become too long. Returns FALSE if it goes on waiting; may
** end. */
static gboolean end_long_wait(Router *router, Request *request, gint64 now) {
  gboolean is_over = now >= wait_end(router, request);
  if (!is_over &&
      !waits_too_long(router, request, now - request->arrived, now))
    return FALSE;
  if (try_preempt(router, request, now))
    return TRUE;
  if (!is_over && has_frequent_reviews(router, request) &&
      !is_early(request, now))
    return FALSE;
  refuse_busy(router, request, now);
  return TRUE;
}

void admission_review(Router *router, Request *request, gint64 now) {
  request->over_share = accounts_is_over_share(router, request, now);
  if (request->handle != NULL && now >= request->handle_until)
    prefill_drop_handle(router, request, now);
  if (shortage_outlasts(router, request, wait_left_max(router, request, now),
                        now)) {
    refuse_for_rest(router, request, now);
    return;
  }
  if (admission_is_too_late(router, request, now)) {
    admission_refuse_too_late(router, request, now);
    return;
  }
  if (end_long_wait(router, request, now))
    return;
  request->stall_at = has_frequent_reviews(router, request)
                          ? next_review(router, request, now)
                          : wait_end(router, request);
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

/* Starts what fits among the requests of one priority that are in time, or
** late. Returns how many found no room; one that goes on with a stream does
** not count, since it needs room at one version only. */
static guint start_some(Router *router, gboolean in_time, guint priority,
                        gint64 now) {
  guint without_room = 0;
  guint i = 0;
  while (i < router->waiting->len) {
    Request *request = router->waiting->pdata[i];
    AdmissionRank rank = waiting_order_rank(router, request, now);
    gboolean is_counted = request->software == 0;
    if (rank.is_late != in_time && rank.priority == priority &&
        (yields_to_priority(router, request, now) ||
         !try_start(router, request, now)))
      without_room += is_counted;
    if (i < router->waiting->len && router->waiting->pdata[i] == request)
      i++;
  }
  return without_room;
}

/* Calls start_some for each priority of waiting requests, the highest first.
** Returns how many requests found no room. */
static guint start_by_priority(Router *router, gboolean in_time, gint64 now) {
  guint levels = 0; /* bits: the priorities of waiting requests */
  guint without_room = 0;
  guint i;
  for (i = 0; i < router->waiting->len; i++)
    levels |= 1u << waiting_order_rank(router, router->waiting->pdata[i], now)
                        .priority;
  for (i = 0; levels >> i != 0; i++) {
    if ((levels >> i & 1) != 0)
      without_room += start_some(router, in_time, i, now);
  }
  return without_room;
}

/* Late requests start only if every request in time has found room. */
void admission_start_waiting_requests(Router *router, gint64 now) {
  refuse_impossible(router, now);
  if (router->waiting->len > 0 && start_by_priority(router, TRUE, now) == 0)
    start_by_priority(router, FALSE, now);
  shortage_schedule_recheck(router, now);
}
