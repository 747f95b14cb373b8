/*
** test_trace.cc
** One request's story, from logs of several instances
*/

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>

extern "C" {
#include "cli/trace.h"
}

namespace {

struct Traced : ::testing::Test {
  std::string one =
      ::testing::TempDir() + "trace-one-" + std::to_string(getpid());
  std::string two =
      ::testing::TempDir() + "trace-two-" + std::to_string(getpid());

  void TearDown() override {
    unlink(one.c_str());
    unlink(two.c_str());
  }

  std::string trace(const char *request, int *found) {
    char *files[] = {one.data(), two.data()};
    char *text = nullptr;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    *found = trace_print(request, files, 2, out);
    fclose(out);
    std::string all(text, size);
    free(text);
    return all;
  }
};

TEST_F(Traced, LinesOfAllFilesComeInTheOrderOfTheirTimes) {
  std::ofstream(one)
      << "2026-01-14T06:23:19.300Z info E8005 msg=\"b\" request=r1 "
         "endpoint=i-1\n"
         "noise\n"
         "2026-01-14T06:23:18.000Z info E2007 msg=\"left\" endpoint=i-1\n"
         "2026-01-14T06:23:18.000Z info E2007 msg=\"left\" endpoint=i-9\n"
         "2026-01-14T06:23:19.100Z info E8000 msg=\"a\" request=r1\n";
  std::ofstream(two)
      << "2026-01-14T06:23:19.200Z warn E8001 msg=\"m\" request=r1\n"
         "2026-01-14T06:23:19.250Z warn E8001 msg=\"x\" request=r12\n";
  int found = 0;
  std::string all = trace("r1", &found);
  EXPECT_EQ(found, 3);
  size_t a = all.find("\"a\"");
  size_t m = all.find("\"m\"");
  size_t b = all.find("\"b\"");
  ASSERT_NE(b, std::string::npos);
  EXPECT_LT(a, m);
  EXPECT_LT(m, b);
  EXPECT_NE(all.find("+200.000 ms"), std::string::npos);
  EXPECT_NE(all.find("endpoint=i-1"), std::string::npos);
  EXPECT_EQ(all.find("endpoint=i-9"), std::string::npos);
  EXPECT_EQ(all.find("\"x\""), std::string::npos);
}

TEST_F(Traced, AFileThatCannotBeReadIsSaid) {
  int found = 0;
  std::ofstream(two) << "";
  trace("r1", &found);
  EXPECT_EQ(found, -1);
}

} // namespace
