/*
** router_world.h
** World: one real Router with a fake host, in virtual time, for tests
**
** The host performs nothing. It records each call that the router makes
** (dispatches, cancellations, answers, refusals, log lines, lease calls), and
** the test feeds outcomes back by the methods of World. Time passes only in
** advance(). Times are in us of that virtual clock, which starts at 100 s,
** unless a name ends in _ms or _unix_ms.
*/

#ifndef ROUTER_WORLD_H
#define ROUTER_WORLD_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "router/endpoint_table.h"
#include "router/rate_limits.h"
#include "router/router.h"
}

namespace routing {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;

/*
** RouterOptions.news_age_max of every World: "no such route" is a final answer
** only while the last answer of the store is at most this old.
*/
constexpr gint64 news_age_max = 2500 * ms;

/* One dispatch that the router asked its host for. */
struct SentDispatch {
  guint64 number = 0;
  DispatchKind kind = DISPATCH_RUN;
  guint64 request = 0;
  std::string endpoint;
  guint32 life = 0; /* incarnation hash of the endpoint */
  gint64 deadline_ms = 0;
  std::string handle;     /* of the prefilled KV; empty: none */
  std::string last_event; /* the run resumes after it; empty: none */
  bool stream = false;
  EndpointStage order_stage = STAGE_NONE; /* DISPATCH_ORDER */
  gint64 fence = 0;
  gint64 sequence = 0;
  std::string account; /* DISPATCH_RUN and DISPATCH_PREFILL */
  gint64 connect_timeout = 0;
  mp_Addr via = 0;        /* the instance that carries it; 0: none */
  int urgency = -1;       /* -1: none is sent */
  bool cancelled = false; /* by the router */
  bool ended = false;     /* the router was given its last outcome */
};

/* What the router sent to the caller of one request. */
struct CallerResult {
  int answers = 0; /* whole answers and ends of streams */
  int refusals = 0;
  int broken_off = 0; /* streams cut before their end */
  int heads = 0;      /* heads of streams */
  int status = 0;
  RefusalKind refusal = REFUSAL_NO_ROUTE;
  gint64 retry_after_ms = 0;
  std::vector<std::string> events;
  gint64 at = 0; /* time of the last answer, part of a stream or refusal */

  /* Returns how often the request ended: 1 when all is well. */
  int ends() const {
    return answers + refusals + broken_off;
  }
};

/* An endpoint as the list of endpoints describes it. */
struct Place {
  const char *id;
  const char *service;
  const char *zone;
  EndpointStage stage;
};

/* Returns the signals of an answer that served its request. */
EndpointSignals signals_served();
/*
** The same, with the rate in requests per second that the endpoint accepts;
** RATE_UNLIMITED: the answer names no rate.
*/
EndpointSignals signals_rate(double rate);
/* The same, with the signal that the endpoint is leaving. */
EndpointSignals signals_leaving();
/*
** Returns the signals of a refusal by which the endpoint asks for rest: no
** requests for this time (us).
*/
EndpointSignals signals_rest(gint64 time);

/* A client account of the configuration. */
struct Client {
  const char *name;
  std::vector<const char *> keys;
  double rate = 0;   /* tokens per second; 0: no limit */
  double burst = 0;  /* tokens */
  int priority = -1; /* -1: none stated */
};

/* Events that the router had the host hold back. */
struct HeldEvents {
  gint64 since = 0;
  std::vector<std::string> events;
};

/* One store call for the lease that the router asked its host for. */
struct LeaseCallRecord {
  StoreOperation operation = STORE_READ;
  gint64 revision = 0;
  std::string holder;
  guint64 term = 0;
};

/*
** Returns the hash of an endpoint's incarnation: of its ID and its start time
** (Unix time in ms; 0: the start time is not known).
*/
inline guint32 incarnation_hash_of(const char *id,
                                   gint64 started_unix_ms = 0) {
  EndpointRecord record = {};
  record.id = const_cast<char *>(id);
  record.started_unix_ms = started_unix_ms;
  return endpoint_incarnation_hash(&record);
}

class World {
public:
  /*
  ** slack, ratio: retry budget; the defaults never limit retries.
  ** lease_length: of the lease for orders to engines; 0: no orders are given.
  ** self, zone: address and data centre of this instance.
  ** proof_age_max, seed, overload_control: as in RouterOptions.
  ** The router starts with one instance in its data centre, and the store has
  ** just answered.
  */
  explicit World(guint32 slack = 0, double ratio = 10.0,
                 gint64 lease_length = 0, const char *self = "10.0.0.5:1",
                 gint64 proof_age_max = 0, const char *zone = "a",
                 guint64 seed = 7, bool overload_control = false);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /*
  ** Sets the routes: /safe/ and /unsafe/ to "app"; /stream/ (run at most
  ** once) and /resume/ (resumable, two attempts) to the engines of "llm"; and
  ** /public/ to "app", which needs no key. The others need a key if 'clients'
  ** has any. Every route has this timeout and latency objective.
  */
  void configure(guint64 version = 1, gint64 timeout = 10 * second,
                 gint64 objective = 900 * ms);
  /* Gives the router a record of the endpoint, or with 'gone' its removal. */
  void endpoint(const Place &place, bool ready = true, bool gone = false);
  /*
  ** Calls configure() and adds two plain endpoints, one prefill engine and two
  ** decode engines.
  */
  void add_default_endpoints();

  /* Sends a request; returns its number. prompt, output: tokens. */
  guint64 request(const std::string &path, gint64 deadline_ms = 10000,
                  guint32 prompt = 1000, guint32 output = 500);
  /*
  ** Sends the request of a caller that resumes a broken stream of this
  ** session; returns its number. first_attempt: the attempt that began it, or
  ** NULL; last_event: the last event that the caller has, or NULL.
  */
  guint64 request_resumption(const std::string &path, guint64 session,
                             const char *first_attempt = nullptr,
                             const char *last_event = nullptr);
  /* Returns the number that the next request will have. */
  guint64 next_request_number() const;
  /* The caller of this request closes its connection. */
  void hangup(guint64 number);
  /* Lets this time pass and runs every tick of the router that falls due. */
  void advance(gint64 span);

  /* Reports the signals in the head of the dispatch's answer. */
  void signal(guint64 dispatch, const EndpointSignals &signals);
  /* Reports an outcome of a dispatch. */
  void outcome(guint64 dispatch, OutcomeKind kind, int status = 200);
  /* Reports that the instance that was to carry a dispatch could not be
  ** used. */
  void carrier_failed(guint64 dispatch);
  /* Reports that a prefill is done and its KV has this handle. */
  void prefilled(guint64 dispatch, const char *handle = "h1");
  /* Reports one event of a stream. */
  void piece(guint64 dispatch, const char *event);
  /*
  ** Reports an engine's answer to an order or a request for its report;
  ** 'sequence' counts the orders that this incarnation has accepted.
  */
  void reported(guint64 dispatch, EndpointStage stage, gint64 sequence,
                bool busy = false);
  /* Gives the router the store's answer to its last lease call. */
  void lease(StoreStatus status, gint64 revision, const char *holder,
             guint64 term = 1);

  /* Returns the last dispatch other than a check. */
  SentDispatch &last();
  /* Returns the dispatch of this number, which must be in 'dispatches'. */
  const SentDispatch &sent(guint64 dispatch) const;
  /* Returns how many DISPATCH_RUN were sent for a request. */
  unsigned runs(guint64 request) const;
  /* Returns the result of a request; an empty one if it has none yet. */
  CallerResult &end(guint64 request);

  /*
  ** The next configuration's limit on connections to one plain endpoint, from
  ** all instances together; 0: no limit.
  */
  guint32 max_connections = 0;
  /* The client accounts of the next configuration. */
  std::vector<Client> clients;
  /* Priorities of the next configuration's routes, by prefix; 0 if absent. */
  std::map<std::string, guint32> priorities;
  /* Length hint of the next requests in tokens; 0: none. */
  guint32 length_hint = 0;
  /* The key that callers send; NULL: none. */
  const char *key = nullptr;
  unsigned keys = 1; /* how often a request repeats that key */
  /*
  ** Hash of the content of the next requests; 0: each request has a content of
  ** its own.
  */
  guint64 content = 0;
  /* Parts of the next requests' prompts that others may have too. */
  std::vector<guint64> parts;
  /* The next outcomes came over connections that were open before. */
  bool was_kept = false;
  /* The next answers have neither a length nor chunks. */
  bool ends_with_close = false;
  /* Start time (Unix ms) of the incarnation in the next endpoint record. */
  gint64 started_unix_ms = 0;
  /* Slots in the next endpoint record; 0: not stated. */
  guint32 slots = 0;
  /* Version of the software in the next endpoint record; NULL: none. */
  const char *software = nullptr;
  /* ID of the next request; empty: "r" and its number. */
  std::string id;
  /* Store revision of the next endpoint record. */
  gint64 revision = 0;
  guint64 era = 0; /* of the store: changes when it is restored */

  Router *router; /* owned by the World */
  gint64 now = 100 * second;
  std::vector<SentDispatch> dispatches;  /* all but DISPATCH_CHECK */
  std::vector<SentDispatch> checks;      /* DISPATCH_CHECK: tries to connect */
  std::map<guint64, CallerResult> ended; /* by number of the request */
  std::vector<std::string> log;          /* event number, then fields, each */
  std::vector<LeaseCallRecord> lease_calls;
  std::vector<mp_LoadNote> notes;
  /* Messages to other instances, and whom they are for. */
  std::vector<std::pair<mp_Addr, mp_Msg>> messages;
  /* What is held back now, by number of the request. */
  std::map<guint64, HeldEvents> held;
  gint64 longest_hold = 0; /* of those that were released */
  /* The last event that the caller of a resumption has, by its number. */
  std::map<guint64, std::string> resumed_after;

private:
  /* Sends the request with its number, ID, host, path, content and keys. */
  guint64 send(const std::string &path, CallerRequest call);
  static void on_dispatch(void *data, const Dispatch *dispatch);
  static void on_cancel(void *data, guint64 dispatch);
  static void on_answer(void *data, guint64 request, const Outcome *outcome);
  static void on_refuse(void *data, guint64 request, const Refusal *refusal);
  static void on_break_off(void *data, guint64 request);
  static void on_log(void *data, mp_EventNo number, const char *fields);
  static void on_note(void *data, guint32 endpoint, guint32 tokens);
  static void on_message(void *data, mp_Addr to, const mp_Msg *message);
  static void on_hold(void *data, guint64 request, gboolean holds);
  static void on_lease_call(void *data, const StoreCall *call);
  guint64 last_number = 0;
};

} // namespace routing

#endif
