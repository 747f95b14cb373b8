/*
** test_crash_watch.cc
** An endpoint's end told from a lost connection
*/

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "router/crash_watch.h"
}

namespace {

constexpr gint64 ms = MP_MS;

struct Watch : ::testing::Test {
  struct Told {
    std::string endpoint;
    guint32 life;
    std::vector<guint64> contents;
    std::string how;
  };

  CrashWatch *watch = nullptr;
  Endpoint endpoint = {};
  std::vector<Told> told;
  guint64 checks = 0;
  gint64 now = 1000 * MP_SEC;

  void SetUp() override {
    CrashWatchHost host = {this, on_check, on_ended};
    watch = crash_watch_new(&host);
    endpoint.record.id = const_cast<char *>("i-1");
    endpoint.record.ready = TRUE;
    endpoint.hash = 77;
  }
  void TearDown() override {
    crash_watch_free(watch);
  }

  static guint64 on_check(void *data, const Endpoint *, gint64, gint64) {
    return ++static_cast<Watch *>(data)->checks;
  }
  static void on_ended(void *data, const char *endpoint, guint32 life,
                       const QuarantineSuspect *suspects, guint count,
                       const char *how, gint64) {
    Told one = {endpoint, life, {}, how};
    for (guint i = 0; i < count; i++)
      one.contents.push_back(suspects[i].content);
    static_cast<Watch *>(data)->told.push_back(one);
  }

  void broken(guint64 content) {
    QuarantineSuspect one = {content, now, "q", "route", nullptr, 0};
    crash_watch_run_broken(watch, &endpoint, &one, now);
  }
  void answer(OutcomeKind kind, gint64 after = 1 * ms) {
    Outcome outcome = {};
    outcome.dispatch = checks;
    outcome.kind = kind;
    now += after;
    EXPECT_TRUE(crash_watch_outcome(watch, &outcome, now));
  }
};

TEST_F(Watch, ARefusedConnectionProvesTheEndOfAllThatRanThere) {
  broken(1);
  broken(2);
  broken(1); /* two runs of one request */
  EXPECT_EQ(checks, 1u);
  EXPECT_TRUE(told.empty());
  answer(OUTCOME_UNREACHABLE);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].contents, (std::vector<guint64>{1, 2}));
  EXPECT_EQ(told[0].life, 77u);
  EXPECT_EQ(told[0].how, "refused");
  broken(3); /* its connection broke off a little later */
  ASSERT_EQ(told.size(), 2u);
  EXPECT_EQ(told[1].contents, (std::vector<guint64>{3}));
}

/* resets, lost answers and faulty endpoints, which take the next connection */
TEST_F(Watch, AnEndpointThatTakesConnectionsHasNotEnded) {
  for (guint64 content = 1; content < 100; content++) {
    guint64 before = checks;
    now += 100 * ms;
    broken(content);
    if (checks > before)
      answer(OUTCOME_ANSWER);
    crash_watch_expire(watch, now);
  }
  EXPECT_TRUE(told.empty());
  EXPECT_LE(checks, 22u); /* one each half a second, in ten seconds */
}

/* a cut: packets are lost, and nothing says why */
TEST_F(Watch, SilenceProvesNothing) {
  broken(1);
  answer(OUTCOME_UNREACHABLE, 300 * ms);
  EXPECT_TRUE(told.empty());
}

TEST_F(Watch, TheListProvesItWithinSomeSeconds) {
  broken(1);
  answer(OUTCOME_UNREACHABLE, 300 * ms);
  now += 3600 * ms;
  crash_watch_expire(watch, now);
  crash_watch_incarnation_ended(watch, "i-1", 78, "gone",
                                now); /* another life */
  EXPECT_TRUE(told.empty());
  crash_watch_incarnation_ended(watch, "i-1", 77, "gone", now);
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].how, "gone");
  crash_watch_incarnation_ended(watch, "i-1", 77, "gone", now);
  EXPECT_EQ(told.size(), 1u);
}

TEST_F(Watch, WhatBrokeOffLongAgoIsNotHeldAgainstTheEnd) {
  broken(1);
  answer(OUTCOME_ANSWER);
  now += 7 * MP_SEC;
  crash_watch_incarnation_ended(watch, "i-1", 77, "gone", now);
  EXPECT_TRUE(told.empty());
}

TEST_F(Watch, AnEndpointThatIsLeavingEndsByPlan) {
  endpoint.record.ready = FALSE;
  broken(1);
  EXPECT_EQ(checks, 0u);
  crash_watch_incarnation_ended(watch, "i-1", 77, "gone", now);
  EXPECT_TRUE(told.empty());
}

TEST_F(Watch, OutcomesOfOthersAreNotItsOwn) {
  Outcome outcome = {};
  outcome.dispatch = 99;
  broken(1);
  EXPECT_FALSE(crash_watch_outcome(watch, &outcome, now));
}

TEST_F(Watch, CheckThatNeverEndsIsForgotten) {
  broken(1);
  EXPECT_EQ(checks, 1u);
  now += 7 * MP_SEC;
  crash_watch_expire(watch, now);
  broken(1);
  EXPECT_EQ(checks, 2u);
}

} // namespace
