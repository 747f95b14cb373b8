/*
** stream_records.c
** What the store keeps about streams that callers may take up again
*/

#include "router/stream_records.h"

void stream_origins_record_clear(StreamOriginsRecord *record) {
  if (record->origins != NULL)
    g_array_free(record->origins, TRUE);
  record->origins = NULL;
}
