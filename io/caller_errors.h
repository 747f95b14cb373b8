/*
** caller_errors.h
** Errors as callers of the own interface see them
*/

#ifndef CALLER_ERRORS_H
#define CALLER_ERRORS_H

#include <evhtp/evhtp.h>
#include <jansson.h>

#include "madderpier.h"

/*
** The body of an error. 'detail' and 'id' (of the request) may be NULL;
** 'retry_s' is when to come back, in seconds, 0 for never.
*/
json_t *caller_error_body(mp_Error e, mp_Ran ran, int retry_s,
                          const char *detail, const char *id);

/* add a field to the answer */
void caller_set_header(evhtp_request_t *r, const char *k, const char *v);

/* end the answer with a JSON body; takes the reference of 'j' */
void caller_send_json(evhtp_request_t *r, int status, json_t *j);

/* end the answer with an error, and say when to come back */
void caller_send_error(evhtp_request_t *r, mp_Error e, mp_Ran ran, int retry_s,
                       const char *detail, const char *id);

/* straight to the socket: libevhtp is about to close it */
void caller_send_before_close(evhtp_connection_t *c, mp_Error e,
                              const char *detail);

#endif
