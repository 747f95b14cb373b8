/*
** test_cut_answers.cc
** Responses of endpoints that are cut at each byte of their head or body, or
** whose framing is not known: nothing of them may count as whole. Raw peers on
** loopback.
*/

#include <gtest/gtest.h>

#include <csignal>
#include <map>

#include "cut_responses.h"
#include "loopback.h"

extern "C" {
#include "io/carry_server.h"
#include "io/endpoint_links.h"
#include "io/record_stream.h"
#include "platform/platform.h"
#include "wire/rpc.h"
}

using cut::End;
using cut::end_name;
using cut::Form;
using cut::forms;
using cut::Framing;
using cut::may_be_whole;
using cut::Response;
using cut::response;
using loopback::Listener;
using loopback::Peer;

namespace {

/* Dispatches to an endpoint, directly or carried, which cuts its responses. */
struct CutAnswerTest : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener endpoint;
  Log *log = log_new("/dev/null", MP_FAULT, nullptr);
  CarryServer *server = nullptr;
  EndpointLinks *links = nullptr;
  mp_Addr carrier = 0;
  HttpHead *caller = http_head_new_request("POST", "/a");
  GByteArray *body = g_byte_array_new();
  struct Ended {
    OutcomeKind kind;
    std::string bytes;
    std::string framing, end; /* as the log line has them */
  };
  std::map<guint64, Ended> ended; /* dispatch -> its outcome */
  guint64 last = 0;

  void SetUp() override {
    EndpointLinksHooks hooks = {
        this,
        on_outcome,
        [](void *, const char *, guint32, const EndpointSignals *) {},
        [](void *, const char *, guint, guint) {},
        [](void *, const char *) -> gboolean { return FALSE; },
        nullptr};
    CarryServerHooks carrying = {this, may_carry};
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(mp_Addr));
    mp_Addr self = mp_addr_parse("127.0.0.1:1");
    signal(SIGPIPE, SIG_IGN); /* as the daemon does */
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
  static CarryVerdict may_carry(void *data, guint32, mp_Addr *out) {
    *out = static_cast<CutAnswerTest *>(data)->endpoint.address;
    return CARRY_CONNECTED;
  }
  static void on_outcome(void *data, const Outcome *outcome) {
    auto *self = static_cast<CutAnswerTest *>(data);
    const auto *answer =
        static_cast<const EndpointResponse *>(outcome->payload);
    if (outcome->kind == OUTCOME_STREAM_HEAD ||
        outcome->kind == OUTCOME_STREAM_PIECE)
      return;
    Ended &one = self->ended[outcome->dispatch];
    one.kind = outcome->kind;
    if (answer != nullptr && answer->bytes != nullptr)
      one.bytes.assign(answer->bytes, answer->size);
    one.framing = outcome->framing != nullptr ? outcome->framing : "";
    if (outcome->connection_end != nullptr)
      one.end = outcome->connection_end;
  }

  /* Runs the event loop without pauses, for at most two seconds. */
  bool wait(const std::function<bool()> &done) {
    gint64 start = g_get_monotonic_time();
    while (!done()) {
      if (g_get_monotonic_time() - start > 2 * G_USEC_PER_SEC)
        return false;
      event_base_loop(base, EVLOOP_NONBLOCK);
      endpoint.work();
    }
    return true;
  }
  void wait_for(gint64 time) {
    gint64 start = g_get_monotonic_time();
    wait([&] { return g_get_monotonic_time() - start >= time; });
  }
  /* Sends a dispatch; returns the connection on which its head has come. */
  Peer &dispatch(DispatchKind kind, bool is_stream, bool is_carried) {
    Dispatch one = {};
    endpoint.peers.clear();
    one.number = ++last;
    one.request = last;
    one.kind = kind;
    one.address = endpoint.address;
    one.via = is_carried ? carrier : 0;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = 60000;
    one.stream = is_stream;
    one.connect_timeout = 1000 * MP_MS;
    endpoint_links_send(links, &one, caller, body);
    EXPECT_TRUE(wait([&] {
      return !endpoint.peers.empty() &&
             endpoint.peers.back()->got.find("\r\n\r\n") != std::string::npos;
    }));
    return *endpoint.peers.back();
  }
  void end_connection(Peer &peer, End end) {
    if (end == End::RESET)
      peer.reset();
    else if (end == End::HALF_CLOSE)
      shutdown(peer.fd, SHUT_WR);
    else {
      if (end == End::SILENCE)
        wait_for(2 * MP_MS);
      peer.close_now();
    }
  }
  /* The outcome of the last dispatch. */
  Ended outcome() {
    EXPECT_TRUE(wait([&] { return ended.count(last) > 0; }));
    return ended[last];
  }

  /* Cuts the response at byte 'size', and checks what becomes of it. */
  void cut(const Form &form, DispatchKind kind, const std::string &content,
           bool is_stream, bool is_carried, size_t size, End end) {
    Response from = response(form, content, is_stream);
    Peer &peer = dispatch(kind, is_stream, is_carried);
    if (size > 0)
      peer.send_text(from.text.substr(0, size));
    end_connection(peer, end);
    Ended one = outcome();
    bool is_whole = one.kind != OUTCOME_BROKEN;
    if (!may_be_whole(form, from, size, end)) {
      EXPECT_FALSE(is_whole) << form.name << ", " << end_name(end)
                             << (is_carried ? ", carried" : "") << " at "
                             << size << " of " << from.text.size();
    } else if (size == from.text.size()) {
      EXPECT_TRUE(is_whole) << form.name << ", " << end_name(end)
                            << (is_carried ? ", carried" : "");
    } else if (is_whole && kind == DISPATCH_RUN && !is_stream) {
      EXPECT_EQ(one.bytes, content.substr(0, size - from.body_at));
    }
    ended.clear();
  }
  /* Cuts the response of each form at every byte. */
  void cut_everywhere(DispatchKind kind, const std::string &content,
                      bool is_stream, bool is_carried,
                      const std::vector<End> &ends) {
    for (const Form &form : forms) {
      size_t whole = response(form, content, is_stream).text.size();
      for (End end : ends) {
        for (size_t size = 0; size <= whole && !HasFailure(); size++)
          cut(form, kind, content, is_stream, is_carried, size, end);
        for (size_t size : {whole / 2, whole - 1, whole})
          cut(form, kind, content, is_stream, is_carried, size, end);
      }
    }
  }
};

const char *const events = "id: 1\ndata: a\n\n";
const char *const handle = R"({"KvHandle":"h-1"})";
const char *const report = R"({"Stage":"prefill","Seq":2})";

/* A response whose transfer coding was not known was read up to the close, and
** passed on as whole, empty or short. */
TEST_F(CutAnswerTest, AnswerCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_RUN, "four", false, false,
                 {End::CLOSE, End::RESET, End::HALF_CLOSE});
}

TEST_F(CutAnswerTest, StreamCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_RUN, events, true, false, {End::CLOSE, End::RESET});
}

TEST_F(CutAnswerTest, CarriedAnswerCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_RUN, "four", false, true, {End::CLOSE, End::RESET});
}

TEST_F(CutAnswerTest, CarriedStreamCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_RUN, events, true, true, {End::CLOSE, End::RESET});
}

/* A handle that was cut would name another memory, or none. */
TEST_F(CutAnswerTest, PrefillCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_PREFILL, handle, false, false, {End::CLOSE});
}

/* Silence is not an end: what follows it is read as if it had not been. */
TEST_F(CutAnswerTest, SilenceBeforeTheEndChangesNothing) {
  for (const Form &form : forms) {
    Response from = response(form, "four", false);
    for (size_t size : {size_t{0}, from.body_at / 2, from.body_at - 1,
                        from.body_at, from.text.size() - 1})
      cut(form, DISPATCH_RUN, "four", false, false, size, End::SILENCE);
  }
}

/* A report that was cut could tell another stage or number. */
TEST_F(CutAnswerTest, ReportCutAtAnyByteIsNotWhole) {
  cut_everywhere(DISPATCH_REPORT, report, false, false, {End::CLOSE});
}

/* Lines that end with CR alone are no end of a head. */
TEST_F(CutAnswerTest, HeadThatStopsAtCarriageReturnIsNotWhole) {
  for (const char *text :
       {"HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r",
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\r",
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r",
        "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\rfour"}) {
    for (bool is_carried : {false, true}) {
      Peer &peer = dispatch(DISPATCH_RUN, false, is_carried);
      peer.send_text(text);
      peer.close_now();
      EXPECT_EQ(outcome().kind, OUTCOME_BROKEN) << text;
    }
  }
}

/* What follows an answer without keep-alive is no part of it. */
TEST_F(CutAnswerTest, HeadOfTheNextResponseIsNoPartOfTheBody) {
  for (const char *next : {"HTTP/1.1 20", "HTTP/1.1 200 OK\r\n\r\nmore"}) {
    Peer &peer = dispatch(DISPATCH_RUN, false, false);
    peer.send_text(response(forms[0], "four", false).text + next);
    peer.close_now();
    Ended one = outcome();
    EXPECT_EQ(one.kind, OUTCOME_ANSWER);
    EXPECT_EQ(one.bytes, "four");
    EXPECT_EQ(endpoint_links_idle_count(links), 0u);
  }
}

/* Without this, a log does not tell a cut answer from an invalid one. */
TEST_F(CutAnswerTest, FramingAndEndOfABrokenAnswerAreTold) {
  const struct {
    std::string text;
    End how;
    bool is_carried;
    const char *framing, *end;
  } cases[] = {
      {"", End::CLOSE, false, "none", "orderly"},
      {"HTTP/1.1 200 OK\r\nServer", End::CLOSE, false, "none", "orderly"},
      {"HTTP/1.1 200 OK\r\nServer", End::RESET, false, "none", "reset"},
      {"HTTP/1.1 100 Continue\r\n\r\n", End::CLOSE, false, "none", "orderly"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfo", End::HALF_CLOSE,
       false, "length", "orderly"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfo",
       End::RESET, false, "chunked", "reset"},
      {"HTTP/1.1 200 OK\r\n\r\nfo", End::RESET, false, "close", "reset"},
      {"HTTP/1.1 200 OK\r\n\r\nfo", End::RESET, true, "close", "carrier"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfo", End::CLOSE, true,
       "length", "orderly"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\r\n\r\n", End::SILENCE,
       false, "none", "open"},
  };
  for (const auto &one : cases) {
    Peer &peer = dispatch(DISPATCH_RUN, false, one.is_carried);
    if (!one.text.empty())
      peer.send_text(one.text);
    wait_for(2 * MP_MS);
    end_connection(peer, one.how);
    Ended told = outcome();
    EXPECT_EQ(told.kind, OUTCOME_BROKEN) << one.text;
    EXPECT_EQ(told.framing, one.framing) << one.text;
    EXPECT_EQ(told.end, one.end) << one.text;
  }
}

TEST_F(CutAnswerTest, TimeoutOfABrokenAnswerIsTold) {
  dispatch(DISPATCH_REPORT, false, false)
      .send_text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfo");
  Ended told = outcome();
  EXPECT_EQ(told.kind, OUTCOME_BROKEN);
  EXPECT_EQ(told.framing, "length");
  EXPECT_EQ(told.end, "timeout");
}

/* Adds a record to a text, as a carrier sends it. */
void add_record(std::string &text, const std::string &content, bool is_last) {
  struct evbuffer *from = evbuffer_new();
  struct evbuffer *to = evbuffer_new();
  evbuffer_add(from, content.data(), content.size());
  record_write(to, from, is_last);
  text.append(reinterpret_cast<const char *>(evbuffer_pullup(to, -1)),
              evbuffer_get_length(to));
  evbuffer_free(from);
  evbuffer_free(to);
}

/* The carrier is written by hand: it stops within what it sends, or resets the
** connection after the bytes of the endpoint and before their end. */
struct CutCarrierTest : CutAnswerTest {
  std::string verdict, bytes; /* what a carrier sends for a whole answer */

  void SetUp() override {
    CutAnswerTest::SetUp();
    mp_Msg message = {};
    char text[MP_DATAGRAM_MAX];
    message.kind = MP_MSG_CARRY;
    message.reply = 1;
    message.seq = 1;
    message.u.carry.verdict = CARRY_CONNECTED;
    size_t size = rpc_encode(&message, text, sizeof text);
    add_record(verdict, std::string(text, size), true);
    add_record(bytes, response(forms[2], "four", false).text, false);
    add_record(bytes, "", true);
    carrier = endpoint.address;
  }
  /* Sends the first 'size' bytes of all that a carrier sends. */
  Ended cut_carrier(size_t size, End end) {
    Dispatch one = {};
    endpoint.peers.clear();
    ended.clear();
    one.number = ++last;
    one.request = last;
    one.kind = DISPATCH_RUN;
    one.address = one.via = carrier;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = 60000;
    one.connect_timeout = 1000 * MP_MS;
    endpoint_links_send(links, &one, caller, body);
    EXPECT_TRUE(wait([&] {
      return !endpoint.peers.empty() && !endpoint.peers[0]->got.empty();
    }));
    Peer &peer = *endpoint.peers[0];
    if (size > 0)
      peer.send_text(verdict.substr(0, size));
    if (size > verdict.size()) {
      EXPECT_TRUE(
          wait([&] { return peer.got.find("POST /a") != std::string::npos; }));
      peer.send_text(bytes.substr(0, size - verdict.size()));
    }
    end_connection(peer, end);
    return outcome();
  }
};

TEST_F(CutCarrierTest, BytesCutAnywhereAreNoWholeAnswer) {
  size_t whole = verdict.size() + bytes.size();
  for (End end : {End::CLOSE, End::RESET, End::HALF_CLOSE}) {
    for (size_t size = 0; size < whole; size++) {
      OutcomeKind kind = cut_carrier(size, end).kind;
      ASSERT_TRUE(kind == OUTCOME_BROKEN || kind == OUTCOME_UNREACHABLE)
          << end_name(end) << " at " << size << " of " << whole;
    }
    Ended one = cut_carrier(whole, end);
    EXPECT_EQ(one.kind, OUTCOME_ANSWER) << end_name(end);
    EXPECT_EQ(one.bytes, "four") << end_name(end);
  }
}

/*
** A reset that is found by writing is not reported to reading, which sees an
** end of the stream then: an answer without a length was taken for whole.
*/
struct ResetInWritingTest : CutAnswerTest {
  /* Sends a dispatch whose endpoint leaves most of its body unread. */
  Peer &dispatch_unread(bool is_carried) {
    Dispatch one = {};
    endpoint.peers.clear();
    g_byte_array_set_size(body, 32 << 20);
    memset(body->data, 'x', body->len);
    one.number = ++last;
    one.request = last;
    one.kind = DISPATCH_RUN;
    one.address = endpoint.address;
    one.via = is_carried ? carrier : 0;
    one.endpoint = "i-1";
    one.life = 77;
    one.deadline_ms = 60000;
    one.connect_timeout = 1000 * MP_MS;
    endpoint_links_send(links, &one, caller, body);
    EXPECT_TRUE(wait([&] { return !endpoint.peers.empty(); }));
    endpoint.peers[0]->reading = false;
    wait_for(20 * MP_MS); /* until the buffers of the kernel are full */
    return *endpoint.peers[0];
  }
  void reset_within_the_answer(const std::string &framing, bool is_carried) {
    Peer &peer = dispatch_unread(is_carried);
    peer.send_text("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" +
                   framing + "\r\nfour");
    peer.reset();
  }
};

TEST_F(ResetInWritingTest, AnswerWithoutLengthIsNotWhole) {
  for (bool is_carried : {false, true}) {
    for (int i = 0; i < 5; i++) {
      reset_within_the_answer("", is_carried);
      EXPECT_EQ(outcome().kind, OUTCOME_BROKEN)
          << (is_carried ? "carried" : "direct");
    }
  }
}

/* Its length says that it is whole, whatever comes after it. */
TEST_F(ResetInWritingTest, AnswerWithItsLengthIsWhole) {
  for (bool is_carried : {false, true}) {
    reset_within_the_answer("Content-Length: 4\r\n", is_carried);
    EXPECT_EQ(outcome().kind, OUTCOME_ANSWER);
  }
}

/* The end came before the reset, as from a server that refuses a long body. */
TEST_F(ResetInWritingTest, AnswerWithoutLengthThatEndedBeforeIsWhole) {
  for (int i = 0; i < 4; i++) {
    bool is_carried = i % 2 != 0;
    bool is_reset = i >= 2;
    Peer &peer = dispatch_unread(is_carried);
    peer.send_text("HTTP/1.1 413 Large\r\nServer-Stamp: s\r\n"
                   "Request-Id: r1\r\n\r\nfour");
    shutdown(peer.fd, SHUT_WR);
    if (is_reset)
      peer.reset();
    Ended one = outcome();
    EXPECT_EQ(one.kind, OUTCOME_ANSWER);
    EXPECT_EQ(one.bytes, "four");
  }
}

} // namespace
