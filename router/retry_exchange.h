/*
** retry_exchange.h
** What instances tell each other about their retry budgets
** Totals since an instance's start travel with every digest: one that is
** lost is made good by the next, and a smaller total is a new life's.
*/

#ifndef ROUTER_RETRY_EXCHANGE_H
#define ROUTER_RETRY_EXCHANGE_H

#include "router/state.h"

/* this instance's own totals */
void retry_exchange_write(const Router *router, mp_LoadDigest *out);
/* those and what was heard of instances: the whole data centre's */
void retry_exchange_write_sum(const Router *router, mp_LoadDigest *out);
/* a peer's digest replaces the one before; NULL: there was none */
void retry_exchange_receive(Router *router, const mp_LoadDigest *before,
                            const mp_LoadDigest *after, gint64 now);
/* the same of a data centre's sums. The first ones that a relay tells are
** only where its counting begins */
void retry_exchange_receive_sum(Router *router, const mp_LoadDigest *before,
                                const mp_LoadDigest *after, gint64 now);

/* is one more arrival beyond the first left for that service? */
gboolean retry_exchange_has_extra(Router *router, const char *service,
                                  gint64 now);
/* may a request for that service cause one more arrival? Spends it */
gboolean retry_exchange_try_take(Router *router, const char *service,
                                 gint64 now);

#endif
