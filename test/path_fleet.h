/*
** path_fleet.h
** Fleet: several instances, of which some lose their paths to endpoints, in
** virtual time
**
** Three data centres, each with its instances and endpoints: plain endpoints,
** prefill engines and decode engines. A cut takes the network paths between
** chosen instances and endpoints away, while callers and the other instances
** still reach these instances. The decisions are those of the real Router (one
** World for each instance); the fleet keeps connections between dispatches as
** io/endpoint_links.c does, carries bytes for other instances as
** io/carry_server.c does, and exchanges digests and crash news as
** io/load_exchange.c does. Times are in us.
*/

#ifndef PATH_FLEET_H
#define PATH_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "router_world.h"

namespace paths {

using routing::ms;
using routing::second;
using routing::SentDispatch;
using routing::World;

/* What a cut does to the connections between an instance and an endpoint. */
enum class Cut {
  NONE,
  HANG,      /* nothing arrives any more, in either direction */
  RESET,     /* open connections are reset, new ones are refused */
  REFUSE_NEW /* open connections live on, new ones are refused */
};

struct FleetOptions {
  unsigned seed = 1;
  unsigned instances = 8; /* assigned to the three data centres in turn */
  unsigned plain = 3;
  unsigned prefill = 3;
  unsigned decode = 9;
  double plain_per_s = 20; /* requests to each instance */
  double streams_per_s = 2;
};

/* First attempts of callers, by what became of them. */
struct Count {
  unsigned sent = 0;
  unsigned served = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &options);

  /* Lets this time pass; callers' requests arrive meanwhile. */
  void advance(gint64 span);
  /* Sets the cut of these instances from all endpoints for which 'affects'
  ** returns TRUE. */
  void cut(const std::set<unsigned> &instances, Cut how,
           const std::function<bool(unsigned)> &affects = nullptr);
  void heal();
  /* This endpoint ends: it refuses connections, or with 'silent' does not
  ** answer them, and stays listed. */
  void end_endpoint(unsigned endpoint, bool silent = false);
  /* This endpoint answers nothing for so long, and then goes on. */
  void freeze_endpoint(unsigned endpoint, gint64 span);
  /* Every instance of this data centre (0 to 2). */
  std::set<unsigned> instances_of(unsigned zone) const;

  /* Returns the first attempts that were sent within this time to instances
  ** for which 'which' returns TRUE, and how many were served. */
  Count count(gint64 from, gint64 until,
              const std::function<bool(unsigned)> &which) const;
  /* Returns TRUE if first attempts that came from 'from' to 'until' to the cut
  ** instances were served less than two thirds as often as the others, and
  ** more than 10 + 1 in 50 of all failed there. */
  bool cut_callers_are_worse_served(gint64 from, gint64 until,
                                    const std::set<unsigned> &cut) const;
  /* Returns the longest time from a request that was sent after 'from' to its
  ** refusal. */
  gint64 longest_refusal(gint64 from) const;
  /* Returns the most runs of one request that must not be repeated. */
  unsigned most_runs() const;
  /* Returns how many requests were told that they had not run, and had. */
  unsigned false_not_run() const;
  /* Returns how many log lines with this event number the instance wrote. */
  unsigned logged(unsigned instance, mp_EventNo number) const;
  World &world(unsigned instance) {
    return *instances[instance].world;
  }

  gint64 now = 100 * second;
  unsigned connects = 0;        /* connections begun to endpoints */
  unsigned failed_connects = 0; /* of these, those that were not made */
  unsigned checks = 0;          /* DISPATCH_CHECK */
  unsigned carried = 0;         /* dispatches on connections of carriers */
  std::map<unsigned, unsigned> carried_by; /* the same, by carrier */

private:
  struct Endpoint {
    std::string id;
    EndpointStage stage = STAGE_NONE;
    unsigned zone = 0;
    bool has_ended = false;
    bool is_silent = false;
    gint64 frozen_until = 0;
  };
  struct Kept {
    unsigned endpoint;
    unsigned hop; /* the instance that connects to it: this one or a carrier */
    gint64 until;
  };
  struct Instance {
    std::unique_ptr<World> world;
    size_t handled = 0; /* of World.dispatches */
    std::vector<Kept> kept;
    guint32 sequence = 0;
  };
  struct Attempt {
    unsigned instance;
    guint64 request;
    gint64 sent_at;
    bool must_not_repeat;
    unsigned runs = 0;
  };
  struct Open { /* a dispatch on a connection */
    unsigned instance;
    guint64 dispatch;
    unsigned endpoint;
    unsigned hop; /* as in Kept */
    bool is_kept; /* the connection was open before the dispatch */
  };

  void start(unsigned index);
  unsigned endpoint_of(const std::string &id) const;
  Cut cut_between(unsigned instance, unsigned endpoint) const;
  void at(gint64 time, std::function<void()> what);
  void run_due();
  void handle_new_dispatches(unsigned index);
  void handle(unsigned index, const SentDispatch &dispatch);
  bool take_kept(unsigned index, unsigned endpoint, bool carried,
                 unsigned *hop);
  void connect(unsigned index, const SentDispatch &dispatch, unsigned hop);
  bool may_carry(unsigned index, const SentDispatch &dispatch, unsigned hop);
  void run(unsigned index, const SentDispatch &dispatch);
  void finish(unsigned index, const SentDispatch &dispatch, unsigned endpoint,
              OutcomeKind kind);
  void report(unsigned index, guint64 dispatch, OutcomeKind kind);
  bool is_open(unsigned index, guint64 dispatch) const;
  void reset_open(unsigned hop, unsigned endpoint);
  void send_requests();
  void exchange();
  unsigned instance_at(mp_Addr address) const;
  void note_run(unsigned index, guint64 request);

  FleetOptions options;
  std::mt19937 random;
  std::vector<Instance> instances;
  std::vector<Endpoint> endpoints;
  std::map<std::pair<unsigned, unsigned>, Cut> cuts;
  std::multimap<gint64, std::function<void()>> events;
  std::map<std::pair<unsigned, guint64>, Open> open;
  std::map<std::pair<unsigned, guint64>, Attempt> attempts;
  gint64 next_plain_at;
  gint64 next_stream_at;
  gint64 next_exchange_at;
};

} // namespace paths

#endif
