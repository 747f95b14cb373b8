/*
** events.h
** Splits a text/event-stream into whole events
**
** Source: WHATWG HTML, "Server-sent events". An event ends with an empty line.
** Only the end of each event and its id are parsed; all bytes are passed on
** unchanged. Two points differ from the standard: lines end with LF or CR LF,
** and not with a CR alone; and if an event has several "id:" lines, the first
** of them counts, not the last.
**
** io/ holds the bytes of an event back until all of it has arrived. So what a
** caller has received always ends with a whole event, and a stream that breaks
** can be resumed after that event's id.
*/

#ifndef HTTP_EVENTS_H
#define HTTP_EVENTS_H

#include <glib.h>

typedef struct EventSplitter {
  GString *pending; /* bytes of an event whose end has not arrived; owned */
  gsize scanned;    /* bytes of it before which no end begins */
} EventSplitter;

void event_splitter_init(EventSplitter *splitter);
/* Frees the pending bytes; may be called again. */
void event_splitter_clear(EventSplitter *splitter);

/*
** Adds 'size' bytes of the stream, and appends the events whose end has now
** arrived to 'whole'. Sets '*last_id' to the id of the last of these events
** that has one, or to NULL if none has; the caller frees it.
*/
void event_splitter_feed(EventSplitter *splitter, const char *bytes,
                         gsize size, GString *whole, char **last_id);

/* Returns the number of bytes of the unfinished event. The splitter does not
** limit it; its user has to. */
gsize event_splitter_pending_size(const EventSplitter *splitter);

#endif
