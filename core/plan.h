/*
** plan.h
** When a KV transfer may start: links at their rate, earliest expiry first
** Reads: config. Writes: its own queue of transfers for this instance.
*/

#ifndef PLAN_H
#define PLAN_H

#include "state.h"

typedef void (*LinkStartFn)(mp_State *state, void *ud);

void link_init(mp_State *state);
void link_free(mp_State *state);

/*
** Ask for the path between two data centres for 'bytes' that expire at
** 'until'. 'fn' is called when the transfer may start (perhaps at once).
*/
void link_request(mp_State *state, const char *from, const char *to,
                  uint64_t bytes, mp_Time until, LinkStartFn fn, void *ud);

/* the transfer (waiting or under way) of 'ud' is over */
void link_release(mp_State *state, void *ud);

/* how long that many bytes take on the path, alone */
mp_Time link_transfer_time(const mp_State *state, const char *from,
                           const char *to, uint64_t bytes);

#endif
