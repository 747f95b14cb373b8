/*
** sim.h
** Sim: real decision cores with fakes around them, in virtual time
**
** Each node is an instance with a real core (mp_State). The network, the
** engines, the platform's store and the callers are fakes at the interfaces
** of the core. A run depends on its seed alone. Times are in us of a virtual
** clock that starts at 10 s.
**
** Each broken promise becomes a text in 'broken' that begins with its number:
**   0  nothing runs in a forbidden data centre
**   1  engines hold no memory that nobody uses
**   2  nothing is answered twice
**   3  each caller gets the whole answer to its own request, and one end
**   4  "not run" is told only if nothing was run
**   5  a request that must not be repeated runs at most once
**   6  an endpoint gets nothing new later than 4 s after it began to leave
**   7  planned stops cut off nothing
**   8  a configuration never goes back
*/

#ifndef SIM_H
#define SIM_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "madderpier.h"

namespace sim {

const mp_Time ms = MP_MS;
const mp_Time sec = MP_SEC;

/* One request of a caller, and what its caller received. */
struct Caller {
  uint64_t call = 0;
  size_t node = 0; /* index of the instance that it was sent to */
  std::string key, prompt, kind; /* kind: the class given to request() */
  uint32_t max_tokens = 0;
  bool once = false; /* its class must not be run twice */
  bool gone = false; /* it hung up, or its instance ended */
  bool ended = false, failed = false;
  int endings = 0;
  std::string text;
  mp_Error error = MP_ERR_NONE;
  mp_Ran ran = MP_RAN_NO;
  int retry_s = 0;
  /* times of the request, the first piece, and the end or error */
  mp_Time sent = 0, first = 0, last = 0;
};

/* One operation that an engine began. */
struct RunRecord {
  std::string token; /* without the attempt */
  uint32_t attempt;
  std::string op, dc, engine;
  mp_Time at;
};

/* One operation that holds memory of an engine. */
struct Work {
  mp_Token token;
  uint32_t attempt;
  std::string op; /* prefill, kv (held after it), import or decode */
  std::string prompt;
  uint32_t max_tokens = 0, made = 0, sent = 0;
  uint64_t xcall = 0; /* call that reads it; 0: none */
  size_t node = 0;
  uint64_t serial = 0;
};

/* A fake endpoint: an engine or a plain service. */
struct Engine {
  mp_Addr addr = 0;
  std::string name, dc, service;
  mp_Role role = MP_ROLE_PREFILL;
  uint32_t slots = 4, rate = 20000; /* decodes; prompt tokens per second */
  mp_Time pace = 20 * ms, kv_lifetime = 4 * sec; /* pace: of one token */
  bool dead = false, frozen = false, leaving = false, fences = true;
  bool dup = false; /* each piece is sent three times, 3 and 45 ms later */
  uint32_t lost_piece = 0; /* number (from 1) of the piece that is lost */
  int lost_cancels = 0;    /* number of cancels that will be lost */
  int stalled_imports = 0; /* number of imports that will never end */
  mp_Time late = 0;        /* extra delay of answers */
  mp_Time left_at = 0;     /* when it began to leave; 0: it has not */
  uint64_t fence = 0;
  std::vector<std::shared_ptr<Work>> works;
  std::set<std::string> cancelled;
  /* calls that wait while it is frozen */
  std::deque<std::function<void()>> waiting_calls;
  mp_Time busy_until = 0;
};

/* An instance. */
struct Node {
  mp_State *M = nullptr; /* its core; freed by Sim */
  mp_Addr addr = 0;
  std::string dc;
  uint32_t start = 1; /* grows with each restart */
  bool dead = false, paused = false, drained = false;
  mp_Time ahead = 0;                       /* offset of its clock */
  std::deque<std::function<void()>> inbox; /* events, while it is paused */
  uint64_t config = 0; /* last version seen, for promise 8 */
  /* grows with each kill; events of older epochs are dropped */
  uint64_t epoch = 0;
  mp_Time next_tick_at = 0; /* when its next tick is queued; 0: none is */
};

/* An object of the platform's store. */
struct Object {
  uint64_t version;
  std::string value;
};

struct Sim {
  mp_Time now = 0;
  std::vector<Node> nodes;
  std::vector<Engine> engines;
  std::map<std::string, Object> store;
  uint64_t store_version = 0;
  bool store_down = false;
  mp_Time store_extra_delay = 0;
  /* number of writes that will take effect but whose reply will be lost */
  int lost_store_replies = 0;
  uint64_t store_calls = 0, store_writes = 0;
  std::map<uint64_t, Caller> callers;
  std::vector<RunRecord> ledger;         /* all that engines began */
  std::map<std::string, uint64_t> calls; /* token -> call */
  std::vector<std::string> broken;       /* promises broken */
  /*
  ** Returns whether the network from one data centre to another (or to
  ** "platform") is cut; empty: it is not.
  */
  std::function<bool(const std::string &, const std::string &)> cut;
  /* Returns whether this datagram is lost; empty: it is not. */
  std::function<bool(mp_Addr, mp_Addr, const mp_Msg &)> drop;
  /* Called with each log event of each node. */
  std::function<void(size_t, const mp_Log &)> on_log_event;
  /* Called before an engine's event reaches a node; 'call' is always 0. */
  std::function<void(size_t, uint64_t call, const mp_EndpointEvent &)>
      on_endpoint_event;
  /* Called before a call of a node goes to its endpoint; may kill the node. */
  std::function<void(size_t, const mp_EndpointCall &)> on_endpoint_call;
  bool trace = false; /* prints log events */

  explicit Sim(uint64_t seed = 1);
  ~Sim();
  Sim(const Sim &) = delete;
  Sim &operator=(const Sim &) = delete;

  /* Return the index of the new node or engine. */
  size_t add_node(const std::string &dc);
  size_t add_engine(const std::string &dc, mp_Role role,
                    const std::string &service);
  /*
  ** Adds nodes in these data centres and these engines in each of a, b and c,
  ** publishes the list and configuration 1, starts all and runs for 5 s.
  */
  void build(const std::vector<const char *> &node_dcs,
             const std::vector<std::pair<mp_Role, const char *>> &engines);
  /* Write the instance list, or a configuration, to the store at once. */
  void publish_instance_list();
  void publish(uint64_t version, const std::string &yaml);
  void start_nodes();

  /*
  ** Sends a request; returns the number of the call. The class is "ask",
  ** "once", "plain", "plainonce", or "tight" (class "ask" of the account with
  ** a limit of 5 requests a second). An empty key: none.
  */
  uint64_t request(size_t node, const std::string &cls, const std::string &key,
                   const std::string &prompt, uint32_t max_tokens = 8);
  /* The caller closes its connection, unless the call has ended. */
  void hangup(uint64_t call);

  /* Handles all events up to this time; 'now' becomes it. */
  void run(mp_Time until);
  /* Calls f at this time. */
  void at(mp_Time t, std::function<void()> f);

  void kill(size_t node);
  void restart(size_t node); /* after kill(), with an empty memory */
  void pause(size_t node);
  void resume(size_t node);
  void drain(size_t node);
  void kill_engine(size_t e);
  void revive_engine(size_t e);
  void freeze(size_t e);
  void thaw(size_t e);

  /* Returns the index of the node at this address, or nodes.size(). */
  size_t node_index(mp_Addr a) const;
  /* Returns the engine at this address, or NULL. */
  Engine *engine_at(mp_Addr a);
  /*
  ** Returns the index of the node that keeps the load of this endpoint in the
  ** view of 'node', or nodes.size().
  */
  size_t keeper_index(size_t node, mp_Addr endpoint) const;
  /* Returns a text for each operation that holds engine memory now. */
  std::vector<std::string> held() const;
  /*
  ** Checks all promises and adds to 'broken'; work may have run only in these
  ** data centres.
  */
  void check(const std::set<std::string> &allowed_dcs);

private:
  struct ScheduledEvent {
    mp_Time t;
    uint64_t n;
    std::function<void()> f;
    bool operator<(const ScheduledEvent &o) const {
      return t != o.t ? t > o.t : n > o.n;
    }
  };
  std::priority_queue<ScheduledEvent> queue_;
  uint64_t serial_ = 0, seed_;
  uint64_t last_call_ = 0;
  std::map<std::pair<size_t, uint64_t>, bool> aborted_calls_;

  void start_node(size_t n);
  void finish_drain(size_t n);
  void feed(size_t n, const mp_Event &e);
  /* now, or when the node is resumed */
  void run_on_node(size_t n, std::function<void()> f);
  void perform_effects(size_t n);
  void schedule_tick(size_t n);
  void send_datagram(size_t n, mp_Addr to, const mp_Msg &m);
  void deliver_reply(size_t n, const mp_Reply &r);
  void handle_store_call(size_t n, const mp_StoreCall &s);
  void send_store_reply(size_t n, uint64_t op, mp_StoreStatus st,
                        const Object *o);
  void handle_endpoint_call(size_t n, const mp_EndpointCall &x);
  void run_on_engine(Engine &e, std::function<void()> f);
  void start_work(Engine &e, size_t n, const mp_EndpointCall &x,
                  const Caller *c, const std::string &kv,
                  const std::string &partial);
  void send_endpoint_event(size_t n, mp_EndpointEvent ev,
                           const std::string &text, mp_Time wait);
  void send_failure(size_t n, uint64_t xcall, mp_EndpointFailure f,
                    mp_Time wait);
  void generate_tokens(mp_Addr engine, uint64_t serial);
  void finish_prefill(mp_Addr engine, uint64_t serial);
  void check_not_leaving(const Engine &e);
  void answer_load_query(Engine &e, size_t n, uint64_t xcall);
  std::shared_ptr<Work> find_work(Engine &e, const mp_Token &t,
                                  uint32_t attempt, const std::string &op);
  void record_run(Engine &e, const mp_Token &t, uint32_t attempt,
                  const std::string &op);
};

/* The text of token i of an answer, and the number of its tokens. */
std::string answer(const std::string &prompt, uint32_t i);
uint32_t length(const std::string &prompt, uint32_t max);

/* Returns the configuration of the tests with this YAML text appended. */
std::string config(const std::string &changes = "");

} // namespace sim

#endif
