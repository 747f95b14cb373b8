/*
** follower_answer.c
** Answers the queries of other instances with what a follower knows
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/follower.h"

guint64 follower_digest(const Follower *follower) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  guint64 digest = 0;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    const FollowedObject *object = value;
    guint64 message[3] = {XXH3_64bits(name, strlen(name)),
                          object->position.era,
                          (guint64)object->position.revision};
    if (object->text == NULL)
      continue;
    /* A sum doesn't depend on the order of the hash table. */
    digest +=
        XXH3_64bits_withSeed(message, sizeof message,
                             XXH3_64bits(object->text, strlen(object->text)));
  }
  return digest;
}

/* Writes the text, or the patches since 'since'. */
static void write_text_or_changes(const FollowedObject *known,
                                  StorePosition since, gboolean in_full,
                                  StoreObject *out) {
  if (known->history != NULL && !in_full)
    out->changes = text_history_since(known->history, since);
  if (out->changes == NULL)
    out->text = g_strdup(known->text);
}

void follower_answer(const Follower *follower, const FollowerQuery *query,
                     StoreReply *out) {
  gboolean is_first = store_position_is_none(query->since);
  gboolean is_same = is_first && query->digest != 0 &&
                     query->digest == follower_digest(follower);
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  memset(out, 0, sizeof *out);
  out->at = follower->known;
  out->from_stale_list = follower->from_stale_list;
  out->status = follower_is_synced(follower) ? STORE_OK : STORE_FAILED;
  if (out->status != STORE_OK)
    return;
  out->whole = is_same ||
               (!is_first && store_position_is_before(
                                 query->since, follower->removals_unknown_to));
  out->objects = store_objects_new();
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    const FollowedObject *known = value;
    StoreObject object = {0};
    /* not changed after what the caller knows */
    gboolean is_unchanged =
        is_same || !store_position_is_before(query->since, known->changed_by);
    if (is_unchanged && !(out->whole && known->text != NULL))
      continue;
    if (is_first && known->text == NULL)
      continue;
    object.name = g_strdup(name);
    object.position = known->position;
    object.gone = known->text == NULL;
    if (!is_unchanged)
      write_text_or_changes(known, query->since, query->in_full, &object);
    g_array_append_val(out->objects, object);
  }
}
