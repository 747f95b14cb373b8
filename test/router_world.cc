/*
** router_world.cc
** World: one real Router with a fake host, in virtual time, for tests
*/

#include <algorithm>
#include <utility>

#include "router_world.h"

namespace routing {

void World::on_dispatch(void *data, const Dispatch *dispatch) {
  auto *world = static_cast<World *>(data);
  SentDispatch sent;
  sent.number = dispatch->number;
  sent.kind = dispatch->kind;
  sent.request = dispatch->request;
  sent.endpoint = dispatch->endpoint;
  sent.life = dispatch->life;
  sent.deadline_ms = dispatch->deadline_ms;
  sent.handle = dispatch->handle != nullptr ? dispatch->handle : "";
  sent.last_event =
      dispatch->last_event != nullptr ? dispatch->last_event : "";
  sent.connect_timeout = dispatch->connect_timeout;
  sent.via = dispatch->via;
  sent.stream = dispatch->stream;
  sent.urgency =
      dispatch->has_urgency ? static_cast<int>(dispatch->urgency) : -1;
  sent.account = dispatch->account != nullptr ? dispatch->account : "";
  if (dispatch->order != nullptr) {
    sent.order_stage = dispatch->order->stage;
    sent.fence = dispatch->order->fence;
    sent.sequence = dispatch->order->sequence;
  }
  if (dispatch->kind == DISPATCH_CHECK)
    world->checks.push_back(sent);
  else
    world->dispatches.push_back(sent);
}

void World::on_cancel(void *data, guint64 dispatch) {
  auto *world = static_cast<World *>(data);
  for (auto &sent : world->dispatches) {
    if (sent.number == dispatch)
      sent.cancelled = true;
  }
}

void World::on_answer(void *data, guint64 request, const Outcome *outcome) {
  auto *world = static_cast<World *>(data);
  CallerResult &ended = world->ended[request];
  ended.at = world->now;
  switch (outcome->kind) {
  case OUTCOME_STREAM_HEAD:
    ended.heads++;
    break;
  case OUTCOME_STREAM_PIECE: {
    auto it = world->held.find(request);
    (it != world->held.end() ? it->second.events : ended.events)
        .emplace_back(outcome->event);
    break;
  }
  default:
    ended.answers++;
    ended.status = outcome->status;
  }
}

void World::on_refuse(void *data, guint64 request, const Refusal *refusal) {
  auto *world = static_cast<World *>(data);
  CallerResult &ended = world->ended[request];
  ended.refusals++;
  ended.refusal = refusal->kind;
  ended.retry_after_ms = refusal->retry_after_ms;
  ended.at = world->now;
}

void World::on_break_off(void *data, guint64 request) {
  auto *world = static_cast<World *>(data);
  world->ended[request].broken_off++;
}

void World::on_log(void *data, mp_EventNo number, const char *fields) {
  auto *world = static_cast<World *>(data);
  world->log.push_back(std::to_string(static_cast<int>(number)) + fields);
}

void World::on_note(void *data, guint32 endpoint, guint32 tokens) {
  auto *world = static_cast<World *>(data);
  world->notes.push_back({0, endpoint, tokens});
}

void World::on_message(void *data, mp_Addr to, const mp_Msg *message) {
  auto *world = static_cast<World *>(data);
  world->messages.emplace_back(to, *message);
}

void World::on_hold(void *data, guint64 request, gboolean holds) {
  auto *world = static_cast<World *>(data);
  if (holds) {
    world->held[request].since = world->now;
    return;
  }
  auto it = world->held.find(request);
  if (it == world->held.end())
    return;
  world->longest_hold =
      std::max(world->longest_hold, world->now - it->second.since);
  for (std::string &event : it->second.events)
    world->ended[request].events.push_back(std::move(event));
  world->held.erase(it);
}

void World::on_lease_call(void *data, const StoreCall *call) {
  auto *world = static_cast<World *>(data);
  LeaseCallRecord record;
  record.operation = call->operation;
  record.revision = call->position.revision;
  if (call->lease != nullptr) {
    record.holder = call->lease->holder;
    record.term = call->lease->term;
  }
  world->lease_calls.push_back(record);
}

World::World(guint32 slack, double ratio, gint64 lease_length,
             const char *self, gint64 proof_age_max, const char *zone,
             guint64 seed, bool overload_control) {
  RouterHost host = {this,       on_dispatch,  on_cancel,    on_answer,
                     on_refuse,  on_break_off, on_log,       on_note,
                     on_message, on_hold,      on_lease_call};
  RouterOptions options = {};
  options.zone = zone;
  options.seed = seed;
  options.retry_ratio = ratio;
  options.retry_slack = slack;
  options.retry_window = 10 * second;
  options.instance = "me";
  options.self = mp_addr_parse(self);
  options.lease_length = lease_length;
  options.limits = {0.1, 1000, 8 * second};
  options.proof_age_max = proof_age_max;
  options.overload_control = overload_control;
  options.news_age_max = news_age_max;
  router = router_new(&options, &host, now);
  router_set_instances(router, 1, 1);
  router_store_answered(router, now);
}

World::~World() {
  router_free(router);
}

static void add_route(RouteTable *table, const char *prefix, RouteKind kind,
                      bool resumable, guint32 attempts, const char *service,
                      gint64 timeout) {
  Route *route = route_table_add_route(table, prefix, strlen(prefix));
  route->name = g_strdup(prefix);
  route->host = g_strdup("host");
  route->prefix = g_strdup(prefix);
  route->kind = kind;
  route->resumable = resumable;
  route->attempts = attempts;
  route->timeout = timeout;
  route->objective = 900 * ms;
  route->gap = 300 * ms;
  route_add_target(route, service, 1);
}

void World::configure(guint64 version, gint64 timeout, gint64 objective) {
  RouteTable *table = route_table_new();
  Service *app = route_table_add_service(table);
  Service *llm;
  app->name = g_strdup("app");
  app->max_connections = max_connections;
  llm = route_table_add_service(table);
  llm->name = g_strdup("llm");
  llm->is_engine = TRUE;
  llm->kv_tokens = 10000;
  llm->tokens_per_event = 10;
  llm->handle_lifetime = 500 * ms;
  llm->switch_time = 6 * second;
  table->version = version;
  add_route(table, "/safe/", ROUTE_SAFE, false, 2, "app", timeout);
  add_route(table, "/unsafe/", ROUTE_UNSAFE, false, 1, "app", timeout);
  add_route(table, "/stream/", ROUTE_STREAM, false, 1, "llm", timeout);
  add_route(table, "/resume/", ROUTE_STREAM, true, 2, "llm", timeout);
  add_route(table, "/public/", ROUTE_SAFE, false, 2, "app", timeout);
  static_cast<Route *>(table->routes->pdata[4])->is_public = TRUE;
  for (const Client &client : clients) {
    Account *account = route_table_add_account(table);
    account->name = g_strdup(client.name);
    account->unit = ACCOUNT_TOKENS;
    account->plain_tokens = 200;
    account->rate = client.rate;
    account->burst = client.burst;
    account->has_priority = client.priority >= 0;
    account->priority = static_cast<guint32>(std::max(client.priority, 0));
    for (const char *client_key : client.keys)
      route_table_add_key(table, client_key);
  }
  for (guint i = 0; i < table->routes->len; i++) {
    auto *route = static_cast<Route *>(table->routes->pdata[i]);
    route->objective = objective;
    auto stated = priorities.find(route->prefix);
    route->priority = stated != priorities.end() ? stated->second : 0;
  }
  router_set_routes(router, table, now);
  route_table_unref(table);
}

void World::endpoint(const Place &place, bool ready, bool gone) {
  EndpointRecord record = {};
  record.id = const_cast<char *>(place.id);
  record.service = const_cast<char *>(place.service);
  record.zone = const_cast<char *>(place.zone);
  record.address = mp_addr_parse("10.0.0.1:80");
  record.ready = ready;
  record.stage = place.stage;
  record.slots = slots;
  record.started_unix_ms = started_unix_ms;
  record.software = const_cast<char *>(software);
  record.position = store_position(era, revision);
  router_set_endpoint(router, &record, gone, now);
}

void World::add_default_endpoints() {
  configure();
  endpoint({"app-1", "app", "a", STAGE_NONE});
  endpoint({"app-2", "app", "b", STAGE_NONE});
  endpoint({"pre-1", "llm", "a", STAGE_PREFILL});
  endpoint({"dec-1", "llm", "a", STAGE_DECODE});
  endpoint({"dec-2", "llm", "a", STAGE_DECODE});
}

guint64 World::send(const std::string &path, CallerRequest call) {
  std::string own_id = "r" + std::to_string(++last_number);
  if (!id.empty())
    own_id = std::exchange(id, "");
  call.number = last_number;
  call.id = own_id.c_str();
  call.host = "host";
  call.path = path.c_str();
  call.content = content != 0 ? content : last_number << 32;
  call.parts_count = static_cast<guint>(parts.size());
  std::copy(parts.begin(), parts.end(), call.parts);
  call.key = key;
  call.keys = key != nullptr ? keys : 0;
  router_request(router, &call, now);
  return last_number;
}

guint64 World::request(const std::string &path, gint64 deadline_ms,
                       guint32 prompt, guint32 output) {
  CallerRequest call = {};
  call.deadline_ms = deadline_ms;
  call.prompt_tokens = prompt;
  call.output_tokens = output;
  call.length_hint = length_hint;
  return send(path, call);
}

guint64 World::request_resumption(const std::string &path, guint64 session,
                                  const char *first_attempt,
                                  const char *last_event) {
  CallerRequest call = {};
  call.deadline_ms = 8000;
  call.prompt_tokens = 1000;
  call.output_tokens = 500;
  call.session = session;
  call.resumes = TRUE;
  call.resumed_attempt = first_attempt;
  guint64 number = send(path, call);
  if (last_event != nullptr)
    resumed_after[number] = last_event;
  return number;
}

guint64 World::next_request_number() const {
  return last_number + 1;
}

void World::hangup(guint64 number) {
  router_hangup(router, number, now);
}

void World::advance(gint64 span) {
  gint64 until = now + span;
  while (router_next_tick(router) <= until) {
    now = std::max(now, router_next_tick(router));
    router_tick(router, now);
  }
  now = until;
}

EndpointSignals signals_served() {
  EndpointSignals signals = {};
  signals.served = TRUE;
  return signals;
}

EndpointSignals signals_rate(double rate) {
  EndpointSignals signals = signals_served();
  signals.rate = rate < 0 ? SIGNAL_ABSENT : SIGNAL_GIVEN;
  signals.rate_per_second = std::max(rate, 0.0);
  return signals;
}

EndpointSignals signals_leaving() {
  EndpointSignals signals = signals_served();
  signals.leaving = SIGNAL_GIVEN;
  return signals;
}

EndpointSignals signals_rest(gint64 time) {
  EndpointSignals signals = {};
  signals.rest = SIGNAL_GIVEN;
  signals.rest_time = time;
  return signals;
}

void World::signal(guint64 dispatch, const EndpointSignals &signals) {
  const SentDispatch &target = sent(dispatch);
  router_endpoint_signals(router, target.endpoint.c_str(), target.life,
                          &signals, now);
}

static bool is_final_outcome(OutcomeKind kind) {
  return kind != OUTCOME_STREAM_HEAD && kind != OUTCOME_STREAM_PIECE;
}

void World::outcome(guint64 dispatch, OutcomeKind kind, int status) {
  Outcome outcome = {};
  outcome.dispatch = dispatch;
  outcome.kind = kind;
  outcome.status = status;
  outcome.was_kept = was_kept;
  outcome.ends_with_close = ends_with_close;
  for (auto &sent : dispatches) {
    if (sent.number == dispatch && is_final_outcome(kind))
      sent.ended = true;
  }
  router_outcome(router, &outcome, now);
}

void World::carrier_failed(guint64 dispatch) {
  Outcome outcome = {};
  outcome.dispatch = dispatch;
  outcome.kind = OUTCOME_UNREACHABLE;
  outcome.carrier_failed = TRUE;
  router_outcome(router, &outcome, now);
}

void World::prefilled(guint64 dispatch, const char *handle) {
  Outcome outcome = {};
  outcome.dispatch = dispatch;
  outcome.kind = OUTCOME_ANSWER;
  outcome.status = 200;
  outcome.handle = handle;
  outcome.was_kept = was_kept;
  router_outcome(router, &outcome, now);
}

void World::piece(guint64 dispatch, const char *event) {
  Outcome outcome = {};
  outcome.dispatch = dispatch;
  outcome.kind = OUTCOME_STREAM_PIECE;
  outcome.event = event;
  router_outcome(router, &outcome, now);
}

void World::reported(guint64 dispatch, EndpointStage stage, gint64 sequence,
                     bool busy) {
  EngineReport report = {stage, busy, sequence};
  Outcome outcome = {};
  outcome.dispatch = dispatch;
  outcome.kind = OUTCOME_ANSWER;
  outcome.status = 200;
  outcome.report = &report;
  router_outcome(router, &outcome, now);
}

void World::lease(StoreStatus status, gint64 revision, const char *holder,
                  guint64 term) {
  LeaseReply reply = {};
  reply.status = status;
  reply.position = store_position(era, revision);
  reply.era = era;
  reply.record.holder = const_cast<char *>(holder);
  reply.record.term = term;
  router_lease_reply(router, &reply, now);
}

SentDispatch &World::last() {
  return dispatches.back();
}

const SentDispatch &World::sent(guint64 dispatch) const {
  return *std::find_if(
      dispatches.begin(), dispatches.end(),
      [=](const SentDispatch &s) { return s.number == dispatch; });
}

unsigned World::runs(guint64 request) const {
  return static_cast<unsigned>(std::count_if(
      dispatches.begin(), dispatches.end(), [=](const SentDispatch &s) {
        return s.request == request && s.kind == DISPATCH_RUN;
      }));
}

CallerResult &World::end(guint64 request) {
  return ended[request];
}

} // namespace routing
