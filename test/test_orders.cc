/*
** test_orders.cc
** Role orders: one holder at a time, fenced, and only under real pressure
*/

#include <gtest/gtest.h>

#include <cstring>

#include "sim.h"

using namespace sim;

namespace {

struct Orders : ::testing::Test {
  Sim s;
  int sent = 0;
  std::vector<uint64_t> fences;
  size_t holder = 99;

  void SetUp() override {
    for (const char *dc : {"a", "a", "a", "b"})
      s.add_node(dc);
    for (const char *dc : {"a", "b"}) {
      s.add_engine(dc, MP_ROLE_PREFILL, "llm");
      for (int i = 0; i < 3; i++)
        s.add_engine(dc, MP_ROLE_DECODE, "llm");
    }
    s.publish_instance_list();
    std::string c = config();
    c.replace(c.find("role_orders: false"), 18, "role_orders: true ");
    c.replace(c.find("refuse_early: true"), 18, "refuse_early: false");
    s.publish(1, c);
    s.on_endpoint_call = [this](size_t n, const mp_EndpointCall &x) {
      if (x.op != MP_X_ORDER)
        return;
      sent++;
      fences.push_back(x.fence);
      holder = n;
    };
    s.on_log_event = [this](size_t n, const mp_Log &l) {
      if (l.no == MP_LOG_LEASE_HELD && s.nodes[n].dc == "a")
        holder = n;
    };
    s.start_nodes();
    s.run(s.now + 10 * sec);
  }

  void TearDown() override {
    s.check({"a", "b"});
    for (auto &b : s.broken)
      ADD_FAILURE() << b;
  }

  /* prefill work that outlasts what one engine can do, for a while */
  void press(int seconds) {
    for (auto &e : s.engines)
      e.rate = 1000;
    for (int i = 0; i < seconds * 4; i++) {
      s.request(static_cast<size_t>(i % 3), "ask", "", std::string(900, 'x'),
                2);
      s.run(s.now + 250 * ms);
    }
  }

  int prefills(const std::string &dc) {
    int n = 0;
    for (auto &e : s.engines)
      n += e.dc == dc && e.role == MP_ROLE_PREFILL;
    return n;
  }
};

TEST_F(Orders, LastingPressureMovesAnEngine) {
  press(8);
  EXPECT_EQ(sent, 0); /* not yet lasting */
  press(40);
  EXPECT_GT(sent, 0);
  EXPECT_GT(prefills("a") + prefills("b"), 2);
  s.run(s.now + 60 * sec);
}

TEST_F(Orders, NoPressureNoOrders) {
  for (int i = 0; i < 200; i++) {
    s.request(static_cast<size_t>(i % 4), "ask", "", "hi", 2);
    s.run(s.now + 250 * ms);
  }
  EXPECT_EQ(sent, 0);
  s.run(s.now + 10 * sec);
}

TEST_F(Orders, PausedHolderIsFenced) {
  ASSERT_LT(holder, 3u);
  size_t old = holder;
  press(15);
  s.pause(old); /* it still believes it holds the lease */
  press(30);
  EXPECT_NE(holder, old);
  s.resume(old);
  press(30);
  /* the sim calls an old fence at an engine a broken promise */
  for (size_t i = 1; i < fences.size(); i++)
    EXPECT_GE(fences[i], fences[i - 1]);
  s.run(s.now + 60 * sec);
}

TEST_F(Orders, PlatformAwayMeansNoOrders) {
  s.store_down = true;
  press(60);
  EXPECT_EQ(sent, 0);
  s.store_down = false;
  s.run(s.now + 60 * sec);
}

TEST_F(Orders, LostLeaseReplyCountsAsLost) {
  s.lost_store_replies = 4;
  press(60);
  for (size_t i = 1; i < fences.size(); i++)
    EXPECT_GE(fences[i], fences[i - 1]);
  s.run(s.now + 60 * sec);
}

} // namespace
