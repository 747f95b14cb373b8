/*
** clock.c
** The monotonic clock of an instance
*/

#include <time.h>

#include "io/clock.h"

#define NS_PER_US 1000

static mp_Time read_clock(clockid_t clock) {
  struct timespec time;
  clock_gettime(clock, &time);
  return (mp_Time)time.tv_sec * MP_SEC + time.tv_nsec / NS_PER_US;
}

mp_Time clock_now(void) {
  return read_clock(CLOCK_BOOTTIME);
}

mp_Time clock_processor_time(void) {
  return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}
