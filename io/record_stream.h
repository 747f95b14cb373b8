/*
** record_stream.h
** Bytes as fragments of ONC RPC records (RFC 5531, record marking)
**
** A fragment is a header of four bytes and its content: the highest bit of the
** header marks the last fragment of a record, the others are the length of the
** content. io/carry_server.c and io/carry_client.c exchange a call, a reply,
** and then one record for each direction. The end of that record shows that
** the sender's stream is complete: a connection that ends before it was broken
** off.
**
** Two kinds of fragments are no part of the record:
** - One without content that is not the last one tells the receiver that the
**   sender is about to shut down and takes no further request on this
**   connection.
** - A note, which the second highest bit of the header marks, is text for the
**   receiver's log: the id of the request whose bytes follow.
*/

#ifndef RECORD_STREAM_H
#define RECORD_STREAM_H

#include <event2/buffer.h>
#include <glib.h>

/* bytes of content in one fragment; a longer one is an error */
#define RECORD_FRAGMENT_MAX (64 << 10)
/* bytes of a note; a longer one is an error when read, and cut when written */
#define RECORD_NOTE_MAX 64

typedef enum RecordState {
  RECORD_MORE, /* the record goes on */
  RECORD_END,  /* the last fragment has been read whole */
  RECORD_BAD   /* not a record, or a fragment that is too long */
} RecordState;

/* All members zero: nothing has been read. */
typedef struct RecordReader {
  guint32 left;     /* bytes of the present fragment that are not read yet */
  gboolean in_last; /* the present fragment is the last one */
  gboolean in_note; /* the present fragment is a note */
  gboolean is_leaving; /* the sender said that it is about to shut down */
  char note[RECORD_NOTE_MAX + 1]; /* the last note, printable; empty: none came
                                  ** since the reader's owner cleared it */
} RecordReader;

/*
** Moves the content of what has arrived from 'in' to 'out'. After RECORD_END,
** 'in' holds what follows the record, and the reader begins anew.
*/
RecordState record_read(RecordReader *reader, struct evbuffer *in,
                        struct evbuffer *out);

/* Appends all of 'content' to 'out' as fragments, and empties it. 'is_last'
** ends the record. */
void record_write(struct evbuffer *out, struct evbuffer *content,
                  gboolean is_last);
/* Appends a note. */
void record_write_note(struct evbuffer *out, const char *text);
/* Appends the fragment that says that this side is about to shut down. */
void record_write_leaving(struct evbuffer *out);

#endif
