/*
** shared_totals.h
** What instances took of limits that they share, as totals that they tell
**
** Each tells what it has taken since its start, so a message that is lost is
** made good by the next one. What counts is what came on top of the total
** before. A total that is heard for the first time, or after a silence, says
** nothing of what was taken lately: while a peer is out of reach, the others'
** share of a limit is smaller instead (limit_share).
*/

#ifndef ROUTER_SHARED_TOTALS_H
#define ROUTER_SHARED_TOTALS_H

#include <glib.h>

/* who shares the limits, as this instance sees it now */
typedef struct LimitSharers {
  unsigned instances; /* that there are; 0: not known yet */
  unsigned
      heard; /* of them, heard within ACCOUNT_PEER_TIMEOUT, and this one */
} LimitSharers;

/* the part of a limit that is this side's, if instances are out of reach */
double limit_share(const LimitSharers *sharers);

typedef struct SharedTotals SharedTotals;
typedef struct PeerTotals PeerTotals; /* one peer's */

/* a peer that was not heard for longer than this is out of reach */
SharedTotals *shared_totals_new(gint64 silence);
void shared_totals_free(SharedTotals *totals);

/* peers whose totals are kept */
guint shared_totals_peer_count(const SharedTotals *totals);

/* a message of this peer is there: its totals follow */
PeerTotals *shared_totals_receive(SharedTotals *totals, guint64 peer,
                                  gint64 now);
/* what came on top of its total before. A smaller one is of a new life, or has
** wrapped: then a little is left out, once in some hours */
guint32 peer_totals_increase(PeerTotals *peer, guint32 limit, guint32 total);

#endif
