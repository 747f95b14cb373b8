/*
** carriers.c
** The instances through which this one can reach endpoints, and the choice
** among them
*/

#include "router/carriers.h"
#include "router/relay_members.h"

/* All uses are halved when those of one carrier reach this number. */
#define USES_MAX 32

typedef struct Carrier {
  mp_Addr address;
  guint32 zone;
  guint32 capacity;
  gint64 avoid_until;
  gint64 proven_until;
  guint failures; /* in a row */
  guint uses;     /* how often it was chosen; halved now and then */
} Carrier;

/* What is known of the carriers of one data centre. */
typedef struct ZoneView {
  guint32 zone;
  gboolean was_asked; /* in this search */
  gboolean has_failed;
  gboolean is_proven;
} ZoneView;

struct Carriers {
  guint32 zone;
  GArray *all; /* Carrier */
};

/* How good a carrier is; a higher rank is chosen before a lower one. */
typedef enum Rank {
  RANK_AVOIDED,  /* it failed lately */
  RANK_DOUBTFUL, /* another one of its data centre was asked, or failed */
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
    Carrier carrier = {0};
    if (known != NULL)
      carrier = *known;
    carrier.address = member->address;
    carrier.zone = member->zone;
    carrier.capacity = member->capacity;
    g_array_append_val(all, carrier);
  }
  g_array_free(carriers->all, TRUE);
  carriers->all = all;
}

guint carriers_count(const Carriers *carriers) {
  return carriers->all->len;
}

static gboolean is_among(const mp_Addr *asked, guint asked_count,
                         mp_Addr address) {
  guint i;
  for (i = 0; i < asked_count; i++) {
    if (asked[i] == address)
      return TRUE;
  }
  return FALSE;
}

/* Returns the view of a data centre, which is added if it is not there. */
static ZoneView *view_of(GArray *views, guint32 zone) {
  ZoneView view = {zone, FALSE, FALSE, FALSE};
  guint i;
  for (i = 0; i < views->len; i++) {
    ZoneView *known = &g_array_index(views, ZoneView, i);
    if (known->zone == zone)
      return known;
  }
  g_array_append_val(views, view);
  return &g_array_index(views, ZoneView, views->len - 1);
}

/* Returns an array of ZoneView, which the caller frees. */
static GArray *zone_views(const Carriers *carriers, const mp_Addr *asked,
                          guint asked_count, gint64 now) {
  GArray *views = g_array_new(FALSE, FALSE, sizeof(ZoneView));
  guint i;
  for (i = 0; i < carriers->all->len; i++) {
    const Carrier *carrier = &g_array_index(carriers->all, Carrier, i);
    ZoneView *view = view_of(views, carrier->zone);
    view->was_asked |= is_among(asked, asked_count, carrier->address);
    view->has_failed |= carrier->avoid_until > now;
    view->is_proven |= carrier->proven_until > now;
  }
  return views;
}

static Rank rank_of(const Carriers *carriers, const Carrier *carrier,
                    const ZoneView *view, gint64 now) {
  if (carrier->avoid_until > now)
    return RANK_AVOIDED;
  if (view->was_asked || (view->has_failed && !view->is_proven))
    return RANK_DOUBTFUL;
  return carrier->zone == carriers->zone ? RANK_NEAR : RANK_FAR;
}

/* Returns the dispatches that the carrier has open itself, and the uses that
** this instance made of it, for its capacity. */
static double load_of(const Carrier *carrier, const PeerLoads *loads) {
  const mp_LoadDigest *digest =
      peer_loads_latest_digest(loads, carrier->address);
  guint open = carrier->uses;
  guint i;
  for (i = 0; digest != NULL && i < digest->n; i++)
    open += digest->row[i].open;
  return (double)open / MAX(carrier->capacity, 1);
}

/* Counts a use; older ones count for less and less. */
static void count_use(Carriers *carriers, Carrier *chosen) {
  guint i;
  if (++chosen->uses < USES_MAX)
    return;
  for (i = 0; i < carriers->all->len; i++)
    g_array_index(carriers->all, Carrier, i).uses /= 2;
}

mp_Addr carriers_choose(Carriers *carriers, const mp_Addr *asked,
                        guint asked_count, const PeerLoads *loads,
                        GRand *random, gint64 now) {
  GPtrArray *best = g_ptr_array_new();
  GArray *views = zone_views(carriers, asked, asked_count, now);
  Rank best_rank = RANK_AVOIDED;
  Carrier *chosen = NULL;
  guint i;
  for (i = 0; i < carriers->all->len; i++) {
    Carrier *carrier = &g_array_index(carriers->all, Carrier, i);
    Rank rank = rank_of(carriers, carrier, view_of(views, carrier->zone), now);
    if (is_among(asked, asked_count, carrier->address) || rank < best_rank)
      continue;
    if (rank > best_rank)
      g_ptr_array_set_size(best, 0);
    best_rank = rank;
    g_ptr_array_add(best, carrier);
  }
  if (best->len > 0) {
    Carrier *one = best->pdata[g_rand_int_range(random, 0, (gint32)best->len)];
    Carrier *other =
        best->pdata[g_rand_int_range(random, 0, (gint32)best->len)];
    chosen = load_of(other, loads) < load_of(one, loads) ? other : one;
    count_use(carriers, chosen);
  }
  g_ptr_array_free(best, TRUE);
  g_array_free(views, TRUE);
  return chosen != NULL ? chosen->address : 0;
}

void carriers_note_connected(Carriers *carriers, mp_Addr address, gint64 now) {
  Carrier *carrier = find(carriers, address);
  if (carrier == NULL)
    return;
  carrier->avoid_until = 0;
  carrier->failures = 0;
  carrier->proven_until = now + CARRIER_PROVEN_TIME;
}

void carriers_avoid(Carriers *carriers, mp_Addr address, gint64 now) {
  Carrier *carrier = find(carriers, address);
  gint64 wait;
  if (carrier == NULL)
    return;
  wait = CARRIER_AVOID_TIME << MIN(carrier->failures, 3);
  carrier->avoid_until = now + MIN(wait, CARRIER_AVOID_MAX);
  carrier->failures++;
}
