/*
** patience.c
** How long callers wait for an answer, by route
*/

#include "router/patience.h"

/* the longest time in this window and in the one before */
typedef struct Row {
  gint64 began; /* this window */
  gint64 longest;
  gint64 before;
} Row;

struct PatienceTable {
  GHashTable *rows; /* name of a route -> Row */
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

static gboolean is_over(gpointer name, gpointer value, gpointer now) {
  const Row *row = value;
  (void)name;
  return *(gint64 *)now - row->began >= 2 * PATIENCE_WINDOW;
}

/* routes come and go: a new one takes those along that nobody asks for */
static Row *row_new(PatienceTable *table, const char *route, gint64 now) {
  Row *row = g_new0(Row, 1);
  g_hash_table_foreach_remove(table->rows, is_over, &now);
  row->began = now;
  g_hash_table_insert(table->rows, g_strdup(route), row);
  return row;
}

static void turn(Row *row, gint64 now) {
  gint64 age = now - row->began;
  if (age < PATIENCE_WINDOW)
    return;
  row->before = age < 2 * PATIENCE_WINDOW ? row->longest : 0;
  row->longest = 0;
  row->began = now;
}

gint64 patience_table_observe(PatienceTable *table, const char *route,
                              gint64 patience, gint64 now) {
  Row *row = g_hash_table_lookup(table->rows, route);
  if (row == NULL)
    row = row_new(table, route, now);
  turn(row, now);
  row->longest = MAX(row->longest, patience);
  return MAX(row->longest, row->before);
}
