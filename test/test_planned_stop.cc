/*
** test_planned_stop.cc
** The end of a planned stop: the decision by itself, and what the server for
** callers (Front) counts as not sent
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

struct PlannedStopTest : ::testing::Test {
  PlannedStop stop = {2800 * MP_MS, 7600 * MP_MS, 50 * MP_SEC, 0, 0};

  /* The phase so many milliseconds after the beginning. */
  StopPhase phase(gint64 ms, StopWork work) {
    return planned_stop_review(&stop, &work, stop.began_at + ms * MP_MS);
  }
};

TEST_F(PlannedStopTest, AcceptsRequestsForTheLeastTime) {
  PlannedStop none = {};
  EXPECT_TRUE(planned_stop_accepts(&none, 50 * MP_SEC));
  EXPECT_EQ(phase(0, {0, 0, 0, 0}), STOP_ACCEPTING);
  EXPECT_EQ(phase(2799, {1, 1, 1, 1}), STOP_ACCEPTING);
  EXPECT_EQ(phase(2800, {1, 0, 0, 0}), STOP_FINISHING);
}

TEST_F(PlannedStopTest, IsDrainedOnlyWhenNothingIsLeftOfAnyKind) {
  EXPECT_EQ(phase(7500, {1, 0, 0, 0}), STOP_FINISHING);
  EXPECT_EQ(phase(7510, {0, 1, 0, 0}), STOP_FINISHING);
  EXPECT_EQ(phase(7520, {0, 0, 1, 0}), STOP_FINISHING);
  EXPECT_EQ(phase(7530, {0, 0, 0, 1}), STOP_FINISHING);
  EXPECT_EQ(phase(7540, {0, 0, 0, 0}), STOP_DRAINED);
}

TEST_F(PlannedStopTest, EndsRequestsOnceAndThenCutsWhatIsLeft) {
  for (StopWork work : {StopWork{1, 0, 0, 0}, {0, 1, 0, 0}, {0, 0, 1, 0}}) {
    stop.ended_at = 0;
    EXPECT_EQ(phase(7600, work), STOP_ENDING);
    EXPECT_EQ(phase(7650, work), STOP_FLUSHING);
    EXPECT_EQ(phase(7799, work), STOP_FLUSHING);
    EXPECT_EQ(phase(7800, work), STOP_CUTTING);
  }
}

TEST_F(PlannedStopTest, EndsRequestsAlsoWhenTheEventLoopIsLate) {
  EXPECT_EQ(phase(7550, {1, 0, 0, 0}), STOP_FINISHING);
  EXPECT_EQ(phase(7950, {1, 0, 0, 0}), STOP_ENDING);
  EXPECT_EQ(phase(8000, {0, 0, 1, 0}), STOP_FLUSHING);
  EXPECT_EQ(phase(8010, {0, 0, 0, 0}), STOP_DRAINED);
}

TEST_F(PlannedStopTest,
       CallersThatKeepTheirConnectionsDelayItByASecondAtMost) {
  EXPECT_EQ(phase(2800, {0, 0, 0, 1}), STOP_FINISHING);
  EXPECT_EQ(phase(3000, {0, 0, 1, 1}), STOP_FINISHING); /* one was refused */
  EXPECT_EQ(phase(3799, {0, 0, 0, 2}), STOP_FINISHING);
  EXPECT_EQ(phase(3800, {0, 0, 1, 2}), STOP_FINISHING);
  EXPECT_EQ(phase(3850, {0, 0, 0, 2}), STOP_DRAINED);
}

TEST_F(PlannedStopTest, CallersThatKeepTheirConnectionsAreNotCutOff) {
  EXPECT_EQ(phase(7599, {0, 0, 0, 1}), STOP_FINISHING);
  EXPECT_EQ(phase(7600, {0, 0, 0, 1}), STOP_DRAINED);
}

const std::string get = "GET /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

struct StoppingFront : ::testing::Test {
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
    listen_again();
    caller = loopback::call(address);
  }
  void listen_again() {
    FrontHooks hooks = {this,         on_request, on_hangup,
                        on_bad_input, on_stopped, on_cut};
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
  }
  void TearDown() override {
    if (front != nullptr)
      front_free(front);
    event_base_free(base);
  }
  static void on_request(void *data, guint64 number, const HttpHead *) {
    static_cast<StoppingFront *>(data)->requests.push_back(number);
  }
  static void on_hangup(void *, guint64) {
  }
  static void on_bad_input(void *, int, const char *) {
  }
  static void on_cut(void *, const FrontCut *) {
  }
  static void on_stopped(void *, const char *) {
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { caller->read_some(); }, done);
  }
  /* Sends a request, and answers it once it was received. */
  void answer(const std::string &body) {
    size_t before = requests.size();
    caller->send_text(get);
    ASSERT_TRUE(wait([&] { return requests.size() > before; }));
    answer_last(body);
  }
  void answer_last(const std::string &body) {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, requests.back(), head, body.data(),
                        body.size());
    http_head_free(head);
  }
  /* A stream that began before a stop ends in it. Its caller's next request
  ** has arrived before the event loop runs again. */
  void end_stream_in_stop(const std::string &piece) {
    caller->send_text(get);
    ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
    HttpHead *head = http_head_new_response(200);
    front_begin_response(front, requests[0], head);
    http_head_free(head);
    front_send_piece(front, requests[0], piece.data(), piece.size());
    front_drain(front);
    front_stop_receiving(front);
    front_end_response(front, requests[0]);
    caller->send_text(get);
    usleep(10000);
  }
  /* Connections that a stop waits for. */
  guint left() const {
    FrontUnsent unsent = front_unsent(front);
    return unsent.connections + unsent.lingering;
  }
  /* Does the caller get the refusal of a request that was not run? */
  bool is_refused() {
    return wait([&] {
      return caller->got.rfind("HTTP/1.1 503", 0) == 0 &&
             caller->got.find("not run:") != std::string::npos &&
             caller->got.find("Retry-After") != std::string::npos;
    });
  }
  bool is_whole(const std::string &body) const {
    return caller->got.size() > body.size() &&
           caller->got.compare(caller->got.size() - body.size(), body.size(),
                               body) == 0;
  }
};

TEST_F(StoppingFront, AResponseThatIsQueuedInThisTurnIsNotSentYet) {
  front_drain(front);
  answer("last");
  EXPECT_EQ(front_open_requests(front), 0u);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  EXPECT_GT(front_unsent(front).bytes, 4u);
  EXPECT_TRUE(wait([&] { return is_whole("last"); }));
  EXPECT_TRUE(wait([&] { return left() == 0; }));
}

TEST_F(StoppingFront, AKeptConnectionWithUnsentBytesIsNotIdle) {
  const std::string large(8 << 20, 'x');
  caller->reading = false;
  answer(large);
  front_stop_receiving(front);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return is_whole(large); }));
  EXPECT_FALSE(caller->ended);
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

TEST_F(StoppingFront, ARefusalOfInputThatStillArrivesIsNotSentYet) {
  CallerLimits limits = {1000, 1000, MP_SEC, MP_SEC};
  front_set_limits(front, &limits);
  caller->send_text("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n"
                    "\r\n" +
                    std::string(2000, 'x'));
  EXPECT_TRUE(wait([&] { return !caller->got.empty(); }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 413", 0), 0u);
  EXPECT_EQ(left(), 1u);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return left() == 0; }));
}

/* Guards against a connection that goes on behind a field of doubtful name. */
TEST_F(StoppingFront, ASpaceBeforeAColonEndsTheConnectionWith400) {
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\nKv-From : x\r\n\r\n" + get);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 400", 0), 0u);
  EXPECT_TRUE(requests.empty());
}

TEST_F(StoppingFront, ACallerThatSentTooSlowlyLeavesNoConnectionBehind) {
  CallerLimits limits = {1000, 1000, 100 * MP_MS, MP_SEC};
  front_set_limits(front, &limits);
  caller->send_text("GET /1 HTTP/1.1\r\nHo");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 408", 0), 0u);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return left() == 0; }));
}

/* Closing a socket on which bytes arrive resets the connection, and the kernel
** discards what it has not sent. */
TEST_F(StoppingFront, AnAnswerIsWholeAlthoughItsCallerSendsAnotherRequest) {
  const std::string large(1 << 20, 'x');
  caller->reading = false;
  front_drain(front);
  answer(large);
  EXPECT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  int turns = 0;
  wait([&] { return ++turns > 20; });
  caller->send_text(get);
  wait([&] { return ++turns > 40; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_TRUE(is_whole(large));
}

TEST_F(StoppingFront, TheIdleTimeoutDoesNotCutAnAnswerThatIsStillRead) {
  const std::string large(8 << 20, 'x');
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  answer(large);
  int turns = 0;
  wait([&] { return ++turns > 300; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return is_whole(large); }));
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* Guards against the idle timeout, which closes a socket whose kernel still
** holds an answer: the caller's next request resets it, and the rest of the
** answer is discarded, without a stop. */
TEST_F(StoppingFront, TheIdleTimeoutDoesNotResetAnAnswerThatTheKernelHolds) {
  const std::string large(200 << 10, 'x');
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  int size = 16 << 10;
  front_set_limits(front, &limits);
  setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  caller->reading = false;
  answer(large);
  ASSERT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  wait([turns = 0]() mutable { return ++turns > 300; });
  caller->send_text(get);
  wait([turns = 0]() mutable { return ++turns > 20; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended || is_whole(large); }));
  EXPECT_NE(caller->got.find(large), std::string::npos);
}

/* Records at each turn of the loop what is counted as not sent, as the timer
** of a stop may do at any of them. */
struct Counter {
  Front *front;
  struct event *timer;
  std::vector<guint> connections;

  Counter(struct event_base *base, Front *counted) : front(counted) {
    timer = evtimer_new(base, on_timer, this);
    on_timer(-1, 0, this);
  }
  ~Counter() {
    event_free(timer);
  }
  static void on_timer(evutil_socket_t, short, void *data) {
    struct timeval at_once = {0, 0};
    Counter *counter = static_cast<Counter *>(data);
    FrontUnsent unsent = front_unsent(counter->front);
    counter->connections.push_back(unsent.connections + unsent.lingering);
    event_add(counter->timer, &at_once);
  }
  /* Was nothing counted, and something again later? */
  bool has_gap() const {
    size_t i = 0;
    while (i < connections.size() && connections[i] == 0)
      i++;
    while (i < connections.size() && connections[i] > 0)
      i++;
    while (i < connections.size() && connections[i] == 0)
      i++;
    return i < connections.size();
  }
};

/* A connection that has still to be half-closed must count as not sent in each
** turn, or a stop that ends in this turn closes it at once. */
TEST_F(StoppingFront, AResponseCountsUntilItsConnectionIsClosed) {
  front_drain(front);
  answer("last");
  {
    Counter counter(base, front);
    for (int i = 0; i < 100; i++) {
      event_base_loop(base, EVLOOP_ONCE);
      caller->read_some();
    }
    EXPECT_TRUE(is_whole("last"));
    EXPECT_FALSE(counter.has_gap());
  }
}

/* Guards against closing a kept connection with a request in its socket: the
** caller would get neither an answer nor a refusal. */
TEST_F(StoppingFront, ARequestThatIsInTheKernelIsReceived) {
  front_drain(front);
  answer("first");
  caller = loopback::call(address);
  wait([turns = 0]() mutable { return ++turns > 20; });
  caller->send_text(get);
  usleep(10000); /* it arrives, and the event loop does not run */
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return requests.size() == 2; }));
}

/* Guards against closing a new connection as idle just before its first bytes
 * arrive. */
TEST_F(StoppingFront, TheFirstRequestOfANewConnectionIsReceived) {
  front_drain(front);
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_stop_receiving(front);
  EXPECT_GT(front_unsent(front).receiving, 0u);
  caller->send_text(get);
  EXPECT_TRUE(wait([&] { return requests.size() == 1; }));
}

/* Guards against a stop that waits for a new connection on which nothing
 * comes. */
TEST_F(StoppingFront, ANewConnectionWithoutARequestIsClosedSoon) {
  front_drain(front);
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(front_unsent(front).receiving, 0u);
  EXPECT_EQ(left(), 0u);
}

/* Guards against a stop that ends while a complete request lies in a
** connection that the kernel has made and the process has not accepted. */
TEST_F(StoppingFront, ARequestOnAConnectionThatIsNotAcceptedYetIsReceived) {
  front_drain(front);
  caller->send_text(get);
  usleep(10000); /* it arrives, and the event loop does not run */
  front_stop_receiving(front);
  EXPECT_GT(front_unsent(front).receiving, 0u);
  EXPECT_TRUE(wait([&] { return requests.size() == 1; }));
}

/* Guards against a stop that ends while a request arrives, whose caller gets
** neither an answer nor a refusal. */
TEST_F(StoppingFront, ARequestWhoseBodyStillArrivesIsRefusedAsNotRun) {
  front_drain(front);
  caller->send_text("POST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-7\r\n"
                    "Content-Length: 5000\r\n\r\nbegin");
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_stop_receiving(front);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  EXPECT_TRUE(is_refused());
  EXPECT_NE(caller->got.find("r-7"), std::string::npos);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* The same for a head of which only a part has arrived. */
TEST_F(StoppingFront, APartOfAHeadIsRefusedAsNotRun) {
  front_drain(front);
  caller->send_text("POST /1 HTTP/1.1\r\nHost: h\r\nReq");
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_stop_receiving(front);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  EXPECT_TRUE(is_refused());
}

/* The same for a request that begins after the stop accepts no more: it is
** refused by its head, without waiting for its body. */
TEST_F(StoppingFront, AHeadThatArrivesLateIsRefusedBeforeItsBody) {
  front_drain(front);
  caller->send_text("P");
  usleep(10000);
  wait([turns = 0]() mutable { return ++turns > 20; });
  caller->send_text("OST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-7\r\n"
                    "Content-Length: 5000\r\n\r\n");
  usleep(10000);
  front_stop_receiving(front);
  EXPECT_TRUE(is_refused());
  EXPECT_NE(caller->got.find("r-7"), std::string::npos);
}

/* A stop must not wait for memory for a body that it would refuse. */
TEST_F(StoppingFront, ABodyThatIsHeldBackIsRefusedAsNotRun) {
  FlowLimits limits = flow_limits(64 << 10);
  front_free(front);
  front = nullptr;
  listen_again();
  FrontFlowHooks hooks = {this,
                          nullptr,
                          nullptr,
                          nullptr,
                          [](void *, const char *, guint64, guint64) {},
                          nullptr};
  front_control_flow(front, &limits, &hooks);
  caller = loopback::call(address);
  caller->send_text("POST /1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r-7\r\n"
                    "Content-Length: 1000000\r\n\r\n");
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_drain(front);
  front_stop_receiving(front);
  EXPECT_EQ(front_unsent(front).connections, 1u);
  EXPECT_TRUE(is_refused());
}

/* The head of a stream that began before the stop does not announce the end of
** its connection, so that its caller may have sent a next request. */
TEST_F(StoppingFront, AStreamThatBeganBeforeTheStopKeepsItsNextRequest) {
  caller->send_text(get);
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  HttpHead *head = http_head_new_response(200);
  front_begin_response(front, requests[0], head);
  http_head_free(head);
  front_drain(front);
  caller->send_text(get);
  wait([turns = 0]() mutable { return ++turns > 20; });
  front_stop_receiving(front);
  front_end_response(front, requests[0]);
  EXPECT_TRUE(wait([&] { return requests.size() == 2; }));
}

/* Guards against a next request that is read and discarded because it comes
** between the end of a stream and the close of its connection. */
TEST_F(StoppingFront, ANextRequestThatComesAsAStreamEndsIsReceived) {
  end_stream_in_stop("x");
  EXPECT_TRUE(wait([&] { return requests.size() == 2; }));
}

/* The same while the link has not taken the last bytes of the stream. */
TEST_F(StoppingFront, ANextRequestThatComesAsAStreamIsStillSentIsReceived) {
  caller->reading = false;
  end_stream_in_stop(std::string(2 << 20, 'x'));
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return requests.size() == 2; }));
}

/* A caller may end its side once its request is sent. */
TEST_F(StoppingFront, AnAnswerIsWholeAlthoughItsCallerHasEndedItsSide) {
  const std::string large(8 << 20, 'x');
  caller->reading = false;
  answer(large);
  shutdown(caller->fd, SHUT_WR);
  wait([turns = 0]() mutable { return ++turns > 50; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_TRUE(is_whole(large));
}

/* Guards against a connection that stays, with its memory, because its end is
** reported together with a failure to write. */
TEST_F(StoppingFront, AnAbortedConnectionLeavesNoUnsentBytes) {
  FlowLimits limits = flow_limits(1 << 20);
  front_free(front);
  front = nullptr;
  listen_again();
  int aborts = 0;
  FrontFlowHooks hooks = {&aborts,
                          [](void *, guint64, gboolean) {},
                          [](void *, guint64, gint64) {},
                          [](void *data, guint64, FlowReason,
                             const FlowReader *,
                             guint64) { ++*static_cast<int *>(data); },
                          nullptr,
                          nullptr};
  front_control_flow(front, &limits, &hooks);
  caller = loopback::call(address);
  caller->reading = false;
  answer(std::string(8 << 20, 'x'));
  EXPECT_TRUE(wait([&] { return aborts == 1; }));
  EXPECT_TRUE(wait([&] { return left() == 0; }));
  EXPECT_EQ(front_unsent(front).bytes, 0u);
}

/* The timeout of a request that is refused must not cut what is still sent. */
TEST_F(StoppingFront, TheHeadTimeoutDoesNotCutARefusalBehindAnAnswer) {
  const std::string large(8 << 20, 'x');
  CallerLimits limits = {1000, 1000, 100 * MP_MS, 10 * MP_SEC};
  front_set_limits(front, &limits);
  caller->reading = false;
  answer(large);
  caller->send_text("GET /1 HTTP/1.1\r\nHo");
  wait([turns = 0]() mutable { return ++turns > 20; });
  caller->send_text("st h\r\n\r\n");
  wait([turns = 0]() mutable { return ++turns > 300; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_NE(caller->got.find(large), std::string::npos);
  EXPECT_NE(caller->got.find("HTTP/1.1 400"), std::string::npos);
}

/* Guards against a caller that holds its connection for ever, and each stop
** until its latest end, by sending on after its response. */
TEST_F(StoppingFront, ACallerThatSendsOnIsClosedInTheEnd) {
  gint64 began = clock_now();
  caller->send_text("what\r\n\r\n");
  while (!caller->ended && clock_now() - began < 2 * MP_SEC)
    wait([] { return true; });
  while (left() > 0 && clock_now() - began < 15 * MP_SEC) {
    caller->send_text("x");
    wait([] { return true; });
    usleep(20000);
  }
  EXPECT_GT(clock_now() - began, 5 * MP_SEC);
  EXPECT_LT(clock_now() - began, 12 * MP_SEC);
}

/* What was sent of a response that is broken off must arrive: its caller may
** continue behind the last event. */
TEST_F(StoppingFront, ABrokenOffStreamKeepsWhatWasSent) {
  const std::string large(1 << 20, 'x');
  caller->reading = false;
  caller->send_text(get);
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  HttpHead *head = http_head_new_response(200);
  front_begin_response(front, requests[0], head);
  http_head_free(head);
  front_send_piece(front, requests[0], large.data(), large.size());
  wait([&] { return front_unsent(front).bytes == 0; });
  front_abort_response(front, requests[0]);
  caller->send_text(get);
  wait([turns = 0]() mutable { return ++turns > 20; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_NE(caller->got.find(large), std::string::npos);
  EXPECT_EQ(caller->got.find("0\r\n\r\n"), std::string::npos);
}

/* front_stop_receiving must not reset a connection whose last answer the
** kernel has not sent whole; its next request is received. */
TEST_F(StoppingFront, IdleConnectionsAreClosedWithoutCuttingTheLastAnswer) {
  const std::string large(1 << 20, 'x');
  caller->reading = false;
  answer(large);
  EXPECT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  front_stop_receiving(front);
  caller->send_text(get);
  int turns = 0;
  wait([&] { return ++turns > 40; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return requests.size() == 2 && is_whole(large); }));
  answer_last("second");
  EXPECT_TRUE(wait([&] { return is_whole("second"); }));
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* The idle timeout must not close the socket while the kernel still sends: a
** next request that arrives then would reset the connection. */
TEST_F(StoppingFront, TheIdleTimeoutDoesNotCutAnAnswerThatTheKernelHolds) {
  const std::string large(1 << 20, 'x');
  CallerLimits limits = {1000, 1000, MP_SEC, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  answer(large);
  EXPECT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  gint64 began = g_get_monotonic_time();
  wait([&] { return g_get_monotonic_time() - began > 250 * MP_MS; });
  caller->send_text(get);
  wait([&] { return g_get_monotonic_time() - began > 300 * MP_MS; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return requests.size() == 2 && is_whole(large); }));
  answer_last("second");
  EXPECT_TRUE(wait([&] { return is_whole("second"); }));
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

/* A request that has arrived at the socket of a kept connection must be read
** and refused, not reset by front_stop_receiving. */
TEST_F(StoppingFront, IdleConnectionsWithAnArrivedRequestAreNotClosed) {
  answer("first");
  EXPECT_TRUE(wait([&] { return is_whole("first"); }));
  front_drain(front);
  caller->send_text(get);
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return caller->ended || requests.size() == 2; }));
  EXPECT_EQ(requests.size(), 2u);
}

/* The linger time must not end while the kernel has bytes to send. */
TEST_F(StoppingFront, AnAnswerIsWholeAlthoughTheNextRequestComesLate) {
  const std::string large(1 << 20, 'x');
  caller->reading = false;
  front_drain(front);
  answer(large);
  EXPECT_TRUE(wait([&] { return front_unsent(front).bytes == 0; }));
  int turns = 0;
  wait([&] { return ++turns > 1300; });
  caller->send_text(get);
  wait([&] { return ++turns > 1350; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_TRUE(is_whole(large));
}

/* The read timeout of a request must not end a connection that is flushed. */
TEST_F(StoppingFront, RejectedInputDoesNotCutTheAnswerBeforeIt) {
  const std::string large(8 << 20, 'x');
  CallerLimits limits = {1000, 1000, 100 * MP_MS, 100 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  answer(large);
  caller->send_text("no request\r\n\r\n");
  int turns = 0;
  wait([&] { return ++turns > 300; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_GT(caller->got.size(), large.size());
}

/* The idle timeout must not run while an answer is sent: the caller would have
** no time left for its next request. */
TEST_F(StoppingFront, TheIdleTimeoutBeginsWhenTheAnswerIsSent) {
  const std::string large(8 << 20, 'x');
  CallerLimits limits = {1000, 1000, MP_SEC, 300 * MP_MS};
  front_set_limits(front, &limits);
  caller->reading = false;
  answer(large);
  gint64 began = g_get_monotonic_time();
  wait([&] { return g_get_monotonic_time() - began > 520 * MP_MS; });
  caller->reading = true;
  EXPECT_TRUE(wait([&] { return is_whole(large); }));
  gint64 sent = g_get_monotonic_time();
  wait([&] { return g_get_monotonic_time() - sent > 200 * MP_MS; });
  EXPECT_FALSE(caller->ended);
}

} // namespace
