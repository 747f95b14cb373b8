/*
** test_place.cc
** Tests of the rules that say in which data centres a class of requests may
** run; what is unknown is forbidden
*/

#include <gtest/gtest.h>

extern "C" {
#include "place.h"
}

namespace {

char wien[] = "wien-a";
char linz[] = "linz-c";
char graz[] = "graz-x";
char region_at[] = "at-ost";
char region_de[] = "de-west";
char lookup[] = "lookup";
char merged[] = "merged";

struct PlaceTest : ::testing::Test {
  mp_Dc dcs[3] = {{wien, region_at}, {linz, region_at}, {graz, region_de}};
  char *all_centres[3] = {wien, linz, graz};
  char *only_linz[1] = {linz};
  mp_Rule rules[2] = {};
  mp_Config config = {};

  void SetUp() override {
    rules[0].class_name = lookup;
    rules[0].run_in = all_centres;
    rules[0].run_in_count = 3;
    rules[0].kv_move = MP_KV_REGION;
    rules[1].class_name = lookup;
    rules[1].account = merged;
    rules[1].run_in = only_linz;
    rules[1].run_in_count = 1;
    config.data_centres = dcs;
    config.data_centres_count = 3;
    config.rules = rules;
    config.rules_count = 2;
  }
};

TEST_F(PlaceTest, MissingConfigurationForbidsEverything) {
  EXPECT_EQ(place_find_rule(nullptr, "lookup", nullptr), nullptr);
  EXPECT_FALSE(place_may_run(&config, nullptr, "wien-a"));
  EXPECT_NE(mp_explain(nullptr, "lookup", nullptr, "wien-a"), nullptr);
}

TEST_F(PlaceTest, RuleOfTheAccountPrecedesThatOfTheClass) {
  EXPECT_EQ(mp_explain(&config, "lookup", nullptr, "wien-a"), nullptr);
  EXPECT_NE(mp_explain(&config, "lookup", "merged", "wien-a"), nullptr);
  EXPECT_EQ(mp_explain(&config, "lookup", "merged", "linz-c"), nullptr);
}

TEST_F(PlaceTest, UnknownClassOrDataCentreIsForbidden) {
  EXPECT_EQ(place_find_rule(&config, "other", nullptr), nullptr);
  EXPECT_FALSE(place_may_run(&config, &rules[0], "nowhere"));
  config.data_centres_count = 1; /* linz-c is now not configured */
  EXPECT_FALSE(place_may_run(&config, &rules[0], "linz-c"));
}

TEST_F(PlaceTest, KvMovesOnlyWhereBothDataCentresAndTheRuleAllowIt) {
  EXPECT_TRUE(place_may_move_kv(&config, &rules[0], "wien-a", "linz-c"));
  EXPECT_FALSE(place_may_move_kv(&config, &rules[0], "wien-a", "graz-x"));
  rules[0].kv_move = MP_KV_ANY;
  EXPECT_TRUE(place_may_move_kv(&config, &rules[0], "wien-a", "graz-x"));
  rules[0].kv_move = MP_KV_STAY;
  EXPECT_FALSE(place_may_move_kv(&config, &rules[0], "wien-a", "linz-c"));
  EXPECT_TRUE(place_may_move_kv(&config, &rules[0], "wien-a", "wien-a"));
  EXPECT_FALSE(place_may_move_kv(&config, &rules[1], "wien-a", "wien-a"));
}

} // namespace
