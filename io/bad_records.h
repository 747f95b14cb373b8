/*
** bad_records.h
** The objects of the store that cannot be used: totals, the present number,
** and the log lines about them
**
** directory.c reports each state of an object that it cannot use, and each
** object that it can use again or that is gone. An object is known by its
** kind and name. Invariants: an object is logged once for each field that is
** wrong, and again only after it could be used or was gone, so that a writer
** that goes on changing a bad object does not fill the log; at most
** BAD_RECORDS_MAX objects of each kind are remembered.
*/

#ifndef BAD_RECORDS_H
#define BAD_RECORDS_H

#include "dialect/dialect.h"
#include "io/log.h"

/*
** Largest number of objects of one kind that are remembered: it bounds the
** memory for names, which other writers choose. Objects beyond it are counted
** in the totals, but neither logged nor in the present number.
*/
#define BAD_RECORDS_MAX 1024

typedef struct BadRecords BadRecords;

/* 'log' is borrowed, and outlives the result. */
BadRecords *bad_records_new(Log *log);
void bad_records_free(BadRecords *bad);

/*
** Counts a state of an object that cannot be used, and logs it unless that has
** been done already. 'error' says what is wrong, and may be NULL
** (record_error_field); it is freed.
*/
void bad_records_add(BadRecords *bad, StoreKind kind, const char *name,
                     GError *error);
/* The object can be used, or is gone. */
void bad_records_remove(BadRecords *bad, StoreKind kind, const char *name);
/* Only objects whose names are keys of 'names' exist. */
void bad_records_keep(BadRecords *bad, StoreKind kind, GHashTable *names);

/*
** The number of states of objects of a kind that could not be used because
** this field was missing or invalid, since the start.
*/
guint64 bad_records_total(const BadRecords *bad, StoreKind kind,
                          RecordField field);
/* The number of objects of a kind that cannot be used now. */
guint bad_records_present(const BadRecords *bad, StoreKind kind);

#endif
