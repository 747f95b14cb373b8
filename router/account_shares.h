/*
** account_shares.h
** Whether a client account uses more than its share of what engines complete
**
** While requests wait for room, the accounts share what the engines complete.
** Shares are weighted max-min fair: an account that asks for less than its
** share gets all of it, and what it leaves is shared by the others in
** proportion to their weights. So sharing is work-conserving.
**
** Invariants:
** 1. If every account uses all that it asks for, none is over its share.
** 2. An account that uses less than its part by weight of what all use is
**    within its share.
**
** The module is a pure function. account_limits.c feeds it with what all
** instances report.
*/

#ifndef ROUTER_ACCOUNT_SHARES_H
#define ROUTER_ACCOUNT_SHARES_H

#include <glib.h>

typedef struct AccountShare {
  double weight; /* the rate of its limit; 0: none is stated, and the account
                 ** counts with the mean of the stated weights */
  double use;    /* what it started recently */
  double demand; /* what it asked for recently: 'use', and what waits */
  double share;  /* result: what it may use; G_MAXDOUBLE: no bound */
  gboolean is_over; /* result: it uses more than its share; never so for an
                    ** account without a weight */
} AccountShare;

/* Fills in the results for all accounts. All amounts have the same unit. */
void account_shares_compute(AccountShare *accounts, guint count);

#endif
