/*
** events.h
** Splits the bytes of a text/event-stream into whole events
** Source: WHATWG HTML, "Server-sent events". Bytes are kept as they came;
** only the end of each event and its id are looked for.
*/

#ifndef HTTP_EVENTS_H
#define HTTP_EVENTS_H

#include <glib.h>

typedef struct EventSplitter {
  GString *pending; /* bytes of an event that is not whole yet */
} EventSplitter;

void event_splitter_init(EventSplitter *splitter);
void event_splitter_clear(EventSplitter *splitter);

/*
** Append bytes; move all whole events to 'whole' and set 'last_id' to the
** id of the last one that has an id (NULL when none has; free it).
*/
void event_splitter_feed(EventSplitter *splitter, const char *bytes,
                         gsize size, GString *whole, char **last_id);

/* bytes of an unfinished event */
gsize event_splitter_pending_size(const EventSplitter *splitter);

#endif
