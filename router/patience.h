/*
** patience.h
** How long callers wait for an answer, by route
**
** A caller keeps the time it has over all its tries. One that has clearly less
** left than others of the same route has tried before, and that long ago: it
** was refused, or lost its answer. A route may allow more than any caller asks
** for, so the reference is the longest time that a caller of it had lately.
** Callers that differ among themselves are taken for ones that came back; that
** costs the impatient ones their place where there is no room, nothing else.
*/

#ifndef ROUTER_PATIENCE_H
#define ROUTER_PATIENCE_H

#include "madderpier.h"

/* a time that was seen counts for this long at least, and for twice this at
** most: at the rarest routes of large deployments an instance gets a request
** in some seconds, and one in three of them comes from a first try even in a
** burst of twice the load */
#define PATIENCE_WINDOW (30 * MP_SEC)

typedef struct PatienceTable PatienceTable;

PatienceTable *patience_table_new(void);
void patience_table_free(PatienceTable *table);

/*
** A caller of the route waits for 'patience' from now on (microseconds).
** Returns the longest that one of it had lately, this one among them.
*/
gint64 patience_table_observe(PatienceTable *table, const char *route,
                              gint64 patience, gint64 now);

#endif
