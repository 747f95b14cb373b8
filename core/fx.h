/*
** fx.h
** How controllers ask for effects, and get the answers
** Every function here queues an effect; none acts at once. Answers come
** back through the function given with the call, exactly once, unless the
** call is dropped first.
*/

#ifndef FX_H
#define FX_H

#include "state.h"

/* 'm' is the reply, or NULL when none came in time */
typedef void (*RpcCallback)(mp_State *state, void *ud, mp_Addr from,
                            const mp_Msg *m);
typedef void (*EndpointCallback)(mp_State *state, void *ud,
                                 const mp_EndpointEvent *e);
typedef void (*StoreCallback)(mp_State *state, void *ud,
                              const mp_StoreEvent *e);

/*
** Call another instance (or this one): sent again with growing waits
** until an answer comes or 'patience' has passed. Returns the number by
** which effect_rpc_cancel forgets it.
*/
uint32_t effect_rpc_call(mp_State *state, mp_Addr to, const mp_Msg *m,
                         mp_Time patience, RpcCallback fn, void *ud);
void effect_rpc_cancel(mp_State *state, uint32_t seq);

/* one message without an answer */
void effect_send(mp_State *state, mp_Addr to, const mp_Msg *m);

/* answer a call: 'm' has its kind, sequence number and body */
void effect_rpc_reply(mp_State *state, mp_Addr to, const mp_Msg *call,
                      mp_Msg *m);

/* call an endpoint; 'x->xcall' is filled in. Returns the call's number */
uint64_t effect_endpoint_call(mp_State *state, mp_Xcall *x,
                              EndpointCallback fn, void *ud);
/* forget the call and have its connection closed */
void effect_endpoint_abort(mp_State *state, uint64_t xcall);

/* call the platform; given up as MP_STORE_UNKNOWN after 'patience' */
uint64_t effect_store_call(mp_State *state, mp_StoreOp what, const char *key,
                           uint64_t version, const char *value, size_t len,
                           mp_Time patience, StoreCallback fn, void *ud);

/* a part of an answer; the text is copied */
void effect_caller_reply(mp_State *state, const mp_Reply *r);

/* a numbered event with " key=value" fields */
void effect_log(mp_State *state, mp_EventNo no, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

void effect_drained(mp_State *state);

/* deliver what came in; the last two return 0 for an unknown call */
void effect_on_rpc_reply(mp_State *state, mp_Addr from, const mp_Msg *m);
int effect_on_endpoint_event(mp_State *state, const mp_EndpointEvent *e);
int effect_on_store_event(mp_State *state, const mp_StoreEvent *e);

/* take the next message that this instance sent to itself */
int effect_take_loopback(mp_State *state, mp_Msg *m);

void effect_init(mp_State *state);
void effect_free(mp_State *state);

#endif
