/*
** instance_table.c
** The registered instances, and what this instance uses each of them for
*/

#include <string.h>

#include "io/instance_table.h"
#include "router/relay_members.h"

static void instance_free(gpointer p) {
  instance_record_clear(p);
  g_free(p);
}

GHashTable *instance_table_new(void) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, instance_free);
}

/* Is the instance absent from the list whose names are the keys of 'names'? */
static gboolean is_unlisted(gpointer name, gpointer instance, gpointer names) {
  (void)instance;
  return !g_hash_table_contains(names, name);
}

void instance_table_keep(GHashTable *table, GHashTable *names) {
  g_hash_table_foreach_remove(table, is_unlisted, names);
}

/* Do both instances answer queries for the store's objects? */
static gboolean both_answer(const InstanceRecord *own,
                            const InstanceRecord *instance) {
  return instance->control != 0 && own->control != 0;
}

static void add(OtherInstances *others, const InstanceRecord *own,
                const InstanceRecord *instance) {
  RelayMember member = {instance->exchange, g_str_hash(instance->zone),
                        instance->capacity};
  g_array_append_val(others->all, instance->exchange);
  g_array_append_val(others->carriers, member);
  if (!both_answer(own, instance))
    return;
  if (strcmp(instance->zone, own->zone) == 0) {
    g_array_append_val(others->near, instance->exchange);
    g_array_append_val(others->members, member);
  } else
    g_array_append_val(others->far, member);
}

void other_instances_collect(OtherInstances *out, GHashTable *table,
                             const char *name, const InstanceRecord *own) {
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  out->all = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  out->carriers = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  out->near = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  out->members = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  out->far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  g_hash_table_iter_init(&iterator, table);
  while (g_hash_table_iter_next(&iterator, &key, &value)) {
    if (strcmp(key, name) != 0)
      add(out, own, value);
  }
}

void other_instances_clear(OtherInstances *others) {
  g_array_free(others->all, TRUE);
  g_array_free(others->carriers, TRUE);
  g_array_free(others->near, TRUE);
  g_array_free(others->members, TRUE);
  g_array_free(others->far, TRUE);
}
