/*
** test_lease.cc
** Tests of the lease that allows one instance at a time to send orders to
** engines: who holds it, from when, and until when
*/

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <string>

extern "C" {
#include "router/lease.h"
}

namespace {

constexpr gint64 second = MP_SEC;
constexpr gint64 length = 3 * second;

struct LeaseTest : ::testing::Test {
  Lease lease;
  StoreCall call;
  LeaseRecord record;
  gint64 now = 100 * second;
  guint64 era = 0; /* of the store */

  void SetUp() override {
    lease_init(&lease, "me", length, now - 2 * length);
  }
  void TearDown() override {
    lease_clear(&lease);
  }

  /* Advances the clock until a call is due; returns its operation, or -1 when
  ** none is due within 30 s. */
  int next() {
    for (int i = 0; i < 300; i++, now += second / 10) {
      if (lease_begin_call(&lease, &call, &record, now))
        return call.operation;
    }
    return -1;
  }
  void answer(StoreStatus status, gint64 revision = 0,
              const char *holder = "me", guint64 term = 1) {
    LeaseReply reply = {};
    reply.status = status;
    reply.position = store_position(era, revision);
    reply.era = era;
    reply.record.holder = const_cast<char *>(holder);
    reply.record.term = term;
    lease_handle_reply(&lease, &reply, now);
  }
  bool is_held() const {
    return lease_is_held(&lease, 0, now);
  }
};

/* A lease that another writer has corrupted must expire like that of another
** holder, instead of blocking for good. */
TEST_F(LeaseTest, UnreadableLeaseIsTakenOnceItHasExpired) {
  gint64 began = now;
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_OK, 7, nullptr, 0);
  EXPECT_FALSE(is_held());
  while (next() == STORE_READ)
    answer(STORE_OK, 7, nullptr, 0);
  EXPECT_EQ(call.operation, STORE_REPLACE);
  EXPECT_EQ(call.position.revision, 7);
  EXPECT_GE(now - began, length);
  EXPECT_LE(now - began, 4 * length);
  answer(STORE_OK, 8);
  EXPECT_TRUE(is_held());
}

TEST_F(LeaseTest, MissingLeaseIsCreated) {
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_NOT_FOUND);
  EXPECT_FALSE(is_held());
  ASSERT_EQ(next(), STORE_CREATE);
  EXPECT_STREQ(call.lease->holder, "me");
  answer(STORE_OK, 7);
  EXPECT_TRUE(is_held());
  EXPECT_EQ(lease.position.revision, 7);
}

TEST_F(LeaseTest, LeaseRunsFromTheCallNotFromItsAnswer) {
  next();
  answer(STORE_NOT_FOUND);
  next();
  now += 2 * second; /* the store answers slowly */
  answer(STORE_OK, 7);
  EXPECT_TRUE(is_held());
  now += second;
  EXPECT_FALSE(is_held());
}

TEST_F(LeaseTest, LeaseOfAnotherHolderIsTakenAfterTwoUnchangedLengths) {
  gint64 seen;
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_OK, 40, "other", 5);
  seen = now;
  for (int operation = next(); operation == STORE_READ; operation = next())
    answer(STORE_OK, 40, "other", 5);
  EXPECT_EQ(call.operation, STORE_REPLACE);
  EXPECT_EQ(call.position.revision, 40);
  EXPECT_EQ(call.lease->term, 6u);
  EXPECT_GE(now - seen, 2 * length);
  answer(STORE_OK, 41, "me", 6);
  EXPECT_TRUE(is_held());
}

TEST_F(LeaseTest, ChangeOfHolderRestartsTheWait) {
  gint64 seen;
  next();
  answer(STORE_OK, 40, "other", 5);
  while (next() == STORE_READ)
    answer(STORE_OK, 40, "other", 5);
  answer(STORE_CONFLICT, 44, "third", 6); /* another instance was faster */
  seen = now;
  EXPECT_FALSE(is_held());
  while (next() == STORE_READ)
    answer(STORE_OK, 44, "third", 6);
  EXPECT_EQ(call.position.revision, 44);
  EXPECT_GE(now - seen, 2 * length);
}

TEST_F(LeaseTest, OwnLeaseIsTakenAgainAtOnceWithAHigherFence) {
  gint64 first;
  next();
  answer(STORE_NOT_FOUND);
  next();
  answer(STORE_OK, 7, "me", 1);
  first = now;
  ASSERT_EQ(next(), STORE_REPLACE);
  EXPECT_EQ(now, first);
  EXPECT_EQ(call.position.revision, 7);
  EXPECT_EQ(call.lease->term, 2u);
  answer(STORE_OK, 12, "me", 2);
  EXPECT_EQ(lease.position.revision, 12);
}

TEST_F(LeaseTest, FailedWriteGrantsNothingAndIsFollowedByARead) {
  next();
  answer(STORE_NOT_FOUND);
  next();
  answer(STORE_FAILED); /* the write may be executed, now or later */
  EXPECT_FALSE(is_held());
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_OK, 9, "me", 1);
  EXPECT_FALSE(is_held()); /* a read grants nothing either */
  ASSERT_EQ(next(), STORE_REPLACE);
  EXPECT_EQ(call.position.revision, 9);
  answer(STORE_OK, 11, "me", 2);
  EXPECT_TRUE(is_held());
}

TEST_F(LeaseTest, GivenUpLeaseIsNotTakenForTwoLengths) {
  gint64 lost;
  next();
  answer(STORE_NOT_FOUND);
  next();
  answer(STORE_OK, 7);
  lease_give_up(&lease, now);
  lost = now;
  EXPECT_FALSE(is_held());
  EXPECT_EQ(next(), STORE_READ);
  EXPECT_GE(now - lost, 2 * length);
}

TEST_F(LeaseTest, LengthOfZeroDisablesTheLease) {
  lease_clear(&lease);
  lease_init(&lease, "me", 0, now);
  EXPECT_EQ(next(), -1);
}

TEST_F(LeaseTest, NoSecondCallBeginsWhileOneIsOpen) {
  next();
  EXPECT_EQ(next(), -1);
  EXPECT_EQ(lease_next_call_time(&lease), G_MAXINT64);
}

/*
** {==================================================================
** A store that is restored from an older copy
** ===================================================================
*/

TEST_F(LeaseTest, ChangeOfEraEndsTheLease) {
  era = 1;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  answer(STORE_OK, 40);
  ASSERT_TRUE(is_held());
  lease_observe_era(&lease, 1, now);
  EXPECT_TRUE(is_held());
  lease_observe_era(&lease, 2, now);
  EXPECT_FALSE(is_held());
}

TEST_F(LeaseTest, LeaseLostByTheStoreIsTakenOnceEveryHolderHasExpired) {
  era = 1;
  next();
  answer(STORE_OK, 40, "other", 5);
  lease_observe_era(&lease, 2, now);
  gint64 heard = now;
  era = 2;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  EXPECT_EQ(call.operation, STORE_CREATE);
  EXPECT_GE(now - heard, 2 * length);
  answer(STORE_OK, 12);
  EXPECT_TRUE(is_held());
}

TEST_F(LeaseTest, FenceGrowsWhenTheRevisionGoesBack) {
  era = 1;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  answer(STORE_OK, 4000);
  gint64 before = lease_fence(&lease);
  lease_observe_era(&lease, 2, now);
  era = 2;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  answer(STORE_OK, 12);
  EXPECT_GT(lease_fence(&lease), before);
}

/* The object may belong to another holder, because the restored store assigns
** the same revision again. */
TEST_F(LeaseTest, WriteOfAnOlderEraGrantsNothing) {
  era = 1;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  answer(STORE_OK, 7);
  now += length;
  ASSERT_EQ(next(), STORE_REPLACE);
  era = 2;
  answer(STORE_OK, 8);
  EXPECT_FALSE(is_held());
  EXPECT_EQ(next(), STORE_READ);
}

/* A store that was restored shortly before may have lost another lease. */
TEST_F(LeaseTest, RestartedInstanceWaitsBeforeItCreatesTheLease) {
  lease_clear(&lease);
  lease_init(&lease, "me", length, now);
  gint64 started = now;
  while (next() == STORE_READ)
    answer(STORE_NOT_FOUND);
  EXPECT_EQ(call.operation, STORE_CREATE);
  EXPECT_GE(now - started, 2 * length);
}

/*
** A random schedule of three instances, each of which may be cut off or
** restarted, and a store that may be restored from a snapshot. Whatever is
** lost or late, no two instances hold the lease within one length of each
** other, and the fence grows with each holder.
*/
struct LeaseSchedule {
  static constexpr gint64 tick = second / 10;
  static constexpr gint64 snapshot_age_max = 20 * second;
  struct Object {
    gint64 revision = 0; /* 0: there is none */
    std::string holder;
    guint64 term = 0;
  };
  struct Instance {
    Lease lease = {};
    std::string name;
    gint64 answer_at = 0; /* when the open call is answered; 0: none is open */
    gint64 execute_at = 0;
    bool lost = false; /* the answer is lost */
    bool executed = false;
    LeaseReply reply = {};
    std::string holder_told;
    StoreCall call = {};
    guint64 term = 0;
    bool is_cut_off = false;
  };
  std::mt19937 random;
  std::vector<std::unique_ptr<Instance>> all;
  Object object;
  gint64 revision = 100;
  guint64 era = 1;
  /* by time; each with the revision of the store */
  std::map<gint64, std::pair<Object, gint64>> snapshots;
  gint64 now = 1000 * second;
  const Instance *last = nullptr;
  gint64 last_held = 0;
  gint64 last_fence = 0;
  unsigned fence_changes = 0;
  std::string wrong;

  explicit LeaseSchedule(unsigned seed) : random(seed) {
    for (const char *name : {"one", "two", "three"}) {
      all.push_back(std::make_unique<Instance>());
      all.back()->name = name;
      lease_init(&all.back()->lease, name, length, now - 2 * length);
    }
  }
  ~LeaseSchedule() {
    for (auto &one : all)
      lease_clear(&one->lease);
  }
  bool chance(unsigned of) {
    return random() % of == 0;
  }
  void restart(Instance &one) {
    lease_clear(&one.lease);
    lease_init(&one.lease, one.name.c_str(), length, now);
    one.answer_at = 0;
    last = last == &one ? nullptr : last; /* it has lost its lease */
  }
  void restore() {
    gint64 then = now - static_cast<gint64>(random() % snapshot_age_max);
    auto copy = snapshots.upper_bound(then);
    if (copy == snapshots.begin())
      return;
    --copy;
    object = copy->second.first;
    revision = copy->second.second;
    snapshots.erase(std::next(copy), snapshots.end());
    era++;
  }
  void execute_call(Instance &one) {
    StoreOperation what = one.call.operation;
    bool fits = object.revision == one.call.position.revision;
    one.executed = true;
    one.reply = {};
    one.reply.era = era;
    one.reply.status = object.revision > 0 ? STORE_OK : STORE_NOT_FOUND;
    if (what == STORE_CREATE && object.revision > 0)
      one.reply.status = STORE_CONFLICT;
    else if (what == STORE_REPLACE && object.revision > 0 && !fits)
      one.reply.status = STORE_CONFLICT;
    else if (what == STORE_CREATE ||
             (what == STORE_REPLACE && object.revision > 0)) {
      object = {++revision, one.name, one.term};
      snapshots[now] = {object, revision};
      one.reply.status = STORE_OK;
    }
    one.reply.position = store_position(era, object.revision);
    one.holder_told = object.holder;
    one.reply.record.term = object.term;
  }
  void begin_call(Instance &one) {
    LeaseRecord record;
    if (!lease_begin_call(&one.lease, &one.call, &record, now))
      return;
    one.term = record.term;
    one.executed = false;
    one.lost = one.is_cut_off || chance(8);
    /* a write whose answer is lost may be executed seconds later */
    one.execute_at =
        now + (one.lost ? static_cast<gint64>(random() % 60) * tick : tick);
    one.answer_at = now + (one.lost ? 10 : 2) * tick;
  }
  void end_call(Instance &one) {
    if (one.answer_at == 0 || now < one.answer_at)
      return;
    one.answer_at = 0;
    one.reply.record.holder = one.holder_told.data();
    if (one.lost || !one.executed) {
      one.reply = {};
      one.reply.status = STORE_FAILED;
    }
    lease_handle_reply(&one.lease, &one.reply, now);
  }
  void check(const Instance &one) {
    if (!lease_is_held(&one.lease, 0, now))
      return;
    gint64 fence = lease_fence(&one.lease);
    if (last != &one && last != nullptr && now - last_held < length)
      wrong += one.name + " beside " + last->name + "; ";
    if (fence < last_fence)
      wrong += "fence " + std::to_string(fence) + " falls; ";
    fence_changes += fence != last_fence;
    last_fence = fence;
    last_held = now;
    last = &one;
  }
  void step() {
    if (chance(300))
      restore();
    snapshots.erase(snapshots.begin(),
                    snapshots.lower_bound(now - 2 * snapshot_age_max));
    snapshots[now] = {object, revision};
    for (auto &one : all) {
      if (chance(400))
        restart(*one);
      if (chance(200))
        one->is_cut_off = !one->is_cut_off;
      if (!one->is_cut_off && chance(10))
        lease_observe_era(&one->lease, era, now);
      if (!one->executed && one->answer_at != 0 && now >= one->execute_at &&
          !one->is_cut_off)
        execute_call(*one);
      end_call(*one);
      if (chance(3))
        begin_call(*one);
      check(*one);
    }
    now += tick;
  }
};

TEST(LeaseRandomSchedules, HoldersNeverOverlapAndTheFenceNeverFalls) {
  unsigned fence_changes = 0;
  for (unsigned seed = 1; seed <= 300; seed++) {
    LeaseSchedule schedule(seed);
    for (int i = 0; i < 3000 && schedule.wrong.empty(); i++)
      schedule.step();
    EXPECT_EQ(schedule.wrong, "") << "seed " << seed;
    fence_changes += schedule.fence_changes;
  }
  /* a lease that rarely changes hands would prove nothing */
  EXPECT_GE(fence_changes, 10000u);
}

/* }================================================================== */

} // namespace
