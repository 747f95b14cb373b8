/*
** test_config_proof.cc
** Tests of the proof of a configuration's age: the latest time at which it is
** known to have been current. Covers delayed heartbeats, clocks that differ,
** and, with many instances, that no proof is later than the true time.
*/

#include <gtest/gtest.h>

#include <random>

#include "relay_world.h"

using namespace relaying;

namespace {

constexpr mp_Addr relay = 0x0a01000000010001;

/*
** {==================================================================
** One instance and one relay
** ===================================================================
*/

struct ConfigProofTest : ::testing::Test {
  ConfigProof proof = {};
  RelayClocks clocks = {};
  gint64 now = 50 * second;
  gint64 relay_ahead = 7000 * second; /* the relay's clock minus this one */

  void SetUp() override {
    config_proof_init(&proof);
    relay_clocks_init(&clocks);
    config_proof_advance_known(&proof, at_revision(10));
  }
  void TearDown() override {
    relay_clocks_clear(&clocks);
  }
  /* A heartbeat that was sent at this time of the local clock. */
  mp_RelayHeartbeat heartbeat(gint64 sent, guint32 proof_ms = 100,
                              guint64 changed = 10, gint64 asked = 0) const {
    mp_RelayHeartbeat out = {};
    out.changed[STORE_CONFIGURATION] =
        at_revision(static_cast<gint64>(changed));
    out.sent_us = static_cast<guint64>(sent + relay_ahead);
    out.proof_ms = proof_ms;
    out.asked_us = static_cast<guint64>(asked);
    return out;
  }
  void receive(const mp_RelayHeartbeat &heard) {
    relay_clocks_observe(&clocks, relay, &heard, now);
    config_proof_apply_heartbeat(&proof, &clocks, relay, &heard, now);
  }
  /* Requests a heartbeat now and receives it after 2 ms. */
  void exchange_to_bound_clock() {
    gint64 asked = now;
    now += 2 * ms;
    receive(heartbeat(asked + 1 * ms, 100, 10, asked));
  }
};

TEST_F(ConfigProofTest, NothingIsProvedAtFirst) {
  EXPECT_EQ(config_proof_age_ms(&proof, now), CONFIG_PROOF_NONE);
}

TEST_F(ConfigProofTest, HeartbeatOfAnUnboundedClockProvesNothing) {
  receive(heartbeat(now));
  EXPECT_EQ(proof.at, 0);
  EXPECT_TRUE(relay_clocks_must_bound(&clocks, relay, now));
  exchange_to_bound_clock();
  EXPECT_GT(proof.at, 0);
  EXPECT_FALSE(relay_clocks_must_bound(&clocks, relay, now));
}

TEST_F(ConfigProofTest, BoundClockProvesTheSendTimeMinusTheReportedAge) {
  exchange_to_bound_clock();
  gint64 sent = now + 200 * ms;
  now = sent + 1 * ms;
  receive(heartbeat(sent));
  EXPECT_LE(proof.at, sent - 100 * ms);
  EXPECT_GE(proof.at, sent - 100 * ms - 2 * ms);
}

TEST_F(ConfigProofTest, DelayedHeartbeatCountsFromItsSendTime) {
  exchange_to_bound_clock();
  gint64 sent = now + 200 * ms;
  now = sent + 4 * second; /* this process was suspended */
  receive(heartbeat(sent));
  EXPECT_LE(proof.at, sent - 100 * ms);
  EXPECT_GE(config_proof_age_ms(&proof, now), 4100u);
}

TEST_F(ConfigProofTest, DelayedAnswerBoundsTheClockLoosely) {
  gint64 asked = now;
  gint64 sent = now + 1 * ms;
  now += 3 * second;
  receive(heartbeat(sent, 100, 10, asked));
  EXPECT_LE(proof.at, sent - 100 * ms);
}

TEST_F(ConfigProofTest, HeartbeatWithUnknownChangesProvesNothing) {
  exchange_to_bound_clock();
  gint64 before = proof.at;
  now += 500 * ms;
  receive(heartbeat(now, 0, 11));
  EXPECT_EQ(proof.at, before);
  config_proof_advance_known(&proof, at_revision(11));
  receive(heartbeat(now, 0, 11));
  EXPECT_GT(proof.at, before);
}

/* Revisions of different eras of the store cannot be compared. */
TEST_F(ConfigProofTest, RelayOfAnotherEraProvesNothing) {
  exchange_to_bound_clock();
  gint64 before = proof.at;
  mp_RelayHeartbeat other = heartbeat(now, 0, 5);
  now += 500 * ms;
  other.sent_us += 500 * ms;
  other.changed[STORE_CONFIGURATION].era = 1;
  receive(other);
  EXPECT_EQ(proof.at, before);
  config_proof_advance_known(&proof, store_position(2, 31));
  receive(other);
  EXPECT_EQ(proof.at, before);
  other.changed[STORE_CONFIGURATION].era = 2;
  receive(other);
  EXPECT_GT(proof.at, before);
}

TEST_F(ConfigProofTest, RelayWithoutProofProvesNothing) {
  exchange_to_bound_clock();
  gint64 before = proof.at;
  now += 500 * ms;
  receive(heartbeat(now, CONFIG_PROOF_NONE));
  EXPECT_EQ(proof.at, before);
}

TEST_F(ConfigProofTest, RebootedRelayProvesNothingNewer) {
  exchange_to_bound_clock();
  gint64 before = proof.at;
  now += 500 * ms;
  relay_ahead = -now + 1 * second; /* its machine was rebooted */
  receive(heartbeat(now, 0));
  EXPECT_EQ(proof.at, before);
}

TEST_F(ConfigProofTest, RestoredStoreProvesNothingUntilLostWritesAreRepeated) {
  config_proof_confirm_by_store(&proof, 1, now, now);
  EXPECT_EQ(proof.at, now);
  gint64 before = now;
  now += second;
  config_proof_confirm_by_store(&proof, 2, now - 100 * ms, now);
  gint64 heard = now;
  now += 1500 * ms;
  config_proof_confirm_by_store(&proof, 2, heard + 999 * ms, now);
  EXPECT_EQ(proof.at, before);
  config_proof_confirm_by_store(&proof, 1, now, now); /* a late reply */
  EXPECT_EQ(proof.at, before);
  config_proof_confirm_by_store(&proof, 2, heard + 1000 * ms, now);
  EXPECT_EQ(proof.at, heard + 1000 * ms);
}

/* Others may know the restored store's older configuration alone. */
TEST_F(ConfigProofTest, ProofOfAnEarlierEraIsNotTold) {
  config_proof_advance_known(&proof, store_position(1, 12));
  config_proof_confirm_by_store(&proof, 1, now - 1, now);
  EXPECT_EQ(config_proof_age_ms(&proof, now), 1u);
  config_proof_advance_known(&proof, store_position(2, 3));
  EXPECT_EQ(config_proof_age_ms(&proof, now), CONFIG_PROOF_NONE);
  EXPECT_EQ(proof.at, now - 1);
  config_proof_confirm_by_store(&proof, 2, now, now);
  config_proof_confirm_by_store(&proof, 2, now + second, now + second);
  EXPECT_EQ(config_proof_age_ms(&proof, now + second), 1u);
}

TEST_F(ConfigProofTest, ReportedAgeIsRoundedUp) {
  config_proof_confirm_by_store(&proof, 0, now - 1, now);
  EXPECT_EQ(config_proof_age_ms(&proof, now), 1u);
}

/* }================================================================== */

/*
** {==================================================================
** Many instances
** ===================================================================
*/

/* How much later than the true time a proof may seem to be: times are rounded
** to 1 ms. The answer to a watch is 4 ms old on arrival. */
constexpr gint64 rounding = 1 * ms;

struct ConfigProofFleetTest : ::testing::TestWithParam<unsigned> {
  World world{3, GetParam(), 0.02, 5, true};
  std::mt19937 random{GetParam()};
  std::vector<gint64> writes; /* when each version was written */
  int version = 0;

  void SetUp() override {
    write();
    world.write(STORE_ENDPOINTS, "e1", "1");
    world.start_all();
    world.run(4 * second);
  }
  void write() {
    char text[16];
    g_snprintf(text, sizeof text, "%06d", version++);
    world.write(STORE_CONFIGURATION, "main", text);
    writes.push_back(world.now);
  }
  /* No proof may be later than the first change that its instance lacks. */
  void check_all_proofs() {
    for (auto &one : world.all) {
      if (!one->alive || relay_group_proof(one->group)->at == 0)
        continue;
      auto seen = one->seen[STORE_CONFIGURATION].find("main");
      ASSERT_NE(seen, one->seen[STORE_CONFIGURATION].end());
      size_t next = static_cast<size_t>(std::stoi(seen->second)) + 1;
      if (next < writes.size()) {
        EXPECT_LE(relay_group_proof(one->group)->at, writes[next] + rounding);
      }
    }
  }
  void run_checked(gint64 span) {
    for (gint64 done = 0; done < span; done += 20 * ms) {
      world.run(20 * ms);
      check_all_proofs();
      ASSERT_FALSE(HasFailure());
    }
  }
  gint64 oldest_proof_age() {
    gint64 worst = 0;
    for (auto &one : world.all) {
      if (one->alive)
        worst = std::max(worst, world.now - relay_group_proof(one->group)->at);
    }
    return worst;
  }
  void inject_fault() {
    Instance &one = *world.all[random() % world.all.size()];
    switch (random() % 8) {
    case 0:
      one.cut_from_store = !one.cut_from_store;
      break;
    case 1:
      if (one.alive)
        world.kill(one);
      else
        world.start(one);
      break;
    case 2:
      one.answers = !one.answers;
      break;
    case 3:
      world.store_up = !world.store_up;
      break;
    case 4:
      world.compact_history();
      break;
    default:
      write();
    }
  }
  void end_all_faults() {
    world.store_up = true;
    for (auto &one : world.all) {
      one->cut_from_store = false;
      one->answers = true;
      if (!one->alive)
        world.start(*one);
    }
  }
};

TEST_P(ConfigProofFleetTest, ProofsAreYoungWithoutFaults) {
  gint64 worst = 0;
  for (int i = 0; i < 100; i++) {
    world.run(100 * ms);
    worst = std::max(worst, oldest_proof_age());
  }
  /* a watch of 0.83 s and three heartbeats, one of which is lost */
  EXPECT_LE(worst, 1600 * ms);
}

TEST_P(ConfigProofFleetTest, ProofIsNeverLaterThanTheFirstMissingChange) {
  for (int i = 0; i < 60; i++) {
    inject_fault();
    run_checked(static_cast<gint64>(random() % 700) * ms);
    ASSERT_FALSE(HasFailure()) << "fault " << i;
  }
  end_all_faults();
  run_checked(6 * second);
  EXPECT_LE(oldest_proof_age(), 1600 * ms);
}

TEST_P(ConfigProofFleetTest, ProofsAgeWithoutTheStore) {
  world.store_up = false;
  world.run(4500 * ms);
  for (auto &one : world.all)
    EXPECT_GE(world.now - relay_group_proof(one->group)->at, 4400 * ms);
  write();
  world.store_up = true;
  run_checked(3 * second);
  EXPECT_LE(oldest_proof_age(), 1600 * ms);
}

/*
** Guards against keys that are admitted although they were taken away: a store
** that was restored from a copy shows an older configuration as the newest one
** until the operator writes again. An instance that has just started, or knew
** less than the copy, knows no better.
*/
TEST_P(ConfigProofFleetTest, ProofIsNeverLaterThanAChangeThatACopyLacks) {
  for (int i = 0; i < 40; i++) {
    inject_fault();
    write();
    run_checked(static_cast<gint64>(random() % 700) * ms);
    if (i % 2 == 0)
      world.restore(static_cast<gint64>(100 + random() % 6000) * ms,
                    static_cast<gint64>(100 + random() % 500) * ms);
    run_checked(static_cast<gint64>(random() % 700) * ms);
    ASSERT_FALSE(HasFailure()) << "fault " << i;
  }
  end_all_faults();
  run_checked(8 * second);
  EXPECT_LE(oldest_proof_age(), 1600 * ms);
}

/* The load of the store does not depend on the number of instances. */
TEST_P(ConfigProofFleetTest, OnlyRelaysCallTheStore) {
  guint64 before = world.store_calls;
  world.run(10 * second);
  /* at most six relays; three kinds, with watches of 0.83, 2.8 and 2.8 s */
  EXPECT_LE(world.store_calls - before, 6 * (13 + 4 + 4u));
}

INSTANTIATE_TEST_SUITE_P(InstanceCounts, ConfigProofFleetTest,
                         ::testing::Values(20u, 88u, 300u));

/* }================================================================== */

} // namespace
