/*
** outlier.h
** Judges from evidence whether an endpoint can be used (outlier detection)
**
** There are two kinds of evidence. Own results: attempts that reached nobody
** or another process, and signs of life since. Reports: how many other
** instances avoid the endpoint as unreachable.
**
** Invariants:
** - Own evidence comes first: an endpoint that failed this instance is judged
**   by its own pause, and one that answers this instance is up.
** - Reports count only as far as they exceed the median of the service's
**   endpoints, and not at all if more than half of these would be down by
**   them. Otherwise a few instances that are cut off from all endpoints would
**   take these away from all instances.
** - A wrong judgement by reports leaves an endpoint unused for
**   OUTLIER_REPORT_PAUSE at most. Then one request at a time may try it.
**
** The functions depend on their arguments alone. All times are microseconds of
** one clock. Used by endpoint_table.c and endpoint_health.c.
*/

#ifndef ROUTER_OUTLIER_H
#define ROUTER_OUTLIER_H

#include "madderpier.h"

#include <glib.h>

/* An endpoint is down by reports if this many instances more than the median
** report it. One alone may have lost its own path to it. */
#define OUTLIER_REPORTS_MIN 2
/* An endpoint that is down by reports is tried again after this. It is as long
** as the longest pause after own failures (AVOID_TIME_MAX in
** endpoint_table.c): the instances that report it try it earlier. */
#define OUTLIER_REPORT_PAUSE (4 * MP_SEC)
/* A sign of life outweighs reports for this long, so that an endpoint that
** fails after it is not trusted for good. Pieces of a stream come more often
** than this. */
#define OUTLIER_HEARD_TIME (1 * MP_SEC)
/* A run breaks off at once if it does so within this time. Longer runs may
** break off for reasons of their own. */
#define OUTLIER_AT_ONCE (100 * MP_MS)
/* A plain endpoint is down after this many runs in a row that broke off at
** once, each within OUTLIER_BREAK_TIME of the one before. An instance of a
** large system sends about one request a second to an endpoint, so a share
** over a second would not be known before other instances have lost as many
** requests. */
#define OUTLIER_BREAKS_MIN 2
#define OUTLIER_BREAK_TIME (1500 * MP_MS)
/* After the pause of such an endpoint, requests that may be repeated try it
** first for this long. */
#define OUTLIER_SAFE_TRIAL_TIME (1 * MP_SEC)

typedef struct OutlierEvidence {
  gint64 heard_at;       /* last sign of life since the last own attempt that
                         ** failed to reach it; 0: none */
  guint breaks;          /* runs in a row that broke off at once */
  gint64 broken_at;      /* the last of them */
  guint reports;         /* other instances that report it as unreachable */
  gint64 reported_since; /* since when it is down by reports; 0: it is not */
} OutlierEvidence;

typedef enum OutlierVerdict {
  OUTLIER_UP,
  OUTLIER_TRIAL, /* one request at a time may try it */
  OUTLIER_DOWN   /* used only if nothing else is left */
} OutlierVerdict;

/* Sets 'reported_since' of all endpoints of one service by their 'reports'.
** 'count' is the number of elements of 'all'. */
void outlier_judge_reports(OutlierEvidence *const *all, guint count,
                           gint64 now);

/* Returns the judgement of one endpoint. 'failures' counts the own attempts in
** a row that failed to reach it, and 'avoid_until' is the end of the pause
** after the last of them. */
OutlierVerdict outlier_verdict(const OutlierEvidence *evidence,
                               unsigned failures, gint64 avoid_until,
                               gint64 now);

/* Counts a run that broke off this long 'after' it was sent. Returns TRUE if
** the endpoint is to be avoided as one that breaks off nearly everything. */
gboolean outlier_note_break(OutlierEvidence *evidence, gint64 after,
                            gint64 now);
/* Returns TRUE if a request that must not be repeated is to be refused instead
** of being sent there: the endpoint breaks off runs, or may do so because
** others report it. Arguments as for outlier_verdict. */
gboolean outlier_is_unsafe(const OutlierEvidence *evidence, unsigned failures,
                           gint64 avoid_until, gint64 now);

#endif
