/*
** outlier.c
** Judges from evidence whether an endpoint can be used (outlier detection)
*/

#include "router/outlier.h"

#include <stdlib.h>

static int compare_counts(const void *one, const void *other) {
  guint first = *(const guint *)one;
  guint second = *(const guint *)other;
  return (first > second) - (first < second);
}

/* Returns the median of the numbers of reports; of an even number of endpoints
** the higher of the two in the middle. */
static guint median_reports(OutlierEvidence *const *all, guint count) {
  guint *reports = g_new(guint, count);
  guint median;
  guint i;
  for (i = 0; i < count; i++)
    reports[i] = all[i]->reports;
  qsort(reports, count, sizeof *reports, compare_counts);
  median = reports[count / 2];
  g_free(reports);
  return median;
}

/* Returns the number of reports from which on an endpoint is down by them;
** G_MAXUINT if reports are ignored. */
static guint reports_needed(OutlierEvidence *const *all, guint count) {
  guint needed = median_reports(all, count) + OUTLIER_REPORTS_MIN;
  guint down = 0;
  guint i;
  for (i = 0; i < count; i++)
    down += all[i]->reports >= needed;
  return down * 2 > count ? G_MAXUINT : needed;
}

void outlier_judge_reports(OutlierEvidence *const *all, guint count,
                           gint64 now) {
  guint needed = count > 0 ? reports_needed(all, count) : G_MAXUINT;
  guint i;
  for (i = 0; i < count; i++) {
    if (all[i]->reports < needed)
      all[i]->reported_since = 0;
    else if (all[i]->reported_since == 0)
      all[i]->reported_since = now;
  }
}

OutlierVerdict outlier_verdict(const OutlierEvidence *evidence,
                               unsigned failures, gint64 avoid_until,
                               gint64 now) {
  if (avoid_until > now)
    return OUTLIER_DOWN;
  if (failures > 0 && evidence->heard_at == 0)
    return OUTLIER_TRIAL;
  if (evidence->reported_since == 0 ||
      (evidence->heard_at >= evidence->reported_since &&
       now - evidence->heard_at < OUTLIER_HEARD_TIME))
    return OUTLIER_UP;
  return now - evidence->reported_since < OUTLIER_REPORT_PAUSE ? OUTLIER_DOWN
                                                               : OUTLIER_TRIAL;
}

gboolean outlier_note_break(OutlierEvidence *evidence, gint64 after,
                            gint64 now) {
  if (after > OUTLIER_AT_ONCE)
    return FALSE;
  if (now - evidence->broken_at > OUTLIER_BREAK_TIME &&
      evidence->breaks < OUTLIER_BREAKS_MIN)
    evidence->breaks = 0;
  evidence->breaks++;
  evidence->broken_at = now;
  return evidence->breaks >= OUTLIER_BREAKS_MIN;
}

gboolean outlier_is_unsafe(const OutlierEvidence *evidence, unsigned failures,
                           gint64 avoid_until, gint64 now) {
  OutlierVerdict verdict =
      outlier_verdict(evidence, failures, avoid_until, now);
  if (verdict == OUTLIER_UP)
    return FALSE;
  if (failures > 0 && evidence->heard_at == 0)
    return evidence->breaks >= OUTLIER_BREAKS_MIN &&
           now < avoid_until + OUTLIER_SAFE_TRIAL_TIME;
  return verdict == OUTLIER_DOWN && evidence->reported_since != 0;
}
