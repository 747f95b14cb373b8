/*
** carry.c
** Fuzz target: records of carried connections. The first byte says how the
** rest is cut into pieces
*/

#include <stdlib.h>

#include "io/record_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  RecordReader reader = {0};
  struct evbuffer *in = evbuffer_new();
  struct evbuffer *out = evbuffer_new();
  RecordState state = RECORD_MORE;
  size_t step = size > 0 ? (size_t)data[0] + 1 : 1;
  size_t at = 1;
  while (at < size && state != RECORD_BAD) {
    size_t count = MIN(step, size - at);
    evbuffer_add(in, data + at, count);
    at += count;
    do {
      state = record_read(&reader, in, out);
    } while (state == RECORD_END);
  }
  if (evbuffer_get_length(out) > size || reader.left > RECORD_FRAGMENT_MAX)
    if (state != RECORD_BAD)
      abort();
  evbuffer_free(in);
  evbuffer_free(out);
  return 0;
}
