/*
** key_table.c
** Finds the client account that an API key belongs to
*/

#include "key_table.h"

struct KeyTable {
  /* SHA-256 digest of a key, hexadecimal -> index of the account that has it,
  ** in the configuration's list of accounts */
  GHashTable *accounts;
};

KeyTable *key_table_new(void) {
  KeyTable *table = g_new0(KeyTable, 1);
  table->accounts =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

void key_table_free(KeyTable *table) {
  if (table == NULL)
    return;
  g_hash_table_destroy(table->accounts);
  g_free(table);
}

void key_table_add(KeyTable *table, const char *digest, guint account) {
  if (!g_hash_table_contains(table->accounts, digest))
    g_hash_table_insert(table->accounts, g_strdup(digest),
                        GUINT_TO_POINTER(account));
}

gboolean key_table_find(const KeyTable *table, const char *digest,
                        guint *account) {
  gpointer index;
  if (!g_hash_table_lookup_extended(table->accounts, digest, NULL, &index))
    return FALSE;
  *account = GPOINTER_TO_UINT(index);
  return TRUE;
}
