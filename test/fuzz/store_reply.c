/*
** store_reply.c
** Fuzz target: answers of the store, and what their objects hold
*/

#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "test/fuzz/fixed_hash.h"

static void read_all(const StoreObject *object) {
  EndpointRecord endpoint;
  InstanceRecord instance = {0};
  QuarantineRecord quarantine = {0};
  LeaseRecord lease = {0};
  SoftwareSetRecord software_set = {0};
  StreamOriginsRecord origins = {0};
  if (object->text == NULL)
    return;
  if (platform_read_endpoint_record(object->name, object->text, &endpoint,
                                    NULL))
    endpoint_record_clear(&endpoint);
  platform_read_instance(object->text, &instance, NULL);
  instance_record_clear(&instance);
  platform_read_lease(object->text, &lease, NULL);
  lease_record_clear(&lease);
  platform_read_quarantine(object->name, object->text, &quarantine, NULL);
  platform_read_software_set(object->text, &software_set, NULL);
  platform_read_stream_origins(object->text, &origins, NULL);
  stream_origins_record_clear(&origins);
}

static void read_as(StoreOperation operation, const char *body, size_t size) {
  StoreCall call = {0};
  StoreReply reply;
  guint i;
  call.kind = STORE_LEASES; /* single objects are read, too */
  call.operation = operation;
  if (!platform_read_store_reply(&call, 200, body, size, &reply, NULL))
    return;
  for (i = 0; reply.objects != NULL && i < reply.objects->len; i++)
    read_all(&g_array_index(reply.objects, StoreObject, i));
  store_reply_clear(&reply);
}

#define SOUND(name) \
  "{\"Metadata\":{\"Name\":\"" name "\",\"Rev\":5},\"Spec\":{\"Slots\":1}}"

static gboolean has(const StoreReply *reply, const char *name) {
  guint i;
  for (i = 0; i < reply->objects->len; i++) {
    const StoreObject *object = &g_array_index(reply->objects, StoreObject, i);
    if (strcmp(object->name, name) == 0 && object->text != NULL &&
        object->text[0] != '\0')
      return TRUE;
  }
  return FALSE;
}

/* any bytes in the place of one item: those before and behind it stand */
static void read_between(const char *bytes, size_t size) {
  GString *body = g_string_new("{\"items\":[" SOUND("before") ",");
  StoreCall call = {0};
  StoreReply reply;
  call.kind = STORE_ENDPOINTS;
  call.operation = STORE_LIST;
  g_string_append_len(body, bytes, (gssize)size);
  g_string_append(body, "," SOUND("behind") "],\"more\":false,\"at\":77}");
  if (!platform_read_store_reply(&call, 200, body->str, body->len, &reply,
                                 NULL) ||
      !has(&reply, "before") || (!has(&reply, "behind") && !reply.partial))
    abort();
  store_reply_clear(&reply);
  g_string_free(body, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  read_as(STORE_LIST, (const char *)data, size);
  read_as(STORE_WATCH, (const char *)data, size);
  read_as(STORE_READ, (const char *)data, size);
  read_between((const char *)data, size);
  return 0;
}
