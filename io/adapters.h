/*
** adapters.h
** The adapters of a node: one for each side it talks to
** Each performs the effects of its side and feeds what comes back. None
** calls another, but that endpoints reads the bodies callers keep.
*/

#ifndef ADAPTERS_H
#define ADAPTERS_H

#include <event2/buffer.h>
#include <jansson.h>

#include "io/node.h"

/*
** {==================================================================
** Callers (callers.c): HTTP in, by libevhtp
** ===================================================================
*/

/* a caller's request as its endpoint shall get it */
typedef struct CallBody {
  const char *method; /* plain services */
  const char *uri;    /* path and query */
  struct evbuffer *raw;
  json_t *json; /* engine calls */
  const char *content_type;
} CallBody;

Callers *callers_new(Node *node, const NodeOptions *o, GError **err);
void callers_free(Callers *C);
void callers_reply(Callers *C, const mp_Reply *r);
/* NULL when the caller is gone */
const CallBody *callers_body(Callers *C, uint64_t call);
/* callers that are connected with a request under way */
unsigned callers_count(const Callers *C);

/* }================================================================== */

/*
** {==================================================================
** Endpoints (endpoints.c): engines and plain services, by evhttp
** ===================================================================
*/

Endpoints *endpoints_new(Node *node);
void endpoints_free(Endpoints *E);
void endpoints_call(Endpoints *E, const mp_EndpointCall *x);
void endpoints_abort(Endpoints *E, uint64_t xcall);

/* }================================================================== */

/*
** {==================================================================
** Peers (peers.c): other instances, ONC RPC over UDP
** ===================================================================
*/

Peers *peers_new(Node *node, mp_Addr rpc, GError **err);
void peers_free(Peers *P);
void peers_send(Peers *P, mp_Addr to, const mp_Msg *m);

/* }================================================================== */

/*
** {==================================================================
** Platform (platform.c): the object API, by evhttp
** ===================================================================
*/

Platform *platform_new(Node *node, mp_Addr at);
void platform_free(Platform *P);
void platform_call(Platform *P, const mp_StoreCall *s);

/* }================================================================== */

/*
** {==================================================================
** Operators (ops.c): live, ready, counters, status, drain
** ===================================================================
*/

Ops *ops_new(Node *node, mp_Addr at, GError **err);
void ops_free(Ops *O);

/* }================================================================== */

#endif
