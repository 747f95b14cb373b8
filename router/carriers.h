/*
** carriers.h
** The instances through which this one can reach endpoints, and the choice
** among them
**
** A carrier is preferred if it is in this data centre, because bytes between
** data centres have a price. Among equals, the less loaded one of two random
** ones is chosen, so that the load spreads without any agreement. A carrier
** that failed is left out for CARRIER_AVOID_TIME. While some of a data centre
** failed and none of it connected lately, its others are chosen last: a fault
** often takes a whole data centre, and each would have to fail by itself.
**
** Invariant: only instances that the store lists are carriers.
**
** A Router owns one Carriers; reach.c uses it. Times are microseconds of the
** router's steady clock.
*/

#ifndef ROUTER_CARRIERS_H
#define ROUTER_CARRIERS_H

#include <glib.h>

#include "madderpier.h"
#include "router/peer_loads.h"

/* A carrier that failed is not chosen for CARRIER_AVOID_TIME, which doubles
** with each further failure in a row up to CARRIER_AVOID_MAX. */
#define CARRIER_AVOID_TIME (2 * MP_SEC)
#define CARRIER_AVOID_MAX (16 * MP_SEC)
/* A carrier that connected speaks for its data centre for this long. */
#define CARRIER_PROVEN_TIME (2 * MP_SEC)

typedef struct Carriers Carriers;

/* 'zone' is the hash of this instance's data centre, as in RelayMember.zone.
** The caller frees the result with carriers_free. */
Carriers *carriers_new(guint32 zone);
void carriers_free(Carriers *carriers);

/* Sets the other instances, an array of RelayMember, which is copied. What is
** known of those that stay is kept. */
void carriers_set(Carriers *carriers, const GArray *members);
guint carriers_count(const Carriers *carriers);

/*
** Returns the address of a carrier other than the 'asked_count' ones of
** 'asked', or 0 if there is none. After the first one, those of data centres
** that have not been asked yet are preferred. If all failed lately, one of
** them is returned. 'loads' tells how busy they are.
*/
mp_Addr carriers_choose(Carriers *carriers, const mp_Addr *asked,
                        guint asked_count, const PeerLoads *loads,
                        GRand *random, gint64 now);
/* This carrier has connected to an endpoint. */
void carriers_note_connected(Carriers *carriers, mp_Addr address, gint64 now);
/* This carrier could not be used. */
void carriers_avoid(Carriers *carriers, mp_Addr address, gint64 now);

#endif
