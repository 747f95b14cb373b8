/*
** follower.h
** Replicates one kind of the store's objects: list, then watch
**
** A Follower holds a copy of all objects of one kind. It decides which call to
** make next and what an answer means; it does no input or output. The code
** that drives it (news_source.h) takes a StoreCall, has it performed and hands
** back a StoreReply. The callbacks in FollowerHost report each change. A call
** may go to the store or to another instance that follows it; positions are
** always the store's.
**
** Invariants: at most one call is open. An object is never replaced by an
** older position of itself. A list that takes several pages removes objects
** only when it is complete. A list in which something was unreadable that may
** hide objects (a partial list) removes none, and is read again until it is
** complete. What a watch may hide is found by a list, at a bounded rate.
**
** A store that was restored from a copy names a larger era. What it lists
** then may be older than what is known here, and may lack objects that merely
** have not been written again yet. So a watch that ends in a newer era is
** followed by a list. That list removes no object; a second one,
** RECONCILE_DELAY later, does. An answer of an older era than the one known
** has no effect at all.
**
** A list may be requested for which an answer that is seconds old is good
** enough (StoreCall.stale). Such a list may predate the restore of the store,
** although its answer names the new era. A revision in it may then have been
** assigned again since, to another text. So what is known only from such a
** list is listed again soon, and is passed on to other instances with the mark
** 'from_stale_list'.
**
** After losing the store, a follower of a kind with a single object lists that
** object again, which reads its present state alone. A watch from the old
** revision would return each version since.
**
** Between instances, long texts travel as patches. Patches that don't fit the
** text known here are not applied, and the texts are then requested in full.
**
** A follower keeps the texts that it has read, so that it can answer the same
** calls for other instances (follower_answer). Objects that are gone stay for
** a while as tombstones, without their text, so that other instances hear of
** the removal. A list doesn't mention objects that were removed before it. So
** an instance that asks for the changes since an earlier revision than the
** list is told the names of all objects that exist. Otherwise a relay that had
** just started would name no removal before its start and yet vouch for all
** changes, and its members would send requests to an endpoint that had left.
*/

#ifndef ROUTER_FOLLOWER_H
#define ROUTER_FOLLOWER_H

#include <glib.h>

#include "madderpier.h"
#include "router/text_history.h"

/* Kinds of objects in the store. */
typedef enum StoreKind {
  STORE_CONFIGURATION, /* The operators' configuration, one object. */
  STORE_ENDPOINTS,     /* Endpoints, which run requests. */
  /* Instances of this system; they register themselves. */
  STORE_INSTANCES,
  /* Requests that crash endpoints; written by this system. */
  STORE_QUARANTINE,
  /* Leases on duties of a single instance; written by this system. */
  STORE_LEASES,
  /* Versions at which streams may have begun; written by this system. */
  STORE_SOFTWARE,
  /* Where streams began; written by this system. */
  STORE_ORIGINS
} StoreKind;

typedef enum StoreOperation {
  STORE_LIST,   /* Lists all objects, in pages. */
  STORE_WATCH,  /* Waits for changes after a position. */
  STORE_CREATE, /* Creates one object. */
  STORE_READ,   /* Reads one object. */
  /* Replaces one object if it is still at the given revision. */
  STORE_REPLACE,
  STORE_REMOVE /* Removes one object under the same condition. */
} StoreOperation;

struct LeaseRecord;
struct InstanceRecord;
struct QuarantineRecord;
struct SoftwareSetRecord;
struct StreamOriginsRecord;

/* A call to make. The operations that use a member stand before its colon. */
typedef struct StoreCall {
  StoreKind kind;
  StoreOperation operation;
  /* LIST: continue after this name; NULL: from the start. */
  const char *after;
  /* WATCH: the last position known; REPLACE, REMOVE: the object's position. */
  StorePosition position;
  /* WATCH: us after which to answer even without a change. */
  gint64 wait;
  gboolean stale;   /* LIST: an answer that is seconds old is good enough. */
  gboolean in_full; /* Sent to an instance: it must send texts, not patches. */
  /* LIST sent to an instance: digest of the objects known here; 0: none. */
  guint64 digest;
  const char *name; /* CREATE, READ, REPLACE, REMOVE: name of the object. */
  /* CREATE and REPLACE of an instance. */
  const struct InstanceRecord *instance;
  const struct LeaseRecord *lease; /* CREATE and REPLACE of a lease. */
  /* CREATE and REPLACE of a quarantined request. */
  const struct QuarantineRecord *quarantine;
  /* CREATE and REPLACE of a set of versions. */
  const struct SoftwareSetRecord *software_set;
  /* CREATE and REPLACE of origins of streams. */
  const struct StreamOriginsRecord *origins;
} StoreCall;

typedef enum StoreStatus {
  STORE_OK,
  /* WATCH: the store no longer has the changes; list again. */
  STORE_HISTORY_GONE,
  /* CREATE: the object exists; REPLACE: it is at another revision. */
  STORE_CONFLICT,
  STORE_NOT_FOUND, /* READ, REPLACE, REMOVE: there is no such object. */
  STORE_FAILED     /* There was no answer, or none that can be used. */
} StoreStatus;

typedef struct StoreObject {
  char *name;
  StorePosition position; /* Position of the object's last change. */
  gboolean gone;
  /*
  ** Its content; empty when it is unreadable. NULL when the object is gone, or
  ** unchanged (StoreReply.whole).
  */
  char *text;
  /*
  ** Array of TextChange, sent by an instance in place of the text: the patches
  ** that turn the caller's text into the present one; or NULL.
  */
  GArray *changes;
} StoreObject;

typedef struct StoreReply {
  StoreStatus status;
  GArray *objects; /* Array of StoreObject; may be NULL. */
  gboolean more;   /* LIST: another page follows after the last name. */
  /*
  ** Position of the store. Its era is set in a failed reply, too, unless there
  ** was no answer.
  */
  StorePosition at;
  /*
  ** Set by an instance that answers a WATCH, or a LIST whose digest matches:
  ** the reply names all objects that exist, unchanged ones without their text;
  ** all others are gone.
  */
  gboolean whole;
  /*
  ** Number of objects that were left out because their names are unreadable.
  */
  guint unreadable_names;
  /* LIST: objects may exist that the reply doesn't name; WATCH: other objects
  ** may have changed. */
  gboolean partial;
  /*
  ** The answer is from an instance that knows only a list that may be stale.
  */
  gboolean from_stale_list;
} StoreReply;

/* Returns an empty array of StoreObject that frees its elements' contents. */
GArray *store_objects_new(void);
/* Frees the reply's contents and sets its members to 0. */
void store_reply_clear(StoreReply *reply);
/* Sets the era of the reply's position and of all its objects' positions. */
void store_reply_set_era(StoreReply *reply, guint64 era);

/*
** Callbacks through which a follower reports changes. 'data' is passed to each
** of them.
*/
typedef struct FollowerHost {
  void *data;
  /* An object is new, changed or gone. */
  void (*object)(void *data, StoreKind kind, const StoreObject *object);
  /*
  ** A complete list, or a relay's reply that is 'whole', was read: the keys of
  ** 'names' are all objects that exist.
  */
  void (*listed)(void *data, StoreKind kind, GHashTable *names);
  /* A call failed or its answer was outdated, for the first time in a row. */
  void (*lost)(void *data, StoreKind kind);
  /* A call succeeded again after failures. */
  void (*regained)(void *data, StoreKind kind);
} FollowerHost;

/* An object as it was read last. */
typedef struct FollowedObject {
  StorePosition position; /* The newest position seen of the object. */
  /* An upper bound of the position of its last change, inclusive. */
  StorePosition changed_by;
  char *text; /* NULL: the object is gone (a tombstone). */
  /* Its latest changes; NULL: the text is short, or has not changed. */
  TextHistory *history;
} FollowedObject;

/*
** State of one follower. Code elsewhere reads its members; news_source.c sets
** 'retry_wait_max', 'open_list_is_stale' and 'retry_at'.
*/
typedef struct Follower {
  StoreKind kind;
  FollowerHost host;
  gint64 watch_wait; /* Longest wait in us of one watch. */
  /*
  ** us without a call after a watch brought changes: changes that are made
  ** meanwhile share the next call.
  */
  gint64 pause;
  gint64 retry_wait_max; /* Longest wait in us after failures in a row. */
  gboolean watching;     /* The next call is a watch; else it is a list. */
  /* While watching: the store itself must be listed before it is watched. */
  gboolean must_list_store;
  gboolean listing; /* The open call is a list. */
  gboolean in_full; /* Patches did not fit: whole texts are requested. */
  gboolean open;    /* A call is open. */
  /*
  ** A reply is being applied: no call may begin. A call that a callback began
  ** before the list was complete would be answered with a page of the list,
  ** that page would be read as a watch's events, and the next page would never
  ** be requested.
  */
  gboolean is_handling_reply;
  /* The open call goes to an instance, not to the store. */
  gboolean by_instance;
  StorePosition position; /* Position of the store up to which it was read. */
  /* Position of the store at the first page of the open list. */
  StorePosition listed;
  gboolean reconciling; /* The open list is the first one of an era. */
  /* The open list may be older than the era that it names. */
  gboolean open_list_is_stale;
  gboolean from_stale_list; /* The same holds for all that is known. */
  /* The list continues after this name; NULL: from the start. */
  char *after;
  /* The open list may hide objects: it removes none. */
  gboolean partial;
  /* Time in us at which the objects are listed again; 0: no need. */
  gint64 relist_at;
  /* No list is due before this because of a partial reply to a watch, us. */
  gint64 partial_relist_from;
  GHashTable *names;     /* Names seen so far by the open list. */
  GHashTable *objects;   /* name -> FollowedObject */
  guint tombstone_count; /* Number of tombstones among 'objects'. */
  /* Every change up to this position, inclusive, is in 'objects'. */
  StorePosition known;
  /* The latest 'changed_by' that is announced to other instances. */
  StorePosition changed;
  /* Removals up to this position, inclusive, may be missing from 'objects'. */
  StorePosition removals_unknown_to;
  gint64 retry_at;   /* No call is made before this time, us. */
  unsigned failures; /* Number of failures in a row. */
  /*
  ** The last watch ended with STORE_HISTORY_GONE, and none has succeeded
  ** since.
  */
  gboolean history_was_gone;
  /*
  ** Number of answers, since the start, that were dropped because they were
  ** older than what was known.
  */
  guint overtaken;
} Follower;

/*
** Initialises 'follower', whose memory is the caller's; times are in us.
** 'host' is copied.
*/
void follower_init(Follower *follower, StoreKind kind, gint64 watch_wait,
                   gint64 pause, const FollowerHost *host);
/* Frees what the follower holds, not 'follower' itself. */
void follower_clear(Follower *follower);

/*
** Returns the time in us before which no call is made; G_MAXINT64 while a call
** is open or a reply is being applied.
*/
gint64 follower_next_call_time(const Follower *follower);
/*
** The next call to the store lists the objects if the kind has a single one,
** because a watch would return every version of it since the last one known.
*/
void follower_prefer_list(Follower *follower);
/* Makes the list that is to be read again due at 'at' at the latest. */
void follower_hasten_relist(Follower *follower, gint64 at);
/*
** Switches to a list when one is due at 'now' and no call is open. To be
** called before follower_begin_call.
*/
void follower_check_relist(Follower *follower, gint64 now);
/*
** Begins the next call, to the store or ('by_instance') to another instance,
** and writes it to 'call'. The texts in it stay valid until its reply is
** handed in.
*/
void follower_begin_call(Follower *follower, gboolean by_instance,
                         StoreCall *call);
/*
** Hands in the reply to the open call; it is cleared by the caller. Callbacks
** are called from here.
*/
void follower_handle_reply(Follower *follower, const StoreReply *reply,
                           gint64 now);
/*
** Closes a call to an instance that brought nothing. It doesn't count as a
** failure of the store; the next call may begin at 'now'.
*/
void follower_abandon_call(Follower *follower, gint64 now);
/*
** Handles an era that the store named to any instance. If it is newer than
** what is known and no call is open, the next call lists: a watch from a
** position of an older era is useless.
*/
void follower_observe_era(Follower *follower, guint64 era);
/*
** Closes a call to a store that is silent. It doesn't count as a failure. A
** follower of a single object lists when it returns to the store.
*/
void follower_abandon_store_call(Follower *follower, gint64 now);
/* Returns TRUE once a list was read to its end, even a partial one. */
gboolean follower_is_synced(const Follower *follower);

/*
** Returns a digest of the names, positions and texts of all objects that
** exist; 0: there are none.
*/
guint64 follower_digest(const Follower *follower);

/* A call of another follower, to be answered by follower_answer. */
typedef struct FollowerQuery {
  /* Changes after this position are requested; none: all objects are. */
  StorePosition since;
  gboolean in_full; /* As in StoreCall. */
  /*
  ** Digest of what the caller knows when it requests all objects; 0: nothing.
  */
  guint64 digest;
} FollowerQuery;

/*
** Writes to 'out' what the store would answer to another follower, as far as
** this one knows: all objects, or those that changed after a position. When
** removals since that position may be unknown here, the reply names all
** objects ('whole'). The status is STORE_FAILED until follower_is_synced. Long
** texts are sent as patches unless 'in_full' is set. A caller that has
** everything already, by its digest, is sent the names alone. The caller
** clears 'out' with store_reply_clear.
*/
void follower_answer(const Follower *follower, const FollowerQuery *query,
                     StoreReply *out);

#endif
