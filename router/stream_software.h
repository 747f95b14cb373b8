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
/* Returns the version of the service that its set holds alone, by a read that
** began at 'read_since' or later; 0: none, or there was no such read. */
guint64 stream_software_only(const Router *router, guint32 service,
                             gint64 read_since, gint64 now);
/* Has the set read again, unless a read began at 'since' or later. Returns
** FALSE if there is none to wait for. */
gboolean stream_software_want_read(Router *router, guint32 service,
                                   gint64 since);

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
