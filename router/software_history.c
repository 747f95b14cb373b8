/*
** software_history.c
** Which versions of their software the endpoints of each service have had
*/

#include "router/software_history.h"

/* A version that was not listed for this long counts as new when it returns.
 */
#define RETURN_TIME (10 * G_TIME_SPAN_SECOND)
/* A version that is not listed is remembered for this long. */
#define KEEP_TIME (G_TIME_SPAN_HOUR)

typedef struct Row {
  guint64 software;
  guint32 service;
  guint endpoints;     /* listed now */
  gint64 known_since;  /* start of the time for which it has been listed,
                       ** ignoring short absences */
  gint64 listed_until; /* 'endpoints' is 0: when the last one was removed */
} Row;

struct SoftwareHistory {
  GHashTable *rows; /* Row.software -> Row (owned) */
};

SoftwareHistory *software_history_new(void) {
  SoftwareHistory *history = g_new0(SoftwareHistory, 1);
  history->rows =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return history;
}

void software_history_free(SoftwareHistory *history) {
  g_hash_table_destroy(history->rows);
  g_free(history);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now) {
  const Row *row = value;
  (void)key;
  return row->endpoints == 0 && *(gint64 *)now - row->listed_until > KEEP_TIME;
}

static Row *add_row(SoftwareHistory *history, guint32 service,
                    guint64 software, gint64 now) {
  Row *row = g_new0(Row, 1);
  g_hash_table_foreach_remove(history->rows, is_forgotten, &now);
  row->software = software;
  row->service = service;
  row->known_since = now;
  row->listed_until = now;
  g_hash_table_insert(history->rows, &row->software, row);
  return row;
}

void software_history_add(SoftwareHistory *history, guint32 service,
                          guint64 software, gint64 now) {
  Row *row = g_hash_table_lookup(history->rows, &software);
  if (row == NULL)
    row = add_row(history, service, software, now);
  if (row->endpoints == 0 && now - row->listed_until >= RETURN_TIME)
    row->known_since = now;
  row->endpoints++;
}

void software_history_remove(SoftwareHistory *history, guint64 software,
                             gint64 now) {
  Row *row = g_hash_table_lookup(history->rows, &software);
  if (row == NULL || row->endpoints == 0)
    return;
  row->endpoints--;
  row->listed_until = now;
}

gint64 software_history_known_since(const SoftwareHistory *history,
                                    guint64 software) {
  const Row *row = g_hash_table_lookup(history->rows, &software);
  return row != NULL ? row->known_since : G_MAXINT64;
}

guint64 software_history_only(const SoftwareHistory *history, guint32 service,
                              gint64 since) {
  GHashTableIter iterator;
  gpointer value;
  guint64 only = 0;
  g_hash_table_iter_init(&iterator, history->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    if (row->service != service ||
        (row->endpoints == 0 && row->listed_until < since))
      continue;
    if (only != 0)
      return 0;
    only = row->software;
  }
  return only;
}

/* Appends the versions that are listed now, or those that are not. */
static guint append_listed(const SoftwareHistory *history, guint32 service,
                           gint64 since, gboolean is_listed,
                           ListedSoftware *out, guint count, guint most) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, history->rows);
  while (count < most && g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Row *row = value;
    if (row->service != service || (row->endpoints > 0) != is_listed ||
        (!is_listed && row->listed_until < since))
      continue;
    out[count].software = row->software;
    out[count++].known_since = row->known_since;
  }
  return count;
}

guint software_history_list(const SoftwareHistory *history, guint32 service,
                            gint64 since, ListedSoftware *out, guint most) {
  guint count = append_listed(history, service, since, TRUE, out, 0, most);
  return append_listed(history, service, since, FALSE, out, count, most);
}
