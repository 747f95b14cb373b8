/*
** mpmessage.h
** What instances tell each other
*/

#ifndef MPMESSAGE_H
#define MPMESSAGE_H

#include "mpbase.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
** {==================================================================
** Messages between instances
** Carried as ONC RPC calls and replies by wire/rpc.c. A reply has the
** sequence number of its call.
** ===================================================================
*/

/* a request's identity while it is in the system */
typedef struct mp_Token {
  mp_Addr owner;  /* RPC address of the instance that holds the caller */
  uint32_t start; /* start number of that instance */
  uint32_t seq;
} mp_Token;

typedef enum mp_MsgKind {
  MP_MSG_PROBE = 1,
  MP_MSG_PROBE_VIA,
  MP_MSG_RESERVE,
  MP_MSG_GRANT,
  MP_MSG_RENEW,
  MP_MSG_RELEASE,
  MP_MSG_CLAIM,
  MP_MSG_SETTLE,
  MP_MSG_QUOTA,
  MP_MSG_FETCH,
  MP_MSG_LOAD_DIGEST,
  MP_MSG_LOAD_NOTE,
  MP_MSG_RELAY_HEARTBEAT,
  MP_MSG_HEARTBEAT_REQUEST,
  MP_MSG_LOAD_SUMMARY,
  MP_MSG_CRASHES,
  MP_MSG_RATES,
  MP_MSG_LAST
} mp_MsgKind;

typedef enum mp_MemberState {
  MP_MEMBER_ALIVE,
  MP_MEMBER_SUSPECT,
  MP_MEMBER_LEAVING,
  MP_MEMBER_DEAD
} mp_MemberState;

/* the documents that instances hand on to each other */
typedef enum mp_DocKind {
  MP_DOC_CONFIG,
  MP_DOC_LIST,
  MP_DOC_COUNT
} mp_DocKind;

typedef struct mp_MemberUpdate {
  mp_Addr addr;
  uint32_t start;
  uint32_t incarnation;
  uint32_t dc; /* hash of the data centre's name */
  uint8_t state;
} mp_MemberUpdate;

/* load of one endpoint, as its keeper sees it */
typedef struct mp_LoadUpdate {
  mp_Addr addr;
  uint32_t stamp;   /* grows with every observation */
  uint16_t slots;   /* decode: slots in all */
  uint16_t used;    /* decode: slots held or promised */
  uint16_t running; /* decode: streams at the engine, as it reports */
  uint32_t wait;    /* prefill: milliseconds of work ahead */
  uint32_t rate;    /* prefill: tokens a second; decode: us per token */
  uint8_t flags;    /* MP_LOAD_* */
  uint8_t role;     /* mp_Role */
} mp_LoadUpdate;

#define MP_LOAD_LEAVING 1
#define MP_LOAD_DOWN 2

/* body of a probe and of its answer */
typedef struct mp_Probe {
  uint32_t start;
  uint32_t incarnation;
  uint32_t dc;
  uint8_t state;
  uint64_t doc[MP_DOC_COUNT]; /* versions in force there */
  unsigned nmember;
  mp_MemberUpdate member[MP_GOSSIP_MEMBERS];
  unsigned nload;
  mp_LoadUpdate load[MP_GOSSIP_LOADS];
  mp_Addr target; /* PROBE_VIA: whom to probe; its answer: who answered */
} mp_Probe;

typedef enum mp_Verdict {
  MP_GRANTED,
  MP_QUEUED,
  MP_DENIED,
  MP_WRONG_HOME, /* the receiver is not the keeper or home */
  MP_UNAVAILABLE /* the platform is needed and does not answer */
} mp_Verdict;

/* a reservation at an endpoint, asked of its keeper */
typedef struct mp_Reserve {
  mp_Token token;
  uint32_t attempt;
  mp_Addr endpoint;
  uint8_t role;
  uint32_t tokens;   /* prefill: prompt tokens; decode: output tokens */
  uint32_t slack_ms; /* time left until it must start */
  uint32_t start_ms; /* decode: how long until the slot is needed */
  uint32_t weight;
  /* answer and GRANT */
  uint8_t verdict;
  uint32_t wait_ms;     /* estimate, when queued or denied */
  uint32_t slots, used; /* of the endpoint, now */
} mp_Reserve;

/* what a reservation holds at its endpoint */
typedef enum mp_HoldState {
  MP_HOLD_WAIT, /* nothing yet: waiting for its turn */
  MP_HOLD_BUSY, /* a decode slot or a share of the prefill's time */
  MP_HOLD_KEPT  /* memory alone: a KV result waiting to be moved */
} mp_HoldState;

/* one held reservation, renewed by its holder */
typedef struct mp_Renewal {
  uint32_t seq;
  uint32_t attempt;
  mp_Addr endpoint;
  uint8_t role;
  uint8_t state; /* mp_HoldState */
  uint32_t tokens;
} mp_Renewal;

typedef struct mp_Renew {
  mp_Addr owner;
  uint32_t start;
  unsigned n;
  mp_Renewal row[MP_RENEW_BATCH];
} mp_Renew;

typedef struct mp_Release {
  mp_Token token;
  uint32_t attempt;
  mp_Addr endpoint;
  uint8_t kept; /* only the time is given back, memory stays held */
  uint32_t took_ms;
} mp_Release;

/* a claim on a request ID, asked of the ID's home */
typedef struct mp_Claim {
  uint64_t id[2]; /* hash of account and key */
  mp_Token token;
  uint32_t ttl_ms;
  uint8_t durable;
  uint8_t announce; /* a holder tells a new home what it holds */
  /* answer */
  uint8_t verdict;
  uint8_t ran; /* mp_Ran of the earlier request, when denied */
} mp_Claim;

/* the outcome of a claimed request, told to the home */
typedef struct mp_Settle {
  uint64_t id[2];
  mp_Token token;
  uint8_t ran;
  uint8_t durable;
} mp_Settle;

typedef struct mp_Quota {
  uint32_t account; /* hash of the name */
  uint32_t want;
  uint32_t given; /* answer: requests that may be admitted */
  uint32_t for_ms;
  uint8_t verdict;
} mp_Quota;

/* a part of a document: of a section by digest, else by kind and version */
typedef struct mp_Fetch {
  uint8_t doc; /* mp_DocKind, when the digest is empty */
  uint64_t version;
  char digest[MP_SHA256_HEX + 1];
  uint32_t offset;
  uint32_t total; /* answer; 0: not here */
  uint32_t n;
  char data[MP_CHUNK_SIZE];
} mp_Fetch;

/* what one instance has open at one endpoint */
typedef struct mp_LoadRow {
  uint32_t endpoint; /* hash of its id */
  uint32_t tokens;   /* engines: prompt and output tokens, reserved ones too;
                     ** travels in blocks of MP_TOKEN_BLOCK, rounded up. Plain
                     ** endpoints: a block for each connection, resting or not
                     */
  uint32_t open;     /* dispatches */
  uint32_t failing;  /* recent shares of failures, in percent */
} mp_LoadRow;

/* requests for a service and their extra arrivals, since the start */
typedef struct mp_RetryRow {
  uint32_t service; /* hash of its name */
  uint32_t requests;
  uint32_t extras;
} mp_RetryRow;

/* what was spent of a client account's limit since the sender's start */
typedef struct mp_AccountRow {
  uint32_t account; /* hash of its name */
  uint32_t spent;   /* in steps (router/account_limits.h); 24 bits, wraps */
  uint32_t level;   /* of the sender's bucket; 8 bits, MP_LEVEL_UNKNOWN */
} mp_AccountRow;

/* the sender has just started and heard no level yet */
#define MP_LEVEL_UNKNOWN 255u

/* all that the sender has open; replaces what it said before */
typedef struct mp_LoadDigest {
  uint32_t waiting;   /* requests that wait for room */
  uint32_t in_time;   /* of them, that can still be answered in time */
  uint32_t oldest_ms; /* how long the first of those has waited */
  unsigned n;
  mp_LoadRow row[MP_LOAD_DIGEST_ROWS];
  /* engines that were ordered to change their stage, by hash of their id */
  unsigned changing_count;
  uint32_t changing[MP_LOAD_DIGEST_CHANGING];
  unsigned retry_count;
  mp_RetryRow retry[MP_LOAD_DIGEST_SERVICES];
  unsigned account_count;
  mp_AccountRow account[MP_LOAD_DIGEST_ACCOUNTS];
  /* endpoints that said that they leave while the list has them as ready, by
  ** hash of their id and life; more take turns */
  unsigned leaving_count;
  uint32_t leaving[MP_LOAD_DIGEST_LEAVING];
} mp_LoadDigest;

/* all that the instances of one data centre have open, told by a relay */
typedef struct mp_LoadSummary {
  mp_Addr relay;       /* who made it; others hand it on */
  uint32_t zone;       /* hash of the data centre's name */
  uint32_t instances;  /* of it, heard from lately */
  mp_LoadDigest loads; /* sums; the retry rows hold those that it heard */
} mp_LoadSummary;

/* room that the sender has just reserved, until its next digest */
typedef struct mp_LoadNote {
  uint32_t after; /* the sequence number of its last digest */
  uint32_t endpoint;
  uint32_t tokens;
} mp_LoadNote;

/* a position in the store's history (router/store_position.h) */
typedef struct mp_StorePosition {
  uint64_t era; /* rises by one when the store is restored from a copy;
                ** 0: the store, or whoever tells it, names none */
  int64_t
      revision; /* counts the changes of that era from 1; 0: none is known */
} mp_StorePosition;

/* a relay's heartbeat: what it knows of the store (router/relay_group.h) */
typedef struct mp_RelayHeartbeat {
  mp_StorePosition changed[MP_RELAY_KINDS]; /* its newest news, by kind */
  uint32_t age_ms;   /* since the store last answered the relay */
  uint64_t sent_us;  /* the relay's steady clock when it sent this */
  uint32_t proof_ms; /* since its configuration was certainly the newest */
  uint64_t asked_us; /* the asker's clock when this was asked for; 0: nobody's
                     ** question is answered */
} mp_RelayHeartbeat;

/* the wish for a heartbeat */
typedef struct mp_HeartbeatRequest {
  uint64_t asked_us; /* the sender's steady clock */
} mp_HeartbeatRequest;

/* a request under which endpoints ended (router/quarantine.h) */
typedef struct mp_CrashRow {
  uint64_t request; /* digest of its content and client account */
  unsigned n;
  uint32_t crash[MP_CRASHES_PER_ROW]; /* hashes of an endpoint's id and life */
} mp_CrashRow;

/* a request that broke off where an endpoint may have ended
** (router/suspicions.h) */
typedef struct mp_SuspectRow {
  uint64_t request;  /* digest of its content and client account */
  uint32_t endpoint; /* hash of its id and life */
  uint32_t age_ms;   /* since the run broke off */
} mp_SuspectRow;

/* those that the sender learned of lately */
typedef struct mp_CrashUpdate {
  unsigned n;
  mp_CrashRow row[MP_CRASH_ROWS];
  unsigned suspected_n;
  mp_SuspectRow suspected[MP_SUSPECT_ROWS];
} mp_CrashUpdate;

/* an endpoint that names the rate it takes (router/rate_limits.h) */
typedef struct mp_RateRow {
  uint32_t endpoint; /* hash of its id and life */
  uint32_t rate; /* thousandths of a request a second, or MP_RATE_UNLIMITED */
  uint32_t age_ms; /* since an answer of the endpoint said so */
  uint32_t sent; /* requests that the sender has sent there, since it knows */
} mp_RateRow;

/* it names none any more */
#define MP_RATE_UNLIMITED UINT32_MAX

/* all that an instance knows of them, or a relay's sums of a data centre */
typedef struct mp_RateUpdate {
  mp_Addr relay; /* sums: who made them; others hand them on */
  uint32_t zone; /* sums: hash of the data centre's name; 0: no sums */
  unsigned n;
  mp_RateRow row[MP_RATE_ROWS];
} mp_RateUpdate;

typedef struct mp_Msg {
  mp_MsgKind kind;
  uint32_t seq;
  int reply;
  union {
    mp_Probe probe;
    mp_Reserve reserve;
    mp_Renew renew;
    mp_Release release;
    mp_Claim claim;
    mp_Settle settle;
    mp_Quota quota;
    mp_Fetch fetch;
    mp_LoadDigest digest;
    mp_LoadNote note;
    mp_RelayHeartbeat beat;
    mp_HeartbeatRequest ask;
    mp_LoadSummary summary;
    mp_CrashUpdate crashes;
    mp_RateUpdate rates;
  } u;
} mp_Msg;

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
