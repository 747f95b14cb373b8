/*
** unproved_runs.c
** Remembers runs whose answers ended with their connections
*/

#include "router/unproved_runs.h"

/* So many runs are remembered, at some 170 bytes each. */
#define RUNS_MAX 1024
/* An endpoint in use answers within a second or so. */
#define RUN_LIFETIME (10 * MP_SEC)

struct UnprovedRuns {
  GQueue runs; /* UnprovedRun (owned), the one that ended first ahead */
};

UnprovedRuns *unproved_runs_new(void) {
  return g_new0(UnprovedRuns, 1);
}

void unproved_runs_free(UnprovedRuns *runs) {
  g_queue_clear_full(&runs->runs, g_free);
  g_free(runs);
}

void unproved_runs_add(UnprovedRuns *runs, const UnprovedRun *run) {
  if (runs->runs.length >= RUNS_MAX)
    g_free(g_queue_pop_head(&runs->runs));
  g_queue_push_tail(&runs->runs, g_memdup2(run, sizeof *run));
}

gboolean unproved_runs_take(UnprovedRuns *runs, guint32 life, gint64 sent,
                            UnprovedRun *out) {
  GList *link;
  for (link = runs->runs.head; link != NULL; link = link->next) {
    UnprovedRun *run = link->data;
    if (run->ended >= sent)
      return FALSE; /* the others ended later */
    if (run->life != life)
      continue;
    *out = *run;
    g_queue_delete_link(&runs->runs, link);
    g_free(run);
    return TRUE;
  }
  return FALSE;
}

void unproved_runs_expire(UnprovedRuns *runs, gint64 now) {
  UnprovedRun *oldest;
  while ((oldest = g_queue_peek_head(&runs->runs)) != NULL &&
         now - oldest->ended > RUN_LIFETIME)
    g_free(g_queue_pop_head(&runs->runs));
}
