/*
** account_shares.c
** Whether a client account uses more than its share of what engines complete
*/

#include "router/account_shares.h"

/* An account counts as over its share if it uses more than the share by this
** factor. Reports are up to 0.2 s old, a tenth of the time over which use is
** measured. */
#define OVER_SHARE_FACTOR 1.1
/* Demands that exceed the use of all accounts by less than this part of it are
** rounding errors, not waiting requests. */
#define UNMET_PART_MIN 1e-3

/* Returns the mean of the stated weights, or 1 if none is stated. */
static double mean_weight(const AccountShare *accounts, guint count) {
  double sum = 0;
  guint stated = 0;
  guint i;
  for (i = 0; i < count; i++) {
    sum += accounts[i].weight;
    stated += accounts[i].weight > 0;
  }
  return stated > 0 ? sum / stated : 1;
}

static double weight_of(const AccountShare *account, double mean) {
  return account->weight > 0 ? account->weight : mean;
}

/*
** Returns what each unit of weight may use so that all accounts together use
** 'capacity', given that none uses more than it asks for. Each pass sets
** accounts aside that ask for less than the level, which raises the level for
** the others, so it takes at most as many passes as there are accounts.
*/
static double fair_level(const AccountShare *accounts, guint count,
                         double mean, double capacity) {
  double level = 0;
  guint unmet = count + 1; /* accounts that ask for more than the level */
  guint unmet_before;
  do {
    double left = capacity;
    double weights = 0;
    guint i;
    unmet_before = unmet;
    unmet = 0;
    for (i = 0; i < count; i++) {
      double weight = weight_of(&accounts[i], mean);
      if (accounts[i].demand <= level * weight) {
        left -= accounts[i].demand;
        continue;
      }
      weights += weight;
      unmet++;
    }
    if (unmet == 0)
      return G_MAXDOUBLE;
    level = left / weights;
  } while (unmet < unmet_before);
  return level;
}

void account_shares_compute(AccountShare *accounts, guint count) {
  double mean = mean_weight(accounts, count);
  double use = 0;
  double demand = 0;
  double level = G_MAXDOUBLE;
  guint i;
  for (i = 0; i < count; i++) {
    use += accounts[i].use;
    demand += accounts[i].demand;
  }
  if (demand - use > UNMET_PART_MIN * use)
    level = fair_level(accounts, count, mean, use);
  for (i = 0; i < count; i++) {
    AccountShare *account = &accounts[i];
    account->share =
        level < G_MAXDOUBLE ? level * weight_of(account, mean) : G_MAXDOUBLE;
    account->is_over = account->weight > 0 &&
                       account->use / OVER_SHARE_FACTOR > account->share;
  }
}
