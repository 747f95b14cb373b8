/*
** events.h
** Splits a text/event-stream into whole events
**
** Source: WHATWG HTML, "Server-sent events". An event ends with an empty line;
** lines end with LF or CR LF. Bytes are passed on unchanged; only the end of
** each event and its "id:" line are parsed. io/ passes whole events alone to
** callers, so that a stream that breaks can be resumed after an event's id.
*/

#ifndef HTTP_EVENTS_H
#define HTTP_EVENTS_H

#include <glib.h>

typedef struct EventSplitter {
  GString *pending; /* bytes of an event whose end has not arrived; owned */
} EventSplitter;

void event_splitter_init(EventSplitter *splitter);
/* Frees the pending bytes; may be called again. */
void event_splitter_clear(EventSplitter *splitter);

/*
** Adds 'size' bytes of the stream and appends all events that are now whole to
** 'whole'. Sets '*last_id' to the id of the last of these that has one, which
** the caller frees, or to NULL.
*/
void event_splitter_feed(EventSplitter *splitter, const char *bytes,
                         gsize size, GString *whole, char **last_id);

/* Returns the number of bytes of the unfinished event. */
gsize event_splitter_pending_size(const EventSplitter *splitter);

#endif
