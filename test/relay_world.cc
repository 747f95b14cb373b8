/*
** relay_world.cc
** Instances that follow a store through relays, in virtual time
*/

#include <algorithm>
#include <cstring>

#include "relay_world.h"

extern "C" {
#include "io/news_codec.h"
}

namespace relaying {

/* what a member asks for a heartbeat, as io/relays.c */
constexpr unsigned asked_most = 4;
constexpr unsigned clocks_most = 8;
constexpr gint64 travel = 1 * ms;
constexpr gint64 store_time = 4 * ms;
/* the store's answers end behind the object that passes this */
constexpr gsize store_answer_most = 1 << 20;

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

/* texts begin with their version; routes may follow */
static std::string version_of(const char *text) {
  return std::string(text, strcspn(text, " "));
}

std::string World::content(StoreKind kind, const std::string &text) const {
  std::string out = text;
  char route[200];
  unsigned changed = routes > 0 ? (unsigned)revision % routes : 0;
  for (unsigned i = 0; kind == STORE_CONFIGURATION && i < routes; i++) {
    /* the names of hosts and paths have no pattern */
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
  auto *one = static_cast<Instance *>(data);
  auto &seen = one->seen[kind];
  if (object->gone) {
    seen.erase(object->name);
    return;
  }
  auto known = seen.find(object->name);
  std::string text = version_of(object->text);
  /* as io/directory.c: a configuration never falls */
  if (kind == STORE_CONFIGURATION && known != seen.end() &&
      one->world->is_restored() && known->second > text)
    return;
  if (known != seen.end() && known->second > text)
    one->older_texts_taken++;
  seen[object->name] = text;
  one->seen_at.emplace(std::string(object->name) + "=" + text,
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
      one.source[kind].proof_wait_max = proof_wait;
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
  if (one == nullptr || one->cut_from_all || lost())
    return;
  at(now + travel, [one, act = std::move(act)] {
    if (one->alive)
      act(*one);
  });
}

void World::send_beat(Instance &from, mp_Addr to, gint64 asked) {
  if (from.cut_from_all)
    return;
  mp_RelayHeartbeat told = {};
  mp_Addr address = from.address;
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    told.changed[kind] = from.source[kind].follower.changed;
  told.sent_us = static_cast<guint64>(now);
  told.proof_ms = config_proof_age_ms(relay_group_proof(from.group), now);
  told.asked_us = static_cast<guint64>(asked);
  told.age_ms = static_cast<guint32>(relay_group_age(from.group, now) / ms);
  datagram(to, [this, address, told](Instance &one) {
    relay_group_receive_heartbeat(one.group, address, &told, now);
    look_all(one);
  });
}

static bool knows(const Instance &one) {
  return follower_is_synced(&one.source[STORE_CONFIGURATION].follower) &&
         follower_is_synced(&one.source[STORE_ENDPOINTS].follower);
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

void World::send_beats(Instance &one) {
  const GArray *near = relay_group_members(one.group);
  GArray *far = relay_group_remote_targets(one.group, now);
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    one.told[kind] = one.source[kind].follower.changed;
  for (guint i = 0; i < near->len; i++)
    send_beat(one, g_array_index(near, mp_Addr, i));
  for (guint i = 0; i < far->len; i++)
    send_beat(one, g_array_index(far, mp_Addr, i));
  g_array_free(far, TRUE);
}

/* news of the store are told at once */
void World::tell_news(Instance &one, int kind) {
  if (one.source[kind].at_store &&
      store_position_compare(one.told[kind],
                             one.source[kind].follower.changed) != 0 &&
      relay_group_role(one.group, now) == RELAY_ROLE_RELAY && knows(one))
    send_beats(one);
}

void World::beat(Instance &one) {
  RelayRole role = relay_group_role(one.group, now);
  if (role == RELAY_ROLE_RELAY && knows(one))
    send_beats(one);
  if (role == RELAY_ROLE_MEMBER && !knows(one)) {
    mp_Addr asked[asked_most];
    unsigned count = relay_group_first_members(one.group, asked, asked_most);
    for (unsigned i = 0; i < count; i++)
      ask_beat(one, asked[i]);
  }
  if (proving) {
    mp_Addr asked[clocks_most];
    unsigned count =
        relay_group_clocks_to_bound(one.group, now, asked, clocks_most);
    for (unsigned i = 0; i < count; i++)
      ask_beat(one, asked[i]);
  }
  look_all(one);
  gint64 next = relay_group_next_check(one.group, now) - now;
  later(one, CLAMP(next, ms, RELAY_HEARTBEAT_INTERVAL),
        [this, &one] { beat(one); });
}

/*
** Calls, as io/following.c carries them
*/

void World::look_all(Instance &one) {
  for (int kind = 0; kind < MP_RELAY_KINDS; kind++)
    look(one, kind);
}

void World::look(Instance &one, int kind) {
  NewsAction wanted;
  if (receives(one, kind))
    news_source_progress(&one.source[kind], now);
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
  case NEWS_ABANDON_STORE_CALL:
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
  tell_news(one, kind);
  later(one, 0, [this, &one, kind] { look(one, kind); });
}

void World::fail_after(Instance &one, int kind, unsigned call, gint64 wait) {
  later(one, wait, [this, &one, kind, call, wait] {
    if (one.open[kind] == call && receives(one, kind)) {
      fail_after(one, kind, call, one.receives_until[kind] - now + wait);
      return;
    }
    StoreReply failed = {STORE_FAILED, nullptr, FALSE, {},
                         FALSE,        0,       FALSE, FALSE};
    reply(one, kind, call, failed);
  });
}

static void append(GArray *objects, const std::string &name,
                   const Object &object, guint64 era) {
  StoreObject out = {g_strdup(name.c_str()),
                     store_position(era, object.revision), object.gone,
                     object.gone ? nullptr : g_strdup(object.text.c_str()),
                     nullptr};
  g_array_append_val(objects, out);
}

StoreReply World::list(StoreKind kind, bool stale) const {
  StoreReply out = {
      STORE_OK, store_objects_new(), FALSE, here(revision), FALSE, 0, FALSE,
      FALSE};
  const std::map<std::string, Object> *from = &objects[kind];
  for (auto &then : past) {
    if (stale && then.at > now - list_staleness)
      break;
    from = stale ? &then.objects[kind] : from;
    out.at = here(stale ? then.revision : revision);
  }
  for (auto &[name, object] : *from) {
    if (!object.gone)
      append(out.objects, name, object, era);
  }
  return out;
}

void World::remember() {
  past.push_back({now, revision, {}, history.size()});
  std::copy(std::begin(objects), std::end(objects),
            std::begin(past.back().objects));
  copies.push_back(past.back());
}

/* when the link has carried so many bytes besides what it carries already */
gint64 World::send_time(Instance &one, gsize size) {
  if (routes == 0)
    return 0;
  one.link_free_at = std::max(one.link_free_at, now) +
                     static_cast<gint64>(size) * ms / link_rate;
  return one.link_free_at - now;
}

gint64 World::travel_of(Instance &one, const StoreReply &reply) {
  gsize size = 0;
  for (guint i = 0; reply.objects != nullptr && i < reply.objects->len; i++) {
    const StoreObject &object = g_array_index(reply.objects, StoreObject, i);
    size += object.text != nullptr ? strlen(object.text) : 0;
  }
  return send_time(one, size);
}

/* the answer to this call arrives all the time until it is whole */
void World::receive(Instance &one, int kind, unsigned call, gint64 span) {
  one.receives_until[kind] = now + span;
  one.received_call[kind] = call;
}

bool World::receives(const Instance &one, int kind) const {
  return one.received_call[kind] == one.open[kind] && !one.cut_from_store &&
         !one.cut_from_all && now <= one.receives_until[kind];
}

/* each version since, as far as an answer holds them */
static void append_versions(GArray *objects, const std::string &name,
                            const std::string &text, StorePosition position,
                            bool gone) {
  StoreObject out = {g_strdup(name.c_str()), position, gone,
                     gone ? nullptr : g_strdup(text.c_str()), nullptr};
  g_array_append_val(objects, out);
}

StoreReply World::events(StoreKind kind, gint64 since) const {
  StoreReply out = {STORE_OK, nullptr, FALSE, here(revision),
                    FALSE,    0,       FALSE, FALSE};
  if (since < oldest || since > revision) {
    out.status = STORE_HISTORY_GONE;
    return out;
  }
  out.objects = store_objects_new();
  auto next = std::upper_bound(
      history.begin(), history.end(), since,
      [](gint64 at, const Version &v) { return at < v.revision; });
  gsize size = 0;
  for (; next != history.end() && size < store_answer_most; ++next) {
    if (next->kind != kind)
      continue;
    append_versions(out.objects, next->name, next->text, here(next->revision),
                    next->gone);
    size += next->text.size();
  }
  if (next != history.end())
    out.at = here(std::prev(next)->revision);
  return out;
}

void World::ask_store(Instance &one, int kind, const NewsAction &wanted) {
  auto what = static_cast<StoreKind>(kind);
  unsigned call = ++one.open[kind];
  StorePosition since = wanted.call.position;
  (wanted.call.stale ? stale_list_calls : store_calls)++;
  fail_after(one, kind, call, wanted.patience);
  if (!store_up || one.cut_from_store || one.cut_from_all)
    return;
  if (one.refused_by_store) {
    fail_after(one, kind, call, store_time);
    return;
  }
  if (wanted.call.operation == STORE_WATCH) {
    watches.push_back({&one, what, since, call, one.life});
    later(one, wanted.call.wait,
          [this, &one, kind, call] { end_watch(one, kind, call); });
    at(now + store_time, [this] { answer_watches(); });
    return;
  }
  bool stale = wanted.call.stale;
  unsigned life = one.life;
  later(one, store_time, [this, &one, kind, call, what, stale, life] {
    if (one.open[kind] != call)
      return;
    auto all_of_it = std::make_shared<StoreReply>(list(what, stale));
    gint64 span = travel_of(one, *all_of_it);
    receive(one, kind, call, span);
    at(now + span, [this, &one, kind, call, life, all_of_it] {
      if (one.alive && one.life == life && !one.cut_from_store &&
          !one.cut_from_all)
        reply(one, kind, call, *all_of_it);
      store_reply_clear(all_of_it.get());
    });
  });
}

/* it has waited long enough, unless its answer is on the way */
void World::end_watch(Instance &one, int kind, unsigned call) {
  auto watch = std::find_if(watches.begin(), watches.end(), [&](auto &open) {
    return open.one == &one && open.kind == kind && open.call == call;
  });
  if (watch == watches.end() || !store_up || one.cut_from_store ||
      one.cut_from_all)
    return;
  StoreReply news = events(watch->kind, watch->since.revision);
  watches.erase(watch);
  reply(one, kind, call, news);
  store_reply_clear(&news);
}

void World::answer_watches() {
  std::vector<Watch> open;
  open.swap(watches);
  for (auto &watch : open) {
    Instance &one = *watch.one;
    if (!one.alive || one.life != watch.life ||
        one.open[watch.kind] != watch.call)
      continue;
    auto news =
        std::make_shared<StoreReply>(events(watch.kind, watch.since.revision));
    bool is_news =
        news->status != STORE_OK || (news->objects && news->objects->len > 0);
    if (!is_news || !store_up || one.cut_from_store || one.cut_from_all) {
      watches.push_back(watch);
      store_reply_clear(news.get());
      continue;
    }
    int kind = watch.kind;
    unsigned call = watch.call;
    unsigned life = watch.life;
    gint64 span = travel_of(one, *news);
    receive(one, kind, call, span);
    at(now + span, [this, &one, kind, call, life, news] {
      if (one.alive && one.life == life && !one.cut_from_store &&
          !one.cut_from_all)
        reply(one, kind, call, *news);
      store_reply_clear(news.get());
    });
  }
}

void World::ask_instance(Instance &one, int kind, const NewsAction &wanted) {
  Instance *relay = find(wanted.instance);
  unsigned call = ++one.open[kind];
  StorePosition since = wanted.call.operation == STORE_WATCH
                            ? wanted.call.position
                            : store_position_none();
  fail_after(one, kind, call, wanted.patience);
  if (relay == nullptr || !relay->alive || !relay->answers ||
      relay->cut_from_all || one.cut_from_all)
    return;
  gboolean in_full = wanted.call.in_full;
  guint64 digest = wanted.call.digest;
  later(
      *relay, travel, [this, &one, kind, call, relay, since, in_full, digest] {
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
        gint64 span = travel + send_time(*relay, size);
        if (one.open[kind] == call)
          receive(one, kind, call, span);
        at(now + span, [this, &one, kind, call, status, body] {
          StoreCall asked = {};
          StoreReply read;
          if (!one.alive || one.cut_from_all)
            return;
          news_codec.read_reply(&asked, status, body->data(), body->size(),
                                &read, nullptr);
          reply(one, kind, call, read);
          store_reply_clear(&read);
        });
      });
}

/*
** What happens in the store
*/

void World::put(StoreKind kind, const std::string &name,
                const std::string &whole, bool gone) {
  objects[kind][name] = {++revision, whole, gone};
  history.push_back({revision, kind, name, whole, gone});
  remember();
  at(now + store_time, [this] { answer_watches(); });
}

void World::write(StoreKind kind, const std::string &name,
                  const std::string &text) {
  put(kind, name, content(kind, text), false);
  written.emplace(name + "=" + text, now);
}

void World::remove(StoreKind kind, const std::string &name) {
  put(kind, name, "", true);
}

void World::take_copy(const Past &copy) {
  std::copy(std::begin(copy.objects), std::end(copy.objects),
            std::begin(objects));
  revision = copy.revision;
  history.resize(copy.history);
}

/* whoever wrote it does so unless it has written something else since */
void World::write_again(const Version &lost) {
  const Object &stands = objects[lost.kind][lost.name];
  if (lost.gone != stands.gone || lost.text > stands.text)
    put(lost.kind, lost.name, lost.text, lost.gone);
}

void World::restore(gint64 age, gint64 again_after) {
  gint64 then = now - age;
  while (copies.size() > 1 && copies.back().at > then)
    copies.pop_back();
  Past copy = copies.back();
  std::vector<Version> lost(history.begin() +
                                static_cast<std::ptrdiff_t>(copy.history),
                            history.end());
  take_copy(copy);
  remember();
  era++;
  watches.clear(); /* their connections are gone */
  at(now + again_after, [this, lost] {
    std::set<std::string> done;
    for (auto version = lost.rbegin(); version != lost.rend(); ++version) {
      if (done.insert(version->name).second)
        write_again(*version);
    }
  });
}

void World::compact_history() {
  oldest = revision + 1;
  at(now + store_time, [this] { answer_watches(); });
}

unsigned World::instances_knowing(StoreKind kind, const std::string &name,
                                  const std::string &text) const {
  unsigned count = 0;
  for (auto &one : all) {
    auto known = one->seen[kind].find(name);
    count +=
        one->alive && known != one->seen[kind].end() && known->second == text;
  }
  return count;
}

unsigned World::live_instances() const {
  return static_cast<unsigned>(std::count_if(
      all.begin(), all.end(), [](auto &one) { return one->alive; }));
}

unsigned World::with_role(RelayRole role) {
  return static_cast<unsigned>(
      std::count_if(all.begin(), all.end(), [this, role](auto &one) {
        return one->alive && relay_group_role(one->group, now) == role;
      }));
}

gint64 World::slowest_delay(const std::string &name,
                            const std::string &text) const {
  std::string key = name + "=" + text;
  gint64 slowest_delay = 0;
  for (auto &one : all) {
    if (!one->alive)
      continue;
    auto seen = one->seen_at.find(key);
    if (seen == one->seen_at.end())
      return G_MAXINT64;
    slowest_delay = std::max(slowest_delay, seen->second - written.at(key));
  }
  return slowest_delay;
}

static int version_at(const Instance &one, const std::string &name) {
  auto known = one.seen[STORE_CONFIGURATION].find(name);
  return known == one.seen[STORE_CONFIGURATION].end()
             ? 0
             : std::stoi(known->second);
}

int World::oldest_configuration_with_store(const std::string &name) const {
  int oldest_known = G_MAXINT;
  for (auto &one : all) {
    if (one->alive && !one->cut_from_store && !one->cut_from_all)
      oldest_known = std::min(oldest_known, version_at(*one, name));
  }
  return oldest_known;
}

int World::oldest_known_configuration(const std::string &name) const {
  int oldest_known = G_MAXINT;
  for (auto &one : all) {
    if (one->alive && !one->cut_from_all)
      oldest_known = std::min(oldest_known, version_at(*one, name));
  }
  return oldest_known;
}

} // namespace relaying
