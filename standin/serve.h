/*
** serve.h
** Helpers for the HTTP servers of the stand-ins
**
** A handler gets the request from evhttp and has to answer it once, at any
** later time, or cut its connection.
*/

#ifndef SERVE_H
#define SERVE_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "madderpier.h"

/*
** Returns a server that listens at an address and passes each request to 'cb'
** with 'arg'. Bodies are limited to 16 MiB. The caller frees it with
** evhttp_free; exits with 2 and a message when the address cannot be bound.
*/
struct evhttp *serve_new(struct event_base *base, mp_Addr at,
                         void (*cb)(struct evhttp_request *, void *),
                         void *arg);

/* Replies with the status and the JSON value, which it takes over. */
void serve_json(struct evhttp_request *r, int status, json_t *j);

/*
** Shuts the connection down without a reply. Safe in every callback, because
** evhttp frees the connection only later, when it sees its end.
*/
void serve_cut(struct evhttp_request *r);

/* Returns the body as JSON, which the caller owns; NULL: empty or invalid. */
json_t *serve_body(struct evhttp_request *r);

/* Returns a number from the query string; 'other' when it has none. */
int64_t serve_query_number(struct evhttp_request *r, const char *key,
                           int64_t other);

/* Returns the address at 'key' of an object; 0: missing or invalid. */
mp_Addr serve_address(const json_t *json, const char *key);

/*
** Returns the content of a file, '*n' bytes and a final NUL, which the caller
** frees with g_free. Exits with 2 and a message when it cannot be read.
*/
char *serve_read_file(const char *path, size_t *n);

#endif
