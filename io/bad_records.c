/*
** bad_records.c
** The objects of the store that cannot be used
*/

#include "io/bad_records.h"

/* the fields of one object that have been logged, a bit for each */
typedef guint32 FieldSet;

G_STATIC_ASSERT(RECORD_FIELD_COUNT <= 8 * sizeof(FieldSet));

struct BadRecords {
  Log *log;
  /* by StoreKind: name (owned) -> FieldSet */
  GHashTable *logged[MP_RELAY_KINDS];
  guint64 totals[MP_RELAY_KINDS][RECORD_FIELD_COUNT];
};

BadRecords *bad_records_new(Log *log) {
  BadRecords *bad = g_new0(BadRecords, 1);
  int kind;
  bad->log = log;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    bad->logged[kind] =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return bad;
}

void bad_records_free(BadRecords *bad) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    g_hash_table_destroy(bad->logged[kind]);
  g_free(bad);
}

/*
** Remembers that the object is bad by this field. Returns FALSE when it is
** remembered already, or there is no room for another object.
*/
static gboolean remember(GHashTable *logged, const char *name,
                         RecordField field) {
  FieldSet fields = GPOINTER_TO_UINT(g_hash_table_lookup(logged, name));
  FieldSet bit = (FieldSet)1 << field;
  if ((fields & bit) != 0 ||
      (fields == 0 && g_hash_table_size(logged) >= BAD_RECORDS_MAX))
    return FALSE;
  g_hash_table_insert(logged, g_strdup(name), GUINT_TO_POINTER(fields | bit));
  return TRUE;
}

void bad_records_add(BadRecords *bad, StoreKind kind, const char *name,
                     GError *error) {
  RecordField field = record_error_field(error);
  bad->totals[kind][field]++;
  if (remember(bad->logged[kind], name, field))
    log_numbered(bad->log, MP_LOG_STORE_RECORD_BAD,
                 " kind=%d name=%s error=\"%s\"", (int)kind, name,
                 error != NULL ? error->message : "unreadable");
  g_clear_error(&error);
}

void bad_records_remove(BadRecords *bad, StoreKind kind, const char *name) {
  g_hash_table_remove(bad->logged[kind], name);
}

/* Is the object absent from the list whose names are the keys of 'names'? */
static gboolean is_unlisted(gpointer name, gpointer fields, gpointer names) {
  (void)fields;
  return !g_hash_table_contains(names, name);
}

void bad_records_keep(BadRecords *bad, StoreKind kind, GHashTable *names) {
  g_hash_table_foreach_remove(bad->logged[kind], is_unlisted, names);
}

guint64 bad_records_total(const BadRecords *bad, StoreKind kind,
                          RecordField field) {
  return bad->totals[kind][field];
}

guint bad_records_present(const BadRecords *bad, StoreKind kind) {
  return g_hash_table_size(bad->logged[kind]);
}
