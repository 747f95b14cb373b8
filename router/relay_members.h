/*
** relay_members.h
** The other instances, in the order in which they become relays
**
** Those on the largest machines come first; a hash of their addresses orders
** equal ones. A relay is an instance that follows the store for others
** (relay_group.h).
**
** Invariant: instances that know the same members have the same order of them.
*/

#ifndef ROUTER_RELAY_MEMBERS_H
#define ROUTER_RELAY_MEMBERS_H

#include <glib.h>

#include "madderpier.h"

/*
** Relays of a data centre: with two, one may be lost without any delay for the
** rest.
*/
#define RELAYS_WANTED 2

/* Another instance, as it has registered itself in the store. */
typedef struct RelayMember {
  mp_Addr address;
  guint32 zone;     /* Hash of its data centre's name. */
  guint32 capacity; /* As in InstanceRecord. */
} RelayMember;

typedef struct RelayMembers {
  mp_Addr self;
  guint64 order;   /* Sort key of this instance. */
  guint instances; /* Number of all instances, this one included. */
  /* mp_Addr of the others of this data centre, in their order. */
  GArray *near;
  GHashTable *orders; /* Address -> sort key (guint64) of those in 'near'. */
  guint place; /* Number of those in 'near' that come before this one. */
  /* mp_Addr of those that should be relays in other data centres. */
  GArray *remote_relays;
  /* mp_Addr of all instances of other data centres, in their order. */
  GArray *far;
  guint next_far; /* Counts those that relay_members_next_far has returned. */
} RelayMembers;

/*
** Initialises 'members', whose memory is zeroed and the caller's: an instance
** that knows no others. 'capacity' is its own, as in InstanceRecord.
*/
void relay_members_init(RelayMembers *members, mp_Addr self, guint32 capacity);
void relay_members_clear(RelayMembers *members);

/* Sets the others; both are arrays of RelayMember and are copied. */
void relay_members_set(RelayMembers *members, const GArray *near,
                       const GArray *far);

/*
** Returns the sort key of an instance; G_MAXUINT64 when it is not in this data
** centre.
*/
guint64 relay_members_order_of(const RelayMembers *members, mp_Addr address);

/*
** Write to 'out' the first instances of this data centre, or the next ones of
** the others, in turn. Both return their number, at most 'most'.
*/
unsigned relay_members_first(const RelayMembers *members, mp_Addr *out,
                             unsigned most);
unsigned relay_members_next_far(RelayMembers *members, mp_Addr *out,
                                unsigned most);

/*
** Returns a hash that is the same at every instance, and unlike for similar
** addresses.
*/
guint64 relay_address_hash(mp_Addr address);

#endif
