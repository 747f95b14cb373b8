/*
** software_set_writer.h
** Reads and writes the sets of versions at which streams may have begun
** (router/software_set.h) in the store
**
** Used by gateway.c.
*/

#ifndef SOFTWARE_SET_WRITER_H
#define SOFTWARE_SET_WRITER_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct SoftwareSetWriter SoftwareSetWriter;

/* The pointers are borrowed, and have to outlive the writer. After each reply,
** which may have started requests, 'on_done' is called; it polls. */
SoftwareSetWriter *software_set_writer_new(struct event_base *base,
                                           const Dialect *dialect,
                                           mp_Addr store, Router *router,
                                           Log *log, void (*on_done)(void *),
                                           void *data);
void software_set_writer_free(SoftwareSetWriter *writer);

/* Begins the next call, if one is due and none is in progress. */
void software_set_writer_poll(SoftwareSetWriter *writer);

/* The number of calls to the store since the start. */
guint64 software_set_writer_store_calls(const SoftwareSetWriter *writer);

#endif
