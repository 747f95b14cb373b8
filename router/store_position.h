/*
** store_position.h
** A position in the store's history of changes
**
** The store numbers its changes with revisions. When it is restored from a
** copy, its counter goes back and the same revisions are assigned again. The
** store's era, which grows by one at each restore, tells them apart: a
** position is a pair of an era and a revision.
**
** Invariants: revisions are compared only within one era, and each position of
** an older era is before each position of a newer one. A position is a struct,
** so the compiler refuses to compare two of them with an operator.
*/

#ifndef ROUTER_STORE_POSITION_H
#define ROUTER_STORE_POSITION_H

#include <glib.h>

#include "madderpier.h"

typedef mp_StorePosition StorePosition;

/*
** Size in bytes of the buffer for store_position_format, with the final NUL.
*/
#define STORE_POSITION_TEXT_SIZE 48

static inline StorePosition store_position(guint64 era, gint64 revision) {
  StorePosition position;
  position.era = era;
  position.revision = revision;
  return position;
}

/* Returns the position before all changes of the store. */
static inline StorePosition store_position_none(void) {
  return store_position(0, 0);
}

/* Returns TRUE when the revision is 0 or less, whatever the era. */
gboolean store_position_is_none(StorePosition position);
/*
** Compares as strcmp does: the result is negative when 'one' is before
** 'other', 0 when they are equal and positive otherwise.
*/
int store_position_compare(StorePosition one, StorePosition other);
gboolean store_position_is_before(StorePosition one, StorePosition other);
/* Returns the later one of the two positions. */
StorePosition store_position_later(StorePosition one, StorePosition other);
/* Returns the last position before this one in the same era; this one if it is
** before all changes. */
StorePosition store_position_previous(StorePosition position);
/* Writes ERA.REVISION in decimal to 'out' and returns 'out'. */
const char *store_position_format(StorePosition position,
                                  char out[STORE_POSITION_TEXT_SIZE]);

#endif
