/*
** path_delay.h
** How much longer than usual packets take between this instance and endpoints
**
** When the link of an instance carries all that it can, packets queue there,
** in either direction, and whatever it waits for comes later. Connecting takes
** one round trip and no work of the peer, so the shortest of some connects
** shows that queue; one slow endpoint does not.
** All times are in microseconds. A PathDelay that is all zero is empty. The
** module does no I/O and reads no clock. Used by intake.c.
*/

#ifndef PATH_DELAY_H
#define PATH_DELAY_H

#include "mpconf.h"

#include <glib.h>

typedef struct PathDelay {
  gint64 usual;  /* the shortest connects, over about the last minute; 0: none
                 ** is known */
  gint64 least;  /* the shortest one of 'samples' */
  guint samples; /* connects that were not judged yet */
  gint64 last;   /* the last judgement */
  guint age;     /* calls of path_delay_take since then */
} PathDelay;

/* A connection was made, or given up, after this time. */
void path_delay_add(PathDelay *delay, gint64 took);
/* Returns by how much the connects since the last judgement took longer than
** is usual. With too few of them to tell, the last judgement holds for some
** calls, and then 0. */
gint64 path_delay_take(PathDelay *delay);

#endif
