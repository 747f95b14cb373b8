/*
** test_cut_answers.cc
** Responses that are cut at each byte of their head or body, or whose framing
** is not known: nothing of them may count as whole. Raw peers on loopback.
*/

#include <gtest/gtest.h>

#include <csignal>
#include <map>

#include "loopback.h"

extern "C" {
#include "http/reader.h"
#include "io/carry_server.h"
#include "io/endpoint_links.h"
#include "io/http.h"
#include "io/store_link.h"
#include "platform/platform.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

/* How a peer ends its connection. */
enum class End { CLOSE, RESET, HALF_CLOSE, SILENCE };

const std::vector<End> all_ends = {End::CLOSE, End::RESET, End::HALF_CLOSE,
                                   End::SILENCE};

const char *end_name(End end) {
  static const char *const names[] = {"close", "reset", "half-close",
                                      "silence, then close"};
  return names[static_cast<int>(end)];
}

/* How the head of a response delimits its body. */
enum class Framing { LENGTH, CHUNKED, CLOSE, UNKNOWN };

struct Form {
  std::string name;
  Framing framing;
  std::string before;  /* interim responses */
  std::string version; /* of the protocol */
  std::string field;   /* of the framing */
};

const std::vector<Form> forms = {
    {"length", Framing::LENGTH, "", "1.1", ""},
    {"chunked", Framing::CHUNKED, "", "1.1", "Transfer-Encoding: chunked\r\n"},
    {"neither", Framing::CLOSE, "", "1.1", ""},
    {"neither, HTTP/1.0", Framing::CLOSE, "", "1.0", ""},
    {"length, HTTP/1.0", Framing::LENGTH, "", "1.0", ""},
    {"chunked, HTTP/1.0", Framing::UNKNOWN, "", "1.0",
     "Transfer-Encoding: chunked\r\n"},
    {"chun", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: chun\r\n"},
    {"gzip", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: gzip\r\n"},
    {"gzip, chunked", Framing::UNKNOWN, "", "1.1",
     "Transfer-Encoding: gzip, chunked\r\n"},
    {"empty coding", Framing::UNKNOWN, "", "1.1", "Transfer-Encoding: \r\n"},
    {"interim, length", Framing::LENGTH, "HTTP/1.1 100 Continue\r\n\r\n",
     "1.1", ""},
    {"interim, neither", Framing::CLOSE,
     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "1.1", ""},
};

std::string chunk(const std::string &bytes) {
  char size[16];
  g_snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

struct Response {
  std::string text;
  size_t body_at; /* offset of the first byte behind the head */
};

Response response(const Form &form, const std::string &body, bool is_stream) {
  Response out;
  out.text = form.before + "HTTP/" + form.version +
             " 200 OK\r\nServer-Stamp: s\r\nRequest-Id: r1\r\n" + form.field;
  if (form.framing == Framing::LENGTH)
    out.text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (is_stream)
    out.text += "Content-Type: text/event-stream\r\n";
  out.text += "\r\n";
  out.body_at = out.text.size();
  if (form.field.find("chunked") != std::string::npos)
    out.text += chunk(body) + "0\r\n\r\n";
  else
    out.text += body;
  return out;
}

/* May the first 'size' bytes of the response, followed by 'end', be whole? */
bool may_be_whole(const Form &form, const Response &from, size_t size,
                  End end) {
  if (size < from.body_at || form.framing == Framing::UNKNOWN)
    return false;
  if (form.framing == Framing::CLOSE)
    return end != End::RESET;
  return size == from.text.size();
}

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
    g_byte_array_free(body, TRUE);
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

/* A call to the store or a relay. */
TEST(CutStoreReply, IsNotWhole) {
  const std::string list = R"({"items":[],"more":false,"at":5})";
  struct event_base *base = event_base_new();
  Listener store;
  struct Count {
    int answered = 0, failed = 0;
  } count;
  auto on_reply = [](void *data, const StoreReply *reply, const GError *) {
    auto *all = static_cast<Count *>(data);
    (reply->status == STORE_OK ? all->answered : all->failed)++;
  };
  StoreLink *link = store_link_new(base, store.address,
                                   &platform_dialect.store, on_reply, &count);
  for (const Form &form : forms) {
    Response from = response(form, list, false);
    for (End end : {End::CLOSE, End::RESET}) {
      for (size_t size = 0; size < from.text.size(); size++) {
        StoreCall call = {};
        call.operation = STORE_LIST;
        count = {};
        store.peers.clear();
        store_link_call(link, &call, 1000 * MP_MS);
        auto turn = [&] {
          event_base_loop(base, EVLOOP_NONBLOCK);
          store.work();
        };
        gint64 start = g_get_monotonic_time();
        while (store.peers.empty() || store.peers[0]->got.empty()) {
          turn();
          ASSERT_LT(g_get_monotonic_time() - start, 2 * G_USEC_PER_SEC);
        }
        if (size > 0)
          store.peers[0]->send_text(from.text.substr(0, size));
        if (end == End::RESET)
          store.peers[0]->reset();
        else
          store.peers[0]->close_now();
        while (count.answered + count.failed == 0)
          turn();
        ASSERT_EQ(count.answered, 0)
            << form.name << ", " << end_name(end) << " at " << size;
      }
    }
  }
  store_link_free(link);
  event_base_free(base);
}

/* Calls of the product's own interface, to engines and its store. */
struct OwnCallTest : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener server;
  struct Call {
    int ends = 0;
    int heads = 0;
    HttpEnd end = HTTP_END_BROKEN;
  };

  void TearDown() override {
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
  }
  /* Makes a call that gets this response; returns how it ended. */
  Call call(const std::string &text, End end) {
    static const HttpHooks hooks = {[](void *data, int, struct evkeyvalq *) {
                                      static_cast<Call *>(data)->heads++;
                                    },
                                    nullptr,
                                    [](void *data, HttpEnd how, int) {
                                      static_cast<Call *>(data)->end = how;
                                      static_cast<Call *>(data)->ends++;
                                    }};
    Call one;
    gint64 start = g_get_monotonic_time();
    server.peers.clear();
    HttpCall *made = http_call(base, server.address, EVHTTP_REQ_GET, "/",
                               nullptr, nullptr, 0, &hooks, &one);
    bool is_sent = false;
    while (one.ends == 0 &&
           g_get_monotonic_time() - start < 2 * G_USEC_PER_SEC) {
      event_base_loop(base, EVLOOP_NONBLOCK);
      server.work();
      if (is_sent || server.peers.empty() || server.peers[0]->got.empty())
        continue;
      is_sent = true;
      if (!text.empty())
        server.peers[0]->send_text(text);
      for (int i = 0; end == End::SILENCE && i < 20; i++)
        event_base_loop(base, EVLOOP_NONBLOCK);
      if (end == End::RESET)
        server.peers[0]->reset();
      else
        server.peers[0]->close_now();
    }
    EXPECT_EQ(one.ends, 1);
    if (one.ends == 0)
      http_abort(made);
    event_base_loop(base, EVLOOP_NONBLOCK);
    return one;
  }
};

/* With a transfer coding that was not known, a response was read up to the
** close and counted as whole. */
TEST_F(OwnCallTest, ResponseCutAtAnyByteIsNotWhole) {
  for (const Form &form : forms) {
    if (form.name == "interim, neither")
      continue; /* evhttp skips interim responses of status 100 only */
    Response from = response(form, "four", false);
    for (End end : {End::CLOSE, End::RESET, End::SILENCE}) {
      for (size_t size = 0; size <= from.text.size(); size++) {
        Call one = call(from.text.substr(0, size), end);
        bool is_whole = one.end == HTTP_END_OK;
        if (!may_be_whole(form, from, size, end)) {
          ASSERT_FALSE(is_whole)
              << form.name << ", " << end_name(end) << " at " << size << " of "
              << from.text.size();
        } else if (size == from.text.size() && end == End::SILENCE) {
          EXPECT_TRUE(is_whole) << form.name;
        }
      }
    }
  }
}

/* An interim response was taken for the response to the call. */
TEST_F(OwnCallTest, InterimResponseIsNoResponse) {
  for (const char *before :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
    for (End end : {End::CLOSE, End::RESET}) {
      Call one = call(before, end);
      EXPECT_NE(one.end, HTTP_END_OK) << before << end_name(end);
      EXPECT_EQ(one.heads, 0) << before << end_name(end);
    }
  }
}

} // namespace
