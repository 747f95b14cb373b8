/*
** head.h
** The head of one HTTP/1.1 message: start line and header fields
** Plain data, shared by the carriers in io/ and by the dialects. Names
** are compared without case; order and repetitions are kept.
*/

#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <glib.h>

typedef struct HttpField {
  char *name;
  char *value;
} HttpField;

typedef struct HttpHead {
  char *method;   /* requests */
  char *target;   /* requests: path and query, as it came */
  int status;     /* answers */
  GArray *fields; /* HttpField */
} HttpHead;

HttpHead *http_head_new(void);
void http_head_free(HttpHead *head);

/* a request's or an answer's head with no fields yet */
HttpHead *http_head_new_request(const char *method, const char *target);
HttpHead *http_head_new_response(int status);

/* append a field; both texts are copied */
void http_head_add(HttpHead *head, const char *name, const char *value);
void http_head_add_number(HttpHead *head, const char *name, gint64 value);

/* the first value of a field, or NULL */
const char *http_head_get(const HttpHead *head, const char *name);
/* how often a field stands in the head */
unsigned http_head_count(const HttpHead *head, const char *name);
/* remove every field of this name */
void http_head_remove(HttpHead *head, const char *name);

/* does a comma-separated field hold this word? */
gboolean http_head_has_token(const HttpHead *head, const char *name,
                             const char *word);

/*
** Append all fields of 'from' that concern the message and not one
** connection: without those of RFC 9110 section 7.6.1, those that its
** Connection field names, and Content-Length.
*/
void http_head_copy_end_to_end(HttpHead *to, const HttpHead *from);

/* the reason phrase of a status */
const char *http_reason_phrase(int status);

/* write the head with its start line and the empty line after it */
void http_head_write(const HttpHead *head, GString *out);

#endif
