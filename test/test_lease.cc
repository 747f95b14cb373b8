/*
** test_lease.cc
** The lease on giving orders: who holds it, from when, until when
*/

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "router/lease.h"
}

namespace {

constexpr gint64 second = MP_SEC;
constexpr gint64 length = 3 * second;

struct Leased : ::testing::Test {
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

  /* the next call, waited for if need be; -1 when none comes in 30 s */
  int next() {
    for (int i = 0; i < 300; i++, now += second / 10) {
      if (lease_step(&lease, &call, &record, now))
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
    lease_reply(&lease, &reply, now);
  }
  bool held() const {
    return lease_held(&lease, 0, now);
  }
};

/* another writer spoilt it: it is waited for like another holder's, not for
 * good */
TEST_F(Leased, OneThatCannotBeReadIsTakenOnceItHasLapsed) {
  gint64 began = now;
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_OK, 7, nullptr, 0);
  EXPECT_FALSE(held());
  while (next() == STORE_READ)
    answer(STORE_OK, 7, nullptr, 0);
  EXPECT_EQ(call.operation, STORE_REPLACE);
  EXPECT_EQ(call.position.revision, 7);
  EXPECT_GE(now - began, length);
  EXPECT_LE(now - began, 4 * length);
  answer(STORE_OK, 8);
  EXPECT_TRUE(held());
}

TEST_F(Leased, IsCreatedWhereThereIsNone) {
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_ABSENT);
  EXPECT_FALSE(held());
  ASSERT_EQ(next(), STORE_CREATE);
  EXPECT_STREQ(call.lease->holder, "me");
  answer(STORE_OK, 7);
  EXPECT_TRUE(held());
  EXPECT_EQ(lease.position.revision, 7);
}

TEST_F(Leased, LapsesCountedFromTheCallNotFromItsAnswer) {
  next();
  answer(STORE_ABSENT);
  next();
  now += 2 * second; /* the store was slow */
  answer(STORE_OK, 7);
  EXPECT_TRUE(held());
  now += second;
  EXPECT_FALSE(held());
}

TEST_F(Leased, AnothersIsTakenOnlyAfterItStoodStillForTwoLengths) {
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
  EXPECT_TRUE(held());
}

TEST_F(Leased, AnotherHolderMakesItWaitAnew) {
  gint64 seen;
  next();
  answer(STORE_OK, 40, "other", 5);
  while (next() == STORE_READ)
    answer(STORE_OK, 40, "other", 5);
  answer(STORE_EXISTS, 44, "third", 6); /* somebody was faster */
  seen = now;
  EXPECT_FALSE(held());
  while (next() == STORE_READ)
    answer(STORE_OK, 44, "third", 6);
  EXPECT_EQ(call.position.revision, 44);
  EXPECT_GE(now - seen, 2 * length);
}

TEST_F(Leased, OnesOwnIsTakenAgainAtOnceUnderAHigherFence) {
  gint64 first;
  next();
  answer(STORE_ABSENT);
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

TEST_F(Leased, ACallWithoutAnswerGivesNothingAndIsReadFirst) {
  next();
  answer(STORE_ABSENT);
  next();
  answer(STORE_FAILED); /* it may have been done, or be done later */
  EXPECT_FALSE(held());
  ASSERT_EQ(next(), STORE_READ);
  answer(STORE_OK, 9, "me", 1);
  EXPECT_FALSE(held()); /* reading gives nothing either */
  ASSERT_EQ(next(), STORE_REPLACE);
  EXPECT_EQ(call.position.revision, 9);
  answer(STORE_OK, 11, "me", 2);
  EXPECT_TRUE(held());
}

TEST_F(Leased, OneThatIsLostIsNotHeldAndRests) {
  gint64 lost;
  next();
  answer(STORE_ABSENT);
  next();
  answer(STORE_OK, 7);
  lease_lose(&lease, now);
  lost = now;
  EXPECT_FALSE(held());
  EXPECT_EQ(next(), STORE_READ);
  EXPECT_GE(now - lost, 2 * length);
}

TEST_F(Leased, WithoutALengthThereIsNoLease) {
  lease_clear(&lease);
  lease_init(&lease, "me", 0, now);
  EXPECT_EQ(next(), -1);
}

TEST_F(Leased, OneCallAtATime) {
  next();
  EXPECT_EQ(next(), -1);
  EXPECT_EQ(lease_next(&lease), G_MAXINT64);
}

/*
** {==================================================================
** A store that comes back from an older copy
** ===================================================================
*/

TEST_F(Leased, IsNotHeldOverAChangeOfEra) {
  era = 1;
  next();
  answer(STORE_ABSENT);
  next();
  answer(STORE_OK, 40);
  ASSERT_TRUE(held());
  lease_hear_era(&lease, 1, now);
  EXPECT_TRUE(held());
  lease_hear_era(&lease, 2, now);
  EXPECT_FALSE(held());
}

TEST_F(Leased, OneThatWasLostIsTakenOnceEveryHoldersHasLapsed) {
  era = 1;
  next();
  answer(STORE_OK, 40, "other", 5);
  lease_hear_era(&lease, 2, now);
  gint64 heard = now;
  era = 2;
  while (next() == STORE_READ)
    answer(STORE_ABSENT);
  EXPECT_EQ(call.operation, STORE_CREATE);
  EXPECT_GE(now - heard, 2 * length);
  answer(STORE_OK, 12);
  EXPECT_TRUE(held());
}

TEST_F(Leased, TheFenceGrowsThoughTheRevisionGoesBack) {
  era = 1;
  next();
  answer(STORE_ABSENT);
  next();
  answer(STORE_OK, 4000);
  gint64 before = lease_fence(&lease);
  lease_hear_era(&lease, 2, now);
  era = 2;
  while (next() == STORE_READ)
    answer(STORE_ABSENT);
  answer(STORE_OK, 12);
  EXPECT_GT(lease_fence(&lease), before);
}

/* the object may be another holder's, whose revision was given out again */
TEST_F(Leased, AWriteThatWasMadeInAnOlderEraGivesNone) {
  era = 1;
  next();
  answer(STORE_ABSENT);
  next();
  answer(STORE_OK, 7);
  now += length;
  ASSERT_EQ(next(), STORE_REPLACE);
  era = 2;
  answer(STORE_OK, 8);
  EXPECT_FALSE(held());
  EXPECT_EQ(next(), STORE_READ);
}

/* it may have been lost by a store that was restored just before */
TEST_F(Leased, AnInstanceThatJustStartedWaitsBeforeItCreatesOne) {
  lease_clear(&lease);
  lease_init(&lease, "me", length, now);
  gint64 started = now;
  while (next() == STORE_READ)
    answer(STORE_ABSENT);
  EXPECT_EQ(call.operation, STORE_CREATE);
  EXPECT_GE(now - started, 2 * length);
}

/* }================================================================== */

} // namespace
