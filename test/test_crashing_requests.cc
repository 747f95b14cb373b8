/*
** test_crashing_requests.cc
** Requests that end every endpoint that runs them
**
** What users saw, the order of events, the cause and the evidence are told in
** test/scenario/crashing_request.lua, where the same is played with processes.
*/

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "router_world.h"

using namespace routing;

namespace {

/* bounds of the platform: news of the third crash, and runs after that */
constexpr gint64 contact = 3 * second;
constexpr unsigned most_retries = 3;
/* it ends who runs it after this */
constexpr gint64 fuse = 70 * ms;
/* the list names one that ended for so long; it is back after that */
constexpr gint64 lapse = 3500 * ms;
constexpr gint64 comeback = 4 * second;

/* endpoints that end under some requests, and one instance before them */
struct Endpoints {
  World world;
  std::set<guint64> deadly;            /* requests that end who runs them */
  std::map<std::string, gint64> ended; /* endpoint -> when */
  std::set<guint64> done;              /* dispatches that were answered */
  std::vector<gint64> crashes;
  std::vector<gint64> deadly_runs;
  unsigned others_broken = 0;

  Endpoints() {
    world.add_default_endpoints();
    world.endpoint({"dec-3", "llm", "a", STAGE_DECODE});
    world.endpoint({"dec-4", "llm", "a", STAGE_DECODE});
  }

  bool is_up(const std::string &endpoint) const {
    return ended.count(endpoint) == 0;
  }

  /* all that runs there breaks off */
  void crash(const std::string &endpoint) {
    std::vector<SentDispatch> open;
    crashes.push_back(world.now);
    ended[endpoint] = world.now;
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.endpoint == endpoint && sent.kind == DISPATCH_RUN &&
          !sent.cancelled && done.insert(sent.number).second)
        open.push_back(sent);
    }
    for (const SentDispatch &sent : open) {
      others_broken += deadly.count(sent.request) == 0;
      world.outcome(sent.number, OUTCOME_BROKEN);
    }
  }

  void meet(const SentDispatch &sent) {
    if (!is_up(sent.endpoint)) {
      done.insert(sent.number);
      world.outcome(sent.number, OUTCOME_UNREACHABLE);
    } else if (sent.kind == DISPATCH_PREFILL) {
      done.insert(sent.number);
      world.prefilled(sent.number);
    } else if (sent.kind == DISPATCH_RUN && deadly.count(sent.request) != 0) {
      deadly_runs.push_back(world.now);
    }
  }

  void meet_checks() {
    std::vector<SentDispatch> checks;
    checks.swap(world.checks);
    for (const SentDispatch &sent : checks)
      world.outcome(sent.number, is_up(sent.endpoint) ? OUTCOME_ANSWER
                                                      : OUTCOME_UNREACHABLE);
  }

  void crash_due() {
    std::set<std::string> due;
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind == DISPATCH_RUN && deadly.count(sent.request) != 0 &&
          done.count(sent.number) == 0 &&
          started[sent.number] + fuse <= world.now)
        due.insert(sent.endpoint);
    }
    for (const std::string &endpoint : due)
      crash(endpoint);
  }

  void come_back() {
    for (auto it = ended.begin(); it != ended.end();) {
      Place place = {it->first.c_str(), it->first[0] == 'a' ? "app" : "llm",
                     "a", it->first[0] == 'a' ? STAGE_NONE : STAGE_DECODE};
      if (world.now >= it->second + lapse && world.now < it->second + comeback)
        world.endpoint(place, true, true);
      if (world.now < it->second + comeback) {
        ++it;
        continue;
      }
      world.started_unix_ms = world.now / ms;
      world.endpoint(place);
      it = ended.erase(it);
    }
  }

  void pass(gint64 span) {
    for (gint64 until = world.now + span; world.now < until;) {
      world.advance(10 * ms);
      for (; seen < world.dispatches.size(); seen++) {
        SentDispatch sent = world.dispatches[seen];
        started[sent.number] = world.now;
        meet(sent);
      }
      crash_due();
      meet_checks();
      come_back();
    }
  }

  std::map<guint64, gint64> started;
  size_t seen = 0;
};

unsigned late_runs(const Endpoints &endpoints) {
  unsigned late = 0;
  if (endpoints.crashes.size() < 3)
    return 0;
  for (gint64 at : endpoints.deadly_runs)
    late += at > endpoints.crashes[2] + contact;
  return late;
}

void expect_bound(const char *path) {
  Endpoints endpoints;
  endpoints.world.content = 77;
  for (int i = 0; i < 60; i++) {
    endpoints.deadly.insert(endpoints.world.request(path));
    endpoints.pass(700 * ms);
  }
  EXPECT_GE(endpoints.crashes.size(), 3u) << path;
  EXPECT_LE(late_runs(endpoints), most_retries) << path;
}

TEST(CrashingRequests, AreSentToFewAfterTheThirdCrash) {
  expect_bound("/stream/x");
  expect_bound("/resume/x");
  expect_bound("/unsafe/x");
  expect_bound("/safe/x");
}

} // namespace
