/*
** test_store_restored.cc
** A store that comes back from an older copy: revisions go back and are given
** out again
*/

#include <gtest/gtest.h>

#include "relay_world.h"

using namespace relaying;

namespace {

/* a change is in force everywhere within this of the later of its
** acknowledgement and the return of the store */
constexpr gint64 bound = 2 * second;
constexpr gint64 short_watch = 1800 * ms;
/* an entry that lacks at the return is written again within 2 s; one that is
** missing after that is gone */
constexpr gint64 missing_bound = 3 * second;

struct Restored : ::testing::TestWithParam<unsigned> {
  std::unique_ptr<World> world;
  int version = 100;

  void SetUp() override {
    world = std::make_unique<World>(3, GetParam(), 0.01, GetParam());
    world->times = {short_watch, bound};
    write();
    world->write(STORE_ENDPOINTS, "e1", "ready");
    world->write(STORE_ENDPOINTS, "e2", "ready");
    world->start_all();
    world->run(5 * second);
  }
  void write() {
    world->write(STORE_CONFIGURATION, "main", std::to_string(++version));
  }
  /* some changes, so that the store's count is well past the copy's */
  void change(int times) {
    for (int i = 0; i < times; i++) {
      write();
      world->run(200 * ms);
    }
  }
  /* away for a moment, back from a copy of that age */
  void restore(gint64 age, gint64 away = 2 * second) {
    world->store_up = false;
    world->run(away);
    world->restore(age + away);
    world->store_up = true;
  }
  void expect_newest(const char *when) {
    EXPECT_EQ(world->oldest_known_configuration("main"), version) << when;
  }
};

TEST_P(Restored, AChangeAfterTheReturnIsInForceInTime) {
  change(15);
  restore(2500 * ms);
  world->run(1 * second);
  write();
  world->run(bound);
  expect_newest("written a second after the return");
}

TEST_P(Restored, AnEndpointThatLeavesAfterTheReturnIsHeardOfInTime) {
  change(15);
  restore(2500 * ms);
  world->run(1 * second);
  world->write(STORE_ENDPOINTS, "e1", "leaving");
  world->remove(STORE_ENDPOINTS, "e2");
  world->run(bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "leaving"),
            world->live_instances());
  /* one that went before the first list may be only not written again */
  world->run(missing_bound - bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "ready"), 0u);
}

TEST_P(Restored, AnEndpointThatGoesOnceItWasListedIsHeardOfInTime) {
  change(15);
  restore(2500 * ms);
  world->run(1500 * ms);
  world->remove(STORE_ENDPOINTS, "e2");
  world->run(bound);
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e2", "ready"), 0u);
}

/* the store has counted past the old revision before anybody asks */
TEST_P(Restored, ChangesUnderRevisionsThatWereGivenOutAgainAreHeard) {
  change(5);
  world->store_up = false;
  world->run(500 * ms);
  world->restore(1500 * ms, 0);
  world->run(1 * ms);
  world->write(STORE_ENDPOINTS, "e1", "leaving");
  for (int i = 0; i < 10; i++)
    write();
  world->store_up = true;
  world->run(bound);
  expect_newest("past the old count");
  EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e1", "leaving"),
            world->live_instances());
}

TEST_P(Restored, NoInstanceTakesAnOlderConfigurationOrAShortList) {
  change(15);
  world->write(STORE_ENDPOINTS, "e3", "ready");
  world->run(500 * ms);
  restore(3 * second);
  for (int i = 0; i < 40; i++) {
    world->run(50 * ms);
    expect_newest("after the return");
    EXPECT_EQ(world->instances_knowing(STORE_ENDPOINTS, "e3", "ready"),
              world->live_instances());
  }
}

/* one that the store does not answer hears of the return from the others */
TEST_P(Restored, WhoIsCutFromTheStoreHearsOfTheReturn) {
  change(15);
  for (unsigned i = 0; i < world->all.size(); i += 4)
    world->all[i]->cut_from_store = true;
  restore(2500 * ms);
  world->run(bound);
  write();
  world->run(bound);
  if (GetParam() >= 12)
    expect_newest("some are cut off");
  for (auto &one : world->all)
    one->cut_from_store = false;
  world->run(bound);
  expect_newest("all reach the store");
}

TEST_P(Restored, ReturnsInARowLeaveNobodyBehind) {
  for (int i = 0; i < 4; i++) {
    change(8);
    restore(1 * second, 300 * ms);
    world->run(400 * ms);
  }
  write();
  world->run(bound);
  expect_newest("after four returns");
}

/* who knows what now; -1: some do not */
gint64 time_until_known(World &world, const std::string &text, gint64 most) {
  for (gint64 time = 0; time <= most; time += 10 * ms) {
    if (world.instances_knowing(STORE_CONFIGURATION, "main", text) ==
        world.live_instances())
      return time;
    world.run(10 * ms);
  }
  return -1;
}

/* lists of each kind, twice, by those that follow the store; instances that
** hear relays make no call */
TEST_P(Restored, ItCostsTheStoreCallsOfThoseThatFollowItAlone) {
  constexpr gint64 span = 5 * second;
  guint64 before = world->store_calls;
  world->run(span);
  guint64 calm = world->store_calls - before;
  restore(3 * second, 0);
  before = world->store_calls;
  world->run(1 * second);
  guint64 first = world->store_calls - before;
  write();
  gint64 known = time_until_known(*world, std::to_string(version), bound);
  world->run(span - 1 * second - known);
  guint64 all = world->store_calls - before;
  unsigned followers =
      world->with_role(RELAY_ROLE_RELAY) + world->with_role(RELAY_ROLE_ALONE);
  printf("%u instances, %u of them follow the store: %d calls in the first "
         "second, %d in 5 s (%d in calm), a change known by all after %d ms\n",
         GetParam(), followers, static_cast<int>(first), static_cast<int>(all),
         static_cast<int>(calm), static_cast<int>(known / ms));
  EXPECT_LE(first, followers * 3u * MP_RELAY_KINDS);
  EXPECT_LE(all, calm + followers * 5u * MP_RELAY_KINDS);
  EXPECT_GE(known, 0);
}

INSTANTIATE_TEST_SUITE_P(All, Restored,
                         ::testing::Values(2u, 9u, 24u, 58u, 300u));

/*
** Random schedules: the store returns from copies of any age, once or often,
** while instances are cut off, refused and killed. Who was not disturbed for a
** while holds each change within the bound of the later of its writing and the
** return, and never an older one than it held.
*/
struct Returns {
  static constexpr gint64 calm_after = 4 * second;
  static constexpr gint64 schedule_length = 30 * second;
  World world;
  GRand *random;
  int version = 100;
  gint64 next_change = 0;
  gint64 returned = 0;
  gint64 away_until = 0;
  gint64 copy_age = 0;
  std::map<Instance *, gint64> disturbed;
  std::map<Instance *, int> held; /* the largest version in this life */
  std::map<Instance *, unsigned> life;
  std::vector<std::pair<gint64, int>> written;
  unsigned faults = 0;
  std::string story;

  Returns(unsigned zones, unsigned instances, unsigned seed)
      : world(zones, instances, 0.01, seed),
        random(g_rand_new_with_seed(seed)) {
    world.times = {short_watch, bound};
    world.routes = seed % 3 == 0 ? 300 : 0;
    change();
    world.write(STORE_ENDPOINTS, "e1", "ready");
    world.start_all();
    world.run(6 * second);
  }
  ~Returns() {
    g_rand_free(random);
  }
  Returns(const Returns &) = delete;
  Returns &operator=(const Returns &) = delete;

  gint64 draw(gint64 least, gint64 most) {
    return least + static_cast<gint64>(g_rand_double(random) *
                                       static_cast<double>(most - least));
  }
  void change() {
    written.emplace_back(world.now, ++version);
    world.write(STORE_CONFIGURATION, "main", std::to_string(version));
  }
  void note(const char *what, gint64 number) {
    story += std::string(what) + std::to_string(number) + "@" +
             std::to_string((world.now - 1000 * second) / ms) + " ";
  }
  /* away now, back later from a copy; the operator writes it again at once */
  void begin_return() {
    world.store_up = false;
    copy_age = draw(200 * ms, 10 * second);
    away_until = world.now + draw(0, 4 * second);
    note("away", copy_age / ms);
  }
  void end_return() {
    world.restore(copy_age, draw(10 * ms, 600 * ms));
    world.store_up = true;
    returned = world.now + 600 * ms; /* it may be written again until then */
    away_until = 0;
    note("back", copy_age / ms);
  }
  void disturb(Instance &one) {
    int what = g_rand_int_range(random, 0, 6);
    if (!one.alive)
      world.start(one);
    one.cut_from_store = what == 0;
    one.refused_by_store = what == 1;
    one.cut_from_all = what == 2;
    if (what == 3)
      world.kill(one);
    disturbed[&one] = world.now;
    note("disturb", (one.address >> 16) & 0xffff);
  }
  /* the first one always reaches the store */
  void step() {
    Instance &any = *world.all[static_cast<size_t>(
        g_rand_int_range(random, 1, static_cast<gint32>(world.all.size())))];
    if (g_rand_double(random) < 0.02)
      disturb(any);
    if (away_until == 0 && g_rand_double(random) < 0.004)
      begin_return();
    if (away_until != 0 && world.now >= away_until)
      end_return();
    if (away_until == 0 && world.now >= next_change) {
      change();
      next_change = world.now + draw(100 * ms, 1500 * ms);
    }
    world.run(20 * ms);
    check();
  }
  int due_version() const {
    int due = 0;
    for (auto &[at, number] : written) {
      if (std::max(at, returned) + bound <= world.now)
        due = number;
    }
    return due;
  }
  void check() {
    int due = away_until == 0 ? due_version() : 0;
    for (auto &one : world.all) {
      auto seen = one->seen[STORE_CONFIGURATION].find("main");
      bool knows = one->alive && seen != one->seen[STORE_CONFIGURATION].end();
      int version_here = knows ? std::stoi(seen->second) : 0;
      bool calm = one->alive && !one->cut_from_all && !one->cut_from_store &&
                  !one->refused_by_store &&
                  world.now - disturbed[one.get()] > calm_after;
      if (life[one.get()] != one->life)
        held[one.get()] = 0;
      life[one.get()] = one->life;
      if (one->alive && version_here < held[one.get()])
        fault("fell", *one);
      held[one.get()] = std::max(held[one.get()], version_here);
      if (calm && version_here < due)
        fault("late", *one);
    }
  }
  void fault(const char *what, const Instance &one) {
    faults++;
    if (faults < 5)
      note(what, (one.address >> 16) & 0xffff);
  }
};

void expect_no_fault(unsigned seed) {
  static const unsigned sizes[][2] = {{3, 9}, {1, 8}, {3, 24}, {2, 58}};
  auto &size = sizes[seed % 4];
  Returns schedule(size[0], size[1], seed);
  while (schedule.world.now < 1000 * second + Returns::schedule_length)
    schedule.step();
  EXPECT_EQ(schedule.faults, 0u)
      << "seed " << seed << " " << size[1] << ": " << schedule.story;
}

TEST(StoreReturns, RandomSchedulesLeaveNobodyBehind) {
  const char *count = g_getenv("SCHEDULES");
  unsigned last = count != nullptr ? static_cast<unsigned>(atoi(count)) : 200;
  for (unsigned seed = 1; seed <= last; seed++)
    expect_no_fault(seed);
}

} // namespace
