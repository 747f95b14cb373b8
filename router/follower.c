/*
** follower.c
** Replicates one kind of the store's objects: list, then watch
*/

#include <string.h>

#include "router/follower.h"
#include "router/text_patch.h"

/*
** Waits after failures in a row: doubled from the first one up to the longest.
** Changes are received within the longest wait after the store is back.
*/
#define RETRY_WAIT_FIRST (100 * MP_MS)
#define RETRY_WAIT_MAX (800 * MP_MS)
#define RETRY_DOUBLINGS_MAX 6 /* 6.4 s, beyond each longest wait */
/*
** Longest wait of a watch after a failure, until the store has answered again:
** a store that is still silent is then noticed soon.
*/
#define WATCH_WAIT_AFTER_FAILURE (300 * MP_MS)
/*
** A partial list is read again after this. A complete list then also removes
** the objects that were removed before the partial one was read. One call in 5
** s for each instance that follows the store is a hundredth of the load that a
** small store can take.
*/
#define PARTIAL_RELIST_DELAY (5 * MP_SEC)
/*
** The first list of an era removes no object. The store is listed again after
** this, and that second list removes every object that it lacks: endpoints
** that are alive have registered again within 2 s of the store's return.
*/
#define RECONCILE_DELAY (2500 * MP_MS)
/*
** A list that may be stale (StoreCall.stale) is read again after this, when
** instances that start together have found their relays.
*/
#define STALE_RELIST_DELAY (1 * MP_SEC)
/*
** Largest number of tombstones that are kept for other instances, inclusive:
** ten times the endpoints of the largest deployment planned for
** (docs/CAPACITY.md).
*/
#define TOMBSTONES_MAX 8000
/*
** Texts shorter than this, in bytes, travel whole; an endpoint's text has
** about 300 bytes.
*/
#define HISTORY_TEXT_MIN (4 << 10)

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
  follower->retry_wait_max = RETRY_WAIT_MAX;
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
  return follower->open || follower->is_handling_reply ? G_MAXINT64
                                                       : follower->retry_at;
}

static void begin_relist(Follower *follower);

void follower_check_relist(Follower *follower, gint64 now) {
  if (!follower->open && !follower->is_handling_reply &&
      follower->relist_at != 0 && follower->relist_at <= now)
    begin_relist(follower);
}

void follower_hasten_relist(Follower *follower, gint64 at) {
  if (follower->relist_at != 0)
    follower->relist_at = MIN(follower->relist_at, at);
}

void follower_begin_call(Follower *follower, gboolean by_instance,
                         StoreCall *call) {
  memset(call, 0, sizeof *call);
  follower->open = TRUE;
  follower->by_instance = by_instance;
  follower->open_list_is_stale = FALSE;
  follower->listing =
      !follower->watching || (follower->must_list_store && !by_instance);
  call->kind = follower->kind;
  call->in_full = follower->in_full;
  if (!follower->listing) {
    call->operation = STORE_WATCH;
    call->position = follower->position;
    /* If the store is lost again, a short watch finds out soon. */
    call->wait = follower->failures > 0
                     ? MIN(follower->watch_wait, WATCH_WAIT_AFTER_FAILURE)
                     : follower->watch_wait;
  } else {
    call->operation = STORE_LIST;
    call->after = follower->after;
    if (by_instance)
      call->digest = follower_digest(follower);
  }
}

/*
** Returns TRUE when an object in a reply is newer than what is known of it.
** 'at' is the store's position in that reply. A removal applies to any object
** that exists, whatever its position. An object that is known to be gone
** exists again when a reply as new as its removal says so, even at its old
** position. What was known from a stale list is replaced by anything that
** differs.
*/
static gboolean is_newer_state(const Follower *follower,
                               const FollowedObject *known,
                               const StoreObject *object, StorePosition at) {
  if (known == NULL)
    return TRUE;
  if (object->gone)
    return known->text != NULL;
  if (follower->from_stale_list)
    return store_position_compare(known->position, object->position) != 0 ||
           g_strcmp0(known->text, object->text) != 0;
  if (known->text == NULL)
    return !store_position_is_before(at, known->changed_by) ||
           store_position_is_before(known->position, object->position);
  return store_position_is_before(known->position, object->position);
}

static void drop_tombstones(Follower *follower) {
  GHashTableIter iterator;
  gpointer value;
  if (follower->tombstone_count <= TOMBSTONES_MAX)
    return;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const FollowedObject *object = value;
    if (object->text != NULL)
      continue;
    follower->removals_unknown_to = store_position_later(
        follower->removals_unknown_to, object->changed_by);
    g_hash_table_iter_remove(&iterator);
  }
  follower->tombstone_count = 0;
}

static void add_changes(TextHistory *history, const GArray *changes) {
  guint i;
  for (i = 0; i < changes->len; i++) {
    const TextChange *change = &g_array_index(changes, TextChange, i);
    text_history_add(history, change->from, change->to, change->patch);
  }
}

static void add_own_patch(const FollowedObject *known,
                          const StoreObject *object) {
  GBytes *patch = text_patch_new(known->text, object->text);
  text_history_add(known->history, known->position, object->position, patch);
  g_bytes_unref(patch);
}

/*
** Keeps the patch that leads to the new text, for other instances. A short
** text has no history, and a history doesn't span two eras.
*/
static void update_history(FollowedObject *known, const StoreObject *object) {
  if (object->gone || known->text == NULL ||
      known->position.era != object->position.era ||
      strlen(object->text) < HISTORY_TEXT_MIN) {
    text_history_free(known->history);
    known->history = NULL;
    return;
  }
  if (known->history == NULL)
    known->history = text_history_new();
  if (object->changes != NULL)
    add_changes(known->history, object->changes);
  else if (store_position_is_before(known->position, object->position))
    add_own_patch(known, object);
}

/*
** Returns TRUE when the update is a change made after everything that is known
** here. Its position is then exactly that of the change, and no instance that
** knows the store up to a later position lacks it. A list names no position
** for what it removes.
*/
static gboolean is_newest_change(const Follower *follower,
                                 const StoreObject *update) {
  return !follower->listing && !update->gone &&
         store_position_is_before(follower->known, update->position);
}

/*
** Tells other instances that there is a change, unless the list may be stale.
*/
static void announce_change(Follower *follower, StorePosition at) {
  if (!follower->open_list_is_stale)
    follower->changed = store_position_later(follower->changed, at);
}

/* Stores the new state of an object; 'at' is the store's position. */
static void store_object(Follower *follower, const StoreObject *update,
                         StorePosition at) {
  const char *text = update->gone ? NULL : update->text;
  FollowedObject *object =
      g_hash_table_lookup(follower->objects, update->name);
  if (object == NULL) {
    object = g_new0(FollowedObject, 1);
    g_hash_table_insert(follower->objects, g_strdup(update->name), object);
  } else
    follower->tombstone_count -= object->text == NULL;
  update_history(object, update);
  object->position =
      follower->from_stale_list
          ? update->position
          : store_position_later(object->position, update->position);
  object->changed_by = is_newest_change(follower, update)
                           ? update->position
                           : store_position_later(at, object->position);
  g_free(object->text);
  object->text = g_strdup(text);
  follower->tombstone_count += text == NULL;
  announce_change(follower, object->changed_by);
  drop_tombstones(follower);
}

static void apply_object(Follower *follower, const StoreObject *object,
                         StorePosition at) {
  const FollowedObject *known =
      g_hash_table_lookup(follower->objects, object->name);
  if (!is_newer_state(follower, known, object, at))
    return;
  store_object(follower, object, at);
  follower->host.object(follower->host.data, follower->kind, object);
}

/*
** Sets the text that the patches produce from the known one. FALSE: they don't
** fit it.
*/
static gboolean resolve_changes(const Follower *follower,
                                StoreObject *object) {
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

static gboolean resolve_all_changes(const Follower *follower,
                                    const StoreReply *reply) {
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if (object->changes != NULL && !resolve_changes(follower, object))
      return FALSE;
  }
  return TRUE;
}

static void apply_objects(Follower *follower, const StoreReply *reply) {
  guint i;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if ((follower->listing || reply->whole) && !object->gone)
      g_hash_table_add(follower->names, g_strdup(object->name));
    if (object->gone || object->text != NULL)
      apply_object(follower, object, reply->at);
  }
}

/*
** Marks as gone, at the store's position 'at', all objects that 'names' lacks.
*/
static void remove_unlisted(Follower *follower, StorePosition at) {
  GHashTableIter iterator;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init(&iterator, follower->objects);
  while (g_hash_table_iter_next(&iterator, &name, &value)) {
    FollowedObject *object = value;
    if (object->text == NULL || g_hash_table_contains(follower->names, name))
      continue;
    g_clear_pointer(&object->text, g_free);
    object->changed_by = store_position_later(at, object->position);
    announce_change(follower, object->changed_by);
    follower->tombstone_count++;
  }
  drop_tombstones(follower);
}

/* 'names' holds all objects that exist at the store's position 'at'. */
static void apply_complete_names(Follower *follower, StorePosition at) {
  follower->removals_unknown_to =
      store_position_later(follower->removals_unknown_to, at);
  remove_unlisted(follower, at);
  follower->host.listed(follower->host.data, follower->kind, follower->names);
  g_hash_table_remove_all(follower->names);
}

static void finish_list(Follower *follower, const StoreReply *reply,
                        gint64 now) {
  /*
  ** Changes made while the pages were read are watched from the first page on.
  */
  follower->position = follower->listed;
  if (follower->partial) {
    g_hash_table_remove_all(follower->names);
    follower->relist_at = now + PARTIAL_RELIST_DELAY;
  } else if (follower->reconciling) {
    g_hash_table_remove_all(follower->names);
    follower->relist_at = now + RECONCILE_DELAY;
    /* A new era must be announced even if nothing changed in it. */
    follower->changed =
        store_position_later(follower->changed, follower->position);
  } else
    apply_complete_names(follower, follower->position);
  follower->from_stale_list =
      follower->open_list_is_stale || reply->from_stale_list;
  if (follower->from_stale_list)
    follower->relist_at = now + STALE_RELIST_DELAY;
  follower->reconciling = FALSE;
  follower->watching = TRUE;
  follower->known = store_position_later(follower->known, follower->position);
  /* A complete list without objects must be announced, too. */
  if (store_position_is_none(follower->changed))
    announce_change(follower, follower->known);
}

/*
** Applies the end of a page of a list. A page without objects ends the list
** even if the reply says that more follow, because it has no last name after
** which to continue. The list is then partial: what follows is not known.
*/
static void apply_list_page(Follower *follower, const StoreReply *reply,
                            gint64 now) {
  guint count = reply->objects != NULL ? reply->objects->len : 0;
  follower->partial |= reply->partial || (reply->more && count == 0);
  g_clear_pointer(&follower->after, g_free);
  if (reply->more && count > 0) {
    const StoreObject *last =
        &g_array_index(reply->objects, StoreObject, count - 1);
    follower->after = g_strdup(last->name);
    return;
  }
  finish_list(follower, reply, now);
}

static void begin_relist(Follower *follower) {
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

void follower_prefer_list(Follower *follower) {
  follower->must_list_store = has_one_object(follower);
}

void follower_abandon_store_call(Follower *follower, gint64 now) {
  follower_prefer_list(follower);
  follower_abandon_call(follower, now);
}

static void record_failure(Follower *follower, gint64 now) {
  gint64 wait = RETRY_WAIT_FIRST
                << MIN(follower->failures, RETRY_DOUBLINGS_MAX);
  if (follower->failures++ == 0)
    follower->host.lost(follower->host.data, follower->kind);
  follower_prefer_list(follower);
  follower->retry_at = now + MIN(wait, follower->retry_wait_max);
}

/*
** Returns TRUE for a list that is older than what is known, and for any reply
** of an older era: they would bring old states back.
*/
static gboolean is_outdated(const Follower *follower,
                            const StoreReply *reply) {
  if (follower->listing)
    return store_position_is_before(reply->at, follower->known);
  return reply->at.era < follower->known.era;
}

/*
** Returns TRUE when the store answers a watch in another era, which says
** nothing of its present objects, or when the pages of a list are of two eras.
*/
static gboolean spans_two_eras(const Follower *follower,
                               const StoreReply *reply) {
  if (follower->listing)
    return follower->after != NULL && reply->at.era != follower->listed.era;
  return !follower->by_instance && reply->at.era != follower->known.era;
}

void follower_observe_era(Follower *follower, guint64 era) {
  if (follower_is_synced(follower) && follower->known.era < era &&
      follower->watching && !follower->open)
    begin_relist(follower);
}

void follower_abandon_call(Follower *follower, gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
}

gboolean follower_is_synced(const Follower *follower) {
  return !store_position_is_none(follower->known);
}

/*
** Handles a relay's reply that names all objects that exist ('whole'). In a
** newer era it removes none, and a list follows.
*/
static void apply_complete_watch(Follower *follower, const StoreReply *reply,
                                 gint64 now) {
  if (reply->whole && reply->at.era > follower->known.era)
    follower->relist_at = now + RECONCILE_DELAY;
  else if (reply->whole &&
           !store_position_is_before(reply->at, follower->known))
    apply_complete_names(follower, reply->at);
  g_hash_table_remove_all(follower->names);
}

/*
** 'is_other_era': what was known is of another era than the list, or came from
** a stale list that is disproved.
*/
static void begin_list(Follower *follower, const StoreReply *reply,
                       gboolean is_other_era) {
  follower->listed = reply->at;
  follower->reconciling = is_other_era;
}

static void reset_position(gpointer name, gpointer value, gpointer data) {
  FollowedObject *object = value;
  const StoreReply *reply = data;
  (void)name;
  if (!reply->whole)
    object->position = store_position_none();
  object->changed_by = object->position;
}

/*
** Drops the positions of all that was known: it came from a list that may have
** predated the store's era, and the store has nothing as new, so it did. A
** reply that confirms the objects by their digest confirms their positions,
** too, and does not name them again.
*/
static void reset_positions(Follower *follower, const StoreReply *reply) {
  g_hash_table_foreach(follower->objects, reset_position, (gpointer)reply);
  follower->known = store_position_none();
  follower->changed = store_position_none();
  follower->removals_unknown_to = store_position_none();
}

static gboolean disproves_stale_list(const Follower *follower,
                                     const StoreReply *reply) {
  return follower->from_stale_list && follower->listing &&
         !reply->from_stale_list && reply->status == STORE_OK &&
         reply->at.era == follower->known.era &&
         store_position_is_before(reply->at, follower->known);
}

/* Does the reply name changes, even ones that cannot be read? */
static gboolean brings_changes(const StoreReply *reply) {
  return reply->partial || reply->unreadable_names > 0 ||
         (reply->objects != NULL && reply->objects->len > 0);
}

/*
** Plans the list that finds what a partial reply to a watch may hide: at once,
** but not again within PARTIAL_RELIST_DELAY, however often the object changes
** that makes the replies partial.
*/
static void plan_relist(Follower *follower, gint64 now) {
  if (follower->relist_at != 0)
    return;
  follower->relist_at = MAX(now, follower->partial_relist_from);
  follower->partial_relist_from = follower->relist_at + PARTIAL_RELIST_DELAY;
}

static void apply_reply(Follower *follower, const StoreReply *reply,
                        gint64 now) {
  gboolean is_disproved = disproves_stale_list(follower, reply);
  gboolean is_other_era =
      is_disproved ||
      (follower_is_synced(follower) && reply->at.era != follower->known.era);
  if (is_disproved)
    reset_positions(follower, reply);
  if (reply->status == STORE_HISTORY_GONE) {
    /*
    ** The list after the previous such answer did not help, so the next one
    ** waits.
    */
    if (follower->history_was_gone)
      follower->retry_at = now + RETRY_WAIT_FIRST;
    follower->history_was_gone = TRUE;
    begin_relist(follower);
    return;
  }
  if (reply->status != STORE_OK || is_outdated(follower, reply)) {
    follower->overtaken += reply->status == STORE_OK;
    record_failure(follower, now);
    return;
  }
  if (spans_two_eras(follower, reply)) {
    begin_relist(follower);
    return;
  }
  if (!resolve_all_changes(follower, reply)) {
    follower->in_full = TRUE;
    return;
  }
  follower->in_full = FALSE;
  if (follower->failures > 0)
    follower->host.regained(follower->host.data, follower->kind);
  follower->failures = 0;
  follower->must_list_store = FALSE;
  if (!follower->listing)
    follower->history_was_gone = FALSE;
  if (follower->listing && follower->after == NULL)
    begin_list(follower, reply, is_other_era);
  apply_objects(follower, reply);
  if (!follower->listing && brings_changes(reply))
    follower->retry_at = now + follower->pause;
  if (!follower->listing) {
    apply_complete_watch(follower, reply, now);
    follower->position = store_position_later(follower->position, reply->at);
    follower->known = follower->position;
    if (reply->partial)
      plan_relist(follower, now);
  } else
    apply_list_page(follower, reply, now);
}

void follower_handle_reply(Follower *follower, const StoreReply *reply,
                           gint64 now) {
  follower->open = FALSE;
  follower->retry_at = now;
  follower->is_handling_reply = TRUE;
  apply_reply(follower, reply, now);
  follower->is_handling_reply = FALSE;
  follower_check_relist(follower, now);
}
