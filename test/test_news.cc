/*
** test_news.cc
** Tests of the HTTP encoding of what instances ask each other about the
** store's objects
*/

#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>

extern "C" {
#include "io/news_codec.h"
#include "router/text_patch.h"
}

namespace {

std::string write_target(StoreOperation operation, gint64 revision) {
  StoreCall call = {};
  char *body;
  call.kind = STORE_ENDPOINTS;
  call.operation = operation;
  call.position = store_position(3, revision);
  HttpHead *head = news_codec.write_call(&call, &body);
  std::string target = head->target;
  EXPECT_EQ(body, nullptr);
  http_head_free(head);
  return target;
}

std::string write_reply(const StoreReply *reply) {
  GBytes *bytes = news_write_reply(reply);
  std::string text(static_cast<const char *>(g_bytes_get_data(bytes, nullptr)),
                   g_bytes_get_size(bytes));
  g_bytes_unref(bytes);
  return text;
}

StoreReply read_reply(int status, const std::string &body, bool *good) {
  StoreCall call = {};
  StoreReply out;
  GError *error = nullptr;
  *good = news_codec.read_reply(&call, status, body.data(), body.size(), &out,
                                &error);
  EXPECT_EQ(*good, error == nullptr);
  g_clear_error(&error);
  return out;
}

TEST(NewsCodecTest, WrittenCallsAreReadBack) {
  NewsQuery query;
  std::string target = write_target(STORE_WATCH, 1LL << 40);
  EXPECT_EQ(target, "/news?kind=1&since=1099511627776&era=3");
  ASSERT_TRUE(news_read_query(strchr(target.c_str(), '?') + 1, &query));
  EXPECT_EQ(query.kind, STORE_ENDPOINTS);
  EXPECT_EQ(query.asked.since.revision, 1LL << 40);
  EXPECT_EQ(query.asked.since.era, 3u);
  EXPECT_FALSE(query.asked.in_full);
  target = write_target(STORE_LIST, 7);
  ASSERT_TRUE(news_read_query(strchr(target.c_str(), '?') + 1, &query));
  EXPECT_EQ(query.asked.since.revision, 0);
}

TEST(NewsCodecTest, InvalidQueriesAreRejected) {
  NewsQuery out;
  for (const char *query :
       {"", "kind=", "kind=4", "kind=-1", "since=4", "kind=1&since=x",
        "kind=1&since=-2", "kind=1&full=x", "kind=1&full=2"})
    EXPECT_FALSE(news_read_query(query, &out)) << query;
  EXPECT_FALSE(news_read_query(nullptr, &out));
}

TEST(NewsCodecTest, WrittenRepliesAreReadBack) {
  StoreReply reply = {STORE_OK, store_objects_new(),
                      FALSE,    store_position(0, 530),
                      FALSE,    0,
                      FALSE,    FALSE};
  StoreObject existing = {g_strdup("a"), store_position(0, 4), FALSE,
                          g_strdup("{\"x\":\"\\u00e9\"}"), nullptr};
  StoreObject gone = {g_strdup("b"), store_position(0, 9), TRUE, nullptr,
                      nullptr};
  bool good;
  g_array_append_val(reply.objects, existing);
  g_array_append_val(reply.objects, gone);
  std::string text = write_reply(&reply);
  StoreReply out = read_reply(news_reply_status(&reply), text, &good);
  ASSERT_TRUE(good);
  EXPECT_EQ(out.status, STORE_OK);
  EXPECT_EQ(out.at.revision, 530);
  ASSERT_EQ(out.objects->len, 2u);
  const StoreObject *first = &g_array_index(out.objects, StoreObject, 0);
  EXPECT_STREQ(first->text, existing.text);
  EXPECT_EQ(first->position.revision, 4);
  EXPECT_TRUE(g_array_index(out.objects, StoreObject, 1).gone);
  store_reply_clear(&out);
  store_reply_clear(&reply);
}

TEST(NewsCodecTest, FailedReplyIsReadAsFailed) {
  StoreReply reply = {STORE_FAILED, nullptr, FALSE, store_position(0, 0),
                      FALSE,        0,       FALSE, FALSE};
  bool good;
  EXPECT_EQ(read_reply(news_reply_status(&reply), "", &good).status,
            STORE_FAILED);
  EXPECT_TRUE(good);
}

/* Only a reply that names all objects may omit the text of one. */
TEST(NewsCodecTest, OnlyACompleteReplyMayOmitAText) {
  StoreReply reply = {STORE_OK, store_objects_new(),
                      FALSE,    store_position(0, 530),
                      TRUE,     0,
                      FALSE,    FALSE};
  StoreObject same = {g_strdup("a"), store_position(0, 4), FALSE, nullptr,
                      nullptr};
  bool good;
  g_array_append_val(reply.objects, same);
  std::string text = write_reply(&reply);
  StoreReply out = read_reply(200, text, &good);
  ASSERT_TRUE(good);
  EXPECT_TRUE(out.whole);
  ASSERT_EQ(out.objects->len, 1u);
  EXPECT_FALSE(g_array_index(out.objects, StoreObject, 0).gone);
  EXPECT_EQ(g_array_index(out.objects, StoreObject, 0).text, nullptr);
  store_reply_clear(&out);
  reply.whole = FALSE;
  text = write_reply(&reply);
  EXPECT_EQ(read_reply(200, text, &good).status, STORE_FAILED);
  EXPECT_FALSE(good);
  store_reply_clear(&reply);
}

/* 20 answers of this size at once occupy a relay's link of 10 Mbit/s for about
** half a second. */
constexpr size_t relay_answer_bytes_max = 32 << 10;

std::string routes_text(unsigned count) {
  std::string text = "{\"Routes\":[";
  for (unsigned i = 0; i < count; i++)
    text += "{\"Name\":\"route-" + std::to_string(i * 7919 % 100003) +
            "\",\"Host\":\"host" + std::to_string(i % 37) +
            ".example\",\"PathPrefix\":\"/path" +
            std::to_string(i * 104729 % 1000003) +
            "/\",\"Kind\":\"safe\",\"Service\":\"app\",\"Attempts\":2,"
            "\"TimeoutMs\":4000,\"SloMs\":300,\"Priority\":1}";
  return text + "]}";
}

TEST(NewsCodecTest, LargeTextIsCompressedForARelaysLink) {
  StoreReply reply = {STORE_OK, store_objects_new(),
                      FALSE,    store_position(0, 5),
                      FALSE,    0,
                      FALSE,    FALSE};
  std::string whole = routes_text(1500);
  StoreObject large = {g_strdup("main"), store_position(0, 4), FALSE,
                       g_strdup(whole.c_str()), nullptr};
  bool good;
  g_array_append_val(reply.objects, large);
  ASSERT_GT(whole.size(), 200000u);
  std::string text = write_reply(&reply);
  EXPECT_LE(text.size(), relay_answer_bytes_max);
  EXPECT_EQ(news_reply_status(&reply), 200);
  StoreReply out = read_reply(200, text, &good);
  ASSERT_TRUE(good);
  EXPECT_EQ(whole, g_array_index(out.objects, StoreObject, 0).text);
  store_reply_clear(&out);
  store_reply_clear(&reply);
}

TEST(NewsCodecTest, WrittenPatchesAreReadBack) {
  StoreReply reply = {STORE_OK, store_objects_new(),
                      FALSE,    store_position(0, 9),
                      FALSE,    0,
                      FALSE,    FALSE};
  std::string older = routes_text(1500);
  std::string newer = older;
  newer.replace(newer.find("4000"), 4, "5000");
  GBytes *patch = text_patch_new(older.c_str(), newer.c_str());
  GArray *changes = text_changes_new();
  text_changes_add(changes, store_position(0, 4), store_position(0, 8), patch);
  StoreObject object = {g_strdup("main"), store_position(0, 8), FALSE, nullptr,
                        changes};
  bool good;
  g_array_append_val(reply.objects, object);
  std::string text = write_reply(&reply);
  EXPECT_LE(text.size(), 300u);
  StoreReply out = read_reply(200, text, &good);
  ASSERT_TRUE(good);
  const StoreObject *received = &g_array_index(out.objects, StoreObject, 0);
  ASSERT_NE(received->changes, nullptr);
  EXPECT_EQ(received->text, nullptr);
  char *made = text_changes_apply(received->changes, older.c_str());
  EXPECT_EQ(newer, made);
  g_free(made);
  EXPECT_EQ(text_changes_apply(received->changes, newer.c_str() + 1), nullptr);
  store_reply_clear(&out);
  store_reply_clear(&reply);
  g_bytes_unref(patch);
}

TEST(NewsCodecTest, CorruptRepliesAreRejected) {
  const std::string whole =
      R"({"at":5,"objects":[{"name":"a","revision":3,"text":"t"}]})";
  std::minstd_rand random(5);
  bool good;
  for (size_t i = 0; i < whole.size(); i++) {
    StoreReply out = read_reply(200, whole.substr(0, i), &good);
    EXPECT_EQ(out.status, STORE_FAILED) << i;
    EXPECT_EQ(out.objects, nullptr);
  }
  for (int i = 0; i < 2000; i++) {
    std::string text = whole;
    text[random() % text.size()] = static_cast<char>(random());
    StoreReply out = read_reply(200, text, &good);
    EXPECT_EQ(out.status == STORE_OK, good);
    store_reply_clear(&out);
  }
}

} // namespace
