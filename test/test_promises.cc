/*
** test_promises.cc
** Promises whose failure needs its own setting, one by one
*/

#include <gtest/gtest.h>

#include <cstring>

#include "sim.h"

using namespace sim;

namespace {

struct World : ::testing::Test {
  Sim s;
  std::set<std::string> places = {"a", "b"};

  void SetUp() override {
    s.build({"a", "a", "b", "b", "c", "c"}, {{MP_ROLE_PREFILL, "llm"},
                                             {MP_ROLE_DECODE, "llm"},
                                             {MP_ROLE_PLAIN, "claims"}});
  }

  void TearDown() override {
    s.check(places);
    for (auto &b : s.broken)
      ADD_FAILURE() << b;
  }

  const Caller &at(uint64_t call) {
    return s.callers[call];
  }

  /* the instance that is asked for the claim of this key */
  size_t homeof(const std::string &key, uint64_t *call) {
    mp_Addr home = 0;
    s.drop = [&home](mp_Addr, mp_Addr to, const mp_Msg &m) {
      if (m.kind == MP_MSG_CLAIM && !m.reply)
        home = to;
      return false;
    };
    *call = s.request(0, "ask", key, "hello");
    s.run(s.now + 3 * sec);
    s.drop = nullptr;
    return s.nodeof(home);
  }

  /* a key whose home is not 'but', already answered once at instance 0 */
  std::string answeredkey(size_t but, size_t *home) {
    for (int i = 0;; i++) {
      std::string key = "key" + std::to_string(i);
      uint64_t call;
      *home = homeof(key, &call);
      EXPECT_TRUE(at(call).ended);
      if (*home != but && *home < s.nodes.size() && *home != 0)
        return key;
    }
  }
};

/*
** {==================================================================
** 2. Nothing is answered twice
** ===================================================================
*/

TEST_F(World, NewHomeHearsTheHoldersBeforeItGrants) {
  size_t home;
  std::string key = answeredkey(0, &home);
  s.kill(home);
  for (int i = 0; i < 120; i++) {
    s.request(0, "ask", key, "hello");
    s.request(home ^ 1, "ask", key, "hello"); /* the likely new home */
    s.run(s.now + 50 * ms);
  }
  s.run(s.now + 10 * sec); /* 'answered twice' is checked at the end */
}

TEST_F(World, AnswerIsRememberedAfterTheHomeDied) {
  size_t home;
  std::string key = answeredkey(0, &home);
  s.kill(home);
  s.run(s.now + 8 * sec);
  auto b = s.request(1, "ask", key, "hello");
  s.run(s.now + 8 * sec);
  EXPECT_EQ(at(b).error, MP_ERR_DUPLICATE);
}

TEST_F(World, DrainedHomeHandsItsIdsOver) {
  size_t home;
  std::string key = answeredkey(0, &home);
  s.kill(0); /* the holder can't announce it any more */
  s.run(s.now + 4 * sec);
  s.drain(home);
  s.run(s.now + 10 * sec);
  EXPECT_TRUE(s.nodes[home].drained);
  auto b = s.request(1, "ask", key, "hello");
  s.run(s.now + 8 * sec);
  EXPECT_EQ(at(b).error, MP_ERR_DUPLICATE);
}

/* home and another stand still together; others have moved the ID on */
struct Paused : World, ::testing::WithParamInterface<size_t> {};

TEST_P(Paused, HomeDoesNotGrantFromWhatItKnew) {
  size_t home = 0;
  uint64_t first;
  std::string key;
  for (int i = 0; home == 0 || s.nodes[home].dc == "a"; i++) {
    key = "fresh" + std::to_string(i);
    home = homeof(key, &first);
  }
  s.pause(home);
  s.pause(1);
  s.run(s.now + 100 * sec);  /* the ID is forgotten everywhere else */
  s.callers[first].key = ""; /* so it may run again, once */
  s.request(GetParam(), "ask", key, "hello");
  s.request(1, "ask", key, "hello"); /* waits at the paused one */
  s.run(s.now + 5 * sec);
  s.resume(1);
  s.resume(home);
  for (int i = 0; i < 100; i++) {
    s.request(static_cast<size_t>(i % 6), "ask", key, "hello");
    s.run(s.now + 50 * ms);
  }
  s.run(s.now + 10 * sec);
}

INSTANTIATE_TEST_SUITE_P(Each, Paused, ::testing::Range(size_t(0), size_t(6)));

/* }================================================================== */

/*
** {==================================================================
** 3. The whole answer, to its own caller
** ===================================================================
*/

TEST_F(World, LostLastPieceIsNoCleanEnd) {
  for (auto &e : s.engines)
    e.lost_piece = length("hello", 8);
  auto a = s.request(0, "ask", "", "hello");
  s.run(s.now + 30 * sec);
  EXPECT_FALSE(at(a).ended);
  EXPECT_TRUE(at(a).failed);
  EXPECT_NE(at(a).ran, MP_RAN_NO);
}

TEST_F(World, LostPieceIsResumed) {
  for (auto &e : s.engines)
    e.lost_piece = 3;
  auto a = s.request(0, "ask", "", "hello");
  s.run(s.now + 100 * ms);
  for (auto &e : s.engines)
    e.lost_piece = 0;
  s.run(s.now + 10 * sec);
  EXPECT_TRUE(at(a).ended);
}

TEST_F(World, FrozenStreamMovesToAnotherEngine) {
  mp_Time begun = s.now;
  bool struck = false;
  s.on_endpoint_event = [&](size_t, uint64_t, const mp_EndpointEvent &e) {
    if (e.what != MP_EP_CHUNK || e.index != 2 || struck)
      return;
    struck = true;
    for (size_t i = 0; i < s.engines.size(); i++) {
      if (!s.engines[i].works.empty() && s.engines[i].works[0]->op == "decode")
        s.freeze(i);
    }
  };
  auto a = s.request(0, "ask", "", "hello");
  s.run(s.now + 25 * sec);
  EXPECT_TRUE(struck);
  EXPECT_TRUE(at(a).ended) << mp_error_name(at(a).error);
  EXPECT_LT(at(a).last - begun, 10 * sec);
  for (size_t i = 0; i < s.engines.size(); i++)
    s.thaw(i);
  s.run(s.now + 10 * sec);
}

/* }================================================================== */

/*
** {==================================================================
** 5. At most once
** ===================================================================
*/

TEST_F(World, TwoHomesAtOnceClaimOnce) {
  /* the halves of every data centre lose each other: two homes each */
  s.drop = [this](mp_Addr from, mp_Addr to, const mp_Msg &) {
    return s.nodeof(from) % 2 != s.nodeof(to) % 2;
  };
  s.run(s.now + 8 * sec);
  for (int i = 0; i < 6; i++) {
    std::string key = "k" + std::to_string(i);
    s.request(0, "plainonce", key, "claim");
    s.request(1, "plainonce", key, "claim");
  }
  s.run(s.now + 10 * sec);
  int ended = 0;
  for (auto &c : s.callers)
    ended += c.second.ended;
  EXPECT_EQ(ended, 6);
  s.drop = nullptr;
  s.run(s.now + 8 * sec);
}

TEST_F(World, DurableClaimOutlivesHomeAndHolder) {
  auto a = s.request(0, "plainonce", "k", "claim");
  s.run(s.now + 3 * sec);
  EXPECT_TRUE(at(a).ended);
  for (size_t i = 0; i < s.nodes.size(); i++)
    s.kill(i);
  for (size_t i = 0; i < s.nodes.size(); i++)
    s.restart(i);
  s.run(s.now + 8 * sec);
  auto b = s.request(3, "plainonce", "k", "claim");
  s.run(s.now + 8 * sec);
  EXPECT_EQ(at(b).error, MP_ERR_DUPLICATE);
  EXPECT_NE(at(b).ran, MP_RAN_NO);
}

TEST_F(World, RefusedClaimCanComeBackWithTheSameId) {
  for (size_t i = 0; i < s.engines.size(); i++)
    s.kill_engine(i);
  s.run(s.now + 2 * sec);
  auto a = s.request(0, "plainonce", "k", "claim");
  s.run(s.now + 10 * sec);
  EXPECT_TRUE(at(a).failed);
  EXPECT_EQ(at(a).ran, MP_RAN_NO);
  for (size_t i = 0; i < s.engines.size(); i++)
    s.revive_engine(i);
  s.run(s.now + 35 * sec);
  auto b = s.request(2, "plainonce", "k", "claim");
  s.run(s.now + 5 * sec);
  EXPECT_TRUE(at(b).ended) << mp_error_name(at(b).error);
}

TEST_F(World, ManyClaimsGoInOneWrite) {
  uint64_t before = s.store_writes;
  for (int i = 0; i < 100; i++)
    s.request(static_cast<size_t>(i % 6), "plainonce", "g" + std::to_string(i),
              "claim");
  s.run(s.now + 8 * sec);
  int ended = 0;
  for (auto &c : s.callers)
    ended += c.second.ended;
  EXPECT_EQ(ended, 100);
  EXPECT_LE(s.store_writes - before, 60u);
}

/* }================================================================== */

/*
** {==================================================================
** 6. Leaving endpoints
** ===================================================================
*/

TEST_F(World, LeavingEndpointGetsNothingNewWithTheListStale) {
  s.store_down = true;
  for (size_t i : {size_t(0), size_t(1)}) { /* prefill and decode of a */
    s.engines[i].leaving = true;
    s.engines[i].left_at = s.now;
  }
  for (int i = 0; i < 100; i++) {
    s.request(static_cast<size_t>(i % 6), "ask", "", "hello");
    s.run(s.now + 100 * ms);
  }
  s.run(s.now + 5 * sec);
}

/* }================================================================== */

/*
** {==================================================================
** 7. Planned stops
** ===================================================================
*/

TEST_F(World, DrainFinishesWhatIsInFlight) {
  auto a = s.request(0, "ask", "", "hello", 400); /* streams for 4 s */
  s.run(s.now + 500 * ms);
  s.drain(0);
  s.run(s.now + 30 * sec);
  EXPECT_TRUE(at(a).ended);
  EXPECT_TRUE(s.nodes[0].drained);
}

TEST_F(World, DrainedDataCentreFinishesAndGetsNothingNew) {
  std::vector<uint64_t> calls;
  for (size_t i = 0; i < 4; i++)
    calls.push_back(s.request(i, "ask", "", "hello", 200));
  s.run(s.now + 300 * ms);
  s.publish(2, config("drained: [a]\n"));
  s.run(s.now + 3 * sec);
  size_t before = s.ledger.size();
  for (size_t i = 0; i < 4; i++)
    calls.push_back(s.request(i, "ask", "", "later"));
  s.run(s.now + 10 * sec);
  for (auto c : calls)
    EXPECT_TRUE(at(c).ended) << mp_error_name(at(c).error);
  for (size_t i = before; i < s.ledger.size(); i++)
    EXPECT_EQ(s.ledger[i].dc, "b");
}

/* }================================================================== */

/*
** {==================================================================
** 8. Configuration
** ===================================================================
*/

uint64_t version(Sim &s, size_t n) {
  mp_Status st;
  mp_status(s.nodes[n].M, &st);
  return st.config_version;
}

TEST_F(World, NewConfigurationIsEverywhereWithinThreeSeconds) {
  for (uint64_t v = 2; v < 8; v++) {
    s.publish(v, config("drained: [x" + std::to_string(v) + "]\n"));
    s.run(s.now + 3 * sec);
    for (size_t n = 0; n < s.nodes.size(); n++)
      EXPECT_EQ(version(s, n), v);
  }
}

TEST_F(World, RelaysKilledAtTheChange) {
  s.publish(2, config("drained: [x]\n"));
  s.run(s.now + 3 * ms); /* the relays have just been told */
  s.kill(0);
  s.kill(2);
  s.run(s.now + 3 * sec);
  for (size_t n : {1, 3, 4, 5})
    EXPECT_EQ(version(s, n), 2u);
}

TEST_F(World, AnOlderManifestIsNeverTaken) {
  s.publish(5, config("drained: [x]\n"));
  s.run(s.now + 3 * sec);
  s.publish(4, config("drained: [y]\n")); /* the platform was restored */
  s.run(s.now + 30 * sec);
  for (size_t n = 0; n < s.nodes.size(); n++)
    EXPECT_EQ(version(s, n), 5u);
}

TEST_F(World, HealedCutTakesTheNewerSide) {
  s.cut = [](const std::string &from, const std::string &to) {
    return (from == "b") != (to == "b");
  };
  s.publish(2, config("drained: [x]\n"));
  s.run(s.now + 10 * sec);
  EXPECT_EQ(version(s, 0), 2u);
  EXPECT_EQ(version(s, 2), 1u);
  s.store_down = true; /* from its peers alone */
  s.cut = nullptr;
  s.run(s.now + 3 * sec);
  for (size_t n = 0; n < s.nodes.size(); n++)
    EXPECT_EQ(version(s, n), 2u);
}

TEST_F(World, FreshInstanceInAnOutageAsksItsPeers) {
  s.store_down = true;
  s.kill(3);
  s.run(s.now + 1 * sec);
  s.restart(3);
  s.run(s.now + 3 * sec);
  EXPECT_EQ(version(s, 3), 1u);
  auto a = s.request(3, "ask", "", "hello");
  s.run(s.now + 5 * sec);
  EXPECT_TRUE(at(a).ended) << mp_error_name(at(a).error);
}

TEST_F(World, InvalidConfigurationIsRefusedWhole) {
  s.publish(2, "data_centres: [{name: a, region: r}]\n");
  s.run(s.now + 3 * sec);
  for (size_t n = 0; n < s.nodes.size(); n++)
    EXPECT_EQ(version(s, n), 1u);
  s.publish(3, config("drained: [x]\n"));
  s.run(s.now + 3 * sec);
  for (size_t n = 0; n < s.nodes.size(); n++)
    EXPECT_EQ(version(s, n), 3u);
}

TEST_F(World, RuleThatChangesUnderWayHoldsAtTheNextDispatch) {
  std::string only_b = config();
  size_t at_rule = only_b.find("{class: ask, run_in: [a, b]");
  only_b.replace(at_rule, 27, "{class: ask, run_in: [b]");
  s.publish(2, only_b);
  s.run(s.now + 3 * sec);
  size_t before = s.ledger.size();
  for (int i = 0; i < 12; i++)
    s.request(static_cast<size_t>(i % 6), "ask", "", "hello");
  s.run(s.now + 5 * sec);
  EXPECT_GT(s.ledger.size(), before);
  for (size_t i = before; i < s.ledger.size(); i++)
    EXPECT_EQ(s.ledger[i].dc, "b");
}

/* }================================================================== */

/*
** {==================================================================
** Strangers, limits
** ===================================================================
*/

TEST_F(World, MessageFromOutsideTheInstanceSetIsNotObeyed) {
  mp_Msg m;
  memset(&m, 0, sizeof m);
  mp_Event e;
  memset(&e, 0, sizeof e);
  m.kind = MP_MSG_RESERVE;
  m.u.reserve.endpoint = s.engines[0].addr;
  e.kind = MP_EV_MSG;
  e.u.msg.from = 0xc0a80001ULL << 16 | 7000; /* 192.168.0.1 */
  e.u.msg.msg = &m;
  mp_Effect fx;
  while (mp_next_effect(s.nodes[0].M, &fx))
    ;
  mp_feed(s.nodes[0].M, s.now, &e);
  EXPECT_EQ(mp_counter(s.nodes[0].M, MP_C_STRANGERS), 1u);
  while (mp_next_effect(s.nodes[0].M, &fx))
    EXPECT_NE(fx.kind, MP_FX_SEND);
}

/* a long upload has the prefill engine; a lookup is sent there at once */
TEST_F(World, ShortPromptDoesNotWaitBehindALongOne) {
  std::map<uint32_t, mp_Time> begun;
  s.onxcall = [&](size_t, const mp_EndpointCall &x) {
    if (x.op == MP_X_PREFILL)
      begun[x.token.seq] = s.now;
  };
  for (auto &e : s.engines)
    e.rate = 10000;
  s.run(s.now + 1 * sec); /* the keepers have seen the rate */
  auto a = s.request(0, "ask", "", std::string(15000, 'x'));
  auto b = s.request(0, "ask", "", std::string(15000, 'y'));
  s.run(s.now + 300 * ms);
  mp_Time sent = s.now;
  auto c = s.request(0, "ask", "", "short");
  s.run(s.now + 20 * sec);
  EXPECT_TRUE(at(a).ended || at(b).ended);
  EXPECT_TRUE(at(c).ended) << mp_error_name(at(c).error);
  EXPECT_LT(begun[3] - sent, 20 * ms);
}

TEST_F(World, AccountLimitHoldsOverAllInstances) {
  mp_Time begun = s.now;
  for (int i = 0; i < 400; i++) {
    s.request(static_cast<size_t>(i % 6), "tight", "", "hi", 1);
    s.run(s.now + 25 * ms);
  }
  s.run(s.now + 5 * sec);
  int ended = 0;
  int quota = 0;
  for (auto &c : s.callers) {
    ended += c.second.ended;
    quota += c.second.error == MP_ERR_QUOTA;
  }
  /* 5 a second and 5 at once, over ten seconds; slices may be in hand */
  double secs = static_cast<double>(400 * 25 * ms) / sec;
  EXPECT_LE(ended, 5 * secs + 5 + 6 * 3);
  EXPECT_GE(ended, 5 * secs * 0.6);
  EXPECT_GT(quota, 200);
  (void)begun;
}

/* }================================================================== */

} // namespace
