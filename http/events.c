/*
** events.c
** Splits a text/event-stream into whole events
*/

#include <string.h>

#include "http/events.h"

void event_splitter_init(EventSplitter *splitter) {
  splitter->pending = g_string_new(NULL);
  splitter->scanned = 0;
}

void event_splitter_clear(EventSplitter *splitter) {
  if (splitter->pending != NULL)
    g_string_free(splitter->pending, TRUE);
  splitter->pending = NULL;
}

/* Returns the number of bytes of the line ending at 's'; 0: there is none. */
static gsize line_ending_size(const char *s, const char *end) {
  if (s < end && *s == '\n')
    return 1;
  if (s + 1 < end && s[0] == '\r' && s[1] == '\n')
    return 2;
  return 0;
}

/* Returns the number of bytes of the first event, with the empty line that
** ends it; 0: its end has not arrived. The line ending before that line is not
** in the first 'scanned' bytes. */
static gsize first_event_size(const char *s, gsize size, gsize scanned) {
  const char *end = s + size;
  const char *at = s + scanned;
  while ((at = memchr(at, '\n', (gsize)(end - at))) != NULL) {
    gsize empty;
    at++;
    empty = line_ending_size(at, end);
    if (empty > 0)
      return (gsize)(at - s) + empty;
  }
  return 0;
}

/* Returns the value of the first "id:" line of one event, without whitespace
** around it; the caller frees it. NULL: the event has no such line. */
static char *event_id(const char *s, gsize size) {
  const char *end = s + size;
  while (s < end) {
    const char *newline = memchr(s, '\n', (gsize)(end - s));
    if (end - s > 3 && memcmp(s, "id:", 3) == 0 && newline != NULL)
      return g_strstrip(g_strndup(s + 3, (gsize)(newline - s - 3)));
    if (newline == NULL)
      break;
    s = newline + 1;
  }
  return NULL;
}

void event_splitter_feed(EventSplitter *splitter, const char *bytes,
                         gsize size, GString *whole, char **last_id) {
  GString *pending = splitter->pending;
  gsize used = 0;
  gsize scanned = splitter->scanned;
  gsize length;
  *last_id = NULL;
  g_string_append_len(pending, bytes, (gssize)size);
  while ((length = first_event_size(pending->str + used, pending->len - used,
                                    scanned)) > 0) {
    char *id = event_id(pending->str + used, length);
    if (id != NULL) {
      g_free(*last_id);
      *last_id = id;
    }
    used += length;
    scanned = 0;
  }
  g_string_append_len(whole, pending->str, (gssize)used);
  g_string_erase(pending, 0, (gssize)used);
  /* the last bytes may be LF, or LF CR, of an end that has arrived in part */
  splitter->scanned = pending->len - MIN(pending->len, 2);
}

gsize event_splitter_pending_size(const EventSplitter *splitter) {
  return splitter->pending->len;
}
