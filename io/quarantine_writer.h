/*
** quarantine_writer.h
** Writes the quarantine records of this instance to the store
**
** A record (router/quarantine.h) lists the endpoints that crashed while they
** ran a request. Instances send records to each other as well (crash reports),
** but records that only instances had would be lost if most of the instances
** were killed at once. Used by gateway.c.
*/

#ifndef QUARANTINE_WRITER_H
#define QUARANTINE_WRITER_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct QuarantineWriter QuarantineWriter;

/* The pointers are borrowed, and have to outlive the writer. */
QuarantineWriter *quarantine_writer_new(struct event_base *base,
                                        const Dialect *dialect, mp_Addr store,
                                        Router *router, Log *log);
void quarantine_writer_free(QuarantineWriter *writer);

/* Begins the next write, if one is due and no other is in progress. */
void quarantine_writer_poll(QuarantineWriter *writer);

/* The number of calls to the store since the start. */
guint64 quarantine_writer_store_calls(const QuarantineWriter *writer);

#endif
