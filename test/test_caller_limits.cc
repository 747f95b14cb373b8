/*
** test_caller_limits.cc
** Limits of the configuration on connections of callers
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

struct CallerLimitsTest : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::unique_ptr<Peer> caller;
  std::vector<guint64> requests;

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
  bool is_taken(size_t count) {
    return wait([&] { return requests.size() >= count || caller->ended; }) &&
           requests.size() == count;
  }
};

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

/* The same for the rest of a request that has begun to arrive. */
TEST_F(CallerLimitsTest, HeadTimeoutDoesNotCutBytesInTheKernel) {
  set_head_timeout(300 * MP_MS);
  connect();
  send(get.substr(0, 20));
  caller->send_text(get.substr(20));
  usleep(400 * 1000); /* they arrive, and the event loop does not run */
  EXPECT_TRUE(is_taken(1));
}

} // namespace
