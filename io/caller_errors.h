/*
** caller_errors.h
** Error responses of madderpier's own HTTP interface to callers
**
** Used by callers.c. The body is JSON: an object "error" with the kind, a
** message, and whether the request may have run.
*/

#ifndef CALLER_ERRORS_H
#define CALLER_ERRORS_H

#include <evhtp/evhtp.h>
#include <jansson.h>

#include "madderpier.h"

/*
** Returns the body of an error response, a new reference. 'ran' says whether
** the request has run. 'retry_s' is the number of seconds after which to
** retry, left out when it is 0. 'detail' and 'id' (the request's id) are left
** out when they are NULL.
*/
json_t *caller_error_body(mp_Error e, mp_Ran ran, int retry_s,
                          const char *detail, const char *id);

/* Adds the header field 'k' to the response. Both texts are copied. */
void caller_set_header(evhtp_request_t *r, const char *k, const char *v);

/* Sends a whole response with a JSON body. Takes over the reference 'j'. */
void caller_send_json(evhtp_request_t *r, int status, json_t *j);

/*
** Sends a whole error response, with the HTTP status of 'e' and, when
** 'retry_s' is above 0, the header Retry-After. The arguments are those of
** caller_error_body().
*/
void caller_send_error(evhtp_request_t *r, mp_Error e, mp_Ran ran, int retry_s,
                       const char *detail, const char *id);

/*
** Writes an error response directly to the socket. It is for requests that
** libevhtp rejects by closing the connection without sending what is queued.
** The response is cut off or lost when the socket buffer is full.
*/
void caller_send_before_close(evhtp_connection_t *c, mp_Error e,
                              const char *detail);

#endif
