/*
** path_fleet.cc
** Fleet: several instances, of which some lose their paths to endpoints, in
** virtual time
*/

#include <algorithm>

#include "path_fleet.h"

extern "C" {
#include "router/relay_members.h"
}

namespace paths {

namespace {
constexpr gint64 step = 1 * ms;
constexpr gint64 round_trip = 1 * ms;
constexpr gint64 plain_time = 60 * ms;
constexpr gint64 prefill_time = 40 * ms;
constexpr gint64 head_time = 10 * ms;
constexpr gint64 stream_time = 600 * ms;
/* after which an idle connection is closed */
constexpr gint64 idle_time = 800 * ms;
/* endpoints close a connection after one in this many answers */
constexpr unsigned close_one_in = 10;
/* after which a connection fails whose bytes are not acknowledged */
constexpr gint64 unacknowledged_time = 2500 * ms;
constexpr gint64 exchange_interval = 100 * ms;
constexpr gint64 plain_deadline_ms = 1500;
constexpr gint64 stream_deadline_ms = 14000;
constexpr gint64 objective = 300 * ms;
const char *const zone_names[] = {"a", "b", "c"};

mp_Addr address_of(unsigned instance) {
  std::string text = "10.0." + std::to_string(instance / 200) + "." +
                     std::to_string(instance % 200 + 1) + ":1";
  return mp_addr_parse(text.c_str());
}
} // namespace

Fleet::Fleet(const FleetOptions &options_)
    : options(options_), random(options_.seed), next_plain_at(now),
      next_stream_at(now), next_exchange_at(now) {
  const struct {
    const char *name;
    EndpointStage stage;
    unsigned count;
  } kinds[] = {{"app-", STAGE_NONE, options.plain},
               {"pre-", STAGE_PREFILL, options.prefill},
               {"dec-", STAGE_DECODE, options.decode}};
  for (const auto &kind : kinds) {
    for (unsigned i = 0; i < kind.count; i++) {
      Endpoint endpoint;
      endpoint.id = kind.name + std::to_string(i);
      endpoint.stage = kind.stage;
      endpoint.zone = i % 3;
      endpoints.push_back(endpoint);
    }
  }
  instances.resize(options.instances);
  for (unsigned i = 0; i < options.instances; i++)
    start(i);
}

void Fleet::start(unsigned index) {
  Instance &instance = instances[index];
  char self[24];
  mp_addr_text(address_of(index), self);
  instance.world =
      std::make_unique<World>(1000, 10.0, 0, self, 0, zone_names[index % 3],
                              options.seed * 1000 + index);
  World &world = *instance.world;
  world.configure(1, 10 * second, objective);
  world.started_unix_ms = 1;
  for (const Endpoint &endpoint : endpoints)
    world.endpoint({endpoint.id.c_str(),
                    endpoint.stage == STAGE_NONE ? "app" : "llm",
                    zone_names[endpoint.zone], endpoint.stage});
  router_set_instances(world.router, options.instances, options.instances);
  GArray *others = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (unsigned i = 0; i < options.instances; i++) {
    RelayMember other = {address_of(i), g_str_hash(zone_names[i % 3]), 1};
    if (i != index)
      g_array_append_val(others, other);
  }
  router_set_members(world.router, others);
  g_array_free(others, TRUE);
}

std::set<unsigned> Fleet::instances_of(unsigned zone) const {
  std::set<unsigned> found;
  for (unsigned i = 0; i < options.instances; i++) {
    if (i % 3 == zone)
      found.insert(i);
  }
  return found;
}

unsigned Fleet::endpoint_of(const std::string &id) const {
  for (unsigned i = 0; i < endpoints.size(); i++) {
    if (endpoints[i].id == id)
      return i;
  }
  return 0;
}

unsigned Fleet::instance_at(mp_Addr address) const {
  unsigned i = 0;
  while (address_of(i) != address)
    i++;
  return i;
}

/*
** {==================================================================
** Cuts
** ===================================================================
*/

Cut Fleet::cut_between(unsigned instance, unsigned endpoint) const {
  auto it = cuts.find({instance, endpoint});
  return it != cuts.end() ? it->second : Cut::NONE;
}

void Fleet::reset_open(unsigned hop, unsigned endpoint) {
  std::vector<Open> broken;
  for (const auto &[key, one] : open) {
    if (one.hop == hop && one.endpoint == endpoint)
      broken.push_back(one);
  }
  for (const Open &one : broken)
    report(one.instance, one.dispatch, OUTCOME_BROKEN);
}

void Fleet::cut(const std::set<unsigned> &which, Cut how,
                const std::function<bool(unsigned)> &affects) {
  for (unsigned instance : which) {
    for (unsigned endpoint = 0; endpoint < endpoints.size(); endpoint++) {
      if (affects && !affects(endpoint))
        continue;
      cuts[{instance, endpoint}] = how;
      if (how != Cut::RESET)
        continue;
      for (Instance &owner : instances)
        owner.kept.erase(std::remove_if(owner.kept.begin(), owner.kept.end(),
                                        [&](const Kept &k) {
                                          return k.endpoint == endpoint &&
                                                 k.hop == instance;
                                        }),
                         owner.kept.end());
      reset_open(instance, endpoint);
    }
  }
}

void Fleet::heal() {
  cuts.clear();
}

void Fleet::end_endpoint(unsigned endpoint, bool silent) {
  endpoints[endpoint].has_ended = true;
  endpoints[endpoint].is_silent = silent;
  for (unsigned i = 0; i < options.instances && !silent; i++)
    reset_open(i, endpoint);
}

void Fleet::freeze_endpoint(unsigned endpoint, gint64 span) {
  endpoints[endpoint].frozen_until = now + span;
}

/* }================================================================== */

/*
** {==================================================================
** Dispatches
** ===================================================================
*/

void Fleet::at(gint64 time, std::function<void()> what) {
  events.emplace(time, std::move(what));
}

void Fleet::run_due() {
  while (!events.empty() && events.begin()->first <= now) {
    std::function<void()> what = std::move(events.begin()->second);
    events.erase(events.begin());
    what();
  }
}

bool Fleet::is_open(unsigned index, guint64 dispatch) const {
  return open.count({index, dispatch}) > 0;
}

/* Reports a last outcome, unless the router has cancelled the dispatch. */
void Fleet::report(unsigned index, guint64 dispatch, OutcomeKind kind) {
  World &world = *instances[index].world;
  auto it = open.find({index, dispatch});
  if (it == open.end())
    return;
  world.was_kept = it->second.is_kept;
  open.erase(it);
  world.now = std::max(world.now, now);
  for (const SentDispatch &sent : world.dispatches) {
    if (sent.number == dispatch && sent.cancelled)
      return;
  }
  world.outcome(dispatch, kind);
}

/* Takes an idle connection that goes through a carrier, or directly; those of
** the other kind are closed. */
bool Fleet::take_kept(unsigned index, unsigned endpoint, bool is_carried,
                      unsigned *hop) {
  auto &kept = instances[index].kept;
  for (size_t i = 0; i < kept.size();) {
    Kept one = kept[i];
    if (one.endpoint != endpoint) {
      i++;
      continue;
    }
    kept.erase(kept.begin() + static_cast<long>(i));
    if (one.until <= now || (one.hop != index) != is_carried)
      continue;
    *hop = one.hop;
    return true;
  }
  return false;
}

/* Returns whether the carrier takes the dispatch; reports it if not. */
bool Fleet::may_carry(unsigned index, const SentDispatch &dispatch,
                      unsigned hop) {
  mp_Addr address;
  World &carrier = *instances[hop].world;
  World *world = instances[index].world.get();
  guint64 number = dispatch.number;
  CarryVerdict verdict =
      router_may_carry(carrier.router, dispatch.life, &address, now);
  if (verdict == CARRY_CONNECTED)
    return true;
  at(now + round_trip, [=, this] {
    if (verdict == CARRY_UNREACHABLE) {
      report(index, number, OUTCOME_UNREACHABLE);
      return;
    }
    if (open.erase({index, number}) == 0)
      return;
    world->now = std::max(world->now, now);
    world->carrier_failed(number);
  });
  return false;
}

void Fleet::connect(unsigned index, const SentDispatch &dispatch,
                    unsigned hop) {
  unsigned endpoint = endpoint_of(dispatch.endpoint);
  const Endpoint &target = endpoints[endpoint];
  Cut how = cut_between(hop, endpoint);
  guint64 number = dispatch.number;
  bool is_frozen = target.frozen_until > now;
  bool hangs = how == Cut::HANG ||
               (how == Cut::NONE &&
                (is_frozen || (target.has_ended && target.is_silent)));
  if (hop != index && !may_carry(index, dispatch, hop))
    return;
  connects++;
  if (how == Cut::NONE && !target.has_ended && !is_frozen) {
    SentDispatch copy = dispatch;
    at(now + (hop == index ? 1 : 2) * round_trip,
       [=, this] { run(index, copy); });
    return;
  }
  failed_connects++;
  at(now + (hangs ? dispatch.connect_timeout : 2 * round_trip),
     [=, this] { report(index, number, OUTCOME_UNREACHABLE); });
}

void Fleet::note_run(unsigned index, guint64 request) {
  auto it = attempts.find({index, request});
  if (it != attempts.end())
    it->second.runs++;
}

/* The endpoint's answer arrives, if the path still carries it. */
void Fleet::finish(unsigned index, const SentDispatch &dispatch,
                   unsigned endpoint, OutcomeKind kind) {
  World &world = *instances[index].world;
  if (!is_open(index, dispatch.number))
    return;
  unsigned hop = open[{index, dispatch.number}].hop;
  if (cut_between(hop, endpoint) == Cut::HANG)
    return; /* nothing arrives */
  if (endpoints[endpoint].frozen_until > now) {
    SentDispatch copy = dispatch;
    at(endpoints[endpoint].frozen_until,
       [=, this] { finish(index, copy, endpoint, kind); });
    return;
  }
  world.now = std::max(world.now, now);
  world.was_kept = open[{index, dispatch.number}].is_kept;
  if (kind == OUTCOME_STREAM_HEAD) {
    world.outcome(dispatch.number, kind);
    return;
  }
  if (random() % close_one_in != 0)
    instances[index].kept.push_back({endpoint, hop, now + idle_time});
  if (dispatch.kind != DISPATCH_PREFILL) {
    report(index, dispatch.number, kind);
    return;
  }
  open.erase({index, dispatch.number});
  if (!world.sent(dispatch.number).cancelled)
    world.prefilled(dispatch.number,
                    ("h" + std::to_string(dispatch.number)).c_str());
}

/* The request has reached its endpoint, or is lost on a hanging path. */
void Fleet::run(unsigned index, const SentDispatch &dispatch) {
  unsigned endpoint = endpoint_of(dispatch.endpoint);
  SentDispatch copy = dispatch;
  if (!is_open(index, dispatch.number))
    return;
  if (cut_between(open[{index, dispatch.number}].hop, endpoint) == Cut::HANG ||
      endpoints[endpoint].has_ended) {
    at(now + unacknowledged_time,
       [=, this] { report(index, copy.number, OUTCOME_BROKEN); });
    return;
  }
  if (dispatch.kind == DISPATCH_CHECK) {
    finish(index, dispatch, endpoint, OUTCOME_ANSWER);
    return;
  }
  if (dispatch.kind == DISPATCH_PREFILL) {
    at(now + prefill_time,
       [=, this] { finish(index, copy, endpoint, OUTCOME_ANSWER); });
    return;
  }
  if (dispatch.kind != DISPATCH_RUN)
    return;
  note_run(index, dispatch.request);
  if (!dispatch.stream) {
    at(now + plain_time,
       [=, this] { finish(index, copy, endpoint, OUTCOME_ANSWER); });
    return;
  }
  at(now + head_time,
     [=, this] { finish(index, copy, endpoint, OUTCOME_STREAM_HEAD); });
  at(now + stream_time,
     [=, this] { finish(index, copy, endpoint, OUTCOME_STREAM_END); });
}

void Fleet::handle(unsigned index, const SentDispatch &dispatch) {
  unsigned endpoint = endpoint_of(dispatch.endpoint);
  bool is_carried = dispatch.via != 0;
  unsigned hop = is_carried ? instance_at(dispatch.via) : index;
  if (dispatch.kind == DISPATCH_RELEASE)
    return;
  bool is_kept = dispatch.kind != DISPATCH_CHECK &&
                 take_kept(index, endpoint, is_carried, &hop);
  open[{index, dispatch.number}] = {index, dispatch.number, endpoint, hop,
                                    is_kept};
  checks += dispatch.kind == DISPATCH_CHECK;
  carried += is_carried;
  if (is_carried)
    carried_by[hop]++;
  if (is_kept)
    run(index, dispatch);
  else
    connect(index, dispatch, hop);
}

void Fleet::handle_new_dispatches(unsigned index) {
  Instance &instance = instances[index];
  while (instance.handled < instance.world->dispatches.size()) {
    SentDispatch dispatch = instance.world->dispatches[instance.handled++];
    if (!dispatch.cancelled)
      handle(index, dispatch);
  }
  std::vector<SentDispatch> checks;
  checks.swap(instance.world->checks);
  for (const SentDispatch &check : checks)
    handle(index, check);
}

/* }================================================================== */

void Fleet::send_requests() {
  while (now >= next_plain_at) {
    next_plain_at +=
        static_cast<gint64>(static_cast<double>(second) / options.plain_per_s);
    for (unsigned i = 0; i < options.instances; i++) {
      bool safe = random() % 3 == 0;
      World &world = *instances[i].world;
      guint64 number = world.request(safe ? "/safe/x" : "/unsafe/x",
                                     plain_deadline_ms, 0, 0);
      attempts[{i, number}] = {i, number, now, !safe};
    }
  }
  while (now >= next_stream_at) {
    next_stream_at += static_cast<gint64>(static_cast<double>(second) /
                                          options.streams_per_s);
    for (unsigned i = 0; i < options.instances; i++) {
      World &world = *instances[i].world;
      guint64 number =
          world.request("/stream/x", stream_deadline_ms, 1000, 100);
      attempts[{i, number}] = {i, number, now, true};
    }
  }
}

void Fleet::exchange() {
  if (now < next_exchange_at)
    return;
  next_exchange_at = now + exchange_interval;
  for (unsigned from = 0; from < options.instances; from++) {
    Instance &sender = instances[from];
    mp_LoadDigest digest = {};
    mp_CrashUpdate crashes = {};
    mp_Addr address = address_of(from);
    router_load_digest(sender.world->router, &digest, now);
    router_report_crashes(sender.world->router, FALSE, &crashes, now);
    sender.sequence++;
    for (unsigned to = 0; to < options.instances; to++) {
      if (to == from)
        continue;
      router_peer_load(instances[to].world->router, address, sender.sequence,
                       &digest, now);
      if (crashes.n > 0 || crashes.suspected_n > 0)
        router_receive_crashes(instances[to].world->router, &crashes, now);
    }
  }
}

void Fleet::advance(gint64 span) {
  for (gint64 until = now + span; now < until; now += step) {
    for (unsigned i = 0; i < options.instances; i++) {
      World &world = *instances[i].world;
      if (now > world.now)
        world.advance(now - world.now);
    }
    run_due();
    send_requests();
    exchange();
    for (unsigned i = 0; i < options.instances; i++)
      handle_new_dispatches(i);
  }
}

/*
** {==================================================================
** Results
** ===================================================================
*/

Count Fleet::count(gint64 from, gint64 until,
                   const std::function<bool(unsigned)> &which) const {
  Count count;
  for (const auto &[key, attempt] : attempts) {
    if (attempt.sent_at < from || attempt.sent_at >= until ||
        !which(attempt.instance))
      continue;
    count.sent++;
    count.served +=
        instances[attempt.instance].world->end(attempt.request).answers > 0;
  }
  return count;
}

bool Fleet::cut_callers_are_worse_served(gint64 from, gint64 until,
                                         const std::set<unsigned> &cut) const {
  Count at_cut =
      count(from, until, [&](unsigned i) { return cut.count(i) > 0; });
  Count at_others =
      count(from, until, [&](unsigned i) { return cut.count(i) == 0; });
  unsigned failed = at_cut.sent - at_cut.served;
  double share = static_cast<double>(at_cut.served) / at_cut.sent;
  double other = static_cast<double>(at_others.served) / at_others.sent;
  return share < other * 2 / 3 &&
         failed > 10 + (at_cut.sent + at_others.sent) / 50;
}

gint64 Fleet::longest_refusal(gint64 from) const {
  gint64 longest = 0;
  for (const auto &[key, attempt] : attempts) {
    const auto &end = instances[attempt.instance].world->end(attempt.request);
    if (attempt.sent_at >= from && end.refusals > 0)
      longest = std::max(longest, end.at - attempt.sent_at);
  }
  return longest;
}

unsigned Fleet::most_runs() const {
  unsigned most = 0;
  for (const auto &[key, attempt] : attempts) {
    if (attempt.must_not_repeat)
      most = std::max(most, attempt.runs);
  }
  return most;
}

unsigned Fleet::false_not_run() const {
  unsigned found = 0;
  for (const auto &[key, attempt] : attempts) {
    const auto &end = instances[attempt.instance].world->end(attempt.request);
    bool unknown = end.refusal == REFUSAL_OUTCOME_UNKNOWN ||
                   end.refusal == REFUSAL_TIMEOUT;
    found += attempt.must_not_repeat && end.refusals > 0 && !unknown &&
             attempt.runs > 0;
  }
  return found;
}

unsigned Fleet::logged(unsigned instance, mp_EventNo number) const {
  std::string prefix = std::to_string(static_cast<int>(number)) + " ";
  const auto &log = instances[instance].world->log;
  return static_cast<unsigned>(
      std::count_if(log.begin(), log.end(), [&](const std::string &line) {
        return line.compare(0, prefix.size(), prefix) == 0;
      }));
}

/* }================================================================== */

} // namespace paths
