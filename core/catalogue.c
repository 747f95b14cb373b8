/*
** catalogue.c
** The level and text of each numbered log event (MP_EVENTS)
*/

#include "madderpier.h"

static const struct {
  mp_EventNo number;
  mp_Level level;
  const char *text;
} events[] = {
#define X(symbol, number, level, text) {MP_LOG_##symbol, level, text},
    MP_EVENTS(X)
#undef X
};

/* asserts that the number is one of an event */
static size_t event_index(mp_EventNo number) {
  size_t i;
  for (i = 0; i < G_N_ELEMENTS(events) && events[i].number != number; i++)
    ;
  g_assert(i < G_N_ELEMENTS(events));
  return i;
}

mp_Level mp_event_level(mp_EventNo number) {
  return events[event_index(number)].level;
}

const char *mp_event_text(mp_EventNo number) {
  return events[event_index(number)].text;
}
