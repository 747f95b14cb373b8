/*
** news_state.h
** How an instance's knowledge of one kind of the store's objects compares to
** what any instance has named
**
** Invariant: 'held' and 'newest' never decrease within a life. The store, or
** an instance that follows it, names a revision before anybody lacks it.
*/

#ifndef ROUTER_NEWS_STATE_H
#define ROUTER_NEWS_STATE_H

#include <glib.h>

typedef struct NewsState {
  gint64 held;       /* every change up to this revision is known here */
  gint64 newest;     /* the last change that any instance has named */
  gint64 lags_since; /* us; since 'newest' is not held; 0: it is held */
} NewsState;

/* changes up to this revision are known here now */
void news_state_hold(NewsState *state, gint64 revision, gint64 now);
/* another instance has named a change at this revision */
void news_state_name(NewsState *state, gint64 revision, gint64 now);
/* for how long a newer change has been known elsewhere, us; 0: none is */
gint64 news_state_lag(const NewsState *state, gint64 now);

#endif
