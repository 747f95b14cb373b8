/*
** rate_fleet.h
** Instances before endpoints that name the rate they take, say that they leave
** or ask for rest, in virtual time: callers who come unevenly, datagrams that
** are late or lost, cuts and kills
**
** The decisions are the product's (Router); the fleet carries what instances
** tell each other as io/load_exchange.c and io/relays.c do: many instances
** hear those of their data centre, and the others' sums from relays.
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
  unsigned endpoints = 3; /* of the plain service, one zone after the other */
  double demand = 60;     /* requests a second, over all instances */
  double at_first = 0.5;  /* share of it that comes to the first instance */
  double loss = 0.02;     /* of datagrams */
  gint64 work = 60 * ms;  /* that an endpoint takes for a request */
  const char *path = "/safe/x";
  double failing = 0; /* share of the answers that are the endpoint's 500 */
  gint64 rate_news_delay = 0;  /* of news of rates: machines that are slow */
  guint32 max_connections = 0; /* at an endpoint, of all callers; 0: any */
  guint32 retry_slack = 58;
  double retry_ratio = 0.2;
};

/* a request that reached an endpoint */
struct Arrival {
  gint64 at;
  unsigned instance;
  bool in_trouble; /* the instance was restarted, frozen or cut lately */
  gint64 asked;    /* when its caller sent it */
  int life;        /* of the instance */
};

/* an answer that says that its endpoint leaves was passed on, or one that asks
** for rest came */
struct Told {
  gint64 at;
  unsigned instance;
  int life; /* of the instance */
  gint64 rest;
};

/* an endpoint's answers name this rate from then on */
struct Naming {
  gint64 at;
  double rate;
};

struct PlainEndpoint {
  PlainEndpoint(const std::string &id_, const std::string &zone_)
      : id(id_), zone(zone_) {
  }
  std::string id, zone;
  double limit = RATE_UNLIMITED; /* that its answers name */
  gint64 rate_named_at = 0; /* when its first answer named one; 0: none did */
  std::vector<Arrival> arrivals{};
  std::vector<Naming> namings{};
  /* instance -> when it first passed on an answer that named a limit */
  std::map<unsigned, gint64> told{};
  bool is_leaving = false; /* its answers say so */
  gint64 rest = 0;      /* it turns all away, and asks for so long; 0: not */
  double resting = 1;   /* share that it turns away then */
  gint64 rest_work = 0; /* time that it takes to turn one away */
  std::vector<Told> leaving_answers{}, rests{};
  /* of all instances; the most at once, and those that it reset */
  unsigned connections = 0, connections_max = 0, resets = 0;
};

class Fleet {
public:
  explicit Fleet(const FleetOptions &options);

  void pass(gint64 span);
  /* endpoint 'i' names this rate from now on; RATE_UNLIMITED: none */
  void name(unsigned i, double rate);
  /* a share of the instances is killed, and starts again at once */
  void kill(double share);
  /* instance 'i' is frozen or goes on */
  void freeze(unsigned i, bool frozen);
  /* datagrams between the two parts of the instances are lost: those below
  ** 'at' and the others; 0: no cut */
  void cut(unsigned at);
  /* all instances hear from the store that endpoint 'i' is ready or drains */
  void list(unsigned i, bool ready);
  /* arrivals of requests that were sent later than 'after' behind an answer
  ** that this instance passed on, or else that any had */
  unsigned arrivals_after_leaving(unsigned i, gint64 after, bool of_all) const;
  /* the most arrivals from one instance in a rest that it was asked for, from
  ** half a second on */
  unsigned max_arrivals_in_rest(unsigned i) const;
  /* callers come at all */
  bool has_callers = true;
  /* what instances tell each other of rates arrives at all */
  bool has_rate_news = true;
  double demand;

  /* the most requests in any four seconds that end between these moments, less
  ** 'times' of what the rates named meanwhile allow; of all instances, or of
  ** those alone that it had told half a second before and that were in no
  ** trouble */
  double max_rate_excess(unsigned i, gint64 from, gint64 until, double times,
                         bool of_all) const;
  unsigned arrived(unsigned i, gint64 from, gint64 until) const;
  std::vector<PlainEndpoint> endpoints;
  unsigned asked = 0, answered = 0, refused = 0;
  std::vector<gint64> retry_after_ms; /* of the refusals */
  unsigned messages = 0;              /* that instances sent for limits */

  gint64 now = 100 * second;

private:
  struct Run {
    gint64 ends;
    unsigned instance;
    guint64 dispatch;
    unsigned endpoint;
    int life;        /* of the instance */
    bool turns_away; /* and asks for rest */
    gint64 rest;
  };
  /* news of rates on their way */
  struct Letter {
    gint64 due;
    unsigned to;
    mp_Addr from;
    mp_RateUpdate news;
  };
  struct Instance {
    std::unique_ptr<World> world;
    std::string address, zone;
    size_t seen = 0;
    std::map<guint64, gint64> asked; /* request -> when */
    /* by endpoint: connections, and until when the resting ones are kept */
    std::vector<unsigned> connections;
    std::vector<std::deque<gint64>> resting;
    gint64 trimmed_at = 0;
    int life = 0;
    guint64 told = 0, plain_told = 0;
    gint64 told_at = 0, summed_at = 0;
    guint64 rates_told = 0;
    gint64 rates_at = 0, rate_sums_at = 0;
    guint32 sequence = 0;
    bool is_frozen = false;
    gint64 trouble_at = 0; /* it was killed, frozen or cut off then */
  };

  void start(unsigned i);
  void callers();
  void meet(unsigned i);
  void end_due_runs();
  bool connect(unsigned i, unsigned k);
  void free_connection(unsigned i, unsigned k, bool rests);
  void count_connections(unsigned i, unsigned k);
  void expire_connections(unsigned i);
  void end_run(const Run &run);
  EndpointSignals signals_of(const Run &run);
  void exchange();
  gint64 due_after(unsigned i) const;
  void tell_near(unsigned i);
  void tell_far(unsigned i);
  void tell_rates(unsigned i);
  void tell_rate_sums(unsigned i);
  bool is_near(unsigned from, unsigned to) const;
  gint64 peers_of(unsigned i) const;
  bool is_relay(unsigned i) const;
  bool hears(unsigned from, unsigned to);
  bool is_summing() const;
  double chance();

  FleetOptions options;
  std::mt19937 random;
  std::vector<Instance> all;
  void send_news(unsigned from, unsigned to, const mp_RateUpdate &news);
  void deliver_news();
  std::deque<Run> runs;
  std::deque<Letter> letters;
  unsigned cut_at = 0;
  double owed = 0;
};

} // namespace rates

#endif
