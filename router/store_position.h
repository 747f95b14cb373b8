/*
** store_position.h
** A position in the store's history
**
** The store counts its changes. When it is restored from a copy, its count
** goes back, and the same revisions are given out again: its era, which rises
** by one then, tells them apart. Invariants. A revision is compared only
** within its era, and a position of an older era is before each one of a newer
** era. The compiler refuses to compare two positions by an operator.
*/

#ifndef ROUTER_STORE_POSITION_H
#define ROUTER_STORE_POSITION_H

#include <glib.h>

#include "madderpier.h"

typedef mp_StorePosition StorePosition;

/* size of a position's text */
#define STORE_POSITION_TEXT_SIZE 48

static inline StorePosition store_position(guint64 era, gint64 revision) {
  StorePosition position;
  position.era = era;
  position.revision = revision;
  return position;
}

/* before everything that the store has */
static inline StorePosition store_position_none(void) {
  return store_position(0, 0);
}

gboolean store_position_is_none(StorePosition position);
/* as strcmp: negative when 'one' is before 'other' */
int store_position_compare(StorePosition one, StorePosition other);
gboolean store_position_is_before(StorePosition one, StorePosition other);
StorePosition store_position_later(StorePosition one, StorePosition other);
/* ERA.REVISION; returns 'out' */
const char *store_position_format(StorePosition position,
                                  char out[STORE_POSITION_TEXT_SIZE]);

#endif
