/*
** test_late_news.cc
** Tests of how late a change of the store reaches an instance that can reach
** the store
**
** Guards against an instance that reaches the store and still lacks a change
** after the 2 s that are allowed: it answers that there is no route, 2.2 s
** after the route was added and confirmed. It comes about when the only relay
** of a data centre of four loses the store without a sign. Its heartbeats go
** on, two changes a second are made, and another instance replaces the relay
** only after 2.7 s, if the time for which a relay counts as fresh follows
** from the wait of its watches, and not from a bound on the age of what its
** members know. All four instances then missed the same nine versions, while
** the five others, which watch the store themselves, had each version 10 ms
** after it was confirmed. No call to the relay fails meanwhile.
*/

#include <gtest/gtest.h>

#include <deque>

#include "relay_world.h"

using namespace relaying;

namespace {

/* The tightest bounds of all deployments: a change is in force everywhere
** after 2 s; instances count as connected from 3 s after a fault on. */
constexpr gint64 propagation_bound = 2 * second;
constexpr gint64 short_watch = 1800 * ms;
constexpr gint64 change_interval = 500 * ms;

/* Makes a world of instances in data centres of these sizes. */
std::unique_ptr<World> make_world(const std::vector<unsigned> &zone_sizes,
                                  unsigned seed) {
  unsigned count = 0;
  for (unsigned size : zone_sizes)
    count += size;
  auto world = std::make_unique<World>(1, count, 0.01, seed);
  auto one = world->all.begin();
  for (unsigned zone = 0; zone < zone_sizes.size(); zone++) {
    for (unsigned i = 0; i < zone_sizes[zone]; i++)
      (*one++)->zone = zone;
  }
  world->times = {short_watch, propagation_bound};
  world->write(STORE_CONFIGURATION, "main", "100");
  world->write(STORE_ENDPOINTS, "e1", "1");
  world->start_all();
  return world;
}

/* Writes changes for 'span' and checks that all instances that reach the store
** know each of them in time. */
void change_and_check(World &world, int *version, gint64 span) {
  std::deque<std::pair<gint64, int>> due;
  gint64 end = world.now + span;
  gint64 next = world.now;
  while (world.now < end) {
    if (world.now >= next) {
      world.write(STORE_CONFIGURATION, "main", std::to_string(++*version));
      due.emplace_back(world.now + propagation_bound, *version);
      next += change_interval;
    }
    world.run(10 * ms);
    while (!due.empty() && due.front().first <= world.now) {
      EXPECT_GE(world.oldest_configuration_with_store("main"),
                due.front().second);
      due.pop_front();
    }
  }
}

std::vector<Instance *> relays_of(World &world) {
  std::vector<Instance *> found;
  for (auto &one : world.all) {
    if (relay_group_role(one->group, world.now) == RELAY_ROLE_RELAY)
      found.push_back(one.get());
  }
  return found;
}

void cut_relays_from_store(World &world) {
  for (Instance *relay : relays_of(world))
    relay->cut_from_store = true;
}

/* Cuts the relays off at different points of their watches. */
void expect_no_late_change(const std::vector<unsigned> &zone_sizes) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = make_world(zone_sizes, seed);
    int version = 100;
    world->run(3 * second + seed * 93 * ms);
    change_and_check(*world, &version, 2 * second);
    cut_relays_from_store(*world);
    change_and_check(*world, &version, 8 * second);
    for (auto &one : world->all)
      one->cut_from_store = false;
    change_and_check(*world, &version, 4 * second);
  }
}

TEST(ChangePropagation, RelayWithoutTheStoreDelaysNobody) {
  expect_no_late_change({4, 3, 2});
  expect_no_late_change({7});
  expect_no_late_change({9});
  expect_no_late_change({4, 4, 4});
  expect_no_late_change({12, 12});
}

/* The instance that would replace the relay first has lost the store, too. */
TEST(ChangePropagation, RelayAndItsSuccessorWithoutTheStoreDelayNobody) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = make_world({6, 2}, seed);
    int version = 100;
    world->run(3 * second + seed * 93 * ms);
    change_and_check(*world, &version, 2 * second);
    Instance *first = relays_of(*world)[0];
    first->cut_from_store = true;
    world->run(propagation_bound); /* another instance has become relay */
    std::vector<Instance *> both_relays = relays_of(*world);
    ASSERT_EQ(both_relays.size(), 2u);
    first->cut_from_store = false;
    world->run(5 * second); /* it is no relay any more */
    ASSERT_EQ(relays_of(*world).size(), 1u);
    for (Instance *one : both_relays)
      one->cut_from_store = true;
    change_and_check(*world, &version, 6 * second);
  }
}

/* Removals of endpoints arrive as early as changes of the configuration. */
TEST(ChangePropagation, RemovedEndpointIsKnownInTime) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = make_world({4, 3, 2}, seed);
    world->run(4 * second + seed * 93 * ms);
    cut_relays_from_store(*world);
    world->remove(STORE_ENDPOINTS, "e1");
    world->run(propagation_bound);
    for (auto &one : world->all) {
      unsigned known = one->seen[STORE_ENDPOINTS].count("e1");
      EXPECT_TRUE(one->cut_from_store || known == 0);
    }
  }
}

/* A relay that has lost the store must not count as fresh because of what its
** successor tells it. */
TEST(ChangePropagation, SuccessorOfARelayStaysUntilTheStoreAnswersTheRelay) {
  auto world = make_world({4, 3, 2}, 1);
  world->run(4 * second);
  cut_relays_from_store(*world);
  world->run(2 * second);
  std::vector<Instance *> relays = relays_of(*world);
  ASSERT_EQ(relays.size(), 2u);
  for (int i = 0; i < 60; i++) {
    world->run(100 * ms);
    EXPECT_EQ(relays_of(*world), relays);
  }
  for (auto &one : world->all)
    one->cut_from_store = false;
  world->run(4 * second);
  EXPECT_EQ(relays_of(*world).size(), 1u);
}

/* Heartbeats of the relays of other data centres tell a relay of changes that
** its silent watch lacks. */
TEST(ChangePropagation, RelayAsksOtherRelaysWhenItsWatchIsLost) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = make_world({4, 4, 4}, seed);
    world->run(4 * second + seed * 93 * ms);
    Instance *relay = relays_of(*world)[0];
    relay->cut_from_store = true;
    world->write(STORE_CONFIGURATION, "main", "200");
    world->run(1 * second);
    EXPECT_EQ(world->instances_knowing(STORE_CONFIGURATION, "main", "200"),
              12u)
        << seed;
  }
}

/* A relay that restarts before its absence is noticed knows what
** happened before its start from its list alone, which does not name
** removed objects. */
TEST(ChangePropagation, RestartedRelayReportsRemovalsBeforeItsStart) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = make_world({4, 3, 2}, seed);
    world->write(STORE_ENDPOINTS, "e2", "1");
    world->run(4 * second);
    Instance *relay = relays_of(*world)[0];
    world->kill(*relay);
    world->remove(STORE_ENDPOINTS, "e2");
    world->list_staleness = 0; /* its first list is up to date */
    world->run(100 * ms + seed * 20 * ms);
    world->start(*relay);
    world->run(propagation_bound);
    EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "1"), 0u)
        << seed;
  }
}

} // namespace
