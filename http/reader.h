/*
** reader.h
** Reads HTTP/1.1 messages off a byte stream, one at a time
**
** A wrapper of http_parser that stops exactly behind each message, so
** that bytes after a whole message are never taken for a part of it.
*/

#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stddef.h>

#include "http/head.h"

typedef struct HttpReader HttpReader;

typedef enum HttpReaderKind { HTTP_REQUESTS, HTTP_RESPONSES } HttpReaderKind;

typedef enum HttpReaderState {
  HTTP_READER_IDLE,    /* nothing of a message has come */
  HTTP_READER_PARTIAL, /* a message has begun */
  HTTP_READER_DONE,    /* a message is whole; http_reader_start_next goes on */
  HTTP_READER_FAILED   /* the bytes are no HTTP, or over a limit */
} HttpReaderState;

/* why a message was refused */
typedef enum HttpReaderError {
  HTTP_ERROR_NONE,
  HTTP_ERROR_SYNTAX,
  HTTP_ERROR_HEAD_TOO_LARGE,
  HTTP_ERROR_BODY_TOO_LARGE
} HttpReaderError;

/* callbacks; the reader must not be freed from within one */
typedef struct HttpReaderCallbacks {
  void (*head)(void *data, HttpHead *head); /* the receiver owns the head */
  void (*body)(void *data, const char *bytes, size_t size);
} HttpReaderCallbacks;

HttpReader *http_reader_new(HttpReaderKind kind,
                            const HttpReaderCallbacks *hooks, void *data);
void http_reader_free(HttpReader *reader);

/* limits in bytes on what one message may bring; 0: none */
void http_reader_set_limits(HttpReader *reader, size_t head_bytes,
                            size_t body_bytes);

/* an answer to a HEAD request has no body */
void http_reader_expect_no_body(HttpReader *reader);

/* feed bytes; returns how many were consumed (fewer once DONE or BAD) */
size_t http_reader_feed(HttpReader *reader, const char *bytes, size_t size);

/* the stream ended in good order: may complete a message without length */
void http_reader_handle_eof(HttpReader *reader);

/* ready for the next message on the same stream; only when DONE */
void http_reader_start_next(HttpReader *reader);

HttpReaderState http_reader_state(const HttpReader *reader);
HttpReaderError http_reader_error(const HttpReader *reader);

/* may the connection serve another message after this one? */
gboolean http_reader_keep_alive(const HttpReader *reader);

#endif
