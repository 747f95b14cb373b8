/*
** http.c
** Fuzz target: messages of callers and endpoints, and what their heads say.
** The first byte says how the rest is cut into pieces
*/

#include <math.h>
#include <stdlib.h>

#include "http/content.h"
#include "http/reader.h"
#include "platform/platform.h"

#define HEAD_MOST 4096
#define BODY_MOST 65536

static void on_head(void *data, HttpHead *head) {
  EndpointHead endpoint;
  CallerHead caller;
  (void)data;
  platform_read_endpoint(head, &endpoint);
  if (!isfinite(endpoint.signals.rate_per_second) ||
      endpoint.signals.rate_per_second < 0 || endpoint.signals.rest_time < 0 ||
      endpoint.signals.rest_time > G_MAXINT64 / 2)
    abort();
  if (head->target != NULL) {
    platform_read_caller(head, &caller, NULL);
    caller_head_clear(&caller);
    request_content_digest(head, NULL);
  }
  http_head_free(head);
}

static void on_body(void *data, const char *bytes, size_t size) {
  (void)data;
  (void)bytes;
  (void)size;
}

static void read_stream(HttpReaderKind kind, const char *bytes, size_t size,
                        size_t step) {
  static const HttpReaderCallbacks hooks = {on_head, on_body};
  HttpReader *reader = http_reader_new(kind, &hooks, NULL);
  size_t at = 0;
  http_reader_set_limits(reader, HEAD_MOST, BODY_MOST);
  while (at < size && http_reader_state(reader) != HTTP_READER_FAILED) {
    at += http_reader_feed(reader, bytes + at, MIN(step, size - at));
    if (http_reader_state(reader) == HTTP_READER_DONE)
      http_reader_start_next(reader);
  }
  http_reader_handle_eof(reader);
  http_reader_free(reader);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  size_t step;
  if (size == 0)
    return 0;
  step = (size_t)data[0] + 1;
  read_stream(HTTP_REQUESTS, (const char *)data + 1, size - 1, step);
  read_stream(HTTP_RESPONSES, (const char *)data + 1, size - 1, step);
  return 0;
}
