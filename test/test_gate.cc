/*
** test_gate.cc
** No dispatch goes where an endpoint's word forbids it, whatever came before
**
** Random histories of what an instance hears (answers and their signals,
** lists, peers, time with and without its own turns, callers who leave), held
** against a model of the words alone: which lives have said that they leave,
** and until when each wants rest. A history that fails is shrunk.
** GATE_HISTORIES in the environment plays more of them, GATE_SEED others.
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

enum Act {
  ACT_REQUEST,
  ACT_END,     /* an open dispatch ends somehow */
  ACT_SIGNAL,  /* an open dispatch's answer tells something */
  ACT_PROBE,   /* any endpoint tells something with an answer */
  ACT_LIST,    /* a record of the same life, perhaps an older one */
  ACT_LAPSE,   /* the list loses an endpoint */
  ACT_RESTART, /* a record of a later life */
  ACT_PEER,    /* a digest names endpoints that leave */
  ACT_TIME,    /* time with the instance's turns */
  ACT_SUSPEND, /* time without them */
  ACT_HANGUP,
  ACT_LEASE, /* orders may be given */
  ACT_COUNT
};

struct Event {
  Act act;
  unsigned which; /* of the endpoints, dispatches, requests */
  unsigned how;
};

std::string text_of(const std::vector<Event> &events) {
  static const char *const names[] = {
      "request", "end",  "signal", "probe",   "list",   "lapse",
      "restart", "peer", "time",   "suspend", "hangup", "lease"};
  std::ostringstream text;
  for (const Event &one : events)
    text << names[one.act] << "(" << one.which << "," << one.how << ") ";
  return text.str();
}

/* what the words of one endpoint's present life forbid */
struct Words {
  gint64 born = 1000;
  bool listed = true, ready = true;
  std::set<gint64> left; /* starts of lives that said that they leave */
  gint64 rest_until = 0; /* of the present life */
  bool released = false; /* in the present rest */
  bool leaves() const {
    return !ready || left.count(born) > 0;
  }
};

constexpr unsigned places = 5;
const Place place[places] = {{"app-1", "app", "a", STAGE_NONE},
                             {"app-2", "app", "b", STAGE_NONE},
                             {"pre-1", "llm", "a", STAGE_PREFILL},
                             {"dec-1", "llm", "a", STAGE_DECODE},
                             {"dec-2", "llm", "a", STAGE_DECODE}};

class History {
public:
  History() : world(100, 10.0, 3 * second) {
    world.started_unix_ms = 1000;
    world.add_default_endpoints();
  }
  /* what was sent though it was forbidden; empty: nothing */
  std::string play(const std::vector<Event> &events) {
    for (const Event &one : events) {
      apply(one);
      look();
      if (!wrong.empty())
        break;
    }
    return wrong;
  }
  unsigned sent = 0;

private:
  guint32 incarnation_hash_of(unsigned i, gint64 born) const {
    EndpointRecord record = {};
    record.id = const_cast<char *>(place[i].id);
    record.started_unix_ms = born;
    return endpoint_incarnation_hash(&record);
  }
  void record(unsigned i, gint64 revision) {
    world.started_unix_ms = words[i].born;
    world.revision = revision;
    world.endpoint(place[i], words[i].ready);
  }
  /* the words of an answer, told to the router and to the model */
  void tell(unsigned i, guint32 life, unsigned how) {
    static const gint64 rests[] = {
        0, 200 * ms, second, 3 * second, 20 * second, REST_DURATION_MAX * 2};
    EndpointSignals signals = how % 7 == 0   ? signals_leaving()
                              : how % 2 == 0 ? signals_served()
                                             : signals_rest(rests[how % 6]);
    bool is_present =
        words[i].listed && life == incarnation_hash_of(i, words[i].born);
    router_endpoint_signals(world.router, place[i].id, life, &signals,
                            world.now);
    if (!is_present)
      return;
    if (signals.leaving == SIGNAL_GIVEN)
      words[i].left.insert(words[i].born);
    if (signals.rest == SIGNAL_GIVEN && signals.rest_time > 0) {
      if (words[i].rest_until <= world.now)
        words[i].released = false;
      words[i].rest_until = std::max(
          words[i].rest_until,
          world.now + std::min<gint64>(signals.rest_time, REST_DURATION_MAX));
    }
  }
  unsigned place_of(const std::string &id) const {
    for (unsigned i = 0; i < places; i++) {
      if (id == place[i].id)
        return i;
    }
    return places;
  }
  SentDispatch *open_dispatch(unsigned which) {
    std::vector<SentDispatch *> open;
    for (SentDispatch &one : world.dispatches) {
      if (!one.ended && !one.cancelled)
        open.push_back(&one);
    }
    return open.empty() ? nullptr : open[which % open.size()];
  }
  void end(unsigned which, unsigned how) {
    SentDispatch *one = open_dispatch(which);
    if (one == nullptr)
      return;
    guint64 number = one->number;
    DispatchKind kind = one->kind;
    bool stream = one->stream;
    one->ended = true; /* 'one' may move from here on */
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
  void request(unsigned which) {
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x"};
    world.content = 0;
    requests.push_back(world.request(paths[which % 4]));
  }
  void peer(unsigned i, unsigned how) {
    mp_LoadDigest digest = {};
    /* an earlier life's leaving binds the present one in nothing */
    gint64 born = how % 2 == 0 ? words[i].born : words[i].born - 1;
    digest.leaving_count = 1;
    digest.leaving[0] = incarnation_hash_of(i, born);
    router_peer_load(world.router, mp_addr_parse("10.0.0.9:1"), ++sequence,
                     &digest, world.now);
    if (how % 2 == 0 && words[i].listed)
      words[i].left.insert(words[i].born);
  }
  void restart(unsigned i) {
    words[i].born += 1000;
    words[i].rest_until = 0;
    words[i].ready = words[i].listed = true;
    record(i, ++revision);
  }
  void apply(const Event &one) {
    unsigned i = one.which % places;
    switch (one.act) {
    case ACT_REQUEST:
      request(one.which);
      break;
    case ACT_END:
      end(one.which, one.how);
      break;
    case ACT_SIGNAL:
      if (const SentDispatch *open = open_dispatch(one.which))
        tell(place_of(open->endpoint), open->life, one.how);
      break;
    case ACT_PROBE:
      tell(i, incarnation_hash_of(i, words[i].born), one.how);
      break;
    case ACT_LIST:
      words[i].ready = one.how % 5 != 0;
      words[i].listed = true;
      record(i, ++revision);
      break;
    case ACT_LAPSE:
      words[i].listed = false;
      world.endpoint(place[i], true, true);
      break;
    case ACT_RESTART:
      restart(i);
      break;
    case ACT_PEER:
      peer(i, one.how);
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
  /* dispatches that are new: did the words forbid them? */
  void look() {
    for (; seen < world.dispatches.size(); seen++)
      judge(world.dispatches[seen]);
  }
  void judge(const SentDispatch &one) {
    unsigned i = place_of(one.endpoint);
    Words &known = words[i];
    bool rests = world.now < known.rest_until;
    sent++;
    if (one.kind == DISPATCH_RELEASE) {
      if (rests && known.released)
        wrong = "a second release in a rest of " + one.endpoint;
      known.released = known.released || rests;
      return;
    }
    if (!known.listed)
      wrong = "sent to one that is not listed: " + one.endpoint;
    if (known.leaves())
      wrong = "sent to one that leaves: " + one.endpoint;
    if (rests)
      wrong = "sent to one that rests: " + one.endpoint;
  }

  World world;
  Words words[places];
  std::vector<guint64> requests;
  size_t seen = 0;
  gint64 revision = 10;
  guint32 sequence = 0;
  std::string wrong;
};

std::vector<Event> history_of(unsigned seed) {
  std::mt19937 random(seed);
  std::vector<Event> events;
  for (int i = 0; i < 120; i++) {
    /* requests, their ends and time are half of it */
    static const Act often[] = {ACT_REQUEST, ACT_REQUEST, ACT_END, ACT_END,
                                ACT_TIME};
    Act act = random() % 2 == 0 ? often[random() % 5]
                                : static_cast<Act>(random() % ACT_COUNT);
    events.push_back({act, static_cast<unsigned>(random() % 1000),
                      static_cast<unsigned>(random() % 1000)});
  }
  return events;
}

bool fails(const std::vector<Event> &events) {
  History history;
  return !history.play(events).empty();
}

/* leave out what the failure does not need, the largest parts first */
std::vector<Event> shrunk(std::vector<Event> events) {
  for (size_t part = events.size() / 2; part > 0; part /= 2) {
    for (size_t at = 0; at + part <= events.size();) {
      std::vector<Event> less = events;
      auto from = less.begin() + static_cast<std::ptrdiff_t>(at);
      less.erase(from, from + static_cast<std::ptrdiff_t>(part));
      if (fails(less))
        events = less;
      else
        at += part;
    }
  }
  return events;
}

unsigned setting(const char *name, unsigned usual) {
  const char *text = std::getenv(name);
  return text != nullptr
             ? static_cast<unsigned>(std::strtoul(text, nullptr, 10))
             : usual;
}

TEST(Gate, NoHistoryLeadsToADispatchThatAWordForbids) {
  unsigned histories = setting("GATE_HISTORIES", 400);
  unsigned first = setting("GATE_SEED", 1);
  unsigned sent = 0;
  for (unsigned seed = first; seed < first + histories; seed++) {
    std::vector<Event> events = history_of(seed);
    History history;
    std::string wrong = history.play(events);
    sent += history.sent;
    if (wrong.empty())
      continue;
    events = shrunk(events);
    FAIL() << "seed " << seed << ": " << wrong << "\n" << text_of(events);
  }
  EXPECT_GT(sent, 10 * histories) << "the histories send something at all";
}

} // namespace
