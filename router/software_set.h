/*
** software_set.h
** The versions at which resumable streams of each service may have begun, as
** the store keeps them
**
** One object for each service holds the set (SoftwareSetRecord). It outlives
** every instance: one that has just started reads there that its service has
** had one version only, and need not follow the list of endpoints for the
** longest time-out first (docs/design/stream-versions.md). This file decides
** which call to the store is next and what a reply means; it does no input or
** output. A Router owns one SoftwareSets (router/stream_software.h).
**
** Terms. The list is this instance's list of endpoints. It is followed since
** 'followed_since' without a gap longer than 'news_age_max', and was complete
** at 'confirmed_at'. The keep time of a service is the longest time-out of its
** resumable routes and the time for a caller to come back, at least KEEP_MIN.
** A version is wanted if it was listed within the keep time before
** 'confirmed_at'.
**
** Invariants:
** 1. A version is allowed here only if a read, or a conditional write that was
**    answered, found it unmarked in the set, began after this instance had
**    come to know the version and after 'followed_since', and the list has
**    been confirmed since the answer came. New streams begin at allowed
**    versions, if one of them can run them.
** 2. A set is created only by an instance that has followed the list for the
**    keep time, with all versions that are wanted. Until then nobody vouches
**    by it and every version is allowed. So streams of instances that ran
**    before, and knew no set, have ended or have a version in it.
** 3. A version is marked as expiring, and removed, only by an instance that
**    has followed the list for the keep time and does not want it; removed
**    only REMOVAL_DELAY after that instance learned of the mark, and after the
**    list was confirmed since then. An instance that wants a marked version
**    unmarks it.
** 4. Each write is conditional on the revision that its content was made from,
**    so it changes that content whenever it is carried out, or nothing.
** 5. A stream that is taken up goes on at the version that the set holds alone
**    only by a read that began after the taking-up arrived and after
**    'followed_since', if no other version was listed since, and neither a
**    replica nor the store's origins know the stream (continuation.h).
**
** Why no stream is joined from two versions. Let a stream that began at W be
** taken up at V by a read carried out at x. Its instance J had found W in the
** set, unmarked, before the stream began, and so before x.
** - W is still in the set at x: the read shows two versions; it is refused.
** - W was removed before x. Whoever marked and removed it did not want it. If
**   J found W unmarked before the mark was written, and W was listed at that
**   time or later, the remover's list, confirmed after the mark, has held W
**   within the keep time: it is unmarked instead. Else W left the list a keep
**   time before the mark, J's list followed within news_age_max, which is less
**   than REMOVAL_DELAY, and the stream is older than its caller waits.
**   If J knows W from before and W returned, J's knowledge of W is new again
**   (KEEP_MIN is longer than the absence after which it is, and a gap in its
**   list voids its reads), so it reads the mark or the lack.
** - A write carried out late: invariant 4. A late mark is found, and undone,
**   by who reads next and wants the version, at the latest by the remover. A
**   late removal meets a revision at which W is marked, so nobody is allowed W
**   from it; it and an unmarking exclude each other. A late addition adds.
** - Two instances that add, mark and remove at once: one write is carried out,
**   the other is answered with the object and starts from it.
** - All killed at any moment: only the set and the list are left, and the
**   cases above use no other memory of J.
** - Instances that know no set begin streams at a new version only after
**   news_age_max and a margin; an instance that knows the set has added the
**   version by then if the store answers it.
** - A stream that began at a version that was not allowed, as no other could
**   run it or the set was not read yet, has an origin in the store.
** - Such a stream has no origin if the store failed then, or has lost it by a
**   restoration from a copy. If W is still listed, the stream is refused:
**   invariant 5 asks the list. A stream of V is refused with it if W has
**   appeared while all were down, since the store and the list are the same.
** Left to chance: such streams if the store did not take their origins either,
** or their callers name no attempt, and all instances are killed before the
** version is added, and it is no longer listed then; the same within the time
** of a creation that is carried out late.
**
** Times are microseconds of this instance's steady clock.
*/

#ifndef ROUTER_SOFTWARE_SET_H
#define ROUTER_SOFTWARE_SET_H

#include "router/follower.h"
#include "router/software_history.h"
#include "router/store_position.h"
#include "router/stream_records.h"

typedef struct SoftwareSets SoftwareSets;

/* the list of endpoints, as this instance knows it */
typedef struct SoftwareView {
  const SoftwareHistory *history;
  gint64 followed_since; /* 0: the list has not been read */
  gint64 confirmed_at;
  gint64 news_age_max;
  /* Returns TRUE if this instance is the one that writes the set of a service
  ** before others do; 'key' is the hash of the service's name. */
  gboolean (*is_first)(gconstpointer data, guint32 key);
  gconstpointer data;
} SoftwareView;

typedef enum SoftwareChangeKind {
  SOFTWARE_ADDED,
  SOFTWARE_UNMARKED,
  SOFTWARE_MARKED,
  SOFTWARE_REMOVED
} SoftwareChangeKind;

typedef struct SoftwareChange {
  guint64 software;
  SoftwareChangeKind kind;
} SoftwareChange;

/* A call to make. CREATE and REPLACE write 'record'. */
typedef struct SoftwareSetCall {
  const char *service;      /* name of the service and the object; borrowed
                            ** until the configuration changes */
  StoreOperation operation; /* READ, CREATE or REPLACE */
  StorePosition position;   /* REPLACE: of the object that it replaces */
  SoftwareSetRecord record;
  guint change_count; /* what the write changes */
  SoftwareChange changes[2 * SOFTWARE_SET_MAX];
} SoftwareSetCall;

/* The reply to the newest call. */
typedef struct SoftwareSetReply {
  /* STORE_FAILED also if the object could not be read */
  StoreStatus status;
  StorePosition position;          /* of the object */
  const SoftwareSetRecord *record; /* of the object; NULL: none came */
} SoftwareSetReply;

/* 'seed' differs between instances; it spreads their calls. */
SoftwareSets *software_sets_new(guint64 seed);
void software_sets_free(SoftwareSets *sets);

/* Begins to name the services with resumable routes, unless those of this
** version of the configuration are known: then it returns FALSE. */
gboolean software_sets_begin_services(SoftwareSets *sets, guint64 version);
/* Names one; 'lifetime' is that of one of its routes: the longest counts. */
void software_sets_add_service(SoftwareSets *sets, const char *name,
                               gint64 lifetime);
/* Forgets the services that were not named since the begin. */
void software_sets_end_services(SoftwareSets *sets);

/* Returns TRUE and the next call, which then is open, if one is due; else sets
** '*due' to when to ask again at the latest (G_MAXINT64: at the next change).
*/
gboolean software_sets_next_call(SoftwareSets *sets, const SoftwareView *view,
                                 SoftwareSetCall *out, gint64 *due,
                                 gint64 now);
/* Handles the reply to the open call. */
void software_sets_reply(SoftwareSets *sets, const SoftwareSetReply *reply,
                         gint64 now);
/* The store was restored from a copy: forgets what was read of it. */
void software_sets_store_restored(SoftwareSets *sets, gint64 now);

/* Returns the only version of the service by a read of the set that began at
** 'read_since' or later (invariant 5); 0: it does not say so. */
guint64 software_sets_only(const SoftwareSets *sets, guint32 service,
                           const SoftwareView *view, gint64 read_since,
                           gint64 now);
/* Returns the allowed versions of the service (invariant 1), owned by 'sets'
** and valid until the next call, and their number. NULL: the set does not
** restrict the versions, since it is not known, does not exist or the store
** does not answer. */
const guint64 *software_sets_allowed(SoftwareSets *sets, guint32 service,
                                     const SoftwareView *view, guint *count);
/* Makes a read of the set due, unless one that began at 'since' or later has
** ended since the list has been followed. Returns TRUE if it is due or open.
*/
gboolean software_sets_want_read(SoftwareSets *sets, guint32 service,
                                 const SoftwareView *view, gint64 since);

#endif
