/*
** stream_fleet.cc
** Fleet: several instances in front of engines of several software versions,
** in virtual time
*/

#include <algorithm>

#include "stream_fleet.h"

extern "C" {
#include "router/relay_members.h"
}

namespace streaming {

namespace {
constexpr gint64 step = 5 * ms;
constexpr gint64 prefill_time = 40 * ms;
constexpr gint64 head_time = 10 * ms;
constexpr gint64 event_interval = 50 * ms;
constexpr unsigned event_count = 60;
constexpr gint64 deadline_time = 14 * second;
/* the most attempts of one caller */
constexpr unsigned attempts_max = 4;
constexpr gint64 reconnect_time = 10 * ms;
/* the list of engines reaches an instance at most this late */
constexpr unsigned list_delay_ms = 60;
/* an engine that crashed is listed for so long, and replaced after that */
constexpr gint64 unlist_time = 900 * ms;
constexpr gint64 replace_time = 2 * second;
/* an engine that is leaving goes on for so long */
constexpr gint64 drain_time = 3 * second;
constexpr gint64 restart_time = 1 * second;
const char *const zone_names[] = {"a", "b", "c"};

mp_Addr address_of(unsigned instance) {
  std::string text = "10.0." + std::to_string(instance / 200) + "." +
                     std::to_string(instance % 200 + 1) + ":1";
  return mp_addr_parse(text.c_str());
}

unsigned instance_at(mp_Addr address) {
  unsigned i = 0;
  while (address_of(i) != address)
    i++;
  return i;
}
} // namespace

Fleet::Fleet(const FleetOptions &options_)
    : store(options_.seed), software_store(options_.seed), options(options_),
      random(options_.seed), next_stream_at(now) {
  for (unsigned i = 0; i < options.prefill; i++) {
    Engine engine;
    engine.id = "pre-" + std::to_string(i);
    engine.software = options.software;
    engine.stage = STAGE_PREFILL;
    engine.zone = i % 3;
    engine_index[engine.id] = engines.size();
    engines.push_back(engine);
  }
  instances.resize(options.instances);
  add_engines(options.software, options.engines);
  for (unsigned i = 0; i < options.instances; i++)
    start(i);
}

unsigned Fleet::random_below(unsigned below) {
  return static_cast<unsigned>(random() % below);
}

size_t Fleet::engine_of(const std::string &id) const {
  return engine_index.at(id);
}

/*
** {==================================================================
** Engines and their list
** ===================================================================
*/

void Fleet::list_to(Instance &instance, const Engine &engine) {
  World &world = *instance.world;
  world.now = std::max(world.now, now);
  world.started_unix_ms = engine.born;
  world.software = engine.software.c_str();
  world.endpoint(
      {engine.id.c_str(), "llm", zone_names[engine.zone], engine.stage},
      engine.is_ready, !engine.is_listed);
}

void Fleet::note_change(size_t engine) {
  changes.push_back({now, engine});
}

void Fleet::deliver_changes() {
  for (Instance &instance : instances) {
    if (instance.world == nullptr || instance.is_cut ||
        instance.still_until != 0 || now < instance.list_at)
      continue;
    while (!instance.is_hidden && instance.seen_changes < changes.size()) {
      const Change &change = changes[instance.seen_changes];
      gint64 delay = static_cast<gint64>((change.engine * 7919 +
                                          instance.seen_changes * 104729 +
                                          instance.start * 31) %
                                         list_delay_ms) *
                     ms;
      if (change.at + delay > now)
        break;
      instance.seen_changes++;
      list_to(instance, engines[change.engine]);
    }
    router_store_answered(instance.world->router, now);
  }
}

void Fleet::add_engines(const std::string &software, unsigned count) {
  for (unsigned i = 0; i < count; i++) {
    Engine engine;
    engine.id = "dec-" + std::to_string(next_engine++);
    engine.software = software;
    engine.zone = next_engine % 3;
    engine_index[engine.id] = engines.size();
    engines.push_back(engine);
    note_change(engines.size() - 1);
  }
}

void Fleet::release(const std::string &software, unsigned count,
                    gint64 interval) {
  Engine engine;
  engine.software = software;
  for (unsigned i = 0; i < count; i++) {
    starting.emplace(now + i * interval, engine);
    leaving.emplace(now + i * interval + second, 1);
  }
}

void Fleet::start_due_engines() {
  while (!starting.empty() && starting.begin()->first <= now) {
    std::string software = starting.begin()->second.software;
    starting.erase(starting.begin());
    add_engines(software, 1);
  }
}

/* Has the oldest engine that is ready leave. */
void Fleet::end_due_engines() {
  while (!leaving.empty() && leaving.begin()->first <= now) {
    leaving.erase(leaving.begin());
    for (size_t i = 0; i < engines.size(); i++) {
      Engine &engine = engines[i];
      if (engine.stage == STAGE_DECODE && engine.runs && engine.is_ready) {
        engine.is_ready = false;
        engine.ends_at = now + drain_time;
        note_change(i);
        break;
      }
    }
  }
  for (size_t i = 0; i < engines.size(); i++) {
    Engine &engine = engines[i];
    if (engine.serves_again_at != 0 && engine.serves_again_at <= now) {
      engine.serves_again_at = 0;
      engine.runs = true;
      if (!engine.next_software.empty()) {
        engine.software = engine.next_software;
        engine.next_software.clear();
        engine.born++;
        note_change(i);
      }
    }
    if (engine.ends_at != 0 && engine.ends_at <= now) {
      engine.ends_at = 0;
      engine.runs = false;
      engine.is_listed = false;
      note_change(i);
    }
  }
}

void Fleet::crash(size_t index, bool comes_back) {
  Engine &engine = engines[index];
  Engine replacement;
  engine.runs = false;
  engine.ends_at = now + unlist_time;
  replacement.software = engine.software;
  if (comes_back)
    starting.emplace(now + replace_time, replacement);
}

void Fleet::crash_engines(unsigned count) {
  for (unsigned tries = 0; count > 0 && tries < 1000; tries++) {
    size_t i = random_below(static_cast<unsigned>(engines.size()));
    if (!engines[i].runs || engines[i].stage != STAGE_DECODE)
      continue;
    crash(i, true);
    count--;
  }
}

void Fleet::end_version(const std::string &software) {
  for (size_t i = 0; i < engines.size(); i++) {
    if (engines[i].runs && engines[i].stage == STAGE_DECODE &&
        engines[i].software == software)
      crash(i, false);
  }
}

void Fleet::leave_version(const std::string &software) {
  for (size_t i = 0; i < engines.size(); i++) {
    Engine &engine = engines[i];
    if (engine.stage != STAGE_DECODE || !engine.runs || !engine.is_ready ||
        engine.software != software)
      continue;
    engine.is_ready = false;
    engine.ends_at = now + drain_time;
    note_change(i);
  }
}

void Fleet::restart_version(const std::string &software, gint64 span,
                            const std::string &into) {
  for (Engine &engine : engines) {
    if (engine.stage != STAGE_DECODE || !engine.runs ||
        engine.software != software)
      continue;
    engine.runs = false;
    engine.serves_again_at = now + span;
    engine.next_software = into;
  }
}

bool Fleet::has_two_engines(const std::string &software) const {
  return std::count_if(engines.begin(), engines.end(), [&](const Engine &e) {
           return e.stage == STAGE_DECODE && e.runs && e.is_ready &&
                  e.software == software;
         }) >= 2;
}

/* }================================================================== */

/*
** {==================================================================
** Instances
** ===================================================================
*/

void Fleet::start(unsigned index) {
  Instance &instance = instances[index];
  char self[24];
  mp_addr_text(address_of(index), self);
  instance.world = std::make_unique<World>(
      1000, 10.0, 0, self, 0, zone_names[index % 3],
      options.seed * 1000 + index + instance.start * 77777);
  instance.start++;
  instance.started_at = now;
  instance.handled = 0;
  World &world = *instance.world;
  world.now = now;
  world.configure(1, 14 * second);
  for (const Engine &engine : engines) {
    if (engine.is_listed)
      list_to(instance, engine);
  }
  instance.seen_changes = changes.size();
  router_set_instances(world.router, options.instances, options.instances);
  GArray *others = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (unsigned i = 0; i < options.instances; i++) {
    RelayMember other = {address_of(i), g_str_hash(zone_names[i % 3]), 1};
    if (i != index)
      g_array_append_val(others, other);
  }
  router_set_members(world.router, others);
  g_array_free(others, TRUE);
  if (options.has_store)
    store.attach(index, world);
}

void Fleet::kill_instances(double share) {
  for (unsigned i = 0; i < instances.size(); i++) {
    Instance &instance = instances[i];
    if (instance.world == nullptr ||
        random_below(1000) >= static_cast<unsigned>(share * 1000))
      continue;
    old_log.insert(old_log.end(), instance.world->log.begin(),
                   instance.world->log.end());
    hold_time_max = std::max(hold_time_max, instance.world->longest_hold);
    store.detach(i);
    instance.world.reset();
    instance.still_until = 0;
    instance.accepted.clear();
    instance.inbox.clear();
    store.still.erase(i);
    instance.starts_at = now + restart_time;
  }
}

void Fleet::start_due_instances() {
  for (unsigned i = 0; i < instances.size(); i++) {
    if (instances[i].world == nullptr && instances[i].starts_at <= now)
      start(i);
  }
}

void Fleet::cut_from_list(const std::set<unsigned> &which) {
  for (unsigned i = 0; i < instances.size(); i++)
    instances[i].is_cut = which.count(i) > 0;
}

void Fleet::hide_changes(const std::set<unsigned> &which) {
  for (unsigned i = 0; i < instances.size(); i++)
    instances[i].is_hidden = which.count(i) > 0;
}

void Fleet::cut_from_others(const std::set<unsigned> &which,
                            bool is_together) {
  unreachable = which;
  is_cut_together = is_together;
}

void Fleet::cut_from_store(const std::set<unsigned> &which) {
  store.cut = which;
  software_store.cut.clear();
  for (unsigned i : which)
    software_store.cut.insert(i * 100000UL + instances[i].start);
}

void Fleet::pause(const std::set<unsigned> &which, gint64 span) {
  for (unsigned i : which) {
    Instance &instance = instances[i];
    if (instance.world == nullptr)
      continue;
    if (instance.still_until == 0)
      instance.still_since = now;
    instance.still_until = now + span;
    store.still.insert(i);
  }
}

void Fleet::wake(unsigned index) {
  Instance &instance = instances[index];
  World &world = *instance.world;
  bool is_list_first = random_below(2) == 0;
  instance.still_until = 0;
  store.still.erase(index);
  world.now = now;
  if (options.notices_pauses)
    router_stood_still(world.router, instance.still_since, now);
  if (is_list_first)
    deliver_changes();
  else
    instance.list_at = now + random_below(300) * ms;
  auto inbox = std::move(instance.inbox);
  instance.inbox.clear();
  bool is_inbox_first = random_below(2) == 0;
  for (int i = 0; i < 2; i++) {
    if ((i == 0) == is_inbox_first) {
      for (const auto &[from, message] : inbox)
        router_stream_message(world.router, from, &message, now);
      continue;
    }
    auto accepted = std::move(instance.accepted);
    instance.accepted.clear();
    for (size_t stream : accepted)
      hand_over(streams[stream]);
  }
}

void Fleet::wake_instances() {
  for (unsigned i = 0; i < instances.size(); i++) {
    if (instances[i].still_until != 0 && instances[i].still_until <= now)
      wake(i);
  }
}

void Fleet::break_callers(const std::set<unsigned> &which) {
  for (Stream &stream : streams) {
    if (stream.has_ended || stream.retry_at != 0 ||
        which.count(stream.instance) == 0 ||
        instances[stream.instance].world == nullptr ||
        instances[stream.instance].still_until != 0)
      continue;
    follow(stream);
    if (stream.has_ended || stream.retry_at != 0)
      continue;
    instances[stream.instance].world->hangup(stream.request);
    lose(stream, reconnect_time);
  }
}

gint64 Fleet::longest_hold() const {
  gint64 longest = hold_time_max;
  for (const Instance &instance : instances) {
    if (instance.world != nullptr)
      longest = std::max(longest, instance.world->longest_hold);
  }
  return longest;
}

guint64 Fleet::counter(const std::string &name) const {
  guint64 sum = 0;
  for (const Instance &instance : instances) {
    if (instance.world == nullptr)
      continue;
    for (unsigned i = 0; router_counter_name(i) != nullptr; i++) {
      if (name == router_counter_name(i))
        sum += router_counter(instance.world->router, i);
    }
  }
  return sum;
}

unsigned Fleet::logged(mp_EventNo number) const {
  std::string text = std::to_string(static_cast<int>(number)) + " ";
  auto matches = [&](const std::string &line) {
    return line.compare(0, text.size(), text) == 0;
  };
  auto found = std::count_if(old_log.begin(), old_log.end(), matches);
  for (const Instance &instance : instances) {
    if (instance.world != nullptr)
      found += std::count_if(instance.world->log.begin(),
                             instance.world->log.end(), matches);
  }
  return static_cast<unsigned>(found);
}

/* }================================================================== */

/*
** {==================================================================
** Callers
** ===================================================================
*/

void Fleet::send_attempt(Stream &stream) {
  unsigned index = random_below(options.instances);
  if (std::all_of(instances.begin(), instances.end(),
                  [](const Instance &i) { return i.world == nullptr; })) {
    lose(stream, restart_time);
    return;
  }
  if (!preferred.empty() && !stream.events.empty() && random_below(2) == 0)
    index = preferred[random_below(static_cast<unsigned>(preferred.size()))];
  while (instances[index].world == nullptr)
    index = random_below(options.instances);
  stream.attempt = "a" + std::to_string(next_attempt++);
  stream.instance = index;
  stream.start = instances[index].start;
  stream.attempts++;
  stream.retry_at = 0;
  stream.seen_events = 0;
  stream.sent_at = now;
  bool is_calm = now - instances[index].started_at >= options.contact_time;
  if (!stream.events.empty()) {
    counts.resumptions++;
    if (!stream.is_counted_up && is_calm &&
        has_two_engines(stream.events.back().software)) {
      stream.is_counted_up = true;
      counts.taken_up++;
    }
  }
  if (instances[index].still_until == 0) {
    hand_over(stream);
    return;
  }
  stream.is_unread = true;
  instances[index].accepted.push_back(
      static_cast<size_t>(&stream - streams.data()));
}

/* The instance reads the request of the stream's open attempt. */
void Fleet::hand_over(Stream &stream) {
  World &world = *instances[stream.instance].world;
  stream.is_unread = false;
  stream.read_at = now;
  world.now = std::max(world.now, now);
  world.id = stream.attempt;
  if (stream.events.empty()) {
    stream.request = world.request("/resume/", (stream.deadline - now) / ms);
    return;
  }
  std::string last = std::to_string(stream.events.back().number);
  stream.request = world.request_resumption(
      "/resume/", 0, stream.first_attempt.c_str(), last.c_str());
}

void Fleet::send_new_streams() {
  while (next_stream_at <= now) {
    next_stream_at += static_cast<gint64>(static_cast<double>(second) /
                                          options.streams_per_s *
                                          (0.5 + random_below(1000) / 1000.0));
    Stream stream;
    stream.deadline = now + deadline_time;
    counts.sent++;
    streams.push_back(stream);
    send_attempt(streams.back());
  }
}

/* The attempt has failed; the caller comes back after 'wait'. */
void Fleet::lose(Stream &stream, gint64 wait) {
  if (stream.attempts >= attempts_max || now + wait >= stream.deadline)
    stream.has_ended = true;
  else
    stream.retry_at = now + std::max(wait, reconnect_time);
}

/* Takes what the instance has passed on of the open attempt. */
void Fleet::follow(Stream &stream) {
  Instance &instance = instances[stream.instance];
  if (instance.world == nullptr || instance.start != stream.start) {
    stream.is_unread = false;
    lose(stream, reconnect_time);
    return;
  }
  if (stream.is_unread)
    return;
  auto it = instance.world->ended.find(stream.request);
  if (it == instance.world->ended.end())
    return;
  const routing::CallerResult &result = it->second;
  for (; stream.seen_events < result.events.size(); stream.seen_events++) {
    const std::string &event = result.events[stream.seen_events];
    size_t colon = event.find(':');
    if (stream.events.empty()) {
      stream.first_attempt = stream.attempt;
      counts.began++;
    }
    if (stream.is_counted_up && !stream.is_counted_on) {
      stream.is_counted_on = true;
      counts.went_on++;
    }
    stream.events.push_back(
        {static_cast<unsigned>(std::stoul(event.substr(0, colon))),
         event.substr(colon + 1)});
  }
  if (result.answers > 0) {
    stream.has_ended = true;
  } else if (result.refusals > 0) {
    if (!stream.events.empty())
      refusal_time_max =
          std::max(refusal_time_max, result.at - stream.sent_at);
    if (result.refusal == REFUSAL_STREAM_UNKNOWN)
      search_time_max = std::max(search_time_max, result.at - stream.read_at);
    lose(stream, result.retry_after_ms * ms);
  } else if (result.broken_off > 0) {
    lose(stream, reconnect_time);
  }
}

void Fleet::follow_callers() {
  for (Stream &stream : streams) {
    if (stream.has_ended)
      continue;
    if (stream.retry_at == 0)
      follow(stream);
    else if (stream.retry_at <= now)
      send_attempt(stream);
  }
}

unsigned Fleet::mixed_streams() const {
  return static_cast<unsigned>(
      std::count_if(streams.begin(), streams.end(), [](const Stream &s) {
        return std::any_of(s.events.begin(), s.events.end(),
                           [&](const Event &e) {
                             return e.software != s.events[0].software;
                           });
      }));
}

unsigned Fleet::disordered_streams() const {
  return static_cast<unsigned>(
      std::count_if(streams.begin(), streams.end(), [](const Stream &s) {
        for (size_t i = 0; i < s.events.size(); i++) {
          if (s.events[i].number != i + 1)
            return true;
        }
        return false;
      }));
}

/* }================================================================== */

bool Fleet::is_lost(unsigned from, unsigned to) {
  unsigned cut =
      static_cast<unsigned>(unreachable.count(from) + unreachable.count(to));
  if (cut == 1 || (cut == 2 && !is_cut_together))
    return true;
  return random_below(1000) <
         static_cast<unsigned>(options.datagram_loss * 1000);
}

void Fleet::deliver(unsigned from, unsigned to, const mp_Msg &message) {
  Instance &receiver = instances[to];
  if (receiver.world == nullptr)
    return;
  if (receiver.still_until != 0) {
    receiver.inbox.emplace_back(address_of(from), message);
    return;
  }
  receiver.world->now = std::max(receiver.world->now, now);
  router_stream_message(receiver.world->router, address_of(from), &message,
                        now);
}

void Fleet::deliver_late_messages() {
  while (!late_messages.empty() && late_messages.begin()->first <= now) {
    LateMessage late = late_messages.begin()->second;
    late_messages.erase(late_messages.begin());
    deliver(late.from, late.to, late.message);
  }
}

/* Delivers what the instance has sent to others, if it is not lost. */
void Fleet::deliver_messages(unsigned index) {
  auto sent = std::move(instances[index].world->messages);
  instances[index].world->messages.clear();
  for (const auto &[to, message] : sent) {
    messages++;
    unsigned receiver = instance_at(to);
    if (is_lost(index, receiver))
      continue;
    if (reply_delay_max > 0 && message.kind == MP_MSG_STREAM_REPLY)
      late_messages.insert(
          {now + random_below(static_cast<unsigned>(reply_delay_max)),
           {index, receiver, message}});
    else
      deliver(index, receiver, message);
  }
}

/*
** {==================================================================
** Dispatches
** ===================================================================
*/

void Fleet::handle(unsigned index, size_t dispatch) {
  World &world = *instances[index].world;
  SentDispatch sent = world.dispatches[dispatch];
  size_t engine = engine_of(sent.endpoint);
  if (sent.kind == DISPATCH_RELEASE)
    return;
  Run run = {index, instances[index].start, dispatch, engine,
             1,     now + head_time};
  std::string last = sent.last_event;
  if (last.empty() && world.resumed_after.count(sent.request) > 0)
    last = world.resumed_after[sent.request];
  if (sent.kind == DISPATCH_PREFILL)
    run.next_at = now + prefill_time;
  else if (!last.empty())
    run.next_event = static_cast<unsigned>(std::stoul(last)) + 1;
  runs.push_back(run);
}

void Fleet::handle_new_dispatches(unsigned index) {
  Instance &instance = instances[index];
  while (instance.handled < instance.world->dispatches.size()) {
    size_t dispatch = instance.handled++;
    handle(index, dispatch);
  }
}

/* Carries a run on; returns false when it is over. */
bool Fleet::advance_run(Run &run) {
  Instance &instance = instances[run.instance];
  if (instance.world == nullptr || instance.start != run.start)
    return false;
  if (instance.still_until != 0)
    return true;
  World &world = *instance.world;
  SentDispatch sent = world.dispatches[run.index];
  const Engine &engine = engines[run.engine];
  if (sent.cancelled)
    return false;
  world.now = std::max(world.now, now);
  if (!engine.runs) {
    bool has_begun = run.has_head || run.next_at - head_time < now - step;
    world.outcome(sent.number,
                  has_begun ? OUTCOME_BROKEN : OUTCOME_UNREACHABLE);
    return false;
  }
  if (run.next_at > now)
    return true;
  if (sent.kind == DISPATCH_PREFILL) {
    world.prefilled(sent.number, ("h" + std::to_string(sent.number)).c_str());
    return false;
  }
  if (!run.has_head) {
    run.has_head = true;
    world.outcome(sent.number, OUTCOME_STREAM_HEAD);
  } else if (run.next_event > event_count) {
    world.outcome(sent.number, OUTCOME_STREAM_END);
    return false;
  } else {
    std::string event =
        std::to_string(run.next_event++) + ":" + engine.software;
    world.piece(sent.number, event.c_str());
  }
  run.next_at = now + event_interval;
  return true;
}

void Fleet::advance_runs() {
  /* an outcome adds dispatches to worlds, but no runs */
  std::vector<Run> left;
  for (Run &run : runs) {
    if (advance_run(run))
      left.push_back(run);
  }
  runs = std::move(left);
}

/* }================================================================== */

void Fleet::advance(gint64 span) {
  for (gint64 until = now + span; now < until;) {
    now += step;
    start_due_instances();
    start_due_engines();
    end_due_engines();
    wake_instances();
    deliver_changes();
    deliver_late_messages();
    send_new_streams();
    software_store.advance(now);
    for (unsigned i = 0; i < instances.size(); i++) {
      if (instances[i].world != nullptr && instances[i].still_until == 0) {
        World &world = *instances[i].world;
        if (world.now < now)
          world.advance(now - world.now);
        if (i % options.set_known_by == 0)
          software_store.serve(i * 100000UL + instances[i].start, world.router,
                               now);
        handle_new_dispatches(i);
        deliver_messages(i);
      }
    }
    store.advance(now);
    advance_runs();
    follow_callers();
  }
}

} // namespace streaming
