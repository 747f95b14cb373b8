/*
** stream_software.h
** At which versions of the endpoints' software new streams may begin, and for
** which version the set in the store speaks (software_set.h)
*/

#ifndef ROUTER_STREAM_SOFTWARE_H
#define ROUTER_STREAM_SOFTWARE_H

#include "router/endpoint_choice.h"
#include "router/router.h"
#include "router/software_set.h"

struct Request;

/* Restricts a query for a new resumable stream to versions that are allowed
** and have been known for news_age_max and a margin, as far as endpoints of
** such versions can run it. What it sets in the query is borrowed until the
** next call. */
void stream_software_restrict(Router *router, EndpointQuery *query,
                              const struct Request *request, gint64 now);
/* Returns the version of the service for which this instance vouches by the
** set, if its list is up to date; 0: none. */
guint64 stream_software_only(const Router *router, guint32 service,
                             gint64 now);
/* Returns TRUE if the first read of the service's set has not ended. */
gboolean stream_software_is_pending(const Router *router, guint32 service);

/*
** Calls to the store, which io/software_set_writer.c makes
*/

/* As software_sets_next_call. */
gboolean router_next_software_call(Router *router, SoftwareSetCall *out,
                                   gint64 *due, gint64 now);
/* Handles the reply to 'call', which was the newest; 'era' is that of the
** store, 0: it did not answer. */
void router_software_reply(Router *router, const SoftwareSetCall *call,
                           const SoftwareSetReply *reply, guint64 era,
                           gint64 now);

#endif
