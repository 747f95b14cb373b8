/*
** relay_group.c
** Which instances of a data centre follow the store for the others
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/relay_group.h"

/* relays of a data centre: of two, one may be lost without any delay for the
** rest; in a smaller group the second would double its calls */
#define RELAYS 2
#define RELAYS_SMALL 1
#define SMALL_GROUP 8
/* fewer instances follow the store each for itself: their calls are few (9
** instances in three data centres: under 0.008 of what a day earns) */
#define GROUP_LEAST 4
/* the store's last answer to an instance is at most as old as its watch's
** wait and this: the pause after news (io/directory.c) and a slow answer */
#define FRESH_MARGIN (700 * MP_MS)
/* a slow answer: 50 times the usual 4 ms, and its way */
#define SLOW_ANSWER_MAX (300 * MP_MS)
/* a relay's watch waits so long at least, or it would be a poll */
#define WATCH_LEAST (200 * MP_MS)
/* members that may take over one after the other within the bound: of the
** first one the store may turn away too */
#define TAKE_OVERS 2
/* from there to everybody: the store's answer, a heartbeat that is lost and
** the next one, a question to the relay */
#define HAND_ON (350 * MP_MS)
/* three heartbeats */
#define SILENCE (3 * RELAY_HEARTBEAT_INTERVAL + 50 * MP_MS)
/* a member that misses relays waits so long for each place before its own,
** a heartbeat's travel, and so long at most */
#define TAKE_OVER_STEP (RELAY_HEARTBEAT_INTERVAL + 50 * MP_MS)
#define TAKEOVER_WAIT_MAX (1000 * MP_MS)
/* without the list of instances, the store is followed after this: entering
** itself, the wait for others that start too, and a list take 0.6 s */
#define START_WAIT (1500 * MP_MS)

/* capacities are told apart up to this */
#define CAPACITY_BITS 16
#define CAPACITY_SHIFT (64 - CAPACITY_BITS)
#define CAPACITY_MAX ((1u << CAPACITY_BITS) - 1)

typedef struct Relay {
  mp_Addr address;
  guint64 order;
  gboolean is_near; /* of this data centre */
  gint64 heard;
  gboolean doubted;
  gint64 level_at; /* the store answered it then, or who it hears, and what it
                   ** had then is known here */
  mp_RelayHeartbeat beat;
} Relay;

struct RelayGroup {
  mp_Addr self;
  guint64 order;      /* of this instance among the members */
  gint64 watch_wait;  /* longest wait of a watch */
  gint64 fresh;       /* a relay's last answer of the store may be so old */
  gint64 alone_at;    /* not listed by then: the store is followed */
  gboolean listed;    /* the members are known */
  guint instances;    /* that there are, this one included */
  GArray *members;    /* mp_Addr, the others, in their order */
  GHashTable *orders; /* address -> order (guint64), of the same */
  guint place;        /* members that come before this instance */
  GArray *far;        /* mp_Addr: who should be relays elsewhere */
  GHashTable *relays; /* address -> Relay, heard at some time */
  gint64 confirmed[MP_RELAY_KINDS]; /* when the store answered; 0: never */
  gint64 short_since; /* too few relays are heard; 0: enough are */
  gint64 lag_most;    /* as relay_group_lag_max */
  guint64 era;        /* as relay_group_era */
  NewsState news[MP_RELAY_KINDS];
  ConfigProof proof;
};

const char *relay_role_name(RelayRole role) {
  static const char *const names[] = {"starting", "alone", "relay", "member"};
  return names[role];
}

/* the same at every instance, and unlike for neighbours */
static guint64 hash_of(mp_Addr address) {
  return XXH3_64bits(&address, sizeof address);
}

/* the larger machine first, else by hash */
static guint64 order_of(mp_Addr address, guint32 capacity) {
  guint64 rank = CAPACITY_MAX - MIN(capacity, CAPACITY_MAX);
  return rank << CAPACITY_SHIFT | hash_of(address) >> CAPACITY_BITS;
}

gint64 relay_news_age_max(const RelayTiming *times) {
  return times->watch_wait + FRESH_MARGIN;
}

/* TAKE_OVERS, and news handed on, fit into what is left of the bound */
static gint64 fresh_within(const RelayTiming *times) {
  gint64 bound =
      times->propagation_max - TAKE_OVERS * TAKE_OVER_STEP - HAND_ON;
  return MIN(relay_news_age_max(times),
             MAX(bound, WATCH_LEAST + SLOW_ANSWER_MAX));
}

RelayGroup *relay_group_new(mp_Addr self, guint32 capacity,
                            const RelayTiming *times, gint64 now) {
  RelayGroup *group = g_new0(RelayGroup, 1);
  group->self = self;
  group->order = order_of(self, capacity);
  group->watch_wait = times->watch_wait;
  group->fresh = fresh_within(times);
  group->lag_most = times->propagation_max / 2;
  config_proof_init(&group->proof);
  group->alone_at = now + START_WAIT;
  group->far = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  group->members = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  group->orders =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  group->relays =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  return group;
}

void relay_group_free(RelayGroup *group) {
  g_array_free(group->members, TRUE);
  g_array_free(group->far, TRUE);
  g_hash_table_destroy(group->orders);
  g_hash_table_destroy(group->relays);
  config_proof_clear(&group->proof);
  g_free(group);
}

static int by_order(const void *a, const void *b) {
  const RelayMember *one = a;
  const RelayMember *other = b;
  guint64 first = order_of(one->address, one->capacity);
  guint64 second = order_of(other->address, other->capacity);
  return first < second ? -1 : first > second;
}

/* how many relays a data centre of so many instances has */
static guint relays_of(guint instances) {
  return instances < SMALL_GROUP ? RELAYS_SMALL : RELAYS;
}

static guint relays_wanted(const RelayGroup *group) {
  return relays_of(group->members->len + 1);
}

/* by data centre, then in the order that holds within one */
static int by_zone(const void *a, const void *b) {
  const RelayMember *first = a;
  const RelayMember *second = b;
  if (first->zone != second->zone)
    return first->zone < second->zone ? -1 : 1;
  return by_order(first, second);
}

/* the first RELAYS of each other data centre */
static void set_far(RelayGroup *group, const GArray *far) {
  GArray *sorted = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  guint32 zone = 0;
  guint taken = 0;
  guint i;
  g_array_append_vals(sorted, far->data, far->len);
  g_array_sort(sorted, by_zone);
  g_array_set_size(group->far, 0);
  for (i = 0; i < sorted->len; i++) {
    const RelayMember *one = &g_array_index(sorted, RelayMember, i);
    if (i == 0 || one->zone != zone)
      taken = 0;
    zone = one->zone;
    if (taken++ < RELAYS)
      g_array_append_val(group->far, one->address);
  }
  g_array_free(sorted, TRUE);
}

/* the place among all members: how many come before this instance */
static void set_near(RelayGroup *group, const GArray *near) {
  GArray *sorted = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  guint i;
  g_array_append_vals(sorted, near->data, near->len);
  g_array_sort(sorted, by_order);
  g_array_set_size(group->members, 0);
  g_hash_table_remove_all(group->orders);
  group->place = 0;
  for (i = 0; i < sorted->len; i++) {
    const RelayMember *one = &g_array_index(sorted, RelayMember, i);
    guint64 order = order_of(one->address, one->capacity);
    g_array_append_val(group->members, one->address);
    g_hash_table_insert(group->orders,
                        g_memdup2(&one->address, sizeof one->address),
                        g_memdup2(&order, sizeof order));
    group->place += order < group->order;
  }
  g_array_free(sorted, TRUE);
}

void relay_group_set_members(RelayGroup *group, const GArray *near,
                             const GArray *far, gint64 now) {
  if (!group->listed)
    group->short_since = now;
  group->listed = TRUE;
  group->instances = 1 + near->len + far->len;
  set_near(group, near);
  set_far(group, far);
}

void relay_group_skip_start_wait(RelayGroup *group) {
  group->alone_at = 0;
}

/* one that is not listed here comes last */
static guint64 order_of_relay(const RelayGroup *group, mp_Addr address) {
  const guint64 *order = g_hash_table_lookup(group->orders, &address);
  return order != NULL ? *order : G_MAXUINT64;
}

static gboolean holds(const GArray *addresses, mp_Addr address) {
  guint i;
  for (i = 0; i < addresses->len; i++) {
    if (g_array_index(addresses, mp_Addr, i) == address)
      return TRUE;
  }
  return FALSE;
}

/* when the store answered it, or another one that it hears */
static gint64 answered_at(const Relay *relay) {
  return relay->heard - relay->beat.age_ms * MP_MS;
}

static gboolean holds_all_of(const RelayGroup *group, const Relay *relay,
                             StoreKind kind) {
  return !store_position_is_before(group->news[kind].held,
                                   relay->beat.changed[kind]);
}

/* is all that it has known here? The instances and the quarantine change
** rarely, and no request depends on the newest ones */
static gboolean holds_all_news(const RelayGroup *group, const Relay *relay) {
  return holds_all_of(group, relay, STORE_CONFIGURATION) &&
         holds_all_of(group, relay, STORE_ENDPOINTS);
}

/* the newest moment at which what this relay had is known here */
static gint64 level_at(const RelayGroup *group, const Relay *relay) {
  if (!holds_all_news(group, relay))
    return relay->level_at;
  return MAX(relay->level_at, answered_at(relay));
}

static void name_news(RelayGroup *group, const mp_RelayHeartbeat *beat,
                      gint64 now) {
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    news_state_advance_newest(&group->news[kind], beat->changed[kind], now);
}

/* the latest era that the heartbeat names */
static guint64 era_of(const mp_RelayHeartbeat *beat) {
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
    relay->level_at = G_MININT32;
    g_hash_table_insert(group->relays, &relay->address, relay);
  } else
    relay->level_at = level_at(group, relay);
  relay->heard = now;
  relay->doubted = FALSE;
  relay->order = order_of_relay(group, from);
  relay->is_near = relay->order != G_MAXUINT64;
  relay->beat = *beat;
  relay_group_observe_era(group, era_of(beat));
  name_news(group, beat, now);
  config_proof_apply_heartbeat(&group->proof, from, beat, now);
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
  return group->lag_most;
}

void relay_group_confirm_store(RelayGroup *group, StoreKind kind, gint64 now) {
  group->confirmed[kind] = now;
}

/* the instances change rarely and their watch is long: they do not count */
static gint64 confirmed(const RelayGroup *group) {
  return MIN(group->confirmed[STORE_CONFIGURATION],
             group->confirmed[STORE_ENDPOINTS]);
}

gboolean relay_group_is_store_answering(const RelayGroup *group, gint64 now) {
  gint64 last = 0;
  int kind;
  for (kind = 0; kind < MP_RELAY_KINDS; kind++)
    last = MAX(last, group->confirmed[kind]);
  return last != 0 && now - last <= group->fresh;
}

void relay_group_suspend_relay(RelayGroup *group, mp_Addr address) {
  Relay *relay = g_hash_table_lookup(group->relays, &address);
  if (relay != NULL)
    relay->doubted = TRUE;
}

static gboolean is_heard(const Relay *relay, gint64 now) {
  return now - relay->heard <= SILENCE;
}

/* since the store answered it, or another one that it hears */
static gint64 age_of(const Relay *relay, gint64 now) {
  return now - answered_at(relay);
}

/* how old what is known here may be, as far as this relay tells */
static gint64 level_age(const RelayGroup *group, const Relay *relay,
                        gint64 now) {
  return now - level_at(group, relay);
}

static gboolean is_fresh(const RelayGroup *group, const Relay *relay,
                         gint64 now) {
  return is_heard(relay, now) && age_of(relay, now) <= group->fresh &&
         era_of(&relay->beat) >= group->era;
}

static gboolean comes_before(const RelayGroup *group, const Relay *relay) {
  return relay->is_near && relay->order < group->order;
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

/* how long this instance waits for other relays before it becomes one */
static gint64 take_over_wait(const RelayGroup *group, gint64 now) {
  guint wanted = relays_wanted(group);
  gint64 wait;
  if (group->place < wanted)
    return 0;
  wait = (group->place - wanted + 1) * TAKE_OVER_STEP;
  if (relay_group_relays_before(group, now).heard >= wanted)
    return wait;
  return MIN(wait, TAKEOVER_WAIT_MAX);
}

RelayRole relay_group_role(RelayGroup *group, gint64 now) {
  if (!group->listed)
    return now < group->alone_at ? RELAY_ROLE_STARTING : RELAY_ROLE_ALONE;
  if (group->members->len + 1 < GROUP_LEAST &&
      !relay_group_uses_summaries(group))
    return RELAY_ROLE_ALONE;
  if (relay_group_relays_before(group, now).fresh >= relays_wanted(group)) {
    group->short_since = 0;
    return RELAY_ROLE_MEMBER;
  }
  if (group->short_since == 0)
    group->short_since = now;
  return now - group->short_since >= take_over_wait(group, now)
             ? RELAY_ROLE_RELAY
             : RELAY_ROLE_MEMBER;
}

/* when this relay is fresh no more, unless it is heard again */
static gint64 fresh_until(const RelayGroup *group, const Relay *relay) {
  return MIN(relay->heard + SILENCE, answered_at(relay) + group->fresh);
}

/* when the first of the fresh relays before this instance ceases to be */
static gint64 first_to_cease(const RelayGroup *group, gint64 now) {
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
  if (!group->listed)
    return MAX(group->alone_at, now);
  if (group->short_since == 0)
    return MIN(first_to_cease(group, now), now + RELAY_HEARTBEAT_INTERVAL);
  due = group->short_since + take_over_wait(group, now);
  return due > now ? MIN(due, now + RELAY_HEARTBEAT_INTERVAL)
                   : now + RELAY_HEARTBEAT_INTERVAL;
}

gboolean relay_group_uses_summaries(const RelayGroup *group) {
  return group->instances > RELAY_FULL_MESH_MAX;
}

gboolean relay_group_is_substitute(RelayGroup *group, gint64 now) {
  return relay_group_role(group, now) == RELAY_ROLE_RELAY &&
         relay_group_relays_before(group, now).heard >= relays_wanted(group);
}

gboolean relay_group_is_first_relay(RelayGroup *group, gint64 now) {
  return relay_group_role(group, now) == RELAY_ROLE_RELAY &&
         relay_group_relays_before(group, now).heard == 0;
}

/* of those that have the news, any one: they share the members by chance */
mp_Addr relay_group_choose_source(const RelayGroup *group, StoreKind kind,
                                  StorePosition known, gint64 now) {
  GHashTableIter iterator;
  gpointer value;
  mp_Addr best = 0;
  guint64 best_weight = 0;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    guint64 weight = hash_of(relay->address) ^ hash_of(group->self);
    if (relay->doubted || !is_heard(relay, now) ||
        !store_position_is_before(known, relay->beat.changed[kind]))
      continue;
    if (best == 0 || weight > best_weight) {
      best = relay->address;
      best_weight = weight;
    }
  }
  return best;
}

/* 'all': also of the relays of this data centre that come after it */
static gint64 news_age_from(const RelayGroup *group, gboolean all,
                            gint64 now) {
  gint64 age = confirmed(group) != 0 ? now - confirmed(group) : G_MAXINT32;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    gboolean counts = all || !relay->is_near || comes_before(group, relay);
    if (counts && is_heard(relay, now))
      age = MIN(age, level_age(group, relay, now));
  }
  return MIN(age, G_MAXINT32);
}

gint64 relay_group_age(const RelayGroup *group, gint64 now) {
  return news_age_from(group, FALSE, now);
}

gint64 relay_group_news_age(const RelayGroup *group, gint64 now) {
  return news_age_from(group, TRUE, now);
}

gint64 relay_group_watch_wait(RelayGroup *group, StoreKind kind, gint64 now) {
  gint64 until;
  if (relay_group_role(group, now) != RELAY_ROLE_RELAY ||
      group->confirmed[kind] == 0)
    return group->watch_wait;
  until = group->confirmed[kind] + group->fresh - SLOW_ANSWER_MAX;
  return CLAMP(until - now, WATCH_LEAST, group->watch_wait);
}

unsigned relay_group_first_members(const RelayGroup *group, mp_Addr *out,
                                   unsigned most) {
  unsigned count = MIN(most, group->members->len);
  memcpy(out, group->members->data, count * sizeof *out);
  return count;
}

unsigned relay_group_clocks_to_bound(const RelayGroup *group, gint64 now,
                                     mp_Addr *out, unsigned most) {
  GHashTableIter iterator;
  gpointer value;
  unsigned count = 0;
  g_hash_table_iter_init(&iterator, group->relays);
  while (count < most && g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    if (is_heard(relay, now) &&
        config_proof_must_bound_clock(&group->proof, relay->address, now))
      out[count++] = relay->address;
  }
  return count;
}

const GArray *relay_group_members(const RelayGroup *group) {
  return group->members;
}

GArray *relay_group_remote_targets(const RelayGroup *group, gint64 now) {
  GArray *out = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  GHashTableIter iterator;
  gpointer value;
  g_array_append_vals(out, group->far->data, group->far->len);
  g_hash_table_iter_init(&iterator, group->relays);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const Relay *relay = value;
    if (!relay->is_near && is_heard(relay, now) && !holds(out, relay->address))
      g_array_append_val(out, relay->address);
  }
  return out;
}
