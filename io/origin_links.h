/*
** origin_links.h
** Makes the calls to the store about where streams began
**
** One link writes the objects of this instance, another one lists those of all
** instances (router/origin_store.h). Used by gateway.c.
*/

#ifndef ORIGIN_LINKS_H
#define ORIGIN_LINKS_H

#include <event2/event.h>

#include "dialect/dialect.h"
#include "io/log.h"

typedef struct OriginLinks OriginLinks;

/* Called when a call has ended, which may have changed the router. */
typedef void (*OriginLinksChanged)(void *data);

/* 'instance' names this instance's object. The pointers are borrowed, and have
** to outlive the links. Has the router use the store from now on. */
OriginLinks *origin_links_new(struct event_base *base, const Dialect *dialect,
                              mp_Addr store, const char *instance,
                              Router *router, Log *log,
                              OriginLinksChanged changed, void *data);
void origin_links_free(OriginLinks *links);

/* Begins the calls that are due, and sets the timer for the next ones. */
void origin_links_poll(OriginLinks *links);

/* The number of calls to the store since the start. */
guint64 origin_links_store_calls(const OriginLinks *links);

#endif
