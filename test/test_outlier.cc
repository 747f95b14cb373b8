/*
** test_outlier.cc
** The judgement of endpoints from own results and other instances' reports
**
** Guards against crashed engines that attract load because they look idle, and
** against endpoints that are taken away by instances that are themselves cut
** off.
*/

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "router_world.h"

extern "C" {
#include "router/outlier.h"
#include "router/state.h"
}

using namespace routing;

namespace {

/*
** {==================================================================
** The pure judgement
** ===================================================================
*/

constexpr gint64 start = 100 * second;

/* The evidence of one instance for one service. */
struct Evidence {
  std::vector<OutlierEvidence> all;

  explicit Evidence(unsigned endpoints) : all(endpoints) {
  }
  void report(unsigned endpoint, guint reports) {
    all[endpoint].reports = reports;
  }
  void judge(gint64 now) {
    std::vector<OutlierEvidence *> pointers;
    for (OutlierEvidence &one : all)
      pointers.push_back(&one);
    outlier_judge_reports(pointers.data(), guint(pointers.size()), now);
  }
  OutlierVerdict verdict(unsigned endpoint, gint64 now) const {
    return outlier_verdict(&all[endpoint], 0, 0, now);
  }
  unsigned count_not_up(gint64 now) const {
    unsigned count = 0;
    for (unsigned i = 0; i < all.size(); i++)
      count += verdict(i, now) != OUTLIER_UP;
    return count;
  }
};

TEST(Outlier, OneReportIsNotEnough) {
  Evidence evidence(10);
  evidence.report(3, 1);
  evidence.judge(start);
  EXPECT_EQ(evidence.count_not_up(start), 0u);
  evidence.report(3, 2);
  evidence.judge(start);
  EXPECT_EQ(evidence.verdict(3, start), OUTLIER_DOWN);
  EXPECT_EQ(evidence.count_not_up(start), 1u);
}

/* Instances that are cut off from all endpoints report all of them. */
TEST(Outlier, InstancesThatAreCutOffTakeNothingAway) {
  for (guint cut_off : {1u, 2u, 30u}) {
    Evidence evidence(60);
    for (unsigned i = 0; i < 60; i++)
      evidence.report(i, cut_off);
    evidence.judge(start);
    EXPECT_EQ(evidence.count_not_up(start), 0u) << cut_off;
    evidence.report(7, cut_off + 2);
    evidence.judge(start);
    EXPECT_EQ(evidence.verdict(7, start), OUTLIER_DOWN) << cut_off;
    EXPECT_EQ(evidence.count_not_up(start), 1u) << cut_off;
  }
}

TEST(Outlier, ReportsOfMoreThanHalfAreIgnored) {
  for (unsigned reported : {20u, 30u, 31u, 59u}) {
    Evidence evidence(60);
    for (unsigned i = 0; i < reported; i++)
      evidence.report(i, 5);
    evidence.judge(start);
    EXPECT_EQ(evidence.count_not_up(start), reported < 30 ? reported : 0)
        << reported;
  }
}

/* Wrong reports must not take a working endpoint from an instance that uses
** it. */
TEST(Outlier, AnAnswerSinceTheReportsOutweighsThem) {
  Evidence evidence(10);
  evidence.report(0, 9);
  evidence.all[0].heard_at = start - 1;
  evidence.judge(start);
  EXPECT_EQ(evidence.verdict(0, start), OUTLIER_DOWN) << "heard before";
  evidence.all[0].heard_at = start + 1;
  EXPECT_EQ(evidence.verdict(0, start + 2), OUTLIER_UP) << "heard since";
  EXPECT_EQ(evidence.verdict(0, start + 2 * second), OUTLIER_DOWN)
      << "heard too long ago";
}

/* A wrong judgement leaves an endpoint unused for one pause only. */
TEST(Outlier, AnEndpointIsTriedAfterThePause) {
  Evidence evidence(10);
  evidence.report(0, 9);
  for (gint64 now = start; now < start + 5 * second; now += 10 * ms) {
    evidence.judge(now);
    ASSERT_EQ(evidence.verdict(0, now), now - start < OUTLIER_REPORT_PAUSE
                                            ? OUTLIER_DOWN
                                            : OUTLIER_TRIAL);
  }
}

TEST(Outlier, AnEndpointIsUpOnceReportsStop) {
  Evidence evidence(10);
  evidence.report(0, 9);
  evidence.judge(start);
  evidence.report(0, 1);
  evidence.judge(start + second);
  EXPECT_EQ(evidence.verdict(0, start + second), OUTLIER_UP);
  evidence.report(0, 2);
  evidence.judge(start + 2 * second);
  EXPECT_EQ(evidence.verdict(0, start + 2 * second), OUTLIER_DOWN) << "flaps";
}

TEST(Outlier, OwnFailuresComeFirst) {
  OutlierEvidence evidence = {};
  gint64 until = start + 500 * ms;
  EXPECT_EQ(outlier_verdict(&evidence, 1, until, start), OUTLIER_DOWN);
  EXPECT_EQ(outlier_verdict(&evidence, 1, until, until), OUTLIER_TRIAL);
  evidence.heard_at = until + 1;
  EXPECT_EQ(outlier_verdict(&evidence, 1, until, until + 2), OUTLIER_UP);
}

/* }================================================================== */

/*
** {==================================================================
** One instance
** ===================================================================
*/

constexpr unsigned decode_engines = 6;
const char *const decode_ids[decode_engines] = {"d0", "d1", "d2",
                                                "d3", "d4", "d5"};

struct OutlierWorld : ::testing::Test {
  std::unique_ptr<World> world;
  guint32 sequence = 0;

  void create(bool overload_control) {
    world = std::make_unique<World>(0, 10.0, 0, "10.0.0.5:1", 0, "a", 7,
                                    overload_control);
    world->configure();
    for (const char *id : decode_ids)
      world->endpoint({id, "llm", "a", STAGE_DECODE});
    world->endpoint({"p0", "llm", "a", STAGE_PREFILL});
  }
  /* This many other instances report these engines as unreachable. */
  void report(unsigned instances, const std::vector<const char *> &ids) {
    sequence++;
    for (unsigned i = 0; i < instances; i++) {
      mp_LoadDigest digest = {};
      for (const char *id : ids)
        digest.row[digest.n++] = {incarnation_hash_of(id), 0, 0, 100};
      router_peer_load(world->router, 0x0a00000000010001 + i, sequence,
                       &digest, world->now);
    }
  }
  /* Returns how many requests reserved memory at one of these engines. */
  unsigned count_notes(const std::vector<const char *> &ids) const {
    unsigned count = 0;
    for (const mp_LoadNote &note : world->notes) {
      for (const char *id : ids)
        count += note.endpoint == incarnation_hash_of(id);
    }
    return count;
  }
  /* Sends more requests than there is room for; returns count_notes. */
  unsigned fill(const std::vector<const char *> &ids) {
    for (unsigned i = 0; i < 60; i++)
      world->request("/stream/x", 10000, 1500, 500);
    return count_notes(ids);
  }
};

/* Crashed engines that other instances found must not attract requests. */
TEST_F(OutlierWorld, ReportedEnginesGetNoWaitingRequest) {
  create(true);
  report(2, {"d0", "d1"});
  world->advance(20 * ms);
  EXPECT_EQ(fill({"d0", "d1"}), 0u);
  EXPECT_GT(world->notes.size(), 0u);
  EXPECT_EQ(router_down_endpoints(world->router), 2u);
}

TEST_F(OutlierWorld, WithoutOverloadControlReportsDoNotForbid) {
  create(false);
  report(2, {"d0", "d1"});
  world->advance(20 * ms);
  EXPECT_GT(fill({"d0", "d1"}), 0u);
  EXPECT_EQ(router_down_endpoints(world->router), 0u);
}

/* One instance without network paths must not stop the others. */
TEST_F(OutlierWorld, OneInstanceAloneForbidsNothing) {
  create(true);
  report(1, {"d0", "d1", "d2", "d3", "d4", "d5", "p0"});
  world->advance(20 * ms);
  EXPECT_GT(fill({"d0", "d1", "d2", "d3", "d4", "d5"}), 0u);
}

TEST_F(OutlierWorld, ReportsThatStopAreForgotten) {
  create(true);
  report(2, {"d0"});
  world->advance(20 * ms);
  EXPECT_EQ(router_down_endpoints(world->router), 1u);
  world->advance(2 * second); /* the reporting instances have ended */
  EXPECT_EQ(router_down_endpoints(world->router), 0u);
  EXPECT_GT(fill({"d0"}), 0u);
}

/* A new process under the same id and address is not the one reported. */
TEST_F(OutlierWorld, ANewIncarnationIsUp) {
  create(true);
  world->started_unix_ms = 1000;
  world->endpoint({"d0", "llm", "a", STAGE_DECODE});
  sequence++;
  for (unsigned i = 0; i < 2; i++) {
    mp_LoadDigest digest = {};
    digest.n = 1;
    digest.row[0] = {incarnation_hash_of("d0", 1000), 0, 0, 100};
    router_peer_load(world->router, 0x0a00000000010001 + i, sequence, &digest,
                     world->now);
  }
  world->advance(20 * ms);
  EXPECT_EQ(router_down_endpoints(world->router), 1u);
  world->started_unix_ms = 2000;
  world->endpoint({"d0", "llm", "a", STAGE_DECODE});
  fill({});
  EXPECT_TRUE(std::any_of(
      world->notes.begin(), world->notes.end(), [](const mp_LoadNote &note) {
        return note.endpoint == incarnation_hash_of("d0", 2000);
      }));
  world->advance(600 * ms);
  EXPECT_EQ(router_down_endpoints(world->router), 0u);
}

/* An incarnation that has ended stays ended: after 421 it must not attract
** requests again half a second later. */
TEST_F(OutlierWorld, AnEndedIncarnationGetsNoWaitingRequest) {
  for (bool overload_control : {false, true}) {
    Outcome outcome = {};
    create(overload_control);
    world->request("/resume/x");
    world->prefilled(world->last().number);
    ASSERT_EQ(world->last().kind, DISPATCH_RUN);
    std::string ended = world->last().endpoint;
    outcome.dispatch = world->last().number;
    outcome.kind = OUTCOME_NOT_RUN;
    outcome.misdirected = TRUE;
    router_outcome(world->router, &outcome, world->now);
    world->outcome(world->last().number, OUTCOME_STREAM_END);
    world->advance(4 * second);
    world->notes.clear();
    if (overload_control)
      EXPECT_EQ(fill({ended.c_str()}), 0u);
    else
      EXPECT_GT(fill({ended.c_str()}), 0u);
  }
}

/* After the pause one request tries the engine, and only its answer lets the
** others in. */
TEST_F(OutlierWorld, OneRequestAtATimeTriesAnEngine) {
  create(true);
  world->request("/stream/x");
  world->prefilled(world->last().number);
  std::string failed = world->last().endpoint;
  world->outcome(world->last().number, OUTCOME_UNREACHABLE);
  world->outcome(world->last().number, OUTCOME_STREAM_END);
  world->advance(600 * ms);
  world->notes.clear();
  fill({});
  world->advance(200 * ms); /* the turns of all waiting requests have come */
  EXPECT_EQ(count_notes({failed.c_str()}), 1u);
  endpoint_note_heard(
      endpoint_table_get(world->router->endpoints, failed.c_str()),
      world->now);
  fill({});
  world->advance(200 * ms);
  EXPECT_GT(count_notes({failed.c_str()}), 1u);
}

/* A prefill engine that rejects prompts because it is full answers; it must
** not be taken from all instances as if it had crashed. */
TEST_F(OutlierWorld, FullEnginesAreNotReportedAsUnreachable) {
  for (bool misdirected : {false, true}) {
    mp_LoadDigest digest = {};
    Outcome outcome = {};
    create(true);
    world->endpoint({"p1", "llm", "a", STAGE_PREFILL});
    world->request("/stream/x");
    ASSERT_EQ(world->last().kind, DISPATCH_PREFILL);
    guint32 engine = incarnation_hash_of(world->last().endpoint.c_str());
    outcome.dispatch = world->last().number;
    outcome.kind = OUTCOME_NOT_RUN;
    outcome.misdirected = misdirected;
    router_outcome(world->router, &outcome, world->now);
    router_load_digest(world->router, &digest, world->now);
    guint failing = 0;
    for (unsigned i = 0; i < digest.n; i++) {
      if (digest.row[i].endpoint == engine)
        failing = digest.row[i].failing;
    }
    EXPECT_EQ(failing, misdirected ? 100u : 96u);
  }
}

/* All instances of a data centre that is cut off count as one report. */
TEST_F(OutlierWorld, TheSummaryOfADataCentreIsOneReport) {
  mp_LoadSummary summary = {};
  create(true);
  summary.relay = 0x0a00000000020001;
  summary.zone = 5;
  summary.instances = 20;
  summary.loads.n = 1;
  summary.loads.row[0] = {incarnation_hash_of("d0"), 0, 0, 500};
  router_receive_summary(world->router, 1, &summary, world->now);
  world->advance(20 * ms);
  EXPECT_EQ(router_down_endpoints(world->router), 0u);
  report(1, {"d0"});
  world->advance(20 * ms);
  EXPECT_EQ(router_down_endpoints(world->router), 1u);
}

/* Requests that must not be repeated end as "outcome unknown" at a plain
** endpoint that breaks off everything; they must be refused as not run. */
TEST_F(OutlierWorld, AnEndpointThatBreaksOffGetsNoUnsafeRequest) {
  for (bool overload_control : {false, true}) {
    create(overload_control);
    world->endpoint({"app0", "app", "a", STAGE_NONE});
    for (unsigned i = 0; i < 2; i++) {
      guint64 request = world->request("/unsafe/x");
      world->advance(5 * ms);
      world->outcome(world->last().number, OUTCOME_BROKEN);
      EXPECT_EQ(world->end(request).refusal, REFUSAL_OUTCOME_UNKNOWN);
    }
    guint64 unsafe = world->request("/unsafe/x");
    EXPECT_EQ(world->runs(unsafe), overload_control ? 0u : 1u);
    if (!overload_control)
      continue;
    EXPECT_EQ(world->end(unsafe).refusal, REFUSAL_NO_ENDPOINT);
    world->advance(600 * ms);
    unsafe = world->request("/unsafe/x");
    EXPECT_EQ(world->runs(unsafe), 0u) << "safe ones try it first";
    guint64 safe = world->request("/safe/x");
    EXPECT_EQ(world->runs(safe), 1u);
    world->outcome(world->last().number, OUTCOME_ANSWER);
    unsafe = world->request("/unsafe/x");
    EXPECT_EQ(world->runs(unsafe), 1u) << "the answer ends it";
  }
}

/* Without requests that may be repeated, the endpoint must be tried too. */
TEST_F(OutlierWorld, UnsafeRequestsTryAnEndpointThatNobodyElseTries) {
  create(true);
  world->endpoint({"app0", "app", "a", STAGE_NONE});
  for (unsigned i = 0; i < 2; i++) {
    world->request("/unsafe/x");
    world->outcome(world->last().number, OUTCOME_BROKEN);
  }
  world->advance(1600 * ms);
  guint64 first = world->request("/unsafe/x");
  EXPECT_EQ(world->runs(first), 1u);
  world->outcome(world->last().number, OUTCOME_BROKEN);
  guint64 second_one = world->request("/unsafe/x");
  EXPECT_EQ(world->runs(second_one), 0u) << "one break closes it again";
}

/* Runs that break off late, or answers in between, say nothing. */
TEST(Outlier, LateOrRareBreaksDoNotCount) {
  OutlierEvidence evidence = {};
  EXPECT_FALSE(outlier_note_break(&evidence, 5 * ms, start));
  EXPECT_FALSE(outlier_note_break(&evidence, second, start + 1));
  EXPECT_FALSE(outlier_note_break(&evidence, 5 * ms, start + 2 * second));
  EXPECT_TRUE(outlier_note_break(&evidence, 5 * ms, start + 3 * second));
}

/* A prefill that was paid for must not be lost because six engines in a row
** could not be reached. */
TEST_F(OutlierWorld, APrefilledRequestReturnsToTheQueue) {
  for (bool overload_control : {false, true}) {
    create(overload_control);
    for (const char *id : {"d6", "d7", "d8"})
      world->endpoint({id, "llm", "a", STAGE_DECODE});
    guint64 request = world->request("/stream/x");
    ASSERT_EQ(world->last().kind, DISPATCH_PREFILL);
    world->prefilled(world->last().number);
    for (unsigned i = 0; i < 6; i++) {
      ASSERT_EQ(world->last().kind, DISPATCH_RUN) << i;
      ASSERT_EQ(world->runs(request), i + 1);
      world->outcome(world->last().number, OUTCOME_UNREACHABLE);
    }
    EXPECT_EQ(world->end(request).refusals, overload_control ? 0 : 1);
    if (!overload_control)
      continue;
    report(0, {});
    world->endpoint({"d9", "llm", "a", STAGE_DECODE});
    EXPECT_EQ(world->runs(request), 7u) << "started again with the handle";
    EXPECT_EQ(world->last().handle, "h1");
    world->outcome(world->last().number, OUTCOME_STREAM_HEAD);
    EXPECT_EQ(world->end(request).heads, 1);
  }
}

/* }================================================================== */

/*
** {==================================================================
** A third of the engines crashes
** ===================================================================
*/

constexpr gint64 step = 5 * ms;
constexpr unsigned decode_in_fleet = 24;
constexpr unsigned requests_per_second = 50;
constexpr gint64 prompt_time = 100 * ms;
constexpr gint64 head_time = 20 * ms;
constexpr gint64 run_time = 1 * second;

/* Instances with real routers, and engines that are only a list. Engines with
** an even number refuse connections after the crash; at the address of the
** others another process answers with 421. */
class CrashedFleet {
public:
  CrashedFleet(unsigned instances, unsigned decode, gint64 digest_interval_,
               bool overload_control)
      : digest_interval(digest_interval_), all(instances) {
    for (Instance &one : all) {
      auto seed = guint64(&one - all.data()) + 1;
      one.world = std::make_unique<World>(0, 10.0, 0, "10.0.0.5:1", 0, "a",
                                          seed, overload_control);
      one.world->now = now;
      one.world->configure();
      router_set_instances(one.world->router, instances, instances);
      for (unsigned i = 0; i < decode; i++)
        list(*one.world, "d" + std::to_string(i), STAGE_DECODE);
      for (unsigned i = 0; i < decode / 2; i++)
        list(*one.world, "p" + std::to_string(i), STAGE_PREFILL);
    }
  }
  /* Switches only the use of the judgement in choices off. */
  void choose_without_evidence() {
    for (Instance &one : all)
      one.world->router->endpoints->overload_control = FALSE;
  }
  /* Lets time pass with this many requests per second over all instances. */
  void run(gint64 span, unsigned per_second) {
    for (gint64 until = now + span; now < until; now += step) {
      for (Instance &one : all)
        one.world->advance(now - one.world->now);
      due += per_second * double(step) / second;
      for (; due >= 1; due -= 1)
        send();
      end_work();
      for (Instance &one : all)
        start_work(one);
      if (now >= next_digests)
        exchange_digests();
    }
  }
  /* Every third decode engine crashes; what runs there breaks off. */
  void crash() {
    has_crashed = true;
    for (const Work &work : std::exchange(open, {})) {
      World &world = *all[work.instance].world;
      if (is_crashed(work.endpoint))
        world.outcome(work.dispatch, OUTCOME_BROKEN);
      else
        open.push_back(work);
    }
  }
  void restart() {
    has_crashed = false;
  }
  /* Returns how many requests were refused. */
  unsigned refused() const {
    unsigned count = 0;
    for (const Instance &one : all) {
      for (const auto &[number, end] : one.world->ended)
        count += end.refusals > 0;
    }
    return count;
  }
  /* Returns number, kind and endpoint of all dispatches, instance by
  ** instance. */
  std::vector<std::string> dispatches() const {
    std::vector<std::string> found;
    for (const Instance &one : all) {
      for (const SentDispatch &sent : one.world->dispatches)
        found.push_back(std::to_string(sent.number) + " " +
                        std::to_string(sent.kind) + " " + sent.endpoint);
    }
    return found;
  }
  unsigned wasted = 0; /* dispatches to crashed engines */
  unsigned served_by_restarted = 0;

private:
  struct Instance {
    std::unique_ptr<World> world;
    size_t handled = 0;
    guint32 sequence = 0;
    mp_LoadDigest digest = {}; /* the last one sent */
    gint64 digest_at = 0;
  };
  struct Work {
    size_t instance;
    guint64 dispatch;
    std::string endpoint;
    gint64 at;
    OutcomeKind next; /* OUTCOME_ANSWER: the prompt is prefilled */
  };

  static void list(World &world, const std::string &id, EndpointStage stage) {
    world.endpoint({id.c_str(), "llm", "a", stage});
  }
  bool is_third(const std::string &id) const {
    return id[0] == 'd' && std::stoul(id.substr(1)) % 3 == 0;
  }
  bool is_crashed(const std::string &id) const {
    return has_crashed && is_third(id);
  }
  void send() {
    World &world = *all[random() % all.size()].world;
    world.request("/stream/x", 10000, 1500, 500);
  }
  void fail(World &world, const SentDispatch &sent) {
    Outcome outcome = {};
    outcome.dispatch = sent.number;
    outcome.misdirected = std::stoul(sent.endpoint.substr(1)) % 2 == 1;
    outcome.kind = outcome.misdirected ? OUTCOME_NOT_RUN : OUTCOME_UNREACHABLE;
    outcome.status = outcome.misdirected ? 421 : 0;
    wasted++;
    router_outcome(world.router, &outcome, now);
  }
  void start_work(Instance &one) {
    auto index = size_t(&one - all.data());
    for (; one.handled < one.world->dispatches.size(); one.handled++) {
      SentDispatch sent = one.world->dispatches[one.handled];
      if (is_crashed(sent.endpoint))
        fail(*one.world, sent);
      else if (sent.kind == DISPATCH_PREFILL)
        open.push_back({index, sent.number, sent.endpoint, now + prompt_time,
                        OUTCOME_ANSWER});
      else if (sent.kind == DISPATCH_RUN)
        open.push_back({index, sent.number, sent.endpoint, now + head_time,
                        OUTCOME_STREAM_HEAD});
    }
    one.world->checks.clear();
  }
  void end_work() {
    for (Work work : std::exchange(open, {})) {
      World &world = *all[work.instance].world;
      if (work.at > now) {
        open.push_back(work);
      } else if (work.next == OUTCOME_ANSWER) {
        world.prefilled(work.dispatch, "h");
      } else {
        world.outcome(work.dispatch, work.next);
        if (work.next == OUTCOME_STREAM_END)
          continue;
        served_by_restarted += is_third(work.endpoint);
        open.push_back({work.instance, work.dispatch, work.endpoint,
                        now + run_time, OUTCOME_STREAM_END});
      }
    }
  }
  void exchange_digests() {
    next_digests = now + digest_interval;
    for (Instance &from : all) {
      mp_LoadDigest digest = {};
      router_load_digest(from.world->router, &digest, now);
      if (memcmp(&digest, &from.digest, sizeof digest) == 0 &&
          now - from.digest_at < second)
        continue;
      from.digest = digest;
      from.digest_at = now;
      from.sequence++;
      for (Instance &to : all) {
        if (&to != &from)
          router_peer_load(to.world->router,
                           0x0a00000000010001 + mp_Addr(&from - all.data()),
                           from.sequence, &digest, now);
      }
    }
  }

  gint64 digest_interval;
  std::vector<Instance> all;
  std::vector<Work> open;
  gint64 now = 100 * second;
  gint64 next_digests = 0;
  double due = 0;
  bool has_crashed = false;
  std::mt19937 random{1};
};

struct CrashResult {
  unsigned wasted, refused;
};

/* Returns what happens in the 2 s after a third of the engines crashed. */
CrashResult crash_third(unsigned instances, gint64 digest_interval,
                        bool overload_control) {
  CrashedFleet fleet(instances, decode_in_fleet, digest_interval,
                     overload_control);
  unsigned before;
  fleet.run(1 * second, requests_per_second);
  before = fleet.refused();
  fleet.crash();
  fleet.run(2 * second, requests_per_second);
  return {fleet.wasted, fleet.refused() - before};
}

/* Without failures the judgement must change no dispatch. */
TEST(OutlierFleet, WithoutFailuresDispatchesAreTheSame) {
  for (unsigned instances : {1u, 20u}) {
    CrashedFleet off(instances, decode_in_fleet, 40 * ms, true);
    CrashedFleet on(instances, decode_in_fleet, 40 * ms, true);
    off.choose_without_evidence();
    off.run(3 * second, requests_per_second);
    on.run(3 * second, requests_per_second);
    EXPECT_GT(on.dispatches().size(), 100u);
    EXPECT_EQ(on.dispatches(), off.dispatches());
  }
}

/* Engines that crash must be found out by all instances together, not by each
** one. Two reports and the trials of these instances cost about three
** dispatches for each engine. */
TEST(OutlierFleet, CrashedEnginesWasteFewDispatches) {
  constexpr unsigned crashed = decode_in_fleet / 3;
  for (unsigned instances : {20u, 88u}) {
    CrashResult off = crash_third(instances, 40 * ms, false);
    CrashResult on = crash_third(instances, 40 * ms, true);
    EXPECT_LE(on.wasted, 3 * crashed) << instances;
    EXPECT_GE(off.wasted, 2 * on.wasted) << instances;
    EXPECT_LE(on.refused, off.refused + 1) << instances;
  }
}

/* The number wasted must not grow with the number of instances, even if their
** reports take a tenth of a second. */
TEST(OutlierFleet, ManyInstancesWasteNoMore) {
  CrashResult on = crash_third(300, 100 * ms, true);
  EXPECT_LE(on.wasted, 4 * decode_in_fleet / 3);
}

/* An endpoint that is back under the same incarnation must be used again soon,
** also if it flaps. */
TEST(OutlierFleet, EnginesThatAreBackAreUsedAgain) {
  CrashedFleet fleet(20, decode_in_fleet, 40 * ms, true);
  fleet.run(1 * second, requests_per_second);
  for (unsigned flap = 0; flap < 3; flap++) {
    unsigned served;
    fleet.crash();
    fleet.run(1 * second, requests_per_second);
    fleet.restart();
    fleet.run(4 * second, requests_per_second);
    served = fleet.served_by_restarted;
    fleet.run(1 * second, requests_per_second);
    EXPECT_GE(fleet.served_by_restarted - served, requests_per_second / 5)
        << "a third of the engines serves a fifth of the requests at least";
  }
}

/* }================================================================== */

} // namespace
