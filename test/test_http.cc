/*
** test_http.cc
** Framing of messages and of events, with good and bad bytes
*/

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

extern "C" {
#include "http/content.h"
#include "http/events.h"
#include "http/reader.h"
}

namespace {

/* a reader and what it told */
struct Reading {
  HttpReader *reader;
  HttpHead *head = nullptr;
  std::string body;

  explicit Reading(HttpReaderKind kind) {
    static const HttpReaderCallbacks hooks = {on_head, on_body};
    reader = http_reader_new(kind, &hooks, this);
  }
  ~Reading() {
    http_head_free(head);
    http_reader_free(reader);
  }
  Reading(const Reading &) = delete;
  Reading &operator=(const Reading &) = delete;

  static void on_head(void *data, HttpHead *head) {
    auto *self = static_cast<Reading *>(data);
    http_head_free(self->head);
    self->head = head;
  }
  static void on_body(void *data, const char *bytes, size_t size) {
    static_cast<Reading *>(data)->body.append(bytes, size);
  }

  /* feed in pieces of this size; returns the bytes consumed */
  size_t feed(const std::string &bytes, size_t step = 1 << 20) {
    size_t used = 0;
    while (used < bytes.size()) {
      size_t size = std::min(step, bytes.size() - used);
      size_t n = http_reader_feed(reader, bytes.data() + used, size);
      used += n;
      if (n < size)
        break;
    }
    return used;
  }
  HttpReaderState state() const {
    return http_reader_state(reader);
  }
};

const char *const answer = "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 5\r\n"
                           "\r\nhello";

TEST(Reader, StopsBehindAWholeAnswer) {
  for (size_t step : {1, 2, 7, 1000}) {
    Reading r(HTTP_RESPONSES);
    std::string bytes = std::string(answer) + "HTTP/1.1 200 OK\r\n";
    EXPECT_EQ(r.feed(bytes, step), std::string(answer).size()) << step;
    EXPECT_EQ(r.state(), HTTP_READER_DONE);
    EXPECT_EQ(r.body, "hello");
    EXPECT_STREQ(http_head_get(r.head, "x"), "1");
  }
}

TEST(Reader, GoesOnWithTheNextMessage) {
  Reading r(HTTP_RESPONSES);
  r.feed(answer);
  http_reader_start_next(r.reader);
  EXPECT_EQ(r.state(), HTTP_READER_IDLE);
  r.body.clear();
  r.feed(answer);
  EXPECT_EQ(r.state(), HTTP_READER_DONE);
  EXPECT_EQ(r.body, "hello");
}

TEST(Reader, JoinsChunks) {
  Reading r(HTTP_RESPONSES);
  r.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
         1);
  EXPECT_EQ(r.state(), HTTP_READER_DONE);
  EXPECT_EQ(r.body, "abcde");
}

TEST(Reader, WithoutALengthOnlyAGoodEndMakesItWhole) {
  Reading r(HTTP_RESPONSES);
  r.feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(r.state(), HTTP_READER_PARTIAL);
  http_reader_handle_eof(r.reader);
  EXPECT_EQ(r.state(), HTTP_READER_DONE);
}

TEST(Reader, AnEndTooEarlyIsBad) {
  for (const char *bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Le"}) {
    Reading r(HTTP_RESPONSES);
    r.feed(bytes);
    http_reader_handle_eof(r.reader);
    EXPECT_EQ(r.state(), HTTP_READER_FAILED) << bytes;
  }
}

/* Read up to the close, such a response counted as whole, empty or short. */
TEST(Reader, UnknownTransferCodingIsBad) {
  for (const char *head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    for (const char *body : {"", "abc", "3\r\nabc\r\n0\r\n\r\n"}) {
      Reading r(HTTP_RESPONSES);
      r.feed(std::string(head) + body);
      http_reader_handle_eof(r.reader);
      EXPECT_EQ(r.state(), HTTP_READER_FAILED) << head << body;
      EXPECT_EQ(http_reader_error(r.reader), HTTP_ERROR_SYNTAX) << head;
      EXPECT_EQ(r.head, nullptr) << head;
    }
  }
  for (const char *coding : {"gzip, chunked", "chunked, gzip", "gzip", ""}) {
    Reading r(HTTP_REQUESTS);
    r.feed("POST / HTTP/1.1\r\nTransfer-Encoding: " + std::string(coding) +
           "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    EXPECT_EQ(r.state(), HTTP_READER_FAILED) << coding;
  }
}

/* The parser takes any byte behind a CR for the end of the line in the status
** line and at the end of the head. */
TEST(Reader, CarriageReturnAloneEndsNoHead) {
  for (size_t step : {1, 2, 1000}) {
    for (const char *bytes :
         {"HTTP/1.1 200 OK\r\nA: b\r\n\rX: 1\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nA: b\r\n\r\r\n",
          "HTTP/1.1 200 OK\r\nA: b\n\rabc", "HTTP/1.1 200 OK\rX\r\nabc",
          "HTTP/1.1 200\rX\r\nabc"}) {
      Reading r(HTTP_RESPONSES);
      r.feed(bytes, step);
      http_reader_handle_eof(r.reader);
      EXPECT_EQ(r.state(), HTTP_READER_FAILED) << bytes;
      EXPECT_EQ(http_reader_error(r.reader), HTTP_ERROR_SYNTAX) << bytes;
      EXPECT_EQ(r.head, nullptr) << bytes;
    }
  }
}

/* The answer to a HEAD request waited for a body that never comes. */
TEST(Reader, NoBodyIsExpectedBeyondInterimResponses) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  Reading r(HTTP_RESPONSES);
  http_reader_expect_no_body(r.reader);
  r.feed("HTTP/1.1 103 Early Hints\r\n\r\n");
  ASSERT_EQ(r.state(), HTTP_READER_DONE);
  http_reader_start_next(r.reader);
  r.feed(head);
  ASSERT_EQ(r.state(), HTTP_READER_DONE);
  http_reader_start_next(r.reader);
  r.feed(head);
  EXPECT_EQ(r.state(), HTTP_READER_PARTIAL);
}

TEST(Reader, NameOfTheChunkedCodingIsReadInAnyCase) {
  for (const char *coding : {"chunked", "Chunked", "CHUNKED "}) {
    Reading r(HTTP_RESPONSES);
    r.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
           "\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    EXPECT_EQ(r.state(), HTTP_READER_DONE) << coding;
    EXPECT_EQ(r.body, "abc") << coding;
  }
}

TEST(Reader, DoubtfulFramingIsBad) {
  for (const char *bytes :
       {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "\x01\x02garbage\r\n\r\n"}) {
    Reading r(HTTP_REQUESTS);
    r.feed(bytes);
    EXPECT_EQ(r.state(), HTTP_READER_FAILED) << bytes;
    EXPECT_EQ(http_reader_error(r.reader), HTTP_ERROR_SYNTAX) << bytes;
  }
}

TEST(Reader, LimitsAreTold) {
  Reading head(HTTP_REQUESTS);
  http_reader_set_limits(head.reader, 100, 10);
  head.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n");
  EXPECT_EQ(http_reader_error(head.reader), HTTP_ERROR_HEAD_TOO_LARGE);
  Reading body(HTTP_REQUESTS);
  http_reader_set_limits(body.reader, 100, 10);
  body.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901");
  EXPECT_EQ(http_reader_error(body.reader), HTTP_ERROR_BODY_TOO_LARGE);
}

/* A client got an answer with the status 000 as its answer. RFC 9110, 15: a
** status has three digits, from 100 to 599. 101 is never asked for. */
TEST(Reader, AStatusThatIsNoneIsBad) {
  HttpReaderCallbacks ignored = {
      [](void *, HttpHead *head) { http_head_free(head); },
      [](void *, const char *, size_t) {}};
  const std::map<std::string, bool> statuses = {
      {"000", false}, {"001", false},  {"042", false}, {"099", false},
      {"100", true},  {"101", false},  {"102", true},  {"199", true},
      {"200", true},  {"204", true},   {"404", true},  {"599", true},
      {"600", false}, {"999", false},  {"0", false},   {"20", false},
      {"", false},    {"0200", false}, {"2000", false}};
  for (const auto &one : statuses) {
    for (const char *fields : {"Content-Length: 0\r\n\r\n", "\r\n",
                               "Transfer-Encoding: chunked\r\n\r\n"}) {
      std::string text = "HTTP/1.1 " + one.first + " X\r\n" + fields;
      for (size_t first = 1; first <= text.size(); first++) {
        HttpReader *reader =
            http_reader_new(HTTP_RESPONSES, &ignored, nullptr);
        size_t used = http_reader_feed(reader, text.data(), first);
        if (used < text.size())
          http_reader_feed(reader, text.data() + used, text.size() - used);
        EXPECT_EQ(http_reader_state(reader) != HTTP_READER_FAILED, one.second)
            << text << " first " << first;
        http_reader_free(reader);
      }
    }
  }
}

/* Guards against heads that take many times the memory of their bytes: the
** shortest fields count with what stands between them, and their memory is
** told while the head still arrives. */
TEST(Reader, ShortFieldsCountAndTheirMemoryIsTold) {
  HttpReaderCallbacks ignored = {
      [](void *, HttpHead *head) { http_head_free(head); },
      [](void *, const char *, size_t) {}};
  std::string head = "GET / HTTP/1.1\r\n";
  HttpReader *reader = http_reader_new(HTTP_REQUESTS, &ignored, nullptr);
  http_reader_set_limits(reader, 16384, 0);
  for (int i = 0; i < 3000; i++)
    head += "a:b\r\n";
  http_reader_feed(reader, head.data(), head.size());
  EXPECT_EQ(http_reader_state(reader), HTTP_READER_PARTIAL);
  EXPECT_GE(http_reader_size(reader), 3000 * (sizeof(HttpField) + 4));
  EXPECT_LE(http_reader_size(reader), 16384 * 8u);
  http_reader_feed(reader, head.data() + 16, head.size() - 16);
  EXPECT_EQ(http_reader_state(reader), HTTP_READER_FAILED);
  EXPECT_EQ(http_reader_error(reader), HTTP_ERROR_HEAD_TOO_LARGE);
  http_reader_discard(reader);
  EXPECT_LE(http_reader_size(reader), 4096u);
  http_reader_free(reader);
}

TEST(Reader, KeepsTheTargetAsItCame) {
  Reading r(HTTP_REQUESTS);
  r.feed("GET /a/b%20c?q=1&r=%2f HTTP/1.1\r\nHost: h\r\n\r\n", 3);
  EXPECT_STREQ(r.head->target, "/a/b%20c?q=1&r=%2f");
  EXPECT_STREQ(r.head->method, "GET");
}

/* Guards against 400 for a client that offers HTTP/2, as some libraries do. */
TEST(Reader, IgnoresAnUpgradeThatIsOffered) {
  const std::string offer = "Connection: Upgrade, HTTP2-Settings\r\n"
                            "Upgrade: h2c\r\nHTTP2-Settings: AA\r\n";
  const std::string with_body = "POST /1 HTTP/1.1\r\nHost: h\r\n" + offer +
                                "Content-Length: 5\r\n\r\nhello";
  const std::string chunked =
      "POST /1 HTTP/1.1\r\nHost: h\r\n" + offer +
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  const std::string bare = "GET /1 HTTP/1.1\r\nHost: h\r\n" + offer + "\r\n";
  const std::string next = "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string &first : {with_body, chunked, bare}) {
    for (size_t step : {1, 2, 7, 60, 1000}) {
      Reading r(HTTP_REQUESTS);
      EXPECT_EQ(r.feed(first + next, step), first.size()) << first << step;
      ASSERT_EQ(r.state(), HTTP_READER_DONE) << first << step;
      EXPECT_EQ(r.body, first == bare ? "" : "hello");
      EXPECT_TRUE(http_reader_keep_alive(r.reader));
      http_reader_start_next(r.reader);
      EXPECT_EQ(r.feed(next, step), next.size());
      ASSERT_EQ(r.state(), HTTP_READER_DONE) << first << step;
      EXPECT_STREQ(r.head->target, "/2");
    }
  }
}

/* Guards against reserved and framing fields that an endpoint reads as such.
 */
TEST(Reader, SpaceInTheNameOfAFieldIsAnError) {
  for (const char *bad : {"Kv-From : x", "Transfer-Encoding : chunked",
                          " Kv-From: x", "Kv From: x", "Content-Length : 5"}) {
    const std::string field(bad);
    for (size_t step : {1, 7, 1000}) {
      Reading request(HTTP_REQUESTS);
      request.feed("POST /1 HTTP/1.1\r\n" + field + "\r\nHost: h\r\n\r\n",
                   step);
      EXPECT_EQ(request.state(), HTTP_READER_FAILED) << field;
      EXPECT_EQ(http_reader_error(request.reader), HTTP_ERROR_SYNTAX) << field;
      EXPECT_EQ(request.head, nullptr) << field;
      Reading response(HTTP_RESPONSES);
      response.feed("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n", step);
      EXPECT_EQ(response.state(), HTTP_READER_FAILED) << field;
      EXPECT_EQ(http_reader_error(response.reader), HTTP_ERROR_SYNTAX)
          << field;
    }
  }
  Reading whole(HTTP_REQUESTS);
  whole.feed("GET /1 HTTP/1.1\r\nX-A:  a b \r\nHost:h\r\n\r\n", 1);
  EXPECT_EQ(whole.state(), HTTP_READER_DONE);
  EXPECT_STREQ(http_head_get(whole.head, "Host"), "h");
}

/* mutated input never makes the reader read past its bytes or hang */
TEST(Reader, SurvivesMutatedInput) {
  std::mt19937 random(20261202);
  std::string good = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "Keep-Alive: timeout=5\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int i = 0; i < 20000; i++) {
    std::string bytes = good;
    int changes = 1 + static_cast<int>(random() % 4);
    for (int k = 0; k < changes; k++)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    Reading r(i % 2 ? HTTP_RESPONSES : HTTP_REQUESTS);
    http_reader_set_limits(r.reader, 4096, 4096);
    EXPECT_LE(r.feed(bytes, 1 + random() % 40), bytes.size());
    http_reader_handle_eof(r.reader);
  }
}

TEST(Head, ConnectionFieldsAreNotPassedOn) {
  HttpHead *from = http_head_new_response(200);
  HttpHead *to = http_head_new_response(200);
  http_head_add(from, "Connection", "close, X-Hop");
  http_head_add(from, "X-Hop", "1");
  http_head_add(from, "Keep-Alive", "timeout=5");
  http_head_add(from, "Transfer-Encoding", "chunked");
  http_head_add(from, "Content-Length", "4");
  http_head_add(from, "X-End", "2");
  http_head_copy_end_to_end(to, from);
  EXPECT_EQ(to->fields->len, 1u);
  EXPECT_STREQ(http_head_get(to, "X-End"), "2");
  http_head_free(from);
  http_head_free(to);
}

/* feed a stream in pieces; the whole events and the last id that came */
std::pair<std::string, std::string> split(const std::string &stream,
                                          size_t step, gsize *left) {
  EventSplitter splitter;
  GString *whole = g_string_new(nullptr);
  std::string last;
  event_splitter_init(&splitter);
  for (size_t at = 0; at < stream.size(); at += step) {
    char *id = nullptr;
    event_splitter_feed(&splitter, stream.data() + at,
                        std::min(step, stream.size() - at), whole, &id);
    if (id != nullptr)
      last = id;
    g_free(id);
  }
  *left = event_splitter_pending_size(&splitter);
  std::string out(whole->str, whole->len);
  g_string_free(whole, TRUE);
  event_splitter_clear(&splitter);
  return {out, last};
}

TEST(Events, OnlyWholeOnesArePassedOn) {
  std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
  for (size_t step : {1, 2, 5, 100}) {
    gsize left = 0;
    auto [out, last] = split(whole + "id: 3\ndata: c\n", step, &left);
    EXPECT_EQ(out, whole) << step;
    EXPECT_EQ(last, "2") << step;
    EXPECT_EQ(left, 14u) << step;
  }
}

TEST(Events, AnEventWithoutAnIdKeepsTheLastOne) {
  gsize left = 0;
  auto [out, last] = split("id: 9\ndata: a\n\ndata: b\n\n", 4, &left);
  EXPECT_EQ(last, "9");
  EXPECT_EQ(left, 0u);
}

TEST(Events, SurviveMutatedInput) {
  std::mt19937 random(7);
  std::string good = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\n";
  for (int i = 0; i < 20000; i++) {
    std::string bytes = good;
    for (int k = 0; k < 3; k++)
      bytes[random() % bytes.size()] = "\n\r:id 0"[random() % 7];
    gsize left = 0;
    auto [out, last] = split(bytes, 1 + random() % 9, &left);
    EXPECT_EQ(out.size() + left, bytes.size());
  }
}

guint64 digest_of(const char *host, const char *target, const char *id,
                  const std::string &body) {
  HttpHead *head = http_head_new_request("POST", target);
  GByteArray *bytes = g_byte_array_new();
  guint64 digest;
  http_head_add(head, "Host", host);
  http_head_add(head, "Request-Id", id);
  g_byte_array_append(bytes, reinterpret_cast<const guint8 *>(body.data()),
                      static_cast<guint>(body.size()));
  digest = request_content_digest(head, bytes);
  g_byte_array_free(bytes, TRUE);
  http_head_free(head);
  return digest;
}

TEST(Content, IsTheSameUnderAnotherIdAndUnlikeForAnotherTargetOrBody) {
  guint64 one = digest_of("h", "/a/b?c=1", "q1", "body");
  EXPECT_EQ(one, digest_of("h", "/a/b?c=1", "q2", "body"));
  EXPECT_NE(one, digest_of("g", "/a/b?c=1", "q1", "body"));
  EXPECT_NE(one, digest_of("h", "/a/b?c=2", "q1", "body"));
  EXPECT_NE(one, digest_of("h", "/a/b?c=1", "q1", "bodz"));
  EXPECT_NE(digest_of("h", "/a", "q1", "bc"),
            digest_of("h", "/ab", "q1", "c"));
}

} // namespace
