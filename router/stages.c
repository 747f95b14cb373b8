/*
** stages.c
** Changes the stages of engines: plans changes and orders them
*/

#include <math.h>
#include <string.h>

#include "router/gate.h"
#include "router/stage_plan.h"
#include "router/stages.h"
#include "router/state.h"

/* Only this many live instances with the smallest addresses review the use of
** the engines; others do so if these fail. */
#define REVIEWERS_MAX 5
/* A service whose runs use less memory than this, in units of one engine's,
** counts as idle. */
#define USED_ENGINES_MIN 0.3
/* interval between two reviews of the use */
#define REVIEW_INTERVAL (200 * MP_MS)
/* time constant of the averages of the use */
#define AVERAGE_TIME (4 * MP_SEC)
/* The use of the prefill stage counts by its peak, which decays with this time
** constant. When requests stop coming, prefill engines are idle at once while
** the runs that they started go on for seconds, so the ratio of the two means
** nothing. Without the peak, 4 s without the store took 7 prefill engines
** away, and prompts then queued for 1.3 to 2.1 s instead of 0.2 s until 12 s
** later. */
#define PEAK_DECAY (10 * MP_SEC)
/* A need to change engines from prefill to decode (NEED_TIME_MIN) or from
** decode to prefill (NEED_TIME_MIN_BACK) must last this long before an
** instance acts, and NEED_TIME_PER_INSTANCE longer for each live instance
** with a smaller address. */
#define NEED_TIME_MIN (600 * MP_MS)
#define NEED_TIME_MIN_BACK (1500 * MP_MS)
#define NEED_TIME_PER_INSTANCE (1500 * MP_MS)
/* An engine is asked for its state this long after it was named in the load
** digests, so that the other instances know of the change before. */
#define ANNOUNCE_TIME (200 * MP_MS)
/* the most engines that change at a time, because a digest names no more */
#define CHANGES_MAX MP_LOAD_DIGEST_CHANGING
/* pause after a round of changes, until its effect shows */
#define ROUND_PAUSE (2 * MP_SEC)
/* A service must have been in use this long before its use is acted on: the
** use of the decode engines lags behind that of the prefill engines by the
** length of a stream. */
#define SETTLE_TIME (3 * MP_SEC)
/* An engine whose change was abandoned, for example because it rejected the
** order, gets no order from this instance for this long. */
#define REJECTED_PAUSE (10 * MP_SEC)
/* Timeout for connecting to an engine; the lease must be held for
** ORDER_MARGIN more when an order is sent, which is longer. */
#define ORDER_CONNECT_TIMEOUT (400 * MP_MS)
#define ORDER_MARGIN (600 * MP_MS)
/* The lease must be held for this much longer when a round begins. */
#define ROUND_MARGIN (1500 * MP_MS)
/* A change counts as failed if the platform does not list the new stage within
** SWITCH_TIMES_MAX times Service.switch_time plus SWITCH_GRACE after it was
** named in the digests. */
#define SWITCH_TIMES_MAX 2
#define SWITCH_GRACE (5 * MP_SEC)

typedef enum ChangeStep {
  CHANGE_NAMED,  /* named in the digests; nothing is sent yet */
  CHANGE_ASKED,  /* a REPORT dispatch is open */
  CHANGE_ORDERED /* an ORDER dispatch is open */
} ChangeStep;

/* The change of one engine to another stage, until its order is answered. */
typedef struct StageChange {
  char *endpoint;
  EndpointStage to;
  gint64 switch_time;
  ChangeStep step;
  gint64 due;       /* NAMED: when to ask for the state */
  guint64 dispatch; /* ASKED, ORDERED: the open dispatch */
} StageChange;

/* Averages of one service's use; units as in StageUse. */
typedef struct UseAverage {
  double prefill_busy, prompts, decode_used;
  double prefill_peak; /* decaying peak of the average prefill_busy */
  gint64 updated_at;   /* when the averages were last updated */
  gint64 used_from;    /* since when the service has been in use */
  gint64 needed_from;  /* since when a change has been needed; 0: none is */
} UseAverage;

struct Stages {
  Router *router;
  mp_Addr self;
  char *holder;
  Lease lease;
  LeaseRecord record; /* of the open call to the store */
  GHashTable *uses;   /* service name -> UseAverage; both owned */
  GPtrArray *changes; /* StageChange; owned */
  gint64 next_review; /* time of the next review of the use */
  gint64 pause_until; /* end of the pause after a round of changes */
};

static const char *stage_name(EndpointStage stage) {
  return stage == STAGE_DECODE ? "decode" : "prefill";
}

static void change_free(gpointer p) {
  StageChange *change = p;
  g_free(change->endpoint);
  g_free(change);
}

Stages *stages_new(Router *router, const char *holder, mp_Addr self,
                   gint64 lease_length, gint64 now) {
  Stages *stages = g_new0(Stages, 1);
  stages->router = router;
  stages->self = self;
  stages->holder = g_strdup(holder);
  lease_init(&stages->lease, holder, lease_length, now);
  stages->uses =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  stages->changes = g_ptr_array_new_with_free_func(change_free);
  /* a new instance does not know the loads of the others yet */
  stages->pause_until = now + ROUND_PAUSE;
  stages->next_review = lease_length > 0 ? now : G_MAXINT64;
  return stages;
}

void stages_free(Stages *stages) {
  lease_clear(&stages->lease);
  g_hash_table_destroy(stages->uses);
  g_ptr_array_free(stages->changes, TRUE);
  g_free(stages->holder);
  g_free(stages);
}

/*
** {==================================================================
** Use of the engines
** ===================================================================
*/

/* Returns the stage that the engine has after the change that is under way, if
** there is one. */
static EndpointStage planned_stage(const Stages *stages,
                                   const Endpoint *endpoint, gint64 now) {
  EndpointStage stage = endpoint->record.stage;
  if (!endpoint_is_changing_stage(stages->router->endpoints, endpoint, now))
    return stage;
  return stage == STAGE_PREFILL ? STAGE_DECODE : STAGE_PREFILL;
}

/* Returns TRUE if the endpoint is an engine of the service and not leaving. */
static gboolean is_counted(const Endpoint *endpoint, const Service *service) {
  return !endpoint_is_leaving(endpoint) &&
         endpoint->record.stage != STAGE_NONE &&
         strcmp(endpoint->record.service, service->name) == 0;
}

/* Returns the use of the engines at this moment. */
static StageUse current_use(const Stages *stages, const Service *service,
                            gint64 now) {
  const EndpointTable *table = stages->router->endpoints;
  GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
  double run_share = estimate_mean_memory(stages->router, service) /
                     MAX(service->kv_tokens, 1);
  StageUse use = {0};
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    if (!is_counted(endpoint, service))
      continue;
    g_hash_table_add(zones, endpoint->record.zone);
    if (planned_stage(stages, endpoint, now) == STAGE_PREFILL)
      use.prefill++;
    else
      use.decode++;
    if (endpoint->record.stage == STAGE_PREFILL) {
      use.prefill_busy += endpoint_open_count(table, endpoint) > 0;
      use.prompts += endpoint_open_count(table, endpoint);
    } else
      use.decode_used += endpoint_open_count(table, endpoint) * run_share;
  }
  use.zones = g_hash_table_size(zones);
  use.waiting = stages->router->waiting->len > 0 ||
                peer_loads_waiting_requests(table->peers) > 0;
  g_hash_table_destroy(zones);
  return use;
}

/* Returns the averages of a service; new ones are all zero. */
static UseAverage *average_of(Stages *stages, const Service *service,
                              gint64 now) {
  UseAverage *average = g_hash_table_lookup(stages->uses, service->name);
  if (average == NULL) {
    average = g_new0(UseAverage, 1);
    average->updated_at = now;
    average->used_from = now;
    g_hash_table_insert(stages->uses, g_strdup(service->name), average);
  }
  return average;
}

/* Updates the averages with the current use, then replaces it by them. */
static void update_average(UseAverage *average, StageUse *use, gint64 now) {
  double age = (double)(now - average->updated_at);
  double weight = 1 - exp(-age / AVERAGE_TIME);
  average->prefill_busy +=
      weight * (use->prefill_busy - average->prefill_busy);
  average->prompts += weight * (use->prompts - average->prompts);
  average->decode_used += weight * (use->decode_used - average->decode_used);
  average->prefill_peak = MAX(average->prefill_busy,
                              average->prefill_peak * exp(-age / PEAK_DECAY));
  average->updated_at = now;
  use->prefill_busy = average->prefill_peak;
  use->prompts = average->prompts;
  use->decode_used = average->decode_used;
}

/* }================================================================== */

/*
** {==================================================================
** A round of changes
** ===================================================================
*/

static gboolean has_change(const Stages *stages, const char *endpoint) {
  guint i;
  for (i = 0; i < stages->changes->len; i++) {
    if (strcmp(((const StageChange *)stages->changes->pdata[i])->endpoint,
               endpoint) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Returns how many engines of a data centre have or will have that stage. */
static guint count_in_zone(const Stages *stages, const Service *service,
                           EndpointStage stage, const char *zone, gint64 now) {
  const EndpointTable *table = stages->router->endpoints;
  guint count = 0;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    count += is_counted(endpoint, service) &&
             strcmp(endpoint->record.zone, zone) == 0 &&
             planned_stage(stages, endpoint, now) == stage;
  }
  return count;
}

/* Returns the best engine to change: in the data centre that has most engines
** of the stage, the one with the fewest planned tokens. The last engine of a
** stage in a data centre is never chosen. NULL if there is none. */
static Endpoint *choose_engine(const Stages *stages, const Service *service,
                               EndpointStage from, gint64 now) {
  const EndpointTable *table = stages->router->endpoints;
  Endpoint *best = NULL;
  guint best_count = 0;
  guint64 best_tokens = 0;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    Endpoint *endpoint = table->all->pdata[i];
    guint64 tokens = endpoint_tokens(table, endpoint);
    guint count;
    if (!is_counted(endpoint, service) || endpoint->record.stage != from ||
        endpoint_is_changing_stage(table, endpoint, now) ||
        endpoint->avoid_until > now || endpoint->no_order_before > now ||
        gate_check(endpoint, DISPATCH_REPORT, now) != GATE_OPEN ||
        has_change(stages, endpoint->record.id))
      continue;
    count = count_in_zone(stages, service, from, endpoint->record.zone, now);
    if (count < 2 ||
        (best != NULL && (count < best_count ||
                          (count == best_count && tokens >= best_tokens))))
      continue;
    best = endpoint;
    best_count = count;
    best_tokens = tokens;
  }
  return best;
}

/* Begins the change of an engine: names it in the digests. */
static void start_change(Stages *stages, Endpoint *endpoint, EndpointStage to,
                         const Service *service, gint64 now) {
  StageChange *change = g_new0(StageChange, 1);
  change->endpoint = g_strdup(endpoint->record.id);
  change->to = to;
  change->switch_time = service->switch_time;
  change->due = now + ANNOUNCE_TIME;
  endpoint->changing_to = to;
  endpoint->changing_until =
      now + SWITCH_TIMES_MAX * service->switch_time + SWITCH_GRACE;
  g_ptr_array_add(stages->changes, change);
  stages->router->load_version++;
}

/* Begins changes of up to 'wanted' engines: from prefill to decode if it is
** positive, else from decode to prefill. */
static void begin_round(Stages *stages, const Service *service, int wanted,
                        gint64 now) {
  EndpointStage from = wanted > 0 ? STAGE_PREFILL : STAGE_DECODE;
  EndpointStage to = wanted > 0 ? STAGE_DECODE : STAGE_PREFILL;
  guint32 hashes[CHANGES_MAX];
  guint changing = stages_list_changing(stages, hashes, CHANGES_MAX, now);
  guint count = MIN((guint)ABS(wanted), CHANGES_MAX - changing);
  guint named = 0;
  Endpoint *endpoint;
  while (named < count &&
         (endpoint = choose_engine(stages, service, from, now)) != NULL) {
    start_change(stages, endpoint, to, service, now);
    named++;
  }
  router_log(stages->router, MP_LOG_ORDER_ROUND,
             " service=%s to=%s wanted=%d named=%u fence=%" G_GINT64_FORMAT,
             service->name, stage_name(to), ABS(wanted), named,
             lease_fence(&stages->lease));
  stages->pause_until = now + ROUND_PAUSE;
}

/* Tries to acquire the lease, unless a call to the store is open. */
static void acquire_lease(Stages *stages, gint64 now) {
  StoreCall call;
  if (lease_begin_call(&stages->lease, &call, &stages->record, now))
    stages->router->host.lease_call(stages->router->host.data, &call);
}

/* Returns how long a need must last before this instance acts on it; 'before'
** live instances have smaller addresses. */
static gint64 need_time(int wanted, guint before) {
  gint64 least = wanted < 0 ? NEED_TIME_MIN_BACK : NEED_TIME_MIN;
  return least + before * NEED_TIME_PER_INSTANCE;
}

/* Restarts the time in use while the service is idle. */
static void reset_idle_time(UseAverage *average, const StageUse *use,
                            gint64 now) {
  if (use->decode_used < USED_ENGINES_MIN)
    average->used_from = now;
}

/* Reviews the use of a service and begins a round of changes, or acquires the
** lease for it, if a need has lasted long enough. */
static void review_service(Stages *stages, const Service *service,
                           guint before, gint64 now) {
  UseAverage *average = average_of(stages, service, now);
  StageUse use = current_use(stages, service, now);
  int wanted;
  update_average(average, &use, now);
  wanted = stage_plan(&use);
  reset_idle_time(average, &use, now);
  if (wanted == 0 || now < stages->pause_until ||
      now - average->used_from < SETTLE_TIME) {
    average->needed_from = 0;
    return;
  }
  if (average->needed_from == 0)
    average->needed_from = now;
  if (now - average->needed_from < need_time(wanted, before))
    return;
  if (lease_is_held(&stages->lease, ROUND_MARGIN, now))
    begin_round(stages, service, wanted, now);
  else
    acquire_lease(stages, now);
}

static void review_all(Stages *stages, gint64 now) {
  const RouteTable *routes = stages->router->routes;
  guint before = peer_loads_count_lower_addresses(
      stages->router->endpoints->peers, stages->self, now);
  guint i;
  if (routes == NULL || before >= REVIEWERS_MAX || stages->router->stopping)
    return;
  for (i = 0; i < routes->services->len; i++) {
    const Service *service = routes->services->pdata[i];
    if (service->is_engine && service->switch_time > 0 &&
        service->kv_tokens > 0)
      review_service(stages, service, before, now);
  }
}

/* }================================================================== */

/*
** {==================================================================
** One change
** ===================================================================
*/

static Endpoint *endpoint_of(const Stages *stages, const StageChange *change) {
  return endpoint_table_get(stages->router->endpoints, change->endpoint);
}

/* Ends the change without effect; the engine may be sent work again. */
static void abandon_change(Stages *stages, StageChange *change, gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, change);
  if (endpoint != NULL) {
    endpoint->changing_until = 0;
    endpoint->no_order_before = now + REJECTED_PAUSE;
  }
  stages->router->load_version++;
  g_ptr_array_remove(stages->changes, change);
}

/* Returns TRUE if the endpoint is listed and the gate allows the dispatch. */
static gboolean may_send(const Endpoint *endpoint, DispatchKind kind,
                         gint64 now) {
  return endpoint != NULL && gate_check(endpoint, kind, now) == GATE_OPEN;
}

/* Sends an order, or a request for the engine's state if 'order' is NULL. */
static void send(Stages *stages, StageChange *change, Endpoint *endpoint,
                 const StageOrder *order, gint64 now) {
  Dispatch dispatch = {0};
  dispatch.kind = order != NULL ? DISPATCH_ORDER : DISPATCH_REPORT;
  dispatch.connect_timeout = ORDER_CONNECT_TIMEOUT;
  dispatch.order = order;
  change->dispatch = dispatcher_send(stages->router, &dispatch, endpoint, now);
}

/* Asks a named engine for its state. */
static void request_report(Stages *stages, StageChange *change, gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, change);
  if (!may_send(endpoint, DISPATCH_REPORT, now)) {
    abandon_change(stages, change, now);
    return;
  }
  change->step = CHANGE_ASKED;
  send(stages, change, endpoint, NULL, now);
}

static void log_order(const Stages *stages, const StageChange *change,
                      mp_EventNo number, const char *outcome, int status) {
  router_log(stages->router, number,
             " endpoint=%s to=%s outcome=%s status=%d fence=%" G_GINT64_FORMAT,
             change->endpoint, stage_name(change->to), outcome, status,
             lease_fence(&stages->lease));
}

/* Handles the engine's state; 'report' is NULL if there was no answer. Sends
** the order if the engine can still carry it out and the lease is held, and
** abandons the change if not. */
static void handle_report(Stages *stages, StageChange *change,
                          const EngineReport *report, gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, change);
  StageOrder order = {change->to, stages->holder, lease_fence(&stages->lease),
                      0};
  if (!may_send(endpoint, DISPATCH_ORDER, now) || report == NULL ||
      report->busy || report->stage == change->to ||
      !lease_is_held(&stages->lease, ORDER_MARGIN, now)) {
    log_order(stages, change, MP_LOG_ORDER_FAIL, "not_sent", 0);
    abandon_change(stages, change, now);
    return;
  }
  order.sequence = report->sequence;
  change->step = CHANGE_ORDERED;
  router_count(stages->router, ORDERS);
  log_order(stages, change, MP_LOG_ORDER_SENT, "-", 0);
  send(stages, change, endpoint, &order, now);
}

/* Gives up the lease and all changes, because a newer holder has been seen at
** work. */
static void abandon_all(Stages *stages, gint64 now) {
  lease_give_up(&stages->lease, now);
  while (stages->changes->len > 0)
    abandon_change(stages, stages->changes->pdata[0], now);
}

/* Handles the outcome of an order. An order without an answer may have been
** accepted, or be accepted later, so the engine counts as changing still. */
static void handle_order_outcome(Stages *stages, StageChange *change,
                                 const Outcome *outcome, gint64 now) {
  gboolean is_accepted = outcome->kind == OUTCOME_ANSWER &&
                         (outcome->status == 200 || outcome->status == 202);
  log_order(stages, change,
            is_accepted ? MP_LOG_ORDER_DONE : MP_LOG_ORDER_FAIL,
            outcome_name(outcome->kind), outcome->status);
  if (outcome->kind == OUTCOME_ANSWER && outcome->status == 412)
    abandon_all(stages, now);
  else if (is_accepted || outcome->kind == OUTCOME_BROKEN)
    g_ptr_array_remove(stages->changes, change);
  else
    abandon_change(stages, change, now);
}

gboolean stages_handle_outcome(Stages *stages, const Outcome *outcome,
                               gint64 now) {
  guint i;
  for (i = 0; i < stages->changes->len; i++) {
    StageChange *change = stages->changes->pdata[i];
    if (change->dispatch != outcome->dispatch || change->step == CHANGE_NAMED)
      continue;
    reach_note_outcome(stages->router->reach, endpoint_of(stages, change), 0,
                       outcome, now);
    if (change->step == CHANGE_ASKED)
      handle_report(stages, change,
                    outcome->kind == OUTCOME_ANSWER ? outcome->report : NULL,
                    now);
    else
      handle_order_outcome(stages, change, outcome, now);
    return TRUE;
  }
  return FALSE;
}

/* }================================================================== */

void stages_drop_changes(Stages *stages, const char *endpoint) {
  guint i = 0;
  while (i < stages->changes->len) {
    const StageChange *change = stages->changes->pdata[i];
    if (strcmp(change->endpoint, endpoint) == 0)
      g_ptr_array_remove_index(stages->changes, i);
    else
      i++;
  }
}

void stages_observe_era(Stages *stages, guint64 era, gint64 now) {
  lease_observe_era(&stages->lease, era, now);
}

void stages_lease_reply(Stages *stages, const LeaseReply *reply, gint64 now) {
  lease_handle_reply(&stages->lease, reply, now);
  if (lease_is_held(&stages->lease, 0, now))
    router_log(stages->router, MP_LOG_LEASE_HELD, " fence=%" G_GINT64_FORMAT,
               lease_fence(&stages->lease));
  stages->next_review = now;
}

/* Returns the first change whose engine is to be asked now; asking may remove
** it from the list. */
static StageChange *due_change(const Stages *stages, gint64 now) {
  guint i;
  for (i = 0; i < stages->changes->len; i++) {
    StageChange *change = stages->changes->pdata[i];
    if (change->step == CHANGE_NAMED && change->due <= now)
      return change;
  }
  return NULL;
}

void stages_tick(Stages *stages, gint64 now) {
  StageChange *change;
  while ((change = due_change(stages, now)) != NULL)
    request_report(stages, change, now);
  if (now < stages->next_review)
    return;
  stages->next_review = now + REVIEW_INTERVAL;
  review_all(stages, now);
}

gint64 stages_next_tick(const Stages *stages) {
  gint64 next = stages->next_review;
  guint i;
  for (i = 0; i < stages->changes->len; i++) {
    const StageChange *change = stages->changes->pdata[i];
    if (change->step == CHANGE_NAMED)
      next = MIN(next, change->due);
  }
  return next;
}

guint stages_list_changing(const Stages *stages, guint32 *hashes, guint most,
                           gint64 now) {
  const GPtrArray *all = stages->router->endpoints->all;
  guint count = 0;
  guint i;
  for (i = 0; i < all->len && count < most; i++) {
    const Endpoint *endpoint = all->pdata[i];
    if (endpoint->changing_until > now)
      hashes[count++] = endpoint->hash;
  }
  return count;
}
