/*
** fx.h
** How controllers request effects from the host, and get the answers
**
** An effect is something that only the host (the program that embeds the core)
** can do: send a message, call an endpoint or the platform, answer a caller,
** write a log line. The functions here queue effects, which mp_next_effect
** hands to
** the host in order; none acts at once. The answer to a call comes through the
** callback given with it, exactly once (for a call to an endpoint: once for
** each event up to the last), unless the call is cancelled before that. 'ud'
** is passed to the callback as it is and stays the caller's.
*/

#ifndef FX_H
#define FX_H

#include "state.h"

/* 'm' is the reply of 'from', or NULL when it did not come in time */
typedef void (*RpcCallback)(mp_State *state, void *ud, mp_Addr from,
                            const mp_Msg *m);
/* called for every event of the call; MP_EP_DONE or MP_EP_FAIL is the last */
typedef void (*EndpointCallback)(mp_State *state, void *ud,
                                 const mp_EndpointEvent *e);
typedef void (*StoreCallback)(mp_State *state, void *ud,
                              const mp_StoreEvent *e);

/*
** Call another instance, or this one. The message is sent again, first
** after MP_RPC_RETRY_DELAY and each time after twice the wait before, until a
** reply
** comes or 'patience' (us) has passed. Returns the call's sequence number,
** never 0, for effect_rpc_cancel.
*/
uint32_t effect_rpc_call(mp_State *state, mp_Addr to, const mp_Msg *m,
                         mp_Time patience, RpcCallback fn, void *ud);
/* forget the call: its callback is not called; an unknown one is ignored */
void effect_rpc_cancel(mp_State *state, uint32_t seq);

/* send one message that gets no answer; '*m' is copied */
void effect_send(mp_State *state, mp_Addr to, const mp_Msg *m);

/* answer the call '*call' with the body in '*m', whose head is filled in */
void effect_rpc_reply(mp_State *state, mp_Addr to, const mp_Msg *call,
                      mp_Msg *m);

/*
** Call an endpoint. Fills in x->xcall and returns it: the number of the
** call, never 0. There is no timeout: the caller arms one itself. Texts in
** '*x' are copied.
*/
uint64_t effect_endpoint_call(mp_State *state, mp_EndpointCall *x,
                              EndpointCallback fn, void *ud);
/* forget the call and have its connection closed; an unknown is ignored */
void effect_endpoint_abort(mp_State *state, uint64_t xcall);

/*
** Call the platform. After 'patience' (us) without an answer a PUT ends as
** MP_STORE_UNKNOWN and a read as MP_STORE_DOWN. 'key' and 'value' are copied.
** Returns the number of the call.
*/
uint64_t effect_store_call(mp_State *state, mp_StoreOp what, const char *key,
                           uint64_t version, const char *value, size_t len,
                           mp_Time patience, StoreCallback fn, void *ud);

/* a part of the answer to a caller; the text is copied */
void effect_caller_reply(mp_State *state, const mp_Reply *r);

/* log a numbered event; 'fmt' makes its fields, " key=value" each */
void effect_log(mp_State *state, mp_EventNo no, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* tell the host that this instance is drained and the process may exit */
void effect_drained(mp_State *state);

/*
** Deliver what came in to the callback of its call. A reply counts only when
** the instance that was called sends it and its kind is the call's; others
** are ignored. The last two return 0 when no such call is open.
*/
void effect_on_rpc_reply(mp_State *state, mp_Addr from, const mp_Msg *m);
int effect_on_endpoint_event(mp_State *state, const mp_EndpointEvent *e);
int effect_on_store_event(mp_State *state, const mp_StoreEvent *e);

/* take the next message of this instance to itself; 0 when there is none */
int effect_take_loopback(mp_State *state, mp_Msg *m);

void effect_init(mp_State *state);
/* frees open calls and queued effects; no callback is called */
void effect_free(mp_State *state);

#endif
