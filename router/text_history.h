/*
** text_history.h
** The latest changes of one object's text, as patches
**
** An instance that holds an older version of the text can be sent the changes
** since then instead of the whole text. A history is bounded in changes and in
** bytes; the oldest changes are dropped first.
**
** Invariant: each change begins at the position at which the one before it
** ended. A change that would leave a gap clears the history and becomes its
** first one.
*/

#ifndef ROUTER_TEXT_HISTORY_H
#define ROUTER_TEXT_HISTORY_H

#include "router/store_position.h"

typedef struct TextChange {
  StorePosition from; /* Position of the text that the patch is applied to. */
  StorePosition to;   /* Position of the text that the patch produces. */
  GBytes *patch;
} TextChange;

typedef struct TextHistory TextHistory;

/* Returns an empty array of TextChange that releases its elements' patches. */
GArray *text_changes_new(void);
/* Appends a change with a reference of its own to 'patch'. */
void text_changes_add(GArray *changes, StorePosition from, StorePosition to,
                      GBytes *patch);
/*
** Returns the text that the changes produce from 'from', applied one after the
** other, to be freed with g_free. NULL: one of them doesn't fit its text.
*/
char *text_changes_apply(const GArray *changes, const char *from);

/* Returns an empty history, to be freed with text_history_free. */
TextHistory *text_history_new(void);
/* 'history' may be NULL. */
void text_history_free(TextHistory *history);
/*
** Adds a change of the object. When the history exceeds its bounds, the oldest
** changes are dropped. Keeps a reference of its own to 'patch'.
*/
void text_history_add(TextHistory *history, StorePosition from,
                      StorePosition to, GBytes *patch);
/*
** Returns all changes since the text that stood at this position, to be freed
** with g_array_free. NULL: the history doesn't reach back so far, or ends
** there already.
*/
GArray *text_history_since(const TextHistory *history, StorePosition position);

#endif
