/*
** follower.c
** Following one kind of object of the store
*/

#include <string.h>

#include "router/follower.h"

/* waits after failures in a row: doubled from the first to the most */
#define RETRY_FIRST (100 * MP_MS)
#define RETRY_MOST (800 * MP_MS)
/* the store may still be silent: no long wait until it has answered */
#define WAIT_AFTER_FAILURE (300 * MP_MS)

static void object_clear(gpointer p) {
  StoreObject *object = p;
  g_free(object->name);
  g_free(object->text);
}

void store_reply_clear(StoreReply *reply) {
  if (reply->objects != NULL)
    g_array_free(reply->objects, TRUE);
  memset(reply, 0, sizeof *reply);
}

GArray *store_objects_new(void) {
  GArray *objects = g_array_new(FALSE, TRUE, sizeof(StoreObject));
  g_array_set_clear_func(objects, object_clear);
  return objects;
}

void follower_init(Follower *follower, StoreKind kind, gint64 watch_wait,
                   gint64 pause, const FollowerHost *host) {
  memset(follower, 0, sizeof *follower);
  follower->kind = kind;
  follower->host = *host;
  follower->watch_wait = watch_wait;
  follower->pause = pause;
  follower->names =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  follower->revisions =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void follower_clear(Follower *follower) {
  g_hash_table_destroy(follower->names);
  g_hash_table_destroy(follower->revisions);
  g_free(follower->after);
}

gint64 follower_next_call(const Follower *follower) {
  return follower->open ? G_MAXINT64 : follower->retry_at;
}

void follower_begin(Follower *follower, StoreCall *call) {
  memset(call, 0, sizeof *call);
  follower->open = TRUE;
  call->kind = follower->kind;
  if (follower->watching) {
    call->operation = STORE_WATCH;
    call->revision = follower->revision;
    /* one that fails again soon is found out soon */
    call->wait = follower->failures > 0
                     ? MIN(follower->watch_wait, WAIT_AFTER_FAILURE)
                     : follower->watch_wait;
  } else {
    call->operation = STORE_LIST;
    call->after = follower->after;
  }
}

/* an older revision than one that was seen does not take effect */
static gboolean is_news(Follower *follower, const StoreObject *object) {
  gint64 *known = g_hash_table_lookup(follower->revisions, object->name);
  if (known != NULL && *known >= object->revision)
    return FALSE;
  known = g_new(gint64, 1);
  *known = object->revision;
  g_hash_table_replace(follower->revisions, g_strdup(object->name), known);
  return TRUE;
}

static void take_objects(Follower *follower, const StoreReply *reply) {
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if (!follower->watching)
      g_hash_table_add(follower->names, g_strdup(object->name));
    if (object->gone) {
      g_hash_table_remove(follower->revisions, object->name);
      follower->host.object(follower->host.data, follower->kind, object);
    } else if (is_news(follower, object))
      follower->host.object(follower->host.data, follower->kind, object);
  }
}

static void take_list(Follower *follower, const StoreReply *reply) {
  guint count = reply->objects != NULL ? reply->objects->len : 0;
  g_clear_pointer(&follower->after, g_free);
  if (reply->more && count > 0) {
    const StoreObject *last =
        &g_array_index(reply->objects, StoreObject, count - 1);
    /* changes made while the pages are read are watched from the first */
    if (follower->revision == 0)
      follower->revision = reply->at;
    follower->after = g_strdup(last->name);
    return;
  }
  if (follower->revision == 0)
    follower->revision = reply->at;
  follower->host.listed(follower->host.data, follower->kind, follower->names);
  g_hash_table_remove_all(follower->names);
  follower->watching = TRUE;
}

static void list_again(Follower *follower) {
  follower->watching = FALSE;
  follower->revision = 0;
  g_clear_pointer(&follower->after, g_free);
  g_hash_table_remove_all(follower->names);
}

static void failed(Follower *follower, gint64 now) {
  gint64 wait = RETRY_FIRST << MIN(follower->failures, 4);
  if (follower->failures++ == 0)
    follower->host.lost(follower->host.data, follower->kind);
  follower->retry_at = now + MIN(wait, RETRY_MOST);
}

void follower_reply(Follower *follower, const StoreReply *reply, gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
  if (reply->status == STORE_HISTORY_GONE) {
    list_again(follower);
    return;
  }
  if (reply->status != STORE_OK) {
    failed(follower, now);
    return;
  }
  if (follower->failures > 0)
    follower->host.regained(follower->host.data, follower->kind);
  follower->failures = 0;
  take_objects(follower, reply);
  if (follower->watching && reply->objects != NULL && reply->objects->len > 0)
    follower->retry_at = now + follower->pause;
  if (follower->watching)
    follower->revision = MAX(follower->revision, reply->at);
  else
    take_list(follower, reply);
}
