/*
** text_history.h
** The latest changes of one object's text, for whoever holds an older one
**
** Invariant: each change begins at the position at which the one before it
** ended; changes that would leave a gap begin the history anew.
*/

#ifndef ROUTER_TEXT_HISTORY_H
#define ROUTER_TEXT_HISTORY_H

#include "router/store_position.h"

typedef struct TextChange {
  StorePosition from; /* of the text that it changes */
  StorePosition to;   /* of the text that it makes */
  GBytes *patch;
} TextChange;

typedef struct TextHistory TextHistory;

/* an empty array of TextChange that clears its elements */
GArray *text_changes_new(void);
void text_changes_add(GArray *changes, StorePosition from, StorePosition to,
                      GBytes *patch);
/* the text that they make of 'from' one after the other; NULL: they do not
** fit it */
char *text_changes_apply(const GArray *changes, const char *from);

TextHistory *text_history_new(void);
void text_history_free(TextHistory *history);
/* the object has changed; the oldest changes give way */
void text_history_add(TextHistory *history, StorePosition from,
                      StorePosition to, GBytes *patch);
/* all changes since the text that stood at this position, to be
** freed; NULL: the history does not reach back so far */
GArray *text_history_since(const TextHistory *history, StorePosition position);

#endif
