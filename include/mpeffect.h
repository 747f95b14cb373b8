/*
** mpeffect.h
** Effects: what the core wants the host to do
**
** The host takes effects from mp_next_effect and performs them in that order.
** It reports the result of a call to an endpoint or to the platform by an
** event with the same number. Pointers in an effect belong to the core and are
** valid until the next mp_next_effect or mp_feed on the same state.
*/

#ifndef MPEFFECT_H
#define MPEFFECT_H

#include "mpevent.h"
#include "mplog.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
** {==================================================================
** Effects
** ===================================================================
*/

typedef enum mp_EffectKind {
  MP_FX_NONE,
  MP_FX_SEND,           /* send a message to another instance */
  MP_FX_ENDPOINT_CALL,  /* start a call to an endpoint */
  MP_FX_ENDPOINT_ABORT, /* close the connection of call 'u.xabort'; events
                        ** of it that still come are ignored */
  MP_FX_REPLY,          /* send a part of the answer to a caller */
  MP_FX_STORE,          /* start a call to the platform */
  MP_FX_LOG,            /* write a numbered event to the log */
  MP_FX_DRAINED         /* no work is left: the process may exit */
} mp_EffectKind;

/* what an endpoint is asked to do */
typedef enum mp_EndpointOp {
  MP_X_PREFILL,
  MP_X_IMPORT, /* fetch a KV result from another engine */
  MP_X_DECODE,
  MP_X_RESUME, /* continue a stream from a token */
  MP_X_PLAIN,  /* forward the call to a plain service */
  MP_X_CANCEL, /* end an attempt and free all it holds */
  MP_X_LOAD,   /* report the load (mp_LoadReport) */
  MP_X_ORDER   /* change the role */
} mp_EndpointOp;

/* a call to an endpoint; MP_EV_ENDPOINT events with its number follow */
typedef struct mp_EndpointCall {
  uint64_t xcall; /* the core's number of the call, never 0 */
  mp_EndpointOp op;
  mp_Addr endpoint;
  mp_Token token;      /* the request that the endpoint works for */
  uint32_t attempt;    /* number of the attempt within the request */
  uint64_t call;       /* caller's call whose body to send; 0: no body */
  const char *kv;      /* IMPORT, DECODE: name of the KV result */
  mp_Addr kv_from;     /* IMPORT: the engine that holds it */
  uint32_t from_token; /* DECODE, RESUME: tokens that the caller has */
  const char *partial; /* DECODE after a broken stream: the text so far */
  uint32_t max_tokens;
  uint32_t priority; /* a smaller number has priority */
  mp_Role role;      /* ORDER: the new role */
  uint64_t fence;    /* ORDER: refused if the engine obeyed a higher one */
  uint32_t valid_ms; /* ORDER: the engine ignores it after this time */
} mp_EndpointCall;

/* parts of an answer: HEAD, any number of CHUNKs and END, or ERROR; ERROR may
** also end an answer after its HEAD */
typedef enum mp_ReplyKind {
  MP_REPLY_HEAD,
  MP_REPLY_CHUNK,
  MP_REPLY_END,
  MP_REPLY_ERROR
} mp_ReplyKind;

/* a part of the answer to a caller; 'what' says which members are set */
typedef struct mp_Reply {
  uint64_t call; /* mp_Call.call */
  mp_ReplyKind what;
  int status;              /* HEAD: HTTP status */
  void *head;              /* HEAD of a plain call: mp_EndpointEvent.head */
  const char *text;        /* CHUNK: its text */
  size_t len;              /* of 'text', in bytes */
  uint32_t tokens;         /* END: tokens of the whole answer */
  mp_Error error;          /* ERROR */
  mp_Ran ran;              /* ERROR: whether the request was run; with
                           ** MP_ERR_DUPLICATE, the earlier one */
  int retry_s;             /* ERROR: Retry-After in seconds; 0: none */
  char id[64];             /* the request ID that logs and engines show */
  mp_Addr prefill, decode; /* END: the endpoints that served it, or 0 */
} mp_Reply;

/* read an object, write it conditionally, or wait for it to change */
typedef enum mp_StoreOp { MP_ST_GET, MP_ST_PUT, MP_ST_WATCH } mp_StoreOp;

/*
** A call to the platform. The host answers by one MP_EV_STORE with its number;
** the core ignores one that comes after its own timeout for the call.
*/
typedef struct mp_StoreCall {
  uint64_t op; /* the core's number of the call */
  mp_StoreOp what;
  const char *key;   /* name of the object */
  uint64_t version;  /* PUT: expected version, 0 creates; WATCH: known one */
  const char *value; /* PUT: new content */
  size_t len;        /* of 'value', in bytes */
} mp_StoreCall;

/* a line for the log */
typedef struct mp_Log {
  mp_EventNo no;
  mp_Level level;
  const char *text;   /* the event's text from the catalogue (mplog.h) */
  const char *fields; /* " key=value ..." with a leading space, or "" */
} mp_Log;

/* one effect; 'kind' says which member of 'u' is set */
typedef struct mp_Effect {
  mp_EffectKind kind;
  union {
    struct {
      mp_Addr to; /* RPC address of the receiver */
      mp_Msg msg;
    } send;
    mp_EndpointCall xcall;
    uint64_t xabort;
    mp_Reply reply;
    mp_StoreCall store;
    mp_Log log;
  } u;
} mp_Effect;

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
