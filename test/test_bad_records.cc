/*
** test_bad_records.cc
** The objects of the store that cannot be used: their lines, totals and
** present number
**
** Guards against a log that a writer fills by changing a bad object, against
** an object whose next fault stays unknown, and against a number that does not
** go back when the object is corrected or removed.
*/

#include <gtest/gtest.h>

#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

extern "C" {
#include "io/bad_records.h"
}

namespace {

struct BadRecordsTest : ::testing::Test {
  std::string path =
      ::testing::TempDir() + "bad_records." + std::to_string(getpid());
  Log *log = nullptr;
  BadRecords *bad = nullptr;

  void SetUp() override {
    unlink(path.c_str());
    log = log_new(path.c_str(), MP_INFO, nullptr);
    bad = bad_records_new(log);
  }
  void TearDown() override {
    bad_records_free(bad);
    log_free(log);
    unlink(path.c_str());
  }

  void add(const std::string &name, RecordField field,
           StoreKind kind = STORE_ENDPOINTS) {
    bad_records_add(bad, kind, name.c_str(),
                    g_error_new(RECORD_ERROR, field, "wrong %s",
                                record_field_name(field)));
  }
  void remove(const std::string &name, StoreKind kind = STORE_ENDPOINTS) {
    bad_records_remove(bad, kind, name.c_str());
  }
  guint present(StoreKind kind = STORE_ENDPOINTS) {
    return bad_records_present(bad, kind);
  }
  guint64 total(RecordField field, StoreKind kind = STORE_ENDPOINTS) {
    return bad_records_total(bad, kind, field);
  }
  /* the lines E8101 so far */
  std::vector<std::string> lines() {
    std::ifstream in(path);
    std::vector<std::string> found;
    for (std::string line; std::getline(in, line);) {
      if (line.find("E8101") != std::string::npos)
        found.push_back(line);
    }
    return found;
  }
};

TEST_F(BadRecordsTest, AChangingObjectIsLoggedOnce) {
  for (int i = 0; i < 30; i++)
    add("odd", RECORD_ADDRESS);
  ASSERT_EQ(lines().size(), 1u);
  EXPECT_NE(lines()[0].find("kind=1 name=odd error=\"wrong address\""),
            std::string::npos)
      << lines()[0];
  EXPECT_EQ(total(RECORD_ADDRESS), 30u);
  EXPECT_EQ(present(), 1u);
}

/* also when two wrong fields take turns */
TEST_F(BadRecordsTest, EachFieldIsLoggedOnce) {
  for (int i = 0; i < 30; i++) {
    add("odd", RECORD_CONTENT);
    add("odd", RECORD_CRASHES);
  }
  EXPECT_EQ(lines().size(), 2u);
  EXPECT_EQ(total(RECORD_CONTENT), 30u);
  EXPECT_EQ(total(RECORD_CRASHES), 30u);
  EXPECT_EQ(present(), 1u);
}

TEST_F(BadRecordsTest, AnObjectIsLoggedAgainAfterItWasSound) {
  add("odd", RECORD_SLOTS);
  remove("odd");
  EXPECT_EQ(present(), 0u);
  add("odd", RECORD_SLOTS);
  EXPECT_EQ(lines().size(), 2u);
  EXPECT_EQ(present(), 1u);
}

TEST_F(BadRecordsTest, NamesAndKindsAreApart) {
  add("odd", RECORD_ADDRESS);
  add("odder", RECORD_ADDRESS);
  add("odd", RECORD_ADDRESS, STORE_INSTANCES);
  remove("odd");
  remove("sound");
  EXPECT_EQ(lines().size(), 3u);
  EXPECT_EQ(present(), 1u);
  EXPECT_EQ(present(STORE_INSTANCES), 1u);
  EXPECT_EQ(total(RECORD_ADDRESS), 2u);
  EXPECT_EQ(total(RECORD_ADDRESS, STORE_INSTANCES), 1u);
}

/* A removal that is seen only as the absence from a list counts as well. */
TEST_F(BadRecordsTest, UnlistedObjectsAreForgotten) {
  add("listed", RECORD_STATE);
  add("unlisted", RECORD_STATE);
  add("unlisted", RECORD_STATE, STORE_QUARANTINE);
  GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(names, const_cast<char *>("listed"));
  bad_records_keep(bad, STORE_ENDPOINTS, names);
  g_hash_table_destroy(names);
  EXPECT_EQ(present(), 1u);
  EXPECT_EQ(present(STORE_QUARANTINE), 1u);
  add("listed", RECORD_STATE);
  EXPECT_EQ(lines().size(), 3u);
  add("unlisted", RECORD_STATE);
  EXPECT_EQ(lines().size(), 4u);
}

TEST_F(BadRecordsTest, AnErrorIsNotNeeded) {
  bad_records_add(bad, STORE_ENDPOINTS, "odd", nullptr);
  EXPECT_EQ(lines().size(), 1u);
  EXPECT_EQ(total(RECORD_CONTENT), 1u);
}

/* Memory and lines stay bounded, and one that is remembered can still be
** logged for another field. */
TEST_F(BadRecordsTest, TheTableIsBounded) {
  for (int round = 0; round < 2; round++) {
    for (int i = 0; i < BAD_RECORDS_MAX + 100; i++)
      add("odd-" + std::to_string(i), RECORD_SERVICE);
  }
  EXPECT_EQ(lines().size(), static_cast<size_t>(BAD_RECORDS_MAX));
  EXPECT_EQ(present(), static_cast<guint>(BAD_RECORDS_MAX));
  EXPECT_EQ(total(RECORD_SERVICE), 2u * (BAD_RECORDS_MAX + 100));
  add("odd-0", RECORD_STAGE);
  EXPECT_EQ(lines().size(), BAD_RECORDS_MAX + 1u);
  remove("odd-0");
  add("odd-" + std::to_string(BAD_RECORDS_MAX), RECORD_SERVICE);
  EXPECT_EQ(lines().size(), BAD_RECORDS_MAX + 2u);
}

} // namespace
