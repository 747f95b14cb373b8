/*
** stop_choice.c
** Decides whether a request that comes after the signal of a planned stop is
** started or refused
*/

#include "router/router.h"
#include "router/stop_choice.h"

/* A new connection to another instance costs a caller some round trips. */
#define NEW_CONNECTION_TIME (20 * MP_MS)
/* Up to this share of stopping instances among the others, refused callers
** find one that goes on. Instances that are stopped in turn, each 0.3 s, stop
** at the same time in up to this share. */
#define STOPPING_SHARE_MAX 0.8
/* After which time refused callers come back beyond that share: the first
** instances return some seconds after their signal. */
#define FEW_OTHERS_RETRY (200 * MP_MS)

static gboolean has_others_for_callers(const StopInput *input) {
  return input->others_stopping <= STOPPING_SHARE_MAX * input->others;
}

/* Returns what a refusal costs the caller. If no other instance is known, it
** cannot be served before this one is back. */
static gint64 refusal_cost(const StopInput *input, gint64 retry_after) {
  gint64 cost = retry_after + NEW_CONNECTION_TIME;
  return input->others == 0 ? MAX(cost, input->left) : cost;
}

/* Decides by an upper bound: few known durations do not rule long ones out. */
static StopChoice choose_strictly(const StopInput *input) {
  StopChoice choice = {FALSE, DRAINING_RETRY_MS * MP_MS, 0};
  choice.share = run_times_share_longer_max(input->durations, input->left);
  choice.refuses = run_times_is_refused(
      choice.share, input->left, choice.retry_after + NEW_CONNECTION_TIME);
  return choice;
}

/* Decides by the share that is expected. */
static StopChoice choose_by_expectation(const StopInput *input) {
  StopChoice choice = {FALSE, DRAINING_RETRY_MS * MP_MS, 0};
  if (input->others > 0)
    choice.retry_after = FEW_OTHERS_RETRY;
  choice.share = run_times_share_longer(input->durations, input->left);
  choice.refuses = run_times_should_refuse(
      input->durations, input->left, refusal_cost(input, choice.retry_after));
  return choice;
}

StopChoice stop_choice_make(const StopInput *input) {
  if (input->others > 0 && has_others_for_callers(input))
    return choose_strictly(input);
  return choose_by_expectation(input);
}
