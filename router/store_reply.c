/*
** store_reply.c
** What a reply of the store or of another instance holds, and frees
*/

#include <string.h>

#include "router/follower.h"

static void clear_object(gpointer p) {
  StoreObject *object = p;
  g_free(object->name);
  g_free(object->text);
  if (object->changes != NULL)
    g_array_free(object->changes, TRUE);
}

void store_reply_clear(StoreReply *reply) {
  if (reply->objects != NULL)
    g_array_free(reply->objects, TRUE);
  memset(reply, 0, sizeof *reply);
}

void store_reply_set_era(StoreReply *reply, guint64 era) {
  guint i;
  reply->at.era = era;
  for (i = 0; reply->objects != NULL && i < reply->objects->len; i++)
    g_array_index(reply->objects, StoreObject, i).position.era = era;
}

GArray *store_objects_new(void) {
  GArray *objects = g_array_new(FALSE, TRUE, sizeof(StoreObject));
  g_array_set_clear_func(objects, clear_object);
  return objects;
}
