/*
** router.h
** The decisions about routed requests, without input or output
**
** A Router belongs to one instance. Its host (io/gateway.c, or a test)
** tells it what happened, with the time, and performs what it asks for
** through RouterHost. Every duration and time is in microseconds of a
** steady clock unless a name says otherwise.
**
** Words: a caller sends a request; an endpoint (an engine or a plain
** service's process) is sent dispatches for it. A dispatch has perhaps
** run from the moment its first byte was sent, unless its endpoint says
** otherwise.
*/

#ifndef ROUTER_H
#define ROUTER_H

#include <glib.h>

#include "madderpier.h"
#include "router/account_limits.h"
#include "router/follower.h"
#include "router/histogram.h"
#include "router/lease.h"
#include "router/news_state.h"
#include "router/quarantine.h"
#include "router/records.h"

typedef struct Router Router;

/* a caller's request as its dialect read it; texts are copied */
typedef struct CallerRequest {
  guint64 number; /* the host's; unique while the request is open */
  const char *id; /* the caller's own id for this attempt */
  const char *host;
  const char *path;
  guint64 content;        /* digest of what it asks for (http/content.h) */
  gint64 deadline_ms;     /* how long the caller will wait; 0: not said */
  guint32 prompt_tokens;  /* 0: not said */
  guint32 output_tokens;  /* the most that may be generated */
  guint64 session;        /* hash of the prompt's last part; 0: none */
  guint32 session_tokens; /* tokens of that part */
  gboolean resumes;       /* goes on with a stream that the caller lost */
  const char *key;        /* of a client account; NULL: none */
  unsigned keys;          /* that the request carries: one is right */
} CallerRequest;

typedef enum DispatchKind {
  DISPATCH_RUN,     /* the request itself */
  DISPATCH_PREFILL, /* read the prompt and keep it under a handle */
  DISPATCH_RELEASE, /* free a handle */
  DISPATCH_REPORT,  /* an engine tells its state */
  DISPATCH_CHECK,   /* does it take connections? One is kept if it does */
  DISPATCH_ORDER    /* an engine changes its stage */
} DispatchKind;

/* an order to an engine to change its stage */
typedef struct StageOrder {
  EndpointStage stage;
  const char *holder; /* who gives it: this instance */
  gint64 fence;       /* of the holder's lease; engines refuse older ones */
  gint64 sequence;    /* orders that the engine must have taken before */
} StageOrder;

/* the state of an engine as it told it, some hundred milliseconds old */
typedef struct EngineReport {
  EndpointStage stage;
  gboolean busy;   /* an order is being carried out */
  gint64 sequence; /* orders taken in this life */
} EngineReport;

/* work for an endpoint */
typedef struct Dispatch {
  guint64 number; /* the router's; named again in the outcome */
  DispatchKind kind;
  guint64 request; /* the caller's; 0 for what no caller asked for */
  mp_Addr address;
  const char *endpoint;    /* the endpoint's id: no other one may run it */
  guint32 life;            /* of it: Endpoint.hash */
  const char *account;     /* RUN, PREFILL: whose request it is, or NULL */
  gint64 deadline_ms;      /* what is left of the caller's time */
  const char *handle;      /* RUN: where to continue; RELEASE: what to free */
  mp_Addr handle_address;  /* RUN with a handle: who holds it */
  const char *last_event;  /* RUN: resume behind this event, or NULL */
  gboolean stream;         /* the answer comes in pieces */
  gint64 connect_timeout;  /* then the endpoint counts as out of reach */
  const StageOrder *order; /* ORDER */
} Dispatch;

/* why a caller gets an answer of the router's own */
typedef enum RefusalKind {
  REFUSAL_NO_CONFIGURATION,
  REFUSAL_NO_ROUTE,
  REFUSAL_NO_ENDPOINT,       /* not run: nobody is there to run it */
  REFUSAL_BUSY,              /* not run: endpoints turned it away */
  REFUSAL_NOT_RUN,           /* not run: its time passed while it waited */
  REFUSAL_DRAINING,          /* not run: this instance is leaving */
  REFUSAL_OUTCOME_UNKNOWN,   /* it may have run */
  REFUSAL_TIMEOUT,           /* it may have run; its time passed */
  REFUSAL_KEY,               /* not run: no account has its key */
  REFUSAL_LIMIT,             /* not run: its account's limit is used up */
  REFUSAL_OLD_CONFIGURATION, /* not run: its key may have been taken away, or
                             ** its route have come, since the configuration */
  REFUSAL_HELD, /* not run: endpoints end under it (router/quarantine.h) */
  REFUSAL_RATE, /* not run: endpoints take no more by the rates they name */
  REFUSAL_REST, /* not run: endpoints want no request for a while */
  REFUSAL_SUSPECTED /* not run: endpoints may have ended under it */
} RefusalKind;

typedef struct Refusal {
  RefusalKind kind;
  gint64 retry_after_ms; /* 0: say nothing */
} Refusal;

/* does an answer carry a signal? */
typedef enum SignalState {
  SIGNAL_ABSENT,
  SIGNAL_GIVEN,
  SIGNAL_UNREADABLE /* it stands there, and its value means nothing */
} SignalState;

/*
** What an endpoint tells about itself with the head of an answer
** (router/signals.c). Whom each of them binds:
**   rate     all instances together
**   leaving  all instances, until a later life of the endpoint
**   rest     the instance that had the answer
*/
typedef struct EndpointSignals {
  SignalState rate;
  double rate_per_second; /* rate GIVEN: requests that it takes */
  SignalState leaving;    /* it is about to end */
  SignalState rest;
  gint64 rest_time;    /* rest GIVEN: it wants no request for so long */
  const char *unknown; /* name of a field that is not known, or NULL: told
                       ** to the operators alone */
  gboolean served;     /* the answer served the request: that it names no rate
                       ** counts as well */
} EndpointSignals;

/* how a dispatch ended, or where it stands */
typedef enum OutcomeKind {
  OUTCOME_UNREACHABLE, /* no connection: certainly not run */
  OUTCOME_NOT_RUN,     /* the endpoint said that it did not run it */
  OUTCOME_BROKEN,      /* no whole answer: it may have run */
  OUTCOME_ANSWER,      /* a whole answer */
  OUTCOME_STREAM_HEAD, /* a good head; pieces follow */
  OUTCOME_STREAM_PIECE,
  OUTCOME_STREAM_END /* the stream ended as a whole */
} OutcomeKind;

/* the name of an outcome, as logs have it */
const char *outcome_name(OutcomeKind kind);

typedef struct Outcome {
  guint64 dispatch;
  OutcomeKind kind;
  int status;                 /* ANSWER */
  gboolean misdirected;       /* NOT_RUN: another endpoint has the address */
  const char *event;          /* STREAM_PIECE: id of its last event */
  void *payload;              /* the host's own: passed on to 'answer' */
  const char *handle;         /* ANSWER of a prefill */
  gint64 handle_life;         /* ANSWER of a prefill; 0: the service's */
  const EngineReport *report; /* ANSWER of a report */
} Outcome;

/* what the router asks of its host; nothing here may call back at once */
typedef struct RouterHost {
  void *data;
  void (*dispatch)(void *data, const Dispatch *dispatch);
  /* forget a dispatch; its connection is closed */
  void (*cancel)(void *data, guint64 dispatch);
  /* pass an endpoint's answer, or a part of it, to the caller */
  void (*answer)(void *data, guint64 request, const Outcome *outcome);
  /* end the request with an answer of our own */
  void (*refuse)(void *data, guint64 request, const Refusal *refusal);
  /* end an answer that has begun so that it cannot look whole */
  void (*break_off)(void *data, guint64 request);
  void (*log)(void *data, mp_EventNo number, const char *fields);
  /* room was reserved at an engine: the others should know at once */
  void (*note)(void *data, guint32 endpoint, guint32 tokens);
  /* a call to the store for a lease; router_lease_reply answers it */
  void (*lease_call)(void *data, const StoreCall *call);
} RouterHost;

typedef struct RouterOptions {
  const char *zone;
  guint64 seed;
  double retry_ratio;  /* extra arrivals allowed per request */
  guint32 retry_slack; /* and beside those, over all instances */
  gint64 retry_window;
  const char *instance;  /* this instance's name */
  mp_Addr self;          /* the address that its load digests come from */
  gint64 lease_length;   /* of orders to engines; 0: none are given */
  LimitTolerance limits; /* of client accounts */
  gint64 news_age_max;   /* older news say nothing of a route that they lack;
                          ** 0: at any age (relay_news_age_max) */
  gint64 unix_offset;    /* Unix time less the steady clock's */
  gint64 proof_age_max;  /* requests with keys run only while the configuration
                          ** was the newest one so lately; 0: at any age */
} RouterOptions;

Router *router_new(const RouterOptions *options, const RouterHost *host,
                   gint64 now);
void router_free(Router *router);

/* the configuration in force; NULL: none yet */
const RouteTable *router_routes(const Router *router);
/* a newer configuration is in force; the router shares the table. FALSE: the
** one in force is as new */
gboolean router_set_routes(Router *router, RouteTable *routes, gint64 now);
/* the configuration was certainly the newest one then (router/config_proof.h);
** 0: that is not known */
void router_configuration_proved(Router *router, gint64 at);
/* the store answered then whoever this instance has its news from */
void router_store_answered(Router *router, gint64 at);
/* how the configuration known here compares to what any instance has named;
** it outlives the router. Without one no instance names anything */
void router_set_news_state(Router *router, const NewsState *news);
/* add, change or (with 'gone') remove one endpoint */
void router_set_endpoint(Router *router, const EndpointRecord *record,
                         gboolean gone, gint64 now);
/* after a whole list: forget every endpoint that it did not name */
void router_keep_endpoints(Router *router, GHashTable *names, gint64 now);
/* how many instances share the traffic, this one included, and how many of
** them hear each other's digests */
void router_set_instances(Router *router, unsigned count, unsigned near);

/* planned stop: take no request any more, and refuse those that wait */
void router_stop_accepting(Router *router, gint64 now);

/* a whole request came; the host hears about it through RouterHost */
void router_request(Router *router, const CallerRequest *request, gint64 now);
/* the caller is gone */
void router_hangup(Router *router, guint64 request, gint64 now);
void router_outcome(Router *router, const Outcome *outcome, gint64 now);
/* the head of an answer of this life of the endpoint is there, before the
** outcome of its dispatch */
void router_endpoint_signals(Router *router, const char *endpoint,
                             guint32 life, const EndpointSignals *signals,
                             gint64 now);

/* this instance has so many connections to the endpoint now, and so many of
** them rest: may be told at any time */
void router_set_connections(Router *router, const char *endpoint,
                            guint connections, guint resting);
/* is a connection to it that is free kept? */
gboolean router_keeps_connection(const Router *router, const char *endpoint);

/* when router_tick wants to be called next; G_MAXINT64: not at all */
gint64 router_next_tick(const Router *router);
void router_tick(Router *router, gint64 now);

/* what this instance has open, for the others: changes with its version */
guint64 router_load_version(const Router *router);
/* the same of what is open at plain endpoints, which has more time */
guint64 router_plain_version(const Router *router);
void router_load_digest(const Router *router, mp_LoadDigest *out, gint64 now);
/* what another instance has open; 'sequence' grows with each */
void router_peer_load(Router *router, mp_Addr peer, guint32 sequence,
                      const mp_LoadDigest *digest, gint64 now);

/* what the instances heard and this one have open together, for other data
** centres; who tells it and for which data centre is filled in by the host */
void router_load_summary(const Router *router, mp_LoadSummary *out,
                         gint64 now);
/* a number that changes with the set of endpoints that this instance or those
** it hears find failing, or that said that they leave: the other data centres
** should know at once */
guint64 router_urgent_set(const Router *router, gint64 now);
/* the largest part of an account's burst that was spent here and near since
** the last summary */
double router_limits_unreported(const Router *router);
/* what another data centre has open, as its relay told */
void router_zone_load(Router *router, guint32 sequence,
                      const mp_LoadSummary *summary, gint64 now);

/* another instance has reserved room */
void router_peer_reservation(Router *router, mp_Addr peer,
                             const mp_LoadNote *note);

/*
** Requests under which endpoints ended (router/quarantine.h)
*/

/* another instance tells of some; TRUE: something was new */
gboolean router_receive_crashes(Router *router, const mp_CrashUpdate *news,
                                gint64 now);
/* what to tell the others: what this instance saw, or 'all' that it knows */
void router_report_crashes(const Router *router, gboolean all,
                           mp_CrashUpdate *out, gint64 now);
/* grows when there is something new to tell */
guint64 router_crash_version(const Router *router);
/* an object of the store says so, at this position; or it is gone from there
 */
void router_apply_quarantine(Router *router, const QuarantineRecord *record,
                             StorePosition position, gint64 now);
void router_remove_quarantine(Router *router, guint64 content, gint64 now);
/* what has to be written to the store; FALSE: nothing now */
gboolean router_next_quarantine_save(Router *router, QuarantineSave *out,
                                     gint64 now);
void router_quarantine_save_failed(Router *router, guint64 content,
                                   gint64 now);
/* requests with a strike, and how many of them are held */
void router_quarantine_count(const Router *router, gint64 now, guint *suspects,
                             guint *held);

/*
** Rates that endpoints name (router/rate_limits.h)
*/

/* another instance tells, or a relay for its data centre */
void router_receive_rates(Router *router, mp_Addr peer,
                          const mp_RateUpdate *news, gint64 now);
/* what to tell: this instance's, or the 'sums' of those it hears too */
void router_report_rates(const Router *router, gboolean sums,
                         mp_RateUpdate *out, gint64 now);
/* grows when there is something new to tell */
guint64 router_rates_version(const Router *router);

/* the store has named this era, here or to another instance; again and again
 */
void router_observe_era(Router *router, guint64 era, gint64 now);
/* the store answered RouterHost.lease_call */
void router_lease_reply(Router *router, const LeaseReply *reply, gint64 now);

/* looking in */
/* endpoints whose answers said that they leave, in this life */
guint router_leaving_endpoints(const Router *router);
/* endpoints that want no request from this instance now */
guint router_resting_endpoints(const Router *router, gint64 now);
/* endpoints that name a rate */
guint router_limited_endpoints(const Router *router);
/* choices in which one of them was left out for its rate */
guint64 router_rate_skips(const Router *router);
unsigned router_open_requests(const Router *router);
/* requests that wait for room, and how many of them can still be answered in
** time */
void router_count_waiting(const Router *router, gint64 now, guint *waiting,
                          guint *in_time);
/* that share the traffic, this one included, as router_set_instances told */
unsigned router_instances(const Router *router);
/* requests can be taken: there is a configuration, not too old for its keys */
gboolean router_is_configured(const Router *router, gint64 now);
guint64 router_counter(const Router *router, unsigned counter);
const char *router_counter_name(unsigned counter); /* NULL past the last */

/* durations that are counted, from a request's arrival */
typedef enum RouterDuration {
  DURATION_WAIT,        /* to the start of a request for an engine */
  DURATION_FIRST_PIECE, /* to the head of a stream */
  DURATION_STREAM,      /* to the end of a stream */
  DURATION_PLAIN,       /* to a whole answer */
  DURATION_COUNT
} RouterDuration;

const Histogram *router_duration(const Router *router, RouterDuration which);
const char *router_duration_name(RouterDuration which);

#endif
