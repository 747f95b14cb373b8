/*
** admission_order.c
** The order in which waiting requests start
*/

#include "router/admission_order.h"
#include "madderpier.h"

/* A request is in time while its caller has waited for less than this share of
** the objective, because reading its prompt takes another 0.2 to 0.3 of it. */
#define IN_TIME_SHARE 0.7
/* After this share of the objective a request counts as one priority higher,
** so that a steady load of higher priorities does not keep it waiting until it
** is late. */
#define AGING_SHARE 0.5
/* A request whose prompt is prefilled counts as having come this much
** earlier. */
#define PREFILLED_ADVANCE (1 * MP_SEC)
/* Each expected output token counts as having come this much later, in us:
** while memory is short, a short run frees it sooner. */
#define DELAY_PER_OUTPUT_TOKEN 700
/* More expected tokens than this delay a request no further: a caller may
** state any number. */
#define EXPECTED_OUTPUT_MAX 8192

/* Returns TRUE if the request has waited for at least this share of its
** objective. */
static gboolean has_waited(const AdmissionInput *input, double share,
                           gint64 now) {
  return (double)(now - input->first_attempt_at) >=
         share * (double)input->objective;
}

/* Returns the priority after aging. It never becomes 0, which is kept for the
** requests that the operator made the most urgent. */
static guint aged_priority(const AdmissionInput *input, gint64 now) {
  if (input->priority < 2 || !has_waited(input, AGING_SHARE, now))
    return input->priority;
  return input->priority - 1;
}

AdmissionRank admission_order_rank(const AdmissionInput *input, gint64 now) {
  AdmissionRank rank;
  rank.is_late = !input->is_prefilled && has_waited(input, IN_TIME_SHARE, now);
  rank.priority = aged_priority(input, now);
  rank.over_share = input->over_share;
  if (input->is_prefilled)
    rank.seniority = input->arrived - PREFILLED_ADVANCE;
  else
    rank.seniority = rank.is_late ? input->arrived : input->first_attempt_at;
  rank.came = rank.seniority;
  rank.seniority += (gint64)input->expected_output * DELAY_PER_OUTPUT_TOKEN;
  return rank;
}

int admission_order_compare(const AdmissionRank *one,
                            const AdmissionRank *other) {
  if (one->is_late != other->is_late)
    return one->is_late ? 1 : -1;
  if (one->priority != other->priority)
    return one->priority > other->priority ? 1 : -1;
  if (one->over_share != other->over_share)
    return one->over_share ? 1 : -1;
  return (one->seniority > other->seniority) -
         (one->seniority < other->seniority);
}

gboolean admission_order_yields(const AdmissionRank *one,
                                const AdmissionRank *other) {
  if (one->is_late != other->is_late)
    return one->is_late;
  return one->priority > other->priority;
}

guint32 admission_order_expected_output(guint32 hint, guint32 output_tokens) {
  guint32 expected = hint > 0 ? MIN(hint, output_tokens) : output_tokens / 2;
  return MIN(expected, EXPECTED_OUTPUT_MAX);
}
