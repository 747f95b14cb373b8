/*
** retry.c
** The retry budget
*/

#include "retry.h"

#define BUDGET_MOST 20.0

static void refill(mp_State *M) {
  double secs = (double)(M->now - M->retryat) / MP_SEC;
  M->retryat = M->now;
  M->retrybudget = MIN(BUDGET_MOST, M->retrybudget + secs * MP_RETRY_FLOOR);
}

void retry_earn(mp_State *M) {
  refill(M);
  M->retrybudget = MIN(BUDGET_MOST, M->retrybudget + MP_RETRY_SHARE / 100.0);
}

int retry_spend(mp_State *M) {
  refill(M);
  if (M->retrybudget < 1) {
    mpcount(M, RETRIES_DENIED);
    return 0;
  }
  M->retrybudget -= 1;
  mpcount(M, RETRIES);
  return 1;
}

mp_Time retry_wait(mp_State *M, unsigned n) {
  mp_Time most = MP_RETRY_WAIT << MIN(n, 4);
  return most / 2 + g_rand_int_range(M->rand, 0, (gint32)(most / 2 + 1));
}
