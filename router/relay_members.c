/*
** relay_members.c
** The other instances, in the order in which they become relays
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/relay_members.h"

/* Capacities above CAPACITY_MAX count as equal. */
#define CAPACITY_BITS 16
#define CAPACITY_SHIFT (64 - CAPACITY_BITS)
#define CAPACITY_MAX ((1u << CAPACITY_BITS) - 1)

guint64 relay_address_hash(mp_Addr address) {
  return XXH3_64bits(&address, sizeof address);
}

/*
** Returns the sort key of a member: larger machines come first, equal ones are
** ordered by hash.
*/
static guint64 member_order(mp_Addr address, guint32 capacity) {
  guint64 rank = CAPACITY_MAX - MIN(capacity, CAPACITY_MAX);
  return rank << CAPACITY_SHIFT | relay_address_hash(address) >> CAPACITY_BITS;
}

void relay_members_init(RelayMembers *members, mp_Addr self,
                        guint32 capacity) {
  members->self = self;
  members->order = member_order(self, capacity);
  members->instances = 1;
  members->near = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  members->remote_relays = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  members->far = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  members->orders =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void relay_members_clear(RelayMembers *members) {
  g_array_free(members->near, TRUE);
  g_array_free(members->remote_relays, TRUE);
  g_array_free(members->far, TRUE);
  g_hash_table_destroy(members->orders);
}

static int compare_by_order(const void *a, const void *b) {
  const RelayMember *one = a;
  const RelayMember *other = b;
  guint64 first = member_order(one->address, one->capacity);
  guint64 second = member_order(other->address, other->capacity);
  return first < second ? -1 : first > second;
}

/* Orders members by data centre, and within one as compare_by_order. */
static int compare_by_zone(const void *a, const void *b) {
  const RelayMember *first = a;
  const RelayMember *second = b;
  if (first->zone != second->zone)
    return first->zone < second->zone ? -1 : 1;
  return compare_by_order(first, second);
}

/* Returns a sorted copy of RelayMembers, to be freed by the caller. */
static GArray *sorted_members(const GArray *members, GCompareFunc compare) {
  GArray *sorted = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  g_array_append_vals(sorted, members->data, members->len);
  g_array_sort(sorted, compare);
  return sorted;
}

/*
** Sets the instances of other data centres that should be relays there: the
** first RELAYS_WANTED members of each.
*/
static void set_remote_relays(RelayMembers *members, const GArray *far) {
  GArray *sorted = sorted_members(far, compare_by_zone);
  guint32 zone = 0;
  guint taken = 0;
  guint i;
  g_array_set_size(members->remote_relays, 0);
  for (i = 0; i < sorted->len; i++) {
    const RelayMember *one = &g_array_index(sorted, RelayMember, i);
    if (i == 0 || one->zone != zone)
      taken = 0;
    zone = one->zone;
    if (taken++ < RELAYS_WANTED)
      g_array_append_val(members->remote_relays, one->address);
  }
  g_array_free(sorted, TRUE);
}

/* Sets the instances of other data centres, in their order. */
static void set_far(RelayMembers *members, const GArray *far) {
  GArray *sorted = sorted_members(far, compare_by_order);
  guint i;
  g_array_set_size(members->far, 0);
  for (i = 0; i < sorted->len; i++)
    g_array_append_val(members->far,
                       g_array_index(sorted, RelayMember, i).address);
  g_array_free(sorted, TRUE);
}

/* Sets the instances of this data centre and the place of this one. */
static void set_near(RelayMembers *members, const GArray *near) {
  GArray *sorted = sorted_members(near, compare_by_order);
  guint i;
  g_array_set_size(members->near, 0);
  g_hash_table_remove_all(members->orders);
  members->place = 0;
  for (i = 0; i < sorted->len; i++) {
    const RelayMember *one = &g_array_index(sorted, RelayMember, i);
    guint64 order = member_order(one->address, one->capacity);
    g_array_append_val(members->near, one->address);
    g_hash_table_insert(members->orders,
                        g_memdup2(&one->address, sizeof one->address),
                        g_memdup2(&order, sizeof order));
    members->place += order < members->order;
  }
  g_array_free(sorted, TRUE);
}

void relay_members_set(RelayMembers *members, const GArray *near,
                       const GArray *far) {
  members->instances = 1 + near->len + far->len;
  set_near(members, near);
  set_remote_relays(members, far);
  set_far(members, far);
}

guint64 relay_members_order_of(const RelayMembers *members, mp_Addr address) {
  const guint64 *order = g_hash_table_lookup(members->orders, &address);
  return order != NULL ? *order : G_MAXUINT64;
}

unsigned relay_members_first(const RelayMembers *members, mp_Addr *out,
                             unsigned most) {
  unsigned count = MIN(most, members->near->len);
  memcpy(out, members->near->data, count * sizeof *out);
  return count;
}

unsigned relay_members_next_far(RelayMembers *members, mp_Addr *out,
                                unsigned most) {
  unsigned count = MIN(most, members->far->len);
  unsigned i;
  for (i = 0; i < count; i++)
    out[i] = g_array_index(members->far, mp_Addr,
                           members->next_far++ % members->far->len);
  return count;
}
