/*
** unproved_runs.h
** Remembers runs whose answers ended with their connections
**
** Such an answer looks the same when its endpoint has crashed. The run was
** good if the same incarnation answers what it was sent after the run had
** ended. Until then it says nothing about the request and the parts of its
** prompt; then it acquits them (router/suspects.c). Times are microseconds of
** the steady clock.
*/

#ifndef ROUTER_UNPROVED_RUNS_H
#define ROUTER_UNPROVED_RUNS_H

#include "router/router.h"

typedef struct UnprovedRun {
  guint32 life; /* incarnation of its endpoint */
  gint64 sent;
  gint64 ended;
  guint64 content; /* Request.content */
  guint64 parts[CALLER_PARTS_MAX];
  guint parts_count;
} UnprovedRun;

typedef struct UnprovedRuns UnprovedRuns;

UnprovedRuns *unproved_runs_new(void);
void unproved_runs_free(UnprovedRuns *runs);

/* Remembers a run, in place of the oldest one if there are too many. */
void unproved_runs_add(UnprovedRuns *runs, const UnprovedRun *run);
/* An incarnation has answered what it was sent at 'sent'. Takes out one run of
** it that had ended before, and returns TRUE; FALSE if there is none left. */
gboolean unproved_runs_take(UnprovedRuns *runs, guint32 life, gint64 sent,
                            UnprovedRun *out);
/* Forgets runs of endpoints that have not answered for long. */
void unproved_runs_expire(UnprovedRuns *runs, gint64 now);

#endif
