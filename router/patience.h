/*
** patience.h
** The longest request timeout that callers of a route had lately
**
** The patience of a caller is the time from now on for which it will wait for
** an answer. A caller that retries keeps its original deadline, so a request
** with clearly less time left than other callers of its route have is taken
** for a retry: its caller tried before, that much time ago, and was refused or
** lost the answer. A route may allow more time than any caller asks for, so
** the reference is the longest patience that a caller of the route had lately.
** Where callers of one route differ in their timeouts, the impatient ones are
** taken for retries. That costs them their place in the queue where there is
** no room, and nothing else.
**
** admission.c records each request for an engine here.
*/

#ifndef ROUTER_PATIENCE_H
#define ROUTER_PATIENCE_H

#include "madderpier.h"

/* A patience that was seen counts for at least this long (30 s) and for less
** than three times as long: windows rotate only when a request comes. 30 s,
** because at the rarest routes of large deployments an
** instance gets a request every few seconds, and one in three of them is a
** first try even in a burst of twice the load. */
#define PATIENCE_WINDOW (30 * MP_SEC)

/* The recent patience of each route, by the route's name. */
typedef struct PatienceTable PatienceTable;

/* The caller owns the table and frees it with patience_table_free. */
PatienceTable *patience_table_new(void);
void patience_table_free(PatienceTable *table);

/* Records that a caller of the route waits for 'patience' microseconds from
** 'now' on. Returns the longest patience of the route's recent callers, this
** one among them. The route's name is copied. */
gint64 patience_table_observe(PatienceTable *table, const char *route,
                              gint64 patience, gint64 now);

#endif
