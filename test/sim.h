/*
** sim.h
** Small fakes around real decision cores, in virtual time
** Instances are real mp_States; network, engines, platform and callers are
** fakes at their interfaces. Every run with the same seed is the same.
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

/* one caller and what it was told */
struct Caller {
  uint64_t call = 0;
  size_t node = 0;
  std::string key, prompt, kind;
  uint32_t max_tokens = 0;
  bool once = false; /* class that may not be repeated */
  bool gone = false; /* hung up, or its instance died */
  bool ended = false, failed = false;
  int endings = 0;
  std::string text;
  mp_Error error = MP_ERR_NONE;
  mp_Ran ran = MP_RAN_NO;
  int retry_s = 0;
  mp_Time sent = 0, first = 0, last = 0;
};

/* one piece of work an engine began */
struct RunRecord {
  std::string token; /* without the attempt */
  uint32_t attempt;
  std::string op, dc, engine;
  mp_Time at;
};

/* one hold of an engine */
struct Work {
  mp_Token token;
  uint32_t attempt;
  std::string op; /* prefill, kv, import, decode, plain */
  std::string prompt;
  uint32_t max_tokens = 0, made = 0, sent = 0;
  uint64_t xcall = 0; /* who reads it; 0: nobody */
  size_t node = 0;
  uint64_t serial = 0;
};

struct Engine {
  mp_Addr addr = 0;
  std::string name, dc, service;
  mp_Role role = MP_ROLE_PREFILL;
  uint32_t slots = 4, rate = 20000;
  mp_Time pace = 20 * ms, kv_lifetime = 4 * sec;
  bool dead = false, frozen = false, leaving = false, fences = true;
  bool dup = false;        /* pieces come twice, and some late */
  uint32_t lost_piece = 0; /* this piece (from 1) is lost */
  int losecancel = 0;      /* cancels that are not heard */
  int stalled_imports = 0; /* imports that never end */
  mp_Time late = 0;        /* answers come so much later */
  mp_Time left_at = 0;     /* when it began to leave */
  uint64_t fence = 0;
  std::vector<std::shared_ptr<Work>> works;
  std::set<std::string> cancelled;
  std::deque<std::function<void()>> held; /* what waits for the thaw */
  mp_Time busy_until = 0;
};

struct Node {
  mp_State *M = nullptr;
  mp_Addr addr = 0;
  std::string dc;
  uint32_t start = 1;
  bool dead = false, paused = false, drained = false;
  mp_Time ahead = 0;                       /* its clock jumped by so much */
  std::deque<std::function<void()>> inbox; /* while paused */
  uint64_t config = 0;
  uint64_t epoch = 0; /* grows with every death: old events miss it */
  mp_Time woken = 0;
};

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
  int lost_store_replies = 0; /* writes whose reply is lost after the effect */
  uint64_t store_calls = 0, store_writes = 0;
  std::map<uint64_t, Caller> callers;
  std::vector<RunRecord> ledger;
  std::map<std::string, uint64_t> calls; /* token -> call */
  std::vector<std::string> broken;       /* promises broken, as text */
  /* is the way from one data centre (or "platform") to another cut? */
  std::function<bool(const std::string &, const std::string &)> cut;
  /* is this datagram lost? */
  std::function<bool(mp_Addr, mp_Addr, const mp_Msg &)> drop;
  /* called with every numbered event of every node */
  std::function<void(size_t, const mp_Log &)> on_log_event;
  /* called before an engine's event reaches a node */
  std::function<void(size_t, uint64_t call, const mp_EndpointEvent &)>
      on_endpoint_event;
  std::function<void(size_t, const mp_EndpointCall &)> onxcall;
  bool trace = false;

  explicit Sim(uint64_t seed = 1);
  ~Sim();
  Sim(const Sim &) = delete;
  Sim &operator=(const Sim &) = delete;

  size_t add_node(const std::string &dc);
  size_t add_engine(const std::string &dc, mp_Role role,
                    const std::string &service);
  /* nodes in these data centres, and engines in each of a, b and c */
  void build(const std::vector<const char *> &node_dcs,
             const std::vector<std::pair<mp_Role, const char *>> &engines);
  /* put the instance list and a configuration into the platform */
  void publish_instance_list();
  void publish(uint64_t version, const std::string &yaml);
  /* the same, without the platform's check of the version before */
  void start_nodes();

  /* a request; the class is "ask", "once", "plain" or "plainonce" */
  uint64_t request(size_t node, const std::string &cls, const std::string &key,
                   const std::string &prompt, uint32_t max_tokens = 8);
  void hangup(uint64_t call);

  void run(mp_Time until);
  void at(mp_Time t, std::function<void()> f);

  void kill(size_t node);
  void restart(size_t node); /* after kill, as a fresh instance */
  void pause(size_t node);
  void resume(size_t node);
  void drain(size_t node);
  void kill_engine(size_t e);
  void revive_engine(size_t e);
  void freeze(size_t e);
  void thaw(size_t e);

  size_t nodeof(mp_Addr a) const; /* or nodes.size() */
  Engine *engine_at(mp_Addr a);
  size_t keeper_index(size_t node, mp_Addr endpoint) const;
  /* engine memory held now, as text */
  std::vector<std::string> held() const;
  /* check all promises; adds to 'broken' */
  void check(const std::set<std::string> &allowed_dcs);

private:
  struct Later {
    mp_Time t;
    uint64_t n;
    std::function<void()> f;
    bool operator<(const Later &o) const {
      return t != o.t ? t > o.t : n > o.n;
    }
  };
  std::priority_queue<Later> queue_;
  uint64_t serial_ = 0, seed_;
  uint64_t lastcall_ = 0;
  std::map<std::pair<size_t, uint64_t>, bool> aborted_;

  void boot(size_t n);
  void exits(size_t n);
  void feed(size_t n, const mp_Event &e);
  void to(size_t n, std::function<void()> f); /* when not paused */
  void perform(size_t n);
  void wake(size_t n);
  void send(size_t n, mp_Addr to, const mp_Msg &m);
  void reply(size_t n, const mp_Reply &r);
  void handle_store_call(size_t n, const mp_StoreCall &s);
  void send_store_reply(size_t n, uint64_t op, mp_StoreStatus st,
                        const Object *o);
  void xcall(size_t n, const mp_EndpointCall &x);
  void run_on_engine(Engine &e, std::function<void()> f);
  void begin(Engine &e, size_t n, const mp_EndpointCall &x, const Caller *c,
             const std::string &kv, const std::string &partial);
  void event(size_t n, mp_EndpointEvent ev, const std::string &text,
             mp_Time wait);
  void fail(size_t n, uint64_t xcall, mp_EndpointFailure f, mp_Time wait);
  void tokens(mp_Addr engine, uint64_t serial);
  void prefilled(mp_Addr engine, uint64_t serial);
  void arrived(const Engine &e);
  void load(Engine &e, size_t n, uint64_t xcall);
  std::shared_ptr<Work> find(Engine &e, const mp_Token &t, uint32_t attempt,
                             const std::string &op);
  void ran(Engine &e, const mp_Token &t, uint32_t attempt,
           const std::string &op);
};

/* what the engines answer to a prompt */
std::string answer(const std::string &prompt, uint32_t i);
uint32_t length(const std::string &prompt, uint32_t max);

/* the configuration that the tests use, with policy switches to change */
std::string config(const std::string &changes = "");

} // namespace sim

#endif
