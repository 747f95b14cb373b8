/*
** test_late_news.cc
** How late a change of the store may be at an instance that reaches it
**
** What users saw: a route was added and confirmed, and 2.2 s later an
** instance that could reach the store answered that there is no such route;
** 2 s are allowed.
** Order of events: the only relay of a data centre of four loses the store
** without a sign; its heartbeats go on; two changes a second are made; after
** 2.7 s another instance takes the relay's place.
** Cause: how long a relay counts as fresh followed from how long its watches
** wait, and from no bound on the age of what its members know.
** Evidence: all four instances of that data centre missed the same nine
** versions, the five others, which follow the store themselves, had each of
** them 10 ms after it was confirmed; no call to the relay failed.
*/

#include <gtest/gtest.h>

#include <deque>

#include "relay_world.h"

using namespace relaying;

namespace {

/* the tightest bounds of the deployments: a change is in force everywhere
** after 2 s, where instances count as in touch 3 s after a disturbance */
constexpr gint64 bound = 2 * second;
constexpr gint64 short_watch = 1800 * ms;
constexpr gint64 change_gap = 500 * ms;

/* instances in data centres of these sizes */
std::unique_ptr<World> world_of(const std::vector<unsigned> &sizes,
                                unsigned seed) {
  unsigned count = 0;
  for (unsigned size : sizes)
    count += size;
  auto world = std::make_unique<World>(1, count, 0.01, seed);
  auto one = world->all.begin();
  for (unsigned zone = 0; zone < sizes.size(); zone++) {
    for (unsigned i = 0; i < sizes[zone]; i++)
      (*one++)->zone = zone;
  }
  world->times = {short_watch, bound};
  world->write(STORE_CONFIGURATION, "main", "100");
  world->write(STORE_ENDPOINTS, "e1", "1");
  world->start_all();
  return world;
}

/* changes for a while; each is known in time by all that reach the store */
void change_and_check(World &world, int *version, gint64 span) {
  std::deque<std::pair<gint64, int>> due;
  gint64 end = world.now + span;
  gint64 next = world.now;
  while (world.now < end) {
    if (world.now >= next) {
      world.write(STORE_CONFIGURATION, "main", std::to_string(++*version));
      due.emplace_back(world.now + bound, *version);
      next += change_gap;
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

void cut_relays(World &world) {
  for (Instance *relay : relays_of(world))
    relay->cut_from_store = true;
}

/* the cut falls at each point of a watch's wait */
void expect_no_delay(const std::vector<unsigned> &sizes) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = world_of(sizes, seed);
    int version = 100;
    world->run(3 * second + seed * 93 * ms);
    change_and_check(*world, &version, 2 * second);
    cut_relays(*world);
    change_and_check(*world, &version, 8 * second);
    for (auto &one : world->all)
      one->cut_from_store = false;
    change_and_check(*world, &version, 4 * second);
  }
}

TEST(LateNews, ARelayCutFromTheStoreDelaysNobody) {
  expect_no_delay({4, 3, 2});
  expect_no_delay({7});
  expect_no_delay({9});
  expect_no_delay({4, 4, 4});
  expect_no_delay({12, 12});
}

/* the one that would take the relay's place first has lost the store too */
TEST(LateNews, TwoCutOffOneAfterTheOtherDelayNobody) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = world_of({6, 2}, seed);
    int version = 100;
    world->run(3 * second + seed * 93 * ms);
    change_and_check(*world, &version, 2 * second);
    Instance *first = relays_of(*world)[0];
    first->cut_from_store = true;
    world->run(bound); /* another one has taken the place */
    std::vector<Instance *> both = relays_of(*world);
    ASSERT_EQ(both.size(), 2u);
    first->cut_from_store = false;
    world->run(5 * second); /* and has given it up again */
    ASSERT_EQ(relays_of(*world).size(), 1u);
    for (Instance *one : both)
      one->cut_from_store = true;
    change_and_check(*world, &version, 6 * second);
  }
}

/* an endpoint that leaves is heard of as early as a configuration */
TEST(LateNews, AnEndpointThatLeavesIsHeardOfInTime) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = world_of({4, 3, 2}, seed);
    world->run(4 * second + seed * 93 * ms);
    cut_relays(*world);
    world->remove(STORE_ENDPOINTS, "e1");
    world->run(bound);
    for (auto &one : world->all) {
      unsigned known = one->seen[STORE_ENDPOINTS].count("e1");
      EXPECT_TRUE(one->cut_from_store || known == 0);
    }
  }
}

/* a relay that has lost the store is not fresh by the one in its place */
TEST(LateNews, WhoTakesARelaysPlaceKeepsItUntilTheStoreAnswersThere) {
  auto world = world_of({4, 3, 2}, 1);
  world->run(4 * second);
  cut_relays(*world);
  world->run(2 * second);
  std::vector<Instance *> standing = relays_of(*world);
  ASSERT_EQ(standing.size(), 2u);
  for (int i = 0; i < 60; i++) {
    world->run(100 * ms);
    EXPECT_EQ(relays_of(*world), standing);
  }
  for (auto &one : world->all)
    one->cut_from_store = false;
  world->run(4 * second);
  EXPECT_EQ(relays_of(*world).size(), 1u);
}

/* it hears from relays elsewhere that its silent watch lacks something */
TEST(LateNews, ARelayAmongOthersAsksThemWhenItsWatchIsLost) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = world_of({4, 4, 4}, seed);
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

/* a relay that is killed and back before it is missed has the news of before
** its start from its list alone */
TEST(LateNews, ARelayThatRestartsTellsWhatLeftBeforeItsStart) {
  for (unsigned seed = 1; seed <= 20; seed++) {
    auto world = world_of({4, 3, 2}, seed);
    world->write(STORE_ENDPOINTS, "e2", "1");
    world->run(4 * second);
    Instance *relay = relays_of(*world)[0];
    world->kill(*relay);
    world->remove(STORE_ENDPOINTS, "e2");
    world->list_staleness = 0; /* its first list is as new as it can be */
    world->run(100 * ms + seed * 20 * ms);
    world->start(*relay);
    world->run(bound);
    EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "1"), 0u)
        << seed;
  }
}

} // namespace
