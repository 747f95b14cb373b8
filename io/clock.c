/*
** clock.c
** The monotonic clock of an instance
*/

#include <time.h>

#include "io/clock.h"

#define NS_PER_US 1000

mp_Time clock_now(void) {
  struct timespec time;
  clock_gettime(CLOCK_BOOTTIME, &time);
  return (mp_Time)time.tv_sec * MP_SEC + time.tv_nsec / NS_PER_US;
}
