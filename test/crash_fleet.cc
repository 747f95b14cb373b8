/*
** crash_fleet.cc
** Instances before engines that end, in virtual time
*/

#include <algorithm>

#include "crash_fleet.h"

namespace crashing {

namespace {
constexpr gint64 step = 5 * ms;
/* a deadly request ends its engine so long after it was sent there */
constexpr gint64 fuse = 70 * ms;
/* the list drops an engine that ended; it starts again */
constexpr gint64 lapse = 3500 * ms;
constexpr gint64 comeback = 4 * second;
constexpr gint64 refresh = 500 * ms;
constexpr gint64 silent_connect = 300 * ms;
} // namespace

unsigned Fleet::draw(unsigned below) {
  return static_cast<unsigned>(random() % below);
}

double Fleet::chance() {
  return draw(1000000) / 1e6;
}

Fleet::Fleet(const FleetOptions &options_)
    : options(options_), random(options_.seed), next_innocent(now),
      next_own_end(now + options_.own_end_every) {
  for (unsigned i = 0; i < options.decode + options.prefill; i++) {
    Engine engine;
    engine.is_prefill = i < options.prefill;
    engine.id = (engine.is_prefill ? "pre-" : "dec-") + std::to_string(i);
    engine.born = now / ms;
    engines.push_back(engine);
  }
  all.resize(options.instances);
  for (Instance &one : all)
    start(one);
}

void Fleet::list(World &world, const Engine &engine, bool gone) {
  world.started_unix_ms = engine.born;
  world.endpoint({engine.id.c_str(), "llm", "a",
                  engine.is_prefill ? STAGE_PREFILL : STAGE_DECODE},
                 true, gone);
}

void Fleet::list_everywhere(const Engine &engine, bool gone) {
  for (Instance &one : all) {
    one.world->now = now;
    list(*one.world, engine, gone);
  }
}

void Fleet::start(Instance &one) {
  guint32 sequence = one.sequence + 1000; /* another life */
  one = Instance();
  one.sequence = sequence;
  one.world = std::make_unique<World>();
  one.world->now = now;
  one.world->configure();
  for (const Engine &engine : engines) {
    if (engine.listed)
      list(*one.world, engine, false);
  }
  for (auto &[content, stored] : store)
    router_apply_quarantine(one.world->router, &stored.record,
                            store_position(0, stored.revision), now);
}

void Fleet::kill(double share) {
  for (unsigned i = 0; i < all.size(); i++) {
    if (chance() >= share)
      continue;
    runs.erase(
        std::remove_if(runs.begin(), runs.end(),
                       [i](const Run &run) { return run.instance == i; }),
        runs.end());
    start(all[i]);
  }
}

void Fleet::request(unsigned instance, guint64 content) {
  Instance &one = all[instance];
  one.world->now = now;
  one.world->content = content;
  guint64 number =
      one.world->request(work[content].deadly ? "/stream/x" : "/resume/x");
  one.content_of[number] = content;
  work[content].tries++;
}

void Fleet::send_deadly(guint64 content) {
  work[content].content = content;
  work[content].deadly = true;
  request(draw(options.instances), content);
}

Fleet::Engine &Fleet::engine_of(const std::string &id) {
  return *std::find_if(engines.begin(), engines.end(),
                       [&](const Engine &engine) { return engine.id == id; });
}

/* all that runs there breaks off, at every instance */
void Fleet::end_engine(Engine &engine) {
  std::vector<Run> open;
  engine.ended = now;
  for (const Run &run : runs) {
    if (run.engine == engine.id)
      open.push_back(run);
  }
  runs.erase(
      std::remove_if(runs.begin(), runs.end(),
                     [&](const Run &run) { return run.engine == engine.id; }),
      runs.end());
  for (const Run &run : open) {
    work[run.content].broken++;
    all[run.instance].world->now = now;
    all[run.instance].world->outcome(run.dispatch, OUTCOME_BROKEN);
  }
}

void Fleet::meet_one(unsigned instance, const SentDispatch &one) {
  World &world = *all[instance].world;
  const Engine &engine = engine_of(one.endpoint);
  guint64 content = all[instance].content_of[one.request];
  if (one.kind != DISPATCH_RUN && one.kind != DISPATCH_PREFILL)
    return;
  if (engine.ended != 0) {
    world.outcome(one.number, OUTCOME_UNREACHABLE);
  } else if (one.kind == DISPATCH_PREFILL) {
    world.prefilled(one.number, ("h" + std::to_string(one.number)).c_str());
  } else {
    gint64 length =
        work[content].deadly
            ? fuse
            : options.run_least +
                  static_cast<gint64>(chance() *
                                      static_cast<double>(options.run_most -
                                                          options.run_least));
    sent[content].push_back(now);
    runs.push_back({instance, one.number, one.request, one.endpoint, content,
                    now + length});
    world.outcome(one.number, OUTCOME_STREAM_HEAD);
  }
}

void Fleet::meet(unsigned instance) {
  Instance &one = all[instance];
  while (one.seen < one.world->dispatches.size()) {
    SentDispatch dispatch = one.world->dispatches[one.seen++];
    if (!dispatch.cancelled)
      meet_one(instance, dispatch);
  }
  std::vector<SentDispatch> asked;
  asked.swap(one.world->checks);
  for (const SentDispatch &check : asked) {
    bool is_up = engine_of(check.endpoint).ended == 0;
    checks++;
    if (!is_up && !ends_are_refused)
      one.world->now = now + silent_connect;
    one.world->outcome(check.number,
                       is_up ? OUTCOME_ANSWER : OUTCOME_UNREACHABLE);
    one.world->now = now;
  }
}

void Fleet::end_due_runs() {
  std::vector<Run> due;
  for (const Run &run : runs) {
    if (run.ends <= now)
      due.push_back(run);
  }
  for (const Run &run : due) {
    auto it = std::find_if(runs.begin(), runs.end(), [&](const Run &other) {
      return other.instance == run.instance && other.dispatch == run.dispatch;
    });
    if (it == runs.end())
      continue; /* its engine has ended meanwhile */
    if (work[run.content].deadly) {
      crashed[run.content].push_back(now);
      end_engine(engine_of(run.engine));
      continue;
    }
    runs.erase(it);
    all[run.instance].world->now = now;
    bool breaks = options.garbled > 0 && chance() < options.garbled;
    work[run.content].broken += breaks;
    all[run.instance].world->outcome(
        run.dispatch, breaks ? OUTCOME_BROKEN : OUTCOME_STREAM_END);
  }
}

void Fleet::come_back() {
  for (Engine &engine : engines) {
    if (engine.ended == 0)
      continue;
    if (engine.listed && now >= engine.ended + lapse) {
      engine.listed = false;
      list_everywhere(engine, true);
    }
    if (now < engine.ended + comeback)
      continue;
    engine.ended = 0;
    engine.listed = true;
    engine.born = now / ms;
    list_everywhere(engine, false);
  }
}

/* callers of innocents come, and come back once when their answer broke off */
void Fleet::callers() {
  while (options.innocent_per_s > 0 && now >= next_innocent) {
    next_innocent += second / options.innocent_per_s;
    innocents++;
    request(draw(options.instances), next_content++);
  }
  std::vector<guint64> again;
  for (Instance &one : all) {
    for (auto it = one.content_of.begin(); it != one.content_of.end();) {
      const auto &end = one.world->end(it->first);
      guint64 content = it->second;
      if (end.ends() == 0) {
        ++it;
        continue;
      }
      it = one.content_of.erase(it);
      Work &asked = work[content];
      asked.refused_as_held +=
          end.refusals > 0 &&
          (end.refusal == REFUSAL_HELD || end.refusal == REFUSAL_SUSPECTED);
      if (!asked.deadly && end.answers == 0 && asked.tries < 2)
        again.push_back(content);
    }
  }
  for (guint64 content : again)
    request(draw(options.instances), content);
}

/* does a datagram arrive? */
bool Fleet::hears(unsigned from, unsigned to) {
  bool crosses = is_cut && (from < all.size() / 2) != (to < all.size() / 2);
  return from != to && !crosses && chance() >= options.loss;
}

void Fleet::exchange_loads() {
  for (unsigned i = 0; i < all.size(); i++) {
    Instance &from = all[i];
    mp_LoadDigest digest = {};
    if (router_load_version(from.world->router) == from.loads_told)
      continue;
    from.loads_told = router_load_version(from.world->router);
    router_load_digest(from.world->router, &digest, now);
    from.sequence++;
    for (unsigned k = 0; k < all.size(); k++) {
      if (hears(i, k))
        router_peer_load(all[k].world->router, 1 + i, from.sequence, &digest,
                         now);
    }
  }
}

void Fleet::exchange() {
  for (unsigned i = 0; i < all.size(); i++) {
    Instance &from = all[i];
    mp_CrashUpdate news;
    if (router_crash_version(from.world->router) == from.told &&
        now - from.told_at < refresh)
      continue;
    from.told = router_crash_version(from.world->router);
    from.told_at = now;
    router_report_crashes(from.world->router, FALSE, &news, now);
    for (unsigned k = 0; k < all.size(); k++) {
      if (news.n == 0 && news.suspected_n == 0)
        break;
      if (hears(i, k))
        router_receive_crashes(all[k].world->router, &news, now);
    }
  }
}

static bool is_same(const QuarantineRecord &a, const QuarantineRecord &b) {
  return a.count == b.count &&
         std::equal(a.crashes, a.crashes + a.count, b.crashes);
}

void Fleet::write_store() {
  for (Instance &one : all) {
    QuarantineSave save = {};
    if (!router_next_quarantine_save(one.world->router, &save, now))
      continue;
    guint64 content = save.record.content;
    if (!store_up) {
      router_quarantine_save_failed(one.world->router, content, now);
      continue;
    }
    store_writes++;
    auto it = store.find(content);
    gint64 stands = it != store.end() ? it->second.revision : 0;
    if (save.position.revision != stands) {
      router_apply_quarantine(one.world->router, &it->second.record,
                              store_position(0, stands), now);
      router_quarantine_save_failed(one.world->router, content, now);
      continue;
    }
    QuarantineRecord kept = save.record;
    kept.request = kept.route = kept.account = nullptr;
    if (it != store.end() && is_same(it->second.record, kept))
      continue;
    store[content] = {kept, ++revision};
    for (Instance &other : all)
      router_apply_quarantine(other.world->router, &kept,
                              store_position(0, revision), now);
  }
}

void Fleet::pass(gint64 span) {
  for (gint64 until = now + span; now < until; now += step) {
    for (unsigned i = 0; i < all.size(); i++) {
      World &world = *all[i].world;
      if (now > world.now)
        world.advance(now - world.now);
      meet(i);
    }
    end_due_runs();
    if (options.own_end_every > 0 && now >= next_own_end) {
      next_own_end += options.own_end_every;
      Engine &engine = engines[options.prefill + draw(options.decode)];
      if (engine.ended == 0)
        end_engine(engine);
    }
    come_back();
    callers();
    exchange();
    exchange_loads();
    write_store();
  }
}

gint64 Fleet::third_crash(guint64 content) const {
  auto it = crashed.find(content);
  return it != crashed.end() && it->second.size() >= 3 ? it->second[2] : 0;
}

unsigned Fleet::crashes(guint64 content) const {
  auto it = crashed.find(content);
  return it != crashed.end() ? static_cast<unsigned>(it->second.size()) : 0;
}

unsigned Fleet::runs_after_third(guint64 content, gint64 after) const {
  gint64 third = third_crash(content);
  auto it = sent.find(content);
  if (third == 0 || it == sent.end())
    return 0;
  return static_cast<unsigned>(
      std::count_if(it->second.begin(), it->second.end(),
                    [=](gint64 at) { return at > third + after; }));
}

unsigned Fleet::innocents_held() const {
  unsigned held = 0;
  for (auto &[content, one] : work)
    held += !one.deadly && one.refused_as_held > 0;
  return held;
}

unsigned Fleet::innocents_broken() const {
  unsigned broken = 0;
  for (auto &[content, one] : work)
    broken += one.deadly ? 0 : one.broken;
  return broken;
}

} // namespace crashing
