/*
** stop_signals.h
** Signals that ask the process to stop, with the times of their arrival
**
** The event loop handles a signal in its next turn, which a loop with much
** work or little processor time begins up to a second later. A planned stop
** has to end before the kill that follows the signal by a fixed time, so it is
** timed from the arrival. A signal arrives when the process next gets
** processor time; for how long it had none before is not known. Used by
** madderpierd.c.
*/

#ifndef STOP_SIGNALS_H
#define STOP_SIGNALS_H

#include <event2/event.h>

#include "madderpier.h"

/* Called from the event loop, once for each signal that arrived; 'at' is the
** time of clock_now() then, in microseconds. */
typedef void (*StopSignalCallback)(void *data, mp_Time at);

typedef struct StopSignals StopSignals;

/* Handles SIGTERM and SIGINT from now on. 'base' is borrowed. There may be one
** at a time. Returns NULL with errno set if there are no descriptors left. */
StopSignals *stop_signals_new(struct event_base *base,
                              StopSignalCallback on_signal, void *data);
/* Restores how the signals were handled before. */
void stop_signals_free(StopSignals *signals);

#endif
