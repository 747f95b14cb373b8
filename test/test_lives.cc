/*
** test_lives.cc
** Endpoints that start again under their id: a later life ends the earlier
** one, and late news of an earlier one bring nothing back
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "router_world.h"

using namespace routing;

namespace {

const Place decode = {"dec-1", "llm", "a", STAGE_DECODE};
const Place plain = {"app-1", "app", "a", STAGE_NONE};

struct Lives : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.configure();
  }
  void start(const Place &place, gint64 born) {
    world.started_unix_ms = born;
    world.endpoint(place);
  }
  unsigned rows() {
    mp_LoadDigest digest = {};
    router_load_digest(world.router, &digest, world.now);
    return digest.n;
  }
  guint32 hash_in_digest() {
    mp_LoadDigest digest = {};
    router_load_digest(world.router, &digest, world.now);
    return digest.n > 0 ? digest.row[0].endpoint : 0;
  }
};

TEST_F(Lives, ALaterOneEndsWhatRunsOnTheEarlier) {
  start(plain, 1000);
  guint64 request = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(request), 1u);
  start(plain, 2000);
  EXPECT_TRUE(world.last().cancelled);
  EXPECT_EQ(world.end(request).refusals, 1);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
  EXPECT_EQ(rows(), 0u); /* no dispatch and no failure of the earlier life */
}

TEST_F(Lives, ARunThatMayBeRepeatedGoesOnElsewhere) {
  start(plain, 1000);
  guint64 request = world.request("/safe/x");
  start({"app-2", "app", "a", STAGE_NONE}, 1500);
  start(plain, 2000);
  EXPECT_EQ(world.runs(request), 2u);
  EXPECT_EQ(world.last().endpoint, "app-2");
}

/* it left the list, and a later life of it came, while a run went on */
TEST_F(Lives, ARunOfTheEarlierOneIsNotHeldAgainstTheLater) {
  mp_LoadDigest digest = {};
  start(plain, 1000);
  guint64 first = world.request("/unsafe/x");
  guint64 dispatch = world.last().number;
  world.endpoint(plain, true, true);
  start(plain, 2000);
  guint64 second = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(second), 1u);
  world.outcome(dispatch, OUTCOME_BROKEN);
  EXPECT_EQ(world.end(first).refusals, 1);
  router_load_digest(world.router, &digest, world.now);
  ASSERT_EQ(digest.n, 1u);
  EXPECT_EQ(digest.row[0].open, 1u);
  EXPECT_EQ(digest.row[0].failing, 0u);
}

TEST_F(Lives, AnEarlierOneHeardLateChangesNothing) {
  start(plain, 2000);
  guint64 request = world.request("/unsafe/x");
  world.started_unix_ms = 1000;
  world.endpoint(plain, false); /* it was leaving then */
  EXPECT_EQ(world.end(request).ends(), 0);
  world.outcome(world.last().number, OUTCOME_ANSWER);
  EXPECT_EQ(world.end(request).answers, 1);
  guint64 next = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(next), 1u); /* it is still ready */
}

TEST_F(Lives, WithoutAWordOfItsStartALifeGoesOn) {
  start(plain, 1000);
  guint64 request = world.request("/unsafe/x");
  start(plain, 0);
  start(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 0);
}

TEST_F(Lives, InstancesTellEachOtherOfLives) {
  start(plain, 1000);
  world.request("/unsafe/x");
  guint32 earlier = hash_in_digest();
  start(plain, 2000);
  world.request("/unsafe/x");
  EXPECT_NE(hash_in_digest(), earlier);
}

TEST_F(Lives, APromptThatTheEarlierOneReadIsReadAgain) {
  start({"pre-1", "llm", "a", STAGE_PREFILL}, 1000);
  start(decode, 1000);
  guint64 request = world.request("/stream/x");
  guint64 prefill = world.last().number;
  start(decode, 2000); /* what was reserved there is gone */
  EXPECT_EQ(rows(), 1u);
  world.prefilled(prefill);
  EXPECT_EQ(world.runs(request), 1u);
  world.outcome(world.last().number, OUTCOME_STREAM_END);
  EXPECT_EQ(rows(), 0u);
}

/*
** What was seen in the code: an endpoint whose clock stood ahead at its first
** start, or an entry of another writer from the year 2255, made each true
** entry under that id an outdated one, for as long as the id was listed.
** Cause: lives were ordered by what the endpoints' clocks say.
*/
TEST_F(Lives, WhatTheStoreWroteLaterIsRight) {
  world.revision = 5;
  start(plain, 9000000000000);
  world.revision = 6;
  start(plain, 1700000000000);
  guint64 request = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(request), 1u);
  world.revision = 7;
  start(plain, 1600000000000); /* a later life yet: the run has ended */
  EXPECT_EQ(world.end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
  world.revision = 4;
  world.started_unix_ms = 9000000000000;
  world.endpoint(plain, false); /* an older word, heard late */
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

/* a hundred endpoints that start again while their clocks step by 2 s ahead
 *and
 ** back, and one entry from the year 2255: each is used after its own entry */
TEST_F(Lives, ClocksThatStepLockNobodyOut) {
  std::mt19937 random(9);
  constexpr gint64 step = 2000;
  constexpr gint64 far = 9000000000000;
  gint64 clock = 1700000000000;
  for (int round = 0; round < 10; round++) {
    for (int i = 0; i < 100; i++) {
      std::string id = "app-" + std::to_string(i);
      Place place = {id.c_str(), "app", "a", STAGE_NONE};
      gint64 off = step * (static_cast<gint64>(random() % 3) - 1);
      clock += 7;
      world.revision++;
      start(place, i == 50 && round == 3 ? far : clock + off);
      for (int k = 0; k < 100; k++) { /* the others leave meanwhile */
        if (k == i)
          continue;
        std::string other = "app-" + std::to_string(k);
        world.endpoint({other.c_str(), "app", "a", STAGE_NONE}, true, true);
      }
      guint64 request = world.request("/unsafe/x");
      ASSERT_EQ(world.runs(request), 1u) << id << " in round " << round;
      ASSERT_EQ(world.last().endpoint, id);
      world.outcome(world.last().number, OUTCOME_ANSWER);
      guint64 next = world.request("/unsafe/x");
      world.revision++;
      start(place, clock + off - step); /* it starts again, its clock behind */
      ASSERT_EQ(world.end(next).refusal, REFUSAL_OUTCOME_UNKNOWN) << id;
      guint64 last = world.request("/unsafe/x");
      ASSERT_EQ(world.runs(last), 1u) << id;
      world.outcome(world.last().number, OUTCOME_ANSWER);
    }
  }
}

/* a hundred endpoints, ten lives each, with late news of earlier ones */
TEST_F(Lives, LoadsAreExactWhenAllIsQuiet) {
  std::mt19937 random(5);
  std::vector<std::string> names;
  std::vector<gint64> born;
  for (int i = 0; i < 100; i++) {
    names.push_back((i % 5 == 0 ? "pre-" : "dec-") + std::to_string(i));
    born.push_back(1000);
  }
  auto list = [&](size_t i, gint64 at) {
    start({names[i].c_str(), "llm", "a",
           i % 5 == 0 ? STAGE_PREFILL : STAGE_DECODE},
          at);
  };
  for (size_t i = 0; i < names.size(); i++)
    list(i, born[i]);
  size_t seen = 0;
  for (int round = 0; round < 1000; round++) {
    size_t i = random() % names.size();
    world.request(round % 2 == 0 ? "/stream/x" : "/resume/x");
    for (; seen < world.dispatches.size(); seen++) {
      SentDispatch sent = world.dispatches[seen];
      if (sent.cancelled)
        continue;
      if (sent.kind == DISPATCH_PREFILL)
        world.prefilled(sent.number, ("h" + std::to_string(seen)).c_str());
      else if (sent.kind == DISPATCH_RUN && random() % 2 == 0)
        world.outcome(sent.number, OUTCOME_STREAM_END);
    }
    list(i, born[i] += 10);
    list(i, born[i] - 5 - static_cast<gint64>(random() % 20)); /* late news */
    world.advance(10 * ms);
  }
  world.checks.clear();
  for (size_t k = 0; k < world.dispatches.size(); k++) {
    SentDispatch sent = world.dispatches[k];
    if (sent.kind == DISPATCH_RUN && !sent.cancelled)
      world.outcome(sent.number, OUTCOME_STREAM_END);
    else if (sent.kind == DISPATCH_PREFILL && !sent.cancelled)
      world.prefilled(sent.number, ("g" + std::to_string(k)).c_str());
  }
  world.advance(30 * second);
  EXPECT_EQ(router_open_requests(world.router), 0u);
  EXPECT_EQ(rows(), 0u);
}

/* the copy is from before it said so */
TEST_F(Lives, OneThatLeavesIsNotChosenAgainAfterAReturnOfTheStore) {
  world.era = 1;
  world.revision = 30;
  start(plain, 1000);
  world.revision = 40;
  world.endpoint(plain, false);
  world.era = 2;
  world.revision = 30;
  world.endpoint(plain, true);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.revision = 33; /* the same life, by another word of it */
  world.endpoint(plain, true);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.revision = 35;
  start(plain, 2000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

TEST_F(Lives, AnEarlierOneInARestoredStoreIsNoneUntilItIsWrittenAgain) {
  world.era = 1;
  world.revision = 40;
  start(plain, 2000);
  guint64 request = world.request("/unsafe/x");
  world.era = 2;
  world.revision = 30;
  start(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 0); /* the life goes on */
  world.revision = 31; /* its clock stands behind the former one's */
  start(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 1);
}

TEST_F(Lives, OneThatHadGoneIsLeftAloneAtFirstWhenARestoredStoreListsIt) {
  world.era = 1;
  world.revision = 30;
  start(plain, 1000);
  world.endpoint(plain, true, true);
  world.era = 2;
  start(plain, 1000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.now += 3 * second;
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

TEST_F(Lives,
       OneThatSaidItLeavesAndHadGoneIsNotUsedWhenARestoredStoreListsIt) {
  world.era = 1;
  world.revision = 30;
  start(plain, 1000);
  world.endpoint(plain, false);
  world.endpoint(plain, false, true);
  world.era = 2;
  start(plain, 1000);
  world.now += 3 * second;
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
}

/* as many as are remembered */
TEST_F(Lives, WhoSaidNothingDoesNotCrowdOutWhoSaidThatItLeaves) {
  world.era = 1;
  for (unsigned i = 0; i < 1100; i++) {
    std::string id = "gone-" + std::to_string(i);
    Place one = {id.c_str(), "app", "a", STAGE_NONE};
    world.revision = 100 + i;
    start(one, 1000);
    world.endpoint(one, true, true);
  }
  start(plain, 1000);
  EndpointSignals says = {};
  says.leaving = SIGNAL_GIVEN;
  router_endpoint_signals(world.router, plain.id,
                          incarnation_hash_of(plain.id, 1000), &says,
                          world.now);
  world.endpoint(plain, true, true);
  start(plain, 1000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
}

} // namespace
