/*
** origin_slices.h
** Spreads the origins that a recorder keeps over several objects of the store
**
** Each object (origin_recorder.h) takes the origins of one second; after the
** last one the first is used again, when what it held has expired in most
** routes. So a write holds the origins of the present second, not all that
** have not expired, which would be some sixteen times as many. One call is
** open at a time, over all objects.
*/

#ifndef ROUTER_ORIGIN_SLICES_H
#define ROUTER_ORIGIN_SLICES_H

#include "router/origin_recorder.h"

#define ORIGIN_SLICES 16

typedef struct OriginSlices OriginSlices;

OriginSlices *origin_slices_new(void);
void origin_slices_free(OriginSlices *slices);
/* These do what the functions of the same names do for one object. */
RecordState origin_slices_add(OriginSlices *slices, const StreamOrigin *origin,
                              OriginAck ack, gint64 now);
gboolean origin_slices_next_call(OriginSlices *slices, OriginsSave *out,
                                 gint64 now);
gint64 origin_slices_next_time(const OriginSlices *slices);
GArray *origin_slices_handle_reply(OriginSlices *slices, StoreStatus status,
                                   StorePosition position,
                                   const StreamOriginsRecord *record,
                                   gboolean *is_written, gint64 now);
void origin_slices_note_filled(OriginSlices *slices, guint slice);
void origin_slices_store_restored(OriginSlices *slices);
void origin_slices_expire(OriginSlices *slices, gint64 now);

#endif
