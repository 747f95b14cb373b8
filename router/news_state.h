/*
** news_state.h
** How far an instance lags behind the store for one kind of objects
**
** An instance learns of changes in the store in two ways: it holds them, or it
** hears in a heartbeat that another instance holds them. This module keeps the
** latest position of both and the time since which the first one is behind.
** "News" are changes of the store's objects.
**
** Invariant: 'held' and 'newest' never decrease while the process runs. The
** store, or an instance that follows it, announces a position before any
** instance counts as lacking it. What is held of an older era lacks all that
** is announced of a newer one.
*/

#ifndef ROUTER_NEWS_STATE_H
#define ROUTER_NEWS_STATE_H

#include "router/store_position.h"

typedef struct NewsState {
  /* Every change up to this position, inclusive, is known here. */
  StorePosition held;
  /* Position of the latest change that any instance has announced. */
  StorePosition newest;
  /* Time in us since which 'newest' is not held; 0: it is held. */
  gint64 lags_since;
} NewsState;

/* Records that changes up to this position are known here. */
void news_state_advance_held(NewsState *state, StorePosition position,
                             gint64 now);
/* Records that another instance has announced a change at this position. */
void news_state_advance_newest(NewsState *state, StorePosition position,
                               gint64 now);
/* Returns TRUE when a change has been announced that is not known here. */
gboolean news_state_is_behind(const NewsState *state);
/*
** Returns for how many us a newer change has been announced that is not known
** here; 0: there is none.
*/
gint64 news_state_lag(const NewsState *state, gint64 now);

#endif
