/*
** peer_loads.h
** The loads that the other instances report for each endpoint
**
** An instance sends a load digest (mp_LoadDigest) with all dispatches and
** memory that it has open at endpoints whenever that changes, so the next
** digest makes good a lost one.
** The last digest of a peer is counted until a newer one replaces it, or
** until the peer has been silent for PEER_LOAD_TIMEOUT.
**
** A relay is an instance that sums up the loads of its data centre for the
** other data centres (mp_LoadSummary). This module stores such a summary as
** one peer that stands for several instances. Of each data centre it keeps
** only the summary of the relay that it heard from last.
**
** Invariant: the sums by endpoint equal the rows of all stored digests plus
** the reservations that peers reported since those digests.
**
** The endpoint table (router/endpoint_table.h) owns the only PeerLoads of a
** router; loads.c feeds it. All times are in microseconds of this instance's
** steady clock. Endpoints are named by Endpoint.hash, the hash of their id
** and start time.
*/

#ifndef ROUTER_PEER_LOADS_H
#define ROUTER_PEER_LOADS_H

#include "madderpier.h"

/* A peer from which nothing was received for this long counts as having
** nothing open. */
#define PEER_LOAD_TIMEOUT (1500 * MP_MS)

typedef struct PeerLoads PeerLoads;

/* The caller frees the result with peer_loads_free. */
PeerLoads *peer_loads_new(void);
void peer_loads_free(PeerLoads *loads);

/*
** Replaces the stored digest of 'peer' by 'digest', which is copied.
** 'sequence' grows with every digest of one run of the peer's process. Returns
** FALSE and changes nothing when a digest as new or newer is already stored.
*/
gboolean peer_loads_update(PeerLoads *loads, mp_Addr peer, guint32 sequence,
                           const mp_LoadDigest *digest, gint64 now);
/* Does the same for the summary of another data centre. A summary that is
** accepted also removes the summaries of other relays of that data centre. */
gboolean peer_loads_update_summary(PeerLoads *loads, guint32 sequence,
                                   const mp_LoadSummary *summary, gint64 now);
/* Adds the digests of the instances heard from within PEER_LOAD_TIMEOUT to
** the loads that 'out' holds already, and counts these instances in
** out->instances. Summaries of other data centres are left out, and so are
** reservations. */
void peer_loads_add_to_summary(const PeerLoads *loads, mp_LoadSummary *out,
                               gint64 now);
/* Adds a row to the rows by priority of a digest; if there is no room, the
** lowest priority is left out. */
void peer_loads_add_waiting(mp_LoadDigest *out, const mp_WaitingRow *row);
/* Counts tokens that a peer has reserved since its digest note->after, until
** its next digest arrives. Does nothing unless that digest is the stored one.
*/
void peer_loads_add_reservation(PeerLoads *loads, mp_Addr peer,
                                const mp_LoadNote *note);
/* Returns the stored digest of a peer, or NULL if none was ever received. The
** result belongs to 'loads'. peer_loads_expire clears the loads in the digest
** of a silent peer and leaves the rest of it. */
const mp_LoadDigest *peer_loads_latest_digest(const PeerLoads *loads,
                                              mp_Addr peer);
/* Does the same for the sums in the last summary that 'relay' made. */
const mp_LoadDigest *peer_loads_latest_summary(const PeerLoads *loads,
                                               mp_Addr relay);
/* Returns how many instances were heard from less than 'timeout' ago, either
** by their own digests or as part of a summary. */
guint peer_loads_count_reachable(const PeerLoads *loads, gint64 timeout,
                                 gint64 now);
/* Returns how many of the instances that were heard from less than 'timeout'
** ago have begun a planned stop. */
guint peer_loads_count_stopping(const PeerLoads *loads, gint64 timeout,
                                gint64 now);
/* Returns the age of the oldest digest of a single instance that came within
** PEER_LOAD_TIMEOUT; 0 if there is none. */
gint64 peer_loads_oldest(const PeerLoads *loads, gint64 now);
/* Stops counting the loads of peers that have been silent for
** PEER_LOAD_TIMEOUT. Returns TRUE if some peer still had loads counted. */
gboolean peer_loads_expire(PeerLoads *loads, gint64 now);

/* The following functions return sums over all peers for one endpoint. */

/* Tokens, in the sense of mp_LoadRow.tokens, including reservations. */
guint64 peer_loads_tokens(const PeerLoads *loads, guint32 endpoint);
/* The sum of the recent shares of failures that the peers report; each peer
** reports 0 to 1, so the sum may exceed 1. */
double peer_loads_failure_shares(const PeerLoads *loads, guint32 endpoint);
/* Returns how many other instances report the endpoint as unreachable; the
** summary of a data centre counts as one. */
guint peer_loads_unreachable_reports(const PeerLoads *loads, guint32 endpoint);
/* Returns TRUE if any instance reports any endpoint as unreachable. */
gboolean peer_loads_has_unreachable_reports(const PeerLoads *loads);
/* Open dispatches. */
guint peer_loads_open_dispatches(const PeerLoads *loads, guint32 endpoint);
/* Returns TRUE if some peer reports that this engine is changing its stage. */
gboolean peer_loads_is_changing_stage(const PeerLoads *loads,
                                      guint32 endpoint);

/* The following functions count requests and peers. */

/* Requests that wait for room at the peers. */
guint peer_loads_waiting_requests(const PeerLoads *loads);
/* Of these, the requests that can still be answered in time. */
guint peer_loads_waiting_in_time(const PeerLoads *loads);
/* Peers where a waiting request that can still be answered in time came
** before 'came'. */
guint peer_loads_count_waiting_longer(const PeerLoads *loads, gint64 came);
/* The requests of this service (hash of its name) of a priority above
** 'priority' that wait in time at the peers, and one for each peer where the
** oldest one of the same priority came before 'came'. Peers that state no
** priorities count as peer_loads_count_waiting_longer has it. */
guint peer_loads_count_before(const PeerLoads *loads, guint32 service,
                              guint priority, gint64 came);
/* The requests of this service of this or a higher priority that wait in time
** at the peers; of peers that state no priorities, all that wait in time. */
guint peer_loads_waiting_ranked(const PeerLoads *loads, guint32 service,
                                guint priority);
/* Peers where any request waits for room. */
guint peer_loads_count_with_waiting(const PeerLoads *loads);
/* Instances with an address lower than 'address' whose own digest came within
** PEER_LOAD_TIMEOUT. */
guint peer_loads_count_lower_addresses(const PeerLoads *loads, mp_Addr address,
                                       gint64 now);

#endif
