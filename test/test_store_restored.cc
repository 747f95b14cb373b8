/*
** test_store_restored.cc
** The store is restored from an older copy: its revisions go back and are used
** again for other changes
**
** Guards against instances that miss changes after the restore because they
** compare revisions of two eras, and against older configurations or shorter
** endpoint lists taken from the copy.
*/

#include <gtest/gtest.h>

#include "relay_world.h"

using namespace relaying;

namespace {

/*
** A change is in force everywhere within this time after it was written or
** after the store returned, whichever is later.
*/
constexpr gint64 apply_bound = 2 * second;
constexpr gint64 short_watch = 1800 * ms;
/*
** An entry that is missing from the restored store may be written again by its
** writer within 2 s; an entry that is still missing later has been removed.
*/
constexpr gint64 removal_bound = 3 * second;

struct RestoredStore : ::testing::TestWithParam<unsigned> {
  std::unique_ptr<World> world;
  int version = 100;

  void SetUp() override {
    world = std::make_unique<World>(3, GetParam(), 0.01, GetParam());
    world->times = {short_watch, apply_bound};
    write();
    world->write(STORE_ENDPOINTS, "e1", "ready");
    world->write(STORE_ENDPOINTS, "e2", "ready");
    world->start_all();
    world->run(5 * second);
  }
  void write() {
    world->write(STORE_CONFIGURATION, "main", std::to_string(++version));
  }
  /* Writes changes, so that the revision is well past that of the copy. */
  void write_changes(int times) {
    for (int i = 0; i < times; i++) {
      write();
      world->run(200 * ms);
    }
  }
  /* The store is down for 'outage' and returns from a copy of that age. */
  void restore(gint64 age, gint64 outage = 2 * second) {
    world->store_up = false;
    world->run(outage);
    world->restore(age + outage);
    world->store_up = true;
  }
  void expect_newest_everywhere(const char *when) {
    EXPECT_EQ(world->oldest_known_configuration("main"), version) << when;
  }
};

TEST_P(RestoredStore, ChangeAfterTheRestoreReachesAllInTime) {
  write_changes(15);
  restore(2500 * ms);
  world->run(1 * second);
  write();
  world->run(apply_bound);
  expect_newest_everywhere("written a second after the return");
}

TEST_P(RestoredStore, LeavingEndpointAfterTheRestoreReachesAllInTime) {
  write_changes(15);
  restore(2500 * ms);
  world->run(1 * second);
  world->write(STORE_ENDPOINTS, "e1", "leaving");
  world->remove(STORE_ENDPOINTS, "e2");
  world->run(apply_bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "leaving"),
            world->live_instances());
  /* e2 was removed before the first list: its writer may still write it */
  world->run(removal_bound - apply_bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "ready"), 0u);
}

TEST_P(RestoredStore, RemovalAfterTheFirstListReachesAllInTime) {
  write_changes(15);
  restore(2500 * ms);
  world->run(1500 * ms);
  world->remove(STORE_ENDPOINTS, "e2");
  world->run(apply_bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "ready"), 0u);
}

/* The revision is past the old one again before any instance asks. */
TEST_P(RestoredStore, ChangesUnderReusedRevisionsReachAll) {
  write_changes(5);
  world->store_up = false;
  world->run(500 * ms);
  world->restore(1500 * ms, 0);
  world->run(1 * ms);
  world->write(STORE_ENDPOINTS, "e1", "leaving");
  for (int i = 0; i < 10; i++)
    write();
  world->store_up = true;
  world->run(apply_bound);
  expect_newest_everywhere("past the old count");
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "leaving"),
            world->live_instances());
}

TEST_P(RestoredStore, OlderConfigurationOrShorterListIsNotTaken) {
  write_changes(15);
  world->write(STORE_ENDPOINTS, "e3", "ready");
  world->run(500 * ms);
  restore(3 * second);
  for (int i = 0; i < 40; i++) {
    world->run(50 * ms);
    expect_newest_everywhere("after the return");
    EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e3", "ready"),
              world->live_instances());
  }
}

/* Instances cut off the store learn of the restore from the others. */
TEST_P(RestoredStore, InstancesCutOffTheStoreLearnOfTheRestore) {
  write_changes(15);
  for (unsigned i = 0; i < world->all.size(); i += 4)
    world->all[i]->cut_from_store = true;
  restore(2500 * ms);
  world->run(apply_bound);
  write();
  world->run(apply_bound);
  if (GetParam() >= 12)
    expect_newest_everywhere("some are cut off");
  for (auto &instance : world->all)
    instance->cut_from_store = false;
  world->run(apply_bound);
  expect_newest_everywhere("all reach the store");
}

TEST_P(RestoredStore, ChangeAfterRepeatedRestoresReachesAllInTime) {
  for (int i = 0; i < 4; i++) {
    write_changes(8);
    restore(1 * second, 300 * ms);
    world->run(400 * ms);
  }
  write();
  world->run(apply_bound);
  expect_newest_everywhere("after four returns");
}

/*
** Runs until every live instance knows this configuration; returns the time
** that took, or -1 if it took longer than 'most'.
*/
gint64 time_until_known(World &world, const std::string &text, gint64 most) {
  for (gint64 time = 0; time <= most; time += 10 * ms) {
    if (world.instances_knowing(STORE_CONFIGURATION, "main", text) ==
        world.live_instances())
      return time;
    world.run(10 * ms);
  }
  return -1;
}

/*
** A restore costs the store lists of each kind, twice, from the instances that
** follow it; those that follow relays make no call.
*/
TEST_P(RestoredStore, OnlyFollowersOfTheStoreCallItAfterTheRestore) {
  constexpr gint64 span = 5 * second;
  guint64 before = world->store_calls;
  world->run(span);
  guint64 calm_calls = world->store_calls - before;
  restore(3 * second, 0);
  before = world->store_calls;
  world->run(1 * second);
  guint64 first = world->store_calls - before;
  write();
  gint64 known =
      time_until_known(*world, std::to_string(version), apply_bound);
  world->run(span - 1 * second - known);
  guint64 all = world->store_calls - before;
  unsigned followers = world->instances_with_role(RELAY_ROLE_RELAY) +
                       world->instances_with_role(RELAY_ROLE_ALONE);
  printf("%u instances, %u of them follow the store: %d calls in the first "
         "second, %d in 5 s (%d in calm), a change known by all after %d ms\n",
         GetParam(), followers, static_cast<int>(first), static_cast<int>(all),
         static_cast<int>(calm_calls), static_cast<int>(known / ms));
  EXPECT_LE(first, followers * 3u * MP_RELAY_KINDS);
  EXPECT_LE(all, calm_calls + followers * 5u * MP_RELAY_KINDS);
  EXPECT_GE(known, 0);
}

INSTANTIATE_TEST_SUITE_P(All, RestoredStore,
                         ::testing::Values(2u, 9u, 24u, 58u, 300u));

/*
** Random schedules: the store is restored from copies of any age, once or more
** often, while instances are cut off, refused and killed. An instance that has
** not been disturbed for 4 s must hold each change within the bound after it
** was written or the store returned, whichever is later, and no instance may
** take a configuration older than one it has held.
*/
struct RestoreSchedule {
  static constexpr gint64 calm_time = 4 * second;
  static constexpr gint64 schedule_length = 30 * second;
  World world;
  GRand *random;
  int version = 100;
  gint64 next_change = 0;
  gint64 settled_at = 0;
  gint64 outage_until = 0;
  gint64 copy_age = 0;
  std::map<Instance *, gint64> disturbed_at;
  std::map<Instance *, int> newest_held; /* in this incarnation */
  std::map<Instance *, unsigned> incarnation;
  std::vector<std::pair<gint64, int>> writes;
  unsigned fault_count = 0;
  std::string steps;

  RestoreSchedule(unsigned zones, unsigned instances, unsigned seed)
      : world(zones, instances, 0.01, seed),
        random(g_rand_new_with_seed(seed)) {
    world.times = {short_watch, apply_bound};
    world.routes = seed % 3 == 0 ? 300 : 0;
    write_change();
    world.write(STORE_ENDPOINTS, "e1", "ready");
    world.start_all();
    world.run(6 * second);
  }
  ~RestoreSchedule() {
    g_rand_free(random);
  }
  RestoreSchedule(const RestoreSchedule &) = delete;
  RestoreSchedule &operator=(const RestoreSchedule &) = delete;

  gint64 random_between(gint64 least, gint64 most) {
    return least + static_cast<gint64>(g_rand_double(random) *
                                       static_cast<double>(most - least));
  }
  void write_change() {
    writes.emplace_back(world.now, ++version);
    world.write(STORE_CONFIGURATION, "main", std::to_string(version));
  }
  void log_step(const char *what, gint64 number) {
    steps += std::string(what) + std::to_string(number) + "@" +
             std::to_string((world.now - 1000 * second) / ms) + " ";
  }
  /* The store goes down, to return later from a copy. */
  void begin_outage() {
    world.store_up = false;
    copy_age = random_between(200 * ms, 10 * second);
    outage_until = world.now + random_between(0, 4 * second);
    log_step("away", copy_age / ms);
  }
  void end_outage() {
    world.restore(copy_age, random_between(10 * ms, 600 * ms));
    world.store_up = true;
    /* lost changes are written again by then */
    settled_at = world.now + 600 * ms;
    outage_until = 0;
    log_step("back", copy_age / ms);
  }
  void disturb(Instance &instance) {
    int what = g_rand_int_range(random, 0, 6);
    if (!instance.alive)
      world.start(instance);
    instance.cut_from_store = what == 0;
    instance.refused_by_store = what == 1;
    instance.cut_from_all = what == 2;
    if (what == 3)
      world.kill(instance);
    disturbed_at[&instance] = world.now;
    log_step("disturb", (instance.address >> 16) & 0xffff);
  }
  /* One step of 20 ms. The first instance is never disturbed. */
  void step() {
    Instance &random_instance = *world.all[static_cast<size_t>(
        g_rand_int_range(random, 1, static_cast<gint32>(world.all.size())))];
    if (g_rand_double(random) < 0.02)
      disturb(random_instance);
    if (outage_until == 0 && g_rand_double(random) < 0.004)
      begin_outage();
    if (outage_until != 0 && world.now >= outage_until)
      end_outage();
    if (outage_until == 0 && world.now >= next_change) {
      write_change();
      next_change = world.now + random_between(100 * ms, 1500 * ms);
    }
    world.run(20 * ms);
    check();
  }
  int newest_due_version() const {
    int due = 0;
    for (auto &[at, number] : writes) {
      if (std::max(at, settled_at) + apply_bound <= world.now)
        due = number;
    }
    return due;
  }
  void check() {
    int due = outage_until == 0 ? newest_due_version() : 0;
    for (auto &instance : world.all) {
      auto seen = instance->seen[STORE_CONFIGURATION].find("main");
      bool is_known =
          instance->alive && seen != instance->seen[STORE_CONFIGURATION].end();
      int known_version = is_known ? std::stoi(seen->second) : 0;
      bool is_calm = instance->alive && !instance->cut_from_all &&
                     !instance->cut_from_store &&
                     !instance->refused_by_store &&
                     world.now - disturbed_at[instance.get()] > calm_time;
      if (incarnation[instance.get()] != instance->incarnation)
        newest_held[instance.get()] = 0;
      incarnation[instance.get()] = instance->incarnation;
      if (instance->alive && known_version < newest_held[instance.get()])
        record_fault("fell", *instance);
      newest_held[instance.get()] =
          std::max(newest_held[instance.get()], known_version);
      if (is_calm && known_version < due)
        record_fault("late", *instance);
    }
  }
  void record_fault(const char *what, const Instance &instance) {
    fault_count++;
    if (fault_count < 5)
      log_step(what, (instance.address >> 16) & 0xffff);
  }
};

void expect_no_fault(unsigned seed) {
  static const unsigned sizes[][2] = {{3, 9}, {1, 8}, {3, 24}, {2, 58}};
  auto &size = sizes[seed % 4];
  RestoreSchedule schedule(size[0], size[1], seed);
  while (schedule.world.now < 1000 * second + RestoreSchedule::schedule_length)
    schedule.step();
  EXPECT_EQ(schedule.fault_count, 0u)
      << "seed " << seed << " " << size[1] << ": " << schedule.steps;
}

TEST(StoreRestores, RandomSchedulesDelayNoChange) {
  const char *count = g_getenv("SCHEDULES");
  unsigned last = count != nullptr ? static_cast<unsigned>(atoi(count)) : 200;
  for (unsigned seed = 1; seed <= last; seed++)
    expect_no_fault(seed);
}

} // namespace
