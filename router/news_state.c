/*
** news_state.c
** How an instance's knowledge compares to what any instance has named
*/

#include "router/news_state.h"

gboolean news_state_is_behind(const NewsState *state) {
  return store_position_is_before(state->held, state->newest);
}

static void compare(NewsState *state, gint64 now) {
  if (!news_state_is_behind(state))
    state->lags_since = 0;
  else if (state->lags_since == 0)
    state->lags_since = now;
}

void news_state_advance_held(NewsState *state, StorePosition position,
                             gint64 now) {
  state->held = store_position_later(state->held, position);
  compare(state, now);
}

void news_state_advance_newest(NewsState *state, StorePosition position,
                               gint64 now) {
  state->newest = store_position_later(state->newest, position);
  compare(state, now);
}

gint64 news_state_lag(const NewsState *state, gint64 now) {
  return state->lags_since != 0 ? now - state->lags_since : 0;
}
