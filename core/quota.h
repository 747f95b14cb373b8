/*
** quota.h
** Limits of client accounts, by slices lent from the account's home
** Reads: config, members. Writes: its own buckets.
**
** The home (an instance, by rendezvous) owns the account's bucket and
** lends slices that expire. Whoever cannot reach the home falls back to an
** even share of the limit, so a cut neither stops an account nor frees it;
** with the switch quota_slices off that is all there is.
*/

#ifndef QUOTA_H
#define QUOTA_H

#include "state.h"

typedef void (*QuotaFn)(mp_State *state, void *ud, int admitted);

void quota_init(mp_State *state);
void quota_free(mp_State *state);

/*
** Ask to admit one request of the account. Returns 1 or 0 when that is
** known now, -1 when 'fn' will say.
*/
int quota_admit(mp_State *state, const mp_Account *a, QuotaFn fn, void *ud);

/* the one that waits is gone */
void quota_cancel_wait(mp_State *state, void *ud);

/* handle QUOTA */
void quota_handle_message(mp_State *state, mp_Addr from, const mp_Msg *m);

#endif
