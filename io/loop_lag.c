/*
** loop_lag.c
** Measures how far the event loop lags behind, and whether it is ever idle
*/

#include "io/clock.h"
#include "io/loop_lag.h"

/* libevent gives events the middle one of the priorities of their base; the
** last one is the lowest. */
#define PRIORITIES 3
#define LOWEST_PRIORITY (PRIORITIES - 1)

/* Time between two looks at the turns of a busy loop. A timer that were due at
** once would keep the loop busy by itself. */
#define TURN_INTERVAL (10 * MP_MS)

struct LoopLag {
  struct event *timer;
  struct event *idle; /* runs when no other event is ready */
  struct event *turn; /* runs each TURN_INTERVAL until 'idle' has run */
  LoopLagCallback on_measured;
  void *data;
  gint64 due;          /* of the timer; 0: it does not run */
  gint64 busy_since;   /* when 'idle' was activated; 0: it has run */
  gint64 turn_due;     /* of 'turn' */
  gint64 longest_turn; /* since busy_since */
  LoopSample last;
  Histogram histogram;
};

static void start_timer(LoopLag *loop_lag, gint64 now) {
  struct timeval time = {0, LOOP_LAG_INTERVAL};
  loop_lag->due = now + LOOP_LAG_INTERVAL;
  event_add(loop_lag->timer, &time);
}

static void start_turn(LoopLag *loop_lag, gint64 now) {
  struct timeval time = {0, TURN_INTERVAL};
  loop_lag->turn_due = now + TURN_INTERVAL;
  event_add(loop_lag->turn, &time);
}

static void on_turn(evutil_socket_t fd, short what, void *data) {
  LoopLag *loop_lag = data;
  gint64 now = clock_now();
  (void)fd;
  (void)what;
  loop_lag->longest_turn =
      MAX(loop_lag->longest_turn, now - loop_lag->turn_due);
  start_turn(loop_lag, now);
}

static void begin_busy(LoopLag *loop_lag, gint64 now) {
  loop_lag->busy_since = now;
  loop_lag->longest_turn = 0;
  event_active(loop_lag->idle, EV_TIMEOUT, 1);
  start_turn(loop_lag, now);
}

static void end_busy(LoopLag *loop_lag) {
  loop_lag->busy_since = 0;
  event_del(loop_lag->turn);
}

static void on_idle(evutil_socket_t fd, short what, void *data) {
  (void)fd;
  (void)what;
  end_busy(data);
}

static void measure(LoopLag *loop_lag, LoopSample *sample) {
  gboolean is_busy = loop_lag->busy_since != 0;
  sample->at = clock_now();
  sample->lag = MAX(sample->at - loop_lag->due, 0);
  sample->busy = is_busy ? sample->at - loop_lag->busy_since : 0;
  sample->turn = is_busy ? loop_lag->longest_turn : 0;
}

static void on_timer(evutil_socket_t fd, short what, void *data) {
  LoopLag *loop_lag = data;
  LoopSample *last = &loop_lag->last;
  (void)fd;
  (void)what;
  measure(loop_lag, last);
  histogram_add(&loop_lag->histogram, last->lag);
  start_timer(loop_lag, last->at);
  if (loop_lag->busy_since == 0)
    begin_busy(loop_lag, last->at);
  loop_lag->on_measured(loop_lag->data, last);
}

LoopLag *loop_lag_new(struct event_base *base, LoopLagCallback on_measured,
                      void *data) {
  LoopLag *loop_lag = g_new0(LoopLag, 1);
  if (event_base_get_npriorities(base) == 1)
    event_base_priority_init(base, PRIORITIES);
  loop_lag->timer = evtimer_new(base, on_timer, loop_lag);
  loop_lag->idle = evtimer_new(base, on_idle, loop_lag);
  loop_lag->turn = evtimer_new(base, on_turn, loop_lag);
  event_priority_set(loop_lag->idle, LOWEST_PRIORITY);
  loop_lag->on_measured = on_measured;
  loop_lag->data = data;
  return loop_lag;
}

void loop_lag_free(LoopLag *loop_lag) {
  event_free(loop_lag->timer);
  event_free(loop_lag->idle);
  event_free(loop_lag->turn);
  g_free(loop_lag);
}

void loop_lag_start(LoopLag *loop_lag) {
  if (loop_lag->due == 0)
    start_timer(loop_lag, clock_now());
}

void loop_lag_stop(LoopLag *loop_lag) {
  event_del(loop_lag->timer);
  event_del(loop_lag->idle);
  end_busy(loop_lag);
  loop_lag->due = 0;
}

const LoopSample *loop_lag_last(const LoopLag *loop_lag) {
  return &loop_lag->last;
}

const Histogram *loop_lag_histogram(const LoopLag *loop_lag) {
  return &loop_lag->histogram;
}
