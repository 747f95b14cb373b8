/*
** test_large_configuration.cc
** Changes of a configuration of any size reach whoever can reach the store,
** or an instance that has them
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>

#include "relay_world.h"

using namespace relaying;

namespace {

constexpr gint64 bound = 3 * second; /* until a change is in force */
constexpr gint64 change_gap = 500 * ms;
constexpr unsigned many_routes = 1400; /* some 250 kB */
/* versions are compared as texts, so they have as many digits */
constexpr int first_version = 1000;

struct Fleet {
  World world;
  int version = first_version;
  gint64 next_change;
  std::deque<std::pair<gint64, int>> due;

  Fleet(unsigned zones, unsigned instances, unsigned routes, unsigned seed = 1)
      : world(zones, instances, 0.01, seed) {
    world.routes = routes;
    world.write(STORE_CONFIGURATION, "main", std::to_string(version));
    world.write(STORE_ENDPOINTS, "e1", "1");
    world.start_all();
    world.run(5 * second);
    next_change = world.now;
  }

  /* a change each 0.5 s; returns how many were not held in time by all that
  ** are not cut off from everybody */
  unsigned change(gint64 span) {
    unsigned late = 0;
    for (gint64 end = world.now + span; world.now < end;) {
      if (world.now >= next_change) {
        world.write(STORE_CONFIGURATION, "main", std::to_string(++version));
        due.emplace_back(world.now + bound, version);
        next_change += change_gap;
      }
      world.run(20 * ms);
      for (; !due.empty() && due.front().first <= world.now; due.pop_front())
        late += world.oldest_known_configuration("main") < due.front().second;
    }
    return late;
  }

  std::vector<Instance *> relays(unsigned zone) {
    std::vector<Instance *> found;
    for (auto &one : world.all) {
      if (one->zone == zone &&
          relay_group_role(one->group, world.now) == RELAY_ROLE_RELAY)
        found.push_back(one.get());
    }
    return found;
  }
};

/* every second instance, all relays of the first data centre among them */
std::vector<Instance *> half_of(Fleet &fleet) {
  std::vector<Instance *> half = fleet.relays(0);
  for (size_t i = 0; i < fleet.world.all.size(); i += 2) {
    Instance *one = fleet.world.all[i].get();
    if (std::find(half.begin(), half.end(), one) == half.end())
      half.push_back(one);
  }
  return half;
}

/* the store turns half of the instances away, in this manner */
void expect_all_reached(bool Instance::*trouble) {
  for (unsigned instances : {12, 58}) {
    Fleet fleet(3, instances, many_routes);
    EXPECT_EQ(fleet.change(3 * second), 0u);
    for (Instance *one : half_of(fleet))
      one->*trouble = true;
    EXPECT_EQ(fleet.change(8 * second), 0u) << instances;
  }
}

TEST(LargeConfiguration, ReachesWhomTheStoreDoesNotAnswer) {
  expect_all_reached(&Instance::cut_from_store);
}

TEST(LargeConfiguration, ReachesWhomTheStoreRefuses) {
  expect_all_reached(&Instance::refused_by_store);
}

/* nobody else has the news: it follows the store itself */
TEST(LargeConfiguration, IsCaughtUpFromTheStoreWithoutAllThatWasMissed) {
  Fleet fleet(1, 2, many_routes);
  Instance *one = fleet.world.all[0].get();
  EXPECT_EQ(fleet.change(3 * second), 0u);
  one->cut_from_all = true;
  EXPECT_EQ(fleet.change(18 * second), 0u);
  one->cut_from_all = false;
  fleet.due.clear();
  EXPECT_EQ(fleet.change(bound), 0u);
  EXPECT_EQ(fleet.change(3 * second), 0u);
}

TEST(LargeConfiguration, IsCaughtUpFromRelaysAfterACut) {
  Fleet fleet(3, 58, many_routes);
  EXPECT_EQ(fleet.change(3 * second), 0u);
  for (size_t i = 20; i < 30; i++)
    fleet.world.all[i]->cut_from_all = true;
  EXPECT_EQ(fleet.change(10 * second), 0u);
  for (size_t i = 20; i < 30; i++)
    fleet.world.all[i]->cut_from_all = false;
  fleet.due.clear();
  EXPECT_EQ(fleet.change(5 * second), 0u);
}

/* relays that have just started know no earlier texts: whole ones travel */
TEST(LargeConfiguration, ReachesAllWhenRelaysHaveStartedAnew) {
  Fleet fleet(3, 58, many_routes);
  EXPECT_EQ(fleet.change(3 * second), 0u);
  for (Instance *one : half_of(fleet))
    one->refused_by_store = true;
  for (unsigned zone = 0; zone < 3; zone++) {
    for (Instance *one : fleet.relays(zone)) {
      one->refused_by_store = false;
      fleet.world.kill(*one);
      fleet.world.start(*one);
    }
  }
  EXPECT_EQ(fleet.change(8 * second), 0u);
}

/* what a change costs does not grow with what there is */
TEST(LargeConfiguration, ChangesAloneTravelBetweenInstances) {
  Fleet fleet(3, 58, many_routes);
  EXPECT_EQ(fleet.change(3 * second), 0u);
  guint64 calls = fleet.world.store_calls;
  guint64 told = fleet.world.configuration_bytes_sent;
  EXPECT_EQ(fleet.change(10 * second), 0u);
  /* 20 changes; six relays, and watches that wait in vain besides */
  EXPECT_LE(fleet.world.store_calls - calls, 20 * 6 + 6 * 40u);
  EXPECT_LE(fleet.world.configuration_bytes_sent - told, 20u * 58 * 600);
}

/* a relay's one failure leaves an instance to a store that is silent */
TEST(LateNews, ARelayThatFailedOnceIsAskedAgainWhileTheStoreIsSilent) {
  Fleet fleet(2, 16, 0);
  EXPECT_EQ(fleet.change(2 * second), 0u);
  std::vector<Instance *> deaf = fleet.relays(0);
  for (auto &one : fleet.world.all)
    one->cut_from_store = one->zone == 0;
  for (Instance *one : fleet.relays(1))
    one->answers = false;
  fleet.change(1 * second);
  for (Instance *one : fleet.relays(1))
    one->answers = true;
  fleet.due.clear();
  EXPECT_EQ(fleet.change(6 * second), 0u);
}

/* its members would take its word for the newest one */
TEST(Relays, OneThatLacksWhatItHearsOfIsNotFreshByIt) {
  RelayTiming times = {watch_wait, bound};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  mp_RelayHeartbeat told = {};
  gint64 now = 10 * second;
  relay_group_advance_held(group, STORE_CONFIGURATION, at_revision(100), now);
  relay_group_advance_held(group, STORE_ENDPOINTS, at_revision(100), now);
  told.changed[STORE_CONFIGURATION] = at_revision(100);
  told.age_ms = 50;
  relay_group_receive_heartbeat(group, 99, &told, now);
  EXPECT_EQ(relay_group_age(group, now), 50 * ms);
  told.changed[STORE_CONFIGURATION] = at_revision(101);
  for (; now < 14 * second; now += RELAY_HEARTBEAT_INTERVAL)
    relay_group_receive_heartbeat(group, 99, &told, now);
  EXPECT_GE(relay_group_age(group, now), 4 * second);
  EXPECT_GE(relay_group_news_age(group, now), 4 * second);
  relay_group_advance_held(group, STORE_CONFIGURATION, at_revision(101), now);
  EXPECT_EQ(relay_group_news_age(group, now),
            RELAY_HEARTBEAT_INTERVAL + 50 * ms);
  relay_group_free(group);
}

/*
** Random schedules: an instance that nothing has disturbed for a while holds
** each change in time, whatever happens to the others, while the store answers
** one of them at least
*/
struct Schedule {
  static constexpr gint64 calm_after = 4 * second;
  World world;
  GRand *random;
  int version = first_version;
  gint64 next_change = 0;
  std::map<Instance *, gint64> disturbed;
  std::deque<std::pair<gint64, int>> due;
  unsigned late = 0;
  std::string story;

  Schedule(unsigned zones, unsigned instances, unsigned seed)
      : world(zones, instances, 0.01, seed),
        random(g_rand_new_with_seed(seed)) {
    world.routes = 40u << g_rand_int_range(random, 0, 4);
    world.write(STORE_CONFIGURATION, "main", std::to_string(version));
    world.write(STORE_ENDPOINTS, "e1", "1");
    world.start_all();
    world.run(6 * second);
    next_change = world.now;
  }
  ~Schedule() {
    g_rand_free(random);
  }
  Schedule(const Schedule &) = delete;
  Schedule &operator=(const Schedule &) = delete;

  bool reaches_store(const Instance &one) const {
    return one.alive && !one.cut_from_store && !one.refused_by_store &&
           !one.cut_from_all;
  }
  /* what befalls this instance now; it is over when it is drawn again */
  void disturb(Instance &one) {
    bool was_away = one.cut_from_all || !one.alive;
    int what = g_rand_int_range(random, 0, 6);
    if (!one.alive)
      world.start(one);
    one.cut_from_store = what == 0;
    one.refused_by_store = what == 1;
    one.cut_from_all = what == 2;
    if (what == 3)
      world.kill(one);
    if (was_away || what == 2 || what == 3)
      disturbed[&one] = world.now;
    story += std::to_string(world.now / ms) + ":" +
             std::to_string((one.address >> 16) & 0xff) + "=" +
             std::to_string(what) + " ";
  }
  bool is_calm(Instance &one) {
    auto last = disturbed.find(&one);
    return one.alive && !one.cut_from_all &&
           (last == disturbed.end() || world.now - last->second > calm_after);
  }
  void step() {
    Instance &one = *world.all[g_rand_int_range(
        random, 0, static_cast<gint32>(world.all.size()))];
    if (g_rand_double(random) < 0.02)
      disturb(one);
    if (g_rand_double(random) < 0.0005)
      world.compact_history();
    /* the first one is never kept from the store */
    Instance &first = *world.all[0];
    if (!reaches_store(first) && first.alive)
      first.cut_from_store = first.refused_by_store = first.cut_from_all =
          false;
    if (!first.alive)
      world.start(first);
    if (world.now >= next_change) {
      world.write(STORE_CONFIGURATION, "main", std::to_string(++version));
      due.emplace_back(world.now + bound, version);
      next_change += change_gap;
    }
    world.run(20 * ms);
    for (; !due.empty() && due.front().first <= world.now; due.pop_front())
      check(due.front().second);
  }
  void check(int expected) {
    for (auto &one : world.all) {
      if (!is_calm(*one) || one.get() == world.all[0].get())
        continue;
      auto known = one->seen[STORE_CONFIGURATION].find("main");
      if (known == one->seen[STORE_CONFIGURATION].end() ||
          std::stoi(known->second) < expected) {
        late++;
        story += " late " + std::to_string(world.now / ms) + ":" +
                 std::to_string((one->address >> 16) & 0xff);
      }
    }
  }
};

unsigned schedules() {
  const char *count = g_getenv("SCHEDULES");
  return count != nullptr ? static_cast<unsigned>(atoi(count)) : 60;
}

void expect_nobody_late(unsigned seed) {
  static const unsigned sizes[][2] = {{1, 5}, {2, 9}, {3, 12}, {3, 36}};
  auto &size = sizes[seed % 4];
  Schedule schedule(size[0], size[1], seed);
  while (schedule.world.now < 1030 * second)
    schedule.step();
  EXPECT_EQ(schedule.late, 0u)
      << "seed " << seed << " " << size[1] << ": " << schedule.story;
}

TEST(LargeConfiguration, RandomSchedulesLeaveNobodyBehind) {
  for (unsigned seed = 1; seed <= schedules(); seed++)
    expect_nobody_late(seed);
}

/* others of small data centres are lost, or without the store */
TEST(LargeConfiguration, RandomSchedulesThatFailed) {
  for (unsigned seed : {253, 317, 493, 504, 590, 885, 920})
    expect_nobody_late(seed);
}

} // namespace
