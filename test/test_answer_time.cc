/*
** test_answer_time.cc
** Tests of how old an instance takes its lists for, when answers of the store
** are read long after they were written
*/

#include <gtest/gtest.h>

#include "relay_world.h"

using namespace relaying;

namespace {

/* How much later than usual an answer is read. */
constexpr gint64 late_reads[] = {200 * ms, second, 8 * second};

/* An instance without relays that follows the store for itself. */
struct AnswerTimeTest : ::testing::Test {
  RelayTiming times = {1800 * ms, 3 * second};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  NewsSource sources[2] = {};
  gint64 now = 10 * second;
  gint64 revision = 100;

  void SetUp() override {
    FollowerHost host = {nullptr,
                         [](void *, StoreKind, const StoreObject *) {},
                         [](void *, StoreKind, GHashTable *) {},
                         [](void *, StoreKind) {}, [](void *, StoreKind) {}};
    NewsSourceHost none = {nullptr,
                           [](void *, mp_Addr) -> mp_Addr { return 0; }};
    relay_group_skip_start_wait(group);
    for (int kind = 0; kind < 2; kind++) {
      follower_init(&sources[kind].follower, static_cast<StoreKind>(kind),
                    times.watch_wait, 400 * ms, &host);
      news_source_init(&sources[kind], group, &none, nullptr, 0);
    }
    for (auto &source : sources)
      EXPECT_EQ(next(source).call.operation, STORE_LIST);
    reply_to_all(0);
  }
  void TearDown() override {
    for (auto &source : sources)
      follower_clear(&source.follower);
    relay_group_free(group);
  }
  NewsAction next(NewsSource &source) {
    NewsAction action;
    news_source_next(&source, now, &action);
    return action;
  }
  /* Returns the wait of the watches, which are begun for both kinds. */
  gint64 watch_both() {
    gint64 wait = 0;
    for (auto &source : sources) {
      NewsAction action = next(source);
      EXPECT_EQ(action.step, NEWS_ASK_STORE);
      EXPECT_EQ(action.call.operation, STORE_WATCH);
      wait = action.call.wait;
    }
    return wait;
  }
  void reply_to_all(int changes) {
    for (auto &source : sources) {
      StoreReply reply = {STORE_OK, store_objects_new(),
                          FALSE,    store_position(0, revision + changes),
                          FALSE,    0,
                          FALSE,    FALSE};
      for (int i = 0; i < changes; i++) {
        StoreObject object = {g_strdup("one"),
                              store_position(0, revision + 1 + i), FALSE,
                              g_strdup("x"), nullptr};
        g_array_append_val(reply.objects, object);
      }
      news_source_reply(&source, &reply, now);
      store_reply_clear(&reply);
    }
    revision += changes;
  }
};

/* Guards against a list that is taken for fresh because the answer that
** confirms it lay unread while the process stood still. */
TEST_F(AnswerTimeTest, EmptyWatchReadLateIsAsOldAsTheEndOfItsWait) {
  for (gint64 late : late_reads) {
    now += watch_both() + late;
    reply_to_all(0);
    EXPECT_GE(relay_group_news_age(group, now), late);
    EXPECT_GE(relay_group_age(group, now), late);
  }
}

/* Guards against the same for a list to which a watch has added changes. */
TEST_F(AnswerTimeTest, WatchWithChangesReadLateIsAsOldAsItsRequest) {
  for (gint64 late : late_reads) {
    now += 400 * ms; /* the pause after changes */
    watch_both();
    now += late;
    reply_to_all(1);
    EXPECT_EQ(relay_group_news_age(group, now), late);
  }
}

/* Guards against a watch that the store cut short and that counts as whole. */
TEST_F(AnswerTimeTest, EmptyWatchThatEndedEarlyIsAsOldAsItsRequest) {
  watch_both();
  now += 700 * ms;
  reply_to_all(0);
  EXPECT_EQ(relay_group_news_age(group, now), 700 * ms);
}

/* Guards against the same if its answer is read later than any that the store
** holds back for the whole wait. */
TEST_F(AnswerTimeTest, EmptyWatchReadAfterItsTimeoutIsAsOldAsItsRequest) {
  gint64 wait = watch_both();
  now += wait + second;
  reply_to_all(0);
  EXPECT_EQ(relay_group_news_age(group, now), wait + second);
}

/* Guards against an instance whose list gets too old in quiet times, because
** the watch after a late change waits as long as any other. */
TEST_F(AnswerTimeTest, ListStaysYoungWhenAChangeEndsALongWatch) {
  for (gint64 after = 100 * ms; after < times.watch_wait; after += 100 * ms) {
    watch_both();
    now += after;
    reply_to_all(1);
    NewsAction action = next(sources[0]);
    if (action.step == NEWS_WAIT) {
      now = action.at;
      action = next(sources[0]);
    }
    next(sources[1]);
    ASSERT_EQ(action.step, NEWS_ASK_STORE);
    now += action.call.wait + 100 * ms; /* a slow answer */
    EXPECT_LE(relay_group_news_age(group, now), relay_news_age_max(&times))
        << after / ms;
    reply_to_all(0);
    EXPECT_LE(relay_group_news_age(group, now), 100 * ms) << after / ms;
  }
}

/* Guards against calls that the store gets only because ages are counted from
** an earlier time. */
TEST_F(AnswerTimeTest, WatchesWaitAsLongAsBeforeWhileNothingChanges) {
  for (int i = 0; i < 20; i++) {
    EXPECT_EQ(watch_both(), times.watch_wait);
    now += times.watch_wait + 20 * ms;
    reply_to_all(0);
  }
}

/*
** {==================================================================
** Many instances
** ===================================================================
*/

struct AnswerTimeFleet : ::testing::TestWithParam<unsigned> {
  /* eight instances in one data centre have relays, too */
  unsigned zones = GetParam() == 8 ? 1 : GetParam() < 30 ? 3 : 5;
  std::unique_ptr<World> world;
  gint64 oldest = 0; /* largest age of the list at any instance */

  void SetUp() override {
    world = std::make_unique<World>(zones, GetParam(), 0.01);
    world->times = {1800 * ms, 3 * second};
    world->write(STORE_CONFIGURATION, "main", "1");
    world->write(STORE_ENDPOINTS, "e1", "00001");
    world->start_all();
    world->run(10 * second);
  }
  /* Returns the calls to the store within a minute, 'interval' between two
  ** changes of an endpoint's entry; 0: none changes. */
  guint64 calls_in_a_minute(gint64 interval) {
    guint64 before = world->store_calls;
    gint64 next_change = world->now;
    int version = 2;
    for (gint64 end = world->now + 60 * second; world->now < end;) {
      if (interval > 0 && world->now >= next_change) {
        char text[16];
        g_snprintf(text, sizeof text, "%05d", version++);
        world->write(STORE_ENDPOINTS, "e1", text);
        next_change += interval;
      }
      world->run(10 * ms);
      for (auto &one : world->all)
        oldest =
            std::max(oldest, relay_group_news_age(one->group, world->now));
    }
    return world->store_calls - before;
  }
};

/* Guards against instances that vouch for nothing, or take over from sound
** relays, because their lists seem old while changes are rare or frequent. */
TEST_P(AnswerTimeFleet, ListsStayYoung) {
  for (gint64 interval :
       {0 * ms, 150 * ms, 300 * ms, 1000 * ms, 1700 * ms, 2500 * ms}) {
    unsigned relays = world->instances_with_role(RELAY_ROLE_RELAY);
    oldest = 0;
    calls_in_a_minute(interval);
    EXPECT_LE(oldest, relay_news_age_max(&world->times)) << interval / ms;
    EXPECT_EQ(world->instances_with_role(RELAY_ROLE_RELAY), relays)
        << interval / ms;
  }
}

/* Guards against calls that an earlier time of the lists costs. */
TEST_P(AnswerTimeFleet, StoreGetsNoMoreCalls) {
  unsigned members = world->instances_with_role(RELAY_ROLE_MEMBER);
  unsigned followers = GetParam() - members;
  /* two kinds with watches of 1.8 s, and two with watches of 12 s */
  EXPECT_LE(calls_in_a_minute(0), followers * 78);
  /* each change at most each 0.3 s, and the three other kinds */
  EXPECT_LE(calls_in_a_minute(150 * ms), followers * 243);
}

INSTANTIATE_TEST_SUITE_P(InstanceCounts, AnswerTimeFleet,
                         ::testing::Values(8u, 9u, 88u, 300u));

/* }================================================================== */

} // namespace
