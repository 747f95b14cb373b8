/*
** test_endpoint_leaving.cc
** Endpoints that say with their answers that they leave
**
** What was seen: one of three plain endpoints said with its answers that it
** leaves, while the store answered nobody. For the next 13 s it got as many
** requests as before, 92 of them, from all eight instances: 3 s after an
** answer had told the instance that sent them, where 2 s are the most. Once
** the store was back, and listed it as draining, it got none.
**
** Cause: an answer's head was translated into seven facts, and this was none
*of
** them; what the list says was the only word that counted, and the list was
** 12.7 s old. Evidence: no source named the field; the endpoint's share of the
** requests was the same before and after it had said so, at all instances; the
** first list that had it as draining ended that at once. Nothing had been on
** its way: of 742 requests none waited longer than 0.3 ms for its dispatch.
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

/* requests that an instance takes later than this behind the first answer
** that it passed on, and that said so, do not reach the endpoint */
constexpr gint64 most_after = 2 * second;

FleetOptions options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned sizes[] = {1, 8, 20, 90, 300};

TEST(EndpointLeaving, NoInstanceThatHeardItSendsMore) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    Fleet fleet(options(instances, 5));
    fleet.pass(2 * second);
    fleet.endpoints[0].is_leaving = true;
    fleet.pass(8 * second);
    ASSERT_FALSE(fleet.endpoints[0].leaving_answers.empty());
    EXPECT_EQ(fleet.arrivals_after_leaving(0, most_after, false), 0u);
  }
}

/* it is a fact about the endpoint: those that had no answer of it know it from
** the others, and so does one that has started anew */
TEST(EndpointLeaving, AllInstancesKnowItFromOne) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    Fleet fleet(options(instances, 6));
    fleet.pass(2 * second);
    fleet.endpoints[0].is_leaving = true;
    fleet.pass(4 * second);
    fleet.kill(0.5);
    fleet.pass(second);
    gint64 all_know = fleet.now;
    fleet.pass(3 * second);
    ASSERT_FALSE(fleet.endpoints[0].leaving_answers.empty());
    EXPECT_EQ(fleet.arrived(0, all_know, fleet.now), 0u);
    EXPECT_EQ(fleet.refused, 0u) << "the others take the rest";
  }
}

/* the list is older than what the endpoint said, or comes from one that is */
TEST(EndpointLeaving, NoListTakesItBack) {
  Fleet fleet(options(8, 7));
  fleet.endpoints[0].is_leaving = true;
  for (int i = 0; i < 16; i++) {
    fleet.pass(500 * ms);
    fleet.list(0, true);
  }
  EXPECT_EQ(fleet.arrivals_after_leaving(0, most_after, false), 0u);
}

/*
** {==================================================================
** One instance
** ===================================================================
*/

struct LeavingWorld : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* this endpoint says so with an answer to something */
  void leave(const char *id) {
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
  /* dispatches of this kind at that endpoint */
  unsigned sent(DispatchKind kind, const char *id) const {
    unsigned count = 0;
    for (const SentDispatch &one : world.dispatches)
      count += one.kind == kind && one.endpoint == id;
    return count;
  }
  void plain_requests(int count) {
    for (int i = 0; i < count; i++) {
      world.request("/safe/x");
      if (!world.last().ended)
        world.outcome(world.last().number, OUTCOME_ANSWER);
    }
  }
};

TEST_F(LeavingWorld, ItGetsNoRequest) {
  leave("app-1");
  plain_requests(8);
  EXPECT_EQ(sent(DISPATCH_RUN, "app-1"), 0u);
  EXPECT_EQ(sent(DISPATCH_RUN, "app-2"), 8u);
}

TEST_F(LeavingWorld, ThatTheListHasItAsReadyChangesNothing) {
  leave("app-1");
  world.revision = 9;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  plain_requests(8);
  EXPECT_EQ(sent(DISPATCH_RUN, "app-1"), 0u);
}

/* entries lapse while the store is away, and come back */
TEST_F(LeavingWorld, AListThatLosesItAndHasItAgainChangesNothing) {
  leave("app-1");
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.advance(20 * second);
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  plain_requests(8);
  EXPECT_EQ(sent(DISPATCH_RUN, "app-1"), 0u);
}

TEST_F(LeavingWorld, ALaterLifeDoesNotLeave) {
  leave("app-1");
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  plain_requests(8);
  EXPECT_GT(sent(DISPATCH_RUN, "app-1"), 0u);
}

TEST_F(LeavingWorld, ALaterLifeThatWasOffTheListBetweenDoesNotLeave) {
  leave("app-1");
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, true, true);
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  plain_requests(8);
  EXPECT_GT(sent(DISPATCH_RUN, "app-1"), 0u);
}

/* what an answer of the life before says binds this one in nothing */
TEST_F(LeavingWorld, AnAnswerOfAnEarlierLifeSaysNothing) {
  guint32 earlier = incarnation_hash_of("app-1");
  EndpointSignals said = routing::signals_leaving();
  world.started_unix_ms = 2000;
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  router_endpoint_signals(world.router, "app-1", earlier, &said, world.now);
  EXPECT_EQ(router_leaving_endpoints(world.router), 0u);
}

TEST_F(LeavingWorld, WithAllLeavingTheCallerHearsAtOnce) {
  EndpointSignals said = routing::signals_leaving();
  for (const char *id : {"app-1", "app-2"})
    router_endpoint_signals(world.router, id, incarnation_hash_of(id), &said,
                            world.now);
  guint64 number = world.request("/safe/x");
  EXPECT_EQ(world.end(number).refusals, 1);
  EXPECT_EQ(world.end(number).refusal, REFUSAL_NO_ENDPOINT);
  EXPECT_GT(world.end(number).retry_after_ms, 0);
}

TEST_F(LeavingWorld, ARunGoesElsewhereThanToAReservedEngineThatLeaves) {
  guint64 number = world.request("/stream/x");
  SentDispatch prompt = world.last();
  ASSERT_EQ(prompt.kind, DISPATCH_PREFILL);
  ASSERT_FALSE(world.notes.empty());
  std::string reserved =
      world.notes.back().endpoint == incarnation_hash_of("dec-1") ? "dec-1"
                                                                  : "dec-2";
  leave(reserved.c_str());
  world.prefilled(prompt.number);
  EXPECT_EQ(world.runs(number), 1u);
  EXPECT_NE(world.last().endpoint, reserved);
}

TEST_F(LeavingWorld, APromptIsNotReadAtAnEngineThatLeaves) {
  leave("pre-1");
  guint64 number = world.request("/stream/x");
  EXPECT_EQ(sent(DISPATCH_PREFILL, "pre-1"), 0u);
  EXPECT_EQ(world.runs(number), 1u); /* the decode engine reads it */
}

/* streams go on to their end where they run */
TEST_F(LeavingWorld, AStreamThatRunsThereGoesOn) {
  guint64 number = world.request("/resume/x");
  world.prefilled(world.last().number);
  SentDispatch run = world.last();
  world.outcome(run.number, OUTCOME_STREAM_HEAD);
  leave(run.endpoint.c_str());
  world.piece(run.number, "1");
  world.outcome(run.number, OUTCOME_STREAM_END);
  EXPECT_EQ(world.end(number).answers, 1);
  EXPECT_EQ(world.runs(number), 1u);
}

/* its planned end is held against no request */
TEST_F(LeavingWorld, ItsEndIsNoCrash) {
  world.request("/stream/x");
  world.prefilled(world.last().number);
  SentDispatch run = world.last();
  leave(run.endpoint.c_str());
  world.outcome(run.number, OUTCOME_BROKEN);
  EXPECT_TRUE(world.checks.empty());
}

TEST_F(LeavingWorld, ADigestTellsItUntilTheListDoes) {
  mp_LoadDigest digest = {};
  leave("app-1");
  router_load_digest(world.router, &digest, world.now);
  ASSERT_EQ(digest.leaving_count, 1u);
  EXPECT_EQ(digest.leaving[0], incarnation_hash_of("app-1"));
  world.endpoint({"app-1", "app", "a", STAGE_NONE}, false);
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.leaving_count, 0u);
}

/* more than a digest holds take turns */
TEST_F(LeavingWorld, OfManyEachIsTold) {
  constexpr unsigned many = 3 * MP_LOAD_DIGEST_LEAVING + 1;
  EndpointSignals said = routing::signals_leaving();
  std::set<guint32> told;
  for (unsigned i = 0; i < many; i++) {
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
    told.insert(digest.leaving, digest.leaving + digest.leaving_count);
    world.advance(500 * ms);
  }
  EXPECT_EQ(told.size(), many);
}

/* a life whose start is not said can't be told from a later one */
TEST_F(LeavingWorld, ALifeOfUnknownStartIsToldToNobody) {
  mp_LoadDigest digest = {};
  world.started_unix_ms = 0;
  world.endpoint({"app-9", "app", "a", STAGE_NONE});
  leave("app-9");
  router_load_digest(world.router, &digest, world.now);
  EXPECT_EQ(digest.leaving_count, 0u);
}

/* }================================================================== */

} // namespace
