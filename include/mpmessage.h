/*
** mpmessage.h
** The messages that instances send each other
**
** Two protocols share these types. The core of the own dialect (core/) sends
** PROBE to FETCH, most of them as calls that get a reply; the router of the
** platform dialect (router/) sends LOAD_DIGEST to RATES, as datagrams without
** a reply. wire/rpc.c encodes all of them as XDR, so the numbers of the kinds,
** and the order of the members as encoded there, must not change.
**
** Messages are plain values without pointers: copying the struct copies the
** message. Counts bound the rows that are set; a decoded message never has a
** count beyond its array. An endpoint's, account's or data centre's hash is a
** 32-bit hash of its name or ID; two names may share one. An incarnation of an
** endpoint is one start of its process, named by ID and time of start.
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

/* identifies a request while it is being served, over all instances */
typedef struct mp_Token {
  mp_Addr owner;  /* RPC address of the instance that the caller called */
  uint32_t start; /* start number of that instance (mp_Options.start) */
  uint32_t seq;   /* number of the request since that start */
} mp_Token;

/* the number of a kind is its RPC procedure; MP_MSG_LAST is no kind */
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
  MP_MSG_CARRY,
  MP_MSG_STREAM_ORIGIN,
  MP_MSG_STREAM_QUERY,
  MP_MSG_STREAM_REPLY,
  MP_MSG_STREAM_RECORD,
  MP_MSG_STREAM_RECORDED,
  MP_MSG_LAST
} mp_MsgKind;

/* the state of an instance as others see it */
typedef enum mp_MemberState {
  MP_MEMBER_ALIVE,
  MP_MEMBER_SUSPECT,
  MP_MEMBER_LEAVING,
  MP_MEMBER_DEAD
} mp_MemberState;

/* the documents that instances forward to each other */
typedef enum mp_DocKind {
  MP_DOC_CONFIG,
  MP_DOC_LIST,
  MP_DOC_COUNT
} mp_DocKind;

/* the state of one member, passed on with probes (gossip) */
typedef struct mp_MemberUpdate {
  mp_Addr addr;
  uint32_t start;
  uint32_t incarnation; /* raised by the member to refute a suspicion */
  uint32_t dc;          /* hash of the data centre's name */
  uint8_t state;        /* mp_MemberState */
} mp_MemberUpdate;

/*
** The load of one endpoint as its keeper sees it, passed on with probes. The
** keeper is the instance that is responsible for the endpoint's reservations.
*/
typedef struct mp_LoadUpdate {
  mp_Addr addr;
  uint32_t stamp;   /* grows with every observation */
  uint16_t slots;   /* decode: all slots */
  uint16_t used;    /* decode: slots held or promised */
  uint16_t running; /* decode: running streams, as the engine reports */
  uint32_t wait;    /* prefill: milliseconds of work that is queued */
  uint32_t rate;    /* prefill: tokens per second; decode: us per token */
  uint8_t flags;    /* MP_LOAD_* */
  uint8_t role;     /* mp_Role */
} mp_LoadUpdate;

/* bits of mp_LoadUpdate.flags */
#define MP_LOAD_LEAVING 1
#define MP_LOAD_DOWN 2

/* body of a probe and of its reply; the first four members are the sender's */
typedef struct mp_Probe {
  uint32_t start;
  uint32_t incarnation;
  uint32_t dc;
  uint8_t state;
  uint64_t doc[MP_DOC_COUNT]; /* versions in force at the sender */
  unsigned nmember;
  mp_MemberUpdate member[MP_GOSSIP_MEMBERS];
  unsigned nload;
  mp_LoadUpdate load[MP_GOSSIP_LOADS];
  mp_Addr target; /* PROBE_VIA: whom to probe; its reply: who replied */
} mp_Probe;

/* the reply to a reservation, a claim or a request for quota */
typedef enum mp_Verdict {
  MP_GRANTED,
  MP_QUEUED, /* a GRANT follows when its turn has come */
  MP_DENIED,
  MP_WRONG_HOME, /* the receiver is not the keeper or home */
  MP_UNAVAILABLE /* the platform is needed and does not answer */
} mp_Verdict;

/*
** RESERVE asks an endpoint's keeper for a reservation; the keeper's GRANT
** tells a queued one that its turn has come.
*/
typedef struct mp_Reserve {
  mp_Token token;
  uint32_t attempt; /* number of the attempt within the request */
  mp_Addr endpoint;
  uint8_t role;      /* mp_Role */
  uint32_t tokens;   /* prefill: prompt tokens; decode: output tokens */
  uint32_t slack_ms; /* time left until the work must start */
  uint32_t start_ms; /* decode: time until the slot is needed */
  uint32_t weight;   /* of the request's class */
  /* the members from here on are set in the reply and in GRANT */
  uint8_t verdict;      /* mp_Verdict */
  uint32_t wait_ms;     /* estimated wait, when queued or denied */
  uint32_t slots, used; /* the endpoint's decode slots, at present */
} mp_Reserve;

/* what a reservation occupies at its endpoint */
typedef enum mp_HoldState {
  MP_HOLD_WAIT, /* nothing yet: it waits for its turn */
  MP_HOLD_BUSY, /* a decode slot, or a share of a prefill engine's time */
  MP_HOLD_KEPT  /* memory only: a KV result that waits for its transfer */
} mp_HoldState;

/* one reservation that its holder renews; the owner and start of its token
** stand in mp_Renew */
typedef struct mp_Renewal {
  uint32_t seq;
  uint32_t attempt;
  mp_Addr endpoint;
  uint8_t role;  /* mp_Role */
  uint8_t state; /* mp_HoldState */
  uint32_t tokens;
} mp_Renewal;

/* RENEW: the holder still needs these reservations */
typedef struct mp_Renew {
  mp_Addr owner;
  uint32_t start;
  unsigned n;
  mp_Renewal row[MP_RENEW_BATCH];
} mp_Renew;

/* RELEASE: a holder gives a reservation back to the endpoint's keeper */
typedef struct mp_Release {
  mp_Token token;
  uint32_t attempt;
  mp_Addr endpoint;
  uint8_t kept;     /* only the engine's time; its memory stays reserved */
  uint32_t took_ms; /* time since the reservation was granted */
} mp_Release;

/*
** CLAIM: a claim on a request ID, sent to the ID's home, the instance that is
** responsible for it. The home grants an ID once, so that a request that is
** sent twice does not run twice.
*/
typedef struct mp_Claim {
  uint64_t id[2];   /* hash of the client account and the key */
  mp_Token token;   /* of the request that claims it */
  uint32_t ttl_ms;  /* how long the home remembers the claim */
  uint8_t durable;  /* must be written to the platform before the grant */
  uint8_t announce; /* a holder tells a new home of a claim that it holds */
  /* reply */
  uint8_t verdict; /* mp_Verdict */
  uint8_t ran;     /* mp_Ran of the earlier request, when denied */
} mp_Claim;

/* SETTLE: the outcome of a claimed request, sent to the ID's home */
typedef struct mp_Settle {
  uint64_t id[2];
  mp_Token token;
  uint8_t ran; /* mp_Ran */
  uint8_t durable;
} mp_Settle;

/* QUOTA: asks the home of a client account for a slice of its limit */
typedef struct mp_Quota {
  uint32_t account; /* hash of the name */
  uint32_t want;    /* requests that the sender would like to admit */
  /* reply */
  uint32_t given;  /* requests that it may admit */
  uint32_t for_ms; /* how long the slice is valid */
  uint8_t verdict; /* mp_Verdict */
} mp_Quota;

/*
** FETCH: asks for a chunk of a document. A section is named by its digest;
** with an empty digest, the document is named by kind and version.
*/
typedef struct mp_Fetch {
  uint8_t doc; /* mp_DocKind, when the digest is empty */
  uint64_t version;
  char digest[MP_SHA256_HEX + 1];
  uint32_t offset; /* of the chunk, in bytes */
  /* reply */
  uint32_t total; /* bytes of the whole; 0: this instance doesn't have it */
  uint32_t n;     /* bytes of the chunk */
  char data[MP_CHUNK_SIZE];
} mp_Fetch;

/* what one instance has open at one endpoint */
typedef struct mp_LoadRow {
  uint32_t endpoint; /* hash of its ID */
  uint32_t tokens;   /* engines: prompt and output tokens, with those reserved;
                     ** encoded in blocks of MP_TOKEN_BLOCK, rounded up. Plain
                     ** endpoints: one block for each connection, idle or not
                     */
  uint32_t open;     /* dispatches: runs of requests there */
  uint32_t failing;  /* recent share of failures, in percent */
} mp_LoadRow;

/* requests for a service and their retries, since the sender's start */
typedef struct mp_RetryRow {
  uint32_t service; /* hash of its name */
  uint32_t requests;
  uint32_t extras; /* further arrivals of these requests at endpoints */
} mp_RetryRow;

/* what was spent of a client account's limit since the sender's start */
typedef struct mp_AccountRow {
  uint32_t account; /* hash of its name */
  uint32_t spent;   /* in steps (router/account_limits.h); 24 bits, wraps */
  uint32_t level;   /* of the sender's token bucket, 8 bits, or
                    ** MP_LEVEL_UNKNOWN */
} mp_AccountRow;

/* the sender has just started and has received no level yet */
#define MP_LEVEL_UNKNOWN 255u

/* requests of one service and one priority that wait for capacity and can
** still be answered in time. The message rounds 'oldest_ms' down to 4 ms. */
typedef struct mp_WaitingRow {
  uint32_t service;   /* hash of its name */
  uint32_t priority;  /* 0, the highest, to 9 */
  uint32_t count;     /* at most 4095 */
  uint32_t oldest_ms; /* how long the oldest of them has waited */
} mp_WaitingRow;

/* LOAD_DIGEST: all that the sender has open; replaces its last digest */
typedef struct mp_LoadDigest {
  uint32_t waiting;   /* requests that wait for capacity */
  uint32_t in_time;   /* those of them that can still be answered in time */
  uint32_t oldest_ms; /* how long the oldest of the latter has waited */
  unsigned n;
  mp_LoadRow row[MP_LOAD_DIGEST_ROWS];
  /* engines that were ordered to change their stage, by hash of their ID */
  unsigned changing_count;
  uint32_t changing[MP_LOAD_DIGEST_CHANGING];
  unsigned retry_count;
  mp_RetryRow retry[MP_LOAD_DIGEST_SERVICES];
  unsigned account_count;
  mp_AccountRow account[MP_LOAD_DIGEST_ACCOUNTS];
  /* endpoints that announced that they leave while the list still has them as
  ** ready, by hash of their ID and incarnation; if there are more, successive
  ** digests carry them in turn */
  unsigned leaving_count;
  uint32_t leaving[MP_LOAD_DIGEST_LEAVING];
  /* what is pending of the accounts in the first rows of 'account', in their
  ** order and in steps (router/account_limits.h); encoded with an error of up
  ** to one part in 16. An earlier release sends none. */
  unsigned pending_count;
  uint32_t pending[MP_LOAD_DIGEST_ACCOUNTS];
  /* the highest priorities first; an instance of an earlier release sends
  ** none, and a digest that is nearly full leaves the last ones out */
  unsigned ranked_count;
  mp_WaitingRow ranked[MP_LOAD_DIGEST_PRIORITIES];
  /* instances of those that the digest covers which have begun a planned stop:
  ** 0 or 1, in a summary their sum; an earlier release sends none, and a full
  ** summary leaves it out */
  uint32_t stopping;
} mp_LoadDigest;

/* LOAD_SUMMARY: all that the instances of one data centre have open, added up
** by one of its relays */
typedef struct mp_LoadSummary {
  mp_Addr relay;       /* who made it; others forward it */
  uint32_t zone;       /* hash of the data centre's name */
  uint32_t instances;  /* those of the data centre heard from recently */
  mp_LoadDigest loads; /* sums; retry rows: of those that the relay heard */
} mp_LoadSummary;

/* LOAD_NOTE: capacity that the sender has just reserved; counts until its next
** digest */
typedef struct mp_LoadNote {
  uint32_t after;    /* sequence number of the sender's last digest */
  uint32_t endpoint; /* hash of its ID */
  uint32_t tokens;
} mp_LoadNote;

/* CARRY: asks another instance to connect to an endpoint, and to pass bytes on
** (io/carry_server.h). Sent over TCP; the reply holds the verdict only. */
typedef struct mp_Carry {
  uint32_t endpoint;   /* hash of its ID and start time */
  uint32_t timeout_ms; /* for the connection to it */
  uint8_t verdict;     /* CarryVerdict (router/router.h) */
} mp_Carry;

/* a position in the store's history (router/store_position.h) */
typedef struct mp_StorePosition {
  uint64_t era; /* rises by one when the store is restored from a copy;
                ** 0: the store, or the sender, gives none */
  int64_t
      revision; /* counts the changes of that era from 1; 0: none is known */
} mp_StorePosition;

/* RELAY_HEARTBEAT: what a relay knows of the store (router/relay_group.h) */
typedef struct mp_RelayHeartbeat {
  mp_StorePosition changed[MP_RELAY_KINDS]; /* newest change known, by kind */
  uint32_t age_ms;   /* at sent_us: since the store last answered the relay */
  uint64_t sent_us;  /* the relay's monotonic clock when it sent this */
  uint32_t proof_ms; /* since its configuration was certainly the newest */
  uint64_t asked_us; /* asked_us of the request that this answers; 0: it
                     ** answers none */
} mp_RelayHeartbeat;

/* HEARTBEAT_REQUEST: asks a relay for a heartbeat */
typedef struct mp_HeartbeatRequest {
  uint64_t asked_us; /* the sender's monotonic clock */
} mp_HeartbeatRequest;

/* a request, or a part of prompts, during whose runs endpoints crashed
** (router/quarantine.h) */
typedef struct mp_CrashRow {
  uint64_t request; /* digest of its content and client account, or of the
                    ** part and the service */
  unsigned n;
  /* the crashes, each by hash of the endpoint's ID and incarnation */
  uint32_t crash[MP_CRASHES_PER_ROW];
  /* The run that broke off at each: when, and how long it had lasted, both in
  ** MP_CRASH_TIME_MS; 0: not known, as from an earlier release. */
  uint16_t age[MP_CRASHES_PER_ROW];
  uint16_t length[MP_CRASHES_PER_ROW];
} mp_CrashRow;

/* a request whose run broke off at an endpoint that may have crashed
** (router/suspicions.h) */
typedef struct mp_SuspectRow {
  uint64_t request;  /* as in mp_CrashRow */
  uint32_t endpoint; /* hash of its ID and incarnation */
  uint32_t age_ms;   /* since the run broke off */
} mp_SuspectRow;

/* a part of prompts on which an endpoint wrote an answer and lived on */
typedef struct mp_AcquittalRow {
  uint64_t part;
  uint32_t age_ms; /* since then */
} mp_AcquittalRow;

/* CRASHES: the crashes, suspicions and acquittals that the sender learned of
** recently; an earlier release neither sends nor reads acquittals, nor the
** times of crashes */
typedef struct mp_CrashUpdate {
  unsigned n;
  mp_CrashRow row[MP_CRASH_ROWS];
  unsigned suspected_n;
  mp_SuspectRow suspected[MP_SUSPECT_ROWS];
  unsigned acquitted_n;
  mp_AcquittalRow acquitted[MP_ACQUITTAL_ROWS];
} mp_CrashUpdate;

/* an endpoint that announces the rate it accepts (router/rate_limits.h) */
typedef struct mp_RateRow {
  uint32_t endpoint; /* hash of its ID and incarnation */
  uint32_t rate;   /* thousandths of a request per second; MP_RATE_UNLIMITED */
  uint32_t age_ms; /* since the answer of the endpoint that announced it */
  uint32_t sent;   /* requests that the sender has sent there since it learned
                   ** of the rate */
} mp_RateRow;

/* the endpoint no longer announces a rate */
#define MP_RATE_UNLIMITED UINT32_MAX

/* RATES: the rates that an instance knows, or a relay's sums for a data
** centre */
typedef struct mp_RateUpdate {
  mp_Addr relay; /* sums: who made them; others forward them */
  uint32_t zone; /* sums: hash of the data centre's name; 0: not sums */
  unsigned n;
  mp_RateRow row[MP_RATE_ROWS];
} mp_RateUpdate;

/* STREAM_ORIGIN: where a stream began (router/stream_origins.h) */
typedef struct mp_StreamOrigin {
  uint64_t key[2];   /* digest of its account and of the attempt that brought
                     ** its first event */
  uint64_t software; /* digest of service and version; 0: ambiguous */
  uint32_t service;  /* hash of its name */
  uint32_t account;  /* hash of its name; 0: none */
  uint32_t age_ms;   /* since its first event */
  uint32_t left_ms;  /* for how long it may still be taken up */
} mp_StreamOrigin;

/* STREAM_QUERY: asks where a stream began */
typedef struct mp_StreamQuery {
  uint64_t key[2];
  uint32_t number;      /* chosen by the sender; the reply names it */
  uint32_t service;     /* hash of the name of the service that would run it */
  uint32_t lifetime_ms; /* longest time for which streams are taken up */
} mp_StreamQuery;

/* STREAM_REPLY: the reply, a datagram of its own */
typedef struct mp_StreamReply {
  uint32_t number;
  uint8_t verdict;   /* OriginVerdict (router/origin_query.h) */
  uint64_t software; /* digest of service and version; 0: none */
  uint32_t service;  /* hash of its name */
  uint32_t age_ms;   /* since the stream's first event */
} mp_StreamReply;

/* STREAM_RECORD: asks the recorder of the data centre to write where a stream
** began to the store (router/origin_store.h). An earlier release does not know
** it and sends no reply. */
typedef struct mp_StreamRecord {
  uint32_t number; /* chosen by the sender; the reply names it */
  mp_StreamOrigin origin;
} mp_StreamRecord;

/* STREAM_RECORDED: the reply, a datagram of its own */
typedef struct mp_StreamRecorded {
  uint32_t number;
  uint8_t is_written; /* 0: the store does not answer the recorder */
} mp_StreamRecorded;

/* one message; 'kind' says which member of 'u' is set */
typedef struct mp_Msg {
  mp_MsgKind kind;
  uint32_t seq; /* number of the call; a reply has that of its call */
  int reply;    /* 1 for a reply, 0 for a call or a datagram without reply */
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
    mp_Carry carry;
    mp_RelayHeartbeat beat;
    mp_HeartbeatRequest ask;
    mp_LoadSummary summary;
    mp_CrashUpdate crashes;
    mp_RateUpdate rates;
    mp_StreamOrigin origin;
    mp_StreamQuery query;
    mp_StreamReply reply;
    mp_StreamRecord record;
    mp_StreamRecorded recorded;
  } u;
} mp_Msg;

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
