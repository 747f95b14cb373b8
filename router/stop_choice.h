/*
** stop_choice.h
** Decides whether a request that comes after the signal of a planned stop is
** started or refused
**
** A refused caller comes back at another instance, and has few tries. Where
** most other instances go on, a refusal costs it hardly anything, and a
** request is started only if it almost certainly ends in time. Where nearly
** all of them stop too, it probably meets one that refuses it again, so a
** refusal costs as much as the time until that has changed.
**
** The module does no I/O and reads no clock; times are in microseconds. Used
** by finish.c.
*/

#ifndef ROUTER_STOP_CHOICE_H
#define ROUTER_STOP_CHOICE_H

#include "router/run_times.h"

typedef struct StopInput {
  const RunTimes *durations; /* of the request's service */
  gint64 left;               /* until the end of the stop */
  guint others;              /* other instances that were heard from lately */
  guint others_stopping;     /* those of them that stop too */
} StopInput;

typedef struct StopChoice {
  gboolean refuses;
  gint64 retry_after; /* what a refused caller is told */
  double share;       /* of the requests that are taken to outlast the stop */
} StopChoice;

StopChoice stop_choice_make(const StopInput *input);

#endif
