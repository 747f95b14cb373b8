/*
** mpbase.h
** Times, addresses, and the errors of the library
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

/* monotonic time in microseconds; the origin is the host's */
typedef int64_t mp_Time;

/* an IPv4 address and port: address << 16 | port; 0 is "none" */
typedef uint64_t mp_Addr;

typedef struct mp_State mp_State;

/*
** {==================================================================
** Errors
** Each kind has a name, an HTTP status, and a message that says what to
** do. X(symbol, name, status, seconds until coming back or 0, message)
** ===================================================================
*/

#define MP_ERRORS(X)                                                        \
  X(NONE, "none", 200, 0, "")                                               \
  X(NO_CONFIG, "no_configuration", 503, 5,                                  \
    "no configuration is in force here; apply one, or come back later")     \
  X(PLACE, "place_forbidden", 403, 0,                                       \
    "no data centre where this kind of request may run can serve it; "      \
    "see 'madderpier explain', then change the rule or the pools")          \
  X(PLACE_AWAY, "place_unavailable", 503, 5,                                \
    "the data centres where this kind of request may run have no engine "   \
    "free or in reach; come back after Retry-After")                        \
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
    "the account's limit is used up; come back after Retry-After")          \
  X(OVERLOAD, "overloaded", 503, 2,                                         \
    "the request would miss its target; come back after Retry-After")       \
  X(DUPLICATE, "duplicate_request", 409, 0,                                 \
    "a request with this ID was taken before; look up its outcome, or use " \
    "a new ID for new work")                                                \
  X(CLAIM, "claim_unavailable", 503, 5,                                     \
    "the request's ID cannot be claimed now, so it was not run; come back " \
    "after Retry-After with the same ID")                                   \
  X(DEADLINE, "deadline_passed", 504, 1,                                    \
    "the deadline of the class passed; come back after Retry-After")        \
  X(LOST, "outcome_unknown", 502, 0,                                        \
    "the endpoint was lost while it worked; check whether the work was "    \
    "done before sending it again")                                         \
  X(INCOMPLETE, "answer_incomplete", 502, 1,                                \
    "the answer broke off and could not be resumed; discard it and send "   \
    "the request again")                                                    \
  X(DRAINING, "draining", 503, 1,                                           \
    "this instance is leaving; send the request again to another one")      \
  X(BAD_REQUEST, "bad_request", 400, 0,                                     \
    "the request is malformed; correct it as the detail says")              \
  X(TOO_LARGE, "too_large", 413, 0,                                         \
    "the request is larger than the limit; shorten it")                     \
  X(TIMEOUT, "request_timeout", 408, 1,                                     \
    "the request did not arrive whole in time; send it again")              \
  X(METHOD, "method_not_allowed", 405, 0,                                   \
    "the method is not served under this path; use the documented one")     \
  X(REJECTED, "endpoint_rejected", 502, 0,                                  \
    "the endpoint rejected the request; correct it as the detail says")     \
  X(STORE, "platform_unavailable", 503, 5,                                  \
    "the platform's service does not answer; try again later")              \
  X(CONFLICT, "conflict", 409, 0,                                           \
    "another change came first; look at it with 'madderpier diff', then "   \
    "apply again")                                                          \
  X(SETTINGS, "bad_settings", 400, 0,                                       \
    "the settings or configuration are wrong; correct the place named")

typedef enum mp_Error {
#define X(sym, name, status, retry, text) MP_ERR_##sym,
  MP_ERRORS(X)
#undef X
      MP_ERR_COUNT
} mp_Error;

/* GError domain of the library; codes are mp_Error */
#define MP_ERROR (mp_error_domain())
MP_API GQuark mp_error_domain(void);

MP_API const char *mp_error_name(mp_Error e);
MP_API const char *mp_error_text(mp_Error e);
MP_API int mp_error_status(mp_Error e);
/* seconds after which coming back makes sense, 0 where it does not */
MP_API int mp_error_retry_after_s(mp_Error e);

/* what is known about whether a request was run by an endpoint */
typedef enum mp_Ran { MP_RAN_NO, MP_RAN_UNKNOWN, MP_RAN_YES } mp_Ran;

MP_API const char *mp_ran_name(mp_Ran r);

/* }================================================================== */

#ifdef __cplusplus
}
#endif

#endif
