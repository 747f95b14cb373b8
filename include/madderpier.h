/*
** madderpier.h
** The public interface of libmadderpier
**
** A state (mp_State) is the decision core of one instance. It does no
** input or output and reads no clock: the host feeds it typed events with
** the time, takes typed effects out of it and performs them. A process may
** have several hundred states.
**
** Threads: a state has no locks, so calls on the same state must not overlap;
** different states may be used by different threads. Functions that take no
** state may be called from any thread.
**
** Ownership: what an event points to is copied, apart from its 'head'. What an
** effect points to belongs to the state and is valid until the next
** mp_next_effect or mp_feed on it.
**
** A host's loop: feed each event, or MP_EV_TICK when mp_next_tick is reached;
** then take and perform effects until there are none. examples/embed.c shows
** it.
*/

#ifndef MADDERPIER_H
#define MADDERPIER_H

#include "mpbase.h"
#include "mpconfiguration.h"
#include "mpeffect.h"
#include "mpevent.h"
#include "mplog.h"
#include "mpmessage.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
** {==================================================================
** The state
** ===================================================================
*/

/* options of a new state; mp_new copies all but 'codec' */
typedef struct mp_Options {
  mp_Addr self;         /* this instance's RPC address; required */
  const char *dc;       /* name of its data centre; required */
  uint32_t start;       /* grows with every start on the same address */
  uint64_t seed;        /* of the state's random numbers */
  const mp_Addr *seeds; /* instances to probe before a list is known */
  unsigned nseed;
  /* network from which messages are accepted besides those of known members,
  ** in host byte order; mask 0: from known members only */
  uint32_t net, mask;
  const mp_Codec *codec; /* required; must outlive the state */
} mp_Options;

/* a new state, which mp_free frees; NULL when a required option is missing */
MP_API mp_State *mp_new(const mp_Options *o, mp_Time now);
/* frees the state and drops its effects; NULL is allowed */
MP_API void mp_free(mp_State *state);

/*
** Runs the timers that are due and handles one event. 'now' is a point on the
** clock given to mp_new and must not be before that of an earlier call, which
** is asserted.
*/
MP_API void mp_feed(mp_State *state, mp_Time now, const mp_Event *e);

/* takes the next effect into '*out' and returns 1; 0 when there is none */
MP_API int mp_next_effect(mp_State *state, mp_Effect *out);

/* kind of the open call to another instance that has this number; 0 when there
** is none. wire/rpc.h needs it, since a reply does not carry its kind. */
MP_API mp_MsgKind mp_pending_call_kind(const mp_State *state, uint32_t seq);

/* the time at which the core next needs an event, MP_EV_TICK if no other;
** INT64_MAX when it waits for nothing */
MP_API mp_Time mp_next_tick(const mp_State *state);

/* }================================================================== */

/*
** {==================================================================
** Inspection: status, counters, explanations
** ===================================================================
*/

/*
** X(symbol, name); all of them count from the start of the state. Metrics are
** named after them: madderpier_NAME.
**   HANGUPS: callers that closed their connection before the answer ended
**   RETRIES_DENIED: retries that the retry budget did not allow
**   STALE: events and chunks of attempts that were over, dropped
**   ORPHANS: work at endpoints without a reservation, cancelled
**   STRANGERS: messages from outside the instance set, dropped
**   EJECTIONS: endpoints taken out of use for a while after failures
*/
#define MP_COUNTERS(X)                       \
  X(REQUESTS, "requests")                    \
  X(ANSWERED, "answered")                    \
  X(REFUSED, "refused")                      \
  X(FAILED, "failed")                        \
  X(HANGUPS, "hangups")                      \
  X(RETRIES, "retries")                      \
  X(RETRIES_DENIED, "retries_denied")        \
  X(PREFILLS, "prefills")                    \
  X(PREFILL_TOKENS, "prefill_tokens")        \
  X(PREFILL_WASTED, "prefill_wasted_tokens") \
  X(TRANSFERS, "transfers")                  \
  X(DECODES, "decodes")                      \
  X(STALE, "stale_pieces_dropped")           \
  X(ORPHANS, "orphans_cancelled")            \
  X(STORE_CALLS, "platform_calls")           \
  X(STORE_WRITES, "platform_writes")         \
  X(MSG_OUT, "messages_out")                 \
  X(MSG_IN, "messages_in")                   \
  X(STRANGERS, "strangers")                  \
  X(ORDERS, "orders")                        \
  X(EJECTIONS, "ejections")

typedef enum mp_Counter {
#define X(sym, name) MP_C_##sym,
  MP_COUNTERS(X)
#undef X
      MP_C_COUNT
} mp_Counter;

/* the value of a counter, and its constant name; 'c' below MP_C_COUNT */
MP_API uint64_t mp_counter(const mp_State *state, mp_Counter c);
MP_API const char *mp_counter_name(mp_Counter c);

/* a snapshot of the state, for /status and 'madderpier status' */
typedef struct mp_Status {
  uint64_t config_version; /* of the configuration in force; 0: none */
  uint64_t list_version;   /* of the instance list in force; 0: none */
  unsigned requests;       /* open here */
  unsigned holds;          /* reservations kept here, as a keeper */
  unsigned claims;         /* claims on request IDs kept here, as a home */
  unsigned members;        /* live instances, this one included */
  unsigned endpoints;      /* known */
  int draining;            /* a planned stop has begun */
  int ready;               /* has both documents and is not draining */
} mp_Status;

MP_API void mp_status(const mp_State *state, mp_Status *out);

/* a snapshot of one endpoint as this instance sees it; the texts belong to the
** state and are valid until the next mp_feed */
typedef struct mp_EndpointInfo {
  mp_Addr addr;
  const char *name, *dc, *service;
  mp_Role role;
  uint32_t slots, used; /* decode slots, and those held or promised */
  uint32_t wait_ms;     /* prefill: work that is queued */
  int leaving;          /* gets no new work: it leaves, or is drained */
  int down;             /* does not answer */
  int ejected;          /* out of use for a while after failures */
  mp_Addr keeper;       /* instance responsible for its reservations */
} mp_EndpointInfo;

/* fills '*out' with the i-th endpoint (from 0) and returns 1; 0 when there is
** none */
MP_API int mp_endpoint(const mp_State *state, unsigned i,
                       mp_EndpointInfo *out);

/* a snapshot of another instance as this one sees it */
typedef struct mp_MemberInfo {
  mp_Addr addr;
  uint32_t start;
  mp_MemberState state;
  uint64_t config_version; /* in force there; 0: none or not known */
} mp_MemberInfo;

/* fills '*out' with the i-th other instance (from 0) and returns 1; 0 when
** there is none */
MP_API int mp_member(const mp_State *state, unsigned i, mp_MemberInfo *out);

/*
** Whether a class of request from an account may run in data centre 'dc' by
** the configuration's rules and drains. Returns NULL when it may, otherwise
** the reason as a constant text. 'c' may be NULL (no configuration); 'account'
** NULL asks for the rule of accounts without one of their own.
*/
MP_API const char *mp_explain(const mp_Config *c, const char *class_name,
                              const char *account, const char *dc);

/* an address as text "a.b.c.d:port", and back; mp_addr_parse returns 0 when
** the text is not exactly that, is NULL, or has port 0 */
MP_API void mp_addr_text(mp_Addr a, char out[24]);
MP_API mp_Addr mp_addr_parse(const char *s);

/* a token and an attempt as the text that engines and logs show, and back;
** mp_token_parse returns 0 and sets nothing when the text is malformed */
MP_API void mp_token_text(const mp_Token *t, uint32_t attempt, char out[64]);
MP_API int mp_token_parse(const char *s, mp_Token *t, uint32_t *attempt);

/* SHA-256 of 'n' bytes, in hexadecimal with a final zero */
MP_API void mp_digest(const char *s, size_t n, char out[MP_SHA256_HEX + 1]);

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
