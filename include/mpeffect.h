/*
** mpeffect.h
** What the core wants done
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
** Effects: what the core wants done
** ===================================================================
*/

typedef enum mp_EffectKind {
  MP_FX_NONE,
  MP_FX_SEND,           /* a message to another instance */
  MP_FX_ENDPOINT_CALL,  /* a call to an endpoint */
  MP_FX_ENDPOINT_ABORT, /* forget a call: close its connection */
  MP_FX_REPLY,          /* a part of the answer to a caller */
  MP_FX_STORE,          /* a call to the platform */
  MP_FX_LOG,            /* a numbered event */
  MP_FX_DRAINED         /* nothing is left here: the process may exit */
} mp_EffectKind;

typedef enum mp_EndpointOp {
  MP_X_PREFILL,
  MP_X_IMPORT, /* pull a KV result from another engine */
  MP_X_DECODE,
  MP_X_RESUME, /* go on with a stream from a token */
  MP_X_PLAIN,
  MP_X_CANCEL, /* end an attempt and free all it holds */
  MP_X_LOAD,
  MP_X_ORDER
} mp_EndpointOp;

typedef struct mp_EndpointCall {
  uint64_t xcall;
  mp_EndpointOp op;
  mp_Addr endpoint;
  mp_Token token;
  uint32_t attempt;
  uint64_t call;       /* whose body to send; 0 for control calls */
  const char *kv;      /* IMPORT, DECODE: the KV's name */
  mp_Addr kv_from;     /* IMPORT: the engine that holds it */
  uint32_t from_token; /* DECODE, RESUME: tokens the caller has */
  const char *partial; /* DECODE after a break: the text so far */
  uint32_t max_tokens;
  uint32_t priority; /* smaller goes first */
  mp_Role role;      /* ORDER */
  uint64_t fence;    /* ORDER */
  uint32_t valid_ms; /* ORDER */
} mp_EndpointCall;

typedef enum mp_ReplyKind {
  MP_REPLY_HEAD,
  MP_REPLY_CHUNK,
  MP_REPLY_END,
  MP_REPLY_ERROR
} mp_ReplyKind;

typedef struct mp_Reply {
  uint64_t call;
  mp_ReplyKind what;
  int status; /* HEAD */
  void *head; /* HEAD of a plain call, as it came in */
  const char *text;
  size_t len;
  uint32_t tokens; /* END: tokens of the whole answer */
  mp_Error error;
  mp_Ran ran;
  int retry_s;
  char id[64];             /* the request ID that logs and engines show */
  mp_Addr prefill, decode; /* END: where it ran */
} mp_Reply;

typedef enum mp_StoreOp { MP_ST_GET, MP_ST_PUT, MP_ST_WATCH } mp_StoreOp;

typedef struct mp_StoreCall {
  uint64_t op;
  mp_StoreOp what;
  const char *key;
  uint64_t version; /* PUT: expected, 0 creates; WATCH: the one known */
  const char *value;
  size_t len;
} mp_StoreCall;

typedef struct mp_Log {
  mp_EventNo no;
  mp_Level level;
  const char *text;   /* the event's fixed text */
  const char *fields; /* " key=value ..." */
} mp_Log;

typedef struct mp_Effect {
  mp_EffectKind kind;
  union {
    struct {
      mp_Addr to;
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
