/*
** stages.c
** Orders to engines to change their stage
*/

#include <math.h>
#include <string.h>

#include "router/gate.h"
#include "router/stage_plan.h"
#include "router/stages.h"
#include "router/state.h"

/* instances that watch the use of the engines: the rest only if these fail */
#define CANDIDATES 5
/* below so many engines' worth of runs a service counts as idle */
#define LEAST_USE 0.3
/* time between two looks at the use, and over which it is averaged */
#define LOOK (200 * MP_MS)
#define AVERAGE (4 * MP_SEC)
/* the use of the prefill stage counts from its peak, which falls so slowly:
** when requests stop coming it is idle at once, while the runs they left go
** on for seconds, and the ratio of the two says nothing (after 4 s without
** the store 7 prefill engines were taken away, and prompts then queued 1.3 to
** 2.1 s instead of 0.2 s until 12 s later) */
#define PEAK_DECAY (10 * MP_SEC)
/* a need must last so long, and longer for each candidate before this one */
#define NEED_LASTS (600 * MP_MS)
#define NEED_LASTS_BACK (1500 * MP_MS)
#define NEED_LASTS_EACH (1500 * MP_MS)
/* the others hear of a change before it is ordered */
#define ANNOUNCE (200 * MP_MS)
/* most engines that change at a time: a digest names no more of them */
#define CHANGES_MAX MP_LOAD_DIGEST_CHANGING
/* rest after a round of orders, until its effect shows */
#define ROUND_REST (2 * MP_SEC)
/* streams must have run so long before their use says anything: it lags
** behind that of the prefill engines by the length of a stream */
#define SETTLE (3 * MP_SEC)
/* an engine that did not take an order is left alone so long */
#define REFUSED_REST (10 * MP_SEC)
/* time to connect to an engine; the lease must last longer than that */
#define ORDER_CONNECT (400 * MP_MS)
#define ORDER_MARGIN (600 * MP_MS)
/* the lease must last for a whole round */
#define ROUND_MARGIN (1500 * MP_MS)
/* a change that is not listed after so many switch times, and this, failed */
#define SWITCH_PATIENCE 2
#define SWITCH_GRACE (5 * MP_SEC)

typedef enum MoveStep { MOVE_NAMED, MOVE_ASKED, MOVE_ORDERED } MoveStep;

/* one engine on its way to another stage */
typedef struct Move {
  char *endpoint;
  EndpointStage to;
  gint64 switch_time;
  MoveStep step;
  gint64 due; /* NAMED: ask then */
  guint64 dispatch;
} Move;

/* averages of one service's use */
typedef struct UseAverage {
  double prefill_busy, prompts, decode_used;
  double prefill_peak; /* of prefill_busy, lately */
  gint64 looked_at;
  gint64 used_from;   /* the service has been in use since then */
  gint64 needed_from; /* a change has been due since then; 0: none is */
} UseAverage;

struct Stages {
  Router *router;
  mp_Addr self;
  char *holder;
  Lease lease;
  LeaseRecord record; /* of the call that is out */
  GHashTable *uses;   /* service -> UseAverage */
  GPtrArray *moves;   /* Move */
  gint64 next_look;
  gint64 rest_until;
};

static const char *stage_name(EndpointStage stage) {
  return stage == STAGE_DECODE ? "decode" : "prefill";
}

static void move_free(gpointer p) {
  Move *move = p;
  g_free(move->endpoint);
  g_free(move);
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
  stages->moves = g_ptr_array_new_with_free_func(move_free);
  /* a young instance has not heard of the others yet */
  stages->rest_until = now + ROUND_REST;
  stages->next_look = lease_length > 0 ? now : G_MAXINT64;
  return stages;
}

void stages_free(Stages *stages) {
  lease_clear(&stages->lease);
  g_hash_table_destroy(stages->uses);
  g_ptr_array_free(stages->moves, TRUE);
  g_free(stages->holder);
  g_free(stages);
}

/*
** {==================================================================
** Use of the engines
** ===================================================================
*/

/* the stage that it has, or will have */
static EndpointStage coming_stage(const Stages *stages,
                                  const Endpoint *endpoint, gint64 now) {
  EndpointStage stage = endpoint->record.stage;
  if (!endpoint_is_changing_stage(stages->router->endpoints, endpoint, now))
    return stage;
  return stage == STAGE_PREFILL ? STAGE_DECODE : STAGE_PREFILL;
}

static gboolean is_counted(const Endpoint *endpoint, const Service *service) {
  return !endpoint_is_leaving(endpoint) &&
         endpoint->record.stage != STAGE_NONE &&
         strcmp(endpoint->record.service, service->name) == 0;
}

/* what the engines do at this moment */
static StageUse look(const Stages *stages, const Service *service,
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
    if (coming_stage(stages, endpoint, now) == STAGE_PREFILL)
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

static UseAverage *average_of(Stages *stages, const Service *service,
                              gint64 now) {
  UseAverage *average = g_hash_table_lookup(stages->uses, service->name);
  if (average == NULL) {
    average = g_new0(UseAverage, 1);
    average->looked_at = now;
    average->used_from = now;
    g_hash_table_insert(stages->uses, g_strdup(service->name), average);
  }
  return average;
}

/* the present use goes into the averages, and they into it */
static void smooth(UseAverage *average, StageUse *use, gint64 now) {
  double age = (double)(now - average->looked_at);
  double weight = 1 - exp(-age / AVERAGE);
  average->prefill_busy +=
      weight * (use->prefill_busy - average->prefill_busy);
  average->prompts += weight * (use->prompts - average->prompts);
  average->decode_used += weight * (use->decode_used - average->decode_used);
  average->prefill_peak = MAX(average->prefill_busy,
                              average->prefill_peak * exp(-age / PEAK_DECAY));
  average->looked_at = now;
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

static gboolean is_moving(const Stages *stages, const char *endpoint) {
  guint i;
  for (i = 0; i < stages->moves->len; i++) {
    if (strcmp(((const Move *)stages->moves->pdata[i])->endpoint, endpoint) ==
        0)
      return TRUE;
  }
  return FALSE;
}

/* engines of that stage in a zone */
static guint count_in_zone(const Stages *stages, const Service *service,
                           EndpointStage stage, const char *zone, gint64 now) {
  const EndpointTable *table = stages->router->endpoints;
  guint count = 0;
  guint i;
  for (i = 0; i < table->all->len; i++) {
    const Endpoint *endpoint = table->all->pdata[i];
    count += is_counted(endpoint, service) &&
             strcmp(endpoint->record.zone, zone) == 0 &&
             coming_stage(stages, endpoint, now) == stage;
  }
  return count;
}

/* the best engine to change: of the zone that has most, least at work */
static Endpoint *pick(const Stages *stages, const Service *service,
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
        is_moving(stages, endpoint->record.id))
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

static void name_move(Stages *stages, Endpoint *endpoint, EndpointStage to,
                      const Service *service, gint64 now) {
  Move *move = g_new0(Move, 1);
  move->endpoint = g_strdup(endpoint->record.id);
  move->to = to;
  move->switch_time = service->switch_time;
  move->due = now + ANNOUNCE;
  endpoint->changing_to = to;
  endpoint->changing_until =
      now + SWITCH_PATIENCE * service->switch_time + SWITCH_GRACE;
  g_ptr_array_add(stages->moves, move);
  stages->router->load_version++;
}

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
         (endpoint = pick(stages, service, from, now)) != NULL) {
    name_move(stages, endpoint, to, service, now);
    named++;
  }
  router_log(stages->router, MP_LOG_ORDER_ROUND,
             " service=%s to=%s wanted=%d named=%u fence=%" G_GINT64_FORMAT,
             service->name, stage_name(to), ABS(wanted), named,
             lease_fence(&stages->lease));
  stages->rest_until = now + ROUND_REST;
}

static void take_lease(Stages *stages, gint64 now) {
  StoreCall call;
  if (lease_begin_call(&stages->lease, &call, &stages->record, now))
    stages->router->host.lease_call(stages->router->host.data, &call);
}

/* how long a need must last until this candidate acts on it */
static gint64 patience(int wanted, guint before) {
  gint64 least = wanted < 0 ? NEED_LASTS_BACK : NEED_LASTS;
  return least + before * NEED_LASTS_EACH;
}

/* since when there are runs at all */
static void settle(UseAverage *average, const StageUse *use, gint64 now) {
  if (use->decode_used < LEAST_USE)
    average->used_from = now;
}

static void look_at(Stages *stages, const Service *service, guint before,
                    gint64 now) {
  UseAverage *average = average_of(stages, service, now);
  StageUse use = look(stages, service, now);
  int wanted;
  smooth(average, &use, now);
  wanted = stage_plan(&use);
  settle(average, &use, now);
  if (wanted == 0 || now < stages->rest_until ||
      now - average->used_from < SETTLE) {
    average->needed_from = 0;
    return;
  }
  if (average->needed_from == 0)
    average->needed_from = now;
  if (now - average->needed_from < patience(wanted, before))
    return;
  if (lease_is_held(&stages->lease, ROUND_MARGIN, now))
    begin_round(stages, service, wanted, now);
  else
    take_lease(stages, now);
}

static void look_at_all(Stages *stages, gint64 now) {
  const RouteTable *routes = stages->router->routes;
  guint before = peer_loads_count_lower_addresses(
      stages->router->endpoints->peers, stages->self, now);
  guint i;
  if (routes == NULL || before >= CANDIDATES || stages->router->stopping)
    return;
  for (i = 0; i < routes->services->len; i++) {
    const Service *service = routes->services->pdata[i];
    if (service->is_engine && service->switch_time > 0 &&
        service->kv_tokens > 0)
      look_at(stages, service, before, now);
  }
}

/* }================================================================== */

/*
** {==================================================================
** One change
** ===================================================================
*/

static Endpoint *endpoint_of(const Stages *stages, const Move *move) {
  return endpoint_table_get(stages->router->endpoints, move->endpoint);
}

/* give the change up; the engine may be sent work again */
static void give_up(Stages *stages, Move *move, gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, move);
  if (endpoint != NULL) {
    endpoint->changing_until = 0;
    endpoint->no_order_before = now + REFUSED_REST;
  }
  stages->router->load_version++;
  g_ptr_array_remove(stages->moves, move);
}

static gboolean may_send(const Endpoint *endpoint, DispatchKind kind,
                         gint64 now) {
  return endpoint != NULL && gate_check(endpoint, kind, now) == GATE_OPEN;
}

static void send(Stages *stages, Move *move, Endpoint *endpoint,
                 const StageOrder *order, gint64 now) {
  Dispatch dispatch = {0};
  dispatch.kind = order != NULL ? DISPATCH_ORDER : DISPATCH_REPORT;
  dispatch.connect_timeout = ORDER_CONNECT;
  dispatch.order = order;
  move->dispatch = dispatcher_send(stages->router, &dispatch, endpoint, now);
}

static void ask(Stages *stages, Move *move, gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, move);
  if (!may_send(endpoint, DISPATCH_REPORT, now)) {
    give_up(stages, move, now);
    return;
  }
  move->step = MOVE_ASKED;
  send(stages, move, endpoint, NULL, now);
}

static void log_order(const Stages *stages, const Move *move,
                      mp_EventNo number, const char *outcome, int status) {
  router_log(stages->router, number,
             " endpoint=%s to=%s outcome=%s status=%d fence=%" G_GINT64_FORMAT,
             move->endpoint, stage_name(move->to), outcome, status,
             lease_fence(&stages->lease));
}

/* the engine has told its state */
static void asked(Stages *stages, Move *move, const EngineReport *report,
                  gint64 now) {
  Endpoint *endpoint = endpoint_of(stages, move);
  StageOrder order = {move->to, stages->holder, lease_fence(&stages->lease),
                      0};
  if (!may_send(endpoint, DISPATCH_ORDER, now) || report == NULL ||
      report->busy || report->stage == move->to ||
      !lease_is_held(&stages->lease, ORDER_MARGIN, now)) {
    log_order(stages, move, MP_LOG_ORDER_FAIL, "not_sent", 0);
    give_up(stages, move, now);
    return;
  }
  order.sequence = report->sequence;
  move->step = MOVE_ORDERED;
  router_count(stages->router, ORDERS);
  log_order(stages, move, MP_LOG_ORDER_SENT, "-", 0);
  send(stages, move, endpoint, &order, now);
}

/* a newer holder is at work: what is not sent yet is never sent */
static void stop_all(Stages *stages, gint64 now) {
  lease_give_up(&stages->lease, now);
  while (stages->moves->len > 0)
    give_up(stages, stages->moves->pdata[0], now);
}

/* an order without an answer may have been taken, now or later */
static void ordered(Stages *stages, Move *move, const Outcome *outcome,
                    gint64 now) {
  gboolean taken = outcome->kind == OUTCOME_ANSWER &&
                   (outcome->status == 200 || outcome->status == 202);
  log_order(stages, move, taken ? MP_LOG_ORDER_DONE : MP_LOG_ORDER_FAIL,
            outcome_name(outcome->kind), outcome->status);
  if (outcome->kind == OUTCOME_ANSWER && outcome->status == 412)
    stop_all(stages, now);
  else if (taken || outcome->kind == OUTCOME_BROKEN)
    g_ptr_array_remove(stages->moves, move);
  else
    give_up(stages, move, now);
}

gboolean stages_handle_outcome(Stages *stages, const Outcome *outcome,
                               gint64 now) {
  guint i;
  for (i = 0; i < stages->moves->len; i++) {
    Move *move = stages->moves->pdata[i];
    if (move->dispatch != outcome->dispatch || move->step == MOVE_NAMED)
      continue;
    if (move->step == MOVE_ASKED)
      asked(stages, move,
            outcome->kind == OUTCOME_ANSWER ? outcome->report : NULL, now);
    else
      ordered(stages, move, outcome, now);
    return TRUE;
  }
  return FALSE;
}

/* }================================================================== */

void stages_drop_changes(Stages *stages, const char *endpoint) {
  guint i = 0;
  while (i < stages->moves->len) {
    const Move *move = stages->moves->pdata[i];
    if (strcmp(move->endpoint, endpoint) == 0)
      g_ptr_array_remove_index(stages->moves, i);
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
  stages->next_look = now;
}

/* the first that is due; asking may remove it */
static Move *due_move(const Stages *stages, gint64 now) {
  guint i;
  for (i = 0; i < stages->moves->len; i++) {
    Move *move = stages->moves->pdata[i];
    if (move->step == MOVE_NAMED && move->due <= now)
      return move;
  }
  return NULL;
}

void stages_tick(Stages *stages, gint64 now) {
  Move *move;
  while ((move = due_move(stages, now)) != NULL)
    ask(stages, move, now);
  if (now < stages->next_look)
    return;
  stages->next_look = now + LOOK;
  look_at_all(stages, now);
}

gint64 stages_next_tick(const Stages *stages) {
  gint64 next = stages->next_look;
  guint i;
  for (i = 0; i < stages->moves->len; i++) {
    const Move *move = stages->moves->pdata[i];
    if (move->step == MOVE_NAMED)
      next = MIN(next, move->due);
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
