/*
** test_path.cc
** The path of a request, without and with single faults, in virtual time
*/

#include <gtest/gtest.h>

#include "sim.h"

using namespace sim;

namespace {

struct Path : ::testing::Test {
  Sim s;

  void SetUp() override {
    s.build({"a", "a", "b", "b", "c", "c"}, {{MP_ROLE_PREFILL, "llm"},
                                             {MP_ROLE_DECODE, "llm"},
                                             {MP_ROLE_PLAIN, "app"},
                                             {MP_ROLE_PLAIN, "claims"}});
  }

  void TearDown() override {
    s.check({"a", "b"});
    for (auto &b : s.broken)
      ADD_FAILURE() << b;
  }

  const Caller &done(uint64_t call) {
    return s.callers[call];
  }
};

TEST_F(Path, AnswersStreamWhole) {
  auto a = s.request(0, "ask", "", "hello");
  auto b = s.request(3, "once", "k1", "award");
  auto c = s.request(4, "plain", "", "cards");
  s.run(s.now + 5 * sec);
  EXPECT_TRUE(done(a).ended) << mp_error_name(done(a).error);
  EXPECT_TRUE(done(b).ended) << mp_error_name(done(b).error);
  EXPECT_TRUE(done(c).ended) << mp_error_name(done(c).error);
}

TEST_F(Path, OnlyFreeEngineIsForbidden) {
  for (size_t i = 0; i < s.engines.size(); i++) {
    if (s.engines[i].dc != "c")
      s.kill_engine(i);
  }
  s.run(s.now + 3 * sec);
  auto a = s.request(4, "ask", "", "hello"); /* at an instance in c */
  s.run(s.now + 5 * sec);
  EXPECT_TRUE(done(a).failed);
  EXPECT_EQ(done(a).ran, MP_RAN_NO);
  EXPECT_EQ(done(a).error, MP_ERR_PLACE_AWAY);
  EXPECT_GT(done(a).retry_s, 0);
  EXPECT_TRUE(s.ledger.empty());
}

TEST_F(Path, SameIdAtTwoInstancesAtOnceIsAnsweredOnce) {
  auto a = s.request(0, "ask", "same", "hello");
  auto b = s.request(2, "ask", "same", "hello");
  s.run(s.now + 5 * sec);
  auto c = s.request(5, "ask", "same", "hello"); /* after the answer */
  s.run(s.now + 5 * sec);
  EXPECT_EQ(done(a).ended + done(b).ended, 1);
  EXPECT_EQ(done(c).error, MP_ERR_DUPLICATE);
  EXPECT_EQ(done(c).ran, MP_RAN_YES);
}

TEST_F(Path, PlatformDownRefusesWhatMustNotRepeatAndServesTheRest) {
  s.store_down = true;
  s.run(s.now + 1 * sec);
  auto a = s.request(0, "plainonce", "k", "claim");
  auto b = s.request(0, "ask", "k2", "hello");
  auto c = s.request(1, "plain", "", "cards");
  s.run(s.now + 10 * sec);
  EXPECT_EQ(done(a).error, MP_ERR_CLAIM);
  EXPECT_EQ(done(a).ran, MP_RAN_NO);
  EXPECT_GT(done(a).retry_s, 0);
  EXPECT_TRUE(done(b).ended);
  EXPECT_TRUE(done(c).ended);
  s.store_down = false;
  s.run(s.now + 2 * sec);
  auto d = s.request(0, "plainonce", "k", "claim"); /* came back, as told */
  s.run(s.now + 5 * sec);
  EXPECT_TRUE(done(d).ended) << mp_error_name(done(d).error);
}

TEST_F(Path, LostReplyToAClaimIsSettledByReadingBack) {
  s.lost_store_replies = 1;
  auto a = s.request(0, "plainonce", "k", "claim");
  s.run(s.now + 10 * sec);
  EXPECT_TRUE(done(a).ended) << mp_error_name(done(a).error);
  EXPECT_EQ(s.ledger.size(), 1u);
}

} // namespace
