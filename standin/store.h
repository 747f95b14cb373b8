/*
** store.h
** Stand-in for the platform's metadata store: objects by kind and name,
** conditional writes, lists with pages, watches, and its faults
*/

#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "standin/serve.h"

/* open the store on an address */
void store_start(struct event_base *base, mp_Addr at);

/* create or replace an object; takes over 'spec' */
void store_put_object(const char *kind, const char *name, json_t *spec);
void store_remove_object(const char *kind, const char *name);

/*
** "ok", "down" (503 to all), "silent" (no answers), "lose" (writes take
** effect and are not answered), "compact" (the history is gone: watches
** are told so). 0: no such mode
*/
int store_set_fault(const char *mode);

/*
** The store was away and is back from a copy that is so old: what was written
** since is gone, revisions are given out again, the era rises, and watches are
** cut. Objects of the operator and the workers are written again a moment
** later, as they stood at last.
*/
void store_restore(int64_t age_ms);

/* calls since the start */
unsigned store_calls(void);

#endif
