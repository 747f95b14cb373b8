/*
** origin_recorder.h
** Keeps in one object of the store where streams began
**
** The instances of a data centre send the origins of streams to one of them,
** the recorder, which writes them to objects of its own (origin_slices.h).
** This is one object: all of its origins that have not expired. It
** acknowledges an origin only after the store has acknowledged a write that
** holds it. It decides which call is next and what an answer means; it does no
** input or output (io/origin_links.c). Times are microseconds of the steady
** clock.
**
** Invariants:
** 1. One call is open at a time. The object is created, or replaced at the
**    revision known here; what another write left in it is merged first. So a
**    write without an answer that the store carries out later removes nothing.
** 2. An origin names the version of the first piece of its stream and never
**    changes. One for which two versions are named is ambiguous for good.
** 3. Nothing is called while there is nothing to write: once the last origin
**    has expired, an empty object is written, then nothing.
*/

#ifndef ROUTER_ORIGIN_RECORDER_H
#define ROUTER_ORIGIN_RECORDER_H

#include "router/follower.h"
#include "router/stream_records.h"

/* The most origins in an object, at some 90 bytes each. Sixteen full ones take
** some 3.5 MB of the smallest instance's 88 MB; the store accepts 1 MB for
** each. */
#define RECORDED_ORIGINS_MAX 2048

typedef struct OriginRecorder OriginRecorder;

OriginRecorder *origin_recorder_new(void);
void origin_recorder_free(OriginRecorder *recorder);

/* Who is told when an origin is written. */
typedef struct OriginAck {
  mp_Addr to;
  guint32 number; /* of the sender's message; 0: it does not wait */
  guint64 change; /* number of the change that has to be written */
} OriginAck;

typedef enum RecordState {
  RECORD_PENDING, /* origin_recorder_handle_reply returns the acknowledgement
                  ** */
  RECORD_WRITTEN, /* the object in the store holds it already */
  RECORD_FAILING  /* the store does not answer, so waiting is of no use; the
                  ** origin is kept and written later */
} RecordState;

/* Adds an origin, or merges it with the known one of the same stream. */
RecordState origin_recorder_add(OriginRecorder *recorder,
                                const StreamOrigin *origin, OriginAck ack,
                                gint64 now);

/* The next call about the object. */
typedef struct OriginsSave {
  guint slice;                /* number of the object (origin_slices.h) */
  StoreOperation operation;   /* READ, CREATE or REPLACE */
  StorePosition position;     /* REPLACE: of the object */
  StreamOriginsRecord record; /* CREATE, REPLACE; freed by the caller */
} OriginsSave;

/* Begins the next call if one is due. */
gboolean origin_recorder_next_call(OriginRecorder *recorder, OriginsSave *out,
                                   gint64 now);
/* Returns when the next call is due; G_MAXINT64: none is. */
gint64 origin_recorder_next_time(const OriginRecorder *recorder);
/* Handles the end of the open call. 'position': of the object that the store
** returned, none if it returned none; 'record': its content, or NULL when that
** is unreadable or what was written. Returns the array of OriginAck that are
** to be sent, which the caller frees; '*is_written' tells which verdict. */
GArray *origin_recorder_handle_reply(OriginRecorder *recorder,
                                     StoreStatus status,
                                     StorePosition position,
                                     const StreamOriginsRecord *record,
                                     gboolean *is_written, gint64 now);
/* The object in the store holds origins, so it is emptied once they have
** expired, also when this instance has nothing to write. */
void origin_recorder_note_filled(OriginRecorder *recorder);
/* The store was restored from a copy, which may lack what was written: writes
** the object again if it holds anything. */
void origin_recorder_store_restored(OriginRecorder *recorder);
/* Drops expired origins; called with every tick. */
void origin_recorder_expire(OriginRecorder *recorder, gint64 now);

#endif
