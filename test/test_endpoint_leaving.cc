/*
** test_endpoint_leaving.cc
** Tests of endpoints that announce with their answers that they leave
**
** Guards against requests that go on to an endpoint after it has announced
** that it leaves, while the store is down. With eight instances and three
** plain endpoints, one that announced it got as many requests as before for
** the next 13 s, 92 requests from all instances, up to 3 s after an answer
** had told the instance that sent them, where 2 s are allowed. It comes about
** when an instance ignores the announcement in an answer's head and trusts
** its list alone, which was 12.7 s old; the first list that had the endpoint
** as draining ended it. Queueing played no part: of 742 requests none waited
** longer than 0.3 ms for its dispatch.
*/

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "rate_fleet.h"

extern "C" {
#include "router/endpoint_table.h"
}

using namespace rates;

namespace {

/* Requests that an instance accepts later than this after the first answer
** with the announcement that it forwarded must not reach the endpoint. */
constexpr gint64 delay_max = 2 * second;

FleetOptions fleet_options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned instance_counts[] = {1, 8, 20, 90, 300};

TEST(EndpointLeavingFleet, InstanceThatSawTheAnnouncementSendsNoMore) {
  for (unsigned instances : instance_counts) {
    SCOPED_TRACE(instances);
    Fleet fleet(fleet_options(instances, 5));
    fleet.pass(2 * second);
    fleet.endpoints[0].is_leaving = true;
    fleet.pass(8 * second);
    ASSERT_FALSE(fleet.endpoints[0].leaving_answers.empty());
    EXPECT_EQ(fleet.arrivals_after_leaving(0, delay_max, false), 0u);
  }
}

/* The announcement concerns all instances. Those that got no answer of the
** endpoint, or have restarted, learn of it from the others. */
TEST(EndpointLeavingFleet, AllInstancesLearnOfTheAnnouncementFromOne) {
  for (unsigned instances : instance_counts) {
    SCOPED_TRACE(instances);
    Fleet fleet(fleet_options(instances, 6));
    fleet.pass(2 * second);
    fleet.endpoints[0].is_leaving = true;
    fleet.pass(4 * second);
    fleet.kill(0.5);
    fleet.pass(second);
    gint64 all_informed_at = fleet.now;
    fleet.pass(3 * second);
    ASSERT_FALSE(fleet.endpoints[0].leaving_answers.empty());
    EXPECT_EQ(fleet.arrived(0, all_informed_at, fleet.now), 0u);
    EXPECT_EQ(fleet.refused, 0u) << "the other endpoints serve all requests";
  }
}

/* Lists may be older than the announcement. */
TEST(EndpointLeavingFleet, OlderListDoesNotRevokeTheAnnouncement) {
  Fleet fleet(fleet_options(8, 7));
  fleet.endpoints[0].is_leaving = true;
  for (int i = 0; i < 16; i++) {
    fleet.pass(500 * ms);
    fleet.list(0, true);
  }
  EXPECT_EQ(fleet.arrivals_after_leaving(0, delay_max, false), 0u);
}

/*
** {==================================================================
** One instance
** ===================================================================
*/

struct EndpointLeavingTest : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* The endpoint announces with an answer that it leaves. */
  void announce_leaving(const char *id) {
    EndpointSignals said = routing::signals_leaving();
    router_endpoint_signals(world.router, id, incarnation_hash_of(id), &said,
                            world.now);
    ASSERT_EQ(router_leaving_endpoints(world.router), 1u);
  }
  guint32 incarnation_hash_of(const char *id) {
    EndpointRecord record = {};
    record.id = const_cast<char *>(id);
    record.started_unix_ms = world.started_unix_ms;
    return endpoint_incarnation_hash(&record);
  }
  /* Returns the number of dispatches of this kind to that endpoint. */
  unsigned dispatches_of(DispatchKind kind, const char *id) const {
    unsigned count = 0;
    for (const SentDispatch &one : world.dispatches)
      count += one.kind == kind && one.endpoint == id;
    return count;
  }
  void send_plain_requests(int count) {
    for (int i = 0; i < count; i++) {
      world.request("/safe/x");
      if (!world.last().ended)
        world.outcome(world.last().number, OUTCOME_ANSWER);
    }
  }
};

TEST_F(EndpointLeavingTest, LeavingEndpointGetsNoRequest) {
  announce_leaving("app-1");
  send_plain_requests(8);
  EXPECT_EQ(dispatches_of(DISPATCH_RUN, "app-1"), 0u);
  EXPECT_EQ(dispatches_of(DISPATCH_RUN, "app-2"), 8u);
}

TEST_F(EndpointLeavingTest, LeavingEndpointListedAsReadyGetsNoRequest) {
  announce_leaving("app-1");
  world.revision = 9;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  send_plain_requests(8);
  EXPECT_EQ(dispatches_of(DISPATCH_RUN, "app-1"), 0u);
}

/* Records may expire while the store is down, and be listed again. */
TEST_F(EndpointLeavingTest, RelistedLeavingEndpointGetsNoRequest) {
  announce_leaving("app-1");
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.advance(20 * second);
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  send_plain_requests(8);
  EXPECT_EQ(dispatches_of(DISPATCH_RUN, "app-1"), 0u);
}

TEST_F(EndpointLeavingTest, LaterIncarnationDoesNotLeave) {
  announce_leaving("app-1");
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  send_plain_requests(8);
  EXPECT_GT(dispatches_of(DISPATCH_RUN, "app-1"), 0u);
}

TEST_F(EndpointLeavingTest, LaterIncarnationAfterARemovalDoesNotLeave) {
  announce_leaving("app-1");
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  send_plain_requests(8);
  EXPECT_GT(dispatches_of(DISPATCH_RUN, "app-1"), 0u);
}

/* An answer of the earlier incarnation says nothing of this one. */
TEST_F(EndpointLeavingTest, AnnouncementOfAnEarlierIncarnationIsIgnored) {
  guint32 earlier = incarnation_hash_of("app-1");
  EndpointSignals said = routing::signals_leaving();
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  router_endpoint_signals(world.router, "app-1", earlier, &said, world.now);
  EXPECT_EQ(router_leaving_endpoints(world.router), 0u);
}

TEST_F(EndpointLeavingTest, CallerIsRefusedAtOnceWhenAllEndpointsLeave) {
  EndpointSignals said = routing::signals_leaving();
  for (const char *id : {"app-1", "app-2"})
    router_endpoint_signals(world.router, id, incarnation_hash_of(id), &said,
                            world.now);
  guint64 number = world.request("/safe/x");
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_NO_ENDPOINT);
  EXPECT_GT(world.end(number).retry_after_ms, 0);
}

TEST_F(EndpointLeavingTest, RunAvoidsAReservedEngineThatLeaves) {
  guint64 number = world.request("/stream/x");
  SentDispatch prompt = world.last();
  ASSERT_EQ(prompt.kind, DISPATCH_PREFILL);
  ASSERT_FALSE(world.notes.empty());
  std::string reserved =
      world.notes.back().endpoint == incarnation_hash_of("dec-1") ? "dec-1"
                                                                  : "dec-2";
  announce_leaving(reserved.c_str());
  world.prefilled(prompt.number);
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_NE(world.last().endpoint, reserved);
}

TEST_F(EndpointLeavingTest, LeavingEngineGetsNoPrefill) {
  announce_leaving("pre-1");
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(dispatches_of(DISPATCH_PREFILL, "pre-1"), 0u);
  EXPECT_EQ(world.runs(number), 1u); /* the decode engine prefills it */
}

/* Streams run to their end where they were started. */
TEST_F(EndpointLeavingTest, RunningStreamContinuesAtALeavingEngine) {
  guint64 number = world.request("/resume/x");
  world.prefilled(world.last().number);
  SentDispatch run = world.last();
  world.outcome(run.number, OUTCOME_STREAM_HEAD);
  announce_leaving(run.endpoint.c_str());
  world.piece(run.number, "1");
  world.outcome(run.number, OUTCOME_STREAM_END);
  EXPECT_EQ(world.end(number).answers, 1);
  EXPECT_EQ(world.runs(number), 1u);
}

/* The planned end of an endpoint is no strike against a request. */
TEST_F(EndpointLeavingTest, EndOfALeavingEngineIsNotACrash) {
  world.request("/stream/x");
  world.prefilled(world.last().number);
  SentDispatch run = world.last();
  announce_leaving(run.endpoint.c_str());
  world.outcome(run.number, OUTCOME_BROKEN);
  EXPECT_TRUE(world.checks.empty());
}

TEST_F(EndpointLeavingTest, DigestReportsLeavingUntilTheListDoes) {
  mp_LoadDigest digest = {};
  announce_leaving("app-1");
  router_load_digest(world.router, &digest, world.now);
  ASSERT_EQ(digest.leaving_count, 1u);
  EXPECT_EQ(digest.leaving[0], incarnation_hash_of("app-1"));
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, false);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.leaving_count, 0u);
}

/* If a digest cannot hold them all, digests name them in turns. */
TEST_F(EndpointLeavingTest, EachOfManyLeavingEndpointsIsReported) {
  constexpr unsigned endpoint_count = 3 * MP_LOAD_DIGEST_LEAVING + 1;
  EndpointSignals said = routing::signals_leaving();
  std::set<guint32> reported;
  for (unsigned i = 0; i < endpoint_count; i++) {
    std::string id = "more-" + std::to_string(i);
    world.endpoint({id.c_str(), "app", "a", STAGE_NONE});
    router_endpoint_signals(world.router, id.c_str(),
                            incarnation_hash_of(id.c_str()), &said, world.now);
  }
  for (int i = 0; i < 5; i++) {
    mp_LoadDigest digest = {};
    router_load_digest(world.router, &digest, world.now);
    ASSERT_LE(digest.leaving_count,
              static_cast<unsigned>(MP_LOAD_DIGEST_LEAVING));
    reported.insert(digest.leaving, digest.leaving + digest.leaving_count);
    world.advance(500 * ms);
  }
  EXPECT_EQ(reported.size(), endpoint_count);
}

/* An incarnation whose start is not known cannot be distinguished from a later
** one. */
TEST_F(EndpointLeavingTest, IncarnationOfUnknownStartIsNotReported) {
  mp_LoadDigest digest = {};
  world.started_unix_ms = 0;
  world.endpoint({"app-9", "app", "a", STAGE_NONE});
  announce_leaving("app-9");
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.leaving_count, 0u);
}

/* }================================================================== */

} // namespace
