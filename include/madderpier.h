/*
** madderpier.h
** The public interface of libmadderpier
**
** A state (mp_State) is the decision core of one instance. It does no
** input or output and reads no clock: the host feeds it typed events with
** the time, takes typed effects out of it and performs them. Several
** hundred states live side by side in one process.
**
** Pointers inside an effect stay valid until the next call of mp_next_effect
*or
** mp_feed on the same state. Pointers inside an event are copied.
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

typedef struct mp_Options {
  mp_Addr self; /* this instance's RPC address */
  const char *dc;
  uint32_t start; /* grows with every start on the same address */
  uint64_t seed;
  const mp_Addr *seeds; /* instances to ask before a list is there */
  unsigned nseed;
  uint32_t net, mask; /* network of the instance set; mask 0: the list's */
  const mp_Codec *codec;
} mp_Options;

/* NULL when an option is missing; free by mp_free */
MP_API mp_State *mp_new(const mp_Options *o, mp_Time now);
MP_API void mp_free(mp_State *state);

/* hand in one event; 'now' never goes back */
MP_API void mp_feed(mp_State *state, mp_Time now, const mp_Event *e);

/* take the next effect; 0 when there is none */
MP_API int mp_next_effect(mp_State *state, mp_Effect *out);

/* kind of the open call with this number, for decoding its reply; or 0 */
MP_API mp_MsgKind mp_pending_call_kind(const mp_State *state, uint32_t seq);

/* when the core next wants MP_EV_TICK */
MP_API mp_Time mp_next_tick(const mp_State *state);

/* }================================================================== */

/*
** {==================================================================
** Looking in: status, counters, explanations
** ===================================================================
*/

/* X(symbol, name); all of them count from the start of the state */
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

MP_API uint64_t mp_counter(const mp_State *state, mp_Counter c);
MP_API const char *mp_counter_name(mp_Counter c);

/* a snapshot of the state, for /status and 'madderpier status' */
typedef struct mp_Status {
  uint64_t config_version;
  uint64_t list_version;
  unsigned requests, holds, claims, members, endpoints;
  int draining;
  int ready;
} mp_Status;

MP_API void mp_status(const mp_State *state, mp_Status *out);

/* a snapshot of one endpoint as this instance sees it */
typedef struct mp_EndpointInfo {
  mp_Addr addr;
  const char *name, *dc, *service;
  mp_Role role;
  uint32_t slots, used, wait_ms;
  int leaving, down, ejected;
  mp_Addr keeper;
} mp_EndpointInfo;

/* the i-th endpoint; 0 when there is none */
MP_API int mp_endpoint(const mp_State *state, unsigned i,
                       mp_EndpointInfo *out);

/* the i-th instance; 0 when there is none */
typedef struct mp_MemberInfo {
  mp_Addr addr;
  uint32_t start;
  mp_MemberState state;
  uint64_t config_version;
} mp_MemberInfo;

MP_API int mp_member(const mp_State *state, unsigned i, mp_MemberInfo *out);

/*
** May this class of request, from this account, run in data centre 'dc'?
** NULL when it may; else the reason, in words. Pure: needs no state.
*/
MP_API const char *mp_explain(const mp_Config *c, const char *class_name,
                              const char *account, const char *dc);

/* address as text "a.b.c.d:port" and back; 0 when it is none */
MP_API void mp_addr_text(mp_Addr a, char out[24]);
MP_API mp_Addr mp_addr_parse(const char *s);

/* token and attempt as text, as engines and logs show them */
MP_API void mp_token_text(const mp_Token *t, uint32_t attempt, char out[64]);
MP_API int mp_token_parse(const char *s, mp_Token *t, uint32_t *attempt);

/* SHA-256 of a text in hexadecimal */
MP_API void mp_digest(const char *s, size_t n, char out[MP_SHA256_HEX + 1]);

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
