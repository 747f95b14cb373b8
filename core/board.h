/*
** board.h
** The row types of the tables that the controllers share
**
** A controller is a file of core/ that decides about one subject (members,
** reservations, claims). Controllers don't call each other for a decision:
** each writes its own tables and reads those of the others. Every section
** below names the only writer of its table. The tables themselves are
** members of mp_State (state.h).
**
** Times of type mp_Time are microseconds of the host's monotonic clock, as
** handed to mp_feed. A row that others refer to by pointer is freed by the
** writer of its table, after the writer has dropped every reference.
*/

#ifndef BOARD_H
#define BOARD_H

#include "madderpier.h"
#include "timer.h"

/*
** {==================================================================
** Instances (writer: member.c)
** ===================================================================
*/

/* another instance of this service, as this instance sees it */
typedef struct Member {
  mp_Addr addr;         /* its RPC address */
  uint32_t start;       /* its start number: grows with every restart */
  uint32_t incarnation; /* grows when it refutes a suspicion, leaves or was
                        ** paused */
  uint32_t dc;          /* hash of its data centre's name */
  mp_MemberState state;
  mp_Time state_since;
  mp_Time last_heard;    /* last probe or reply directly from it; 0: none */
  unsigned gossip_count; /* probes that carried its state since the change */
  int is_listed;         /* the platform's instance list names it */
  int is_remote;         /* belongs to another data centre */
  mp_Time avoid_until;   /* it left a call unanswered: no reservation is asked
                         ** of it before this time; 0: none */
  uint64_t doc[MP_DOC_COUNT]; /* document versions in force there */
} Member;

/* }================================================================== */

/*
** {==================================================================
** Endpoints (writer of the rows: fleet.c; of their loads: keep.c, from load
** calls, keep_loads.c, from gossip, and holder.c, from keepers' replies)
** ===================================================================
*/

/* an engine, or an endpoint of a plain service */
typedef struct Endpoint {
  mp_Addr addr;
  char name[MP_NAME_MAX + 1];
  char dc[MP_NAME_MAX + 1];
  char service[MP_NAME_MAX + 1];
  uint32_t dc_hash;
  mp_Role role;
  int leaving; /* by the instance list, or by its own load report */
  int drained; /* the configuration drains it or its data centre */
  int down;    /* its keeper's last load call failed or timed out */
  /* the load: observed here when this instance is the endpoint's keeper
  ** (keep.h), else learned from gossip or from a keeper's reply */
  uint32_t stamp;           /* version of the load; 0: none is known yet */
  mp_Time load_received_at; /* when the load was last observed or learned */
  uint32_t slots;           /* decode: concurrent streams that it takes */
  uint32_t used;    /* decode: slots reserved or in use; prefill: long prompts
                    ** granted or waiting */
  uint32_t running; /* decode: streams that the engine itself reports */
  uint32_t wait;    /* ms until newly reserved work would start */
  uint32_t rate;    /* prefill: tokens a second; decode: us per token;
                    ** 0: unknown */
  unsigned gossip_count; /* probes that carried this load */
  unsigned own_attempts; /* attempts of this instance there now */
  /* work that this instance asked to reserve there since it last learned the
  ** load; prefill: tokens; decode: slots */
  uint32_t reserved_since_load;
  unsigned consecutive_failures;
  unsigned ejection_count; /* ejections since the last success */
  mp_Time ejected_until;   /* new work goes there from this time on; 0 or
                           ** past: not ejected */
} Endpoint;

/* }================================================================== */

/*
** {==================================================================
** Documents in force (writer: doc.c)
** ===================================================================
*/

/* the configuration's manifest, or the instance list */
typedef struct Document {
  uint64_t version; /* 0: none is in force */
  GBytes *text;     /* its serialized text, referenced here; NULL: none */
} Document;

/* }================================================================== */

/*
** {==================================================================
** Requests (writer: flow.c and the files that step.h names)
** ===================================================================
*/

/* where a request is on its way; logged by number in " step=" fields */
typedef enum Step {
  FLOW_STEP_CLAIM,           /* claiming the request ID */
  FLOW_STEP_RESERVE_DECODE,  /* reserving a decode slot */
  FLOW_STEP_RESERVE_PREFILL, /* reserving time at a prefill engine */
  FLOW_STEP_PREFILL,         /* the prefill engine computes the prompt */
  FLOW_STEP_TRANSFER,        /* the KV result moves to the decode engine */
  FLOW_STEP_DECODE,          /* the decode engine streams the answer */
  FLOW_STEP_PLAIN,           /* a plain service answers */
  FLOW_STEP_RETRY_WAIT       /* waiting before Request.next is entered */
} Step;

/* one attempt at an endpoint, with its reservation there */
typedef struct Attempt {
  uint32_t no; /* number within the request, from 1; 0: no attempt */
  mp_Addr endpoint;
  mp_Role role;
  uint32_t tokens;
  int granted;
  int waiting;        /* the keeper has put the reservation in its queue */
  int sent;           /* work went to the endpoint: ending it needs a cancel */
  uint64_t xcall;     /* number of the open call to the endpoint; 0: none */
  mp_Time granted_at; /* when it was granted */
} Attempt;

/* one request of a caller, from admission until its answer ends */
typedef struct Request {
  uint64_t call; /* the host's number of the call */
  mp_Token token;
  char class_name[MP_NAME_MAX + 1];
  char account[MP_NAME_MAX + 1];
  char model[MP_NAME_MAX + 1];
  char service[MP_NAME_MAX + 1];
  uint32_t prompt_tokens, max_tokens;
  uint64_t prefix; /* hash of the prompt's beginning; 0: unknown */
  mp_Time arrived, deadline;
  uint32_t first_ms; /* target: first token this many ms after arrival */
  uint32_t weight;   /* of its class: a larger one goes first */
  int repeatable;    /* the class allows work that may have run to be rerun */
  int plain;         /* served by a plain service: no prefill, no decode */
  int keyed;         /* the caller gave an idempotency key */
  int durable;       /* its claim is written to the platform */
  uint64_t id[2];    /* hash of account and idempotency key */
  int claimed;       /* the home granted the claim (claim.h) */
  Step step;
  Step next; /* entered when FLOW_STEP_RETRY_WAIT is over */
  mp_Ran ran;
  uint32_t attempts;      /* number of the newest attempt */
  unsigned tries;         /* failures since the last success */
  uint32_t wait_ms;       /* longest wait that a keeper estimated; 0: none */
  mp_Addr prefill_engine; /* the engine whose prefill was used */
  uint32_t keeper_rpc;    /* sequence number of the open call to a keeper; 0:
                           ** none */
  uint64_t open_claim; /* number of the open claim (claim_request); 0: none */
  mp_Ran ran_before_dispatch; /* 'ran' as before the newest dispatch */
  int resumed;                /* the decode stream was resumed once already */
  Attempt prefill, decode;
  char *kv;              /* name of the KV result, owned; NULL: none */
  mp_Addr kv_source;     /* the prefill engine that holds the KV result */
  mp_Time kv_expires_at; /* the engine frees the KV result then */
  int is_kv_used;        /* the decode engine produced a token from it */
  uint32_t kv_tokens;    /* prompt tokens computed for it, without cached */
  int head;              /* the answer's head went to the caller */
  uint32_t got;          /* tokens passed to the caller */
  GString *text;         /* text passed to the caller, to resume after it */
  mp_Addr avoid[MP_STEP_ATTEMPTS_MAX]; /* endpoints that failed in this step */
  unsigned avoid_count;
  Timer timer;          /* timeout or retry of the step */
  Timer deadline_timer; /* the deadline */
} Request;

/* }================================================================== */

/*
** {==================================================================
** Reservations, at their keeper (writer: keep.c)
** ===================================================================
*/

/* one attempt's reservation at an endpoint that this instance keeps */
typedef struct Hold {
  mp_Token token;
  uint32_t attempt;
  mp_Addr endpoint;
  mp_Role role;
  uint32_t tokens;
  uint32_t weight;
  mp_HoldState state;
  mp_Time lease_end;      /* dropped after this time unless renewed */
  mp_Time since;          /* when it was queued; once granted: when that was */
  mp_Time start_by;       /* last moment to start and still meet its target */
  mp_Time slot_needed_at; /* decode: when the slot is needed */
} Hold;

/* }================================================================== */

/*
** {==================================================================
** Claims on request IDs, at their home (writer: claim.c; durable ones:
** shard.c)
** ===================================================================
*/

typedef struct ClaimRow {
  uint64_t id[2]; /* hash of account and idempotency key */
  mp_Token token; /* the request that has the ID */
  mp_Ran ran;
  int durable; /* the platform's object of its shard contains it */
  uint32_t ttl_ms;
  mp_Time first_seen_at; /* when this instance learned of it */
} ClaimRow;

/* }================================================================== */

#endif
