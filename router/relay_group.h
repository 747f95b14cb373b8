/*
** relay_group.h
** Chooses the instances of a data centre that follow the store for the others
**
** In a data centre of GROUP_SIZE_MIN instances or more, or in any when there
** are more than RELAY_FULL_MESH_MAX instances in all, a few instances, the
** relays, follow the store. They send heartbeats to the other instances, the
** members, which ask a relay for the changes that a heartbeat announces. So
** the number of calls to the store grows with the data centres, not with the
** instances. The relays of all data centres receive each other's heartbeats as
** well: one that has lost the store without noticing hears of changes from
** another one.
**
** All instances order the members of a data centre in the same way, those on
** the largest machines first, and the first ones are relays. (With 295
** instances a relay's work takes up to a quarter of a core, and most machines
** have an eighth of one: as relays, they would delay their callers' answers by
** 1 to 2 s.) There is no election and no agreement: a member that hears too
** few fresh relays before itself in the order becomes a relay, the sooner the
** earlier its place, and ceases to be one when enough of them are heard again.
** Too many relays only cost calls. When there are too few because their
** heartbeats have stopped, members take over within TAKEOVER_WAIT_MAX. While
** heartbeats come from relays that the store does not answer, members take
** over one after the other: the store is then most likely unreachable for all,
** and each failed call costs, too.
**
** A relay is fresh while the store has recently answered it, or another relay
** that it hears; the age of that answer travels with the heartbeats. For this
** choice it counts from when a heartbeat is read. A relay that knows an older
** era of the store than this instance is not fresh, whatever its age: it can't
** tell what has changed since. (The era is a number of the store that grows
** when the store is restored from a copy.) A relay that runs an earlier
** release names no era at all.
**
** Invariants: a member counts fresh relays alone. The age up to which a relay
** is fresh follows from RelayTiming.propagation_max: the rest of that time
** suffices for two members to take over one after the other and for changes to
** reach all instances. (An age that followed from the watches' wait let
** members of a relay that had lost the store hear of changes after 2.75 s,
** where 2 s were allowed.) A relay asks the store often enough to stay fresh.
** What a relay tells is bound to positions in the store, so a change of the
** source never brings an old state back (follower.h). What the store tells a
** relay is announced, even if its role ends before the answer arrives: the
** relays that ended it may have been fresh only through its earlier answers.
*/

#ifndef ROUTER_RELAY_GROUP_H
#define ROUTER_RELAY_GROUP_H

#include <glib.h>

#include "madderpier.h"
#include "router/config_proof.h"
#include "router/follower.h"
#include "router/news_state.h"
#include "router/relay_members.h"
#include "router/relay_timing.h"

typedef enum RelayRole {
  RELAY_ROLE_STARTING, /* The other instances are not known yet. */
  RELAY_ROLE_ALONE,    /* Follows the store for itself only. */
  RELAY_ROLE_RELAY,    /* Follows the store and informs the members. */
  RELAY_ROLE_MEMBER    /* Learns of the store's changes from relays. */
} RelayRole;

/* Returns the role's name as it stands in log lines and metrics. */
const char *relay_role_name(RelayRole role);

typedef struct RelayGroup RelayGroup;

/*
** Largest number of instances, inclusive, in which each receives the load
** digests of all others: the traffic between data centres is then small, and
** free capacity is known everywhere at once. (58 instances in three data
** centres sent 0.28 to 0.48 GB between them in a minute.) With more instances,
** each data centre has relays, however small it is, which send summaries of
** its loads to the others.
*/
#define RELAY_FULL_MESH_MAX 30

/*
** Returns a group for the instance 'self', to be freed with relay_group_free.
** 'capacity' is this instance's, as in InstanceRecord.
*/
RelayGroup *relay_group_new(mp_Addr self, guint32 capacity,
                            const RelayTiming *times, gint64 now);
void relay_group_free(RelayGroup *group);

/*
** Sets the other instances as the store has them: 'near' of this data centre,
** 'far' of all others. Both are arrays of RelayMember and are copied.
*/
void relay_group_set_members(RelayGroup *group, const GArray *near,
                             const GArray *far, gint64 now);
/*
** The store does not answer at the start: this instance follows it for itself
** at once instead of waiting for the list of instances.
*/
void relay_group_skip_start_wait(RelayGroup *group);
/* Handles a heartbeat from the relay 'from'. */
void relay_group_receive_heartbeat(RelayGroup *group, mp_Addr from,
                                   const mp_RelayHeartbeat *beat, gint64 now);
/*
** Returns the proof of the configuration's age (config_proof.h), owned by the
** group.
*/
ConfigProof *relay_group_proof(RelayGroup *group);
/*
** Returns TRUE when a heartbeat that answers no request has come from 'from',
** whose clock must be bounded (relay_clock.h): the caller requests one, at
** once, because a relay's first heartbeats count for nothing until then.
*/
gboolean relay_group_must_bound_clock(const RelayGroup *group, mp_Addr from,
                                      const mp_RelayHeartbeat *beat,
                                      gint64 now);
/* Records an era that the store, or an instance, has named. */
void relay_group_observe_era(RelayGroup *group, guint64 era);
/* Returns the latest era that was named; 0: none was. */
guint64 relay_group_era(const RelayGroup *group);
/*
** Returns what is known here of a kind and what others have announced, owned
** by the group.
*/
const NewsState *relay_group_news(const RelayGroup *group, StoreKind kind);
/* Records that changes of a kind up to this position are known here. */
void relay_group_advance_held(RelayGroup *group, StoreKind kind,
                              StorePosition position, gint64 now);
/*
** Records that the store has told this instance of changes of a kind up to
** this position, in answer to a call that it made as a relay.
*/
void relay_group_advance_learned(RelayGroup *group, StoreKind kind,
                                 StorePosition position, gint64 now);
/*
** Returns TRUE when this instance sends heartbeats: while it is a relay, and
** for a short time after the store has told it, too late for its role, of
** changes that no relay has announced.
*/
gboolean relay_group_sends_heartbeats(RelayGroup *group, gint64 now);
/*
** Returns the lag in us beyond which an instance logs that it lags: half of
** RelayTiming.propagation_max.
*/
gint64 relay_group_lag_max(const RelayGroup *group);
/*
** Records that the store has answered this instance about a kind, whose
** objects are known as they were at 'at'.
*/
void relay_group_confirm_store(RelayGroup *group, StoreKind kind, gint64 at);
/*
** Returns TRUE when the store has answered this instance recently, about any
** kind.
*/
gboolean relay_group_is_store_answering(const RelayGroup *group, gint64 now);
/*
** Records that this relay did not answer: it is not asked again until its next
** heartbeat.
*/
void relay_group_suspend_relay(RelayGroup *group, mp_Addr relay);

/*
** Returns the present role of this instance and updates the time since which
** relays are missing. To be called again at relay_group_next_check at the
** latest.
*/
RelayRole relay_group_role(RelayGroup *group, gint64 now);
/*
** Returns the time in us at which the role may change without further input.
*/
gint64 relay_group_next_check(const RelayGroup *group, gint64 now);
/*
** Returns TRUE when there are so many instances that data centres exchange
** summaries of their loads instead of each instance's load.
*/
gboolean relay_group_uses_summaries(const RelayGroup *group);
/*
** Returns TRUE when this instance is a relay although enough relays before it
** are heard, because too few of them are fresh.
*/
gboolean relay_group_is_substitute(RelayGroup *group, gint64 now);
/*
** Returns TRUE when this instance is a relay and hears none that comes before
** it.
*/
gboolean relay_group_is_first_relay(RelayGroup *group, gint64 now);

/*
** Returns a relay that has announced changes of this kind after that position;
** 0: none has.
*/
mp_Addr relay_group_choose_source(const RelayGroup *group, StoreKind kind,
                                  StorePosition known, gint64 now);
/* The relays of this data centre that come before this instance. */
typedef struct RelaysBefore {
  guint heard; /* Number of those that were heard from recently. */
  guint fresh; /* Number of the heard ones whose knowledge is recent enough. */
} RelaysBefore;

/* Returns the counts of the relays before this instance. */
RelaysBefore relay_group_relays_before(const RelayGroup *group, gint64 now);

/*
** Returns when the next watch of this kind must be made at the latest, so that
** its answer comes before the last one is too old; G_MAXINT64 for a kind whose
** age does not count, and for an instance that does not follow the store.
*/
gint64 relay_group_watch_due(RelayGroup *group, StoreKind kind, gint64 now);
/*
** Returns for how many us a watch of this kind may wait now so that a relay
** stays fresh, and lists of an instance without relays stay young enough
** (relay_news_age_max).
*/
gint64 relay_group_watch_wait(RelayGroup *group, StoreKind kind, gint64 now);

/*
** Returns the us since the store answered this instance or a relay that it
** hears, counted from when heartbeats were sent (relay_clock.h): what this
** instance may tell others, and decide by. Relays of this data centre that
** come after this one do not count: one that took over in its place would make
** it fresh again, which would then end the other's service, and so on. What a
** relay announces counts from when it is known here: an instance that hears of
** changes and lacks them is not fresh through them.
*/
gint64 relay_group_age(const RelayGroup *group, gint64 now);
/*
** Returns the same over all relays that this instance hears: an upper bound of
** the age of what it knows itself.
*/
gint64 relay_group_news_age(const RelayGroup *group, gint64 now);

/*
** Writes to 'out' the instances that this one is to ask for a heartbeat now,
** and returns how many, at most 'most'. A member that is not 'is_synced' has
** no
** copy of the store's objects yet and asks those that should be relays of its
** data centre. A relay that is not fresh asks the instances of the other data
** centres in turn: those that should be relays there may be lost, and those
** that took over know nothing of this one.
*/
unsigned relay_group_heartbeat_sources(RelayGroup *group, gboolean is_synced,
                                       gint64 now, mp_Addr *out,
                                       unsigned most);
/*
** Returns all other members of this data centre in their order, an array of
** mp_Addr owned by the group.
*/
const GArray *relay_group_members(const RelayGroup *group);
/*
** Returns the instances of other data centres that receive this one's
** heartbeats: those that should be relays there, and the relays heard from.
** The result is an array of mp_Addr, to be freed by the caller.
*/
GArray *relay_group_remote_targets(const RelayGroup *group, gint64 now);

#endif
