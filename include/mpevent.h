/*
** mpevent.h
** Events: what the host tells the core
**
** The host fills an mp_Event and passes it to mp_feed, which copies what it
** needs: texts and rows stay the host's and need to be valid only during the
** call. The one exception are the 'head' pointers, which the core passes back
** in an effect and never reads.
*/

#ifndef MPEVENT_H
#define MPEVENT_H

#include "mpconfiguration.h"
#include "mpmessage.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
** {==================================================================
** Events
** ===================================================================
*/

typedef enum mp_EventKind {
  MP_EV_TICK,     /* time has passed; see mp_next_tick */
  MP_EV_CALL,     /* a caller's request was received completely */
  MP_EV_HANGUP,   /* a caller closed its connection: 'u.hangup' is its call */
  MP_EV_MSG,      /* a message from another instance was received */
  MP_EV_ENDPOINT, /* a call to an endpoint made progress or ended */
  MP_EV_STORE,    /* a call to the platform ended */
  MP_EV_DRAIN     /* planned stop: finish all work; MP_FX_DRAINED follows */
} mp_EventKind;

/* a caller's request; the host keeps its body under the same number */
typedef struct mp_Call {
  uint64_t call;          /* the host's number, unique among open calls */
  const char *bearer;     /* key from the Authorization header, or NULL */
  const char *class_name; /* X-Request-Class, or NULL */
  const char *path;       /* of the URI */
  const char *model;      /* NULL: a call for a plain service */
  const char *key;        /* Idempotency-Key, or NULL */
  uint32_t prompt_tokens;
  uint32_t max_tokens; /* of the answer */
  uint64_t prefix;     /* hash of the prompt's beginning */
} mp_Call;

/* HEAD and CHUNK may come before DONE or FAIL, which is the last of a call */
typedef enum mp_EndpointEventKind {
  MP_EP_HEAD,  /* the endpoint accepted the call */
  MP_EP_CHUNK, /* a chunk of the answer */
  MP_EP_DONE,  /* the call succeeded */
  MP_EP_FAIL   /* the call failed */
} mp_EndpointEventKind;

/* why a call to an endpoint failed */
typedef enum mp_EndpointFailure {
  MP_EPF_CONNECT,  /* no connection: certainly not run */
  MP_EPF_REFUSED,  /* refused before it ran: full, leaving, unknown KV */
  MP_EPF_REJECTED, /* the request itself is invalid */
  MP_EPF_BROKEN    /* connection lost or malformed answer: outcome unknown */
} mp_EndpointFailure;

/* one attempt for which an endpoint holds a slot or memory, as it reports */
typedef struct mp_HoldReport {
  mp_Token token;
  uint32_t attempt;
} mp_HoldReport;

/* the load of an endpoint, as it answers MP_X_LOAD */
typedef struct mp_LoadReport {
  mp_Role role;
  uint32_t slots;         /* decode slots */
  uint32_t used;          /* of them */
  uint32_t queued_tokens; /* prefill: prompt tokens of waiting work */
  uint32_t rate;  /* prefill: tokens per second; decode: us per token */
  uint64_t fence; /* highest fence of the role orders it obeyed */
  int leaving;    /* takes no new work */
  unsigned nhold;
  const mp_HoldReport *hold;
} mp_LoadReport;

/* progress of a call that MP_FX_ENDPOINT_CALL started; 'what' says which of
** the members are set */
typedef struct mp_EndpointEvent {
  uint64_t xcall; /* number of the call, from the effect */
  mp_EndpointEventKind what;
  mp_EndpointFailure fail; /* FAIL */
  int status;              /* HTTP status, for plain services */
  uint32_t index;          /* CHUNK: number of its first token, from 0 */
  uint32_t tokens;  /* CHUNK: tokens in it; DONE: tokens of the answer */
  const char *text; /* CHUNK: the text; DONE of a prefill: name of the KV */
  size_t len;       /* of 'text', in bytes */
  uint32_t life_ms; /* DONE of a prefill: how long the KV is kept */
  uint32_t cached;  /* DONE of a prefill: tokens found in the cache */
  const mp_LoadReport *load; /* DONE of MP_X_LOAD */
  void *head;                /* HEAD of a plain call: owned by the host */
} mp_EndpointEvent;

/* how a call to the platform ended */
typedef enum mp_StoreStatus {
  MP_STORE_OK,
  MP_STORE_ABSENT,   /* there is no such object */
  MP_STORE_CONFLICT, /* PUT: the object has not the expected version */
  MP_STORE_DOWN,     /* failed, certainly without effect */
  MP_STORE_UNKNOWN   /* failed, perhaps with effect */
} mp_StoreStatus;

/* the end of a call that MP_FX_STORE started */
typedef struct mp_StoreEvent {
  uint64_t op; /* number of the call, from the effect */
  mp_StoreStatus status;
  uint64_t version;  /* of the object, where one was read or written */
  const char *value; /* GET, WATCH: its content */
  size_t len;        /* of 'value', in bytes */
} mp_StoreEvent;

/* one event; 'kind' says which member of 'u' is set */
typedef struct mp_Event {
  mp_EventKind kind;
  union {
    mp_Call call;
    uint64_t hangup; /* mp_Call.call */
    struct {
      mp_Addr from; /* RPC address of the sender */
      const mp_Msg *msg;
    } msg;
    mp_EndpointEvent endpoint;
    mp_StoreEvent store;
  } u;
} mp_Event;

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
