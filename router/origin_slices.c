/*
** origin_slices.c
** Spreads the origins that a recorder keeps over several objects of the store
*/

#include "router/origin_slices.h"

/* The time whose origins are in one object. */
#define SLICE_TIME (1 * MP_SEC)

struct OriginSlices {
  OriginRecorder *recorders[ORIGIN_SLICES];
  gboolean is_open;    /* a call is open */
  guint open;          /* about this slice */
  gboolean is_failing; /* the last call failed, whatever it was about */
  gint64 retry_at;     /* is_failing: no call is made before */
};

OriginSlices *origin_slices_new(void) {
  OriginSlices *slices = g_new0(OriginSlices, 1);
  guint i;
  for (i = 0; i < ORIGIN_SLICES; i++)
    slices->recorders[i] = origin_recorder_new();
  return slices;
}

void origin_slices_free(OriginSlices *slices) {
  guint i;
  for (i = 0; i < ORIGIN_SLICES; i++)
    origin_recorder_free(slices->recorders[i]);
  g_free(slices);
}

/* Returns the slice of the present time. */
static guint present_slice(gint64 now) {
  return (guint)(now / SLICE_TIME % ORIGIN_SLICES);
}

RecordState origin_slices_add(OriginSlices *slices, const StreamOrigin *origin,
                              OriginAck ack, gint64 now) {
  OriginRecorder *recorder = slices->recorders[present_slice(now)];
  if (!slices->is_failing)
    return origin_recorder_add(recorder, origin, ack, now);
  ack.number = 0;
  origin_recorder_add(recorder, origin, ack, now);
  return RECORD_FAILING;
}

gint64 origin_slices_next_time(const OriginSlices *slices) {
  gint64 next = G_MAXINT64;
  guint i;
  if (slices->is_open)
    return next;
  for (i = 0; i < ORIGIN_SLICES; i++)
    next = MIN(next, origin_recorder_next_time(slices->recorders[i]));
  return slices->is_failing ? MAX(next, slices->retry_at) : next;
}

gboolean origin_slices_next_call(OriginSlices *slices, OriginsSave *out,
                                 gint64 now) {
  guint i;
  if (now < origin_slices_next_time(slices))
    return FALSE;
  for (i = 0; i < ORIGIN_SLICES; i++) { /* first pieces wait for the present */
    guint slice = (present_slice(now) + i) % ORIGIN_SLICES;
    if (!origin_recorder_next_call(slices->recorders[slice], out, now))
      continue;
    slices->is_open = TRUE;
    slices->open = slice;
    out->slice = slice;
    return TRUE;
  }
  return FALSE;
}

GArray *origin_slices_handle_reply(OriginSlices *slices, StoreStatus status,
                                   StorePosition position,
                                   const StreamOriginsRecord *record,
                                   gboolean *is_written, gint64 now) {
  OriginRecorder *recorder = slices->recorders[slices->open];
  GArray *acks = origin_recorder_handle_reply(recorder, status, position,
                                              record, is_written, now);
  slices->is_open = FALSE;
  slices->is_failing = status == STORE_FAILED;
  slices->retry_at = origin_recorder_next_time(recorder);
  return acks;
}

void origin_slices_note_filled(OriginSlices *slices, guint slice) {
  origin_recorder_note_filled(slices->recorders[slice]);
}

void origin_slices_store_restored(OriginSlices *slices) {
  guint i;
  for (i = 0; i < ORIGIN_SLICES; i++)
    origin_recorder_store_restored(slices->recorders[i]);
}

void origin_slices_expire(OriginSlices *slices, gint64 now) {
  guint i;
  for (i = 0; i < ORIGIN_SLICES; i++)
    origin_recorder_expire(slices->recorders[i], now);
}
