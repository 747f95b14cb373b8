/*
** test_held.cc
** What becomes of a request that is held because endpoints ended under it
*/

#include <gtest/gtest.h>

#include "router_world.h"

using namespace routing;

namespace {

struct Held : ::testing::Test {
  World world;

  void SetUp() override {
    world.add_default_endpoints();
    world.content = 77;
  }
  /* other instances tell of so many ends under the request with this digest */
  void hear_ends(unsigned count, guint64 content = 77) {
    mp_CrashUpdate news = {};
    news.n = 1;
    news.row[0].request = content;
    news.row[0].n = count;
    for (unsigned i = 0; i < count; i++)
      news.row[0].crash[i] = 100 + i;
    router_receive_crashes(world.router, &news, world.now);
  }
  void expect_held(guint64 request) {
    EXPECT_EQ(world.end(request).refusals, 1);
    EXPECT_EQ(world.end(request).refusal, REFUSAL_HELD);
    EXPECT_EQ(world.end(request).at, world.now);
    EXPECT_LE(world.end(request).retry_after_ms, 3600 * 1000);
    EXPECT_GE(world.end(request).retry_after_ms, 3590 * 1000);
  }
};

TEST_F(Held, ItIsRefusedAtOnceAndSentNowhere) {
  hear_ends(3);
  for (const char *path : {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"})
    expect_held(world.request(path));
  EXPECT_TRUE(world.dispatches.empty());
}

TEST_F(Held, TwoEndsHoldNobody) {
  hear_ends(2);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

TEST_F(Held, OneThatWaitsIsRefusedAtOnce) {
  world.content = 0;
  world.request("/stream/x", 10000, 9500); /* both engines are full */
  world.request("/stream/x", 10000, 9500);
  world.content = 77;
  guint64 waiting = world.request("/stream/x", 10000, 9500);
  ASSERT_EQ(world.end(waiting).ends(), 0);
  hear_ends(3);
  expect_held(waiting);
}

TEST_F(Held, OneWhosePromptWasReadMeanwhileIsNotRun) {
  guint64 request = world.request("/stream/x");
  SentDispatch prefill = world.last();
  ASSERT_EQ(prefill.kind, DISPATCH_PREFILL);
  hear_ends(3);
  EXPECT_EQ(world.end(request).ends(), 0);
  world.prefilled(prefill.number);
  EXPECT_EQ(world.runs(request), 0u);
  expect_held(request);
  EXPECT_EQ(world.last().kind, DISPATCH_RELEASE);
}

/* it ran and broke off: whether it ran is no longer a question */
TEST_F(Held, OneThatBrokeOffIsNotTriedAgain) {
  world.endpoint({"app-1", "app", "a", STAGE_NONE});
  guint64 request = world.request("/safe/x");
  hear_ends(3);
  world.outcome(world.last().number, OUTCOME_BROKEN);
  EXPECT_EQ(world.runs(request), 1u);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
}

TEST_F(Held, TheSameOfAnotherAccountIsServed) {
  world.clients = {{"first", {"key-1"}}, {"second", {"key-2"}}};
  world.configure(2);
  world.key = "key-1";
  for (int end = 0; end < 3; end++) {
    world.request("/unsafe/x");
    world.outcome(world.last().number, OUTCOME_BROKEN);
    std::vector<SentDispatch> checks;
    checks.swap(world.checks);
    for (const SentDispatch &check : checks)
      world.outcome(check.number, OUTCOME_UNREACHABLE);
    world.advance(5 * second);
    world.started_unix_ms += 1000;
    world.endpoint({"app-1", "app", "a", STAGE_NONE});
    world.endpoint({"app-2", "app", "b", STAGE_NONE});
  }
  expect_held(world.request("/unsafe/x"));
  world.key = "key-2";
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

} // namespace
