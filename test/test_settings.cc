/*
** test_settings.cc
** What the settings make of the platform's bounds
*/

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <string>

extern "C" {
#include "daemon/settings.h"
}

namespace {

struct Bounds : ::testing::Test {
  std::string path =
      ::testing::TempDir() + "madderpier-settings-" + std::to_string(getpid());

  void TearDown() override {
    unlink(path.c_str());
  }

  void write(const std::string &more) {
    std::ofstream(path) << "dialect: platform\ninstance: e\ndata_centre: a\n"
                           "callers: 127.0.0.1:1\nready: 127.0.0.1:2\n"
                           "exchange: 127.0.0.1:3\nplatform: 127.0.0.1:4\n" +
                               more;
  }
  Settings *read(const std::string &more) {
    write(more);
    GError *error = nullptr;
    Settings *settings = settings_read(path.c_str(), &error);
    EXPECT_NE(settings, nullptr) << (error != nullptr ? error->message : "");
    g_clear_error(&error);
    return settings;
  }
};

/* libcyaml takes a file without a document for a good one */
TEST_F(Bounds, AnEmptyFileIsRefusedWithARemedy) {
  for (const char *text : {"", "\n", "# nothing\n"}) {
    GError *error = nullptr;
    std::ofstream(path) << text;
    EXPECT_EQ(settings_read(path.c_str(), &error), nullptr);
    ASSERT_NE(error, nullptr);
    EXPECT_NE(strstr(error->message, "docs/SETTINGS.md"), nullptr);
    g_clear_error(&error);
  }
}

/*
** A watch that a silent store swallowed just before it came back is given
** up, with the slack for its answer, while the platform does not yet count
** the instance as in touch; some time is left for a new connection.
*/
TEST_F(Bounds, AWatchIsShorterThanTheTimeUntilWeCountAsInTouch) {
  for (unsigned contact : {2000u, 3000u, 4000u, 6000u}) {
    Settings *settings = read("contact_ms: " + std::to_string(contact) + "\n");
    EXPECT_LE(settings->watch_wait_ms + 700 + 300, contact) << contact;
    EXPECT_GE(settings->watch_wait_ms, 500u) << contact;
    settings_free(settings);
  }
}

TEST_F(Bounds, ALeaseTooShortForARoundOfOrdersIsRefused) {
  settings_free(read("lease_ms: 2000\n"));
  settings_free(read("lease_ms: 0\n"));
  write("lease_ms: 900\n");
  GError *error = nullptr;
  EXPECT_EQ(settings_read(path.c_str(), &error), nullptr);
  ASSERT_NE(error, nullptr);
  EXPECT_NE(strstr(error->message, "lease_ms"), nullptr);
  g_error_free(error);
}

/* Without the machine's memory, or with a share of nearly nothing or nearly
** all, the instance would run unbounded or abort the callers' connections at
** once; it must not start. */
TEST_F(Bounds, AMemoryShareThatCannotBeKeptIsRefused) {
  settings_free(read("memory_mb: 88\n"));
  Settings *settings = read("memory_mb: 88\nmemory_share: 0.25\n");
  EXPECT_EQ(settings->memory_mb, 88u);
  EXPECT_EQ(settings->memory_share, 0.25);
  settings_free(settings);
  for (const char *text :
       {"memory_share: 0.25\n", "memory_mb: 88\nmemory_share: 0.01\n",
        "memory_mb: 88\nmemory_share: 0.6\n",
        "memory_mb: 88\nmemory_share: -0.1\n",
        "memory_mb: 88\nmemory_share: .nan\n"}) {
    write(text);
    GError *error = nullptr;
    EXPECT_EQ(settings_read(path.c_str(), &error), nullptr) << text;
    ASSERT_NE(error, nullptr);
    EXPECT_NE(strstr(error->message, "memory_share"), nullptr);
    g_error_free(error);
  }
}

TEST_F(Bounds, ADrainEndsBeforeTheKill) {
  Settings *settings = read("grace_s: 8\n");
  EXPECT_LT(settings->drain_most_ms, 8000u);
  EXPECT_GT(settings->drain_most_ms, settings->drain_least_ms);
  settings_free(settings);
}

} // namespace
