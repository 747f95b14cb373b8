/*
** test_next_request.cc
** Requests that a caller sends on a kept connection while the server for
** callers (Front) closes it: each one is received, or was never read
*/

#include <gtest/gtest.h>
#include <signal.h>

#include "loopback.h"

extern "C" {
#include "io/clock.h"
#include "io/front.h"
#include "io/planned_stop.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

const std::string get = "GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

struct NextRequest : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::unique_ptr<Peer> caller;
  std::vector<guint64> requests;
  guint hangups = 0;

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    {
      Listener free_port;
      address = free_port.address;
    }
    FrontHooks hooks = {this,
                        [](void *data, guint64 number, const HttpHead *) {
                          static_cast<NextRequest *>(data)->requests.push_back(
                              number);
                        },
                        [](void *data, guint64) {
                          static_cast<NextRequest *>(data)->hangups++;
                        },
                        [](void *, int, const char *) {},
                        [](void *, const char *) {},
                        [](void *, const FrontCut *) {}};
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
    caller = loopback::call(address);
  }
  void TearDown() override {
    front_free(front);
    event_base_free(base);
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { caller->read_some(); }, done);
  }
  void turns(int count) {
    wait([&] { return --count <= 0; });
  }
  bool is_received(size_t count) {
    return wait([&] { return requests.size() == count; });
  }
  void answer(const std::string &body) {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests.back(), head, body.data(),
                        body.size());
    http_head_free(head);
  }
  /* Begins a stream, and writes what may be its last piece. */
  void begin_stream(const std::string &piece) {
    HttpHead *head = http_head_new_response(200);
    front_begin_response(front, requests.back(), head);
    http_head_free(head);
    front_send_piece(front, requests.back(), piece.data(), piece.size());
  }
  bool is_in_kernel() {
    return wait([&] { return front_unsent(front).bytes == 0; });
  }
  /* Makes the server take no more connections than it has. */
  void fill_up() {
    Intake *intake = front_intake(front);
    for (int i = 0; i < 3; i++)
      intake_note_connect(intake, MP_MS); /* what is usual */
    turns(250);
    ASSERT_TRUE(wait([&] {
      intake_note_connect(intake, 500 * MP_MS);
      return intake_is_full(intake) != 0;
    }));
  }
  size_t connections() const {
    return intake_count(front_intake(front), INTAKE_IDLE) +
           intake_count(front_intake(front), INTAKE_BUSY) +
           intake_count(front_intake(front), INTAKE_AWAITED);
  }
};

/* Guards against a request that is read and discarded: the stop closes a kept
** connection as idle while its last answer, which did not announce that, is on
** its way, and the caller's next request meets the end of the connection. The
** caller does not read meanwhile, in place of a link with a delay. */
TEST_F(NextRequest, BehindAnAnswerOnItsWayAsAStopCeasesToAccept) {
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  answer(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  front_drain(front);
  front_stop_receiving(front);
  turns(5);
  caller->send_text(get);
  turns(20);
  caller->reading = true;
  EXPECT_TRUE(is_received(2));
}

/* The same without a stop, at the idle timeout. */
TEST_F(NextRequest, BehindAnAnswerOnItsWayAtTheIdleTimeout) {
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  answer(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  turns(200);
  caller->send_text(get);
  turns(20);
  caller->reading = true;
  EXPECT_TRUE(is_received(2));
}

/* The same behind a stream that began before the stop and ends in it, when its
** last bytes have left the process and have not arrived. */
TEST_F(NextRequest, BehindTheEndOfAStreamOnItsWayInAStop) {
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  front_drain(front);
  front_stop_receiving(front);
  front_end_response(front, requests[0]);
  turns(5);
  caller->send_text(get);
  turns(20);
  caller->reading = true;
  EXPECT_TRUE(is_received(2));
}

/* The same where the instance has all the work that it can do. */
TEST_F(NextRequest, BehindTheEndOfAStreamOnItsWayWhenFull) {
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  fill_up();
  front_end_response(front, requests[0]);
  turns(5);
  caller->send_text(get);
  turns(20);
  caller->reading = true;
  EXPECT_TRUE(is_received(2));
}

/* The same behind a stream that its caller has read at once: the request is
** sent before the caller can know that the connection ends. */
TEST_F(NextRequest, BehindTheEndOfAStreamThatWasReadInAStop) {
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream("piece");
  front_drain(front);
  front_stop_receiving(front);
  front_end_response(front, requests[0]);
  ASSERT_TRUE(wait(
      [&] { return caller->got.find("0\r\n\r\n") != std::string::npos; }));
  caller->send_text(get);
  EXPECT_TRUE(is_received(2));
}

/* Guards against a connection that waits for a next request until the idle
** timeout, or for ever, when its caller has read the last answer. */
TEST_F(NextRequest, WithoutOneTheConnectionEndsSoonAfterTheAnswerIsRead) {
  CallerLimits limits = {0, 0, 0, 20 * MP_SEC};
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  answer(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  front_drain(front);
  front_stop_receiving(front);
  turns(300);
  EXPECT_EQ(connections(), 1u);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  EXPECT_GT(front_unsent(front).unacknowledged, 0u);
  front_set_limits(front, &limits);
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return front_unsent(front).connections == 0; }));
  EXPECT_EQ(front_unsent(front).lingering, 1u);
  EXPECT_TRUE(wait([&] { return connections() == 0; }));
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_GT(caller->got.size(), size_t{1} << 20);
}

/* Guards against a connection that is kept for ever because its caller never
** reads the last answer: it is closed after 10 s (HOLD_MAX). */
TEST_F(NextRequest, ACallerThatDoesNotReadDoesNotHoldItsConnectionForLong) {
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  answer(std::string(1 << 20, 'x'));
  ASSERT_TRUE(is_in_kernel());
  gint64 began = clock_now();
  for (int i = 0; i < 6 && connections() > 0; i++)
    wait([&] { return connections() == 0; });
  EXPECT_EQ(connections(), 0u);
  EXPECT_GT(clock_now() - began, 9 * MP_SEC);
}

/* Guards against a request that comes later than the short wait, and is read:
** its caller sees a reset, and knows that it was not read. */
TEST_F(NextRequest, OneThatComesAfterTheCloseIsNotRead) {
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream("piece");
  front_drain(front);
  front_stop_receiving(front);
  front_end_response(front, requests[0]);
  ASSERT_TRUE(wait([&] { return connections() == 0; }));
  caller->send_text(get);
  char byte;
  int failure = 0;
  wait([&] {
    /* the end of the connection is read first */
    failure = recv(caller->fd, &byte, 1, 0) < 0 ? errno : failure;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(caller->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    failure = error != 0 ? error : failure;
    return failure == ECONNRESET || failure == EPIPE;
  });
  EXPECT_TRUE(failure == ECONNRESET || failure == EPIPE) << failure;
  EXPECT_EQ(requests.size(), 1u);
}

/* Guards against a request that is read, and forgotten because its caller has
** ended its side, while the answer before it is still written. */
TEST_F(NextRequest, OfACallerThatHasEndedItsSide) {
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  answer(std::string(8 << 20, 'x'));
  caller->send_text(get);
  turns(20);
  shutdown(caller->fd, SHUT_WR);
  turns(20);
  caller->reading = true;
  EXPECT_TRUE(is_received(2));
}

/* Guards against a connection that stays for ever: libevent reads no more
** after the end of the caller's side, and reports neither a timeout nor a
** close. */
TEST_F(NextRequest, APartOfOneBeforeTheEndLeavesNoConnectionBehind) {
  CallerLimits limits = {1000, 1000, 100 * MP_MS, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream(std::string(3 << 20, 'x'));
  fill_up();
  front_end_response(front, requests[0]);
  caller->send_text("GET /1 HT");
  turns(20);
  shutdown(caller->fd, SHUT_WR);
  turns(20);
  caller->reading = true;
  ASSERT_TRUE(is_in_kernel());
  turns(50);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return connections() == 0; }));
}

/* The same behind a whole request, whose answer leaves the connection open
** because the instance is no longer full. */
TEST_F(NextRequest, AWholeOneBeforeTheEndLeavesNoConnectionBehind) {
  CallerLimits limits = {1000, 1000, 100 * MP_MS, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(is_received(1));
  begin_stream(std::string(3 << 20, 'x'));
  fill_up();
  front_end_response(front, requests[0]);
  caller->send_text(get);
  turns(20);
  shutdown(caller->fd, SHUT_WR);
  turns(20);
  caller->reading = true;
  ASSERT_TRUE(is_received(2));
  ASSERT_TRUE(wait([&] { return !intake_is_full(front_intake(front)); }));
  answer("second");
  turns(50);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return connections() == 0; }));
}

/* Guards against a stop that lasts until its latest end, and is reported as
** one that cut something off, because of connections on which nothing comes
** (checks of a load balancer by connecting). */
TEST_F(NextRequest, ConnectionsWithoutOneDoNotHoldAStop) {
  PlannedStop stop = {200 * MP_MS, 1000 * MP_MS, clock_now(), 0, 0};
  StopPhase phase = STOP_ACCEPTING;
  std::vector<std::unique_ptr<Peer>> checks;
  gint64 next_tick = clock_now();
  gint64 next_check = clock_now();
  front_drain(front);
  wait([&] {
    gint64 now = clock_now();
    if (now >= next_check) {
      checks.push_back(loopback::call(address));
      next_check = now + 40 * MP_MS;
    }
    if (now < next_tick)
      return false;
    next_tick = now + 50 * MP_MS;
    if (!planned_stop_accepts(&stop, now))
      front_stop_receiving(front);
    FrontUnsent unsent = front_unsent(front);
    StopWork work = {front_open_requests(front) + unsent.receiving, 0,
                     unsent.connections, unsent.lingering};
    phase = planned_stop_review(&stop, &work, now);
    return phase == STOP_DRAINED || phase == STOP_CUTTING;
  });
  EXPECT_EQ(phase, STOP_DRAINED);
  EXPECT_LT(clock_now() - stop.began_at, 700 * MP_MS);
}

} // namespace
