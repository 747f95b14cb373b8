/*
** rate_fleet.h
** Fleet: several instances in front of plain endpoints, in virtual time
**
** An endpoint's answers may name the rate of requests that it accepts from all
** instances together, say that it is leaving, or refuse and ask for rest (no
** requests for a time). Callers are spread unevenly over the instances;
** datagrams between instances are delayed or lost; instances are partitioned,
** frozen and killed. The decisions are those of the real Router (one World for
** each instance); the fleet carries load and rate news between instances as
** io/load_exchange.c and io/relays.c do: up to 30 instances send to each
** other; of more, each sends to those of its own data centre, and one relay
** for each data centre sends summaries to the others. Times are in us.
*/

#ifndef RATE_FLEET_H
#define RATE_FLEET_H

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "router_world.h"

namespace rates {

using routing::ms;
using routing::second;
using routing::SentDispatch;
using routing::World;

struct FleetOptions {
  unsigned seed = 1;
  unsigned instances = 8;
  unsigned zones = 3;
  unsigned endpoints = 3; /* assigned to the zones in turn */
  double demand = 60;     /* requests per second, over all instances */
  double at_first = 0.5;  /* share of it that the first instance gets */
  double loss = 0.02;     /* share of the datagrams that is lost */
  gint64 work = 60 * ms;  /* an endpoint's time for one request */
  const char *path = "/safe/x";
  double failing = 0;          /* share of the answers with status 500 */
  gint64 rate_news_delay = 0;  /* delay of rate news, as on slow machines */
  guint32 max_connections = 0; /* at one endpoint; 0: no limit */
  guint32 retry_slack = 58;
  double retry_ratio = 0.2;
};

/* A request that reached an endpoint. */
struct Arrival {
  gint64 at;
  unsigned instance;
  bool was_disturbed; /* in the last 3 s the instance was restarted or frozen,
                      ** or a partition changed, or one exists */
  gint64 asked_at;    /* when its caller sent it */
  int incarnation;    /* of the instance; grows with each restart */
};

/*
** An answer with a signal other than a rate: the endpoint is leaving, or it
** asks for rest. 'at' is when it reached the instance.
*/
struct SignalledAnswer {
  gint64 at;
  unsigned instance;
  int incarnation; /* of the instance */
  gint64 rest;     /* asked for, us; 0: the endpoint is leaving */
};

/* From 'at' on an endpoint's answers name this rate (requests per second). */
struct RateChange {
  gint64 at;
  double rate;
};

/* A plain endpoint, its behaviour, and what the fleet recorded of it. */
struct PlainEndpoint {
  PlainEndpoint(const std::string &id_, const std::string &zone_)
      : id(id_), zone(zone_) {
  }
  std::string id, zone;
  double limit = RATE_UNLIMITED; /* rate that its answers name */
  gint64 rate_named_at = 0; /* time of the first answer with a rate; 0: none */
  std::vector<Arrival> arrivals{};
  std::vector<RateChange> rate_changes{};
  /* by instance: when it got its first answer with a rate */
  std::map<unsigned, gint64> first_rate_answer_at{};
  bool is_leaving = false; /* its answers say that it is leaving */
  gint64 rest = 0;    /* it refuses requests and asks for this rest; 0: not */
  double resting = 1; /* share of the requests that it refuses then */
  gint64 rest_work = 0; /* time that a refusal takes */
  std::vector<SignalledAnswer> leaving_answers{}, rests{};
  /*
  ** Open connections from all instances, their maximum, and connections that
  ** it reset because they exceeded FleetOptions.max_connections.
  */
  unsigned connections = 0, connections_max = 0, resets = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &options);

  /* Lets this time pass, in steps of 5 ms. */
  void pass(gint64 span);
  /* From now on endpoint 'i' names this rate; RATE_UNLIMITED: none. */
  void set_rate(unsigned i, double rate);
  /* Kills each instance with this probability and restarts it at once. */
  void kill(double share);
  /* Freezes instance 'i' or lets it go on. */
  void set_frozen(unsigned i, bool frozen);
  /*
  ** From now on datagrams between the instances below 'first' and the others
  ** are lost; 0: there is no partition.
  */
  void set_partition(unsigned first);
  /*
  ** All instances hear from the store that endpoint 'i' is ready or draining.
  */
  void list(unsigned i, bool ready);
  /*
  ** Returns the number of requests that reached endpoint 'i' although their
  ** callers sent them more than 'after' later than an answer that said that it
  ** is leaving: an answer to the same incarnation of the instance, or with
  ** 'of_all' to any instance.
  */
  unsigned arrivals_after_leaving(unsigned i, gint64 after, bool of_all) const;
  /*
  ** Returns the most requests that one instance sent to endpoint 'i' during a
  ** rest that it had been asked for, later than 500 ms after the answer and up
  ** to the end of the rest.
  */
  unsigned max_arrivals_in_rest(unsigned i) const;
  /* Whether callers send requests. */
  bool has_callers = true;
  /* Whether rate news between instances arrives; if not, all of it is lost. */
  bool has_rate_news = true;
  double demand; /* requests per second, over all instances */

  /*
  ** Returns the maximum (-HUGE_VAL if there is none), over all windows of 4 s
  ** that end in [from, until) with an arrival, of the arrivals at endpoint 'i'
  ** in the window minus 'times' the number that its rates in that window
  ** allow. Counted are the arrivals of all instances ('of_all'), or only those
  ** of instances that got an answer with a rate at least 500 ms earlier and
  ** were not disturbed.
  */
  double max_rate_excess(unsigned i, gint64 from, gint64 until, double times,
                         bool of_all) const;
  /* Returns the number of arrivals at endpoint 'i' in [from, until). */
  unsigned arrived(unsigned i, gint64 from, gint64 until) const;
  std::vector<PlainEndpoint> endpoints;
  unsigned asked = 0, answered = 0, refused = 0; /* requests */
  std::vector<gint64> retry_after_ms;            /* of each refusal */
  unsigned messages = 0; /* messages with rates that instances sent */

  gint64 now = 100 * second;

private:
  struct Run {
    gint64 ends;
    unsigned instance;
    guint64 dispatch;
    unsigned endpoint;
    int incarnation; /* of the instance */
    bool is_refusal; /* the endpoint refuses and asks for rest */
    gint64 rest;
  };
  /* Rate news that is due at its receiver at 'due'. */
  struct RateNewsInFlight {
    gint64 due;
    unsigned to;
    mp_Addr from;
    mp_RateUpdate news;
  };
  struct Instance {
    std::unique_ptr<World> world;
    std::string address, zone;
    size_t handled_dispatches = 0;
    std::map<guint64, gint64> asked_at; /* by number of the request */
    /* By endpoint: open connections, and when each idle one expires. */
    std::vector<unsigned> connections;
    std::vector<std::deque<gint64>> idle_until;
    gint64 trimmed_at = 0;
    int incarnation = 0;
    guint64 load_version_sent = 0, plain_version_sent = 0;
    gint64 digest_sent_at = 0, summary_sent_at = 0;
    guint64 rates_version_sent = 0;
    gint64 rates_sent_at = 0, rate_sums_sent_at = 0;
    guint32 sequence = 0;
    bool is_frozen = false;
    /* last restart, freeze, thaw or change of a partition */
    gint64 disturbed_at = 0;
  };

  void start(unsigned i);
  void send_caller_requests();
  void handle_new_dispatches(unsigned i);
  void finish_due_runs();
  bool open_connection(unsigned i, unsigned k);
  void release_connection(unsigned i, unsigned k, bool may_stay_idle);
  void report_connections(unsigned i, unsigned k);
  void expire_connections(unsigned i);
  void finish_run(const Run &run);
  EndpointSignals signals_of(const Run &run);
  void exchange_news();
  gint64 digest_interval(unsigned i) const;
  void send_load_digest(unsigned i);
  void send_load_summary(unsigned i);
  void send_rates(unsigned i);
  void send_rate_sums(unsigned i);
  bool is_direct_peer(unsigned from, unsigned to) const;
  gint64 direct_peer_count(unsigned i) const;
  bool is_relay(unsigned i) const;
  bool is_delivered(unsigned from, unsigned to);
  bool uses_summaries() const;
  double random_fraction();

  FleetOptions options;
  std::mt19937 random;
  std::vector<Instance> instances;
  void send_news(unsigned from, unsigned to, const mp_RateUpdate &news);
  void deliver_news();
  std::deque<Run> runs;
  std::deque<RateNewsInFlight> rate_news_in_flight;
  unsigned partition_start = 0; /* as in set_partition() */
  double requests_due = 0;      /* fraction of the next request, by demand */
};

} // namespace rates

#endif
