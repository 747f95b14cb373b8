/*
** relay_world.cc
** Instances that follow a store through relays, in virtual time
*/

#include <algorithm>
#include <cstring>

#include "relay_world.h"

namespace relaying {

/* what a member asks for a heartbeat, as io/relays.c */
constexpr unsigned asked_most = 4;
constexpr unsigned clocks_most = 8;
constexpr gint64 travel = 1 * ms;
constexpr gint64 store_time = 4 * ms;

World::World(unsigned zones, unsigned instances, double loss_, unsigned seed,
             bool proving_)
    : loss(loss_), proving(proving_), random(g_rand_new_with_seed(seed)) {
  for (unsigned i = 0; i < instances; i++) {
    auto one = std::make_unique<Instance>();
    one->world = this;
    one->address = ((0x0a000001ULL + i) << 16) | 7000;
    one->zone = i % zones;
    all.push_back(std::move(one));
  }
}

World::~World() {
  for (auto &one : all) {
    if (one->alive)
      kill(*one);
  }
  g_rand_free(random);
}

void World::at(gint64 when, std::function<void()> act) {
  queue.push({when, order++, std::move(act)});
}

void World::later(Instance &one, gint64 wait, std::function<void()> act) {
  unsigned life = one.life;
  at(now + wait, [&one, life, act = std::move(act)] {
    if (one.alive && one.life == life)
      act();
  });
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

bool World::lost() {
  return g_rand_double(random) < loss;
}

Instance *World::find(mp_Addr address) const {
  for (auto &one : all) {
    if (one->address == address)
      return one.get();
  }
  return nullptr;
}

/*
** Lives
*/

void World::on_object(void *data, StoreKind kind, const StoreObject *object) {
  auto *one = static_cast<Instance *>(data);
  auto &seen = one->seen[kind];
  if (object->gone) {
    seen.erase(object->name);
    return;
  }
  auto known = seen.find(object->name);
  if (known != seen.end() && known->second > object->text)
    one->backwards++;
  seen[object->name] = object->text;
  one->seen_at.emplace(std::string(object->name) + "=" + object->text,
                       one->world->now);
}

void World::on_listed(void *data, StoreKind kind, GHashTable *names) {
  auto *one = static_cast<Instance *>(data);
  auto &seen = one->seen[kind];
  for (auto it = seen.begin(); it != seen.end();) {
    if (g_hash_table_contains(names, it->first.c_str()))
      ++it;
    else
      it = seen.erase(it);
  }
}

mp_Addr World::control_of(void *data, mp_Addr relay) {
  const Instance *one = static_cast<Instance *>(data)->world->find(relay);
  return one != nullptr && one->is_listed ? relay : 0;
}

void World::set_members(Instance &one) {
  GArray *near = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  GArray *far = g_array_new(FALSE, FALSE, sizeof(RelayMember));
  for (auto &other : all) {
    if (other.get() == &one)
      continue;
    RelayMember entry = {other->address, other->zone, other->capacity};
    g_array_append_val(other->zone == one.zone ? near : far, entry);
  }
  relay_group_set_members(one.group, near, far, now);
  g_array_free(near, TRUE);
  g_array_free(far, TRUE);
}

void World::start(Instance &one) {
  one.alive = true;
  one.life++;
  one.group = relay_group_new(one.address, one.capacity, &times, now);
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++) {
    FollowerHost host = {&one, on_object, on_listed, [](void *, StoreKind) {},
                         [](void *, StoreKind) {}};
    NewsSourceHost source = {&one, control_of};
    one.seen[kind].clear();
    one.source[kind] = {};
    follower_init(&one.source[kind].follower, static_cast<StoreKind>(kind),
                  kind == STORE_CONFIGURATION || kind == STORE_ENDPOINTS
                      ? times.watch_wait
                      : rare_wait,
                  300 * ms, &host);
    news_source_init(&one.source[kind], one.group, &source, nullptr, 0);
    if (proving && kind == STORE_CONFIGURATION)
      one.source[kind].proof_within = proof_wait;
  }
  look_all(one);
  later(one, store_time, [this, &one] {
    set_members(one);
    beat(one);
  });
}

void World::start_all() {
  for (auto &one : all)
    start(*one);
}

void World::kill(Instance &one) {
  one.alive = false;
  for (auto &source : one.source)
    follower_clear(&source.follower);
  relay_group_free(one.group);
}

/*
** Heartbeats, as io/relays.c sends them
*/

void World::datagram(mp_Addr to, std::function<void(Instance &)> act) {
  Instance *one = find(to);
  datagrams++;
  if (one == nullptr || lost())
    return;
  at(now + travel, [one, act = std::move(act)] {
    if (one->alive)
      act(*one);
  });
}

void World::send_beat(Instance &from, mp_Addr to, gint64 asked) {
  mp_RelayBeat told = {};
  mp_Addr address = from.address;
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    told.changed[kind] =
        static_cast<guint64>(from.source[kind].follower.changed);
  told.sent_us = static_cast<guint64>(now);
  told.proof_ms = config_proof_age_ms(relay_group_proof(from.group), now);
  told.asked_us = static_cast<guint64>(asked);
  told.age_ms = static_cast<guint32>(relay_group_age(from.group, now) / ms);
  datagram(to, [this, address, told](Instance &one) {
    relay_group_hear(one.group, address, &told, now);
    look_all(one);
  });
}

static bool knows(const Instance &one) {
  return follower_knows(&one.source[STORE_CONFIGURATION].follower) &&
         follower_knows(&one.source[STORE_ENDPOINTS].follower);
}

void World::ask_beat(Instance &one, mp_Addr relay) {
  mp_Addr self = one.address;
  gint64 asked = now;
  datagram(relay, [this, self, asked](Instance &answering) {
    if (relay_group_role(answering.group, now) == RELAY_ROLE_RELAY &&
        knows(answering))
      send_beat(answering, self, asked);
  });
}

void World::beat(Instance &one) {
  RelayRole role = relay_group_role(one.group, now);
  if (role == RELAY_ROLE_RELAY && knows(one)) {
    const GArray *near = relay_group_members(one.group);
    GArray *far = relay_group_far(one.group, now);
    for (guint i = 0; i < near->len; i++)
      send_beat(one, g_array_index(near, mp_Addr, i));
    for (guint i = 0; i < far->len; i++)
      send_beat(one, g_array_index(far, mp_Addr, i));
    g_array_free(far, TRUE);
  }
  if (role == RELAY_ROLE_MEMBER && !knows(one)) {
    mp_Addr asked[asked_most];
    unsigned count = relay_group_ask(one.group, asked, asked_most);
    for (unsigned i = 0; i < count; i++)
      ask_beat(one, asked[i]);
  }
  if (proving) {
    mp_Addr asked[clocks_most];
    unsigned count = relay_group_unbounded(one.group, now, asked, clocks_most);
    for (unsigned i = 0; i < count; i++)
      ask_beat(one, asked[i]);
  }
  look_all(one);
  gint64 next = relay_group_next(one.group, now) - now;
  later(one, CLAMP(next, ms, RELAY_BEAT), [this, &one] { beat(one); });
}

/*
** Calls, as io/following.c carries them
*/

void World::look_all(Instance &one) {
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    look(one, kind);
}

void World::look(Instance &one, int kind) {
  NewsWanted wanted;
  news_source_next(&one.source[kind], now, &wanted);
  switch (wanted.step) {
  case NEWS_WAIT:
    if (wanted.at != G_MAXINT64)
      later(one, std::max<gint64>(wanted.at - now, 0),
            [this, &one, kind] { look(one, kind); });
    break;
  case NEWS_ASK_STORE:
    ask_store(one, kind, wanted);
    break;
  case NEWS_ASK_INSTANCE:
    ask_instance(one, kind, wanted);
    break;
  case NEWS_LEAVE_STORE:
    one.open[kind]++;
    later(one, 0, [this, &one, kind] { look(one, kind); });
    break;
  }
}

void World::reply(Instance &one, int kind, unsigned call,
                  const StoreReply &reply) {
  if (one.open[kind] != call)
    return;
  one.open[kind]++;
  news_source_reply(&one.source[kind], &reply, now);
  later(one, 0, [this, &one, kind] { look(one, kind); });
}

void World::fail_after(Instance &one, int kind, unsigned call, gint64 wait) {
  later(one, wait, [this, &one, kind, call] {
    StoreReply failed = {STORE_FAILED, nullptr, FALSE, 0, FALSE, 0, FALSE};
    reply(one, kind, call, failed);
  });
}

static void append(GArray *objects, const std::string &name,
                   const Object &object) {
  StoreObject out = {g_strdup(name.c_str()), object.revision, object.gone,
                     object.gone ? nullptr : g_strdup(object.text.c_str())};
  g_array_append_val(objects, out);
}

StoreReply World::list(StoreKind kind, bool stale) const {
  StoreReply out = {STORE_OK, store_objects_new(), FALSE, revision, FALSE, 0,
                    FALSE};
  const std::map<std::string, Object> *from = &objects[kind];
  for (auto &then : past) {
    if (stale && then.at > now - staleness)
      break;
    from = stale ? &then.objects[kind] : from;
    out.at = stale ? then.revision : out.at;
  }
  for (auto &[name, object] : *from) {
    if (!object.gone)
      append(out.objects, name, object);
  }
  return out;
}

void World::remember() {
  past.push_back({now, revision, {}});
  std::copy(std::begin(objects), std::end(objects),
            std::begin(past.back().objects));
}

StoreReply World::events(StoreKind kind, gint64 since) const {
  StoreReply out = {STORE_OK, nullptr, FALSE, revision, FALSE, 0, FALSE};
  if (since < oldest) {
    out.status = STORE_HISTORY_GONE;
    return out;
  }
  out.objects = store_objects_new();
  for (auto &[name, object] : objects[kind]) {
    if (object.revision > since)
      append(out.objects, name, object);
  }
  return out;
}

void World::ask_store(Instance &one, int kind, const NewsWanted &wanted) {
  auto what = static_cast<StoreKind>(kind);
  unsigned call = ++one.open[kind];
  gint64 since = wanted.call.revision;
  (wanted.call.stale ? stale_calls : store_calls)++;
  fail_after(one, kind, call, wanted.patience);
  if (!store_up || one.cut_from_store)
    return;
  if (wanted.call.operation == STORE_WATCH) {
    watches.push_back({&one, what, since, call, one.life});
    later(one, wanted.call.wait, [this, &one, kind, call] {
      StoreReply nothing = {STORE_OK, nullptr, FALSE, revision,
                            FALSE,    0,       FALSE};
      if (store_up && !one.cut_from_store)
        reply(one, kind, call, nothing);
    });
    at(now + store_time, [this] { answer_watches(); });
    return;
  }
  bool stale = wanted.call.stale;
  later(one, store_time, [this, &one, kind, call, what, stale] {
    StoreReply all_of_it = list(what, stale);
    reply(one, kind, call, all_of_it);
    store_reply_clear(&all_of_it);
  });
}

void World::answer_watches() {
  std::vector<Watch> open;
  open.swap(watches);
  for (auto &watch : open) {
    Instance &one = *watch.one;
    if (!one.alive || one.life != watch.life ||
        one.open[watch.kind] != watch.call)
      continue;
    StoreReply news = events(watch.kind, watch.since);
    bool is_news =
        news.status != STORE_OK || (news.objects && news.objects->len > 0);
    if (is_news && store_up && !one.cut_from_store)
      reply(one, watch.kind, watch.call, news);
    else
      watches.push_back(watch);
    store_reply_clear(&news);
  }
}

void World::ask_instance(Instance &one, int kind, const NewsWanted &wanted) {
  Instance *relay = find(wanted.instance);
  unsigned call = ++one.open[kind];
  gint64 since =
      wanted.call.operation == STORE_WATCH ? wanted.call.revision : 0;
  fail_after(one, kind, call, wanted.patience);
  if (relay == nullptr || !relay->alive || !relay->answers)
    return;
  later(*relay, travel, [this, &one, kind, call, relay, since] {
    StoreReply known;
    follower_answer(&relay->source[kind].follower, since, &known);
    auto kept = std::make_shared<StoreReply>(known);
    at(now + travel, [this, &one, kind, call, kept] {
      if (one.alive)
        reply(one, kind, call, *kept);
      store_reply_clear(kept.get());
    });
  });
}

/*
** What happens in the store
*/

void World::write(StoreKind kind, const std::string &name,
                  const std::string &text) {
  objects[kind][name] = {++revision, text, false};
  written.emplace(name + "=" + text, now);
  remember();
  at(now + store_time, [this] { answer_watches(); });
}

void World::remove(StoreKind kind, const std::string &name) {
  objects[kind][name].gone = true;
  objects[kind][name].revision = ++revision;
  remember();
  at(now + store_time, [this] { answer_watches(); });
}

void World::forget_history() {
  oldest = revision + 1;
  at(now + store_time, [this] { answer_watches(); });
}

unsigned World::knowing(StoreKind kind, const std::string &name,
                        const std::string &text) const {
  unsigned count = 0;
  for (auto &one : all) {
    auto known = one->seen[kind].find(name);
    count +=
        one->alive && known != one->seen[kind].end() && known->second == text;
  }
  return count;
}

unsigned World::living() const {
  return static_cast<unsigned>(std::count_if(
      all.begin(), all.end(), [](auto &one) { return one->alive; }));
}

unsigned World::with_role(RelayRole role) {
  return static_cast<unsigned>(
      std::count_if(all.begin(), all.end(), [this, role](auto &one) {
        return one->alive && relay_group_role(one->group, now) == role;
      }));
}

gint64 World::slowest(const std::string &name, const std::string &text) const {
  std::string key = name + "=" + text;
  gint64 slowest = 0;
  for (auto &one : all) {
    if (!one->alive)
      continue;
    auto seen = one->seen_at.find(key);
    if (seen == one->seen_at.end())
      return G_MAXINT64;
    slowest = std::max(slowest, seen->second - written.at(key));
  }
  return slowest;
}

int World::oldest_configuration(const std::string &name) const {
  int oldest_known = G_MAXINT;
  for (auto &one : all) {
    if (!one->alive || one->cut_from_store)
      continue;
    auto known = one->seen[STORE_CONFIGURATION].find(name);
    int version = known == one->seen[STORE_CONFIGURATION].end()
                      ? 0
                      : std::stoi(known->second);
    oldest_known = std::min(oldest_known, version);
  }
  return oldest_known;
}

} // namespace relaying
