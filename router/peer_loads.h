/*
** peer_loads.h
** What the other instances have open at each endpoint, as they last said
**
** Each instance sends all that it has open whenever that changes, so a
** lost message is made good by the next one. What a peer said counts
** until it says something else, or for PEER_LOAD_TIMEOUT.
**
** A relay sums up what the instances of another data centre have open. Such
** a summary stands for one peer; of one data centre, the relay heard last
** counts alone.
*/

#ifndef ROUTER_PEER_LOADS_H
#define ROUTER_PEER_LOADS_H

#include "madderpier.h"

/* a peer that is silent this long has nothing open any more */
#define PEER_LOAD_TIMEOUT (1500 * MP_MS)

typedef struct PeerLoads PeerLoads;

PeerLoads *peer_loads_new(void);
void peer_loads_free(PeerLoads *loads);

/* 'sequence' grows with every digest of one life of the peer; FALSE when
** the digest was overtaken by a newer one */
gboolean peer_loads_update(PeerLoads *loads, mp_Addr peer, guint32 sequence,
                           const mp_LoadDigest *digest, gint64 now);
/* the same of a summary that a relay made */
gboolean peer_loads_update_summary(PeerLoads *loads, guint32 sequence,
                                   const mp_LoadSummary *summary, gint64 now);
/* sum up the digests of the instances heard from lately, and add them to the
** loads that stand in 'out' already */
void peer_loads_add_to_summary(const PeerLoads *loads, mp_LoadSummary *out,
                               gint64 now);
/* a peer has reserved room since its digest number 'after' */
void peer_loads_add_reservation(PeerLoads *loads, mp_Addr peer,
                                const mp_LoadNote *note);
/* what a peer said last, silent or not; NULL: it was never heard */
const mp_LoadDigest *peer_loads_latest_digest(const PeerLoads *loads,
                                              mp_Addr peer);
const mp_LoadDigest *peer_loads_latest_summary(const PeerLoads *loads,
                                               mp_Addr relay);
/* instances heard from within that time, by themselves or in a summary */
guint peer_loads_count_reachable(const PeerLoads *loads, gint64 silence,
                                 gint64 now);
/* forget the peers that are silent; FALSE when there were none */
gboolean peer_loads_expire(PeerLoads *loads, gint64 now);

/* sums over all peers, by the hash of the endpoint's id */
guint64 peer_loads_tokens(const PeerLoads *loads, guint32 endpoint);
/* sum of the shares of failures that peers saw lately, 0 to 1 each */
double peer_loads_failure_shares(const PeerLoads *loads, guint32 endpoint);
guint peer_loads_open_dispatches(const PeerLoads *loads, guint32 endpoint);

/* does some peer say that this engine changes its stage? */
gboolean peer_loads_is_changing_stage(const PeerLoads *loads,
                                      guint32 endpoint);
/* requests that wait for room at the peers */
guint peer_loads_waiting_requests(const PeerLoads *loads);
/* of those, the ones that can still be answered in time */
guint peer_loads_waiting_in_time(const PeerLoads *loads);
/* peers where one of these came before that time */
guint peer_loads_count_waiting_longer(const PeerLoads *loads, gint64 came);
/* peers where any request waits for room */
guint peer_loads_count_with_waiting(const PeerLoads *loads);
/* instances heard from lately by themselves whose address is smaller */
guint peer_loads_count_lower_addresses(const PeerLoads *loads, mp_Addr address,
                                       gint64 now);

#endif
