/*
** test_random.cc
** Random faults at random moments against one Router, in virtual time
**
** Guards against a request that ends twice or never, that runs more often than
** its route allows, or that is refused as "not run" although it may have run,
** and against streams with lost or repeated events. Model endpoints answer a
** dispatch completely, with status 500, not at all or only in part, refuse to
** run it, or are unreachable; callers hang up; endpoints are added, drained
** and removed; the configuration changes; peers report loads. The checks use
** only what the callers and the endpoints saw.
*/

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "router_world.h"

using namespace routing;

namespace {

enum class RouteClass { safe, unsafe, stream, resumable };

/* A request as its caller sees it. */
struct CallerRequestState {
  RouteClass route_class;
  bool is_gone = false; /* the caller hung up */
};

/* The state of a dispatch at its endpoint. */
struct DispatchState {
  int next_event = 1;
  bool may_have_run = false; /* the endpoint may have started it */
  bool is_over = false;      /* the router got its last outcome */
};

/* One run of random steps. */
class Trial {
public:
  explicit Trial(unsigned seed) : random(seed) {
    world.add_default_endpoints();
    world.endpoint({"dec-3", "llm", "b", STAGE_DECODE});
    world.endpoint({"pre-2", "llm", "b", STAGE_PREFILL});
    world.now += 20 * second;
  }

  /* Takes the steps, lets 20 s pass and checks the promises. */
  void run(int steps) {
    for (int i = 0; i < steps; i++)
      step();
    for (int i = 0; i < 40; i++)
      world.advance(500 * ms);
    check();
  }

private:
  World world;
  std::mt19937 random;
  std::map<guint64, CallerRequestState> requests;
  std::map<guint64, DispatchState> states;
  std::map<std::string, guint64> handle_owner;
  guint64 version = 1;

  unsigned random_below(unsigned below) {
    return static_cast<unsigned>(random() % below);
  }

  void send_request() {
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x"};
    unsigned which = random_below(4);
    guint64 request =
        world.request(paths[which], 1000 + random_below(9000),
                      500 + random_below(4000), 200 + random_below(1000));
    requests[request].route_class = static_cast<RouteClass>(which);
  }

  /* Hangs up for one open request, picked at random; maybe for none. */
  void hang_up_one() {
    for (auto &[request, caller] : requests) {
      if (caller.is_gone || world.end(request).ends() > 0 ||
          random_below(4) != 0)
        continue;
      caller.is_gone = true;
      world.hangup(request);
      return;
    }
  }

  void change_endpoints() {
    static const Place places[] = {{"app-1", "app", "a", STAGE_NONE},
                                   {"dec-1", "llm", "a", STAGE_DECODE},
                                   {"dec-3", "llm", "b", STAGE_DECODE},
                                   {"pre-1", "llm", "a", STAGE_PREFILL}};
    world.endpoint(places[random_below(4)], random_below(2) == 0,
                   random_below(5) == 0);
  }

  /* The endpoint of a dispatch takes its next step, if it is still open. */
  void act_on_dispatch(const SentDispatch &sent) {
    DispatchState &state = states[sent.number];
    if (state.is_over || sent.cancelled)
      return;
    if (sent.kind == DISPATCH_PREFILL)
      act_on_prefill(sent, state);
    else if (sent.stream)
      act_on_stream(sent, state);
    else
      act_on_plain(sent, state);
  }

  void end_dispatch(const SentDispatch &sent, DispatchState &state,
                    OutcomeKind kind, int status = 200) {
    state.is_over = true;
    if (kind != OUTCOME_UNREACHABLE && kind != OUTCOME_NOT_RUN)
      state.may_have_run = true;
    guint64 number = sent.number; /* outcome() may move 'sent' */
    world.outcome(number, kind, status);
  }

  /*
  ** Ends the dispatch with a failure that any dispatch may get, in half of the
  ** cases; returns whether it did.
  */
  bool inject_failure(const SentDispatch &sent, DispatchState &state) {
    switch (random_below(6)) {
    case 0:
      end_dispatch(sent, state, OUTCOME_UNREACHABLE);
      return true;
    case 1:
      end_dispatch(sent, state, OUTCOME_NOT_RUN, 503);
      return true;
    case 2:
      end_dispatch(sent, state, OUTCOME_BROKEN);
      return true;
    default:
      return false;
    }
  }

  void act_on_prefill(const SentDispatch &sent, DispatchState &state) {
    if (inject_failure(sent, state))
      return;
    std::string handle = "h" + std::to_string(sent.number);
    handle_owner[handle] = sent.request;
    state.is_over = true;
    world.prefilled(sent.number, handle.c_str());
  }

  void act_on_plain(const SentDispatch &sent, DispatchState &state) {
    if (!inject_failure(sent, state))
      end_dispatch(sent, state, OUTCOME_ANSWER,
                   random_below(3) == 0 ? 500 : 200);
  }

  void act_on_stream(const SentDispatch &sent, DispatchState &state) {
    if (!state.may_have_run) {
      if (random_below(3) == 0) {
        act_on_plain(sent, state);
        return;
      }
      state.may_have_run = true;
      if (!sent.last_event.empty())
        state.next_event = std::stoi(sent.last_event) + 1;
      world.outcome(sent.number, OUTCOME_STREAM_HEAD);
      return;
    }
    if (random_below(12) == 0)
      end_dispatch(sent, state, OUTCOME_BROKEN);
    else if (state.next_event > 10)
      end_dispatch(sent, state, OUTCOME_STREAM_END);
    else
      world.piece(sent.number, std::to_string(state.next_event++).c_str());
  }

  /* The endpoint of the last check accepts, refuses or does not answer. */
  void act_on_check() {
    if (world.checks.empty())
      return;
    SentDispatch sent = world.checks.back();
    world.checks.pop_back();
    if (random_below(3) != 0)
      world.outcome(sent.number, random_below(2) == 0 ? OUTCOME_UNREACHABLE
                                                      : OUTCOME_ANSWER);
  }

  void report_peer() {
    mp_LoadDigest digest = {};
    digest.n = random_below(3);
    for (unsigned i = 0; i < digest.n; i++)
      digest.row[i] = {static_cast<uint32_t>(random()), random_below(9000),
                       random_below(5), random_below(100)};
    router_peer_load(world.router, 1 + random_below(3), 1 + random_below(1000),
                     &digest, world.now);
  }

  void step() {
    switch (random_below(24)) {
    case 0:
    case 1:
    case 2:
      send_request();
      break;
    case 3:
      hang_up_one();
      break;
    case 4:
      change_endpoints();
      break;
    case 5:
      world.configure(version += random_below(2),
                      (1 + random_below(9)) * second);
      break;
    case 6:
      report_peer();
      break;
    case 7:
      world.advance(random_below(700) * ms);
      break;
    default:
      act_on_check();
      if (!world.dispatches.empty()) {
        size_t back = random_below(12);
        size_t at = world.dispatches.size();
        SentDispatch sent = world.dispatches[at - 1 - std::min(back, at - 1)];
        act_on_dispatch(sent);
      }
      world.advance(random_below(30) * ms);
    }
  }

  /* Returns how many DISPATCH_RUN of the request may have run or are open. */
  unsigned count_possible_runs(guint64 request) {
    unsigned count = 0;
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind != DISPATCH_RUN || sent.request != request)
        continue;
      const DispatchState &state = states[sent.number];
      count += state.may_have_run || !state.is_over;
    }
    return count;
  }

  void check_ends(guint64 request, const CallerRequestState &caller) {
    const CallerResult &result = world.end(request);
    EXPECT_LE(result.ends(), 1) << "ended twice: " << request;
    if (!caller.is_gone) {
      EXPECT_EQ(result.ends(), 1) << "never ended: " << request;
    }
    EXPECT_LE(result.heads, 1);
    bool promises_not_run = result.refusals > 0 &&
                            result.refusal != REFUSAL_OUTCOME_UNKNOWN &&
                            result.refusal != REFUSAL_TIMEOUT;
    if (promises_not_run) {
      EXPECT_EQ(count_possible_runs(request), 0u)
          << "promised not run: " << request;
    }
  }

  void check_runs(guint64 request, const CallerRequestState &caller) {
    bool runs_at_most_once = caller.route_class == RouteClass::unsafe ||
                             caller.route_class == RouteClass::stream;
    EXPECT_LE(count_possible_runs(request), runs_at_most_once ? 1u : 2u)
        << request;
  }

  void check_events(guint64 request) {
    int expected = 1;
    for (const std::string &event : world.end(request).events)
      EXPECT_EQ(std::stoi(event), expected++) << request;
    if (world.end(request).heads > 0 && world.end(request).answers > 0) {
      EXPECT_EQ(world.end(request).events.size(), 10u) << request;
    }
  }

  void check() {
    EXPECT_EQ(router_open_requests(world.router), 0u);
    for (const auto &[request, caller] : requests) {
      check_ends(request, caller);
      check_runs(request, caller);
      check_events(request);
    }
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind == DISPATCH_RUN && !sent.handle.empty()) {
        EXPECT_EQ(handle_owner[sent.handle], sent.request);
      }
      if (sent.kind != DISPATCH_RELEASE && !states[sent.number].is_over) {
        EXPECT_TRUE(sent.cancelled) << "left open: " << sent.number;
      }
    }
  }
};

struct RouterRandomFaults : ::testing::TestWithParam<unsigned> {};

TEST_P(RouterRandomFaults, KeepThePromisesToCallers) {
  Trial trial(GetParam());
  trial.run(3000);
}

INSTANTIATE_TEST_SUITE_P(Random, RouterRandomFaults,
                         ::testing::Range(1u, 41u));

} // namespace
