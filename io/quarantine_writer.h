/*
** quarantine_writer.h
** Keeps in the store what this instance saw of requests that end endpoints
** (router/quarantine.h): what instances alone know is lost when most of them
** are killed at once.
*/

#ifndef QUARANTINE_WRITER_H
#define QUARANTINE_WRITER_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct QuarantineWriter QuarantineWriter;

QuarantineWriter *quarantine_writer_new(struct event_base *base,
                                        const Dialect *dialect, mp_Addr store,
                                        Router *router, Log *log);
void quarantine_writer_free(QuarantineWriter *writer);

/* there may be something to write */
void quarantine_writer_poll(QuarantineWriter *writer);

guint64 quarantine_writer_store_calls(const QuarantineWriter *writer);

#endif
