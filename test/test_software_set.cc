/*
** test_software_set.cc
** The set of versions at which streams of a service may have begun: which call
** to the store is next, and what the set allows
*/

#include <utility>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "router/software_set.h"
}

namespace {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;
constexpr gint64 lifetime = 30 * second;
constexpr gint64 news_age_max = 2500 * ms;
constexpr gint64 removal_delay = 3 * second;

class SoftwareSetTest : public testing::Test {
protected:
  SoftwareHistory *history = software_history_new();
  SoftwareSets *sets = software_sets_new(7);
  SoftwareView view = {};
  SoftwareSetCall call = {};
  gint64 now = 1000 * second;
  gint64 due = 0;
  bool first = true;
  gint64 revision = 0;
  const guint32 service = g_str_hash("llm");

  SoftwareSetTest() {
    view.history = history;
    view.followed_since = now;
    view.confirmed_at = now;
    view.news_age_max = news_age_max;
    view.data = this;
    view.is_first = [](gconstpointer data, guint32) -> gboolean {
      return static_cast<const SoftwareSetTest *>(data)->first;
    };
    software_sets_begin_services(sets, 1);
    software_sets_add_service(sets, "llm", lifetime);
    software_sets_end_services(sets);
  }
  ~SoftwareSetTest() override {
    software_sets_free(sets);
    software_history_free(history);
  }

  void list(guint64 software) {
    software_history_add(history, service, software, now);
  }
  void unlist(guint64 software) {
    software_history_remove(history, software, now);
  }
  /* Lets time pass while the list is confirmed twice a second. */
  void pass(gint64 span) {
    now += span;
    view.confirmed_at = now;
  }
  bool next() {
    return software_sets_next_call(sets, &view, &call, &due, now) != FALSE;
  }
  /* Returns the operation of the next call within 'span'; -1: there is none.
   */
  int next_within(gint64 span) {
    for (gint64 until = now + span; now <= until; pass(10 * ms)) {
      if (next())
        return call.operation;
    }
    return -1;
  }
  static SoftwareSetRecord
  record_of(const std::vector<std::pair<guint64, bool>> &versions) {
    SoftwareSetRecord record = {};
    for (auto [software, expiring] : versions)
      record.entries[record.count++] = {software, expiring};
    return record;
  }
  void reply(StoreStatus status, const SoftwareSetRecord *record = nullptr) {
    SoftwareSetReply answer = {status, store_position(1, ++revision), record};
    software_sets_reply(sets, &answer, now);
  }
  void answer(const std::vector<std::pair<guint64, bool>> &versions,
              StoreStatus status = STORE_OK) {
    SoftwareSetRecord record = record_of(versions);
    reply(status, &record);
  }
  /* The store carries the open write out. */
  void accept() {
    SoftwareSetRecord record = call.record;
    reply(STORE_OK, &record);
  }
  /* Reads these versions, and has the list confirmed. */
  void begin_with(const std::vector<std::pair<guint64, bool>> &versions) {
    ASSERT_TRUE(next());
    ASSERT_EQ(call.operation, STORE_READ);
    answer(versions);
    pass(100 * ms);
  }
  guint64 only() {
    return software_sets_only(sets, service, &view, 0, now);
  }
  std::vector<guint64> allowed() {
    guint count = 0;
    const guint64 *list = software_sets_allowed(sets, service, &view, &count);
    return {list, list + count};
  }
  bool restricts() {
    guint count = 0;
    return software_sets_allowed(sets, service, &view, &count) != nullptr;
  }
  std::vector<std::pair<guint64, bool>> written() {
    std::vector<std::pair<guint64, bool>> versions;
    for (guint i = 0; i < call.record.count; i++)
      versions.emplace_back(call.record.entries[i].software,
                            call.record.entries[i].expiring != FALSE);
    return versions;
  }
};

using Versions = std::vector<std::pair<guint64, bool>>;

TEST_F(SoftwareSetTest, ReadsAtOnceAndVouchesForTheOnlyVersion) {
  list(1);
  EXPECT_EQ(only(), 0u);
  begin_with({{1, false}});
  EXPECT_EQ(only(), 1u);
  EXPECT_EQ(next_within(5 * second), -1);
}

TEST_F(SoftwareSetTest, VouchesForAMarkedVersionThatIsTheOnlyOne) {
  list(1);
  begin_with({{1, true}});
  EXPECT_EQ(only(), 1u);
}

TEST_F(SoftwareSetTest, DoesNotVouchForOneOfTwo) {
  list(1);
  begin_with({{1, false}, {2, true}});
  EXPECT_EQ(only(), 0u);
}

/* Guards against a stream of a version that left before the read. */
TEST_F(SoftwareSetTest, DoesNotVouchWhileTheListHasHeldAnother) {
  list(1);
  list(2);
  begin_with({{1, false}});
  unlist(2);
  pass(lifetime / 2);
  EXPECT_EQ(only(), 0u);
}

TEST_F(SoftwareSetTest, DoesNotVouchForAVersionThatIsNotListed) {
  begin_with({{1, false}});
  EXPECT_EQ(only(), 0u);
}

/* Guards against what others began in a gap of the list. */
TEST_F(SoftwareSetTest, ReadsAgainAfterAGap) {
  list(1);
  begin_with({{1, false}});
  pass(10 * second);
  view.followed_since = now;
  EXPECT_EQ(only(), 0u);
  EXPECT_TRUE(allowed().empty());
  EXPECT_EQ(next_within(600 * ms), STORE_READ);
  answer({{1, false}});
  EXPECT_EQ(only(), 1u);
}

TEST_F(SoftwareSetTest, MakesNoCallBeforeTheListIsKnownOrWhileItIsOld) {
  list(1);
  view.followed_since = 0;
  EXPECT_FALSE(next());
  view.followed_since = now;
  now += news_age_max + 1;
  EXPECT_FALSE(next());
}

/* Guards against streams of instances that knew no set: they may have begun at
** a version that this instance has not seen. */
TEST_F(SoftwareSetTest, CreatesTheSetOnlyAfterTheKeepTime) {
  gint64 start = now;
  list(1);
  ASSERT_TRUE(next());
  reply(STORE_NOT_FOUND);
  EXPECT_FALSE(restricts());
  pass(10 * ms);
  list(2);
  pass(second);
  unlist(2);
  ASSERT_EQ(next_within(lifetime), STORE_READ); /* for the new version */
  reply(STORE_NOT_FOUND);
  ASSERT_EQ(next_within(lifetime), STORE_CREATE);
  EXPECT_GE(now - start, lifetime);
  EXPECT_EQ(written(), (Versions{{1, false}, {2, false}}));
  accept();
  EXPECT_EQ(only(), 0u);
  EXPECT_TRUE(restricts());
}

TEST_F(SoftwareSetTest, AnotherReadsAgainBeforeItCreatesTheSet) {
  gint64 start = now;
  first = false;
  list(1);
  ASSERT_TRUE(next());
  reply(STORE_NOT_FOUND);
  ASSERT_EQ(next_within(lifetime + 11 * second), STORE_READ);
  EXPECT_GE(now - start, lifetime + 2 * second);
  reply(STORE_NOT_FOUND);
  EXPECT_EQ(next_within(second), STORE_CREATE);
  answer({{1, false}}, STORE_CONFLICT);
  EXPECT_EQ(next_within(5 * second), -1);
}

TEST_F(SoftwareSetTest, FirstAddsANewVersionAtOnce) {
  list(1);
  begin_with({{1, false}});
  pass(lifetime);
  list(2);
  EXPECT_TRUE(restricts());
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
  ASSERT_EQ(next_within(60 * ms), STORE_READ);
  answer({{1, false}});
  ASSERT_TRUE(next());
  EXPECT_EQ(call.operation, STORE_REPLACE);
  EXPECT_EQ(call.position.revision, revision);
  EXPECT_EQ(written(), (Versions{{1, false}, {2, false}}));
  accept();
  pass(10 * ms);
  EXPECT_EQ(allowed(), (std::vector<guint64>{1, 2}));
  EXPECT_EQ(only(), 0u);
}

/* Guards against a write by each of hundreds of instances. */
TEST_F(SoftwareSetTest, OthersAddOnlyWhatIsLackingAtTheirSecondRead) {
  first = false;
  list(1);
  begin_with({{1, false}});
  pass(lifetime);
  gint64 at = now;
  list(2);
  ASSERT_EQ(next_within(600 * ms), STORE_READ);
  EXPECT_GE(now - at, 100 * ms);
  answer({{1, false}});
  EXPECT_FALSE(next());
  ASSERT_EQ(next_within(900 * ms), STORE_READ);
  answer({{1, false}});
  ASSERT_EQ(next_within(0), STORE_REPLACE);
  EXPECT_LE(now - at, 2 * second);
  answer({{1, false}, {2, false}, {3, false}}, STORE_CONFLICT);
  EXPECT_EQ(next_within(5 * second), -1);
}

/* Guards against a list that is older than the addition. */
TEST_F(SoftwareSetTest, AllowsAVersionOnceTheListIsConfirmedAfterTheAnswer) {
  list(1);
  ASSERT_TRUE(next());
  now += 100 * ms;
  answer({{1, false}});
  EXPECT_TRUE(allowed().empty());
  pass(10 * ms);
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
}

TEST_F(SoftwareSetTest, AllowsNoVersionOfAnOlderRead) {
  list(1);
  begin_with({{1, false}, {2, false}});
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
  list(2);
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
  ASSERT_EQ(next_within(60 * ms), STORE_READ);
  answer({{1, false}, {2, false}});
  pass(10 * ms);
  EXPECT_EQ(allowed(), (std::vector<guint64>{1, 2}));
}

TEST_F(SoftwareSetTest, MarksThenRemovesAVersionThatHasLeft) {
  list(1);
  list(2);
  begin_with({{1, false}, {2, false}});
  pass(second);
  unlist(2);
  gint64 left = now;
  ASSERT_EQ(next_within(2 * lifetime), STORE_REPLACE);
  EXPECT_GE(now - left, lifetime);
  EXPECT_EQ(written(), (Versions{{1, false}, {2, true}}));
  accept();
  gint64 marked = now;
  ASSERT_EQ(next_within(10 * second), STORE_REPLACE);
  EXPECT_GE(now - marked, removal_delay);
  EXPECT_EQ(written(), (Versions{{1, false}}));
  accept();
  EXPECT_EQ(next_within(lifetime), -1);
}

/* Guards against a removal of versions whose streams this instance, which has
** just started, can't know of. */
TEST_F(SoftwareSetTest, MarksAndRemovesNothingBeforeTheKeepTime) {
  list(1);
  begin_with({{1, false}, {2, false}, {3, true}});
  EXPECT_EQ(next_within(lifetime - second), -1);
}

TEST_F(SoftwareSetTest, RemovesNothingWithoutAListConfirmedAfterTheMark) {
  list(1);
  begin_with({{1, false}, {2, false}});
  ASSERT_EQ(next_within(2 * lifetime), STORE_REPLACE);
  gint64 confirmed = now;
  now += 10 * ms;
  accept();
  now = confirmed + news_age_max;
  view.confirmed_at = confirmed;
  EXPECT_FALSE(next());
  view.news_age_max = 10 * second;
  now = confirmed + 20 * second;
  view.confirmed_at = confirmed + 5 * ms;
  EXPECT_FALSE(next());
}

TEST_F(SoftwareSetTest, OnlyTheFirstMarksAndRemoves) {
  first = false;
  list(1);
  begin_with({{1, false}, {2, false}, {3, true}});
  EXPECT_EQ(next_within(2 * lifetime), -1);
}

/* Guards against a version that returned after the mark was sent. */
TEST_F(SoftwareSetTest, UnmarksAVersionThatReturns) {
  list(1);
  begin_with({{1, false}, {2, false}});
  ASSERT_EQ(next_within(2 * lifetime), STORE_REPLACE);
  accept();
  pass(second);
  list(2);
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
  ASSERT_EQ(next_within(60 * ms), STORE_READ);
  answer({{1, false}, {2, true}});
  ASSERT_TRUE(next());
  pass(10 * ms);
  EXPECT_EQ(allowed(), std::vector<guint64>{1});
  EXPECT_EQ(call.operation, STORE_REPLACE);
  EXPECT_EQ(written(), (Versions{{1, false}, {2, false}}));
  accept();
  pass(10 * ms);
  EXPECT_EQ(allowed(), (std::vector<guint64>{1, 2}));
}

/* Guards against trust in a write whose answer was lost: it may be carried out
** later or not at all. */
TEST_F(SoftwareSetTest, ReadsAgainAfterAFailedWrite) {
  list(1);
  begin_with({{1, false}});
  list(2);
  ASSERT_EQ(next_within(60 * ms), STORE_READ);
  answer({{1, false}});
  ASSERT_TRUE(next());
  reply(STORE_FAILED);
  EXPECT_FALSE(restricts());
  ASSERT_EQ(next_within(600 * ms), STORE_READ);
  answer({{1, false}, {2, false}});
  pass(10 * ms);
  EXPECT_EQ(allowed(), (std::vector<guint64>{1, 2}));
}

TEST_F(SoftwareSetTest, CallsASilentStoreLessOften) {
  unsigned calls = 0;
  list(1);
  for (gint64 end = now + 60 * second; now < end;) {
    if (next_within(10 * second) == -1)
      break;
    calls++;
    reply(STORE_FAILED);
  }
  EXPECT_GE(calls, 5u);
  EXPECT_LE(calls, 20u);
}

TEST_F(SoftwareSetTest, RestoredStoreIsReadAgainAndNotTrustedForTheKeepTime) {
  list(1);
  begin_with({{1, false}});
  software_sets_store_restored(sets, now);
  EXPECT_EQ(only(), 0u);
  ASSERT_EQ(next_within(500 * ms), STORE_READ);
  answer({{1, false}});
  EXPECT_EQ(only(), 0u);
  pass(lifetime);
  EXPECT_EQ(only(), 1u);
}

TEST_F(SoftwareSetTest, FullSetIsNeverExceeded) {
  Versions versions;
  for (guint64 i = 1; i <= SOFTWARE_SET_MAX; i++)
    versions.emplace_back(i, false);
  first = true;
  list(100);
  begin_with(versions);
  EXPECT_EQ(next_within(lifetime / 2), -1);
  EXPECT_EQ(only(), 0u);
}

TEST_F(SoftwareSetTest, AReadIsWaitedForUntilItsReplyOrFailure) {
  list(1);
  EXPECT_FALSE(software_sets_want_read(sets, service, &view, 0));
  ASSERT_TRUE(next());
  EXPECT_TRUE(software_sets_want_read(sets, service, &view, 0));
  EXPECT_FALSE(software_sets_want_read(sets, service + 1, &view, 0));
  reply(STORE_FAILED);
  EXPECT_FALSE(software_sets_want_read(sets, service, &view, 0));
  ASSERT_EQ(next_within(second), STORE_READ);
  answer({{1, false}});
  EXPECT_FALSE(software_sets_want_read(sets, service, &view, 0));
}

/* Guards against a version that was added after the last read. */
TEST_F(SoftwareSetTest, AnOlderReadDoesNotSayWhatTheSetHoldsNow) {
  list(1);
  begin_with({{1, false}});
  pass(second);
  EXPECT_EQ(software_sets_only(sets, service, &view, now, now), 0u);
  EXPECT_TRUE(software_sets_want_read(sets, service, &view, now));
  gint64 since = now;
  ASSERT_EQ(next_within(100 * ms), STORE_READ);
  answer({{1, false}});
  EXPECT_EQ(software_sets_only(sets, service, &view, since, now), 1u);
}

TEST_F(SoftwareSetTest, ServiceWithoutResumableRoutesNeedsNoCall) {
  EXPECT_FALSE(software_sets_begin_services(sets, 1));
  ASSERT_TRUE(software_sets_begin_services(sets, 2));
  software_sets_end_services(sets);
  list(1);
  EXPECT_EQ(next_within(second), -1);
}

TEST_F(SoftwareSetTest, ReplyForAServiceThatIsGoneIsIgnored) {
  list(1);
  ASSERT_TRUE(next());
  software_sets_begin_services(sets, 2);
  software_sets_end_services(sets);
  answer({{1, false}});
  EXPECT_EQ(only(), 0u);
  EXPECT_FALSE(restricts());
}

} // namespace
