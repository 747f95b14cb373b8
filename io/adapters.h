/*
** adapters.h
** The adapters of a node (node.h): one for each kind of program with which it
** exchanges messages
**
** An effect is an action that the core requests, for example a message to send
** (include/mpeffect.h). An adapter performs the effects that concern its
** counterparts, and hands what it receives from them to the core as events, by
** node_feed(). No adapter calls another, with one exception: the endpoints
** adapter reads the request bodies that the callers adapter keeps. Only node.c
** calls these functions, except for callers_body().
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

/*
** A caller's request in the form in which it goes to an endpoint. The callers
** adapter owns it and all that it points to.
*/
typedef struct CallBody {
  const char *method;
  const char *uri;          /* path and query */
  struct evbuffer *raw;     /* for plain services: the body as received */
  json_t *json;             /* for engines: the parsed body */
  const char *content_type; /* for plain services: as the caller sent it;
                            ** NULL: it sent none */
} CallBody;

/*
** Listens for callers on o->callers. Returns NULL and sets 'err' when the
** address cannot be bound.
*/
Callers *callers_new(Node *node, const NodeOptions *o, GError **err);
void callers_free(Callers *C);
/* Performs the effect MP_FX_REPLY: sends a response, or a part of one. */
void callers_reply(Callers *C, const mp_Reply *r);
/*
** The caller's request to which the core refers by the number 'call', valid
** until libevhtp frees that request; NULL when the caller has disconnected.
*/
const CallBody *callers_body(Callers *C, uint64_t call);
/* The number of connected callers that have a request in progress. */
unsigned callers_count(const Callers *C);
/* A planned stop has begun: from now on, responses end their connections. */
void callers_drain(Callers *C);
/* Closes idle connections, and accepts no further ones once none waits to be
** accepted. It is called again and again until the stop has ended. */
void callers_stop_accepting(Callers *C);

/* What the end of the process would cut off. */
typedef struct CallersUnsent {
  unsigned open;    /* requests without a complete response, or that have
                    ** arrived and are yet to be read, and new connections
                    ** whose first bytes may be under way. All connections
                    ** that wait to be accepted count as one. */
  unsigned sending; /* connections with a complete response that the caller
                    ** has not acknowledged, or of which input is discarded so
                    ** that it does not cut off a response */
  size_t bytes;     /* of any response, in this process */
  unsigned cut;     /* since callers_drain: responses that were cut off because
                    ** their callers did not read on */
} CallersUnsent;

void callers_unsent(const Callers *C, CallersUnsent *unsent);

/* }================================================================== */

/*
** {==================================================================
** Endpoints (endpoints.c): engines, which run models, and plain services, by
** evhttp
** ===================================================================
*/

Endpoints *endpoints_new(Node *node);
/* Aborts all calls to endpoints without feeding events for them. */
void endpoints_free(Endpoints *E);
/*
** Performs the effect MP_FX_ENDPOINT_CALL: begins the call '*x' to an
** endpoint. What
** comes back is fed as events from the event loop, never from within this
** function.
*/
void endpoints_call(Endpoints *E, const mp_EndpointCall *x);
/*
** Performs the effect MP_FX_ENDPOINT_ABORT: aborts the call with the number
** 'xcall' (mp_EndpointCall.xcall). No further event is fed for it.
*/
void endpoints_abort(Endpoints *E, uint64_t xcall);

/* }================================================================== */

/*
** {==================================================================
** Peers (peers.c): other instances, ONC RPC over UDP
** ===================================================================
*/

/*
** Receives from other instances on the UDP address 'rpc'. Returns NULL and
** sets 'err' when the address cannot be bound.
*/
Peers *peers_new(Node *node, mp_Addr rpc, GError **err);
void peers_free(Peers *P);
/*
** Performs the effect MP_FX_SEND: sends a message in one datagram, which may
** be lost without notice.
*/
void peers_send(Peers *P, mp_Addr to, const mp_Msg *m);

/* }================================================================== */

/*
** {==================================================================
** Platform (platform.c): its object API, which stores values under keys, by
** evhttp
** ===================================================================
*/

/* 'at' is the address of the platform's object API. */
Platform *platform_new(Node *node, mp_Addr at);
/* Aborts all calls to the platform without feeding events for them. */
void platform_free(Platform *P);
/*
** Performs the effect MP_FX_STORE: begins a call to the platform. Exactly one
** event MP_EV_STORE with its outcome is fed from the event loop.
*/
void platform_call(Platform *P, const mp_StoreCall *s);

/* }================================================================== */

/*
** {==================================================================
** Operators (ops.c): liveness, readiness, metrics, status, drain, by evhttp
** ===================================================================
*/

/*
** Listens for operators on the address 'at'. Returns NULL and sets 'err' when
** the address cannot be bound.
*/
Ops *ops_new(Node *node, mp_Addr at, GError **err);
void ops_free(Ops *O);
/* The number of connections with replies that operators have not acknowledged.
 */
unsigned ops_sending(const Ops *O);

/* }================================================================== */

#endif
