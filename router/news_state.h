/*
** news_state.h
** How an instance's knowledge of one kind of the store's objects compares to
** what any instance has named
**
** Invariant: 'held' and 'newest' never decrease within a life. The store, or
** an instance that follows it, names a position before anybody lacks it. What
** is held of an older era lacks all that is named of a newer one.
*/

#ifndef ROUTER_NEWS_STATE_H
#define ROUTER_NEWS_STATE_H

#include "router/store_position.h"

typedef struct NewsState {
  StorePosition held;   /* every change up to there is known here */
  StorePosition newest; /* the last change that any instance has named */
  gint64 lags_since;    /* us; since 'newest' is not held; 0: it is held */
} NewsState;

/* changes up to there are known here now */
void news_state_advance_held(NewsState *state, StorePosition position,
                             gint64 now);
/* another instance has named a change there */
void news_state_advance_newest(NewsState *state, StorePosition position,
                               gint64 now);
/* has a change been named that is not known here? */
gboolean news_state_is_behind(const NewsState *state);
/* for how long a newer change has been known elsewhere, us; 0: none is */
gint64 news_state_lag(const NewsState *state, gint64 now);

#endif
