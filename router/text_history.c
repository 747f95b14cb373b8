/*
** text_history.c
** The latest changes of one object's text, as patches
*/

#include "router/text_history.h"
#include "router/text_patch.h"

/*
** Bounds of a history, inclusive: the number of changes, and the bytes of all
** their patches.
*/
#define CHANGES_MAX 128
#define PATCH_BYTES_MAX (16 << 10)

struct TextHistory {
  GArray *changes; /* TextChange, the oldest one first */
  gsize bytes;     /* total size of the patches */
};

static void clear_change(gpointer p) {
  TextChange *change = p;
  g_bytes_unref(change->patch);
}

GArray *text_changes_new(void) {
  GArray *changes = g_array_new(FALSE, FALSE, sizeof(TextChange));
  g_array_set_clear_func(changes, clear_change);
  return changes;
}

void text_changes_add(GArray *changes, StorePosition from, StorePosition to,
                      GBytes *patch) {
  TextChange change = {from, to, g_bytes_ref(patch)};
  g_array_append_val(changes, change);
}

static const TextChange *change_at(const GArray *changes, guint i) {
  return &g_array_index(changes, TextChange, i);
}

char *text_changes_apply(const GArray *changes, const char *from) {
  char *text = g_strdup(from);
  guint i;
  for (i = 0; text != NULL && i < changes->len; i++) {
    const TextChange *change = change_at(changes, i);
    char *older = text;
    text = text_patch_apply(older, g_bytes_get_data(change->patch, NULL),
                            g_bytes_get_size(change->patch));
    g_free(older);
  }
  return text;
}

TextHistory *text_history_new(void) {
  TextHistory *history = g_new0(TextHistory, 1);
  history->changes = text_changes_new();
  return history;
}

void text_history_free(TextHistory *history) {
  if (history == NULL)
    return;
  g_array_free(history->changes, TRUE);
  g_free(history);
}

static void drop_oldest(TextHistory *history) {
  history->bytes -= g_bytes_get_size(change_at(history->changes, 0)->patch);
  g_array_remove_index(history->changes, 0);
}

static gboolean leaves_gap(const TextHistory *history, StorePosition from) {
  guint count = history->changes->len;
  return count > 0 &&
         store_position_compare(change_at(history->changes, count - 1)->to,
                                from) != 0;
}

void text_history_add(TextHistory *history, StorePosition from,
                      StorePosition to, GBytes *patch) {
  while (history->changes->len > 0 && leaves_gap(history, from))
    drop_oldest(history);
  text_changes_add(history->changes, from, to, patch);
  history->bytes += g_bytes_get_size(patch);
  while (history->changes->len > CHANGES_MAX ||
         history->bytes > PATCH_BYTES_MAX)
    drop_oldest(history);
}

GArray *text_history_since(const TextHistory *history,
                           StorePosition position) {
  GArray *since;
  guint i = 0;
  while (
      i < history->changes->len &&
      !store_position_is_before(position, change_at(history->changes, i)->to))
    i++;
  if (i == history->changes->len ||
      store_position_is_before(position, change_at(history->changes, i)->from))
    return NULL;
  since = text_changes_new();
  for (; i < history->changes->len; i++) {
    const TextChange *change = change_at(history->changes, i);
    text_changes_add(since, change->from, change->to, change->patch);
  }
  return since;
}
