/*
** stages.h
** Changes the stages of engines: plans changes and orders them
**
** An engine prefills or decodes (router/stage_plan.h); an order tells it to
** change to the other stage. One instance at a time may give orders, the one
** that holds a lease (router/lease.h) in the store. The live instance with the
** smallest address tries to acquire it first; each of the next ones tries only
** if the need for a change lasts longer. An engine that is to change is named
** in the load digests first, so that no instance sends it work; then it is
** asked for its state (DISPATCH_REPORT), and then it gets the order
** (DISPATCH_ORDER).
**
** Reads: routes, endpoints and loads of the router. Writes:
** Endpoint.changing_to, changing_until and no_order_before, and
** Router.load_version. Only router.c (events and time) and loads.c (digests)
** call this.
**
** Invariants:
** - An order is sent only while the lease is held for longer than connecting
**   to the engine may take.
** - An order names the engine's incarnation and the number of orders that this
**   incarnation has accepted before.
** - After an engine has reported a newer fence (the number of an order that
**   grows with each replacement of the lease and each era of the store),
**   nothing more is sent under the old one.
**
** Times are microseconds of the router's steady clock.
*/

#ifndef ROUTER_STAGES_H
#define ROUTER_STAGES_H

#include "router/lease.h"
#include "router/router.h"

typedef struct Stages Stages;

/* Creates the state for a router, which must outlive it. 'holder' is this
** instance's name in the lease (copied), 'self' the address by which the
** others know this instance. No orders are given if 'lease_length' is 0. Free
** it with stages_free. */
Stages *stages_new(Router *router, const char *holder, mp_Addr self,
                   gint64 lease_length, gint64 now);
void stages_free(Stages *stages);

/* Does what is due: asks named engines for their state, and reviews the use of
** the engines. */
void stages_tick(Stages *stages, gint64 now);
/* Returns when stages_tick is to be called next. */
gint64 stages_next_tick(const Stages *stages);
/* Handles the outcome of a REPORT or ORDER dispatch. Returns FALSE, and does
** nothing, if the dispatch was sent by another module. */
gboolean stages_handle_outcome(Stages *stages, const Outcome *outcome,
                               gint64 now);
/* Drops the changes of an endpoint that was started again: orders to the
** earlier incarnation are void. */
void stages_drop_changes(Stages *stages, const char *endpoint);
/* Takes note of an era that the store has named to any instance. */
void stages_observe_era(Stages *stages, guint64 era, gint64 now);
/* Handles the store's reply to RouterHost.lease_call. */
void stages_lease_reply(Stages *stages, const LeaseReply *reply, gint64 now);
/* Writes the hashes (Endpoint.hash) of the engines whose change by this
** instance is under way, at most 'most' of them, and returns their number. */
guint stages_list_changing(const Stages *stages, guint32 *hashes, guint most,
                           gint64 now);

#endif
