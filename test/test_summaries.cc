/*
** test_summaries.cc
** Loads and retry totals between data centres, in summaries of relays
*/

#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <vector>

#include "router_world.h"

using namespace routing;

namespace {

constexpr mp_Addr relay_one = 0x0a01000000010001;
constexpr mp_Addr relay_two = 0x0a01000000020001;

guint32 hash_of(const char *endpoint) {
  return incarnation_hash_of(endpoint);
}

mp_LoadSummary full_engines(mp_Addr relay, guint32 tokens) {
  mp_LoadSummary summary = {};
  summary.relay = relay;
  summary.zone = 7;
  summary.instances = 12;
  for (const char *engine : {"dec-1", "dec-2"}) {
    mp_LoadRow &row = summary.loads.row[summary.loads.n++];
    row.endpoint = hash_of(engine);
    row.tokens = tokens;
    row.open = tokens > 0;
  }
  return summary;
}

struct Summaries : ::testing::Test {
  World world;

  void SetUp() override {
    world.add_default_endpoints();
  }
  bool has_room() {
    size_t before = world.dispatches.size();
    guint64 request = world.request("/stream/x", 10000, 9000);
    bool room = world.dispatches.size() > before;
    world.hangup(request);
    return room;
  }
};

TEST_F(Summaries, WhatAnotherDataCentreHasOpenTakesRoom) {
  mp_LoadSummary full = full_engines(relay_one, 9000);
  mp_LoadSummary empty = full_engines(relay_one, 0);
  router_receive_summary(world.router, 100, &full, world.now);
  EXPECT_FALSE(has_room());
  router_receive_summary(world.router, 99, &empty, world.now); /* overtaken */
  EXPECT_FALSE(has_room());
  router_receive_summary(world.router, 101, &empty, world.now);
  EXPECT_TRUE(has_room());
}

/* one engine here, loaded by so much, and an empty one elsewhere */
std::string chosen(unsigned instances, unsigned near, guint32 tokens) {
  World one;
  mp_LoadDigest digest = {};
  one.configure();
  one.endpoint({"here", "llm", "a", STAGE_DECODE});
  one.endpoint({"there", "llm", "b", STAGE_DECODE});
  router_set_instances(one.router, instances, near);
  digest.row[digest.n++] = {hash_of("here"), tokens, 1, 0};
  router_peer_load(one.router, 0x0a00000000010001, 1, &digest, one.now);
  one.request("/stream/x");
  return one.last().endpoint;
}

TEST_F(Summaries, WithLoadsElsewhereKnownLateRequestsStayWhileThereIsRoom) {
  EXPECT_EQ(chosen(9, 9, 2000), "here");
  EXPECT_EQ(chosen(9, 9, 5000), "there"); /* balanced */
  EXPECT_EQ(chosen(60, 12, 5000), "here");
  EXPECT_EQ(chosen(60, 12, 9500), "there"); /* no room for 1,000 more here */
}

TEST_F(Summaries, OfOneDataCentreTheRelayHeardLastCounts) {
  mp_LoadSummary full = full_engines(relay_one, 9000);
  mp_LoadSummary empty = full_engines(relay_two, 0);
  router_receive_summary(world.router, 100, &full, world.now);
  router_receive_summary(world.router, 5, &empty, world.now);
  EXPECT_TRUE(has_room());
}

TEST_F(Summaries, ASilentDataCentreHasNothingOpen) {
  mp_LoadSummary full = full_engines(relay_one, 9000);
  router_receive_summary(world.router, 100, &full, world.now);
  world.now += 2 * second;
  router_tick(world.router, world.now);
  EXPECT_TRUE(has_room());
}

TEST_F(Summaries, HoldTheInstancesOfTheDataCentreAndNoOthers) {
  mp_LoadSummary far = full_engines(relay_one, 3000);
  mp_LoadDigest near = full_engines(0, 1000).loads;
  mp_LoadSummary out;
  near.waiting = 2;
  near.in_time = 1;
  router_receive_summary(world.router, 100, &far, world.now);
  router_peer_load(world.router, 0x0a00000000010001, 4, &near, world.now);
  router_peer_load(world.router, 0x0a00000000020001, 4, &near, world.now);
  router_load_summary(world.router, &out, world.now);
  EXPECT_EQ(out.instances, 3u);
  EXPECT_EQ(out.loads.waiting, 4u);
  EXPECT_EQ(out.loads.in_time, 2u);
  ASSERT_EQ(out.loads.n, 2u);
  EXPECT_EQ(out.loads.row[0].tokens, 2000u);
  EXPECT_EQ(out.loads.row[0].open, 2u);
}

TEST_F(Summaries, MoreRowsThanFitAreLeftOut) {
  mp_LoadSummary out;
  for (guint32 peer = 0; peer < 4; peer++) {
    mp_LoadDigest digest = {};
    for (digest.n = 0; digest.n < MP_LOAD_DIGEST_ROWS; digest.n++)
      digest.row[digest.n] = {1000 * peer + digest.n, 500, 1, 0};
    router_peer_load(world.router, 0x0a00000000010001 + peer, 1, &digest,
                     world.now);
  }
  router_load_summary(world.router, &out, world.now);
  EXPECT_EQ(out.loads.n, unsigned(MP_LOAD_DIGEST_ROWS));
}

/* data centres whose instances hear each other each 100 ms, and of the other
** data centres a summary each 200 ms */
struct Centres {
  unsigned zones, each;
  std::vector<std::unique_ptr<World>> all; /* one data centre after another */
  guint32 sequence = 0;

  Centres(unsigned zones_, unsigned each_, guint32 slack, double ratio)
      : zones(zones_), each(each_) {
    for (unsigned i = 0; i < zones * each; i++) {
      all.push_back(std::make_unique<World>(slack, ratio));
      all.back()->configure();
      all.back()->endpoint({"app-1", "app", "a", STAGE_NONE});
      all.back()->endpoint({"app-2", "app", "a", STAGE_NONE});
      router_set_instances(all.back()->router, zones * each, each);
    }
  }
  void exchange_near() {
    mp_LoadDigest digest;
    sequence++;
    for (unsigned from = 0; from < all.size(); from++) {
      router_load_digest(all[from]->router, &digest, all[from]->now);
      unsigned first = from / each * each;
      for (unsigned to = first; to < first + each; to++) {
        if (to != from)
          router_peer_load(all[to]->router, 0x0a00000000010001 + from,
                           sequence, &digest, all[to]->now);
      }
    }
  }
  void exchange_far() {
    for (unsigned zone = 0; zone < zones; zone++) {
      World &relay = *all[zone * each];
      mp_LoadSummary summary;
      router_load_summary(relay.router, &summary, relay.now);
      summary.relay = 0x0a00000000010001 + zone * each;
      summary.zone = zone + 1;
      for (unsigned to = 0; to < all.size(); to++) {
        if (to / each != zone)
          router_receive_summary(all[to]->router, sequence, &summary,
                                 all[to]->now);
      }
    }
  }
  void step() {
    exchange_near();
    if (sequence % 2 == 0)
      exchange_far();
    for (auto &world : all)
      world->advance(100 * ms);
  }
  unsigned rejected(World &world) {
    guint64 request = world.request("/unsafe/x");
    while (world.end(request).ends() == 0)
      world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
    return world.runs(request) - 1;
  }
};

struct Shared : ::testing::TestWithParam<unsigned> {};

/* every instance fails every request from the same moment on */
TEST_P(Shared, TheRetryBudgetHoldsOverAllDataCentres) {
  unsigned slack = GetParam();
  Centres five(5, GetParam() / 5, slack, 0.2);
  std::vector<unsigned> extras;
  std::vector<unsigned> requests;
  unsigned all_extras = 0;
  for (int i = 0; i < 180; i++) {
    unsigned now = 0;
    for (auto &world : five.all) {
      if (i > 120)
        now += five.rejected(*world);
      else
        world->request("/unsafe/x");
    }
    extras.push_back(now);
    all_extras += now;
    requests.push_back(static_cast<unsigned>(five.all.size()));
    five.step();
  }
  for (size_t end = 100; end <= extras.size(); end++) {
    unsigned sum = 0;
    unsigned of = 0;
    for (size_t i = end - 100; i < end; i++) { /* 10 s */
      sum += extras[i];
      of += requests[i];
    }
    EXPECT_LE(sum, 0.2 * of + slack) << "window ending at " << end;
  }
  /* and what is allowed is used: three tenths within six seconds */
  EXPECT_GT(all_extras, (0.2 * 100 * GetParam() + slack) * 0.3);
}

INSTANTIATE_TEST_SUITE_P(Instances, Shared, ::testing::Values(60, 300));

mp_LoadSummary totals(mp_Addr relay, guint32 requests, guint32 extras) {
  mp_LoadSummary summary = {};
  World other;
  other.add_default_endpoints();
  other.request("/unsafe/x");
  router_load_digest(other.router, &summary.loads, other.now);
  EXPECT_EQ(summary.loads.retry_count, 1u);
  summary.relay = relay;
  summary.zone = 7;
  summary.instances = 1;
  summary.loads.retry[0].requests = requests;
  summary.loads.retry[0].extras = extras;
  return summary;
}

/* 120 of slack, of which 54 are used */
struct Totals : ::testing::Test {
  World world{120, 0.0};
  guint32 sequence = 0;

  void SetUp() override {
    world.add_default_endpoints();
    router_set_instances(world.router, 2, 1);
    world.request("/unsafe/x"); /* the service is known */
    world.now += 20 * second;
  }
  void tell(mp_Addr relay, guint32 extras) {
    mp_LoadSummary summary = totals(relay, 1000, extras);
    router_receive_summary(world.router, ++sequence, &summary, world.now);
  }
  bool retries() {
    guint64 request = world.request("/unsafe/x");
    world.outcome(world.last().number, OUTCOME_NOT_RUN, 503);
    return world.runs(request) > 1;
  }
};

TEST_F(Totals, WhatADataCentreSpendsIsSpent) {
  tell(relay_one, 500); /* where counting begins */
  EXPECT_TRUE(retries());
  tell(relay_one, 580);
  EXPECT_FALSE(retries());
}

/* the kind of the first dispatch of a request for an engine */
DispatchKind first_dispatch(unsigned near, gint64 age) {
  World one(0, 0.0); /* no extra arrival is left */
  one.add_default_endpoints();
  router_set_instances(one.router, 60, near);
  one.now += age;
  one.request("/stream/x");
  return one.last().kind;
}

TEST_F(Totals, WithTheBudgetUsedUpNoPromptRisksToBeTurnedAway) {
  EXPECT_EQ(first_dispatch(12, 20 * second), DISPATCH_RUN);
  EXPECT_EQ(first_dispatch(60, 20 * second), DISPATCH_PREFILL);
  EXPECT_EQ(first_dispatch(12, 1 * second), DISPATCH_PREFILL); /* young */
}

TEST_F(Summaries, EndpointsThatBeginToFailChangeTheSet) {
  mp_LoadDigest digest = {};
  guint64 none = router_urgent_set(world.router, world.now);
  digest.row[digest.n++] = {hash_of("dec-1"), 0, 0, 30};
  router_peer_load(world.router, 0x0a00000000010001, 1, &digest, world.now);
  EXPECT_EQ(router_urgent_set(world.router, world.now), none);
  digest.row[0].failing = 100;
  router_peer_load(world.router, 0x0a00000000010001, 2, &digest, world.now);
  guint64 one = router_urgent_set(world.router, world.now);
  EXPECT_NE(one, none);
  digest.row[0].endpoint = hash_of("dec-2");
  router_peer_load(world.router, 0x0a00000000010001, 3, &digest, world.now);
  EXPECT_NE(router_urgent_set(world.router, world.now), one);
}

TEST_F(Totals, AnotherRelaysFirstTotalsAreNoSpending) {
  tell(relay_one, 500);
  tell(relay_two, 900);
  EXPECT_TRUE(retries());
  tell(relay_two, 980);
  EXPECT_FALSE(retries());
}

TEST_F(Totals, ARelayThatBeginsAnewSpendsNothing) {
  tell(relay_one, 500);
  tell(relay_one, 90); /* more than there is, if it counted */
  EXPECT_TRUE(retries());
}

TEST_F(Totals, ASumTellsWhatWasHeardNearby) {
  mp_LoadDigest digest = totals(0, 50, 6).loads;
  mp_LoadSummary out;
  router_peer_load(world.router, 0x0a00000000010001, 1, &digest, world.now);
  digest.retry[0].extras = 9;
  router_peer_load(world.router, 0x0a00000000010001, 2, &digest, world.now);
  tell(relay_one, 500);
  tell(relay_one, 540); /* another data centre's is not passed on */
  router_load_summary(world.router, &out, world.now);
  ASSERT_EQ(out.loads.retry_count, 1u);
  EXPECT_EQ(out.loads.retry[0].extras, 9u);
  EXPECT_EQ(out.loads.retry[0].requests, 51u);
}

} // namespace
