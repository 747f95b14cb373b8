/*
** test_caller_limits.cc
** Which limits bind on a caller's connection when the configuration changes;
** docs/design/caller-limits.md has the table
*/

#include <gtest/gtest.h>
#include <signal.h>

#include "loopback.h"

extern "C" {
#include "io/clock.h"
#include "io/front.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

const std::string get = "GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

/* The head of a request with a field of so many bytes. */
std::string head_of(size_t size) {
  return "GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nX-Pad: " +
         std::string(size, 'x') + "\r\n\r\n";
}

std::string head_with_length(size_t size) {
  return "POST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: " +
         std::to_string(size) + "\r\n\r\n";
}

struct CallerLimitsTest : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::unique_ptr<Peer> caller;
  std::vector<guint64> requests;
  guint64 body_refused = 0; /* the size announced last */

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    {
      Listener free_port;
      address = free_port.address;
    }
    FrontHooks hooks = {this,
                        on_request,
                        [](void *, guint64) {},
                        [](void *, int, const char *) {},
                        [](void *, const char *) {},
                        [](void *, const FrontCut *) {}};
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
  }
  void TearDown() override {
    front_free(front);
    event_base_free(base);
  }
  static void on_request(void *data, guint64 number, const HttpHead *) {
    static_cast<CallerLimitsTest *>(data)->requests.push_back(number);
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { caller->read_some(); }, done);
  }
  void pass(int ms) {
    gint64 until = g_get_monotonic_time() + ms * MP_MS;
    wait([&] { return g_get_monotonic_time() >= until; });
  }
  /* Opens the connection of the caller, which is accepted. */
  void connect() {
    guint64 before = intake_accepted(front_intake(front));
    caller = loopback::call(address);
    ASSERT_TRUE(
        wait([&] { return intake_accepted(front_intake(front)) > before; }));
  }
  void set(gsize head, gsize body, gint64 head_timeout, gint64 idle_timeout) {
    CallerLimits limits = {head, body, head_timeout, idle_timeout};
    front_set_limits(front, &limits);
  }
  void set_sizes(gsize head, gsize body) {
    set(head, body, 10 * MP_SEC, 10 * MP_SEC);
  }
  void set_idle(gint64 timeout) {
    set(0, 0, 0, timeout);
  }
  void set_head_timeout(gint64 timeout) {
    set(0, 0, timeout, 0);
  }
  /* Sends bytes, of which the server reads all. */
  void send(const std::string &bytes) {
    caller->send_text(bytes);
    ASSERT_TRUE(caller->sent_all);
    pass(5);
  }
  void answer() {
    ASSERT_FALSE(requests.empty());
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests.back(), head, "ok", 2);
    http_head_free(head);
    ASSERT_TRUE(wait([&] { return is_status(200); }));
    caller->got.clear();
  }
  /* Sends a request and answers it, so that the connection is a kept one. */
  void exchange() {
    size_t before = requests.size();
    caller->send_text(get);
    ASSERT_TRUE(wait([&] { return requests.size() > before; }));
    answer();
  }
  bool is_status(int status) const {
    return caller->got.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
  }
  bool gets_status(int status) {
    return wait([&] { return is_status(status); });
  }
  bool is_taken(size_t count) {
    return wait([&] { return requests.size() >= count || caller->ended; }) &&
           requests.size() == count;
  }
};

/* Where a connection is when the limits of sizes change. */
enum Stage { ACCEPTED, KEPT, WAITING, ANSWERING };

/* Before its next head, a connection at each of the stages. */
struct NextRequest : CallerLimitsTest, ::testing::WithParamInterface<Stage> {
  void come_to_stage() {
    connect();
    if (GetParam() == KEPT)
      exchange();
    if (GetParam() < WAITING)
      return;
    send(get);
    ASSERT_EQ(requests.size(), 1u);
    if (GetParam() == ANSWERING) {
      HttpHead *head = http_head_new_response(200);
      front_begin_response(front, requests[0], head);
      http_head_free(head);
    }
  }
  void leave_stage() {
    if (GetParam() == WAITING)
      answer();
    if (GetParam() == ANSWERING) {
      front_end_response(front, requests[0]);
      ASSERT_TRUE(wait(
          [&] { return caller->got.find("0\r\n\r\n") != std::string::npos; }));
    }
    caller->got.clear();
    requests.clear();
  }
};

/* Guards against 413 for a body that the configuration in force allows. */
TEST_P(NextRequest, IsBoundByALargerBodyLimit) {
  set_sizes(1000, 1000);
  come_to_stage();
  set_sizes(1000, 5000);
  leave_stage();
  send(head_with_length(5000) + std::string(5000, 'x'));
  EXPECT_TRUE(is_taken(1));
}

TEST_P(NextRequest, IsBoundByASmallerBodyLimit) {
  set_sizes(1000, 5000);
  come_to_stage();
  set_sizes(1000, 1000);
  leave_stage();
  send(head_with_length(5000) + std::string(5000, 'x'));
  EXPECT_TRUE(gets_status(413));
}

/* Guards against 431 for a head that the configuration in force allows. */
TEST_P(NextRequest, IsBoundByALargerHeadLimit) {
  set_sizes(1000, 1000);
  come_to_stage();
  set_sizes(5000, 1000);
  leave_stage();
  send(head_of(4000));
  EXPECT_TRUE(is_taken(1));
}

TEST_P(NextRequest, IsBoundByASmallerHeadLimit) {
  set_sizes(5000, 1000);
  come_to_stage();
  set_sizes(1000, 1000);
  leave_stage();
  send(head_of(4000));
  EXPECT_TRUE(gets_status(431));
}

/* Guards against the idle timeout of the time when the request came. */
TEST_P(NextRequest, IsAwaitedForTheIdleTimeoutInForce) {
  set_idle(10 * MP_SEC);
  come_to_stage();
  set_idle(500 * MP_MS);
  leave_stage();
  EXPECT_FALSE(caller->ended);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

INSTANTIATE_TEST_SUITE_P(Stages, NextRequest,
                         ::testing::Values(ACCEPTED, KEPT, WAITING,
                                           ANSWERING));

/* Guards against the limits of the default configuration on early callers. */
TEST_F(CallerLimitsTest, FirstConfigurationBindsOnEarlierConnections) {
  connect();
  set_sizes(64 << 10, 1000);
  send(head_of(40 << 10));
  EXPECT_TRUE(is_taken(1));
  answer();
  send(head_with_length(5000) + std::string(5000, 'x'));
  EXPECT_TRUE(gets_status(413));
}

TEST_F(CallerLimitsTest, LargerHeadLimitHoldsForAHalfReadHead) {
  set_sizes(1000, 1000);
  connect();
  std::string head = head_of(4000);
  send(head.substr(0, 500));
  set_sizes(5000, 1000);
  send(head.substr(500));
  EXPECT_TRUE(is_taken(1));
}

/* Guards against 431 for a head that was begun under the larger limit. */
TEST_F(CallerLimitsTest, SmallerHeadLimitHoldsFromTheNextHeadOn) {
  set_sizes(5000, 1000);
  connect();
  std::string head = head_of(4000);
  send(head.substr(0, 2000));
  set_sizes(1000, 1000);
  send(head.substr(2000));
  EXPECT_TRUE(is_taken(1));
  answer();
  send(head);
  EXPECT_TRUE(gets_status(431));
}

TEST_F(CallerLimitsTest, LargerBodyLimitHoldsForAHalfReadHead) {
  set_sizes(1000, 1000);
  connect();
  std::string head = head_with_length(5000);
  send(head.substr(0, 20));
  set_sizes(1000, 5000);
  send(head.substr(20) + std::string(5000, 'x'));
  EXPECT_TRUE(is_taken(1));
}

TEST_F(CallerLimitsTest, LargerBodyLimitHoldsForAHalfReadBody) {
  set_sizes(1000, 1000);
  connect();
  send(head_with_length(5000) + std::string(900, 'x'));
  set_sizes(1000, 5000);
  send(std::string(4100, 'x'));
  EXPECT_TRUE(is_taken(1));
}

/* Guards against 413 for a body that was begun under the larger limit. */
TEST_F(CallerLimitsTest, SmallerBodyLimitHoldsFromTheNextHeadOn) {
  set_sizes(1000, 5000);
  connect();
  send(head_with_length(5000) + std::string(900, 'x'));
  set_sizes(1000, 800);
  send(std::string(4100, 'x'));
  EXPECT_TRUE(is_taken(1));
  answer();
  send(head_with_length(900) + std::string(900, 'x'));
  EXPECT_TRUE(gets_status(413));
}

/* Guards against a larger limit that is lost when a smaller one follows. */
TEST_F(CallerLimitsTest, LargestLimitSinceItsHeadHoldsForARequest) {
  set_sizes(1000, 1000);
  connect();
  send(head_with_length(5000) + std::string(900, 'x'));
  set_sizes(1000, 5000);
  set_sizes(1000, 800);
  send(std::string(4100, 'x'));
  EXPECT_TRUE(is_taken(1));
}

/* Guards against bodies that grow with the limit and are not counted. */
TEST_F(CallerLimitsTest, BodyThatALargerLimitLetsGrowIsCounted) {
  FlowLimits limits = flow_limits(64 << 20);
  FrontFlowHooks hooks = {this,
                          nullptr,
                          nullptr,
                          nullptr,
                          [](void *, const char *, guint64, guint64) {},
                          nullptr};
  front_control_flow(front, &limits, &hooks);
  set_sizes(1000, 1000);
  connect();
  send(head_with_length(5000) + std::string(900, 'x'));
  EXPECT_EQ(flow_held(front_flow(front)), 1000u * FLOW_BODY_COPIES);
  set_sizes(1000, 5000);
  EXPECT_EQ(flow_held(front_flow(front)), 5000u * FLOW_BODY_COPIES);
  send(std::string(4100, 'x'));
  EXPECT_TRUE(is_taken(1));
}

/* Guards against a body without a length that a change leaves uncounted. */
TEST_F(CallerLimitsTest, BodyWithoutALengthStaysCounted) {
  FlowLimits limits = flow_limits(64 << 20);
  FrontFlowHooks hooks = {this,
                          nullptr,
                          nullptr,
                          nullptr,
                          [](void *, const char *, guint64, guint64) {},
                          nullptr};
  front_control_flow(front, &limits, &hooks);
  set_sizes(1000, 1000);
  connect();
  send("POST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
       "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n");
  set_sizes(1000, 5000);
  EXPECT_EQ(flow_held(front_flow(front)), 5u * FLOW_BODY_COPIES);
}

/* Guards against memory beyond the bound for a body that may grow. */
TEST_F(CallerLimitsTest, BodyThatALargerLimitLetsGrowWaitsForMemory) {
  FlowLimits limits = flow_limits(4 << 20);
  FrontFlowHooks hooks = {
      this,
      nullptr,
      nullptr,
      nullptr,
      [](void *data, const char *, guint64 size, guint64) {
        static_cast<CallerLimitsTest *>(data)->body_refused = size;
      },
      nullptr};
  front_control_flow(front, &limits, &hooks);
  set_sizes(1000, 100 << 10);
  connect();
  auto other = std::move(caller);
  connect();
  other->send_text(head_with_length(1000) + "x");
  send(head_with_length(64 << 20) + std::string(900, 'x'));
  set_sizes(1000, 64 << 20);
  send(std::string(900, 'x'));
  EXPECT_EQ(body_refused, 0u);
  gint64 began = g_get_monotonic_time();
  while (g_get_monotonic_time() - began < 2 * FLOW_HELD_MAX && !is_status(503))
    pass(10);
  EXPECT_TRUE(is_status(503));
  EXPECT_EQ(body_refused, guint64{64 << 20});
}

TEST_F(CallerLimitsTest, LongerHeadTimeoutHoldsForAHalfReadHead) {
  set_head_timeout(500 * MP_MS);
  connect();
  send(get.substr(0, 20));
  set_head_timeout(10 * MP_SEC);
  pass(700);
  EXPECT_TRUE(caller->got.empty());
  send(get.substr(20));
  EXPECT_TRUE(is_taken(1));
}

TEST_F(CallerLimitsTest, LongerHeadTimeoutHoldsForAHalfReadBody) {
  set_head_timeout(500 * MP_MS);
  connect();
  send(head_with_length(10) + "x");
  set_head_timeout(10 * MP_SEC);
  pass(700);
  EXPECT_TRUE(caller->got.empty());
  send("123456789");
  EXPECT_TRUE(is_taken(1));
}

/* Guards against 408 for a request that was begun under the longer timeout. */
TEST_F(CallerLimitsTest, ShorterHeadTimeoutHoldsFromTheNextHeadOn) {
  set_head_timeout(10 * MP_SEC);
  connect();
  send(head_with_length(10) + "x");
  set_head_timeout(50 * MP_MS);
  send("x"); /* the timeout begins anew */
  pass(150);
  EXPECT_TRUE(caller->got.empty());
  send("12345678");
  EXPECT_TRUE(is_taken(1));
  answer();
  send(get.substr(0, 20));
  EXPECT_TRUE(gets_status(408));
}

/* Guards against a longer head timeout that is counted from its change. */
TEST_F(CallerLimitsTest, LongerHeadTimeoutCountsFromTheLastBytes) {
  set_head_timeout(1000 * MP_MS);
  connect();
  send(get.substr(0, 20));
  gint64 began = g_get_monotonic_time();
  pass(900);
  set_head_timeout(1200 * MP_MS);
  EXPECT_TRUE(gets_status(408));
  EXPECT_LT(g_get_monotonic_time() - began, 2000 * MP_MS);
}

TEST_F(CallerLimitsTest, LongerIdleTimeoutHoldsForRestingConnections) {
  set_idle(500 * MP_MS);
  connect();
  exchange();
  set_idle(10 * MP_SEC);
  pass(700);
  EXPECT_FALSE(caller->ended);
  exchange();
}

/* Guards against closing what rested longer than the new timeout at once. */
TEST_F(CallerLimitsTest, ShorterIdleTimeoutLeavesRestingConnectionsItsTime) {
  set_idle(10 * MP_SEC);
  connect();
  exchange();
  pass(700);
  set_idle(600 * MP_MS);
  pass(100);
  EXPECT_FALSE(caller->ended);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* Guards against a rest that lasts longer with each shorter timeout. */
TEST_F(CallerLimitsTest, ShorterIdleTimeoutDoesNotProlongARest) {
  set_idle(1000 * MP_MS);
  connect();
  exchange();
  gint64 began = g_get_monotonic_time();
  pass(800);
  set_idle(900 * MP_MS);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_LT(g_get_monotonic_time() - began, 1600 * MP_MS);
}

/* Guards against a rest without an end beside frequent configurations. */
TEST_F(CallerLimitsTest, SameIdleTimeoutDoesNotProlongARest) {
  connect();
  exchange();
  gint64 began = g_get_monotonic_time();
  EXPECT_TRUE(wait([&] {
    set_idle(200 * MP_MS);
    return caller->ended;
  }));
  EXPECT_LT(g_get_monotonic_time() - began, MP_SEC);
}

/* Guards against closing a connection with a request in its socket. */
TEST_F(CallerLimitsTest, IdleTimeoutDoesNotCutARequestInTheKernel) {
  set_idle(300 * MP_MS);
  connect();
  exchange();
  requests.clear();
  caller->send_text(get);
  usleep(400 * 1000); /* it arrives, and the event loop does not run */
  EXPECT_TRUE(is_taken(1));
}

/* The same for a timeout that has become shorter. */
TEST_F(CallerLimitsTest, ShorterIdleTimeoutDoesNotCutARequestInTheKernel) {
  set_idle(10 * MP_SEC);
  connect();
  exchange();
  requests.clear();
  set_idle(50 * MP_MS);
  caller->send_text(get);
  usleep(100 * 1000); /* it arrives, and the event loop does not run */
  EXPECT_TRUE(is_taken(1));
}

/* The same for the rest of a request that has begun to arrive. */
TEST_F(CallerLimitsTest, HeadTimeoutDoesNotCutBytesInTheKernel) {
  set_head_timeout(300 * MP_MS);
  connect();
  send(get.substr(0, 20));
  caller->send_text(get.substr(20));
  usleep(400 * 1000); /* they arrive, and the event loop does not run */
  EXPECT_TRUE(is_taken(1));
}

/* Guards against an idle timeout that runs while the answer is still sent. */
TEST_F(CallerLimitsTest, ShorterIdleTimeoutWaitsForAHalfSentAnswer) {
  const std::string large(8 << 20, 'x');
  set_idle(10 * MP_SEC);
  connect();
  send(get);
  caller->reading = false;
  HttpHead *head = http_head_new_response(200);
  front_send_response(front, requests.back(), head, large.data(),
                      large.size());
  http_head_free(head);
  set_idle(300 * MP_MS);
  pass(500);
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->got.size() > large.size(); }));
  EXPECT_FALSE(caller->ended);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* Guards against 413 for a next request that came before the change. */
TEST_F(CallerLimitsTest, LargerBodyLimitHoldsForAPipelinedRequest) {
  set_sizes(1000, 1000);
  connect();
  send(get + head_with_length(5000) + std::string(5000, 'x'));
  set_sizes(1000, 5000);
  answer();
  EXPECT_TRUE(is_taken(2));
}

} // namespace
