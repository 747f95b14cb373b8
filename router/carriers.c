/*
** carriers.c
** The instances through which this one can reach endpoints, and the choice
** among them
*/

#include "router/carriers.h"
#include "router/relay_members.h"

typedef struct Carrier {
  mp_Addr address;
  guint32 zone;
  guint32 capacity;
  gint64 avoid_until;
} Carrier;

struct Carriers {
  guint32 zone;
  GArray *all; /* Carrier */
};

/* How good a carrier is; a higher rank is chosen before a lower one. */
typedef enum Rank {
  RANK_EXCLUDED,   /* it was asked already */
  RANK_AVOIDED,    /* it failed lately */
  RANK_ASKED_ZONE, /* another one of its data centre was asked */
  RANK_FAR,
  RANK_NEAR
} Rank;

Carriers *carriers_new(guint32 zone) {
  Carriers *carriers = g_new0(Carriers, 1);
  carriers->zone = zone;
  carriers->all = g_array_new(FALSE, FALSE, sizeof(Carrier));
  return carriers;
}

void carriers_free(Carriers *carriers) {
  g_array_free(carriers->all, TRUE);
  g_free(carriers);
}

static Carrier *find(const Carriers *carriers, mp_Addr address) {
  guint i;
  for (i = 0; i < carriers->all->len; i++) {
    Carrier *carrier = &g_array_index(carriers->all, Carrier, i);
    if (carrier->address == address)
      return carrier;
  }
  return NULL;
}

void carriers_set(Carriers *carriers, const GArray *members) {
  GArray *all = g_array_new(FALSE, FALSE, sizeof(Carrier));
  guint i;
  for (i = 0; i < members->len; i++) {
    const RelayMember *member = &g_array_index(members, RelayMember, i);
    const Carrier *known = find(carriers, member->address);
    Carrier carrier = {member->address, member->zone, member->capacity,
                       known != NULL ? known->avoid_until : 0};
    g_array_append_val(all, carrier);
  }
  g_array_free(carriers->all, TRUE);
  carriers->all = all;
}

guint carriers_count(const Carriers *carriers) {
  return carriers->all->len;
}

static Rank rank_of(const Carriers *carriers, const Carrier *carrier,
                    const mp_Addr *asked, guint asked_count, gint64 now) {
  Rank rank = carrier->zone == carriers->zone ? RANK_NEAR : RANK_FAR;
  guint i;
  for (i = 0; i < asked_count; i++) {
    const Carrier *other = find(carriers, asked[i]);
    if (asked[i] == carrier->address)
      return RANK_EXCLUDED;
    if (other != NULL && other->zone == carrier->zone)
      rank = RANK_ASKED_ZONE;
  }
  return carrier->avoid_until > now ? RANK_AVOIDED : rank;
}

/* Returns the dispatches that the carrier has open, for its capacity. */
static double load_of(const Carrier *carrier, const PeerLoads *loads) {
  const mp_LoadDigest *digest =
      peer_loads_latest_digest(loads, carrier->address);
  guint open = 0;
  guint i;
  for (i = 0; digest != NULL && i < digest->n; i++)
    open += digest->row[i].open;
  return (double)open / MAX(carrier->capacity, 1);
}

mp_Addr carriers_choose(Carriers *carriers, const mp_Addr *asked,
                        guint asked_count, const PeerLoads *loads,
                        GRand *random, gint64 now) {
  GPtrArray *best = g_ptr_array_new();
  Rank best_rank = RANK_AVOIDED;
  mp_Addr chosen = 0;
  guint i;
  for (i = 0; i < carriers->all->len; i++) {
    Carrier *carrier = &g_array_index(carriers->all, Carrier, i);
    Rank rank = rank_of(carriers, carrier, asked, asked_count, now);
    if (rank < best_rank)
      continue;
    if (rank > best_rank)
      g_ptr_array_set_size(best, 0);
    best_rank = rank;
    g_ptr_array_add(best, carrier);
  }
  if (best->len > 0) {
    const Carrier *one =
        best->pdata[g_rand_int_range(random, 0, (gint32)best->len)];
    const Carrier *other =
        best->pdata[g_rand_int_range(random, 0, (gint32)best->len)];
    chosen = load_of(other, loads) < load_of(one, loads) ? other->address
                                                         : one->address;
  }
  g_ptr_array_free(best, TRUE);
  return chosen;
}

void carriers_avoid(Carriers *carriers, mp_Addr address, gint64 now) {
  Carrier *carrier = find(carriers, address);
  if (carrier != NULL)
    carrier->avoid_until = now + CARRIER_AVOID_TIME;
}
