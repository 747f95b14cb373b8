/*
** test_cut_calls.cc
** Responses of the store, of relays and to calls of the own interface that are
** cut at each byte: nothing of them may count as whole. Raw peers on loopback.
*/

#include <gtest/gtest.h>
#include <sys/resource.h>

#include "cut_responses.h"
#include "loopback.h"

extern "C" {
#include "io/http.h"
#include "io/store_link.h"
#include "platform/platform.h"
}

using cut::End;
using cut::end_name;
using cut::Form;
using cut::forms;
using cut::may_be_whole;
using cut::Response;
using cut::response;
using loopback::Listener;

namespace {

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

/* Guards against an answer to the own interface whose status is none. */
TEST_F(OwnCallTest, AStatusThatIsNoneIsNoResponse) {
  for (const char *status : {"000", "042", "099", "600", "999"}) {
    Call one = call(std::string("HTTP/1.1 ") + status +
                        " X\r\nContent-Length: 0\r\n\r\n",
                    End::SILENCE);
    EXPECT_NE(one.end, HTTP_END_OK) << status;
    EXPECT_EQ(one.heads, 0) << status;
  }
}

/* The process ended when no descriptor was free: the end of the call was told
** while it was made, which its caller does not expect. */
TEST_F(OwnCallTest, WithoutADescriptorNoCallIsMadeAndNoEndTold) {
  static const HttpHooks hooks = {
      nullptr, nullptr,
      [](void *data, HttpEnd, int) { static_cast<Call *>(data)->ends++; }};
  /* without a descriptor, the sanitizers cannot check an access to a member */
  struct event_base *loop = base;
  mp_Addr to = server.address;
  Call one;
  std::vector<int> taken;
  struct rlimit before = {};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  struct rlimit few = before;
  few.rlim_cur = MIN(before.rlim_cur, rlim_t{256});
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &few), 0);
  for (int fd = dup(0); fd >= 0; fd = dup(0))
    taken.push_back(fd);
  HttpCall *made = http_call(loop, to, EVHTTP_REQ_GET, "/", nullptr, nullptr,
                             0, &hooks, &one);
  for (int fd : taken)
    close(fd);
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_EQ(made, nullptr);
  EXPECT_EQ(one.ends, 0);
  event_base_loop(base, EVLOOP_NONBLOCK);
  EXPECT_EQ(one.ends, 0);
}

} // namespace
