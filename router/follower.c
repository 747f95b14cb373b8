/*
** follower.c
** Following one kind of object of the store
*/

#include <string.h>

#include "router/follower.h"
#include "router/text_patch.h"

/* waits after failures in a row: doubled from the first to the most; changes
** are heard within this after the store is back */
#define RETRY_FIRST (100 * MP_MS)
#define RETRY_MOST (800 * MP_MS)
#define RETRY_DOUBLED 6 /* times at most */
/* the store may still be silent: no long wait until it has answered */
#define WAIT_AFTER_FAILURE (300 * MP_MS)
/* a list that may hide objects is read again after this: what went before it
** is known to have gone then, if the list is whole; one call in 5 s for each
** instance that follows the store is a hundredth of what a small store takes
*/
#define PARTIAL_AGAIN (5 * MP_SEC)
/* objects that are gone and still told to others: ten times the endpoints
** of the largest deployment planned for (docs/CAPACITY.md) */
#define GONE_MOST 8000
/* shorter texts travel whole, bytes: an endpoint's has some 300 */
#define SHORT_TEXT (4 << 10)

static void object_clear(gpointer p) {
  StoreObject *object = p;
  g_free(object->name);
  g_free(object->text);
  if (object->changes != NULL)
    g_array_free(object->changes, TRUE);
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

static void followed_object_free(gpointer p) {
  FollowedObject *object = p;
  g_free(object->text);
  text_history_free(object->history);
  g_free(object);
}

void follower_init(Follower *follower, StoreKind kind, gint64 watch_wait,
                   gint64 pause, const FollowerHost *host) {
  memset(follower, 0, sizeof *follower);
  follower->kind = kind;
  follower->host = *host;
  follower->watch_wait = watch_wait;
  follower->pause = pause;
  follower->retry_most = RETRY_MOST;
  follower->names =
      g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  follower->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            followed_object_free);
}

void follower_clear(Follower *follower) {
  g_hash_table_destroy(follower->names);
  g_hash_table_destroy(follower->objects);
  g_free(follower->after);
}

gint64 follower_next_call(const Follower *follower) {
  return follower->open || follower->taking ? G_MAXINT64 : follower->retry_at;
}

void follower_begin(Follower *follower, gboolean by_instance,
                    StoreCall *call) {
  memset(call, 0, sizeof *call);
  follower->open = TRUE;
  follower->listing =
      !follower->watching || (follower->lapsed && !by_instance);
  call->kind = follower->kind;
  call->in_full = follower->in_full;
  if (!follower->listing) {
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

/*
** An older revision than one that was seen does not take effect. An object
** that is known to be gone is back when an answer as new as that says so,
** also under its old revision.
*/
static gboolean is_news(const FollowedObject *known, const StoreObject *object,
                        gint64 at) {
  if (known == NULL)
    return TRUE;
  if (object->gone)
    return known->text != NULL;
  return known->revision < object->revision ||
         (known->text == NULL && at >= known->learned);
}

static void forget_gone(Follower *follower) {
  GHashTableIter iterator;
  gpointer value;
  if (follower->gone <= GONE_MOST)
    return;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const FollowedObject *object = value;
    if (object->text != NULL)
      continue;
    follower->forgotten = MAX(follower->forgotten, object->learned);
    g_hash_table_iter_remove(&iterator);
  }
  follower->gone = 0;
}

static void add_changes(TextHistory *history, const GArray *changes) {
  guint i;
  for (i = 0; i < changes->len; i++) {
    const TextChange *change = &g_array_index(changes, TextChange, i);
    text_history_add(history, change->from, change->to, change->patch);
  }
}

static void add_difference(const FollowedObject *known,
                           const StoreObject *object) {
  GBytes *patch = text_patch_new(known->text, object->text);
  text_history_add(known->history, known->revision, object->revision, patch);
  g_bytes_unref(patch);
}

/* keep what changed, for others */
static void keep_history(FollowedObject *known, const StoreObject *object) {
  if (object->gone || known->text == NULL ||
      strlen(object->text) < SHORT_TEXT) {
    text_history_free(known->history);
    known->history = NULL;
    return;
  }
  if (known->history == NULL)
    known->history = text_history_new();
  if (object->changes != NULL)
    add_changes(known->history, object->changes);
  else if (object->revision > known->revision)
    add_difference(known, object);
}

/* it changed after all that is known: nobody can know more and lack it. A list
** names no revision of what it removes */
static gboolean is_new(const Follower *follower, const StoreObject *told) {
  return !follower->listing && !told->gone && told->revision > follower->known;
}

/* 'at' is the store's revision in that answer */
static void keep_object(Follower *follower, const StoreObject *told,
                        gint64 at) {
  const char *text = told->gone ? NULL : told->text;
  FollowedObject *object = g_hash_table_lookup(follower->objects, told->name);
  if (object == NULL) {
    object = g_new0(FollowedObject, 1);
    g_hash_table_insert(follower->objects, g_strdup(told->name), object);
  } else
    follower->gone -= object->text == NULL;
  keep_history(object, told);
  object->revision = MAX(object->revision, told->revision);
  object->learned =
      is_new(follower, told) ? told->revision : MAX(at, object->revision);
  g_free(object->text);
  object->text = g_strdup(text);
  follower->gone += text == NULL;
  follower->changed = MAX(follower->changed, object->learned);
  forget_gone(follower);
}

static void take_object(Follower *follower, const StoreObject *object,
                        gint64 at) {
  const FollowedObject *known =
      g_hash_table_lookup(follower->objects, object->name);
  if (!is_news(known, object, at))
    return;
  keep_object(follower, object, at);
  follower->host.object(follower->host.data, follower->kind, object);
}

/* the text that the changes make of the one known; FALSE: they do not fit */
static gboolean resolve(const Follower *follower, StoreObject *object) {
  const FollowedObject *known =
      g_hash_table_lookup(follower->objects, object->name);
  if (known == NULL || known->text == NULL || object->changes->len == 0 ||
      g_array_index(object->changes, TextChange, 0).from != known->revision)
    return FALSE;
  object->text = text_changes_apply(object->changes, known->text);
  return object->text != NULL;
}

static gboolean resolve_all(const Follower *follower,
                            const StoreReply *reply) {
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if (object->changes != NULL && !resolve(follower, object))
      return FALSE;
  }
  return TRUE;
}

static void take_objects(Follower *follower, const StoreReply *reply) {
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if ((follower->listing || reply->whole) && !object->gone)
      g_hash_table_add(follower->names, g_strdup(object->name));
    if (object->gone || object->text != NULL)
      take_object(follower, object, reply->at);
  }
}

/* all objects are named: the others are gone, in the store's revision 'at' */
static void keep_listed(Follower *follower, gint64 at) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    FollowedObject *object = value;
    if (object->text == NULL || g_hash_table_contains(follower->names, name))
      continue;
    g_clear_pointer(&object->text, g_free);
    object->learned = MAX(at, object->revision);
    follower->changed = MAX(follower->changed, object->learned);
    follower->gone++;
  }
  forget_gone(follower);
}

/* 'names' holds all objects there are */
static void take_names(Follower *follower, gint64 at) {
  follower->forgotten = MAX(follower->forgotten, at);
  keep_listed(follower, at);
  follower->host.listed(follower->host.data, follower->kind, follower->names);
  g_hash_table_remove_all(follower->names);
}

static void take_list(Follower *follower, const StoreReply *reply,
                      gint64 now) {
  guint count = reply->objects != NULL ? reply->objects->len : 0;
  follower->partial |= reply->partial;
  if (follower->after == NULL)
    follower->list_revision = reply->at;
  g_clear_pointer(&follower->after, g_free);
  if (reply->more && count > 0) {
    const StoreObject *last =
        &g_array_index(reply->objects, StoreObject, count - 1);
    follower->after = g_strdup(last->name);
    return;
  }
  /* changes made while the pages are read are watched from the first */
  follower->revision = follower->list_revision;
  if (follower->partial) {
    g_hash_table_remove_all(follower->names);
    follower->list_at = now + PARTIAL_AGAIN;
  } else
    take_names(follower, follower->revision);
  follower->watching = TRUE;
  follower->known = MAX(follower->known, follower->revision);
  if (follower->changed == 0) /* an empty list is news too */
    follower->changed = follower->known;
}

static void list_again(Follower *follower) {
  follower->watching = FALSE;
  follower->revision = 0;
  follower->partial = FALSE;
  follower->list_at = 0;
  g_clear_pointer(&follower->after, g_free);
  g_hash_table_remove_all(follower->names);
}

static gboolean has_one_object(const Follower *follower) {
  return follower->kind == STORE_CONFIGURATION;
}

void follower_leave_store(Follower *follower, gint64 now) {
  follower->lapsed = has_one_object(follower);
  follower_abandon(follower, now);
}

static void failed(Follower *follower, gint64 now) {
  gint64 wait = RETRY_FIRST << MIN(follower->failures, RETRY_DOUBLED);
  if (follower->failures++ == 0)
    follower->host.lost(follower->host.data, follower->kind);
  follower->lapsed = has_one_object(follower);
  follower->retry_at = now + MIN(wait, follower->retry_most);
}

/* a list that is older than what is known would bring old things back */
static gboolean is_overtaken(const Follower *follower,
                             const StoreReply *reply) {
  return follower->listing && reply->at < follower->known;
}

void follower_abandon(Follower *follower, gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
}

gboolean follower_knows(const Follower *follower) {
  return follower->known > 0;
}

static void take(Follower *follower, const StoreReply *reply, gint64 now) {
  if (reply->status == STORE_HISTORY_GONE) {
    list_again(follower);
    return;
  }
  if (reply->status != STORE_OK || is_overtaken(follower, reply)) {
    follower->overtaken += reply->status == STORE_OK;
    failed(follower, now);
    return;
  }
  if (!resolve_all(follower, reply)) {
    follower->in_full = TRUE;
    return;
  }
  follower->in_full = FALSE;
  if (follower->failures > 0)
    follower->host.regained(follower->host.data, follower->kind);
  follower->failures = 0;
  follower->lapsed = FALSE;
  take_objects(follower, reply);
  if (!follower->listing && reply->objects != NULL && reply->objects->len > 0)
    follower->retry_at = now + follower->pause;
  if (!follower->listing) {
    if (reply->whole && reply->at >= follower->known)
      take_names(follower, reply->at);
    g_hash_table_remove_all(follower->names);
    follower->revision = MAX(follower->revision, reply->at);
    follower->known = follower->revision;
  } else
    take_list(follower, reply, now);
}

void follower_reply(Follower *follower, const StoreReply *reply, gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
  follower->taking = TRUE;
  take(follower, reply, now);
  if (follower->list_at != 0 && follower->list_at <= now)
    list_again(follower);
  follower->taking = FALSE;
}

/* the text, or what has changed since */
static void write_content(const FollowedObject *known, gint64 since,
                          gboolean in_full, StoreObject *out) {
  if (known->history != NULL && !in_full)
    out->changes = text_history_since(known->history, since);
  if (out->changes == NULL)
    out->text = g_strdup(known->text);
}

void follower_answer(const Follower *follower, gint64 since, gboolean in_full,
                     StoreReply *out) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  memset(out, 0, sizeof *out);
  out->at = follower->known;
  out->status = STORE_OK;
  if (follower->known == 0)
    out->status = STORE_FAILED;
  if (out->status != STORE_OK)
    return;
  out->whole = since > 0 && since < follower->forgotten;
  out->objects = store_objects_new();
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    const FollowedObject *known = value;
    StoreObject object = {0};
    gboolean is_old = known->learned <= since;
    if (is_old && !(out->whole && known->text != NULL))
      continue;
    if (since == 0 && known->text == NULL)
      continue;
    object.name = g_strdup(name);
    object.revision = known->revision;
    object.gone = known->text == NULL;
    if (!is_old)
      write_content(known, since, in_full, &object);
    g_array_append_val(out->objects, object);
  }
}
