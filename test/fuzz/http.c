/*
** http.c
** Fuzz target: messages of callers and endpoints, and what their heads say.
** The first byte says how the rest is cut into pieces. No message may be whole
** before its head has ended, nor one of an unknown transfer coding
*/

#include <math.h>
#include <stdlib.h>

#include "http/content.h"
#include "http/reader.h"
#include "platform/platform.h"

#define HEAD_MOST 4096
#define BODY_MOST 65536

/* what was read of the current message */
typedef struct Reading {
  HttpReaderKind kind;
  unsigned heads;
  gboolean has_framing; /* its head has a length or a transfer coding */
} Reading;

/* Only "chunked" may be passed on: the end of another coding is not known. */
static void check_framing(Reading *reading, const HttpHead *head) {
  const char *coding = http_head_get(head, "Transfer-Encoding");
  reading->heads++;
  reading->has_framing =
      coding != NULL || http_head_get(head, "Content-Length") != NULL;
  if (coding != NULL && g_ascii_strncasecmp(coding, "chunked", 7) != 0)
    abort();
}

static void on_head(void *data, HttpHead *head) {
  EndpointHead endpoint;
  CallerHead caller;
  check_framing(data, head);
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

/* Does a message that consists of these bytes have an empty line? Empty lines
** before its first line do not count. */
static gboolean has_empty_line(const char *bytes, size_t size) {
  size_t i = 0;
  while (i < size && (bytes[i] == '\r' || bytes[i] == '\n'))
    i++;
  for (; i + 1 < size; i++) {
    if (bytes[i] != '\n')
      continue;
    if (bytes[i + 1] == '\n' ||
        (i + 2 < size && bytes[i + 1] == '\r' && bytes[i + 2] == '\n'))
      return TRUE;
  }
  return FALSE;
}

/* A message is whole only if it has a head that ended. At the end of the
** stream, that is a response whose head says nothing of its length. */
static void check_whole(const Reading *reading, const char *bytes, size_t size,
                        gboolean at_end) {
  if (reading->heads != 1 || !has_empty_line(bytes, size) ||
      (at_end && (reading->kind != HTTP_RESPONSES || reading->has_framing)))
    abort();
}

static void read_stream(HttpReaderKind kind, const char *bytes, size_t size,
                        size_t step) {
  static const HttpReaderCallbacks hooks = {on_head, on_body};
  Reading reading = {kind, 0, FALSE};
  HttpReader *reader = http_reader_new(kind, &hooks, &reading);
  size_t at = 0;
  size_t start = 0; /* of the message */
  http_reader_set_limits(reader, HEAD_MOST, BODY_MOST);
  while (at < size && http_reader_state(reader) != HTTP_READER_FAILED) {
    at += http_reader_feed(reader, bytes + at, MIN(step, size - at));
    if (http_reader_state(reader) != HTTP_READER_DONE)
      continue;
    check_whole(&reading, bytes + start, at - start, FALSE);
    http_reader_start_next(reader);
    reading.heads = 0;
    start = at;
  }
  http_reader_handle_eof(reader);
  if (http_reader_state(reader) == HTTP_READER_DONE)
    check_whole(&reading, bytes + start, size - start, TRUE);
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
