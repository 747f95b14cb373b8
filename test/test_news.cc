/*
** test_news.cc
** What instances ask each other about the store's objects, as HTTP
*/

#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <string>

extern "C" {
#include "io/news_codec.h"
}

namespace {

std::string target_of(StoreOperation operation, gint64 revision) {
  StoreCall call = {};
  char *body;
  call.kind = STORE_ENDPOINTS;
  call.operation = operation;
  call.revision = revision;
  HttpHead *head = news_codec.write_call(&call, &body);
  std::string target = head->target;
  EXPECT_EQ(body, nullptr);
  http_head_free(head);
  return target;
}

StoreReply read(int status, const std::string &body, bool *good) {
  StoreCall call = {};
  StoreReply out;
  GError *error = nullptr;
  *good = news_codec.read_reply(&call, status, body.data(), body.size(), &out,
                                &error);
  EXPECT_EQ(*good, error == nullptr);
  g_clear_error(&error);
  return out;
}

TEST(News, CallsAreReadAsTheyWereWritten) {
  StoreKind kind;
  gint64 since;
  std::string target = target_of(STORE_WATCH, 1LL << 40);
  EXPECT_EQ(target, "/news?kind=1&since=1099511627776");
  ASSERT_TRUE(news_read_query(strchr(target.c_str(), '?') + 1, &kind, &since));
  EXPECT_EQ(kind, STORE_ENDPOINTS);
  EXPECT_EQ(since, 1LL << 40);
  target = target_of(STORE_LIST, 7);
  ASSERT_TRUE(news_read_query(strchr(target.c_str(), '?') + 1, &kind, &since));
  EXPECT_EQ(since, 0);
}

TEST(News, QueriesThatAreNoneAreTold) {
  StoreKind kind;
  gint64 since;
  for (const char *query : {"", "kind=", "kind=4", "kind=-1", "since=4",
                            "kind=1&since=x", "kind=1&since=-2"})
    EXPECT_FALSE(news_read_query(query, &kind, &since)) << query;
  EXPECT_FALSE(news_read_query(nullptr, &kind, &since));
}

TEST(News, RepliesAreReadAsTheyWereWritten) {
  StoreReply reply = {STORE_OK, store_objects_new(), FALSE, 530, FALSE, 0,
                      FALSE};
  StoreObject here = {g_strdup("a"), 4, FALSE,
                      g_strdup("{\"x\":\"\\u00e9\"}")};
  StoreObject gone = {g_strdup("b"), 9, TRUE, nullptr};
  bool good;
  g_array_append_val(reply.objects, here);
  g_array_append_val(reply.objects, gone);
  char *text = news_write_reply(&reply);
  StoreReply out = read(news_status(&reply, 0), text, &good);
  ASSERT_TRUE(good);
  EXPECT_EQ(out.status, STORE_OK);
  EXPECT_EQ(out.at, 530);
  ASSERT_EQ(out.objects->len, 2u);
  const StoreObject *first = &g_array_index(out.objects, StoreObject, 0);
  EXPECT_STREQ(first->text, here.text);
  EXPECT_EQ(first->revision, 4);
  EXPECT_TRUE(g_array_index(out.objects, StoreObject, 1).gone);
  store_reply_clear(&out);
  store_reply_clear(&reply);
  g_free(text);
}

TEST(News, OneThatKnowsNothingSaysSo) {
  StoreReply reply = {STORE_FAILED, nullptr, FALSE, 0, FALSE, 0, FALSE};
  bool good;
  EXPECT_EQ(read(news_status(&reply, 0), "", &good).status, STORE_FAILED);
  EXPECT_TRUE(good);
}

/* only a reply that names all objects may leave the text of one out */
TEST(News, AWholeReplyNamesWhatHasNotChanged) {
  StoreReply reply = {STORE_OK, store_objects_new(), FALSE, 530, TRUE, 0,
                      FALSE};
  StoreObject same = {g_strdup("a"), 4, FALSE, nullptr};
  bool good;
  g_array_append_val(reply.objects, same);
  char *text = news_write_reply(&reply);
  StoreReply out = read(200, text, &good);
  ASSERT_TRUE(good);
  EXPECT_TRUE(out.whole);
  ASSERT_EQ(out.objects->len, 1u);
  EXPECT_FALSE(g_array_index(out.objects, StoreObject, 0).gone);
  EXPECT_EQ(g_array_index(out.objects, StoreObject, 0).text, nullptr);
  store_reply_clear(&out);
  g_free(text);
  reply.whole = FALSE;
  text = news_write_reply(&reply);
  EXPECT_EQ(read(200, text, &good).status, STORE_FAILED);
  EXPECT_FALSE(good);
  store_reply_clear(&reply);
  g_free(text);
}

TEST(News, WhatIsTooLargeForARelaysLinkIsLeftToTheStore) {
  StoreReply reply = {STORE_OK, nullptr, FALSE, 5, FALSE, 0, FALSE};
  EXPECT_EQ(news_status(&reply, NEWS_MOST), 200);
  EXPECT_EQ(news_status(&reply, NEWS_MOST + 1), 503);
}

TEST(News, SpoiltRepliesAreNoReplies) {
  const std::string whole =
      R"({"at":5,"objects":[{"name":"a","revision":3,"text":"t"}]})";
  std::minstd_rand random(5);
  bool good;
  for (size_t i = 0; i < whole.size(); i++) {
    StoreReply out = read(200, whole.substr(0, i), &good);
    EXPECT_EQ(out.status, STORE_FAILED) << i;
    EXPECT_EQ(out.objects, nullptr);
  }
  for (int i = 0; i < 2000; i++) {
    std::string text = whole;
    text[random() % text.size()] = static_cast<char>(random());
    StoreReply out = read(200, text, &good);
    EXPECT_EQ(out.status == STORE_OK, good);
    store_reply_clear(&out);
  }
}

} // namespace
