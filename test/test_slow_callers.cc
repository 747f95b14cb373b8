/*
** test_slow_callers.cc
** Callers that read slowly, between the server for callers (Front) and the
** connections to endpoints (EndpointLinks), on loopback: the two are joined as
** in io/gateway.c, without a router, so that each request is sent once
*/

#include <gtest/gtest.h>
#include <signal.h>

#include <map>

#include "loopback.h"

extern "C" {
#include "io/clock.h"
#include "io/endpoint_links.h"
#include "io/front.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

constexpr guint64 bound = 4 << 20;
const std::string event = "id: 1\ndata: " + std::string(8000, 'x') + "\n\n";

struct SlowCallers : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener endpoint;
  Front *front = nullptr;
  EndpointLinks *links = nullptr;
  mp_Addr address = 0;
  std::vector<std::unique_ptr<Peer>> callers;
  std::vector<guint64> requests;
  std::vector<guint64> hangups;
  std::map<guint64, guint64> request_of; /* dispatch -> request */
  std::map<guint64, FlowReason> aborted; /* request -> reason */
  std::map<guint64, OutcomeKind> ended;  /* request -> last outcome */
  gboolean stream = TRUE;
  int paused_reports = 0;
  std::vector<std::string> refused; /* ids of requests with too large bodies */
  bool sends = true;                /* requests to the endpoint */
  guint64 most = 0;                 /* unread bytes of all callers */

  void SetUp() override {
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
    FrontHooks hooks = {this,         on_request, on_hangup,
                        on_bad_input, on_stopped, on_cut};
    FrontFlowHooks flow = {this,       on_pause,   on_paused,
                           on_aborted, on_refused, nullptr};
    EndpointLinksHooks link_hooks = {this,       on_outcome, on_signals,
                                     on_counted, keeps,      nullptr};
    FlowLimits limits = flow_limits(bound);
    {
      Listener free_port;
      address = free_port.address;
    }
    front =
        front_new(base, address, &platform_dialect, &hooks, nullptr, nullptr);
    ASSERT_NE(front, nullptr);
    front_control_flow(front, &limits, &flow);
    links = endpoint_links_new(base, &platform_dialect, &link_hooks);
  }
  void TearDown() override {
    callers.clear();
    front_free(front);
    endpoint_links_free(links);
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
  }

  static SlowCallers *self_of(void *data) {
    return static_cast<SlowCallers *>(data);
  }
  static void on_request(void *data, guint64 number, const HttpHead *head) {
    SlowCallers *self = self_of(data);
    Dispatch one = {};
    one.number = 1000 + number;
    one.request = number;
    one.kind = DISPATCH_RUN;
    one.address = self->endpoint.address;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = 30000;
    one.stream = self->stream;
    one.connect_timeout = 500 * MP_MS;
    self->requests.push_back(number);
    self->request_of[one.number] = number;
    if (!self->sends)
      return;
    endpoint_links_send(self->links, &one, head,
                        front_request_body(self->front, number));
  }
  static void on_hangup(void *data, guint64 number) {
    self_of(data)->hangups.push_back(number);
    endpoint_links_cancel(self_of(data)->links, 1000 + number);
  }
  static void on_bad_input(void *, int, const char *) {
  }
  static void on_cut(void *, const FrontCut *) {
  }
  static void on_stopped(void *, const char *) {
  }
  static void on_pause(void *data, guint64 request, gboolean pauses) {
    endpoint_links_pause(self_of(data)->links, request, pauses);
  }
  static void on_paused(void *data, guint64, gint64) {
    self_of(data)->paused_reports++;
  }
  static void on_aborted(void *data, guint64 request, FlowReason reason,
                         const FlowReader *, guint64) {
    self_of(data)->aborted[request] = reason;
  }
  static void on_refused(void *data, const char *id, guint64, guint64) {
    self_of(data)->refused.emplace_back(id);
  }
  static void on_outcome(void *data, const Outcome *outcome) {
    SlowCallers *self = self_of(data);
    guint64 request = self->request_of[outcome->dispatch];
    const auto *answer =
        static_cast<const EndpointResponse *>(outcome->payload);
    self->ended[request] = outcome->kind;
    if (outcome->kind == OUTCOME_STREAM_HEAD)
      front_begin_response(self->front, request, answer->head);
    else if (outcome->kind == OUTCOME_STREAM_PIECE)
      front_send_piece(self->front, request, answer->bytes, answer->size);
    else if (outcome->kind == OUTCOME_STREAM_END)
      front_end_response(self->front, request);
    else if (outcome->kind == OUTCOME_ANSWER)
      front_send_response(self->front, request, answer->head, answer->bytes,
                          answer->size);
    else
      front_abort_response(self->front, request);
  }
  static void on_signals(void *, const char *, guint32,
                         const EndpointSignals *) {
  }
  static void on_counted(void *, const char *, guint, guint) {
  }
  static gboolean keeps(void *, const char *) {
    return TRUE;
  }

  /* A caller. One that does not read has a kernel that takes little. */
  size_t call(bool reads) {
    int small = 16384;
    callers.push_back(loopback::call(address));
    if (!reads)
      setsockopt(callers.back()->fd, SOL_SOCKET, SO_RCVBUF, &small,
                 sizeof small);
    callers.back()->reading = reads;
    callers.back()->send_text("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1"
                              "\r\n\r\n");
    return callers.size() - 1;
  }
  /* Runs everything until 'done', for at most so many seconds. */
  bool wait(
      const std::function<bool()> &done, int seconds = 2,
      const std::function<void()> &work = [] {}) {
    gint64 end = clock_now() + seconds * MP_SEC;
    while (clock_now() < end) {
      endpoint.work();
      for (auto &one : callers)
        one->read_some();
      work();
      event_base_loop(base, EVLOOP_NONBLOCK);
      most = MAX(most, flow_total(front_flow(front)));
      if (done())
        return true;
      usleep(500);
    }
    return false;
  }
  /* The endpoint's connection for the request that arrived as number 'i'. */
  Peer *asked(size_t i) {
    EXPECT_TRUE(wait([&] {
      return endpoint.peers.size() > i &&
             endpoint.peers[i]->got.find("\r\n\r\n") != std::string::npos;
    }));
    return endpoint.peers[i].get();
  }
  static std::string head(const std::string &fields) {
    return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" +
           fields + "\r\n";
  }
  static std::string stream_head(const std::string &fields) {
    return head("Content-Type: text/event-stream\r\n" + fields);
  }
  /* Sends events without a length as fast as the other side takes them. */
  size_t pour(Peer *peer) {
    ssize_t n = peer->fd >= 0 ? send(peer->fd, event.data(), event.size(),
                                     MSG_NOSIGNAL | MSG_DONTWAIT)
                              : -1;
    return n > 0 ? static_cast<size_t>(n) : 0;
  }
};

/* Without a pause, the instance would hold whatever the endpoint sends. */
TEST_F(SlowCallers, OneThatStopsReadingHoldsItsEndpointBackAndIsAborted) {
  call(false);
  Peer *peer = asked(0);
  size_t sent = 0;
  peer->send_text(stream_head(""));
  gint64 began = clock_now();
  EXPECT_TRUE(wait([&] { return hangups.size() == 1; }, 6,
                   [&] { sent += pour(peer); }));
  EXPECT_EQ(aborted[requests[0]], FLOW_HELD);
  EXPECT_GE(clock_now() - began, 2 * MP_SEC);
  EXPECT_LT(clock_now() - began, 4 * MP_SEC);
  EXPECT_LT(most, flow_limits(bound).high + 4 * event.size());
  EXPECT_GT(paused_reports, 10);
  EXPECT_EQ(flow_total(front_flow(front)), 0u);
  EXPECT_EQ(front_open_requests(front), 0u);
}

/* Guards against a caller that reads so little that its answer never ends:
** each byte is progress, so no time-out of writing ends its connection. */
TEST_F(SlowCallers, OneThatReadsAByteASecondIsAborted) {
  call(false);
  Peer *peer = asked(0);
  gint64 next = 0;
  peer->send_text(stream_head(""));
  EXPECT_TRUE(wait([&] { return hangups.size() == 1; }, 6,
                   [&] {
                     char byte;
                     pour(peer);
                     if (clock_now() >= next &&
                         recv(callers[0]->fd, &byte, 1, MSG_DONTWAIT) >= 0)
                       next = clock_now() + MP_SEC;
                   }));
  EXPECT_EQ(aborted[requests[0]], FLOW_HELD);
  EXPECT_LT(most, flow_limits(bound).high + 4 * event.size());
}

/* Guards against counts that leak: a caller that closes its side while its
** answer is paused ends its request, and leaves no bytes and no pause. */
TEST_F(SlowCallers, OneThatClosesItsSideLeavesNothing) {
  call(false);
  Peer *peer = asked(0);
  peer->send_text(stream_head(""));
  EXPECT_TRUE(wait([&] { return flow_paused(front_flow(front)) == 1; }, 2,
                   [&] { pour(peer); }));
  shutdown(callers[0]->fd, SHUT_WR);
  EXPECT_TRUE(wait([&] { return hangups.size() == 1; }));
  EXPECT_EQ(flow_total(front_flow(front)), 0u);
  EXPECT_EQ(flow_paused(front_flow(front)), 0u);
  EXPECT_TRUE(wait([&] { return peer->ended; }));
}

/* The pause must lose neither bytes nor the end, which only the end of the
** endpoint's connection tells. */
TEST_F(SlowCallers, AStreamThatEndsWithItsConnectionIsWholeAfterAPause) {
  call(true);
  callers[0]->reading = false;
  Peer *peer = asked(0);
  size_t sent = 0;
  peer->send_text(stream_head(""));
  auto send_event = [&] {
    peer->send_text(event);
    ASSERT_TRUE(peer->sent_all);
    sent++;
  };
  int turns = 0; /* until the kernel of the caller takes nothing more */
  EXPECT_TRUE(wait(
      [&] {
        turns = flow_paused(front_flow(front)) == 1 ? turns + 1 : 0;
        return turns > 100;
      },
      2,
      [&] {
        if (turns == 0)
          send_event();
      }));
  for (int i = 0; i < 5; i++)
    send_event();
  peer->close_now();
  EXPECT_FALSE(
      wait([&] { return ended[requests[0]] == OUTCOME_STREAM_END; }, 1));
  callers[0]->reading = true;
  EXPECT_TRUE(wait([&] {
    return callers[0]->got.find("\r\n0\r\n\r\n") != std::string::npos;
  }));
  EXPECT_EQ(ended[requests[0]], OUTCOME_STREAM_END);
  size_t letters = 0;
  for (char one : callers[0]->got)
    letters += one == 'x' ? 1 : 0;
  EXPECT_EQ(letters, sent * 8000 + 1); /* one in "text/event-stream" */
  EXPECT_TRUE(aborted.empty());
}

/* A connection that is kept must be read again after a request that was
** paused. */
TEST_F(SlowCallers, AConnectionThatWasPausedServesAnotherRequest) {
  call(false);
  Peer *peer = asked(0);
  std::string body;
  for (int i = 0; i < 60; i++)
    body += event;
  peer->send_text(
      stream_head("Content-Length: " + std::to_string(body.size()) + "\r\n"));
  size_t at = 0;
  bool was_paused = false;
  EXPECT_TRUE(wait([&] { return ended[requests[0]] == OUTCOME_STREAM_END; }, 3,
                   [&] {
                     ssize_t n =
                         send(peer->fd, body.data() + at, body.size() - at,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
                     at += n > 0 ? static_cast<size_t>(n) : 0;
                     if (flow_paused(front_flow(front)) > 0)
                       was_paused = callers[0]->reading = true;
                   }));
  EXPECT_TRUE(was_paused);
  stream = FALSE;
  peer->got.clear();
  call(true);
  EXPECT_EQ(asked(0), peer);
  peer->send_text(head("Content-Length: 3\r\n") + "two");
  EXPECT_TRUE(
      wait([&] { return callers[1]->got.find("two") != std::string::npos; }));
}

/*
** Bodies that wait for a slow endpoint must not fill the memory: a further one
** is not taken in, then refused as not run; and taken in when there is room.
*/
TEST_F(SlowCallers, ABodyIsHeldBackWhileOthersFillTheMemory) {
  const std::string body(1500 << 10, 'z');
  std::vector<size_t> sent(3);
  sends = false;
  auto upload = [&](size_t i, const std::string &id) {
    callers.push_back(loopback::call(address));
    callers[i]->send_text(
        "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  };
  auto feed = [&] {
    for (size_t i = 0; i < callers.size(); i++) {
      ssize_t n = send(callers[i]->fd, body.data() + sent[i],
                       body.size() - sent[i], MSG_NOSIGNAL | MSG_DONTWAIT);
      sent[i] += n > 0 ? static_cast<size_t>(n) : 0;
    }
  };
  upload(0, "r1");
  EXPECT_TRUE(wait([&] { return requests.size() == 1; }, 2, feed));
  upload(1, "r2");
  EXPECT_FALSE(wait([&] { return requests.size() == 2; }, 1, feed));
  EXPECT_LE(flow_held(front_flow(front)), bound);
  ASSERT_TRUE(wait([&] { return refused.size() == 1; }, 3, feed));
  EXPECT_EQ(refused[0], "r2");
  EXPECT_TRUE(wait([&] {
    return callers[1]->got.find("503") != std::string::npos &&
           callers[1]->got.find("not run:") != std::string::npos &&
           callers[1]->got.find("Retry-After") != std::string::npos;
  }));
  upload(2, "r3");
  EXPECT_FALSE(wait([&] { return requests.size() == 2; }, 1, feed));
  HttpHead *head = http_head_new_response(200);
  front_send_response(front, requests[0], head, "", 0);
  http_head_free(head);
  ASSERT_TRUE(wait([&] { return requests.size() == 2; }, 2, feed));
  EXPECT_EQ(front_request_body(front, requests[1])->len, body.size());
  EXPECT_EQ(front_bodies_refused(front), 1u);
}

/*
** A complete answer is kept until its caller has read it. But many of them
** must not fill the memory, and quick callers beside them must not be aborted.
*/
TEST_F(SlowCallers, ManyLargeAnswersStayWithinTheBoundBesideQuickCallers) {
  const std::string large(1 << 20, 'y');
  const std::string answer =
      head("Content-Length: " + std::to_string(large.size()) + "\r\n") + large;
  std::map<Peer *, size_t> written;
  int quick_served = 0;
  size_t quick = 0;
  stream = FALSE;
  for (int i = 0; i < 12; i++) {
    call(false);
    quick = call(true);
    EXPECT_TRUE(wait(
        [&] { return callers[quick]->got.size() > large.size(); }, 3,
        [&] {
          for (auto &peer : endpoint.peers) {
            size_t &at = written[peer.get()];
            if (peer->got.find("\r\n\r\n") == std::string::npos)
              continue;
            ssize_t n = send(peer->fd, answer.data() + at, answer.size() - at,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
            at += n > 0 ? static_cast<size_t>(n) : 0;
            if (at == answer.size()) {
              at = 0;
              peer->got.clear();
            }
          }
        }));
    quick_served += callers[quick]->got.size() > large.size() ? 1 : 0;
    callers[quick]->got.clear();
    wait([] { return false; }, 1);
  }
  EXPECT_EQ(quick_served, 12);
  /* above the bound, only what quick callers were sent */
  EXPECT_LT(most, bound + 2 * answer.size());
  EXPECT_LE(flow_total(front_flow(front)), bound);
  EXPECT_GE(flow_aborts(front_flow(front), FLOW_BOUND), 7u);
  EXPECT_EQ(flow_aborts(front_flow(front), FLOW_HELD), 0u);
}

} // namespace
