/*
** test_close_reasons.cc
** Responses that are lost with the connections of their callers: each close is
** reported and counted with its reason, and others are not
*/

#include <gtest/gtest.h>
#include <signal.h>

#include "loopback.h"

extern "C" {
#include "io/front.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

constexpr guint64 flow_bound = 1 << 20;
/* The write timeout and the longest time of discarding input are 10 s. */
constexpr int long_wait = 6; /* waits of 2 s */

struct Loss {
  CloseReason reason;
  std::string id;
  bool is_unfinished;
  guint64 unsent;
  guint64 unacknowledged;
};

struct CloseReasons : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::unique_ptr<Peer> caller;
  std::vector<guint64> requests;
  std::vector<guint64> hangups;
  std::vector<Loss> losses;

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    FrontHooks hooks = {this,         on_request, on_hangup,
                        on_bad_input, on_stopped, on_cut};
    {
      Listener free_port;
      address = free_port.address;
    }
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
    caller = loopback::call(address);
  }
  void TearDown() override {
    free_front();
    event_base_free(base);
  }
  void free_front() {
    if (front != nullptr)
      front_free(front);
    front = nullptr;
  }
  static CloseReasons *self(void *data) {
    return static_cast<CloseReasons *>(data);
  }
  static void on_request(void *data, guint64 number, const HttpHead *) {
    self(data)->requests.push_back(number);
  }
  static void on_hangup(void *data, guint64 number) {
    self(data)->hangups.push_back(number);
  }
  static void on_bad_input(void *, int, const char *) {
  }
  static void on_stopped(void *, const char *) {
  }
  static void on_cut(void *data, const FrontCut *cut) {
    CallerHead parsed = {};
    std::string id = "-";
    if (cut->head != nullptr &&
        platform_dialect.read_caller(cut->head, &parsed, nullptr))
      id = parsed.request.id;
    caller_head_clear(&parsed);
    self(data)->losses.push_back({cut->reason, id, cut->is_unfinished != 0,
                                  cut->unsent, cut->unacknowledged});
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { caller->read_some(); }, done);
  }
  bool wait_long(const std::function<bool()> &done) {
    for (int i = 0; i < long_wait; i++)
      if (wait(done))
        return true;
    return false;
  }
  void turns(int count) {
    wait([&] { return --count < 0; });
  }
  /* A small buffer of the caller leaves most of an answer in the kernel of the
  ** server's side. */
  void set_receive_buffer(int size) const {
    setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  }
  void send(const std::string &id) {
    size_t before = requests.size();
    caller->send_text("GET /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
                      "\r\nDeadline-Ms: 9000\r\nModel: m\r\n\r\n");
    ASSERT_TRUE(wait([&] { return requests.size() > before; }));
  }
  void answer(const std::string &body) {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests.back(), head, body.data(),
                        body.size());
    http_head_free(head);
  }
  void begin_stream() {
    HttpHead *head = http_head_new_response(200);
    front_begin_response(front, requests.back(), head);
    http_head_free(head);
  }
  void expect_one(CloseReason reason, const std::string &id) {
    ASSERT_EQ(losses.size(), 1u);
    EXPECT_EQ(close_reason_name(losses[0].reason), close_reason_name(reason));
    EXPECT_EQ(losses[0].id, id);
    if (front == nullptr)
      return;
    for (int i = 0; i < CLOSE_REASON_COUNT; i++)
      EXPECT_EQ(front_responses_lost(front, static_cast<CloseReason>(i)),
                i == reason ? 1u : 0u);
  }
};

TEST_F(CloseReasons, WholeAnswersAreNoLoss) {
  send("r-1");
  answer("first");
  send("r-2");
  front_drain(front);
  answer("second");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  caller->close_now();
  EXPECT_TRUE(wait([&] { return front_unsent(front).lingering == 0; }));
  free_front();
  EXPECT_TRUE(losses.empty());
}

TEST_F(CloseReasons, IdleConnectionsAreNoLoss) {
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  front_set_limits(front, &limits);
  send("r-1");
  answer("first");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_TRUE(losses.empty());
}

TEST_F(CloseReasons, ACallerThatLeavesAnOpenRequest) {
  send("r-1");
  caller->close_now();
  EXPECT_TRUE(wait([&] { return !hangups.empty(); }));
  expect_one(CLOSE_CALLER, "r-1");
  EXPECT_TRUE(losses[0].is_unfinished);
}

TEST_F(CloseReasons, ACallerThatLeavesAnAnswerUnread) {
  caller->reading = false;
  send("r-1");
  answer(std::string(8 << 20, 'x'));
  turns(50);
  caller->reset();
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_CALLER, "r-1");
  EXPECT_FALSE(losses[0].is_unfinished);
  EXPECT_GT(losses[0].unsent, 0u);
}

TEST_F(CloseReasons, AStreamThatIsBrokenOff) {
  send("r-1");
  begin_stream();
  front_send_piece(front, requests.back(), "piece", 5);
  front_abort_response(front, requests.back());
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  caller->close_now();
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_BROKEN_OFF, "r-1");
  EXPECT_TRUE(losses[0].is_unfinished);
}

TEST_F(CloseReasons, AnAnswerOfWhichTheKernelCanSendNothing) {
  caller->reading = false;
  send("r-1");
  answer(std::string(8 << 20, 'x'));
  EXPECT_TRUE(wait_long([&] { return !losses.empty(); }));
  expect_one(CLOSE_NOT_READ, "r-1");
  EXPECT_GT(losses[0].unsent, 0u);
}

TEST_F(CloseReasons, AStreamWithTooManyUnreadBytes) {
  const std::string piece(1 << 20, 'x');
  caller->reading = false;
  send("r-1");
  begin_stream();
  for (int i = 0; i < 16 && hangups.empty(); i++) {
    front_send_piece(front, requests.back(), piece.data(), piece.size());
    turns(5);
  }
  EXPECT_TRUE(wait([&] { return !hangups.empty(); }));
  expect_one(CLOSE_UNREAD_MAX, "r-1");
  EXPECT_TRUE(losses[0].is_unfinished);
}

TEST_F(CloseReasons, AStreamThatFlowControlAborts) {
  FlowLimits limits = flow_limits(flow_bound);
  FrontFlowHooks flow = {
      this,
      [](void *, guint64, gboolean) {},
      [](void *, guint64, gint64) {},
      [](void *, guint64, FlowReason, const FlowReader *, guint64) {},
      [](void *, const char *, guint64, guint64) {},
      nullptr};
  const std::string piece(64 << 10, 'x');
  caller->close_now();
  turns(20); /* flow control begins without connections */
  front_control_flow(front, &limits, &flow);
  caller = loopback::call(address);
  caller->reading = false;
  send("r-1");
  begin_stream();
  for (int i = 0; i < 30; i++) {
    front_send_piece(front, requests.back(), piece.data(), piece.size());
    turns(2);
  }
  EXPECT_TRUE(wait_long([&] { return !hangups.empty(); }));
  expect_one(CLOSE_FLOW, "r-1");
}

TEST_F(CloseReasons, ACallerThatSendsOnBehindAnAnswerThatItDoesNotRead) {
  caller->reading = false;
  front_drain(front);
  send("r-1");
  answer(std::string(1 << 20, 'x'));
  EXPECT_TRUE(wait_long([&] {
    caller->send_text("x");
    usleep(10000);
    return !losses.empty();
  }));
  ASSERT_EQ(losses.size(), 1u);
  EXPECT_EQ(losses[0].reason, CLOSE_SENDS_ON);
  EXPECT_GT(losses[0].unacknowledged, 0u);
}

TEST_F(CloseReasons, TheEndOfTheProcessWithAnOpenRequest) {
  send("r-1");
  free_front();
  expect_one(CLOSE_PROCESS_END, "r-1");
  EXPECT_TRUE(losses[0].is_unfinished);
  EXPECT_TRUE(hangups.empty());
}

/* Guards against an end of the process that claims the loss for itself: the
** stream was lost before, when it was broken off. */
TEST_F(CloseReasons, TheEndOfTheProcessAfterAStreamWasBrokenOff) {
  send("r-1");
  begin_stream();
  turns(5);
  front_abort_response(front, requests.back());
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  free_front();
  expect_one(CLOSE_BROKEN_OFF, "r-1");
  EXPECT_TRUE(losses[0].is_unfinished);
}

/* Guards against a request that is read and discarded without a trace. */
TEST_F(CloseReasons, ARequestThatAHalfClosedConnectionDiscards) {
  front_drain(front);
  send("r-1");
  answer("first");
  ASSERT_TRUE(wait([&] { return caller->ended; }));
  caller->send_text("POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-2\r\n"
                    "Deadline-Ms: 9000\r\nModel: m\r\n"
                    "Content-Length: 4\r\n\r\nbody");
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_DISCARDED, "r-2");
  EXPECT_TRUE(losses[0].is_unfinished);
}

/* The same for a part of one, when the connection is closed. */
TEST_F(CloseReasons, APartOfARequestThatAHalfClosedConnectionDiscards) {
  front_drain(front);
  send("r-1");
  answer("first");
  ASSERT_TRUE(wait([&] { return caller->ended; }));
  caller->send_text("POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-2\r\n");
  caller->send_text("Deadline-Ms: 9000\r\n");
  turns(20);
  EXPECT_TRUE(losses.empty());
  caller->close_now();
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_DISCARDED, "-");
}

/* Guards against a line for the rest of a body whose request was refused. */
TEST_F(CloseReasons, TheRestOfABodyIsNoDiscardedRequest) {
  const std::string rest = "GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n";
  caller->send_text("POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"
                    "Deadline-Ms: 9000\r\nModel: m\r\n"
                    "Content-Length: 5000\r\n\r\n");
  turns(20);
  front_drain(front);
  front_stop_receiving(front);
  ASSERT_TRUE(wait([&] { return caller->ended; }));
  caller->send_text(rest);
  turns(20);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return front_unsent(front).lingering == 0; }));
  EXPECT_TRUE(losses.empty());
}

/* Guards against the end of a connection (FIN) that counts as a byte of its
** response: callers may acknowledge it 40 ms later. */
TEST_F(CloseReasons, TheEndOfAConnectionIsNoUnacknowledgedByte) {
  const size_t size = 100;
  send("r-1");
  begin_stream();
  for (int i = 0; i < 30;
       i++) { /* the kernel acknowledges the first at once */
    size_t before = caller->got.size();
    front_send_piece(front, requests.back(), std::string(size, 'x').data(),
                     size);
    ASSERT_TRUE(wait([&] { return caller->got.size() >= before + size; }));
  }
  front_abort_response(front, requests.back());
  guint64 most = 0;
  guint sending = 0;
  ASSERT_TRUE(wait([&] {
    FrontUnsent unsent = front_unsent(front);
    most = std::max(most, unsent.unacknowledged);
    sending = std::max(sending, unsent.connections);
    return caller->ended;
  }));
  EXPECT_EQ(most, 0u);
  EXPECT_EQ(sending, 0u);
}

/* Guards against a next request that is read before the answer before it has
** left: it would be lost too, and it would not be clear which one was. */
TEST_F(CloseReasons, ANextRequestBehindAnAnswerThatIsNotRead) {
  const std::string next = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-2"
                           "\r\nDeadline-Ms: 9000\r\nModel: m\r\n\r\n";
  caller->reading = false;
  send("r-1");
  answer(std::string(8 << 20, 'x'));
  caller->send_text(next);
  turns(50);
  EXPECT_EQ(requests.size(), 1u);
  caller->reset();
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_CALLER, "r-1");
  EXPECT_FALSE(losses[0].is_unfinished);
  EXPECT_EQ(requests.size(), 1u);
}

/* Guards against a next request that is forgotten while it waits. */
TEST_F(CloseReasons, ANextRequestBehindAnAnswerThatIsReadLate) {
  const std::string next = "GET /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-2"
                           "\r\nDeadline-Ms: 9000\r\nModel: m\r\n\r\n";
  caller->reading = false;
  send("r-1");
  answer(std::string(8 << 20, 'x'));
  caller->send_text(next);
  turns(50);
  EXPECT_EQ(requests.size(), 1u);
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return requests.size() == 2; }));
  EXPECT_TRUE(losses.empty());
  answer("second");
  EXPECT_TRUE(wait([&] {
    return caller->got.size() > 6 &&
           caller->got.compare(caller->got.size() - 6, 6, "second") == 0;
  }));
}

/* Guards against naming the earlier answer as well when its bytes have left.
 */
TEST_F(CloseReasons, OnlyTheSecondAnswerOfAConnection) {
  const std::string piece(64 << 10, 'x');
  send("r-1");
  answer(piece);
  send("r-2");
  begin_stream();
  ASSERT_TRUE(wait([&] { return caller->got.size() > piece.size(); }));
  caller->reading = false;
  for (int i = 0; i < 30; i++)
    front_send_piece(front, requests.back(), piece.data(), piece.size());
  turns(50);
  caller->reset();
  EXPECT_TRUE(wait([&] { return !hangups.empty(); }));
  expect_one(CLOSE_CALLER, "r-2");
}

TEST_F(CloseReasons, TheEndOfTheProcessWithUnsentBytes) {
  caller->reading = false;
  send("r-1");
  answer(std::string(8 << 20, 'x'));
  turns(50);
  free_front();
  expect_one(CLOSE_PROCESS_END, "r-1");
  EXPECT_GT(losses[0].unsent, 0u);
}

/* In most cases the pieces of a stream have left the process when it is broken
** off, so that nothing is unsent at that moment. */
TEST_F(CloseReasons, AStreamThatIsBrokenOffBehindItsLastPieceIsNamed) {
  send("r-1");
  begin_stream();
  front_send_piece(front, requests.back(), "piece", 5);
  ASSERT_TRUE(
      wait([&] { return caller->got.find("piece") != std::string::npos; }));
  turns(20);
  front_abort_response(front, requests.back());
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  caller->close_now();
  EXPECT_TRUE(wait([&] { return !losses.empty(); }));
  expect_one(CLOSE_BROKEN_OFF, "r-1");
}

/* The kernel holds the answer, so the process has no unsent bytes of it. */
TEST_F(CloseReasons, AnAnswerThatOnlyTheKernelHoldsIsNamed) {
  caller->reading = false;
  set_receive_buffer(16 << 10);
  send("r-1");
  answer(std::string(200 << 10, 'x'));
  ASSERT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  turns(20);
  front_drain(front);
  front_stop_receiving(front);
  ASSERT_GT(front_unsent(front).unacknowledged, 0u);
  free_front();
  expect_one(CLOSE_PROCESS_END, "r-1");
}

/* The head of a request has arrived, and its body has not, when a stop refuses
** it by that head. */
TEST_F(CloseReasons, TheRefusalOfARequestThatStillArrivesIsNamed) {
  caller->send_text("POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"
                    "Deadline-Ms: 9000\r\nModel: m\r\n"
                    "Content-Length: 5000\r\n\r\nbegin");
  turns(20);
  front_drain(front);
  front_stop_receiving(front);
  ASSERT_GT(front_unsent(front).bytes, 0u);
  free_front();
  expect_one(CLOSE_PROCESS_END, "r-1");
}

/* Guards against a stop that breaks streams off at its latest end, and then
** reports them as lost by the end of the process. */
TEST_F(CloseReasons, ABrokenOffStreamKeepsItsReasonAtTheEndOfTheProcess) {
  front_drain(front);
  send("r-1");
  begin_stream();
  front_send_piece(front, requests.back(), "piece", 5);
  front_abort_response(front, requests.back());
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  free_front();
  expect_one(CLOSE_BROKEN_OFF, "r-1");
}

/* The same for a connection that was shut down in the last turn before the
** process ends. */
TEST_F(CloseReasons, AStreamWithTooManyUnreadBytesKeepsItsReasonAtTheEnd) {
  caller->reading = false;
  send("r-1");
  begin_stream();
  const std::string piece(8 << 20, 'x');
  front_send_piece(front, requests.back(), piece.data(), piece.size());
  free_front();
  expect_one(CLOSE_UNREAD_MAX, "r-1");
}

/* Guards against a line of a loss for an answer that arrives whole: the kernel
** goes on sending what it holds when the connection is closed. */
TEST_F(CloseReasons, AnAnswerThatIsReadSlowlyToItsEndIsNoLoss) {
  const size_t size = 200 << 10;
  caller->reading = false;
  set_receive_buffer(16 << 10);
  front_drain(front);
  send("r-1");
  answer(std::string(size, 'x'));
  ASSERT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  for (int i = 0; i < 130; i++) { /* 13 s at 10 KB/s */
    char bytes[1024];
    ssize_t n = recv(caller->fd, bytes, sizeof bytes, 0);
    if (n > 0)
      caller->got.append(bytes, static_cast<size_t>(n));
    turns(80);
  }
  caller->reading = true;
  /* the kernel sends on at its next probe of the caller's window, some seconds
  ** after a window that was closed for as long */
  EXPECT_TRUE(wait_long([&] { return caller->ended; }));
  EXPECT_NE(caller->got.find(std::string(size, 'x')), std::string::npos);
  EXPECT_TRUE(losses.empty());
}

} // namespace
