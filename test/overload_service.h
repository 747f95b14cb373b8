/*
** overload_service.h
** OverloadedService: several instances and engines under more load than the
** engines can carry, in virtual time, for tests
**
** Callers retry once when they are refused. Engines serve whatever is sent to
** them. Where an instance has an urgent request displace a run (event E8021),
** the least urgent run of that engine ends later by the time of another
** prefill and a wait for room.
*/

#ifndef OVERLOAD_SERVICE_H
#define OVERLOAD_SERVICE_H

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "router_world.h"

namespace overload {

using routing::ms;
using routing::second;
using routing::SentDispatch;
using routing::World;

constexpr gint64 time_step = 5 * ms;
constexpr gint64 objective = 900 * ms; /* that of World::configure() */
constexpr gint64 deadline_ms = 10000;  /* that of its routes */
constexpr gint64 prompt_time = 150 * ms;
constexpr gint64 first_token_time = 20 * ms;
constexpr gint64 run_time_min = 700 * ms;
constexpr gint64 run_time_max = 1900 * ms;
constexpr guint32 prompt_tokens = 1500;
constexpr guint32 output_tokens = 500;
constexpr gint64 displaced_time = 500 * ms; /* wait of a displaced run */

struct ServiceSize {
  unsigned instances, decode, prefill;
  unsigned seeds; /* number of random seeds that are run */
};

/* What the callers send, and the setting of all instances. */
struct Traffic {
  double urgent_share = 0; /* share of requests of an account of priority 0;
                           ** the others are of one of priority 2; 0: there
                           ** are no accounts and no priorities */
  bool overload_control = false;
  bool varied_lengths = false; /* outputs of 50 to 1000 tokens, of which the
                               ** callers give hints, and runs in proportion */
};

/* One caller and all attempts of its request. */
struct Caller {
  gint64 first_sent_at = 0; /* time of the first attempt */
  gint64 retry_at = 0;      /* time of the next attempt; 0: none */
  unsigned tries = 0;
  bool is_in_time = false;
  bool is_served = false;
  bool is_urgent = false;
  guint32 output = output_tokens;
};

class OverloadedService {
public:
  OverloadedService(const ServiceSize &size_, unsigned seed,
                    const Traffic &traffic_ = Traffic())
      : size(size_), traffic(traffic_), random(seed) {
    all.resize(size.instances);
    for (auto &one : all) {
      one.world = std::make_unique<World>(0, 10.0, 0, "10.0.0.5:1", 0, "a", 7,
                                          traffic.overload_control);
      if (traffic.urgent_share > 0)
        one.world->clients = {{"urgent", {"u"}, 0, 0, 0},
                              {"other", {"o"}, 0, 0, 2}};
      one.world->now = now;
      one.world->configure();
      router_set_instances(one.world->router, size.instances, size.instances);
      for (unsigned i = 0; i < size.prefill; i++)
        list_endpoint(*one.world, "pre-" + std::to_string(i), STAGE_PREFILL);
      for (unsigned i = 0; i < size.decode; i++)
        list_endpoint(*one.world, "dec-" + std::to_string(i), STAGE_DECODE);
    }
  }

  /* Returns how many requests a second the decode engines can start. Five
  ** requests of 2,000 tokens fill one engine, and each occupies it from the
  ** start of its prefill to its end. */
  double capacity() const {
    double held = static_cast<double>(prompt_time + first_token_time +
                                      (run_time_min + run_time_max) / 2) /
                  second;
    return 5.0 * size.decode / held;
  }

  void run(gint64 span, double load) {
    for (gint64 until = now + span; now < until; now += time_step) {
      add_new_callers(load * capacity());
      for (auto &one : all)
        one.world->advance(now - one.world->now);
      finish_runs();
      for (auto &one : all)
        start_dispatched_work(one);
      exchange_digests();
      retry_refused_callers();
    }
  }

  /* Returns the share of callers served in time, of those whose first attempt
  ** was in this span. */
  double in_time_share(gint64 from, gint64 until) const {
    return share(
        from, until, [](const Caller &) { return true; },
        [](const Caller &caller) { return caller.is_in_time; });
  }

  /* Returns the share of 'good' ones among the callers that 'counts' selects
  ** and whose first attempt was in this span. */
  template <typename Counts, typename Good>
  double share(gint64 from, gint64 until, Counts counts, Good good) const {
    unsigned count = 0;
    unsigned found = 0;
    for (const Caller &caller : callers) {
      if (caller.first_sent_at < from || caller.first_sent_at >= until ||
          !counts(caller))
        continue;
      count++;
      found += good(caller);
    }
    return count > 0 ? static_cast<double>(found) / count : 0;
  }

  gint64 now = 100 * second;
  unsigned displaced = 0;  /* runs */
  unsigned dispatches = 0; /* prefills and runs */
  gint64 longest_wait = 0; /* of a request that was refused */
  /* FNV-1a hash of the time, instance, kind, request and endpoint of each
  ** dispatch, in order. */
  guint64 trace = 14695981039346656037ULL;

private:
  struct Run {
    size_t instance;
    guint64 dispatch;
    gint64 ends_at;
    bool is_prefill;
    bool is_urgent;
    std::string endpoint;
  };
  struct Instance {
    std::unique_ptr<World> world;
    size_t handled_dispatches = 0;
    guint64 reported_version = 0;
    guint32 sequence = 0;
    std::map<guint64, size_t> callers_of_open_requests; /* by its number */
    size_t read_lines = 0;             /* of the world's log */
    std::set<guint64> displacing;      /* requests that displace a run */
    std::map<guint64, gint64> sent_at; /* likewise */
  };

  static void list_endpoint(World &world, const std::string &id,
                            EndpointStage stage) {
    world.endpoint({id.c_str(), "llm", "a", stage});
  }

  double random_fraction() {
    return static_cast<double>(random() % 1000000) / 1e6;
  }

  /* Draws what the caller asks for; draws nothing for plain traffic. */
  void choose_request(Caller &caller) {
    if (traffic.urgent_share > 0)
      caller.is_urgent = random_fraction() < traffic.urgent_share;
    if (traffic.varied_lengths)
      caller.output = 50 + random() % 951;
  }

  void send(size_t which) {
    Caller &caller = callers[which];
    Instance &one = all[random() % all.size()];
    gint64 left = deadline_ms - (now - caller.first_sent_at) / ms;
    caller.tries++;
    caller.retry_at = 0;
    if (left <= 0)
      return;
    one.world->advance(now - one.world->now);
    if (traffic.urgent_share > 0)
      one.world->key = caller.is_urgent ? "u" : "o";
    one.world->length_hint = traffic.varied_lengths ? caller.output : 0;
    guint64 number =
        one.world->request("/stream/x", left, prompt_tokens,
                           traffic.varied_lengths ? 1000 : output_tokens);
    one.callers_of_open_requests[number] = which;
    one.sent_at[number] = now;
  }

  void add_new_callers(double per_second) {
    double expected = per_second * static_cast<double>(time_step) / second;
    std::poisson_distribution<unsigned> draw(expected);
    for (unsigned n = draw(random); n > 0; n--) {
      Caller caller;
      caller.first_sent_at = now;
      choose_request(caller);
      callers.push_back(caller);
      send(callers.size() - 1);
    }
  }

  void start_dispatched_work(Instance &one) {
    for (; one.handled_dispatches < one.world->dispatches.size();
         one.handled_dispatches++) {
      const SentDispatch &sent = one.world->dispatches[one.handled_dispatches];
      auto index = static_cast<size_t>(&one - all.data());
      note_dispatch(index, sent);
      if (sent.kind == DISPATCH_PREFILL)
        runs.push_back({index, sent.number, now + prompt_time, true, false,
                        sent.endpoint});
      else if (sent.kind == DISPATCH_RUN)
        start_run(one, index, sent);
    }
    one.world->checks.clear();
  }

  void note_dispatch(size_t index, const SentDispatch &sent) {
    std::string text = std::to_string(now) + " " + std::to_string(index) +
                       " " + std::to_string(sent.kind) + " " +
                       std::to_string(sent.request) + " " + sent.endpoint;
    dispatches++;
    for (char letter : text)
      trace = (trace ^ static_cast<unsigned char>(letter)) * 1099511628211ULL;
  }

  /* Returns how long the run of the caller's request takes. */
  gint64 run_length(const Caller &caller) {
    auto range = static_cast<double>(run_time_max - run_time_min);
    if (traffic.varied_lengths)
      return run_time_min + static_cast<gint64>(range * caller.output / 1000);
    return run_time_min + static_cast<gint64>(random_fraction() * range);
  }

  /* Returns TRUE if the instance logged that the request displaces a run. */
  static bool displaces(Instance &one, guint64 request) {
    for (; one.read_lines < one.world->log.size(); one.read_lines++) {
      const std::string &line = one.world->log[one.read_lines];
      if (line.rfind("8021 request=r", 0) == 0)
        one.displacing.insert(std::stoull(line.substr(14)));
    }
    return one.displacing.count(request) > 0;
  }

  /* Makes the least urgent run at the engine end later. */
  void displace_run(const std::string &endpoint) {
    Run *least = nullptr;
    for (Run &run : runs) {
      if (!run.is_prefill && run.endpoint == endpoint &&
          (least == nullptr || (least->is_urgent && !run.is_urgent)))
        least = &run;
    }
    if (least == nullptr)
      return;
    least->ends_at += prompt_time + displaced_time;
    displaced++;
  }

  void start_run(Instance &one, size_t index, const SentDispatch &sent) {
    auto it = one.callers_of_open_requests.find(sent.request);
    bool is_known = it != one.callers_of_open_requests.end();
    Caller other;
    Caller &caller = is_known ? callers[it->second] : other;
    runs.push_back({index, sent.number,
                    now + first_token_time + run_length(caller), false,
                    caller.is_urgent, sent.endpoint});
    if (displaces(one, sent.request))
      displace_run(sent.endpoint);
    if (!is_known)
      return;
    caller.is_served = true;
    caller.is_in_time |=
        now + first_token_time - caller.first_sent_at <= objective;
    one.callers_of_open_requests.erase(it);
  }

  void finish_runs() {
    std::vector<Run> open;
    std::vector<Run> due;
    for (const Run &run : runs)
      (run.ends_at <= now ? due : open).push_back(run);
    runs.swap(open);
    for (const Run &run : due) {
      World &world = *all[run.instance].world;
      if (run.is_prefill) {
        world.prefilled(run.dispatch, "h");
        continue;
      }
      world.outcome(run.dispatch, OUTCOME_STREAM_HEAD);
      world.outcome(run.dispatch, OUTCOME_STREAM_END);
    }
  }

  /* A caller that was refused retries once, after the delay given with the
  ** refusal. */
  void retry_refused_callers() {
    for (auto &one : all) {
      for (auto it = one.callers_of_open_requests.begin();
           it != one.callers_of_open_requests.end();) {
        const auto &end = one.world->end(it->first);
        Caller &caller = callers[it->second];
        if (end.ends() == 0) {
          ++it;
          continue;
        }
        longest_wait = std::max(longest_wait, end.at - one.sent_at[it->first]);
        if (caller.tries < 2)
          caller.retry_at = now + end.retry_after_ms * ms;
        it = one.callers_of_open_requests.erase(it);
      }
    }
    for (size_t i = 0; i < callers.size(); i++) {
      if (callers[i].retry_at != 0 && callers[i].retry_at <= now)
        send(i);
    }
  }

  void exchange_digests() {
    for (auto &from : all) {
      mp_LoadDigest digest = {};
      Router *router = from.world->router;
      if (router_load_version(router) == from.reported_version)
        continue;
      from.reported_version = router_load_version(router);
      router_load_digest(router, &digest, now);
      from.sequence++;
      for (auto &to : all) {
        if (&to != &from)
          router_peer_load(to.world->router,
                           1 + static_cast<mp_Addr>(&from - all.data()),
                           from.sequence, &digest, now);
      }
    }
  }

  ServiceSize size;
  Traffic traffic;
  std::mt19937 random;
  std::vector<Instance> all;
  std::vector<Caller> callers;
  std::vector<Run> runs;
};

} // namespace overload

#endif
