/*
** rate_fleet.cc
** Fleet: several instances in front of plain endpoints, in virtual time
*/

#include <algorithm>
#include <cmath>
#include <cstring>

#include "rate_fleet.h"

namespace rates {

/* step of the virtual clock: about the time of a datagram and its handling */
static constexpr gint64 time_step = 5 * ms;
/* more instances than this use summaries (RELAY_FULL_MESH_MAX) */
static constexpr unsigned full_mesh_max = 30;
/* as in io/load_exchange.c: minimum interval of digests, for each receiver */
static constexpr gint64 digest_interval_per_peer = 700;
static constexpr gint64 plain_interval_min = 25 * ms;
/* an instance counts as disturbed for this long after a fault or its end */
static constexpr gint64 disturbance_time = 3 * second;
static constexpr gint64 refresh_interval = 500 * ms;
static constexpr gint64 summary_interval = 200 * ms;
static constexpr gint64 rate_sums_interval_min = 100 * ms;
/*
** Idle connections are closed after the first time; the second one is the
** minimum interval of checks for idle connections that other instances need
** (io/gateway.c).
*/
static constexpr gint64 idle_connection_timeout = 4400 * ms;
static constexpr gint64 trim_interval_min = 100 * ms;
static const char *const zone_names[] = {"a", "b", "c"};

Fleet::Fleet(const FleetOptions &chosen)
    : demand(chosen.demand), options(chosen), random(chosen.seed),
      instances(chosen.instances) {
  for (unsigned i = 0; i < options.endpoints; i++)
    endpoints.emplace_back("app-" + std::to_string(i + 1),
                           zone_names[i % options.zones]);
  for (unsigned i = 0; i < instances.size(); i++) {
    instances[i].address = "10.0." + std::to_string(i / 250) + "." +
                           std::to_string(i % 250 + 1) + ":7000";
    instances[i].zone = zone_names[i % options.zones];
    start(i);
  }
}

bool Fleet::uses_summaries() const {
  return instances.size() > full_mesh_max;
}

void Fleet::start(unsigned i) {
  Instance &instance = instances[i];
  unsigned near = 0;
  for (const Instance &other : instances)
    near += !uses_summaries() || other.zone == instance.zone;
  instance.world = std::make_unique<World>(
      options.retry_slack, options.retry_ratio, 0, instance.address.c_str(), 0,
      instance.zone.c_str());
  instance.incarnation++;
  instance.disturbed_at = now;
  for (unsigned k = 0; k < instance.connections.size(); k++)
    endpoints[k].connections -= instance.connections[k];
  instance.connections.assign(endpoints.size(), 0);
  instance.idle_until.assign(endpoints.size(), {});
  instance.handled_dispatches = 0;
  instance.asked_at.clear();
  instance.load_version_sent = 0;
  instance.sequence = static_cast<guint32>(random());
  instance.world->now = now;
  instance.world->max_connections = options.max_connections;
  instance.world->configure();
  instance.world->started_unix_ms = 1000;
  for (const PlainEndpoint &endpoint : endpoints)
    instance.world->endpoint(
        {endpoint.id.c_str(), "app", endpoint.zone.c_str(), STAGE_NONE});
  router_set_instances(instance.world->router,
                       static_cast<unsigned>(instances.size()), near);
}

double Fleet::random_fraction() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

void Fleet::set_rate(unsigned i, double rate) {
  endpoints[i].limit = rate;
  endpoints[i].rate_changes.push_back({now, rate});
}

void Fleet::kill(double share) {
  for (unsigned i = 0; i < instances.size(); i++) {
    if (random_fraction() < share)
      start(i);
  }
}

void Fleet::set_partition(unsigned first) {
  partition_start = first;
  for (Instance &instance : instances)
    instance.disturbed_at = now;
}

void Fleet::set_frozen(unsigned i, bool frozen) {
  instances[i].is_frozen = frozen;
  instances[i].disturbed_at = now;
}

void Fleet::send_caller_requests() {
  double first_share = instances.size() > 1 ? options.at_first : 1;
  if (!has_callers)
    return;
  requests_due += demand * static_cast<double>(time_step) / second;
  for (; requests_due >= 1; requests_due--) {
    unsigned i = random_fraction() < first_share
                     ? 0
                     : static_cast<unsigned>(random() % instances.size());
    if (instances[i].is_frozen)
      continue;
    asked++;
    instances[i].asked_at[instances[i].world->next_request_number()] = now;
    instances[i].world->request(options.path, 1500);
    handle_new_dispatches(i);
  }
}

/* Delivers the new dispatches of the instance to their endpoints. */
void Fleet::handle_new_dispatches(unsigned i) {
  Instance &instance = instances[i];
  for (; instance.handled_dispatches < instance.world->dispatches.size();
       instance.handled_dispatches++) {
    const SentDispatch &sent =
        instance.world->dispatches[instance.handled_dispatches];
    for (unsigned k = 0; k < endpoints.size(); k++) {
      if (endpoints[k].id != sent.endpoint)
        continue;
      PlainEndpoint &endpoint = endpoints[k];
      if (options.max_connections > 0 && !open_connection(i, k)) {
        instance.world->outcome(sent.number, OUTCOME_UNREACHABLE);
        break;
      }
      bool is_refusal =
          endpoint.rest != 0 && random_fraction() < endpoint.resting;
      endpoint.arrivals.push_back(
          {now, i,
           now - instance.disturbed_at < disturbance_time ||
               partition_start != 0,
           instance.asked_at[sent.request], instance.incarnation});
      runs.push_back({now + (is_refusal ? endpoint.rest_work : options.work),
                      i, sent.number, k, instance.incarnation, is_refusal,
                      endpoint.rest});
    }
  }
}

/* Returns the signals of the answer, and records them. */
EndpointSignals Fleet::signals_of(const Run &run) {
  PlainEndpoint &endpoint = endpoints[run.endpoint];
  EndpointSignals signals = run.is_refusal
                                ? routing::signals_rest(run.rest)
                                : routing::signals_rate(endpoint.limit);
  if (run.is_refusal)
    endpoint.rests.push_back({now, run.instance, run.incarnation, run.rest});
  if (signals.rate == SIGNAL_GIVEN) {
    endpoint.first_rate_answer_at.insert({run.instance, now});
    if (endpoint.rate_named_at == 0)
      endpoint.rate_named_at = now;
  }
  if (endpoint.is_leaving) {
    signals.leaving = SIGNAL_GIVEN;
    if (!run.is_refusal)
      endpoint.leaving_answers.push_back(
          {now, run.instance, run.incarnation, 0});
  }
  return signals;
}

void Fleet::finish_run(const Run &run) {
  Instance &instance = instances[run.instance];
  if (run.incarnation != instance.incarnation || instance.is_frozen)
    return;
  if (options.max_connections > 0)
    release_connection(run.instance, run.endpoint, true);
  instance.world->signal(run.dispatch, signals_of(run));
  if (run.is_refusal)
    instance.world->outcome(run.dispatch, OUTCOME_NOT_RUN, 503);
  else
    instance.world->outcome(run.dispatch, OUTCOME_ANSWER,
                            random_fraction() < options.failing ? 500 : 200);
  handle_new_dispatches(run.instance);
}

void Fleet::finish_due_runs() {
  std::deque<Run> due;
  std::deque<Run> later;
  for (const Run &run : runs)
    (run.ends <= now ? due : later).push_back(run);
  runs.swap(later);
  for (const Run &run : due)
    finish_run(run);
}

void Fleet::report_connections(unsigned i, unsigned k) {
  router_set_connections(
      instances[i].world->router, endpoints[k].id.c_str(),
      instances[i].connections[k],
      static_cast<guint>(instances[i].idle_until[k].size()));
}

/* Takes an idle connection or a new one; false: the endpoint resets it. */
bool Fleet::open_connection(unsigned i, unsigned k) {
  PlainEndpoint &endpoint = endpoints[k];
  if (!instances[i].idle_until[k].empty()) {
    instances[i].idle_until[k].pop_back();
  } else if (endpoint.connections >= options.max_connections) {
    endpoint.resets++;
    return false;
  } else {
    endpoint.connections++;
    instances[i].connections[k]++;
  }
  endpoint.connections_max =
      std::max(endpoint.connections_max, endpoint.connections);
  report_connections(i, k);
  return true;
}

/* As io/endpoint_links.c: the connection stays open and idle, or is closed. */
void Fleet::release_connection(unsigned i, unsigned k, bool may_stay_idle) {
  Instance &instance = instances[i];
  if (may_stay_idle && router_keeps_connection(instance.world->router,
                                               endpoints[k].id.c_str())) {
    instance.idle_until[k].push_back(now + idle_connection_timeout);
  } else {
    endpoints[k].connections--;
    instance.connections[k]--;
  }
  report_connections(i, k);
}

void Fleet::expire_connections(unsigned i) {
  Instance &instance = instances[i];
  bool is_trim_due = now - instance.trimmed_at >= trim_interval_min;
  if (is_trim_due)
    instance.trimmed_at = now;
  for (unsigned k = 0; k < endpoints.size(); k++) {
    const char *id = endpoints[k].id.c_str();
    while (!instance.idle_until[k].empty() &&
           (instance.idle_until[k].front() <= now ||
            (is_trim_due &&
             !router_keeps_connection(instance.world->router, id)))) {
      instance.idle_until[k].pop_front();
      release_connection(i, k, false);
    }
  }
}

void Fleet::list(unsigned i, bool ready) {
  const PlainEndpoint &plain = endpoints[i];
  for (Instance &instance : instances)
    instance.world->endpoint(
        {plain.id.c_str(), "app", plain.zone.c_str(), STAGE_NONE}, ready);
}

unsigned Fleet::arrivals_after_leaving(unsigned i, gint64 after,
                                       bool of_all) const {
  const PlainEndpoint &endpoint = endpoints[i];
  unsigned count = 0;
  for (const Arrival &arrival : endpoint.arrivals) {
    bool is_late = std::any_of(
        endpoint.leaving_answers.begin(), endpoint.leaving_answers.end(),
        [&](const SignalledAnswer &answer) {
          bool applies = of_all || (answer.instance == arrival.instance &&
                                    answer.incarnation == arrival.incarnation);
          return applies && arrival.asked_at > answer.at + after;
        });
    count += is_late;
  }
  return count;
}

unsigned Fleet::max_arrivals_in_rest(unsigned i) const {
  constexpr gint64 in_flight_time = 500 * ms;
  const PlainEndpoint &endpoint = endpoints[i];
  unsigned most = 0;
  for (const SignalledAnswer &answer : endpoint.rests) {
    unsigned count = 0;
    for (const Arrival &arrival : endpoint.arrivals)
      count += arrival.instance == answer.instance &&
               arrival.incarnation == answer.incarnation &&
               arrival.at > answer.at + in_flight_time &&
               arrival.at <= answer.at + answer.rest;
    most = std::max(most, count);
  }
  return most;
}

bool Fleet::is_delivered(unsigned from, unsigned to) {
  bool is_partitioned = partition_start != 0 &&
                        (from < partition_start) != (to < partition_start);
  return !is_partitioned && !instances[from].is_frozen &&
         !instances[to].is_frozen && random_fraction() >= options.loss;
}

/*
** The relay of a data centre is its first instance that is not frozen; in a
** partition each side has its own.
*/
bool Fleet::is_relay(unsigned i) const {
  for (unsigned k = 0; k < i; k++) {
    bool same_side =
        partition_start == 0 || (k < partition_start) == (i < partition_start);
    if (instances[k].zone == instances[i].zone && same_side &&
        !instances[k].is_frozen)
      return false;
  }
  return true;
}

bool Fleet::is_direct_peer(unsigned from, unsigned to) const {
  return from != to &&
         (!uses_summaries() || instances[from].zone == instances[to].zone);
}

/* Returns how many instances get the digests of this one. */
gint64 Fleet::direct_peer_count(unsigned i) const {
  gint64 count = 0;
  for (unsigned k = 0; k < instances.size(); k++)
    count += is_direct_peer(i, k);
  return count;
}

void Fleet::send_news(unsigned from, unsigned to, const mp_RateUpdate &news) {
  messages++;
  if (has_rate_news && is_delivered(from, to))
    rate_news_in_flight.push_back(
        {now + options.rate_news_delay, to,
         mp_addr_parse(instances[from].address.c_str()), news});
}

void Fleet::deliver_news() {
  for (;
       !rate_news_in_flight.empty() && rate_news_in_flight.front().due <= now;
       rate_news_in_flight.pop_front()) {
    const RateNewsInFlight &message = rate_news_in_flight.front();
    if (!instances[message.to].is_frozen)
      router_receive_rates(instances[message.to].world->router, message.from,
                           &message.news, now);
  }
}

/* Sends rates when they have changed, and unchanged ones each 500 ms. */
void Fleet::send_rates(unsigned i) {
  Instance &instance = instances[i];
  mp_RateUpdate news = {};
  guint64 version = router_rates_version(instance.world->router);
  gint64 interval = digest_interval_per_peer * direct_peer_count(i);
  if (now - instance.rates_sent_at <
      (version == instance.rates_version_sent ? refresh_interval : interval))
    return;
  instance.rates_version_sent = version;
  instance.rates_sent_at = now;
  router_report_rates(instance.world->router, FALSE, &news, now);
  for (unsigned k = 0; news.n > 0 && k < instances.size(); k++) {
    if (!is_direct_peer(i, k))
      continue;
    send_news(i, k, news);
  }
}

void Fleet::send_rate_sums(unsigned i) {
  Instance &instance = instances[i];
  mp_RateUpdate news = {};
  if (now - instance.rate_sums_sent_at < rate_sums_interval_min)
    return;
  instance.rate_sums_sent_at = now;
  router_report_rates(instance.world->router, TRUE, &news, now);
  news.relay = mp_addr_parse(instance.address.c_str());
  news.zone = g_str_hash(instance.zone.c_str());
  for (unsigned k = 0; news.n > 0 && k < instances.size(); k++) {
    if (instances[k].zone == instance.zone)
      continue;
    send_news(i, k, news);
  }
}

/* Returns the interval after the last digest, as io/load_exchange.c has it. */
gint64 Fleet::digest_interval(unsigned i) const {
  const Instance &instance = instances[i];
  gint64 interval = digest_interval_per_peer * direct_peer_count(i);
  if (router_load_version(instance.world->router) !=
      instance.load_version_sent)
    return interval;
  if (router_plain_version(instance.world->router) !=
      instance.plain_version_sent)
    return std::max(interval, plain_interval_min);
  return refresh_interval;
}

void Fleet::send_load_digest(unsigned i) {
  Instance &instance = instances[i];
  mp_LoadDigest digest = {};
  router_load_digest(instance.world->router, &digest, now);
  instance.load_version_sent = router_load_version(instance.world->router);
  instance.plain_version_sent = router_plain_version(instance.world->router);
  instance.digest_sent_at = now;
  instance.sequence++;
  for (unsigned k = 0; k < instances.size(); k++) {
    if (is_direct_peer(i, k) && is_delivered(i, k))
      router_peer_load(instances[k].world->router,
                       mp_addr_parse(instance.address.c_str()),
                       instance.sequence, &digest, now);
  }
}

void Fleet::send_load_summary(unsigned i) {
  Instance &instance = instances[i];
  mp_LoadSummary summary;
  router_load_summary(instance.world->router, &summary, now);
  summary.relay = mp_addr_parse(instance.address.c_str());
  summary.zone = g_str_hash(instance.zone.c_str());
  instance.summary_sent_at = now;
  for (unsigned k = 0; k < instances.size(); k++) {
    if (instances[k].zone != instance.zone && is_delivered(i, k))
      router_receive_summary(instances[k].world->router, instance.sequence,
                             &summary, now);
  }
}

void Fleet::exchange_news() {
  for (unsigned i = 0; i < instances.size(); i++) {
    Instance &instance = instances[i];
    if (instance.is_frozen)
      continue;
    if (now - instance.digest_sent_at >= digest_interval(i))
      send_load_digest(i);
    if (uses_summaries() &&
        now - instance.summary_sent_at >= summary_interval && is_relay(i))
      send_load_summary(i);
    send_rates(i);
    if (uses_summaries() && is_relay(i))
      send_rate_sums(i);
  }
}

void Fleet::pass(gint64 span) {
  gint64 until = now + span;
  while (now < until) {
    now += time_step;
    for (unsigned i = 0; i < instances.size(); i++) {
      World &world = *instances[i].world;
      if (instances[i].is_frozen)
        continue;
      world.now = now;
      if (router_next_tick(world.router) <= now)
        router_tick(world.router, now);
      handle_new_dispatches(i);
      if (options.max_connections > 0)
        expire_connections(i);
    }
    finish_due_runs();
    send_caller_requests();
    exchange_news();
    deliver_news();
    for (unsigned i = 0; i < instances.size(); i++) {
      for (const auto &entry : instances[i].world->ended) {
        answered += static_cast<unsigned>(entry.second.answers);
        refused += static_cast<unsigned>(entry.second.refusals);
        if (entry.second.refusals > 0)
          retry_after_ms.push_back(entry.second.retry_after_ms);
      }
      instances[i].world->ended.clear();
      instances[i].world->log.clear();
    }
  }
}

/*
** Returns how many requests the rates allow in [from, until); the first rate
** also holds for the time before it was named.
*/
static double allowance(const std::vector<RateChange> &rate_changes,
                        gint64 from, gint64 until) {
  double sum = 0;
  for (size_t k = 0; k < rate_changes.size(); k++) {
    gint64 begins = k == 0 ? from : std::max(from, rate_changes[k].at);
    gint64 ends = k + 1 < rate_changes.size()
                      ? std::min(until, rate_changes[k + 1].at)
                      : until;
    if (ends > begins)
      sum +=
          rate_changes[k].rate * static_cast<double>(ends - begins) / second;
  }
  return sum;
}

double Fleet::max_rate_excess(unsigned i, gint64 from, gint64 until,
                              double times, bool of_all) const {
  constexpr gint64 window = 4 * second;
  constexpr gint64 reaction_time = 500 * ms;
  const PlainEndpoint &endpoint = endpoints[i];
  std::deque<gint64> in;
  double worst = -HUGE_VAL;
  for (const Arrival &arrival : endpoint.arrivals) {
    auto first_answer = endpoint.first_rate_answer_at.find(arrival.instance);
    bool knows_rate = first_answer != endpoint.first_rate_answer_at.end() &&
                      arrival.at >= first_answer->second + reaction_time;
    if (!of_all && (!knows_rate || arrival.was_disturbed))
      continue;
    in.push_back(arrival.at);
    while (in.front() <= arrival.at - window)
      in.pop_front();
    if (arrival.at >= from && arrival.at < until)
      worst = std::max(worst,
                       static_cast<double>(in.size()) -
                           times * allowance(endpoint.rate_changes,
                                             arrival.at - window, arrival.at));
  }
  return worst;
}

unsigned Fleet::arrived(unsigned i, gint64 from, gint64 until) const {
  const auto &arrivals = endpoints[i].arrivals;
  return static_cast<unsigned>(
      std::count_if(arrivals.begin(), arrivals.end(), [=](const Arrival &a) {
        return a.at >= from && a.at < until;
      }));
}

} // namespace rates
