/*
** rate_fleet.cc
** Instances before endpoints that name the rate they take, in virtual time
*/

#include <algorithm>
#include <cmath>
#include <cstring>

#include "rate_fleet.h"

namespace rates {

/* time between two steps: about what a datagram takes, and its turn */
static constexpr gint64 step = 5 * ms;
/* more instances than this hear each other in sums (router/relay_group.h) */
static constexpr unsigned most_heard_at_once = 30;
/* as in io/load_exchange.c: between two digests, for each that hears them */
static constexpr gint64 interval_per_peer = 700;
static constexpr gint64 interval_plain = 25 * ms;
/* after the end of its trouble an instance is held to what was named */
static constexpr gint64 contact = 3 * second;
static constexpr gint64 refresh = 500 * ms;
static constexpr gint64 between_sums = 200 * ms;
static constexpr gint64 least_between_rate_sums = 100 * ms;
/* a resting connection is kept so long; between two looks for those that
 *others
 ** need (io/gateway.c) */
static constexpr gint64 kept = 4400 * ms;
static constexpr gint64 trim_pause = 100 * ms;
static const char *const zone_names[] = {"a", "b", "c"};

Fleet::Fleet(const FleetOptions &chosen)
    : demand(chosen.demand), options(chosen), random(chosen.seed),
      all(chosen.instances) {
  for (unsigned i = 0; i < options.endpoints; i++)
    endpoints.emplace_back("app-" + std::to_string(i + 1),
                           zone_names[i % options.zones]);
  for (unsigned i = 0; i < all.size(); i++) {
    all[i].address = "10.0." + std::to_string(i / 250) + "." +
                     std::to_string(i % 250 + 1) + ":7000";
    all[i].zone = zone_names[i % options.zones];
    start(i);
  }
}

bool Fleet::is_summing() const {
  return all.size() > most_heard_at_once;
}

void Fleet::start(unsigned i) {
  Instance &one = all[i];
  unsigned near = 0;
  for (const Instance &other : all)
    near += !is_summing() || other.zone == one.zone;
  one.world =
      std::make_unique<World>(options.retry_slack, options.retry_ratio, 0,
                              one.address.c_str(), 0, one.zone.c_str());
  one.life++;
  one.trouble_at = now;
  for (unsigned k = 0; k < one.connections.size(); k++)
    endpoints[k].connections -= one.connections[k];
  one.connections.assign(endpoints.size(), 0);
  one.resting.assign(endpoints.size(), {});
  one.seen = 0;
  one.asked.clear();
  one.told = 0;
  one.sequence = static_cast<guint32>(random());
  one.world->now = now;
  one.world->max_connections = options.max_connections;
  one.world->configure();
  one.world->started_unix_ms = 1000;
  for (const PlainEndpoint &endpoint : endpoints)
    one.world->endpoint(
        {endpoint.id.c_str(), "app", endpoint.zone.c_str(), STAGE_NONE});
  router_set_instances(one.world->router, static_cast<unsigned>(all.size()),
                       near);
}

double Fleet::chance() {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

void Fleet::name(unsigned i, double rate) {
  endpoints[i].limit = rate;
  endpoints[i].namings.push_back({now, rate});
}

void Fleet::kill(double share) {
  for (unsigned i = 0; i < all.size(); i++) {
    if (chance() < share)
      start(i);
  }
}

void Fleet::cut(unsigned at) {
  cut_at = at;
  for (Instance &one : all)
    one.trouble_at = now;
}

void Fleet::freeze(unsigned i, bool frozen) {
  all[i].is_frozen = frozen;
  all[i].trouble_at = now;
}

void Fleet::callers() {
  double others = all.size() > 1 ? options.at_first : 1;
  if (!has_callers)
    return;
  owed += demand * static_cast<double>(step) / second;
  for (; owed >= 1; owed--) {
    unsigned i =
        chance() < others ? 0 : static_cast<unsigned>(random() % all.size());
    if (all[i].is_frozen)
      continue;
    asked++;
    all[i].asked[all[i].world->next_request_number()] = now;
    all[i].world->request(options.path, 1500);
    meet(i);
  }
}

/* what the instance has sent since the last look arrives */
void Fleet::meet(unsigned i) {
  Instance &one = all[i];
  for (; one.seen < one.world->dispatches.size(); one.seen++) {
    const SentDispatch &sent = one.world->dispatches[one.seen];
    for (unsigned k = 0; k < endpoints.size(); k++) {
      if (endpoints[k].id != sent.endpoint)
        continue;
      PlainEndpoint &endpoint = endpoints[k];
      if (options.max_connections > 0 && !connect(i, k)) {
        one.world->outcome(sent.number, OUTCOME_UNREACHABLE);
        break;
      }
      bool turns_away = endpoint.rest != 0 && chance() < endpoint.resting;
      endpoint.arrivals.push_back(
          {now, i, now - one.trouble_at < contact || cut_at != 0,
           one.asked[sent.request], one.life});
      runs.push_back({now + (turns_away ? endpoint.rest_work : options.work),
                      i, sent.number, k, one.life, turns_away, endpoint.rest});
    }
  }
}

/* the signals of the answer, written down as told */
EndpointSignals Fleet::signals_of(const Run &run) {
  PlainEndpoint &endpoint = endpoints[run.endpoint];
  EndpointSignals signals = run.turns_away
                                ? routing::signals_rest(run.rest)
                                : routing::signals_rate(endpoint.limit);
  if (run.turns_away)
    endpoint.rests.push_back({now, run.instance, run.life, run.rest});
  if (signals.rate == SIGNAL_GIVEN) {
    endpoint.told.insert({run.instance, now});
    if (endpoint.rate_named_at == 0)
      endpoint.rate_named_at = now;
  }
  if (endpoint.is_leaving) {
    signals.leaving = SIGNAL_GIVEN;
    if (!run.turns_away)
      endpoint.leaving_answers.push_back({now, run.instance, run.life, 0});
  }
  return signals;
}

void Fleet::end_run(const Run &run) {
  Instance &one = all[run.instance];
  if (run.life != one.life || one.is_frozen)
    return;
  if (options.max_connections > 0)
    free_connection(run.instance, run.endpoint, true);
  one.world->signal(run.dispatch, signals_of(run));
  if (run.turns_away)
    one.world->outcome(run.dispatch, OUTCOME_NOT_RUN, 503);
  else
    one.world->outcome(run.dispatch, OUTCOME_ANSWER,
                       chance() < options.failing ? 500 : 200);
  meet(run.instance);
}

void Fleet::end_due_runs() {
  std::deque<Run> due;
  std::deque<Run> later;
  for (const Run &run : runs)
    (run.ends <= now ? due : later).push_back(run);
  runs.swap(later);
  for (const Run &run : due)
    end_run(run);
}

void Fleet::count_connections(unsigned i, unsigned k) {
  router_set_connections(all[i].world->router, endpoints[k].id.c_str(),
                         all[i].connections[k],
                         static_cast<guint>(all[i].resting[k].size()));
}

/* one that rests, or a new one; FALSE: the endpoint resets it */
bool Fleet::connect(unsigned i, unsigned k) {
  PlainEndpoint &endpoint = endpoints[k];
  if (!all[i].resting[k].empty()) {
    all[i].resting[k].pop_back();
  } else if (endpoint.connections >= options.max_connections) {
    endpoint.resets++;
    return false;
  } else {
    endpoint.connections++;
    all[i].connections[k]++;
  }
  endpoint.connections_max =
      std::max(endpoint.connections_max, endpoint.connections);
  count_connections(i, k);
  return true;
}

/* as io/endpoint_links.c: it rests, if it is kept */
void Fleet::free_connection(unsigned i, unsigned k, bool rests) {
  Instance &one = all[i];
  if (rests &&
      router_keeps_connection(one.world->router, endpoints[k].id.c_str())) {
    one.resting[k].push_back(now + kept);
  } else {
    endpoints[k].connections--;
    one.connections[k]--;
  }
  count_connections(i, k);
}

void Fleet::expire_connections(unsigned i) {
  Instance &one = all[i];
  bool trims = now - one.trimmed_at >= trim_pause;
  if (trims)
    one.trimmed_at = now;
  for (unsigned k = 0; k < endpoints.size(); k++) {
    const char *id = endpoints[k].id.c_str();
    while (!one.resting[k].empty() &&
           (one.resting[k].front() <= now ||
            (trims && !router_keeps_connection(one.world->router, id)))) {
      one.resting[k].pop_front();
      free_connection(i, k, false);
    }
  }
}

void Fleet::list(unsigned i, bool ready) {
  const PlainEndpoint &plain = endpoints[i];
  for (Instance &one : all)
    one.world->endpoint(
        {plain.id.c_str(), "app", plain.zone.c_str(), STAGE_NONE}, ready);
}

unsigned Fleet::arrivals_after_leaving(unsigned i, gint64 after,
                                       bool of_all) const {
  const PlainEndpoint &endpoint = endpoints[i];
  unsigned count = 0;
  for (const Arrival &arrival : endpoint.arrivals) {
    bool is_late =
        std::any_of(endpoint.leaving_answers.begin(),
                    endpoint.leaving_answers.end(), [&](const Told &told) {
                      bool binds =
                          of_all || (told.instance == arrival.instance &&
                                     told.life == arrival.life);
                      return binds && arrival.asked > told.at + after;
                    });
    count += is_late;
  }
  return count;
}

unsigned Fleet::max_arrivals_in_rest(unsigned i) const {
  constexpr gint64 on_its_way = 500 * ms;
  const PlainEndpoint &endpoint = endpoints[i];
  unsigned most = 0;
  for (const Told &told : endpoint.rests) {
    unsigned count = 0;
    for (const Arrival &arrival : endpoint.arrivals)
      count += arrival.instance == told.instance &&
               arrival.life == told.life &&
               arrival.at > told.at + on_its_way &&
               arrival.at <= told.at + told.rest;
    most = std::max(most, count);
  }
  return most;
}

bool Fleet::hears(unsigned from, unsigned to) {
  bool cut = cut_at != 0 && (from < cut_at) != (to < cut_at);
  return !cut && !all[from].is_frozen && !all[to].is_frozen &&
         chance() >= options.loss;
}

bool Fleet::is_relay(unsigned i) const {
  for (unsigned k = 0; k < i; k++) {
    bool same_side = cut_at == 0 || (k < cut_at) == (i < cut_at);
    if (all[k].zone == all[i].zone && same_side && !all[k].is_frozen)
      return false;
  }
  return true;
}

bool Fleet::is_near(unsigned from, unsigned to) const {
  return from != to && (!is_summing() || all[from].zone == all[to].zone);
}

/* instances that hear it by itself */
gint64 Fleet::peers_of(unsigned i) const {
  gint64 count = 0;
  for (unsigned k = 0; k < all.size(); k++)
    count += is_near(i, k);
  return count;
}

void Fleet::send_news(unsigned from, unsigned to, const mp_RateUpdate &news) {
  messages++;
  if (has_rate_news && hears(from, to))
    letters.push_back({now + options.rate_news_delay, to,
                       mp_addr_parse(all[from].address.c_str()), news});
}

void Fleet::deliver_news() {
  for (; !letters.empty() && letters.front().due <= now; letters.pop_front()) {
    const Letter &one = letters.front();
    if (!all[one.to].is_frozen)
      router_receive_rates(all[one.to].world->router, one.from, &one.news,
                           now);
  }
}

/* soon when there is something new, and again with each refresh */
void Fleet::tell_rates(unsigned i) {
  Instance &one = all[i];
  mp_RateUpdate news = {};
  guint64 version = router_rates_version(one.world->router);
  gint64 interval = interval_per_peer * peers_of(i);
  if (now - one.rates_at < (version == one.rates_told ? refresh : interval))
    return;
  one.rates_told = version;
  one.rates_at = now;
  router_report_rates(one.world->router, FALSE, &news, now);
  for (unsigned k = 0; news.n > 0 && k < all.size(); k++) {
    if (!is_near(i, k))
      continue;
    send_news(i, k, news);
  }
}

void Fleet::tell_rate_sums(unsigned i) {
  Instance &one = all[i];
  mp_RateUpdate news = {};
  if (now - one.rate_sums_at < least_between_rate_sums)
    return;
  one.rate_sums_at = now;
  router_report_rates(one.world->router, TRUE, &news, now);
  news.relay = mp_addr_parse(one.address.c_str());
  news.zone = g_str_hash(one.zone.c_str());
  for (unsigned k = 0; news.n > 0 && k < all.size(); k++) {
    if (all[k].zone == one.zone)
      continue;
    send_news(i, k, news);
  }
}

/* between two digests, as io/load_exchange.c */
gint64 Fleet::due_after(unsigned i) const {
  const Instance &one = all[i];
  gint64 interval = interval_per_peer * peers_of(i);
  if (router_load_version(one.world->router) != one.told)
    return interval;
  if (router_plain_version(one.world->router) != one.plain_told)
    return std::max(interval, interval_plain);
  return refresh;
}

void Fleet::tell_near(unsigned i) {
  Instance &one = all[i];
  mp_LoadDigest digest = {};
  router_load_digest(one.world->router, &digest, now);
  one.told = router_load_version(one.world->router);
  one.plain_told = router_plain_version(one.world->router);
  one.told_at = now;
  one.sequence++;
  for (unsigned k = 0; k < all.size(); k++) {
    if (is_near(i, k) && hears(i, k))
      router_peer_load(all[k].world->router,
                       mp_addr_parse(one.address.c_str()), one.sequence,
                       &digest, now);
  }
}

void Fleet::tell_far(unsigned i) {
  Instance &one = all[i];
  mp_LoadSummary summary;
  router_load_summary(one.world->router, &summary, now);
  summary.relay = mp_addr_parse(one.address.c_str());
  summary.zone = g_str_hash(one.zone.c_str());
  one.summed_at = now;
  for (unsigned k = 0; k < all.size(); k++) {
    if (all[k].zone != one.zone && hears(i, k))
      router_receive_summary(all[k].world->router, one.sequence, &summary,
                             now);
  }
}

void Fleet::exchange() {
  for (unsigned i = 0; i < all.size(); i++) {
    Instance &one = all[i];
    if (one.is_frozen)
      continue;
    if (now - one.told_at >= due_after(i))
      tell_near(i);
    if (is_summing() && now - one.summed_at >= between_sums && is_relay(i))
      tell_far(i);
    tell_rates(i);
    if (is_summing() && is_relay(i))
      tell_rate_sums(i);
  }
}

void Fleet::pass(gint64 span) {
  gint64 until = now + span;
  while (now < until) {
    now += step;
    for (unsigned i = 0; i < all.size(); i++) {
      World &world = *all[i].world;
      if (all[i].is_frozen)
        continue;
      world.now = now;
      if (router_next_tick(world.router) <= now)
        router_tick(world.router, now);
      meet(i);
      if (options.max_connections > 0)
        expire_connections(i);
    }
    end_due_runs();
    callers();
    exchange();
    deliver_news();
    for (unsigned i = 0; i < all.size(); i++) {
      for (const auto &one : all[i].world->ended) {
        answered += static_cast<unsigned>(one.second.answers);
        refused += static_cast<unsigned>(one.second.refusals);
        if (one.second.refusals > 0)
          retry_after_ms.push_back(one.second.retry_after_ms);
      }
      all[i].world->ended.clear();
      all[i].world->log.clear();
    }
  }
}

/* requests that the rates allow between these moments; before the first one
** was named, as many as that one */
static double allowance(const std::vector<Naming> &namings, gint64 from,
                        gint64 until) {
  double sum = 0;
  for (size_t k = 0; k < namings.size(); k++) {
    gint64 begins = k == 0 ? from : std::max(from, namings[k].at);
    gint64 ends =
        k + 1 < namings.size() ? std::min(until, namings[k + 1].at) : until;
    if (ends > begins)
      sum += namings[k].rate * static_cast<double>(ends - begins) / second;
  }
  return sum;
}

double Fleet::max_rate_excess(unsigned i, gint64 from, gint64 until,
                              double times, bool of_all) const {
  constexpr gint64 window = 4 * second;
  constexpr gint64 told_before = 500 * ms;
  const PlainEndpoint &endpoint = endpoints[i];
  std::deque<gint64> in;
  double worst = -HUGE_VAL;
  for (const Arrival &arrival : endpoint.arrivals) {
    auto told = endpoint.told.find(arrival.instance);
    bool is_told = told != endpoint.told.end() &&
                   arrival.at >= told->second + told_before;
    if (!of_all && (!is_told || arrival.in_trouble))
      continue;
    in.push_back(arrival.at);
    while (in.front() <= arrival.at - window)
      in.pop_front();
    if (arrival.at >= from && arrival.at < until)
      worst = std::max(worst,
                       static_cast<double>(in.size()) -
                           times * allowance(endpoint.namings,
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
