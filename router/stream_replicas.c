/*
** stream_replicas.c
** Chooses the instances that keep what is known of a stream, by rendezvous
** hashing over the list of instances
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/relay_members.h"
#include "router/stream_replicas.h"

/* At most so many replicas of a stream are of one data centre if others have
** instances: two at least are elsewhere, wherever it is taken up again, and
** when one data centre is cut off. */
#define REPLICAS_OF_DATA_CENTRE_MAX 3

/* Returns the weight of an instance in rendezvous hashing for this seed. */
static guint64 weight_of(mp_Addr address, guint64 seed) {
  return XXH3_64bits_withSeed(&address, sizeof address, seed);
}

/* The replicas chosen so far. */
typedef struct Chosen {
  guint count;
  const RelayMember *members[STREAM_REPLICAS_MAX];
} Chosen;

/* Returns TRUE if the member may be chosen too: it is not chosen yet, and
** fewer than 'most' of its data centre are. */
static gboolean may_choose(const Chosen *chosen, const RelayMember *member,
                           guint most) {
  guint near = 0;
  guint i;
  for (i = 0; i < chosen->count; i++) {
    if (chosen->members[i] == member)
      return FALSE;
    near += chosen->members[i]->zone == member->zone;
  }
  return near < most;
}

/* Returns the member of the largest weight that may be chosen; NULL: none. */
static const RelayMember *next_replica(const GArray *members, guint64 seed,
                                       const Chosen *chosen, guint most) {
  const RelayMember *best = NULL;
  guint64 best_weight = 0;
  guint i;
  for (i = 0; i < members->len; i++) {
    const RelayMember *member = &g_array_index(members, RelayMember, i);
    guint64 weight = weight_of(member->address, seed);
    if ((best != NULL && weight <= best_weight) ||
        !may_choose(chosen, member, most))
      continue;
    best = member;
    best_weight = weight;
  }
  return best;
}

guint stream_replicas_list(const GArray *members, const StreamKey *key,
                           mp_Addr *out) {
  Chosen chosen = {0};
  while (chosen.count < STREAM_REPLICAS_MAX) {
    const RelayMember *next = next_replica(members, key->digest[0], &chosen,
                                           REPLICAS_OF_DATA_CENTRE_MAX);
    if (next == NULL) /* there are too few other data centres */
      next =
          next_replica(members, key->digest[0], &chosen, STREAM_REPLICAS_MAX);
    if (next == NULL)
      break;
    out[chosen.count] = next->address;
    chosen.members[chosen.count++] = next;
  }
  return chosen.count;
}

gboolean stream_replicas_is_first(const GArray *members, mp_Addr self,
                                  guint64 key) {
  guint64 own = weight_of(self, key);
  guint i;
  for (i = 0; i < members->len; i++) {
    if (weight_of(g_array_index(members, RelayMember, i).address, key) > own)
      return FALSE;
  }
  return TRUE;
}

mp_Addr stream_replicas_recorder(const GArray *members, mp_Addr self,
                                 guint32 zone, mp_Addr avoided) {
  guint64 most = self != avoided ? weight_of(self, zone) : 0;
  mp_Addr best = self;
  guint i;
  for (i = 0; i < members->len; i++) {
    const RelayMember *member = &g_array_index(members, RelayMember, i);
    guint64 weight = weight_of(member->address, zone);
    if (member->zone != zone || member->address == avoided || weight <= most)
      continue;
    most = weight;
    best = member->address;
  }
  return best;
}
