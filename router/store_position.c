/*
** store_position.c
** A position in the store's history of changes
*/

#include "router/store_position.h"

gboolean store_position_is_none(StorePosition position) {
  return position.revision <= 0;
}

int store_position_compare(StorePosition one, StorePosition other) {
  if (one.era != other.era)
    return one.era < other.era ? -1 : 1;
  if (one.revision != other.revision)
    return one.revision < other.revision ? -1 : 1;
  return 0;
}

gboolean store_position_is_before(StorePosition one, StorePosition other) {
  return store_position_compare(one, other) < 0;
}

StorePosition store_position_later(StorePosition one, StorePosition other) {
  return store_position_is_before(one, other) ? other : one;
}

StorePosition store_position_previous(StorePosition position) {
  if (!store_position_is_none(position))
    position.revision--;
  return position;
}

const char *store_position_format(StorePosition position,
                                  char out[STORE_POSITION_TEXT_SIZE]) {
  g_snprintf(out, STORE_POSITION_TEXT_SIZE,
             "%" G_GUINT64_FORMAT ".%" G_GINT64_FORMAT, position.era,
             position.revision);
  return out;
}
