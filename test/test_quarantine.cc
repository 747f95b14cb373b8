/*
** test_quarantine.cc
** Tests of the quarantine: requests under which endpoints crashed, each crash
** one strike against the request; when a request is held (refused), how
** strikes of several instances are merged, and what is stored
*/

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

extern "C" {
#include "router/quarantine.h"
}

namespace {

constexpr gint64 ms = MP_MS;
constexpr gint64 second = MP_SEC;
constexpr gint64 hour = 3600 * second;
constexpr gint64 day = 24 * hour;
/* Unix time minus the time of the steady clock */
constexpr gint64 unix_offset = 1700000000LL * second;

QuarantineSuspect suspect_of(guint64 content, gint64 at) {
  return {content, at, "q1", "route", nullptr, 0};
}

QuarantineRecord record_of(guint64 content,
                           const std::vector<guint32> &crashes,
                           gint64 last = 0) {
  QuarantineRecord out = {};
  out.content = content;
  for (guint32 crash : crashes)
    out.crashes[out.count++] = crash;
  out.last_unix_ms = last;
  return out;
}

struct QuarantineTest : ::testing::Test {
  Quarantine *table = quarantine_new(unix_offset, 1);
  gint64 now = 1000 * second;

  ~QuarantineTest() override {
    quarantine_free(table);
  }
  bool add_strike(guint64 content, guint32 crash) {
    QuarantineSuspect one = suspect_of(content, now);
    return quarantine_add_strike(table, &one, crash, now);
  }
  bool add_timed_strike(guint64 content, guint32 crash, gint64 began,
                        gint64 broke) {
    QuarantineSuspect one = suspect_of(content, broke);
    one.began_at = began;
    return quarantine_add_strike(table, &one, crash, broke);
  }
  bool merge_report(guint64 content, const std::vector<guint32> &crashes,
                    gint64 last = 0) {
    QuarantineRecord report = record_of(content, crashes, last);
    return quarantine_merge(table, &report, now);
  }
  bool is_held(guint64 content) {
    return quarantine_held_until(table, content, now) != 0;
  }
  /* Returns the next write to the store; none: its record.count is 0. */
  QuarantineSave next_save() {
    QuarantineSave out = {};
    quarantine_next_save(table, &out, now);
    return out;
  }
};

TEST_F(QuarantineTest, ThirdCrashHoldsTheRequestAndNoOther) {
  EXPECT_TRUE(add_strike(7, 1));
  EXPECT_TRUE(add_strike(7, 2));
  EXPECT_TRUE(add_strike(8, 2));
  EXPECT_FALSE(is_held(7));
  EXPECT_TRUE(add_strike(7, 3));
  EXPECT_TRUE(is_held(7));
  EXPECT_FALSE(is_held(8));
}

TEST_F(QuarantineTest, CrashCountsOnceWhoeverReportsIt) {
  EXPECT_TRUE(add_strike(7, 1));
  EXPECT_FALSE(add_strike(7, 1));
  EXPECT_FALSE(merge_report(7, {1}));
  EXPECT_TRUE(merge_report(7, {1, 2}));
  EXPECT_FALSE(merge_report(7, {2, 1}));
  EXPECT_EQ(quarantine_strike_count(table, 7), 2u);
}

/* After each hold the request is tried again and crashes an endpoint again. */
TEST_F(QuarantineTest, RequestCrashesAtMostThreeMoreEndpointsAfterTheThird) {
  guint32 crash = 0;
  unsigned after_third = 0;
  for (gint64 until = now + 365 * day; now < until; now += 60 * second) {
    quarantine_expire(table, now);
    if (is_held(7))
      continue;
    after_third += quarantine_strike_count(table, 7) >= 3;
    add_strike(7, ++crash);
  }
  EXPECT_EQ(crash, 6u);
  EXPECT_LE(after_third, 3u);
  EXPECT_TRUE(is_held(7));
  EXPECT_LT(quarantine_held_until(table, 7, now), now + 365 * day);
}

TEST_F(QuarantineTest, EachHoldIsLongerThanTheLast) {
  for (guint32 crash = 1; crash <= 3; crash++)
    add_strike(7, crash);
  gint64 first = quarantine_held_until(table, 7, now) - now;
  now += first;
  EXPECT_FALSE(is_held(7));
  add_strike(7, 4);
  EXPECT_GT(quarantine_held_until(table, 7, now) - now, first);
}

TEST_F(QuarantineTest, SuccessfulRunRemovesOneStrikeUnlessTheRequestIsHeld) {
  add_strike(7, 1);
  add_strike(7, 2);
  quarantine_run_succeeded(table, 7);
  EXPECT_EQ(quarantine_strike_count(table, 7), 1u);
  EXPECT_FALSE(merge_report(7, {1, 2})); /* a late report */
  EXPECT_EQ(quarantine_strike_count(table, 7), 1u);
  add_strike(7, 3);
  add_strike(7, 4);
  EXPECT_TRUE(is_held(7));
  quarantine_run_succeeded(table, 7);
  EXPECT_TRUE(is_held(7));
}

/* A request that many callers send often runs where an endpoint crashes for
** another reason. */
TEST_F(QuarantineTest, RequestThatSucceedsBetweenCrashesIsNeverHeld) {
  for (guint32 crash = 1; crash < 1000; crash++) {
    add_strike(7, crash);
    quarantine_run_succeeded(table, 7);
    now += 10 * second;
    EXPECT_FALSE(is_held(7));
  }
}

TEST_F(QuarantineTest, LiftedHoldIsNotRestoredByLateReports) {
  for (guint32 crash = 1; crash <= 4; crash++)
    add_strike(7, crash);
  quarantine_lift(table, 7, now);
  EXPECT_FALSE(is_held(7));
  merge_report(7, {1, 2, 3, 4});
  EXPECT_FALSE(is_held(7));
  for (guint32 crash = 11; crash <= 13; crash++)
    add_strike(7, crash);
  EXPECT_TRUE(is_held(7));
}

TEST_F(QuarantineTest, StrikesBelowAHoldExpireAfterAnHour) {
  add_strike(7, 1);
  add_strike(7, 2);
  now += hour + second;
  quarantine_expire(table, now);
  EXPECT_EQ(quarantine_strike_count(table, 7), 0u);
}

TEST_F(QuarantineTest, TableSizeIsBoundedAndHeldRequestsStay) {
  guint suspects;
  guint held;
  for (guint32 crash = 1; crash <= 3; crash++)
    add_strike(7, crash);
  for (guint64 content = 100; content < 10100; content++) {
    now += second / 100;
    add_strike(content, 5);
  }
  EXPECT_TRUE(is_held(7));
  quarantine_count(table, now, &suspects, &held);
  EXPECT_LE(suspects, 4096u);
  EXPECT_EQ(held, 1u);
}

TEST_F(QuarantineTest, MessageHoldsTheRequestsWithMostStrikesFirst) {
  mp_CrashUpdate news;
  for (guint64 content = 100; content < 200; content++)
    add_strike(content, 1);
  add_strike(150, 2);
  add_strike(151, 2);
  quarantine_write_news(table, FALSE, &news, now);
  EXPECT_EQ(news.n, static_cast<unsigned>(MP_CRASH_ROWS));
  unsigned two_strikes = 0;
  for (unsigned i = 0; i < news.n; i++)
    two_strikes += news.row[i].n == 2;
  EXPECT_EQ(two_strikes, 2u);
}

TEST_F(QuarantineTest, OwnStrikesAreReportedForSecondsAndOthersOnRequest) {
  mp_CrashUpdate news;
  add_strike(7, 1);
  merge_report(8, {1, 2});
  quarantine_write_news(table, FALSE, &news, now);
  EXPECT_EQ(news.n, 1u);
  quarantine_write_news(table, TRUE, &news, now);
  EXPECT_EQ(news.n, 2u);
  now += 11 * second;
  quarantine_write_news(table, TRUE, &news, now);
  EXPECT_EQ(news.n, 0u);
}

/*
** The store
*/

TEST_F(QuarantineTest, SingleStrikeIsNotStored) {
  add_strike(7, 1);
  EXPECT_EQ(next_save().record.count, 0u);
  add_strike(7, 2);
  EXPECT_EQ(next_save().record.count, 2u);
  EXPECT_EQ(next_save().position.revision, 0);
}

TEST_F(QuarantineTest, StrikesOfPeersAreStoredByThem) {
  merge_report(7, {1, 2, 3});
  EXPECT_EQ(next_save().record.count, 0u);
}

TEST_F(QuarantineTest, ConflictingWriteIsMergedAndRepeated) {
  add_strike(7, 1);
  add_strike(7, 2);
  EXPECT_EQ(next_save().record.count, 2u);
  QuarantineRecord stored = record_of(7, {3, 4});
  quarantine_merge_stored(table, &stored, store_position(0, 40), now);
  quarantine_save_failed(table, 7, now);
  EXPECT_EQ(next_save().record.count, 0u); /* it waits first */
  now += second;
  QuarantineSave again = next_save();
  EXPECT_EQ(again.record.count, 4u);
  EXPECT_EQ(again.position.revision, 40);
  quarantine_merge_stored(table, &again.record, store_position(0, 41), now);
  EXPECT_EQ(next_save().record.count, 0u);
}

/* Guards against objects that are written without an end, some 200 a second.
 */
TEST_F(QuarantineTest, InstanceAtRestWritesNothingWithMoreStrikesThanARow) {
  constexpr guint64 subjects = 1000;
  unsigned writes = 0;
  for (guint64 i = 0; i < subjects; i++) {
    guint64 content = i % 2 == 0 ? i + 1 : QUARANTINE_PART_BIT + i;
    for (guint32 crash = 1; crash <= QUARANTINE_STRIKES_MAX + 2; crash++)
      add_strike(content, static_cast<guint32>(i) * 100 + crash);
  }
  for (unsigned round = 0; round < 2 * subjects; round++) {
    QuarantineSave save = next_save();
    if (save.record.count == 0)
      break;
    writes++;
    QuarantineRecord stored = save.record;
    quarantine_merge_stored(table, &stored, store_position(0, 40 + round),
                            now);
  }
  EXPECT_EQ(writes, subjects);
  EXPECT_EQ(next_save().record.count, 0u);
}

TEST_F(QuarantineTest, ExpiredRecordIsRemovedFromTheStoreOnce) {
  add_strike(7, 1);
  add_strike(7, 2);
  QuarantineSave first = next_save();
  quarantine_merge_stored(table, &first.record, store_position(0, 40), now);
  now += 3 * hour;
  quarantine_expire(table, now);
  now += 61 * second; /* each instance waits a part of a minute that differs */
  quarantine_expire(table, now);
  QuarantineSave removal = next_save();
  EXPECT_TRUE(removal.remove);
  EXPECT_EQ(removal.position.revision, 40);
  quarantine_lift(table, 7, now);
  EXPECT_FALSE(next_save().remove);
}

TEST_F(QuarantineTest, HoldCountsFromItsLastStrikeAtEveryInstance) {
  gint64 strike_age = 20 * 60 * second;
  merge_report(7, {1, 2, 3}, (now - strike_age + unix_offset) / MP_MS);
  EXPECT_EQ(quarantine_held_until(table, 7, now), now - strike_age + hour);
  /* the clock of the reporter is wrong */
  merge_report(8, {1, 2, 3}, (now + day + unix_offset) / MP_MS);
  EXPECT_EQ(quarantine_held_until(table, 8, now), now + hour);
}

/* Instances whose messages arrive in any order, and are lost at times, end
** with the same strikes. */
TEST(QuarantineReplicas, AgreeInWhateverOrderMessagesArrive) {
  for (unsigned seed = 1; seed <= 50; seed++) {
    std::mt19937 random(seed);
    std::vector<Quarantine *> tables;
    gint64 now = 1000 * second;
    std::map<guint64, std::vector<guint32>> crashes_of;
    for (guint64 i = 0; i < 5; i++)
      tables.push_back(quarantine_new(unix_offset, i));
    for (guint32 crash = 1; crash <= 12; crash++) {
      guint64 content = 1 + random() % 3;
      if (crashes_of[content].size() == QUARANTINE_STRIKES_MAX)
        continue;
      crashes_of[content].push_back(crash);
      QuarantineSuspect one = suspect_of(content, now);
      quarantine_add_strike(tables[random() % 5], &one, crash, now);
    }
    for (int round = 0; round < 200; round++) {
      mp_CrashUpdate news;
      quarantine_write_news(tables[random() % 5], TRUE, &news, now);
      Quarantine *to = tables[random() % 5];
      for (unsigned i = 0; i < news.n; i++) {
        std::vector<guint32> crashes(news.row[i].crash,
                                     news.row[i].crash + news.row[i].n);
        QuarantineRecord report = record_of(news.row[i].request, crashes);
        quarantine_merge(to, &report, now);
      }
    }
    for (auto &[content, crashes] : crashes_of) {
      for (Quarantine *table : tables)
        EXPECT_EQ(quarantine_strike_count(table, content), crashes.size())
            << "seed " << seed;
    }
    for (Quarantine *table : tables)
      quarantine_free(table);
  }
}

TEST_F(QuarantineTest,
       StrikesLostByARestoredStoreAreWrittenAgainByTheirReporter) {
  add_strike(7, 1);
  add_strike(7, 2);
  QuarantineSave first = next_save();
  quarantine_merge_stored(table, &first.record, store_position(1, 40), now);
  merge_report(8, {1, 2, 3});
  ASSERT_EQ(next_save().record.count, 0u);
  quarantine_store_restored(table, 2);
  QuarantineSave again = next_save();
  EXPECT_EQ(again.record.content, 7u);
  EXPECT_EQ(again.record.count, 2u);
  EXPECT_TRUE(store_position_is_none(again.position));
  quarantine_merge_stored(table, &again.record, store_position(2, 12), now);
  EXPECT_EQ(next_save().record.count, 0u);
  quarantine_store_restored(table, 2); /* another instance reports it again */
  EXPECT_EQ(next_save().record.count, 0u);
}

/* Guards against a popular request that is held because endpoints that ran it
** ended together. */
TEST_F(QuarantineTest, EndsAtOneMomentAreOneEvent) {
  for (guint32 crash = 1; crash <= 12; crash++)
    add_timed_strike(7, crash, now - 100 * ms, now + crash * ms);
  EXPECT_EQ(quarantine_event_count(table, 7), 1u);
  EXPECT_FALSE(is_held(7));
}

/* Guards against endpoint after endpoint lost to a request sent on at once. */
TEST_F(QuarantineTest, EndsThatFollowTheRequestAreOneEventEach) {
  for (guint32 crash = 1; crash <= 3; crash++) {
    now += 100 * ms;
    add_timed_strike(7, crash, now - 70 * ms, now);
  }
  EXPECT_TRUE(is_held(7));
}

/* Guards against endpoints lost to equal requests that overlap. */
TEST_F(QuarantineTest, OverlappingRunsOfARequestThatNeverEndedWellCount) {
  for (guint32 crash = 1; crash <= 3; crash++) {
    now += 60 * ms;
    add_timed_strike(7, crash, now - 70 * ms, now);
  }
  EXPECT_TRUE(is_held(7));
}

/* Guards against popular requests held because a rack ended within seconds. */
TEST_F(QuarantineTest, OverlappingEndsOfAnAcquittedRequestAreOneEvent) {
  gint64 began = now;
  quarantine_acquit(table, 7, now, now);
  for (guint32 crash = 1; crash <= 12; crash++) {
    now += 150 * ms;
    add_timed_strike(7, crash, began, now);
  }
  EXPECT_EQ(quarantine_event_count(table, 7), 1u);
}

/* Guards against restarts that count one event as several. */
TEST_F(QuarantineTest, StoreGetsOneStrikeOfEachEvent) {
  for (guint32 crash = 1; crash <= 6; crash++)
    add_timed_strike(7, crash, now - 100 * ms, now + crash * ms);
  EXPECT_EQ(next_save().record.count, 0u);
  now += 10 * second;
  add_timed_strike(7, 7, now - 100 * ms, now);
  EXPECT_EQ(next_save().record.count, 2u);
}

/* Guards against a request that is held though endpoints complete it. */
TEST_F(QuarantineTest, RunThatBeganAfterTheEndsAcquitsARequest) {
  for (guint32 crash = 1; crash <= 3; crash++)
    add_strike(7, crash);
  EXPECT_TRUE(is_held(7));
  quarantine_acquit(table, 7, now - 1, now);
  EXPECT_EQ(quarantine_strike_count(table, 7), 3u);
  quarantine_acquit(table, 7, now + 1, now + second);
  EXPECT_EQ(quarantine_strike_count(table, 7), 0u);
  EXPECT_FALSE(is_held(7));
}

/* Guards against a run at every instance when a hold ends, and none after. */
TEST_F(QuarantineTest, EndOfAHoldAdmitsOneProbeAtATime) {
  for (guint32 crash = 1; crash <= 3; crash++)
    add_strike(7, crash);
  EXPECT_FALSE(quarantine_needs_probe(table, 7, now));
  now += hour;
  EXPECT_TRUE(quarantine_needs_probe(table, 7, now));
  EXPECT_TRUE(quarantine_begin_probe(table, 7, now));
  EXPECT_FALSE(quarantine_begin_probe(table, 7, now + 5 * second));
  EXPECT_TRUE(quarantine_begin_probe(table, 7, now + 6 * second));
  quarantine_acquit(table, 7, now, now);
  EXPECT_FALSE(quarantine_needs_probe(table, 7, now));
}

/* {== Parts of prompts =================================================== */

constexpr guint64 part = QUARANTINE_PART_BIT + 7;
constexpr guint64 twin = QUARANTINE_PART_BIT + 8;

TEST_F(QuarantineTest, RunThatGoesOnTakesAllStrikesOffAPart) {
  for (guint32 crash = 1; crash <= 3; crash++)
    add_strike(part, crash);
  ASSERT_TRUE(is_held(part));
  now += second;
  EXPECT_TRUE(quarantine_acquit(table, part, now, now));
  EXPECT_FALSE(is_held(part));
  EXPECT_EQ(quarantine_strike_count(table, part), 0u);
  EXPECT_FALSE(add_strike(part, 2)); /* a late report changes nothing */
}

TEST_F(QuarantineTest, AcquittedPartTakesFiveStrikesForTwoMinutes) {
  quarantine_acquit(table, part, now, now);
  now += second;
  for (guint32 crash = 1; crash <= 4; crash++)
    add_strike(part, crash);
  EXPECT_FALSE(is_held(part));
  add_strike(part, 5);
  EXPECT_TRUE(is_held(part));
  quarantine_acquit(table, twin, now, now);
  now += 121 * second;
  quarantine_expire(table, now);
  for (guint32 crash = 11; crash <= 13; crash++)
    add_strike(twin, crash);
  EXPECT_TRUE(is_held(twin));
}

TEST_F(QuarantineTest, AcquittalIsToldAndFreesThePartElsewhere) {
  Quarantine *other = quarantine_new(unix_offset, 2);
  QuarantineSuspect one = suspect_of(part, now);
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(part, crash);
    quarantine_add_strike(other, &one, crash, now);
  }
  now += second;
  quarantine_acquit(table, part, now, now);
  mp_CrashUpdate news = {};
  quarantine_write_news(table, FALSE, &news, now);
  ASSERT_EQ(news.acquitted_n, 1u);
  EXPECT_EQ(news.acquitted[0].part, part);
  EXPECT_EQ(news.n, 0u);
  EXPECT_TRUE(quarantine_acquit(other, news.acquitted[0].part,
                                now - news.acquitted[0].age_ms * MP_MS, now));
  EXPECT_EQ(quarantine_held_until(other, part, now), 0);
  quarantine_free(other);
}

TEST_F(QuarantineTest, StrikesOfAHeldPartAccuseNoOther) {
  for (guint32 crash = 1; crash <= 4; crash++)
    add_strike(part, crash);
  for (guint32 crash = 2; crash <= 4; crash++)
    add_strike(twin, crash);
  EXPECT_TRUE(is_held(part));
  EXPECT_FALSE(is_held(twin));
  EXPECT_FALSE(quarantine_has_twin(table, part, &part, 1));
  for (guint32 crash = 11; crash <= 13; crash++)
    add_strike(twin, crash); /* its own */
  EXPECT_TRUE(is_held(twin));
}

/* Guards against a crashing request that another one, which ran beside it and
** once more while many endpoints ended, frees. */
TEST_F(QuarantineTest, StrikesOfAHeldRequestAccuseAnotherRequestToo) {
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(7, crash);
    add_strike(8, crash);
  }
  add_strike(8, 4);
  EXPECT_TRUE(is_held(8));
  EXPECT_TRUE(is_held(7));
}

/* Guards against a crashing request that a popular part frees, which went on
** well before many endpoints ended and was beside it at each end. */
TEST_F(QuarantineTest, StrikesOfAPartThatWentOnWellAccuseARequestToo) {
  quarantine_acquit(table, part, now, now);
  now += 10 * second;
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(7, crash);
    add_strike(part, crash);
    now += second;
  }
  EXPECT_TRUE(is_held(7));
  add_strike(part, 4);
  add_strike(part, 5);
  EXPECT_TRUE(is_held(part));
  EXPECT_TRUE(is_held(7));
}

TEST_F(QuarantineTest, RequestThatIsSentAgainIsBlamedBeforeItsParts) {
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(7, crash);
    add_strike(part, crash);
  }
  EXPECT_TRUE(is_held(7));
  EXPECT_FALSE(is_held(part));
  add_strike(part, 4); /* under another request */
  EXPECT_TRUE(is_held(part));
}

/* An operator who lifts a request found it refused all the same, since a part
** of its prompt had the same strikes and was held from then on. */
TEST_F(QuarantineTest, LiftedRequestFreesThePartsItExplained) {
  const guint64 part = 8 | QUARANTINE_PART_BIT;
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(7, crash);
    add_strike(part, crash);
  }
  quarantine_lift(table, 7, now);
  EXPECT_FALSE(is_held(7));
  EXPECT_FALSE(is_held(part));
  merge_report(part, {1, 2, 3});
  EXPECT_FALSE(is_held(part));
}

/* The part crashed an endpoint under another request, too, so the lifted
** request is not the cause of its strikes. */
TEST_F(QuarantineTest, LiftedRequestLeavesAPartWithMoreStrikesHeld) {
  const guint64 part = 8 | QUARANTINE_PART_BIT;
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(7, crash);
    add_strike(part, crash);
  }
  add_strike(part, 4);
  quarantine_lift(table, 7, now);
  EXPECT_TRUE(is_held(part));
}

/* Two objects in the store for one deadly request: an operator cannot tell
** which of them to lift. */
TEST_F(QuarantineTest, PartIsStoredOnlyWhenItIsHeld) {
  const guint64 part = 8 | QUARANTINE_PART_BIT;
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(part, crash);
    add_strike(7, crash);
    EXPECT_NE(next_save().record.content, part);
  }
  QuarantineSave request = next_save();
  quarantine_merge_stored(table, &request.record, store_position(0, 40), now);
  EXPECT_EQ(next_save().record.count, 0u);
  add_strike(part, 4);
  EXPECT_EQ(next_save().record.content, part);
}

TEST_F(QuarantineTest, TwinsAreToldApartByOneTrialAtATime) {
  for (guint32 crash = 1; crash <= 3; crash++) {
    add_strike(part, crash);
    add_strike(twin, crash);
  }
  guint64 both[] = {part, twin};
  EXPECT_TRUE(is_held(part) && is_held(twin));
  EXPECT_TRUE(quarantine_has_twin(table, twin, &twin, 1));
  EXPECT_FALSE(quarantine_has_twin(table, twin, both, 2));
  EXPECT_TRUE(quarantine_begin_trial(table, twin, now));
  EXPECT_FALSE(quarantine_begin_trial(table, twin, now + second));
  EXPECT_TRUE(quarantine_begin_trial(table, twin, now + 6 * second));
  EXPECT_FALSE(quarantine_begin_trial(table, twin, now + 60 * second));
  add_strike(part, 4); /* a trial of the other one crashed an endpoint */
  EXPECT_TRUE(is_held(part));
  EXPECT_FALSE(is_held(twin));
}

/* }== Parts of prompts =================================================== */

} // namespace
