/*
** reader.h
** Reads HTTP/1.1 messages from a byte stream, one at a time
**
** A wrapper of the library http_parser. io/ uses it on connections from
** callers, which carry requests, and on connections to endpoints, the store
** and other instances, which carry responses. It stops exactly behind each
** message, so that bytes behind a whole message are never taken for a part of
** it. A message whose length is ambiguous (more than one Content-Length or
** Transfer-Encoding, or both) is an error, since two parties could disagree
** about where it ends. So is one with a transfer coding other than "chunked",
** or with any in HTTP/1.0, since its end is not known.
**
** Use: http_reader_feed until the state is HTTP_READER_DONE, then
** http_reader_start_next and feed the bytes that were not consumed. After
** HTTP_READER_FAILED the stream can't be used any more.
*/

#ifndef HTTP_READER_H
#define HTTP_READER_H

#include <stddef.h>

#include "http/head.h"

typedef struct HttpReader HttpReader;

typedef enum HttpReaderKind { HTTP_REQUESTS, HTTP_RESPONSES } HttpReaderKind;

typedef enum HttpReaderState {
  HTTP_READER_IDLE,    /* no byte of the next message has arrived */
  HTTP_READER_PARTIAL, /* a message has begun */
  HTTP_READER_DONE,    /* a message is whole */
  HTTP_READER_FAILED   /* the bytes are not HTTP, or exceed a limit */
} HttpReaderState;

/* Why a message could not be read. */
typedef enum HttpReaderError {
  HTTP_ERROR_NONE,
  HTTP_ERROR_SYNTAX, /* not HTTP, or of ambiguous or unknown length */
  HTTP_ERROR_HEAD_TOO_LARGE,
  HTTP_ERROR_BODY_TOO_LARGE
} HttpReaderError;

/* The callbacks are called from within http_reader_feed and
** http_reader_handle_eof; they must not free the reader. */
typedef struct HttpReaderCallbacks {
  /* A head is whole; the callee owns it. */
  void (*head)(void *data, HttpHead *head);
  /* Some bytes of the body, without any transfer coding. */
  void (*body)(void *data, const char *bytes, size_t size);
} HttpReaderCallbacks;

/* Returns a reader, to be freed by http_reader_free. The callbacks are copied;
** 'data' is passed to them. */
HttpReader *http_reader_new(HttpReaderKind kind,
                            const HttpReaderCallbacks *callbacks, void *data);
/* 'reader' may be NULL. */
void http_reader_free(HttpReader *reader);

/* Limits the head and the body of each message to so many bytes, inclusive; 0:
** no limit. The size of a head is that of its target and of the names and
** values of its fields. */
void http_reader_set_limits(HttpReader *reader, size_t head_bytes,
                            size_t body_bytes);

/* States that the message being read has no body, whatever its head says (such
** as the response to a HEAD request). Holds until http_reader_start_next, but
** beyond interim responses. */
void http_reader_expect_no_body(HttpReader *reader);

/* Reads bytes and returns how many were consumed. This may be fewer than
** 'size' when the state becomes DONE or FAILED, and is 0 from then on. */
size_t http_reader_feed(HttpReader *reader, const char *bytes, size_t size);

/* Handles the end of the stream, after the peer closed it in an orderly way.
** This completes a response whose body extends to the end of the stream. With
** any other unfinished message the state becomes FAILED, and the error is
** HTTP_ERROR_NONE unless the parser had found one before. An idle reader is
** not changed. */
void http_reader_handle_eof(HttpReader *reader);

/* Prepares for the next message on the same stream. The state must be DONE. */
void http_reader_start_next(HttpReader *reader);

/* Returns the bytes of memory that the part of a head takes that was read. */
gsize http_reader_size(const HttpReader *reader);
/* Gives the present message up and frees what was read of its head. The state
** becomes FAILED. */
void http_reader_discard(HttpReader *reader);

HttpReaderState http_reader_state(const HttpReader *reader);
HttpReaderError http_reader_error(const HttpReader *reader);

/* May the connection carry another message after the one that was read last?
** Only meaningful once a message is DONE. */
gboolean http_reader_keep_alive(const HttpReader *reader);

#endif
