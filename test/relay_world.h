/*
** relay_world.h
** World: instances that follow the store through relays, in virtual time
**
** A few instances (relays) watch the store and pass its changes on; the others
** (members) follow a relay, or the store where there is none. The decisions
** are those of the real NewsSource, RelayGroup and Follower. The world carries
** their calls and heartbeats as io/following.c and io/relays.c do, with delay,
** loss, network cuts and kills, and it is the store: it answers lists and
** watches, can be down for all or for some instances, can compact its history,
** and can be restored from an older copy, which begins a new era. Times are in
** us of a virtual clock that starts at 1000 s.
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
constexpr gint64 watch_wait = 2800 * ms; /* default of World.times */
/* wait of watches of kinds that change rarely, as in io/directory.c */
constexpr gint64 rare_wait = 12 * second;
/* longest wait of configuration watches where its age must be proved */
constexpr gint64 proof_wait = 833 * ms;

/* Returns a position in a store that names no era. */
inline StorePosition at_revision(gint64 revision) {
  return store_position(0, revision);
}

/* An object of the store: its last text, or that it was removed. */
struct Object {
  gint64 revision = 0;
  std::string text;
  bool gone = false;
};

class World;

/* An instance: its faults, its real followers, and what it has seen. */
struct Instance {
  World *world = nullptr;
  mp_Addr address = 0;
  unsigned zone = 0;
  guint32 capacity = 0; /* of its machine; relays are chosen by it */
  bool alive = false;
  bool cut_from_store = false;
  bool refused_by_store = false; /* each call fails at once, as by a 503 */
  bool cut_from_all = false;     /* from the store and from all instances */
  gint64 still_until = 0;        /* stands still; reads what came after it */
  gint64 clock_ahead = 0;        /* its clock in heartbeats less World.now */
  gint64 link_free_at = 0;       /* its link is busy with answers until then */
  bool answers = true;           /* calls of other instances */
  bool is_listed = true;         /* others know its control address */
  /* grows with each start; messages to older ones are lost */
  unsigned incarnation = 0;
  RelayGroup *group = nullptr;
  NewsSource source[MP_RELAY_KINDS] = {};
  unsigned open_call[MP_RELAY_KINDS] = {}; /* number of the open call */
  /* newest changes that its last heartbeats named */
  StorePosition changed_sent[MP_RELAY_KINDS] = {};
  /* until when the answer to 'received_call' is being transferred */
  gint64 receives_until[MP_RELAY_KINDS] = {};
  unsigned received_call[MP_RELAY_KINDS] = {};
  /* by kind: version of each object, by name */
  std::map<std::string, std::string> seen[MP_RELAY_KINDS];
  std::map<std::string, gint64> seen_at; /* by "name=version": first time */
  unsigned older_texts_taken = 0;        /* times that an object got older */
};

class World {
public:
  /*
  ** zones: data centres, filled in turn; loss: share of datagrams lost;
  ** proving: instances keep a bound on the age of their configuration.
  */
  World(unsigned zones, unsigned instances, double loss = 0, unsigned seed = 1,
        bool proving = false);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /* Starts each instance with an empty memory, or one of them. */
  void start_all();
  void start(Instance &instance);
  /* Ends an instance; it must be alive. */
  void kill(Instance &instance);
  /* Lets this time pass and handles every event that falls due. */
  void run(gint64 span);

  /*
  ** Write or remove an object of the store at once. The text is its version;
  ** the texts of one object grow, compared as strings.
  */
  void write(StoreKind kind, const std::string &name, const std::string &text);
  void remove(StoreKind kind, const std::string &name);
  /* The store forgets its history: watches of older positions fail. */
  void compact_history();
  /*
  ** Restores the store from its state at that age and begins a new era.
  ** 'again_after' later the writers write each object that was changed since
  ** as it stood last, unless it is newer by then.
  */
  void restore(gint64 age, gint64 again_after = 300 * ms);

  /* Return how many live instances know this text, and how many live. */
  unsigned instances_knowing(StoreKind kind, const std::string &name,
                             const std::string &text) const;
  unsigned live_instances() const;
  unsigned instances_with_role(RelayRole role);
  /*
  ** Returns the longest delay, over the live instances, from the write of this
  ** text until an instance knew it; G_MAXINT64 if one never did.
  */
  gint64 slowest_delay(const std::string &name, const std::string &text) const;
  /*
  ** Returns the oldest version (a number; 0: none) of this configuration that
  ** a live instance holds which is not cut off from the store.
  */
  int oldest_configuration_with_store(const std::string &name) const;
  /* The same of all live instances that are not cut off from everybody. */
  int oldest_known_configuration(const std::string &name) const;

  /* Returns the instance at this address, or NULL. */
  Instance *find(mp_Addr address) const;
  bool is_restored() const {
    return era > 1;
  }

  std::vector<std::unique_ptr<Instance>> all;
  gint64 now = 1000 * second;
  /* The tests set it before start_all(). */
  RelayTiming times = {watch_wait, 3 * second};
  bool store_up = true;
  gint64 list_staleness = 1500 * ms; /* age of what a stale list shows */
  /*
  ** Number of routes in the text of a configuration. Each version changes one
  ** of them. 0: the text is the version alone, and transfers take no time.
  */
  unsigned routes = 0;
  gint64 link_bytes_per_ms = 1250; /* 10 Mbit/s, for each instance */
  guint64 store_calls = 0;
  guint64 stale_list_calls = 0; /* stale lists; not in store_calls */
  guint64 datagrams = 0;
  guint64 configuration_bytes_sent = 0; /* sent by instances */

private:
  struct Event {
    gint64 at;
    guint64 order;
    std::function<void()> act;
    bool operator<(const Event &other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  /* The store as it stood at some time. */
  struct StoreCopy {
    gint64 at;
    gint64 revision;
    std::map<std::string, Object> objects[MP_RELAY_KINDS];
    size_t history; /* its length */
  };
  /* An open watch at the store. */
  struct Watch {
    Instance *instance;
    StoreKind kind;
    StorePosition since;
    unsigned call;
    unsigned incarnation;
  };

  /* A change in the history of the store. */
  struct HistoryEntry {
    gint64 revision;
    StoreKind kind;
    std::string name;
    std::string text;
    bool gone;
  };

  void at(gint64 when, std::function<void()> act);
  std::string whole_text(StoreKind kind, const std::string &text) const;
  gint64 answer_time(Instance &instance, const StoreReply &reply);
  gint64 link_time(Instance &instance, gsize size);
  void set_receiving(Instance &instance, int kind, unsigned call, gint64 span);
  bool is_receiving(const Instance &instance, int kind) const;
  void schedule_for(Instance &instance, gint64 wait,
                    std::function<void()> act);
  void run_when_awake(Instance &instance, std::function<void()> act);
  void poll(Instance &instance, int kind);
  void poll_all(Instance &instance);
  void call_store(Instance &instance, int kind, const NewsAction &wanted);
  void call_instance(Instance &instance, int kind, const NewsAction &wanted);
  void reply(Instance &instance, int kind, unsigned call,
             const StoreReply &reply);
  void deliver(Instance &instance, int kind, unsigned call,
               std::shared_ptr<StoreReply> read);
  void schedule_failure(Instance &instance, int kind, unsigned call,
                        gint64 wait);
  StoreReply list(StoreKind kind, bool stale) const;
  void save_copy();
  void load_copy(const StoreCopy &copy);
  void rewrite_lost(const HistoryEntry &lost);
  void put_object(StoreKind kind, const std::string &name,
                  const std::string &whole, bool gone);
  StoreReply changes_since(StoreKind kind, gint64 since) const;
  StorePosition position_at(gint64 of) const {
    return store_position(era, of);
  }
  void time_out_watch(Instance &instance, int kind, unsigned call);
  void answer_due_watches();
  void run_heartbeat(Instance &instance);
  void send_heartbeats(Instance &instance);
  void send_heartbeats_if_changed(Instance &instance, int kind);
  /* asked: when the receiver asked for it, by its clock; 0: it did not */
  void send_heartbeat(Instance &from, mp_Addr to, gint64 asked = 0);
  void request_heartbeat(Instance &instance, mp_Addr relay);
  void send_datagram(mp_Addr to, std::function<void(Instance &)> act);
  void set_members(Instance &instance);
  bool is_datagram_lost();

  static void on_object(void *data, StoreKind kind, const StoreObject *object);
  static void on_listed(void *data, StoreKind kind, GHashTable *names);
  static mp_Addr control_of(void *data, mp_Addr relay);

  std::priority_queue<Event> queue;
  guint64 order = 0;
  std::map<std::string, Object> objects[MP_RELAY_KINDS];
  std::map<std::string, gint64> written; /* by "name=version": when */
  gint64 revision = 100;
  gint64 oldest = 0; /* watches from older revisions fail */
  guint64 era = 1;   /* 1, and 1 more for each restore */
  std::vector<Watch> watches;
  std::vector<StoreCopy> past;   /* states that a stale list may show */
  std::vector<StoreCopy> copies; /* states that restore() may load */
  std::vector<HistoryEntry> history;
  double loss;
  bool proving;
  GRand *random;
};

} // namespace relaying

#endif
