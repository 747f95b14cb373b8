/*
** crash_fleet.cc
** Fleet: several instances in front of engines that crash, in virtual time
*/

#include <algorithm>

#include "crash_fleet.h"

extern "C" {
#include "router/relay_members.h"
}

namespace crashing {

namespace {
constexpr gint64 step = 5 * ms;
/* from the dispatch of a crashing request to the crash of its engine */
constexpr gint64 crash_delay = 70 * ms;
/* from a crash to the removal from the list, and to the restart */
constexpr gint64 unlist_delay = 3500 * ms;
constexpr gint64 restart_delay = 4 * second;
/* content of equal requests, or the part that alike ones have */
constexpr guint64 alike_subject = 500;
/* interval at which unchanged crash news is repeated */
constexpr gint64 crash_news_interval = 500 * ms;
/* after which a check of an engine that does not answer fails */
constexpr gint64 connect_timeout = 300 * ms;

mp_Addr address_of(unsigned instance) {
  std::string text = "10.0." + std::to_string(instance / 200) + "." +
                     std::to_string(instance % 200 + 1) + ":1";
  return mp_addr_parse(text.c_str());
}
} // namespace

unsigned Fleet::random_below(unsigned below) {
  return static_cast<unsigned>(random() % below);
}

double Fleet::random_fraction() {
  return random_below(1000000) / 1e6;
}

Fleet::Fleet(const FleetOptions &options_)
    : options(options_), random(options_.seed), next_harmless_at(now),
      next_engine_crash_at(now + options_.engine_crash_interval) {
  for (unsigned i = 0; i < options.decode + options.prefill; i++) {
    Engine engine;
    engine.is_prefill = i < options.prefill;
    engine.is_far = i >= options.prefill + options.decode - options.far_decode;
    engine.id = (engine.is_prefill ? "pre-" : "dec-") + std::to_string(i);
    engine.started_unix_ms = now / ms;
    engines.push_back(engine);
  }
  instances.resize(options.instances);
  for (Instance &instance : instances)
    start(instance);
}

void Fleet::set_listed(World &world, const Engine &engine, bool gone) {
  world.started_unix_ms = engine.started_unix_ms;
  world.endpoint({engine.id.c_str(), "llm", engine.is_far ? "b" : "a",
                  engine.is_prefill ? STAGE_PREFILL : STAGE_DECODE},
                 true, gone);
}

void Fleet::set_listed_everywhere(const Engine &engine, bool gone) {
  for (Instance &instance : instances) {
    instance.world->now = now;
    set_listed(*instance.world, engine, gone);
  }
}

void Fleet::start(Instance &instance) {
  guint32 sequence =
      instance.sequence + 1000; /* above those sent before the restart */
  instance = Instance();
  instance.sequence = sequence;
  unsigned index = static_cast<unsigned>(&instance - instances.data());
  char self[24];
  mp_addr_text(address_of(index), self);
  instance.world = std::make_unique<World>(0, 10.0, 0, self);
  instance.world->now = now;
  instance.world->configure();
  for (const Engine &engine : engines) {
    if (engine.is_listed)
      set_listed(*instance.world, engine, false);
  }
  GArray *others = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (unsigned i = 0; i < instances.size(); i++) {
    RelayMember other = {address_of(i), g_str_hash("a"), 1};
    if (i != index)
      g_array_append_val(others, other);
  }
  router_set_members(instance.world->router, others);
  g_array_free(others, TRUE);
  for (auto &[content, stored] : store)
    router_apply_quarantine(instance.world->router, &stored.record,
                            store_position(0, stored.revision), now);
}

void Fleet::kill_and_restart(double share) {
  for (unsigned i = 0; i < instances.size(); i++) {
    if (random_fraction() >= share)
      continue;
    runs.erase(
        std::remove_if(runs.begin(), runs.end(),
                       [i](const Run &run) { return run.instance == i; }),
        runs.end());
    start(instances[i]);
  }
}

void Fleet::request(unsigned index, guint64 content) {
  Instance &instance = instances[index];
  instance.world->now = now;
  instance.world->content = content;
  instance.world->parts = work[content].parts;
  if (work[content].attempts == 0)
    work[content].sent_at = now;
  guint64 number = instance.world->request(
      work[content].is_crashing ? "/stream/x" : "/resume/x");
  instance.content_of[number] = content;
  work[content].attempts++;
}

void Fleet::send_crashing_request(guint64 content) {
  work[content].content = content;
  work[content].is_crashing = true;
  request(random_below(options.instances), content);
}

void Fleet::send_request_with_crashing_part(guint64 first, guint64 part) {
  guint64 content = next_part_content++;
  work[content].content = content;
  work[content].is_crashing = true;
  work[content].parts = {first, part};
  request(random_below(options.instances), content);
}

std::vector<guint64> Fleet::draw_parts() {
  if (options.first_parts == 0)
    return {};
  return {first_part(random_below(options.first_parts)),
          1000000 + random_below(std::max(options.second_parts, 1u))};
}

void Fleet::note_crash(const Run &run) {
  crash_times[run.content].push_back(now);
  for (guint64 part : work[run.content].parts)
    part_crash_times[part].push_back(now);
}

Fleet::Engine &Fleet::engine_of(const std::string &id) {
  return *std::find_if(engines.begin(), engines.end(),
                       [&](const Engine &engine) { return engine.id == id; });
}

/* Every run on this engine breaks off, at every instance. */
void Fleet::crash_engine(Engine &engine) {
  std::vector<Run> open;
  engine.crashed_at = now;
  for (const Run &run : runs) {
    if (run.engine == engine.id)
      open.push_back(run);
  }
  runs.erase(
      std::remove_if(runs.begin(), runs.end(),
                     [&](const Run &run) { return run.engine == engine.id; }),
      runs.end());
  for (const Run &run : open) {
    work[run.content].broken_runs++;
    instances[run.instance].world->now = now;
    instances[run.instance].world->outcome(run.dispatch, OUTCOME_BROKEN);
  }
}

void Fleet::crash_share(double share, gint64 within) {
  std::vector<size_t> decode;
  for (size_t i = options.prefill; i < engines.size(); i++)
    decode.push_back(i);
  std::shuffle(decode.begin(), decode.end(), random);
  decode.resize(
      static_cast<size_t>(share * static_cast<double>(decode.size()) + 0.5));
  for (size_t i : decode)
    due_crashes[i] = now + static_cast<gint64>(random_fraction() *
                                               static_cast<double>(within));
}

void Fleet::crash_due_engines() {
  for (auto it = due_crashes.begin(); it != due_crashes.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    if (engines[it->first].crashed_at == 0)
      crash_engine(engines[it->first]);
    it = due_crashes.erase(it);
  }
}

void Fleet::handle_dispatch(unsigned index, const SentDispatch &dispatch) {
  World &world = *instances[index].world;
  const Engine &engine = engine_of(dispatch.endpoint);
  guint64 content = instances[index].content_of[dispatch.request];
  if (dispatch.kind != DISPATCH_RUN && dispatch.kind != DISPATCH_PREFILL)
    return;
  if (engine.crashed_at != 0 && crashed_engines_accept) {
    if (dispatch.kind == DISPATCH_RUN)
      run_times[content].push_back(now);
    world.outcome(dispatch.number, OUTCOME_BROKEN);
  } else if (engine.crashed_at != 0) {
    world.outcome(dispatch.number, OUTCOME_UNREACHABLE);
    return;
  }
  for (guint64 part : work[content].parts)
    part_arrivals[part].push_back(now);
  if (engine.crashed_at != 0)
    return;
  if (dispatch.kind == DISPATCH_PREFILL) {
    world.prefilled(dispatch.number,
                    ("h" + std::to_string(dispatch.number)).c_str());
  } else {
    gint64 length = work[content].is_crashing
                        ? crash_delay
                        : options.run_time_min +
                              static_cast<gint64>(
                                  random_fraction() *
                                  static_cast<double>(options.run_time_max -
                                                      options.run_time_min));
    run_times[content].push_back(now);
    runs.push_back({index, dispatch.number, dispatch.request,
                    dispatch.endpoint, content, now + length});
    work[content].began |= work[content].attempts == 1;
    auto known = instances[index].alike_of.find(dispatch.request);
    if (known != instances[index].alike_of.end())
      alike[known->second].began = true;
    world.outcome(dispatch.number, OUTCOME_STREAM_HEAD);
  }
}

/* Returns whether a connection to a crashed engine is refused. */
bool Fleet::refuses_check(const Engine &engine) {
  return engine.crashed_at != 0 &&
         (!crashed_engines_accept || random_below(2) == 0);
}

void Fleet::handle_check(World &world, const SentDispatch &check) {
  bool is_refused = refuses_check(engine_of(check.endpoint));
  checks++;
  if (is_refused && !crashed_engines_refuse && !crashed_engines_accept)
    world.now = now + connect_timeout;
  world.outcome(check.number,
                is_refused ? OUTCOME_UNREACHABLE : OUTCOME_ANSWER);
  world.now = now;
}

void Fleet::handle_new_dispatches(unsigned index) {
  Instance &instance = instances[index];
  while (instance.handled_dispatches < instance.world->dispatches.size()) {
    SentDispatch dispatch =
        instance.world->dispatches[instance.handled_dispatches++];
    if (!dispatch.cancelled)
      handle_dispatch(index, dispatch);
  }
  std::vector<SentDispatch> asked;
  asked.swap(instance.world->checks);
  for (const SentDispatch &check : asked)
    handle_check(*instance.world, check);
}

void Fleet::finish_due_runs() {
  std::vector<Run> due;
  for (const Run &run : runs) {
    if (run.ends_at <= now)
      due.push_back(run);
  }
  for (const Run &run : due) {
    auto it = std::find_if(runs.begin(), runs.end(), [&](const Run &other) {
      return other.instance == run.instance && other.dispatch == run.dispatch;
    });
    if (it == runs.end())
      continue; /* its engine has crashed meanwhile */
    if (work[run.content].is_crashing) {
      note_crash(run);
      crash_engine(engine_of(run.engine));
      continue;
    }
    runs.erase(it);
    instances[run.instance].world->now = now;
    bool breaks = options.broken_run_share > 0 &&
                  random_fraction() < options.broken_run_share;
    work[run.content].broken_runs += breaks;
    instances[run.instance].world->ends_with_close = options.ends_with_close;
    instances[run.instance].world->outcome(
        run.dispatch, breaks ? OUTCOME_BROKEN : OUTCOME_STREAM_END);
  }
}

void Fleet::restart_crashed_engines() {
  for (Engine &engine : engines) {
    if (engine.crashed_at == 0)
      continue;
    if (engine.is_listed && now >= engine.crashed_at + unlist_delay) {
      engine.is_listed = false;
      set_listed_everywhere(engine, true);
    }
    if (now < engine.crashed_at + restart_delay)
      continue;
    engine.crashed_at = 0;
    engine.is_listed = true;
    engine.started_unix_ms = now / ms;
    set_listed_everywhere(engine, false);
  }
}

void Fleet::send_harmless() {
  unsigned index = random_below(options.instances);
  guint64 content = next_harmless_content++;
  bool is_alike =
      options.alike_share > 0 && random_fraction() < options.alike_share;
  if (is_alike && options.alike_are_equal)
    content = alike_subject;
  work[content].parts = draw_parts();
  if (is_alike && !options.alike_are_equal)
    work[content].parts = {alike_subject};
  request(index, content);
  if (!is_alike)
    return;
  /* the newest request of this instance has the highest number */
  instances[index].alike_of[instances[index].content_of.rbegin()->first] =
      alike.size();
  alike.push_back({now, false});
}

/*
** Sends new harmless requests, and retries each harmless request once if it
** ended without an answer.
*/
void Fleet::send_caller_requests() {
  while (options.harmless_per_s > 0 && now >= next_harmless_at) {
    next_harmless_at += second / options.harmless_per_s;
    harmless_requests++;
    send_harmless();
  }
  std::vector<guint64> again;
  for (Instance &instance : instances) {
    for (auto it = instance.content_of.begin();
         it != instance.content_of.end();) {
      const auto &end = instance.world->end(it->first);
      guint64 content = it->second;
      if (end.ends() == 0) {
        ++it;
        continue;
      }
      it = instance.content_of.erase(it);
      Work &asked = work[content];
      asked.refused_as_suspect +=
          end.refusals > 0 &&
          (end.refusal == REFUSAL_HELD || end.refusal == REFUSAL_SUSPECTED);
      if (!asked.is_crashing && end.answers == 0 && asked.attempts < 2)
        again.push_back(content);
    }
  }
  for (guint64 content : again)
    request(random_below(options.instances), content);
}

/* Returns whether a datagram arrives. */
bool Fleet::is_delivered(unsigned from, unsigned to) {
  bool crosses = is_partitioned &&
                 (from < instances.size() / 2) != (to < instances.size() / 2);
  return from != to && !crosses && random_fraction() >= options.datagram_loss;
}

void Fleet::exchange_loads() {
  for (unsigned i = 0; i < instances.size(); i++) {
    Instance &from = instances[i];
    mp_LoadDigest digest = {};
    if (router_load_version(from.world->router) == from.load_version_sent)
      continue;
    from.load_version_sent = router_load_version(from.world->router);
    router_load_digest(from.world->router, &digest, now);
    from.sequence++;
    for (unsigned k = 0; k < instances.size(); k++) {
      if (is_delivered(i, k))
        router_peer_load(instances[k].world->router, 1 + i, from.sequence,
                         &digest, now);
    }
  }
}

void Fleet::exchange_crash_news() {
  for (unsigned i = 0; i < instances.size(); i++) {
    Instance &from = instances[i];
    mp_CrashUpdate news;
    if (router_crash_version(from.world->router) == from.crash_version_sent &&
        now - from.crash_news_sent_at < crash_news_interval)
      continue;
    from.crash_version_sent = router_crash_version(from.world->router);
    from.crash_news_sent_at = now;
    router_report_crashes(from.world->router, FALSE, &news, now);
    for (unsigned k = 0; k < instances.size(); k++) {
      if (news.n == 0 && news.suspected_n == 0 && news.acquitted_n == 0)
        break;
      if (is_delivered(i, k))
        router_receive_crashes(instances[k].world->router, &news, now);
    }
  }
}

static bool is_same_record(const QuarantineRecord &a,
                           const QuarantineRecord &b) {
  return a.count == b.count &&
         std::equal(a.crashes, a.crashes + a.count, b.crashes);
}

void Fleet::save_quarantine() {
  for (Instance &instance : instances) {
    QuarantineSave save = {};
    if (!router_next_quarantine_save(instance.world->router, &save, now))
      continue;
    guint64 content = save.record.content;
    if (!store_up) {
      router_quarantine_save_failed(instance.world->router, content, now);
      continue;
    }
    store_writes++;
    auto it = store.find(content);
    gint64 stands = it != store.end() ? it->second.revision : 0;
    if (save.position.revision != stands) {
      router_apply_quarantine(instance.world->router, &it->second.record,
                              store_position(0, stands), now);
      router_quarantine_save_failed(instance.world->router, content, now);
      continue;
    }
    QuarantineRecord kept = save.record;
    kept.request = kept.route = kept.account = nullptr;
    if (it != store.end() && is_same_record(it->second.record, kept))
      continue;
    store[content] = {kept, ++revision};
    for (Instance &other : instances)
      router_apply_quarantine(other.world->router, &kept,
                              store_position(0, revision), now);
  }
}

void Fleet::advance(gint64 span) {
  for (gint64 until = now + span; now < until; now += step) {
    for (unsigned i = 0; i < instances.size(); i++) {
      World &world = *instances[i].world;
      if (now > world.now)
        world.advance(now - world.now);
      handle_new_dispatches(i);
    }
    finish_due_runs();
    if (options.engine_crash_interval > 0 && now >= next_engine_crash_at) {
      next_engine_crash_at += options.engine_crash_interval;
      Engine &engine = engines[options.prefill + random_below(options.decode)];
      if (engine.crashed_at == 0)
        crash_engine(engine);
    }
    crash_due_engines();
    restart_crashed_engines();
    send_caller_requests();
    exchange_crash_news();
    exchange_loads();
    save_quarantine();
  }
}

gint64 Fleet::third_crash_time(guint64 content) const {
  auto it = crash_times.find(content);
  return it != crash_times.end() && it->second.size() >= 3 ? it->second[2] : 0;
}

unsigned Fleet::part_crashes(guint64 part) const {
  auto it = part_crash_times.find(part);
  return it != part_crash_times.end()
             ? static_cast<unsigned>(it->second.size())
             : 0;
}

gint64 Fleet::fifth_crash_time(guint64 part) const {
  return part_crashes(part) >= 5 ? part_crash_times.at(part)[4] : 0;
}

unsigned Fleet::arrivals_after_fifth_crash(guint64 part, gint64 after) const {
  gint64 fifth = fifth_crash_time(part);
  if (fifth == 0)
    return 0;
  const std::vector<gint64> &times = part_arrivals.at(part);
  return static_cast<unsigned>(
      std::count_if(times.begin(), times.end(),
                    [=](gint64 at) { return at > fifth + after; }));
}

double Fleet::share_begun(guint64 first, gint64 from, gint64 until) const {
  unsigned sent = 0;
  unsigned begun = 0;
  for (const auto &[content, item] : work) {
    if (item.is_crashing || item.parts.empty() || item.parts[0] != first ||
        item.sent_at < from || item.sent_at >= until)
      continue;
    sent++;
    begun += item.began;
  }
  return sent > 0 ? static_cast<double>(begun) / sent : 1;
}

double Fleet::share_of_alike_begun(gint64 from, gint64 until) const {
  unsigned sent = 0;
  unsigned begun = 0;
  for (const Alike &one : alike) {
    if (one.sent_at < from || one.sent_at >= until)
      continue;
    sent++;
    begun += one.began;
  }
  return sent > 0 ? static_cast<double>(begun) / sent : 0;
}

unsigned Fleet::crashes(guint64 content) const {
  auto it = crash_times.find(content);
  return it != crash_times.end() ? static_cast<unsigned>(it->second.size())
                                 : 0;
}

unsigned Fleet::runs_sent(guint64 content) const {
  auto it = run_times.find(content);
  return it != run_times.end() ? static_cast<unsigned>(it->second.size()) : 0;
}

unsigned Fleet::runs_after_third_crash(guint64 content, gint64 after) const {
  gint64 third = third_crash_time(content);
  auto it = run_times.find(content);
  if (third == 0 || it == run_times.end())
    return 0;
  return static_cast<unsigned>(
      std::count_if(it->second.begin(), it->second.end(),
                    [=](gint64 at) { return at > third + after; }));
}

unsigned Fleet::harmless_refused_as_suspect() const {
  unsigned held = 0;
  for (auto &[content, item] : work)
    held += !item.is_crashing && item.refused_as_suspect > 0;
  return held;
}

unsigned Fleet::harmless_broken_runs() const {
  unsigned broken_runs = 0;
  for (auto &[content, item] : work)
    broken_runs += item.is_crashing ? 0 : item.broken_runs;
  return broken_runs;
}

} // namespace crashing
