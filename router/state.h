/*
** state.h
** The internals of the router: its state, its open requests, and the functions
** that its files offer to each other
**
** Only files of router/ include this. Each section below names the file that
** implements it. A request that takes a stream up waits in continuation.c
** until it is known where the stream began. A request for an engine passes
** through admission.c (waits for room at a decode engine), prefill.c (has its
** prompt read) and path.c (is run); a request for a plain service goes to
** path.c at once. outcomes.c and prefill.c handle what becomes of the
** dispatches; finish.c ends the request.
**
** A function marked "may end" may end and free the request, so the caller must
** not use the request afterwards.
**
** Times are microseconds of the host's steady clock; terms are explained in
** router.h.
*/

#ifndef ROUTER_STATE_H
#define ROUTER_STATE_H

#include "router/crash_watch.h"
#include "router/endpoint_choice.h"
#include "router/patience.h"
#include "router/rate_limits.h"
#include "router/reach.h"
#include "router/retry_budget.h"
#include "router/router.h"
#include "router/run_times.h"
#include "router/stages.h"
#include "router/stream_origins.h"
#include "router/suspicions.h"
#include "router/unproved_runs.h"

/* X(symbol, name): the counters, from the start of the instance. The names are
** those of the metrics. */
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
  X(PREEMPTIONS, "runs_preempted")                   \
  X(REFUSED_DEADLINE, "refused_for_deadline")        \
  X(REFUSED_STOP, "refused_for_stop")                \
  X(RATES_BAD, "endpoint_rates_unreadable")          \
  X(SIGNALS_BAD, "endpoint_signals_unreadable")      \
  X(HELD_BACK, "dispatches_held_back")               \
  X(FIELDS_UNKNOWN, "endpoint_fields_unknown")       \
  X(TAKEN_UP, "streams_taken_up")                    \
  X(REFUSED_ORIGIN, "refused_for_unknown_stream")    \
  X(REFUSED_VERSION, "refused_for_version")          \
  X(ORIGINS_LEFT_OUT, "stream_origins_left_out")     \
  X(ORIGINS_RECORDED, "stream_origins_recorded")     \
  X(RECORDS_MISSED, "stream_records_missed")         \
  X(PIECES_HELD, "first_pieces_held")                \
  X(PIECES_HELD_MS, "first_pieces_held_ms")          \
  X(ORIGIN_LISTS, "stream_origin_lists")             \
  X(ORIGINS_STORED, "streams_known_from_store")      \
  X(VERSIONS_ADDED, "stream_versions_added")         \
  X(VERSIONS_REMOVED, "stream_versions_removed")     \
  X(PREFILLS_AT_DECODE, "prefills_at_decode")        \
  X(PROMPTS_REJECTED, "prompts_rejected")

typedef enum RouterCounter {
#define X(symbol, name) ROUTER_COUNT_##symbol,
  ROUTER_COUNTERS(X)
#undef X
      ROUTER_COUNTER_COUNT
} RouterCounter;

/* What is learned about a service; it outlasts configurations. */
typedef struct ServiceState {
  RetryBudget budget;   /* for extra arrivals of its requests at endpoints */
  double mean_prompt;   /* moving mean of prompts, in tokens; 0: none came */
  double mean_output;   /* moving mean of what streams generated, in tokens; 0:
                        ** none ended */
  double mean_run;      /* moving mean of the duration of runs that ended with
                        ** a whole stream, us; 0: none ended */
  double prefill_pace;  /* prompt tokens read in a ms, queueing included unless
                        ** Router.overload_control is set; 0: not known */
  gint64 objective_min; /* shortest objective of the routes to the service, us;
                        ** 0: none is */
  guint64 objective_version; /* of the configuration that has it; 0: none */
  RunTimes run_times;        /* of its requests that got whole answers */
} ServiceState;

/* The dispatch whose outcome a request waits for. */
typedef struct OpenDispatch {
  guint64 number;        /* 0: none */
  char *endpoint;        /* id; owned */
  guint32 life;          /* the endpoint's incarnation: Endpoint.hash */
  guint64 software;      /* Endpoint.software */
  guint64 tokens;        /* counted in Endpoint.tokens for it */
  guint64 ahead;         /* PREFILL: prompt tokens that were open at the engine
                         ** before; 0 without Router.overload_control */
  mp_Addr via;           /* as Dispatch.via */
  gint64 sent;           /* when */
  gint64 patience_until; /* a silent one at an endpoint that can be connected
                         ** to is replaced then; 0: it is not late yet, or has
                         ** been heard since */
} OpenDispatch;

/* The most instances, beside the one where a stream began, that are told of
** its origin. With four in ten instances killed at once, all of them and that
** one are lost for one stream in 250. */
#define STREAM_REPLICAS_MAX 5

/* Asks other instances where the stream began that a request takes up
** (origin_query.h). */
typedef struct OriginQuery {
  guint32 number; /* that replies name */
  guint asked;    /* of 'replicas' */
  guint replied;
  mp_Addr replicas[STREAM_REPLICAS_MAX];
  gboolean has_replied[STREAM_REPLICAS_MAX];
  guint64 only;        /* the only version of the service by the first reply
                       ** that named one; 0: none has */
  guint confirmed;     /* replies that named it */
  guint confirmed_far; /* of these, from other data centres */
  /* a replica knew neither the origin nor this version as the only one */
  gboolean is_disputed;
  gboolean has_several; /* a replica's list has had several versions */
  gboolean is_listed;   /* the store's origins were read, and lack it: the set
                        ** of versions decides */
  gboolean asks_store;  /* the replicas did not know it: the store is asked */
} OriginQuery;

/* The first piece of a stream that is held until its origin is written to the
** store (origin_store.h). */
typedef struct PieceHold {
  gint64 since;     /* 0: nothing is held */
  gint64 until;     /* it is passed on then at the latest */
  gint64 repeat_at; /* another recorder is asked then; 0: none is */
  guint32 number;   /* that the recorder's reply names */
  mp_Addr recorder; /* that was asked last */
} PieceHold;

typedef enum Phase {
  PHASE_ORIGIN,  /* 'query' is open */
  PHASE_WAIT,    /* in Router.waiting, for room at a decode engine */
  PHASE_PREFILL, /* the open dispatch reads its prompt */
  PHASE_RUN      /* the open dispatch runs it */
} Phase;

/* An open request. Texts are owned unless a comment says otherwise. */
typedef struct Request {
  guint64 number;    /* of CallerRequest */
  char *id;          /* the caller's */
  RouteTable *table; /* the configuration in force when it came; a reference */
  const Route *route;     /* of 'table' */
  const Service *service; /* of 'table' */
  const Account *account; /* of 'table'; NULL: it needs none */
  char key_digest[MP_SHA256_HEX + 1];
  double cost; /* charged to the account's limit, in the limit's unit */
  gboolean is_cost_pending; /* the cost was charged, and no RUN was sent yet */
  guint64 content; /* hash of CallerRequest.content and the account's name;
                   ** names the request in the quarantine */
  guint64 parts[CALLER_PARTS_MAX]; /* name the parts of its prompt that others
                                   ** may have, in the quarantine */
  guint parts_count;
  guint64 trial;          /* the held part for whose trial it runs; 0: none */
  guint trial_strikes;    /* that part's strikes when the trial began */
  gboolean is_probe;      /* it runs as a probe after a hold */
  guint probe_runs;       /* 'runs' when the probe began */
  gboolean is_acquitting; /* its open run has acquitted its parts */
  guint32 prompt_tokens, output_tokens;
  guint32 expected_output; /* admission_order_expected_output */
  guint priority;          /* request_priority */
  gboolean preempts;       /* it was sent to an engine without room for it, to
                           ** displace a less urgent run there */
  gint64 queued_at;        /* when it last entered the queue */
  gint64 waited;           /* time in the queue before 'queued_at', us */
  guint64 session;
  gint64 arrived;
  gint64 caller_deadline; /* when the caller stops waiting */
  gint64 expires;         /* when the router ends it at the latest */
  Phase phase;
  OpenDispatch open;
  gboolean repeatable;    /* it may run more than once (route_is_repeatable) */
  unsigned runs;          /* RUN dispatches that ended and may have run */
  unsigned arrivals;      /* RUN dispatches that ended and had reached an
                          ** endpoint, rejected ones too */
  unsigned prefills;      /* PREFILL dispatches that succeeded */
  unsigned prefills_sent; /* all PREFILL dispatches */
  unsigned unreachable;   /* RUN dispatches that reached no endpoint */
  gboolean was_rejected; /* an endpoint rejected it or had no room, or no retry
                         ** was left for its prompt */
  gboolean has_shortage; /* endpoints could run it but for their rests and
                         ** rates (shortage.c) */
  RefusalKind shortage_reason; /* has_shortage: REST or RATE */
  gint64 start_at; /* PHASE_WAIT: start then if there is room; 0: not set */
  gboolean over_share; /* its account was over its share when this was last
                       ** checked: at entry and at each review */
  gboolean is_caller_retry; /* it is taken for its caller's retry
                            ** (patience.h) */
  gint64 first_attempt_at;  /* when its caller tried first, estimated */
  gboolean resumes;         /* of CallerRequest */
  gboolean has_stream; /* 'stream' names the stream that it begins or takes up;
                       ** else nothing is known of that stream */
  StreamKey stream;
  guint64 software;   /* the version at which its stream began; 0: none yet */
  gboolean has_piece; /* a piece was passed on */
  OriginQuery query;
  PieceHold hold;
  gint64 come_back;     /* when refused: the caller may retry after this, us;
                        ** 0: after finish_default_retry_ms */
  gboolean head_sent;   /* the head of a stream was passed on */
  char *last_event;     /* id of the last one passed on; NULL: none */
  guint32 tokens_made;  /* tokens generated so far, computed from
                        ** event ids */
  gint64 last_piece;    /* when the last piece came; 0: none yet */
  gint64 run_piece_at;  /* when the first piece of the open run came; 0: none
                        ** yet */
  gint64 longest_pause; /* longest time between two pieces so far */
  char *decode;         /* id of the decode engine whose memory is reserved;
                        ** NULL: none */
  guint32 decode_incarnation; /* its Endpoint.hash */
  guint64 decode_tokens;      /* reserved there, until the run is sent */
  gboolean is_decode_counted; /* the run was counted in that engine's rate
                              ** when the memory was reserved */
  char *handle;               /* of its prefilled prompt, not used yet; NULL:
                              ** none */
  mp_Addr handle_address;     /* of the engine that holds it */
  char *handle_endpoint;      /* id of that engine */
  gint64 handle_until;        /* when it expires, with a margin */
  char *read_by; /* id of the engine that prefilled the prompt last, or NULL */
  gint64 suspect_at;    /* the endpoint is suspected if the run is silent until
                        ** then; 0: not set */
  gint64 path_check_at; /* the path to the endpoint of a stream or prefill is
                        ** checked if the endpoint is silent until then; 0: not
                        ** set */
  gint64 stall_at; /* PHASE_WAIT: time of the next review; else: when the open
                   ** dispatch counts as stalled; 0: never */
  char *excluded[EXCLUDED_ENDPOINTS_MAX]; /* ids of endpoints that failed it */
  guint excluded_count;
} Request;

/* Who shares the rates of a service's endpoints, as last computed by
** rates.c. */
typedef struct RateView {
  const Service *service; /* only compared, never dereferenced */
  gint64 at;              /* when */
  RateSharers sharers;
} RateView;

struct Router {
  RouterHost host;
  RetryPolicy retry;
  GRand *random;
  guint64 seed;       /* differs between instances */
  mp_Addr self;       /* as in RouterOptions */
  RouteTable *routes; /* NULL: no configuration yet */
  guint64 era;        /* the newest era of the store that is known; 0: none */
  EndpointTable *endpoints;
  GHashTable *services; /* name -> ServiceState; both owned */
  PatienceTable *patience_table;
  GHashTable *requests;             /* number -> Request (owned) */
  GHashTable *requests_by_dispatch; /* open dispatch's number -> Request */
  guint64 last_dispatch;
  unsigned instances;         /* instances that share the traffic */
  unsigned near;              /* near ones among them (router.h) */
  gboolean has_instance_list; /* router_set_instances was called */
  GHashTable *unknown_fields; /* "service field" of those already logged */
  AccountLimits *limits;
  gint64 started_at;          /* of this router */
  gboolean is_limits_unknown; /* a request was refused because the level of its
                              ** limit is unknown, and some still are */
  RateLimits *rates;          /* named by endpoints */
  RateView rates_view;
  gint64 shortage_recheck_at;        /* when waiting requests are checked again
                                     ** because of rests and rates; 0: no need */
  Reach *reach;                      /* the paths to endpoints */
  struct Continuation *continuation; /* origins of streams */
  struct SoftwareSets
      *software_sets;     /* versions of new streams (software_set.h)
                           */
  CrashWatch *crashes;    /* endpoints that may have crashed under requests */
  Quarantine *quarantine; /* requests under which endpoints crashed */
  Suspicions *suspicions; /* crashes that are not certain yet */
  UnprovedRuns *unproved_runs; /* good runs that are not certain yet */
  gboolean overload_control;   /* as in RouterOptions */
  gint64 judged_at;            /* when endpoints were last judged */
  gint64 judge_at; /* when they are to be judged again; 0: no need */
  gboolean has_judged_reports; /* there were reports to judge then */
  guint down_endpoints;        /* as of then */
  gint64 proof_age_max;        /* as in RouterOptions */
  gint64 proved_at;         /* from router_configuration_proved; < 0: none */
  gint64 store_answered_at; /* from router_store_answered; 0: never */
  gint64 stood_still_until; /* end of the last pause; 0: there was none */
  gint64 news_age_max;      /* as in RouterOptions */
  struct OriginStore *origin_store; /* origins of streams in the store */
  const NewsState *news; /* of the configuration; borrowed; may be NULL */
  gint64 stop_ends_at;   /* of router_begin_stop; 0: not called */
  gboolean stopping;     /* router_stop_accepting was called */
  Stages *stages;        /* changes of engines' stages */
  GPtrArray *waiting;    /* Requests in PHASE_WAIT, those with a handle first;
                         ** borrowed */
  gint64 last_run_end;   /* when a stream last ended here; 0: never */
  double mean_end_interval; /* moving mean of the time between such ends, us */
  guint64 plain_version;    /* grows when what is open at plain endpoints
                            ** changes, which is less urgent */
  guint64 load_version;     /* grows when the near instances should know a
                            ** change at once: of open dispatches and
                            ** reservations at engines, of the queue, or of
                            ** some states of endpoints */
  guint64 counters[ROUTER_COUNTER_COUNT];
  guint64 started_by_priority[PRIORITY_COUNT]; /* requests for engines */
  guint64 refused_by_priority[PRIORITY_COUNT];
  guint64 refusals[REFUSAL_KIND_COUNT];
  Histogram durations[DURATION_COUNT];
};

/* Returns TRUE if a newer configuration may exist that has a route or a key
** which the one here lacks. */
gboolean router_may_be_outdated(const Router *router, gint64 now);
/* Returns the age in us of the lists known here (router_store_answered);
** G_MAXINT32 if none was confirmed yet. */
gint64 router_news_age(const Router *router, gint64 now);

#define router_count(router, name) ((router)->counters[ROUTER_COUNT_##name]++)

/* Adds the time since the request arrived to a histogram, and that of a whole
** answer to the service's run times. */
void router_record_duration(Router *router, const Request *request,
                            RouterDuration which, gint64 now);

/* Logs an event with a printf-like text of key=value items; it is cut to 511
** bytes. */
void router_log(Router *router, mp_EventNo number, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/* Returns the state of a service, which is created if there is none. */
ServiceState *router_service_state(Router *router, const char *service);
/* Returns the retry budget in that state. */
RetryBudget *router_retry_budget(Router *router, const char *service);

/*
** {==================================================================
** dispatcher.c: sending dispatches
** ===================================================================
*/

/* Sends a dispatch to this incarnation of an endpoint; fills in its number and
** the endpoint. Returns the number, or 0 if the gate (gate.h) forbids it and
** nothing was sent. */
guint64 dispatcher_send(Router *router, Dispatch *dispatch, Endpoint *endpoint,
                        gint64 now);

/* }================================================================== */

/*
** {==================================================================
** signals.c: what endpoints announce about themselves
** ===================================================================
*/

/* Writes the leaving endpoints that other instances have to know into a
** digest. */
void signals_write_digest(const Router *router, mp_LoadDigest *out,
                          gint64 now);
/* Handles the leaving endpoints in the digest of another instance or relay. */
void signals_read_digest(Router *router, const mp_LoadDigest *digest,
                         gint64 now);

/* }================================================================== */

/*
** {==================================================================
** endpoint_health.c: which endpoints are down
** ===================================================================
*/

/* Judges the endpoints by what the other instances report and logs changes.
** Does nothing if that was done a few ms ago. */
void endpoint_health_update(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** path.c: choosing endpoints and sending dispatches
** ===================================================================
*/

/* Returns the stage of the endpoints that can run such a request. */
EndpointStage path_run_stage(const Request *request);
/* Starts a new request; may end. */
void path_start(Router *router, Request *request, gint64 now);
/* Starts a request for which this decode engine has room: sends a prefill, or
** runs the request there; may end. */
void path_start_on_engine(Router *router, Request *request, Endpoint *decode,
                          gint64 now);
/* Puts a request whose runs reached no engine back into the queue while the
** handle of its prefill is valid. Returns FALSE if it may not wait again, or
** without RouterOptions.overload_control. */
gboolean path_return_to_queue(Router *router, Request *request, gint64 now);
/* Sends the request itself (RUN) to the best endpoint; may end. */
void path_run(Router *router, Request *request, gint64 now);
/* The same for a request for which path_may_dispatch has just returned TRUE.
 */
void path_run_allowed(Router *router, Request *request, gint64 now);
/* Returns TRUE if dispatches may be sent for the request now; else sets '*why'
** to the refusal. */
gboolean path_may_dispatch(Router *router, Request *request, RefusalKind *why,
                           gint64 now);
/* Returns the endpoint of the open dispatch; NULL if that incarnation is no
** longer known. */
Endpoint *path_open_endpoint(const Router *router, const Request *request);
/* Ends the open dispatch, if there is one; 'cancel' also cancels it at the
** host, which closes its connection. */
void path_close_dispatch(Router *router, Request *request, gboolean cancel);
/* Sends a RUN or PREFILL to an endpoint and counts 'tokens' there. Returns
** FALSE if the gate forbids it. */
gboolean path_send(Router *router, Request *request, DispatchKind kind,
                   Endpoint *endpoint, guint64 tokens, gint64 now);
/* Returns an endpoint query with what all queries for this request have in
** common; its pointers borrow from the request. */
EndpointQuery path_query(Router *router, const Request *request,
                         EndpointStage stage, gint64 now);
/* Excludes an endpoint from later choices for the request; ignored beyond
** EXCLUDED_ENDPOINTS_MAX of them. */
void path_exclude(Request *request, const char *endpoint);
/* Returns TRUE if the endpoint was excluded so. */
gboolean path_is_excluded(const Request *request, const char *endpoint);

/* }================================================================== */

/*
** {==================================================================
** outcomes.c: what becomes of a request when its RUN ends or is silent
** ===================================================================
*/

/* Sends the request again after a dispatch that failed, if that is allowed;
** otherwise ends it. */
void outcomes_retry(Router *router, Request *request, gboolean may_have_run,
                    gint64 now);
/* Handles a run that has been silent for too long: runs it elsewhere if that
** is allowed; may end. */
void outcomes_handle_stall(Router *router, Request *request, gint64 now);
/* Counts a failure of the endpoint of a silent run, and tells other
** instances. */
void outcomes_mark_suspect(Router *router, Request *request, gint64 now);
/* Has the path to the endpoint of a stream that pauses checked. */
void outcomes_check_path(Router *router, Request *request, gint64 now);
/* Handles an outcome of the open RUN dispatch; may end. */
void outcomes_handle(Router *router, Request *request, const Outcome *outcome,
                     gint64 now);

/* }================================================================== */

/*
** {==================================================================
** estimate.c: the memory that a run will take at an engine
** ===================================================================
*/

/* Returns the memory to plan for the run, in tokens: the prompt, what was
** generated, and room to grow. */
guint64 estimate_memory(Router *router, const Request *request);
/* Returns the memory that a run of the service takes on average over its
** duration, in tokens. */
double estimate_mean_memory(Router *router, const Service *service);
/* Records the output length of a stream that has ended. */
void estimate_observe_output(Router *router, const Request *request);
/* Records the prompt length of a new request. */
void estimate_observe_prompt(Router *router, const Request *request);

/* }================================================================== */

/*
** {==================================================================
** prefill.c: prefilling the prompt before the run
** ===================================================================
*/

/* Sends a PREFILL. Returns FALSE if none can be sent; the reservation of the
** decode engine stays. */
gboolean prefill_begin(Router *router, Request *request, gint64 now);
/* Returns the limit on the load of a decode engine where the request may
** start: NULL (none) if a prefill engine can take its prompt now or none can
** be used, else that of an idle engine, which can read the prompt itself.
** Without Router.overload_control always NULL. */
const PrefillLimit *prefill_decode_limit(Router *router,
                                         const Request *request, gint64 now);
/* Returns how many prompts like that of the request the prefill engines can
** take now; G_MAXUINT if that does not limit its start. */
guint prefill_count_places(Router *router, const Request *request, gint64 now);
/* Returns the name, static, of the stage that a request waits for. */
const char *prefill_short_stage(Router *router, const Request *request,
                                gint64 now);
/* Reserves memory for the run at a decode engine. */
void prefill_reserve(Router *router, Request *request, Endpoint *decode);
/* Prefills a prompt again at the engine that prefilled it before and may still
** have it in memory. Returns FALSE, with nothing sent, if that is not
** possible. */
gboolean prefill_repeat(Router *router, Request *request, gint64 now);
/* Handles an outcome of the open PREFILL dispatch; may end. */
void prefill_handle_outcome(Router *router, Request *request,
                            const Outcome *outcome, gint64 now);
/* Has the path to the engine of a PREFILL checked that is late soon. */
void prefill_check_path(Router *router, Request *request, gint64 now);
/* Handles a PREFILL that takes too long; may end. */
void prefill_handle_stall(Router *router, Request *request, gint64 now);
/* Releases the handle, if there is an unused one. */
void prefill_drop_handle(Router *router, Request *request, gint64 now);
/* Gives the memory reserved at the decode engine back, if there is any. */
void prefill_release_reservation(Router *router, Request *request);

/* }================================================================== */

/*
** {==================================================================
** rates.c: the rates that endpoints name
** ===================================================================
*/

/* Applies what an answer of the endpoint says about its rate. */
void rates_apply_signal(Router *router, const Endpoint *endpoint,
                        const EndpointSignals *signals, gint64 now);
/* Returns who shares the rates; 'service' is NULL where nothing is to be
** sent. */
RateSharers rates_sharers(Router *router, const Service *service, gint64 now);
/* Returns the limits, for the gate, on what all instances may send to
** endpoints of the service. */
GateLimits rates_limits(Router *router, const Service *service, gint64 now);
/* Drops the rates of incarnations that are no longer listed. */
void rates_endpoints_changed(Router *router);

/* }================================================================== */

/*
** {==================================================================
** shortage.c: endpoints accept fewer requests than there are
** ===================================================================
*/

/* Records in a request for which no endpoint was found whether rests or rates
** are the reason, and when its caller may retry. */
void shortage_record(Router *router, Request *request, gint64 now);
/* Returns TRUE if there are endpoints that could run the request and all of
** them rest for more than 'duration' microseconds. */
gboolean shortage_outlasts(const Router *router, const Request *request,
                           gint64 duration, gint64 now);
/* Schedules the next check of the waiting requests while endpoints rest or
** name rates. */
void shortage_schedule_recheck(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** admission.c: the queue of requests that wait for a decode engine
** ===================================================================
*/

/* Starts a new request, queues it, or refuses it; may end. */
void admission_enter(Router *router, Request *request, gint64 now);
/* Queues a request again whose prompt is prefilled but for which no engine has
** room; it waits while the handle is valid. One whose prompt is not prefilled
** may be queued too; its caller then sets the time of the next review. */
void admission_requeue(Router *router, Request *request, gint64 now);
/* Removes a request from the queue, if it is in it. */
void admission_leave(Router *router, Request *request);
/* Reviews a waiting request at the time set for it: refuses it if its wait is
** too long; may end. */
void admission_review(Router *router, Request *request, gint64 now);
/* Starts a waiting request at the time set for it, if there is still room; may
** end. */
void admission_take_turn(Router *router, Request *request, gint64 now);
/* Starts the waiting requests that fit; called whenever there may be room. */
void admission_start_waiting_requests(Router *router, gint64 now);
/* Records that the stream of this request ended, which frees memory. */
void admission_note_run_end(Router *router, const Request *request,
                            gint64 now);
/* Returns TRUE if a run of the request that starts now is expected to outlast
** the request's deadline. */
gboolean admission_is_too_late(Router *router, const Request *request,
                               gint64 now);
/* Refuses a request for that reason; ends it. */
void admission_refuse_too_late(Router *router, Request *request, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** preemption.c: engines where an urgent request may displace another one
** ===================================================================
*/

/*
** Returns the decode engine with the least planned memory among those where a
** less urgent run of this instance can be displaced; NULL if there is none.
** Runs of other instances are not known by priority. An engine that already
** has a request beyond its memory does not fit, so that no second run is
** displaced there before the first one has ended.
*/
Endpoint *preemption_find_engine(Router *router, const Request *request,
                                 gint64 now);

/* }================================================================== */

/*
** {==================================================================
** accounts.c: the client account of a request, and whether it may run
** ===================================================================
*/

/* Finds the account of a new request and charges the request's cost to its
** limit; '*account' is NULL if none is needed. Returns FALSE, with the refusal
** filled in, if the request must be refused. */
gboolean accounts_admit(Router *router, const CallerRequest *call,
                        const Route *route, const Account **account,
                        Refusal *refusal, gint64 now);
/* Sets the account of a new request. */
void accounts_attach(Request *request, const CallerRequest *call,
                     const Account *account);
/* Returns TRUE if the request's key and the age of the configuration allow
** dispatches now; else sets '*why' to the refusal. */
gboolean accounts_may_dispatch(Router *router, const Request *request,
                               RefusalKind *why, gint64 now);
/* Returns TRUE if requests wait for room, here or at other instances, and the
** request's account uses more than its share of what engines complete. */
gboolean accounts_is_over_share(Router *router, const Request *request,
                                gint64 now);
/* Notes that a RUN of the request was sent. */
void accounts_note_run(Router *router, Request *request);
/* Gives the cost of a request that did not run back to its account's limit. */
void accounts_refund(Router *router, Request *request);
/* Logs when the levels of all limits have become known, after a request was
** refused because its limit's was not. */
void accounts_update_levels(Router *router, gint64 now);
/* Returns who shares the accounts' limits. */
LimitSharers accounts_sharers(const Router *router, gint64 now);
/* Returns the time since the configuration was certainly the newest, us; -1:
** not known. */
gint64 accounts_configuration_age(const Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** lives.c: incarnations of endpoints
** ===================================================================
*/

/* Creates a crash watch that checks endpoints by CHECK dispatches and adds
** strikes to suspects. The caller frees it with crash_watch_free. */
CrashWatch *lives_new_crash_watch(Router *router);

/* }================================================================== */

/*
** {==================================================================
** pause.c: pauses of this instance
** ===================================================================
*/

/* Returns TRUE if the list of endpoints was complete at a time since the last
** pause. */
gboolean pause_is_list_confirmed(const Router *router);

/* }================================================================== */

/*
** {==================================================================
** suspects.c: requests under which endpoints crash (quarantine.h)
** ===================================================================
*/

/* Returns FALSE if the request is held or suspected; then sets '*why', and
** Request.come_back to when its caller may retry. */
gboolean suspects_may_dispatch(Router *router, Request *request,
                               RefusalKind *why, gint64 now);
/* Sets the query's crashed incarnations: those that are known or suspected to
** have ended while they ran the request. */
void suspects_list_crashed(const Router *router, const Request *request,
                           EndpointQuery *query, gint64 now);
/* The request's dispatch broke off at this endpoint: if the endpoint has
** crashed, the request may be the cause. */
void suspects_note_broken(Router *router, const Request *request,
                          const Endpoint *endpoint, gint64 now);
/* Adds a strike: an incarnation of an endpoint crashed under the request. */
void suspects_add_strike(Router *router, const QuarantineSuspect *suspect,
                         guint32 life, gint64 now);
/* A piece of the request's open run has come: if its endpoint has written for
** a while, it has not crashed on the prompt. */
void suspects_note_piece(Router *router, Request *request, gint64 now);
/* The endpoint of the open dispatch has answered, so it has not crashed. */
void suspects_note_answer(Router *router, const Request *request, gint64 now);
/* How a run that was answered has ended. */
typedef enum RunEnd {
  RUN_FAILED,   /* the answer says so, or is none */
  RUN_UNPROVED, /* the answer ended with its connection: the endpoint may have
                ** crashed (router/unproved_runs.h) */
  RUN_WRITTEN   /* the endpoint wrote the answer to its end, so it has not
                ** crashed on the prompt */
} RunEnd;
/* A run of the request ended with an answer. */
void suspects_note_success(Router *router, Request *request, RunEnd end,
                           gint64 now);
/* Sets the names of the request's parts; its service must be set. */
void suspects_attach_parts(Request *request, const CallerRequest *call);
/* Refuses, and so ends, the waiting requests that are held now. */
void suspects_refuse_held(Router *router, gint64 now);

/* }================================================================== */

/*
** {==================================================================
** finish.c: ends of requests
** ===================================================================
*/

/* Returns the static name of a refusal, as logs have it. */
const char *finish_refusal_name(RefusalKind kind);
/* Counts a refusal that is sent to a caller. */
void finish_count_refusal(Router *router, RefusalKind kind);
/* Returns after how many ms a caller refused so may retry; 0: it is not
** told. */
gint64 finish_default_retry_ms(RefusalKind kind);

/* All functions from here on end and free the request. */

/* Passes the last outcome of an answer on to the caller. */
void finish_answered(Router *router, Request *request, const Outcome *outcome);
/* Refuses the request. */
void finish_refuse(Router *router, Request *request, RefusalKind kind);
/* Refuses a request that has not run if a planned stop has begun that it would
** probably outlast. Returns FALSE, and does nothing, otherwise. */
gboolean finish_outlasting(Router *router, Request *request, gint64 now);
/* Ends a request for which path_may_dispatch allows no dispatch, for 'why'. */
void finish_forbidden(Router *router, Request *request, RefusalKind why,
                      gint64 now);
/* Ends a request that is not tried again; tells the caller what is known about
** whether it ran. */
void finish_give_up(Router *router, Request *request, gint64 now);
/* Ends a request whose time is over. */
void finish_expire(Router *router, Request *request, gint64 now);
/* Ends a request because the instance stops. */
void finish_stop(Router *router, Request *request, gint64 now);
/* Ends a request whose caller has disconnected. */
void finish_hangup(Router *router, Request *request, gint64 now);

/* }================================================================== */

#endif
