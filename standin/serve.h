/*
** serve.h
** Small helpers for the HTTP servers of the stand-ins
*/

#ifndef SERVE_H
#define SERVE_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "madderpier.h"

/* a server on an address; exits with a message when it can't be bound */
struct evhttp *serve_new(struct event_base *base, mp_Addr at,
                         void (*cb)(struct evhttp_request *, void *),
                         void *arg);

void serve_json(struct evhttp_request *r, int status, json_t *j);

/* cut the connection, without a reply; safe from any callback */
void serve_cut(struct evhttp_request *r);

/* the body as JSON, or NULL */
json_t *serve_body(struct evhttp_request *r);

/* a number from the query, or 'other' */
int64_t serve_query_number(struct evhttp_request *r, const char *key,
                           int64_t other);

/* an address in a settings object, or 0 */
mp_Addr serve_address(const json_t *json, const char *key);

/* read a whole file; exits with a message when it can't be read */
char *serve_read_file(const char *path, size_t *n);

#endif
