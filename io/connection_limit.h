/*
** connection_limit.h
** Decides how many callers' connections an instance takes in while it cannot
** keep up
**
** The limit is on connections that are awaited or busy (intake.h). There is
** none until the instance was behind for the first time. From then on it
** follows AIMD: it falls to a share of what is under way while the instance is
** behind, and grows by steps while connections are refused and it keeps up. So
** it is learned from the instance's own speed and from what the present
** requests cost, and needs no figure for either.
** The instance is behind when its loop was not idle between two measurements
** and takes long turns, or when packets queue at its link (path_delay.h). The
** limit is then at most twice what was under way while the instance kept up,
** so that it does not first take in what it needs seconds to work off.
**
** Invariants:
** - One connection in ADMIT_INTERVAL_MAX is always admitted.
** - Once it is at most twice the usual, the limit falls only while no more
**   than it allows is under way: otherwise what was taken in before still
**   causes the delay.
** The module does no I/O and reads no clock. All times are in microseconds of
** one steady clock. Used by intake.c.
*/

#ifndef CONNECTION_LIMIT_H
#define CONNECTION_LIMIT_H

#include "io/loop_lag.h"

/* The longest time without an admitted connection while connections come (us).
** Load balancers and callers must see that the instance is there. */
#define ADMIT_INTERVAL_MAX (500 * MP_MS)

/* All zero: no limit was learned yet. */
typedef struct ConnectionLimit {
  guint limit;        /* connections; 0: none */
  gboolean is_behind; /* as of the last measurement */
  gboolean has_bound; /* a connection was refused since then */
  gint64 admitted_at; /* the last admitted connection */
  gint64 lowered_at;  /* when the limit last fell */
  double usual;       /* the most that was under way while the loop kept up,
                      ** in about the last ten seconds */
} ConnectionLimit;

/* Takes a measurement of the loop in, and by how much packets are delayed
 *(us);
 ** 'under_way' connections are awaited or busy. */
void connection_limit_measure(ConnectionLimit *limit, const LoopSample *sample,
                              gint64 path_delay, guint under_way);
/* Returns whether one more connection is admitted, which is noted. */
gboolean connection_limit_admit(ConnectionLimit *limit, guint under_way,
                                gint64 now);
/* Returns TRUE if no further connection would be admitted but the one in
** ADMIT_INTERVAL_MAX. */
gboolean connection_limit_is_reached(const ConnectionLimit *limit,
                                     guint under_way);

#endif
