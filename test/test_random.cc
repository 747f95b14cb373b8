/*
** test_random.cc
** Random faults at random moments against one router, in virtual time
**
** A model of endpoints answers each dispatch in every way that is known:
** well, not at all, broken before or in the middle, not run, out of reach,
** with a failure; callers leave; endpoints come, leave and vanish;
** configurations change; peers report loads. Promises are checked from
** what the callers and the endpoints saw. A seed that ever failed stays in
** the list below with a line on its cause.
*/

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "router_world.h"

using namespace routing;

namespace {

enum class Class { safe, unsafe, stream, resumable };

struct Asked {
  Class what;
  bool left = false; /* the caller hung up */
};

/* a dispatch as its endpoint lives it */
struct Lived {
  int next_event = 1;
  bool may_have_run = false;
  bool over = false;
};

class Trial {
public:
  explicit Trial(unsigned seed) : random(seed) {
    world.add_default_endpoints();
    world.endpoint({"dec-3", "llm", "b", STAGE_DECODE});
    world.endpoint({"pre-2", "llm", "b", STAGE_PREFILL});
    world.now += 20 * second;
  }

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
  std::map<guint64, Asked> asked;
  std::map<guint64, Lived> lived;
  std::map<std::string, guint64> handle_owner;
  guint64 version = 1;

  unsigned draw(unsigned below) {
    return static_cast<unsigned>(random() % below);
  }

  void ask() {
    static const char *const paths[] = {"/safe/x", "/unsafe/x", "/stream/x",
                                        "/resume/x"};
    unsigned which = draw(4);
    guint64 request = world.request(paths[which], 1000 + draw(9000),
                                    500 + draw(4000), 200 + draw(1000));
    asked[request].what = static_cast<Class>(which);
  }

  void leave() {
    for (auto &[request, one] : asked) {
      if (one.left || world.end(request).ends() > 0 || draw(4) != 0)
        continue;
      one.left = true;
      world.hangup(request);
      return;
    }
  }

  void change_endpoints() {
    static const Place places[] = {{"app-1", "app", "a", STAGE_NONE},
                                   {"dec-1", "llm", "a", STAGE_DECODE},
                                   {"dec-3", "llm", "b", STAGE_DECODE},
                                   {"pre-1", "llm", "a", STAGE_PREFILL}};
    world.endpoint(places[draw(4)], draw(2) == 0, draw(5) == 0);
  }

  /* the endpoint of an open dispatch does something */
  void act(const SentDispatch &sent) {
    Lived &life = lived[sent.number];
    if (life.over || sent.cancelled)
      return;
    if (sent.kind == DISPATCH_PREFILL)
      act_prefill(sent, life);
    else if (sent.stream)
      act_stream(sent, life);
    else
      act_plain(sent, life);
  }

  void end(const SentDispatch &sent, Lived &life, OutcomeKind kind,
           int status = 200) {
    life.over = true;
    if (kind != OUTCOME_UNREACHABLE && kind != OUTCOME_NOT_RUN)
      life.may_have_run = true;
    guint64 number = sent.number; /* the row may move */
    world.outcome(number, kind, status);
  }

  /* what any dispatch may meet; FALSE: nothing of that this time */
  bool act_badly(const SentDispatch &sent, Lived &life) {
    switch (draw(6)) {
    case 0:
      end(sent, life, OUTCOME_UNREACHABLE);
      return true;
    case 1:
      end(sent, life, OUTCOME_NOT_RUN, 503);
      return true;
    case 2:
      end(sent, life, OUTCOME_BROKEN);
      return true;
    default:
      return false;
    }
  }

  void act_prefill(const SentDispatch &sent, Lived &life) {
    if (act_badly(sent, life))
      return;
    std::string handle = "h" + std::to_string(sent.number);
    handle_owner[handle] = sent.request;
    life.over = true;
    world.prefilled(sent.number, handle.c_str());
  }

  void act_plain(const SentDispatch &sent, Lived &life) {
    if (!act_badly(sent, life))
      end(sent, life, OUTCOME_ANSWER, draw(3) == 0 ? 500 : 200);
  }

  void act_stream(const SentDispatch &sent, Lived &life) {
    if (!life.may_have_run) {
      if (draw(3) == 0) {
        act_plain(sent, life);
        return;
      }
      life.may_have_run = true;
      if (!sent.last_event.empty())
        life.next_event = std::stoi(sent.last_event) + 1;
      world.outcome(sent.number, OUTCOME_STREAM_HEAD);
      return;
    }
    if (draw(12) == 0)
      end(sent, life, OUTCOME_BROKEN);
    else if (life.next_event > 10)
      end(sent, life, OUTCOME_STREAM_END);
    else
      world.piece(sent.number, std::to_string(life.next_event++).c_str());
  }

  /* the endpoint takes a connection, refuses it, or says nothing */
  void act_check() {
    if (world.checks.empty())
      return;
    SentDispatch sent = world.checks.back();
    world.checks.pop_back();
    if (draw(3) != 0)
      world.outcome(sent.number,
                    draw(2) == 0 ? OUTCOME_UNREACHABLE : OUTCOME_ANSWER);
  }

  void report_peer() {
    mp_LoadDigest digest = {};
    digest.n = draw(3);
    for (unsigned i = 0; i < digest.n; i++)
      digest.row[i] = {static_cast<uint32_t>(random()), draw(9000), draw(5),
                       draw(100)};
    router_peer_load(world.router, 1 + draw(3), 1 + draw(1000), &digest,
                     world.now);
  }

  void step() {
    switch (draw(24)) {
    case 0:
    case 1:
    case 2:
      ask();
      break;
    case 3:
      leave();
      break;
    case 4:
      change_endpoints();
      break;
    case 5:
      world.configure(version += draw(2), (1 + draw(9)) * second);
      break;
    case 6:
      report_peer();
      break;
    case 7:
      world.advance(draw(700) * ms);
      break;
    default:
      act_check();
      if (!world.dispatches.empty()) {
        size_t back = draw(12);
        size_t at = world.dispatches.size();
        SentDispatch sent = world.dispatches[at - 1 - std::min(back, at - 1)];
        act(sent);
      }
      world.advance(draw(30) * ms);
    }
  }

  /* runs of a request that may have run; those left open count too */
  unsigned may_have_run(guint64 request) {
    unsigned count = 0;
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind != DISPATCH_RUN || sent.request != request)
        continue;
      const Lived &life = lived[sent.number];
      count += life.may_have_run || !life.over;
    }
    return count;
  }

  void check_ends(guint64 request, const Asked &one) {
    const CallerResult &end = world.end(request);
    EXPECT_LE(end.ends(), 1) << "ended twice: " << request;
    if (!one.left) {
      EXPECT_EQ(end.ends(), 1) << "never ended: " << request;
    }
    EXPECT_LE(end.heads, 1);
    bool promise = end.refusals > 0 &&
                   end.refusal != REFUSAL_OUTCOME_UNKNOWN &&
                   end.refusal != REFUSAL_TIMEOUT;
    if (promise) {
      EXPECT_EQ(may_have_run(request), 0u) << "promised not run: " << request;
    }
  }

  void check_runs(guint64 request, const Asked &one) {
    bool once = one.what == Class::unsafe || one.what == Class::stream;
    EXPECT_LE(may_have_run(request), once ? 1u : 2u) << request;
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
    for (const auto &[request, one] : asked) {
      check_ends(request, one);
      check_runs(request, one);
      check_events(request);
    }
    for (const SentDispatch &sent : world.dispatches) {
      if (sent.kind == DISPATCH_RUN && !sent.handle.empty()) {
        EXPECT_EQ(handle_owner[sent.handle], sent.request);
      }
      if (sent.kind != DISPATCH_RELEASE && !lived[sent.number].over) {
        EXPECT_TRUE(sent.cancelled) << "left open: " << sent.number;
      }
    }
  }
};

struct Seeds : ::testing::TestWithParam<unsigned> {};

TEST_P(Seeds, KeepThePromises) {
  Trial trial(GetParam());
  trial.run(3000);
}

INSTANTIATE_TEST_SUITE_P(Random, Seeds, ::testing::Range(1u, 41u));

} // namespace
