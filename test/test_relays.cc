/*
** test_relays.cc
** Changes of the store reach all instances through relays: the number of calls
** to the store, the delay, and faults of relays and of the store
*/

#include <gtest/gtest.h>

#include "relay_world.h"

using namespace relaying;

namespace {

/*
** In less than this time a change must be known everywhere: the limit for a
** new configuration in the smallest deployments that have relays.
*/
constexpr gint64 apply_bound = 3 * second;

struct RelaySizes : ::testing::TestWithParam<unsigned> {
  static constexpr unsigned zones = 5;

  std::unique_ptr<World> start_world(double loss = 0.01) {
    auto world = std::make_unique<World>(zones, GetParam(), loss);
    world->write(STORE_CONFIGURATION, "main", "1");
    world->write(STORE_ENDPOINTS, "e1", "1");
    world->start_all();
    world->run(5 * second);
    return world;
  }

  /* Every live instance must hold this configuration. */
  static void expect_known(World &world, const char *text) {
    EXPECT_EQ(world.instances_knowing(STORE_CONFIGURATION, "main", text),
              world.live_instances());
  }

  /* Returns the live relays of one data centre, or of all (-1). */
  static std::vector<Instance *> relays(World &world, int zone = -1) {
    std::vector<Instance *> found;
    for (auto &instance : world.all) {
      if (instance->alive && (zone < 0 || instance->zone == unsigned(zone)) &&
          relay_group_role(instance->group, world.now) == RELAY_ROLE_RELAY)
        found.push_back(instance.get());
    }
    return found;
  }
};

TEST_P(RelaySizes, OnlyRelaysFollowTheStore) {
  auto world = start_world();
  unsigned relay_count = GetParam() / zones < 8 ? zones : 2 * zones;
  EXPECT_EQ(world->instances_with_role(RELAY_ROLE_RELAY), relay_count);
  EXPECT_EQ(world->instances_with_role(RELAY_ROLE_MEMBER),
            GetParam() - relay_count);
  expect_known(*world, "1");
  guint64 before = world->store_calls;
  world->run(20 * second);
  /*
  ** For each relay: watches of 1.85 s for two kinds (11 each), and of 12 s for
  ** the two kinds that change rarely.
  */
  EXPECT_LE(world->store_calls - before, relay_count * (2 * 11 + 2 * 2u));
}

/*
** Each instance reads one stale list of each kind, which costs the store a
** tenth of a fresh list.
*/
TEST_P(RelaySizes, StartReadsStaleListsAndOnlyRelaysWatch) {
  auto world = std::make_unique<World>(zones, GetParam(), 0.01);
  world->write(STORE_CONFIGURATION, "main", "1");
  world->run(2 * second);
  world->write(STORE_CONFIGURATION, "main", "2");
  world->start_all();
  /* relays may have the change from their watch already */
  world->run(10 * ms);
  EXPECT_EQ(world->instances_knowing(STORE_CONFIGURATION, "main", "1") +
                world->instances_knowing(STORE_CONFIGURATION, "main", "2"),
            GetParam());
  world->run(700 * ms);
  expect_known(*world, "2");
  EXPECT_LE(world->store_calls, 2 * zones * 6u);
  EXPECT_LE(world->stale_list_calls, 3 * GetParam());
}

TEST_P(RelaySizes, ChangeReachesAllWithin800Ms) {
  auto world = start_world();
  for (int i = 2; i < 8; i++) {
    std::string text = std::to_string(i);
    world->write(STORE_CONFIGURATION, "main", text);
    world->run(3 * second);
    EXPECT_LE(world->slowest_delay("main", text), 800 * ms) << i;
  }
}

TEST_P(RelaySizes, RemovedEndpointIsRemovedEverywhere) {
  auto world = start_world();
  world->write(STORE_ENDPOINTS, "e2", "1");
  world->run(2 * second);
  world->remove(STORE_ENDPOINTS, "e2");
  world->run(2 * second);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "1"), 0u);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "1"), GetParam());
}

TEST_P(RelaySizes, ChangeReachesADataCentreWhoseRelaysWereKilled) {
  auto world = start_world();
  for (auto *relay : relays(*world, 2))
    world->kill(*relay);
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  expect_known(*world, "2");
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
}

TEST_P(RelaySizes, RelaysCutOffTheStoreFollowOtherDataCentres) {
  auto world = start_world();
  for (auto *relay : relays(*world, 1))
    relay->cut_from_store = true;
  world->run(100 * ms);
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
}

TEST_P(RelaySizes, RelaysCutOffTheStoreAreReplaced) {
  auto world = start_world();
  for (auto *relay : relays(*world))
    relay->cut_from_store = true;
  world->run(100 * ms);
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
}

TEST_P(RelaySizes, StoreOutageDoesNotMultiplyCalls) {
  auto world = start_world();
  guint64 before = world->store_calls;
  world->store_up = false;
  world->run(8 * second);
  /*
  ** An instance without relays makes some 25 calls (three kinds, each 0.8 s).
  ** The relays make as many; besides, each 0.25 s one more instance begins to
  ** make a call each 3 s and kind.
  */
  unsigned relay_count = GetParam() / zones < 8 ? zones : 2 * zones;
  EXPECT_LE(world->store_calls - before, relay_count * 25u + zones * 18 * 5u);
  world->store_up = true;
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
  world->run(3 * second);
  EXPECT_LE(world->instances_with_role(RELAY_ROLE_RELAY), 2 * zones);
}

/*
** After an outage many instances act as relays. Those that do not answer must
** not be asked one after the other before the store is.
*/
TEST_P(RelaySizes, UnansweredRelaysDoNotDelayCallsToTheStore) {
  auto world = start_world();
  world->store_up = false;
  world->run(9 * second);
  for (auto &instance : world->all)
    instance->answers = false;
  world->store_up = true;
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
}

/*
** New relays whose control address is not listed yet: one relay of a data
** centre, and all relays of another.
*/
TEST_P(RelaySizes, UnlistedRelaysDoNotDelayAChange) {
  auto world = start_world();
  relays(*world, 1)[0]->is_listed = false;
  for (auto *relay : relays(*world, 2))
    relay->is_listed = false;
  world->write(STORE_CONFIGURATION, "main", "2");
  world->run(apply_bound);
  EXPECT_LT(world->slowest_delay("main", "2"), apply_bound);
}

TEST_P(RelaySizes, CompactedHistoryBringsNoOlderTextBack) {
  auto world = start_world();
  world->write(STORE_CONFIGURATION, "main", "2");
  world->compact_history();
  world->run(50 * ms);
  world->write(STORE_CONFIGURATION, "main", "3");
  world->remove(STORE_ENDPOINTS, "e1");
  world->run(3 * second);
  expect_known(*world, "3");
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "1"), 0u);
  for (auto &instance : world->all)
    EXPECT_EQ(instance->older_texts_taken, 0u);
}

TEST_P(RelaySizes, RestartOfAllReadsEverythingAtOnce) {
  auto world = start_world();
  for (auto &instance : world->all)
    world->kill(*instance);
  world->run(1 * second);
  guint64 before = world->store_calls;
  world->start_all();
  world->run(10 * ms);
  expect_known(*world, "1");
  world->run(700 * ms);
  EXPECT_LE(world->store_calls - before, 2 * zones * 6u);
}

/*
** Another writer changes an object that nobody can use ten times a second;
** each change still goes to all instances.
*/
TEST_P(RelaySizes, RestartOfAllReadsEverythingWhileAnObjectKeepsChanging) {
  auto world = start_world();
  int version = 1000; /* texts are compared as strings: same length */
  auto change_bad_object = [&](gint64 span) {
    for (gint64 until = world->now + span; world->now < until;) {
      world->write(STORE_ENDPOINTS, "spoilt", std::to_string(++version));
      world->run(100 * ms);
    }
  };
  change_bad_object(2 * second);
  for (auto &instance : world->all)
    world->kill(*instance);
  change_bad_object(1 * second);
  world->start_all();
  world->run(10 * ms);
  expect_known(*world, "1");
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "1"),
            world->live_instances());
  change_bad_object(700 * ms);
  guint64 before = world->store_calls;
  change_bad_object(10 * second);
  /* changes of one kind cost each relay at most one call each 0.4 s */
  unsigned relay_count = GetParam() / zones < 8 ? zones : 2 * zones;
  EXPECT_LE(world->store_calls - before, relay_count * (25 + 12 + 2 * 3u));
  world->write(STORE_CONFIGURATION, "main", "2");
  change_bad_object(apply_bound);
  expect_known(*world, "2");
  for (auto &instance : world->all)
    EXPECT_EQ(instance->older_texts_taken, 0u);
}

TEST_P(RelaySizes, RandomKillsOfRelaysDelayNoChange) {
  auto world = start_world(0.05);
  GRand *random = g_rand_new_with_seed(GetParam());
  int version = 2;
  for (int round = 0; round < 12; round++) {
    for (auto *relay : relays(*world)) {
      if (g_rand_double(random) < 0.3)
        world->kill(*relay);
    }
    world->write(STORE_CONFIGURATION, "main", std::to_string(100 + version++));
    world->run(apply_bound);
    EXPECT_LT(world->slowest_delay("main", std::to_string(99 + version)),
              apply_bound)
        << round;
    for (auto &instance : world->all) {
      if (!instance->alive)
        world->start(*instance);
    }
    world->run(g_rand_int_range(random, 200, 1500) * ms);
  }
  for (auto &instance : world->all)
    EXPECT_EQ(instance->older_texts_taken, 0u);
  g_rand_free(random);
}

/* The smallest machines of a large deployment cannot carry a relay's load. */
TEST_P(RelaySizes, LargestLiveMachinesAreRelays) {
  World world(zones, GetParam());
  world.write(STORE_CONFIGURATION, "main", "1");
  world.write(STORE_ENDPOINTS, "e1", "1");
  for (size_t i = 0; i < world.all.size(); i++)
    world.all[i]->capacity = i / zones == 2 || i / zones == 3 ? 500 : 100;
  world.start_all();
  world.run(5 * second);
  for (Instance *instance : relays(world))
    EXPECT_EQ(instance->capacity, 500u);
  for (auto &instance : world.all) {
    if (instance->capacity == 500)
      world.kill(*instance);
  }
  world.run(5 * second);
  EXPECT_GE(relays(world).size(), zones);
  world.write(STORE_CONFIGURATION, "main", "2");
  world.run(apply_bound);
  expect_known(world, "2");
}

INSTANTIATE_TEST_SUITE_P(Instances, RelaySizes,
                         ::testing::Values(20, 60, 300));

/*
** Guards against instances that start before the store and register only 1.2 s
** after it answers. It comes about when a seed (another instance, asked at the
** start) that knows nothing either counts as a failure of the store: of the
** calls at 0, 0.1, 0.3, 0.7 and 1.5 s every second one goes to a seed, and the
** backoff grows after it. A store that listens just after the call at 0.3 s is
** then asked at 1.5 s (6 of 24 runs with a store that starts 0.3 s late).
*/
TEST(Seeds, WithoutKnowledgeDoNotDelayCallsToTheStore) {
  static const mp_Addr seeds[] = {11, 12};
  RelayTiming times = {watch_wait, apply_bound};
  RelayGroup *group = relay_group_new(7, 0, &times, second);
  NewsSource source = {};
  FollowerHost host = {nullptr, [](void *, StoreKind, const StoreObject *) {},
                       [](void *, StoreKind, GHashTable *) {},
                       [](void *, StoreKind) {}, [](void *, StoreKind) {}};
  NewsSourceHost none = {nullptr,
                         [](void *, mp_Addr) -> mp_Addr { return 0; }};
  gint64 now = second;
  gint64 last = now;
  unsigned asked_seeds = 0;
  follower_init(&source.follower, STORE_CONFIGURATION, watch_wait, 300 * ms,
                &host);
  news_source_init(&source, group, &none, seeds, 2);
  relay_group_skip_start_wait(group);
  for (; now < 4 * second; now += ms) {
    StoreReply failed = {STORE_FAILED, nullptr, FALSE, {},
                         FALSE,        0,       FALSE, FALSE};
    NewsAction wanted;
    news_source_next(&source, now, &wanted);
    if (wanted.step == NEWS_WAIT)
      continue;
    if (wanted.step == NEWS_ASK_STORE) {
      EXPECT_LE(now - last, 801 * ms + 1);
      last = now;
    }
    asked_seeds += wanted.step == NEWS_ASK_INSTANCE;
    news_source_reply(&source, &failed, now);
  }
  EXPECT_GE(asked_seeds, 2u);
  EXPECT_GE(last, 3 * second);
  follower_clear(&source.follower);
  relay_group_free(group);
}

/*
** Returns the role of an instance with this many other instances in its own
** data centre and in the others.
*/
RelayRole role_among(unsigned near_count, unsigned far_count) {
  RelayTiming times = {watch_wait, apply_bound};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  GArray *near = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  GArray *far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (mp_Addr i = 0; i < near_count; i++) {
    RelayMember member = {100 + i, 9, 0};
    g_array_append_val(near, member);
  }
  for (unsigned i = 0; i < far_count; i++) {
    RelayMember member = {1000 + i, i % 4, 0};
    g_array_append_val(far, member);
  }
  relay_group_set_members(group, near, far, second);
  relay_group_role(group, second); /* its wait for other relays begins */
  RelayRole role = relay_group_role(group, 3 * second);
  EXPECT_EQ(relay_group_uses_summaries(group),
            near_count + far_count + 1 > RELAY_FULL_MESH_MAX);
  g_array_free(near, TRUE);
  g_array_free(far, TRUE);
  relay_group_free(group);
  return role;
}

/* Without a relay its loads would be in no summary for the others. */
TEST(Relays, SmallDataCentreOfALargeDeploymentHasOne) {
  EXPECT_EQ(role_among(2, 20), RELAY_ROLE_ALONE);
  EXPECT_EQ(role_among(2, 40), RELAY_ROLE_RELAY);
  EXPECT_EQ(role_among(0, 40), RELAY_ROLE_RELAY);
  EXPECT_EQ(role_among(5, 20), RELAY_ROLE_RELAY);
}

TEST(Relays, SmallDeploymentFollowsTheStoreWithoutThem) {
  World world(3, 9);
  world.write(STORE_CONFIGURATION, "main", "1");
  world.start_all();
  world.run(3 * second);
  EXPECT_EQ(world.instances_with_role(RELAY_ROLE_ALONE), 9u);
  EXPECT_EQ(world.instances_knowing(STORE_CONFIGURATION, "main", "1"), 9u);
}

/*
** The relay may run an earlier release, whose heartbeats name no change of the
** new era.
*/
TEST(Relays, RelayOfAnOlderEraIsNotFresh) {
  RelayTiming times = {watch_wait, 3 * second};
  gint64 now = 10 * second;
  RelayGroup *group = relay_group_new(7, 0, &times, now);
  GArray *near = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  GArray *far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (mp_Addr i = 1; i < 10; i++) {
    RelayMember member = {100 + i, 0, 1000};
    g_array_append_val(near, member);
  }
  relay_group_set_members(group, near, far, now);
  mp_RelayHeartbeat told = {};
  told.age_ms = 50;
  told.changed[STORE_CONFIGURATION] = store_position(1, 900);
  for (mp_Addr i = 1; i < 10; i++)
    relay_group_receive_heartbeat(group, 100 + i, &told, now);
  EXPECT_GE(relay_group_relays_before(group, now).fresh, 2u);
  relay_group_observe_era(group, 2);
  EXPECT_EQ(relay_group_relays_before(group, now).fresh, 0u);
  told.changed[STORE_CONFIGURATION] = store_position(2, 31);
  relay_group_receive_heartbeat(group, 101, &told, now);
  EXPECT_EQ(relay_group_relays_before(group, now).fresh, 1u);
  g_array_free(near, TRUE);
  g_array_free(far, TRUE);
  relay_group_free(group);
}

} // namespace
