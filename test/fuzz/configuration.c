/*
** configuration.c
** Fuzz target: the operator's configuration
*/

#include "platform/platform.h"
#include "test/fuzz/fixed_hash.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  char *text = g_strndup((const char *)data, size);
  RouteTable *table = platform_read_configuration(text, NULL, NULL);
  if (table != NULL) {
    RouteTable *again = platform_read_configuration(text, table, NULL);
    route_table_find_route(again, "h.example", "/a/b/c");
    route_table_unref(again);
    route_table_unref(table);
  }
  g_free(text);
  return 0;
}
