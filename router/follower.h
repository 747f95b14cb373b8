/*
** follower.h
** Following one kind of object of the store: list, then watch
**
** A Follower decides which call to make next and what an answer means; it
** does no input or output. Its host performs StoreCall and hands back a
** StoreReply. Invariants: one call is open at a time; an object never
** takes effect over a newer position of itself; a list that took several
** calls takes effect for absent objects only when it is whole. One in which
** something could not be read that may hide objects removes none, and is read
** again until it is whole.
**
** A store that was restored from a copy names a larger era. What it lists then
** may be older than what is known, and lacks what is only not written again
** yet. So a watch that ends in a newer era is followed by a list; that list
** removes no object, and a second one, RECONCILE_AFTER later, does. An answer
** of an older era than the one known has no effect at all.
**
** A list that may be old may even be from before the era that its answer
** names, and a revision that was given out again may stand for another text.
** So what is known by such a list is listed again soon, and told on with that
** reserve.
**
** Catching up costs no more than the present: one that followed a kind of a
** single object, and lost the store, reads that object again. A watch from
** the old revision would bring each version since.
**
** Between instances long texts travel as their changes. Changes that do not
** make the text that they were made for take no effect, and the texts are then
** asked for in full.
**
** A follower keeps what it has read, so that it can answer the same calls
** for other instances (follower_answer). Objects that are gone stay for a
** while without their text, so that others hear that they are gone. A list
** says nothing of objects that went before it: who asks for the changes since
** an earlier revision is told the names of all objects there are. (A relay
** that had just started named no removal before its start, and vouched for
** all changes; its members sent requests to an endpoint that had left.)
*/

#ifndef ROUTER_FOLLOWER_H
#define ROUTER_FOLLOWER_H

#include <glib.h>

#include "madderpier.h"
#include "router/text_history.h"

typedef enum StoreKind {
  STORE_CONFIGURATION, /* the operators' configuration, one object */
  STORE_ENDPOINTS,     /* what may run requests */
  STORE_INSTANCES,     /* instances of this system; kept by themselves */
  STORE_QUARANTINE,    /* requests that end endpoints; our own */
  STORE_LEASES         /* who may do what only one may do; our own */
} StoreKind;

typedef enum StoreOperation {
  STORE_LIST,
  STORE_WATCH,
  STORE_CREATE,
  STORE_READ,    /* one object */
  STORE_REPLACE, /* one object, if it is still at that revision */
  STORE_REMOVE   /* likewise */
} StoreOperation;

struct LeaseRecord;
struct InstanceRecord;
struct QuarantineRecord;

typedef struct StoreCall {
  StoreKind kind;
  StoreOperation operation;
  const char *after; /* LIST: continue behind this name, or NULL */
  StorePosition
      position;     /* WATCH: the last one known; REPLACE: the object's */
  gint64 wait;      /* WATCH: answer after so long at the latest */
  gboolean stale;   /* LIST: seconds old will do */
  gboolean in_full; /* asked of an instance: no changes in place of texts */
  guint64 digest;   /* LIST of an instance: of what is known; 0: nothing is */
  const char *name; /* CREATE, READ, REPLACE */
  const struct InstanceRecord *instance; /* CREATE, REPLACE of an instance */
  const struct LeaseRecord *lease;       /* CREATE and REPLACE of a lease */
  const struct QuarantineRecord *quarantine; /* the same of such a request */
} StoreCall;

typedef enum StoreStatus {
  STORE_OK,
  STORE_HISTORY_GONE, /* WATCH: list again */
  STORE_CONFLICT,     /* CREATE; REPLACE: at another revision */
  STORE_NOT_FOUND,    /* READ, REPLACE, REMOVE */
  STORE_FAILED        /* no answer, or none that can be used */
} StoreStatus;

typedef struct StoreObject {
  char *name;
  StorePosition position; /* of its last change */
  gboolean gone;
  char *text; /* its content; empty when it can't be read; NULL when gone, or
              ** as it was (StoreReply.whole) */
  GArray *changes; /* TextChange: of an instance, in place of the text: what
                   ** they make of the text that the asker has; or NULL */
} StoreObject;

typedef struct StoreReply {
  StoreStatus status;
  GArray *objects;  /* StoreObject; may be NULL */
  gboolean more;    /* LIST: it goes on behind the last name */
  StorePosition at; /* of the store; its era is known of a failed call, too,
                    ** unless there was no answer */
  gboolean whole;   /* WATCH: it names all objects there are, those that have
                    ** not changed without their text; others are gone */
  guint unreadable_names; /* objects that were left out: their names can't be
                             read */
  gboolean partial; /* LIST: there may be others than those that it names */
  gboolean from_stale_list; /* an instance that knows an old list alone */
} StoreReply;

/* an empty array of StoreObject that clears its elements */
GArray *store_objects_new(void);
void store_reply_clear(StoreReply *reply);
/* all that it tells is of this era of the store */
void store_reply_set_era(StoreReply *reply, guint64 era);

/* what a follower tells its host */
typedef struct FollowerHost {
  void *data;
  /* an object is new, changed or gone */
  void (*object)(void *data, StoreKind kind, const StoreObject *object);
  /* a list is whole: 'names' are the keys of all objects there are */
  void (*listed)(void *data, StoreKind kind, GHashTable *names);
  void (*lost)(void *data, StoreKind kind);     /* no answers any more */
  void (*regained)(void *data, StoreKind kind); /* answers again */
} FollowerHost;

/* an object as it was read last */
typedef struct FollowedObject {
  StorePosition position; /* the newest one seen */
  StorePosition learned;  /* not before the position of its last change */
  char *text;             /* NULL: it is gone */
  TextHistory *history;   /* its latest changes; NULL: its text is short */
} FollowedObject;

typedef struct Follower {
  StoreKind kind;
  FollowerHost host;
  gint64 watch_wait; /* longest wait of one watch */
  gint64 pause; /* after news: what comes meanwhile costs no call of its own */
  gint64 retry_wait_max; /* longest wait after failures in a row */
  gboolean watching;     /* else the next call lists */
  gboolean lapsed;       /* watching: the store has first to be listed again */
  gboolean listing;      /* the open call is a list */
  gboolean in_full;      /* changes did not fit: whole texts are asked for */
  gboolean open;         /* a call is out */
  gboolean taking;       /* a reply is being taken: no call begins. (One that a
                         ** hook began before a list was whole was answered with
                         ** a page, which was read as a watch's events; the next
                         ** page was never asked for) */
  gboolean by_instance;  /* the open call is not the store's to answer */
  StorePosition position; /* of the store, as far as it was read */
  StorePosition listed; /* of the store, at the first page of the open list */
  gboolean reconciling; /* the open list is the first one of an era */
  gboolean open_list_is_stale; /* the open list may be older than its era */
  gboolean from_stale_list;    /* so may be all that is known */
  char *after;                 /* a list goes on behind this name */
  gboolean partial;            /* the list may hide objects: it removes none */
  gint64 relist_at;            /* it is read again then; 0: no need */
  GHashTable *names;           /* seen by the list that is being read */
  GHashTable *objects;         /* name -> FollowedObject */
  guint gone;                  /* of these, objects that are gone */
  StorePosition known;         /* every change up to there is in 'objects' */
  StorePosition changed;       /* the last 'learned' that others are told of */
  StorePosition forgotten;     /* removals up to there may not be known */
  gint64 retry_at;             /* no call before then */
  unsigned failures;           /* in a row */
  gboolean history_gone; /* the last watch said so, and none has ended since */
  guint overtaken;       /* lists older than what was known, since the start */
} Follower;

void follower_init(Follower *follower, StoreKind kind, gint64 watch_wait,
                   gint64 pause, const FollowerHost *host);
void follower_clear(Follower *follower);

/* when the next call may be made; G_MAXINT64 while one is out */
gint64 follower_next_call_time(const Follower *follower);
/* it is about to be asked whether a call is due */
void follower_check_relist(Follower *follower, gint64 now);
/* the call to make now, of the store or ('by_instance') of another instance;
** the texts live until its reply is handed in */
void follower_begin_call(Follower *follower, gboolean by_instance,
                         StoreCall *call);
void follower_handle_reply(Follower *follower, const StoreReply *reply,
                           gint64 now);
/* the call went to somebody else than the store, and came to nothing */
void follower_abandon_call(Follower *follower, gint64 now);
/* the store names an era, to whomever: a watch of an older one is in vain */
void follower_observe_era(Follower *follower, guint64 era);
/* the store is silent, and its call was given up */
void follower_abandon_store_call(Follower *follower, gint64 now);
/* a list was whole, or a watch has gone on from one */
gboolean follower_is_synced(const Follower *follower);

/* what another follower asks for */
typedef struct FollowerQuery {
  StorePosition since; /* none: everything */
  gboolean in_full;    /* as in StoreCall */
  guint64 digest;      /* of what it knows, where it asks for everything */
} FollowerQuery;

/*
** What the store would answer to another follower, as far as this one
** knows: everything, or what has changed after a position, whole when removals
** since then may not be known. The status is STORE_FAILED until a list was
** whole. Long texts are told by their changes, unless they are wanted
** 'in_full'; who knows everything already is told the names alone. Clear 'out'
** afterwards.
*/
void follower_answer(const Follower *follower, const FollowerQuery *query,
                     StoreReply *out);

#endif
