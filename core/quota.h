/*
** quota.h
** Request limits of client accounts, shared by all instances
**
** Each account has a home, the instance that a rendezvous hash of its name
** picks. The home owns the account's token bucket and lends the other
** instances slices of it: a number of requests that expires after
** MP_QUOTA_SLICE_TIME. An instance that cannot reach the home admits an even
** share
** of the limit instead, at least one request per MP_QUOTA_SLICE_TIME, so that
** a network cut neither stops an account nor lifts its limit. With the policy
** 'quota_slices' off every instance admits the even share.
**
** Reads the configuration and the members; owns its slices and buckets.
*/

#ifndef QUOTA_H
#define QUOTA_H

#include "state.h"

/* Called once with 'admitted' 1 or 0. */
typedef void (*QuotaFn)(mp_State *state, void *ud, int admitted);

void quota_init(mp_State *state);
void quota_free(mp_State *state);

/*
** Asks to admit one request of the account. Returns 1 (admitted) or 0
** (refused) when that is known now; 'fn' is then not called. Otherwise
** returns -1, and 'fn' is called with 'ud', perhaps before the return.
*/
int quota_admit(mp_State *state, const mp_Account *a, QuotaFn fn, void *ud);

/*
** Forgets the request that waits with 'ud': its function is not called any
** more. Does nothing when none waits.
*/
void quota_cancel_wait(mp_State *state, void *ud);

/*
** Handles a QUOTA message. The account's home answers with a slice, or with
** MP_DENIED when its bucket is empty; any other instance answers
** MP_WRONG_HOME.
*/
void quota_handle_message(mp_State *state, mp_Addr from, const mp_Msg *m);

#endif
