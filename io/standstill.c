/*
** standstill.c
** Finds out that this process stood still
*/

#include "io/clock.h"
#include "io/standstill.h"

#define HIGHEST_PRIORITY 0

struct Standstill {
  struct event *timer;
  StandstillCallback on_standstill;
  void *data;
  StandstillMark mark;
  guint64 count;
  gint64 total;
};

gboolean standstill_mark(StandstillMark *mark, gint64 now,
                         gint64 processor_time) {
  gint64 passed = now - mark->at;
  gint64 used = processor_time - mark->processor_time;
  mark->at = now;
  mark->processor_time = processor_time;
  return passed >= STANDSTILL_MIN && used * STANDSTILL_PROCESSOR_PART < passed;
}

gint64 standstill_check(Standstill *standstill) {
  gint64 now = clock_now();
  gint64 since = standstill->mark.at;
  if (!standstill_mark(&standstill->mark, now, clock_processor_time()))
    return now;
  standstill->count++;
  standstill->total += now - since;
  standstill->on_standstill(standstill->data, since, now);
  return now;
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  standstill_check(data);
}

Standstill *standstill_new(struct event_base *base,
                           StandstillCallback on_standstill, void *data) {
  Standstill *standstill = g_new0(Standstill, 1);
  struct timeval interval = {0, STANDSTILL_INTERVAL};
  standstill->on_standstill = on_standstill;
  standstill->data = data;
  standstill->mark.at = clock_now();
  standstill->mark.processor_time = clock_processor_time();
  standstill->timer = event_new(base, -1, EV_PERSIST, on_timer, standstill);
  event_priority_set(standstill->timer, HIGHEST_PRIORITY);
  event_add(standstill->timer, &interval);
  return standstill;
}

void standstill_free(Standstill *standstill) {
  event_free(standstill->timer);
  g_free(standstill);
}

guint64 standstill_count(const Standstill *standstill) {
  return standstill->count;
}

gint64 standstill_total(const Standstill *standstill) {
  return standstill->total;
}
