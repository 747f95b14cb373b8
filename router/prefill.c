/*
** prefill.c
** Has the prompt of a request read by a prefill engine before the run
**
** The decode engine is chosen first and memory is reserved there. The prompt
** is then read by a prefill engine near it, and the run fetches the result by
** its handle. A handle is valid for a short time and for one fetch. If no
** prefill engine can read the prompt, the decode engine reads it itself.
**
** With Router.overload_control a prompt is sent only to a prefill engine that
** can take it soon (prefill_capacity.h), and the request waits in the router
** until there is one. A decode engine reads a prompt only if no prefill engine
** can be used or if it runs nothing, because a prefill delays the runs at its
** engine: in a burst, streams with a pause of over 300 ms had seen 5.9
** prefills at their decode engine, streams without a pause over 100 ms 0.05.
**
** Invariant: of the dispatches of a request that arrive at endpoints, the
** first run and the one prefill that reads the prompt cost no retry. Each
** other one is an extra arrival, which the retry budget has to allow before it
** is sent. It is charged then, except when it follows a PREFILL that was
** rejected: the rejected one was charged when it was rejected, so it is only
** checked that retries are left.
** A run that replaces a prefill which an engine lost is an extra arrival too.
** Without that charge, with half of the engines dropping connections, there
** were 102 to 138 extra arrivals in ten seconds where 100 to 113 are allowed,
** and 0.69 to 0.92 of them followed a lost prompt.
*/

#include <string.h>

#include "router/gate.h"
#include "router/retry_exchange.h"
#include "router/state.h"

/* prefill pace assumed until a prompt was read, in tokens a millisecond */
#define INITIAL_PACE 12.0
/* weight of the newest prompt in the moving mean of the pace */
#define PACE_STEP 0.1
/* A prefill is late after PREFILL_TIMES_MAX times the expected time plus
** PREFILL_GRACE. It counts as stalled then, unless its endpoint has just been
** connected to on the path of the prefill. */
#define PREFILL_TIMES_MAX 4
#define PREFILL_GRACE (300 * MP_MS)
/* A sound endpoint may be silent for 1.5 s. One that can be connected to is
** given this long more, which leaves 100 ms for the prompt beside the silence,
** and its path is checked again each PATH_RECHECK. */
#define PREFILL_PATIENCE (1300 * MP_MS)
#define PATH_RECHECK (500 * MP_MS)
/* The path is checked this long before a prefill is late: a check that hangs
** has failed by then (reach.c). */
#define PATH_CHECK_LEAD (250 * MP_MS)
/* A stalled prefill that may not be replaced is checked again after this, as a
** silent run is (outcomes.c). */
#define STALL_RECHECK (500 * MP_MS)
/* the most PREFILL dispatches of one request */
#define PREFILLS_MAX 3
/* A handle counts as expired this long before it does, because a fetch would
** come too late. */
#define HANDLE_MARGIN (60 * MP_MS)
/* With overload control, an engine that rejected a prompt for lack of slots
** gets no prompt from this instance for this long, a few times as long as it
** takes to read one; other instances' prompts are then known here. */
#define REJECTED_PAUSE (250 * MP_MS)
/* connect timeout of a RELEASE */
#define RELEASE_CONNECT_TIMEOUT (300 * MP_MS)

void prefill_release_reservation(Router *router, Request *request) {
  Endpoint *endpoint;
  if (request->decode == NULL)
    return;
  endpoint = endpoint_table_get_incarnation(router->endpoints, request->decode,
                                            request->decode_incarnation);
  if (endpoint != NULL) {
    endpoint->tokens -= MIN(endpoint->tokens, request->decode_tokens);
    if (request->is_decode_counted)
      rate_limits_refund(router->rates, endpoint->hash);
  }
  router->load_version++;
  g_clear_pointer(&request->decode, g_free);
}

void prefill_reserve(Router *router, Request *request, Endpoint *decode) {
  request->decode = g_strdup(decode->record.id);
  request->decode_incarnation = decode->hash;
  request->decode_tokens = estimate_memory(router, request);
  decode->tokens += request->decode_tokens;
  /* The run is counted in the engine's rate now, so that its place in the rate
  ** is given to no other request while the prompt is read. */
  request->is_decode_counted =
      rate_limits_count_sent(router->rates, decode->hash);
  router->load_version++;
  router->host.note(router->host.data, decode->hash,
                    (guint32)request->decode_tokens);
}

/* Returns the pace at which a service's prompts are read, in tokens per ms. */
static double pace_of(const ServiceState *state) {
  return state->prefill_pace > 0 ? state->prefill_pace : INITIAL_PACE;
}

/* Returns the tokens that the engine reads until the open prompt is read. */
static double tokens_to_read(const Request *request) {
  return (double)(request->open.ahead + request->prompt_tokens);
}

/* Returns how long the open prefill is expected to take, us. */
static gint64 expected_time(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  return (gint64)(tokens_to_read(request) / pace_of(state) * MP_MS);
}

/* Updates the service's prefill pace from the time since the PREFILL was sent.
** With overload control the prompts before it count as read in that time, so
** that the pace is that of the engine; else its queue makes the pace lower. */
static void update_pace(Router *router, const Request *request, gint64 now) {
  ServiceState *state = router_service_state(router, request->service->name);
  double ms = MAX((double)(now - request->open.sent) / MP_MS, 1.0);
  double pace = tokens_to_read(request) / ms;
  if (state->prefill_pace <= 0)
    state->prefill_pace = INITIAL_PACE;
  state->prefill_pace += PACE_STEP * (pace - state->prefill_pace);
}

/* Returns the shortest objective of the routes to the request's service, us; 0
** if none has one. It is looked up once for each configuration. */
static gint64 shortest_objective(ServiceState *state, const Request *request) {
  const RouteTable *table = request->table;
  guint i, j;
  if (state->objective_version == table->version)
    return state->objective_min;
  state->objective_version = table->version;
  state->objective_min = 0;
  for (i = 0; i < table->routes->len; i++) {
    const Route *route = table->routes->pdata[i];
    for (j = 0; j < route->targets->len; j++) {
      const RouteTarget *target =
          &g_array_index(route->targets, RouteTarget, j);
      if (strcmp(target->service, request->service->name) == 0 &&
          route->objective > 0 &&
          (state->objective_min == 0 ||
           route->objective < state->objective_min))
        state->objective_min = route->objective;
    }
  }
  return state->objective_min;
}

/* Returns TRUE if the retry budget covers a rejection of the prompt. In the
** first window after the start of this instance, the budget is not yet known,
** and rejections are risked. */
static gboolean may_be_rejected(Router *router, const Request *request,
                                gint64 now) {
  return now - router->retry.born < router->retry.window ||
         retry_exchange_has_extra(router, request->service->name, now);
}

/* Returns the limit on the load of a prefill engine for the prompt. */
static PrefillLimit limit_for_prompt(Router *router, const Request *request,
                                     gint64 now) {
  ServiceState *state = router_service_state(router, request->service->name);
  gint64 objective = shortest_objective(state, request);
  PrefillLimit limit;
  limit.tokens_ahead_max = G_MAXUINT64; /* limited by slots alone */
  if (objective > 0)
    limit.tokens_ahead_max = prefill_capacity_ahead_max(
        request->prompt_tokens, pace_of(state), objective);
  limit.may_be_rejected = may_be_rejected(router, request, now);
  return limit;
}

/* Returns TRUE if prompts of the request can be sent to the endpoint, now or
** when its load is lower. */
static gboolean can_read_prompt(Router *router, const Request *request,
                                const Endpoint *endpoint, gint64 now) {
  return endpoint->record.stage == STAGE_PREFILL &&
         strcmp(endpoint->record.service, request->service->name) == 0 &&
         (endpoint->avoid_until <= now || endpoint->unreachable_streak == 0) &&
         !endpoint_is_down_by_reports(endpoint, now) &&
         !endpoint_is_changing_stage(router->endpoints, endpoint, now) &&
         gate_check(endpoint, DISPATCH_PREFILL, now) == GATE_OPEN &&
         !path_is_excluded(request, endpoint->record.id);
}

/* What the prefill engines can do for a prompt. */
typedef enum PrefillRoom {
  PREFILL_ROOM_NOW,   /* one can take it now */
  PREFILL_ROOM_LATER, /* one can take it when its load is lower */
  PREFILL_ROOM_NEVER  /* none can be used */
} PrefillRoom;

static PrefillRoom find_room(Router *router, const Request *request,
                             gint64 now) {
  const EndpointTable *table = router->endpoints;
  PrefillLimit limit = limit_for_prompt(router, request, now);
  GateLimits limits = rates_limits(router, request->service, now);
  PrefillRoom room = PREFILL_ROOM_NEVER;
  guint i;
  if (request->prefills_sent >= PREFILLS_MAX)
    return PREFILL_ROOM_NEVER;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (!can_read_prompt(router, request, endpoint, now) ||
        gate_check_limits(table, endpoint, &limits, now) != GATE_OPEN)
      continue;
    room = PREFILL_ROOM_LATER;
    if (endpoint->avoid_until <= now &&
        endpoint_is_within_load(table, endpoint, &limit))
      return PREFILL_ROOM_NOW;
  }
  return room;
}

const PrefillLimit *prefill_decode_limit(Router *router,
                                         const Request *request, gint64 now) {
  if (!router->overload_control || request->handle != NULL ||
      request->prefills > 0 ||
      find_room(router, request, now) != PREFILL_ROOM_LATER)
    return NULL;
  return &prefill_limit_idle;
}

guint prefill_count_places(Router *router, const Request *request,
                           gint64 now) {
  const EndpointTable *table = router->endpoints;
  PrefillLimit limit;
  guint count = 0;
  guint i;
  if (!router->overload_control || request->handle != NULL ||
      request->prefills > 0)
    return G_MAXUINT;
  limit = limit_for_prompt(router, request, now);
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    PrefillLoad load;
    if (!can_read_prompt(router, request, endpoint, now) ||
        endpoint->avoid_until > now)
      continue;
    load = endpoint_load(table, endpoint);
    count += prefill_capacity_count(&load, &limit, request->prompt_tokens);
  }
  return count > 0 ? count : G_MAXUINT;
}

const char *prefill_short_stage(Router *router, const Request *request,
                                gint64 now) {
  return prefill_decode_limit(router, request, now) != NULL ? "prefill"
                                                            : "decode";
}

/* Returns the engine that prefilled the prompt last, if it can do so again;
** else NULL. */
static Endpoint *reusable_prefill_engine(Router *router,
                                         const Request *request, gint64 now) {
  GateLimits limits = rates_limits(router, request->service, now);
  Endpoint *endpoint;
  if (request->read_by == NULL || path_is_excluded(request, request->read_by))
    return NULL;
  endpoint = endpoint_table_get(router->endpoints, request->read_by);
  if (endpoint == NULL || endpoint->record.stage != STAGE_PREFILL ||
      endpoint->avoid_until > now ||
      endpoint_is_changing_stage(router->endpoints, endpoint, now) ||
      gate_check(endpoint, DISPATCH_PREFILL, now) != GATE_OPEN ||
      gate_check_limits(router->endpoints, endpoint, &limits, now) !=
          GATE_OPEN)
    return NULL;
  return endpoint;
}

/*
** Returns TRUE if no PREFILL should be sent because it might be rejected. A
** rejected PREFILL is an extra arrival that cannot be prevented beforehand. So
** if the retry budget is used up, and the engines of other data centres are
** known only late, the decode engine reads the prompt, which risks no extra
** arrival.
*/
static gboolean is_too_risky(Router *router, const Request *request,
                             gint64 now) {
  return router->near < router->instances &&
         now - router->retry.born >= router->retry.window &&
         !retry_exchange_has_extra(router, request->service->name, now);
}

/* Returns TRUE if the prompt may be sent to some prefill engine now; the
** choice of the engine considers the load of each. */
static gboolean may_prefill(Router *router, const Request *request,
                            gint64 now) {
  if (router->overload_control)
    return find_room(router, request, now) == PREFILL_ROOM_NOW;
  return request->prefills_sent < PREFILLS_MAX &&
         !is_too_risky(router, request, now) &&
         endpoint_table_has_usable(router->endpoints, request->service->name,
                                   STAGE_PREFILL, now);
}

/* Returns the engine that the prompt is sent to, or NULL; 'limit' is on its
** load, NULL: none. */
static Endpoint *choose_prefill_engine(Router *router, const Request *request,
                                       const PrefillLimit *limit, gint64 now) {
  EndpointQuery query = path_query(router, request, STAGE_PREFILL, now);
  const Endpoint *decode =
      request->decode != NULL
          ? endpoint_table_get(router->endpoints, request->decode)
          : NULL;
  Endpoint *prefill = reusable_prefill_engine(router, request, now);
  if (prefill != NULL &&
      (limit == NULL ||
       endpoint_is_within_load(router->endpoints, prefill, limit)))
    return prefill;
  query.tokens = request->prompt_tokens;
  query.load_limit = limit;
  query.zone = decode != NULL ? decode->record.zone : NULL;
  query.affinity = request->session;
  query.affinity_overrides_load = request->resumes;
  return endpoint_table_choose(router->endpoints, &query, now);
}

/* Has the open prefill count as late at 'late_at', and its path checked
** before. */
static void set_late_at(Request *request, gint64 late_at) {
  request->stall_at = late_at;
  request->path_check_at = late_at - PATH_CHECK_LEAD;
}

gboolean prefill_begin(Router *router, Request *request, gint64 now) {
  PrefillLimit limit;
  Endpoint *prefill;
  RefusalKind why;
  guint64 ahead = 0;
  if (!path_may_dispatch(router, request, &why, now))
    return FALSE; /* path_run refuses the request */
  if (!may_prefill(router, request, now))
    return FALSE;
  if (router->overload_control)
    limit = limit_for_prompt(router, request, now);
  prefill = choose_prefill_engine(
      router, request, router->overload_control ? &limit : NULL, now);
  if (prefill == NULL)
    return FALSE;
  if (router->overload_control)
    ahead = endpoint_tokens(router->endpoints, prefill);
  if (!path_send(router, request, DISPATCH_PREFILL, prefill,
                 request->prompt_tokens, now))
    return FALSE;
  router_count(router, PREFILLS);
  request->prefills_sent++;
  request->open.ahead = ahead;
  request->phase = PHASE_PREFILL;
  request->open.patience_until = 0;
  set_late_at(request, now +
                           PREFILL_TIMES_MAX * expected_time(router, request) +
                           PREFILL_GRACE);
  return TRUE;
}

/*
** After a run was lost, the engine that read the prompt has it in its cache
** for some seconds more. Reading it there again takes some ten milliseconds; a
** decode engine would have to read all of it, which slows its runs. It is an
** extra arrival, so the retry budget must allow it.
*/
gboolean prefill_repeat(Router *router, Request *request, gint64 now) {
  return request->handle == NULL && request->read_by != NULL &&
         reusable_prefill_engine(router, request, now) != NULL &&
         retry_exchange_try_take(router, request->service->name, now) &&
         prefill_begin(router, request, now);
}

/* Keeps the handle of a prompt that was read. */
static void store_handle(Request *request, const Outcome *outcome,
                         const Endpoint *endpoint, gint64 now) {
  gint64 lifetime = outcome->handle_lifetime > 0
                        ? outcome->handle_lifetime
                        : request->service->handle_lifetime;
  request->handle = g_strdup(outcome->handle);
  request->handle_endpoint = g_strdup(endpoint->record.id);
  g_free(request->read_by);
  request->read_by = g_strdup(endpoint->record.id);
  request->handle_address = endpoint->record.address;
  request->handle_until = now + lifetime - HANDLE_MARGIN;
}

/*
** Returns TRUE if the retry budget allows another arrival after a prefill that
** failed with this outcome. If the prompt may have been read or may wait in
** the engine's queue, a retry is taken from the budget now; a rejected PREFILL
** was charged when it was rejected, so it is only checked that retries are
** left.
*/
static gboolean may_send_again(Router *router, const Request *request,
                               OutcomeKind kind, gint64 now) {
  const char *service = request->service->name;
  if (kind == OUTCOME_UNREACHABLE)
    return TRUE; /* it reached no endpoint */
  if (kind == OUTCOME_NOT_RUN)
    return retry_exchange_has_extra(router, service, now);
  return retry_exchange_try_take(router, service, now);
}

/* Logs whether the retry budget allows another arrival ('again'). */
static void log_prompt_retry(Router *router, const Request *request,
                             gboolean again) {
  router_log(router, MP_LOG_ROUTE_RETRY,
             " request=%s again=%d prompt=1 prefills=%u", request->id, again,
             request->prefills_sent);
}

/* Returns TRUE if the decode engine where memory is reserved runs nothing and
** has reserved no memory for others. */
static gboolean is_decode_idle(const Router *router, const Request *request) {
  const EndpointTable *table = router->endpoints;
  const Endpoint *decode;
  if (request->decode == NULL)
    return FALSE;
  decode = endpoint_table_get_incarnation(table, request->decode,
                                          request->decode_incarnation);
  return decode != NULL && endpoint_open_count(table, decode) == 0 &&
         endpoint_tokens(table, decode) <= request->decode_tokens;
}

/*
** With overload control, queues a request again whose prompt no prefill engine
** can take now, but one can later. The memory reserved at the decode engine is
** given back, and the queue reviews at once whether the request can still be
** answered in time. Returns FALSE if it was not queued.
*/
static gboolean requeue_prompt(Router *router, Request *request, gint64 now) {
  if (!router->overload_control || request->handle != NULL ||
      request->runs > 0 || request->arrivals > 0 || request->head_sent ||
      router->stopping || is_decode_idle(router, request) ||
      find_room(router, request, now) != PREFILL_ROOM_LATER)
    return FALSE;
  prefill_release_reservation(router, request);
  admission_requeue(router, request, now);
  request->stall_at = now;
  return TRUE;
}

/* Sends the prompt to another prefill engine, or queues the request for one,
** or else sends the request to a decode engine; the retry budget has allowed
** it; may end. */
static void prefill_elsewhere(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, TRUE);
  if (!prefill_begin(router, request, now) &&
      !requeue_prompt(router, request, now))
    path_run(router, request, now);
}

/* Ends a request for which the retry budget allows no more arrivals. */
static void deny_retry(Router *router, Request *request, gint64 now) {
  log_prompt_retry(router, request, FALSE);
  router_count(router, RETRIES_DENIED);
  request->was_rejected = TRUE;
  finish_give_up(router, request, now);
}

/* Records that the engine rejected the prompt. With overload control that is
** taken for a lack of slots, since the engine was reached: it gets no more
** prompts for a short time, but counts as one that can be used, so that decode
** engines do not prefill in its place. If the retry budget is used up, it gets
** none for longer, since it was not expected to reject this one. */
static void record_rejection(Router *router, Request *request,
                             const Outcome *outcome, Endpoint *endpoint,
                             gint64 now) {
  router_count(router, PROMPTS_REJECTED);
  retry_budget_count_extra(router_retry_budget(router, request->service->name),
                           &router->retry, now);
  if (!router->overload_control || outcome->misdirected)
    path_exclude(request, request->open.endpoint);
  if (endpoint == NULL)
    return;
  if (router->overload_control && outcome->misdirected)
    endpoint_note_ended(endpoint, now);
  else if (router->overload_control && may_be_rejected(router, request, now))
    endpoint->avoid_until = MAX(endpoint->avoid_until, now + REJECTED_PAUSE);
  else /* it may be about to change its stage */
    endpoint_note_rejected(endpoint, now);
}

/* Records a failed prefill at the engine, and charges a rejected one to the
** retry budget. */
static void record_failure(Router *router, Request *request,
                           const Outcome *outcome, gboolean is_path_lost,
                           gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  if (outcome->kind == OUTCOME_UNREACHABLE)
    router_count(router, UNREACHABLE);
  if (is_path_lost)
    return;
  if (outcome->kind == OUTCOME_NOT_RUN) {
    record_rejection(router, request, outcome, endpoint, now);
    return;
  }
  path_exclude(request, request->open.endpoint);
  if (endpoint == NULL)
    return;
  if (outcome->kind == OUTCOME_UNREACHABLE)
    endpoint_note_unreachable(endpoint, now);
  else
    endpoint_note_failure(endpoint, now);
  if (outcome->kind == OUTCOME_BROKEN)
    suspects_note_broken(router, request, endpoint, now);
}

static void log_prefill(Router *router, const Request *request,
                        const char *outcome, const Outcome *ended,
                        gint64 now) {
  const char *framing = ended != NULL ? ended->framing : NULL;
  const char *end = ended != NULL ? ended->connection_end : NULL;
  router_log(router, MP_LOG_ROUTE_PREFILL,
             " request=%s endpoint=%s outcome=%s handle=%s after_ms=%d "
             "framing=%s connection_end=%s",
             request->id, request->open.endpoint, outcome,
             request->handle != NULL ? request->handle : "-",
             (int)((now - request->open.sent) / MP_MS),
             framing != NULL ? framing : "-", end != NULL ? end : "-");
}

void prefill_handle_outcome(Router *router, Request *request,
                            const Outcome *outcome, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  gboolean is_read =
      outcome->kind == OUTCOME_ANSWER && outcome->handle != NULL;
  gboolean is_path_lost = reach_note_outcome(router->reach, endpoint,
                                             request->open.via, outcome, now);
  if (is_read) {
    request->prefills++;
    update_pace(router, request, now);
    if (endpoint != NULL) {
      endpoint_note_success(endpoint, now);
      store_handle(request, outcome, endpoint, now);
    }
  } else {
    record_failure(router, request, outcome, is_path_lost, now);
  }
  log_prefill(router, request, outcome_name(outcome->kind), outcome, now);
  path_close_dispatch(router, request, FALSE);
  if (is_read)
    path_run(router, request, now);
  else if (may_send_again(router, request, outcome->kind, now))
    prefill_elsewhere(router, request, now);
  else
    deny_retry(router, request, now);
}

/* The result is looked at when the prefill is late: not before the check has
** ended, even if this was called late. */
void prefill_check_path(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  request->path_check_at = 0;
  request->stall_at = MAX(request->stall_at, now + PATH_CHECK_LEAD);
  if (endpoint != NULL)
    reach_check_path(router->reach, endpoint, request->open.via, now);
}

/*
** Returns TRUE if the open prefill, which is late, is waited for: its engine
** can be connected to, and if the engine stays silent, the time left is enough
** for a prefill elsewhere that is as late as this one is now.
*/
static gboolean may_wait(const Router *router, const Request *request,
                         const Endpoint *endpoint, gint64 now) {
  const OpenDispatch *open = &request->open;
  return endpoint != NULL &&
         reach_has_connected(router->reach, endpoint, open->via,
                             request->stall_at - PATH_CHECK_LEAD) &&
         (open->patience_until == 0 || now < open->patience_until) &&
         now + (now - open->sent) < request->expires;
}

/* Waits for the open prefill, which is late. */
static void wait_on(Request *request, gint64 now) {
  OpenDispatch *open = &request->open;
  if (open->patience_until == 0)
    open->patience_until =
        MIN(now + PREFILL_PATIENCE, request->expires - (now - open->sent));
  if (now + PATH_RECHECK < open->patience_until)
    set_late_at(request, now + PATH_RECHECK);
  else
    request->stall_at = open->patience_until;
}

/* Records that the prefill is late: its engine is chosen less often, and the
** pace is at most this. */
static void record_late(Router *router, const Request *request,
                        Endpoint *endpoint, gint64 now) {
  if (endpoint != NULL)
    endpoint_note_failure(endpoint, now);
  update_pace(router, request, now);
}

/*
** If the retry budget allows no other arrival, the request goes on waiting:
** the prompt may still reach the head of the engine's queue, and replacing it
** would be an extra arrival.
*/
void prefill_handle_stall(Router *router, Request *request, gint64 now) {
  Endpoint *endpoint = path_open_endpoint(router, request);
  gboolean waits = may_wait(router, request, endpoint, now);
  if (!waits || request->open.patience_until == 0)
    record_late(router, request, endpoint, now);
  if (waits) {
    wait_on(request, now);
    return;
  }
  if (!may_send_again(router, request, OUTCOME_BROKEN, now)) {
    request->stall_at = now + STALL_RECHECK;
    return;
  }
  log_prefill(router, request, "stalled", NULL, now);
  path_exclude(request, request->open.endpoint);
  path_close_dispatch(router, request, TRUE);
  prefill_elsewhere(router, request, now);
}

/* Sends a RELEASE for the handle. It is left out if the endpoint is no longer
** listed or the handle has expired; the engine then frees the memory by
** itself. */
static void release_handle(Router *router, const Request *request,
                           gint64 now) {
  Endpoint *endpoint =
      endpoint_table_get(router->endpoints, request->handle_endpoint);
  Dispatch release = {0};
  if (endpoint == NULL || now >= request->handle_until)
    return;
  release.kind = DISPATCH_RELEASE;
  release.handle = request->handle;
  release.connect_timeout = RELEASE_CONNECT_TIMEOUT;
  dispatcher_send(router, &release, endpoint, now);
}

void prefill_drop_handle(Router *router, Request *request, gint64 now) {
  if (request->handle == NULL)
    return;
  release_handle(router, request, now);
  g_clear_pointer(&request->handle, g_free);
  g_clear_pointer(&request->handle_endpoint, g_free);
}
