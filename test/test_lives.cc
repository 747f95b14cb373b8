/*
** test_lives.cc
** Tests of endpoints that restart under the same id: a later incarnation (the
** time from one start to the next) ends the earlier one, and late records of
** an earlier incarnation restore nothing
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "router_world.h"

using namespace routing;

namespace {

const Place decode = {"dec-1", "llm", "a", STAGE_DECODE};
const Place plain = {"app-1", "app", "a", STAGE_NONE};

struct EndpointIncarnationTest : ::testing::Test {
  World world;

  void SetUp() override {
    world.started_unix_ms = 1000;
    world.configure();
  }
  void list_incarnation(const Place &place, gint64 started_at) {
    world.started_unix_ms = started_at;
    world.endpoint(place);
  }
  unsigned digest_rows() {
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

TEST_F(EndpointIncarnationTest, LaterIncarnationEndsRunsOfTheEarlierOne) {
  list_incarnation(plain, 1000);
  guint64 request = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(request), 1u);
  list_incarnation(plain, 2000);
  EXPECT_TRUE(world.last().cancelled);
  EXPECT_EQ(world.end(request).refusals, 1);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
  EXPECT_EQ(digest_rows(), 0u); /* no dispatch or failure of the earlier one */
}

TEST_F(EndpointIncarnationTest,
       SafeRunOfAnEndedIncarnationIsRetriedElsewhere) {
  list_incarnation(plain, 1000);
  guint64 request = world.request("/safe/x");
  list_incarnation({"app-2", "app", "a", STAGE_NONE}, 1500);
  list_incarnation(plain, 2000);
  EXPECT_EQ(world.runs(request), 2u);
  EXPECT_EQ(world.last().endpoint, "app-2");
}

/* The endpoint is removed and a later incarnation listed during a run. */
TEST_F(EndpointIncarnationTest,
       FailedRunOfAnEarlierIncarnationIsNotCountedForTheLater) {
  mp_LoadDigest digest = {};
  list_incarnation(plain, 1000);
  guint64 first = world.request("/unsafe/x");
  guint64 dispatch = world.last().number;
  world.endpoint(plain, true, true);
  list_incarnation(plain, 2000);
  guint64 second = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(second), 1u);
  world.outcome(dispatch, OUTCOME_BROKEN);
  EXPECT_EQ(world.end(first).refusals, 1);
  router_load_digest(world.router, &digest, world.now);
  ASSERT_EQ(digest.n, 1u);
  EXPECT_EQ(digest.row[0].open, 1u);
  EXPECT_EQ(digest.row[0].failing, 0u);
}

TEST_F(EndpointIncarnationTest, LateRecordOfAnEarlierIncarnationIsIgnored) {
  list_incarnation(plain, 2000);
  guint64 request = world.request("/unsafe/x");
  world.started_unix_ms = 1000;
  world.endpoint(plain, false); /* it was draining then */
  EXPECT_EQ(world.end(request).ends(), 0);
  world.outcome(world.last().number, OUTCOME_ANSWER);
  EXPECT_EQ(world.end(request).answers, 1);
  guint64 next = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(next), 1u); /* it is still ready */
}

TEST_F(EndpointIncarnationTest, RecordWithoutAStartTimeKeepsTheIncarnation) {
  list_incarnation(plain, 1000);
  guint64 request = world.request("/unsafe/x");
  list_incarnation(plain, 0);
  list_incarnation(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 0);
}

TEST_F(EndpointIncarnationTest, DigestsDistinguishIncarnations) {
  list_incarnation(plain, 1000);
  world.request("/unsafe/x");
  guint32 earlier = hash_in_digest();
  list_incarnation(plain, 2000);
  world.request("/unsafe/x");
  EXPECT_NE(hash_in_digest(), earlier);
}

TEST_F(EndpointIncarnationTest, ReservationOfAnEndedIncarnationIsDropped) {
  list_incarnation({"pre-1", "llm", "a", STAGE_PREFILL}, 1000);
  list_incarnation(decode, 1000);
  guint64 request = world.request("/stream/x");
  guint64 prefill = world.last().number;
  list_incarnation(decode, 2000); /* its reservation is gone */
  EXPECT_EQ(digest_rows(), 1u);
  world.prefilled(prefill);
  EXPECT_EQ(world.runs(request), 1u);
  world.outcome(world.last().number, OUTCOME_STREAM_END);
  EXPECT_EQ(digest_rows(), 0u);
}

/*
** Guards against ordering incarnations by the endpoints' clocks. An endpoint
** whose clock is ahead at its first start, or a record by another writer with
** a start in the year 2255, would make each true record under that id outdated
** for as long as the id is listed.
*/
TEST_F(EndpointIncarnationTest, LaterRevisionWinsOverALaterEndpointClock) {
  world.revision = 5;
  list_incarnation(plain, 9000000000000);
  world.revision = 6;
  list_incarnation(plain, 1700000000000);
  guint64 request = world.request("/unsafe/x");
  EXPECT_EQ(world.runs(request), 1u);
  world.revision = 7;
  /* again a later incarnation, which ends the run */
  list_incarnation(plain, 1600000000000);
  EXPECT_EQ(world.end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
  world.revision = 4;
  world.started_unix_ms = 9000000000000;
  world.endpoint(plain, false); /* an older record, late */
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

/* A hundred endpoints restart while their clocks step ahead and back by 2 s,
** and one record says the year 2255. Each endpoint is used after its own
** record. */
TEST_F(EndpointIncarnationTest, EndpointsWithSteppingClocksAreUsed) {
  std::mt19937 random(9);
  constexpr gint64 step = 2000;
  constexpr gint64 far_future = 9000000000000;
  gint64 clock = 1700000000000;
  for (int round = 0; round < 10; round++) {
    for (int i = 0; i < 100; i++) {
      std::string id = "app-" + std::to_string(i);
      Place place = {id.c_str(), "app", "a", STAGE_NONE};
      gint64 clock_offset = step * (static_cast<gint64>(random() % 3) - 1);
      clock += 7;
      world.revision++;
      list_incarnation(place, i == 50 && round == 3 ? far_future
                                                    : clock + clock_offset);
      for (int k = 0; k < 100; k++) { /* all others are removed */
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
      /* restarts with its clock behind */
      list_incarnation(place, clock + clock_offset - step);
      ASSERT_EQ(world.end(next).refusal, REFUSAL_OUTCOME_UNKNOWN) << id;
      guint64 last = world.request("/unsafe/x");
      ASSERT_EQ(world.runs(last), 1u) << id;
      world.outcome(world.last().number, OUTCOME_ANSWER);
    }
  }
}

/* A hundred endpoints, ten incarnations each on average, with late records of
** earlier ones. */
TEST_F(EndpointIncarnationTest, LoadsReturnToZeroAfterManyRestarts) {
  std::mt19937 random(5);
  std::vector<std::string> names;
  std::vector<gint64> started_at;
  for (int i = 0; i < 100; i++) {
    names.push_back((i % 5 == 0 ? "pre-" : "dec-") + std::to_string(i));
    started_at.push_back(1000);
  }
  auto list_engine = [&](size_t i, gint64 at) {
    list_incarnation({names[i].c_str(), "llm", "a",
                      i % 5 == 0 ? STAGE_PREFILL : STAGE_DECODE},
                     at);
  };
  for (size_t i = 0; i < names.size(); i++)
    list_engine(i, started_at[i]);
  size_t handled = 0;
  for (int round = 0; round < 1000; round++) {
    size_t i = random() % names.size();
    world.request(round % 2 == 0 ? "/stream/x" : "/resume/x");
    for (; handled < world.dispatches.size(); handled++) {
      SentDispatch sent = world.dispatches[handled];
      if (sent.cancelled)
        continue;
      if (sent.kind == DISPATCH_PREFILL)
        world.prefilled(sent.number, ("h" + std::to_string(handled)).c_str());
      else if (sent.kind == DISPATCH_RUN && random() % 2 == 0)
        world.outcome(sent.number, OUTCOME_STREAM_END);
    }
    list_engine(i, started_at[i] += 10);
    /* a late record of an earlier incarnation */
    list_engine(i, started_at[i] - 5 - static_cast<gint64>(random() % 20));
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
  EXPECT_EQ(digest_rows(), 0u);
}

/* The store is restored from a copy of a time before the endpoint drained. */
TEST_F(EndpointIncarnationTest,
       LeavingEndpointIsNotUsedAgainAfterAStoreRestore) {
  world.era = 1;
  world.revision = 30;
  list_incarnation(plain, 1000);
  world.revision = 40;
  world.endpoint(plain, false);
  world.era = 2;
  world.revision = 30;
  world.endpoint(plain, true);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.revision = 33; /* the same one, written again */
  world.endpoint(plain, true);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.revision = 35;
  list_incarnation(plain, 2000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

TEST_F(EndpointIncarnationTest,
       EarlierIncarnationInARestoredStoreCountsOnceRewritten) {
  world.era = 1;
  world.revision = 40;
  list_incarnation(plain, 2000);
  guint64 request = world.request("/unsafe/x");
  world.era = 2;
  world.revision = 30;
  list_incarnation(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 0); /* it continues */
  world.revision = 31;                     /* rewritten; its clock is behind */
  list_incarnation(plain, 1000);
  EXPECT_EQ(world.end(request).ends(), 1);
}

TEST_F(EndpointIncarnationTest,
       RemovedEndpointInARestoredStoreIsUnusedAtFirst) {
  world.era = 1;
  world.revision = 30;
  list_incarnation(plain, 1000);
  world.endpoint(plain, true, true);
  world.era = 2;
  list_incarnation(plain, 1000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
  world.now += 3 * second;
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 1u);
}

TEST_F(EndpointIncarnationTest,
       LeavingRemovedEndpointInARestoredStoreIsUnused) {
  world.era = 1;
  world.revision = 30;
  list_incarnation(plain, 1000);
  world.endpoint(plain, false);
  world.endpoint(plain, false, true);
  world.era = 2;
  list_incarnation(plain, 1000);
  world.now += 3 * second;
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
}

/* Removed endpoints are remembered up to a bound; those that did not announce
** their leaving must not replace one that did. */
TEST_F(EndpointIncarnationTest, SilentRemovedEndpointsDoNotEvictALeavingOne) {
  world.era = 1;
  for (unsigned i = 0; i < 1100; i++) {
    std::string id = "gone-" + std::to_string(i);
    Place one = {id.c_str(), "app", "a", STAGE_NONE};
    world.revision = 100 + i;
    list_incarnation(one, 1000);
    world.endpoint(one, true, true);
  }
  list_incarnation(plain, 1000);
  EndpointSignals says = {};
  says.leaving = SIGNAL_GIVEN;
  router_endpoint_signals(world.router, plain.id,
                          incarnation_hash_of(plain.id, 1000), &says,
                          world.now);
  world.endpoint(plain, true, true);
  list_incarnation(plain, 1000);
  EXPECT_EQ(world.runs(world.request("/unsafe/x")), 0u);
}

} // namespace
