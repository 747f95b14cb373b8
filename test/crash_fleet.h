/*
** crash_fleet.h
** Fleet: several instances in front of engines that crash, in virtual time
**
** A "crashing request" is one that crashes every engine that runs it; all
** others are harmless. Callers retry, datagrams between instances get lost,
** instances are killed, and the store can be away. The decisions are those of
** the real Router (one World for each instance); the fleet carries the news of
** crashes between instances as io/load_exchange.c does, and writes quarantine
** records to the store as io/quarantine_writer.c does. Times are in us.
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
  unsigned decode = 12;    /* decode engines */
  unsigned far_decode = 0; /* of these, in another data centre than all else */
  unsigned prefill = 4;    /* prefill engines */
  double datagram_loss = 0.02;  /* share of the datagrams between instances */
  unsigned harmless_per_s = 18; /* harmless requests */
  gint64 run_time_min = 500 * ms; /* duration of a harmless run */
  gint64 run_time_max = 3 * second;
  /* share of harmless runs that break off though the engine lives */
  double broken_run_share = 0;
  /* answers of harmless runs end with their connections */
  bool ends_with_close = false;
  /*
  ** Time between crashes of random decode engines that no request causes; 0:
  ** there are none.
  */
  gint64 engine_crash_interval = 0;
  /*
  ** Harmless prompts have one of so many first parts, and one of so many
  ** second parts; 0: no parts.
  */
  unsigned first_parts = 0;
  unsigned second_parts = 0;
  /* share of the harmless requests that are alike: equal requests, or ones
  ** that have a part of their prompts in common */
  double alike_share = 0;
  bool alike_are_equal = false;
};

/* A request of a caller together with its retries, which have other IDs. */
struct Work {
  guint64 content = 0; /* hash of the content, the same in each retry */
  bool is_crashing = false;
  std::vector<guint64> parts; /* of its prompt */
  gint64 sent_at = 0;         /* its first attempt */
  bool began = false;         /* at its first attempt */
  unsigned attempts = 0;
  unsigned broken_runs = 0;        /* runs that broke off */
  unsigned refused_as_suspect = 0; /* REFUSAL_HELD or REFUSAL_SUSPECTED */
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &options);

  /* Lets this time pass; harmless requests arrive meanwhile. */
  void advance(gint64 span);
  /* Sends a crashing request of this content to a random instance. */
  void send_crashing_request(guint64 content);
  /*
  ** Sends a request that is like no other before, whose prompt has this first
  ** part and this second one, which crashes every engine that runs it.
  */
  void send_request_with_crashing_part(guint64 first, guint64 part);
  /* From now on so many harmless requests arrive in a second. */
  void resume_harmless(unsigned per_s) {
    options.harmless_per_s = per_s;
    next_harmless_at = now;
  }
  /* Returns the first part of this number of harmless prompts. */
  static guint64 first_part(unsigned number) {
    return 1000 + number;
  }
  /* Kills each instance with this probability and restarts it at once. */
  void kill_and_restart(double share);
  /* Crashes this share of the decode engines, spread over this time from now
  ** on, for no request's fault. */
  void crash_share(double share, gint64 within);
  /* While set, datagrams between the halves of the instances are lost. */
  bool is_partitioned = false;
  bool store_up = true; /* writes to the store succeed */
  /*
  ** A crashed engine refuses connections; otherwise connections to it time
  ** out.
  */
  bool crashed_engines_refuse = true;
  /*
  ** Something else accepts connections at the address of a crashed engine, as
  ** a proxy does: runs sent there break off at once, and half of the checks
  ** are refused. Goes before crashed_engines_refuse.
  */
  bool crashed_engines_accept = false;

  /* Returns when this content crashed its third engine; 0: not yet. */
  gint64 third_crash_time(guint64 content) const;
  /*
  ** Returns how many runs of it were sent more than 'after' later than its
  ** third crash; 0 if it has none.
  */
  unsigned runs_after_third_crash(guint64 content, gint64 after) const;
  /* Returns how many engines requests with this part have crashed. */
  unsigned part_crashes(guint64 part) const;
  /*
  ** Returns how many dispatches of requests with this part, prefills too,
  ** reached engines more than 'after' later than the fifth crash of requests
  ** with it; 0 if it has none.
  */
  unsigned arrivals_after_fifth_crash(guint64 part, gint64 after) const;
  gint64 fifth_crash_time(guint64 part) const;
  /*
  ** Returns the share of the harmless requests with this first part, sent in
  ** this time, that began at their first attempt.
  */
  double share_begun(guint64 first, gint64 from, gint64 until) const;
  /*
  ** Returns the share of the alike requests, sent in this time, that began.
  */
  double share_of_alike_begun(gint64 from, gint64 until) const;
  /* Returns how many engines this content crashed. */
  unsigned crashes(guint64 content) const;
  /*
  ** Returns how many runs of it were sent, those to crashed engines that break
  ** off at once included.
  */
  unsigned runs_sent(guint64 content) const;
  /*
  ** Return how many harmless requests were refused as suspects at least once,
  ** and how many harmless runs broke off.
  */
  unsigned harmless_refused_as_suspect() const;
  unsigned harmless_broken_runs() const;
  unsigned harmless_requests = 0;
  unsigned store_writes = 0;
  unsigned checks = 0; /* connection checks that instances made */

  gint64 now = 100 * second;

private:
  struct Engine {
    std::string id;
    bool is_prefill = false;
    bool is_far = false;        /* in another data centre than the instances */
    gint64 started_unix_ms = 0; /* start of its incarnation */
    gint64 crashed_at = 0;      /* 0: it is running */
    bool is_listed = true;      /* in the list of endpoints */
  };
  struct Run {
    unsigned instance;
    guint64 dispatch;
    guint64 request;
    std::string engine;
    guint64 content;
    gint64 ends_at;
  };
  struct Instance {
    std::unique_ptr<World> world;
    size_t handled_dispatches = 0; /* of World.dispatches */
    guint64 crash_version_sent = 0;
    gint64 crash_news_sent_at = 0;
    guint64 load_version_sent = 0;
    guint32 sequence = 0;
    std::map<guint64, guint64> content_of; /* open request -> content */
    std::map<guint64, size_t> alike_of;    /* request -> index of 'alike' */
  };
  struct Alike {
    gint64 sent_at;
    bool began;
  };
  struct StoredRecord {
    QuarantineRecord record;
    gint64 revision;
  };

  void start(Instance &instance);
  void set_listed(World &world, const Engine &engine, bool gone);
  void set_listed_everywhere(const Engine &engine, bool gone);
  void request(unsigned index, guint64 content);
  std::vector<guint64> draw_parts();
  void note_crash(const Run &run);
  void handle_new_dispatches(unsigned index);
  void handle_dispatch(unsigned index, const SentDispatch &dispatch);
  void handle_check(World &world, const SentDispatch &check);
  bool refuses_check(const Engine &engine);
  void crash_engine(Engine &engine);
  void crash_due_engines();
  void send_harmless();
  void finish_due_runs();
  void restart_crashed_engines();
  void send_caller_requests();
  void exchange_crash_news();
  void exchange_loads();
  bool is_delivered(unsigned from, unsigned to);
  void save_quarantine();
  Engine &engine_of(const std::string &id);
  unsigned random_below(unsigned below);
  double random_fraction();

  FleetOptions options;
  std::mt19937 random;
  std::vector<Instance> instances;
  std::vector<Engine> engines;
  std::vector<Run> runs;
  std::vector<Alike> alike;
  std::map<size_t, gint64> due_crashes; /* index of an engine -> when */
  std::map<guint64, Work> work;
  std::map<guint64, std::vector<gint64>> crash_times; /* by content */
  std::map<guint64, std::vector<gint64>> run_times;   /* by content */
  std::map<guint64, std::vector<gint64>> part_crash_times;
  std::map<guint64, std::vector<gint64>> part_arrivals; /* at engines */
  std::map<guint64, StoredRecord> store;
  gint64 revision = 10;
  guint64 next_harmless_content = 1000;
  guint64 next_part_content = 1ULL << 40;
  gint64 next_harmless_at;
  gint64 next_engine_crash_at;
};

} // namespace crashing

#endif
