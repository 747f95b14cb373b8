/*
** news_state.c
** How far an instance lags behind the store for one kind of objects
*/

#include "router/news_state.h"

gboolean news_state_is_behind(const NewsState *state) {
  return store_position_is_before(state->held, state->newest);
}

static void update_lag(NewsState *state, gint64 now) {
  if (!news_state_is_behind(state))
    state->lags_since = 0;
  else if (state->lags_since == 0)
    state->lags_since = now;
}

void news_state_advance_held(NewsState *state, StorePosition position,
                             gint64 now) {
  state->held = store_position_later(state->held, position);
  update_lag(state, now);
}

void news_state_advance_newest(NewsState *state, StorePosition position,
                               gint64 now) {
  state->newest = store_position_later(state->newest, position);
  update_lag(state, now);
}

gint64 news_state_lag(const NewsState *state, gint64 now) {
  return state->lags_since != 0 ? now - state->lags_since : 0;
}
