/*
** router.h
** The routing decisions of one instance, without input or output
**
** A Router belongs to one instance of the program. Its host (io/gateway.c, or
** a test) reports events together with the current time, and carries out what
** the router asks for through RouterHost. The router does no I/O, reads no
** clock and starts no thread.
**
** Terms:
**   caller       sends requests to this instance
**   endpoint     an engine, or a process of a plain service, that can run a
**                request
**   dispatch     one message to an endpoint, for a request or for the router
**                itself
**   incarnation  one run of an endpoint's process; Endpoint.hash names it
**                (router/endpoint_table.h). Members called 'life' hold that
**                hash.
**   handle       names a prompt's KV memory at the engine that prefilled it
**   store        the platform's database of the configuration, the endpoints,
**                the instances, the quarantine and the lease; its contents are
**                objects (router/follower.h)
**   era          a number that the store names and that grows when the store
**                is restored from a copy
**   relay        an instance that follows the store for the other instances of
**                its data centre (router/relay_group.h)
**   digest       of loads: a message with what one instance has open at the
**                endpoints; a summary adds up those of a data centre
**   near         the instances that exchange load digests with this one; other
**                data centres are known from the summaries of their relays
**   held         a request that no instance sends to an endpoint, because
**                endpoints crashed while they ran it (router/quarantine.h)
**
** A RUN dispatch may have run from the moment when its first byte was sent,
** unless its endpoint states that it did not run it.
**
** Times and durations are microseconds of the host's steady clock unless a
** name says otherwise. The router copies all texts that it is given, and what
** it passes to RouterHost is valid only during that call. Its functions do not
** fail: unknown requests, dispatches and endpoints are ignored.
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

/* The most parts of a prompt, beside the last, that are told apart. */
#define CALLER_PARTS_MAX 16

/* A caller's request as its dialect parsed it. */
typedef struct CallerRequest {
  guint64 number; /* chosen by the host; unique while the request is open */
  const char *id; /* the caller's own id for this attempt */
  const char *host;
  const char *path;
  guint64 content;       /* hash of what it asks for (http/content.h) */
  gint64 deadline_ms;    /* for how long the caller will wait, in ms from now;
                         ** 0: not given */
  gint64 waited_unread;  /* for how long it may have waited to be read here, in
                         ** us; the deadline counts from then */
  guint32 prompt_tokens; /* 0: not given */
  guint32 output_tokens; /* the most tokens that may be generated */
  guint32 length_hint; /* tokens that the caller expects to be generated, often
                       ** far off; 0: not given */
  guint64 session; /* hash of the last part of the prompt; requests with the
                   ** same one prefer the same prefill engine; 0: none */
  guint32 session_tokens;          /* tokens of that part */
  guint64 parts[CALLER_PARTS_MAX]; /* digests of the parts before it, which
                                   ** other requests may have too; not 0 */
  guint parts_count;
  gboolean resumes; /* continues a stream whose connection the caller
                    ** lost */
  const char *resumed_attempt; /* 'resumes': id of the attempt that began the
                               ** stream; NULL: not stated */
  const char *key;             /* of a client account; NULL: none */
  unsigned keys; /* number of keys that the request carries; only exactly one
                 ** can be valid */
} CallerRequest;

typedef enum DispatchKind {
  DISPATCH_RUN,     /* run the request */
  DISPATCH_PREFILL, /* read the prompt and keep the result under a handle */
  DISPATCH_RELEASE, /* free the memory of a handle */
  DISPATCH_REPORT,  /* ask an engine for its state */
  DISPATCH_CHECK,   /* open a connection to see whether the endpoint accepts
                    ** one; it is kept if it does */
  DISPATCH_ORDER    /* order an engine to change its stage */
} DispatchKind;

/* An order to an engine to change its stage. */
typedef struct StageOrder {
  EndpointStage stage; /* the new one */
  const char *holder;  /* the instance that holds the lease: this one */
  gint64 fence;        /* of the holder's lease; engines reject older ones */
  gint64 sequence;     /* the number of orders that the engine must have
                       ** accepted before this one */
} StageOrder;

/* The state of an engine as it reported it, some hundred ms ago. */
typedef struct EngineReport {
  EndpointStage stage;
  gboolean busy;   /* it is carrying an order out */
  gint64 sequence; /* orders accepted by this incarnation */
} EngineReport;

/* A dispatch that the host has to send. */
typedef struct Dispatch {
  guint64 number; /* chosen by the router; Outcome.dispatch names it */
  DispatchKind kind;
  guint64 request; /* CallerRequest.number; 0: sent for no request */
  mp_Addr address;
  mp_Addr via;             /* the instance that carries it there; 0: none */
  const char *endpoint;    /* id; no other endpoint may execute it */
  guint32 life;            /* the endpoint's incarnation: Endpoint.hash */
  const char *account;     /* RUN, PREFILL: the request's account, or NULL */
  gboolean has_urgency;    /* RUN, PREFILL: 'urgency' is set */
  guint urgency;           /* the request's priority; 0 is the highest */
  gint64 deadline_ms;      /* RUN, PREFILL: what is left of the caller's time,
                           ** in ms */
  const char *handle;      /* RUN: the prefilled prompt to fetch, or NULL;
                           ** RELEASE: the handle to free */
  mp_Addr handle_address;  /* RUN with a handle: the engine that holds it */
  const char *last_event;  /* RUN: resume after this event, or NULL */
  gboolean stream;         /* RUN: the answer comes in pieces */
  gint64 connect_timeout;  /* without a connection after this the outcome is
                           ** OUTCOME_UNREACHABLE */
  const StageOrder *order; /* ORDER */
} Dispatch;

/* Why the router itself answers a caller. "Not run" means that the request
** has certainly not run. */
typedef enum RefusalKind {
  REFUSAL_NO_CONFIGURATION,  /* not run: no configuration is known yet */
  REFUSAL_NO_ROUTE,          /* not run: no route matches */
  REFUSAL_NO_ENDPOINT,       /* not run: no endpoint is available */
  REFUSAL_BUSY,              /* not run: endpoints rejected it or have no
                             ** room, or its prompt could not be read and no
                             ** retry is left */
  REFUSAL_NOT_RUN,           /* not run: its time passed while it waited */
  REFUSAL_DRAINING,          /* not run: this instance is shutting down */
  REFUSAL_OUTCOME_UNKNOWN,   /* it may have run */
  REFUSAL_TIMEOUT,           /* it may have run; its time passed */
  REFUSAL_KEY,               /* not run: no account has its key */
  REFUSAL_LIMIT,             /* not run: its account's limit is used up */
  REFUSAL_OLD_CONFIGURATION, /* not run: the configuration known here may be
                             ** outdated; a newer one may revoke its key, or
                             ** add its key or route */
  REFUSAL_HELD, /* not run: the quarantine holds it, because several endpoints
                ** crashed while they ran it (router/quarantine.h) */
  REFUSAL_RATE, /* not run: the rates that endpoints name are used up */
  REFUSAL_REST, /* not run: endpoints want no request for a while */
  REFUSAL_SUSPECTED, /* not run: its runs broke off, and it is not known yet
                     ** whether the endpoints crashed (router/suspicions.h) */
  REFUSAL_STREAM_UNKNOWN, /* not run: it is not known at which version the
                          ** stream began that it takes up */
  REFUSAL_VERSION_GONE,   /* not run: no endpoint of the version is left that
                          ** began the stream */
  REFUSAL_KIND_COUNT
} RefusalKind;

/* Retry-After of refusals because of a planned stop, in ms: another instance
** can take the request at once. */
#define DRAINING_RETRY_MS 10

typedef struct Refusal {
  RefusalKind kind;
  gint64 retry_after_ms; /* when the caller may retry; 0: not told */
} Refusal;

/* Whether an answer carries a signal. */
typedef enum SignalState {
  SIGNAL_ABSENT,
  SIGNAL_GIVEN,
  SIGNAL_UNREADABLE /* it is there, but its value is invalid */
} SignalState;

/*
** What an endpoint announces about itself in the head of an answer
** (router/signals.c), and which instances have to obey it:
**   rate     all instances together
**   leaving  all instances, until a later incarnation of the endpoint
**   rest     the instance that got the answer
*/
typedef struct EndpointSignals {
  SignalState rate;
  double rate_per_second; /* rate GIVEN: requests that it accepts */
  SignalState leaving;    /* it is about to shut down */
  SignalState rest;
  gint64 rest_time;    /* rest GIVEN: for how long it wants no request */
  const char *unknown; /* name of a field that is not known here, or NULL; it
                       ** is logged for operators and has no other effect */
  gboolean served; /* the answer served the request, so that the absence of a
                   ** rate counts too: it ends the rate named before */
} EndpointSignals;

/* How a dispatch ended, or how far it has come. */
typedef enum OutcomeKind {
  OUTCOME_UNREACHABLE, /* no connection: certainly not run */
  OUTCOME_NOT_RUN,     /* the endpoint stated that it did not run it */
  OUTCOME_BROKEN,      /* no complete answer: it may have run */
  OUTCOME_ANSWER,      /* a complete answer */
  OUTCOME_STREAM_HEAD, /* the head of a successful stream; pieces follow */
  OUTCOME_STREAM_PIECE,
  OUTCOME_STREAM_END /* the stream is complete */
} OutcomeKind;

/* Returns the static name of an outcome, as logs have it. */
const char *outcome_name(OutcomeKind kind);

typedef struct Outcome {
  guint64 dispatch; /* Dispatch.number */
  OutcomeKind kind;
  int status;                 /* ANSWER: HTTP status */
  gboolean misdirected;       /* NOT_RUN: another endpoint has the address */
  gboolean carrier_failed;    /* UNREACHABLE: the instance that was to carry it
                               ** could not be used, so nothing is known of the
                               ** endpoint */
  gboolean was_kept;          /* its connection was open before the dispatch */
  gboolean ends_with_close;   /* ANSWER, STREAM_END: the answer has neither a
                              ** length nor chunks, so the end of the connection
                              ** alone says that it is complete */
  const char *event;          /* STREAM_PIECE: id of its last event, or NULL */
  void *payload;              /* the host's own; passed on to 'answer' */
  const char *handle;         /* ANSWER of a prefill; NULL: none was given */
  gint64 handle_lifetime;     /* ANSWER of a prefill: for how long the handle
                               ** is kept; 0: Service.handle_lifetime */
  const EngineReport *report; /* ANSWER of a report; NULL: unreadable */
  const char *framing;        /* how the head of the response delimited its
                               ** body, as logs have it; NULL: not known */
  const char *connection_end; /* BROKEN, UNREACHABLE: what ended the
                               ** connection, as logs have it; NULL: not known
                               */
} Outcome;

/* The answer to an instance that asks to have its bytes carried to an
** endpoint. The numbers are those of the message (mp_Carry). */
typedef enum CarryVerdict {
  CARRY_CONNECTED,   /* the endpoint has accepted a connection */
  CARRY_UNREACHABLE, /* the endpoint has not accepted a connection, now or
                     ** lately, of this instance or of others that it asked */
  CARRY_NO_PATH,     /* this instance has no direct path to it either */
  CARRY_UNKNOWN,     /* no such endpoint is known here */
  CARRY_BUSY,        /* it carries as much as it can */
  CARRY_DRAINING,    /* it is shutting down */
  CARRY_VERDICT_COUNT
} CarryVerdict;

/* What the router asks of its host. These functions must not call the router
** back before they return. */
typedef struct RouterHost {
  void *data; /* passed to each of them */
  /* Sends a dispatch; router_outcome reports what becomes of it. */
  void (*dispatch)(void *data, const Dispatch *dispatch);
  /* Drops a dispatch and closes its connection; its outcome is not wanted any
  ** more. */
  void (*cancel)(void *data, guint64 dispatch);
  /* Passes an endpoint's answer, or a part of it, on to the caller. */
  void (*answer)(void *data, guint64 request, const Outcome *outcome);
  /* Answers the request with a refusal, which ends it. */
  void (*refuse)(void *data, guint64 request, const Refusal *refusal);
  /* Ends an answer that has begun in a way that shows it is incomplete. */
  void (*break_off)(void *data, guint64 request);
  /* Logs an event; 'fields' is a text of key=value items. */
  void (*log)(void *data, mp_EventNo number, const char *fields);
  /* Tells the near instances at once that 'tokens' of memory were reserved at
  ** an engine (Endpoint.hash). */
  void (*note)(void *data, guint32 endpoint, guint32 tokens);
  /* Sends a message of the kinds STREAM_ORIGIN to STREAM_RECORDED to another
  ** instance; it may get lost. */
  void (*message)(void *data, mp_Addr to, const mp_Msg *message);
  /* Holds back what is passed on to the caller from now on ('holds'), or sends
  ** it and what follows. A request that has ended is ignored. */
  void (*hold)(void *data, guint64 request, gboolean holds);
  /* Calls the store for a lease; router_lease_reply reports the reply. */
  void (*lease_call)(void *data, const StoreCall *call);
} RouterHost;

typedef struct RouterOptions {
  const char *zone;      /* this instance's data centre */
  guint64 seed;          /* of all random choices */
  double retry_ratio;    /* retries allowed for each request */
  guint32 retry_slack;   /* retries allowed on top, over all instances */
  gint64 retry_window;   /* time over which both are counted */
  const char *instance;  /* this instance's name */
  mp_Addr self;          /* the address from which its load digests come */
  gint64 lease_length;   /* of the lease for orders to engines; 0: no orders
                         ** are given */
  LimitTolerance limits; /* of client accounts */
  gboolean overload_control; /* apply what docs/design/heavy-load.md describes:
                             ** outlier detection that all instances share,
                             ** prefill capacity, and deadlines at admission */
  gint64 news_age_max;  /* "no such route" and "no such key" are final only
                        ** while the last answer of the store is at most this
                        ** old; 0: always (relay_news_age_max) */
  gint64 unix_offset;   /* Unix time minus the steady clock, us */
  gint64 proof_age_max; /* requests with keys run only if the configuration
                        ** was certainly the newest at most this long ago; 0:
                        ** always (router/config_proof.h) */
} RouterOptions;

/* Creates a router; options and host are copied. Free it with router_free,
** which drops open requests without answers. */
Router *router_new(const RouterOptions *options, const RouterHost *host,
                   gint64 now);
void router_free(Router *router);

/* Returns the configuration in force, owned by the router; NULL: none yet. */
const RouteTable *router_routes(const Router *router);
/* Puts a newer configuration in force; the router takes a reference of its
** own. Returns FALSE, and does nothing, if the one in force is as new. */
gboolean router_set_routes(Router *router, RouteTable *routes, gint64 now);
/* The configuration was certainly the newest one at the time 'at'
** (router/config_proof.h); 0: that is not known. */
void router_configuration_proved(Router *router, gint64 at);
/* The store answered, at the time 'at', the instance from which this one
** learns of the store's objects: itself, or a relay. */
void router_store_answered(Router *router, gint64 at);
/* This instance stood still from 'since' to 'now': its process did not run, so
** what other instances and the store sent meanwhile has not been handled yet.
** The host calls this before it handles anything else after the pause. From
** then on this instance vouches for no version of the endpoints' software,
** neither for itself nor as a replica (continuation.h), until
** router_store_answered names a time after 'now'. */
void router_stood_still(Router *router, gint64 since, gint64 now);
/* Sets the state that compares the position of the configuration known here
** with the latest one that any instance has announced. The state is borrowed
** and must outlive the router. Without it, no newer configuration counts as
** announced. */
void router_set_news_state(Router *router, const NewsState *news);
/* Adds, changes or (with 'gone') removes one endpoint. Requests that run on an
** earlier incarnation of it end there. */
void router_set_endpoint(Router *router, const EndpointRecord *record,
                         gboolean gone, gint64 now);
/* After a complete list: removes every endpoint whose id is not a key of
** 'names'. */
void router_keep_endpoints(Router *router, GHashTable *names, gint64 now);
/* Sets how many instances share the traffic, this one included, and how many
** of them are near, this one included. */
void router_set_instances(Router *router, unsigned count, unsigned near);

/* Sets the other instances, an array of RelayMember (relay_members.h), which
** is copied: this one may reach endpoints through them (router/reach.h), and
** asks them where streams began (router/continuation.h). */
void router_set_members(Router *router, const GArray *members);
/* Handles a message that another instance sent by RouterHost.message. */
void router_stream_message(Router *router, mp_Addr from, const mp_Msg *message,
                           gint64 now);
/* Returns whether this instance can carry bytes to the endpoint with this
** Endpoint.hash for another one; fills in the endpoint's address if so. */
CarryVerdict router_may_carry(const Router *router, guint32 endpoint,
                              mp_Addr *address, gint64 now);

/* A planned stop has begun, and requests that are still open at 'ends_at' will
** be ended then. From now on a request that would probably outlast that is
** refused instead of started (router/run_times.h). */
void router_begin_stop(Router *router, gint64 ends_at, gint64 now);
/* Ends the acceptance of requests in a planned stop: new requests are refused,
** and so are those that wait for room; those that run go on. */
void router_stop_accepting(Router *router, gint64 now);

/* Ends all requests at the end of a planned stop: their callers are told what
** is known about whether they ran. */
void router_end_requests(Router *router, gint64 now);

/* Handles a complete request; the host gets the result through RouterHost,
** perhaps before this returns. */
void router_request(Router *router, const CallerRequest *request, gint64 now);
/* Ends a request whose caller has disconnected. */
void router_hangup(Router *router, guint64 request, gint64 now);
/* Reading the answer to this request is paused, because its caller reads
** slowly. Silence of its endpoint is counted from 'now' on. */
void router_reading_paused(Router *router, guint64 request, gint64 now);
/* Handles an outcome of a dispatch. */
void router_outcome(Router *router, const Outcome *outcome, gint64 now);
/* Handles the signals in the head of an answer from this incarnation
** (Endpoint.hash) of the endpoint; called before the outcome. */
void router_endpoint_signals(Router *router, const char *endpoint,
                             guint32 life, const EndpointSignals *signals,
                             gint64 now);

/* Sets the number of this instance's connections to the endpoint and how many
** of them are idle; may be called at any time. */
void router_set_connections(Router *router, const char *endpoint,
                            guint connections, guint idle);
/* Returns TRUE if the host should keep an idle connection to the endpoint. */
gboolean router_keeps_connection(const Router *router, const char *endpoint);

/* Returns when router_tick is to be called next; G_MAXINT64: not at all. */
gint64 router_next_tick(const Router *router);
/* Does what is due. */
void router_tick(Router *router, gint64 now);

/* Returns a number that grows whenever what the near instances should know at
** once changes: what this instance has open at engines, and some states of
** endpoints. */
guint64 router_load_version(const Router *router);
/* Returns the same for what is open at plain endpoints, which is less
** urgent. */
guint64 router_plain_version(const Router *router);
/* Writes the load digest of this instance: what it has open at endpoints. */
void router_load_digest(const Router *router, mp_LoadDigest *out, gint64 now);
/* Handles the digest of another instance; 'sequence' grows with each. */
void router_peer_load(Router *router, mp_Addr peer, guint32 sequence,
                      const mp_LoadDigest *digest, gint64 now);

/* Writes what this instance and the near ones have open together, for other
** data centres. The host fills in who sends it and for which data centre. */
void router_load_summary(const Router *router, mp_LoadSummary *out,
                         gint64 now);
/* Returns a number that changes with the set of endpoints that the other data
** centres should know of at once: those that this instance or the near ones
** find failing, those that asked an instance for a rest, and those that
** announced that they are leaving. */
guint64 router_urgent_set(const Router *router, gint64 now);
/* Returns, for the client account that used the largest share of its burst
** here and at near instances since the last summary, that share. */
double router_limits_unreported(const Router *router);
/* Returns the name of the client account with this index among those with a
** limit, and stores its share of what engines complete, as it was computed
** last, in '*share'. NULL: there are no more. */
const char *router_account_share(const Router *router, guint index,
                                 AccountShare *share);
/* Handles the summary that a relay sent of another data centre. */
void router_receive_summary(Router *router, guint32 sequence,
                            const mp_LoadSummary *summary, gint64 now);

/* Handles the notice that another instance has reserved memory
** (RouterHost.note there). */
void router_peer_reservation(Router *router, mp_Addr peer,
                             const mp_LoadNote *note);

/*
** Requests under which endpoints crashed (router/quarantine.h)
*/

/* Handles what another instance knows of them. Returns TRUE if something was
** new. */
gboolean router_receive_crashes(Router *router, const mp_CrashUpdate *news,
                                gint64 now);
/* Writes what to send to others: what this instance saw, or with 'all'
** everything that it knows. */
void router_report_crashes(const Router *router, gboolean all,
                           mp_CrashUpdate *out, gint64 now);
/* Returns a number that grows when there is something new to send. */
guint64 router_crash_version(const Router *router);
/* Applies an object that the store has at this position. */
void router_apply_quarantine(Router *router, const QuarantineRecord *record,
                             StorePosition position, gint64 now);
/* The store has removed the object for this content: an operator did. */
void router_remove_quarantine(Router *router, guint64 content, gint64 now);
/* Fills in what has to be written to the store; FALSE: nothing now. */
gboolean router_next_quarantine_save(Router *router, QuarantineSave *out,
                                     gint64 now);
/* Such a write has failed. */
void router_quarantine_save_failed(Router *router, guint64 content,
                                   gint64 now);
/* Counts the requests with at least one strike, and those that are held. */
void router_quarantine_count(const Router *router, gint64 now, guint *suspects,
                             guint *held);

/*
** Rates that endpoints name (router/rate_limits.h)
*/

/* Handles what another instance, or a relay for its data centre, has sent. */
void router_receive_rates(Router *router, mp_Addr peer,
                          const mp_RateUpdate *news, gint64 now);
/* Writes what to send: this instance's own counts, or with 'sums' those of
** the near instances added. */
void router_report_rates(const Router *router, gboolean sums,
                         mp_RateUpdate *out, gint64 now);
/* Returns a number that grows when there is something new to send. */
guint64 router_rates_version(const Router *router);

/* The store has named this era to this or another instance; repeated and older
** ones are ignored. */
void router_observe_era(Router *router, guint64 era, gint64 now);
/* Handles the store's reply to RouterHost.lease_call. */
void router_lease_reply(Router *router, const LeaseReply *reply, gint64 now);

/* What follows is for metrics and status pages. */

/* Returns how many endpoints have announced, in this incarnation, that they
** are leaving. */
guint router_leaving_endpoints(const Router *router);
/* Returns how many endpoints want no request from this instance now. */
guint router_resting_endpoints(const Router *router, gint64 now);
/* Returns how many endpoints are avoided because connections to them failed
** here, and no other instance is known that can carry to them. */
guint router_unreachable_endpoints(const Router *router, gint64 now);
/* Returns how many endpoints are taken as down or on trial (router/outlier.h)
** as of the last judgement; 0 without RouterOptions.overload_control. */
guint router_down_endpoints(const Router *router);
/* Returns how many endpoints are reached through another instance. */
guint router_indirect_endpoints(const Router *router);
/* Returns how many streams' origins are remembered here. */
guint router_stream_origins(const Router *router);
/* Returns how many limits of client accounts have an unknown level, so that
** their requests are refused (router/account_limits.h). */
guint router_unknown_limits(const Router *router);
/* Returns how many endpoints name a rate. */
guint router_limited_endpoints(const Router *router);
/* Returns how many choices left an endpoint out because of its rate. */
guint64 router_rate_skips(const Router *router);
/* Returns how many requests the router refused for this reason. */
guint64 router_refusals(const Router *router, RefusalKind kind);
/* Returns the static name of a reason, as logs and metrics have it. */
const char *router_refusal_name(RefusalKind kind);
/* Returns the age, in microseconds, of the oldest load digest that is counted
** of another instance; 0 if none is. */
gint64 router_oldest_digest(const Router *router, gint64 now);
/* Returns the number of requests that are waiting or running. */
unsigned router_open_requests(const Router *router);
/* Counts the requests that wait for room, and those of them that can still be
** answered in time. */
void router_count_waiting(const Router *router, gint64 now, guint *waiting,
                          guint *in_time);
/* What became of the requests of one priority, from the start of the
** instance; 'waiting' is the present number. */
typedef struct PriorityCounts {
  guint waiting; /* for room at a decode engine */
  guint64 started, refused;
} PriorityCounts;

/* Returns the counts of requests for engines of this priority, 0 to
** PRIORITY_LOWEST. */
PriorityCounts router_priority_counts(const Router *router, guint priority);
/* Returns how many instances share the traffic, as router_set_instances was
** told. */
unsigned router_instances(const Router *router);
/* Returns TRUE if requests can be accepted: there is a configuration, and it
** is not too old for its keys. */
gboolean router_is_configured(const Router *router, gint64 now);
/* Returns a counter's value, 0 for a number beyond the last. */
guint64 router_counter(const Router *router, unsigned counter);
/* Returns a counter's static name, NULL for a number beyond the last. */
const char *router_counter_name(unsigned counter);

/* Durations that are counted, each from the arrival of a request. */
typedef enum RouterDuration {
  DURATION_WAIT,        /* to the start of a request for an engine */
  DURATION_FIRST_PIECE, /* to the head of a stream */
  DURATION_STREAM,      /* to the end of a stream */
  DURATION_PLAIN,       /* to a complete answer that is no stream */
  DURATION_COUNT
} RouterDuration;

/* Returns the histogram of a duration, owned by the router, and its static
** name. */
const Histogram *router_duration(const Router *router, RouterDuration which);
const char *router_duration_name(RouterDuration which);

#endif
