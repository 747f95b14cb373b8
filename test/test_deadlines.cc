/*
** test_deadlines.cc
** No request is sent to an endpoint after the deadline of its caller, though
** events of a loop that is late come before the timers that end requests
*/

#include <gtest/gtest.h>

#include "router_world.h"

using namespace routing;

namespace {

struct DeadlineTest : ::testing::Test {
  World world;
  DeadlineTest() {
    world.add_default_endpoints();
  }
  /* Sends a request that may have waited to be read; returns its number. */
  guint64 request_unread(const char *path, gint64 deadline_ms, gint64 waited) {
    CallerRequest call = {};
    call.number = 1000;
    call.id = "late";
    call.host = "host";
    call.path = path;
    call.content = 1;
    call.deadline_ms = deadline_ms;
    call.waited_unread = waited;
    call.prompt_tokens = 1000;
    call.output_tokens = 500;
    router_request(world.router, &call, world.now);
    return call.number;
  }
};

/* Guards against a deadline that counts from the reading of a request. */
TEST_F(DeadlineTest, CountsFromTheArrivalOfTheRequest) {
  for (const char *path : {"/safe/x", "/stream/x"}) {
    guint64 request = request_unread(path, 3000, 2 * second);
    ASSERT_FALSE(world.dispatches.empty());
    EXPECT_EQ(world.last().deadline_ms, 1000) << path;
    world.hangup(request);
    world.dispatches.clear();
  }
}

/* Guards against a run for a caller that has given up. The refusal promises
** that it has not run, and lets a caller with time left retry at once. */
TEST_F(DeadlineTest, ARequestWithoutTimeLeftIsRefusedAsNotRun) {
  for (const char *path : {"/safe/x", "/stream/x"}) {
    for (gint64 waited : {1490 * ms, 1500 * ms, 8 * second}) {
      world.ended.clear();
      guint64 request = request_unread(path, 1500, waited);
      EXPECT_TRUE(world.dispatches.empty()) << path;
      EXPECT_EQ(world.end(request).refusals, 1);
      EXPECT_EQ(world.end(request).refusal, REFUSAL_NOT_RUN);
      EXPECT_LE(world.end(request).retry_after_ms, 100);
      EXPECT_GT(world.end(request).retry_after_ms, 0);
    }
  }
}

/* Guards against refusals of callers that state no deadline. */
TEST_F(DeadlineTest, ARequestWithoutADeadlineIsSent) {
  request_unread("/safe/x", 0, 8 * second);
  EXPECT_EQ(world.dispatches.size(), 1u);
}

/* Guards against a retry after the deadline: the outcome of the first run
** lay in the kernel and is read before the timer runs. */
TEST_F(DeadlineTest, NoRetryIsSentAfterIt) {
  guint64 request = world.request("/safe/x", 1500);
  ASSERT_EQ(world.dispatches.size(), 1u);
  world.now += 1500 * ms;
  world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
  EXPECT_EQ(world.dispatches.size(), 1u);
  EXPECT_EQ(world.end(request).refusals, 1);
}

/* The same of a run after its prompt was read elsewhere. */
TEST_F(DeadlineTest, NoRunFollowsAPrefillAfterIt) {
  guint64 request = world.request("/stream/x", 1500);
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  world.now += 1500 * ms;
  world.prefilled(world.last().number);
  EXPECT_EQ(world.runs(request), 0u);
  EXPECT_EQ(world.end(request).refusals, 1);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_NOT_RUN);
}

} // namespace
