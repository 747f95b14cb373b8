/*
** test_answer_time.cc
** Tests of how old an instance takes its lists for, when answers of the store
** and heartbeats of relays are read long after they were written
*/

#include <random>

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
** Heartbeats
** ===================================================================
*/

/* A member that knows all changes of its relay, whose clock is ahead. */
struct HeartbeatTimeTest : ::testing::Test {
  static constexpr mp_Addr relay = 101;
  RelayTiming times = {1800 * ms, 3 * second};
  gint64 now = 100 * second;
  gint64 ahead = 5000 * second;
  RelayGroup *group = relay_group_new(7, 0, &times, now);

  void SetUp() override {
    GArray *near = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    GArray *far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
    for (mp_Addr i = 0; i < 9; i++) {
      RelayMember member = {relay + i, 0, 1000};
      g_array_append_val(near, member);
    }
    relay_group_set_members(group, near, far, now);
    g_array_free(near, TRUE);
    g_array_free(far, TRUE);
    for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
      relay_group_advance_held(group, static_cast<StoreKind>(kind),
                               at_revision(100), now);
  }
  void TearDown() override {
    relay_group_free(group);
  }
  /* Reads a heartbeat that was sent then, in answer to a request of 'asked';
  ** 0: to none. */
  void receive(gint64 sent, gint64 age, gint64 asked = 0) {
    mp_RelayHeartbeat beat = {};
    for (auto &changed : beat.changed)
      changed = at_revision(100);
    beat.age_ms = static_cast<guint32>(age / ms);
    beat.sent_us = static_cast<guint64>(sent + ahead);
    beat.proof_ms = CONFIG_PROOF_NONE;
    beat.asked_us = static_cast<guint64>(asked);
    relay_group_receive_heartbeat(group, relay, &beat, now);
  }
  /* The relay answers a request that took 'there' to reach it. */
  void exchange(gint64 there = ms) {
    gint64 asked = now;
    now += there;
    gint64 sent = now;
    now += ms;
    receive(sent, second, asked);
  }
  gint64 age() const {
    return relay_group_news_age(group, now);
  }
  bool must_bound() const {
    mp_RelayHeartbeat beat = {};
    return relay_group_must_bound_clock(group, relay, &beat, now) != FALSE;
  }
};

/* Guards against a list that is taken for fresh because the heartbeat that
** confirms it lay unread while the member stood still. */
TEST_F(HeartbeatTimeTest, HeartbeatReadLateIsAsOldAsItsSending) {
  for (gint64 late : late_reads) {
    exchange();
    gint64 sent = now + 100 * ms;
    now = sent + late;
    receive(sent, 50 * ms);
    EXPECT_GE(age(), late + 50 * ms);
    EXPECT_LE(age(), late + 60 * ms);
  }
}

/* Guards against the same at a relay that tells others what it heard. */
TEST_F(HeartbeatTimeTest, RelayThatReadsAHeartbeatLateTellsItsAge) {
  exchange();
  gint64 sent = now + 100 * ms;
  now = sent + 400 * ms;
  receive(sent, 50 * ms);
  EXPECT_GE(relay_group_age(group, now), 450 * ms);
}

/* Guards against a first heartbeat that counts from its arrival. */
TEST_F(HeartbeatTimeTest, HeartbeatOfAnUnboundedClockMakesNoListYoung) {
  receive(now - ms, 50 * ms);
  EXPECT_TRUE(must_bound());
  EXPECT_GE(age(), G_MAXINT32);
}

/* Guards against members that take over because a clock is not bounded. */
TEST_F(HeartbeatTimeTest, RelayOfAnUnboundedClockIsFresh) {
  receive(now - ms, 50 * ms);
  EXPECT_EQ(relay_group_relays_before(group, now).fresh, 1u);
}

/* Guards against an address that another machine has got, whose clock is
** ahead of the one before. */
TEST_F(HeartbeatTimeTest, RelayOnAnotherMachineMakesNoListYoung) {
  exchange();
  ahead += 100 * second;
  now += 8 * second;
  receive(now - 8 * second, 50 * ms);
  EXPECT_GE(age(), 8 * second);
  EXPECT_TRUE(must_bound());
}

/* Guards against a list that seems old for long because a relay that stood
** still has answered late. */
TEST_F(HeartbeatTimeTest, BoundThatASlowAnswerGaveIsReplacedSoon) {
  exchange(3 * second);
  now += 1100 * ms;
  receive(now, 50 * ms);
  EXPECT_GE(age(), 50 * ms);
  EXPECT_TRUE(must_bound());
  exchange();
  receive(now, 50 * ms);
  EXPECT_LE(age(), 60 * ms);
  EXPECT_FALSE(must_bound());
  exchange(3 * second);
  receive(now, 50 * ms);
  EXPECT_LE(age(), 60 * ms);
}

/* }================================================================== */

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

/*
** Guards against lists that are taken for younger than the first change that
** they lack, when instances, half of them relays, stand still at random.
*/
TEST_P(AnswerTimeFleet, NoListIsYoungerThanTheFirstChangeItLacks) {
  std::mt19937 random(GetParam());
  std::vector<gint64> written(2, world->now); /* of each version, from 1 */
  for (auto &one : world->all)
    one->clock_ahead = static_cast<gint64>(random() % 9000) * second;
  world->run(second);
  for (int step = 0; step < 2000; step++) {
    if (random() % 40 == 0) {
      char text[16];
      g_snprintf(text, sizeof text, "%05d", static_cast<int>(written.size()));
      world->write(STORE_ENDPOINTS, "e1", text);
      written.push_back(world->now);
    }
    Instance &one = *world->all[random() % world->all.size()];
    bool is_member =
        relay_group_role(one.group, world->now) == RELAY_ROLE_MEMBER;
    if (random() % (is_member ? 50 : 4) == 0)
      one.still_until = std::max(
          one.still_until,
          world->now + static_cast<gint64>(200 + random() % 7800) * ms);
    world->run(20 * ms);
    for (auto &each : world->all) {
      if (each->still_until > world->now)
        continue;
      gint64 age = relay_group_news_age(each->group, world->now);
      size_t next = std::stoul(each->seen[STORE_ENDPOINTS]["e1"]) + 1;
      ASSERT_TRUE(next >= written.size() ||
                  world->now - age <= written[next] + 2 * ms)
          << "step " << step;
    }
  }
  world->run(20 * second);
  oldest = 0;
  calls_in_a_minute(0);
  EXPECT_LE(oldest, relay_news_age_max(&world->times));
}

INSTANTIATE_TEST_SUITE_P(InstanceCounts, AnswerTimeFleet,
                         ::testing::Values(8u, 9u, 88u, 300u));

/* }================================================================== */

} // namespace
