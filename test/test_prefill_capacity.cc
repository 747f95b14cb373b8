/*
** test_prefill_capacity.cc
** Tests that prompts go only to prefill engines that can take them soon
**
** Guards against the failure of a burst: prefill engines reject prompts, which
** uses the retry budget up, and then decode engines read all prompts, which
** makes the streams there pause.
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/prefill_capacity.h"
}

using namespace routing;

namespace {

/*
** The decision
*/

/* Returns how many prompts of this size an engine is given. */
guint prompts_allowed(guint slots, guint64 prompt, const PrefillLimit &limit) {
  PrefillLoad load = {slots, 0, 0};
  while (load.open < 100 && prefill_capacity_allows(&load, &limit)) {
    load.open++;
    load.tokens += prompt;
  }
  return load.open;
}

TEST(PrefillCapacity, QueueOfAnEngineIsHalfOfTheObjective) {
  guint64 ahead = prefill_capacity_ahead_max(3200, 33.3, 800 * ms);
  EXPECT_EQ(prompts_allowed(12, 3200, {ahead, TRUE}), 4u);
  ahead = prefill_capacity_ahead_max(3200, 33.3, 2000 * ms);
  EXPECT_EQ(prompts_allowed(12, 3200, {ahead, TRUE}), 10u);
}

TEST(PrefillCapacity, TakenSlotsGetNoPrompt) {
  EXPECT_EQ(prompts_allowed(12, 10, {G_MAXUINT64, TRUE}), 12u);
  EXPECT_EQ(prompts_allowed(1, 10, {G_MAXUINT64, TRUE}), 1u);
}

/* A rejection that the retry budget does not cover breaks its limit. */
TEST(PrefillCapacity, NoMoreThanHalfOfTheSlotsAreTakenWithoutRetries) {
  EXPECT_EQ(prompts_allowed(12, 10, {G_MAXUINT64, FALSE}), 7u);
  EXPECT_EQ(prompts_allowed(1, 10, {G_MAXUINT64, FALSE}), 1u);
}

TEST(PrefillCapacity, UnknownSlotsAreRiskedOnlyWithRetries) {
  EXPECT_EQ(prompts_allowed(0, 1000, {4000, TRUE}), 5u);
  EXPECT_EQ(prompts_allowed(0, 1000, {4000, FALSE}), 1u);
}

/* A pace that is too low, or no objective, must not stop all prompts. */
TEST(PrefillCapacity, EngineWithoutLoadTakesAnyPrompt) {
  guint64 ahead = prefill_capacity_ahead_max(1000000, 0.001, 0);
  EXPECT_EQ(ahead, 0u);
  EXPECT_EQ(prompts_allowed(12, 1000000, {ahead, FALSE}), 1u);
}

/* Instances that wait take turns by the number of places. Without the count
** all of them started at once when one place became free. */
TEST(PrefillCapacity, PlacesAreCountedUpToFourAtAnEngine) {
  PrefillLoad load = {12, 2, 2000};
  PrefillLimit limit = {4000, TRUE};
  EXPECT_EQ(prefill_capacity_count(&load, &limit, 1000), 3u);
  load.open = 11;
  EXPECT_EQ(prefill_capacity_count(&load, &limit, 1000), 1u);
  load.open = 12;
  EXPECT_EQ(prefill_capacity_count(&load, &limit, 1000), 0u);
  load = {0, 0, 0};
  EXPECT_EQ(prefill_capacity_count(&load, &limit, 0), 4u); /* it ends */
}

/*
** Requests
*/

constexpr guint32 prompt_tokens = 1000;

class PrefillStage : public testing::Test {
protected:
  /* slack, ratio: retry budget. */
  explicit PrefillStage(guint32 slack = 0, double ratio = 10.0,
                        bool overload_control = true)
      : world(slack, ratio, 0, "10.0.0.5:1", 0, "a", 7, overload_control) {
    world.configure();
    world.slots = 12;
    world.endpoint({"dec-1", "llm", "a", STAGE_DECODE});
    world.endpoint({"dec-2", "llm", "a", STAGE_DECODE});
  }

  void add_prefill(const char *id, guint32 slots) {
    world.slots = slots;
    world.endpoint({id, "llm", "a", STAGE_PREFILL});
  }

  /* Starts a stream at each decode engine, so that neither is idle. */
  void occupy_decode() {
    for (int i = 0; i < 2; i++) {
      world.request("/stream/", 10000, 100);
      ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
      world.advance(10 * ms);
      world.prefilled(world.last().number);
      ASSERT_EQ(world.last().kind, DISPATCH_RUN);
      world.outcome(world.last().number, OUTCOME_STREAM_HEAD);
    }
    ASSERT_NE(world.dispatches[1].endpoint, world.dispatches[3].endpoint);
    stream = world.last().number;
    world.dispatches.clear();
  }

  std::vector<guint64> send(unsigned count) {
    std::vector<guint64> requests;
    for (unsigned i = 0; i < count; i++)
      requests.push_back(world.request("/stream/", 10000, prompt_tokens));
    return requests;
  }

  unsigned count(DispatchKind kind) const {
    return static_cast<unsigned>(std::count_if(
        world.dispatches.begin(), world.dispatches.end(),
        [=](const SentDispatch &sent) { return sent.kind == kind; }));
  }

  unsigned runs_without_handle() const {
    return static_cast<unsigned>(std::count_if(
        world.dispatches.begin(), world.dispatches.end(),
        [](const SentDispatch &sent) {
          return sent.kind == DISPATCH_RUN && sent.handle.empty();
        }));
  }

  /* Returns the requests whose prompts were sent, in that order. */
  std::vector<guint64> prompts() const {
    std::vector<guint64> requests;
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind == DISPATCH_PREFILL)
        requests.push_back(sent.request);
    }
    return requests;
  }

  /* Ends the first prefill that is open, after the time that it takes. */
  void read_one_prompt() {
    world.advance(80 * ms);
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind == DISPATCH_PREFILL && !read[sent.number]) {
        read[sent.number] = true;
        world.prefilled(sent.number);
        return;
      }
    }
  }

  World world;
  guint64 stream = 0; /* the open run of occupy_decode() */
  std::map<guint64, bool> read;
};

TEST_F(PrefillStage, BurstWaitsInOrderForTheSlotsOfThePrefillEngine) {
  add_prefill("pre-1", 3);
  occupy_decode();
  std::vector<guint64> requests = send(6);
  EXPECT_EQ(count(DISPATCH_PREFILL), 3u);
  for (unsigned read_count = 1; read_count <= 6; read_count++) {
    read_one_prompt();
    EXPECT_LE(count(DISPATCH_PREFILL), 3 + read_count);
  }
  EXPECT_EQ(prompts(), requests);
  EXPECT_EQ(count(DISPATCH_RUN), 6u);
  EXPECT_EQ(runs_without_handle(), 0u);
}

/* A prompt that waits in the engine's queue cannot be overtaken any more. */
TEST_F(PrefillStage, BurstWaitsInTheRouterWhenTheEngineHasSlotsEnough) {
  add_prefill("pre-1", 12);
  occupy_decode();
  send(8);
  EXPECT_GE(count(DISPATCH_PREFILL), 3u);
  EXPECT_LE(count(DISPATCH_PREFILL), 6u);
  EXPECT_EQ(count(DISPATCH_RUN), 0u);
  EXPECT_NE(world.log.back().find("8007"), std::string::npos);
  EXPECT_NE(world.log.back().find(" short=prefill"), std::string::npos);
}

/* The log must not blame prefill engines for a shortage of memory. */
TEST_F(PrefillStage, LogNamesDecodeWhenMemoryIsShort) {
  for (const char *id : {"pre-1", "pre-2", "pre-3", "pre-4", "pre-5"})
    add_prefill(id, 12);
  occupy_decode();
  send(20);
  EXPECT_LT(count(DISPATCH_PREFILL), 20u);
  EXPECT_NE(world.log.back().find(" short=decode"), std::string::npos);
}

/* Slots that are not stated limit nothing; the objective still does. */
TEST_F(PrefillStage, SlotsThatAreNotStatedStopNoPrompts) {
  add_prefill("pre-1", 0);
  occupy_decode();
  send(8);
  EXPECT_GE(count(DISPATCH_PREFILL), 3u);
  EXPECT_LE(count(DISPATCH_PREFILL), 6u);
  EXPECT_EQ(count(DISPATCH_RUN), 0u);
}

TEST_F(PrefillStage, IdleDecodeEngineReadsAPromptThatWouldWait) {
  add_prefill("pre-1", 1);
  send(2);
  EXPECT_EQ(count(DISPATCH_PREFILL), 1u);
  EXPECT_EQ(runs_without_handle(), 1u);
  EXPECT_NE(world.last().endpoint, "pre-1");
}

TEST_F(PrefillStage, DecodeEnginesReadPromptsWhenNoPrefillEngineIsListed) {
  send(2);
  EXPECT_EQ(runs_without_handle(), 2u);
}

TEST_F(PrefillStage, DecodeEnginesReadPromptsWhenAllPrefillEnginesAreGone) {
  add_prefill("pre-1", 12);
  add_prefill("pre-2", 12);
  occupy_decode();
  guint64 request = send(1)[0];
  for (int i = 0; i < 2; i++) {
    ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
    world.outcome(world.last().number, OUTCOME_UNREACHABLE);
  }
  EXPECT_EQ(world.runs(request), 1u);
  send(1);
  EXPECT_EQ(runs_without_handle(), 2u);
}

/* The engine is full for reasons that are not known here. Before, it counted
** as unreachable, and decode engines read the prompts. */
TEST_F(PrefillStage, RejectedPromptWaitsForThePrefillEngine) {
  add_prefill("pre-1", 12);
  occupy_decode();
  guint64 request = send(1)[0];
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
  EXPECT_EQ(count(DISPATCH_PREFILL), 1u);
  world.advance(300 * ms);
  world.piece(stream, "e1"); /* any event starts the requests that wait */
  ASSERT_EQ(count(DISPATCH_PREFILL), 2u);
  EXPECT_EQ(world.last().request, request);
  EXPECT_EQ(count(DISPATCH_RUN), 0u);
}

TEST_F(PrefillStage, PromptLargerThanAnyEngineStopsNoOthers) {
  add_prefill("pre-1", 12);
  occupy_decode();
  guint64 large = world.request("/stream/", 10000, 50000);
  guint64 small = send(1)[0];
  ASSERT_EQ(count(DISPATCH_PREFILL), 1u);
  EXPECT_EQ(world.last().request, small);
  world.advance(4 * second);
  EXPECT_EQ(world.end(large).refusals, 1);
}

class PrefillStageWithoutRetries : public PrefillStage {
protected:
  explicit PrefillStageWithoutRetries(bool overload_control = true)
      : PrefillStage(0, 0, overload_control) {
    /* the loads of some instances are known late */
    router_set_instances(world.router, 10, 5);
    add_prefill("pre-1", 4);
    occupy_decode();
    world.advance(11 * second); /* the first window of the budget is over */
  }
};

TEST_F(PrefillStageWithoutRetries, PromptsGoToHalfOfTheSlotsAndThenWait) {
  send(5);
  EXPECT_EQ(count(DISPATCH_PREFILL), 3u);
  EXPECT_EQ(count(DISPATCH_RUN), 0u);
}

/* An engine with free slots that rejects prompts, as one does that is about to
** change its stage, must not get more of them than the retry budget covers. */
TEST_F(PrefillStageWithoutRetries, EngineThatRejectsAPromptIsLeftAlone) {
  guint64 request = send(1)[0];
  ASSERT_EQ(world.last().kind, DISPATCH_PREFILL);
  world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
  EXPECT_EQ(world.end(request).refusals, 1);
  world.advance(400 * ms);
  send(1);
  EXPECT_EQ(count(DISPATCH_PREFILL), 1u);
}

class WithoutOverloadControl : public PrefillStageWithoutRetries {
protected:
  WithoutOverloadControl() : PrefillStageWithoutRetries(false) {
  }
};

TEST_F(WithoutOverloadControl, DecodeEnginesReadPromptsWithoutRetries) {
  send(2);
  EXPECT_EQ(runs_without_handle(), 2u);
}

TEST(WithoutOverloadControlAndLimits, AllPromptsOfABurstAreSentAtOnce) {
  World world;
  world.configure();
  world.slots = 3;
  world.endpoint({"pre-1", "llm", "a", STAGE_PREFILL});
  world.endpoint({"dec-1", "llm", "a", STAGE_DECODE});
  world.endpoint({"dec-2", "llm", "a", STAGE_DECODE});
  for (int i = 0; i < 8; i++)
    world.request("/stream/", 10000, prompt_tokens);
  EXPECT_EQ(world.dispatches.size(), 8u);
  for (const SentDispatch &sent : world.dispatches)
    EXPECT_EQ(sent.kind, DISPATCH_PREFILL);
}

} // namespace
