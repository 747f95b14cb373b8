/*
** retry.c
** The retry budget and the backoff between retries
*/

#include "retry.h"

/*
** Retries that the budget holds at most, so that a quiet time saves up no
** burst above this.
*/
#define BUDGET_MAX 20.0

/* Adds MP_RETRIES_PER_S retries for each second since the last time. */
static void add_floor(mp_State *state) {
  double seconds =
      (double)(state->now - state->retry_budget_updated_at) / MP_SEC;
  state->retry_budget_updated_at = state->now;
  state->retry_tokens =
      MIN(BUDGET_MAX, state->retry_tokens + seconds * MP_RETRIES_PER_S);
}

void retry_budget_deposit(mp_State *state) {
  add_floor(state);
  state->retry_tokens =
      MIN(BUDGET_MAX, state->retry_tokens + MP_RETRY_PERCENT / 100.0);
}

int retry_budget_try_withdraw(mp_State *state) {
  add_floor(state);
  if (state->retry_tokens < 1) {
    state_count(state, RETRIES_DENIED);
    return 0;
  }
  state->retry_tokens -= 1;
  state_count(state, RETRIES);
  return 1;
}

/*
** The random part keeps requests that failed together from coming back
** together.
*/
mp_Time retry_backoff(mp_State *state, unsigned n) {
  mp_Time longest = MP_RETRY_DELAY << MIN(n, 4);
  return longest / 2 +
         g_rand_int_range(state->rand, 0, (gint32)(longest / 2 + 1));
}
