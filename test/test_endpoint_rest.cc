/*
** test_endpoint_rest.cc
** Tests of endpoints that reject requests and ask for rest, a time without
** requests
**
** Guards against requests that are sent to an endpoint after it has asked for
** rest. With three plain endpoints, one of which rejects all requests and asks
** each instance for 3 s of rest, an instance may send it two more requests in
** that time at the most. The failure showed as three and as six requests, 1.4,
** 1.8 and 2.2 s after the instance had been asked.
*/

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "rate_fleet.h"

extern "C" {
#include "router/state.h"
}

using namespace rates;

namespace {

/* The most requests that an instance sends to an endpoint which has asked it
** for rest, from half a second after that on. */
constexpr unsigned requests_in_rest_max = 2;
constexpr gint64 rest_time = 3 * second;

FleetOptions fleet_options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned instance_counts[] = {1, 8, 20, 90, 300};

TEST(EndpointRestFleet, RestingEndpointGetsAtMostTwoRequests) {
  for (unsigned instances : instance_counts) {
    SCOPED_TRACE(instances);
    FleetOptions failing = fleet_options(instances, 5);
    failing.failing = 0.3; /* the other endpoints fail at times, too */
    Fleet fleet(failing);
    fleet.pass(2 * second);
    fleet.endpoints[0].rest = rest_time;
    fleet.pass(10 * second);
    ASSERT_FALSE(fleet.endpoints[0].rests.empty());
    EXPECT_LE(fleet.max_arrivals_in_rest(0), requests_in_rest_max);
  }
}

/* No endpoint is left when all endpoints of a service ask for rest. */
TEST(EndpointRestFleet, AllEndpointsOfAServiceCanRestAtOnce) {
  for (unsigned instances : instance_counts) {
    SCOPED_TRACE(instances);
    Fleet fleet(fleet_options(instances, 6));
    fleet.pass(2 * second);
    for (PlainEndpoint &endpoint : fleet.endpoints)
      endpoint.rest = rest_time;
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++) {
      ASSERT_FALSE(fleet.endpoints[i].rests.empty());
      EXPECT_LE(fleet.max_arrivals_in_rest(i), requests_in_rest_max);
    }
  }
}

/* A request that was sent before the endpoint asked for rest may end well
** afterwards. */
TEST(EndpointRestFleet, SuccessfulAnswerDoesNotEndARest) {
  for (unsigned instances : instance_counts) {
    SCOPED_TRACE(instances);
    FleetOptions slow = fleet_options(instances, 7);
    slow.work = 900 * ms;
    Fleet fleet(slow);
    for (PlainEndpoint &endpoint : fleet.endpoints) {
      endpoint.rest = rest_time;
      endpoint.resting = 0.2;
    }
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++)
      EXPECT_LE(fleet.max_arrivals_in_rest(i), requests_in_rest_max);
  }
}

/*
** {==================================================================
** One instance
** ===================================================================
*/

struct EndpointRestTest : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* The endpoint rejects this dispatch as not run and asks for rest. */
  void reject_with_rest(guint64 dispatch, gint64 time) {
    world.signal(dispatch, routing::signals_rest(time));
    world.outcome(dispatch, OUTCOME_NOT_RUN, 503);
  }
  /* An endpoint asks for rest; no dispatch to it has to be open. */
  void ask_for_rest(const char *id, gint64 time) {
    EndpointRecord record = {};
    EndpointSignals said = routing::signals_rest(time);
    record.id = const_cast<char *>(id);
    record.started_unix_ms = world.started_unix_ms;
    router_endpoint_signals(world.router, id,
                            endpoint_incarnation_hash(&record), &said,
                            world.now);
  }
  /* Sends 'count' plain requests that end at once; returns how many of them
  ** go to endpoint 'id'. */
  unsigned plain_requests_sent_to(const char *id, int count) {
    unsigned before = dispatches_to(id);
    for (int i = 0; i < count; i++) {
      world.request("/safe/x");
      if (!world.last().ended)
        world.outcome(world.last().number, OUTCOME_ANSWER);
    }
    return dispatches_to(id) - before;
  }
  unsigned dispatches_to(const char *id) const {
    unsigned count = 0;
    for (const SentDispatch &one : world.dispatches)
      count += one.endpoint == id;
    return count;
  }
  unsigned resting_endpoints() const {
    return router_resting_endpoints(world.router, world.now);
  }
};

TEST_F(EndpointRestTest, RestingEndpointIsUsedAgainOnlyAfterTheRest) {
  ask_for_rest("app-1", 3 * second);
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
  world.advance(3 * second);
  /* the margin for the endpoint's own clock */
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
  world.advance(REST_CLOCK_MARGIN);
  EXPECT_GT(plain_requests_sent_to("app-1", 5), 0u);
}

TEST_F(EndpointRestTest, LatestEndOfSeveralRestsApplies) {
  ask_for_rest("app-1", 3 * second);
  world.advance(100 * ms);
  ask_for_rest("app-1", 1 * second);
  world.advance(2 * second);
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
  ask_for_rest("app-1", 2 * second);
  world.advance(1500 * ms);
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
  world.advance(second);
  EXPECT_GT(plain_requests_sent_to("app-1", 5), 0u);
}

TEST_F(EndpointRestTest, RestOfZeroIsIgnored) {
  ask_for_rest("app-1", 0);
  EXPECT_EQ(resting_endpoints(), 0u);
  EXPECT_GT(plain_requests_sent_to("app-1", 5), 0u);
}

TEST_F(EndpointRestTest, AnswerToAnEarlierRequestDoesNotEndTheRest) {
  world.request("/safe/x");
  SentDispatch slow = world.last();
  ask_for_rest(slow.endpoint.c_str(), 3 * second);
  world.signal(slow.number, routing::signals_served());
  world.outcome(slow.number, OUTCOME_ANSWER);
  EXPECT_EQ(plain_requests_sent_to(slow.endpoint.c_str(), 5), 0u);
}

/* A failed connection does not shorten the rest. */
TEST_F(EndpointRestTest, FailedConnectionDoesNotEndTheRest) {
  world.request("/safe/x");
  SentDispatch failed = world.last();
  ask_for_rest(failed.endpoint.c_str(), 5 * second);
  world.outcome(failed.number, OUTCOME_UNREACHABLE);
  world.advance(4 * second);
  EXPECT_EQ(plain_requests_sent_to(failed.endpoint.c_str(), 5), 0u);
}

TEST_F(EndpointRestTest, RestIsCappedAtOneHour) {
  ask_for_rest("app-1", 1000000000LL * second);
  world.advance(REST_DURATION_MAX);
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
  world.advance(REST_CLOCK_MARGIN);
  EXPECT_GT(plain_requests_sent_to("app-1", 5), 0u);
}

TEST_F(EndpointRestTest, LaterIncarnationDoesNotRest) {
  ask_for_rest("app-1", 30 * second);
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  EXPECT_GT(plain_requests_sent_to("app-1", 5), 0u);
}

TEST_F(EndpointRestTest, RelistedEndpointStillRests) {
  ask_for_rest("app-1", 30 * second);
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  EXPECT_EQ(plain_requests_sent_to("app-1", 5), 0u);
}

/* Rest is asked of one instance alone. Peers treat the endpoint as one that
** fails, and use it when they have no better one. */
TEST_F(EndpointRestTest, RestIsReportedToPeersOnlyAsAFailure) {
  mp_LoadDigest digest = {};
  ask_for_rest("app-1", 3 * second);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.leaving_count, 0u);
  ASSERT_EQ(digest.n, 1u);
  EXPECT_EQ(digest.row[0].failing, 100u);
  World other;
  other.started_unix_ms = 1000;
  other.add_default_endpoints();
  router_set_instances(other.router, 2, 2);
  router_peer_load(other.router, mp_addr_parse("10.0.0.9:1"), 1, &digest,
                   other.now);
  other.request("/safe/x");
  EXPECT_EQ(other.last().endpoint, "app-2");
  other.endpoint({"app-2", "app", "b", STAGE_NONE}, false);
  other.request("/safe/x");
  EXPECT_EQ(other.last().endpoint, "app-1");
}

TEST_F(EndpointRestTest, CallerIsRefusedUntilTheFirstRestEndsWhenAllRest) {
  std::set<gint64> retry_delays;
  ask_for_rest("app-1", 3 * second);
  ask_for_rest("app-2", 2 * second);
  for (int i = 0; i < 20; i++) {
    guint64 number = world.request("/safe/x");
    const routing::CallerResult &end = world.end(number);
    ASSERT_EQ(end.refusals, 1);
    EXPECT_EQ(end.refusal, REFUSAL_REST);
    EXPECT_GE(end.retry_after_ms, 2000);
    EXPECT_LE(end.retry_after_ms, 2 * 2100);
    retry_delays.insert(end.retry_after_ms);
  }
  EXPECT_GT(retry_delays.size(), 10u)
      << "callers must not all come back at once";
  EXPECT_TRUE(world.dispatches.empty());
}

/* A request that may have run is not to be retried, so its refusal carries no
** time after which to retry. */
TEST_F(EndpointRestTest, UnknownOutcomeCarriesNoRetryAfter) {
  guint64 number = world.request("/safe/x");
  SentDispatch first = world.last();
  ask_for_rest("app-1", 3 * second);
  ask_for_rest("app-2", 3 * second);
  world.outcome(first.number, OUTCOME_BROKEN);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_OUTCOME_UNKNOWN);
  EXPECT_EQ(world.end(number).retry_after_ms, 0);
}

TEST_F(EndpointRestTest, RejectedRunGoesToAnotherEndpoint) {
  guint64 number = world.request("/unsafe/x");
  SentDispatch first = world.last();
  reject_with_rest(first.number, 3 * second);
  EXPECT_EQ(world.runs(number), 2u);
  EXPECT_NE(world.last().endpoint, first.endpoint);
  EXPECT_EQ(resting_endpoints(), 1u);
}

TEST_F(EndpointRestTest, PrefillsAndRunsAvoidRestingEngines) {
  ask_for_rest("pre-1", 3 * second);
  ask_for_rest("dec-1", 3 * second);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_EQ(world.last().endpoint, "dec-2"); /* it prefills, too */
  EXPECT_EQ(dispatches_to("pre-1"), 0u);
}

TEST_F(EndpointRestTest, RunAvoidsAReservedEngineThatRests) {
  guint64 number = world.request("/stream/x");
  SentDispatch prompt = world.last();
  ask_for_rest("dec-1", 3 * second);
  world.prefilled(prompt.number);
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_EQ(world.last().endpoint, "dec-2");
}

/* A request that cannot be served in time is refused, not queued. */
TEST_F(EndpointRestTest, CallerIsRefusedAtOnceWhenAllEnginesRestForLong) {
  ask_for_rest("dec-1", 5 * second);
  ask_for_rest("dec-2", 4 * second);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_REST);
  EXPECT_GE(world.end(number).retry_after_ms, 4000);
  EXPECT_TRUE(world.dispatches.empty());
}

/* The same holds if the engines ask for rest while the request waits. */
TEST_F(EndpointRestTest,
       WaitingCallerIsRefusedSoonWhenAllEnginesBeginALongRest) {
  ask_for_rest("dec-1", 100 * ms);
  ask_for_rest("dec-2", 100 * ms);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).refusals, 0);
  ask_for_rest("dec-1", 20 * second);
  ask_for_rest("dec-2", 20 * second);
  world.advance(400 * ms);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_REST);
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(EndpointRestTest, RequestWaitsForAShortRestOfAllEngines) {
  ask_for_rest("dec-1", 200 * ms);
  ask_for_rest("dec-2", 200 * ms);
  guint64 number = world.request("/stream/x");
  EXPECT_TRUE(world.dispatches.empty());
  world.advance(400 * ms);
  ASSERT_FALSE(world.dispatches.empty());
  EXPECT_EQ(world.last().kind, DISPATCH_PREFILL);
  EXPECT_EQ(world.end(number).refusals, 0);
}

/* One KV handle is released at an engine while it rests; the others expire by
** themselves. */
TEST_F(EndpointRestTest, RestingEngineGetsOneReleaseAtMost) {
  std::vector<guint64> callers;
  for (int i = 0; i < 3; i++) {
    callers.push_back(world.request("/stream/x", 10000, 1000, 500));
    ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  }
  std::vector<guint64> prompts;
  for (const SentDispatch &one : world.dispatches)
    prompts.push_back(one.number);
  /* no decode engine takes a run, so the handles are kept until the hangups */
  ask_for_rest("dec-1", 10 * second);
  ask_for_rest("dec-2", 10 * second);
  ask_for_rest("pre-1", 10 * second);
  for (size_t i = 0; i < prompts.size(); i++)
    world.prefilled(prompts[i], ("h" + std::to_string(i)).c_str());
  for (guint64 caller : callers)
    world.hangup(caller);
  unsigned releases = 0;
  for (const SentDispatch &one : world.dispatches)
    releases += one.kind == DISPATCH_RELEASE;
  EXPECT_EQ(releases, 1u);
}

TEST_F(EndpointRestTest, UnreadableRestIsLoggedOnceAndCounted) {
  EndpointSignals bad = {};
  bad.rest = SIGNAL_UNREADABLE;
  world.request("/safe/x");
  for (int i = 0; i < 3; i++)
    world.signal(world.last().number, bad);
  unsigned lines = 0;
  for (const std::string &line : world.log)
    lines += line.compare(0, 4, "2015") == 0;
  EXPECT_EQ(lines, 1u);
  EXPECT_EQ(router_counter(world.router, ROUTER_COUNT_SIGNALS_BAD), 3u);
  EXPECT_EQ(resting_endpoints(), 0u);
}

/* Unknown fields of answers are logged once each, for 32 names at the most,
** and with a bounded length. */
TEST_F(EndpointRestTest, UnknownFieldsAreLoggedOnceEachUpToABound) {
  EndpointSignals signals = routing::signals_served();
  std::string far(1000, 'x');
  world.request("/safe/x");
  guint64 dispatch = world.last().number;
  for (int i = 0; i < 100; i++) {
    std::string name = "Field-" + std::to_string(i / 2);
    signals.unknown = i == 0 ? far.c_str() : name.c_str();
    world.signal(dispatch, signals);
  }
  unsigned lines = 0;
  for (const std::string &line : world.log) {
    bool is_field_line = line.compare(0, 4, "2017") == 0;
    lines += is_field_line;
    EXPECT_TRUE(!is_field_line || line.size() < 120);
  }
  EXPECT_EQ(lines, 32u);
  EXPECT_EQ(router_counter(world.router, ROUTER_COUNT_FIELDS_UNKNOWN), 100u);
}

/* }================================================================== */

} // namespace
