/*
** http.h
** One HTTP call as a client, over evhttp
** Each call has a connection of its own: whether a failed call may have
** run is then known from whether that connection ever stood.
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
  HTTP_END_OK,      /* a whole reply came */
  HTTP_END_CONNECT, /* no connection: nothing was sent */
  HTTP_END_BROKEN   /* the connection was lost, or the reply is nonsense */
} HttpEnd;

/* callbacks; 'head' and 'data' may be NULL */
typedef struct HttpHooks {
  void (*head)(void *ud, int status, struct evkeyvalq *headers);
  void (*data)(void *ud, const char *s, size_t n);
  void (*end)(void *ud, HttpEnd end, int status);
} HttpHooks;

typedef struct HttpHeader {
  const char *name;
  const char *value;
} HttpHeader;

/*
** Begin a call. 'headers' ends with a row whose name is NULL (or is NULL).
** 'end' is called once, never from within this function; after it the
** call is freed. NULL when the call cannot be made.
*/
HttpCall *http_call(struct event_base *base, mp_Addr to,
                    enum evhttp_cmd_type method, const char *uri,
                    const HttpHeader *headers, const char *body, size_t n,
                    const HttpHooks *hooks, void *ud);

/* close the connection; no callback comes any more */
void http_abort(HttpCall *c);

#endif
