/*
** relay_group.h
** Which instances of a data centre follow the store for the others
**
** In a data centre of GROUP_LEAST instances or more, or in any when there are
** more than RELAY_FULL_MESH_MAX of them, a few instances, the relays, follow
*the
** store. They send a heartbeat to the others, which ask a relay for the
** changes that it names. Calls to the store so grow with the data centres and
** not with the instances. The relays of all data centres hear each other's
** heartbeats as well: one that has lost the store without knowing it hears
** the news from another one.
**
** All instances order the members of a data centre in the same way, those of
** the largest machines first; the first of them are relays. (With 295
** instances a relay's work takes up to a quarter of a core, and most machines
** have an eighth of one: their callers then got answers 1 to 2 s late.) There
** is no election and no agreement: a member that hears too few fresh relays
** before itself becomes one, the sooner the earlier its place, and ceases
** when enough of them are heard again. Too many relays cost calls, too few
** are made good within TAKEOVER_WAIT_MAX after their heartbeats have stopped.
** While heartbeats come from relays that the store does not answer, members
** take over one after the other: the store is then most likely away for all,
** and a call that fails is a call.
**
** A relay is fresh while the store has lately answered it, or a relay that it
** hears: the age of that answer travels with the heartbeats. Invariants. A
** member counts fresh relays alone, and the age up to which one is fresh
** follows from RelayTiming.propagation_max: what is left of that time is
*enough
** for two members to take over one after the other and for the news to reach
** the rest. A relay asks the store often enough to stay fresh. (When the age
** followed from the watches' wait, members of a relay that had lost the store
** heard of changes after 2.75 s, where 2 s were allowed.) What a relay tells
** is bound to positions in the store, so a change of the source never brings
** anything old back (follower.h). A relay that knows an older era of the store
** than this instance is not fresh, whatever its age: it says nothing of what
** has changed since, and a relay of an earlier release names no era at all.
*/

#ifndef ROUTER_RELAY_GROUP_H
#define ROUTER_RELAY_GROUP_H

#include <glib.h>

#include "madderpier.h"
#include "router/config_proof.h"
#include "router/follower.h"
#include "router/news_state.h"

/* between a relay's heartbeats: lost ones are made good twice before a
** member takes the relay for lost */
#define RELAY_HEARTBEAT_INTERVAL (200 * MP_MS)

typedef enum RelayRole {
  RELAY_ROLE_STARTING, /* the other instances are not known yet */
  RELAY_ROLE_ALONE,    /* follows the store, for itself */
  RELAY_ROLE_RELAY,    /* follows the store, and tells the others */
  RELAY_ROLE_MEMBER    /* hears the store's news from relays */
} RelayRole;

const char *relay_role_name(RelayRole role);

typedef struct RelayGroup RelayGroup;

/* up to so many instances hear the loads of all: the bytes between data
** centres are then few, and room is known everywhere at once (58 instances in
** three data centres sent 0.28 to 0.48 GB there in a minute). With more, each
** data centre has relays, however small, which tell the others its loads */
#define RELAY_FULL_MESH_MAX 30

/* another instance, as it has entered itself */
typedef struct RelayMember {
  mp_Addr address;
  guint32 zone;     /* hash of its data centre's name */
  guint32 capacity; /* InstanceRecord.capacity */
} RelayMember;

typedef struct RelayTiming {
  gint64 watch_wait; /* longest wait of a watch of the store */
  gint64
      propagation_max; /* a change of the store is known everywhere after it */
} RelayTiming;

/* the news of an instance that the store answers are no older than this */
gint64 relay_news_age_max(const RelayTiming *times);

/* 'capacity' of this instance */
RelayGroup *relay_group_new(mp_Addr self, guint32 capacity,
                            const RelayTiming *times, gint64 now);
void relay_group_free(RelayGroup *group);

/* the other instances as the store has them, copied (RelayMember): 'near' of
** this data centre, 'far' of the others */
void relay_group_set_members(RelayGroup *group, const GArray *near,
                             const GArray *far, gint64 now);
/* the store does not answer at the start: nobody is waited for */
void relay_group_skip_start_wait(RelayGroup *group);
/* a heartbeat came */
void relay_group_receive_heartbeat(RelayGroup *group, mp_Addr from,
                                   const mp_RelayHeartbeat *beat, gint64 now);
/* the age of the configuration known here */
ConfigProof *relay_group_proof(RelayGroup *group);
/* the relays heard whose clocks must be bounded, as relay_group_first_members
 */
unsigned relay_group_clocks_to_bound(const RelayGroup *group, gint64 now,
                                     mp_Addr *out, unsigned most);
/* the store, or an instance, has named this era of the store */
void relay_group_observe_era(RelayGroup *group, guint64 era);
/* the latest that was heard of; 0: none */
guint64 relay_group_era(const RelayGroup *group);
/* what is held here of a kind, and what others have named */
const NewsState *relay_group_news(const RelayGroup *group, StoreKind kind);
/* changes of a kind up to there are known here */
void relay_group_advance_held(RelayGroup *group, StoreKind kind,
                              StorePosition position, gint64 now);
/* an instance that lags for longer tells it: half of
 * RelayTiming.propagation_max */
gint64 relay_group_lag_max(const RelayGroup *group);
/* the store has answered this instance about a kind */
void relay_group_confirm_store(RelayGroup *group, StoreKind kind, gint64 now);
/* has the store answered this instance lately, about any kind? */
gboolean relay_group_is_store_answering(const RelayGroup *group, gint64 now);
/* this relay did not answer: not asked again until its next heartbeat */
void relay_group_suspend_relay(RelayGroup *group, mp_Addr relay);

/* what this instance is now; looks at the time, so call it again at
** relay_group_next_check at the latest */
RelayRole relay_group_role(RelayGroup *group, gint64 now);
gint64 relay_group_next_check(const RelayGroup *group, gint64 now);
/* are there so many instances that data centres hear summaries of loads? */
gboolean relay_group_uses_summaries(const RelayGroup *group);
/* is it a relay in the place of others that are heard? */
gboolean relay_group_is_substitute(RelayGroup *group, gint64 now);
/* is it a relay, and is none heard that comes before it? */
gboolean relay_group_is_first_relay(RelayGroup *group, gint64 now);

/* a relay that has news of this kind behind that position; 0: none has */
mp_Addr relay_group_choose_source(const RelayGroup *group, StoreKind kind,
                                  StorePosition known, gint64 now);
/* the relays of this data centre that come before this instance */
typedef struct RelaysBefore {
  guint heard; /* lately */
  guint fresh; /* of them; what they know is recent enough */
} RelaysBefore;

RelaysBefore relay_group_relays_before(const RelayGroup *group, gint64 now);

/* how long a watch of this kind may wait now, so that a relay stays fresh */
gint64 relay_group_watch_wait(RelayGroup *group, StoreKind kind, gint64 now);

/*
** Since the store answered this instance, or a relay that it hears and that
** does not stand in for it; told in a heartbeat. (A relay that counted the
** one in its place would be fresh by it, and put it off again.) What a relay
** names counts from when it is known here: one that hears of news, and lacks
** them, is not fresh by them.
*/
gint64 relay_group_age(const RelayGroup *group, gint64 now);
/* the same of all relays that it hears: how old its own news may be */
gint64 relay_group_news_age(const RelayGroup *group, gint64 now);

/* the members to ask for a heartbeat: those that should be relays. Returns
** how many were written to 'out', at most 'most' */
unsigned relay_group_first_members(const RelayGroup *group, mp_Addr *out,
                                   unsigned most);
/* all other members of this data centre, an array of mp_Addr */
const GArray *relay_group_members(const RelayGroup *group);
/* those of other data centres that hear this one's heartbeats too: the ones
** that should be relays there, and those heard; an array of mp_Addr, to be
** freed */
GArray *relay_group_remote_targets(const RelayGroup *group, gint64 now);

#endif
