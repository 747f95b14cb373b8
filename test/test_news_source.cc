/*
** test_news_source.cc
** How long a call is waited for that brings the store's news
*/

#include <gtest/gtest.h>

#include "loopback.h"

extern "C" {
#include "io/store_link.h"
#include "platform/platform.h"
#include "router/news_source.h"
}

using loopback::Listener;
using loopback::Peer;

namespace {

constexpr gint64 ms = 1000;
constexpr gint64 second = 1000 * ms;
constexpr mp_Addr relay = 99;

/* one that follows the store for itself and hears a relay */
struct Source : ::testing::Test {
  RelayTiming times = {2800 * ms, 3 * second};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  NewsSource source = {};
  gint64 now = 10 * second;

  void SetUp() override {
    FollowerHost host = {nullptr,
                         [](void *, StoreKind, const StoreObject *) {},
                         [](void *, StoreKind, GHashTable *) {},
                         [](void *, StoreKind) {}, [](void *, StoreKind) {}};
    NewsSourceHost control = {
        nullptr, [](void *, mp_Addr address) -> mp_Addr { return address; }};
    follower_init(&source.follower, STORE_CONFIGURATION, times.watch_wait, 0,
                  &host);
    news_source_init(&source, group, &control, nullptr, 0);
    relay_group_skip_start_wait(group);
    list(100);
  }
  void TearDown() override {
    follower_clear(&source.follower);
    relay_group_free(group);
  }
  NewsAction next() {
    NewsAction wanted;
    news_source_next(&source, now, &wanted);
    return wanted;
  }
  void list(gint64 revision) {
    StoreReply reply = {STORE_OK, store_objects_new(),
                        FALSE,    store_position(0, revision),
                        FALSE,    0,
                        FALSE,    FALSE};
    StoreObject object = {g_strdup("main"), store_position(0, revision), FALSE,
                          g_strdup("x"), nullptr};
    g_array_append_val(reply.objects, object);
    EXPECT_EQ(next().call.operation, STORE_LIST);
    news_source_reply(&source, &reply, now);
    store_reply_clear(&reply);
  }
  void hear(guint64 revision) {
    mp_RelayHeartbeat told = {};
    told.changed[STORE_CONFIGURATION] =
        store_position(0, static_cast<gint64>(revision));
    relay_group_receive_heartbeat(group, relay, &told, now);
  }
};

TEST_F(Source, ACallIsNotGivenUpWhileItsAnswerArrives) {
  EXPECT_EQ(next().step, NEWS_ASK_STORE);
  hear(101);
  for (int i = 0; i < 30; i++, now += 100 * ms) {
    hear(101 + i);
    news_source_progress(&source, now);
    EXPECT_EQ(next().step, NEWS_WAIT) << i;
  }
}

TEST_F(Source, ACallThatFallsSilentIsGivenUpForARelay) {
  EXPECT_EQ(next().step, NEWS_ASK_STORE);
  hear(101);
  news_source_progress(&source, now);
  EXPECT_EQ(next().step, NEWS_WAIT);
  now += 400 * ms;
  EXPECT_EQ(next().step, NEWS_ABANDON_STORE_CALL);
  NewsAction wanted = next();
  EXPECT_EQ(wanted.step, NEWS_ASK_INSTANCE);
  EXPECT_EQ(wanted.call.operation, STORE_WATCH);
}

TEST_F(Source, AWatchThatMissedAChangeHasTheObjectsListed) {
  StoreReply nothing = {STORE_OK, store_objects_new(),
                        FALSE,    store_position(0, 105),
                        FALSE,    0,
                        FALSE,    FALSE};
  EXPECT_EQ(next().call.operation, STORE_WATCH);
  hear(103);
  news_source_reply(&source, &nothing, now);
  EXPECT_EQ(source.follower.known.revision, 100);
  NewsAction wanted = next();
  EXPECT_EQ(wanted.step, NEWS_ASK_STORE);
  EXPECT_EQ(wanted.call.operation, STORE_LIST);
  store_reply_clear(&nothing);
}

TEST_F(Source, AWatchThatEndsBeforeWhatIsNamedHasMissedNothing) {
  StoreReply nothing = {STORE_OK, store_objects_new(),
                        FALSE,    store_position(0, 102),
                        FALSE,    0,
                        FALSE,    FALSE};
  EXPECT_EQ(next().call.operation, STORE_WATCH);
  hear(103);
  news_source_reply(&source, &nothing, now);
  EXPECT_EQ(source.follower.known.revision, 102);
  EXPECT_EQ(next().call.operation, STORE_WATCH);
  store_reply_clear(&nothing);
}

/* its age is not known, and others would take it for none */
TEST(Start, AnOldListIsNoNewOne) {
  RelayTiming times = {2800 * ms, 3 * second};
  RelayGroup *group = relay_group_new(7, 0, &times, 0);
  NewsSource sources[2] = {};
  FollowerHost host = {nullptr, [](void *, StoreKind, const StoreObject *) {},
                       [](void *, StoreKind, GHashTable *) {},
                       [](void *, StoreKind) {}, [](void *, StoreKind) {}};
  NewsSourceHost none = {nullptr,
                         [](void *, mp_Addr) -> mp_Addr { return 0; }};
  for (int kind = 0; kind < 2; kind++) {
    NewsAction wanted;
    StoreReply reply = {STORE_OK, store_objects_new(),
                        FALSE,    store_position(0, 100),
                        FALSE,    0,
                        FALSE,    FALSE};
    follower_init(&sources[kind].follower, static_cast<StoreKind>(kind),
                  times.watch_wait, 0, &host);
    news_source_init(&sources[kind], group, &none, nullptr, 0);
    news_source_next(&sources[kind], second, &wanted);
    EXPECT_TRUE(wanted.call.stale);
    news_source_reply(&sources[kind], &reply, second);
    store_reply_clear(&reply);
  }
  EXPECT_GE(relay_group_age(group, second), 1500 * ms);
  EXPECT_FALSE(relay_group_is_store_answering(group, second + 700 * ms));
  for (auto &source : sources)
    follower_clear(&source.follower);
  relay_group_free(group);
}

/* an answer in ten pieces, 0.1 s apart, where 0.4 s of silence end a call */
struct SlowStore : ::testing::Test {
  struct event_base *base = event_base_new();
  Listener store;
  StoreLink *link = nullptr;
  int answered = 0;
  int failed = 0;

  void SetUp() override {
    link = store_link_new(base, store.address, &platform_dialect.store,
                          on_reply, this);
  }
  void TearDown() override {
    store_link_free(link);
    event_base_free(base);
  }
  static void on_reply(void *data, const StoreReply *reply, const GError *) {
    auto *self = static_cast<SlowStore *>(data);
    (reply->status == STORE_OK ? self->answered : self->failed)++;
  }
  bool work(const std::function<bool()> &done) {
    return loopback::until(
        base, [this] { store.work(); }, done);
  }
};

TEST_F(SlowStore, AnAnswerThatArrivesIsNotGivenUpForItsAge) {
  std::string body =
      R"({"items":[],"more":false,"at":5)" + std::string(400, ' ') + "}";
  std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  StoreCall call = {};
  call.operation = STORE_LIST;
  store_link_call(link, &call, 400 * ms);
  ASSERT_TRUE(work(
      [&] { return !store.peers.empty() && !store.peers[0]->got.empty(); }));
  for (size_t i = 0; i < 10; i++) {
    size_t from = text.size() * i / 10;
    gint64 sent = g_get_monotonic_time();
    store.peers[0]->send_text(
        text.substr(from, text.size() * (i + 1) / 10 - from));
    work([&] { return g_get_monotonic_time() - sent > 100 * ms; });
  }
  EXPECT_EQ(answered, 1);
  EXPECT_EQ(failed, 0);
}

} // namespace
