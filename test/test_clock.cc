/*
** test_clock.cc
** The clock of an instance counts the time that its machine was suspended
**
** A machine that is suspended for seconds goes on with connections, lists and
** a lease that are so much older than before; a clock that does not count the
** time calls them fresh.
*/

#include <gtest/gtest.h>

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

extern "C" {
#include "io/clock.h"
}

namespace {
time_t suspended_s = 0;
}

/* in the place of the C library's: the boot clock has been ahead so long */
extern "C" int clock_gettime(clockid_t id, struct timespec *time) {
  int code = static_cast<int>(syscall(SYS_clock_gettime, id, time));
  if (id == CLOCK_BOOTTIME)
    time->tv_sec += suspended_s;
  return code;
}

namespace {

TEST(Clock, CountsTheTimeSuspended) {
  mp_Time before = clock_now();
  suspended_s = 8;
  mp_Time after = clock_now();
  suspended_s = 0;
  EXPECT_GE(after - before, 8 * MP_SEC);
  EXPECT_LT(after - before, 9 * MP_SEC);
}

TEST(Clock, GoesOnFromOneLookToTheNext) {
  mp_Time last = clock_now();
  for (int i = 0; i < 1000; i++) {
    mp_Time now = clock_now();
    EXPECT_GE(now, last);
    last = now;
  }
}

} // namespace
