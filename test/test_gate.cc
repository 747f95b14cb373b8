/*
** test_gate.cc
** Random test that no dispatch goes to an endpoint that has forbidden it, by
** announcing that it leaves or by asking for rest
**
** Each scenario is a random sequence of what an instance receives: answers and
** their signals, lists, digests of peers, time with and without ticks, hangups
** of callers. Every dispatch is compared with a model of the announcements
** alone: which incarnations of an endpoint leave, and until when each rests. A
** scenario that fails is reduced to the steps that it needs. In the
** environment, GATE_HISTORIES sets the number of scenarios, and GATE_SEED the
** first seed.
*/

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "router_world.h"

extern "C" {
#include "router/gate.h"
}

using namespace routing;

namespace {

enum Action {
  ACT_REQUEST,
  ACT_END,     /* an open dispatch ends with some outcome */
  ACT_SIGNAL,  /* the answer to an open dispatch carries signals */
  ACT_PROBE,   /* an answer of any endpoint carries signals */
  ACT_LIST,    /* a record of the same incarnation, perhaps an older one */
  ACT_LAPSE,   /* an endpoint is removed from the list */
  ACT_RESTART, /* a record of a later incarnation */
  ACT_PEER,    /* a digest names endpoints that leave */
  ACT_TIME,    /* time passes with ticks of the router */
  ACT_SUSPEND, /* time passes without ticks */
  ACT_HANGUP,
  ACT_LEASE, /* the lease on sending orders is granted */
  ACT_COUNT
};

struct Step {
  Action action;
  unsigned which; /* selects an endpoint, dispatch or request */
  unsigned how;   /* selects a variant of the action */
};

std::string steps_to_text(const std::vector<Step> &steps) {
  static const char *const names[] = {
      "request", "end",  "signal", "probe",   "list",   "lapse",
      "restart", "peer", "time",   "suspend", "hangup", "lease"};
  std::ostringstream text;
  for (const Step &one : steps)
    text << names[one.action] << "(" << one.which << "," << one.how << ") ";
  return text.str();
}

/* What one endpoint has announced, and so what it forbids. */
struct EndpointModel {
  gint64 started_unix_ms = 1000;
  bool is_listed = true, is_ready = true;
  std::set<gint64> leaving_incarnations; /* by their starts */
  gint64 rest_until = 0;                 /* of the present incarnation */
  bool has_released = false;             /* in the present rest */
  bool is_leaving() const {
    return !is_ready || leaving_incarnations.count(started_unix_ms) > 0;
  }
};

constexpr unsigned endpoint_count = 5;
const Place endpoint_places[endpoint_count] = {
    {"app-1", "app", "a", STAGE_NONE},
    {"app-2", "app", "b", STAGE_NONE},
    {"pre-1", "llm", "a", STAGE_PREFILL},
    {"dec-1", "llm", "a", STAGE_DECODE},
    {"dec-2", "llm", "a", STAGE_DECODE}};

class Scenario {
public:
  Scenario() : world(100, 10.0, 3 * second) {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* Applies the steps up to the first forbidden dispatch. Returns what is
  ** wrong with that dispatch; empty: there was none. */
  std::string run(const std::vector<Step> &steps) {
    for (const Step &one : steps) {
      apply(one);
      check_new_dispatches();
      if (!violation.empty())
        break;
    }
    return violation;
  }
  unsigned dispatch_count = 0;

private:
  guint32 incarnation_hash_of(unsigned i, gint64 started_unix_ms) const {
    EndpointRecord record = {};
    record.id = const_cast<char *>(endpoint_places[i].id);
    record.started_unix_ms = started_unix_ms;
    return endpoint_incarnation_hash(&record);
  }
  void send_record(unsigned i, gint64 revision) {
    world.started_unix_ms = models[i].started_unix_ms;
    world.revision = revision;
    world.endpoint(endpoint_places[i], models[i].is_ready);
  }
  /* Gives the signals of an answer to the router and to the model. */
  void send_signals(unsigned i, guint32 life, unsigned how) {
    static const gint64 rests[] = {
        0, 200 * ms, second, 3 * second, 20 * second, REST_DURATION_MAX * 2};
    EndpointSignals signals = how % 7 == 0   ? signals_leaving()
                              : how % 2 == 0 ? signals_served()
                                             : signals_rest(rests[how % 6]);
    bool is_present =
        models[i].is_listed &&
        life == incarnation_hash_of(i, models[i].started_unix_ms);
    router_endpoint_signals(world.router, endpoint_places[i].id, life,
                            &signals, world.now);
    if (!is_present)
      return;
    if (signals.leaving == SIGNAL_GIVEN)
      models[i].leaving_incarnations.insert(models[i].started_unix_ms);
    if (signals.rest == SIGNAL_GIVEN && signals.rest_time > 0) {
      if (models[i].rest_until <= world.now)
        models[i].has_released = false;
      models[i].rest_until = std::max(
          models[i].rest_until,
          world.now + std::min<gint64>(signals.rest_time, REST_DURATION_MAX));
    }
  }
  unsigned index_of_endpoint(const std::string &id) const {
    for (unsigned i = 0; i < endpoint_count; i++) {
      if (id == endpoint_places[i].id)
        return i;
    }
    return endpoint_count;
  }
  SentDispatch *open_dispatch(unsigned which) {
    std::vector<SentDispatch *> open;
    for (SentDispatch &one : world.dispatches) {
      if (!one.ended && !one.cancelled)
        open.push_back(&one);
    }
    return open.empty() ? nullptr : open[which % open.size()];
  }
  void end_dispatch(unsigned which, unsigned how) {
    SentDispatch *one = open_dispatch(which);
    if (one == nullptr)
      return;
    guint64 number = one->number;
    DispatchKind kind = one->kind;
    bool stream = one->stream;
    one->ended = true; /* 'one' may be moved by the calls below */
    if (kind == DISPATCH_REPORT)
      world.reported(number, STAGE_DECODE, 1);
    else if (kind == DISPATCH_PREFILL && how % 2 == 0)
      world.prefilled(number);
    else if (how % 5 == 0)
      world.outcome(number, OUTCOME_UNREACHABLE);
    else if (how % 5 == 1)
      world.outcome(number, OUTCOME_NOT_RUN, 503);
    else if (how % 5 == 2)
      world.outcome(number, OUTCOME_BROKEN);
    else
      world.outcome(number, stream ? OUTCOME_STREAM_END : OUTCOME_ANSWER,
                    how % 3 == 0 ? 500 : 200);
  }
  void start_request(unsigned which) {
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x"};
    world.content = 0;
    requests.push_back(world.request(paths[which % 4]));
  }
  void receive_digest(unsigned i, unsigned how) {
    mp_LoadDigest digest = {};
    /* that an earlier one leaves says nothing of the present one */
    gint64 started_unix_ms = how % 2 == 0 ? models[i].started_unix_ms
                                          : models[i].started_unix_ms - 1;
    digest.leaving_count = 1;
    digest.leaving[0] = incarnation_hash_of(i, started_unix_ms);
    router_peer_load(world.router, mp_addr_parse("10.0.0.9:1"), ++sequence,
                     &digest, world.now);
    if (how % 2 == 0 && models[i].is_listed)
      models[i].leaving_incarnations.insert(models[i].started_unix_ms);
  }
  void restart_endpoint(unsigned i) {
    models[i].started_unix_ms += 1000;
    models[i].rest_until = 0;
    models[i].is_ready = models[i].is_listed = true;
    send_record(i, ++revision);
  }
  void apply(const Step &one) {
    unsigned i = one.which % endpoint_count;
    switch (one.action) {
    case ACT_REQUEST:
      start_request(one.which);
      break;
    case ACT_END:
      end_dispatch(one.which, one.how);
      break;
    case ACT_SIGNAL:
      if (const SentDispatch *open = open_dispatch(one.which))
        send_signals(index_of_endpoint(open->endpoint), open->life, one.how);
      break;
    case ACT_PROBE:
      send_signals(i, incarnation_hash_of(i, models[i].started_unix_ms),
                   one.how);
      break;
    case ACT_LIST:
      models[i].is_ready = one.how % 5 != 0;
      models[i].is_listed = true;
      send_record(i, ++revision);
      break;
    case ACT_LAPSE:
      models[i].is_listed = false;
      world.endpoint(endpoint_places[i], true, true);
      break;
    case ACT_RESTART:
      restart_endpoint(i);
      break;
    case ACT_PEER:
      receive_digest(i, one.how);
      break;
    case ACT_TIME:
      world.advance((one.how % 40 + 1) * 50 * ms);
      break;
    case ACT_SUSPEND:
      world.now += (one.how % 40 + 1) * 100 * ms;
      break;
    case ACT_HANGUP:
      if (!requests.empty())
        world.hangup(requests[one.which % requests.size()]);
      break;
    case ACT_LEASE:
      world.lease(STORE_OK, 9, "me");
      break;
    default:
      break;
    }
  }
  /* Checks each dispatch that was made since the last call. */
  void check_new_dispatches() {
    for (; checked_dispatches < world.dispatches.size(); checked_dispatches++)
      check_dispatch(world.dispatches[checked_dispatches]);
  }
  void check_dispatch(const SentDispatch &one) {
    unsigned i = index_of_endpoint(one.endpoint);
    EndpointModel &known = models[i];
    bool rests = world.now < known.rest_until;
    dispatch_count++;
    if (one.kind == DISPATCH_RELEASE) {
      if (rests && known.has_released)
        violation = "second release during the rest of " + one.endpoint;
      known.has_released = known.has_released || rests;
      return;
    }
    if (!known.is_listed)
      violation = "sent to an endpoint that is not listed: " + one.endpoint;
    if (known.is_leaving())
      violation = "sent to an endpoint that leaves: " + one.endpoint;
    if (rests)
      violation = "sent to an endpoint that rests: " + one.endpoint;
  }

  World world;
  EndpointModel models[endpoint_count];
  std::vector<guint64> requests;
  size_t checked_dispatches = 0;
  gint64 revision = 10;
  guint32 sequence = 0;
  std::string violation;
};

std::vector<Step> random_steps(unsigned seed) {
  std::mt19937 random(seed);
  std::vector<Step> steps;
  for (int i = 0; i < 120; i++) {
    /* half of the steps are requests, their ends and time */
    static const Action frequent[] = {ACT_REQUEST, ACT_REQUEST, ACT_END,
                                      ACT_END, ACT_TIME};
    Action action = random() % 2 == 0
                        ? frequent[random() % 5]
                        : static_cast<Action>(random() % ACT_COUNT);
    steps.push_back({action, static_cast<unsigned>(random() % 1000),
                     static_cast<unsigned>(random() % 1000)});
  }
  return steps;
}

bool has_violation(const std::vector<Step> &steps) {
  Scenario scenario;
  return !scenario.run(steps).empty();
}

/* Returns the steps without those that the failure does not need; removes the
** largest parts first. */
std::vector<Step> shrink(std::vector<Step> steps) {
  for (size_t part = steps.size() / 2; part > 0; part /= 2) {
    for (size_t at = 0; at + part <= steps.size();) {
      std::vector<Step> less = steps;
      auto from = less.begin() + static_cast<std::ptrdiff_t>(at);
      less.erase(from, from + static_cast<std::ptrdiff_t>(part));
      if (has_violation(less))
        steps = less;
      else
        at += part;
    }
  }
  return steps;
}

unsigned environment_number(const char *name, unsigned default_value) {
  const char *text = std::getenv(name);
  return text != nullptr
             ? static_cast<unsigned>(std::strtoul(text, nullptr, 10))
             : default_value;
}

TEST(Gate, NoDispatchGoesToAForbiddenEndpoint) {
  unsigned runs = environment_number("GATE_HISTORIES", 400);
  unsigned first = environment_number("GATE_SEED", 1);
  unsigned dispatch_count = 0;
  for (unsigned seed = first; seed < first + runs; seed++) {
    std::vector<Step> steps = random_steps(seed);
    Scenario scenario;
    std::string violation = scenario.run(steps);
    dispatch_count += scenario.dispatch_count;
    if (violation.empty())
      continue;
    steps = shrink(steps);
    FAIL() << "seed " << seed << ": " << violation << "\n"
           << steps_to_text(steps);
  }
  EXPECT_GT(dispatch_count, 10 * runs) << "the scenarios must make dispatches";
}

} // namespace
