/*
** sim.cc
** Small fakes around real decision cores, in virtual time
*/

#include "sim.h"

#include <cstdio>
#include <cstring>

extern "C" {
#include "conf/conf.h"
}

namespace sim {

static std::string token_text(const mp_Token &t) {
  char s[64];
  mp_token_text(&t, 0, s);
  return s;
}

std::string answer(const std::string &prompt, uint32_t i) {
  return "<" + prompt + ":" + std::to_string(i) + ">";
}

uint32_t length(const std::string &prompt, uint32_t max) {
  return prompt.size() % 2 ? max : max / 2 + 1;
}

static std::string sha(const std::string &s) {
  char d[MP_SHA256_HEX + 1];
  mp_digest(s.data(), s.size(), d);
  return d;
}

std::string config(const std::string &changes) {
  std::string s = R"(data_centres:
  - {name: a, region: r}
  - {name: b, region: r}
  - {name: c, region: s}
services:
  - {name: llm, kind: engine, checks_fence: true}
  - {name: app, kind: plain, path: /app/, class: plain}
  - {name: claims, kind: plain, path: /claims/, class: plainonce}
models:
  - {name: m, service: llm, kv_bytes_per_token: 1000}
pools:
  - {service: llm, role: prefill, models: [m], least: 1}
  - {service: llm, role: decode, models: [m], least: 1}
classes:
  - {name: ask, first_token_ms: 2000, deadline_ms: 20000, weight: 5,
     repeatable: true}
  - {name: once, first_token_ms: 2000, deadline_ms: 20000, weight: 5,
     repeatable: false}
  - {name: plain, first_token_ms: 2000, deadline_ms: 10000, weight: 5,
     repeatable: true}
  - {name: plainonce, first_token_ms: 2000, deadline_ms: 10000, weight: 5,
     repeatable: false}
accounts:
  - {name: club, key_sha256: KEY, classes: [ask, once, plain, plainonce]}
  - {name: tight, key_sha256: TIGHT, classes: [ask], requests_per_s: 5,
     burst: 5}
rules:
  - {class: ask, run_in: [a, b], kv_move: any}
  - {class: once, run_in: [a, b], kv_move: any}
  - {class: plain, run_in: [a, b], kv_move: stay}
  - {class: plainonce, run_in: [a, b], kv_move: stay}
policy: {pick: madderpier, decode_first: true, prefix_affinity: true,
  slack_order: true, long_cap: true, transfer_plan: true, keep_prefill: true,
  refuse_early: true, quota_slices: true, role_orders: false,
  refuse_at: 100}
)";
  s.replace(s.find("KEY"), 3, sha("key"));
  s.replace(s.find("TIGHT"), 5, sha("tight"));
  return s + changes;
}

/*
** {==================================================================
** Set-up
** ===================================================================
*/

Sim::Sim(uint64_t seed) : seed_(seed) {
  now = 10 * sec;
}

Sim::~Sim() {
  for (auto &n : nodes)
    mp_free(n.M);
}

size_t Sim::add_node(const std::string &dc) {
  Node n;
  n.addr = (0x0a000001ULL + nodes.size()) << 16 | 7000;
  n.dc = dc;
  nodes.push_back(n);
  return nodes.size() - 1;
}

size_t Sim::add_engine(const std::string &dc, mp_Role role,
                       const std::string &service) {
  Engine e;
  e.addr = (0x0a010001ULL + engines.size()) << 16 | 8000;
  e.dc = dc;
  e.role = role;
  e.service = service;
  e.name = service + "-" + std::to_string(engines.size());
  engines.push_back(e);
  return engines.size() - 1;
}

void Sim::build(const std::vector<const char *> &node_dcs,
                const std::vector<std::pair<mp_Role, const char *>> &each) {
  for (const char *dc : node_dcs)
    add_node(dc);
  for (const char *dc : {"a", "b", "c"}) {
    for (auto &e : each)
      add_engine(dc, e.first, e.second);
  }
  publish_instance_list();
  publish(1, config());
  start_nodes();
  run(now + 5 * sec);
}

void Sim::publish_instance_list() {
  static const char *const roles[] = {"prefill", "decode", "plain"};
  std::string s = "{\"version\": " + std::to_string(store_version + 1) +
                  ", \"instances\": [";
  bool comma = false;
  for (auto &n : nodes) {
    char a[24];
    mp_addr_text(n.addr, a);
    s += std::string(comma ? "," : "") +
         "{\"kind\":\"entry\",\"name\":\"n\",\"data_centre\":\"" + n.dc +
         "\",\"address\":\"" + a + "\",\"state\":\"live\"}";
    comma = true;
  }
  for (auto &e : engines) {
    char a[24];
    mp_addr_text(e.addr, a);
    s += ",{\"kind\":\"endpoint\",\"name\":\"" + e.name +
         "\",\"data_centre\":\"" + e.dc + "\",\"address\":\"" + a +
         "\",\"service\":\"" + e.service + "\",\"role\":\"" + roles[e.role] +
         "\",\"state\":\"" + (e.leaving ? "leaving" : "live") + "\"}";
  }
  ++store_version;
  store["instances"] = {store_version, s + "]}"};
}

void Sim::publish(uint64_t version, const std::string &yaml) {
  mp_Manifest m;
  memset(&m, 0, sizeof m);
  m.version = version;
  g_strlcpy(m.apply_id, ("id" + std::to_string(version)).c_str(),
            sizeof m.apply_id);
  g_strlcpy(m.by, "test", sizeof m.by);
  g_strlcpy(m.when, "now", sizeof m.when);
  m.n = 1;
  g_strlcpy(m.section[0].name, "all.yaml", sizeof m.section[0].name);
  mp_digest(yaml.data(), yaml.size(), m.section[0].digest);
  store[std::string("config/section/") + m.section[0].digest] = {
      ++store_version, yaml};
  char *s = mp_manifest_write(&m);
  store["config/manifest"] = {++store_version, s};
  g_free(s);
}

void Sim::boot(size_t n) {
  Node &d = nodes[n];
  mp_Options o;
  memset(&o, 0, sizeof o);
  std::vector<mp_Addr> seeds;
  for (auto &x : nodes) {
    if (x.addr != d.addr)
      seeds.push_back(x.addr);
  }
  o.self = d.addr;
  o.dc = d.dc.c_str();
  o.start = d.start;
  o.seed = seed_ * 1000 + n * 10 + d.start;
  o.seeds = seeds.data();
  o.nseed = static_cast<unsigned>(seeds.size());
  o.net = 0x0a000000;
  o.mask = 0xffff0000;
  o.codec = mp_codec();
  d.M = mp_new(&o, now + d.ahead);
  d.config = 0;
  perform(n);
}

void Sim::start_nodes() {
  for (size_t i = 0; i < nodes.size(); i++)
    boot(i);
}

/* }================================================================== */

/*
** {==================================================================
** Time
** ===================================================================
*/

void Sim::at(mp_Time t, std::function<void()> f) {
  queue_.push({t, ++serial_, std::move(f)});
}

void Sim::run(mp_Time until) {
  while (!queue_.empty() && queue_.top().t <= until) {
    auto l = queue_.top();
    queue_.pop();
    now = std::max(now, l.t);
    l.f();
  }
  now = until;
}

void Sim::to(size_t n, std::function<void()> f) {
  if (nodes[n].paused)
    nodes[n].inbox.push_back(std::move(f));
  else
    f();
}

void Sim::wake(size_t n) {
  Node &d = nodes[n];
  mp_Time t = mp_next_tick(d.M) - d.ahead;
  uint64_t epoch = d.epoch;
  if (t == INT64_MAX - d.ahead || (d.woken > now && d.woken <= t))
    return;
  t = std::max(t, now);
  d.woken = t;
  at(t, [this, n, epoch, t] {
    if (nodes[n].epoch != epoch || nodes[n].dead)
      return;
    if (nodes[n].woken == t)
      nodes[n].woken = 0;
    to(n, [this, n, epoch] {
      if (nodes[n].epoch != epoch || nodes[n].dead)
        return;
      mp_Event e;
      memset(&e, 0, sizeof e);
      e.kind = MP_EV_TICK;
      feed(n, e);
    });
  });
}

void Sim::feed(size_t n, const mp_Event &e) {
  if (nodes[n].dead || nodes[n].M == nullptr)
    return;
  mp_feed(nodes[n].M, now + nodes[n].ahead, &e);
  perform(n);
}

void Sim::perform(size_t n) {
  mp_Effect fx;
  uint64_t epoch = nodes[n].epoch;
  mp_Status s;
  mp_status(nodes[n].M, &s);
  if (s.config_version < nodes[n].config)
    broken.push_back("8: configuration went back");
  nodes[n].config = s.config_version;
  /* a hook may kill the node under way */
  while (nodes[n].epoch == epoch && !nodes[n].dead &&
         mp_next_effect(nodes[n].M, &fx)) {
    switch (fx.kind) {
    case MP_FX_SEND:
      send(n, fx.u.send.to, fx.u.send.msg);
      break;
    case MP_FX_ENDPOINT_CALL:
      xcall(n, fx.u.xcall);
      break;
    case MP_FX_ENDPOINT_ABORT:
      aborted_[{n, fx.u.xabort}] = true;
      for (auto &e : engines) {
        for (auto &w : e.works) {
          if (w->xcall == fx.u.xabort && w->node == n)
            w->xcall = 0;
        }
      }
      break;
    case MP_FX_REPLY:
      reply(n, fx.u.reply);
      break;
    case MP_FX_STORE:
      handle_store_call(n, fx.u.store);
      break;
    case MP_FX_LOG:
      if (trace)
        printf("%9.3f n%zu %d %s%s\n", now / 1e6, n,
               static_cast<int>(fx.u.log.no), fx.u.log.text, fx.u.log.fields);
      if (on_log_event)
        on_log_event(n, fx.u.log);
      break;
    case MP_FX_DRAINED:
      exits(n);
      break;
    case MP_FX_NONE:
      break;
    }
  }
  if (nodes[n].epoch == epoch && !nodes[n].dead)
    wake(n);
}

/* }================================================================== */

/*
** {==================================================================
** Network and platform
** ===================================================================
*/

size_t Sim::nodeof(mp_Addr a) const {
  size_t i = 0;
  while (i < nodes.size() && nodes[i].addr != a)
    i++;
  return i;
}

void Sim::send(size_t n, mp_Addr dest, const mp_Msg &m) {
  size_t k = nodeof(dest);
  mp_Addr from = nodes[n].addr;
  auto copy = std::make_shared<mp_Msg>(m);
  if (k == nodes.size())
    return;
  if (cut && cut(nodes[n].dc, nodes[k].dc))
    return;
  if (drop && drop(from, dest, m))
    return;
  at(now + 1 * ms, [this, k, from, copy] {
    to(k, [this, k, from, copy] {
      mp_Event e;
      memset(&e, 0, sizeof e);
      e.kind = MP_EV_MSG;
      e.u.msg.from = from;
      e.u.msg.msg = copy.get();
      feed(k, e);
    });
  });
}

void Sim::send_store_reply(size_t n, uint64_t op, mp_StoreStatus st,
                           const Object *o) {
  uint64_t epoch = nodes[n].epoch;
  auto value = std::make_shared<std::string>(o ? o->value : "");
  uint64_t version = o ? o->version : 0;
  at(now + 2 * ms, [=, this] {
    if (nodes[n].epoch != epoch)
      return;
    to(n, [=, this] {
      mp_Event e;
      memset(&e, 0, sizeof e);
      e.kind = MP_EV_STORE;
      e.u.store.op = op;
      e.u.store.status = st;
      e.u.store.version = version;
      e.u.store.value = value->data();
      e.u.store.len = value->size();
      feed(n, e);
    });
  });
}

void Sim::handle_store_call(size_t n, const mp_StoreCall &s) {
  std::string key = s.key;
  std::string value(s.value ? s.value : "", s.len);
  mp_StoreOp what = s.what;
  uint64_t op = s.op, version = s.version, epoch = nodes[n].epoch;
  store_calls++;
  if (store_down || (cut && cut(nodes[n].dc, "platform"))) {
    send_store_reply(n, op, MP_STORE_DOWN, nullptr);
    return;
  }
  mp_Time t = now + 2 * ms + store_extra_delay;
  at(t, [=, this] {
    auto it = store.find(key);
    const Object *o = it == store.end() ? nullptr : &it->second;
    if (what == MP_ST_PUT) {
      store_writes++;
      if ((o ? o->version : 0) != version) {
        send_store_reply(n, op, MP_STORE_CONFLICT, nullptr);
        return;
      }
      store[key] = {++store_version, value};
      if (lost_store_replies > 0) {
        lost_store_replies--;
        send_store_reply(n, op, MP_STORE_UNKNOWN, nullptr);
      } else
        send_store_reply(n, op, MP_STORE_OK, &store[key]);
      return;
    }
    if (what == MP_ST_WATCH && o && o->version == version) {
      /* look again until it changes; the core gives up by itself */
      at(now + 100 * ms, [=, this] {
        if (nodes[n].epoch != epoch || nodes[n].dead)
          return;
        mp_StoreCall again = {op, what, key.c_str(), version, nullptr, 0};
        store_calls--;
        handle_store_call(n, again);
      });
      return;
    }
    send_store_reply(n, op, o ? MP_STORE_OK : MP_STORE_ABSENT, o);
  });
}

/* }================================================================== */

/*
** {==================================================================
** Callers
** ===================================================================
*/

uint64_t Sim::request(size_t n, const std::string &cls, const std::string &key,
                      const std::string &prompt, uint32_t max_tokens) {
  Caller c;
  bool plain = cls.rfind("plain", 0) == 0;
  std::string account = cls == "tight" ? "tight" : "key";
  std::string cl = cls == "tight" ? "ask" : cls;
  c.call = ++lastcall_;
  c.node = n;
  c.key = key;
  c.prompt = prompt;
  c.kind = cls;
  c.max_tokens = max_tokens;
  c.once = cls == "once" || cls == "plainonce";
  c.sent = now;
  c.gone = nodes[n].dead; /* its connection is refused */
  callers[c.call] = c;
  to(n, [=, this] {
    mp_Event e;
    memset(&e, 0, sizeof e);
    e.kind = MP_EV_CALL;
    e.u.call.call = c.call;
    e.u.call.bearer = account.c_str();
    e.u.call.class_name = cl.c_str();
    e.u.call.path = plain ? (c.once ? "/claims/x" : "/app/x") : "/v1";
    e.u.call.model = plain ? nullptr : "m";
    e.u.call.key = key.empty() ? nullptr : key.c_str();
    e.u.call.prompt_tokens = static_cast<uint32_t>(prompt.size());
    e.u.call.max_tokens = max_tokens;
    feed(n, e);
  });
  return c.call;
}

void Sim::hangup(uint64_t call) {
  Caller &c = callers[call];
  size_t n = c.node;
  if (c.ended || c.failed || c.gone)
    return;
  c.gone = true;
  to(n, [this, n, call] {
    mp_Event e;
    memset(&e, 0, sizeof e);
    e.kind = MP_EV_HANGUP;
    e.u.hangup = call;
    feed(n, e);
  });
}

void Sim::reply(size_t n, const mp_Reply &r) {
  auto it = callers.find(r.call);
  (void)n;
  if (it == callers.end())
    return;
  Caller &c = it->second;
  if (c.ended || c.failed) {
    broken.push_back("3: something came after the end of an answer");
    return;
  }
  switch (r.what) {
  case MP_REPLY_HEAD:
    break;
  case MP_REPLY_CHUNK:
    if (c.first == 0)
      c.first = now;
    c.text.append(r.text, r.len);
    break;
  case MP_REPLY_END:
    c.ended = true;
    c.last = now;
    break;
  case MP_REPLY_ERROR:
    c.failed = true;
    c.error = r.error;
    c.ran = r.ran;
    c.retry_s = r.retry_s;
    c.last = now;
    break;
  }
}

/* }================================================================== */

/*
** {==================================================================
** Engines
** ===================================================================
*/

Engine *Sim::engine_at(mp_Addr a) {
  for (auto &e : engines) {
    if (e.addr == a)
      return &e;
  }
  return nullptr;
}

std::shared_ptr<Work> Sim::find(Engine &e, const mp_Token &t, uint32_t attempt,
                                const std::string &op) {
  for (auto &w : e.works) {
    if (w->op == op && w->attempt == attempt &&
        memcmp(&w->token, &t, sizeof t) == 0)
      return w;
  }
  return nullptr;
}

void Sim::ran(Engine &e, const mp_Token &t, uint32_t attempt,
              const std::string &op) {
  ledger.push_back({token_text(t), attempt, op, e.dc, e.name, now});
  if (op != "decode") /* that came with its import */
    arrived(e);
}

void Sim::arrived(const Engine &e) {
  if (e.left_at > 0 && now - e.left_at > 4 * sec)
    broken.push_back("6: " + e.name + " got new work after it left");
}

void Sim::event(size_t n, mp_EndpointEvent ev, const std::string &text,
                mp_Time wait) {
  uint64_t epoch = nodes[n].epoch;
  auto copy = std::make_shared<std::string>(text);
  at(now + 1 * ms + wait, [=, this]() mutable {
    if (nodes[n].epoch != epoch || nodes[n].dead ||
        aborted_.count({n, ev.xcall}))
      return;
    to(n, [=, this]() mutable {
      if (nodes[n].epoch != epoch || aborted_.count({n, ev.xcall}))
        return;
      mp_Event e;
      memset(&e, 0, sizeof e);
      e.kind = MP_EV_ENDPOINT;
      ev.text = copy->data();
      ev.len = copy->size();
      e.u.endpoint = ev;
      if (on_endpoint_event)
        on_endpoint_event(n, 0, ev);
      feed(n, e);
    });
  });
}

void Sim::fail(size_t n, uint64_t x, mp_EndpointFailure f, mp_Time wait) {
  mp_EndpointEvent ev;
  memset(&ev, 0, sizeof ev);
  ev.xcall = x;
  ev.what = MP_EP_FAIL;
  ev.fail = f;
  event(n, ev, "", wait);
}

void Sim::run_on_engine(Engine &e, std::function<void()> f) {
  if (e.frozen)
    e.held.push_back(std::move(f));
  else
    f();
}

void Sim::xcall(size_t n, const mp_EndpointCall &x) {
  Engine *e = engine_at(x.endpoint);
  std::string kv = x.kv ? x.kv : "", partial = x.partial ? x.partial : "";
  const Caller *c =
      x.call && callers.count(x.call) ? &callers[x.call] : nullptr;
  mp_Addr a = x.endpoint;
  uint64_t epoch = nodes[n].epoch;
  if (x.call)
    calls[token_text(x.token)] = x.call;
  if (onxcall)
    onxcall(n, x);
  if (nodes[n].epoch != epoch || nodes[n].dead)
    return; /* the hook killed it before the call went out */
  if (e == nullptr || e->dead) {
    fail(n, x.xcall, MP_EPF_CONNECT, 0);
    return;
  }
  if (cut && cut(nodes[n].dc, e->dc))
    return; /* no answer ever: the core must give up by itself */
  mp_EndpointCall copy = x;
  at(now + 1 * ms, [=, this] {
    Engine *g = engine_at(a);
    if (g->dead) {
      fail(n, copy.xcall, MP_EPF_BROKEN, 0);
      return;
    }
    run_on_engine(
        *g, [=, this] { begin(*engine_at(a), n, copy, c, kv, partial); });
  });
}

void Sim::prefilled(mp_Addr a, uint64_t serial) {
  Engine &e = *engine_at(a);
  run_on_engine(e, [=, this] {
    Engine &g = *engine_at(a);
    for (auto &w : g.works) {
      if (w->serial != serial || w->op != "prefill")
        continue;
      w->op = "kv";
      char name[64];
      mp_token_text(&w->token, w->attempt, name);
      mp_EndpointEvent ev;
      memset(&ev, 0, sizeof ev);
      ev.xcall = w->xcall;
      ev.what = MP_EP_DONE;
      ev.life_ms = static_cast<uint32_t>(g.kv_lifetime / ms);
      if (w->xcall)
        event(w->node, ev, name, g.late);
      at(now + g.kv_lifetime, [=, this] {
        auto &ws = engine_at(a)->works;
        for (size_t i = 0; i < ws.size(); i++) {
          if (ws[i]->serial == serial) {
            ws.erase(ws.begin() + static_cast<long>(i));
            return;
          }
        }
      });
      return;
    }
  });
}

void Sim::tokens(mp_Addr a, uint64_t serial) {
  Engine &e = *engine_at(a);
  run_on_engine(e, [=, this] {
    Engine &g = *engine_at(a);
    for (size_t i = 0; i < g.works.size(); i++) {
      auto w = g.works[i];
      if (w->serial != serial || w->op != "decode")
        continue;
      uint32_t all = length(w->prompt, w->max_tokens);
      w->made = std::min(w->made + 1, all);
      while (w->xcall && w->sent < w->made) {
        mp_EndpointEvent ev;
        memset(&ev, 0, sizeof ev);
        ev.xcall = w->xcall;
        ev.what = MP_EP_CHUNK;
        ev.index = w->sent;
        ev.tokens = 1;
        std::string text = answer(w->prompt, w->sent);
        if (g.lost_piece != w->sent + 1)
          event(w->node, ev, text, g.late);
        if (g.dup) {
          event(w->node, ev, text, g.late + 3 * ms);
          event(w->node, ev, text, g.late + 45 * ms);
        }
        w->sent++;
      }
      if (w->made < all) {
        at(now + g.pace, [=, this] { tokens(a, serial); });
        return;
      }
      if (w->xcall) {
        mp_EndpointEvent ev;
        memset(&ev, 0, sizeof ev);
        ev.xcall = w->xcall;
        ev.what = MP_EP_DONE;
        ev.tokens = all;
        event(w->node, ev, "", g.late);
        g.works.erase(g.works.begin() + static_cast<long>(i));
      }
      return; /* without a reader it stays, until it is cancelled */
    }
  });
}

void Sim::load(Engine &e, size_t n, uint64_t x) {
  uint64_t epoch = nodes[n].epoch;
  auto holds = std::make_shared<std::vector<mp_HoldReport>>();
  auto l = std::make_shared<mp_LoadReport>();
  memset(l.get(), 0, sizeof(mp_LoadReport));
  for (auto &w : e.works) {
    if (w->op != "plain")
      holds->push_back({w->token, w->attempt});
    if (w->op == "import" || w->op == "decode")
      l->used++;
  }
  l->role = e.role;
  l->slots = e.slots;
  l->rate = e.role == MP_ROLE_PREFILL ? e.rate : static_cast<uint32_t>(e.pace);
  l->leaving = e.leaving;
  l->fence = e.fence;
  at(now + 1 * ms, [=, this] {
    if (nodes[n].epoch != epoch)
      return;
    to(n, [=, this] {
      mp_Event ev;
      memset(&ev, 0, sizeof ev);
      l->nhold = static_cast<unsigned>(holds->size());
      l->hold = holds->data();
      ev.kind = MP_EV_ENDPOINT;
      ev.u.endpoint.xcall = x;
      ev.u.endpoint.what = MP_EP_DONE;
      ev.u.endpoint.load = l.get();
      feed(n, ev);
    });
  });
}

/* a call has reached the engine */
void Sim::begin(Engine &e, size_t n, const mp_EndpointCall &x, const Caller *c,
                const std::string &kv, const std::string &partial) {
  mp_Addr a = e.addr;
  char id[64];
  mp_token_text(&x.token, x.attempt, id);
  mp_EndpointEvent ev;
  memset(&ev, 0, sizeof ev);
  ev.xcall = x.xcall;
  ev.what = MP_EP_DONE;
  if (x.op == MP_X_LOAD) {
    load(e, n, x.xcall);
    return;
  }
  if (x.op == MP_X_CANCEL) {
    if (e.losecancel > 0) {
      e.losecancel--;
      fail(n, x.xcall, MP_EPF_BROKEN, 0);
      return;
    }
    e.cancelled.insert(id);
    for (size_t i = 0; i < e.works.size();) {
      auto &w = e.works[i];
      if (w->attempt == x.attempt &&
          memcmp(&w->token, &x.token, sizeof x.token) == 0)
        e.works.erase(e.works.begin() + static_cast<long>(i));
      else
        i++;
    }
    event(n, ev, "", 0);
    return;
  }
  if (x.op == MP_X_ORDER) {
    if (e.fences && x.fence < e.fence) {
      broken.push_back("order: an old fence reached an engine");
      fail(n, x.xcall, MP_EPF_REFUSED, 0);
      return;
    }
    if (!e.works.empty()) {
      fail(n, x.xcall, MP_EPF_REFUSED, 0);
      return;
    }
    e.fence = x.fence;
    e.role = x.role;
    event(n, ev, "", 0);
    return;
  }
  if (x.op == MP_X_RESUME) {
    auto w = find(e, x.token, x.attempt, "decode");
    if (w == nullptr) {
      fail(n, x.xcall, MP_EPF_REFUSED, 0);
      return;
    }
    w->xcall = x.xcall;
    w->node = n;
    w->sent = std::min(x.from_token, w->made);
    tokens(a, w->serial);
    return;
  }
  if (e.cancelled.count(id)) {
    fail(n, x.xcall, MP_EPF_REFUSED, 0);
    return;
  }
  auto w = std::make_shared<Work>();
  w->token = x.token;
  w->attempt = x.attempt;
  w->xcall = x.xcall;
  w->node = n;
  w->serial = ++serial_;
  w->prompt = c ? c->prompt : "";
  w->max_tokens = c ? c->max_tokens : 0;
  uint64_t serial = w->serial;
  if (x.op == MP_X_PREFILL) {
    w->op = "prefill";
    e.works.push_back(w);
    ran(e, x.token, x.attempt, "prefill");
    mp_Time cost = static_cast<mp_Time>(w->prompt.size()) * sec / e.rate;
    e.busy_until = std::max(e.busy_until, now) + cost + 5 * ms;
    at(e.busy_until, [=, this] { prefilled(a, serial); });
  } else if (x.op == MP_X_IMPORT) {
    Engine *src = engine_at(x.kv_from);
    std::string prompt;
    bool there = false;
    for (auto &k : src->works) {
      char name[64];
      mp_token_text(&k->token, k->attempt, name);
      if (k->op == "kv" && kv == name) {
        there = true;
        prompt = k->prompt;
      }
    }
    uint32_t used = 0;
    for (auto &k : e.works)
      used += k->op == "import" || k->op == "decode";
    if (!there || src->dead) {
      fail(n, x.xcall, MP_EPF_REJECTED, 0);
      return;
    }
    if (used >= e.slots) {
      fail(n, x.xcall, MP_EPF_REFUSED, 0);
      return;
    }
    w->op = "import";
    arrived(e);
    w->prompt = prompt;
    e.works.push_back(w);
    if (e.stalled_imports > 0)
      e.stalled_imports--;
    else
      event(n, ev, "", 10 * ms + e.late);
  } else if (x.op == MP_X_DECODE) {
    auto in = find(e, x.token, x.attempt, "import");
    if (in == nullptr) {
      fail(n, x.xcall, MP_EPF_REFUSED, 0);
      return;
    }
    std::string expect;
    for (uint32_t i = 0; i < x.from_token; i++)
      expect += answer(in->prompt, i);
    if (expect != partial)
      broken.push_back("3: a decode was resumed after other text");
    in->op = "decode";
    in->serial = serial;
    in->xcall = x.xcall;
    in->node = n;
    in->max_tokens = w->max_tokens;
    in->made = in->sent = x.from_token;
    ran(e, x.token, x.attempt, "decode");
    at(now + e.pace, [=, this] { tokens(a, serial); });
  } else {
    ran(e, x.token, x.attempt, "plain");
    ev.what = MP_EP_HEAD;
    ev.status = 200;
    event(n, ev, "", 20 * ms + e.late);
    ev.what = MP_EP_CHUNK;
    event(n, ev, "plain:" + w->prompt, 21 * ms + e.late);
    ev.what = MP_EP_DONE;
    event(n, ev, "", 22 * ms + e.late);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Faults
** ===================================================================
*/

void Sim::kill(size_t n) {
  Node &d = nodes[n];
  if (d.dead)
    return;
  d.dead = true;
  d.epoch++;
  d.paused = false;
  d.inbox.clear();
  for (auto &c : callers) {
    if (c.second.node == n && !c.second.ended && !c.second.failed)
      c.second.gone = true;
  }
  for (auto &e : engines) {
    for (auto &w : e.works) {
      if (w->node == n)
        w->xcall = 0;
    }
  }
}

void Sim::restart(size_t n) {
  Node &d = nodes[n];
  if (!d.dead)
    return;
  mp_free(d.M);
  d.dead = false;
  d.drained = false;
  d.start++;
  d.woken = 0;
  boot(n);
}

void Sim::pause(size_t n) {
  if (!nodes[n].dead)
    nodes[n].paused = true;
}

/* the process ends: who is still connected is cut off */
void Sim::exits(size_t n) {
  uint64_t epoch = nodes[n].epoch;
  nodes[n].drained = true;
  for (auto &c : callers) {
    if (c.second.node == n && !c.second.ended && !c.second.failed &&
        !c.second.gone)
      broken.push_back("7: a drained instance left with a caller open");
  }
  at(now, [this, n, epoch] {
    if (nodes[n].epoch == epoch)
      kill(n);
  });
}

void Sim::resume(size_t n) {
  Node &d = nodes[n];
  if (!d.paused)
    return;
  d.paused = false;
  auto in = std::move(d.inbox);
  d.inbox.clear();
  for (auto &f : in)
    to(n, f);
}

void Sim::drain(size_t n) {
  to(n, [this, n] {
    mp_Event e;
    memset(&e, 0, sizeof e);
    e.kind = MP_EV_DRAIN;
    feed(n, e);
  });
}

void Sim::kill_engine(size_t i) {
  Engine &e = engines[i];
  e.dead = true;
  e.frozen = false;
  e.held.clear();
  for (auto &w : e.works) {
    if (w->xcall && !nodes[w->node].dead)
      fail(w->node, w->xcall, MP_EPF_BROKEN, 0);
  }
  e.works.clear();
}

void Sim::revive_engine(size_t i) {
  engines[i].dead = false;
  engines[i].cancelled.clear();
  engines[i].busy_until = now;
}

void Sim::freeze(size_t i) {
  if (!engines[i].dead)
    engines[i].frozen = true;
}

void Sim::thaw(size_t i) {
  Engine &e = engines[i];
  e.frozen = false;
  auto held = std::move(e.held);
  e.held.clear();
  for (auto &f : held)
    f();
}

/* }================================================================== */

/*
** {==================================================================
** The promises
** ===================================================================
*/

size_t Sim::keeper_index(size_t node, mp_Addr endpoint) const {
  mp_EndpointInfo e;
  for (unsigned i = 0; mp_endpoint(nodes[node].M, i, &e); i++) {
    if (e.addr == endpoint)
      return nodeof(e.keeper);
  }
  return nodes.size();
}

std::vector<std::string> Sim::held() const {
  std::vector<std::string> out;
  for (auto &e : engines) {
    for (auto &w : e.works) {
      if (w->op != "plain" && !e.dead)
        out.push_back(e.name + " holds " + w->op + " of " +
                      token_text(w->token));
    }
  }
  return out;
}

void Sim::check(const std::set<std::string> &allowed) {
  for (auto &h : held())
    broken.push_back("1: " + h);
  std::map<std::string, int> whole;
  std::map<std::string, std::map<std::string, int>> runs;
  std::map<uint64_t, int> begun;
  for (auto &r : ledger) {
    if (!allowed.count(r.dc))
      broken.push_back("0: ran in forbidden data centre " + r.dc);
    uint64_t call = calls[r.token];
    begun[call]++;
    runs[callers[call].key][r.op]++;
  }
  for (auto &kv : callers) {
    const Caller &c = kv.second;
    std::string expect;
    if (c.kind.rfind("plain", 0) == 0)
      expect = "plain:" + c.prompt;
    for (uint32_t i = 0;
         c.kind.rfind("plain", 0) != 0 && i < length(c.prompt, c.max_tokens);
         i++)
      expect += answer(c.prompt, i);
    if (c.ended && c.text != expect)
      broken.push_back("3: not the whole answer: " + c.text);
    if (expect.compare(0, c.text.size(), c.text) != 0)
      broken.push_back("3: another's answer: " + c.text);
    if (!c.ended && !c.failed && !c.gone)
      broken.push_back("3: call " + std::to_string(c.call) + " got no ending");
    if (c.failed && c.ran == MP_RAN_NO && begun[c.call] > 0)
      broken.push_back("4: told not run, and it was run");
    if (c.ended && !c.key.empty() && ++whole[c.key] > 1)
      broken.push_back("2: answered twice: " + c.key);
    if (c.once && !c.key.empty()) {
      for (auto &r : runs[c.key]) {
        if (r.second > 1)
          broken.push_back("5: " + c.key + ": " + r.first + " ran " +
                           std::to_string(r.second) + " times");
      }
    }
  }
}

/* }================================================================== */

} // namespace sim
