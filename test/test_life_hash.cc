/*
** test_life_hash.cc
** Lives of endpoints are told apart by their hashes
*/

#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "router/endpoint_table.h"
}

namespace {

TEST(LifeHash, ShortIdsThatStartTogetherAreToldApart) {
  std::set<guint32> seen;
  unsigned lives = 0;
  for (int digit = 1; digit <= 9; digit++) {
    std::string id = "i-" + std::to_string(digit);
    for (gint64 born = 0; born < 64; born++, lives++) {
      EndpointRecord record = {};
      record.id = id.data();
      record.started_unix_ms = 1780000000000 + born;
      seen.insert(endpoint_incarnation_hash(&record));
    }
  }
  EXPECT_EQ(seen.size(), lives);
}

} // namespace
