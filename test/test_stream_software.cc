/*
** test_stream_software.cc
** Streams that are taken up after all instances were killed, with the set of
** versions in the store, in virtual time
*/

#include <algorithm>
#include <random>
#include <string>
#include <vector>

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

/* One instance without others, whose calls to the store the test answers. */
class StreamSoftwareTest : public testing::Test {
protected:
  World world;
  SoftwareSetCall call = {};

  void SetUp() override {
    world.configure();
    world.started_unix_ms = 1;
    add("pre-1", "v1", STAGE_PREFILL);
    add("old-1", "v1");
    pass(10 * ms);
  }
  void add(const char *id, const char *software,
           EndpointStage stage = STAGE_DECODE, bool gone = false) {
    world.software = software;
    world.endpoint({id, "llm", "a", stage}, true, gone);
  }
  void pass(gint64 span) {
    for (gint64 until = world.now + span; world.now < until;) {
      world.advance(std::min(100 * ms, until - world.now));
      router_store_answered(world.router, world.now);
    }
  }
  bool next() {
    gint64 due;
    return router_next_software_call(world.router, &call, &due, world.now) !=
           FALSE;
  }
  void reply(StoreStatus status, const std::vector<const char *> &versions,
             guint64 era = 1) {
    SoftwareSetRecord record = {};
    for (const char *software : versions)
      record.entries[record.count++] = {digest_of(software), FALSE};
    SoftwareSetReply answer = {status, store_position(era, 5),
                               status == STORE_OK ? &record : nullptr};
    router_software_reply(world.router, &call, &answer, era, world.now);
  }
  guint64 take_up() {
    return world.request_resumption("/resume/x", 0, "unknown", "1");
  }
  bool has_started(guint64 request) {
    return !world.dispatches.empty() && world.last().request == request;
  }
  /* Begins a stream; returns the endpoint that it is sent to. */
  std::string endpoint_of_new() {
    guint64 request = world.request("/resume/x");
    if (has_started(request) && world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    std::string endpoint =
        has_started(request) ? world.last().endpoint : "none";
    world.hangup(request);
    return endpoint;
  }
};

/* Guards against refusals in the milliseconds after a start. */
TEST_F(StreamSoftwareTest, TakingUpWaitsForTheFirstReadAndGoesOn) {
  ASSERT_TRUE(next());
  guint64 request = take_up();
  pass(100 * ms);
  EXPECT_EQ(world.ended[request].refusals, 0);
  EXPECT_FALSE(has_started(request));
  reply(STORE_OK, {"v1"});
  EXPECT_TRUE(has_started(request));
}

/* Guards against trust in a set that was read before the stream began. */
TEST_F(StreamSoftwareTest, TakingUpIsDecidedByAReadOfTheSetAfterItsArrival) {
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1"});
  pass(10 * ms);
  guint64 request = take_up();
  EXPECT_FALSE(has_started(request));
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1"});
  EXPECT_TRUE(has_started(request));
  pass(10 * ms);
  request = take_up();
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1", "v2"});
  EXPECT_FALSE(has_started(request));
  EXPECT_EQ(world.ended[request].refusal, REFUSAL_STREAM_UNKNOWN);
}

TEST_F(StreamSoftwareTest, TakingUpIsRefusedWhenTheSetHasTwoVersions) {
  ASSERT_TRUE(next());
  guint64 request = take_up();
  reply(STORE_OK, {"v1", "v2"});
  EXPECT_EQ(world.ended[request].refusals, 1);
  EXPECT_EQ(world.ended[request].refusal, REFUSAL_STREAM_UNKNOWN);
}

TEST_F(StreamSoftwareTest, TakingUpIsRefusedWhenTheReadFails) {
  ASSERT_TRUE(next());
  guint64 request = take_up();
  reply(STORE_FAILED, {}, 0);
  EXPECT_EQ(world.ended[request].refusals, 1);
}

TEST_F(StreamSoftwareTest, TakingUpWaitsNoLongerThanForTheStore) {
  ASSERT_TRUE(next());
  guint64 request = take_up();
  gint64 at = world.now;
  pass(600 * ms);
  ASSERT_EQ(world.ended[request].refusals, 1);
  EXPECT_LE(world.ended[request].at - at, 510 * ms);
  EXPECT_GT(world.ended[request].retry_after_ms, 0);
}

/* Guards against an answer that is older than the restored store. */
TEST_F(StreamSoftwareTest, AnswerOfAnOlderEraIsNotTrusted) {
  ASSERT_TRUE(next());
  router_observe_era(world.router, 1, world.now);
  router_observe_era(world.router, 2, world.now);
  reply(STORE_OK, {"v1"}, 1);
  EXPECT_EQ(world.ended[take_up()].refusals, 1);
}

/* Guards against streams at a version that others, who read the set, take to
** have begun none. */
TEST_F(StreamSoftwareTest, NewStreamsBeginAtVersionsInTheSet) {
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1"});
  add("new-1", "v2");
  add("new-2", "v2");
  add("new-3", "v2");
  pass(5 * second);
  for (int i = 0; i < 20; i++)
    EXPECT_EQ(endpoint_of_new(), "old-1");
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1", "v2"});
  pass(100 * ms);
  int at_new = 0;
  for (int i = 0; i < 20; i++)
    at_new += endpoint_of_new() != "old-1";
  EXPECT_GT(at_new, 0);
}

/* Guards against an outage: safety may not cost all service. */
TEST_F(StreamSoftwareTest, VersionThatIsNotInTheSetServesIfNoOtherCan) {
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1"});
  add("new-1", "v2");
  pass(5 * second);
  add("old-1", "v1", STAGE_DECODE, true);
  EXPECT_EQ(endpoint_of_new(), "new-1");
}

TEST_F(StreamSoftwareTest, StoreThatDoesNotAnswerRestrictsNoVersion) {
  ASSERT_TRUE(next());
  reply(STORE_OK, {"v1"});
  add("new-1", "v2");
  add("new-2", "v2");
  add("new-3", "v2");
  pass(5 * second);
  ASSERT_TRUE(next());
  reply(STORE_FAILED, {}, 0);
  int at_new = 0;
  for (int i = 0; i < 20; i++)
    at_new += endpoint_of_new() != "old-1";
  EXPECT_GT(at_new, 0);
}

} // namespace
