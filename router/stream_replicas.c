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

/* Returns the weight of an instance in rendezvous hashing for this seed. */
static guint64 weight_of(mp_Addr address, guint64 seed) {
  return XXH3_64bits_withSeed(&address, sizeof address, seed);
}

guint stream_replicas_list(const GArray *members, const StreamKey *key,
                           mp_Addr *out) {
  guint64 weights[STREAM_REPLICAS_MAX];
  guint count = 0;
  guint i;
  for (i = 0; i < members->len; i++) {
    mp_Addr address = g_array_index(members, RelayMember, i).address;
    guint64 weight = weight_of(address, key->digest[0]);
    guint at = count;
    while (at > 0 && weights[at - 1] < weight)
      at--;
    if (at == STREAM_REPLICAS_MAX)
      continue;
    count = MIN(count + 1, STREAM_REPLICAS_MAX);
    memmove(weights + at + 1, weights + at,
            (count - 1 - at) * sizeof weights[0]);
    memmove(out + at + 1, out + at, (count - 1 - at) * sizeof out[0]);
    weights[at] = weight;
    out[at] = address;
  }
  return count;
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
