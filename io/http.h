/*
** http.h
** One HTTP call as a client, over evhttp
**
** Each call has a connection of its own. If that connection was never
** established, a failed call was certainly not executed; otherwise it may have
** been. Used by platform.c, endpoints.c, the command line client, tests and
** benchmarks.
*/

#ifndef HTTP_H
#define HTTP_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "madderpier.h"

typedef struct HttpCall HttpCall;

typedef enum HttpEnd {
  HTTP_END_OK,      /* a complete response was received */
  HTTP_END_CONNECT, /* no connection was established; nothing was sent */
  HTTP_END_BROKEN   /* the connection was lost, or the response is invalid */
} HttpEnd;

/* Callbacks; 'head' and 'data' may be NULL. */
typedef struct HttpHooks {
  /* The header of the response was received. */
  void (*head)(void *ud, int status, struct evkeyvalq *headers);
  /* A part of the body was received; 's' is valid during the callback. */
  void (*data)(void *ud, const char *s, size_t n);
  /* The call has ended. 'status' is 0 when no response was received. */
  void (*end)(void *ud, HttpEnd end, int status);
} HttpHooks;

typedef struct HttpHeader {
  const char *name;
  const char *value;
} HttpHeader;

/*
** Begins a call to the address 'to', with a body of 'n' bytes that is copied.
** 'headers' ends with an element whose name is NULL; NULL: no headers.
** 'hooks' has to outlive the call, and 'ud' is passed to its callbacks.
** 'end' is called once, never from within this function, and the call is
** freed after it. Returns NULL, without calling 'end', when the call cannot
** be made.
*/
HttpCall *http_call(struct event_base *base, mp_Addr to,
                    enum evhttp_cmd_type method, const char *uri,
                    const HttpHeader *headers, const char *body, size_t n,
                    const HttpHooks *hooks, void *ud);

/* Closes the connection and frees the call; no callback follows. */
void http_abort(HttpCall *c);

#endif
