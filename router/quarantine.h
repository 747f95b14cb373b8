/*
** quarantine.h
** Quarantine for requests during whose runs endpoints crash ("queries of
** death")
**
** Two kinds of subjects collect strikes: a request, identified by the hash of
** its content and client account, whatever id it bears; and a part of prompts
** that many requests may have, identified by a hash with its service. When an
** endpoint's process ends while it runs a request, the request and the parts
** of its prompt get a strike, and so do all others that ran there, so a single
** strike says little. From QUARANTINE_HOLD_STRIKES strikes on the subject is
** held: no instance sends the request, or a request with that part, to an
** endpoint.
**
** Invariants:
** 1. The strikes of a subject are a set. A strike is identified by the
**    incarnation, one run of an endpoint's process, that ended. To hear of a
**    strike twice, from whomever and in whatever order, changes nothing. So
**    instances only merge what they know, and none of them has to decide
**    first.
** 2. A hold ends by itself, so that a subject that was blamed wrongly is
**    served again: from its end on one request is run as a probe, by one
**    instance for all, and the others are refused until a probe went on. Each
**    further strike makes the next hold longer, and from
**    QUARANTINE_STRIKES_MAX strikes on it lasts more than a year. So after the
**    third strike is known at most QUARANTINE_STRIKES_MAX -
**    QUARANTINE_HOLD_STRIKES more runs are tried within a year, however often
**    the request is sent.
** 3. A run that ends well takes the oldest strike off a request with fewer
**    than QUARANTINE_HOLD_STRIKES strikes. Otherwise a request that many
**    callers send would collect strikes, since it is running whenever an
**    endpoint ends.
** 4. A strike that an operator has lifted, or a good run has taken off, does
**    not come back when an instance reports it late.
** 5. A run on which an endpoint wrote an answer and lived on acquits the
**    request and the parts of its prompt (acquittals.h): it takes off all
**    their strikes from before the run began, and for as long as the acquittal
**    counts it takes QUARANTINE_HOLD_STRIKES_ACQUITTED further ones to hold
**    such a subject, for seconds at first. The other instances are told.
** 6. A strike explains away: one that a held part has too does not count
**    against a subject with fewer strikes, nor one of a held request against a
**    part with as many or fewer. What was acquitted lately explains nothing of
**    a subject that was not: its good run is evidence that the strikes have
**    another cause. Requests explain nothing of each other: while
**    many endpoints end, a harmless one that is retried collects more strikes
**    than one that crashes some of them. When an operator lifts the one that
**    explains, its strikes are taken off the others as well, so that lifting a
**    request frees it from its parts, too. Two held parts with the same
**    strikes are twins: one trial run of a request that has only one of them
**    tells them apart (quarantine_begin_trial).
** 7. What counts for a hold is the number of events. Strikes close in time are
**    one event, because many endpoints may end for one reason and strike all
**    that many requests have; except where the run at the later end was sent
**    after the earlier end, and so the crash followed the subject.
**
** A Router owns one Quarantine. suspects.c uses it, and io/quarantine_writer.c
** writes what quarantine_next_save returns to the store. Times are in
** microseconds of this instance's steady clock unless a name says otherwise.
*/

#ifndef ROUTER_QUARANTINE_H
#define ROUTER_QUARANTINE_H

#include <glib.h>

#include "router/store_position.h"

/* A request with this many strikes or more is held. Two engines may end by
** themselves under a request that was sent again; with three, chance is rare
** (and the platform allows three). */
#define QUARANTINE_HOLD_STRIKES 3
/* A request with this many strikes or more is held for more than a year. The
** platform allows three more runs. */
#define QUARANTINE_STRIKES_MAX MP_CRASHES_PER_ROW

/* The same for a subject that was acquitted lately: chance alone may have
** endpoints end under one that is in many requests. */
#define QUARANTINE_HOLD_STRIKES_ACQUITTED 5

/* The bit that tells parts of prompts from requests in subjects' names. */
#define QUARANTINE_PART_BIT (1ULL << 63)

/* the strikes of one subject, as instances report them and the store keeps
** them */
typedef struct QuarantineRecord {
  guint64 content; /* names the subject: hash of the request's content and
                   ** account, or with QUARANTINE_PART_BIT of the part and its
                   ** service */
  guint count;     /* of 'crashes' */
  guint32 crashes[QUARANTINE_STRIKES_MAX]; /* the incarnations that ended, each
                                           ** as Endpoint.hash */
  /* The run that broke off at each, in microseconds of the steady clock:
  ** where 'began_at' is 0, neither is known. The store has no such times. */
  gint64 began_at[QUARANTINE_STRIKES_MAX];
  gint64 broke_at[QUARANTINE_STRIKES_MAX];
  gint64 last_unix_ms; /* time of the newest strike; 0: not known */
  /* For operators: the id, route and client account of the last request that
  ** got a strike, where this is known; else NULL. */
  char *request;
  char *route;
  char *account;
} QuarantineRecord;

/* Frees the texts and sets the record to zero. */
void quarantine_record_clear(QuarantineRecord *record);

typedef struct Quarantine Quarantine;

/* 'unix_offset' is Unix time minus the steady clock, in microseconds. 'seed'
** differs between instances, so that they don't all remove an object at once.
** The caller frees the result with quarantine_free. */
Quarantine *quarantine_new(gint64 unix_offset, guint64 seed);
void quarantine_free(Quarantine *quarantine);

/* a subject that an endpoint ran; texts belong to the caller */
typedef struct QuarantineSuspect {
  guint64 content;
  gint64 at; /* when the run broke off */
  const char *request;
  const char *route;
  const char *account; /* NULL: none */
  gint64 began_at;     /* when the run was sent; 0: not known */
} QuarantineSuspect;

/* Adds a strike that this instance saw itself: the incarnation 'crash' of an
** endpoint (Endpoint.hash) ended while it ran the suspect. Texts are copied.
** Returns FALSE if the strike is known already, or if there is no room. */
gboolean quarantine_add_strike(Quarantine *quarantine,
                               const QuarantineSuspect *suspect, guint32 crash,
                               gint64 now);
/* Merges the strikes that another instance reports or the store holds. Returns
** TRUE if one of them was new. */
gboolean quarantine_merge(Quarantine *quarantine,
                          const QuarantineRecord *record, gint64 now);
/* A run of the request ended well: takes a strike off (invariant 3). */
void quarantine_run_succeeded(Quarantine *quarantine, guint64 content);
/* The request's object was removed from the store, by an operator or by an
** instance for which it had expired: takes all strikes off. */
void quarantine_lift(Quarantine *quarantine, guint64 content, gint64 now);

/* Returns the number of strikes that count against the request. */
guint quarantine_strike_count(const Quarantine *quarantine, guint64 content);
/* Returns how many events these strikes are (invariant 7). */
guint quarantine_event_count(const Quarantine *quarantine, guint64 content);
/* Returns TRUE if the end of this incarnation is known as a strike of the
** request, whether it still counts or was taken off. */
gboolean quarantine_has_strike(const Quarantine *quarantine, guint64 content,
                               guint32 crash);
/* Writes to 'out' the incarnations, at most 'most', whose end counts as a
** strike of the request, and returns their number. */
guint quarantine_list_crashes(const Quarantine *quarantine, guint64 content,
                              guint32 *out, guint most);
/* Returns when this instance last learned of a strike of the request, or of a
** lift; G_MININT64 if it knows of none. */
gint64 quarantine_learned_at(const Quarantine *quarantine, guint64 content);
/* Returns the time until which the request is held; 0 if it is not held. */
gint64 quarantine_held_until(const Quarantine *quarantine, guint64 content,
                             gint64 now);
/* Returns TRUE if the subject's hold has ended and no run has gone on since:
** it runs as a probe only (invariant 2). */
gboolean quarantine_needs_probe(const Quarantine *quarantine, guint64 content,
                                gint64 now);
/* Returns TRUE if a probe of the subject may begin now, and notes that it
** does. One instance alone may ask for a subject. */
gboolean quarantine_begin_probe(Quarantine *quarantine, guint64 content,
                                gint64 now);

/* A run of the subject that began at 'at' went on (invariant 5). Returns TRUE
** if the subject was held and no longer is. */
gboolean quarantine_acquit(Quarantine *quarantine, guint64 content, gint64 at,
                           gint64 now);
/* Returns when the latest run of the subject that is remembered as good began;
** G_MININT64: none is. */
gint64 quarantine_acquitted_at(const Quarantine *quarantine, guint64 content);
/* Returns from how many strikes on the subject is held. */
guint quarantine_hold_strikes(const Quarantine *quarantine, guint64 content,
                              gint64 now);
/* Returns TRUE if the held subject has a twin (invariant 6) that is not one of
** these subjects. */
gboolean quarantine_has_twin(const Quarantine *quarantine, guint64 content,
                             const guint64 *subjects, guint count);
/* Returns TRUE if a request that has the held subject, and not its twin, may
** run now to tell them apart, and counts that trial. One instance alone may
** ask for a subject. */
gboolean quarantine_begin_trial(Quarantine *quarantine, guint64 content,
                                gint64 now);

/* Counts the remembered requests with a strike that counts, and those that are
** held. */
void quarantine_count(const Quarantine *quarantine, gint64 now,
                      guint *suspects, guint *held);
/* Returns a number that grows whenever there is something new to report to the
** other instances. */
guint64 quarantine_version(const Quarantine *quarantine);
/* Writes the requests with strikes learned in the last 10 s: those of which
** this instance saw a strike itself, or with 'with_received' every one. If
** there are too many, those with the most strikes are written. */
void quarantine_write_news(const Quarantine *quarantine,
                           gboolean with_received, mp_CrashUpdate *out,
                           gint64 now);

/*
** Exchange with the store, which has one object for each request
*/

/* a write that the store needs */
typedef struct QuarantineSave {
  gboolean remove;         /* remove the object, else create or replace it */
  StorePosition position;  /* of the object that is there; none: create it */
  QuarantineRecord record; /* its texts belong to the quarantine and stay valid
                           ** until the next call that changes it */
} QuarantineSave;

/* The store has an object with this record at this position. Merges the
** strikes; returns TRUE if one of them was new. */
gboolean quarantine_merge_stored(Quarantine *quarantine,
                                 const QuarantineRecord *record,
                                 StorePosition position, gint64 now);
/* The store was restored from a copy, which began this era. Forgets which
** objects it has, except those seen in this era, so that the strikes that this
** instance saw are written again. */
void quarantine_store_restored(Quarantine *quarantine, guint64 era);
/* Returns TRUE and a write that is due, or FALSE if none is due now. The same
** write is returned again until quarantine_merge_stored, quarantine_lift or
** quarantine_save_failed tells its outcome. */
gboolean quarantine_next_save(Quarantine *quarantine, QuarantineSave *out,
                              gint64 now);
/* The write has failed, or another instance's write came first: it is due
** again a little later. */
void quarantine_save_failed(Quarantine *quarantine, guint64 content,
                            gint64 now);

/* Removes what has expired; called with every tick, it acts once a second. */
void quarantine_expire(Quarantine *quarantine, gint64 now);

#endif
