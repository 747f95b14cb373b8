/*
** lease.c
** A lease on one duty, kept as one object of the store
*/

#include <string.h>

#include "router/lease.h"

/* the one object there is */
#define LEASE_NAME "engine-stages"
/* pause after a call that failed */
#define LEASE_RETRY (1 * MP_SEC)
/* another's lease is waited for so many lengths */
#define LEASE_PATIENCE 2
/* a fence has the revision below the era: no store counts to this in one era,
** and JSON numbers hold both for two million eras */
#define FENCE_ERA_SHIFT 32

void lease_record_clear(LeaseRecord *record) {
  g_free(record->holder);
  memset(record, 0, sizeof *record);
}

void lease_init(Lease *lease, const char *holder, gint64 length, gint64 now) {
  memset(lease, 0, sizeof *lease);
  lease->holder = g_strdup(holder);
  lease->length = length;
  lease->free_from = now + LEASE_PATIENCE * length;
}

void lease_clear(Lease *lease) {
  g_free(lease->holder);
}

/* when another's lease has certainly lapsed, and one length more */
static gint64 takeover_allowed_at(const Lease *lease) {
  if (lease->own || lease->absent)
    return lease->free_from;
  return MAX(lease->free_from,
             lease->seen_at + LEASE_PATIENCE * lease->length);
}

static StoreOperation next_operation(const Lease *lease, gint64 now) {
  if (!lease->known || now < takeover_allowed_at(lease))
    return STORE_READ;
  return lease->absent ? STORE_CREATE : STORE_REPLACE;
}

gboolean lease_begin_call(Lease *lease, StoreCall *call, LeaseRecord *record,
                          gint64 now) {
  if (lease->length == 0 || lease->open || now < lease->retry_at)
    return FALSE;
  memset(call, 0, sizeof *call);
  memset(record, 0, sizeof *record);
  call->kind = STORE_LEASES;
  call->operation = next_operation(lease, now);
  call->name = LEASE_NAME;
  call->position = lease->position;
  if (call->operation != STORE_READ) {
    record->holder = lease->holder;
    record->term = lease->term + 1;
    call->lease = record;
  }
  lease->open = TRUE;
  lease->operation = call->operation;
  lease->sent_at = now;
  lease->sent_era = lease->era;
  return TRUE;
}

/* until another one may take it, it is looked at now and then */
static void wait_until_free(Lease *lease, gint64 now) {
  if (now < takeover_allowed_at(lease))
    lease->retry_at = MIN(now + lease->length, takeover_allowed_at(lease));
}

/* the object as the store has it */
static void observe(Lease *lease, const LeaseReply *reply, gint64 now) {
  if (!lease->known || lease->absent ||
      store_position_compare(lease->position, reply->position) != 0)
    lease->seen_at = now;
  lease->known = TRUE;
  lease->absent = FALSE;
  lease->position = reply->position;
  lease->term = reply->record.term;
  lease->own = reply->record.holder != NULL &&
               strcmp(reply->record.holder, lease->holder) == 0;
  wait_until_free(lease, now);
}

/* nothing certain is known: read it before the next step */
static void forget(Lease *lease, gint64 now) {
  lease->known = FALSE;
  lease->retry_at = now + LEASE_RETRY;
}

void lease_observe_era(Lease *lease, guint64 era, gint64 now) {
  gboolean is_return = lease->era != 0 || lease->known;
  if (era <= lease->era)
    return;
  lease->era = era;
  lease->free_from = now + LEASE_PATIENCE * lease->length;
  if (!is_return)
    return; /* nothing was held */
  lease->held_until = 0;
  forget(lease, now);
}

/* a write of an older era may have met an object by chance alone */
static gboolean is_of_past(const Lease *lease, const LeaseReply *reply) {
  return reply->era != lease->era ||
         (lease->sent_era != 0 && lease->sent_era != lease->era);
}

static gboolean has_object(const LeaseReply *reply) {
  return (reply->status == STORE_OK || reply->status == STORE_CONFLICT) &&
         !store_position_is_none(reply->position);
}

void lease_handle_reply(Lease *lease, const LeaseReply *reply, gint64 now) {
  gboolean wrote = lease->operation != STORE_READ;
  lease->open = FALSE;
  lease->retry_at = now;
  lease_observe_era(lease, reply->era, now);
  if (is_of_past(lease, reply))
    forget(lease, now);
  else if (reply->status == STORE_NOT_FOUND) {
    lease->known = !wrote;
    lease->absent = !wrote;
    wait_until_free(lease, now);
  } else if (has_object(reply)) {
    observe(lease, reply, now);
    if (wrote && reply->status == STORE_OK && lease->own)
      lease->held_until = lease->sent_at + lease->length;
  } else
    forget(lease, now);
}

gint64 lease_fence(const Lease *lease) {
  return (gint64)(lease->position.era << FENCE_ERA_SHIFT) +
         lease->position.revision;
}

gint64 lease_next_call_time(const Lease *lease) {
  return lease->open ? G_MAXINT64 : lease->retry_at;
}

gboolean lease_is_held(const Lease *lease, gint64 span, gint64 now) {
  return now + span < lease->held_until;
}

void lease_give_up(Lease *lease, gint64 now) {
  lease->held_until = 0;
  forget(lease, now + LEASE_PATIENCE * lease->length);
}
