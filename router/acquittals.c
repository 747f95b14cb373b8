/*
** acquittals.c
** Remembers parts of prompts on which endpoints wrote answers and lived on
*/

#include "router/acquittals.h"

/* At most this many parts are remembered, at some 50 bytes each. While there
** are as many, further ones are not; three strikes hold such a part. */
#define PARTS_MAX 16384

typedef struct Acquittal {
  guint64 part;
  gint64 at;
} Acquittal;

struct Acquittals {
  GHashTable *by_part; /* Acquittal.part -> Acquittal (owned) */
};

Acquittals *acquittals_new(void) {
  Acquittals *acquittals = g_new0(Acquittals, 1);
  acquittals->by_part =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return acquittals;
}

void acquittals_free(Acquittals *acquittals) {
  g_hash_table_destroy(acquittals->by_part);
  g_free(acquittals);
}

void acquittals_note(Acquittals *acquittals, guint64 part, gint64 at) {
  Acquittal *known = g_hash_table_lookup(acquittals->by_part, &part);
  if (known != NULL) {
    known->at = MAX(known->at, at);
    return;
  }
  if (g_hash_table_size(acquittals->by_part) >= PARTS_MAX)
    return;
  known = g_new(Acquittal, 1);
  known->part = part;
  known->at = at;
  g_hash_table_insert(acquittals->by_part, &known->part, known);
}

gint64 acquittals_latest(const Acquittals *acquittals, guint64 part) {
  const Acquittal *known = g_hash_table_lookup(acquittals->by_part, &part);
  return known != NULL ? known->at : G_MININT64;
}

static gboolean is_too_old(gpointer key, gpointer value, gpointer now) {
  (void)key;
  return *(const gint64 *)now - ((const Acquittal *)value)->at >
         ACQUITTAL_LIFETIME;
}

void acquittals_expire(Acquittals *acquittals, gint64 now) {
  g_hash_table_foreach_remove(acquittals->by_part, is_too_old, &now);
}
