/*
** store.h
** Stand-in for the platform's metadata store
**
** It keeps objects by kind and name, in memory, and answers conditional
** writes, lists in pages and watches over HTTP (see store.c for the calls).
** Each write raises the revision by one. Every answer names the era, which
** rises when the store is restored from an older copy. There is one store in a
** process, and fleet.c sets its faults.
*/

#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "standin/serve.h"

/* Opens the empty store at an address; called once, before all others. */
void store_start(struct event_base *base, mp_Addr at);

/*
** Has the store listen at a further address, where it gives each worker the
** address that 'addresses' (address -> address, which it takes over) has for
** its own. Instances that use such ports reach workers by ways of their own.
*/
void store_start_view(mp_Addr at, json_t *addresses);

/* Creates or replaces an object whatever its revision; takes over 'spec'. */
void store_put_object(const char *kind, const char *name, json_t *spec);
/* Removes an object; does nothing when there is none. */
void store_remove_object(const char *kind, const char *name);

/*
** Sets the fault mode, which replaces the previous one: "ok", "down" (answers
** 503 to all calls), "silent" (answers nothing), "lose" (writes take effect
** and their connection is cut), "compact" (as "ok", and the history is
** deleted: watches are answered with 410). Returns 0 when there is no such
** mode.
*/
int store_set_fault(const char *mode);

/*
** Restores the store from a copy that is 'age_ms' old: later writes are lost,
** their revisions are given out again, the era rises, and the connections of
** watches are cut. Objects of the operator and the workers are written again
** 300 ms later, in the place of their writers: of an object's lost writes the
** oldest one, unless the object was written since the restore.
*/
void store_restore(int64_t age_ms);

/* Returns how many calls the store has received since its start. */
unsigned store_count_calls(void);

#endif
