/*
** store_reply.c
** Fuzz target: answers of the store, and what their objects hold
*/

#include "platform/platform.h"
#include "test/fuzz/fixed_hash.h"

static void read_all(const StoreObject *object) {
  EndpointRecord endpoint;
  InstanceRecord instance = {0};
  QuarantineRecord quarantine = {0};
  LeaseRecord lease = {0};
  if (object->text == NULL)
    return;
  if (platform_read_record(object->name, object->text, &endpoint, NULL))
    endpoint_record_clear(&endpoint);
  platform_read_instance(object->text, &instance, NULL);
  instance_record_clear(&instance);
  platform_read_lease(object->text, &lease, NULL);
  lease_record_clear(&lease);
  platform_read_quarantine(object->name, object->text, &quarantine, NULL);
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

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  read_as(STORE_LIST, (const char *)data, size);
  read_as(STORE_WATCH, (const char *)data, size);
  read_as(STORE_READ, (const char *)data, size);
  return 0;
}
