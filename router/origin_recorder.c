/*
** origin_recorder.c
** Keeps in one object of the store where streams began
*/

#include <string.h>

#include "router/origin_recorder.h"

/* Time between the beginnings of two calls. Origins that come meanwhile share
** the next one. */
#define CALL_INTERVAL (25 * MP_MS)
/* A write of more origins than CALL_INTERVAL / ROW_INTERVAL is followed by a
** longer pause, so that writes take 1.6 MB/s at most. */
#define ROW_INTERVAL 60
/* time between a call that failed and the next one */
#define RETRY_INTERVAL (250 * MP_MS)
/* time between two searches for expired origins */
#define EXPIRE_INTERVAL (1 * MP_SEC)
/* The most messages that wait for their acknowledgement. */
#define ACKS_MAX 4096

typedef struct RecordedOrigin {
  StoredOrigin stored; /* 'left_ms' is set when it is written */
  gint64 expires;
} RecordedOrigin;

struct OriginRecorder {
  GHashTable *rows;         /* StoredOrigin.key -> RecordedOrigin (owned) */
  GArray *acks;             /* OriginAck, by 'change' */
  guint64 change;           /* number of the last change of 'rows' */
  guint64 sent_change;      /* of the last one in the open or last write */
  guint64 written_change;   /* of the last one that the store acknowledged */
  gboolean is_read;         /* the object was read, or found absent */
  gboolean is_open;         /* a call is open */
  StoreOperation operation; /* of it */
  gboolean is_filled;       /* the object in the store may hold origins */
  gboolean is_failing;      /* the last call failed */
  StorePosition position;   /* of the object; none: there is no object */
  gint64 next_call_at;
  gint64 next_expiry_at;
};

static guint key_hash(gconstpointer p) {
  return (guint)((const StreamKey *)p)->digest[0];
}

static gboolean key_equal(gconstpointer one, gconstpointer other) {
  return memcmp(one, other, sizeof(StreamKey)) == 0;
}

OriginRecorder *origin_recorder_new(void) {
  OriginRecorder *recorder = g_new0(OriginRecorder, 1);
  recorder->rows = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
  recorder->acks = g_array_new(FALSE, FALSE, sizeof(OriginAck));
  return recorder;
}

void origin_recorder_free(OriginRecorder *recorder) {
  g_hash_table_destroy(recorder->rows);
  g_array_free(recorder->acks, TRUE);
  g_free(recorder);
}

/* Makes room for one row: the origin that expires first is left out. */
static void make_room(OriginRecorder *recorder) {
  GHashTableIter iterator;
  gpointer value;
  RecordedOrigin *first = NULL;
  if (g_hash_table_size(recorder->rows) < RECORDED_ORIGINS_MAX)
    return;
  g_hash_table_iter_init(&iterator, recorder->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    RecordedOrigin *row = value;
    if (first == NULL || row->expires < first->expires)
      first = row;
  }
  g_hash_table_remove(recorder->rows, &first->stored.key);
  /* the next write may lack what one of them waits for */
  g_array_set_size(recorder->acks, 0);
}

/* Adds or merges an origin; returns TRUE if that changed anything. */
static gboolean merge_row(OriginRecorder *recorder, const StoredOrigin *origin,
                          gint64 expires) {
  RecordedOrigin *row = g_hash_table_lookup(recorder->rows, &origin->key);
  gboolean has_changed = FALSE;
  if (row == NULL) {
    make_room(recorder);
    row = g_new(RecordedOrigin, 1);
    row->stored = *origin;
    row->expires = expires;
    g_hash_table_insert(recorder->rows, &row->stored.key, row);
    return TRUE;
  }
  if (row->stored.software != 0 && (row->stored.software != origin->software ||
                                    row->stored.service != origin->service)) {
    row->stored.software = 0;
    has_changed = TRUE;
  }
  if (expires > row->expires) {
    row->expires = expires;
    has_changed = TRUE;
  }
  return has_changed;
}

RecordState origin_recorder_add(OriginRecorder *recorder,
                                const StreamOrigin *origin, OriginAck ack,
                                gint64 now) {
  StoredOrigin stored = {origin->key, origin->software, origin->service,
                         origin->account, 0};
  if (origin->expires <= now)
    return RECORD_WRITTEN; /* nobody may take it up any more */
  if (merge_row(recorder, &stored, origin->expires))
    recorder->change++;
  ack.change = recorder->change;
  if (recorder->is_failing)
    return RECORD_FAILING;
  if (recorder->change <= recorder->written_change)
    return RECORD_WRITTEN;
  if (ack.number != 0 && recorder->acks->len < ACKS_MAX)
    g_array_append_val(recorder->acks, ack);
  return RECORD_PENDING;
}

/* Returns TRUE if the object in the store is to be written. */
static gboolean has_news(const OriginRecorder *recorder) {
  return g_hash_table_size(recorder->rows) > 0
             ? recorder->change > recorder->written_change
             : recorder->is_filled;
}

gint64 origin_recorder_next_time(const OriginRecorder *recorder) {
  return recorder->is_open || !has_news(recorder) ? G_MAXINT64
                                                  : recorder->next_call_at;
}

/* Returns the present rows for a write. */
static StreamOriginsRecord write_rows(const OriginRecorder *recorder,
                                      gint64 now) {
  StreamOriginsRecord record;
  GHashTableIter iterator;
  gpointer value;
  record.origins = g_array_new(FALSE, FALSE, sizeof(StoredOrigin));
  g_hash_table_iter_init(&iterator, recorder->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const RecordedOrigin *row = value;
    StoredOrigin stored = row->stored;
    if (row->expires <= now)
      continue;
    stored.left_ms = (guint32)((row->expires - now) / MP_MS);
    g_array_append_val(record.origins, stored);
  }
  return record;
}

gboolean origin_recorder_next_call(OriginRecorder *recorder, OriginsSave *out,
                                   gint64 now) {
  memset(out, 0, sizeof *out);
  if (now < origin_recorder_next_time(recorder))
    return FALSE;
  recorder->is_open = TRUE;
  recorder->next_call_at = now + CALL_INTERVAL;
  recorder->operation = !recorder->is_read ? STORE_READ
                        : store_position_is_none(recorder->position)
                            ? STORE_CREATE
                            : STORE_REPLACE;
  out->operation = recorder->operation;
  out->position = recorder->position;
  if (out->operation != STORE_READ) {
    out->record = write_rows(recorder, now);
    recorder->next_call_at =
        now +
        MAX(CALL_INTERVAL, (gint64)out->record.origins->len * ROW_INTERVAL);
    recorder->sent_change = recorder->change;
    recorder->is_filled = out->record.origins->len > 0;
  }
  return TRUE;
}

/* Adds what the object in the store holds. How long ago it was written is not
** known, so an origin is kept for as long as it was then to be kept. */
static void merge_record(OriginRecorder *recorder,
                         const StreamOriginsRecord *record, gint64 now) {
  guint i;
  for (i = 0; i < record->origins->len; i++) {
    const StoredOrigin *origin =
        &g_array_index(record->origins, StoredOrigin, i);
    gint64 left = MIN(origin->left_ms, STREAM_LEFT_MS_MAX) * MP_MS;
    const RecordedOrigin *row =
        g_hash_table_lookup(recorder->rows, &origin->key);
    gint64 expires = row != NULL ? row->expires : now + left;
    if (merge_row(recorder, origin, expires))
      recorder->change++;
  }
  recorder->is_filled = TRUE;
}

/* Moves the acknowledgements that are due now to a new array: those up to the
** change that was written, or all. */
static GArray *take_acks(OriginRecorder *recorder, guint64 change) {
  GArray *taken = g_array_new(FALSE, FALSE, sizeof(OriginAck));
  guint count = 0;
  while (count < recorder->acks->len &&
         g_array_index(recorder->acks, OriginAck, count).change <= change)
    count++;
  if (count > 0) {
    g_array_append_vals(taken, recorder->acks->data, count);
    g_array_remove_range(recorder->acks, 0, count);
  }
  return taken;
}

GArray *origin_recorder_handle_reply(OriginRecorder *recorder,
                                     StoreStatus status,
                                     StorePosition position,
                                     const StreamOriginsRecord *record,
                                     gboolean *is_written, gint64 now) {
  gboolean is_write = recorder->operation != STORE_READ;
  recorder->is_open = FALSE;
  recorder->is_failing = status == STORE_FAILED;
  *is_written = !recorder->is_failing;
  if (recorder->is_failing) {
    recorder->next_call_at = now + RETRY_INTERVAL;
    recorder->is_filled = recorder->is_filled || is_write;
    return take_acks(recorder, G_MAXUINT64);
  }
  if (status == STORE_NOT_FOUND) {
    recorder->is_read = TRUE;
    recorder->position = store_position_none();
  } else if (!store_position_is_none(position)) {
    recorder->is_read = TRUE;
    recorder->position = position;
  } else { /* a conflict that does not say with what */
    recorder->is_read = FALSE;
  }
  if (status == STORE_OK && is_write) {
    recorder->written_change = recorder->sent_change;
    return take_acks(recorder, recorder->sent_change);
  }
  if (record != NULL)
    merge_record(recorder, record, now);
  if (!is_write)
    recorder->next_call_at = now; /* the write that the read prepared */
  return take_acks(recorder, 0);
}

void origin_recorder_note_filled(OriginRecorder *recorder) {
  recorder->is_filled = TRUE;
}

void origin_recorder_store_restored(OriginRecorder *recorder) {
  recorder->is_read = FALSE;
  if (g_hash_table_size(recorder->rows) > 0)
    recorder->change++;
}

void origin_recorder_expire(OriginRecorder *recorder, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  if (now < recorder->next_expiry_at)
    return;
  recorder->next_expiry_at = now + EXPIRE_INTERVAL;
  g_hash_table_iter_init(&iterator, recorder->rows);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const RecordedOrigin *row = value;
    if (row->expires <= now)
      g_hash_table_iter_remove(&iterator);
  }
}
