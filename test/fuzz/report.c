/*
** report.c
** Fuzz target: what engines answer about themselves
*/

#include "platform/platform.h"
#include "test/fuzz/fixed_hash.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  EngineReport report;
  PrefillResponse prefill = {0};
  platform_read_report((const char *)data, size, &report, NULL);
  platform_read_prefill((const char *)data, size, &prefill, NULL);
  g_free(prefill.handle);
  return 0;
}
