/*
** stop_signals.c
** Signals that ask the process to stop, with the times of their arrival
*/

#include "io/stop_signals.h"
#include "mpconf.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_US 1000

static const int stop_signals[] = {SIGTERM, SIGINT};
#define STOP_SIGNALS_COUNT G_N_ELEMENTS(stop_signals)

struct StopSignals {
  StopSignalCallback on_signal;
  void *data;
  struct event *event;
  int read_end; /* of a pipe that has a struct timespec for each signal */
  struct sigaction before[STOP_SIGNALS_COUNT];
};

/* Signal handlers have no argument for data. Non-blocking; a signal that does
** not fit into a full pipe is left out, since thousands came before it. */
static volatile sig_atomic_t write_end = -1;

/* Calls async-signal-safe functions only. The clock is that of clock_now(). */
static void handle_signal(int number) {
  int error = errno;
  struct timespec time;
  ssize_t written;
  (void)number;
  clock_gettime(CLOCK_BOOTTIME, &time);
  written = write(write_end, &time, sizeof time);
  (void)written;
  errno = error;
}

/* Writes of less than PIPE_BUF bytes are not split, so neither are reads. */
static void on_readable(evutil_socket_t fd, short what, void *data) {
  const StopSignals *signals = data;
  struct timespec time;
  (void)what;
  while (read(fd, &time, sizeof time) == (ssize_t)sizeof time)
    signals->on_signal(signals->data, (mp_Time)time.tv_sec * MP_SEC +
                                          time.tv_nsec / NS_PER_US);
}

StopSignals *stop_signals_new(struct event_base *base,
                              StopSignalCallback on_signal, void *data) {
  StopSignals *signals;
  struct sigaction action = {0};
  int ends[2];
  gsize i;
  if (pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0)
    return NULL;
  signals = g_new0(StopSignals, 1);
  signals->on_signal = on_signal;
  signals->data = data;
  signals->read_end = ends[0];
  write_end = ends[1];
  signals->event =
      event_new(base, ends[0], EV_READ | EV_PERSIST, on_readable, signals);
  event_add(signals->event, NULL);
  action.sa_handler = handle_signal;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  for (i = 0; i < STOP_SIGNALS_COUNT; i++)
    sigaction(stop_signals[i], &action, &signals->before[i]);
  return signals;
}

void stop_signals_free(StopSignals *signals) {
  gsize i;
  for (i = 0; i < STOP_SIGNALS_COUNT; i++)
    sigaction(stop_signals[i], &signals->before[i], NULL);
  event_free(signals->event);
  close(signals->read_end);
  close(write_end);
  write_end = -1;
  g_free(signals);
}
