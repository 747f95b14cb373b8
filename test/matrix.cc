/*
** matrix.cc
** The fault matrix: every fault at every step of a request's path
**
** Six instances in three data centres, of which the third is forbidden to
** the request. The fault strikes as the step begins, and heals after some
** seconds. Then the world runs on until nothing may be left, and all
** promises are checked against the engines' ledgers.
*/

#include "matrix.h"

#include <cstring>

namespace matrix {

using namespace sim;

const char *const step_names[] = {
#define X(sym, name) name,
    MATRIX_STEPS(X)
#undef X
};

const char *const fault_names[] = {
#define X(sym, name) name,
    MATRIX_FAULTS(X)
#undef X
};

const char *const kind_names[] = {"repeatable", "once"};

std::string name(const Cell &c) {
  std::string s = std::string(kind_names[c.kind]) + " / " +
                  step_names[c.step] + " / " + fault_names[c.first];
  if (c.second != FAULTS)
    s += std::string(" + ") + fault_names[c.second];
  s += c.twice ? ", twice" : "";
  return c.baseline ? s + ", baseline" : s;
}

namespace {

const size_t entry = 0;
const mp_Time heals = 4 * sec;

struct Play {
  Sim s;
  const Cell &c;
  uint64_t call = 0;
  bool struck = false;
  int pieces = 0;
  mp_Addr prefill = 0, decode = 0;
  std::string seq;
  uint64_t version = 1;

  explicit Play(const Cell &cell) : s(cell.seed), c(cell) {
    for (const char *dc : {"a", "a", "b", "b", "c", "c"})
      s.add_node(dc);
    for (const char *dc : {"a", "b", "c"}) {
      s.add_engine(dc, MP_ROLE_PREFILL, "llm");
      s.add_engine(dc, MP_ROLE_PREFILL, "llm");
      s.add_engine(dc, MP_ROLE_DECODE, "llm");
      s.add_engine(dc, MP_ROLE_DECODE, "llm");
    }
    s.publish_instance_list();
    s.publish(version, text());
    s.start_nodes();
    s.run(s.now + 4 * sec);
  }

  std::string text() const {
    std::string t = config();
    size_t at = t.find("policy:");
    while (c.baseline && (at = t.find(": true", at)) != std::string::npos)
      t.replace(at, 6, ": false");
    return t;
  }

  size_t index(mp_Addr a) {
    for (size_t i = 0; i < s.engines.size(); i++) {
      if (s.engines[i].addr == a)
        return i;
    }
    /* not chosen yet: one that may well be */
    return a == prefill ? 0 : 2;
  }

  size_t prefillno() {
    return prefill ? index(prefill) : 0;
  }

  size_t decodeno() {
    return decode ? index(decode) : 2;
  }

  /* the keeper of the decode engine, when that is not the entry itself */
  size_t keeper() {
    size_t k = s.keeper_index(entry, s.engines[decodeno()].addr);
    if (k == entry || k >= s.nodes.size())
      k = s.keeper_index(entry, s.engines[prefillno()].addr);
    return k == entry || k >= s.nodes.size() ? 1 : k;
  }

  void killnode(size_t n) {
    s.kill(n);
    s.at(s.now + heals, [this, n] { s.restart(n); });
  }

  void pausenode(size_t n) {
    s.pause(n);
    s.at(s.now + heals, [this, n] { s.resume(n); });
  }

  void
  cutting(std::function<bool(const std::string &, const std::string &)> f) {
    s.cut = std::move(f);
    s.at(s.now + heals, [this] { s.cut = nullptr; });
  }

  void kill_engine(size_t e) {
    s.kill_engine(e);
    s.at(s.now + heals, [this, e] { s.revive_engine(e); });
  }

  void freeze(size_t e) {
    s.freeze(e);
    s.at(s.now + heals, [this, e] { s.thaw(e); });
  }

  template <class F> void each(F f) {
    for (auto &e : s.engines)
      f(e);
  }

  void strike(Fault f) {
    switch (f) {
    case FAULT_CALLER_GONE:
      s.at(s.now, [this] { s.hangup(call); });
      break;
    case FAULT_ENTRY_KILLED:
      killnode(entry);
      break;
    case FAULT_ENTRY_PAUSED:
      pausenode(entry);
      break;
    case FAULT_ENTRY_DRAINED:
      s.at(s.now, [this] { s.drain(entry); });
      s.at(s.now + 40 * sec, [this] {
        if (s.nodes[entry].start == 1 && !s.nodes[entry].drained &&
            !s.nodes[entry].dead)
          s.broken.push_back("7: a drained instance did not come to an end");
      });
      break;
    case FAULT_KEEPER_KILLED:
      killnode(keeper());
      break;
    case FAULT_KEEPER_PAUSED:
      pausenode(keeper());
      break;
    case FAULT_TWO_KEEPERS: {
      mp_Addr k = s.nodes[keeper()].addr;
      /* its neighbours hear nothing of it; it hears them */
      s.drop = [this, k](mp_Addr from, mp_Addr to, const mp_Msg &m) {
        (void)m;
        return from == k && to != s.nodes[entry].addr;
      };
      s.at(s.now + heals, [this] { s.drop = nullptr; });
      break;
    }
    case FAULT_HOME_KILLED:
      for (size_t n : {3, 5})
        killnode(n);
      break;
    case FAULT_HOME_PAUSED:
      for (size_t n : {3, 5})
        pausenode(n);
      break;
    case FAULT_PREFILL_KILLED:
      kill_engine(prefillno());
      break;
    case FAULT_PREFILL_FROZEN:
      freeze(prefillno());
      break;
    case FAULT_DECODE_KILLED:
      kill_engine(decodeno());
      break;
    case FAULT_DECODE_FROZEN:
      freeze(decodeno());
      break;
    case FAULT_LATE:
      each([](Engine &e) { e.late = 2500 * ms; });
      s.at(s.now + heals, [this] { each([](Engine &e) { e.late = 0; }); });
      break;
    case FAULT_TWICE:
      each([](Engine &e) { e.dup = true; });
      break;
    case FAULT_STALLED:
      each([](Engine &e) { e.stalled_imports = 1; });
      break;
    case FAULT_KV_EXPIRED:
      each([](Engine &e) { e.kv_lifetime = 8 * ms; });
      for (auto &e : s.engines) {
        for (size_t i = 0; i < e.works.size();)
          if (e.works[i]->op == "kv")
            e.works.erase(e.works.begin() + static_cast<long>(i));
          else
            i++;
      }
      s.at(s.now + 1 * sec,
           [this] { each([](Engine &e) { e.kv_lifetime = 4 * sec; }); });
      break;
    case FAULT_LEAVING:
      for (size_t i : {prefillno(), decodeno()}) {
        s.engines[i].leaving = true; /* the list does not say so */
        s.engines[i].left_at = s.now;
      }
      break;
    case FAULT_CANCEL_LOST:
      each([](Engine &e) { e.losecancel = 20; });
      s.at(s.now, [this] { s.hangup(call); });
      s.at(s.now + 8 * sec,
           [this] { each([](Engine &e) { e.losecancel = 0; }); });
      break;
    case FAULT_STORE_DOWN:
      s.store_down = true;
      s.at(s.now + heals, [this] { s.store_down = false; });
      break;
    case FAULT_STORE_SLOW:
      s.store_extra_delay = 3 * sec;
      s.at(s.now + heals, [this] { s.store_extra_delay = 0; });
      break;
    case FAULT_STORE_LOSE:
      s.lost_store_replies = 2;
      break;
    case FAULT_CUT_STORE:
      cutting([](const std::string &, const std::string &to) {
        return to == "platform";
      });
      break;
    case FAULT_CUT_ALL:
      cutting([](const std::string &from, const std::string &to) {
        return (from == "a") != (to == "a") && to != "platform";
      });
      break;
    case FAULT_CUT_ONE_WAY:
      cutting([](const std::string &from, const std::string &to) {
        return from == "b" && to == "a";
      });
      break;
    case FAULT_CLOCK:
      s.nodes[entry].ahead += 6 * sec;
      s.nodes[entry].woken = 0;
      break;
    case FAULT_SAME_ID:
      s.at(s.now, [this] {
        s.request(2, c.kind == KIND_ASK ? "ask" : "once", "key-0", "victim",
                  8);
      });
      break;
    case FAULT_CONFIG:
      version++;
      s.publish(version, text() + "drained: []\n");
      break;
    case FAULT_DATAGRAMS: {
      auto n = std::make_shared<int>(0);
      s.drop = [n](mp_Addr, mp_Addr, const mp_Msg &) { return ++*n % 3 != 0; };
      s.at(s.now + heals, [this] { s.drop = nullptr; });
      break;
    }
    case FAULTS:
      break;
    }
  }

  void both() {
    strike(c.first);
    strike(c.second);
  }

  void reach(Step st) {
    if (struck || st != c.step)
      return;
    struck = true;
    both();
    if (c.twice)
      s.at(s.now + 700 * ms, [this] { both(); });
  }

  void on_log_event(size_t n, const mp_Log &l) {
    static const std::map<std::string, Step> steps = {
        {"step=0", STEP_CLAIM},        {"step=1", STEP_DECODE_SLOT},
        {"step=2", STEP_PREFILL_SLOT}, {"step=3", STEP_PREFILL},
        {"step=4", STEP_TRANSFER},     {"step=5", STEP_DECODE}};
    const char *at = strstr(l.fields, "step=");
    if (n != entry || l.no != MP_LOG_STEP || at == nullptr ||
        strstr(l.fields, "seq=00000001 ") == nullptr)
      return;
    auto it = steps.find(at);
    if (it != steps.end())
      reach(it->second);
  }

  void onxcall(size_t n, const mp_EndpointCall &x) {
    if (n != entry || x.token.seq != 1 || x.token.start != 1)
      return;
    if (x.op == MP_X_PREFILL)
      prefill = x.endpoint;
    if (x.op == MP_X_IMPORT)
      decode = x.endpoint;
    if (x.op == MP_X_CANCEL && prefill != 0 && x.endpoint == prefill)
      reach(STEP_RELEASE);
    xcalls[x.xcall] = x.op;
  }

  std::map<uint64_t, mp_EndpointOp> xcalls;

  void on_endpoint_event(size_t n, const mp_EndpointEvent &e) {
    if (n != entry || !xcalls.count(e.xcall))
      return;
    mp_EndpointOp op = xcalls[e.xcall];
    if (op == MP_X_PREFILL && e.what == MP_EP_DONE)
      reach(STEP_KV);
    if (op == MP_X_DECODE && e.what == MP_EP_CHUNK && e.index == 2)
      reach(STEP_STREAM);
    if (op == MP_X_DECODE && e.what == MP_EP_DONE)
      reach(STEP_LAST);
  }

  Outcome run() {
    const char *cls = c.kind == KIND_ASK ? "ask" : "once";
    s.on_log_event = [this](size_t n, const mp_Log &l) { on_log_event(n, l); };
    s.onxcall = [this](size_t n, const mp_EndpointCall &x) { onxcall(n, x); };
    s.on_endpoint_event = [this](size_t n, uint64_t,
                                 const mp_EndpointEvent &e) {
      on_endpoint_event(n, e);
    };
    if (c.step == STEP_ACCEPT)
      reach(STEP_ACCEPT);
    if (!s.nodes[entry].dead)
      call = s.request(entry, cls, "key-0", "victim", 8);
    /* others, whose answers must not mix with it */
    s.request(1, "ask", "", "other-1", 9);
    s.request(2, "ask", "key-2", "other-2", 7);
    s.request(3, "once", "key-3", "other-3", 6);
    /* the caller comes back with the same ID */
    s.at(s.now + 3 * sec,
         [this, cls] { s.request(3, cls, "key-0", "victim", 8); });
    /* and work that comes when endpoints have long said that they leave */
    s.at(s.now + 6 * sec, [this] {
      for (size_t n : {1, 2, 3})
        s.request(n, "ask", "", "later-" + std::to_string(n), 5);
    });
    s.run(s.now + 45 * sec);
    s.check({"a", "b"});
    check7();
    Outcome o;
    o.broken = s.broken;
    o.struck = struck;
    const Caller &v = s.callers[call];
    o.end = call == 0 || v.gone ? "gone"
            : v.ended           ? "answered"
            : v.failed          ? mp_error_name(v.error)
                                : "nothing";
    return o;
  }

  /* a planned stop alone cuts nothing off */
  void check7() {
    bool planned =
        (c.first == FAULT_ENTRY_DRAINED || c.first == FAULT_LEAVING) &&
        c.second == FAULTS;
    if (!planned || call == 0)
      return;
    const Caller &v = s.callers[call];
    bool begun = c.step > STEP_PREFILL;
    if (c.first == FAULT_ENTRY_DRAINED && !v.ended)
      s.broken.push_back(std::string("7: a drain cut off the request: ") +
                         mp_error_name(v.error));
    if (c.first == FAULT_LEAVING && begun && c.step >= STEP_STREAM && !v.ended)
      s.broken.push_back("7: a leaving engine cut off a stream");
  }
};

} // namespace

Outcome play(const Cell &c, bool trace) {
  Play p(c);
  p.s.trace = trace;
  return p.run();
}

} // namespace matrix
