/*
** news_state.c
** How an instance's knowledge compares to what any instance has named
*/

#include "router/news_state.h"

static void compare(NewsState *state, gint64 now) {
  if (state->newest <= state->held)
    state->lags_since = 0;
  else if (state->lags_since == 0)
    state->lags_since = now;
}

void news_state_hold(NewsState *state, gint64 revision, gint64 now) {
  state->held = MAX(state->held, revision);
  compare(state, now);
}

void news_state_name(NewsState *state, gint64 revision, gint64 now) {
  state->newest = MAX(state->newest, revision);
  compare(state, now);
}

gint64 news_state_lag(const NewsState *state, gint64 now) {
  return state->lags_since != 0 ? now - state->lags_since : 0;
}
