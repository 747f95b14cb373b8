/*
** plan.h
** Decides when a KV transfer between data centres may start
**
** A KV transfer moves a KV result, the attention keys and values that a
** prefill made, to the decode engine. A link is the path from one data centre
** to another. The module owns this instance's queue of transfers, limits how
** many of them are under way on a link at once, and lets the one go first that
** must start first to be through before its KV result expires. A transfer
** within a data centre, and every transfer while the policy 'transfer_plan' is
** off, starts at once. Reads the configuration. work.c requests and releases
** transfers; ending.c releases that of a request that ends.
*/

#ifndef PLAN_H
#define PLAN_H

#include "state.h"

/* Called once when the transfer requested with 'ud' may start. */
typedef void (*LinkStartFn)(mp_State *state, void *ud);

void link_init(mp_State *state);
void link_free(mp_State *state);

/*
** Requests the link from data centre 'from' to data centre 'to' for 'bytes'
** bytes of a KV result that expires at 'until'. 'fn' is called with 'ud' as
** soon as the transfer may start, perhaps before this function returns.
** 'ud' identifies the transfer and stays the caller's.
*/
void link_request(mp_State *state, const char *from, const char *to,
                  uint64_t bytes, mp_Time until, LinkStartFn fn, void *ud);

/*
** Removes the transfer of 'ud', queued or under way, and starts the next
** queued one that may go. Does nothing when 'ud' has no transfer.
*/
void link_release(mp_State *state, void *ud);

/*
** Returns the time in microseconds that 'bytes' bytes take from one data
** centre to the other when nothing else uses the link.
*/
mp_Time link_transfer_time(const mp_State *state, const char *from,
                           const char *to, uint64_t bytes);

#endif
