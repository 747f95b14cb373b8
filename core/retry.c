/*
** retry.c
** The retry budget
*/

#include "retry.h"

#define BUDGET_MOST 20.0

static void refill(mp_State *state) {
  double secs = (double)(state->now - state->retryat) / MP_SEC;
  state->retryat = state->now;
  state->retrybudget =
      MIN(BUDGET_MOST, state->retrybudget + secs * MP_RETRY_FLOOR);
}

void retry_budget_deposit(mp_State *state) {
  refill(state);
  state->retrybudget =
      MIN(BUDGET_MOST, state->retrybudget + MP_RETRY_SHARE / 100.0);
}

int retry_budget_try_withdraw(mp_State *state) {
  refill(state);
  if (state->retrybudget < 1) {
    mpcount(state, RETRIES_DENIED);
    return 0;
  }
  state->retrybudget -= 1;
  mpcount(state, RETRIES);
  return 1;
}

mp_Time retry_backoff(mp_State *state, unsigned n) {
  mp_Time most = MP_RETRY_WAIT << MIN(n, 4);
  return most / 2 + g_rand_int_range(state->rand, 0, (gint32)(most / 2 + 1));
}
