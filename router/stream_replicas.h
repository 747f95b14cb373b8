/*
** stream_replicas.h
** Chooses the instances that keep what is known of a stream, by rendezvous
** hashing over the list of instances
**
** Each instance computes the same choice from the same list; when an instance
** leaves, only what it was chosen for moves. Lists are arrays of RelayMember:
** all instances but the one that asks, whose address is 'self'.
*/

#ifndef ROUTER_STREAM_REPLICAS_H
#define ROUTER_STREAM_REPLICAS_H

#include "router/state.h"

/* Writes the addresses of the stream's replicas, those of the largest weights
** with at least two outside of any one data centre as far as there are, to
** 'out' (STREAM_REPLICAS_MAX), and returns their number. */
guint stream_replicas_list(const GArray *members, const StreamKey *key,
                           mp_Addr *out);
/* Returns TRUE if this instance has the largest weight for this key. */
gboolean stream_replicas_is_first(const GArray *members, mp_Addr self,
                                  guint64 key);
/* Returns the instance of the data centre (hash of its name, that of this
** instance) with the largest weight, without 'avoided' (0: none) unless it is
** the only one; it may be this one. */
mp_Addr stream_replicas_recorder(const GArray *members, mp_Addr self,
                                 guint32 zone, mp_Addr avoided);

#endif
