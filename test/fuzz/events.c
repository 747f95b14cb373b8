/*
** events.c
** Fuzz target: streams of events. The first byte says how the rest is cut into
** pieces; what goes in comes out
*/

#include <stdint.h>
#include <stdlib.h>

#include "http/events.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  EventSplitter splitter;
  GString *whole;
  size_t step;
  size_t at = 1;
  if (size == 0)
    return 0;
  step = (size_t)data[0] + 1;
  whole = g_string_new(NULL);
  event_splitter_init(&splitter);
  while (at < size) {
    size_t piece = MIN(step, size - at);
    char *id = NULL;
    event_splitter_feed(&splitter, (const char *)data + at, piece, whole, &id);
    g_free(id);
    at += piece;
  }
  if (whole->len + event_splitter_pending_size(&splitter) != size - 1)
    abort();
  event_splitter_clear(&splitter);
  g_string_free(whole, TRUE);
  return 0;
}
