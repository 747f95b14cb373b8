/*
** mpevent.h
** What the host tells the core
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
** Events: what the host tells the core
** ===================================================================
*/

typedef enum mp_EventKind {
  MP_EV_TICK,     /* time has passed */
  MP_EV_CALL,     /* a caller's request is there, whole */
  MP_EV_HANGUP,   /* a caller is gone */
  MP_EV_MSG,      /* a message from another instance */
  MP_EV_ENDPOINT, /* something came back from an endpoint */
  MP_EV_STORE,    /* a call to the platform ended */
  MP_EV_DRAIN     /* planned stop: finish, hand over, then exit */
} mp_EventKind;

/* a caller's request; the host keeps the body under the same number */
typedef struct mp_Call {
  uint64_t call;
  const char *bearer;     /* key from the Authorization header, or NULL */
  const char *class_name; /* X-Request-Class, or NULL */
  const char *path;
  const char *model; /* NULL: a call for a plain service */
  const char *key;   /* Idempotency-Key, or NULL */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  uint64_t prefix; /* hash of the prompt's beginning */
} mp_Call;

typedef enum mp_EndpointEventKind {
  MP_EP_HEAD,  /* the endpoint accepted the call */
  MP_EP_CHUNK, /* a piece of the answer */
  MP_EP_DONE,  /* the call ended well */
  MP_EP_FAIL   /* the call ended badly */
} mp_EndpointEventKind;

/* why a call to an endpoint failed */
typedef enum mp_EndpointFailure {
  MP_EPF_CONNECT,  /* no connection: certainly not run */
  MP_EPF_REFUSED,  /* refused before it ran: full, leaving, unknown KV */
  MP_EPF_REJECTED, /* the request itself is at fault */
  MP_EPF_BROKEN    /* connection lost or nonsense: outcome unknown */
} mp_EndpointFailure;

/* one hold that an endpoint reports with its load */
typedef struct mp_HoldReport {
  mp_Token token;
  uint32_t attempt;
} mp_HoldReport;

typedef struct mp_LoadReport {
  mp_Role role;
  uint32_t slots;
  uint32_t used;
  uint32_t queued_tokens;
  uint32_t rate;  /* prefill: tokens a second; decode: us per token */
  uint64_t fence; /* last fence it obeyed */
  int leaving;
  unsigned nhold;
  const mp_HoldReport *hold;
} mp_LoadReport;

typedef struct mp_EndpointEvent {
  uint64_t xcall; /* the core's number of the call */
  mp_EndpointEventKind what;
  mp_EndpointFailure fail;
  int status;       /* HTTP status, for plain services */
  uint32_t index;   /* PIECE: number of its first token, from 0 */
  uint32_t tokens;  /* PIECE: tokens in it; DONE: tokens in all */
  const char *text; /* PIECE: text; DONE of a prefill: the KV's name */
  size_t len;
  uint32_t life_ms;          /* DONE of a prefill: how long the KV lives */
  uint32_t cached;           /* DONE of a prefill: tokens found in the cache */
  const mp_LoadReport *load; /* DONE of a load call */
  void *head;                /* HEAD of a plain call: the host's own */
} mp_EndpointEvent;

typedef enum mp_StoreStatus {
  MP_STORE_OK,
  MP_STORE_ABSENT,
  MP_STORE_CONFLICT, /* the version was not the one expected */
  MP_STORE_DOWN,     /* certainly without effect */
  MP_STORE_UNKNOWN   /* perhaps with effect */
} mp_StoreStatus;

typedef struct mp_StoreEvent {
  uint64_t op;
  mp_StoreStatus status;
  uint64_t version;
  const char *value;
  size_t len;
} mp_StoreEvent;

typedef struct mp_Event {
  mp_EventKind kind;
  union {
    mp_Call call;
    uint64_t hangup;
    struct {
      mp_Addr from;
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
