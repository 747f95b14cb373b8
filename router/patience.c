/*
** patience.c
** The longest request timeout that callers of a route had lately
*/

#include "router/patience.h"

/* The longest patience of a route in the current window and in the one before
** it, in microseconds. */
typedef struct Row {
  gint64 began;    /* start of the current window */
  gint64 longest;  /* in the current window */
  gint64 previous; /* in the window before; 0: none */
} Row;

struct PatienceTable {
  GHashTable *rows; /* route name (owned) -> Row (owned) */
};

PatienceTable *patience_table_new(void) {
  PatienceTable *table = g_new0(PatienceTable, 1);
  table->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void patience_table_free(PatienceTable *table) {
  g_hash_table_destroy(table->rows);
  g_free(table);
}

/* Matches rows whose window began two windows ago or earlier: nothing in them
** counts any more. */
static gboolean is_stale(gpointer name, gpointer value, gpointer now) {
  const Row *row = value;
  (void)name;
  return *(gint64 *)now - row->began >= 2 * PATIENCE_WINDOW;
}

/* Adds a row for the route. Rows of routes that get no requests any more
** are removed on this occasion, so the table does not grow as routes come
** and go. */
static Row *row_new(PatienceTable *table, const char *route, gint64 now) {
  Row *row = g_new0(Row, 1);
  g_hash_table_foreach_remove(table->rows, is_stale, &now);
  row->began = now;
  g_hash_table_insert(table->rows, g_strdup(route), row);
  return row;
}

/* Starts a new window if the current one is PATIENCE_WINDOW old. */
static void rotate_window(Row *row, gint64 now) {
  gint64 age = now - row->began;
  if (age < PATIENCE_WINDOW)
    return;
  row->previous = age < 2 * PATIENCE_WINDOW ? row->longest : 0;
  row->longest = 0;
  row->began = now;
}

gint64 patience_table_observe(PatienceTable *table, const char *route,
                              gint64 patience, gint64 now) {
  Row *row = g_hash_table_lookup(table->rows, route);
  if (row == NULL)
    row = row_new(table, route, now);
  rotate_window(row, now);
  row->longest = MAX(row->longest, patience);
  return MAX(row->longest, row->previous);
}
