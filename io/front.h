/*
** front.h
** Callers' connections: HTTP/1.1 in, one answer to one request
**
** Carries heads and bodies; what they mean is the dialect's and the
** router's. One request at a time is taken from a connection, whole,
** before it is handed on. Invariant: bytes of an answer go only to the
** connection whose request they answer, and a connection whose answer was
** broken off is closed.
*/

#ifndef FRONT_H
#define FRONT_H

#include <event2/event.h>

#include "dialect/dialect.h"

typedef struct Front Front;

typedef struct FrontHooks {
  void *data;
  /* a whole request; head and body live until its answer has ended */
  void (*request)(void *data, guint64 number, const HttpHead *head);
  /* the caller is gone before its answer ended; the number is void */
  void (*hangup)(void *data, guint64 number);
  /* malformed input was answered with this status */
  void (*bad_input)(void *data, int status, const char *detail);
} FrontHooks;

/* NULL and an error when the address cannot be bound */
Front *front_new(struct event_base *base, mp_Addr address,
                 const Dialect *dialect, const FrontHooks *hooks,
                 GError **error);
void front_free(Front *front);

void front_set_limits(Front *front, const CallerLimits *limits);

/* the request of this number, or NULL when the caller is gone */
const HttpHead *front_request_head(const Front *front, guint64 number);
const GByteArray *front_request_body(const Front *front, guint64 number);

/* a whole answer; ends the request */
void front_send_response(Front *front, guint64 number, const HttpHead *head,
                         const char *body, gsize size);
/* an answer in pieces */
void front_begin_response(Front *front, guint64 number, const HttpHead *head);
void front_send_piece(Front *front, guint64 number, const char *bytes,
                      gsize size);
void front_end_response(Front *front, guint64 number);
/* end an answer so that it cannot look whole */
void front_abort_response(Front *front, guint64 number);

/* from now on say with each answer that the connection closes */
void front_drain(Front *front);
/* close connections on which no request is open */
void front_close_idle(Front *front);
unsigned front_open_requests(const Front *front);

#endif
