/*
** test_quarantine.cc
** The strikes against requests: merged in any order, held, lifted, kept
*/

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

extern "C" {
#include "router/quarantine.h"
}

namespace {

constexpr gint64 second = MP_SEC;
constexpr gint64 hour = 3600 * second;
constexpr gint64 day = 24 * hour;
/* Unix time less the steady clock's */
constexpr gint64 offset = 1700000000LL * second;

QuarantineSuspect suspect(guint64 content) {
  return {content, "q1", "route", nullptr};
}

QuarantineRecord record(guint64 content, const std::vector<guint32> &crashes,
                        gint64 last = 0) {
  QuarantineRecord out = {};
  out.content = content;
  for (guint32 crash : crashes)
    out.crashes[out.count++] = crash;
  out.last_unix_ms = last;
  return out;
}

struct Table : ::testing::Test {
  Quarantine *table = quarantine_new(offset, 1);
  gint64 now = 1000 * second;

  ~Table() override {
    quarantine_free(table);
  }
  bool strike(guint64 content, guint32 crash) {
    QuarantineSuspect one = suspect(content);
    return quarantine_add_strike(table, &one, crash, now);
  }
  bool hear(guint64 content, const std::vector<guint32> &crashes,
            gint64 last = 0) {
    QuarantineRecord told = record(content, crashes, last);
    return quarantine_merge(table, &told, now);
  }
  bool is_held(guint64 content) {
    return quarantine_held_until(table, content, now) != 0;
  }
  /* the next write to the store; count 0: there is none */
  QuarantineSave save() {
    QuarantineSave out = {};
    quarantine_next_save(table, &out, now);
    return out;
  }
};

TEST_F(Table, TheThirdEndHoldsARequestAndNoOther) {
  EXPECT_TRUE(strike(7, 1));
  EXPECT_TRUE(strike(7, 2));
  EXPECT_TRUE(strike(8, 2));
  EXPECT_FALSE(is_held(7));
  EXPECT_TRUE(strike(7, 3));
  EXPECT_TRUE(is_held(7));
  EXPECT_FALSE(is_held(8));
}

TEST_F(Table, OneEndCountsOnceWhoeverTellsIt) {
  EXPECT_TRUE(strike(7, 1));
  EXPECT_FALSE(strike(7, 1));
  EXPECT_FALSE(hear(7, {1}));
  EXPECT_TRUE(hear(7, {1, 2}));
  EXPECT_FALSE(hear(7, {2, 1}));
  EXPECT_EQ(quarantine_strike_count(table, 7), 2u);
}

/* each end of a hold lets it be tried; it ends an endpoint each time */
TEST_F(Table, AtMostThreeAreTriedAfterTheThirdHoweverLongItIsSent) {
  guint32 crash = 0;
  unsigned after_third = 0;
  for (gint64 until = now + 365 * day; now < until; now += 60 * second) {
    quarantine_expire(table, now);
    if (is_held(7))
      continue;
    after_third += quarantine_strike_count(table, 7) >= 3;
    strike(7, ++crash);
  }
  EXPECT_EQ(crash, 6u);
  EXPECT_LE(after_third, 3u);
  EXPECT_EQ(quarantine_held_until(table, 7, now), G_MAXINT64);
}

TEST_F(Table, AHoldEndsAndTheNextIsLonger) {
  for (guint32 crash = 1; crash <= 3; crash++)
    strike(7, crash);
  gint64 first = quarantine_held_until(table, 7, now) - now;
  now += first;
  EXPECT_FALSE(is_held(7));
  strike(7, 4);
  EXPECT_GT(quarantine_held_until(table, 7, now) - now, first);
}

TEST_F(Table, AGoodRunTakesOneStrikeOffAndNoneOfAHeldOne) {
  strike(7, 1);
  strike(7, 2);
  quarantine_run_succeeded(table, 7);
  EXPECT_EQ(quarantine_strike_count(table, 7), 1u);
  EXPECT_FALSE(hear(7, {1, 2})); /* told late */
  EXPECT_EQ(quarantine_strike_count(table, 7), 1u);
  strike(7, 3);
  strike(7, 4);
  EXPECT_TRUE(is_held(7));
  quarantine_run_succeeded(table, 7);
  EXPECT_TRUE(is_held(7));
}

/* what many callers send runs wherever an endpoint ends */
TEST_F(Table, ARequestThatRunsWellBetweenEndsIsNeverHeld) {
  for (guint32 crash = 1; crash < 1000; crash++) {
    strike(7, crash);
    quarantine_run_succeeded(table, 7);
    now += 10 * second;
    EXPECT_FALSE(is_held(7));
  }
}

TEST_F(Table, WhatAnOperatorLiftsDoesNotComeBackWhenItIsToldLate) {
  for (guint32 crash = 1; crash <= 4; crash++)
    strike(7, crash);
  quarantine_lift(table, 7, now);
  EXPECT_FALSE(is_held(7));
  hear(7, {1, 2, 3, 4});
  EXPECT_FALSE(is_held(7));
  for (guint32 crash = 11; crash <= 13; crash++)
    strike(7, crash);
  EXPECT_TRUE(is_held(7));
}

TEST_F(Table, StrikesBelowAHoldAreForgottenAfterAnHour) {
  strike(7, 1);
  strike(7, 2);
  now += hour + second;
  quarantine_expire(table, now);
  EXPECT_EQ(quarantine_strike_count(table, 7), 0u);
}

TEST_F(Table, ItsSizeIsBoundedAndHeldOnesStay) {
  guint suspects;
  guint held;
  for (guint32 crash = 1; crash <= 3; crash++)
    strike(7, crash);
  for (guint64 content = 100; content < 10100; content++) {
    now += second / 100;
    strike(content, 5);
  }
  EXPECT_TRUE(is_held(7));
  quarantine_count(table, now, &suspects, &held);
  EXPECT_LE(suspects, 4096u);
  EXPECT_EQ(held, 1u);
}

TEST_F(Table, NewsFitIntoOneDatagramWithTheGravestFirst) {
  mp_CrashUpdate news;
  for (guint64 content = 100; content < 200; content++)
    strike(content, 1);
  strike(150, 2);
  strike(151, 2);
  quarantine_write_news(table, FALSE, &news, now);
  EXPECT_EQ(news.n, static_cast<unsigned>(MP_CRASH_ROWS));
  unsigned grave = 0;
  for (unsigned i = 0; i < news.n; i++)
    grave += news.row[i].n == 2;
  EXPECT_EQ(grave, 2u);
}

TEST_F(Table, ItTellsWhatItSawForSomeSecondsAndWhatItHeardOnlyWhenAsked) {
  mp_CrashUpdate news;
  strike(7, 1);
  hear(8, {1, 2});
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

TEST_F(Table, ASingleStrikeCostsNoCall) {
  strike(7, 1);
  EXPECT_EQ(save().record.count, 0u);
  strike(7, 2);
  EXPECT_EQ(save().record.count, 2u);
  EXPECT_EQ(save().position.revision, 0);
}

TEST_F(Table, WhatOthersSawIsTheirsToWrite) {
  hear(7, {1, 2, 3});
  EXPECT_EQ(save().record.count, 0u);
}

TEST_F(Table, AWriteThatMeetsAnothersIsMergedAndTriedAgain) {
  strike(7, 1);
  strike(7, 2);
  EXPECT_EQ(save().record.count, 2u);
  QuarantineRecord stands = record(7, {3, 4});
  quarantine_merge_stored(table, &stands, store_position(0, 40), now);
  quarantine_save_failed(table, 7, now);
  EXPECT_EQ(save().record.count, 0u); /* not at once */
  now += second;
  QuarantineSave again = save();
  EXPECT_EQ(again.record.count, 4u);
  EXPECT_EQ(again.position.revision, 40);
  quarantine_merge_stored(table, &again.record, store_position(0, 41), now);
  EXPECT_EQ(save().record.count, 0u);
}

TEST_F(Table, WhatIsOverIsRemovedFromTheStoreOnce) {
  strike(7, 1);
  strike(7, 2);
  QuarantineSave first = save();
  quarantine_merge_stored(table, &first.record, store_position(0, 40), now);
  now += 3 * hour;
  quarantine_expire(table, now);
  now += 61 * second; /* each instance waits its part of a minute */
  quarantine_expire(table, now);
  QuarantineSave removal = save();
  EXPECT_TRUE(removal.remove);
  EXPECT_EQ(removal.position.revision, 40);
  quarantine_lift(table, 7, now);
  EXPECT_FALSE(save().remove);
}

TEST_F(Table, AHoldLastsFromItsLastStrikeWhoeverReadsIt) {
  gint64 ago = 20 * 60 * second;
  hear(7, {1, 2, 3}, (now - ago + offset) / MP_MS);
  EXPECT_EQ(quarantine_held_until(table, 7, now), now - ago + hour);
  hear(8, {1, 2, 3}, (now + day + offset) / MP_MS); /* a clock went wrong */
  EXPECT_EQ(quarantine_held_until(table, 8, now), now + hour);
}

/* instances that tell each other in any order, with losses, agree */
TEST(Quarantines, AgreeInWhateverOrderTheyHear) {
  for (unsigned seed = 1; seed <= 50; seed++) {
    std::mt19937 random(seed);
    std::vector<Quarantine *> tables;
    gint64 now = 1000 * second;
    std::map<guint64, std::vector<guint32>> ends;
    for (guint64 i = 0; i < 5; i++)
      tables.push_back(quarantine_new(offset, i));
    for (guint32 crash = 1; crash <= 12; crash++) {
      guint64 content = 1 + random() % 3;
      if (ends[content].size() == QUARANTINE_STRIKES_MAX)
        continue;
      ends[content].push_back(crash);
      QuarantineSuspect one = suspect(content);
      quarantine_add_strike(tables[random() % 5], &one, crash, now);
    }
    for (int round = 0; round < 200; round++) {
      mp_CrashUpdate news;
      quarantine_write_news(tables[random() % 5], TRUE, &news, now);
      Quarantine *to = tables[random() % 5];
      for (unsigned i = 0; i < news.n; i++) {
        std::vector<guint32> crashes(news.row[i].crash,
                                     news.row[i].crash + news.row[i].n);
        QuarantineRecord told = record(news.row[i].request, crashes);
        quarantine_merge(to, &told, now);
      }
    }
    for (auto &[content, crashes] : ends) {
      for (Quarantine *table : tables)
        EXPECT_EQ(quarantine_strike_count(table, content), crashes.size())
            << "seed " << seed;
    }
    for (Quarantine *table : tables)
      quarantine_free(table);
  }
}

TEST_F(Table, WhatARestoredStoreLostIsWrittenAgainByWhoSawIt) {
  strike(7, 1);
  strike(7, 2);
  QuarantineSave first = save();
  quarantine_merge_stored(table, &first.record, store_position(1, 40), now);
  hear(8, {1, 2, 3});
  ASSERT_EQ(save().record.count, 0u);
  quarantine_store_restored(table, 2);
  QuarantineSave again = save();
  EXPECT_EQ(again.record.content, 7u);
  EXPECT_EQ(again.record.count, 2u);
  EXPECT_TRUE(store_position_is_none(again.position));
  quarantine_merge_stored(table, &again.record, store_position(2, 12), now);
  EXPECT_EQ(save().record.count, 0u);
  quarantine_store_restored(table, 2); /* heard once more, from another one */
  EXPECT_EQ(save().record.count, 0u);
}

} // namespace
