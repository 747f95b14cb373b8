/*
** mpbase.h
** Base types of the library: times, addresses and errors
**
** Every other public header includes this one. Its functions are pure and
** may be called from any thread; the texts that they return are constants.
*/

#ifndef MPBASE_H
#define MPBASE_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "mpconf.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MP_VERSION "0.1.0"

/*
** A point in time, or a duration, in microseconds. Points are on a monotonic
** clock of the host, which chooses the origin.
*/
typedef int64_t mp_Time;

/*
** An IPv4 address and a port, both in host byte order: address << 16 | port.
** 0 means "no address". mp_addr_parse and mp_addr_text convert it.
*/
typedef uint64_t mp_Addr;

/* the decision core of one instance (madderpier.h) */
typedef struct mp_State mp_State;

/*
** {==================================================================
** Errors
** Each error has a name, which callers and operators' tools match, an HTTP
** status, and a message that says what to do.
** X(symbol, name, HTTP status, Retry-After in seconds, message); the seconds
** are 0 where waiting before a retry does not help.
** ===================================================================
*/

#define MP_ERRORS(X)                                                        \
  X(NONE, "none", 200, 0, "")                                               \
  X(NO_CONFIG, "no_configuration", 503, 5,                                  \
    "no configuration is in force on this instance; apply one, or retry "   \
    "after Retry-After")                                                    \
  X(PLACE, "place_forbidden", 403, 0,                                       \
    "no data centre where this kind of request may run can serve it; "      \
    "see 'madderpier explain', then change the rule or the pools")          \
  X(PLACE_AWAY, "place_unavailable", 503, 5,                                \
    "no engine is free or reachable in the data centres where this kind "   \
    "of request may run; retry after Retry-After")                          \
  X(ACCOUNT, "unknown_account", 401, 0,                                     \
    "the bearer key belongs to no account; check the Authorization header") \
  X(CLASS, "unknown_class", 400, 0,                                         \
    "this class of request is not configured or not open to the account; "  \
    "set X-Request-Class to one that 'madderpier show' lists")              \
  X(MODEL, "unknown_model", 404, 0,                                         \
    "no pool holds this model; set 'model' to one that is configured")      \
  X(SERVICE, "unknown_service", 404, 0,                                     \
    "no service is configured under this path; check the path")             \
  X(QUOTA, "quota_exceeded", 429, 1,                                        \
    "the account's request limit is used up; retry after Retry-After")      \
  X(OVERLOAD, "overloaded", 503, 2,                                         \
    "the request would miss its latency target; retry after Retry-After")   \
  X(DUPLICATE, "duplicate_request", 409, 0,                                 \
    "a request with this ID was accepted before; look up its outcome, or "  \
    "use a new ID for new work")                                            \
  X(CLAIM, "claim_unavailable", 503, 5,                                     \
    "the request's ID cannot be claimed now, so it was not run; retry "     \
    "after Retry-After with the same ID")                                   \
  X(DEADLINE, "deadline_passed", 504, 1,                                    \
    "the deadline of the request's class passed; retry after Retry-After")  \
  X(LOST, "outcome_unknown", 502, 0,                                        \
    "the connection to the endpoint was lost while it worked; check "       \
    "whether the work was done before sending it again")                    \
  X(INCOMPLETE, "answer_incomplete", 502, 1,                                \
    "the answer broke off and could not be resumed; discard it and send "   \
    "the request again")                                                    \
  X(DRAINING, "draining", 503, 1,                                           \
    "this instance is draining; send the request to another one")           \
  X(BAD_REQUEST, "bad_request", 400, 0,                                     \
    "the request is malformed; correct it as the detail says")              \
  X(TOO_LARGE, "too_large", 413, 0,                                         \
    "the request is larger than the limit; shorten it")                     \
  X(TIMEOUT, "request_timeout", 408, 1,                                     \
    "the request did not arrive completely in time; send it again")         \
  X(METHOD, "method_not_allowed", 405, 0,                                   \
    "the method is not served under this path; use the documented one")     \
  X(REJECTED, "endpoint_rejected", 502, 0,                                  \
    "the endpoint rejected the request; correct it as the detail says")     \
  X(STORE, "platform_unavailable", 503, 5,                                  \
    "the platform's service does not answer; try again later")              \
  X(CONFLICT, "conflict", 409, 0,                                           \
    "another change was applied first; look at it with 'madderpier diff', " \
    "then apply again")                                                     \
  X(SETTINGS, "bad_settings", 400, 0,                                       \
    "the settings or the configuration are invalid; correct the place "     \
    "named")

typedef enum mp_Error {
#define X(sym, name, status, retry, text) MP_ERR_##sym,
  MP_ERRORS(X)
#undef X
      MP_ERR_COUNT
} mp_Error;

/* the GError domain of the library; the codes are of type mp_Error */
#define MP_ERROR (mp_error_domain())
MP_API GQuark mp_error_domain(void);

/*
** The columns of MP_ERRORS. 'e' must be below MP_ERR_COUNT, which is
** asserted. The texts are constants that nobody frees.
*/
MP_API const char *mp_error_name(mp_Error e);
MP_API const char *mp_error_text(mp_Error e);
MP_API int mp_error_status(mp_Error e);
/* seconds to wait before a retry; 0 when waiting does not help */
MP_API int mp_error_retry_after_s(mp_Error e);

/*
** Whether an endpoint ran a request: certainly not, perhaps, or certainly.
** It decides whether sending the request again can repeat its work.
*/
typedef enum mp_Ran { MP_RAN_NO, MP_RAN_UNKNOWN, MP_RAN_YES } mp_Ran;

/* "no", "unknown" or "yes", as the "ran" field of answers and logs has it */
MP_API const char *mp_ran_name(mp_Ran r);

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
