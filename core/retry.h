/*
** retry.h
** The retry budget: a share of fresh traffic, so that retries cannot feed
** an overload
** Reads nothing. Writes the budget.
*/

#ifndef RETRY_H
#define RETRY_H

#include "state.h"

/* a fresh request came: it earns a share of a retry */
void retry_budget_deposit(mp_State *state);

/* take one retry out of the budget; 0 when there is none */
int retry_budget_try_withdraw(mp_State *state);

/* how long to wait before the n-th retry, with jitter */
mp_Time retry_backoff(mp_State *state, unsigned n);

#endif
