/*
** record_stream.c
** Bytes as fragments of ONC RPC records
*/

#include <arpa/inet.h>
#include <string.h>

#include "io/record_stream.h"

#define LAST_FRAGMENT 0x80000000u
#define NOTE_FRAGMENT 0x40000000u
#define HEADER_BYTES 4

/* Reads the header of a fragment. Returns FALSE if it is too long. */
static gboolean read_header(RecordReader *reader, struct evbuffer *in) {
  guint32 header;
  evbuffer_remove(in, &header, HEADER_BYTES);
  header = ntohl(header);
  reader->in_last = (header & LAST_FRAGMENT) != 0;
  reader->in_note = (header & NOTE_FRAGMENT) != 0;
  reader->left = header & ~(LAST_FRAGMENT | NOTE_FRAGMENT);
  if (reader->in_note)
    return !reader->in_last && reader->left <= RECORD_NOTE_MAX;
  if (reader->left == 0 && !reader->in_last)
    reader->is_leaving = TRUE;
  return reader->left <= RECORD_FRAGMENT_MAX;
}

/* Reads a note, if it has arrived whole. */
static void read_note(RecordReader *reader, struct evbuffer *in) {
  guint32 i;
  if (evbuffer_get_length(in) < reader->left)
    return;
  evbuffer_remove(in, reader->note, reader->left);
  for (i = 0; i < reader->left; i++) {
    if (!g_ascii_isgraph(reader->note[i]) || reader->note[i] == '"')
      reader->note[i] = '?';
  }
  reader->note[reader->left] = '\0';
  reader->left = 0;
}

static void read_content(RecordReader *reader, struct evbuffer *in,
                         struct evbuffer *out) {
  int moved = evbuffer_remove_buffer(in, out, reader->left);
  reader->left -= (guint32)MAX(moved, 0);
}

RecordState record_read(RecordReader *reader, struct evbuffer *in,
                        struct evbuffer *out) {
  for (;;) {
    if (reader->in_note)
      read_note(reader, in);
    else if (reader->left > 0)
      read_content(reader, in, out);
    if (reader->left > 0)
      return RECORD_MORE;
    if (reader->in_last) {
      reader->in_last = FALSE;
      return RECORD_END;
    }
    if (evbuffer_get_length(in) < HEADER_BYTES)
      return RECORD_MORE;
    if (!read_header(reader, in))
      return RECORD_BAD;
  }
}

static void write_header(struct evbuffer *out, guint32 header) {
  header = htonl(header);
  evbuffer_add(out, &header, HEADER_BYTES);
}

void record_write(struct evbuffer *out, struct evbuffer *content,
                  gboolean is_last) {
  size_t left = evbuffer_get_length(content);
  while (left > 0 || is_last) {
    size_t size = MIN(left, RECORD_FRAGMENT_MAX);
    gboolean ends = is_last && size == left;
    write_header(out, (guint32)size | (ends ? LAST_FRAGMENT : 0));
    evbuffer_remove_buffer(content, out, size);
    left -= size;
    if (ends)
      return;
  }
}

void record_write_note(struct evbuffer *out, const char *text) {
  gsize size = MIN(strlen(text), RECORD_NOTE_MAX);
  write_header(out, NOTE_FRAGMENT | (guint32)size);
  evbuffer_add(out, text, size);
}

void record_write_leaving(struct evbuffer *out) {
  write_header(out, 0);
}
