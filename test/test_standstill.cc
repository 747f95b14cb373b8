/*
** test_standstill.cc
** When a process counts as having stood still
*/

#include <gtest/gtest.h>
#include <unistd.h>

#include <vector>

extern "C" {
#include "io/clock.h"
#include "io/standstill.h"
}

namespace {

constexpr gint64 START = 1000 * MP_SEC;

struct StandstillMarkTest : ::testing::Test {
  StandstillMark mark = {START, 0};
  gint64 now = START;
  gint64 used = 0;
  gboolean pass(gint64 time, gint64 processor_time) {
    now += time;
    used += processor_time;
    return standstill_mark(&mark, now, used);
  }
};

/* Guards against an instance that takes its rest for a standstill. */
TEST_F(StandstillMarkTest, AnIdleProcessDoesNotStandStill) {
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE(pass(STANDSTILL_INTERVAL + 5 * MP_MS, 50));
}

TEST_F(StandstillMarkTest, ATimeWithoutProcessorTimeIsAStandstillOnce) {
  EXPECT_TRUE(pass(600 * MP_MS, 300));
  EXPECT_FALSE(pass(MP_MS, 300));
  EXPECT_TRUE(pass(8 * MP_SEC, 300));
}

/* Guards against an instance that takes a long turn of its loop, such as the
** reading of a large configuration, for a standstill. */
TEST_F(StandstillMarkTest, ABusyProcessDoesNotStandStill) {
  EXPECT_FALSE(pass(2 * MP_SEC, 2 * MP_SEC));
}

/* Guards against an instance with little processor time that refuses service
** as after a standstill: it handles an event in each of its shares, or uses
** them all for one long event. */
TEST_F(StandstillMarkTest, AStarvedProcessDoesNotStandStill) {
  for (gint64 share : {3, 6, 12}) {
    for (int i = 0; i < 50; i++)
      EXPECT_FALSE(pass(100 * MP_MS, share * MP_MS));
    EXPECT_FALSE(pass(2 * MP_SEC, 20 * share * MP_MS));
  }
}

struct StandstillTest : ::testing::Test {
  struct Found {
    gint64 since;
    gint64 now;
    size_t handled; /* events of the socket before it */
  };
  struct event_base *base = event_base_new();
  Standstill *standstill = nullptr;
  std::vector<Found> found;
  size_t handled = 0;
  gint64 created_at = clock_now();
  gint64 slept_at = 0;
  int ends[2] = {-1, -1};
  struct event *socket = nullptr;

  StandstillTest() {
    event_base_priority_init(base, 3);
    EXPECT_EQ(pipe(ends), 0);
    socket = event_new(base, ends[0], EV_READ, on_socket, this);
    event_add(socket, nullptr);
    standstill = standstill_new(base, on_standstill, this);
  }
  ~StandstillTest() override {
    event_free(socket);
    standstill_free(standstill);
    event_base_free(base);
    close(ends[0]);
    close(ends[1]);
  }
  static void on_standstill(void *data, gint64 since, gint64 now) {
    auto *self = static_cast<StandstillTest *>(data);
    self->found.push_back({since, now, self->handled});
  }
  static void on_socket(evutil_socket_t, short, void *data) {
    static_cast<StandstillTest *>(data)->handled++;
  }
  static void on_sleep(evutil_socket_t, short, void *data) {
    auto *self = static_cast<StandstillTest *>(data);
    EXPECT_EQ(write(self->ends[1], "x", 1), 1);
    self->slept_at = clock_now();
    usleep(700 * MP_MS);
  }
  void run(gint64 time) {
    struct timeval wait = {time / MP_SEC, time % MP_SEC};
    event_base_loopexit(base, &wait);
    event_base_dispatch(base);
  }
};

/* Guards against input that is handled as if it had just arrived, because it
** was read before the standstill was known. */
TEST_F(StandstillTest, IsFoundBeforeTheInputOfThatTurnIsHandled) {
  struct timeval soon = {0, 50 * MP_MS};
  event_base_once(base, -1, EV_TIMEOUT, on_sleep, this, &soon);
  run(1200 * MP_MS);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(handled, 1u);
  EXPECT_EQ(found[0].handled, 0u);
  EXPECT_GE(found[0].now - found[0].since, 700 * MP_MS);
  EXPECT_GE(found[0].since, created_at);
  EXPECT_LE(found[0].since, slept_at);
  EXPECT_EQ(standstill_count(standstill), 1u);
  EXPECT_EQ(standstill_total(standstill), found[0].now - found[0].since);
}

TEST_F(StandstillTest, AnyEventFindsIt) {
  usleep(500 * MP_MS);
  standstill_check(standstill);
  EXPECT_EQ(found.size(), 1u);
  standstill_check(standstill);
  EXPECT_EQ(found.size(), 1u);
}

TEST_F(StandstillTest, AnIdleLoopFindsNone) {
  run(1100 * MP_MS);
  EXPECT_EQ(found.size(), 0u);
}

} // namespace
