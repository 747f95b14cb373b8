/*
** router_world.h
** A router with a host that writes down what it asks for, in virtual time
*/

#ifndef ROUTER_WORLD_H
#define ROUTER_WORLD_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "router/endpoint_table.h"
#include "router/rate_limits.h"
#include "router/router.h"
}

namespace routing {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;

/* how old news may be that say there is no route */
constexpr gint64 news_age_max = 2500 * ms;

/* a dispatch as it was asked for */
struct SentDispatch {
  guint64 number = 0;
  DispatchKind kind = DISPATCH_RUN;
  guint64 request = 0;
  std::string endpoint;
  guint32 life = 0;
  gint64 deadline_ms = 0;
  std::string handle;
  std::string last_event;
  bool stream = false;
  EndpointStage order_stage = STAGE_NONE; /* ORDER */
  gint64 fence = 0;
  gint64 sequence = 0;
  std::string account; /* RUN and PREFILL */
  gint64 connect_timeout = 0;
  bool cancelled = false;
  bool ended = false; /* its last outcome was told */
};

/* what became of a caller's request */
struct CallerResult {
  int answers = 0; /* whole answers, ends of streams */
  int refusals = 0;
  int broken_off = 0;
  int heads = 0;
  int status = 0;
  RefusalKind refusal = REFUSAL_NO_ROUTE;
  gint64 retry_after_ms = 0;
  std::vector<std::string> events;
  gint64 at = 0;

  int ends() const {
    return answers + refusals + broken_off;
  }
};

struct Place {
  const char *id;
  const char *service;
  const char *zone;
  EndpointStage stage;
};

/* signals of an answer that served its request */
EndpointSignals signals_served();
/* the same of one that names this rate; RATE_UNLIMITED: none */
EndpointSignals signals_rate(double rate);
/* of an answer that says that the endpoint leaves */
EndpointSignals signals_leaving();
/* of a refusal that asks for rest */
EndpointSignals signals_rest(gint64 time);

/* a client account of the configuration */
struct Client {
  const char *name;
  std::vector<const char *> keys;
  double rate = 0; /* tokens a second; 0: no limit */
  double burst = 0;
};

/* a call for the lease as it was asked for */
struct LeaseCallRecord {
  StoreOperation operation = STORE_READ;
  gint64 revision = 0;
  std::string holder;
  guint64 term = 0;
};

/* the hash of an endpoint's life; 0: it began at a time that is not known */
inline guint32 incarnation_hash_of(const char *id,
                                   gint64 started_unix_ms = 0) {
  EndpointRecord record = {};
  record.id = const_cast<char *>(id);
  record.started_unix_ms = started_unix_ms;
  return endpoint_incarnation_hash(&record);
}

class World {
public:
  /* by default the retry budget is no matter, and no orders are given */
  explicit World(guint32 slack = 0, double ratio = 10.0,
                 gint64 lease_length = 0, const char *self = "10.0.0.5:1",
                 gint64 proof_age_max = 0, const char *zone = "a");
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /*
  ** Routes: /safe/ and /unsafe/ to "app"; /stream/ (at most once) and
  ** /resume/ (resumable, two attempts) to the engines of "llm"; and
  ** /public/ to "app", which needs no key. With clients, the others do.
  */
  void configure(guint64 version = 1, gint64 timeout = 10 * second,
                 gint64 objective = 900 * ms);
  void endpoint(const Place &place, bool ready = true, bool gone = false);
  /* two plain endpoints, one prefill and two decode engines */
  void add_default_endpoints();

  guint64 request(const std::string &path, gint64 deadline_ms = 10000,
                  guint32 prompt = 1000, guint32 output = 500);
  /* a caller that lost a stream of this session half-way goes on with it */
  guint64 request_resumption(const std::string &path, guint64 session);
  /* that the next request will have */
  guint64 next_request_number() const;
  void hangup(guint64 number);
  void advance(gint64 span);

  /* the head of the dispatch's answer carries these */
  void signal(guint64 dispatch, const EndpointSignals &signals);
  /* outcomes of a dispatch */
  void outcome(guint64 dispatch, OutcomeKind kind, int status = 200);
  void prefilled(guint64 dispatch, const char *handle = "h1");
  void piece(guint64 dispatch, const char *event);
  void reported(guint64 dispatch, EndpointStage stage, gint64 sequence,
                bool busy = false);
  /* the store's answer to the last call for the lease */
  void lease(StoreStatus status, gint64 revision, const char *holder,
             guint64 term = 1);

  SentDispatch &last();
  const SentDispatch &sent(guint64 dispatch) const;
  /* runs sent for a request */
  unsigned runs(guint64 request) const;
  CallerResult &end(guint64 request);

  /* that a plain endpoint takes of all instances; 0: any */
  guint32 max_connections = 0;
  /* the client accounts of the next configuration, and what callers send */
  std::vector<Client> clients;
  const char *key = nullptr;
  unsigned keys = 1; /* how often the key stands, when there is one */
  /* digest of what callers ask for; 0: each asks for something else */
  guint64 content = 0;
  /* start of the life that the next record of an endpoint tells, Unix ms */
  gint64 started_unix_ms = 0;
  /* that the next record of an endpoint has in the store */
  gint64 revision = 0;
  guint64 era = 0; /* of the store */

  Router *router;
  gint64 now = 100 * second;
  std::vector<SentDispatch> dispatches; /* all but checks */
  std::vector<SentDispatch> checks; /* does the endpoint take connections? */
  std::map<guint64, CallerResult> ended;
  std::vector<std::string> log;
  std::vector<LeaseCallRecord> lease_calls;
  std::vector<mp_LoadNote> notes;

private:
  /* number, id, host and path are filled in */
  guint64 send(const std::string &path, CallerRequest call);
  static void on_dispatch(void *data, const Dispatch *dispatch);
  static void on_cancel(void *data, guint64 dispatch);
  static void on_answer(void *data, guint64 request, const Outcome *outcome);
  static void on_refuse(void *data, guint64 request, const Refusal *refusal);
  static void on_break_off(void *data, guint64 request);
  static void on_log(void *data, mp_EventNo number, const char *fields);
  static void on_note(void *data, guint32 endpoint, guint32 tokens);
  static void on_lease_call(void *data, const StoreCall *call);
  guint64 last_number = 0;
};

} // namespace routing

#endif
