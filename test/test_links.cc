/*
** test_links.cc
** Connections to endpoints and from callers, against raw peers on loopback
*/

#include <gtest/gtest.h>

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

struct Told {
  OutcomeKind kind;
  int status;
  std::string bytes;
  std::string event;
};

struct Links : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener endpoint;
  EndpointLinks *links = nullptr;
  HttpHead *caller = http_head_new_request("POST", "/a/b?c=1");
  GByteArray *body = g_byte_array_new();
  std::map<guint64, std::vector<Told>> told;
  std::vector<EndpointSignals> signals; /* of the heads */
  guint64 last = 0;
  guint connections = 0, resting = 0; /* as they were counted last */
  gboolean is_kept = TRUE;            /* connections that are free */

  void SetUp() override {
    EndpointLinksHooks hooks = {this,       on_outcome, on_signals,
                                on_counted, keeps,      nullptr};
    links = endpoint_links_new(base, &platform_dialect, &hooks);
    http_head_add(caller, "Host", "h");
    http_head_add(caller, "Request-Id", "r1");
  }
  void TearDown() override {
    endpoint_links_free(links);
    http_head_free(caller);
    g_byte_array_unref(body);
    event_base_free(base);
  }

  static void on_outcome(void *data, const Outcome *outcome) {
    auto *self = static_cast<Links *>(data);
    const auto *answer =
        static_cast<const EndpointResponse *>(outcome->payload);
    Told one = {outcome->kind, outcome->status, "", ""};
    if (answer != nullptr && answer->bytes != nullptr)
      one.bytes.assign(answer->bytes, answer->size);
    if (outcome->event != nullptr)
      one.event = outcome->event;
    self->told[outcome->dispatch].push_back(one);
  }

  static void on_signals(void *data, const char *id, guint32 life,
                         const EndpointSignals *told) {
    EXPECT_STREQ(id, "i-1");
    EXPECT_EQ(life, 77u);
    static_cast<Links *>(data)->signals.push_back(*told);
  }
  static void on_counted(void *data, const char *, guint connections,
                         guint resting) {
    auto *self = static_cast<Links *>(data);
    self->connections = connections;
    self->resting = resting;
  }
  static gboolean keeps(void *data, const char *) {
    return static_cast<Links *>(data)->is_kept;
  }
  /* nothing is said of a rate, and that says nothing */
  static bool is_silent(const EndpointSignals &one) {
    return one.rate == SIGNAL_ABSENT && !one.served;
  }

  guint64 dispatch(bool stream = false, mp_Addr address = 0) {
    Dispatch one = {};
    one.number = ++last;
    one.kind = DISPATCH_RUN;
    one.address = address != 0 ? address : endpoint.address;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = 5000;
    one.stream = stream;
    one.connect_timeout = 500 * MP_MS;
    endpoint_links_send(links, &one, caller, body);
    return last;
  }

  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { endpoint.work(); }, done);
  }
  /* a whole request reached connection 'i' for the 'n'th time */
  Peer *asked(size_t i, unsigned n = 1) {
    bool there = wait([&] {
      if (endpoint.peers.size() <= i)
        return false;
      unsigned count = 0;
      size_t at = 0;
      const std::string &got = endpoint.peers[i]->got;
      while ((at = got.find("\r\n\r\n", at)) != std::string::npos) {
        count++;
        at += 4;
      }
      return count >= n;
    });
    EXPECT_TRUE(there);
    return there ? endpoint.peers[i].get() : nullptr;
  }
  Told ended(guint64 number) {
    EXPECT_TRUE(wait([&] {
      return !told[number].empty() &&
             told[number].back().kind != OUTCOME_STREAM_HEAD &&
             told[number].back().kind != OUTCOME_STREAM_PIECE;
    }));
    return told[number].empty() ? Told{} : told[number].back();
  }
  void settle() {
    int turns = 0;
    wait([&] { return ++turns > 20; });
  }
};

std::string answer(const std::string &body, const std::string &fields = "") {
  return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_F(Links, AConnectionIsKeptAfterAWholeAnswer) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one"));
  EXPECT_EQ(ended(first).bytes, "one");
  guint64 second = dispatch();
  asked(0, 2)->send_text(answer("two"));
  EXPECT_EQ(ended(second).bytes, "two");
  EXPECT_EQ(endpoint.peers.size(), 1u);
}

TEST_F(Links, ConnectionsAreCounted) {
  guint64 first = dispatch();
  guint64 second = dispatch();
  asked(0)->send_text(answer("one"));
  asked(1)->send_text(answer("two"));
  ended(first);
  ended(second);
  EXPECT_EQ(connections, 2u);
  EXPECT_EQ(resting, 2u);
  guint64 third = dispatch();
  EXPECT_EQ(resting, 1u);
  endpoint_links_cancel(links, third);
  EXPECT_EQ(connections, 1u);
  EXPECT_EQ(resting, 1u);
}

/* others need them: a free one is closed, and so are those that rest */
TEST_F(Links, ConnectionsThatAreNotKeptAreClosed) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one"));
  ended(first);
  EXPECT_EQ(resting, 1u);
  is_kept = FALSE;
  endpoint_links_trim(links);
  EXPECT_EQ(connections, 0u);
  guint64 second = dispatch();
  asked(1)->send_text(answer("two"));
  ended(second);
  EXPECT_EQ(connections, 0u);
}

TEST_F(Links, TheRateOfAnAnswerIsHeardWithItsHead) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one", "Server-Limit: 4.5\r\n"));
  ended(first);
  ASSERT_EQ(signals.size(), 1u);
  EXPECT_EQ(signals[0].rate, SIGNAL_GIVEN);
  EXPECT_DOUBLE_EQ(signals[0].rate_per_second, 4.5);
  guint64 second = dispatch();
  asked(0, 2)->send_text(answer("two"));
  ended(second);
  ASSERT_EQ(signals.size(), 2u);
  EXPECT_EQ(signals[1].rate, SIGNAL_ABSENT);
  EXPECT_TRUE(signals[1].served);
}

/* a refusal may name a rate; that it names none says nothing */
TEST_F(Links, ARefusalMayNameARateButEndsNone) {
  guint64 first = dispatch();
  asked(0)->send_text("HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
  ended(first);
  ASSERT_EQ(signals.size(), 1u);
  EXPECT_TRUE(is_silent(signals[0]));
  guint64 second = dispatch();
  asked(0, 2)->send_text("HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Run: 1"
                         "\r\nServer-Limit: 3\r\nContent-Length: 0\r\n\r\n");
  ended(second);
  ASSERT_EQ(signals.size(), 2u);
  EXPECT_EQ(signals[1].rate, SIGNAL_GIVEN);
}

/* an overloaded endpoint fails as well: what a failure omits ends nothing */
TEST_F(Links, AFailureMayNameARateButEndsNone) {
  guint64 first = dispatch();
  asked(0)->send_text("HTTP/1.1 500 Bad\r\nRequest-Id: r1\r\nServer-Stamp: s"
                      "\r\nContent-Length: 0\r\n\r\n");
  ended(first);
  ASSERT_EQ(signals.size(), 1u);
  EXPECT_TRUE(is_silent(signals[0]));
  guint64 second = dispatch();
  asked(0, 2)->send_text("HTTP/1.1 500 Bad\r\nRequest-Id: r1\r\nServer-Stamp:"
                         " s\r\nServer-Limit: 3\r\nContent-Length: 0\r\n\r\n");
  ended(second);
  ASSERT_EQ(signals.size(), 2u);
  EXPECT_EQ(signals[1].rate, SIGNAL_GIVEN);
}

TEST_F(Links, ARateFromAnotherEndpointOrForAnotherRequestIsNone) {
  guint64 first = dispatch();
  asked(0)->send_text("HTTP/1.1 421 Other\r\nRequest-Id: r1\r\n"
                      "Server-Limit: 3\r\nContent-Length: 0\r\n\r\n");
  ended(first);
  guint64 second = dispatch();
  asked(1)->send_text("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s"
                      "\r\nServer-Limit: 3\r\nContent-Length: 0\r\n\r\n");
  endpoint.peers[1]->send_text(answer("mine"));
  ended(second);
  ASSERT_EQ(signals.size(), 1u);
  EXPECT_EQ(signals[0].rate, SIGNAL_ABSENT);
}

TEST_F(Links, BytesBehindAnAnswerAreNobodys) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one") + answer("stray"));
  EXPECT_EQ(ended(first).bytes, "one");
  guint64 second = dispatch();
  asked(1)->send_text(answer("two"));
  EXPECT_EQ(ended(second).bytes, "two");
}

TEST_F(Links, BytesWhileItRestsEndAConnection) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one"));
  ended(first);
  endpoint.peers[0]->send_text(answer("stray"));
  settle();
  EXPECT_EQ(endpoint_links_idle_count(links), 0u);
  guint64 second = dispatch();
  asked(1)->send_text(answer("two"));
  EXPECT_EQ(ended(second).bytes, "two");
}

TEST_F(Links, AnAnswerOfAnotherRequestIsPassedOver) {
  guint64 first = dispatch();
  Peer *peer = asked(0);
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r0\r\n"
                  "Content-Length: 3\r\n\r\nold");
  settle();
  EXPECT_TRUE(told[first].empty());
  peer->send_text(answer("mine"));
  EXPECT_EQ(ended(first).bytes, "mine");
  EXPECT_EQ(endpoint_links_idle_count(links), 0u);
}

TEST_F(Links, WithoutALengthAGoodEndIsTheEnd) {
  guint64 first = dispatch();
  Peer *peer = asked(0);
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nall");
  peer->close_now();
  Told end = ended(first);
  EXPECT_EQ(end.kind, OUTCOME_ANSWER);
  EXPECT_EQ(end.bytes, "all");
}

TEST_F(Links, WithoutALengthAResetIsNoEnd) {
  guint64 first = dispatch();
  Peer *peer = asked(0);
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nall");
  settle();
  peer->reset();
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

TEST_F(Links, AnAnswerCutShortIsBroken) {
  guint64 first = dispatch();
  Peer *peer = asked(0);
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 9"
                  "\r\n\r\nall");
  peer->close_now();
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

TEST_F(Links, BytesThatAreNoAnswerAreBroken) {
  guint64 first = dispatch();
  asked(0)->send_text("\x01\x02 nothing of HTTP\r\n\r\n");
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

/* Guards against an answer with the status 000 that is waited for up to the
** caller's deadline, or passed on, though it is known at once to be none. */
TEST_F(Links, AStatusThatIsNoneIsBroken) {
  size_t connections = 0;
  for (const char *status :
       {"000", "001", "042", "099", "101", "600", "999"}) {
    guint64 one = dispatch();
    asked(connections++)
        ->send_text(std::string("HTTP/1.1 ") + status +
                    " X\r\nServer-Stamp: s\r\nRequest-Id: "
                    "r1\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(ended(one).kind, OUTCOME_BROKEN) << status;
  }
}

TEST_F(Links, ASuccessWithoutASignatureIsBroken) {
  guint64 first = dispatch();
  asked(0)->send_text("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                      "Content-Length: 2\r\n\r\nok");
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

TEST_F(Links, AnEncodedAnswerIsBroken) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("zip", "Content-Encoding: gzip\r\n"));
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

TEST_F(Links, OnlyAPromiseMeansNotRun) {
  guint64 first = dispatch();
  asked(0)->send_text("HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(ended(first).kind, OUTCOME_NOT_RUN);
  guint64 second = dispatch();
  asked(0, 2)->send_text("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(ended(second).kind, OUTCOME_BROKEN);
}

TEST_F(Links, AnAnswerBeforeTheBodyIsOutIsStillRead) {
  std::string long_body(8 << 20, 'x');
  g_byte_array_append(body, reinterpret_cast<const guint8 *>(long_body.data()),
                      static_cast<guint>(long_body.size()));
  guint64 first = dispatch();
  Peer *peer = asked(0);
  peer->reading = false;
  peer->send_text("HTTP/1.1 413 Large\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n"
                  "Content-Length: 3\r\n\r\nbig");
  Told end = ended(first);
  EXPECT_EQ(end.kind, OUTCOME_ANSWER);
  EXPECT_EQ(end.status, 413);
  EXPECT_EQ(endpoint_links_idle_count(links), 0u);
}

/* Otherwise the body stays in memory until the caller's deadline. */
TEST_F(Links, AnEndpointThatStopsReadingWithinABodyIsBrokenOff) {
  endpoint_links_limit_writing(links, 300 * MP_MS);
  g_byte_array_set_size(body, 32 << 20);
  memset(body->data, 'x', body->len);
  guint64 first = dispatch();
  ASSERT_TRUE(wait([&] { return endpoint.peers.size() == 1; }));
  endpoint.peers[0]->reading = false;
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
  EXPECT_EQ(connections, 0u);
}

/* Its answer counts, whatever it left of the body. */
TEST_F(Links, AnAnswerThatBeginsBeforeTheBodyIsOutIsReadToItsEnd) {
  endpoint_links_limit_writing(links, 300 * MP_MS);
  g_byte_array_set_size(body, 32 << 20);
  memset(body->data, 'x', body->len);
  guint64 first = dispatch();
  ASSERT_TRUE(wait([&] { return endpoint.peers.size() == 1; }));
  endpoint.peers[0]->reading = false;
  std::string text = answer("three");
  endpoint.peers[0]->send_text(text.substr(0, text.size() - 2));
  gint64 end = clock_now() + 800 * MP_MS;
  wait([&] { return clock_now() > end; });
  EXPECT_TRUE(told[first].empty());
  endpoint.peers[0]->send_text("ee");
  EXPECT_EQ(ended(first).bytes, "three");
  EXPECT_EQ(connections, 0u);
}

TEST_F(Links, ALeavingEndpointsConnectionIsNotKept) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one", "Connection: close\r\n"));
  ended(first);
  EXPECT_EQ(endpoint_links_idle_count(links), 0u);
}

TEST_F(Links, ARefusedConnectionWasCertainlyNotRun) {
  mp_Addr nobody;
  {
    Listener gone;
    nobody = gone.address;
  }
  EXPECT_EQ(ended(dispatch(false, nobody)).kind, OUTCOME_UNREACHABLE);
}

/* the loop of an instance without processor time runs after the timeout */
TEST_F(Links, ALateLoopTakesAMadeConnectionForNoFailedOne) {
  guint64 number = dispatch();
  g_usleep(700 * 1000);
  Peer *peer = asked(0);
  ASSERT_NE(peer, nullptr);
  peer->send_text(answer("one"));
  EXPECT_EQ(ended(number).kind, OUTCOME_ANSWER);
}

TEST_F(Links, ALateLoopStillGivesUpOnAConnectionThatIsNotMade) {
  Listener full; /* accepts nothing once its backlog is full */
  std::vector<std::unique_ptr<Peer>> others;
  listen(full.fd, 0);
  for (int i = 0; i < 4; i++) {
    struct sockaddr_in at = {};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(full.address & 0xffff));
    connect(fd, reinterpret_cast<struct sockaddr *>(&at), sizeof at);
    others.push_back(std::make_unique<Peer>(fd));
  }
  guint64 number = dispatch(false, full.address);
  g_usleep(700 * 1000);
  EXPECT_EQ(ended(number).kind, OUTCOME_UNREACHABLE);
}

TEST_F(Links, ACancelledDispatchEndsItsConnection) {
  guint64 first = dispatch();
  Peer *peer = asked(0);
  endpoint_links_cancel(links, first);
  EXPECT_TRUE(wait([&] { return peer->ended; }));
  EXPECT_TRUE(told[first].empty());
}

const char *const stream_head =
    "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &bytes) {
  char size[16];
  g_snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

TEST_F(Links, EventsArePassedOnAsTheyBecomeWhole) {
  guint64 first = dispatch(true);
  Peer *peer = asked(0);
  peer->send_text(stream_head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
  EXPECT_TRUE(wait([&] { return told[first].size() == 2; }));
  EXPECT_EQ(told[first][0].kind, OUTCOME_STREAM_HEAD);
  EXPECT_EQ(told[first][1].event, "1");
  EXPECT_EQ(told[first][1].bytes, "id: 1\ndata: a\n\n");
  peer->send_text(chunk("ta: b\n\n") + "0\r\n\r\n");
  EXPECT_EQ(ended(first).kind, OUTCOME_STREAM_END);
  EXPECT_EQ(told[first][2].event, "2");
}

TEST_F(Links, AStreamThatEndsWithinAnEventIsBroken) {
  guint64 first = dispatch(true);
  asked(0)->send_text(stream_head + chunk("id: 1\ndata: a\n\nid: 2\n") +
                      "0\r\n\r\n");
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

/* Sends a stream that has neither a length nor chunks, and its end. */
Told end_of_unframed(Links &links, guint64 number, Peer *peer,
                     const std::string &events) {
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                  "Content-Type: text/event-stream\r\n\r\n" +
                  events);
  peer->close_now();
  return links.ended(number);
}

TEST_F(Links, AStreamWithoutLengthThatEndsWithinAnEventIsBroken) {
  guint64 whole = dispatch(true);
  Told end = end_of_unframed(*this, whole, asked(0), "id: 1\ndata: a\n\n");
  EXPECT_EQ(end.kind, OUTCOME_STREAM_END);
  guint64 cut = dispatch(true);
  end =
      end_of_unframed(*this, cut, asked(1), "id: 1\ndata: a\n\nid: 2\ndata:");
  EXPECT_EQ(end.kind, OUTCOME_BROKEN);
  for (const Told &one : told[cut])
    EXPECT_EQ(one.bytes.find("id: 2"), std::string::npos);
  guint64 empty = dispatch(true);
  EXPECT_EQ(end_of_unframed(*this, empty, asked(2), "").kind, OUTCOME_BROKEN);
}

TEST_F(Links, AStreamWithoutItsLastChunkIsBroken) {
  guint64 first = dispatch(true);
  Peer *peer = asked(0);
  peer->send_text(stream_head + chunk("id: 1\ndata: a\n\n"));
  peer->close_now();
  EXPECT_EQ(ended(first).kind, OUTCOME_BROKEN);
}

/* A stop that ends before a release has reached its endpoint leaves memory
** held there: it must be able to wait for it, but not for long. */
TEST_F(Links, AReleaseIsOpenUntilItIsAnsweredOrFails) {
  Dispatch one = {};
  one.kind = DISPATCH_RELEASE;
  one.address = endpoint.address;
  one.endpoint = "i-1";
  one.life = 77;
  one.handle = "h-1";
  one.connect_timeout = 500 * MP_MS;
  one.number = ++last;
  endpoint_links_send(links, &one, nullptr, nullptr);
  EXPECT_EQ(endpoint_links_open_releases(links), 1u);
  Peer *peer = asked(0);
  ASSERT_NE(peer, nullptr);
  EXPECT_EQ(endpoint_links_open_releases(links), 1u);
  peer->send_text(answer(""));
  EXPECT_TRUE(wait([&] { return endpoint_links_open_releases(links) == 0; }));
  one.number = ++last;
  endpoint_links_send(links, &one, nullptr, nullptr);
  ASSERT_NE(asked(0, 2), nullptr);
  EXPECT_TRUE(wait([&] { return endpoint_links_open_releases(links) == 0; }));
  guint64 run = dispatch();
  EXPECT_EQ(endpoint_links_open_releases(links), 0u);
  endpoint_links_cancel(links, run);
}

/*
** Callers
*/

struct Fronted : ::testing::Test {
  struct event_base *base = event_base_new();
  Front *front = nullptr;
  mp_Addr address = 0;
  std::vector<guint64> requests;
  std::vector<std::string> targets;
  std::vector<guint64> hangups;
  std::unique_ptr<Peer> caller;

  void SetUp() override {
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
    front_free(front);
    event_base_free(base);
  }

  static void on_request(void *data, guint64 number, const HttpHead *head) {
    auto *self = static_cast<Fronted *>(data);
    self->requests.push_back(number);
    self->targets.emplace_back(head->target);
  }
  static void on_hangup(void *data, guint64 number) {
    static_cast<Fronted *>(data)->hangups.push_back(number);
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
  void whole(guint64 number, const char *text) {
    HttpHead *head = http_head_new_response(200);
    front_send_response(front, number, head, text, strlen(text));
    http_head_free(head);
  }
};

TEST_F(Fronted, RequestsOnOneConnectionAreAnsweredInTheirOrder) {
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                    "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  whole(requests[0], "first");
  ASSERT_TRUE(wait([&] { return requests.size() == 2; }));
  EXPECT_EQ(targets[1], "/2");
  whole(requests[1], "second");
  EXPECT_TRUE(
      wait([&] { return caller->got.find("second") != std::string::npos; }));
  EXPECT_LT(caller->got.find("first"), caller->got.find("second"));
}

TEST_F(Fronted, ACallerThatLeavesIsToldOf) {
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  caller->close_now();
  EXPECT_TRUE(wait([&] { return hangups.size() == 1; }));
  EXPECT_EQ(front_open_requests(front), 0u);
}

TEST_F(Fronted, MalformedInputIsAnsweredOnceAndTheConnectionCloses) {
  caller->send_text("nothing of HTTP\r\n\r\n");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 400", 0), 0u);
  EXPECT_TRUE(requests.empty());
}

TEST_F(Fronted, ABodyOverTheLimitIsRefusedWithAnAnswer) {
  CallerLimits limits = {1000, 1000, MP_SEC, MP_SEC};
  front_set_limits(front, &limits);
  caller = loopback::call(address);
  std::string body(32 << 10, 'x');
  caller->send_text("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 413", 0), 0u);
}

TEST_F(Fronted, AHeadOverTheLimitIsRefusedWithAnAnswer) {
  CallerLimits limits = {1000, 1000, MP_SEC, MP_SEC};
  front_set_limits(front, &limits);
  caller = loopback::call(address);
  caller->send_text("GET /1 HTTP/1.1\r\nX: " + std::string(3000, 'x') +
                    "\r\n\r\n");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 431", 0), 0u);
}

TEST_F(Fronted, ARequestThatDoesNotArriveInTimeIsRefused) {
  CallerLimits limits = {1000, 1000, 100 * MP_MS, MP_SEC};
  front_set_limits(front, &limits);
  caller = loopback::call(address);
  caller->send_text("GET /1 HTTP/1.1\r\nHo");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_EQ(caller->got.rfind("HTTP/1.1 408", 0), 0u);
}

TEST_F(Fronted, ABrokenOffAnswerCannotLookWhole) {
  HttpHead *head = http_head_new_response(200);
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  front_begin_response(front, requests[0], head);
  front_send_piece(front, requests[0], "data: a\n\n", 9);
  front_abort_response(front, requests[0]);
  http_head_free(head);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_NE(caller->got.find("data: a"), std::string::npos);
  EXPECT_EQ(caller->got.find("0\r\n\r\n"), std::string::npos);
  EXPECT_TRUE(hangups.empty());
}

TEST_F(Fronted, AWholeStreamHasItsLastChunk) {
  HttpHead *head = http_head_new_response(200);
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  front_begin_response(front, requests[0], head);
  front_send_piece(front, requests[0], "data: a\n\n", 9);
  front_end_response(front, requests[0]);
  http_head_free(head);
  EXPECT_TRUE(wait(
      [&] { return caller->got.find("\r\n0\r\n\r\n") != std::string::npos; }));
}

/* Guards against pieces that pass one that is held, or are lost behind it. */
TEST_F(Fronted, AHeldAnswerIsSentInItsOrderOnceItIsReleased) {
  HttpHead *head = http_head_new_response(200);
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  front_begin_response(front, requests[0], head);
  http_head_free(head);
  ASSERT_TRUE(
      wait([&] { return caller->got.find("\r\n\r\n") != std::string::npos; }));
  front_hold_response(front, requests[0], TRUE);
  front_send_piece(front, requests[0], "data: a\n\n", 9);
  front_send_piece(front, requests[0], "data: b\n\n", 9);
  int turns = 0;
  wait([&] { return ++turns > 20; });
  EXPECT_EQ(caller->got.find("data:"), std::string::npos);
  front_hold_response(front, requests[0], FALSE);
  front_send_piece(front, requests[0], "data: c\n\n", 9);
  front_end_response(front, requests[0]);
  EXPECT_TRUE(wait(
      [&] { return caller->got.find("\r\n0\r\n\r\n") != std::string::npos; }));
  EXPECT_LT(caller->got.find("data: a"), caller->got.find("data: b"));
  EXPECT_LT(caller->got.find("data: b"), caller->got.find("data: c"));
  EXPECT_NE(caller->got.find("data: c"), std::string::npos);
  front_hold_response(front, requests[0], FALSE); /* it has ended */
}

TEST_F(Fronted, ACallerThatLeavesWhileItsAnswerIsHeldIsToldOf) {
  HttpHead *head = http_head_new_response(200);
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  front_begin_response(front, requests[0], head);
  http_head_free(head);
  front_hold_response(front, requests[0], TRUE);
  front_send_piece(front, requests[0], "data: a\n\n", 9);
  caller->close_now();
  EXPECT_TRUE(wait([&] { return hangups.size() == 1; }));
  front_hold_response(front, requests[0], FALSE);
}

TEST_F(Fronted, ADrainSaysCloseAndClosesWhatIsIdle) {
  caller->send_text("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(wait([&] { return requests.size() == 1; }));
  front_drain(front);
  whole(requests[0], "last");
  EXPECT_TRUE(wait([&] { return caller->ended; }));
  EXPECT_NE(caller->got.find("Connection: close"), std::string::npos);
  auto idle = loopback::call(address);
  caller.swap(idle);
  int turns = 0;
  wait([&] { return ++turns > 20; });
  EXPECT_FALSE(caller->ended);
  front_stop_receiving(front);
  EXPECT_TRUE(wait([&] { return caller->ended; }));
}

} // namespace
