/*
** test_carry.cc
** Connections to endpoints that another instance carries, on loopback: the
** asking side (EndpointLinks), the carrier (CarryServer) and a raw endpoint
*/

#include <gtest/gtest.h>
#include <linux/filter.h>

#include <map>

#include "loopback.h"

extern "C" {
#include "io/carry_server.h"
#include "io/endpoint_links.h"
#include "io/record_stream.h"
#include "platform/platform.h"
#include "wire/rpc.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

struct Told {
  OutcomeKind kind;
  bool carrier_failed;
  std::string bytes;
};

struct Carry : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener endpoint;
  Log *log = log_new("/dev/null", MP_FAULT, nullptr);
  CarryServer *server = nullptr;
  EndpointLinks *links = nullptr;
  mp_Addr carrier = 0;
  HttpHead *caller = http_head_new_request("POST", "/a/b?c=1");
  GByteArray *body = g_byte_array_new();
  std::map<guint64, std::vector<Told>> told;
  guint64 last = 0;
  CarryVerdict verdict = CARRY_CONNECTED;
  gint64 deadline_ms = 5000; /* of the next dispatches */
  mp_Addr address = 0;       /* of the endpoint, as the carrier knows it */

  void SetUp() override {
    EndpointLinksHooks hooks = {this,       on_outcome, on_signals,
                                on_counted, keeps,      nullptr};
    CarryServerHooks carrying = {this, may_carry};
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
    mp_Addr self = mp_addr_parse("127.0.0.1:1");
    {
      Listener free_port;
      carrier = free_port.address;
    }
    links = endpoint_links_new(base, &platform_dialect, &hooks);
    server = carry_server_new(base, carrier, &carrying, log, nullptr);
    ASSERT_NE(server, nullptr);
    g_array_append_val(peers, self);
    carry_server_set_peers(server, peers);
    g_array_free(peers, TRUE);
    http_head_add(caller, "Host", "h");
    http_head_add(caller, "Request-Id", "r1");
    address = endpoint.address;
  }
  void TearDown() override {
    endpoint_links_free(links);
    if (server != nullptr)
      carry_server_free(server);
    http_head_free(caller);
    g_byte_array_unref(body);
    event_base_free(base);
    log_free(log);
  }

  static CarryVerdict may_carry(void *data, guint32 hash, mp_Addr *out) {
    auto *self = static_cast<Carry *>(data);
    EXPECT_EQ(hash, 77u);
    *out = self->address;
    return self->verdict;
  }
  static void on_outcome(void *data, const Outcome *outcome) {
    auto *self = static_cast<Carry *>(data);
    const auto *answer =
        static_cast<const EndpointResponse *>(outcome->payload);
    Told one = {outcome->kind, outcome->carrier_failed != FALSE, ""};
    if (answer != nullptr && answer->bytes != nullptr)
      one.bytes.assign(answer->bytes, answer->size);
    self->told[outcome->dispatch].push_back(one);
  }
  static void on_signals(void *, const char *, guint32,
                         const EndpointSignals *) {
  }
  static void on_counted(void *, const char *, guint, guint) {
  }
  static gboolean keeps(void *, const char *) {
    return TRUE;
  }

  guint64 dispatch(DispatchKind kind = DISPATCH_RUN, bool stream = false,
                   bool is_carried = true) {
    Dispatch one = {};
    one.number = ++last;
    one.request = one.number;
    one.kind = kind;
    one.address = endpoint.address;
    one.via = is_carried ? carrier : 0;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = deadline_ms;
    one.stream = stream;
    one.connect_timeout = 400 * MP_MS;
    endpoint_links_send(links, &one, caller, body);
    return last;
  }
  bool wait(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { endpoint.work(); }, done);
  }
  /* Returns connection 'i' of the endpoint, when it has a whole request. */
  Peer *asked(size_t i) {
    bool is_there = wait([&] {
      return endpoint.peers.size() > i &&
             endpoint.peers[i]->got.find("\r\n\r\n") != std::string::npos;
    });
    EXPECT_TRUE(is_there);
    return is_there ? endpoint.peers[i].get() : nullptr;
  }
  Told ended(guint64 number) {
    EXPECT_TRUE(wait([&] {
      return !told[number].empty() &&
             told[number].back().kind != OUTCOME_STREAM_HEAD &&
             told[number].back().kind != OUTCOME_STREAM_PIECE;
    }));
    return told[number].empty() ? Told{} : told[number].back();
  }
};

std::string answer(const std::string &text, const std::string &fields = "") {
  return "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" + fields +
         "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

TEST_F(Carry, RequestAndAnswerArriveWhole) {
  std::string sent(300000, 'q');
  std::string back(700000, 'a');
  g_byte_array_append(body, reinterpret_cast<const guint8 *>(sent.data()),
                      static_cast<guint>(sent.size()));
  guint64 number = dispatch();
  Peer *peer = asked(0);
  ASSERT_NE(peer, nullptr);
  EXPECT_TRUE(wait([&] { return peer->got.size() > sent.size(); }));
  EXPECT_NE(peer->got.find(sent), std::string::npos);
  std::string text = answer(back);
  size_t at = 0;
  EXPECT_TRUE(wait([&] {
    ssize_t n = send(peer->fd, text.data() + at, text.size() - at,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
    at += n > 0 ? static_cast<size_t>(n) : 0;
    return at == text.size();
  }));
  Told one = ended(number);
  EXPECT_EQ(one.kind, OUTCOME_ANSWER);
  EXPECT_EQ(one.bytes, back);
}

TEST_F(Carry, ConnectionIsKeptForRequestsOnTheSamePathOnly) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one"));
  EXPECT_EQ(ended(first).bytes, "one");
  endpoint.peers[0]->got.clear();
  guint64 second = dispatch();
  asked(0)->send_text(answer("two"));
  EXPECT_EQ(ended(second).bytes, "two");
  guint64 third = dispatch(DISPATCH_RUN, false, false);
  asked(1)->send_text(answer("three"));
  EXPECT_EQ(ended(third).bytes, "three");
  EXPECT_TRUE(wait([&] { return endpoint.peers[0]->ended; }));
  EXPECT_EQ(carry_server_total(server), 1u);
}

TEST_F(Carry, CallerThatLeavesIsSeenByTheEndpoint) {
  guint64 number = dispatch();
  ASSERT_NE(asked(0), nullptr);
  endpoint_links_cancel(links, number);
  EXPECT_TRUE(wait([&] { return endpoint.peers[0]->ended; }));
  EXPECT_TRUE(wait([&] { return carry_server_count(server) == 0; }));
}

TEST_F(Carry, AnswerWithoutLengthIsWholeOnlyIfTheEndpointClosed) {
  guint64 whole = dispatch();
  asked(0)->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                      "Request-Id: r1\r\n\r\nall of it");
  endpoint.peers[0]->close_now();
  Told one = ended(whole);
  EXPECT_EQ(one.kind, OUTCOME_ANSWER);
  EXPECT_EQ(one.bytes, "all of it");
  guint64 cut = dispatch();
  asked(1)->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
                      "Request-Id: r1\r\n\r\npart of it");
  for (int i = 0; i < 20; i++)
    wait([] { return true; });
  endpoint.peers[1]->reset();
  EXPECT_EQ(ended(cut).kind, OUTCOME_BROKEN);
}

/* While a stream is paused, its carrier may end: neither what it has sent nor
** the end of the stream may be lost. */
TEST_F(Carry, PausedStreamIsWholeAfterTheCarrierHasClosed) {
  guint64 number = dispatch(DISPATCH_RUN, true);
  Peer *peer = asked(0);
  ASSERT_NE(peer, nullptr);
  peer->send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n"
                  "Content-Type: text/event-stream\r\n\r\n"
                  "id: 1\ndata: a\n\n");
  ASSERT_TRUE(wait([&] { return told[number].size() == 2; }));
  endpoint_links_pause(links, number, TRUE);
  peer->send_text("id: 2\ndata: b\n\n");
  peer->close_now();
  EXPECT_TRUE(wait([&] { return carry_server_count(server) == 0; }));
  EXPECT_EQ(told[number].size(), 2u);
  endpoint_links_pause(links, number, FALSE);
  EXPECT_EQ(ended(number).kind, OUTCOME_STREAM_END);
  ASSERT_EQ(told[number].size(), 4u);
  EXPECT_EQ(told[number][2].bytes, "id: 2\ndata: b\n\n");
}

TEST_F(Carry, AnswerBeforeTheRequestWasReadIsPassedOn) {
  std::string sent(3 << 20, 'q');
  g_byte_array_append(body, reinterpret_cast<const guint8 *>(sent.data()),
                      static_cast<guint>(sent.size()));
  guint64 number = dispatch();
  Peer *peer = asked(0);
  ASSERT_NE(peer, nullptr);
  peer->reading = false;
  peer->send_text(answer("too long"));
  peer->close_now(); /* unread bytes: this resets the connection */
  Told one = ended(number);
  EXPECT_EQ(one.kind, OUTCOME_ANSWER);
  EXPECT_EQ(one.bytes, "too long");
}

TEST_F(Carry, CarrierThatEndsMayHaveRunTheRequest) {
  guint64 number = dispatch();
  ASSERT_NE(asked(0), nullptr);
  carry_server_free(server);
  server = nullptr;
  EXPECT_EQ(ended(number).kind, OUTCOME_BROKEN);
}

TEST_F(Carry, RefusedConnectionIsToldApartFromAFailedCarrier) {
  {
    Listener closed;
    address = closed.address;
  }
  Told refused = ended(dispatch());
  EXPECT_EQ(refused.kind, OUTCOME_UNREACHABLE);
  EXPECT_FALSE(refused.carrier_failed);
  for (int value = CARRY_NO_PATH; value < CARRY_VERDICT_COUNT; value++) {
    verdict = static_cast<CarryVerdict>(value);
    Told failed = ended(dispatch());
    EXPECT_EQ(failed.kind, OUTCOME_UNREACHABLE);
    EXPECT_TRUE(failed.carrier_failed);
  }
  carry_server_free(server); /* as an instance of an earlier release */
  server = nullptr;
  Told absent = ended(dispatch());
  EXPECT_EQ(absent.kind, OUTCOME_UNREACHABLE);
  EXPECT_TRUE(absent.carrier_failed);
}

TEST_F(Carry, CheckConnectsAndKeepsTheConnection) {
  EXPECT_EQ(ended(dispatch(DISPATCH_CHECK)).kind, OUTCOME_ANSWER);
  guint64 number = dispatch();
  asked(0)->send_text(answer("one"));
  EXPECT_EQ(ended(number).bytes, "one");
  EXPECT_EQ(carry_server_total(server), 1u);
}

TEST_F(Carry, EndpointThatNeverAcceptsIsReportedInTime) {
  Listener full;
  std::vector<std::unique_ptr<Peer>> waiting;
  listen(full.fd, 0);
  for (int i = 0; i < 4; i++) {
    struct sockaddr_in at = {};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<uint16_t>(full.address & 0xffff));
    connect(fd, reinterpret_cast<struct sockaddr *>(&at), sizeof at);
    waiting.push_back(std::make_unique<Peer>(fd));
  }
  address = full.address;
  Told one = ended(dispatch());
  EXPECT_EQ(one.kind, OUTCOME_UNREACHABLE);
  EXPECT_FALSE(one.carrier_failed);
}

TEST_F(Carry, StrangersAndInvalidCallsAreClosed) {
  mp_Msg call = {};
  char bytes[MP_DATAGRAM_MAX];
  call.kind = MP_MSG_LOAD_NOTE;
  size_t size = rpc_encode(&call, bytes, sizeof bytes);
  std::string header = {'\x80', 0, 0, static_cast<char>(size)};
  for (const std::string &text :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(5000, '\xff'),
        header + std::string(bytes, size), std::string("\x80\0\0\0", 4)}) {
    auto peer = loopback::call(carrier);
    peer->send_text(text);
    EXPECT_TRUE(loopback::until(
        base, [&] { peer->read_some(); }, [&] { return peer->ended; }));
  }
  GArray *nobody = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
  carry_server_set_peers(server, nobody);
  g_array_free(nobody, TRUE);
  Told one = ended(dispatch());
  EXPECT_EQ(one.kind, OUTCOME_UNREACHABLE);
  EXPECT_TRUE(one.carrier_failed);
  EXPECT_EQ(endpoint.peers.size(), 0u);
}

TEST_F(Carry, DrainEndsIdleConnectionsAndFinishesWhatRuns) {
  guint64 first = dispatch();
  asked(0)->send_text(answer("one"));
  ended(first);
  guint64 second = dispatch();
  guint64 third = dispatch();
  ASSERT_NE(asked(1), nullptr);
  carry_server_drain(server);
  asked(0)->send_text(answer("two"));
  EXPECT_EQ(ended(second).bytes, "two");
  EXPECT_GT(carry_server_count(server), 0u);
  asked(1)->send_text(answer("three"));
  EXPECT_EQ(ended(third).bytes, "three");
  EXPECT_TRUE(wait([&] { return carry_server_count(server) == 0; }));
  Told refused = ended(dispatch());
  EXPECT_EQ(refused.kind, OUTCOME_UNREACHABLE);
  EXPECT_TRUE(refused.carrier_failed);
}

TEST(RecordStream, NotesAreNoPartOfTheRecord) {
  struct evbuffer *wire = evbuffer_new();
  struct evbuffer *content = evbuffer_new();
  struct evbuffer *in = evbuffer_new();
  RecordReader reader = {};
  RecordState state = RECORD_MORE;
  evbuffer_add(content, "abc", 3);
  record_write_note(wire, "r\n\"1");
  record_write(wire, content, FALSE);
  record_write_note(wire, std::string(100, 'n').c_str());
  evbuffer_add(content, "def", 3);
  record_write(wire, content, TRUE);
  std::string seen;
  while (state == RECORD_MORE && evbuffer_get_length(wire) > 0) {
    evbuffer_remove_buffer(wire, in, 1);
    state = record_read(&reader, in, content);
    if (reader.note[0] != '\0')
      seen += std::string(reader.note) + ";";
    reader.note[0] = '\0';
  }
  EXPECT_EQ(state, RECORD_END);
  EXPECT_EQ(seen, "r??1;" + std::string(RECORD_NOTE_MAX, 'n') + ";");
  EXPECT_EQ(std::string(reinterpret_cast<char *>(evbuffer_pullup(content, -1)),
                        evbuffer_get_length(content)),
            "abcdef");
  const unsigned char too_long[] = {0x40, 0, 0, RECORD_NOTE_MAX + 1};
  evbuffer_add(in, too_long, sizeof too_long);
  EXPECT_EQ(record_read(&reader, in, content), RECORD_BAD);
  evbuffer_free(wire);
  evbuffer_free(content);
  evbuffer_free(in);
}

TEST_F(Carry, SlowAskerHoldsTheEndpointUp) {
  mp_Msg call = {};
  char bytes[MP_DATAGRAM_MAX];
  call.kind = MP_MSG_CARRY;
  call.u.carry = {77, 400, 0};
  size_t size = rpc_encode(&call, bytes, sizeof bytes);
  auto asker = loopback::call(carrier);
  int small = 8192;
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  asker->send_text(std::string({'\x80', 0, 0, static_cast<char>(size)}) +
                   std::string(bytes, size));
  EXPECT_TRUE(wait([&] { return endpoint.peers.size() == 1; }));
  size_t written = 0;
  std::string block(65536, 'x');
  loopback::until(
      base,
      [&] {
        ssize_t n = send(endpoint.peers[0]->fd, block.data(), block.size(),
                         MSG_NOSIGNAL | MSG_DONTWAIT);
        written += n > 0 ? static_cast<size_t>(n) : 0;
      },
      [] { return false; });
  /* the buffers of two sockets, and of the carrier */
  EXPECT_LT(written, 16u << 20);
  EXPECT_GT(written, 0u);
}

/* An asker by hand: it has called for a connection to the endpoint, and its
** kernel takes little. */
struct RawAsker : Carry {
  std::unique_ptr<Peer> asker;

  void SetUp() override {
    mp_Msg call = {};
    char bytes[MP_DATAGRAM_MAX];
    int small = 8192;
    Carry::SetUp();
    call.kind = MP_MSG_CARRY;
    call.u.carry = {77, 400, 0};
    size_t size = rpc_encode(&call, bytes, sizeof bytes);
    asker = loopback::call(carrier);
    setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    asker->send_text(std::string({'\x80', 0, 0, static_cast<char>(size)}) +
                     std::string(bytes, size));
    ASSERT_TRUE(wait([&] { return endpoint.peers.size() == 1; }));
    wait([turns = 0]() mutable { return ++turns > 20; });
  }
  /* Sends bytes of a request, as one fragment of the record. */
  void send_fragment(const std::string &text) {
    asker->send_text(std::string({0, 0, static_cast<char>(text.size() >> 8),
                                  static_cast<char>(text.size() & 0xff)}) +
                     text);
  }
  /* Runs the event loop for this long (ms), whatever the machine's load. */
  void silence(int ms) const {
    gint64 until = g_get_monotonic_time() + ms * 1000;
    while (g_get_monotonic_time() < until) {
      event_base_loop(base, EVLOOP_NONBLOCK);
      usleep(1000);
    }
  }
  /* The kernel drops all that arrives for the asker from now on. */
  void lose_path() const {
    struct sock_filter none = {BPF_RET | BPF_K, 0, 0, 0};
    struct sock_fprog program = {1, &none};
    ASSERT_EQ(setsockopt(asker->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                         sizeof program),
              0);
  }
  /* Returns when no connection is carried any more, in steady time; after 12 s
  ** at the latest. */
  gint64 closed_at() const {
    gint64 until = g_get_monotonic_time() + 12 * MP_SEC;
    while (carry_server_count(server) > 0 && g_get_monotonic_time() < until) {
      event_base_loop(base, EVLOOP_NONBLOCK);
      usleep(1000);
    }
    return g_get_monotonic_time();
  }
  /* Has the endpoint send an answer and end its side. It reads on: what a
  ** kernel has for a peer is lost when that peer's bytes reach a closed
  ** socket. */
  void answer_and_end(const std::string &text) {
    size_t at = 0;
    ASSERT_TRUE(wait([&] {
      ssize_t n = send(endpoint.peers[0]->fd, text.data() + at,
                       text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      at += n > 0 ? static_cast<size_t>(n) : 0;
      return at == text.size();
    }));
    shutdown(endpoint.peers[0]->fd, SHUT_WR);
  }
};

/* Guards against a run after the deadline of a caller, which passes while this
** process stands still and the connection to the endpoint is made. */
TEST_F(Carry, ARequestIsNotSentAfterItsDeadline) {
  deadline_ms = 50;
  for (bool is_carried : {false, true}) {
    dispatch(DISPATCH_RUN, false, is_carried);
    usleep(60 * 1000);
    wait([turns = 0]() mutable { return ++turns > 50; });
  }
  ASSERT_EQ(endpoint.peers.size(), 2u);
  for (const auto &peer : endpoint.peers)
    EXPECT_EQ(peer->got, "");
}

/* Guards against a run after the deadline of a caller: its request lies unread
** while the carrier stands still, and the asker has given it up since. */
TEST_F(RawAsker, ARequestThatWasGivenUpUnreadIsNotPassedOn) {
  send_fragment("POST /a/b HTTP/1.1");
  asker->close_now();
  silence(300);
  endpoint.work();
  EXPECT_EQ(endpoint.peers[0]->got, "");
  EXPECT_EQ(carry_server_count(server), 0u);
}

/* Closing a socket with unread input resets the connection, and the kernel
** discards what the asker has not been sent. */
TEST_F(RawAsker, AnAnswerIsWholeAlthoughItsRequestStillArrives) {
  const std::string large(256 << 10, 'x');
  asker->reading = false;
  send_fragment("begin");
  answer_and_end(large);
  wait([turns = 0]() mutable { return ++turns > 50; });
  send_fragment(std::string(1000, 'q'));
  wait([turns = 0]() mutable { return ++turns > 50; });
  send_fragment(std::string(1000, 'q'));
  wait([turns = 0]() mutable { return ++turns > 50; });
  int large_buffer = 1 << 20;
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &large_buffer,
             sizeof large_buffer);
  asker->reading = true;
  EXPECT_TRUE(loopback::until(
      base, [&] { asker->read_some(); }, [&] { return asker->ended; }));
  size_t letters = 0;
  for (char one : asker->got)
    letters += one == 'x' ? 1 : 0;
  EXPECT_EQ(letters, large.size());
}

/* The same for an asker that is silent for longer than discarding input waits,
** while the kernel still holds its answer: the rest of its request resets the
** closed connection. Also in a stop, which does not count it any more. */
TEST_F(RawAsker, AnAnswerIsWholeAlthoughItsRequestGoesOnAfterASilence) {
  const std::string large(256 << 10, 'x');
  asker->reading = false;
  send_fragment("begin");
  answer_and_end(large);
  /* beyond LINGER_SECONDS, and before the kernel's probe of the closed window
  ** 1.4 s after it was closed: the one after that comes too late for it */
  silence(1200);
  send_fragment(std::string(1000, 'q'));
  wait([turns = 0]() mutable { return ++turns > 50; });
  int large_buffer = 1 << 20;
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &large_buffer,
             sizeof large_buffer);
  asker->reading = true;
  for (int i = 0; i < 4 && !asker->ended; i++) /* the window opens late */
    loopback::until(
        base, [&] { asker->read_some(); }, [&] { return asker->ended; });
  size_t letters = 0;
  for (char one : asker->got)
    letters += one == 'x' ? 1 : 0;
  EXPECT_EQ(letters, large.size());
}

/* Guards against TCP_USER_TIMEOUT (UNACKED_MS), which also ends a connection
** whose peer answers the kernel's probes but does not read: it is reset after
** 2.5 s, although a side may not read for 10 s (WRITE_TIMEOUT_SECONDS). */
TEST_F(RawAsker, AnAnswerIsWholeAlthoughItsAskerDoesNotReadForFourSeconds) {
  const std::string large(256 << 10, 'x');
  asker->reading = false;
  send_fragment("begin");
  answer_and_end(large);
  silence(4000);
  int large_buffer = 1 << 20;
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &large_buffer,
             sizeof large_buffer);
  asker->reading = true;
  for (int i = 0; i < 4 && !asker->ended; i++) /* the window opens late */
    loopback::until(
        base, [&] { asker->read_some(); }, [&] { return asker->ended; });
  size_t letters = 0;
  for (char one : asker->got)
    letters += one == 'x' ? 1 : 0;
  EXPECT_EQ(letters, large.size());
}

/* Guards against a lost path to an asker that holds a carried connection until
** the limit for askers that do not read. */
TEST_F(RawAsker, WhosePathIsLostWithBytesInFlightIsClosedInTime) {
  send_fragment("begin");
  silence(200); /* until the asker has nothing to repeat */
  lose_path();
  send(endpoint.peers[0]->fd, "x", 1, MSG_NOSIGNAL);
  gint64 lost = g_get_monotonic_time();
  EXPECT_LT(closed_at() - lost, 5 * MP_SEC);
}

/* The same after the asker did not read for a time, and with nothing to send.
 */
TEST_F(RawAsker, WhosePathIsLostAfterItHasReadOnIsClosedInTime) {
  const std::string large(256 << 10, 'x');
  int large_buffer = 1 << 20;
  asker->reading = false;
  send_fragment("begin");
  ASSERT_TRUE(wait([this, &large, at = size_t{0}]() mutable {
    ssize_t n = send(endpoint.peers[0]->fd, large.data() + at,
                     large.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
    at += n > 0 ? static_cast<size_t>(n) : 0;
    return at == large.size();
  }));
  silence(1500);
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &large_buffer,
             sizeof large_buffer);
  asker->reading = true;
  EXPECT_TRUE(loopback::until(
      base, [&] { asker->read_some(); },
      [&] { return asker->got.size() > large.size(); }));
  silence(1000);
  lose_path();
  gint64 lost = g_get_monotonic_time();
  EXPECT_LT(closed_at() - lost, 6 * MP_SEC);
}

/* A carried connection whose answer was sent must not hold a stop because its
** asker does not close. */
TEST_F(RawAsker, ThatNeverClosesIsClosedAfterItsAnswer) {
  send_fragment("begin");
  answer_and_end("short");
  EXPECT_TRUE(loopback::until(
      base, [&] { asker->read_some(); }, [&] { return asker->ended; }));
  EXPECT_TRUE(wait([&] { return carry_server_count(server) == 0; }));
}

/* Guards against an asker that holds a carried connection, and each stop of
** its carrier until the latest end, by sending on behind its answer. */
TEST_F(RawAsker, ThatSendsOnIsClosedInTheEnd) {
  send_fragment("begin");
  answer_and_end("short");
  int rounds = 0;
  while (carry_server_count(server) > 0 && ++rounds < 400) {
    send_fragment("x");
    event_base_loop(base, EVLOOP_NONBLOCK);
    usleep(50000);
  }
  EXPECT_LT(rounds, 300);
}

/* Guards against an answer that a planned stop of the carrier loses: while the
** asker does not read, it sends nothing, and what the kernel holds for it is
** discarded if it sends on after the process has ended. */
TEST_F(RawAsker, IsCountedUntilItHasAcknowledgedItsAnswer) {
  const std::string large(256 << 10, 'x');
  int large_buffer = 1 << 20;
  asker->reading = false;
  send_fragment("begin");
  answer_and_end(large);
  wait([until = g_get_monotonic_time() + 1600 * MP_MS] {
    return g_get_monotonic_time() > until;
  });
  EXPECT_EQ(carry_server_count(server), 1u);
  if (carry_server_count(server) == 0) { /* a planned stop ends the process */
    carry_server_free(server);
    server = nullptr;
  }
  send_fragment(std::string(1000, 'q'));
  wait([turns = 0]() mutable { return ++turns > 50; });
  setsockopt(asker->fd, SOL_SOCKET, SO_RCVBUF, &large_buffer,
             sizeof large_buffer);
  asker->reading = true;
  EXPECT_TRUE(loopback::until(
      base, [&] { asker->read_some(); }, [&] { return asker->ended; }));
  size_t letters = 0;
  for (char one : asker->got)
    letters += one == 'x' ? 1 : 0;
  EXPECT_EQ(letters, large.size());
  EXPECT_TRUE(wait(
      [&] { return server == nullptr || carry_server_count(server) == 0; }));
}

} // namespace
