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

void lease_record_clear(LeaseRecord *record) {
  g_free(record->holder);
  memset(record, 0, sizeof *record);
}

void lease_init(Lease *lease, const char *holder, gint64 length) {
  memset(lease, 0, sizeof *lease);
  lease->holder = g_strdup(holder);
  lease->length = length;
}

void lease_clear(Lease *lease) {
  g_free(lease->holder);
}

/* when another's lease has certainly lapsed, and one length more */
static gint64 free_at(const Lease *lease) {
  return lease->own ? 0 : lease->seen_at + LEASE_PATIENCE * lease->length;
}

static StoreOperation next_operation(const Lease *lease, gint64 now) {
  if (!lease->known)
    return STORE_READ;
  if (lease->absent)
    return STORE_CREATE;
  return now >= free_at(lease) ? STORE_REPLACE : STORE_READ;
}

gboolean lease_step(Lease *lease, StoreCall *call, LeaseRecord *record,
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
  return TRUE;
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
  if (!lease->own)
    lease->retry_at = MIN(now + lease->length, free_at(lease));
}

/* nothing certain is known: read it before the next step */
static void forget(Lease *lease, gint64 now) {
  lease->known = FALSE;
  lease->retry_at = now + LEASE_RETRY;
}

void lease_reply(Lease *lease, const LeaseReply *reply, gint64 now) {
  gboolean wrote = lease->operation != STORE_READ;
  lease->open = FALSE;
  lease->retry_at = now;
  if (reply->status == STORE_ABSENT) {
    lease->known = !wrote;
    lease->absent = !wrote;
  } else if (reply->status == STORE_OK && reply->position.revision > 0) {
    observe(lease, reply, now);
    if (wrote && lease->own)
      lease->held_until = lease->sent_at + lease->length;
  } else if (reply->status == STORE_EXISTS && reply->position.revision > 0)
    observe(lease, reply, now);
  else
    forget(lease, now);
}

gint64 lease_next(const Lease *lease) {
  return lease->open ? G_MAXINT64 : lease->retry_at;
}

gboolean lease_held(const Lease *lease, gint64 span, gint64 now) {
  return now + span < lease->held_until;
}

void lease_lose(Lease *lease, gint64 now) {
  lease->held_until = 0;
  forget(lease, now + LEASE_PATIENCE * lease->length);
}
