/*
** retry.c
** The retry budget
*/

#include "retry.h"

#define BUDGET_MOST 20.0

static void refill(mp_State *state) {
  double secs = (double)(state->now - state->retry_budget_updated_at) / MP_SEC;
  state->retry_budget_updated_at = state->now;
  state->retry_tokens =
      MIN(BUDGET_MOST, state->retry_tokens + secs * MP_RETRY_FLOOR);
}

void retry_budget_deposit(mp_State *state) {
  refill(state);
  state->retry_tokens =
      MIN(BUDGET_MOST, state->retry_tokens + MP_RETRY_SHARE / 100.0);
}

int retry_budget_try_withdraw(mp_State *state) {
  refill(state);
  if (state->retry_tokens < 1) {
    state_count(state, RETRIES_DENIED);
    return 0;
  }
  state->retry_tokens -= 1;
  state_count(state, RETRIES);
  return 1;
}

mp_Time retry_backoff(mp_State *state, unsigned n) {
  mp_Time most = MP_RETRY_WAIT << MIN(n, 4);
  return most / 2 + g_rand_int_range(state->rand, 0, (gint32)(most / 2 + 1));
}
