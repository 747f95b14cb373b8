/*
** relay_world.h
** Instances that follow a store through relays, in virtual time
**
** The decisions are the product's (NewsSource, RelayGroup, Follower); the
** world carries their calls and heartbeats as io/following.c and
** io/relays.c do, with delay, loss, cuts, kills and a store that can be
** away for all or for some.
*/

#ifndef RELAY_WORLD_H
#define RELAY_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "router/news_source.h"
}

namespace relaying {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;
constexpr gint64 watch_wait = 2800 * ms; /* unless a world has its own */
/* watches of what changes rarely, as io/directory.c has them */
constexpr gint64 rare_wait = 12 * second;
/* watches of the configuration, where the age of it must be known */
constexpr gint64 proof_wait = 833 * ms;

/* a position in a store that names no era */
inline StorePosition at_revision(gint64 revision) {
  return store_position(0, revision);
}

/* an object of the store as it stands, or as it left */
struct Object {
  gint64 revision = 0;
  std::string text;
  bool gone = false;
};

class World;

struct Instance {
  World *world = nullptr;
  mp_Addr address = 0;
  unsigned zone = 0;
  guint32 capacity = 0; /* of its machine */
  bool alive = false;
  bool cut_from_store = false;
  bool refused_by_store = false; /* each call is answered with 503 at once */
  bool cut_from_all = false;     /* from the store and from all instances */
  gint64 link_free_at = 0; /* its link carries other answers until then */
  bool answers = true;     /* as a relay, in time */
  bool is_listed = true;   /* others know where it answers */
  unsigned life = 0;       /* what was sent to an earlier life is lost */
  RelayGroup *group = nullptr;
  NewsSource source[MP_RELAY_KINDS] = {};
  unsigned open[MP_RELAY_KINDS] = {};      /* number of the open call */
  StorePosition told[MP_RELAY_KINDS] = {}; /* in the last heartbeat */
  /* the open call's answer is under way until then */
  gint64 receives_until[MP_RELAY_KINDS] = {};
  unsigned received_call[MP_RELAY_KINDS] = {};
  std::map<std::string, std::string> seen[MP_RELAY_KINDS];
  std::map<std::string, gint64> seen_at; /* name=text -> when first */
  unsigned older_texts_taken = 0; /* an object took an older text again */
};

class World {
public:
  World(unsigned zones, unsigned instances, double loss = 0, unsigned seed = 1,
        bool proving = false);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  void start_all();
  void start(Instance &one);
  void kill(Instance &one);
  void run(gint64 span);

  /* what operators and endpoints do; texts are versions that grow */
  void write(StoreKind kind, const std::string &name, const std::string &text);
  void remove(StoreKind kind, const std::string &name);
  void compact_history();
  /* the store comes back from a copy that is so old; how an object that was
  ** written since stood at last is written again after a moment */
  void restore(gint64 age, gint64 again_after = 300 * ms);

  /* live instances that know this text, and those that should */
  unsigned instances_knowing(StoreKind kind, const std::string &name,
                             const std::string &text) const;
  unsigned live_instances() const;
  unsigned with_role(RelayRole role);
  /* the slowest live instance's delay from the write to knowing */
  gint64 slowest_delay(const std::string &name, const std::string &text) const;
  /* the oldest configuration (a number) of those that reach the store */
  int oldest_configuration_with_store(const std::string &name) const;
  /* the same of all that are alive and not cut off from everybody */
  int oldest_known_configuration(const std::string &name) const;

  Instance *find(mp_Addr address) const;
  bool is_restored() const {
    return era > 1;
  }

  std::vector<std::unique_ptr<Instance>> all;
  gint64 now = 1000 * second;
  /* set before the start */
  RelayTiming times = {watch_wait, 3 * second};
  bool store_up = true;
  gint64 list_staleness = 1500 * ms; /* of a stale list */
  /* of the configuration, which each change writes anew, but for one; 0: its
  ** text is its version alone, and links take no time */
  unsigned routes = 0;
  gint64 link_rate = 1250; /* bytes a millisecond: 10 Mbit/s */
  guint64 store_calls = 0;
  guint64 stale_list_calls = 0; /* lists that may be old, not among those */
  guint64 datagrams = 0;
  guint64 configuration_bytes_sent =
      0; /* by instances, of the configuration */

private:
  struct Event {
    gint64 at;
    guint64 order;
    std::function<void()> act;
    bool operator<(const Event &other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  /* the store as it stood at some time */
  struct Past {
    gint64 at;
    gint64 revision;
    std::map<std::string, Object> objects[MP_RELAY_KINDS];
    size_t history; /* length of it */
  };
  struct Watch {
    Instance *one;
    StoreKind kind;
    StorePosition since;
    unsigned call;
    unsigned life;
  };

  /* a change as the store's history has it */
  struct Version {
    gint64 revision;
    StoreKind kind;
    std::string name;
    std::string text;
    bool gone;
  };

  void at(gint64 when, std::function<void()> act);
  std::string content(StoreKind kind, const std::string &text) const;
  gint64 travel_of(Instance &one, const StoreReply &reply);
  gint64 send_time(Instance &one, gsize size);
  void receive(Instance &one, int kind, unsigned call, gint64 span);
  bool receives(const Instance &one, int kind) const;
  void later(Instance &one, gint64 wait, std::function<void()> act);
  void look(Instance &one, int kind);
  void look_all(Instance &one);
  void ask_store(Instance &one, int kind, const NewsAction &wanted);
  void ask_instance(Instance &one, int kind, const NewsAction &wanted);
  void reply(Instance &one, int kind, unsigned call, const StoreReply &reply);
  void fail_after(Instance &one, int kind, unsigned call, gint64 wait);
  StoreReply list(StoreKind kind, bool stale) const;
  void remember();
  void take_copy(const Past &copy);
  void write_again(const Version &lost);
  void put(StoreKind kind, const std::string &name, const std::string &whole,
           bool gone);
  StoreReply events(StoreKind kind, gint64 since) const;
  StorePosition here(gint64 of) const {
    return store_position(era, of);
  }
  void end_watch(Instance &one, int kind, unsigned call);
  void answer_watches();
  void beat(Instance &one);
  void send_beats(Instance &one);
  void tell_news(Instance &one, int kind);
  void send_beat(Instance &from, mp_Addr to, gint64 asked = 0);
  void ask_beat(Instance &one, mp_Addr relay);
  void datagram(mp_Addr to, std::function<void(Instance &)> act);
  void set_members(Instance &one);
  bool lost();

  static void on_object(void *data, StoreKind kind, const StoreObject *object);
  static void on_listed(void *data, StoreKind kind, GHashTable *names);
  static mp_Addr control_of(void *data, mp_Addr relay);

  std::priority_queue<Event> queue;
  guint64 order = 0;
  std::map<std::string, Object> objects[MP_RELAY_KINDS];
  std::map<std::string, gint64> written; /* name=text -> when */
  gint64 revision = 100;
  gint64 oldest = 0;
  guint64 era = 1; /* times that the store was restored, and one */
  std::vector<Watch> watches;
  std::vector<Past> past;   /* what a stale list may show */
  std::vector<Past> copies; /* what the store can be restored from */
  std::vector<Version> history;
  double loss;
  bool proving;
  GRand *random;
};

} // namespace relaying

#endif
