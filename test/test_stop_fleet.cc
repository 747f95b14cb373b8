/*
** test_stop_fleet.cc
** Instances that are stopped in turn, in virtual time: callers whose requests
** arrive at a stopping instance and do not end before it
**
** Each instance is a World with four engines of its own. Load balancers send
** to a stopping instance for 2.6 s more, one request in fifty takes longer
** than 6 s, and a refused or cut caller comes back at another instance.
*/

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/run_times.h"
}

namespace {

using routing::ms;
using routing::second;
using routing::World;

constexpr gint64 stop_interval = 300 * ms;
constexpr gint64 drain_least = 2800 * ms;
constexpr gint64 drain_most = 7600 * ms;
constexpr gint64 balancer_delay = 2600 * ms;
constexpr gint64 restart_time = second;
constexpr gint64 connect_time = 20 * ms;
constexpr gint64 piece_interval = 250 * ms;
constexpr gint64 warm_up = 60 * second;
constexpr gint64 digest_interval = 500 * ms; /* of load_exchange.c */
constexpr gint64 digest_delay = 5 * ms;
constexpr gint64 refused_retry = 10 * ms; /* of the fleet's own policies */
constexpr gint64 wave_interval = 18 * second;
constexpr gint64 no_instance_wait = 100 * ms; /* of callers' own choice */
constexpr double requests_per_s = 2.5;        /* for each instance */

/* What the instances decide by when requests come after the signal. */
enum Policy {
  POLICY_NONE,     /* routers are not told when the stop ends */
  POLICY_EXPECTED, /* the same; the fleet refuses by the expected share */
  POLICY_STRICT,   /* the same; the fleet refuses by its upper bound */
  POLICY_ROUTER    /* routers decide, and know which other instances stop */
};

struct Plan {
  unsigned instances;
  Policy policy = POLICY_ROUTER;
  gint64 interval = stop_interval; /* between two stops of a wave */
  unsigned stops = 0;              /* of a wave; 0: all instances */
  unsigned waves = 1;
  unsigned tries = 0; /* of each caller; 0: no limit */
};

struct Count {
  unsigned callers = 0;
  unsigned answered = 0;
  unsigned late = 0;     /* callers that came after the first signal */
  unsigned given_up = 0; /* those of them that used up their tries */
  unsigned cut = 0;      /* that had arrived after the signal */
  unsigned cut_old = 0;  /* that had arrived before it */
  unsigned refused = 0;  /* as draining */
  unsigned other = 0;    /* refusals for other reasons */
  gint64 lost_time = 0;  /* from the first try to the answer, beyond the run */
};

class Fleet {
public:
  Fleet(unsigned seed, const Plan &plan)
      : random(seed), plan(plan), instances(plan.instances) {
    unsigned stops = plan.stops > 0 ? plan.stops : plan.instances;
    for (unsigned i = 0; i < plan.instances; i++)
      start(i);
    schedule(now, [this] { send_new(); });
    first_stop = now + warm_up;
    last_arrival = first_stop + stops * plan.interval;
    for (unsigned wave = 0; wave < plan.waves; wave++) {
      gint64 begin = first_stop + wave * wave_interval;
      for (unsigned i = 0; i < stops; i++)
        schedule(begin + i * plan.interval, [this, i] { stop(i); });
      last_arrival = begin + stops * plan.interval;
    }
    if (plan.waves > 1)
      last_arrival += drain_most;
    for (unsigned i = 0; plan.policy == POLICY_ROUTER && i < plan.instances;
         i++)
      schedule(first_stop - second + i * digest_interval / plan.instances,
               [this, i] { refresh(i); });
  }

  const Count &run() {
    while (!events.empty()) {
      Event event = events.top();
      events.pop();
      now = event.at;
      event.act();
    }
    return counts;
  }

private:
  struct Event {
    gint64 at;
    unsigned long sequence;
    std::function<void()> act;
    bool operator<(const Event &other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Caller {
    gint64 began;
    gint64 duration;    /* of its run, wherever it runs */
    gint64 sent = 0;    /* its last try */
    unsigned tries = 0; /* so far */
  };
  struct Instance {
    std::unique_ptr<World> world;   /* nullptr: it is down */
    unsigned start = 0;             /* counts its starts */
    gint64 stopped_at = 0;          /* 0: it is not stopping */
    size_t handled = 0;             /* of World.dispatches */
    guint32 digests = 0;            /* sent so far */
    RunTimes times = {};            /* for the fleet's own policies */
    std::map<guint64, Caller> open; /* by number of the request */
  };

  void schedule(gint64 at, std::function<void()> act) {
    events.push({at, ++sequence, std::move(act)});
  }

  void start(unsigned index) {
    Instance &instance = instances[index];
    instance.world = std::make_unique<World>(0, 10.0, 0, "10.0.0.5:1", 0, "a",
                                             static_cast<guint64>(random()));
    instance.world->now = now;
    instance.world->configure(1, 20 * second);
    router_store_answered(instance.world->router, now);
    for (const char *name : {"dec-1", "dec-2", "dec-3", "dec-4"}) {
      std::string id = name + ("-of-" + std::to_string(index));
      instance.world->endpoint({id.c_str(), "llm", "a", STAGE_DECODE});
    }
    instance.start++;
    instance.stopped_at = 0;
    instance.handled = 0;
    instance.times = {};
  }

  void stop(unsigned index) {
    Instance &instance = instances[index];
    World &world = at_present(index);
    instance.stopped_at = now;
    if (plan.policy == POLICY_ROUTER) {
      router_begin_stop(world.router, now + drain_most, now);
      send_digest(index);
    }
    schedule(now + drain_least, [this, index] { poll(index); });
  }

  /* Sends the instance's digest to all others, which get it a little later. */
  void send_digest(unsigned index) {
    auto digest = std::make_shared<mp_LoadDigest>();
    guint32 sequence = ++instances[index].digests;
    router_load_digest(at_present(index).router, digest.get(), now);
    schedule(now + digest_delay, [this, index, sequence, digest] {
      for (unsigned i = 0; i < instances.size(); i++) {
        if (i == index || instances[i].world == nullptr)
          continue;
        router_peer_load(at_present(i).router, 0x0a00000000010001 + index,
                         sequence, digest.get(), now);
        follow(i);
      }
    });
  }

  void refresh(unsigned index) {
    if (instances[index].world != nullptr)
      send_digest(index);
    if (now < last_arrival + drain_most)
      schedule(now + digest_interval, [this, index] { refresh(index); });
  }

  /* As io/gateway.c, from 'drain_least' on. */
  void poll(unsigned index) {
    Instance &instance = instances[index];
    World &world = at_present(index);
    router_stop_accepting(world.router, now);
    if (now - instance.stopped_at >= drain_most)
      router_end_requests(world.router, now);
    follow(index);
    if (router_open_requests(world.router) > 0) {
      schedule(now + 50 * ms, [this, index] { poll(index); });
      return;
    }
    instance.world.reset();
    schedule(now + restart_time, [this, index] { start(index); });
  }

  /* Returns the instance's World after what was due there until now. */
  World &at_present(unsigned index) {
    World &world = *instances[index].world;
    world.advance(now - world.now);
    return world;
  }

  void send_new() {
    std::uniform_real_distribution<double> share(0, 1);
    std::exponential_distribution<double> interval(
        requests_per_s * static_cast<double>(instances.size()));
    std::exponential_distribution<double> most(1 / 0.78);
    double seconds = std::min(0.2 + most(random), 6.0);
    if (share(random) < 0.02)
      seconds = 6 + 2 * share(random);
    counts.callers++;
    counts.late += now >= first_stop;
    send({now, static_cast<gint64>(seconds * second)});
    if (now < last_arrival)
      schedule(now + static_cast<gint64>(interval(random) * second),
               [this] { send_new(); });
  }

  bool is_listed(const Instance &instance) const {
    return instance.world != nullptr &&
           (instance.stopped_at == 0 ||
            now - instance.stopped_at < balancer_delay);
  }

  /* Decides in place of the instance's router. */
  bool fleet_refuses(const Instance &instance) const {
    constexpr gint64 cost = connect_time + refused_retry;
    gint64 left = instance.stopped_at + drain_most - now;
    if (instance.stopped_at == 0)
      return false;
    if (plan.policy == POLICY_EXPECTED)
      return run_times_should_refuse(&instance.times, left, cost);
    return plan.policy == POLICY_STRICT &&
           run_times_is_refused(
               run_times_share_longer_max(&instance.times, left), left, cost);
  }

  void send(Caller caller) {
    std::vector<unsigned> listed;
    for (unsigned i = 0; i < instances.size(); i++)
      if (is_listed(instances[i]))
        listed.push_back(i);
    caller.tries++;
    if (listed.empty()) {
      retry(caller, no_instance_wait);
      return;
    }
    unsigned index = listed[random() % listed.size()];
    if (fleet_refuses(instances[index])) {
      counts.refused++;
      retry(caller, connect_time + refused_retry);
      return;
    }
    World &world = at_present(index);
    caller.sent = now;
    instances[index].open[world.next_request_number()] = caller;
    world.request("/stream/x", 20000, 100, 50);
    follow(index);
  }

  /* Handles what the instance has sent to engines and callers. */
  void follow(unsigned index) {
    Instance &instance = instances[index];
    World &world = *instance.world;
    while (instance.handled < world.dispatches.size()) {
      size_t dispatch = instance.handled++;
      gint64 duration =
          instance.open.at(world.dispatches[dispatch].request).duration;
      unsigned began = instance.start;
      gint64 end = now + duration;
      world.outcome(world.dispatches[dispatch].number, OUTCOME_STREAM_HEAD);
      schedule(now + std::min(duration, piece_interval),
               [=, this] { go_on(index, began, dispatch, end); });
    }
    for (auto open = instance.open.begin(); open != instance.open.end();) {
      if (world.end(open->first).ends() == 0) {
        ++open;
        continue;
      }
      end(instance, open->second, world.end(open->first));
      open = instance.open.erase(open);
    }
  }

  /* Sends the next piece of a run, or its end. */
  void go_on(unsigned index, unsigned began, size_t dispatch, gint64 end) {
    Instance &instance = instances[index];
    if (instance.world == nullptr || instance.start != began ||
        instance.world->dispatches[dispatch].cancelled)
      return;
    World &world = at_present(index);
    guint64 number = world.dispatches[dispatch].number;
    if (now >= end) {
      world.outcome(number, OUTCOME_STREAM_END);
    } else {
      world.piece(number, "1");
      schedule(std::min(end, now + piece_interval),
               [=, this] { go_on(index, began, dispatch, end); });
    }
    follow(index);
  }

  void end(Instance &instance, const Caller &caller,
           const routing::CallerResult &result) {
    bool is_late =
        instance.stopped_at != 0 && caller.sent >= instance.stopped_at;
    if (result.answers > 0) {
      counts.answered++;
      run_times_add(&instance.times, now - caller.sent);
      counts.lost_time += now - caller.began - caller.duration;
      return;
    }
    if (result.broken_off > 0)
      (is_late ? counts.cut : counts.cut_old)++;
    else if (result.refusal == REFUSAL_DRAINING)
      counts.refused++;
    else
      counts.other++;
    retry(caller, connect_time + result.retry_after_ms * ms);
  }

  void retry(const Caller &caller, gint64 wait) {
    if (plan.tries > 0 && caller.tries >= plan.tries) {
      counts.given_up += caller.began >= first_stop;
      return;
    }
    schedule(now + wait, [this, caller] { send(caller); });
  }

  std::mt19937 random;
  Plan plan;
  std::vector<Instance> instances;
  std::priority_queue<Event> events;
  unsigned long sequence = 0;
  gint64 now = 100 * second;
  gint64 first_stop = 0;
  gint64 last_arrival = 0;
  Count counts;
};

struct StopFleetTest : ::testing::TestWithParam<unsigned> {};

Count run_seeds(unsigned seeds, const Plan &plan) {
  Count sum;
  for (unsigned seed = 1; seed <= seeds; seed++) {
    Fleet fleet(seed, plan);
    const Count &count = fleet.run();
    sum.callers += count.callers;
    sum.answered += count.answered;
    sum.late += count.late;
    sum.given_up += count.given_up;
    sum.cut += count.cut;
    sum.cut_old += count.cut_old;
    sum.refused += count.refused;
    sum.other += count.other;
    sum.lost_time += count.lost_time;
  }
  return sum;
}

/* Adds up fleets, about 440 stops in all. */
Count run_fleets(unsigned instances, bool decides) {
  Plan plan = {instances};
  if (!decides)
    plan.policy = POLICY_NONE;
  return run_seeds(440 / instances, plan);
}

void record(const std::string &name, const Count &count) {
  auto property = [&](const char *what, gint64 value) {
    ::testing::Test::RecordProperty(name + "_" + what, std::to_string(value));
  };
  property("callers", count.callers);
  property("cut", count.cut);
  property("cut_old", count.cut_old);
  property("refused", count.refused);
  property("other", count.other);
  property("lost_ms", count.lost_time / ms);
}

/* Requests that arrived after the signal were cut at the end of the stop,
** after up to 7.6 s: they were started though many of them could not end. */
TEST_P(StopFleetTest, FewRequestsThatArriveAfterTheSignalAreCut) {
  Count before = run_fleets(GetParam(), false);
  Count after = run_fleets(GetParam(), true);
  record("before", before);
  record("after", after);
  EXPECT_GE(before.cut, 40u);
  EXPECT_EQ(before.refused, 0u);
  EXPECT_LE(after.cut, before.cut / 5);
  for (const Count &count : {before, after}) {
    EXPECT_EQ(count.answered, count.callers);
    EXPECT_EQ(count.other, 0u);
  }
}

/* A refusal must cost callers less than the cut that it prevents. */
TEST_P(StopFleetTest, RefusalsCostCallersLessTimeThanCuts) {
  Count before = run_fleets(GetParam(), false);
  Count after = run_fleets(GetParam(), true);
  EXPECT_LT(after.lost_time, before.lost_time);
}

/* The target: whoever comes after the signal gets an answer or a refusal. */
TEST_P(StopFleetTest, NoRequestThatArrivesAfterTheSignalIsCut) {
  EXPECT_EQ(run_fleets(GetParam(), true).cut, 0u);
}

/* Two waves in a fleet of 8 whose callers try three times. */
struct SmallFleetTest : ::testing::TestWithParam<unsigned> {
  static double answered(Policy policy) {
    Plan plan = {8};
    plan.policy = policy;
    plan.interval = 270 * ms;
    plan.stops = GetParam();
    plan.waves = 2;
    plan.tries = 3;
    Count count = run_seeds(90, plan);
    double share = 1 - static_cast<double>(count.given_up) / count.late;
    std::string name = "policy" + std::to_string(policy);
    record(name, count);
    RecordProperty(name + "_answered", std::to_string(share));
    return share;
  }
};

/* Strict refusals used up callers' tries where nearly all instances stop. */
TEST_P(SmallFleetTest, CallersAreAnsweredAsByTheExpectedShare) {
  double expected = answered(POLICY_EXPECTED);
  double strict = answered(POLICY_STRICT);
  double both = answered(POLICY_ROUTER);
  EXPECT_LT(strict, expected - 0.05);
  EXPECT_GE(both, expected - 0.005);
}

/* 0.95 of 8 is between 7 and 8. */
INSTANTIATE_TEST_SUITE_P(Stops, SmallFleetTest, ::testing::Values(7u, 8u));

INSTANTIATE_TEST_SUITE_P(InstanceCounts, StopFleetTest,
                         ::testing::Values(20u, 88u));

} // namespace
