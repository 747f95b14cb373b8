/*
** retry.h
** The retry budget and the backoff between retries
**
** The budget of this instance grows by a share of a retry with every fresh
** request, and by MP_RETRIES_PER_S retries a second; every retry takes one out
** of it. Retries thus stay a share of the fresh traffic and cannot feed an
** overload. The module uses none of the shared tables (board.h).
*/

#ifndef RETRY_H
#define RETRY_H

#include "state.h"

/*
** Adds a fresh request's share, MP_RETRY_PERCENT percent of a retry. admit.c
** calls it for each request that is valid, before the account's limit is
** checked.
*/
void retry_budget_deposit(mp_State *state);

/*
** Takes one retry out of the budget. Returns 1, or 0 when less than one is
** left; the retry must then not be made. Both outcomes are counted.
*/
int retry_budget_try_withdraw(mp_State *state);

/*
** Returns the wait in microseconds before retry number 'n', counted from 1.
** The longest wait is MP_RETRY_DELAY times 2 to the power of 'n', with 'n'
** taken as 4 at most; the wait is random between half of the longest and all
** of it.
*/
mp_Time retry_backoff(mp_State *state, unsigned n);

#endif
