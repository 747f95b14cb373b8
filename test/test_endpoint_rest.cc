/*
** test_endpoint_rest.cc
** Endpoints that turn requests away and ask for rest
**
** What was seen: one of three plain endpoints turned all requests away at once
** and asked each instance for 3 s of rest. One instance sent it three more in
** that time, another time six, where two are the most: 1.4, 1.8 and 2.2 s
*after
** it had been asked.
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

/* requests from an instance in a rest that it was asked for, from half a
** second on: the most */
constexpr unsigned most_in_rest = 2;
constexpr gint64 rest = 3 * second;

FleetOptions options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned sizes[] = {1, 8, 20, 90, 300};

TEST(EndpointRest, IsLeftToAnEndpointThatAsksForIt) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    FleetOptions failing = options(instances, 5);
    failing.failing = 0.3; /* the others are not well either */
    Fleet fleet(failing);
    fleet.pass(2 * second);
    fleet.endpoints[0].rest = rest;
    fleet.pass(10 * second);
    ASSERT_FALSE(fleet.endpoints[0].rests.empty());
    EXPECT_LE(fleet.max_arrivals_in_rest(0), most_in_rest);
  }
}

/* all that could take a request ask for it: there is no other choice */
TEST(EndpointRest, IsLeftToAllOfAServiceAtOnce) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    Fleet fleet(options(instances, 6));
    fleet.pass(2 * second);
    for (PlainEndpoint &endpoint : fleet.endpoints)
      endpoint.rest = rest;
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++) {
      ASSERT_FALSE(fleet.endpoints[i].rests.empty());
      EXPECT_LE(fleet.max_arrivals_in_rest(i), most_in_rest);
    }
  }
}

/* what was sent before ends well after the word: that takes nothing back */
TEST(EndpointRest, IsNotOverWithARequestThatEndsWell) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    FleetOptions slow = options(instances, 7);
    slow.work = 900 * ms;
    Fleet fleet(slow);
    for (PlainEndpoint &endpoint : fleet.endpoints) {
      endpoint.rest = rest;
      endpoint.resting = 0.2;
    }
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++)
      EXPECT_LE(fleet.max_arrivals_in_rest(i), most_in_rest);
  }
}

/*
** {==================================================================
** One instance
** ===================================================================
*/

struct RestWorld : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* the endpoint of this dispatch turns it away, and asks for rest */
  void turn_away(guint64 dispatch, gint64 time) {
    world.signal(dispatch, routing::signals_rest(time));
    world.outcome(dispatch, OUTCOME_NOT_RUN, 503);
  }
  /* any endpoint asks for rest; nothing of it has to be open here */
  void ask(const char *id, gint64 time) {
    EndpointRecord record = {};
    EndpointSignals said = routing::signals_rest(time);
    record.id = const_cast<char *>(id);
    record.started_unix_ms = world.started_unix_ms;
    router_endpoint_signals(world.router, id,
                            endpoint_incarnation_hash(&record), &said,
                            world.now);
  }
  /* where plain requests go, if they end at once */
  unsigned plain_at(const char *id, int count) {
    unsigned before = sent(id);
    for (int i = 0; i < count; i++) {
      world.request("/safe/x");
      if (!world.last().ended)
        world.outcome(world.last().number, OUTCOME_ANSWER);
    }
    return sent(id) - before;
  }
  unsigned sent(const char *id) const {
    unsigned count = 0;
    for (const SentDispatch &one : world.dispatches)
      count += one.endpoint == id;
    return count;
  }
  unsigned resting() const {
    return router_resting_endpoints(world.router, world.now);
  }
};

TEST_F(RestWorld, ItGetsNothingUntilTheEndAndIsUsedAgain) {
  ask("app-1", 3 * second);
  EXPECT_EQ(plain_at("app-1", 5), 0u);
  world.advance(3 * second);
  EXPECT_EQ(plain_at("app-1", 5), 0u); /* the margin of its own clock */
  world.advance(REST_CLOCK_MARGIN);
  EXPECT_GT(plain_at("app-1", 5), 0u);
}

TEST_F(RestWorld, OfSeveralTheLatestEndHolds) {
  ask("app-1", 3 * second);
  world.advance(100 * ms);
  ask("app-1", 1 * second);
  world.advance(2 * second);
  EXPECT_EQ(plain_at("app-1", 5), 0u);
  ask("app-1", 2 * second);
  world.advance(1500 * ms);
  EXPECT_EQ(plain_at("app-1", 5), 0u);
  world.advance(second);
  EXPECT_GT(plain_at("app-1", 5), 0u);
}

TEST_F(RestWorld, NoTimeIsNoRest) {
  ask("app-1", 0);
  EXPECT_EQ(resting(), 0u);
  EXPECT_GT(plain_at("app-1", 5), 0u);
}

TEST_F(RestWorld, AnAnswerToAnEarlierRequestEndsNone) {
  world.request("/safe/x");
  SentDispatch slow = world.last();
  ask(slow.endpoint.c_str(), 3 * second);
  world.signal(slow.number, routing::signals_served());
  world.outcome(slow.number, OUTCOME_ANSWER);
  EXPECT_EQ(plain_at(slow.endpoint.c_str(), 5), 0u);
}

/* nor is it cut short where a connection fails */
TEST_F(RestWorld, AConnectionThatFailsEndsNone) {
  world.request("/safe/x");
  SentDispatch failed = world.last();
  ask(failed.endpoint.c_str(), 5 * second);
  world.outcome(failed.number, OUTCOME_UNREACHABLE);
  world.advance(4 * second);
  EXPECT_EQ(plain_at(failed.endpoint.c_str(), 5), 0u);
}

TEST_F(RestWorld, AVeryLongOneIsBelievedForAnHour) {
  ask("app-1", 1000000000LL * second);
  world.advance(REST_DURATION_MAX);
  EXPECT_EQ(plain_at("app-1", 5), 0u);
  world.advance(REST_CLOCK_MARGIN);
  EXPECT_GT(plain_at("app-1", 5), 0u);
}

TEST_F(RestWorld, ALaterLifeHasNone) {
  ask("app-1", 30 * second);
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  EXPECT_GT(plain_at("app-1", 5), 0u);
}

TEST_F(RestWorld, AListThatLosesItAndHasItAgainEndsNone) {
  ask("app-1", 30 * second);
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  EXPECT_EQ(plain_at("app-1", 5), 0u);
}

/* it was asked of this instance alone: to the others it is as one that fails,
** which they take where they have no better one */
TEST_F(RestWorld, ItBindsOneInstance) {
  mp_LoadDigest digest = {};
  ask("app-1", 3 * second);
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

TEST_F(RestWorld, WithAllRestingCallersHearAtOnceWhenTheFirstIsBack) {
  std::set<gint64> told;
  ask("app-1", 3 * second);
  ask("app-2", 2 * second);
  for (int i = 0; i < 20; i++) {
    guint64 number = world.request("/safe/x");
    const routing::CallerResult &end = world.end(number);
    ASSERT_EQ(end.refusals, 1);
    EXPECT_EQ(end.refusal, REFUSAL_REST);
    EXPECT_GE(end.retry_after_ms, 2000);
    EXPECT_LE(end.retry_after_ms, 2 * 2100);
    told.insert(end.retry_after_ms);
  }
  EXPECT_GT(told.size(), 10u) << "they do not come back as one wave";
  EXPECT_TRUE(world.dispatches.empty());
}

/* what the caller is told after a run that may have run says no such thing */
TEST_F(RestWorld, AnUnknownOutcomeHasNoTimeToComeBack) {
  guint64 number = world.request("/safe/x");
  SentDispatch first = world.last();
  ask("app-1", 3 * second);
  ask("app-2", 3 * second);
  world.outcome(first.number, OUTCOME_BROKEN);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_OUTCOME_UNKNOWN);
  EXPECT_EQ(world.end(number).retry_after_ms, 0);
}

TEST_F(RestWorld, ARefusedRunGoesToAnotherEndpoint) {
  guint64 number = world.request("/unsafe/x");
  SentDispatch first = world.last();
  turn_away(first.number, 3 * second);
  EXPECT_EQ(world.runs(number), 2u);
  EXPECT_NE(world.last().endpoint, first.endpoint);
  EXPECT_EQ(resting(), 1u);
}

TEST_F(RestWorld, PromptsAndRunsOfEnginesGoElsewhere) {
  ask("pre-1", 3 * second);
  ask("dec-1", 3 * second);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_EQ(world.last().endpoint,
            "dec-2"); /* which reads the prompt itself */
  EXPECT_EQ(sent("pre-1"), 0u);
}

TEST_F(RestWorld, ARunGoesElsewhereThanToAReservedEngineThatRests) {
  guint64 number = world.request("/stream/x");
  SentDispatch prompt = world.last();
  ask("dec-1", 3 * second);
  world.prefilled(prompt.number);
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_EQ(world.last().endpoint, "dec-2");
}

/* what can't be served in time is refused, not held */
TEST_F(RestWorld, WithAllEnginesRestingForLongCallersHearAtOnce) {
  ask("dec-1", 5 * second);
  ask("dec-2", 4 * second);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_REST);
  EXPECT_GE(world.end(number).retry_after_ms, 4000);
  EXPECT_TRUE(world.dispatches.empty());
}

/* nor held on, if the engines ask for rest while it waits */
TEST_F(RestWorld, WhoWaitsWhenAllBeginALongRestHearsSoonToo) {
  ask("dec-1", 100 * ms);
  ask("dec-2", 100 * ms);
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(world.end(number).refusals, 0);
  ask("dec-1", 20 * second);
  ask("dec-2", 20 * second);
  world.advance(400 * ms);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_REST);
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(RestWorld, AShortRestOfAllEnginesIsWaitedFor) {
  ask("dec-1", 200 * ms);
  ask("dec-2", 200 * ms);
  guint64 number = world.request("/stream/x");
  EXPECT_TRUE(world.dispatches.empty());
  world.advance(400 * ms);
  ASSERT_FALSE(world.dispatches.empty());
  EXPECT_EQ(world.last().kind, DISPATCH_PREFILL);
  EXPECT_EQ(world.end(number).refusals, 0);
}

/* one handle is freed there in a rest; the next ones lapse by themselves */
TEST_F(RestWorld, OneReleaseIsSentInARest) {
  std::vector<guint64> callers;
  for (int i = 0; i < 3; i++) {
    callers.push_back(world.request("/stream/x", 10000, 1000, 500));
    ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  }
  std::vector<guint64> prompts;
  for (const SentDispatch &one : world.dispatches)
    prompts.push_back(one.number);
  /* no decode engine takes a run: the handles are kept, and then dropped */
  ask("dec-1", 10 * second);
  ask("dec-2", 10 * second);
  ask("pre-1", 10 * second);
  for (size_t i = 0; i < prompts.size(); i++)
    world.prefilled(prompts[i], ("h" + std::to_string(i)).c_str());
  for (guint64 caller : callers)
    world.hangup(caller);
  unsigned releases = 0;
  for (const SentDispatch &one : world.dispatches)
    releases += one.kind == DISPATCH_RELEASE;
  EXPECT_EQ(releases, 1u);
}

TEST_F(RestWorld, WhatCannotBeReadIsLoggedOnceAndCounted) {
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
  EXPECT_EQ(resting(), 0u);
}

/* what an endpoint says and nobody reads is told once, and bounded */
TEST_F(RestWorld, AnUnknownFieldIsLoggedOnceForItsService) {
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
    bool is_it = line.compare(0, 4, "2017") == 0;
    lines += is_it;
    EXPECT_TRUE(!is_it || line.size() < 120);
  }
  EXPECT_EQ(lines, 32u);
  EXPECT_EQ(router_counter(world.router, ROUTER_COUNT_FIELDS_UNKNOWN), 100u);
}

/* }================================================================== */

} // namespace
