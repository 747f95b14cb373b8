/*
** state.h
** What the files of the router share: its tables and open requests
** (router.c, path.c, prefill.c, finish.c), and with nobody else
**
** A function marked "may end" may free the request: it is the last thing
** that its caller does with it.
*/

#ifndef ROUTER_STATE_H
#define ROUTER_STATE_H

#include "router/crash_watch.h"
#include "router/endpoint_table.h"
#include "router/patience.h"
#include "router/rate_limits.h"
#include "router/retry_budget.h"
#include "router/router.h"
#include "router/stages.h"
#include "router/suspicions.h"

/* X(symbol, name); all of them count from the start of the instance */
#define ROUTER_COUNTERS(X)                           \
  X(REQUESTS, "requests")                            \
  X(ANSWERED, "answered")                            \
  X(REFUSED, "refused")                              \
  X(BROKEN_OFF, "broken_off")                        \
  X(HANGUPS, "caller_hangups")                       \
  X(DISPATCHES, "dispatches")                        \
  X(PREFILLS, "prefills")                            \
  X(RETRIES, "retries")                              \
  X(RETRIES_DENIED, "retries_denied")                \
  X(RESUMED, "streams_resumed")                      \
  X(UNREACHABLE, "endpoints_unreachable")            \
  X(NOT_RUN, "dispatches_not_run")                   \
  X(BROKEN, "dispatches_broken")                     \
  X(ORDERS, "orders")                                \
  X(REFUSED_KEY, "refused_for_key")                  \
  X(REFUSED_LIMIT, "refused_for_limit")              \
  X(REFUSED_OLD, "refused_for_old_configuration")    \
  X(REFUSED_HELD, "refused_as_held")                 \
  X(REFUSED_REST, "refused_for_rest")                \
  X(ENDPOINT_ENDS, "endpoints_ended_under_requests") \
  X(STARTED, "requests_started")                     \
  X(STARTED_LATE, "requests_started_late")           \
  X(RATES_BAD, "endpoint_rates_unreadable")          \
  X(SIGNALS_BAD, "endpoint_signals_unreadable")      \
  X(HELD_BACK, "dispatches_held_back")               \
  X(FIELDS_UNKNOWN, "endpoint_fields_unknown")

typedef enum RouterCounter {
#define X(symbol, name) ROUTER_COUNT_##symbol,
  ROUTER_COUNTERS(X)
#undef X
      ROUTER_COUNTER_COUNT
} RouterCounter;

/* what is kept for each service, over configurations */
typedef struct ServiceState {
  RetryBudget budget;
  double mean_prompt;  /* tokens of prompts lately; 0: none came */
  double mean_output;  /* tokens that streams made lately; 0: none ended */
  double prefill_pace; /* prompt tokens read a millisecond; 0: none yet */
} ServiceState;

/* the dispatch that a request waits for */
typedef struct OpenDispatch {
  guint64 number; /* 0: none */
  char *endpoint; /* its id */
  guint32 life;   /* of it: Endpoint.hash */
  guint64 tokens; /* counted at the endpoint */
  gint64 sent;
} OpenDispatch;

typedef enum Phase { PHASE_WAIT, PHASE_PREFILL, PHASE_RUN } Phase;

typedef struct Request {
  guint64 number;
  char *id;
  RouteTable *table;  /* the configuration that it came under */
  const Route *route; /* of that table */
  const Service *service;
  const Account *account; /* of that table; NULL: it needs none */
  char key_digest[MP_SHA256_HEX + 1];
  double cost;     /* taken of the account's limit */
  guint64 content; /* as in CallerRequest */
  guint32 prompt_tokens, output_tokens;
  guint64 session;
  gint64 arrived;
  gint64 caller_deadline; /* when the caller stops waiting */
  gint64 expires;         /* when it gets its last word here */
  Phase phase;
  OpenDispatch open;
  gboolean repeatable;
  unsigned runs;     /* dispatches that have perhaps run */
  unsigned arrivals; /* runs that reached an endpoint, rejected too */
  unsigned prefills; /* prefills that were read to the end */
  unsigned prefills_sent;
  unsigned unreachable;
  gboolean was_rejected;       /* some endpoint turned it away */
  gboolean has_shortage;       /* endpoints take no more, by what they said */
  RefusalKind shortage_reason; /* has_shortage: what they said */
  gint64 start_at;   /* waiting: start then, if there is still room; 0: none */
  gboolean returned; /* it was refused before, and came back */
  gint64 first_attempt_at; /* when its caller tried first, as far as that is
                              known */
  gboolean resumes;     /* its caller lost it half-way: it is late already */
  gint64 come_back;     /* when refused: come back after this; 0: as usual */
  gboolean head_sent;   /* the answer has begun */
  char *last_event;     /* passed on to the caller */
  guint32 made;         /* tokens made, as the events tell */
  gint64 last_piece;    /* when the last piece came; 0: none yet */
  gint64 longest_pause; /* between two pieces, so far */
  char *decode;         /* id of the engine that shall decode */
  guint32 decode_incarnation; /* of it: Endpoint.hash */
  guint64 decode_tokens;      /* reserved there until it is dispatched */
  gboolean is_decode_counted; /* its place in the rate that this one names */
  char *handle;               /* of the prompt that was read, not yet used */
  mp_Addr handle_address;
  char *handle_endpoint;
  gint64 handle_until;
  char *read_by;     /* the engine that read the prompt, or NULL */
  gint64 suspect_at; /* no word of the run by then: doubt the endpoint */
  gint64 stall_at;   /* give the open dispatch up then; 0: never */
  char *excluded[EXCLUDED_ENDPOINTS_MAX];
  guint excluded_count;
} Request;

/* who sends to endpoints that name rates, as it was counted last */
typedef struct RateView {
  const Service *service; /* compared alone, never read */
  gint64 at;
  RateSharers sharers;
} RateView;

struct Router {
  RouterHost host;
  RetryPolicy retry;
  GRand *random;
  guint64 seed;       /* another one at each instance */
  RouteTable *routes; /* NULL: no configuration yet */
  guint64 era;        /* of the store, the latest heard of; 0: none */
  EndpointTable *endpoints;
  GHashTable *services; /* name -> ServiceState */
  PatienceTable *patience_table;
  GHashTable *requests;   /* number -> Request */
  GHashTable *dispatched; /* dispatch number -> Request */
  guint64 last_dispatch;
  unsigned instances;         /* that share the traffic */
  unsigned near;              /* of them, that hear each other's digests */
  gboolean is_listed;         /* these two are known */
  GHashTable *unknown_fields; /* "service field" of those that were logged */
  AccountLimits *limits;
  RateLimits *rates; /* that endpoints name */
  RateView rates_view;
  gint64 shortage_recheck_at; /* who waits looks again then; 0: no need */
  CrashWatch *crashes;      /* endpoints that may have ended under requests */
  Quarantine *quarantine;   /* requests that end endpoints */
  Suspicions *suspicions;   /* ends that are not proved yet */
  gint64 proof_age_max;     /* as in RouterOptions */
  gint64 proved_at;         /* router_configuration_proved */
  gint64 heard_at;          /* router_store_answered; 0: never */
  gint64 news_age_max;      /* as in RouterOptions */
  const NewsState *news;    /* of the configuration; NULL: nobody names any */
  gboolean stopping;        /* no request is taken any more */
  Stages *stages;           /* orders to engines */
  GPtrArray *waiting;       /* Request in PHASE_WAIT, first one first */
  gint64 last_run_end;      /* when the last run at an engine ended */
  double mean_end_interval; /* mean time between such ends, here */
  guint64 plain_version;    /* the same, at plain endpoints */
  guint64 load_version;     /* grows when what is open here changes */
  guint64 counters[ROUTER_COUNTER_COUNT];
  Histogram durations[DURATION_COUNT];
};

/* may a newer configuration say more of a path or a key than the one here? */
gboolean router_may_be_outdated(const Router *router, gint64 now);

#define router_count(router, name) ((router)->counters[ROUTER_COUNT_##name]++)

/* count the time since the request came */
void router_record_duration(Router *router, const Request *request,
                            RouterDuration which, gint64 now);

void router_log(Router *router, mp_EventNo number, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

ServiceState *router_service_state(Router *router, const char *service);
/* the service's budget of extra arrivals */
RetryBudget *router_retry_budget(Router *router, const char *service);

/*
** {==================================================================
** dispatcher.c: where dispatches go out
** ===================================================================
*/

/* send it to this life of the endpoint, which is filled in; its number, or 0
** when the gate is closed: nothing was sent */
guint64 dispatcher_send(Router *router, Dispatch *dispatch, Endpoint *endpoint,
                        gint64 now);

/* }================================================================== */

/*
** {==================================================================
** signals.c: what endpoints tell about themselves
** ===================================================================
*/

/* endpoints that other instances have to hear of, for a digest */
void signals_write_digest(const Router *router, mp_LoadDigest *out,
                          gint64 now);
/* another instance, or a relay, knows that these leave */
void signals_read_digest(Router *router, const mp_LoadDigest *digest,
                         gint64 now);

/* }================================================================== */

/*
** {==================================================================
** path.c: choosing endpoints and sending dispatches
** ===================================================================
*/

/* the stage of the endpoints that run such a request */
EndpointStage path_run_stage(const Request *request);
/* begin; may end */
void path_start(Router *router, Request *request, gint64 now);
/* a decode engine has room: prefill for it, or run there; may end */
void path_start_on_engine(Router *router, Request *request, Endpoint *decode,
                          gint64 now);
/* send the request itself; may end */
void path_run(Router *router, Request *request, gint64 now);
/* may anything be sent for it now? Else '*why' says why not */
gboolean path_may_dispatch(Router *router, Request *request, RefusalKind *why,
                           gint64 now);
/* the endpoint of the open dispatch; NULL when that life is over */
Endpoint *path_open_endpoint(const Router *router, const Request *request);
/* the open dispatch is over: forget it; 'cancel' closes its connection */
void path_close_dispatch(Router *router, Request *request, gboolean cancel);
/* send a dispatch of the request to an endpoint; FALSE: none may go there */
gboolean path_send(Router *router, Request *request, DispatchKind kind,
                   Endpoint *endpoint, guint64 tokens, gint64 now);
/* a wish with what every wish of this request says */
EndpointQuery path_query(Router *router, const Request *request,
                         EndpointStage stage, gint64 now);
void path_exclude(Request *request, const char *endpoint);
gboolean path_is_excluded(const Request *request, const char *endpoint);
/* }================================================================== */

/*
** {==================================================================
** outcomes.c: what becomes of a request when its dispatch ends or is silent
** ===================================================================
*/

/* send it again after a dispatch that failed; may end */
void outcomes_retry(Router *router, Request *request, gboolean may_have_run,
                    gint64 now);
/* a run that may be resumed elsewhere is silent; may end */
void outcomes_handle_stall(Router *router, Request *request, gint64 now);
/* the endpoint of the run is silent for long: others should know */
void outcomes_mark_suspect(Router *router, Request *request, gint64 now);
/* an outcome of the open RUN dispatch; may end */
void outcomes_handle(Router *router, Request *request, const Outcome *outcome,
                     gint64 now);

/* }================================================================== */

/*
** {==================================================================
** estimate.c: what a run will take of an engine
** ===================================================================
*/

/* tokens of memory that a run takes, with room to grow */
guint64 estimate_memory(Router *router, const Request *request);
/* tokens of memory that a run of the service takes, on average over it */
double estimate_mean_memory(Router *router, const Service *service);
/* a stream has ended: how long it was */
void estimate_observe_output(Router *router, const Request *request);
/* a request came: how long its prompt is */
void estimate_observe_prompt(Router *router, const Request *request);

/* }================================================================== */

/*
** {==================================================================
** prefill.c: reading the prompt before the run
** ===================================================================
*/

/* FALSE when there is no engine for it; the decode engine is reserved */
gboolean prefill_begin(Router *router, Request *request, gint64 now);
void prefill_reserve(Router *router, Request *request, Endpoint *decode);
/* read a prompt anew that was read before, where it may be kept still; FALSE
** when that is not possible: nothing is sent then */
gboolean prefill_repeat(Router *router, Request *request, gint64 now);
/* an outcome of the open PREFILL dispatch; may end */
void prefill_handle_outcome(Router *router, Request *request,
                            const Outcome *outcome, gint64 now);
/* it takes too long; may end */
void prefill_handle_stall(Router *router, Request *request, gint64 now);
/* free the handle, if it was not used */
void prefill_drop_handle(Router *router, Request *request, gint64 now);
/* the decode engine's memory is no longer reserved */
void prefill_release_reservation(Router *router, Request *request);

/* }================================================================== */

/*
** {==================================================================
** rates.c: rates that endpoints name
** ===================================================================
*/

/* an answer of the endpoint says this of its rate */
void rates_apply_signal(Router *router, const Endpoint *endpoint,
                        const EndpointSignals *signals, gint64 now);
/* 'service' is NULL where nothing is sent */
RateSharers rates_sharers(Router *router, const Service *service, gint64 now);
/* for the gate: what all instances may send to endpoints of the service */
GateLimits rates_limits(Router *router, const Service *service, gint64 now);
/* endpoints have come or gone */
void rates_endpoints_changed(Router *router);

/* }================================================================== */

/*
** {==================================================================
** shortage.c: endpoints want fewer requests than there are
** ===================================================================
*/

/* no endpoint took the request: if that is for what they said of rests and
** rates, note why, and when its caller may come back */
void shortage_record(Router *router, Request *request, gint64 now);
/* do all endpoints that could run it rest for longer than this? */
gboolean shortage_outlasts(const Router *router, const Request *request,
                           gint64 span, gint64 now);
/* who waits for an engine looks again soon, where engines rest or name rates
 */
void shortage_schedule_recheck(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** admission.c: waiting for room at the decode engines
** ===================================================================
*/

/* start the request, or let it wait, or refuse it; may end */
void admission_enter(Router *router, Request *request, gint64 now);
/* its prompt is read but no engine has room: wait while the handle lives */
void admission_requeue(Router *router, Request *request, gint64 now);
/* it waits no more */
void admission_leave(Router *router, Request *request);
/* its time to be looked at has come; may end */
void admission_review(Router *router, Request *request, gint64 now);
/* its turn has come: start it if there is still room; may end */
void admission_take_turn(Router *router, Request *request, gint64 now);
/* how long the first waiting request has waited, 0 when there is none */
gint64 admission_oldest_wait(const Router *router, gint64 now);
/* how many wait here that can still be answered in time */
guint admission_count_in_time(const Router *router, gint64 now);
/* there may be room: start what fits */
void admission_start_waiting(Router *router, gint64 now);
/* a run at an engine ended */
void admission_note_run_end(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** accounts.c: whose request it is, and whether it may run
** ===================================================================
*/

/* FALSE: refuse it so. Else what it costs is taken from the account's limit;
** the account is NULL when none is needed */
gboolean accounts_admit(Router *router, const CallerRequest *call,
                        const Route *route, const Account **account,
                        Refusal *refusal, gint64 now);
/* note the account in a new request */
void accounts_attach(Request *request, const CallerRequest *call,
                     const Account *account);
/* may anything be sent for it now? Else '*why' says why not */
gboolean accounts_may_dispatch(Router *router, const Request *request,
                               RefusalKind *why, gint64 now);
/* it reached no endpoint: its cost goes back to the limit */
void accounts_refund(Router *router, const Request *request);
/* who shares the limits */
LimitSharers accounts_sharers(const Router *router, gint64 now);
/* since the configuration was certainly the newest; -1: not known */
gint64 accounts_configuration_age(const Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** lives.c: lives of endpoints
** ===================================================================
*/

/* a watch whose checks are dispatches, and that strikes suspects */
CrashWatch *lives_new_crash_watch(Router *router);

/* }================================================================== */

/*
** {==================================================================
** suspects.c: requests that end the endpoints that run them
** ===================================================================
*/

/* FALSE: it is held; '*why' says so, and when to come back is noted in it */
gboolean suspects_may_dispatch(Router *router, Request *request,
                               RefusalKind *why, gint64 now);
/* it broke off there: if the endpoint has ended, that may be its doing */
void suspects_note_broken(Router *router, const Request *request,
                          const Endpoint *endpoint, gint64 now);
/* an endpoint's life ended under it */
void suspects_add_strike(Router *router, const QuarantineSuspect *suspect,
                         guint32 life, gint64 now);
/* the endpoint of the open dispatch has answered something: it lives */
void suspects_note_answer(Router *router, const Request *request, gint64 now);
/* a run of it ended well */
void suspects_note_success(Router *router, const Request *request);
/* refuse the waiting requests that are held now; they end */
void suspects_refuse_held(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** finish.c: how a request ends. All of these end it
** ===================================================================
*/

/* what a refusal is called in logs, and when to come back after it */
const char *finish_refusal_name(RefusalKind kind);
gint64 finish_default_retry_ms(RefusalKind kind);

void finish_answered(Router *router, Request *request, const Outcome *outcome);
void finish_refuse(Router *router, Request *request, RefusalKind kind);
/* its key or the configuration's age forbids to send anything more */
void finish_forbidden(Router *router, Request *request, RefusalKind why,
                      gint64 now);
/* no further try: say what is known about whether it ran */
void finish_give_up(Router *router, Request *request, gint64 now);
/* its time is over */
void finish_expire(Router *router, Request *request, gint64 now);
void finish_hangup(Router *router, Request *request, gint64 now);

/* }================================================================== */

#endif
