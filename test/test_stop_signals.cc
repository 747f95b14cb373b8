/*
** test_stop_signals.cc
** A planned stop is timed from the arrival of its signal
**
** An event loop that is late by a second would otherwise end the stop a second
** later, when the platform has killed the process: its callers get no answer.
*/

#include <gtest/gtest.h>

#include <signal.h>
#include <unistd.h>

#include <vector>

extern "C" {
#include "io/clock.h"
#include "io/stop_signals.h"
#include "mpconf.h"
}

namespace {

struct StopSignalsTest : ::testing::Test {
  struct event_base *base = event_base_new();
  std::vector<mp_Time> arrivals;
  StopSignals *signals = stop_signals_new(base, on_signal, this);

  ~StopSignalsTest() override {
    stop_signals_free(signals);
    event_base_free(base);
  }
  static void on_signal(void *data, mp_Time at) {
    static_cast<StopSignalsTest *>(data)->arrivals.push_back(at);
  }
};

TEST_F(StopSignalsTest, ALateLoopTellsWhenTheSignalArrived) {
  for (int number : {SIGTERM, SIGINT}) {
    arrivals.clear();
    mp_Time before = clock_now();
    raise(number);
    mp_Time after = clock_now();
    usleep(300000);
    event_base_loop(base, EVLOOP_NONBLOCK);
    ASSERT_EQ(arrivals.size(), 1u);
    EXPECT_GE(arrivals[0], before);
    EXPECT_LE(arrivals[0], after);
  }
}

/* Guards against a second signal that gets lost: with madderpier's own
** interface it stops the process at once. */
TEST_F(StopSignalsTest, EachSignalIsTold) {
  raise(SIGTERM);
  raise(SIGTERM);
  event_base_loop(base, EVLOOP_NONBLOCK);
  EXPECT_EQ(arrivals.size(), 2u);
}

/* Guards against a loop that goes on waiting when a signal comes. */
TEST_F(StopSignalsTest, WakesALoopThatWaits) {
  struct timeval time = {10, 0};
  ualarm(100000, 0);
  signal(SIGALRM, [](int) { raise(SIGTERM); });
  event_base_loopexit(base, &time);
  mp_Time from = clock_now();
  while (arrivals.empty() && clock_now() - from < 5 * MP_SEC)
    event_base_loop(base, EVLOOP_ONCE);
  signal(SIGALRM, SIG_DFL);
  EXPECT_EQ(arrivals.size(), 1u);
}

} // namespace
