/*
** test_silent_runs.cc
** Runs that may be replaced, at endpoints that fall silent and go on
**
** A sound endpoint may be silent for 1.5 s. A run that is given up for that
** costs an extra arrival and the work that was done; one that waits at an
** endpoint that is lost costs its caller the answer.
*/

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/relay_members.h"
}

using routing::ms;
using routing::second;

namespace {

/* /safe/ and /resume/ have an objective of 0.2 s and two attempts each. */
struct SilentRuns : ::testing::Test {
  routing::World world;
  size_t checked = 0;

  void SetUp() override {
    world.add_default_endpoints();
    world.configure(2, 10 * second, 200 * ms);
  }
  /* Each check has this outcome; nullopt: none. */
  void pass(gint64 time, std::optional<OutcomeKind> check = OUTCOME_ANSWER) {
    for (gint64 passed = 0; passed < time; passed += 10 * ms) {
      world.advance(10 * ms);
      for (; check && checked < world.checks.size(); checked++)
        world.outcome(world.checks[checked].number, *check);
    }
  }
  guint64 safe(gint64 deadline_ms = 10000) {
    return world.request("/safe/x", deadline_ms);
  }
  /* A stream that has its head, and 'pieces' pieces. */
  guint64 stream(int pieces = 1, gint64 deadline_ms = 10000) {
    guint64 request = world.request("/resume/x", deadline_ms);
    if (world.last().kind == DISPATCH_PREFILL)
      world.prefilled(world.last().number);
    guint64 run = world.last().number;
    EXPECT_EQ(world.last().kind, DISPATCH_RUN);
    world.outcome(run, OUTCOME_STREAM_HEAD);
    for (int i = 1; i <= pieces; i++)
      world.piece(run, std::to_string(i).c_str());
    return request;
  }
  /* How long it takes until the open run is given up; 9 s: it is not. */
  gint64 time_until_left(std::optional<OutcomeKind> check) {
    guint64 run = world.last().number;
    gint64 from = world.now;
    while (!world.sent(run).cancelled && world.now < from + 9 * second)
      pass(10 * ms, check);
    return world.now - from;
  }
  /* A pause of 1.55 s, with a change of the configuration (work & 1) or the
  ** beginning of a stop (work & 2) in it. */
  void pass_beside_planned_work(int work) {
    pass(300 * ms);
    if ((work & 1) != 0)
      world.configure(static_cast<guint64>(work) + 2, 10 * second, 200 * ms);
    if ((work & 2) != 0)
      router_begin_stop(world.router, world.now + 7600 * ms, world.now);
    pass(1250 * ms);
  }
  void expect_open(guint64 request, guint64 run) {
    EXPECT_FALSE(world.sent(run).cancelled);
    EXPECT_EQ(world.end(request).ends(), 0);
    EXPECT_LE(world.runs(request), 1u);
  }
};

TEST_F(SilentRuns, ASafeRequestIsNotRepeatedForAPause) {
  guint64 request = safe(), run = world.last().number;
  pass(1550 * ms);
  expect_open(request, run);
  world.outcome(run, OUTCOME_ANSWER);
  EXPECT_EQ(world.end(request).answers, 1);
}

TEST_F(SilentRuns, AStreamIsNotResumedElsewhereForAPauseAfterItsHead) {
  guint64 request = stream(0), run = world.last().number;
  pass(1550 * ms);
  expect_open(request, run);
}

/* Each pause counts by itself. */
TEST_F(SilentRuns, AStreamIsNotResumedElsewhereForPausesBetweenPieces) {
  guint64 request = stream(), run = world.last().number;
  for (int piece = 2; piece < 5; piece++) {
    pass(1550 * ms);
    expect_open(request, run);
    world.piece(run, std::to_string(piece).c_str());
  }
  world.outcome(run, OUTCOME_STREAM_END);
  EXPECT_EQ(world.end(request).answers, 1);
  EXPECT_EQ(world.end(request).events.size(), 4u);
}

/* A stop, a change of the configuration, and both, with the pause across. */
TEST_F(SilentRuns, NoSafeRunIsGivenUpForAPauseBesidePlannedWork) {
  for (int work = 1; work < 4; work++) {
    SCOPED_TRACE(work);
    guint64 plain = safe(), run = world.last().number;
    pass_beside_planned_work(work);
    expect_open(plain, run);
    world.outcome(run, OUTCOME_ANSWER);
    EXPECT_EQ(world.end(plain).answers, 1);
  }
}

TEST_F(SilentRuns, NoStreamIsGivenUpForAPauseBesidePlannedWork) {
  for (int work = 1; work < 4; work++) {
    SCOPED_TRACE(work);
    guint64 streamed = stream(), run = world.last().number;
    pass_beside_planned_work(work);
    expect_open(streamed, run);
    world.piece(run, "2");
    world.outcome(run, OUTCOME_STREAM_END);
    EXPECT_EQ(world.end(streamed).answers, 1);
  }
}

/* Guards against a wait without end for an endpoint that hangs. */
TEST_F(SilentRuns, ASafeRunThatHangsIsLeftAfterTheLongestPause) {
  safe();
  gint64 time = time_until_left(OUTCOME_ANSWER);
  EXPECT_GE(time, 1600 * ms);
  EXPECT_LE(time, 1700 * ms);
}

TEST_F(SilentRuns, AStreamThatHangsIsLeftAfterTheLongestPause) {
  stream();
  gint64 time = time_until_left(OUTCOME_ANSWER);
  EXPECT_GE(time, 1600 * ms);
  EXPECT_LE(time, 1700 * ms);
}

/* Guards against endpoints that are lost being waited for like sound ones:
** 0.5 s (safe) and 0.9 s (three pauses) of silence, and one check. */
TEST_F(SilentRuns, ARunIsLeftSoonWhereThePathIsLost) {
  for (std::optional<OutcomeKind> check :
       {std::optional<OutcomeKind>(OUTCOME_UNREACHABLE),
        std::optional<OutcomeKind>()}) {
    SCOPED_TRACE(check.has_value());
    safe();
    EXPECT_LE(time_until_left(check), 870 * ms);
    stream();
    EXPECT_LE(time_until_left(check), 1270 * ms);
  }
}

/* Guards against one sound check that covers the whole silence. */
TEST_F(SilentRuns, ARunIsLeftSoonAfterItsPathIsLost) {
  guint64 request = safe(), run = world.last().number;
  pass(700 * ms);
  expect_open(request, run);
  EXPECT_LE(time_until_left(OUTCOME_UNREACHABLE), 650 * ms);
}

/* Guards against a caller whose deadline passes while an endpoint pauses: a
** second run has 0.5 s. */
TEST_F(SilentRuns, ARunIsLeftWhileTheDeadlineLeavesTime) {
  safe(1500);
  EXPECT_LE(time_until_left(OUTCOME_ANSWER), 1000 * ms);
}

/* Guards against checks that cost a connection for each silent run. */
TEST_F(SilentRuns, RunsAtOneEndpointShareItsChecks) {
  for (int i = 0; i < 20; i++)
    safe();
  pass(1500 * ms);
  EXPECT_LE(world.checks.size(), 2u * 4u);
}

/* An instance that has lost its direct paths; two others carry its runs. The
** endpoints and the carriers are sound: a check through a carrier succeeds
** after 10 ms, a direct one fails after 250 ms. */
struct CarriedSilentRuns : SilentRuns {
  std::map<guint64, gint64> check_ends;
  mp_Addr lost = 0; /* a carrier that connects to nothing */

  void SetUp() override {
    SilentRuns::SetUp();
    g_autoptr(GArray) others = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (const char *address : {"10.0.0.6:1", "10.0.0.7:1"}) {
      RelayMember member = {};
      member.address = mp_addr_parse(address);
      member.zone = g_str_hash("a");
      member.capacity = 1;
      g_array_append_val(others, member);
    }
    router_set_members(world.router, others);
  }
  void pass_checks(gint64 time) {
    for (gint64 passed = 0; passed < time; passed += 10 * ms) {
      world.advance(10 * ms);
      for (; checked < world.checks.size(); checked++)
        check_ends[checked] =
            world.now + (world.checks[checked].via != 0 ? 10 * ms : 240 * ms);
      for (auto check = check_ends.begin(); check != check_ends.end();) {
        const routing::SentDispatch sent = world.checks[check->first];
        bool is_due = world.now >= check->second;
        bool connects = sent.via != 0 && sent.via != lost;
        if (is_due)
          world.outcome(sent.number,
                        connects ? OUTCOME_ANSWER : OUTCOME_UNREACHABLE);
        check = is_due ? check_ends.erase(check) : std::next(check);
      }
    }
  }
  /* Sends a request and reports its direct runs unreachable until a run is
  ** carried; returns that run. */
  guint64 carried_run(const char *path, guint64 *request = nullptr) {
    guint64 number = world.request(path, 10000);
    if (request != nullptr)
      *request = number;
    for (int i = 0; i < 20; i++) {
      if (world.last().kind == DISPATCH_PREFILL && !world.last().ended)
        world.prefilled(world.last().number);
      if (world.last().request != number || world.last().ended)
        break;
      if (world.last().via != 0)
        return world.last().number;
      world.outcome(world.last().number, OUTCOME_UNREACHABLE);
      pass_checks(20 * ms);
    }
    return 0;
  }
  void lose_paths(const char *path) {
    for (int i = 0; i < 8; i++) {
      guint64 run = carried_run(path);
      if (run != 0)
        world.outcome(run, OUTCOME_ANSWER);
      pass_checks(300 * ms);
    }
  }
};

/* Guards against a carried run that is given up because the open check of its
** endpoint, a direct one that tries the lost path again, says nothing of its
** carrier. */
TEST_F(CarriedSilentRuns, AStreamIsNotResumedElsewhereForAPause) {
  lose_paths("/resume/x");
  for (int i = 0; i < 20; i++) {
    SCOPED_TRACE(i);
    guint64 request = 0, run = carried_run("/resume/x", &request);
    ASSERT_NE(run, 0u);
    world.outcome(run, OUTCOME_STREAM_HEAD);
    world.piece(run, "1");
    pass_checks(1550 * ms);
    expect_open(request, run);
    world.outcome(world.last().number, OUTCOME_STREAM_END);
    pass_checks(70 * ms);
  }
}

TEST_F(CarriedSilentRuns, ASafeRequestIsNotRepeatedForAPause) {
  lose_paths("/safe/x");
  for (int i = 0; i < 20; i++) {
    SCOPED_TRACE(i);
    guint64 request = 0, run = carried_run("/safe/x", &request);
    ASSERT_NE(run, 0u);
    pass_checks(1550 * ms);
    expect_open(request, run);
    world.outcome(world.last().number, OUTCOME_ANSWER);
    pass_checks(70 * ms);
  }
}

/* Guards against runs of one endpoint that are given up because the shared
** check went through the carrier of another run. */
TEST_F(CarriedSilentRuns, RunsThroughTwoCarriersAreNotRepeatedForAPause) {
  lose_paths("/safe/x");
  std::vector<std::pair<guint64, guint64>> all;
  for (int i = 0; i < 8; i++) {
    guint64 request = 0, run = carried_run("/safe/x", &request);
    ASSERT_NE(run, 0u);
    all.emplace_back(request, run);
  }
  pass_checks(1550 * ms);
  for (auto [request, run] : all)
    expect_open(request, run);
}

/* Guards against a carried run that waits for its lost carrier because another
** carrier connects to the endpoint. */
TEST_F(CarriedSilentRuns, ARunIsLeftSoonWhereItsCarrierIsLost) {
  lose_paths("/safe/x");
  guint64 lost_run = carried_run("/safe/x");
  ASSERT_NE(lost_run, 0u);
  lost = world.sent(lost_run).via;
  for (int i = 0; i < 8; i++)
    ASSERT_NE(carried_run("/safe/x"), 0u);
  gint64 from = world.now;
  while (!world.sent(lost_run).cancelled && world.now < from + 3 * second)
    pass_checks(10 * ms);
  EXPECT_LE(world.now - from, 870 * ms);
}

/* Guards against checks that cost a connection for each silent run: one for
** each endpoint, carrier and half second, besides the direct ones. */
TEST_F(CarriedSilentRuns, RunsOnOnePathShareItsChecks) {
  lose_paths("/safe/x");
  for (int i = 0; i < 30; i++)
    ASSERT_NE(carried_run("/safe/x"), 0u);
  size_t before = world.checks.size(), carried = 0;
  pass_checks(1500 * ms);
  for (size_t i = before; i < world.checks.size(); i++)
    carried += world.checks[i].via != 0;
  EXPECT_GE(carried, 2u);
  EXPECT_LE(carried, 2u * 2u * 4u);
}

} // namespace
