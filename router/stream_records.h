/*
** stream_records.h
** What the store keeps about streams that callers may take up again: the
** contents of two kinds of objects
**
** Both outlive every instance (docs/design/stream-versions.md). Versions of
** the endpoints' software are 64-bit digests (endpoint_software_digest),
** services and accounts 32-bit hashes of their names.
*/

#ifndef ROUTER_STREAM_RECORDS_H
#define ROUTER_STREAM_RECORDS_H

#include "router/stream_origins.h"

/* The most versions of one service that a set holds. */
#define SOFTWARE_SET_MAX 16

/* A version at which resumable streams of a service may have begun. */
typedef struct SoftwareSetEntry {
  guint64 software;
  gboolean expiring; /* removed soon unless an instance unmarks it */
} SoftwareSetEntry;

/* The content of a STORE_SOFTWARE object; its name is that of the service. */
typedef struct SoftwareSetRecord {
  guint count;
  SoftwareSetEntry entries[SOFTWARE_SET_MAX];
} SoftwareSetRecord;

/* One origin in a STORE_ORIGINS object. */
typedef struct StoredOrigin {
  StreamKey key;
  guint64 software; /* 0: ambiguous */
  guint32 service;
  guint32 account; /* 0: none */
  guint32 left_ms; /* how long after the write it may still be taken up */
} StoredOrigin;

/* The content of a STORE_ORIGINS object; its name is that of the instance that
** writes it. */
typedef struct StreamOriginsRecord {
  GArray *origins; /* StoredOrigin; owned */
} StreamOriginsRecord;

/* Frees the array and sets the record to an empty one without an array. */
void stream_origins_record_clear(StreamOriginsRecord *record);

#endif
