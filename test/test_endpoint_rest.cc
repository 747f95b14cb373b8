/*
** test_endpoint_rest.cc
** Endpoints that turn requests away and ask for rest
**
** What was seen: one of three plain endpoints turned all requests away at once
** and asked each instance for 3 s of rest. One instance sent it three more in
** that time, another time six, where two are the most: 1.4, 1.8 and 2.2 s
*after
** it had been asked.
*/

#include <algorithm>

#include <gtest/gtest.h>

#include "rate_fleet.h"

using namespace rates;

namespace {

/* requests from an instance in a rest that it was asked for, from half a
** second on: the most */
constexpr unsigned most_in_rest = 2;
constexpr gint64 rest = 3 * second;

FleetOptions options(unsigned instances, unsigned seed) {
  FleetOptions out;
  out.seed = seed;
  out.instances = instances;
  out.demand = std::min(15.0 * instances, 600.0);
  out.at_first = 0.3;
  return out;
}

constexpr unsigned sizes[] = {1, 8, 20, 90, 300};

TEST(EndpointRest, IsLeftToAnEndpointThatAsksForIt) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    FleetOptions failing = options(instances, 5);
    failing.failing = 0.3; /* the others are not well either */
    Fleet fleet(failing);
    fleet.pass(2 * second);
    fleet.endpoints[0].rest = rest;
    fleet.pass(10 * second);
    ASSERT_FALSE(fleet.endpoints[0].rests.empty());
    EXPECT_LE(fleet.most_in_a_rest(0), most_in_rest);
  }
}

/* all that could take a request ask for it: there is no other choice */
TEST(EndpointRest, IsLeftToAllOfAServiceAtOnce) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    Fleet fleet(options(instances, 6));
    fleet.pass(2 * second);
    for (Plain &endpoint : fleet.endpoints)
      endpoint.rest = rest;
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++) {
      ASSERT_FALSE(fleet.endpoints[i].rests.empty());
      EXPECT_LE(fleet.most_in_a_rest(i), most_in_rest);
    }
  }
}

/* what was sent before ends well after the word: that takes nothing back */
TEST(EndpointRest, IsNotOverWithARequestThatEndsWell) {
  for (unsigned instances : sizes) {
    SCOPED_TRACE(instances);
    FleetOptions slow = options(instances, 7);
    slow.work = 900 * ms;
    Fleet fleet(slow);
    for (Plain &endpoint : fleet.endpoints) {
      endpoint.rest = rest;
      endpoint.resting = 0.2;
    }
    fleet.pass(10 * second);
    for (unsigned i = 0; i < fleet.endpoints.size(); i++)
      EXPECT_LE(fleet.most_in_a_rest(i), most_in_rest);
  }
}

} // namespace
