/*
** follower.c
** Following one kind of object of the store
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

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
#define PARTIAL_RELIST_DELAY (5 * MP_SEC)
/* the first list of an era is read again after this, and counts then as it
** stands: endpoints that live have entered themselves anew within 2 s of the
** store's return */
#define RECONCILE_AFTER (2500 * MP_MS)
/* what is known by a list that may be old is listed again after this:
** instances that start together have found their relays by then */
#define VERIFY_AFTER (1 * MP_SEC)
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

void store_reply_set_era(StoreReply *reply, guint64 era) {
  guint i;
  reply->at.era = era;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++)
    g_array_index(reply->objects, StoreObject, i).position.era = era;
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
  follower->retry_wait_max = RETRY_MOST;
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

gint64 follower_next_call_time(const Follower *follower) {
  return follower->open || follower->taking ? G_MAXINT64 : follower->retry_at;
}

static void list_again(Follower *follower);

/* of the names, positions and texts of all objects that there are; 0: none */
static guint64 digest_of(const Follower *follower) {
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
    /* a sum: the order in a table is no property of what it holds */
    digest +=
        XXH3_64bits_withSeed(message, sizeof message,
                             XXH3_64bits(object->text, strlen(object->text)));
  }
  return digest;
}

void follower_check_relist(Follower *follower, gint64 now) {
  if (!follower->open && !follower->taking && follower->relist_at != 0 &&
      follower->relist_at <= now)
    list_again(follower);
}

void follower_begin_call(Follower *follower, gboolean by_instance,
                         StoreCall *call) {
  memset(call, 0, sizeof *call);
  follower->open = TRUE;
  follower->by_instance = by_instance;
  follower->open_list_is_stale = FALSE;
  follower->listing =
      !follower->watching || (follower->lapsed && !by_instance);
  call->kind = follower->kind;
  call->in_full = follower->in_full;
  if (!follower->listing) {
    call->operation = STORE_WATCH;
    call->position = follower->position;
    /* one that fails again soon is found out soon */
    call->wait = follower->failures > 0
                     ? MIN(follower->watch_wait, WAIT_AFTER_FAILURE)
                     : follower->watch_wait;
  } else {
    call->operation = STORE_LIST;
    call->after = follower->after;
    if (by_instance)
      call->digest = digest_of(follower);
  }
}

/*
** An older position than one that was seen does not take effect. An object
** that is known to be gone is back when an answer as new as that says so,
** also under its old position.
*/
static gboolean is_news(const Follower *follower, const FollowedObject *known,
                        const StoreObject *object, StorePosition at) {
  if (known == NULL)
    return TRUE;
  if (object->gone)
    return known->text != NULL;
  if (follower->from_stale_list)
    return store_position_compare(known->position, object->position) != 0 ||
           g_strcmp0(known->text, object->text) != 0;
  if (known->text == NULL)
    return !store_position_is_before(at, known->learned) ||
           store_position_is_before(known->position, object->position);
  return store_position_is_before(known->position, object->position);
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
    follower->forgotten =
        store_position_later(follower->forgotten, object->learned);
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
  text_history_add(known->history, known->position, object->position, patch);
  g_bytes_unref(patch);
}

/* keep what changed, for others */
static void keep_history(FollowedObject *known, const StoreObject *object) {
  if (object->gone || known->text == NULL ||
      known->position.era != object->position.era ||
      strlen(object->text) < SHORT_TEXT) {
    text_history_free(known->history);
    known->history = NULL;
    return;
  }
  if (known->history == NULL)
    known->history = text_history_new();
  if (object->changes != NULL)
    add_changes(known->history, object->changes);
  else if (store_position_is_before(known->position, object->position))
    add_difference(known, object);
}

/* it changed after all that is known: nobody can know more and lack it. A list
** names no position of what it removes */
static gboolean is_new(const Follower *follower, const StoreObject *told) {
  return !follower->listing && !told->gone &&
         store_position_is_before(follower->known, told->position);
}

/* others are told that there is news; not by a list that may be old */
static void name_change(Follower *follower, StorePosition at) {
  if (!follower->open_list_is_stale)
    follower->changed = store_position_later(follower->changed, at);
}

/* 'at' is the store's position in that answer */
static void keep_object(Follower *follower, const StoreObject *told,
                        StorePosition at) {
  const char *text = told->gone ? NULL : told->text;
  FollowedObject *object = g_hash_table_lookup(follower->objects, told->name);
  if (object == NULL) {
    object = g_new0(FollowedObject, 1);
    g_hash_table_insert(follower->objects, g_strdup(told->name), object);
  } else
    follower->gone -= object->text == NULL;
  keep_history(object, told);
  object->position =
      follower->from_stale_list
          ? told->position
          : store_position_later(object->position, told->position);
  object->learned = is_new(follower, told)
                        ? told->position
                        : store_position_later(at, object->position);
  g_free(object->text);
  object->text = g_strdup(text);
  follower->gone += text == NULL;
  name_change(follower, object->learned);
  forget_gone(follower);
}

static void take_object(Follower *follower, const StoreObject *object,
                        StorePosition at) {
  const FollowedObject *known =
      g_hash_table_lookup(follower->objects, object->name);
  if (!is_news(follower, known, object, at))
    return;
  keep_object(follower, object, at);
  follower->host.object(follower->host.data, follower->kind, object);
}

/* the text that the changes make of the one known; FALSE: they do not fit */
static gboolean resolve(const Follower *follower, StoreObject *object) {
  const FollowedObject *known =
      g_hash_table_lookup(follower->objects, object->name);
  if (known == NULL || known->text == NULL || object->changes->len == 0 ||
      store_position_compare(
          g_array_index(object->changes, TextChange, 0).from,
          known->position) != 0)
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

/* all objects are named: the others are gone, at the store's position 'at' */
static void keep_listed(Follower *follower, StorePosition at) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    FollowedObject *object = value;
    if (object->text == NULL || g_hash_table_contains(follower->names, name))
      continue;
    g_clear_pointer(&object->text, g_free);
    object->learned = store_position_later(at, object->position);
    name_change(follower, object->learned);
    follower->gone++;
  }
  forget_gone(follower);
}

/* 'names' holds all objects there are */
static void take_names(Follower *follower, StorePosition at) {
  follower->forgotten = store_position_later(follower->forgotten, at);
  keep_listed(follower, at);
  follower->host.listed(follower->host.data, follower->kind, follower->names);
  g_hash_table_remove_all(follower->names);
}

static void end_list(Follower *follower, const StoreReply *reply, gint64 now) {
  /* changes made while the pages are read are watched from the first */
  follower->position = follower->listed;
  if (follower->partial) {
    g_hash_table_remove_all(follower->names);
    follower->relist_at = now + PARTIAL_RELIST_DELAY;
  } else if (follower->reconciling) {
    g_hash_table_remove_all(follower->names);
    follower->relist_at = now + RECONCILE_AFTER;
    /* an era in which nothing has changed is news, too */
    follower->changed =
        store_position_later(follower->changed, follower->position);
  } else
    take_names(follower, follower->position);
  follower->from_stale_list =
      follower->open_list_is_stale || reply->from_stale_list;
  if (follower->from_stale_list)
    follower->relist_at = now + VERIFY_AFTER;
  follower->reconciling = FALSE;
  follower->watching = TRUE;
  follower->known = store_position_later(follower->known, follower->position);
  if (store_position_is_none(follower->changed)) /* no object is news too */
    name_change(follower, follower->known);
}

static void take_list(Follower *follower, const StoreReply *reply,
                      gint64 now) {
  guint count = reply->objects != NULL ? reply->objects->len : 0;
  follower->partial |= reply->partial;
  g_clear_pointer(&follower->after, g_free);
  if (reply->more && count > 0) {
    const StoreObject *last =
        &g_array_index(reply->objects, StoreObject, count - 1);
    follower->after = g_strdup(last->name);
    return;
  }
  end_list(follower, reply, now);
}

static void list_again(Follower *follower) {
  follower->watching = FALSE;
  follower->position = store_position_none();
  follower->reconciling = FALSE;
  follower->partial = FALSE;
  follower->relist_at = 0;
  g_clear_pointer(&follower->after, g_free);
  g_hash_table_remove_all(follower->names);
}

static gboolean has_one_object(const Follower *follower) {
  return follower->kind == STORE_CONFIGURATION;
}

void follower_abandon_store_call(Follower *follower, gint64 now) {
  follower->lapsed = has_one_object(follower);
  follower_abandon_call(follower, now);
}

static void failed(Follower *follower, gint64 now) {
  gint64 wait = RETRY_FIRST << MIN(follower->failures, RETRY_DOUBLED);
  if (follower->failures++ == 0)
    follower->host.lost(follower->host.data, follower->kind);
  follower->lapsed = has_one_object(follower);
  follower->retry_at = now + MIN(wait, follower->retry_wait_max);
}

/* a list that is older than what is known would bring old things back, and so
** would anything of an older era */
static gboolean is_overtaken(const Follower *follower,
                             const StoreReply *reply) {
  if (follower->listing)
    return store_position_is_before(reply->at, follower->known);
  return reply->at.era < follower->known.era;
}

/* a watch that the store answers in a newer era says nothing of what stands
** there, and a list whose pages are of two eras is none */
static gboolean is_of_two_eras(const Follower *follower,
                               const StoreReply *reply) {
  if (follower->listing)
    return follower->after != NULL && reply->at.era != follower->listed.era;
  return !follower->by_instance && reply->at.era != follower->known.era;
}

void follower_observe_era(Follower *follower, guint64 era) {
  if (follower_is_synced(follower) && follower->known.era < era &&
      follower->watching && !follower->open)
    list_again(follower);
}

void follower_abandon_call(Follower *follower, gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
}

gboolean follower_is_synced(const Follower *follower) {
  return !store_position_is_none(follower->known);
}

/* a relay's answer that names all objects there are */
static void take_whole(Follower *follower, const StoreReply *reply,
                       gint64 now) {
  if (reply->whole && reply->at.era > follower->known.era)
    follower->relist_at = now + RECONCILE_AFTER;
  else if (reply->whole &&
           !store_position_is_before(reply->at, follower->known))
    take_names(follower, reply->at);
  g_hash_table_remove_all(follower->names);
}

/* 'returned': what was known is of another era than the list */
static void begin_list(Follower *follower, const StoreReply *reply,
                       gboolean returned) {
  follower->listed = reply->at;
  follower->reconciling = returned;
}

static void forget_position(gpointer name, gpointer value, gpointer data) {
  FollowedObject *object = value;
  (void)name;
  (void)data;
  object->position = store_position_none();
  object->learned = store_position_none();
}

/* the store has nothing as new as what a list showed that may have been from
** before the store's era: it was */
static void forget_positions(Follower *follower) {
  g_hash_table_foreach(follower->objects, forget_position, NULL);
  follower->known = store_position_none();
  follower->changed = store_position_none();
  follower->forgotten = store_position_none();
}

static gboolean is_disproved(const Follower *follower,
                             const StoreReply *reply) {
  return follower->from_stale_list && follower->listing &&
         !reply->from_stale_list && reply->status == STORE_OK &&
         reply->at.era == follower->known.era &&
         store_position_is_before(reply->at, follower->known);
}

static void take(Follower *follower, const StoreReply *reply, gint64 now) {
  gboolean disproved = is_disproved(follower, reply);
  gboolean returned = disproved || (follower_is_synced(follower) &&
                                    reply->at.era != follower->known.era);
  if (disproved)
    forget_positions(follower);
  if (reply->status == STORE_HISTORY_GONE) {
    if (follower->history_gone) /* the list before was of no use either */
      follower->retry_at = now + RETRY_FIRST;
    follower->history_gone = TRUE;
    list_again(follower);
    return;
  }
  if (reply->status != STORE_OK || is_overtaken(follower, reply)) {
    follower->overtaken += reply->status == STORE_OK;
    failed(follower, now);
    return;
  }
  if (is_of_two_eras(follower, reply)) {
    list_again(follower);
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
  if (!follower->listing)
    follower->history_gone = FALSE;
  if (follower->listing && follower->after == NULL)
    begin_list(follower, reply, returned);
  take_objects(follower, reply);
  if (!follower->listing && reply->objects != NULL && reply->objects->len > 0)
    follower->retry_at = now + follower->pause;
  if (!follower->listing) {
    take_whole(follower, reply, now);
    follower->position = store_position_later(follower->position, reply->at);
    follower->known = follower->position;
  } else
    take_list(follower, reply, now);
}

void follower_handle_reply(Follower *follower, const StoreReply *reply,
                           gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
  follower->taking = TRUE;
  take(follower, reply, now);
  follower->taking = FALSE;
  follower_check_relist(follower, now);
}

/* the text, or what has changed since */
static void write_content(const FollowedObject *known, StorePosition since,
                          gboolean in_full, StoreObject *out) {
  if (known->history != NULL && !in_full)
    out->changes = text_history_since(known->history, since);
  if (out->changes == NULL)
    out->text = g_strdup(known->text);
}

void follower_answer(const Follower *follower, const FollowerQuery *query,
                     StoreReply *out) {
  gboolean is_first = store_position_is_none(query->since);
  gboolean is_same =
      is_first && query->digest != 0 && query->digest == digest_of(follower);
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  memset(out, 0, sizeof *out);
  out->at = follower->known;
  out->from_stale_list = follower->from_stale_list;
  out->status = follower_is_synced(follower) ? STORE_OK : STORE_FAILED;
  if (out->status != STORE_OK)
    return;
  out->whole =
      is_same || (!is_first &&
                  store_position_is_before(query->since, follower->forgotten));
  out->objects = store_objects_new();
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    const FollowedObject *known = value;
    StoreObject object = {0};
    gboolean is_old =
        is_same || !store_position_is_before(query->since, known->learned);
    if (is_old && !(out->whole && known->text != NULL))
      continue;
    if (is_first && known->text == NULL)
      continue;
    object.name = g_strdup(name);
    object.position = known->position;
    object.gone = known->text == NULL;
    if (!is_old)
      write_content(known, query->since, query->in_full, &object);
    g_array_append_val(out->objects, object);
  }
}
