/*
** board.h
** The blackboard: the tables that controllers read and write
**
** Controllers do not call each other's decisions; they meet here. Each
** table names its one writer. Times are mp_Time. Rows that others refer
** to by pointer live until their table's writer frees them, after it has
** dropped every reference.
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

typedef struct Member {
  mp_Addr addr;
  uint32_t start;
  uint32_t incarnation;
  uint32_t dc; /* hash of the name */
  mp_MemberState state;
  mp_Time since;              /* of the state */
  mp_Time heard;              /* last message straight from it */
  unsigned told;              /* how often its news was passed on */
  int listed;                 /* stands in the platform's list */
  int remote;                 /* of another data centre */
  mp_Time avoid;              /* did not answer a call: not asked until then */
  uint64_t doc[MP_DOC_COUNT]; /* versions in force there */
} Member;

/* }================================================================== */

/*
** {==================================================================
** Endpoints (writer of rows: fleet.c; of loads: keep.c and member.c;
** of ejections: eject.c)
** ===================================================================
*/

typedef struct Endpoint {
  mp_Addr addr;
  char name[MP_MAXNAME + 1];
  char dc[MP_MAXNAME + 1];
  char service[MP_MAXNAME + 1];
  uint32_t dc_hash;
  mp_Role role;
  int leaving; /* by the list, by itself, or by 'drained' */
  int drained; /* by the configuration */
  int down;    /* its keeper got no answer */
  uint32_t stamp;
  mp_Time seen; /* of the load below */
  uint32_t slots, used;
  uint32_t running; /* decode: streams, as the engine reports */
  uint32_t wait;    /* milliseconds */
  uint32_t rate;    /* prefill: tokens a second; decode: us per token */
  unsigned told;
  unsigned mine;                /* attempts of this instance there now */
  uint32_t reserved_since_load; /* tokens sent there since the last load */
  unsigned fails;               /* in a row */
  unsigned ejections;
  mp_Time ejected; /* until then */
} Endpoint;

/* }================================================================== */

/*
** {==================================================================
** Documents in force (writer: doc.c)
** ===================================================================
*/

typedef struct Document {
  uint64_t version; /* in force; 0: none */
  GBytes *text;     /* of the manifest or list; NULL: none */
} Document;

/* }================================================================== */

/*
** {==================================================================
** Requests (writer: flow.c)
** ===================================================================
*/

typedef enum Step {
  FLOW_STEP_CLAIM,
  FLOW_STEP_RESERVE_DECODE,
  FLOW_STEP_RESERVE_PREFILL,
  FLOW_STEP_PREFILL,
  FLOW_STEP_TRANSFER,
  FLOW_STEP_DECODE,
  FLOW_STEP_PLAIN,
  FLOW_STEP_RETRY_WAIT /* between two tries of a step */
} Step;

/* one attempt at an endpoint, or a reservation there */
typedef struct Attempt {
  uint32_t no; /* 0: none */
  mp_Addr endpoint;
  mp_Role role;
  uint32_t tokens;
  int granted;
  int waiting;    /* queued at the keeper */
  int sent;       /* work went to the endpoint */
  uint64_t xcall; /* open call, 0 when none */
  mp_Time begun;
} Attempt;

typedef struct Request {
  uint64_t call;
  mp_Token token;
  char class_name[MP_MAXNAME + 1];
  char account[MP_MAXNAME + 1];
  char model[MP_MAXNAME + 1];
  char service[MP_MAXNAME + 1];
  uint32_t prompt_tokens, max_tokens;
  uint64_t prefix;
  mp_Time arrived, deadline;
  uint32_t first_ms, weight;
  int repeatable;
  int plain;
  int keyed;   /* the caller gave an ID */
  int durable; /* its claim is in the platform */
  uint64_t id[2];
  int claimed;
  Step step, next; /* 'next' is entered after FLOW_STEP_RETRY_WAIT */
  mp_Ran ran;
  uint32_t attempts;      /* numbers given out */
  unsigned tries;         /* since the last success */
  uint32_t wait_ms;       /* longest wait a keeper estimated, 0: none */
  mp_Addr prefill_engine; /* where the prefill ran that was used */
  uint32_t rpc;           /* open call to a keeper */
  uint64_t asking;        /* open claim */
  mp_Ran before;          /* ran, before the work that is out now */
  int resumed;            /* the stream was resumed once already */
  Attempt prefill, decode;
  char *kv;          /* name of the KV result, NULL when none */
  mp_Addr kv_source; /* the prefill engine that holds it */
  mp_Time kv_expires_at;
  int is_kv_used; /* an answer came of it */
  uint32_t kv_tokens;
  int head;                   /* the answer's head went to the caller */
  uint32_t got;               /* tokens passed to the caller */
  GString *text;              /* text passed to the caller, to resume after */
  mp_Addr avoid[MP_MAXTRIES]; /* endpoints that failed this step */
  unsigned avoid_count;
  Timer timer; /* of the step */
  Timer limit; /* the deadline */
} Request;

/* }================================================================== */

/*
** {==================================================================
** Reservations (writer: keep.c)
** ===================================================================
*/

typedef struct Hold {
  mp_Token token;
  uint32_t attempt;
  mp_Addr endpoint;
  mp_Role role;
  uint32_t tokens;
  uint32_t weight;
  mp_HoldState state;
  mp_Time lease;  /* gone unless renewed before */
  mp_Time since;  /* of being granted, or of waiting */
  mp_Time latest; /* must start before, to meet its target */
  mp_Time needed; /* decode: when the slot is needed */
} Hold;

/* }================================================================== */

/*
** {==================================================================
** Claims on request IDs (writer: claim.c)
** ===================================================================
*/

typedef struct ClaimRow {
  uint64_t id[2];
  mp_Token token;
  mp_Ran ran;
  int durable; /* stands in the platform's object */
  uint32_t ttl_ms;
  mp_Time seen; /* when this home first saw it */
} ClaimRow;

/* }================================================================== */

#endif
