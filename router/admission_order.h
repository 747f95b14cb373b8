/*
** admission_order.h
** The order in which waiting requests start: a pure function
**
** A request that can still be answered in time starts before a late one. Among
** those, a lower priority number starts before a higher one, then a request
** whose account is within its share before one whose account is over it, then
** the more senior one. Two requests that compare equal start in the order in
** which they were queued.
**
** admission.c applies it to the requests that wait here; the load digests
** (mp_WaitingRow) state enough to apply it to those of other instances.
**
** Times are microseconds of the host's steady clock.
*/

#ifndef ROUTER_ADMISSION_ORDER_H
#define ROUTER_ADMISSION_ORDER_H

#include <glib.h>

/* What the order depends on. */
typedef struct AdmissionInput {
  gint64 arrived;          /* at this instance */
  gint64 first_attempt_at; /* when its caller tried first */
  gint64 objective;        /* time within which an answer has its full value */
  gboolean is_prefilled;   /* its prompt is prefilled */
  guint priority;          /* 0 is the highest */
  gboolean over_share;     /* its account is over its share */
  guint32 expected_output; /* tokens; 0: not to be considered */
} AdmissionInput;

/* The place of a request in the order. */
typedef struct AdmissionRank {
  gboolean is_late;
  guint priority; /* after aging */
  gboolean over_share;
  gint64 seniority; /* the lower, the earlier */
  gint64 came;      /* the same without the expected output. Instances compare
                    ** their requests by this: digests state how long one has
                    ** waited, which cannot be negative */
} AdmissionRank;

AdmissionRank admission_order_rank(const AdmissionInput *input, gint64 now);
/* Returns a negative number if the first one starts before the second one, a
** positive one if it starts after it, and 0 if the order of the queue
** decides. */
int admission_order_compare(const AdmissionRank *one,
                            const AdmissionRank *other);
/* Returns TRUE if the first one is late where the second one is not, or both
** are alike and it has a lower priority: it then leaves room to the second
** one even if that needs more than there is. */
gboolean admission_order_yields(const AdmissionRank *one,
                                const AdmissionRank *other);
/* Returns how many tokens are expected to be generated: the caller's hint (0:
** none), at most the largest number that may be generated, or half of that
** number. */
guint32 admission_order_expected_output(guint32 hint, guint32 output_tokens);

#endif
