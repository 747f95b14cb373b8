/*
** events.c
** Splits the bytes of a text/event-stream into whole events
*/

#include <string.h>

#include "http/events.h"

void event_splitter_init(EventSplitter *splitter) {
  splitter->pending = g_string_new(NULL);
}

void event_splitter_clear(EventSplitter *splitter) {
  if (splitter->pending != NULL)
    g_string_free(splitter->pending, TRUE);
  splitter->pending = NULL;
}

/* length of the line end at 's', 0 when there is none */
static gsize line_end(const char *s, const char *end) {
  if (s < end && *s == '\n')
    return 1;
  if (s + 1 < end && s[0] == '\r' && s[1] == '\n')
    return 2;
  return 0;
}

/* length of the first event with its empty line, 0 when it is not whole */
static gsize event_length(const char *s, gsize size) {
  const char *end = s + size;
  const char *at = s;
  while ((at = memchr(at, '\n', (gsize)(end - at))) != NULL) {
    gsize empty;
    at++;
    empty = line_end(at, end);
    if (empty > 0)
      return (gsize)(at - s) + empty;
  }
  return 0;
}

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
  gsize length;
  *last_id = NULL;
  g_string_append_len(pending, bytes, (gssize)size);
  while ((length = event_length(pending->str + used, pending->len - used)) >
         0) {
    char *id = event_id(pending->str + used, length);
    if (id != NULL) {
      g_free(*last_id);
      *last_id = id;
    }
    used += length;
  }
  g_string_append_len(whole, pending->str, (gssize)used);
  g_string_erase(pending, 0, (gssize)used);
}

gsize event_splitter_pending_size(const EventSplitter *splitter) {
  return splitter->pending->len;
}
