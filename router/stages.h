/*
** stages.h
** Orders to engines to change their stage
**
** Every instance could give them; one at a time may, by a lease. The live
** instance with the smallest address tries first, the next ones when the
** need lasts longer. Engines are named to the others before they are asked
** for their state and ordered, so that nobody sends them work meanwhile.
**
** Reads: routes, endpoints, loads. Writes: Endpoint.changing_*.
** Invariants: an order is sent only while the lease is held for longer
** than a connection may take; it names the engine's incarnation and the
** number of orders that this one has taken; after an engine has seen a
** newer fence nothing more is sent under the old one.
*/

#ifndef ROUTER_STAGES_H
#define ROUTER_STAGES_H

#include "router/lease.h"
#include "router/router.h"

typedef struct Stages Stages;

/* 'self' is the address by which the others know this instance */
Stages *stages_new(Router *router, const char *holder, mp_Addr self,
                   gint64 lease_length, gint64 now);
void stages_free(Stages *stages);

void stages_tick(Stages *stages, gint64 now);
gint64 stages_next_tick(const Stages *stages);
/* FALSE when the dispatch is none of these */
gboolean stages_handle_outcome(Stages *stages, const Outcome *outcome,
                               gint64 now);
/* the engine has started again: what was ordered of it is void */
void stages_drop_changes(Stages *stages, const char *endpoint);
/* the store has named this era, here or to another instance */
void stages_observe_era(Stages *stages, guint64 era, gint64 now);
void stages_lease_reply(Stages *stages, const LeaseReply *reply, gint64 now);
/* the engines that were ordered to change, by hash; at most 'most' */
guint stages_list_changing(const Stages *stages, guint32 *hashes, guint most,
                           gint64 now);

#endif
