/*
** relay_world.cc
** World: instances that follow the store through relays, in virtual time
*/

#include <algorithm>
#include <cstring>

#include "relay_world.h"

extern "C" {
#include "io/news_codec.h"
}

namespace relaying {

/* most relays that an instance asks for a heartbeat at once (io/relays.c) */
constexpr unsigned heartbeats_asked_max = 4;
constexpr gint64 network_delay = 1 * ms;
constexpr gint64 store_delay = 4 * ms;
/* an answer of the store ends after the object that exceeds this size */
constexpr gsize store_answer_bytes_max = 1 << 20;

World::World(unsigned zones, unsigned instances, double loss_, unsigned seed,
             bool proving_)
    : loss(loss_), proving(proving_), random(g_rand_new_with_seed(seed)) {
  for (unsigned i = 0; i < instances; i++) {
    auto instance = std::make_unique<Instance>();
    instance->world = this;
    instance->address = ((0x0a000001ULL + i) << 16) | 7000;
    instance->zone = i % zones;
    all.push_back(std::move(instance));
  }
}

World::~World() {
  for (auto &instance : all) {
    if (instance->alive)
      kill(*instance);
  }
  g_rand_free(random);
}

void World::at(gint64 when, std::function<void()> act) {
  queue.push({when, order++, std::move(act)});
}

void World::schedule_for(Instance &instance, gint64 wait,
                         std::function<void()> act) {
  unsigned incarnation = instance.incarnation;
  at(now + wait, [this, &instance, incarnation, act = std::move(act)] {
    if (instance.alive && instance.incarnation == incarnation)
      run_when_awake(instance, act);
  });
}

/* What falls due while an instance stands still is handled after it, in turn.
 */
void World::run_when_awake(Instance &instance, std::function<void()> act) {
  if (now >= instance.still_until) {
    act();
    return;
  }
  schedule_for(instance, instance.still_until - now, std::move(act));
}

void World::run(gint64 span) {
  gint64 until = now + span;
  while (!queue.empty() && queue.top().at <= until) {
    Event event = queue.top();
    queue.pop();
    now = std::max(now, event.at);
    event.act();
  }
  now = until;
}

bool World::is_datagram_lost() {
  return g_rand_double(random) < loss;
}

Instance *World::find(mp_Addr address) const {
  for (auto &instance : all) {
    if (instance->address == address)
      return instance.get();
  }
  return nullptr;
}

/*
** Start and end of instances, and what they see
*/

/* Returns the version, with which a text begins; routes may follow it. */
static std::string version_of(const char *text) {
  return std::string(text, strcspn(text, " "));
}

std::string World::whole_text(StoreKind kind, const std::string &text) const {
  std::string out = text;
  char route[200];
  unsigned changed = routes > 0 ? (unsigned)revision % routes : 0;
  for (unsigned i = 0; kind == STORE_CONFIGURATION && i < routes; i++) {
    /* hashes, so that names of hosts and paths have no common pattern */
    guint32 host = i * 2654435761u;
    g_snprintf(
        route, sizeof route,
        " {\"Name\":\"r%08x\",\"Host\":\"h%08x.example\","
        "\"PathPrefix\":\"/p%08x/\",\"Kind\":\"safe\",\"Service\":\"s\","
        "\"Attempts\":2,\"TimeoutMs\":%u,\"SloMs\":300}",
        host, host ^ 0x5bd1e995, host * 31,
        i == changed ? 5000 + (unsigned)(revision % 977) : 4000);
    out += route;
  }
  return out;
}

void World::on_object(void *data, StoreKind kind, const StoreObject *object) {
  auto *instance = static_cast<Instance *>(data);
  auto &seen = instance->seen[kind];
  if (object->gone) {
    seen.erase(object->name);
    return;
  }
  auto known = seen.find(object->name);
  std::string text = version_of(object->text);
  /* as io/directory.c: after a restore a configuration never gets older */
  if (kind == STORE_CONFIGURATION && known != seen.end() &&
      instance->world->is_restored() && known->second > text)
    return;
  if (known != seen.end() && known->second > text)
    instance->older_texts_taken++;
  seen[object->name] = text;
  instance->seen_at.emplace(std::string(object->name) + "=" + text,
                            instance->world->now);
}

void World::on_listed(void *data, StoreKind kind, GHashTable *names) {
  auto *instance = static_cast<Instance *>(data);
  auto &seen = instance->seen[kind];
  for (auto it = seen.begin(); it != seen.end();) {
    if (g_hash_table_contains(names, it->first.c_str()))
      ++it;
    else
      it = seen.erase(it);
  }
}

mp_Addr World::control_of(void *data, mp_Addr relay) {
  const Instance *instance = static_cast<Instance *>(data)->world->find(relay);
  return instance != nullptr && instance->is_listed ? relay : 0;
}

void World::set_members(Instance &instance) {
  GArray *near = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  GArray *far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (auto &other : all) {
    if (other.get() == &instance)
      continue;
    RelayMember entry = {other->address, other->zone, other->capacity};
    g_array_append_val(other->zone == instance.zone ? near : far, entry);
  }
  relay_group_set_members(instance.group, near, far, now);
  g_array_free(near, TRUE);
  g_array_free(far, TRUE);
}

void World::start(Instance &instance) {
  instance.alive = true;
  instance.incarnation++;
  instance.group =
      relay_group_new(instance.address, instance.capacity, &times, now);
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++) {
    FollowerHost host = {&instance, on_object, on_listed,
                         [](void *, StoreKind) {}, [](void *, StoreKind) {}};
    NewsSourceHost source = {&instance, control_of};
    instance.seen[kind].clear();
    instance.source[kind] = {};
    follower_init(&instance.source[kind].follower,
                  static_cast<StoreKind>(kind),
                  kind == STORE_CONFIGURATION || kind == STORE_ENDPOINTS
                      ? times.watch_wait
                      : rare_wait,
                  300 * ms, &host);
    news_source_init(&instance.source[kind], instance.group, &source, nullptr,
                     0);
    if (proving && kind == STORE_CONFIGURATION)
      instance.source[kind].proof_wait_max = proof_wait;
  }
  poll_all(instance);
  schedule_for(instance, store_delay, [this, &instance] {
    set_members(instance);
    run_heartbeat(instance);
  });
}

void World::start_all() {
  for (auto &instance : all)
    start(*instance);
}

void World::kill(Instance &instance) {
  instance.alive = false;
  for (auto &source : instance.source)
    follower_clear(&source.follower);
  relay_group_free(instance.group);
}

/*
** Heartbeats, as io/relays.c sends them
*/

void World::send_datagram(mp_Addr to, std::function<void(Instance &)> act) {
  Instance *instance = find(to);
  datagrams++;
  if (instance == nullptr || instance->cut_from_all || is_datagram_lost())
    return;
  at(now + network_delay, [this, instance, act = std::move(act)] {
    if (instance->alive)
      run_when_awake(*instance, [instance, act] { act(*instance); });
  });
}

void World::send_heartbeat(Instance &from, mp_Addr to, gint64 asked) {
  if (from.cut_from_all)
    return;
  mp_RelayHeartbeat heartbeat = {};
  mp_Addr address = from.address;
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    heartbeat.changed[kind] = from.source[kind].follower.changed;
  heartbeat.sent_us = static_cast<guint64>(now + from.clock_ahead);
  heartbeat.proof_ms = config_proof_age_ms(relay_group_proof(from.group), now);
  heartbeat.asked_us = static_cast<guint64>(asked);
  heartbeat.age_ms = relay_clock_age_ms(relay_group_age(from.group, now));
  send_datagram(to, [this, address, heartbeat](Instance &instance) {
    relay_group_receive_heartbeat(instance.group, address, &heartbeat, now);
    if (relay_group_must_bound_clock(instance.group, address, &heartbeat, now))
      request_heartbeat(instance, address);
    poll_all(instance);
  });
}

static bool is_synced(const Instance &instance) {
  return follower_is_synced(&instance.source[STORE_CONFIGURATION].follower) &&
         follower_is_synced(&instance.source[STORE_ENDPOINTS].follower);
}

static bool sends_heartbeats(const Instance &instance, gint64 now) {
  return relay_group_sends_heartbeats(instance.group, now) &&
         is_synced(instance);
}

void World::request_heartbeat(Instance &instance, mp_Addr relay) {
  mp_Addr self = instance.address;
  gint64 asked = now;
  send_datagram(relay, [this, self, asked](Instance &answering) {
    if (sends_heartbeats(answering, now))
      send_heartbeat(answering, self, asked);
  });
}

void World::send_heartbeats(Instance &instance) {
  const GArray *near = relay_group_members(instance.group);
  GArray *far = relay_group_remote_targets(instance.group, now);
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    instance.changed_sent[kind] = instance.source[kind].follower.changed;
  for (guint i = 0; i < near->len; i++)
    send_heartbeat(instance, g_array_index(near, mp_Addr, i));
  for (guint i = 0; i < far->len; i++)
    send_heartbeat(instance, g_array_index(far, mp_Addr, i));
  g_array_free(far, TRUE);
}

/* Who follows the store and sends heartbeats announces changes at once. */
void World::send_heartbeats_if_changed(Instance &instance, int kind) {
  if (instance.source[kind].at_store &&
      store_position_compare(instance.changed_sent[kind],
                             instance.source[kind].follower.changed) != 0 &&
      sends_heartbeats(instance, now))
    send_heartbeats(instance);
}

void World::run_heartbeat(Instance &instance) {
  if (sends_heartbeats(instance, now))
    send_heartbeats(instance);
  mp_Addr asked[heartbeats_asked_max];
  unsigned asked_count = relay_group_heartbeat_sources(
      instance.group, is_synced(instance), now, asked, heartbeats_asked_max);
  for (unsigned i = 0; i < asked_count; i++)
    request_heartbeat(instance, asked[i]);
  poll_all(instance);
  gint64 next = relay_group_next_check(instance.group, now) - now;
  schedule_for(instance, CLAMP(next, ms, RELAY_HEARTBEAT_INTERVAL),
               [this, &instance] { run_heartbeat(instance); });
}

/*
** Calls, as io/following.c carries them
*/

void World::poll_all(Instance &instance) {
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    poll(instance, kind);
}

void World::poll(Instance &instance, int kind) {
  NewsAction wanted;
  if (is_receiving(instance, kind))
    news_source_progress(&instance.source[kind], now);
  news_source_next(&instance.source[kind], now, &wanted);
  switch (wanted.step) {
  case NEWS_WAIT:
    if (wanted.at != G_MAXINT64)
      schedule_for(instance, std::max<gint64>(wanted.at - now, 0),
                   [this, &instance, kind] { poll(instance, kind); });
    break;
  case NEWS_ASK_STORE:
    call_store(instance, kind, wanted);
    break;
  case NEWS_ASK_INSTANCE:
    call_instance(instance, kind, wanted);
    break;
  case NEWS_ABANDON_STORE_CALL:
    instance.open_call[kind]++;
    schedule_for(instance, 0,
                 [this, &instance, kind] { poll(instance, kind); });
    break;
  }
}

void World::reply(Instance &instance, int kind, unsigned call,
                  const StoreReply &reply) {
  if (instance.open_call[kind] != call)
    return;
  instance.open_call[kind]++;
  news_source_reply(&instance.source[kind], &reply, now);
  send_heartbeats_if_changed(instance, kind);
  schedule_for(instance, 0, [this, &instance, kind] { poll(instance, kind); });
}

/* The instance reads the reply as soon as it does not stand still. */
void World::deliver(Instance &instance, int kind, unsigned call,
                    std::shared_ptr<StoreReply> read) {
  run_when_awake(instance, [this, &instance, kind, call, read] {
    reply(instance, kind, call, *read);
  });
}

static std::shared_ptr<StoreReply> make_reply(const StoreReply &reply) {
  return {new StoreReply(reply), [](StoreReply *read) {
            store_reply_clear(read);
            delete read;
          }};
}

void World::schedule_failure(Instance &instance, int kind, unsigned call,
                             gint64 wait) {
  schedule_for(instance, wait, [this, &instance, kind, call, wait] {
    if (instance.open_call[kind] == call && is_receiving(instance, kind)) {
      schedule_failure(instance, kind, call,
                       instance.receives_until[kind] - now + wait);
      return;
    }
    StoreReply failed = {STORE_FAILED, nullptr, FALSE, {},
                         FALSE,        0,       FALSE, FALSE};
    reply(instance, kind, call, failed);
  });
}

static void append_object(GArray *objects, const std::string &name,
                          const Object &object, guint64 era) {
  StoreObject out = {g_strdup(name.c_str()),
                     store_position(era, object.revision), object.gone,
                     object.gone ? nullptr : g_strdup(object.text.c_str()),
                     nullptr};
  g_array_append_val(objects, out);
}

StoreReply World::list(StoreKind kind, bool stale) const {
  StoreReply out = {STORE_OK, store_objects_new(),
                    FALSE,    position_at(revision),
                    FALSE,    0,
                    FALSE,    FALSE};
  const std::map<std::string, Object> *from = &objects[kind];
  for (auto &then : past) {
    if (stale && then.at > now - list_staleness)
      break;
    from = stale ? &then.objects[kind] : from;
    out.at = position_at(stale ? then.revision : revision);
  }
  for (auto &[name, object] : *from) {
    if (!object.gone)
      append_object(out.objects, name, object, era);
  }
  return out;
}

void World::save_copy() {
  past.push_back({now, revision, {}, history.size()});
  std::copy(std::begin(objects), std::end(objects),
            std::begin(past.back().objects));
  copies.push_back(past.back());
}

/*
** Queues an answer of this size on the instance's link; returns the time until
** it has been transferred, after those that are queued already.
*/
gint64 World::link_time(Instance &instance, gsize size) {
  if (routes == 0)
    return 0;
  instance.link_free_at = std::max(instance.link_free_at, now) +
                          static_cast<gint64>(size) * ms / link_bytes_per_ms;
  return instance.link_free_at - now;
}

gint64 World::answer_time(Instance &instance, const StoreReply &reply) {
  gsize size = 0;
  for (guint i = 0; reply.objects != nullptr && i < reply.objects->len; i++) {
    const StoreObject &object = g_array_index(reply.objects, StoreObject, i);
    size += object.text != nullptr ? strlen(object.text) : 0;
  }
  return link_time(instance, size);
}

/* The answer to this call is being transferred for this time. */
void World::set_receiving(Instance &instance, int kind, unsigned call,
                          gint64 span) {
  instance.receives_until[kind] = now + span;
  instance.received_call[kind] = call;
}

bool World::is_receiving(const Instance &instance, int kind) const {
  return instance.received_call[kind] == instance.open_call[kind] &&
         !instance.cut_from_store && !instance.cut_from_all &&
         now <= instance.receives_until[kind];
}

static void append_entry(GArray *objects, const std::string &name,
                         const std::string &text, StorePosition position,
                         bool gone) {
  StoreObject out = {g_strdup(name.c_str()), position, gone,
                     gone ? nullptr : g_strdup(text.c_str()), nullptr};
  g_array_append_val(objects, out);
}

/* Returns the changes after a revision, as far as one answer holds them. */
StoreReply World::changes_since(StoreKind kind, gint64 since) const {
  StoreReply out = {STORE_OK, nullptr, FALSE, position_at(revision),
                    FALSE,    0,       FALSE, FALSE};
  if (since < oldest || since > revision) {
    out.status = STORE_HISTORY_GONE;
    return out;
  }
  out.objects = store_objects_new();
  auto next = std::upper_bound(
      history.begin(), history.end(), since,
      [](gint64 at, const HistoryEntry &v) { return at < v.revision; });
  gsize size = 0;
  for (; next != history.end() && size < store_answer_bytes_max; ++next) {
    if (next->kind != kind)
      continue;
    append_entry(out.objects, next->name, next->text,
                 position_at(next->revision), next->gone);
    size += next->text.size();
  }
  if (next != history.end())
    out.at = position_at(std::prev(next)->revision);
  return out;
}

void World::call_store(Instance &instance, int kind,
                       const NewsAction &wanted) {
  auto what = static_cast<StoreKind>(kind);
  unsigned call = ++instance.open_call[kind];
  StorePosition since = wanted.call.position;
  (wanted.call.stale ? stale_list_calls : store_calls)++;
  schedule_failure(instance, kind, call, wanted.patience);
  if (!store_up || instance.cut_from_store || instance.cut_from_all)
    return;
  if (instance.refused_by_store) {
    schedule_failure(instance, kind, call, store_delay);
    return;
  }
  if (wanted.call.operation == STORE_WATCH) {
    watches.push_back({&instance, what, since, call, instance.incarnation});
    unsigned then = instance.incarnation;
    at(now + wanted.call.wait, [this, &instance, kind, call, then] {
      if (instance.alive && instance.incarnation == then)
        time_out_watch(instance, kind, call);
    });
    at(now + store_delay, [this] { answer_due_watches(); });
    return;
  }
  bool stale = wanted.call.stale;
  unsigned incarnation = instance.incarnation;
  at(now + store_delay,
     [this, &instance, kind, call, what, stale, incarnation] {
       if (!instance.alive || instance.incarnation != incarnation ||
           instance.open_call[kind] != call)
         return;
       auto whole_list = make_reply(list(what, stale));
       gint64 span = answer_time(instance, *whole_list);
       set_receiving(instance, kind, call, span);
       at(now + span, [this, &instance, kind, call, incarnation, whole_list] {
         if (instance.alive && instance.incarnation == incarnation &&
             !instance.cut_from_store && !instance.cut_from_all)
           deliver(instance, kind, call, whole_list);
       });
     });
}

/* Ends a watch whose wait is over, unless its answer was sent already. */
void World::time_out_watch(Instance &instance, int kind, unsigned call) {
  auto watch = std::find_if(watches.begin(), watches.end(), [&](auto &other) {
    return other.instance == &instance && other.kind == kind &&
           other.call == call;
  });
  if (watch == watches.end() || !store_up || instance.cut_from_store ||
      instance.cut_from_all)
    return;
  auto news = make_reply(changes_since(watch->kind, watch->since.revision));
  watches.erase(watch);
  deliver(instance, kind, call, news);
}

void World::answer_due_watches() {
  std::vector<Watch> open;
  open.swap(watches);
  for (auto &watch : open) {
    Instance &instance = *watch.instance;
    if (!instance.alive || instance.incarnation != watch.incarnation ||
        instance.open_call[watch.kind] != watch.call)
      continue;
    auto news = make_reply(changes_since(watch.kind, watch.since.revision));
    bool has_changes =
        news->status != STORE_OK || (news->objects && news->objects->len > 0);
    if (!has_changes || !store_up || instance.cut_from_store ||
        instance.cut_from_all) {
      watches.push_back(watch);
      continue;
    }
    int kind = watch.kind;
    unsigned call = watch.call;
    unsigned incarnation = watch.incarnation;
    gint64 span = answer_time(instance, *news);
    set_receiving(instance, kind, call, span);
    at(now + span, [this, &instance, kind, call, incarnation, news] {
      if (instance.alive && instance.incarnation == incarnation &&
          !instance.cut_from_store && !instance.cut_from_all)
        deliver(instance, kind, call, news);
    });
  }
}

void World::call_instance(Instance &instance, int kind,
                          const NewsAction &wanted) {
  Instance *relay = find(wanted.instance);
  unsigned call = ++instance.open_call[kind];
  StorePosition since = wanted.call.operation == STORE_WATCH
                            ? wanted.call.position
                            : store_position_none();
  schedule_failure(instance, kind, call, wanted.patience);
  if (relay == nullptr || !relay->alive || !relay->answers ||
      relay->cut_from_all || instance.cut_from_all)
    return;
  gboolean in_full = wanted.call.in_full;
  guint64 digest = wanted.call.digest;
  schedule_for(
      *relay, network_delay,
      [this, &instance, kind, call, relay, since, in_full, digest] {
        StoreReply known;
        FollowerQuery query = {since, in_full, digest};
        follower_answer(&relay->source[kind].follower, &query, &known);
        /* as io/status_server.c writes it, and io/store_link.c reads it */
        GBytes *text = news_write_reply(&known);
        int status = news_reply_status(&known);
        gsize size = g_bytes_get_size(text);
        auto body = std::make_shared<std::string>(
            static_cast<const char *>(g_bytes_get_data(text, nullptr)), size);
        store_reply_clear(&known);
        g_bytes_unref(text);
        configuration_bytes_sent += kind == STORE_CONFIGURATION ? size : 0;
        gint64 span = network_delay + link_time(*relay, size);
        if (instance.open_call[kind] == call)
          set_receiving(instance, kind, call, span);
        at(now + span, [this, &instance, kind, call, status, body] {
          StoreCall asked = {};
          StoreReply read;
          if (!instance.alive || instance.cut_from_all)
            return;
          news_codec.read_reply(&asked, status, body->data(), body->size(),
                                &read, nullptr);
          deliver(instance, kind, call, make_reply(read));
        });
      });
}

/*
** What happens in the store
*/

void World::put_object(StoreKind kind, const std::string &name,
                       const std::string &whole, bool gone) {
  objects[kind][name] = {++revision, whole, gone};
  history.push_back({revision, kind, name, whole, gone});
  save_copy();
  at(now + store_delay, [this] { answer_due_watches(); });
}

void World::write(StoreKind kind, const std::string &name,
                  const std::string &text) {
  put_object(kind, name, whole_text(kind, text), false);
  written.emplace(name + "=" + text, now);
}

void World::remove(StoreKind kind, const std::string &name) {
  put_object(kind, name, "", true);
}

void World::load_copy(const StoreCopy &copy) {
  std::copy(std::begin(copy.objects), std::end(copy.objects),
            std::begin(objects));
  revision = copy.revision;
  history.resize(copy.history);
}

/* The writer writes it again unless something newer has been written since. */
void World::rewrite_lost(const HistoryEntry &lost) {
  const Object &stands = objects[lost.kind][lost.name];
  if (lost.gone != stands.gone || lost.text > stands.text)
    put_object(lost.kind, lost.name, lost.text, lost.gone);
}

void World::restore(gint64 age, gint64 again_after) {
  gint64 then = now - age;
  while (copies.size() > 1 && copies.back().at > then)
    copies.pop_back();
  StoreCopy copy = copies.back();
  std::vector<HistoryEntry> lost(history.begin() +
                                     static_cast<std::ptrdiff_t>(copy.history),
                                 history.end());
  load_copy(copy);
  save_copy();
  era++;
  watches.clear(); /* their connections are closed */
  at(now + again_after, [this, lost] {
    std::set<std::string> done;
    for (auto version = lost.rbegin(); version != lost.rend(); ++version) {
      if (done.insert(version->name).second)
        rewrite_lost(*version);
    }
  });
}

void World::compact_history() {
  oldest = revision + 1;
  at(now + store_delay, [this] { answer_due_watches(); });
}

unsigned World::instances_knowing(StoreKind kind, const std::string &name,
                                  const std::string &text) const {
  unsigned count = 0;
  for (auto &instance : all) {
    auto known = instance->seen[kind].find(name);
    count += instance->alive && known != instance->seen[kind].end() &&
             known->second == text;
  }
  return count;
}

unsigned World::live_instances() const {
  return static_cast<unsigned>(std::count_if(
      all.begin(), all.end(), [](auto &instance) { return instance->alive; }));
}

unsigned World::instances_with_role(RelayRole role) {
  return static_cast<unsigned>(
      std::count_if(all.begin(), all.end(), [this, role](auto &instance) {
        return instance->alive &&
               relay_group_role(instance->group, now) == role;
      }));
}

gint64 World::slowest_delay(const std::string &name,
                            const std::string &text) const {
  std::string key = name + "=" + text;
  gint64 slowest_delay = 0;
  for (auto &instance : all) {
    if (!instance->alive)
      continue;
    auto seen = instance->seen_at.find(key);
    if (seen == instance->seen_at.end())
      return G_MAXINT64;
    slowest_delay = std::max(slowest_delay, seen->second - written.at(key));
  }
  return slowest_delay;
}

static int known_version(const Instance &instance, const std::string &name) {
  auto known = instance.seen[STORE_CONFIGURATION].find(name);
  return known == instance.seen[STORE_CONFIGURATION].end()
             ? 0
             : std::stoi(known->second);
}

int World::oldest_configuration_with_store(const std::string &name) const {
  int oldest_known = G_MAXINT;
  for (auto &instance : all) {
    if (instance->alive && !instance->cut_from_store &&
        !instance->cut_from_all)
      oldest_known = std::min(oldest_known, known_version(*instance, name));
  }
  return oldest_known;
}

int World::oldest_known_configuration(const std::string &name) const {
  int oldest_known = G_MAXINT;
  for (auto &instance : all) {
    if (instance->alive && !instance->cut_from_all)
      oldest_known = std::min(oldest_known, known_version(*instance, name));
  }
  return oldest_known;
}

} // namespace relaying
