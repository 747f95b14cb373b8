/*
** crash_fleet.h
** Instances before engines that end, in virtual time: callers who come back,
** requests that end who runs them, datagrams that are lost, a store
**
** The decisions are the product's (Router); the fleet carries news of strikes
** as io/load_exchange.c does and writes to the store as
** io/quarantine_writer.c.
*/

#ifndef CRASH_FLEET_H
#define CRASH_FLEET_H

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "router_world.h"

namespace crashing {

using routing::ms;
using routing::second;
using routing::SentDispatch;
using routing::World;

struct FleetOptions {
  unsigned seed = 1;
  unsigned instances = 8;
  unsigned decode = 12;
  unsigned prefill = 4;
  double loss = 0.02;           /* of datagrams */
  unsigned innocent_per_s = 18; /* requests that end nobody */
  gint64 run_least = 500 * ms;  /* how long they run */
  gint64 run_most = 3 * second;
  double garbled =
      0; /* share of innocents' runs that break off by themselves */
  gint64 own_end_every = 0; /* some engine ends by itself so often; 0: never */
};

/* a caller's request, under all ids that it comes with */
struct Work {
  guint64 content = 0;
  bool deadly = false;
  unsigned tries = 0;
  unsigned broken = 0; /* by the end of an engine */
  unsigned refused_as_held = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &options);

  /* requests of innocents come by themselves meanwhile */
  void pass(gint64 span);
  /* the deadly request comes at some instance */
  void send_deadly(guint64 content);
  /* a share of the instances is killed, and starts again at once */
  void kill(double share);
  /* datagrams between the halves of the instances are lost */
  bool is_cut = false;
  bool store_up = true;
  /* an engine that ends refuses connections; else it says nothing */
  bool ends_are_refused = true;

  /* when the third engine ended under it; 0: not yet */
  gint64 third_crash(guint64 content) const;
  /* runs of it that were sent later than that and 'after' */
  unsigned runs_after_third(guint64 content, gint64 after) const;
  unsigned crashes(guint64 content) const;
  /* innocents that were refused as held, and those that broke off */
  unsigned innocents_held() const;
  unsigned innocents_broken() const;
  unsigned innocents = 0;
  unsigned store_writes = 0;
  unsigned checks = 0;

  gint64 now = 100 * second;

private:
  struct Engine {
    std::string id;
    bool is_prefill = false;
    gint64 born = 0;
    gint64 ended = 0; /* 0: it is up */
    bool listed = true;
  };
  struct Run {
    unsigned instance;
    guint64 dispatch;
    guint64 request;
    std::string engine;
    guint64 content;
    gint64 ends;
  };
  struct Instance {
    std::unique_ptr<World> world;
    size_t seen = 0;
    guint64 told = 0;
    gint64 told_at = 0;
    guint64 loads_told = 0;
    guint32 sequence = 0;
    std::map<guint64, guint64> content_of; /* open request -> content */
  };
  struct Stored {
    QuarantineRecord record;
    gint64 revision;
  };

  void start(Instance &one);
  void list(World &world, const Engine &engine, bool gone);
  void list_everywhere(const Engine &engine, bool gone);
  void request(unsigned instance, guint64 content);
  void meet(unsigned instance);
  void meet_one(unsigned instance, const SentDispatch &sent);
  void end_engine(Engine &engine);
  void end_due_runs();
  void come_back();
  void callers();
  void exchange();
  void exchange_loads();
  bool hears(unsigned from, unsigned to);
  void write_store();
  Engine &engine_of(const std::string &id);
  unsigned draw(unsigned below);
  double chance();

  FleetOptions options;
  std::mt19937 random;
  std::vector<Instance> all;
  std::vector<Engine> engines;
  std::vector<Run> runs;
  std::map<guint64, Work> work;
  std::map<guint64, std::vector<gint64>> crashed; /* content -> when */
  std::map<guint64, std::vector<gint64>> sent;    /* content -> runs */
  std::map<guint64, Stored> store;
  gint64 revision = 10;
  guint64 next_content = 1000;
  gint64 next_innocent;
  gint64 next_own_end;
};

} // namespace crashing

#endif
