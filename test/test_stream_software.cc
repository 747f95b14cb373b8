/*
** test_stream_software.cc
** Streams that are taken up after all instances were killed, with the set of
** versions in the store, in virtual time
*/

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "stream_fleet.h"

using namespace streaming;

namespace {

FleetOptions options_of(unsigned instances, unsigned seed = 1) {
  FleetOptions options;
  options.seed = seed;
  options.instances = instances;
  options.engines = std::max(12u, instances);
  options.prefill = std::max(3u, instances / 8);
  options.streams_per_s = std::max(10.0, instances * 0.8);
  options.contact_time = 0;
  return options;
}

void expect_unmixed(const Fleet &fleet, const std::string &what) {
  EXPECT_EQ(fleet.mixed_streams(), 0u) << what;
  EXPECT_EQ(fleet.disordered_streams(), 0u) << what;
}

guint64 digest_of(const char *software) {
  EndpointRecord record = {};
  record.service = const_cast<char *>("llm");
  record.software = const_cast<char *>(software);
  return endpoint_software_digest(&record);
}

/* Guards against a set that costs more, or is found later, with many instances
** that all start at once. */
TEST(StreamSoftware, StreamsOfTheOnlyVersionGoOnInALargeFleet) {
  Fleet fleet(options_of(300));
  fleet.advance(25 * second);
  fleet.kill_instances(1.0);
  fleet.advance(5 * second);
  EXPECT_GE(fleet.count().taken_up, 100u);
  EXPECT_GE(fleet.count().went_on * 100, fleet.count().taken_up * 90)
      << fleet.count().went_on << " of " << fleet.count().taken_up;
  expect_unmixed(fleet, "300 instances");
}

TEST(StreamSoftware, SetFollowsAReleaseAndCostsNothingAtRest) {
  FleetOptions options = options_of(20);
  Fleet fleet(options);
  SoftwareStore &store = fleet.software_store;
  fleet.advance(40 * second);
  EXPECT_TRUE(store.has_only("llm", digest_of("v1")));
  EXPECT_EQ(store.writes, 1u);
  unsigned reads = store.reads;
  fleet.advance(20 * second);
  EXPECT_EQ(store.writes, 1u);
  EXPECT_EQ(store.reads, reads);
  fleet.add_engines("v1.1", options.engines);
  fleet.advance(5 * second);
  EXPECT_EQ(store.writes, 2u);
  EXPECT_EQ(store.reads, reads + options.instances);
  /* a version leaves for good */
  fleet.end_version("v1.1");
  fleet.advance(40 * second);
  EXPECT_TRUE(store.has_only("llm", digest_of("v1")));
  EXPECT_EQ(store.writes, 4u);
  EXPECT_EQ(store.reads, reads + options.instances);
}

/* Guards against a set that lacks a version whose streams have begun. */
TEST(StreamSoftware, KillOfAllAtAnyMomentOfAReleaseJoinsNoStream) {
  for (gint64 moment = 0; moment <= 34 * second; moment += 1700 * ms) {
    FleetOptions options = options_of(8);
    Fleet fleet(options);
    fleet.advance(30 * second);
    fleet.release("v1.1", options.engines, 400 * ms);
    fleet.advance(moment);
    fleet.kill_instances(1.0);
    fleet.advance(6 * second);
    expect_unmixed(fleet, std::to_string(moment / ms) + " ms");
  }
}

/* The new version's engines end in the same moment, so that the list has one
** version when the instances start. */
TEST(StreamSoftware, VersionThatEndsWithAllInstancesIsNotForgotten) {
  for (gint64 moment = 200 * ms; moment <= 12 * second; moment += 1100 * ms) {
    FleetOptions options = options_of(8);
    Fleet fleet(options);
    fleet.advance(30 * second);
    fleet.add_engines("v1.1", options.engines / 2);
    fleet.advance(moment);
    fleet.kill_instances(1.0);
    fleet.end_version("v1.1");
    fleet.advance(8 * second);
    expect_unmixed(fleet, std::to_string(moment / ms) + " ms");
  }
}

/* Guards against an update of this system in which instances that do not know
** the set begin streams at versions that it lacks. */
TEST(StreamSoftware, InstancesThatKnowNoSetBesideOthersJoinNoStream) {
  for (gint64 moment = 200 * ms; moment <= 9 * second; moment += 1100 * ms) {
    FleetOptions options = options_of(8);
    options.set_known_by = 2;
    Fleet fleet(options);
    fleet.advance(30 * second);
    fleet.add_engines("v1.1", options.engines / 2);
    fleet.advance(moment);
    fleet.kill_instances(1.0);
    fleet.end_version("v1.1");
    fleet.advance(8 * second);
    expect_unmixed(fleet, std::to_string(moment / ms) + " ms");
  }
}

TEST(StreamSoftware, VersionThatReturnsWhileItIsRemovedJoinsNoStream) {
  for (gint64 pause = 14 * second; pause <= 26 * second; pause += second) {
    FleetOptions options = options_of(8);
    Fleet fleet(options);
    fleet.software_store.lost_percent = 30;
    fleet.advance(25 * second);
    fleet.add_engines("v1.1", options.engines);
    fleet.advance(5 * second);
    fleet.end_version("v1.1");
    fleet.advance(pause);
    fleet.add_engines("v1.1", options.engines);
    fleet.advance(4 * second);
    fleet.kill_instances(1.0);
    fleet.end_version("v1.1");
    fleet.advance(8 * second);
    expect_unmixed(fleet, std::to_string(pause / ms) + " ms");
  }
}

TEST(StreamSoftware, StoreThatIsAwayOrLosesAnswersJoinsNoStream) {
  for (unsigned kind = 0; kind < 3; kind++) {
    FleetOptions options = options_of(8, 5 + kind);
    Fleet fleet(options);
    fleet.software_store.is_away = kind == 0;
    fleet.software_store.delay_max = kind == 1 ? 600 * ms : 20 * ms;
    fleet.software_store.lost_percent = kind == 2 ? 40 : 0;
    fleet.advance(30 * second);
    unsigned began = fleet.count().began;
    fleet.add_engines("v1.1", options.engines);
    fleet.advance(10 * second);
    EXPECT_GE(fleet.count().began, began + 60) << kind;
    for (int i = 0; i < 3; i++) {
      fleet.kill_instances(1.0);
      fleet.advance(5 * second);
    }
    expect_unmixed(fleet, "kind " + std::to_string(kind));
  }
}

/* Guards against trust in a set that the copy has from before a release. */
TEST(StreamSoftware, RestoredStoreJoinsNoStream) {
  FleetOptions options = options_of(8);
  Fleet fleet(options);
  fleet.advance(30 * second);
  auto copy = fleet.software_store.objects;
  fleet.add_engines("v1.1", options.engines);
  fleet.advance(6 * second);
  fleet.software_store.restore(copy);
  for (unsigned i = 0; i < fleet.size(); i++)
    router_observe_era(fleet.world(i).router, 2, fleet.now);
  fleet.advance(2 * second);
  fleet.kill_instances(1.0);
  fleet.end_version("v1.1");
  fleet.advance(8 * second);
  expect_unmixed(fleet, "restored");
}

/* Guards against what the other tests did not think of. */
TEST(StreamSoftware, RandomDaysWithKillsOfAllJoinNoStream) {
  for (unsigned seed = 1; seed <= 40; seed++) {
    std::mt19937 source(seed);
    auto random = [&] { return static_cast<unsigned>(source()); };
    FleetOptions options = options_of(3 + random() % 8, seed);
    Fleet fleet(options);
    fleet.software_store.lost_percent = random() % 3 * 15;
    fleet.software_store.delay_max = (10 + random() % 300) * ms;
    fleet.advance(random() % 30 * second);
    for (unsigned i = 0; i < 10; i++) {
      switch (random() % 6) {
      case 0:
      case 1:
        fleet.kill_instances(1.0);
        break;
      case 2:
        fleet.kill_instances(static_cast<double>(random() % 10) / 10);
        break;
      case 3:
        fleet.crash_engines(1 + random() % 4);
        break;
      case 4:
        fleet.software_store.is_away = random() % 3 == 0;
        break;
      default:
        fleet.release("v1." + std::to_string(1 + random() % 3),
                      1 + random() % 12, (random() % 600) * ms);
      }
      fleet.advance((random() % 5000) * ms);
    }
    fleet.advance(6 * second);
    expect_unmixed(fleet, "seed " + std::to_string(seed));
  }
}

} // namespace
