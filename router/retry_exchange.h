/*
** retry_exchange.h
** Exchanges the counts of retry budgets between instances
**
** Each load digest carries the totals since its sender's start. So a lost
** digest is made up for by the next one, and a smaller total comes from a
** sender that has restarted.
*/

#ifndef ROUTER_RETRY_EXCHANGE_H
#define ROUTER_RETRY_EXCHANGE_H

#include "router/state.h"

/* Writes this instance's own totals to 'out'. */
void retry_exchange_write(const Router *router, mp_LoadDigest *out);
/*
** Writes the data centre's totals to 'out': those of this instance and what
** other instances have reported to it.
*/
void retry_exchange_write_sum(const Router *router, mp_LoadDigest *out);
/*
** Counts what a digest of a peer reports beyond 'before', the one that it
** replaces. A total smaller than before counts whole, because the peer has
** restarted. If 'before' is NULL, this is the peer's first digest: its totals
** count whole too, except during the first window after the start of this
** instance, when they count nothing because they were spent before.
*/
void retry_exchange_receive(Router *router, const mp_LoadDigest *before,
                            const mp_LoadDigest *after, gint64 now);
/*
** Counts what the sums of a data centre, as a relay reports them, have grown
** beyond 'before', which that relay reported last. If 'before' is NULL,
** nothing counts: these sums are only what the relay's next ones are compared
** with. A sum smaller than before counts nothing either, because the relay has
** begun to count anew.
*/
void retry_exchange_receive_sum(Router *router, const mp_LoadDigest *before,
                                const mp_LoadDigest *after, gint64 now);

/*
** Returns TRUE when one more extra arrival, one beyond the first arrival of a
** request at an endpoint, remains for that service. Charges nothing.
*/
gboolean retry_exchange_has_extra(Router *router, const char *service,
                                  gint64 now);
/*
** Returns TRUE when a request for that service may cause one more extra
** arrival, and counts it.
*/
gboolean retry_exchange_try_take(Router *router, const char *service,
                                 gint64 now);

#endif
