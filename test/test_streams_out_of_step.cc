/*
** test_streams_out_of_step.cc
** Streams that are taken up at an instance which is out of step while a
** version appears, in virtual time
**
** A schedule is a fault of some instances that begins before, at or after the
** moment at which engines of a second version appear, for a time, with the
** engines of the first version in some state. Streams break at the instances
** that are in step, and half of them are taken up at those that are not. Each
** schedule is run with other numbers of instances and seeds. By hand,
** SCHEDULES=n multiplies the number of schedules.
*/

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <set>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "stream_fleet.h"

using namespace streaming;

namespace {

enum class Fault {
  StandStill,     /* instances stand still */
  NoticedPause,   /* and notice it when they wake */
  CutFromOthers,  /* they reach the list and the store, and no instance */
  CutFromList,    /* they reach instances and the store */
  CutFromAll,     /* they reach nothing */
  RelayStands,    /* a relay stands still; its data centre has no list */
  LateReplies,    /* cut from the list, and replies are late */
  HiddenChanges,  /* their list is old, and confirmed as complete */
  DataCentreCut,  /* reaches neither the others nor the store and the list */
  DataCentreAlone /* reaches the list and the store, and no other one */
};

enum class Old { HasRoom, IsFull, IsLeaving, Restarts, IsGone };

constexpr std::array<gint64, 7> spans = {
    200 * ms,  600 * ms,   1200 * ms,  2 * second,
    2400 * ms, 4 * second, 8 * second,
};
/* when the fault begins, from the moment at which the version appears */
constexpr std::array<gint64, 5> offsets = {-1500 * ms, -300 * ms, 0, 300 * ms,
                                           1500 * ms};

struct Schedule {
  Fault fault;
  Old old;
  gint64 span;
  gint64 offset;
  unsigned instances;
  unsigned seed;
};

/* Sums over schedules. */
struct Total {
  unsigned schedules = 0;
  unsigned resumptions = 0;
  unsigned taken_up = 0;
  unsigned went_on = 0;
  unsigned mixed = 0;
  unsigned disordered = 0;
  gint64 longest_search = 0;
  unsigned messages = 0;
  unsigned lists = 0;
};

unsigned schedule_factor() {
  const char *text = std::getenv("SCHEDULES");
  return text != nullptr ? static_cast<unsigned>(std::atoi(text)) : 1;
}

/* Returns the instances that are out of step. */
std::set<unsigned> affected_by(const Schedule &schedule) {
  std::set<unsigned> affected;
  bool is_zone = schedule.fault == Fault::RelayStands ||
                 schedule.fault == Fault::DataCentreCut ||
                 schedule.fault == Fault::DataCentreAlone;
  unsigned single = std::max(1u, schedule.instances / 20);
  for (unsigned i = 0; i < schedule.instances; i++) {
    if (is_zone ? i % 3 == 1 : (i >= 1 && i <= single))
      affected.insert(i);
  }
  return affected;
}

class OutOfStep {
public:
  explicit OutOfStep(const Schedule &schedule_)
      : schedule(schedule_), affected(affected_by(schedule_)),
        fleet(options_of(schedule_)) {
    for (unsigned i = 0; i < schedule.instances; i++) {
      if (affected.count(i) == 0)
        in_step.insert(i);
    }
  }

  /* Runs the schedule and adds what became of it to 'total'. */
  void run(Total &total) {
    fleet.set_streams_per_s(1);
    fleet.advance(24 * second);
    fleet.set_streams_per_s(rate());
    fleet.advance(4 * second);
    unsigned messages = fleet.messages;
    fleet.forget_refusals();
    fleet.prefer(affected);
    gint64 appears_at = fleet.now + std::max<gint64>(0, -schedule.offset);
    gint64 begins_at = appears_at + schedule.offset;
    gint64 ends_at = begins_at + schedule.span;
    gint64 until = std::max(ends_at, appears_at + 4 * second) + second;
    bool has_begun = false;
    bool has_ended = false;
    bool has_appeared = false;
    for (unsigned n = 0; fleet.now < until; n++) {
      if (!has_begun && fleet.now >= begins_at) {
        has_begun = true;
        begin();
      }
      if (!has_appeared && fleet.now >= appears_at) {
        has_appeared = true;
        appear();
      }
      if (!has_ended && fleet.now >= ends_at) {
        has_ended = true;
        end();
      }
      if (has_appeared && n % 5 == 0)
        fleet.break_callers(in_step);
      fleet.advance(50 * ms);
    }
    const Count &count = fleet.count();
    total.schedules++;
    total.resumptions += count.resumptions;
    total.taken_up += count.taken_up;
    total.went_on += count.went_on;
    total.mixed += fleet.mixed_streams();
    total.disordered += fleet.disordered_streams();
    total.longest_search =
        std::max(total.longest_search, fleet.longest_search());
    total.messages += fleet.messages - messages;
    total.lists += fleet.store.lists;
  }

private:
  static FleetOptions options_of(const Schedule &schedule) {
    FleetOptions options;
    options.instances = schedule.instances;
    options.engines = std::max(12u, schedule.instances / 2);
    options.prefill = std::max(3u, options.engines / 4);
    options.seed = schedule.seed;
    options.has_store = true;
    options.notices_pauses = schedule.fault == Fault::NoticedPause;
    return options;
  }

  double rate() const {
    double usual = std::max(12.0, schedule.instances * 0.6);
    /* an engine has room for some six streams, of 3 s each */
    return schedule.old == Old::IsFull ? usual * 4 : usual;
  }

  void begin() {
    switch (schedule.fault) {
    case Fault::StandStill:
    case Fault::NoticedPause:
      fleet.pause(affected, schedule.span);
      break;
    case Fault::CutFromOthers:
      fleet.cut_from_others(affected);
      break;
    case Fault::CutFromList:
      fleet.cut_from_list(affected);
      break;
    case Fault::CutFromAll:
      fleet.cut_from_others(affected);
      fleet.cut_from_list(affected);
      fleet.cut_from_store(affected);
      break;
    case Fault::RelayStands:
      fleet.pause({*affected.begin()}, schedule.span);
      fleet.cut_from_list(affected);
      break;
    case Fault::LateReplies:
      fleet.cut_from_list(affected);
      fleet.reply_delay_max = 300 * ms;
      break;
    case Fault::HiddenChanges:
      fleet.hide_changes(affected);
      break;
    case Fault::DataCentreCut:
      fleet.cut_from_others(affected, true);
      fleet.cut_from_list(affected);
      fleet.cut_from_store(affected);
      break;
    case Fault::DataCentreAlone:
      fleet.cut_from_others(affected, true);
      break;
    }
  }

  void end() {
    fleet.cut_from_others({});
    fleet.cut_from_list({});
    fleet.cut_from_store({});
    fleet.hide_changes({});
    fleet.reply_delay_max = 0;
  }

  void appear() {
    fleet.add_engines("v2", std::max(6u, schedule.instances / 4));
    if (schedule.old == Old::IsLeaving)
      fleet.leave_version("v1");
    else if (schedule.old == Old::Restarts)
      fleet.restart_version("v1", 700 * ms);
    else if (schedule.old == Old::IsGone)
      fleet.end_version("v1");
  }

  Schedule schedule;
  std::set<unsigned> affected;
  std::set<unsigned> in_step;
  Fleet fleet;
};

struct Class {
  const char *name;
  Fault fault;
};

constexpr std::array<Class, 10> classes = {{
    {"StandStill", Fault::StandStill},
    {"NoticedPause", Fault::NoticedPause},
    {"CutFromOthers", Fault::CutFromOthers},
    {"CutFromList", Fault::CutFromList},
    {"CutFromAll", Fault::CutFromAll},
    {"RelayStands", Fault::RelayStands},
    {"LateReplies", Fault::LateReplies},
    {"HiddenChanges", Fault::HiddenChanges},
    {"DataCentreCut", Fault::DataCentreCut},
    {"DataCentreAlone", Fault::DataCentreAlone},
}};

constexpr std::array<std::pair<const char *, Old>, 5> olds = {{
    {"HasRoom", Old::HasRoom},
    {"IsFull", Old::IsFull},
    {"IsLeaving", Old::IsLeaving},
    {"Restarts", Old::Restarts},
    {"IsGone", Old::IsGone},
}};

class StreamsOutOfStep
    : public testing::TestWithParam<std::tuple<size_t, unsigned>> {};

/* Runs so many schedules of this class and state of the older version, from
** this number on. By hand it prints their sums as a row of a table. */
void run_old(const Class &one, const std::pair<const char *, Old> &older,
             unsigned instances, unsigned from, unsigned runs) {
  const auto &[name, old] = older;
  Total total;
  for (unsigned i = from; i < from + runs; i++) {
    std::mt19937 random(instances * 1000 + i);
    /* spans and offsets meet in each combination before one comes again */
    size_t cell = (i * 11 + static_cast<size_t>(one.fault) * 5 +
                   static_cast<size_t>(old) * 3) %
                  (spans.size() * offsets.size());
    Schedule schedule = {one.fault,
                         old,
                         spans[cell % spans.size()],
                         offsets[cell / spans.size()],
                         instances,
                         static_cast<unsigned>(random() % 1000000)};
    unsigned before = total.mixed;
    OutOfStep(schedule).run(total);
    EXPECT_EQ(total.mixed, before)
        << one.name << ", older version " << name << ", " << schedule.span / ms
        << " ms from " << schedule.offset / ms << " ms, seed "
        << schedule.seed;
  }
  EXPECT_EQ(total.disordered, 0u);
  EXPECT_LE(total.longest_search, 520 * ms);
  if (std::getenv("SCHEDULES") != nullptr)
    std::printf("| %s | %s | %u | %u | %u | %u of %u | %u | %d | %u | %u |\n",
                one.name, name, instances, total.schedules, total.resumptions,
                total.went_on, total.taken_up, total.mixed,
                static_cast<int>(total.longest_search / ms), total.messages,
                total.lists);
}

/* Guards against streams that are joined from two versions because one
** instance, a relay or a data centre does not know the newer one yet. */
TEST_P(StreamsOutOfStep, JoinNoVersions) {
  const auto &[index, instances] = GetParam();
  unsigned runs = instances <= 8 ? 4 : instances <= 20 ? 2 : 1;
  for (const auto &older : olds)
    run_old(classes[index], older, instances, 0, runs * schedule_factor());
}

std::string name_of(
    const testing::TestParamInfo<std::tuple<size_t, unsigned>> &parameter) {
  return classes[std::get<0>(parameter.param)].name +
         std::to_string(std::get<1>(parameter.param));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, StreamsOutOfStep,
    testing::Combine(testing::Range<size_t>(0, classes.size()),
                     testing::Values(8u, 20u)),
    name_of);

/* The same with many instances, in the state of the older version in which an
** instance that is out of step can begin runs at it. */
TEST(LargeFleetOutOfStep, JoinsNoVersions) {
  unsigned number = 0;
  for (const Class &one : classes) {
    for (unsigned instances : {88u, 300u}) {
      if (instances == 300 && one.fault != Fault::StandStill &&
          one.fault != Fault::DataCentreCut)
        continue;
      run_old(one, {"IsLeaving", Old::IsLeaving}, instances, number++,
              schedule_factor());
    }
  }
}

/* Guards against an answer that costs more than it protects: while one version
** serves, streams go on although instances are killed, one stands still, or
** the store does not answer for less than news_age_max. */
TEST(QuietTimesOutOfStep, StreamsGoOn) {
  for (unsigned instances : {8u, 20u}) {
    for (const char *trouble : {"none", "kills", "pause", "store", "list"}) {
      FleetOptions options;
      options.instances = instances;
      options.seed = instances;
      options.has_store = true;
      options.notices_pauses = true;
      std::string what = trouble;
      Fleet fleet(options);
      std::set<unsigned> all;
      for (unsigned i = 0; i < instances; i++)
        all.insert(i);
      fleet.advance(26 * second);
      unsigned messages = fleet.messages;
      unsigned reads = fleet.software_store.reads;
      for (int round = 0; round < 6; round++) {
        if (what == "kills")
          fleet.kill_instances(0.4);
        else if (what == "pause")
          fleet.pause({static_cast<unsigned>(round) % instances}, second);
        bool is_away = what == "store";
        fleet.store.is_away = is_away;
        fleet.software_store.is_away = is_away;
        if (is_away || what == "list")
          fleet.cut_from_list(all);
        for (int i = 0; i < 4; i++) {
          fleet.advance(500 * ms);
          fleet.break_callers(all);
        }
        fleet.store.is_away = fleet.software_store.is_away = false;
        fleet.cut_from_list({});
        fleet.advance(2 * second);
      }
      const Count &count = fleet.count();
      EXPECT_GE(count.went_on * 10, count.taken_up * 9)
          << what << ", " << instances << ": " << count.went_on << " of "
          << count.taken_up;
      EXPECT_EQ(fleet.mixed_streams(), 0u);
      if (std::getenv("SCHEDULES") != nullptr)
        std::printf(
            "| quiet, %s | %u | %u | %u of %u | %u | %u | %u | %d |\n",
            trouble, instances, count.resumptions, count.went_on,
            count.taken_up, fleet.messages - messages, fleet.store.lists,
            fleet.software_store.reads - reads,
            static_cast<int>(fleet.counter("refused_for_unknown_stream")));
    }
  }
}

/* Guards against streams whose origin names the version that an endpoint had
** before it started anew with other software under its id, because the
** instance that begins them has not learned of that yet. */
TEST(RestartedEndpointOutOfStep, OriginNamesTheVersionThatWrites) {
  FleetOptions options;
  options.has_store = true;
  options.seed = 5;
  Fleet fleet(options);
  std::set<unsigned> all;
  for (unsigned i = 0; i < options.instances; i++)
    all.insert(i);
  fleet.advance(26 * second);
  fleet.add_engines("v3", 6);
  fleet.advance(4 * second);
  fleet.cut_from_list({1});
  fleet.restart_version("v3", 100 * ms, "v2");
  fleet.add_engines("v3", 6);
  for (int i = 0; i < 8; i++) {
    fleet.advance(250 * ms);
    fleet.break_callers(all);
  }
  fleet.cut_from_list({});
  fleet.advance(4 * second);
  EXPECT_EQ(fleet.mixed_streams(), 0u)
      << "of " << fleet.count().resumptions << " takings-up";
}

} // namespace
