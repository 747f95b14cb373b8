/*
** relay_group.c
** Chooses the instances of a data centre that follow the store for the others
*/

#include <string.h>

#include "router/relay_group.h"

/*
** In a smaller group than SMALL_GROUP_BELOW a second relay would double the
** group's calls.
*/
#define RELAYS_WANTED_SMALL 1
#define SMALL_GROUP_BELOW 8
/*
** In a data centre of fewer instances each follows the store for itself, since
** their calls are few; but not when there are more than RELAY_FULL_MESH_MAX
** instances in all, because every data centre then needs a relay that sends
** summaries of its loads.
*/
#define GROUP_SIZE_MIN 4
/*
** A relay counts as lost after three heartbeat intervals and 50 ms without a
** heartbeat.
*/
#define HEARTBEAT_TIMEOUT (3 * RELAY_HEARTBEAT_INTERVAL + 50 * MP_MS)
/*
** When a data centre has too few fresh relays, the members that come first in
** the order, as many as there should be relays, become relays at once. Each
** member after them waits RELAY_TAKEOVER_STEP longer than the one before it.
** If too few relays are heard at all, no member waits longer than this.
*/
#define TAKEOVER_WAIT_MAX (1000 * MP_MS)
/*
** An instance that has no list of instances this long after its start follows
** the store for itself. Usually the list is there after 0.6 s, which it takes
** to register, to wait for other instances that start too, and to list them.
*/
#define START_TIMEOUT (1500 * MP_MS)

typedef struct Relay {
  mp_Addr address;
  guint64 order;
  gboolean is_near; /* belongs to this data centre */
  gint64 heard_at;  /* when its last heartbeat was read */
  /*
  ** When the store answered the relay or another one that it hears, at the
  ** latest; G_MININT32: its clock is not bounded.
  */
  gint64 answered_at;
  /* it did not answer a request, and has sent no heartbeat since */
  gboolean is_suspended;
  /*
  ** This instance knows every change that the relay knew at this time, when
  ** the store answered the relay or another relay that it hears.
  */
  gint64 synced_at;
  mp_RelayHeartbeat beat;
} Relay;

/* Changes of one kind that the store told this instance as a relay. */
typedef struct LearnedChanges {
  StorePosition position; /* of the latest one */
  gint64 at;              /* when the store told it; 0: never */
} LearnedChanges;

struct RelayGroup {
  RelayMembers members;
  RelayTiming times;
  /*
  ** largest age in us, inclusive, of the store's last answer to a fresh relay
  */
  gint64 fresh_age_max;
  /* if the members are unknown by then, the store is followed */
  gint64 start_deadline;
  gboolean are_members_known; /* relay_group_set_members was called */
  /* address -> Relay, each that was ever heard from */
  GHashTable *relays;
  /* as of when the store's objects are known by its last answer; 0: never */
  gint64 confirmed_at[MP_RELAY_KINDS];
  /* time since which too few relays are heard; 0: enough are */
  gint64 shortage_since;
  guint64 era; /* as relay_group_era */
  NewsState news[MP_RELAY_KINDS];
  LearnedChanges learned[MP_RELAY_KINDS];
  RelayClocks clocks;
  ConfigProof proof;
};

const char *relay_role_name(RelayRole role) {
  static const char *const names[] = {"starting", "alone", "relay", "member"};
  return names[role];
}

RelayGroup *relay_group_new(mp_Addr self, guint32 capacity,
                            const RelayTiming *times, gint64 now) {
  RelayGroup *group = g_new0(RelayGroup, 1);
  relay_members_init(&group->members, self, capacity);
  group->times = *times;
  group->fresh_age_max = relay_freshness_max(times);
  relay_clocks_init(&group->clocks);
  config_proof_init(&group->proof);
  group->start_deadline = now + START_TIMEOUT;
  group->relays =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return group;
}

void relay_group_free(RelayGroup *group) {
  relay_members_clear(&group->members);
  g_hash_table_destroy(group->relays);
  relay_clocks_clear(&group->clocks);
  g_free(group);
}

/* Returns how many relays a data centre of so many instances has. */
static guint relays_for_size(guint instances) {
  return instances < SMALL_GROUP_BELOW ? RELAYS_WANTED_SMALL : RELAYS_WANTED;
}

static guint relays_wanted(const RelayGroup *group) {
  return relays_for_size(group->members.near->len + 1);
}

void relay_group_set_members(RelayGroup *group, const GArray *near,
                             const GArray *far, gint64 now) {
  if (!group->are_members_known)
    group->shortage_since = now;
  group->are_members_known = TRUE;
  relay_members_set(&group->members, near, far);
}

void relay_group_skip_start_wait(RelayGroup *group) {
  group->start_deadline = 0;
}

static gboolean contains_address(const GArray *addresses, mp_Addr address) {
  guint i;
  for (i = 0; i < addresses->len; i++) {
    if (g_array_index(addresses, mp_Addr, i) == address)
      return TRUE;
  }
  return FALSE;
}

/*
** Returns when the store answered the relay, or another one that it hears, if
** its heartbeat was read as soon as it came. Only the choice of relays goes by
** it: an instance that has stood still would else take over from sound ones.
*/
static gint64 last_answer_time(const Relay *relay) {
  return relay->heard_at - relay->beat.age_ms * MP_MS;
}

/*
** Returns TRUE when this instance knows every change of the kind that the
** relay's last heartbeat announced. 'held' is the position up to which changes
** are known here, 'changed' that of the last change the relay knows.
*/
static gboolean knows_changes_of(const RelayGroup *group, const Relay *relay,
                                 StoreKind kind) {
  return !store_position_is_before(group->news[kind].held,
                                   relay->beat.changed[kind]);
}

/*
** Returns TRUE when this instance knows all that the relay knows of the
** configuration and the endpoints. The instances and the quarantine change
** rarely, and no request depends on the newest ones.
*/
static gboolean holds_all_news(const RelayGroup *group, const Relay *relay) {
  return knows_changes_of(group, relay, STORE_CONFIGURATION) &&
         knows_changes_of(group, relay, STORE_ENDPOINTS);
}

/*
** Returns the latest time for which this instance knows every change that the
** relay knew then (Relay.synced_at, as the last heartbeat brings it up to
** date).
*/
static gint64 newest_sync_time(const RelayGroup *group, const Relay *relay) {
  if (!holds_all_news(group, relay))
    return relay->synced_at;
  return MAX(relay->synced_at, relay->answered_at);
}

static void advance_newest(RelayGroup *group, const mp_RelayHeartbeat *beat,
                           gint64 now) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    news_state_advance_newest(&group->news[kind], beat->changed[kind], now);
}

/* Returns the latest era that the heartbeat names. */
static guint64 latest_era(const mp_RelayHeartbeat *beat) {
  guint64 era = 0;
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    era = MAX(era, beat->changed[kind].era);
  return era;
}

void relay_group_observe_era(RelayGroup *group, guint64 era) {
  group->era = MAX(group->era, era);
}

guint64 relay_group_era(const RelayGroup *group) {
  return group->era;
}

void relay_group_receive_heartbeat(RelayGroup *group, mp_Addr from,
                                   const mp_RelayHeartbeat *beat, gint64 now) {
  Relay *relay = g_hash_table_lookup(group->relays, &from);
  if (relay == NULL) {
    relay = g_new0(Relay, 1);
    relay->address = from;
    relay->synced_at = G_MININT32;
    g_hash_table_insert(group->relays, &relay->address, relay);
  } else
    relay->synced_at = newest_sync_time(group, relay);
  relay->heard_at = now;
  relay->is_suspended = FALSE;
  relay->order = relay_members_order_of(&group->members, from);
  relay->is_near = relay->order != G_MAXUINT64;
  relay->beat = *beat;
  relay_clocks_observe(&group->clocks, from, beat, now);
  if (!relay_clocks_time_of(&group->clocks, from, beat, beat->age_ms, now,
                            &relay->answered_at))
    relay->answered_at = G_MININT32;
  relay_group_observe_era(group, latest_era(beat));
  advance_newest(group, beat, now);
  config_proof_apply_heartbeat(&group->proof, &group->clocks, from, beat, now);
}

ConfigProof *relay_group_proof(RelayGroup *group) {
  return &group->proof;
}

const NewsState *relay_group_news(const RelayGroup *group, StoreKind kind) {
  return &group->news[kind];
}

void relay_group_advance_held(RelayGroup *group, StoreKind kind,
                              StorePosition position, gint64 now) {
  news_state_advance_held(&group->news[kind], position, now);
  if (kind == STORE_CONFIGURATION)
    config_proof_advance_known(&group->proof, position);
}

gint64 relay_group_lag_max(const RelayGroup *group) {
  return group->times.propagation_max / 2;
}

void relay_group_confirm_store(RelayGroup *group, StoreKind kind, gint64 at) {
  group->confirmed_at[kind] = MAX(group->confirmed_at[kind], at);
}

/*
** Returns the older one of the last answers about the configuration and the
** endpoints; 0: one of them is missing. The instances do not count, because
** they change rarely and their watch is long.
*/
static gint64 oldest_confirmation(const RelayGroup *group) {
  return MIN(group->confirmed_at[STORE_CONFIGURATION],
             group->confirmed_at[STORE_ENDPOINTS]);
}

gboolean relay_group_is_store_answering(const RelayGroup *group, gint64 now) {
  gint64 last = 0;
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    last = MAX(last, group->confirmed_at[kind]);
  return last != 0 && now - last <= group->fresh_age_max;
}

void relay_group_suspend_relay(RelayGroup *group, mp_Addr address) {
  Relay *relay = g_hash_table_lookup(group->relays, &address);
  if (relay != NULL)
    relay->is_suspended = TRUE;
}

static gboolean is_heard(const Relay *relay, gint64 now) {
  return now - relay->heard_at <= HEARTBEAT_TIMEOUT;
}

/*
** Returns the us since the store answered the relay, or another one that it
** hears.
*/
static gint64 answer_age(const Relay *relay, gint64 now) {
  return now - last_answer_time(relay);
}

/*
** Returns the us since the latest time for which this instance knows what the
** relay knew: an upper bound of the age of its knowledge.
*/
static gint64 sync_age(const RelayGroup *group, const Relay *relay,
                       gint64 now) {
  return now - newest_sync_time(group, relay);
}

static gboolean is_fresh(const RelayGroup *group, const Relay *relay,
                         gint64 now) {
  return is_heard(relay, now) &&
         answer_age(relay, now) <= group->fresh_age_max &&
         latest_era(&relay->beat) >= group->era;
}

static gboolean comes_before(const RelayGroup *group, const Relay *relay) {
  return relay->is_near && relay->order < group->members.order;
}

RelaysBefore relay_group_relays_before(const RelayGroup *group, gint64 now) {
  RelaysBefore before = {0, 0};
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    if (!comes_before(group, relay))
      continue;
    before.heard += is_heard(relay, now);
    before.fresh += is_fresh(group, relay, now);
  }
  return before;
}

/*
** Returns for how many us this instance waits, when fresh relays are missing,
** for other members to become relays before it does so itself.
*/
static gint64 takeover_wait(const RelayGroup *group, gint64 now) {
  guint wanted = relays_wanted(group);
  gint64 wait;
  if (group->members.place < wanted)
    return 0;
  wait = (group->members.place - wanted + 1) * RELAY_TAKEOVER_STEP;
  if (relay_group_relays_before(group, now).heard >= wanted)
    return wait;
  return MIN(wait, TAKEOVER_WAIT_MAX);
}

RelayRole relay_group_role(RelayGroup *group, gint64 now) {
  if (!group->are_members_known)
    return now < group->start_deadline ? RELAY_ROLE_STARTING
                                       : RELAY_ROLE_ALONE;
  if (group->members.near->len + 1 < GROUP_SIZE_MIN &&
      !relay_group_uses_summaries(group))
    return RELAY_ROLE_ALONE;
  if (relay_group_relays_before(group, now).fresh >= relays_wanted(group)) {
    group->shortage_since = 0;
    return RELAY_ROLE_MEMBER;
  }
  if (group->shortage_since == 0)
    group->shortage_since = now;
  return now - group->shortage_since >= takeover_wait(group, now)
             ? RELAY_ROLE_RELAY
             : RELAY_ROLE_MEMBER;
}

void relay_group_advance_learned(RelayGroup *group, StoreKind kind,
                                 StorePosition position, gint64 now) {
  LearnedChanges *learned = &group->learned[kind];
  if (!store_position_is_before(learned->position, position))
    return;
  learned->position = position;
  learned->at = now;
}

/*
** Returns TRUE while changes that the store told this instance are announced
** by nobody else. After HEARTBEAT_TIMEOUT, most of the heartbeats that name
** them have arrived.
*/
static gboolean must_announce(const RelayGroup *group, StoreKind kind,
                              gint64 now) {
  const LearnedChanges *learned = &group->learned[kind];
  return learned->at != 0 && now - learned->at <= HEARTBEAT_TIMEOUT &&
         store_position_is_before(group->news[kind].newest, learned->position);
}

gboolean relay_group_sends_heartbeats(RelayGroup *group, gint64 now) {
  RelayRole role = relay_group_role(group, now);
  int kind;
  for (kind = 0; role == RELAY_ROLE_MEMBER && kind < MP_RELAY_KINDS; kind++) {
    if (must_announce(group, kind, now))
      return TRUE;
  }
  return role == RELAY_ROLE_RELAY;
}

/* Returns when this relay ceases to be fresh unless it is heard from again. */
static gint64 fresh_until(const RelayGroup *group, const Relay *relay) {
  return MIN(relay->heard_at + HEARTBEAT_TIMEOUT,
             last_answer_time(relay) + group->fresh_age_max);
}

/*
** Returns when the first of the fresh relays before this instance ceases to be
** fresh.
*/
static gint64 next_freshness_end(const RelayGroup *group, gint64 now) {
  gint64 first = G_MAXINT64;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    if (comes_before(group, relay) && is_fresh(group, relay, now))
      first = MIN(first, fresh_until(group, relay) + MP_MS);
  }
  return first;
}

gint64 relay_group_next_check(const RelayGroup *group, gint64 now) {
  gint64 due;
  if (!group->are_members_known)
    return MAX(group->start_deadline, now);
  if (group->shortage_since == 0)
    return MIN(next_freshness_end(group, now), now + RELAY_HEARTBEAT_INTERVAL);
  due = group->shortage_since + takeover_wait(group, now);
  return due > now ? MIN(due, now + RELAY_HEARTBEAT_INTERVAL)
                   : now + RELAY_HEARTBEAT_INTERVAL;
}

gboolean relay_group_uses_summaries(const RelayGroup *group) {
  return group->members.instances > RELAY_FULL_MESH_MAX;
}

gboolean relay_group_is_substitute(RelayGroup *group, gint64 now) {
  return relay_group_role(group, now) == RELAY_ROLE_RELAY &&
         relay_group_relays_before(group, now).heard >= relays_wanted(group);
}

gboolean relay_group_is_first_relay(RelayGroup *group, gint64 now) {
  return relay_group_role(group, now) == RELAY_ROLE_RELAY &&
         relay_group_relays_before(group, now).heard == 0;
}

/*
** Of the relays that have the changes, each member picks one by a hash of both
** addresses, so that the relays share the members.
*/
mp_Addr relay_group_choose_source(const RelayGroup *group, StoreKind kind,
                                  StorePosition known, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  mp_Addr best = 0;
  guint64 best_weight = 0;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    guint64 weight = relay_address_hash(relay->address) ^
                     relay_address_hash(group->members.self);
    if (relay->is_suspended || !is_heard(relay, now) ||
        !store_position_is_before(known, relay->beat.changed[kind]))
      continue;
    if (best == 0 || weight > best_weight) {
      best = relay->address;
      best_weight = weight;
    }
  }
  return best;
}

/*
** Returns the us since the store answered this instance or a relay that it
** hears. 'all' includes the relays of this data centre that come after this
** instance in the order.
*/
static gint64 news_age_from(const RelayGroup *group, gboolean all,
                            gint64 now) {
  gint64 age = oldest_confirmation(group) != 0
                   ? now - oldest_confirmation(group)
                   : G_MAXINT32;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    gboolean counts = all || !relay->is_near || comes_before(group, relay);
    if (counts && is_heard(relay, now))
      age = MIN(age, sync_age(group, relay, now));
  }
  return MIN(age, G_MAXINT32);
}

gint64 relay_group_age(const RelayGroup *group, gint64 now) {
  return news_age_from(group, FALSE, now);
}

gint64 relay_group_news_age(const RelayGroup *group, gint64 now) {
  return news_age_from(group, TRUE, now);
}

/* Does the age of this kind count, at an instance that follows the store? */
static gboolean must_stay_young(StoreKind kind, RelayRole role) {
  return (kind == STORE_CONFIGURATION || kind == STORE_ENDPOINTS) &&
         (role == RELAY_ROLE_RELAY || role == RELAY_ROLE_ALONE);
}

gint64 relay_group_watch_due(RelayGroup *group, StoreKind kind, gint64 now) {
  RelayRole role = relay_group_role(group, now);
  if (!must_stay_young(kind, role))
    return G_MAXINT64;
  return MAX(now,
             group->confirmed_at[kind] +
                 relay_watch_due_age(&group->times, role == RELAY_ROLE_RELAY));
}

gint64 relay_group_watch_wait(RelayGroup *group, StoreKind kind, gint64 now) {
  RelayRole role = relay_group_role(group, now);
  if (!must_stay_young(kind, role))
    return group->times.watch_wait;
  return relay_watch_wait(&group->times, role == RELAY_ROLE_RELAY,
                          now - group->confirmed_at[kind]);
}

unsigned relay_group_heartbeat_sources(RelayGroup *group, gboolean is_synced,
                                       gint64 now, mp_Addr *out,
                                       unsigned most) {
  RelayRole role = relay_group_role(group, now);
  if (role == RELAY_ROLE_MEMBER && !is_synced)
    return relay_members_first(&group->members, out, most);
  if (role == RELAY_ROLE_RELAY && !relay_group_is_substitute(group, now) &&
      relay_group_age(group, now) > group->fresh_age_max)
    return relay_members_next_far(&group->members, out, most);
  return 0;
}

gboolean relay_group_must_bound_clock(const RelayGroup *group, mp_Addr from,
                                      const mp_RelayHeartbeat *beat,
                                      gint64 now) {
  return beat->asked_us == 0 &&
         relay_clocks_must_bound(&group->clocks, from, now);
}

const GArray *relay_group_members(const RelayGroup *group) {
  return group->members.near;
}

GArray *relay_group_remote_targets(const RelayGroup *group, gint64 now) {
  GArray *out = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  GHashTableIter iterator;
  gpointer value;
  g_array_append_vals(out, group->members.remote_relays->data,
                      group->members.remote_relays->len);
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    if (!relay->is_near && is_heard(relay, now) &&
        !contains_address(out, relay->address))
      g_array_append_val(out, relay->address);
  }
  return out;
}
