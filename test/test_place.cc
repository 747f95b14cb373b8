/*
** test_place.cc
** The place gate: unknown means forbidden
*/

#include <gtest/gtest.h>

extern "C" {
#include "place.h"
}

namespace {

char wien[] = "wien-a";
char linz[] = "linz-c";
char graz[] = "graz-x";
char at[] = "at-ost";
char de[] = "de-west";
char lookup[] = "lookup";
char merged[] = "merged";

struct Place : ::testing::Test {
  mp_Dc dcs[3] = {{wien, at}, {linz, at}, {graz, de}};
  char *all[3] = {wien, linz, graz};
  char *only[1] = {linz};
  mp_Rule rules[2] = {};
  mp_Config c = {};

  void SetUp() override {
    rules[0].class_name = lookup;
    rules[0].run_in = all;
    rules[0].run_in_count = 3;
    rules[0].kv_move = MP_KV_REGION;
    rules[1].class_name = lookup;
    rules[1].account = merged;
    rules[1].run_in = only;
    rules[1].run_in_count = 1;
    c.data_centres = dcs;
    c.data_centres_count = 3;
    c.rules = rules;
    c.rules_count = 2;
  }
};

TEST_F(Place, NoConfigurationForbids) {
  EXPECT_EQ(place_find_rule(nullptr, "lookup", nullptr), nullptr);
  EXPECT_FALSE(place_may_run(&c, nullptr, "wien-a"));
  EXPECT_NE(mp_explain(nullptr, "lookup", nullptr, "wien-a"), nullptr);
}

TEST_F(Place, AnAccountsOwnRuleGoesFirst) {
  EXPECT_EQ(mp_explain(&c, "lookup", nullptr, "wien-a"), nullptr);
  EXPECT_NE(mp_explain(&c, "lookup", "merged", "wien-a"), nullptr);
  EXPECT_EQ(mp_explain(&c, "lookup", "merged", "linz-c"), nullptr);
}

TEST_F(Place, UnknownClassOrCentreForbids) {
  EXPECT_EQ(place_find_rule(&c, "other", nullptr), nullptr);
  EXPECT_FALSE(place_may_run(&c, &rules[0], "nowhere"));
  c.data_centres_count = 1; /* linz-c is not configured any more */
  EXPECT_FALSE(place_may_run(&c, &rules[0], "linz-c"));
}

TEST_F(Place, KvMovesOnlyWhereBothEndsMayRunAndTheRuleSays) {
  EXPECT_TRUE(place_may_move_kv(&c, &rules[0], "wien-a", "linz-c"));
  EXPECT_FALSE(place_may_move_kv(&c, &rules[0], "wien-a", "graz-x"));
  rules[0].kv_move = MP_KV_ANY;
  EXPECT_TRUE(place_may_move_kv(&c, &rules[0], "wien-a", "graz-x"));
  rules[0].kv_move = MP_KV_STAY;
  EXPECT_FALSE(place_may_move_kv(&c, &rules[0], "wien-a", "linz-c"));
  EXPECT_TRUE(place_may_move_kv(&c, &rules[0], "wien-a", "wien-a"));
  EXPECT_FALSE(place_may_move_kv(&c, &rules[1], "wien-a", "wien-a"));
}

} // namespace
