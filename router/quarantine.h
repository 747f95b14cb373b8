/*
** quarantine.h
** Requests that end the endpoints that run them ("queries of death")
**
** A request is told by the digest of its content and client account, whatever
** id it bears. When an endpoint ends while it runs, that is a strike against
** it, and against all others that ran there: one alone says little. From
** QUARANTINE_HOLD_STRIKES on it is held: no instance sends it to an endpoint.
**
** Invariants.
** 1. The strikes against a request are a set, by the endpoint that ended and
**    the life of it that ended. To hear of one twice, from whomever and in
**    whatever order, changes nothing, so instances only ever merge what they
**    know, and none has to be the first.
** 2. A hold ends by itself so that one that was blamed wrongly is served
**    again, but each time the endpoint ends the next hold is longer, and from
**    QUARANTINE_STRIKES_MAX strikes on only an operator ends it. So
**    QUARANTINE_STRIKES_MAX - QUARANTINE_HOLD_STRIKES runs at most are tried
*after the
**    third strike is known, however long it is sent.
** 3. A run that ends well takes the oldest strike off one that is not held: a
**    request that many callers send is at work whenever an endpoint ends.
** 4. What an operator has lifted, or a good run has taken off, does not come
**    back when an instance tells it late.
**
** Times are in microseconds of the steady clock unless a name says otherwise.
*/

#ifndef ROUTER_QUARANTINE_H
#define ROUTER_QUARANTINE_H

#include <glib.h>

#include "router/store_position.h"

/* two engines may end by themselves under one that has come back; with three,
** chance is rare (and the platform allows three) */
#define QUARANTINE_HOLD_STRIKES 3
/* held until an operator lifts it; the platform allows three more runs */
#define QUARANTINE_STRIKES_MAX MP_CRASHES_PER_ROW

/* the strikes against one request, as instances tell them and the store keeps
** them */
typedef struct QuarantineRecord {
  guint64 content; /* digest of the request's content and account */
  guint count;
  guint32 crashes[QUARANTINE_STRIKES_MAX]; /* of the endpoint and its life */
  gint64 last_unix_ms;                     /* the last of them */
  /* for operators: the last one that came with it; NULL: not known */
  char *request;
  char *route;
  char *account;
} QuarantineRecord;

void quarantine_record_clear(QuarantineRecord *record);

typedef struct Quarantine Quarantine;

/* 'unix_offset': Unix time less the steady clock's, microseconds; 'seed' is
** another one at each instance */
Quarantine *quarantine_new(gint64 unix_offset, guint64 seed);
void quarantine_free(Quarantine *quarantine);

/* whose strike it is; texts are copied */
typedef struct QuarantineSuspect {
  guint64 content;
  const char *request;
  const char *route;
  const char *account; /* NULL: none */
} QuarantineSuspect;

/* an endpoint ended under it, as this instance saw. FALSE: that is known */
gboolean quarantine_add_strike(Quarantine *quarantine,
                               const QuarantineSuspect *suspect, guint32 crash,
                               gint64 now);
/* another instance, or the store, tells so. FALSE: nothing is new */
gboolean quarantine_merge(Quarantine *quarantine,
                          const QuarantineRecord *record, gint64 now);
/* a run of it ended well */
void quarantine_run_succeeded(Quarantine *quarantine, guint64 content);
/* an operator, or an instance for whom it was over, removed it */
void quarantine_lift(Quarantine *quarantine, guint64 content, gint64 now);

guint quarantine_strike_count(const Quarantine *quarantine, guint64 content);
/* is this end known of it, whether it counts still or was taken off? */
gboolean quarantine_has_strike(const Quarantine *quarantine, guint64 content,
                               guint32 crash);
/* until when it is held; 0: it is not; G_MAXINT64: until an operator acts */
gint64 quarantine_held_until(const Quarantine *quarantine, guint64 content,
                             gint64 now);

/* rows that have not been over for long, and how many of them are held */
void quarantine_count(const Quarantine *quarantine, gint64 now,
                      guint *suspects, guint *held);
/* grows whenever there is something new to tell the other instances */
guint64 quarantine_version(const Quarantine *quarantine);
/* what was learned lately: by this instance alone, or 'all' of it */
void quarantine_write_news(const Quarantine *quarantine, gboolean all,
                           mp_CrashUpdate *out, gint64 now);

/*
** The store
*/

/* what has to be written there */
typedef struct QuarantineSave {
  gboolean remove;         /* else create or replace */
  StorePosition position;  /* of the object that stands there, if any */
  QuarantineRecord record; /* texts belong to the quarantine */
} QuarantineSave;

/* the object stands there at this position and says that; as quarantine_merge
 */
gboolean quarantine_merge_stored(Quarantine *quarantine,
                                 const QuarantineRecord *record,
                                 StorePosition position, gint64 now);
/* FALSE: nothing has to be written now */
/* the store was restored from a copy, and this era began: what stands there is
** not known, and what this instance saw is written again */
void quarantine_store_restored(Quarantine *quarantine, guint64 era);
gboolean quarantine_next_save(Quarantine *quarantine, QuarantineSave *out,
                              gint64 now);
/* the write has failed, or another one was faster: again a little later */
void quarantine_save_failed(Quarantine *quarantine, guint64 content,
                            gint64 now);

/* forget what is over */
void quarantine_expire(Quarantine *quarantine, gint64 now);

#endif
