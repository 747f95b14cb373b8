/*
** head.h
** The head of one HTTP/1.1 message: start line and header fields
**
** A head is plain data: io/ receives and sends it, and a dialect
** (dialect/dialect.h) reads and writes it. The case of field names is ignored;
** the order and repetitions of fields are kept. A head owns all its texts. The
** functions don't validate what they are given, and none can fail.
*/

#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <glib.h>

typedef struct HttpField {
  char *name;
  char *value;
} HttpField;

typedef struct HttpHead {
  char *method;   /* of a request; NULL in a response */
  char *target;   /* of a request: path and query, as received; else NULL */
  int status;     /* of a response; 0 in a request */
  GArray *fields; /* HttpField */
  GStringChunk *texts; /* names and values of the fields */
  gsize texts_size;    /* bytes that they take there */
} HttpHead;

/* Returns an empty head, to be freed by http_head_free. */
HttpHead *http_head_new(void);
/* 'head' may be NULL. */
void http_head_free(HttpHead *head);

/* Return the head of a request or of a response, without fields. The texts are
** copied. */
HttpHead *http_head_new_request(const char *method, const char *target);
HttpHead *http_head_new_response(int status);

/* Append a field. The texts are copied; a number is written in decimal. */
void http_head_add(HttpHead *head, const char *name, const char *value);
void http_head_add_number(HttpHead *head, const char *name, gint64 value);

/* Returns the value of the first field of this name, owned by the head, or
** NULL. */
const char *http_head_get(const HttpHead *head, const char *name);
/* Returns the number of fields of this name. */
unsigned http_head_count(const HttpHead *head, const char *name);
/* Removes every field of this name. */
void http_head_remove(HttpHead *head, const char *name);

/* Is 'token' an element of the comma-separated list in any field of this name?
** Case is ignored. */
gboolean http_head_has_token(const HttpHead *head, const char *name,
                             const char *token);

/*
** Appends the end-to-end fields of 'from' to 'to': all fields but the
** hop-by-hop ones (those of RFC 9110 section 7.6.1, and those that the
** Connection field names) and Content-Length. The length is left out because
** whoever sends the message determines its framing anew.
*/
void http_head_copy_end_to_end(HttpHead *to, const HttpHead *from);

/* Returns the bytes of memory that the head takes, at most. A field takes more
** than its text: a caller can send 3,000 fields within a head of 16 KB. */
gsize http_head_size(const HttpHead *head);

/* Returns the reason phrase of a status code, "Status" for an unknown one. */
const char *http_reason_phrase(int status);

/* Appends the text of the head to 'out': start line, fields and the empty line
** after them. The start line is that of a request if 'method' is set, and else
** that of a response. */
void http_head_write(const HttpHead *head, GString *out);

#endif
