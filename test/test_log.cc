/*
** test_log.cc
** The logger never waits, and its volume is bounded
*/

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <string>
#include <thread>

extern "C" {
#include "io/log.h"
#include "router/histogram.h"
}

namespace {

struct Logged : ::testing::Test {
  std::string path =
      ::testing::TempDir() + "madderpier-log-" + std::to_string(getpid());

  void TearDown() override {
    unlink(path.c_str());
  }

  /* the lines that contain 'what' */
  unsigned count(const std::string &what) const {
    std::ifstream in(path);
    std::string line;
    unsigned n = 0;
    while (std::getline(in, line))
      n += line.find(what) != std::string::npos;
    return n;
  }

  /* the lines of one event number; a line that reports how many lines of that
     number were left out has a number of its own */
  unsigned count_event(int number) const {
    return count(" E" + std::to_string(number) + " msg=");
  }

  /* the sum of what the reports of lines left out count for 'number' */
  unsigned count_reported(int number) const {
    std::string key = " number=E" + std::to_string(number) + " count=";
    std::ifstream in(path);
    std::string line;
    unsigned n = 0;
    while (std::getline(in, line)) {
      size_t at = line.find(key);
      if (at != std::string::npos)
        n += std::stoul(line.substr(at + key.size()));
    }
    return n;
  }
};

/* Waits until the wall clock enters its next second. */
void wait_for_next_second() {
  time_t now = time(nullptr);
  while (time(nullptr) == now)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

TEST_F(Logged, LinesOfOneNumberAreBoundedAndFailuresAreNot) {
  Log *log = log_new(path.c_str(), MP_INFO, nullptr);
  for (int i = 0; i < 5000; i++) {
    log_event(log, 8005, MP_INFO, "ordinary", "");
    log_event(log, 8001, MP_WARN, "failure", "");
  }
  EXPECT_GT(log_left_out(log), 0u);
  EXPECT_EQ(count_event(8005) + log_left_out(log), 5000u);
  EXPECT_EQ(count_event(8001), 5000u);
  EXPECT_EQ(log_lost(log), 0u);
  log_free(log);
}

/* Guards against a name that another writer chose to look like a line. */
TEST_F(Logged, ANameWithALineBreakBeginsNoLine) {
  Log *log = log_new(path.c_str(), MP_INFO, nullptr);
  log_event(log, 8101, MP_WARN, "bad", " name=a\n2026 info E9999 msg=\"x\"");
  log_free(log);
  std::ifstream in(path);
  std::string line;
  unsigned lines = 0;
  while (std::getline(in, line))
    lines++;
  EXPECT_EQ(lines, 1u);
}

/* Guards against a report that is missing, repeated or counted as a line of
   the number that it names. */
TEST_F(Logged, NextSecondReportsTheLinesLeftOut) {
  Log *log = log_new(path.c_str(), MP_INFO, nullptr);
  wait_for_next_second();
  for (int i = 0; i < 500; i++)
    log_event(log, 8005, MP_INFO, "ordinary", "");
  guint64 left_out = log_left_out(log);
  wait_for_next_second();
  log_event(log, 8005, MP_INFO, "ordinary", "");
  EXPECT_GT(left_out, 0u);
  EXPECT_EQ(log_left_out(log), left_out);
  EXPECT_EQ(count_event(8005) + left_out, 501u);
  EXPECT_EQ(count_reported(8005), left_out);
  log_free(log);
}

TEST_F(Logged, AFullPipeLosesLinesAndNeverWaits) {
  ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
  int reader = open(path.c_str(), O_RDONLY | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  Log *log = log_new(path.c_str(), MP_INFO, nullptr);
  ASSERT_NE(log, nullptr);
  std::string fields = " x=" + std::string(200, 'x');
  for (int i = 0; i < 5000; i++) /* more than pipe and buffer hold */
    log_event(log, 8001, MP_WARN, "failure", fields.c_str());
  EXPECT_GT(log_lost(log), 0u);
  char bytes[65536];
  std::string all;
  ssize_t n;
  for (int i = 0; i < 100; i++) {
    while ((n = read(reader, bytes, sizeof bytes)) > 0)
      all.append(bytes, static_cast<size_t>(n));
    log_event(log, 8001, MP_WARN, "later", "");
  }
  EXPECT_NE(all.find("E9002"), std::string::npos);
  EXPECT_NE(all.find("later"), std::string::npos);
  log_free(log);
  close(reader);
}

TEST(Histograms, CountWithinTheirBounds) {
  Histogram histogram = {};
  for (gint64 at : {1000, 5000, 7000, 900000, 60000000})
    histogram_add(&histogram, at);
  EXPECT_EQ(histogram.count, 5u);
  EXPECT_EQ(histogram.counts[0], 2u);
  EXPECT_EQ(histogram.counts[1], 1u);
  EXPECT_EQ(histogram.counts[HISTOGRAM_BOUNDS], 1u);
  EXPECT_GT(histogram_bound(HISTOGRAM_BOUNDS - 1), 20.0);
}

} // namespace
