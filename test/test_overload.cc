/*
** test_overload.cc
** Test that an overload ends with the burst that caused it, in virtual time
**
** Guards against an overload that sustains itself. After a burst of twice the
** load for six seconds, during which engines are lost, the remaining engines
** can carry the usual load, yet few answers come in time for the rest of the
** day. It comes about when callers that were refused retry with less time left
** than others and are served first, though they are late already. They take
** all capacity, so that new callers, who could be in time, are refused and
** become the next late ones.
*/

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "router_world.h"

using routing::ms;
using routing::second;
using routing::SentDispatch;
using routing::World;

namespace {

constexpr gint64 time_step = 5 * ms;
constexpr gint64 objective = 900 * ms; /* that of World::configure() */
constexpr gint64 deadline_ms = 10000;  /* that of its routes */
constexpr gint64 prompt_time = 150 * ms;
constexpr gint64 first_token_time = 20 * ms;
constexpr gint64 run_time_min = 700 * ms;
constexpr gint64 run_time_max = 1900 * ms;
constexpr guint32 prompt_tokens = 1500;
constexpr guint32 output_tokens = 500;

struct ServiceSize {
  unsigned instances, decode, prefill;
  unsigned seeds; /* number of random seeds that are run */
};

/* One caller and all attempts of its request. */
struct Caller {
  gint64 first_sent_at = 0; /* time of the first attempt */
  gint64 retry_at = 0;      /* time of the next attempt; 0: none */
  unsigned tries = 0;
  bool is_in_time = false;
};

class OverloadedService {
public:
  OverloadedService(const ServiceSize &size_, unsigned seed)
      : size(size_), random(seed) {
    all.resize(size.instances);
    for (auto &one : all) {
      one.world = std::make_unique<World>();
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
    unsigned count = 0;
    unsigned good = 0;
    for (const Caller &caller : callers) {
      if (caller.first_sent_at < from || caller.first_sent_at >= until)
        continue;
      count++;
      good += caller.is_in_time;
    }
    return count > 0 ? static_cast<double>(good) / count : 0;
  }

  gint64 now = 100 * second;

private:
  struct Run {
    size_t instance;
    guint64 dispatch;
    gint64 ends_at;
    bool is_prefill;
  };
  struct Instance {
    std::unique_ptr<World> world;
    size_t handled_dispatches = 0;
    guint64 reported_version = 0;
    guint32 sequence = 0;
    std::map<guint64, size_t> callers_of_open_requests; /* by its number */
  };

  static void list_endpoint(World &world, const std::string &id,
                            EndpointStage stage) {
    world.endpoint({id.c_str(), "llm", "a", stage});
  }

  double random_fraction() {
    return static_cast<double>(random() % 1000000) / 1e6;
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
    guint64 number =
        one.world->request("/stream/x", left, prompt_tokens, output_tokens);
    one.callers_of_open_requests[number] = which;
  }

  void add_new_callers(double per_second) {
    double expected = per_second * static_cast<double>(time_step) / second;
    std::poisson_distribution<unsigned> draw(expected);
    for (unsigned n = draw(random); n > 0; n--) {
      Caller caller;
      caller.first_sent_at = now;
      callers.push_back(caller);
      send(callers.size() - 1);
    }
  }

  void start_dispatched_work(Instance &one) {
    for (; one.handled_dispatches < one.world->dispatches.size();
         one.handled_dispatches++) {
      const SentDispatch &sent = one.world->dispatches[one.handled_dispatches];
      auto index = static_cast<size_t>(&one - all.data());
      if (sent.kind == DISPATCH_PREFILL)
        runs.push_back({index, sent.number, now + prompt_time, true});
      else if (sent.kind == DISPATCH_RUN)
        start_run(one, index, sent);
    }
    one.world->checks.clear();
  }

  void start_run(Instance &one, size_t index, const SentDispatch &sent) {
    auto length =
        run_time_min +
        static_cast<gint64>(random_fraction() *
                            static_cast<double>(run_time_max - run_time_min));
    runs.push_back(
        {index, sent.number, now + first_token_time + length, false});
    auto it = one.callers_of_open_requests.find(sent.request);
    if (it == one.callers_of_open_requests.end())
      return;
    Caller &caller = callers[it->second];
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
  std::mt19937 random;
  std::vector<Instance> all;
  std::vector<Caller> callers;
  std::vector<Run> runs;
};

struct OverloadTest : ::testing::TestWithParam<ServiceSize> {};

/* Shares of callers served in time, by the time of their first attempt. */
struct InTimeShares {
  double before, during, next_5_s, following_10_s;
};

/* Simulates a burst of twice the load, six seconds long. Outside of it the
** engines can start 1 / 0.85 of the requests that arrive. next_5_s covers the
** 5 s after the burst, following_10_s the 10 s after those. */
InTimeShares simulate_burst(const ServiceSize &size, unsigned seed) {
  OverloadedService fleet(size, seed);
  gint64 start = fleet.now;
  fleet.run(10 * second, 0.85);
  gint64 burst_start = fleet.now;
  fleet.run(6 * second, 1.7);
  gint64 over = fleet.now;
  fleet.run(18 * second, 0.85);
  return {fleet.in_time_share(start, burst_start),
          fleet.in_time_share(burst_start, over),
          fleet.in_time_share(over, over + 5 * second),
          fleet.in_time_share(over + 5 * second, over + 15 * second)};
}

TEST_P(OverloadTest, BurstLeavesNoOverloadBehind) {
  const ServiceSize &size = GetParam();
  for (unsigned seed = 1; seed <= size.seeds; seed++) {
    InTimeShares shares = simulate_burst(size, seed);
    EXPECT_GE(shares.following_10_s, 0.9 * shares.before)
        << "seed " << seed << ", in time " << shares.before << " before, "
        << shares.during << " in the burst, " << shares.next_5_s
        << " in the next 5 s";
    /* The engines can start 1 / 1.7 = 0.59 of the requests in the burst. */
    EXPECT_GE(shares.during, 0.5) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(ServiceSizes, OverloadTest,
                         ::testing::Values(ServiceSize{1, 3, 3, 3},
                                           ServiceSize{7, 4, 3, 6},
                                           ServiceSize{20, 12, 8, 3},
                                           ServiceSize{40, 20, 12, 1}));

} // namespace
