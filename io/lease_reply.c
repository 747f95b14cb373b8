/*
** lease_reply.c
** Reads the store's replies about the lease for orders to engines
*/

#include "io/lease_reply.h"

void lease_reply_read(const Dialect *dialect, Log *log,
                      const StoreReply *reply, LeaseReply *out) {
  const StoreObject *object;
  GError *error = NULL;
  out->status = reply->status;
  out->era = reply->at.era;
  if (reply->objects == NULL || reply->objects->len == 0)
    return;
  object = &g_array_index(reply->objects, StoreObject, 0);
  out->position = object->position;
  if (object->gone) {
    out->status = STORE_FAILED;
    return;
  }
  if (dialect->read_lease(object->text, &out->record, &error))
    return;
  log_numbered(log, MP_LOG_STORE_RECORD_BAD, " name=%s error=\"%s\"",
               object->name, error->message);
  g_error_free(error);
}
