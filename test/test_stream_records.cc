/*
** test_stream_records.cc
** What the store keeps about streams: written, and read again
*/

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform/platform.h"
}

namespace {

/* Returns the body of a call that creates this object. */
std::string body_of(StoreCall call, StoreKind kind) {
  char *body = nullptr;
  call.kind = kind;
  call.operation = STORE_CREATE;
  call.name = "llm";
  http_head_free(platform_write_store_call(&call, &body));
  std::string text = body;
  g_free(body);
  return text;
}

/* Returns the text of the content in the body of a call. */
std::string spec_in(const std::string &body) {
  size_t from = body.find("\"Spec\":") + 7;
  return body.substr(from, body.size() - from - 1);
}

TEST(StreamRecords, ASetOfVersionsIsReadAsItWasWritten) {
  SoftwareSetRecord written = {};
  written.count = 3;
  written.entries[0] = {0x0123456789abcdefULL, FALSE};
  written.entries[1] = {7, FALSE};
  written.entries[2] = {G_MAXUINT64, TRUE};
  StoreCall call = {};
  call.software_set = &written;
  SoftwareSetRecord read = {};
  ASSERT_TRUE(platform_read_software_set(
      spec_in(body_of(call, STORE_SOFTWARE)).c_str(), &read, nullptr));
  ASSERT_EQ(read.count, 3u);
  for (guint i = 0; i < read.count; i++) {
    EXPECT_EQ(read.entries[i].software, written.entries[i].software);
    EXPECT_EQ(read.entries[i].expiring, written.entries[i].expiring);
  }
}

TEST(StreamRecords, OriginsAreReadAsTheyWereWritten) {
  StreamOriginsRecord written = {};
  written.origins = g_array_new(FALSE, FALSE, sizeof(StoredOrigin));
  StoredOrigin first = {{{1, G_MAXUINT64}}, 0xfedcba9876543210ULL, 3, 4, 5};
  StoredOrigin second = {{{2, 0}}, 0, G_MAXUINT32, 0, 0};
  g_array_append_val(written.origins, first);
  g_array_append_val(written.origins, second);
  StoreCall call = {};
  call.origins = &written;
  StreamOriginsRecord read = {};
  ASSERT_TRUE(platform_read_stream_origins(
      spec_in(body_of(call, STORE_ORIGINS)).c_str(), &read, nullptr));
  ASSERT_EQ(read.origins->len, 2u);
  for (guint i = 0; i < 2; i++) {
    auto &was = g_array_index(written.origins, StoredOrigin, i);
    auto &is = g_array_index(read.origins, StoredOrigin, i);
    EXPECT_EQ(is.key.digest[0], was.key.digest[0]);
    EXPECT_EQ(is.key.digest[1], was.key.digest[1]);
    EXPECT_EQ(is.software, was.software);
    EXPECT_EQ(is.service, was.service);
    EXPECT_EQ(is.account, was.account);
    EXPECT_EQ(is.left_ms, was.left_ms);
  }
  stream_origins_record_clear(&written);
  stream_origins_record_clear(&read);
}

TEST(StreamRecords, ASpoiltSetIsRefusedAsAWhole) {
  for (const char *text :
       {"{}", R"({"Versions":[],"Expiring":{}})",
        R"({"Versions":["1"],"Expiring":[]})",
        R"({"Versions":["000000000000000x"],"Expiring":[]})",
        R"({"Versions":[7],"Expiring":[]})", "[]", ""}) {
    SoftwareSetRecord record = {};
    GError *error = nullptr;
    EXPECT_FALSE(platform_read_software_set(text, &record, &error)) << text;
    EXPECT_EQ(record_error_field(error), RECORD_SOFTWARE);
    g_clear_error(&error);
  }
}

TEST(StreamRecords, SpoiltOriginsAreRefusedAsAWhole) {
  const std::string key = R"("00000000000000010000000000000002")";
  const std::string digest = R"("0000000000000003")";
  for (const std::string &origin :
       {"[" + key + "," + digest + ",1,2]",
        "[" + key + "," + digest + ",1,2,-1]",
        "[" + key + "," + digest + ",1,2,4294967296]",
        "[" + digest + "," + digest + ",1,2,3]", "[" + key + ",3,1,2,3]",
        std::string("{}")}) {
    StreamOriginsRecord record = {};
    std::string text = R"({"Origins":[)" + origin + "]}";
    EXPECT_FALSE(platform_read_stream_origins(text.c_str(), &record, nullptr))
        << text;
    EXPECT_EQ(record.origins, nullptr);
  }
}

} // namespace
